/* Failure domains that are evacuated and taken back: which tasks start where, what an owner may
 * assume whose knowledge of evacuations is old, and how the operator's rows become known. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "core/core.h"
#include "host/configuration_watch.h"
#include "policy/warm_up.h"
#include "support_core.h"

#define EVACUATION_MS 5000

static void
set_entry (struct fixture *fixture,
           const char *target,
           const char *domain,
           int64_t cores,
           int64_t cold_left_ms)
{
  struct fl_target_entry entry = { .id = fl_name_of (target),
                                   .service = fl_name_of ("s"),
                                   .address = fl_name_of (target),
                                   .domain = fl_name_of (domain),
                                   .cold_left_ms = cold_left_ms,
                                   .resources = { cores * 1000, 100000, 0 } };

  fl_core_update_target (fixture->core, &entry);
}

static void
evacuate (struct fixture *fixture, const char *domain)
{
  struct fl_name name = fl_name_of (domain);

  fl_core_set_evacuated_domains (fixture->core, &name, name.len > 0 ? 1 : 0);
}

/* Targets t1 in domain a and t2 in domain b, with four cores each. */
static struct fixture *
new_fixture (int64_t evacuation_ms)
{
  struct fixture_options options = { .evacuation_ms = evacuation_ms };
  struct fixture *fixture = fixture_new_with (&options);

  fl_core_set_jobs_known (fixture->core);
  fl_core_set_registry_known (fixture->core);
  add_target (fixture, "t1", 4, false);
  add_target (fixture, "t2", 4, false);
  set_entry (fixture, "t1", "a", 4, 0);
  set_entry (fixture, "t2", "b", 4, 0);
  fixture->now_ms += 100;
  deliver_report (fixture, "t1", (struct fl_target_report){ .booted_at_ms = 1 });
  deliver_report (fixture, "t2", (struct fl_target_report){ .booted_at_ms = 1 });
  return fixture;
}

static struct fl_step_spec
make_step (int64_t count, int64_t cores)
{
  return (struct fl_step_spec){ .count = count, .cpu_milli = cores * 1000, .disruptions_max = -1 };
}

static void
expect_orders (const struct fixture *fixture, const char *name, guint starts, guint stops)
{
  if (fixture->start_orders->len != starts || fixture->stop_orders->len != stops)
    fail_msg ("%s: %u starts, %u stops", name, fixture->start_orders->len,
              fixture->stop_orders->len);
}

/* --- starts --- */

static void
test_starts (void **state)
{
  static const struct
  {
    const char *evacuated;
    bool gang;
    guint starts; /* of two tasks that need a target each */
  } cases[] = { { "", false, 2 }, { "a", false, 1 }, { "c", false, 2 },
                { "", true, 2 },  { "a", true, 0 },  { "b", true, 0 } };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fixture *fixture = new_fixture (0);
      struct fl_step_spec step = make_step (2, 3);
      step.gang = cases[i].gang;
      evacuate (fixture, cases[i].evacuated);
      add_job (fixture, "j", "urgent", step);
      tick_until_recorded (fixture, 0);
      expect_orders (fixture, cases[i].evacuated, cases[i].starts, 0);
      evacuate (fixture, "");
      tick_until_recorded (fixture, 0);
      expect_orders (fixture, "taken back", 2, 0);
      fixture_free (fixture);
    }
}

/* A target whose entry tells another domain than before. */
static void
test_target_changes_its_domain (void **state)
{
  struct fixture *fixture = new_fixture (0);

  (void)state;
  evacuate (fixture, "b");
  set_entry (fixture, "t1", "b", 4, 0);
  add_job (fixture, "j", "urgent", make_step (1, 3));
  tick_until_recorded (fixture, 0);
  expect_orders (fixture, "both in b", 0, 0);
  set_entry (fixture, "t1", "a", 4, 0);
  tick_until_recorded (fixture, 0);
  expect_orders (fixture, "back in a", 1, 0);
  fixture_free (fixture);
}

/* A start that waits for its record when the evacuation begins. */
static void
test_planned_starts (void **state)
{
  static const struct
  {
    const char *evacuated;
    bool gang;
    guint starts;
  } cases[] = { { "c", false, 2 }, { "a", false, 1 }, { "c", true, 2 }, { "a", true, 0 } };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fixture *fixture = new_fixture (0);
      struct fl_step_spec step = make_step (2, 3);
      step.gang = cases[i].gang;
      step.long_running = true;
      add_job (fixture, "j", "urgent", step);
      fl_core_tick (fixture->core, fixture->now_ms, fixture->now_ms);
      expect_orders (fixture, "planned", 0, 0);
      evacuate (fixture, cases[i].evacuated);
      store_records (fixture);
      tick_until_recorded (fixture, 20);
      tick_until_recorded (fixture, 20);
      expect_orders (fixture, cases[i].evacuated, cases[i].starts, 0);
      fixture_free (fixture);
    }
}

