/* What a client hands in, and what is recorded of its progress. Both are stored as JSON with the
 * product's own field names. */
#pragma once

#include "common/schema.h"
#include "configuration/configuration.h"

/* Bounds of a job: what one row of the store holds, with room to spare. */
#define FL_STEPS_MAX 100
#define FL_STEP_TASKS_MAX 2000
#define FL_SPEC_BYTES_MAX 4000

/* Number of an earlier step that has to be done first. */
struct fl_step_dependency
{
  int64_t step;
};

struct fl_step_spec
{
  int64_t count; /* tasks */
  int64_t cpu_milli;
  int64_t memory_mb;
  int64_t gpu;
  int64_t estimate_ms;   /* a rough guess of one task's run time; 0 when not given */
  struct fl_array after; /* of struct fl_step_dependency */
  bool gang;             /* all tasks run together and end together */
  bool rack_bound;       /* slower when spread over racks */
  bool speculative;      /* copies may run; the first to finish counts */
  bool long_running;     /* runs until the job is cancelled */
  bool checkpoints;
  bool best_effort;         /* takes only what others leave unused */
  struct fl_name label;     /* a label the target must have; empty for none */
  struct fl_name rack;      /* where the data is; empty for anywhere */
  struct fl_name image;     /* tasks of one image behave alike */
  int64_t per_target_max;   /* tasks of the step on one target; 0 for no limit */
  int64_t latency_bound_ms; /* the tail of a serving task must stay below; 0 for none */
  int64_t disruptions_max;  /* tasks that orders may keep from work at once; -1 when not given */
};

struct fl_job_spec
{
  struct fl_name id;
  struct fl_name queue;
  struct fl_name team;   /* empty when handed in without a key */
  int64_t accepted_ms;   /* Unix time */
  struct fl_str text;    /* what the client wants run, passed on as it is */
  struct fl_array steps; /* of struct fl_step_spec */
  int64_t repeat_count;  /* occurrences; 0 for a job that runs once, at once */
  int64_t start_at_ms;   /* Unix time of occurrence 0 */
  int64_t interval_ms;
};

enum fl_job_state
{
  FL_JOB_QUEUED,
  FL_JOB_RUNNING,
  FL_JOB_COMPLETED,
  FL_JOB_FAILED,
  FL_JOB_CANCELLED
};

/* The lower-case name of a state. */
const char *fl_job_state_name (enum fl_job_state state);

/* Whether nothing of the job will ever run again. */
bool fl_job_state_is_final (enum fl_job_state state);

/* A run that ended as failed. Ends are listed to each owner until they are forgotten, in no order
 * between targets, so that every counted run is kept. */
struct fl_failed_run
{
  int64_t run;
};

/* What is recorded of one task that ended as done, failed or left a checkpoint. */
struct fl_task_progress
{
  int64_t occurrence;
  int64_t step;
  int64_t index;
  bool done;
  struct fl_array failed_runs; /* of struct fl_failed_run */
  struct fl_str checkpoint;
};

/* A target that tasks of a job may have been started on. */
struct fl_job_target
{
  struct fl_name id;
};

struct fl_job_progress
{
  int state;               /* enum fl_job_state */
  struct fl_array tasks;   /* of struct fl_task_progress */
  struct fl_array targets; /* of struct fl_job_target; nothing was started elsewhere, but */
  bool any_target;         /* with this, tasks may have been started on any target */
};

extern const struct fl_schema fl_job_spec_schema;
extern const struct fl_schema fl_job_progress_schema;

/* Checks what field bounds cannot express: links to earlier steps, task count.
 * @return false with @error filled. */
bool fl_job_spec_validate (const struct fl_job_spec *spec, struct fl_error *error);

/* The step at @number. */
const struct fl_step_spec *fl_job_spec_get_step (const struct fl_job_spec *spec, size_t number);

/* The number of occurrences, at least 1. */
int64_t fl_job_spec_count_occurrences (const struct fl_job_spec *spec);

/* Decodes JSON bytes into @object by @schema. @return false with @error filled; @object is then
 * cleared. */
bool fl_record_decode (const struct fl_schema *schema,
                       const char *data,
                       size_t len,
                       void *object,
                       struct fl_error *error);

/* Encodes @object as JSON bytes. */
struct fl_str fl_record_encode (const struct fl_schema *schema, const void *object);
