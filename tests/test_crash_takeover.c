/* A new owner that reads from the record of a job that a task of it has crashed targets. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "support_core.h"

#define BEGUN_MS 100000
#define RECONCILED_MS (BEGUN_MS + 5000)
#define STEP_MS 100

struct takeover_case
{
  const char *name;
  enum fl_crash_state state; /* of the case of "t1" */
  int64_t boot;       /* that "t1" reports, which is to have crashed in boot 1; 0 if it is silent */
  int64_t reports_ms; /* when it reports */
  bool fails;
  int64_t earliest_ms; /* when the job may be given up */
  int64_t latest_ms;
};

static const struct takeover_case cases[] = {
  { "did not crash", FL_CRASH_SUSPECTED, 1, 1000, false, 0, 0 },
  { "did not crash, reports late", FL_CRASH_SUSPECTED, 1, 3000, false, 0, 0 },
  { "another boot", FL_CRASH_SUSPECTED, 2, 1000, true, 1000, 1800 },
  { "never reports", FL_CRASH_SUSPECTED, 0, 0, true, 5000, 5800 },
  { "may have crashed, never reports", FL_CRASH_OPEN, 0, 0, false, 0, 0 },
  { "may have crashed, another boot", FL_CRASH_OPEN, 2, 1000, true, 1000, 1800 },
};

/* Any further crash decides. */
static void
add_crashed_job (struct fixture *fixture, enum fl_crash_state state)
{
  struct fl_name targets[] = { fl_name_of ("t1"), fl_name_of ("t2"), fl_name_of ("t4") };
  const enum fl_crash_state states[] = { state, FL_CRASH_SUSPECTED, FL_CRASH_PRESENT };
  struct fl_crashed_run runs[G_N_ELEMENTS (states)];
  struct fl_task_crashes task = { .runs = { G_N_ELEMENTS (runs), runs } };
  struct fl_job_progress progress
      = { .state = FL_JOB_RUNNING, .crashes = { .tasks = { 1, &task } } };

  for (size_t i = 0; i < G_N_ELEMENTS (runs); i++)
    runs[i] = (struct fl_crashed_run){ .run = (int64_t)i + 1,
                                       .state = (int)states[i],
                                       .target = fl_job_target_hash (&targets[i]),
                                       .address = fl_job_target_hash (&targets[i]),
                                       .booted_at_ms = 1 };
  add_recorded_job (fixture, "a", "urgent", (struct fl_step_spec){ .count = 1, .cpu_milli = 1000 },
                    &progress);
}

/* @return whether the core says that it has given the job up. */
static bool
has_given_up (struct fixture *fixture)
{
  g_autoptr (GString) text = g_string_new (NULL);

  fl_core_dump (fixture->core, text);
  return strstr (text->str, "\"state\":\"failed\"") != NULL;
}

/* The owner is lost just after it has taken two silent targets for crashed: the job was given up
 * before they had reported that they are alive. */
static void
test_count_waits_for_target (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fixture *fixture = fixture_new_unreconciled (0, RECONCILED_MS);
      struct fl_name id = fl_name_of ("t1");
      int64_t given_up_ms = -1;
      fl_core_inherit_target (fixture->core, &id, &id);
      add_entry (fixture, "t1", 4, false);
      add_crashed_job (fixture, cases[i].state);
      fl_core_set_jobs_known (fixture->core);
      add_target (fixture, "t3", 4, false);
      for (int64_t ms = 0; ms < 8000 && given_up_ms < 0; ms += STEP_MS)
        {
          if (cases[i].boot > 0 && ms == cases[i].reports_ms)
            deliver_report (fixture, "t1",
                            (struct fl_target_report){ .booted_at_ms = cases[i].boot });
          fixture->now_ms += STEP_MS;
          fl_core_tick (fixture->core, fixture->now_ms, fixture->now_ms);
          if (has_given_up (fixture))
            given_up_ms = ms;
        }
      if ((given_up_ms >= 0) != cases[i].fails
          || (cases[i].fails
              && (given_up_ms < cases[i].earliest_ms - STEP_MS
                  || given_up_ms > cases[i].latest_ms)))
        fail_msg ("%s: given up after %d ms", cases[i].name, (int)given_up_ms);
      fixture_free (fixture);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_count_waits_for_target),
  };

  return cmocka_run_group_tests_name ("crash_takeover", tests, NULL, NULL);
}
