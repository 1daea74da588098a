/* Run times of tasks, learnt from runs that ended, with the declared estimates as a prior.
 *
 * Load pattern: tasks of one queue differ in size by a factor of several, declared estimates are
 * off by as much, and targets are of several kinds. A step ends with its longest task, so that
 * decisions about the time that a job still needs follow from the spread of the run times and not
 * only from their mean.
 *
 * Pure: no I/O, no clock. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"

struct fl_run_times;

/* The tasks of one queue and image, which behave alike. */
struct fl_run_time_class;

/* An estimate: run times are distributed log-normally about the median. */
struct fl_run_time
{
  double median_ms;
  double log_deviation; /* standard deviation of the logarithm of the run time */
  bool is_learnt;       /* by enough runs to rely on it */
};

struct fl_run_times *fl_run_times_new (void);
void fl_run_times_free (struct fl_run_times *times);

/* @return the class that fl_run_times_get_class returns, or NULL where that would add one. */
struct fl_run_time_class *fl_run_times_find_class (const struct fl_run_times *times,
                                                   const struct fl_name *queue,
                                                   const struct fl_name *image);

/* @return the class of @queue and @image (empty for none), valid until @times is freed. */
struct fl_run_time_class *fl_run_times_get_class (struct fl_run_times *times,
                                                  const struct fl_name *queue,
                                                  const struct fl_name *image);

/* Learns from a run that ended as done after @ran_ms on a target of @kind. @declared_ms: the
 * estimate in the specification, 0 for none. */
void fl_run_time_add (struct fl_run_time_class *run_class,
                      const struct fl_name *kind,
                      int64_t declared_ms,
                      int64_t ran_ms);

/* @return the estimate for a task with @declared_ms on a target of @kind, or on any if @kind is
 * NULL. Before the first run of the class, it is the declared one; its median is 0 without that. */
struct fl_run_time fl_run_time_get (const struct fl_run_time_class *run_class,
                                    const struct fl_name *kind,
                                    int64_t declared_ms);

/* @return the expected time until the last of @count such tasks, started together, has ended. */
double fl_run_time_longest_ms (const struct fl_run_time *run_time, int64_t count);

/* @return the run time that a share of @percent of such tasks does not exceed: 50, 75, 90 or 97. */
double fl_run_time_percentile_ms (const struct fl_run_time *run_time, int percent);

/* --- run times within a step --- */

/* The tasks of one step differ by less than those of several jobs, so that kinds of targets are
 * compared within steps. */

/* Learns from a run on a target of @kind. @log_ratio: logarithm of its run time by the median of
 * its step. */
void fl_run_time_add_ratio (struct fl_run_time_class *run_class,
                            const struct fl_name *kind,
                            double log_ratio);

/* @return how many times longer runs take on targets of @kind than the median of their step. */
double fl_run_time_kind_factor (const struct fl_run_time_class *run_class,
                                const struct fl_name *kind);

/* @return the variance of the logarithm of the run times in a step. */
double fl_run_time_step_variance (const struct fl_run_time_class *run_class);
