/* Tasks: placing and starting them, and what becomes of them. */
#include "domain/domain_internal.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Each epoch of a domain numbers its starts from here, so that ids never repeat over owners. */
#define ATTEMPTS_PER_EPOCH 20
/* A gang whose start failed waits this long before the next try. */
#define GANG_RETRY_MS 500
/* A replica that runs shorter than this makes its service wait before the next start. */
#define SERVICE_SHORT_RUN_MS 5000
#define SERVICE_BACKOFF_MIN_MS 500
#define SERVICE_BACKOFF_MAX_MS 30000

/* --- ids on targets: "team/job/index/attempt", the last two in hex --- */

struct fl_name
fl_task_id (const struct fl_task *task)
{
  return fl_name_format ("%s/%x/%" PRIx64, task->job->key.data, task->index, task->attempt);
}

unsigned int
fl_task_hash (const void *key)
{
  const struct fl_task *task = key;

  return fl_name_hash (&task->job->key) + (unsigned int)task->index;
}

struct fl_task *
fl_domain_find_task (const struct fl_domain *domain, const struct fl_name *id, int64_t *attempt)
{
  const char *last = strrchr (id->data, '/');
  const char *middle = last;

  while (middle != NULL && middle > id->data && *--middle != '/')
    ;
  if (middle == NULL || middle <= id->data || *middle != '/')
    return NULL;
  struct fl_name key = fl_name_make (id->data, (size_t)(middle - id->data));
  struct fl_job *job = g_hash_table_lookup (domain->jobs, &key);
  long index = strtol (middle + 1, NULL, 16);
  *attempt = strtoll (last + 1, NULL, 16);
  if (job == NULL || index < 0 || index >= job->task_count)
    return NULL;
  return job->tasks[index];
}

/* --- starting --- */

static void
take_room (struct fl_domain *domain, struct fl_task *task, struct fl_target *target, int64_t now_ms)
{
  struct fl_account *account = task->job->work.account;

  task->target = target;
  task->reserved = task->job->spec.demand;
  task->cost = fl_domain_cost (domain, &task->reserved);
  task->since_ms = now_ms;
  task->cancel = false;
  account->running++;
  account->cost += task->cost;
  task->job->placed++;
  g_hash_table_add (target->tasks, task);
}

void
fl_task_vacate (struct fl_domain *domain, struct fl_task *task)
{
  struct fl_account *account = task->job->work.account;

  if (task->target == NULL)
    return;
  if (task->state == FL_TASK_RESERVED)
    g_ptr_array_remove_fast (domain->reserved, task);
  g_hash_table_remove (task->target->tasks, task);
  fl_pool_release (domain->pool, task->target, &task->reserved);
  account->running--;
  account->cost -= task->cost;
  task->job->placed--;
  task->target = NULL;
}

void
fl_task_send_start (struct fl_domain *domain, struct fl_task *task, int64_t now_ms)
{
  task->attempt = MAX (task->attempt, domain->options.epoch << ATTEMPTS_PER_EPOCH) + 1;
  task->state = FL_TASK_STARTING;
  task->start_open = true;
  task->since_ms = now_ms;
  domain->placements++;
  domain->options.ops.start (domain->options.ops.context, task->target, task);
}

static void
start (struct fl_domain *domain, struct fl_task *task, struct fl_target *target, int64_t now_ms)
{
  take_room (domain, task, target, now_ms);
  fl_task_send_start (domain, task, now_ms);
}

/* Takes the next task that is ready out of the job's list. */
static struct fl_task *
pop_ready (struct fl_job *job)
{
  int32_t index = g_array_index (job->ready, int32_t, job->ready->len - 1);

  g_array_set_size (job->ready, job->ready->len - 1);
  if (job->ready->len == 0)
    fl_work_dequeue (&job->work);
  return job->tasks[index];
}

