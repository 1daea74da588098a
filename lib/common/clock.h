/* A millisecond clock with a replaceable source: daemons read a system clock, tests and the fuzzer
 * pass a virtual one. Points in time are `int64_t` milliseconds with the suffix `_ms`. */
#pragma once

#include <stdint.h>

struct fl_clock
{
  int64_t (*read) (void *context);
  void *context;
};

/* Returns a clock that reads CLOCK_MONOTONIC. */
struct fl_clock fl_clock_monotonic (void);

/* Returns a clock that reads CLOCK_BOOTTIME. It keeps running while the host is suspended, as
 * leases require. */
struct fl_clock fl_clock_boot (void);

/* @return milliseconds since an arbitrary fixed point. */
int64_t fl_clock_now (const struct fl_clock *clock);

/* @return CLOCK_BOOTTIME in milliseconds. */
int64_t fl_clock_boot_ms (void);

/* @return CLOCK_MONOTONIC in microseconds, for measuring short durations. */
int64_t fl_clock_monotonic_us (void);

/* @return wall-clock milliseconds since the Unix epoch. Use it in records for people, never for
 * leases. */
int64_t fl_clock_wall_ms (void);
