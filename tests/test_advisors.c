/* Choice of the host that passes an advice query on, with a fake link and a fake service. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "poold/advisors.h"

/* Longer than a query with the expected time of these tests may take. */
#define HELD_UP_MS 800

struct fixture
{
  struct fl_host host;
  struct fl_advisors *advisors;
  const char *unreachable; /* names of peers, separated by spaces */
  int sent_to_peers;
  int sent_to_service;
  int64_t now_ms;
};

static int64_t
read_clock (void *context)
{
  return ((struct fixture *)context)->now_ms;
}

static bool
send_to_peer (void *context, const struct fl_route *to, const char *data, size_t len)
{
  struct fixture *fixture = context;

  (void)data;
  (void)len;
  if (strstr (fixture->unreachable, to->address.data) != NULL)
    return false;
  fixture->sent_to_peers++;
  return true;
}

/* The connections are not silent. */
static void
check_peer (void *context, const struct fl_name *address, int64_t sent_ms)
{
  (void)context;
  (void)address;
  (void)sent_ms;
}

static void
query_service (void *context,
               const struct fl_name *step,
               const struct fl_name *targets,
               size_t count,
               int64_t expected_ms,
               int64_t timeout_ms,
               void (*done) (void *context, const struct fl_advice_reply *reply),
               void *done_context)
{
  struct fixture *fixture = context;

  (void)step;
  (void)targets;
  (void)count;
  (void)expected_ms;
  (void)timeout_ms;
  (void)done;
  g_free (done_context);
  fixture->sent_to_service++;
}

static void
on_reply (void *context,
          const struct fl_name *step,
          const struct fl_name *queried,
          size_t queried_count,
          const struct fl_advice_reply *reply)
{
  (void)context;
  (void)step;
  (void)queried;
  (void)queried_count;
  (void)reply;
}

/* The advisors of one host, whose peers and service @fixture plays. */
static struct fl_advisors_options
make_options (struct fixture *fixture, const struct fl_advice_calls *calls)
{
  return (struct fl_advisors_options){ .host = &fixture->host,
                                       .clock = { read_clock, fixture },
                                       .calls = calls,
                                       .on_reply = on_reply,
                                       .send = send_to_peer,
                                       .check_peer = check_peer,
                                       .context = fixture };
}

/* A query whose message could not be sent waited for its timeout, and the step with it. */
static void
test_query_that_was_not_sent_takes_another_host (void **state)
{
  static const struct
  {
    const char *name;
    const char *unreachable;
    int sent_to_peers;
    int sent_to_service;
  } cases[] = {
    { "all peers reachable", "", 1, 0 },
    { "one peer unreachable", "p1", 1, 0 },
    { "the other peer unreachable", "p2", 1, 0 },
    { "no peer reachable", "p1 p2", 0, 1 },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fixture fixture = { .unreachable = cases[i].unreachable };
      struct fl_advice_calls calls = { &fixture, query_service };
      struct fl_advisors_options options = make_options (&fixture, &calls);
      struct fl_name step = fl_name_of ("0000000000000001.0.0");
      struct fl_name target = fl_name_of ("t1");
      struct fl_name peers[] = { fl_name_of ("p1"), fl_name_of ("p2") };

      fixture.host.loop = ev_default_loop (EVFLAG_AUTO);
      fixture.host.settings.name = fl_name_of ("own");
      fixture.advisors = fl_advisors_new (&options);
      for (size_t j = 0; j < G_N_ELEMENTS (peers); j++)
        fl_advisors_set_peer (fixture.advisors, &peers[j], &peers[j]);
      assert_true (fl_advisors_send_query (fixture.advisors, &step, &target, 1,
                                           &(struct fl_advice_demand){ .expected_ms = 100 }));
      if (fixture.sent_to_peers != cases[i].sent_to_peers
          || fixture.sent_to_service != cases[i].sent_to_service)
        fail_msg ("%s: %d sent to peers, %d to the service", cases[i].name, fixture.sent_to_peers,
                  fixture.sent_to_service);
      fl_advisors_free (fixture.advisors);
    }
}

