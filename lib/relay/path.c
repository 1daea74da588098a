#include "relay/path.h"

/* Without any answer for this long the way is given up: above the 0.3 s that an answer of a store
 * takes that is 60 times slower than usual. */
#define SILENT_MS 400
/* Time between probes: a host that is served again should soon stop to burden others. */
#define PROBE_MS 500

static void
set_broken (struct fl_store_path *path, int64_t now_ms)
{
  if (!path->is_broken)
    path->probe_at_ms = now_ms + PROBE_MS;
  path->is_broken = true;
}

void
fl_store_path_sent (struct fl_store_path *path, int64_t now_ms)
{
  if (path->waiting++ == 0)
    path->waiting_since_ms = now_ms;
}

void
fl_store_path_answered (struct fl_store_path *path, bool served, int64_t now_ms)
{
  path->waiting--;
  path->waiting_since_ms = now_ms;
  if (served)
    path->is_broken = false;
  else
    set_broken (path, now_ms);
}

bool
fl_store_path_is_whole (struct fl_store_path *path, int64_t now_ms)
{
  if (path->waiting > 0 && now_ms - path->waiting_since_ms > SILENT_MS)
    set_broken (path, now_ms);
  return !path->is_broken;
}

bool
fl_store_path_take_probe (struct fl_store_path *path, int64_t now_ms)
{
  if (!path->is_broken || now_ms < path->probe_at_ms)
    return false;
  path->probe_at_ms = now_ms + PROBE_MS;
  return true;
}
