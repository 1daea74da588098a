/* Plans: the reasons that they give, and that they change nothing. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "core/core_internal.h"
#include "support_core.h"

/* @return the plan for a job of one step, or the error; owned by the caller. */
static char *
plan (struct fixture *fixture, const char *queue, const char *team, struct fl_step_spec step)
{
  struct fl_job_spec spec = { .id = fl_name_of ("0000000000000000"),
                              .queue = fl_name_of (queue),
                              .team = fl_name_of (team),
                              .steps = { 1, &step } };
  GString *out = g_string_new (NULL);
  struct fl_error error = { 0 };

  if (!fl_core_plan_job (fixture->core, &spec, out, &error))
    g_string_assign (out, error.text);
  return g_string_free (out, FALSE);
}

static void
assert_contains (const char *text, const char *part)
{
  if (strstr (text, part) == NULL)
    fail_msg ("no \"%s\" in:\n%s", part, text);
}

/* --- reasons against a target --- */

struct reason_case
{
  const char *text;
  enum core_target_reason reason;
  struct fl_step_spec step;
};

/* Makes @reason hold for @target, which takes tasks. */
static void
bring_about (struct fixture *fixture, struct core_target *target, enum core_target_reason reason)
{
  static struct core_run watched;

  switch (reason)
    {
    case CORE_TARGET_NOT_REGISTERED:
      target->registered = false;
      break;
    case CORE_TARGET_ENTRY_UNREADABLE:
      fl_core_note_unreadable_entry (fixture->core, &target->entry.id);
      break;
    case CORE_TARGET_OTHER_SERVICE:
      target->entry.service = fl_name_of ("other");
      break;
    case CORE_TARGET_REGISTRY_OLD:
      fl_core_confirm_registry (fixture->core, fixture->now_ms - 10000);
      break;
    case CORE_TARGET_NOT_RECORDED:
      target->recorded = false;
      break;
    case CORE_TARGET_NOT_REPORTED:
      target->reported = false;
      break;
    case CORE_TARGET_SILENT:
      deliver_result (fixture, "t1", FL_ORDER_NO_REPLY);
      break;
    case CORE_TARGET_NOT_FENCED:
      target->is_fenced = false;
      break;
    case CORE_TARGET_OTHER_BOOT:
      target->entry.booted_at_ms = 77;
      break;
    case CORE_TARGET_DRAINING:
      add_entry (fixture, "t1", 4, true);
      break;
    case CORE_TARGET_STALE_RUNS:
      target->stale_runs = 1;
      break;
    case CORE_TARGET_QUARANTINED:
      target->quarantined_until_ms = INT64_MAX;
      break;
    case CORE_TARGET_EVACUATED:
      target->is_evacuated = true;
      break;
    case CORE_TARGET_DOMAINS_UNKNOWN:
      fixture->core->options.evacuation_ms = 1000;
      break;
    case CORE_TARGET_WATCHED:
      target->watched_run = &watched;
      break;
    default:
      break;
    }
}

