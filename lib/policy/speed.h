/* How much longer runs take on one target than on others, and how often they fail there.
 *
 * Load pattern: targets differ in speed, and some become several times slower, or fail what they
 * start, for seconds while they report good health. Run times vary as well, and a few tasks are
 * several times longer than the others of their step, so that a single run says little about its
 * target.
 *
 * Pure: no I/O, no clock. All members zero: nothing is known. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/* The logarithm of the slowness of a target is normally distributed about a mean. Without further
 * runs it returns to that of an average target. */
struct fl_speed
{
  double log_slowness; /* mean */
  double certainty;    /* share of the variance among targets that runs have removed: 0 to 1 */
  int64_t updated_ms;
};

/* @return the estimate at @now_ms. */
struct fl_speed fl_speed_at (const struct fl_speed *speed, int64_t now_ms);

/* Adds a run at the time of the estimate. @log_ratio: logarithm of its run time by that of such a
 * run on an average target; @variance: of this logarithm, other than by the target. */
void fl_speed_add (struct fl_speed *speed, double log_ratio, double variance);

/* How many times longer runs take than on an average target: expected, and the least that is
 * likely; the latter is at least 1. */
double fl_speed_slowness (const struct fl_speed *speed);
double fl_speed_least_slowness (const struct fl_speed *speed);

/* Whether the target counts as slow. With hysteresis, since the estimate varies with each run. */
bool fl_speed_is_slow (const struct fl_speed *speed, bool was_slow);

/* Moving counts of the runs of a target that ended by themselves, and of those that failed. */
struct fl_failure_rate
{
  double runs;
  double failures;
  int64_t updated_ms;
};

void fl_failure_rate_add (struct fl_failure_rate *rate, bool has_failed, int64_t now_ms);

/* @return the share of runs that fail on a target; @common is that of all targets, which counts
 * until it has enough runs of its own. */
double fl_failure_rate_get (const struct fl_failure_rate *rate, double common, int64_t now_ms);

/* What is known of a target for a task that could start there now. */
struct fl_target_outlook
{
  double slowness;   /* including what its kind takes longer for such tasks */
  double fail_share; /* of the runs there */
  double load;       /* share of its CPU that is used, 0 to 1 */
  double median_ms;  /* run time on an average target; 0 if unknown */
  int64_t waited_ms; /* by the step, since the last start */
};

/* @return the expected time until the task is done there, by that on an average idle target. */
double fl_target_outlook_time (const struct fl_target_outlook *outlook);

/* Whether the task is likely to end sooner if it waits for room on another target.
 *
 * Load pattern: all targets are full but for those on which tasks hardly progress. */
bool fl_target_outlook_is_worse_than_waiting (const struct fl_target_outlook *outlook);
