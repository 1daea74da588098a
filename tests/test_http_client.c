/* Results of HTTP calls whose connection ends: how many copies of a request are sent, and what the
 * caller learns. libcurl resends a request by itself when a reused connection ends before the first
 * byte of the reply. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <ev.h>
#include <glib.h>

#include "net/http_client.h"
#include "platform/platform.h"
#include "support_server.h"

#define CALL_TIMEOUT_MS 400
#define ANY_NUMBER -1

/* A server, a client, and the state of the permission to send. */
struct fixture
{
  struct ev_loop *loop;
  struct fl_stats *stats;
  struct fl_http_client *client;
  struct support_server *server;
  struct fl_name address; /* "127.0.0.1:PORT" */
  int sends_allowed;      /* ANY_NUMBER, or how often may_send still permits sending */
  int sends;
  int calls_open;
  struct fl_http_result result; /* without the body */
  enum fl_store_status store_status;
  bool is_connection_stale;
  enum fl_order_result order_result;
  bool advice_received;
};

static bool
may_send (void *context)
{
  struct fixture *fixture = context;

  if (fixture->sends_allowed == 0)
    return false;
  if (fixture->sends_allowed > 0)
    fixture->sends_allowed--;
  fixture->sends++;
  return true;
}

static void
on_http_done (void *context, const struct fl_http_result *result)
{
  struct fixture *fixture = context;

  fixture->calls_open--;
  fixture->result = *result;
  fixture->result.body = (struct fl_str){ 0 };
}

static void
wait_until_done (struct fixture *fixture)
{
  while (fixture->calls_open > 0)
    ev_run (fixture->loop, EVRUN_ONCE);
}

static void
start_limited_call (struct fixture *fixture,
                    const char *method,
                    const char *body,
                    bool is_resendable,
                    int64_t timeout_ms,
                    int64_t connect_timeout_ms)
{
  g_autofree char *url = g_strdup_printf ("http://%s/x", fixture->address.data);
  struct fl_http_call call = {
    .method = method,
    .url = url,
    .body = body,
    .len = body != NULL ? strlen (body) : 0,
    .timeout_ms = timeout_ms,
    .connect_timeout_ms = connect_timeout_ms,
    .is_resendable = is_resendable,
    .may_send = may_send,
    .may_send_context = fixture,
    .on_done = on_http_done,
    .context = fixture,
  };

  fixture->calls_open++;
  fl_http_client_start (fixture->client, &call);
}

static void
start_call (struct fixture *fixture, const char *method, const char *body, bool is_resendable)
{
  start_limited_call (fixture, method, body, is_resendable, CALL_TIMEOUT_MS, CALL_TIMEOUT_MS);
}

/* Starts the server and opens the connections that are to be reused. */
static struct fixture *
fixture_new (const struct support_server_options *options)
{
  struct fixture *fixture = g_new0 (struct fixture, 1);

  fixture->loop = ev_loop_new (EVFLAG_AUTO);
  fixture->stats = fl_stats_new ();
  fixture->client = fl_http_client_new (&(struct fl_http_client_options){
      .loop = fixture->loop, .connections_max = 8, .stats = fixture->stats });
  fixture->server = support_server_new (options);
  fixture->address = fl_name_format ("127.0.0.1:%d", support_server_port (fixture->server));
  fixture->sends_allowed = ANY_NUMBER;
  for (int i = 0; i < options->idle_connections; i++)
    start_call (fixture, "GET", NULL, false);
  wait_until_done (fixture);
  assert_int_equal (fixture->result.status, options->idle_connections > 0 ? 200 : 0);
  return fixture;
}

static struct support_server_counts
fixture_free (struct fixture *fixture)
{
  struct support_server_counts counts;

  fl_http_client_free (fixture->client);
  counts = support_server_free (fixture->server);
  fl_stats_free (fixture->stats);
  ev_loop_destroy (fixture->loop);
  g_free (fixture);
  return counts;
}

/* --- the client --- */

struct client_case
{
  const char *name;
  struct support_server_options server;
  bool is_resendable;
  int sends_allowed;
  /* expected: */
  int copies;
  int new_connections;
  int status;
  bool maybe_sent;
  bool is_connection_stale;
};

#define ONCE false, ANY_NUMBER
#define RESENDABLE true, ANY_NUMBER

