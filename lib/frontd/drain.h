/* Phases of a graceful stop, from SIGTERM until the process ends. Pure: no I/O, and the current
 * time is an argument.
 *
 * While the load balancer learns that the host is not ready, and as long as requests have time to
 * complete, the host serves as usual. Later ones are rejected at once, and all that are open get
 * their response before the process would be killed. A process that is held up past the time for
 * these responses sends them before it ends. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

enum front_drain_phase
{
  FRONT_DRAIN_NONE,      /* not stopping */
  FRONT_DRAIN_SERVING,   /* requests are served, and each response closes its connection */
  FRONT_DRAIN_REJECTING, /* new requests are rejected, open ones are completed */
  FRONT_DRAIN_CLOSING,   /* as above, and no connection is accepted */
  FRONT_DRAIN_ENDED,     /* the process may end */
};

struct front_drain
{
  enum front_drain_phase phase; /* as of the last update */
  int closing_updates;          /* that were in FRONT_DRAIN_CLOSING */
  int64_t started_ms;
  int64_t graceful_stop_ms; /* from the start until the process is killed */
};

/* Starts the drain of a zeroed @drain. */
void front_drain_start (struct front_drain *drain, int64_t now_ms, int64_t graceful_stop_ms);

/* @last_open_ms: when a connection or a relayed call was last open; @now_ms if one is.
 * @has_open_requests: requests wait for their responses.
 * @return the phase at @now_ms, which never precedes that of an earlier call. */
enum front_drain_phase front_drain_update (struct front_drain *drain,
                                           int64_t now_ms,
                                           int64_t last_open_ms,
                                           bool has_open_requests);

/* @return the time by which every request must have its response; INT64_MAX if not stopping. */
int64_t front_drain_get_respond_by_ms (const struct front_drain *drain);
