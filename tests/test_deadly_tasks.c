/* Tasks that crash the targets that start them, and what is concluded from the crash of a target.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "core/core_internal.h"
#include "support_cell.h"
#include "support_core.h"

#define SEED_COUNT 48
#define CORES 8

/* --- targets of a fixture --- */

static void
deliver_runs (struct fixture *fixture,
              const char *target,
              int64_t boot,
              struct fl_run_row *runs,
              size_t count)
{
  deliver_report (
      fixture, target,
      (struct fl_target_report){ .booted_at_ms = boot, .runs = runs, .run_count = count });
}

static struct fl_run_row
make_row (const struct fl_start_order *order)
{
  return (struct fl_run_row){ .task = order->task, .run = order->run };
}

/* How the owner learns that the boot of a target has ended. */
enum evidence
{
  EVIDENCE_NO_LISTENER,
  EVIDENCE_OTHER_ID,   /* another boot answers at the address */
  EVIDENCE_OTHER_BOOT, /* the target has restarted under its id */
};

/* The target @name, whose boots count from 1, crashes and is back at once. */
static void
crash_target (struct fixture *fixture, const char *name, int64_t *boot, enum evidence evidence)
{
  fixture->now_ms += 10;
  deliver_result (fixture, name, FL_ORDER_NO_REPLY);
  fixture->now_ms += 10;
  if (evidence == EVIDENCE_NO_LISTENER)
    deliver_result (fixture, name, FL_ORDER_NO_LISTENER);
  else if (evidence == EVIDENCE_OTHER_ID)
    deliver_result (fixture, name, FL_ORDER_OTHER_BOOT);
  fixture->now_ms += 1000;
  ++*boot;
  deliver_runs (fixture, name, *boot, NULL, 0);
  fixture->now_ms += 10;
  deliver_runs (fixture, name, *boot, NULL, 0);
}

static const char *const target_names[] = { "t1", "t2", "t3", "t4", "t5", "t6" };

/* Makes the targets report for @elapsed_ms; @runs of @target are listed, the others have none. */
static void
let_time_pass (struct fixture *fixture,
               const int64_t *boots,
               int64_t elapsed_ms,
               const char *target,
               struct fl_run_row *runs,
               size_t run_count)
{
  for (int64_t i = 0; i < elapsed_ms; i += 100)
    {
      fixture->now_ms += 100;
      for (size_t j = 0; j < G_N_ELEMENTS (target_names); j++)
        {
          bool lists_runs = target != NULL && strcmp (target_names[j], target) == 0;
          deliver_runs (fixture, target_names[j], boots[j], lists_runs ? runs : NULL,
                        lists_runs ? run_count : 0);
        }
      tick_until_recorded (fixture, 0);
    }
}

/* The same without runs. */
static void
let_idle_time_pass (struct fixture *fixture, const int64_t *boots, int64_t elapsed_ms)
{
  let_time_pass (fixture, boots, elapsed_ms, NULL, NULL, 0);
}

static size_t
find_target (const struct fl_start_order *order)
{
  for (size_t i = 0; i < G_N_ELEMENTS (target_names); i++)
    if (strcmp (order->target.data, target_names[i]) == 0)
      return i;
  fail_msg ("%s is no target", order->target.data);
  return 0;
}

/* Six targets that have been known for a second. */
static struct fixture *
new_fixture (const struct fixture_options *options, int64_t *boots)
{
  struct fixture *fixture = fixture_new_with (options);

  fl_core_set_registry_known (fixture->core);
  fl_core_set_jobs_known (fixture->core);
  for (size_t i = 0; i < G_N_ELEMENTS (target_names); i++)
    {
      boots[i] = 1;
      add_target (fixture, target_names[i], CORES, false);
    }
  let_idle_time_pass (fixture, boots, 1000);
  return fixture;
}

static struct fl_step_spec
make_step (int64_t count, int64_t cpu_milli)
{
  return (struct fl_step_spec){ .count = count, .cpu_milli = cpu_milli, .disruptions_max = -1 };
}

static int64_t
count_given_up (const struct fixture *fixture)
{
  return fl_stats_get (fixture->stats, "tasks_crashing_targets_total");
}

/* The start order with the index @index is confirmed, and crashes its target. */
static void
crash_by_start (struct fixture *fixture, int64_t *boots, guint index, enum evidence evidence)
{
  struct fl_start_order order = *get_start_order (fixture, index);
  size_t target = find_target (&order);

  confirm_start (fixture, index);
  crash_target (fixture, target_names[target], &boots[target], evidence);
  tick_until_recorded (fixture, 0);
  let_idle_time_pass (fixture, boots, 600);
}

/* --- tests --- */

