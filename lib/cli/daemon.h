/* The common part of the daemons' main functions: arguments, settings and signals. */
#pragma once

#include <ev.h>

#include "node/settings.h"

/* Exit codes of all programs. */
enum fl_exit
{
  FL_EXIT_OK = 0,
  FL_EXIT_FAILED = 1, /* the operation was refused or failed */
  FL_EXIT_USAGE = 2,  /* bad arguments or settings */
  FL_EXIT_UNREACHABLE = 3
};

struct fl_daemon
{
  const char *program;
  const char *summary; /* one line for --help */
  /* Runs the daemon. @return an exit code. */
  int (*serve) (const struct fl_settings *settings);
};

/* Parses arguments, loads settings and runs the daemon. @return the exit code. */
int fl_daemon_main (const struct fl_daemon *daemon, int argc, char **argv);

/* Calls @on_stop when SIGTERM or SIGINT arrives at @loop. Watchers live in @watchers. */
struct fl_stop_watchers
{
  ev_signal term;
  ev_signal interrupt;
  void (*on_stop) (void *context);
  void *context;
};

void fl_stop_watchers_start (struct fl_stop_watchers *watchers,
                             struct ev_loop *loop,
                             void (*on_stop) (void *context),
                             void *context);
