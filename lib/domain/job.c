/* Jobs of many tasks: batch, gangs and the replicas of services. */
#include "domain/domain_internal.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"

/* Each epoch of a domain numbers its starts from here, so that ids never repeat over owners. */
#define ATTEMPTS_PER_EPOCH 20
/* A gang whose start failed waits this long before the next try. */
#define GANG_RETRY_MS 500
#define RETRY_AFTER_MS 1000
/* A replica that runs shorter than this makes its service wait before the next start. */
#define SERVICE_SHORT_RUN_MS 5000
#define SERVICE_BACKOFF_MIN_MS 500
#define SERVICE_BACKOFF_MAX_MS 30000

const char *const fl_job_state_names[]
    = { "accepting", "active", "done", "failed", "cancelled", NULL };

static const char *const task_state_names[]
    = { "waiting", "held", "reserved", "starting", "running", "stopping", "done", "failed", NULL };

/* --- making and freeing --- */

static struct fl_name
job_key (const struct fl_name *team, const struct fl_name *id)
{
  return fl_name_format ("%s/%s", team->data, id->data);
}

static void
copy_spec (struct fl_job_spec *to, const struct fl_job_spec *from)
{
  *to = *from;
  to->payload = fl_str_dup (&from->payload);
}

/* Makes room for @count tasks; new ones are WAITING but not in the queue yet. */
static void
grow_tasks (struct fl_job *job, int32_t count)
{
  if (count <= job->task_count)
    return;
  g_assert (count > 0);
  job->tasks = g_renew (struct fl_task *, job->tasks, count);
  for (int32_t i = job->task_count; i < count; i++)
    {
      job->tasks[i] = g_new0 (struct fl_task, 1);
      job->tasks[i]->job = job;
      job->tasks[i]->index = i;
    }
  job->task_count = count;
}

static struct fl_job *
job_new (struct fl_domain *domain,
         const struct fl_name *team,
         const struct fl_job_spec *spec,
         enum fl_work_kind kind,
         enum fl_priority priority,
         int64_t now_ms)
{
  struct fl_job *job = g_new0 (struct fl_job, 1);

  job->team = *team;
  job->id = spec->id;
  job->key = job_key (team, &spec->id);
  copy_spec (&job->spec, spec);
  job->accepted_ms = now_ms;
  job->accepted_wall_ms = fl_clock_wall_ms ();
  job->ready = g_array_new (FALSE, FALSE, sizeof (int32_t));
  job->acks = g_array_new (FALSE, FALSE, sizeof (struct fl_ack));
  job->acks_sent = g_array_new (FALSE, FALSE, sizeof (struct fl_ack));
  job->work.kind = kind;
  job->work.priority = priority;
  job->work.account = fl_domain_account (domain, team);
  grow_tasks (job, (int32_t)spec->tasks);
  job->wanted = job->task_count;
  g_hash_table_insert (domain->jobs, &job->key, job);
  return job;
}

void
fl_job_free (void *data)
{
  struct fl_job *job = data;

  for (int32_t i = 0; i < job->task_count; i++)
    g_free (job->tasks[i]);
  g_free (job->tasks);
  g_array_free (job->ready, TRUE);
  g_array_free (job->acks, TRUE);
  g_array_free (job->acks_sent, TRUE);
  fl_str_clear (&job->spec.payload);
  g_free (job);
}

/* No room is kept for @job any more. */
static void
release_hold (struct fl_domain *domain, const struct fl_job *job)
{
  if (domain->hold_for == job)
    domain->hold_for = NULL;
  if (job->work.account->hold_for == job)
    job->work.account->hold_for = NULL;
}

static void
forget (struct fl_domain *domain, struct fl_job *job)
{
  fl_work_dequeue (&job->work);
  fl_domain_detach_record (domain, job->record);
  release_hold (domain, job);
  g_hash_table_remove (domain->jobs, &job->key);
}

struct fl_job *
fl_domain_find_job (const struct fl_domain *domain,
                    const struct fl_name *team,
                    const struct fl_name *id)
{
  struct fl_name key = job_key (team, id);

  return g_hash_table_lookup (domain->jobs, &key);
}

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

/* --- the row --- */

