#include "support_loop.h"

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
