/* A run that disappears from its target without an end, as when the target restarts under its id.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "support_core.h"

/* Longer than any lease of a target. */
#define WATCHED_MS 20000
#define HEARTBEAT_MS 300

/* A run whose start got no reply, and which its target listed later, was never taken for absent:
 * its task stayed without a run while the target, which had restarted, went on to reply. */
static void
test_absent_run_is_started_again (void **state)
{
  static const struct
  {
    const char *name;
    enum fl_order_result result; /* of the start order */
    bool is_long_running;
  } cases[] = {
    { "start confirmed", FL_ORDER_DONE, false },
    { "start without a reply", FL_ORDER_NO_REPLY, false },
    { "start of a long-running task without a reply", FL_ORDER_NO_REPLY, true },
  };
  int failures = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fixture *fixture = fixture_new (0);
      struct fl_step_spec step = {
        .count = 1, .cpu_milli = 1000, .memory_mb = 1, .long_running = cases[i].is_long_running
      };
      add_target (fixture, "t1", 4, false);
      add_job (fixture, "00000000000000aa", "urgent", step);
      tick_until_recorded (fixture, 10);
      tick_until_recorded (fixture, 10);
      assert_int_equal (fixture->start_orders->len, 1);
      struct fl_run_row run = { .task = get_start_order (fixture, 0)->task, .run = 1 };
      fixture->now_ms += 5;
      fl_core_handle_start_reply (fixture->core, &run.task, 1, cases[i].result, fixture->now_ms);
      fixture->now_ms += 5;
      deliver_report (fixture, "t1",
                      (struct fl_target_report){ .booted_at_ms = 1, .runs = &run, .run_count = 1 });
      int64_t listed_ms = fixture->now_ms;
      while (fixture->start_orders->len == 1 && fixture->now_ms < listed_ms + WATCHED_MS)
        {
          struct fl_name target = fl_name_of ("t1");
          struct fl_heartbeat_order order;
          tick_until_recorded (fixture, HEARTBEAT_MS);
          fl_core_prepare_heartbeat (fixture->core, &target, fixture->now_ms, &order);
          fixture->now_ms += 5;
          deliver_report (fixture, "t1", (struct fl_target_report){ .booted_at_ms = 2 });
          tick_until_recorded (fixture, 10);
        }
      if (fixture->start_orders->len == 1)
        {
          print_error ("%s: not started again within %d ms\n", cases[i].name, WATCHED_MS);
          failures++;
        }
      fixture_free (fixture);
    }
  assert_int_equal (failures, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_absent_run_is_started_again) };

  return cmocka_run_group_tests_name ("absent_run", tests, NULL, NULL);
}