/* The indexes of tasks in @state as "0-5,9". */
static char *
ranges (const struct fl_job *job, enum fl_task_state state)
{
  GString *text = g_string_new (NULL);

  for (int32_t i = 0; i < job->task_count; i++)
    {
      int32_t first = i;
      if (job->tasks[i]->state != state)
        continue;
      while (i + 1 < job->task_count && job->tasks[i + 1]->state == state)
        i++;
      if (text->len > 0)
        g_string_append_c (text, ',');
      if (first == i)
        g_string_append_printf (text, "%d", first);
      else
        g_string_append_printf (text, "%d-%d", first, i);
    }
  return g_string_free (text, FALSE);
}

/* Marks the tasks that "0-5,9" names. @return false when it is malformed. */
static bool
apply_ranges (struct fl_job *job, const char *text, enum fl_task_state state)
{
  while (*text != '\0')
    {
      char *end;
      long first = strtol (text, &end, 10);
      long last = first;
      if (end == text)
        return false;
      if (*end == '-')
        last = strtol (end + 1, &end, 10);
      if (first < 0 || last < first || last >= job->task_count)
        return false;
      for (long i = first; i <= last; i++)
        job->tasks[i]->state = state;
      if (*end != '\0' && *end != ',')
        return false;
      text = *end == ',' ? end + 1 : end;
    }
  return true;
}

static json_t *
row_value (const struct fl_domain *domain, const struct fl_job *job)
{
  g_autofree char *done = ranges (job, FL_TASK_DONE);
  g_autofree char *failed = ranges (job, FL_TASK_FAILED);
  /* Once the table has the row, the job is accepted. */
  enum fl_job_state state = job->state == FL_JOB_ACCEPTING ? FL_JOB_ACTIVE : job->state;

  return json_pack ("{s:s,s:s,s:s,s:s,s:s,s:s,s:s,s:I,s:o}", "team", job->team.data, "domain",
                    domain->options.name.data, "state", fl_job_state_names[state], "kind",
                    fl_work_kind_names[job->work.kind], "priority",
                    fl_priority_names[job->work.priority], "done", done, "failed", failed,
                    "accepted_wall_ms", (json_int_t)job->accepted_wall_ms, "spec",
                    fl_schema_to_json (&fl_job_spec_schema, &job->spec));
}

static void
send_row (struct fl_domain *domain, struct fl_job *job, bool remove)
{
  g_autofree char *key = g_strdup_printf ("job/%s", job->key.data);
  GArray *sent = job->acks_sent;

  job->dirty = false;
  job->acks_sent = job->acks;
  job->acks = sent;
  job->record = fl_domain_commit (domain, key, remove ? NULL : row_value (domain, job),
                                  job->version, job->version > 0, job, NULL);
}

void
fl_job_mark_dirty (struct fl_domain *domain, struct fl_job *job)
{
  if (job->work.kind == FL_WORK_SERVICE || job->state == FL_JOB_ACCEPTING)
    return;
  job->dirty = true;
  if (job->record == 0)
    send_row (domain, job, false);
}

/* --- submission --- */

static void
answer (struct fl_domain *domain,
        uint64_t handle,
        enum fl_outcome outcome,
        const char *reason,
        bool elsewhere)
{
  struct fl_answer reply = { .outcome = outcome, .reason = reason, .elsewhere = elsewhere };

  if (handle == 0)
    return;
  if (outcome == FL_OUTCOME_NOT_RUN && elsewhere)
    reply.retry_after_ms = RETRY_AFTER_MS;
  domain->options.ops.answer (domain->options.ops.context, handle, &reply);
}

/* How many tasks like @demand all targets together could hold when empty. */
static int64_t
could_hold (const struct fl_domain *domain, const struct fl_resources *demand)
{
  struct fl_target *target;
  size_t cursor = 0;
  int64_t total = 0;

  while ((target = fl_pool_next (domain->pool, &cursor)) != NULL)
    {
      int64_t count = INT32_MAX;
      for (int i = 0; i < FL_RESOURCE_COUNT; i++)
        if (demand->amount[i] > 0)
          count = MIN (count, target->capacity.amount[i] / demand->amount[i]);
      total += count;
    }
  return total;
}

