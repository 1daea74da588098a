/* Store calls relayed through other hosts: the choice of the path, and the relayed messages. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <ev.h>
#include <glib.h>

#include "relay/message.h"
#include "relay/path.h"
#include "relay/relay.h"
#include "support_loop.h"
#include "support_proxy.h"

/* --- path --- */

/* Longer than the direct path may be without a reply. */
#define HELD_UP_MS 600

enum path_event
{
  CALL_SENT,
  CALL_SERVED,
  CALL_FAILED,
  CONNECTION_ENDED, /* a reused one, before the reply */
  TIME_PASSED,
  PROCESS_RESUMED, /* after a time in which it read no replies */
};

/* A store that replies when the test says so. */
struct silent_store
{
  struct fl_store interface;
  int calls;
  void (*done[2]) (void *context, const struct fl_store_reply *reply);
  void *contexts[2];
};

static void
ignore_transaction (void *context,
                    const struct fl_store_transaction *transaction,
                    int64_t timeout_ms,
                    void (*done) (void *context, const struct fl_store_reply *reply),
                    void *done_context)
{
  struct silent_store *store = context;

  (void)transaction;
  (void)timeout_ms;
  assert_true (store->calls < 2);
  store->done[store->calls] = done;
  store->contexts[store->calls++] = done_context;
}

static void
silent_store_reply (struct silent_store *store)
{
  struct fl_store_reply reply = { .status = FL_STORE_OK };

  for (int i = 0; i < store->calls; i++)
    store->done[i](store->contexts[i], &reply);
}

static void
ignore_reply (void *context, const struct fl_store_reply *reply)
{
  (void)context;
  (void)reply;
}

/* Each step: an event, the time since the previous step, and whether the direct path is healthy
 * after the event. A rejected call, or more than 400 ms without a reply, makes the path fail; the
 * end of a reused connection neither does so nor mends it. */
static void
test_path_state (void **state)
{
  static const enum fl_relay_outcome outcomes[] = { [CALL_SERVED] = FL_RELAY_SERVED,
                                                    [CALL_FAILED] = FL_RELAY_FAILED,
                                                    [CONNECTION_ENDED] = FL_RELAY_INCONCLUSIVE };
  static const struct
  {
    enum path_event event;
    int64_t elapsed_ms;
    bool is_healthy;
  } steps[] = {
    { TIME_PASSED, 0, true },       { CALL_SENT, 10, true },        { CALL_SERVED, 300, true },
    { CALL_SENT, 1000, true },      { CALL_FAILED, 5, false },      { TIME_PASSED, 900, false },
    { CALL_SENT, 0, false },        { CALL_SERVED, 5, true },       { CALL_SENT, 100, true },
    { TIME_PASSED, 390, true },     { TIME_PASSED, 20, false },     { CALL_SENT, 10, false },
    { CALL_SERVED, 1000, true },    { CALL_SERVED, 0, true },       { CALL_SENT, 500, true },
    { CONNECTION_ENDED, 5, true },  { TIME_PASSED, 900, true },     { CALL_SENT, 0, true },
    { CALL_SENT, 300, true },       { CONNECTION_ENDED, 50, true }, { TIME_PASSED, 100, false },
    { CONNECTION_ENDED, 0, false }, { CALL_SENT, 10, false },       { CONNECTION_ENDED, 10, false },
    { CALL_SENT, 10, false },       { CALL_SERVED, 10, true },      { CALL_SENT, 10, true },
    { CONNECTION_ENDED, 10, true }, { CALL_SENT, 10, true },        { PROCESS_RESUMED, 900, true },
    { TIME_PASSED, 390, true },     { CALL_FAILED, 10, false },
  };
  struct fl_relay_path path = { 0 };
  int64_t now_ms = 100000;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (steps); i++)
    {
      now_ms += steps[i].elapsed_ms;
      if (steps[i].event == CALL_SENT)
        fl_relay_path_record_call (&path, now_ms);
      else if (steps[i].event == PROCESS_RESUMED)
        fl_relay_path_record_progress (&path, now_ms);
      else if (steps[i].event != TIME_PASSED)
        fl_relay_path_record_end (&path, outcomes[steps[i].event], now_ms, now_ms);
      assert_int_equal (fl_relay_path_is_healthy (&path, now_ms), steps[i].is_healthy);
    }
}

