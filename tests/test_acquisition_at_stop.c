/* The stop of a host whose acquisition of the pool has no reply yet. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "poold/ownership.h"

/* A store without an owner, which holds back the reply to the first write. */
struct slow_store
{
  struct fl_store interface;
  void (*acquired) (void *context, const struct fl_store_reply *reply);
  void *acquired_context;
  int writes;
};

static void
slow_store_transact (void *context,
                     const struct fl_store_transaction *transaction,
                     int64_t timeout_ms,
                     void (*done) (void *context, const struct fl_store_reply *reply),
                     void *done_context)
{
  struct slow_store *store = context;
  struct fl_store_reply reply = { .status = FL_STORE_OK, .version = 2 };

  (void)transaction;
  (void)timeout_ms;
  if (store->writes++ > 0)
    {
      done (done_context, &reply);
      return;
    }
  store->acquired = done;
  store->acquired_context = done_context;
}

static void
slow_store_read (void *context,
                 const char *table,
                 const char *partition,
                 const char *first_key,
                 const char *end_key,
                 int64_t timeout_ms,
                 void (*done) (void *context, const struct fl_store_reply *reply),
                 void *done_context)
{
  struct fl_store_reply reply = { .status = FL_STORE_OK };

  (void)context;
  (void)table;
  (void)partition;
  (void)first_key;
  (void)end_key;
  (void)timeout_ms;
  done (done_context, &reply);
}

static int64_t
get_now_ms (void *context)
{
  (void)context;
  return 1000;
}

static void
on_acquired (void *context, int64_t token, int64_t version, bool previous_owner_may_be_active)
{
  (void)context;
  (void)token;
  (void)version;
  (void)previous_owner_may_be_active;
}

static void
on_lost (void *context)
{
  (void)context;
}

static void
on_released (void *context)
{
  ++*(int *)context;
}

/* A host that stopped between its acquisition and the reply left the pool to a process that had
 * ended: the next owner waited for the lease, and longer for silent targets. */
static void
test_acquisition_in_flight_is_released (void **state)
{
  struct slow_store store = { .interface = { &store, slow_store_transact, slow_store_read, NULL } };
  struct fl_log log = { .level = FL_LOG_ERR };
  struct fl_ownership_options options = { .clock = { get_now_ms, NULL },
                                          .log = &log,
                                          .store = &store.interface,
                                          .host = fl_name_of ("h1"),
                                          .on_acquired = on_acquired,
                                          .on_lost = on_lost };
  struct fl_ownership *ownership = fl_ownership_new (&options);
  struct fl_store_reply applied = { .status = FL_STORE_OK, .version = 1 };
  int released = 0;

  (void)state;
  for (int i = 0; i < 100 && store.acquired == NULL; i++)
    fl_ownership_tick (ownership);
  assert_non_null (store.acquired);
  fl_ownership_release (ownership, on_released, &released);
  assert_int_equal (released, 0);
  store.acquired (store.acquired_context, &applied);
  assert_int_equal (store.writes, 2);
  assert_int_equal (released, 1);
  fl_ownership_free (ownership);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_acquisition_in_flight_is_released) };

  return cmocka_run_group_tests_name ("acquisition_at_stop", tests, NULL, NULL);
}
