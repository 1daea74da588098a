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
/* Longer than the interval between the server's checks of its connections, 1 s. */
#define BODY_BYTES 900
#define ALL_BODIES_MAX 1000
#define SUSPENSION_MS 1500
/* Of idle connections and uploads, in tests that do not concern them. */
#define TIMEOUT_MS 60000
/* More than the buffers of a loopback connection hold. */
#define LONG_BODY (16 * 1024 * 1024)

enum handler
{
  RESPONDS,      /* at once */
  RESPONDS_LONG, /* at once, with LONG_BODY bytes, and closes the connection */
  KEEPS,         /* never responds */
};

struct test_server
{
  struct fl_http_server *server;
  enum handler handler;
  ev_timer drain_timer;
};

static void
on_request (void *context, struct fl_http_request *request)
{
  struct test_server *test = context;
  static const char long_body[LONG_BODY];
  struct fl_http_response response = { .status = 200, .body = "{}", .len = 2 };

  if (test->handler == RESPONDS_LONG)
    {
      response.body = long_body;
      response.len = LONG_BODY;
      response.close_connection = true;
    }
  if (test->handler != KEEPS)
    fl_http_respond (request, &response);
}

static void
on_drain_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct test_server *test = timer->data;

  (void)events;
  if (fl_http_server_open_connections (test->server) == 0)
    ev_break (loop, EVBREAK_ALL);
}

static void
on_stop (struct ev_loop *loop, ev_signal *signal, int events)
{
  struct test_server *test = signal->data;

  (void)events;
  if (test->handler != RESPONDS_LONG)
    ev_break (loop, EVBREAK_ALL);
  fl_http_server_stop_listening (test->server);
  ev_timer_start (loop, &test->drain_timer);
}

/* Serves until SIGTERM, with RESPONDS_LONG until all connections are closed, then frees the server.
 */
static void
serve (int port, enum handler handler, int64_t timeout_ms)
{
  struct test_server test = { .handler = handler };
  struct fl_http_server_options options = {
    .loop = ev_default_loop (EVFLAG_AUTO),
    .address = "127.0.0.1",
    .port = port,
    .body_max = 1000,
    .all_bodies_max = ALL_BODIES_MAX,
    .header_max = 8192,
    .connections_max = 100,
    .idle_timeout_ms = timeout_ms,
    .upload_timeout_ms = timeout_ms,
    .on_request = on_request,
    .context = &test,
  };
  ev_signal stop;

  ev_signal_init (&stop, on_stop, SIGTERM);
  stop.data = &test;
  ev_signal_start (options.loop, &stop);
  ev_timer_init (&test.drain_timer, on_drain_timer, 0.01, 0.01);
  test.drain_timer.data = &test;
  test.server = fl_http_server_new (&options, NULL);
  ev_run (options.loop, 0);
  fl_http_server_free (test.server);
}

