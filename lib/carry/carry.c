#include "carry/carry.h"

#include <string.h>

#include <glib.h>

#include "carry/message.h"
#include "common/clock.h"

/* An order is given up this much after the host that carries it would have given it up: two ways
 * between hosts, and its turn on a small processor. */
#define CARRY_SLACK_MS 150
/* Longest times that carrying hosts give targets: a start 200 ms, other orders 700 ms, a hold
 * 300 ms after its wait. */
#define START_TIMEOUT_MS (200 + CARRY_SLACK_MS)
#define ORDER_TIMEOUT_MS (700 + CARRY_SLACK_MS)
#define HOLD_TIMEOUT_MS (300 + CARRY_SLACK_MS)
/* Peers that do not carry are asked at this pace whether they do. */
#define PING_MS 1000

struct peer
{
  struct fl_name name;
  struct fl_name address;
  bool carries; /* answered a ping, and every order since */
};

/* An order of this host that a peer carries. */
struct own_order
{
  struct fl_carry *carry;
  int64_t number;
  struct fl_name peer;
  ev_timer timeout;
  void (*done) (void *context, const struct fl_order_reply *reply);
  void *context;
};

/* An order of a peer that this host carries. */
struct carried_order
{
  struct fl_carry *carry;
  struct fl_route from;
  int64_t number;
};

struct fl_carry
{
  struct fl_carry_options options;
  struct fl_target_calls calls;
  bool enabled;
  GArray *peers;    /* struct peer */
  GHashTable *open; /* number -> struct own_order */
  int64_t last_number;
  ev_timer ping;
};

/* --- peers --- */

static bool
send_message (struct fl_carry *carry,
              const struct fl_route *to,
              const struct fl_carry_message *message)
{
  msgpack_sbuffer buffer;
  bool sent;

  msgpack_sbuffer_init (&buffer);
  fl_carry_encode (message, &buffer);
  sent = carry->options.send (carry->options.context, to, buffer.data, buffer.size);
  msgpack_sbuffer_destroy (&buffer);
  return sent;
}

static struct peer *
find_peer (struct fl_carry *carry, const struct fl_name *address)
{
  for (guint i = 0; i < carry->peers->len; i++)
    {
      struct peer *peer = &g_array_index (carry->peers, struct peer, i);
      if (fl_name_eq (&peer->address, address))
        return peer;
    }
  return NULL;
}

static void
leave_out (struct fl_carry *carry, struct peer *peer)
{
  if (peer == NULL || !peer->carries)
    return;
  peer->carries = false;
  fl_stats_add (carry->options.stats, "carriers_left_out_total", 1);
  fl_log (carry->options.log, FL_LOG_NOTICE, "carrier_left_out", FL_N ("host", &peer->name));
}

/* The peer that carries for @target: always the same while it answers, so that connections are
 * kept. NULL for none. */
static struct peer *
carrier_of (struct fl_carry *carry, const struct fl_name *target)
{
  struct peer *peer;

  if (!carry->enabled || carry->peers->len == 0)
    return NULL;
  peer = &g_array_index (carry->peers, struct peer, fl_name_hash (target) % carry->peers->len);
  return peer->carries ? peer : NULL;
}

static void
on_ping_time (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct fl_carry *carry = timer->data;
  struct fl_carry_message ping = { .kind = FL_CARRY_PING };

  (void)loop;
  (void)events;
  for (guint i = 0; carry->enabled && i < carry->peers->len; i++)
    {
      const struct peer *peer = &g_array_index (carry->peers, struct peer, i);
      struct fl_route to = { .address = peer->address };
      if (!peer->carries)
        send_message (carry, &to, &ping);
    }
}

/* --- own orders --- */

static void
finish_order (struct own_order *order, const struct fl_order_reply *reply)
{
  struct fl_carry *carry = order->carry;

  ev_timer_stop (carry->options.loop, &order->timeout);
  g_hash_table_steal (carry->open, &order->number);
  order->done (order->context, reply);
  g_free (order);
}

