/* Sends the core's orders and heartbeats to targets and returns the replies to the core. */
#include <string.h>

#include <glib.h>

#include "common/clock.h"
#include "common/timeout.h"
#include "poold/poold_internal.h"

/* Heartbeats that the core prepares at a time. */
#define HEARTBEATS_PER_CALL 32
/* What an order takes until its call ends, besides its payload and checkpoint: the call of the HTTP
 * client, its URL and headers, and what libcurl keeps of it. */
#define ORDER_BYTES 8192
/* The payload and the checkpoint become longer as JSON. */
#define ORDER_TEXT_FACTOR 2

static const struct fl_order_reply no_reply = { .result = FL_ORDER_NO_REPLY };

struct order_call
{
  struct fl_term *term;
  struct fl_name id; /* of the task, or of the target of a heartbeat */
  int64_t run;       /* 0 for a heartbeat */
  struct fl_name target;
  int64_t fencing_token;
  int64_t sent_ms;
  int64_t wait_ms; /* of a heartbeat */
  int64_t bytes;   /* part of order_bytes of the term */
  struct fl_timeout limit;
  bool is_late; /* the core was told that there is no reply */
};

static struct order_call *
order_call_new (struct fl_term *term,
                const struct fl_name *id,
                int64_t run,
                const struct fl_name *target,
                int64_t fencing_token)
{
  struct order_call *call = g_new0 (struct order_call, 1);

  term->ref_count++;
  *call = (struct order_call){ .term = term,
                               .id = *id,
                               .run = run,
                               .target = *target,
                               .fencing_token = fencing_token,
                               .sent_ms = fl_clock_boot_ms () };
  return call;
}

static void
order_call_free (struct order_call *call)
{
  fl_timeout_stop (&call->limit);
  call->term->order_bytes -= call->bytes;
  fl_term_unref (call->term);
  g_free (call);
}

/* Counts @call, with @text_bytes of payload and checkpoint, as one of the orders that
 * get_order_load limits. */
static void
charge_memory (struct order_call *call, size_t text_bytes)
{
  call->bytes = ORDER_BYTES + ORDER_TEXT_FACTOR * (int64_t)text_bytes;
  call->term->order_bytes += call->bytes;
}

static void
record_result (struct order_call *call, const char *metric, const struct fl_order_reply *reply)
{
  struct fl_poold *poold = call->term->poold;

  poold->tick_requested = true;
  if (reply->result == FL_ORDER_DONE)
    {
      fl_stats_record (poold->host->stats, metric, fl_clock_boot_ms () - call->sent_ms);
      return;
    }
  /* Failed heartbeats are logged at debug level only: the core logs when a target falls silent and
   * when it replies again. */
  fl_log (&poold->host->log, call->run > 0 ? FL_LOG_INFO : FL_LOG_DEBUG, "order_result",
          FL_S ("order", metric), FL_N ("name", &call->id), FL_I ("run", call->run),
          FL_S ("result", fl_order_result_name (reply->result)),
          FL_I ("after_ms", fl_clock_boot_ms () - call->sent_ms));
  if (reply->result == FL_ORDER_FENCED && !call->term->ended
      && fl_core_token_is_current (call->term->core, &call->target, call->fencing_token))
    fl_ownership_mark_superseded (poold->ownership);
}

/* Calls @on_limit when @limit_ms have passed, unless @call is freed before. A reply that arrives
 * earlier is handled first. */
static void
start_limit (struct order_call *call, int64_t limit_ms, void (*on_limit) (void *context))
{
  fl_timeout_init (&call->limit, call->term->poold->host->loop, on_limit, call);
  fl_timeout_start (&call->limit, limit_ms);
}

/* How much later a reply arrives here than at the host that sends orders to @target. */
static int64_t
get_slack_ms (const struct fl_term *term, const struct fl_name *target)
{
  return fl_forwarder_get_slack_ms (term->poold->forwarder, target);
}

static void
handle_reply_time (const struct order_call *call, const struct fl_order_reply *reply)
{
  if (!call->term->ended)
    fl_core_handle_reply_time (call->term->core, &call->target, reply, call->sent_ms, call->wait_ms,
                               fl_clock_boot_ms ());
}

