/* The release of the pool by an owner that stops, as a table of the store's replies. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "poold/ownership.h"

#define REPLIES_MAX 3

/* A store without an owner, which acknowledges the acquisition, at once or when the test lets it.
 */
struct stub_store
{
  struct fl_store interface;
  bool holds_acquisition;
  bool holds_new_term;       /* the second write */
  int64_t condition_version; /* of the last write */
  void (*acquired) (void *context, const struct fl_store_reply *reply);
  void *acquired_context;
  const struct fl_store_reply *release_replies; /* the last one is repeated */
  size_t release_reply_count;
  size_t writes; /* the first one acquires the pool */
};

static void
stub_store_transact (void *context,
                     const struct fl_store_transaction *transaction,
                     int64_t timeout_ms,
                     void (*done) (void *context, const struct fl_store_reply *reply),
                     void *done_context)
{
  struct stub_store *store = context;
  struct fl_store_reply acquired = { .status = FL_STORE_OK, .version = 1 };

  (void)timeout_ms;
  store->condition_version = transaction->conditions[0].version;
  store->writes++;
  if (store->writes == 1 || (store->writes == 2 && store->holds_new_term))
    {
      store->acquired = done;
      store->acquired_context = done_context;
      if (store->writes == 1 && !store->holds_acquisition)
        done (done_context, &acquired);
    }
  else
    done (done_context,
          &store->release_replies[MIN (store->writes - 2, store->release_reply_count - 1)]);
}

static void
stub_store_read (void *context,
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
  int *count = context;

  (*count)++;
}

static struct fl_ownership *
ownership_new (struct stub_store *store)
{
  static const struct fl_log log = { .level = FL_LOG_ERR };
  struct fl_ownership_options options = { .clock = { get_now_ms, NULL },
                                          .log = &log,
                                          .store = &store->interface,
                                          .host = fl_name_of ("h1"),
                                          .on_acquired = on_acquired,
                                          .on_lost = on_lost };

  store->interface = (struct fl_store){ .context = store,
                                        .transact = stub_store_transact,
                                        .read = stub_store_read };
  return fl_ownership_new (&options);
}

/* The end of a reused connection left the release undone, so that a successor waited for the lease
 * to expire. Other lost replies don't delay the stop. */
static void
test_release_lost_with_its_connection (void **state)
{
  static const struct fl_store_reply ok = { .status = FL_STORE_OK, .version = 2 };
  static const struct fl_store_reply rejected = { .status = FL_STORE_REJECTED };
  static const struct fl_store_reply no_reply = { .status = FL_STORE_UNKNOWN };
  static const struct fl_store_reply connection_ended
      = { .status = FL_STORE_UNKNOWN, .is_connection_stale = true };
  const struct
  {
    const char *name;
    struct fl_store_reply replies[REPLIES_MAX];
    size_t reply_count;
    size_t releases; /* expected */
  } cases[] = {
    { "released", { ok }, 1, 1 },
    { "rejected", { rejected }, 1, 1 },
    { "no reply", { no_reply }, 1, 1 },
    { "connection ended", { connection_ended, ok }, 2, 2 },
    { "connection ended, no reply", { connection_ended, no_reply }, 2, 2 },
    { "connections ended", { connection_ended }, 1, 2 },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct stub_store store
          = { .release_replies = cases[i].replies, .release_reply_count = cases[i].reply_count };
      struct fl_ownership *ownership = ownership_new (&store);
      int released = 0;
      fl_ownership_tick (ownership);
      assert_true (fl_ownership_has_authority (ownership));
      fl_ownership_release (ownership, on_released, &released);
      print_message ("%s: releases=%zu\n", cases[i].name, store.writes - 1);
      assert_int_equal (store.writes - 1, cases[i].releases);
      assert_int_equal (released, 1);
      assert_false (fl_ownership_has_authority (ownership));
      fl_ownership_free (ownership);
    }
}

/* A host that stopped between its acquisition and the reply left the pool to a process that had
 * ended: the next owner waited for the lease, and longer for silent targets. */
static void
test_acquisition_in_flight_is_released (void **state)
{
  static const struct fl_store_reply ok = { .status = FL_STORE_OK, .version = 2 };
  static const struct fl_store_reply rejected = { .status = FL_STORE_REJECTED };
  const struct
  {
    const char *name;
    const struct fl_store_reply *acquisition;
    size_t releases; /* expected */
  } cases[] = {
    { "acquired", &ok, 1 },
    { "rejected", &rejected, 0 },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct stub_store store
          = { .holds_acquisition = true, .release_replies = &ok, .release_reply_count = 1 };
      struct fl_ownership *ownership = ownership_new (&store);
      int released = 0;
      fl_ownership_tick (ownership);
      assert_non_null (store.acquired);
      fl_ownership_release (ownership, on_released, &released);
      assert_int_equal (released, 0);
      store.acquired (store.acquired_context, cases[i].acquisition);
      print_message ("%s: releases=%zu\n", cases[i].name, store.writes - 1);
      assert_int_equal (store.writes - 1, cases[i].releases);
      assert_int_equal (released, 1);
      fl_ownership_free (ownership);
    }
}

/* As above, for a host that begins a new term: the release has to name the row of that term, and
 * may not be overtaken by it. */
static void
test_new_term_in_flight_is_released (void **state)
{
  static const struct fl_store_reply ok = { .status = FL_STORE_OK, .version = 2 };
  static const struct fl_store_reply conflict = { .status = FL_STORE_CONFLICT };
  static const struct fl_store_reply no_reply = { .status = FL_STORE_UNKNOWN };
  const struct
  {
    const char *name;
    const struct fl_store_reply *new_term;
    int64_t released_version; /* expected */
  } cases[] = {
    { "begun", &ok, 2 },
    { "not begun", &conflict, 1 },
    { "no reply", &no_reply, 1 },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct stub_store store
          = { .holds_new_term = true, .release_replies = &ok, .release_reply_count = 1 };
      struct fl_ownership *ownership = ownership_new (&store);
      int released = 0;
      fl_ownership_tick (ownership);
      fl_ownership_begin_new_term (ownership);
      fl_ownership_begin_new_term (ownership);
      assert_int_equal (store.writes, 2);
      assert_true (fl_ownership_has_authority (ownership));
      fl_ownership_release (ownership, on_released, &released);
      assert_int_equal (store.writes, 2);
      assert_int_equal (released, 0);
      store.acquired (store.acquired_context, cases[i].new_term);
      print_message ("%s: released version %d\n", cases[i].name, (int)store.condition_version);
      assert_int_equal (store.writes, 3);
      assert_int_equal (store.condition_version, cases[i].released_version);
      assert_int_equal (released, 1);
      fl_ownership_free (ownership);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_release_lost_with_its_connection),
    cmocka_unit_test (test_acquisition_in_flight_is_released),
    cmocka_unit_test (test_new_term_in_flight_is_released),
  };

  return cmocka_run_group_tests_name ("release", tests, NULL, NULL);
}
