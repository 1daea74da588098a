/* Rank of targets that are cold: slower for some time after they have started or have been empty.
 *
 * Load pattern: a failure domain is taken back after an evacuation. Its targets are empty and cold.
 * Placement by free capacity would send all new tasks there at once, although warm targets have
 * room. Cold targets are used where no warm one fits, and take their share again as they get warm.
 *
 * Pure: no I/O, no clock. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/* Zeroed for a target that is warm. */
struct fl_warm_up
{
  int64_t warm_at_ms;
  int64_t duration_ms; /* from when it was first known to be cold */
};

/* Applies the report that the target is cold for another @left_ms; 0 if it is warm. */
void fl_warm_up_update (struct fl_warm_up *warm_up, int64_t left_ms, int64_t now_ms);

bool fl_warm_up_is_cold (const struct fl_warm_up *warm_up, int64_t now_ms);

/* @return the free CPU by which to rank a target that has @free_milli of @capacity_milli: less than
 * that of each warm target with free CPU when it has just become cold, and all of it when it is
 * warm. It rises evenly between, or, with @is_urgent, not before the target is warm. */
int64_t fl_warm_up_rank_cpu (const struct fl_warm_up *warm_up,
                             int64_t free_milli,
                             int64_t capacity_milli,
                             bool is_urgent,
                             int64_t now_ms);
