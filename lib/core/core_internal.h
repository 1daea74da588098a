/* Data structures and internal functions of the scheduling core. */
#pragma once

#include "common/reply_time.h"
#include "core/core.h"
#include "policy/admission.h"
#include "policy/interference.h"
#include "policy/job_time.h"
#include "policy/order.h"
#include "policy/run_time.h"
#include "policy/speed.h"
#include "policy/straggler.h"
#include "policy/warm_up.h"

/* A lease counts as expired only after this percentage of its duration plus the margin: the clock
 * of a target may run 2 % slow, and the rest covers rounding and the transit time of a reply. */
#define CORE_EXPIRY_PERCENT 104
#define CORE_EXPIRY_MARGIN_MS 50
/* A target on which tasks of several jobs failed in a row gets no new tasks for this long. */
#define CORE_QUARANTINE_MS 5000
/* Number of crashes of targets that are kept. */
#define CORE_CRASHES_KEPT 64

struct core_run;

/* The end of a boot without notice. */
struct core_target_crash
{
  int64_t at_ms;
  uint32_t target;     /* fl_job_target_hash of its id */
  bool is_unexplained; /* no run there can have been the cause */
};

/* How slow a run is, measured over the time between some of the reports of its target. */
struct core_pace
{
  int64_t clock_ms;    /* of the target, at the start of the measurement in progress; 0 for none */
  int64_t percent;     /* progress at that time */
  uint32_t neighbours; /* classes of the runs beside it at that time */
  /* Result of the last measurement during which the neighbours were the same; 0 for none. */
  double slowness;
  uint32_t slowness_neighbours;
};

struct core_team
{
  struct fl_name name;
  const struct fl_team *configuration; /* NULL when the present one does not have it */
  struct fl_resources used;            /* by all runs that may be in effect */
  struct fl_resources urgent_used;     /* part of used that belongs to urgent runs (priority 0) */
  struct fl_resources urgent_peak;     /* decaying maximum of urgent_used */
  struct fl_resources urgent_waiting;  /* needed by its urgent tasks that wait, in this tick */
  /* Needed by tasks that an earlier owner may have started on a target that has not reported. */
  struct fl_resources unreconciled;
  int64_t last_waiting_ms; /* when a job of it last had tasks that wait */
};

/* Statistics of the tasks of one queue. */
struct core_queue_stats
{
  struct fl_name name;
  double eligible_share; /* moving average: share of queried targets that were eligible */
  int64_t advice_replies;
  double mean_run_ms;   /* moving average: duration of successful runs; 0 before the first */
  double failure_share; /* moving average: share of the runs that ended as failed */
  int64_t job_bytes;    /* about what its jobs hold of the memory, see core_job_count_bytes */
  bool is_full;         /* closed, since its jobs hold too much */
  /* The last demand for which no host was free, and the tick of that: hosts only become fewer until
   * the next one. */
  int64_t no_host_tick;
  struct fl_advice_demand no_host_demand;
};

/* An end that no stored record covers. */
struct core_unrecorded_end
{
  int64_t number;
  guint job; /* fl_name_hash of its id */
};

/* The members that every tick reads come first, since a tick visits all targets. */
struct core_target
{
  struct fl_core *core;
  bool registered;       /* the registry lists it */
  bool entry_unreadable; /* its registry entry is: @entry is what was last read */
  bool recorded;         /* the stored list of targets contains it */
  bool record_in_flight; /* a write of the list of targets with it is in flight */
  bool inherited;        /* an earlier owner may have used it */
  bool reported;         /* it has listed its runs to this owner */
  bool reported_fully;   /* one of its replies had room for all its ends, too */
  bool silent;           /* it did not reply to the last heartbeat */
  bool address_changed;  /* since the last heartbeat was prepared */
  /* From which its boot last reported, or that an earlier owner recorded; empty if there is none.
   */
  struct fl_name confirmed_address;
  /* When a reply showed that it has restarted; 0 if a report has told of its boot since. */
  int64_t clock_went_back_at_ms;
  int missed_heartbeats; /* consecutive */
  /* Since its last report: when it fell silent (0 if it has not), whether it was examined as one
   * that may have crashed, and how many fresh runs were there (see crash.c). */
  int64_t silent_since_ms;
  bool crash_suspected;
  int suspects;
  int64_t booted_at_ms; /* identifies its boot */
  bool boot_known;      /* it has told booted_at_ms */
  /* Its boot has received a heartbeat with @fencing_token, so that it rejects what was sent to
   * earlier boots. */
  bool is_fenced;
  bool is_evacuated;            /* its failure domain is */
  int64_t fencing_token;        /* of the orders to it; raised for each boot */
  bool shares_token;            /* no token was left for its boot: it has that of an earlier one */
  int64_t token_raised_at_ms;   /* heartbeats sent before this time carried a lower token */
  int64_t clock_ms;             /* its clock at clock_at_ms */
  int64_t clock_at_ms;          /* when clock_ms was reported; 0 while its clock is unknown */
  int64_t clock_offset_ms;      /* from its clock to ours, by the fastest reply */
  int64_t leaves_at_ms;         /* earliest time at which a draining target leaves */
  int64_t lease_expires_at_ms;  /* latest end of the leases of its runs, unless renewed */
  int64_t renewed_by_ms;        /* when the last order with a deadline has left, but for margins */
  int64_t last_heartbeat_at_ms; /* when the last heartbeat ended, with or without a reply */
  int64_t heartbeat_wait_ms;    /* wait that the last heartbeat permitted */
  int64_t heartbeat_limit_ms;   /* its reply_limit_ms */
  bool report_was_slow;         /* the last report may be of an earlier boot */
  struct fl_reply_time reply_time;
  int64_t last_applied_end;      /* ends up to this number have been processed */
  int64_t last_recording_end;    /* ends up to this number are covered by records in flight */
  int64_t last_recorded_end;     /* ends up to this number are covered by stored records */
  GArray *unrecorded_ends;       /* struct core_unrecorded_end, of later ones; NULL for none */
  struct fl_resources used;      /* without the CPU of best-effort tasks */
  int64_t best_effort_cpu_milli; /* requested by best-effort tasks */
  int64_t tentative_cpu_milli;   /* tentatively charged for steps with an advice query in flight */
  GPtrArray *runs;               /* struct core_run *, owned */
  /* A run of a task that may crash its targets. The target gets no other task until the run is
   * known to have run for some time; NULL for none. */
  struct core_run *watched_run;
  int64_t watched_since_ms;
  bool boot_end_noted; /* the end of the boot that reported last has been examined */
  int stale_runs;      /* runs in the last reply that are not the current run of a task */
  int consecutive_failures;
  /* Job of the last failure. A target is quarantined only when several jobs fail on it, not for one
   * faulty job. */
  struct fl_name last_failed_job;
  int64_t quarantined_until_ms; /* no task is started there until then */
  /* Tasks fail or lag there: until then, only tasks of overdue steps are started. */
  int64_t avoided_until_ms;
  struct fl_speed ended_speed; /* by the runs that ended */
  struct fl_speed speed;       /* by these and by the progress of others */
  double log_run_slowness;     /* median of the runs listed last; 0 for less than two */
  bool is_slow;
  struct fl_failure_rate failure_rate;
  int64_t end_slack_ms; /* ends in the last report may have been this much earlier than it */
  /* By speed and failure_rate, at outlook_at_ms; 0 for outdated. */
  double slowness;
  double fail_share;
  int64_t outlook_at_ms;
  int unsettled_runs;           /* runs whose last order is not known to have taken effect */
  int64_t next_expiry_check_ms; /* before, no lease of a run can have expired */
  bool is_unreconciled;         /* in core->unreconciled_targets */
  bool is_settled;              /* all leases that earlier owners gave there have expired */
  bool is_bounded;              /* the record of the previous owner names it: see unheard.c */
  int64_t bounded_until_ms;     /* then: end of the leases that earlier owners gave there */
  bool in_unrecorded;           /* in core->unrecorded_targets */
  bool in_idle;                 /* in core->idle_targets */
  guint position;               /* in core->target_list */
  GList unreconciled_link;
  GList unrecorded_link;
  GList idle_link;
  struct fl_warm_up warm_up;
  struct fl_target_entry entry;
};

