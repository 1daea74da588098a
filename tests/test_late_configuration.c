/* A new owner that reads the configuration after the jobs and what their targets list. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "support_core.h"

#define JOB "00000000000000a1"
#define RUNS_MAX 4

struct failure_case
{
  const char *name;
  int64_t admitted_attempts; /* as of the row; 0 in one of an earlier version */
  int64_t recorded;          /* failed runs in the record of the earlier owner */
  int64_t listed; /* failed runs that the target lists before the configuration is read */
  bool has_queue; /* the configuration has the queue, with 2 attempts */
  bool fails;
  guint starts;
};

/* "urgent" is a queue of the fixture's configuration. */
static const struct failure_case cases[] = {
  { "one of two attempts", 0, 0, 1, true, false, 1 },
  { "one of two attempts, recorded", 0, 1, 0, true, false, 1 },
  { "two of two attempts", 0, 0, 2, true, true, 0 },
  { "two of two attempts, one recorded", 0, 1, 1, true, true, 0 },
  { "two of two attempts, recorded", 0, 2, 0, true, true, 0 },
  { "the limit was 1 at admission", 1, 0, 1, true, false, 1 },
  { "the limit was 3 at admission", 3, 0, 2, true, true, 0 },
  { "no queue, two of three attempts", 3, 0, 2, false, false, 1 },
  { "no queue, three of three attempts", 3, 1, 2, false, true, 0 },
  { "no queue, limit unknown", 0, 0, 1, false, false, 0 },
};

static void
add_failed_job (struct fixture *fixture, const struct failure_case *test)
{
  struct fl_step_spec step = { .count = 1, .cpu_milli = 1000, .disruptions_max = -1 };
  struct fl_queue queue = { .name = fl_name_of (test->has_queue ? "urgent" : "removed"),
                            .service = fl_name_of ("s"),
                            .attempts_max = test->admitted_attempts };
  struct fl_failed_run *runs = g_new0 (struct fl_failed_run, RUNS_MAX);
  struct fl_task_progress task = { .failed_runs = { (size_t)test->recorded, runs } };
  struct fl_job_progress progress = { .state = FL_JOB_RUNNING, .tasks = { 1, &task } };
  struct fl_job_spec spec = { .id = fl_name_of (JOB),
                              .queue = queue.name,
                              .team = fl_name_of ("w"),
                              .accepted_ms = fixture->now_ms,
                              .steps = { 1, g_memdup2 (&step, sizeof step) } };

  for (int64_t i = 0; i < test->recorded; i++)
    runs[i].run = i + 1;
  if (test->admitted_attempts > 0)
    fl_job_spec_set_queue (&spec, &queue);
  fl_core_add_job (fixture->core, &spec, 1, &progress);
  g_free (runs);
}

static void
list_failures (struct fixture *fixture, const struct failure_case *test)
{
  struct fl_end_row ends[RUNS_MAX];

  for (int64_t i = 0; i < test->listed; i++)
    ends[i] = (struct fl_end_row){ .number = i + 1,
                                   .task = fl_name_of (JOB ".0.0.0"),
                                   .run = test->recorded + i + 1,
                                   .cause = FL_END_FAILED };
  deliver_report (fixture, "t1",
                  (struct fl_target_report){
                      .booted_at_ms = 1, .ends = ends, .end_count = (size_t)test->listed });
}

/* Stores the records of @fixture. @return whether one says that the job has failed. */
static bool
record_failure (struct fixture *fixture)
{
  struct fl_core_record records[4];
  size_t count = fl_core_collect_records (fixture->core, records, G_N_ELEMENTS (records));
  bool has_failed = false;

  for (size_t i = 0; i < count; i++)
    {
      struct fl_job_progress progress;
      assert_true (fl_job_progress_decode (records[i].progress.data, records[i].progress.len,
                                           &progress, NULL));
      has_failed = has_failed || progress.state == FL_JOB_FAILED;
      fl_job_progress_clear (&progress);
      fl_str_clear (&records[i].progress);
    }
  if (count > 0)
    fl_core_finish_records (fixture->core, true, fixture->now_ms);
  return has_failed;
}

/* The first reading of the configuration was late: jobs were ended as failed after one failed run.
 */
static void
test_failures_before_limit_is_known (void **state)
{
  struct fixture_options options = { .is_unconfigured = true };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fixture *fixture = fixture_new_with (&options);
      add_failed_job (fixture, &cases[i]);
      fl_core_set_jobs_known (fixture->core);
      add_target (fixture, "t1", 4, false);
      list_failures (fixture, &cases[i]);
      fixture->now_ms += 10;
      fl_core_tick (fixture->core, fixture->now_ms, fixture->now_ms);
      if (record_failure (fixture))
        fail_msg ("%s: ended before the configuration is read", cases[i].name);
      configure_core (fixture, 0);
      if (record_failure (fixture) != cases[i].fails)
        fail_msg ("%s: %s", cases[i].name, cases[i].fails ? "not ended" : "ended");
      tick_until_recorded (fixture, 10);
      if (fixture->start_orders->len != cases[i].starts)
        fail_msg ("%s: %u starts", cases[i].name, fixture->start_orders->len);
      fixture_free (fixture);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_failures_before_limit_is_known),
  };

  return cmocka_run_group_tests_name ("late_configuration", tests, NULL, NULL);
}
