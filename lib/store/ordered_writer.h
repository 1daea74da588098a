/* Ordered writes of one writer.
 *
 * A transaction without an answer may come into effect seconds later, after newer ones of the same
 * writer, and would then bring old values back. Every transaction of a lane therefore expects and
 * rewrites one row of the lane: once a newer one is in effect, an older one fails. */
#pragma once

#include "store/store.h"

struct fl_store_writer;

/* A lane whose row is @table, @part, @key. */
struct fl_store_writer *fl_store_writer_new (const struct fl_store *store,
                                             const char *table,
                                             const char *partition,
                                             const char *key);

/* Frees the lane; an open transaction is still answered. */
void fl_store_writer_free (struct fl_store_writer *writer);

/* Whether a transaction is not answered yet; the next one has to wait. */
bool fl_store_writer_is_busy (const struct fl_store_writer *writer);

/* Applies @writes (at most FL_STORE_ENTRIES_MAX - 3) if @condition holds too. A conflict may mean
 * that an earlier write of this lane took effect without an answer: the lane has learnt of it and
 * the caller may repeat. */
void fl_store_writer_write (struct fl_store_writer *writer,
                            const struct fl_store_condition *condition,
                            const struct fl_store_write *writes,
                            size_t count,
                            int64_t timeout_ms,
                            void (*done) (void *context, const struct fl_store_reply *reply),
                            void *context);