static const struct client_case client_cases[] = {
  /* Requests are sent once: */
  { "reused, served", { 1, SUPPORT_END_SERVED, 200, NULL }, ONCE, 1, 0, 200, true, false },
  { "reused, served 503", { 1, SUPPORT_END_SERVED, 503, NULL }, ONCE, 1, 0, 503, true, false },
  { "reused, closed, refused", { 1, SUPPORT_END_CLOSED, -1, NULL }, ONCE, 1, 0, 0, true, true },
  { "reused, reset, refused", { 1, SUPPORT_END_RESET, -1, NULL }, ONCE, 1, 0, 0, true, true },
  { "reused, reset, 503", { 1, SUPPORT_END_RESET, 503, NULL }, ONCE, 1, 0, 0, true, true },
  { "reused, reset, 429", { 1, SUPPORT_END_RESET, 429, NULL }, ONCE, 1, 0, 0, true, true },
  { "reused, closed, 409", { 1, SUPPORT_END_CLOSED, 409, NULL }, ONCE, 1, 0, 0, true, true },
  { "reused, reset, 421", { 1, SUPPORT_END_RESET, 421, NULL }, ONCE, 1, 0, 0, true, true },
  { "reused, closed, 200", { 1, SUPPORT_END_CLOSED, 200, NULL }, ONCE, 1, 0, 0, true, true },
  { "reused, reset, no reply", { 1, SUPPORT_END_RESET, 0, NULL }, ONCE, 1, 0, 0, true, true },
  { "one of two reused, reset", { 2, SUPPORT_END_RESET, 503, NULL }, ONCE, 1, 0, 0, true, true },
  { "reused, reset, not permitted",
    { 1, SUPPORT_END_RESET, 200, NULL },
    false,
    1,
    1,
    0,
    0,
    true,
    true },
  { "reused, part of a reply", { 1, SUPPORT_END_PARTIAL, 200, NULL }, ONCE, 1, 0, 0, true, false },
  { "reused, no reply", { 1, SUPPORT_END_SERVED, 0, NULL }, ONCE, 1, 0, 0, true, false },
  { "reused, not permitted",
    { 1, SUPPORT_END_SERVED, 200, NULL },
    false,
    0,
    0,
    0,
    0,
    false,
    false },
  { "new, closed", { 0, SUPPORT_END_CLOSED, 200, NULL }, ONCE, 1, 1, 0, true, false },
  { "new, reset", { 0, SUPPORT_END_RESET, 200, NULL }, ONCE, 1, 1, 0, true, false },
  { "new, part of a reply", { 0, SUPPORT_END_PARTIAL, 200, NULL }, ONCE, 1, 1, 0, true, false },
  { "new, no reply", { 0, SUPPORT_END_SERVED, 0, NULL }, ONCE, 1, 1, 0, true, false },
  { "new, not permitted", { 0, SUPPORT_END_SERVED, 200, NULL }, false, 0, 0, 1, 0, false, false },
  /* Requests may be resent: */
  { "reused, closed, refused",
    { 1, SUPPORT_END_CLOSED, -1, NULL },
    RESENDABLE,
    1,
    0,
    0,
    true,
    false },
  { "reused, reset, 503", { 1, SUPPORT_END_RESET, 503, NULL }, RESENDABLE, 2, 1, 503, true, false },
  { "reused, closed, 200",
    { 1, SUPPORT_END_CLOSED, 200, NULL },
    RESENDABLE,
    2,
    1,
    200,
    true,
    false },
  { "reused, reset, no reply",
    { 1, SUPPORT_END_RESET, 0, NULL },
    RESENDABLE,
    2,
    1,
    0,
    true,
    false },
  { "one of two reused, reset",
    { 2, SUPPORT_END_RESET, 200, NULL },
    RESENDABLE,
    2,
    0,
    200,
    true,
    false },
  { "reused, reset, not permitted",
    { 1, SUPPORT_END_RESET, 200, NULL },
    true,
    1,
    1,
    1,
    0,
    true,
    false },
  { "new, reset", { 0, SUPPORT_END_RESET, 200, NULL }, RESENDABLE, 1, 1, 0, true, false },
};

