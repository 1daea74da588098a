#include "host/host.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#include <argtable2.h>

/* Connections to targets and the store that are kept open for reuse; above this, libcurl closes the
 * least recently used. At most this share of the descriptors. */
#define CLIENT_CONNECTIONS_MAX 1024
#define CLIENT_DESCRIPTOR_PERCENT 25
/* Share of the descriptors that calls to targets may take at once. The rest is for the store,
 * peers, files and idle connections: a process that has no descriptor left reaches nothing any
 * more. */
#define CALLS_DESCRIPTOR_PERCENT 50
/* Limits of the metrics server, which serves the short requests of one scraper. */
#define METRICS_BODY_MAX 1024
#define METRICS_HEADER_MAX 8192
#define METRICS_CONNECTIONS_MAX 16
#define METRICS_IDLE_TIMEOUT_MS (10 * 60 * 1000)
#define METRICS_UPLOAD_TIMEOUT_MS 2000

/* --- metrics --- */

struct metrics_context
{
  struct fl_host *host;
  struct fl_host_metrics_options options;
};

static void
on_metrics_request (void *context, struct fl_http_request *request)
{
  struct metrics_context *metrics = context;
  const struct fl_host_metrics_options *options = &metrics->options;

  if (options->on_request != NULL && options->on_request (options->context, request))
    return;
  GString *text = g_string_new (NULL);
  struct fl_http_response response = { .status = 200, .type = "text/plain" };

  if (strcmp (fl_http_path (request), "/metrics") == 0)
    fl_stats_write (metrics->host->stats, text);
  else if (strcmp (fl_http_path (request), "/dump") == 0)
    options->dump (options->context, text);
  else
    response.status = 404;
  response.body = text->str;
  response.len = text->len;
  fl_http_respond (request, &response);
  g_string_free (text, TRUE);
}

bool
fl_host_serve_metrics (struct fl_host *host,
                       const struct fl_host_metrics_options *options,
                       struct fl_error *error)
{
  struct metrics_context *metrics;

  if (options->port == 0)
    return true;
  metrics = g_new0 (struct metrics_context, 1);
  *metrics = (struct metrics_context){ host, *options };
  struct fl_http_server_options server = {
    .loop = host->loop,
    .name = "metrics",
    .log = &host->log,
    .stats = host->stats,
    .address = host->settings.address.data,
    .port = options->port,
    .body_max = MAX (options->body_max, METRICS_BODY_MAX),
    .header_max = METRICS_HEADER_MAX,
    .connections_max = METRICS_CONNECTIONS_MAX,
    .idle_timeout_ms = METRICS_IDLE_TIMEOUT_MS,
    .upload_timeout_ms = METRICS_UPLOAD_TIMEOUT_MS,
    .on_request = on_metrics_request,
    .context = metrics,
  };
  host->metrics_server = fl_http_server_new (&server, error);
  return host->metrics_server != NULL;
}

/* --- signals --- */

static void
on_signal (struct ev_loop *loop, ev_signal *watcher, int events)
{
  struct fl_stop_signals *signals = watcher->data;

  (void)loop;
  (void)events;
  signals->on_stop (signals->context);
}

void
fl_stop_signals_start (struct fl_stop_signals *signals,
                       struct ev_loop *loop,
                       void (*on_stop) (void *context),
                       void *context)
{
  signals->on_stop = on_stop;
  signals->context = context;
  ev_signal_init (&signals->sigterm, on_signal, SIGTERM);
  ev_signal_init (&signals->sigint, on_signal, SIGINT);
  signals->sigterm.data = signals;
  signals->sigint.data = signals;
  ev_signal_start (loop, &signals->sigterm);
  ev_signal_start (loop, &signals->sigint);
}

void
fl_stop_signals_stop (struct fl_stop_signals *signals, struct ev_loop *loop)
{
  ev_signal_stop (loop, &signals->sigterm);
  ev_signal_stop (loop, &signals->sigint);
}

/* --- reload --- */

