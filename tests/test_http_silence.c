/* The connections of the HTTP client to a peer: when open ones go silent without a reset while new
 * ones work, and how many a target gets. */
#include <arpa/inet.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>
#include <ev.h>
#include <glib.h>

#include "common/clock.h"
#include "net/http_client.h"
#include "platform/platform.h"
#include "support_loop.h"
#include "support_proxy.h"
#include "support_server.h"

#define CALL_TIMEOUT_MS 200
#define CALLS_MAX 12
#define LONG_BODY_BYTES ((gsize)4 * 1024 * 1024)

/* A client whose connections to a server pass through a proxy. */
struct fixture
{
  struct ev_loop *loop;
  struct fl_stats *stats;
  struct fl_http_client *client;
  struct support_server *server;
  struct support_proxy *proxy;
  int calls_open;
  int replies;
  int orders[FL_ORDER_RESULT_COUNT]; /* that ended so */
};

static void
on_done (void *context, const struct fl_http_result *result)
{
  struct fixture *fixture = context;

  fixture->calls_open--;
  fixture->replies += result->status == 200 ? 1 : 0;
}

static void
start_call (struct fixture *fixture, int64_t timeout_ms, int64_t quiet_ms)
{
  g_autofree char *url
      = g_strdup_printf ("http://127.0.0.1:%d/x", support_proxy_port (fixture->proxy));
  struct fl_http_call call = { .method = "GET",
                               .url = url,
                               .timeout_ms = timeout_ms,
                               .connect_timeout_ms = timeout_ms,
                               .quiet_ms = quiet_ms,
                               .on_done = on_done,
                               .context = fixture };

  fixture->calls_open++;
  fl_http_client_start (fixture->client, &call);
}

static void
wait_until_done (struct fixture *fixture)
{
  while (fixture->calls_open > 0)
    ev_run (fixture->loop, EVRUN_ONCE);
}

static struct fl_http_client *
new_client (const struct fixture *fixture, int64_t busy_max)
{
  return fl_http_client_new (&(struct fl_http_client_options){ .loop = fixture->loop,
                                                               .connections_max = 16,
                                                               .busy_max = busy_max,
                                                               .stats = fixture->stats });
}

/* Leaves @idle connections open that have served a request each. */
static struct fixture *
fixture_new (int idle, enum support_connection_end end, int status, const char *body)
{
  struct fixture *fixture = g_new0 (struct fixture, 1);
  struct support_server_options options = { idle, end, status, body };

  fixture->loop = ev_loop_new (EVFLAG_AUTO);
  fixture->stats = fl_stats_new ();
  fixture->client = new_client (fixture, 0);
  fixture->server = support_server_new (&options);
  fixture->proxy = support_proxy_new (fixture->loop, support_server_port (fixture->server));
  for (int i = 0; i < idle; i++)
    start_call (fixture, 5000, 0);
  wait_until_done (fixture);
  assert_int_equal (fixture->replies, idle);
  assert_int_equal (support_proxy_accepted (fixture->proxy), idle);
  fixture->replies = 0;
  return fixture;
}

static void
fixture_free (struct fixture *fixture)
{
  fl_http_client_free (fixture->client);
  support_proxy_free (fixture->proxy);
  support_server_free (fixture->server);
  fl_stats_free (fixture->stats);
  ev_loop_destroy (fixture->loop);
  g_free (fixture);
}

/* Each call took another idle connection, so that as many calls in a row got no reply as there were
 * idle connections. */
static void
test_calls_lost_after_silence (void **state)
{
  static const int idle_counts[] = { 1, 4, 8 };
  int wrong = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (idle_counts); i++)
    {
      struct fixture *fixture = fixture_new (idle_counts[i], SUPPORT_END_SERVED, 200, NULL);
      int lost = 0;

      support_proxy_silence (fixture->proxy);
      while (fixture->replies == 0 && lost < CALLS_MAX)
        {
          start_call (fixture, CALL_TIMEOUT_MS, 0);
          wait_until_done (fixture);
          lost += fixture->replies == 0 ? 1 : 0;
        }
      int opened = support_proxy_accepted (fixture->proxy) - idle_counts[i];
      bool is_right = lost == 1 && opened == 1;
      print_message ("%s %d idle connections: %d calls lost, %d connections opened\n",
                     is_right ? "right" : "WRONG", idle_counts[i], lost, opened);
      wrong += is_right ? 0 : 1;
      fixture_free (fixture);
    }
  assert_int_equal (wrong, 0);
}

