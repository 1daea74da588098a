/* Event loop helper for tests. */
#pragma once

#include <ev.h>
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