/* A task that crashed its targets was started again without a limit. */
static void
test_task_is_given_up_after_two_crashes (void **state)
{
  static const struct
  {
    const char *name;
    enum evidence evidence[2];
    struct fl_step_spec step;
  } cases[] = {
    { "refused", { EVIDENCE_NO_LISTENER, EVIDENCE_NO_LISTENER }, { .count = 1 } },
    { "address taken over", { EVIDENCE_OTHER_ID, EVIDENCE_OTHER_ID }, { .count = 1 } },
    { "restarted", { EVIDENCE_OTHER_BOOT, EVIDENCE_OTHER_BOOT }, { .count = 1 } },
    { "first refused", { EVIDENCE_NO_LISTENER, EVIDENCE_OTHER_BOOT }, { .count = 1 } },
    { "long-running",
      { EVIDENCE_NO_LISTENER, EVIDENCE_NO_LISTENER },
      { .count = 1, .long_running = true } },
    { "best-effort",
      { EVIDENCE_NO_LISTENER, EVIDENCE_NO_LISTENER },
      { .count = 1, .best_effort = true } },
    { "gang", { EVIDENCE_NO_LISTENER, EVIDENCE_NO_LISTENER }, { .count = 1, .gang = true } },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      int64_t boots[G_N_ELEMENTS (target_names)];
      struct fixture *fixture = new_fixture (&(struct fixture_options){ 0 }, boots);
      struct fl_step_spec step = cases[i].step;
      step.cpu_milli = 1000;
      step.disruptions_max = -1;
      add_job (fixture, "a", "urgent", step);
      tick_until_recorded (fixture, 0);
      for (guint j = 0; j < 2; j++)
        {
          if (fixture->start_orders->len != j + 1)
            fail_msg ("%s: %u starts before crash %u", cases[i].name, fixture->start_orders->len,
                      j + 1);
          crash_by_start (fixture, boots, j, cases[i].evidence[j]);
        }
      let_idle_time_pass (fixture, boots, 5000);
      if (fixture->start_orders->len != 2 || count_given_up (fixture) != 1)
        fail_msg ("%s: %u starts, %d given up", cases[i].name, fixture->start_orders->len,
                  (int)count_given_up (fixture));
      fixture_free (fixture);
    }
}

/* The targets have replied to an order after @reply_ms, which their limits follow. */
static void
set_reply_times (struct fixture *fixture, int64_t reply_ms)
{
  struct fl_order_reply reply = { .result = FL_ORDER_DONE };

  for (size_t i = 0; i < G_N_ELEMENTS (target_names); i++)
    {
      struct fl_name target = fl_name_of (target_names[i]);
      fl_core_handle_reply_time (fixture->core, &target, &reply, fixture->now_ms - reply_ms, 0,
                                 fixture->now_ms);
    }
}

/* A task was not blamed for a crash if its target had reported while the start was not sent yet. */
static void
test_crash_by_a_start_that_waited (void **state)
{
  static const struct
  {
    const char *name;
    int64_t reply_ms; /* how long the replies of targets take */
    int64_t sent_ms;  /* the start, after its order; its target reports meanwhile */
  } cases[] = {
    { "sent at once", 5, 0 },
    { "sent after 300 ms of 1800", 600, 300 },
    { "sent after 900 ms of 1800", 600, 900 },
  };
  int failures = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      int64_t boots[G_N_ELEMENTS (target_names)];
      struct fixture *fixture = new_fixture (&(struct fixture_options){ 0 }, boots);
      set_reply_times (fixture, cases[i].reply_ms);
      add_job (fixture, "a", "urgent", make_step (1, 1000));
      tick_until_recorded (fixture, 0);
      size_t first = find_target (get_start_order (fixture, 0));
      confirm_start (fixture, 0);
      crash_target (fixture, target_names[first], &boots[first], EVIDENCE_OTHER_BOOT);
      tick_until_recorded (fixture, 0);
      assert_int_equal (fixture->start_orders->len, 2);
      struct fl_start_order order = *get_start_order (fixture, 1);
      size_t target = find_target (&order);
      let_idle_time_pass (fixture, boots, cases[i].sent_ms);
      crash_target (fixture, target_names[target], &boots[target], EVIDENCE_OTHER_BOOT);
      tick_until_recorded (fixture, 0);
      let_idle_time_pass (fixture, boots, 5000);
      print_message ("%s: limit %d ms, %u starts, %d given up\n", cases[i].name,
                     (int)order.reply_limit_ms, fixture->start_orders->len,
                     (int)count_given_up (fixture));
      failures += fixture->start_orders->len != 2 || count_given_up (fixture) != 1 ? 1 : 0;
      fixture_free (fixture);
    }
  assert_int_equal (failures, 0);
}

/* The target of @order lists its run in a reply that is under way for @reply_ms. */
static void
list_run (struct fixture *fixture,
          const struct fl_start_order *order,
          int64_t boot,
          int64_t reply_ms)
{
  struct fl_run_row row = make_row (order);
  struct fl_target_report report = { .booted_at_ms = boot, .runs = &row, .run_count = 1 };
  struct fl_order_reply reply = { .result = FL_ORDER_DONE, .report = &report };
  struct fl_heartbeat_order heartbeat;
  int64_t sent_ms = fixture->now_ms;

  assert_true (fl_core_prepare_heartbeat (fixture->core, &order->target, sent_ms, &heartbeat));
  report.clock_ms = sent_ms;
  fixture->now_ms += reply_ms;
  fl_core_handle_heartbeat_reply (fixture->core, &order->target, &reply, sent_ms, fixture->now_ms);
}

/* A run that a late reply listed counted as known until 300 ms before, and not for the cause. */
static void
test_crash_after_a_late_reply (void **state)
{
  static const struct
  {
    const char *name;
    int64_t usual_ms; /* how long the replies of targets take */
    int64_t reply_ms; /* and the one that lists the run */
  } cases[] = { { "prompt", 5, 5 }, { "late", 600, 900 }, { "later", 600, 1700 } };
  int failures = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      int64_t boots[G_N_ELEMENTS (target_names)];
      struct fixture *fixture = new_fixture (&(struct fixture_options){ 0 }, boots);
      set_reply_times (fixture, cases[i].usual_ms);
      add_job (fixture, "a", "urgent", make_step (1, 1000));
      tick_until_recorded (fixture, 0);
      for (guint j = 0; j < 2 && j < fixture->start_orders->len; j++)
        {
          struct fl_start_order order = *get_start_order (fixture, j);
          size_t target = find_target (&order);
          confirm_start (fixture, j);
          list_run (fixture, &order, boots[target], cases[i].reply_ms);
          crash_target (fixture, target_names[target], &boots[target], EVIDENCE_OTHER_BOOT);
          tick_until_recorded (fixture, 0);
        }
      let_idle_time_pass (fixture, boots, 5000);
      print_message ("%s: %u starts, %d given up\n", cases[i].name, fixture->start_orders->len,
                     (int)count_given_up (fixture));
      failures += fixture->start_orders->len != 2 || count_given_up (fixture) != 1 ? 1 : 0;
      fixture_free (fixture);
    }
  assert_int_equal (failures, 0);
}

