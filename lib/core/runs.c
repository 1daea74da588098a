/* Life cycle of runs, from the start order to the end. */
#include <string.h>

#include "core/core_internal.h"

/* A target that replies promptly rejects a start order that arrives later than this. The deadline
 * limits how long an order that is delayed in transit can still take effect. Each attempt has a new
 * deadline. */
#define START_DEADLINE_MS 1500
#define START_ATTEMPTS_MAX 4
/* A start with the usual limit, FL_START_LIMIT_MS, may be sent 180 ms after its order. Of the
 * margins of the longest lease, 6 s, 170 ms are left if the clock of the target runs 2 % slow. */
#define START_WAIT_MS 20
/* An unconfirmed stop is resent after this. */
#define STOP_RETRY_MS 700
/* A confirmed stop is resent after this, which is much longer than targets take to stop a run. */
#define STOP_REPEAT_MS 3000
/* Back-off of a target or a task after a start that was rejected or could not be sent. */
#define REJECTED_BACKOFF_MS 300
/* Ticks are due at least every 50 ms. With a longer gap than this, the host is overloaded. */
#define BUSY_TICK_GAP_MS 120
#define HELD_RUNS_LOG_INTERVAL_MS 1000

static const char *
get_state_name (enum core_run_state state)
{
  static const char *const names[] = { [CORE_RUN_PLANNED] = "planned",
                                       [CORE_RUN_STARTING] = "starting",
                                       [CORE_RUN_ACCEPTED] = "accepted",
                                       [CORE_RUN_STOPPING] = "stopping" };

  return names[state];
}

static void
add_resources (struct fl_resources *resources, const struct fl_step_spec *spec, int sign)
{
  resources->cpu_milli += sign * spec->cpu_milli;
  resources->memory_mb += sign * spec->memory_mb;
  resources->gpu += sign * spec->gpu;
}

static void
charge_resources (struct core_run *run, int sign)
{
  const struct fl_step_spec *spec = run->task->step->spec;
  struct core_team *team = run->task->step->job->team;

  add_resources (&run->target->used, spec, sign);
  if (spec->best_effort)
    {
      run->target->used.cpu_milli -= sign * spec->cpu_milli;
      run->target->best_effort_cpu_milli += sign * spec->cpu_milli;
    }
  add_resources (&team->used, spec, sign);
  if (run->is_urgent)
    {
      add_resources (&team->urgent_used, spec, sign);
      team->urgent_peak.cpu_milli = MAX (team->urgent_peak.cpu_milli, team->urgent_used.cpu_milli);
      team->urgent_peak.memory_mb = MAX (team->urgent_peak.memory_mb, team->urgent_used.memory_mb);
      team->urgent_peak.gpu = MAX (team->urgent_peak.gpu, team->urgent_used.gpu);
    }
}

struct core_run *
core_run_new (struct core_task *task, struct core_target *target, int64_t number)
{
  struct core_run *run = g_new0 (struct core_run, 1);

  g_assert (task->run == NULL);
  run->task = task;
  run->target = target;
  run->number = number;
  run->share_percent = 100;
  run->is_urgent = task->step->job->queue.priority == 0;
  run->is_repeated = task->last_run_number > 0;
  task->run = run;
  task->log_run_ms = 0.0;
  task->earlier_run = CORE_EARLIER_RUN_NONE;
  if (!task->done)
    core_step_add_idle_tasks (task->step, -1);
  target->unsettled_runs++;
  target->next_expiry_check_ms = 0;
  task->step->job->run_count++;
  task->step->job->repeated_runs += run->is_repeated;
  core_job_update_age (task->step->job);
  g_ptr_array_add (target->runs, run);
  charge_resources (run, 1);
  core_update_room (target);
  core_crash_watch (run);
  core_interference_classify_run (run);
  return run;
}

void
core_run_set_state (struct core_run *run, enum core_run_state state)
{
  run->target->unsettled_runs
      += (state != CORE_RUN_ACCEPTED ? 1 : 0) - (run->state != CORE_RUN_ACCEPTED ? 1 : 0);
  run->task->step->job->starting_runs
      += (state == CORE_RUN_STARTING ? 1 : 0) - (run->state == CORE_RUN_STARTING ? 1 : 0);
  run->state = state;
}

