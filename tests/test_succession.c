/* Delays of hosts before they acquire a free pool, as a table of cases. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "poold/succession.h"

static void
test_delays (void **state)
{
  static const struct
  {
    const char *name;
    struct fl_succession succession;
    bool waits_for_larger;
    bool waits_for_list;
  } cases[] = {
    { "largest host", { 500, 500, true, true, false }, false, false },
    { "host of about the same size", { 400, 500, true, true, false }, false, false },
    { "small host", { 120, 500, true, true, false }, true, false },
    /* A small host acquired the pool 60 ms after its start, when it had not read the list yet. */
    { "host that has just started", { 120, 0, true, false, false }, true, false },
    { "host of unknown size", { 0, 500, true, true, false }, false, false },
    { "only host", { 120, 0, false, false, false }, false, false },
    { "first acquisition by a large host", { 500, 500, true, true, true }, false, true },
    { "first acquisition by a small host", { 120, 500, true, true, true }, true, true },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      int64_t expected_ms
          = (cases[i].waits_for_larger ? 600 : 0) + (cases[i].waits_for_list ? 2200 : 0);
      if (fl_succession_get_delay_ms (&cases[i].succession) != expected_ms)
        fail_msg ("%s: %d ms instead of %d", cases[i].name,
                  (int)fl_succession_get_delay_ms (&cases[i].succession), (int)expected_ms);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_delays) };

  return cmocka_run_group_tests_name ("succession", tests, NULL, NULL);
}
