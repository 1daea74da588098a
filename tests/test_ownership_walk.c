/* Simulates the leader election of two hosts with every fault and every pair of faults: at each of
 * the first store calls and at every half second. At no time may two hosts have authority, the
 * fencing token must increase with each acquisition, and after the faults one host must own the
 * pool. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>
#include <glib.h>

#include "support_ownership.h"

#define HOST_COUNT 2
#define SIMULATION_MS 14000
/* Faults are injected into this many store calls from the start; later calls are like these. */
#define FAULT_CALL_COUNT 36

/* Some calls after the first acquisition, and among the calls with faults. */
#define NEW_TERM_MS 1500
#define NEW_TERM_CALL 10
#define NEW_TERM_CALLS_NEAR 3
#define NEW_TERM_INTERVAL (NEW_TERM_MS / ELECTION_FAULT_INTERVAL_MS)

/* Runs one simulation with @faults and prints a violation with its faults.
 * @return the fencing token of the last acquisition, or 0 if there was a violation. */
static int64_t
simulate (const struct fault *faults, size_t count, int64_t new_term_from_ms)
{
  const struct election_options options = {
    .host_count = HOST_COUNT,
    .duration_ms = SIMULATION_MS,
    .faults = faults,
    .fault_count = count,
    .new_term_from_ms = new_term_from_ms,
  };
  struct election_result result;

  election_simulate (&options, &result);
  if (result.violation[0] == '\0' && result.with_authority != 1)
    snprintf (result.violation, sizeof result.violation, "no host owns the pool at %d ms",
              SIMULATION_MS);
  if (result.violation[0] != '\0')
    for (size_t i = 0; i < count; i++)
      printf ("%s: fault kind %d at position %d\n", result.violation, (int)faults[i].kind,
              faults[i].position);
  return result.violation[0] == '\0' ? result.last_acquisition : 0;
}

static GArray *
enumerate_faults (void)
{
  GArray *faults = g_array_new (FALSE, FALSE, sizeof (struct fault));

  for (int kind = 0; kind < FAULT_KINDS; kind++)
    {
      /* A late reply is like that of a host that is suspended. After the loss of a host, the faults
       * that follow concern one host only. */
      if (kind == CALL_REPLY_LATE || kind >= HOST_DEAD)
        continue;
      int position_count
          = kind < CALL_FAULT_KINDS ? FAULT_CALL_COUNT : ELECTION_FAULT_INTERVAL_COUNT * HOST_COUNT;
      for (int position = 0; position < position_count; position++)
        {
          struct fault fault = { (enum fault_kind)kind, position };
          g_array_append_val (faults, fault);
        }
    }
  return faults;
}

static bool
is_near_new_term (const struct fault *fault)
{
  int distance = fault->kind < CALL_FAULT_KINDS ? fault->position - NEW_TERM_CALL
                                                : fault->position / HOST_COUNT - NEW_TERM_INTERVAL;

  return ABS (distance) <= (fault->kind < CALL_FAULT_KINDS ? NEW_TERM_CALLS_NEAR : 1);
}

static void
test_single_faults_and_pairs (void **state)
{
  GArray *faults = enumerate_faults ();
  int failed = 0;
  int runs = 0;

  (void)state;
  assert_int_equal (simulate (NULL, 0, 0), 1);
  for (guint i = 0; i < faults->len; i++)
    for (guint j = i; j < faults->len && failed < 5; j++)
      {
        struct fault pair[]
            = { g_array_index (faults, struct fault, i), g_array_index (faults, struct fault, j) };
        failed += simulate (pair, 2, 0) > 0 ? 0 : 1;
        runs++;
      }
  printf ("  ownership: %d runs of one or two faults\n", runs);
  g_array_unref (faults);
  assert_int_equal (failed, 0);
}

/* The same with a new term of host 0 amid the faults, if it owns the pool: every fault, and every
 * pair with a fault near the call that begins the term. */
static void
test_new_term_with_faults (void **state)
{
  GArray *faults = enumerate_faults ();
  int failed = 0;
  int runs = 0;

  (void)state;
  assert_int_equal (simulate (NULL, 0, NEW_TERM_MS), 2);
  for (guint i = 0; i < faults->len; i++)
    for (guint j = i; j < faults->len && failed < 5; j++)
      {
        struct fault pair[]
            = { g_array_index (faults, struct fault, i), g_array_index (faults, struct fault, j) };
        if (!is_near_new_term (&pair[0]) && !is_near_new_term (&pair[1]))
          continue;
        failed += simulate (pair, 2, NEW_TERM_MS) > 0 ? 0 : 1;
        runs++;
      }
  printf ("  ownership: %d runs of one or two faults and a new term\n", runs);
  g_array_unref (faults);
  assert_int_equal (failed, 0);
}

/* Both hosts lose the store for the same period: the owner stays the same. */
static void
test_outage_keeps_owner (void **state)
{
  (void)state;
  for (int interval = 2; interval < ELECTION_FAULT_INTERVAL_COUNT - 1; interval++)
    {
      struct fault pair[] = { { HOST_ISOLATED, interval * HOST_COUNT },
                              { HOST_ISOLATED, interval * HOST_COUNT + 1 } };
      assert_int_equal (simulate (pair, 2, 0), 1);
    }
}

/* Both hosts lose the store at once, one of them for half a second longer. If the standby is back
 * first, the time in which it could not read the lease must not count as time without a renewal. */
static void
test_outage_ends_for_standby_first (void **state)
{
  (void)state;
  for (int interval = 2; interval < ELECTION_FAULT_INTERVAL_COUNT - 2; interval++)
    for (int isolated_longer = 0; isolated_longer < HOST_COUNT; isolated_longer++)
      {
        struct fault faults[] = { { HOST_ISOLATED, interval * HOST_COUNT + isolated_longer },
                                  { HOST_ISOLATED, (interval + 1) * HOST_COUNT + isolated_longer },
                                  { HOST_ISOLATED, interval * HOST_COUNT + 1 - isolated_longer } };
        assert_int_equal (simulate (faults, G_N_ELEMENTS (faults), 0), 1);
      }
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_single_faults_and_pairs),
          cmocka_unit_test (test_new_term_with_faults), cmocka_unit_test (test_outage_keeps_owner),
          cmocka_unit_test (test_outage_ends_for_standby_first) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
