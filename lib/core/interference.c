/* Interference between tasks: measures how the pace of runs changes when others come to their
 * target or leave it, and keeps pairs of classes that are known to slow each other down apart.
 *
 * Load pattern: see policy/interference.h. The tasks of one queue and image differ in size by a
 * factor of several, while those of one step are alike and often share a target, so that paces of
 * different runs do not tell how they disturb each other. Each run is compared with itself. */
#include <string.h>

#include <jansson.h>

#include "common/schema.h"
#include "core/core_internal.h"

/* Gauges cover the last half second, so that more frequent ones overlap. */
#define MEASURE_MIN_MS 500
/* Progress is reported in whole percent: after this many, rounding errors are below a fifth. */
#define MEASURE_PERCENT_MIN 5
/* A slower task is measured over this time, and rounding alone is taken for half a percent. */
#define MEASURE_SLOW_MS 2000
#define ROUNDING_PERCENT 0.5
/* After this time without a report, little is known of the neighbours. */
#define MEASURE_MAX_MS 3000
/* A neighbour counts after half of the time that a gauge covers. */
#define PRESENT_MIN_MS 250
/* A best-effort task that is throttled below this does not count as a neighbour. */
#define PRESENT_SHARE_PERCENT 50
/* Steps of the expected slowdown. Among targets within one step, for which estimates are not
 * precise enough, the score without it decides. */
#define PENALTY_STEP_PERCENT 10
/* Penalty for each step where the score is free CPU; exceeds the CPU of any target. */
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

/* --- measurement --- */

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

static uint32_t
get_neighbours (const struct core_run *run, const struct company *company)
{
  bool is_among_alike = company->counts[run->interference_class.place] > (is_present (run) ? 1 : 0);

  return is_among_alike ? company->classes
                        : company->classes & ~fl_interference_class_bit (run->interference_class);
}

/* What targets have to have in common to be compared. */
static uint32_t
hash_kind (const struct core_target *target)
{
  return fl_name_hash (core_target_kind (target))
         ^ (uint32_t)target->entry.resources.cpu_milli * UINT32_C (0x9e3779b1);
}

/* Learns from the change in the slowness of @run to @slowness, between two measurements with steady
 * neighbours. When neighbours have left, the reverse change counts as that by their coming. */
static void
learn_change (const struct core_run *run, uint32_t neighbours, double slowness)
{
  const struct core_target *target = run->target;
  uint32_t come = neighbours & ~run->pace.slowness_neighbours;
  uint32_t left = run->pace.slowness_neighbours & ~neighbours;
  double change = slowness / run->pace.slowness;
  struct fl_interference_sample sample = {
    .victim = run->interference_class,
    .neighbours = come | left,
    .target = fl_job_target_hash (&target->entry.id),
    .kind = hash_kind (target),
    .load_percent = target->used.cpu_milli * 100 / MAX (target->entry.resources.cpu_milli, 1),
    .slowness = left != 0 ? 1 / change : change,
  };

  if (come == 0 || left == 0)
    fl_interference_add (target->core->interference, &sample, target->core->now_ms);
}

/* Targets may report anything. */
static int64_t
get_progress (const struct core_run *run)
{
  return CLAMP (run->progress_percent, 0, 100);
}

static void
start_measurement (struct core_run *run, uint32_t neighbours, int64_t clock_ms)
{
  run->pace.clock_ms = clock_ms;
  run->pace.percent = get_progress (run);
  run->pace.neighbours = neighbours;
}

/* Ends the measurement of @run, of which @slowness is the result, and starts the next one. */
static void
end_measurement (struct core_run *run, uint32_t neighbours, int64_t clock_ms, double slowness)
{
  if (neighbours == run->pace.neighbours)
    {
      if (run->pace.slowness > 0)
        learn_change (run, neighbours, slowness);
      run->pace.slowness = slowness;
      run->pace.slowness_neighbours = neighbours;
    }
  start_measurement (run, neighbours, clock_ms);
}

/* @return the slowness of a serving or long-running task by its gauge; 0 if it is not at work, or
 * without a gauge. */
static double
read_gauge (const struct core_run *run)
{
  const struct fl_step_spec *spec = run->task->step->spec;

  if (run->gauge <= 0 || run->progress_percent < 100)
    return 0;
  return spec->latency_bound_ms > 0 ? (double)run->gauge : 1 / (double)run->gauge;
}

/* @return the time for a percent of the work of @run since the start of the measurement; 0 if it is
 * too early to tell. */
static double
read_progress (const struct core_run *run, int64_t elapsed_ms)
{
  int64_t percent = get_progress (run) - run->pace.percent;

  if (percent < MEASURE_PERCENT_MIN && elapsed_ms < MEASURE_SLOW_MS)
    return 0;
  return (double)elapsed_ms / MAX ((double)percent, ROUNDING_PERCENT);
}

static void
measure_run (struct core_run *run, const struct company *company, int64_t clock_ms)
{
  const struct fl_step_spec *spec = run->task->step->spec;
  int64_t elapsed_ms = clock_ms - run->pace.clock_ms;
  uint32_t neighbours = get_neighbours (run, company);
  bool has_gauge = spec->latency_bound_ms > 0 || spec->long_running;

  if (run->pace.clock_ms == 0 || elapsed_ms < 0 || elapsed_ms > MEASURE_MAX_MS
      || get_progress (run) < run->pace.percent)
    {
      run->pace.slowness = 0;
      start_measurement (run, neighbours, clock_ms);
      return;
    }
  if (elapsed_ms < MEASURE_MIN_MS)
    return;
  double slowness = has_gauge ? read_gauge (run) : read_progress (run, elapsed_ms);
  if (slowness > 0)
    end_measurement (run, neighbours, clock_ms, slowness);
}

/* Whether the pace of @run tells how it is disturbed. Best-effort tasks get what others leave
 * unused, and the members of a gang wait for each other. */
static bool
has_own_pace (const struct core_run *run)
{
  const struct fl_step_spec *spec = run->task->step->spec;

  return run->state == CORE_RUN_ACCEPTED && run->listed && has_class (run) && !spec->best_effort
         && !spec->gang;
}

void
core_interference_learn (const struct core_target *target)
{
  struct company company = count_company (target);

  fl_interference_note_seen (target->core->interference, company.classes, target->core->now_ms);
  for (guint i = 0; company.classes != 0 && i < target->runs->len; i++)
    {
      struct core_run *run = g_ptr_array_index (target->runs, i);
      if (has_own_pace (run))
        measure_run (run, &company, target->clock_ms);
    }
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

double
core_interference_adjust_score (const struct core_target *target,
                                const struct core_step *step,
                                double score)
{
  int64_t steps = (int64_t)(expected_slowdown (target, step, NULL) * 100) / PENALTY_STEP_PERCENT;

  steps = MIN (steps, PENALTY_STEPS_MAX);
  if (score >= 0)
    return score - (double)(steps * PENALTY_PER_STEP_MILLI);
  return score * (1.0 + (double)(steps * PENALTY_STEP_PERCENT) / 100.0);
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