enum core_run_state
{
  CORE_RUN_PLANNED,  /* no start order has been issued: the record of its target is not stored */
  CORE_RUN_STARTING, /* the start order has not been confirmed */
  CORE_RUN_ACCEPTED, /* the target has confirmed or listed the run */
  CORE_RUN_STOPPING  /* stop orders are resent until the run has ended */
};

/* A run of a task that may be in effect on its target. */
struct core_run
{
  struct core_task *task;
  struct core_target *target;
  int64_t number;
  enum core_run_state state;
  int64_t confirmed_at_ms;      /* when the target confirmed the last order; 0 if it has not */
  int64_t last_order_at_ms;     /* when the last order was sent */
  int64_t started_at_ms;        /* when the last start order was sent; 0 for an adopted run */
  int64_t sent_by_ms;           /* no start order is sent later than the usual limit after this */
  int64_t earlier_sent_by_ms;   /* the same for all but the last one */
  int64_t target_renewed_by_ms; /* renewed_by_ms of the target before the last one */
  int64_t first_ordered_at_ms;  /* when the first start order was sent, or the run was adopted */
  int64_t fencing_token;        /* of its target at the last start order, or when it was adopted */
  int inconclusive_starts;      /* start orders whose effect is unknown */
  bool order_in_flight;         /* the last order has no reply yet */
  bool stop_is_due;             /* it is being stopped, and no stop has been sent */
  bool listed;                  /* the last reply of the target listed it */
  bool ever_listed;             /* some reply of the target listed it, so that its boot is known */
  int64_t last_listed_ms; /* when the last heartbeat whose reply listed it was sent; 0 for none */
  int64_t listed_at_ms;   /* when the last reply that listed it was handled; 0 for none */
  int64_t
      start_deadline_ms; /* latest of its start orders, on the clock of its target; 0 for none */
  int64_t progress_percent;
  int64_t progressed_at_ms; /* when progress_percent last changed or the start order was sent */
  int64_t gauge;            /* see struct fl_run_row */
  int64_t share_percent;    /* share of its full speed at which a best-effort task may run */
  bool is_resumed;          /* its first start order carried a checkpoint */
  bool is_repeated;         /* an earlier run of its task has not ended as done */
  bool is_urgent;           /* its queue had priority 0 when the run was created */
  bool is_recording;        /* the record in flight says that its task may be on its target */
  bool is_recorded;         /* a stored record of this owner says so */
  bool is_crash_noted;      /* the end of its boot has been examined, or counts as an open case */
  struct fl_interference_class interference_class;
  struct core_pace pace;
};

/* Where an earlier owner may have left a run of a task. */
enum core_earlier_run
{
  CORE_EARLIER_RUN_UNKNOWN, /* on any target that the record of the job allows */
  CORE_EARLIER_RUN_ON_TARGET,
  CORE_EARLIER_RUN_NONE
};

/* How this owner knows that the last run of a task is over. */
enum core_run_end
{
  CORE_RUN_END_NONE,      /* it knows of no earlier run */
  CORE_RUN_END_LISTED,    /* the target listed its end */
  CORE_RUN_END_ABSENT,    /* the target listed neither the run nor its end */
  CORE_RUN_END_LAPSED,    /* the lease of its target has expired */
  CORE_RUN_END_TAKEN_OVER /* another boot replies at the address of its target */
};

struct core_task
{
  struct core_step *step;
  int64_t index;
  bool done;
  uint8_t last_end;    /* enum core_run_end, of the last run that may have been in effect */
  GArray *failed_runs; /* struct fl_failed_run, each run once; NULL for none */
  int64_t last_run_number;
  int64_t lost_run;     /* the last one that was concluded to be over, not listed so; 0 for none */
  struct core_run *run; /* NULL while the task waits or is done */
  struct fl_str checkpoint;
  /* Hash of the id of the target on which a run last failed or stalled; 0 for none. Another target
   * with this hash is avoided as well. */
  uint32_t last_failed_target;
  int64_t backoff_until_ms; /* no start before this time */
  int preemptions;          /* by urgent work, under this owner */
  double log_run_ms;        /* logarithm of its run time, projected while it runs; 0 if unknown */
  bool was_moved;           /* a run of it was stopped because its target was slow */
  GArray *crashes;   /* struct crash_case: runs whose targets crashed, or may have; NULL for none */
  bool is_suspected; /* it may be the cause of a crash: one of these is open or suspected */
  bool is_watched;   /* its runs are kept apart from other new runs */
  bool is_convicted; /* it is to be given up, unless one of its crashes is withdrawn or excused */
  GList crash_link;  /* in core->crash_tasks while has_crashes is set */
  bool has_crashes;
  int64_t crash_change;  /* value of job->crash_changes that a record must have before a start */
  int64_t down_since_ms; /* of a long-running step; 0 while it is at work */
  /* Of a step for which core_step_records_targets; NONE once this owner has known a run. */
  enum core_earlier_run earlier_run;
  uint32_t earlier_target; /* hash of the id of the target, for CORE_EARLIER_RUN_ON_TARGET */
};

/* The last advice on whether a target may run a step. */
struct core_advice
{
  struct core_target *known_target; /* while core->target_changes is known_at_change */
  int64_t known_at_change;
  int64_t valid_until_ms; /* of the ticket */
  bool eligible;
  int64_t booted_at_ms; /* boot of the target that the advice is for */
  struct fl_name target;
  struct fl_name ticket;
};

/* Why the tasks of a step wait. */
enum core_wait_reason
{
  CORE_WAIT_NONE,
  CORE_WAIT_TEAM_LIMIT,  /* the team has reached its resource limit */
  CORE_WAIT_CAPACITY,    /* no eligible target has capacity */
  CORE_WAIT_ADVICE,      /* an advice query is in flight, or no host is free to send one */
  CORE_WAIT_RECORD,      /* the eligible targets are not yet recorded for the job */
  CORE_WAIT_LINK,        /* the link takes no more start orders now */
  CORE_WAIT_RECONCILING, /* the tasks may already run on a target that has not reported */
  CORE_WAIT_ORDERS,      /* too many orders are under way, or were issued in this turn */
  CORE_WAIT_REASON_COUNT
};

/* The wait of a step, from when one of its tasks could not be started until none waits. */
struct core_step_wait
{
  enum core_wait_reason missing; /* the resource that is missing now */
  int64_t missing_since_ms;
  int64_t parts_ms[CORE_WAIT_REASON_COUNT];
  /* When it began: queries_sent and queries_failed of the step, and core->queries_sent. */
  int64_t queries_sent;
  int64_t queries_failed;
  int64_t all_queries_sent;
};

/* Where the age of a job goes: waits, by their reason (CORE_WAIT_NONE: its tasks run), and runs of
 * tasks of which an earlier one was in vain. */
#define CORE_AGE_REPEATED CORE_WAIT_REASON_COUNT
#define CORE_AGE_PARTS (CORE_WAIT_REASON_COUNT + 1)

