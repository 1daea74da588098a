/* Serving entries, other schedulers and people who look in. */
#include "sched/sched_internal.h"

#include <string.h>

/* Unknown domains are tried elsewhere by the entry after this. */
#define RETRY_AFTER_MS 200

/* --- waiters --- */

static uint64_t
add_waiter (struct fl_sched *sched,
            const struct fl_route *route,
            const struct fl_name *entry,
            int64_t id,
            int64_t attempt,
            bool call)
{
  struct fl_waiter *waiter = g_new0 (struct fl_waiter, 1);
  uint64_t handle = ++sched->last_handle;

  waiter->route = *route;
  waiter->entry = *entry;
  waiter->id = id;
  waiter->attempt = attempt;
  waiter->call = call;
  g_hash_table_insert (sched->waiters, g_memdup2 (&handle, sizeof handle), waiter);
  return handle;
}

static void
send_result (struct fl_sched *sched,
             const struct fl_waiter *waiter,
             const struct fl_answer *answer,
             const struct fl_str *body)
{
  struct fl_result_message result = { .entry = waiter->entry,
                                      .id = waiter->id,
                                      .attempt = waiter->attempt,
                                      .outcome = answer->outcome,
                                      .reason = fl_name_of (answer->reason),
                                      .retry_after_ms = answer->retry_after_ms,
                                      .elsewhere = answer->elsewhere };

  if (body != NULL)
    result.body = *body;
  fl_node_send (sched->node, &waiter->route, FL_MSG_RESULT, &result);
}

static void
send_answer (struct fl_sched *sched, const struct fl_waiter *waiter, const struct fl_answer *answer)
{
  struct fl_answer_message message = { .entry = waiter->entry,
                                       .id = waiter->id,
                                       .attempt = waiter->attempt,
                                       .outcome = answer->outcome,
                                       .reason = fl_name_of (answer->reason),
                                       .target = answer->target,
                                       .retry_after_ms = answer->retry_after_ms,
                                       .elsewhere = answer->elsewhere,
                                       .result = answer->result };

  fl_node_send (sched->node, &waiter->route, FL_MSG_ANSWER, &message);
}

void
fl_sched_answer (void *context, uint64_t handle, const struct fl_answer *answer)
{
  struct fl_owned *owned = context;
  struct fl_sched *sched = owned->sched;
  struct fl_waiter *waiter = g_hash_table_lookup (sched->waiters, &handle);
  g_autofree char *name = g_strdup_printf ("answers{outcome=\"%s\",reason=\"%s\"}",
                                           fl_outcome_names[answer->outcome], answer->reason);

  fl_stats_add (fl_node_stats (sched->node), name, 1);
  if (waiter == NULL)
    return;
  if (waiter->call)
    send_result (sched, waiter, answer, NULL);
  else
    send_answer (sched, waiter, answer);
  g_hash_table_remove (sched->waiters, &handle);
}

/* --- work --- */

/* @return the domain if this process may act for it now, or NULL with @refusal filled in. */
static struct fl_owned *
acting (struct fl_sched *sched, const struct fl_name *domain, struct fl_answer *refusal)
{
  struct fl_owned *owned = fl_sched_find (sched, domain);

  *refusal = (struct fl_answer){ .outcome = FL_OUTCOME_NOT_RUN,
                                 .reason = "not_owner",
                                 .retry_after_ms = RETRY_AFTER_MS,
                                 .elsewhere = true };
  if (owned == NULL || owned->domain == NULL || !owned->loaded || !fl_owned_may_act (owned))
    return NULL;
  if (fl_node_in_contact (sched->node))
    return owned;
  refusal->reason = "not_in_contact";
  return NULL;
}

static void
on_request (struct fl_sched *sched,
            const struct fl_route *from,
            const struct fl_request_message *message)
{
  struct fl_answer refusal;
  struct fl_owned *owned = acting (sched, &message->domain, &refusal);

  if (owned == NULL)
    {
      struct fl_waiter waiter = {
        .route = *from, .entry = message->entry, .id = message->id, .attempt = message->attempt
      };
      send_answer (sched, &waiter, &refusal);
      return;
    }
  uint64_t handle = add_waiter (sched, from, &message->entry, message->id, message->attempt, false);
  fl_domain_request (owned->domain, handle, &message->team, &message->spec,
                     fl_node_now (sched->node));
}

