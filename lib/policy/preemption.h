/* Which running batch tasks give up their room to urgent work.
 *
 * Load pattern: batch tasks that run for many seconds fill a service when urgent jobs, whose
 * tasks run for less than a second, arrive at several times their usual rate. Without preemption
 * the urgent jobs miss their objective while they wait for batch tasks to end.
 *
 * Pure: no I/O, no clock. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A running task that may be stopped and resumed elsewhere from its checkpoint. */
struct fl_preemption_candidate
{
  int64_t cpu_milli;
  int64_t memory_mb;
  int64_t remaining_ms; /* expected; INT64_MAX when unknown */
  int preemptions;      /* of this task so far */
  bool would_be_late;   /* its job can be in time, but not if the task is stopped */
  void *run;            /* of the caller */
};

/* What urgent tasks need beyond what is free or is being freed. */
struct fl_preemption_need
{
  int64_t cpu_milli;
  int64_t memory_mb;
  int64_t cpu_max_milli; /* most that may be stopped */
};

/* Moves the candidates to be stopped to the front of @candidates: as few as cover @need, those
 * first that have the most left to run.
 * @return their number. */
size_t fl_preemption_choose (struct fl_preemption_candidate *candidates,
                             size_t count,
                             const struct fl_preemption_need *need);
