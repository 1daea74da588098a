/* Tasks that slow each other down: which pairs are learnt, from what, and what placement does. */
#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "policy/interference.h"
#include "support_core.h"

#define TARGETS 8

/* --- learning, on plain values --- */

/* Samples of one victim class on TARGETS targets, one a second each. */
struct scenario
{
  const char *name;
  double slowdown;       /* by the neighbour */
  int neighbour_targets; /* the neighbour comes to so many targets only */
  bool is_always_beside; /* on these it never leaves; else it comes and goes every 3 s */
  double slow_factor;    /* slowness of the first @slow_targets, or of all from @slower_at_s on */
  int slow_targets;
  int64_t slower_at_s; /* 0 for never */
  double kind_factor;  /* slowness of half of the targets, a kind to which alone it comes; or 0 */
  double load_factor;  /* slowness under high load, which the neighbour often brings; or 0 */
  bool is_learnt;
};

struct learner
{
  struct fl_interference *interference;
  struct fl_interference_class victim;
  struct fl_interference_class neighbour;
  GRand *rand;
  int64_t now_ms;
  int learnt;
  enum fl_interference_change last_change;
};

static void
note_change (void *context,
             const struct fl_interference_pair *pair,
             enum fl_interference_change change)
{
  struct learner *learner = context;

  assert_true (pair->targets > 0);
  learner->learnt += change == FL_INTERFERENCE_LEARNT ? 1 : 0;
  learner->last_change = change;
}

static struct learner
learner_new (guint32 seed)
{
  struct learner learner = { .interference = fl_interference_new (),
                             .rand = g_rand_new_with_seed (seed),
                             .now_ms = 1000 };
  struct fl_name queue = fl_name_of ("q");
  struct fl_name victim = fl_name_of ("victim");
  struct fl_name neighbour = fl_name_of ("neighbour");

  learner.victim = fl_interference_get_class (learner.interference, &queue, &victim, 0);
  learner.neighbour = fl_interference_get_class (learner.interference, &queue, &neighbour, 0);
  return learner;
}

static void
learner_free (struct learner *learner)
{
  fl_interference_free (learner->interference);
  g_rand_free (learner->rand);
}

/* Adds a second of samples, with deviations by a factor of about 1.3. */
static void
play_second (struct learner *learner, const struct scenario *scenario)
{
  int64_t second = learner->now_ms / 1000;

  for (int i = 0; i < TARGETS; i++)
    {
      bool is_second_kind = scenario->kind_factor > 0 && i >= TARGETS / 2;
      bool is_beside = i < scenario->neighbour_targets
                       && (scenario->is_always_beside || (second + 2 * i) / 3 % 2 == 0)
                       && (scenario->kind_factor <= 0 || is_second_kind);
      bool is_loaded = scenario->load_factor > 0
                       && (is_beside ? g_rand_double (learner->rand) < 0.7 : second % 3 == 0);
      bool is_slower = scenario->slower_at_s > 0 ? second >= scenario->slower_at_s
                                                 : i < scenario->slow_targets;
      double slowness
          = exp (0.6 * (g_rand_double (learner->rand) - 0.5)) * (is_beside ? scenario->slowdown : 1)
            * (is_slower ? scenario->slow_factor : 1) * (is_second_kind ? scenario->kind_factor : 1)
            * (is_loaded ? scenario->load_factor : 1);
      struct fl_interference_sample sample = {
        .victim = learner->victim,
        .neighbours = is_beside ? fl_interference_class_bit (learner->neighbour) : 0,
        .target = 100 + (uint32_t)i,
        .kind = is_second_kind ? 2 : 1,
        .load_percent = is_loaded ? 90 : 40,
        .slowness = slowness,
      };
      fl_interference_add (learner->interference, &sample, learner->now_ms);
    }
  for (int i = 0; i < 4; i++)
    {
      learner->now_ms += 250;
      fl_interference_update (learner->interference, learner->now_ms, note_change, learner);
    }
}

