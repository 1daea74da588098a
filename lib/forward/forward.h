/* Orders to targets by way of other hosts.
 *
 * Deciding for hundreds of targets leaves no processor for hundreds of connections on a small host.
 * The owner then hands orders and holds to its peers, each a share of the targets, and gets their
 * answers back; all decisions stay with the owner, and its fencing token goes with each order. An
 * order that a peer does not answer counts as unanswered, like one that a target does not answer:
 * the peer is left out until it answers a ping, and the next orders go directly. */
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
  /* Sends @data to a peer; false when it certainly does not leave. */
  bool (*send) (void *context, const struct fl_route *to, const char *data, size_t len);
  /* Whether this host's orders may leave now. */
  bool (*may_send) (void *context);
  void *context;
  const struct fl_target_calls *direct;    /* this host's own orders */
  const struct fl_target_calls *forwarded; /* those of the peers, which they answer for */
};

struct fl_forwarder *fl_forwarder_new (const struct fl_forwarder_options *options);

/* Drops open orders without calling back. */
void fl_forwarder_free (struct fl_forwarder *forwarder);

/* The calls to use instead of the direct ones; valid as long as @carry. */
const struct fl_target_calls *fl_forwarder_calls (const struct fl_forwarder *forwarder);

/* Whether orders are handed to peers from now on. */
void fl_forwarder_set_enabled (struct fl_forwarder *forwarder, bool enabled);

/* The host @name can be reached at @address. */
void fl_forwarder_set_peer (struct fl_forwarder *forwarder,
                            const struct fl_name *name,
                            const struct fl_name *address);

/* A message of a peer. */
void fl_forwarder_receive (struct fl_forwarder *forwarder,
                           const struct fl_route *from,
                           const char *data,
                           size_t len);
