/* Ends that a target has not listed yet, since a report holds at most 500 of them. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "support_core.h"

#define ENDS_PER_REPORT 500

/* A run that has ended is neither listed as running nor among the first 500 ends. A successor took
 * it for absent and started its task again. */
static void
test_end_beyond_the_first_report (void **state)
{
  struct fixture *fixture = fixture_new_unreconciled (0, 200000);
  struct fl_name target = fl_name_of ("t1");
  struct fl_job_target row = { fl_job_target_hash (&target) };
  struct fl_job_progress progress = { .state = FL_JOB_RUNNING, .targets = { 1, &row } };
  struct fl_step_spec step = { .count = 1, .cpu_milli = 1000, .memory_mb = 1 };
  struct fl_end_row ends[ENDS_PER_REPORT + 1];

  (void)state;
  for (int i = 0; i <= ENDS_PER_REPORT; i++)
    ends[i] = (struct fl_end_row){ .number = i + 1,
                                   .task = fl_name_format ("00000000000000bb.0.0.%d", i),
                                   .run = 1,
                                   .cause = FL_END_DONE };
  ends[ENDS_PER_REPORT].task = fl_name_of ("00000000000000aa.0.0.0");
  fl_core_inherit_target (fixture->core, &target, &target);
  add_recorded_job (fixture, "00000000000000aa", "urgent", step, &progress);
  fl_core_set_jobs_known (fixture->core);
  add_entry (fixture, "t1", 4, false);
  deliver_report (
      fixture, "t1",
      (struct fl_target_report){ .booted_at_ms = 1, .ends = ends, .end_count = ENDS_PER_REPORT });
  tick_until_recorded (fixture, 10);
  deliver_report (fixture, "t1",
                  (struct fl_target_report){
                      .booted_at_ms = 1, .ends = ends + ENDS_PER_REPORT, .end_count = 1 });
  tick_until_recorded (fixture, 10);
  assert_int_equal (fixture->start_orders->len, 0);
  fixture_free (fixture);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_end_beyond_the_first_report) };

  return cmocka_run_group_tests_name ("many_ends", tests, NULL, NULL);
}