static const char *
refusal (const struct fl_domain *domain,
         const struct fl_queue *queue,
         const struct fl_account *account,
         const struct fl_name *team,
         const struct fl_job_spec *spec,
         bool *elsewhere)
{
  *elsewhere = false;
  if (queue == NULL || queue->kind == FL_WORK_REQUEST)
    return "no_such_queue";
  if (!queue->open && !fl_name_eq (&queue->team, team))
    return "not_your_queue";
  if (!account->configured)
    return "no_such_team";
  if (spec->demand.amount[FL_SLOTS] != 0)
    return "tasks_take_no_slots";
  if (queue->kind == FL_WORK_GANG && spec->tasks > account->limit)
    return "gang_over_limit";
  *elsewhere = true;
  if (domain->draining)
    return "draining";
  if (could_hold (domain, &spec->demand) < (queue->kind == FL_WORK_GANG ? spec->tasks : 1))
    return "fits_no_host";
  return NULL;
}

static bool
same_spec (const struct fl_job_spec *a, const struct fl_job_spec *b)
{
  json_t *left = fl_schema_to_json (&fl_job_spec_schema, a);
  json_t *right = fl_schema_to_json (&fl_job_spec_schema, b);
  bool same = json_equal (left, right) == 1;

  json_decref (left);
  json_decref (right);
  return same;
}

void
fl_domain_submit (struct fl_domain *domain,
                  uint64_t handle,
                  const struct fl_name *team,
                  const struct fl_job_spec *spec,
                  int64_t now_ms)
{
  const struct fl_queue *queue
      = domain->config != NULL ? fl_config_queue (domain->config, &spec->queue) : NULL;
  const struct fl_name *owner = queue != NULL ? &queue->team : team;
  struct fl_account *account = fl_domain_account (domain, owner);
  bool elsewhere;
  const char *reason = refusal (domain, queue, account, team, spec, &elsewhere);
  struct fl_job *job = fl_domain_find_job (domain, owner, &spec->id);

  if (job != NULL && same_spec (&job->spec, spec) && job->state != FL_JOB_ACCEPTING)
    answer (domain, handle, FL_OUTCOME_ACCEPTED, "same_id_before", false);
  else if (job != NULL && job->state == FL_JOB_ACCEPTING)
    answer (domain, handle, FL_OUTCOME_UNKNOWN, "already_open", false);
  else if (job != NULL)
    answer (domain, handle, FL_OUTCOME_NOT_RUN, "id_taken", false);
  else if (reason != NULL)
    answer (domain, handle, FL_OUTCOME_NOT_RUN, reason, elsewhere);
  else
    {
      job = job_new (domain, owner, spec, queue->kind, queue->priority, now_ms);
      job->submit_handle = handle;
      send_row (domain, job, false);
    }
}

static void
make_ready (struct fl_domain *domain, struct fl_job *job, int64_t now_ms)
{
  /* The last element is started next, so the first task is pushed last. */
  for (int32_t i = job->task_count - 1; i >= 0; i--)
    if (job->tasks[i]->state == FL_TASK_WAITING)
      g_array_append_val (job->ready, i);
  if (job->ready->len > 0)
    fl_work_enqueue (domain, &job->work, false, now_ms);
}

static void
on_accepted (struct fl_domain *domain,
             struct fl_job *job,
             enum fl_commit_result result,
             const json_t *existing,
             int64_t now_ms)
{
  uint64_t handle = job->submit_handle;
  json_t *spec;
  bool same;

  job->submit_handle = 0;
  switch (result)
    {
    case FL_COMMIT_OK:
      job->state = FL_JOB_ACTIVE;
      make_ready (domain, job, now_ms);
      answer (domain, handle, FL_OUTCOME_ACCEPTED, "", false);
      return;
    case FL_COMMIT_EXISTS:
      spec = fl_schema_to_json (&fl_job_spec_schema, &job->spec);
      same = json_equal (spec, json_object_get (existing, "spec")) == 1;
      json_decref (spec);
      answer (domain, handle, same ? FL_OUTCOME_ACCEPTED : FL_OUTCOME_NOT_RUN,
              same ? "same_id_before" : "id_taken", false);
      break;
    case FL_COMMIT_REFUSED:
      answer (domain, handle, FL_OUTCOME_NOT_RUN, "store_unavailable", true);
      break;
    case FL_COMMIT_LOST:
      answer (domain, handle, FL_OUTCOME_NOT_RUN, "not_owner", true);
      break;
    case FL_COMMIT_UNKNOWN:
      answer (domain, handle, FL_OUTCOME_UNKNOWN, "not_owner", false);
      break;
    }
  forget (domain, job);
}

