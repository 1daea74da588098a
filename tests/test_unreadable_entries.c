/* Registry entries that cannot be read: their targets get no new tasks, and what runs on them is
 * neither stopped nor started a second time. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "core/core.h"
#include "support_core.h"

static const struct fl_name target_id = { 2, "t1" };

static void
add_unit_job (struct fixture *fixture, const char *id)
{
  add_job (fixture, id, "urgent",
           (struct fl_step_spec){ .count = 1, .cpu_milli = 1000, .disruptions_max = -1 });
}

static struct fl_run_row
make_row (const struct fl_start_order *order)
{
  return (struct fl_run_row){ .task = order->task, .run = order->run };
}

static void
report_runs (struct fixture *fixture, struct fl_run_row *runs, size_t count)
{
  fixture->now_ms += 100;
  deliver_report (fixture, "t1",
                  (struct fl_target_report){ .booted_at_ms = 1, .runs = runs, .run_count = count });
}

/* A target went on being used by its earlier entry. */
static void
test_entry_becomes_unreadable (void **state)
{
  enum stage
  {
    BEFORE_JOB,
    BEFORE_RECORD,
    BEFORE_REPLY,
    RUNNING
  };
  static const struct
  {
    const char *name;
    enum stage stage;
    guint starts;
    bool is_stopped;
    guint starts_then; /* once the entry can be read, in all */
  } cases[] = {
    { "before the job", BEFORE_JOB, 0, false, 2 },
    { "a start waits for its record", BEFORE_RECORD, 0, false, 2 },
    /* Its target lists no run, and its clock has passed the deadline of the start. */
    { "a start has no reply", BEFORE_REPLY, 1, true, 3 },
    { "a task runs", RUNNING, 1, false, 2 },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fixture *fixture = fixture_new (0);
      struct fl_heartbeat_order heartbeat;
      struct fl_run_row run = { .run = 0 };
      fl_core_set_registry_known (fixture->core);
      add_target (fixture, "t1", 4, false);
      report_runs (fixture, NULL, 0);
      if (cases[i].stage != BEFORE_JOB)
        add_unit_job (fixture, "a");
      if (cases[i].stage == BEFORE_RECORD)
        fl_core_tick (fixture->core, fixture->now_ms, fixture->now_ms);
      else
        tick_until_recorded (fixture, 0);
      if (cases[i].stage == RUNNING)
        {
          confirm_start (fixture, 0);
          run = make_row (get_start_order (fixture, 0));
        }
      fl_core_note_unreadable_entry (fixture->core, &target_id);
      if (cases[i].stage == BEFORE_JOB)
        add_unit_job (fixture, "a");
      add_unit_job (fixture, "b");
      if (cases[i].stage == BEFORE_REPLY)
        {
          const struct fl_start_order order = *get_start_order (fixture, 0);
          fixture->now_ms += 200;
          fl_core_handle_start_reply (fixture->core, &order.task, order.run, FL_ORDER_NO_REPLY,
                                      fixture->now_ms);
        }
      for (int j = 0; j < 20; j++)
        {
          tick_until_recorded (fixture, 0);
          /* Leases are renewed at the address that is known from before. */
          if (!fl_core_prepare_heartbeat (fixture->core, &target_id, fixture->now_ms, &heartbeat)
              || heartbeat.deadline_ms <= fixture->now_ms
              || !fl_name_eq (&heartbeat.address, &target_id))
            fail_msg ("%s: heartbeat %d", cases[i].name, j);
          run.progress_percent++;
          report_runs (fixture, run.run > 0 ? &run : NULL, run.run > 0 ? 1 : 0);
        }
      if (fixture->start_orders->len != cases[i].starts
          || (fixture->stop_orders->len > 0) != cases[i].is_stopped)
        fail_msg ("%s: %u starts, %u stops", cases[i].name, fixture->start_orders->len,
                  fixture->stop_orders->len);
      add_entry (fixture, "t1", 4, false);
      report_runs (fixture, run.run > 0 ? &run : NULL, run.run > 0 ? 1 : 0);
      tick_until_recorded (fixture, 0);
      if (fixture->start_orders->len != cases[i].starts_then)
        fail_msg ("%s: %u starts once it can be read", cases[i].name, fixture->start_orders->len);
      for (guint j = 1; j < fixture->start_orders->len; j++)
        if (fl_name_eq (&get_start_order (fixture, j)->task, &get_start_order (fixture, 0)->task))
          assert_true (get_start_order (fixture, j)->run > get_start_order (fixture, 0)->run);
      fixture_free (fixture);
    }
}

