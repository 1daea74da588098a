#include "policy/speed.h"

#include <math.h>

#include <glib.h>

/* Time in which an estimate returns to the average but for a third, so that a target that was slow
 * for some seconds is tried again. */
#define SPEED_DECAY_MS 5000.0
/* Standard deviation of the logarithm of the slowness among targets. */
#define TARGET_LOG_DEVIATION 0.3
#define TARGET_VARIANCE (TARGET_LOG_DEVIATION * TARGET_LOG_DEVIATION)
/* Deviations by which a run counts as different at most: a task that is far longer than the others
 * of its step moves the estimate no further than one that is twice as long. */
#define RUN_DEVIATIONS_MAX 2.0
/* A target counts as slow if runs there are likely to take this many times longer at least, and no
 * longer if they are expected to take less than the second. */
#define SLOW_FACTOR 1.5
#define RECOVERED_FACTOR 1.25

/* Decay of the failure counts: several times the run time of short tasks. */
#define FAILURE_DECAY_MS 10000.0
/* Runs for which the common rate of failures counts. */
#define COMMON_RUNS 10.0
#define FAIL_SHARE_MAX 0.9

/* How much longer a task takes on a full target than on an idle one, about. */
#define LOAD_SLOWNESS 0.2
/* A task that takes this many times longer is likely to end later than one that waits for the end
 * of another run of its size. */
#define WAIT_FACTOR 2.0
/* Longest wait for room elsewhere: callers see no progress meanwhile. */
#define WAIT_MAX_MS 2000.0

/* --- speed --- */

struct fl_speed
fl_speed_at (const struct fl_speed *speed, int64_t now_ms)
{
  double elapsed_ms = (double)MAX (now_ms - speed->updated_ms, 0);
  double decay = exp (-elapsed_ms / SPEED_DECAY_MS);

  return (struct fl_speed){ speed->log_slowness * decay, speed->certainty * decay * decay, now_ms };
}

void
fl_speed_add (struct fl_speed *speed, double log_ratio, double variance)
{
  double own_variance = TARGET_VARIANCE * (1.0 - speed->certainty);
  double sum = own_variance + variance;
  double limit = RUN_DEVIATIONS_MAX * sqrt (sum);
  double difference = CLAMP (log_ratio - speed->log_slowness, -limit, limit);
  double gain = own_variance / sum;

  speed->log_slowness += gain * difference;
  speed->certainty = 1.0 - (1.0 - gain) * (1.0 - speed->certainty);
}

double
fl_speed_slowness (const struct fl_speed *speed)
{
  return exp (speed->log_slowness);
}

double
fl_speed_least_slowness (const struct fl_speed *speed)
{
  double deviation = TARGET_LOG_DEVIATION * sqrt (1.0 - speed->certainty);

  return exp (MAX (speed->log_slowness - deviation, 0.0));
}

bool
fl_speed_is_slow (const struct fl_speed *speed, bool was_slow)
{
  return was_slow ? fl_speed_slowness (speed) >= RECOVERED_FACTOR
                  : fl_speed_least_slowness (speed) >= SLOW_FACTOR;
}

/* --- failures --- */

static double
failure_decay (const struct fl_failure_rate *rate, int64_t now_ms)
{
  return exp (-(double)MAX (now_ms - rate->updated_ms, 0) / FAILURE_DECAY_MS);
}

void
fl_failure_rate_add (struct fl_failure_rate *rate, bool has_failed, int64_t now_ms)
{
  double decay = failure_decay (rate, now_ms);

  rate->runs = rate->runs * decay + 1.0;
  rate->failures = rate->failures * decay + (has_failed ? 1.0 : 0.0);
  rate->updated_ms = now_ms;
}

double
fl_failure_rate_get (const struct fl_failure_rate *rate, double common, int64_t now_ms)
{
  double decay = failure_decay (rate, now_ms);

  return (rate->failures * decay + COMMON_RUNS * common) / (rate->runs * decay + COMMON_RUNS);
}

/* --- targets for a task --- */

double
fl_target_outlook_time (const struct fl_target_outlook *outlook)
{
  double success = 1.0 - MIN (outlook->fail_share, FAIL_SHARE_MAX);

  return outlook->slowness * (1.0 + LOAD_SLOWNESS * outlook->load) / success;
}

bool
fl_target_outlook_is_worse_than_waiting (const struct fl_target_outlook *outlook)
{
  double lost_ms = (outlook->slowness - 1.0) * outlook->median_ms;

  return outlook->slowness > WAIT_FACTOR && (double)outlook->waited_ms < MIN (lost_ms, WAIT_MAX_MS);
}
