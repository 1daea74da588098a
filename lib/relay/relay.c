#include "common/clock.h"
#include "common/timeout.h"
#include "relay/relay_internal.h"

/* A peer that failed to serve a call gets no calls for this long. */
#define PEER_PAUSE_MS 500
/* The same if its connection was replaced: the new one is established by then. */
#define PEER_RECONNECT_PAUSE_MS 100
/* A peer whose process is about to end gets no calls for this long. It rejects the first ones,
 * which last up to 2.8 s, as long before its end. */
#define PEER_STOPPING_PAUSE_MS 3000
#define TICK_INTERVAL_MS 100
/* A peer without a reply for this long, beyond the wait of a feed call, gets no further calls for
 * PEER_PAUSE_MS, and then over another connection; its reply still counts until the call times out.
 */
#define PEER_OVERDUE_MS 650
/* A peer's reply may take this much longer than the store's: two transfers between hosts. */
#define PEER_SLACK_MS 50
#define LINK_QUEUE_MAX 1000

/* A call sent directly to the store. */
struct direct_call
{
  struct fl_relay *relay;
  bool is_prompt; /* the store replies without waiting for changes */
  int64_t sent_ms;
  void (*done) (void *context, const struct fl_store_reply *reply);
  void *context;
};

/* A call sent to a peer. */
struct peer_call
{
  struct fl_relay *relay;
  int64_t number;
  struct fl_name peer;
  int64_t sent_ms;
  int64_t timeout_at_ms;
  struct fl_timeout timeout; /* first fires when the reply is overdue */
  void (*done) (void *context, const struct fl_store_reply *reply);
  void *context;
};

/* --- peers --- */

static void
pause_peer (struct fl_relay *relay, const struct fl_name *address, int64_t pause_ms)
{
  int64_t until_ms = fl_clock_boot_ms () + pause_ms;

  for (guint i = 0; i < relay->peers->len; i++)
    {
      struct peer *peer = &g_array_index (relay->peers, struct peer, i);
      if (fl_name_eq (&peer->address, address))
        peer->paused_until_ms = MAX (peer->paused_until_ms, until_ms);
    }
}

bool
fl_relay_send_message (struct fl_relay *relay,
                       const struct fl_route *to,
                       const struct fl_relay_message *message)
{
  msgpack_sbuffer buffer;
  bool sent;

  msgpack_sbuffer_init (&buffer);
  fl_relay_message_encode (message, &buffer);
  sent = fl_link_send (relay->link, to, buffer.data, buffer.size);
  msgpack_sbuffer_destroy (&buffer);
  return sent;
}

/* Sends @message to the next available peer. @return this peer, or NULL when there is none. */
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
      if (fl_relay_send_message (relay, &to, message))
        return peer;
      peer->paused_until_ms = now_ms + PEER_PAUSE_MS;
    }
  return NULL;
}

static void
finish_peer_call (struct peer_call *call, const struct fl_store_reply *reply)
{
  struct fl_relay *relay = call->relay;

  if (reply->status == FL_STORE_REJECTED || reply->status == FL_STORE_UNKNOWN)
    pause_peer (relay, &call->peer, PEER_PAUSE_MS);
  fl_timeout_stop (&call->timeout);
  g_hash_table_steal (relay->peer_calls, &call->number);
  call->done (call->context, reply);
  g_free (call);
}

static void
on_peer_timeout (void *context)
{
  struct peer_call *call = context;
  struct fl_store_reply reply = { .status = FL_STORE_UNKNOWN };
  int64_t left_ms = call->timeout_at_ms - fl_clock_boot_ms ();

  bool is_replaced = fl_link_reconnect_silent (call->relay->link, &call->peer, call->sent_ms);
  if (left_ms > 0)
    {
      pause_peer (call->relay, &call->peer, is_replaced ? PEER_RECONNECT_PAUSE_MS : PEER_PAUSE_MS);
      fl_timeout_start (&call->timeout, left_ms);
      return;
    }
  fl_fail (&reply.error, FL_UNAVAILABLE, "relay_call", call->peer.data,
           "the peer did not reply in time");
  finish_peer_call (call, &reply);
}

/* Sends the call @message to a peer. @return false when no peer is available. */
static bool
send_call_to_peer (struct fl_relay *relay,
                   struct fl_relay_message *message,
                   int64_t timeout_ms,
                   void (*done) (void *context, const struct fl_store_reply *reply),
                   void *done_context)
{
  const struct peer *peer;
  struct peer_call *call;

  message->number = ++relay->last_call_number;
  message->timeout_ms = timeout_ms;
  peer = send_to_peer (relay, message);
  if (peer == NULL)
    return false;
  call = g_new0 (struct peer_call, 1);
  *call = (struct peer_call){ .relay = relay,
                              .number = message->number,
                              .peer = peer->address,
                              .sent_ms = fl_clock_boot_ms (),
                              .timeout_at_ms = fl_clock_boot_ms () + timeout_ms + PEER_SLACK_MS,
                              .done = done,
                              .context = done_context };
  fl_timeout_init (&call->timeout, relay->options.loop, on_peer_timeout, call);
  fl_timeout_start (&call->timeout,
                    MIN (timeout_ms + PEER_SLACK_MS, message->wait_ms + PEER_OVERDUE_MS));
  g_hash_table_insert (relay->peer_calls, &call->number, call);
  fl_stats_add (relay->options.stats, "store_calls_relayed_total", 1);
  return true;
}

