/* Scenarios for lib/core: each test passes observations to a core and checks the orders that the
 * core issues. The comment of a test names the load pattern or fault that it reproduces. */
#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "support_core.h"

static struct fl_job_progress
decode_record (const struct fl_core_record *record)
{
  struct fl_job_progress progress;
  struct fl_error error = { 0 };

  assert_true (
      fl_job_progress_decode (record->progress.data, record->progress.len, &progress, &error));
  return progress;
}

static enum fl_job_state
recorded_state (const struct fl_core_record *record)
{
  struct fl_job_progress progress = decode_record (record);
  enum fl_job_state job_state = (enum fl_job_state)progress.state;

  fl_job_progress_clear (&progress);
  return job_state;
}

static bool
records_any_target (const struct fl_core_record *record)
{
  struct fl_job_progress progress = decode_record (record);
  bool any_target = progress.any_target;

  fl_job_progress_clear (&progress);
  return any_target;
}

static void
add_target_entry (struct fixture *fixture, const char *name)
{
  add_entry (fixture, name, 4, false);
}

/* --- placement --- */

static void
test_target_capacity (void **state)
{
  struct fixture *fixture = fixture_new (0);

  (void)state;
  add_target (fixture, "t1", 4, false);
  add_job (fixture, "a", "urgent", (struct fl_step_spec){ .count = 5, .cpu_milli = 1000 });
  tick_until_recorded (fixture, 0);
  assert_int_equal (fixture->start_orders->len, 4);
  fixture_free (fixture);
}

static void
test_label_and_limit_per_target (void **state)
{
  struct fixture *fixture = fixture_new (0);

  (void)state;
  add_target (fixture, "t1", 8, false);
  add_target (fixture, "t2", 8, false);
  add_job (fixture, "a", "urgent",
           (struct fl_step_spec){ .count = 4, .cpu_milli = 100, .per_target_max = 1 });
  add_job (fixture, "b", "urgent",
           (struct fl_step_spec){ .count = 2, .cpu_milli = 100, .label = fl_name_of ("t2") });
  tick_until_recorded (fixture, 0);
  int starts_of_a = 0;
  for (guint i = 0; i < fixture->start_orders->len; i++)
    {
      const struct fl_start_order *order = get_start_order (fixture, i);
      starts_of_a += order->task.data[0] == 'a' ? 1 : 0;
      if (order->task.data[0] == 'b')
        assert_string_equal (order->target.data, "t2");
    }
  assert_int_equal (starts_of_a, 2);
  assert_int_equal (fixture->start_orders->len, 4);
  fixture_free (fixture);
}

/* Urgent tasks start before tasks of lower priority that have waited longer. */
static void
test_priority (void **state)
{
  struct fixture *fixture = fixture_new (0);

  (void)state;
  add_job (fixture, "slow", "slow", (struct fl_step_spec){ .count = 4, .cpu_milli = 1000 });
  fixture->now_ms += 1000;
  add_job (fixture, "fast", "urgent", (struct fl_step_spec){ .count = 2, .cpu_milli = 1000 });
  add_target (fixture, "t1", 4, false);
  tick_until_recorded (fixture, 0);
  assert_int_equal (fixture->start_orders->len, 4);
  assert_true (g_str_has_prefix (get_start_order (fixture, 0)->task.data, "fast"));
  assert_true (g_str_has_prefix (get_start_order (fixture, 1)->task.data, "fast"));
  assert_true (g_str_has_prefix (get_start_order (fixture, 2)->task.data, "slow"));
  fixture_free (fixture);
}

static void
test_team_limit (void **state)
{
  struct fixture *fixture = fixture_new (2500);

  (void)state;
  add_target (fixture, "t1", 16, false);
  add_job (fixture, "a", "urgent", (struct fl_step_spec){ .count = 5, .cpu_milli = 1000 });
  tick_until_recorded (fixture, 0);
  assert_int_equal (fixture->start_orders->len, 2);
  fixture_free (fixture);
}

/* Long jobs of lower priority leave as much of the team limit free as the urgent tasks of the team
 * used recently. */
static void
test_team_limit_reserved_for_urgent_tasks (void **state)
{
  struct fixture *fixture = fixture_new (6000);
  struct fl_end_row ends[] = { { .number = 1, .task = fl_name_of ("fast.0.0.0"), .run = 1 },
                               { .number = 2, .task = fl_name_of ("fast.0.0.1"), .run = 1 } };

  (void)state;
  add_target (fixture, "t1", 16, false);
  add_job (fixture, "fast", "urgent", (struct fl_step_spec){ .count = 2, .cpu_milli = 1000 });
  tick_until_recorded (fixture, 0);
  confirm_start (fixture, 0);
  confirm_start (fixture, 1);
  fixture->now_ms += 10;
  deliver_report (fixture, "t1",
                  (struct fl_target_report){ .booted_at_ms = 1, .ends = ends, .end_count = 2 });
  add_job (fixture, "slow", "slow", (struct fl_step_spec){ .count = 9, .cpu_milli = 1000 });
  tick_until_recorded (fixture, 10);
  assert_int_equal (fixture->start_orders->len, 2 + 4);
  add_job (fixture, "again", "urgent", (struct fl_step_spec){ .count = 2, .cpu_milli = 1000 });
  tick_until_recorded (fixture, 10);
  assert_int_equal (fixture->start_orders->len, 2 + 4 + 2);
  fixture_free (fixture);
}

/* A step of low priority waited while its team used little of its limit: the rest was kept free for
 * urgent tasks that had ended. */
static void
test_team_limit_half_used_is_not_reserved (void **state)
{
  static const struct
  {
    const char *name;
    int64_t tasks; /* that need half of the limit each */
    guint starts;
  } cases[] = { { "up to half of the limit", 1, 1 }, { "beyond half of the limit", 2, 1 } };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fixture *fixture = fixture_new (6000);
      struct fl_end_row end = { .number = 1, .task = fl_name_of ("fast.0.0.0"), .run = 1 };

      add_target (fixture, "t1", 16, false);
      add_job (fixture, "fast", "urgent", (struct fl_step_spec){ .count = 1, .cpu_milli = 5000 });
      tick_until_recorded (fixture, 0);
      confirm_start (fixture, 0);
      fixture->now_ms += 10;
      deliver_report (fixture, "t1",
                      (struct fl_target_report){ .booted_at_ms = 1, .ends = &end, .end_count = 1 });
      add_job (fixture, "slow", "slow",
               (struct fl_step_spec){ .count = cases[i].tasks, .cpu_milli = 3000 });
      tick_until_recorded (fixture, 10);
      if (fixture->start_orders->len != 1 + cases[i].starts)
        fail_msg ("%s: %u starts", cases[i].name, fixture->start_orders->len - 1);
      fixture_free (fixture);
    }
}

/* Best-effort tasks use only the CPU that other tasks leave free, and other tasks are placed as if
 * there were no best-effort tasks. */
static void
test_best_effort_tasks (void **state)
{
  struct fixture *fixture = fixture_new (0);

  (void)state;
  add_target (fixture, "t1", 4, false);
  add_job (fixture, "f", "slow",
           (struct fl_step_spec){ .count = 9, .cpu_milli = 1000, .best_effort = true });
  tick_until_recorded (fixture, 0);
  assert_int_equal (fixture->start_orders->len, 4);
  add_job (fixture, "a", "urgent", (struct fl_step_spec){ .count = 4, .cpu_milli = 1000 });
  tick_until_recorded (fixture, 10);
  assert_int_equal (fixture->start_orders->len, 8);
  fixture_free (fixture);
}

static void
test_gang_all_or_none (void **state)
{
  struct fixture *fixture = fixture_new (0);

  (void)state;
  add_target (fixture, "t1", 2, false);
  add_job (fixture, "g", "urgent",
           (struct fl_step_spec){ .count = 3, .cpu_milli = 1000, .gang = true });
  tick_until_recorded (fixture, 0);
  assert_int_equal (fixture->start_orders->len, 0);
  add_target (fixture, "t2", 1, false);
  tick_until_recorded (fixture, 10);
  assert_int_equal (fixture->start_orders->len, 3);
  assert_int_equal (get_start_order (fixture, 0)->run, get_start_order (fixture, 2)->run);
  /* The target rejects one member: the others are stopped before the gang is started again. */
  confirm_start (fixture, 0);
  confirm_start (fixture, 1);
  fl_core_handle_start_reply (fixture->core, &get_start_order (fixture, 2)->task, 1,
                              FL_ORDER_UNHEALTHY, fixture->now_ms);
  assert_int_equal (fixture->stop_orders->len, 2);
  tick_until_recorded (fixture, 10);
  assert_int_equal (fixture->stop_orders->len, 2);
  assert_int_equal (fixture->start_orders->len, 3);
  fixture_free (fixture);
}

