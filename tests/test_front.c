/* The time that lib/frontd allows itself to respond to a request. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "frontd/frontd_internal.h"

/* The margin for the response is 150 ms. With a deadline below 600 ms it shrinks to a quarter of
 * the deadline, so that a client that retries with little time left is still served: a store call
 * takes some 10 ms. A missing, invalid or longer deadline counts as 3 s. */
static void
test_response_timeout (void **state)
{
  static const struct
  {
    const char *deadline;
    int64_t expected_ms;
  } cases[] = { { NULL, 2850 },  { "3000", 2850 }, { "9000", 2850 }, { "x", 2850 }, { "-5", 2850 },
                { "1000", 850 }, { "600", 450 },   { "100", 75 },    { "40", 30 },  { "1", 1 } };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    assert_int_equal (front_response_timeout_ms (cases[i].deadline), cases[i].expected_ms);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_response_timeout) };

  return cmocka_run_group_tests_name ("front", tests, NULL, NULL);
}
