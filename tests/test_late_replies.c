/* Targets whose replies are later than usual, on a virtual clock: the limit of an order follows the
 * time that replies take, and late replies count. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "core/core.h"
#include "support_core.h"

#define STEP_MS 5
#define LEASE_MS 4500
#define PROMPT_MS 5

/* A heartbeat to the only target, until its reply has arrived. */
struct heartbeat
{
  struct fl_heartbeat_order order;
  int64_t sent_ms;
  int64_t reply_ms; /* when the reply arrives */
  bool is_late;     /* the core was told that there is no reply */
};

/* A start of the only task, until its reply has arrived. */
struct start
{
  struct fl_start_order order;
  int64_t reply_ms;
  int64_t limit_ms; /* when its limit is over */
  enum fl_order_result result;
  bool is_late;
};

struct slow_target
{
  struct fixture *fixture;
  struct fl_name id;
  int64_t delay_ms; /* of replies to what is sent from now on */
  bool is_lost;     /* nothing is replied to any more */
  bool in_flight;
  GArray *heartbeats; /* struct heartbeat */
  GArray *starts;     /* struct start */
  guint starts_seen;
  struct fl_run_row run; /* run is 0 while none runs */
  int64_t run_from_ms;
  int64_t lease_ms;  /* end of its lease */
  int64_t silent_ms; /* total time for which it counted as silent */
  int64_t silent_from_ms;
  int64_t lapsed_ms;        /* total time without a lease */
  bool has_end;             /* its reports list an end, number 1 */
  int64_t acknowledged_end; /* by the last heartbeat */
};

static void
slow_target_init (struct slow_target *target, int64_t delay_ms)
{
  *target
      = (struct slow_target){ .fixture = fixture_new (0),
                              .id = fl_name_of ("t1"),
                              .delay_ms = delay_ms,
                              .heartbeats = g_array_new (FALSE, FALSE, sizeof (struct heartbeat)),
                              .starts = g_array_new (FALSE, FALSE, sizeof (struct start)) };
  add_entry (target->fixture, "t1", 4, false);
}

static void
slow_target_clear (struct slow_target *target)
{
  g_array_unref (target->heartbeats);
  g_array_unref (target->starts);
  fixture_free (target->fixture);
}

static bool
is_silent (const struct slow_target *target)
{
  g_autoptr (GString) dump = g_string_new (NULL);

  fl_core_dump (target->fixture->core, dump);
  return strstr (dump->str, "\"silent\":true") != NULL;
}

static void
send_heartbeat (struct slow_target *target)
{
  int64_t now_ms = target->fixture->now_ms;
  struct heartbeat heartbeat = { .sent_ms = now_ms };

  if (target->in_flight
      || !fl_core_prepare_heartbeat (target->fixture->core, &target->id, now_ms, &heartbeat.order))
    return;
  heartbeat.reply_ms
      = target->is_lost ? INT64_MAX : now_ms + heartbeat.order.wait_ms + target->delay_ms;
  if (!target->is_lost)
    target->lease_ms = MAX (target->lease_ms, heartbeat.order.deadline_ms);
  target->in_flight = true;
  target->acknowledged_end = heartbeat.order.last_recorded_end;
  g_array_append_val (target->heartbeats, heartbeat);
}

/* The clock of the target is that of the owner. Its reply is as old as its delay. */
static void
deliver_reply (struct slow_target *target, const struct heartbeat *heartbeat)
{
  struct fl_core *core = target->fixture->core;
  int64_t now_ms = target->fixture->now_ms;
  struct fl_target_report report
      = { .booted_at_ms = 1, .clock_ms = heartbeat->sent_ms + heartbeat->order.wait_ms };
  struct fl_order_reply reply = { .result = FL_ORDER_DONE, .report = &report };
  struct fl_end_row end = { .number = 1, .task = fl_name_of ("gone.0.0.0"), .run = 1 };

  if (target->has_end)
    {
      report.ends = &end;
      report.end_count = 1;
    }
  if (target->run.run > 0 && target->run_from_ms <= report.clock_ms)
    {
      target->run.progress_percent = (report.clock_ms - target->run_from_ms) / 200;
      report.runs = &target->run;
      report.run_count = 1;
    }
  fl_core_handle_reply_time (core, &target->id, &reply, heartbeat->sent_ms,
                             heartbeat->order.wait_ms, now_ms);
  if (heartbeat->is_late)
    return;
  target->in_flight = false;
  fl_core_handle_heartbeat_reply (core, &target->id, &reply, heartbeat->sent_ms, now_ms);
}

