/* A small cell on a virtual clock: targets that follow the published protocol, a store, and owners
 * that drive lib/core as flamingo-poold does. Faults come from a seed; an oracle checks the rules
 * from what the targets see. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "core/core.h"

/* What a run of the cell may do to it. Chances are per mille for each order or each 100 ms. */
struct cell_faults
{
  int order_lost;    /* the order or its answer is lost */
  int order_late;    /* it is carried out 2 to 6 s later and not answered */
  int target_crash;  /* a target loses all and comes back after some seconds */
  int target_new_id; /* of the crashes: it comes back under another id at its address */
  int target_cut;    /* a target is cut off for some seconds and runs on */
  int target_drain;  /* a target drains, leaves, and another comes */
  int owner_killed;  /* the owner dies; another takes over after the lease */
  int owner_frozen;  /* the owner stands still for some seconds and goes on */
  int owner_cut;     /* the owner loses the store */
  int store_lost;    /* a write is done and not answered, or done late */
  int store_slow_ms; /* answers of the store take up to this much longer */
  int job_cancelled;
  int task_failed; /* per mille of runs */
};

/* One fault at a given place, for walks through all places. */
enum cell_strike_kind
{
  STRIKE_ORDER_LOST,  /* the answer to order number `at` */
  STRIKE_ORDER_LATE,  /* order number `at` is carried out late */
  STRIKE_COMMIT_LOST, /* the answer to record number `at` */
  STRIKE_CRASH,       /* the others: in slot `at`, of target `index` or the owner */
  STRIKE_REPLACED,    /* crash, and back under another id */
  STRIKE_CUT,
  STRIKE_DRAIN,
  STRIKE_OWNER_KILLED,
  STRIKE_OWNER_FROZEN,
  STRIKE_OWNER_CUT,
  STRIKE_JOB_CANCELLED, /* job `index` */
  STRIKE_KINDS
};

#define CELL_SLOT_MS 500

struct cell_strike
{
  enum cell_strike_kind kind;
  int at;
  int index;
};

struct cell_options
{
  uint64_t seed;
  int targets;
  int jobs;          /* handed in over the first part of the run */
  int64_t length_ms; /* faults and new jobs stop after this; what is accepted has to end then */
  bool advice;       /* starts need tickets */
  struct cell_faults faults;
  const struct cell_strike *strikes;
  size_t strike_count;
  const char *trace; /* prints what concerns tasks whose names begin so; NULL for nothing */
};

struct cell_result
{
  char broken[256]; /* the first rule that broke, with time and task; empty when none did */
  int accepted;
  int ended; /* completed, failed by their own tasks, or cancelled */
  int64_t starts;
  int64_t lost_runs; /* lapsed, or gone with their target */
  int owners;
};

/* Plays one run. */
struct cell_result cell_play (const struct cell_options *options);