/* A step whose tasks all crash their targets took down a target for each of them, again and again.
 */
static void
test_other_tasks_of_a_job_wait_for_the_suspected_one (void **state)
{
  int64_t boots[G_N_ELEMENTS (target_names)];
  struct fixture *fixture = new_fixture (&(struct fixture_options){ 0 }, boots);

  (void)state;
  add_job (fixture, "a", "urgent", make_step (4, 5000));
  tick_until_recorded (fixture, 0);
  assert_int_equal (fixture->start_orders->len, 4);
  for (guint i = 0; i < 4; i++)
    confirm_start (fixture, i);
  for (size_t i = 0; i < 4; i++)
    crash_target (fixture, target_names[i], &boots[i], EVIDENCE_NO_LISTENER);
  tick_until_recorded (fixture, 0);
  let_idle_time_pass (fixture, boots, 400);
  assert_int_equal (fixture->start_orders->len, 5);
  crash_by_start (fixture, boots, 4, EVIDENCE_NO_LISTENER);
  let_idle_time_pass (fixture, boots, 3000);
  assert_int_equal (fixture->start_orders->len, 5);
  assert_int_equal (count_given_up (fixture), 1);
  fixture_free (fixture);
}

/* The start of a suspected task on a busy target would make the tasks there suspects, too. */
static void
test_suspected_task_starts_apart (void **state)
{
  int64_t boots[G_N_ELEMENTS (target_names)];
  struct fixture *fixture = new_fixture (&(struct fixture_options){ 0 }, boots);

  (void)state;
  add_job (fixture, "a", "urgent", make_step (1, 1000));
  tick_until_recorded (fixture, 0);
  size_t crashed = find_target (get_start_order (fixture, 0));
  confirm_start (fixture, 0);
  crash_target (fixture, target_names[crashed], &boots[crashed], EVIDENCE_NO_LISTENER);
  tick_until_recorded (fixture, 0);
  assert_int_equal (fixture->start_orders->len, 2);
  confirm_start (fixture, 1);
  struct fl_start_order watched = *get_start_order (fixture, 1);
  struct fl_run_row row = make_row (&watched);
  add_job (fixture, "b", "urgent", make_step (92, 500));
  let_time_pass (fixture, boots, 300, watched.target.data, &row, 1);
  assert_true (fixture->start_orders->len > 2);
  for (guint i = 2; i < fixture->start_orders->len; i++)
    assert_string_not_equal (get_start_order (fixture, i)->target.data, watched.target.data);
  /* Once it has run for some time, its target takes other tasks again. */
  let_time_pass (fixture, boots, 1500, watched.target.data, &row, 1);
  bool is_used = false;
  for (guint i = 2; i < fixture->start_orders->len; i++)
    is_used
        = is_used || strcmp (get_start_order (fixture, i)->target.data, watched.target.data) == 0;
  assert_true (is_used);
  assert_int_equal (count_given_up (fixture), 0);
  fixture_free (fixture);
}

/* Tasks that ran on a target when another one crashed it were given up for it. */
static void
test_bystander_is_not_given_up (void **state)
{
  int64_t boots[G_N_ELEMENTS (target_names)];
  struct fixture *fixture = new_fixture (&(struct fixture_options){ 0 }, boots);

  (void)state;
  add_job (fixture, "old", "urgent", make_step (1, 1000));
  tick_until_recorded (fixture, 0);
  for (guint i = 0; i < 5; i++)
    {
      struct fl_start_order order = *get_start_order (fixture, i);
      struct fl_run_row row = make_row (&order);
      size_t target = find_target (&order);
      confirm_start (fixture, i);
      let_time_pass (fixture, boots, 4000, order.target.data, &row, 1);
      crash_target (fixture, target_names[target], &boots[target], EVIDENCE_NO_LISTENER);
      let_idle_time_pass (fixture, boots, 600);
      assert_int_equal (fixture->start_orders->len, i + 2);
    }
  assert_int_equal (count_given_up (fixture), 0);
  fixture_free (fixture);
}

/* A target that was only silent, until its leases had lapsed, counted as crashed under its tasks.
 */
static void
test_silence_is_no_crash (void **state)
{
  static const struct
  {
    const char *name;
    bool has_crashed; /* behind the silence */
    guint starts_max;
  } cases[] = {
    { "silent", false, 9 },
    /* Three times, and twice after the third crash. */
    { "crashed behind the silence", true, 5 },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      int64_t boots[G_N_ELEMENTS (target_names)];
      struct fixture *fixture = new_fixture (&(struct fixture_options){ 0 }, boots);
      add_job (fixture, "a", "urgent", make_step (1, 1000));
      tick_until_recorded (fixture, 0);
      for (guint j = 0; j < 8 && j < fixture->start_orders->len; j++)
        {
          struct fl_start_order order = *get_start_order (fixture, j);
          size_t target = find_target (&order);
          confirm_start (fixture, j);
          for (int k = 0; k < 80; k++)
            {
              struct fl_start_order last
                  = *get_start_order (fixture, fixture->start_orders->len - 1);
              struct fl_run_row row = make_row (&last);
              fixture->now_ms += 100;
              for (size_t n = 0; n < G_N_ELEMENTS (target_names); n++)
                if (n == target)
                  deliver_result (fixture, target_names[n], FL_ORDER_NO_REPLY);
                else
                  deliver_runs (fixture, target_names[n], boots[n], &row,
                                n == find_target (&last) ? 1 : 0);
              tick_until_recorded (fixture, 0);
              /* The next run is the one that has just been started. */
              if (fixture->start_orders->len > j + 1)
                break;
            }
          boots[target] += cases[i].has_crashed ? 1 : 0;
          let_idle_time_pass (fixture, boots, 1000);
        }
      if ((count_given_up (fixture) > 0) != cases[i].has_crashed
          || fixture->start_orders->len > cases[i].starts_max)
        fail_msg ("%s: %u starts, %d given up", cases[i].name, fixture->start_orders->len,
                  (int)count_given_up (fixture));
      fixture_free (fixture);
    }
}