static void
log_late_reply (const struct order_call *call,
                const char *metric,
                const struct fl_order_reply *reply)
{
  const struct fl_host *host = call->term->poold->host;

  fl_stats_add (host->stats, "orders_late_total", 1);
  fl_log (&host->log, FL_LOG_DEBUG, "order_late", FL_S ("order", metric), FL_N ("name", &call->id),
          FL_I ("run", call->run), FL_S ("result", fl_order_result_name (reply->result)),
          FL_I ("after_ms", fl_clock_boot_ms () - call->sent_ms));
}

/* --- orders --- */

/* Whether a reply to a start or a stop counts after its limit, when the order may have been
 * repeated: a rejection of one copy does not tell of the others. */
static bool
counts_late (const struct fl_order_reply *reply)
{
  return reply->result == FL_ORDER_DONE || reply->result == FL_ORDER_STALE_RUN;
}

/* Handles the reply to a start or a stop, with @handle_reply unless the core was told that there is
 * none and that stands, and frees @call. */
static void
finish_run_order (struct order_call *call,
                  const char *metric,
                  const struct fl_order_reply *reply,
                  void (*handle_reply) (struct fl_core *core,
                                        const struct fl_name *task,
                                        int64_t run,
                                        enum fl_order_result result,
                                        int64_t now_ms))
{
  struct fl_core *core = call->term->core;

  handle_reply_time (call, reply);
  if (call->is_late)
    log_late_reply (call, metric, reply);
  else
    record_result (call, metric, reply);
  if (!call->term->ended && !call->is_late)
    fl_core_handle_clock (core, &call->target, reply->clock_ms, fl_clock_boot_ms ());
  if (!call->term->ended && (!call->is_late || counts_late (reply)))
    handle_reply (core, &call->id, call->run, reply->result, fl_clock_boot_ms ());
  order_call_free (call);
}

static void
on_start_reply (void *context, const struct fl_order_reply *reply)
{
  finish_run_order (context, "start_ms", reply, fl_core_handle_start_reply);
}

static void
on_start_limit (void *context)
{
  struct order_call *call = context;

  call->is_late = true;
  record_result (call, "start_ms", &no_reply);
  if (!call->term->ended)
    fl_core_handle_start_reply (call->term->core, &call->id, call->run, FL_ORDER_NO_REPLY,
                                fl_clock_boot_ms ());
}

/* The first start order of a run may go through two peers. */
static void
send_start (void *context, const struct fl_start_order *order)
{
  struct fl_term *term = context;
  const struct fl_target_calls *calls = term->poold->calls;
  struct order_call *call
      = order_call_new (term, &order->task, order->run, &order->target, order->fencing_token);
  int64_t slack_ms = get_slack_ms (term, &order->target);

  charge_memory (call, order->payload_len + strlen (order->checkpoint));
  start_limit (call, order->reply_limit_ms + (order->is_repeated ? slack_ms : 2 * slack_ms),
               on_start_limit);
  calls->start (calls->context, order, on_start_reply, call);
}

static void
on_stop_reply (void *context, const struct fl_order_reply *reply)
{
  finish_run_order (context, "stop_ms", reply, fl_core_handle_stop_reply);
}

static void
on_stop_limit (void *context)
{
  struct order_call *call = context;

  call->is_late = true;
  record_result (call, "stop_ms", &no_reply);
  if (!call->term->ended)
    fl_core_handle_stop_reply (call->term->core, &call->id, call->run, FL_ORDER_NO_REPLY,
                               fl_clock_boot_ms ());
}

static void
send_stop (void *context, const struct fl_run_order *order)
{
  struct fl_term *term = context;
  const struct fl_target_calls *calls = term->poold->calls;
  struct order_call *call
      = order_call_new (term, &order->task, order->run, &order->target, order->fencing_token);

  charge_memory (call, 0);
  start_limit (call, order->reply_limit_ms + get_slack_ms (term, &order->target), on_stop_limit);
  calls->stop (calls->context, order, on_stop_reply, call);
}

