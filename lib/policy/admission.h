/* Which queues accept further jobs, by how long the queries for advice take that accepted jobs
 * still need, and by the memory that they hold.
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

/* Closes queues whose accepted jobs hold too much of the memory of the owner.
 *
 * Load pattern: jobs come faster than they end, or are due in an hour. What is accepted is held by
 * each owner until it has ended, so that without a bound one caller takes the memory of all.
 *
 * A queue is closed while its jobs hold more than what is left of the bound: one queue may hold
 * half of it, two a third each, and a queue with few jobs stays open beside them. It is open again
 * when its jobs hold less than this share of what is left. */
#define FL_ADMISSION_OPEN_PERCENT 90

struct fl_admission_memory
{
  struct fl_name name;
  int64_t bytes;  /* held by its accepted jobs */
  bool is_closed; /* set by the update */
};

/* Closes and opens @queues (struct fl_admission_memory), whose jobs may hold @bytes_max in all; 0
 * for no bound. @return the bytes that are left of it. */
int64_t fl_admission_update_memory (GArray *queues, int64_t bytes_max);

/* Closes and opens @queues (struct fl_admission_queue), which @hosts hosts query for. Orders them:
 * those with long-running steps come first, then those with the shortest queries, so that the
 * fewest jobs are rejected. */
void fl_admission_update (GArray *queues, int hosts, int64_t now_ms);
