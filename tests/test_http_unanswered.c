/* Requests that could end without a complete response, and the log of those that do. The server
 * runs in the test's own loop. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>
#include <glib.h>

#include "net/http_server.h"
#include "support_http.h"
#include "support_loop.h"

#define GET "GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
#define UPLOAD "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n"
#define HEADER_MAX (32 * 1024)
#define BODY_MAX (256 * 1024)
#define TURN_S 0.02
#define GUARD_TURNS 200
/* From one check of the connections to beyond the second after it. */
#define CHECKS_S 3.2
#define TIMEOUT_MS 60000
#define SHORT_TIMEOUT_MS 100
/* More than the buffers of a loopback connection hold. */
#define LONG_BODY (16 * 1024 * 1024)

struct fixture
{
  struct ev_loop *loop;
  struct fl_http_server *server;
  struct fl_stats *stats;
  struct test_client client;
  bool responds; /* at once; otherwise when the test says so */
  size_t body_len;
  bool closes;
  GPtrArray *held; /* requests without a response */
};

static void
respond (const struct fixture *fixture, struct fl_http_request *request)
{
  g_autofree char *body = g_strnfill (fixture->body_len, 'x');
  struct fl_http_response response = {
    .status = 200, .body = body, .len = fixture->body_len, .close_connection = fixture->closes
  };

  fl_http_respond (request, &response);
}

static void
on_request (void *context, struct fl_http_request *request)
{
  struct fixture *fixture = context;

  if (fixture->responds)
    respond (fixture, request);
  else
    g_ptr_array_add (fixture->held, request);
}

static void
set_up (struct fixture *fixture, int64_t upload_timeout_ms)
{
  struct fl_http_server_options options = {
    .address = "127.0.0.1",
    .name = "test",
    .body_max = BODY_MAX,
    .header_max = HEADER_MAX,
    .connections_max = 10,
    .idle_timeout_ms = TIMEOUT_MS,
    .upload_timeout_ms = upload_timeout_ms,
    .on_request = on_request,
    .context = fixture,
  };

  *fixture = (struct fixture){ .client = { .fd = -1 }, .responds = true, .body_len = 2 };
  fixture->loop = ev_loop_new (EVFLAG_AUTO);
  fixture->stats = fl_stats_new ();
  fixture->held = g_ptr_array_new ();
  options.loop = fixture->loop;
  options.stats = fixture->stats;
  fixture->server = fl_http_server_new (&options, NULL);
  assert_non_null (fixture->server);
  assert_true (
      test_client_connect (&fixture->client, fl_http_server_port (fixture->server), false));
}

static void
run_turn (const struct fixture *fixture)
{
  ev_now_update (fixture->loop);
  support_run_loop_for (fixture->loop, TURN_S);
}

static void
respond_to_held (struct fixture *fixture)
{
  for (guint i = 0; i < fixture->held->len; i++)
    respond (fixture, g_ptr_array_index (fixture->held, i));
  g_ptr_array_set_size (fixture->held, 0);
}

static void
tear_down (struct fixture *fixture)
{
  test_client_close (&fixture->client);
  fl_http_server_free (fixture->server);
  g_ptr_array_unref (fixture->held);
  fl_stats_free (fixture->stats);
  ev_loop_destroy (fixture->loop);
}

/* --- the log --- */

enum client_end
{
  CLIENT_STAYS,
  CLIENT_CLOSES,
  CLIENT_RESETS,
};

static void
end_client (struct fixture *fixture, enum client_end end)
{
  struct linger linger = { 1, 0 };

  if (end == CLIENT_RESETS)
    setsockopt (fixture->client.fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  if (end != CLIENT_STAYS)
    test_client_close (&fixture->client);
}

/* No log or counter told that a connection had ended with a request read and no complete response.
 */
static void
test_unanswered_request_is_counted (void **state)
{
  static const struct
  {
    const char *name;
    const char *text;
    bool responds; /* at once; otherwise after the client's end */
    size_t body_len;
    enum client_end end;
    int64_t upload_timeout_ms;
    const char *counter; /* that rises by one; NULL: none */
  } cases[] = {
    { "answered", GET, true, 2, CLIENT_CLOSES, TIMEOUT_MS, NULL },
    { "answered late", GET, false, 2, CLIENT_STAYS, TIMEOUT_MS, NULL },
    { "idle", "", true, 2, CLIENT_CLOSES, TIMEOUT_MS, NULL },
    { "headers, closed", "GET /a HTTP/1.1\r\nHos", true, 2, CLIENT_CLOSES, TIMEOUT_MS,
      "client_abort" },
    { "headers, reset", "GET /a HTTP/1.1\r\nHos", true, 2, CLIENT_RESETS, TIMEOUT_MS,
      "read_error" },
    { "upload, closed", UPLOAD, true, 2, CLIENT_CLOSES, TIMEOUT_MS, "client_abort" },
    { "upload, cut by the server", UPLOAD, true, 2, CLIENT_STAYS, SHORT_TIMEOUT_MS, "error" },
    { "waiting, reset", GET, false, 2, CLIENT_RESETS, TIMEOUT_MS, "error" },
    { "response, reset", GET, true, LONG_BODY, CLIENT_RESETS, TIMEOUT_MS, "error" },
  };
  static const char *const names[]
      = { "none", "error", "timeout", "shutdown", "read_error", "client_abort" };
  int failures = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fixture fixture;

      set_up (&fixture, cases[i].upload_timeout_ms);
      fixture.responds = cases[i].responds;
      fixture.body_len = cases[i].body_len;
      assert_true (test_client_send (&fixture.client, cases[i].text));
      run_turn (&fixture);
      end_client (&fixture, cases[i].end);
      run_turn (&fixture);
      respond_to_held (&fixture);
      run_turn (&fixture);
      if (cases[i].upload_timeout_ms == SHORT_TIMEOUT_MS)
        {
          support_run_loop_for (fixture.loop, CHECKS_S);
          assert_int_equal (test_client_poll (&fixture.client, 0), 408);
          test_client_close (&fixture.client);
          run_turn (&fixture);
        }
      for (size_t j = 0; j < G_N_ELEMENTS (names); j++)
        {
          g_autofree char *counter
              = g_strdup_printf ("requests_unanswered_total{why=\"%s\"}", names[j]);
          int64_t expected = cases[i].counter != NULL && strcmp (cases[i].counter, names[j]) == 0;
          int64_t count = fl_stats_get (fixture.stats, counter);
          if (count == expected)
            continue;
          print_error ("%s: %s is %d\n", cases[i].name, counter, (int)count);
          failures++;
        }
      tear_down (&fixture);
    }
  assert_int_equal (failures, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_unanswered_request_is_counted) };

  return cmocka_run_group_tests_name ("http_unanswered", tests, NULL, NULL);
}
