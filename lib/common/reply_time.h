/* Estimates how long replies take, as TCP does for its retransmission timer (RFC 6298): a moving
 * average and a moving average of the deviation from it. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/* All zero without replies. */
struct fl_reply_time
{
  bool is_known;
  double smoothed_ms;
  double deviation_ms;
};

/* Adds a reply that took @took_ms, with @weight (0 to 1) in the moving average. */
void fl_reply_time_add (struct fl_reply_time *time, int64_t took_ms, double weight);

/* @return the time, in ms, within which almost every reply comes; 0 without replies. */
int64_t fl_reply_time_limit_ms (const struct fl_reply_time *time);
