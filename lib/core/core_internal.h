/* Objects of the decision core. */
#pragma once

#include "core/core.h"

/* Lengthens a lease: the clock of a target may be 2 % slow; the rest covers rounding and the way of
 * an answer. */
#define CORE_EXPIRY_PERCENT 104
#define CORE_EXPIRY_MARGIN_MS 50
/* A target on which tasks of several jobs failed in a row gets no new ones for this long. */
#define CORE_QUARANTINE_MS 5000

struct core_run;

struct core_team
{
  struct fl_name name;
  struct fl_room used;        /* by all runs that may be in effect */
  struct fl_room urgent_used; /* of that, by runs of the first priority */
  struct fl_room urgent_peak; /* recent highest, decaying */
  /* Asked for by tasks that an earlier owner may have started on a target that has not reported. */
  struct fl_room unreconciled;
};

/* What is learnt of the tasks of one queue. */
struct core_queue_stats
{
  struct fl_name name;
  double eligible_share; /* of targets that were asked about, those that may run a step */
  double mean_run_ms;    /* mean time of runs that ended as done; 0 before the first */
};

struct core_target
{
  struct fl_target_entry entry;
  bool registered;       /* the registry shows it */
  bool recorded;         /* stands in the recorded list of targets */
  bool record_in_flight; /* stands in the list that is being recorded */
  bool inherited;        /* an earlier owner may have used it */
  bool reported;         /* has listed its runs to this owner */
  bool silent;           /* did not answer the last hold */
  int missed_heartbeats; /* in a row */
  int64_t born_ms;
  int64_t clock_ms;            /* its clock, as of clock_at_ms */
  int64_t clock_at_ms;         /* 0 when its clock is not known */
  int64_t leaves_at_ms;        /* while it drains: it stays at least until then */
  int64_t lease_expires_at_ms; /* by then all that runs there has lapsed, if it is not held again */
  int64_t last_heartbeat_at_ms; /* when it last listed its runs */
  int64_t last_applied_end;     /* ends up to this number are taken into account */
  int64_t last_recording_end;   /* ends up to this number are covered by the records under way */
  int64_t last_recorded_end;    /* ends up to this number are recorded */
  struct fl_room used;
  int64_t best_effort_cpu_milli; /* asked for by tasks that take what others leave */
  int64_t tentative_cpu_milli;   /* likely to be taken by steps that wait for advice */
  GPtrArray *runs;               /* struct core_run *, owned */
  int stale_runs;                /* listed runs that are no task's current one, in the last lists */
  int consecutive_failures;
  struct fl_name
      last_failed_job; /* of the last failure, so that one bad job does not condemn a target */
  int64_t quarantined_until_ms;
};

enum core_run_state
{
  CORE_RUN_STARTING, /* the start is on its way or not answered */
  CORE_RUN_ACCEPTED, /* the target has it */
  CORE_RUN_STOPPING  /* is to end; a stop is sent until the end is listed */
};

/* One run of a task that may be in effect at a target. */
struct core_run
{
  struct core_task *task;
  struct core_target *target;
  int64_t number;
  enum core_run_state state;
  int64_t confirmed_at_ms;  /* when the target answered the last order about it; 0 for not yet */
  int64_t last_order_at_ms; /* when the last order about it was given */
  int64_t started_at_ms;    /* when the last start was ordered */
  int inconclusive_starts;  /* starts without an answer */
  bool order_in_flight;     /* an order about it is not answered */
  bool listed;              /* was in the last list of runs */
  bool ever_listed;         /* was in any list of runs: its boot is known */
  int64_t progress_percent;
  int64_t progressed_at_ms; /* when the percent last changed, or the start was ordered */
  int64_t gauge;
  int64_t throttle_percent;
  bool is_urgent; /* of the first priority when it was started */
};

struct core_task
{
  struct core_step *step;
  int64_t index;
  bool done;
  GArray *failed_runs; /* struct fl_failed_run, counted once each; NULL for none */
  int64_t last_run_number;
  struct core_run *run; /* NULL while it waits or is done */
  struct fl_str checkpoint;
  struct fl_name last_failed_target; /* where its last run failed */
  int64_t backoff_until_ms;
};

/* What is known of one target's fitness for a step. */
struct core_advice
{
  struct fl_name target;
  bool eligible;
  int64_t born_ms; /* boot that the ticket is for */
  struct fl_name ticket;
  int64_t valid_until_ms;
};

