/* The decisions of one failure domain: what starts where, when, and what is said about it.
 *
 * The module is pure. Events come in as calls that carry the time; what is to be done goes out
 * through callbacks, which must not call back into the domain. Whoever owns the domain drives it;
 * tests and the fuzzer drive it on a virtual clock.
 */
#pragma once

#include <jansson.h>

#include "target/pool.h"
#include "ticket/ticket.h"

struct fl_domain;
struct fl_task;
struct fl_request;

/* What became of a request or a job. docs/INTERFACES.md lists them for callers. */
enum fl_outcome
{
  FL_OUTCOME_DONE,      /* ran and succeeded */
  FL_OUTCOME_FAILED,    /* ran and failed */
  FL_OUTCOME_NOT_RUN,   /* did not run and will not */
  FL_OUTCOME_UNKNOWN,   /* may have run */
  FL_OUTCOME_CANCELLED, /* withdrawn by its team */
  FL_OUTCOME_ACCEPTED,  /* a job is kept and will run */
  FL_OUTCOMES
};

extern const char *const fl_outcome_names[];

struct fl_answer
{
  enum fl_outcome outcome;
  const char *reason;     /* a stable word, e.g. "no_capacity" */
  struct fl_str result;   /* what the target answered; borrowed */
  struct fl_name target;  /* where it ran, if anywhere */
  int64_t retry_after_ms; /* when a NOT_RUN may be tried again; 0: not by waiting */
  bool elsewhere;         /* NOT_RUN, or UNKNOWN but repeatable: another domain may take it */
};

/* How a command to a target ended. */
enum fl_call_result
{
  FL_CALL_DONE,     /* the target did it */
  FL_CALL_FAILED,   /* the target ran the work and reports that it failed */
  FL_CALL_REFUSED,  /* the target did not do it and will not */
  FL_CALL_NOT_SENT, /* the command certainly never reached the target */
  FL_CALL_UNKNOWN   /* the answer was lost */
};

enum fl_stop_mode
{
  FL_STOP_KILL,
  FL_STOP_CHECKPOINT
};

/* A row to write. `id` comes back in fl_domain_on_committed. */
struct fl_record
{
  uint64_t id;
  struct fl_name domain;
  struct fl_str key; /* borrowed */
  json_t *value;     /* borrowed; NULL deletes the row */
  int64_t version;   /* that the row must have; 0: it must not exist yet */
  bool persistent;   /* is tried until the table has it or the domain is lost */
};

enum fl_commit_result
{
  FL_COMMIT_OK,
  FL_COMMIT_EXISTS,  /* the row has another version, with other content */
  FL_COMMIT_REFUSED, /* certainly not written */
  FL_COMMIT_LOST,    /* certainly not written: another process owns the domain now */
  FL_COMMIT_UNKNOWN  /* another process owns the domain now; the row may have been written */
};

struct fl_domain_ops
{
  void *context;
  /* Whether the owner's lease permits a command now. */
  bool (*may_act) (void *context);
  void (*run) (void *context, struct fl_target *target, const struct fl_request *request);
  void (*start) (void *context, struct fl_target *target, const struct fl_task *task);
  void (*stop) (void *context,
                struct fl_target *target,
                const struct fl_name *task_id,
                enum fl_stop_mode mode);
  /* Asks for the target's inventory, out of turn. */
  void (*inspect) (void *context, struct fl_target *target);
  void (*commit) (void *context, const struct fl_record *record);
  void (*answer) (void *context, uint64_t handle, const struct fl_answer *answer);
};

struct fl_domain_limits
{
  int64_t task_lease_ms;       /* a task stops by itself when its lease is not renewed for this */
  int64_t delivery_ms;         /* a command arrives within this or not at all */
  int64_t drift_ppm;           /* bound on clock rates, as for the ownership lease */
  int64_t quarantine_failures; /* failed starts in a row that quarantine a target */
  int64_t quarantine_ms;
  int64_t waiting_max;      /* requests that one team may have waiting */
  int64_t gang_patience_ms; /* a gang older than this stops lower work from filling its room */
  int64_t retry_tokens_max; /* retry budget of a team: tokens at most */
  int64_t retry_ratio;      /* successes that earn one token */
  int64_t finished_keep_ms; /* a finished job's row is kept for this */
};