/* All orders that the peer at @address carries count as unanswered. */
static void
give_up_orders (struct fl_carry *carry, const struct fl_name *address)
{
  struct fl_order_reply reply = { .result = FL_ORDER_NO_REPLY };
  g_autoptr (GPtrArray) orders = g_ptr_array_new ();
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, carry->open);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (fl_name_eq (&((struct own_order *)value)->peer, address))
      g_ptr_array_add (orders, value);
  for (guint i = 0; i < orders->len; i++)
    finish_order (g_ptr_array_index (orders, i), &reply);
}

static void
on_order_timeout (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct own_order *order = timer->data;
  struct fl_carry *carry = order->carry;
  struct fl_name peer = order->peer;

  (void)loop;
  (void)events;
  leave_out (carry, find_peer (carry, &peer));
  give_up_orders (carry, &peer);
}

/* Hands @message to the peer that carries for its target. @return false when none does. */
static bool
hand_over (struct fl_carry *carry,
           struct fl_carry_message *message,
           int64_t timeout_ms,
           void (*done) (void *context, const struct fl_order_reply *reply),
           void *done_context)
{
  struct peer *peer = carrier_of (carry, &message->target);
  struct fl_route to = { 0 };
  struct own_order *order;

  if (peer == NULL)
    return false;
  to.address = peer->address;
  message->number = ++carry->last_number;
  if (!send_message (carry, &to, message))
    {
      leave_out (carry, peer);
      return false;
    }
  order = g_new0 (struct own_order, 1);
  *order = (struct own_order){ .carry = carry,
                               .number = message->number,
                               .peer = peer->address,
                               .done = done,
                               .context = done_context };
  ev_timer_init (&order->timeout, on_order_timeout, (double)timeout_ms / 1000.0, 0.0);
  order->timeout.data = order;
  ev_timer_start (carry->options.loop, &order->timeout);
  g_hash_table_insert (carry->open, &order->number, order);
  fl_stats_add (carry->options.stats, "orders_handed_over_total", 1);
  return true;
}

static void
start (void *context,
       const struct fl_start_order *order,
       void (*done) (void *context, const struct fl_order_reply *reply),
       void *done_context)
{
  struct fl_carry *carry = context;
  const struct fl_target_calls *direct = carry->options.direct;
  struct fl_carry_message message
      = { .kind = FL_CARRY_START,
          .target = order->target,
          .address = order->address,
          .task = order->task,
          .run = order->run,
          .fencing_token = order->fencing_token,
          .deadline_ms = order->deadline_ms,
          .text = { order->text_len, (char *)order->text },
          .checkpoint = { strlen (order->checkpoint), (char *)order->checkpoint },
          .ticket = fl_name_of (order->ticket) };

  if (!carry->options.may_send (carry->options.context)
      || !hand_over (carry, &message, START_TIMEOUT_MS, done, done_context))
    direct->start (direct->context, order, done, done_context);
}