/* Targets of a rack that crash at the same time took the tasks with them that had just begun. */
static void
test_simultaneous_crashes_are_excused (void **state)
{
  static const struct
  {
    const char *name;
    bool other_crashes; /* a target without a fresh run crashes at the same time */
    bool is_given_up;
  } cases[] = { { "alone", false, true }, { "with another target", true, false } };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      int64_t boots[G_N_ELEMENTS (target_names)];
      struct fixture *fixture = new_fixture (&(struct fixture_options){ 0 }, boots);
      add_job (fixture, "a", "urgent", make_step (1, 1000));
      tick_until_recorded (fixture, 0);
      for (guint j = 0; j < 2; j++)
        {
          size_t target = find_target (get_start_order (fixture, j));
          size_t other = (target + 1) % G_N_ELEMENTS (target_names);
          confirm_start (fixture, j);
          fixture->now_ms += 10;
          deliver_result (fixture, target_names[target], FL_ORDER_NO_REPLY);
          deliver_result (fixture, target_names[other], FL_ORDER_NO_REPLY);
          fixture->now_ms += 10;
          deliver_result (fixture, target_names[target], FL_ORDER_NO_LISTENER);
          tick_until_recorded (fixture, 10);
          if (cases[i].other_crashes)
            {
              deliver_result (fixture, target_names[other], FL_ORDER_NO_LISTENER);
              boots[other]++;
            }
          boots[target]++;
          tick_until_recorded (fixture, 10);
          let_idle_time_pass (fixture, boots, 1500);
        }
      if ((count_given_up (fixture) > 0) != cases[i].is_given_up)
        fail_msg ("%s: %d given up", cases[i].name, (int)count_given_up (fixture));
      fixture_free (fixture);
    }
}

#define MANY_TARGETS 24

/* All targets crash within a second, one after the other. */
static void
crash_many (struct fixture *fixture, const struct fl_name *names, int64_t boot)
{
  for (size_t i = 0; i < MANY_TARGETS; i++)
    {
      fixture->now_ms += 10;
      deliver_result (fixture, names[i].data, FL_ORDER_NO_REPLY);
      fixture->now_ms += 10;
      deliver_result (fixture, names[i].data, FL_ORDER_NO_LISTENER);
      fixture->now_ms += 10;
    }
  for (int round = 0; round < 2; round++)
    {
      fixture->now_ms += 10;
      for (size_t i = 0; i < MANY_TARGETS; i++)
        deliver_runs (fixture, names[i].data, boot, NULL, 0);
    }
}

/* Targets that were cut off crashed within a second, and so did those on which their tasks were
 * started again: jobs were given up that nothing was wrong with. */
static void
test_many_crashes_convict_nobody (void **state)
{
  struct fixture *fixture = fixture_new (0);
  struct fl_name names[MANY_TARGETS];
  guint begun = 0;

  (void)state;
  fl_core_set_registry_known (fixture->core);
  for (size_t i = 0; i < MANY_TARGETS; i++)
    {
      names[i] = fl_name_format ("t%d", (int)i);
      add_target (fixture, names[i].data, CORES, false);
    }
  for (int64_t boot = 2; boot <= 3; boot++)
    {
      fixture->now_ms += 10;
      for (size_t i = 0; i < MANY_TARGETS; i++)
        deliver_runs (fixture, names[i].data, boot - 1, NULL, 0);
      /* No target is without a task that has just been started. */
      tick_until_recorded (fixture, 0);
      for (size_t i = 0; i < MANY_TARGETS; i++)
        {
          g_autofree char *id = g_strdup_printf ("job%d-%d", (int)boot, (int)i);
          add_job (fixture, id, "urgent", make_step (1, 5000));
        }
      tick_until_recorded (fixture, 0);
      assert_true (fixture->start_orders->len >= begun + MANY_TARGETS / 4);
      for (; begun < fixture->start_orders->len; begun++)
        confirm_start (fixture, begun);
      crash_many (fixture, names, boot);
    }
  for (int i = 0; i < 10; i++)
    tick_until_recorded (fixture, 100);
  assert_int_equal (count_given_up (fixture), 0);
  fixture_free (fixture);
}

/* Drains end as planned. */
static void
test_end_of_a_draining_target_is_no_crash (void **state)
{
  int64_t boots[G_N_ELEMENTS (target_names)];
  struct fixture *fixture = new_fixture (&(struct fixture_options){ 0 }, boots);

  (void)state;
  add_job (fixture, "a", "urgent", make_step (1, 1000));
  tick_until_recorded (fixture, 0);
  for (guint i = 0; i < 3; i++)
    {
      size_t target = find_target (get_start_order (fixture, i));
      confirm_start (fixture, i);
      add_entry (fixture, target_names[target], CORES, true);
      crash_target (fixture, target_names[target], &boots[target], EVIDENCE_NO_LISTENER);
      add_entry (fixture, target_names[target], CORES, false);
      let_idle_time_pass (fixture, boots, 600);
      assert_int_equal (fixture->start_orders->len, i + 2);
    }
  assert_int_equal (fl_stats_get (fixture->stats, "target_crashes_total"), 0);
  fixture_free (fixture);
}

