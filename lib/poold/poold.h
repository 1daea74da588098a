/* flamingo-poold: competes for the ownership of the pool, schedules tasks while it is owner, and
 * sends advice queries and forwarded orders for the host that is. */
#pragma once

#include "host/host.h"

/* Runs until SIGTERM or SIGINT. @return an exit code of enum fl_program_exit. */
int fl_poold_serve (struct fl_host *host);
