/* Runs on slow targets that are worth starting again elsewhere.
 *
 * Load pattern: some targets become several times slower while steps of ten and more tasks run on
 * them. The other tasks of these steps end in time, and their jobs wait for the last. Where all
 * targets are slow, or an estimate is wrong, moving runs would add to the load: the moves are
 * bounded.
 *
 * Pure: no I/O, no clock. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

struct fl_straggler
{
  int64_t elapsed_ms;       /* since its start */
  int64_t progress_percent; /* of its work */
  double least_slowness;    /* of its target */
  bool has_checkpoint;      /* when it is stopped, so that a new run continues its work */
  int64_t restart_ms;       /* from the stop order to the start elsewhere */
  int64_t due_ms;           /* time that its job leaves it */
  int64_t step_tasks;       /* tasks of its step */
  int64_t step_moves;       /* runs of its step that were moved */
  bool was_moved;           /* an earlier run of its task was */
};

/* Whether the run is to be stopped, so that a new run of its task is started on another target. */
bool fl_straggler_should_move (const struct fl_straggler *run);

/* Moves that are left to all runs: a share of the runs that ended. All members zero: none yet. */
struct fl_move_budget
{
  double moves;
};

void fl_move_budget_add_run (struct fl_move_budget *budget);

/* @return whether one more run may be moved, which is then charged. */
bool fl_move_budget_take (struct fl_move_budget *budget);