/* The record of the only job that waits to be recorded. */
static struct fl_str
take_record (struct fixture *fixture, bool stored)
{
  struct fl_core_record records[4];
  struct fl_str record = { 0 };

  fl_core_tick (fixture->core, fixture->now_ms, fixture->now_ms);
  size_t count = fl_core_collect_records (fixture->core, records, G_N_ELEMENTS (records));
  if (count == 0)
    return record;
  assert_int_equal (count, 1);
  record = records[0].progress;
  fl_core_finish_records (fixture->core, stored, fixture->now_ms);
  return record;
}

/* The next start of a suspected task did not wait until its successor would know of the crash. */
static void
test_suspected_task_waits_for_its_record (void **state)
{
  int64_t boots[G_N_ELEMENTS (target_names)];
  struct fixture *fixture = new_fixture (&(struct fixture_options){ 0 }, boots);

  (void)state;
  add_job (fixture, "a", "urgent", make_step (1, 1000));
  tick_until_recorded (fixture, 0);
  size_t target = find_target (get_start_order (fixture, 0));
  confirm_start (fixture, 0);
  crash_target (fixture, target_names[target], &boots[target], EVIDENCE_NO_LISTENER);
  for (int i = 0; i < 20; i++)
    {
      fixture->now_ms += 100;
      for (size_t j = 0; j < G_N_ELEMENTS (target_names); j++)
        deliver_runs (fixture, target_names[j], boots[j], NULL, 0);
      struct fl_str record = take_record (fixture, false);
      assert_true (record.len > 0);
      fl_str_clear (&record);
      assert_int_equal (fixture->start_orders->len, 1);
    }
  tick_until_recorded (fixture, 100);
  assert_int_equal (fixture->start_orders->len, 2);
  fixture_free (fixture);
}

/* A successor began to count anew. */
static void
test_successor_goes_on_counting (void **state)
{
  int64_t boots[G_N_ELEMENTS (target_names)];
  struct fixture *fixture = new_fixture (&(struct fixture_options){ 0 }, boots);
  struct fl_job_progress progress;

  (void)state;
  add_job (fixture, "a", "urgent", make_step (1, 1000));
  tick_until_recorded (fixture, 0);
  size_t target = find_target (get_start_order (fixture, 0));
  confirm_start (fixture, 0);
  crash_target (fixture, target_names[target], &boots[target], EVIDENCE_NO_LISTENER);
  struct fl_str record = take_record (fixture, true);
  fixture_free (fixture);
  assert_true (fl_job_progress_decode (record.data, record.len, &progress, NULL));
  assert_int_equal (progress.crashes.tasks.count, 1);
  fixture = new_fixture (&(struct fixture_options){ .fencing_token = 101 }, boots);
  add_recorded_job (fixture, "a", "urgent", make_step (1, 1000), &progress);
  fl_job_progress_clear (&progress);
  fl_str_clear (&record);
  tick_until_recorded (fixture, 100);
  assert_int_equal (fixture->start_orders->len, 1);
  crash_by_start (fixture, boots, 0, EVIDENCE_NO_LISTENER);
  let_idle_time_pass (fixture, boots, 3000);
  assert_int_equal (fixture->start_orders->len, 1);
  assert_int_equal (count_given_up (fixture), 1);
  fixture_free (fixture);
}

/* 100 ms later, all targets but the one with the index @silent report that nothing runs there; a
 * heartbeat to that one has @result. */
static void
report_beside_silent_target (struct fixture *fixture,
                             const int64_t *boots,
                             size_t silent,
                             enum fl_order_result result)
{
  fixture->now_ms += 100;
  for (size_t i = 0; i < G_N_ELEMENTS (target_names); i++)
    if (i == silent)
      deliver_result (fixture, target_names[i], result);
    else
      deliver_runs (fixture, target_names[i], boots[i], NULL, 0);
  tick_until_recorded (fixture, 0);
}

/* A target fell silent at the time at which a task crashed another one, and refused connections
 * after the lease of a fresh run there had lapsed. It counted as one that had no such run, and
 * excused that task. */
static void
test_lapsed_run_explains_the_crash_of_its_target (void **state)
{
  static const struct
  {
    const char *name;
    bool refuses;
  } cases[] = { { "silent until it is back", false }, { "refuses before it is back", true } };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      int64_t boots[G_N_ELEMENTS (target_names)];
      struct fixture *fixture = new_fixture (&(struct fixture_options){ 0 }, boots);
      add_job (fixture, "a", "urgent", make_step (1, 5000));
      add_job (fixture, "b", "urgent", make_step (1, 5000));
      tick_until_recorded (fixture, 0);
      assert_int_equal (fixture->start_orders->len, 2);
      bool is_first = strncmp (get_start_order (fixture, 0)->task.data, "a.", 2) == 0;
      size_t crashed = find_target (get_start_order (fixture, is_first ? 0 : 1));
      size_t silent = find_target (get_start_order (fixture, is_first ? 1 : 0));
      assert_int_not_equal (crashed, silent);
      confirm_start (fixture, 0);
      confirm_start (fixture, 1);
      fixture->now_ms += 10;
      deliver_result (fixture, target_names[silent], FL_ORDER_NO_REPLY);
      crash_target (fixture, target_names[crashed], &boots[crashed], EVIDENCE_NO_LISTENER);
      tick_until_recorded (fixture, 0);
      /* Task "a" crashes its next target, too. */
      assert_int_equal (fixture->start_orders->len, 3);
      crashed = find_target (get_start_order (fixture, 2));
      assert_int_not_equal (crashed, silent);
      confirm_start (fixture, 2);
      crash_target (fixture, target_names[crashed], &boots[crashed], EVIDENCE_NO_LISTENER);
      for (int j = 0; j < 60; j++)
        report_beside_silent_target (fixture, boots, silent,
                                     cases[i].refuses && j >= 57 ? FL_ORDER_NO_LISTENER
                                                                 : FL_ORDER_NO_REPLY);
      boots[silent]++;
      let_idle_time_pass (fixture, boots, 1000);
      if (count_given_up (fixture) != 1)
        fail_msg ("%s: %d given up", cases[i].name, (int)count_given_up (fixture));
      fixture_free (fixture);
    }
}