/* Whether the last record tells that the task of @run may be on its target. */
static bool
may_be_recorded (const struct core_run *run)
{
  return core_step_records_targets (run->task->step)
         && (run->state != CORE_RUN_PLANNED || run->is_recording || run->is_recorded);
}

void
core_run_release (struct core_run *run)
{
  if (may_be_recorded (run))
    core_job_renew_task_targets (run->task->step->job);
  core_crash_note_release (run);
  charge_resources (run, -1);
  core_update_room (run->target);
  core_run_set_state (run, CORE_RUN_ACCEPTED);
  run->task->run = NULL;
  if (!run->task->done)
    core_step_add_idle_tasks (run->task->step, 1);
  run->task->step->job->run_count--;
  run->task->step->job->repeated_runs -= run->is_repeated;
  core_job_update_age (run->task->step->job);
  g_ptr_array_remove_fast (run->target->runs, run);
}

void
core_run_release_ended (struct core_run *run, enum core_run_end end)
{
  run->task->last_end = (uint8_t)end;
  core_run_release (run);
}

static const char *
get_end_name (enum core_run_end end)
{
  static const char *const names[] = {
    [CORE_RUN_END_NONE] = "none",
    [CORE_RUN_END_LISTED] = "listed",
    [CORE_RUN_END_ABSENT] = "absent",
    [CORE_RUN_END_LAPSED] = "lease_lapsed",
    [CORE_RUN_END_TAKEN_OVER] = "address_taken_over",
  };

  return names[end];
}

bool
core_run_note_lost_run (const struct core_task *task,
                        int64_t run,
                        const struct core_target *target,
                        const char *what)
{
  const struct fl_core *core = target->core;

  if (task == NULL || run == 0 || task->lost_run != run)
    return false;
  struct fl_name name = core_task_name (task);
  fl_log (core->options.log, FL_LOG_NOTICE, "lost_run_listed", FL_N ("task", &name),
          FL_I ("run", run), FL_N ("target", &target->entry.id),
          FL_I ("boot", target->booted_at_ms), FL_S ("as", what),
          FL_S ("after", get_end_name ((enum core_run_end)task->last_end)),
          FL_I ("last_run", task->last_run_number));
  return true;
}

/* How long a start order to @target may take effect. The clock of the target is known from a reply,
 * which was on its way for some time. */
static int64_t
start_deadline_ms (const struct core_target *target, int64_t reply_limit_ms)
{
  int64_t deadline_ms = MIN (START_DEADLINE_MS + reply_limit_ms - FL_START_LIMIT_MS,
                             MAX (START_DEADLINE_MS, target->core->options.target_lease_ms));

  return core_domains_start_deadline_ms (target->core, deadline_ms);
}

/* The longest lease that a start order to @target gives whose deadline is @deadline_ms ahead. Since
 * the last reply, its clock may have lost some of the time: it reaches the deadline later then. */
static int64_t
start_lease_ms (const struct core_target *target, int64_t deadline_ms)
{
  const struct fl_core *core = target->core;
  int64_t lost_ms = (core->now_ms - target->clock_at_ms) * (CORE_EXPIRY_PERCENT - 100) / 100;

  return MAX (deadline_ms, MIN (deadline_ms + lost_ms, core->options.target_lease_max_ms));
}

