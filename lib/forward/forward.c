#include "forward/forward.h"

#include <string.h>

#include <glib.h>

#include "common/clock.h"
#include "common/endpoint.h"
#include "common/timeout.h"
#include "forward/forward_internal.h"

/* Forwarding hosts wait for the reply of a target at most 700 ms after a throttle order. */
#define ORDER_TIMEOUT_MS (700 + FORWARD_SLACK_MS)
/* Interval of the pings to unavailable peers. */
#define PING_INTERVAL_MS 1000
/* The connection of a peer that has not replied to a ping for this long is replaced. Covers two
 * transfers between hosts and the wait for CPU time on a small host. */
#define PING_TIMEOUT_MS 300
/* A ping that cannot be sent, since the connection was just opened, is tried again after
 * PING_RETRY_MS, until RECONNECT_MS after the connection was opened. */
#define PING_RETRY_MS 50
#define RECONNECT_MS 500

/* An order of this host, sent through a peer. */
struct outgoing_order
{
  struct fl_forwarder *forwarder;
  int64_t number;
  struct fl_name peer_address;
  int64_t sent_ms;
  struct fl_timeout timeout;
  int64_t late_ms; /* how long a reply still counts after the timeout; 0 once that has passed */
  void (*done) (void *context, const struct fl_order_reply *reply);
  void *context;
};

/* An order that a peer sends through this host. */
struct incoming_order
{
  struct fl_forwarder *forwarder;
  struct fl_route sender;
  int64_t number;
  bool is_heartbeat;
};

/* --- peers --- */

static bool
send_message (struct fl_forwarder *forwarder,
              const struct fl_route *to,
              const struct fl_forward_message *message)
{
  msgpack_sbuffer buffer;
  bool sent;

  msgpack_sbuffer_init (&buffer);
  fl_forward_message_encode (message, &buffer);
  sent = forwarder->options.send (forwarder->options.context, to, buffer.data, buffer.size);
  msgpack_sbuffer_destroy (&buffer);
  return sent;
}

static struct forward_peer *
find_peer (struct fl_forwarder *forwarder, const struct fl_name *address)
{
  for (guint i = 0; i < forwarder->peers->len; i++)
    {
      struct forward_peer *peer = &g_array_index (forwarder->peers, struct forward_peer, i);
      if (fl_name_eq (&peer->address, address))
        return peer;
    }
  return NULL;
}

static void
mark_unavailable (struct fl_forwarder *forwarder, struct forward_peer *peer)
{
  if (peer == NULL || !peer->is_available)
    return;
  peer->is_available = false;
  fl_stats_add (forwarder->options.stats, "carriers_left_out_total", 1);
  fl_log (forwarder->options.log, FL_LOG_NOTICE, "carrier_left_out", FL_N ("host", &peer->name));
}

struct forward_peer *
forward_find_serving_peer (struct fl_forwarder *forwarder, const struct fl_name *target)
{
  struct forward_peer *peer;

  if (!forwarder->enabled || forwarder->peers->len == 0)
    return NULL;
  peer = &g_array_index (forwarder->peers, struct forward_peer,
                         fl_name_hash (target) % forwarder->peers->len);
  return peer->is_available ? peer : NULL;
}

/* Lets the next pings be sent in @wait_ms, or earlier if they are due before. */
static void
set_ping_timer (struct fl_forwarder *forwarder, int64_t wait_ms)
{
  struct ev_loop *loop = forwarder->options.loop;
  ev_timer *timer = &forwarder->ping_timer;
  double wait_s = (double)wait_ms / 1000.0;

  ev_now_update (loop);
  if (ev_is_active (timer) && ev_timer_remaining (loop, timer) <= wait_s)
    return;
  ev_timer_stop (loop, timer);
  ev_timer_set (timer, wait_s, 0.0);
  ev_timer_start (loop, timer);
}

/* @return whether the connection to @peer was replaced. */
static bool
reconnect_silent (struct fl_forwarder *forwarder, struct forward_peer *peer, int64_t sent_ms)
{
  const struct fl_forwarder_options *options = &forwarder->options;

  if (!options->reconnect_silent (options->context, &peer->address, sent_ms))
    return false;
  peer->reconnected_ms = fl_clock_boot_ms ();
  peer->pinged_ms = 0;
  return true;
}

/* Pings @peer. Without a reply to the last ping, its connection is replaced first: a peer that is
 * only slow to answer something else replies to a ping. @return the time until the next ping. */
