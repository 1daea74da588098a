/* Scenarios of the decision core, driven step by step on a virtual clock. */
#include <inttypes.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "domain/domain.h"

#define TARGETS 4
#define LEASE_MS 1000

/* What the domain asked for, in order. */
struct command
{
  char kind; /* 'r'un, 's'tart, 'k'ill, 'c'heckpoint, 'i'nspect */
  struct fl_target *target;
  struct fl_name id;
  uint64_t request;
  int64_t attempt;
};

struct fixture
{
  struct fl_domain *domain;
  struct fl_config *config;
  struct fl_target *targets[TARGETS];
  GArray *commands; /* struct command */
  GArray *records;  /* uint64_t */
  int64_t answers[FL_OUTCOMES];
  char reason[64];
  bool may_act;
  int64_t now;
};

static void
add_command (struct fixture *f, char kind, struct fl_target *target, struct fl_name id)
{
  struct command command = { .kind = kind, .target = target, .id = id };

  g_array_append_val (f->commands, command);
}

static bool
op_may_act (void *context)
{
  return ((struct fixture *)context)->may_act;
}

static void
op_run (void *context, struct fl_target *target, const struct fl_request *request)
{
  struct fixture *f = context;

  add_command (f, 'r', target, fl_request_name (request));
  struct command *last = &g_array_index (f->commands, struct command, f->commands->len - 1);
  last->request = fl_request_id (request);
  last->attempt = fl_request_attempt (request);
}

static void
op_start (void *context, struct fl_target *target, const struct fl_task *task)
{
  add_command (context, 's', target, fl_task_id (task));
}

static void
op_stop (void *context, struct fl_target *target, const struct fl_name *id, enum fl_stop_mode mode)
{
  add_command (context, mode == FL_STOP_CHECKPOINT ? 'c' : 'k', target, *id);
}

static void
op_inspect (void *context, struct fl_target *target)
{
  add_command (context, 'i', target, target->name);
}

static void
op_commit (void *context, const struct fl_record *record)
{
  g_array_append_val (((struct fixture *)context)->records, record->id);
}

static void
op_answer (void *context, uint64_t handle, const struct fl_answer *answer)
{
  struct fixture *f = context;

  (void)handle;
  f->answers[answer->outcome]++;
  g_strlcpy (f->reason, answer->reason, sizeof f->reason);
}

static void
configure (struct fixture *f, int64_t number, int64_t limit)
{
  g_autofree char *json = g_strdup_printf (
      "{\"number\":%" PRId64 ",\"teams\":[{\"name\":\"a\",\"share\":1,\"limit\":%" PRId64
      "},{\"name\":\"b\",\"share\":1,\"limit\":100}],\"queues\":["
      "{\"name\":\"q\",\"team\":\"a\"},"
      "{\"name\":\"batch\",\"team\":\"a\",\"kind\":\"batch\"},"
      "{\"name\":\"gang\",\"team\":\"a\",\"kind\":\"gang\"},"
      "{\"name\":\"urgent\",\"team\":\"b\",\"kind\":\"batch\",\"priority\":\"urgent\"}]}",
      number, limit);
  struct fl_ticket ticket;
  struct fl_problems problems = { 0 };

  assert_true (fl_ticket_read (json, strlen (json), &ticket, &problems));
  fl_config_apply (f->config, &ticket);
  fl_ticket_clear (&ticket);
  fl_domain_set_config (f->domain, f->config, 1, 0, f->now);
}

/* Settles every open record as written. */
static void
settle (struct fixture *f)
{
  while (f->records->len > 0)
    {
      uint64_t id = g_array_index (f->records, uint64_t, 0);
      g_array_remove_index (f->records, 0);
      fl_domain_on_committed (f->domain, id, FL_COMMIT_OK, 1, NULL, f->now);
    }
}

static void
report (struct fixture *f,
        int target,
        const struct fl_inventory_item *running,
        size_t count,
        const struct fl_task_event *events,
        size_t event_count)
{
  struct fl_target_report r = { .instance = fl_name_of ("one"),
                                .renewed = true,
                                .full = true,
                                .running = running,
                                .running_count = count,
                                .events = events,
                                .event_count = event_count };

  fl_domain_on_report (f->domain, f->targets[target], &r, f->now, f->now);
}

static void
advance (struct fixture *f, int64_t ms)
{
  for (int64_t end = f->now + ms; f->now < end;)
    {
      f->now += MIN (50, end - f->now);
      fl_domain_tick (f->domain, f->now);
      settle (f);
    }
}

