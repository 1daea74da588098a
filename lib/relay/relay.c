#include "relay/relay.h"

#include <string.h>

#include <glib.h>

#include "common/clock.h"
#include "job/job_spec.h"
#include "net/link.h"
#include "relay/message.h"
#include "relay/path.h"
#include "store/tables.h"

/* Peers that this host keeps connections to: with a third of all hosts in the same trouble, one of
 * four is of use in 99 of 100 cases. */
#define PEERS_MAX 4
/* A peer that could not carry a call is left out for this long. */
#define PEER_PAUSE_MS 500
/* Time between looks at the list of hosts. After the first, at the start, the next comes when all
 * had time to announce themselves. */
#define LIST_MS 15000
#define LIST_SECOND_MS 1000
#define LIST_TIMEOUT_MS 1000
#define TICK_MS 100
/* The answer of a peer may take this much longer than that of the store: two ways between hosts. */
#define PEER_SLACK_MS 50
#define LINK_QUEUE_MAX 1000

/* A host's row. */
struct host_row
{
  struct fl_name address; /* of its link */
  int64_t cpu_milli;
};

static const struct fl_field host_fields[] = {
  { "address", FL_NAME, offsetof (struct host_row, address), true, 1, FL_NAME_MAX, 0, NULL, NULL },
  { "cpu_milli", FL_INT, offsetof (struct host_row, cpu_milli), false, 0, INT32_MAX, 0, NULL,
    NULL },
};
static FL_SCHEMA (host_schema, host_row, host_fields);

struct peer
{
  struct fl_name address; /* of its link */
  int64_t paused_until_ms;
};

struct fl_relay
{
  struct fl_relay_options options;
  struct fl_store interface;
  struct fl_store_path path;
  struct fl_link *link;
  ev_timer tick;
  GArray *peers;    /* struct peer */
  size_t next_peer; /* they take turns */
  GHashTable *open; /* number -> struct peer_call */
  int64_t last_number;
  int64_t list_at_ms;  /* when the list of hosts is read next */
  int64_t largest_cpu; /* of the hosts listed */
  bool listing;
  bool listed_once;
  bool announced;
  bool announcing;
};

/* A call sent directly. */
struct direct_call
{
  struct fl_relay *relay;
  bool is_prompt; /* the store answers at once */
  void (*done) (void *context, const struct fl_store_reply *reply);
  void *context;
};

/* A call that a peer carries. */
struct peer_call
{
  struct fl_relay *relay;
  int64_t number;
  struct fl_name peer;
  ev_timer timeout;
  void (*done) (void *context, const struct fl_store_reply *reply);
  void *context;
};

/* A call of another host that this one carries. */
struct carried_call
{
  struct fl_relay *relay;
  struct fl_route from;
  int64_t number;
};

/* --- peers --- */

static void
pause_peer (struct fl_relay *relay, const struct fl_name *address)
{
  for (guint i = 0; i < relay->peers->len; i++)
    {
      struct peer *peer = &g_array_index (relay->peers, struct peer, i);
      if (fl_name_eq (&peer->address, address))
        peer->paused_until_ms = fl_clock_boot_ms () + PEER_PAUSE_MS;
    }
}

static bool
send_message (struct fl_relay *relay,
              const struct fl_route *to,
              const struct fl_relay_message *message)
{
  msgpack_sbuffer buffer;
  bool sent;

  msgpack_sbuffer_init (&buffer);
  fl_relay_encode (message, &buffer);
  sent = fl_link_send (relay->link, to, buffer.data, buffer.size);
  msgpack_sbuffer_destroy (&buffer);
  return sent;
}

/* Sends @message to the next peer that may be of use. @return it, or NULL without any. */
static const struct peer *
send_to_peer (struct fl_relay *relay, const struct fl_relay_message *message)
{
  int64_t now_ms = fl_clock_boot_ms ();

  for (guint i = 0; i < relay->peers->len; i++)
    {
      size_t index = relay->next_peer++ % relay->peers->len;
      struct peer *peer = &g_array_index (relay->peers, struct peer, index);
      struct fl_route to = { .address = peer->address };
      if (now_ms < peer->paused_until_ms)
        continue;
      if (send_message (relay, &to, message))
        return peer;
      peer->paused_until_ms = now_ms + PEER_PAUSE_MS;
    }
  return NULL;
}