static void
test_reasons (void **state)
{
  static const struct reason_case cases[] = {
    { "fits: 4 tasks on 1 targets", CORE_TARGET_TAKES_TASKS, { 0 } },
    { "not: 1 not registered", CORE_TARGET_NOT_REGISTERED, { 0 } },
    { "not: 1 registry entry unreadable", CORE_TARGET_ENTRY_UNREADABLE, { 0 } },
    { "not: 1 another service", CORE_TARGET_OTHER_SERVICE, { 0 } },
    { "not: 1 registry not confirmed lately", CORE_TARGET_REGISTRY_OLD, { 0 } },
    { "not: 1 not recorded yet", CORE_TARGET_NOT_RECORDED, { 0 } },
    { "not: 1 no report to this owner yet", CORE_TARGET_NOT_REPORTED, { 0 } },
    { "not: 1 silent", CORE_TARGET_SILENT, { 0 } },
    { "not: 1 not fenced yet", CORE_TARGET_NOT_FENCED, { 0 } },
    { "not: 1 registry entry of another boot", CORE_TARGET_OTHER_BOOT, { 0 } },
    { "not: 1 draining", CORE_TARGET_DRAINING, { 0 } },
    { "not: 1 has runs that are to be stopped", CORE_TARGET_STALE_RUNS, { 0 } },
    { "not: 1 quarantined", CORE_TARGET_QUARANTINED, { 0 } },
    { "not: 1 domain evacuated", CORE_TARGET_EVACUATED, { 0 } },
    { "not: 1 evacuated domains unknown", CORE_TARGET_DOMAINS_UNKNOWN, { 0 } },
    { "not: 1 kept free for a suspected task", CORE_TARGET_WATCHED, { 0 } },
    { "not: 1 label missing", CORE_TARGET_NO_LABEL, { .label = { 1, "x" } } },
    { "not: 1 too little CPU", CORE_TARGET_NO_CPU, { .cpu_milli = 5000 } },
    { "not: 1 too little memory", CORE_TARGET_NO_MEMORY, { .memory_mb = 200000 } },
    { "not: 1 too few GPUs", CORE_TARGET_NO_GPU, { .gpu = 1 } },
    { "fits: 2 tasks on 1 targets", CORE_TARGET_TAKES_TASKS, { .per_target_max = 2 } },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fixture *fixture = fixture_new (0);
      struct fl_name id = fl_name_of ("t1");
      struct fl_step_spec step = cases[i].step;
      add_target (fixture, "t1", 4, false);
      tick_until_recorded (fixture, 1);
      bring_about (fixture, core_find_target (fixture->core, &id), cases[i].reason);
      step.count = 8;
      step.cpu_milli = MAX (step.cpu_milli, 1000);
      g_autofree char *text = plan (fixture, "slow", "w", step);
      assert_contains (text, cases[i].text);
      assert_contains (text, cases[i].reason == CORE_TARGET_TAKES_TASKS ? "now: starts in its turn"
                                                                        : "now: waits for room");
      fixture_free (fixture);
    }
}

/* --- class, order and limits --- */

struct plan_case
{
  const char *queue;
  const char *team;
  int64_t cpu_milli;
  int64_t estimate_ms;
  const char *parts[3];
};

/* Four of eight cores are used by a batch job, and an urgent step of 2 x 6 cores, of the same team,
 * waits for room, after that a batch one. */
static void
test_decisions (void **state)
{
  static const struct plan_case cases[] = {
    { "no-such", "w", 1000, 1000, { "no such queue: no-such" } },
    { "urgent", "v", 1000, 1000, { "class: in time", "order: 0 of 2", "team v (not configured" } },
    { "urgent", "v", 1000, 16, { "class: late", "order: 1 of 2" } },
    { "urgent", "v", 1000, 10, { "class: expired", "order: 2 of 2" } },
    { "urgent", "v", 1000, 0, { "no objective or no estimate" } },
    { "slow", "v", 1000, 1000, { "order: 2 of 2", "urgent tasks that wait hold the room" } },
    { "urgent", "w", 7000, 1000, { "uses CPU milli 4000 of 10000", "limit of its team" } },
    { "advised", "v", 1000, 1000, { "queries advice", "no share learnt yet", "t1: 4 tasks" } },
  };
  struct fixture *fixture = fixture_new (10000);

  (void)state;
  add_target (fixture, "t1", 8, false);
  add_job (fixture, "00000000000000a1", "slow",
           (struct fl_step_spec){ .count = 1, .cpu_milli = 4000 });
  tick_until_recorded (fixture, 1);
  assert_int_equal (fixture->start_orders->len, 1);
  add_job (fixture, "00000000000000a2", "urgent",
           (struct fl_step_spec){ .count = 2, .cpu_milli = 6000, .estimate_ms = 1000 });
  add_job (fixture, "00000000000000a3", "slow",
           (struct fl_step_spec){ .count = 1, .cpu_milli = 6000 });
  tick_until_recorded (fixture, 1);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fl_step_spec step
          = { .count = 1, .cpu_milli = cases[i].cpu_milli, .estimate_ms = cases[i].estimate_ms };
      g_autofree char *text = plan (fixture, cases[i].queue, cases[i].team, step);
      for (size_t j = 0; j < G_N_ELEMENTS (cases[i].parts) && cases[i].parts[j] != NULL; j++)
        assert_contains (text, cases[i].parts[j]);
    }
  fixture_free (fixture);
}

/* --- nothing changes --- */