static void
set_up (struct fixture *f)
{
  struct fl_domain_options options
      = { .name = fl_name_of ("d"),
          .epoch = 1,
          .limits = fl_domain_limits_default,
          .ops = { f, op_may_act, op_run, op_start, op_stop, op_inspect, op_commit, op_answer } };

  memset (f, 0, sizeof *f);
  f->may_act = true;
  f->commands = g_array_new (FALSE, TRUE, sizeof (struct command));
  f->records = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  f->config = fl_config_new ();
  options.limits.task_lease_ms = LEASE_MS;
  options.limits.quarantine_ms = 500;
  options.limits.gang_patience_ms = 300;
  f->domain = fl_domain_new (&options);
  configure (f, 1, 100);
  for (int i = 0; i < TARGETS; i++)
    {
      struct fl_name name = fl_name_format ("t%d", i);
      struct fl_name none = { 0 };
      struct fl_resources capacity = { { 4000, 4000, 0, 2 } };
      f->targets[i]
          = fl_domain_list_target (f->domain, &name, &none, &none, "http://t", &capacity, false, 0);
    }
  fl_domain_loaded (f->domain, 0);
  for (int i = 0; i < TARGETS; i++)
    report (f, i, NULL, 0, NULL, 0);
  for (const char *team = "ab"; *team != '\0'; team++)
    {
      struct fl_name name = fl_name_make (team, 1);
      fl_domain_set_allotment (f->domain, &name, 100, 0);
    }
}

static void
tear_down (struct fixture *f)
{
  fl_domain_free (f->domain);
  fl_config_free (f->config);
  g_array_unref (f->commands);
  g_array_unref (f->records);
}

/* --- steps --- */

static void
submit (struct fixture *f,
        const char *team,
        const char *queue,
        const char *id,
        int64_t tasks,
        int64_t cpu_milli)
{
  struct fl_name name = fl_name_of (team);
  struct fl_job_spec spec = { .id = fl_name_of (id),
                              .queue = fl_name_of (queue),
                              .tasks = tasks,
                              .attempts = 3,
                              .checkpointable = true,
                              .demand = { { cpu_milli, 100, 0, 0 } } };

  fl_domain_submit (f->domain, 1, &name, &spec, f->now);
  settle (f);
}

static void
request (struct fixture *f, const char *id, bool repeatable)
{
  struct fl_name team = fl_name_of ("a");
  struct fl_request_spec spec = {
    .id = fl_name_of (id), .queue = fl_name_of ("q"), .repeatable = repeatable, .timeout_ms = 1000
  };

  fl_domain_request (f->domain, 1, &team, &spec, f->now);
}

static int
count (const struct fixture *f, char kind)
{
  int n = 0;

  for (guint i = 0; i < f->commands->len; i++)
    n += g_array_index (f->commands, struct command, i).kind == kind;
  return n;
}

/* Answers every command of @kind since @from with @result. */
static void
answer_all (struct fixture *f, char kind, guint from, enum fl_call_result result)
{
  guint end = f->commands->len; /* what the answers lead to is not answered here */

  for (guint i = from; i < end; i++)
    {
      struct command c = g_array_index (f->commands, struct command, i);
      if (c.kind != kind)
        continue;
      if (kind == 's')
        fl_domain_on_started (f->domain, &c.id, result, f->now);
      else if (kind == 'r')
        fl_domain_on_run (f->domain, c.request, c.attempt, result, &(struct fl_str){ 0 }, f->now);
      else
        fl_domain_on_stopped (f->domain, &c.id, result, f->now);
    }
}

static int64_t
running (const struct fixture *f)
{
  struct fl_domain_load load;

  fl_domain_load (f->domain, &load);
  return load.running_tasks;
}

/* --- scenarios --- */

static void
silent_target_lapses (struct fixture *f)
{
  submit (f, "a", "batch", "j", 1, 1000);
  answer_all (f, 's', 0, FL_CALL_DONE);
  struct fl_target *first = g_array_index (f->commands, struct command, 0).target;
  /* Its polls fail for ever; nothing may start elsewhere before the lease has lapsed. */
  fl_domain_on_silent (f->domain, first, true, f->now);
  for (int64_t waited = 0; waited < LEASE_MS - 100; waited += 50)
    {
      advance (f, 50);
      fl_domain_on_silent (f->domain, first, fl_domain_renews (first), f->now);
    }
  assert_int_equal (count (f, 's'), 1);
  for (int i = 0; i < 10; i++)
    {
      advance (f, 50);
      fl_domain_on_silent (f->domain, first, fl_domain_renews (first), f->now);
    }
  assert_int_equal (count (f, 's'), 2);
  assert_ptr_not_equal (g_array_index (f->commands, struct command, 1).target, first);
}

