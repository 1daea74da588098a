/* Stopping tasks so that others may run: urgent work, and teams above their limit. */
#include "domain/domain_internal.h"

/* Between two rounds of preemption for one job: the stops of a round need this long to show. */
#define PREEMPT_INTERVAL_MS 500
/* A reservation whose room is not free by then is given up. */
#define RESERVATION_MS 3000
/* Most tasks that give way to one urgent task. */
#define VICTIMS_MAX 8

/* --- urgent work --- */

static bool
may_give_way (const struct fl_task *task, const struct fl_account *urgent)
{
  const struct fl_job *job = task->job;

  return task->state == FL_TASK_RUNNING && job->work.kind == FL_WORK_BATCH
         && job->spec.checkpointable && job->work.priority > FL_URGENT
         && job->work.account != urgent && fl_account_is_poorer (urgent, job->work.account);
}

/* The tasks on one target that together make enough room; the latest go first, as they have least
 * work behind them. */
struct victims
{
  struct fl_task *tasks[VICTIMS_MAX];
  int count;
};

static int
compare_latest (const void *a, const void *b)
{
  const struct fl_task *const *left = a;
  const struct fl_task *const *right = b;

  if ((*left)->since_ms != (*right)->since_ms)
    return (*left)->since_ms > (*right)->since_ms ? -1 : 1;
  return fl_name_compare (&(*left)->job->key, &(*right)->job->key) * 2
         + ((*left)->index > (*right)->index ? 1 : -1);
}

static bool
choose_on (const struct fl_target *target, const struct fl_job *job, struct victims *victims)
{
  struct fl_resources free = target->capacity;
  g_autoptr (GPtrArray) candidates = g_ptr_array_new ();
  GHashTableIter iter;
  struct fl_task *task;

  victims->count = 0;
  fl_resources_add (&free, &target->used, -1);
  g_hash_table_iter_init (&iter, target->tasks);
  while (g_hash_table_iter_next (&iter, (void **)&task, NULL))
    {
      if (task->state == FL_TASK_STOPPING || task->state == FL_TASK_RESERVED)
        return false; /* room is being made here already */
      if (may_give_way (task, job->work.account))
        g_ptr_array_add (candidates, task);
    }
  g_ptr_array_sort (candidates, compare_latest);
  for (guint i = 0; i < candidates->len && victims->count < VICTIMS_MAX; i++)
    {
      task = candidates->pdata[i];
      victims->tasks[victims->count++] = task;
      fl_resources_add (&free, &task->reserved, 1);
      if (fl_resources_fit (&job->spec.demand, &free))
        return true;
    }
  return false;
}

/* Makes room for one task on the target where the fewest have to give way. */
static bool
make_room (struct fl_domain *domain, struct fl_job *job, int64_t now_ms)
{
  struct fl_target *chosen = NULL;
  struct victims best = { .count = VICTIMS_MAX + 1 };
  struct fl_target *target;
  size_t cursor = 0;

  while ((target = fl_pool_next (domain->pool, &cursor)) != NULL)
    {
      struct victims victims;
      if (target->state == FL_TARGET_READY && choose_on (target, job, &victims)
          && victims.count < best.count)
        {
          best = victims;
          chosen = target;
        }
    }
  if (best.count > VICTIMS_MAX)
    return false;
  /* The room is counted from now on, so that nobody else, the preempted least of all, takes it. */
  g_ptr_array_add (domain->reserved, fl_job_reserve_next (domain, job, chosen, now_ms));
  for (int i = 0; i < best.count; i++)
    {
      domain->preempted++;
      fl_task_stop (domain, best.tasks[i], false, FL_STOP_CHECKPOINT, now_ms);
    }
  return true;
}

void
fl_domain_preempt (struct fl_domain *domain, struct fl_job *job, int64_t now_ms)
{
  if (now_ms < job->preempt_ms)
    return;
  job->preempt_ms = now_ms + PREEMPT_INTERVAL_MS;
  while (job->ready->len > 0 && fl_account_headroom (domain, job->work.account) > 0)
    if (!make_room (domain, job, now_ms))
      return;
}