static void
on_reply (struct fl_relay *relay, const struct fl_relay_message *message)
{
  struct peer_call *call = g_hash_table_lookup (relay->peer_calls, &message->number);
  struct fl_store_reply reply = { .status = (enum fl_store_status)message->status,
                                  .rows = message->rows.items,
                                  .count = message->rows.count,
                                  .version = message->version,
                                  .has_more = message->has_more };

  if (call == NULL)
    {
      fl_stats_add (relay->options.stats, "relay_answers_late_total", 1);
      return;
    }
  if (message->error_text.len > 0)
    fl_fail (&reply.error, FL_UNAVAILABLE, "relay_call", call->peer.data, "%s",
             message->error_text.data);
  if (message->is_stopping)
    pause_peer (relay, &call->peer, PEER_STOPPING_PAUSE_MS);
  finish_peer_call (call, &reply);
}

/* --- direct calls --- */

static void
log_path_change (struct fl_relay *relay, bool had_failed)
{
  if (relay->path.has_failed == had_failed)
    return;
  fl_stats_set (relay->options.stats, "store_path_broken", relay->path.has_failed ? 1 : 0);
  fl_log (relay->options.log, FL_LOG_NOTICE,
          relay->path.has_failed ? "store_path_broken" : "store_path_whole",
          FL_I ("peers", relay->peers->len));
}

static enum fl_relay_outcome
get_outcome (const struct fl_store_reply *reply)
{
  if (reply->status != FL_STORE_REJECTED && reply->status != FL_STORE_UNKNOWN)
    return FL_RELAY_SERVED;
  if (reply->is_connection_stale)
    return FL_RELAY_INCONCLUSIVE;
  return reply->status == FL_STORE_UNKNOWN ? FL_RELAY_LOST : FL_RELAY_FAILED;
}

void
fl_relay_on_direct_reply (void *context, const struct fl_store_reply *reply)
{
  struct direct_call *call = context;
  struct fl_relay *relay = call->relay;
  bool had_failed = relay->path.has_failed;

  if (g_hash_table_lookup (relay->direct_calls, call->context) == call)
    g_hash_table_remove (relay->direct_calls, call->context);
  /* A feed call counts only now: while it waits for changes, a missing reply is no failure. */
  if (!call->is_prompt)
    fl_relay_path_record_call (&relay->path, fl_clock_boot_ms ());
  fl_relay_path_record_end (&relay->path, get_outcome (reply), call->sent_ms, fl_clock_boot_ms ());
  log_path_change (relay, had_failed);
  call->done (call->context, reply);
  g_free (call);
}

struct direct_call *
fl_relay_direct_call_new (struct fl_relay *relay,
                          bool is_prompt,
                          void (*done) (void *context, const struct fl_store_reply *reply),
                          void *done_context)
{
  struct direct_call *call = g_new0 (struct direct_call, 1);

  *call = (struct direct_call){ relay, is_prompt, fl_clock_boot_ms (), done, done_context };
  g_hash_table_insert (relay->direct_calls, done_context, call);
  if (is_prompt)
    fl_relay_path_record_call (&relay->path, call->sent_ms);
  return call;
}

static int64_t
get_direct_progress_ms (const struct fl_relay *relay, const struct direct_call *call)
{
  const struct fl_store *direct = relay->options.direct;

  return direct->last_progress_ms != NULL ? direct->last_progress_ms (direct->context, call) : 0;
}

bool
fl_relay_is_path_healthy (struct fl_relay *relay)
{
  GHashTableIter iter;
  void *call;

  /* Replies that arrived while this process did not run are read first. */
  if (relay->options.loop_watch != NULL)
    fl_relay_path_record_progress (&relay->path,
                                   fl_loop_watch_get_resumed_ms (relay->options.loop_watch));
  /* A large reply that is arriving is not overdue. */
  g_hash_table_iter_init (&iter, relay->direct_calls);
  while (g_hash_table_iter_next (&iter, NULL, &call))
    fl_relay_path_record_progress (&relay->path, get_direct_progress_ms (relay, call));
  return fl_relay_path_is_healthy (&relay->path, fl_clock_boot_ms ());
}