static void
submit (struct fl_sched *sched,
        struct fl_owned *owned,
        uint64_t handle,
        const struct fl_call_message *call)
{
  struct fl_problems problems = { 0 };
  struct fl_job_spec spec = { 0 };
  json_t *json = fl_json_parse (call->body.data, call->body.len, NULL);
  struct fl_answer refusal = { .outcome = FL_OUTCOME_NOT_RUN, .reason = "malformed" };

  if (json != NULL && fl_schema_from_json (&fl_job_spec_schema, json, &spec, "job", &problems))
    fl_domain_submit (owned->domain, handle, &call->team, &spec, fl_node_now (sched->node));
  else
    fl_sched_answer (owned, handle, &refusal);
  fl_schema_clear (&fl_job_spec_schema, &spec);
  fl_problems_clear (&problems);
  json_decref (json);
}

/* --- looking in --- */

static void
append_all (json_t *into, json_t *list)
{
  json_array_extend (into, list);
  json_decref (list);
}

static json_t *
list_jobs (struct fl_sched *sched, const struct fl_call_message *call)
{
  json_t *list = json_array ();
  GHashTableIter iter;
  struct fl_owned *owned;

  g_hash_table_iter_init (&iter, sched->owned);
  while (g_hash_table_iter_next (&iter, NULL, (void **)&owned))
    {
      if (owned->domain == NULL)
        continue;
      if (call->op == FL_OP_JOBS)
        append_all (list, fl_domain_jobs (owned->domain, &call->team));
      else
        {
          struct fl_name id = fl_name_make (fl_str_text (&call->body), call->body.len);
          json_t *job = fl_domain_job (owned->domain, &call->team, &id);
          if (job != NULL)
            json_array_append_new (list, job);
        }
    }
  return list;
}

static json_t *
lease_json (const struct fl_owned *owned, int64_t now_ms)
{
  int64_t authority_ms = fl_lease_authority_ms (&owned->lease);

  return json_pack ("{s:s,s:s,s:s,s:I,s:I,s:i,s:b,s:I}", "domain", owned->name.data, "state",
                    fl_lease_state_names[owned->lease.state], "owner", owned->lease.row.owner.data,
                    "epoch", (json_int_t)owned->lease.row.epoch, "row_version",
                    (json_int_t)owned->lease.row.version, "voters", owned->lease.row.voters.count,
                    "acting", owned->domain != NULL && owned->loaded, "authority_left_ms",
                    (json_int_t)(authority_ms > 0 ? authority_ms - now_ms : 0));
}

static json_t *
list_leases (struct fl_sched *sched)
{
  json_t *list = json_array ();
  GHashTableIter iter;
  struct fl_owned *owned;

  g_hash_table_iter_init (&iter, sched->owned);
  while (g_hash_table_iter_next (&iter, NULL, (void **)&owned))
    json_array_append_new (list, lease_json (owned, fl_node_now (sched->node)));
  return list;
}

static json_t *
dump_domains (struct fl_sched *sched)
{
  json_t *list = json_array ();
  GHashTableIter iter;
  struct fl_owned *owned;

  g_hash_table_iter_init (&iter, sched->owned);
  while (g_hash_table_iter_next (&iter, NULL, (void **)&owned))
    if (owned->domain != NULL)
      json_array_append_new (list, fl_domain_dump (owned->domain));
  return list;
}

json_t *
fl_sched_dump (struct fl_sched *sched)
{
  json_t *dump = fl_node_dump (sched->node);

  json_object_set_new (dump, "role", json_string ("sched"));
  json_object_set_new (dump, "leases", list_leases (sched));
  json_object_set_new (dump, "domains", dump_domains (sched));
  json_object_set_new (dump, "journal_open",
                       json_integer ((json_int_t)fl_journal_open_records (sched->journal)));
  json_object_set_new (dump, "waiters",
                       json_integer ((json_int_t)g_hash_table_size (sched->waiters)));
  return dump;
}

