/* Structs shared by the files of lib/domain/. */
#pragma once

#include "domain/domain.h"

/* Elements of one team's queue that are tried before the team counts as blocked. */
#define FL_BACKFILL_DEPTH 8
/* Cost units: the whole domain is this much. */
#define FL_COST_UNIT 1000000
/* Between two tries to stop a task. */
#define FL_STOP_RETRY_MS 1000

/* A team as this domain sees it. */
struct fl_account
{
  struct fl_name team;
  bool configured; /* false once a ticket removed the team: nothing new runs for it */
  int64_t share;
  int64_t limit;
  int64_t allotment;
  int64_t running;     /* tasks and requests placed here */
  int64_t unconfirmed; /* tasks that an earlier owner may have left running somewhere */
  int64_t cost;        /* of what is placed here */
  int64_t remote_cost;
  int64_t waiting_requests;
  int64_t retry_tokens;
  int64_t retry_progress;             /* successes towards the next token */
  GQueue waiting[FL_PRIORITIES];      /* struct fl_work * */
  uint64_t blocked_at[FL_PRIORITIES]; /* pool generation at which nothing fitted, plus one */
  struct fl_job *hold_for;    /* an old gang for which the team's own lower work leaves its limit */
  bool active[FL_PRIORITIES]; /* stands in domain->active[priority] */
};

/* What stands in a team's queue: a request, or a job that has tasks to start. */
struct fl_work
{
  enum fl_work_kind kind;
  enum fl_priority priority;
  struct fl_account *account;
  GList link;
  bool queued;
  int64_t queued_ms;
};

enum fl_request_state
{
  FL_REQUEST_WAITING,
  FL_REQUEST_COMMITTING, /* a slot is reserved; the intent is on its way to the table */
  FL_REQUEST_RUNNING
};

struct fl_request
{
  struct fl_work work; /* first: queues hold struct fl_work * */
  uint64_t id;
  uint64_t handle;
  struct fl_name name;
  struct fl_name label;
  bool repeatable;
  int64_t intent; /* version of its intent in the table, 0 for none */
  bool exposed;   /* an attempt's answer was lost: it may have run */
  int64_t arrived_ms;
  int64_t sent_ms; /* the last attempt */
  int64_t deadline_ms;
  int64_t attempt;
  int64_t cost;
  enum fl_request_state state;
  struct fl_target *target;
  struct fl_target *avoid;
  uint64_t record;
  struct fl_str payload;
};

/* A request that may still hold a slot although nobody waits for its answer: its call timed out,
 * or an earlier owner sent it. Counted until an inventory without it, or until leases lapse. */
struct fl_ghost
{
  struct fl_name id; /* on the target */
  struct fl_target *target;
  struct fl_account *account;
};

enum fl_task_state
{
  FL_TASK_WAITING,
  FL_TASK_HELD,     /* an earlier owner may have started it; see recovery.c */
  FL_TASK_RESERVED, /* its room is counted, but others have to leave it first */
  FL_TASK_STARTING, /* the command is on its way */
  FL_TASK_RUNNING,
  FL_TASK_STOPPING, /* must be confirmed as stopped before anything else happens to it */
  FL_TASK_DONE,
  FL_TASK_FAILED,
  FL_TASK_STATES
};

struct fl_task
{
  struct fl_job *job;
  int32_t index;
  int64_t attempt;  /* part of its id on the target; grows with each start and epoch */
  int32_t failures; /* runs that failed */
  enum fl_task_state state;
  bool cancel;     /* STOPPING: ends as failed instead of waiting again */
  bool start_open; /* the command that starts it has not ended, so it may still arrive */
  struct fl_target *target;
  struct fl_resources reserved;
  int64_t cost;
  int64_t since_ms; /* when the last command was sent */
};

enum fl_job_state
{
  FL_JOB_ACCEPTING, /* its row is on its way to the table */
  FL_JOB_ACTIVE,
  FL_JOB_DONE,
  FL_JOB_FAILED,
  FL_JOB_CANCELLED,
  FL_JOB_STATES
};

extern const char *const fl_job_state_names[];

/* An event of a target that may be acknowledged once the table has what it led to. */
struct fl_ack
{
  struct fl_target *target;
  int64_t seq;
};

struct fl_job
{
  struct fl_work work; /* first */
  struct fl_name team;
  struct fl_name id;
  struct fl_name key; /* "team/id" */
  struct fl_job_spec spec;
  enum fl_job_state state;
  int64_t accepted_ms; /* by this owner's clock */
  int64_t accepted_wall_ms;
  int64_t finished_ms;
  struct fl_task **tasks;
  int32_t task_count;
  int32_t wanted; /* services: tasks below this index are to run */
  GArray *ready;  /* int32_t indexes of WAITING tasks; the last is next */
  int32_t done;
  int32_t failed;
  int32_t placed;    /* STARTING, RUNNING or STOPPING */
  int64_t version;   /* of its row */
  uint64_t record;   /* open commit, 0 for none */
  bool dirty;        /* changed since that commit was sent */
  GArray *acks;      /* struct fl_ack, for the next commit */
  GArray *acks_sent; /* struct fl_ack, for the open commit */
  uint64_t cancel_handle;
  uint64_t submit_handle;
  int64_t retry_ms;   /* nothing of the job is started before this */
  int64_t backoff_ms; /* services: the wait after the last short run */
  int64_t preempt_ms; /* no further preemption for this job before this */
};

