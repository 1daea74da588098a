/* What jobs can still reach of their latency objectives. */
#include "core/core_internal.h"

/* A result is of use up to this multiple of the objective. */
#define USEFUL_OBJECTIVES 3

/* Assumes that the steps run one after another, each for the mean run time of the queue. */
static int64_t
get_slack_ms (const struct core_job *job, int objectives)
{
  double steps = (double)job->spec.steps.count;
  double mean_ms = job->queue_stats->mean_run_ms;
  double remaining_ms = MIN ((double)job->unfinished_steps, steps) * mean_ms;
  double objective_ms
      = job->queue.stretch * steps * mean_ms + (double)job->queue.latency_objective_ms;

  if (mean_ms <= 0 || job->spec.repeat_count > 0)
    return INT64_MAX;
  return (int64_t)(objectives * objective_ms - remaining_ms)
         - (job->core->wall_ms - job->spec.accepted_ms);
}

int64_t
core_job_slack_ms (const struct core_job *job)
{
  return get_slack_ms (job, 1);
}

enum fl_order_class
core_job_order_class (const struct core_job *job)
{
  if (get_slack_ms (job, 1) >= 0)
    return FL_ORDER_IN_TIME;
  return get_slack_ms (job, USEFUL_OBJECTIVES) >= 0 ? FL_ORDER_LATE : FL_ORDER_EXPIRED;
}

bool
core_job_is_late (const struct core_job *job)
{
  return core_job_order_class (job) != FL_ORDER_IN_TIME;
}
