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
  bool is_done;
  struct fl_http_result result; /* without the body */
  enum fl_store_status store_status;
  enum fl_order_result order_result;
};

static bool
may_send (void *context)
{
  struct fixture *fixture = context;

  if (fixture->sends_allowed == 0)
    return false;
  if (fixture->sends_allowed > 0)
    fixture->sends_allowed--;
  return true;
}

static void
on_http_done (void *context, const struct fl_http_result *result)
{
  struct fixture *fixture = context;

  fixture->is_done = true;
  fixture->result = *result;
  fixture->result.body = (struct fl_str){ 0 };
}

static void
wait_until_done (struct fixture *fixture)
{
  while (!fixture->is_done)
    ev_run (fixture->loop, EVRUN_ONCE);
  fixture->is_done = false;
}

static void
start_call (struct fixture *fixture, const char *method, const char *body)
{
  g_autofree char *url = g_strdup_printf ("http://%s/x", fixture->address.data);
  struct fl_http_call call = {
    .method = method,
    .url = url,
    .body = body,
    .len = body != NULL ? strlen (body) : 0,
    .timeout_ms = CALL_TIMEOUT_MS,
    .connect_timeout_ms = CALL_TIMEOUT_MS,
    .may_send = may_send,
    .may_send_context = fixture,
    .on_done = on_http_done,
    .context = fixture,
  };

  fl_http_client_start (fixture->client, &call);
  wait_until_done (fixture);
}

/* Starts the server and, if a connection is to be reused, opens it. */
static struct fixture *
fixture_new (const struct support_server_options *options)
{
  struct fixture *fixture = g_new0 (struct fixture, 1);

  fixture->loop = ev_loop_new (EVFLAG_AUTO);
  fixture->stats = fl_stats_new ();
  fixture->client = fl_http_client_new (fixture->loop, 8, fixture->stats);
  fixture->server = support_server_new (options);
  fixture->address = fl_name_format ("127.0.0.1:%d", support_server_port (fixture->server));
  fixture->sends_allowed = ANY_NUMBER;
  if (options->is_reused)
    {
      start_call (fixture, "GET", NULL);
      assert_int_equal (fixture->result.status, 200);
    }
  return fixture;
}

/* @return the number of copies of the request that arrived. */
static int
fixture_free (struct fixture *fixture)
{
  int copies;

  fl_http_client_free (fixture->client);
  copies = support_server_free (fixture->server);
  fl_stats_free (fixture->stats);
  ev_loop_destroy (fixture->loop);
  g_free (fixture);
  return copies;
}

/* --- the client --- */

struct client_case
{
  const char *name;
  bool is_reused;
  enum support_connection_end end;
  int later_status; /* see struct support_server_options */
  int sends_allowed;
  /* expected: */
  int copies;
  int status;
  bool maybe_sent;
};

static const struct client_case client_cases[] = {
  { "reused, served", true, SUPPORT_END_SERVED, 200, ANY_NUMBER, 1, 200, true },
  { "reused, served 503", true, SUPPORT_END_SERVED, 503, ANY_NUMBER, 1, 503, true },
  { "reused, closed, then refused", true, SUPPORT_END_CLOSED, -1, ANY_NUMBER, 1, 0, true },
  { "reused, reset, then refused", true, SUPPORT_END_RESET, -1, ANY_NUMBER, 1, 0, true },
  { "reused, reset, then 503", true, SUPPORT_END_RESET, 503, ANY_NUMBER, 1, 0, true },
  { "reused, reset, then 429", true, SUPPORT_END_RESET, 429, ANY_NUMBER, 1, 0, true },
  { "reused, closed, then 409", true, SUPPORT_END_CLOSED, 409, ANY_NUMBER, 1, 0, true },
  { "reused, reset, then 421", true, SUPPORT_END_RESET, 421, ANY_NUMBER, 1, 0, true },
  { "reused, closed, then 200", true, SUPPORT_END_CLOSED, 200, ANY_NUMBER, 1, 0, true },
  { "reused, reset, then no reply", true, SUPPORT_END_RESET, 0, ANY_NUMBER, 1, 0, true },
  { "reused, reset, then not permitted", true, SUPPORT_END_RESET, 200, 1, 1, 0, true },
  { "reused, part of a reply", true, SUPPORT_END_PARTIAL, 200, ANY_NUMBER, 1, 0, true },
  { "reused, not permitted", true, SUPPORT_END_SERVED, 200, 0, 0, 0, false },
  { "new, closed", false, SUPPORT_END_CLOSED, 200, ANY_NUMBER, 1, 0, true },
  { "new, reset", false, SUPPORT_END_RESET, 200, ANY_NUMBER, 1, 0, true },
  { "new, part of a reply", false, SUPPORT_END_PARTIAL, 200, ANY_NUMBER, 1, 0, true },
  { "new, no reply", false, SUPPORT_END_SERVED, 0, ANY_NUMBER, 1, 0, true },
  { "new, not permitted", false, SUPPORT_END_SERVED, 200, 0, 0, 0, false },
};

