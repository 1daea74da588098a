/* Bounds of numbers that other writers send. Sums of values within them fit into an int64_t. */
#pragma once

#include <stdint.h>

/* Of CPU in thousandths of a core, memory in MB, or GPUs, of a target or a task. */
#define FL_RESOURCE_MAX INT64_C (1000000000)
/* The same of all targets together. */
#define FL_RESOURCE_SUM_MAX INT64_C (1000000000000000)
#define FL_DAY_MS (INT64_C (24) * 3600 * 1000)
#define FL_DURATION_MAX_MS (30 * FL_DAY_MS)
/* Unix time, in the year 2255; also of clocks that start with a target. */
#define FL_TIME_MAX_MS INT64_C (9000000000000)
/* Run and end numbers, versions: whole numbers that a double holds, with room to count on. */
#define FL_NUMBER_MAX (INT64_C (1) << 53)
/* For which an advice ticket is valid. */
#define FL_TICKET_VALID_MAX_MS 600000
/* Factors and weights. */
#define FL_FACTOR_MAX 1000000
