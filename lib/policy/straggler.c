#include "policy/straggler.h"

#include <glib.h>

/* A move has to save a third of the time that is left: the estimates are rough. */
#define GAIN_MIN 1.5
/* Most runs of a step that are moved: one in this many, rounded up. */
#define STEP_TASKS_PER_MOVE 4
/* Moves for each run that ended, and most moves at once. */
#define MOVES_PER_RUN 0.05
#define MOVES_MAX 10.0

bool
fl_straggler_should_move (const struct fl_straggler *run)
{
  double percent = (double)run->progress_percent;

  if (run->was_moved || run->step_moves * STEP_TASKS_PER_MOVE >= run->step_tasks
      || run->elapsed_ms <= 0 || percent >= 100.0)
    return false;
  /* The next percent is not reached yet. */
  double run_ms = (double)run->elapsed_ms * 100.0 / (percent + 1.0);
  double left_ms = run_ms * (100.0 - percent) / 100.0;
  double elsewhere_ms = (run->has_checkpoint ? left_ms : run_ms) / run->least_slowness;

  return left_ms > (double)run->due_ms
         && left_ms > GAIN_MIN * ((double)run->restart_ms + elsewhere_ms);
}

void
fl_move_budget_add_run (struct fl_move_budget *budget)
{
  budget->moves = MIN (budget->moves + MOVES_PER_RUN, MOVES_MAX);
}

bool
fl_move_budget_take (struct fl_move_budget *budget)
{
  if (budget->moves < 1.0)
    return false;
  budget->moves -= 1.0;
  return true;
}
