/* A job as submitted by a client, and the recorded progress of a job. Both are stored as JSON with
 * the product's own field names, which differ from those of the client's request. */
#pragma once

#include "common/schema.h"
#include "configuration/configuration.h"

/* Limits of a job. Its row stays well below the size that the store accepts. */
#define FL_STEPS_MAX 100
#define FL_STEP_TASKS_MAX 2000
/* Of all steps and occurrences. The owner of the pool keeps each task in memory. */
#define FL_JOB_TASKS_MAX (FL_STEPS_MAX * FL_STEP_TASKS_MAX)
#define FL_SPEC_BYTES_MAX 4000 /* of the text of a job, or of a checkpoint */

/* A dependency of a step: the number of an earlier step that must be done first. */
struct fl_step_dependency
{
  int64_t step;
};

struct fl_step_spec
{
  int64_t count;            /* number of tasks */
  int64_t cpu_milli;        /* needed by one task, in thousandths of a core */
  int64_t memory_mb;        /* needed by one task */
  int64_t gpu;              /* number of GPUs that one task needs */
  int64_t estimate_ms;      /* rough run time of one task; 0 when not given */
  struct fl_array after;    /* of struct fl_step_dependency */
  bool gang;                /* all tasks start together and end together */
  bool rack_bound;          /* runs slower when its tasks are on several racks */
  bool speculative;         /* a task may run in several copies; the first to finish counts */
  bool long_running;        /* runs until the job is cancelled */
  bool checkpoints;         /* tasks write checkpoints */
  bool best_effort;         /* uses only resources that other tasks leave unused */
  struct fl_name label;     /* label that a target must have; empty for none */
  struct fl_name rack;      /* rack of the step's data; empty for no preference */
  struct fl_name image;     /* tasks with the same image behave alike */
  int64_t per_target_max;   /* maximum tasks of the step on one target; 0 for no limit */
  int64_t latency_bound_ms; /* limit of a serving task's tail latency; 0 for none */
  int64_t disruptions_max;  /* maximum tasks that orders may interrupt at once; -1 when not given */
};

/* What is needed to serve a job of a queue that the configuration does not have any more, as of the
 * configuration that admitted it. Whole numbers, of which a row of the job consists. */
struct fl_job_queue
{
  struct fl_name service; /* empty in a row of an earlier version */
  int64_t priority;
  int64_t attempts_max;
  int64_t latency_objective_ms;
  int64_t stretch_millionths;
  bool advice_required;
  int64_t advice_base_us;
  int64_t advice_per_target_us;
  int64_t advice_valid_ms;
};

struct fl_job_spec
{
  struct fl_name id;
  struct fl_name queue;
  struct fl_job_queue admitted_by;
  struct fl_name team;   /* empty when submitted without an API key */
  int64_t accepted_ms;   /* Unix time */
  struct fl_str text;    /* what to run; opaque, passed to the target unchanged */
  struct fl_array steps; /* of struct fl_step_spec */
  int64_t repeat_count;  /* number of occurrences; 0 for a job that runs once, immediately */
  int64_t start_at_ms;   /* Unix time of the first occurrence */
  int64_t interval_ms;   /* between occurrences */
};

enum fl_job_state
{
  FL_JOB_QUEUED,
  FL_JOB_RUNNING,
  FL_JOB_COMPLETED,
  FL_JOB_FAILED,
  FL_JOB_CANCELLED
};

/* @return the lower-case name of @state, as stored and shown to clients. */
const char *fl_job_state_name (enum fl_job_state state);

/* Sets the queue of @spec, which admits the job. */
void fl_job_spec_set_queue (struct fl_job_spec *spec, const struct fl_queue *queue);

/* Sets @queue to the queue that admitted the job of @spec, without host and prefix.
 * @return false if @spec does not tell. */
bool fl_job_spec_get_queue (const struct fl_job_spec *spec, struct fl_queue *queue);

/* Whether no task of a job in @state will run again. */
bool fl_job_state_is_final (enum fl_job_state state);

/* A failed run of a task. Targets report an end to every new owner until it is acknowledged, and
 * the ends of different targets arrive in any order. All counted runs are therefore kept, so that
 * none is counted twice. */
