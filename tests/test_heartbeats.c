/* What an owner concludes from late, new and incomplete replies to heartbeats. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "core/core.h"
#include "support_core.h"

#define START_MS 100000
/* The longest lease that a target grants. */
#define LEASE_MAX_MS 6000

static void
deliver_late_report (struct fl_core *core,
                     const struct fl_name *id,
                     int64_t sent_ms,
                     int64_t now_ms)
{
  struct fl_target_report report = { .booted_at_ms = 1, .clock_ms = now_ms };
  struct fl_order_reply reply = { .result = FL_ORDER_DONE, .report = &report };

  fl_core_handle_heartbeat_reply (core, id, &reply, sent_ms, now_ms);
}

/* A reply that a suspended host read late was taken for current: the next heartbeat acknowledged
 * ends of a new boot by the numbers of the earlier one, and these tasks ran twice. */
static void
test_reply_from_before_a_suspension_does_not_tell_the_boot (void **state)
{
  static const struct
  {
    const char *name;
    int64_t age_ms; /* of the reply beyond the wait that the heartbeat permitted */
    bool knows_boot;
  } cases[] = {
    { "at once", 5, true },
    { "as late as a forwarded reply may be", 450, true },
    { "after a suspension", 3000, false },
  };
  static const struct fl_log log = { 0 };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fl_core_options options = {
        .log = &log, .fencing_token = 1, .target_lease_ms = 4500, .target_lease_max_ms = 6000
      };
      struct fl_target_entry entry = { .id = fl_name_of ("t1"),
                                       .service = fl_name_of ("s"),
                                       .address = fl_name_of ("127.0.0.1:1") };
      struct fl_core *core = fl_core_new (&options);
      struct fl_heartbeat_order order;
      int64_t now_ms = START_MS;
      fl_core_update_target (core, &entry);
      fl_core_set_registry_known (core);
      fl_core_set_jobs_known (core);
      assert_true (fl_core_prepare_heartbeat (core, &entry.id, now_ms, &order));
      deliver_late_report (core, &entry.id, now_ms, now_ms + 5);
      now_ms += 5;
      assert_true (fl_core_prepare_heartbeat (core, &entry.id, now_ms, &order));
      assert_true (order.deadline_ms > 0);
      int64_t sent_ms = now_ms;
      now_ms += order.wait_ms + cases[i].age_ms;
      deliver_late_report (core, &entry.id, sent_ms, now_ms);
      assert_true (fl_core_prepare_heartbeat (core, &entry.id, now_ms, &order));
      if ((order.deadline_ms > 0) != cases[i].knows_boot)
        fail_msg ("%s: the next heartbeat has the deadline %d", cases[i].name,
                  (int)order.deadline_ms);
      fl_core_free (core);
    }
}

/* A start reached the next boot of its target, which granted it the longest lease, since the
 * deadline was far ahead of the new boot's clock. The run counted as ended before this lease had.
 */
static void
test_run_in_a_new_boot_keeps_the_longest_lease (void **state)
{
  static const struct
  {
    const char *name;
    int64_t booted_at_ms; /* as reported after the start; 1 before it */
    bool may_have_ended;  /* 3 s after the start, without a report since */
  } cases[] = {
    { "same boot", 1, true },
    { "next boot", 2, false },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fixture *fixture = fixture_new (0);
      struct fl_run_row run = { .run = 1 };
      add_target (fixture, "t1", 4, false);
      deliver_report (fixture, "t1", (struct fl_target_report){ .booted_at_ms = 1 });
      fixture->now_ms += 3000;
      add_job (fixture, "a", "urgent", (struct fl_step_spec){ .count = 1, .cpu_milli = 1000 });
      tick_until_recorded (fixture, 0);
      confirm_start (fixture, 0);
      run.task = get_start_order (fixture, 0)->task;
      run.run = get_start_order (fixture, 0)->run;
      add_target (fixture, "t2", 4, false);
      fixture->now_ms += 10;
      deliver_report (fixture, "t1",
                      (struct fl_target_report){
                          .booted_at_ms = cases[i].booted_at_ms, .runs = &run, .run_count = 1 });
      tick_until_recorded (fixture, 3000);
      if ((fixture->start_orders->len > 1) != cases[i].may_have_ended)
        fail_msg ("%s: %u starts", cases[i].name, fixture->start_orders->len);
      tick_until_recorded (fixture, 3500);
      assert_int_equal (fixture->start_orders->len, 2);
      fixture_free (fixture);
    }
}

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

enum later_order
{
  LATER_HEARTBEAT,
  LATER_START,
  LATER_START_REJECTED,
};

