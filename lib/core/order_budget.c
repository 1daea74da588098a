/* Limits the rate of start orders to what the link of this host takes.
 *
 * Load pattern: after an outage hundreds of steps are due at once. Their starts fill the link of a
 * small owner for seconds, in which renewals of its lease and heartbeats time out. The owner then
 * loses the pool, and its successor finds the same backlog. Starts are therefore only ordered at a
 * rate that leaves most of the link to leases, heartbeats and records; the other steps wait, in the
 * usual order. */
#include "core/core_internal.h"

/* Bytes of a start order and its result besides the payload, as sent between hosts. */
#define START_BYTES 200
/* Starts that wait for the link are sent in bursts of at most this duration of its rate. */
#define BURST_MS 250

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
