/* Targets of different speed: what is learnt of them, where tasks are placed, and which runs are
 * moved. */
#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "support_core.h"

#include "policy/speed.h"
#include "policy/straggler.h"

#define SEED 20261204

static double
draw_normal (GRand *rand)
{
  return sqrt (-2.0 * log (1.0 - g_rand_double (rand))) * cos (2.0 * G_PI * g_rand_double (rand));
}

/* --- what is learnt of a target --- */

/* A target has a run each 200 ms. */
static void
test_slow_targets_are_told_from_long_tasks (void **state)
{
  static const struct
  {
    const char *name;
    double factor;                         /* of the run times on the target, from 2 to 9 s */
    double long_share;                     /* of the runs, which take seven times longer */
    double slow_share_min, slow_share_max; /* of the targets that count as slow at some time */
  } cases[] = {
    { "equal", 1.0, 0.0, 0.0, 0.0 },
    { "slower by a quarter", 1.25, 0.0, 0.0, 0.02 },
    { "a tail of long tasks", 1.0, 0.03, 0.0, 0.02 },
    { "slow for seven seconds", 6.7, 0.03, 1.0, 1.0 },
  };
  enum
  {
    TARGETS = 500,
    INTERVAL_MS = 200
  };
  GRand *rand = g_rand_new_with_seed (SEED);

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      int slow = 0;
      for (int j = 0; j < TARGETS; j++)
        {
          struct fl_speed speed = { 0 };
          bool is_slow = false;
          bool was_slow = false;
          for (int64_t now_ms = INTERVAL_MS; now_ms <= 16000; now_ms += INTERVAL_MS)
            {
              double ratio = 0.2 * draw_normal (rand);
              ratio += g_rand_double (rand) < cases[i].long_share ? log (7.0) : 0.0;
              ratio += now_ms >= 2000 && now_ms < 9000 ? log (cases[i].factor) : 0.0;
              speed = fl_speed_at (&speed, now_ms);
              fl_speed_add (&speed, ratio, 0.04);
              is_slow = fl_speed_is_slow (&speed, is_slow);
              was_slow = was_slow || is_slow;
            }
          slow += was_slow;
          assert_false (is_slow);
        }
      if (slow < cases[i].slow_share_min * TARGETS || slow > cases[i].slow_share_max * TARGETS)
        fail_msg ("%s: %d of %d slow", cases[i].name, slow, TARGETS);
    }
  g_rand_free (rand);
}

static void
test_single_runs_and_time (void **state)
{
  static const struct
  {
    const char *name;
    int runs; /* seven times longer than the others of their steps */
    int64_t passed_ms;
    bool is_slow;
    double slowness_max;
  } cases[] = {
    { "none", 0, 0, false, 1.0 },
    { "one long task", 1, 0, false, 2.0 },
    { "two in a row", 2, 0, true, 7.0 },
    { "many", 9, 0, true, 7.0 },
    { "many, a while ago", 9, 15000, false, 1.25 },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fl_speed speed = { 0 };
      for (int j = 0; j < cases[i].runs; j++)
        fl_speed_add (&speed, log (7.0), 0.04);
      speed = fl_speed_at (&speed, cases[i].passed_ms);
      if (fl_speed_is_slow (&speed, false) != cases[i].is_slow
          || fl_speed_slowness (&speed) > cases[i].slowness_max)
        fail_msg ("%s: slowness %.2f", cases[i].name, fl_speed_slowness (&speed));
    }
}

static void
test_failure_rate (void **state)
{
  static const struct
  {
    const char *name;
    int runs, failures;
    int64_t passed_ms;
    double min, max;
  } cases[] = {
    { "unknown", 0, 0, 0, 0.05, 0.05 },
    { "one failure", 1, 1, 0, 0.05, 0.2 },
    { "fails half of all", 20, 10, 0, 0.3, 0.5 },
    { "half a minute ago", 20, 10, 30000, 0.05, 0.1 },
    { "sound", 40, 0, 0, 0.0, 0.02 },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fl_failure_rate rate = { 0 };
      for (int j = 0; j < cases[i].runs; j++)
        fl_failure_rate_add (&rate, j < cases[i].failures, 0);
      double share = fl_failure_rate_get (&rate, 0.05, cases[i].passed_ms);
      if (share < cases[i].min || share > cases[i].max)
        fail_msg ("%s: %.3f", cases[i].name, share);
    }
}

/* --- where tasks are placed --- */

