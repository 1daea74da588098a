#include "support_store.h"

#include <string.h>

struct row
{
  int64_t version;
  struct fl_str value;
};

/* A copy of a transaction that is applied later. */
struct delayed_transaction
{
  GArray *conditions; /* struct fl_store_condition */
  GArray *writes;     /* struct fl_store_write, values owned */
};

struct fake_store
{
  struct fl_store interface;
  GHashTable *rows; /* "table/key" -> struct row */
  int64_t version;
  enum fl_store_status next_status;
  struct delayed_transaction *delayed;
};

static void
row_free (void *data)
{
  struct row *row = data;

  fl_str_clear (&row->value);
  g_free (row);
}

static char *
format_row_id (const char *table, const char *key)
{
  return g_strdup_printf ("%s/%s", table, key);
}

static struct row *
find_row (const struct fake_store *store, const char *table, const char *key)
{
  g_autofree char *name = format_row_id (table, key);

  return g_hash_table_lookup (store->rows, name);
}

static bool
conditions_met (const struct fake_store *store,
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
apply_writes (struct fake_store *store, const struct fl_store_write *writes, size_t count)
{
  store->version++;
  for (size_t i = 0; i < count; i++)
    {
      struct row *row = g_new0 (struct row, 1);
      row->version = store->version;
      row->value = fl_str_dup (&writes[i].value);
      g_hash_table_replace (store->rows, format_row_id (writes[i].table, writes[i].key.data), row);
    }
}

static void
delay_transaction (struct fake_store *store, const struct fl_store_transaction *transaction)
{
  store->delayed = g_new0 (struct delayed_transaction, 1);
  store->delayed->conditions = g_array_new (FALSE, FALSE, sizeof (struct fl_store_condition));
  store->delayed->writes = g_array_new (FALSE, FALSE, sizeof (struct fl_store_write));
  g_array_append_vals (store->delayed->conditions, transaction->conditions,
                       (guint)transaction->condition_count);
  for (size_t i = 0; i < transaction->write_count; i++)
    {
      struct fl_store_write write = transaction->writes[i];
      write.value = fl_str_dup (&write.value);
      g_array_append_val (store->delayed->writes, write);
    }
}

static void
reply_conflict (const struct fake_store *store,
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
  struct fl_store_reply reply = { .status = store->next_status };

  (void)timeout_ms;
  store->next_status = FL_STORE_OK;
  if (reply.status == FL_STORE_UNKNOWN)
    delay_transaction (store, transaction);
  else if (reply.status == FL_STORE_OK
           && !conditions_met (store, transaction->conditions, transaction->condition_count))
    {
      reply_conflict (store, transaction, done, done_context);
      return;
    }
  else if (reply.status == FL_STORE_OK)
    apply_writes (store, transaction->writes, transaction->write_count);
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
fake_store_get_interface (struct fake_store *store)
{
  return &store->interface;
}

void
fake_store_set_next_status (struct fake_store *store, enum fl_store_status status)
{
  store->next_status = status;
}

bool
fake_store_apply_delayed (struct fake_store *store)
{
  struct delayed_transaction *delayed = store->delayed;
  bool met = conditions_met (store, (struct fl_store_condition *)delayed->conditions->data,
                             delayed->conditions->len);

  if (met)
    apply_writes (store, (struct fl_store_write *)delayed->writes->data, delayed->writes->len);
  for (guint i = 0; i < delayed->writes->len; i++)
    fl_str_clear (&g_array_index (delayed->writes, struct fl_store_write, i).value);
  g_array_unref (delayed->conditions);
  g_array_unref (delayed->writes);
  g_free (delayed);
  store->delayed = NULL;
  return met;
}

const char *
fake_store_get_value (const struct fake_store *store, const char *table, const char *key)
{
  const struct row *row = find_row (store, table, key);

  return row != NULL ? row->value.data : NULL;
}
