/* When a new owner may start tasks that may still run on a silent target: not before the leases
 * that earlier owners gave have expired, and not much later. On a virtual clock, with clocks whose
 * rates differ by 2 %. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>
#include <glib.h>

#include "support_ownership.h"

#define HOST_COUNT 2
/* The longest lease on a target whose clock is 2 % slow: an order by the clock of a former boot
 * gives it. */
#define SLOW_TARGET_LEASE_MS (ELECTION_TARGET_LEASE_MAX_MS * 102 / 100)
/* How much later than necessary, besides the time until the successor reads the last renewal: three
 * ticks of the simulation, and the errors of clocks in 2,680 ms of two hosts, in the lease of a
 * target and in the successor's count of the lease. */
#define LATE_MAX_MS (75 + (2733 - 2653) + 2 * (6240 - 6120))

struct reconciliation_case
{
  const char *name;
  enum fault_kind end; /* of the first owner, host 0 */
  int64_t delay_ms;    /* of host 1 */
  struct call_fault fault;
  int successor;
  int64_t read_ms; /* longest time until the successor reads the last renewal */
};

static const struct reconciliation_case cases[] = {
  { "owner cut off", HOST_CUT_OFF, 0, { 0 }, 1, 316 },
  { "successor small", HOST_CUT_OFF, 600, { 0 }, 1, 826 },
  { "acquisition lost", HOST_CUT_OFF, 0, { CALL_LOST, 1, ELECTION_ACQUISITION, 2000, 1 }, 1, 316 },
  { "reply lost", HOST_CUT_OFF, 0, { CALL_REPLY_LOST, 1, ELECTION_ACQUISITION, 2000, 1 }, 1, 316 },
  { "acquisition rejected four times",
    HOST_CUT_OFF,
    0,
    { CALL_REJECTED, 1, ELECTION_ACQUISITION, 2000, 4 },
    1,
    316 },
  { "owner restarted", HOST_KILLED, 0, { 0 }, 0, 60 },
  { "owner stopped", HOST_STOPPED, 0, { 0 }, 0, 60 },
  { "owner restarted, acquisition lost",
    HOST_KILLED,
    0,
    { CALL_LOST, 0, ELECTION_ACQUISITION, 2000, 1 },
    0,
    60 },
};

/* @return how long after the end of the leases on targets the second owner is reconciled. */
static int64_t
measure_lateness (const struct reconciliation_case *c, int interval, int clock_error)
{
  const struct fault end = { c->end, interval * HOST_COUNT };
  const struct election_options options = {
    .host_count = HOST_COUNT,
    .duration_ms = 12000,
    .faults = &end,
    .fault_count = 1,
    .call_faults = &c->fault,
    .call_fault_count = c->fault.count > 0 ? 1 : 0,
    .acquire_delays_ms = { 0, c->delay_ms },
    .clock_errors = { -clock_error, clock_error },
  };
  struct election_result result;
  const struct acquisition *second = &result.acquisitions[2];
  int64_t last_heartbeat_ms;

  election_simulate (&options, &result);
  assert_string_equal (result.violation, "");
  assert_int_equal (result.acquisitions[1].host, 0);
  assert_true (second->at_ms > 0);
  assert_int_equal (second->host, c->successor);
  last_heartbeat_ms = c->end == HOST_CUT_OFF ? result.last_heartbeat_ms[0]
                                             : interval * ELECTION_FAULT_INTERVAL_MS - 25;
  return second->reconciled_at_ms - last_heartbeat_ms - SLOW_TARGET_LEASE_MS;
}

/* A new owner counted the time of its predecessor's heartbeats from its acquisition, so that the
 * delay of a late acquisition was added to the wait for silent targets. */
static void
test_silent_target_after_change_of_owner (void **state)
{
  static const int clock_errors[] = { -10, 0, 10 };
  int failed = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      int64_t least_ms = INT64_MAX;
      int64_t most_ms = INT64_MIN;
      for (int interval = 4; interval < 9; interval++)
        for (size_t k = 0; k < G_N_ELEMENTS (clock_errors); k++)
          {
            int64_t late_ms = measure_lateness (&cases[i], interval, clock_errors[k]);
            least_ms = MIN (least_ms, late_ms);
            most_ms = MAX (most_ms, late_ms);
          }
      printf ("  %s: %d to %d ms after the last lease\n", cases[i].name, (int)least_ms,
              (int)most_ms);
      failed += least_ms < 0 || most_ms > cases[i].read_ms + LATE_MAX_MS ? 1 : 0;
    }
  assert_int_equal (failed, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_silent_target_after_change_of_owner) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