static void
finish_peer_call (struct peer_call *call, const struct fl_store_reply *reply)
{
  struct fl_relay *relay = call->relay;

  if (reply->status == FL_STORE_REFUSED || reply->status == FL_STORE_UNKNOWN)
    pause_peer (relay, &call->peer);
  ev_timer_stop (relay->options.loop, &call->timeout);
  g_hash_table_steal (relay->open, &call->number);
  call->done (call->context, reply);
  g_free (call);
}

static void
on_peer_timeout (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct peer_call *call = timer->data;
  struct fl_store_reply reply = { .status = FL_STORE_UNKNOWN };

  (void)loop;
  (void)events;
  fl_fail (&reply.error, FL_UNAVAILABLE, "relay_call", call->peer.data, "no answer of the peer");
  finish_peer_call (call, &reply);
}

/* Has a peer carry @message. @return false when there is none that could. */
static bool
call_peer (struct fl_relay *relay,
           struct fl_relay_message *message,
           int64_t timeout_ms,
           void (*done) (void *context, const struct fl_store_reply *reply),
           void *done_context)
{
  const struct peer *peer;
  struct peer_call *call;

  message->number = ++relay->last_number;
  message->timeout_ms = timeout_ms;
  peer = send_to_peer (relay, message);
  if (peer == NULL)
    return false;
  call = g_new0 (struct peer_call, 1);
  *call = (struct peer_call){ .relay = relay,
                              .number = message->number,
                              .peer = peer->address,
                              .done = done,
                              .context = done_context };
  ev_timer_init (&call->timeout, on_peer_timeout, (double)(timeout_ms + PEER_SLACK_MS) / 1000.0,
                 0.0);
  call->timeout.data = call;
  ev_timer_start (relay->options.loop, &call->timeout);
  g_hash_table_insert (relay->open, &call->number, call);
  fl_stats_add (relay->options.stats, "store_calls_relayed_total", 1);
  return true;
}

static void
on_answer (struct fl_relay *relay, const struct fl_relay_message *message)
{
  const struct fl_relay_row *rows = message->rows.items;
  struct peer_call *call = g_hash_table_lookup (relay->open, &message->number);
  struct fl_store_reply reply = { .status = (enum fl_store_status)message->status,
                                  .count = message->rows.count,
                                  .version = message->version,
                                  .more = message->more };

  if (call == NULL)
    return;
  if (message->problem.len > 0)
    fl_fail (&reply.error, FL_UNAVAILABLE, "relay_call", call->peer.data, "%s",
             message->problem.data);
  reply.rows = g_new0 (struct fl_store_row, reply.count + 1);
  for (size_t i = 0; i < reply.count; i++)
    reply.rows[i] = (struct fl_store_row){ .table = rows[i].table,
                                           .part = rows[i].part,
                                           .key = rows[i].key,
                                           .version = rows[i].version,
                                           .removed = rows[i].removed,
                                           .value = rows[i].value };
  finish_peer_call (call, &reply);
  g_free (reply.rows);
}

/* --- direct calls --- */

static void
note_path (struct fl_relay *relay, bool was_broken)
{
  if (relay->path.is_broken == was_broken)
    return;
  fl_stats_set (relay->options.stats, "store_path_broken", relay->path.is_broken ? 1 : 0);
  fl_log (relay->options.log, FL_LOG_NOTICE,
          relay->path.is_broken ? "store_path_broken" : "store_path_whole",
          FL_I ("peers", relay->peers->len));
}

static bool
is_served (enum fl_store_status status)
{
  return status != FL_STORE_REFUSED && status != FL_STORE_UNKNOWN;
}

static void
on_direct_answer (void *context, const struct fl_store_reply *reply)
{
  struct direct_call *call = context;
  struct fl_relay *relay = call->relay;
  bool was_broken = relay->path.is_broken;

  if (!call->is_prompt)
    fl_store_path_sent (&relay->path, fl_clock_boot_ms ());
  fl_store_path_answered (&relay->path, is_served (reply->status), fl_clock_boot_ms ());
  note_path (relay, was_broken);
  call->done (call->context, reply);
  g_free (call);
}

