/* Targets that are silent to several owners in a row: what each owner records of those that it has
 * not heard, when it may give leases there, and for how long its successor waits for them. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "poold/ownership.h"
#include "support_core.h"

#define STEP_MS 50
/* From an acquisition until the leases that earlier owners gave have expired. */
#define RECONCILIATION_MS 7680
/* Within this time after its acquisition, an owner has chosen what it records. */
#define CHOICE_MS 500
#define FIRST_MS 100000

static const struct fl_name silent = { 2, "t1" };
static const struct fl_name sound = { 2, "t2" };

/* The record as the store has it. */
struct record
{
  GArray *targets; /* struct fl_unheard_target; NULL for none */
  int64_t fencing_token;
  int64_t written_ms;
};

struct world
{
  struct fixture *owner;
  int64_t number; /* of the owner */
  int64_t acquired_ms;
  bool is_sound;        /* t1 reports */
  struct record record; /* as stored */
  GArray *late;         /* a write that has not taken effect; NULL for none */
  int64_t deadlines;    /* heartbeats to t1 with a deadline */
};

static int64_t
get_token (const struct world *world)
{
  return 1 + (world->number - 1) * FL_FENCING_TOKENS_PER_OWNER;
}

static void
store (struct world *world, GArray *targets)
{
  if (world->record.targets != NULL)
    g_array_unref (world->record.targets);
  world->record = (struct record){ targets, get_token (world), world->owner->now_ms };
}

static bool
record_names (const struct world *world, const struct fl_name *id)
{
  for (guint i = 0; world->record.targets != NULL && i < world->record.targets->len; i++)
    if (fl_name_eq (&g_array_index (world->record.targets, struct fl_unheard_target, i).id, id))
      return true;
  return false;
}

static void
send_heartbeat (struct world *world, const struct fl_heartbeat_order *order)
{
  struct fl_target_report report = { .booted_at_ms = 1, .clock_ms = world->owner->now_ms };
  bool is_silent_target = fl_name_eq (&order->target, &silent);

  if (is_silent_target && order->deadline_ms > 0)
    {
      world->deadlines++;
      if (record_names (world, &silent) && world->record.fencing_token == get_token (world))
        fail_msg ("a lease is given while the record denies it");
    }
  if (is_silent_target && !world->is_sound)
    deliver_result (world->owner, order->target.data, FL_ORDER_NO_REPLY);
  else
    deliver_report (world->owner, order->target.data, report);
}

static void
turn (struct world *world)
{
  const struct fl_name *ids[] = { &silent, &sound };
  struct fl_heartbeat_order order;

  world->owner->now_ms += STEP_MS;
  for (size_t i = 0; i < G_N_ELEMENTS (ids); i++)
    if (fl_core_prepare_heartbeat (world->owner->core, ids[i], world->owner->now_ms, &order))
      send_heartbeat (world, &order);
  fl_core_tick (world->owner->core, world->owner->now_ms, world->owner->now_ms);
  store_records (world->owner);
  for (guint i = 0; i < world->owner->start_orders->len; i++)
    if (fl_name_eq (&get_start_order (world->owner, i)->target, &silent)
        && record_names (world, &silent) && world->record.fencing_token == get_token (world))
      fail_msg ("a task is started while the record denies a lease");
}

static void
turn_for (struct world *world, int64_t duration_ms)
{
  for (int64_t end_ms = world->owner->now_ms + duration_ms; world->owner->now_ms < end_ms;)
    turn (world);
}

/* As the pool daemon does: only the record of the previous owner counts. */
static void
inherit_record (struct world *world)
{
  const struct record *record = &world->record;
  bool is_next = record->targets != NULL
                 && record->fencing_token + FL_FENCING_TOKENS_PER_OWNER == get_token (world);

  for (guint i = 0; is_next && i < record->targets->len; i++)
    {
      const struct fl_unheard_target *row
          = &g_array_index (record->targets, struct fl_unheard_target, i);
      fl_core_bound_inherited_target (world->owner->core, &row->id,
                                      record->written_ms + row->left_ms * 102 / 100);
    }
}

