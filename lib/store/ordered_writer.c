#include "store/ordered_writer.h"

#include <string.h>

#include <glib.h>

#include "store/tables.h"

struct fl_store_lane
{
  const struct fl_store *store;
  const char *table;
  const char *part;
  struct fl_name key;
  int64_t version; /* of the lane's row; 0 until it is known */
  bool busy;
  bool freed;
  void (*done) (void *context, const struct fl_store_reply *reply);
  void *context;
};

struct fl_store_lane *
fl_store_lane_new (const struct fl_store *store,
                   const char *table,
                   const char *part,
                   const char *key)
{
  struct fl_store_lane *lane = g_new0 (struct fl_store_lane, 1);

  lane->store = store;
  lane->table = table;
  lane->part = part;
  lane->key = fl_name_of (key);
  return lane;
}

void
fl_store_lane_free (struct fl_store_lane *lane)
{
  if (lane == NULL)
    return;
  if (lane->busy)
    lane->freed = true;
  else
    g_free (lane);
}

bool
fl_store_lane_is_busy (const struct fl_store_lane *lane)
{
  return lane->busy;
}

static void
learn_version (struct fl_store_lane *lane, const struct fl_store_reply *reply)
{
  if (reply->status == FL_STORE_OK)
    lane->version = reply->version;
  for (size_t i = 0; reply->status == FL_STORE_CONFLICT && i < reply->count; i++)
    if (strcmp (reply->rows[i].table.data, lane->table) == 0
        && fl_name_eq (&reply->rows[i].key, &lane->key))
      lane->version = reply->rows[i].removed ? 0 : reply->rows[i].version;
}

static void
on_answer (void *context, const struct fl_store_reply *reply)
{
  struct fl_store_lane *lane = context;

  learn_version (lane, reply);
  lane->busy = false;
  lane->done (lane->context, reply);
  if (lane->freed)
    g_free (lane);
}

void
fl_store_lane_write (struct fl_store_lane *lane,
                     const struct fl_store_condition *condition,
                     const struct fl_store_write *writes,
                     size_t count,
                     int64_t timeout_ms,
                     void (*done) (void *context, const struct fl_store_reply *reply),
                     void *context)
{
  struct fl_store_condition conditions[2]
      = { *condition, { lane->table, lane->part, lane->key, lane->version } };
  struct fl_store_write all[FL_STORE_ENTRIES_MAX];
  struct fl_store_transaction transaction = { conditions, 2, all, count + 1 };

  g_assert (!lane->busy && count + 3 <= FL_STORE_ENTRIES_MAX);
  memcpy (all, writes, count * sizeof writes[0]);
  all[count] = (struct fl_store_write){
    lane->table, lane->part, lane->key, { strlen (FL_MARK_VALUE), (char *)FL_MARK_VALUE }, false
  };
  lane->busy = true;
  lane->done = done;
  lane->context = context;
  lane->store->transact (lane->store->context, &transaction, timeout_ms, on_answer, lane);
}