static struct direct_call *
direct_call_new (struct fl_relay *relay,
                 bool is_prompt,
                 void (*done) (void *context, const struct fl_store_reply *reply),
                 void *done_context)
{
  struct direct_call *call = g_new0 (struct direct_call, 1);

  *call = (struct direct_call){ relay, is_prompt, done, done_context };
  if (is_prompt)
    fl_store_path_sent (&relay->path, fl_clock_boot_ms ());
  return call;
}

static bool
goes_directly (struct fl_relay *relay)
{
  bool was_broken = relay->path.is_broken;
  bool is_whole = fl_store_path_is_whole (&relay->path, fl_clock_boot_ms ());

  note_path (relay, was_broken);
  return is_whole || relay->peers->len == 0;
}

/* --- the store's interface --- */

static void
transact (void *context,
          const struct fl_store_transaction *transaction,
          int64_t timeout_ms,
          void (*done) (void *context, const struct fl_store_reply *reply),
          void *done_context)
{
  struct fl_relay *relay = context;
  const struct fl_store *direct = relay->options.direct;

  if (!goes_directly (relay))
    {
      struct fl_relay_message message = fl_relay_of_transaction (transaction);
      bool carried = call_peer (relay, &message, timeout_ms, done, done_context);
      fl_relay_release (&message);
      if (carried)
        return;
    }
  direct->transact (direct->context, transaction, timeout_ms, on_direct_answer,
                    direct_call_new (relay, true, done, done_context));
}

static void
read_range (void *context,
            const char *table,
            const char *part,
            const char *from,
            const char *to,
            int64_t timeout_ms,
            void (*done) (void *context, const struct fl_store_reply *reply),
            void *done_context)
{
  struct fl_relay *relay = context;
  const struct fl_store *direct = relay->options.direct;
  struct fl_relay_message message = { .call = FL_RELAY_READ,
                                      .table = fl_name_of (table),
                                      .part = fl_name_of (part),
                                      .from = fl_name_of (from),
                                      .to = fl_name_of (to) };

  if (goes_directly (relay) || !call_peer (relay, &message, timeout_ms, done, done_context))
    direct->read (direct->context, table, part, from, to, timeout_ms, on_direct_answer,
                  direct_call_new (relay, true, done, done_context));
}

static void
feed (void *context,
      const char *table,
      int64_t after,
      int64_t wait_ms,
      int64_t timeout_ms,
      void (*done) (void *context, const struct fl_store_reply *reply),
      void *done_context)
{
  struct fl_relay *relay = context;
  const struct fl_store *direct = relay->options.direct;
  struct fl_relay_message message
      = { .call = FL_RELAY_FEED, .table = fl_name_of (table), .after = after, .wait_ms = wait_ms };

  if (goes_directly (relay) || !call_peer (relay, &message, timeout_ms, done, done_context))
    direct->feed (direct->context, table, after, wait_ms, timeout_ms, on_direct_answer,
                  direct_call_new (relay, false, done, done_context));
}

/* --- calls of other hosts --- */

static void
answer_peer (struct carried_call *call, const struct fl_store_reply *reply)
{
  struct fl_relay_message message = fl_relay_of_reply (reply);

  message.number = call->number;
  if (!send_message (call->relay, &call->from, &message))
    fl_stats_add (call->relay->options.stats, "relay_answers_unsent_total", 1);
  fl_relay_release (&message);
  g_free (call);
}

static void
on_carried (void *context, const struct fl_store_reply *reply)
{
  answer_peer (context, reply);
}

static void
carry_transaction (struct fl_relay *relay,
                   const struct fl_relay_message *message,
                   struct direct_call *direct_call)
{
  const struct fl_store *direct = relay->options.direct;
  const struct fl_relay_row *rows = message->conditions.items;
  struct fl_store_condition conditions[FL_STORE_ENTRIES_MAX];
  struct fl_store_write writes[FL_STORE_ENTRIES_MAX];
  struct fl_store_transaction transaction
      = { conditions, message->conditions.count, writes, message->writes.count };

  for (size_t i = 0; i < message->conditions.count; i++)
    conditions[i] = (struct fl_store_condition){ rows[i].table.data, rows[i].part.data, rows[i].key,
                                                 rows[i].version };
  rows = message->writes.items;
  for (size_t i = 0; i < message->writes.count; i++)
    writes[i] = (struct fl_store_write){ rows[i].table.data, rows[i].part.data, rows[i].key,
                                         rows[i].value, rows[i].removed };
  direct->transact (direct->context, &transaction, message->timeout_ms, on_direct_answer,
                    direct_call);
}