/* Why the tasks of a step wait. */
enum core_wait_reason
{
  CORE_WAIT_NONE,
  CORE_WAIT_TEAM_LIMIT,  /* its team runs as much as it may */
  CORE_WAIT_CAPACITY,    /* no target that may run it has room */
  CORE_WAIT_ADVICE,      /* the answer to a question is due, or no host is free to ask */
  CORE_WAIT_RECORD,      /* the targets that it may run on are being recorded for its job */
  CORE_WAIT_RECONCILING, /* an earlier owner may have started it where nothing is heard from */
  CORE_WAIT_REASONS
};

struct core_step
{
  struct core_job *job;
  const struct fl_step_spec *spec;
  int64_t occurrence;
  int64_t number;
  int64_t due_wall_ms; /* 0 for at once */
  struct core_task *tasks;
  int64_t unfinished_tasks;  /* tasks that are not done */
  GHashTable *advice;        /* target id -> struct core_advice */
  bool query_in_flight;      /* a question is open */
  GArray *queried_targets;   /* struct fl_name: targets claimed by the open question */
  int64_t queried_cpu_milli; /* on each asked target */
  enum core_wait_reason wait_reason;
  int64_t wait_started_at_ms;
};

/* Whether tasks of a job may be started on a target: a successor has to know of it first. */
enum core_job_target_state
{
  CORE_JOB_TARGET_NONE,
  CORE_JOB_TARGET_REQUESTED, /* is to be recorded */
  CORE_JOB_TARGET_RECORDING, /* is being recorded */
  CORE_JOB_TARGET_RECORDED
};

struct core_job
{
  struct fl_core *core;
  struct fl_job_spec spec;
  struct fl_queue queue; /* as last configured */
  struct core_team *team;
  struct core_queue_stats *queue_stats;
  int64_t accepted_version; /* of the store, at acceptance */
  enum fl_job_state state;
  struct core_step *steps; /* occurrence-major */
  size_t step_count;
  int64_t unfinished_steps;
  int64_t run_count;          /* runs that may be in effect */
  GHashTable *target_states;  /* target id -> enum core_job_target_state */
  bool record_collected;      /* a record of it was taken, stored or not */
  bool added_without_record;  /* no record of it stood when this owner took over */
  bool may_run_on_any_target; /* its records are to tell that tasks may be on any target */
  bool any_target_recording;
  bool any_target_recorded;
  bool started;
  bool needs_recording;  /* its progress is not recorded */
  bool record_in_flight; /* its progress is being recorded */
};

struct fl_core
{
  struct fl_core_options options;
  struct fl_configuration *configuration; /* NULL until the first */
  GHashTable *targets;                    /* id -> struct core_target */
  GHashTable *jobs;                       /* id -> struct core_job */
  GHashTable *finished_jobs;              /* ids of jobs whose final state is recorded */
  GHashTable *teams;                      /* name -> struct core_team */
  GHashTable *queue_stats;                /* name -> struct core_queue_stats */
  int64_t now_ms;
  int64_t peaks_decayed_at_ms; /* when the peaks of the teams last decayed */
  int64_t wall_ms;
  int64_t last_tick_ms;            /* the last decision */
  int64_t tick_gap_ms;             /* between the last two decisions */
  int64_t runs_checked_at_ms;      /* when all runs were last looked at */
  int64_t first_run_number;        /* lowest run number of this owner */
  bool target_list_outdated;       /* the recorded list names targets that are gone */
  bool records_in_flight;          /* records taken and not done */
  int64_t records_collected_at_ms; /* when the last were taken */
  int64_t record_duration_ms;      /* how long the last took */
  bool records_cover_all_ends;     /* the records taken cover all ends applied before */
};

/* --- core.c --- */

struct core_step *core_find_step (struct fl_core *core, const struct fl_name *name);
struct core_task *core_find_task (struct fl_core *core, const struct fl_name *name);
struct fl_name core_task_name (const struct core_task *task);
struct fl_name core_step_name (const struct core_step *step);
struct core_target *core_find_target (const struct fl_core *core, const struct fl_name *id);

/* Whether it listed ends whose meaning is not recorded yet. */
bool core_target_has_unrecorded_ends (const struct core_target *target);
void core_target_remove_if_unused (struct fl_core *core, struct core_target *target);

/* Whether an earlier owner's orders may be in effect at a target that has not reported. */
bool core_is_unreconciled (const struct fl_core *core);

