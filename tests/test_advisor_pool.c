/* Choice of the host for an advice query and the time after which its reply is overdue, with hosts
 * that reply as the cases say, on a virtual clock. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "poold/advisor_pool.h"

#define HOSTS_MAX 8
#define QUERY_INTERVAL_MS 400
#define DAY_MS 60000
#define CALLS_MAX 2000

/* The advice service as one host reaches it: calls are handled in turn, also those whose caller has
 * given up. */
struct service
{
  int64_t busy_until_ms[HOSTS_MAX];
};

struct call
{
  int64_t number;
  int64_t replied_ms;
  bool replies;
};

struct course
{
  const char *name;
  int hosts;
  int64_t expected_ms;
  int64_t added_ms; /* to each call, from_ms to until_ms */
  int64_t factor;   /* of its time */
  int64_t from_ms;
  int64_t until_ms;
  int hung_hosts; /* whose calls have no reply for hang_ms, from_ms to until_ms */
  int64_t hang_ms;
  int64_t wait_max_ms; /* longest wait of a step for its reply */
};

static struct fl_advisor_pool *
new_pool (int hosts)
{
  struct fl_name own = fl_name_of ("h0");
  struct fl_advisor_pool *pool = fl_advisor_pool_new (&own);

  for (int i = 1; i < hosts; i++)
    {
      struct fl_name host = fl_name_format ("h%d", i);
      fl_advisor_pool_set_peer (pool, &host, &host);
    }
  return pool;
}

static bool
is_disturbed (const struct course *course, int64_t now_ms)
{
  return now_ms >= course->from_ms && now_ms < course->until_ms;
}

/* @return when the service replies to the call of a host that is sent at @now_ms. */
static int64_t
serve (struct service *service, const struct course *course, int host, int64_t now_ms)
{
  int64_t begins_ms = MAX (now_ms, service->busy_until_ms[host]);
  int64_t takes_ms = course->expected_ms;

  if (is_disturbed (course, begins_ms))
    takes_ms = takes_ms * MAX (course->factor, 1) + course->added_ms;
  if (is_disturbed (course, begins_ms) && host < course->hung_hosts)
    takes_ms = course->hang_ms;
  return service->busy_until_ms[host] = begins_ms + takes_ms;
}

/* A step that waits for a reply to one of its queries. */
struct step
{
  int64_t asked_ms;
  bool is_waiting;
  bool has_query;
};

struct day
{
  const struct course *course;
  struct fl_advisor_pool *pool;
  struct service service;
  GArray *steps;        /* struct step */
  GArray *calls;        /* struct call */
  GHashTable *step_ids; /* query number -> index of its step */
  int64_t longest_wait_ms;
};

static struct step *
find_step (struct day *day, int64_t number)
{
  guint index = GPOINTER_TO_UINT (g_hash_table_lookup (day->step_ids, (void *)(intptr_t)number));

  return &g_array_index (day->steps, struct step, index);
}

static void
handle_replies (struct day *day, int64_t now_ms)
{
  struct fl_advisor_query query;

  for (guint i = day->calls->len; i > 0; i--)
    {
      struct call call = g_array_index (day->calls, struct call, i - 1);
      if (call.replied_ms > now_ms)
        continue;
      g_array_remove_index_fast (day->calls, i - 1);
      struct step *step = find_step (day, call.number);
      if (fl_advisor_pool_finish (day->pool, call.number, true, now_ms, &query)
              == FL_ADVISOR_UNKNOWN
          || !step->is_waiting)
        continue;
      step->is_waiting = false;
      day->longest_wait_ms = MAX (day->longest_wait_ms, now_ms - step->asked_ms);
    }
  while (fl_advisor_pool_take_overdue (day->pool, now_ms, &query))
    find_step (day, query.number)->has_query = false;
}

static void
send_queries (struct day *day, int64_t now_ms)
{
  struct fl_advisor_query query;

  for (guint i = 0; i < day->steps->len; i++)
    {
      struct step *step = &g_array_index (day->steps, struct step, i);
      struct fl_advice_demand demand = { day->course->expected_ms, now_ms - step->asked_ms };
      if (!step->is_waiting || step->has_query
          || !fl_advisor_pool_begin (day->pool, &demand, now_ms, &query))
        continue;
      step->has_query = true;
      g_hash_table_insert (day->step_ids, (void *)(intptr_t)query.number, GUINT_TO_POINTER (i));
      struct call call
          = { .number = query.number,
              .replied_ms = serve (&day->service, day->course, query.host.data[1] - '0', now_ms) };
      g_array_append_val (day->calls, call);
    }
}

