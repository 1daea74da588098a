/* Whether calls to the store go directly or by way of another host. Pure.
 *
 * The store may turn single hosts away, or single hosts may be cut from it, while it serves the
 * others. The direct way counts as broken after a call that was refused or not answered, and while
 * nothing is answered for longer than a slow store takes; it counts as whole again with the first
 * answer, which probes look for meanwhile. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

struct fl_relay_path
{
  bool has_failed;
  int in_flight;             /* direct calls that should be answered at once */
  int64_t no_reply_since_ms; /* since then none of them was answered */
  int64_t next_probe_ms;     /* while broken: when the next probe is due */
};

/* A direct call is sent that the store answers without waiting for anything. */
void fl_relay_path_record_call (struct fl_relay_path *path, int64_t now_ms);

/* That call is over; @served tells whether the store carried it out. */
void fl_relay_path_record_reply (struct fl_relay_path *path, bool served, int64_t now_ms);

/* Whether the next call is better sent directly. */
bool fl_relay_path_is_healthy (struct fl_relay_path *path, int64_t now_ms);

/* Whether to try the direct way now; counts as tried then. */
bool fl_relay_path_claim_probe (struct fl_relay_path *path, int64_t now_ms);