/* Refused connections of a target that answered again in the same boot decided what its later
 * silence meant for a watched run. */
static void
test_withdrawn_suspicion_decides_nothing_later (void **state)
{
  static const struct
  {
    const char *name;
    bool refuses;
  } cases[] = { { "silent", false }, { "had refused connections before", true } };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      int64_t boots[G_N_ELEMENTS (target_names)];
      struct fixture *fixture = new_fixture (&(struct fixture_options){ 0 }, boots);
      add_job (fixture, "a", "urgent", make_step (1, 1000));
      tick_until_recorded (fixture, 0);
      size_t target = find_target (get_start_order (fixture, 0));
      confirm_start (fixture, 0);
      crash_target (fixture, target_names[target], &boots[target], EVIDENCE_OTHER_BOOT);
      tick_until_recorded (fixture, 0);
      assert_int_equal (fixture->start_orders->len, 2);
      struct fl_run_row row = make_row (get_start_order (fixture, 1));
      target = find_target (get_start_order (fixture, 1));
      confirm_start (fixture, 1);
      for (int j = 0; cases[i].refuses && j < 3; j++)
        {
          fixture->now_ms += 10;
          deliver_result (fixture, target_names[target], FL_ORDER_NO_LISTENER);
        }
      fixture->now_ms += 10;
      deliver_runs (fixture, target_names[target], boots[target], &row, 1);
      tick_until_recorded (fixture, 0);
      for (int j = 0; j < 65; j++)
        {
          report_beside_silent_target (fixture, boots, target, FL_ORDER_NO_REPLY);
          if (fixture->start_orders->len > 2)
            break;
        }
      boots[target]++;
      for (int j = 0; j < 2; j++)
        {
          fixture->now_ms += 10;
          deliver_runs (fixture, target_names[target], boots[target], NULL, 0);
        }
      for (int j = 0; j < 12; j++)
        tick_until_recorded (fixture, 100);
      if (count_given_up (fixture) != 0)
        fail_msg ("%s: %d given up", cases[i].name, (int)count_given_up (fixture));
      fixture_free (fixture);
    }
}

/* The verdict on a task waited for the target that it had crashed, whose address another one had
 * taken over. */
static void
test_crashed_target_does_not_hold_up_the_verdict (void **state)
{
  int64_t boots[G_N_ELEMENTS (target_names)];
  struct fixture *fixture = new_fixture (&(struct fixture_options){ 0 }, boots);

  (void)state;
  add_job (fixture, "a", "urgent", make_step (1, 1000));
  tick_until_recorded (fixture, 0);
  size_t target = find_target (get_start_order (fixture, 0));
  confirm_start (fixture, 0);
  crash_target (fixture, target_names[target], &boots[target], EVIDENCE_OTHER_BOOT);
  tick_until_recorded (fixture, 0);
  assert_int_equal (fixture->start_orders->len, 2);
  target = find_target (get_start_order (fixture, 1));
  confirm_start (fixture, 1);
  fixture->now_ms += 10;
  deliver_result (fixture, target_names[target], FL_ORDER_NO_REPLY);
  fixture->now_ms += 10;
  deliver_result (fixture, target_names[target], FL_ORDER_OTHER_BOOT);
  for (int i = 0; i < 10; i++)
    report_beside_silent_target (fixture, boots, target, FL_ORDER_OTHER_BOOT);
  assert_int_equal (count_given_up (fixture), 1);
  fixture_free (fixture);
}

/* Tasks that had run for some time on a target that was lost held up the others of their job, once
 * their leases had lapsed. */