/* @return the longest wait of a step for its reply, also of those that wait at the end. */
static int64_t
play (const struct course *course)
{
  struct day day = { .course = course,
                     .pool = new_pool (course->hosts),
                     .steps = g_array_new (FALSE, TRUE, sizeof (struct step)),
                     .calls = g_array_new (FALSE, TRUE, sizeof (struct call)),
                     .step_ids = g_hash_table_new (NULL, NULL) };

  for (int64_t now_ms = 0; now_ms < DAY_MS; now_ms += 10)
    {
      if (now_ms % QUERY_INTERVAL_MS == 0)
        {
          struct step step = { .asked_ms = now_ms, .is_waiting = true };
          g_array_append_val (day.steps, step);
        }
      handle_replies (&day, now_ms);
      send_queries (&day, now_ms);
    }
  for (guint i = 0; i < day.steps->len; i++)
    {
      const struct step *step = &g_array_index (day.steps, struct step, i);
      if (step->is_waiting)
        day.longest_wait_ms = MAX (day.longest_wait_ms, DAY_MS - step->asked_ms);
    }
  fl_advisor_pool_free (day.pool);
  g_array_unref (day.steps);
  g_array_unref (day.calls);
  g_hash_table_unref (day.step_ids);
  return day.longest_wait_ms;
}

/* Replies later than the published time by more than a fixed slack were thrown away, and the query
 * repeated with the same slack, for as long as the service was slow. */
static void
test_replies_later_than_published (void **state)
{
  static const struct course courses[] = {
    { "as published", 7, 480, 0, 1, 0, DAY_MS, 0, 0, 500 },
    { "450 ms later", 7, 480, 450, 1, 0, DAY_MS, 0, 0, 1000 },
    { "700 ms later", 7, 480, 700, 1, 0, DAY_MS, 0, 0, 3000 },
    { "1,500 ms later", 7, 480, 1500, 1, 0, DAY_MS, 0, 0, 3000 },
    { "three times as long", 7, 480, 0, 3, 0, DAY_MS, 0, 0, 3000 },
    { "short queries, 700 ms later", 7, 30, 700, 1, 0, DAY_MS, 0, 0, 3000 },
    { "900 ms later for 6 s", 7, 480, 900, 1, 8000, 14000, 0, 0, 3000 },
    { "two hosts hang for 30 s", 7, 480, 0, 1, 8000, 8500, 2, 30000, 3000 },
    { "four of seven hosts hang for 30 s", 7, 480, 0, 1, 8000, 9500, 4, 30000, 3000 },
    { "two hosts, 200 ms later", 2, 480, 200, 1, 0, DAY_MS, 0, 0, 3000 },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (courses); i++)
    {
      int64_t wait_ms = play (&courses[i]);
      print_message ("  %s: %d ms\n", courses[i].name, (int)wait_ms);
      if (wait_ms > courses[i].wait_max_ms)
        fail_msg ("%s: a step waited for %d ms", courses[i].name, (int)wait_ms);
    }
}

/* --- one host --- */

static const struct fl_advice_demand demand_480 = { .expected_ms = 480 };

/* Ends the query in flight without a reply once it is overdue. @return when. */
static int64_t
let_time_out (struct fl_advisor_pool *pool)
{
  struct fl_advisor_query query;
  int64_t now_ms = fl_advisor_pool_next_overdue_ms (pool);

  assert_false (fl_advisor_pool_take_overdue (pool, now_ms - 1, &query));
  assert_true (fl_advisor_pool_take_overdue (pool, now_ms, &query));
  return now_ms;
}

/* A host whose queries had no reply got another one every 2 s, each of which waited behind the
 * calls that had been given up. */
static void
test_host_without_replies_backs_off_longer_each_time (void **state)
{
  static const struct
  {
    const char *name;
    bool is_rejected; /* the call fails at once, else it has no reply */
    int64_t backoffs_ms[5];
  } cases[] = {
    { "no reply", false, { 2000, 4000, 8000, 16000, 16000 } },
    { "rejected", true, { 250, 500, 1000, 2000, 2000 } },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fl_advisor_pool *pool = new_pool (1);
      struct fl_advisor_query query;
      struct fl_advisor_query first = { 0 };
      int64_t now_ms = 1000;

      for (size_t j = 0; j < G_N_ELEMENTS (cases[i].backoffs_ms); j++)
        {
          if (!fl_advisor_pool_begin (pool, &demand_480, now_ms, &query))
            fail_msg ("%s: query %zu is not sent", cases[i].name, j + 1);
          if (j == 0)
            first = query;
          if (cases[i].is_rejected)
            fl_advisor_pool_finish (pool, query.number, false, now_ms, &query);
          else
            now_ms = let_time_out (pool);
          now_ms += cases[i].backoffs_ms[j];
          if (fl_advisor_pool_is_available (pool, &demand_480, now_ms - 1))
            fail_msg ("%s: used again too early after query %zu", cases[i].name, j + 1);
        }
      /* The reply to any of its queries ends the backoff. */
      if (!cases[i].is_rejected)
        {
          assert_int_equal (fl_advisor_pool_finish (pool, first.number, true, now_ms - 1, &query),
                            FL_ADVISOR_OVERDUE);
          assert_int_equal (query.number, first.number);
        }
      else
        {
          assert_true (fl_advisor_pool_begin (pool, &demand_480, now_ms, &query));
          fl_advisor_pool_finish (pool, query.number, true, now_ms, &query);
        }
      assert_true (fl_advisor_pool_is_available (pool, &demand_480, now_ms));
      assert_int_equal (fl_advisor_pool_finish (pool, first.number, true, now_ms, &query),
                        FL_ADVISOR_UNKNOWN);
      fl_advisor_pool_free (pool);
    }
}

