/* The state of a target and its handling of orders, following the published protocol: a lease on
 * the target's clock, fencing tokens, run numbers, and ends that are listed until they are
 * acknowledged. It does no input or output; the simulated cell and the stand-in for targets drive
 * it. Times are milliseconds of the caller's clock unless the target's clock is named. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "targets/calls.h"

/* Longest lease that a target grants. */
#define TARGET_LEASE_MAX_MS 6000

struct target_run
{
  struct fl_name task;
  int64_t run;
  int64_t started_ms;
  int64_t finish_ms; /* when its work is done; INT64_MAX if it runs until it is stopped */
  bool fails;
  bool waits;            /* for other members of its gang; its work has not begun */
  int64_t stop_at_ms;    /* when it ends as stopped; 0 without a stop order */
  int64_t share_percent; /* of its resources; 100 if it is not throttled */
  int64_t fencing_token; /* set by the cell: of the order that started it */
};

struct target_end
{
  int64_t number;
  struct fl_name task;
  int64_t run;
  enum fl_end_cause cause;
  bool lease_expired;  /* the lease has expired since; an acknowledgement no longer counts */
  bool task_restarted; /* set by the caller: the task was started again after this end */
};

/* Callbacks; each may be NULL. */
struct target_observer
{
  void (*on_run_start) (void *context, const struct fl_start_order *order);
  void (*on_run_end) (void *context, const struct target_end *end);
  void (*on_end_acknowledged) (void *context, const struct target_end *end);
  void *context;
};

struct target_state
{
  struct target_observer observer;
  int64_t booted_at_ms;
  double clock_rate;      /* speed of the target's clock, relative to the caller's */
  int64_t clock_start_ms; /* the target's clock at its boot; set by the caller, else 0 */
  int64_t fencing_token;
  int64_t lease_expiry_ms; /* on the target's clock */
  GArray *runs;            /* struct target_run */
  GArray *ends;            /* struct target_end */
  int64_t last_end_number;
  GHashTable *closed_runs; /* task -> highest run that ended or was stopped */
};

void target_state_init (struct target_state *state, int64_t booted_at_ms, double clock_rate);
void target_state_clear (struct target_state *state);

/* Starts a new boot, without the runs, ends, lease and fencing token of the previous one. */
void target_state_restart (struct target_state *state, int64_t now_ms);

/* @return the time on the target's clock. */
int64_t target_state_get_clock_ms (const struct target_state *state, int64_t now_ms);

/* Ends the runs that are due: the lease has expired, a stop has taken effect or the work is done.
 * @return whether there were any. */
bool target_state_advance (struct target_state *state, int64_t now_ms);

/* The next four functions execute an order. A started run ends by itself after @work_ms, as failed
 * if @fails; with INT64_MAX it runs until it is stopped. A stopped run ends after @stop_ms. */
enum fl_order_result target_state_start_run (struct target_state *state,
                                             int64_t now_ms,
                                             const struct fl_start_order *order,
                                             int64_t work_ms,
                                             bool fails);
/* Rejects a start without a valid ticket, which gives a lease all the same. */
enum fl_order_result target_state_reject_start (struct target_state *state,
                                                int64_t now_ms,
                                                const struct fl_start_order *order);
enum fl_order_result target_state_stop_run (struct target_state *state,
                                            int64_t now_ms,
                                            const struct fl_run_order *order,
                                            int64_t stop_ms);
enum fl_order_result target_state_handle_heartbeat (struct target_state *state,
                                                    int64_t now_ms,
                                                    const struct fl_heartbeat_order *order);

/* Ends @run of @task for @cause at once. @return whether it was running. */
bool target_state_end_run (struct target_state *state,
                           const struct fl_name *task,
                           int64_t run,
                           enum fl_end_cause cause);

/* Fills @report for the reply to a heartbeat; free its contents with target_state_clear_report. */
void target_state_get_report (const struct target_state *state,
                              int64_t now_ms,
                              struct fl_target_report *report);
void target_state_clear_report (struct fl_target_report *report);