/* Hosts that were gone counted as reserve for short queries, so that no long query was sent. */
static void
test_lost_hosts_do_not_hold_back_long_queries (void **state)
{
  struct fixture fixture = { .unreachable = "p1 p2 p3 p4 p5" };
  struct fl_advice_calls calls = { &fixture, query_service };
  struct fl_advisors_options options = make_options (&fixture, &calls);
  struct fl_name step = fl_name_of ("0000000000000001.0.0");
  struct fl_name target = fl_name_of ("t1");

  (void)state;
  fixture.host.loop = ev_default_loop (EVFLAG_AUTO);
  fixture.host.settings.name = fl_name_of ("own");
  fixture.advisors = fl_advisors_new (&options);
  for (int i = 1; i <= 6; i++)
    {
      struct fl_name peer = fl_name_format ("p%d", i);
      fl_advisors_set_peer (fixture.advisors, &peer, &peer);
    }
  while (fl_advisors_send_query (fixture.advisors, &step, &target, 1,
                                 &(struct fl_advice_demand){ .expected_ms = 600 }))
    ;
  assert_int_equal (fixture.sent_to_peers + fixture.sent_to_service, 2);
  fl_advisors_free (fixture.advisors);
}

/* With few hosts left, part of them stayed free for short queries although none came, and long
 * queries had a quarter less. */
static void
test_hosts_are_left_free_for_short_queries_that_come (void **state)
{
  static const struct
  {
    const char *name;
    int peers;
    int64_t short_wanted_ms_ago; /* -1: never */
    int long_queries;            /* sent until no host is free for another */
    int64_t waited_ms;           /* by the steps of the long queries */
  } cases[] = {
    { "4 hosts, no short query", 3, -1, 4, 0 },
    { "4 hosts, a short query just before", 3, 0, 3, 0 },
    { "4 hosts, a short query a moment ago", 3, 499, 3, 0 },
    { "4 hosts, the last short query long ago", 3, 500, 4, 0 },
    { "2 hosts, a short query just before", 1, 0, 2, 0 },
    { "9 hosts, no short query", 8, -1, 9, 0 },
    { "9 hosts, a short query just before", 8, 0, 7, 0 },
    { "9 hosts, steps that have waited for long", 8, 0, 9, 1000 },
    { "3 hosts, steps that have waited for long", 2, 0, 3, 1000 },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fixture fixture = { .unreachable = "", .now_ms = 100000 };
      struct fl_advice_calls calls = { &fixture, query_service };
      struct fl_advisors_options options = make_options (&fixture, &calls);
      struct fl_name step = fl_name_of ("0000000000000001.0.0");
      struct fl_name target = fl_name_of ("t1");
      int sent = 0;

      fixture.host.loop = ev_default_loop (EVFLAG_AUTO);
      fixture.host.settings.name = fl_name_of ("own");
      fixture.advisors = fl_advisors_new (&options);
      for (int j = 1; j <= cases[i].peers; j++)
        {
          struct fl_name peer = fl_name_format ("p%d", j);
          fl_advisors_set_peer (fixture.advisors, &peer, &peer);
        }
      if (cases[i].short_wanted_ms_ago >= 0)
        {
          assert_true (fl_advisors_are_available (fixture.advisors,
                                                  &(struct fl_advice_demand){ .expected_ms = 25 }));
          fixture.now_ms += cases[i].short_wanted_ms_ago;
        }
      while (fl_advisors_send_query (fixture.advisors, &step, &target, 1,
                                     &(struct fl_advice_demand){ 600, cases[i].waited_ms }))
        sent++;
      if (sent != cases[i].long_queries)
        fail_msg ("%s: %d long queries, not %d", cases[i].name, sent, cases[i].long_queries);
      fl_advisors_free (fixture.advisors);
    }
}

/* --- lost queries --- */