/* --- advice --- */

static void
test_advice (void **state)
{
  struct fixture *fixture = fixture_new (0);
  struct fl_advised_target eligible[] = { { fl_name_of ("t1"), fl_name_of ("ticket-1") } };
  struct fl_advice_reply reply
      = { .received = true, .targets = eligible, .count = 1, .tickets_valid_ms = 2500 };

  (void)state;
  add_target (fixture, "t1", 2, false);
  add_target (fixture, "t2", 2, false);
  add_job (fixture, "a", "advised", (struct fl_step_spec){ .count = 3, .cpu_milli = 1000 });
  tick_until_recorded (fixture, 0);
  assert_int_equal (fixture->start_orders->len, 0);
  assert_int_equal (fixture->queried_targets->len, 2);
  fixture->now_ms += 30;
  fl_core_handle_advice_reply (fixture->core, &fixture->queried_step,
                               (struct fl_name *)fixture->queried_targets->data, 2, &reply,
                               fixture->now_ms);
  tick_until_recorded (fixture, 0);
  assert_int_equal (fixture->start_orders->len, 2);
  assert_string_equal (get_start_order (fixture, 0)->target.data, "t1");
  assert_string_equal (get_start_order (fixture, 0)->ticket, "ticket-1");
  /* No further query is sent for the third task: t1, the only eligible target, has no capacity
   * left. */
  tick_until_recorded (fixture, 10);
  assert_int_equal (fixture->query_count, 1);
  fixture_free (fixture);
}

/* A target moves in the list of the core when another one leaves: its ticket holds. */
static void
test_ticket_after_another_target_has_left (void **state)
{
  struct fixture *fixture = fixture_new (0);
  struct fl_advised_target eligible[] = { { fl_name_of ("t2"), fl_name_of ("ticket-2") } };
  struct fl_advice_reply reply
      = { .received = true, .targets = eligible, .count = 1, .tickets_valid_ms = 2500 };
  struct fl_name left = fl_name_of ("t1");

  (void)state;
  add_target (fixture, "t1", 1, false);
  add_target (fixture, "t2", 1, false);
  add_job (fixture, "a", "advised", (struct fl_step_spec){ .count = 1, .cpu_milli = 1000 });
  tick_until_recorded (fixture, 0);
  fixture->now_ms += 30;
  fl_core_handle_advice_reply (fixture->core, &fixture->queried_step,
                               (struct fl_name *)fixture->queried_targets->data,
                               fixture->queried_targets->len, &reply, fixture->now_ms);
  fl_core_remove_target (fixture->core, &left);
  tick_until_recorded (fixture, 0);
  assert_int_equal (fixture->start_orders->len, 1);
  assert_string_equal (get_start_order (fixture, 0)->target.data, "t2");
  fixture_free (fixture);
}

/* A reply that arrived after its query had been given up was thrown away, and the step waited for
 * the reply to the repeated query. */
static void
test_late_advice_counts (void **state)
{
  static const struct
  {
    const char *name;
    bool received;
    int64_t restarts_after_ms; /* of the target, from the query on; 0 for none */
    guint starts;
  } cases[] = {
    { "late reply", true, 0, 2 },
    { "late failure", false, 0, 0 },
    { "late reply about an earlier boot", true, 400, 0 },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fixture *fixture = fixture_new (0);
      struct fl_advised_target eligible[] = { { fl_name_of ("t1"), fl_name_of ("ticket-1") } };
      struct fl_name queried = fl_name_of ("t1");
      struct fl_advice_reply no_reply = { .received = false, .took_ms = 700 };
      struct fl_advice_reply late_reply = { .received = cases[i].received,
                                            .is_late = true,
                                            .targets = eligible,
                                            .count = 1,
                                            .tickets_valid_ms = 2500,
                                            .took_ms = 900 };

      add_target (fixture, "t1", 2, false);
      add_job (fixture, "a", "advised", (struct fl_step_spec){ .count = 2, .cpu_milli = 1000 });
      tick_until_recorded (fixture, 0);
      if (cases[i].restarts_after_ms > 0)
        {
          fixture->now_ms += cases[i].restarts_after_ms;
          deliver_report (fixture, "t1", (struct fl_target_report){ .booted_at_ms = 77 });
          fixture->now_ms += 10;
          deliver_report (fixture, "t1", (struct fl_target_report){ .booted_at_ms = 77 });
        }
      fixture->now_ms += 700 - cases[i].restarts_after_ms;
      fl_core_handle_advice_reply (fixture->core, &fixture->queried_step, &queried, 1, &no_reply,
                                   fixture->now_ms);
      tick_until_recorded (fixture, 0);
      assert_int_equal (fixture->query_count, 2);
      fixture->now_ms += 200;
      fl_core_handle_advice_reply (fixture->core, &fixture->queried_step, &queried, 1, &late_reply,
                                   fixture->now_ms);
      tick_until_recorded (fixture, 0);
      if (fixture->start_orders->len != cases[i].starts)
        fail_msg ("%s: %u starts", cases[i].name, fixture->start_orders->len);
      /* The repeated query stays in flight, and its reply counts as well. */
      assert_int_equal (fixture->query_count, 2);
      late_reply.is_late = false;
      late_reply.received = true;
      late_reply.took_ms = 200;
      fl_core_handle_advice_reply (fixture->core, &fixture->queried_step, &queried, 1, &late_reply,
                                   fixture->now_ms);
      tick_until_recorded (fixture, 0);
      assert_int_equal (fixture->start_orders->len, 2);
      fixture_free (fixture);
    }
}

/* A query that does not suffice is followed by another one, which occupies a host for as long as
 * dozens of further targets in the first query. Half of the targets are expected to be eligible. */
static void
test_advice_query_is_large_enough (void **state)
{
  static const struct
  {
    const char *name;
    int64_t tasks;
    int64_t per_target_max; /* 0: no limit */
    int targets;
    guint queried_min; /* one query in ten, or less, is expected not to suffice */
    guint queried_max;
  } cases[] = {
    { "one task", 1, 0, 20, 4, 6 },
    { "tasks that fit on one target", 4, 0, 20, 4, 6 },
    { "tasks that need five targets", 20, 0, 60, 14, 20 },
    { "one task on each target", 20, 1, 120, 49, 60 },
    { "more targets than a query may contain", 60, 1, 150, 100, 100 },
    { "few targets", 20, 0, 3, 3, 3 },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fixture *fixture = fixture_new (0);
      struct fl_step_spec step = { .count = cases[i].tasks,
                                   .cpu_milli = 1000,
                                   .per_target_max = cases[i].per_target_max };
      for (int j = 0; j < cases[i].targets; j++)
        add_target (fixture, fl_name_format ("t%d", j).data, 4, false);
      add_job (fixture, "a", "advised", step);
      tick_until_recorded (fixture, 0);
      if (fixture->query_count != 1 || fixture->queried_targets->len < cases[i].queried_min
          || fixture->queried_targets->len > cases[i].queried_max)
        fail_msg ("%s: %d queries, the last of %u targets", cases[i].name, fixture->query_count,
                  fixture->queried_targets->len);
      fixture_free (fixture);
    }
}

/* Queries of four and five targets found no eligible one, and each took another second where the
 * service was slow. */
static void
test_queries_in_vain_get_larger (void **state)
{
  static const struct fl_advice_reply none_eligible = { .received = true };
  struct fixture *fixture = fixture_new (0);
  double in_vain = 1.0; /* probability that two queries are */

  (void)state;
  for (int i = 0; i < 40; i++)
    add_target (fixture, fl_name_format ("t%d", i).data, 4, false);
  add_job (fixture, "a", "advised", (struct fl_step_spec){ .count = 4, .cpu_milli = 1000 });
  for (int query = 1; query <= 2; query++)
    {
      tick_until_recorded (fixture, 10);
      assert_int_equal (fixture->query_count, query);
      in_vain *= pow (1.0 - 0.35, fixture->queried_targets->len);
      /* Before the first reply, half of the targets are expected to be eligible. */
      if (query == 1 && pow (0.5, fixture->queried_targets->len) > 0.02)
        fail_msg ("the first query has %u targets", fixture->queried_targets->len);
      fl_core_handle_advice_reply (fixture->core, &fixture->queried_step,
                                   (struct fl_name *)fixture->queried_targets->data,
                                   fixture->queried_targets->len, &none_eligible, fixture->now_ms);
    }
  if (in_vain > 0.01)
    fail_msg ("two queries find no eligible target with a probability of %.3f", in_vain);
  fixture_free (fixture);
}

