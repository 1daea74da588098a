#include "relay/path.h"

#include <glib.h>

/* The path fails after this long without any reply. Above the 0.3 s that a reply takes from a store
 * that is 60 times slower than usual. */
#define REPLY_GAP_MAX_MS 400
/* Interval between probes. Short, so that a host that is served again soon relieves its peers. */
#define PROBE_INTERVAL_MS 500

static void
mark_failed (struct fl_relay_path *path, int64_t now_ms)
{
  if (!path->has_failed)
    path->next_probe_ms = now_ms + PROBE_INTERVAL_MS;
  path->has_failed = true;
}

void
fl_relay_path_record_call (struct fl_relay_path *path, int64_t now_ms)
{
  if (path->in_flight++ == 0)
    path->no_reply_since_ms = now_ms;
}

void
fl_relay_path_record_end (struct fl_relay_path *path,
                          enum fl_relay_outcome outcome,
                          int64_t sent_ms,
                          int64_t now_ms)
{
  path->in_flight--;
  if (outcome == FL_RELAY_INCONCLUSIVE
      || (outcome == FL_RELAY_LOST && sent_ms < path->served_sent_ms))
    return;
  path->no_reply_since_ms = now_ms;
  if (outcome == FL_RELAY_SERVED)
    {
      path->has_failed = false;
      path->served_sent_ms = MAX (path->served_sent_ms, sent_ms);
    }
  else
    mark_failed (path, now_ms);
}

void
fl_relay_path_record_progress (struct fl_relay_path *path, int64_t now_ms)
{
  path->no_reply_since_ms = MAX (path->no_reply_since_ms, now_ms);
}

bool
fl_relay_path_is_healthy (struct fl_relay_path *path, int64_t now_ms)
{
  if (path->in_flight > 0 && now_ms - path->no_reply_since_ms > REPLY_GAP_MAX_MS)
    mark_failed (path, now_ms);
  return !path->has_failed;
}

bool
fl_relay_path_claim_probe (struct fl_relay_path *path, int64_t now_ms)
{
  if (!path->has_failed || now_ms < path->next_probe_ms)
    return false;
  path->next_probe_ms = now_ms + PROBE_INTERVAL_MS;
  return true;
}
