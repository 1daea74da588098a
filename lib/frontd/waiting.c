/* Holds requests until the configuration is confirmed.
 *
 * The configuration cannot be confirmed while the store is unavailable for some seconds, or right
 * after the process has started. A client has few retries: if its requests were rejected at once,
 * it would use up the retries before the store is back. A held request is served as soon as the
 * configuration is confirmed. */
#include <glib.h>

#include "common/clock.h"
#include "frontd/frontd_internal.h"

/* Interval between checks of the configuration. */
#define POLL_INTERVAL_MS 50

struct waiting_request
{
  struct fl_frontd *frontd;
  struct fl_http_request *request;
  void (*handle) (struct fl_frontd *frontd, struct fl_http_request *request);
  void (*reject) (struct fl_frontd *frontd, struct fl_http_request *request);
  ev_timer timer;
};

static void
on_poll_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct waiting_request *waiting = timer->data;
  bool is_confirmed = front_configuration_is_confirmed (waiting->frontd);
  bool may_wait = !front_is_rejecting (waiting->frontd)
                  && fl_clock_boot_ms () < front_respond_by_ms (waiting->request);

  (void)events;
  if (!is_confirmed && may_wait)
    return;
  ev_timer_stop (loop, timer);
  if (may_wait)
    waiting->handle (waiting->frontd, waiting->request);
  else
    waiting->reject (waiting->frontd, waiting->request);
  g_free (waiting);
}

void
front_wait_for_configuration (struct fl_frontd *frontd,
                              struct fl_http_request *request,
                              void (*handle) (struct fl_frontd *frontd,
                                              struct fl_http_request *request),
                              void (*reject) (struct fl_frontd *frontd,
                                              struct fl_http_request *request))
{
  struct waiting_request *waiting = g_new0 (struct waiting_request, 1);

  *waiting = (struct waiting_request){
    .frontd = frontd, .request = request, .handle = handle, .reject = reject
  };
  ev_timer_init (&waiting->timer, on_poll_timer, POLL_INTERVAL_MS / 1000.0,
                 POLL_INTERVAL_MS / 1000.0);
  waiting->timer.data = waiting;
  ev_timer_start (frontd->host->loop, &waiting->timer);
}