/* A start without a reply is stopped in an evacuated domain, with the other members of a gang; and
 * it waits while it is not known what is evacuated. */
static void
test_repeated_starts (void **state)
{
  static const struct
  {
    const char *name;
    const char *evacuated;
    bool gang;
    int64_t confirmed_ms_ago;
    guint repeated; /* on t1 */
    guint stops;
  } cases[] = {
    { "not evacuated", "", false, 0, 1, 0 },
    { "evacuated", "a", false, 0, 0, 1 },
    { "gang, not evacuated", "", true, 0, 1, 0 },
    { "gang, evacuated", "a", true, 0, 0, 2 },
    { "old", "", false, 4000, 0, 0 },
  };
  struct fl_name t1 = fl_name_of ("t1");

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fixture *fixture = new_fixture (EVACUATION_MS);
      struct fl_step_spec step = make_step (2, 3);
      guint repeated = 0;
      step.gang = cases[i].gang;
      fl_core_confirm_domains (fixture->core, fixture->now_ms);
      add_job (fixture, "j", "urgent", step);
      tick_until_recorded (fixture, 0);
      expect_orders (fixture, cases[i].name, 2, 0);
      struct fl_start_order orders[]
          = { *get_start_order (fixture, 0), *get_start_order (fixture, 1) };
      fixture->now_ms += 200 + cases[i].confirmed_ms_ago;
      fl_core_confirm_domains (fixture->core, fixture->now_ms - cases[i].confirmed_ms_ago);
      evacuate (fixture, cases[i].evacuated);
      for (size_t j = 0; j < 2; j++)
        fl_core_handle_start_reply (fixture->core, &orders[j].task, orders[j].run,
                                    FL_ORDER_NO_REPLY, fixture->now_ms);
      tick_until_recorded (fixture, 20);
      for (guint j = 2; j < fixture->start_orders->len; j++)
        repeated += fl_name_eq (&get_start_order (fixture, j)->target, &t1);
      if (repeated != cases[i].repeated || fixture->stop_orders->len != cases[i].stops)
        fail_msg ("%s: %u repeated, %u stops", cases[i].name, repeated, fixture->stop_orders->len);
      fixture_free (fixture);
    }
}

/* --- age of what is known --- */

/* An owner that keeps its lease while its feed is cut, that was suspended, or that is new. */
static void
test_old_knowledge (void **state)
{
  static const struct
  {
    const char *name;
    int64_t evacuation_ms;
    int64_t confirmed_ms_ago; /* -1 for never */
    guint starts;
  } cases[] = {
    { "no bound, never", 0, -1, 1 },     { "no bound, old", 0, 60000, 1 },
    { "never", EVACUATION_MS, -1, 0 },   { "just now", EVACUATION_MS, 10, 1 },
    { "usual", EVACUATION_MS, 2000, 1 }, { "one reply lost", EVACUATION_MS, 3100, 1 },
    { "old", EVACUATION_MS, 3300, 0 },   { "older than the bound", EVACUATION_MS, 9000, 0 },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fixture *fixture = new_fixture (cases[i].evacuation_ms);
      if (cases[i].confirmed_ms_ago >= 0)
        fl_core_confirm_domains (fixture->core, fixture->now_ms - cases[i].confirmed_ms_ago);
      add_job (fixture, "j", "urgent", make_step (1, 1));
      tick_until_recorded (fixture, 0);
      expect_orders (fixture, cases[i].name, cases[i].starts, 0);
      fl_core_confirm_domains (fixture->core, fixture->now_ms);
      tick_until_recorded (fixture, 0);
      expect_orders (fixture, "confirmed", 1, 0);
      fixture_free (fixture);
    }
}

/* Load pattern: targets reply slowly, so that their starts may take effect late. An evacuation that
 * begins right after the last confirmation has to hold in spite of that. */
