/* The scheduler process: competes for failure domains and runs the ones it owns. */
#pragma once

#include <ev.h>

#include "node/settings.h"

struct fl_sched;

/* Starts listening. @return NULL with @error filled when it cannot. */
struct fl_sched *fl_sched_new (const struct fl_settings *settings, struct fl_error *error);

/* Serves until fl_sched_shut_down has run its course. */
void fl_sched_serve (struct fl_sched *sched);

/* The loop, for signal watchers. */
struct ev_loop *fl_sched_loop (const struct fl_sched *sched);

/* Stops gracefully: takes nothing new, lets requests end, hands the domains over. */
void fl_sched_shut_down (struct fl_sched *sched);

void fl_sched_free (struct fl_sched *sched);
