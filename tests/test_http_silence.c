/* The HTTP client when open connections to a peer go silent without a reset, while new ones work.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <ev.h>
#include <glib.h>

#include "net/http_client.h"
#include "support_loop.h"
#include "support_proxy.h"
#include "support_server.h"

#define CALL_TIMEOUT_MS 200
#define CALLS_MAX 12

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

/* Leaves @idle connections open that have served a request each. */
static struct fixture *
fixture_new (int idle, enum support_connection_end end)
{
  struct fixture *fixture = g_new0 (struct fixture, 1);
  struct support_server_options options = { idle, end, 200, NULL };

  fixture->loop = ev_loop_new (EVFLAG_AUTO);
  fixture->stats = fl_stats_new ();
  fixture->client = fl_http_client_new (&(struct fl_http_client_options){
      .loop = fixture->loop, .connections_max = 16, .stats = fixture->stats });
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
      struct fixture *fixture = fixture_new (idle_counts[i], SUPPORT_END_SERVED);
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
      struct fixture *fixture = fixture_new (2, SUPPORT_END_SERVED);
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
  struct fixture *fixture = fixture_new (4, SUPPORT_END_DELAYED);

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

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_calls_lost_after_silence),
    cmocka_unit_test (test_call_beside_late_call),
    cmocka_unit_test (test_connections_kept),
  };

  return cmocka_run_group_tests_name ("http_silence", tests, NULL, NULL);
}