static void
test_deadline_of_starts (void **state)
{
  static const struct
  {
    int64_t evacuation_ms;
    int64_t confirmed_ms_ago;
    int64_t reply_ms;
    int64_t deadline_min_ms;
    int64_t deadline_max_ms;
  } cases[] = {
    { 0, 3000, 10, 1500, 1500 },
    { 0, 3000, 1500, 2000, 4500 },
    { EVACUATION_MS, 10, 10, 1500, 1500 },
    { EVACUATION_MS, 10, 1500, 2000, 4500 },
    { EVACUATION_MS, 3000, 10, 1500, 1500 },
    { EVACUATION_MS, 3000, 1500, 1500, 1999 },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fixture *fixture = new_fixture (cases[i].evacuation_ms);
      struct fl_name target = fl_name_of ("t2");
      struct fl_order_reply reply = { .result = FL_ORDER_DONE };
      evacuate (fixture, "a");
      for (int j = 0; j < 20; j++)
        fl_core_handle_reply_time (fixture->core, &target, &reply,
                                   fixture->now_ms - cases[i].reply_ms, 0, fixture->now_ms);
      fl_core_confirm_domains (fixture->core, fixture->now_ms - cases[i].confirmed_ms_ago);
      add_job (fixture, "j", "urgent", make_step (1, 1));
      tick_until_recorded (fixture, 0);
      int64_t deadline_ms = get_start_order (fixture, 0)->deadline_ms - fixture->now_ms;
      if (deadline_ms < cases[i].deadline_min_ms || deadline_ms > cases[i].deadline_max_ms)
        fail_msg ("case %d: deadline after %d ms", (int)i, (int)deadline_ms);
      fixture_free (fixture);
    }
}

/* --- what runs --- */

/* What runs in an evacuated domain goes on, and counts as left there. */
static void
test_running_tasks_go_on (void **state)
{
  struct fixture *fixture = new_fixture (0);
  struct fl_run_row row;

  (void)state;
  add_job (fixture, "j", "urgent", make_step (1, 3));
  tick_until_recorded (fixture, 0);
  confirm_start (fixture, 0);
  row = (struct fl_run_row){ .task = get_start_order (fixture, 0)->task,
                             .run = get_start_order (fixture, 0)->run };
  const char *target = get_start_order (fixture, 0)->target.data;
  const char *domain = g_str_equal (target, "t1") ? "a" : "b";
  g_autofree char *stat = g_strdup_printf ("evacuated_domain_runs{domain=\"%s\"}", domain);
  evacuate (fixture, domain);
  for (int i = 0; i < 5; i++)
    {
      fixture->now_ms += 200;
      deliver_report (fixture, target,
                      (struct fl_target_report){ .booted_at_ms = 1, .runs = &row, .run_count = 1 });
      tick_until_recorded (fixture, 0);
      assert_int_equal (fl_stats_get (fixture->stats, "domains_evacuated"), 1);
      assert_int_equal (fl_stats_get (fixture->stats, stat), 1);
    }
  expect_orders (fixture, "evacuated", 1, 0);
  evacuate (fixture, "");
  assert_int_equal (fl_stats_get (fixture->stats, "domains_evacuated"), 0);
  assert_int_equal (fl_stats_get (fixture->stats, stat), 0);
  fixture_free (fixture);
}

/* Advice about targets of an evacuated domain would be in vain. */
static void
test_advice (void **state)
{
  struct fixture *fixture = new_fixture (0);
  struct fl_name t2 = fl_name_of ("t2");

  (void)state;
  evacuate (fixture, "a");
  add_job (fixture, "j", "advised", make_step (1, 1));
  tick_until_recorded (fixture, 0);
  assert_int_equal (fixture->queried_targets->len, 1);
  assert_true (fl_name_eq (&g_array_index (fixture->queried_targets, struct fl_name, 0), &t2));
  fixture_free (fixture);
}

/* --- cold targets --- */

static void
test_warm_up (void **state)
{
  static const struct
  {
    int64_t left_ms; /* as reported at time 0 */
    int64_t now_ms;
    bool is_urgent;
    int64_t rank; /* with 4000 of 8000 thousandths of a core free */
  } cases[] = {
    { 0, 0, false, 4000 },       { -5, 0, false, 4000 },      { 2000, 0, false, -4000 },
    { 2000, 500, false, -2000 }, { 2000, 1500, false, 2000 }, { 2000, 2000, false, 4000 },
    { 2000, 1500, true, -4000 }, { 2000, 2000, true, 4000 },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fl_warm_up warm_up = { 0 };
      fl_warm_up_update (&warm_up, cases[i].left_ms, 0);
      /* A later report of the same phase changes nothing. */
      fl_warm_up_update (&warm_up, MAX (cases[i].left_ms - cases[i].now_ms, 0), cases[i].now_ms);
      assert_int_equal (
          fl_warm_up_rank_cpu (&warm_up, 4000, 8000, cases[i].is_urgent, cases[i].now_ms),
          cases[i].rank);
    }
}

