/* The record of a job that would be longer than a row of the store. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "support_core.h"

#define TASKS 2000
#define RECORD_BYTES_MAX 4096
#define FAILED_RUNS 1

/* What an earlier owner recorded of a job, and what the next record still tells of it. */
static const struct
{
  const char *name;
  int64_t checkpoints; /* tasks with one */
  int64_t checkpoint_bytes;
  int64_t failed; /* tasks with failed runs */
  int64_t targets;
  int64_t done; /* every other task, so many */
  /* expected: */
  int64_t least_checkpoints;
  bool keeps_failed;
  bool keeps_targets;
  bool keeps_done;
} cases[] = {
  { "fits", 10, 100, 10, 10, 10, 10, true, true, true },
  { "many checkpoints", TASKS, 16, 0, 10, 10, 50, true, true, true },
  { "long checkpoints", 10, 2000, 0, 10, 10, 1, true, true, true },
  { "checkpoints of tasks with failed runs", 100, 200, 100, 10, 10, 0, true, true, true },
  { "many targets", 100, 16, 10, 2000, 10, 0, true, false, true },
  { "many failed runs", 100, 16, TASKS, 10, 10, 0, false, false, true },
  { "many ranges of tasks that are done", 100, 16, 10, 10, TASKS / 2, 0, false, false, false },
};

struct recorded
{
  struct fl_failed_run runs[FAILED_RUNS];
  struct fl_task_progress tasks[TASKS];
  struct fl_done_range done[TASKS];
  struct fl_job_target targets[TASKS];
  char checkpoint[2001];
};

/* Fills @recorded as the case says; the last tasks are done, since they are not started here. */
static struct fl_job_progress
make_progress (struct recorded *recorded, size_t c)
{
  int64_t rows = MAX (cases[c].checkpoints, cases[c].failed);

  memset (recorded->checkpoint, 'c', sizeof recorded->checkpoint);
  recorded->checkpoint[cases[c].checkpoint_bytes] = '\0';
  for (int64_t i = 0; i < FAILED_RUNS; i++)
    recorded->runs[i].run = i + 1;
  for (int64_t i = 0; i < rows; i++)
    {
      struct fl_task_progress *task = &recorded->tasks[i];
      *task = (struct fl_task_progress){ .index = i };
      if (i < cases[c].checkpoints)
        task->checkpoint = fl_str_of (recorded->checkpoint);
      if (i < cases[c].failed)
        task->failed_runs = (struct fl_array){ FAILED_RUNS, recorded->runs };
    }
  for (int64_t i = 0; i < cases[c].targets; i++)
    recorded->targets[i].hash = i + 1;
  for (int64_t i = 0; i < cases[c].done; i++)
    recorded->done[i] = (struct fl_done_range){ .first = TASKS - 1 - 2 * i, .count = 1 };
  return (struct fl_job_progress){
    .state = FL_JOB_RUNNING,
    .done = { (size_t)cases[c].done, recorded->done },
    .tasks = { (size_t)rows, recorded->tasks },
    .targets = { (size_t)cases[c].targets, recorded->targets },
  };
}

static int64_t
count_rows (const struct fl_job_progress *progress, bool with_failed_runs)
{
  const struct fl_task_progress *tasks = progress->tasks.items;
  int64_t count = 0;

  for (size_t i = 0; i < progress->tasks.count; i++)
    count += (with_failed_runs ? tasks[i].failed_runs.count : tasks[i].checkpoint.len) > 0 ? 1 : 0;
  return count;
}

static bool
is_as_expected (size_t c, const struct fl_str *record)
{
  struct fl_job_progress progress;
  struct fl_error error = { 0 };
  bool result;

  if (record->len > RECORD_BYTES_MAX
      || !fl_job_progress_decode (record->data, record->len, &progress, &error))
    return false;
  result = count_rows (&progress, false) >= cases[c].least_checkpoints
           && (count_rows (&progress, true) >= MIN (cases[c].failed, TASKS / 2))
                  == (cases[c].keeps_failed || cases[c].failed == 0)
           && (int64_t)progress.targets.count >= (cases[c].keeps_targets ? cases[c].targets : 0)
           && progress.any_target == !cases[c].keeps_targets && progress.done.count > 0
           && ((int64_t)progress.done.count >= cases[c].done) == cases[c].keeps_done;
  fl_job_progress_clear (&progress);
  return result;
}

/* The store rejected a transaction with a record of 72 KB, again and again, and no task of any job
 * was started meanwhile. */
static void
test_long_record_is_cut (void **state)
{
  g_autofree struct recorded *recorded = g_new0 (struct recorded, 1);
  struct fixture_options options = { .record_bytes_max = RECORD_BYTES_MAX };
  int failures = 0;

  (void)state;
  for (size_t c = 0; c < G_N_ELEMENTS (cases); c++)
    {
      struct fixture *fixture = fixture_new_with (&options);
      struct fl_job_progress progress = make_progress (recorded, c);
      struct fl_step_spec step = { .count = TASKS, .cpu_milli = 1000, .checkpoints = true };
      struct fl_core_record records[2];
      fl_core_set_jobs_known (fixture->core);
      add_target (fixture, "t1", 1, false);
      add_recorded_job (fixture, "a", "slow", step, &progress);
      fl_core_tick (fixture->core, fixture->now_ms, fixture->now_ms);
      assert_int_equal (fl_core_collect_records (fixture->core, records, 2), 1);
      if (!is_as_expected (c, &records[0].progress))
        {
          print_error ("%s: %zu bytes\n", cases[c].name, records[0].progress.len);
          failures++;
        }
      fl_str_clear (&records[0].progress);
      fl_core_finish_records (fixture->core, true, fixture->now_ms);
      tick_until_recorded (fixture, 10);
      assert_int_equal (fixture->start_orders->len, 1);
      fixture_free (fixture);
    }
  assert_int_equal (failures, 0);
}

int
main (void)
{
  static const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_long_record_is_cut),
  };

  return cmocka_run_group_tests_name ("record_size", tests, NULL, NULL);
}
