#include "frontd/drain.h"

/* The process ends this long before it would be killed: the time to release its resources on a host
 * that is short of CPU. */
#define END_MARGIN_MS 400
/* From the last response until the end: the time to send it, and for clients to read it. */
#define FLUSH_MS 200
/* Updates in FRONT_DRAIN_CLOSING after which the process ends although a request is open. Counts
 * updates and not time, because requests get their responses only while the process runs: overdue
 * timeouts of store calls are put off by FL_TIMEOUT_GRACE_MS, and requests that wait for the
 * configuration are examined every 50 ms. There is an update every 20 ms. */
#define CLOSING_UPDATES_MAX 20
/* The longest that a request that was just admitted may take for its response when responses are
 * due: a store call (600 ms, and 50 ms more through a peer) and the delay before it. */
#define COMPLETE_MS 800
/* The load balancer checks once a second whether the host is ready and stops sending connections
 * after two failed checks. */
#define BALANCER_NOTICE_MS 2500
/* Without a connection for this long, a host that is not ready is considered out of use. */
#define QUIET_MS 1000

static int64_t
end_after_ms (const struct front_drain *drain)
{
  return drain->graceful_stop_ms - END_MARGIN_MS;
}

static int64_t
respond_after_ms (const struct front_drain *drain)
{
  return end_after_ms (drain) - FLUSH_MS;
}

static enum front_drain_phase
get_phase (const struct front_drain *drain,
           int64_t now_ms,
           int64_t last_open_ms,
           bool has_open_requests)
{
  int64_t elapsed_ms = now_ms - drain->started_ms;
  bool nothing_open = last_open_ms < now_ms;

  if (elapsed_ms >= end_after_ms (drain) && drain->phase == FRONT_DRAIN_CLOSING
      && (!has_open_requests || drain->closing_updates >= CLOSING_UPDATES_MAX))
    return FRONT_DRAIN_ENDED;
  if (nothing_open && drain->phase == FRONT_DRAIN_CLOSING)
    return FRONT_DRAIN_ENDED;
  if (elapsed_ms >= respond_after_ms (drain))
    return FRONT_DRAIN_CLOSING;
  if (elapsed_ms >= respond_after_ms (drain) - COMPLETE_MS)
    return nothing_open ? FRONT_DRAIN_CLOSING : FRONT_DRAIN_REJECTING;
  if (elapsed_ms >= BALANCER_NOTICE_MS && now_ms - last_open_ms >= QUIET_MS)
    return FRONT_DRAIN_CLOSING;
  return FRONT_DRAIN_SERVING;
}

void
front_drain_start (struct front_drain *drain, int64_t now_ms, int64_t graceful_stop_ms)
{
  drain->phase = FRONT_DRAIN_SERVING;
  drain->started_ms = now_ms;
  drain->graceful_stop_ms = graceful_stop_ms;
}

enum front_drain_phase
front_drain_update (struct front_drain *drain,
                    int64_t now_ms,
                    int64_t last_open_ms,
                    bool has_open_requests)
{
  enum front_drain_phase phase = get_phase (drain, now_ms, last_open_ms, has_open_requests);

  if (phase > drain->phase)
    drain->phase = phase;
  if (drain->phase == FRONT_DRAIN_CLOSING)
    drain->closing_updates++;
  return drain->phase;
}

int64_t
front_drain_get_respond_by_ms (const struct front_drain *drain)
{
  return drain->phase == FRONT_DRAIN_NONE ? INT64_MAX
                                          : drain->started_ms + respond_after_ms (drain);
}
