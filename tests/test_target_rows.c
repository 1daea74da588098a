/* The list of targets as rows of the store. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "poold/target_rows.h"

#define ROW_BYTES_MAX 65536

/* Load pattern: 10,000 targets with ids and addresses of full length. Each row fits the store, and
 * the rows together hold the list. */
static void
test_long_list (void **state)
{
  static const size_t counts[] = { 0, 1, 120, 1100, 1900, 10000 };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (counts); i++)
    {
      g_autoptr (GArray) names = g_array_new (FALSE, FALSE, sizeof (struct fl_name));
      g_autoptr (GArray) decoded = g_array_new (FALSE, FALSE, sizeof (struct fl_name));
      for (size_t j = 0; j < 2 * counts[i]; j++)
        {
          struct fl_name name = fl_name_format ("%0*zu", FL_NAME_MAX, j);
          g_array_append_val (names, name);
        }
      size_t rows = fl_target_rows_count (names->len);
      assert_true (rows >= 1 && rows <= FL_TARGET_ROWS_MAX);
      for (size_t j = 0; j < rows; j++)
        {
          struct fl_name key = fl_target_rows_key (j);
          struct fl_str row = fl_target_rows_encode (names, j);
          assert_int_equal (fl_target_rows_index (&key), j);
          assert_true (row.len <= ROW_BYTES_MAX);
          assert_true (fl_target_rows_decode (row.data, row.len, decoded, NULL));
          fl_str_clear (&row);
        }
      assert_int_equal (decoded->len, names->len);
      for (guint j = 0; j < names->len; j++)
        assert_true (fl_name_eq (&g_array_index (names, struct fl_name, j),
                                 &g_array_index (decoded, struct fl_name, j)));
    }
}

static void
test_malformed_rows (void **state)
{
  static const char *const rows[] = { "",
                                      "{}",
                                      "[\"a\"]",
                                      "[1,2]",
                                      "[\"a\",null]",
                                      "[\"a\",\"b\"",
                                      "[\"\",\"1.2.3.4:5\"]",
                                      "[\"a\\r\\nb\",\"1.2.3.4:5\"]" };
  static const char *const other_keys[]
      = { "pending", "targets/", "targets/x", "targets/90", "target" };
  struct fl_error error = { 0 };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      g_autoptr (GArray) names = g_array_new (FALSE, FALSE, sizeof (struct fl_name));
      if (fl_target_rows_decode (rows[i], strlen (rows[i]), names, &error) || names->len > 0)
        fail_msg ("row %s was accepted", rows[i]);
    }
  for (size_t i = 0; i < G_N_ELEMENTS (other_keys); i++)
    {
      struct fl_name key = fl_name_of (other_keys[i]);
      if (fl_target_rows_index (&key) >= 0)
        fail_msg ("key %s was accepted", other_keys[i]);
    }
}

/* Load pattern: many targets with ids of full length are silent to a new owner. */
static void
test_unheard_row (void **state)
{
  static const size_t counts[] = { 0, 1, 500 };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (counts); i++)
    {
      g_autoptr (GArray) targets = g_array_new (FALSE, FALSE, sizeof (struct fl_unheard_target));
      g_autoptr (GArray) decoded = g_array_new (FALSE, FALSE, sizeof (struct fl_unheard_target));
      struct fl_error error = { 0 };
      int64_t token;
      for (size_t j = 0; j < counts[i]; j++)
        {
          struct fl_unheard_target target
              = { fl_name_format ("%0*zu", FL_NAME_MAX, j), (int64_t)j * 7000 };
          g_array_append_val (targets, target);
        }
      struct fl_str row = fl_unheard_row_encode (301, targets);
      assert_true (row.len <= ROW_BYTES_MAX);
      assert_true (fl_unheard_row_decode (row.data, row.len, &token, decoded, &error));
      assert_int_equal (token, 301);
      assert_int_equal (decoded->len, counts[i]);
      for (guint j = 0; j < decoded->len; j++)
        {
          const struct fl_unheard_target *was
              = &g_array_index (targets, struct fl_unheard_target, j);
          const struct fl_unheard_target *is
              = &g_array_index (decoded, struct fl_unheard_target, j);
          assert_true (fl_name_eq (&was->id, &is->id));
          assert_int_equal (was->left_ms, is->left_ms);
        }
      fl_str_clear (&row);
    }
}

static void
test_malformed_unheard_rows (void **state)
{
  static const char *const rows[] = {
    "",
    "[]",
    "{}",
    "{\"token\":1}",
    "{\"left_ms\":{\"a\":1}}",
    "{\"left_ms\":[],\"token\":1}",
    "{\"left_ms\":{\"a\":1},\"token\":\"1\"}",
    "{\"left_ms\":{\"a\":-1},\"token\":1}",
    "{\"left_ms\":{\"a\":1.5},\"token\":1}",
    "{\"left_ms\":{\"a\":1,\"b\":null},\"token\":1}",
    "{\"left_ms\":{\"a\":9223372036854775807},\"token\":1}",
    "{\"left_ms\":{\"\":1},\"token\":1}",
    "{\"left_ms\":{\"a\":1},\"token\":0}",
    "{\"left_ms\":{\"a\":1},\"token\":9223372036854775807}",
    "{\"left_ms\":{\"a\\r\":1},\"token\":1}",
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      g_autoptr (GArray) targets = g_array_new (FALSE, FALSE, sizeof (struct fl_unheard_target));
      struct fl_error error = { 0 };
      int64_t token = 1;
      if (fl_unheard_row_decode (rows[i], strlen (rows[i]), &token, targets, &error)
          || targets->len > 0)
        fail_msg ("row %s was accepted", rows[i]);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_long_list), cmocka_unit_test (test_malformed_rows),
          cmocka_unit_test (test_unheard_row), cmocka_unit_test (test_malformed_unheard_rows) };

  return cmocka_run_group_tests_name ("target_rows", tests, NULL, NULL);
}
