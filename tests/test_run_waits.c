/* Scenarios for lib/core: for each state of a run, the replies that would end it never come. Its
 * task has to be started elsewhere within a bound, and not before the run has certainly ended. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "support_core.h"

#define STEP_MS 100
/* A clock that is 2 % slow lets a lease last longer. */
#define SLOW_CLOCK_PERCENT 102

enum run_origin
{
  RUN_UNCONFIRMED, /* no start order has a reply, and none takes effect */
  RUN_CONFIRMED,
  RUN_LISTED,
  RUN_ADOPTED, /* started by an earlier owner */
};

enum target_fate
{
  TARGET_REPORTS, /* lists neither the run nor its end, but orders to it have no reply */
  TARGET_SILENT,
  TARGET_LEFT, /* silent, and its entry is removed */
};

struct wait_case
{
  const char *name;
  enum run_origin origin;
  bool drains; /* the run is evacuated */
  enum target_fate fate;
  int64_t latest_ms; /* bound on the wait, from the last report that could list the run */
};

static const struct wait_case cases[] = {
  { "start without a reply", RUN_UNCONFIRMED, false, TARGET_REPORTS, 4000 },
  { "start without a reply, silent", RUN_UNCONFIRMED, false, TARGET_SILENT, 6500 },
  { "start without a reply, left", RUN_UNCONFIRMED, false, TARGET_LEFT, 6500 },
  { "confirmed run, silent", RUN_CONFIRMED, false, TARGET_SILENT, 6500 },
  { "confirmed run, left", RUN_CONFIRMED, false, TARGET_LEFT, 6500 },
  { "stop of a listed run without a reply", RUN_LISTED, true, TARGET_REPORTS, 4000 },
  { "stop of a listed run, left", RUN_LISTED, true, TARGET_LEFT, 6500 },
  { "stop of an adopted run without a reply", RUN_ADOPTED, true, TARGET_REPORTS, 4000 },
  { "stop of an adopted run, left", RUN_ADOPTED, true, TARGET_LEFT, 6500 },
};

static struct fl_target_report
list_run (struct fl_run_row *row)
{
  return (struct fl_target_report){ .booted_at_ms = 1, .runs = row, .run_count = 1 };
}

/* Answers none of the orders since @starts and @stops. */
static void
let_orders_lapse (struct fixture *fixture, guint *starts, guint *stops)
{
  for (; *starts < fixture->start_orders->len; (*starts)++)
    {
      const struct fl_start_order *order = get_start_order (fixture, *starts);
      fl_core_handle_start_reply (fixture->core, &order->task, order->run, FL_ORDER_NO_REPLY,
                                  fixture->now_ms);
    }
  for (; *stops < fixture->stop_orders->len; (*stops)++)
    {
      const struct fl_run_order *order
          = &g_array_index (fixture->stop_orders, struct fl_run_order, *stops);
      fl_core_handle_stop_reply (fixture->core, &order->task, order->run, FL_ORDER_NO_REPLY,
                                 fixture->now_ms);
    }
}

/* @return when @fixture has ordered another run of the task, which is now, or 0. */
static int64_t
find_restart_ms (const struct fixture *fixture)
{
  for (guint i = 0; i < fixture->start_orders->len; i++)
    if (get_start_order (fixture, i)->run > 1)
      return fixture->now_ms;
  return 0;
}

/* Sends a heartbeat to "t1" and lets it reply as @fate says.
 * @return when the lease that it gave ends on the slowest clock, or 0. */
static int64_t
exchange_heartbeat (struct fixture *fixture, enum target_fate fate)
{
  struct fl_name id = fl_name_of ("t1");
  struct fl_heartbeat_order order = { 0 };
  int64_t lease_ms = 0;

  if (fl_core_prepare_heartbeat (fixture->core, &id, fixture->now_ms, &order)
      && order.deadline_ms > 0)
    lease_ms = fixture->now_ms + (order.deadline_ms - fixture->now_ms) * SLOW_CLOCK_PERCENT / 100;
  if (fate == TARGET_REPORTS)
    deliver_report (fixture, "t1", (struct fl_target_report){ .booted_at_ms = 1 });
  else
    deliver_result (fixture, "t1", FL_ORDER_NO_REPLY);
  return lease_ms;
}

static void
begin_run (struct fixture *fixture, const struct wait_case *test)
{
  struct fl_run_row row = { .task = fl_name_of ("a.0.0.0"), .run = 1 };

  add_target (fixture, "t1", 4, false);
  add_job (fixture, "a", "urgent",
           (struct fl_step_spec){ .count = 1, .cpu_milli = 1000, .long_running = test->drains });
  if (test->origin == RUN_ADOPTED)
    deliver_report (fixture, "t1", list_run (&row));
  tick_until_recorded (fixture, 0);
  assert_int_equal (fixture->start_orders->len, test->origin == RUN_ADOPTED ? 0 : 1);
  if (test->origin == RUN_CONFIRMED || test->origin == RUN_LISTED)
    confirm_start (fixture, 0);
  fixture->now_ms += STEP_MS;
  if (test->origin == RUN_LISTED)
    deliver_report (fixture, "t1", list_run (&row));
  add_target (fixture, "t2", 4, false);
  if (test->drains)
    add_entry (fixture, "t1", 4, true);
}