/* What one occurrence of a job can still reach, and what that follows from. */
struct core_deadline
{
  int64_t computed_at_ms; /* 0 for never */
  int64_t idle_tasks;     /* of the job, then */
  int64_t unfinished_steps;
  struct fl_order_time time;
  double unstarted_share; /* of its work */
};

/* Positions in core->target_list; those that are equal modulo CORE_POSITIONS share a bit. */
#define CORE_POSITIONS 512
struct core_positions
{
  uint64_t words[CORE_POSITIONS / 64];
};

struct core_step
{
  struct core_job *job;
  struct core_occurrence *occurrence;
  struct core_step *next; /* of its occurrence, or the first of the next one that is set up */
  const struct fl_step_spec *spec;
  struct fl_run_time_class *run_class; /* of its queue and image */
  struct fl_interference_class interference_class;
  int64_t number;
  int64_t due_wall_ms; /* 0 for immediately */
  struct core_task *tasks;
  int64_t unfinished_tasks;
  int64_t idle_tasks;            /* neither done nor with a run */
  int64_t backoff_until_ms;      /* of its tasks, the last */
  GHashTable *advice;            /* target id -> struct core_advice */
  struct core_positions advised; /* of the targets that were eligible; may contain others */
  int64_t advised_at_change;     /* core->target_changes for which it holds */
  int64_t tickets_until_ms;      /* when the last of its tickets expires */
  GHashTable *unanswered;        /* ids of targets in queries that have no reply yet */
  bool query_in_flight;          /* an advice query has no reply yet */
  GArray *queried_targets;       /* struct fl_name: targets of the query in flight; else NULL */
  int64_t queried_cpu_milli;     /* tentatively charged to each queried target */
  int64_t queried_at_ms;         /* when the last query was sent */
  int64_t queries_sent;          /* about this step */
  int64_t queries_failed;        /* of these, without a reply */
  enum core_wait_reason wait_reason;
  int64_t wait_started_at_ms;
  int64_t unplaced_since_ms; /* no task has been started since; 0 while none waits */
  double log_median_ms;      /* logarithm of the median run time of its tasks; 0 if unknown */
  int64_t median_at_ms;      /* when this was last updated */
  int64_t moved_runs;        /* that were stopped because their targets were slow */
  /* Before the wait for this reason: queries_sent and queries_failed. */
  int64_t wait_queries_sent;
  int64_t wait_queries_failed;
  struct core_step_wait wait;
  int64_t waiting_since_ms;      /* when its wait began; it ends when every task has started */
  int64_t eligible_until_ms;     /* until then it has tickets of its last reply */
  struct core_deadline deadline; /* of its occurrence, in the first step of that */
  double longest_run_ms;         /* of its tasks that are done */
  /* Of a long-running step: since when one of its tasks is down, and when this was last logged. */
  int64_t down_since_ms;
  int64_t down_logged_at_ms;
};

/* One of the times that the steps of a job run. */
struct core_occurrence
{
  struct core_job *job;
  int64_t number;
  int64_t unfinished_steps;
  struct core_step steps[]; /* as many as @job has */
};

/* Whether the store records that a job may have tasks on a target. A successor relies on these
 * records, so that tasks are started only on recorded targets unless the store is slow. */
enum core_job_target_state
{
  CORE_JOB_TARGET_NONE,
  CORE_JOB_TARGET_REQUESTED, /* the next record of the job will contain it */
  CORE_JOB_TARGET_RECORDING, /* the record in flight contains it */
  CORE_JOB_TARGET_RECORDED
};

/* What a record leaves out where it would be longer than the store accepts, each with all before:
 * one that is rejected keeps the others from being stored. It always tells the tasks that are done
 * and the failed runs: targets forget these ends once it is stored. */
enum record_extent
{
  RECORD_COMPLETE,
  /* Complete, with sets of tasks in place of rows. */
  RECORD_AS_SETS,
  /* Without some checkpoints: the targets that have them keep them while the tasks run. */
  RECORD_FEWER_CHECKPOINTS,
  /* Without the targets of some single tasks: these may be on any target of the job. */
  RECORD_FEWER_TASK_TARGETS,
  /* Without targets: a successor waits for any target that has not reported. */
  RECORD_ANY_TARGET,
  /* Without some crashes of tasks that are the least likely cause of them. */
  RECORD_FEWER_CRASHES
};

struct core_job
{
  struct fl_core *core;
  struct fl_job_spec spec;
  struct fl_queue queue; /* last known configuration of the queue */
  struct core_team *team;
  struct core_queue_stats *queue_stats;
  int64_t accepted_version; /* store version at which the job was accepted */
  enum fl_job_state state;
  /* struct core_occurrence, owned, by number: from when they are due until they have ended. Those
   * below next_occurrence that are not among them have ended. */
  GPtrArray *occurrences;
  struct core_step *first_step; /* of these; NULL if there are none */
  int64_t next_occurrence;      /* the first that has not been set up yet */
  int64_t unfinished_steps;     /* of all occurrences, also of those that are not set up */
  int64_t run_count;            /* runs that may be in effect */
  int64_t starting_runs;        /* of these, those whose start has not been confirmed */
  int64_t bytes;                /* part of job_bytes of its queue */
  GHashTable *target_states;    /* hash of a target's id -> enum core_job_target_state */
  bool may_have_record;         /* a record of it may be in the store */
  bool added_without_record;    /* the store had no record of it when the core got to know it */
  bool record_tells_runs;       /* see core_job_note_task_targets */
  bool may_run_on_any_target;   /* its tasks may run on targets that are not recorded for it */
  bool any_target_recording;    /* the record in flight says that they may */
  bool any_target_recorded;     /* a stored record says that they may */
  bool is_reconciled;           /* an earlier owner left no runs that this one does not know */
  bool record_tells_end;        /* that of an earlier owner: its final state, and what may run */
  bool final_record_lists_runs; /* its last record has its final state, and runs in effect */
  bool started;                 /* a task of it has been started, by this owner or an earlier one */
  int64_t suspected_tasks;      /* tasks with is_suspected */
  int64_t convicted_tasks;      /* tasks with is_convicted */
  int64_t watched_runs;         /* runs that are the watched_run of their target */
  bool has_unjudged_failures;   /* failed runs were counted while the limit was not known */
  bool is_cleared;             /* since the last suspicion, a run of a suspected task did no harm */
  int64_t crash_changed_at_ms; /* when the crashes of its tasks last changed */
  int64_t crash_changes; /* number of changes of the crashes of its tasks that need recording */
  int64_t crash_changes_recording; /* of these, those in the record in flight */
  int64_t crash_changes_recorded;  /* of these, those in a stored record */
  bool needs_recording;            /* its progress has changed since the last record */
  bool record_in_flight;
  bool record_is_too_long;          /* the last one, which was not stored, whatever it left out */
  enum record_extent record_extent; /* of its last record */
  int64_t record_kept_permille;     /* of what that leaves out in part */
  int64_t idle_tasks;               /* of the occurrences that are set up */
  struct fl_job_scale scale;        /* of the run times of its tasks */
  bool has_turn;                    /* see FL_ORDER_TURN_INTERVAL_MS */
  int64_t repeated_runs;            /* of run_count, those with is_repeated */
  int age_part;                     /* to which its time counts now */
  int64_t age_part_since_ms;        /* 0 before the first part */
  int64_t age_ms[CORE_AGE_PARTS];   /* of earlier times */
  bool in_waiting;                  /* in core->waiting_jobs */
  bool in_final;                    /* in core->final_jobs */
  bool in_unreconciled;             /* in core->unreconciled_jobs */
  bool in_lasting;                  /* in core->lasting_jobs */
  bool in_scheduled;                /* in core->scheduled_jobs */
  bool in_ended;                    /* in core->ended_jobs */
  GList waiting_link;
  GList recording_link; /* in core->unrecorded_jobs while needs_recording is set */
  GList final_link;
  GList unreconciled_link;
  GList lasting_link;
  GList scheduled_link;
  GList ended_link;
};

