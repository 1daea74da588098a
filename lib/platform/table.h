/* The platform's table service, as callbacks: an HTTP client in the daemons, a struct in memory in
 * tests and in the fuzzer. docs/INTERFACES.md lists what is assumed of the service. */
#pragma once

#include <glib.h>
#include <jansson.h>

#include "common/error.h"
#include "common/str.h"
#include "net/http_client.h"

/* Condition on a row's version that any version, or none, meets. */
#define FL_ANY_VERSION (-1)

enum fl_txn_kind
{
  FL_TXN_CHECK, /* only the condition */
  FL_TXN_PUT,
  FL_TXN_DELETE
};

/* One part of a transaction. */
struct fl_txn_op
{
  enum fl_txn_kind kind;
  struct fl_str key;
  int64_t version; /* that the row must have; 0: must not exist; FL_ANY_VERSION */
  json_t *value;   /* PUT */
};

struct fl_row
{
  struct fl_str key;
  int64_t version;
  json_t *value;
};

enum fl_table_code
{
  FL_TABLE_OK,
  FL_TABLE_CONFLICT, /* a condition failed; nothing was written */
  FL_TABLE_REFUSED,  /* certainly nothing was written */
  FL_TABLE_UNKNOWN   /* the answer was lost */
};

/* Valid during the callback only. */
struct fl_table_result
{
  enum fl_table_code code;
  /* Commit OK: the new version of each op in order, 0 for checks and deletes. */
  const int64_t *versions;
  /* Commit CONFLICT: the op that failed, and the row as it is (value NULL when absent). */
  size_t conflict;
  struct fl_row current;
  /* Read OK. */
  const struct fl_row *rows;
  size_t row_count;
  bool more; /* a scan was cut at its limit */
  struct fl_error error;
};

/* Receives the result of a call, exactly once. */
typedef void fl_table_done (void *context, const struct fl_table_result *result);

struct fl_table
{
  void *self;
  /* Applies all @ops or none. @ops are borrowed until this returns. */
  void (*commit) (
      void *self, const struct fl_txn_op *ops, size_t count, fl_table_done *done, void *context);
  /* Reads one row. */
  void (*get) (void *self, const char *key, fl_table_done *done, void *context);
  /* Reads rows whose key starts with @prefix and is greater than @after, in key order. */
  void (*scan) (void *self,
                const char *prefix,
                const char *after,
                int64_t limit,
                fl_table_done *done,
                void *context);
};

/* The table service at @url ("http://IP:PORT"). @return an object to free with fl_table_http_free.
 */
struct fl_table *
fl_table_http_new (struct fl_http_client *client, const char *url, int64_t timeout_ms);
void fl_table_http_free (struct fl_table *table);

/* Transactions and reads sent so far. */
void fl_table_http_counts (const struct fl_table *table, int64_t *writes, int64_t *reads);
