/* Event loop helper for tests. */
#pragma once

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

/* The longest time for which a loop was held up, because its process did not run. */
struct loop_watch
{
  ev_timer timer;
  int64_t last_ms;
  int64_t held_up_ms;
};

/* Starts to watch @loop. */
void support_watch_loop (struct loop_watch *watch, struct ev_loop *loop);

/* Runs @loop for @seconds. */
void support_run_loop_for (struct ev_loop *loop, double seconds);

/* Exit code of a child process whose daemon left handlers of signals. */
#define SUPPORT_LEFT_HANDLERS 100

/* To be called after a function with watchers of its own in @loop has returned. Overwrites the
 * stack that it had, and lets libev examine its watchers, so that one that it left active ends the
 * process by SIGABRT. @return whether it has left no handler of SIGTERM or SIGINT either. */
bool support_loop_is_left (struct ev_loop *loop);
