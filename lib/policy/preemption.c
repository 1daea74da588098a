#include "policy/preemption.h"

#include <stdlib.h>

#include <glib.h>

/* A stop takes up to about this long. A task that ends by itself within this time is not stopped.
 */
#define STOP_TIME_MS 1000
/* Bounds how often urgent work may delay one task. */
#define PREEMPTIONS_MAX 3

static int
is_eligible (const struct fl_preemption_candidate *candidate)
{
  return candidate->remaining_ms > STOP_TIME_MS && candidate->preemptions < PREEMPTIONS_MAX;
}

static gint
compare_candidates (const void *a, const void *b)
{
  const struct fl_preemption_candidate *x = a;
  const struct fl_preemption_candidate *y = b;

  if (is_eligible (x) != is_eligible (y))
    return is_eligible (x) ? -1 : 1;
  if (x->would_be_late != y->would_be_late)
    return x->would_be_late ? 1 : -1;
  if (x->preemptions != y->preemptions)
    return x->preemptions < y->preemptions ? -1 : 1;
  return x->remaining_ms > y->remaining_ms ? -1 : x->remaining_ms < y->remaining_ms;
}

size_t
fl_preemption_choose (struct fl_preemption_candidate *candidates,
                      size_t count,
                      const struct fl_preemption_need *need)
{
  int64_t cpu_milli = 0;
  int64_t memory_mb = 0;
  size_t chosen = 0;

  if (count > 0)
    qsort (candidates, count, sizeof *candidates, compare_candidates);
  while (chosen < count && is_eligible (&candidates[chosen])
         && (cpu_milli < need->cpu_milli || memory_mb < need->memory_mb)
         && cpu_milli + candidates[chosen].cpu_milli <= need->cpu_max_milli)
    {
      cpu_milli += candidates[chosen].cpu_milli;
      memory_mb += candidates[chosen].memory_mb;
      chosen++;
    }
  return chosen;
}