/* @return whether the call ends as @row says. */
static bool
check_client_case (const struct client_case *row, const char *method, const char *body)
{
  struct fixture *fixture = fixture_new (&row->server);
  struct fl_http_result result;
  int64_t resent;
  int64_t cut;

  fixture->sends_allowed = row->sends_allowed;
  start_call (fixture, method, body, row->is_resendable);
  wait_until_done (fixture);
  result = fixture->result;
  resent = fl_stats_get (fixture->stats, "http_calls_resent_total");
  cut = fl_stats_get (fixture->stats, "http_calls_cut_total");
  struct support_server_counts counts = fixture_free (fixture);
  int new_connections = counts.connections - row->server.idle_connections;
  bool is_right = counts.requests == row->copies && new_connections == row->new_connections
                  && resent == MAX (row->copies - 1, 0) && cut == (row->is_connection_stale ? 1 : 0)
                  && result.status == row->status && result.maybe_sent == row->maybe_sent
                  && !result.is_refused && result.is_connection_stale == row->is_connection_stale;
  print_message ("%s %s%s, %s: copies=%d connections=%d resent=%d status=%d maybe_sent=%d "
                 "is_refused=%d is_connection_stale=%d\n",
                 is_right ? "right" : "WRONG", method, row->is_resendable ? " resendable" : "",
                 row->name, counts.requests, new_connections, (int)resent, result.status,
                 result.maybe_sent, result.is_refused, result.is_connection_stale);
  return is_right;
}

/* A call was reported as not sent, or as rejected, after a copy of it had been received. */
static void
test_request_sent_once (void **state)
{
  int wrong = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (client_cases); i++)
    {
      wrong += check_client_case (&client_cases[i], "POST", "{\"a\":1}") ? 0 : 1;
      wrong += check_client_case (&client_cases[i], "GET", NULL) ? 0 : 1;
    }
  assert_int_equal (wrong, 0);
}

/* Nothing listens at the address when the call starts. */
static void
test_refused_connection (void **state)
{
  struct support_server_options options = { 0, SUPPORT_END_SERVED, 200, NULL };
  struct fixture *fixture = fixture_new (&options);

  (void)state;
  support_server_free (fixture->server);
  for (int is_resendable = 0; is_resendable < 2; is_resendable++)
    {
      start_call (fixture, "POST", "{}", is_resendable == 1);
      wait_until_done (fixture);
      assert_int_equal (fixture->result.status, 0);
      assert_false (fixture->result.maybe_sent);
      assert_true (fixture->result.is_refused);
      assert_false (fixture->result.is_connection_stale);
    }
  fixture->server = support_server_new (&options);
  fixture_free (fixture);
}

/* --- a process that is held up --- */

#define HELD_UP_MS 300
#define HELD_UP_TIMEOUT_MS 100
/* Iterations of the loop until a call waits for its reply. The process is held up after any number
 * of them, and the reply arrives meanwhile. */
#define CALL_ITERATIONS 4

struct held_up_case
{
  const char *name;
  struct support_server_options server;
  int64_t timeout_ms;
  /* expected: */
  int status;
  int unsent_after; /* after this number of iterations, the time is over before the request is sent;
                       -1 for none */
};

/* @return whether a call ends as @row says if its process does not run for longer than its limits
 * allow, after @iterations of the loop. */
static bool
check_held_up_case (const struct held_up_case *row, int iterations)
{
  struct fixture *fixture = fixture_new (&row->server);

  start_limited_call (fixture, "POST", "{}", false, row->timeout_ms, HELD_UP_TIMEOUT_MS);
  for (int i = 0; i < iterations; i++)
    ev_run (fixture->loop, EVRUN_NOWAIT);
  g_usleep (HELD_UP_MS * 1000);
  wait_until_done (fixture);
  struct fl_http_result result = fixture->result;
  bool is_unsent = iterations == row->unsent_after;
  int copies = fixture_free (fixture).requests;
  bool is_right = result.status == (is_unsent ? 0 : row->status) && result.maybe_sent == !is_unsent
                  && copies == (is_unsent ? 0 : 1);
  print_message ("%s held up after %d iterations, %s: status=%d maybe_sent=%d copies=%d\n",
                 is_right ? "right" : "WRONG", iterations, row->name, result.status,
                 result.maybe_sent, copies);
  return is_right;
}

/* The end of an idle connection that waits unread is noticed before the connection is used again:
 * nothing is sent over it, and the call takes a new one. */
