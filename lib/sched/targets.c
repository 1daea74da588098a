/* Commands to targets and polling them, over HTTP. docs/INTERFACES.md lists what is assumed. */
#include "sched/sched_internal.h"

#include <inttypes.h>
#include <string.h>

#include "common/clock.h"

/* A start or stop is answered within this, or its outcome is unknown. */
#define COMMAND_TIMEOUT_MS 2000
#define CONNECT_TIMEOUT_MS 500
/* An answer to a poll may be this late before the target counts as silent. */
#define POLL_GRACE_MS 2000
/* A target that runs answers an inventory asked out of turn within this. */
#define INSPECT_TIMEOUT_MS 600
/* Between two polls of a target that does not answer. */
#define SILENT_RETRY_MS 1000
/* Spreads first polls, so that a new owner does not open all connections in one instant. */
#define POLL_SPREAD_MS 50
#define EVENTS_MAX 10000

/* A call to a target. Everything is looked up again when the answer comes: the domain may have
 * gone to another owner meanwhile, and be back under a higher epoch. */
struct target_call
{
  struct fl_sched *sched;
  struct fl_name domain;
  int64_t epoch;
  struct fl_name target;
  struct fl_name task;
  uint64_t request;
  int64_t attempt;
  int64_t asked_ms;
  bool inspect;
  bool renews; /* POLL: carries a lease */
};

static struct fl_owned *
owned_of (const struct target_call *call)
{
  struct fl_owned *owned = fl_sched_find (call->sched, &call->domain);

  return owned != NULL && owned->domain != NULL && fl_domain_epoch (owned->domain) == call->epoch
             ? owned
             : NULL;
}

/* Checked by the HTTP client right before a command leaves. */
static bool
may_send (void *context)
{
  struct fl_owned *owned = owned_of (context);

  return owned != NULL && fl_owned_may_act (owned);
}

static struct target_call *
call_new (struct fl_owned *owned, const struct fl_target *target)
{
  struct target_call *call = g_new0 (struct target_call, 1);

  call->sched = owned->sched;
  call->domain = owned->name;
  call->epoch = fl_domain_epoch (owned->domain);
  call->target = target->name;
  call->asked_ms = fl_node_now (owned->sched->node);
  return call;
}

static void
post (struct fl_owned *owned,
      const struct fl_target *target,
      const char *path,
      json_t *body,
      int64_t timeout_ms,
      bool fresh_connection,
      void (*on_done) (void *context, const struct fl_http_result *result),
      struct target_call *call)
{
  g_autofree char *url = g_strdup_printf ("%s%s", fl_str_text (&target->url), path);
  struct fl_str text = fl_json_text (body);
  struct fl_http_call options = { .method = "POST",
                                  .url = url,
                                  .body = text.data,
                                  .len = text.len,
                                  .timeout_ms = timeout_ms,
                                  .connect_timeout_ms = CONNECT_TIMEOUT_MS,
                                  .fresh_connection = fresh_connection,
                                  .may_send = may_send,
                                  .may_send_context = call,
                                  .on_done = on_done,
                                  .context = call };

  fl_http_client_start (fl_node_client (owned->sched->node), &options);
  fl_str_clear (&text);
  json_decref (body);
}

/* What a command came to, before its body is read. */
static enum fl_call_result
call_result (const struct fl_http_result *answer)
{
  if (answer->status == 200)
    return FL_CALL_DONE;
  if (answer->status != 0)
    return answer->status == 504 ? FL_CALL_UNKNOWN : FL_CALL_REFUSED;
  return answer->sent ? FL_CALL_UNKNOWN : FL_CALL_NOT_SENT;
}

/* --- requests --- */

