/* Targets whose capacity shrinks and grows while they run: what was promised on the old capacity,
 * and what an owner may assume whose registry entries are old. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "core/core.h"
#include "support_core.h"

/* A target with four cores that has been known for some time. */
static struct fixture *
new_fixture (void)
{
  struct fixture *fixture = fixture_new (0);

  fl_core_set_registry_known (fixture->core);
  add_target (fixture, "t1", 4, false);
  fixture->now_ms += 100;
  deliver_report (fixture, "t1", (struct fl_target_report){ .booted_at_ms = 1 });
  return fixture;
}

static void
report_runs (struct fixture *fixture, struct fl_run_row *runs, size_t count)
{
  fixture->now_ms += 100;
  deliver_report (fixture, "t1",
                  (struct fl_target_report){ .booted_at_ms = 1, .runs = runs, .run_count = count });
}

/* A start that had waited for its record was ordered on a target that had shrunk meanwhile. */
static void
test_planned_start_on_a_shrunk_target (void **state)
{
  static const struct
  {
    const char *name;
    int64_t cores; /* when the record is stored */
    guint starts;
  } cases[] = { { "same", 4, 1 }, { "still enough", 2, 1 }, { "too little", 1, 0 } };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fixture *fixture = new_fixture ();
      add_job (fixture, "a", "urgent",
               (struct fl_step_spec){
                   .count = 1, .cpu_milli = 2000, .long_running = true, .disruptions_max = -1 });
      fl_core_tick (fixture->core, fixture->now_ms, fixture->now_ms);
      assert_int_equal (fixture->start_orders->len, 0);
      add_entry (fixture, "t1", cases[i].cores, false);
      store_records (fixture);
      report_runs (fixture, NULL, 0);
      tick_until_recorded (fixture, 0);
      if (fixture->start_orders->len != cases[i].starts)
        fail_msg ("%s: %u starts", cases[i].name, fixture->start_orders->len);
      fixture_free (fixture);
    }
}

/* A start without a reply was sent again to a target that had shrunk meanwhile. */
static void
test_repeated_start_on_a_shrunk_target (void **state)
{
  static const struct
  {
    const char *name;
    int64_t cores; /* when the limit of the first order is over */
    guint starts;
    guint stops;
  } cases[] = { { "same", 4, 2, 0 }, { "too little", 1, 1, 1 } };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fixture *fixture = new_fixture ();
      add_job (fixture, "a", "urgent",
               (struct fl_step_spec){ .count = 1, .cpu_milli = 2000, .disruptions_max = -1 });
      tick_until_recorded (fixture, 0);
      struct fl_start_order order = *get_start_order (fixture, 0);
      add_entry (fixture, "t1", cases[i].cores, false);
      fixture->now_ms += 200;
      fl_core_handle_start_reply (fixture->core, &order.task, order.run, FL_ORDER_NO_REPLY,
                                  fixture->now_ms);
      tick_until_recorded (fixture, 20);
      if (fixture->start_orders->len != cases[i].starts
          || fixture->stop_orders->len != cases[i].stops)
        fail_msg ("%s: %u starts, %u stops", cases[i].name, fixture->start_orders->len,
                  fixture->stop_orders->len);
      fixture_free (fixture);
    }
}

/* What runs on a target, or is being stopped there, counts against its present capacity, and goes
 * on running when it exceeds it. */
static void
test_capacity_below_what_runs (void **state)
{
  static const struct
  {
    const char *name;
    int64_t cores;
    bool is_stopping;
    guint starts; /* of a task of one core, beside three that run */
  } cases[] = {
    { "same", 4, false, 1 }, { "full", 3, false, 0 },          { "below", 2, false, 0 },
    { "none", 0, false, 0 }, { "full, stopping", 3, true, 0 }, { "below, stopping", 2, true, 0 },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fixture *fixture = new_fixture ();
      struct fl_run_row runs[3];
      struct fl_name job = fl_name_of ("a");
      add_job (fixture, "a", "urgent",
               (struct fl_step_spec){ .count = 3, .cpu_milli = 1000, .disruptions_max = -1 });
      tick_until_recorded (fixture, 0);
      assert_int_equal (fixture->start_orders->len, 3);
      for (guint j = 0; j < 3; j++)
        {
          confirm_start (fixture, j);
          runs[j] = (struct fl_run_row){ .task = get_start_order (fixture, j)->task,
                                         .run = get_start_order (fixture, j)->run };
        }
      report_runs (fixture, runs, 3);
      add_entry (fixture, "t1", cases[i].cores, false);
      if (cases[i].is_stopping)
        fl_core_cancel_job (fixture->core, &job);
      add_job (fixture, "b", "urgent",
               (struct fl_step_spec){ .count = 1, .cpu_milli = 1000, .disruptions_max = -1 });
      for (int j = 0; j < 5; j++)
        {
          report_runs (fixture, runs, 3);
          tick_until_recorded (fixture, 0);
        }
      if (fixture->start_orders->len != 3 + cases[i].starts
          || (fixture->stop_orders->len > 0) != cases[i].is_stopping)
        fail_msg ("%s: %u starts, %u stops", cases[i].name, fixture->start_orders->len - 3,
                  fixture->stop_orders->len);
      /* Once it has grown again, it gets the task. */
      add_entry (fixture, "t1", 8, false);
      report_runs (fixture, runs, 3);
      tick_until_recorded (fixture, 0);
      assert_int_equal (fixture->start_orders->len, 4);
      fixture_free (fixture);
    }
}

