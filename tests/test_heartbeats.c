/* What an owner concludes from the replies to heartbeats, by their age. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "core/core.h"

#define START_MS 100000

static void
deliver_report (struct fl_core *core, const struct fl_name *id, int64_t sent_ms, int64_t now_ms)
{
  struct fl_target_report report = { .booted_at_ms = 1, .clock_ms = now_ms };
  struct fl_order_reply reply = { .result = FL_ORDER_DONE, .report = &report };

  fl_core_handle_heartbeat_reply (core, id, &reply, sent_ms, now_ms);
}

/* A reply that a suspended host read late was taken for current: the next heartbeat acknowledged
 * ends of a new boot by the numbers of the earlier one, and these tasks ran twice. */
static void
test_reply_from_before_a_suspension_does_not_tell_the_boot (void **state)
{
  static const struct
  {
    const char *name;
    int64_t age_ms; /* of the reply beyond the wait that the heartbeat permitted */
    bool knows_boot;
  } cases[] = {
    { "at once", 5, true },
    { "as late as a forwarded reply may be", 450, true },
    { "after a suspension", 3000, false },
  };
  static const struct fl_log log = { 0 };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fl_core_options options = {
        .log = &log, .fencing_token = 1, .target_lease_ms = 4500, .target_lease_max_ms = 6000
      };
      struct fl_target_entry entry = { .id = fl_name_of ("t1"),
                                       .service = fl_name_of ("s"),
                                       .address = fl_name_of ("127.0.0.1:1") };
      struct fl_core *core = fl_core_new (&options);
      struct fl_heartbeat_order order;
      int64_t now_ms = START_MS;
      fl_core_update_target (core, &entry);
      fl_core_set_registry_known (core);
      fl_core_set_jobs_known (core);
      assert_true (fl_core_prepare_heartbeat (core, &entry.id, now_ms, &order));
      deliver_report (core, &entry.id, now_ms, now_ms + 5);
      now_ms += 5;
      assert_true (fl_core_prepare_heartbeat (core, &entry.id, now_ms, &order));
      assert_true (order.deadline_ms > 0);
      int64_t sent_ms = now_ms;
      now_ms += order.wait_ms + cases[i].age_ms;
      deliver_report (core, &entry.id, sent_ms, now_ms);
      assert_true (fl_core_prepare_heartbeat (core, &entry.id, now_ms, &order));
      if ((order.deadline_ms > 0) != cases[i].knows_boot)
        fail_msg ("%s: the next heartbeat has the deadline %d", cases[i].name,
                  (int)order.deadline_ms);
      fl_core_free (core);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_reply_from_before_a_suspension_does_not_tell_the_boot) };

  return cmocka_run_group_tests_name ("heartbeats", tests, NULL, NULL);
}