/* Calls that were lost in an outage time out after it, when newer ones have been served. */
static void
test_lost_before_served (void **state)
{
  static const struct
  {
    enum fl_relay_outcome outcome;
    int64_t sent_ms;
    bool is_healthy; /* after the end of the call; a call sent at 2,000 ms has been served */
  } cases[] = {
    { FL_RELAY_LOST, 1900, true },
    { FL_RELAY_LOST, 2000, false },
    { FL_RELAY_LOST, 2100, false },
    { FL_RELAY_FAILED, 1900, false },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fl_relay_path path = { 0 };
      fl_relay_path_record_call (&path, MIN (cases[i].sent_ms, 2000));
      fl_relay_path_record_call (&path, MAX (cases[i].sent_ms, 2000));
      fl_relay_path_record_end (&path, FL_RELAY_SERVED, 2000, 2200);
      fl_relay_path_record_end (&path, cases[i].outcome, cases[i].sent_ms, 2300);
      assert_int_equal (fl_relay_path_is_healthy (&path, 2300), cases[i].is_healthy);
    }
}

/* Probes are due every 500 ms while the direct path has failed, and not otherwise. */
static void
test_path_probes (void **state)
{
  struct fl_relay_path path = { 0 };
  int probes = 0;

  (void)state;
  assert_false (fl_relay_path_claim_probe (&path, 1000));
  fl_relay_path_record_call (&path, 1000);
  fl_relay_path_record_end (&path, FL_RELAY_FAILED, 1000, 1000);
  for (int64_t now_ms = 1000; now_ms < 6000; now_ms += 100)
    probes += fl_relay_path_claim_probe (&path, now_ms) ? 1 : 0;
  assert_int_equal (probes, 9);
}

/* A reply that waits unread while the process does not run left the direct path, although the store
 * served the host. The call below is made before the loop reads it. */
static void
test_path_while_held_up (void **state)
{
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  struct fl_stats *stats = fl_stats_new ();
  struct fl_log log = { .level = FL_LOG_ERR };
  struct fl_loop_watch watch;
  struct silent_store direct = { .interface = { &direct, ignore_transaction, NULL, NULL } };
  struct fl_relay_options options
      = { loop, &log, stats, &direct.interface, fl_name_of ("h1"), 500, fl_name_of (""), &watch };
  struct fl_store_write write = { "jobs", "1", fl_name_of ("a"), { 1, (char *)"x" }, false };
  struct fl_store_transaction transaction = { NULL, 0, &write, 1 };

  (void)state;
  fl_loop_watch_start (&watch, loop, NULL, stats);
  struct fl_relay *relay = fl_relay_new (&options, NULL);
  const struct fl_store *store = fl_relay_store (relay);
  store->transact (store->context, &transaction, 1000, ignore_reply, NULL);
  g_usleep (HELD_UP_MS * 1000);
  store->transact (store->context, &transaction, 1000, ignore_reply, NULL);
  assert_int_equal (fl_stats_get (stats, "store_path_broken"), 0);
  assert_int_equal (direct.calls, 2);
  silent_store_reply (&direct);
  fl_relay_free (relay);
  fl_loop_watch_stop (&watch);
  fl_stats_free (stats);
  ev_loop_destroy (loop);
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
  struct fl_relay_message decoded;
  struct fl_error error = { 0 };
  msgpack_sbuffer buffer;

  (void)state;
  sent.number = 42;
  msgpack_sbuffer_init (&buffer);
  fl_relay_message_encode (&sent, &buffer);
  assert_true (fl_relay_message_decode (buffer.data, buffer.size, &decoded, &error));
  const struct fl_store_row *rows = decoded.conditions.items;
  assert_int_equal (decoded.number, 42);
  assert_int_equal (decoded.call, FL_RELAY_TRANSACT);
  assert_int_equal (decoded.conditions.count, 1);
  assert_int_equal (rows[0].version, 7);
  assert_string_equal (rows[0].partition.data, "3");
  rows = decoded.writes.items;
  assert_int_equal (decoded.writes.count, 2);
  assert_string_equal (rows[0].value.data, "{\"x\":1}");
  assert_true (rows[1].removed);
  fl_relay_message_clear (&decoded);
  /* A message that is truncated at any length is rejected. */
  for (size_t len = 0; len < buffer.size; len++)
    {
      assert_false (fl_relay_message_decode (buffer.data, len, &decoded, &error));
      fl_relay_message_clear (&decoded);
    }
  msgpack_sbuffer_destroy (&buffer);
  fl_str_clear (&writes[0].value);
  fl_relay_message_free_rows (&sent);
}

/* --- two hosts --- */

#define LOOP_STEP_S 0.02
#define WRITE_TIMEOUT_MS 1000
/* Calls until a peer must be used again. */
#define TRIES_MAX 100

/* A store that serves or rejects all calls and replies at once. */
struct stub_store
{
  struct fl_store interface;
  bool rejects;
  bool ends_connections; /* reused ones, before the reply */
  int64_t hold_up_ms;    /* how long the process does nothing after the reply to a transaction */
  int calls;
  int writes;
  struct fl_str relay_row; /* the row that announces the only relay */
};

