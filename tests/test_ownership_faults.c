/* How long the pool has no owner after the death of one, with faults of the store calls of its
 * successor, as tables of cases on a virtual clock. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>
#include <glib.h>

#include "support_ownership.h"

/* The owner, host 0, dies at this time. */
#define DEATH_MS 2000
#define DEATH_POSITION(hosts) (DEATH_MS / ELECTION_FAULT_INTERVAL_MS * (hosts))
/* Longest time from the death of an owner to the next acquisition without another fault: a poll,
 * the expiry of the lease, and the calls. */
#define SUCCESSION_MS 1650

static const char *const fault_names[CALL_FAULT_KINDS] = {
  "rejected",          "lost",
  "reply lost",        "applied late",
  "applied, rejected", "applied, conflict",
  "reply lost twice",  "reply late",
};

/* Runs an election of two hosts in which host 0 dies at DEATH_MS and calls have @faults.
 * @return the time from the death to the next acquisition. */
static int64_t
measure_succession (const struct call_fault *faults,
                    size_t fault_count,
                    int64_t delay_ms,
                    struct election_result *result)
{
  const struct fault death = { HOST_DEAD, DEATH_POSITION (2) };
  const struct election_options options = {
    .host_count = 2,
    .duration_ms = 9000,
    .faults = &death,
    .fault_count = 1,
    .call_faults = faults,
    .call_fault_count = fault_count,
    .acquire_delays_ms = { 0, delay_ms },
  };

  election_simulate (&options, result);
  assert_string_equal (result->violation, "");
  assert_int_equal (result->acquisitions[1].host, 0);
  assert_int_equal (result->with_authority, 1);
  return result->acquisitions[2].at_ms - DEATH_MS;
}

/* The successor did not know that it had acquired the pool, and waited for its own lease to expire.
 */
static void
test_acquisition_with_unknown_outcome (void **state)
{
  static const struct
  {
    enum fault_kind kind;
    int64_t extra_ms; /* longest time that the fault may cost */
  } cases[] = {
    { CALL_APPLIED_REJECTED, 400 }, { CALL_APPLIED_CONFLICT, 100 },  { CALL_REPLY_LOST, 550 },
    { CALL_REPLY_LATE, 550 },       { CALL_REPLY_LOST_TWICE, 1000 },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct call_fault fault = { cases[i].kind, 1, ELECTION_ACQUISITION, DEATH_MS, 1 };
      struct election_result result;
      int64_t taken_ms = measure_succession (&fault, 1, 0, &result);
      printf ("  acquisition %s: token %d after %d ms\n", fault_names[cases[i].kind],
              (int)result.last_acquisition, (int)taken_ms);
      if (result.last_acquisition != 2 || taken_ms <= 0
          || taken_ms > SUCCESSION_MS + cases[i].extra_ms)
        fail_msg ("acquisition %s: token %d after %d ms", fault_names[cases[i].kind],
                  (int)result.last_acquisition, (int)taken_ms);
      assert_true (result.acquisitions[2].previous_owner_may_be_active);
    }
}

/* An acquisition of the released pool whose reply is lost must not count the host itself as a
 * previous owner that may be active. */
static void
test_release_and_unknown_outcome (void **state)
{
  const struct fault stop = { HOST_STOPPED, DEATH_POSITION (2) };
  static const enum fault_kind kinds[] = { CALL_APPLIED_REJECTED, CALL_REPLY_LOST };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (kinds); i++)
    {
      const struct call_fault fault = { kinds[i], -1, ELECTION_ACQUISITION, DEATH_MS, 1 };
      const struct election_options options = {
        .host_count = 2,
        .duration_ms = 9000,
        .faults = &stop,
        .fault_count = 1,
        .call_faults = &fault,
        .call_fault_count = 1,
        .acquire_delays_ms = { 0, 0 },
      };
      struct election_result result;
      election_simulate (&options, &result);
      assert_string_equal (result.violation, "");
      assert_int_equal (result.last_acquisition, 2);
      assert_false (result.acquisitions[2].previous_owner_may_be_active);
    }
}

/* A standby started its wait for the expiry of the lease anew when one read had failed. */
static void
test_one_failed_read_of_the_standby (void **state)
{
  static const enum fault_kind kinds[] = { CALL_REJECTED, CALL_LOST };
  int64_t worst_ms = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (kinds); i++)
    for (int64_t from_ms = DEATH_MS - 1000; from_ms < DEATH_MS + 1500; from_ms += 25)
      {
        struct call_fault fault = { kinds[i], 1, ELECTION_READ, from_ms, 1 };
        struct election_result result;
        int64_t taken_ms = measure_succession (&fault, 1, 0, &result);
        worst_ms = MAX (worst_ms, taken_ms);
        /* Only the read before the acquisition may cost time: its own. */
        if (result.last_acquisition != 2 || taken_ms > SUCCESSION_MS + 450)
          fail_msg ("read %s from %d ms: token %d after %d ms", fault_names[kinds[i]], (int)from_ms,
                    (int)result.last_acquisition, (int)taken_ms);
      }
  printf ("  one failed read: at most %d ms\n", (int)worst_ms);
}