struct fl_domain
{
  struct fl_domain_options options;
  struct fl_pool *pool;
  const struct fl_config *config;
  GHashTable *accounts; /* struct fl_name * -> struct fl_account * */
  GPtrArray *active[FL_PRIORITIES];
  GHashTable *requests; /* uint64_t id -> struct fl_request * */
  GHashTable *names;    /* "team/id" of open requests -> struct fl_request * */
  GHashTable *jobs;     /* struct fl_name key -> struct fl_job * */
  GHashTable *records;  /* uint64_t id -> struct record * */
  GPtrArray *ghosts;    /* struct fl_ghost *: requests that may still run but are not waited for */
  uint64_t last_id;
  int64_t service_domains;
  int64_t service_rank;
  int64_t unknown_slots; /* of targets without an inventory: requests of an earlier owner may run */
  int64_t held;          /* tasks in state HELD */
  int64_t recover_until_ms; /* silent targets' leases of the earlier owner have lapsed by then */
  struct fl_job *hold_for;  /* an old gang for which lower work leaves room */
  bool recovered; /* all that an earlier owner may have left running is known or has lapsed */
  bool draining;
  bool loaded;
  /* Counters for the dump. */
  int64_t placements;
  int64_t retries;
  int64_t lapsed_tasks;
  int64_t preempted;
  GPtrArray *reserved; /* struct fl_task * in state RESERVED */
  int64_t trimmed;
  int64_t duplicates;
};

/* --- domain.c --- */

struct fl_account *fl_domain_account (struct fl_domain *domain, const struct fl_name *team);

/* How many more tasks or requests of the team may be placed here now. */
int64_t fl_account_headroom (const struct fl_domain *domain, const struct fl_account *account);

/* Lets the team's queues be tried again although the pool has not changed: its headroom has. */
void fl_account_unblock (struct fl_account *account);

/* Sends @value (stolen; NULL deletes) to be written under @key. @return the record's id. */
uint64_t fl_domain_commit (struct fl_domain *domain,
                           const char *key,
                           json_t *value,
                           int64_t version,
                           bool persistent,
                           struct fl_job *job,
                           struct fl_request *request);

/* Forgets that @request or @job waits for its record. */
void fl_domain_detach_record (struct fl_domain *domain, uint64_t record);

/* Gives up a request whose intent is still on its way: when it lands, @value (stolen) replaces it.
 */
void fl_domain_abandon_record (struct fl_domain *domain,
                               uint64_t record,
                               const char *key,
                               json_t *value);

int64_t fl_domain_with_drift (const struct fl_domain *domain, int64_t duration_ms);

/* @return the cost of @demand in millionths of the domain's ready capacity. */
int64_t fl_domain_cost (const struct fl_domain *domain, const struct fl_resources *demand);

/* --- queue.c --- */

void fl_work_enqueue (struct fl_domain *domain, struct fl_work *work, bool front, int64_t now_ms);
void fl_work_dequeue (struct fl_work *work);

/* Whether @a is further below its share than @b. */
bool fl_account_is_poorer (const struct fl_account *a, const struct fl_account *b);

/* Starts all that can be started now. */
void fl_domain_schedule (struct fl_domain *domain, int64_t now_ms);

/* --- preempt.c --- */

/* Makes room for @job, which is urgent, by stopping checkpointable batch work of teams that are
 * further above their share. The room shows once the stops are confirmed. */
void fl_domain_preempt (struct fl_domain *domain, struct fl_job *job, int64_t now_ms);

/* Starts the reserved tasks on @target whose room is free by now. */
void fl_target_start_reserved (struct fl_domain *domain, struct fl_target *target, int64_t now_ms);

/* Gives up reservations that have waited too long. */
void fl_domain_tick_reserved (struct fl_domain *domain, int64_t now_ms);

/* Stops the latest tasks of teams that run more than their allotment or limit allows. */
void fl_domain_trim (struct fl_domain *domain, int64_t now_ms);

/* --- request.c --- */

bool fl_request_place (struct fl_domain *domain, struct fl_request *request, int64_t now_ms);
void fl_request_finish (struct fl_domain *domain,
                        struct fl_request *request,
                        enum fl_outcome outcome,
                        const char *reason,
                        const struct fl_str *result,
                        int64_t now_ms);
