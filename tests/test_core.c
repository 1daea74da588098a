/* Scenarios of lib/core: what is observed, and the orders that must follow. Each names the load
 * pattern or the fault that it replays. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "core/core.h"

#define HOLD_MS 4500

/* A core with one service, and what it ordered. */
struct bench
{
  struct fl_core *core;
  struct fl_stats *stats;
  struct fl_log log;
  int64_t now_ms;
  GArray *starts; /* struct fl_start_order; texts are not kept */
  GArray *stops;  /* struct fl_run_order */
  GArray *paces;  /* struct fl_run_order */
  GArray *asked;  /* struct fl_name, targets of the last question */
  struct fl_name asked_step;
  int questions;
};

static void
on_start (void *context, const struct fl_start_order *order)
{
  g_array_append_val (((struct bench *)context)->starts, *order);
}

static void
on_stop (void *context, const struct fl_run_order *order)
{
  g_array_append_val (((struct bench *)context)->stops, *order);
}

static void
on_pace (void *context, const struct fl_run_order *order)
{
  g_array_append_val (((struct bench *)context)->paces, *order);
}

static bool
on_ask (void *context,
        const struct fl_name *step,
        const struct fl_name *targets,
        size_t count,
        int64_t expected_ms)
{
  struct bench *bench = context;

  (void)expected_ms;
  bench->questions++;
  bench->asked_step = *step;
  g_array_set_size (bench->asked, 0);
  g_array_append_vals (bench->asked, targets, (guint)count);
  return true;
}

static void
configure (struct bench *bench, int64_t cap)
{
  struct fl_configuration *configuration = fl_configuration_new (1);
  struct fl_service service = { .name = fl_name_of ("s") };
  struct fl_team team = { fl_name_of ("w"), 1, { cap, 0, 0 } };
  struct fl_queue urgent = {
    .name = fl_name_of ("urgent"), .service = fl_name_of ("s"), .attempts_max = 2, .stretch = 1.5
  };
  struct fl_queue slow = urgent;
  struct fl_queue advised = urgent;

  slow.name = fl_name_of ("slow");
  slow.priority = 2;
  advised.name = fl_name_of ("advised");
  advised.advice = (struct fl_advice_policy){ true, 20, 0.3, 2500 };
  fl_configuration_add_service (configuration, &service);
  fl_configuration_add_team (configuration, &team);
  fl_configuration_add_queue (configuration, &urgent);
  fl_configuration_add_queue (configuration, &slow);
  fl_configuration_add_queue (configuration, &advised);
  fl_core_configure (bench->core, configuration);
  fl_configuration_unref (configuration);
}

/* @settled_at_ms: until then an earlier owner's orders may be in effect on silent targets. */
static struct bench *
bench_new_settling (int64_t cap, int64_t settled_at_ms)
{
  struct bench *bench = g_new0 (struct bench, 1);
  struct fl_core_options options = {
    .log = &bench->log,
    .actions = { on_start, on_stop, on_pace, on_ask },
    .context = bench,
    .fencing_token = 1,
    .target_lease_ms = HOLD_MS,
    .target_lease_max_ms = 6000,
    .acquired_version = settled_at_ms > 0 ? INT64_MAX : 0,
    .reconciled_at_ms = settled_at_ms,
  };

  bench->now_ms = 100000;
  bench->stats = fl_stats_new ();
  options.stats = bench->stats;
  bench->core = fl_core_new (&options);
  bench->starts = g_array_new (FALSE, FALSE, sizeof (struct fl_start_order));
  bench->stops = g_array_new (FALSE, FALSE, sizeof (struct fl_run_order));
  bench->paces = g_array_new (FALSE, FALSE, sizeof (struct fl_run_order));
  bench->asked = g_array_new (FALSE, FALSE, sizeof (struct fl_name));
  configure (bench, cap);
  return bench;
}

static struct bench *
bench_new (int64_t cap)
{
  return bench_new_settling (cap, 0);
}

static void
bench_free (struct bench *bench)
{
  fl_core_free (bench->core);
  fl_stats_free (bench->stats);
  g_array_unref (bench->starts);
  g_array_unref (bench->stops);
  g_array_unref (bench->paces);
  g_array_unref (bench->asked);
  g_free (bench);
}

/* Stores what there is to record. @return how many records. */
static size_t
store_records (struct bench *bench)
{
  struct fl_core_record records[16];
  size_t count = fl_core_collect_records (bench->core, records, G_N_ELEMENTS (records));

  for (size_t i = 0; i < count; i++)
    fl_str_clear (&records[i].progress);
  if (count > 0)
    fl_core_finish_records (bench->core, true, bench->now_ms);
  return count;
}

/* Lets time pass and decides, until nothing is left to record: targets are used only once they are
 * recorded for a job. */
static void
tick (struct bench *bench, int64_t pass_ms)
{
  bench->now_ms += pass_ms;
  do
    fl_core_tick (bench->core, bench->now_ms, bench->now_ms);
  while (store_records (bench) > 0);
}