/* After an evacuation, the emptiest targets are the cold ones. */
static void
test_choice_of_cold_targets (void **state)
{
  static const struct
  {
    const char *name;
    const char *queue;
    int64_t cold_left_ms; /* of t1, which is the larger one */
    int64_t elapsed_ms;
    int64_t cores;
    const char *target;
  } cases[] = {
    { "warm", "slow", 0, 0, 1, "t1" },
    { "cold", "slow", 2000, 0, 1, "t2" },
    { "cold, urgent", "urgent", 2000, 0, 1, "t2" },
    { "almost warm", "slow", 2000, 1900, 1, "t1" },
    { "almost warm, urgent", "urgent", 2000, 1900, 1, "t2" },
    { "warm again, urgent", "urgent", 2000, 2000, 1, "t1" },
    { "no room on the warm one, urgent", "urgent", 2000, 0, 6, "t1" },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fixture *fixture = new_fixture (0);
      fl_core_tick (fixture->core, fixture->now_ms, fixture->now_ms);
      set_entry (fixture, "t1", "a", 8, cases[i].cold_left_ms);
      fixture->now_ms += cases[i].elapsed_ms;
      add_job (fixture, "j", cases[i].queue, make_step (1, cases[i].cores));
      tick_until_recorded (fixture, 0);
      expect_orders (fixture, cases[i].name, 1, 0);
      if (!g_str_equal (get_start_order (fixture, 0)->target.data, cases[i].target))
        fail_msg ("%s: on %s", cases[i].name, get_start_order (fixture, 0)->target.data);
      fixture_free (fixture);
    }
}

/* Rows that a new owner had read before its first tick counted from time 0, so that cold targets
 * were taken for warm ones. */
static void
test_rows_before_the_first_tick (void **state)
{
  struct fixture *fixture = fixture_new (0);
  g_autoptr (GString) dump = g_string_new (NULL);

  (void)state;
  evacuate (fixture, "c");
  set_entry (fixture, "t1", "a", 8, 2000);
  set_entry (fixture, "t2", "b", 4, 0);
  g_array_unref (fl_core_collect_target_list (fixture->core));
  fl_core_finish_target_list (fixture->core, true);
  for (int i = 0; i < 2; i++)
    {
      fl_core_tick (fixture->core, fixture->now_ms, fixture->now_ms);
      deliver_report (fixture, "t1", (struct fl_target_report){ .booted_at_ms = 1 });
      deliver_report (fixture, "t2", (struct fl_target_report){ .booted_at_ms = 1 });
      fixture->now_ms += 100;
    }
  add_job (fixture, "j", "slow", make_step (1, 1));
  tick_until_recorded (fixture, 0);
  assert_string_equal (get_start_order (fixture, 0)->target.data, "t2");
  fl_core_dump (fixture->core, dump);
  assert_non_null (strstr (dump->str, "\"domain\":\"c\",\"evacuated\":true,\"evacuated_ms\":200,"));
  fixture_free (fixture);
}

/* --- the operator's rows --- */

/* A store that keeps the last call until the test replies. */
struct fake_calls
{
  struct fl_store store;
  bool is_read;
  void (*done) (void *context, const struct fl_store_reply *reply);
  void *done_context;
};

static void
keep_read (void *context,
           const char *table,
           const char *partition,
           const char *first_key,
           const char *end_key,
           int64_t timeout_ms,
           void (*done) (void *context, const struct fl_store_reply *reply),
           void *done_context)
{
  struct fake_calls *calls = context;

  (void)table, (void)partition, (void)first_key, (void)end_key, (void)timeout_ms;
  calls->is_read = true;
  calls->done = done;
  calls->done_context = done_context;
}

static void
keep_feed (void *context,
           const char *table,
           int64_t after_version,
           int64_t wait_ms,
           int64_t timeout_ms,
           void (*done) (void *context, const struct fl_store_reply *reply),
           void *done_context)
{
  struct fake_calls *calls = context;

  (void)table, (void)after_version, (void)wait_ms, (void)timeout_ms;
  calls->is_read = false;
  calls->done = done;
  calls->done_context = done_context;
}

static gint
compare_names (gconstpointer a, gconstpointer b)
{
  return strcmp (((const struct fl_name *)a)->data, ((const struct fl_name *)b)->data);
}

