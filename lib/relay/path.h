/* Decides whether calls to the store go directly or through another host. Does no I/O.
 *
 * The store may reject single hosts, or single hosts may be cut off from it, while it serves the
 * others. The direct path fails when a call is rejected or gets no reply, and while no reply
 * arrives for longer than a slow store takes. It is healthy again with the first call that the
 * store serves; meanwhile probes are sent. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

struct fl_relay_path
{
  bool has_failed;
  int in_flight;             /* direct calls that the store should reply to at once */
  int64_t no_reply_since_ms; /* none of them got a reply since */
  int64_t next_probe_ms;     /* while failed: when the next probe is due */
};

/* Records that a direct call is sent that the store replies to without waiting for changes. */
void fl_relay_path_record_call (struct fl_relay_path *path, int64_t now_ms);

/* Records the end of such a call. @served: the store replied and did not reject the call. */
void fl_relay_path_record_reply (struct fl_relay_path *path, bool served, int64_t now_ms);

/* Whether the next call should go directly. */
bool fl_relay_path_is_healthy (struct fl_relay_path *path, int64_t now_ms);

/* @return whether to send a probe now; the next one is then due after the probe interval. */
bool fl_relay_path_claim_probe (struct fl_relay_path *path, int64_t now_ms);