static void
list (struct bench *bench, const char *target, struct fl_target_report lists)
{
  struct fl_name id = fl_name_of (target);
  struct fl_order_reply reply = { .result = FL_ORDER_DONE, .report = &lists };

  lists.clock_ms = bench->now_ms;
  fl_core_handle_heartbeat_reply (bench->core, &id, &reply, bench->now_ms - 1, bench->now_ms);
}

static void
add_target (struct bench *bench, const char *name, int64_t cores, bool draining)
{
  struct fl_target_entry entry = { .id = fl_name_of (name),
                                   .service = fl_name_of ("s"),
                                   .address = fl_name_of (name),
                                   .draining = draining,
                                   .drain_remaining_ms = draining ? 2000 : 0,
                                   .resources = { cores * 1000, 100000, 0 },
                                   .label_count = 2,
                                   .labels = { fl_name_of ("a"), fl_name_of (name) } };

  fl_core_update_target (bench->core, &entry);
  g_array_unref (fl_core_collect_target_list (bench->core));
  fl_core_mark_target_list_recorded (bench->core);
  list (bench, name, (struct fl_target_report){ .booted_at_ms = 1 });
}

/* Adds job @id of one step. */
static void
add_job (struct bench *bench, const char *id, const char *queue, struct fl_step_spec step)
{
  struct fl_job_spec spec = { .id = fl_name_of (id),
                              .queue = fl_name_of (queue),
                              .team = fl_name_of ("w"),
                              .accepted_ms = bench->now_ms,
                              .text = fl_str_of ("x") };

  spec.steps.count = 1;
  spec.steps.items = g_memdup2 (&step, sizeof step);
  fl_core_add_job (bench->core, &spec, bench->now_ms, NULL);
}

static const struct fl_start_order *
start_at (const struct bench *bench, guint index)
{
  assert_true (index < bench->starts->len);
  return &g_array_index (bench->starts, struct fl_start_order, index);
}

static void
confirm (struct bench *bench, guint index)
{
  const struct fl_start_order *order = start_at (bench, index);

  fl_core_handle_start_reply (bench->core, &order->task, order->run, FL_ORDER_DONE, bench->now_ms);
}

/* --- placement --- */

static void
test_room_is_kept (void **state)
{
  struct bench *bench = bench_new (0);

  (void)state;
  add_target (bench, "t1", 4, false);
  add_job (bench, "a", "urgent", (struct fl_step_spec){ .count = 5, .cpu_milli = 1000 });
  tick (bench, 0);
  assert_int_equal (bench->starts->len, 4);
  bench_free (bench);
}

static void
test_label_and_limit_per_target (void **state)
{
  struct bench *bench = bench_new (0);

  (void)state;
  add_target (bench, "t1", 8, false);
  add_target (bench, "t2", 8, false);
  add_job (bench, "a", "urgent",
           (struct fl_step_spec){ .count = 4, .cpu_milli = 100, .per_target_max = 1 });
  add_job (bench, "b", "urgent",
           (struct fl_step_spec){ .count = 2, .cpu_milli = 100, .label = fl_name_of ("t2") });
  tick (bench, 0);
  int of_a = 0;
  for (guint i = 0; i < bench->starts->len; i++)
    {
      const struct fl_start_order *order = start_at (bench, i);
      of_a += order->task.data[0] == 'a' ? 1 : 0;
      if (order->task.data[0] == 'b')
        assert_string_equal (order->target.data, "t2");
    }
  assert_int_equal (of_a, 2);
  assert_int_equal (bench->starts->len, 4);
  bench_free (bench);
}

/* Urgent work comes before what waits longer. */
static void
test_priority (void **state)
{
  struct bench *bench = bench_new (0);

  (void)state;
  add_job (bench, "slow", "slow", (struct fl_step_spec){ .count = 4, .cpu_milli = 1000 });
  bench->now_ms += 1000;
  add_job (bench, "fast", "urgent", (struct fl_step_spec){ .count = 2, .cpu_milli = 1000 });
  add_target (bench, "t1", 4, false);
  tick (bench, 0);
  assert_int_equal (bench->starts->len, 4);
  assert_true (g_str_has_prefix (start_at (bench, 0)->task.data, "fast"));
  assert_true (g_str_has_prefix (start_at (bench, 1)->task.data, "fast"));
  assert_true (g_str_has_prefix (start_at (bench, 2)->task.data, "slow"));
  bench_free (bench);
}

static void
test_team_limit (void **state)
{
  struct bench *bench = bench_new (2500);

  (void)state;
  add_target (bench, "t1", 16, false);
  add_job (bench, "a", "urgent", (struct fl_step_spec){ .count = 5, .cpu_milli = 1000 });
  tick (bench, 0);
  assert_int_equal (bench->starts->len, 2);
  bench_free (bench);
}

