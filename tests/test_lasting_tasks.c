/* Which tasks of a long-running job a new owner starts at once, and which wait for a target that
 * has not reported. One or more owners, each a core with its records in a common store, drive a few
 * targets on a virtual clock. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "support_core.h"

/* The targets t1 to t5. Each of the first USED_TARGETS runs one task of the job; the others join
 * later. */
#define TARGETS 5
#define USED_TARGETS 3
#define STEP_MS 50
/* From the acquisition until orders of the earlier owner cannot be in effect any more. */
#define RECONCILIATION_MS 7680
/* A task is started at once if it is started within this time. */
#define AT_ONCE_MS 500

enum target_fate
{
  LISTS_RUN,  /* the target reports, and its task runs on */
  LISTS_NONE, /* the target reports, and its task has ended without a trace: it has rebooted */
  IS_SILENT,  /* the target does not report; its task may run on */
};

enum start_time
{
  NEVER,
  AT_ONCE,
  RECONCILED, /* once orders of the earlier owner cannot be in effect any more */
};

struct model_target
{
  char name[4];
  bool silent;
  int64_t booted_at_ms;
  GArray *runs; /* struct fl_run_row */
};

struct world
{
  struct fixture *owner;
  struct model_target targets[TARGETS];
  int target_count; /* that the registry lists */
  int64_t target_cores;
  int64_t terms; /* of owners so far */
  int64_t acquired_ms;
  struct fl_str record; /* of job a; empty for none */
  guint started;        /* start orders of the owner that the targets have received */
  struct fl_step_spec step;
  int64_t cpu_cap_milli;
  bool reads_jobs; /* the next owner does not know the jobs yet */
};

/* --- world --- */

static struct fl_step_spec
lasting_step (int64_t count)
{
  return (struct fl_step_spec){
    .count = count, .cpu_milli = 1000, .long_running = true, .disruptions_max = -1
  };
}

static struct model_target *
find_model_target (struct world *world, const struct fl_name *id)
{
  for (int i = 0; i < TARGETS; i++)
    if (strcmp (world->targets[i].name, id->data) == 0)
      return &world->targets[i];
  fail_msg ("no target %s", id->data);
  return NULL;
}

static void
world_init (struct world *world)
{
  memset (world, 0, sizeof *world);
  world->target_count = USED_TARGETS;
  world->target_cores = 1;
  world->step = lasting_step (USED_TARGETS);
  for (int i = 0; i < TARGETS; i++)
    {
      snprintf (world->targets[i].name, sizeof world->targets[i].name, "t%d", i + 1);
      world->targets[i].booted_at_ms = 1;
      world->targets[i].runs = g_array_new (FALSE, TRUE, sizeof (struct fl_run_row));
    }
}

static void
world_clear (struct world *world)
{
  for (int i = 0; i < TARGETS; i++)
    g_array_unref (world->targets[i].runs);
  fl_str_clear (&world->record);
  fixture_free (world->owner);
}

static void
reboot_target (struct world *world, int index)
{
  g_array_set_size (world->targets[index].runs, 0);
  world->targets[index].booted_at_ms++;
}

static void
send_heartbeat (struct world *world, const struct fl_heartbeat_order *order)
{
  struct model_target *target = find_model_target (world, &order->target);
  struct fl_order_reply no_reply = { .result = FL_ORDER_NO_REPLY };

  if (target->silent)
    fl_core_handle_heartbeat_reply (world->owner->core, &order->target, &no_reply,
                                    world->owner->now_ms, world->owner->now_ms);
  else
    deliver_report (
        world->owner, target->name,
        (struct fl_target_report){ .booted_at_ms = target->booted_at_ms,
                                   .runs = (struct fl_run_row *)(void *)target->runs->data,
                                   .run_count = target->runs->len });
}

/* Executes the start orders that the owner has issued since the last call. */
static void
execute_starts (struct world *world)
{
  for (; world->started < world->owner->start_orders->len; world->started++)
    {
      const struct fl_start_order *order = get_start_order (world->owner, world->started);
      struct fl_run_row row = { .task = order->task, .run = order->run };
      struct model_target *target = find_model_target (world, &order->target);
      assert_false (target->silent);
      for (int i = 0; i < TARGETS; i++)
        for (guint j = 0; j < world->targets[i].runs->len; j++)
          assert_false (fl_name_eq (
              &g_array_index (world->targets[i].runs, struct fl_run_row, j).task, &row.task));
      g_array_append_val (target->runs, row);
      confirm_start (world->owner, world->started);
    }
}

/* Collects the records. @return whether there are any. */
static bool
collect_records (struct world *world, bool is_applied)
{
  struct fl_core_record records[16];
  const struct fl_name job = fl_name_of ("a");
  size_t count = fl_core_collect_records (world->owner->core, records, G_N_ELEMENTS (records));

  for (size_t i = 0; i < count; i++)
    {
      if (is_applied && fl_name_eq (&records[i].job, &job))
        {
          fl_str_clear (&world->record);
          world->record = fl_str_dup (&records[i].progress);
        }
      fl_str_clear (&records[i].progress);
    }
  return count > 0;
}