/* While a query of another step was in flight, or one after the other, the free room that was
 * charged for it kept a step from being queried. */
static void
test_room_charged_for_queries_keeps_no_step_waiting (void **state)
{
  static const struct
  {
    const char *name;
    int64_t cpu_milli; /* of the task that waits; 4 cores are free */
    int64_t waited_ms;
    int queries;
  } cases[] = {
    { "a moment ago", 1000, 900, 1 },
    { "for a second, with room for more", 1000, 1000, 2 },
    { "for a second, with room for one task", 3000, 1000, 1 },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fixture *fixture = fixture_new (0);
      add_target (fixture, "t1", 4, false);
      add_job (fixture, "a", "advised", (struct fl_step_spec){ .count = 4, .cpu_milli = 1000 });
      add_job (fixture, "b", "advised",
               (struct fl_step_spec){ .count = 1, .cpu_milli = cases[i].cpu_milli });
      tick_until_recorded (fixture, 0);
      assert_int_equal (fixture->query_count, 1);
      fixture->now_ms += cases[i].waited_ms;
      deliver_report (fixture, "t1", (struct fl_target_report){ .booted_at_ms = 1 });
      tick_until_recorded (fixture, 0);
      if (fixture->query_count != cases[i].queries)
        fail_msg ("%s: %d queries", cases[i].name, fixture->query_count);
      fixture_free (fixture);
    }
}

/* While short queries of higher priority came, as many as the hosts could send or more, a step of
 * low priority got none. */
static void
test_low_priority_is_queried_beside_urgent_steps (void **state)
{
  static const struct
  {
    const char *name;
    bool long_running;
    int urgent; /* steps that come for each query that a host can send */
  } cases[] = { { "as many urgent steps as queries", false, 1 },
                { "long-running, twice as many", true, 2 } };
  static const struct fl_advice_reply none_eligible = { .received = true };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fixture *fixture = fixture_new (0);
      bool is_queried = false;
      int64_t begin_ms = fixture->now_ms;
      int urgent_count = 0;

      add_target (fixture, "t1", 100, false);
      add_job (fixture, "slow", "slow-advised",
               (struct fl_step_spec){
                   .count = 1, .cpu_milli = 1000, .long_running = cases[i].long_running });
      while (fixture->now_ms - begin_ms < 3000 && !is_queried)
        {
          fixture->now_ms += 50;
          deliver_report (fixture, "t1", (struct fl_target_report){ .booted_at_ms = 1 });
          for (int j = 0; j < cases[i].urgent; j++)
            add_job (fixture, fl_name_format ("urgent%d", urgent_count++).data, "advised",
                     (struct fl_step_spec){ .count = 1, .cpu_milli = 1000 });
          fixture->queries_max = fixture->query_count + 1;
          fl_core_tick (fixture->core, fixture->now_ms, fixture->now_ms);
          is_queried = strncmp (fixture->queried_step.data, "slow", 4) == 0;
          fl_core_handle_advice_reply (fixture->core, &fixture->queried_step,
                                       (struct fl_name *)fixture->queried_targets->data,
                                       fixture->queried_targets->len, &none_eligible,
                                       fixture->now_ms);
        }
      if (!is_queried)
        fail_msg ("%s: not queried", cases[i].name);
      fixture_free (fixture);
    }
}

/* A gang that did not fit on what was free asked for advice again and again, and kept a host from
 * sending other queries. */
static void
test_gang_without_room_is_not_queried (void **state)
{
  static const struct
  {
    const char *name;
    int64_t tasks;
    bool gang;
    int queries;
  } cases[] = {
    { "gang with enough room", 4, true, 1 },
    { "gang that needs more than is free", 5, true, 0 },
    { "step of which some tasks fit", 5, false, 1 },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fixture *fixture = fixture_new (0);
      add_target (fixture, "t1", 2, false);
      add_target (fixture, "t2", 2, false);
      add_job (fixture, "a", "advised",
               (struct fl_step_spec){
                   .count = cases[i].tasks, .cpu_milli = 1000, .gang = cases[i].gang });
      tick_until_recorded (fixture, 0);
      if (fixture->query_count != cases[i].queries)
        fail_msg ("%s: %d queries", cases[i].name, fixture->query_count);
      fixture_free (fixture);
    }
}

/* --- orders and reports --- */

/* A start whose connections were reset used up its attempts within some 40 ms. */
static void
test_start_reset_repeatedly (void **state)
{
  static const struct
  {
    int64_t after_ms; /* since the last reset */
    guint starts;     /* expected */
  } steps[] = { { 10, 2 }, { 10, 2 }, { 200, 3 }, { 10, 3 }, { 200, 4 } };
  struct fixture *fixture = fixture_new (0);
  guint reset = 0;

  (void)state;
  add_target (fixture, "t1", 4, false);
  add_job (fixture, "a", "urgent", (struct fl_step_spec){ .count = 1, .cpu_milli = 1000 });
  tick_until_recorded (fixture, 0);
  for (size_t i = 0; i < G_N_ELEMENTS (steps); i++)
    {
      for (; reset < fixture->start_orders->len; reset++)
        fl_core_handle_start_reply (fixture->core, &get_start_order (fixture, 0)->task, 1,
                                    FL_ORDER_NO_REPLY, fixture->now_ms);
      tick_until_recorded (fixture, steps[i].after_ms);
      assert_int_equal (fixture->start_orders->len, steps[i].starts);
      assert_int_equal (fixture->stop_orders->len, 0);
    }
  fixture_free (fixture);
}

static void
test_start_without_reply (void **state)
{
  struct fixture *fixture = fixture_new (0);

  (void)state;
  add_target (fixture, "t1", 4, false);
  add_job (fixture, "a", "urgent", (struct fl_step_spec){ .count = 1, .cpu_milli = 1000 });
  tick_until_recorded (fixture, 0);
  for (guint attempt = 1; attempt < 4; attempt++)
    {
      fl_core_handle_start_reply (fixture->core, &get_start_order (fixture, 0)->task, 1,
                                  FL_ORDER_NO_REPLY, fixture->now_ms);
      tick_until_recorded (fixture, 700);
      assert_int_equal (fixture->start_orders->len, attempt + 1);
      assert_int_equal (get_start_order (fixture, attempt)->run, 1);
    }
  fl_core_handle_start_reply (fixture->core, &get_start_order (fixture, 0)->task, 1,
                              FL_ORDER_NO_REPLY, fixture->now_ms);
  tick_until_recorded (fixture, 700);
  assert_int_equal (fixture->stop_orders->len, 1);
  assert_int_equal (fixture->start_orders->len, 4);
  /* After the confirmed stop the target rejects late start orders of this run, and a report without
   * the run shows that it is not in effect. */
  fl_core_handle_stop_reply (fixture->core, &get_start_order (fixture, 0)->task, 1, FL_ORDER_DONE,
                             fixture->now_ms);
  fixture->now_ms += 10;
  deliver_report (fixture, "t1", (struct fl_target_report){ .booted_at_ms = 1 });
  tick_until_recorded (fixture, 10);
  assert_int_equal (fixture->start_orders->len, 5);
  assert_int_equal (get_start_order (fixture, 4)->run, 2);
  fixture_free (fixture);
}

/* All connections to a target are reset while a start and a heartbeat are in flight, so that
 * neither gets a reply. The run was stopped although the target was alive. The next heartbeat,
 * which is sent at once, decides: the start is sent again if the target replies, and stopped if
 * not. */
static void
test_start_stopped_after_reset (void **state)
{
  static const struct
  {
    const char *name;
    bool replies;
    guint starts;
    guint stops;
  } cases[] = {
    { "target replies", true, 2, 0 },
    { "target is silent", false, 1, 1 },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fixture *fixture = fixture_new (0);
      struct fl_name target = fl_name_of ("t1");
      struct fl_order_reply no_reply = { .result = FL_ORDER_NO_REPLY };
      add_target (fixture, "t1", 4, false);
      add_job (fixture, "a", "urgent", (struct fl_step_spec){ .count = 1, .cpu_milli = 1000 });
      tick_until_recorded (fixture, 0);
      fl_core_handle_start_reply (fixture->core, &get_start_order (fixture, 0)->task, 1,
                                  FL_ORDER_NO_REPLY, fixture->now_ms);
      fl_core_handle_heartbeat_reply (fixture->core, &target, &no_reply, fixture->now_ms,
                                      fixture->now_ms);
      tick_until_recorded (fixture, 10);
      assert_int_equal (fixture->start_orders->len, 1);
      assert_int_equal (fixture->stop_orders->len, 0);
      if (cases[i].replies)
        deliver_report (fixture, "t1", (struct fl_target_report){ .booted_at_ms = 1 });
      else
        fl_core_handle_heartbeat_reply (fixture->core, &target, &no_reply, fixture->now_ms,
                                        fixture->now_ms);
      tick_until_recorded (fixture, 10);
      if (fixture->start_orders->len != cases[i].starts
          || fixture->stop_orders->len != cases[i].stops)
        fail_msg ("%s: %u starts, %u stops", cases[i].name, fixture->start_orders->len,
                  fixture->stop_orders->len);
      assert_int_equal (get_start_order (fixture, cases[i].starts - 1)->run, 1);
      fixture_free (fixture);
    }
}

