/* Where the time of jobs and of their steps goes, for logs and metrics.
 *
 * Load pattern: thousands of steps wait, each for several resources in turn. A line for each change
 * would be folded away in the seconds that matter; a step logs its wait once, when it ends, and a
 * job the parts of its age. */
#include "core/core_internal.h"

#define PAIRS_MAX 16

static const char *const reason_names[CORE_WAIT_REASON_COUNT]
    = { "none", "team_limit", "room", "advice", "record", "link", "settling" };

/* Keys of the parts of an age or wait. */
static const char *const part_keys[CORE_AGE_PARTS]
    = { "running_ms", "team_limit_ms", "room_ms",     "advice_ms",
        "record_ms",  "link_ms",       "settling_ms", "repeated_ms" };

const char *
core_wait_reason_name (enum core_wait_reason reason)
{
  return reason_names[reason];
}

/* --- jobs --- */

static int
get_age_part (const struct core_job *job)
{
  const struct core_step *step = job->idle_tasks > 0 ? job->first_step : NULL;

  for (; step != NULL; step = step->next)
    if (step->wait.missing != CORE_WAIT_NONE)
      return step->wait.missing;
  return job->run_count > 0 && job->repeated_runs == job->run_count ? CORE_AGE_REPEATED
                                                                    : CORE_WAIT_NONE;
}

static void
set_age_part (struct core_job *job, int part)
{
  int64_t now_ms = job->core->now_ms;

  if (job->age_part_since_ms > 0)
    job->age_ms[job->age_part] += now_ms - job->age_part_since_ms;
  job->age_part = part;
  job->age_part_since_ms = now_ms;
}

void
core_job_update_age (struct core_job *job)
{
  int part = get_age_part (job);

  if (part != job->age_part || job->age_part_since_ms == 0)
    set_age_part (job, part);
}

void
core_job_log_end (struct core_job *job)
{
  struct fl_core *core = job->core;
  int64_t age_ms = core->wall_ms - job->spec.accepted_ms;
  int64_t before_ms = age_ms;
  struct fl_log_pair pairs[PAIRS_MAX]
      = { FL_N ("job", &job->spec.id), FL_S ("state", fl_job_state_name (job->state)),
          FL_I ("age_ms", age_ms) };
  size_t count = 3;

  set_age_part (job, job->age_part);
  for (int i = 0; i < CORE_AGE_PARTS; i++)
    {
      pairs[count++] = FL_I (part_keys[i], job->age_ms[i]);
      before_ms -= job->age_ms[i];
    }
  pairs[count++] = FL_I ("before_ms", before_ms);
  pairs[count++] = FL_N ("queue", &job->spec.queue);
  pairs[count++] = FL_N ("team", &job->spec.team);
  fl_log_write (core->options.log, FL_LOG_INFO, "job_ended", pairs);
}

/* --- steps --- */

static enum core_wait_reason
get_longest_part (const struct core_step_wait *wait)
{
  enum core_wait_reason longest = CORE_WAIT_NONE;

  for (int i = CORE_WAIT_NONE + 1; i < CORE_WAIT_REASON_COUNT; i++)
    if (wait->parts_ms[i] > wait->parts_ms[longest])
      longest = (enum core_wait_reason)i;
  return longest;
}

/* The lines of single queries may be folded when many steps wait, so that their number is part of
 * this line. */
static void
log_step_wait (const struct core_step *step, int64_t waited_ms)
{
  const struct fl_core *core = step->job->core;
  const struct core_step_wait *wait = &step->wait;
  struct fl_name name = core_step_name (step);
  int64_t sent = step->queries_sent - wait->queries_sent;
  struct fl_log_pair pairs[PAIRS_MAX]
      = { FL_N ("step", &name), FL_S ("for", reason_names[get_longest_part (wait)]),
          FL_I ("ms", waited_ms) };
  size_t count = 3;

  for (int i = CORE_WAIT_NONE + 1; i < CORE_WAIT_REASON_COUNT; i++)
    if (wait->parts_ms[i] > 0)
      pairs[count++] = FL_I (part_keys[i], wait->parts_ms[i]);
  if (wait->parts_ms[CORE_WAIT_ADVICE] > 0)
    {
      pairs[count++] = FL_I ("queries", sent);
      pairs[count++] = FL_I ("unanswered", step->queries_failed - wait->queries_failed);
      pairs[count++] = FL_I ("other_queries", core->queries_sent - wait->all_queries_sent - sent);
    }
  pairs[count++] = FL_S ("then", reason_names[CORE_WAIT_NONE]);
  fl_log_write (core->options.log, FL_LOG_INFO, "step_waited", pairs);
}

static void
end_wait (struct core_step *step)
{
  int64_t waited_ms = 0;

  for (int i = CORE_WAIT_NONE + 1; i < CORE_WAIT_REASON_COUNT; i++)
    {
      g_autofree char *stat = g_strdup_printf ("step_wait_ms{for=\"%s\"}", reason_names[i]);
      if (step->wait.parts_ms[i] > 0)
        fl_stats_record (step->job->core->options.stats, stat, step->wait.parts_ms[i]);
      waited_ms += step->wait.parts_ms[i];
    }
  if (waited_ms > 0)
    log_step_wait (step, waited_ms);
  step->wait = (struct core_step_wait){ .missing = CORE_WAIT_NONE };
}

void
core_step_note_wait (struct core_step *step, enum core_wait_reason missing)
{
  struct core_step_wait *wait = &step->wait;
  int64_t now_ms = step->job->core->now_ms;

  if (missing == wait->missing)
    return;
  if (wait->missing == CORE_WAIT_NONE)
    {
      /* The query in flight is part of the wait that it causes. */
      wait->queries_sent = step->queries_sent - step->query_in_flight;
      wait->queries_failed = step->queries_failed;
      wait->all_queries_sent = step->job->core->queries_sent - step->query_in_flight;
    }
  else
    wait->parts_ms[wait->missing] += now_ms - wait->missing_since_ms;
  wait->missing = missing;
  wait->missing_since_ms = now_ms;
  if (missing == CORE_WAIT_NONE)
    end_wait (step);
}
