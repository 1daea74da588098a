/* Requests that wait for the configuration.
 *
 * Load pattern: the store is away for some seconds, so that the configuration cannot be confirmed,
 * or the process has just started. A client has few retries; one that is turned away at once has
 * used them up before the store is back, one that waits is served when it is. */
#include <glib.h>

#include "common/clock.h"
#include "frontd/frontd_internal.h"

/* Time between looks at the configuration. */
#define LOOK_MS 50

struct waiting
{
  struct fl_frontd *frontd;
  struct fl_http_request *request;
  void (*handle) (struct fl_frontd *frontd, struct fl_http_request *request);
  void (*give_up) (struct fl_frontd *frontd, struct fl_http_request *request);
  ev_timer timer;
};

static void
on_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct waiting *waiting = timer->data;
  bool is_current = front_is_current (waiting->frontd);

  (void)events;
  if (!is_current && fl_clock_boot_ms () < front_expires_ms (waiting->request))
    return;
  ev_timer_stop (loop, timer);
  if (is_current)
    waiting->handle (waiting->frontd, waiting->request);
  else
    waiting->give_up (waiting->frontd, waiting->request);
  g_free (waiting);
}

void
front_wait_for_configuration (struct fl_frontd *frontd,
                              struct fl_http_request *request,
                              void (*handle) (struct fl_frontd *frontd,
                                              struct fl_http_request *request),
                              void (*give_up) (struct fl_frontd *frontd,
                                               struct fl_http_request *request))
{
  struct waiting *waiting = g_new0 (struct waiting, 1);

  *waiting = (struct waiting){
    .frontd = frontd, .request = request, .handle = handle, .give_up = give_up
  };
  ev_timer_init (&waiting->timer, on_timer, LOOK_MS / 1000.0, LOOK_MS / 1000.0);
  waiting->timer.data = waiting;
  ev_timer_start (frontd->host->loop, &waiting->timer);
}