/* One turn of the owner: heartbeats, decisions, orders. Its records remain to be collected. */
static void
turn_without_records (struct world *world)
{
  struct fl_heartbeat_order order;

  world->owner->now_ms += STEP_MS;
  for (int i = 0; i < TARGETS; i++)
    {
      struct fl_name id = fl_name_of (world->targets[i].name);
      if (fl_core_prepare_heartbeat (world->owner->core, &id, world->owner->now_ms, &order))
        send_heartbeat (world, &order);
    }
  fl_core_tick (world->owner->core, world->owner->now_ms, world->owner->now_ms);
  execute_starts (world);
}

static void
turn (struct world *world)
{
  turn_without_records (world);
  if (collect_records (world, true))
    fl_core_finish_records (world->owner->core, true, world->owner->now_ms);
}

static void
turn_for (struct world *world, int64_t duration_ms)
{
  for (int64_t end_ms = world->owner->now_ms + duration_ms; world->owner->now_ms < end_ms;)
    turn (world);
}

static void
update_registry (struct world *world)
{
  for (int i = 0; i < world->target_count; i++)
    add_entry (world->owner, world->targets[i].name, world->target_cores, false);
}

/* Ends the term of the owner, if any, and starts one with the next fencing token. @inherited is the
 * number of targets that the stored list contains. */
static void
change_owner (struct world *world, int inherited)
{
  int64_t now_ms = world->owner != NULL ? world->owner->now_ms : 100000;
  struct fixture_options options
      = { .cpu_cap_milli = world->cpu_cap_milli,
          .reconciled_at_ms = world->terms > 0 ? now_ms + RECONCILIATION_MS : 0,
          .fencing_token = 1 + world->terms++ * FL_FENCING_TOKENS_PER_OWNER,
          .acquired_version = now_ms };
  struct fl_job_progress progress = { 0 };
  struct fl_error error = { 0 };
  bool is_recorded = world->record.len > 0;

  if (world->owner != NULL)
    fixture_free (world->owner);
  world->owner = fixture_new_with (&options);
  world->owner->now_ms = now_ms;
  world->acquired_ms = now_ms;
  world->started = 0;
  for (int i = 0; i < inherited; i++)
    {
      struct fl_name id = fl_name_of (world->targets[i].name);
      fl_core_inherit_target (world->owner->core, &id, &id);
    }
  update_registry (world);
  if (is_recorded)
    assert_true (fl_job_progress_decode (world->record.data, world->record.len, &progress, &error));
  add_recorded_job (world->owner, "a", "urgent", world->step, is_recorded ? &progress : NULL);
  fl_job_progress_clear (&progress);
  if (!world->reads_jobs)
    fl_core_set_jobs_known (world->owner->core);
}

/* Starts the job under a first owner: one task runs on each of the targets t1 to t3. */
static void
start_job (struct world *world)
{
  change_owner (world, 0);
  turn_for (world, 1000);
  assert_int_equal (world->owner->start_orders->len, USED_TARGETS);
  assert_true (world->record.len > 0);
}

static void
apply_fates (struct world *world, const enum target_fate *fates)
{
  for (int i = 0; i < USED_TARGETS; i++)
    {
      if (fates[i] == LISTS_NONE)
        reboot_target (world, i);
      world->targets[i].silent = fates[i] == IS_SILENT;
    }
}

/* Gives the owner room for all tasks once more. */
static void
add_room (struct world *world)
{
  world->target_count = TARGETS;
  world->target_cores = 4;
  update_registry (world);
}

/* --- what happened --- */

static int64_t
count_starts (const struct world *world, const char *prefix)
{
  int64_t count = 0;

  for (guint i = 0; i < world->owner->start_orders->len; i++)
    count += g_str_has_prefix (get_start_order (world->owner, i)->task.data, prefix) ? 1 : 0;
  return count;
}

struct expectation
{
  struct fl_name task;
  enum start_time time;
};

static bool
check_starts (const struct world *world, const struct expectation *expected, enum start_time until)
{
  bool as_expected = true;

  for (int i = 0; i < USED_TARGETS; i++)
    {
      int64_t starts = count_starts (world, expected[i].task.data);
      int64_t wanted = expected[i].time != NEVER && expected[i].time <= until ? 1 : 0;
      if (starts != wanted)
        printf ("task %s: %d starts, %d expected\n", expected[i].task.data, (int)starts,
                (int)wanted);
      as_expected = as_expected && starts == wanted;
    }
  return as_expected;
}

/* Lets the owner work, and checks when it starts the task of each target. The tasks of silent
 * targets run on until their leases have expired. */
static bool
run_and_check (struct world *world, const struct expectation *expected)
{
  bool as_expected = true;
  int64_t lapse_ms = world->acquired_ms + RECONCILIATION_MS - STEP_MS;

  turn_for (world, AT_ONCE_MS);
  as_expected = check_starts (world, expected, AT_ONCE) && as_expected;
  while (world->owner->now_ms < lapse_ms)
    turn (world);
  as_expected = check_starts (world, expected, AT_ONCE) && as_expected;
  for (int i = 0; i < TARGETS; i++)
    if (world->targets[i].silent)
      reboot_target (world, i);
  turn_for (world, AT_ONCE_MS);
  return check_starts (world, expected, RECONCILED) && as_expected;
}

