/* Scheduling core of the pool owner: decides which task runs on which target and when.
 *
 * The core does no I/O and reads no clock. Callers pass in the current time and what they observed,
 * and the core issues orders through callbacks, so that tests can run it on a virtual clock. Times
 * are milliseconds of the boot clock, or of the wall clock where the name contains `wall`.
 *
 * Invariants, for every order of events:
 * - a task has at most one run that may be in effect;
 * - the resources of a run stay charged to its target and team from the start order until the
 *   target lists the end of the run, or until the run can no longer be in effect;
 * - a target may forget an end only after the store has recorded the effect of this end.
 */
#pragma once

#include <glib.h>

#include "common/error.h"
#include "common/log.h"
#include "common/stats.h"
#include "configuration/configuration.h"
#include "job/job_spec.h"
#include "targets/calls.h"

struct fl_core;

/* Callbacks for the orders of the core. An order and what it points to are valid during the
 * callback only. The caller reports the outcome of each start and stop with
 * fl_core_handle_start_reply or fl_core_handle_stop_reply, but not before the core function that
 * issued the order has returned. When the limit of an order is over, the outcome is
 * FL_ORDER_NO_REPLY; FL_ORDER_DONE or FL_ORDER_STALE_RUN may follow when the reply arrives. */
struct fl_core_actions
{
  void (*start) (void *context, const struct fl_start_order *order);
  void (*stop) (void *context, const struct fl_run_order *order);
  void (*throttle) (void *context, const struct fl_run_order *order);
  /* Queries the advice service which of the @count @targets may run @step. The reply goes to
   * fl_core_handle_advice_reply, as does a timeout.
   * @return false when no host is free for @demand. */
  bool (*query_advice) (void *context,
                        const struct fl_name *step,
                        const struct fl_name *targets,
                        size_t count,
                        const struct fl_advice_demand *demand);
  /* Whether a host is free for @demand. */
  bool (*may_query_advice) (void *context, const struct fl_advice_demand *demand);
  /* @return the percentage in use of the memory that orders under way may take: starts, stops and
   * throttles that were issued and whose calls have not ended. NULL where this is not limited. */
  int (*get_order_load) (void *context);
};

struct fl_core_options
{
  const struct fl_log *log;
  struct fl_stats *stats;
  struct fl_core_actions actions;
  void *context; /* passed to the actions */
  int64_t fencing_token;
  /* Store version at which this owner acquired the pool. Jobs accepted at a later version were
   * never started by an earlier owner. */
  int64_t acquired_version;
  /* Until when orders of earlier owners may reach targets; 0 if there was none. The leases that
   * these gave are in effect for longer: see fl_core_reconciled_at. */
  int64_t earlier_orders_end_ms;
  int64_t target_lease_ms;     /* duration of the lease that each heartbeat renews */
  int64_t target_lease_max_ms; /* longest lease that a target grants */
  /* Rate, in bytes a second, at which start orders may be sent; 0 for no limit. */
  int64_t order_bytes_per_s;
  /* Time after which a change of the evacuated domains has to hold; 0 for none: then what is known
   * of them does not age. */
  int64_t evacuation_ms;
  /* Memory that the steps and tasks of jobs may take: further ones that are due, unless they are
   * few, wait until others have ended. 0 for no limit. */
  int64_t set_up_bytes_max;
  /* Longest record that the store accepts; 0 for no limit. */
  int64_t record_bytes_max;
  /* Memory that accepted jobs may hold before they are set up and while they wait: queues that hold
   * much of it are closed. 0 for no limit. */
  int64_t job_bytes_max;
};

struct fl_core *fl_core_new (const struct fl_core_options *options);
void fl_core_free (struct fl_core *core);

/* --- observations --- */

/* Applies @configuration and keeps a reference to it. Tasks are started only after the first
 * call. */
void fl_core_configure (struct fl_core *core, struct fl_configuration *configuration);

/* Adds or updates a target that the registry lists. A new target gets no tasks until
 * fl_core_finish_target_list confirms that the store lists it. */
void fl_core_update_target (struct fl_core *core, const struct fl_target_entry *entry);

/* Called when the registry entry of the target @id cannot be read. A known target stays known and
 * gets heartbeats at its last address, since what runs there may go on; it gets no new tasks until
 * fl_core_update_target is called for it. An unknown one is not added. */
void fl_core_note_unreadable_entry (struct fl_core *core, const struct fl_name *id);

/* Called when the registry no longer lists the target @id. The target gets no new tasks, but it
 * stays known and gets heartbeats while it has runs or unrecorded ends, or while orders of an
 * earlier owner may be in effect on it. */
void fl_core_remove_target (struct fl_core *core, const struct fl_name *id);

/* Adds a target that an earlier owner used. Tasks that may already run on it are not started
 * elsewhere until it reports its runs or fl_core_reconciled_at has passed. */
