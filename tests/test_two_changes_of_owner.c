/* When a new owner may start tasks that may still run on a silent target, after two changes of
 * owner in short order: an owner before the previous one may still send heartbeats. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>
#include <glib.h>

#include "support_ownership.h"

#define HOST_COUNT 2
#define CUT_OFF_INTERVAL 4
/* The longest lease on a target whose clock is 2 % slow. */
#define SLOW_TARGET_LEASE_MS (ELECTION_TARGET_LEASE_MAX_MS * 102 / 100)
/* How much later than necessary: host 1 finds the lease of host 0 expired (poll, three ticks), its
 * own last renewal before its restart, the part of its age that does not count, and errors of
 * clocks: of hosts in 2,680 ms and in the age, of a target in its lease, and in the count of the
 * lease. */
#define LATE_MAX_MS (316 + 75 + (250 + 60 + 25) + 400 + (2733 - 2653) + 62 + 2 * (6240 - 6120))

/* Host 0 is cut off from the store, but not from the target. Host 1 acquires the pool, and releases
 * it or is restarted @intervals later. */
static struct election_result
simulate_two_changes (enum fault_kind end, int intervals, int clock_error)
{
  const struct fault faults[] = { { HOST_CUT_OFF, CUT_OFF_INTERVAL * HOST_COUNT },
                                  { end, (CUT_OFF_INTERVAL + intervals) * HOST_COUNT + 1 } };
  const struct election_options options = {
    .host_count = HOST_COUNT,
    .duration_ms = 20000,
    .faults = faults,
    .fault_count = G_N_ELEMENTS (faults),
    .clock_errors = { -clock_error, clock_error },
  };
  struct election_result result;

  election_simulate (&options, &result);
  assert_string_equal (result.violation, "");
  assert_int_equal (result.acquisitions[1].host, 0);
  assert_int_equal (result.acquisitions[2].host, 1);
  assert_int_equal (result.acquisitions[3].host, 1);
  return result;
}

/* The successor did not wait for the heartbeats of host 0. */
static void
test_second_change_while_first_owner_is_active (void **state)
{
  static const enum fault_kind ends[] = { HOST_STOPPED, HOST_KILLED };
  static const int clock_errors[] = { -10, 0, 10 };
  int64_t least_ms = INT64_MAX;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (ends); i++)
    for (int intervals = 4; intervals < 30; intervals++)
      for (size_t k = 0; k < G_N_ELEMENTS (clock_errors); k++)
        {
          const struct election_result result
              = simulate_two_changes (ends[i], intervals, clock_errors[k]);
          int64_t late_ms = result.acquisitions[3].reconciled_at_ms - result.last_heartbeat_ms[0]
                            - SLOW_TARGET_LEASE_MS;
          least_ms = MIN (least_ms, late_ms);
          /* An owner that has owned the pool for long was the only one. */
          if (intervals >= 28)
            assert_true (result.acquisitions[3].reconciled_at_ms - result.acquisitions[3].at_ms
                         <= ELECTION_TARGET_LEASE_MAX_MS * 106 / 100);
        }
  printf ("  second change of owner: at least %d ms after the last lease\n", (int)least_ms);
  assert_true (least_ms >= 0);
}

/* A successor counted a term of less than 34 renewals, up to 8.5 s, as one that had just begun: it
 * waited up to 3 s longer than the owner before could send heartbeats. */
static void
test_term_of_a_few_seconds (void **state)
{
  static const enum fault_kind ends[] = { HOST_STOPPED, HOST_KILLED };
  static const int clock_errors[] = { -10, 0, 10 };
  int64_t most_ms = INT64_MIN;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (ends); i++)
    for (int intervals = 4; intervals < 30; intervals++)
      for (size_t k = 0; k < G_N_ELEMENTS (clock_errors); k++)
        {
          const struct election_result result
              = simulate_two_changes (ends[i], intervals, clock_errors[k]);
          const struct acquisition *third = &result.acquisitions[3];
          int64_t leases_end_ms = MAX (result.last_heartbeat_ms[0] + SLOW_TARGET_LEASE_MS,
                                       third->at_ms + SLOW_TARGET_LEASE_MS);
          most_ms = MAX (most_ms, third->reconciled_at_ms - leases_end_ms);
        }
  printf ("  second change of owner: at most %d ms after the last lease\n", (int)most_ms);
  assert_true (most_ms <= LATE_MAX_MS);
}

/* The renewals of an earlier term of the same process do not count: host 0 owns the pool for 12 s,
 * and again for a short time after host 1 was cut off. */
static void
test_short_term_after_a_long_one (void **state)
{
  const struct fault faults[] = { { HOST_PAUSED_LONG, 24 * HOST_COUNT },
                                  { HOST_CUT_OFF, 34 * HOST_COUNT + 1 },
                                  { HOST_STOPPED, 38 * HOST_COUNT } };
  const struct election_options options = { .host_count = HOST_COUNT,
                                            .duration_ms = 24000,
                                            .faults = faults,
                                            .fault_count = G_N_ELEMENTS (faults) };
  struct election_result result;

  (void)state;
  election_simulate (&options, &result);
  assert_string_equal (result.violation, "");
  assert_int_equal (result.acquisitions[1].host, 0);
  assert_int_equal (result.acquisitions[2].host, 1);
  assert_int_equal (result.acquisitions[3].host, 0);
  assert_int_equal (result.acquisitions[4].host, 0);
  assert_true (result.acquisitions[4].reconciled_at_ms
               >= result.last_heartbeat_ms[1] + SLOW_TARGET_LEASE_MS);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_second_change_while_first_owner_is_active),
          cmocka_unit_test (test_term_of_a_few_seconds),
          cmocka_unit_test (test_short_term_after_a_long_one) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