static int64_t
ping_peer (struct fl_forwarder *forwarder, struct forward_peer *peer, int64_t now_ms)
{
  static const struct fl_forward_message ping = { .kind = FL_FORWARD_PING };
  struct fl_route to = { .address = peer->address };
  int64_t waited_ms = now_ms - peer->pinged_ms;

  if (peer->pinged_ms > peer->heard_ms)
    {
      if (waited_ms < PING_TIMEOUT_MS)
        return PING_TIMEOUT_MS - waited_ms;
      if (!reconnect_silent (forwarder, peer, peer->pinged_ms) && waited_ms < PING_INTERVAL_MS)
        return PING_INTERVAL_MS - waited_ms;
    }
  if (send_message (forwarder, &to, &ping))
    {
      peer->pinged_ms = now_ms;
      return PING_TIMEOUT_MS;
    }
  return now_ms - peer->reconnected_ms < RECONNECT_MS ? PING_RETRY_MS : PING_INTERVAL_MS;
}

static void
ping_peers (struct fl_forwarder *forwarder)
{
  int64_t now_ms = fl_clock_boot_ms ();
  int64_t wait_ms = PING_INTERVAL_MS;

  for (guint i = 0; i < forwarder->peers->len; i++)
    {
      struct forward_peer *peer = &g_array_index (forwarder->peers, struct forward_peer, i);
      if (peer->is_checked || (forwarder->enabled && !peer->is_available))
        wait_ms = MIN (wait_ms, ping_peer (forwarder, peer, now_ms));
    }
  set_ping_timer (forwarder, wait_ms);
}

/* Pings @peer now, and until something arrives from it. */
static void
check_peer (struct fl_forwarder *forwarder, struct forward_peer *peer)
{
  if (peer->is_checked)
    return;
  peer->is_checked = true;
  set_ping_timer (forwarder, ping_peer (forwarder, peer, fl_clock_boot_ms ()));
}

void
fl_forwarder_check_peer (struct fl_forwarder *forwarder,
                         const struct fl_name *address,
                         int64_t sent_ms)
{
  struct forward_peer *peer = find_peer (forwarder, address);

  if (peer != NULL && peer->heard_ms < sent_ms)
    check_peer (forwarder, peer);
}

static void
on_ping_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  ping_peers (timer->data);
}

/* --- orders of this host --- */

static void
finish_order (struct outgoing_order *order, const struct fl_order_reply *reply)
{
  struct fl_forwarder *forwarder = order->forwarder;

  fl_timeout_stop (&order->timeout);
  g_hash_table_steal (forwarder->in_flight, &order->number);
  order->done (order->context, reply);
  g_free (order);
}

/* Ends all orders in flight through the peer at @address with the result FL_ORDER_NO_REPLY. */
static void
time_out_orders (struct fl_forwarder *forwarder, const struct fl_name *address)
{
  struct fl_order_reply reply = { .result = FL_ORDER_NO_REPLY };
  g_autoptr (GPtrArray) orders = g_ptr_array_new ();
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, forwarder->in_flight);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (fl_name_eq (&((struct outgoing_order *)value)->peer_address, address))
      g_ptr_array_add (orders, value);
  for (guint i = 0; i < orders->len; i++)
    finish_order (g_ptr_array_index (orders, i), &reply);
  forward_batches_time_out (forwarder->batches, address);
}

void
forward_handle_timeout (struct fl_forwarder *forwarder,
                        const struct fl_name *address,
                        int64_t sent_ms)
{
  const struct fl_forwarder_options *options = &forwarder->options;
  struct forward_peer *peer = find_peer (forwarder, address);

  /* A peer of another owner, for which this host distributes starts. */
  if (peer == NULL)
    options->reconnect_silent (options->context, address, sent_ms);
  /* A peer that has sent anything since is alive: only the one order or its reply is late. */
  if (peer == NULL || peer->heard_ms >= sent_ms)
    return;
  check_peer (forwarder, peer);
  mark_unavailable (forwarder, peer);
  time_out_orders (forwarder, address);
}

static void
on_order_timeout (void *context)
{
  struct outgoing_order *order = context;
  struct fl_forwarder *forwarder = order->forwarder;
  struct fl_name address = order->peer_address;
  struct fl_order_reply reply = { .result = FL_ORDER_NO_REPLY };
  int64_t sent_ms = order->sent_ms;
  int64_t late_ms = order->late_ms;

  order->late_ms = 0;
  if (late_ms == 0)
    {
      finish_order (order, &reply);
      forward_handle_timeout (forwarder, &address, sent_ms);
      return;
    }
  fl_timeout_start (&order->timeout, late_ms);
  /* Ends the order if the peer has been silent. */
  forward_handle_timeout (forwarder, &address, sent_ms);
}

