/* Runs an event loop for a while. */
#pragma once

#include <ev.h>

void support_run_loop_for (struct ev_loop *loop, double seconds);
