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
/* Some pipelined requests are handled in each turn. */
#define EXCHANGE_TURN_S 0.001
#define GUARD_TURNS 10000
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

/* --- requests in unusual forms --- */

/* @return @head, a header that makes it @len bytes long with the rest of @text, and that rest. */
static char *
pad_headers (const char *head, const char *rest, size_t len)
{
  size_t used = strlen (head) + strlen ("X-Pad: \r\n") + strlen (rest);
  g_autofree char *pad = g_strnfill (len > used ? len - used : 0, 'p');

  return g_strdup_printf ("%sX-Pad: %s\r\n%s", head, pad, rest);
}

static char *
repeat (const char *text, int count)
{
  GString *all = g_string_new (NULL);

  for (int i = 0; i < count; i++)
    g_string_append (all, text);
  return g_string_free (all, FALSE);
}

/* Sends @text in parts as the server reads, and counts the responses by status until the
 * connection ends or @expected have arrived.
 * @return "STATUS xCOUNT" of the last status, followed by "!" if another one came before. */
static char *
exchange (struct fixture *fixture, const char *text, int expected, bool shuts_down)
{
  size_t len = strlen (text);
  size_t sent = 0;
  int last = 0;
  int count = 0;
  bool mixed = false;
  bool is_shut = false;

  for (int turn = 0; turn < GUARD_TURNS && count < expected; turn++)
    {
      int status;

      if (sent < len && fixture->client.fd >= 0)
        {
          ssize_t part
              = send (fixture->client.fd, text + sent, len - sent, MSG_DONTWAIT | MSG_NOSIGNAL);
          sent += part > 0 ? (size_t)part : 0;
        }
      if (shuts_down && sent == len && !is_shut)
        is_shut = shutdown (fixture->client.fd, SHUT_WR) == 0;
      ev_now_update (fixture->loop);
      support_run_loop_for (fixture->loop, EXCHANGE_TURN_S);
      respond_to_held (fixture);
      while (count < expected && (status = test_client_poll (&fixture->client, 0)) != 0)
        {
          if (status < 0)
            return g_strdup_printf ("closed after %d", count);
          mixed = mixed || (last != 0 && last != status);
          last = status;
          count++;
        }
    }
  return g_strdup_printf ("%d x%d%s", last, count, mixed ? "!" : "");
}

enum form
{
  AS_IS,
  PADDED,   /* headers of @size bytes */
  REPEATED, /* @size times */
  BODY,     /* a body of @size bytes */
};

static char *
make_text (enum form form, const char *text, size_t size)
{
  if (form == PADDED)
    return pad_headers ("GET /a HTTP/1.1\r\nHost: x\r\n", "\r\n", size);
  if (form == REPEATED)
    return repeat (text, (int)size);
  if (form == BODY)
    {
      g_autofree char *body = g_strnfill (size, 'b');
      return g_strdup_printf ("%sContent-Length: %d\r\n\r\n%s", text, (int)size, body);
    }
  return g_strdup (text);
}

