#include "poold/advisors.h"

#include <string.h>

#include <glib.h>

#include "common/bounds.h"
#include "common/clock.h"
#include "common/schema.h"
#include "common/timeout.h"
#include "poold/advisor_pool.h"

/* A call to the service ends after this time. It is not known to hold its host's turn for less when
 * its caller gives up earlier, and a late reply still counts. */
#define CALL_TIMEOUT_MIN_MS 30000
#define CALL_TIMEOUT_MAX_MS 60000
/* Time in which the reply of a peer arrives after its call has ended. */
#define REPLY_MARGIN_MS 1000
/* Least time between two log lines that no host is free. */
#define EXHAUSTED_LOG_INTERVAL_MS 1000

/* --- messages between hosts --- */

struct message_target
{
  struct fl_name id;
  struct fl_name ticket; /* replies only */
};

struct message
{
  bool is_reply;
  int64_t query_number; /* chosen by the querying host */
  struct fl_name step;
  int64_t timeout_ms;
  bool service_replied; /* replies only */
  /* How long the tickets of a reply are valid. In a query, the time that the service is expected to
   * take, 0 when unknown: earlier versions read messages with exactly these fields, send 0 here and
   * ignore it. */
  int64_t valid_ms;
  struct fl_array targets; /* of struct message_target */
};

static const struct fl_field target_fields[] = {
  { "id", FL_NAME, offsetof (struct message_target, id), true, 1, FL_NAME_MAX, 0, NULL, NULL },
  { "ticket", FL_NAME, offsetof (struct message_target, ticket), false, 0, FL_NAME_MAX, 0, NULL,
    NULL },
};
static FL_SCHEMA (target_schema, message_target, target_fields);

static const struct fl_field message_fields[] = {
  { "is_answer", FL_BOOL, offsetof (struct message, is_reply), false, 0, 0, 0, NULL, NULL },
  { "number", FL_INT, offsetof (struct message, query_number), true, 0, INT64_MAX, 0, NULL, NULL },
  { "step", FL_NAME, offsetof (struct message, step), false, 0, FL_NAME_MAX, 0, NULL, NULL },
  { "timeout_ms", FL_INT, offsetof (struct message, timeout_ms), false, 0, CALL_TIMEOUT_MAX_MS, 0,
    NULL, NULL },
  { "answered", FL_BOOL, offsetof (struct message, service_replied), false, 0, 0, 0, NULL, NULL },
  { "valid_ms", FL_INT, offsetof (struct message, valid_ms), false, 0, FL_TICKET_VALID_MAX_MS, 0,
    NULL, NULL },
  { "targets", FL_ARRAY, offsetof (struct message, targets), true, 0, FL_ADVICE_TARGETS_MAX, 0,
    &target_schema, NULL },
};
static FL_SCHEMA (message_schema, message, message_fields);

/* --- objects --- */

/* A query of this host, through itself or a peer. It is kept until its call must have ended, for a
 * reply that is overdue. */
struct query
{
  struct fl_advisors *advisors;
  int64_t number;
  int64_t expected_ms;  /* at most the timeout */
  int64_t timeout_ms;   /* of its call */
  int64_t forgotten_ms; /* when its call has ended */
  bool is_orphaned;     /* sent in an earlier term of this host */
  struct fl_name step;
  struct fl_name targets[FL_ADVICE_TARGETS_MAX];
  size_t target_count;
};

struct fl_advisors
{
  struct fl_advisors_options options;
  struct fl_advisor_pool *pool;
  GHashTable *queries;             /* number -> struct query */
  GHashTable *peer_queries;        /* set of struct peer_query without a result */
  struct fl_timeout overdue_timer; /* when the next reply is overdue */
  int64_t exhausted_logged_ms;
  bool is_draining;
};

/* A query of a peer that this host has passed on to the service. */
struct peer_query
{
  struct fl_advisors *advisors;
  struct fl_route from;
  int64_t query_number;
};

/* @return false if @message was certainly not sent. */
static bool
send_message (struct fl_advisors *advisors,
              const struct fl_route *to,
              const struct message *message)
{
  msgpack_sbuffer buffer;
  bool sent;

  msgpack_sbuffer_init (&buffer);
  fl_schema_encode (&message_schema, message, &buffer);
  sent = advisors->options.send (advisors->options.context, to, buffer.data, buffer.size);
  if (!sent)
    fl_stats_add (advisors->options.host->stats, "advice_messages_unsent_total", 1);
  msgpack_sbuffer_destroy (&buffer);
  return sent;
}

/* --- queries of this host --- */

static int64_t
get_now (const struct fl_advisors *advisors)
{
  return fl_clock_now (&advisors->options.clock);
}