void fl_request_on_committed (struct fl_domain *domain,
                              struct fl_request *request,
                              enum fl_commit_result result,
                              int64_t version,
                              const json_t *existing,
                              int64_t now_ms);
void fl_request_free (void *request);
void fl_domain_expire_requests (struct fl_domain *domain, int64_t now_ms);
/* Whether @id, as a target lists it, is the current attempt of a request that runs here. */
bool fl_domain_runs_request (const struct fl_domain *domain, const struct fl_name *id);

/* The target does not answer: repeatable requests on it are tried elsewhere. */
void
fl_domain_leave_target (struct fl_domain *domain, const struct fl_target *target, int64_t now_ms);

/* Asks targets that are slow to answer a request whether they are there. */
void fl_domain_watch_runs (struct fl_domain *domain, int64_t now_ms);
void fl_domain_close_requests (struct fl_domain *domain, int64_t now_ms);

/* --- job.c, task.c, service.c --- */

/* Starts what fits. @return whether anything was started. */
bool fl_job_place (struct fl_domain *domain, struct fl_job *job, int64_t now_ms);
void fl_job_on_committed (struct fl_domain *domain,
                          struct fl_job *job,
                          enum fl_commit_result result,
                          int64_t version,
                          const json_t *existing,
                          int64_t now_ms);
/* Makes a job of @spec (copied) and enters it under its key. */
struct fl_job *fl_job_new (struct fl_domain *domain,
                           const struct fl_name *team,
                           const struct fl_job_spec *spec,
                           enum fl_work_kind kind,
                           enum fl_priority priority,
                           int64_t now_ms);

/* Makes room for @count tasks; new ones are WAITING but not in the queue yet. */
void fl_job_grow (struct fl_job *job, int32_t count);

/* No room is kept for @job any more. */
void fl_job_release_hold (struct fl_domain *domain, const struct fl_job *job);
struct fl_job *fl_domain_find_job (const struct fl_domain *domain,
                                   const struct fl_name *team,
                                   const struct fl_name *id);

/* Finds the task that an id on a target stands for, whatever its attempt.
 * @attempt: the attempt in the id. @return NULL when no such job or task is known. */
struct fl_task *
fl_domain_find_task (const struct fl_domain *domain, const struct fl_name *id, int64_t *attempt);

/* Puts a task that runs nowhere back into the queue, or ends it when it has no attempt left. */
void fl_task_requeue (struct fl_domain *domain, struct fl_task *task, int64_t now_ms);

/* Gives back the room a task has on its target. */
void fl_task_vacate (struct fl_domain *domain, struct fl_task *task);

/* Sends the command that starts @task, whose room on its target is counted already. */
void fl_task_send_start (struct fl_domain *domain, struct fl_task *task, int64_t now_ms);

/* Counts the room of the job's next task on @target, whether or not it is free yet.
 * @return the task, in state RESERVED. */
struct fl_task *fl_job_reserve_next (struct fl_domain *domain,
                                     struct fl_job *job,
                                     struct fl_target *target,
                                     int64_t now_ms);

/* Puts a task that was found running on @target into the books. */
void fl_task_adopt (struct fl_domain *domain,
                    struct fl_task *task,
                    struct fl_target *target,
                    int64_t attempt,
                    int64_t now_ms);

/* Hash of a task by its job and index. */
unsigned int fl_task_hash (const void *task);

void fl_task_finish (struct fl_domain *domain, struct fl_task *task, bool ok, int64_t now_ms);
void fl_task_stop (struct fl_domain *domain,
                   struct fl_task *task,
                   bool cancel,
                   enum fl_stop_mode mode,
                   int64_t now_ms);
void fl_domain_update_services (struct fl_domain *domain, int64_t now_ms);
void fl_domain_close_jobs (struct fl_domain *domain);
void fl_domain_tick_jobs (struct fl_domain *domain, int64_t now_ms);
void fl_job_free (void *job);
void fl_job_mark_dirty (struct fl_domain *domain, struct fl_job *job);

/* --- recovery.c --- */

/* Counts a request that may still run on @target; its slot is already counted as used. */
void fl_domain_add_ghost (struct fl_domain *domain,
                          struct fl_target *target,
                          struct fl_account *account,
                          const struct fl_name *id);

/* Notes that the table has what the event led to, so that it may be acknowledged. */
void fl_target_ack (struct fl_target *target, int64_t seq);

/* Notes the end of a call that may have renewed the leases on @target. */
void fl_target_touch (struct fl_domain *domain, struct fl_target *target, int64_t now_ms);

/* Counts a start that failed or succeeded towards quarantine. */
void
fl_target_note_start (struct fl_domain *domain, struct fl_target *target, bool ok, int64_t now_ms);
void fl_domain_tick_targets (struct fl_domain *domain, int64_t now_ms);