struct store_result
{
  bool is_done;
  enum fl_store_status status;
  int64_t version;
};

static void
stub_store_send_reply (struct stub_store *store,
                       const struct fl_store_reply *served,
                       void (*done) (void *context, const struct fl_store_reply *reply),
                       void *context)
{
  struct fl_store_reply rejection = { .status = FL_STORE_REJECTED };
  struct fl_store_reply ended = { .status = FL_STORE_UNKNOWN, .is_connection_stale = true };

  store->calls++;
  if (store->ends_connections)
    done (context, &ended);
  else
    done (context, store->rejects ? &rejection : served);
}

static void
stub_store_transact (void *context,
                     const struct fl_store_transaction *transaction,
                     int64_t timeout_ms,
                     void (*done) (void *context, const struct fl_store_reply *reply),
                     void *done_context)
{
  struct stub_store *store = context;
  struct fl_store_reply reply = { .status = FL_STORE_OK, .version = 77 };

  (void)timeout_ms;
  if (!store->rejects && strcmp (transaction->writes[0].table, "relays") == 0)
    {
      fl_str_clear (&store->relay_row);
      store->relay_row = fl_str_dup (&transaction->writes[0].value);
    }
  else if (!store->rejects && !store->ends_connections)
    store->writes += (int)transaction->write_count;
  stub_store_send_reply (store, &reply, done, done_context);
  g_usleep ((gulong)store->hold_up_ms * 1000);
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
  struct stub_store *store = context;
  struct fl_store_row row = { .key = fl_name_of ("h2"), .value = store->relay_row };
  struct fl_store_reply reply = { .status = FL_STORE_OK, .rows = &row, .count = 1, .version = 5 };

  (void)table;
  (void)partition;
  (void)first_key;
  (void)end_key;
  (void)timeout_ms;
  stub_store_send_reply (store, &reply, done, done_context);
}

static void
record_result (void *context, const struct fl_store_reply *reply)
{
  struct store_result *result = context;

  *result = (struct store_result){ true, reply->status, reply->version };
}

static void
write_row (struct ev_loop *loop, const struct fl_store *store, struct store_result *result)
{
  struct fl_store_write write = { "jobs", "1", fl_name_of ("a"), { 1, (char *)"x" }, false };
  struct fl_store_transaction transaction = { NULL, 0, &write, 1 };

  *result = (struct store_result){ 0 };
  store->transact (store->context, &transaction, WRITE_TIMEOUT_MS, record_result, result);
  while (!result->is_done)
    ev_run (loop, EVRUN_ONCE);
}

/* Writes repeatedly: the connection to the peer may not be open yet, or the direct path may not
 * have recovered yet. */
static void
write_until_served (struct ev_loop *loop, const struct fl_store *store, struct store_result *result)
{
  do
    {
      support_run_loop_for (loop, LOOP_STEP_S);
      write_row (loop, store, result);
    }
  while (result->status != FL_STORE_OK);
}

/* The end of a reused connection leaves the calls on the direct path. Then the store rejects one
 * host and serves its peer. After one rejection the calls are relayed by the peer; when the store
 * rejects the peer too, the caller gets the rejection. */