/* @return the task that the owner started on the target @index. */
static struct fl_name
task_on (const struct world *world, int index)
{
  assert_int_equal (world->targets[index].runs->len, 1);
  return g_array_index (world->targets[index].runs, struct fl_run_row, 0).task;
}

/* --- tests --- */

struct record_kind
{
  const char *name;
  bool replaced; /* by a record that names the targets t1 to t3 for the job only */
  bool any_target;
};

static const struct record_kind OWN_RECORD = { "own record", false, false };
static const struct record_kind EARLIER_VERSION = { "record of an earlier version", true, false };
static const struct record_kind ANY_TARGET = { "tasks may run on any target", true, true };

static void
replace_record (struct world *world, const struct record_kind *kind)
{
  struct fl_job_target targets[USED_TARGETS];
  struct fl_job_progress progress = { .state = FL_JOB_RUNNING,
                                      .targets = { USED_TARGETS, targets },
                                      .any_target = kind->any_target };

  if (!kind->replaced)
    return;
  for (int i = 0; i < USED_TARGETS; i++)
    {
      struct fl_name id = fl_name_of (world->targets[i].name);
      targets[i] = (struct fl_job_target){ fl_job_target_hash (&id) };
    }
  fl_str_clear (&world->record);
  world->record = fl_job_progress_encode (&progress);
}

struct change_case
{
  const char *name;
  const struct record_kind *record;
  enum target_fate fates[USED_TARGETS];
  enum start_time starts[USED_TARGETS]; /* of the task on the target */
  bool gang;
  int64_t per_target_max;
};

static const struct change_case change_cases[] = {
  { "all targets report",
    &OWN_RECORD,
    { LISTS_RUN, LISTS_NONE, LISTS_RUN },
    { NEVER, AT_ONCE, NEVER },
    false,
    0 },
  { "the target of another task is silent",
    &OWN_RECORD,
    { LISTS_NONE, IS_SILENT, LISTS_RUN },
    { AT_ONCE, RECONCILED, NEVER },
    false,
    0 },
  { "all other targets are silent",
    &OWN_RECORD,
    { LISTS_NONE, IS_SILENT, IS_SILENT },
    { AT_ONCE, RECONCILED, RECONCILED },
    false,
    0 },
  { "its own target is silent",
    &OWN_RECORD,
    { LISTS_RUN, IS_SILENT, LISTS_RUN },
    { NEVER, RECONCILED, NEVER },
    false,
    0 },
  { "one task on each target",
    &OWN_RECORD,
    { LISTS_NONE, IS_SILENT, LISTS_RUN },
    { AT_ONCE, RECONCILED, NEVER },
    false,
    1 },
  { "a gang waits for all its members",
    &OWN_RECORD,
    { LISTS_NONE, IS_SILENT, LISTS_NONE },
    { RECONCILED, RECONCILED, RECONCILED },
    true,
    0 },
  { "earlier version",
    &EARLIER_VERSION,
    { LISTS_NONE, IS_SILENT, LISTS_RUN },
    { RECONCILED, RECONCILED, NEVER },
    false,
    0 },
  { "earlier version, all report",
    &EARLIER_VERSION,
    { LISTS_NONE, LISTS_RUN, LISTS_RUN },
    { AT_ONCE, NEVER, NEVER },
    false,
    0 },
  { "any target",
    &ANY_TARGET,
    { LISTS_NONE, IS_SILENT, LISTS_RUN },
    { RECONCILED, RECONCILED, NEVER },
    false,
    0 },
};

/* Tasks of a long-running job stayed down for 8.5 s after a change of owner, because a target that
 * ran other tasks of the job was silent. */
static void
test_start_after_change_of_owner (void **state)
{
  int failed = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (change_cases); i++)
    {
      const struct change_case *c = &change_cases[i];
      struct expectation expected[USED_TARGETS];
      struct world world;
      world_init (&world);
      world.step.gang = c->gang;
      world.step.per_target_max = c->per_target_max;
      start_job (&world);
      for (int j = 0; j < USED_TARGETS; j++)
        expected[j] = (struct expectation){ task_on (&world, j), c->starts[j] };
      replace_record (&world, c->record);
      apply_fates (&world, c->fates);
      change_owner (&world, USED_TARGETS);
      add_room (&world);
      if (!run_and_check (&world, expected))
        {
          printf ("%s, %s\n", c->name, c->record->name);
          failed++;
        }
      world_clear (&world);
    }
  assert_int_equal (failed, 0);
}

/* A task that was never started, for lack of room, starts at once under the next owner although a
 * target of the job is silent. */
static void
test_task_that_was_never_started (void **state)
{
  struct world world;

  (void)state;
  world_init (&world);
  world.step = lasting_step (USED_TARGETS + 1);
  start_job (&world);
  world.targets[1].silent = true;
  change_owner (&world, USED_TARGETS);
  add_room (&world);
  turn_for (&world, AT_ONCE_MS);
  assert_int_equal (world.owner->start_orders->len, 1);
  world_clear (&world);
}