static void
lowered_limit_stops_tasks (struct fixture *f)
{
  submit (f, "a", "batch", "j", 8, 1000);
  answer_all (f, 's', 0, FL_CALL_DONE);
  assert_int_equal (running (f), 8);
  configure (f, 2, 3);
  advance (f, 100);
  assert_int_equal (count (f, 'c'), 5);
  answer_all (f, 'c', 0, FL_CALL_DONE);
  advance (f, 100);
  assert_int_equal (running (f), 3);
}

static void
urgent_preempts (struct fixture *f)
{
  submit (f, "a", "batch", "j", 16, 1000);
  answer_all (f, 's', 0, FL_CALL_DONE);
  advance (f, 100);
  assert_int_equal (running (f), 16); /* all is full */
  submit (f, "b", "urgent", "u", 1, 2000);
  assert_int_equal (count (f, 'c'), 2);
  guint from = f->commands->len;
  answer_all (f, 'c', 0, FL_CALL_DONE);
  assert_int_equal (strncmp (g_array_index (f->commands, struct command, from).id.data, "b/u", 3),
                    0);
}

static void
failing_target_is_quarantined (struct fixture *f)
{
  submit (f, "a", "batch", "j", 40, 4000);
  for (int round = 0; round < 3; round++)
    {
      guint from = f->commands->len;
      for (guint i = 0; i < from; i++)
        {
          struct command c = g_array_index (f->commands, struct command, i);
          if (c.kind == 's' && c.target == f->targets[0])
            fl_domain_on_started (f->domain, &c.id, FL_CALL_REFUSED, f->now);
        }
    }
  assert_int_equal (f->targets[0]->state, FL_TARGET_QUARANTINED);
  advance (f, 700);
  assert_int_equal (f->targets[0]->state, FL_TARGET_READY);
}

static void
job_that_fits_no_host (struct fixture *f)
{
  submit (f, "a", "batch", "j", 1, 5000);
  assert_int_equal (f->answers[FL_OUTCOME_NOT_RUN], 1);
  assert_string_equal (f->reason, "fits_no_host");
}

static void
gang_is_all_or_nothing (struct fixture *f)
{
  submit (f, "a", "batch", "fill", 10, 1000); /* 10 of 16 cores */
  answer_all (f, 's', 0, FL_CALL_DONE);
  int before = count (f, 's');
  submit (f, "a", "gang", "g", 8, 1000);
  assert_int_equal (count (f, 's'), before);
  submit (f, "a", "batch", "small", 2, 1000); /* a blocked gang does not stop others */
  assert_int_equal (count (f, 's'), before + 2);
}

static void
leaving_target_gets_nothing_new (struct fixture *f)
{
  struct fl_target_report r
      = { .instance = fl_name_of ("one"), .renewed = true, .full = true, .leaving = true };

  fl_domain_on_report (f->domain, f->targets[0], &r, f->now, f->now);
  submit (f, "a", "batch", "j", 16, 1000);
  for (int i = 0; i < 10; i++)
    request (f, "r", true);
  for (guint i = 0; i < f->commands->len; i++)
    assert_ptr_not_equal (g_array_index (f->commands, struct command, i).target, f->targets[0]);
}

static void
cancel_wave (struct fixture *f)
{
  struct fl_name team = fl_name_of ("a");

  for (int i = 0; i < 10000; i++)
    {
      g_autofree char *id = g_strdup_printf ("j%d", i);
      submit (f, "a", "batch", id, 1, 4000);
    }
  for (int i = 0; i < 10000; i++)
    {
      struct fl_name id = fl_name_format ("j%d", i);
      fl_domain_cancel (f->domain, 2, &team, &id, f->now);
      settle (f);
    }
  assert_int_equal (f->answers[FL_OUTCOME_CANCELLED], 10000);
  answer_all (f, 'k', 0, FL_CALL_DONE);
  assert_int_equal (running (f), 0);
}

static void
booking_waits_for_its_intent (struct fixture *f)
{
  request (f, "b1", false);
  assert_int_equal (count (f, 'r'), 0);
  request (f, "b1", false); /* the same id again, while the first is open */
  assert_int_equal (f->answers[FL_OUTCOME_UNKNOWN], 1);
  settle (f);
  assert_int_equal (count (f, 'r'), 1);
  answer_all (f, 'r', 0, FL_CALL_UNKNOWN);
  assert_int_equal (f->answers[FL_OUTCOME_UNKNOWN], 2);
  assert_int_equal (count (f, 'r'), 1); /* never sent twice */
}

