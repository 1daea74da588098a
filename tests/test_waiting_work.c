/* How long accepted work waits for its turn. A core on a virtual clock, with one host that queries
 * the advice service; tasks end as soon as they have started. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "support_core.h"

#define TICK_MS 10
#define LOAD_MS 40000
#define JOBS_MAX 3000

static int
count_lines (const struct fl_log_state *state, const char *text)
{
  g_autofree char *lines = g_strndup (state->buffer, state->buffered_bytes);
  int count = 0;

  for (const char *at = strstr (lines, text); at != NULL; at = strstr (at + 1, text))
    count++;
  return count;
}

static void
tick_for (struct fixture *fixture, int64_t duration_ms)
{
  for (int64_t end_ms = fixture->now_ms + duration_ms; fixture->now_ms < end_ms;)
    tick_until_recorded (fixture, TICK_MS);
}

/* A step waited for 61 s, and nothing told of it before its wait ended, which it did not. */
static void
test_longest_wait_is_told_while_it_lasts (void **state)
{
  g_autofree struct fl_log_state *log_state = g_new0 (struct fl_log_state, 1);
  struct fixture *fixture = fixture_new (0);
  struct fl_step_spec step = { .count = 1, .cpu_milli = 1000, .estimate_ms = 600 };
  struct fl_step_spec large = { .count = 1, .cpu_milli = 64000, .estimate_ms = 600 };

  (void)state;
  log_state->is_buffered = true;
  fixture->log = (struct fl_log){ .level = FL_LOG_NOTICE, .program = "test", .state = log_state };
  fixture->queries_max = 1;
  add_target (fixture, "t1", 2, false);
  add_job (fixture, "a", "slow-advised", step);
  tick_for (fixture, 500);
  add_job (fixture, "b", "slow-advised", step);
  add_job (fixture, "c", "slow", large);
  tick_for (fixture, 2400);
  assert_int_equal (count_lines (log_state, "event=step_waiting"), 0);
  tick_for (fixture, 2600);
  assert_int_equal (count_lines (log_state, "event=step_waiting step=a.0.0 for=advice"), 3);
  assert_int_equal (count_lines (log_state, "queries=1 unanswered=0 query_in_flight=1"), 3);
  assert_int_equal (count_lines (log_state, "queue=slow-advised team=w steps=3"), 2);
  assert_in_range (fl_stats_get (fixture->stats, "steps_waiting_ms{for=\"advice\"}"), 5300, 5500);
  assert_in_range (fl_stats_get (fixture->stats, "steps_waiting_ms{for=\"room\"}"), 4800, 5000);
  for (const char *id = "a\0b\0c\0"; *id != '\0'; id += 2)
    {
      struct fl_name name = fl_name_of (id);
      fl_core_cancel_job (fixture->core, &name);
    }
  tick_for (fixture, 200);
  assert_int_equal (fl_stats_get (fixture->stats, "steps_waiting_ms{for=\"advice\"}"), 0);
  assert_int_equal (fl_stats_get (fixture->stats, "steps_waiting_ms{for=\"room\"}"), 0);
  fixture_free (fixture);
}

/* Adds a job of two steps, one after the other, without a record. */
static void
add_chain (struct fixture *fixture, const char *id)
{
  static const struct fl_step_dependency after_first = { .step = 0 };
  struct fl_step_spec steps[] = { { .count = 1, .cpu_milli = 1000, .estimate_ms = 600 },
                                  { .count = 1, .cpu_milli = 1000, .estimate_ms = 600 } };
  struct fl_job_spec spec = { .id = fl_name_of (id),
                              .queue = fl_name_of ("slow"),
                              .team = fl_name_of ("w"),
                              .accepted_ms = fixture->now_ms,
                              .text = fl_str_of ("x"),
                              .steps = { G_N_ELEMENTS (steps), NULL } };

  steps[1].after = (struct fl_array){ 1, g_memdup2 (&after_first, sizeof after_first) };
  spec.steps.items = g_memdup2 (steps, sizeof steps);
  fl_core_add_job (fixture->core, &spec, fixture->now_ms, NULL);
}

/* A step of which the run was adopted after a change of owner, and has ended since, was told as
 * waiting for targets to report for as long as a later step of its job waited. */