/* Whether the record that names the next target of a task has taken effect when the owner dies. */
static const bool record_outcomes[] = { false, true };

/* The owner dies while it moves a task from t1, which has rebooted, to t4, which then falls silent.
 * The order to t4 is sent only after the record, so that the task can start at once if the record
 * did not take effect, and else waits for t4. */
static void
test_owner_dies_while_target_is_recorded (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (record_outcomes); i++)
    {
      struct world world;
      world_init (&world);
      start_job (&world);
      struct fl_name task = task_on (&world, 0);
      world.target_count = USED_TARGETS + 1;
      update_registry (&world);
      reboot_target (&world, 0);
      add_entry (world.owner, "t1", 1, true);
      guint starts_before = world.owner->start_orders->len;
      /* The end is noticed, and the record is in flight when the owner dies. */
      while (!collect_records (&world, record_outcomes[i]))
        turn_without_records (&world);
      assert_int_equal (world.owner->start_orders->len, starts_before);
      world.targets[3].silent = true;
      change_owner (&world, USED_TARGETS + 1);
      add_room (&world);
      turn_for (&world, AT_ONCE_MS);
      assert_int_equal (count_starts (&world, task.data), record_outcomes[i] ? 0 : 1);
      turn_for (&world, RECONCILIATION_MS);
      assert_int_equal (count_starts (&world, task.data), 1);
      world_clear (&world);
    }
}

/* How long the second of three owners lives. */
static const struct
{
  const char *name;
  int64_t second_term_ms; /* 0: it dies before it records anything */
  int64_t missing_terms;  /* of owners that are not simulated, such as ones of an earlier version */
  enum start_time start;  /* of the task whose target reports, under the last owner */
} chain_cases[] = {
  { "the second owner has recorded the job", 300, 0, AT_ONCE },
  { "the second owner recorded nothing", 0, 0, RECONCILED },
  { "an owner of an earlier version came between", 300, 1, RECONCILED },
};

/* Task t2 may run on its silent target throughout. Under the second owner, which inherits it from
 * the first one, it is carried over to the records. A record may be used only by the very next
 * owner: one of an earlier version starts tasks on the targets of a job without a new record. */
static void
test_chain_of_owners (void **state)
{
  static const enum target_fate fates[] = { LISTS_RUN, IS_SILENT, LISTS_RUN };
  int failed = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (chain_cases); i++)
    {
      struct world world;
      world_init (&world);
      start_job (&world);
      struct expectation expected[USED_TARGETS] = { { task_on (&world, 0), chain_cases[i].start },
                                                    { task_on (&world, 1), RECONCILED },
                                                    { task_on (&world, 2), NEVER } };
      apply_fates (&world, fates);
      change_owner (&world, USED_TARGETS);
      turn_for (&world, chain_cases[i].second_term_ms);
      assert_int_equal (world.owner->start_orders->len, 0);
      world.terms += chain_cases[i].missing_terms;
      reboot_target (&world, 0);
      change_owner (&world, USED_TARGETS);
      add_room (&world);
      if (!run_and_check (&world, expected))
        {
          printf ("%s\n", chain_cases[i].name);
          failed++;
        }
      world_clear (&world);
    }
  assert_int_equal (failed, 0);
}

static const struct
{
  int64_t cpu_cap_milli;
  int64_t starts; /* of the task of another job of the team, at once */
} team_cases[] = {
  { 3000, 0 },
  { 4000, 1 },
};

/* The limit of a team counts the task that may run on a silent target, but not the other tasks of
 * its job that are to be started: these count once they are started. */
static void
test_team_limit_after_change_of_owner (void **state)
{
  static const enum target_fate fates[] = { LISTS_NONE, IS_SILENT, LISTS_RUN };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (team_cases); i++)
    {
      struct world world;
      world_init (&world);
      world.cpu_cap_milli = team_cases[i].cpu_cap_milli;
      start_job (&world);
      struct fl_name task = task_on (&world, 0);
      apply_fates (&world, fates);
      change_owner (&world, USED_TARGETS);
      add_room (&world);
      turn_for (&world, AT_ONCE_MS);
      assert_int_equal (count_starts (&world, task.data), 1);
      add_job (world.owner, "b", "slow", (struct fl_step_spec){ .count = 1, .cpu_milli = 1000 });
      turn_for (&world, AT_ONCE_MS);
      assert_int_equal (count_starts (&world, "b."), team_cases[i].starts);
      world_clear (&world);
    }
}

/* Tasks of other steps are recorded by job only: all that no target lists wait. */
static void
test_other_steps_wait_for_all_targets (void **state)
{
  static const enum target_fate fates[] = { LISTS_NONE, IS_SILENT, LISTS_RUN };
  struct world world;

  (void)state;
  world_init (&world);
  world.step.long_running = false;
  start_job (&world);
  struct expectation expected[USED_TARGETS] = { { task_on (&world, 0), RECONCILED },
                                                { task_on (&world, 1), RECONCILED },
                                                { task_on (&world, 2), NEVER } };
  apply_fates (&world, fates);
  change_owner (&world, USED_TARGETS);
  add_room (&world);
  assert_true (run_and_check (&world, expected));
  world_clear (&world);
}