static void
silence_connections (void *context)
{
  support_proxy_silence (((struct fixture *)context)->proxy);
}

/* The connections go silent while a long reply arrives. */
static void
test_silence_within_reply (void **state)
{
  g_autofree char *body = g_strnfill (LONG_BODY_BYTES, 'x');
  struct fixture *fixture = fixture_new (3, SUPPORT_END_SERVED, 200, body);
  g_autofree char *url
      = g_strdup_printf ("http://127.0.0.1:%d/x", support_proxy_port (fixture->proxy));
  struct fl_http_call call = { .method = "GET",
                               .url = url,
                               .timeout_ms = 5000,
                               .connect_timeout_ms = 5000,
                               .stall_timeout_ms = CALL_TIMEOUT_MS,
                               .on_progress = silence_connections,
                               .on_done = on_done,
                               .context = fixture };

  (void)state;
  fixture->calls_open++;
  fl_http_client_start (fixture->client, &call);
  wait_until_done (fixture);
  assert_int_equal (fixture->replies, 0);
  start_call (fixture, 5000, 0);
  wait_until_done (fixture);
  assert_int_equal (fixture->replies, 1);
  assert_int_equal (support_proxy_accepted (fixture->proxy), 4);
  fixture_free (fixture);
}

/* A call that is sent while another one has no reply yet takes an idle connection that is silent as
 * well, unless the reply is overdue. */
static void
test_call_beside_late_call (void **state)
{
  static const struct
  {
    const char *name;
    int64_t quiet_ms;
    int replies; /* expected */
  } cases[] = {
    { "reply is late", 0, 1 },
    { "peer may stay silent", 5000, 0 },
  };
  int wrong = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fixture *fixture = fixture_new (2, SUPPORT_END_SERVED, 200, NULL);
      support_proxy_silence (fixture->proxy);
      start_call (fixture, 1500, cases[i].quiet_ms);
      support_run_loop_for (fixture->loop, 1.0);
      start_call (fixture, CALL_TIMEOUT_MS, 0);
      wait_until_done (fixture);
      bool is_right = fixture->replies == cases[i].replies;
      print_message ("%s %s: replies=%d\n", is_right ? "right" : "WRONG", cases[i].name,
                     fixture->replies);
      wrong += is_right ? 0 : 1;
      fixture_free (fixture);
    }
  assert_int_equal (wrong, 0);
}

/* Calls whose replies take a while open no more connections than are in use at the same time. */
static void
test_connections_kept (void **state)
{
  struct fixture *fixture = fixture_new (4, SUPPORT_END_DELAYED, 200, NULL);

  (void)state;
  for (int i = 0; i < 8; i++)
    {
      start_call (fixture, 5000, 0);
      if (i % 2 == 1)
        wait_until_done (fixture);
    }
  assert_int_equal (fixture->replies, 8);
  assert_int_equal (support_proxy_accepted (fixture->proxy), 4);
  assert_int_equal (fl_stats_get (fixture->stats, "http_peers_suspect_total"), 0);
  fixture_free (fixture);
}

#define STARTS 8

static void
on_order_done (void *context, const struct fl_order_reply *reply)
{
  struct fixture *fixture = context;

  fixture->calls_open--;
  fixture->orders[reply->result]++;
}

/* Sends the starts and a heartbeat at once. */
static void
send_orders (struct fixture *fixture, const struct fl_target_calls *calls)
{
  struct fl_name address = fl_name_format ("127.0.0.1:%d", support_proxy_port (fixture->proxy));
  struct fl_start_order start = { .target = fl_name_of ("t1"),
                                  .address = address,
                                  .task = fl_name_of ("0000000000000001.0.0.0"),
                                  .run = 1,
                                  .fencing_token = 1,
                                  .deadline_ms = 1000,
                                  .payload = "p",
                                  .payload_len = 1,
                                  .checkpoint = "",
                                  .ticket = "" };
  struct fl_heartbeat_order heartbeat
      = { .target = start.target, .address = address, .fencing_token = 1, .wait_ms = 100 };

  fixture->calls_open = STARTS + 1;
  for (int i = 0; i < STARTS; i++)
    calls->start (calls->context, &start, on_order_done, fixture);
  calls->heartbeat (calls->context, &heartbeat, on_order_done, fixture);
}

