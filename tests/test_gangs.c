/* The members of a gang work only together. While one of them is missing, none is left to wait for
 * it until its target ends it. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

#include "support_core.h"

/* Longer than an order takes to be sent again. */
#define RETRY_MS 700
/* Targets let a member wait for at least this time. */
#define GANG_TIMEOUT_MS 3000

/* A gang of two, ordered to start on two targets; one member is confirmed. */
static struct fixture *
order_gang (void)
{
  struct fixture *fixture = fixture_new (0);

  add_target (fixture, "t1", 1, false);
  add_target (fixture, "t2", 1, false);
  add_job (fixture, "g", "urgent",
           (struct fl_step_spec){ .count = 2, .cpu_milli = 1000, .gang = true });
  tick_until_recorded (fixture, 0);
  assert_int_equal (fixture->start_orders->len, 2);
  confirm_start (fixture, 0);
  return fixture;
}

static bool
is_stopped (const struct fixture *fixture, const struct fl_start_order *start)
{
  for (guint i = 0; i < fixture->stop_orders->len; i++)
    {
      const struct fl_run_order *stop
          = &g_array_index (fixture->stop_orders, struct fl_run_order, i);
      if (stop->run == start->run && fl_name_eq (&stop->task, &start->task))
        return true;
    }
  return false;
}

/* Replies to the last start order with @result, and gives the core time to act on it. */
static void
reply_to_start (struct fixture *fixture, enum fl_order_result result)
{
  const struct fl_start_order *order = get_start_order (fixture, fixture->start_orders->len - 1);

  fl_core_handle_start_reply (fixture->core, &order->task, order->run, result, fixture->now_ms);
  tick_until_recorded (fixture, RETRY_MS);
}

/* The owner gave up a member whose starts had no reply, and left the others to wait. */
static void
test_member_without_reply (void **state)
{
  struct fixture *fixture = order_gang ();

  (void)state;
  while (fixture->stop_orders->len == 0 && fixture->now_ms < 100000 + GANG_TIMEOUT_MS)
    reply_to_start (fixture, FL_ORDER_NO_REPLY);
  assert_true (is_stopped (fixture, get_start_order (fixture, 1)));
  assert_true (is_stopped (fixture, get_start_order (fixture, 0)));
  fixture_free (fixture);
}

/* The same if the target rejects a later attempt: the first may still take effect. */
static void
test_member_rejected_after_attempt_without_reply (void **state)
{
  struct fixture *fixture = order_gang ();

  (void)state;
  reply_to_start (fixture, FL_ORDER_NO_REPLY);
  assert_int_equal (fixture->start_orders->len, 3);
  reply_to_start (fixture, FL_ORDER_NO_TICKET);
  assert_true (is_stopped (fixture, get_start_order (fixture, 1)));
  assert_true (is_stopped (fixture, get_start_order (fixture, 0)));
  fixture_free (fixture);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_member_without_reply),
          cmocka_unit_test (test_member_rejected_after_attempt_without_reply) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
