#include "job/job_spec.h"

#include <string.h>

#include <glib.h>
#include <xxhash.h>

#include "common/bounds.h"
#include "job/progress_sets.h"

#define REPEATS_MAX 1000
/* Most rows of the lists in a progress record. */
#define RECORDED_TASKS_MAX FL_JOB_TASKS_MAX
#define FAILED_RUNS_MAX 1000 /* of one task */
#define RECORDED_TARGETS_MAX 10000
#define RECORDED_CRASHES_MAX 1000 /* of one task */
#define RECORDED_STEPS_MAX (FL_STEPS_MAX * REPEATS_MAX)

/* The _AS form is for members whose C name differs from the name in stored data. */
#define FIELD(owner_, member_, type_, required_, min_, max_, fallback_)                            \
  FIELD_AS (owner_, member_, #member_, type_, required_, min_, max_, fallback_)
#define FIELD_AS(owner_, member_, name_, type_, required_, min_, max_, fallback_)                  \
  {                                                                                                \
    name_, type_, offsetof (struct owner_, member_), required_, min_, max_, fallback_, NULL, NULL  \
  }
#define LIST(owner_, member_, min_, max_, schema_)                                                 \
  {                                                                                                \
#member_, FL_ARRAY, offsetof(struct owner_, member_), true, min_, max_, 0, schema_, NULL       \
  }

static const struct fl_field dependency_fields[] = {
  FIELD (fl_step_dependency, step, FL_INT, true, 0, FL_STEPS_MAX, 0),
};
static FL_SCHEMA_AS (dependency_schema, fl_step_dependency, "fl_step_link", dependency_fields);

static const struct fl_field step_fields[] = {
  FIELD (fl_step_spec, count, FL_INT, true, 1, FL_STEP_TASKS_MAX, 0),
  FIELD (fl_step_spec, cpu_milli, FL_INT, false, 0, FL_RESOURCE_MAX, 0),
  FIELD (fl_step_spec, memory_mb, FL_INT, false, 0, FL_RESOURCE_MAX, 0),
  FIELD (fl_step_spec, gpu, FL_INT, false, 0, FL_RESOURCE_MAX, 0),
  FIELD (fl_step_spec, estimate_ms, FL_INT, false, 0, FL_DURATION_MAX_MS, 0),
  LIST (fl_step_spec, after, 0, FL_STEPS_MAX, &dependency_schema),
  FIELD (fl_step_spec, gang, FL_BOOL, false, 0, 0, 0),
  FIELD (fl_step_spec, rack_bound, FL_BOOL, false, 0, 0, 0),
  FIELD (fl_step_spec, speculative, FL_BOOL, false, 0, 0, 0),
  FIELD (fl_step_spec, long_running, FL_BOOL, false, 0, 0, 0),
  FIELD (fl_step_spec, checkpoints, FL_BOOL, false, 0, 0, 0),
  FIELD_AS (fl_step_spec, best_effort, "fills", FL_BOOL, false, 0, 0, 0),
  FIELD (fl_step_spec, label, FL_NAME, false, 0, FL_NAME_MAX, 0),
  FIELD (fl_step_spec, rack, FL_NAME, false, 0, FL_NAME_MAX, 0),
  FIELD (fl_step_spec, image, FL_NAME, false, 0, FL_NAME_MAX, 0),
  FIELD (fl_step_spec, per_target_max, FL_INT, false, 0, FL_STEP_TASKS_MAX, 0),
  FIELD (fl_step_spec, latency_bound_ms, FL_INT, false, 0, FL_DAY_MS, 0),
  FIELD (fl_step_spec, disruptions_max, FL_INT, false, -1, FL_STEP_TASKS_MAX, -1),
};
static FL_SCHEMA (step_schema, fl_step_spec, step_fields);

#define MILLIONTHS 1000000

static const struct fl_field job_queue_fields[] = {
  FIELD (fl_job_queue, service, FL_NAME, false, 0, FL_NAME_MAX, 0),
  FIELD (fl_job_queue, priority, FL_INT, false, 0, FL_FACTOR_MAX, 0),
  FIELD_AS (fl_job_queue, attempts_max, "attempts", FL_INT, false, 0, FL_FACTOR_MAX, 0),
  FIELD_AS (
      fl_job_queue, latency_objective_ms, "objective_ms", FL_INT, false, 0, FL_DURATION_MAX_MS, 0),
  FIELD_AS (fl_job_queue,
            stretch_millionths,
            "stretch_ppm",
            FL_INT,
            false,
            0,
            (int64_t)FL_FACTOR_MAX *MILLIONTHS,
            0),
  FIELD_AS (fl_job_queue, advice_required, "advice", FL_BOOL, false, 0, 0, 0),
  FIELD_AS (fl_job_queue, advice_base_us, "advice_us", FL_INT, false, 0, 1000 * FL_DAY_MS, 0),
  FIELD_AS (fl_job_queue,
            advice_per_target_us,
            "advice_target_us",
            FL_INT,
            false,
            0,
            1000 * FL_DAY_MS,
            0),
  FIELD_AS (
      fl_job_queue, advice_valid_ms, "ticket_ms", FL_INT, false, 0, FL_TICKET_VALID_MAX_MS, 0),
};
static FL_SCHEMA (job_queue_schema, fl_job_queue, job_queue_fields);

static const struct fl_field job_fields[] = {
  FIELD (fl_job_spec, id, FL_NAME, true, 1, FL_NAME_MAX, 0),
  FIELD (fl_job_spec, queue, FL_NAME, true, 1, FL_NAME_MAX, 0),
  FIELD (fl_job_spec, team, FL_NAME, false, 0, FL_NAME_MAX, 0),
  FIELD (fl_job_spec, accepted_ms, FL_INT, false, 0, FL_TIME_MAX_MS, 0),
  FIELD (fl_job_spec, text, FL_TEXT, false, 0, FL_SPEC_BYTES_MAX, 0),
  LIST (fl_job_spec, steps, 1, FL_STEPS_MAX, &step_schema),
  FIELD (fl_job_spec, repeat_count, FL_INT, false, 0, REPEATS_MAX, 0),
  FIELD (fl_job_spec, start_at_ms, FL_INT, false, 0, FL_TIME_MAX_MS, 0),
  FIELD (fl_job_spec, interval_ms, FL_INT, false, 0, FL_DURATION_MAX_MS, 0),
  { "admitted_by", FL_OBJECT, offsetof (struct fl_job_spec, admitted_by), false, 0, 0, 0,
    &job_queue_schema, NULL },
};
FL_SCHEMA (fl_job_spec_schema, fl_job_spec, job_fields);

static const struct fl_field failed_run_fields[] = {
  FIELD (fl_failed_run, run, FL_INT, true, 0, FL_NUMBER_MAX, 0),
};
static FL_SCHEMA (failed_run_schema, fl_failed_run, failed_run_fields);

static const struct fl_field task_fields[] = {
  FIELD (fl_task_progress, occurrence, FL_INT, false, 0, REPEATS_MAX, 0),
  FIELD (fl_task_progress, step, FL_INT, false, 0, FL_STEPS_MAX, 0),
  FIELD (fl_task_progress, index, FL_INT, false, 0, FL_STEP_TASKS_MAX, 0),
  FIELD (fl_task_progress, done, FL_BOOL, false, 0, 0, 0),
  LIST (fl_task_progress, failed_runs, 0, FAILED_RUNS_MAX, &failed_run_schema),
  FIELD (fl_task_progress, checkpoint, FL_TEXT, false, 0, FL_SPEC_BYTES_MAX, 0),
};
static FL_SCHEMA (task_schema, fl_task_progress, task_fields);

static const char *const state_names[]
    = { "queued", "running", "completed", "failed", "cancelled", NULL };

/* The JSON record of earlier versions, which names its targets and lists each task that is done. */
struct json_target
{
  struct fl_name id;
};

struct json_progress
{
  int state;
  struct fl_array tasks;
  struct fl_array targets; /* of struct json_target */
  bool any_target;
};

static const struct fl_field json_target_fields[] = {
  FIELD (json_target, id, FL_NAME, true, 1, FL_NAME_MAX, 0),
};
static FL_SCHEMA_AS (json_target_schema, json_target, "fl_job_target", json_target_fields);

static const struct fl_field json_progress_fields[] = {
  { "state", FL_ENUM, offsetof (struct json_progress, state), true, 0, 0, 0, NULL, state_names },
  LIST (json_progress, tasks, 0, RECORDED_TASKS_MAX, &task_schema),
  LIST (json_progress, targets, 0, RECORDED_TARGETS_MAX, &json_target_schema),
  FIELD_AS (json_progress, any_target, "anywhere", FL_BOOL, false, 0, 0, 0),
};
static FL_SCHEMA_AS (json_progress_schema, json_progress, "fl_job_progress", json_progress_fields);

static const struct fl_field target_fields[] = {
  FIELD (fl_job_target, hash, FL_INT, true, 0, UINT32_MAX, 0),
};
static FL_SCHEMA (target_schema, fl_job_target, target_fields);

static const struct fl_field done_range_fields[] = {
  FIELD (fl_done_range, occurrence, FL_INT, true, 0, REPEATS_MAX, 0),
  FIELD (fl_done_range, step, FL_INT, true, 0, FL_STEPS_MAX, 0),
  FIELD (fl_done_range, first, FL_INT, true, 0, FL_STEP_TASKS_MAX, 0),
  FIELD (fl_done_range, count, FL_INT, true, 1, FL_STEP_TASKS_MAX, 0),
};
static FL_SCHEMA (done_range_schema, fl_done_range, done_range_fields);

static const struct fl_field progress_fields[] = {
  { "state", FL_ENUM, offsetof (struct fl_job_progress, state), true, 0, 0, 0, NULL, state_names },
  LIST (fl_job_progress, done, 0, RECORDED_TASKS_MAX, &done_range_schema),
  LIST (fl_job_progress, tasks, 0, RECORDED_TASKS_MAX, &task_schema),
  LIST (fl_job_progress, targets, 0, RECORDED_TARGETS_MAX, &target_schema),
  FIELD_AS (fl_job_progress, any_target, "anywhere", FL_BOOL, false, 0, 0, 0),
};
static FL_SCHEMA (progress_schema, fl_job_progress, progress_fields);

static const struct fl_field task_target_fields[] = {
  FIELD (fl_task_target, target, FL_INT, true, FL_TASK_TARGET_UNKNOWN, RECORDED_TARGETS_MAX, 0),
};
static FL_SCHEMA (task_target_schema, fl_task_target, task_target_fields);

static const struct fl_field step_targets_fields[] = {
  FIELD (fl_step_targets, occurrence, FL_INT, true, 0, REPEATS_MAX, 0),
  FIELD (fl_step_targets, step, FL_INT, true, 0, FL_STEPS_MAX, 0),
  LIST (fl_step_targets, tasks, 0, FL_STEP_TASKS_MAX, &task_target_schema),
};
static FL_SCHEMA (step_targets_schema, fl_step_targets, step_targets_fields);

/* A second document of a record, after that of progress_fields, which earlier versions ignore. */
static const struct fl_field task_targets_fields[] = {
  FIELD (fl_task_targets, fencing_token, FL_INT, true, 1, INT32_MAX, 0),
  LIST (fl_task_targets, steps, 0, RECORDED_STEPS_MAX, &step_targets_schema),
};
static FL_SCHEMA (task_targets_schema, fl_task_targets, task_targets_fields);

static const char *const crash_state_names[] = { "open", "present", "suspected", "at_once", NULL };

static const struct fl_field crashed_run_fields[] = {
  FIELD (fl_crashed_run, run, FL_INT, true, 0, FL_NUMBER_MAX, 0),
  { "state", FL_ENUM, offsetof (struct fl_crashed_run, state), true, 0, 0, 0, NULL,
    crash_state_names },
  FIELD (fl_crashed_run, target, FL_INT, true, 0, UINT32_MAX, 0),
  FIELD (fl_crashed_run, address, FL_INT, true, 0, UINT32_MAX, 0),
  FIELD (fl_crashed_run, booted_at_ms, FL_INT, true, INT64_MIN, INT64_MAX, 0),
};
static FL_SCHEMA (crashed_run_schema, fl_crashed_run, crashed_run_fields);

static const struct fl_field task_crashes_fields[] = {
  FIELD (fl_task_crashes, occurrence, FL_INT, true, 0, REPEATS_MAX, 0),
  FIELD (fl_task_crashes, step, FL_INT, true, 0, FL_STEPS_MAX, 0),
  FIELD (fl_task_crashes, index, FL_INT, true, 0, FL_STEP_TASKS_MAX, 0),
  LIST (fl_task_crashes, runs, 0, RECORDED_CRASHES_MAX, &crashed_run_schema),
};
static FL_SCHEMA (task_crashes_schema, fl_task_crashes, task_crashes_fields);

/* A third document of a record, which earlier versions ignore. */
static const struct fl_field job_crashes_fields[] = {
  LIST (fl_job_crashes, tasks, 0, RECORDED_TASKS_MAX, &task_crashes_schema),
};
static FL_SCHEMA (job_crashes_schema, fl_job_crashes, job_crashes_fields);

static const struct fl_field ended_range_fields[] = {
  FIELD (fl_ended_range, first, FL_INT, true, 0, REPEATS_MAX, 0),
  FIELD (fl_ended_range, count, FL_INT, true, 1, REPEATS_MAX, 0),
};
static FL_SCHEMA (ended_range_schema, fl_ended_range, ended_range_fields);

/* A fourth document of a record, which earlier versions ignore: they could not store the record of
 * a job that needs it. */
static const struct fl_field job_ended_fields[] = {
  LIST (fl_job_ended, ranges, 0, REPEATS_MAX, &ended_range_schema),
};
static FL_SCHEMA (job_ended_schema, fl_job_ended, job_ended_fields);

#define SETS_MAX 20000
/* Of a set: a bit for each task, and the form. */
#define SET_BYTES_MAX (FL_JOB_TASKS_MAX / 8 + 1)

static const struct fl_field run_set_fields[] = {
  FIELD (fl_run_set, run, FL_INT, true, 0, FL_NUMBER_MAX, 0),
  FIELD (fl_run_set, tasks, FL_TEXT, true, 0, SET_BYTES_MAX, 0),
};
static FL_SCHEMA (run_set_schema, fl_run_set, run_set_fields);

static const struct fl_field crash_set_fields[] = {
  FIELD (fl_crash_set, run, FL_INT, true, 0, FL_NUMBER_MAX, 0),
  { "state", FL_ENUM, offsetof (struct fl_crash_set, state), true, 0, 0, 0, NULL,
    crash_state_names },
  FIELD (fl_crash_set, target, FL_INT, true, 0, UINT32_MAX, 0),
  FIELD (fl_crash_set, address, FL_INT, true, 0, UINT32_MAX, 0),
  FIELD (fl_crash_set, booted_at_ms, FL_INT, true, INT64_MIN, INT64_MAX, 0),
  FIELD (fl_crash_set, tasks, FL_TEXT, true, 0, SET_BYTES_MAX, 0),
};
static FL_SCHEMA (crash_set_schema, fl_crash_set, crash_set_fields);

static const struct fl_field target_set_fields[] = {
  FIELD (fl_target_set, target, FL_INT, true, FL_TASK_TARGET_UNKNOWN, RECORDED_TARGETS_MAX, 0),
  FIELD (fl_target_set, tasks, FL_TEXT, true, 0, SET_BYTES_MAX, 0),
};
static FL_SCHEMA (target_set_schema, fl_target_set, target_set_fields);

/* In place of the third document. Earlier versions, which expect an array of one field there,
 * ignore it. */
static const struct fl_field sets_fields[] = {
  FIELD (fl_progress_sets, done, FL_TEXT, true, 0, SET_BYTES_MAX, 0),
  LIST (fl_progress_sets, failed, 0, SETS_MAX, &run_set_schema),
  LIST (fl_progress_sets, crashes, 0, SETS_MAX, &crash_set_schema),
  FIELD (fl_progress_sets, fencing_token, FL_INT, true, 0, INT32_MAX, 0),
  LIST (fl_progress_sets, targets, 0, SETS_MAX, &target_set_schema),
};
static FL_SCHEMA (sets_schema, fl_progress_sets, sets_fields);

void
fl_job_spec_set_queue (struct fl_job_spec *spec, const struct fl_queue *queue)
{
  const struct fl_advice_policy *advice = &queue->advice;

  spec->queue = queue->name;
  spec->admitted_by = (struct fl_job_queue){
    .service = queue->service,
    .priority = queue->priority,
    .attempts_max = queue->attempts_max,
    .latency_objective_ms = queue->latency_objective_ms,
    .stretch_millionths = (int64_t)(queue->stretch * MILLIONTHS + 0.5),
    .advice_required = advice->required,
    .advice_base_us = (int64_t)(advice->base_latency_ms * 1000 + 0.5),
    .advice_per_target_us = (int64_t)(advice->per_target_latency_ms * 1000 + 0.5),
    .advice_valid_ms = advice->valid_ms,
  };
}

bool
fl_job_spec_get_queue (const struct fl_job_spec *spec, struct fl_queue *queue)
{
  const struct fl_job_queue *admitted_by = &spec->admitted_by;

  if (admitted_by->service.len == 0)
    return false;
  *queue = (struct fl_queue){
    .name = spec->queue,
    .service = admitted_by->service,
    .priority = admitted_by->priority,
    .attempts_max = MAX (admitted_by->attempts_max, 1),
    .latency_objective_ms = admitted_by->latency_objective_ms,
    .stretch = (double)admitted_by->stretch_millionths / MILLIONTHS,
    .advice = { admitted_by->advice_required, (double)admitted_by->advice_base_us / 1000,
                (double)admitted_by->advice_per_target_us / 1000, admitted_by->advice_valid_ms },
  };
  return true;
}

const char *
fl_crash_state_name (enum fl_crash_state state)
{
  return crash_state_names[state];
}

const char *
fl_job_state_name (enum fl_job_state state)
{
  return state_names[state];
}

bool
fl_job_state_is_final (enum fl_job_state state)
{
  return state == FL_JOB_COMPLETED || state == FL_JOB_FAILED || state == FL_JOB_CANCELLED;
}

const struct fl_step_spec *
fl_job_spec_get_step (const struct fl_job_spec *spec, size_t number)
{
  g_assert (number < spec->steps.count);
  return (const struct fl_step_spec *)spec->steps.items + number;
}

int64_t
fl_job_spec_count_occurrences (const struct fl_job_spec *spec)
{
  return MAX (spec->repeat_count, 1);
}

/* Whether a progress record has room for all tasks. The bounds of fields are known to hold. */
static bool
check_task_count (const struct fl_job_spec *spec, struct fl_error *error)
{
  int64_t count = 0;

  for (size_t i = 0; i < spec->steps.count; i++)
    count += fl_job_spec_get_step (spec, i)->count;
  count *= fl_job_spec_count_occurrences (spec);
  if (count <= FL_JOB_TASKS_MAX)
    return true;
  return fl_fail (error, FL_INVALID, "job_check", NULL,
                  "%" G_GINT64_FORMAT " tasks; allowed are %d", count, FL_JOB_TASKS_MAX);
}

bool
fl_job_spec_validate (const struct fl_job_spec *spec, struct fl_error *error)
{
  if (!fl_schema_check (&fl_job_spec_schema, spec, error) || !check_task_count (spec, error))
    return false;
  for (size_t i = 0; i < spec->steps.count; i++)
    {
      const struct fl_step_spec *step = fl_job_spec_get_step (spec, i);
      const struct fl_step_dependency *dependencies = step->after.items;
      for (size_t j = 0; j < step->after.count; j++)
        if (dependencies[j].step >= (int64_t)i)
          return fl_fail (error, FL_INVALID, "job_check", NULL,
                          "step %zu depends on step %d, which is not an earlier one", i,
                          (int)dependencies[j].step);
    }
  return true;
}

/* A second document that says nothing, since others follow it. */
static const struct fl_task_targets no_task_targets = { .fencing_token = 1 };

static struct fl_str
take_buffer (msgpack_sbuffer *buffer)
{
  struct fl_str record = fl_str_make (buffer->data, buffer->size);

  msgpack_sbuffer_destroy (buffer);
  return record;
}

struct fl_str
fl_job_progress_encode (const struct fl_job_progress *progress)
{
  bool has_task_targets = progress->task_targets.fencing_token > 0;
  bool has_ended = progress->ended.ranges.count > 0;
  bool has_crashes = progress->crashes.tasks.count > 0 || has_ended;
  msgpack_sbuffer buffer;

  msgpack_sbuffer_init (&buffer);
  fl_schema_encode (&progress_schema, progress, &buffer);
  if (has_task_targets || has_crashes)
    fl_schema_encode (&task_targets_schema,
                      has_task_targets ? &progress->task_targets : &no_task_targets, &buffer);
  if (has_crashes)
    fl_schema_encode (&job_crashes_schema, &progress->crashes, &buffer);
  if (has_ended)
    fl_schema_encode (&job_ended_schema, &progress->ended, &buffer);
  return take_buffer (&buffer);
}

/* @return the rows of @tasks with a checkpoint, without their failed runs. */
static GArray *
copy_checkpoints (const struct fl_array *tasks)
{
  GArray *rows = g_array_new (FALSE, FALSE, sizeof (struct fl_task_progress));
  const struct fl_task_progress *items = tasks->items;

  for (size_t i = 0; i < tasks->count; i++)
    {
      struct fl_task_progress row = items[i];
      row.failed_runs = (struct fl_array){ 0 };
      if (row.checkpoint.len > 0)
        g_array_append_val (rows, row);
    }
  return rows;
}

struct fl_str
fl_job_progress_encode_as_sets (const struct fl_job_progress *progress,
                                const struct fl_job_spec *spec)
{
  struct fl_job_progress rest = { .state = progress->state,
                                  .targets = progress->targets,
                                  .any_target = progress->any_target };
  struct fl_progress_sets sets = fl_progress_sets_make (progress, spec);
  g_autoptr (GArray) checkpoints = copy_checkpoints (&progress->tasks);
  msgpack_sbuffer buffer;

  rest.tasks = (struct fl_array){ checkpoints->len, checkpoints->data };
  msgpack_sbuffer_init (&buffer);
  fl_schema_encode (&progress_schema, &rest, &buffer);
  fl_schema_encode (&task_targets_schema, &no_task_targets, &buffer);
  fl_schema_encode (&sets_schema, &sets, &buffer);
  if (progress->ended.ranges.count > 0)
    fl_schema_encode (&job_ended_schema, &progress->ended, &buffer);
  fl_schema_clear (&sets_schema, &sets);
  return take_buffer (&buffer);
}

static bool
decode_json_progress (const char *data,
                      size_t len,
                      struct fl_job_progress *progress,
                      struct fl_error *error)
{
  struct json_progress json;

  memset (progress, 0, sizeof *progress);
  if (!fl_record_decode (&json_progress_schema, data, len, &json, error))
    return false;
  const struct json_target *named = json.targets.items;
  struct fl_job_target *targets = g_new0 (struct fl_job_target, MAX (json.targets.count, 1));
  for (size_t i = 0; i < json.targets.count; i++)
    targets[i].hash = fl_job_target_hash (&named[i].id);
  progress->state = json.state;
  progress->tasks = json.tasks;
  progress->targets = (struct fl_array){ json.targets.count, targets };
  progress->any_target = json.any_target;
  g_free (json.targets.items);
  return true;
}

uint32_t
fl_job_target_hash (const struct fl_name *id)
{
  return XXH32 (id->data, id->len, 0);
}

bool
fl_job_progress_decode (const char *data,
                        size_t len,
                        struct fl_job_progress *progress,
                        struct fl_error *error)
{
  /* An encoded MessagePack array never starts with the byte that starts a JSON object. */
  if (len > 0 && data[0] == '{')
    return decode_json_progress (data, len, progress, error);
  size_t used = 0;
  if (!fl_schema_decode_first (&progress_schema, data, len, &used, progress, error))
    {
      fl_job_progress_clear (progress);
      return false;
    }
  size_t second_used = 0;
  if (used == len)
    return true;
  /* Without this part, which may be one of a later version, the tasks may be on any target of the
   * job. */
  if (!fl_schema_decode_first (&task_targets_schema, data + used, len - used, &second_used,
                               &progress->task_targets, NULL))
    fl_schema_clear (&task_targets_schema, &progress->task_targets);
  used += second_used;
  if (second_used == 0 || used == len)
    return true;
  size_t third_used = 0;
  if (!fl_schema_decode_first (&job_crashes_schema, data + used, len - used, &third_used,
                               &progress->crashes, NULL))
    {
      fl_schema_clear (&job_crashes_schema, &progress->crashes);
      progress->sets.is_present = fl_schema_decode_first (&sets_schema, data + used, len - used,
                                                          &third_used, &progress->sets, NULL);
      if (!progress->sets.is_present)
        fl_schema_clear (&sets_schema, &progress->sets);
    }
  used += third_used;
  if (third_used == 0 || used == len)
    return true;
  if (!fl_schema_decode (&job_ended_schema, data + used, len - used, &progress->ended, NULL))
    fl_schema_clear (&job_ended_schema, &progress->ended);
  return true;
}

void
fl_job_progress_clear (struct fl_job_progress *progress)
{
  fl_schema_clear (&sets_schema, &progress->sets);
  fl_schema_clear (&job_ended_schema, &progress->ended);
  fl_schema_clear (&job_crashes_schema, &progress->crashes);
  fl_schema_clear (&task_targets_schema, &progress->task_targets);
  fl_schema_clear (&progress_schema, progress);
}

bool
fl_record_decode (const struct fl_schema *schema,
                  const char *data,
                  size_t len,
                  void *object,
                  struct fl_error *error)
{
  struct fl_problems problems = { 0 };
  json_t *json = fl_json_parse (data, len, error);

  memset (object, 0, schema->size);
  if (json == NULL)
    return false;
  bool is_valid = fl_schema_from_json (schema, json, object, schema->name, &problems);
  if (!is_valid)
    {
      fl_fail (error, FL_INVALID, "record_decode", NULL, "%s", fl_str_text (&problems.text));
      fl_schema_clear (schema, object);
    }
  fl_problems_clear (&problems);
  json_decref (json);
  return is_valid;
}

struct fl_str
fl_record_encode (const struct fl_schema *schema, const void *object)
{
  json_t *json = fl_schema_to_json (schema, object);
  struct fl_str text = fl_json_encode (json);

  json_decref (json);
  return text;
}

bool
fl_job_spec_decode_row (const struct fl_name *key,
                        const char *data,
                        size_t len,
                        struct fl_job_spec *spec,
                        struct fl_error *error)
{
  if (!fl_record_decode (&fl_job_spec_schema, data, len, spec, error))
    return false;
  bool is_valid = fl_name_eq (&spec->id, key) ? fl_job_spec_validate (spec, error)
                                              : fl_fail (error, FL_INVALID, "job_decode", NULL,
                                                         "the job has the id %s", spec->id.data);
  if (!is_valid)
    fl_schema_clear (&fl_job_spec_schema, spec);
  return is_valid;
}

bool
fl_job_spec_decode_request (const struct fl_str *body,
                            const struct fl_name *id,
                            const struct fl_name *queue,
                            struct fl_job_spec *spec,
                            struct fl_error *error)
{
  struct fl_problems problems = { 0 };
  json_t *json = fl_json_parse (body->data, body->len, error);
  bool is_valid;

  if (json == NULL)
    return false;
  if (json_is_object (json))
    {
      json_object_set_new (json, "id", json_string (id->data));
      json_object_set_new (json, "queue", json_string (queue->data));
    }
  is_valid = fl_schema_from_json (&fl_job_spec_schema, json, spec, "job", &problems);
  if (!is_valid)
    fl_fail (error, FL_INVALID, "job_decode", NULL, "%s", fl_str_text (&problems.text));
  is_valid = is_valid && fl_job_spec_validate (spec, error);
  if (!is_valid)
    fl_schema_clear (&fl_job_spec_schema, spec);
  fl_problems_clear (&problems);
  json_decref (json);
  return is_valid;
}
