/* Which queues accept further jobs: when they are closed and opened again. */
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

int
main (void)
{
  static const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_queues_that_cannot_be_served_are_closed),
    cmocka_unit_test (test_work_that_waits_for_room_closes_no_queue),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