static void
set_overdue_timer (struct fl_advisors *advisors)
{
  int64_t overdue_ms = fl_advisor_pool_next_overdue_ms (advisors->pool);
  int64_t wait_ms = MAX (overdue_ms - get_now (advisors), 0);

  if (overdue_ms == INT64_MAX)
    fl_timeout_stop (&advisors->overdue_timer);
  /* One that is due already may be waiting for unread replies. */
  else if (wait_ms > 0 || !ev_is_active (&advisors->overdue_timer.timer))
    fl_timeout_start (&advisors->overdue_timer, wait_ms);
}

/* Hands the result of @query to the caller. */
static void
return_reply (const struct query *query,
              const struct fl_advisor_query *ended,
              const struct fl_advice_reply *reply,
              bool is_late)
{
  struct fl_advisors *advisors = query->advisors;
  struct fl_advice_reply result = *reply;

  result.is_late = is_late || query->is_orphaned;
  result.host = ended->host;
  result.took_ms = get_now (advisors) - ended->sent_ms;
  if (reply->received)
    fl_stats_record (advisors->options.host->stats, "advice_ms", result.took_ms);
  else if (!is_late)
    {
      fl_stats_add (advisors->options.host->stats, "advice_unanswered_total", 1);
      fl_log (&advisors->options.host->log, FL_LOG_INFO, "advice_unanswered",
              FL_N ("step", &query->step), FL_I ("query", ended->number),
              FL_N ("host", &ended->host), FL_I ("after_ms", result.took_ms),
              FL_I ("expected_ms", ended->expected_ms));
    }
  advisors->options.on_reply (advisors->options.context, &query->step, query->targets,
                              query->target_count, &result);
}

static gboolean
is_forgotten (void *number, void *value, void *now_ms)
{
  (void)number;
  return ((struct query *)value)->forgotten_ms <= *(int64_t *)now_ms;
}

static void
on_overdue_timer (void *context)
{
  static const struct fl_advice_reply no_reply = { 0 };
  struct fl_advisors *advisors = context;
  const struct fl_advisors_options *options = &advisors->options;
  struct fl_advisor_query overdue;
  int64_t now_ms = get_now (advisors);

  while (fl_advisor_pool_take_overdue (advisors->pool, now_ms, &overdue))
    {
      if (overdue.address.len > 0)
        options->check_peer (options->context, &overdue.address, overdue.sent_ms);
      const struct query *query = g_hash_table_lookup (advisors->queries, &overdue.number);
      if (query != NULL)
        return_reply (query, &overdue, &no_reply, false);
    }
  g_hash_table_foreach_remove (advisors->queries, is_forgotten, &now_ms);
  set_overdue_timer (advisors);
}

static void
log_late_reply (const struct query *query, const struct fl_advisor_query *ended, bool received)
{
  const struct fl_host *host = query->advisors->options.host;

  fl_stats_add (host->stats, "advice_late_total", 1);
  fl_log (&host->log, FL_LOG_INFO, "advice_late", FL_N ("step", &query->step),
          FL_I ("query", query->number), FL_N ("host", &ended->host),
          FL_I ("after_ms", get_now (query->advisors) - ended->sent_ms),
          FL_I ("received", received));
}

/* Handles the reply to the query @number. */
static void
finish_query (struct fl_advisors *advisors, int64_t number, const struct fl_advice_reply *reply)
{
  struct query *query = g_hash_table_lookup (advisors->queries, &number);
  struct fl_advisor_query ended;
  enum fl_advisor_match match = fl_advisor_pool_finish (advisors->pool, number, reply->received,
                                                        get_now (advisors), &ended);

  if (query == NULL)
    return;
  g_hash_table_steal (advisors->queries, &number);
  if (match == FL_ADVISOR_OVERDUE)
    log_late_reply (query, &ended, reply->received);
  if (match != FL_ADVISOR_UNKNOWN)
    return_reply (query, &ended, reply, match == FL_ADVISOR_OVERDUE);
  g_free (query);
  set_overdue_timer (advisors);
}

/* A call of this host to the service. */
struct own_call
{
  struct fl_advisors *advisors;
  int64_t number;
};

static void
on_own_call_reply (void *context, const struct fl_advice_reply *reply)
{
  struct own_call *call = context;

  finish_query (call->advisors, call->number, reply);
  g_free (call);
}

static void
query_service (const struct query *query)
{
  const struct fl_advice_calls *calls = query->advisors->options.calls;
  struct own_call *call = g_new0 (struct own_call, 1);

  *call = (struct own_call){ query->advisors, query->number };
  calls->query (calls->context, &query->step, query->targets, query->target_count,
                query->expected_ms, query->timeout_ms, on_own_call_reply, call);
}

