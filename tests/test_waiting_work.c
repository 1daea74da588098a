/* How long accepted work waits for its turn. A core on a virtual clock, with one host that queries
 * the advice service; tasks end as soon as they have started. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "support_core.h"

#define TICK_MS 10

static int
count_lines (const struct fl_log_state *state, const char *text)
{
  g_autofree char *lines = g_strndup (state->buffer, state->buffered_bytes);
  int count = 0;

  for (const char *at = strstr (lines, text); at != NULL; at = strstr (at + 1, text))
    count++;
  return count;
}

static void
tick_for (struct fixture *fixture, int64_t duration_ms)
{
  for (int64_t end_ms = fixture->now_ms + duration_ms; fixture->now_ms < end_ms;)
    tick_until_recorded (fixture, TICK_MS);
}

/* A step waited for 61 s, and nothing told of it before its wait ended, which it did not. */
static void
test_longest_wait_is_told_while_it_lasts (void **state)
{
  g_autofree struct fl_log_state *log_state = g_new0 (struct fl_log_state, 1);
  struct fixture *fixture = fixture_new (0);
  struct fl_step_spec step = { .count = 1, .cpu_milli = 1000, .estimate_ms = 600 };
  struct fl_step_spec large = { .count = 1, .cpu_milli = 64000, .estimate_ms = 600 };

  (void)state;
  log_state->is_buffered = true;
  fixture->log = (struct fl_log){ .level = FL_LOG_NOTICE, .program = "test", .state = log_state };
  fixture->queries_max = 1;
  add_target (fixture, "t1", 2, false);
  add_job (fixture, "a", "slow-advised", step);
  tick_for (fixture, 500);
  add_job (fixture, "b", "slow-advised", step);
  add_job (fixture, "c", "slow", large);
  tick_for (fixture, 2400);
  assert_int_equal (count_lines (log_state, "event=step_waiting"), 0);
  tick_for (fixture, 2600);
  assert_int_equal (count_lines (log_state, "event=step_waiting step=a.0.0 for=advice"), 3);
  assert_int_equal (count_lines (log_state, "queries=1 unanswered=0 query_in_flight=1"), 3);
  assert_int_equal (count_lines (log_state, "queue=slow-advised team=w steps=3"), 2);
  assert_in_range (fl_stats_get (fixture->stats, "steps_waiting_ms{for=\"advice\"}"), 5300, 5500);
  assert_in_range (fl_stats_get (fixture->stats, "steps_waiting_ms{for=\"room\"}"), 4800, 5000);
  for (const char *id = "a\0b\0c\0"; *id != '\0'; id += 2)
    {
      struct fl_name name = fl_name_of (id);
      fl_core_cancel_job (fixture->core, &name);
    }
  tick_for (fixture, 200);
  assert_int_equal (fl_stats_get (fixture->stats, "steps_waiting_ms{for=\"advice\"}"), 0);
  assert_int_equal (fl_stats_get (fixture->stats, "steps_waiting_ms{for=\"room\"}"), 0);
  fixture_free (fixture);
}

/* Adds a job of two steps, one after the other, without a record. */
static void
add_chain (struct fixture *fixture, const char *id)
{
  static const struct fl_step_dependency after_first = { .step = 0 };
  struct fl_step_spec steps[] = { { .count = 1, .cpu_milli = 1000, .estimate_ms = 600 },
                                  { .count = 1, .cpu_milli = 1000, .estimate_ms = 600 } };
  struct fl_job_spec spec = { .id = fl_name_of (id),
                              .queue = fl_name_of ("slow"),
                              .team = fl_name_of ("w"),
                              .accepted_ms = fixture->now_ms,
                              .text = fl_str_of ("x"),
                              .steps = { G_N_ELEMENTS (steps), NULL } };

  steps[1].after = (struct fl_array){ 1, g_memdup2 (&after_first, sizeof after_first) };
  spec.steps.items = g_memdup2 (steps, sizeof steps);
  fl_core_add_job (fixture->core, &spec, fixture->now_ms, NULL);
}

/* A step of which the run was adopted after a change of owner, and has ended since, was told as
 * waiting for targets to report for as long as a later step of its job waited. */
static void
test_adopted_runs_end_the_wait (void **state)
{
  struct fixture *fixture = fixture_new_unreconciled (0, 107680);
  struct fl_name target = fl_name_of ("t1");
  struct fl_run_row run = { .task = fl_name_of ("a.0.0.0"), .run = 1 };
  struct fl_end_row end = { .number = 1, .task = run.task, .run = 1, .cause = FL_END_DONE };
  struct fl_target_report report = { .booted_at_ms = 1, .runs = &run, .run_count = 1 };

  (void)state;
  fl_core_inherit_target (fixture->core, &target, &target);
  fl_core_set_jobs_known (fixture->core);
  add_entry (fixture, "t1", 2, false);
  add_chain (fixture, "a");
  tick_for (fixture, 1000);
  assert_in_range (fl_stats_get (fixture->stats, "steps_waiting_ms{for=\"settling\"}"), 800, 1000);
  deliver_report (fixture, "t1", report);
  tick_for (fixture, 200);
  report = (struct fl_target_report){ .booted_at_ms = 1, .ends = &end, .end_count = 1 };
  deliver_report (fixture, "t1", report);
  add_entry (fixture, "t1", 0, true);
  tick_for (fixture, 500);
  assert_in_range (fl_stats_get (fixture->stats, "steps_waiting_ms{for=\"room\"}"), 400, 500);
  assert_int_equal (fl_stats_get (fixture->stats, "steps_waiting_ms{for=\"settling\"}"), 0);
  fixture_free (fixture);
}

int
main (void)
{
  static const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_longest_wait_is_told_while_it_lasts),
    cmocka_unit_test (test_adopted_runs_end_the_wait),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
