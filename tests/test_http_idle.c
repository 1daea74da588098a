/* Connections that the HTTP server closes by itself: none on which a request waits unread, and idle
 * ones only when there are too many. The server runs in the test's own loop, which is held up by
 * not running it. */
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <setjmp.h>
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

#define REQUEST "GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
#define UPLOAD "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n"
#define TURN_S 0.02
/* From one check of the connections to beyond the next; the server checks them every second. */
#define CHECK_S 1.1
#define SHORT_TIMEOUT_MS 100
#define LONG_TIMEOUT_MS 60000
#define CLIENTS_MAX 8

struct fixture
{
  struct ev_loop *loop;
  struct fl_http_server *server;
  int handled; /* requests */
  struct test_client clients[CLIENTS_MAX];
};

static void
on_request (void *context, struct fl_http_request *request)
{
  struct fixture *fixture = context;
  struct fl_http_response response = { .status = 200, .body = "{}", .len = 2 };

  fixture->handled++;
  fl_http_respond (request, &response);
}

static void
set_up (struct fixture *fixture, struct fl_http_server_options options)
{
  memset (fixture, 0, sizeof *fixture);
  fixture->loop = ev_loop_new (EVFLAG_AUTO);
  options.loop = fixture->loop;
  options.address = "127.0.0.1";
  options.body_max = 1000;
  options.header_max = 8192;
  options.on_request = on_request;
  options.context = fixture;
  fixture->server = fl_http_server_new (&options, NULL);
  assert_non_null (fixture->server);
  for (size_t i = 0; i < CLIENTS_MAX; i++)
    fixture->clients[i].fd = -1;
}

static void
tear_down (struct fixture *fixture)
{
  for (size_t i = 0; i < CLIENTS_MAX; i++)
    test_client_close (&fixture->clients[i]);
  fl_http_server_free (fixture->server);
  ev_loop_destroy (fixture->loop);
}

/* @return the status of the response; -1 if the connection is closed, 0 without either. */
static int
poll_client (struct fixture *fixture, int client)
{
  ev_now_update (fixture->loop);
  support_run_loop_for (fixture->loop, TURN_S);
  return test_client_poll (&fixture->clients[client], 0);
}

static void
connect_client (struct fixture *fixture, int client)
{
  assert_true (test_client_connect (&fixture->clients[client],
                                    fl_http_server_port (fixture->server), false));
}

static void
serve_client (struct fixture *fixture, int client)
{
  connect_client (fixture, client);
  assert_true (test_client_request (&fixture->clients[client], REQUEST));
  assert_int_equal (poll_client (fixture, client), 200);
}

/* The check of the connections ran before what had arrived while the process was held up was read,
 * and closed the connection. */
static void
test_unread_request_outlives_the_timeout (void **state)
{
  static const struct
  {
    const char *name;
    const char *before; /* the process is held up */
    const char *during;
    const char *after;
  } cases[] = {
    { "a request on an idle connection", "", REQUEST, "" },
    { "the start of a request", "", "GET /a HT", "TP/1.1\r\nHost: x\r\n\r\n" },
    { "the rest of a request", UPLOAD, "xx", "" },
    { "a part of the rest", UPLOAD, "x", "x" },
  };
  int failures = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fixture fixture;
      int status;

      set_up (&fixture, (struct fl_http_server_options){ .connections_max = 10,
                                                         .idle_timeout_ms = SHORT_TIMEOUT_MS,
                                                         .upload_timeout_ms = SHORT_TIMEOUT_MS });
      serve_client (&fixture, 0);
      test_client_send (&fixture.clients[0], cases[i].before);
      support_run_loop_for (fixture.loop, CHECK_S);
      test_client_send (&fixture.clients[0], cases[i].during);
      usleep ((useconds_t)(CHECK_S * 1e6));
      status = poll_client (&fixture, 0);
      if (status == 0 && test_client_send (&fixture.clients[0], cases[i].after))
        status = poll_client (&fixture, 0);
      tear_down (&fixture);
      if (status == 200)
        continue;
      print_error ("%s: status %d\n", cases[i].name, status);
      failures++;
    }
  assert_int_equal (failures, 0);
}

