/* How long jobs wait for advice, and which hosts send the queries, while the advice service is slow
 * or hosts fail; in the simulated cell. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

#include "support_advice.h"

#define SEEDS 3
/* Of the time of the hosts. More would leave no spare time for long queries, which are sent only
 * while hosts are free for short ones. */
#define LOAD_MAX 0.5

#define CALLS 40
#define WAITING_CALLS_MAX 32

/* The simulated service handles the calls of one host in turn, and rejects those that come while
 * too many wait. */
static void
test_turns_of_calls (void **state)
{
  static const struct advice_profile profile = { .host_count = 2 };
  struct advice_service *service = advice_service_new (&profile, 1, 0);
  int64_t ended_ms = 0;

  (void)state;
  for (int i = 0; i < CALLS; i++)
    {
      struct advice_outcome outcome = advice_service_call (service, 0, ADVICE_QUEUE_LONG, 10, 0);
      assert_int_equal (outcome.replied, i <= WAITING_CALLS_MAX);
      if (outcome.replied)
        assert_in_range (outcome.at_ms - ended_ms, 460, 462);
      ended_ms = outcome.at_ms;
    }
  assert_in_range (advice_service_call (service, 1, ADVICE_QUEUE_SHORT, 10, 0).at_ms, 26, 28);
  advice_service_free (service);
}

/* A call that hangs holds the turn of its host, whoever waits for it. */
static void
test_hung_call (void **state)
{
  static const struct advice_profile profile = { .host_count = 1, .calls_hung = 1000 };
  struct advice_service *service = advice_service_new (&profile, 1, 10);
  struct advice_outcome hung = advice_service_call (service, 0, ADVICE_QUEUE_SHORT, 1, 0);
  struct advice_outcome next = advice_service_call (service, 0, ADVICE_QUEUE_SHORT, 1, 100);

  (void)state;
  assert_false (hung.replied);
  assert_true (hung.at_ms >= 3000);
  assert_true (next.replied);
  assert_in_range (next.at_ms - hung.at_ms, 23, 25);
  advice_service_free (service);
}

/* Jobs must not wait for advice if the hosts can carry the queries. */
static void
test_load_of_profiles (void **state)
{
  (void)state;
  for (size_t i = 0; i < advice_profile_count; i++)
    if (advice_profile_load (&advice_profiles[i]) > LOAD_MAX)
      {
        printf ("%s: load %.2f\n", advice_profiles[i].name,
                advice_profile_load (&advice_profiles[i]));
        fail ();
      }
}

static void
test_profiles (void **state)
{
  int failed = 0;

  (void)state;
  for (size_t i = 0; i < advice_profile_count; i++)
    for (uint64_t seed = 1; seed <= SEEDS; seed++)
      {
        struct cell_options options = advice_profile_options (&advice_profiles[i], seed);
        struct cell_result result = cell_simulate (&options);
        if (result.violation[0] == '\0')
          continue;
        printf ("%s, seed %d: %s\n", advice_profiles[i].name, (int)seed, result.violation);
        failed++;
      }
  assert_int_equal (failed, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_turns_of_calls), cmocka_unit_test (test_hung_call),
          cmocka_unit_test (test_load_of_profiles), cmocka_unit_test (test_profiles) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
