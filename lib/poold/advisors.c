#include "poold/advisors.h"

#include <string.h>

#include <glib.h>

#include "common/clock.h"
#include "common/schema.h"

/* Queries expected to take longer than this leave some hosts free for shorter ones. */
#define LONG_QUERY_MS 150
/* Enough for the short queries: about 20 a second, which take about 30 ms each. With few hosts, at
 * most half of them are left free. */
#define RESERVED_HOSTS 2
/* How long hosts are left free after the last short query was wanted. A short query that comes
 * after a longer pause waits for a long one at most, which takes about as long. */
#define RESERVE_MS 500
/* A query times out when its reply takes this much longer than expected. */
#define REPLY_SLACK_MS 600
/* A peer's call to the service ends this much earlier than the query, so that the peer can tell. */
#define PEER_REPLY_MS 100
/* After a query without a reply its host gets no other query for this long. */
#define TIMEOUT_BACKOFF_MS 2000
/* The same after a query that could not be sent: the link to the host is down, and reconnects
 * within a second once the host is back. */
#define UNSENT_BACKOFF_MS 1000

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
  { "timeout_ms", FL_INT, offsetof (struct message, timeout_ms), false, 0, 60000, 0, NULL, NULL },
  { "answered", FL_BOOL, offsetof (struct message, service_replied), false, 0, 0, 0, NULL, NULL },
  { "valid_ms", FL_INT, offsetof (struct message, valid_ms), false, 0, 600000, 0, NULL, NULL },
  { "targets", FL_ARRAY, offsetof (struct message, targets), true, 0, FL_ADVICE_TARGETS_MAX, 0,
    &target_schema, NULL },
};
static FL_SCHEMA (message_schema, message, message_fields);

/* --- objects --- */

/* A host, this one or a peer, that passes one query at a time to the advice service. */
struct advisor
{
  struct fl_advisors *advisors;
  struct fl_name host;
  struct fl_name address; /* empty for this host */
  bool busy;
  int64_t backoff_until_ms;
  bool has_replied;     /* to the query before the one in flight */
  bool is_unheard_of;   /* the last query timed out, and no message has come since */
  int64_t query_number; /* of the query in flight */
  struct fl_name step;
  struct fl_name queried[FL_ADVICE_TARGETS_MAX];
  size_t queried_count;
  ev_timer timeout;
};

