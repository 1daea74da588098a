/* The clock type: milliseconds from a source that the owner chooses. Daemons use the monotonic
 * clock; tests and the fuzzer hand in a virtual one. Points in time are `int64_t` milliseconds and
 * carry the suffix `_ms`. */
#pragma once

#include <stdint.h>

struct fl_clock
{
  int64_t (*read) (void *context);
  void *context;
};

/* A clock over CLOCK_MONOTONIC. */
struct fl_clock fl_clock_monotonic (void);

/* A clock over CLOCK_BOOTTIME, which goes on while the host is suspended: for leases. */
struct fl_clock fl_clock_boot (void);

/* Reads @clock: milliseconds since an arbitrary fixed point. */
int64_t fl_clock_now (const struct fl_clock *clock);

/* Milliseconds of CLOCK_BOOTTIME. */
int64_t fl_clock_boot_ms (void);

/* Monotonic microseconds, for measuring short durations. */
int64_t fl_clock_monotonic_us (void);

/* Wall-clock milliseconds since the Unix epoch: for records that people read, never for leases. */
int64_t fl_clock_wall_ms (void);
