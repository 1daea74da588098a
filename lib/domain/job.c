/* Jobs: submission, their rows, loading, cancelling, and looking in. */
#include "domain/domain_internal.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"

/* Callers whose job was refused for a passing reason are told to come back after this. */
#define RETRY_AFTER_MS 1000

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
void
fl_job_grow (struct fl_job *job, int32_t count)
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

struct fl_job *
fl_job_new (struct fl_domain *domain,
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
  fl_job_grow (job, (int32_t)spec->tasks);
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
void
fl_job_release_hold (struct fl_domain *domain, const struct fl_job *job)
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
  fl_job_release_hold (domain, job);
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
      job = fl_job_new (domain, owner, spec, queue->kind, queue->priority, now_ms);
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
      struct fl_job *job = fl_job_new (domain, &team_name, &spec,
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
  fl_job_release_hold (domain, job);
  g_array_set_size (job->ready, 0);
  for (int32_t i = 0; i < job->task_count && job->placed > 0; i++)
    if (job->tasks[i]->state == FL_TASK_RUNNING || job->tasks[i]->state == FL_TASK_STARTING)
      fl_task_stop (domain, job->tasks[i], true, FL_STOP_KILL, now_ms);
    else if (job->tasks[i]->state == FL_TASK_RESERVED)
      fl_task_requeue (domain, job->tasks[i], now_ms); /* nothing was sent */
  fl_job_mark_dirty (domain, job);
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
