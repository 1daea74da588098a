/* Synchronous requests: one slot on one target, answered once. */
#include "domain/domain_internal.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Callers that may come back are told to do so after this. */
#define RETRY_AFTER_MS 200
/* A target that has not been heard for this, and holds a request for longer, is asked. */
#define SLOW_RUN_MS 400

/* --- answers --- */

static void
answer (struct fl_domain *domain,
        uint64_t handle,
        enum fl_outcome outcome,
        const char *reason,
        int64_t retry_after_ms,
        bool elsewhere)
{
  struct fl_answer reply = {
    .outcome = outcome, .reason = reason, .retry_after_ms = retry_after_ms, .elsewhere = elsewhere
  };

  domain->options.ops.answer (domain->options.ops.context, handle, &reply);
}

void
fl_request_free (void *data)
{
  struct fl_request *request = data;

  fl_str_clear (&request->payload);
  g_free (request);
}

static struct fl_name
full_name (const struct fl_name *team, const struct fl_name *id)
{
  return fl_name_format ("%s/%s", team->data, id->data);
}

/* The row that makes a request run at most once. */
static char *
intent_key (const struct fl_request *request)
{
  return g_strdup_printf ("intent/%s/%s", request->work.account->team.data, request->name.data);
}

static json_t *
intent_value (const struct fl_domain *domain,
              const struct fl_request *request,
              const char *state,
              const struct fl_str *result)
{
  return json_pack ("{s:s,s:s,s:I,s:I,s:s%}", "state", state, "domain", domain->options.name.data,
                    "epoch", domain->options.epoch, "request", (json_int_t)request->id, "result",
                    result != NULL ? fl_str_text (result) : "", result != NULL ? result->len : 0);
}

/* Gives the slot back. */
static void
vacate (struct fl_domain *domain, struct fl_request *request)
{
  struct fl_account *account = request->work.account;

  if (request->target == NULL)
    return;
  fl_pool_release (domain->pool, request->target, &fl_one_slot);
  account->running--;
  account->cost -= request->cost;
  request->target = NULL;
}

static void
forget (struct fl_domain *domain, struct fl_request *request)
{
  struct fl_name name = full_name (&request->work.account->team, &request->name);

  if (request->work.queued)
    request->work.account->waiting_requests--;
  fl_work_dequeue (&request->work);
  if (request->record != 0)
    {
      g_autofree char *key = intent_key (request);
      fl_domain_abandon_record (domain, request->record, key,
                                intent_value (domain, request, "not_run", NULL));
    }
  if (g_hash_table_lookup (domain->names, &name) == request)
    g_hash_table_remove (domain->names, &name);
  g_hash_table_remove (domain->requests, &request->id);
}

void
fl_request_finish (struct fl_domain *domain,
                   struct fl_request *request,
                   enum fl_outcome outcome,
                   const char *reason,
                   const struct fl_str *result,
                   int64_t now_ms)
{
  (void)now_ms;
  /* Where an attempt may have run, the last refusal makes no "not run"; but repeatable work may go
   * on to another domain. */
  bool elsewhere = outcome == FL_OUTCOME_NOT_RUN && (!request->exposed || request->repeatable);
  if (outcome == FL_OUTCOME_NOT_RUN && request->exposed)
    outcome = FL_OUTCOME_UNKNOWN;

  struct fl_answer reply = { .outcome = outcome, .reason = reason };
  if (result != NULL)
    reply.result = *result;
  if (request->target != NULL)
    reply.target = request->target->name;
  reply.elsewhere = elsewhere;
  if (outcome == FL_OUTCOME_NOT_RUN)
    reply.retry_after_ms = RETRY_AFTER_MS;
  if (request->intent > 0)
    {
      /* Keeps the outcome for callers that ask again under the same id. Bound to the version of
       * our intent: after "not_run" another owner may have put its own in place. */
      g_autofree char *key = intent_key (request);
      fl_domain_commit (domain, key,
                        intent_value (domain, request, fl_outcome_names[outcome], result),
                        request->intent, true, NULL, NULL);
    }
  vacate (domain, request);
  domain->options.ops.answer (domain->options.ops.context, request->handle, &reply);
  forget (domain, request);
}