/* A client that connects when almost all connections are open is served, and the longest idle
 * connection closed for it, but none on which a request waits. */
static void
test_longest_idle_connection_makes_room (void **state)
{
  static const struct
  {
    const char *name;
    int connections_max;
    int idle_connections_max;
  } cases[] = {
    { "connections", 4, 0 },
    { "idle connections", 100, 3 },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fixture fixture;

      print_message ("limit of %s\n", cases[i].name);
      set_up (&fixture, (struct fl_http_server_options){
                            .connections_max = cases[i].connections_max,
                            .idle_connections_max = cases[i].idle_connections_max,
                            .idle_timeout_ms = LONG_TIMEOUT_MS,
                            .upload_timeout_ms = LONG_TIMEOUT_MS });
      for (int client = 0; client < 3; client++)
        serve_client (&fixture, client);
      support_run_loop_for (fixture.loop, CHECK_S);
      assert_int_equal (fl_http_server_open_connections (fixture.server), 3);
      /* The loop does not run until the next check is due. */
      assert_true (test_client_request (&fixture.clients[0], REQUEST));
      connect_client (&fixture, 3);
      assert_true (test_client_request (&fixture.clients[3], REQUEST));
      usleep ((useconds_t)(CHECK_S * 1e6));
      assert_int_equal (poll_client (&fixture, 3), 200);
      assert_int_equal (poll_client (&fixture, 0), 200);
      support_run_loop_for (fixture.loop, CHECK_S);
      assert_int_equal (poll_client (&fixture, 1), -1);
      assert_int_equal (poll_client (&fixture, 2), 0);
      assert_int_equal (poll_client (&fixture, 0), 0);
      tear_down (&fixture);
    }
}

/* The connections that waited at the limit were accepted only with the next event of another. */
static void
test_connections_beyond_the_limit_are_accepted_later (void **state)
{
  struct fixture fixture;

  (void)state;
  set_up (&fixture, (struct fl_http_server_options){ .connections_max = 2,
                                                     .idle_timeout_ms = LONG_TIMEOUT_MS,
                                                     .upload_timeout_ms = LONG_TIMEOUT_MS });
  for (int client = 0; client < 2; client++)
    {
      connect_client (&fixture, client);
      test_client_send (&fixture.clients[client], UPLOAD);
      assert_int_equal (poll_client (&fixture, client), 0);
    }
  connect_client (&fixture, 2);
  assert_true (test_client_request (&fixture.clients[2], REQUEST));
  assert_int_equal (poll_client (&fixture, 2), 0);
  test_client_close (&fixture.clients[0]);
  assert_int_equal (poll_client (&fixture, 2), 200);
  tear_down (&fixture);
}

/* A request that a narrow link delivered slowly was cut after the upload timeout. */
static void
test_slow_upload_is_not_cut (void **state)
{
  struct fixture fixture;

  (void)state;
  set_up (&fixture, (struct fl_http_server_options){ .connections_max = 10,
                                                     .idle_timeout_ms = LONG_TIMEOUT_MS,
                                                     .upload_timeout_ms = SHORT_TIMEOUT_MS });
  connect_client (&fixture, 0);
  test_client_send (&fixture.clients[0],
                    "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 8\r\n\r\n");
  for (int i = 0; i < 7; i++)
    {
      test_client_send (&fixture.clients[0], "x");
      support_run_loop_for (fixture.loop, CHECK_S / 2);
    }
  assert_true (test_client_request (&fixture.clients[0], "x"));
  assert_int_equal (poll_client (&fixture, 0), 200);
  tear_down (&fixture);
}

/* A request that is cut gets a response, also when the rest arrives just after that, and is not
 * carried out. */