/* Long jobs of a team leave room under its limit for the urgent work it had a moment ago. */
static void
test_limit_kept_for_urgent_work (void **state)
{
  struct bench *bench = bench_new (6000);
  struct fl_end_row ends[] = { { .number = 1, .task = fl_name_of ("fast.0.0.0"), .run = 1 },
                               { .number = 2, .task = fl_name_of ("fast.0.0.1"), .run = 1 } };

  (void)state;
  add_target (bench, "t1", 16, false);
  add_job (bench, "fast", "urgent", (struct fl_step_spec){ .count = 2, .cpu_milli = 1000 });
  tick (bench, 0);
  confirm (bench, 0);
  confirm (bench, 1);
  bench->now_ms += 10;
  list (bench, "t1", (struct fl_target_report){ .booted_at_ms = 1, .ends = ends, .end_count = 2 });
  add_job (bench, "slow", "slow", (struct fl_step_spec){ .count = 9, .cpu_milli = 1000 });
  tick (bench, 10);
  assert_int_equal (bench->starts->len, 2 + 4);
  add_job (bench, "again", "urgent", (struct fl_step_spec){ .count = 2, .cpu_milli = 1000 });
  tick (bench, 10);
  assert_int_equal (bench->starts->len, 2 + 4 + 2);
  bench_free (bench);
}

/* Fillers take what others leave, and others ignore them. */
static void
test_fillers (void **state)
{
  struct bench *bench = bench_new (0);

  (void)state;
  add_target (bench, "t1", 4, false);
  add_job (bench, "f", "slow",
           (struct fl_step_spec){ .count = 9, .cpu_milli = 1000, .best_effort = true });
  tick (bench, 0);
  assert_int_equal (bench->starts->len, 4);
  add_job (bench, "a", "urgent", (struct fl_step_spec){ .count = 4, .cpu_milli = 1000 });
  tick (bench, 10);
  assert_int_equal (bench->starts->len, 8);
  bench_free (bench);
}

static void
test_gang_all_or_none (void **state)
{
  struct bench *bench = bench_new (0);

  (void)state;
  add_target (bench, "t1", 2, false);
  add_job (bench, "g", "urgent",
           (struct fl_step_spec){ .count = 3, .cpu_milli = 1000, .gang = true });
  tick (bench, 0);
  assert_int_equal (bench->starts->len, 0);
  add_target (bench, "t2", 1, false);
  tick (bench, 10);
  assert_int_equal (bench->starts->len, 3);
  assert_int_equal (start_at (bench, 0)->run, start_at (bench, 2)->run);
  /* One member is refused: the others are stopped before anything starts again. */
  confirm (bench, 0);
  confirm (bench, 1);
  fl_core_handle_start_reply (bench->core, &start_at (bench, 2)->task, 1, FL_ORDER_UNHEALTHY,
                              bench->now_ms);
  tick (bench, 10);
  assert_int_equal (bench->stops->len, 2);
  assert_int_equal (bench->starts->len, 3);
  bench_free (bench);
}

/* --- advice --- */

static void
test_advice (void **state)
{
  struct bench *bench = bench_new (0);
  struct fl_advised_target good[] = { { fl_name_of ("t1"), fl_name_of ("ticket-1") } };
  struct fl_advice_reply reply = { true, good, 1, 2500 };

  (void)state;
  add_target (bench, "t1", 2, false);
  add_target (bench, "t2", 2, false);
  add_job (bench, "a", "advised", (struct fl_step_spec){ .count = 3, .cpu_milli = 1000 });
  tick (bench, 0);
  assert_int_equal (bench->starts->len, 0);
  assert_int_equal (bench->asked->len, 2);
  bench->now_ms += 30;
  fl_core_handle_advice_reply (bench->core, &bench->asked_step,
                               (struct fl_name *)bench->asked->data, 2, &reply, bench->now_ms);
  tick (bench, 0);
  assert_int_equal (bench->starts->len, 2);
  assert_string_equal (start_at (bench, 0)->target.data, "t1");
  assert_string_equal (start_at (bench, 0)->ticket, "ticket-1");
  /* No target that may run the third has room: nothing is asked in vain. */
  tick (bench, 10);
  assert_int_equal (bench->questions, 1);
  bench_free (bench);
}

/* --- orders and lists --- */

static void
test_unanswered_start (void **state)
{
  struct bench *bench = bench_new (0);

  (void)state;
  add_target (bench, "t1", 4, false);
  add_job (bench, "a", "urgent", (struct fl_step_spec){ .count = 1, .cpu_milli = 1000 });
  tick (bench, 0);
  for (guint attempt = 1; attempt < 4; attempt++)
    {
      fl_core_handle_start_reply (bench->core, &start_at (bench, 0)->task, 1, FL_ORDER_NO_REPLY,
                                  bench->now_ms);
      tick (bench, 700);
      assert_int_equal (bench->starts->len, attempt + 1);
      assert_int_equal (start_at (bench, attempt)->run, 1);
    }
  fl_core_handle_start_reply (bench->core, &start_at (bench, 0)->task, 1, FL_ORDER_NO_REPLY,
                              bench->now_ms);
  tick (bench, 700);
  assert_int_equal (bench->stops->len, 1);
  assert_int_equal (bench->starts->len, 4);
  /* The stop bars the run; a list after it shows that it is nowhere. */
  fl_core_handle_stop_reply (bench->core, &start_at (bench, 0)->task, 1, FL_ORDER_DONE,
                             bench->now_ms);
  bench->now_ms += 10;
  list (bench, "t1", (struct fl_target_report){ .booted_at_ms = 1 });
  tick (bench, 10);
  assert_int_equal (bench->starts->len, 5);
  assert_int_equal (start_at (bench, 4)->run, 2);
  bench_free (bench);
}