/* Sends an order to "t1" @delay_ms after the first start. */
static void
send_later_order (struct fixture *fixture, enum later_order kind, int64_t delay_ms)
{
  struct fl_name id = fl_name_of ("t1");
  struct fl_heartbeat_order heartbeat;

  if (kind != LATER_HEARTBEAT)
    assert_true (fl_core_prepare_heartbeat (fixture->core, &id, fixture->now_ms, &heartbeat));
  tick_until_recorded (fixture, delay_ms);
  if (kind == LATER_HEARTBEAT)
    {
      assert_true (fl_core_prepare_heartbeat (fixture->core, &id, fixture->now_ms, &heartbeat));
      assert_true (heartbeat.deadline_ms > 0);
      return;
    }
  add_job (fixture, "b", "urgent", (struct fl_step_spec){ .count = 1, .cpu_milli = 1000 });
  tick_until_recorded (fixture, 0);
  assert_int_equal (fixture->start_orders->len, 2);
  struct fl_name task = get_start_order (fixture, 1)->task;
  fl_core_handle_start_reply (fixture->core, &task, 1,
                              kind == LATER_START ? FL_ORDER_DONE : FL_ORDER_NO_CAPACITY,
                              fixture->now_ms);
}

static bool
is_started_again (const struct fixture *fixture, const struct fl_name *task)
{
  for (guint i = 1; i < fixture->start_orders->len; i++)
    if (fl_name_eq (&get_start_order (fixture, i)->task, task))
      return true;
  return false;
}

/* A start reached the next boot of its target, and then another order by the clock of the boot
 * before, which prolonged the run; its lease was counted from the start. */
static void
test_later_order_in_a_new_boot_keeps_the_longest_lease (void **state)
{
  static const struct
  {
    const char *name;
    enum later_order kind;
    int64_t delay_ms;
  } cases[] = {
    { "heartbeat", LATER_HEARTBEAT, 350 },
    { "start", LATER_START, 900 },
    { "rejected start", LATER_START_REJECTED, 900 },
  };
  int failures = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fixture *fixture = fixture_new (0);
      add_target (fixture, "t1", 4, false);
      deliver_report (fixture, "t1", (struct fl_target_report){ .booted_at_ms = 1 });
      add_job (fixture, "a", "urgent", (struct fl_step_spec){ .count = 1, .cpu_milli = 1000 });
      tick_until_recorded (fixture, 0);
      assert_int_equal (fixture->start_orders->len, 1);
      confirm_start (fixture, 0);
      struct fl_name task = get_start_order (fixture, 0)->task;
      send_later_order (fixture, cases[i].kind, cases[i].delay_ms);
      int64_t sent_ms = fixture->now_ms;
      deliver_result (fixture, "t1", FL_ORDER_NO_REPLY);
      add_target (fixture, "t2", 4, false);
      while (!is_started_again (fixture, &task) && fixture->now_ms < sent_ms + 20000)
        tick_until_recorded (fixture, 10);
      /* 6 s on a clock that is 2 % slow. */
      if (fixture->now_ms < sent_ms + 6120)
        {
          print_error ("%s: started again after %d ms, with a lease of up to 6120 ms\n",
                       cases[i].name, (int)(fixture->now_ms - sent_ms));
          failures++;
        }
      fixture_free (fixture);
    }
  assert_int_equal (failures, 0);
}

/* An owner that may be losing the pool asked for longer leases than it counted. */
static void
test_longest_leases_that_an_owner_asks_for (void **state)
{
  struct fixture *fixture = fixture_new (0);
  struct fl_name id = fl_name_of ("t1");
  struct fl_run_row run = { .run = 1 };
  struct fl_heartbeat_order order;

  (void)state;
  add_target (fixture, "t1", 4, false);
  add_job (fixture, "a", "urgent", (struct fl_step_spec){ .count = 1, .cpu_milli = 1000 });
  tick_until_recorded (fixture, 0);
  confirm_start (fixture, 0);
  run.task = get_start_order (fixture, 0)->task;
  fixture->now_ms += 10;
  deliver_report (fixture, "t1",
                  (struct fl_target_report){ .booted_at_ms = 1, .runs = &run, .run_count = 1 });
  fl_core_ask_longest_leases (fixture->core, true);
  assert_true (fl_core_prepare_heartbeat (fixture->core, &id, fixture->now_ms, &order));
  assert_int_equal (order.deadline_ms, fixture->now_ms + LEASE_MAX_MS);
  int64_t sent_ms = fixture->now_ms;
  deliver_result (fixture, "t1", FL_ORDER_NO_REPLY);
  add_target (fixture, "t2", 4, false);
  while (fixture->start_orders->len == 1 && fixture->now_ms < sent_ms + 20000)
    tick_until_recorded (fixture, 10);
  /* On a clock that is 2 % slow. */
  assert_true (fixture->now_ms >= sent_ms + LEASE_MAX_MS * 102 / 100);
  fixture_free (fixture);
}