/* After an outage of the store for all hosts, the owner renews its lease before a standby acquires
 * the pool. */
static void
test_outage_for_all_keeps_owner (void **state)
{
  (void)state;
  for (int64_t from_ms = DEATH_MS; from_ms < DEATH_MS + 600; from_ms += 25)
    for (int64_t length_ms = 50; length_ms <= 3000; length_ms += 50)
      {
        const struct election_options options = {
          .host_count = 2,
          .duration_ms = 7000,
          .outage = { from_ms, from_ms + length_ms },
        };
        struct election_result result;
        election_simulate (&options, &result);
        if (result.violation[0] != '\0' || result.last_acquisition != 1
            || result.with_authority != 1)
          fail_msg ("outage from %d for %d ms: token %d %s", (int)from_ms, (int)length_ms,
                    (int)result.last_acquisition, result.violation);
      }
}

/* A small host polls rarely, and acquired the pool up to a poll later than it may. */
static void
test_succession_without_other_faults (void **state)
{
  static const struct
  {
    const char *name;
    int64_t delay_ms;
    int64_t
        most_ms; /* a poll until the first read after the last renewal, the wait, and the calls */
  } cases[] = { { "large host", 0, 310 + 1235 + 100 }, { "small host", 600, 800 + 1835 + 100 } };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      int64_t worst_ms = 0;
      for (int interval = 4; interval < ELECTION_FAULT_INTERVAL_COUNT; interval++)
        {
          const struct fault death = { HOST_DEAD, interval * 2 };
          const struct election_options options = {
            .host_count = 2,
            .duration_ms = 11000,
            .faults = &death,
            .fault_count = 1,
            .acquire_delays_ms = { 0, cases[i].delay_ms },
          };
          struct election_result result;
          election_simulate (&options, &result);
          assert_string_equal (result.violation, "");
          assert_int_equal (result.acquisitions[1].host, 0);
          int64_t taken_ms
              = result.acquisitions[2].at_ms - (int64_t)interval * ELECTION_FAULT_INTERVAL_MS;
          /* The last renewal is up to 250 ms old. */
          assert_true (taken_ms >= 1235 + cases[i].delay_ms - 250);
          worst_ms = MAX (worst_ms, taken_ms);
        }
      printf ("  %s: at most %d ms\n", cases[i].name, (int)worst_ms);
      assert_true (worst_ms <= cases[i].most_ms);
    }
}

/* The owner sends renewals without waiting for replies: three in a row may be lost. */
static void
test_lost_renewals (void **state)
{
  (void)state;
  for (int count = 1; count <= 3; count++)
    for (int64_t from_ms = DEATH_MS; from_ms < DEATH_MS + 250; from_ms += 25)
      {
        const struct call_fault fault = { CALL_LOST, 0, ELECTION_RENEWAL, from_ms, count };
        const struct election_options options = {
          .host_count = 2, .duration_ms = 6000, .call_faults = &fault, .call_fault_count = 1
        };
        struct election_result result;
        election_simulate (&options, &result);
        assert_string_equal (result.violation, "");
        assert_int_equal (result.last_acquisition, 1);
        assert_int_equal (result.with_authority, 1);
      }
}

/* Replies that came within the lease, but later than a fixed timeout of 700 ms, were thrown away:
 * no host ever acquired the pool, and the owner lost its authority. */
static void
test_replies_late_for_good (void **state)
{
  static const struct
  {
    int64_t delay_ms;
    int64_t
        least_percent; /* of the time for which a host has authority, before and after a death */
  } cases[] = { { 300, 60 }, { 500, 60 }, { 650, 60 }, { 800, 50 }, { 900, 50 }, { 1100, 20 } };
  int failures = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const int interval = 10000 / ELECTION_FAULT_INTERVAL_MS;
      const struct fault death = { HOST_DEAD, interval * 2 };
      const struct election_options options = { .host_count = 2,
                                                .duration_ms = 20000,
                                                .faults = &death,
                                                .fault_count = 1,
                                                .acquire_delays_ms = { 0, 0 },
                                                .reply_delay_ms = cases[i].delay_ms };
      struct election_result result;
      election_simulate (&options, &result);
      int64_t percent = result.authority_ms * 100 / options.duration_ms;
      printf ("  replies after %d ms: authority for %d %% of the time, %d acquisitions\n",
              (int)cases[i].delay_ms, (int)percent, (int)result.last_acquisition);
      assert_string_equal (result.violation, "");
      if (percent < cases[i].least_percent || result.last_acquisition < 2)
        failures++;
    }
  assert_int_equal (failures, 0);
}

