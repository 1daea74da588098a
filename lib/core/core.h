/* The decisions of the pool's owner: which task runs where and when. Pure: it is handed the time
 * and what was observed, and gives its orders through callbacks, so that tests drive it on a
 * virtual clock. Times are milliseconds of the boot clock but where `wall` stands in the name.
 *
 * Invariants that it keeps, in every order of events:
 * - a task has at most one run that may be in effect;
 * - room of a target and of a team stays charged from the order of a start until its end is listed
 *   or can no longer come;
 * - an end is forgotten at its target only after what it means is recorded in the store.
 */
#pragma once

#include <glib.h>

#include "common/log.h"
#include "common/stats.h"
#include "configuration/configuration.h"
#include "job/job_spec.h"
#include "targets/calls.h"

struct fl_core;

/* Orders that the core gives. Each start and stop is answered by a call of
 * fl_core_handle_start_reply or fl_core_handle_stop_reply. None is called back before the function
 * that led to it returns. */
struct fl_core_actions
{
  void (*start) (void *context, const struct fl_start_order *order);
  void (*stop) (void *context, const struct fl_run_order *order);
  void (*throttle) (void *context, const struct fl_run_order *order);
  /* Asks which of @targets may run @step; the answer takes about @expected_ms. @return false when
   * no channel to the advice service is free for a question of that length. */
  bool (*query_advice) (void *context,
                        const struct fl_name *step,
                        const struct fl_name *targets,
                        size_t count,
                        int64_t expected_ms);
};

struct fl_core_options
{
  const struct fl_log *log;
  struct fl_stats *stats;
  struct fl_core_actions actions;
  void *context;
  int64_t fencing_token;
  /* Jobs accepted at a later store version were never started by an earlier owner. */
  int64_t acquired_version;
  /* Until then orders of an earlier owner may be in effect on targets that have not reported. */
  int64_t reconciled_at_ms;
  int64_t target_lease_ms;     /* lease that each hold gives */
  int64_t target_lease_max_ms; /* longest lease that a target grants */
};

struct fl_core *fl_core_new (const struct fl_core_options *options);
void fl_core_free (struct fl_core *core);

/* --- what is observed --- */

void fl_core_configure (struct fl_core *core, struct fl_configuration *configuration);

/* The registry shows @entry. A target that is new to the core is not used before
 * fl_core_mark_target_list_recorded. */
void fl_core_update_target (struct fl_core *core, const struct fl_target_entry *entry);

/* The registry shows @id no longer. It is held while it answers and runs something. */
void fl_core_remove_target (struct fl_core *core, const struct fl_name *id);

/* A target that an earlier owner used; it blocks unseen tasks until it reports or the time is
 * up. */
void fl_core_inherit_target (struct fl_core *core,
                             const struct fl_name *id,
                             const struct fl_name *address);

/* A job that is over for good: nothing of it runs or will run, and only its id is kept. */
void fl_core_add_completed_job (struct fl_core *core, const struct fl_name *id);

/* A job as stored; @progress is NULL when nothing is recorded of it. Known jobs are ignored. Takes
 * over what @spec owns. */
void fl_core_add_job (struct fl_core *core,
                      struct fl_job_spec *spec,
                      int64_t version,
                      const struct fl_job_progress *progress);

void fl_core_cancel_job (struct fl_core *core, const struct fl_name *id);

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

/* The answer to a hold that was sent at @sent_ms. */
void fl_core_handle_heartbeat_reply (struct fl_core *core,
                                     const struct fl_name *target,
                                     const struct fl_order_reply *reply,
                                     int64_t sent_ms,
                                     int64_t now_ms);

void fl_core_handle_advice_reply (struct fl_core *core,
                                  const struct fl_name *step,
                                  const struct fl_name *queried,
                                  size_t queried_count,
                                  const struct fl_advice_reply *reply,
                                  int64_t now_ms);

/* --- what follows from it --- */

/* Decides. Called after observations and at least every 50 ms. */
void fl_core_tick (struct fl_core *core, int64_t now_ms, int64_t wall_ms);

/* Fills @order with the hold that @target is due.
 * @return false when the core does not know the target any more. */
bool fl_core_prepare_heartbeat (struct fl_core *core,
                                const struct fl_name *target,
                                int64_t now_ms,
                                struct fl_hold_order *order);

size_t fl_core_target_count (const struct fl_core *core);

/* Ids of all targets to hold (const struct fl_name *), borrowed: valid until a target comes or
 * goes. Free the array with g_ptr_array_unref. */
GPtrArray *fl_core_target_ids (const struct fl_core *core);

/* --- records --- */

struct fl_core_record
{
  struct fl_name job;
  struct fl_str progress; /* encoded struct fl_job_progress, owned by the record */
};

/* Takes up to @max records that are to be stored in one transaction; they count as under way until
 * fl_core_records_stored. @return how many; 0 with nothing to store. */
size_t fl_core_collect_records (struct fl_core *core, struct fl_core_record *records, size_t max);

/* The records taken last are stored, or (@stored false) have to be taken again. */
void fl_core_finish_records (struct fl_core *core, bool stored, int64_t now_ms);

/* Whether targets have come or gone since the last list of targets was recorded; the list follows
 * as alternating ids and addresses (struct fl_name). One that is gone would make a successor wait
 * for it. */
bool fl_core_target_list_is_outdated (const struct fl_core *core);
GArray *fl_core_collect_target_list (struct fl_core *core);
void fl_core_mark_target_list_recorded (struct fl_core *core);

/* Waiting jobs by queue: queue name (struct fl_name *) to count. Unref when done. */
GHashTable *fl_core_count_pending_jobs (const struct fl_core *core);

/* One line of JSON for each object, for people. */
void fl_core_dump (const struct fl_core *core, GString *out);
