/* Carrying requests and jobs to the owners of domains, and the answers back. */
#include "entry/entry_internal.h"

#include <string.h>

/* An owner's answer may come this much after the caller's deadline. */
#define ANSWER_GRACE_MS 250
#define CALL_TIMEOUT_MS 5000
/* An owner that has not been heard for this while it holds a request is pinged. */
#define PROBE_AFTER_MS 300
#define FAN_OUT_TIMEOUT_MS 1500
/* Named to callers when nothing better is known. */
#define RETRY_AFTER_MS 500
/* A domain in another region must be better by this many free slots. */
#define REGION_PENALTY 8

void
fl_pending_free (void *data)
{
  struct fl_pending *pending = data;

  fl_schema_clear (&fl_request_spec_schema, &pending->request);
  fl_str_clear (&pending->body);
  json_decref (pending->gathered);
  g_free (pending);
}

static struct fl_pending *
pending_new (struct fl_entry *entry,
             struct fl_http_request *http,
             const struct fl_name *team,
             int64_t timeout_ms)
{
  struct fl_pending *pending = g_new0 (struct fl_pending, 1);

  pending->id = ++entry->last_id;
  pending->http = http;
  pending->team = *team;
  pending->arrived_ms = fl_node_now (entry->node);
  pending->deadline_ms = pending->arrived_ms + timeout_ms;
  g_hash_table_insert (entry->pending, &pending->id, pending);
  return pending;
}

/* --- counts by domain --- */

static struct fl_sent_count *
count_of (struct fl_entry *entry, const struct fl_name *domain)
{
  struct fl_sent_count *count = g_hash_table_lookup (entry->sent, domain);

  if (count != NULL)
    return count;
  count = g_new0 (struct fl_sent_count, 1);
  count->domain = *domain;
  g_hash_table_insert (entry->sent, &count->domain, count);
  return count;
}

static void
count_sent (struct fl_entry *entry, struct fl_pending *pending)
{
  pending->counted = true;
  count_of (entry, &pending->domain)->now++;
}

/* The domain has answered, or is not waited for any more. */
static void
count_back (struct fl_entry *entry, struct fl_pending *pending)
{
  if (!pending->counted)
    return;
  pending->counted = false;
  count_of (entry, &pending->domain)->now--;
}

void
fl_entry_on_member (void *context, const struct fl_member *member, const struct fl_status *status)
{
  struct fl_entry *entry = context;
  const struct fl_domain_status *domains = status->domains.items;

  (void)member;
  for (size_t i = 0; i < status->domains.count; i++)
    {
      struct fl_sent_count *count = count_of (entry, &domains[i].domain);
      count->at_status = count->now;
    }
}

/* How many more requests all entries together have probably sent to the domain since its status:
 * the balancer spreads callers evenly, so the others did what this one did. */
static int64_t
sent_since_status (struct fl_entry *entry, const struct fl_name *domain)
{
  const struct fl_sent_count *count = count_of (entry, domain);
  const struct fl_member *member;
  size_t cursor = 0;
  int64_t hosts = 0;

  while ((member = fl_node_next_member (entry->node, &cursor)) != NULL)
    hosts += member->role == FL_PROCESS_SCHED && fl_node_is_live (entry->node, member);
  return (count->now - count->at_status) * MAX (hosts, 1);
}

/* --- final answers --- */

static int
status_of (enum fl_outcome outcome)
{
  static const int statuses[FL_OUTCOMES] = { 200, 502, 503, 504, 200, 202 };

  return statuses[outcome];
}