/* A silent target keeps its tasks until its lease has lapsed for certain. */
static void
test_silent_target (void **state)
{
  struct bench *bench = bench_new (0);
  struct fl_name target = fl_name_of ("t1");
  struct fl_order_reply silence = { .result = FL_ORDER_NO_REPLY };
  struct fl_run_row run = { .task = fl_name_of ("a.0.0.0"), .run = 1 };
  struct fl_heartbeat_order hold;

  (void)state;
  add_target (bench, "t1", 4, false);
  add_job (bench, "a", "urgent", (struct fl_step_spec){ .count = 1, .cpu_milli = 1000 });
  tick (bench, 0);
  confirm (bench, 0);
  bench->now_ms += 10;
  list (bench, "t1", (struct fl_target_report){ .booted_at_ms = 1, .runs = &run, .run_count = 1 });
  assert_true (fl_core_prepare_heartbeat (bench->core, &target, bench->now_ms, &hold));
  add_target (bench, "t2", 4, false);
  fl_core_handle_heartbeat_reply (bench->core, &target, &silence, bench->now_ms, bench->now_ms);
  tick (bench, HOLD_MS);
  assert_int_equal (bench->starts->len, 1);
  tick (bench, 300);
  assert_int_equal (bench->starts->len, 2);
  assert_string_equal (start_at (bench, 1)->target.data, "t2");
  bench_free (bench);
}

/* Starts that this host is too busy to send pause; those that one target does not take do not. */
static void
test_start_not_sent (void **state)
{
  static const struct
  {
    int64_t gap_ms; /* between decisions */
    guint starts;   /* 10 ms after the start was given up */
  } cases[] = { { 50, 2 }, { 250, 1 } };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct bench *bench = bench_new (0);
      add_target (bench, "t1", 4, false);
      add_target (bench, "t2", 4, false);
      add_job (bench, "a", "urgent", (struct fl_step_spec){ .count = 1, .cpu_milli = 1000 });
      tick (bench, 0);
      bench->now_ms += cases[i].gap_ms;
      fl_core_tick (bench->core, bench->now_ms, bench->now_ms);
      fl_core_handle_start_reply (bench->core, &start_at (bench, 0)->task, 1, FL_ORDER_NOT_SENT,
                                  bench->now_ms);
      tick (bench, 10);
      assert_int_equal (bench->starts->len, cases[i].starts);
      tick (bench, 400);
      assert_int_equal (bench->starts->len, 2);
      bench_free (bench);
    }
}

/* Another boot at the address proves that the one before is over. */
static void
test_address_taken_over (void **state)
{
  struct bench *bench = bench_new (0);
  struct fl_name target = fl_name_of ("t1");
  struct fl_order_reply other = { .result = FL_ORDER_OTHER_BOOT };

  (void)state;
  add_target (bench, "t1", 4, false);
  add_job (bench, "a", "urgent", (struct fl_step_spec){ .count = 1, .cpu_milli = 1000 });
  tick (bench, 0);
  confirm (bench, 0);
  add_target (bench, "t2", 4, false);
  fl_core_handle_heartbeat_reply (bench->core, &target, &other, bench->now_ms, bench->now_ms);
  tick (bench, 10);
  assert_int_equal (bench->starts->len, 2);
  bench_free (bench);
}

/* Clock and numbers of ends of a boot that may be over are not used. */
static void
test_hold_after_silence (void **state)
{
  struct bench *bench = bench_new (0);
  struct fl_name target = fl_name_of ("t1");
  struct fl_end_row end = { .number = 7, .task = fl_name_of ("z.0.0.0"), .run = 1 };
  struct fl_core_record records[4];
  struct fl_heartbeat_order hold;

  (void)state;
  add_target (bench, "t1", 4, false);
  list (bench, "t1", (struct fl_target_report){ .booted_at_ms = 1, .ends = &end, .end_count = 1 });
  assert_int_equal (fl_core_collect_records (bench->core, records, 4), 0);
  assert_true (fl_core_prepare_heartbeat (bench->core, &target, bench->now_ms, &hold));
  assert_int_equal (hold.last_recorded_end, 7);
  assert_true (hold.deadline_ms > 0);
  bench->now_ms += 1000;
  assert_true (fl_core_prepare_heartbeat (bench->core, &target, bench->now_ms, &hold));
  assert_int_equal (hold.last_recorded_end, 0);
  assert_int_equal (hold.deadline_ms, 0);
  bench_free (bench);
}

