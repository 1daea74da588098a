/* Room for urgent work: which batch tasks wait, and which are stopped, when urgent jobs arrive. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "core/core.h"
#include "policy/preemption.h"
#include "support_core.h"

enum
{
  TARGETS = 4,
  TARGET_CORES = 10,
  STOP_MS = 300,     /* until a target lists the end of a run that it stops */
  HEARTBEAT_MS = 20, /* between two reports of a target */
  URGENT_RUN_MS = 500,
  BATCH_RUN_MS = 8000
};

/* --- choice --- */

static void
test_choice_of_tasks (void **state)
{
  static const struct
  {
    const char *name;
    struct fl_preemption_candidate candidates[4];
    struct fl_preemption_need need;
    size_t chosen;
    int64_t first_remaining_ms; /* of the first one chosen */
  } cases[] = {
    { "no need", { { 1000, 10, 5000, 0, false, NULL } }, { 0, 0, 9000 }, 0, 0 },
    { "longest first",
      { { 1000, 10, 5000, 0, false, NULL }, { 1000, 10, 9000, 0, false, NULL } },
      { 800, 0, 9000 },
      1,
      9000 },
    { "as many as needed",
      { { 1000, 10, 5000, 0, false, NULL }, { 1000, 10, 9000, 0, false, NULL } },
      { 1200, 0, 9000 },
      2,
      9000 },
    { "memory is short",
      { { 1000, 10, 5000, 0, false, NULL }, { 1000, 10, 9000, 0, false, NULL } },
      { 0, 15, 9000 },
      2,
      9000 },
    { "ends soon", { { 1000, 10, 900, 0, false, NULL } }, { 800, 0, 9000 }, 0, 0 },
    { "preempted often",
      { { 1000, 10, 9000, 3, false, NULL }, { 1000, 10, 5000, 2, false, NULL } },
      { 800, 0, 9000 },
      1,
      5000 },
    { "less often first",
      { { 1000, 10, 9000, 1, false, NULL }, { 1000, 10, 5000, 0, false, NULL } },
      { 800, 0, 9000 },
      1,
      5000 },
    { "late for it last",
      { { 1000, 10, 9000, 0, true, NULL }, { 1000, 10, 5000, 2, false, NULL } },
      { 800, 0, 9000 },
      1,
      5000 },
    { "most that may be stopped",
      { { 1000, 10, 5000, 0, false, NULL }, { 1000, 10, 9000, 0, false, NULL } },
      { 2000, 0, 1500 },
      1,
      9000 },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fl_preemption_candidate candidates[4];
      size_t count = 0;
      while (count < 4 && cases[i].candidates[count].cpu_milli > 0)
        {
          candidates[count] = cases[i].candidates[count];
          count++;
        }
      size_t chosen = fl_preemption_choose (candidates, count, &cases[i].need);
      if (chosen != cases[i].chosen
          || (chosen > 0 && candidates[0].remaining_ms != cases[i].first_remaining_ms))
        fail_msg ("%s: %d chosen", cases[i].name, (int)chosen);
    }
}

/* --- a pool on a virtual clock --- */

/* A run on a target of the model. */
struct model_run
{
  struct fl_name task;
  struct fl_name target;
  int64_t run;
  int64_t started_ms;
  int64_t length_ms;
  int64_t stop_at_ms; /* 0 while no stop was ordered */
};

struct model
{
  struct fixture *fixture;
  GArray *runs; /* struct model_run */
  guint starts_seen;
  guint stops_seen;
  int64_t end_numbers[TARGETS];
  int ended[2]; /* tasks that ended as done: urgent ones, others */
  int resumed;  /* starts of batch tasks with a checkpoint */
};

static struct model *
model_new (int64_t cpu_cap_milli)
{
  struct model *model = g_new0 (struct model, 1);

  model->fixture = fixture_new (cpu_cap_milli);
  model->runs = g_array_new (FALSE, FALSE, sizeof (struct model_run));
  fl_core_set_registry_known (model->fixture->core);
  for (int i = 0; i < TARGETS; i++)
    {
      g_autofree char *name = g_strdup_printf ("t%d", i);
      add_target (model->fixture, name, TARGET_CORES, false);
    }
  return model;
}

static void
model_free (struct model *model)
{
  fixture_free (model->fixture);
  g_array_unref (model->runs);
  g_free (model);
}

static bool
is_urgent (const struct fl_name *task)
{
  return task->data[0] == 'u';
}