void fl_core_inherit_target (struct fl_core *core,
                             const struct fl_name *id,
                             const struct fl_name *address);

/* Adds a finished job that has no runs left. The core keeps only its id. */
void fl_core_add_finished_job (struct fl_core *core, const struct fl_name *id);

/* Adds a job that was accepted at store version @version. @progress is NULL when the store has no
 * progress record for it. Ignores known jobs. Takes ownership of the contents of @spec. */
void fl_core_add_job (struct fl_core *core,
                      struct fl_job_spec *spec,
                      int64_t version,
                      const struct fl_job_progress *progress);

/* Declares that all jobs that were accepted before this owner acquired the pool have been added.
 * Until then heartbeats only renew leases: the runs and ends that targets list are of unknown jobs.
 */
void fl_core_set_jobs_known (struct fl_core *core);

/* Declares that all targets that the registry lists have been added. */
void fl_core_set_registry_known (struct fl_core *core);

/* Declares that the registry entries that were passed in so far were current at @sent_ms or later.
 * Where this is not declared for some time, no tasks are started: a target may drain, or have
 * shrunk. A caller that never declares it is not bound by this. */
void fl_core_confirm_registry (struct fl_core *core, int64_t sent_ms);

/* Replaces the evacuated failure domains by @domains. Until a domain is no longer among them, no
 * task is started on its targets; what runs there goes on. */
void
fl_core_set_evacuated_domains (struct fl_core *core, const struct fl_name *domains, size_t count);

/* Declares that the evacuated domains that were passed in last were current at @sent_ms or later.
 * With options.evacuation_ms, no tasks are started where this is not declared for some time. */
void fl_core_confirm_domains (struct fl_core *core, int64_t sent_ms);

/* Cancels the job @id and stops its runs. Ignores unknown and finished jobs. */
void fl_core_cancel_job (struct fl_core *core, const struct fl_name *id);

/* Handle the outcome of the last start or stop order for run @run of @task. */
void fl_core_handle_start_reply (struct fl_core *core,
                                 const struct fl_name *task,
                                 int64_t run,
                                 enum fl_order_result result,
                                 int64_t now_ms);
void fl_core_handle_stop_reply (struct fl_core *core,
                                const struct fl_name *task,
                                int64_t run,
                                enum fl_order_result result,
                                int64_t now_ms);

/* Until when, in milliseconds, what earlier owners ordered may be in effect on targets that have
 * not reported to this one. Later, if this owner has renewed their leases there. */
int64_t fl_core_reconciled_at (const struct fl_core *core);

/* Whether heartbeats ask for the longest lease instead of options.target_lease_ms: the next ones
 * may be far off. */
void fl_core_ask_longest_leases (struct fl_core *core, bool asks_longest);

/* Handles @clock_ms, the clock of @target in its reply to an order; 0 if it is unknown. A clock
 * that has gone back shows that the target has restarted. */
void fl_core_handle_clock (struct fl_core *core,
                           const struct fl_name *target,
                           int64_t clock_ms,
                           int64_t now_ms);

/* Handles how long @reply took to an order to @target that was sent at @sent_ms and permitted a
 * wait of @wait_ms, however late it is. */
void fl_core_handle_reply_time (struct fl_core *core,
                                const struct fl_name *target,
                                const struct fl_order_reply *reply,
                                int64_t sent_ms,
                                int64_t wait_ms,
                                int64_t now_ms);

/* Handles the reply to a heartbeat that was sent at @sent_ms, or its lack when the limit is over.
 */
void fl_core_handle_heartbeat_reply (struct fl_core *core,
                                     const struct fl_name *target,
                                     const struct fl_order_reply *reply,
                                     int64_t sent_ms,
                                     int64_t now_ms);

/* Handles the outcome of the query of @step for the targets @queried; @reply->received is false
 * when it timed out. A late reply to a query that timed out counts, too. */
void fl_core_handle_advice_reply (struct fl_core *core,
                                  const struct fl_name *step,
                                  const struct fl_name *queried,
                                  size_t queried_count,
                                  const struct fl_advice_reply *reply,
                                  int64_t now_ms);

/* --- decisions --- */

/* Expires leases, resends orders and starts tasks. Call it after observations and at least every
 * 50 ms. */
void fl_core_tick (struct fl_core *core, int64_t now_ms, int64_t wall_ms);

/* Whether orders to @target carry @fencing_token now. If they carry a higher one, a rejection of
 * @fencing_token does not show that another host owns the pool. */
bool fl_core_token_is_current (const struct fl_core *core,
                               const struct fl_name *target,
                               int64_t fencing_token);

/* Fills @order with the next heartbeat to @target. The core assumes from then on that it was sent
 * and may have renewed the lease; the caller reports its reply before the next call for this
 * target.
 * @return false when no heartbeat is due, or the target or its address is unknown. */
