/* Interference between tasks: measures how slow runs are beside which others, and keeps pairs of
 * classes that are known to slow each other down apart.
 *
 * Load pattern: see policy/interference.h. */
#include <string.h>

#include <jansson.h>

#include "common/schema.h"
#include "core/core_internal.h"

/* Gauges cover the last half second, so that more frequent ones overlap. */
#define SAMPLE_INTERVAL_MS 500
/* Progress is reported in whole percent: after this many, rounding errors are below a fifth. */
#define SAMPLE_PERCENT_MIN 5
/* A slower task is sampled after this time, and rounding alone is taken for half a percent. */
#define SLOW_SAMPLE_MS 2000
#define ROUNDING_PERCENT 0.5
/* A measurement over a longer time, for want of reports, says little about the neighbours. */
#define SAMPLE_GAP_MAX_MS 3000
/* The size of a task is the same in all samples of a run, so that the k-th counts 1/k, but no less
 * than this: the slowness may change. */
#define SAMPLE_WEIGHT_MIN 0.1
/* A neighbour counts after half of the time that a gauge covers. */
#define PRESENT_MIN_MS 250
/* A best-effort task that is throttled below this does not count as a neighbour. */
#define PRESENT_SHARE_PERCENT 50
/* Penalty for each step of expected slowdown; exceeds the CPU of any target. Among targets within
 * one step, for which estimates are not precise enough, free CPU decides. */
#define PENALTY_STEP_PERCENT 10
#define PENALTY_PER_STEP_MILLI INT64_C (10000000)
/* Keeps the penalty below that for a remote rack or for a target on which the task failed. */
#define PENALTY_STEPS_MAX 90

/* --- classes --- */

void
core_interference_classify (struct core_step *step)
{
  struct fl_core *core = step->job->core;

  if (step->spec->image.len > 0)
    step->interference_class = fl_interference_get_class (
        core->interference, &step->job->spec.queue, &step->spec->image, core->now_ms);
}

void
core_interference_classify_run (struct core_run *run)
{
  struct core_step *step = run->task->step;
  struct fl_core *core = step->job->core;

  /* The class may have been idle while the task waited. */
  if (!fl_interference_class_is_valid (core->interference, step->interference_class))
    core_interference_classify (step);
  run->interference_class = step->interference_class;
}

/* --- samples --- */

/* The numbers of runs on a target by class. */
struct company
{
  int counts[FL_INTERFERENCE_CLASSES_MAX];
  uint32_t classes; /* with a count above 0 */
};

static bool
has_class (const struct core_run *run)
{
  return fl_interference_class_is_valid (run->target->core->interference, run->interference_class);
}

/* Whether @run has disturbed its neighbours for most of the last half second, if it does. */
static bool
is_present (const struct core_run *run)
{
  return run->listed && has_class (run)
         && run->target->core->now_ms - run->first_ordered_at_ms >= PRESENT_MIN_MS
         && run->share_percent >= PRESENT_SHARE_PERCENT;
}

static struct company
count_company (const struct core_target *target)
{
  struct company company = { 0 };

  for (guint i = 0; i < target->runs->len; i++)
    {
      const struct core_run *run = g_ptr_array_index (target->runs, i);
      if (!is_present (run))
        continue;
      company.counts[run->interference_class.place]++;
      company.classes |= fl_interference_class_bit (run->interference_class);
    }
  return company;
}

/* What targets have to have in common to be compared. */
static uint32_t
hash_kind (const struct core_target *target)
{
  return fl_name_hash (core_target_kind (target))
         ^ (uint32_t)target->entry.resources.cpu_milli * UINT32_C (0x9e3779b1);
}

static void
add_sample (struct core_run *run, const struct company *company, double slowness, double weight)
{
  const struct core_target *target = run->target;
  uint32_t own_bit = fl_interference_class_bit (run->interference_class);
  bool is_among_alike = company->counts[run->interference_class.place] > (is_present (run) ? 1 : 0);
  struct fl_interference_sample sample = {
    .victim = run->interference_class,
    .neighbours = is_among_alike ? company->classes : company->classes & ~own_bit,
    .target = fl_job_target_hash (&target->entry.id),
    .kind = hash_kind (target),
    .load_percent = target->used.cpu_milli * 100 / MAX (target->entry.resources.cpu_milli, 1),
    .slowness = slowness,
    .weight = weight,
  };

  run->pace.samples++;
  fl_interference_add (target->core->interference, &sample, target->core->now_ms);
}

