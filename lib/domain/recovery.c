/* Targets that come, go, fall silent and come back; and taking over what an earlier owner left. */
#include "domain/domain_internal.h"

#include <string.h>

/* --- what an earlier owner may have left --- */

/* Counts the slots of targets whose inventory has not been read: each may hold a request of any
 * team, sent by an earlier owner. */
static void
count_unknown (struct fl_domain *domain)
{
  int64_t before = domain->unknown_slots;
  GHashTableIter iter;
  struct fl_account *account;
  struct fl_target *target;
  size_t cursor = 0;

  domain->unknown_slots = 0;
  while ((target = fl_pool_next (domain->pool, &cursor)) != NULL)
    if (target->state == FL_TARGET_UNKNOWN)
      domain->unknown_slots += target->capacity.amount[FL_SLOTS];
  if (domain->unknown_slots >= before)
    return;
  g_hash_table_iter_init (&iter, domain->accounts);
  while (g_hash_table_iter_next (&iter, NULL, (void **)&account))
    fl_account_unblock (account);
}

/* --- listing --- */

/* The state that a target in good order has. */
static void
settle_state (struct fl_domain *domain, struct fl_target *target, int64_t now_ms)
{
  enum fl_target_state state = FL_TARGET_READY;

  if (target->listed_leaving || !target->listed)
    state = FL_TARGET_LEAVING;
  else if (now_ms < target->quarantined_until_ms)
    state = FL_TARGET_QUARANTINED;
  fl_pool_set_state (domain->pool, target, state);
}

static bool
answers (const struct fl_target *target)
{
  return target->state != FL_TARGET_UNKNOWN && target->state != FL_TARGET_SILENT;
}

struct fl_target *
fl_domain_list_target (struct fl_domain *domain,
                       const struct fl_name *name,
                       const struct fl_name *label,
                       const struct fl_name *rack,
                       const char *url,
                       const struct fl_resources *capacity,
                       bool leaving,
                       int64_t now_ms)
{
  struct fl_target *target = fl_pool_add (domain->pool, name, label, capacity);

  if (strcmp (fl_str_text (&target->url), url) != 0)
    {
      fl_str_clear (&target->url);
      target->url = fl_str_of (url);
    }
  target->rack = *rack;
  target->listed = true;
  target->listed_leaving = target->listed_leaving || leaving;
  if (answers (target))
    settle_state (domain, target, now_ms);
  else
    count_unknown (domain);
  return target;
}

void
fl_domain_unlist_target (struct fl_domain *domain, struct fl_target *target, int64_t now_ms)
{
  target->listed = false;
  if (answers (target))
    settle_state (domain, target, now_ms);
}

/* --- leases of tasks --- */

void
fl_target_touch (struct fl_domain *domain, struct fl_target *target, int64_t now_ms)
{
  int64_t until_ms = now_ms + fl_domain_with_drift (domain, domain->options.limits.task_lease_ms);

  target->lease_until_ms = MAX (target->lease_until_ms, until_ms);
}

/* --- quarantine --- */

void
fl_target_note_start (struct fl_domain *domain, struct fl_target *target, bool ok, int64_t now_ms)
{
  if (ok)
    {
      target->failures = 0;
      return;
    }
  if (++target->failures < domain->options.limits.quarantine_failures || !answers (target))
    return;
  /* After the quarantine one more failure is enough to renew it. */
  target->quarantined_until_ms = now_ms + domain->options.limits.quarantine_ms;
  settle_state (domain, target, now_ms);
}

/* --- requests that nobody waits for --- */

void
fl_domain_add_ghost (struct fl_domain *domain,
                     struct fl_target *target,
                     struct fl_account *account,
                     const struct fl_name *id)
{
  struct fl_ghost *ghost = g_new0 (struct fl_ghost, 1);

  ghost->id = *id;
  ghost->target = target;
  ghost->account = account;
  account->unconfirmed++;
  g_ptr_array_add (domain->ghosts, ghost);
}

static void
drop_ghost (struct fl_domain *domain, guint i)
{
  struct fl_ghost *ghost = domain->ghosts->pdata[i];

  ghost->account->unconfirmed--;
  fl_pool_release (domain->pool, ghost->target, &fl_one_slot);
  g_ptr_array_remove_index_fast (domain->ghosts, i);
}

static bool
lists (const struct fl_target_report *report, const struct fl_name *id)
{
  for (size_t i = 0; i < report->running_count; i++)
    if (fl_name_eq (&report->running[i].id, id))
      return true;
  return false;
}