static void
test_pairs_are_told_from_other_causes (void **state)
{
  static const struct scenario cases[] = {
    { "a disturbing pair", 1.4, TARGETS, false, 1, 0, 0, 0, 0, true },
    { "on some targets", 1.6, 4, false, 1, 0, 0, 0, 0, true },
    { "always together there", 1.6, 4, true, 1, 0, 0, 0, 0, true },
    { "a harmless pair", 1, TARGETS, false, 1, 0, 0, 0, 0, false },
    { "on two targets only", 3, 2, false, 1, 0, 0, 0, 0, false },
    { "a slow target", 1, 4, true, 5, 1, 0, 0, 0, false },
    { "slow targets, on which alone it comes", 1, 4, false, 2, 4, 0, 0, 0, false },
    { "a slow kind of target", 1, TARGETS, false, 1, 0, 0, 2.5, 0, false },
    { "a slow kind, always together there", 1, TARGETS, true, 1, 0, 0, 2.5, 0, false },
    { "loaded targets", 1, TARGETS, false, 1, 0, 0, 0, 2, false },
    { "all is slower from some time on", 1, 5, false, 2, 0, 20, 0, 0, false },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    for (guint32 seed = 1; seed <= 20; seed++)
      {
        struct learner learner = learner_new (seed);
        for (int second = 0; second < 60; second++)
          play_second (&learner, &cases[i]);
        if ((learner.learnt > 0) != cases[i].is_learnt)
          fail_msg ("%s, seed %u: learnt %d times", cases[i].name, seed, learner.learnt);
        learner_free (&learner);
      }
}

/* @return the seconds until the pair is known, or is not; 200 for never. */
static int
play_until (struct learner *learner, const struct scenario *scenario, bool is_known)
{
  int seconds = 0;

  while (seconds < 200 && (fl_interference_pair_count (learner->interference) > 0) != is_known)
    {
      play_second (learner, scenario);
      seconds++;
    }
  return seconds;
}

static void
test_changes_are_followed (void **state)
{
  const struct scenario disturbing = { "", 1.5, TARGETS, false, 1, 0, 0, 0, 0, true };
  const struct scenario harmless = { "", 1, TARGETS, false, 1, 0, 0, 0, 0, false };
  const struct scenario apart = { "", 1.5, 0, false, 1, 0, 0, 0, 0, false };

  (void)state;
  for (guint32 seed = 1; seed <= 20; seed++)
    {
      struct learner learner = learner_new (seed);
      assert_in_range (play_until (&learner, &disturbing, true), 1, 20);
      assert_true (
          fabs (fl_interference_slowdown (learner.interference, learner.victim, learner.neighbour)
                - 0.5)
          < 0.3);
      assert_in_range (play_until (&learner, &harmless, false), 1, 45);
      assert_int_equal (learner.last_change, FL_INTERFERENCE_REFUTED);
      assert_in_range (play_until (&learner, &disturbing, true), 1, 45);
      /* Kept apart, the pair is tried again. */
      assert_in_range (play_until (&learner, &apart, false), 30, 47);
      assert_int_equal (learner.last_change, FL_INTERFERENCE_FADED);
      assert_in_range (play_until (&learner, &disturbing, true), 1, 20);
      learner_free (&learner);
    }
}

/* Clients choose the names of images, so that memory is bounded. */
static void
test_hundreds_of_images (void **state)
{
  struct learner learner = learner_new (1);
  struct fl_name queue = fl_name_of ("q");
  uint32_t places = 0;

  (void)state;
  for (int i = 0; i < 2000; i++)
    {
      struct fl_name image = fl_name_format ("image-%d", i);
      struct fl_interference_class ref
          = fl_interference_get_class (learner.interference, &queue, &image, i);
      assert_true (fl_interference_class_is_valid (learner.interference, ref));
      places |= fl_interference_class_bit (ref);
    }
  assert_true (places >> (FL_INTERFERENCE_CLASSES_MAX - 1) & 1);
  assert_true (fl_interference_class_is_valid (learner.interference, learner.victim));
  /* Idle classes leave their places, and what referred to them expires. */
  fl_interference_note_seen (learner.interference, fl_interference_class_bit (learner.neighbour),
                             99000);
  for (int i = 0; i < FL_INTERFERENCE_CLASSES_MAX; i++)
    {
      struct fl_name image = fl_name_format ("new-%d", i);
      fl_interference_get_class (learner.interference, &queue, &image, 100000);
    }
  assert_false (fl_interference_class_is_valid (learner.interference, learner.victim));
  assert_true (fl_interference_class_is_valid (learner.interference, learner.neighbour));
  learner_free (&learner);
}

/* --- placement, with a model of targets whose tasks slow each other down --- */

#define CORES 4
#define STEP_MS 50
#define REPLY_INTERVAL_MS 200
/* Age at which a touchy job, which takes 2400 ms alone, is in time. */
#define IN_TIME_MS 3500

/* Kinds of tasks, by the first letter of the name of their job. Touchy ones slow down beside noisy
 * ones. Frail and sturdy ones serve, and the tail of the frail ones rises beside filling ones. */
enum
{
  TOUCHY = 't',
  NOISY = 'n',
  FRAIL = 'f',
  STURDY = 's',
  FILLING = 'b'
};

struct model_run
{
  struct fl_name task;
  int64_t run;
  int target;
  char kind;
  double percent;
};

struct model
{
  struct fixture *fixture;
  GArray *runs; /* struct model_run */
  guint orders; /* start orders that have been executed */
  int64_t last_end[TARGETS];
  int64_t heartbeat_sent_ms[TARGETS];
  bool has_images;          /* the jobs name them */
  double slowdown;          /* of touchy tasks beside a noisy one */
  int64_t frail_tail_ms[2]; /* alone, and beside a filling task */
  bool has_sizes;           /* every fourth job has many large tasks, the others one small */
  bool has_late_replies;    /* those of targets with noisy tasks are late, and some are lost */
  int started;              /* touchy or filling tasks */
  int started_beside;       /* of these, touchy ones beside noisy, filling ones beside frail ones */
  int in_time;              /* touchy jobs */
};

static struct model *
model_new (double slowdown, bool has_images)
{
  struct model *model = g_new0 (struct model, 1);

  model->fixture = fixture_new (0);
  model->runs = g_array_new (FALSE, FALSE, sizeof (struct model_run));
  model->slowdown = slowdown;
  model->has_images = has_images;
  for (int i = 0; i < TARGETS; i++)
    add_target (model->fixture, fl_name_format ("t%d", i).data, CORES, false);
  return model;
}

static void
model_free (struct model *model)
{
  fixture_free (model->fixture);
  g_array_unref (model->runs);
  g_free (model);
}

static int64_t
get_stat (const struct model *model, const char *name)
{
  return fl_stats_get (model->fixture->stats, name);
}

static bool
has_run (const struct model *model, int target, char kind)
{
  for (guint i = 0; i < model->runs->len; i++)
    {
      const struct model_run *run = &g_array_index (model->runs, struct model_run, i);
      if (run->target == target && run->kind == kind)
        return true;
    }
  return false;
}

/* The name of a job tells its kind and when it was submitted. */
static void
submit (struct model *model, char kind, struct fl_step_spec step)
{
  struct fl_name id = fl_name_format ("%c%d", kind, (int)model->fixture->now_ms);

  step.cpu_milli = 1000;
  if (model->has_images)
    step.image = fl_name_format ("image-%c", kind);
  add_job (model->fixture, id.data, kind == NOISY || kind == FILLING ? "slow" : "urgent", step);
}

static void
execute_orders (struct model *model)
{
  for (; model->orders < model->fixture->start_orders->len; model->orders++)
    {
      const struct fl_start_order *order = get_start_order (model->fixture, model->orders);
      struct model_run run = { .task = order->task,
                               .run = order->run,
                               .target = order->target.data[1] - '0',
                               .kind = order->task.data[0] };
      if (run.kind == TOUCHY || run.kind == FILLING)
        {
          model->started++;
          model->started_beside
              += has_run (model, run.target, run.kind == FILLING ? FRAIL : NOISY) ? 1 : 0;
        }
      g_array_append_val (model->runs, run);
      confirm_start (model->fixture, model->orders);
    }
}

static int64_t
submitted_ms (const struct model_run *run)
{
  return g_ascii_strtoll (run->task.data + 1, NULL, 10);
}

static bool
is_large (int64_t at_ms)
{
  return at_ms / 1000 % 4 == 0;
}

static double
progress_per_ms (const struct model *model, const struct model_run *run)
{
  bool is_slowed = run->kind == TOUCHY && has_run (model, run->target, NOISY);
  double size = model->has_sizes ? (is_large (submitted_ms (run)) ? 2 : 0.5) : 1;

  return 100 / ((run->kind == TOUCHY ? 2400 : 1500) * size * (is_slowed ? model->slowdown : 1));
}

/* Collects what @target says as of @delay_ms ago, with the ends of the runs that are done. */
static void
collect_report (struct model *model, int target, int64_t delay_ms, struct fl_target_report *report)
{
  for (guint i = model->runs->len; i > 0; i--)
    {
      struct model_run run = g_array_index (model->runs, struct model_run, i - 1);
      bool is_serving = run.kind == FRAIL || run.kind == STURDY;
      double percent = run.percent - progress_per_ms (model, &run) * (double)delay_ms;
      if (run.target != target)
        continue;
      if (is_serving || percent < 100)
        {
          report->runs[report->run_count++] = (struct fl_run_row){
            .task = run.task,
            .run = run.run,
            .progress_percent = is_serving ? 100 : MAX ((int64_t)percent, 0),
            .gauge
            = run.kind == FRAIL ? model->frail_tail_ms[has_run (model, target, FILLING)] : 40,
          };
          continue;
        }
      report->ends[report->end_count++] = (struct fl_end_row){
        .number = ++model->last_end[target], .task = run.task, .run = run.run, .cause = FL_END_DONE
      };
      int64_t age_ms = model->fixture->now_ms - submitted_ms (&run);
      model->in_time += run.kind == TOUCHY && age_ms <= IN_TIME_MS ? 1 : 0;
      g_array_remove_index_fast (model->runs, i - 1);
    }
}

/* Delivers the reply of @target to the heartbeat that was sent after its last reply. */
static void
reply (struct model *model, int target)
{
  struct fixture *fixture = model->fixture;
  struct fl_name id = fl_name_format ("t%d", target);
  struct fl_heartbeat_order heartbeat;
  struct fl_run_row rows[2 * CORES] = { 0 };
  struct fl_end_row ends[2 * CORES] = { 0 };
  struct fl_target_report report = { .booted_at_ms = 1, .runs = rows, .ends = ends };
  struct fl_order_reply message = { .result = FL_ORDER_NO_REPLY };
  bool is_late = model->has_late_replies && has_run (model, target, NOISY);
  int64_t delay_ms = is_late ? fixture->now_ms / 1000 % 3 * 100 : 0;

  if (!is_late || fixture->now_ms / REPLY_INTERVAL_MS % 5 != 0)
    {
      collect_report (model, target, delay_ms, &report);
      report.clock_ms = fixture->now_ms - delay_ms;
      message = (struct fl_order_reply){ .result = FL_ORDER_DONE, .report = &report };
    }
  fl_core_handle_heartbeat_reply (fixture->core, &id, &message, model->heartbeat_sent_ms[target],
                                  fixture->now_ms);
  fl_core_prepare_heartbeat (fixture->core, &id, fixture->now_ms, &heartbeat);
  model->heartbeat_sent_ms[target] = fixture->now_ms;
}

static void
advance (struct model *model)
{
  tick_until_recorded (model->fixture, STEP_MS);
  execute_orders (model);
  for (guint i = 0; i < model->runs->len; i++)
    {
      struct model_run *run = &g_array_index (model->runs, struct model_run, i);
      run->percent += progress_per_ms (model, run) * STEP_MS;
    }
  for (int i = 0; i < TARGETS; i++)
    if ((model->fixture->now_ms / STEP_MS + i) % (REPLY_INTERVAL_MS / STEP_MS) == 0)
      reply (model, i);
}

/* Submits a touchy and a noisy job every @interval_ms. */
static void
play (struct model *model, int64_t interval_ms, int64_t duration_ms)
{
  for (int64_t at_ms = 0; at_ms < duration_ms; at_ms += STEP_MS)
    {
      if (at_ms % interval_ms == 0)
        {
          bool is_wide = model->has_sizes && is_large (model->fixture->now_ms);
          struct fl_step_spec step = { .count = is_wide ? 12 : 1 };
          submit (model, TOUCHY, step);
          submit (model, NOISY, step);
        }
      advance (model);
    }
}

/* Load pattern: half of the cell is free, and noisy tasks come as often as touchy ones, which are
 * late beside them. Spread by free CPU, most touchy tasks are beside noisy ones. */
static void
test_disturbing_tasks_are_kept_apart_where_there_is_room (void **state)
{
  int late[2] = { 0 };
  int beside[2] = { 0 };

  (void)state;
  for (int with = 0; with < 2; with++)
    {
      struct model *model = model_new (2.0, with == 1);
      play (model, 250, 60000);
      late[with] = model->started - model->in_time;
      beside[with] = model->started_beside;
      print_message ("%s images: %d of %d touchy jobs in time, %d started beside noisy ones, "
                     "%d pairs learnt\n",
                     with ? "with" : "without", model->in_time, model->started,
                     model->started_beside, (int)get_stat (model, "interference_learnt_total"));
      model_free (model);
    }
  assert_true (late[1] * 2 <= late[0]);
  assert_true (beside[1] * 2 <= beside[0]);
}

static void
test_nothing_learnt_changes_nothing (void **state)
{
  struct model *models[2] = { model_new (1.0, false), model_new (1.0, true) };
  const GArray *orders[2];

  (void)state;
  for (int with = 0; with < 2; with++)
    {
      play (models[with], 250, 30000);
      orders[with] = models[with]->fixture->start_orders;
    }
  assert_int_equal (orders[0]->len, orders[1]->len);
  for (guint i = 0; i < orders[0]->len; i++)
    {
      const struct fl_start_order *a = get_start_order (models[0]->fixture, i);
      const struct fl_start_order *b = get_start_order (models[1]->fixture, i);
      assert_true (fl_name_eq (&a->task, &b->task) && fl_name_eq (&a->target, &b->target));
    }
  model_free (models[0]);
  model_free (models[1]);
}

/* What looked like interference when runs were compared with each other: tasks of one step are
 * alike and share targets, so that large tasks are more often beside others of their class. Nor do
 * replies that are late or lost on the targets of noisy tasks. */
static void
test_large_steps_and_late_replies (void **state)
{
  static const struct
  {
    bool has_sizes;
    bool has_late_replies;
    int64_t interval_ms;
  } cases[] = { { true, false, 1250 }, { false, true, 250 }, { true, true, 1250 } };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct model *model = model_new (1.0, true);
      model->has_sizes = cases[i].has_sizes;
      model->has_late_replies = cases[i].has_late_replies;
      play (model, cases[i].interval_ms, 120000);
      assert_true (model->started > 150);
      if (get_stat (model, "interference_learnt_total") > 0)
        fail_msg ("case %zu: %d pairs learnt", i,
                  (int)get_stat (model, "interference_learnt_total"));
      model_free (model);
    }
}

