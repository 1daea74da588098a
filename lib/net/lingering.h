/* Connections that the server has closed and whose peers have not. A socket that is closed while
 * bytes wait unread, or arrive later, resets the connection, and the part of the last response that
 * has not been sent is lost. Such sockets are therefore read, and what arrives is discarded, until
 * the peer closes its end or some time has passed. */
#pragma once

#include <ev.h>
#include <stdint.h>

struct fl_lingering;

/* @max_ms bounds the time for each connection. */
struct fl_lingering *fl_lingering_new (struct ev_loop *loop, int64_t max_ms);

/* Takes over the connection of @fd, of which no more is to be sent, with a descriptor of its own;
 * the caller still closes @fd. */
void fl_lingering_add (struct fl_lingering *lingering, int fd);

/* @return the number of connections. */
int fl_lingering_count (const struct fl_lingering *lingering);

/* Waits up to @wait_ms for the peers to close the connections, then closes them. */
void fl_lingering_free (struct fl_lingering *lingering, int64_t wait_ms);
