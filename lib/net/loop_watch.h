/* Measures how long an event loop did not run: its process was suspended, had no processor, or was
 * busy in a callback. Input that arrived meanwhile is unread when the loop goes on. */
#pragma once

#include <ev.h>
#include <stdint.h>

#include "common/log.h"
#include "common/stats.h"

/* A loop that did not run for this long, beyond the interval of the watch, was held up. */
#define FL_LOOP_HELD_UP_MIN_MS 250

struct fl_loop_watch
{
  struct ev_loop *loop;
  const struct fl_log *log; /* NULL logs nothing */
  struct fl_stats *stats;   /* NULL counts nothing */
  ev_timer timer;           /* bounds the time that an idle loop waits */
  ev_check check;
  int64_t checked_ms; /* when the loop last went on */
  int64_t resumed_ms; /* when it went on after it was last held up; 0 for never */
  int64_t longest_ms; /* for which it was held up */
};

/* Starts to watch @loop. Logs `loop_held_up` and maintains `loop_held_up_total` and
 * `loop_held_up_max_ms`. */
void fl_loop_watch_start (struct fl_loop_watch *watch,
                          struct ev_loop *loop,
                          const struct fl_log *log,
                          struct fl_stats *stats);

/* @return when the loop went on after it was last held up; the present time if it is held up by the
 * callback that calls this; 0 for never. */
int64_t fl_loop_watch_get_resumed_ms (const struct fl_loop_watch *watch);

void fl_loop_watch_stop (struct fl_loop_watch *watch);