static struct fl_carry_message
run_message (enum fl_carry_kind kind, const struct fl_run_order *order)
{
  return (struct fl_carry_message){ .kind = (int)kind,
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
  struct fl_carry *carry = context;
  const struct fl_target_calls *direct = carry->options.direct;
  struct fl_carry_message message = run_message (FL_CARRY_STOP, order);

  if (!hand_over (carry, &message, ORDER_TIMEOUT_MS, done, done_context))
    direct->stop (direct->context, order, done, done_context);
}

static void
pace (void *context,
      const struct fl_run_order *order,
      void (*done) (void *context, const struct fl_order_reply *reply),
      void *done_context)
{
  struct fl_carry *carry = context;
  const struct fl_target_calls *direct = carry->options.direct;
  struct fl_carry_message message = run_message (FL_CARRY_PACE, order);

  if (!carry->options.may_send (carry->options.context)
      || !hand_over (carry, &message, ORDER_TIMEOUT_MS, done, done_context))
    direct->throttle (direct->context, order, done, done_context);
}

static void
hold (void *context,
      const struct fl_heartbeat_order *order,
      void (*done) (void *context, const struct fl_order_reply *reply),
      void *done_context)
{
  struct fl_carry *carry = context;
  const struct fl_target_calls *direct = carry->options.direct;
  struct fl_carry_message message = { .kind = FL_CARRY_HOLD,
                                      .target = order->target,
                                      .address = order->address,
                                      .fencing_token = order->fencing_token,
                                      .deadline_ms = order->deadline_ms,
                                      .last_recorded_end = order->last_recorded_end,
                                      .wait_ms = order->wait_ms };

  if (!hand_over (carry, &message, HOLD_TIMEOUT_MS + order->wait_ms, done, done_context))
    direct->heartbeat (direct->context, order, done, done_context);
}

static void
on_answer (struct fl_carry *carry, const struct fl_carry_message *message)
{
  struct own_order *order = g_hash_table_lookup (carry->open, &message->number);
  struct fl_target_report lists = { .booted_at_ms = message->booted_at_ms,
                                    .clock_ms = message->clock_ms,
                                    .runs = message->runs.items,
                                    .run_count = message->runs.count,
                                    .ends = message->ends.items,
                                    .end_count = message->ends.count };
  struct fl_order_reply reply = { .result = (enum fl_order_result)message->result,
                                  .clock_ms = message->clock_ms,
                                  .report = message->has_report ? &lists : NULL };

  if (order != NULL)
    finish_order (order, &reply);
}

/* --- orders of peers --- */

static void
on_carried (void *context, const struct fl_order_reply *reply)
{
  struct carried_order *order = context;
  struct fl_carry_message message = { .kind = FL_CARRY_ANSWER,
                                      .number = order->number,
                                      .result = (int)reply->result,
                                      .clock_ms = reply->clock_ms };

  if (reply->report != NULL)
    {
      message.has_report = true;
      message.booted_at_ms = reply->report->booted_at_ms;
      message.runs = (struct fl_array){ reply->report->run_count, reply->report->runs };
      message.ends = (struct fl_array){ reply->report->end_count, reply->report->ends };
    }
  if (!send_message (order->carry, &order->from, &message))
    fl_stats_add (order->carry->options.stats, "carried_answers_unsent_total", 1);
  g_free (order);
}

static void
carry_start (const struct fl_target_calls *calls,
             const struct fl_carry_message *message,
             struct carried_order *context)
{
  struct fl_start_order order = {
    .target = message->target,
    .address = message->address,
    .task = message->task,
    .run = message->run,
    .fencing_token = message->fencing_token,
    .deadline_ms = message->deadline_ms,
    .text = fl_str_text (&message->text),
    .text_len = message->text.len,
    .checkpoint = fl_str_text (&message->checkpoint),
    .ticket = message->ticket.data,
  };

  calls->start (calls->context, &order, on_carried, context);
}

static void
carry_run_order (const struct fl_target_calls *calls,
                 const struct fl_carry_message *message,
                 struct carried_order *context)
{
  struct fl_run_order order = {
    .target = message->target,
    .address = message->address,
    .task = message->task,
    .run = message->run,
    .fencing_token = message->fencing_token,
    .share_percent = message->share_percent,
  };

  if (message->kind == FL_CARRY_STOP)
    calls->stop (calls->context, &order, on_carried, context);
  else
    calls->throttle (calls->context, &order, on_carried, context);
}

static void
carry_hold (const struct fl_target_calls *calls,
            const struct fl_carry_message *message,
            struct carried_order *context)
{
  struct fl_heartbeat_order order = {
    .target = message->target,
    .address = message->address,
    .fencing_token = message->fencing_token,
    .deadline_ms = message->deadline_ms,
    .last_recorded_end = message->last_recorded_end,
    .wait_ms = message->wait_ms,
  };

  calls->heartbeat (calls->context, &order, on_carried, context);
}

static void
carry_order (struct fl_carry *carry,
             const struct fl_route *from,
             const struct fl_carry_message *message)
{
  const struct fl_target_calls *calls = carry->options.carried;
  struct carried_order *order = g_new0 (struct carried_order, 1);

  *order = (struct carried_order){ carry, *from, message->number };
  fl_stats_add (carry->options.stats, "orders_carried_total", 1);
  if (message->kind == FL_CARRY_START)
    carry_start (calls, message, order);
  else if (message->kind == FL_CARRY_HOLD)
    carry_hold (calls, message, order);
  else
    carry_run_order (calls, message, order);
}

/* --- messages --- */

static void
on_pong (struct fl_carry *carry, const struct fl_route *from)
{
  struct peer *peer = find_peer (carry, &from->address);

  if (peer == NULL || peer->carries)
    return;
  peer->carries = true;
  fl_log (carry->options.log, FL_LOG_NOTICE, "carrier_used", FL_N ("host", &peer->name));
}

void
fl_carry_receive (struct fl_carry *carry, const struct fl_route *from, const char *data, size_t len)
{
  struct fl_carry_message message;
  struct fl_carry_message pong = { .kind = FL_CARRY_PONG };
  struct fl_error error = { 0 };

  if (!fl_carry_decode (data, len, &message, &error))
    {
      fl_stats_add (carry->options.stats, "messages_malformed_total", 1);
      fl_log_error (carry->options.log, FL_LOG_WARNING, "message_malformed", &error);
    }
  else if (message.kind == FL_CARRY_ANSWER)
    on_answer (carry, &message);
  else if (message.kind == FL_CARRY_PING)
    send_message (carry, from, &pong);
  else if (message.kind == FL_CARRY_PONG)
    on_pong (carry, from);
  else
    carry_order (carry, from, &message);
  fl_carry_clear (&message);
}

/* --- creation --- */

static void
own_order_free (void *data)
{
  struct own_order *order = data;

  ev_timer_stop (order->carry->options.loop, &order->timeout);
  g_free (order);
}

struct fl_carry *
fl_carry_new (const struct fl_carry_options *options)
{
  struct fl_carry *carry = g_new0 (struct fl_carry, 1);

  carry->options = *options;
  carry->calls = (struct fl_target_calls){
    .context = carry, .start = start, .stop = stop, .throttle = pace, .heartbeat = hold
  };
  carry->peers = g_array_new (FALSE, FALSE, sizeof (struct peer));
  carry->open = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, own_order_free);
  ev_timer_init (&carry->ping, on_ping_time, PING_MS / 1000.0, PING_MS / 1000.0);
  carry->ping.data = carry;
  ev_timer_start (options->loop, &carry->ping);
  return carry;
}