/* Each order in flight had a connection of its own: owners that were lost left all of them open,
 * until the target accepted no more, and an owner with many orders had no descriptor left. */
static void
test_connections_to_target (void **state)
{
  static const struct
  {
    const char *name;
    int status;              /* of the replies; 0 for none */
    int64_t accepted;        /* connections, by the target */
    int connections, starts; /* expected: opened, and sent */
    int64_t busy_max;        /* starts and stops in flight, to all targets */
  } cases[] = {
    { "unknown number", 200, 0, 4, STARTS, 0 },
    { "many", 200, 400, STARTS + 1, STARTS, 0 },
    { "usual", 200, 64, 4, STARTS, 0 },
    { "few", 200, 4, 3, STARTS, 0 },
    { "usual, no reply", 0, 64, 4, 3, 0 },
    { "many, few descriptors", 200, 400, 4, STARTS, 3 },
    { "usual, fewer descriptors", 200, 64, 3, STARTS, 2 },
    { "many, few descriptors, no reply", 0, 400, 4, 3, 3 },
  };
  int wrong = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fixture *fixture = fixture_new (0, SUPPORT_END_SERVED, cases[i].status, NULL);
      fl_http_client_free (fixture->client);
      fixture->client = new_client (fixture, cases[i].busy_max);
      struct fl_platform_target_client *client
          = fl_platform_target_client_new (fixture->client, "127.0.0.1:1", NULL);
      fl_platform_target_client_set_connections_max (client, cases[i].accepted);
      send_orders (fixture, fl_platform_target_client_get_calls (client));
      wait_until_done (fixture);
      int connections = support_proxy_accepted (fixture->proxy);
      int sent = STARTS - fixture->orders[FL_ORDER_NOT_SENT];
      bool is_right = connections == cases[i].connections && sent == cases[i].starts;
      print_message ("%s %s: %d connections, %d starts sent\n", is_right ? "right" : "WRONG",
                     cases[i].name, connections, sent);
      wrong += is_right ? 0 : 1;
      fl_platform_target_client_free (client);
      fixture_free (fixture);
    }
  assert_int_equal (wrong, 0);
}

/* A listener that accepts nothing, so that further connections to it stay without a reply. */
struct silent_listener
{
  int fd;
  int first; /* the only connection that it takes */
  struct fl_name address;
};

static struct silent_listener
open_silent_listener (void)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t len = sizeof address;
  struct silent_listener listener
      = { .fd = socket (AF_INET, SOCK_STREAM, 0), .first = socket (AF_INET, SOCK_STREAM, 0) };

  assert_int_equal (bind (listener.fd, (struct sockaddr *)&address, len), 0);
  assert_int_equal (listen (listener.fd, 0), 0);
  assert_int_equal (getsockname (listener.fd, (struct sockaddr *)&address, &len), 0);
  assert_int_equal (connect (listener.first, (struct sockaddr *)&address, len), 0);
  listener.address = fl_name_format ("127.0.0.1:%d", ntohs (address.sin_port));
  return listener;
}

/* A start whose result is awaited. */
struct awaited_start
{
  int64_t ordered_ms;
  int64_t took_ms; /* -1 until its result */
  enum fl_order_result result;
};

static void
on_awaited_start_done (void *context, const struct fl_order_reply *reply)
{
  struct awaited_start *start = context;

  start->took_ms = fl_clock_boot_ms () - start->ordered_ms;
  start->result = reply->result;
}

static void
order_start (const struct fl_target_calls *calls,
             const struct fl_name *address,
             int64_t limit_ms,
             struct awaited_start *start)
{
  struct fl_start_order order = { .target = fl_name_of ("t1"),
                                  .address = *address,
                                  .task = fl_name_of ("0000000000000001.0.0.0"),
                                  .run = 1,
                                  .fencing_token = 1,
                                  .deadline_ms = 1000,
                                  .payload = "p",
                                  .payload_len = 1,
                                  .checkpoint = "",
                                  .ticket = "",
                                  .reply_limit_ms = limit_ms };

