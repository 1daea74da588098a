/* Stateful fuzzing of lib/core in a small cell: see support_cell.h. Without arguments a table of
 * kinds of trouble, each with some seeds; with SEED COUNT [TASK], COUNT runs of everything
 * at once; with trouble NUMBER SEED TASK, one run of the table; printing what concerns TASK. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "support_cell.h"

#define SEEDS 12

struct trouble
{
  const char *name;
  struct cell_fault_rates faults;
  bool advice;
};

static const struct trouble troubles[] = {
  { "calm", { 0 }, false },
  { "calm with advice", { 0 }, true },
  { "tasks fail", { .task_failed = 150 }, true },
  { "orders lost", { .order_reply_lost = 100 }, true },
  { "orders late", { .order_late = 100 }, true },
  { "targets crash", { .target_crash = 50 }, true },
  { "targets crash and come back as others", { .target_crash = 50, .target_new_id = 700 }, true },
  { "targets cut off", { .target_isolated = 50 }, true },
  { "targets drain", { .target_drain = 40, .target_new_id = 1000 }, true },
  { "owner killed", { .owner_killed = 20 }, true },
  { "owner frozen", { .owner_frozen = 20 }, true },
  { "owner cut from the store", { .owner_isolated = 20 }, true },
  { "store loses answers", { .store_reply_lost = 300 }, true },
  { "tasks fail, owner killed",
    { .task_failed = 250, .owner_killed = 25, .store_reply_lost = 200 },
    true },
  { "store slow, owner killed",
    { .store_delay_max_ms = 400, .owner_killed = 20, .target_isolated = 40 },
    true },
  { "jobs cancelled", { .job_cancelled = 200 }, true },
  { "owner killed, jobs cancelled", { .owner_killed = 20, .job_cancelled = 300 }, true },
};

static const struct cell_fault_rates everything = { .order_reply_lost = 30,
                                                    .order_late = 30,
                                                    .target_crash = 15,
                                                    .target_new_id = 500,
                                                    .target_isolated = 20,
                                                    .target_drain = 15,
                                                    .owner_killed = 6,
                                                    .owner_frozen = 6,
                                                    .owner_isolated = 6,
                                                    .store_reply_lost = 50,
                                                    .store_delay_max_ms = 150,
                                                    .job_cancelled = 30,
                                                    .task_failed = 40 };

/* Seeds of everything at once that broke a rule once, with the cause. */
static const struct
{
  uint64_t seed;
  const char *cause;
} regressions[] = {
  { 2338, "a hold forgot ends of a new boot by numbers of the old one" },
  { 5440, "the same, beside a new owner" },
  { 4572, "a start that reached a new boot was given up with the lease of the old one" },
  { 1500, "a run of a task that is done was not charged to its team" },
  { 3530, "the same" },
  { 624, "a stop was sent again before a hold could show its effect" },
  { 100, "the same" },
  { 137, "a failure was counted by two owners" },
  { 1249, "the same" },
  { 8, "a start beside a slow store, beyond the targets that a record named" },
  { 1191, "the same" },
  { 30744, "a leaving target was forgotten before its ends were recorded" },
  { 95, "an owner recorded an unsettled job of its predecessor as settled" },
};

/* Places for scripted faults in a cell of two targets and four jobs: orders, records and slots of
 * half a second in which they run. */
#define WALK_TARGETS 2
#define WALK_JOBS 4
#define WALK_LENGTH_MS 4000
#define WALK_ORDERS 16
#define WALK_COMMITS 12

static struct cell_result
play (uint64_t seed, const struct cell_fault_rates *faults, bool advice, const char *trace)
{
  struct cell_options options = { .seed = seed,
                                  .target_count = 6,
                                  .job_count = 60,
                                  .fault_phase_ms = 30000,
                                  .advice_required = advice,
                                  .fault_rates = *faults,
                                  .trace_prefix = trace };

  return cell_simulate (&options);
}

static void
test_troubles (void **state)
{
  int failed = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (troubles); i++)
    for (uint64_t seed = 1; seed <= SEEDS; seed++)
      {
        struct cell_result result = play (seed, &troubles[i].faults, troubles[i].advice, NULL);
        if (result.violation[0] == '\0')
          continue;
        printf ("%s, seed %d: %s\n", troubles[i].name, (int)seed, result.violation);
        failed++;
      }
  assert_int_equal (failed, 0);
}

static void
test_everything (void **state)
{
  int failed = 0;

  (void)state;
  for (uint64_t seed = 1; seed <= 10 * SEEDS; seed++)
    {
      struct cell_result result = play (seed, &everything, seed % 4 != 0, NULL);
      if (result.violation[0] == '\0')
        continue;
      printf ("everything, seed %d: %s\n", (int)seed, result.violation);
      failed++;
    }
  assert_int_equal (failed, 0);
}