static void
take_orders (struct model *model)
{
  struct fixture *fixture = model->fixture;

  for (; model->starts_seen < fixture->start_orders->len; model->starts_seen++)
    {
      const struct fl_start_order *order = get_start_order (fixture, model->starts_seen);
      struct model_run run = { order->task,
                               order->target,
                               order->run,
                               fixture->now_ms,
                               is_urgent (&order->task) ? URGENT_RUN_MS : BATCH_RUN_MS,
                               0 };
      model->resumed += !is_urgent (&order->task) && order->checkpoint[0] != '\0';
      g_array_append_val (model->runs, run);
      confirm_start (fixture, model->starts_seen);
    }
  for (; model->stops_seen < fixture->stop_orders->len; model->stops_seen++)
    {
      const struct fl_run_order *order
          = &g_array_index (fixture->stop_orders, struct fl_run_order, model->stops_seen);
      for (guint i = 0; i < model->runs->len; i++)
        {
          struct model_run *run = &g_array_index (model->runs, struct model_run, i);
          if (fl_name_eq (&run->task, &order->task) && run->run == order->run)
            run->stop_at_ms = fixture->now_ms + STOP_MS;
        }
      fl_core_handle_stop_reply (fixture->core, &order->task, order->run, FL_ORDER_DONE,
                                 fixture->now_ms);
    }
}

/* Reports the runs and ends of target @index. */
static void
report_target (struct model *model, int index)
{
  struct fixture *fixture = model->fixture;
  g_autofree char *name = g_strdup_printf ("t%d", index);
  struct fl_name id = fl_name_of (name);
  struct fl_run_row rows[64];
  struct fl_end_row ends[64];
  struct fl_target_report report = { .booted_at_ms = 1, .runs = rows, .ends = ends };
  struct fl_heartbeat_order heartbeat;

  if (!fl_core_prepare_heartbeat (fixture->core, &id, fixture->now_ms - 1, &heartbeat))
    return;
  for (guint i = model->runs->len; i > 0; i--)
    {
      struct model_run *run = &g_array_index (model->runs, struct model_run, i - 1);
      bool is_done = fixture->now_ms >= run->started_ms + run->length_ms;
      bool is_stopped = run->stop_at_ms > 0 && fixture->now_ms >= run->stop_at_ms;
      if (!fl_name_eq (&run->target, &id))
        continue;
      if (!is_done && !is_stopped)
        {
          rows[report.run_count++]
              = (struct fl_run_row){ .task = run->task,
                                     .run = run->run,
                                     .progress_percent
                                     = (fixture->now_ms - run->started_ms) * 100 / run->length_ms };
          continue;
        }
      ends[report.end_count++]
          = (struct fl_end_row){ .number = ++model->end_numbers[index],
                                 .task = run->task,
                                 .run = run->run,
                                 .cause = is_done ? FL_END_DONE : FL_END_STOPPED,
                                 .checkpoint = fl_str_of ("c") };
      if (is_done)
        model->ended[is_urgent (&run->task) ? 0 : 1]++;
      g_array_remove_index_fast (model->runs, i - 1);
    }
  deliver_report (fixture, name, report);
  for (size_t i = 0; i < report.end_count; i++)
    fl_str_clear (&ends[i].checkpoint);
}

static void
run_model (struct model *model, int64_t duration_ms)
{
  for (int64_t elapsed_ms = 0; elapsed_ms < duration_ms; elapsed_ms += HEARTBEAT_MS)
    {
      tick_until_recorded (model->fixture, HEARTBEAT_MS);
      take_orders (model);
      for (int i = 0; i < TARGETS; i++)
        report_target (model, i);
    }
}

/* Fills the pool, or what @cpu_cap_milli allows of it unless that is 0, with the tasks of @batch,
 * which need a quarter of a target. */
static struct model *
model_new_full (struct fl_step_spec batch, const char *queue, int64_t cpu_cap_milli)
{
  struct model *model = model_new (cpu_cap_milli);

  batch.count = 40;
  batch.cpu_milli = 2500;
  batch.estimate_ms = BATCH_RUN_MS;
  batch.disruptions_max = -1;
  add_job (model->fixture, "b", queue, batch);
  run_model (model, 1000);
  return model;
}

static void
add_urgent_job (struct model *model, const char *id, int64_t count)
{
  add_job (
      model->fixture, id, "urgent",
      (struct fl_step_spec){
          .count = count, .cpu_milli = 2500, .estimate_ms = URGENT_RUN_MS, .disruptions_max = -1 });
}

/* Urgent jobs that arrived while batch tasks filled all targets waited for these to end. */
static void
test_urgent_tasks_behind_long_ones (void **state)
{
  static const struct
  {
    const char *name;
    struct fl_step_spec batch;
    const char *queue;
    guint stops;      /* of batch tasks */
    int urgent_ended; /* after two seconds */
  } cases[] = {
    { "with checkpoints", { .checkpoints = true }, "slow", 4, 4 },
    { "without checkpoints", { 0 }, "slow", 0, 0 },
    { "of the same priority", { .checkpoints = true }, "urgent", 0, 0 },
    { "long-running", { .checkpoints = true, .long_running = true }, "slow", 0, 0 },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct model *model = model_new_full (cases[i].batch, cases[i].queue, 0);
      assert_int_equal (model->runs->len, TARGETS * 4);
      add_urgent_job (model, "u", 4);
      run_model (model, 2000);
      if (model->fixture->stop_orders->len != cases[i].stops
          || model->ended[0] != cases[i].urgent_ended)
        fail_msg ("%s: %u stopped, %d ended", cases[i].name, model->fixture->stop_orders->len,
                  model->ended[0]);
      model_free (model);
    }
}