/* @return whether the call ends as @row says. */
static bool
check_client_case (const struct client_case *row, const char *method, const char *body)
{
  struct support_server_options options = { row->is_reused, row->end, row->later_status, NULL };
  struct fixture *fixture = fixture_new (&options);
  struct fl_http_result result;
  int64_t resent;

  fixture->sends_allowed = row->sends_allowed;
  start_call (fixture, method, body);
  result = fixture->result;
  resent = fl_stats_get (fixture->stats, "http_calls_resent_total");
  int copies = fixture_free (fixture);
  bool is_right = copies == row->copies && result.status == row->status
                  && result.maybe_sent == row->maybe_sent && !result.is_refused && resent == 0;
  print_message ("%s %s, %s: copies=%d status=%d maybe_sent=%d is_refused=%d\n",
                 is_right ? "right" : "WRONG", method, row->name, copies, result.status,
                 result.maybe_sent, result.is_refused);
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
  struct support_server_options options = { false, SUPPORT_END_SERVED, 200, NULL };
  struct fixture *fixture = fixture_new (&options);

  (void)state;
  support_server_free (fixture->server);
  start_call (fixture, "POST", "{}");
  assert_int_equal (fixture->result.status, 0);
  assert_false (fixture->result.maybe_sent);
  assert_true (fixture->result.is_refused);
  fixture->server = support_server_new (&options);
  fixture_free (fixture);
}

/* --- calls of the platform --- */

static void
on_store_done (void *context, const struct fl_store_reply *reply)
{
  struct fixture *fixture = context;

  fixture->is_done = true;
  fixture->store_status = reply->status;
}

static void
transact (struct fixture *fixture, const struct fl_store *store)
{
  struct fl_store_write write = { "jobs", "1", fl_name_of ("a"), { 1, (char *)"x" }, false };
  struct fl_store_transaction transaction = { NULL, 0, &write, 1 };

  store->transact (store->context, &transaction, CALL_TIMEOUT_MS, on_store_done, fixture);
}

struct transaction_case
{
  const char *name;
  enum support_connection_end end;
  int later_status;
  /* expected: */
  int copies;
  enum fl_store_status status;
};

/* A transaction that the store had applied was reported as rejected (refused jobs that ran). */
static void
test_transaction_after_reset (void **state)
{
  static const struct transaction_case cases[] = {
    { "served", SUPPORT_END_SERVED, 200, 1, FL_STORE_OK },
    { "rejected", SUPPORT_END_SERVED, 503, 1, FL_STORE_REJECTED },
    { "conflict", SUPPORT_END_SERVED, 412, 1, FL_STORE_CONFLICT },
    { "reset, refused", SUPPORT_END_RESET, -1, 1, FL_STORE_UNKNOWN },
    { "closed, refused", SUPPORT_END_CLOSED, -1, 1, FL_STORE_UNKNOWN },
    { "reset, 503", SUPPORT_END_RESET, 503, 1, FL_STORE_UNKNOWN },
    { "reset, 429", SUPPORT_END_RESET, 429, 1, FL_STORE_UNKNOWN },
    { "reset, 412", SUPPORT_END_RESET, 412, 1, FL_STORE_UNKNOWN },
    { "reset, 200", SUPPORT_END_RESET, 200, 1, FL_STORE_UNKNOWN },
  };
  int wrong = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct support_server_options options = { true, cases[i].end, cases[i].later_status, NULL };
      struct fixture *fixture = fixture_new (&options);
      struct fl_platform_store *store
          = fl_platform_store_new (fixture->client, fixture->address.data);
      transact (fixture, fl_platform_store_get_interface (store));
      wait_until_done (fixture);
      enum fl_store_status status = fixture->store_status;
      fl_platform_store_free (store);
      int copies = fixture_free (fixture);
      bool is_right = copies == cases[i].copies && status == cases[i].status;
      print_message ("%s transaction, %s: copies=%d result=%s\n", is_right ? "right" : "WRONG",
                     cases[i].name, copies, fl_store_status_name (status));
      wrong += is_right ? 0 : 1;
    }
  assert_int_equal (wrong, 0);
}

static void
on_order_done (void *context, const struct fl_order_reply *reply)
{
  struct fixture *fixture = context;

  fixture->is_done = true;
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
          = { true, cases[i].end, cases[i].later_status, cases[i].later_body };
      struct fixture *fixture = fixture_new (&options);
      struct fl_platform_target_client *client = fl_platform_target_client_new (
          fixture->client, fixture->address.data, may_send, fixture);
      fixture->sends_allowed = cases[i].sends_allowed;
      send_start (fixture, fl_platform_target_client_get_calls (client));
      wait_until_done (fixture);
      enum fl_order_result result = fixture->order_result;
      fl_platform_target_client_free (client);
      int copies = fixture_free (fixture);
      bool is_right = copies == cases[i].copies && result == cases[i].result;
      print_message ("%s start, %s: copies=%d result=%s\n", is_right ? "right" : "WRONG",
                     cases[i].name, copies, fl_order_result_name (result));
      wrong += is_right ? 0 : 1;
    }
  assert_int_equal (wrong, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_request_sent_once),
    cmocka_unit_test (test_refused_connection),
    cmocka_unit_test (test_transaction_after_reset),
    cmocka_unit_test (test_start_after_reset),
  };

  return cmocka_run_group_tests_name ("http_client", tests, NULL, NULL);
}
