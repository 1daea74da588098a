/* Limits of orders to targets by the time that their replies take. */
#include "core/core_internal.h"

/* Weight of one reply in the moving average. */
#define REPLY_WEIGHT (1.0 / 8)

void
core_reply_time_add (struct core_target *target, int64_t took_ms)
{
  fl_reply_time_add (&target->reply_time, took_ms, REPLY_WEIGHT);
}

int64_t
core_reply_limit_ms (const struct core_target *target, int64_t least_ms)
{
  return CLAMP (fl_reply_time_limit_ms (&target->reply_time), least_ms, FL_REPLY_MAX_MS);
}