/* Drops the ghosts on @target that @report does not list; all of them without a report. */
static void
review_ghosts (struct fl_domain *domain,
               const struct fl_target *target,
               const struct fl_target_report *report)
{
  for (guint i = domain->ghosts->len; i-- > 0;)
    {
      const struct fl_ghost *ghost = domain->ghosts->pdata[i];
      if (ghost->target == target && (report == NULL || !lists (report, &ghost->id)))
        drop_ghost (domain, i);
    }
}

static bool
is_ghost (const struct fl_domain *domain, const struct fl_name *id)
{
  for (guint i = 0; i < domain->ghosts->len; i++)
    if (fl_name_eq (&((struct fl_ghost *)domain->ghosts->pdata[i])->id, id))
      return true;
  return false;
}

static void
note_foreign_request (struct fl_domain *domain, struct fl_target *target, const struct fl_name *id)
{
  const char *slash = strchr (id->data, '/');
  size_t len = slash != NULL ? (size_t)(slash - id->data) : id->len;
  struct fl_name team = fl_name_make (id->data, len);

  if (is_ghost (domain, id) || fl_domain_runs_request (domain, id))
    return;
  fl_pool_adopt (domain->pool, target, &fl_one_slot);
  fl_domain_add_ghost (domain, target, fl_domain_account (domain, &team), id);
}

/* --- tasks on a target that is lost --- */

/* All tasks of @target have ended without a word. A task whose start is still on its way is left:
 * it may yet arrive. */
static void
lose_tasks (struct fl_domain *domain, struct fl_target *target, int64_t now_ms)
{
  g_autoptr (GList) tasks = g_hash_table_get_keys (target->tasks);

  for (GList *l = tasks; l != NULL; l = l->next)
    {
      struct fl_task *task = l->data;
      if (task->target != target || task->start_open)
        continue;
      domain->lapsed_tasks++;
      fl_task_requeue (domain, task, now_ms);
    }
  review_ghosts (domain, target, NULL);
}

bool
fl_domain_renews (const struct fl_target *target)
{
  return answers (target);
}

void
fl_domain_on_silent (struct fl_domain *domain,
                     struct fl_target *target,
                     bool renewed,
                     int64_t now_ms)
{
  if (renewed)
    fl_target_touch (domain, target, now_ms);
  if (target->state != FL_TARGET_UNKNOWN)
    fl_pool_set_state (domain->pool, target, FL_TARGET_SILENT);
  fl_domain_leave_target (domain, target, now_ms);
}

/* --- reports --- */

void
fl_target_ack (struct fl_target *target, int64_t seq)
{
  guint done = 0;

  for (guint i = 0; i < target->unacked->len; i++)
    {
      struct fl_event_mark *mark = &g_array_index (target->unacked, struct fl_event_mark, i);
      mark->kept = mark->kept || mark->seq == seq;
    }
  while (done < target->unacked->len
         && g_array_index (target->unacked, struct fl_event_mark, done).kept)
    target->acked = g_array_index (target->unacked, struct fl_event_mark, done++).seq;
  if (done > 0)
    g_array_remove_range (target->unacked, 0, done);
}

/* Notes that the event waits for the job's next commit, or is settled at once. */
static void
mark_event (struct fl_target *target, struct fl_job *job, int64_t seq)
{
  struct fl_event_mark mark = { seq, false };
  struct fl_ack ack = { target, seq };

  g_array_append_val (target->unacked, mark);
  if (job == NULL || job->work.kind == FL_WORK_SERVICE || job->record + job->dirty == 0)
    fl_target_ack (target, seq);
  else if (job->dirty || job->record == 0)
    g_array_append_val (job->acks, ack);
  else
    g_array_append_val (job->acks_sent, ack);
}

static bool
is_over (const struct fl_task *task)
{
  return task->state == FL_TASK_DONE || task->state == FL_TASK_FAILED;
}

static void
unhold (struct fl_domain *domain, struct fl_task *task)
{
  if (task->state != FL_TASK_HELD)
    return;
  task->state = FL_TASK_WAITING;
  task->job->work.account->unconfirmed--;
  domain->held--;
  fl_account_unblock (task->job->work.account);
}

/* Takes a task that waits in the queue out of it, because it turns out to have run. */
static void
take_from_ready (struct fl_task *task)
{
  GArray *ready = task->job->ready;

  for (guint i = 0; i < ready->len; i++)
    if (g_array_index (ready, int32_t, i) == task->index)
      {
        g_array_remove_index (ready, i);
        break;
      }
  if (ready->len == 0)
    fl_work_dequeue (&task->job->work);
}