/* What happens while the record of the first starts is in flight. */
enum planned_event
{
  RECORD_STORED,
  RECORD_FAILED,
  TARGET_DRAINS,
  TARGET_SILENT,
  JOB_CANCELLED
};

static const struct
{
  const char *name;
  bool gang;
  enum planned_event event; /* concerns t1 where it concerns a target */
  bool is_late;             /* it happens between the reply of the store and the next tick */
  int64_t starts;           /* at the end of this record; two tasks wait, on t1 and t2 */
  int64_t starts_later;     /* once later records are stored, on t1 to t3 */
} planned_cases[] = {
  { "stored", false, RECORD_STORED, false, 2, 2 },
  { "not stored", false, RECORD_FAILED, false, 0, 2 },
  { "a target drains", false, TARGET_DRAINS, false, 1, 2 },
  { "a target is silent", false, TARGET_SILENT, false, 1, 2 },
  { "job cancelled", false, JOB_CANCELLED, false, 0, 0 },
  { "gang, stored", true, RECORD_STORED, false, 2, 2 },
  { "gang, not stored", true, RECORD_FAILED, false, 0, 2 },
  { "gang, a target drains", true, TARGET_DRAINS, false, 0, 2 },
  { "gang, a target is silent", true, TARGET_SILENT, false, 0, 2 },
  { "gang, job cancelled", true, JOB_CANCELLED, false, 0, 0 },
  { "a target drains at last", false, TARGET_DRAINS, true, 1, 2 },
  { "gang, a target drains at last", true, TARGET_DRAINS, true, 0, 2 },
};

static void
apply_planned_event (struct world *world, enum planned_event event)
{
  const struct fl_name job = fl_name_of ("a");

  if (event == TARGET_DRAINS)
    add_entry (world->owner, "t1", 1, true);
  if (event == TARGET_SILENT)
    world->targets[0].silent = true;
  if (event == JOB_CANCELLED)
    fl_core_cancel_job (world->owner->core, &job);
}

/* A start that waits for the record of its target is ordered once it is stored, and not at all if
 * the target does not accept it any more or the job is cancelled. A gang starts as a whole. */
static void
test_events_before_the_start_is_recorded (void **state)
{
  int failed = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (planned_cases); i++)
    {
      struct world world;
      world_init (&world);
      world.step = lasting_step (2);
      world.step.gang = planned_cases[i].gang;
      world.target_count = 2;
      change_owner (&world, 0);
      while (!collect_records (&world, true))
        turn_without_records (&world);
      assert_int_equal (world.owner->start_orders->len, 0);
      if (!planned_cases[i].is_late)
        apply_planned_event (&world, planned_cases[i].event);
      turn_without_records (&world);
      assert_int_equal (world.owner->start_orders->len, 0);
      fl_core_finish_records (world.owner->core, planned_cases[i].event != RECORD_FAILED,
                              world.owner->now_ms);
      if (planned_cases[i].is_late)
        apply_planned_event (&world, planned_cases[i].event);
      turn_without_records (&world);
      int64_t starts = world.owner->start_orders->len;
      world.target_count = USED_TARGETS;
      add_entry (world.owner, "t3", 1, false);
      turn_for (&world, 2000);
      int64_t starts_later = world.owner->start_orders->len;
      if (starts != planned_cases[i].starts || starts_later != planned_cases[i].starts_later)
        {
          printf ("%s: %d starts, then %d\n", planned_cases[i].name, (int)starts,
                  (int)starts_later);
          failed++;
        }
      assert_int_equal (world.owner->stop_orders->len, 0);
      world_clear (&world);
    }
  assert_int_equal (failed, 0);
}

/* A target falls silent after the start of a task on it: the run stayed charged for ever, because
 * the expiry of its lease was computed while it was planned (seed 11 of test_core_cell lasting). */
static void
test_lease_of_a_planned_run_expires (void **state)
{
  struct world world;

  (void)state;
  world_init (&world);
  world.step = lasting_step (1);
  world.target_count = 1;
  change_owner (&world, 0);
  while (world.owner->start_orders->len == 0)
    turn (&world);
  world.targets[0].silent = true;
  world.target_count = USED_TARGETS;
  update_registry (&world);
  turn_for (&world, 1000);
  assert_int_equal (world.owner->start_orders->len, 1);
  reboot_target (&world, 0);
  turn_for (&world, 6000);
  assert_int_equal (world.owner->start_orders->len, 2);
  world_clear (&world);
}

/* While an owner read the jobs, it renewed leases on the targets that replied. Tasks on targets
 * that had left waited for the end of these leases, too (few-hosts-302). */