/* A hold is lost: urgent work waits for its end a few hundred milliseconds, not a second or two. */
static void
test_lost_hold (void **state)
{
  struct bench *bench = bench_new (0);
  struct fl_name target = fl_name_of ("t1");
  struct fl_order_reply lost = { .result = FL_ORDER_NO_REPLY };
  struct fl_heartbeat_order hold;

  (void)state;
  add_target (bench, "t1", 4, false);
  assert_true (fl_core_prepare_heartbeat (bench->core, &target, bench->now_ms, &hold));
  assert_int_equal (hold.wait_ms, 1000);
  add_job (bench, "a", "urgent", (struct fl_step_spec){ .count = 1, .cpu_milli = 1000 });
  tick (bench, 0);
  assert_true (fl_core_prepare_heartbeat (bench->core, &target, bench->now_ms, &hold));
  assert_true (hold.wait_ms <= 300);
  bench->now_ms += 600;
  for (int attempt = 0; attempt < 2; attempt++)
    {
      fl_core_handle_heartbeat_reply (bench->core, &target, &lost, bench->now_ms, bench->now_ms);
      assert_int_equal (fl_core_prepare_heartbeat (bench->core, &target, bench->now_ms, &hold),
                        attempt == 0);
    }
  bench->now_ms += 300;
  assert_true (fl_core_prepare_heartbeat (bench->core, &target, bench->now_ms, &hold));
  bench_free (bench);
}

/* An end is forgotten at its target only after it is stored. */
static void
test_end_is_stored_first (void **state)
{
  struct bench *bench = bench_new (0);
  struct fl_name target = fl_name_of ("t1");
  struct fl_end_row end = { .number = 1, .task = fl_name_of ("a.0.0.0"), .run = 1 };
  struct fl_core_record records[4];
  struct fl_heartbeat_order hold;

  (void)state;
  add_target (bench, "t1", 4, false);
  add_job (bench, "a", "urgent", (struct fl_step_spec){ .count = 1, .cpu_milli = 1000 });
  tick (bench, 0);
  confirm (bench, 0);
  bench->now_ms += 10;
  list (bench, "t1", (struct fl_target_report){ .booted_at_ms = 1, .ends = &end, .end_count = 1 });
  for (int attempt = 0; attempt < 2; attempt++)
    {
      assert_int_equal (fl_core_collect_records (bench->core, records, 4), 1);
      assert_non_null (strstr (records[0].progress.data, "completed"));
      fl_str_clear (&records[0].progress);
      bench->now_ms += 310;
      if (fl_core_prepare_heartbeat (bench->core, &target, bench->now_ms, &hold))
        assert_int_equal (hold.last_recorded_end, 0);
      fl_core_finish_records (bench->core, attempt == 1, bench->now_ms);
    }
  list (bench, "t1", (struct fl_target_report){ .booted_at_ms = 1, .ends = &end, .end_count = 1 });
  assert_true (fl_core_prepare_heartbeat (bench->core, &target, bench->now_ms, &hold));
  assert_int_equal (hold.last_recorded_end, 1);
  bench_free (bench);
}

/* A run that is no task's current one takes room that is not known. */
static void
test_foreign_run (void **state)
{
  struct bench *bench = bench_new (0);
  struct fl_run_row run = { .task = fl_name_of ("unknown.0.0.0"), .run = 5 };

  (void)state;
  add_target (bench, "t1", 4, false);
  list (bench, "t1", (struct fl_target_report){ .booted_at_ms = 1, .runs = &run, .run_count = 1 });
  assert_int_equal (bench->stops->len, 1);
  add_job (bench, "a", "urgent", (struct fl_step_spec){ .count = 1, .cpu_milli = 1000 });
  tick (bench, 10);
  assert_int_equal (bench->starts->len, 0);
  list (bench, "t1", (struct fl_target_report){ .booted_at_ms = 1 });
  tick (bench, 10);
  assert_int_equal (bench->starts->len, 1);
  bench_free (bench);
}

static void
test_cancel_stops (void **state)
{
  struct bench *bench = bench_new (0);
  struct fl_name id = fl_name_of ("a");

  (void)state;
  add_target (bench, "t1", 1, false);
  add_job (bench, "a", "urgent", (struct fl_step_spec){ .count = 2, .cpu_milli = 1000 });
  tick (bench, 0);
  confirm (bench, 0);
  fl_core_cancel_job (bench->core, &id);
  tick (bench, 10);
  assert_int_equal (bench->stops->len, 1);
  assert_int_equal (bench->starts->len, 1);
  bench_free (bench);
}

