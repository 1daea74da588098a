/* How often an owner decides, by the time that its ticks take. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "policy/tick_pace.h"

struct pace_case
{
  const char *name;
  int64_t first_us; /* duration of the first ticks */
  int first_ticks;
  int64_t then_us; /* of those after them */
  int then_ticks;
  int64_t interval_min_ms;
  int64_t interval_max_ms;
};

static const struct pace_case cases[] = {
  { "before the first tick", 0, 0, 0, 0, 4, 4 },
  { "cheap ticks", 200, 100, 0, 0, 4, 4 },
  { "a tick at the share", 1950, 100, 0, 0, 4, 4 },
  { "one interrupted tick among cheap ones", 200, 100, 30000, 1, 4, 20 },
  { "a process that was suspended in a tick", 200, 100, 10000000, 1, 4, 25 },
  { "a burst of waiting steps is followed within ten ticks", 200, 100, 6000, 10, 10, 12 },
  { "and its end", 6000, 100, 200, 20, 4, 4 },
  { "so many waiting steps that the share cannot be kept", 40000, 100, 0, 0, 50, 50 },
  { "a clock that went back", -5000, 100, 0, 0, 4, 4 },
};

static void
add_ticks (struct fl_tick_pace *pace, int64_t duration_us, int count)
{
  for (int i = 0; i < count; i++)
    fl_tick_pace_add (pace, duration_us);
}

static void
test_interval_follows_the_time_that_ticks_take (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fl_tick_pace pace = { 0 };
      add_ticks (&pace, cases[i].first_us, cases[i].first_ticks);
      add_ticks (&pace, cases[i].then_us, cases[i].then_ticks);
      int64_t interval_ms = fl_tick_pace_interval_ms (&pace);
      if (interval_ms < cases[i].interval_min_ms || interval_ms > cases[i].interval_max_ms)
        print_error ("%s: %d ms\n", cases[i].name, (int)interval_ms);
      assert_in_range (interval_ms, cases[i].interval_min_ms, cases[i].interval_max_ms);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_interval_follows_the_time_that_ticks_take) };

  return cmocka_run_group_tests_name ("tick_pace", tests, NULL, NULL);
}