static void
carry (struct fl_relay *relay, const struct fl_route *from, const struct fl_relay_message *message)
{
  const struct fl_store *direct = relay->options.direct;
  struct carried_call *call = g_new0 (struct carried_call, 1);
  struct direct_call *direct_call;

  *call = (struct carried_call){ relay, *from, message->number };
  if (!fl_store_path_is_whole (&relay->path, fl_clock_boot_ms ()))
    {
      struct fl_store_reply refused = { .status = FL_STORE_REFUSED };
      fl_fail (&refused.error, FL_UNAVAILABLE, "relay_call", relay->options.host.data,
               "this host does not reach the store either");
      answer_peer (call, &refused);
      return;
    }
  fl_stats_add (relay->options.stats, "store_calls_carried_total", 1);
  direct_call = direct_call_new (relay, message->call != FL_RELAY_FEED, on_carried, call);
  if (message->call == FL_RELAY_TRANSACT)
    carry_transaction (relay, message, direct_call);
  else if (message->call == FL_RELAY_READ)
    direct->read (direct->context, message->table.data, message->part.data, message->from.data,
                  message->to.data, message->timeout_ms, on_direct_answer, direct_call);
  else
    direct->feed (direct->context, message->table.data, message->after, message->wait_ms,
                  message->timeout_ms, on_direct_answer, direct_call);
}

static void
on_message (void *context, const struct fl_route *from, const char *data, size_t len)
{
  struct fl_relay *relay = context;
  struct fl_relay_message message;
  struct fl_error error = { 0 };

  if (!fl_relay_decode (data, len, &message, &error))
    {
      fl_stats_add (relay->options.stats, "messages_malformed_total", 1);
      fl_log_error (relay->options.log, FL_LOG_WARNING, "message_malformed", &error);
    }
  else if (message.is_answer)
    on_answer (relay, &message);
  else
    carry (relay, from, &message);
  fl_relay_clear (&message);
}

/* --- list of hosts --- */

static bool
is_known (const GArray *peers, const struct fl_name *address)
{
  for (guint i = 0; i < peers->len; i++)
    if (fl_name_eq (&g_array_index (peers, struct peer, i).address, address))
      return true;
  return false;
}

static bool
read_host (const struct fl_store_row *row, struct host_row *entry)
{
  return fl_record_decode (&host_schema, row->value.data, row->value.len, entry, NULL);
}

static int64_t
largest_of (const struct fl_store_reply *reply)
{
  int64_t largest = 0;

  for (size_t i = 0; i < reply->count; i++)
    {
      struct host_row entry = { 0 };
      if (read_host (&reply->rows[i], &entry))
        largest = MAX (largest, entry.cpu_milli);
    }
  return largest;
}

/* The hosts whose names follow this one's, in a circle: so that each host carries for as many as
 * any other. @rows are in order of their keys. */
static GArray *
choose_peers (const struct fl_relay *relay, const struct fl_store_reply *reply)
{
  GArray *peers = g_array_new (FALSE, FALSE, sizeof (struct peer));
  const struct fl_name *host = &relay->options.host;
  size_t first = 0;

  while (first < reply->count && strcmp (reply->rows[first].key.data, host->data) <= 0)
    first++;
  for (size_t i = 0; i < reply->count && peers->len < PEERS_MAX; i++)
    {
      const struct fl_store_row *row = &reply->rows[(first + i) % reply->count];
      struct host_row entry = { 0 };
      if (fl_name_eq (&row->key, host) || !read_host (row, &entry))
        continue;
      struct peer peer = { .address = entry.address };
      g_array_append_val (peers, peer);
    }
  return peers;
}

static void
replace_peers (struct fl_relay *relay, GArray *peers)
{
  struct fl_error error = { 0 };

  for (guint i = 0; i < relay->peers->len; i++)
    {
      const struct fl_name *address = &g_array_index (relay->peers, struct peer, i).address;
      if (!is_known (peers, address))
        fl_link_disconnect (relay->link, address);
    }
  for (guint i = 0; i < peers->len; i++)
    if (!fl_link_connect (relay->link, &g_array_index (peers, struct peer, i).address, &error))
      fl_log_error (relay->options.log, FL_LOG_WARNING, "peer_unreachable", &error);
  g_array_unref (relay->peers);
  relay->peers = peers;
}

