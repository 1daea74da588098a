/* Sends a load plan to entry hosts and reckons what came of it. */
#pragma once

#include "bench/plan.h"
#include "bench/probe.h"
#include "common/stats.h"
#include "domain/domain.h"

struct fl_load;

struct fl_load_options
{
  const struct fl_plan *plan;
  const char *const *urls;  /* of entry hosts, NULL-terminated; used in turn */
  const char *records;      /* URL of the stand-in targets' records; NULL skips the reckoning */
  const char *operator_key; /* for looking at shares and packing; NULL for not */
  const char *run_id;       /* makes ids of this run differ from those of others */
  FILE *csv;                /* one line each second for each stream; NULL for none */
};

/* What one stream came to. */
struct fl_stream_result
{
  struct fl_name name;
  int kind;
  int64_t sent;
  int64_t outcomes[FL_OUTCOMES];
  int64_t unreachable;         /* no entry host answered */
  struct fl_histogram wait_us; /* requests: to the answer; jobs: to acceptance */
  int64_t jobs_done;
  json_t *reasons;       /* reason -> count, of answers that were not done or accepted */
  int64_t lost;          /* accepted or answered done, but never ran */
  int64_t doubled;       /* ran more than once although it must not */
  int64_t false_not_run; /* answered not_run, but ran */
};

struct fl_load *fl_load_new (const struct fl_load_options *options);

/* Runs the whole plan; blocks. */
void fl_load_run (struct fl_load *load);

/* @return the results, one for each stream of the plan, valid until fl_load_free. */
const struct fl_stream_result *fl_load_results (const struct fl_load *load);
/* What was seen of shares and packing while arrivals lasted; zeros without an operator's key. */
struct fl_probe_result fl_load_probe (const struct fl_load *load);
void fl_load_free (struct fl_load *load);