/* The owner and one peer, whose service replies at once. */
struct exchange
{
  struct fixture owner;
  struct fixture peer;
  GByteArray *to_peer; /* the last message */
  GByteArray *to_owner;
  bool service_replies;
  int64_t call_timeout_ms;  /* of the peer's call to the service */
  int64_t call_expected_ms; /* the same */
  int in_time;              /* replies of the service that the owner's caller got */
  int late;
  int unanswered; /* queries that ended without one */
};

static const struct fl_route peer_route = { .address = { .len = 2, .data = "p1" } };

static bool
keep_message (GByteArray *message, const char *data, size_t len)
{
  g_byte_array_set_size (message, 0);
  g_byte_array_append (message, (const guint8 *)data, (guint)len);
  return true;
}

static bool
send_to_one_peer (void *context, const struct fl_route *to, const char *data, size_t len)
{
  (void)to;
  return keep_message (((struct exchange *)context)->to_peer, data, len);
}

static bool
send_to_owner (void *context, const struct fl_route *to, const char *data, size_t len)
{
  (void)to;
  return keep_message (((struct exchange *)context)->to_owner, data, len);
}

static void
reply_to_query (void *context,
                const struct fl_name *step,
                const struct fl_name *targets,
                size_t count,
                int64_t expected_ms,
                int64_t timeout_ms,
                void (*done) (void *context, const struct fl_advice_reply *reply),
                void *done_context)
{
  struct exchange *exchange = context;
  struct fl_advice_reply reply = { .received = exchange->service_replies };

  (void)step;
  (void)targets;
  (void)count;
  exchange->call_timeout_ms = timeout_ms;
  exchange->call_expected_ms = expected_ms;
  done (done_context, &reply);
}

static void
count_reply (void *context,
             const struct fl_name *step,
             const struct fl_name *queried,
             size_t queried_count,
             const struct fl_advice_reply *reply)
{
  struct exchange *exchange = context;

  (void)step;
  (void)queried;
  (void)queried_count;
  exchange->in_time += reply->received && !reply->is_late;
  exchange->late += reply->received && reply->is_late;
  exchange->unanswered += !reply->received;
}

static struct fl_advisors *
exchange_add_host (struct exchange *exchange,
                   struct fixture *fixture,
                   const char *name,
                   const struct fl_advice_calls *calls)
{
  bool is_owner = fixture == &exchange->owner;
  struct fl_advisors_options options = { .host = &fixture->host,
                                         .clock = { read_clock, &exchange->owner },
                                         .calls = calls,
                                         .on_reply = count_reply,
                                         .send = is_owner ? send_to_one_peer : send_to_owner,
                                         .check_peer = check_peer,
                                         .context = exchange };

  fixture->host.loop = ev_default_loop (EVFLAG_AUTO);
  fixture->host.stats = fl_stats_new ();
  fixture->host.log.level = FL_LOG_ERR;
  fixture->host.settings.name = fl_name_of (name);
  return fixture->advisors = fl_advisors_new (&options);
}

/* Sends a query if a host is free. @return whether one was. */
static bool
try_query (struct exchange *exchange)
{
  struct fl_name step = fl_name_of ("0000000000000001.0.0");
  struct fl_name target = fl_name_of ("t1");

  g_byte_array_set_size (exchange->to_peer, 0);
  return fl_advisors_send_query (exchange->owner.advisors, &step, &target, 1,
                                 &(struct fl_advice_demand){ .expected_ms = 1 });
}

/* Sends a query. @return whether it went to the peer. */
static bool
send_query (struct exchange *exchange)
{
  assert_true (try_query (exchange));
  return exchange->to_peer->len > 0;
}

static void
deliver_reply (struct exchange *exchange)
{
  fl_advisors_receive (exchange->peer.advisors, &peer_route, (char *)exchange->to_peer->data,
                       exchange->to_peer->len);
  fl_advisors_receive (exchange->owner.advisors, &peer_route, (char *)exchange->to_owner->data,
                       exchange->to_owner->len);
}

/* A peer ended its call to the service, and the owner its query, 600 ms after the published time: a
 * service that took longer was queried in vain. */