bool
forward_send (struct fl_forwarder *forwarder,
              const struct fl_name *address,
              struct fl_forward_message *message,
              int64_t timeout_ms,
              int64_t late_ms,
              void (*done) (void *context, const struct fl_order_reply *reply),
              void *done_context)
{
  struct fl_route to = { .address = *address };
  struct outgoing_order *order;

  message->number = ++forwarder->last_order_number;
  if (!send_message (forwarder, &to, message))
    {
      mark_unavailable (forwarder, find_peer (forwarder, address));
      return false;
    }
  order = g_new0 (struct outgoing_order, 1);
  *order = (struct outgoing_order){ .forwarder = forwarder,
                                    .number = message->number,
                                    .peer_address = *address,
                                    .sent_ms = fl_clock_boot_ms (),
                                    .late_ms = late_ms,
                                    .done = done,
                                    .context = done_context };
  fl_timeout_init (&order->timeout, forwarder->options.loop, on_order_timeout, order);
  fl_timeout_start (&order->timeout, timeout_ms);
  g_hash_table_insert (forwarder->in_flight, &order->number, order);
  return true;
}

/* Forwards @message to the peer for its target. @return false when the message is not sent. */
static bool
forward_order (struct fl_forwarder *forwarder,
               struct fl_forward_message *message,
               int64_t timeout_ms,
               int64_t late_ms,
               void (*done) (void *context, const struct fl_order_reply *reply),
               void *done_context)
{
  const struct forward_peer *peer = forward_find_serving_peer (forwarder, &message->target);

  if (peer == NULL
      || !forward_send (forwarder, &peer->address, message, timeout_ms, late_ms, done,
                        done_context))
    return false;
  fl_stats_add (forwarder->options.stats, "orders_handed_over_total", 1);
  return true;
}

struct fl_forward_message
forward_start_message (const struct fl_start_order *order)
{
  return (struct fl_forward_message){
    .kind = FL_FORWARD_START,
    .target = order->target,
    .address = order->address,
    .task = order->task,
    .run = order->run,
    .fencing_token = order->fencing_token,
    .deadline_ms = order->deadline_ms,
    .payload = { order->payload_len, (char *)order->payload },
    .checkpoint = { strlen (order->checkpoint), (char *)order->checkpoint },
    .ticket = fl_name_of (order->ticket),
    .wait_ms = order->reply_limit_ms,
  };
}

void
forward_start (struct fl_forwarder *forwarder,
               const struct fl_start_order *order,
               void (*done) (void *context, const struct fl_order_reply *reply),
               void *done_context)
{
  const struct fl_target_calls *direct = forwarder->options.direct;
  struct fl_forward_message message = forward_start_message (order);
  int64_t limit_ms = MAX (order->reply_limit_ms, FL_START_LIMIT_MS);

  if (!forwarder->options.may_send (forwarder->options.context)
      || !forward_order (forwarder, &message, limit_ms + FORWARD_SLACK_MS,
                         FORWARD_LATE_MS (limit_ms), done, done_context))
    direct->start (direct->context, order, done, done_context);
}

/* First attempts wait for the end of the tick, to be sent together. A repeated start avoids the
 * distributor, which may be what failed. */
static void
start (void *context,
       const struct fl_start_order *order,
       void (*done) (void *context, const struct fl_order_reply *reply),
       void *done_context)
{
  struct fl_forwarder *forwarder = context;

  if (forwarder->enabled && !order->is_repeated)
    forward_batches_add (forwarder->batches, order, done, done_context);
  else
    forward_start (forwarder, order, done, done_context);
}

void
fl_forwarder_flush (struct fl_forwarder *forwarder)
{
  forward_batches_flush (forwarder->batches);
}

static struct fl_forward_message
make_run_message (enum fl_forward_kind kind, const struct fl_run_order *order)
{
  return (struct fl_forward_message){ .kind = (int)kind,
                                      .target = order->target,
                                      .address = order->address,
                                      .task = order->task,
                                      .run = order->run,
                                      .fencing_token = order->fencing_token,
                                      .share_percent = order->share_percent };
}

