/* Sets of tasks of a job, as bytes.
 *
 * The tasks of a job are numbered through: occurrence by occurrence, and step by step within one.
 * A set takes at most a bit for each number up to its last one, and less if its tasks are few or
 * follow each other. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "common/str.h"

/* Consecutive members of a set. */
struct fl_task_range
{
  int64_t first;
  int64_t count;
};

/* @ranges: struct fl_task_range, ascending, not adjacent to each other.
 * @return the set, owned by the caller; empty if there are none. */
struct fl_str fl_task_set_encode (const GArray *ranges);

/* Appends the members of @set as struct fl_task_range to @ranges, as fl_task_set_encode takes them.
 * @return false if @set is malformed or has a member that is not below @max. */
bool fl_task_set_decode (const struct fl_str *set, int64_t max, GArray *ranges);