struct fl_advisors
{
  struct fl_advisors_options options;
  GHashTable *hosts; /* host name -> struct advisor */
  int64_t last_query_number;
  int64_t backoffs_until_ms; /* of all hosts */
  int64_t reserved_until_ms; /* hosts are left free for short queries until then */
  GHashTable *peer_queries;  /* set of struct peer_query without a result */
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

static void
finish_query (struct advisor *advisor, const struct fl_advice_reply *reply)
{
  struct fl_advisors *advisors = advisor->advisors;

  advisor->busy = false;
  ev_timer_stop (advisors->options.host->loop, &advisor->timeout);
  advisor->has_replied = reply->received;
  if (!reply->received)
    {
      advisor->backoff_until_ms = fl_clock_now (&advisors->options.clock) + TIMEOUT_BACKOFF_MS;
      advisors->backoffs_until_ms = MAX (advisors->backoffs_until_ms, advisor->backoff_until_ms);
      fl_stats_add (advisors->options.host->stats, "advice_unanswered_total", 1);
      fl_log (&advisors->options.host->log, FL_LOG_INFO, "advice_unanswered",
              FL_N ("step", &advisor->step), FL_N ("host", &advisor->host));
    }
  advisors->options.on_reply (advisors->options.context, &advisor->step, advisor->queried,
                              advisor->queried_count, reply);
}

static void
on_timeout (struct ev_loop *loop, ev_timer *timer, int events)
{
  static const struct fl_advice_reply no_reply = { 0 };
  struct advisor *advisor = timer->data;

  (void)loop;
  (void)events;
  advisor->is_unheard_of = advisor->has_replied;
  finish_query (advisor, &no_reply);
}

/* A query that this host sent itself. Its reply is ignored if it timed out: the advisor then has no
 * query in flight, or one with another number. */
struct local_query
{
  struct advisor *advisor;
  int64_t query_number;
};

static void
on_local_reply (void *context, const struct fl_advice_reply *reply)
{
  struct local_query *query = context;

  if (query->advisor->busy && query->advisor->query_number == query->query_number)
    finish_query (query->advisor, reply);
  g_free (query);
}

static void
query_service (struct advisor *advisor, int64_t timeout_ms)
{
  const struct fl_advice_calls *calls = advisor->advisors->options.calls;
  struct local_query *query = g_new0 (struct local_query, 1);

  *query = (struct local_query){ advisor, advisor->query_number };
  calls->query (calls->context, &advisor->step, advisor->queried, advisor->queried_count,
                timeout_ms, on_local_reply, query);
}

static bool
send_to_peer (struct advisor *advisor, int64_t timeout_ms)
{
  struct message_target targets[FL_ADVICE_TARGETS_MAX] = { 0 };
  struct message message = { .query_number = advisor->query_number,
                             .step = advisor->step,
                             .timeout_ms = timeout_ms - PEER_REPLY_MS,
                             .targets = { advisor->queried_count, targets } };
  struct fl_route to = { .address = advisor->address };

  for (size_t i = 0; i < advisor->queried_count; i++)
    targets[i].id = advisor->queried[i];
  return send_message (advisor->advisors, &to, &message);
}

static bool
is_free (const struct advisor *advisor, int64_t now_ms)
{
  return !advisor->busy && now_ms >= advisor->backoff_until_ms;
}

/* @return how many of @used_count hosts stay free when a long query is sent. */
static int
count_reserved (const struct fl_advisors *advisors, int used_count, int64_t now_ms)
{
  return now_ms < advisors->reserved_until_ms ? MIN (RESERVED_HOSTS, (used_count - 1) / 2) : 0;
}

/* @return a free host for a query, or NULL. Peers are preferred, since this host needs its
 * processor for decisions. */
static struct advisor *
choose_advisor (struct fl_advisors *advisors, bool is_long)
{
  int64_t now_ms = fl_clock_now (&advisors->options.clock);
  struct advisor *best = NULL;
  int free_count = 0;
  int used_count = 0; /* hosts that have not failed recently */
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, advisors->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct advisor *advisor = value;
      if (now_ms >= advisor->backoff_until_ms)
        used_count++;
      if (!is_free (advisor, now_ms))
        continue;
      free_count++;
      if (best == NULL || best->address.len == 0)
        best = advisor;
    }
  if (!is_long)
    advisors->reserved_until_ms = now_ms + RESERVE_MS;
  else if (free_count <= count_reserved (advisors, used_count, now_ms))
    return NULL;
  return best;
}

bool
fl_advisors_are_available (struct fl_advisors *advisors, int64_t least_ms)
{
  return choose_advisor (advisors, least_ms > LONG_QUERY_MS) != NULL;
}

static void
prepare_query (struct advisor *advisor,
               const struct fl_name *step,
               const struct fl_name *targets,
               size_t count)
{
  advisor->is_unheard_of = false;
  advisor->query_number = ++advisor->advisors->last_query_number;
  advisor->step = *step;
  memcpy (advisor->queried, targets, count * sizeof targets[0]);
  advisor->queried_count = count;
}

/* @return false if the prepared query of @advisor was certainly not sent. */
static bool
send_query (struct advisor *advisor, int64_t timeout_ms)
{
  if (advisor->address.len > 0)
    return send_to_peer (advisor, timeout_ms);
  query_service (advisor, timeout_ms);
  return true;
}