/* Refusals that no waiting can mend are the caller's to change. */
static int
refusal_status (const char *reason)
{
  static const struct
  {
    const char *reason;
    int status;
  } table[] = {
    { "no_such_queue", 404 },    { "no_such_job", 404 },         { "not_your_queue", 403 },
    { "no_such_team", 404 },     { "fits_no_host", 422 },        { "gang_over_limit", 422 },
    { "id_taken", 409 },         { "tasks_take_no_slots", 422 }, { "malformed", 400 },
    { "too_many_waiting", 429 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (table); i++)
    if (strcmp (table[i].reason, reason) == 0)
      return table[i].status;
  return 503;
}

static void
finish (struct fl_entry *entry,
        struct fl_pending *pending,
        enum fl_outcome outcome,
        const char *reason,
        const struct fl_str *result,
        const struct fl_name *target,
        int64_t retry_after_ms)
{
  struct fl_stats *stats = fl_node_stats (entry->node);

  count_back (entry, pending);
  g_autofree char *name = g_strdup_printf ("outcomes{outcome=\"%s\"}", fl_outcome_names[outcome]);
  int64_t took_ms = fl_node_now (entry->node) - pending->arrived_ms;
  json_t *body = json_pack ("{s:s,s:s,s:I,s:i}", "outcome", fl_outcome_names[outcome], "reason",
                            reason, "took_ms", (json_int_t)took_ms, "tries", pending->tries);
  int status = status_of (outcome);

  if (outcome == FL_OUTCOME_NOT_RUN)
    status = refusal_status (reason);
  if (result != NULL && result->len > 0)
    json_object_set_new (body, "result", json_stringn (result->data, result->len));
  if (target != NULL && target->len > 0)
    json_object_set_new (body, "target", json_string (target->data));
  if (pending->domain.len > 0)
    json_object_set_new (body, "domain", json_string (pending->domain.data));
  if (status == 503 && retry_after_ms == 0)
    retry_after_ms = RETRY_AFTER_MS;
  if (retry_after_ms > 0)
    json_object_set_new (body, "retry_after_ms", json_integer (retry_after_ms));
  fl_stats_add (stats, name, 1);
  fl_stats_record (stats, pending->is_call ? "call_ms" : "request_ms", took_ms);
  fl_entry_respond_json (pending->http, status, body, retry_after_ms);
  g_hash_table_remove (entry->pending, &pending->id);
}

/* --- choosing a domain --- */

static bool
was_tried (const struct fl_pending *pending, const struct fl_name *domain)
{
  for (int i = 0; i < pending->tries; i++)
    if (fl_name_eq (&pending->tried[i], domain))
      return true;
  return false;
}

static int64_t
score (struct fl_entry *entry,
       const struct fl_pending *pending,
       const struct fl_member *member,
       const struct fl_domain_status *status)
{
  int64_t room = pending->is_call ? status->free_cpu_milli / 1000 : status->free_slots;
  bool near = fl_name_eq (&member->region, &fl_node_settings (entry->node)->region);

  if (!pending->is_call)
    room -= sent_since_status (entry, &status->domain);
  return room - status->waiting - (near ? 0 : REGION_PENALTY);
}

/* A domain and its owner. */
struct choice
{
  const struct fl_member *member;
  const struct fl_domain_status *status;
};

/* Picks the better of two domains drawn at random, so that entries that all know the same slightly
 * old figures do not all choose the same domain. */
static bool
choose (struct fl_entry *entry, const struct fl_pending *pending, struct choice *best)
{
  g_autoptr (GArray) choices = g_array_new (FALSE, FALSE, sizeof (struct choice));
  const struct fl_member *member;
  size_t cursor = 0;

  while ((member = fl_node_next_member (entry->node, &cursor)) != NULL)
    {
      const struct fl_domain_status *domains = member->domains.items;
      if (member->role != FL_PROCESS_SCHED || !fl_node_is_live (entry->node, member))
        continue;
      for (size_t i = 0; i < member->domains.count; i++)
        {
          struct choice one = { member, &domains[i] };
          if (domains[i].acting && !was_tried (pending, &domains[i].domain))
            g_array_append_val (choices, one);
        }
    }
  if (choices->len == 0)
    return false;
  guint a = (guint)g_random_int_range (0, (gint32)choices->len);
  guint b = (guint)g_random_int_range (0, (gint32)choices->len);
  const struct choice *left = &g_array_index (choices, struct choice, a);
  const struct choice *right = &g_array_index (choices, struct choice, b);
  *best = score (entry, pending, left->member, left->status)
                  >= score (entry, pending, right->member, right->status)
              ? *left
              : *right;
  return true;
}

/* --- sending --- */

static bool
send_request (struct fl_entry *entry, struct fl_pending *pending)
{
  struct fl_request_message message = { .entry = fl_node_instance (entry->node),
                                        .id = pending->id,
                                        .attempt = pending->attempt,
                                        .team = pending->team,
                                        .domain = pending->domain,
                                        .spec = pending->request };

  message.spec.timeout_ms
      = MAX (pending->deadline_ms - ANSWER_GRACE_MS - fl_node_now (entry->node), 1);
  return fl_node_send_to (entry->node, &pending->address, FL_MSG_REQUEST, &message);
}

static bool
send_call (struct fl_entry *entry, struct fl_pending *pending)
{
  struct fl_call_message message = { .entry = fl_node_instance (entry->node),
                                     .id = pending->id,
                                     .attempt = pending->attempt,
                                     .op = pending->op,
                                     .team = pending->team,
                                     .domain = pending->domain,
                                     .body = pending->body };

  return fl_node_send_to (entry->node, &pending->address, FL_MSG_CALL, &message);
}

/* Offers the work to the next domain. @return false when there is none left to try. */
static bool
try_next (struct fl_entry *entry, struct fl_pending *pending)
{
  struct choice choice;

  count_back (entry, pending);
  while (pending->tries < FL_TRIES_MAX && choose (entry, pending, &choice))
    {
      pending->domain = choice.status->domain;
      pending->address = choice.member->address;
      pending->tried[pending->tries++] = pending->domain;
      pending->attempt++;
      pending->sent_ms = fl_node_now (entry->node);
      pending->sent = pending->is_call ? send_call (entry, pending) : send_request (entry, pending);
      if (!pending->sent)
        continue;
      if (!pending->is_call)
        count_sent (entry, pending);
      return true;
    }
  return false;
}

static void
start (struct fl_entry *entry, struct fl_pending *pending)
{
  if (!fl_node_in_contact (entry->node))
    finish (entry, pending, FL_OUTCOME_NOT_RUN, "not_in_contact", NULL, NULL, RETRY_AFTER_MS);
  else if (!try_next (entry, pending))
    finish (entry, pending, FL_OUTCOME_NOT_RUN, "no_owner", NULL, NULL, RETRY_AFTER_MS);
}

/* --- taking work --- */

static bool
read_body (struct fl_http_request *request,
           const struct fl_schema *schema,
           void *object,
           const char *path)
{
  const struct fl_str *body = fl_http_body (request);
  struct fl_problems problems = { 0 };
  struct fl_error error = { 0 };
  json_t *json = fl_json_parse (body->data, body->len, &error);
  bool ok = json != NULL && fl_schema_from_json (schema, json, object, path, &problems);

  if (!ok)
    {
      json_t *list = json_array ();
      g_auto (GStrv) lines
          = g_strsplit (json == NULL ? error.text : fl_str_text (&problems.text), "\n", -1);
      for (int i = 0; lines[i] != NULL; i++)
        json_array_append_new (list, json_string (lines[i]));
      fl_entry_respond_json (request, 400,
                             json_pack ("{s:s,s:s,s:o}", "outcome", "not_run", "reason",
                                        "malformed", "problems", list),
                             0);
      if (json != NULL)
        fl_schema_clear (schema, object);
    }
  fl_problems_clear (&problems);
  json_decref (json);
  return ok;
}

void
fl_entry_take_request (struct fl_entry *entry,
                       struct fl_http_request *request,
                       const struct fl_name *team)
{
  struct fl_request_spec spec;

  if (!read_body (request, &fl_request_spec_schema, &spec, "request"))
    return;
  struct fl_pending *pending
      = pending_new (entry, request, team, spec.timeout_ms + ANSWER_GRACE_MS);
  pending->request = spec;
  start (entry, pending);
}

void
fl_entry_take_job (struct fl_entry *entry,
                   struct fl_http_request *request,
                   const struct fl_name *team)
{
  struct fl_job_spec spec;

  if (!read_body (request, &fl_job_spec_schema, &spec, "job"))
    return;
  fl_schema_clear (&fl_job_spec_schema, &spec);
  struct fl_pending *pending = pending_new (entry, request, team, CALL_TIMEOUT_MS);
  pending->is_call = true;
  pending->op = FL_OP_SUBMIT;
  pending->body = fl_str_dup (fl_http_body (request));
  start (entry, pending);
}

/* --- calls to all --- */

static void
end_fan_out (struct fl_entry *entry, struct fl_pending *pending)
{
  pending->on_gathered (entry, pending);
  g_hash_table_remove (entry->pending, &pending->id);
}

void
fl_entry_fan_out (struct fl_entry *entry,
                  struct fl_http_request *request,
                  const struct fl_name *team,
                  int op,
                  const char *body,
                  void (*on_gathered) (struct fl_entry *entry, struct fl_pending *pending))
{
  struct fl_pending *pending = pending_new (entry, request, team, FAN_OUT_TIMEOUT_MS);
  const struct fl_member *member;
  size_t cursor = 0;

  pending->is_call = true;
  pending->fan_out = true;
  pending->op = op;
  pending->body = fl_str_of (body);
  pending->gathered = json_array ();
  pending->on_gathered = on_gathered;
  while ((member = fl_node_next_member (entry->node, &cursor)) != NULL)
    {
      pending->address = member->address;
      if (member->role == FL_PROCESS_SCHED && fl_node_is_live (entry->node, member)
          && send_call (entry, pending))
        pending->expected++;
    }
  if (pending->expected == 0)
    end_fan_out (entry, pending);
}

static void
gather (struct fl_entry *entry, struct fl_pending *pending, const struct fl_result_message *message)
{
  json_t *json = fl_json_parse (message->body.data, message->body.len, NULL);

  if (json_is_array (json))
    json_array_extend (pending->gathered, json);
  else if (json != NULL)
    json_array_append (pending->gathered, json);
  json_decref (json);
  if (--pending->expected <= 0)
    end_fan_out (entry, pending);
}

static void
cancel_found (struct fl_entry *entry, struct fl_pending *found)
{
  const json_t *job = json_array_get (found->gathered, 0);
  const char *domain = json_string_value (json_object_get (job, "domain"));
  const struct fl_member *member;
  size_t cursor = 0;
  struct fl_pending *pending = pending_new (entry, found->http, &found->team, CALL_TIMEOUT_MS);

  pending->is_call = true;
  pending->op = FL_OP_CANCEL;
  pending->body = fl_str_dup (&found->body);
  if (domain == NULL)
    {
      finish (entry, pending, FL_OUTCOME_NOT_RUN, "no_such_job", NULL, NULL, 0);
      return;
    }
  pending->domain = fl_name_of (domain);
  pending->tries = FL_TRIES_MAX; /* only the owner of that domain can cancel it */
  while ((member = fl_node_next_member (entry->node, &cursor)) != NULL)
    {
      const struct fl_domain_status *domains = member->domains.items;
      for (size_t i = 0; i < member->domains.count; i++)
        if (fl_name_eq (&domains[i].domain, &pending->domain)
            && fl_node_is_live (entry->node, member) && domains[i].acting)
          pending->address = member->address;
    }
  pending->sent = pending->address.len > 0 && send_call (entry, pending);
  if (!pending->sent)
    finish (entry, pending, FL_OUTCOME_NOT_RUN, "no_owner", NULL, NULL, RETRY_AFTER_MS);
}

void
fl_entry_cancel_job (struct fl_entry *entry,
                     struct fl_http_request *request,
                     const struct fl_name *team,
                     const char *id)
{
  fl_entry_fan_out (entry, request, team, FL_OP_JOB, id, cancel_found);
}

/* --- answers --- */

/* @return the request that an answer belongs to; late, doubled and crossed answers find none. */
static struct fl_pending *
match (struct fl_entry *entry, const struct fl_name *instance, int64_t id, int64_t attempt)
{
  struct fl_name self = fl_node_instance (entry->node);
  struct fl_pending *pending = g_hash_table_lookup (entry->pending, &id);

  if (pending != NULL && pending->attempt == attempt && fl_name_eq (instance, &self))
    return pending;
  fl_stats_add (fl_node_stats (entry->node), "answers_dropped", 1);
  return NULL;
}

/* What an attempt says when it is the last one. An earlier attempt whose owner fell silent may have
 * run repeatable work, so its "not run" is not known to be true. */
static void
conclude (struct fl_entry *entry,
          struct fl_pending *pending,
          enum fl_outcome outcome,
          const char *reason,
          const struct fl_str *result,
          const struct fl_name *target,
          int64_t retry_after_ms)
{
  if (outcome == FL_OUTCOME_NOT_RUN && pending->exposed)
    finish (entry, pending, FL_OUTCOME_UNKNOWN, "owner_lost", NULL, NULL, 0);
  else
    finish (entry, pending, outcome, reason, result, target, retry_after_ms);
}

static void
on_outcome (struct fl_entry *entry,
            struct fl_pending *pending,
            int64_t outcome,
            const char *reason,
            bool elsewhere,
            int64_t retry_after_ms,
            const struct fl_str *result,
            const struct fl_name *target)
{
  int64_t now_ms = fl_node_now (entry->node);

  if (outcome < 0 || outcome >= FL_OUTCOMES)
    outcome = FL_OUTCOME_UNKNOWN;
  pending->sent = false;
  pending->exposed = pending->exposed || outcome == FL_OUTCOME_UNKNOWN;
  if (elsewhere && now_ms < pending->deadline_ms - ANSWER_GRACE_MS && try_next (entry, pending))
    return;
  conclude (entry, pending, (enum fl_outcome)outcome, reason, result, target, retry_after_ms);
}

void
fl_entry_on_message (void *context,
                     enum fl_message_type type,
                     const struct fl_route *from,
                     const union fl_message *message)
{
  struct fl_entry *entry = context;
  struct fl_pending *pending;

  (void)from;
  if (type == FL_MSG_ANSWER)
    {
      const struct fl_answer_message *a = &message->answer;
      pending = match (entry, &a->entry, a->id, a->attempt);
      if (pending != NULL && !pending->is_call)
        on_outcome (entry, pending, a->outcome, a->reason.data, a->elsewhere, a->retry_after_ms,
                    &a->result, &a->target);
    }
  else if (type == FL_MSG_RESULT)
    {
      const struct fl_result_message *r = &message->result;
      pending = match (entry, &r->entry, r->id, r->attempt);
      if (pending != NULL && pending->fan_out)
        gather (entry, pending, r);
      else if (pending != NULL && pending->is_call)
        on_outcome (entry, pending, r->outcome, r->reason.data, r->elsewhere, r->retry_after_ms,
                    &r->body, NULL);
    }
}

/* --- time --- */

static const struct fl_member *
member_at (const struct fl_entry *entry, const struct fl_name *address)
{
  const struct fl_member *member;
  size_t cursor = 0;

  while ((member = fl_node_next_member (entry->node, &cursor)) != NULL)
    if (fl_name_eq (&member->address, address) && fl_node_is_live (entry->node, member))
      return member;
  return NULL;
}

/* The owner that has the request does not answer hellos any more. Another owner may be asked: a
 * request that must not be repeated is guarded by its intent row, a job by its id. */
static void
on_owner_lost (struct fl_entry *entry, struct fl_pending *pending)
{
  fl_stats_add (fl_node_stats (entry->node), "owners_lost", 1);
  pending->exposed = true;
  if (pending->op == FL_OP_CANCEL && pending->is_call)
    finish (entry, pending, FL_OUTCOME_UNKNOWN, "owner_lost", NULL, NULL, 0);
  else if (!try_next (entry, pending))
    finish (entry, pending, FL_OUTCOME_UNKNOWN, "owner_lost", NULL, NULL, 0);
}

/* A paused or dead owner is noticed well within the time in which urgent work has to start. */
static void
watch_owner (struct fl_entry *entry, struct fl_pending *pending, int64_t now_ms)
{
  const struct fl_member *owner = member_at (entry, &pending->address);

  if (owner == NULL)
    on_owner_lost (entry, pending);
  else if (now_ms - MAX (pending->sent_ms, owner->heard_ms) > PROBE_AFTER_MS)
    fl_node_probe (entry->node, owner);
}

static void
review (struct fl_entry *entry, struct fl_pending *pending, int64_t now_ms)
{
  if (pending->fan_out)
    {
      if (now_ms >= pending->deadline_ms)
        end_fan_out (entry, pending);
      return;
    }
  if (now_ms >= pending->deadline_ms)
    finish (entry, pending,
            pending->sent || pending->exposed ? FL_OUTCOME_UNKNOWN : FL_OUTCOME_NOT_RUN,
            "no_answer", NULL, NULL, 0);
  else if (pending->sent)
    watch_owner (entry, pending, now_ms);
}

void
fl_entry_tick_pending (struct fl_entry *entry, int64_t now_ms)
{
  g_autoptr (GList) all = g_hash_table_get_values (entry->pending);

  for (GList *l = all; l != NULL; l = l->next)
    review (entry, l->data, now_ms);
}
