/* Timeouts that conclude from silence that a peer, a call or a connection has failed.
 *
 * When a process has not run for a while, the reply may have arrived meanwhile, and libev runs
 * plain timers before it reads. A timeout is called after the input of its iteration. One that is
 * called late is first put off for FL_TIMEOUT_GRACE_MS, for input that takes several iterations or
 * another thread, as that of ZeroMQ does.
 *
 * Not for limits on what this process itself may do, such as its authority: these are checked by
 * the clock before acting. */
#pragma once

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

/* A timeout that is called this late was held up together with its process. */
#define FL_TIMEOUT_LATE_MIN_MS 20
#define FL_TIMEOUT_GRACE_MS 50

struct fl_timeout
{
  struct ev_loop *loop;
  ev_timer timer;
  int64_t due_ms;
  bool is_put_off;
  void (*on_timeout) (void *context);
  void *context;
};

void fl_timeout_init (struct fl_timeout *timeout,
                      struct ev_loop *loop,
                      void (*on_timeout) (void *context),
                      void *context);

/* Calls on_timeout once, after @delay_ms from now, instead of when it was started for before. */
void fl_timeout_start (struct fl_timeout *timeout, int64_t delay_ms);

/* Does nothing if @timeout is not started, or is zeroed. */
void fl_timeout_stop (struct fl_timeout *timeout);
