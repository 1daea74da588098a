/* Order of the writes of one writer when the store loses replies and applies writes late. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
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

/* --- a writer that is freed by its own callback --- */

/* More than the size of a writer, in steps of the allocator. */
#define BLOCK_SIZES 32
#define BLOCK_STEP 16

struct freeing_caller
{
  struct fl_store_writer *writer;
  int calls_left; /* the last one frees the writer */
  void *blocks[BLOCK_SIZES];
};

static void
allocate_blocks (void **blocks)
{
  for (size_t i = 0; i < BLOCK_SIZES; i++)
    {
      blocks[i] = malloc ((i + 1) * BLOCK_STEP);
      memset (blocks[i], 0xff, (i + 1) * BLOCK_STEP);
    }
}

/* Whether nobody has written to the blocks. */
static bool
are_untouched (void **blocks)
{
  for (size_t i = 0; i < BLOCK_SIZES; i++)
    for (size_t j = 0; j < (i + 1) * BLOCK_STEP; j++)
      if (((const unsigned char *)blocks[i])[j] != 0xff)
        return false;
  return true;
}

static void
free_blocks (void **blocks)
{
  for (size_t i = 0; i < BLOCK_SIZES; i++)
    free (blocks[i]);
}

static void write_or_free (void *context, const struct fl_store_reply *reply);

static void
send_write (struct freeing_caller *caller)
{
  struct fl_store_condition condition = { "owner", "", fl_name_of ("pool"), 0 };
  struct fl_store_write write = { "progress", "", fl_name_of ("job"), { 1, (char *)"x" }, false };

  fl_store_writer_write (caller->writer, &condition, &write, 1, 100, write_or_free, caller);
}

static void
write_or_free (void *context, const struct fl_store_reply *reply)
{
  struct freeing_caller *caller = context;

  (void)reply;
  if (--caller->calls_left > 0)
    {
      send_write (caller);
      return;
    }
  fl_store_writer_free (caller->writer);
  /* One of them takes the place of the writer if that is free now. */
  allocate_blocks (caller->blocks);
}

/* The writer was used after its callback had freed it, also when the callback that freed it was
 * called within that of an earlier transaction. */
static void
test_free_in_callback (void **state)
{
  (void)state;
  for (int calls = 1; calls <= 3; calls++)
    {
      struct fake_store *store = fake_store_new ();
      struct freeing_caller caller = { .calls_left = calls };
      void *later[BLOCK_SIZES];
      caller.writer
          = fl_store_writer_new (fake_store_get_interface (store), "owner", "", "progress");
      send_write (&caller);
      assert_int_equal (caller.calls_left, 0);
      assert_true (are_untouched (caller.blocks));
      /* No block of the caller has been freed in place of the writer. */
      allocate_blocks (later);
      for (size_t i = 0; i < BLOCK_SIZES; i++)
        for (size_t j = 0; j < BLOCK_SIZES; j++)
          assert_ptr_not_equal (later[i], caller.blocks[j]);
      free_blocks (later);
      free_blocks (caller.blocks);
      fake_store_free (store);
    }
}

/* A store that replies when the test does. */
struct held_call
{
  void (*done) (void *context, const struct fl_store_reply *reply);
  void *context;
};

static void
hold_transaction (void *context,
                  const struct fl_store_transaction *transaction,
                  int64_t timeout_ms,
                  void (*done) (void *context, const struct fl_store_reply *reply),
                  void *done_context)
{
  (void)transaction;
  (void)timeout_ms;
  *(struct held_call *)context = (struct held_call){ done, done_context };
}

static void
write_and_free (void *context, const struct fl_store_reply *reply)
{
  struct freeing_caller *caller = context;

  (void)reply;
  caller->calls_left = 1;
  send_write (caller);
  fl_store_writer_free (caller->writer);
  caller->writer = NULL;
}

/* A callback that writes again and frees the writer: the transaction in flight still calls back. */
static void
test_free_with_write_in_callback (void **state)
{
  struct held_call call;
  struct fl_store store = { .context = &call, .transact = hold_transaction };
  struct fl_store_condition condition = { "owner", "", fl_name_of ("pool"), 0 };
  struct fl_store_write write = { "progress", "", fl_name_of ("job"), { 1, (char *)"x" }, false };
  struct fl_store_reply reply = { .status = FL_STORE_OK, .version = 1 };
  struct freeing_caller caller
      = { .writer = fl_store_writer_new (&store, "owner", "", "progress") };
  void *blocks[BLOCK_SIZES];

  (void)state;
  fl_store_writer_write (caller.writer, &condition, &write, 1, 100, write_and_free, &caller);
  call.done (call.context, &reply);
  /* In the place of the writer if that is free now, which the reply then writes to. */
  allocate_blocks (blocks);
  call.done (call.context, &reply);
  assert_int_equal (caller.calls_left, 0);
  assert_true (are_untouched (blocks));
  free_blocks (blocks);
  free_blocks (caller.blocks);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_delayed_writes), cmocka_unit_test (test_version_from_conflict),
          cmocka_unit_test (test_free_in_callback),
          cmocka_unit_test (test_free_with_write_in_callback) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