bool
fl_advisors_send_query (struct fl_advisors *advisors,
                        const struct fl_name *step,
                        const struct fl_name *targets,
                        size_t count,
                        int64_t expected_ms)
{
  int64_t timeout_ms = expected_ms + REPLY_SLACK_MS;
  struct advisor *advisor;

  if (count > FL_ADVICE_TARGETS_MAX)
    return false;
  while ((advisor = choose_advisor (advisors, expected_ms > LONG_QUERY_MS)) != NULL)
    {
      prepare_query (advisor, step, targets, count);
      if (send_query (advisor, timeout_ms))
        {
          advisor->busy = true;
          ev_timer_set (&advisor->timeout, (double)timeout_ms / 1000.0, 0.0);
          ev_timer_start (advisors->options.host->loop, &advisor->timeout);
          return true;
        }
      advisor->backoff_until_ms = fl_clock_now (&advisors->options.clock) + UNSENT_BACKOFF_MS;
    }
  return false;
}

/* --- messages of peers --- */

void
fl_advisors_note_message (struct fl_advisors *advisors, const struct fl_name *peer)
{
  int64_t now_ms = fl_clock_now (&advisors->options.clock);
  GHashTableIter iter;
  void *value;

  if (now_ms >= advisors->backoffs_until_ms)
    return;
  g_hash_table_iter_init (&iter, advisors->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct advisor *advisor = value;
      if (!advisor->is_unheard_of || !fl_name_eq (&advisor->address, peer))
        continue;
      advisor->is_unheard_of = false;
      advisor->backoff_until_ms = now_ms;
    }
}

static void
handle_reply (struct fl_advisors *advisors, const struct message *message)
{
  const struct message_target *targets = message->targets.items;
  struct fl_advised_target rows[FL_ADVICE_TARGETS_MAX];
  struct fl_advice_reply reply
      = { message->service_replied, rows, message->targets.count, message->valid_ms };
  GHashTableIter iter;
  void *value;

  for (size_t i = 0; i < message->targets.count; i++)
    rows[i] = (struct fl_advised_target){ targets[i].id, targets[i].ticket };
  g_hash_table_iter_init (&iter, advisors->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct advisor *advisor = value;
      if (advisor->busy && advisor->query_number == message->query_number)
        {
          finish_query (advisor, &reply);
          return;
        }
    }
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
  calls->query (calls->context, &message->step, ids, message->targets.count, message->timeout_ms,
                on_peer_query_reply, query);
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

static void
advisor_free (void *data)
{
  struct advisor *advisor = data;

  ev_timer_stop (advisor->advisors->options.host->loop, &advisor->timeout);
  g_free (advisor);
}

static struct advisor *
get_advisor (struct fl_advisors *advisors, const struct fl_name *host)
{
  struct advisor *advisor = g_hash_table_lookup (advisors->hosts, host);

  if (advisor == NULL)
    {
      advisor = g_new0 (struct advisor, 1);
      advisor->advisors = advisors;
      advisor->host = *host;
      ev_timer_init (&advisor->timeout, on_timeout, 0.0, 0.0);
      advisor->timeout.data = advisor;
      g_hash_table_insert (advisors->hosts, &advisor->host, advisor);
    }
  return advisor;
}

void
fl_advisors_set_peer (struct fl_advisors *advisors,
                      const struct fl_name *host,
                      const struct fl_name *address)
{
  get_advisor (advisors, host)->address = *address;
}

struct fl_advisors *
fl_advisors_new (const struct fl_advisors_options *options)
{
  struct fl_advisors *advisors = g_new0 (struct fl_advisors, 1);

  advisors->options = *options;
  advisors->hosts = g_hash_table_new_full (fl_name_hash, fl_name_equal, NULL, advisor_free);
  advisors->peer_queries = g_hash_table_new (NULL, NULL);
  get_advisor (advisors, &options->host->settings.name);
  return advisors;
}

void
fl_advisors_free (struct fl_advisors *advisors)
{
  if (advisors == NULL)
    return;
  g_hash_table_destroy (advisors->hosts);
  g_hash_table_destroy (advisors->peer_queries);
  g_free (advisors);
}
