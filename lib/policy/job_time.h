/* The time that a job still needs, and its objective.
 *
 * Load pattern: more work arrives than there is room for. Which of the waiting jobs can still be in
 * time depends on the longest tasks of their steps, on what has run already, on queries for advice
 * and on failures; with the mean run time of a queue instead, room goes to jobs that look as if
 * they could be in time and are not.
 *
 * Pure: no I/O, no clock. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "policy/run_time.h"

/* What is known of one step. */
struct fl_step_time
{
  struct fl_run_time run_time; /* of one task */
  double scale;                /* of the job: its run times relative to @run_time; 1 if unknown */
  int64_t tasks;
  int64_t tasks_at_once_max; /* that its team and the room let run at the same time */
  int64_t idle_tasks;        /* neither done nor running */
  double running_left_ms;    /* expected until the last of its running tasks ends; 0 for none */
  double longest_run_ms;     /* of those that are known; 0 for none */
  int64_t failures_max;      /* most failed runs of one of its tasks */
  double failure_share;      /* probability that a run fails */
  double advice_ms;          /* of a query that its tasks need before they start; 0 for none */
  bool has_advice;           /* its tasks need no further query */
};

/* Run times of several tasks of a job relative to their estimates, as logarithms. */
struct fl_job_scale
{
  double log_sum;
  int64_t count;
};

/* Learns from a task that was expected to run for @expected_ms, and ran for @ran_ms. */
void fl_job_scale_add (struct fl_job_scale *scale, double expected_ms, double ran_ms);

/* @return the ratio to expect of its other tasks. */
double fl_job_scale_get (const struct fl_job_scale *scale);

/* @return how long a run still takes that has run for @elapsed_ms and reported @percent of its work
 * @reported_ms after its start (0 for no report); @expected_ms is its expected run time. */
double
fl_running_left_ms (double expected_ms, double elapsed_ms, double reported_ms, int64_t percent);

/* @return the time that the step takes as a whole, without waits for room; 0 without an estimate.
 * Objectives follow from it. */
double fl_step_work_ms (const struct fl_step_time *step);

/* @return the time that the step still takes once the steps before it are done. */
double fl_step_left_ms (const struct fl_step_time *step);
