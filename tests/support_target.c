#include "support_target.h"

#include <string.h>

void
target_state_init (struct target_state *state, int64_t booted_at_ms, double clock_rate)
{
  memset (state, 0, sizeof *state);
  state->booted_at_ms = booted_at_ms;
  state->clock_rate = clock_rate;
  state->runs = g_array_new (FALSE, TRUE, sizeof (struct target_run));
  state->ends = g_array_new (FALSE, TRUE, sizeof (struct target_end));
  state->closed_runs = g_hash_table_new_full (fl_name_hash, fl_name_equal, g_free, NULL);
}

void
target_state_clear (struct target_state *state)
{
  g_array_unref (state->runs);
  g_array_unref (state->ends);
  g_hash_table_destroy (state->closed_runs);
}

void
target_state_restart (struct target_state *state, int64_t now_ms)
{
  g_array_set_size (state->runs, 0);
  g_array_set_size (state->ends, 0);
  g_hash_table_remove_all (state->closed_runs);
  state->fencing_token = 0;
  state->lease_expiry_ms = 0;
  state->last_end_number = 0;
  state->booted_at_ms = now_ms;
  state->clock_start_ms = 0;
}

int64_t
target_state_get_clock_ms (const struct target_state *state, int64_t now_ms)
{
  return state->clock_start_ms
         + (int64_t)((double)(now_ms - state->booted_at_ms) * state->clock_rate);
}

/* Makes later starts of @task fail for @run and lower runs. */
static void
close_runs (struct target_state *state, const struct fl_name *task, int64_t run)
{
  intptr_t closed_run = (intptr_t)g_hash_table_lookup (state->closed_runs, task);

  g_hash_table_insert (state->closed_runs, g_memdup2 (task, sizeof *task),
                       (void *)MAX (closed_run, (intptr_t)run));
}

static void
end_run (struct target_state *state, guint index, enum fl_end_cause cause)
{
  struct target_run run = g_array_index (state->runs, struct target_run, index);
  struct target_end end
      = { .number = ++state->last_end_number, .task = run.task, .run = run.run, .cause = cause };

  g_array_remove_index_fast (state->runs, index);
  g_array_append_val (state->ends, end);
  close_runs (state, &run.task, run.run);
  if (state->observer.on_run_end != NULL)
    state->observer.on_run_end (state->observer.context, &end);
}

bool
target_state_advance (struct target_state *state, int64_t now_ms)
{
  bool expired = target_state_get_clock_ms (state, now_ms) >= state->lease_expiry_ms;
  guint ends_before = state->ends->len;

  for (guint i = 0; expired && i < state->ends->len; i++)
    g_array_index (state->ends, struct target_end, i).lease_expired = true;
  for (guint i = state->runs->len; i > 0; i--)
    {
      const struct target_run *run = &g_array_index (state->runs, struct target_run, i - 1);
      if (expired)
        end_run (state, i - 1, FL_END_LEASE_EXPIRED);
      else if (run->stop_at_ms > 0 && now_ms >= run->stop_at_ms)
        end_run (state, i - 1, FL_END_STOPPED);
      else if (run->stop_at_ms == 0 && now_ms >= run->finish_ms)
        end_run (state, i - 1, run->fails ? FL_END_FAILED : FL_END_DONE);
    }
  return state->ends->len > ends_before;
}

/* Extends the lease to @deadline_ms on the target's clock, at most TARGET_LEASE_MAX_MS from now.
 * @return false if the deadline has passed. */
static bool
extend_lease (struct target_state *state, int64_t now_ms, int64_t deadline_ms)
{
  int64_t clock_ms = target_state_get_clock_ms (state, now_ms);

  if (deadline_ms < clock_ms)
    return false;
  state->lease_expiry_ms
      = MAX (state->lease_expiry_ms, MIN (deadline_ms, clock_ms + TARGET_LEASE_MAX_MS));
  return true;
}

/* @return false if an order with a higher token has been accepted before. */
static bool
accept_fencing_token (struct target_state *state, int64_t fencing_token)
{
  if (fencing_token < state->fencing_token)
    return false;
  state->fencing_token = fencing_token;
  return true;
}

