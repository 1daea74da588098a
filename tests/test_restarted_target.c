/* How long a run may last that a restarted target has started by an order for its previous boot. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "support_core.h"

/* A target that has restarted under its id grants the longest lease, since the deadline of the
 * order is by the clock of the boot before. The owner counted its own, shorter one once the run was
 * listed, and started the task again while it ran. */
static void
test_order_for_the_previous_boot (void **state)
{
  static const struct
  {
    const char *name;
    int64_t booted_at_ms; /* of the report that lists the run; 1 when the order was sent */
    int64_t may_last_ms;  /* the run, after its start order */
  } cases[] = {
    { "the same boot", 1, 1500 },
    { "a boot after the last report", 2, 6000 },
  };
  int failures = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fixture *fixture = fixture_new (0);
      struct fl_step_spec step = { .count = 1, .cpu_milli = 1000, .memory_mb = 1 };
      add_target (fixture, "t1", 4, false);
      add_job (fixture, "00000000000000aa", "urgent", step);
      tick_until_recorded (fixture, 10);
      assert_int_equal (fixture->start_orders->len, 1);
      int64_t ordered_ms = fixture->now_ms;
      struct fl_run_row run = { .task = get_start_order (fixture, 0)->task, .run = 1 };
      fixture->now_ms += 5;
      confirm_start (fixture, 0);
      fixture->now_ms += 5;
      deliver_report (fixture, "t1",
                      (struct fl_target_report){
                          .booted_at_ms = cases[i].booted_at_ms, .runs = &run, .run_count = 1 });
      while (fixture->now_ms < ordered_ms + cases[i].may_last_ms)
        {
          tick_until_recorded (fixture, 10);
          if (fixture->start_orders->len == 1)
            continue;
          print_error ("%s: started again after %d ms\n", cases[i].name,
                       (int)(fixture->now_ms - ordered_ms));
          failures++;
          break;
        }
      fixture_free (fixture);
    }
  assert_int_equal (failures, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_order_for_the_previous_boot) };

  return cmocka_run_group_tests_name ("restarted_target", tests, NULL, NULL);
}