static void
test_regressions (void **state)
{
  int failed = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (regressions); i++)
    {
      uint64_t seed = regressions[i].seed;
      struct cell_result result = play (seed, &everything, seed % 4 != 0, NULL);
      if (result.violation[0] == '\0')
        continue;
      printf ("%s, seed %d: %s\n", regressions[i].cause, (int)seed, result.violation);
      failed++;
    }
  assert_int_equal (failed, 0);
}

static int
places_of (enum cell_fault_kind kind)
{
  if (kind == CELL_FAULT_COMMIT_REPLY_LOST)
    return WALK_COMMITS;
  return kind < CELL_FAULT_TARGET_CRASH ? WALK_ORDERS : WALK_LENGTH_MS / CELL_FAULT_INTERVAL_MS;
}

static int
indexes_of (enum cell_fault_kind kind)
{
  if (kind == CELL_FAULT_JOB_CANCELLED)
    return WALK_JOBS;
  return kind >= CELL_FAULT_TARGET_CRASH && kind <= CELL_FAULT_TARGET_DRAIN ? WALK_TARGETS : 1;
}

static GArray *
all_strikes (void)
{
  GArray *strikes = g_array_new (FALSE, FALSE, sizeof (struct cell_fault));

  for (int kind = 0; kind < CELL_FAULT_KINDS; kind++)
    for (int at = 0; at < places_of ((enum cell_fault_kind)kind); at++)
      for (int index = 0; index < indexes_of ((enum cell_fault_kind)kind); index++)
        {
          struct cell_fault strike = { (enum cell_fault_kind)kind, at, index };
          g_array_append_val (strikes, strike);
        }
  return strikes;
}

static bool
walk_one (const struct cell_fault *pair)
{
  struct cell_options options = { .seed = 1,
                                  .target_count = WALK_TARGETS,
                                  .job_count = WALK_JOBS,
                                  .fault_phase_ms = WALK_LENGTH_MS,
                                  .advice_required = true,
                                  .scripted_faults = pair,
                                  .scripted_fault_count = 2 };
  struct cell_result result = cell_simulate (&options);

  if (result.violation[0] != '\0')
    printf ("faults %d at %d of %d and %d at %d of %d: %s\n", (int)pair[0].kind, pair[0].position,
            pair[0].index, (int)pair[1].kind, pair[1].position, pair[1].index, result.violation);
  return result.violation[0] == '\0';
}

/* Every pair of faults, at every place of a small case. */
static void
test_walk (void **state)
{
  GArray *strikes = all_strikes ();
  int failed = 0;
  int runs = 0;

  (void)state;
  for (guint i = 0; i < strikes->len; i++)
    for (guint j = i; j < strikes->len && failed < 10; j++)
      {
        struct cell_fault pair[] = { g_array_index (strikes, struct cell_fault, i),
                                     g_array_index (strikes, struct cell_fault, j) };
        failed += walk_one (pair) ? 0 : 1;
        runs++;
      }
  printf ("  core: %d runs of one or two faults\n", runs);
  g_array_unref (strikes);
  assert_int_equal (failed, 0);
}

static int
play_many (uint64_t first, int count, const char *trace)
{
  int failed = 0;

  for (int i = 0; i < count; i++)
    {
      struct cell_result result
          = play (first + (uint64_t)i, &everything, (first + i) % 4 != 0, trace);
      printf ("seed=%d accepted=%d ended=%d starts=%d lost=%d owners=%d %s\n", (int)(first + i),
              result.jobs_accepted, result.jobs_ended, (int)result.starts, (int)result.lost_runs,
              result.owner_count, result.violation);
      failed += result.violation[0] != '\0' ? 1 : 0;
    }
  printf ("%d of %d runs broke a rule\n", failed, count);
  return failed > 0 ? 1 : 0;
}

static int
play_trouble (int index, uint64_t seed, const char *trace)
{
  struct cell_result result = play (seed, &troubles[index].faults, troubles[index].advice, trace);

  printf ("%s, seed %d: %s\n", troubles[index].name, (int)seed, result.violation);
  return result.violation[0] != '\0' ? 1 : 0;
}

int
main (int argc, char **argv)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_troubles), cmocka_unit_test (test_everything),
          cmocka_unit_test (test_regressions), cmocka_unit_test (test_walk) };

  if (argc == 5 && strcmp (argv[1], "trouble") == 0)
    return play_trouble (atoi (argv[2]), strtoull (argv[3], NULL, 10), argv[4]);
  if (argc >= 3)
    return play_many (strtoull (argv[1], NULL, 10), atoi (argv[2]), argc > 3 ? argv[3] : NULL);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