static void
test_no_advice_queries (void **state)
{
  struct fixture *fixture = fixture_new (0);

  (void)state;
  add_target (fixture, "t1", 4, false);
  report_runs (fixture, NULL, 0);
  fl_core_note_unreadable_entry (fixture->core, &target_id);
  add_job (fixture, "a", "advised", (struct fl_step_spec){ .count = 1, .cpu_milli = 1000 });
  report_runs (fixture, NULL, 0);
  tick_until_recorded (fixture, 0);
  assert_int_equal (fixture->query_count, 0);
  add_entry (fixture, "t1", 4, false);
  report_runs (fixture, NULL, 0);
  tick_until_recorded (fixture, 0);
  assert_int_equal (fixture->query_count, 1);
  fixture_free (fixture);
}

/* Another writer replaced the address in an entry: what answers there, or does not listen, was
 * taken for the end of the target's boot, and its task was started a second time. */
static void
test_address_of_another (void **state)
{
  static const struct
  {
    enum fl_order_result result;
    bool has_reported; /* to this owner; otherwise it was recorded by the one before */
  } cases[] = { { FL_ORDER_NO_LISTENER, true },
                { FL_ORDER_OTHER_BOOT, true },
                { FL_ORDER_OTHER_BOOT, false } };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      bool has_reported = cases[i].has_reported;
      struct fixture *fixture
          = has_reported ? fixture_new (0) : fixture_new_unreconciled (0, 100000 + 9000);
      struct fl_job_progress progress = { .state = FL_JOB_RUNNING, .any_target = true };
      struct fl_step_spec step = { .count = 1, .cpu_milli = 1000, .disruptions_max = -1 };
      struct fl_target_entry entry = { .id = target_id,
                                       .service = fl_name_of ("s"),
                                       .address = fl_name_of ("t9"),
                                       .resources = { 4000, 100000, 0 } };
      struct fl_heartbeat_order heartbeat;
      if (has_reported)
        {
          add_target (fixture, "t1", 4, false);
          add_recorded_job (fixture, "a", "urgent", step, NULL);
          tick_until_recorded (fixture, 0);
          confirm_start (fixture, 0);
          struct fl_run_row run = make_row (get_start_order (fixture, 0));
          report_runs (fixture, &run, 1);
        }
      else
        {
          fl_core_inherit_target (fixture->core, &target_id, &target_id);
          add_recorded_job (fixture, "a", "urgent", step, &progress);
        }
      fl_core_set_registry_known (fixture->core);
      fl_core_set_jobs_known (fixture->core);
      add_target (fixture, "t2", 4, false);
      fl_core_update_target (fixture->core, &entry);
      for (int j = 0; j < 3; j++)
        {
          fixture->now_ms += 400;
          fl_core_prepare_heartbeat (fixture->core, &target_id, fixture->now_ms, &heartbeat);
          deliver_result (fixture, "t1", cases[i].result);
          deliver_report (fixture, "t2", (struct fl_target_report){ .booted_at_ms = 1 });
          tick_until_recorded (fixture, 0);
        }
      if (fixture->start_orders->len != (has_reported ? 1 : 0))
        fail_msg ("case %zu: %u starts", i, fixture->start_orders->len);
      fixture_free (fixture);
    }
}