static void
start_measurement (struct core_run *run, int64_t clock_ms)
{
  run->pace.clock_ms = clock_ms;
  run->pace.percent = run->progress_percent;
}

/* Samples a serving or long-running task by its gauge, once it is at work. A gauge of 0 says
 * nothing. */
static void
sample_gauge (struct core_run *run, const struct company *company, int64_t clock_ms)
{
  const struct fl_step_spec *spec = run->task->step->spec;

  if (run->pace.clock_ms > 0 && clock_ms >= run->pace.clock_ms
      && clock_ms - run->pace.clock_ms < SAMPLE_INTERVAL_MS)
    return;
  start_measurement (run, clock_ms);
  if (run->gauge <= 0 || run->progress_percent < 100)
    return;
  if (spec->latency_bound_ms > 0)
    add_sample (run, company, (double)run->gauge / (double)spec->latency_bound_ms, 1.0);
  else if (spec->cpu_milli > 0)
    add_sample (run, company, (double)spec->cpu_milli / (double)run->gauge, 1.0);
}

/* Adds a sample of @run, which took @elapsed_ms for @percent of its work. */
static void
add_progress_sample (struct core_run *run,
                     const struct company *company,
                     int64_t elapsed_ms,
                     double percent)
{
  const struct core_step *step = run->task->step;
  struct fl_run_time expected
      = fl_run_time_get (step->run_class, core_target_kind (run->target), step->spec->estimate_ms);
  double weight = MAX (1.0 / (double)(run->pace.samples + 1), SAMPLE_WEIGHT_MIN);

  if (expected.is_learnt && expected.median_ms > 0)
    add_sample (run, company, (double)elapsed_ms * 100.0 / (percent * expected.median_ms), weight);
}

static void
sample_progress (struct core_run *run, const struct company *company, int64_t clock_ms)
{
  int64_t elapsed_ms = clock_ms - run->pace.clock_ms;
  int64_t percent = run->progress_percent - run->pace.percent;

  if (run->pace.clock_ms == 0 || elapsed_ms < 0 || elapsed_ms > SAMPLE_GAP_MAX_MS || percent < 0)
    {
      start_measurement (run, clock_ms);
      return;
    }
  if (elapsed_ms < SAMPLE_INTERVAL_MS
      || (percent < SAMPLE_PERCENT_MIN && elapsed_ms < SLOW_SAMPLE_MS))
    return;
  add_progress_sample (run, company, elapsed_ms, MAX ((double)percent, ROUNDING_PERCENT));
  start_measurement (run, clock_ms);
}

/* Whether progress tells how @run is disturbed. Best-effort tasks get what others leave unused, and
 * the members of a gang wait for each other. */
static bool
has_own_pace (const struct core_run *run)
{
  const struct fl_step_spec *spec = run->task->step->spec;

  return run->state == CORE_RUN_ACCEPTED && has_class (run) && !spec->best_effort && !spec->gang;
}

void
core_interference_learn (const struct core_target *target)
{
  struct company company = count_company (target);

  for (guint i = 0; company.classes != 0 && i < target->runs->len; i++)
    {
      struct core_run *run = g_ptr_array_index (target->runs, i);
      const struct fl_step_spec *spec = run->task->step->spec;
      if (!run->listed || !has_own_pace (run))
        continue;
      if (spec->latency_bound_ms > 0 || spec->long_running)
        sample_gauge (run, &company, target->clock_ms);
      else
        sample_progress (run, &company, target->clock_ms);
    }
}

/* Whether all of the work of @run, which has ended, is measured from its start. */
static bool
is_measured_from_start (const struct core_run *run)
{
  return run->pace.clock_ms == 0 && run->started_at_ms > 0 && !run->is_resumed;
}