struct fl_task *
fl_job_reserve_next (struct fl_domain *domain,
                     struct fl_job *job,
                     struct fl_target *target,
                     int64_t now_ms)
{
  struct fl_task *task = pop_ready (job);

  fl_pool_adopt (domain->pool, target, &job->spec.demand);
  take_room (domain, task, target, now_ms);
  task->state = FL_TASK_RESERVED;
  return task;
}

/* Spreads replicas over racks, then over hosts. */
static struct fl_target *
pick_spread (struct fl_domain *domain, const struct fl_job *job)
{
  struct fl_target *best = NULL;
  struct fl_target *target;
  int64_t best_score = INT64_MAX;
  size_t cursor = 0;
  g_autoptr (GHashTable) racks = g_hash_table_new (fl_name_hash, fl_name_equal);
  g_autoptr (GHashTable) hosts = g_hash_table_new (NULL, NULL);

  for (int32_t i = 0; i < job->task_count; i++)
    {
      struct fl_target *used = job->tasks[i]->target;
      if (used == NULL)
        continue;
      gintptr count = (gintptr)g_hash_table_lookup (racks, &used->rack);
      g_hash_table_insert (racks, &used->rack, (void *)(count + 1));
      count = (gintptr)g_hash_table_lookup (hosts, used);
      g_hash_table_insert (hosts, used, (void *)(count + 1));
    }
  while ((target = fl_pool_next (domain->pool, &cursor)) != NULL)
    {
      struct fl_resources free = target->capacity;
      fl_resources_add (&free, &target->used, -1);
      if (target->state != FL_TARGET_READY || !fl_resources_fit (&job->spec.demand, &free))
        continue;
      int64_t score = (int64_t)(gintptr)g_hash_table_lookup (racks, &target->rack) * 1000
                      + (int64_t)(gintptr)g_hash_table_lookup (hosts, target);
      if (score < best_score)
        {
          best = target;
          best_score = score;
        }
    }
  return best;
}

static bool
place_one (struct fl_domain *domain, struct fl_job *job, int64_t now_ms)
{
  struct fl_target *target = job->work.kind == FL_WORK_SERVICE
                                 ? pick_spread (domain, job)
                                 : fl_pool_pick (domain->pool, &job->spec.demand);

  if (target == NULL || !fl_pool_reserve (domain->pool, target, &job->spec.demand))
    return false;
  start (domain, pop_ready (job), target, now_ms);
  return true;
}

/* Reserves room for every task of the gang, or for none.
 * @targets: empty; gets one struct fl_target * for each task. */
static bool
reserve_gang (struct fl_domain *domain, const struct fl_job *job, GPtrArray *targets)
{
  while (targets->len < job->ready->len)
    {
      struct fl_target *target = fl_pool_pick (domain->pool, &job->spec.demand);
      if (target == NULL || !fl_pool_reserve (domain->pool, target, &job->spec.demand))
        break;
      g_ptr_array_add (targets, target);
    }
  if (targets->len == job->ready->len)
    return true;
  for (guint i = 0; i < targets->len; i++)
    fl_pool_unreserve (domain->pool, targets->pdata[i], &job->spec.demand);
  return false;
}

/* Whether room is kept free for an old gang now. It is kept for one patience time out of two, so
 * that a gang that never fits does not stop the others. */
static bool
holds_room (const struct fl_domain *domain, const struct fl_job *gang, int64_t now_ms)
{
  int64_t patience_ms = domain->options.limits.gang_patience_ms;

  if (gang == NULL)
    return false;
  int64_t age_ms = now_ms - gang->work.queued_ms;
  return age_ms >= patience_ms && (age_ms / patience_ms) % 2 == 1;
}

