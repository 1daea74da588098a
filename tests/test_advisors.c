/* Choice of the host that passes an advice query on, with a fake link and a fake service. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "poold/advisors.h"

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

static void
query_service (void *context,
               const struct fl_name *step,
               const struct fl_name *targets,
               size_t count,
               int64_t timeout_ms,
               void (*done) (void *context, const struct fl_advice_reply *reply),
               void *done_context)
{
  struct fixture *fixture = context;

  (void)step;
  (void)targets;
  (void)count;
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
      struct fl_advisors_options options = { .host = &fixture.host,
                                             .clock = { read_clock, &fixture },
                                             .calls = &calls,
                                             .on_reply = on_reply,
                                             .send = send_to_peer,
                                             .context = &fixture };
      struct fl_name step = fl_name_of ("0000000000000001.0.0");
      struct fl_name target = fl_name_of ("t1");
      struct fl_name peers[] = { fl_name_of ("p1"), fl_name_of ("p2") };

      fixture.host.loop = ev_default_loop (EVFLAG_AUTO);
      fixture.host.settings.name = fl_name_of ("own");
      fixture.advisors = fl_advisors_new (&options);
      for (size_t j = 0; j < G_N_ELEMENTS (peers); j++)
        fl_advisors_set_peer (fixture.advisors, &peers[j], &peers[j]);
      assert_true (fl_advisors_send_query (fixture.advisors, &step, &target, 1, 100));
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
  struct fl_advisors_options options = { .host = &fixture.host,
                                         .clock = { read_clock, &fixture },
                                         .calls = &calls,
                                         .on_reply = on_reply,
                                         .send = send_to_peer,
                                         .context = &fixture };
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
  while (fl_advisors_send_query (fixture.advisors, &step, &target, 1, 600))
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
  } cases[] = {
    { "4 hosts, no short query", 3, -1, 4 },
    { "4 hosts, a short query just before", 3, 0, 3 },
    { "4 hosts, a short query a moment ago", 3, 499, 3 },
    { "4 hosts, the last short query long ago", 3, 500, 4 },
    { "2 hosts, a short query just before", 1, 0, 2 },
    { "9 hosts, no short query", 8, -1, 9 },
    { "9 hosts, a short query just before", 8, 0, 7 },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fixture fixture = { .unreachable = "", .now_ms = 100000 };
      struct fl_advice_calls calls = { &fixture, query_service };
      struct fl_advisors_options options = { .host = &fixture.host,
                                             .clock = { read_clock, &fixture },
                                             .calls = &calls,
                                             .on_reply = on_reply,
                                             .send = send_to_peer,
                                             .context = &fixture };
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
          assert_true (fl_advisors_are_available (fixture.advisors, 25));
          fixture.now_ms += cases[i].short_wanted_ms_ago;
        }
      while (fl_advisors_send_query (fixture.advisors, &step, &target, 1, 600))
        sent++;
      if (sent != cases[i].long_queries)
        fail_msg ("%s: %d long queries, not %d", cases[i].name, sent, cases[i].long_queries);
      fl_advisors_free (fixture.advisors);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_query_that_was_not_sent_takes_another_host),
          cmocka_unit_test (test_lost_hosts_do_not_hold_back_long_queries),
          cmocka_unit_test (test_hosts_are_left_free_for_short_queries_that_come) };

  return cmocka_run_group_tests_name ("advisors", tests, NULL, NULL);
}