/* The clock in the reply to a start told of another boot, and further tasks were started there by
 * the clock of the boot before. */
static void
test_no_start_by_a_clock_that_has_ended (void **state)
{
  struct fixture *fixture = fixture_new (0);
  struct fl_name id = fl_name_of ("t1");

  (void)state;
  add_target (fixture, "t1", 4, false);
  deliver_report (fixture, "t1", (struct fl_target_report){ .booted_at_ms = 1 });
  fl_core_handle_clock (fixture->core, &id, 20, fixture->now_ms);
  add_job (fixture, "a", "urgent", (struct fl_step_spec){ .count = 1, .cpu_milli = 1000 });
  tick_until_recorded (fixture, 100);
  assert_int_equal (fixture->start_orders->len, 0);
  deliver_report (fixture, "t1", (struct fl_target_report){ .booted_at_ms = 1 });
  tick_until_recorded (fixture, 10);
  assert_int_equal (fixture->start_orders->len, 1);
  fixture_free (fixture);
}

/* Share of the limit of a start within which it is sent, in percent. */
#define SENT_WITHIN_PERCENT 90

/* The lease of a start that was sent late, and reached the next boot, was counted from its order.
 */
static void
test_late_start_in_a_new_boot_keeps_the_longest_lease (void **state)
{
  static const struct
  {
    const char *name;
    int64_t reply_ms; /* how long the replies of the target take */
  } cases[] = { { "prompt replies", 5 }, { "slow replies", 600 }, { "slower replies", 1500 } };
  int failures = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fixture *fixture = fixture_new (0);
      struct fl_step_spec step = { .count = 1, .cpu_milli = 1000, .memory_mb = 1 };
      struct fl_order_reply reply = { .result = FL_ORDER_DONE };
      struct fl_name target = fl_name_of ("t1");
      add_target (fixture, "t1", 4, false);
      fl_core_handle_reply_time (fixture->core, &target, &reply,
                                 fixture->now_ms - cases[i].reply_ms, 0, fixture->now_ms);
      add_job (fixture, "00000000000000aa", "urgent", step);
      tick_until_recorded (fixture, 10);
      assert_int_equal (fixture->start_orders->len, 1);
      struct fl_start_order order = *get_start_order (fixture, 0);
      int64_t ends_ms = fixture->now_ms + order.reply_limit_ms * SENT_WITHIN_PERCENT / 100
                        + LEASE_MAX_MS * 102 / 100;
      add_target (fixture, "t2", 4, false);
      for (int j = 0; j < 2; j++)
        {
          fixture->now_ms += 10;
          deliver_result (fixture, "t1", FL_ORDER_NO_REPLY);
        }
      fixture->now_ms += order.reply_limit_ms;
      fl_core_handle_start_reply (fixture->core, &order.task, 1, FL_ORDER_NO_REPLY,
                                  fixture->now_ms);
      while (fixture->start_orders->len == 1)
        tick_until_recorded (fixture, 10);
      print_message ("%s: limit %d ms, started again %d ms after the lease\n", cases[i].name,
                     (int)order.reply_limit_ms, (int)(fixture->now_ms - ends_ms));
      failures += fixture->now_ms < ends_ms ? 1 : 0;
      fixture_free (fixture);
    }
  assert_int_equal (failures, 0);
}

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
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_reply_from_before_a_suspension_does_not_tell_the_boot),
          cmocka_unit_test (test_run_in_a_new_boot_keeps_the_longest_lease),
          cmocka_unit_test (test_order_for_the_previous_boot),
          cmocka_unit_test (test_late_start_in_a_new_boot_keeps_the_longest_lease),
          cmocka_unit_test (test_later_order_in_a_new_boot_keeps_the_longest_lease),
          cmocka_unit_test (test_longest_leases_that_an_owner_asks_for),
          cmocka_unit_test (test_no_start_by_a_clock_that_has_ended),
          cmocka_unit_test (test_absent_run_is_started_again),
          cmocka_unit_test (test_end_beyond_the_first_report) };

  return cmocka_run_group_tests_name ("heartbeats", tests, NULL, NULL);
}
