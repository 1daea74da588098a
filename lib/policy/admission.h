/* Which queues accept further jobs, by how long the queries for advice take that accepted jobs
 * still need.
 *
 * Load pattern: most hosts are gone, or the service is slow, and jobs come as before. Each step
 * needs a query of its own, and a host sends one at a time: what is accepted beyond that waits for
 * ever. A job that is rejected at once costs its caller less.
 *
 * Pure: no I/O, no clock. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "common/str.h"

/* A queue is closed when the queries that it and the queues before it need take longer than this,
 * by all hosts, for FL_ADMISSION_CLOSE_AFTER_MS, and is open again below the lower bound. Bursts
 * that hosts work off within seconds close none. */
#define FL_ADMISSION_CLOSE_MS 4000
#define FL_ADMISSION_OPEN_MS 1500
#define FL_ADMISSION_CLOSE_AFTER_MS 500

struct fl_admission_queue
{
  struct fl_name name;
  bool is_lasting;       /* has long-running steps: these are queried before others */
  double query_ms;       /* that one query takes */
  double needed_ms;      /* that the queries take which accepted jobs still need */
  double backlog_ms;     /* of this queue and those before it, by all hosts; set by the update */
  bool is_closed;        /* set by the update */
  int64_t over_since_ms; /* above FL_ADMISSION_CLOSE_MS since then; 0 for below */
};

/* Closes and opens @queues (struct fl_admission_queue), which @hosts hosts query for. Orders them:
 * those with long-running steps come first, then those with the shortest queries, so that the
 * fewest jobs are rejected. */
void fl_admission_update (GArray *queues, int hosts, int64_t now_ms);