static void
stop (void *context,
      const struct fl_run_order *order,
      void (*done) (void *context, const struct fl_order_reply *reply),
      void *done_context)
{
  struct fl_forwarder *forwarder = context;
  const struct fl_target_calls *direct = forwarder->options.direct;
  struct fl_forward_message message = make_run_message (FL_FORWARD_STOP, order);
  int64_t limit_ms = MAX (order->reply_limit_ms, FL_STOP_LIMIT_MS);

  if (!forward_order (forwarder, &message, limit_ms + FORWARD_SLACK_MS, FORWARD_LATE_MS (limit_ms),
                      done, done_context))
    direct->stop (direct->context, order, done, done_context);
}

static void
throttle (void *context,
          const struct fl_run_order *order,
          void (*done) (void *context, const struct fl_order_reply *reply),
          void *done_context)
{
  struct fl_forwarder *forwarder = context;
  const struct fl_target_calls *direct = forwarder->options.direct;
  struct fl_forward_message message = make_run_message (FL_FORWARD_THROTTLE, order);

  if (!forwarder->options.may_send (forwarder->options.context)
      || !forward_order (forwarder, &message, ORDER_TIMEOUT_MS, 0, done, done_context))
    direct->throttle (direct->context, order, done, done_context);
}

static void
heartbeat (void *context,
           const struct fl_heartbeat_order *order,
           void (*done) (void *context, const struct fl_order_reply *reply),
           void *done_context)
{
  struct fl_forwarder *forwarder = context;
  const struct fl_target_calls *direct = forwarder->options.direct;
  int64_t limit_ms = MAX (order->reply_limit_ms, FL_HEARTBEAT_LIMIT_MS);
  struct fl_forward_message message = { .kind = FL_FORWARD_HEARTBEAT,
                                        .target = order->target,
                                        .address = order->address,
                                        .fencing_token = order->fencing_token,
                                        .deadline_ms = order->deadline_ms,
                                        .last_recorded_end = order->last_recorded_end,
                                        .wait_ms = order->wait_ms };

  if (!forward_order (forwarder, &message, order->wait_ms + limit_ms + FORWARD_SLACK_MS,
                      FORWARD_LATE_MS (limit_ms), done, done_context))
    direct->heartbeat (direct->context, order, done, done_context);
}

static void
on_reply (struct fl_forwarder *forwarder, const struct fl_forward_message *message)
{
  struct outgoing_order *order = g_hash_table_lookup (forwarder->in_flight, &message->number);
  struct fl_target_report report = { .booted_at_ms = message->booted_at_ms,
                                     .clock_ms = message->clock_ms,
                                     .runs = message->runs.items,
                                     .run_count = message->runs.count,
                                     .ends = message->ends.items,
                                     .end_count = message->ends.count };
  struct fl_order_reply reply = { .result = (enum fl_order_result)message->result,
                                  .clock_ms = message->clock_ms,
                                  .report = message->has_report ? &report : NULL };

  if (order == NULL)
    return;
  if (message->is_stopping)
    mark_unavailable (forwarder, find_peer (forwarder, &order->peer_address));
  finish_order (order, &reply);
}

int64_t
fl_forwarder_get_slack_ms (struct fl_forwarder *forwarder, const struct fl_name *target)
{
  return forward_find_serving_peer (forwarder, target) != NULL ? FORWARD_SLACK_MS : 0;
}

/* --- orders of peers --- */

/* Returns the result of @order unless it has been returned already. */
static void
return_result (struct incoming_order *order, const struct fl_order_reply *reply)
{
  struct fl_forward_message message = { .kind = FL_FORWARD_REPLY,
                                        .number = order->number,
                                        .result = (int)reply->result,
                                        .is_stopping = order->forwarder->is_draining,
                                        .clock_ms = reply->clock_ms };

  if (!g_hash_table_remove (order->forwarder->incoming, order))
    return;
  if (reply->report != NULL)
    {
      message.has_report = true;
      message.booted_at_ms = reply->report->booted_at_ms;
      message.runs = (struct fl_array){ reply->report->run_count, reply->report->runs };
      message.ends = (struct fl_array){ reply->report->end_count, reply->report->ends };
    }
  if (!send_message (order->forwarder, &order->sender, &message))
    fl_stats_add (order->forwarder->options.stats, "carried_answers_unsent_total", 1);
}

static void
on_order_done (void *context, const struct fl_order_reply *reply)
{
  return_result (context, reply);
  g_free (context);
}