static void
test_owner_that_reads_jobs_for_long (void **state)
{
  static const enum target_fate fates[] = { IS_SILENT, LISTS_RUN, LISTS_RUN };
  struct world world;

  (void)state;
  world_init (&world);
  start_job (&world);
  struct expectation expected[USED_TARGETS] = { { task_on (&world, 0), RECONCILED },
                                                { task_on (&world, 1), NEVER },
                                                { task_on (&world, 2), NEVER } };
  apply_fates (&world, fates);
  world.reads_jobs = true;
  change_owner (&world, USED_TARGETS);
  add_room (&world);
  turn_for (&world, 6000);
  fl_core_set_jobs_known (world.owner->core);
  assert_true (run_and_check (&world, expected));
  world_clear (&world);
}

/* A task is suspected of a crash, and the target of its next run falls silent. The other task of
 * the job waited for the end of that lease. */
static void
test_task_beside_a_suspected_one (void **state)
{
  struct world world;

  (void)state;
  world_init (&world);
  world.step = lasting_step (2);
  world.target_count = 2;
  change_owner (&world, 0);
  turn_for (&world, 3000);
  struct fl_start_order first = *get_start_order (world.owner, 0);
  int other = find_model_target (&world, &get_start_order (world.owner, 1)->target) - world.targets;
  reboot_target (&world, find_model_target (&world, &first.target) - world.targets);
  turn_for (&world, 200);
  assert_int_equal (world.owner->start_orders->len, 3);
  /* The run is not listed for long enough to clear the task. */
  struct model_target *crashed
      = find_model_target (&world, &get_start_order (world.owner, 2)->target);
  reboot_target (&world, crashed - world.targets);
  world.target_count = TARGETS;
  update_registry (&world);
  while (world.owner->start_orders->len == 3)
    turn (&world);
  find_model_target (&world, &get_start_order (world.owner, 3)->target)->silent = true;
  turn_for (&world, 2000);
  reboot_target (&world, other);
  turn_for (&world, 2500);
  assert_int_equal (count_starts (&world, get_start_order (world.owner, 1)->task.data), 2);
  world_clear (&world);
}

/* --- the log of tasks that are down --- */

static int
count_lines (const struct fl_log_state *state, const char *text)
{
  g_autofree char *lines = g_strndup (state->buffer, state->buffered_bytes);
  int count = 0;

  for (const char *at = strstr (lines, text); at != NULL; at = strstr (at + 1, text))
    count++;
  return count;
}

/* A step logged one reason for its wait, and not that of each target. */
static void
test_log_of_tasks_that_are_down (void **state)
{
  g_autofree struct fl_log_state *log_state = g_new0 (struct fl_log_state, 1);
  struct fixture *fixture = fixture_new (0);

  (void)state;
  log_state->is_buffered = true;
  fixture->log = (struct fl_log){ .level = FL_LOG_NOTICE, .program = "test", .state = log_state };
  add_target (fixture, "t1", 1, true);
  add_target (fixture, "t2", 1, true);
  add_target (fixture, "t3", 1, false);
  deliver_result (fixture, "t3", FL_ORDER_NO_REPLY);
  add_job (fixture, "a", "urgent", lasting_step (2));
  for (int64_t end_ms = fixture->now_ms + 3000; fixture->now_ms < end_ms;)
    tick_until_recorded (fixture, 50);
  assert_int_equal (count_lines (log_state, "event=lasting_task_down"), 0);
  for (int64_t end_ms = fixture->now_ms + 3200; fixture->now_ms < end_ms;)
    tick_until_recorded (fixture, 50);
  assert_int_equal (count_lines (log_state, "event=lasting_task_down task=a.0.0.0"), 2);
  assert_int_equal (count_lines (log_state, "down=2 record=0 starting=0 settling=0 suspended=0"),
                    2);
  assert_int_equal (count_lines (log_state, "for=room query_ms="), 2);
  assert_int_equal (count_lines (log_state, "targets=\"1 silent, 2 draining\""), 2);
  assert_in_range (fl_stats_get (fixture->stats, "lasting_down_ms"), 6000, 6300);
  add_target (fixture, "t4", 2, false);
  tick_until_recorded (fixture, 50);
  confirm_start (fixture, 0);
  confirm_start (fixture, 1);
  tick_until_recorded (fixture, 200);
  assert_int_equal (fl_stats_get (fixture->stats, "lasting_down_ms"), 0);
  fixture_free (fixture);
}

/* --- preferences --- */

/* Why the only target is to be used for other tasks, or for none, when the task is accepted. */
enum preference
{
  PREFERENCE_TASKS_FAIL,
  PREFERENCE_WATCHED,
  PREFERENCE_URGENT_PEAK,
};

static void
end_run (struct fixture *fixture, int64_t number, enum fl_end_cause cause)
{
  guint index = fixture->start_orders->len - 1;
  struct fl_end_row end = { .number = number,
                            .task = get_start_order (fixture, index)->task,
                            .run = get_start_order (fixture, index)->run,
                            .cause = cause };

  confirm_start (fixture, index);
  deliver_report (fixture, "t1",
                  (struct fl_target_report){ .booted_at_ms = 1, .ends = &end, .end_count = 1 });
}

