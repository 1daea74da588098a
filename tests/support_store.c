#include "support_store.h"

#include <string.h>

struct row
{
  int64_t version;
  struct fl_str value;
};

/* A transaction with all that it points to. */
struct held
{
  GArray *conditions; /* struct fl_store_condition */
  GArray *writes;     /* struct fl_store_write, values owned */
};

struct fake_store
{
  struct fl_store interface;
  GHashTable *rows; /* "table/key" -> struct row */
  int64_t version;
  enum fl_store_status next;
  struct held *held;
};

static void
row_free (void *data)
{
  struct row *row = data;

  fl_str_clear (&row->value);
  g_free (row);
}

static char *
row_name (const char *table, const char *key)
{
  return g_strdup_printf ("%s/%s", table, key);
}

static struct row *
find_row (const struct fake_store *store, const char *table, const char *key)
{
  g_autofree char *name = row_name (table, key);

  return g_hash_table_lookup (store->rows, name);
}

static bool
conditions_hold (const struct fake_store *store,
                 const struct fl_store_condition *conditions,
                 size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      const struct row *row = find_row (store, conditions[i].table, conditions[i].key.data);
      if ((row != NULL ? row->version : 0) != conditions[i].version)
        return false;
    }
  return true;
}

static void
apply (struct fake_store *store, const struct fl_store_write *writes, size_t count)
{
  store->version++;
  for (size_t i = 0; i < count; i++)
    {
      struct row *row = g_new0 (struct row, 1);
      row->version = store->version;
      row->value = fl_str_dup (&writes[i].value);
      g_hash_table_replace (store->rows, row_name (writes[i].table, writes[i].key.data), row);
    }
}

static void
hold_back (struct fake_store *store, const struct fl_store_transaction *transaction)
{
  store->held = g_new0 (struct held, 1);
  store->held->conditions = g_array_new (FALSE, FALSE, sizeof (struct fl_store_condition));
  store->held->writes = g_array_new (FALSE, FALSE, sizeof (struct fl_store_write));
  g_array_append_vals (store->held->conditions, transaction->conditions,
                       (guint)transaction->condition_count);
  for (size_t i = 0; i < transaction->write_count; i++)
    {
      struct fl_store_write write = transaction->writes[i];
      write.value = fl_str_dup (&write.value);
      g_array_append_val (store->held->writes, write);
    }
}

static void
answer_conflict (const struct fake_store *store,
                 const struct fl_store_transaction *transaction,
                 void (*done) (void *context, const struct fl_store_reply *reply),
                 void *done_context)
{
  struct fl_store_row rows[FL_STORE_ENTRIES_MAX] = { 0 };
  struct fl_store_reply reply = { .status = FL_STORE_CONFLICT, .rows = rows };

  for (size_t i = 0; i < transaction->condition_count; i++)
    {
      const struct fl_store_condition *condition = &transaction->conditions[i];
      const struct row *row = find_row (store, condition->table, condition->key.data);
      if (row != NULL)
        rows[reply.count++] = (struct fl_store_row){ fl_name_of (condition->table),
                                                     fl_name_of (condition->partition),
                                                     condition->key,
                                                     row->version,
                                                     false,
                                                     row->value };
    }
  done (done_context, &reply);
}

static void
transact (void *context,
          const struct fl_store_transaction *transaction,
          int64_t timeout_ms,
          void (*done) (void *context, const struct fl_store_reply *reply),
          void *done_context)
{
  struct fake_store *store = context;
  struct fl_store_reply reply = { .status = store->next };

  (void)timeout_ms;
  store->next = FL_STORE_OK;
  if (reply.status == FL_STORE_UNKNOWN)
    hold_back (store, transaction);
  else if (reply.status == FL_STORE_OK
           && !conditions_hold (store, transaction->conditions, transaction->condition_count))
    {
      answer_conflict (store, transaction, done, done_context);
      return;
    }
  else if (reply.status == FL_STORE_OK)
    apply (store, transaction->writes, transaction->write_count);
  reply.version = store->version;
  done (done_context, &reply);
}

struct fake_store *
fake_store_new (void)
{
  struct fake_store *store = g_new0 (struct fake_store, 1);

  store->interface = (struct fl_store){ .context = store, .transact = transact };
  store->rows = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, row_free);
  return store;
}

void
fake_store_free (struct fake_store *store)
{
  g_hash_table_destroy (store->rows);
  g_free (store);
}

const struct fl_store *
fake_store_interface (struct fake_store *store)
{
  return &store->interface;
}

void
fake_store_next (struct fake_store *store, enum fl_store_status outcome)
{
  store->next = outcome;
}

bool
fake_store_apply_held (struct fake_store *store)
{
  struct held *held = store->held;
  bool holds = conditions_hold (store, (struct fl_store_condition *)held->conditions->data,
                                held->conditions->len);

  if (holds)
    apply (store, (struct fl_store_write *)held->writes->data, held->writes->len);
  for (guint i = 0; i < held->writes->len; i++)
    fl_str_clear (&g_array_index (held->writes, struct fl_store_write, i).value);
  g_array_unref (held->conditions);
  g_array_unref (held->writes);
  g_free (held);
  store->held = NULL;
  return holds;
}

const char *
fake_store_value (const struct fake_store *store, const char *table, const char *key)
{
  const struct row *row = find_row (store, table, key);

  return row != NULL ? row->value.data : NULL;
}