/* A task on a silent target is started elsewhere only after the lease has certainly expired: after
 * 104 % of its duration and 50 ms, since the target's clock may run 2 % slow. */
static void
test_silent_target (void **state)
{
  struct fixture *fixture = fixture_new (0);
  struct fl_name target = fl_name_of ("t1");
  struct fl_order_reply no_reply = { .result = FL_ORDER_NO_REPLY };
  struct fl_run_row run = { .task = fl_name_of ("a.0.0.0"), .run = 1 };
  struct fl_heartbeat_order heartbeat;

  (void)state;
  add_target (fixture, "t1", 4, false);
  add_job (fixture, "a", "urgent", (struct fl_step_spec){ .count = 1, .cpu_milli = 1000 });
  tick_until_recorded (fixture, 0);
  confirm_start (fixture, 0);
  fixture->now_ms += 10;
  deliver_report (fixture, "t1",
                  (struct fl_target_report){ .booted_at_ms = 1, .runs = &run, .run_count = 1 });
  assert_true (fl_core_prepare_heartbeat (fixture->core, &target, fixture->now_ms, &heartbeat));
  add_target (fixture, "t2", 4, false);
  fl_core_handle_heartbeat_reply (fixture->core, &target, &no_reply, fixture->now_ms,
                                  fixture->now_ms);
  tick_until_recorded (fixture, TARGET_LEASE_MS);
  assert_int_equal (fixture->start_orders->len, 1);
  tick_until_recorded (fixture, 300);
  assert_int_equal (fixture->start_orders->len, 2);
  assert_string_equal (get_start_order (fixture, 1)->target.data, "t2");
  fixture_free (fixture);
}

/* A start that could not be sent is retried on another target: immediately, or after a back-off if
 * a gap of 120 ms or more between ticks shows that this host is overloaded. */
static void
test_start_not_sent (void **state)
{
  static const struct
  {
    int64_t tick_gap_ms; /* between the last two ticks */
    guint start_count;   /* start orders 10 ms after the reply */
  } cases[] = { { 50, 2 }, { 250, 1 } };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fixture *fixture = fixture_new (0);
      add_target (fixture, "t1", 4, false);
      add_target (fixture, "t2", 4, false);
      add_job (fixture, "a", "urgent", (struct fl_step_spec){ .count = 1, .cpu_milli = 1000 });
      tick_until_recorded (fixture, 0);
      fixture->now_ms += cases[i].tick_gap_ms;
      fl_core_tick (fixture->core, fixture->now_ms, fixture->now_ms);
      fl_core_handle_start_reply (fixture->core, &get_start_order (fixture, 0)->task, 1,
                                  FL_ORDER_NOT_SENT, fixture->now_ms);
      tick_until_recorded (fixture, 10);
      assert_int_equal (fixture->start_orders->len, cases[i].start_count);
      tick_until_recorded (fixture, 400);
      assert_int_equal (fixture->start_orders->len, 2);
      fixture_free (fixture);
    }
}

/* A reply of another boot at the address of a target proves that the target's boot has ended. */
static void
test_address_taken_over (void **state)
{
  struct fixture *fixture = fixture_new (0);
  struct fl_name target = fl_name_of ("t1");
  struct fl_order_reply other_boot = { .result = FL_ORDER_OTHER_BOOT };

  (void)state;
  add_target (fixture, "t1", 4, false);
  add_job (fixture, "a", "urgent", (struct fl_step_spec){ .count = 1, .cpu_milli = 1000 });
  tick_until_recorded (fixture, 0);
  confirm_start (fixture, 0);
  add_target (fixture, "t2", 4, false);
  fl_core_handle_heartbeat_reply (fixture->core, &target, &other_boot, fixture->now_ms,
                                  fixture->now_ms);
  tick_until_recorded (fixture, 10);
  assert_int_equal (fixture->start_orders->len, 2);
  fixture_free (fixture);
}

/* A heartbeat long after the previous reply does not use the target's clock and end numbers: they
 * are valid for one boot, which may have ended since. */
static void
test_heartbeat_after_gap (void **state)
{
  struct fixture *fixture = fixture_new (0);
  struct fl_name target = fl_name_of ("t1");
  struct fl_end_row end = { .number = 7, .task = fl_name_of ("z.0.0.0"), .run = 1 };
  struct fl_core_record records[4];
  struct fl_heartbeat_order heartbeat;

  (void)state;
  add_target (fixture, "t1", 4, false);
  deliver_report (fixture, "t1",
                  (struct fl_target_report){ .booted_at_ms = 1, .ends = &end, .end_count = 1 });
  assert_int_equal (fl_core_collect_records (fixture->core, records, 4), 0);
  assert_true (fl_core_prepare_heartbeat (fixture->core, &target, fixture->now_ms, &heartbeat));
  assert_int_equal (heartbeat.last_recorded_end, 7);
  assert_true (heartbeat.deadline_ms > 0);
  fixture->now_ms += 1000;
  assert_true (fl_core_prepare_heartbeat (fixture->core, &target, fixture->now_ms, &heartbeat));
  assert_int_equal (heartbeat.last_recorded_end, 0);
  assert_int_equal (heartbeat.deadline_ms, 0);
  fixture_free (fixture);
}

/* A heartbeat to a target with an urgent task is lost in transit. The owner must notice the end of
 * the task within a few hundred milliseconds, not after a second or two: such a heartbeat waits
 * only briefly at the target, and the next one is sent immediately after the first loss. */
static void
test_lost_heartbeat (void **state)
{
  struct fixture *fixture = fixture_new (0);
  struct fl_name target = fl_name_of ("t1");
  struct fl_order_reply no_reply = { .result = FL_ORDER_NO_REPLY };
  struct fl_heartbeat_order heartbeat;

  (void)state;
  add_target (fixture, "t1", 4, false);
  assert_true (fl_core_prepare_heartbeat (fixture->core, &target, fixture->now_ms, &heartbeat));
  assert_int_equal (heartbeat.wait_ms, 1000);
  add_job (fixture, "a", "urgent", (struct fl_step_spec){ .count = 1, .cpu_milli = 1000 });
  tick_until_recorded (fixture, 0);
  assert_true (fl_core_prepare_heartbeat (fixture->core, &target, fixture->now_ms, &heartbeat));
  assert_true (heartbeat.wait_ms <= 300);
  fixture->now_ms += 600;
  for (int attempt = 0; attempt < 2; attempt++)
    {
      fl_core_handle_heartbeat_reply (fixture->core, &target, &no_reply, fixture->now_ms,
                                      fixture->now_ms);
      assert_int_equal (
          fl_core_prepare_heartbeat (fixture->core, &target, fixture->now_ms, &heartbeat),
          attempt == 0);
    }
  fixture->now_ms += 300;
  assert_true (fl_core_prepare_heartbeat (fixture->core, &target, fixture->now_ms, &heartbeat));
  fixture_free (fixture);
}

/* An end is acknowledged to its target, which may then forget it, only after it is recorded. */
static void
test_end_acknowledged_after_recording (void **state)
{
  struct fixture *fixture = fixture_new (0);
  struct fl_name target = fl_name_of ("t1");
  struct fl_end_row end = { .number = 1, .task = fl_name_of ("a.0.0.0"), .run = 1 };
  struct fl_core_record records[4];
  struct fl_heartbeat_order heartbeat;

  (void)state;
  add_target (fixture, "t1", 4, false);
  add_job (fixture, "a", "urgent", (struct fl_step_spec){ .count = 1, .cpu_milli = 1000 });
  tick_until_recorded (fixture, 0);
  confirm_start (fixture, 0);
  fixture->now_ms += 10;
  deliver_report (fixture, "t1",
                  (struct fl_target_report){ .booted_at_ms = 1, .ends = &end, .end_count = 1 });
  for (int attempt = 0; attempt < 2; attempt++)
    {
      assert_int_equal (fl_core_collect_records (fixture->core, records, 4), 1);
      assert_int_equal (recorded_state (&records[0]), FL_JOB_COMPLETED);
      fl_str_clear (&records[0].progress);
      fixture->now_ms += 310;
      if (fl_core_prepare_heartbeat (fixture->core, &target, fixture->now_ms, &heartbeat))
        assert_int_equal (heartbeat.last_recorded_end, 0);
      fl_core_finish_records (fixture->core, attempt == 1, fixture->now_ms);
    }
  deliver_report (fixture, "t1",
                  (struct fl_target_report){ .booted_at_ms = 1, .ends = &end, .end_count = 1 });
  assert_true (fl_core_prepare_heartbeat (fixture->core, &target, fixture->now_ms, &heartbeat));
  assert_int_equal (heartbeat.last_recorded_end, 1);
  fixture_free (fixture);
}

