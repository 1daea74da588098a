/* Connections to a target that are refused: the path to it may refuse them while its tasks run on.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "core/core.h"
#include "support_core.h"

static const struct fl_step_spec one_task
    = { .count = 1, .cpu_milli = 1000, .disruptions_max = -1 };

/* What the target is heard of after the refusals. */
enum afterwards
{
  SAME_BOOT,
  NEXT_BOOT,
  OTHER_ID, /* another boot replies at its address */
  NOTHING,
};

static void
refuse (struct fixture *fixture, const char *target, int count)
{
  for (int i = 0; i < count; i++)
    {
      deliver_result (fixture, target, FL_ORDER_NO_LISTENER);
      tick_until_recorded (fixture, 20);
    }
}

/* t1 runs the task of job "a", t2 has room for it. */
static struct fixture *
start_on_t1 (struct fl_run_row *run)
{
  struct fixture *fixture = fixture_new (0);

  fl_core_set_registry_known (fixture->core);
  add_target (fixture, "t1", 1, false);
  add_job (fixture, "a", "urgent", one_task);
  tick_until_recorded (fixture, 0);
  confirm_start (fixture, 0);
  *run = (struct fl_run_row){ .task = get_start_order (fixture, 0)->task, .run = 1 };
  fixture->now_ms += 400;
  deliver_report (fixture, "t1",
                  (struct fl_target_report){ .booted_at_ms = 1, .runs = run, .run_count = 1 });
  add_target (fixture, "t2", 4, false);
  return fixture;
}

static void
deliver_what_follows (struct fixture *fixture, enum afterwards afterwards, struct fl_run_row *run)
{
  if (afterwards == SAME_BOOT)
    deliver_report (fixture, "t1",
                    (struct fl_target_report){ .booted_at_ms = 1, .runs = run, .run_count = 1 });
  /* The second report shows that the boot rejects starts that were sent to the one before. */
  for (int i = 0; afterwards == NEXT_BOOT && i < 2; i++)
    {
      fixture->now_ms += 10;
      deliver_report (fixture, "t1", (struct fl_target_report){ .booted_at_ms = 2 });
    }
  if (afterwards == OTHER_ID)
    deliver_result (fixture, "t1", FL_ORDER_OTHER_BOOT);
  tick_until_recorded (fixture, 10);
}

/* A task ran a second time while its target, which refused two connections, ran it on. */
static void
test_task_behind_refused_connections_runs_once (void **state)
{
  static const struct
  {
    const char *name;
    bool is_unlisted; /* its registry entry has lapsed */
    enum afterwards afterwards;
    guint starts; /* after that */
    guint starts_after_lease;
  } cases[] = {
    { "it answers again", false, SAME_BOOT, 1, 1 },
    { "it answers again, entry lapsed", true, SAME_BOOT, 1, 1 },
    { "it has restarted", false, NEXT_BOOT, 2, 2 },
    { "another one has its address", false, OTHER_ID, 2, 2 },
    { "nothing is heard", false, NOTHING, 1, 2 },
    { "nothing is heard, entry lapsed", true, NOTHING, 1, 2 },
  };
  int failed = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fl_run_row run;
      struct fixture *fixture = start_on_t1 (&run);
      struct fl_name target = fl_name_of ("t1");
      int64_t refused_ms = fixture->now_ms;
      if (cases[i].is_unlisted)
        fl_core_remove_target (fixture->core, &target);
      refuse (fixture, "t1", 10);
      guint refused = fixture->start_orders->len;
      deliver_what_follows (fixture, cases[i].afterwards, &run);
      guint starts = fixture->start_orders->len;
      /* Leases are taken to last 4 % longer, and 50 ms. */
      while (fixture->now_ms < refused_ms + TARGET_LEASE_MS * 104 / 100 + 100)
        {
          struct fl_heartbeat_order heartbeat;
          fl_core_prepare_heartbeat (fixture->core, &target, fixture->now_ms, &heartbeat);
          fixture->now_ms += 100;
          deliver_what_follows (fixture, cases[i].afterwards == SAME_BOOT ? SAME_BOOT : NOTHING,
                                &run);
        }
      if (refused != 1 || starts != cases[i].starts
          || fixture->start_orders->len != cases[i].starts_after_lease
          || fl_stats_get (fixture->stats, "runs_lost_alive_total") != 0)
        {
          printf ("%s: %u, %u and %u starts\n", cases[i].name, refused, starts,
                  fixture->start_orders->len);
          failed++;
        }
      fixture_free (fixture);
    }
  assert_int_equal (failed, 0);
}

/* A start whose first order had no reply may be in effect, or take effect later, though connections
 * are refused then: that of the second order, or those after both. */
