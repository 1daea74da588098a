/* Orders that were meant for one boot of a target and reach the next one, which has its id. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "support_cell.h"

#define SEED_COUNT 40

struct boot_case
{
  const char *name;
  struct cell_fault_rates fault_rates;
};

static const struct boot_case boot_cases[] = {
  { "starts and stops executed in the next boot",
    { .order_late_any_boot = 100, .target_crash = 50, .task_failed = 40 } },
  { "heartbeats executed in the next boot",
    { .heartbeat_late_any_boot = 100, .target_crash = 50, .target_isolated = 20 } },
  { "the next boot has another capacity",
    { .target_crash = 50, .target_new_capacity = 1000, .order_reply_lost = 30 } },
  { "replies overtake each other",
    { .target_crash = 20, .reply_slow = 200, .order_reply_lost = 30 } },
};

static int
count_violations (const char *name, const struct cell_fault_rates *rates)
{
  int failed = 0;

  for (uint64_t seed = 1; seed <= SEED_COUNT; seed++)
    {
      struct cell_options options = { .seed = seed,
                                      .target_count = 6,
                                      .job_count = 60,
                                      .fault_phase_ms = 30000,
                                      .advice_required = seed % 4 != 0,
                                      .fault_rates = *rates };
      struct cell_result result = cell_simulate (&options);
      if (result.violation[0] == '\0')
        continue;
      printf ("%s, seed %d: %s\n", name, (int)seed, result.violation);
      failed++;
    }
  return failed;
}

/* TWICE and LIMIT: what was meant for one boot took effect in the next one. */
static void
test_order_executed_in_next_boot (void **state)
{
  int failed = 0;

  (void)state;
  for (size_t i = 0; i < sizeof boot_cases / sizeof boot_cases[0]; i++)
    failed += count_violations (boot_cases[i].name, &boot_cases[i].fault_rates);
  failed += count_violations ("all of these", &cell_late_order_rates);
  assert_int_equal (failed, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_order_executed_in_next_boot) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