static void
on_run (void *context, const struct fl_http_result *answer)
{
  g_autofree struct target_call *call = context;
  struct fl_owned *owned = owned_of (call);
  enum fl_call_result result = call_result (answer);
  struct fl_str body = { 0 };
  json_t *json = NULL;

  if (owned == NULL)
    return;
  if (result == FL_CALL_DONE)
    {
      json = fl_json_parse (answer->body.data, answer->body.len, NULL);
      const json_t *text = json_object_get (json, "result");
      if (json == NULL || !json_is_boolean (json_object_get (json, "ok")))
        result = FL_CALL_UNKNOWN; /* not the whole answer */
      else if (json_is_false (json_object_get (json, "ok")))
        result = FL_CALL_FAILED;
      if (json_is_string (text))
        body = (struct fl_str){ json_string_length (text), (char *)json_string_value (text) };
    }
  fl_domain_on_run (owned->domain, call->request, call->attempt, result, &body,
                    fl_node_now (call->sched->node));
  json_decref (json);
}

void
fl_sched_run (void *context, struct fl_target *target, const struct fl_request *request)
{
  struct fl_owned *owned = context;
  struct target_call *call = call_new (owned, target);
  struct fl_name id = fl_request_name (request);
  const struct fl_str *payload = fl_request_payload (request);
  int64_t left_ms = fl_request_deadline_ms (request) - call->asked_ms;
  json_t *body = json_pack ("{s:s,s:I,s:I,s:s%}", "id", id.data, "epoch", (json_int_t)call->epoch,
                            "timeout_ms", (json_int_t)left_ms, "payload", fl_str_text (payload),
                            payload->len);

  call->request = fl_request_id (request);
  call->attempt = fl_request_attempt (request);
  post (owned, target, "/v1/run", body, left_ms, !fl_request_repeatable (request), on_run, call);
}

/* --- tasks --- */

static void
on_started (void *context, const struct fl_http_result *answer)
{
  g_autofree struct target_call *call = context;
  struct fl_owned *owned = owned_of (call);

  if (owned != NULL)
    fl_domain_on_started (owned->domain, &call->task, call_result (answer),
                          fl_node_now (call->sched->node));
}

void
fl_sched_start (void *context, struct fl_target *target, const struct fl_task *task)
{
  struct fl_owned *owned = context;
  struct target_call *call = call_new (owned, target);
  const struct fl_str *payload = fl_task_payload (task);
  int64_t authority_ms = fl_lease_authority_ms (&owned->lease) - call->asked_ms;
  json_int_t not_after_ms = fl_clock_wall_ms () + authority_ms;
  json_t *body = json_pack (
      "{s:s,s:I,s:I,s:I,s:o,s:I,s:s%}", "id", fl_task_id (task).data, "epoch",
      (json_int_t)call->epoch, "lease_ms",
      (json_int_t)fl_node_settings (owned->sched->node)->task_lease_ms, "not_after_wall_ms",
      not_after_ms, "demand", fl_schema_to_json (&fl_resources_schema, fl_task_demand (task)),
      "run_ms", (json_int_t)fl_task_run_ms (task), "payload", fl_str_text (payload), payload->len);

  call->task = fl_task_id (task);
  post (owned, target, "/v1/start", body, COMMAND_TIMEOUT_MS, true, on_started, call);
}

static void
on_stopped (void *context, const struct fl_http_result *answer)
{
  g_autofree struct target_call *call = context;
  struct fl_owned *owned = owned_of (call);
  enum fl_call_result result = FL_CALL_UNKNOWN;
  json_t *json = NULL;

  if (owned == NULL)
    return;
  if (answer->status == 200)
    json = fl_json_parse (answer->body.data, answer->body.len, NULL);
  const char *state = json_string_value (json_object_get (json, "state"));
  if (state != NULL && strcmp (state, "stopped") == 0)
    result = FL_CALL_DONE;
  else if (state != NULL && strcmp (state, "ended") == 0)
    result = FL_CALL_FAILED;
  fl_domain_on_stopped (owned->domain, &call->task, result, fl_node_now (call->sched->node));
  json_decref (json);
}

void
fl_sched_stop (void *context,
               struct fl_target *target,
               const struct fl_name *task_id,
               enum fl_stop_mode mode)
{
  struct fl_owned *owned = context;
  struct target_call *call = call_new (owned, target);
  json_t *body = json_pack ("{s:s,s:I,s:s}", "id", task_id->data, "epoch", (json_int_t)call->epoch,
                            "mode", mode == FL_STOP_CHECKPOINT ? "checkpoint" : "kill");

