/* How often an owner decides.
 *
 * Load pattern: a burst leaves a thousand steps waiting, and hundreds of reports and replies arrive
 * between two ticks. A tick goes through all that waits, so that ticks at the usual interval take
 * the whole processor of a small host, and reports, heartbeats and the lease of the pool are late.
 * The interval therefore grows with the time that ticks take: each of them decides on more, and the
 * rest of the processor is left to what arrives.
 *
 * Pure: no I/O, no clock. */
#pragma once

#include <stdint.h>

/* Bounds of the time from the beginning of a tick to that of the next. The upper one is also the
 * longest time without a tick when nothing happens: it bounds the delay of timeouts. */
#define FL_TICK_INTERVAL_MIN_MS 4
#define FL_TICK_INTERVAL_MAX_MS 50
/* Share of the time, in percent, that ticks take at most while the interval is within its bounds. A
 * longer interval leaves room unused until the next tick; a shorter one delays what tells of it. */
#define FL_TICK_SHARE_PERCENT 50

/* The time that ticks took lately; initialise it with 0. */
struct fl_tick_pace
{
  double mean_us; /* moving average */
};

/* Notes a tick that took @duration_us. */
void fl_tick_pace_add (struct fl_tick_pace *pace, int64_t duration_us);

/* @return the least time from the beginning of the last tick to that of the next. */
int64_t fl_tick_pace_interval_ms (const struct fl_tick_pace *pace);