void
core_run_order_start (struct core_run *run, const char *ticket)
{
  struct core_job *job = run->task->step->job;
  struct fl_core *core = job->core;
  struct core_target *target = run->target;
  int64_t reply_limit_ms = core_reply_limit_ms (target, FL_START_LIMIT_MS);
  int64_t deadline_ms = start_deadline_ms (target, reply_limit_ms);
  struct fl_start_order order = {
    .target = target->entry.id,
    .address = target->entry.address,
    .task = core_task_name (run->task),
    .run = run->number,
    .fencing_token = target->fencing_token,
    .deadline_ms = core_target_clock_ms (target, core->now_ms) + deadline_ms,
    .payload = fl_str_text (&job->spec.text),
    .payload_len = job->spec.text.len,
    .checkpoint = fl_str_text (&run->task->checkpoint),
    .ticket = ticket,
    .is_repeated = run->inconclusive_starts > 0,
    .reply_limit_ms = MIN (reply_limit_ms << run->inconclusive_starts, FL_REPLY_MAX_MS),
  };

  if (!core_step_records_targets (run->task->step))
    core_job_mark_started_on (job, &target->entry.id);
  core_run_set_state (run, CORE_RUN_STARTING);
  run->task->last_run_number = MAX (run->task->last_run_number, run->number);
  run->order_in_flight = true;
  run->last_order_at_ms = core->now_ms;
  run->started_at_ms = core->now_ms;
  run->earlier_sent_by_ms = run->sent_by_ms;
  run->sent_by_ms = MAX (run->sent_by_ms, core->now_ms + order.reply_limit_ms - FL_START_LIMIT_MS);
  run->fencing_token = target->fencing_token;
  run->start_deadline_ms = MAX (run->start_deadline_ms, order.deadline_ms);
  if (run->inconclusive_starts == 0)
    {
      run->first_ordered_at_ms = core->now_ms;
      run->is_resumed = run->task->checkpoint.len > 0;
    }
  run->progressed_at_ms = core->now_ms;
  target->next_expiry_check_ms = 0;
  run->target_renewed_by_ms = target->renewed_by_ms;
  target->renewed_by_ms = MAX (target->renewed_by_ms, run->sent_by_ms + START_WAIT_MS);
  core_target_extend_lease (target, core->now_ms, start_lease_ms (target, deadline_ms));
  if (!job->started)
    {
      job->started = true;
      job->state = FL_JOB_RUNNING;
      core_job_mark_for_recording (job);
    }
  core->orders_in_turn++;
  fl_stats_add (core->options.stats, "starts_total", 1);
  fl_log (core->options.log, FL_LOG_INFO, "start", FL_N ("task", &order.task),
          FL_I ("run", run->number), FL_N ("target", &target->entry.id),
          FL_I ("attempt", run->inconclusive_starts + 1),
          FL_I ("lists_age_ms", core->now_ms - target->last_heartbeat_at_ms),
          FL_I ("boot", target->booted_at_ms), FL_I ("listed_boot", target->entry.booted_at_ms),
          FL_I ("owner_token", core->options.fencing_token),
          FL_S ("after", get_end_name ((enum core_run_end)run->task->last_end)));
  core->options.actions.start (core->options.context, &order);
}

void
core_run_start (struct core_run *run, const char *ticket)
{
  core_interference_count_start (run);
  if (core_step_records_targets (run->task->step) || core_crash_needs_recording (run))
    {
      core_crash_note_attempt (run);
      core_run_request_recording (run);
      if (!core_run_may_start (run))
        return;
    }
  core_run_order_start (run, ticket);
}

struct fl_run_order
core_run_make_order (const struct core_run *run)
{
  return (struct fl_run_order){
    .target = run->target->entry.id,
    .address = run->target->entry.address,
    .task = core_task_name (run->task),
    .run = run->number,
    .fencing_token = run->target->fencing_token,
    .reply_limit_ms = core_reply_limit_ms (run->target, FL_STOP_LIMIT_MS),
  };
}

/* Sends a stop, or leaves this to a later check if too many orders are under way. */
static void
send_stop (struct core_run *run)
{
  struct fl_core *core = run->task->step->job->core;
  struct fl_run_order order = core_run_make_order (run);

  run->stop_is_due = !core_orders_permit_stop (core);
  if (run->stop_is_due)
    return;
  core->orders_in_turn++;
  run->order_in_flight = true;
  run->last_order_at_ms = core->now_ms;
  fl_stats_add (core->options.stats, "stops_total", 1);
  core->options.actions.stop (core->options.context, &order);
}

/* Stops all members of a gang, since one of them is missing or is being stopped. */
static void
abort_gang (struct core_step *step)
{
  for (int64_t i = 0; i < step->spec->count; i++)
    if (step->tasks[i].run != NULL)
      core_run_stop (step->tasks[i].run);
}

