/* Links for messages between the product's processes, using ZeroMQ on a libev loop.
 *
 * A link binds one ROUTER socket and opens one DEALER socket for each peer that it connects to.
 * Messages are opaque bytes. Nothing is queued for a peer that is not connected: sending to such a
 * peer fails at once, so that the sender knows that the message was not delivered.
 */
#pragma once

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/error.h"
#include "common/log.h"
#include "common/stats.h"
#include "common/str.h"

/* Space for a routing id, in bytes; those that ZeroMQ assigns have 5. */
#define FL_ROUTING_ID_MAX 16

/* Identifies a peer to send to, such as the sender of a message. Copied by value; sending along a
 * stale route fails. */
struct fl_route
{
  struct fl_name address; /* of a peer that this link connected to; empty if the peer connected */
  uint8_t routing_id_len;
  char routing_id[FL_ROUTING_ID_MAX];
};

struct fl_link;

struct fl_link_options
{
  struct ev_loop *loop;
  const char *address; /* "tcp://IP:PORT" to bind, port 0 for a free one; NULL binds nothing */
  int64_t queue_max;   /* messages queued for and from one peer */
  void (*on_message) (void *context, const struct fl_route *from, const char *data, size_t len);
  void *context;
  const struct fl_log *log; /* NULL logs nothing */
  struct fl_stats *stats;   /* NULL counts nothing */
};

/* @return a new link, or NULL with @error filled when the address cannot be bound. */
struct fl_link *fl_link_new (const struct fl_link_options *options, struct fl_error *error);

void fl_link_free (struct fl_link *link);

/* Handles the messages that have arrived, without the loop: for the last ones before the link is
 * freed. */
void fl_link_receive (struct fl_link *link);

/* @return the bound address with the port in use; empty when nothing is bound. */
struct fl_name fl_link_address (const struct fl_link *link);

/* Opens a connection to @address ("tcp://IP:PORT") unless there is one.
 * @return false with @error filled when the address is invalid. */
bool fl_link_connect (struct fl_link *link, const struct fl_name *address, struct fl_error *error);

/* Opens another connection to @address, for what is sent from now on, unless something has arrived
 * from it since @sent_ms (boot clock), when a message was sent that has no reply: the connection
 * may be dead although nothing has reset it. What arrives on the old one soon afterwards still
 * counts. A message that is sent before the new one is established fails.
 * @return whether another connection was opened. */
bool
fl_link_reconnect_silent (struct fl_link *link, const struct fl_name *address, int64_t sent_ms);

/* Closes the connection to @address, if any. */
void fl_link_disconnect (struct fl_link *link, const struct fl_name *address);

/* Sends a message to a peer.
 * @return false if the message was certainly not sent. */
bool fl_link_send (struct fl_link *link, const struct fl_route *to, const char *data, size_t len);