/* @return the address of t1 in the stored list of targets. */
static struct fl_name
get_listed_address (struct fixture *fixture)
{
  g_autoptr (GArray) names = fl_core_collect_target_list (fixture->core);
  struct fl_name address = { 0 };

  for (guint i = 0; i + 1 < names->len; i += 2)
    if (fl_name_eq (&g_array_index (names, struct fl_name, i), &target_id))
      address = g_array_index (names, struct fl_name, i + 1);
  fl_core_finish_target_list (fixture->core, true);
  return address;
}

static void
replace_address (struct fixture *fixture, const char *address)
{
  struct fl_target_entry entry = { .id = target_id,
                                   .service = fl_name_of ("s"),
                                   .address = fl_name_of (address),
                                   .resources = { 4000, 100000, 0 } };

  fl_core_update_target (fixture->core, &entry);
}

/* The owner put an address that another writer had set on its list. Its successor took the target
 * there for a proof, and started the task a second time. */
static void
test_address_of_another_is_not_listed (void **state)
{
  static const bool is_inherited[] = { false, true }; /* by the owner that writes the list */
  struct fl_job_progress progress = { .state = FL_JOB_RUNNING, .any_target = true };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (is_inherited); i++)
    {
      struct fixture *fixture = fixture_new (0);
      struct fl_heartbeat_order heartbeat;
      if (is_inherited[i])
        fl_core_inherit_target (fixture->core, &target_id, &target_id);
      else
        add_target (fixture, "t1", 4, false);
      replace_address (fixture, "t9");
      add_entry (fixture, "t2", 4, false);
      struct fl_name address = get_listed_address (fixture);
      fixture_free (fixture);

      fixture = fixture_new_unreconciled (0, 100000 + 9000);
      fl_core_inherit_target (fixture->core, &target_id, &address);
      add_recorded_job (
          fixture, "a", "urgent",
          (struct fl_step_spec){ .count = 1, .cpu_milli = 1000, .disruptions_max = -1 }, &progress);
      fl_core_set_registry_known (fixture->core);
      fl_core_set_jobs_known (fixture->core);
      add_target (fixture, "t2", 4, false);
      replace_address (fixture, "t9");
      for (int j = 0; j < 3; j++)
        {
          fixture->now_ms += 400;
          fl_core_prepare_heartbeat (fixture->core, &target_id, fixture->now_ms, &heartbeat);
          deliver_result (fixture, "t1", FL_ORDER_OTHER_BOOT);
          deliver_report (fixture, "t2", (struct fl_target_report){ .booted_at_ms = 1 });
          tick_until_recorded (fixture, 0);
        }
      if (fixture->start_orders->len > 0)
        fail_msg ("case %zu: %u starts after t1 was listed at %s", i, fixture->start_orders->len,
                  address.data);
      fixture_free (fixture);
    }
}

/* The list of the owner before has no usable address of the target. What another writer put into
 * its entry was taken for its address. */
static void
test_listed_without_an_address (void **state)
{
  struct fixture *fixture = fixture_new_unreconciled (0, 100000 + 9000);
  struct fl_job_progress progress = { .state = FL_JOB_RUNNING, .any_target = true };
  static const struct fl_name unknown = { 0 };

  (void)state;
  fl_core_inherit_target (fixture->core, &target_id, &unknown);
  add_recorded_job (fixture, "a", "urgent",
                    (struct fl_step_spec){ .count = 1, .cpu_milli = 1000, .disruptions_max = -1 },
                    &progress);
  fl_core_set_registry_known (fixture->core);
  fl_core_set_jobs_known (fixture->core);
  add_target (fixture, "t2", 4, false);
  replace_address (fixture, "t9");
  fixture->now_ms += 400;
  deliver_result (fixture, "t1", FL_ORDER_OTHER_BOOT);
  tick_until_recorded (fixture, 0);
  assert_int_equal (fixture->start_orders->len, 0);
  fixture->now_ms += 9000;
  deliver_report (fixture, "t2", (struct fl_target_report){ .booted_at_ms = 1 });
  tick_until_recorded (fixture, 0);
  assert_int_equal (fixture->start_orders->len, 1);
  fixture_free (fixture);
}