static void
cancel_planned_run (struct core_run *run)
{
  struct core_step *step = run->task->step;

  core_run_release (run);
  if (step->spec->gang)
    abort_gang (step);
}

void
core_run_stop (struct core_run *run)
{
  if (run->state == CORE_RUN_STOPPING)
    return;
  if (run->state == CORE_RUN_PLANNED)
    {
      cancel_planned_run (run);
      return;
    }
  core_run_set_state (run, CORE_RUN_STOPPING);
  run->confirmed_at_ms = 0;
  send_stop (run);
  if (run->task->step->spec->gang)
    abort_gang (run->task->step);
}

int64_t
core_run_known_age_ms (const struct core_run *run)
{
  return run->last_listed_ms > 0 ? run->last_listed_ms - run->first_ordered_at_ms : 0;
}

static void
lose_run (struct core_run *run, enum core_run_end end)
{
  struct fl_core *core = run->task->step->job->core;
  struct fl_name name = core_task_name (run->task);

  run->task->lost_run = run->number;
  fl_log (core->options.log, FL_LOG_NOTICE, "run_lost", FL_N ("task", &name),
          FL_I ("run", run->number), FL_N ("target", &run->target->entry.id),
          FL_S ("reason", get_end_name (end)), FL_I ("boot", run->target->booted_at_ms),
          FL_I ("ordered_ms", core->now_ms - run->first_ordered_at_ms),
          FL_I ("listed_ms", core_run_known_age_ms (run)));
  fl_stats_add (core->options.stats, "runs_lost_total", 1);
  core_run_release_ended (run, end);
}

void
core_target_lose_runs (struct core_target *target, enum core_run_end end)
{
  while (target->runs->len > 0)
    {
      struct core_run *run = g_ptr_array_index (target->runs, target->runs->len - 1);
      if (run->state == CORE_RUN_PLANNED)
        cancel_planned_run (run);
      else
        lose_run (run, end);
    }
}

/* The time by which a lease of @lease_ms that a target gave at @from_ms has certainly expired. */
static int64_t
lease_end_ms (int64_t from_ms, int64_t lease_ms)
{
  return from_ms + lease_ms * CORE_EXPIRY_PERCENT / 100 + CORE_EXPIRY_MARGIN_MS;
}

int64_t
core_earlier_leases_end_ms (const struct fl_core_options *options)
{
  if (options->earlier_orders_end_ms == 0)
    return 0;
  return options->earlier_orders_end_ms + options->target_lease_max_ms * CORE_EXPIRY_PERCENT / 100;
}

/* The time by which a lease that the start of @run or a later order to its target gave has
 * certainly expired, in whatever boot they arrived. In a boot that began after the last reply, a
 * deadline by the clock of the previous boot may be far ahead, so that the target grants the
 * longest lease to all that runs there. A start may wait for a connection until its limit. Of the
 * usual limit, the margins of a lease cover all but START_WAIT_MS. */
static int64_t
longest_lease_expiry_ms (const struct core_run *run)
{
  const struct fl_core *core = run->task->step->job->core;

  int64_t sent_by_ms = MAX (run->sent_by_ms + START_WAIT_MS, run->target->renewed_by_ms);

  return lease_end_ms (sent_by_ms, core->options.target_lease_max_ms);
}

void
core_target_extend_lease (struct core_target *target, int64_t from_ms, int64_t lease_ms)
{
  struct fl_core *core = target->core;

  target->lease_expires_at_ms = MAX (target->lease_expires_at_ms, lease_end_ms (from_ms, lease_ms));
  /* The lease may be of runs that an earlier owner started. */
  if (target->is_unreconciled)
    core->reconciled_at_ms = MAX (core->reconciled_at_ms, target->lease_expires_at_ms);
}

void
core_target_assume_longest_lease (struct core_target *target)
{
  const struct fl_core *core = target->core;

  core_target_extend_lease (target, core->now_ms, core->options.target_lease_max_ms);
}

