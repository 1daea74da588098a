/* Sends orders to targets through other hosts.
 *
 * On a small host, scheduling hundreds of targets leaves no CPU time for hundreds of connections.
 * The owner of the pool then forwards orders and heartbeats through its peers, each for a share of
 * the targets, and receives the replies from them. All decisions stay with the owner, and each
 * order carries the fencing token of the owner. An order that gets no reply from the peer ends like
 * one that gets no reply from the target. A peer that sent nothing since such an order then gets no
 * orders until it replies to a ping, which is repeated over another connection if it has no reply;
 * meanwhile orders go directly to the targets.
 *
 * The first starts of several tasks of one job are sent together, through one peer that distributes
 * them; fl_forwarder_flush sends them. */
#pragma once

#include <ev.h>

#include "common/log.h"
#include "common/stats.h"
#include "net/link.h"
#include "targets/calls.h"

struct fl_forwarder;

struct fl_forwarder_options
{
  struct ev_loop *loop;
  const struct fl_log *log;
  struct fl_stats *stats;
  /* Sends @data to a peer. @return false when the data is certainly not sent. */
  bool (*send) (void *context, const struct fl_route *to, const char *data, size_t len);
  /* The same for messages about batches of starts. */
  bool (*send_batch) (void *context, const struct fl_route *to, const char *data, size_t len);
  /* Opens a connection to the link at @address unless there is one. @return false on failure. */
  bool (*connect) (void *context, const struct fl_name *address);
  /* Replaces the connection to the link at @address if nothing has arrived on it since @sent_ms;
   * see fl_link_reconnect_silent. */
  bool (*reconnect_silent) (void *context, const struct fl_name *address, int64_t sent_ms);
  /* Whether this host may send its own orders now. */
  bool (*may_send) (void *context);
  void *context;
  const struct fl_target_calls *direct; /* for orders of this host */
  /* For orders of peers, which check their own authority. */
  const struct fl_target_calls *forwarded;
};

struct fl_forwarder *fl_forwarder_new (const struct fl_forwarder_options *options);

/* Drops orders in flight without calling back. */
void fl_forwarder_free (struct fl_forwarder *forwarder);

/* The calls to use instead of the direct ones; valid as long as @forwarder. */
const struct fl_target_calls *fl_forwarder_calls (const struct fl_forwarder *forwarder);

/* How much later the reply to an order to @target may arrive here than on the host that sends it.
 */
int64_t fl_forwarder_get_slack_ms (struct fl_forwarder *forwarder, const struct fl_name *target);

/* Sets whether orders are forwarded through peers from now on; initially they are not. */
void fl_forwarder_set_enabled (struct fl_forwarder *forwarder, bool enabled);

/* Adds the peer @name or updates its address. A peer with a new address gets no orders until it
 * replies to a ping. */
void fl_forwarder_set_peer (struct fl_forwarder *forwarder,
                            const struct fl_name *name,
                            const struct fl_name *address);

/* Pings the peer at @address unless a message about orders has arrived from it since @sent_ms, when
 * something was sent to it that has no reply. Without a reply to the ping its connection is
 * replaced. */
void fl_forwarder_check_peer (struct fl_forwarder *forwarder,
                              const struct fl_name *address,
                              int64_t sent_ms);

/* Prepares the end of the process: further orders of peers are rejected as not sent, and their
 * heartbeats in flight end at once without a reply of the target. Other orders in flight complete.
 */
void fl_forwarder_drain (struct fl_forwarder *forwarder);

/* @return the number of orders and batches of peers in flight whose results are not returned yet.
 */
int fl_forwarder_open_peer_orders (const struct fl_forwarder *forwarder);

/* Sends the starts that were ordered since the last call. The strings of a start order have to stay
 * valid until then. */
void fl_forwarder_flush (struct fl_forwarder *forwarder);

/* Handle a message from a peer, and one about batches of starts. */
void fl_forwarder_receive_batch (struct fl_forwarder *forwarder,
                                 const struct fl_route *sender,
                                 const char *data,
                                 size_t len);
void fl_forwarder_receive (struct fl_forwarder *forwarder,
                           const struct fl_route *sender,
                           const char *data,
                           size_t len);