void
core_interference_learn_end (struct core_run *run)
{
  const struct core_target *target = run->target;
  const struct fl_step_spec *spec = run->task->step->spec;
  bool is_whole = is_measured_from_start (run);
  int64_t elapsed_ms = is_whole ? target->core->now_ms - run->started_at_ms
                                : target->clock_ms - run->pace.clock_ms;
  int64_t elapsed_min_ms = is_whole ? 1 : SAMPLE_INTERVAL_MS;

  if (!has_own_pace (run) || spec->latency_bound_ms > 0 || spec->long_running
      || !target->ends_are_timely || elapsed_ms < elapsed_min_ms || elapsed_ms > SAMPLE_GAP_MAX_MS)
    return;
  struct company company = count_company (target);
  add_progress_sample (run, &company, elapsed_ms,
                       MAX ((double)(100 - run->pace.percent), ROUNDING_PERCENT));
}

/* --- known pairs --- */

static void
log_change (void *context,
            const struct fl_interference_pair *pair,
            enum fl_interference_change change)
{
  static const char *const reasons[] = { "", "refuted", "faded" };
  const struct fl_core *core = context;
  bool is_learnt = change == FL_INTERFERENCE_LEARNT;

  fl_stats_add (core->options.stats,
                is_learnt ? "interference_learnt_total" : "interference_forgotten_total", 1);
  fl_log (core->options.log, FL_LOG_NOTICE,
          is_learnt ? "interference_learnt" : "interference_forgotten",
          FL_N ("queue", &pair->victim_queue), FL_N ("image", &pair->victim_image),
          FL_N ("beside_queue", &pair->neighbour_queue),
          FL_N ("beside_image", &pair->neighbour_image),
          FL_I ("slowdown_percent", pair->slowdown_percent), FL_I ("targets", pair->targets),
          FL_I ("samples", pair->samples), FL_S ("reason", reasons[change]));
}

void
core_interference_update (struct fl_core *core)
{
  fl_interference_update (core->interference, core->now_ms, log_change, core);
  fl_stats_set (core->options.stats, "interference_pairs",
                fl_interference_pair_count (core->interference));
}

/* @return the sum of the expected slowdowns of the runs on @target by a task of @step, and of the
 * task by them, as a share. @own_run, which may be NULL, is left out. */
static double
expected_slowdown (const struct core_target *target,
                   const struct core_step *step,
                   const struct core_run *own_run)
{
  const struct fl_interference *interference = target->core->interference;
  double slowdown = 0;

  if (fl_interference_pair_count (interference) == 0)
    return 0;
  for (guint i = 0; i < target->runs->len; i++)
    {
      const struct core_run *run = g_ptr_array_index (target->runs, i);
      if (run == own_run)
        continue;
      slowdown += fl_interference_slowdown (interference, run->interference_class,
                                            step->interference_class)
                  + fl_interference_slowdown (interference, step->interference_class,
                                              run->interference_class);
    }
  return slowdown;
}

int64_t
core_interference_penalty (const struct core_target *target, const struct core_step *step)
{
  int64_t steps = (int64_t)(expected_slowdown (target, step, NULL) * 100) / PENALTY_STEP_PERCENT;

  return MIN (steps, PENALTY_STEPS_MAX) * PENALTY_PER_STEP_MILLI;
}

void
core_interference_count_start (const struct core_run *run)
{
  if (expected_slowdown (run->target, run->task->step, run) > 0)
    fl_stats_add (run->target->core->options.stats, "interference_starts_total", 1);
}

static void
dump_pair (void *context, const struct fl_interference_pair *pair)
{
  GString *out = context;
  json_t *row = json_pack (
      "{s:s%, s:s%, s:s%, s:s%, s:I, s:I, s:I}", "interference_queue", pair->victim_queue.data,
      (size_t)pair->victim_queue.len, "image", pair->victim_image.data,
      (size_t)pair->victim_image.len, "beside_queue", pair->neighbour_queue.data,
      (size_t)pair->neighbour_queue.len, "beside_image", pair->neighbour_image.data,
      (size_t)pair->neighbour_image.len, "slowdown_percent", (json_int_t)pair->slowdown_percent,
      "targets", (json_int_t)pair->targets, "samples", (json_int_t)pair->samples);

  if (row == NULL) /* a name is not valid UTF-8 */
    return;
  struct fl_str text = fl_json_encode (row);
  g_string_append_printf (out, "%s\n", fl_str_text (&text));
  fl_str_clear (&text);
  json_decref (row);
}

void
core_interference_dump (const struct fl_core *core, GString *out)
{
  fl_interference_visit_pairs (core->interference, dump_pair, out);
}