static void
on_listed (void *context, const struct fl_store_reply *reply)
{
  struct fl_relay *relay = context;

  relay->listing = false;
  if (reply->status != FL_STORE_OK || !relay->listed_once)
    relay->list_at_ms
        = fl_clock_boot_ms () + LIST_SECOND_MS + g_random_int_range (0, LIST_SECOND_MS / 2);
  if (reply->status != FL_STORE_OK)
    return;
  relay->listed_once = true;
  relay->largest_cpu = largest_of (reply);
  replace_peers (relay, choose_peers (relay, reply));
}

/* Reads the list of hosts. It is also the probe: a plain read with a short answer. */
static void
list_hosts (struct fl_relay *relay, int64_t now_ms)
{
  const struct fl_store *direct = relay->options.direct;

  relay->listing = true;
  relay->list_at_ms = now_ms + LIST_MS;
  direct->read (direct->context, FL_TABLE_RELAYS, FL_PART_COMMON, "", "", LIST_TIMEOUT_MS,
                on_direct_answer, direct_call_new (relay, true, on_listed, relay));
}

static void
on_announced (void *context, const struct fl_store_reply *reply)
{
  struct fl_relay *relay = context;

  relay->announcing = false;
  relay->announced = reply->status == FL_STORE_OK;
}

static void
announce (struct fl_relay *relay)
{
  const struct fl_store *direct = relay->options.direct;
  struct host_row row = { fl_link_address (relay->link), relay->options.cpu_milli };
  struct fl_str value = fl_record_encode (&host_schema, &row);
  struct fl_store_write write
      = { FL_TABLE_RELAYS, FL_PART_COMMON, relay->options.host, value, false };
  struct fl_store_transaction transaction = { NULL, 0, &write, 1 };

  relay->announcing = true;
  direct->transact (direct->context, &transaction, LIST_TIMEOUT_MS, on_direct_answer,
                    direct_call_new (relay, true, on_announced, relay));
  fl_str_clear (&value);
}

static void
on_tick (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct fl_relay *relay = timer->data;
  int64_t now_ms = fl_clock_boot_ms ();

  (void)loop;
  (void)events;
  if (!relay->announced && !relay->announcing && relay->options.address.len > 0)
    announce (relay);
  if (!relay->listing
      && (now_ms >= relay->list_at_ms || fl_store_path_take_probe (&relay->path, now_ms)))
    list_hosts (relay, now_ms);
}

/* --- creation --- */

static void
peer_call_free (void *data)
{
  struct peer_call *call = data;

  ev_timer_stop (call->relay->options.loop, &call->timeout);
  g_free (call);
}

struct fl_relay *
fl_relay_new (const struct fl_relay_options *options, struct fl_error *error)
{
  struct fl_relay *relay = g_new0 (struct fl_relay, 1);
  struct fl_link_options link = {
    .loop = options->loop,
    .address = options->address.len > 0 ? options->address.data : NULL,
    .queue_max = LINK_QUEUE_MAX,
    .on_message = on_message,
    .context = relay,
  };

  relay->options = *options;
  relay->link = fl_link_new (&link, error);
  if (relay->link == NULL)
    {
      g_free (relay);
      return NULL;
    }
  relay->interface = (struct fl_store){
    .context = relay, .transact = transact, .read = read_range, .feed = feed
  };
  relay->peers = g_array_new (FALSE, FALSE, sizeof (struct peer));
  relay->open = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, peer_call_free);
  ev_timer_init (&relay->tick, on_tick, TICK_MS / 1000.0, TICK_MS / 1000.0);
  relay->tick.data = relay;
  ev_timer_start (options->loop, &relay->tick);
  return relay;
}

void
fl_relay_free (struct fl_relay *relay)
{
  if (relay == NULL)
    return;
  ev_timer_stop (relay->options.loop, &relay->tick);
  g_hash_table_destroy (relay->open);
  fl_link_free (relay->link);
  g_array_unref (relay->peers);
  g_free (relay);
}

int64_t
fl_relay_largest_cpu (const struct fl_relay *relay)
{
  return relay->largest_cpu;
}

size_t
fl_relay_peer_count (const struct fl_relay *relay)
{
  return relay->peers->len;
}

const struct fl_store *
fl_relay_store (const struct fl_relay *relay)
{
  return &relay->interface;
}