static void
on_ended (struct fl_domain *domain,
          struct fl_target *target,
          struct fl_task *task,
          int64_t attempt,
          const struct fl_task_event *event,
          int64_t now_ms)
{
  bool current = task->target == target && task->attempt == attempt;
  bool lost_track = task->state == FL_TASK_HELD || task->state == FL_TASK_WAITING;

  if (is_over (task) || (!current && !lost_track))
    return;
  if (!current && !event->ok)
    {
      if (task->state == FL_TASK_HELD)
        {
          unhold (domain, task);
          fl_task_requeue (domain, task, now_ms);
        }
      return;
    }
  if (event->checkpointed || (task->state == FL_TASK_STOPPING && !event->ok))
    {
      fl_task_requeue (domain, task, now_ms);
      return;
    }
  if (task->state == FL_TASK_WAITING)
    take_from_ready (task);
  unhold (domain, task);
  fl_target_note_start (domain, target, event->ok, now_ms);
  fl_task_finish (domain, task, event->ok, now_ms);
}

static void
take_events (struct fl_domain *domain,
             struct fl_target *target,
             const struct fl_target_report *report,
             int64_t now_ms)
{
  for (size_t i = 0; i < report->event_count; i++)
    {
      const struct fl_task_event *event = &report->events[i];
      int64_t attempt = 0;
      if (event->seq <= target->seen)
        continue;
      target->seen = event->seq;
      struct fl_task *task = fl_domain_find_task (domain, &event->id, &attempt);
      if (task != NULL)
        on_ended (domain, target, task, attempt, event, now_ms);
      mark_event (target, task != NULL ? task->job : NULL, event->seq);
    }
}

/* A task that nobody here knows of, or that runs elsewhere by now, is stopped. */
static void
take_running (struct fl_domain *domain,
              struct fl_target *target,
              const struct fl_name *id,
              int64_t now_ms)
{
  int64_t attempt = 0;
  struct fl_task *task = fl_domain_find_task (domain, id, &attempt);

  if (task != NULL && task->target == target && task->attempt == attempt)
    {
      if (task->state == FL_TASK_STARTING)
        task->state = FL_TASK_RUNNING;
      return;
    }
  if (task != NULL && task->job->state == FL_JOB_ACTIVE && task->index < task->job->wanted
      && (task->state == FL_TASK_HELD || task->state == FL_TASK_WAITING))
    {
      if (task->state == FL_TASK_WAITING)
        take_from_ready (task);
      fl_task_adopt (domain, task, target, attempt, now_ms);
      return;
    }
  domain->options.ops.stop (domain->options.ops.context, target, id, FL_STOP_KILL);
}

/* Tasks that should run on @target but are not in its inventory have been lost. */
static void
find_missing (struct fl_domain *domain,
              struct fl_target *target,
              const struct fl_target_report *report,
              int64_t asked_ms,
              int64_t now_ms)
{
  g_autoptr (GList) tasks = g_hash_table_get_keys (target->tasks);

  for (GList *l = tasks; l != NULL; l = l->next)
    {
      struct fl_task *task = l->data;
      struct fl_name id = fl_task_id (task);
      if (task->target != target || task->state != FL_TASK_RUNNING || task->since_ms >= asked_ms
          || lists (report, &id))
        continue;
      domain->lapsed_tasks++;
      fl_task_requeue (domain, task, now_ms);
    }
}

/* Makes room on a target that holds more than it has: the latest checkpointable batch task goes. */
static void
relieve (struct fl_domain *domain, struct fl_target *target, int64_t now_ms)
{
  struct fl_task *latest = NULL;
  GHashTableIter iter;
  struct fl_task *task;

  if (fl_resources_fit (&target->used, &target->capacity))
    return;
  g_hash_table_iter_init (&iter, target->tasks);
  while (g_hash_table_iter_next (&iter, (void **)&task, NULL))
    {
      if (task->state == FL_TASK_STOPPING || task->state == FL_TASK_RESERVED)
        return; /* one at a time */
      if (task->state == FL_TASK_RUNNING && task->job->work.kind == FL_WORK_BATCH
          && (latest == NULL || task->since_ms > latest->since_ms))
        latest = task;
    }
  if (latest != NULL)
    fl_task_stop (domain, latest, false,
                  latest->job->spec.checkpointable ? FL_STOP_CHECKPOINT : FL_STOP_KILL, now_ms);
}

/* A task that uses more than it declared is counted with what it uses. */
static void
take_usage (struct fl_domain *domain,
            struct fl_target *target,
            const struct fl_target_report *report,
            int64_t now_ms)
{
  for (size_t i = 0; i < report->usage_count; i++)
    {
      const struct fl_task_usage *usage = &report->usage[i];
      int64_t attempt = 0;
      struct fl_task *task = fl_domain_find_task (domain, &usage->id, &attempt);
      struct fl_resources extra = { 0 };
      if (task == NULL || task->target != target || task->attempt != attempt)
        continue;
      extra.amount[FL_CPU_MILLI] = MAX (usage->cpu_milli - task->reserved.amount[FL_CPU_MILLI], 0);
      extra.amount[FL_MEMORY_MB] = MAX (usage->memory_mb - task->reserved.amount[FL_MEMORY_MB], 0);
      fl_pool_adopt (domain->pool, target, &extra);
      fl_resources_add (&task->reserved, &extra, 1);
    }
  if (report->usage_count > 0)
    relieve (domain, target, now_ms);
}