static void
test_closed_while_held_up (void **state)
{
  static const struct support_server_options options = { 2, SUPPORT_END_IDLE, 200, NULL };
  struct fixture *fixture = fixture_new (&options);

  (void)state;
  g_usleep (HELD_UP_MS * 1000);
  start_call (fixture, "POST", "{}", false);
  wait_until_done (fixture);
  struct fl_http_result result = fixture->result;
  struct support_server_counts counts = fixture_free (fixture);
  assert_int_equal (result.status, 200);
  assert_int_equal (counts.requests, 1);
  assert_int_equal (counts.connections, options.idle_connections + 1);
}

/* A call whose limit had passed while its process did not run was reported as one without a reply,
 * although the reply waited in the socket. */
static void
test_reply_while_held_up (void **state)
{
  static const struct held_up_case cases[] = {
    { "reply waits", { 1, SUPPORT_END_DELAYED, 200, NULL }, HELD_UP_TIMEOUT_MS, 200, -1 },
    { "rejection waits", { 1, SUPPORT_END_DELAYED, 503, NULL }, HELD_UP_TIMEOUT_MS, 503, -1 },
    { "new connection, one limit",
      { 0, SUPPORT_END_DELAYED, 200, NULL },
      HELD_UP_TIMEOUT_MS,
      200,
      1 },
    { "new connection, limit of connect", { 0, SUPPORT_END_DELAYED, 200, NULL }, 5000, 200, -1 },
    { "no reply", { 1, SUPPORT_END_DELAYED, 0, NULL }, HELD_UP_TIMEOUT_MS, 0, -1 },
    { "no reply, new connection", { 0, SUPPORT_END_DELAYED, 0, NULL }, HELD_UP_TIMEOUT_MS, 0, 1 },
  };
  int wrong = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    for (int iterations = 0; iterations <= CALL_ITERATIONS; iterations++)
      wrong += check_held_up_case (&cases[i], iterations) ? 0 : 1;
  assert_int_equal (wrong, 0);
}

/* --- calls of the platform --- */

static void
on_store_done (void *context, const struct fl_store_reply *reply)
{
  struct fixture *fixture = context;

  fixture->calls_open--;
  fixture->store_status = reply->status;
  fixture->is_connection_stale = reply->is_connection_stale;
}

static void
transact (struct fixture *fixture, const struct fl_store *store)
{
  struct fl_store_write write = { "jobs", "1", fl_name_of ("a"), { 1, (char *)"x" }, false };
  struct fl_store_transaction transaction = { NULL, 0, &write, 1 };

  fixture->calls_open++;
  store->transact (store->context, &transaction, CALL_TIMEOUT_MS, on_store_done, fixture);
}

struct transaction_case
{
  const char *name;
  struct support_server_options server;
  /* expected: */
  int copies;
  enum fl_store_status status;
  bool is_connection_stale;
};