#define CORE_CLOSED INT64_MIN

/* Targets are grouped by their free CPU, in steps of this; with more, they are in the last group.
 */
#define CORE_ROOM_STEP_MILLI 500
#define CORE_ROOM_GROUPS 32

/* The targets with at least a certain free CPU. */
struct core_room_group
{
  bool is_known;
  struct core_positions positions;
};

/* A target that takes new tasks. */
struct core_open_target
{
  struct core_target *target;
  guint position;           /* in core->target_list */
  struct fl_resources free; /* without regard to best-effort tasks */
};

/* Upper bounds of the resources that are free on any target of a service. They are computed at most
 * once a tick: starts and queries only lower what is free until the next one. */
struct core_free_max
{
  struct fl_name service;
  bool is_for_overdue;          /* holds for steps for which core_step_is_overdue */
  struct fl_resources capacity; /* of all targets that take new tasks */
  GArray *open_targets;         /* struct core_open_target, by position */
  GArray
      *free_cpu_milli; /* int64_t, by position; CORE_CLOSED for a target that takes no new tasks */
  struct core_room_group groups[CORE_ROOM_GROUPS]; /* by free_cpu_milli */
  struct fl_resources free;
  int64_t untaken_cpu_milli; /* free CPU less tentative charges */
  /* The needs of the last step for which a search of all targets was in vain, and whether there was
   * one; the second item is for searches that include tentative charges. */
  struct fl_resources vain_need[2];
  bool has_vain_need[2];
};

/* What urgent steps that wait need of the room of a service, in one tick. */
struct core_urgent_room
{
  struct fl_name service;
  bool is_computed;
  bool is_served; /* tasks have been stopped for it in this tick */
  int64_t tasks;
  struct fl_resources need;
  struct fl_resources spare; /* free room less the need; negative while it is short */
};

/* Token bucket for the bytes of start orders. */
struct core_order_budget
{
  int64_t bytes_per_s; /* 0 for no limit */
  int64_t bytes;       /* that may be sent now; negative after an order that was larger */
  int64_t updated_ms;
};

struct fl_core
{
  struct fl_core_options options;
  struct fl_configuration *configuration; /* NULL before the first fl_core_configure */
  GHashTable *targets;                    /* id -> struct core_target */
  GHashTable *unreadable_entries;         /* ids of registry entries that cannot be read */
  bool is_short_of_tokens;                /* see fl_core_is_short_of_tokens */
  GHashTable *next_tokens;                /* id of a removed target -> its next fencing token */
  GHashTable *jobs;                       /* id -> struct core_job */
  GHashTable *finished_jobs;              /* ids of jobs whose final state is recorded */
  GPtrArray *target_list;                 /* all targets, in no particular order */
  int64_t target_changes;                 /* how often one was added or removed */
  guint scan_start;                       /* where the next search for candidates starts */
  GQueue unreconciled_targets;            /* inherited and not yet reported */
  GHashTable *unreconciled_hashes;        /* fl_job_target_hash of their ids -> their number */
  GQueue unrecorded_targets;              /* have ends that are not recorded */
  GQueue idle_targets;                    /* without a heartbeat in flight */
  GQueue waiting_jobs;                    /* not final, with idle tasks */
  GQueue unrecorded_jobs;                 /* need recording */
  GHashTable *unstorable_jobs; /* set of fl_name_hash of the ids: see record_is_too_long */
  GQueue final_jobs;           /* final, not yet reduced to their ids */
  GQueue unreconciled_jobs;    /* final, and core_job_is_unreconciled may hold */
  GQueue lasting_jobs;         /* with long-running steps */
  int64_t lasting_checked_at_ms;
  int64_t waits_checked_at_ms; /* see core_note_longest_waits */
  int64_t waits_logged_at_ms;
  GQueue scheduled_jobs;         /* not final, with occurrences that are not set up yet */
  int64_t next_due_wall_ms;      /* no later than when the next of these is due */
  int64_t set_up_bytes;          /* about what the occurrences that are set up take */
  GQueue ended_jobs;             /* may have occurrences that are set up and have ended */
  GPtrArray *recording_jobs;     /* with a record in flight */
  GQueue crash_tasks;            /* tasks with crashes, in the order of their first */
  guint watched_runs;            /* targets with a watched run */
  int64_t crash_verdicts_due_ms; /* before, no verdict on them is due */
  struct core_target_crash crashes[CORE_CRASHES_KEPT]; /* those noticed last, as a ring */
  guint crash_count;
  GArray *free_max;   /* struct core_free_max, of this tick */
  GArray *placements; /* struct placement, of the step that is being placed */
  int64_t tick_number;
  GArray *urgent_rooms;           /* struct core_urgent_room, of this tick */
  GPtrArray *urgent_steps;        /* struct core_step: urgent ones that wait, of this tick */
  int64_t preempted_at_ms;        /* when tasks were last stopped for urgent work */
  GHashTable *teams;              /* name -> struct core_team */
  GHashTable *queue_stats;        /* name -> struct core_queue_stats */
  struct fl_run_times *run_times; /* learnt from the runs that ended */
  struct fl_interference *interference;
  int64_t now_ms;
  int64_t peaks_decayed_at_ms; /* when urgent_peak of the teams was last updated */
  int64_t wall_ms;
  int64_t last_tick_ms;
  int64_t tick_gap_ms;              /* between the last two ticks */
  int64_t runs_checked_at_ms;       /* when all runs were last checked for timeouts */
  int64_t inherited_until_ms;       /* end of the leases that earlier owners gave */
  int64_t reconciled_at_ms;         /* the same, and of those that this owner renewed unseen */
  int64_t settles_from_ms;          /* the least of inherited_until_ms by target */
  int64_t inherited_at_ms;          /* when the targets of earlier owners were read; 0 for never */
  GHashTable *unheard;              /* id -> enum unheard_state in unheard.c */
  bool unheard_chosen;              /* none is added to these any more */
  bool unheard_outdated;            /* the record of them has to be stored again */
  int64_t held_runs_logged_at_ms;   /* see core_log_held_runs */
  int64_t reconciling_logged_at_ms; /* when the targets that have not reported were last logged */
  bool asks_longest_leases;         /* see fl_core_ask_longest_leases */
  bool is_reconciling;              /* the last tick found inherited targets without a report */
  int64_t first_run_number;         /* lowest run number of this owner */
  bool registry_known;              /* see fl_core_set_registry_known */
  int64_t registry_confirmed_ms;    /* see fl_core_confirm_registry; 0 before the first call */
  bool jobs_known;                  /* see fl_core_set_jobs_known */
  GArray *evacuations;              /* struct evacuation, in domains.c */
  int64_t domains_confirmed_ms;     /* see fl_core_confirm_domains; 0 before the first call */
  bool domains_were_known;          /* core_domains_are_known in the last tick */
  bool domains_are_dated;           /* there has been a tick */
  struct core_order_budget order_budget;
  int64_t orders_in_turn; /* starts, stops and throttles since the last tick began */
  struct fl_move_budget move_budget;
  struct fl_failure_rate failure_rate; /* of the runs on all targets */
  int64_t queries_sent;                /* advice queries about all steps */
  int64_t query_time_ms;               /* that these were expected to take */
  GArray *admission_queues;            /* struct fl_admission_queue; see admission.c */
  struct fl_order_share query_share;   /* of old steps */
  int64_t turn_given_at_ms;            /* when a job last got its turn */
  bool target_list_outdated;           /* the stored list may contain a target that left */
  bool records_in_flight;              /* collected records have been neither stored nor failed */
  int64_t records_collected_at_ms;     /* when records were last collected */
  int64_t record_duration_ms;          /* how long the last transaction of records took */
  bool records_cover_all_ends; /* the last collected records cover all ends applied before */
};