/* A run that is not the current run of any task is stopped. Its resources are unknown, so that its
 * target gets no new tasks until it has ended. */
static void
test_stale_run (void **state)
{
  struct fixture *fixture = fixture_new (0);
  struct fl_run_row run = { .task = fl_name_of ("unknown.0.0.0"), .run = 5 };

  (void)state;
  add_target (fixture, "t1", 4, false);
  deliver_report (fixture, "t1",
                  (struct fl_target_report){ .booted_at_ms = 1, .runs = &run, .run_count = 1 });
  assert_int_equal (fixture->stop_orders->len, 1);
  add_job (fixture, "a", "urgent", (struct fl_step_spec){ .count = 1, .cpu_milli = 1000 });
  tick_until_recorded (fixture, 10);
  assert_int_equal (fixture->start_orders->len, 0);
  deliver_report (fixture, "t1", (struct fl_target_report){ .booted_at_ms = 1 });
  tick_until_recorded (fixture, 10);
  assert_int_equal (fixture->start_orders->len, 1);
  fixture_free (fixture);
}

static void
test_cancelled_job (void **state)
{
  struct fixture *fixture = fixture_new (0);
  struct fl_name id = fl_name_of ("a");

  (void)state;
  add_target (fixture, "t1", 1, false);
  add_job (fixture, "a", "urgent", (struct fl_step_spec){ .count = 2, .cpu_milli = 1000 });
  tick_until_recorded (fixture, 0);
  confirm_start (fixture, 0);
  fl_core_cancel_job (fixture->core, &id);
  tick_until_recorded (fixture, 10);
  assert_int_equal (fixture->stop_orders->len, 1);
  assert_int_equal (fixture->start_orders->len, 1);
  fixture_free (fixture);
}

static void
test_attempts_max (void **state)
{
  struct fixture *fixture = fixture_new (0);
  struct fl_end_row end
      = { .number = 1, .task = fl_name_of ("a.0.0.0"), .run = 1, .cause = FL_END_FAILED };

  (void)state;
  add_target (fixture, "t1", 4, false);
  add_job (fixture, "a", "urgent", (struct fl_step_spec){ .count = 1, .cpu_milli = 1000 });
  tick_until_recorded (fixture, 0);
  confirm_start (fixture, 0);
  fixture->now_ms += 10;
  deliver_report (fixture, "t1",
                  (struct fl_target_report){ .booted_at_ms = 1, .ends = &end, .end_count = 1 });
  tick_until_recorded (fixture, 10);
  assert_int_equal (fixture->start_orders->len, 2);
  confirm_start (fixture, 1);
  fixture->now_ms += 10;
  end.number = 2;
  end.run = 2;
  deliver_report (fixture, "t1",
                  (struct fl_target_report){ .booted_at_ms = 1, .ends = &end, .end_count = 1 });
  tick_until_recorded (fixture, 10);
  assert_int_equal (fixture->start_orders->len, 2);
  fixture_free (fixture);
}

/* Targets report the second failure of a task to a new owner before the first: both count. */
static void
test_failures_in_any_order (void **state)
{
  struct fixture *fixture = fixture_new (0);
  struct fl_end_row ends[] = {
    { .number = 1, .task = fl_name_of ("a.0.0.0"), .run = 2, .cause = FL_END_FAILED },
    { .number = 1, .task = fl_name_of ("a.0.0.0"), .run = 1, .cause = FL_END_FAILED },
  };

  (void)state;
  add_job (fixture, "a", "urgent", (struct fl_step_spec){ .count = 1, .cpu_milli = 1000 });
  add_target (fixture, "t1", 4, false);
  deliver_report (fixture, "t1",
                  (struct fl_target_report){ .booted_at_ms = 1, .ends = &ends[0], .end_count = 1 });
  add_target (fixture, "t2", 4, false);
  deliver_report (fixture, "t2",
                  (struct fl_target_report){ .booted_at_ms = 1, .ends = &ends[1], .end_count = 1 });
  tick_until_recorded (fixture, 10);
  assert_int_equal (fixture->start_orders->len, 0);
  fixture_free (fixture);
}

/* --- load patterns --- */

/* A best-effort task is slowed down before the latency of a serving task reaches its bound, and
 * sped up again only below a lower threshold. */
static void
test_throttling (void **state)
{
  struct fixture *fixture = fixture_new (0);
  struct fl_run_row runs[] = { { .task = fl_name_of ("serve.0.0.0"), .run = 1 },
                               { .task = fl_name_of ("fill.0.0.0"), .run = 1 } };
  static const struct
  {
    int64_t tail_latency_ms;
    int64_t share_percent; /* of the best-effort task, after the report */
  } cases[] = { { 50, 100 }, { 85, 50 }, { 90, 25 }, { 70, 25 }, { 40, 45 }, { 40, 65 } };

  (void)state;
  add_target (fixture, "t1", 8, false);
  add_job (fixture, "serve", "urgent",
           (struct fl_step_spec){
               .count = 1, .cpu_milli = 1000, .long_running = true, .latency_bound_ms = 100 });
  add_job (fixture, "fill", "slow",
           (struct fl_step_spec){ .count = 1, .cpu_milli = 1000, .best_effort = true });
  tick_until_recorded (fixture, 0);
  confirm_start (fixture, 0);
  confirm_start (fixture, 1);
  int64_t share_percent = 100;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fixture->now_ms += 500;
      runs[0].gauge = cases[i].tail_latency_ms;
      deliver_report (fixture, "t1",
                      (struct fl_target_report){ .booted_at_ms = 1, .runs = runs, .run_count = 2 });
      if (fixture->throttle_orders->len > 0)
        share_percent = g_array_index (fixture->throttle_orders, struct fl_run_order,
                                       fixture->throttle_orders->len - 1)
                            .share_percent;
      assert_int_equal (share_percent, cases[i].share_percent);
    }
  fixture_free (fixture);
}

/* Tasks that save checkpoints are stopped before a draining target leaves; others keep running. */
static void
test_evacuation (void **state)
{
  struct fixture *fixture = fixture_new (0);
  struct fl_run_row runs[]
      = { { .task = fl_name_of ("saves.0.0.0"), .run = 1, .progress_percent = 10 },
          { .task = fl_name_of ("loses.0.0.0"), .run = 1, .progress_percent = 10 } };

  (void)state;
  add_target (fixture, "t1", 8, false);
  add_job (fixture, "saves", "urgent",
           (struct fl_step_spec){ .count = 1, .cpu_milli = 1000, .checkpoints = true });
  add_job (fixture, "loses", "urgent", (struct fl_step_spec){ .count = 1, .cpu_milli = 1000 });
  tick_until_recorded (fixture, 0);
  confirm_start (fixture, 0);
  confirm_start (fixture, 1);
  fixture->now_ms += 1000;
  deliver_report (fixture, "t1",
                  (struct fl_target_report){ .booted_at_ms = 1, .runs = runs, .run_count = 2 });
  add_target (fixture, "t1", 8, true);
  deliver_report (fixture, "t1",
                  (struct fl_target_report){ .booted_at_ms = 1, .runs = runs, .run_count = 2 });
  tick_until_recorded (fixture, 10);
  assert_int_equal (fixture->stop_orders->len, 1);
  assert_string_equal (g_array_index (fixture->stop_orders, struct fl_run_order, 0).task.data,
                       "saves.0.0.0");
  fixture_free (fixture);
}

/* A target hangs but still reports good health: a task without progress for 1500 ms is stopped, to
 * be started elsewhere. */
static void
test_stalled_task (void **state)
{
  struct fixture *fixture = fixture_new (0);
  struct fl_run_row run = { .task = fl_name_of ("a.0.0.0"), .run = 1, .progress_percent = 20 };

  (void)state;
  add_target (fixture, "t1", 4, false);
  add_job (fixture, "a", "urgent", (struct fl_step_spec){ .count = 1, .cpu_milli = 1000 });
  tick_until_recorded (fixture, 0);
  confirm_start (fixture, 0);
  for (int i = 0; i < 2; i++)
    {
      fixture->now_ms += 800;
      deliver_report (fixture, "t1",
                      (struct fl_target_report){ .booted_at_ms = 1, .runs = &run, .run_count = 1 });
      assert_int_equal (fixture->stop_orders->len, 0);
    }
  fixture->now_ms += 800;
  deliver_report (fixture, "t1",
                  (struct fl_target_report){ .booted_at_ms = 1, .runs = &run, .run_count = 1 });
  assert_int_equal (fixture->stop_orders->len, 1);
  fixture_free (fixture);
}

