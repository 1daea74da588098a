/* Requests that were sent completely before the HTTP server is freed, and that it has not read yet.
 */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>
#include <glib.h>

#include "net/http_server.h"
#include "support_http.h"

#define HEADER_MAX (32 * 1024)
#define BODY_MAX (256 * 1024)
#define TIMEOUT_MS 60000

static void
on_request (void *context, struct fl_http_request *request)
{
  struct fl_http_response response = { .status = 200, .body = "{}", .len = 2 };

  (void)context;
  fl_http_respond (request, &response);
}

static void
on_stop (struct ev_loop *loop, ev_signal *signal, int events)
{
  (void)signal;
  (void)events;
  ev_break (loop, EVBREAK_ALL);
}

static void
serve (int port)
{
  struct fl_http_server_options options = {
    .loop = ev_default_loop (EVFLAG_AUTO),
    .address = "127.0.0.1",
    .port = port,
    .body_max = BODY_MAX,
    .header_max = HEADER_MAX,
    .connections_max = 100,
    .idle_timeout_ms = TIMEOUT_MS,
    .upload_timeout_ms = TIMEOUT_MS,
    .on_request = on_request,
  };
  ev_signal stop;
  struct fl_http_server *server;

  ev_signal_init (&stop, on_stop, SIGTERM);
  ev_signal_start (options.loop, &stop);
  server = fl_http_server_new (&options, NULL);
  ev_run (options.loop, 0);
  fl_http_server_free (server);
}

/* The process ends while a request of this size waits in the buffer of its connection. */
static void
test_unread_request_is_answered (void **state)
{
  static const struct
  {
    const char *name;
    int body_len;
    bool is_open; /* the connection has served a request before */
  } cases[] = {
    { "no body, open connection", 0, true },     { "no body, new connection", 0, false },
    { "1 KB, open connection", 1000, true },     { "1 KB, new connection", 1000, false },
    { "100 KB, open connection", 100000, true }, { "100 KB, new connection", 100000, false },
    { "250 KB, open connection", 250000, true },
  };
  int failures = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct test_client client = { .fd = -1 };
      struct test_client first = { .fd = -1 };
      int port = test_free_port ();
      int pid = fork ();
      if (pid == 0)
        {
          serve (port);
          _exit (0);
        }
      g_autofree char *body = g_strnfill ((gsize)cases[i].body_len, 'x');
      g_autofree char *text = g_strdup_printf (
          "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", cases[i].body_len, body);
      assert_true (test_client_connect (&first, port, true));
      assert_true (test_client_request (&first, "GET /a HTTP/1.1\r\nHost: x\r\n\r\n"));
      assert_int_equal (test_client_await (&first), 200);
      if (cases[i].is_open)
        client = first;
      kill (pid, SIGSTOP);
      if (!cases[i].is_open)
        assert_true (test_client_connect (&client, port, false));
      assert_true (test_client_request (&client, text));
      kill (pid, SIGTERM);
      kill (pid, SIGCONT);
      int status = test_client_await (&client);
      int code = test_wait_for_exit (pid);
      test_client_close (&client);
      if (!cases[i].is_open)
        test_client_close (&first);
      if (status > 0 && code == 0)
        continue;
      print_error ("%s: status %d, exit code %d\n", cases[i].name, status, code);
      failures++;
    }
  assert_int_equal (failures, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_unread_request_is_answered) };

  return cmocka_run_group_tests_name ("http_unread", tests, NULL, NULL);
}
