/* Which queues accept further jobs: when they are closed and opened again. */
#include <malloc.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "policy/admission.h"
#include "support_core.h"

enum queue
{
  SHORT,
  LONG,
  LASTING,
  QUEUES
};

/* What accepted jobs need of each queue, from @from_ms on. */
struct stage
{
  int64_t from_ms;
  double needed_ms[QUEUES];
  int hosts;
  bool is_closed[QUEUES]; /* at the end of the stage */
};

static struct fl_admission_queue *
find_queue (GArray *queues, const char *name)
{
  for (guint i = 0; i < queues->len; i++)
    if (strcmp (g_array_index (queues, struct fl_admission_queue, i).name.data, name) == 0)
      return &g_array_index (queues, struct fl_admission_queue, i);
  fail_msg ("no queue %s", name);
  return NULL;
}

/* One machine was left of nine and accepted all jobs, of which those with long queries waited for
 * ever; and what hosts work off within seconds is not rejected. */
static void
test_queues_that_cannot_be_served_are_closed (void **state)
{
  static const char *const names[] = { "short", "long", "lasting" };
  static const struct
  {
    const char *name;
    struct stage stages[4];
  } cases[] = {
    { "a calm day", { { 0, { 30, 1500, 450 }, 9, { 0 } }, { 5000, { 0 }, 9, { 0 } } } },
    { "a burst on nine hosts", { { 0, { 900, 30000, 900 }, 9, { 0 } } } },
    { "a burst that one host works off",
      { { 0, { 200, 3700, 0 }, 1, { 0 } }, { 3000, { 0, 500, 0 }, 1, { 0 } } } },
    { "above the bound for a moment",
      { { 0, { 0, 9000, 0 }, 1, { 0 } }, { 400, { 0, 3000, 0 }, 1, { 0 } } } },
    { "long queries only, while others fit",
      { { 0, { 600, 9000, 450 }, 1, { 0 } },
        { 1000, { 600, 9000, 450 }, 1, { false, true, false } } } },
    { "open again only below the lower bound",
      { { 0, { 0, 9000, 0 }, 1, { 0 } },
        { 1000, { 0, 2000, 0 }, 1, { false, true, false } },
        { 2000, { 0, 1400, 0 }, 1, { 0 } } } },
    { "all of them, each by its own and what goes before it",
      { { 0, { 5000, 9000, 4500 }, 1, { 0 } },
        { 1000, { 5000, 9000, 4500 }, 1, { true, true, true } },
        { 2000, { 900, 9000, 450 }, 1, { false, true, false } } } },
    { "the hosts come back",
      { { 0, { 0, 9000, 0 }, 0, { 0 } },
        { 1000, { 0, 9000, 0 }, 1, { false, true, false } },
        { 2000, { 0, 9000, 0 }, 9, { 0 } } } },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      GArray *queues = g_array_new (FALSE, TRUE, sizeof (struct fl_admission_queue));
      static const double query_ms[QUEUES] = { 25, 490, 530 };
      for (int q = 0; q < QUEUES; q++)
        {
          struct fl_admission_queue queue = { .name = fl_name_of (names[q]),
                                              .query_ms = query_ms[q],
                                              .is_lasting = q == LASTING };
          g_array_append_val (queues, queue);
        }
      for (size_t s = 0; s < 4 && cases[i].stages[s].hosts + (s == 0) > 0; s++)
        {
          const struct stage *stage = &cases[i].stages[s];
          int64_t end_ms = s < 3 && stage[1].from_ms > 0 ? stage[1].from_ms : stage->from_ms + 300;
          for (int64_t now_ms = stage->from_ms; now_ms < end_ms; now_ms += 100)
            {
              for (int q = 0; q < QUEUES; q++)
                find_queue (queues, names[q])->needed_ms = stage->needed_ms[q];
              fl_admission_update (queues, stage->hosts, 100000 + now_ms);
            }
          bool is_last = s == 3 || stage[1].from_ms == 0;
          for (int q = 0; q < QUEUES && (is_last || s > 0); q++)
            if (find_queue (queues, names[q])->is_closed != stage->is_closed[q])
              fail_msg ("%s, stage %zu: %s is %s", cases[i].name, s, names[q],
                        stage->is_closed[q] ? "open" : "closed");
        }
      g_array_unref (queues);
    }
}

