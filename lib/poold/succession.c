#include "poold/succession.h"

/* A host with less than this share of the largest host's processor counts as small. The decisions
 * for hundreds of targets take most of a small host's processor. */
#define SMALL_HOST_PERCENT 75
/* Two polls of larger hosts. */
#define SMALL_HOST_DELAY_MS 600
/* Before the very first acquisition, hosts need this time to announce themselves and to read the
 * list of hosts. */
#define FIRST_ACQUISITION_DELAY_MS 2200

/* A host that has just started does not know yet whether there are larger ones.
 *
 * Load pattern: hosts restart in turn while the pool is released and acquired again. */
static bool
may_be_small (const struct fl_succession *succession)
{
  if (!succession->has_peers || succession->own_cpu_milli == 0)
    return false;
  return !succession->knows_hosts
         || succession->own_cpu_milli * 100 < succession->largest_cpu_milli * SMALL_HOST_PERCENT;
}

int64_t
fl_succession_get_delay_ms (const struct fl_succession *succession)
{
  int64_t delay_ms = may_be_small (succession) ? SMALL_HOST_DELAY_MS : 0;

  if (succession->never_owned && succession->own_cpu_milli > 0 && succession->has_peers)
    delay_ms += FIRST_ACQUISITION_DELAY_MS;
  return delay_ms;
}
