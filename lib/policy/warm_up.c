#include "policy/warm_up.h"

#include <glib.h>

bool
fl_warm_up_is_cold (const struct fl_warm_up *warm_up, int64_t now_ms)
{
  return now_ms < warm_up->warm_at_ms;
}

void
fl_warm_up_update (struct fl_warm_up *warm_up, int64_t left_ms, int64_t now_ms)
{
  left_ms = CLAMP (left_ms, 0, INT32_MAX);
  warm_up->duration_ms
      = fl_warm_up_is_cold (warm_up, now_ms) ? MAX (warm_up->duration_ms, left_ms) : left_ms;
  warm_up->warm_at_ms = now_ms + left_ms;
}

int64_t
fl_warm_up_rank_cpu (const struct fl_warm_up *warm_up,
                     int64_t free_milli,
                     int64_t capacity_milli,
                     bool is_urgent,
                     int64_t now_ms)
{
  double cold_share;

  if (!fl_warm_up_is_cold (warm_up, now_ms))
    return free_milli;
  cold_share
      = is_urgent ? 1.0 : (double)(warm_up->warm_at_ms - now_ms) / (double)warm_up->duration_ms;
  return free_milli - (int64_t)(cold_share * (double)capacity_milli);
}
