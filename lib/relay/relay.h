/* The store as seen from one host, with a way round by other hosts.
 *
 * Calls go directly while that works (relay/path.h), else to a peer that carries them out with its
 * own connection. A call is sent once: one that was refused or not answered is told so, and what
 * the caller sends next takes the other way. A call carried by a peer may come into effect late,
 * like one of this host's own; nothing is presumed of one without an answer. */
#pragma once

#include <ev.h>

#include "common/log.h"
#include "common/stats.h"
#include "store/store.h"

struct fl_relay;

struct fl_relay_options
{
  struct ev_loop *loop;
  const struct fl_log *log;
  struct fl_stats *stats;
  const struct fl_store *direct;
  struct fl_name host;    /* this one */
  int64_t cpu_milli;      /* processor that it has; 0 for unknown */
  struct fl_name address; /* "tcp://IP:PORT" to carry calls of others at; empty for not at all */
};

/* @return NULL with @error filled when the address cannot be bound. */
struct fl_relay *fl_relay_new (const struct fl_relay_options *options, struct fl_error *error);

/* Drops open calls without calling back. */
void fl_relay_free (struct fl_relay *relay);

/* How many hosts may carry calls of this one. */
size_t fl_relay_peer_count (const struct fl_relay *relay);

/* The processor, in thousandths of a core, of the largest host that is known; 0 for none. */
int64_t fl_relay_largest_cpu_milli (const struct fl_relay *relay);

/* The store to use instead of the direct one; valid as long as @relay. */
const struct fl_store *fl_relay_store (const struct fl_relay *relay);