  *start = (struct awaited_start){ .ordered_ms = fl_clock_boot_ms (), .took_ms = -1 };
  calls->start (calls->context, &order, on_awaited_start_done, start);
}

/* The time to connect began after the wait for others, and ended after the limit of the start. */
static void
test_connection_after_the_wait_for_others (void **state)
{
  static const struct
  {
    int64_t first_limit_ms, delay_ms, limit_ms;
  } cases[] = { { FL_START_LIMIT_MS, 100, FL_START_LIMIT_MS }, { 600, 50, 1000 } };
  int wrong = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fixture *fixture = fixture_new (0, SUPPORT_END_SERVED, 200, NULL);
      struct silent_listener listener = open_silent_listener ();
      struct fl_platform_target_client *client
          = fl_platform_target_client_new (fixture->client, "127.0.0.1:1", NULL);
      const struct fl_target_calls *calls = fl_platform_target_client_get_calls (client);
      /* As many as a host sends at a time to a target that accepts 64 connections, and one more. */
      struct awaited_start starts[4];
      struct loop_watch watch;

      support_watch_loop (&watch, fixture->loop);
      for (size_t j = 0; j < G_N_ELEMENTS (starts); j++)
        {
          bool waits = j == G_N_ELEMENTS (starts) - 1;
          if (waits)
            support_run_loop_for (fixture->loop, (double)cases[i].delay_ms / 1000.0);
          order_start (calls, &listener.address,
                       waits ? cases[i].limit_ms : cases[i].first_limit_ms, &starts[j]);
        }
      const struct awaited_start *last = &starts[G_N_ELEMENTS (starts) - 1];
      while (last->took_ms < 0)
        support_run_loop_for (fixture->loop, 0.01);
      ev_timer_stop (fixture->loop, &watch.timer);
      bool is_right = last->result == FL_ORDER_NOT_SENT
                      && last->took_ms <= cases[i].limit_ms + watch.held_up_ms;
      print_message ("%s limit %d ms: %s after %d ms\n", is_right ? "right" : "WRONG",
                     (int)cases[i].limit_ms, fl_order_result_name (last->result),
                     (int)last->took_ms);
      wrong += is_right ? 0 : 1;
      fl_platform_target_client_free (client);
      close (listener.first);
      close (listener.fd);
      fixture_free (fixture);
    }
  assert_int_equal (wrong, 0);
}

#define IDLE_CONNECTIONS 3
#define QUERY_EXPECTED_MS 10
#define QUERY_TIMEOUT_MS 6000

/* A heartbeat is repeated before a reply is usually late. The repetition was lost as well. */
static void
test_repeated_heartbeat_after_silence (void **state)
{
  struct fixture *fixture = fixture_new (3, SUPPORT_END_SERVED, 200, NULL);
  struct fl_platform_target_client *client
      = fl_platform_target_client_new (fixture->client, "127.0.0.1:1", NULL);
  const struct fl_target_calls *calls = fl_platform_target_client_get_calls (client);
  struct fl_heartbeat_order order
      = { .target = fl_name_of ("t1"),
          .address = fl_name_format ("127.0.0.1:%d", support_proxy_port (fixture->proxy)),
          .fencing_token = 1,
          .wait_ms = 100 };

  (void)state;
  support_proxy_silence (fixture->proxy);
  fixture->calls_open = 2;
  calls->heartbeat (calls->context, &order, on_order_done, fixture);
  support_run_loop_for (fixture->loop, (100.0 + FL_HEARTBEAT_LIMIT_MS) / 1000.0 + 0.05);
  calls->heartbeat (calls->context, &order, on_order_done, fixture);
  wait_until_done (fixture);
  assert_int_equal (fixture->orders[FL_ORDER_NO_REPLY], 1);
  assert_int_equal (support_proxy_accepted (fixture->proxy), 4);
  fl_platform_target_client_free (client);
  fixture_free (fixture);
}

/* A heartbeat waited for a connection for up to 2 s and then prolonged leases by a clock that had
 * been read before, in whatever boot it reached. */