static void
unknown_is_never_called_not_run (struct fixture *f)
{
  request (f, "r1", true);
  answer_all (f, 'r', 0, FL_CALL_UNKNOWN); /* is tried again */
  assert_int_equal (count (f, 'r'), 2);
  f->may_act = false;
  answer_all (f, 'r', 1, FL_CALL_REFUSED); /* and refused while the lease has lapsed */
  advance (f, 100);
  assert_int_equal (f->answers[FL_OUTCOME_NOT_RUN], 0);
  assert_int_equal (f->answers[FL_OUTCOME_UNKNOWN], 1);
}

static void
nothing_without_authority (struct fixture *f)
{
  f->may_act = false;
  request (f, "r1", true);
  submit (f, "a", "batch", "j", 2, 1000);
  advance (f, 100);
  assert_int_equal (count (f, 'r') + count (f, 's'), 0);
  assert_string_equal (f->reason, "not_owner");
  assert_int_equal (f->answers[FL_OUTCOME_NOT_RUN], 1);
}

static void
task_beyond_its_size_is_moved (struct fixture *f)
{
  submit (f, "a", "batch", "j", 4, 1000);
  answer_all (f, 's', 0, FL_CALL_DONE);
  struct command first = g_array_index (f->commands, struct command, 0);
  struct fl_task_usage usage = { first.id, 10000, 100 }; /* ten times what it declared */
  struct fl_target_report r
      = { .instance = fl_name_of ("one"), .renewed = true, .usage = &usage, .usage_count = 1 };
  fl_domain_on_report (f->domain, first.target, &r, f->now, f->now);
  assert_int_equal (count (f, 'c'), 1);
}

static void
start_on_its_way_is_not_lost (struct fixture *f)
{
  submit (f, "a", "batch", "j", 1, 1000);
  struct command first = g_array_index (f->commands, struct command, 0);
  /* The target stops answering and its lease lapses while the start has not been answered. */
  fl_domain_on_silent (f->domain, first.target, true, f->now);
  advance (f, 3 * LEASE_MS);
  assert_int_equal (count (f, 's'), 1);
  fl_domain_on_started (f->domain, &first.id, FL_CALL_NOT_SENT, f->now);
  advance (f, 100);
  assert_int_equal (count (f, 's'), 2);
}

static void
unread_targets_count_against_the_limit (struct fixture *f)
{
  struct fl_name name = fl_name_of ("t9");
  struct fl_name team = fl_name_of ("a");
  struct fl_name none = { 0 };
  struct fl_resources capacity = { { 4000, 4000, 0, 2 } };

  /* A fifth target whose inventory is not read yet may hold two requests of an earlier owner. */
  fl_domain_list_target (f->domain, &name, &none, &none, "http://t", &capacity, false, f->now);
  fl_domain_set_allotment (f->domain, &team, 3, f->now);
  submit (f, "a", "batch", "j", 4, 1000);
  assert_int_equal (count (f, 's'), 1);
}

static const struct
{
  const char *name;
  void (*run) (struct fixture *f);
} scenarios[] = {
  { "a silent target's tasks lapse, not before their lease", silent_target_lapses },
  { "a lowered limit stops tasks", lowered_limit_stops_tasks },
  { "urgent work preempts", urgent_preempts },
  { "a target that fails its starts is quarantined", failing_target_is_quarantined },
  { "a job that fits no host is refused", job_that_fits_no_host },
  { "a gang starts whole or not, and stops nobody", gang_is_all_or_nothing },
  { "a leaving target gets nothing new", leaving_target_gets_nothing_new },
  { "ten thousand cancellations", cancel_wave },
  { "a booking waits for its intent and is sent once", booking_waits_for_its_intent },
  { "what may have run is never called not_run", unknown_is_never_called_not_run },
  { "nothing is sent without authority", nothing_without_authority },
  { "a task beyond its size is moved", task_beyond_its_size_is_moved },
  { "a start on its way is not lost", start_on_its_way_is_not_lost },
  { "targets that were not read count against the limit", unread_targets_count_against_the_limit },
};

static void
test_scenario (void **state)
{
  struct fixture f;
  size_t i = (size_t)(uintptr_t)*state;

  set_up (&f);
  scenarios[i].run (&f);
  tear_down (&f);
}

int
main (void)
{
  struct CMUnitTest tests[G_N_ELEMENTS (scenarios)];

  for (size_t i = 0; i < G_N_ELEMENTS (scenarios); i++)
    tests[i] = (struct CMUnitTest){ scenarios[i].name, test_scenario, NULL, NULL, (void *)i };
  return cmocka_run_group_tests_name ("domain", tests, NULL, NULL);
}
