#include "common/timeout.h"

#include "common/clock.h"

static void
start_timer (struct fl_timeout *timeout, int64_t delay_ms)
{
  /* libev counts from the start of the iteration, which may be long ago. */
  ev_now_update (timeout->loop);
  ev_timer_stop (timeout->loop, &timeout->timer);
  ev_timer_set (&timeout->timer, (double)delay_ms / 1000.0, 0.0);
  ev_timer_start (timeout->loop, &timeout->timer);
}

static void
on_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct fl_timeout *timeout = timer->data;
  int64_t late_ms = fl_clock_boot_ms () - timeout->due_ms;

  (void)loop;
  (void)events;
  if (late_ms >= FL_TIMEOUT_LATE_MIN_MS && !timeout->is_put_off)
    {
      timeout->is_put_off = true;
      start_timer (timeout, FL_TIMEOUT_GRACE_MS);
      return;
    }
  timeout->on_timeout (timeout->context);
}

void
fl_timeout_init (struct fl_timeout *timeout,
                 struct ev_loop *loop,
                 void (*on_timeout) (void *context),
                 void *context)
{
  *timeout = (struct fl_timeout){ .loop = loop, .on_timeout = on_timeout, .context = context };
  ev_timer_init (&timeout->timer, on_timer, 0.0, 0.0);
  ev_set_priority (&timeout->timer, EV_MINPRI);
  timeout->timer.data = timeout;
}

void
fl_timeout_start (struct fl_timeout *timeout, int64_t delay_ms)
{
  timeout->due_ms = fl_clock_boot_ms () + delay_ms;
  timeout->is_put_off = false;
  start_timer (timeout, delay_ms);
}

void
fl_timeout_stop (struct fl_timeout *timeout)
{
  if (timeout->loop != NULL)
    ev_timer_stop (timeout->loop, &timeout->timer);
}
