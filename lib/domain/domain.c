#include "domain/domain_internal.h"

#include <string.h>

const struct fl_domain_limits fl_domain_limits_default = {
  .task_lease_ms = 60000,
  .delivery_ms = 500,
  .drift_ppm = 1000,
  .quarantine_failures = 3,
  .quarantine_ms = 10000,
  .waiting_max = 10000,
  .gang_patience_ms = 5000,
  .retry_tokens_max = 100,
  .retry_ratio = 10,
  .finished_keep_ms = 3600 * 1000,
};

const char *const fl_outcome_names[]
    = { "done", "failed", "not_run", "unknown", "cancelled", "accepted", NULL };

/* What waits for a record that is on its way to the table. */
struct record
{
  struct fl_job *job;
  struct fl_request *request;
  /* Of a request that was given up before its intent was settled: what to write over it. */
  char *abandoned_key;
  json_t *abandoned_value;
};

static void
record_free (void *data)
{
  struct record *record = data;

  g_free (record->abandoned_key);
  json_decref (record->abandoned_value);
  g_free (record);
}

/* --- accounts --- */

static void
account_free (void *data)
{
  struct fl_account *account = data;

  /* Work is owned by its hash tables; the queues only link it. */
  g_free (account);
}

struct fl_account *
fl_domain_account (struct fl_domain *domain, const struct fl_name *team)
{
  struct fl_account *account = g_hash_table_lookup (domain->accounts, team);

  if (account != NULL)
    return account;
  account = g_new0 (struct fl_account, 1);
  account->team = *team;
  account->share = 1;
  account->retry_tokens = domain->options.limits.retry_tokens_max;
  for (int p = 0; p < FL_PRIORITIES; p++)
    g_queue_init (&account->waiting[p]);
  g_hash_table_insert (domain->accounts, &account->team, account);
  return account;
}

int64_t
fl_account_headroom (const struct fl_domain *domain, const struct fl_account *account)
{
  if (!account->configured)
    return 0;
  return MIN (account->allotment, account->limit) - account->running - account->unconfirmed
         - domain->unknown_slots;
}

void
fl_account_unblock (struct fl_account *account)
{
  for (int p = 0; p < FL_PRIORITIES; p++)
    account->blocked_at[p] = 0;
}

int64_t
fl_domain_with_drift (const struct fl_domain *domain, int64_t duration_ms)
{
  return duration_ms + duration_ms * domain->options.limits.drift_ppm / 1000000 + 1;
}

int64_t
fl_domain_cost (const struct fl_domain *domain, const struct fl_resources *demand)
{
  struct fl_resources capacity;
  struct fl_resources used;
  int64_t cost = 0;

  fl_pool_totals (domain->pool, &capacity, &used);
  for (int i = 0; i < FL_RESOURCE_COUNT; i++)
    if (capacity.amount[i] > 0)
      cost = MAX (cost, demand->amount[i] * FL_COST_UNIT / capacity.amount[i]);
  return cost;
}

/* --- records --- */

uint64_t
fl_domain_commit (struct fl_domain *domain,
                  const char *key,
                  json_t *value,
                  int64_t version,
                  bool persistent,
                  struct fl_job *job,
                  struct fl_request *request)
{
  struct record *waiting = g_new0 (struct record, 1);
  struct fl_record record = { .id = ++domain->last_id,
                              .domain = domain->options.name,
                              .key = { strlen (key), (char *)key },
                              .value = value,
                              .version = version,
                              .persistent = persistent };

  waiting->job = job;
  waiting->request = request;
  g_hash_table_insert (domain->records, g_memdup2 (&record.id, sizeof record.id), waiting);
  domain->options.ops.commit (domain->options.ops.context, &record);
  json_decref (value);
  return record.id;
}

void
fl_domain_detach_record (struct fl_domain *domain, uint64_t record)
{
  struct record *waiting = g_hash_table_lookup (domain->records, &record);

  if (waiting == NULL)
    return;
  waiting->job = NULL;
  waiting->request = NULL;
}

void
fl_domain_abandon_record (struct fl_domain *domain, uint64_t record, const char *key, json_t *value)
{
  struct record *waiting = g_hash_table_lookup (domain->records, &record);

  if (waiting == NULL)
    {
      json_decref (value);
      return;
    }
  waiting->request = NULL;
  waiting->abandoned_key = g_strdup (key);
  waiting->abandoned_value = value;
}

