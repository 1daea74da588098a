/* The time that lib/frontd allows itself to respond to a request, and the phases of its stop. */
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

/* The phase of a stop that started at 0, at successive times. last_open_ms is the time at which a
 * connection was last open; OPEN if one is, and REQUEST_OPEN if a request waits on it. */
#define OPEN (-1)
#define REQUEST_OPEN (-2)

struct drain_step
{
  int64_t now_ms;
  int64_t last_open_ms;
  enum front_drain_phase phase;
};

static void
test_drain_phases (void **state)
{
  static const struct
  {
    const char *name;
    int64_t graceful_stop_ms;
    struct drain_step steps[6];
  } cases[] = {
    { "connections are open to the end",
      6000,
      { { 0, OPEN, FRONT_DRAIN_SERVING },
        { 4599, OPEN, FRONT_DRAIN_SERVING },
        { 4600, OPEN, FRONT_DRAIN_REJECTING },
        { 5400, OPEN, FRONT_DRAIN_CLOSING },
        { 5599, OPEN, FRONT_DRAIN_CLOSING },
        { 5600, OPEN, FRONT_DRAIN_ENDED } } },
    { "the load balancer notices before the process ends",
      6000,
      { { 2000, 0, FRONT_DRAIN_SERVING },
        { 2499, 0, FRONT_DRAIN_SERVING },
        { 2500, 0, FRONT_DRAIN_CLOSING },
        { 2520, 0, FRONT_DRAIN_ENDED } } },
    { "connections still arrive",
      6000,
      { { 2500, 2000, FRONT_DRAIN_SERVING },
        { 3000, OPEN, FRONT_DRAIN_SERVING },
        { 3999, 3000, FRONT_DRAIN_SERVING },
        { 4000, 3000, FRONT_DRAIN_CLOSING } } },
    { "a connection that waited to be accepted when listening ended",
      6000,
      { { 2500, 0, FRONT_DRAIN_CLOSING },
        { 2520, OPEN, FRONT_DRAIN_CLOSING },
        { 2540, 2520, FRONT_DRAIN_ENDED } } },
    { "new requests would only be rejected",
      6000,
      { { 4590, OPEN, FRONT_DRAIN_SERVING },
        { 4620, 4590, FRONT_DRAIN_CLOSING },
        { 4640, 4590, FRONT_DRAIN_ENDED } } },
    { "a short stop",
      1000,
      { { 0, OPEN, FRONT_DRAIN_REJECTING },
        { 400, OPEN, FRONT_DRAIN_CLOSING },
        { 600, OPEN, FRONT_DRAIN_ENDED } } },
    { "an update that is late",
      6000,
      { { 10, OPEN, FRONT_DRAIN_SERVING },
        { 9000, OPEN, FRONT_DRAIN_CLOSING },
        { 9020, OPEN, FRONT_DRAIN_ENDED } } },
    { "a late update, and requests are open",
      6000,
      { { 10, REQUEST_OPEN, FRONT_DRAIN_SERVING },
        { 5700, REQUEST_OPEN, FRONT_DRAIN_CLOSING },
        { 5720, REQUEST_OPEN, FRONT_DRAIN_CLOSING },
        { 9000, REQUEST_OPEN, FRONT_DRAIN_CLOSING },
        { 9000, OPEN, FRONT_DRAIN_ENDED } } },
    { "a late update, and nothing is open afterwards",
      6000,
      { { 10, OPEN, FRONT_DRAIN_SERVING },
        { 5700, OPEN, FRONT_DRAIN_CLOSING },
        { 5720, 5700, FRONT_DRAIN_ENDED } } },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct front_drain drain = { 0 };
      front_drain_start (&drain, 0, cases[i].graceful_stop_ms);
      for (size_t s = 0; s < G_N_ELEMENTS (cases[i].steps); s++)
        {
          const struct drain_step *step = &cases[i].steps[s];
          int64_t last_open_ms = step->last_open_ms < 0 ? step->now_ms : step->last_open_ms;
          if (step->phase == FRONT_DRAIN_NONE)
            break;
          if (front_drain_update (&drain, step->now_ms, last_open_ms,
                                  step->last_open_ms == REQUEST_OPEN)
              != step->phase)
            fail_msg ("%s, step %zu: phase %d", cases[i].name, s, drain.phase);
        }
    }
}

/* A request without a response keeps the process from ending, but not for ever. */
static void
test_drain_ends_with_open_request (void **state)
{
  struct front_drain drain = { 0 };
  int64_t now_ms = 0;

  (void)state;
  front_drain_start (&drain, 0, 6000);
  while (drain.phase != FRONT_DRAIN_ENDED && now_ms < 6000)
    {
      now_ms += 20;
      front_drain_update (&drain, now_ms, now_ms, true);
    }
  assert_int_equal (now_ms, 5800);
}

/* Responses are due before the end of the process, and at any time while it does not stop. */
static void
test_drain_respond_by (void **state)
{
  struct front_drain drain = { 0 };

  (void)state;
  assert_true (front_drain_get_respond_by_ms (&drain) == INT64_MAX);
  front_drain_start (&drain, 100, 6000);
  assert_int_equal (front_drain_get_respond_by_ms (&drain), 5500);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_response_timeout), cmocka_unit_test (test_drain_phases),
          cmocka_unit_test (test_drain_ends_with_open_request),
          cmocka_unit_test (test_drain_respond_by) };

  return cmocka_run_group_tests_name ("front", tests, NULL, NULL);
}