/* Each form of request gets a complete response, at once or after a while. */
static void
test_each_form_is_answered (void **state)
{
  static const struct
  {
    const char *name;
    enum form form;
    const char *text;
    size_t size;
    bool closes;     /* the response closes the connection */
    bool shuts_down; /* the client sends its end after the request */
    size_t body_len; /* of the response */
    int expected;
    const char *result;
  } cases[] = {
    { "plain", AS_IS, GET, 0, false, false, 2, 1, "200 x1" },
    { "HTTP/1.0", AS_IS, "GET /a HTTP/1.0\r\n\r\n", 0, false, false, 2, 1, "200 x1" },
    { "HTTP/1.0, keep-alive", AS_IS, "GET /a HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", 0, false,
      false, 2, 1, "200 x1" },
    { "asked to close", AS_IS, "GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 0, false,
      false, 2, 1, "200 x1" },
    { "end of the client", AS_IS, GET, 0, false, true, 2, 1, "200 x1" },
    { "end of the client, long response", AS_IS, GET, 0, false, true, 1000000, 1, "200 x1" },
    { "no host", AS_IS, "GET /a HTTP/1.1\r\n\r\n", 0, false, false, 2, 1, "200 x1" },
    /* The exception: what has no request line of HTTP/1.x is not answered. */
    { "no request line", AS_IS, "GET\r\n\r\n", 0, false, false, 2, 1, "closed after 0" },
    { "chunks", AS_IS,
      "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
      "2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n",
      0, false, false, 2, 1, "200 x1" },
    { "malformed chunks", AS_IS,
      "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 0, false, false, 2,
      1, "400 x1" },
    { "malformed length", AS_IS, "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: abc\r\n\r\n", 0,
      false, false, 2, 1, "400 x1" },
    { "expects 100", AS_IS,
      "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\nab", 0,
      false, false, 2, 1, "200 x1" },
    { "body of the longest length", BODY, "POST /a HTTP/1.1\r\nHost: x\r\n", BODY_MAX, false, false,
      2, 1, "200 x1" },
    { "body too long", BODY, "POST /a HTTP/1.1\r\nHost: x\r\n", BODY_MAX + 1, false, false, 2, 1,
      "413 x1" },
    { "body far too long", BODY, "POST /a HTTP/1.1\r\nHost: x\r\n", 8 * BODY_MAX, false, false, 2,
      1, "413 x1" },
    { "headers of 8 KB", PADDED, NULL, 8 * 1024, false, false, 2, 1, "200 x1" },
    { "headers of 15 KB", PADDED, NULL, 15 * 1024, false, false, 2, 1, "200 x1" },
    { "headers of 16 KB", PADDED, NULL, 16 * 1024, false, false, 2, 1, "200 x1" },
    { "headers of 24 KB", PADDED, NULL, 24 * 1024, false, false, 2, 1, "200 x1" },
    { "headers of 29 KB", PADDED, NULL, 29 * 1024, false, false, 2, 1, "200 x1" },
    { "headers of 31 KB", PADDED, NULL, 31 * 1024, false, false, 2, 1, "431 x1" },
    { "headers of 32,300 bytes", PADDED, NULL, 32300, false, false, 2, 1, "431 x1" },
    { "headers too long", PADDED, NULL, 40 * 1024, false, false, 2, 1, "431 x1" },
    { "headers far too long", PADDED, NULL, 400 * 1024, false, false, 2, 1, "431 x1" },
    { "3 in a row", REPEATED, GET, 3, false, false, 2, 3, "200 x3" },
    { "1,000 in a row", REPEATED, GET, 1000, false, false, 2, 1000, "200 x1000" },
    { "5,000 in a row", REPEATED, GET, 5000, false, false, 2, 5000, "200 x5000" },
    { "response that closes", AS_IS, GET, 0, true, false, 2, 1, "200 x1" },
    { "response that closes before 3 requests", REPEATED, GET, 3, true, false, 2, 1, "200 x1" },
    { "response that closes before 5,000 requests", REPEATED, GET, 5000, true, false, 2, 1,
      "200 x1" },
    { "long response that closes before 5,000 requests", REPEATED, GET, 5000, true, false, 200000,
      1, "200 x1" },
    { "response that closes before 100,000 requests", REPEATED, GET, 100000, true, false, 1000000,
      1, "200 x1" },
  };
  int failures = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    for (int is_late = 0; is_late < 2; is_late++)
      {
        struct fixture fixture;
        g_autofree char *text = make_text (cases[i].form, cases[i].text, cases[i].size);
        g_autofree char *result = NULL;

        set_up (&fixture, TIMEOUT_MS);
        fixture.responds = is_late == 0;
        fixture.closes = cases[i].closes;
        fixture.body_len = cases[i].body_len;
        result = exchange (&fixture, text, cases[i].expected, cases[i].shuts_down);
        tear_down (&fixture);
        if (strcmp (result, cases[i].result) == 0)
          continue;
        print_error ("%s%s: %s\n", cases[i].name, is_late ? ", answered later" : "", result);
        failures++;
      }
  assert_int_equal (failures, 0);
}

/* @return headers of @len bytes: one long line, or lines of @line_len bytes. */
static char *
make_headers (size_t len, size_t line_len, const char *rest)
{
  GString *text = g_string_new ("GET /a HTTP/1.1\r\nHost: x\r\n");
  g_autofree char *value = g_strnfill (line_len > 0 ? line_len : len - text->len - 9, 'v');
  g_autofree char *line = g_strdup_printf ("X-P: %s\r\n", value);

  do
    g_string_append (text, line);
  while (line_len > 0 && text->len + strlen (line) + 2 < len);
  g_string_append (text, "\r\n");
  g_string_append (text, rest);
  return g_string_free (text, FALSE);
}

/* The memory of a connection was used up by a request, so that no response could be sent to it:
 * its connection was closed instead. */
static void
test_headers_of_each_length_are_answered (void **state)
{
  static const struct
  {
    const char *name;
    size_t line_len; /* 0: one line */
    size_t from;
    size_t to;
    size_t step;
    int more; /* requests behind it */
  } cases[] = {
    { "one line", 0, 31000, 33000, 10, 0 },
    { "one line, more requests", 0, 12000, 33000, 150, 1500 },
    { "short lines", 1, 2000, 9000, 8, 0 },
    { "lines of 20 bytes", 20, 6000, 20000, 27, 0 },
    { "lines of 20 bytes, more requests", 20, 3000, 20000, 135, 1500 },
  };
  int failures = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fixture fixture;
      g_autofree char *more = repeat (GET, cases[i].more);

      set_up (&fixture, TIMEOUT_MS);
      for (size_t len = cases[i].from; len < cases[i].to; len += cases[i].step)
        {
          g_autofree char *text = make_headers (len, cases[i].line_len, more);
          g_autofree char *result = exchange (&fixture, text, 1, false);

          test_client_close (&fixture.client);
          test_client_connect (&fixture.client, fl_http_server_port (fixture.server), false);
          if (strcmp (result, "200 x1") == 0 || strcmp (result, "431 x1") == 0)
            continue;
          print_error ("%s, %d bytes: %s\n", cases[i].name, (int)len, result);
          failures++;
        }
      tear_down (&fixture);
    }
  assert_int_equal (failures, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_unanswered_request_is_counted),
                                      cmocka_unit_test (test_each_form_is_answered),
                                      cmocka_unit_test (test_headers_of_each_length_are_answered) };

  return cmocka_run_group_tests_name ("http_unanswered", tests, NULL, NULL);
}