/* --- arrival --- */

static const char *
refusal (const struct fl_domain *domain,
         const struct fl_queue *queue,
         const struct fl_account *account,
         const struct fl_name *team)
{
  if (domain->draining)
    return "draining";
  if (queue == NULL || queue->kind != FL_WORK_REQUEST)
    return "no_such_queue";
  if (!queue->open && !fl_name_eq (&queue->team, team))
    return "not_your_queue";
  if (!account->configured)
    return "no_such_team";
  if (account->waiting_requests >= domain->options.limits.waiting_max)
    return "too_many_waiting";
  return NULL;
}

static struct fl_request *
request_new (struct fl_domain *domain,
             uint64_t handle,
             const struct fl_request_spec *spec,
             const struct fl_queue *queue,
             struct fl_account *account,
             int64_t now_ms)
{
  struct fl_request *request = g_new0 (struct fl_request, 1);

  request->id = ++domain->last_id;
  request->handle = handle;
  request->name = spec->id;
  request->label = queue->label;
  request->repeatable = spec->repeatable;
  request->arrived_ms = now_ms;
  request->deadline_ms = now_ms + spec->timeout_ms;
  request->payload = fl_str_dup (&spec->payload);
  request->work.kind = FL_WORK_REQUEST;
  request->work.priority = queue->priority;
  request->work.account = account;
  return request;
}

void
fl_domain_request (struct fl_domain *domain,
                   uint64_t handle,
                   const struct fl_name *team,
                   const struct fl_request_spec *spec,
                   int64_t now_ms)
{
  const struct fl_queue *queue
      = domain->config != NULL ? fl_config_queue (domain->config, &spec->queue) : NULL;
  struct fl_account *account = fl_domain_account (domain, queue != NULL ? &queue->team : team);
  const char *reason = refusal (domain, queue, account, team);

  if (reason != NULL)
    {
      bool elsewhere = domain->draining || strcmp (reason, "too_many_waiting") == 0;
      answer (domain, handle, FL_OUTCOME_NOT_RUN, reason, elsewhere ? RETRY_AFTER_MS : 0,
              elsewhere);
      return;
    }
  struct fl_name name = full_name (&account->team, &spec->id);
  if (!spec->repeatable && g_hash_table_contains (domain->names, &name))
    {
      /* The first one decides; this caller learns its outcome by asking again. */
      domain->duplicates++;
      answer (domain, handle, FL_OUTCOME_UNKNOWN, "already_open", RETRY_AFTER_MS, false);
      return;
    }
  struct fl_request *request = request_new (domain, handle, spec, queue, account, now_ms);
  g_hash_table_insert (domain->requests, &request->id, request);
  if (!spec->repeatable)
    g_hash_table_insert (domain->names, g_memdup2 (&name, sizeof name), request);
  fl_work_enqueue (domain, &request->work, false, now_ms);
  account->waiting_requests++;
  fl_domain_schedule (domain, now_ms);
}

/* --- placing and running --- */

static void
run (struct fl_domain *domain, struct fl_request *request, int64_t now_ms)
{
  request->state = FL_REQUEST_RUNNING;
  request->sent_ms = now_ms;
  request->attempt++;
  domain->placements++;
  domain->options.ops.run (domain->options.ops.context, request->target, request);
}

/* @version: of the row that the intent replaces, 0 when there must be none. */
static void
commit_intent (struct fl_domain *domain, struct fl_request *request, int64_t version)
{
  g_autofree char *key = intent_key (request);

  request->record = fl_domain_commit (domain, key, intent_value (domain, request, "intended", NULL),
                                      version, false, NULL, request);
}

