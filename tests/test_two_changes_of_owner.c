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
/* Lease on a target whose clock is 2 % slow. */
#define SLOW_TARGET_LEASE_MS (ELECTION_TARGET_LEASE_MS * 102 / 100)

/* Host 0 is cut off from the store, but not from the target. Host 1 acquires the pool, and releases
 * it or is restarted soon after that. Its successor did not wait for the heartbeats of host 0. */
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
          const struct fault faults[]
              = { { HOST_CUT_OFF, CUT_OFF_INTERVAL * HOST_COUNT },
                  { ends[i], (CUT_OFF_INTERVAL + intervals) * HOST_COUNT + 1 } };
          const struct election_options options = {
            .host_count = HOST_COUNT,
            .duration_ms = 20000,
            .faults = faults,
            .fault_count = G_N_ELEMENTS (faults),
            .clock_errors = { -clock_errors[k], clock_errors[k] },
          };
          struct election_result result;
          election_simulate (&options, &result);
          assert_string_equal (result.violation, "");
          assert_int_equal (result.acquisitions[1].host, 0);
          assert_int_equal (result.acquisitions[2].host, 1);
          assert_int_equal (result.acquisitions[3].host, 1);
          int64_t late_ms = result.acquisitions[3].reconciled_at_ms - result.last_heartbeat_ms[0]
                            - SLOW_TARGET_LEASE_MS;
          least_ms = MIN (least_ms, late_ms);
          /* An owner that has owned the pool for long was the only one. */
          if (intervals >= 28)
            assert_true (result.acquisitions[3].reconciled_at_ms - result.acquisitions[3].at_ms
                         <= ELECTION_TARGET_LEASE_MS * 106 / 100);
        }
  printf ("  second change of owner: at least %d ms after the last lease\n", (int)least_ms);
  assert_true (least_ms >= 0);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_second_change_while_first_owner_is_active) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