static void
test_waiting_for_another_target (void **state)
{
  static const struct
  {
    const char *name;
    struct fl_target_outlook outlook;
    bool should_wait;
  } cases[] = {
    { "average", { .slowness = 1.0, .median_ms = 500 }, false },
    { "somewhat slower", { .slowness = 1.9, .median_ms = 500 }, false },
    { "slow", { .slowness = 5.0, .median_ms = 500 }, true },
    { "slow, but the wait has cost as much", { 5.0, 0, 0, 500, 2000 }, false },
    { "slow, and the task is long", { 5.0, 0, 0, 30000, 1999 }, true },
    { "nothing runs meanwhile", { 5.0, 0, 0, 30000, 2000 }, false },
    { "run times unknown", { .slowness = 5.0 }, false },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    if (fl_target_outlook_is_worse_than_waiting (&cases[i].outlook) != cases[i].should_wait)
      fail_msg ("%s", cases[i].name);
}

enum
{
  PLACE_TARGETS = 100,
  PLACE_STEPS = 1200,
  STEP_TASKS = 10,
  STEP_INTERVAL_MS = 15
};

struct place_target
{
  double cores;
  double kind_factor;
  bool becomes_slow;
  struct fl_speed speed;
  double end_ms[32]; /* of the runs on it, each on one core */
  int runs;
};

/* What a run tells of its target once half of its step has ended. */
struct place_sample
{
  int target;
  double log_ratio;
  double known_at_ms;
};

static void
learn_until (struct place_target *targets, GArray *samples, double now_ms)
{
  for (guint i = samples->len; i > 0; i--)
    {
      const struct place_sample *sample = &g_array_index (samples, struct place_sample, i - 1);
      struct fl_speed *speed = &targets[sample->target].speed;
      if (sample->known_at_ms > now_ms)
        continue;
      *speed = fl_speed_at (speed, (int64_t)now_ms);
      fl_speed_add (speed, sample->log_ratio, 0.04);
      g_array_remove_index_fast (samples, i - 1);
    }
}

static double
used_cores (const struct place_target *target, double now_ms)
{
  double used = 0;

  for (int i = 0; i < target->runs; i++)
    used += target->end_ms[i] > now_ms;
  return used;
}

static int
choose_target (struct place_target *targets, double now_ms, bool by_time)
{
  double best_score = -1e9;
  int best = 0;

  for (int i = 0; i < PLACE_TARGETS; i++)
    {
      double used = used_cores (&targets[i], now_ms);
      struct fl_speed speed = fl_speed_at (&targets[i].speed, (int64_t)now_ms);
      struct fl_target_outlook outlook
          = { .slowness = fl_speed_slowness (&speed), .load = (used + 1.0) / targets[i].cores };
      double score = by_time ? -fl_target_outlook_time (&outlook) : targets[i].cores - used;
      if (used + 1.0 <= targets[i].cores && score > best_score)
        {
          best = i;
          best_score = score;
        }
    }
  return best;
}

static int
compare_doubles (const void *a, const void *b)
{
  return *(const double *)a < *(const double *)b ? -1 : *(const double *)a > *(const double *)b;
}

/* Starts a step at @now_ms, and adds to @samples what its runs will tell. @return whether it is in
 * time: after half more than its longest task on a sound target. */
static bool
play_step (struct place_target *targets, GArray *samples, GRand *rand, double now_ms, bool by_time)
{
  double size_ms = 500.0 * exp (0.5 * draw_normal (rand));
  double ran_ms[STEP_TASKS], sorted_ms[STEP_TASKS];
  int chosen[STEP_TASKS];
  double longest_ms = 0;
  double due_ms = 0;

  size_ms *= g_rand_double (rand) < 0.03 ? 7.0 : 1.0;
  for (int i = 0; i < STEP_TASKS; i++)
    {
      struct place_target *target = &targets[chosen[i] = choose_target (targets, now_ms, by_time)];
      bool is_slow = target->becomes_slow && now_ms >= 4000 && now_ms < 11000;
      double work_ms = size_ms * exp (0.15 * draw_normal (rand));
      int row = 0;
      while (row < target->runs && target->end_ms[row] > now_ms)
        row++;
      g_assert (row < (int)G_N_ELEMENTS (target->end_ms));
      target->runs = MAX (target->runs, row + 1);
      ran_ms[i] = sorted_ms[i] = work_ms * target->kind_factor * (is_slow ? 6.7 : 1.0);
      target->end_ms[row] = now_ms + ran_ms[i];
      longest_ms = MAX (longest_ms, ran_ms[i]);
      due_ms = MAX (due_ms, 1.5 * work_ms);
    }
  qsort (sorted_ms, STEP_TASKS, sizeof sorted_ms[0], compare_doubles);
  double median_ms = (sorted_ms[STEP_TASKS / 2 - 1] + sorted_ms[STEP_TASKS / 2]) / 2.0;
  for (int i = 0; i < STEP_TASKS; i++)
    {
      struct place_sample sample = { chosen[i], log (ran_ms[i] / median_ms), now_ms + median_ms };
      g_array_append_val (samples, sample);
    }
  return longest_ms <= due_ms;
}

/* @return how many steps are in time. */
static int
play_steps (bool by_time, double slow_share)
{
  static const double sizes[] = { 8, 8, 4, 16 };
  static const double kind_factors[] = { 1.0, 1.0, 1.2 };
  struct place_target targets[PLACE_TARGETS] = { 0 };
  GRand *rand = g_rand_new_with_seed (SEED);
  GArray *samples = g_array_new (FALSE, FALSE, sizeof (struct place_sample));
  int in_time = 0;

  for (int i = 0; i < PLACE_TARGETS; i++)
    {
      targets[i].cores = sizes[i % 4];
      targets[i].kind_factor = kind_factors[i % 3];
      targets[i].becomes_slow = i < slow_share * PLACE_TARGETS;
    }
  for (int i = 0; i < PLACE_STEPS; i++)
    {
      double now_ms = (double)i * STEP_INTERVAL_MS;
      learn_until (targets, samples, now_ms);
      in_time += play_step (targets, samples, rand, now_ms, by_time);
    }
  g_array_unref (samples);
  g_rand_free (rand);
  return in_time;
}

/* Load pattern: targets of half and double size and two kinds, of which some become 6.7 times
 * slower for seven seconds. Placement by free CPU is the reference. */
static void
test_steps_avoid_slow_targets (void **state)
{
  static const struct
  {
    const char *name;
    double slow_share;
    double late_max; /* of the steps that are late by free CPU */
  } cases[] = {
    { "all sound", 0.0, 1.0 },
    { "a twentieth slow", 0.05, 0.5 },
    { "a tenth slow", 0.1, 0.5 },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      int by_cpu = play_steps (false, cases[i].slow_share);
      int by_time = play_steps (true, cases[i].slow_share);
      print_message ("%s: %d steps in time by free CPU, %d by expected time, of %d\n",
                     cases[i].name, by_cpu, by_time, PLACE_STEPS);
      if (PLACE_STEPS - by_time > cases[i].late_max * (PLACE_STEPS - by_cpu))
        fail_msg ("%s: %d in time by free CPU, %d by expected time", cases[i].name, by_cpu,
                  by_time);
    }
}

/* --- which runs are moved --- */

static void
test_stragglers (void **state)
{
  static const struct fl_straggler slow = { .elapsed_ms = 1000,
                                            .progress_percent = 10,
                                            .least_slowness = 6.0,
                                            .restart_ms = 1200,
                                            .due_ms = 500,
                                            .step_tasks = 10 };
  struct
  {
    const char *name;
    struct fl_straggler run;
    bool should_move;
  } cases[] = {
    { "slow", slow, true },
    { "its target is sound", slow, false },
    { "its job is in time", slow, false },
    { "almost done", slow, false },
    { "moved before", slow, false },
    { "others of its step were moved", slow, false },
    { "a long task without a checkpoint", slow, false },
    { "a long task with a checkpoint", slow, true },
  };

  (void)state;
  cases[1].run.least_slowness = 1.0;
  cases[2].run.due_ms = 20000;
  cases[3].run.progress_percent = 80;
  cases[4].run.was_moved = true;
  cases[5].run.step_moves = 3;
  cases[6].run.elapsed_ms = cases[7].run.elapsed_ms = 20000;
  cases[6].run.progress_percent = cases[7].run.progress_percent = 80;
  cases[7].run.has_checkpoint = true;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    if (fl_straggler_should_move (&cases[i].run) != cases[i].should_move)
      fail_msg ("%s", cases[i].name);
}

enum
{
  MOVE_TARGETS = 10,
  MOVE_TASKS = 30 /* three on each target */
};

static void
tell_progress (struct fixture *fixture, int target, int64_t percent, int64_t age_ms)
{
  g_autofree char *name = g_strdup_printf ("t%d", target);
  struct fl_run_row runs[MOVE_TASKS];
  struct fl_end_row ends[MOVE_TASKS];
  struct fl_target_report report = { .booted_at_ms = 1, .runs = runs, .ends = ends };
  struct fl_order_reply reply = { .result = FL_ORDER_DONE, .report = &report };
  struct fl_name id = fl_name_of (name);

  for (guint i = 0; i < MOVE_TASKS; i++)
    {
      const struct fl_start_order *order = get_start_order (fixture, i);
      if (!fl_name_eq (&order->target, &id))
        continue;
      if (percent < 100)
        runs[report.run_count++] = (struct fl_run_row){ .task = order->task,
                                                        .run = order->run,
                                                        .progress_percent = percent };
      else
        {
          ends[report.end_count] = (struct fl_end_row){ .task = order->task, .run = order->run };
          ends[report.end_count].number = (int64_t)report.end_count + 1;
          report.end_count++;
        }
    }
  report.clock_ms = fixture->now_ms - age_ms;
  fl_core_handle_heartbeat_reply (fixture->core, &id, &reply, fixture->now_ms - age_ms - 1,
                                  fixture->now_ms);
}

/* The target of the first stop order lists the end of the run: its task continues elsewhere. */
static void
check_continuation (struct fixture *fixture)
{
  const struct fl_run_order *stop = &g_array_index (fixture->stop_orders, struct fl_run_order, 0);
  struct fl_end_row end = { .number = 1,
                            .task = stop->task,
                            .run = stop->run,
                            .cause = FL_END_STOPPED,
                            .checkpoint = fl_str_of ("saved") };

  tick_until_recorded (fixture, 10);
  assert_int_equal (fixture->start_orders->len, MOVE_TASKS);
  deliver_report (fixture, stop->target.data,
                  (struct fl_target_report){ .booted_at_ms = 1, .ends = &end, .end_count = 1 });
  tick_until_recorded (fixture, 10);
  /* The report lists no other run, so that these are started again, too. */
  for (guint i = MOVE_TASKS; i < fixture->start_orders->len; i++)
    if (fl_name_eq (&get_start_order (fixture, i)->task, &stop->task))
      {
        assert_false (fl_name_eq (&get_start_order (fixture, i)->target, &stop->target));
        assert_string_equal (get_start_order (fixture, i)->checkpoint, "saved");
        return;
      }
  fail_msg ("%s is not started again", stop->task.data);
}

/* A step of thirty tasks on ten targets, of which others take a second. */
static void
test_moved_runs (void **state)
{
  static const struct
  {
    const char *name;
    int slow_targets;
    int64_t slow_percent;  /* that their tasks have reached by then; negative: it is silent */
    int64_t report_age_ms; /* of the reports of the slow targets */
    int moves_min, moves_max;
  } cases[] = {
    { "none slow", 0, 0, 0, 0, 0 },
    { "one slow", 1, 14, 0, 1, 1 },
    { "all slow", 10, 14, 0, 0, 0 },
    { "most slow", 6, 14, 0, 0, 1 },
    { "reports were late", 1, 14, 900, 0, 0 },
    { "silent", 1, -1, 0, 0, 0 },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fixture *fixture = fixture_new (0);
      fixture->now_ms += 1000;
      for (int j = 0; j < MOVE_TARGETS; j++)
        {
          g_autofree char *name = g_strdup_printf ("t%d", j);
          add_target (fixture, name, 3, false);
        }
      add_job (fixture, "a", "urgent",
               (struct fl_step_spec){ .count = MOVE_TASKS, .cpu_milli = 1000 });
      tick_until_recorded (fixture, 0);
      assert_int_equal (fixture->start_orders->len, MOVE_TASKS);
      for (guint j = 0; j < MOVE_TASKS; j++)
        confirm_start (fixture, j);
      /* The time of an end is known if the report before was shortly before it. */
      for (int64_t percent = 50; percent <= 100; percent += 50)
        {
          fixture->now_ms += 500;
          for (int j = cases[i].slow_targets; j < MOVE_TARGETS; j++)
            tell_progress (fixture, j, percent, 0);
        }
      fixture->now_ms += 100;
      tick_until_recorded (fixture, 0);
      for (int j = 0; j < cases[i].slow_targets && cases[i].slow_percent >= 0; j++)
        tell_progress (fixture, j, cases[i].slow_percent, cases[i].report_age_ms);
      int moves = (int)fixture->stop_orders->len;
      if (moves > 0)
        check_continuation (fixture);
      if (moves < cases[i].moves_min || moves > cases[i].moves_max)
        fail_msg ("%s: %d runs moved", cases[i].name, moves);
      fixture_free (fixture);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_slow_targets_are_told_from_long_tasks),
    cmocka_unit_test (test_single_runs_and_time),
    cmocka_unit_test (test_failure_rate),
    cmocka_unit_test (test_waiting_for_another_target),
    cmocka_unit_test (test_steps_avoid_slow_targets),
    cmocka_unit_test (test_stragglers),
    cmocka_unit_test (test_moved_runs),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
