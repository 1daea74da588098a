/* The way round by other hosts: when it is taken, and that messages tell what was called. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <ev.h>
#include <glib.h>

#include "relay/message.h"
#include "relay/path.h"
#include "relay/relay.h"
#include "support_loop.h"

/* --- path --- */

enum event
{
  SENT,
  SERVED,
  FAILED,
  LOOK, /* only time passes */
};

/* Each step: what happens, after how long, and whether the direct way then counts as whole. */
static void
test_path (void **state)
{
  static const struct
  {
    enum event event;
    int64_t pass_ms;
    bool is_whole;
  } steps[] = {
    { LOOK, 0, true },      { SENT, 10, true },   { SERVED, 300, true }, { SENT, 1000, true },
    { FAILED, 5, false },   { LOOK, 900, false }, { SENT, 0, false },    { SERVED, 5, true },
    { SENT, 100, true },    { LOOK, 390, true },  { LOOK, 20, false },   { SENT, 10, false },
    { SERVED, 1000, true }, { SERVED, 0, true },
  };
  struct fl_relay_path path = { 0 };
  int64_t now_ms = 100000;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (steps); i++)
    {
      now_ms += steps[i].pass_ms;
      if (steps[i].event == SENT)
        fl_relay_path_record_call (&path, now_ms);
      else if (steps[i].event != LOOK)
        fl_relay_path_record_reply (&path, steps[i].event == SERVED, now_ms);
      assert_int_equal (fl_relay_path_is_healthy (&path, now_ms), steps[i].is_whole);
    }
}

/* Probes come at a bounded rate, and only while the way is broken. */
static void
test_path_probes (void **state)
{
  struct fl_relay_path path = { 0 };
  int probes = 0;

  (void)state;
  assert_false (fl_relay_path_claim_probe (&path, 1000));
  fl_relay_path_record_call (&path, 1000);
  fl_relay_path_record_reply (&path, false, 1000);
  for (int64_t now_ms = 1000; now_ms < 6000; now_ms += 100)
    probes += fl_relay_path_claim_probe (&path, now_ms) ? 1 : 0;
  assert_int_equal (probes, 9);
}

/* --- messages --- */

static void
test_transaction_message (void **state)
{
  struct fl_store_condition condition = { "jobs", "3", fl_name_of ("a"), 7 };
  struct fl_store_write writes[]
      = { { "jobs", "3", fl_name_of ("a"), fl_str_of ("{\"x\":1}"), false },
          { "jobs", "3", fl_name_of ("b"), { 0 }, true } };
  struct fl_store_transaction transaction = { &condition, 1, writes, 2 };
  struct fl_relay_message sent = fl_relay_message_from_transaction (&transaction);
  struct fl_relay_message got;
  struct fl_error error = { 0 };
  msgpack_sbuffer buffer;

  (void)state;
  sent.number = 42;
  msgpack_sbuffer_init (&buffer);
  fl_relay_message_encode (&sent, &buffer);
  assert_true (fl_relay_message_decode (buffer.data, buffer.size, &got, &error));
  const struct fl_store_row *rows = got.conditions.items;
  assert_int_equal (got.number, 42);
  assert_int_equal (got.call, FL_RELAY_TRANSACT);
  assert_int_equal (got.conditions.count, 1);
  assert_int_equal (rows[0].version, 7);
  assert_string_equal (rows[0].partition.data, "3");
  rows = got.writes.items;
  assert_int_equal (got.writes.count, 2);
  assert_string_equal (rows[0].value.data, "{\"x\":1}");
  assert_true (rows[1].removed);
  fl_relay_message_clear (&got);
  /* Cut at any length it is refused, not misread. */
  for (size_t len = 0; len < buffer.size; len++)
    {
      assert_false (fl_relay_message_decode (buffer.data, len, &got, &error));
      fl_relay_message_clear (&got);
    }
  msgpack_sbuffer_destroy (&buffer);
  fl_str_clear (&writes[0].value);
  fl_relay_message_free_rows (&sent);
}

/* --- two hosts --- */

#define STEP_S 0.02

/* A store that answers in the next turn of the loop, or refuses. */
struct fake_store
{
  struct fl_store interface;
  bool refuses;
  int calls;
  int writes;
  struct fl_str listed; /* row of the one relay that is announced */
};

struct asked
{
  bool answered;
  enum fl_store_status status;
  int64_t version;
};

static void
fake_answer (struct fake_store *store,
             const struct fl_store_reply *served,
             void (*done) (void *context, const struct fl_store_reply *reply),
             void *context)
{
  struct fl_store_reply refused = { .status = FL_STORE_REJECTED };

  store->calls++;
  done (context, store->refuses ? &refused : served);
}

