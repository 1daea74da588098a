/* Event loop helper for tests. */
#pragma once

#include <ev.h>

/* Runs @loop for @seconds. */
void support_run_loop_for (struct ev_loop *loop, double seconds);
