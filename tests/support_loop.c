#include "support_loop.h"

#include <signal.h>
#include <string.h>

#include <glib.h>

#include "common/clock.h"

#define WATCH_INTERVAL_MS 10
/* More than such a function uses, and what no field of a watcher contains. */
#define STACK_BYTES 65536
#define STACK_PATTERN 0x5a

static void
on_timeout (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)timer;
  (void)events;
  ev_break (loop, EVBREAK_ALL);
}

void
support_run_loop_for (struct ev_loop *loop, double seconds)
{
  ev_timer timer;

  ev_timer_init (&timer, on_timeout, seconds, 0.0);
  ev_timer_start (loop, &timer);
  ev_run (loop, 0);
}

static void
on_watch_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct loop_watch *watch = timer->data;
  int64_t now_ms = fl_clock_boot_ms ();

  (void)loop;
  (void)events;
  watch->held_up_ms = MAX (watch->held_up_ms, now_ms - watch->last_ms - WATCH_INTERVAL_MS);
  watch->last_ms = now_ms;
}

void
support_watch_loop (struct loop_watch *watch, struct ev_loop *loop)
{
  watch->last_ms = fl_clock_boot_ms ();
  watch->held_up_ms = 0;
  ev_timer_init (&watch->timer, on_watch_timer, WATCH_INTERVAL_MS / 1000.0,
                 WATCH_INTERVAL_MS / 1000.0);
  watch->timer.data = watch;
  ev_timer_start (loop, &watch->timer);
}

static void __attribute__ ((noinline)) overwrite_stack (void)
{
  char bytes[STACK_BYTES];

  memset (bytes, STACK_PATTERN, sizeof bytes);
  __asm__ volatile("" : : "r"(bytes) : "memory"); /* otherwise the compiler leaves memset out */
}

static bool
has_handler (int signal_number)
{
  struct sigaction action;

  return sigaction (signal_number, NULL, &action) == 0 && action.sa_handler != SIG_DFL;
}

bool
support_loop_is_left (struct ev_loop *loop)
{
  overwrite_stack ();
  ev_verify (loop);
  return !has_handler (SIGTERM) && !has_handler (SIGINT);
}