static void
fake_transact (void *context,
               const struct fl_store_transaction *transaction,
               int64_t timeout_ms,
               void (*done) (void *context, const struct fl_store_reply *reply),
               void *done_context)
{
  struct fake_store *store = context;
  struct fl_store_reply reply = { .status = FL_STORE_OK, .version = 77 };

  (void)timeout_ms;
  if (!store->refuses && strcmp (transaction->writes[0].table, "relays") == 0)
    {
      fl_str_clear (&store->listed);
      store->listed = fl_str_dup (&transaction->writes[0].value);
    }
  else if (!store->refuses)
    store->writes += (int)transaction->write_count;
  fake_answer (store, &reply, done, done_context);
}

static void
fake_read (void *context,
           const char *table,
           const char *part,
           const char *from,
           const char *to,
           int64_t timeout_ms,
           void (*done) (void *context, const struct fl_store_reply *reply),
           void *done_context)
{
  struct fake_store *store = context;
  struct fl_store_row row = { .key = fl_name_of ("h2"), .value = store->listed };
  struct fl_store_reply reply = { .status = FL_STORE_OK, .rows = &row, .count = 1, .version = 5 };

  (void)table;
  (void)part;
  (void)from;
  (void)to;
  (void)timeout_ms;
  fake_answer (store, &reply, done, done_context);
}

static void
on_asked (void *context, const struct fl_store_reply *reply)
{
  struct asked *asked = context;

  *asked = (struct asked){ true, reply->status, reply->version };
}

static void
write_row (struct ev_loop *loop, const struct fl_store *store, struct asked *asked)
{
  struct fl_store_write write = { "jobs", "1", fl_name_of ("a"), { 1, (char *)"x" }, false };
  struct fl_store_transaction transaction = { NULL, 0, &write, 1 };

  *asked = (struct asked){ 0 };
  store->transact (store->context, &transaction, 1000, on_asked, asked);
  while (!asked->answered)
    ev_run (loop, EVRUN_ONCE);
}

/* The connection to the peer may take its time to open. */
static void
write_until_served (struct ev_loop *loop, const struct fl_store *store, struct asked *asked)
{
  do
    {
      support_run_loop_for (loop, STEP_S);
      write_row (loop, store, asked);
    }
  while (asked->status != FL_STORE_OK);
}

/* The store turns one host away and serves the other: after one refusal calls are carried, and
 * the peer's own trouble is told as a refusal. */
static void
test_carried_by_peer (void **state)
{
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  struct fl_log log = { .level = FL_LOG_ERR };
  struct fl_stats *stats = fl_stats_new ();
  struct fake_store cut = { .interface = { &cut, fake_transact, fake_read, NULL } };
  struct fake_store whole = { .interface = { &whole, fake_transact, fake_read, NULL } };
  struct fl_relay_options options = {
    loop, &log, stats, &whole.interface, fl_name_of ("h2"), 500, fl_name_of ("tcp://127.0.0.1:0")
  };
  struct fl_error error = { 0 };
  struct fl_relay *peer = fl_relay_new (&options, &error);
  struct asked asked;

  (void)state;
  assert_non_null (peer);
  while (whole.listed.len == 0)
    support_run_loop_for (loop, STEP_S);
  cut.listed = fl_str_dup (&whole.listed);
  options.direct = &cut.interface;
  options.host = fl_name_of ("h1");
  options.address = fl_name_of ("");
  struct fl_relay *relay = fl_relay_new (&options, &error);
  const struct fl_store *store = fl_relay_store (relay);
  while (fl_relay_peer_count (relay) == 0)
    support_run_loop_for (loop, STEP_S);
  assert_int_equal (fl_relay_largest_cpu_milli (relay), 500);
  cut.refuses = true;
  write_row (loop, store, &asked);
  assert_int_equal (asked.status, FL_STORE_REJECTED);
  write_until_served (loop, store, &asked);
  assert_int_equal (asked.version, 77);
  assert_int_equal (whole.writes, 1);
  whole.refuses = true;
  write_row (loop, store, &asked);
  assert_int_equal (asked.status, FL_STORE_REJECTED);
  cut.refuses = false;
  write_until_served (loop, store, &asked);
  assert_int_equal (cut.writes, 1);
  assert_int_equal (whole.writes, 1);
  fl_relay_free (relay);
  fl_relay_free (peer);
  fl_str_clear (&cut.listed);
  fl_str_clear (&whole.listed);
  fl_stats_free (stats);
  ev_loop_destroy (loop);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_path),
    cmocka_unit_test (test_path_probes),
    cmocka_unit_test (test_transaction_message),
    cmocka_unit_test (test_carried_by_peer),
  };

  return cmocka_run_group_tests_name ("relay", tests, NULL, NULL);
}