/* A new owner knows the target only from the list of its predecessor. Whatever its entry says, and
 * where it has none, a refused connection ends nothing. */
static void
test_inherited_target (void **state)
{
  enum entry
  {
    NO_ENTRY,
    BEFORE_LIST,
    AFTER_LIST,
    REMOVED
  };
  static const struct
  {
    const char *name;
    enum entry entry;
  } cases[] = {
    { "no entry", NO_ENTRY },
    { "unreadable, read before the list", BEFORE_LIST },
    { "unreadable, read after the list", AFTER_LIST },
    { "unreadable, then removed", REMOVED },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fixture *fixture = fixture_new_unreconciled (0, 100000 + 9000);
      struct fl_job_progress progress = { .state = FL_JOB_RUNNING, .any_target = true };
      if (cases[i].entry == BEFORE_LIST || cases[i].entry == REMOVED)
        fl_core_note_unreadable_entry (fixture->core, &target_id);
      fl_core_inherit_target (fixture->core, &target_id, &target_id);
      if (cases[i].entry == AFTER_LIST)
        fl_core_note_unreadable_entry (fixture->core, &target_id);
      if (cases[i].entry == REMOVED)
        fl_core_remove_target (fixture->core, &target_id);
      fl_core_set_registry_known (fixture->core);
      add_recorded_job (
          fixture, "a", "urgent",
          (struct fl_step_spec){ .count = 1, .cpu_milli = 1000, .disruptions_max = -1 }, &progress);
      fl_core_set_jobs_known (fixture->core);
      add_target (fixture, "t2", 4, false);
      for (int j = 0; j < 3; j++)
        {
          fixture->now_ms += 400;
          deliver_result (fixture, "t1", FL_ORDER_NO_LISTENER);
        }
      deliver_report (fixture, "t2", (struct fl_target_report){ .booted_at_ms = 1 });
      tick_until_recorded (fixture, 0);
      if (fixture->start_orders->len > 0)
        fail_msg ("%s: %u starts", cases[i].name, fixture->start_orders->len);
      /* After the longest lease, the task is started on the other target. */
      fixture->now_ms += 9000;
      deliver_report (fixture, "t2", (struct fl_target_report){ .booted_at_ms = 1 });
      tick_until_recorded (fixture, 0);
      if (fixture->start_orders->len != 1)
        fail_msg ("%s: %u starts in the end", cases[i].name, fixture->start_orders->len);
      assert_string_equal (get_start_order (fixture, 0)->target.data, "t2");
      fixture_free (fixture);
    }
}

/* An entry that never could be read makes no target, and is forgotten like one. */
static void
test_unknown_target (void **state)
{
  struct fixture *fixture = fixture_new (0);
  g_autofree char *first = NULL;
  g_autofree char *second = NULL;

  (void)state;
  fl_core_note_unreadable_entry (fixture->core, &target_id);
  fl_core_note_unreadable_entry (fixture->core, &target_id);
  assert_int_equal (fl_core_target_count (fixture->core), 0);
  assert_int_equal (fl_stats_get (fixture->stats, "registry_entries_unreadable"), 1);
  g_autoptr (GPtrArray) ids = fl_core_target_ids (fixture->core);
  assert_int_equal (ids->len, 1);
  fl_core_remove_target (fixture->core, g_ptr_array_index (ids, 0));
  assert_int_equal (fl_stats_get (fixture->stats, "registry_entries_unreadable"), 0);
  fixture_free (fixture);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_entry_becomes_unreadable),
    cmocka_unit_test (test_no_advice_queries),
    cmocka_unit_test (test_address_of_another),
    cmocka_unit_test (test_address_of_another_is_not_listed),
    cmocka_unit_test (test_listed_without_an_address),
    cmocka_unit_test (test_inherited_target),
    cmocka_unit_test (test_unknown_target),
  };

  return cmocka_run_group_tests_name ("unreadable entries", tests, NULL, NULL);
}
