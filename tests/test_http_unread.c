/* Requests that were sent completely before the HTTP server is freed, and that it has not read yet;
 * connections that it has not accepted yet. */
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
#include "support_loop.h"

#define HEADER_MAX (32 * 1024)
#define BODY_MAX (256 * 1024)
#define TIMEOUT_MS 60000
/* After the time in which the listening socket is closed. */
#define FLUSH_BEGINS_MS 30
#define HOLD_UP_MS 150

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

/* Serves until SIGTERM. Writes a byte to @free_fd before it frees the server, unless it is
 * negative. */
static void
serve (int port, int free_fd)
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
  if (free_fd >= 0 && write (free_fd, "", 1) != 1)
    _exit (1);
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
          serve (port, -1);
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

/* The process is held up while it frees the server, as on a small share of a processor, and the
 * rest of a request arrives meanwhile. It was closed unread once 100 ms had passed. */
static void
test_request_is_read_after_a_hold_up (void **state)
{
  struct test_client client = { .fd = -1 };
  int port = test_free_port ();
  g_autofree char *half = g_strnfill (BODY_MAX / 2, 'x');
  char byte;
  int fds[2];
  int pid;

  (void)state;
  assert_int_equal (pipe (fds), 0);
  pid = fork ();
  if (pid == 0)
    {
      serve (port, fds[1]);
      _exit (0);
    }
  g_autofree char *head
      = g_strdup_printf ("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", BODY_MAX);
  assert_true (test_client_connect (&client, port, true));
  assert_true (test_client_send (&client, head));
  assert_true (test_client_send (&client, half));
  kill (pid, SIGTERM);
  assert_int_equal (read (fds[0], &byte, 1), 1);
  usleep (FLUSH_BEGINS_MS * 1000);
  kill (pid, SIGSTOP);
  usleep (HOLD_UP_MS * 1000);
  assert_true (test_client_request (&client, half));
  kill (pid, SIGCONT);
  assert_int_equal (test_client_await (&client), 503);
  assert_int_equal (test_wait_for_exit (pid), 0);
  test_client_close (&client);
  close (fds[0]);
  close (fds[1]);
}

/* --- connections that are completed while the server stops listening --- */

#define STOPS 100
#define CONNECTING_CLIENTS 3
/* More than a client opens until the server has stopped listening. */
#define CONNECTIONS_MAX 300
#define CONNECT_INTERVAL_US 50
#define SERVE_S 0.003
/* While a server stops listening, connections may be refused as late as a second SYN is sent. */
#define CONNECT_TIMEOUT_MS 20

struct connecting_client
{
  GThread *thread;
  int port;
  struct test_client connections[CONNECTIONS_MAX];
  int connected; /* number of connections */
  int unanswered;
  gint has_ended;
};

/* What clients have seen. */
struct stop_counts
{
  int connected;
  int unanswered;
};

static bool
connect_and_request (struct test_client *client, int port)
{
  client->fd = -1;
  if (!test_client_connect_within (client, port, CONNECT_TIMEOUT_MS))
    return false;
  test_client_request (client, "GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
  return true;
}

/* Sends a request on one connection after another, until none is accepted any more, then waits for
 * the responses. */
static void *
connect_repeatedly (void *data)
{
  struct connecting_client *self = data;
  int count = 0;

  while (count < CONNECTIONS_MAX && connect_and_request (&self->connections[count], self->port))
    {
      count++;
      usleep (CONNECT_INTERVAL_US);
    }
  for (int i = 0; i < count; i++)
    if (!self->connections[i].awaits_response
        || test_client_poll (&self->connections[i], SUPPORT_HTTP_GUARD_MS) != 200)
      self->unanswered++;
  for (int i = 0; i < MIN (count + 1, CONNECTIONS_MAX); i++)
    test_client_close (&self->connections[i]);
  self->connected = count;
  g_atomic_int_set (&self->has_ended, 1);
  return NULL;
}

/* Stops listening while clients connect. Adds what they have seen to @total. */
static void
stop_listening_once (struct ev_loop *loop,
                     struct connecting_client *clients,
                     struct stop_counts *total)
{
  struct fl_http_server_options options = {
    .loop = loop,
    .address = "127.0.0.1",
    .body_max = BODY_MAX,
    .header_max = HEADER_MAX,
    .connections_max = 2 * CONNECTING_CLIENTS * CONNECTIONS_MAX,
    .idle_timeout_ms = TIMEOUT_MS,
    .upload_timeout_ms = TIMEOUT_MS,
    .on_request = on_request,
  };
  struct fl_http_server *server = fl_http_server_new (&options, NULL);

  memset (clients, 0, CONNECTING_CLIENTS * sizeof clients[0]);
  for (size_t i = 0; i < CONNECTING_CLIENTS; i++)
    {
      clients[i].port = fl_http_server_port (server);
      clients[i].thread = g_thread_new ("client", connect_repeatedly, &clients[i]);
    }
  support_run_loop_for (loop, SERVE_S);
  fl_http_server_stop_listening (server);
  for (size_t i = 0; i < CONNECTING_CLIENTS; i++)
    {
      while (g_atomic_int_get (&clients[i].has_ended) == 0)
        support_run_loop_for (loop, SERVE_S);
      g_thread_join (clients[i].thread);
      total->connected += clients[i].connected;
      total->unanswered += clients[i].unanswered;
    }
  fl_http_server_free (server);
}

/* A connection that was completed between the last accept and the close of the listening socket
 * was reset. */
static void
test_stop_listening_resets_no_connection (void **state)
{
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  g_autofree struct connecting_client *clients
      = g_new0 (struct connecting_client, CONNECTING_CLIENTS);
  struct stop_counts total = { 0 };

  (void)state;
  for (int i = 0; i < STOPS; i++)
    stop_listening_once (loop, clients, &total);
  ev_loop_destroy (loop);
  if (total.unanswered > 0)
    fail_msg ("%d of %d connections were reset", total.unanswered, total.connected);
  assert_true (total.connected > STOPS);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_unread_request_is_answered),
                                      cmocka_unit_test (test_request_is_read_after_a_hold_up),
                                      cmocka_unit_test (test_stop_listening_resets_no_connection) };

  return cmocka_run_group_tests_name ("http_unread", tests, NULL, NULL);
}
