/* Links between hosts over connections that go silent. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <ev.h>
#include <glib.h>

#include "common/clock.h"
#include "net/link.h"
#include "support_loop.h"
#include "support_proxy.h"

#define LOOP_STEP_S 0.02
/* Steps of the loop until a message must have arrived, or a connection must have been closed. */
#define STEPS_MAX 500
#define QUEUE_MAX 100000

/* One end of a link, with what it has received. */
struct end
{
  struct fl_link *link;
  struct fl_route last_sender;
  int received;
};

static void
on_message (void *context, const struct fl_route *from, const char *data, size_t len)
{
  struct end *end = context;

  (void)data;
  (void)len;
  end->last_sender = *from;
  end->received++;
}

/* A client that is connected to a server through a proxy. */
struct fixture
{
  struct ev_loop *loop;
  struct fl_stats *stats;
  struct end server;
  struct end client;
  struct support_proxy *proxy;
  struct fl_route to_server;
};

static struct fl_link *
new_link (const struct fixture *fixture, struct end *end, const char *address)
{
  struct fl_link_options options = { .loop = fixture->loop,
                                     .address = address,
                                     .queue_max = QUEUE_MAX,
                                     .on_message = on_message,
                                     .context = end,
                                     .stats = fixture->stats };

  return fl_link_new (&options, NULL);
}

/* Sends messages from @end until @receiver has got one more. */
static void
send_until_received (const struct fixture *fixture,
                     struct end *end,
                     const struct fl_route *to,
                     const struct end *receiver)
{
  int received = receiver->received;

  for (int steps = 0; receiver->received == received; steps++)
    {
      assert_true (steps < STEPS_MAX);
      fl_link_send (end->link, to, "m", 1);
      support_run_loop_for (fixture->loop, LOOP_STEP_S);
    }
}

static void
set_up (struct fixture *fixture)
{
  *fixture = (struct fixture){ .loop = ev_loop_new (EVFLAG_AUTO), .stats = fl_stats_new () };
  fixture->server.link = new_link (fixture, &fixture->server, "tcp://127.0.0.1:0");
  fixture->client.link = new_link (fixture, &fixture->client, NULL);
  struct fl_name bound = fl_link_address (fixture->server.link);
  fixture->proxy = support_proxy_new (fixture->loop, atoi (strrchr (bound.data, ':') + 1));
  fixture->to_server.address
      = fl_name_format ("tcp://127.0.0.1:%d", support_proxy_port (fixture->proxy));
  assert_true (fl_link_connect (fixture->client.link, &fixture->to_server.address, NULL));
  send_until_received (fixture, &fixture->client, &fixture->to_server, &fixture->server);
  send_until_received (fixture, &fixture->server, &fixture->server.last_sender, &fixture->client);
}

static void
tear_down (struct fixture *fixture)
{
  fl_link_free (fixture->client.link);
  fl_link_free (fixture->server.link);
  support_proxy_free (fixture->proxy);
  fl_stats_free (fixture->stats);
  ev_loop_destroy (fixture->loop);
}

/* A connection on which messages were without a reply was used for good. */
static void
test_silent_connection_is_replaced_once (void **state)
{
  static const struct
  {
    const char *name;
    int64_t sent_ms_ago; /* the message without a reply */
    bool is_replaced;
  } cases[] = {
    { "silent since the message", 0, true },
    { "a message from before the connection", 60000, false },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fixture fixture;
      set_up (&fixture);
      struct fl_name address = fixture.to_server.address;
      support_proxy_silence (fixture.proxy);
      support_run_loop_for (fixture.loop, LOOP_STEP_S);
      int64_t sent_ms = fl_clock_boot_ms () - cases[i].sent_ms_ago;
      if (fl_link_reconnect_silent (fixture.client.link, &address, sent_ms) != cases[i].is_replaced)
        fail_msg ("%s: is_replaced is not %d", cases[i].name, cases[i].is_replaced);
      /* The new connection was opened after the message. */
      support_run_loop_for (fixture.loop, LOOP_STEP_S);
      assert_false (fl_link_reconnect_silent (fixture.client.link, &address, sent_ms));
      if (cases[i].is_replaced)
        send_until_received (&fixture, &fixture.client, &fixture.to_server, &fixture.server);
      tear_down (&fixture);
    }
}

/* A reply that was only slow was lost with the connection that was replaced. */
static void
test_late_message_of_replaced_connection_counts (void **state)
{
  struct fixture fixture;

  (void)state;
  set_up (&fixture);
  struct fl_name address = fixture.to_server.address;
  support_proxy_hold (fixture.proxy);
  support_run_loop_for (fixture.loop, LOOP_STEP_S);
  int64_t sent_ms = fl_clock_boot_ms ();
  assert_true (fl_link_send (fixture.server.link, &fixture.server.last_sender, "late", 4));
  support_run_loop_for (fixture.loop, LOOP_STEP_S);
  int received = fixture.client.received;
  assert_true (fl_link_reconnect_silent (fixture.client.link, &address, sent_ms));
  send_until_received (&fixture, &fixture.client, &fixture.to_server, &fixture.server);
  assert_int_equal (fixture.client.received, received);
  support_proxy_release (fixture.proxy);
  for (int steps = 0; fixture.client.received == received; steps++)
    {
      assert_true (steps < STEPS_MAX);
      support_run_loop_for (fixture.loop, LOOP_STEP_S);
    }
  tear_down (&fixture);
}

/* The end that only replies kept a silent connection for good. */
static void
test_replying_end_closes_silent_connection (void **state)
{
  struct fixture fixture;

  (void)state;
  set_up (&fixture);
  support_proxy_cut (fixture.proxy);
  for (int steps = 0; fl_link_send (fixture.server.link, &fixture.server.last_sender, "reply", 5);
       steps++)
    {
      assert_true (steps < STEPS_MAX);
      support_run_loop_for (fixture.loop, LOOP_STEP_S);
    }
  tear_down (&fixture);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_silent_connection_is_replaced_once),
          cmocka_unit_test (test_late_message_of_replaced_connection_counts),
          cmocka_unit_test (test_replying_end_closes_silent_connection) };

  return cmocka_run_group_tests_name ("link", tests, NULL, NULL);
}
