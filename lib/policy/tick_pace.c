#include "policy/tick_pace.h"

#include <math.h>

#include <glib.h>

/* Weight of one tick in the moving average: a burst is followed within some ten ticks, and one in
 * which the process was suspended is forgotten as soon. */
#define WEIGHT 0.2

void
fl_tick_pace_add (struct fl_tick_pace *pace, int64_t duration_us)
{
  int64_t counted_us = CLAMP (duration_us, 0, FL_TICK_INTERVAL_MAX_MS * 1000);

  pace->mean_us += WEIGHT * ((double)counted_us - pace->mean_us);
}

int64_t
fl_tick_pace_interval_ms (const struct fl_tick_pace *pace)
{
  double needed_ms = ceil (pace->mean_us / 1000.0 * 100.0 / FL_TICK_SHARE_PERCENT);

  return (int64_t)CLAMP (needed_ms, FL_TICK_INTERVAL_MIN_MS, FL_TICK_INTERVAL_MAX_MS);
}