/* A task crashes the target, which is back at once, and is started there again. */
static void
crash_target (struct fixture *fixture)
{
  confirm_start (fixture, fixture->start_orders->len - 1);
  deliver_result (fixture, "t1", FL_ORDER_NO_REPLY);
  deliver_result (fixture, "t1", FL_ORDER_NO_LISTENER);
  for (int i = 0; i < 2; i++)
    {
      fixture->now_ms += 50;
      deliver_report (fixture, "t1", (struct fl_target_report){ .booted_at_ms = 2 });
    }
  tick_until_recorded (fixture, 50);
}

static void
set_preference (struct fixture *fixture, enum preference preference)
{
  struct fl_step_spec step = { .count = 1, .cpu_milli = 1000, .disruptions_max = -1 };

  if (preference == PREFERENCE_URGENT_PEAK)
    {
      step.count = 5;
      add_job (fixture, "rest", "slow", step);
      tick_until_recorded (fixture, 50);
      step.count = 1;
      step.cpu_milli = 5000;
    }
  add_job (fixture, "b0", "urgent", step);
  tick_until_recorded (fixture, 50);
  if (preference == PREFERENCE_TASKS_FAIL)
    for (int i = 1; i <= 3; i++)
      {
        end_run (fixture, i, FL_END_FAILED);
        add_job (fixture, fl_name_format ("b%d", i).data, "urgent", step);
        tick_until_recorded (fixture, 50);
      }
  if (preference == PREFERENCE_WATCHED)
    crash_target (fixture);
  if (preference == PREFERENCE_URGENT_PEAK)
    end_run (fixture, 1, FL_END_DONE);
}

/* The only target was held for another purpose for as long as that lasted. */
static void
test_preferences_give_way (void **state)
{
  static const char *const names[]
      = { "tasks fail there", "a watched run", "room of the team kept for urgent work" };
  int failed = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    {
      struct fixture *fixture = fixture_new (10000);
      add_target (fixture, "t1", 20, false);
      set_preference (fixture, (enum preference)i);
      guint before = fixture->start_orders->len;
      add_job (fixture, "a", "slow", lasting_step (1));
      int64_t accepted_ms = fixture->now_ms;
      while (fixture->start_orders->len == before && fixture->now_ms < accepted_ms + 10000)
        tick_until_recorded (fixture, 50);
      int64_t waited_ms = fixture->now_ms - accepted_ms;
      if (waited_ms < 1000 || waited_ms > 2100)
        {
          printf ("%s: started after %d ms\n", names[i], (int)waited_ms);
          failed++;
        }
      fixture_free (fixture);
    }
  assert_int_equal (failed, 0);
}

/* --- advice --- */

/* Each query was about as few targets as were likely to suffice. Where others took their room
 * before the reply, or a reply was lost, the step waited for several queries, one after the other.
 */
static void
test_query_about_an_overdue_step (void **state)
{
  struct fixture *fixture = fixture_new (0);

  (void)state;
  for (int i = 0; i < 40; i++)
    add_target (fixture, fl_name_format ("t%d", i).data, 1, false);
  add_job (fixture, "a", "slow-advised", lasting_step (1));
  tick_until_recorded (fixture, 50);
  assert_in_range (fixture->queried_targets->len, 1, 10);
  tick_until_recorded (fixture, 2000);
  fl_core_handle_advice_reply (
      fixture->core, &fixture->queried_step, (struct fl_name *)fixture->queried_targets->data,
      fixture->queried_targets->len, &(struct fl_advice_reply){ 0 }, fixture->now_ms);
  tick_until_recorded (fixture, 50);
  assert_int_equal (fixture->query_count, 2);
  assert_int_equal (fixture->queried_targets->len, 30);
  fixture_free (fixture);
}

static const struct
{
  const char *name;
  bool long_running;
  int64_t cores;
  int64_t per_target_max;
  bool is_queried;
} contended_cases[] = {
  { "room for one", false, 1, 0, false },
  { "room for two", false, 2, 0, true },
  { "room for two, one is allowed", false, 2, 1, true },
  { "long-running, room for one", true, 1, 0, false },
  { "long-running, room for two, one is allowed", true, 2, 1, true },
};

/* All targets with room were charged for queries of other steps. A step that is limited to one task
 * on a target was not queried for as long as others were. */
static void
test_advice_beside_other_queries (void **state)
{
  int failed = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (contended_cases); i++)
    {
      struct fixture *fixture = fixture_new (0);
      int64_t cpu_milli = 1000 * contended_cases[i].cores;
      struct fl_step_spec step = { .count = 1,
                                   .cpu_milli = 1000,
                                   .long_running = contended_cases[i].long_running,
                                   .per_target_max = contended_cases[i].per_target_max };
      add_target (fixture, "t1", contended_cases[i].cores, false);
      add_job (fixture, "b", "advised",
               (struct fl_step_spec){ .count = 1, .cpu_milli = cpu_milli });
      tick_until_recorded (fixture, 50);
      assert_string_equal (fixture->queried_step.data, "b.0.0");
      add_job (fixture, "a", "slow-advised", step);
      for (int64_t end_ms = fixture->now_ms + 2000; fixture->now_ms < end_ms;)
        tick_until_recorded (fixture, 50);
      bool is_queried = strcmp (fixture->queried_step.data, "a.0.0") == 0;
      if (is_queried != contended_cases[i].is_queried)
        {
          printf ("%s: %s\n", contended_cases[i].name, is_queried ? "queried" : "not queried");
          failed++;
        }
      fixture_free (fixture);
    }
  assert_int_equal (failed, 0);
}