/* One list of all owned domains' dumps, cut down to the member @name. */
static json_t *
gather (struct fl_sched *sched, const char *name)
{
  json_t *list = json_array ();
  json_t *dumps = dump_domains (sched);
  size_t i;
  size_t j;
  json_t *dump;
  json_t *item;

  json_array_foreach (dumps, i, dump)
  {
    json_array_foreach (json_object_get (dump, name), j, item)
    {
      json_object_set (item, "domain", json_object_get (dump, "domain"));
      json_array_append (list, item);
    }
  }
  json_decref (dumps);
  return list;
}

static json_t *
look_in (struct fl_sched *sched, const struct fl_call_message *call)
{
  switch (call->op)
    {
    case FL_OP_JOB:
    case FL_OP_JOBS:
      return list_jobs (sched, call);
    case FL_OP_DUMP:
      return fl_sched_dump (sched);
    case FL_OP_TEAMS:
      return gather (sched, "teams");
    case FL_OP_HOSTS:
      return gather (sched, "targets");
    default:
      return list_leases (sched);
    }
}

static void
on_call (struct fl_sched *sched, const struct fl_route *from, const struct fl_call_message *call)
{
  struct fl_waiter waiter
      = { .route = *from, .entry = call->entry, .id = call->id, .attempt = call->attempt };
  struct fl_answer answer = { .outcome = FL_OUTCOME_DONE, .reason = "" };

  if (call->op != FL_OP_SUBMIT && call->op != FL_OP_CANCEL)
    {
      json_t *json = look_in (sched, call);
      struct fl_str body = fl_json_text (json);
      send_result (sched, &waiter, &answer, &body);
      fl_str_clear (&body);
      json_decref (json);
      return;
    }
  struct fl_owned *owned = acting (sched, &call->domain, &answer);
  if (owned == NULL)
    {
      send_result (sched, &waiter, &answer, NULL);
      return;
    }
  uint64_t handle = add_waiter (sched, from, &call->entry, call->id, call->attempt, true);
  if (call->op == FL_OP_SUBMIT)
    submit (sched, owned, handle, call);
  else
    {
      struct fl_name id = fl_name_make (fl_str_text (&call->body), call->body.len);
      fl_domain_cancel (owned->domain, handle, &call->team, &id, fl_node_now (sched->node));
    }
}

void
fl_sched_on_message (void *context,
                     enum fl_message_type type,
                     const struct fl_route *from,
                     const union fl_message *message)
{
  struct fl_sched *sched = context;

  switch (type)
    {
    case FL_MSG_VOTE_ASK:
      fl_sched_on_vote_ask (sched, from, &message->vote);
      break;
    case FL_MSG_VOTE:
      fl_sched_on_vote (sched, &message->vote);
      break;
    case FL_MSG_REQUEST:
      on_request (sched, from, &message->request);
      break;
    case FL_MSG_CALL:
      on_call (sched, from, &message->call);
      break;
    default:
      fl_stats_add (fl_node_stats (sched->node), "messages_unexpected", 1);
      break;
    }
}

void
fl_sched_on_http (void *context, struct fl_http_request *request)
{
  struct fl_sched *sched = context;
  struct fl_error error = { 0 };

  if (strcmp (fl_http_path (request), "/dump") != 0)
    {
      fl_fail (&error, FL_NOT_FOUND, "http", NULL, "a scheduler serves /health, /metrics, /dump");
      fl_http_respond_error (request, &error);
      return;
    }
  json_t *dump = fl_sched_dump (sched);
  struct fl_str text = fl_json_text (dump);
  struct fl_http_response response = { .status = 200, .body = text.data, .len = text.len };
  fl_http_respond (request, &response);
  fl_str_clear (&text);
  json_decref (dump);
}

/* --- status --- */

/* What was last told of one team in one owned domain, and since which version. */
struct told
{
  struct fl_name key; /* "domain/team" */
  struct fl_usage_item item;
  int64_t version;
};

/* Differences below a tenth are not worth telling. */
static bool
is_close (int64_t a, int64_t b)
{
  return ABS (a - b) * 10 <= MAX (a, b);
}

static bool
differs (const struct fl_usage_item *a, const struct fl_usage_item *b)
{
  return !is_close (a->cost, b->cost) || !is_close (a->running, b->running)
         || !is_close (a->waiting, b->waiting) || a->stuck != b->stuck;
}

