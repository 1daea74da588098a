/* Access to the store, directly or through other hosts.
 *
 * Calls go directly while the direct path is healthy (relay/path.h), else to a peer, which makes
 * them over its own connection. Each call is sent once: the caller gets a rejection or a missing
 * reply as the result, and the next call takes another path. A relayed call may take effect late,
 * as a direct one may; without a reply, its outcome is unknown. */
#pragma once

#include <ev.h>

#include "common/log.h"
#include "common/stats.h"
#include "net/loop_watch.h"
#include "store/store.h"

struct fl_relay;

/* The relay copies the options; the objects they point to must outlive it. */
struct fl_relay_options
{
  struct ev_loop *loop;
  const struct fl_log *log;
  struct fl_stats *stats;
  const struct fl_store *direct;
  struct fl_name host;    /* name of this host */
  int64_t cpu_milli;      /* CPU of this host in thousandths of a core; 0 when unknown */
  struct fl_name address; /* "tcp://IP:PORT" to accept calls of peers at; empty for none */
  const struct fl_loop_watch *loop_watch; /* of the loop; NULL for none */
};

/* @return NULL with @error filled when the address cannot be bound. */
struct fl_relay *fl_relay_new (const struct fl_relay_options *options, struct fl_error *error);

/* Drops calls in flight to peers without calling back. Direct calls in flight refer to the relay:
 * the direct store must not call back afterwards. */
void fl_relay_free (struct fl_relay *relay);

/* Prepares the end of the process: from now on, calls of peers that could last beyond @until_ms
 * (boot clock) are rejected. May be called again with an earlier time. */
void fl_relay_drain (struct fl_relay *relay, int64_t until_ms);

/* @return the number of calls of peers that have no reply yet. */
int fl_relay_open_peer_calls (const struct fl_relay *relay);

/* @return when the last call of a peer arrived (boot clock); 0 if none has. */
int64_t fl_relay_last_peer_call_ms (const struct fl_relay *relay);

/* The number of peers that can relay calls of this host. */
size_t fl_relay_peer_count (const struct fl_relay *relay);

/* The CPU of the largest known host in thousandths of a core; 0 when no host is known. */
int64_t fl_relay_largest_cpu_milli (const struct fl_relay *relay);

/* Whether the list of hosts has been read since the start. */
bool fl_relay_knows_hosts (const struct fl_relay *relay);

/* The store to use instead of the direct one; valid as long as @relay. */
const struct fl_store *fl_relay_store (const struct fl_relay *relay);
