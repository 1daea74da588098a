/* The stored list of targets from which a successor learns where tasks may run. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "core/core.h"

static struct fl_core *
core_new_with_recorded_target (const struct fl_target_entry *entry)
{
  static const struct fl_log log = { 0 };
  struct fl_core_options options
      = { .log = &log, .fencing_token = 1, .target_lease_ms = 4500, .target_lease_max_ms = 6000 };
  struct fl_core *core = fl_core_new (&options);

  fl_core_update_target (core, entry);
  fl_core_set_registry_known (core);
  fl_core_set_jobs_known (core);
  g_array_unref (fl_core_collect_target_list (core));
  fl_core_finish_target_list (core, true);
  assert_false (fl_core_target_list_is_outdated (core));
  return core;
}

enum departure
{
  LEFT_REGISTRY,
  DRAINED
};

struct list_case
{
  const char *name;
  enum departure departure;
  bool stored; /* whether the write of the list without the target is confirmed */
  bool is_outdated;
};

/* A list whose write failed kept a target that had left, and the next owner waited for its report.
 */
static void
test_failed_write_of_target_list_is_repeated (void **state)
{
  static const struct list_case cases[] = {
    { "left, stored", LEFT_REGISTRY, true, false },
    { "left, write failed", LEFT_REGISTRY, false, true },
    { "drained, stored", DRAINED, true, false },
    { "drained, write failed", DRAINED, false, true },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fl_target_entry entry = { .id = fl_name_of ("t1"),
                                       .service = fl_name_of ("s"),
                                       .address = fl_name_of ("127.0.0.1:1") };
      struct fl_core *core = core_new_with_recorded_target (&entry);
      print_message ("%s\n", cases[i].name);
      entry.draining = true;
      if (cases[i].departure == LEFT_REGISTRY)
        fl_core_remove_target (core, &entry.id);
      else
        fl_core_update_target (core, &entry);
      assert_true (fl_core_target_list_is_outdated (core));
      g_array_unref (fl_core_collect_target_list (core));
      fl_core_finish_target_list (core, cases[i].stored);
      assert_int_equal (fl_core_target_list_is_outdated (core), cases[i].is_outdated);
      fl_core_free (core);
    }
}

static bool
list_contains (struct fl_core *core, const struct fl_name *id)
{
  g_autoptr (GArray) names = fl_core_collect_target_list (core);
  bool found = false;

  fl_core_finish_target_list (core, true);
  for (guint i = 0; i < names->len; i += 2)
    found = found || fl_name_eq (&g_array_index (names, struct fl_name, i), id);
  return found;
}

/* A new owner dropped a draining target that had not reported yet from the list, and ended. Its
 * successor did not know the target and started the tasks on it a second time. */
static void
test_draining_target_is_listed_until_it_has_reported (void **state)
{
  static const struct fl_log log = { 0 };
  struct fl_core_options options = { .log = &log,
                                     .fencing_token = 2,
                                     .target_lease_ms = 4500,
                                     .target_lease_max_ms = 6000,
                                     .earlier_orders_end_ms = 103000 };
  struct fl_target_entry entry = { .id = fl_name_of ("t1"),
                                   .service = fl_name_of ("s"),
                                   .address = fl_name_of ("127.0.0.1:1"),
                                   .draining = true };
  struct fl_target_report report = { .booted_at_ms = 1, .clock_ms = 1 };
  struct fl_order_reply reply = { .result = FL_ORDER_DONE, .report = &report };
  struct fl_core *core = fl_core_new (&options);

  (void)state;
  fl_core_inherit_target (core, &entry.id, &entry.address);
  fl_core_update_target (core, &entry);
  fl_core_set_registry_known (core);
  fl_core_set_jobs_known (core);
  fl_core_tick (core, 100000, 100000);
  assert_true (list_contains (core, &entry.id));
  fl_core_handle_heartbeat_reply (core, &entry.id, &reply, 100000, 100010);
  fl_core_tick (core, 100010, 100010);
  assert_false (list_contains (core, &entry.id));
  fl_core_free (core);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_failed_write_of_target_list_is_repeated),
    cmocka_unit_test (test_draining_target_is_listed_until_it_has_reported),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