static void
test_bystanders_hold_up_no_others (void **state)
{
  static const struct
  {
    const char *name;
    enum fl_order_result result;
  } cases[] = { { "silent", FL_ORDER_NO_REPLY }, { "refuses", FL_ORDER_NO_LISTENER } };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      int64_t boots[G_N_ELEMENTS (target_names)];
      struct fixture *fixture = new_fixture (&(struct fixture_options){ 0 }, boots);
      struct fl_run_row rows[G_N_ELEMENTS (target_names)];
      add_job (fixture, "a", "urgent", make_step (10, 8000));
      tick_until_recorded (fixture, 0);
      assert_int_equal (fixture->start_orders->len, 6);
      for (guint j = 0; j < 6; j++)
        {
          rows[find_target (get_start_order (fixture, j))]
              = make_row (get_start_order (fixture, j));
          confirm_start (fixture, j);
        }
      for (int j = 0; j < 70; j++)
        {
          fixture->now_ms += 100;
          for (size_t n = 0; n < G_N_ELEMENTS (target_names); n++)
            rows[n].progress_percent = j;
          for (size_t n = 0; n < G_N_ELEMENTS (target_names); n++)
            if (n == 0 && j >= 8)
              deliver_result (fixture, target_names[n], cases[i].result);
            else
              {
                struct fl_name id = fl_name_of (target_names[n]);
                struct fl_heartbeat_order order;
                fl_core_prepare_heartbeat (fixture->core, &id, fixture->now_ms, &order);
                deliver_runs (fixture, target_names[n], boots[n], &rows[n], 1);
              }
          tick_until_recorded (fixture, 0);
        }
      assert_int_equal (fixture->start_orders->len, 6);
      /* The others end. */
      for (size_t n = 1; n < G_N_ELEMENTS (target_names); n++)
        {
          struct fl_end_row end
              = { .number = 1, .task = rows[n].task, .run = rows[n].run, .cause = FL_END_DONE };
          deliver_report (
              fixture, target_names[n],
              (struct fl_target_report){ .booted_at_ms = boots[n], .ends = &end, .end_count = 1 });
        }
      tick_until_recorded (fixture, 10);
      if (fixture->start_orders->len != 11)
        fail_msg ("%s: %u starts", cases[i].name, fixture->start_orders->len);
      fixture_free (fixture);
    }
}

/* A target that came back after the leases of its last boot had lapsed, and had left the registry
 * meanwhile, counted as if its silence had shown no sign of a crash. */
static void
test_crash_is_counted_when_the_target_is_known_anew (void **state)
{
  static const struct
  {
    const char *name;
    bool is_unlisted;
    bool has_new_id;
  } cases[] = { { "listed all the time", false, false },
                { "left the registry", true, false },
                { "came back with another id", true, true } };
  int failed = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      int64_t boots[G_N_ELEMENTS (target_names)];
      struct fixture *fixture = new_fixture (&(struct fixture_options){ 0 }, boots);
      int64_t back_ms[G_N_ELEMENTS (target_names)] = { 0 };
      guint crashed = 0;
      add_job (fixture, "a", "urgent", make_step (1, 1000));
      tick_until_recorded (fixture, 0);
      for (int j = 0; j < 300; j++)
        {
          for (; crashed < fixture->start_orders->len && crashed < 2; crashed++)
            {
              size_t target = find_target (get_start_order (fixture, crashed));
              confirm_start (fixture, crashed);
              back_ms[target] = fixture->now_ms + 8000;
            }
          fixture->now_ms += 100;
          for (size_t n = 0; n < G_N_ELEMENTS (target_names); n++)
            {
              struct fl_name id = fl_name_of (target_names[n]);
              if (back_ms[n] > fixture->now_ms)
                deliver_result (fixture, target_names[n], FL_ORDER_NO_LISTENER);
              else if (back_ms[n] == 0 || !cases[i].has_new_id)
                deliver_runs (fixture, target_names[n], boots[n], NULL, 0);
              if (back_ms[n] - 7000 == fixture->now_ms && cases[i].is_unlisted)
                fl_core_remove_target (fixture->core, &id);
              if (back_ms[n] - 100 == fixture->now_ms)
                boots[n]++;
              if (back_ms[n] != fixture->now_ms || !cases[i].is_unlisted)
                continue;
              struct fl_target_entry entry = { .id = id,
                                               .service = fl_name_of ("s"),
                                               .address = id,
                                               .resources = { CORES * 1000, 100000, 0 } };
              if (cases[i].has_new_id)
                entry.id = fl_name_format ("%s-new", target_names[n]);
              fl_core_update_target (fixture->core, &entry);
              deliver_runs (fixture, entry.id.data, boots[n], NULL, 0);
            }
          tick_until_recorded (fixture, 0);
        }
      if (fixture->start_orders->len != 2 || count_given_up (fixture) != 1)
        {
          printf ("%s: %u starts, %d given up\n", cases[i].name, fixture->start_orders->len,
                  (int)count_given_up (fixture));
          failed++;
        }
      fixture_free (fixture);
    }
  assert_int_equal (failed, 0);
}

#define LOST_TARGETS_MAX 9
#define START_TIMES_MAX 32

/* When each start of the task of @fixture was ordered. */
struct start_times
{
  int64_t at_ms[START_TIMES_MAX];
  guint count;
};

/* Runs the only task for @elapsed_ms: each target that starts it lists it for @listed_ms, refuses
 * connections from then on, and lists nothing after @refused_ms of that, if this is not 0. */
static struct start_times
lose_targets (struct fixture *fixture, int64_t elapsed_ms, int64_t listed_ms, int64_t refused_ms)
{
  struct start_times starts = { .count = 0 };
  int64_t end_ms = fixture->now_ms + elapsed_ms;

  while (fixture->now_ms < end_ms && count_given_up (fixture) == 0)
    {
      for (; starts.count < fixture->start_orders->len; starts.count++)
        {
          assert_true (starts.count < START_TIMES_MAX);
          starts.at_ms[starts.count] = fixture->now_ms;
          confirm_start (fixture, starts.count);
        }
      fixture->now_ms += 100;
      for (int n = 0; n < LOST_TARGETS_MAX; n++)
        {
          struct fl_name id = fl_name_format ("t%d", n);
          struct fl_heartbeat_order heartbeat;
          struct fl_run_row row = { 0 };
          int64_t age_ms = -1;
          for (guint i = 0; i < starts.count; i++)
            if (fl_name_eq (&get_start_order (fixture, i)->target, &id))
              {
                row = make_row (get_start_order (fixture, i));
                age_ms = fixture->now_ms - starts.at_ms[i];
              }
          bool is_listed = age_ms >= 0 && age_ms <= listed_ms;
          if (age_ms > listed_ms && (refused_ms == 0 || age_ms <= listed_ms + refused_ms))
            {
              deliver_result (fixture, id.data, FL_ORDER_NO_LISTENER);
              continue;
            }
          fl_core_prepare_heartbeat (fixture->core, &id, fixture->now_ms, &heartbeat);
          deliver_runs (fixture, id.data, 1, is_listed ? &row : NULL, is_listed ? 1 : 0);
        }
      tick_until_recorded (fixture, 0);
    }
  return starts;
}

