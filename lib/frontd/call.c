/* Client requests that wait for the store: timeouts, retries and responses. */
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "common/clock.h"
#include "frontd/frontd_internal.h"

/* Timeout of a client that sends no Deadline-Ms header, and the longest timeout that a client can
 * request. */
#define CLIENT_TIMEOUT_MAX_MS 3000
/* Responses are sent this long before the client's timeout. A short timeout is reduced by only
 * 1/RESPONSE_MARGIN_DIVISOR, because a store call usually takes some 10 ms. */
#define RESPONSE_MARGIN_MS 150
#define RESPONSE_MARGIN_DIVISOR 4
/* Limits of one store call: the smallest is above the 0.3 s that a call takes when the store is 60
 * times slower than usual, and short enough for several calls within a client's 3 s, since the next
 * call may be relayed by another host. An outage does not widen the limit. */
#define STORE_LIMIT_MIN_MS 600
#define STORE_LIMIT_LATE_MAX_MS 2500
/* Back-off between store calls, doubled each time. It starts short because the next call may take
 * another path to the store. */
#define RETRY_DELAY_MIN_MS 20
#define RETRY_DELAY_MAX_MS 100
#define DEADLINE_HEADER "Deadline-Ms"

/* A store call of a request; outlives the request until the reply arrives. */
struct store_attempt
{
  struct fl_frontd *frontd;
  struct front_call *call; /* NULL once the reply does not count any more */
  int64_t sent_ms;
  bool is_write;
  void (*done) (struct front_call *call, const struct fl_store_reply *reply);
};

static void
on_retry_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct front_call *call = timer->data;

  (void)loop;
  (void)events;
  call->retry (call);
}

struct fl_reply_limit
front_store_limit_make (void)
{
  return fl_reply_limit_make (STORE_LIMIT_MIN_MS, STORE_LIMIT_MIN_MS, STORE_LIMIT_LATE_MAX_MS);
}

/* --- store calls --- */

/* Remembers the outcome of a store call for the log. */
static void
record_outcome (struct front_call *call, const struct fl_store_reply *reply, bool is_write)
{
  call->store_call_count++;
  if (is_write && reply->status == FL_STORE_UNKNOWN)
    call->unknown_write_count++;
  call->last_store_status = reply->status;
  call->last_store_error = reply->error;
}

/* Ends the current stage: replies to its store calls do not count any more. */
static void
end_stage (struct front_call *call)
{
  for (guint i = 0; i < call->attempts->len; i++)
    ((struct store_attempt *)g_ptr_array_index (call->attempts, i))->call = NULL;
  g_ptr_array_set_size (call->attempts, 0);
  call->current = NULL;
  fl_timeout_stop (&call->limit_timer);
  ev_timer_stop (call->frontd->host->loop, &call->timer);
}

/* The limit of the newest call has passed. What follows may take another path to the store. */
static void
on_limit_timer (void *context)
{
  struct front_call *call = context;
  struct store_attempt *attempt = call->current;
  struct fl_store_reply overdue = { .status = FL_STORE_UNKNOWN };

  fl_fail (&overdue.error, FL_UNAVAILABLE, "store_call", "store", "no reply in time");
  call->current = NULL;
  record_outcome (call, &overdue, attempt->is_write);
  attempt->done (call, &overdue);
}

struct store_attempt *
front_call_begin_store_call (struct front_call *call,
                             bool is_write,
                             void (*done) (struct front_call *call,
                                           const struct fl_store_reply *reply))
{
  struct store_attempt *attempt = g_new0 (struct store_attempt, 1);
  struct fl_frontd *frontd = call->frontd;
  int64_t limit_ms = MIN (frontd->store_limit.limit_ms, front_call_store_timeout_ms (call));

  *attempt = (struct store_attempt){ frontd, call, fl_clock_boot_ms (), is_write, done };
  g_ptr_array_add (call->attempts, attempt);
  call->current = attempt;
  fl_timeout_start (&call->limit_timer, limit_ms);
  return attempt;
}

void
front_on_store_reply (void *context, const struct fl_store_reply *reply)
{
  g_autofree struct store_attempt *attempt = context;
  struct front_call *call = attempt->call;
  bool decides = reply->status == FL_STORE_OK || reply->status == FL_STORE_CONFLICT;

  if (decides)
    fl_reply_limit_record_reply (&attempt->frontd->store_limit,
                                 fl_clock_boot_ms () - attempt->sent_ms);
  if (call == NULL)
    return;
  g_ptr_array_remove_fast (call->attempts, attempt);
  /* An overdue call that fails changes nothing: its outcome counted as unknown. */
  if (call->current != attempt && !decides)
    return;
  record_outcome (call, reply, attempt->is_write);
  if (decides)
    end_stage (call);
  else
    {
      call->current = NULL;
      fl_timeout_stop (&call->limit_timer);
    }
  attempt->done (call, reply);
}

/* --- requests --- */