static void
test_late_reply_of_a_peer_counts (void **state)
{
  struct exchange exchange = { .owner = { .now_ms = 100000 },
                               .to_peer = g_byte_array_new (),
                               .to_owner = g_byte_array_new (),
                               .service_replies = true };
  struct fl_advice_calls own_calls = { &exchange.owner, query_service };
  struct fl_advice_calls peer_calls = { &exchange, reply_to_query };

  (void)state;
  exchange_add_host (&exchange, &exchange.owner, "own", &own_calls);
  exchange_add_host (&exchange, &exchange.peer, "p1", &peer_calls);
  fl_advisors_set_peer (exchange.owner.advisors, &peer_route.address, &peer_route.address);
  assert_true (send_query (&exchange));
  exchange.owner.now_ms += 700;
  /* Until the query has timed out. */
  ev_run (ev_default_loop (EVFLAG_AUTO), 0);
  assert_int_equal (exchange.unanswered, 1);
  exchange.owner.now_ms += 2000;
  deliver_reply (&exchange);
  assert_true (exchange.call_timeout_ms > 2700);
  assert_int_equal (exchange.late, 1);
  /* The peer is used again at once. */
  assert_true (send_query (&exchange));
  deliver_reply (&exchange);
  assert_int_equal (exchange.in_time, 1);
  assert_int_equal (exchange.unanswered, 1);
  fl_advisors_free (exchange.owner.advisors);
  fl_advisors_free (exchange.peer.advisors);
  fl_stats_free (exchange.owner.host.stats);
  fl_stats_free (exchange.peer.host.stats);
  g_byte_array_unref (exchange.to_peer);
  g_byte_array_unref (exchange.to_owner);
}

/* A peer didn't know when the reply to its call was due, so that it found a connection silent after
 * 30 s. */
static void
test_peer_knows_expected_time (void **state)
{
  /* A query with the number 1 and a timeout of 127 ms, as a host of an earlier version sends it. */
  static const char earlier[] = "\x97\xc2\x01\xc4\x00\x7f\xc2\x00\x90";
  struct exchange exchange = { .owner = { .now_ms = 100000 },
                               .to_peer = g_byte_array_new (),
                               .to_owner = g_byte_array_new (),
                               .service_replies = true };
  struct fl_advice_calls own_calls = { &exchange.owner, query_service };
  struct fl_advice_calls peer_calls = { &exchange, reply_to_query };

  (void)state;
  exchange_add_host (&exchange, &exchange.owner, "own", &own_calls);
  exchange_add_host (&exchange, &exchange.peer, "p1", &peer_calls);
  fl_advisors_set_peer (exchange.owner.advisors, &peer_route.address, &peer_route.address);
  assert_true (send_query (&exchange));
  deliver_reply (&exchange);
  assert_int_equal (exchange.call_expected_ms, 1);
  /* Earlier versions read seven fields. */
  assert_int_equal (exchange.to_peer->data[0], 0x97);
  fl_advisors_receive (exchange.peer.advisors, &peer_route, earlier, sizeof earlier - 1);
  assert_int_equal (exchange.call_expected_ms, 0);
  assert_int_equal (exchange.call_timeout_ms, 127);
  fl_advisors_free (exchange.owner.advisors);
  fl_advisors_free (exchange.peer.advisors);
  fl_stats_free (exchange.owner.host.stats);
  fl_stats_free (exchange.peer.host.stats);
  g_byte_array_unref (exchange.to_peer);
  g_byte_array_unref (exchange.to_owner);
}

/* The reply of a peer had arrived when the query was overdue, since the owner's process did not run
 * meanwhile; the loop reads it one iteration later. */
