/* flamingo-frontd: takes jobs, questions about them and cancellations from clients. */
#pragma once

#include "host/host.h"

/* Runs until a stop is asked for. @return an exit code of enum fl_program_exit. */
int fl_frontd_serve (struct fl_host *host);