static bool
place_gang (struct fl_domain *domain, struct fl_job *job, int64_t now_ms)
{
  int64_t missing = job->task_count - job->done - job->failed;

  if (job->ready->len != missing)
    return false;
  if (fl_account_headroom (domain, job->work.account) < missing)
    {
      if (job->work.account->hold_for == NULL)
        job->work.account->hold_for = job;
      return false;
    }
  g_autoptr (GPtrArray) targets = g_ptr_array_new ();
  if (!reserve_gang (domain, job, targets))
    {
      if (domain->hold_for == NULL)
        domain->hold_for = job;
      return false;
    }
  fl_job_release_hold (domain, job);
  fl_work_dequeue (&job->work);
  guint count = job->ready->len;
  for (guint i = 0; i < count; i++)
    start (domain, job->tasks[g_array_index (job->ready, int32_t, i)], targets->pdata[i], now_ms);
  g_array_set_size (job->ready, 0);
  return true;
}

bool
fl_job_place (struct fl_domain *domain, struct fl_job *job, int64_t now_ms)
{
  if (job->ready->len == 0)
    {
      fl_work_dequeue (&job->work);
      return false;
    }
  if (now_ms < job->retry_ms)
    return false;
  if (job->work.kind == FL_WORK_GANG)
    return place_gang (domain, job, now_ms);
  if (job->work.kind == FL_WORK_BATCH && job->work.priority != FL_URGENT
      && (holds_room (domain, domain->hold_for, now_ms)
          || holds_room (domain, job->work.account->hold_for, now_ms)))
    return false;
  if (place_one (domain, job, now_ms))
    return true;
  if (job->work.priority == FL_URGENT)
    fl_domain_preempt (domain, job, now_ms);
  return false;
}

/* --- what becomes of a task --- */

static void
end_job_if_complete (struct fl_job *job, int64_t now_ms)
{
  if (job->work.kind == FL_WORK_SERVICE || job->state != FL_JOB_ACTIVE
      || job->done + job->failed < job->task_count)
    return;
  job->state = job->failed > 0 ? FL_JOB_FAILED : FL_JOB_DONE;
  job->finished_ms = now_ms;
  fl_work_dequeue (&job->work);
}

/* All tasks of a gang run together, so when one has to start again all the others do. */
static void
stop_gang (struct fl_domain *domain, struct fl_job *job, int64_t now_ms)
{
  job->retry_ms = now_ms + GANG_RETRY_MS;
  for (int32_t i = 0; i < job->task_count; i++)
    if (job->tasks[i]->state == FL_TASK_RUNNING || job->tasks[i]->state == FL_TASK_STARTING)
      fl_task_stop (domain, job->tasks[i], false, FL_STOP_KILL, now_ms);
}

void
fl_task_requeue (struct fl_domain *domain, struct fl_task *task, int64_t now_ms)
{
  struct fl_job *job = task->job;

  fl_task_vacate (domain, task);
  if (job->state != FL_JOB_ACTIVE || task->index >= job->wanted)
    {
      task->state = FL_TASK_FAILED;
      return;
    }
  task->state = FL_TASK_WAITING;
  g_array_append_val (job->ready, task->index);
  fl_work_enqueue (domain, &job->work, true, now_ms);
  if (job->work.kind == FL_WORK_GANG)
    stop_gang (domain, job, now_ms);
}

/* A service whose replicas end soon after their start is not started again at once. */
static void
back_off (struct fl_job *job, int64_t ran_ms, int64_t now_ms)
{
  if (ran_ms >= SERVICE_SHORT_RUN_MS)
    {
      job->backoff_ms = 0;
      return;
    }
  job->backoff_ms = CLAMP (2 * job->backoff_ms, SERVICE_BACKOFF_MIN_MS, SERVICE_BACKOFF_MAX_MS);
  job->retry_ms = now_ms + job->backoff_ms;
}