/* The next owner acquires the pool. It knows one job, whose single task may run on t1. */
static void
change_owner (struct world *world)
{
  int64_t now_ms = world->owner != NULL ? world->owner->now_ms : FIRST_MS;
  struct fl_step_spec step
      = { .count = 1, .cpu_milli = 1000, .long_running = true, .disruptions_max = -1 };
  struct fl_job_progress progress = { .any_target = true };
  struct fixture_options options
      = { .reconciled_at_ms = now_ms + RECONCILIATION_MS, .acquired_version = now_ms };

  world->number++;
  options.fencing_token = get_token (world);
  if (world->owner != NULL)
    fixture_free (world->owner);
  world->owner = fixture_new_with (&options);
  world->owner->now_ms = now_ms;
  world->acquired_ms = now_ms;
  world->deadlines = 0;
  fl_core_inherit_target (world->owner->core, &silent, &silent);
  fl_core_inherit_target (world->owner->core, &sound, &sound);
  inherit_record (world);
  fl_core_set_inherited_known (world->owner->core, now_ms);
  add_entry (world->owner, sound.data, 4, false);
  add_recorded_job (world->owner, "a", "urgent", step, &progress);
  fl_core_set_jobs_known (world->owner->core);
}

static void
world_init (struct world *world)
{
  *world = (struct world){ .number = 1 };
  change_owner (world);
}

static void
world_clear (struct world *world)
{
  if (world->record.targets != NULL)
    g_array_unref (world->record.targets);
  if (world->late != NULL)
    g_array_unref (world->late);
  fixture_free (world->owner);
}

/* What becomes of a write of the record. */
enum fate
{
  STORED,
  LOST,        /* it never takes effect, and has no reply */
  REPLY_LOST,  /* it takes effect, and has no reply */
  LATE,        /* it has no reply, and may take effect later */
  NOT_WRITTEN, /* the owner is one of an earlier version */
};

static bool
is_outdated (const struct world *world)
{
  return fl_core_unheard_record_is_outdated (world->owner->core, world->owner->now_ms);
}

static void
write_record (struct world *world, enum fate fate)
{
  GArray *targets;

  if (fate == NOT_WRITTEN || !is_outdated (world))
    return;
  targets = fl_core_collect_unheard_record (world->owner->core, world->owner->now_ms);
  if (fate == STORED || fate == REPLY_LOST)
    store (world, g_array_ref (targets));
  if (fate == LATE)
    world->late = g_array_ref (targets);
  fl_core_finish_unheard_record (world->owner->core, fate == STORED);
  g_array_unref (targets);
}

static int64_t
wait_for_start (struct world *world)
{
  int64_t from_ms = world->owner->now_ms;

  while (world->owner->start_orders->len == 0
         && world->owner->now_ms < from_ms + 2 * RECONCILIATION_MS)
    turn (world);
  return world->owner->now_ms;
}

struct wait_case
{
  const char *name;
  enum fate fates[2];     /* of the records of the first two owners */
  int64_t terms_ms[2];    /* how long these own the pool */
  int awaited_owner;      /* whose wait ends with that of the third owner; by number from 0 */
  bool answers_meanwhile; /* t1 reports once to the second owner, which stores that */
};

/* Each of three owners waited anew for a target that none of them heard. */
static void
test_wait_of_third_owner (void **state)
{
  static const struct wait_case cases[] = {
    { "all stored", { STORED, STORED }, { 1000, 1000 }, 0, false },
    { "long terms", { STORED, STORED }, { 3000, 3000 }, 0, false },
    { "first lost", { LOST, STORED }, { 1000, 1000 }, 1, false },
    { "second lost", { STORED, LOST }, { 1000, 1000 }, 2, false },
    { "reply to the second lost", { STORED, REPLY_LOST }, { 1000, 1000 }, 0, false },
    { "second of an earlier version", { STORED, NOT_WRITTEN }, { 1000, 1000 }, 2, false },
    { "first of an earlier version", { NOT_WRITTEN, STORED }, { 1000, 1000 }, 1, false },
    { "second hears the target", { STORED, STORED }, { 1000, 1000 }, 2, true },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct world world;
      int64_t acquired_ms[3];
      world_init (&world);
      for (int j = 0; j < 2; j++)
        {
          acquired_ms[j] = world.acquired_ms;
          turn_for (&world, CHOICE_MS);
          write_record (&world, cases[i].fates[j]);
          world.is_sound = j == 1 && cases[i].answers_meanwhile;
          if (world.is_sound)
            add_entry (world.owner, silent.data, 4, false);
          turn_for (&world, cases[i].terms_ms[j] - CHOICE_MS);
          if (world.is_sound)
            write_record (&world, STORED);
          world.is_sound = false;
          turn_for (&world, STEP_MS);
          assert_true (world.owner->start_orders->len == 0 || cases[i].answers_meanwhile);
          change_owner (&world);
        }
      acquired_ms[2] = world.acquired_ms;
      int64_t awaited_ms = acquired_ms[cases[i].awaited_owner] + RECONCILIATION_MS;
      int64_t late_ms = wait_for_start (&world) - awaited_ms;
      printf ("%s: %d ms after the end of the leases\n", cases[i].name, (int)late_ms);
      assert_true (late_ms >= 0 && late_ms <= RECONCILIATION_MS * 4 / 100 + 2 * STEP_MS);
      world_clear (&world);
    }
}