/* --- core.c --- */

struct core_step *core_find_step (struct fl_core *core, const struct fl_name *name);

struct core_task *core_find_task (struct fl_core *core, const struct fl_name *name);

/* The same for a task that an earlier owner may have known: its occurrence is set up if it is not.
 */
struct core_task *core_require_task (struct fl_core *core, const struct fl_name *name);
struct fl_name core_task_name (const struct core_task *task);
struct fl_name core_step_name (const struct core_step *step);
struct core_target *core_find_target (const struct fl_core *core, const struct fl_name *id);

/* Whether @target has listed ends whose effect is not yet recorded in the store. */
bool core_target_has_unrecorded_ends (const struct core_target *target);

/* Removes @target if it has left the registry, has no runs or unrecorded ends, and no orders of an
 * earlier owner can be in effect on it. */
void core_target_remove_if_unused (struct fl_core *core, struct core_target *target);

/* Raises the fencing token of @target, whose boot has ended: the next boot is to reject the orders
 * sent so far. */
void core_target_raise_token (struct core_target *target);

/* Notes that the stored list of targets tells an address that @target does not have: it gets no
 * tasks until the list is stored again. */
void core_target_outdate_record (struct core_target *target);

/* Adds @target to the queue of targets that an earlier owner used and that have not reported, or
 * removes it. To be called when one of these facts has changed. */
void core_target_update_reconciled (struct core_target *target);

/* Adds @delta tasks to those of @step that neither are done nor have a run. */
void core_step_add_idle_tasks (struct core_step *step, int64_t delta);

/* Appends @link to @queue, or unlinks it, unless *@is_member says that this is already so. */
void core_queue_set_member (GQueue *queue, GList *link, bool *is_member, bool should_be_member);

/* Whether orders of an earlier owner may be in effect on a target that has not reported. */
bool core_is_unreconciled (const struct fl_core *core);

/* The kind of @target, a label; empty if it has none. */
const struct fl_name *core_target_kind (const struct core_target *target);

/* The clock of @target at @now_ms, extrapolated from its last reply. */
int64_t core_target_clock_ms (const struct core_target *target, int64_t now_ms);

/* Whether the start time of @step has passed and all steps that it depends on are done. */
bool core_step_is_due (const struct core_step *step);

/* --- occurrences.c --- */

/* @return an occurrence of @job with zeroed steps that are linked. Free it with g_free. */
struct core_occurrence *core_occurrence_new (struct core_job *job, int64_t number);

/* @return an empty array of occurrences. */
GPtrArray *core_occurrences_new (void);

/* Sets up the only occurrence of @job, whose progress has been applied, if it has no schedule and
 * there is memory, and else adds it to those whose occurrences are set up later. */
void core_occurrences_init_job (struct core_job *job);

/* @return about what @job holds of the memory while it waits, with its tasks if they are few: these
 * do not wait for memory. */
int64_t core_job_count_bytes (const struct core_job *job);

/* Removes @job from the queues of this file and frees its occurrences. */
void core_occurrences_clear_job (struct core_job *job);

/* Sets up the occurrences that are due, and frees those that have ended. To be called in each tick
 * before tasks are placed. */
void core_occurrences_tick (struct fl_core *core);

/* Counts a task of @step that is done. */
void core_step_count_done (struct core_step *step);

/* Charges the occurrences that are due and wait for memory to their teams, where tasks of them may
 * run on targets that have not reported. */
void core_occurrences_charge_unreconciled (struct fl_core *core);

/* Charges the occurrences of @job that are due and not set up to its team. */
void core_job_charge_due (const struct core_job *job);

/* Notes that @occurrence has ended, so that it is freed when no run of it is in effect. */
void core_occurrence_note_end (struct core_occurrence *occurrence);

/* @return the step @number of @occurrence, or NULL if @job has none or it is not set up. */
struct core_step *
core_job_find_step (const struct core_job *job, int64_t occurrence, int64_t number);

/* The same for a step that an earlier owner may have known: its occurrence is set up if it is not,
 * with those before it; one that has ended is set up as such. NULL only if @job has none. */
struct core_step *core_job_require_step (struct core_job *job, int64_t occurrence, int64_t number);

/* Apply which occurrences have ended and which tasks are done, by the record of an earlier owner.
 */
void core_job_apply_ended (struct core_job *job, const struct fl_job_progress *progress);
void core_job_apply_done (struct core_job *job, const struct fl_job_progress *progress);

/* Marks @task, which has no run yet, as done by a record. */
void core_task_apply_done (struct core_task *task);

/* Collects the tasks of @job that are done, as rows of struct fl_done_range in @done, and those of
 * struct fl_ended_range in @ended for occurrences that are not among them: with @prefers_ended, all
 * that have ended. */
void
core_job_collect_done (const struct core_job *job, bool prefers_ended, GArray *done, GArray *ended);

/* --- deadline.c --- */

/* What @job can still reach; of a job with occurrences, the first that is due and has not ended. */
enum fl_order_class core_job_order_class (const struct core_job *job);

/* @return the time left until @job can no longer be in time; negative after that, and
 * FL_ORDER_NO_OBJECTIVE for a job without an objective or an estimate. */
int64_t core_job_slack_ms (const struct core_job *job);

/* Whether @job is expected to miss its latency objective. */
bool core_job_is_late (const struct core_job *job);

/* Fills @key with what decides when @step is placed, without team_excess. */
void core_step_get_order_key (const struct core_step *step, struct fl_order_key *key);

/* --- job_age.c --- */

/* Counts the time of @job from now on: to the wait of the first of its steps that wait, or to its
 * runs. To be called when one of these changes. */
void core_job_update_age (struct core_job *job);

/* Logs the final state of @job, with the parts of its age. */
void core_job_log_end (struct core_job *job);

/* @return the name of @reason in logs. */
const char *core_wait_reason_name (enum core_wait_reason reason);

/* Notes that @step waits for @missing from now on, or no longer. Logs the wait when it ends. */
void core_step_note_wait (struct core_step *step, enum core_wait_reason missing);

/* Updates the gauges of the longest waits, and logs the step that has waited longest. To be called
 * in each tick after tasks are placed. */
void core_note_longest_waits (struct fl_core *core);

/* --- runs.c --- */

/* Creates run @number of @task on @target and charges its resources to the target and the team. */
struct core_run *core_run_new (struct core_task *task, struct core_target *target, int64_t number);

/* @return for how long @run is known to have run, by the last reply that listed it; 0 for none. */
int64_t core_run_known_age_ms (const struct core_run *run);

/* Frees a run that is no longer in effect, and releases its resources. */
void core_run_release (struct core_run *run);
/* core_run_release for a run that may have been in effect, with how this owner knows of its end. */
void core_run_release_ended (struct core_run *run, enum core_run_end end);
/* Logs what @target lists of @run of @task, which may be NULL, if this owner took that run for
 * lost.
 * @what: "running", or the cause of its end. @return whether this owner did. */
bool core_run_note_lost_run (const struct core_task *task,
                             int64_t run,
                             const struct core_target *target,
                             const char *what);