static int
start_server (int port, enum handler handler, int64_t timeout_ms)
{
  int pid = fork ();

  if (pid == 0)
    {
      serve (port, handler, timeout_ms);
      _exit (0);
    }
  return pid;
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
      int pid = start_server (port, free_cases[i].handler, TIMEOUT_MS);
      int status = -1;
      int code;

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

/* A response that the client reads slowly is sent to its end after the server stopped listening. */
static void
test_response_being_sent (void **state)
{
  struct test_client client = { .fd = -1 };
  int port = test_free_port ();
  int pid = start_server (port, RESPONDS_LONG, TIMEOUT_MS);

  (void)state;
  assert_true (test_client_connect (&client, port, true));
  assert_true (test_client_request (&client, REQUEST));
  assert_int_equal (test_client_poll (&client, SUPPORT_HTTP_GUARD_MS), 0);
  kill (pid, SIGTERM);
  usleep (100 * 1000);
  assert_int_equal (test_client_await (&client), 200);
  assert_int_equal (test_wait_for_exit (pid), 0);
  test_client_close (&client);
}

/* Connections that the kernel has completed, but the stopping server has not accepted. */
static void
test_connections_in_accept_queue (void **state)
{
  struct test_client clients[20];
  int port = test_free_port ();
  int pid = start_server (port, RESPONDS, TIMEOUT_MS);
  int answered = 0;

  (void)state;
  clients[0] = (struct test_client){ .fd = -1 };
  assert_true (test_client_connect (&clients[0], port, true));
  assert_true (test_client_request (&clients[0], REQUEST));
  assert_int_equal (test_client_await (&clients[0]), 200);
  test_client_close (&clients[0]);
  kill (pid, SIGSTOP);
  for (size_t i = 0; i < G_N_ELEMENTS (clients); i++)
    {
      clients[i] = (struct test_client){ .fd = -1 };
      assert_true (test_client_connect (&clients[i], port, false));
      assert_true (test_client_request (&clients[i], REQUEST));
    }
  kill (pid, SIGTERM);
  kill (pid, SIGCONT);
  for (size_t i = 0; i < G_N_ELEMENTS (clients); i++)
    {
      answered += test_client_await (&clients[i]) > 0 ? 1 : 0;
      test_client_close (&clients[i]);
    }
  assert_int_equal (answered, G_N_ELEMENTS (clients));
  assert_int_equal (test_wait_for_exit (pid), 0);
}

/* A host that is suspended finds both a timeout and the data that arrived in the meantime. */
static void
test_data_arrives_while_suspended (void **state)
{
  static const struct
  {
    const char *name;
    const char *before; /* the suspension */
    const char *during;
    const char *after;
  } timeout_cases[] = {
    { "a request on an idle connection", "", REQUEST, "" },
    { "the rest of a request", UPLOAD, "x", "" },
    /* Packets that were held up arrive some time after the host runs again. */
    { "a request after the suspension", "", "", REQUEST },
    { "the rest of a request after the suspension", UPLOAD, "", "x" },
  };
  int failures = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (timeout_cases); i++)
    {
      struct test_client client = { .fd = -1 };
      int port = test_free_port ();
      int pid = start_server (port, RESPONDS, SUSPENSION_MS / 2);
      int status;

      assert_true (test_client_connect (&client, port, true));
      assert_true (test_client_request (&client, REQUEST));
      assert_int_equal (test_client_await (&client), 200);
      assert_true (test_client_request (&client, timeout_cases[i].before));
      usleep (100 * 1000);
      kill (pid, SIGSTOP);
      usleep (SUSPENSION_MS * 1000);
      assert_true (test_client_request (&client, timeout_cases[i].during));
      kill (pid, SIGCONT);
      usleep (100 * 1000);
      test_client_request (&client, timeout_cases[i].after);
      status = test_client_await (&client);
      kill (pid, SIGTERM);
      assert_int_equal (test_wait_for_exit (pid), 0);
      test_client_close (&client);
      if (status == 200)
        continue;
      print_error ("%s: status %d\n", timeout_cases[i].name, status);
      failures++;
    }
  assert_int_equal (failures, 0);
}

/* Connections on which nothing arrives are still closed, after a response where a request has
 * begun. */
static void
test_silent_connections_are_closed (void **state)
{
  static const struct
  {
    const char *sent;
    int status; /* -1: none */
  } silent_cases[] = { { "", -1 }, { "GET /a HT", -1 }, { UPLOAD, 408 } };
  struct test_client clients[G_N_ELEMENTS (silent_cases)];
  int port = test_free_port ();
  int pid = start_server (port, RESPONDS, SUSPENSION_MS / 2);

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (silent_cases); i++)
    {
      clients[i] = (struct test_client){ .fd = -1 };
      assert_true (test_client_connect (&clients[i], port, true));
      assert_true (test_client_request (&clients[i], silent_cases[i].sent));
    }
  for (size_t i = 0; i < G_N_ELEMENTS (silent_cases); i++)
    assert_int_equal (test_client_await (&clients[i]), silent_cases[i].status);
  kill (pid, SIGTERM);
  assert_int_equal (test_wait_for_exit (pid), 0);
}