static void
test_repeated_start_behind_refused_connections_runs_once (void **state)
{
  static const struct
  {
    const char *name;
    enum fl_order_result result; /* of the second order */
    bool is_unlisted;            /* its registry entry has lapsed */
  } cases[] = {
    { "second order refused", FL_ORDER_NO_LISTENER, false },
    { "second order refused, entry lapsed", FL_ORDER_NO_LISTENER, true },
    { "listed after the second order", FL_ORDER_DONE, false },
    { "listed after the second order, entry lapsed", FL_ORDER_DONE, true },
  };
  int failed = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fixture *fixture = fixture_new (0);
      struct fl_name target = fl_name_of ("t1");
      fl_core_set_registry_known (fixture->core);
      add_target (fixture, "t1", 1, false);
      add_job (fixture, "a", "urgent", one_task);
      tick_until_recorded (fixture, 0);
      struct fl_name task = get_start_order (fixture, 0)->task;
      struct fl_run_row run = { .task = task, .run = 1 };
      fl_core_handle_start_reply (fixture->core, &task, 1, FL_ORDER_NO_REPLY, fixture->now_ms);
      tick_until_recorded (fixture, 10);
      assert_int_equal (fixture->start_orders->len, 2);
      assert_int_equal (get_start_order (fixture, 1)->run, 1);
      int64_t ordered_ms = fixture->now_ms;
      fl_core_handle_start_reply (fixture->core, &task, 1, cases[i].result, fixture->now_ms);
      fixture->now_ms += 10;
      if (cases[i].result == FL_ORDER_DONE)
        deliver_report (
            fixture, "t1",
            (struct fl_target_report){ .booted_at_ms = 1, .runs = &run, .run_count = 1 });
      add_target (fixture, "t2", 4, false);
      if (cases[i].is_unlisted)
        fl_core_remove_target (fixture->core, &target);
      refuse (fixture, "t1", 10);
      /* The deadline of a start is at least 1500 ms ahead. */
      tick_until_recorded (fixture, ordered_ms + 1500 - fixture->now_ms);
      guint starts = fixture->start_orders->len;
      while (fixture->now_ms < ordered_ms + 6000 * 104 / 100 + 100)
        {
          deliver_report (fixture, "t2", (struct fl_target_report){ .booted_at_ms = 1 });
          refuse (fixture, "t1", 1);
        }
      if (starts != 2 || fixture->start_orders->len != 3 || get_start_order (fixture, 2)->run <= 1)
        {
          printf ("%s: %u and %u starts\n", cases[i].name, starts, fixture->start_orders->len);
          failed++;
        }
      fixture_free (fixture);
    }
  assert_int_equal (failed, 0);
}

/* A new owner started the tasks of targets that refused connections, and whose entries had lapsed
 * with the store, before their leases had expired. */
static void
test_new_owner_waits_for_targets_that_refuse (void **state)
{
  struct fixture *fixture = fixture_new_unreconciled (0, 100000 + 6000);
  struct fl_name target = fl_name_of ("t1");
  struct fl_job_progress progress = { .state = FL_JOB_RUNNING, .any_target = true };

  (void)state;
  fl_core_inherit_target (fixture->core, &target, &target);
  fl_core_set_registry_known (fixture->core);
  add_recorded_job (fixture, "a", "urgent", one_task, &progress);
  fl_core_set_jobs_known (fixture->core);
  add_target (fixture, "t2", 4, false);
  for (int i = 0; i < 10; i++)
    {
      deliver_report (fixture, "t2", (struct fl_target_report){ .booted_at_ms = 1 });
      refuse (fixture, "t1", 1);
    }
  assert_int_equal (fixture->start_orders->len, 0);
  fixture->now_ms = 100000 + 6000;
  deliver_report (fixture, "t2", (struct fl_target_report){ .booted_at_ms = 1 });
  tick_until_recorded (fixture, 10);
  assert_int_equal (fixture->start_orders->len, 1);
  fixture_free (fixture);
}

/* Tasks were counted as the cause of crashes that were none, and their jobs given up. */
static void
test_refused_connections_are_no_crash (void **state)
{
  struct fl_run_row run;
  struct fixture *fixture = start_on_t1 (&run);

  (void)state;
  for (int i = 0; i < 5; i++)
    {
      refuse (fixture, "t1", 10);
      deliver_what_follows (fixture, SAME_BOOT, &run);
    }
  assert_int_equal (fl_stats_get (fixture->stats, "target_crashes_total"), 0);
  assert_int_equal (fl_stats_get (fixture->stats, "tasks_crashing_targets_total"), 0);
  assert_int_equal (fixture->start_orders->len, 1);
  fixture_free (fixture);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_task_behind_refused_connections_runs_once),
          cmocka_unit_test (test_repeated_start_behind_refused_connections_runs_once),
          cmocka_unit_test (test_new_owner_waits_for_targets_that_refuse),
          cmocka_unit_test (test_refused_connections_are_no_crash) };

  return cmocka_run_group_tests_name ("refused connections", tests, NULL, NULL);
}