void
fl_domain_on_committed (struct fl_domain *domain,
                        uint64_t id,
                        enum fl_commit_result result,
                        int64_t version,
                        const json_t *existing,
                        int64_t now_ms)
{
  struct record *waiting = g_hash_table_lookup (domain->records, &id);

  if (waiting == NULL)
    return;
  struct record record = *waiting;
  *waiting = (struct record){ 0 };
  g_hash_table_remove (domain->records, &id);
  if (record.abandoned_key != NULL && result == FL_COMMIT_OK)
    fl_domain_commit (domain, record.abandoned_key, json_incref (record.abandoned_value), version,
                      true, NULL, NULL);
  g_free (record.abandoned_key);
  json_decref (record.abandoned_value);
  if (record.request != NULL)
    fl_request_on_committed (domain, record.request, result, version, existing, now_ms);
  else if (record.job != NULL)
    fl_job_on_committed (domain, record.job, result, version, existing, now_ms);
  fl_domain_schedule (domain, now_ms);
}

/* --- construction --- */

struct fl_domain *
fl_domain_new (const struct fl_domain_options *options)
{
  struct fl_domain *domain = g_new0 (struct fl_domain, 1);

  domain->options = *options;
  domain->pool = fl_pool_new (fl_task_hash);
  domain->accounts = g_hash_table_new_full (fl_name_hash, fl_name_equal, NULL, account_free);
  for (int p = 0; p < FL_PRIORITIES; p++)
    domain->active[p] = g_ptr_array_new ();
  domain->requests = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, fl_request_free);
  domain->names = g_hash_table_new_full (fl_name_hash, fl_name_equal, g_free, NULL);
  domain->jobs = g_hash_table_new_full (fl_name_hash, fl_name_equal, NULL, fl_job_free);
  domain->ghosts = g_ptr_array_new_with_free_func (g_free);
  domain->records = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, record_free);
  domain->reserved = g_ptr_array_new ();
  domain->service_domains = 1;
  domain->recover_until_ms = options->now_ms + options->limits.delivery_ms
                             + fl_domain_with_drift (domain, options->limits.task_lease_ms);
  return domain;
}

void
fl_domain_free (struct fl_domain *domain)
{
  if (domain == NULL)
    return;
  g_hash_table_destroy (domain->names);
  g_hash_table_destroy (domain->requests);
  g_hash_table_destroy (domain->jobs);
  g_hash_table_destroy (domain->records);
  g_ptr_array_free (domain->ghosts, TRUE);
  g_ptr_array_free (domain->reserved, TRUE);
  for (int p = 0; p < FL_PRIORITIES; p++)
    g_ptr_array_free (domain->active[p], TRUE);
  g_hash_table_destroy (domain->accounts);
  fl_pool_free (domain->pool);
  g_free (domain);
}

const struct fl_name *
fl_domain_name (const struct fl_domain *domain)
{
  return &domain->options.name;
}

int64_t
fl_domain_epoch (const struct fl_domain *domain)
{
  return domain->options.epoch;
}

struct fl_pool *
fl_domain_pool (struct fl_domain *domain)
{
  return domain->pool;
}

/* --- configuration --- */

static void
configure_team (void *context, const void *object)
{
  const struct fl_team *team = object;
  struct fl_account *account = fl_domain_account (context, &team->name);

  account->configured = true;
  account->share = team->share;
  account->limit = team->limit;
  fl_account_unblock (account);
}

void
fl_domain_set_config (struct fl_domain *domain,
                      const struct fl_config *config,
                      int64_t domains,
                      int64_t rank,
                      int64_t now_ms)
{
  GHashTableIter iter;
  struct fl_account *account;

  domain->config = config;
  domain->service_domains = MAX (domains, 1);
  domain->service_rank = rank;
  g_hash_table_iter_init (&iter, domain->accounts);
  while (g_hash_table_iter_next (&iter, NULL, (void **)&account))
    account->configured = false;
  fl_config_each (config, FL_OBJECT_TEAM, configure_team, domain);
  if (domain->loaded)
    fl_domain_update_services (domain, now_ms);
  fl_domain_schedule (domain, now_ms);
}