static void
execute_start (const struct fl_target_calls *calls,
               const struct fl_forward_message *message,
               struct incoming_order *context)
{
  struct fl_start_order order = {
    .target = message->target,
    .address = message->address,
    .task = message->task,
    .run = message->run,
    .fencing_token = message->fencing_token,
    .deadline_ms = message->deadline_ms,
    .payload = fl_str_text (&message->payload),
    .payload_len = message->payload.len,
    .checkpoint = fl_str_text (&message->checkpoint),
    .ticket = message->ticket.data,
    .reply_limit_ms = message->wait_ms,
  };

  calls->start (calls->context, &order, on_order_done, context);
}

static void
execute_run_order (const struct fl_target_calls *calls,
                   const struct fl_forward_message *message,
                   struct incoming_order *context)
{
  struct fl_run_order order = {
    .target = message->target,
    .address = message->address,
    .task = message->task,
    .run = message->run,
    .fencing_token = message->fencing_token,
    .share_percent = message->share_percent,
  };

  if (message->kind == FL_FORWARD_STOP)
    calls->stop (calls->context, &order, on_order_done, context);
  else
    calls->throttle (calls->context, &order, on_order_done, context);
}

static void
execute_heartbeat (const struct fl_target_calls *calls,
                   const struct fl_forward_message *message,
                   struct incoming_order *context)
{
  struct fl_heartbeat_order order = {
    .target = message->target,
    .address = message->address,
    .fencing_token = message->fencing_token,
    .deadline_ms = message->deadline_ms,
    .last_recorded_end = message->last_recorded_end,
    .wait_ms = message->wait_ms,
  };

  calls->heartbeat (calls->context, &order, on_order_done, context);
}

bool
forward_is_addressable (const struct fl_name *target, const struct fl_name *address)
{
  return fl_name_is_header_safe (target) && fl_endpoint_is_valid (address);
}

static void
execute_order (struct fl_forwarder *forwarder,
               const struct fl_route *sender,
               const struct fl_forward_message *message)
{
  const struct fl_target_calls *calls = forwarder->options.forwarded;
  static const struct fl_order_reply not_sent = { .result = FL_ORDER_NOT_SENT };
  struct incoming_order *order = g_new0 (struct incoming_order, 1);

  *order = (struct incoming_order){ forwarder, *sender, message->number,
                                    message->kind == FL_FORWARD_HEARTBEAT };
  g_hash_table_add (forwarder->incoming, order);
  if (forwarder->is_draining || !forward_is_addressable (&message->target, &message->address))
    {
      on_order_done (order, &not_sent);
      return;
    }
  fl_stats_add (forwarder->options.stats, "orders_carried_total", 1);
  if (message->kind == FL_FORWARD_START)
    execute_start (calls, message, order);
  else if (message->kind == FL_FORWARD_HEARTBEAT)
    execute_heartbeat (calls, message, order);
  else
    execute_run_order (calls, message, order);
}

/* --- messages --- */

static void
record_message (struct fl_forwarder *forwarder, const struct fl_route *sender)
{
  struct forward_peer *peer
      = sender->address.len > 0 ? find_peer (forwarder, &sender->address) : NULL;

  if (peer == NULL)
    return;
  peer->heard_ms = fl_clock_boot_ms ();
  peer->is_checked = false;
}

void
fl_forwarder_receive_batch (struct fl_forwarder *forwarder,
                            const struct fl_route *sender,
                            const char *data,
                            size_t len)
{
  record_message (forwarder, sender);
  forward_batches_receive (forwarder->batches, sender, data, len);
}

/* A host that stops is not available any more, and does not reply. */
static void
on_ping (struct fl_forwarder *forwarder, const struct fl_route *sender)
{
  struct fl_forward_message pong = { .kind = FL_FORWARD_PONG };

  if (!forwarder->is_draining)
    send_message (forwarder, sender, &pong);
}

static void
on_pong (struct fl_forwarder *forwarder, const struct fl_route *sender)
{
  struct forward_peer *peer = find_peer (forwarder, &sender->address);

  if (peer == NULL || peer->is_available)
    return;
  peer->is_available = true;
  fl_log (forwarder->options.log, FL_LOG_NOTICE, "carrier_used", FL_N ("host", &peer->name));
}

