#include "net/loop_watch.h"

#include <glib.h>

#include "common/clock.h"

/* Short against FL_LOOP_HELD_UP_MIN_MS. */
#define WATCH_INTERVAL_MS 100

static void
on_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)timer;
  (void)events;
}

static void
on_check (struct ev_loop *loop, ev_check *check, int events)
{
  struct fl_loop_watch *watch = check->data;
  int64_t now_ms = fl_clock_boot_ms ();
  int64_t held_up_ms = now_ms - watch->checked_ms - WATCH_INTERVAL_MS;

  (void)loop;
  (void)events;
  watch->checked_ms = now_ms;
  if (held_up_ms < FL_LOOP_HELD_UP_MIN_MS)
    return;
  watch->resumed_ms = now_ms;
  watch->longest_ms = MAX (watch->longest_ms, held_up_ms);
  fl_stats_add (watch->stats, "loop_held_up_total", 1);
  fl_stats_set (watch->stats, "loop_held_up_max_ms", watch->longest_ms);
  if (watch->log != NULL)
    fl_log (watch->log, FL_LOG_NOTICE, "loop_held_up", FL_I ("ms", held_up_ms));
}

void
fl_loop_watch_start (struct fl_loop_watch *watch,
                     struct ev_loop *loop,
                     const struct fl_log *log,
                     struct fl_stats *stats)
{
  *watch = (struct fl_loop_watch){
    .loop = loop, .log = log, .stats = stats, .checked_ms = fl_clock_boot_ms ()
  };
  ev_timer_init (&watch->timer, on_timer, WATCH_INTERVAL_MS / 1000.0, WATCH_INTERVAL_MS / 1000.0);
  ev_timer_start (loop, &watch->timer);
  /* Callbacks of the same iteration know that the loop was held up. */
  ev_check_init (&watch->check, on_check);
  ev_set_priority (&watch->check, EV_MAXPRI);
  watch->check.data = watch;
  ev_check_start (loop, &watch->check);
}

int64_t
fl_loop_watch_get_resumed_ms (const struct fl_loop_watch *watch)
{
  int64_t now_ms = fl_clock_boot_ms ();

  return now_ms - watch->checked_ms >= FL_LOOP_HELD_UP_MIN_MS ? now_ms : watch->resumed_ms;
}

void
fl_loop_watch_stop (struct fl_loop_watch *watch)
{
  ev_timer_stop (watch->loop, &watch->timer);
  ev_check_stop (watch->loop, &watch->check);
}