static void
handle_heartbeats (struct slow_target *target)
{
  static const struct fl_order_reply no_reply = { .result = FL_ORDER_NO_REPLY };
  int64_t now_ms = target->fixture->now_ms;

  for (guint i = target->heartbeats->len; i > 0; i--)
    {
      struct heartbeat *heartbeat = &g_array_index (target->heartbeats, struct heartbeat, i - 1);
      int64_t waited_ms = now_ms - heartbeat->sent_ms - heartbeat->order.wait_ms;
      if (now_ms >= heartbeat->reply_ms)
        {
          deliver_reply (target, heartbeat);
          g_array_remove_index_fast (target->heartbeats, i - 1);
        }
      else if (!heartbeat->is_late && waited_ms >= heartbeat->order.reply_limit_ms)
        {
          heartbeat->is_late = true;
          target->in_flight = false;
          fl_core_handle_heartbeat_reply (target->fixture->core, &target->id, &no_reply,
                                          heartbeat->sent_ms, now_ms);
        }
    }
}

/* Executes the starts that were ordered since the last call. */
static void
execute_starts (struct slow_target *target)
{
  struct fixture *fixture = target->fixture;

  for (; target->starts_seen < fixture->start_orders->len; target->starts_seen++)
    {
      const struct fl_start_order *order = get_start_order (fixture, target->starts_seen);
      struct start start = { .order = *order,
                             .reply_ms = fixture->now_ms + target->delay_ms,
                             .limit_ms = fixture->now_ms + order->reply_limit_ms };
      start.result
          = fixture->now_ms <= order->deadline_ms ? FL_ORDER_DONE : FL_ORDER_DEADLINE_PASSED;
      if (start.result == FL_ORDER_DONE && target->run.run == 0)
        {
          target->run = (struct fl_run_row){ .task = order->task, .run = order->run };
          target->run_from_ms = fixture->now_ms;
        }
      g_array_append_val (target->starts, start);
    }
}

static void
handle_starts (struct slow_target *target)
{
  struct fl_core *core = target->fixture->core;
  int64_t now_ms = target->fixture->now_ms;

  execute_starts (target);
  for (guint i = target->starts->len; i > 0; i--)
    {
      struct start *start = &g_array_index (target->starts, struct start, i - 1);
      struct fl_order_reply reply = { .result = start->result };
      if (now_ms >= start->reply_ms)
        {
          fl_core_handle_reply_time (core, &target->id, &reply, start->reply_ms - target->delay_ms,
                                     0, now_ms);
          if (!start->is_late || start->result == FL_ORDER_DONE)
            fl_core_handle_start_reply (core, &start->order.task, start->order.run, start->result,
                                        now_ms);
          g_array_remove_index_fast (target->starts, i - 1);
        }
      else if (!start->is_late && now_ms >= start->limit_ms)
        {
          start->is_late = true;
          fl_core_handle_start_reply (core, &start->order.task, start->order.run, FL_ORDER_NO_REPLY,
                                      now_ms);
        }
    }
}