/* --- a new term of the owner --- */

#define NEW_TERM_MS 3000

/* Runs an election of two hosts in which host 0 begins a new term, with @fault of its calls. */
static void
simulate_new_term (const struct call_fault *fault, struct election_result *result)
{
  const struct election_options options = { .host_count = 2,
                                            .duration_ms = 12000,
                                            .call_faults = fault,
                                            .call_fault_count = fault != NULL ? 1 : 0,
                                            .new_term_from_ms = NEW_TERM_MS };

  election_simulate (&options, result);
  assert_string_equal (result->violation, "");
  assert_int_equal (result->with_authority, 1);
}

/* An owner got new fencing tokens only after another host had owned the pool. Without a fault, it
 * always has authority meanwhile, and the new term counts orders of the old one as on their way for
 * as long as they may wait for a connection. */
static void
test_new_term (void **state)
{
  struct election_result result;

  (void)state;
  simulate_new_term (NULL, &result);
  const struct acquisition *first = &result.acquisitions[1];
  const struct acquisition *second = &result.acquisitions[2];
  assert_int_equal (result.last_acquisition, 2);
  assert_int_equal (first->host, 0);
  assert_int_equal (second->host, 0);
  assert_in_range (second->at_ms, NEW_TERM_MS, NEW_TERM_MS + 50);
  assert_false (second->previous_owner_may_be_active);
  assert_true (second->reconciled_at_ms >= second->at_ms + 2000 + ELECTION_TARGET_LEASE_MAX_MS);
  assert_true (result.authority_ms >= 12000 - first->at_ms - 25);
}

/* Whatever happens to the call that begins the new term, and to the calls around it, the new term
 * begins, the owner stays the same unless it cannot know that it is the owner, and does so for a
 * known time. */
static void
test_new_term_with_faults (void **state)
{
  int64_t worst_ms = 0;
  int other_owners = 0;

  (void)state;
  for (int kind = 0; kind < CALL_FAULT_KINDS; kind++)
    for (int type = 0; type < ELECTION_CALL_TYPES; type++)
      for (int64_t from_ms = NEW_TERM_MS - 500; from_ms <= NEW_TERM_MS + 500; from_ms += 25)
        {
          const struct call_fault fault
              = { (enum fault_kind)kind, 0, (enum election_call)type, from_ms, 1 };
          struct election_result result;
          simulate_new_term (&fault, &result);
          int64_t without_ms = 12000 - result.acquisitions[1].at_ms - result.authority_ms;
          worst_ms = MAX (worst_ms, without_ms);
          other_owners += result.acquisitions[result.last_acquisition].host != 0 ? 1 : 0;
          if (result.new_terms != 1 || without_ms > 700)
            fail_msg (
                "%s, call type %d from %d ms: %d new terms, token %d, %d ms without authority",
                fault_names[kind], type, (int)from_ms, result.new_terms,
                (int)result.last_acquisition, (int)without_ms);
        }
  printf ("  new term with a fault: at most %d ms without authority\n", (int)worst_ms);
  assert_int_equal (other_owners, 0);
}

/* Calls to the store are priced. */
static void
test_calls_without_faults (void **state)
{
  const struct election_options options
      = { .host_count = 2, .duration_ms = 10000, .acquire_delays_ms = { 0, 0 } };
  struct election_result result;

  (void)state;
  election_simulate (&options, &result);
  printf ("  without faults, in 10 s: %d reads of a standby, %d renewals, %d acquisitions\n",
          result.calls[1][ELECTION_READ], result.calls[0][ELECTION_RENEWAL],
          result.calls[0][ELECTION_ACQUISITION] + result.calls[1][ELECTION_ACQUISITION]);
  assert_true (result.calls[1][ELECTION_READ] <= 31);
  assert_true (result.calls[0][ELECTION_RENEWAL] <= 40);
  assert_true (result.calls[1][ELECTION_RENEWAL] == 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_acquisition_with_unknown_outcome),
    cmocka_unit_test (test_release_and_unknown_outcome),
    cmocka_unit_test (test_one_failed_read_of_the_standby),
    cmocka_unit_test (test_outage_for_all_keeps_owner),
    cmocka_unit_test (test_succession_without_other_faults),
    cmocka_unit_test (test_lost_renewals),
    cmocka_unit_test (test_replies_late_for_good),
    cmocka_unit_test (test_new_term),
    cmocka_unit_test (test_new_term_with_faults),
    cmocka_unit_test (test_calls_without_faults),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