/* Orders the start of @run, a new run, or plans it until its target is recorded. */
void core_run_start (struct core_run *run, const char *ticket);

/* Sets the state of @run. */
void core_run_set_state (struct core_run *run, enum core_run_state state);

void core_run_order_start (struct core_run *run, const char *ticket);

/* Stops @run, with all members of its gang. If it was only planned, releases it. */
void core_run_stop (struct core_run *run);

/* An order that concerns @run, without percent. */
struct fl_run_order core_run_make_order (const struct core_run *run);

/* Treats all runs of @target as lost, because its boot has ended. */
void core_target_lose_runs (struct core_target *target, enum core_run_end end);

/* Extends the expected end of the leases on @target: at @from_ms it may have been asked for one of
 * @lease_ms. */
void core_target_extend_lease (struct core_target *target, int64_t from_ms, int64_t lease_ms);

/* The same for the longest lease that it grants: by the clock of its present boot, the deadline of
 * an order to an earlier boot may be far ahead. */
void core_target_assume_longest_lease (struct core_target *target);

/* When the leases that earlier owners gave have certainly expired; 0 if there was no owner. In a
 * boot that they did not know, their orders gave the longest lease. */
int64_t core_earlier_leases_end_ms (const struct fl_core_options *options);

/* Treats the runs of @target as lost whose lease has certainly expired. */
void core_target_expire_runs (struct core_target *target, int64_t now_ms);

/* Logs, at most once a second, how many runs keep their tasks from being started elsewhere while
 * their targets are silent or have left, and of the one that may do so longest, for what. */
void core_log_held_runs (struct fl_core *core);

/* Resends the orders to @target that timed out or have not taken effect. */
void core_target_resend_orders (struct core_target *target);

/* --- crash.c --- */

/* Called when the boot of @target has certainly ended: counts the crash against the runs that may
 * be its cause, unless the target was draining. @evidence is for the log. */
void core_crash_note_boot_end (struct core_target *target, const char *evidence);

/* Called when @target is silent and refuses connections: it may have crashed, or the path to it may
 * refuse them. The cases of its runs stay open until it is known. */
void core_crash_suspect (struct core_target *target);

/* Called before @runs of @target are released because their leases have lapsed: it may have
 * crashed.
 * @runs: struct core_run *, those that lapse now. */
void core_crash_note_lapses (struct core_target *target, const GPtrArray *runs);

/* Called when @target has reported after a silence or for the first time: the boot that it told is
 * alive, and those before have ended; and without @is_alive, when the boot that it told last has.
 */
void core_crash_resolve (struct core_target *target, bool is_alive);

/* Called when a reply has listed @run, and before @run is released. */
void core_crash_note_listed (struct core_run *run);
void core_crash_note_release (struct core_run *run);

/* Whether a run of @task, as far as crashes are concerned, may be started now. */
bool core_crash_may_start (const struct core_task *task);

/* Keeps the target of @run free of other new runs if its task is watched, and ends that. */
void core_crash_watch (struct core_run *run);
void core_crash_stop_watching (struct core_run *run);

/* Whether the watched run of @target has kept other tasks away for longer than usual. */
bool core_crash_watch_is_overdue (const struct core_target *target);

/* Whether the start of @run has to wait for a record: its task, or one of its gang, is watched. */
bool core_crash_needs_recording (const struct core_run *run);

/* Adds the coming start of @run, if its task is watched, to what is recorded: if this owner is
 * lost, its successor learns from the target whether it has crashed. */
void core_crash_note_attempt (struct core_run *run);

/* Whether @run is watched, and its target has other runs that could be the cause of a crash soon.
 */
bool core_crash_has_fresh_company (const struct core_run *run);

/* Scores @target for a task that may crash it: the highest score is that of the target on which
 * least work would be lost. */
int64_t core_crash_score_target (const struct core_target *target);

/* Gives up jobs with tasks that crash their targets. To be called in each tick. */
void core_crash_decide (struct fl_core *core);

/* Forgets the crashes of @task, which is done; or frees them, with the task. */
void core_crash_clear_task (struct core_task *task);
void core_crash_free_task (struct core_task *task);

/* Collects the crashes of the tasks of @job, as rows of struct fl_task_crashes: of tasks that are
 * not watched, @kept_permille, those that are most likely the cause. Free them with g_array_unref.
 */
GArray *core_crash_collect (const struct core_job *job, int64_t kept_permille);

/* Applies the crashes in the record of an earlier owner. */
void core_crash_apply_record (struct core_job *job, const struct fl_job_progress *progress);

/* --- job_targets.c --- */

/* Whether tasks of @job may be started on @target: the target is recorded for the job, or the store
 * is too slow to wait for it and cannot have an older record of the job. */
bool core_job_may_start_on (const struct core_job *job, const struct fl_name *target);

/* Called when a task of @job is started on @target, after core_job_may_start_on has allowed it. */
void core_job_mark_started_on (struct core_job *job, const struct fl_name *target);

/* Whether tasks of @job may not be started on @target yet, but its recording has been requested. */
bool core_job_target_is_pending (const struct core_job *job, const struct fl_name *target);

/* Requests that the next record of @job contains @target, unless it is already recorded. */
void core_job_request_target (struct core_job *job, const struct fl_name *target);

/* Marks the targets whose ids have @hash as recorded for @job. */
void core_job_add_recorded_target (struct core_job *job, uint32_t hash);

/* Called when a record of @job is collected, and when the transaction of this record has ended. */
void core_job_begin_recording_targets (struct core_job *job);
void core_job_end_recording_targets (struct core_job *job, bool stored);

/* Collects the targets that the record of @job lists, as rows of struct fl_job_target. Free them
 * with g_array_unref. */
GArray *core_job_collect_targets (const struct core_job *job);

/* Whether a successor has to assume that tasks of @job may run on any target: this owner started
 * tasks on unrecorded targets, or an earlier owner may have done so on a target that has not
 * reported. */
bool core_job_may_run_on_any_target (const struct core_job *job);

/* Whether an earlier owner may have started a task of @job on a target that has not reported, as
 * far as the record tells for the job as a whole. */
bool core_job_is_unreconciled (struct core_job *job);

/* Adds @job, whose final state has become known, to core->unreconciled_jobs if an earlier owner may
 * have left runs of it. Its occurrences that an earlier record tells of are set up. */
void core_job_note_final (struct core_job *job);

/* Whether a task of @job, whose state is final, may still run. */
bool core_job_may_have_runs (const struct core_job *job);

/* Whether records tell for each task of @step on which target it may be. A start then waits until
 * such a record is stored. */
bool core_step_records_targets (const struct core_step *step);

/* Whether an earlier owner may have left a run of @task on a target that has not reported. @task is
 * without a run, and of a job whose state is final or a step for which core_step_records_targets.
 */
bool core_task_is_unreconciled (const struct core_task *task);

/* Notes whether @progress tells where tasks of @job may be: occurrences that are set up later then
 * have no run of the earlier owner. The state of @job has been applied. */
void core_job_note_task_targets (struct core_job *job, const struct fl_job_progress *progress);

/* Applies what the record of an earlier owner tells of the tasks of @job. */
void core_job_apply_task_targets (struct core_job *job, const struct fl_job_progress *progress);

/* Requests that this owner records where the tasks of @job may be: its successor does not rely on
 * what an earlier owner has recorded. */
void core_job_renew_task_targets (struct core_job *job);

/* Collects where the tasks of @job may be, as rows of struct fl_step_targets that refer to the
 * positions of @targets, from core_job_collect_targets. Free them with g_array_unref. */