/* Work that waits for room or for its team's limit says nothing about queries. */
static void
test_work_that_waits_for_room_closes_no_queue (void **state)
{
  static const struct
  {
    const char *name;
    int64_t cores;
    int64_t team_limit_milli;
    bool is_closed;
  } cases[] = { { "queries only", 400, 0, true },
                { "no room", 1, 0, false },
                { "the team is at its limit", 400, 500, false } };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fixture *fixture = fixture_new (cases[i].team_limit_milli);
      struct fl_step_spec step = { .count = 1, .cpu_milli = 2000, .estimate_ms = 600 };
      guint closed = 0;
      fixture->queries_max = 1;
      add_target (fixture, "t1", cases[i].cores, false);
      for (int j = 0; j < 30; j++)
        add_job (fixture, fl_name_format ("%d", j).data, "slow-advised", step);
      for (int j = 0; j < 20; j++)
        {
          tick_until_recorded (fixture, 50);
          g_autoptr (GArray) names = fl_core_update_admission (fixture->core, 1);
          closed = names->len;
        }
      if ((closed > 0) != cases[i].is_closed)
        fail_msg ("%s: %u queues are closed", cases[i].name, closed);
      fixture_free (fixture);
    }
}

/* Jobs that are due in an hour were accepted until each owner had no memory left. */
static void
test_queues_that_hold_much_memory_are_closed (void **state)
{
  static const struct
  {
    const char *name;
    int64_t max;
    int64_t bytes[3];
    bool was_closed[3];
    bool is_closed[3];
  } cases[] = {
    { "no bound", 0, { 1000, 5, 0 }, { 0 }, { 0 } },
    { "little is held", 1000, { 100, 100, 0 }, { 0 }, { 0 } },
    { "one queue has half", 1000, { 501, 1, 0 }, { 0 }, { true, false, false } },
    { "two have a third each", 1000, { 335, 335, 0 }, { 0 }, { true, true, false } },
    { "one with little stays open", 1000, { 330, 330, 150 }, { 0 }, { true, true, false } },
    { "nothing is left", 1000, { 900, 100, 0 }, { 0 }, { true, true, false } },
    { "more than all", 1000, { 1900, 100, 0 }, { 0 }, { true, true, false } },
    { "closed until it has less", 1000, { 490, 0, 0 }, { true }, { true, false, false } },
    { "open again", 1000, { 440, 0, 0 }, { true }, { 0 } },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autoptr (GArray) queues = g_array_new (FALSE, TRUE, sizeof (struct fl_admission_memory));
      for (int q = 0; q < 3; q++)
        {
          struct fl_admission_memory queue
              = { .bytes = cases[i].bytes[q], .is_closed = cases[i].was_closed[q] };
          g_array_append_val (queues, queue);
        }
      fl_admission_update_memory (queues, cases[i].max);
      for (guint q = 0; q < 3; q++)
        if (g_array_index (queues, struct fl_admission_memory, q).is_closed
            != cases[i].is_closed[q])
          fail_msg ("%s: queue %u is %s", cases[i].name, q,
                    cases[i].is_closed[q] ? "open" : "closed");
    }
}

static guint
count_closed (struct fixture *fixture)
{
  g_autoptr (GArray) names = fl_core_update_admission (fixture->core, 1);

  return names->len;
}

/* The bound holds for what the allocator hands out, and a queue is open again once its jobs are
 * gone. */
static void
test_accepted_jobs_stay_within_the_memory (void **state)
{
  struct fixture_options options = { .job_bytes_max = 4 * 1024 * 1024 };
  struct fl_step_spec step = { .count = 50, .cpu_milli = 100000 };
  struct fixture *fixture = fixture_new_with (&options);
  size_t before;
  int jobs = 0;

  (void)state;
  fl_core_set_jobs_known (fixture->core);
  add_target (fixture, "t1", 1, false);
  before = mallinfo2 ().uordblks;
  for (; count_closed (fixture) == 0 && jobs < 10000; jobs++)
    add_job (fixture, fl_name_format ("%d", jobs).data, "slow", step);
  assert_in_range (jobs, 50, 9999);
  assert_in_range (mallinfo2 ().uordblks - before, 0, (size_t)options.job_bytes_max / 2 * 5 / 4);
  for (int i = 0; i < jobs; i++)
    {
      struct fl_name id = fl_name_format ("%d", i);
      fl_core_cancel_job (fixture->core, &id);
    }
  tick_until_recorded (fixture, 10);
  assert_int_equal (count_closed (fixture), 0);
  fixture_free (fixture);
}

int
main (void)
{
  static const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_queues_that_cannot_be_served_are_closed),
    cmocka_unit_test (test_work_that_waits_for_room_closes_no_queue),
    cmocka_unit_test (test_queues_that_hold_much_memory_are_closed),
    cmocka_unit_test (test_accepted_jobs_stay_within_the_memory),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