static void
test_adopted_runs_end_the_wait (void **state)
{
  struct fixture *fixture = fixture_new_unreconciled (0, 107680);
  struct fl_name target = fl_name_of ("t1");
  struct fl_run_row run = { .task = fl_name_of ("a.0.0.0"), .run = 1 };
  struct fl_end_row end = { .number = 1, .task = run.task, .run = 1, .cause = FL_END_DONE };
  struct fl_target_report report = { .booted_at_ms = 1, .runs = &run, .run_count = 1 };

  (void)state;
  fl_core_inherit_target (fixture->core, &target, &target);
  fl_core_set_jobs_known (fixture->core);
  add_entry (fixture, "t1", 2, false);
  add_chain (fixture, "a");
  tick_for (fixture, 1000);
  assert_in_range (fl_stats_get (fixture->stats, "steps_waiting_ms{for=\"settling\"}"), 800, 1000);
  deliver_report (fixture, "t1", report);
  tick_for (fixture, 200);
  report = (struct fl_target_report){ .booted_at_ms = 1, .ends = &end, .end_count = 1 };
  deliver_report (fixture, "t1", report);
  add_entry (fixture, "t1", 0, true);
  tick_for (fixture, 500);
  assert_in_range (fl_stats_get (fixture->stats, "steps_waiting_ms{for=\"room\"}"), 400, 500);
  assert_int_equal (fl_stats_get (fixture->stats, "steps_waiting_ms{for=\"settling\"}"), 0);
  fixture_free (fixture);
}

/* --- queries scarcer than jobs --- */

/* Jobs of one task that come at even intervals, and one of a queue of low priority, the first. */
struct load
{
  const char *name;
  int64_t short_interval_ms; /* 0 for none */
  int64_t long_interval_ms;
};

struct waiting_job
{
  int64_t accepted_ms;
  int64_t started_ms; /* 0 for never */
  int64_t query_ms;   /* of its queue */
};

struct advised_cell
{
  struct fixture *fixture;
  struct waiting_job jobs[JOBS_MAX];
  int job_count;
  int64_t reply_ms; /* of the query in flight; 0 for none */
  int queries_answered;
  guint starts;
  int64_t end_number;
};

static void
submit (struct advised_cell *cell, const char *queue, int64_t query_ms)
{
  static const struct fl_step_spec step = { .count = 1, .cpu_milli = 1000, .estimate_ms = 600 };
  struct fl_name id = fl_name_format ("%d", cell->job_count);

  assert_true (cell->job_count < JOBS_MAX);
  cell->jobs[cell->job_count++]
      = (struct waiting_job){ .accepted_ms = cell->fixture->now_ms, .query_ms = query_ms };
  add_job (cell->fixture, id.data, queue, step);
}

static int
get_job_index (const struct fl_name *name)
{
  return (int)strtol (name->data, NULL, 10);
}

/* The service answers after the time of the queue; all targets are eligible. */
static void
answer_query (struct advised_cell *cell)
{
  struct fixture *fixture = cell->fixture;
  struct fl_advised_target eligible[8];
  struct fl_advice_reply reply = { .received = true,
                                   .targets = eligible,
                                   .count = fixture->queried_targets->len,
                                   .tickets_valid_ms = 2500 };

  if (fixture->query_count == cell->queries_answered)
    return;
  if (cell->reply_ms == 0)
    cell->reply_ms = fixture->now_ms + cell->jobs[get_job_index (&fixture->queried_step)].query_ms;
  if (fixture->now_ms < cell->reply_ms)
    return;
  for (size_t i = 0; i < reply.count; i++)
    eligible[i]
        = (struct fl_advised_target){ g_array_index (fixture->queried_targets, struct fl_name, i),
                                      fl_name_of ("ticket") };
  cell->reply_ms = 0;
  cell->queries_answered++;
  fixture->queries_max = cell->queries_answered + 1;
  reply.took_ms = 10;
  fl_core_handle_advice_reply (fixture->core, &fixture->queried_step,
                               (struct fl_name *)fixture->queried_targets->data, reply.count,
                               &reply, fixture->now_ms);
}

