/* Context that every daemon of a host has: event loop, settings, log, counters, HTTP client and
 * store. */
#pragma once

#include <ev.h>

#include "common/log.h"
#include "common/stats.h"
#include "host/settings.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/loop_watch.h"
#include "platform/platform.h"
#include "relay/relay.h"

struct fl_host
{
  const char *settings_path;
  struct fl_host_settings settings;
  struct ev_loop *loop;
  struct fl_log log;
  struct fl_log_state log_state;
  ev_prepare log_flush;
  struct fl_loop_watch loop_watch;
  ev_signal reload_signal; /* SIGHUP */
  struct fl_stats *stats;
  struct fl_http_client *http_client;
  struct fl_platform_store *platform_store;
  struct fl_relay *relay;                /* NULL when the settings define no port */
  const struct fl_store *store;          /* through the relay when there is one */
  struct fl_http_server *metrics_server; /* NULL when the settings define no port */
};

/* Description of a daemon for fl_program_main. */
struct fl_program
{
  const char *name;
  const char *summary;     /* one line for --help */
  bool relays_store_calls; /* of other hosts */
  /* Runs until a stop signal. @return an exit code. */
  int (*serve) (struct fl_host *host);
};

/* Exit codes of the daemons. */
enum fl_program_exit
{
  FL_PROGRAM_OK = 0,
  FL_PROGRAM_FAILED = 1,
  FL_PROGRAM_USAGE = 2
};

/* Parses the arguments, loads the settings, sets up the host and runs the daemon.
 * @return the exit code. */
int fl_program_main (const struct fl_program *program, int argc, char **argv);

struct fl_host_metrics_options
{
  int64_t port; /* nothing is served if it is 0 */
  void (*dump) (void *context, GString *out);
  /* Responds to a request for another path; NULL for none. @return false, without a response, for
   * an unknown path. */
  bool (*on_request) (void *context, struct fl_http_request *request);
  int64_t body_max; /* bytes of the body of such a request; 0 for those without one */
  void *context;    /* valid whenever the event loop runs */
};

/* Serves counters at /metrics and the output of options->dump at /dump.
 * @return false with @error filled when the port cannot be bound. */
bool fl_host_serve_metrics (struct fl_host *host,
                            const struct fl_host_metrics_options *options,
                            struct fl_error *error);

/* Watchers that call on_stop on SIGTERM and SIGINT. */
struct fl_stop_signals
{
  ev_signal sigterm;
  ev_signal sigint;
  void (*on_stop) (void *context);
  void *context;
};

void fl_stop_signals_start (struct fl_stop_signals *signals,
                            struct ev_loop *loop,
                            void (*on_stop) (void *context),
                            void *context);

/* To be called before the memory of @signals ends, if they were started. */
void fl_stop_signals_stop (struct fl_stop_signals *signals, struct ev_loop *loop);