static bool
send_to_peer (const struct query *query, const struct fl_name *address)
{
  struct message_target targets[FL_ADVICE_TARGETS_MAX] = { 0 };
  struct message message = { .query_number = query->number,
                             .step = query->step,
                             .timeout_ms = query->timeout_ms,
                             .valid_ms = query->expected_ms,
                             .targets = { query->target_count, targets } };
  struct fl_route to = { .address = *address };

  for (size_t i = 0; i < query->target_count; i++)
    targets[i].id = query->targets[i];
  return send_message (query->advisors, &to, &message);
}

/* @return false if @query was certainly not sent. */
static bool
send_query (const struct query *query, const struct fl_advisor_query *chosen)
{
  if (chosen->address.len > 0)
    return send_to_peer (query, &chosen->address);
  query_service (query);
  return true;
}

/* Logs how many hosts are in which state, at most once a second. */
static void
log_hosts_exhausted (struct fl_advisors *advisors, int64_t now_ms)
{
  struct fl_advisor_counts counts;

  fl_stats_add (advisors->options.host->stats, "advice_no_host_total", 1);
  if (now_ms - advisors->exhausted_logged_ms < EXHAUSTED_LOG_INTERVAL_MS)
    return;
  advisors->exhausted_logged_ms = now_ms;
  counts = fl_advisor_pool_count (advisors->pool, now_ms);
  fl_log (&advisors->options.host->log, FL_LOG_INFO, "advice_hosts_exhausted",
          FL_I ("free", counts.free), FL_I ("in_use", counts.in_use),
          FL_I ("backing_off", counts.backing_off));
}

int
fl_advisors_count_usable (const struct fl_advisors *advisors)
{
  struct fl_advisor_counts counts = fl_advisor_pool_count (advisors->pool, fl_clock_boot_ms ());

  return counts.free + counts.in_use;
}

bool
fl_advisors_are_available (struct fl_advisors *advisors, const struct fl_advice_demand *demand)
{
  int64_t now_ms = get_now (advisors);
  bool available = fl_advisor_pool_is_available (advisors->pool, demand, now_ms);

  if (!available)
    log_hosts_exhausted (advisors, now_ms);
  return available;
}

bool
fl_advisors_send_query (struct fl_advisors *advisors,
                        const struct fl_name *step,
                        const struct fl_name *targets,
                        size_t count,
                        const struct fl_advice_demand *demand)
{
  struct fl_advisor_query chosen;
  struct query *query;

  if (count > FL_ADVICE_TARGETS_MAX)
    return false;
  query = g_new0 (struct query, 1);
  *query = (struct query){ .advisors = advisors, .step = *step, .target_count = count };
  memcpy (query->targets, targets, count * sizeof targets[0]);
  while (fl_advisor_pool_begin (advisors->pool, demand, get_now (advisors), &chosen))
    {
      query->number = chosen.number;
      query->timeout_ms = CLAMP (2 * demand->expected_ms, CALL_TIMEOUT_MIN_MS, CALL_TIMEOUT_MAX_MS);
      query->expected_ms = CLAMP (demand->expected_ms, 0, query->timeout_ms);
      query->forgotten_ms = chosen.sent_ms + query->timeout_ms + REPLY_MARGIN_MS;
      if (send_query (query, &chosen))
        {
          g_hash_table_insert (advisors->queries, &query->number, query);
          set_overdue_timer (advisors);
          return true;
        }
      fl_advisor_pool_cancel (advisors->pool, chosen.number, get_now (advisors));
    }
  g_free (query);
  return false;
}

/* --- messages of peers --- */

void
fl_advisors_note_message (struct fl_advisors *advisors, const struct fl_name *peer)
{
  fl_advisor_pool_note_message (advisors->pool, peer, get_now (advisors));
}

void
fl_advisors_note_reconnect (struct fl_advisors *advisors, const struct fl_name *address)
{
  fl_advisor_pool_note_reconnect (advisors->pool, address, get_now (advisors));
}

static void
handle_reply (struct fl_advisors *advisors, const struct message *message)
{
  const struct message_target *targets = message->targets.items;
  struct fl_advised_target rows[FL_ADVICE_TARGETS_MAX];
  struct fl_advice_reply reply = { .received = message->service_replied,
                                   .targets = rows,
                                   .count = message->targets.count,
                                   .tickets_valid_ms = message->valid_ms };

  for (size_t i = 0; i < message->targets.count; i++)
    rows[i] = (struct fl_advised_target){ targets[i].id, targets[i].ticket };
  finish_query (advisors, message->query_number, &reply);
}

