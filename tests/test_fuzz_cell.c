/* Fixed seeds of the stateful fuzzer, and mutations that its oracle has to notice.
 * With arguments SEED [STEPS [MUTATION]] it runs just that. */
#include <inttypes.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>
#include <glib.h>

#include "fuzz_cell.h"

struct fuzz_case
{
  uint32_t seed;
  int64_t steps;
  enum fuzz_mutation mutation;
  int seeds; /* how many seeds in a row; a mutation has to show in one of them */
};

static const struct fuzz_case cases[] = {
  { 1, 60000, FUZZ_NONE, 4 },           { 100, 60000, FUZZ_NONE, 4 },
  { 200, 60000, FUZZ_NONE, 4 },         { 1000, 40000, FUZZ_NO_WAIT, 6 },
  { 2000, 40000, FUZZ_SHORT_LEASE, 6 },
};

static void
print_report (uint32_t seed, const struct fuzz_report *r)
{
  print_message ("  seed %u: %" PRId64 " steps, %" PRId64 " s, %" PRId64 " requests, %" PRId64
                 " jobs, %" PRId64 " gifts, done %" PRId64 " not_run %" PRId64 " unknown %" PRId64
                 ": %s\n",
                 seed, r->steps, r->virtual_ms / 1000, r->requests, r->jobs, r->gifts,
                 r->answers[FL_OUTCOME_DONE], r->answers[FL_OUTCOME_NOT_RUN],
                 r->answers[FL_OUTCOME_UNKNOWN], r->violation != NULL ? r->violation : "held");
}

static void
test_fuzz (void **state)
{
  const struct fuzz_case *c = *state;
  int violations = 0;

  for (int i = 0; i < c->seeds; i++)
    {
      struct fuzz_report report = { 0 };
      violations += !fuzz_cell_run (c->seed + (uint32_t)i, c->steps, c->mutation, &report);
      print_report (c->seed + (uint32_t)i, &report);
    }
  if (c->mutation == FUZZ_NONE)
    assert_int_equal (violations, 0);
  else
    assert_true (violations > 0);
}

static int
run_one (int argc, char **argv)
{
  struct fuzz_report report = { 0 };
  uint32_t seed = (uint32_t)strtoul (argv[1], NULL, 10);
  int64_t steps = argc > 2 ? strtoll (argv[2], NULL, 10) : 100000;
  enum fuzz_mutation mutation = argc > 3 ? (enum fuzz_mutation)atoi (argv[3]) : FUZZ_NONE;
  bool held = fuzz_cell_run (seed, steps, mutation, &report);

  print_report (seed, &report);
  return held ? 0 : 1;
}

int
main (int argc, char **argv)
{
  struct CMUnitTest tests[G_N_ELEMENTS (cases)];

  if (argc > 1)
    return run_one (argc, argv);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    tests[i] = (struct CMUnitTest){ "fuzz", test_fuzz, NULL, NULL, (void *)&cases[i] };
  return cmocka_run_group_tests_name ("fuzz_cell", tests, NULL, NULL);
}