void
fl_domain_set_allotment (struct fl_domain *domain,
                         const struct fl_name *team,
                         int64_t amount,
                         int64_t now_ms)
{
  struct fl_account *account = fl_domain_account (domain, team);
  bool raised = amount > account->allotment;

  account->allotment = amount;
  if (!raised)
    return;
  fl_account_unblock (account);
  fl_domain_schedule (domain, now_ms);
}

void
fl_domain_set_remote_cost (struct fl_domain *domain, const struct fl_name *team, int64_t cost)
{
  /* What others use is known late, and all domains correct by it at once: counted in full it makes
   * them swing together. Half of the others' mean keeps the gain of that loop below one. */
  fl_domain_account (domain, team)->remote_cost = cost / (2 * MAX (domain->service_domains - 1, 1));
}

/* --- time --- */

/* Work that leaves room for a gang does so for a time only, which no event ends. */
static void
unblock_held_back (struct fl_domain *domain)
{
  GHashTableIter iter;
  struct fl_account *account;

  g_hash_table_iter_init (&iter, domain->accounts);
  while (g_hash_table_iter_next (&iter, NULL, (void **)&account))
    if (domain->hold_for != NULL || account->hold_for != NULL)
      fl_account_unblock (account);
}

void
fl_domain_tick (struct fl_domain *domain, int64_t now_ms)
{
  fl_domain_expire_requests (domain, now_ms);
  fl_domain_watch_runs (domain, now_ms);
  fl_domain_tick_targets (domain, now_ms);
  fl_domain_tick_jobs (domain, now_ms);
  fl_domain_tick_reserved (domain, now_ms);
  fl_domain_trim (domain, now_ms);
  unblock_held_back (domain);
  fl_domain_schedule (domain, now_ms);
}

void
fl_domain_drain (struct fl_domain *domain, int64_t now_ms)
{
  domain->draining = true;
  fl_domain_expire_requests (domain, now_ms);
}

void
fl_domain_close (struct fl_domain *domain, int64_t now_ms)
{
  domain->draining = true;
  fl_domain_close_requests (domain, now_ms);
  fl_domain_close_jobs (domain);
}

bool
fl_domain_is_idle (const struct fl_domain *domain)
{
  return g_hash_table_size (domain->requests) == 0 && g_hash_table_size (domain->records) == 0;
}

/* --- looking in --- */

void
fl_domain_load (const struct fl_domain *domain, struct fl_domain_load *load)
{
  struct fl_resources capacity;
  struct fl_resources used;
  GHashTableIter iter;
  struct fl_request *request;
  struct fl_job *job;
  struct fl_target *target;
  size_t cursor = 0;

  memset (load, 0, sizeof *load);
  fl_pool_totals (domain->pool, &capacity, &used);
  load->free_slots = capacity.amount[FL_SLOTS] - used.amount[FL_SLOTS];
  load->free_cpu_milli = capacity.amount[FL_CPU_MILLI] - used.amount[FL_CPU_MILLI];
  load->recovering = domain->held > 0;
  g_hash_table_iter_init (&iter, domain->requests);
  while (g_hash_table_iter_next (&iter, NULL, (void **)&request))
    if (request->state == FL_REQUEST_WAITING)
      load->waiting_requests++;
    else
      load->running_requests++;
  g_hash_table_iter_init (&iter, domain->jobs);
  while (g_hash_table_iter_next (&iter, NULL, (void **)&job))
    {
      if (job->state == FL_JOB_ACTIVE)
        load->waiting_tasks += job->ready->len;
      load->running_tasks += job->placed;
    }
  while ((target = fl_pool_next (domain->pool, &cursor)) != NULL)
    load->targets_ready += target->state == FL_TARGET_READY;
}

/* Counts the tasks and requests that wait, and sees whether a gang among them can never start. */
static void
look_at_queue (const struct fl_account *account, const GQueue *queue, struct fl_team_usage *usage)
{
  for (const GList *l = queue->head; l != NULL; l = l->next)
    {
      const struct fl_work *work = l->data;
      const struct fl_job *job = l->data;
      int64_t tasks = work->kind == FL_WORK_REQUEST ? 1 : job->ready->len;
      usage->waiting += tasks;
      if (work->kind == FL_WORK_GANG && tasks > account->allotment && usage->running == 0)
        usage->stuck = true;
    }
}

