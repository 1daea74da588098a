/* Limits the rate of start orders to what the link of this host takes, and the orders under way to
 * what its memory takes.
 *
 * Load pattern: after an outage hundreds of steps are due at once. Their starts fill the link of a
 * small owner for seconds, in which renewals of its lease and heartbeats time out. The owner then
 * loses the pool, and its successor finds the same backlog. Starts are therefore only ordered at a
 * rate that leaves most of the link to leases, heartbeats and records; the other steps wait, in the
 * usual order.
 *
 * Load pattern: one job has tens of thousands of small tasks, all of which fit at once, or as many
 * that run are cancelled. Each order takes some kilobytes until its call ends: an owner that issues
 * all of them in one turn exceeds its memory, or does not renew the lease of the pool in time, and
 * so does each successor. Orders are therefore only issued while those under way leave room, of
 * which large jobs take only a part, and batch jobs another. */
#include "core/core_internal.h"

/* Bytes of a start order and its result besides the payload, as sent between hosts. */
#define START_BYTES 200
/* Starts that wait for the link are sent in bursts of at most this duration of its rate. */
#define BURST_MS 250
/* Most orders in one turn: on a quarter of a core their calls are set up within some 100 ms, a
 * small part of the lease of the pool. */
#define ORDERS_PER_TURN_MAX 500
/* Loads, in percent, from which no further orders are issued, */
#define LOAD_MAX_URGENT 100
#define LOAD_MAX 75
/* and the part of them that is kept from a job with so many starts under way, and from stops:
 * otherwise other jobs would wait until a large one has started, or has been stopped. */
#define LOAD_KEPT 25
#define STARTS_OF_JOB_MAX 250

void
core_order_budget_update (struct core_order_budget *budget, int64_t now_ms)
{
  int64_t burst_bytes = budget->bytes_per_s * BURST_MS / 1000;
  int64_t elapsed_ms = CLAMP (now_ms - budget->updated_ms, 0, 1000);

  budget->updated_ms = now_ms;
  budget->bytes = MIN (budget->bytes + budget->bytes_per_s * elapsed_ms / 1000, burst_bytes);
}

bool
core_order_budget_is_exhausted (const struct core_order_budget *budget)
{
  return budget->bytes_per_s > 0 && budget->bytes <= 0;
}

void
core_order_budget_charge (struct core_order_budget *budget, int64_t starts, size_t payload_bytes)
{
  budget->bytes -= starts * START_BYTES + (int64_t)payload_bytes;
}

/* @return the percentage in use of the orders that may be under way and of those of a turn,
 * whichever is higher. */
static int64_t
get_load (const struct fl_core *core)
{
  const struct fl_core_actions *actions = &core->options.actions;
  int64_t turn = core->orders_in_turn * 100 / ORDERS_PER_TURN_MAX;

  return actions->get_order_load != NULL
             ? MAX (turn, actions->get_order_load (core->options.context))
             : turn;
}

bool
core_orders_permit_start (const struct core_step *step)
{
  int64_t max = step->job->queue.priority == 0 ? LOAD_MAX_URGENT : LOAD_MAX;

  if (step->job->starting_runs >= STARTS_OF_JOB_MAX)
    max -= LOAD_KEPT;
  return get_load (step->job->core) < max;
}

bool
core_orders_permit_stop (const struct fl_core *core)
{
  return get_load (core) < LOAD_MAX - LOAD_KEPT;
}
