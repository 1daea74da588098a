#include "common/reply_time.h"

#include <glib.h>

#define DEVIATION_WEIGHT 0.25
#define DEVIATIONS_PER_LIMIT 4

void
fl_reply_time_add (struct fl_reply_time *time, int64_t took_ms, double weight)
{
  double took = (double)MAX (took_ms, 0);
  double error = took - time->smoothed_ms;

  if (!time->is_known)
    {
      *time = (struct fl_reply_time){ true, took, took / 2 };
      return;
    }
  time->deviation_ms += DEVIATION_WEIGHT * (ABS (error) - time->deviation_ms);
  time->smoothed_ms += weight * error;
}

int64_t
fl_reply_time_limit_ms (const struct fl_reply_time *time)
{
  return (int64_t)(time->smoothed_ms + DEVIATIONS_PER_LIMIT * time->deviation_ms);
}