/* @return what is wrong with a restart at @restart_ms of a run that was begun at @begun_ms and
 * whose lease ends at @lease_end_ms, or NULL. */
static const char *
find_fault (const struct fixture *fixture,
            const struct wait_case *test,
            int64_t restart_ms,
            int64_t begun_ms,
            int64_t lease_end_ms)
{
  if (restart_ms == 0)
    return "the task waits for ever";
  if (restart_ms - begun_ms > test->latest_ms)
    return "the task waits too long";
  if (test->fate != TARGET_REPORTS && restart_ms < lease_end_ms)
    return "restarted before the lease has ended";
  for (guint i = 0; test->origin == RUN_UNCONFIRMED && i < fixture->start_orders->len; i++)
    if (get_start_order (fixture, i)->run == 1
        && restart_ms <= get_start_order (fixture, i)->deadline_ms)
      return "restarted while a start order may take effect";
  return NULL;
}

static bool
holds (const struct wait_case *test)
{
  struct fixture *fixture = fixture_new (0);
  struct fl_name id = fl_name_of ("t1");
  guint starts = test->origin == RUN_CONFIRMED || test->origin == RUN_LISTED ? 1 : 0;
  guint stops = 0;
  int64_t lease_end_ms = 0;
  int64_t restart_ms = 0;

  fl_core_set_registry_known (fixture->core);
  begin_run (fixture, test);
  int64_t begun_ms = fixture->now_ms;
  tick_until_recorded (fixture, STEP_MS);
  if (test->fate == TARGET_LEFT)
    fl_core_remove_target (fixture->core, &id);
  for (int i = 0; i < 200 && restart_ms == 0; i++)
    {
      int64_t lease_ms = exchange_heartbeat (fixture, test->fate);
      lease_end_ms = MAX (lease_end_ms, lease_ms);
      let_orders_lapse (fixture, &starts, &stops);
      tick_until_recorded (fixture, STEP_MS);
      restart_ms = find_restart_ms (fixture);
    }
  const char *fault = find_fault (fixture, test, restart_ms, begun_ms, lease_end_ms);
  if (fault != NULL)
    print_error ("%s: %s (%d ms)\n", test->name, fault, (int)(restart_ms - begun_ms));
  fixture_free (fixture);
  return fault == NULL;
}

/* A run whose end is never told kept its task for ever: the stop was repeated without a reply,
 * while the reports of the target, which did not list the run, renewed its lease. */
static void
test_each_wait_has_a_bound (void **state)
{
  bool all_hold = true;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    all_hold = holds (&cases[i]) && all_hold;
  assert_true (all_hold);
}

/* A target with a slow clock had not replied for 6 s when it got a start. Its lease lasted for
 * longer than the owner waited, and the task ran twice there (test_core_cell late-orders, seed
 * 1041). */
static void
test_lease_of_start_by_old_clock (void **state)
{
  static const int64_t ages_ms[] = { 0, 400, 2000, 4000, 6000 };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (ages_ms); i++)
    {
      struct fixture *fixture = fixture_new (0);
      struct fl_run_row row = { .task = fl_name_of ("a.0.0.0"), .run = 1 };
      int64_t clock_read_ms = fixture->now_ms;
      int64_t restart_ms = 0;
      add_target (fixture, "t1", 4, false);
      tick_until_recorded (fixture, ages_ms[i]);
      add_job (fixture, "a", "urgent", (struct fl_step_spec){ .count = 1, .cpu_milli = 1000 });
      tick_until_recorded (fixture, 1);
      confirm_start (fixture, 0);
      fixture->now_ms += STEP_MS;
      deliver_report (fixture, "t1", list_run (&row));
      int64_t lasts_ms = get_start_order (fixture, 0)->deadline_ms - clock_read_ms;
      for (int j = 0; j < 10000 && restart_ms == 0; j++)
        {
          tick_until_recorded (fixture, 1);
          restart_ms = find_restart_ms (fixture);
        }
      assert_true (restart_ms > 0);
      if (restart_ms < clock_read_ms + lasts_ms * 100 / (200 - SLOW_CLOCK_PERCENT))
        fail_msg ("clock of %d ms ago: started again %d ms after the start", (int)ages_ms[i],
                  (int)(restart_ms - clock_read_ms - ages_ms[i]));
      fixture_free (fixture);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_each_wait_has_a_bound),
    cmocka_unit_test (test_lease_of_start_by_old_clock),
  };

  return cmocka_run_group_tests_name ("run_waits", tests, NULL, NULL);
}
