/* Keeps the transactions of one writer in order.
 *
 * A transaction without a reply may take effect seconds later, after newer ones of the same writer,
 * and would then restore old values. Each transaction of a writer therefore has a condition on one
 * row of the writer and rewrites this row: once a newer transaction is in effect, an older one
 * fails. */
#pragma once

#include "store/store.h"

struct fl_store_writer;

/* Creates a writer whose own row is @key in @partition of @table. @store, @table and @partition
 * must outlive the writer; @key is copied. */
struct fl_store_writer *fl_store_writer_new (const struct fl_store *store,
                                             const char *table,
                                             const char *partition,
                                             const char *key);

/* Frees the writer; a transaction in flight still calls back. NULL does nothing. */
void fl_store_writer_free (struct fl_store_writer *writer);

/* Whether a transaction is in flight; the next one has to wait for its reply. */
bool fl_store_writer_is_busy (const struct fl_store_writer *writer);

/* Applies @writes if both @condition and the condition on the writer's row hold. The writer must
 * not be busy. @count is at most FL_STORE_ENTRIES_MAX - 3, which leaves room for the two conditions
 * and the write of the writer's row. A conflict may mean that an earlier transaction of this writer
 * took effect without a reply: the writer then has the new version of its row, and the caller may
 * retry. */
void fl_store_writer_write (struct fl_store_writer *writer,
                            const struct fl_store_condition *condition,
                            const struct fl_store_write *writes,
                            size_t count,
                            int64_t timeout_ms,
                            void (*done) (void *context, const struct fl_store_reply *reply),
                            void *context);