static void
write_state (const struct fixture *fixture, GString *out)
{
  fl_core_dump (fixture->core, out);
  fl_stats_write (fixture->stats, out);
  for (guint i = 0; i < fixture->start_orders->len; i++)
    {
      const struct fl_start_order *order = get_start_order (fixture, i);
      g_string_append_printf (out, "%s %" G_GINT64_FORMAT " %s\n", order->task.data, order->run,
                              order->target.data);
    }
  g_string_append_printf (
      out, "queries %d stops %u teams %u stats %u free %u deadlines", fixture->query_count,
      fixture->stop_orders->len, g_hash_table_size (fixture->core->teams),
      g_hash_table_size (fixture->core->queue_stats), fixture->core->free_max->len);
  for (const GList *link = fixture->core->waiting_jobs.head; link != NULL; link = link->next)
    g_string_append_printf (out, " %" G_GINT64_FORMAT,
                            ((struct core_job *)link->data)->first_step->deadline.computed_at_ms);
}

/* Jobs of all queues arrive for some seconds, on more work than room; plans for each queue are made
 * between any two ticks or not. @return what was decided. */
static char *
replay (bool has_plans)
{
  static const char *const queues[] = { "urgent", "slow", "advised", "slow-advised" };
  struct fixture *fixture = fixture_new (30000);
  GString *out = g_string_new (NULL);
  struct fl_name queue = fl_name_of (queues[0]);

  for (int i = 0; i < 6; i++)
    {
      g_autofree char *name = g_strdup_printf ("t%d", i);
      add_target (fixture, name, 8, false);
    }
  for (int i = 0; i < 200; i++)
    {
      g_autofree char *id = g_strdup_printf ("%016x", i + 1);
      struct fl_step_spec step = { .count = 1 + i % 3,
                                   .cpu_milli = 1000 + 500 * (i % 4),
                                   .estimate_ms = 50 * (i % 7),
                                   .image = fl_name_of (i % 2 == 0 ? "a" : "b") };
      if (i % 4 == 0)
        add_job (fixture, id, queues[i / 4 % 4], step);
      step.image = fl_name_of (id);
      for (size_t j = 0; has_plans && j < G_N_ELEMENTS (queues); j++)
        {
          g_free (plan (fixture, queues[j], j % 2 == 0 ? "w" : "new", step));
        }
      write_state (fixture, out);
      /* Each class of run times takes one of a limited number of places. */
      assert_null (fl_run_times_find_class (fixture->core->run_times, &queue, &step.image));
      tick_until_recorded (fixture, 13 + i % 5);
      write_state (fixture, out);
    }
  fixture_free (fixture);
  return g_string_free (out, FALSE);
}

static void
test_nothing_changes (void **state)
{
  g_autofree char *without = replay (false);
  g_autofree char *with = replay (true);

  (void)state;
  assert_contains (without, "0000000000000001.0.0.0 1 t");
  assert_string_equal (with, without);
}

/* --- body of a request --- */

static void
test_malformed_bodies (void **state)
{
  static const struct
  {
    const char *body;
    bool is_valid;
  } cases[] = {
    { "{\"text\":\"x\",\"steps\":[{\"count\":1,\"cpu_milli\":500,\"after\":[]}]}", true },
    { "", false },
    { "[]", false },
    { "{", false },
    { "{\"text\":\"x\",\"steps\":[]}", false },
    { "{\"text\":\"x\",\"steps\":[{\"count\":0,\"cpu_milli\":500,\"after\":[]}]}", false },
    { "{\"text\":\"x\",\"steps\":[{\"count\":\"many\",\"cpu_milli\":500,\"after\":[]}]}", false },
    { "{\"text\":\"x\",\"steps\":[{\"count\":1,\"cpu_milli\":500,\"after\":[{\"step\":0}]}]}",
      false },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fl_name id = fl_name_of ("0000000000000000");
      struct fl_name queue = fl_name_of ("slow");
      struct fl_str body = fl_str_of (cases[i].body);
      struct fl_job_spec spec;
      struct fl_error error = { 0 };
      bool is_valid = fl_job_spec_decode_request (&body, &id, &queue, &spec, &error);
      if (is_valid != cases[i].is_valid)
        fail_msg ("case %zu: %s", i, error.text);
      assert_int_equal (error.text[0] == '\0', is_valid);
      if (is_valid)
        fl_schema_clear (&fl_job_spec_schema, &spec);
      fl_str_clear (&body);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_reasons), cmocka_unit_test (test_decisions),
          cmocka_unit_test (test_nothing_changes), cmocka_unit_test (test_malformed_bodies) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
