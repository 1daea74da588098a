#include "frontd/frontd.h"

#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "common/clock.h"
#include "common/endpoint.h"
#include "common/schema.h"
#include "frontd/frontd_internal.h"

/* Requests are not handled if the configuration was last confirmed longer ago than this, because a
 * newer one may be in force. Covers the wait of one feed call and a reconnection to the store. */
#define CONFIRMATION_AGE_MAX_MS 4000
/* Limits of client connections, similar to the platform's own limits. */
#define BODY_MAX (256 * 1024)
#define HEADER_MAX (32 * 1024)
#define CONNECTIONS_MAX 3000
/* The rest of the descriptors is for the store, peers and files. */
#define CONNECTIONS_DESCRIPTOR_PERCENT 75
/* Shares of the memory of the process: for the buffers of connections, of HEADER_MAX bytes each,
 * and for the bodies of requests, of which each may be held twice, as it arrived and as it is
 * stored. */
#define CONNECTIONS_MEMORY_PERCENT 50
#define BODIES_MEMORY_PERCENT 12
/* 50 MB of buffers. */
#define IDLE_CONNECTIONS_MAX 1500
#define IDLE_TIMEOUT_MS (10 * 60 * 1000)
#define UPLOAD_TIMEOUT_MS 3000
/* Interval between updates of the drain. */
#define DRAIN_INTERVAL_S 0.02
/* A peer that called within this time is considered to call again. The owner of the pool renews its
 * lease every 250 ms, through up to four peers in turn. */
#define PEER_QUIET_MS 1000
#define JOB_ID_LEN 16

bool
front_configuration_is_confirmed (const struct fl_frontd *frontd)
{
  return frontd->configuration_watch.configuration != NULL
         && fl_clock_boot_ms () - frontd->configuration_watch.confirmed_ms
                <= CONFIRMATION_AGE_MAX_MS;
}

bool
front_is_stopping (const struct fl_frontd *frontd)
{
  return frontd->drain.phase != FRONT_DRAIN_NONE;
}

bool
front_is_rejecting (const struct fl_frontd *frontd)
{
  return frontd->drain.phase >= FRONT_DRAIN_REJECTING;
}

/* --- requests --- */

void
front_respond (struct fl_frontd *frontd, struct fl_http_request *request, int status)
{
  struct fl_http_response response = {
    .status = status, .body = "{}", .len = 2, .close_connection = front_is_stopping (frontd)
  };

  if (status == 503)
    response.retry_after_ms = FRONT_RETRY_AFTER_MS;
  fl_http_respond (request, &response);
}

void
front_respond_error (struct fl_frontd *frontd,
                     struct fl_http_request *request,
                     int status,
                     const char *text)
{
  json_t *json = json_pack ("{s:s}", "error", text);
  struct fl_str body = fl_json_encode (json);
  struct fl_http_response response = { .status = status,
                                       .body = body.data,
                                       .len = body.len,
                                       .close_connection = front_is_stopping (frontd) };

  fl_http_respond (request, &response);
  fl_str_clear (&body);
  json_decref (json);
}

bool
front_is_job_id (const char *text)
{
  return strlen (text) == JOB_ID_LEN && strspn (text, "0123456789abcdef") == JOB_ID_LEN;
}

bool
front_authorize (const struct fl_frontd *frontd,
                 struct fl_http_request *request,
                 const struct fl_queue *queue,
                 struct fl_name *team)
{
  struct fl_name key = fl_platform_decode_api_key (fl_http_header (request, "Authorization"));
  const struct fl_name *key_team
      = fl_configuration_find_team_of_key (frontd->configuration_watch.configuration, &key);

  *team = key_team != NULL ? *key_team : fl_name_of ("");
  return queue->is_public || key_team != NULL;
}

