/* Data structures and internal functions of the forwarder. */
#pragma once

#include <glib.h>

#include "forward/forward.h"
#include "forward/message.h"

/* An order times out this much later here than on the host that it is sent to: covers two transfers
 * between the hosts and the wait for CPU time on a small host. */
#define FORWARD_SLACK_MS 150
#define FORWARD_START_TIMEOUT_MS (FL_START_LIMIT_MS + FORWARD_SLACK_MS)

/* When an order times out, a reply still counts for so long after @limit_ms_, the limit of the
 * order.
 */
#define FORWARD_LATE_MS(limit_ms_) (FL_REPLY_MAX_MS - (limit_ms_))

struct forward_peer
{
  struct fl_name name;
  struct fl_name address;
  bool is_available; /* replied to a ping and has not been silent since */
  int64_t heard_ms;  /* when its last message arrived */
  bool is_checked;   /* it is pinged, since it has been silent; until something arrives */
  int64_t pinged_ms; /* when the last ping was sent */
  int64_t reconnected_ms;
};

struct fl_forwarder
{
  struct fl_forwarder_options options;
  struct fl_target_calls calls;
  bool enabled;
  GArray *peers;         /* struct forward_peer */
  GHashTable *in_flight; /* number -> struct outgoing_order */
  int64_t last_order_number;
  GHashTable *incoming; /* set of struct incoming_order whose result is not returned yet */
  bool is_draining;
  ev_timer ping_timer;
  struct forward_batches *batches;
};

/* --- forward.c --- */

/* The available peer that forwards orders to @target, or NULL. Each target has one peer, so that
 * connections are reused. */
struct forward_peer *forward_find_serving_peer (struct fl_forwarder *forwarder,
                                                const struct fl_name *target);

/* Called when an order that was sent at @sent_ms to the peer at @address got no reply in time. If
 * the peer has been silent since, it is pinged, it becomes unavailable, and all orders in flight
 * through it end with FL_ORDER_NO_REPLY. */
void forward_handle_timeout (struct fl_forwarder *forwarder,
                             const struct fl_name *address,
                             int64_t sent_ms);

/* Whether an order of a peer to @target at @address can be sent: the address is an endpoint, and
 * the id fits into a header. */
bool forward_is_addressable (const struct fl_name *target, const struct fl_name *address);

/* Sends @message to the peer at @address. After @timeout_ms without a reply the peer counts as
 * unavailable if it has been silent since; otherwise a reply counts for @late_ms more.
 * @return false when @message is not sent. */
bool forward_send (struct fl_forwarder *forwarder,
                   const struct fl_name *address,
                   struct fl_forward_message *message,
                   int64_t timeout_ms,
                   int64_t late_ms,
                   void (*done) (void *context, const struct fl_order_reply *reply),
                   void *done_context);

/* A start as the message that asks a peer to forward it. Borrows the strings of @order. */
struct fl_forward_message forward_start_message (const struct fl_start_order *order);

/* Sends @order through the peer that serves its target, or directly. */
void forward_start (struct fl_forwarder *forwarder,
                    const struct fl_start_order *order,
                    void (*done) (void *context, const struct fl_order_reply *reply),
                    void *done_context);

/* --- batches.c --- */

struct forward_batches *forward_batches_new (struct fl_forwarder *forwarder);
void forward_batches_free (struct forward_batches *batches);

/* Queues a start until forward_batches_flush. */
void forward_batches_add (struct forward_batches *batches,
                          const struct fl_start_order *order,
                          void (*done) (void *context, const struct fl_order_reply *reply),
                          void *done_context);
void forward_batches_flush (struct forward_batches *batches);

/* Ends all starts in flight through the peer at @address with FL_ORDER_NO_REPLY. */
void forward_batches_time_out (struct forward_batches *batches, const struct fl_name *address);

/* @return the number of batches of peers that have starts without a result. */
int forward_batches_open (const struct forward_batches *batches);

/* Handles a message about a batch. */
void forward_batches_receive (struct forward_batches *batches,
                              const struct fl_route *sender,
                              const char *data,
                              size_t len);