extern const struct fl_domain_limits fl_domain_limits_default;

struct fl_domain_options
{
  struct fl_name name;
  int64_t epoch;
  int64_t now_ms;
  /* The process has not watched the host list for long enough to know every host that may still
   * run tasks of an earlier owner, so those are waited for in full. */
  bool patient;
  struct fl_domain_limits limits;
  struct fl_domain_ops ops;
};

struct fl_domain *fl_domain_new (const struct fl_domain_options *options);
void fl_domain_free (struct fl_domain *domain);

const struct fl_name *fl_domain_name (const struct fl_domain *domain);
int64_t fl_domain_epoch (const struct fl_domain *domain);
struct fl_pool *fl_domain_pool (struct fl_domain *domain);

/* --- configuration --- */

/* Takes over teams, queues and services. @config must outlive the domain or the next call.
 * @domains, @rank: how many domains share the replicas of services, and this one's place. */
void fl_domain_set_config (struct fl_domain *domain,
                           const struct fl_config *config,
                           int64_t domains,
                           int64_t rank,
                           int64_t now_ms);

/* How much of the team's upper limit may run in this domain. */
void fl_domain_set_allotment (struct fl_domain *domain,
                              const struct fl_name *team,
                              int64_t amount,
                              int64_t now_ms);

/* What the team uses in other domains, in fl_domain_team_cost units. */
void fl_domain_set_remote_cost (struct fl_domain *domain, const struct fl_name *team, int64_t cost);

/* Adds or updates a target from the platform's list. */
struct fl_target *fl_domain_list_target (struct fl_domain *domain,
                                         const struct fl_name *name,
                                         const struct fl_name *label,
                                         const struct fl_name *rack,
                                         const char *url,
                                         const struct fl_resources *capacity,
                                         bool leaving,
                                         int64_t now_ms);

/* The platform's list names the target no more. */
void fl_domain_unlist_target (struct fl_domain *domain, struct fl_target *target, int64_t now_ms);

/* --- work --- */

/* Takes a request. The answer comes by ops.answer with @handle, exactly once. */
void fl_domain_request (struct fl_domain *domain,
                        uint64_t handle,
                        const struct fl_name *team,
                        const struct fl_request_spec *spec,
                        int64_t now_ms);

/* Takes a job; answered ACCEPTED once the table has it. */
void fl_domain_submit (struct fl_domain *domain,
                       uint64_t handle,
                       const struct fl_name *team,
                       const struct fl_job_spec *spec,
                       int64_t now_ms);

/* Loads a job from its row, when a domain is taken over. @return false for a malformed row. */
bool
fl_domain_load_job (struct fl_domain *domain, const json_t *row, int64_t version, int64_t now_ms);

/* All rows are loaded: tasks that may still run somewhere wait for the targets' inventories. */
void fl_domain_loaded (struct fl_domain *domain, int64_t now_ms);

/* Cancels a job. Answered CANCELLED once the table has it, or NOT_RUN with reason "no_such_job". */
void fl_domain_cancel (struct fl_domain *domain,
                       uint64_t handle,
                       const struct fl_name *team,
                       const struct fl_name *job,
                       int64_t now_ms);

/* --- what targets and the table say --- */

void fl_domain_on_run (struct fl_domain *domain,
                       uint64_t request,
                       int64_t attempt,
                       enum fl_call_result result,
                       const struct fl_str *body,
                       int64_t now_ms);
void fl_domain_on_started (struct fl_domain *domain,
                           const struct fl_name *task_id,
                           enum fl_call_result result,
                           int64_t now_ms);

/* @result: DONE the task does not run (any more); FAILED it had ended by itself before, so that its
 * event decides; UNKNOWN it may still run. */
void fl_domain_on_stopped (struct fl_domain *domain,
                           const struct fl_name *task_id,
                           enum fl_call_result result,
                           int64_t now_ms);

/* One task or request that a target says it runs. */
struct fl_inventory_item
{
  struct fl_name id;
  bool request;
};

/* A task that ended on a target. */
struct fl_task_event
{
  int64_t seq;
  struct fl_name id;
  bool ok;
  bool checkpointed; /* stopped on request; it can continue elsewhere */
};

/* What a task really uses. */
struct fl_task_usage
{
  struct fl_name id;
  int64_t cpu_milli;
  int64_t memory_mb;
};