static void
test_deadline_that_waits_for_a_connection (void **state)
{
  struct fixture *fixture = fixture_new (0, SUPPORT_END_SERVED, 200, NULL);
  struct fl_platform_target_client *client
      = fl_platform_target_client_new (fixture->client, "127.0.0.1:1", NULL);
  const struct fl_target_calls *calls = fl_platform_target_client_get_calls (client);
  struct silent_listener listener = open_silent_listener ();
  struct fl_heartbeat_order renewing = { .target = fl_name_of ("t1"),
                                         .address = listener.address,
                                         .fencing_token = 1,
                                         .deadline_ms = 1000 };
  struct fl_heartbeat_order asking = renewing;

  (void)state;
  asking.deadline_ms = 0;
  fixture->calls_open = 2;
  calls->heartbeat (calls->context, &renewing, on_order_done, fixture);
  calls->heartbeat (calls->context, &asking, on_order_done, fixture);
  support_run_loop_for (fixture->loop, 0.1);
  close (accept (listener.fd, NULL, NULL));
  wait_until_done (fixture);
  assert_int_equal (fixture->orders[FL_ORDER_NOT_SENT], 1);
  assert_int_equal (fixture->orders[FL_ORDER_NO_REPLY], 1);
  close (listener.first);
  close (listener.fd);
  fl_platform_target_client_free (client);
  fixture_free (fixture);
}

static void
on_advice_done (void *context, const struct fl_advice_reply *reply)
{
  struct fixture *fixture = context;

  fixture->calls_open--;
  fixture->replies += reply->received ? 1 : 0;
}

/* Each query took another silent connection, since no reply was due before the call's own limit.
 * Its end then closed the idle connections that had replied meanwhile. */
static void
test_queries_lost_after_silence (void **state)
{
  struct fixture *fixture
      = fixture_new (IDLE_CONNECTIONS, SUPPORT_END_SERVED, 200, "{\"good\":[],\"validMs\":3000}");
  struct fl_name address = fl_name_format ("127.0.0.1:%d", support_proxy_port (fixture->proxy));
  struct fl_platform_target_client *client
      = fl_platform_target_client_new (fixture->client, address.data, NULL);
  const struct fl_advice_calls *calls = fl_platform_target_client_get_advice_calls (client);
  struct fl_name step = fl_name_of ("0000000000000001.0.0");
  int sent = 0;

  (void)state;
  support_proxy_silence (fixture->proxy);
  while (fixture->replies == 0 && sent <= IDLE_CONNECTIONS)
    {
      sent++;
      fixture->calls_open++;
      calls->query (calls->context, &step, &step, 1, QUERY_EXPECTED_MS, QUERY_TIMEOUT_MS,
                    on_advice_done, fixture);
      /* Longer than the time after which such a reply is late. */
      support_run_loop_for (fixture->loop, 1.4);
    }
  wait_until_done (fixture);
  fixture->calls_open++;
  calls->query (calls->context, &step, &step, 1, QUERY_EXPECTED_MS, QUERY_TIMEOUT_MS,
                on_advice_done, fixture);
  wait_until_done (fixture);
  int opened = support_proxy_accepted (fixture->proxy) - IDLE_CONNECTIONS;
  print_message ("%d sent, %d replies, %d opened\n", sent, fixture->replies, opened);
  assert_int_equal (sent, 2);
  assert_int_equal (fixture->replies, 2);
  assert_int_equal (opened, 1);
  fl_platform_target_client_free (client);
  fixture_free (fixture);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_calls_lost_after_silence),
    cmocka_unit_test (test_silence_within_reply),
    cmocka_unit_test (test_call_beside_late_call),
    cmocka_unit_test (test_connections_kept),
    cmocka_unit_test (test_connections_to_target),
    cmocka_unit_test (test_connection_after_the_wait_for_others),
    cmocka_unit_test (test_queries_lost_after_silence),
    cmocka_unit_test (test_repeated_heartbeat_after_silence),
    cmocka_unit_test (test_deadline_that_waits_for_a_connection),
  };

  return cmocka_run_group_tests_name ("http_silence", tests, NULL, NULL);
}
