/* Links between the system's own processes, over ZeroMQ on a libev loop.
 *
 * A link binds one ROUTER socket and opens one DEALER socket for each peer it connects to. Messages
 * are opaque byte strings here. Nothing is queued for a peer that is not connected: such a send
 * fails at once, so that the sender knows the message was not delivered.
 */
#pragma once

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/error.h"
#include "common/str.h"

/* Longest routing id that ZeroMQ assigns, in bytes. */
#define FL_ROUTING_ID_MAX 16

/* Where an answer goes. Copied by value; stale routes make a send fail. */
struct fl_route
{
  struct fl_name address; /* of a peer we connected to; empty when the peer connected to us */
  uint8_t routing_id_len;
  char routing_id[FL_ROUTING_ID_MAX];
};

struct fl_link;

struct fl_link_options
{
  struct ev_loop *loop;
  const char *address; /* "tcp://IP:PORT" to bind, port 0 for a free one; NULL binds nothing */
  int64_t queue_max;   /* messages held for one peer */
  void (*on_message) (void *context, const struct fl_route *from, const char *data, size_t len);
  void *context;
};

/* @return NULL with @error filled when the address cannot be bound. */
struct fl_link *fl_link_new (const struct fl_link_options *options, struct fl_error *error);

void fl_link_free (struct fl_link *link);

/* The bound address with its real port, empty when nothing is bound. */
struct fl_name fl_link_address (const struct fl_link *link);

/* Opens a connection to @address ("tcp://IP:PORT") unless there is one. */
bool fl_link_connect (struct fl_link *link, const struct fl_name *address, struct fl_error *error);

/* Closes the connection to @address, if any. */
void fl_link_disconnect (struct fl_link *link, const struct fl_name *address);

/* Sends to a connected peer or back along a route.
 * @return false when the message certainly does not leave this process. */
bool fl_link_send (struct fl_link *link, const struct fl_route *to, const char *data, size_t len);