static void
test_attempts (void **state)
{
  struct bench *bench = bench_new (0);
  struct fl_end_row end
      = { .number = 1, .task = fl_name_of ("a.0.0.0"), .run = 1, .cause = FL_END_FAILED };

  (void)state;
  add_target (bench, "t1", 4, false);
  add_job (bench, "a", "urgent", (struct fl_step_spec){ .count = 1, .cpu_milli = 1000 });
  tick (bench, 0);
  confirm (bench, 0);
  bench->now_ms += 10;
  list (bench, "t1", (struct fl_target_report){ .booted_at_ms = 1, .ends = &end, .end_count = 1 });
  tick (bench, 10);
  assert_int_equal (bench->starts->len, 2);
  confirm (bench, 1);
  bench->now_ms += 10;
  end.number = 2;
  end.run = 2;
  list (bench, "t1", (struct fl_target_report){ .booted_at_ms = 1, .ends = &end, .end_count = 1 });
  tick (bench, 10);
  assert_int_equal (bench->starts->len, 2);
  bench_free (bench);
}

/* A new owner hears of the second failure before the first: both count. */
static void
test_failures_in_any_order (void **state)
{
  struct bench *bench = bench_new (0);
  struct fl_end_row ends[] = {
    { .number = 1, .task = fl_name_of ("a.0.0.0"), .run = 2, .cause = FL_END_FAILED },
    { .number = 1, .task = fl_name_of ("a.0.0.0"), .run = 1, .cause = FL_END_FAILED },
  };

  (void)state;
  add_job (bench, "a", "urgent", (struct fl_step_spec){ .count = 1, .cpu_milli = 1000 });
  add_target (bench, "t1", 4, false);
  list (bench, "t1",
        (struct fl_target_report){ .booted_at_ms = 1, .ends = &ends[0], .end_count = 1 });
  add_target (bench, "t2", 4, false);
  list (bench, "t2",
        (struct fl_target_report){ .booted_at_ms = 1, .ends = &ends[1], .end_count = 1 });
  tick (bench, 10);
  assert_int_equal (bench->starts->len, 0);
  bench_free (bench);
}

/* --- serving and leaving --- */

/* Fillers slow down before the bound of a serving task and come back below a lower mark. */
static void
test_pacing (void **state)
{
  struct bench *bench = bench_new (0);
  struct fl_run_row runs[] = { { .task = fl_name_of ("serve.0.0.0"), .run = 1 },
                               { .task = fl_name_of ("fill.0.0.0"), .run = 1 } };
  static const struct
  {
    int64_t tail_ms;
    int64_t percent; /* of the filler after it */
  } steps[] = { { 50, 100 }, { 85, 50 }, { 90, 25 }, { 70, 25 }, { 40, 45 }, { 40, 65 } };

  (void)state;
  add_target (bench, "t1", 8, false);
  add_job (bench, "serve", "urgent",
           (struct fl_step_spec){
               .count = 1, .cpu_milli = 1000, .long_running = true, .latency_bound_ms = 100 });
  add_job (bench, "fill", "slow",
           (struct fl_step_spec){ .count = 1, .cpu_milli = 1000, .best_effort = true });
  tick (bench, 0);
  confirm (bench, 0);
  confirm (bench, 1);
  int64_t percent = 100;
  for (size_t i = 0; i < G_N_ELEMENTS (steps); i++)
    {
      bench->now_ms += 500;
      runs[0].gauge = steps[i].tail_ms;
      list (bench, "t1",
            (struct fl_target_report){ .booted_at_ms = 1, .runs = runs, .run_count = 2 });
      if (bench->paces->len > 0)
        percent = g_array_index (bench->paces, struct fl_run_order, bench->paces->len - 1)
                      .share_percent;
      assert_int_equal (percent, steps[i].percent);
    }
  bench_free (bench);
}

/* Tasks that save their work leave a target that is about to go; others stay. */
static void
test_evacuation (void **state)
{
  struct bench *bench = bench_new (0);
  struct fl_run_row runs[]
      = { { .task = fl_name_of ("saves.0.0.0"), .run = 1, .progress_percent = 10 },
          { .task = fl_name_of ("loses.0.0.0"), .run = 1, .progress_percent = 10 } };

  (void)state;
  add_target (bench, "t1", 8, false);
  add_job (bench, "saves", "urgent",
           (struct fl_step_spec){ .count = 1, .cpu_milli = 1000, .checkpoints = true });
  add_job (bench, "loses", "urgent", (struct fl_step_spec){ .count = 1, .cpu_milli = 1000 });
  tick (bench, 0);
  confirm (bench, 0);
  confirm (bench, 1);
  bench->now_ms += 1000;
  list (bench, "t1", (struct fl_target_report){ .booted_at_ms = 1, .runs = runs, .run_count = 2 });
  add_target (bench, "t1", 8, true);
  list (bench, "t1", (struct fl_target_report){ .booted_at_ms = 1, .runs = runs, .run_count = 2 });
  tick (bench, 10);
  assert_int_equal (bench->stops->len, 1);
  assert_string_equal (g_array_index (bench->stops, struct fl_run_order, 0).task.data,
                       "saves.0.0.0");
  bench_free (bench);
}