static void
test_calls_relayed_by_peer (void **state)
{
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  struct fl_log log = { .level = FL_LOG_ERR };
  struct fl_stats *stats = fl_stats_new ();
  struct stub_store direct_store
      = { .interface = { &direct_store, stub_store_transact, stub_store_read, NULL } };
  struct stub_store peer_store
      = { .interface = { &peer_store, stub_store_transact, stub_store_read, NULL } };
  struct fl_relay_options options = { loop,
                                      &log,
                                      stats,
                                      &peer_store.interface,
                                      fl_name_of ("h2"),
                                      500,
                                      fl_name_of ("tcp://127.0.0.1:0"),
                                      NULL };
  struct fl_error error = { 0 };
  struct fl_relay *peer = fl_relay_new (&options, &error);
  struct store_result result;

  (void)state;
  assert_non_null (peer);
  while (peer_store.relay_row.len == 0)
    support_run_loop_for (loop, LOOP_STEP_S);
  direct_store.relay_row = fl_str_dup (&peer_store.relay_row);
  options.direct = &direct_store.interface;
  options.host = fl_name_of ("h1");
  options.address = fl_name_of ("");
  struct fl_relay *relay = fl_relay_new (&options, &error);
  const struct fl_store *store = fl_relay_store (relay);
  while (fl_relay_peer_count (relay) == 0)
    support_run_loop_for (loop, LOOP_STEP_S);
  assert_int_equal (fl_relay_largest_cpu_milli (relay), 500);
  direct_store.ends_connections = true;
  write_row (loop, store, &result);
  assert_int_equal (result.status, FL_STORE_UNKNOWN);
  direct_store.ends_connections = false;
  write_row (loop, store, &result);
  assert_int_equal (result.status, FL_STORE_OK);
  assert_int_equal (direct_store.writes, 1);
  direct_store.rejects = true;
  write_row (loop, store, &result);
  assert_int_equal (result.status, FL_STORE_REJECTED);
  write_until_served (loop, store, &result);
  assert_int_equal (result.version, 77);
  assert_int_equal (peer_store.writes, 1);
  /* A peer's reply that arrives while the process does not run counts. */
  peer_store.hold_up_ms = WRITE_TIMEOUT_MS + 200;
  write_row (loop, store, &result);
  assert_int_equal (result.status, FL_STORE_OK);
  assert_int_equal (peer_store.writes, 2);
  peer_store.hold_up_ms = 0;
  peer_store.rejects = true;
  write_row (loop, store, &result);
  assert_int_equal (result.status, FL_STORE_REJECTED);
  direct_store.rejects = false;
  write_until_served (loop, store, &result);
  assert_int_equal (direct_store.writes, 2);
  assert_int_equal (peer_store.writes, 2);
  fl_relay_free (relay);
  fl_relay_free (peer);
  fl_str_clear (&direct_store.relay_row);
  fl_str_clear (&peer_store.relay_row);
  fl_stats_free (stats);
  ev_loop_destroy (loop);
}

/* The connection to a peer went silent without a reset, and no call was relayed any more. */
static void
test_peer_behind_silent_connection (void **state)
{
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  struct fl_stats *stats = fl_stats_new ();
  struct stub_store direct_store
      = { .interface = { &direct_store, stub_store_transact, stub_store_read, NULL } };
  struct stub_store peer_store
      = { .interface = { &peer_store, stub_store_transact, stub_store_read, NULL } };
  struct fl_relay_options options = { .loop = loop,
                                      .stats = stats,
                                      .direct = &peer_store.interface,
                                      .host = fl_name_of ("h2"),
                                      .cpu_milli = 500,
                                      .address = fl_name_of ("tcp://127.0.0.1:0") };
  struct fl_relay *peer = fl_relay_new (&options, NULL);
  struct store_result result;

  (void)state;
  while (peer_store.relay_row.len == 0)
    support_run_loop_for (loop, LOOP_STEP_S);
  g_auto (GStrv) parts = g_strsplit_set (fl_str_text (&peer_store.relay_row), ":\"", -1);
  struct support_proxy *proxy = NULL;
  for (char **part = parts; *part != NULL && proxy == NULL; part++)
    if (g_str_has_prefix (*part, "//127.0.0.1") && part[1] != NULL)
      proxy = support_proxy_new (loop, atoi (part[1]));
  assert_non_null (proxy);
  g_autofree char *row = g_strdup_printf ("{\"address\":\"tcp://127.0.0.1:%d\",\"cpu_milli\":500}",
                                          support_proxy_port (proxy));
  direct_store.relay_row = fl_str_of (row);
  options.direct = &direct_store.interface;
  options.host = fl_name_of ("h1");
  options.address = fl_name_of ("");
  struct fl_relay *relay = fl_relay_new (&options, NULL);
  const struct fl_store *store = fl_relay_store (relay);
  while (fl_relay_peer_count (relay) == 0)
    support_run_loop_for (loop, LOOP_STEP_S);
  direct_store.rejects = true;
  write_until_served (loop, store, &result);
  support_proxy_silence (proxy);
  write_row (loop, store, &result);
  assert_int_equal (result.status, FL_STORE_UNKNOWN);
  for (int tries = 0; result.status != FL_STORE_OK; tries++)
    {
      assert_true (tries < TRIES_MAX);
      support_run_loop_for (loop, LOOP_STEP_S);
      write_row (loop, store, &result);
    }
  assert_int_equal (support_proxy_accepted (proxy), 2);
  fl_relay_free (relay);
  fl_relay_free (peer);
  support_proxy_free (proxy);
  fl_str_clear (&direct_store.relay_row);
  fl_str_clear (&peer_store.relay_row);
  fl_stats_free (stats);
  ev_loop_destroy (loop);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_path_state),
    cmocka_unit_test (test_lost_before_served),
    cmocka_unit_test (test_path_probes),
    cmocka_unit_test (test_path_while_held_up),
    cmocka_unit_test (test_transaction_message),
    cmocka_unit_test (test_calls_relayed_by_peer),
    cmocka_unit_test (test_peer_behind_silent_connection),
  };

  return cmocka_run_group_tests_name ("relay", tests, NULL, NULL);
}