void
fl_task_finish (struct fl_domain *domain, struct fl_task *task, bool ok, int64_t now_ms)
{
  struct fl_job *job = task->job;

  if (job->work.kind == FL_WORK_SERVICE)
    {
      back_off (job, now_ms - task->since_ms, now_ms);
      fl_task_requeue (domain, task, now_ms);
      return;
    }
  if (!ok && ++task->failures < job->spec.attempts)
    {
      fl_task_requeue (domain, task, now_ms);
      fl_job_mark_dirty (domain, job);
      return;
    }
  fl_task_vacate (domain, task);
  task->state = ok ? FL_TASK_DONE : FL_TASK_FAILED;
  *(ok ? &job->done : &job->failed) += 1;
  end_job_if_complete (job, now_ms);
  fl_job_mark_dirty (domain, job);
}

void
fl_task_stop (struct fl_domain *domain,
              struct fl_task *task,
              bool cancel,
              enum fl_stop_mode mode,
              int64_t now_ms)
{
  struct fl_name id = fl_task_id (task);

  task->state = FL_TASK_STOPPING;
  task->cancel = task->cancel || cancel;
  task->since_ms = now_ms;
  domain->options.ops.stop (domain->options.ops.context, task->target, &id, mode);
}

void
fl_task_adopt (struct fl_domain *domain,
               struct fl_task *task,
               struct fl_target *target,
               int64_t attempt,
               int64_t now_ms)
{
  if (task->state == FL_TASK_HELD)
    {
      task->job->work.account->unconfirmed--;
      domain->held--;
    }
  task->attempt = attempt;
  task->state = FL_TASK_RUNNING;
  fl_pool_adopt (domain->pool, target, &task->job->spec.demand);
  take_room (domain, task, target, now_ms);
}

void
fl_domain_on_started (struct fl_domain *domain,
                      const struct fl_name *task_id,
                      enum fl_call_result result,
                      int64_t now_ms)
{
  int64_t attempt;
  struct fl_task *task = fl_domain_find_task (domain, task_id, &attempt);

  if (task == NULL || task->attempt != attempt || task->target == NULL)
    return;
  struct fl_target *target = task->target;
  task->start_open = false;
  fl_target_touch (domain, target, now_ms);
  if (result != FL_CALL_DONE)
    fl_target_note_start (domain, target, false, now_ms);
  if (task->state != FL_TASK_STARTING)
    return; /* an inventory, an event or a stop was faster */
  task->since_ms = now_ms;
  switch (result)
    {
    case FL_CALL_DONE:
      task->state = FL_TASK_RUNNING;
      break;
    case FL_CALL_FAILED:
    case FL_CALL_REFUSED:
    case FL_CALL_NOT_SENT:
      fl_task_requeue (domain, task, now_ms);
      break;
    case FL_CALL_UNKNOWN:
      fl_task_stop (domain, task, false, FL_STOP_KILL, now_ms);
      break;
    }
  fl_domain_schedule (domain, now_ms);
}

void
fl_domain_on_stopped (struct fl_domain *domain,
                      const struct fl_name *task_id,
                      enum fl_call_result result,
                      int64_t now_ms)
{
  int64_t attempt;
  struct fl_task *task = fl_domain_find_task (domain, task_id, &attempt);

  if (task == NULL || task->attempt != attempt || task->state != FL_TASK_STOPPING)
    return;
  struct fl_target *target = task->target;
  if (result == FL_CALL_DONE)
    fl_task_requeue (domain, task, now_ms);
  else if (result == FL_CALL_FAILED)
    task->state = FL_TASK_RUNNING; /* it had ended: its event says how */
  fl_target_start_reserved (domain, target, now_ms);
  fl_domain_schedule (domain, now_ms);
}

/* --- accessors --- */

const struct fl_resources *
fl_task_demand (const struct fl_task *task)
{
  return &task->job->spec.demand;
}

const struct fl_str *
fl_task_payload (const struct fl_task *task)
{
  return &task->job->spec.payload;
}

const struct fl_name *
fl_task_team (const struct fl_task *task)
{
  return &task->job->team;
}

int64_t
fl_task_run_ms (const struct fl_task *task)
{
  return task->job->spec.run_ms;
}