/* The answer of a target to a poll. */
struct fl_target_report
{
  struct fl_name instance; /* changes when the target has restarted and lost all */
  bool leaving;
  bool renewed; /* the poll renewed the leases of the target's tasks */
  bool full;    /* `running` is the whole inventory */
  const struct fl_inventory_item *running;
  size_t running_count;
  const struct fl_task_event *events;
  size_t event_count;
  const struct fl_task_usage *usage;
  size_t usage_count;
};

/* @asked_ms: when the poll was sent; what was started later is not missing from it. */
void fl_domain_on_report (struct fl_domain *domain,
                          struct fl_target *target,
                          const struct fl_target_report *report,
                          int64_t asked_ms,
                          int64_t now_ms);

/* Whether a poll of the target is to renew the leases of its tasks. It is not while the target does
 * not answer: else it could hear the polls for ever and its tasks would never be known to have
 * lapsed. */
bool fl_domain_renews (const struct fl_target *target);

/* A poll failed: the target takes no new work until it answers again. @renewed: the poll would have
 * renewed leases, and may have. */
void fl_domain_on_silent (struct fl_domain *domain,
                          struct fl_target *target,
                          bool renewed,
                          int64_t now_ms);

/* @version: of the row now, for OK and EXISTS. @existing: for EXISTS, the row's value; borrowed. */
void fl_domain_on_committed (struct fl_domain *domain,
                             uint64_t record,
                             enum fl_commit_result result,
                             int64_t version,
                             const json_t *existing,
                             int64_t now_ms);

/* Lets time pass: deadlines, lapsed leases, retries. Call it at least every 50 ms or so. */
void fl_domain_tick (struct fl_domain *domain, int64_t now_ms);

/* Answers all waiting requests NOT_RUN and takes no more; running ones go on. */
void fl_domain_drain (struct fl_domain *domain, int64_t now_ms);

/* Answers everything that is open, because the domain goes to another owner: what was not sent is
 * NOT_RUN, the rest UNKNOWN. Only fl_domain_free may follow. */
void fl_domain_close (struct fl_domain *domain, int64_t now_ms);

/* Whether no request is open and no record is on its way. */
bool fl_domain_is_idle (const struct fl_domain *domain);

/* --- looking in --- */

struct fl_domain_load
{
  int64_t free_slots;
  int64_t free_cpu_milli;
  int64_t waiting_requests;
  int64_t waiting_tasks;
  int64_t running_tasks;
  int64_t running_requests;
  int64_t targets_ready;
  bool recovering;
};

void fl_domain_load (const struct fl_domain *domain, struct fl_domain_load *load);

/* A team as one domain sees it. */
struct fl_team_usage
{
  struct fl_name team;
  int64_t running; /* tasks and requests placed here */
  int64_t cost;    /* of those, in millionths of the domain */
  int64_t waiting; /* tasks and requests that wait */
  int64_t allotment;
  bool stuck; /* nothing runs, and a gang waits that the allotment can never hold */
};

/* Calls @visit for each team. */
void fl_domain_each_team (const struct fl_domain *domain,
                          void (*visit) (void *context, const struct fl_team_usage *usage),
                          void *context);

/* The state of one job, or NULL. */
json_t *fl_domain_job (const struct fl_domain *domain,
                       const struct fl_name *team,
                       const struct fl_name *job);

/* The jobs of @team, or of all teams when it is empty. */
json_t *fl_domain_jobs (const struct fl_domain *domain, const struct fl_name *team);

/* The whole state. */
json_t *fl_domain_dump (const struct fl_domain *domain);

/* --- for ops: what a command carries --- */

uint64_t fl_request_id (const struct fl_request *request);
int64_t fl_request_attempt (const struct fl_request *request);
struct fl_name fl_request_name (const struct fl_request *request);
const struct fl_str *fl_request_payload (const struct fl_request *request);
int64_t fl_request_deadline_ms (const struct fl_request *request);
bool fl_request_repeatable (const struct fl_request *request);

struct fl_name fl_task_id (const struct fl_task *task);
const struct fl_resources *fl_task_demand (const struct fl_task *task);
const struct fl_str *fl_task_payload (const struct fl_task *task);
const struct fl_name *fl_task_team (const struct fl_task *task);
int64_t fl_task_run_ms (const struct fl_task *task);