void
fl_carry_free (struct fl_carry *carry)
{
  if (carry == NULL)
    return;
  ev_timer_stop (carry->options.loop, &carry->ping);
  g_hash_table_destroy (carry->open);
  g_array_unref (carry->peers);
  g_free (carry);
}

const struct fl_target_calls *
fl_carry_calls (const struct fl_carry *carry)
{
  return &carry->calls;
}

void
fl_carry_enable (struct fl_carry *carry, bool enabled)
{
  if (carry->enabled == enabled)
    return;
  carry->enabled = enabled;
  fl_log (carry->options.log, FL_LOG_NOTICE, enabled ? "carrying_on" : "carrying_off",
          FL_I ("peers", carry->peers->len));
  if (enabled)
    on_ping_time (carry->options.loop, &carry->ping, 0);
}

void
fl_carry_set_peer (struct fl_carry *carry,
                   const struct fl_name *name,
                   const struct fl_name *address)
{
  for (guint i = 0; i < carry->peers->len; i++)
    {
      struct peer *peer = &g_array_index (carry->peers, struct peer, i);
      if (!fl_name_eq (&peer->name, name))
        continue;
      if (!fl_name_eq (&peer->address, address))
        *peer = (struct peer){ *name, *address, false };
      return;
    }
  struct peer peer = { *name, *address, false };
  g_array_append_val (carry->peers, peer);
}