GArray *core_job_collect_task_targets (const struct core_job *job, const GArray *targets);

/* Keeps the targets of the tasks in @kept_permille of the rows @steps. Of the others, each task
 * that may run may do so on any target of the job. */
void core_job_drop_task_targets (GArray *steps, int64_t kept_permille);

/* Requests that the next record of the job names the target of @run, a new run in state
 * CORE_RUN_PLANNED. */
void core_run_request_recording (struct core_run *run);

/* Whether the start of @run, in state CORE_RUN_PLANNED, may be ordered. */
bool core_run_may_start (const struct core_run *run);

/* --- progress.c --- */

/* Sets the final state of @job, abandons its advice queries and stops its runs. */
void core_job_finish (struct core_job *job, enum fl_job_state state);

/* Ends @job as failed if a task of it has failed as often as its queue permits. Until the
 * configuration in force and this limit are known, failed runs are only counted. To be called
 * whenever these may have become known. */
void core_job_judge_failures (struct core_job *job);

/* Requests that the progress of @job is recorded in the store. */
void core_job_mark_for_recording (struct core_job *job);

/* --- placement.c --- */

/* @return an empty array of struct placement. */
GArray *core_placements_new (void);

/* Starts the tasks that can be started, and updates the wait reasons of the others. */
void core_place_tasks (struct fl_core *core);

/* --- unheard.c --- */

/* Until when leases that earlier owners gave on @target, an inherited one, may be in effect. */
int64_t core_target_inherited_until_ms (const struct core_target *target);

/* Whether the stored record of unheard targets may name @target, so that it must not be given a
 * lease yet. */
bool core_target_is_recorded_unheard (const struct core_target *target);

/* --- lasting.c --- */

/* Adds @job, a new job, to the queue of those with long-running steps if it has one. */
void core_lasting_init_job (struct core_job *job);

/* Updates which tasks of long-running steps are down, and logs what keeps them from being started.
 * To be called in each tick before tasks are placed. */
void core_lasting_tick (struct fl_core *core);

/* Whether @step is long-running, and a task of it has been down for so long that it is started
 * where it is allowed, though another target would be preferred. */
bool core_step_is_overdue (const struct core_step *step);

/* --- urgent_room.c --- */

/* Called in each tick before tasks are placed, and for each step that waits. */
void core_urgent_room_begin (struct fl_core *core);
void core_urgent_room_add (struct core_step *step);

/* Whether urgent tasks that wait leave room for a task of @step. Called after all urgent steps have
 * been placed in the tick. */
bool core_urgent_room_permits (const struct core_step *step);

/* Takes the room of @tasks tasks of @step that are started, or that a query is about; gives it back
 * where @tasks is negative. */
void core_urgent_room_charge (const struct core_step *step, int64_t tasks);

/* Whether urgent tasks that wait leave room for one task of @step, which does not wait itself.
 * Refreshes the deadlines of waiting jobs. */
bool core_urgent_room_is_left (const struct core_step *step);

/* Stops batch tasks where urgent steps still wait for room. Called after placement. */
void core_urgent_room_preempt (struct fl_core *core);

/* --- drain.c --- */

/* Remaining run time of @run, extrapolated from its progress; INT64_MAX when it is unknown. */
int64_t core_run_remaining_ms (const struct core_run *run, int64_t now_ms);

/* --- advice.c --- */

/* @return the ticket that allows @step to run on @target, "" when its queue requires no advice, or
 * NULL when there is no valid ticket. */
const char *core_advice_ticket (const struct core_step *step, const struct core_target *target);

/* What is known from the advice service of a target for a step. */
enum core_advice_state
{
  CORE_ADVICE_VALID,
  CORE_ADVICE_EXPIRED, /* it is eligible, but its ticket has expired */
  CORE_ADVICE_INELIGIBLE,
  CORE_ADVICE_UNANSWERED, /* the reply to a query about it is missing */
  CORE_ADVICE_QUERIED,    /* it is in the query in flight */
  CORE_ADVICE_UNKNOWN,
  CORE_ADVICE_STATE_COUNT
};

enum core_advice_state core_advice_get_state (const struct core_step *step,
                                              const struct core_target *target);

/* @return the name of @state in logs. */
const char *core_advice_state_name (enum core_advice_state state);

/* Whether some ticket of @step may be valid. */
bool core_step_has_ticket (const struct core_step *step);

/* Whether the ticket of @advice is valid if its target has not restarted. */
bool core_advice_has_ticket (const struct core_step *step, const struct core_advice *advice);

/* Queries advice on targets for @waiting tasks of @step, unless a query is already in flight.
 * @return what the step waits for afterwards. */
enum core_wait_reason core_advice_send_query (struct core_step *step, int64_t waiting);

/* Invalidates the ticket of @step for @target, which the target has rejected. */
void core_advice_drop_ticket (struct core_step *step, const struct core_target *target);

/* Abandons the query of @step that is in flight, if any; its reply will be ignored. */
void core_advice_abandon_query (struct core_step *step);

/* --- placement.c, used by others --- */

/* @return how long @step has waited for advice without a break. */
int64_t core_step_wait_for_advice_ms (const struct core_step *step);

/* The free CPU of @target by which it is ranked for tasks of @step: lower while it is cold. */
int64_t core_target_rank_cpu (const struct core_target *target, const struct core_step *step);

/* Whether the limit of its team leaves room for one more task of @step. */
bool core_team_has_capacity (const struct core_step *step);

/* The score by which @target is chosen for @step: the highest is best. */
int64_t core_target_placement_score (struct core_target *target, const struct core_step *step);

/* @return how many waiting steps are placed before @step, which is not one of them, and in @count
 * how many wait. Refreshes the deadlines of waiting jobs and last_waiting_ms of their teams. */
int64_t core_step_count_before (const struct core_step *step, int64_t *count);

/* --- room.c --- */

bool core_target_has_label (const struct core_target *target, const struct fl_name *label);

/* Whether @target takes new tasks of queues with @service, whatever they need. */
bool core_target_accepts_service (const struct core_target *target, const struct fl_name *service);

/* Whether @target is used only where no other fits: tasks fail or lag there, or one runs there that
 * may crash it. */
bool core_target_is_avoided (const struct core_target *target);

/* Whether @target takes new tasks of @step, if it has capacity. */
bool core_target_accepts_step (const struct core_target *target, const struct core_step *step);

/* What is left of the capacity of @target, for best-effort tasks or for others; negative where it
 * has shrunk below what is charged to it. */
struct fl_resources core_target_available_resources (const struct core_target *target,
                                                     bool for_best_effort);

/* Why a target takes no task of a step. */
enum core_target_reason
{
  CORE_TARGET_TAKES_TASKS,
  CORE_TARGET_NOT_REGISTERED,
  CORE_TARGET_ENTRY_UNREADABLE, /* see fl_core_note_unreadable_entry */
  CORE_TARGET_OTHER_SERVICE,
  CORE_TARGET_REGISTRY_OLD, /* see fl_core_confirm_registry */
  CORE_TARGET_NOT_RECORDED, /* the stored list of targets lacks it */
  CORE_TARGET_NOT_REPORTED,
  CORE_TARGET_SILENT,
  CORE_TARGET_NOT_FENCED, /* its boot may accept orders that were meant for an earlier one */
  CORE_TARGET_OTHER_BOOT, /* its registry entry is that of another boot */
  CORE_TARGET_DRAINING,
  CORE_TARGET_STALE_RUNS, /* it lists runs that are to be stopped */
  CORE_TARGET_QUARANTINED,
  CORE_TARGET_EVACUATED,
  CORE_TARGET_DOMAINS_UNKNOWN, /* see core_domains_are_known */
  CORE_TARGET_NO_LABEL,
  CORE_TARGET_WATCHED, /* a task runs there that may crash it */
  CORE_TARGET_NO_CPU,
  CORE_TARGET_NO_MEMORY,
  CORE_TARGET_NO_GPU,
  CORE_TARGET_STEP_LIMIT, /* as many tasks of the step as may be there run there */
  CORE_TARGET_REASON_COUNT
};

