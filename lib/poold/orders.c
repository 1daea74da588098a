/* Carries the core's orders to targets and their answers back. */
#include <glib.h>

#include "common/clock.h"
#include "poold/poold_internal.h"

struct order_call
{
  struct fl_term *term;
  struct fl_name name; /* task, or target of a hold */
  int64_t run;
  int64_t sent_ms;
};

static struct order_call *
order_call_new (struct fl_term *term, const struct fl_name *name, int64_t run)
{
  struct order_call *call = g_new0 (struct order_call, 1);

  term->references++;
  *call = (struct order_call){ term, *name, run, fl_clock_boot_ms () };
  return call;
}

static void
order_call_free (struct order_call *call)
{
  fl_term_unref (call->term);
  g_free (call);
}

static void
note_result (struct order_call *call, const char *order, const struct fl_order_reply *reply)
{
  struct fl_poold *poold = call->term->poold;

  poold->changed = true;
  if (reply->result == FL_ORDER_DONE)
    {
      fl_stats_record (poold->host->stats, order, fl_clock_boot_ms () - call->sent_ms);
      return;
    }
  /* Of holds the core tells when a target falls silent and when it answers again. */
  fl_log (&poold->host->log, call->run > 0 ? FL_LOG_INFO : FL_LOG_DEBUG, "order_result",
          FL_S ("order", order), FL_N ("name", &call->name), FL_I ("run", call->run),
          FL_S ("result", fl_order_result_name (reply->result)),
          FL_I ("after_ms", fl_clock_boot_ms () - call->sent_ms));
  if (reply->result == FL_ORDER_FENCED && !call->term->ended)
    fl_ownership_superseded (poold->ownership);
}

/* --- start, stop, pace --- */

static void
on_started (void *context, const struct fl_order_reply *reply)
{
  struct order_call *call = context;

  note_result (call, "start_ms", reply);
  if (!call->term->ended)
    fl_core_handle_start_reply (call->term->core, &call->name, call->run, reply->result,
                                fl_clock_boot_ms ());
  order_call_free (call);
}

static void
start (void *context, const struct fl_start_order *order)
{
  struct fl_term *term = context;
  const struct fl_target_calls *calls = term->poold->calls;

  calls->start (calls->context, order, on_started, order_call_new (term, &order->task, order->run));
}

static void
on_stopped (void *context, const struct fl_order_reply *reply)
{
  struct order_call *call = context;

  note_result (call, "stop_ms", reply);
  if (!call->term->ended)
    fl_core_handle_stop_reply (call->term->core, &call->name, call->run, reply->result,
                               fl_clock_boot_ms ());
  order_call_free (call);
}

static void
stop (void *context, const struct fl_run_order *order)
{
  struct fl_term *term = context;
  const struct fl_target_calls *calls = term->poold->calls;

  calls->stop (calls->context, order, on_stopped, order_call_new (term, &order->task, order->run));
}

static void
on_paced (void *context, const struct fl_order_reply *reply)
{
  struct order_call *call = context;

  note_result (call, "pace_ms", reply);
  order_call_free (call);
}

static void
pace (void *context, const struct fl_run_order *order)
{
  struct fl_term *term = context;
  const struct fl_target_calls *calls = term->poold->calls;

  calls->pace (calls->context, order, on_paced, order_call_new (term, &order->task, order->run));
}

static bool
ask (void *context,
     const struct fl_name *step,
     const struct fl_name *targets,
     size_t count,
     int64_t expected_ms)
{
  struct fl_term *term = context;

  return fl_advisors_ask (term->poold->advisors, step, targets, count, expected_ms);
}

const struct fl_core_actions fl_term_actions = { start, stop, pace, ask };

/* --- holds --- */

static void
on_held (void *context, const struct fl_order_reply *reply)
{
  struct order_call *call = context;
  struct fl_term *term = call->term;

  note_result (call, "hold_ms", reply);
  if (!term->ended)
    {
      g_hash_table_remove (term->held, &call->name);
      fl_core_handle_heartbeat_reply (term->core, &call->name, reply, call->sent_ms,
                                      fl_clock_boot_ms ());
    }
  order_call_free (call);
}

static bool
may_hold (const struct fl_poold *poold, int64_t now_ms)
{
  return now_ms < fl_ownership_authority_until (poold->ownership) + fl_ownership_hold_on_ms ();
}

void
fl_term_hold_targets (struct fl_term *term)
{
  const struct fl_target_calls *calls = term->poold->calls;
  int64_t now_ms = fl_clock_boot_ms ();
  g_autoptr (GPtrArray) ids = NULL;

  if (!may_hold (term->poold, now_ms))
    return;
  ids = fl_core_target_ids (term->core);
  for (guint i = 0; i < ids->len; i++)
    {
      const struct fl_name *id = g_ptr_array_index (ids, i);
      struct fl_hold_order order;
      if (g_hash_table_contains (term->held, id)
          || !fl_core_prepare_heartbeat (term->core, id, now_ms, &order))
        continue;
      g_hash_table_add (term->held, g_memdup2 (id, sizeof *id));
      calls->hold (calls->context, &order, on_held, order_call_new (term, id, 0));
    }
}