struct fl_failed_run
{
  int64_t run;
};

/* Consecutive tasks of a step that are done. */
struct fl_done_range
{
  int64_t occurrence;
  int64_t step;
  int64_t first; /* index of the first task */
  int64_t count;
};

/* Recorded progress of one task that has failed runs or has left a checkpoint. Records of earlier
 * versions list tasks that are done here, too. */
struct fl_task_progress
{
  int64_t occurrence;
  int64_t step;
  int64_t index;
  bool done;
  struct fl_array failed_runs; /* of struct fl_failed_run */
  struct fl_str checkpoint;
};

/* A target on which tasks of a job may have been started, by the hash of its id: a record lists
 * tens of targets. Two targets with one hash are treated alike, which is safe: tasks may have been
 * started on either. */
struct fl_job_target
{
  int64_t hash; /* fl_job_target_hash of its id */
};

/* Values of struct fl_task_target besides positions. */
#define FL_TASK_TARGET_UNKNOWN (-1) /* on any target of the job, or on any at all if any_target */
#define FL_TASK_TARGET_NONE 0

/* The only target on which a task may have been started and still run. */
struct fl_task_target
{
  int64_t target; /* its position, from 1, among the targets of the job, or a value above */
};

struct fl_step_targets
{
  int64_t occurrence;
  int64_t step;
  struct fl_array tasks; /* of struct fl_task_target, one for each task of the step */
};

/* Where the tasks of some steps may run. Holds for the owner with the next fencing token only: an
 * owner of an earlier version starts tasks on the targets of a job without a new record. */
struct fl_task_targets
{
  int64_t fencing_token; /* of the owner that wrote the record; 0 if the record has no such part */
  struct fl_array steps; /* of struct fl_step_targets */
};

/* What is known of a crash of the target of a run. */
enum fl_crash_state
{
  FL_CRASH_OPEN,      /* the run may still be in effect, or its target may have been silent only */
  FL_CRASH_PRESENT,   /* the target crashed; other runs on it are more likely to be the cause */
  FL_CRASH_SUSPECTED, /* the target crashed, and the run may be the cause */
  FL_CRASH_AT_ONCE,   /* the same, but many targets crashed at that time */
};

/* @return the name of @state in logs. */
const char *fl_crash_state_name (enum fl_crash_state state);

/* A run whose target crashed, or may have. */
struct fl_crashed_run
{
  int64_t run;
  int state;       /* enum fl_crash_state */
  int64_t target;  /* fl_job_target_hash of its id */
  int64_t address; /* the same of its address: another id there shows that the boot has ended */
  int64_t booted_at_ms; /* identifies the boot; 0 when unknown */
};

struct fl_task_crashes
{
  int64_t occurrence;
  int64_t step;
  int64_t index;
  struct fl_array runs; /* of struct fl_crashed_run, each run once */
};

/* Crashes of the targets of tasks. */
struct fl_job_crashes
{
  struct fl_array tasks; /* of struct fl_task_crashes */
};

/* Consecutive occurrences of which all tasks are done. */
struct fl_ended_range
{
  int64_t first;
  int64_t count;
};

/* Occurrences that have ended, where a range for each of their steps would take more than a row of
 * the store holds. */
struct fl_job_ended
{
  struct fl_array ranges; /* of struct fl_ended_range */
};

/* Tasks of a job with the same failed run, see task_set.h. */
struct fl_run_set
{
  int64_t run;
  struct fl_str tasks;
};

/* Tasks that ran under the same number on a target that crashed. */
struct fl_crash_set
{
  int64_t run;
  int state; /* enum fl_crash_state */
  int64_t target;
  int64_t address;
  int64_t booted_at_ms;
  struct fl_str tasks;
};

/* Tasks that may be on the same target. */
struct fl_target_set
{
  int64_t target; /* as in struct fl_task_target, but not FL_TASK_TARGET_NONE */
  struct fl_str tasks;
};

/* The part of a progress that has a row for each task, as sets of tasks: the length of a record is
 * bounded, and the number of such rows is not. */