/* A report that waited in the socket while the owner's process did not run shows the progress at
 * the time when it was made. */
static void
test_report_read_late (void **state)
{
  static const struct
  {
    int64_t made_after_ms; /* since the progress last changed */
    int64_t read_after_ms; /* since the report was made */
    int stops;
  } cases[] = { { 600, 0, 0 },
                { 1300, 250, 0 },
                { 1520, 0, 1 },
                { 1520, 250, 1 },
                /* Too old to say anything of the target. */
                { 1600, 900, 0 } };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fixture *fixture = fixture_new (0);
      struct fl_run_row run = { .task = fl_name_of ("a.0.0.0"), .run = 1, .progress_percent = 20 };
      struct fl_target_report report = { .booted_at_ms = 1, .runs = &run, .run_count = 1 };
      struct fl_order_reply reply = { .result = FL_ORDER_DONE, .report = &report };
      struct fl_name target = fl_name_of ("t1");

      add_target (fixture, "t1", 4, false);
      add_job (fixture, "a", "urgent", (struct fl_step_spec){ .count = 1, .cpu_milli = 1000 });
      tick_until_recorded (fixture, 0);
      confirm_start (fixture, 0);
      deliver_report (fixture, "t1", report);
      report.clock_ms = fixture->now_ms + cases[i].made_after_ms;
      fixture->now_ms = report.clock_ms + cases[i].read_after_ms;
      fl_core_handle_heartbeat_reply (fixture->core, &target, &reply, report.clock_ms - 1,
                                      fixture->now_ms);
      if ((int)fixture->stop_orders->len != cases[i].stops)
        fail_msg ("made after %d ms, read %d ms later: %u stops", (int)cases[i].made_after_ms,
                  (int)cases[i].read_after_ms, fixture->stop_orders->len);
      fixture_free (fixture);
    }
}

/* More jobs arrive than can meet their latency objective: jobs that still can are started before
 * those that are late. */
static void
test_late_jobs_start_last (void **state)
{
  struct fixture *fixture = fixture_new (0);
  struct fl_end_row end = { .number = 1, .task = fl_name_of ("first.0.0.0"), .run = 1 };

  (void)state;
  add_target (fixture, "t1", 1, false);
  add_job (fixture, "first", "urgent", (struct fl_step_spec){ .count = 1, .cpu_milli = 1000 });
  tick_until_recorded (fixture, 0);
  confirm_start (fixture, 0);
  add_job (fixture, "old", "urgent", (struct fl_step_spec){ .count = 1, .cpu_milli = 1000 });
  fixture->now_ms += 1000;
  add_job (fixture, "new", "urgent", (struct fl_step_spec){ .count = 1, .cpu_milli = 1000 });
  deliver_report (fixture, "t1",
                  (struct fl_target_report){ .booted_at_ms = 1, .ends = &end, .end_count = 1 });
  tick_until_recorded (fixture, 10);
  assert_int_equal (fixture->start_orders->len, 2);
  assert_true (g_str_has_prefix (get_start_order (fixture, 1)->task.data, "new"));
  fixture_free (fixture);
}

/* --- records --- */

/* A task is started only after its target is recorded for its job, where a successor reads it. */
static void
test_start_waits_for_record (void **state)
{
  struct fixture *fixture = fixture_new (0);

  (void)state;
  add_target (fixture, "t1", 4, false);
  add_job (fixture, "a", "urgent", (struct fl_step_spec){ .count = 1, .cpu_milli = 1000 });
  fl_core_tick (fixture->core, fixture->now_ms, fixture->now_ms);
  assert_int_equal (fixture->start_orders->len, 0);
  assert_int_equal (store_records (fixture), 1);
  fl_core_tick (fixture->core, fixture->now_ms, fixture->now_ms);
  assert_int_equal (fixture->start_orders->len, 1);
  fixture_free (fixture);
}

/* An owner records a job for which its predecessor left no record, while an inherited target has
 * not reported. The record must say that tasks of the job may run on any target, since the next
 * owner relies on it (seed 95 of test_core_cell). */
static void
test_unrecorded_job_stays_unreconciled (void **state)
{
  struct fixture *fixture = fixture_new_unreconciled (0, 200000);
  struct fl_name inherited = fl_name_of ("t2");
  struct fl_end_row end = { .number = 1, .task = fl_name_of ("a.0.0.0"), .run = 1 };
  struct fl_core_record records[4];

  (void)state;
  fl_core_set_jobs_known (fixture->core);
  fl_core_inherit_target (fixture->core, &inherited, &inherited);
  add_target (fixture, "t1", 4, false);
  add_job (fixture, "a", "urgent", (struct fl_step_spec){ .count = 2, .cpu_milli = 1000 });
  deliver_report (fixture, "t1",
                  (struct fl_target_report){ .booted_at_ms = 1, .ends = &end, .end_count = 1 });
  assert_int_equal (fl_core_collect_records (fixture->core, records, 4), 1);
  assert_true (records_any_target (&records[0]));
  fl_str_clear (&records[0].progress);
  fl_core_finish_records (fixture->core, true, fixture->now_ms);
  fixture_free (fixture);
}

/* A job whose targets have all reported waited for a target of other jobs, since a slow store made
 * its owner record that its tasks may run on any target. */
static void
test_reconciled_job_is_not_blocked_by_slow_store (void **state)
{
  struct fixture *fixture = fixture_new_unreconciled (0, 200000);
  struct fl_name targets[] = { fl_name_of ("t1"), fl_name_of ("t2") };
  struct fl_job_target row = { fl_job_target_hash (&targets[0]) };
  struct fl_job_progress progress = { .state = FL_JOB_RUNNING, .targets = { 1, &row } };
  struct fl_step_spec step = { .count = 1, .cpu_milli = 1000, .label = fl_name_of ("t3") };
  struct fl_core_record records[4];

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (targets); i++)
    fl_core_inherit_target (fixture->core, &targets[i], &targets[i]);
  fl_core_set_jobs_known (fixture->core);
  add_target (fixture, "t1", 4, false);
  add_target (fixture, "t3", 4, false);
  add_recorded_job (fixture, "a", "urgent", step, &progress);
  fl_core_tick (fixture->core, fixture->now_ms, fixture->now_ms);
  assert_int_equal (fl_core_collect_records (fixture->core, records, 4), 1);
  fl_str_clear (&records[0].progress);
  fixture->now_ms += 300;
  add_recorded_job (fixture, "b", "urgent", step, &progress);
  fl_core_tick (fixture->core, fixture->now_ms, fixture->now_ms);
  fl_core_finish_records (fixture->core, true, fixture->now_ms);
  tick_until_recorded (fixture, 50);
  tick_until_recorded (fixture, 50);
  assert_int_equal (fixture->start_orders->len, 2);
  fixture_free (fixture);
}

/* Records the list of targets. @return the number of targets in it. */
static guint
record_target_list (struct fixture *fixture)
{
  GArray *names = fl_core_collect_target_list (fixture->core);
  guint count = names->len / 2;

  g_array_unref (names);
  fl_core_finish_target_list (fixture->core, true);
  return count;
}

/* A draining target without runs stays in the recorded list of targets, which a successor inherits,
 * until the ends that it reported are recorded. So does a target that has left the registry (seed
 * 30744 of test_core_cell). */
static void
test_target_listed_until_ends_are_recorded (void **state)
{
  static const bool leaves_registry[] = { false, true };
  struct fl_end_row end = { .number = 1, .task = fl_name_of ("a.0.0.0"), .run = 1 };
  struct fl_name target = fl_name_of ("t1");

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (leaves_registry); i++)
    {
      struct fixture *fixture = fixture_new (0);
      add_target (fixture, "t1", 4, false);
      add_job (fixture, "a", "urgent", (struct fl_step_spec){ .count = 1, .cpu_milli = 1000 });
      tick_until_recorded (fixture, 0);
      confirm_start (fixture, 0);
      fixture->now_ms += 20;
      deliver_report (fixture, "t1",
                      (struct fl_target_report){ .booted_at_ms = 1, .ends = &end, .end_count = 1 });
      if (leaves_registry[i])
        fl_core_remove_target (fixture->core, &target);
      else
        add_target (fixture, "t1", 4, true);
      fl_core_tick (fixture->core, fixture->now_ms, fixture->now_ms);
      assert_int_equal (record_target_list (fixture), 1);
      tick_until_recorded (fixture, 20);
      tick_until_recorded (fixture, 20);
      assert_int_equal (record_target_list (fixture), 0);
      fixture_free (fixture);
    }
}