/* Urgent jobs of a team waited while its own batch tasks exhausted its limit, beside free targets.
 */
static void
test_urgent_tasks_at_the_limit_of_their_team (void **state)
{
  static const struct
  {
    const char *name;
    bool checkpoints;
    guint stops;
    int urgent_ended; /* after two seconds */
  } cases[] = { { "with checkpoints", true, 4, 4 }, { "without checkpoints", false, 0, 0 } };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fl_step_spec batch = { .checkpoints = cases[i].checkpoints };
      struct model *model = model_new_full (batch, "slow", 20000);
      assert_int_equal (model->runs->len, 8);
      add_urgent_job (model, "u", 4);
      run_model (model, 2000);
      if (model->fixture->stop_orders->len != cases[i].stops
          || model->ended[0] != cases[i].urgent_ended)
        fail_msg ("%s: %u stopped, %d ended", cases[i].name, model->fixture->stop_orders->len,
                  model->ended[0]);
      model_free (model);
    }
}

/* What was stopped resumes from its checkpoint, and all batch tasks end. */
static void
test_preempted_tasks_resume (void **state)
{
  struct model *model = model_new_full ((struct fl_step_spec){ .checkpoints = true }, "slow", 0);

  (void)state;
  add_urgent_job (model, "u", 4);
  run_model (model, 40000);
  assert_int_equal (model->ended[1], 40);
  assert_true (model->resumed >= 4);
  model_free (model);
}

/* A series of bursts stops no task more often than three times, and no more than a quarter of the
 * capacity at a time. */
static void
test_bursts_are_bounded (void **state)
{
  struct model *model = model_new_full ((struct fl_step_spec){ .checkpoints = true }, "slow", 0);
  g_autoptr (GHashTable) stops = g_hash_table_new (fl_name_hash, fl_name_equal);
  guint stopped = 0;

  (void)state;
  for (int i = 0; i < 10; i++)
    {
      g_autofree char *id = g_strdup_printf ("u%d", i);
      add_urgent_job (model, id, 12);
      tick_until_recorded (model->fixture, 1);
      assert_in_range (model->fixture->stop_orders->len - stopped, 0, TARGETS);
      run_model (model, 1500);
      stopped = model->fixture->stop_orders->len;
    }
  for (guint i = 0; i < model->fixture->stop_orders->len; i++)
    {
      struct fl_run_order *order
          = &g_array_index (model->fixture->stop_orders, struct fl_run_order, i);
      gsize count = GPOINTER_TO_SIZE (g_hash_table_lookup (stops, &order->task));
      assert_in_range (count, 0, 2);
      g_hash_table_insert (stops, &order->task, GSIZE_TO_POINTER (count + 1));
    }
  model_free (model);
}

/* A gap that opened while the query of an urgent step was in flight was filled by a batch task. */
static void
test_gap_is_kept_during_the_query (void **state)
{
  static const struct
  {
    const char *name;
    bool has_urgent_step;
    bool team_at_limit; /* of the urgent step: it could not use the gap */
    guint starts;       /* of the batch step */
  } cases[] = { { "no urgent step", false, false, 4 },
                { "urgent step waits for advice", true, false, 2 },
                { "urgent step waits for its limit", true, true, 4 } };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fixture *fixture = fixture_new (cases[i].team_at_limit ? 10001 : 0);
      struct fl_step_spec step = { .count = 2, .cpu_milli = 2500, .disruptions_max = -1 };
      add_target (fixture, "t", TARGET_CORES, false);
      if (cases[i].has_urgent_step)
        {
          if (cases[i].team_at_limit)
            step.cpu_milli = 10002;
          add_job (fixture, "u", "advised", step);
          tick_until_recorded (fixture, 1);
        }
      step = (struct fl_step_spec){ .count = 4, .cpu_milli = 2500, .disruptions_max = -1 };
      add_job (fixture, "b", "slow", step);
      for (int j = 0; j < 3; j++)
        tick_until_recorded (fixture, 4);
      if (fixture->start_orders->len != cases[i].starts)
        fail_msg ("%s: %u starts", cases[i].name, fixture->start_orders->len);
      fixture_free (fixture);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_choice_of_tasks),
    cmocka_unit_test (test_urgent_tasks_behind_long_ones),
    cmocka_unit_test (test_urgent_tasks_at_the_limit_of_their_team),
    cmocka_unit_test (test_preempted_tasks_resume),
    cmocka_unit_test (test_bursts_are_bounded),
    cmocka_unit_test (test_gap_is_kept_during_the_query),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