/* A target has less memory than what is charged to it, which does not concern a task that needs
 * none. Such a start was planned and, once it was recorded, cancelled, again and again. */
static void
test_shrunk_by_what_is_not_needed (void **state)
{
  static const struct
  {
    int64_t memory_mb;
    guint starts;
  } cases[] = { { 0, 1 }, { 1, 0 } };
  struct fl_target_entry entry = { .id = fl_name_of ("t1"),
                                   .service = fl_name_of ("s"),
                                   .address = fl_name_of ("t1"),
                                   .resources = { 4000, 500, 0 } };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fixture *fixture = new_fixture ();
      struct fl_run_row run;
      add_job (fixture, "a", "slow", (struct fl_step_spec){ .count = 1, .memory_mb = 1000 });
      tick_until_recorded (fixture, 0);
      confirm_start (fixture, 0);
      run = (struct fl_run_row){ .task = get_start_order (fixture, 0)->task,
                                 .run = get_start_order (fixture, 0)->run };
      fl_core_update_target (fixture->core, &entry);
      add_job (fixture, "b", "urgent",
               (struct fl_step_spec){ .count = 1,
                                      .cpu_milli = 1000,
                                      .memory_mb = cases[i].memory_mb,
                                      .long_running = true,
                                      .disruptions_max = -1 });
      for (int j = 0; j < 5; j++)
        {
          report_runs (fixture, &run, 1);
          fl_core_tick (fixture->core, fixture->now_ms, fixture->now_ms);
          store_records (fixture);
        }
      if (fixture->start_orders->len != 1 + cases[i].starts)
        fail_msg ("case %zu: %u starts", i, fixture->start_orders->len - 1);
      fixture_free (fixture);
    }
}

/* An owner that kept its lease, but heard no changes of the registry, filled targets by the
 * capacity that they had had before. */
static void
test_old_registry_entries (void **state)
{
  static const struct
  {
    const char *name;
    int64_t confirmed_ms_ago; /* -1 if it never is */
    guint starts;
  } cases[] = {
    { "never confirmed", -1, 1 },
    { "just confirmed", 10, 1 },
    { "one call later than usual", 2400, 1 },
    { "for three seconds", 3000, 0 },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fixture *fixture = new_fixture ();
      if (cases[i].confirmed_ms_ago >= 0)
        fl_core_confirm_registry (fixture->core, fixture->now_ms - cases[i].confirmed_ms_ago);
      add_job (fixture, "a", "urgent",
               (struct fl_step_spec){ .count = 1, .cpu_milli = 1000, .disruptions_max = -1 });
      tick_until_recorded (fixture, 0);
      if (fixture->start_orders->len != cases[i].starts)
        fail_msg ("%s: %u starts", cases[i].name, fixture->start_orders->len);
      if (cases[i].confirmed_ms_ago >= 0)
        fl_core_confirm_registry (fixture->core, fixture->now_ms);
      tick_until_recorded (fixture, 0);
      assert_int_equal (fixture->start_orders->len, 1);
      fixture_free (fixture);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_planned_start_on_a_shrunk_target),
    cmocka_unit_test (test_repeated_start_on_a_shrunk_target),
    cmocka_unit_test (test_capacity_below_what_runs),
    cmocka_unit_test (test_shrunk_by_what_is_not_needed),
    cmocka_unit_test (test_old_registry_entries),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