void
fl_job_on_committed (struct fl_domain *domain,
                     struct fl_job *job,
                     enum fl_commit_result result,
                     int64_t version,
                     const json_t *existing,
                     int64_t now_ms)
{
  job->record = 0;
  if (result == FL_COMMIT_OK)
    job->version = version;
  if (job->state == FL_JOB_ACCEPTING)
    {
      on_accepted (domain, job, result, existing, now_ms);
      return;
    }
  if (result != FL_COMMIT_OK)
    return; /* only an owner of a later epoch writes it: this domain object ends soon */
  for (guint i = 0; i < job->acks_sent->len; i++)
    {
      const struct fl_ack *ack = &g_array_index (job->acks_sent, struct fl_ack, i);
      fl_target_ack (ack->target, ack->seq);
    }
  g_array_set_size (job->acks_sent, 0);
  if (job->cancel_handle != 0)
    {
      answer (domain, job->cancel_handle, FL_OUTCOME_CANCELLED, "", false);
      job->cancel_handle = 0;
    }
  if (job->dirty)
    send_row (domain, job, false);
}

/* --- loading --- */

static int
enum_value (const char *const *names, const char *text, int fallback)
{
  for (int i = 0; text != NULL && names[i] != NULL; i++)
    if (strcmp (names[i], text) == 0)
      return i;
  return fallback;
}

static void
hold_tasks (struct fl_domain *domain, struct fl_job *job)
{
  for (int32_t i = 0; i < job->task_count; i++)
    if (job->tasks[i]->state == FL_TASK_WAITING)
      {
        job->tasks[i]->state = FL_TASK_HELD;
        job->work.account->unconfirmed++;
        domain->held++;
      }
    else
      *(job->tasks[i]->state == FL_TASK_DONE ? &job->done : &job->failed) += 1;
}

