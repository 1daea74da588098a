/* A request of a client while it waits for the store. */
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "common/clock.h"
#include "frontd/frontd_internal.h"

/* How long a client waits that does not say so, and the longest that is granted. */
#define DEADLINE_MS 3000
/* The answer leaves this much before the client stops waiting; of a client that waits for little
 * only a share, since a call to the store usually takes some 10 ms. */
#define ANSWER_MARGIN_MS 150
#define ANSWER_MARGIN_SHARE 4
/* One call to the store: above the 0.3 s of a store that is 60 times slower than usual, and short
 * enough for a client's 3 s to hold several, since the next may go by way of another host. */
#define STORE_TIMEOUT_MS 600
/* Pauses between calls, doubled each time: the first is short, since it is another way that the
 * next call takes. */
#define RETRY_PAUSE_MIN_MS 20
#define RETRY_PAUSE_MAX_MS 100
#define DEADLINE_HEADER "Deadline-Ms"

static void
on_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct front_call *call = timer->data;

  (void)loop;
  (void)events;
  call->retry (call);
}

int64_t
front_time_for (const char *deadline)
{
  int64_t value = deadline != NULL ? strtoll (deadline, NULL, 10) : 0;
  int64_t waits_ms = value > 0 ? MIN (value, DEADLINE_MS) : DEADLINE_MS;

  return waits_ms - MIN (waits_ms / ANSWER_MARGIN_SHARE, ANSWER_MARGIN_MS);
}

int64_t
front_expires_ms (const struct fl_http_request *request)
{
  return fl_http_arrived_ms (request) + front_time_for (fl_http_header (request, DEADLINE_HEADER));
}

struct front_call *
front_call_new (struct fl_frontd *frontd,
                struct fl_http_request *request,
                const struct fl_name *id,
                const struct fl_queue *queue)
{
  struct front_call *call = g_new0 (struct front_call, 1);

  call->frontd = frontd;
  call->request = request;
  call->id = *id;
  call->queue = queue->name;
  call->configuration = fl_configuration_get_version (frontd->watch.configuration);
  call->started_ms = fl_http_arrived_ms (request);
  call->expires_ms = front_expires_ms (request);
  ev_timer_init (&call->timer, on_timer, 0.0, 0.0);
  call->timer.data = call;
  return call;
}

static void
note_answer (const struct front_call *call, int status)
{
  struct fl_host *host = call->frontd->host;
  int64_t took_ms = fl_clock_boot_ms () - call->started_ms;

  fl_stats_record (host->stats, "request_ms", took_ms);
  fl_log (&host->log, FL_LOG_INFO, "answered", FL_S ("method", fl_http_method (call->request)),
          FL_N ("job", &call->id), FL_N ("queue", &call->queue), FL_I ("status", status),
          FL_I ("took_ms", took_ms), FL_I ("configuration", call->configuration));
}

void
front_call_answer (struct front_call *call, int status, const struct fl_str *body)
{
  struct fl_http_response response = { .status = status,
                                       .body = body != NULL ? body->data : "{}",
                                       .len = body != NULL ? body->len : 2,
                                       .closes = call->frontd->stopping };

  if (status == 503 || status == 429)
    response.retry_after_ms = FRONT_RETRY_AFTER_MS;
  note_answer (call, status);
  fl_http_respond (call->request, &response);
  ev_timer_stop (call->frontd->host->loop, &call->timer);
  fl_str_clear (&call->record);
  g_free (call);
}

void
front_call_retry (struct front_call *call, void (*retry) (struct front_call *call), int late_status)
{
  int64_t pause_ms = CLAMP (call->pause_ms * 2, RETRY_PAUSE_MIN_MS, RETRY_PAUSE_MAX_MS);

  if (fl_clock_boot_ms () + pause_ms >= call->expires_ms)
    {
      front_call_answer (call, late_status, NULL);
      return;
    }
  call->pause_ms = pause_ms;
  call->retry = retry;
  ev_timer_set (&call->timer, (double)pause_ms / 1000.0, 0.0);
  ev_timer_start (call->frontd->host->loop, &call->timer);
}

int64_t
front_call_timeout (const struct front_call *call)
{
  int64_t left_ms = call->expires_ms - fl_clock_boot_ms ();

  return CLAMP (left_ms, 1, STORE_TIMEOUT_MS);
}

bool
front_call_has_time (const struct front_call *call)
{
  return fl_clock_boot_ms () < call->expires_ms;
}

bool
front_reply_has_job (const struct front_call *call,
                     const struct fl_store_reply *reply,
                     bool *cancelled,
                     int64_t *version)
{
  bool found = false;

  *cancelled = false;
  *version = 0;
  for (size_t i = 0; i < reply->count; i++)
    {
      const struct fl_store_row *row = &reply->rows[i];
      bool is_mark = row->value.len <= strlen (FL_MARKER_VALUE);
      if (fl_name_eq (&row->key, &call->id))
        {
          found = !is_mark;
          *version = row->version;
        }
      else if (g_str_has_suffix (row->key.data, FL_CANCEL_SUFFIX))
        *cancelled = true;
    }
  return found;
}
