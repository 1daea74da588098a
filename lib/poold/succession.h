/* Which host acquires a free pool first. Pure: no I/O, no clock. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/* What a host knows when it could acquire the pool. */
struct fl_succession
{
  int64_t own_cpu_milli;     /* of this host; 0 when it is not configured */
  int64_t largest_cpu_milli; /* of the largest known host */
  bool has_peers;            /* the installation has other hosts */
  bool knows_hosts;          /* the list of hosts has been read */
  bool never_owned;          /* no host has owned the pool yet */
};

/* @return how long this host lets better suited hosts acquire the pool before it does, in ms. */
int64_t fl_succession_get_delay_ms (const struct fl_succession *succession);