/* The target's clock now, by its last answer. */
int64_t core_target_clock_ms (const struct core_target *target, int64_t now_ms);

/* Whether all earlier steps that @step waits for are done and its time has come. */
bool core_step_is_due (const struct core_step *step);

/* Whether @job can no longer meet its objective, as far as is known. */
bool core_job_is_late (const struct core_job *job);

/* --- runs.c --- */

/* Charges room for a run of @task on @target and makes it; @number is its number. */
struct core_run *core_run_new (struct core_task *task, struct core_target *target, int64_t number);

/* Returns the room of a run that is over. */
void core_run_release (struct core_run *run);

void core_run_order_start (struct core_run *run, const char *ticket);
void core_run_stop (struct core_run *run);

/* An order about @run. */
struct fl_run_order core_run_make_order (const struct core_run *run);

/* Ends all runs of @target at once: its boot is over. */
void core_target_lose_runs (struct core_target *target, const char *reason);

/* Ends the runs whose lease has lapsed for certain. */
void core_target_expire_runs (struct core_target *target, int64_t now_ms);

/* Sends orders again that were not answered or not followed. */
void core_resend_orders (struct fl_core *core);

/* --- job_targets.c --- */

/* Whether tasks of @job may be started on @target: it is recorded, or recording takes too long. */
bool core_job_may_start_on (const struct core_job *job, const struct fl_name *target);

/* A task of @job is started on @target, which core_job_may_start_on. */
void core_job_mark_started_on (struct core_job *job, const struct fl_name *target);

/* Whether @target is to be recorded for @job, or is being recorded. */
bool core_job_target_is_pending (const struct core_job *job, const struct fl_name *target);

/* Asks for @target to be recorded for @job, unless it is. */
void core_job_request_target (struct core_job *job, const struct fl_name *target);

/* Takes over that a successor may find tasks of @job on @target. */
void core_job_add_recorded_target (struct core_job *job, const struct fl_name *target);

/* The permits that are wanted are being recorded, or (later) are recorded or not. */
void core_job_begin_recording_targets (struct core_job *job);
void core_job_end_recording_targets (struct core_job *job, bool stored);

/* The targets that its tasks may be on, as rows of struct fl_job_target; unref when done. */
GArray *core_job_collect_targets (const struct core_job *job);

/* Whether a successor has to presume tasks of @job on any target: they were started without a
 * record, by this owner or, on a target that is silent still, by an earlier one. */
bool core_job_may_run_on_any_target (const struct core_job *job);

/* Whether a task of @job may run unseen on a target that has not reported. */
bool core_job_is_unreconciled (const struct core_job *job);

/* --- progress.c --- */

void core_job_finish (struct core_job *job, enum fl_job_state state);
void core_job_mark_for_recording (struct core_job *job);

/* --- placement.c --- */

void core_place_tasks (struct fl_core *core);

/* --- advice.c --- */

/* @return the ticket that permits @step on @target, "" when its queue needs none, NULL when there
 * is none. */
const char *core_advice_ticket (const struct core_step *step, const struct core_target *target);

/* Asks for targets for @waiting tasks of @step unless a question is open.
 * @return what the step waits for then. */
enum core_wait_reason core_advice_send_query (struct core_step *step, int64_t waiting);
void core_advice_drop_ticket (struct core_step *step, const struct core_target *target);

/* Gives up the open question of @step, if any; its answer is then ignored. */
void core_advice_abandon_query (struct core_step *step);

/* --- placement.c, used by advice.c --- */

bool core_target_has_label (const struct core_target *target, const struct fl_name *label);

/* How many tasks of @step the target could take now, by room, label and limits of the step; 0 when
 * it takes no tasks. @claims counts room that others are likely to take as taken. */
int64_t core_target_task_capacity (const struct core_target *target,
                                   const struct core_step *step,
                                   bool include_tentative);

/* --- drain.c --- */

/* Moves tasks off a target that drains, as far as that saves their work. */
void core_evacuate_target (struct core_target *target);

/* --- stall.c --- */

/* Looks at the progress that @target has just listed: stops tasks that stand still, and keeps new
 * ones away from a target where tasks lag. */
void core_check_progress (struct core_target *target);

/* --- throttle.c --- */

/* Paces filling tasks beside serving tasks by their last figures. */
void core_throttle_target (struct core_target *target);
