/* What both daemons of a host have: event loop, settings, log, counters, HTTP client, store. */
#pragma once

#include <ev.h>

#include "common/log.h"
#include "common/stats.h"
#include "host/settings.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "platform/platform.h"
#include "relay/relay.h"

struct fl_host
{
  const char *settings_path;
  struct fl_host_settings settings;
  struct ev_loop *loop;
  struct fl_log log;
  struct fl_log_state log_state;
  ev_signal reload_signal; /* SIGHUP */
  struct fl_stats *stats;
  struct fl_http_client *http_client;
  struct fl_platform_store *platform_store;
  struct fl_relay *relay;                /* NULL without relay port */
  const struct fl_store *store;          /* by way of the relay when there is one */
  struct fl_http_server *metrics_server; /* NULL when the settings name no port */
};

/* A daemon's main program. */
struct fl_program
{
  const char *name;
  const char *summary;     /* one line for --help */
  bool relays_store_calls; /* calls to the store of other hosts */
  /* Runs until a stop is asked for. @return an exit code. */
  int (*serve) (struct fl_host *host);
};

/* Exit codes of the daemons. */
enum fl_program_exit
{
  FL_PROGRAM_OK = 0,
  FL_PROGRAM_FAILED = 1,
  FL_PROGRAM_USAGE = 2
};

/* Parses arguments, loads the settings, makes the host and serves. @return the exit code. */
int fl_program_main (const struct fl_program *program, int argc, char **argv);

/* Serves counters at /metrics and what @dump writes at /dump, on @port unless it is 0. */
bool fl_host_serve_metrics (struct fl_host *host,
                            int64_t port,
                            void (*dump) (void *context, GString *out),
                            void *context,
                            struct fl_error *error);

/* Calls a function when SIGTERM or SIGINT arrives. */
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