/* After an outage of the service, hosts whose calls had ended without a reply stayed out for up to
 * 16 s. */
static void
test_host_is_used_soon_after_its_call_has_ended (void **state)
{
  struct fl_advisor_pool *pool = new_pool (1);
  struct fl_advisor_query query;
  int64_t now_ms = 1000;

  (void)state;
  for (int i = 0; i < 4; i++)
    {
      assert_true (fl_advisor_pool_begin (pool, &demand_480, now_ms, &query));
      now_ms = let_time_out (pool);
      now_ms += 2000 << i;
    }
  assert_true (fl_advisor_pool_begin (pool, &demand_480, now_ms, &query));
  now_ms = let_time_out (pool);
  assert_false (fl_advisor_pool_is_available (pool, &demand_480, now_ms + 15999));
  assert_int_equal (fl_advisor_pool_finish (pool, query.number, false, now_ms, &query),
                    FL_ADVISOR_OVERDUE);
  assert_true (fl_advisor_pool_is_available (pool, &demand_480, now_ms + 2000));
  fl_advisor_pool_free (pool);
}

/* A host whose connection had gone silent was queried over it again and again, up to 16 s apart. */
static void
test_host_is_used_soon_over_another_connection (void **state)
{
  static const struct
  {
    const char *name;
    int lost_before; /* queries in a row without a reply, over the connection before */
    int64_t backoff_ms;
  } cases[] = { { "the first query is lost", 0, 100 }, { "the second one is lost", 1, 4000 } };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fl_advisor_pool *pool = new_pool (1);
      struct fl_name own = fl_name_of ("h0");
      struct fl_advisor_query query;
      int64_t now_ms = 1000;

      fl_advisor_pool_set_peer (pool, &own, &own);
      for (int j = 0; j <= cases[i].lost_before; j++)
        {
          assert_true (fl_advisor_pool_begin (pool, &demand_480, now_ms, &query));
          now_ms = let_time_out (pool) + (j < cases[i].lost_before ? 2000 : 0);
        }
      fl_advisor_pool_note_reconnect (pool, &own, now_ms);
      if (fl_advisor_pool_is_available (pool, &demand_480, now_ms + cases[i].backoff_ms - 1)
          || !fl_advisor_pool_is_available (pool, &demand_480, now_ms + cases[i].backoff_ms))
        fail_msg ("%s: not used again after %d ms", cases[i].name, (int)cases[i].backoff_ms);
      fl_advisor_pool_free (pool);
    }
}

/* The late replies of one host widened the limits of all. */
static void
test_one_slow_host_does_not_widen_the_limit (void **state)
{
  static const struct
  {
    const char *name;
    int slow_hosts; /* of 7, each of which has one reply 8 s late */
    int64_t slack_ms;
  } cases[] = { { "none", 0, 600 }, { "one", 1, 600 }, { "most", 4, 3000 } };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fl_advisor_pool *pool = new_pool (7);
      struct fl_advisor_query queries[7];
      struct fl_advisor_query query;

      for (int j = 0; j < 7; j++)
        assert_true (fl_advisor_pool_begin (pool, &demand_480, 0, &queries[j]));
      for (int j = cases[i].slow_hosts; j < 7; j++)
        fl_advisor_pool_finish (pool, queries[j].number, true, 480, &query);
      while (fl_advisor_pool_take_overdue (pool, 8480, &query))
        ;
      for (int j = 0; j < cases[i].slow_hosts; j++)
        assert_int_equal (fl_advisor_pool_finish (pool, queries[j].number, true, 8480, &query),
                          FL_ADVISOR_OVERDUE);
      assert_true (fl_advisor_pool_begin (pool, &demand_480, 10000, &query));
      if (fl_advisor_pool_next_overdue_ms (pool) != 10480 + cases[i].slack_ms)
        fail_msg ("%s: overdue at %d ms", cases[i].name,
                  (int)fl_advisor_pool_next_overdue_ms (pool));
      fl_advisor_pool_free (pool);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_replies_later_than_published),
          cmocka_unit_test (test_host_without_replies_backs_off_longer_each_time),
          cmocka_unit_test (test_host_is_used_soon_after_its_call_has_ended),
          cmocka_unit_test (test_host_is_used_soon_over_another_connection),
          cmocka_unit_test (test_one_slow_host_does_not_widen_the_limit) };

  return cmocka_run_group_tests_name ("advisor_pool", tests, NULL, NULL);
}
