/* Ordered writes of one writer.
 *
 * A transaction without an answer may come into effect seconds later, after newer ones of the same
 * writer, and would then bring old values back. Every transaction of a lane therefore expects and
 * rewrites one row of the lane: once a newer one is in effect, an older one fails. */
#pragma once

#include "store/store.h"

struct fl_store_lane;

/* A lane whose row is @table, @part, @key. */
struct fl_store_lane *fl_store_lane_new (const struct fl_store *store,
                                         const char *table,
                                         const char *part,
                                         const char *key);

/* Frees the lane; an open transaction is still answered. */
void fl_store_lane_free (struct fl_store_lane *lane);

/* Whether a transaction is not answered yet; the next one has to wait. */
bool fl_store_lane_is_busy (const struct fl_store_lane *lane);

/* Applies @writes (at most FL_STORE_ENTRIES_MAX - 3) if @condition holds too. A conflict may mean
 * that an earlier write of this lane took effect without an answer: the lane has learnt of it and
 * the caller may repeat. */
void fl_store_lane_write (struct fl_store_lane *lane,
                          const struct fl_store_condition *condition,
                          const struct fl_store_write *writes,
                          size_t count,
                          int64_t timeout_ms,
                          void (*done) (void *context, const struct fl_store_reply *reply),
                          void *context);