static void
test_reply_while_held_up (void **state)
{
  struct exchange exchange = { .owner = { .now_ms = 100000 },
                               .to_peer = g_byte_array_new (),
                               .to_owner = g_byte_array_new (),
                               .service_replies = true };
  struct fl_advice_calls own_calls = { &exchange.owner, query_service };
  struct fl_advice_calls peer_calls = { &exchange, reply_to_query };

  (void)state;
  exchange_add_host (&exchange, &exchange.owner, "own", &own_calls);
  exchange_add_host (&exchange, &exchange.peer, "p1", &peer_calls);
  fl_advisors_set_peer (exchange.owner.advisors, &peer_route.address, &peer_route.address);
  assert_true (send_query (&exchange));
  g_usleep (HELD_UP_MS * 1000);
  exchange.owner.now_ms += HELD_UP_MS;
  ev_run (ev_default_loop (EVFLAG_AUTO), EVRUN_NOWAIT);
  deliver_reply (&exchange);
  assert_int_equal (exchange.in_time, 1);
  assert_int_equal (exchange.unanswered, 0);
  fl_advisors_free (exchange.owner.advisors);
  fl_advisors_free (exchange.peer.advisors);
  fl_stats_free (exchange.owner.host.stats);
  fl_stats_free (exchange.peer.host.stats);
  g_byte_array_unref (exchange.to_peer);
  g_byte_array_unref (exchange.to_owner);
}

/* A reset of the links between hosts loses the queries in flight. Each host that lost one got no
 * other for 2 s, though it was back after 50 ms; with three hosts left, that was most of the time.
 */
static void
test_host_that_is_heard_of_again_gets_queries (void **state)
{
  static const struct
  {
    const char *name;
    bool first_is_answered;
    bool second_is_lost;    /* else the peer says that the service did not reply */
    const char *heard_from; /* host that sends a message after that */
    bool is_used;           /* beside the own host, which is preferred after a loss */
  } cases[] = {
    { "lost, then heard from", true, true, "p1", true },
    { "lost, nothing heard", true, true, "", false },
    { "lost, another host heard from", true, true, "p2", false },
    { "two lost in a row", false, true, "p1", false },
    { "service does not reply to the peer", true, false, "p1", false },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct exchange exchange = { .owner = { .now_ms = 100000 },
                                   .to_peer = g_byte_array_new (),
                                   .to_owner = g_byte_array_new (),
                                   .service_replies = true };
      struct fl_advice_calls own_calls = { &exchange.owner, query_service };
      struct fl_advice_calls peer_calls = { &exchange, reply_to_query };
      struct ev_loop *loop = ev_default_loop (EVFLAG_AUTO);
      struct fl_name heard_from = fl_name_of (cases[i].heard_from);

      exchange_add_host (&exchange, &exchange.owner, "own", &own_calls);
      exchange_add_host (&exchange, &exchange.peer, "p1", &peer_calls);
      fl_advisors_set_peer (exchange.owner.advisors, &peer_route.address, &peer_route.address);
      if (cases[i].first_is_answered)
        {
          assert_true (send_query (&exchange));
          deliver_reply (&exchange);
        }
      assert_true (send_query (&exchange));
      exchange.service_replies = false;
      if (cases[i].second_is_lost)
        exchange.owner.now_ms += 1000;
      else
        deliver_reply (&exchange);
      /* Until the query has timed out. */
      ev_run (loop, 0);
      fl_advisors_note_message (exchange.owner.advisors, &heard_from);
      assert_false (send_query (&exchange));
      if (try_query (&exchange) != cases[i].is_used)
        fail_msg ("%s: the peer gets %s query", cases[i].name, cases[i].is_used ? "no" : "a");
      fl_advisors_free (exchange.owner.advisors);
      fl_advisors_free (exchange.peer.advisors);
      fl_stats_free (exchange.owner.host.stats);
      fl_stats_free (exchange.peer.host.stats);
      g_byte_array_unref (exchange.to_peer);
      g_byte_array_unref (exchange.to_owner);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_query_that_was_not_sent_takes_another_host),
          cmocka_unit_test (test_lost_hosts_do_not_hold_back_long_queries),
          cmocka_unit_test (test_hosts_are_left_free_for_short_queries_that_come),
          cmocka_unit_test (test_late_reply_of_a_peer_counts),
          cmocka_unit_test (test_peer_knows_expected_time),
          cmocka_unit_test (test_reply_while_held_up),
          cmocka_unit_test (test_host_that_is_heard_of_again_gets_queries) };

  return cmocka_run_group_tests_name ("advisors", tests, NULL, NULL);
}