void
fl_forwarder_receive (struct fl_forwarder *forwarder,
                      const struct fl_route *sender,
                      const char *data,
                      size_t len)
{
  struct fl_forward_message message;
  struct fl_error error = { 0 };

  record_message (forwarder, sender);
  if (!fl_forward_message_decode (data, len, &message, &error))
    {
      fl_stats_add (forwarder->options.stats, "messages_malformed_total", 1);
      fl_log_error (forwarder->options.log, FL_LOG_WARNING, "message_malformed", &error);
    }
  else if (message.kind == FL_FORWARD_REPLY)
    on_reply (forwarder, &message);
  else if (message.kind == FL_FORWARD_PING)
    on_ping (forwarder, sender);
  else if (message.kind == FL_FORWARD_PONG)
    on_pong (forwarder, sender);
  else
    execute_order (forwarder, sender, &message);
  fl_forward_message_clear (&message);
}

/* --- creation --- */

static void
outgoing_order_free (void *data)
{
  struct outgoing_order *order = data;

  fl_timeout_stop (&order->timeout);
  g_free (order);
}

struct fl_forwarder *
fl_forwarder_new (const struct fl_forwarder_options *options)
{
  struct fl_forwarder *forwarder = g_new0 (struct fl_forwarder, 1);

  forwarder->options = *options;
  forwarder->calls = (struct fl_target_calls){
    .context = forwarder, .start = start, .stop = stop, .throttle = throttle, .heartbeat = heartbeat
  };
  forwarder->peers = g_array_new (FALSE, FALSE, sizeof (struct forward_peer));
  forwarder->in_flight
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, outgoing_order_free);
  forwarder->incoming = g_hash_table_new (NULL, NULL);
  forwarder->batches = forward_batches_new (forwarder);
  ev_timer_init (&forwarder->ping_timer, on_ping_timer, 0.0, 0.0);
  forwarder->ping_timer.data = forwarder;
  set_ping_timer (forwarder, PING_INTERVAL_MS);
  return forwarder;
}

void
fl_forwarder_free (struct fl_forwarder *forwarder)
{
  if (forwarder == NULL)
    return;
  ev_timer_stop (forwarder->options.loop, &forwarder->ping_timer);
  forward_batches_free (forwarder->batches);
  g_hash_table_destroy (forwarder->in_flight);
  g_hash_table_destroy (forwarder->incoming);
  g_array_unref (forwarder->peers);
  g_free (forwarder);
}

/* A heartbeat may wait for seconds for an end, which the owner then learns sooner from another one.
 */
static void
cut_heartbeats (struct fl_forwarder *forwarder)
{
  static const struct fl_order_reply no_reply = { .result = FL_ORDER_NO_REPLY };
  g_autoptr (GPtrArray) heartbeats = g_ptr_array_new ();
  GHashTableIter iter;
  void *order;

  g_hash_table_iter_init (&iter, forwarder->incoming);
  while (g_hash_table_iter_next (&iter, &order, NULL))
    if (((struct incoming_order *)order)->is_heartbeat)
      g_ptr_array_add (heartbeats, order);
  for (guint i = 0; i < heartbeats->len; i++)
    return_result (g_ptr_array_index (heartbeats, i), &no_reply);
}

void
fl_forwarder_drain (struct fl_forwarder *forwarder)
{
  if (forwarder->is_draining)
    return;
  forwarder->is_draining = true;
  cut_heartbeats (forwarder);
}

int
fl_forwarder_open_peer_orders (const struct fl_forwarder *forwarder)
{
  return (int)g_hash_table_size (forwarder->incoming) + forward_batches_open (forwarder->batches);
}

const struct fl_target_calls *
fl_forwarder_calls (const struct fl_forwarder *forwarder)
{
  return &forwarder->calls;
}

void
fl_forwarder_set_enabled (struct fl_forwarder *forwarder, bool enabled)
{
  if (forwarder->enabled == enabled)
    return;
  forwarder->enabled = enabled;
  fl_log (forwarder->options.log, FL_LOG_NOTICE, enabled ? "carrying_on" : "carrying_off",
          FL_I ("peers", forwarder->peers->len));
  if (enabled)
    ping_peers (forwarder);
}

void
fl_forwarder_set_peer (struct fl_forwarder *forwarder,
                       const struct fl_name *name,
                       const struct fl_name *address)
{
  for (guint i = 0; i < forwarder->peers->len; i++)
    {
      struct forward_peer *peer = &g_array_index (forwarder->peers, struct forward_peer, i);
      if (!fl_name_eq (&peer->name, name))
        continue;
      if (!fl_name_eq (&peer->address, address))
        *peer = (struct forward_peer){ .name = *name, .address = *address };
      return;
    }
  struct forward_peer peer = { .name = *name, .address = *address };
  g_array_append_val (forwarder->peers, peer);
}