static bool
should_call_directly (struct fl_relay *relay)
{
  bool had_failed = relay->path.has_failed;
  bool is_healthy = fl_relay_is_path_healthy (relay);

  log_path_change (relay, had_failed);
  return is_healthy || relay->peers->len == 0;
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

  if (!should_call_directly (relay))
    {
      struct fl_relay_message message = fl_relay_message_from_transaction (transaction);
      bool relayed = send_call_to_peer (relay, &message, timeout_ms, done, done_context);
      fl_relay_message_free_rows (&message);
      if (relayed)
        return;
    }
  direct->transact (direct->context, transaction, timeout_ms, fl_relay_on_direct_reply,
                    fl_relay_direct_call_new (relay, true, done, done_context));
}

static void
read_range (void *context,
            const char *table,
            const char *partition,
            const char *first_key,
            const char *end_key,
            int64_t timeout_ms,
            void (*done) (void *context, const struct fl_store_reply *reply),
            void *done_context)
{
  struct fl_relay *relay = context;
  const struct fl_store *direct = relay->options.direct;
  struct fl_relay_message message = { .call = FL_RELAY_READ,
                                      .table = fl_name_of (table),
                                      .partition = fl_name_of (partition),
                                      .first_key = fl_name_of (first_key),
                                      .end_key = fl_name_of (end_key) };

  if (should_call_directly (relay)
      || !send_call_to_peer (relay, &message, timeout_ms, done, done_context))
    direct->read (direct->context, table, partition, first_key, end_key, timeout_ms,
                  fl_relay_on_direct_reply,
                  fl_relay_direct_call_new (relay, true, done, done_context));
}

static void
feed (void *context,
      const char *table,
      int64_t after_version,
      int64_t wait_ms,
      int64_t timeout_ms,
      void (*done) (void *context, const struct fl_store_reply *reply),
      void *done_context)
{
  struct fl_relay *relay = context;
  const struct fl_store *direct = relay->options.direct;
  struct fl_relay_message message = { .call = FL_RELAY_FEED,
                                      .table = fl_name_of (table),
                                      .after_version = after_version,
                                      .wait_ms = wait_ms };

  if (should_call_directly (relay)
      || !send_call_to_peer (relay, &message, timeout_ms, done, done_context))
    direct->feed (direct->context, table, after_version, wait_ms, timeout_ms,
                  fl_relay_on_direct_reply,
                  fl_relay_direct_call_new (relay, false, done, done_context));
}

static int64_t
get_last_progress_ms (void *context, const void *done_context)
{
  const struct fl_relay *relay = context;
  const struct direct_call *call = g_hash_table_lookup (relay->direct_calls, done_context);

  return call != NULL ? get_direct_progress_ms (relay, call) : 0;
}

/* --- messages --- */

static void
on_message (void *context, const struct fl_route *sender, const char *data, size_t len)
{
  struct fl_relay *relay = context;
  struct fl_relay_message message;
  struct fl_error error = { 0 };

  if (!fl_relay_message_decode (data, len, &message, &error))
    {
      fl_stats_add (relay->options.stats, "messages_malformed_total", 1);
      fl_log_error (relay->options.log, FL_LOG_WARNING, "message_malformed", &error);
    }
  else if (message.is_reply)
    on_reply (relay, &message);
  else
    fl_relay_execute_call (relay, sender, &message);
  fl_relay_message_clear (&message);
}

/* --- creation --- */

static void
on_tick (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  fl_relay_update_hosts (timer->data, fl_clock_boot_ms ());
}

static void
peer_call_free (void *data)
{
  struct peer_call *call = data;

  fl_timeout_stop (&call->timeout);
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
    .log = options->log,
    .stats = options->stats,
  };

  relay->options = *options;
  relay->link = fl_link_new (&link, error);
  if (relay->link == NULL)
    {
      g_free (relay);
      return NULL;
    }
  relay->store = (struct fl_store){ .context = relay,
                                    .transact = transact,
                                    .read = read_range,
                                    .feed = feed,
                                    .last_progress_ms = get_last_progress_ms };
  relay->direct_calls = g_hash_table_new (NULL, NULL);
  relay->peers = g_array_new (FALSE, FALSE, sizeof (struct peer));
  relay->peer_calls = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, peer_call_free);
  ev_timer_init (&relay->tick, on_tick, TICK_INTERVAL_MS / 1000.0, TICK_INTERVAL_MS / 1000.0);
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
  g_hash_table_remove_all (relay->peer_calls);
  if (relay->is_draining)
    {
      /* Calls that have arrived since the loop ended are rejected. */
      fl_relay_drain (relay, 0);
      fl_link_receive (relay->link);
    }
  g_hash_table_destroy (relay->peer_calls);
  g_hash_table_destroy (relay->direct_calls);
  fl_link_free (relay->link);
  g_array_unref (relay->peers);
  g_free (relay);
}

int64_t
fl_relay_largest_cpu_milli (const struct fl_relay *relay)
{
  return relay->largest_cpu_milli;
}

bool
fl_relay_knows_hosts (const struct fl_relay *relay)
{
  return relay->has_listed;
}

size_t
fl_relay_peer_count (const struct fl_relay *relay)
{
  return relay->peers->len;
}

const struct fl_store *
fl_relay_store (const struct fl_relay *relay)
{
  return &relay->store;
}