static void
on_throttle_reply (void *context, const struct fl_order_reply *reply)
{
  struct order_call *call = context;

  record_result (call, "pace_ms", reply);
  order_call_free (call);
}

static void
send_throttle (void *context, const struct fl_run_order *order)
{
  struct fl_term *term = context;
  const struct fl_target_calls *calls = term->poold->calls;
  struct order_call *call
      = order_call_new (term, &order->task, order->run, &order->target, order->fencing_token);

  charge_memory (call, 0);
  calls->throttle (calls->context, order, on_throttle_reply, call);
}

static bool
query_advice (void *context,
              const struct fl_name *step,
              const struct fl_name *targets,
              size_t count,
              const struct fl_advice_demand *demand)
{
  struct fl_term *term = context;

  return fl_advisors_send_query (term->poold->advisors, step, targets, count, demand);
}

static bool
may_query_advice (void *context, const struct fl_advice_demand *demand)
{
  struct fl_term *term = context;

  return fl_advisors_are_available (term->poold->advisors, demand);
}

static int
get_order_load (void *context)
{
  const struct fl_term *term = context;

  return (int)(term->order_bytes * 100 / MAX (term->order_bytes_max, 1));
}

const struct fl_core_actions fl_term_actions
    = { send_start, send_stop, send_throttle, query_advice, may_query_advice, get_order_load };

/* --- heartbeats --- */

static void
handle_heartbeat_reply (struct order_call *call, const struct fl_order_reply *reply)
{
  struct fl_term *term = call->term;

  record_result (call, "hold_ms", reply);
  /* The target has left and returned since: the core has prepared another heartbeat. */
  if (!term->ended && !fl_core_token_is_current (term->core, &call->target, call->fencing_token))
    reply = &no_reply;
  if (!term->ended)
    {
      g_hash_table_remove (term->heartbeats_in_flight, &call->id);
      fl_core_handle_heartbeat_reply (term->core, &call->id, reply, call->sent_ms,
                                      fl_clock_boot_ms ());
    }
}

static void
on_heartbeat_limit (void *context)
{
  struct order_call *call = context;

  call->is_late = true;
  handle_heartbeat_reply (call, &no_reply);
}

/* A report that arrives after the next heartbeat was sent may be older than the reply to it, and
 * only shows how long replies take. */
static void
on_heartbeat_reply (void *context, const struct fl_order_reply *reply)
{
  struct order_call *call = context;

  handle_reply_time (call, reply);
  if (call->is_late)
    log_late_reply (call, "hold_ms", reply);
  else
    handle_heartbeat_reply (call, reply);
  order_call_free (call);
}

static void
send_heartbeat (struct fl_term *term, const struct fl_heartbeat_order *order)
{
  const struct fl_target_calls *calls = term->poold->calls;
  struct order_call *call
      = order_call_new (term, &order->target, 0, &order->target, order->fencing_token);

  call->wait_ms = order->wait_ms;
  start_limit (call, order->reply_limit_ms + order->wait_ms + get_slack_ms (term, &order->target),
               on_heartbeat_limit);
  calls->heartbeat (calls->context, order, on_heartbeat_reply, call);
}

void
fl_term_send_heartbeats (struct fl_term *term)
{
  int64_t now_ms = fl_clock_boot_ms ();
  struct fl_heartbeat_order orders[HEARTBEATS_PER_CALL];
  size_t count;

  if (!fl_poold_may_renew (term->poold))
    return;
  fl_core_ask_longest_leases (term->core, fl_ownership_is_at_risk (term->poold->ownership));
  do
    {
      count = fl_core_prepare_heartbeats (term->core, now_ms, orders, HEARTBEATS_PER_CALL);
      for (size_t i = 0; i < count; i++)
        {
          const struct fl_name *id = &orders[i].target;
          /* A target that was removed and registered again may still have a heartbeat in flight,
           * whose reply then stands for that of the new one. */
          if (g_hash_table_contains (term->heartbeats_in_flight, id))
            continue;
          g_hash_table_add (term->heartbeats_in_flight, g_memdup2 (id, sizeof *id));
          send_heartbeat (term, &orders[i]);
        }
    }
  while (count == HEARTBEATS_PER_CALL);
}
