/* What a target knows and does by the published protocol: leases on its own clock, fencing tokens,
 * run numbers, ends that are listed until they are forgotten. Pure: the fuzzer's cell and the
 * stand-in drive it. Times are milliseconds of the world's clock but where the target's clock is
 * named. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "targets/calls.h"

/* Longest lease that a target grants. */
#define TARGET_HOLD_MAX_MS 6000

struct target_run
{
  struct fl_name task;
  int64_t run;
  int64_t started_ms;
  int64_t ends_ms; /* by its own; INT64_MAX for one that lasts */
  bool fails;
  int64_t stopping_ms; /* ends as stopped then; 0 when no stop came */
  int64_t pace;        /* percent */
};

struct target_end
{
  int64_t number;
  struct fl_name task;
  int64_t run;
  enum fl_end_cause cause;
  bool stale;     /* the lease lapsed since: forgetting it does not take note of it */
  bool restarted; /* for oracles: its task was started again after it */
};

/* Told of what happens; each may be NULL. */
struct target_observer
{
  void (*on_start) (void *context, const struct fl_start_order *order);
  void (*on_end) (void *context, const struct target_end *end);
  void (*on_forget) (void *context, const struct target_end *end);
  void *context;
};

struct target_state
{
  struct target_observer observer;
  int64_t born_ms;
  double rate; /* of its clock against the world's */
  int64_t token;
  int64_t lease_ms; /* on its clock */
  GArray *runs;     /* struct target_run */
  GArray *ends;     /* struct target_end */
  int64_t last_end;
  GHashTable *barred; /* task -> highest run that ended or was stopped */
};

void target_state_init (struct target_state *state, int64_t born_ms, double rate);
void target_state_clear (struct target_state *state);

/* A new boot: nothing of the one before is known. */
void target_state_restart (struct target_state *state, int64_t now_ms);

int64_t target_state_clock (const struct target_state *state, int64_t now_ms);

/* Lets ends come that are due. @return whether there were any. */
bool target_state_advance (struct target_state *state, int64_t now_ms);

/* Carries an order out. A run that starts ends after @work_ms, failed if @fails. */
enum fl_order_result target_state_start (struct target_state *state,
                                         int64_t now_ms,
                                         const struct fl_start_order *order,
                                         int64_t work_ms,
                                         bool fails);
enum fl_order_result target_state_stop (struct target_state *state,
                                        int64_t now_ms,
                                        const struct fl_run_order *order,
                                        int64_t stop_ms);
enum fl_order_result target_state_hold (struct target_state *state,
                                        int64_t now_ms,
                                        const struct fl_heartbeat_order *order);

/* Fills @lists with what a hold answers; freed by target_state_lists_clear. */
void target_state_lists (const struct target_state *state,
                         int64_t now_ms,
                         struct fl_target_report *lists);
void target_state_lists_clear (struct fl_target_report *lists);