bool
fl_domain_load_job (struct fl_domain *domain, const json_t *row, int64_t version, int64_t now_ms)
{
  const char *team = json_string_value (json_object_get (row, "team"));
  const char *done = json_string_value (json_object_get (row, "done"));
  const char *failed = json_string_value (json_object_get (row, "failed"));
  const char *state = json_string_value (json_object_get (row, "state"));
  const char *kind = json_string_value (json_object_get (row, "kind"));
  const char *priority = json_string_value (json_object_get (row, "priority"));
  struct fl_problems problems = { 0 };
  struct fl_job_spec spec;
  bool ok = fl_schema_from_json (&fl_job_spec_schema, json_object_get (row, "spec"), &spec, "spec",
                                 &problems);

  fl_problems_clear (&problems);
  if (!ok || team == NULL || done == NULL || failed == NULL)
    {
      fl_schema_clear (&fl_job_spec_schema, &spec);
      return false;
    }
  struct fl_name team_name = fl_name_of (team);
  if (fl_domain_find_job (domain, &team_name, &spec.id) == NULL)
    {
      struct fl_job *job = job_new (domain, &team_name, &spec,
                                    enum_value (fl_work_kind_names, kind, FL_WORK_BATCH),
                                    enum_value (fl_priority_names, priority, FL_NORMAL), now_ms);
      job->state = enum_value (fl_job_state_names, state, FL_JOB_ACTIVE);
      job->version = version;
      job->finished_ms = now_ms;
      job->accepted_wall_ms = json_integer_value (json_object_get (row, "accepted_wall_ms"));
      ok = apply_ranges (job, done, FL_TASK_DONE) && apply_ranges (job, failed, FL_TASK_FAILED);
      if (job->state == FL_JOB_ACTIVE)
        hold_tasks (domain, job);
    }
  fl_schema_clear (&fl_job_spec_schema, &spec);
  return ok;
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
  release_hold (domain, job);
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

/* --- cancelling --- */

void
fl_domain_cancel (struct fl_domain *domain,
                  uint64_t handle,
                  const struct fl_name *team,
                  const struct fl_name *id,
                  int64_t now_ms)
{
  struct fl_job *job = fl_domain_find_job (domain, team, id);

  if (job == NULL || job->work.kind == FL_WORK_SERVICE || job->state == FL_JOB_ACCEPTING)
    {
      answer (domain, handle, FL_OUTCOME_NOT_RUN, "no_such_job", true);
      return;
    }
  if (job->state != FL_JOB_ACTIVE || job->cancel_handle != 0)
    {
      answer (domain, handle,
              job->state == FL_JOB_CANCELLED ? FL_OUTCOME_CANCELLED : FL_OUTCOME_DONE,
              fl_job_state_names[job->state], false);
      return;
    }
  job->state = FL_JOB_CANCELLED;
  job->finished_ms = now_ms;
  job->cancel_handle = handle;
  fl_work_dequeue (&job->work);
  release_hold (domain, job);
  g_array_set_size (job->ready, 0);
  for (int32_t i = 0; i < job->task_count && job->placed > 0; i++)
    if (job->tasks[i]->state == FL_TASK_RUNNING || job->tasks[i]->state == FL_TASK_STARTING)
      fl_task_stop (domain, job->tasks[i], true, FL_STOP_KILL, now_ms);
    else if (job->tasks[i]->state == FL_TASK_RESERVED)
      fl_task_requeue (domain, job->tasks[i], now_ms); /* nothing was sent */
  fl_job_mark_dirty (domain, job);
}

/* --- services --- */

static struct fl_name
service_job_id (const struct fl_domain *domain, const struct fl_service *service)
{
  return fl_name_format ("svc.%s@%s", service->name.data, domain->options.name.data);
}

static void
scale (struct fl_domain *domain, struct fl_job *job, int32_t wanted, int64_t now_ms)
{
  int32_t before = job->wanted;

  job->wanted = wanted;
  grow_tasks (job, wanted);
  g_array_set_size (job->ready, 0);
  for (int32_t i = job->task_count - 1; i >= 0; i--)
    {
      struct fl_task *task = job->tasks[i];
      bool idle = task->state == FL_TASK_WAITING || task->state == FL_TASK_FAILED;
      if (i < wanted && idle)
        {
          task->state = FL_TASK_WAITING;
          g_array_append_val (job->ready, i);
        }
      else if (i >= wanted && task->state == FL_TASK_RUNNING)
        fl_task_stop (domain, task, true, FL_STOP_KILL, now_ms);
    }
  if (job->ready->len > 0)
    fl_work_enqueue (domain, &job->work, before == 0, now_ms);
  else
    fl_work_dequeue (&job->work);
}

/* An earlier owner may have started them. */
static void
hold_replicas (struct fl_domain *domain, struct fl_job *job, int32_t wanted)
{
  grow_tasks (job, wanted);
  for (int32_t i = 0; i < job->task_count; i++)
    {
      job->tasks[i]->state = FL_TASK_HELD;
      job->work.account->unconfirmed++;
      domain->held++;
    }
}

struct service_visit
{
  struct fl_domain *domain;
  GHashTable *seen; /* keys of jobs that a service stands for */
  int64_t now_ms;
};

static void
update_service (void *context, const void *object)
{
  struct service_visit *visit = context;
  struct fl_domain *domain = visit->domain;
  const struct fl_service *service = object;
  int64_t n = domain->service_domains;
  int32_t wanted
      = (int32_t)(service->replicas / n + (domain->service_rank < service->replicas % n ? 1 : 0));
  struct fl_job_spec spec = { .id = service_job_id (domain, service),
                              .tasks = 0,
                              .demand = service->demand,
                              .attempts = 1,
                              .payload = service->payload };
  struct fl_job *job = fl_domain_find_job (domain, &service->team, &spec.id);

  if (job == NULL)
    {
      job = job_new (domain, &service->team, &spec, FL_WORK_SERVICE, service->priority,
                     visit->now_ms);
      job->state = FL_JOB_ACTIVE;
      job->wanted = 0;
      if (!domain->recovered)
        hold_replicas (domain, job, wanted);
    }
  g_hash_table_add (visit->seen, &job->key);
  scale (domain, job, wanted, visit->now_ms);
}

void
fl_domain_update_services (struct fl_domain *domain, int64_t now_ms)
{
  g_autoptr (GHashTable) seen = g_hash_table_new (fl_name_hash, fl_name_equal);
  struct service_visit visit = { domain, seen, now_ms };
  GHashTableIter iter;
  struct fl_job *job;

  if (domain->config == NULL)
    return;
  fl_config_each (domain->config, FL_OBJECT_SERVICE, update_service, &visit);
  g_hash_table_iter_init (&iter, domain->jobs);
  while (g_hash_table_iter_next (&iter, NULL, (void **)&job))
    if (job->work.kind == FL_WORK_SERVICE && !g_hash_table_contains (seen, &job->key))
      scale (domain, job, 0, now_ms);
}

/* --- time --- */

/* Stops that were not confirmed are tried again. */
static void
retry_stops (struct fl_domain *domain, struct fl_job *job, int64_t now_ms)
{
  for (int32_t i = 0; i < job->task_count && job->placed > 0; i++)
    {
      struct fl_task *task = job->tasks[i];
      if (task->state == FL_TASK_STOPPING && now_ms >= task->since_ms + FL_STOP_RETRY_MS
          && task->target->state != FL_TARGET_SILENT)
        fl_task_stop (domain, task, false, FL_STOP_KILL, now_ms);
    }
}

void
fl_domain_tick_jobs (struct fl_domain *domain, int64_t now_ms)
{
  g_autoptr (GPtrArray) old = g_ptr_array_new ();
  GHashTableIter iter;
  struct fl_job *job;

  g_hash_table_iter_init (&iter, domain->jobs);
  while (g_hash_table_iter_next (&iter, NULL, (void **)&job))
    {
      if (job->placed > 0)
        retry_stops (domain, job, now_ms);
      if (job->retry_ms != 0 && job->work.queued && now_ms >= job->retry_ms)
        job->work.account->blocked_at[job->work.priority] = 0;
      if (job->state > FL_JOB_ACTIVE && job->placed == 0 && job->record == 0 && !job->dirty
          && now_ms >= job->finished_ms + domain->options.limits.finished_keep_ms)
        g_ptr_array_add (old, job);
    }
  for (guint i = 0; i < old->len; i++)
    {
      job = old->pdata[i];
      g_autofree char *key = g_strdup_printf ("job/%s", job->key.data);
      fl_domain_commit (domain, key, NULL, job->version, true, NULL, NULL);
      forget (domain, job);
    }
}

void
fl_domain_close_jobs (struct fl_domain *domain)
{
  GHashTableIter iter;
  struct fl_job *job;

  g_hash_table_iter_init (&iter, domain->jobs);
  while (g_hash_table_iter_next (&iter, NULL, (void **)&job))
    {
      answer (domain, job->submit_handle, FL_OUTCOME_UNKNOWN, "owner_changed", false);
      answer (domain, job->cancel_handle, FL_OUTCOME_UNKNOWN, "owner_changed", false);
      job->submit_handle = 0;
      job->cancel_handle = 0;
    }
}

/* --- looking in --- */

static json_t *
job_json (const struct fl_domain *domain, const struct fl_job *job)
{
  int64_t counts[FL_TASK_STATES] = { 0 };
  json_t *tasks = json_object ();

  for (int32_t i = 0; i < job->task_count; i++)
    counts[job->tasks[i]->state]++;
  for (int s = 0; s < FL_TASK_STATES; s++)
    if (counts[s] > 0)
      json_object_set_new (tasks, task_state_names[s], json_integer (counts[s]));
  return json_pack (
      "{s:s,s:s,s:s,s:s,s:s,s:s,s:i,s:o,s:I}", "team", job->team.data, "job", job->id.data,
      "domain", domain->options.name.data, "kind", fl_work_kind_names[job->work.kind], "priority",
      fl_priority_names[job->work.priority], "state", fl_job_state_names[job->state], "tasks",
      job->task_count, "counts", tasks, "accepted_wall_ms", (json_int_t)job->accepted_wall_ms);
}

json_t *
fl_domain_job (const struct fl_domain *domain, const struct fl_name *team, const struct fl_name *id)
{
  const struct fl_job *job = fl_domain_find_job (domain, team, id);

  return job != NULL ? job_json (domain, job) : NULL;
}

json_t *
fl_domain_jobs (const struct fl_domain *domain, const struct fl_name *team)
{
  json_t *list = json_array ();
  GHashTableIter iter;
  struct fl_job *job;

  g_hash_table_iter_init (&iter, domain->jobs);
  while (g_hash_table_iter_next (&iter, NULL, (void **)&job))
    if (team->len == 0 || fl_name_eq (&job->team, team))
      json_array_append_new (list, job_json (domain, job));
  return list;
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
