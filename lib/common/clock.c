#include "common/clock.h"

#include <stddef.h>
#include <time.h>

static int64_t
read_us (clockid_t id)
{
  struct timespec now;

  clock_gettime (id, &now);
  return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

static int64_t
read_monotonic_ms (void *context)
{
  (void)context;
  return fl_clock_monotonic_us () / 1000;
}

struct fl_clock
fl_clock_monotonic (void)
{
  return (struct fl_clock){ read_monotonic_ms, NULL };
}

static int64_t
read_boot_ms (void *context)
{
  (void)context;
  return fl_clock_boot_ms ();
}

struct fl_clock
fl_clock_boot (void)
{
  return (struct fl_clock){ read_boot_ms, NULL };
}

int64_t
fl_clock_now (const struct fl_clock *clock)
{
  return clock->read (clock->context);
}

int64_t
fl_clock_boot_ms (void)
{
  return read_us (CLOCK_BOOTTIME) / 1000;
}

int64_t
fl_clock_monotonic_us (void)
{
  return read_us (CLOCK_MONOTONIC);
}

int64_t
fl_clock_wall_ms (void)
{
  return read_us (CLOCK_REALTIME) / 1000;
}
