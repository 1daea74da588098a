/* Interface to the store of persistent data: linearizable tables of versioned rows, with
 * conditional transactions and a feed of changes. The platform adapter and the fakes of tests
 * implement it.
 *
 * Each row is in a partition of its table. All entries of a transaction are in the same partition,
 * and the store executes the transactions of one partition one after another. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/error.h"
#include "common/str.h"

/* Most entries of one transaction: conditions, writes and removals together. */
#define FL_STORE_ENTRIES_MAX 100

struct fl_store_row
{
  struct fl_name table;
  struct fl_name partition;
  struct fl_name key;
  int64_t version;
  bool removed;        /* in feeds: the row was removed */
  struct fl_str value; /* bytes */
};

enum fl_store_status
{
  FL_STORE_OK,
  FL_STORE_CONFLICT, /* a condition did not hold; the rows of the reply are the current ones */
  FL_STORE_REJECTED, /* nothing was done */
  FL_STORE_UNKNOWN,  /* no reply: executed, not executed, or executed later if its conditions still
                        hold */
  FL_STORE_HISTORY_GONE, /* the feed starts before the oldest kept change: read the table again */
};

/* @return the lower-case name of @status, as written to logs. */
const char *fl_store_status_name (enum fl_store_status status);

/* Valid during the callback only. */
struct fl_store_reply
{
  enum fl_store_status status;
  struct fl_store_row *rows;
  size_t count;
  /* Newest version of the store at the time of the reply; after a successful transaction, the
   * version of all rows that it wrote. */
  int64_t version;
  bool has_more; /* the range holds more rows */
  /* With FL_STORE_UNKNOWN: a reused connection ended before the reply, which says nothing about
   * whether the store accepts new connections and calls. */
  bool is_connection_stale;
  struct fl_error error;
};

/* Requires that a row has @version, or does not exist when @version is 0. */
struct fl_store_condition
{
  const char *table;
  const char *partition;
  struct fl_name key;
  int64_t version;
};

struct fl_store_write
{
  const char *table;
  const char *partition;
  struct fl_name key;
  struct fl_str value; /* borrowed */
  bool is_removal;     /* removes the row; @value is not used */
};

struct fl_store_transaction
{
  const struct fl_store_condition *conditions;
  size_t condition_count;
  const struct fl_store_write *writes;
  size_t write_count;
};

/* Each function calls @done once, which the fakes of tests may do before they return. Apart from
 * @done_context, the arguments need not outlive the call of the function. */
struct fl_store
{
  void *context;
  /* Applies @transaction as a whole or not at all. */
  void (*transact) (void *context,
                    const struct fl_store_transaction *transaction,
                    int64_t timeout_ms,
                    void (*done) (void *context, const struct fl_store_reply *reply),
                    void *done_context);
  /* Reads rows of one partition with keys from @first_key (inclusive) to @end_key (exclusive; ""
   * for no limit), sorted by key. */
  void (*read) (void *context,
                const char *table,
                const char *partition,
                const char *first_key,
                const char *end_key,
                int64_t timeout_ms,
                void (*done) (void *context, const struct fl_store_reply *reply),
                void *done_context);
  /* Waits up to @wait_ms for changes in any partition of @table after @after_version. */
  void (*feed) (void *context,
                const char *table,
                int64_t after_version,
                int64_t wait_ms,
                int64_t timeout_ms,
                void (*done) (void *context, const struct fl_store_reply *reply),
                void *done_context);
  /* @return when a part of the reply to the read or feed call in flight with @done_context arrived
   * last, by the boot clock in ms; 0 if none has, or if that is not known. NULL if it never is. */
  int64_t (*last_progress_ms) (void *context, const void *done_context);
};