/* A target that hangs with good health: what stands still goes elsewhere, and nothing new comes. */
static void
test_stalled_task (void **state)
{
  struct bench *bench = bench_new (0);
  struct fl_run_row run = { .task = fl_name_of ("a.0.0.0"), .run = 1, .progress_percent = 20 };

  (void)state;
  add_target (bench, "t1", 4, false);
  add_job (bench, "a", "urgent", (struct fl_step_spec){ .count = 1, .cpu_milli = 1000 });
  tick (bench, 0);
  confirm (bench, 0);
  for (int i = 0; i < 2; i++)
    {
      bench->now_ms += 800;
      list (bench, "t1",
            (struct fl_target_report){ .booted_at_ms = 1, .runs = &run, .run_count = 1 });
      assert_int_equal (bench->stops->len, 0);
    }
  bench->now_ms += 800;
  list (bench, "t1", (struct fl_target_report){ .booted_at_ms = 1, .runs = &run, .run_count = 1 });
  assert_int_equal (bench->stops->len, 1);
  bench_free (bench);
}

/* More is handed in than fits in time: what can still be in time goes first. */
static void
test_late_jobs_wait (void **state)
{
  struct bench *bench = bench_new (0);
  struct fl_end_row end = { .number = 1, .task = fl_name_of ("first.0.0.0"), .run = 1 };

  (void)state;
  add_target (bench, "t1", 1, false);
  add_job (bench, "first", "urgent", (struct fl_step_spec){ .count = 1, .cpu_milli = 1000 });
  tick (bench, 0);
  confirm (bench, 0);
  add_job (bench, "old", "urgent", (struct fl_step_spec){ .count = 1, .cpu_milli = 1000 });
  bench->now_ms += 1000;
  add_job (bench, "new", "urgent", (struct fl_step_spec){ .count = 1, .cpu_milli = 1000 });
  list (bench, "t1", (struct fl_target_report){ .booted_at_ms = 1, .ends = &end, .end_count = 1 });
  tick (bench, 10);
  assert_int_equal (bench->starts->len, 2);
  assert_true (g_str_has_prefix (start_at (bench, 1)->task.data, "new"));
  bench_free (bench);
}

/* No start before a successor can know of it. */
static void
test_start_is_permitted_first (void **state)
{
  struct bench *bench = bench_new (0);

  (void)state;
  add_target (bench, "t1", 4, false);
  add_job (bench, "a", "urgent", (struct fl_step_spec){ .count = 1, .cpu_milli = 1000 });
  fl_core_tick (bench->core, bench->now_ms, bench->now_ms);
  assert_int_equal (bench->starts->len, 0);
  assert_int_equal (store_records (bench), 1);
  fl_core_tick (bench->core, bench->now_ms, bench->now_ms);
  assert_int_equal (bench->starts->len, 1);
  bench_free (bench);
}

/* An owner records a job of which its predecessor recorded nothing, while a target is silent: the
 * next owner still has to presume its tasks anywhere (cell, seed 95). */
static void
test_unrecorded_job_stays_unsettled (void **state)
{
  struct bench *bench = bench_new_settling (0, 200000);
  struct fl_name silent = fl_name_of ("t2");
  struct fl_end_row end = { .number = 1, .task = fl_name_of ("a.0.0.0"), .run = 1 };
  struct fl_core_record records[4];

  (void)state;
  fl_core_inherit_target (bench->core, &silent, &silent);
  add_target (bench, "t1", 4, false);
  add_job (bench, "a", "urgent", (struct fl_step_spec){ .count = 2, .cpu_milli = 1000 });
  list (bench, "t1", (struct fl_target_report){ .booted_at_ms = 1, .ends = &end, .end_count = 1 });
  assert_int_equal (fl_core_collect_records (bench->core, records, 4), 1);
  assert_non_null (strstr (records[0].progress.data, "\"anywhere\":true"));
  fl_str_clear (&records[0].progress);
  fl_core_finish_records (bench->core, true, bench->now_ms);
  bench_free (bench);
}

static guint
targets_to_record (struct bench *bench)
{
  GArray *names = fl_core_collect_target_list (bench->core);
  guint count = names->len / 2;

  g_array_unref (names);
  fl_core_mark_target_list_recorded (bench->core);
  return count;
}

/* A leaving target that runs nothing stays in the list for successors until the ends that it told
 * are recorded; so does one that leaves the registry (cell, seed 30744). */
static void
test_listed_until_ends_are_recorded (void **state)
{
  static const bool leaves_registry[] = { false, true };
  struct fl_end_row end = { .number = 1, .task = fl_name_of ("a.0.0.0"), .run = 1 };
  struct fl_name target = fl_name_of ("t1");

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (leaves_registry); i++)
    {
      struct bench *bench = bench_new (0);
      add_target (bench, "t1", 4, false);
      add_job (bench, "a", "urgent", (struct fl_step_spec){ .count = 1, .cpu_milli = 1000 });
      tick (bench, 0);
      confirm (bench, 0);
      bench->now_ms += 20;
      list (bench, "t1",
            (struct fl_target_report){ .booted_at_ms = 1, .ends = &end, .end_count = 1 });
      if (leaves_registry[i])
        fl_core_remove_target (bench->core, &target);
      else
        add_target (bench, "t1", 4, true);
      fl_core_tick (bench->core, bench->now_ms, bench->now_ms);
      assert_int_equal (targets_to_record (bench), 1);
      tick (bench, 20);
      tick (bench, 20);
      assert_int_equal (targets_to_record (bench), 0);
      bench_free (bench);
    }
}

