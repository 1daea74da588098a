/* flamingo-poold: competes for the pool, decides while it owns it, and calls the advice service for
 * whichever host owns it. */
#pragma once

#include "host/host.h"

/* Runs until a stop is asked for. @return an exit code of enum fl_program_exit. */
int fl_poold_serve (struct fl_host *host);