/* @return the text of @reason in logs and plans. */
const char *core_target_reason_name (enum core_target_reason reason);

/* @return why @target takes no task of @step now, and in @task_capacity how many it takes. */
enum core_target_reason core_target_get_reason (const struct core_target *target,
                                                const struct core_step *step,
                                                int64_t *task_capacity);

/* How many tasks of @step the target can take now, by its resources and label and by the limits of
 * the step; 0 when it takes no new tasks. @include_tentative counts tentative charges as used. */
int64_t core_target_task_capacity (const struct core_target *target,
                                   const struct core_step *step,
                                   bool include_tentative);

/* @return the resources of all targets that take new tasks of @service. */
const struct fl_resources *core_get_capacity (struct fl_core *core, const struct fl_name *service);

/* Whether no target of the service of @step has enough free resources for one task, so that a
 * search for targets is in vain. @include_tentative counts tentative charges as used. */
bool core_capacity_is_exhausted (const struct core_step *step, bool include_tentative);

/* @return rows of struct core_open_target, by position: the targets that take new tasks of the
 * service of @step. Valid for this tick. */
const GArray *core_get_open_targets (const struct core_step *step);

/* @return the index of the first of @open_targets at @position or behind it; 0 when there is none.
 */
guint core_find_open_target (const GArray *open_targets, guint position);

/* Whether a task of @step can fit on @open_target, by what is free there. */
bool core_may_fit (const struct core_open_target *open_target, const struct core_step *step);

/* Notes that @target, for which @step has advice, is eligible. */
void core_step_add_advised (struct core_step *step, const struct core_target *target);

/* Whether a target that was eligible for @step may have room for one of its tasks. */
bool core_step_may_fit_on_advised (struct core_step *step);

/* @return the target of @advice; NULL if it is not known any more. */
struct core_target *core_advice_get_target (const struct fl_core *core, struct core_advice *advice);

/* Updates what is free on @target in this tick after it got a run or lost one. */
void core_update_room (const struct core_target *target);

/* Records that @step fits on no target. */
void core_record_vain_search (const struct core_step *step, bool include_tentative);

/* --- reply_time.c --- */

/* Notes that a reply of @target took @took_ms. */
void core_reply_time_add (struct core_target *target, int64_t took_ms);

/* How long to wait for a reply of @target before the order is repeated: at least @least_ms, which
 * is enough for a target that replies promptly, and at most FL_REPLY_MAX_MS. */
int64_t core_reply_limit_ms (const struct core_target *target, int64_t least_ms);

/* --- order_budget.c --- */

/* Adds the bytes that have become available since the last call. */
void core_order_budget_update (struct core_order_budget *budget, int64_t now_ms);

bool core_order_budget_is_exhausted (const struct core_order_budget *budget);

/* Takes the bytes of @starts orders that share a payload of @payload_bytes. */
void
core_order_budget_charge (struct core_order_budget *budget, int64_t starts, size_t payload_bytes);

/* Whether the orders under way, and those of this turn, permit one more start of @step; a gang is
 * started as a whole. */
bool core_orders_permit_start (const struct core_step *step);

/* The same for a stop or a throttle. */
bool core_orders_permit_stop (const struct fl_core *core);

/* --- domains.c --- */

void core_domains_init (struct fl_core *core);
void core_domains_clear (struct fl_core *core);

/* Counts the runs left in evacuated domains. To be called in each tick. */
void core_domains_tick (struct fl_core *core);

/* Appends one line of JSON for each failure domain to @out. */
void core_domains_dump (const struct fl_core *core, GString *out);

/* Updates @target->is_evacuated after a change of its entry. */
void core_target_update_evacuated (struct core_target *target);

/* Whether it is known which domains are evacuated, so that tasks may be started. */
bool core_domains_are_known (const struct fl_core *core);

/* @return @deadline_ms, the time from now in which a start order may take effect, limited so that
 * an evacuation that is not known yet holds in time. */
int64_t core_domains_start_deadline_ms (const struct fl_core *core, int64_t deadline_ms);

/* --- drain.c --- */

/* Stops tasks on a draining target so that they continue elsewhere: long-running tasks immediately,
 * tasks with checkpoints shortly before the target leaves. */
void core_evacuate_target (struct core_target *target);

/* --- stall.c --- */

/* Checks the progress that @target has just listed: stops stalled tasks, and keeps new tasks away
 * from a target on which tasks lag. */
void core_check_progress (struct core_target *target);

/* --- target_speed.c --- */

/* Whether the progress of @run reflects the speed of its target. This excludes best-effort tasks,
 * which wait for unused CPU, gangs, whose members wait for each other, and long-running tasks,
 * which never finish. */
bool core_run_shows_speed (const struct core_run *run);

/* Learns from the end of @run, which is released next, what it tells of its target. */
void core_speed_note_end (struct core_run *run, enum fl_end_cause cause);

/* When @target made the report that has just arrived, as far as its clock tells: the reply may have
 * been on its way, or unread, for long. */
int64_t core_report_time_ms (const struct core_target *target);

/* Learns from the report that @target has just made how fast its runs progress. */
void core_speed_note_report (struct core_target *target);

/* Notes the clock of a report that arrives at @now_ms; @is_new: it is the first of its boot. */
void
core_speed_note_clock (struct core_target *target, int64_t clock_ms, int64_t now_ms, bool is_new);

/* Forgets what runs in an earlier boot of @target told. */
void core_speed_reset (struct core_target *target);

/* Scores @target, with @free_cpu_milli left, for a task of @step: by the expected time until it is
 * done there, or by what is left if the task has no end. The highest score is best. */
double core_target_score (struct core_target *target,
                          const struct core_step *step,
                          int64_t free_cpu_milli);

/* Whether a task of @step is likely to end sooner if it waits for room elsewhere than on @target.
 */
bool core_target_is_worse_than_waiting (struct core_target *target, const struct core_step *step);

/* Stops runs on @target, which has just reported, that would end sooner elsewhere. */
void core_move_stragglers (struct core_target *target);

/* --- throttle.c --- */

/* Throttles best-effort tasks by the last tail latency of the serving tasks on @target. */
void core_throttle_target (struct core_target *target);

/* --- interference.c --- */

/* Determines which class of tasks @step belongs to; none without an image. */
void core_interference_classify (struct core_step *step);

/* The same for the class of @run, a new run. */
void core_interference_classify_run (struct core_run *run);

/* Counts the start of @run if it is beside a task of a known pair. */
void core_interference_count_start (const struct core_run *run);

/* Learns from what @target has just reported. */
void core_interference_learn (const struct core_target *target);

/* Updates the known pairs. To be called in each tick. */
void core_interference_update (struct fl_core *core);

/* @return @score, which core_target_score gave @target for @step, less the expected slowdown of its
 * runs by the new task and of the task by them: an expected time gets longer by it; where the score
 * is free CPU, a disturbed target is worse than any that is not. */
double core_interference_adjust_score (const struct core_target *target,
                                       const struct core_step *step,
                                       double score);

/* Appends one line of JSON for each known pair to @out. */
void core_interference_dump (const struct fl_core *core, GString *out);
