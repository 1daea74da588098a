/* flamingo-frontd: accepts job submissions, queries and cancellations from clients. */
#pragma once

#include "host/host.h"

/* Runs until a stop signal. @return an exit code of enum fl_program_exit. */
int fl_frontd_serve (struct fl_host *host);