bool fl_core_prepare_heartbeat (struct fl_core *core,
                                const struct fl_name *target,
                                int64_t now_ms,
                                struct fl_heartbeat_order *order);

/* Fills @orders with the next heartbeats of up to @max targets that are due for one and have none
 * in flight, as fl_core_prepare_heartbeat does for one target. @return the number of orders. */
size_t fl_core_prepare_heartbeats (struct fl_core *core,
                                   int64_t now_ms,
                                   struct fl_heartbeat_order *orders,
                                   size_t max);

/* Whether a target has nearly used up the fencing tokens of this owner, or has: one whose tokens
 * are used up gets no tasks, so that a new term is due. */
bool fl_core_is_short_of_tokens (const struct fl_core *core);

size_t fl_core_target_count (const struct fl_core *core);

/* Ids (const struct fl_name *) of all known targets and of the registry entries that cannot be
 * read. Each is borrowed and stays valid until it is removed. Free the array with
 * g_ptr_array_unref. */
GPtrArray *fl_core_target_ids (const struct fl_core *core);

/* --- records --- */

struct fl_core_record
{
  struct fl_name job;
  struct fl_str progress; /* encoded struct fl_job_progress, owned by the record */
};

/* Fills @records with up to @max records to store in one transaction. They are in flight until
 * fl_core_finish_records is called; no others may be collected meanwhile.
 * @return the number of records; 0 when nothing needs storing, and then nothing is in flight. */
size_t fl_core_collect_records (struct fl_core *core, struct fl_core_record *records, size_t max);

/* Ends the transaction of the last collected records. Unless they were @stored, they are collected
 * again later. */
void fl_core_finish_records (struct fl_core *core, bool stored, int64_t now_ms);

/* Whether the list of targets in the store lacks a target, or contains one that has left or has
 * finished draining and for whose report a successor would wait in vain. */
bool fl_core_target_list_is_outdated (const struct fl_core *core);

/* Collects the list of targets to store, as alternating ids and addresses (struct fl_name). Call
 * fl_core_finish_target_list when its write has ended. Free the list with g_array_unref. */
GArray *fl_core_collect_target_list (struct fl_core *core);

/* Handles the end of the write of the last collected list. @stored: the store confirmed it. */
void fl_core_finish_target_list (struct fl_core *core, bool stored);

/* An inherited target that this owner has not heard. */
struct fl_unheard_target
{
  struct fl_name id;
  int64_t left_ms; /* until the leases that earlier owners gave there have expired */
};

/* Declares that the targets of earlier owners were added at @now_ms. Without it, no record of
 * unheard targets is collected. */
void fl_core_set_inherited_known (struct fl_core *core, int64_t now_ms);

/* Declares that the leases that earlier owners gave on the inherited target @id expire by
 * @until_ms: the record of unheard targets that the previous owner stored names it. */
void
fl_core_bound_inherited_target (struct fl_core *core, const struct fl_name *id, int64_t until_ms);

/* Whether the store lacks a record of the targets that this owner has not heard, or it names one
 * that may get no lease before it is stored without that target. */
bool fl_core_unheard_record_is_outdated (struct fl_core *core, int64_t now_ms);

/* Collects the record to store (struct fl_unheard_target). Call fl_core_finish_unheard_record when
 * its write has ended. Free it with g_array_unref. */
GArray *fl_core_collect_unheard_record (struct fl_core *core, int64_t now_ms);

/* Handles the end of the write of the last collected record. @stored: the store confirmed it, so
 * that no earlier write can take effect any more. */
void fl_core_finish_unheard_record (struct fl_core *core, bool stored);

/* Updates which queues accept further jobs, while @hosts hosts send queries for advice.
 * @return the names of those that are closed (struct fl_name). Free them with g_array_unref. */
GArray *fl_core_update_admission (struct fl_core *core, int hosts);

/* Counts the jobs of each queue that have not started, as a table of queue name (struct fl_name *,
 * borrowed from a job) to count (intptr_t). Free it with g_hash_table_unref. */
GHashTable *fl_core_count_pending_jobs (const struct fl_core *core);

/* Appends one line of JSON for each target, failure domain, job and known pair of tasks that slow
 * each other down to @out, for operators. */
void fl_core_dump (const struct fl_core *core, GString *out);

/* Appends to @out where the job of @spec, which the core does not know, would go now, and why, as
 * text for operators. Changes nothing that decisions depend on; @spec stays with the caller.
 * @return false with @error filled: FL_NOT_FOUND for an unknown queue, FL_UNAVAILABLE before the
 * first configuration. */
bool fl_core_plan_job (struct fl_core *core,
                       const struct fl_job_spec *spec,
                       GString *out,
                       struct fl_error *error);