/* No further advice query is sent while eligible targets wait to be recorded for the job. */
static void
test_no_query_while_recording (void **state)
{
  struct fixture *fixture = fixture_new (0);
  struct fl_advised_target eligible[2];
  struct fl_advice_reply reply
      = { .received = true, .targets = eligible, .count = 2, .tickets_valid_ms = 2500 };
  const char *const names[] = { "t1", "t2", "t3", "t4", "t5", "t6", "t7", "t8", "t9" };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    add_target (fixture, names[i], 1, false);
  add_job (fixture, "a", "advised", (struct fl_step_spec){ .count = 2, .cpu_milli = 1000 });
  tick_until_recorded (fixture, 0);
  assert_int_equal (fixture->query_count, 1);
  for (size_t i = 0; i < G_N_ELEMENTS (eligible); i++)
    eligible[i]
        = (struct fl_advised_target){ g_array_index (fixture->queried_targets, struct fl_name, i),
                                      fl_name_of ("ticket") };
  fl_core_handle_advice_reply (fixture->core, &fixture->queried_step,
                               (struct fl_name *)fixture->queried_targets->data,
                               fixture->queried_targets->len, &reply, fixture->now_ms);
  fl_core_tick (fixture->core, fixture->now_ms, fixture->now_ms);
  assert_int_equal (fixture->start_orders->len, 0);
  assert_int_equal (fixture->query_count, 1);
  tick_until_recorded (fixture, 10);
  assert_int_equal (fixture->start_orders->len, 2);
  fixture_free (fixture);
}

/* While the store takes over 100 ms for a transaction, jobs that have no record in the store start
 * without waiting for one: a successor assumes that their tasks may run on any target. A job with a
 * record waits, because the record may lack the target. */
static void
test_start_with_slow_store (void **state)
{
  struct fixture *fixture = fixture_new (0);
  struct fl_core_record records[4];

  (void)state;
  add_target (fixture, "t1", 4, false);
  add_job (fixture, "a", "urgent", (struct fl_step_spec){ .count = 1, .cpu_milli = 1000 });
  fl_core_tick (fixture->core, fixture->now_ms, fixture->now_ms);
  assert_int_equal (fl_core_collect_records (fixture->core, records, 4), 1);
  assert_false (records_any_target (&records[0]));
  fl_str_clear (&records[0].progress);
  add_job (fixture, "b", "urgent", (struct fl_step_spec){ .count = 1, .cpu_milli = 1000 });
  fixture->now_ms += 101;
  fl_core_tick (fixture->core, fixture->now_ms, fixture->now_ms);
  assert_int_equal (fixture->start_orders->len, 1);
  assert_true (g_str_has_prefix (get_start_order (fixture, 0)->task.data, "b"));
  fl_core_finish_records (fixture->core, true, fixture->now_ms);
  assert_int_equal (fl_core_collect_records (fixture->core, records, 4), 2);
  for (int i = 0; i < 2; i++)
    {
      assert_true (records_any_target (&records[i]));
      fl_str_clear (&records[i].progress);
    }
  fixture_free (fixture);
}

static size_t
recorded_checkpoints (struct fixture *fixture)
{
  struct fl_core_record record;
  size_t count = 0;

  fixture->now_ms += 10;
  fl_core_tick (fixture->core, fixture->now_ms, fixture->now_ms);
  assert_int_equal (fl_core_collect_records (fixture->core, &record, 1), 1);
  struct fl_job_progress progress = decode_record (&record);
  const struct fl_task_progress *tasks = progress.tasks.items;
  for (size_t i = 0; i < progress.tasks.count; i++)
    count += tasks[i].checkpoint.len > 0 ? 1 : 0;
  fl_job_progress_clear (&progress);
  fl_str_clear (&record.progress);
  fl_core_finish_records (fixture->core, true, fixture->now_ms);
  return count;
}

/* Load pattern: jobs of tens of tasks with checkpoints run on a slow link, and each end of a task
 * writes the record of its job. The record contains no checkpoints of running tasks, which their
 * targets list, but that of a task that was stopped. */
static void
test_recorded_checkpoints (void **state)
{
  struct fixture *fixture = fixture_new (0);
  struct fl_run_row runs[] = {
    { .task = fl_name_of ("a.0.0.0"), .run = 1, .checkpoint = fl_str_of ("c0") },
    { .task = fl_name_of ("a.0.0.1"), .run = 1, .checkpoint = fl_str_of ("c1") },
    { .task = fl_name_of ("a.0.0.2"), .run = 1, .checkpoint = fl_str_of ("c2") },
  };
  struct fl_end_row end
      = { .number = 1, .task = fl_name_of ("a.0.0.0"), .run = 1, .checkpoint = { 0, NULL } };

  (void)state;
  add_target (fixture, "t1", 3, false);
  add_job (fixture, "a", "urgent",
           (struct fl_step_spec){ .count = 3, .cpu_milli = 1000, .checkpoints = true });
  tick_until_recorded (fixture, 0);
  for (guint i = 0; i < 3; i++)
    confirm_start (fixture, i);
  fixture->now_ms += 10;
  deliver_report (fixture, "t1",
                  (struct fl_target_report){ .booted_at_ms = 1, .runs = runs, .run_count = 3 });
  deliver_report (
      fixture, "t1",
      (struct fl_target_report){
          .booted_at_ms = 1, .runs = runs + 1, .run_count = 2, .ends = &end, .end_count = 1 });
  assert_int_equal (recorded_checkpoints (fixture), 0);
  end = (struct fl_end_row){ 2, fl_name_of ("a.0.0.1"), 1, FL_END_STOPPED, { 2, (char *)"c1" } };
  deliver_report (
      fixture, "t1",
      (struct fl_target_report){
          .booted_at_ms = 1, .runs = runs + 2, .run_count = 1, .ends = &end, .end_count = 1 });
  add_entry (fixture, "t1", 1, true); /* so that the stopped task waits */
  assert_int_equal (recorded_checkpoints (fixture), 1);
  for (size_t i = 0; i < G_N_ELEMENTS (runs); i++)
    fl_str_clear (&runs[i].checkpoint);
  fixture_free (fixture);
}

/* Load pattern: after an outage a backlog is due at once, on a host whose link takes a tenth of its
 * starts a second. Starts keep to their rate, urgent ones first, and all of them are ordered in
 * time. */
static void
test_rate_of_starts (void **state)
{
  enum
  {
    BYTES_PER_S = 20000,
    PAYLOAD_BYTES = 1000,
    JOBS = 100,
    TICK_MS = 10,
    TICKS = 700,
    BURST_PER_S = 4 /* a burst is a quarter of a second of the rate */
  };
  struct fixture *fixture = fixture_new_limited (BYTES_PER_S);
  char payload[PAYLOAD_BYTES + 1];

  (void)state;
  memset (payload, 'x', PAYLOAD_BYTES);
  payload[PAYLOAD_BYTES] = '\0';
  add_target (fixture, "t1", 10 * JOBS, false);
  for (int i = 0; i < JOBS; i++)
    {
      g_autofree char *id = g_strdup_printf ("%s-%d", i % 2 == 0 ? "slow" : "fast", i);
      struct fl_step_spec step = { .count = 1, .cpu_milli = 1000 };
      struct fl_job_spec spec = { .id = fl_name_of (id),
                                  .queue = fl_name_of (i % 2 == 0 ? "slow" : "urgent"),
                                  .team = fl_name_of ("w"),
                                  .accepted_ms = fixture->now_ms,
                                  .text = fl_str_of (payload),
                                  .steps = { 1, g_memdup2 (&step, sizeof step) } };
      fl_core_add_job (fixture->core, &spec, i, NULL);
    }
  for (int i = 1; i <= TICKS; i++)
    {
      int64_t allowed_bytes = BYTES_PER_S * (int64_t)i * TICK_MS / 1000 + BYTES_PER_S / BURST_PER_S;
      tick_until_recorded (fixture, TICK_MS);
      deliver_report (fixture, "t1", (struct fl_target_report){ .booted_at_ms = 1 });
      assert_true ((int64_t)fixture->start_orders->len * PAYLOAD_BYTES
                   <= allowed_bytes + 2 * PAYLOAD_BYTES);
    }
  assert_int_equal (fixture->start_orders->len, JOBS);
  for (guint i = 0; i < JOBS; i++)
    assert_true (
        g_str_has_prefix (get_start_order (fixture, i)->task.data, i < JOBS / 2 ? "fast" : "slow"));
  fixture_free (fixture);
}