/* Lets @ms pass. */
static void
pass (struct slow_target *target, int64_t ms)
{
  struct fixture *fixture = target->fixture;

  for (int64_t end_ms = fixture->now_ms + ms; fixture->now_ms < end_ms;)
    {
      fixture->now_ms += STEP_MS;
      handle_heartbeats (target);
      handle_starts (target);
      fl_core_tick (fixture->core, fixture->now_ms, fixture->now_ms);
      while (store_records (fixture) > 0)
        ;
      send_heartbeat (target);
      bool silent = is_silent (target);
      if (silent && target->silent_from_ms == 0)
        target->silent_from_ms = fixture->now_ms;
      target->silent_ms += silent ? STEP_MS : 0;
      target->lapsed_ms += target->lease_ms > 0 && fixture->now_ms > target->lease_ms ? STEP_MS : 0;
    }
}

/* A reply later than 300 ms after the wait was never accepted: the target was silent for as long as
 * it was slow, got no tasks, and its leases lapsed. */
static void
test_slow_target_stays_in_use (void **state)
{
  static const struct
  {
    int64_t before_ms; /* delay of replies in the first 10 s */
    int64_t delay_ms;
    int64_t most_silent_ms; /* in the 30 s after that */
  } cases[] = {
    { PROMPT_MS, 100, 0 },    { PROMPT_MS, 250, 0 },    { PROMPT_MS, 350, 1000 },
    { PROMPT_MS, 500, 1500 }, { PROMPT_MS, 800, 2000 }, { PROMPT_MS, 1500, 3500 },
    { 350, 350, 0 },          { 800, 800, 0 },          { 1500, 1500, 0 },
    { 350, 800, 2000 },       { 800, 1500, 3500 },      { 1500, PROMPT_MS, 0 },
  };
  int failures = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct slow_target target;
      slow_target_init (&target, cases[i].before_ms);
      pass (&target, 10000);
      target.silent_ms = 0;
      target.delay_ms = cases[i].delay_ms;
      pass (&target, 30000);
      printf ("  %d ms, then %d ms: silent for %d ms\n", (int)cases[i].before_ms,
              (int)cases[i].delay_ms, (int)target.silent_ms);
      if (target.silent_ms > cases[i].most_silent_ms || target.lapsed_ms > 0 || is_silent (&target))
        {
          print_error ("%d ms, then %d ms: silent for %d ms, without a lease for %d ms\n",
                       (int)cases[i].before_ms, (int)cases[i].delay_ms, (int)target.silent_ms,
                       (int)target.lapsed_ms);
          failures++;
        }
      slow_target_clear (&target);
    }
  assert_int_equal (failures, 0);
}

/* A start without a reply within 200 ms was sent again with the same limit, and the run was stopped
 * after the fourth: from 200 ms on, no task that lasts longer was ever done. */
static void
test_run_on_slow_target_is_not_stopped (void **state)
{
  static const struct
  {
    int64_t before_ms; /* delay of replies in the first 10 s */
    int64_t delay_ms;  /* when the task is started, and for 10 s after that */
    guint starts;      /* orders for the run, its first run, at most */
    guint stops;       /* at most: 1 if the target counts as silent before its first late reply */
  } cases[] = {
    { PROMPT_MS, 150, 1, 0 }, { PROMPT_MS, 250, 2, 0 }, { PROMPT_MS, 350, 2, 0 },
    { PROMPT_MS, 500, 2, 0 }, { PROMPT_MS, 800, 3, 0 }, { PROMPT_MS, 1500, 4, 1 },
    { 250, 250, 1, 0 },       { 350, 350, 1, 0 },       { 800, 800, 1, 0 },
    { 1500, 1500, 1, 0 },
  };
  int failures = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct slow_target target;
      struct fl_step_spec step = { .count = 1, .cpu_milli = 1000, .memory_mb = 1 };
      slow_target_init (&target, cases[i].before_ms);
      pass (&target, 10000);
      target.delay_ms = cases[i].delay_ms;
      add_job (target.fixture, "00000000000000aa", "urgent", step);
      pass (&target, 10000);
      guint starts = target.fixture->start_orders->len;
      if (target.run.run != 1 || starts > cases[i].starts
          || target.fixture->stop_orders->len > cases[i].stops)
        {
          print_error ("%d ms, then %d ms: %s, %u orders, %u stops\n", (int)cases[i].before_ms,
                       (int)cases[i].delay_ms, target.run.run == 1 ? "started" : "not started",
                       starts, target.fixture->stop_orders->len);
          failures++;
        }
      slow_target_clear (&target);
    }
  assert_int_equal (failures, 0);
}

