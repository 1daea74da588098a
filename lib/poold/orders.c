/* Sends the core's orders and heartbeats to targets and returns the replies to the core. */
#include <glib.h>

#include "common/clock.h"
#include "poold/poold_internal.h"

/* Heartbeats that the core prepares at a time. */
#define HEARTBEATS_PER_CALL 32

struct order_call
{
  struct fl_term *term;
  struct fl_name id; /* of the task, or of the target of a heartbeat */
  int64_t run;       /* 0 for a heartbeat */
  struct fl_name target;
  int64_t fencing_token;
  int64_t sent_ms;
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
  *call = (struct order_call){ term, *id, run, *target, fencing_token, fl_clock_boot_ms () };
  return call;
}

static void
order_call_free (struct order_call *call)
{
  fl_term_unref (call->term);
  g_free (call);
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

/* --- orders --- */

static void
on_start_reply (void *context, const struct fl_order_reply *reply)
{
  struct order_call *call = context;

  record_result (call, "start_ms", reply);
  if (!call->term->ended)
    {
      fl_core_handle_clock (call->term->core, &call->target, reply->clock_ms);
      fl_core_handle_start_reply (call->term->core, &call->id, call->run, reply->result,
                                  fl_clock_boot_ms ());
    }
  order_call_free (call);
}

static void
send_start (void *context, const struct fl_start_order *order)
{
  struct fl_term *term = context;
  const struct fl_target_calls *calls = term->poold->calls;

  calls->start (
      calls->context, order, on_start_reply,
      order_call_new (term, &order->task, order->run, &order->target, order->fencing_token));
}

static void
on_stop_reply (void *context, const struct fl_order_reply *reply)
{
  struct order_call *call = context;

  record_result (call, "stop_ms", reply);
  if (!call->term->ended)
    {
      fl_core_handle_clock (call->term->core, &call->target, reply->clock_ms);
      fl_core_handle_stop_reply (call->term->core, &call->id, call->run, reply->result,
                                 fl_clock_boot_ms ());
    }
  order_call_free (call);
}

static void
send_stop (void *context, const struct fl_run_order *order)
{
  struct fl_term *term = context;
  const struct fl_target_calls *calls = term->poold->calls;

  calls->stop (
      calls->context, order, on_stop_reply,
      order_call_new (term, &order->task, order->run, &order->target, order->fencing_token));
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

  calls->throttle (
      calls->context, order, on_throttle_reply,
      order_call_new (term, &order->task, order->run, &order->target, order->fencing_token));
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

const struct fl_core_actions fl_term_actions
    = { send_start, send_stop, send_throttle, query_advice, may_query_advice };

/* --- heartbeats --- */

static void
on_heartbeat_reply (void *context, const struct fl_order_reply *reply)
{
  struct order_call *call = context;
  struct fl_term *term = call->term;
  static const struct fl_order_reply no_reply = { .result = FL_ORDER_NO_REPLY };

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
  order_call_free (call);
}

static bool
may_send_heartbeats (const struct fl_poold *poold, int64_t now_ms)
{
  return now_ms < fl_ownership_get_authority_until (poold->ownership)
                      + fl_ownership_get_heartbeat_grace_ms ();
}

void
fl_term_send_heartbeats (struct fl_term *term)
{
  const struct fl_target_calls *calls = term->poold->calls;
  int64_t now_ms = fl_clock_boot_ms ();
  struct fl_heartbeat_order orders[HEARTBEATS_PER_CALL];
  size_t count;

  if (!may_send_heartbeats (term->poold, now_ms))
    return;
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
          calls->heartbeat (calls->context, &orders[i], on_heartbeat_reply,
                            order_call_new (term, id, 0, id, orders[i].fencing_token));
        }
    }
  while (count == HEARTBEATS_PER_CALL);
}