  call->task = *task_id;
  post (owned, target, "/v1/stop", body, COMMAND_TIMEOUT_MS, true, on_stopped, call);
}

/* --- reports --- */

static const char *
text_of (const json_t *json, const char *name)
{
  const char *text = json_string_value (json_object_get (json, name));

  return text != NULL ? text : "";
}

static GArray *
read_running (const json_t *json)
{
  const json_t *list = json_object_get (json, "running");
  GArray *items = g_array_new (FALSE, FALSE, sizeof (struct fl_inventory_item));
  size_t i;
  json_t *item;

  json_array_foreach (list, i, item)
  {
    struct fl_inventory_item running
        = { fl_name_of (text_of (item, "id")), json_is_true (json_object_get (item, "request")) };
    g_array_append_val (items, running);
  }
  return items;
}

static GArray *
read_events (const json_t *json)
{
  const json_t *list = json_object_get (json, "events");
  GArray *events = g_array_new (FALSE, FALSE, sizeof (struct fl_task_event));
  size_t i;
  json_t *item;

  json_array_foreach (list, i, item)
  {
    struct fl_task_event event
        = { json_integer_value (json_object_get (item, "seq")), fl_name_of (text_of (item, "id")),
            json_is_true (json_object_get (item, "ok")),
            json_is_true (json_object_get (item, "checkpointed")) };
    if (events->len < EVENTS_MAX)
      g_array_append_val (events, event);
  }
  return events;
}

static GArray *
read_usage (const json_t *json)
{
  const json_t *list = json_object_get (json, "usage");
  GArray *usage = g_array_new (FALSE, FALSE, sizeof (struct fl_task_usage));
  size_t i;
  json_t *item;

  json_array_foreach (list, i, item)
  {
    struct fl_task_usage one = { fl_name_of (text_of (item, "id")),
                                 json_integer_value (json_object_get (item, "cpu_milli")),
                                 json_integer_value (json_object_get (item, "memory_mb")) };
    g_array_append_val (usage, one);
  }
  return usage;
}

static void
take_report (struct fl_owned *owned,
             struct fl_target *target,
             const json_t *json,
             const struct target_call *call)
{
  g_autoptr (GArray) running = read_running (json);
  g_autoptr (GArray) events = read_events (json);
  g_autoptr (GArray) usage = read_usage (json);
  struct fl_target_report report
      = { .instance = fl_name_of (text_of (json, "instance")),
          .renewed = call->renews,
          .leaving = json_is_true (json_object_get (json, "leaving")),
          .full = json_is_array (json_object_get (json, "running")),
          .running = (const struct fl_inventory_item *)(void *)running->data,
          .running_count = running->len,
          .events = (const struct fl_task_event *)(void *)events->data,
          .event_count = events->len,
          .usage = (const struct fl_task_usage *)(void *)usage->data,
          .usage_count = usage->len };

  fl_domain_on_report (owned->domain, target, &report, call->asked_ms,
                       fl_node_now (owned->sched->node));
}

static struct fl_poll *
poll_of (struct fl_owned *owned, const struct fl_name *target)
{
  struct fl_poll *poll = g_hash_table_lookup (owned->polls, target);

  if (poll == NULL)
    {
      poll = g_new0 (struct fl_poll, 1);
      poll->want_full = true;
      poll->next_ms = fl_node_now (owned->sched->node) + fl_name_hash (target) % POLL_SPREAD_MS;
      g_hash_table_insert (owned->polls, g_memdup2 (target, sizeof *target), poll);
    }
  return poll;
}