static void
note_usage (struct fl_sched *sched, const struct fl_usage_item *item)
{
  struct fl_name key = fl_name_format ("%s/%s", item->domain.data, item->team.data);
  struct told *told = g_hash_table_lookup (sched->told, &key);

  if (told == NULL)
    {
      told = g_new0 (struct told, 1);
      told->key = key;
      told->item = (struct fl_usage_item){ .team = item->team, .domain = item->domain };
      g_hash_table_insert (sched->told, &told->key, told);
    }
  if (!differs (&told->item, item))
    return;
  told->item = *item;
  told->version = sched->usage_version;
}

static void
add_usage (void *context, const struct fl_team_usage *usage)
{
  GArray *items = context;
  struct fl_usage_item item = { .team = usage->team,

                                .cost = usage->cost,
                                .running = usage->running,
                                .waiting = usage->waiting,
                                .stuck = usage->stuck };

  g_array_append_val (items, item);
}

static struct fl_domain_status
domain_status (struct fl_owned *owned)
{
  struct fl_domain_load load;

  fl_domain_load (owned->domain, &load);
  return (struct fl_domain_status){ .domain = owned->name,
                                    .epoch = fl_domain_epoch (owned->domain),
                                    .free_slots = load.free_slots,
                                    .free_cpu_milli = load.free_cpu_milli,
                                    .waiting = load.waiting_requests + load.waiting_tasks,
                                    .targets_ready = load.targets_ready,
                                    .acting = owned->loaded && fl_owned_may_act (owned) };
}

/* Takes stock of what each team uses in the owned domains, as a new version. */
void
fl_sched_count_usage (struct fl_sched *sched)
{
  GHashTableIter iter;
  struct fl_owned *owned;

  sched->usage_version++;
  g_hash_table_iter_init (&iter, sched->owned);
  while (g_hash_table_iter_next (&iter, NULL, (void **)&owned))
    {
      g_autoptr (GArray) items = g_array_new (FALSE, FALSE, sizeof (struct fl_usage_item));
      if (owned->domain == NULL)
        continue;
      fl_domain_each_team (owned->domain, add_usage, items);
      for (guint i = 0; i < items->len; i++)
        {
          struct fl_usage_item *item = &g_array_index (items, struct fl_usage_item, i);
          item->domain = owned->name;
          note_usage (sched, item);
        }
    }
}

static int
is_of_domain (void *key, void *value, void *domain)
{
  const struct told *told = value;

  (void)key;
  return fl_name_eq (&told->item.domain, domain);
}

void
fl_sched_forget_usage (struct fl_sched *sched, const struct fl_name *domain)
{
  g_hash_table_foreach_remove (sched->told, is_of_domain, (void *)domain);
}

/* The usage of owned domains that has changed after version @seen. */
static GArray *
usage_since (struct fl_sched *sched, int64_t seen)
{
  GArray *items = g_array_new (FALSE, FALSE, sizeof (struct fl_usage_item));
  GHashTableIter iter;
  struct told *told;

  g_hash_table_iter_init (&iter, sched->told);
  while (g_hash_table_iter_next (&iter, NULL, (void **)&told))
    {
      const struct fl_owned *owned = fl_sched_find (sched, &told->item.domain);
      if (told->version > seen && owned != NULL && owned->domain != NULL)
        g_array_append_val (items, told->item);
    }
  return items;
}

void
fl_sched_on_status (void *context, int64_t usage_seen, struct fl_status *status)
{
  struct fl_sched *sched = context;
  GArray *domains = g_array_new (FALSE, FALSE, sizeof (struct fl_domain_status));
  GHashTableIter iter;
  struct fl_owned *owned;

  g_hash_table_iter_init (&iter, sched->owned);
  while (g_hash_table_iter_next (&iter, NULL, (void **)&owned))
    {
      if (owned->domain == NULL || fl_node_is_leaving (sched->node))
        continue;
      struct fl_domain_status one = domain_status (owned);
      g_array_append_val (domains, one);
    }
  status->domains.count = domains->len;
  status->domains.items = g_array_free (domains, FALSE);
  if (usage_seen < 0)
    return;
  GArray *usage = usage_since (sched, usage_seen);
  status->usage_version = sched->usage_version;
  status->usage.count = usage->len;
  status->usage.items = g_array_free (usage, FALSE);
}