bool
fl_request_place (struct fl_domain *domain, struct fl_request *request, int64_t now_ms)
{
  struct fl_account *account = request->work.account;
  struct fl_target *target = fl_pool_pick_slot (domain->pool, &request->label, request->avoid);

  if (target == NULL || !fl_pool_reserve (domain->pool, target, &fl_one_slot))
    return false;
  fl_work_dequeue (&request->work);
  account->waiting_requests--;
  account->running++;
  request->cost = fl_domain_cost (domain, &fl_one_slot);
  account->cost += request->cost;
  request->target = target;
  if (request->repeatable || request->intent > 0)
    {
      run (domain, request, now_ms);
      return true;
    }
  request->state = FL_REQUEST_COMMITTING;
  commit_intent (domain, request, 0);
  return true;
}

/* Puts a request that certainly did not run back into the queue. */
static void
wait_again (struct fl_domain *domain, struct fl_request *request, int64_t now_ms)
{
  request->avoid = request->target;
  vacate (domain, request);
  request->state = FL_REQUEST_WAITING;
  request->work.account->waiting_requests++;
  domain->retries++;
  fl_work_enqueue (domain, &request->work, true, now_ms);
}

static bool
take_retry_token (struct fl_account *account)
{
  if (account->retry_tokens <= 0)
    return false;
  account->retry_tokens--;
  return true;
}

static void
earn_retry_token (struct fl_domain *domain, struct fl_account *account)
{
  if (++account->retry_progress < domain->options.limits.retry_ratio)
    return;
  account->retry_progress = 0;
  account->retry_tokens = MIN (account->retry_tokens + 1, domain->options.limits.retry_tokens_max);
}

/* What an earlier request under the same id came to, as its row tells. */
static void
answer_duplicate (struct fl_domain *domain, struct fl_request *request, const json_t *existing)
{
  const char *state = json_string_value (json_object_get (existing, "state"));
  const json_t *result = json_object_get (existing, "result");
  struct fl_answer reply = { .outcome = FL_OUTCOME_UNKNOWN, .reason = "same_id_before" };

  for (int i = 0; state != NULL && fl_outcome_names[i] != NULL; i++)
    if (strcmp (state, fl_outcome_names[i]) == 0)
      reply.outcome = i;
  if (json_is_string (result))
    reply.result
        = (struct fl_str){ json_string_length (result), (char *)json_string_value (result) };
  domain->duplicates++;
  vacate (domain, request);
  domain->options.ops.answer (domain->options.ops.context, request->handle, &reply);
  forget (domain, request);
}

/* Whether an earlier request under the same id was answered "not run". */
static bool
did_not_run (const json_t *existing)
{
  const char *state = json_string_value (json_object_get (existing, "state"));

  return state != NULL && strcmp (state, fl_outcome_names[FL_OUTCOME_NOT_RUN]) == 0;
}

void
fl_request_on_committed (struct fl_domain *domain,
                         struct fl_request *request,
                         enum fl_commit_result result,
                         int64_t version,
                         const json_t *existing,
                         int64_t now_ms)
{
  request->record = 0;
  switch (result)
    {
    case FL_COMMIT_OK:
      request->intent = version;
      if (now_ms >= request->deadline_ms
          || !domain->options.ops.may_act (domain->options.ops.context))
        fl_request_finish (domain, request, FL_OUTCOME_NOT_RUN, "too_late", NULL, now_ms);
      else if (request->target->state != FL_TARGET_READY)
        wait_again (domain, request, now_ms);
      else
        run (domain, request, now_ms);
      break;
    case FL_COMMIT_EXISTS:
      if (did_not_run (existing))
        commit_intent (domain, request, version);
      else
        answer_duplicate (domain, request, existing);
      break;
    case FL_COMMIT_REFUSED:
      fl_request_finish (domain, request, FL_OUTCOME_NOT_RUN, "store_unavailable", NULL, now_ms);
      break;
    case FL_COMMIT_LOST:
    case FL_COMMIT_UNKNOWN:
      /* True also when the row was written: nothing was sent, and nobody else sends it. */
      fl_request_finish (domain, request, FL_OUTCOME_NOT_RUN, "not_owner", NULL, now_ms);
      break;
    }
}