/* The time by which the lease of @run has certainly expired. The boot of a run that was never
 * listed is not known. */
static int64_t
lease_expiry_ms (const struct core_run *run)
{
  return run->ever_listed ? run->target->lease_expires_at_ms
                          : MAX (run->target->lease_expires_at_ms, longest_lease_expiry_ms (run));
}

void
core_target_expire_runs (struct core_target *target, int64_t now_ms)
{
  g_autoptr (GPtrArray) lapsed = NULL;
  int64_t next_ms = INT64_MAX;

  /* Leases are only extended. The expiry of a run also gets earlier when it is first listed, which
   * resets next_expiry_check_ms. */
  if (now_ms < target->next_expiry_check_ms)
    return;
  for (guint i = target->runs->len; i > 0; i--)
    {
      struct core_run *run = g_ptr_array_index (target->runs, i - 1);
      if (run->state == CORE_RUN_PLANNED)
        continue;
      int64_t expiry_ms = lease_expiry_ms (run);
      if (now_ms < expiry_ms)
        {
          next_ms = MIN (next_ms, expiry_ms);
          continue;
        }
      if (lapsed == NULL)
        lapsed = g_ptr_array_new ();
      g_ptr_array_add (lapsed, run);
    }
  if (lapsed != NULL)
    core_crash_note_lapses (target, lapsed);
  for (guint i = 0; lapsed != NULL && i < lapsed->len; i++)
    lose_run (g_ptr_array_index (lapsed, i), CORE_RUN_END_LAPSED);
  target->next_expiry_check_ms = next_ms;
}

/* --- runs on targets that are silent or have left --- */

/* The event that @run waits for. Its lease ends the wait of all but planned runs. */
static const char *
get_awaited_event (const struct core_run *run)
{
  if (run->state == CORE_RUN_PLANNED)
    return "record";
  return run->order_in_flight ? "reply" : "report";
}

void
core_log_held_runs (struct fl_core *core)
{
  const struct core_run *last = NULL;
  int64_t last_expiry_ms = 0;
  int64_t count = 0;

  if (core->now_ms - core->held_runs_logged_at_ms < HELD_RUNS_LOG_INTERVAL_MS)
    return;
  for (guint i = 0; i < core->target_list->len; i++)
    {
      const struct core_target *target = g_ptr_array_index (core->target_list, i);
      if (!target->silent && (target->registered || !core->registry_known))
        continue;
      for (guint j = 0; j < target->runs->len; j++)
        {
          const struct core_run *run = g_ptr_array_index (target->runs, j);
          int64_t expiry_ms = lease_expiry_ms (run);
          count++;
          if (last != NULL && expiry_ms <= last_expiry_ms)
            continue;
          last = run;
          last_expiry_ms = expiry_ms;
        }
    }
  if (last == NULL)
    return;
  core->held_runs_logged_at_ms = core->now_ms;
  struct fl_name name = core_task_name (last->task);
  fl_log (core->options.log, FL_LOG_NOTICE, "runs_held", FL_I ("runs", count), FL_N ("task", &name),
          FL_I ("run", last->number), FL_N ("target", &last->target->entry.id),
          FL_S ("state", get_state_name (last->state)),
          FL_I ("registered", last->target->registered), FL_I ("silent", last->target->silent),
          FL_S ("for", get_awaited_event (last)),
          FL_I ("order_ms", last->last_order_at_ms > 0 ? core->now_ms - last->last_order_at_ms : 0),
          FL_I ("lease_left_ms", last_expiry_ms - core->now_ms));
}

/* --- replies to starts and stops --- */

/* Whether a start was not sent because this host is overloaded.
 *
 * Load pattern: more starts are due than the processor of this host can send in time. Retrying them
 * immediately on other targets would fail as well, and use up the processor. */
static bool
host_is_too_busy (const struct fl_core *core, enum fl_order_result result)
{
  return result == FL_ORDER_NOT_SENT && core->tick_gap_ms >= BUSY_TICK_GAP_MS;
}