/* A known pair is placed together at once where there is no other room. */
static void
test_no_task_waits_for_a_target_without_its_neighbour (void **state)
{
  struct model *model = model_new (2.0, true);

  (void)state;
  play (model, 250, 30000);
  assert_int_equal (get_stat (model, "interference_pairs"), 1);
  g_autoptr (GString) dump = g_string_new (NULL);
  fl_core_dump (model->fixture->core, dump);
  assert_non_null (strstr (dump->str, "\"beside_image\":\"image-n\""));
  guint free_cores = TARGETS * CORES - model->runs->len;
  guint orders = model->orders;
  submit (model, NOISY, (struct fl_step_spec){ .count = TARGETS * CORES });
  advance (model);
  advance (model);
  assert_true (model->orders - orders >= free_cores);
  assert_true (get_stat (model, "interference_starts_total") > 0);
  model_free (model);
}

/* Load pattern: best-effort tasks fill all targets, and one kind of serving task suffers from them,
 * though not enough to throttle them. Gauges of 0 say nothing. */
static void
test_best_effort_tasks_leave_those_that_they_disturb (void **state)
{
  static const struct
  {
    const char *name;
    int64_t frail_tail_ms[2]; /* the bound is 100 */
    bool is_learnt;
  } cases[] = { { "disturbed", { 40, 70 }, true },
                { "undisturbed", { 40, 40 }, false },
                { "without gauges", { 0, 0 }, false } };
  const struct fl_step_spec frail = {
    .count = TARGETS / 2, .long_running = true, .per_target_max = 1, .latency_bound_ms = 100
  };
  struct fl_step_spec sturdy = frail;
  const struct fl_step_spec filling = { .count = TARGETS, .best_effort = true };

  (void)state;
  sturdy.count = TARGETS;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct model *model = model_new (1.0, true);
      memcpy (model->frail_tail_ms, cases[i].frail_tail_ms, sizeof cases[i].frail_tail_ms);
      submit (model, FRAIL, frail);
      advance (model);
      submit (model, STURDY, sturdy);
      for (int at_ms = 0; at_ms < 40000; at_ms += STEP_MS)
        {
          if (at_ms % 1700 == 0)
            submit (model, FILLING, filling);
          if (at_ms == 30000)
            model->started = model->started_beside = 0;
          advance (model);
        }
      if (model->started < 15 || get_stat (model, "interference_pairs") != cases[i].is_learnt
          || (model->started_beside == 0) != cases[i].is_learnt)
        fail_msg ("%s: %d pairs, %d of %d beside frail ones", cases[i].name,
                  (int)get_stat (model, "interference_pairs"), model->started_beside,
                  model->started);
      model_free (model);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_pairs_are_told_from_other_causes),
    cmocka_unit_test (test_changes_are_followed),
    cmocka_unit_test (test_hundreds_of_images),
    cmocka_unit_test (test_disturbing_tasks_are_kept_apart_where_there_is_room),
    cmocka_unit_test (test_nothing_learnt_changes_nothing),
    cmocka_unit_test (test_large_steps_and_late_replies),
    cmocka_unit_test (test_no_task_waits_for_a_target_without_its_neighbour),
    cmocka_unit_test (test_best_effort_tasks_leave_those_that_they_disturb),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