static void
on_polled (void *context, const struct fl_http_result *answer)
{
  g_autofree struct target_call *call = context;
  struct fl_owned *owned = owned_of (call);
  json_t *json = NULL;

  if (owned == NULL)
    return;
  struct fl_target *target = fl_pool_find (fl_domain_pool (owned->domain), &call->target);
  struct fl_poll *poll = poll_of (owned, &call->target);
  int64_t now_ms = fl_node_now (call->sched->node);
  *(call->inspect ? &poll->inspect_open : &poll->open) = false;
  if (target == NULL)
    return;
  if (answer->status == 200)
    json = fl_json_parse (answer->body.data, answer->body.len, NULL);
  if (json != NULL)
    {
      poll->next_ms = now_ms;
      take_report (owned, target, json, call);
      /* Requests that nobody waits for are looked for again until they have ended. */
      poll->want_full = target->state == FL_TARGET_UNKNOWN;
    }
  else if (answer->status != 0 || answer->sent || fl_owned_may_act (owned))
    {
      poll->next_ms = now_ms + SILENT_RETRY_MS;
      poll->want_full = true;
      fl_stats_add (fl_node_stats (call->sched->node), "polls_failed", 1);
      fl_domain_on_silent (owned->domain, target, call->renews, now_ms);
    }
  else
    poll->next_ms = now_ms + SILENT_RETRY_MS; /* withheld for want of authority */
  json_decref (json);
}

static void
send_poll (struct fl_owned *owned, struct fl_target *target, struct fl_poll *poll, bool inspect)
{
  const struct fl_settings *settings = fl_node_settings (owned->sched->node);
  struct target_call *call = call_new (owned, target);
  bool full = inspect || poll->want_full;
  bool renews = fl_domain_renews (target);
  int64_t wait_ms = full ? 0 : settings->poll_wait_ms;
  json_t *body = json_pack ("{s:I,s:I,s:I,s:I,s:b,s:I}", "epoch", (json_int_t)call->epoch,
                            "lease_ms", renews ? (json_int_t)settings->task_lease_ms : 0, "ack",
                            (json_int_t)target->acked, "seen", (json_int_t)target->seen, "full",
                            full, "wait_ms", (json_int_t)wait_ms);

  call->inspect = inspect;
  call->renews = renews;
  *(inspect ? &poll->inspect_open : &poll->open) = true;
  fl_stats_add (fl_node_stats (owned->sched->node), "polls", 1);
  post (owned, target, "/v1/poll", body, wait_ms + (inspect ? INSPECT_TIMEOUT_MS : POLL_GRACE_MS),
        false, on_polled, call);
}

void
fl_sched_inspect (void *context, struct fl_target *target)
{
  struct fl_owned *owned = context;
  struct fl_poll *poll = poll_of (owned, &target->name);

  if (!poll->inspect_open)
    send_poll (owned, target, poll, true);
}

void
fl_owned_tick_polls (struct fl_owned *owned, int64_t now_ms)
{
  struct fl_pool *pool = fl_domain_pool (owned->domain);
  struct fl_target *target;
  size_t cursor = 0;

  if (!fl_owned_may_act (owned))
    return;
  while ((target = fl_pool_next (pool, &cursor)) != NULL)
    {
      struct fl_poll *poll = poll_of (owned, &target->name);
      if (!poll->open && now_ms >= poll->next_ms)
        send_poll (owned, target, poll, false);
    }
}

/* --- the platform's list --- */

void
fl_owned_sync_targets (struct fl_owned *owned)
{
  const struct fl_host_list *list = fl_host_reader_list (owned->sched->hosts);
  const struct fl_host *hosts = list->hosts.items;
  int64_t now_ms = fl_node_now (owned->sched->node);
  g_autoptr (GHashTable) listed = g_hash_table_new (NULL, NULL);
  struct fl_target *target;
  size_t cursor = 0;

  if (owned->domain == NULL)
    return;
  for (size_t i = 0; i < list->hosts.count; i++)
    if (fl_name_eq (&hosts[i].domain, &owned->name))
      {
        target
            = fl_domain_list_target (owned->domain, &hosts[i].name, &hosts[i].label, &hosts[i].rack,
                                     fl_str_text (&hosts[i].url), &hosts[i].capacity,
                                     hosts[i].state == FL_HOST_LEAVING, now_ms);
        g_hash_table_add (listed, target);
      }
  while ((target = fl_pool_next (fl_domain_pool (owned->domain), &cursor)) != NULL)
    if (!g_hash_table_contains (listed, target))
      fl_domain_unlist_target (owned->domain, target, now_ms);
}