/* A transaction that the store had applied was reported as rejected (refused jobs that ran). */
static void
test_transaction_after_reset (void **state)
{
  static const struct transaction_case cases[] = {
    { "served", { 1, SUPPORT_END_SERVED, 200, NULL }, 1, FL_STORE_OK, false },
    { "rejected", { 1, SUPPORT_END_SERVED, 503, NULL }, 1, FL_STORE_REJECTED, false },
    { "conflict", { 1, SUPPORT_END_SERVED, 412, "{\"rows\":[]}" }, 1, FL_STORE_CONFLICT, false },
    /* The caller would take the row for absent. */
    { "conflict without rows", { 1, SUPPORT_END_SERVED, 412, "{}" }, 1, FL_STORE_UNKNOWN, false },
    { "conflict, not JSON", { 1, SUPPORT_END_SERVED, 412, "gone" }, 1, FL_STORE_UNKNOWN, false },
    { "served, not JSON", { 1, SUPPORT_END_SERVED, 200, "fine" }, 1, FL_STORE_UNKNOWN, false },
    { "gateway error", { 1, SUPPORT_END_SERVED, 502, NULL }, 1, FL_STORE_UNKNOWN, false },
    { "invalid", { 1, SUPPORT_END_SERVED, 400, NULL }, 1, FL_STORE_REJECTED, false },
    { "not permitted", { 1, SUPPORT_END_SERVED, 403, NULL }, 1, FL_STORE_REJECTED, false },
    { "too many calls", { 1, SUPPORT_END_SERVED, 429, NULL }, 1, FL_STORE_REJECTED, false },
    { "reset, refused", { 1, SUPPORT_END_RESET, -1, NULL }, 1, FL_STORE_UNKNOWN, true },
    { "closed, refused", { 1, SUPPORT_END_CLOSED, -1, NULL }, 1, FL_STORE_UNKNOWN, true },
    { "reset, 503", { 1, SUPPORT_END_RESET, 503, NULL }, 1, FL_STORE_UNKNOWN, true },
    { "reset, 429", { 1, SUPPORT_END_RESET, 429, NULL }, 1, FL_STORE_UNKNOWN, true },
    { "reset, 412", { 1, SUPPORT_END_RESET, 412, NULL }, 1, FL_STORE_UNKNOWN, true },
    { "reset, 200", { 1, SUPPORT_END_RESET, 200, NULL }, 1, FL_STORE_UNKNOWN, true },
    { "no reply", { 1, SUPPORT_END_SERVED, 0, NULL }, 1, FL_STORE_UNKNOWN, false },
    { "new connection reset", { 0, SUPPORT_END_RESET, 200, NULL }, 1, FL_STORE_UNKNOWN, false },
  };
  int wrong = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fixture *fixture = fixture_new (&cases[i].server);
      struct fl_platform_store *store
          = fl_platform_store_new (fixture->client, fixture->address.data);
      transact (fixture, fl_platform_store_get_interface (store));
      wait_until_done (fixture);
      enum fl_store_status status = fixture->store_status;
      bool is_stale = fixture->is_connection_stale;
      fl_platform_store_free (store);
      int copies = fixture_free (fixture).requests;
      bool is_right = copies == cases[i].copies && status == cases[i].status
                      && is_stale == cases[i].is_connection_stale;
      print_message ("%s transaction, %s: copies=%d result=%s is_connection_stale=%d\n",
                     is_right ? "right" : "WRONG", cases[i].name, copies,
                     fl_store_status_name (status), is_stale);
      wrong += is_right ? 0 : 1;
    }
  assert_int_equal (wrong, 0);
}

static void
on_order_done (void *context, const struct fl_order_reply *reply)
{
  struct fixture *fixture = context;

  fixture->calls_open--;
  fixture->order_result = reply->result;
}

static void
send_start (struct fixture *fixture, const struct fl_target_calls *calls)
{
  struct fl_start_order order = { .target = fl_name_of ("t1"),
                                  .address = fixture->address,
                                  .task = fl_name_of ("0000000000000001.0.0.0"),
                                  .run = 1,
                                  .fencing_token = 1,
                                  .deadline_ms = 1000,
                                  .payload = "p",
                                  .payload_len = 1,
                                  .checkpoint = "",
                                  .ticket = "" };

  fixture->calls_open++;
  calls->start (calls->context, &order, on_order_done, fixture);
}

struct start_case
{
  const char *name;
  enum support_connection_end end;
  int later_status;
  const char *later_body;
  int sends_allowed;
  /* expected: */
  int copies;
  enum fl_order_result result;
};

