/* Where the time of jobs and of their steps goes, for logs and metrics.
 *
 * Load pattern: thousands of steps wait, each for several resources in turn. A line for each change
 * would be folded away in the seconds that matter; a step logs its wait once, when it ends, and a
 * job the parts of its age. */
#include "core/core_internal.h"

#define PAIRS_MAX 16
#define SCAN_INTERVAL_MS 100
/* A step that keeps its job waiting for longer is logged, the one that has waited longest at this
 * interval. */
#define WAITING_LOGGED_MS 3000
#define WAITING_LOG_INTERVAL_MS 1000

static const char *const reason_names[CORE_WAIT_REASON_COUNT]
    = { "none", "team_limit", "room", "advice", "record", "link", "settling", "orders" };

/* Keys of the parts of an age or wait. */
static const char *const part_keys[CORE_AGE_PARTS]
    = { "running_ms", "team_limit_ms", "room_ms",   "advice_ms",  "record_ms",
        "link_ms",    "settling_ms",   "orders_ms", "repeated_ms" };

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
      step->waiting_since_ms = now_ms;
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

/* --- the longest waits --- */

/* @return for how long @step has waited, for whatever was missing. */
static int64_t
get_waited_ms (const struct core_step *step)
{
  const struct core_step_wait *wait = &step->wait;
  int64_t waited_ms = step->job->core->now_ms - wait->missing_since_ms;

  if (wait->missing == CORE_WAIT_NONE)
    return 0;
  for (int i = CORE_WAIT_NONE + 1; i < CORE_WAIT_REASON_COUNT; i++)
    waited_ms += wait->parts_ms[i];
  return waited_ms;
}

/* The longest waits of jobs of which nothing runs though a step's turn has come. */
struct longest_waits
{
  int64_t waited_ms[CORE_WAIT_REASON_COUNT]; /* by what is missing now */
  const struct core_step *step;              /* which has waited longest */
  int64_t step_waited_ms;
  int64_t count; /* of steps that have waited for WAITING_LOGGED_MS or longer */
};

static void
add_job_waits (struct longest_waits *waits, const struct core_job *job)
{
  if (job->run_count > 0)
    return;
  for (const struct core_step *step = job->first_step; step != NULL; step = step->next)
    {
      int64_t waited_ms = get_waited_ms (step);
      int64_t *longest_ms = &waits->waited_ms[step->wait.missing];
      *longest_ms = MAX (*longest_ms, waited_ms);
      waits->count += waited_ms >= WAITING_LOGGED_MS;
      if (waited_ms <= waits->step_waited_ms)
        continue;
      waits->step = step;
      waits->step_waited_ms = waited_ms;
    }
}

static void
log_longest_wait (const struct longest_waits *waits)
{
  const struct core_step *step = waits->step;
  const struct fl_core *core = step->job->core;
  struct fl_name name = core_step_name (step);

  fl_log (
      core->options.log, FL_LOG_NOTICE, "step_waiting", FL_N ("step", &name),
      FL_S ("for", reason_names[step->wait.missing]), FL_I ("ms", waits->step_waited_ms),
      FL_I ("queries", step->queries_sent), FL_I ("unanswered", step->queries_failed),
      FL_I ("query_in_flight", step->query_in_flight),
      FL_I ("last_query_ms_ago", step->queried_at_ms > 0 ? core->now_ms - step->queried_at_ms : -1),
      FL_I ("has_turn", step->job->has_turn), FL_N ("queue", &step->job->spec.queue),
      FL_N ("team", &step->job->spec.team), FL_I ("steps", waits->count));
}

void
core_note_longest_waits (struct fl_core *core)
{
  struct longest_waits waits = { .step = NULL };

  if (core->now_ms - core->waits_checked_at_ms < SCAN_INTERVAL_MS)
    return;
  core->waits_checked_at_ms = core->now_ms;
  for (const GList *link = core->waiting_jobs.head; link != NULL; link = link->next)
    add_job_waits (&waits, link->data);
  for (int i = CORE_WAIT_NONE + 1; i < CORE_WAIT_REASON_COUNT; i++)
    {
      g_autofree char *stat = g_strdup_printf ("steps_waiting_ms{for=\"%s\"}", reason_names[i]);
      fl_stats_set (core->options.stats, stat, waits.waited_ms[i]);
    }
  if (waits.step_waited_ms < WAITING_LOGGED_MS
      || core->now_ms - core->waits_logged_at_ms < WAITING_LOG_INTERVAL_MS)
    return;
  core->waits_logged_at_ms = core->now_ms;
  log_longest_wait (&waits);
}
