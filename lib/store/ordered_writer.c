#include "store/ordered_writer.h"

#include <string.h>

#include <glib.h>

#include "store/tables.h"

struct fl_store_writer
{
  const struct fl_store *store;
  const char *table;
  const char *partition;
  struct fl_name key;
  int64_t row_version; /* of the writer's row; 0 until it is known */
  bool is_busy;
  bool is_freed;
  int callbacks; /* calls of done in progress: done may write again, or free the writer */
  void (*done) (void *context, const struct fl_store_reply *reply);
  void *context;
};

struct fl_store_writer *
fl_store_writer_new (const struct fl_store *store,
                     const char *table,
                     const char *partition,
                     const char *key)
{
  struct fl_store_writer *writer = g_new0 (struct fl_store_writer, 1);

  writer->store = store;
  writer->table = table;
  writer->partition = partition;
  writer->key = fl_name_of (key);
  return writer;
}

void
fl_store_writer_free (struct fl_store_writer *writer)
{
  if (writer == NULL)
    return;
  if (writer->is_busy || writer->callbacks > 0)
    writer->is_freed = true;
  else
    g_free (writer);
}

bool
fl_store_writer_is_busy (const struct fl_store_writer *writer)
{
  return writer->is_busy;
}

static void
update_version (struct fl_store_writer *writer, const struct fl_store_reply *reply)
{
  if (reply->status == FL_STORE_OK)
    writer->row_version = reply->version;
  for (size_t i = 0; reply->status == FL_STORE_CONFLICT && i < reply->count; i++)
    if (strcmp (reply->rows[i].table.data, writer->table) == 0
        && fl_name_eq (&reply->rows[i].key, &writer->key))
      writer->row_version = reply->rows[i].removed ? 0 : reply->rows[i].version;
}

static void
on_reply (void *context, const struct fl_store_reply *reply)
{
  struct fl_store_writer *writer = context;

  update_version (writer, reply);
  writer->is_busy = false;
  writer->callbacks++;
  writer->done (writer->context, reply);
  writer->callbacks--;
  if (writer->is_freed && !writer->is_busy && writer->callbacks == 0)
    g_free (writer);
}

void
fl_store_writer_write (struct fl_store_writer *writer,
                       const struct fl_store_condition *condition,
                       const struct fl_store_write *writes,
                       size_t count,
                       int64_t timeout_ms,
                       void (*done) (void *context, const struct fl_store_reply *reply),
                       void *context)
{
  struct fl_store_condition conditions[2]
      = { *condition, { writer->table, writer->partition, writer->key, writer->row_version } };
  struct fl_store_write all_writes[FL_STORE_ENTRIES_MAX];
  struct fl_store_transaction transaction = { conditions, 2, all_writes, count + 1 };

  g_assert (!writer->is_busy && count + 3 <= FL_STORE_ENTRIES_MAX);
  memcpy (all_writes, writes, count * sizeof writes[0]);
  all_writes[count]
      = (struct fl_store_write){ writer->table,
                                 writer->partition,
                                 writer->key,
                                 { strlen (FL_MARKER_VALUE), (char *)FL_MARKER_VALUE },
                                 false };
  writer->is_busy = true;
  writer->done = done;
  writer->context = context;
  writer->store->transact (writer->store->context, &transaction, timeout_ms, on_reply, writer);
}