/* Targets that advice permits are being recorded: nothing more is asked meanwhile. */
static void
test_no_question_while_recording (void **state)
{
  struct bench *bench = bench_new (0);
  struct fl_advised_target good[2];
  struct fl_advice_reply reply = { true, good, 2, 2500 };
  const char *const names[] = { "t1", "t2", "t3", "t4", "t5", "t6", "t7", "t8", "t9" };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    add_target (bench, names[i], 1, false);
  add_job (bench, "a", "advised", (struct fl_step_spec){ .count = 2, .cpu_milli = 1000 });
  tick (bench, 0);
  assert_int_equal (bench->questions, 1);
  for (size_t i = 0; i < G_N_ELEMENTS (good); i++)
    good[i] = (struct fl_advised_target){ g_array_index (bench->asked, struct fl_name, i),
                                          fl_name_of ("ticket") };
  fl_core_handle_advice_reply (bench->core, &bench->asked_step,
                               (struct fl_name *)bench->asked->data, bench->asked->len, &reply,
                               bench->now_ms);
  fl_core_tick (bench->core, bench->now_ms, bench->now_ms);
  assert_int_equal (bench->starts->len, 0);
  assert_int_equal (bench->questions, 1);
  tick (bench, 10);
  assert_int_equal (bench->starts->len, 2);
  bench_free (bench);
}

/* The store takes long: jobs that it knows nothing of do not wait for it, and a successor presumes
 * their tasks anywhere; of others it may know too little. */
static void
test_start_beside_slow_store (void **state)
{
  struct bench *bench = bench_new (0);
  struct fl_core_record records[4];

  (void)state;
  add_target (bench, "t1", 4, false);
  add_job (bench, "a", "urgent", (struct fl_step_spec){ .count = 1, .cpu_milli = 1000 });
  fl_core_tick (bench->core, bench->now_ms, bench->now_ms);
  assert_int_equal (fl_core_collect_records (bench->core, records, 4), 1);
  assert_null (strstr (records[0].progress.data, "\"anywhere\":true"));
  fl_str_clear (&records[0].progress);
  add_job (bench, "b", "urgent", (struct fl_step_spec){ .count = 1, .cpu_milli = 1000 });
  bench->now_ms += 101;
  fl_core_tick (bench->core, bench->now_ms, bench->now_ms);
  assert_int_equal (bench->starts->len, 1);
  assert_true (g_str_has_prefix (start_at (bench, 0)->task.data, "b"));
  fl_core_finish_records (bench->core, true, bench->now_ms);
  assert_int_equal (fl_core_collect_records (bench->core, records, 4), 2);
  for (int i = 0; i < 2; i++)
    {
      assert_non_null (strstr (records[i].progress.data, "\"anywhere\":true"));
      fl_str_clear (&records[i].progress);
    }
  bench_free (bench);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_failures_in_any_order),
    cmocka_unit_test (test_start_beside_slow_store),
    cmocka_unit_test (test_start_is_permitted_first),
    cmocka_unit_test (test_no_question_while_recording),
    cmocka_unit_test (test_listed_until_ends_are_recorded),
    cmocka_unit_test (test_unrecorded_job_stays_unsettled),
    cmocka_unit_test (test_stalled_task),
    cmocka_unit_test (test_late_jobs_wait),
    cmocka_unit_test (test_room_is_kept),
    cmocka_unit_test (test_label_and_limit_per_target),
    cmocka_unit_test (test_priority),
    cmocka_unit_test (test_team_limit),
    cmocka_unit_test (test_limit_kept_for_urgent_work),
    cmocka_unit_test (test_fillers),
    cmocka_unit_test (test_gang_all_or_none),
    cmocka_unit_test (test_advice),
    cmocka_unit_test (test_unanswered_start),
    cmocka_unit_test (test_silent_target),
    cmocka_unit_test (test_start_not_sent),
    cmocka_unit_test (test_address_taken_over),
    cmocka_unit_test (test_hold_after_silence),
    cmocka_unit_test (test_lost_hold),
    cmocka_unit_test (test_end_is_stored_first),
    cmocka_unit_test (test_foreign_run),
    cmocka_unit_test (test_cancel_stops),
    cmocka_unit_test (test_attempts),
    cmocka_unit_test (test_pacing),
    cmocka_unit_test (test_evacuation),
  };

  return cmocka_run_group_tests_name ("core", tests, NULL, NULL);
}
