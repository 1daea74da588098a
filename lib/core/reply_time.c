/* Estimates how long the replies of a target take, as TCP does for its retransmission timer
 * (RFC 6298). */
#include "core/core_internal.h"

#define SMOOTHED_WEIGHT (1.0 / 8)
#define DEVIATION_WEIGHT (1.0 / 4)
#define DEVIATIONS_PER_LIMIT 4

void
core_reply_time_add (struct core_reply_time *time, int64_t took_ms)
{
  double took = (double)MAX (took_ms, 0);
  double error = took - time->smoothed_ms;

  if (!time->is_known)
    {
      *time = (struct core_reply_time){ true, took, took / 2 };
      return;
    }
  time->deviation_ms += DEVIATION_WEIGHT * (ABS (error) - time->deviation_ms);
  time->smoothed_ms += SMOOTHED_WEIGHT * error;
}

int64_t
core_reply_time_limit_ms (const struct core_reply_time *time, int64_t least_ms)
{
  double limit_ms = time->smoothed_ms + DEVIATIONS_PER_LIMIT * time->deviation_ms;

  return CLAMP ((int64_t)limit_ms, least_ms, FL_REPLY_MAX_MS);
}