/* The limit for a target that has replied promptly stays as it is. */
static void
test_prompt_target_is_missed_as_soon_as_before (void **state)
{
  static const struct
  {
    const char *name;
    int64_t slow_ms; /* for how long replies take 800 ms, before 15 s of prompt ones */
  } cases[] = { { "always prompt", 0 }, { "slow once", 1000 }, { "slow for long", 20000 } };
  int failures = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct slow_target target;
      slow_target_init (&target, PROMPT_MS);
      pass (&target, 5000);
      target.delay_ms = cases[i].slow_ms > 0 ? 800 : PROMPT_MS;
      pass (&target, cases[i].slow_ms);
      target.delay_ms = PROMPT_MS;
      pass (&target, 15000);
      assert_false (is_silent (&target));
      target.silent_from_ms = 0;
      target.is_lost = true;
      int64_t lost_ms = target.fixture->now_ms;
      pass (&target, 3000);
      int64_t took_ms = target.silent_from_ms - lost_ms;
      /* The heartbeat in flight gets its reply, and the next one waits for 1,000 ms. */
      if (target.silent_from_ms == 0 || took_ms > 1000 + 1000 + 300 + 4 * STEP_MS)
        {
          print_error ("%s: silent after %d ms\n", cases[i].name, (int)took_ms);
          failures++;
        }
      slow_target_clear (&target);
    }
  assert_int_equal (failures, 0);
}

/* Replies that were read late, since this host was suspended, say nothing of the targets. */
static void
test_suspension_does_not_widen_limits (void **state)
{
  struct slow_target target;

  (void)state;
  slow_target_init (&target, PROMPT_MS);
  pass (&target, 5000);
  target.fixture->now_ms += 1500;
  pass (&target, 4000);
  for (guint i = 0; i < target.heartbeats->len; i++)
    assert_int_equal (g_array_index (target.heartbeats, struct heartbeat, i).order.reply_limit_ms,
                      300);
  assert_true (target.heartbeats->len > 0);
  slow_target_clear (&target);
}

/* With reports that were used however late they came, a heartbeat could acknowledge an end of the
 * next boot of its target, which nobody had read. */
static void
test_slow_report_acknowledges_no_end (void **state)
{
  static const struct
  {
    const char *name;
    int64_t delay_ms;
    int64_t acknowledged_end;
  } cases[] = { { "prompt", PROMPT_MS, 1 }, { "400 ms", 400, 1 }, { "700 ms", 700, 0 } };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct slow_target target;

      slow_target_init (&target, cases[i].delay_ms);
      target.has_end = true;
      pass (&target, 10000);
      if (target.acknowledged_end != cases[i].acknowledged_end)
        fail_msg ("%s: end %d acknowledged", cases[i].name, (int)target.acknowledged_end);
      /* Once the target is prompt, it is. */
      target.delay_ms = PROMPT_MS;
      pass (&target, 5000);
      assert_int_equal (target.acknowledged_end, 1);
      slow_target_clear (&target);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_slow_target_stays_in_use),
          cmocka_unit_test (test_run_on_slow_target_is_not_stopped),
          cmocka_unit_test (test_prompt_target_is_missed_as_soon_as_before),
          cmocka_unit_test (test_suspension_does_not_widen_limits),
          cmocka_unit_test (test_slow_report_acknowledges_no_end) };

  return cmocka_run_group_tests_name ("late replies", tests, NULL, NULL);
}