/* Releases a run whose start certainly did not take effect, and backs off. */
static void
release_rejected_run (struct core_run *run, enum fl_order_result result)
{
  struct core_task *task = run->task;
  struct core_target *target = run->target;
  struct fl_core *core = task->step->job->core;
  struct fl_name name = core_task_name (task);

  fl_log (core->options.log, FL_LOG_INFO, "start_refused", FL_N ("task", &name),
          FL_I ("run", run->number), FL_N ("target", &target->entry.id),
          FL_S ("reason", fl_order_result_name (result)));
  fl_stats_add (core->options.stats, "starts_refused_total", 1);
  if (result == FL_ORDER_NO_TICKET)
    core_advice_drop_ticket (task->step, target);
  if (result == FL_ORDER_NO_CAPACITY || result == FL_ORDER_UNHEALTHY
      || result == FL_ORDER_OTHER_BOOT || result == FL_ORDER_NOT_SENT
      || result == FL_ORDER_NO_LISTENER)
    target->quarantined_until_ms
        = MAX (target->quarantined_until_ms, core->now_ms + REJECTED_BACKOFF_MS);
  if (result == FL_ORDER_INVALID || host_is_too_busy (core, result))
    {
      task->backoff_until_ms = core->now_ms + REJECTED_BACKOFF_MS;
      task->step->backoff_until_ms = task->backoff_until_ms;
    }
  core_run_release (run);
  if (task->step->spec->gang)
    abort_gang (task->step);
}

static struct core_run *
find_run (struct fl_core *core, const struct fl_name *name, int64_t number)
{
  struct core_task *task = core_find_task (core, name);

  return task != NULL && task->run != NULL && task->run->number == number ? task->run : NULL;
}

/* Matches a reply to the order that it belongs to.
 * @return the run if it is still in @state, else NULL. */
static struct core_run *
match_reply (struct fl_core *core,
             const struct fl_name *name,
             int64_t number,
             enum core_run_state state,
             int64_t now_ms)
{
  struct core_run *run = find_run (core, name, number);

  core->now_ms = now_ms;
  if (run == NULL || run->state != state)
    return NULL;
  run->order_in_flight = false;
  return run;
}

/* The last start order of @run did not leave, so that it prolonged nothing on its target. */
static void
undo_renewal (const struct core_run *run)
{
  struct core_target *target = run->target;

  if (target->renewed_by_ms == run->sent_by_ms + START_WAIT_MS)
    target->renewed_by_ms = run->target_renewed_by_ms;
}

void
fl_core_handle_start_reply (struct fl_core *core,
                            const struct fl_name *name,
                            int64_t number,
                            enum fl_order_result result,
                            int64_t now_ms)
{
  struct core_run *run = match_reply (core, name, number, CORE_RUN_STARTING, now_ms);

  if (run == NULL)
    return;
  switch (result)
    {
    case FL_ORDER_DONE:
    case FL_ORDER_STALE_RUN: /* the run has ended; the next heartbeat reply lists how */
      run->confirmed_at_ms = now_ms;
      core_run_set_state (run, CORE_RUN_ACCEPTED);
      break;
    case FL_ORDER_NO_REPLY:
    case FL_ORDER_FENCED: /* a successor owns the pool; the start may have taken effect */
      break;
    default:
      if (result == FL_ORDER_NOT_SENT || result == FL_ORDER_NO_LISTENER)
        undo_renewal (run);
      run->sent_by_ms = run->earlier_sent_by_ms;
      /* If an earlier attempt was inconclusive, its order may still take effect. */
      if (run->inconclusive_starts == 0)
        release_rejected_run (run, result);
      else
        core_run_stop (run);
      break;
    }
}

void
fl_core_handle_stop_reply (struct fl_core *core,
                           const struct fl_name *name,
                           int64_t number,
                           enum fl_order_result result,
                           int64_t now_ms)
{
  struct core_run *run = match_reply (core, name, number, CORE_RUN_STOPPING, now_ms);

  if (run != NULL && (result == FL_ORDER_DONE || result == FL_ORDER_STALE_RUN))
    run->confirmed_at_ms = now_ms;
}