static void
on_unknown (struct fl_domain *domain, struct fl_request *request, int64_t now_ms)
{
  struct fl_target *target = request->target;
  struct fl_account *account = request->work.account;
  bool again = request->repeatable && now_ms < request->deadline_ms && take_retry_token (account);

  /* The target may still run it: its slot stays counted until an inventory says otherwise. */
  struct fl_name run_id = fl_request_name (request);
  request->exposed = true;
  fl_pool_adopt (domain->pool, target, &fl_one_slot);
  fl_domain_add_ghost (domain, target, account, &run_id);
  domain->options.ops.inspect (domain->options.ops.context, target);
  if (again)
    wait_again (domain, request, now_ms);
  else
    fl_request_finish (domain, request, FL_OUTCOME_UNKNOWN, "no_answer", NULL, now_ms);
}

static void
on_not_run (struct fl_domain *domain, struct fl_request *request, const char *why, int64_t now_ms)
{
  if (now_ms < request->deadline_ms && take_retry_token (request->work.account))
    wait_again (domain, request, now_ms);
  else
    fl_request_finish (domain, request, FL_OUTCOME_NOT_RUN, why, NULL, now_ms);
}

void
fl_domain_on_run (struct fl_domain *domain,
                  uint64_t id,
                  int64_t attempt,
                  enum fl_call_result result,
                  const struct fl_str *body,
                  int64_t now_ms)
{
  struct fl_request *request = g_hash_table_lookup (domain->requests, &id);

  if (request == NULL || request->state != FL_REQUEST_RUNNING || request->attempt != attempt)
    return;
  if (result == FL_CALL_DONE || result == FL_CALL_FAILED)
    earn_retry_token (domain, request->work.account);
  switch (result)
    {
    case FL_CALL_DONE:
      fl_request_finish (domain, request, FL_OUTCOME_DONE, "", body, now_ms);
      break;
    case FL_CALL_FAILED:
      fl_request_finish (domain, request, FL_OUTCOME_FAILED, "target_failed", body, now_ms);
      break;
    case FL_CALL_REFUSED:
      on_not_run (domain, request, "target_refused", now_ms);
      break;
    case FL_CALL_NOT_SENT:
      on_not_run (domain, request, "target_unreachable", now_ms);
      break;
    case FL_CALL_UNKNOWN:
      on_unknown (domain, request, now_ms);
      break;
    }
  fl_domain_schedule (domain, now_ms);
}

/* --- time --- */

/* Whether no target of the domain takes work, and none is about to be heard for the first time:
 * what waits here is better off in another domain. */
static bool
has_no_targets (const struct fl_domain *domain)
{
  struct fl_resources capacity;
  struct fl_resources used;

  fl_pool_totals (domain->pool, &capacity, &used);
  return capacity.amount[FL_SLOTS] == 0 && domain->unknown_slots == 0;
}