void
fl_target_start_reserved (struct fl_domain *domain, struct fl_target *target, int64_t now_ms)
{
  if (!fl_resources_fit (&target->used, &target->capacity)
      || !domain->options.ops.may_act (domain->options.ops.context))
    return;
  for (guint i = domain->reserved->len; i-- > 0;)
    {
      struct fl_task *task = domain->reserved->pdata[i];
      if (task->target != target)
        continue;
      g_ptr_array_remove_index_fast (domain->reserved, i);
      fl_task_send_start (domain, task, now_ms);
    }
}

void
fl_domain_tick_reserved (struct fl_domain *domain, int64_t now_ms)
{
  g_autoptr (GPtrArray) tasks = g_ptr_array_copy (domain->reserved, NULL, NULL);

  for (guint i = 0; i < tasks->len; i++)
    {
      struct fl_task *task = tasks->pdata[i];
      if (task->state != FL_TASK_RESERVED)
        continue; /* started together with another one of its target */
      if (now_ms >= task->since_ms + RESERVATION_MS || task->target->state != FL_TARGET_READY)
        fl_task_requeue (domain, task, now_ms);
      else
        fl_target_start_reserved (domain, task->target, now_ms);
    }
}

/* --- teams above their limit --- */

static void
add_running (const struct fl_job *job, GPtrArray *tasks, int64_t *stopping)
{
  for (int32_t i = 0; i < job->task_count && job->placed > 0; i++)
    {
      if (job->tasks[i]->state == FL_TASK_RUNNING)
        g_ptr_array_add (tasks, job->tasks[i]);
      *stopping += job->tasks[i]->state == FL_TASK_STOPPING;
    }
}

static int
compare_trim (const void *a, const void *b)
{
  const struct fl_task *const *left = a;
  const struct fl_task *const *right = b;
  bool left_service = (*left)->job->work.kind == FL_WORK_SERVICE;
  bool right_service = (*right)->job->work.kind == FL_WORK_SERVICE;

  if (left_service != right_service)
    return left_service ? 1 : -1; /* services go last */
  return compare_latest (a, b);
}

/* By how much the team is above what it may run here. What is only suspected of running does not
 * count: a takeover must not stop what it has just found. */
static int64_t
excess_of (const struct fl_account *account)
{
  if (!account->configured)
    return account->running;
  return account->running - MIN (account->allotment, account->limit);
}

static void
trim_account (struct fl_domain *domain, const struct fl_account *account, int64_t now_ms)
{
  g_autoptr (GPtrArray) tasks = g_ptr_array_new ();
  GHashTableIter iter;
  struct fl_job *job;
  int64_t excess = excess_of (account);
  int64_t stopping = 0;
  g_hash_table_iter_init (&iter, domain->jobs);
  while (g_hash_table_iter_next (&iter, NULL, (void **)&job))
    if (job->work.account == account)
      add_running (job, tasks, &stopping);
  g_ptr_array_sort (tasks, compare_trim);
  for (guint i = 0; i < tasks->len && stopping < excess; i++, stopping++)
    {
      const struct fl_task *task = tasks->pdata[i];
      domain->trimmed++;
      fl_task_stop (domain, tasks->pdata[i], false,
                    task->job->spec.checkpointable ? FL_STOP_CHECKPOINT : FL_STOP_KILL, now_ms);
    }
}

void
fl_domain_trim (struct fl_domain *domain, int64_t now_ms)
{
  GHashTableIter iter;
  struct fl_account *account;

  if (domain->held > 0 || domain->config == NULL
      || !domain->options.ops.may_act (domain->options.ops.context))
    return; /* what runs is not known yet */
  g_hash_table_iter_init (&iter, domain->accounts);
  while (g_hash_table_iter_next (&iter, NULL, (void **)&account))
    if (excess_of (account) > 0)
      trim_account (domain, account, now_ms);
}