/* Rejects a request before any store call, and logs the reason and the configuration version. */
static void
reject_request (struct fl_frontd *frontd,
                struct fl_http_request *request,
                int status,
                const char *reason)
{
  const struct fl_configuration *configuration = frontd->configuration_watch.configuration;
  const char *path = fl_http_path (request);
  const char *slash = strrchr (path, '/');

  fl_log (
      &frontd->host->log, FL_LOG_INFO, "turned_away", FL_S ("method", fl_http_method (request)),
      FL_S ("path", path), FL_S ("job", slash != NULL ? slash + 1 : ""), FL_I ("status", status),
      FL_S ("reason", reason),
      FL_I ("configuration",
            configuration != NULL ? fl_configuration_get_version (configuration) : 0),
      FL_I ("confirmed_ms_ago", fl_clock_boot_ms () - frontd->configuration_watch.confirmed_ms));
  front_respond (frontd, request, status);
}

static void
submit_job (struct fl_frontd *frontd,
            struct fl_http_request *request,
            const struct fl_name *id,
            const struct fl_queue *queue,
            const struct fl_name *team)
{
  const struct fl_str *body = fl_http_body (request);
  struct fl_job_spec spec;
  struct fl_error error = { 0 };

  if (fl_platform_decode_job (body->data, body->len, &spec, &error))
    front_submit_job (frontd, request, id, queue, team, &spec, false);
  else
    front_respond_error (frontd, request, 400, error.text);
}

static void
handle_job (struct fl_frontd *frontd,
            struct fl_http_request *request,
            const char *id_text,
            const struct fl_queue *queue,
            const struct fl_name *team)
{
  const char *method = fl_http_method (request);
  struct fl_name id = fl_name_of (id_text);

  if (strcmp (method, "POST") == 0)
    submit_job (frontd, request, &id, queue, team);
  else if (strcmp (method, "GET") == 0)
    front_show_job (frontd, request, &id, queue, false);
  else if (strcmp (method, "DELETE") == 0)
    front_cancel_job (frontd, request, &id, queue);
  else
    front_respond (frontd, request, 405);
}

static void
reject_unconfirmed (struct fl_frontd *frontd, struct fl_http_request *request)
{
  reject_request (frontd, request, 503, "configuration_unconfirmed");
}

static void
handle_request (struct fl_frontd *frontd, struct fl_http_request *request)
{
  const char *host = fl_http_header (request, "Host");
  const char *path = fl_http_path (request);
  const struct fl_queue *queue;
  struct fl_name team;
  const char *rest;

  queue = fl_configuration_match_queue (frontd->configuration_watch.configuration,
                                        host != NULL ? host : "", path);
  rest = queue != NULL ? path + queue->prefix.len : "";
  if (queue == NULL)
    reject_request (frontd, request, 404, "no_route");
  else if (!front_authorize (frontd, request, queue, &team))
    reject_request (frontd, request, 401, "unknown_key");
  else if (*rest == '\0' && strcmp (fl_http_method (request), "GET") == 0)
    front_count_pending (frontd, request, queue);
  else if (!front_is_job_id (rest))
    reject_request (frontd, request, 400, "no_job_id");
  else
    handle_job (frontd, request, rest, queue, &team);
}

static void
on_request (void *context, struct fl_http_request *request)
{
  struct fl_frontd *frontd = context;

  if (front_is_rejecting (frontd))
    reject_request (frontd, request, 503, "stopping");
  else if (front_configuration_is_confirmed (frontd))
    handle_request (frontd, request);
  else
    front_wait_for_configuration (frontd, request, handle_request, reject_unconfirmed);
}

static void
on_ready_request (void *context, struct fl_http_request *request)
{
  struct fl_frontd *frontd = context;

  front_respond (frontd, request,
                 front_configuration_is_confirmed (frontd) && !front_is_stopping (frontd) ? 200
                                                                                          : 503);
}

/* --- start and stop --- */

static int64_t
get_connections_max (const struct fl_host_settings *settings)
{
  int64_t descriptors = fl_host_settings_descriptors (settings);
  int64_t memory_bytes = fl_host_settings_memory_bytes (settings);
  int64_t max = MIN (descriptors * CONNECTIONS_DESCRIPTOR_PERCENT / 100,
                     memory_bytes / 100 * CONNECTIONS_MEMORY_PERCENT / HEADER_MAX);

  return CLAMP (max, 1, CONNECTIONS_MAX);
}