/* A start that a target had executed was reported as having done nothing. */
static void
test_start_after_reset (void **state)
{
  static const struct start_case cases[] = {
    { "served", SUPPORT_END_SERVED, 200, NULL, ANY_NUMBER, 1, FL_ORDER_DONE },
    { "no room", SUPPORT_END_SERVED, 409, "{\"reason\":\"room\"}", ANY_NUMBER, 1,
      FL_ORDER_NO_CAPACITY },
    /* The target may have ended the run or a later one. */
    { "rejected, not JSON", SUPPORT_END_SERVED, 409, "no", ANY_NUMBER, 1, FL_ORDER_NO_REPLY },
    { "rejected without a reason", SUPPORT_END_SERVED, 409, "{}", ANY_NUMBER, 1,
      FL_ORDER_NO_REPLY },
    { "rejected for another reason", SUPPORT_END_SERVED, 409, "{\"reason\":\"x\"}", ANY_NUMBER, 1,
      FL_ORDER_INVALID },
    { "invalid", SUPPORT_END_SERVED, 400, NULL, ANY_NUMBER, 1, FL_ORDER_INVALID },
    { "gateway error", SUPPORT_END_SERVED, 502, NULL, ANY_NUMBER, 1, FL_ORDER_NO_REPLY },
    { "not permitted", SUPPORT_END_SERVED, 200, NULL, 0, 0, FL_ORDER_NOT_SENT },
    { "reset, refused", SUPPORT_END_RESET, -1, NULL, ANY_NUMBER, 1, FL_ORDER_NO_REPLY },
    { "reset, 503", SUPPORT_END_RESET, 503, NULL, ANY_NUMBER, 1, FL_ORDER_NO_REPLY },
    { "reset, 421", SUPPORT_END_RESET, 421, NULL, ANY_NUMBER, 1, FL_ORDER_NO_REPLY },
    { "reset, late", SUPPORT_END_RESET, 409, "{\"reason\":\"late\"}", ANY_NUMBER, 1,
      FL_ORDER_NO_REPLY },
    { "reset, no room", SUPPORT_END_RESET, 409, "{\"reason\":\"room\"}", ANY_NUMBER, 1,
      FL_ORDER_NO_REPLY },
    { "reset, no ticket", SUPPORT_END_RESET, 409, "{\"reason\":\"ticket\"}", ANY_NUMBER, 1,
      FL_ORDER_NO_REPLY },
    { "reset, not permitted", SUPPORT_END_RESET, 200, NULL, 1, 1, FL_ORDER_NO_REPLY },
  };
  int wrong = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct support_server_options options
          = { 1, cases[i].end, cases[i].later_status, cases[i].later_body };
      struct fixture *fixture = fixture_new (&options);
      struct fl_platform_permits permits = { .may_send = may_send, .context = fixture };
      struct fl_platform_target_client *client
          = fl_platform_target_client_new (fixture->client, fixture->address.data, &permits);
      fixture->sends_allowed = cases[i].sends_allowed;
      send_start (fixture, fl_platform_target_client_get_calls (client));
      wait_until_done (fixture);
      enum fl_order_result result = fixture->order_result;
      fl_platform_target_client_free (client);
      int copies = fixture_free (fixture).requests;
      bool is_right = copies == cases[i].copies && result == cases[i].result;
      print_message ("%s start, %s: copies=%d result=%s\n", is_right ? "right" : "WRONG",
                     cases[i].name, copies, fl_order_result_name (result));
      wrong += is_right ? 0 : 1;
    }
  assert_int_equal (wrong, 0);
}

/* --- kinds of calls --- */

static void
read_table (struct fixture *fixture, const struct fl_store *store)
{
  fixture->calls_open++;
  store->read (store->context, "jobs", "1", "", "", CALL_TIMEOUT_MS, on_store_done, fixture);
}

static void
wait_for_changes (struct fixture *fixture, const struct fl_store *store)
{
  fixture->calls_open++;
  store->feed (store->context, "jobs", 1, 0, CALL_TIMEOUT_MS, on_store_done, fixture);
}

static void
send_stop (struct fixture *fixture, const struct fl_target_calls *calls)
{
  struct fl_run_order order = { .target = fl_name_of ("t1"), .address = fixture->address };

  fixture->calls_open++;
  calls->stop (calls->context, &order, on_order_done, fixture);
}

static void
send_throttle (struct fixture *fixture, const struct fl_target_calls *calls)
{
  struct fl_run_order order = { .target = fl_name_of ("t1"), .address = fixture->address };

  fixture->calls_open++;
  calls->throttle (calls->context, &order, on_order_done, fixture);
}

static void
send_heartbeat (struct fixture *fixture, const struct fl_target_calls *calls)
{
  struct fl_heartbeat_order order = { .target = fl_name_of ("t1"), .address = fixture->address };

  fixture->calls_open++;
  calls->heartbeat (calls->context, &order, on_order_done, fixture);
}

static void
on_advice_done (void *context, const struct fl_advice_reply *reply)
{
  struct fixture *fixture = context;

  fixture->calls_open--;
  fixture->advice_received = reply->received;
}

/* Reads, stop and throttle orders and advice queries are resent; all else is sent once: a
 * transaction, a start, and a heartbeat, whose end numbers are valid for one boot of the target. */