/* Reloads the settings but applies only the log level; all other settings take effect at the next
 * start. Invalid settings change nothing. */
static void
on_reload (struct ev_loop *loop, ev_signal *watcher, int events)
{
  struct fl_host *host = watcher->data;
  struct fl_host_settings settings;
  struct fl_problems problems = { 0 };

  (void)loop;
  (void)events;
  if (fl_host_settings_load (host->settings_path, &settings, &problems))
    {
      host->log.level = fl_host_settings_log_level (&settings);
      fl_log (&host->log, FL_LOG_NOTICE, "reloaded", FL_I ("log_level", host->log.level));
    }
  else
    fl_log (&host->log, FL_LOG_ERR, "reload_refused",
            FL_S ("problems", fl_str_text (&problems.text)));
  fl_host_settings_clear (&settings);
  fl_problems_clear (&problems);
}

/* --- signals before the program serves --- */

/* Handlers that are there before the settings are read: by default, the signals would end the
 * process. They take effect when the event loop runs. */
struct early_signals
{
  struct fl_stop_signals stop;
  bool stop_requested;
};

static void
on_early_stop (void *context)
{
  ((struct early_signals *)context)->stop_requested = true;
}

static void
start_early_signals (struct early_signals *signals, struct fl_host *host)
{
  host->loop = ev_default_loop (EVFLAG_AUTO);
  fl_stop_signals_start (&signals->stop, host->loop, on_early_stop, signals);
  ev_signal_init (&host->reload_signal, on_reload, SIGHUP);
  host->reload_signal.data = host;
  ev_signal_start (host->loop, &host->reload_signal);
}

/* @return whether a stop signal has arrived. */
static bool
is_stop_requested (const struct early_signals *signals, struct fl_host *host)
{
  ev_run (host->loop, EVRUN_NOWAIT);
  return signals->stop_requested;
}

/* --- log --- */

static void
on_log_flush (struct ev_loop *loop, ev_prepare *watcher, int events)
{
  const struct fl_host *host = watcher->data;

  (void)loop;
  (void)events;
  fl_log_flush (&host->log);
}

/* Writes the lines of a turn of the loop after all other watchers of this kind, which log, too. */
static void
start_log_buffer (struct fl_host *host)
{
  host->log_state.is_buffered = true;
  ev_prepare_init (&host->log_flush, on_log_flush);
  ev_set_priority (&host->log_flush, EV_MINPRI);
  host->log_flush.data = host;
  ev_prepare_start (host->loop, &host->log_flush);
}

/* Writes what is buffered, and all later lines at once. */
static void
stop_log_buffer (struct fl_host *host)
{
  ev_prepare_stop (host->loop, &host->log_flush);
  host->log_state.is_buffered = false;
  fl_log_flush (&host->log);
}

/* --- main --- */

/* Starts the relay, which makes store calls through other hosts and, with @accepts_peer_calls, also
 * for other hosts. If this fails, the host uses only its own connection to the store. */
static void
start_relay (struct fl_host *host, bool accepts_peer_calls)
{
  struct fl_relay_options options = {
    .loop = host->loop,
    .log = &host->log,
    .stats = host->stats,
    .direct = host->store,
    .host = host->settings.name,
    .cpu_milli = fl_host_settings_cpu_milli (&host->settings),
    .loop_watch = &host->loop_watch,
  };
  struct fl_error error = { 0 };

  if (host->settings.relay_port == 0)
    return;
  if (accepts_peer_calls)
    options.address = fl_name_format ("tcp://%s:%" G_GINT64_FORMAT, host->settings.address.data,
                                      host->settings.relay_port);
  host->relay = fl_relay_new (&options, &error);
  if (host->relay != NULL)
    host->store = fl_relay_store (host->relay);
  else
    fl_log_error (&host->log, FL_LOG_ERR, "relay_unavailable", &error);
}