static struct fl_http_server *
listen_at (struct fl_frontd *frontd,
           const char *name,
           const struct fl_name *endpoint,
           void (*handle) (void *context, struct fl_http_request *request),
           struct fl_error *error)
{
  struct fl_name address;
  const struct fl_host_settings *settings = &frontd->host->settings;
  int64_t connections_max = get_connections_max (settings);
  struct fl_http_server_options options = {
    .loop = frontd->host->loop,
    .name = name,
    .log = &frontd->host->log,
    .stats = frontd->host->stats,
    .body_max = BODY_MAX,
    .all_bodies_max = fl_host_settings_memory_bytes (settings) / 100 * BODIES_MEMORY_PERCENT,
    .header_max = HEADER_MAX,
    .connections_max = connections_max,
    .idle_connections_max = MIN (connections_max / 2, IDLE_CONNECTIONS_MAX),
    .idle_timeout_ms = IDLE_TIMEOUT_MS,
    .upload_timeout_ms = UPLOAD_TIMEOUT_MS,
    .on_request = handle,
    .context = frontd,
  };

  if (!fl_endpoint_parse (endpoint, &address, &options.port))
    {
      fl_fail (error, FL_INVALID, "listen", endpoint->data, "the endpoint is missing or malformed");
      return NULL;
    }
  options.address = address.data;
  return fl_http_server_new (&options, error);
}

static int
count_open_connections (const struct fl_frontd *frontd)
{
  int count = fl_http_server_open_connections (frontd->client_server);

  if (frontd->native_server != NULL)
    count += fl_http_server_open_connections (frontd->native_server);
  return count;
}

/* Whether peers still send store calls. The rejection of a call tells a peer that this host stops;
 * without one, its next call would reach a process that has just ended, and have no known outcome.
 */
static bool
is_in_use_by_peers (const struct fl_relay *relay, int64_t now_ms)
{
  int64_t last_call_ms = fl_relay_last_peer_call_ms (relay);

  return fl_relay_open_peer_calls (relay) > 0
         || (last_call_ms > 0 && now_ms - last_call_ms < PEER_QUIET_MS);
}

/* Whether a client, or a peer whose store calls this host makes, may still need this process. */
static bool
is_in_use (const struct fl_frontd *frontd, int64_t now_ms)
{
  const struct fl_relay *relay = frontd->host->relay;

  return count_open_connections (frontd) > 0
         || (relay != NULL && is_in_use_by_peers (relay, now_ms));
}

static int
count_open_requests (const struct fl_frontd *frontd)
{
  int count = fl_http_server_open_requests (frontd->client_server);

  if (frontd->native_server != NULL)
    count += fl_http_server_open_requests (frontd->native_server);
  return count;
}

static void
enter_drain_phase (struct fl_frontd *frontd, enum front_drain_phase phase)
{
  const struct fl_log *log = &frontd->host->log;

  if (phase >= FRONT_DRAIN_CLOSING)
    {
      fl_http_server_stop_listening (frontd->client_server);
      fl_http_server_stop_listening (frontd->native_server);
      if (frontd->host->relay != NULL)
        fl_relay_drain (frontd->host->relay, 0);
    }
  if (phase == FRONT_DRAIN_ENDED)
    {
      fl_log (log, FL_LOG_NOTICE, "serving_ended",
              FL_I ("open_requests", count_open_requests (frontd)),
              FL_I ("open_connections", count_open_connections (frontd)));
      ev_break (frontd->host->loop, EVBREAK_ALL);
    }
  else
    fl_log (log, FL_LOG_INFO, "stop_phase", FL_I ("phase", phase),
            FL_I ("open_requests", count_open_requests (frontd)),
            FL_I ("open_connections", count_open_connections (frontd)));
}

static void
on_drain_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct fl_frontd *frontd = timer->data;
  enum front_drain_phase previous = frontd->drain.phase;
  int64_t now_ms = fl_clock_boot_ms ();
  enum front_drain_phase phase;

  (void)loop;
  (void)events;
  if (is_in_use (frontd, now_ms))
    frontd->last_open_ms = now_ms;
  phase = front_drain_update (&frontd->drain, now_ms, frontd->last_open_ms,
                              count_open_requests (frontd) > 0);
  if (phase != previous)
    enter_drain_phase (frontd, phase);
}