/* The bodies of many requests, each within its limit, took the memory of the process. */
static void
test_bodies_of_all_requests (void **state)
{
  static const struct
  {
    const char *name;
    int part; /* bytes that each of two clients sends of BODY_BYTES, one after the other */
    int statuses[2];
  } cases[] = { { "within the limit", ALL_BODIES_MAX / 2 - 50, { 200, 503 } },
                { "beyond the limit", BODY_BYTES - 100, { 200, 503 } },
                { "one after the other", BODY_BYTES, { 200, 200 } } };
  char body[BODY_BYTES + 1];
  int failures = 0;
  int port = test_free_port ();
  int pid = start_server (port, RESPONDS, TIMEOUT_MS);

  (void)state;
  memset (body, 'x', BODY_BYTES);
  body[BODY_BYTES] = '\0';
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct test_client clients[2] = { { .fd = -1 }, { .fd = -1 } };
      for (int c = 0; c < 2; c++)
        {
          g_autofree char *part
              = g_strdup_printf ("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%.*s",
                                 BODY_BYTES, cases[i].part, body);
          assert_true (test_client_connect (&clients[c], port, true));
          assert_true (test_client_send (&clients[c], part));
          usleep (100 * 1000);
        }
      for (int c = 1; c >= 0; c--)
        {
          assert_true (test_client_send (&clients[c], body + cases[i].part));
          int status = test_client_await (&clients[c]);
          test_client_close (&clients[c]);
          if (status == cases[i].statuses[c])
            continue;
          print_error ("%s: client %d got %d\n", cases[i].name, c, status);
          failures++;
        }
    }
  kill (pid, SIGTERM);
  assert_int_equal (test_wait_for_exit (pid), 0);
  assert_int_equal (failures, 0);
}

/* Each further call closed the descriptor of the listening socket again, which belonged to another
 * connection by then; ZeroMQ aborts the process when this happens to one of its own. */
static void
test_listening_socket_is_closed_once (void **state)
{
  struct fl_http_server_options options = { .loop = ev_default_loop (EVFLAG_AUTO),
                                            .address = "127.0.0.1",
                                            .body_max = 1000,
                                            .header_max = 10000,
                                            .connections_max = 10,
                                            .idle_timeout_ms = TIMEOUT_MS,
                                            .upload_timeout_ms = TIMEOUT_MS,
                                            .on_request = on_request };
  struct fl_http_server *server = fl_http_server_new (&options, NULL);
  int pipes[8][2];

  (void)state;
  fl_http_server_stop_listening (server);
  for (size_t i = 0; i < G_N_ELEMENTS (pipes); i++)
    assert_int_equal (pipe (pipes[i]), 0);
  fl_http_server_stop_listening (server);
  fl_http_server_free (server);
  for (size_t i = 0; i < G_N_ELEMENTS (pipes); i++)
    for (int j = 0; j < 2; j++)
      assert_int_equal (close (pipes[i][j]), 0);
}

#define PORTS 20

static void
get_ports (int ports[PORTS])
{
  for (int i = 0; i < PORTS; i++)
    ports[i] = test_free_port ();
}

/* Test programs that ran at the same time could get the same port. One of them could then not
 * listen, and called the server of the other, or none. */
static void
test_ports_of_two_processes (void **state)
{
  int ports[2][PORTS];
  int to_parent[2];
  int pid;

  (void)state;
  test_free_port ();
  assert_int_equal (pipe (to_parent), 0);
  pid = fork ();
  assert_true (pid >= 0);
  if (pid == 0)
    {
      get_ports (ports[1]);
      if (write (to_parent[1], ports[1], sizeof ports[1]) != (ssize_t)sizeof ports[1])
        _exit (1);
      for (;;)
        pause ();
    }
  assert_int_equal (read (to_parent[0], ports[1], sizeof ports[1]), sizeof ports[1]);
  get_ports (ports[0]);
  kill (pid, SIGTERM);
  test_wait_for_exit (pid);
  for (int i = 0; i < PORTS; i++)
    for (int j = 0; j < PORTS; j++)
      assert_int_not_equal (ports[0][i], ports[1][j]);
  for (int i = 0; i < 2; i++)
    close (to_parent[i]);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_server_free),
                                      cmocka_unit_test (test_response_being_sent),
                                      cmocka_unit_test (test_connections_in_accept_queue),
                                      cmocka_unit_test (test_data_arrives_while_suspended),
                                      cmocka_unit_test (test_silent_connections_are_closed),
                                      cmocka_unit_test (test_bodies_of_all_requests),
                                      cmocka_unit_test (test_listening_socket_is_closed_once),
                                      cmocka_unit_test (test_ports_of_two_processes) };

  return cmocka_run_group_tests_name ("http_server", tests, NULL, NULL);
}