static void
test_cut_upload_gets_a_response (void **state)
{
  static const struct
  {
    const char *name;
    int connections_max;
    int timeout_ms;
    const char *part; /* sent after the upload timeout */
  } cases[] = {
    { "nothing arrives", 10, SHORT_TIMEOUT_MS, "" },
    { "almost all connections are open", 1, CHECK_S * 1000, "x" },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fixture fixture;

      print_message ("%s\n", cases[i].name);
      set_up (&fixture,
              (struct fl_http_server_options){ .connections_max = cases[i].connections_max,
                                               .idle_timeout_ms = LONG_TIMEOUT_MS,
                                               .upload_timeout_ms = cases[i].timeout_ms });
      connect_client (&fixture, 0);
      test_client_send (&fixture.clients[0], UPLOAD);
      support_run_loop_for (fixture.loop, CHECK_S);
      test_client_send (&fixture.clients[0], cases[i].part);
      support_run_loop_for (fixture.loop, CHECK_S);
      assert_true (test_client_request (&fixture.clients[0], "xx"));
      support_run_loop_for (fixture.loop, TURN_S);
      assert_int_equal (poll_client (&fixture, 0), 408);
      assert_int_equal (fixture.handled, 0);
      support_run_loop_for (fixture.loop, TURN_S);
      assert_int_equal (fl_http_server_open_connections (fixture.server), 0);
      tear_down (&fixture);
    }
}

/* The server waits for a client to read the response to a cut request, but not for long. */
static void
test_lingering_ends (void **state)
{
  struct fixture fixture;

  (void)state;
  set_up (&fixture, (struct fl_http_server_options){ .connections_max = 10,
                                                     .idle_timeout_ms = LONG_TIMEOUT_MS,
                                                     .upload_timeout_ms = SHORT_TIMEOUT_MS });
  connect_client (&fixture, 0);
  test_client_send (&fixture.clients[0], UPLOAD);
  support_run_loop_for (fixture.loop, 2 * CHECK_S);
  assert_int_equal (fl_http_server_open_connections (fixture.server), 1);
  support_run_loop_for (fixture.loop, 3 * CHECK_S);
  assert_int_equal (fl_http_server_open_connections (fixture.server), 0);
  assert_int_equal (poll_client (&fixture, 0), 408);
  tear_down (&fixture);
}

/* @return the server's end of the connection of @client. */
static int
find_server_socket (const struct test_client *client)
{
  struct sockaddr_in own = { 0 };
  struct sockaddr_in peer = { 0 };
  socklen_t len = sizeof own;

  assert_int_equal (getsockname (client->fd, (struct sockaddr *)&own, &len), 0);
  for (int fd = 0; fd < getdtablesize (); fd++)
    {
      len = sizeof peer;
      if (getpeername (fd, (struct sockaddr *)&peer, &len) == 0 && peer.sin_port == own.sin_port)
        return fd;
    }
  return -1;
}

/* Without an end of the connection, nothing else tells that a peer is gone. */
static void
test_lost_peers_are_detected (void **state)
{
  static const struct
  {
    int level;
    int option;
  } options[] = { { SOL_SOCKET, SO_KEEPALIVE }, { IPPROTO_TCP, TCP_USER_TIMEOUT } };
  struct fixture fixture;

  (void)state;
  set_up (&fixture, (struct fl_http_server_options){ .connections_max = 2,
                                                     .idle_timeout_ms = LONG_TIMEOUT_MS,
                                                     .upload_timeout_ms = LONG_TIMEOUT_MS });
  serve_client (&fixture, 0);
  int fd = find_server_socket (&fixture.clients[0]);
  for (size_t i = 0; i < G_N_ELEMENTS (options); i++)
    {
      int value = 0;
      socklen_t len = sizeof value;
      assert_int_equal (getsockopt (fd, options[i].level, options[i].option, &value, &len), 0);
      assert_true (value > 0);
    }
  tear_down (&fixture);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_unread_request_outlives_the_timeout),
          cmocka_unit_test (test_longest_idle_connection_makes_room),
          cmocka_unit_test (test_connections_beyond_the_limit_are_accepted_later),
          cmocka_unit_test (test_slow_upload_is_not_cut),
          cmocka_unit_test (test_cut_upload_gets_a_response),
          cmocka_unit_test (test_lingering_ends),
          cmocka_unit_test (test_lost_peers_are_detected) };

  return cmocka_run_group_tests_name ("http_idle", tests, NULL, NULL);
}