/* Starts the drain. The ready endpoint now returns 503, so that the load balancer stops sending
 * connections. */
static void
on_stop (void *context)
{
  struct fl_frontd *frontd = context;
  int64_t graceful_stop_ms = frontd->host->settings.graceful_stop_s * 1000;

  if (front_is_stopping (frontd))
    return;
  frontd->last_open_ms = fl_clock_boot_ms ();
  front_drain_start (&frontd->drain, frontd->last_open_ms, graceful_stop_ms);
  if (frontd->host->relay != NULL)
    fl_relay_drain (frontd->host->relay, front_drain_get_respond_by_ms (&frontd->drain));
  fl_log (&frontd->host->log, FL_LOG_NOTICE, "stopping",
          FL_I ("serve_ms", front_drain_get_respond_by_ms (&frontd->drain) - frontd->last_open_ms));
  ev_timer_start (frontd->host->loop, &frontd->drain_timer);
}

static void
write_dump (void *context, GString *out)
{
  const struct fl_frontd *frontd = context;
  int64_t version = frontd->configuration_watch.configuration != NULL
                        ? fl_configuration_get_version (frontd->configuration_watch.configuration)
                        : 0;

  g_string_append_printf (out,
                          "{\"configuration\":%" G_GINT64_FORMAT ",\"confirmed_ms_ago\":"
                          "%" G_GINT64_FORMAT ",\"open_requests\":%d}\n",
                          version, fl_clock_boot_ms () - frontd->configuration_watch.confirmed_ms,
                          fl_http_server_open_requests (frontd->client_server));
}

static bool
open_listeners (struct fl_frontd *frontd, struct fl_error *error)
{
  const struct fl_host_settings *settings = &frontd->host->settings;
  struct fl_host_metrics_options metrics
      = { .port = settings->front_metrics_port, .dump = write_dump, .context = frontd };

  frontd->client_server = listen_at (frontd, "front", &settings->front, on_request, error);
  if (frontd->client_server == NULL)
    return false;
  frontd->ready_server = listen_at (frontd, "ready", &settings->ready, on_ready_request, error);
  if (frontd->ready_server == NULL)
    return false;
  if (settings->native_api.len > 0)
    frontd->native_server
        = listen_at (frontd, "native", &settings->native_api, front_on_native_request, error);
  return (settings->native_api.len == 0 || frontd->native_server != NULL)
         && fl_host_serve_metrics (frontd->host, &metrics, error);
}

int
fl_frontd_serve (struct fl_host *host)
{
  struct fl_frontd frontd = { .host = host };
  struct fl_error error = { 0 };
  int code = FL_PROGRAM_OK;

  frontd.store_limit = front_store_limit_make ();
  ev_timer_init (&frontd.drain_timer, on_drain_timer, DRAIN_INTERVAL_S, DRAIN_INTERVAL_S);
  frontd.drain_timer.data = &frontd;
  if (open_listeners (&frontd, &error))
    {
      fl_stop_signals_start (&frontd.stop_signals, host->loop, on_stop, &frontd);
      fl_configuration_watch_start (&frontd.configuration_watch, host,
                                    &(struct fl_configuration_watch_callbacks){ 0 });
      front_admission_start (&frontd);
      ev_run (host->loop, 0);
      /* The loop keeps the addresses of active watchers, and these end with this function. */
      ev_timer_stop (host->loop, &frontd.drain_timer);
      fl_stop_signals_stop (&frontd.stop_signals, host->loop);
    }
  else
    {
      fl_log_error (&host->log, FL_LOG_ERR, "start_failed", &error);
      code = FL_PROGRAM_FAILED;
    }
  fl_configuration_watch_stop (&frontd.configuration_watch);
  front_admission_stop (&frontd);
  fl_http_server_free (frontd.client_server);
  fl_http_server_free (frontd.ready_server);
  fl_http_server_free (frontd.native_server);
  return code;
}