/* --- advice while silent targets are waited for --- */

struct ahead_case
{
  const char *name;
  bool is_lasting;
  int64_t bound_ms; /* of the wait, from the acquisition; 0 for none */
  bool is_ahead;    /* whether advice is queried before the wait ends */
};

/* Delivers a ticket for t2 as the reply to the last query. */
static void
advise (struct fixture *owner)
{
  struct fl_advised_target eligible[] = { { fl_name_of ("t2"), fl_name_of ("ticket-2") } };
  struct fl_advice_reply reply
      = { .received = true, .targets = eligible, .count = 1, .tickets_valid_ms = 2000 };
  g_autofree struct fl_name *queried = g_memdup2 (
      owner->queried_targets->data, owner->queried_targets->len * sizeof (struct fl_name));

  fl_core_handle_advice_reply (owner->core, &owner->queried_step, queried,
                               owner->queried_targets->len, &reply, owner->now_ms);
}

/* Tasks that last waited for a target that was gone, then for advice, and then for room that other
 * work had taken meanwhile. */
static void
test_advice_before_the_wait_ends (void **state)
{
  static const struct ahead_case cases[] = {
    { "lasting", true, 0, true },
    { "lasting, bounded wait", true, 3000, true },
    { "not lasting", false, 0, false },
  };
  const struct fl_name silent = fl_name_of ("t1");
  const struct fl_name sound = fl_name_of ("t2");

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      int64_t end_ms = 100000 + (cases[i].bound_ms > 0 ? cases[i].bound_ms : RECONCILIATION_MS);
      struct fixture_options options = { .reconciled_at_ms = 100000 + RECONCILIATION_MS,
                                         .fencing_token = 1 + FL_FENCING_TOKENS_PER_OWNER,
                                         .acquired_version = 100000 };
      struct fl_step_spec step = {
        .count = 1, .cpu_milli = 1000, .long_running = cases[i].is_lasting, .disruptions_max = -1
      };
      struct fl_job_progress progress = { .any_target = true };
      struct fl_heartbeat_order order;
      struct fixture *owner = fixture_new_with (&options);
      int64_t queried_ms = 0;
      owner->now_ms = 100000;
      fl_core_inherit_target (owner->core, &silent, &silent);
      if (cases[i].bound_ms > 0)
        fl_core_bound_inherited_target (owner->core, &silent, end_ms);
      add_entry (owner, sound.data, 4, false);
      add_recorded_job (owner, "a", "advised", step, &progress);
      fl_core_set_jobs_known (owner->core);
      while (owner->start_orders->len == 0 && owner->now_ms < end_ms + 2000)
        {
          int queries = owner->query_count;
          owner->now_ms += STEP_MS;
          if (fl_core_prepare_heartbeat (owner->core, &sound, owner->now_ms, &order))
            deliver_report (
                owner, sound.data,
                (struct fl_target_report){ .booted_at_ms = 1, .clock_ms = owner->now_ms });
          fl_core_tick (owner->core, owner->now_ms, owner->now_ms);
          store_records (owner);
          if (owner->query_count == queries)
            continue;
          queried_ms = queried_ms > 0 ? queried_ms : owner->now_ms;
          advise (owner);
        }
      printf ("%s: queried %d ms before the end of the wait, started %d ms after\n", cases[i].name,
              (int)(end_ms - queried_ms), (int)(owner->now_ms - end_ms));
      assert_int_equal (owner->start_orders->len, 1);
      assert_in_range (owner->now_ms, end_ms, end_ms + 4 * STEP_MS);
      if (cases[i].is_ahead)
        assert_in_range (queried_ms, end_ms - 1200, end_ms - 1000);
      else
        assert_true (queried_ms >= end_ms);
      fixture_free (owner);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_start_after_change_of_owner),
    cmocka_unit_test (test_task_that_was_never_started),
    cmocka_unit_test (test_owner_dies_while_target_is_recorded),
    cmocka_unit_test (test_chain_of_owners),
    cmocka_unit_test (test_team_limit_after_change_of_owner),
    cmocka_unit_test (test_other_steps_wait_for_all_targets),
    cmocka_unit_test (test_events_before_the_start_is_recorded),
    cmocka_unit_test (test_lease_of_a_planned_run_expires),
    cmocka_unit_test (test_owner_that_reads_jobs_for_long),
    cmocka_unit_test (test_task_beside_a_suspected_one),
    cmocka_unit_test (test_log_of_tasks_that_are_down),
    cmocka_unit_test (test_preferences_give_way),
    cmocka_unit_test (test_query_about_an_overdue_step),
    cmocka_unit_test (test_advice_beside_other_queries),
    cmocka_unit_test (test_advice_before_the_wait_ends),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