struct lease_case
{
  const char *name;
  enum fate first;
  enum fate second; /* of the record without the target */
  bool may_renew;
};

/* A target of the record reports. It gets no lease until a record without it is stored. */
static void
test_no_lease_while_recorded (void **state)
{
  static const struct lease_case cases[] = {
    { "not recorded yet", NOT_WRITTEN, NOT_WRITTEN, true },
    { "stored, nothing since", STORED, NOT_WRITTEN, false },
    { "stored, and without it", STORED, STORED, true },
    { "stored, the next one lost", STORED, LOST, false },
    { "stored, the reply to the next one lost", STORED, REPLY_LOST, false },
    { "no reply, nothing since", LATE, NOT_WRITTEN, false },
    { "no reply, then without it", LATE, STORED, true },
    { "no reply twice", LATE, LOST, false },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct world world;
      print_message ("%s\n", cases[i].name);
      world_init (&world);
      add_entry (world.owner, silent.data, 4, false);
      world.is_sound = cases[i].first == NOT_WRITTEN;
      turn_for (&world, CHOICE_MS);
      write_record (&world, cases[i].first);
      world.is_sound = true;
      turn_for (&world, CHOICE_MS);
      if (cases[i].first != NOT_WRITTEN)
        {
          assert_int_equal (world.deadlines, 0);
          assert_true (is_outdated (&world));
        }
      if (world.late != NULL)
        store (&world, g_steal_pointer (&world.late));
      write_record (&world, cases[i].second);
      turn_for (&world, CHOICE_MS);
      assert_int_equal (world.deadlines > 0, cases[i].may_renew);
      if (cases[i].may_renew)
        {
          /* Silence that follows adds nothing to the record. */
          world.is_sound = false;
          turn_for (&world, 2000);
          assert_false (is_outdated (&world));
        }
      world_clear (&world);
    }
}

/* A target of the record leaves, is forgotten, and is back under its id, in another boot. */
static void
test_target_that_is_back (void **state)
{
  struct world world;

  (void)state;
  world_init (&world);
  turn_for (&world, CHOICE_MS);
  write_record (&world, STORED);
  assert_true (record_names (&world, &silent));
  turn_for (&world, RECONCILIATION_MS);
  assert_int_equal (fl_core_target_count (world.owner->core), 1);
  world.is_sound = true;
  add_entry (world.owner, silent.data, 4, false);
  turn_for (&world, 1000);
  assert_int_equal (world.deadlines, 0);
  write_record (&world, STORED);
  assert_false (record_names (&world, &silent));
  turn_for (&world, 1000);
  assert_true (world.deadlines > 0);
  world_clear (&world);
}

/* A target that was heard before the list of earlier targets was read, and left, is not recorded
 * when it is inherited: it got a lease. */
static void
test_target_that_was_heard_before (void **state)
{
  struct fixture_options options
      = { .reconciled_at_ms = FIRST_MS + RECONCILIATION_MS, .fencing_token = 101 };
  struct fixture *owner = fixture_new_with (&options);
  struct fl_heartbeat_order order;

  (void)state;
  owner->now_ms = FIRST_MS;
  add_entry (owner, silent.data, 4, false);
  fl_core_set_jobs_known (owner->core);
  for (int i = 0; i < 3; i++)
    {
      owner->now_ms += STEP_MS;
      if (fl_core_prepare_heartbeat (owner->core, &silent, owner->now_ms, &order))
        deliver_report (owner, silent.data,
                        (struct fl_target_report){ .booted_at_ms = 1, .clock_ms = owner->now_ms });
    }
  assert_true (order.deadline_ms > 0);
  fl_core_remove_target (owner->core, &silent);
  assert_int_equal (fl_core_target_count (owner->core), 0);
  fl_core_inherit_target (owner->core, &silent, &silent);
  fl_core_inherit_target (owner->core, &sound, &sound);
  fl_core_set_inherited_known (owner->core, owner->now_ms);
  assert_false (fl_core_unheard_record_is_outdated (owner->core, owner->now_ms));
  owner->now_ms += CHOICE_MS;
  assert_true (fl_core_unheard_record_is_outdated (owner->core, owner->now_ms));
  g_autoptr (GArray) targets = fl_core_collect_unheard_record (owner->core, owner->now_ms);
  assert_int_equal (targets->len, 1);
  assert_true (fl_name_eq (&g_array_index (targets, struct fl_unheard_target, 0).id, &sound));
  fixture_free (owner);
}

