/* Decides whether calls to the store go directly or through another host. Does no I/O.
 *
 * The store may reject single hosts, or single hosts may be cut off from it, while it serves the
 * others. The direct path fails when a call is rejected or times out, or when calls are in flight
 * and none of them gets a reply for longer than a slow store takes. It is healthy again once the
 * store has served a call; until then, probes are sent.
 *
 * The end of a reused connection is no failure: when all connections are reset at once, all hosts
 * would fail together and reject each other's calls, although new connections are served. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/* How a direct call ended. */
enum fl_relay_outcome
{
  FL_RELAY_SERVED,       /* the store replied and did not reject the call */
  FL_RELAY_FAILED,       /* rejected */
  FL_RELAY_LOST,         /* no reply */
  FL_RELAY_INCONCLUSIVE, /* its reused connection ended before the reply */
};

struct fl_relay_path
{
  bool has_failed;
  int in_flight;             /* direct calls that the store should reply to at once */
  int64_t no_reply_since_ms; /* time of the last reply, or of the first call in flight if later */
  int64_t served_sent_ms;    /* when the newest of the served calls was sent */
  int64_t next_probe_ms;     /* while failed: when the next probe is due */
};

/* Records that a direct call is sent to which the store replies without waiting for changes. */
void fl_relay_path_record_call (struct fl_relay_path *path, int64_t now_ms);

/* Records the end of a call that fl_relay_path_record_call recorded, and that was sent at @sent_ms.
 * A lost call is no failure if a call that was sent later has been served. */
void fl_relay_path_record_end (struct fl_relay_path *path,
                               enum fl_relay_outcome outcome,
                               int64_t sent_ms,
                               int64_t now_ms);

/* Marks the path as failed if replies are overdue.
 * @return whether the next call should go directly. */
bool fl_relay_path_is_healthy (struct fl_relay_path *path, int64_t now_ms);

/* Records that replies are not overdue at @now_ms: a part of one arrived, or they may wait unread
 * since this process did not run until then. */
void fl_relay_path_record_progress (struct fl_relay_path *path, int64_t now_ms);

/* @return whether to send a probe now; the next one is then due after the probe interval. */
bool fl_relay_path_claim_probe (struct fl_relay_path *path, int64_t now_ms);