static void
test_resent_kinds (void **state)
{
  static const struct
  {
    const char *name;
    void (*call_store) (struct fixture *fixture, const struct fl_store *store);
    void (*call_target) (struct fixture *fixture, const struct fl_target_calls *calls);
    bool is_resent;
  } cases[] = {
    { "transaction", transact, NULL, false },
    { "read", read_table, NULL, true },
    { "feed", wait_for_changes, NULL, true },
    { "start", NULL, send_start, false },
    { "stop", NULL, send_stop, true },
    { "throttle", NULL, send_throttle, true },
    { "heartbeat", NULL, send_heartbeat, false },
    { "advice", NULL, NULL, true },
  };
  static const struct support_server_options options
      = { 1, SUPPORT_END_RESET, 200, "{\"ver\":1,\"rows\":[],\"good\":[]}" };
  struct fl_name step = fl_name_of ("0000000000000001.0.0");
  int wrong = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fixture *fixture = fixture_new (&options);
      struct fl_platform_store *store
          = fl_platform_store_new (fixture->client, fixture->address.data);
      struct fl_platform_target_client *client
          = fl_platform_target_client_new (fixture->client, fixture->address.data, NULL);
      const struct fl_advice_calls *advice = fl_platform_target_client_get_advice_calls (client);
      fixture->store_status = FL_STORE_UNKNOWN;
      fixture->order_result = FL_ORDER_NO_REPLY;
      if (cases[i].call_store != NULL)
        cases[i].call_store (fixture, fl_platform_store_get_interface (store));
      else if (cases[i].call_target != NULL)
        cases[i].call_target (fixture, fl_platform_target_client_get_calls (client));
      else
        {
          fixture->calls_open++;
          advice->query (advice->context, &step, &step, 1, 0, CALL_TIMEOUT_MS, on_advice_done,
                         fixture);
        }
      wait_until_done (fixture);
      bool is_successful = fixture->store_status == FL_STORE_OK
                           || fixture->order_result == FL_ORDER_DONE || fixture->advice_received;
      fl_platform_target_client_free (client);
      fl_platform_store_free (store);
      int copies = fixture_free (fixture).requests;
      bool is_right = copies == (cases[i].is_resent ? 2 : 1) && is_successful == cases[i].is_resent;
      print_message ("%s %s: copies=%d is_successful=%d\n", is_right ? "right" : "WRONG",
                     cases[i].name, copies, is_successful);
      wrong += is_right ? 0 : 1;
    }
  assert_int_equal (wrong, 0);
}

/* A heartbeat that was ordered shortly before the pool was released left after it, when a successor
 * had begun to count the leases. */
static void
test_heartbeat_after_the_pool_was_lost (void **state)
{
  static const struct
  {
    const char *name;
    int64_t deadline_ms;
    int sends_allowed;
    int copies;
  } cases[] = {
    { "renews", 1000, ANY_NUMBER, 1 },
    { "renews, not permitted", 1000, 0, 0 },
    { "only asks, not permitted", 0, 0, 1 },
  };
  static const struct support_server_options options = { 1, SUPPORT_END_SERVED, 200, "{}" };
  int wrong = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fixture *fixture = fixture_new (&options);
      struct fl_platform_permits permits = { .may_renew = may_send, .context = fixture };
      struct fl_platform_target_client *client
          = fl_platform_target_client_new (fixture->client, fixture->address.data, &permits);
      const struct fl_target_calls *calls = fl_platform_target_client_get_calls (client);
      struct fl_heartbeat_order order = { .target = fl_name_of ("t1"),
                                          .address = fixture->address,
                                          .deadline_ms = cases[i].deadline_ms };
      fixture->sends_allowed = cases[i].sends_allowed;
      fixture->calls_open++;
      calls->heartbeat (calls->context, &order, on_order_done, fixture);
      wait_until_done (fixture);
      fl_platform_target_client_free (client);
      int copies = fixture_free (fixture).requests;
      print_message ("%s %s: copies=%d\n", copies == cases[i].copies ? "right" : "WRONG",
                     cases[i].name, copies);
      wrong += copies == cases[i].copies ? 0 : 1;
    }
  assert_int_equal (wrong, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_request_sent_once),
    cmocka_unit_test (test_refused_connection),
    cmocka_unit_test (test_reply_while_held_up),
    cmocka_unit_test (test_closed_while_held_up),
    cmocka_unit_test (test_transaction_after_reset),
    cmocka_unit_test (test_start_after_reset),
    cmocka_unit_test (test_resent_kinds),
    cmocka_unit_test (test_heartbeat_after_the_pool_was_lost),
  };

  return cmocka_run_group_tests_name ("http_client", tests, NULL, NULL);
}