static struct fl_team_usage
usage_of (const struct fl_domain *domain, const struct fl_account *account)
{
  /* What may still run counts as running: it must not be given away. */
  int64_t unknown = account->unconfirmed + domain->unknown_slots;
  struct fl_team_usage usage = { .team = account->team,
                                 .running = account->running + unknown,
                                 .cost = account->cost,
                                 .allotment = account->allotment };

  for (int p = 0; p < FL_PRIORITIES; p++)
    look_at_queue (account, &account->waiting[p], &usage);
  return usage;
}

void
fl_domain_each_team (const struct fl_domain *domain,
                     void (*visit) (void *context, const struct fl_team_usage *usage),
                     void *context)
{
  GHashTableIter iter;
  struct fl_account *account;

  g_hash_table_iter_init (&iter, domain->accounts);
  while (g_hash_table_iter_next (&iter, NULL, (void **)&account))
    {
      struct fl_team_usage usage = usage_of (domain, account);
      visit (context, &usage);
    }
}

static json_t *
dump_accounts (const struct fl_domain *domain)
{
  json_t *list = json_array ();
  GHashTableIter iter;
  struct fl_account *a;

  g_hash_table_iter_init (&iter, domain->accounts);
  while (g_hash_table_iter_next (&iter, NULL, (void **)&a))
    json_array_append_new (
        list, json_pack ("{s:s,s:b,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I}", "team", a->team.data,
                         "configured", a->configured, "share", a->share, "limit", a->limit,
                         "allotment", a->allotment, "running", a->running, "unconfirmed",
                         a->unconfirmed, "waiting", usage_of (domain, a).waiting, "cost", a->cost,
                         "remote_cost", a->remote_cost, "retry_tokens", a->retry_tokens));
  return list;
}

static json_t *
dump_targets (const struct fl_domain *domain)
{
  json_t *list = json_array ();
  struct fl_target *t;
  size_t cursor = 0;

  while ((t = fl_pool_next (domain->pool, &cursor)) != NULL)
    json_array_append_new (
        list, json_pack ("{s:s,s:s,s:s,s:s,s:s,s:o,s:o,s:I,s:I,s:i,s:I}", "name", t->name.data,
                         "rack", t->rack.data, "label", t->label.data, "url", fl_str_text (&t->url),
                         "state", fl_target_state_names[t->state], "capacity",
                         fl_schema_to_json (&fl_resources_schema, &t->capacity), "used",
                         fl_schema_to_json (&fl_resources_schema, &t->used), "heard_ms",
                         t->heard_ms, "lease_until_ms", t->lease_until_ms, "failures", t->failures,
                         "acked", t->acked));
  return list;
}

static json_t *
dump_requests (const struct fl_domain *domain)
{
  static const char *const states[] = { "waiting", "committing", "running" };
  json_t *list = json_array ();
  GHashTableIter iter;
  struct fl_request *r;

  g_hash_table_iter_init (&iter, domain->requests);
  while (g_hash_table_iter_next (&iter, NULL, (void **)&r))
    json_array_append_new (list,
                           json_pack ("{s:s,s:s,s:s,s:I,s:I,s:s}", "name", r->name.data, "team",
                                      r->work.account->team.data, "state", states[r->state],
                                      "attempt", r->attempt, "deadline_ms", r->deadline_ms,
                                      "target", r->target != NULL ? r->target->name.data : ""));
  return list;
}

json_t *
fl_domain_dump (const struct fl_domain *domain)
{
  static const struct fl_name all_teams = { 0 };

  return json_pack ("{s:s,s:I,s:b,s:b,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:i,s:i,s:o,s:o,s:o,s:o}",
                    "domain", domain->options.name.data, "epoch", domain->options.epoch, "loaded",
                    domain->loaded, "draining", domain->draining, "held", domain->held,
                    "placements", domain->placements, "retries", domain->retries, "lapsed_tasks",
                    domain->lapsed_tasks, "preempted", domain->preempted, "trimmed",
                    domain->trimmed, "duplicates", domain->duplicates, "records_open",
                    (int)g_hash_table_size (domain->records), "ghosts", (int)domain->ghosts->len,
                    "teams", dump_accounts (domain), "targets", dump_targets (domain), "requests",
                    dump_requests (domain), "jobs", fl_domain_jobs (domain, &all_teams));
}