/* Writes the evacuated domains, in alphabetical order, to a string. */
static char *
format_domains (const struct fl_configuration_watch *watch)
{
  GString *text = g_string_new (NULL);

  g_array_sort (watch->evacuated, compare_names);
  for (guint i = 0; i < watch->evacuated->len; i++)
    g_string_append_printf (text, "%s%s", i > 0 ? " " : "",
                            g_array_index (watch->evacuated, struct fl_name, i).data);
  return g_string_free (text, FALSE);
}

static void
count_change (void *context)
{
  (*(int *)context)++;
}

/* A domain whose evacuation ended while the feed had lost its history was never used again. */
static void
test_rows (void **state)
{
  static const struct
  {
    const char *name;
    bool is_read; /* the call that is replied to */
    enum fl_store_status status;
    const char *rows; /* keys; "-" before a removed one */
    const char *evacuated;
  } cases[] = {
    { "read", true, FL_STORE_OK, "config evacuate/a evacuate/b", "a b" },
    { "row removed", false, FL_STORE_OK, "-evacuate/a", "b" },
    { "other rows", false, FL_STORE_OK, "evacuate evacuate/ evacuated/x wave/1 -wave/1", "b" },
    { "set and removed", false, FL_STORE_OK, "evacuate/d evacuate/e -evacuate/d", "b e" },
    { "the same again", false, FL_STORE_OK, "evacuate/e", "b e" },
    { "feed fails", false, FL_STORE_UNKNOWN, "", "b e" },
  };
  struct fake_calls calls
      = { .store = { .context = &calls, .read = keep_read, .feed = keep_feed } };
  struct fl_host host = { .loop = ev_loop_new (0), .store = &calls.store };
  struct fl_configuration_watch watch = { 0 };
  int changes = 0;
  const struct fl_configuration_watch_callbacks callbacks
      = { .on_evacuated = count_change, .context = &changes };

  (void)state;
  fl_configuration_watch_start (&watch, &host, &callbacks);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_auto (GStrv) keys = g_strsplit (cases[i].rows, " ", 0);
      struct fl_store_row rows[8] = { 0 };
      struct fl_store_reply reply = { .status = cases[i].status, .rows = rows, .version = 1 };
      for (; keys[reply.count] != NULL; reply.count++)
        {
          const char *key = keys[reply.count];
          rows[reply.count] = (struct fl_store_row){ .key = fl_name_of (key + (key[0] == '-')),
                                                     .removed = key[0] == '-',
                                                     .value = fl_str_of ("{\"version\":1}") };
        }
      assert_int_equal (calls.is_read, cases[i].is_read);
      calls.done (calls.done_context, &reply);
      for (size_t j = 0; j < reply.count; j++)
        fl_str_clear (&rows[j].value);
      g_autofree char *evacuated = format_domains (&watch);
      if (!g_str_equal (evacuated, cases[i].evacuated))
        fail_msg ("%s: %s", cases[i].name, evacuated);
    }
  assert_true (changes > 0);
  /* Another start reads all rows; until the end of the read, the known ones count. */
  fl_configuration_watch_pause (&watch);
  fl_configuration_watch_start (&watch, &host, &callbacks);
  assert_true (calls.is_read);
  g_autofree char *before = format_domains (&watch);
  assert_string_equal (before, "b e");
  struct fl_store_row row = { .key = fl_name_of ("evacuate/f") };
  struct fl_store_reply reply = { .rows = &row, .count = 1, .version = 2, .has_more = true };
  calls.done (calls.done_context, &reply);
  g_autofree char *meanwhile = format_domains (&watch);
  assert_string_equal (meanwhile, "b e f");
  reply = (struct fl_store_reply){ .version = 2 };
  calls.done (calls.done_context, &reply);
  g_autofree char *after = format_domains (&watch);
  assert_string_equal (after, "f");
  fl_configuration_watch_stop (&watch);
  ev_loop_destroy (host.loop);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_starts),
    cmocka_unit_test (test_target_changes_its_domain),
    cmocka_unit_test (test_planned_starts),
    cmocka_unit_test (test_repeated_starts),
    cmocka_unit_test (test_old_knowledge),
    cmocka_unit_test (test_deadline_of_starts),
    cmocka_unit_test (test_running_tasks_go_on),
    cmocka_unit_test (test_advice),
    cmocka_unit_test (test_warm_up),
    cmocka_unit_test (test_choice_of_cold_targets),
    cmocka_unit_test (test_rows_before_the_first_tick),
    cmocka_unit_test (test_rows),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
