/* Order of the writes of one writer when the store loses replies and applies writes late. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "store/ordered_writer.h"
#include "support_store.h"

/* Statuses of the writes of "1", "2" and "3", and the values that must result. A write with
 * status FL_STORE_UNKNOWN is delayed by the store until after the third write. */
struct delayed_write_case
{
  enum fl_store_status statuses[3];
  const char *value_after_writes;
  const char *value_after_delayed_write;
};

static const struct delayed_write_case cases[] = {
  { { FL_STORE_OK, FL_STORE_OK, FL_STORE_OK }, "3", "3" },
  { { FL_STORE_REJECTED, FL_STORE_OK, FL_STORE_OK }, "3", "3" },
  { { FL_STORE_UNKNOWN, FL_STORE_OK, FL_STORE_OK }, "3", "3" },
  { { FL_STORE_OK, FL_STORE_UNKNOWN, FL_STORE_OK }, "3", "3" },
  { { FL_STORE_OK, FL_STORE_OK, FL_STORE_UNKNOWN }, "2", "3" },
};

static void
record_status (void *context, const struct fl_store_reply *reply)
{
  *(enum fl_store_status *)context = reply->status;
}

static void
write_value (struct fl_store_writer *writer, const char *value, enum fl_store_status *status)
{
  struct fl_store_condition condition = { "owner", "", fl_name_of ("pool"), 0 };
  struct fl_store_write write
      = { "progress", "", fl_name_of ("job"), { strlen (value), (char *)value }, false };

  fl_store_writer_write (writer, &condition, &write, 1, 100, record_status, status);
  /* After the conflict the writer has the version of its row: retry, as its users do. */
  if (*status == FL_STORE_CONFLICT)
    fl_store_writer_write (writer, &condition, &write, 1, 100, record_status, status);
}

static void
test_delayed_writes (void **state)
{
  static const char *const values[] = { "1", "2", "3" };

  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct fake_store *store = fake_store_new ();
      struct fl_store_writer *writer
          = fl_store_writer_new (fake_store_get_interface (store), "owner", "", "progress");
      bool has_delayed_write = false;
      for (int j = 0; j < 3; j++)
        {
          enum fl_store_status status;
          fake_store_set_next_status (store, cases[i].statuses[j]);
          has_delayed_write = has_delayed_write || cases[i].statuses[j] == FL_STORE_UNKNOWN;
          write_value (writer, values[j], &status);
          assert_int_equal (status, cases[i].statuses[j]);
        }
      assert_string_equal (fake_store_get_value (store, "progress", "job"),
                           cases[i].value_after_writes);
      if (has_delayed_write)
        fake_store_apply_delayed (store);
      assert_string_equal (fake_store_get_value (store, "progress", "job"),
                           cases[i].value_after_delayed_write);
      fl_store_writer_free (writer);
      fake_store_free (store);
    }
}

static void
test_version_from_conflict (void **state)
{
  struct fake_store *store = fake_store_new ();
  struct fl_store_writer *first_writer
      = fl_store_writer_new (fake_store_get_interface (store), "owner", "", "progress");
  struct fl_store_writer *second_writer
      = fl_store_writer_new (fake_store_get_interface (store), "owner", "", "progress");
  enum fl_store_status status;

  (void)state;
  write_value (first_writer, "1", &status);
  write_value (second_writer, "2", &status);
  assert_int_equal (status, FL_STORE_OK);
  assert_string_equal (fake_store_get_value (store, "progress", "job"), "2");
  fl_store_writer_free (first_writer);
  fl_store_writer_free (second_writer);
  fake_store_free (store);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_delayed_writes), cmocka_unit_test (test_version_from_conflict) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