/* Whether the target of @run has shrunk below what is charged to it, so that a start that has not
 * taken effect yet would exceed its capacity. What the task does not need does not matter, as where
 * it is placed: its start would otherwise be planned and cancelled by turns. */
static bool
is_over_capacity (const struct core_run *run)
{
  const struct fl_step_spec *spec = run->task->step->spec;
  struct fl_resources available = core_target_available_resources (run->target, spec->best_effort);

  return (spec->cpu_milli > 0 && available.cpu_milli < 0)
         || (spec->memory_mb > 0 && available.memory_mb < 0)
         || (spec->gpu > 0 && available.gpu < 0);
}

static bool
is_valid_planned_run (const struct core_run *run)
{
  return run->state == CORE_RUN_PLANNED && core_target_accepts_step (run->target, run->task->step)
         && !is_over_capacity (run) && core_advice_ticket (run->task->step, run->target) != NULL;
}

/* Whether @holds for @run and, if it is of a gang, for a run of each other member. */
static bool
holds_for_gang (const struct core_run *run, bool (*holds) (const struct core_run *run))
{
  const struct core_step *step = run->task->step;

  if (!step->spec->gang)
    return holds (run);
  for (int64_t i = 0; i < step->spec->count; i++)
    if (step->tasks[i].run == NULL || !holds (step->tasks[i].run))
      return false;
  return true;
}

/* Starts @run, with all members of its gang, once its target is recorded. Cancels it if the target
 * no longer accepts it. */
static void
update_planned_run (struct core_run *run)
{
  struct core_step *step = run->task->step;

  if (!holds_for_gang (run, is_valid_planned_run))
    cancel_planned_run (run);
  else if (holds_for_gang (run, core_run_may_start) && core_orders_permit_start (step))
    for (int64_t i = 0; i < step->spec->count; i++)
      if (step->spec->gang || &step->tasks[i] == run->task)
        core_run_order_start (step->tasks[i].run,
                              core_advice_ticket (step, step->tasks[i].run->target));
}

static void
resend_order (struct core_run *run, int64_t now_ms)
{
  if (run->stop_is_due)
    {
      send_stop (run);
      return;
    }
  if (run->order_in_flight)
    return;
  if (run->state == CORE_RUN_PLANNED)
    {
      update_planned_run (run);
      return;
    }
  if (run->state == CORE_RUN_STOPPING
      && now_ms - run->last_order_at_ms
             >= (run->confirmed_at_ms > 0 ? STOP_REPEAT_MS : STOP_RETRY_MS))
    send_stop (run);
  if (run->state != CORE_RUN_STARTING || !core_orders_permit_start (run->task->step)
      || core_order_budget_is_exhausted (&run->target->core->order_budget))
    return;
  /* The connections may have been reset: the next heartbeat, sent at once, tells whether the target
   * replies. */
  if (run->target->silent && run->target->missed_heartbeats <= 1)
    return;
  /* The next reply tells whether the new boot has the run, or whether the start took effect. */
  if (!run->target->is_fenced || !core_domains_are_known (run->target->core))
    return;
  /* A target that resets a connection may reset the next ones as well, all attempts within
   * milliseconds. */
  if (run->inconclusive_starts > 0 && now_ms - run->last_order_at_ms < FL_START_LIMIT_MS)
    return;
  run->inconclusive_starts++;
  const char *ticket = core_advice_ticket (run->task->step, run->target);
  if (run->inconclusive_starts < START_ATTEMPTS_MAX && ticket != NULL && !run->target->silent
      && !run->target->is_evacuated && !run->target->entry_unreadable && !is_over_capacity (run))
    {
      core_run_order_start (run, ticket);
      core_order_budget_charge (&run->target->core->order_budget, 1,
                                run->task->step->job->spec.text.len);
    }
  else
    core_run_stop (run);
}

void
core_target_resend_orders (struct core_target *target)
{
  /* Cancelling a planned run removes it, and other members of its gang. */
  for (guint i = target->runs->len; i > 0; i--)
    if (i <= target->runs->len)
      resend_order (g_ptr_array_index (target->runs, i - 1), target->core->now_ms);
}