struct fl_progress_sets
{
  struct fl_str done;
  struct fl_array failed;  /* of struct fl_run_set */
  struct fl_array crashes; /* of struct fl_crash_set */
  int64_t fencing_token;   /* as in struct fl_task_targets */
  struct fl_array targets; /* of struct fl_target_set */
  bool is_present;         /* the record has this part; not a field of it */
};

struct fl_job_progress
{
  int state;               /* enum fl_job_state */
  struct fl_array done;    /* of struct fl_done_range; those of @ended are not listed */
  struct fl_array tasks;   /* of struct fl_task_progress */
  struct fl_array targets; /* of struct fl_job_target; complete unless any_target is set */
  bool any_target;         /* tasks may have been started on any target */
  struct fl_task_targets task_targets;
  struct fl_job_crashes crashes;
  struct fl_job_ended ended;
  /* In place of done, task_targets, crashes and the failed runs of tasks, which are empty then. */
  struct fl_progress_sets sets;
};

extern const struct fl_schema fl_job_spec_schema;

/* The stored hash of the target @id: 32 bits, the same in all versions. */
uint32_t fl_job_target_hash (const struct fl_name *id);

/* Checks that the row and the record of the job can be read back: the bounds of fields, and what
 * these cannot express: the number of all tasks, and that steps depend only on earlier steps.
 * @return false with @error filled when something is wrong. */
bool fl_job_spec_validate (const struct fl_job_spec *spec, struct fl_error *error);

/* Decodes and checks the job in the row @key of the store, @len bytes.
 * @return false with @error filled and nothing to clear when it is malformed, or another job's. */
bool fl_job_spec_decode_row (const struct fl_name *key,
                             const char *data,
                             size_t len,
                             struct fl_job_spec *spec,
                             struct fl_error *error);

/* Decodes and checks the job in the @body of a request. The fields id and queue are set from the
 * arguments; the body may omit them. @return false with @error filled and nothing to clear when it
 * is malformed. */
bool fl_job_spec_decode_request (const struct fl_str *body,
                                 const struct fl_name *id,
                                 const struct fl_name *queue,
                                 struct fl_job_spec *spec,
                                 struct fl_error *error);

/* @return the step with index @number, which must be below the number of steps. */
const struct fl_step_spec *fl_job_spec_get_step (const struct fl_job_spec *spec, size_t number);

/* @return the number of occurrences, at least 1. */
int64_t fl_job_spec_count_occurrences (const struct fl_job_spec *spec);

/* Encodes @progress as a record, whose size follows from the ranges of tasks that are done rather
 * than from the tasks. @return the record, owned by the caller. */
struct fl_str fl_job_progress_encode (const struct fl_job_progress *progress);

/* The same with sets in place of rows for single tasks of the job @spec. Earlier versions read the
 * state, the checkpoints, the targets and the ended occurrences of such a record only: they would
 * not have been able to store it as a whole. */
struct fl_str fl_job_progress_encode_as_sets (const struct fl_job_progress *progress,
                                              const struct fl_job_spec *spec);

/* Fills @rows with what the sets of @progress, of the job @spec, say: done ranges, tasks with
 * failed runs, crashes and targets of tasks; all else is empty. Members that the job does not have
 * are left out. Free it with fl_job_progress_clear. */
void fl_job_progress_expand_sets (const struct fl_job_progress *progress,
                                  const struct fl_job_spec *spec,
                                  struct fl_job_progress *rows);

/* Decodes a record of @len bytes that fl_job_progress_encode or fl_job_progress_encode_as_sets
 * wrote, or the JSON of an earlier version.
 * @return false with @error filled and @progress cleared when it is malformed. */
bool fl_job_progress_decode (const char *data,
                             size_t len,
                             struct fl_job_progress *progress,
                             struct fl_error *error);

/* Frees what a decoded @progress owns and zeroes it. */
void fl_job_progress_clear (struct fl_job_progress *progress);

/* Decodes @len bytes of JSON into @object, as described by @schema.
 * @return false with @error filled and @object cleared when they are malformed. */
bool fl_record_decode (const struct fl_schema *schema,
                       const char *data,
                       size_t len,
                       void *object,
                       struct fl_error *error);

/* Encodes @object, as described by @schema, as JSON. @return the JSON, owned by the caller. */
struct fl_str fl_record_encode (const struct fl_schema *schema, const void *object);
