/* The stateful fuzzer: see fuzz_cell.c. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "domain/domain.h"

/* Mechanisms that can be taken out to see that the oracle misses them. */
enum fuzz_mutation
{
  FUZZ_NONE,
  FUZZ_NO_WAIT,    /* a taker neither waits for the lease nor asks for support */
  FUZZ_SHORT_LEASE /* tasks count as lapsed long before their leases have ended */
};

struct fuzz_report
{
  int64_t steps;
  int64_t virtual_ms;
  int64_t requests;
  int64_t jobs;
  int64_t gifts; /* transfers of allotments that were sent */
  int64_t answers[FL_OUTCOMES];
  const char *violation; /* NULL when every promise held */
};

/* Runs @steps events from @seed, then mends all faults and lets the cell settle. On a violation the
 * last lines of the trace are printed. @return whether every promise held. */
bool fuzz_cell_run (uint32_t seed,
                    int64_t steps,
                    enum fuzz_mutation mutation,
                    struct fuzz_report *report);