/* A target that restarted counts its events from the start. Which tasks it lost is for a full
 * inventory to say: some may have been started on the new instance already. */
static void
check_instance (struct fl_domain *domain,
                struct fl_target *target,
                const struct fl_target_report *report)
{
  if (fl_name_eq (&target->instance, &report->instance))
    return;
  if (target->instance.len > 0 && !report->full)
    fl_pool_set_state (domain->pool, target, FL_TARGET_UNKNOWN);
  target->instance = report->instance;
  target->seen = 0;
  target->acked = 0;
  g_array_set_size (target->unacked, 0);
  target->failures = 0;
}

void
fl_domain_on_report (struct fl_domain *domain,
                     struct fl_target *target,
                     const struct fl_target_report *report,
                     int64_t asked_ms,
                     int64_t now_ms)
{
  check_instance (domain, target, report);
  target->heard_ms = now_ms;
  target->listed_leaving = target->listed_leaving || report->leaving;
  if (report->renewed)
    fl_target_touch (domain, target, now_ms);
  take_events (domain, target, report, now_ms);
  if (report->full)
    {
      for (size_t i = 0; i < report->running_count; i++)
        if (report->running[i].request)
          note_foreign_request (domain, target, &report->running[i].id);
        else
          take_running (domain, target, &report->running[i].id, now_ms);
      review_ghosts (domain, target, report);
      find_missing (domain, target, report, asked_ms, now_ms);
    }
  fl_target_start_reserved (domain, target, now_ms);
  take_usage (domain, target, report, now_ms);
  if (report->full || answers (target))
    settle_state (domain, target, now_ms);
  else
    domain->options.ops.inspect (domain->options.ops.context, target);
  count_unknown (domain);
  fl_domain_schedule (domain, now_ms);
}

/* --- time --- */

void
fl_domain_loaded (struct fl_domain *domain, int64_t now_ms)
{
  domain->loaded = true;
  domain->recovered = domain->options.epoch == 1; /* there was no earlier owner */
  fl_domain_update_services (domain, now_ms);
  fl_domain_tick_targets (domain, now_ms);
  fl_domain_schedule (domain, now_ms);
}

/* Lets all tasks wait for room that an earlier owner may have left running. */
static void
release_held (struct fl_domain *domain, int64_t now_ms)
{
  GHashTableIter iter;
  struct fl_job *job;

  g_hash_table_iter_init (&iter, domain->jobs);
  while (g_hash_table_iter_next (&iter, NULL, (void **)&job))
    for (int32_t i = job->task_count - 1; i >= 0; i--)
      if (job->tasks[i]->state == FL_TASK_HELD)
        {
          unhold (domain, job->tasks[i]);
          if (i >= job->wanted)
            continue; /* a replica that is wanted no more */
          g_array_append_val (job->ready, i);
          fl_work_enqueue (domain, &job->work, false, now_ms);
        }
}

static bool
all_targets_answered (const struct fl_domain *domain)
{
  struct fl_target *target;
  size_t cursor = 0;

  while ((target = fl_pool_next (domain->pool, &cursor)) != NULL)
    if (target->state == FL_TARGET_UNKNOWN)
      return false;
  return fl_pool_size (domain->pool) > 0;
}

static bool
is_recovered (const struct fl_domain *domain, int64_t now_ms)
{
  return domain->options.epoch == 1 || now_ms >= domain->recover_until_ms
         || (!domain->options.patient && all_targets_answered (domain));
}

void
fl_domain_tick_targets (struct fl_domain *domain, int64_t now_ms)
{
  struct fl_target *target;
  size_t cursor = 0;

  while ((target = fl_pool_next (domain->pool, &cursor)) != NULL)
    {
      if (target->state == FL_TARGET_SILENT && now_ms >= target->lease_until_ms)
        lose_tasks (domain, target, now_ms);
      if (target->state == FL_TARGET_QUARANTINED && now_ms >= target->quarantined_until_ms)
        settle_state (domain, target, now_ms);
      if (target->state == FL_TARGET_UNKNOWN && now_ms >= domain->recover_until_ms)
        fl_pool_set_state (domain->pool, target, FL_TARGET_SILENT);
    }
  count_unknown (domain);
  if (domain->loaded && !domain->recovered && is_recovered (domain, now_ms))
    {
      domain->recovered = true;
      release_held (domain, now_ms);
    }
}
