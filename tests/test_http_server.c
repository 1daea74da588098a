/* The HTTP server at its end. Each case runs a server in a child process, since libmicrohttpd
 * aborts the process when it is stopped in a wrong state. */
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

#define REQUEST "GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
#define UPLOAD "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\n"
/* More than the buffers of a loopback connection hold. */
#define LONG_BODY (16 * 1024 * 1024)

enum handler
{
  RESPONDS,      /* at once */
  RESPONDS_LONG, /* at once, with LONG_BODY bytes */
  KEEPS,         /* never responds */
};

struct test_server
{
  struct fl_http_server *server;
  enum handler handler;
};

static void
on_request (void *context, struct fl_http_request *request)
{
  struct test_server *test = context;
  g_autofree char *long_body = g_malloc0 (LONG_BODY);
  struct fl_http_response response = { .status = 200, .body = "{}", .len = 2 };

  if (test->handler == RESPONDS_LONG)
    {
      response.body = long_body;
      response.len = LONG_BODY;
    }
  if (test->handler != KEEPS)
    fl_http_respond (request, &response);
}

static void
on_stop (struct ev_loop *loop, ev_signal *signal, int events)
{
  (void)signal;
  (void)events;
  ev_break (loop, EVBREAK_ALL);
}

/* Serves until SIGTERM, then frees the server. */
static void
serve (int port, enum handler handler)
{
  struct test_server test = { .handler = handler };
  struct fl_http_server_options options = {
    .loop = ev_default_loop (EVFLAG_AUTO),
    .address = "127.0.0.1",
    .port = port,
    .body_max = 1000,
    .header_max = 8192,
    .connections_max = 100,
    .idle_timeout_ms = 60000,
    .upload_timeout_ms = 60000,
    .on_request = on_request,
    .context = &test,
  };
  ev_signal stop;

  ev_signal_init (&stop, on_stop, SIGTERM);
  ev_signal_start (options.loop, &stop);
  test.server = fl_http_server_new (&options, NULL);
  ev_run (options.loop, 0);
  fl_http_server_free (test.server);
}

static const struct
{
  const char *name;
  enum handler handler;
  const char *before; /* the stop */
  int status;         /* of the response after the stop; -1: none */
} free_cases[] = {
  { "no connection", RESPONDS, NULL, -1 },
  { "an idle connection", RESPONDS, "", -1 },
  { "a half-sent request", RESPONDS, UPLOAD, -1 },
  /* The server cannot know whether the request has taken effect. */
  { "a request without a response", KEEPS, REQUEST, 504 },
};

static void
test_server_free (void **state)
{
  int failures = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (free_cases); i++)
    {
      struct test_client client = { .fd = -1 };
      int port = test_free_port ();
      int pid = fork ();
      int status = -1;
      int code;

      if (pid == 0)
        {
          serve (port, free_cases[i].handler);
          _exit (0);
        }
      assert_true (test_client_connect (&client, port, true));
      if (free_cases[i].before != NULL)
        assert_true (test_client_send (&client, free_cases[i].before));
      else
        test_client_close (&client);
      usleep (100 * 1000);
      kill (pid, SIGTERM);
      if (client.fd >= 0)
        status = test_client_await (&client);
      code = test_wait_for_exit (pid);
      test_client_close (&client);
      if (status == free_cases[i].status && code == 0)
        continue;
      print_error ("%s: status %d instead of %d, exit code %d\n", free_cases[i].name, status,
                   free_cases[i].status, code);
      failures++;
    }
  assert_int_equal (failures, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_server_free) };

  return cmocka_run_group_tests_name ("http_server", tests, NULL, NULL);
}