/* Finishes what has not been sent by its deadline, and all of it while this process may not act. */
void
fl_domain_expire_requests (struct fl_domain *domain, int64_t now_ms)
{
  bool may_act = domain->options.ops.may_act (domain->options.ops.context);
  bool no_targets = has_no_targets (domain);
  g_autoptr (GPtrArray) expired = g_ptr_array_new ();
  GHashTableIter iter;
  struct fl_request *request;

  g_hash_table_iter_init (&iter, domain->requests);
  while (g_hash_table_iter_next (&iter, NULL, (void **)&request))
    if (request->state != FL_REQUEST_RUNNING
        && (now_ms >= request->deadline_ms || !may_act
            || ((domain->draining || no_targets) && request->state == FL_REQUEST_WAITING)))
      g_ptr_array_add (expired, request);
  for (guint i = 0; i < expired->len; i++)
    {
      request = expired->pdata[i];
      const char *reason = "no_capacity";
      if (now_ms < request->deadline_ms)
        reason = domain->draining ? "draining" : may_act ? "no_targets" : "not_owner";
      else if (request->state == FL_REQUEST_COMMITTING)
        reason = "store_slow";
      fl_request_finish (domain, request, FL_OUTCOME_NOT_RUN, reason, NULL, now_ms);
    }
}

void
fl_domain_leave_target (struct fl_domain *domain, const struct fl_target *target, int64_t now_ms)
{
  g_autoptr (GPtrArray) left = g_ptr_array_new ();
  GHashTableIter iter;
  struct fl_request *request;

  g_hash_table_iter_init (&iter, domain->requests);
  while (g_hash_table_iter_next (&iter, NULL, (void **)&request))
    if (request->state == FL_REQUEST_RUNNING && request->target == target && request->repeatable)
      g_ptr_array_add (left, request);
  for (guint i = 0; i < left->len; i++)
    on_unknown (domain, left->pdata[i], now_ms);
}

void
fl_domain_watch_runs (struct fl_domain *domain, int64_t now_ms)
{
  GHashTableIter iter;
  struct fl_request *request;

  g_hash_table_iter_init (&iter, domain->requests);
  while (g_hash_table_iter_next (&iter, NULL, (void **)&request))
    {
      struct fl_target *target = request->target;
      if (request->state != FL_REQUEST_RUNNING || target->state != FL_TARGET_READY
          || now_ms - request->sent_ms <= SLOW_RUN_MS
          || now_ms - MAX (target->heard_ms, target->inspected_ms) <= SLOW_RUN_MS)
        continue;
      target->inspected_ms = now_ms;
      domain->options.ops.inspect (domain->options.ops.context, target);
    }
}

void
fl_domain_close_requests (struct fl_domain *domain, int64_t now_ms)
{
  g_autoptr (GList) open = g_hash_table_get_values (domain->requests);

  for (GList *l = open; l != NULL; l = l->next)
    {
      struct fl_request *request = l->data;
      bool sent = request->state == FL_REQUEST_RUNNING;
      request->intent = 0; /* nothing more is written under this epoch */
      fl_request_finish (domain, request, sent ? FL_OUTCOME_UNKNOWN : FL_OUTCOME_NOT_RUN,
                         "owner_changed", NULL, now_ms);
    }
}

/* --- accessors --- */

uint64_t
fl_request_id (const struct fl_request *request)
{
  return request->id;
}

int64_t
fl_request_attempt (const struct fl_request *request)
{
  return request->attempt;
}

struct fl_name
fl_request_name (const struct fl_request *request)
{
  return fl_name_format ("%s/%s/%" PRIx64 ".%" PRIx64, request->work.account->team.data,
                         request->name.data, request->id, request->attempt);
}

bool
fl_domain_runs_request (const struct fl_domain *domain, const struct fl_name *id)
{
  const char *last = strrchr (id->data, '/');
  uint64_t number = last != NULL ? strtoull (last + 1, NULL, 16) : 0;
  const struct fl_request *request = g_hash_table_lookup (domain->requests, &number);

  if (request == NULL || request->state != FL_REQUEST_RUNNING)
    return false;
  struct fl_name name = fl_request_name (request);
  return fl_name_eq (&name, id);
}

const struct fl_str *
fl_request_payload (const struct fl_request *request)
{
  return &request->payload;
}

int64_t
fl_request_deadline_ms (const struct fl_request *request)
{
  return request->deadline_ms;
}

bool
fl_request_repeatable (const struct fl_request *request)
{
  return request->repeatable;
}