enum fl_order_result
target_state_start_run (struct target_state *state,
                        int64_t now_ms,
                        const struct fl_start_order *order,
                        int64_t work_ms,
                        bool fails)
{
  struct target_run run = { .task = order->task,
                            .run = order->run,
                            .started_ms = now_ms,
                            .finish_ms = work_ms == INT64_MAX ? INT64_MAX : now_ms + work_ms,
                            .fails = fails,
                            .share_percent = 100 };

  if (!accept_fencing_token (state, order->fencing_token))
    return FL_ORDER_FENCED;
  for (guint i = 0; i < state->runs->len; i++)
    {
      const struct target_run *other = &g_array_index (state->runs, struct target_run, i);
      if (!fl_name_eq (&other->task, &order->task) || other->run != order->run)
        continue;
      extend_lease (state, now_ms, order->deadline_ms);
      return FL_ORDER_DONE;
    }
  if ((intptr_t)g_hash_table_lookup (state->closed_runs, &order->task) >= order->run)
    {
      extend_lease (state, now_ms, order->deadline_ms);
      return FL_ORDER_STALE_RUN;
    }
  if (!extend_lease (state, now_ms, order->deadline_ms))
    return FL_ORDER_DEADLINE_PASSED;
  if (state->observer.on_run_start != NULL)
    state->observer.on_run_start (state->observer.context, order);
  g_array_append_val (state->runs, run);
  return FL_ORDER_DONE;
}

enum fl_order_result
target_state_reject_start (struct target_state *state,
                           int64_t now_ms,
                           const struct fl_start_order *order)
{
  if (!accept_fencing_token (state, order->fencing_token))
    return FL_ORDER_FENCED;
  return extend_lease (state, now_ms, order->deadline_ms) ? FL_ORDER_NO_TICKET
                                                          : FL_ORDER_DEADLINE_PASSED;
}

enum fl_order_result
target_state_stop_run (struct target_state *state,
                       int64_t now_ms,
                       const struct fl_run_order *order,
                       int64_t stop_ms)
{
  if (!accept_fencing_token (state, order->fencing_token))
    return FL_ORDER_FENCED;
  for (guint i = 0; i < state->runs->len; i++)
    {
      struct target_run *run = &g_array_index (state->runs, struct target_run, i);
      if (fl_name_eq (&run->task, &order->task) && run->run <= order->run && run->stop_at_ms == 0)
        run->stop_at_ms = now_ms + stop_ms;
    }
  close_runs (state, &order->task, order->run);
  return FL_ORDER_DONE;
}

enum fl_order_result
target_state_handle_heartbeat (struct target_state *state,
                               int64_t now_ms,
                               const struct fl_heartbeat_order *order)
{
  if (!accept_fencing_token (state, order->fencing_token))
    return FL_ORDER_FENCED;
  if (order->deadline_ms > 0)
    extend_lease (state, now_ms, order->deadline_ms);
  for (guint i = 0; i < state->ends->len;)
    {
      struct target_end end = g_array_index (state->ends, struct target_end, i);
      if (end.number > order->last_recorded_end)
        {
          i++;
          continue;
        }
      g_array_remove_index (state->ends, i);
      if (state->observer.on_end_acknowledged != NULL)
        state->observer.on_end_acknowledged (state->observer.context, &end);
    }
  return FL_ORDER_DONE;
}

bool
target_state_end_run (struct target_state *state,
                      const struct fl_name *task,
                      int64_t run,
                      enum fl_end_cause cause)
{
  for (guint i = 0; i < state->runs->len; i++)
    {
      const struct target_run *other = &g_array_index (state->runs, struct target_run, i);
      if (other->run != run || !fl_name_eq (&other->task, task))
        continue;
      end_run (state, i, cause);
      return true;
    }
  return false;
}

static int64_t
get_percent_done (const struct target_run *run, int64_t now_ms)
{
  if (run->waits)
    return 0;
  if (run->finish_ms == INT64_MAX)
    return 100;
  return CLAMP (100 * (now_ms - run->started_ms) / MAX (run->finish_ms - run->started_ms, 1), 0,
                99);
}

void
target_state_get_report (const struct target_state *state,
                         int64_t now_ms,
                         struct fl_target_report *report)
{
  *report = (struct fl_target_report){ .booted_at_ms = state->booted_at_ms,
                                       .clock_ms = target_state_get_clock_ms (state, now_ms) };
  report->runs = g_new0 (struct fl_run_row, state->runs->len + 1);
  report->ends = g_new0 (struct fl_end_row, state->ends->len + 1);
  for (guint i = 0; i < state->runs->len; i++)
    {
      const struct target_run *run = &g_array_index (state->runs, struct target_run, i);
      report->runs[report->run_count++] = (struct fl_run_row){
        .task = run->task, .run = run->run, .progress_percent = get_percent_done (run, now_ms)
      };
    }
  for (guint i = 0; i < state->ends->len; i++)
    {
      const struct target_end *end = &g_array_index (state->ends, struct target_end, i);
      report->ends[report->end_count++] = (struct fl_end_row){
        .number = end->number, .task = end->task, .run = end->run, .cause = end->cause
      };
    }
}

void
target_state_clear_report (struct fl_target_report *report)
{
  g_free (report->runs);
  g_free (report->ends);
  memset (report, 0, sizeof *report);
}