/* Load pattern: a new owner reads hundreds of jobs through a slow link, for longer than the leases
 * of the running tasks. Its heartbeats renew these leases and stop nothing. Once the jobs are
 * known, a task whose target went silent meanwhile waits for the end of the lease that was renewed
 * last. */
static void
test_heartbeats_before_jobs_are_known (void **state)
{
  struct fixture *fixture = fixture_new_unreconciled (0, 100000 + TARGET_LEASE_MS);
  struct fl_name target = fl_name_of ("t1");
  struct fl_name address = fl_name_of ("t1");
  struct fl_run_row run = { .task = fl_name_of ("a.0.0.0"), .run = 1 };
  struct fl_heartbeat_order order;
  struct fl_order_reply no_reply = { .result = FL_ORDER_NO_REPLY };
  int renewed = 0;
  int64_t last_renewal_ms = 0;

  (void)state;
  fl_core_inherit_target (fixture->core, &target, &address);
  add_target_entry (fixture, "t1");
  add_target_entry (fixture, "t2");
  for (int64_t end_ms = fixture->now_ms + 3350; fixture->now_ms < end_ms; fixture->now_ms += 50)
    while (fl_core_prepare_heartbeats (fixture->core, fixture->now_ms, &order, 1) > 0)
      {
        if (order.deadline_ms > 0 && fl_name_eq (&order.target, &target))
          {
            renewed++;
            last_renewal_ms = fixture->now_ms;
          }
        assert_int_equal (order.last_recorded_end, 0);
        assert_int_equal (order.wait_ms, 0);
        deliver_report (
            fixture, order.target.data,
            (struct fl_target_report){ .booted_at_ms = 1,
                                       .runs = &run,
                                       .run_count = fl_name_eq (&order.target, &target) ? 1 : 0 });
      }
  assert_true (renewed >= 3);
  assert_int_equal (fixture->stop_orders->len, 0);
  add_job (fixture, "a", "urgent", (struct fl_step_spec){ .count = 1, .cpu_milli = 1000 });
  fl_core_set_jobs_known (fixture->core);
  /* Both targets are asked for their reports at once. This may renew a lease although its reply is
   * lost. */
  for (int i = 0; i < 2; i++)
    {
      assert_int_equal (fl_core_prepare_heartbeats (fixture->core, fixture->now_ms, &order, 1), 1);
      if (order.deadline_ms > 0 && fl_name_eq (&order.target, &target))
        last_renewal_ms = fixture->now_ms;
    }
  deliver_report (fixture, "t2", (struct fl_target_report){ .booted_at_ms = 1 });
  fl_core_handle_heartbeat_reply (fixture->core, &target, &no_reply, fixture->now_ms,
                                  fixture->now_ms);
  while (fixture->start_orders->len == 0)
    tick_until_recorded (fixture, 50);
  assert_true (fixture->now_ms >= last_renewal_ms + TARGET_LEASE_MS);
  assert_string_equal (get_start_order (fixture, 0)->target.data, "t2");
  fixture_free (fixture);
}

/* Load pattern: jobs of thousands of tasks run at once. The progress of one fits a row of the
 * store, and all records that are collected at once fit a transaction. */
static void
test_record_sizes (void **state)
{
  enum
  {
    JOBS = 90,
    TASKS = 2000,
    ROW_BYTES_MAX = 65536,
    TRANSACTION_BYTES_MAX = 1000000
  };
  struct fixture *fixture = fixture_new (0);
  struct fl_core_record records[JOBS];
  size_t recorded = 0;

  (void)state;
  for (int i = 0; i < JOBS; i++)
    {
      /* Alternating tasks are done, and the others have left checkpoints. */
      g_autoptr (GArray) done = g_array_new (FALSE, TRUE, sizeof (struct fl_done_range));
      g_autoptr (GArray) tasks = g_array_new (FALSE, TRUE, sizeof (struct fl_task_progress));
      struct fl_job_progress progress = { .state = FL_JOB_RUNNING };
      struct fl_step_spec step = { .count = TASKS, .cpu_milli = 1000 };
      struct fl_job_spec spec = { .id = fl_name_format ("job-%d", i),
                                  .queue = fl_name_of ("urgent"),
                                  .team = fl_name_of ("w"),
                                  .accepted_ms = fixture->now_ms,
                                  .text = fl_str_of ("x"),
                                  .steps = { 1, g_memdup2 (&step, sizeof step) } };
      for (int j = 0; j < TASKS; j += 2)
        {
          struct fl_done_range range = { 0, 0, j, 1 };
          struct fl_task_progress task
              = { 0, 0, j + 1, false, { 0 }, { 16, (char *)"00000bb87a21d94b" } };
          g_array_append_val (done, range);
          g_array_append_val (tasks, task);
        }
      progress.done = (struct fl_array){ done->len, done->data };
      progress.tasks = (struct fl_array){ tasks->len, tasks->data };
      fl_core_add_job (fixture->core, &spec, 1, &progress);
    }
  add_target (fixture, "t1", JOBS * TASKS, false);
  fl_core_tick (fixture->core, fixture->now_ms, fixture->now_ms);
  for (size_t count; (count = fl_core_collect_records (fixture->core, records, JOBS)) > 0;)
    {
      size_t encoded_bytes = 0;
      for (size_t i = 0; i < count; i++)
        {
          assert_true (records[i].progress.len <= ROW_BYTES_MAX);
          encoded_bytes += (records[i].progress.len + 2) / 3 * 4; /* base64 */
          fl_str_clear (&records[i].progress);
        }
      assert_true (encoded_bytes < TRANSACTION_BYTES_MAX);
      fl_core_finish_records (fixture->core, true, fixture->now_ms);
      recorded += count;
    }
  assert_int_equal (recorded, JOBS);
  fixture_free (fixture);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_record_sizes),
    cmocka_unit_test (test_rate_of_starts),
    cmocka_unit_test (test_recorded_checkpoints),
    cmocka_unit_test (test_heartbeats_before_jobs_are_known),
    cmocka_unit_test (test_failures_in_any_order),
    cmocka_unit_test (test_start_with_slow_store),
    cmocka_unit_test (test_start_waits_for_record),
    cmocka_unit_test (test_no_query_while_recording),
    cmocka_unit_test (test_target_listed_until_ends_are_recorded),
    cmocka_unit_test (test_unrecorded_job_stays_unreconciled),
    cmocka_unit_test (test_reconciled_job_is_not_blocked_by_slow_store),
    cmocka_unit_test (test_stalled_task),
    cmocka_unit_test (test_report_read_late),
    cmocka_unit_test (test_late_jobs_start_last),
    cmocka_unit_test (test_target_capacity),
    cmocka_unit_test (test_label_and_limit_per_target),
    cmocka_unit_test (test_priority),
    cmocka_unit_test (test_team_limit),
    cmocka_unit_test (test_team_limit_reserved_for_urgent_tasks),
    cmocka_unit_test (test_team_limit_half_used_is_not_reserved),
    cmocka_unit_test (test_best_effort_tasks),
    cmocka_unit_test (test_gang_all_or_none),
    cmocka_unit_test (test_advice),
    cmocka_unit_test (test_ticket_after_another_target_has_left),
    cmocka_unit_test (test_late_advice_counts),
    cmocka_unit_test (test_advice_query_is_large_enough),
    cmocka_unit_test (test_queries_in_vain_get_larger),
    cmocka_unit_test (test_gang_without_room_is_not_queried),
    cmocka_unit_test (test_room_charged_for_queries_keeps_no_step_waiting),
    cmocka_unit_test (test_low_priority_is_queried_beside_urgent_steps),
    cmocka_unit_test (test_start_reset_repeatedly),
    cmocka_unit_test (test_start_without_reply),
    cmocka_unit_test (test_start_stopped_after_reset),
    cmocka_unit_test (test_silent_target),
    cmocka_unit_test (test_start_not_sent),
    cmocka_unit_test (test_address_taken_over),
    cmocka_unit_test (test_heartbeat_after_gap),
    cmocka_unit_test (test_lost_heartbeat),
    cmocka_unit_test (test_end_acknowledged_after_recording),
    cmocka_unit_test (test_stale_run),
    cmocka_unit_test (test_cancelled_job),
    cmocka_unit_test (test_attempts_max),
    cmocka_unit_test (test_throttling),
    cmocka_unit_test (test_evacuation),
  };

  return cmocka_run_group_tests_name ("core", tests, NULL, NULL);
}
