/* A small cell on a virtual clock: targets that follow the published protocol, a store, and owners
 * that drive lib/core as flamingo-poold does. Faults come from a seed; an oracle checks the rules
 * from what the targets see. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "core/core.h"

/* What a run of the cell may do to it. Chances are per mille for each order or each 100 ms. */
struct cell_fault_rates
{
  int order_reply_lost;   /* the order or its answer is lost */
  int order_late;         /* it is carried out 2 to 6 s later and not answered */
  int target_crash;       /* a target loses all and comes back after some seconds */
  int target_new_id;      /* of the crashes: it comes back under another id at its address */
  int target_isolated;    /* a target is cut off for some seconds and runs on */
  int target_drain;       /* a target drains, leaves, and another comes */
  int owner_killed;       /* the owner dies; another takes over after the lease */
  int owner_frozen;       /* the owner stands still for some seconds and goes on */
  int owner_isolated;     /* the owner loses the store */
  int store_reply_lost;   /* a write is done and not answered, or done late */
  int store_delay_max_ms; /* answers of the store take up to this much longer */
  int job_cancelled;
  int task_failed; /* per mille of runs */
};

/* One fault at a given place, for walks through all places. */
enum cell_fault_kind
{
  CELL_FAULT_ORDER_REPLY_LOST,  /* the answer to order number `at` */
  CELL_FAULT_ORDER_LATE,        /* order number `at` is carried out late */
  CELL_FAULT_COMMIT_REPLY_LOST, /* the answer to record number `at` */
  CELL_FAULT_TARGET_CRASH,      /* the others: in slot `at`, of target `index` or the owner */
  CELL_FAULT_TARGET_REPLACED,   /* crash, and back under another id */
  CELL_FAULT_TARGET_ISOLATED,
  CELL_FAULT_TARGET_DRAIN,
  CELL_FAULT_OWNER_KILLED,
  CELL_FAULT_OWNER_FROZEN,
  CELL_FAULT_OWNER_ISOLATED,
  CELL_FAULT_JOB_CANCELLED, /* job `index` */
  CELL_FAULT_KINDS
};

#define CELL_FAULT_INTERVAL_MS 500

struct cell_fault
{
  enum cell_fault_kind kind;
  int position;
  int index;
};

struct cell_options
{
  uint64_t seed;
  int target_count;
  int job_count; /* handed in over the first part of the run */
  int64_t
      fault_phase_ms;   /* faults and new jobs stop after this; what is accepted has to end then */
  bool advice_required; /* starts need tickets */
  struct cell_fault_rates fault_rates;
  const struct cell_fault *scripted_faults;
  size_t scripted_fault_count;
  const char *trace_prefix; /* prints what concerns tasks whose names begin so; NULL for nothing */
};

struct cell_result
{
  char violation[256]; /* the first rule that broke, with time and task; empty when none did */
  int jobs_accepted;
  int jobs_ended; /* completed, failed by their own tasks, or cancelled */
  int64_t starts;
  int64_t lost_runs; /* lapsed, or gone with their target */
  int owner_count;
};

/* Plays one run. */
struct cell_result cell_simulate (const struct cell_options *options);