static const struct fl_advice_reply no_advice = { 0 };

/* Returns the result of @query unless it has been returned already. */
static void
return_result (struct peer_query *query, const struct fl_advice_reply *reply)
{
  struct message_target targets[FL_ADVICE_TARGETS_MAX] = { 0 };
  size_t count = MIN (reply->count, FL_ADVICE_TARGETS_MAX);
  struct message message = { .is_reply = true,
                             .query_number = query->query_number,
                             .service_replied = reply->received,
                             .valid_ms = reply->tickets_valid_ms,
                             .targets = { count, targets } };

  if (!g_hash_table_remove (query->advisors->peer_queries, query))
    return;
  for (size_t i = 0; i < count; i++)
    targets[i] = (struct message_target){ reply->targets[i].target, reply->targets[i].ticket };
  send_message (query->advisors, &query->from, &message);
}

static void
on_peer_query_reply (void *context, const struct fl_advice_reply *reply)
{
  return_result (context, reply);
  g_free (context);
}

static void
serve_query (struct fl_advisors *advisors,
             const struct fl_route *from,
             const struct message *message)
{
  const struct fl_advice_calls *calls = advisors->options.calls;
  const struct message_target *targets = message->targets.items;
  struct fl_name ids[FL_ADVICE_TARGETS_MAX];
  struct peer_query *query = g_new0 (struct peer_query, 1);

  *query = (struct peer_query){ advisors, *from, message->query_number };
  g_hash_table_add (advisors->peer_queries, query);
  if (advisors->is_draining)
    {
      on_peer_query_reply (query, &no_advice);
      return;
    }
  for (size_t i = 0; i < message->targets.count; i++)
    ids[i] = targets[i].id;
  calls->query (calls->context, &message->step, ids, message->targets.count, message->valid_ms,
                message->timeout_ms, on_peer_query_reply, query);
}

void
fl_advisors_receive (struct fl_advisors *advisors,
                     const struct fl_route *from,
                     const char *data,
                     size_t len)
{
  struct message message;
  struct fl_error error = { 0 };

  if (!fl_schema_decode (&message_schema, data, len, &message, &error))
    {
      fl_stats_add (advisors->options.host->stats, "messages_malformed_total", 1);
      fl_log (&advisors->options.host->log, FL_LOG_WARNING, "message_malformed",
              FL_N ("peer", &from->address), FL_S ("text", error.text));
    }
  else if (message.is_reply)
    handle_reply (advisors, &message);
  else
    serve_query (advisors, from, &message);
  fl_schema_clear (&message_schema, &message);
}

void
fl_advisors_orphan_queries (struct fl_advisors *advisors)
{
  GHashTableIter iter;
  void *query;

  g_hash_table_iter_init (&iter, advisors->queries);
  while (g_hash_table_iter_next (&iter, NULL, &query))
    ((struct query *)query)->is_orphaned = true;
}

void
fl_advisors_drain (struct fl_advisors *advisors)
{
  GHashTableIter iter;
  void *query;
  g_autoptr (GPtrArray) queries = g_ptr_array_new ();

  advisors->is_draining = true;
  g_hash_table_iter_init (&iter, advisors->peer_queries);
  while (g_hash_table_iter_next (&iter, &query, NULL))
    g_ptr_array_add (queries, query);
  for (guint i = 0; i < queries->len; i++)
    return_result (g_ptr_array_index (queries, i), &no_advice);
}

/* --- hosts --- */

void
fl_advisors_dump (const struct fl_advisors *advisors, GString *out)
{
  fl_advisor_pool_dump (advisors->pool, get_now (advisors), out);
}

void
fl_advisors_set_peer (struct fl_advisors *advisors,
                      const struct fl_name *host,
                      const struct fl_name *address)
{
  fl_advisor_pool_set_peer (advisors->pool, host, address);
}

struct fl_advisors *
fl_advisors_new (const struct fl_advisors_options *options)
{
  struct fl_advisors *advisors = g_new0 (struct fl_advisors, 1);

  advisors->options = *options;
  advisors->pool = fl_advisor_pool_new (&options->host->settings.name);
  advisors->queries = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  advisors->peer_queries = g_hash_table_new (NULL, NULL);
  fl_timeout_init (&advisors->overdue_timer, options->host->loop, on_overdue_timer, advisors);
  return advisors;
}

void
fl_advisors_free (struct fl_advisors *advisors)
{
  if (advisors == NULL)
    return;
  fl_timeout_stop (&advisors->overdue_timer);
  fl_advisor_pool_free (advisors->pool);
  g_hash_table_destroy (advisors->queries);
  g_hash_table_destroy (advisors->peer_queries);
  g_free (advisors);
}