/* A task that took down one target after the other for good was started on the next one as soon as
 * the lease had lapsed, though these crashes would convict it. */
static void
test_open_cases_hold_up_their_task_together (void **state)
{
  static const struct
  {
    const char *name;
    int64_t listed_ms;
    int64_t refused_ms;
    int64_t apart_min_ms; /* of the starts from the second one on */
    int64_t apart_max_ms;
    guint starts_max; /* within 60 s */
  } cases[] = {
    { "never back", 0, 0, 9900, 10300, 6 },
    /* After the lease of the next run has lapsed, and before the wait is over. */
    { "the same boot is back", 0, 14000, 6200, 8200, 10 },
    { "bystander", 800, 0, 0, 6000, LOST_TARGETS_MAX },
  };
  int failed = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fixture *fixture = fixture_new (0);
      fl_core_set_registry_known (fixture->core);
      for (int n = 0; n < LOST_TARGETS_MAX; n++)
        add_target (fixture, fl_name_format ("t%d", n).data, CORES, false);
      add_job (fixture, "a", "urgent", make_step (1, 1000));
      tick_until_recorded (fixture, 0);
      struct start_times starts
          = lose_targets (fixture, 60000, cases[i].listed_ms, cases[i].refused_ms);
      bool holds = starts.count >= 4 && starts.count <= cases[i].starts_max;
      for (guint j = 2; j < starts.count; j++)
        {
          int64_t apart_ms = starts.at_ms[j] - starts.at_ms[j - 1];
          holds = holds && apart_ms >= cases[i].apart_min_ms && apart_ms <= cases[i].apart_max_ms;
        }
      if (!holds)
        {
          printf ("%s: %u starts\n", cases[i].name, starts.count);
          for (guint j = 1; j < starts.count; j++)
            printf ("start %u after %d ms\n", j, (int)(starts.at_ms[j] - starts.at_ms[0]));
          failed++;
        }
      fixture_free (fixture);
    }
  assert_int_equal (failed, 0);
}

/* The case of a run on a target that refuses connections was two changes of its task. */
static void
test_refusal_is_one_change (void **state)
{
  int64_t boots[G_N_ELEMENTS (target_names)];
  struct fixture *fixture = new_fixture (&(struct fixture_options){ 0 }, boots);

  (void)state;
  add_job (fixture, "a", "urgent", make_step (1, 1000));
  tick_until_recorded (fixture, 0);
  const char *target = target_names[find_target (get_start_order (fixture, 0))];
  confirm_start (fixture, 0);
  for (int i = 0; i < 3; i++)
    {
      fixture->now_ms += 10;
      deliver_result (fixture, target, FL_ORDER_NO_LISTENER);
    }
  assert_int_equal (fixture->core->crash_tasks.length, 1);
  const struct core_task *task = fixture->core->crash_tasks.head->data;
  assert_int_equal (task->crashes->len, 1);
  assert_int_equal (task->step->job->crash_changes, 1);
  assert_false (task->is_suspected);
  assert_false (task->is_watched);
  assert_int_equal (task->step->job->suspected_tasks, 0);
  fixture_free (fixture);
}

/* Tasks that crashed their targets were started again, on the next target, without a limit. */
static void
test_tasks_that_crash_their_targets_in_a_cell (void **state)
{
  int failed = 0;

  (void)state;
  for (uint64_t seed = 1; seed <= SEED_COUNT; seed++)
    {
      struct cell_result result = cell_simulate_deadly_tasks (seed, NULL);
      if (result.violation[0] == '\0')
        continue;
      printf ("seed %d: %s\n", (int)seed, result.violation);
      failed++;
    }
  assert_int_equal (failed, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_task_is_given_up_after_two_crashes),
          cmocka_unit_test (test_crash_by_a_start_that_waited),
          cmocka_unit_test (test_crash_after_a_late_reply),
          cmocka_unit_test (test_other_tasks_of_a_job_wait_for_the_suspected_one),
          cmocka_unit_test (test_suspected_task_starts_apart),
          cmocka_unit_test (test_bystander_is_not_given_up),
          cmocka_unit_test (test_silence_is_no_crash),
          cmocka_unit_test (test_simultaneous_crashes_are_excused),
          cmocka_unit_test (test_many_crashes_convict_nobody),
          cmocka_unit_test (test_end_of_a_draining_target_is_no_crash),
          cmocka_unit_test (test_suspected_task_waits_for_its_record),
          cmocka_unit_test (test_successor_goes_on_counting),
          cmocka_unit_test (test_lapsed_run_explains_the_crash_of_its_target),
          cmocka_unit_test (test_withdrawn_suspicion_decides_nothing_later),
          cmocka_unit_test (test_crashed_target_does_not_hold_up_the_verdict),
          cmocka_unit_test (test_bystanders_hold_up_no_others),
          cmocka_unit_test (test_crash_is_counted_when_the_target_is_known_anew),
          cmocka_unit_test (test_open_cases_hold_up_their_task_together),
          cmocka_unit_test (test_refusal_is_one_change),
          cmocka_unit_test (test_tasks_that_crash_their_targets_in_a_cell) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