/* --- from when the time left counts --- */

/* A store whose version is the time, and that replies at once. */
struct clocked_store
{
  int64_t now_ms;
  int64_t acquired_ms;
};

static int64_t
read_clock (void *context)
{
  return ((const struct clocked_store *)context)->now_ms;
}

static void
reply_ok (const struct clocked_store *store,
          void (*done) (void *context, const struct fl_store_reply *reply),
          void *done_context)
{
  struct fl_store_reply reply = { .status = FL_STORE_OK, .version = store->now_ms };

  done (done_context, &reply);
}

static void
read_rows (void *context,
           const char *table,
           const char *partition,
           const char *first_key,
           const char *end_key,
           int64_t timeout_ms,
           void (*done) (void *context, const struct fl_store_reply *reply),
           void *done_context)
{
  (void)table;
  (void)partition;
  (void)first_key;
  (void)end_key;
  (void)timeout_ms;
  reply_ok (context, done, done_context);
}

static void
transact (void *context,
          const struct fl_store_transaction *transaction,
          int64_t timeout_ms,
          void (*done) (void *context, const struct fl_store_reply *reply),
          void *done_context)
{
  (void)transaction;
  (void)timeout_ms;
  reply_ok (context, done, done_context);
}

static void
on_acquired (void *context, int64_t token, int64_t version, bool previous_owner_may_be_active)
{
  struct clocked_store *store = context;

  (void)token;
  (void)version;
  (void)previous_owner_may_be_active;
  store->acquired_ms = store->now_ms;
}

static void
on_lost (void *context)
{
  (void)context;
}

static int64_t
get_delay (void *context, bool never_owned)
{
  (void)context;
  (void)never_owned;
  return 20000;
}

struct count_case
{
  const char *name;
  int64_t written_ms; /* after the first read; the version of the row */
  int64_t from_ms;    /* the earliest, and at most one poll of a standby later */
};

/* A standby has read the store every 0.8 s for 20 s, and remembers the last reads. */
static void
test_time_left_counts_from_first_read (void **state)
{
  static const struct count_case cases[] = {
    { "before the acquisition", 19990, 19990 },
    { "between reads", 15300, 15300 },
    { "long before", 12000, 12000 },
    { "after the acquisition", 20500, 25000 },
  };
  static const struct fl_log log = { 0 };
  struct clocked_store clocked = { .now_ms = FIRST_MS };
  struct fl_store store = { .context = &clocked, .transact = transact, .read = read_rows };
  struct fl_ownership_options options = { .clock = { read_clock, &clocked },
                                          .log = &log,
                                          .store = &store,
                                          .host = fl_name_of ("h1"),
                                          .acquire_delay_ms = get_delay,
                                          .on_acquired = on_acquired,
                                          .on_lost = on_lost,
                                          .context = &clocked };
  struct fl_ownership *ownership = fl_ownership_new (&options);

  (void)state;
  for (; clocked.now_ms <= FIRST_MS + 25000; clocked.now_ms += 10)
    if (clocked.acquired_ms == 0)
      fl_ownership_tick (ownership);
  clocked.now_ms = FIRST_MS + 25000;
  assert_in_range (clocked.acquired_ms, FIRST_MS + 20000, FIRST_MS + 20100);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      int64_t at_ms
          = fl_ownership_count_from_version (ownership, FIRST_MS + cases[i].written_ms, 5000);
      int64_t least_ms = FIRST_MS + cases[i].from_ms + 5100;
      printf ("%s: %d ms after the least\n", cases[i].name, (int)(at_ms - least_ms));
      assert_in_range (at_ms, least_ms, least_ms + 810);
    }
  fl_ownership_free (ownership);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_wait_of_third_owner),
    cmocka_unit_test (test_no_lease_while_recorded),
    cmocka_unit_test (test_target_that_is_back),
    cmocka_unit_test (test_target_that_was_heard_before),
    cmocka_unit_test (test_time_left_counts_from_first_read),
  };

  return cmocka_run_group_tests_name ("unheard_targets", tests, NULL, NULL);
}