/* Tasks end when they have started. */
static void
end_tasks (struct advised_cell *cell)
{
  for (; cell->starts < cell->fixture->start_orders->len; cell->starts++)
    {
      const struct fl_start_order *order = get_start_order (cell->fixture, cell->starts);
      struct waiting_job *job = &cell->jobs[get_job_index (&order->task)];
      struct fl_end_row end = {
        .number = ++cell->end_number, .task = order->task, .run = order->run, .cause = FL_END_DONE
      };
      if (job->started_ms == 0)
        job->started_ms = cell->fixture->now_ms;
      confirm_start (cell->fixture, cell->starts);
      deliver_report (cell->fixture, order->target.data,
                      (struct fl_target_report){ .booted_at_ms = 1, .ends = &end, .end_count = 1 });
    }
}

static bool
comes_now (int64_t now_ms, int64_t interval_ms)
{
  return interval_ms > 0 && now_ms % interval_ms < TICK_MS;
}

static void
play_load (struct advised_cell *cell, const struct load *load)
{
  int64_t from_ms = cell->fixture->now_ms;

  submit (cell, "slow-advised", 410);
  for (int64_t at_ms = 0; at_ms < LOAD_MS; at_ms = cell->fixture->now_ms - from_ms)
    {
      if (comes_now (at_ms, load->short_interval_ms))
        submit (cell, "advised", 20);
      if (comes_now (at_ms, load->long_interval_ms))
        submit (cell, "slow-advised", 410);
      answer_query (cell);
      end_tasks (cell);
      tick_until_recorded (cell->fixture, TICK_MS);
      for (int i = 0; i < 4; i++)
        deliver_report (cell->fixture, fl_name_format ("t%d", i).data,
                        (struct fl_target_report){ .booted_at_ms = 1 });
    }
}

/* @return how long job @index may wait: twice as long as the queries take that the jobs need that
 * were accepted before it and had not started, and those in flight meanwhile. */
static int64_t
get_bound_ms (const struct advised_cell *cell, int index)
{
  const struct waiting_job *job = &cell->jobs[index];
  int64_t before_ms = 0;

  for (int i = 0; i <= index; i++)
    if (cell->jobs[i].started_ms == 0 || cell->jobs[i].started_ms >= job->accepted_ms)
      before_ms += cell->jobs[i].query_ms + 2 * TICK_MS;
  return 3000 + 2 * (before_ms + 450);
}

/* One host was left for queries that would have needed three, and jobs that had been accepted first
 * waited for as long as others came. */
static void
test_old_work_starts_though_newer_work_comes (void **state)
{
  static const struct load loads[] = {
    { "short queries take all of the host's time", 20, 0 },
    { "long ones beside short ones", 40, 1000 },
    { "more long ones than the host can send", 0, 300 },
    { "more of both", 30, 600 },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (loads); i++)
    {
      g_autofree struct advised_cell *cell = g_new0 (struct advised_cell, 1);
      int64_t longest_ms = 0;
      cell->fixture = fixture_new (0);
      cell->fixture->queries_max = 1;
      for (int j = 0; j < 4; j++)
        add_target (cell->fixture, fl_name_format ("t%d", j).data, 64, false);
      play_load (cell, &loads[i]);
      for (int j = 0; j < cell->job_count; j++)
        {
          const struct waiting_job *job = &cell->jobs[j];
          int64_t end_ms = job->started_ms > 0 ? job->started_ms : cell->fixture->now_ms;
          longest_ms = MAX (longest_ms, end_ms - job->accepted_ms);
          if (end_ms - job->accepted_ms > get_bound_ms (cell, j))
            fail_msg ("%s: job %d waits for %d ms, more than %d ms, and has%s started",
                      loads[i].name, j, (int)(end_ms - job->accepted_ms),
                      (int)get_bound_ms (cell, j), job->started_ms > 0 ? "" : " not");
        }
      print_message ("%s: %u of %d jobs started, longest wait %d ms\n", loads[i].name, cell->starts,
                     cell->job_count, (int)longest_ms);
      fixture_free (cell->fixture);
    }
}

int
main (void)
{
  static const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_longest_wait_is_told_while_it_lasts),
    cmocka_unit_test (test_adopted_runs_end_the_wait),
    cmocka_unit_test (test_old_work_starts_though_newer_work_comes),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