static void
host_init (struct fl_host *host, const struct fl_program *program)
{
  host->log = (struct fl_log){ fl_host_settings_log_level (&host->settings), program->name,
                               host->settings.name, &host->log_state };
  fl_log_set_nonblocking ();
  start_log_buffer (host);
  host->stats = fl_stats_new ();
  fl_loop_watch_start (&host->loop_watch, host->loop, &host->log, host->stats);
  host->http_client = fl_http_client_new (&(struct fl_http_client_options){
      .loop = host->loop,
      .connections_max = MIN (CLIENT_CONNECTIONS_MAX, fl_host_settings_descriptors (&host->settings)
                                                          * CLIENT_DESCRIPTOR_PERCENT / 100),
      .busy_max = fl_host_settings_descriptors (&host->settings) * CALLS_DESCRIPTOR_PERCENT / 100,
      .log = &host->log,
      .stats = host->stats,
  });
  host->platform_store = fl_platform_store_new (host->http_client, host->settings.store.data);
  host->store = fl_platform_store_get_interface (host->platform_store);
  start_relay (host, program->relays_store_calls);
}

static void
host_clear (struct fl_host *host)
{
  fl_http_server_free (host->metrics_server);
  fl_relay_free (host->relay);
  fl_platform_store_free (host->platform_store);
  fl_http_client_free (host->http_client);
  fl_loop_watch_stop (&host->loop_watch);
  fl_stats_free (host->stats);
}

static int
run_program (const struct fl_program *program, const char *path, bool check_only)
{
  struct fl_host host = { .settings_path = path };
  struct early_signals signals = { 0 };
  struct fl_problems problems = { 0 };
  int code = FL_PROGRAM_OK;

  if (!check_only)
    start_early_signals (&signals, &host);
  if (!fl_host_settings_load (path, &host.settings, &problems))
    {
      fprintf (stderr, "%s: %zu problem(s) in %s:\n%s\n", program->name, problems.count, path,
               fl_str_text (&problems.text));
      code = FL_PROGRAM_USAGE;
    }
  else if (check_only)
    printf ("%s: settings are valid\n", path);
  else
    {
      signal (SIGPIPE, SIG_IGN);
      host_init (&host, program);
      fl_log (&host.log, FL_LOG_NOTICE, "started", FL_N ("domain", &host.settings.domain),
              FL_N ("store", &host.settings.store));
      if (!is_stop_requested (&signals, &host))
        code = program->serve (&host);
      stop_log_buffer (&host);
      fl_log (&host.log, FL_LOG_NOTICE, "stopped", FL_I ("code", code));
      host_clear (&host);
    }
  fl_host_settings_clear (&host.settings);
  fl_problems_clear (&problems);
  return code;
}

int
fl_program_main (const struct fl_program *program, int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 ("h", "help", "print this help and exit");
  struct arg_lit *check = arg_lit0 (NULL, "check", "check the settings and exit");
  struct arg_file *settings = arg_file1 ("s", "settings", "FILE", "JSON settings");
  struct arg_end *end = arg_end (5);
  void *arg_table[] = { help, check, settings, end };
  int errors = arg_parse (argc, argv, arg_table);
  int code = FL_PROGRAM_USAGE;

  if (help->count > 0)
    {
      printf ("%s - %s\n\nUsage: %s", program->name, program->summary, program->name);
      arg_print_syntax (stdout, arg_table, "\n\nOptions:\n");
      arg_print_glossary (stdout, arg_table, "  %-28s %s\n");
      puts ("");
      fl_host_settings_describe ();
      puts ("\nSignals: SIGTERM and SIGINT stop gracefully; SIGHUP reloads the log level.\n"
            "Exit codes: 0 stopped by a signal, 1 failed, 2 invalid arguments or settings.");
      code = FL_PROGRAM_OK;
    }
  else if (errors > 0)
    {
      arg_print_errors (stderr, end, program->name);
      fprintf (stderr, "Try '%s --help'.\n", program->name);
    }
  else
    code = run_program (program, settings->filename[0], check->count > 0);
  arg_freetable (arg_table, sizeof arg_table / sizeof arg_table[0]);
  return code;
}
