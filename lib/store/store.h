/* The store that keeps what must last: tables of rows with versions, linearizable, with
 * transactions under conditions and a feed of changes. This is the interface that the product
 * uses; an adapter or a fake implements it.
 *
 * A row lies in a partition of its table. Transactions of one partition are carried out one after
 * another; all entries of a transaction lie in the same one. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/error.h"
#include "common/str.h"

/* Entries that one transaction may hold: conditions, writes and removals together. */
#define FL_STORE_ENTRIES_MAX 100

struct fl_store_row
{
  struct fl_name table;
  struct fl_name partition;
  struct fl_name key;
  int64_t version;
  bool removed;        /* in feeds: the row is gone */
  struct fl_str value; /* bytes */
};

enum fl_store_status
{
  FL_STORE_OK,
  FL_STORE_CONFLICT,     /* a condition did not hold; rows tell the current state */
  FL_STORE_REJECTED,     /* nothing was done */
  FL_STORE_UNKNOWN,      /* no answer: done, not done, or done later if its conditions still hold */
  FL_STORE_HISTORY_GONE, /* a feed starts before the oldest kept change: read the table anew */
};

/* Valid during the callback only. */
struct fl_store_reply
{
  enum fl_store_status status;
  struct fl_store_row *rows;
  size_t count;
  int64_t version; /* newest version of the store when it answered */
  bool has_more;   /* the range holds more rows */
  struct fl_error error;
};

/* A row that has to have @version; 0 when it must not exist. */
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
  bool is_removal;     /* removes the row instead; @value is not used */
};

struct fl_store_transaction
{
  const struct fl_store_condition *conditions;
  size_t condition_count;
  const struct fl_store_write *writes;
  size_t write_count;
};

struct fl_store
{
  void *context;
  /* Applies all of @transaction or nothing. */
  void (*transact) (void *context,
                    const struct fl_store_transaction *transaction,
                    int64_t timeout_ms,
                    void (*done) (void *context, const struct fl_store_reply *reply),
                    void *done_context);
  /* Reads rows of one partition with keys from @from on (inclusive) up to @to (exclusive; "" for
   * all). */
  void (*read) (void *context,
                const char *table,
                const char *partition,
                const char *first_key,
                const char *end_key,
                int64_t timeout_ms,
                void (*done) (void *context, const struct fl_store_reply *reply),
                void *done_context);
  /* Waits up to @wait_ms for changes of @table, in any partition, after version @after. */
  void (*feed) (void *context,
                const char *table,
                int64_t after_version,
                int64_t wait_ms,
                int64_t timeout_ms,
                void (*done) (void *context, const struct fl_store_reply *reply),
                void *done_context);
};