int64_t
front_response_timeout_ms (const char *deadline)
{
  int64_t value = deadline != NULL ? strtoll (deadline, NULL, 10) : 0;
  int64_t client_timeout_ms
      = value > 0 ? MIN (value, CLIENT_TIMEOUT_MAX_MS) : CLIENT_TIMEOUT_MAX_MS;

  return client_timeout_ms - MIN (client_timeout_ms / RESPONSE_MARGIN_DIVISOR, RESPONSE_MARGIN_MS);
}

int64_t
front_respond_by_ms (const struct fl_http_request *request)
{
  return fl_http_arrived_ms (request)
         + front_response_timeout_ms (fl_http_header (request, DEADLINE_HEADER));
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
  call->job_id = *id;
  call->queue = queue->name;
  call->configuration_version
      = fl_configuration_get_version (frontd->configuration_watch.configuration);
  call->arrived_ms = fl_http_arrived_ms (request);
  call->respond_by_ms = front_respond_by_ms (request);
  ev_timer_init (&call->timer, on_retry_timer, 0.0, 0.0);
  call->timer.data = call;
  call->attempts = g_ptr_array_new ();
  fl_timeout_init (&call->limit_timer, frontd->host->loop, on_limit_timer, call);
  return call;
}

static void
record_response (const struct front_call *call, int status)
{
  struct fl_host *host = call->frontd->host;
  int64_t took_ms = fl_clock_boot_ms () - call->arrived_ms;

  fl_stats_record (host->stats, "request_ms", took_ms);
  fl_log (&host->log, FL_LOG_INFO, "answered", FL_S ("method", fl_http_method (call->request)),
          FL_N ("job", &call->job_id), FL_N ("queue", &call->queue), FL_I ("status", status),
          FL_I ("took_ms", took_ms), FL_I ("due_ms", call->respond_by_ms - call->arrived_ms),
          FL_I ("configuration", call->configuration_version),
          FL_I ("store_calls", call->store_call_count),
          FL_I ("unknown_writes", call->unknown_write_count),
          FL_S ("last_store_call",
                call->store_call_count > 0 ? fl_store_status_name (call->last_store_status) : ""),
          FL_S ("peer", call->last_store_error.peer), FL_S ("text", call->last_store_error.text));
}

void
front_call_respond (struct front_call *call, int status, const struct fl_str *body)
{
  struct fl_http_response response = { .status = status,
                                       .body = body != NULL ? body->data : "{}",
                                       .len = body != NULL ? body->len : 2,
                                       .close_connection = front_is_stopping (call->frontd) };

  if (call->is_turned_away && status == 429)
    response.retry_after_ms = front_admission_retry_after_ms (&call->job_id);
  else if (status == 503 || status == 429)
    response.retry_after_ms = FRONT_RETRY_AFTER_MS;
  record_response (call, status);
  fl_http_respond (call->request, &response);
  end_stage (call);
  g_ptr_array_unref (call->attempts);
  fl_str_clear (&call->job_row);
  g_free (call);
}

/* The time by which the response is due, for the client or because the process ends. */
static int64_t
get_respond_by_ms (const struct front_call *call)
{
  return MIN (call->respond_by_ms, front_drain_get_respond_by_ms (&call->frontd->drain));
}

void
front_call_schedule_retry (struct front_call *call,
                           void (*retry) (struct front_call *call),
                           int timeout_status)
{
  int64_t retry_delay_ms = CLAMP (call->retry_delay_ms * 2, RETRY_DELAY_MIN_MS, RETRY_DELAY_MAX_MS);

  if (fl_clock_boot_ms () + retry_delay_ms >= get_respond_by_ms (call))
    {
      front_call_respond (call, timeout_status, NULL);
      return;
    }
  call->retry_delay_ms = retry_delay_ms;
  call->retry = retry;
  ev_timer_set (&call->timer, (double)retry_delay_ms / 1000.0, 0.0);
  ev_timer_start (call->frontd->host->loop, &call->timer);
}

int64_t
front_call_store_timeout_ms (const struct front_call *call)
{
  int64_t left_ms = get_respond_by_ms (call) - fl_clock_boot_ms ();

  return MAX (left_ms, 1);
}

bool
front_call_has_time_left (const struct front_call *call)
{
  return fl_clock_boot_ms () < get_respond_by_ms (call);
}

static bool
has_value (const struct fl_store_row *row, const char *value)
{
  return row->value.len == strlen (value) && memcmp (row->value.data, value, row->value.len) == 0;
}

struct front_job_rows
front_find_job_rows (const struct front_call *call, const struct fl_store_reply *reply)
{
  struct front_job_rows job = { 0 };

  for (size_t i = 0; i < reply->count; i++)
    {
      const struct fl_store_row *row = &reply->rows[i];
      if (fl_name_eq (&row->key, &call->job_id))
        {
          job.is_stored = row->value.len > strlen (FL_MARKER_VALUE);
          job.version = row->version;
          job.is_cancelled = job.is_cancelled || has_value (row, FL_CANCELLED_VALUE);
          job.is_rejected = has_value (row, FL_REJECTED_VALUE);
        }
      else if (g_str_has_suffix (row->key.data, FL_CANCEL_SUFFIX))
        job.is_cancelled = true;
    }
  return job;
}
