#include "relay/message.h"

#include <string.h>

#include <glib.h>

/* Limits of a message, the same as those of the store's calls and replies. */
#define VALUE_BYTES_MAX (1024 * 1024)
#define ROWS_MAX 1000
#define WAIT_MAX_MS 60000

static const char *const call_names[] = { "transact", "read", "feed", NULL };
static const char *const status_names[]
    = { "ok", "conflict", "refused", "unknown", "history_gone", NULL };

static const struct fl_field row_fields[] = {
  { "table", FL_NAME, offsetof (struct fl_store_row, table), false, 0, FL_NAME_MAX, 0, NULL, NULL },
  { "part", FL_NAME, offsetof (struct fl_store_row, partition), false, 0, FL_NAME_MAX, 0, NULL,
    NULL },
  { "key", FL_NAME, offsetof (struct fl_store_row, key), false, 0, FL_NAME_MAX, 0, NULL, NULL },
  { "version", FL_INT, offsetof (struct fl_store_row, version), false, 0, INT64_MAX, 0, NULL,
    NULL },
  { "removed", FL_BOOL, offsetof (struct fl_store_row, removed), false, 0, 0, 0, NULL, NULL },
  { "value", FL_TEXT, offsetof (struct fl_store_row, value), false, 0, VALUE_BYTES_MAX, 0, NULL,
    NULL },
};
static FL_SCHEMA (row_schema, fl_store_row, row_fields);

#define NAME_AS(member_, name_)                                                                    \
  {                                                                                                \
    name_, FL_NAME, offsetof (struct fl_relay_message, member_), false, 0, FL_NAME_MAX, 0, NULL,   \
        NULL                                                                                       \
  }
#define NAME(member_) NAME_AS (member_, #member_)
#define INT_AS(member_, name_, max_)                                                               \
  {                                                                                                \
    name_, FL_INT, offsetof (struct fl_relay_message, member_), false, 0, max_, 0, NULL, NULL      \
  }
#define INT(member_, max_) INT_AS (member_, #member_, max_)
#define BOOL_AS(member_, name_)                                                                    \
  {                                                                                                \
    name_, FL_BOOL, offsetof (struct fl_relay_message, member_), false, 0, 0, 0, NULL, NULL        \
  }
#define ENUM(member_, names_)                                                                      \
  {                                                                                                \
#member_, FL_ENUM, offsetof(struct fl_relay_message, member_), false, 0, 0, 0, NULL, names_    \
  }
#define ROWS(member_, max_)                                                                        \
  {                                                                                                \
#member_, FL_ARRAY, offsetof(struct fl_relay_message, member_), false, 0, max_, 0,             \
        &row_schema, NULL                                                                          \
  }

static const struct fl_field message_fields[] = {
  BOOL_AS (is_reply, "is_answer"),
  INT (number, INT64_MAX),
  ENUM (call, call_names),
  INT (timeout_ms, WAIT_MAX_MS),
  NAME (table),
  NAME_AS (partition, "part"),
  NAME_AS (first_key, "from"),
  NAME_AS (end_key, "to"),
  INT_AS (after_version, "after", INT64_MAX),
  INT (wait_ms, WAIT_MAX_MS),
  ROWS (conditions, FL_STORE_ENTRIES_MAX),
  ROWS (writes, FL_STORE_ENTRIES_MAX),
  ENUM (status, status_names),
  INT (version, INT64_MAX),
  BOOL_AS (has_more, "more"),
  ROWS (rows, ROWS_MAX),
  NAME_AS (error_text, "problem"),
  BOOL_AS (is_stopping, "is_stopping"),
};
static FL_SCHEMA_ADDED (message_schema, fl_relay_message, "fl_relay_message", message_fields, 1);

void
fl_relay_message_encode (const struct fl_relay_message *message, msgpack_sbuffer *buffer)
{
  fl_schema_encode (&message_schema, message, buffer);
}

bool
fl_relay_message_decode (const char *data,
                         size_t len,
                         struct fl_relay_message *message,
                         struct fl_error *error)
{
  return fl_schema_decode (&message_schema, data, len, message, error);
}

void
fl_relay_message_clear (struct fl_relay_message *message)
{
  fl_schema_clear (&message_schema, message);
}

static struct fl_array
new_rows (size_t count)
{
  return (struct fl_array){ count, g_new0 (struct fl_store_row, count + 1) };
}

struct fl_relay_message
fl_relay_message_from_transaction (const struct fl_store_transaction *transaction)
{
  struct fl_relay_message message = { .call = FL_RELAY_TRANSACT };
  struct fl_store_row *rows;

  message.conditions = new_rows (transaction->condition_count);
  rows = message.conditions.items;
  for (size_t i = 0; i < transaction->condition_count; i++)
    {
      const struct fl_store_condition *condition = &transaction->conditions[i];
      rows[i].table = fl_name_of (condition->table);
      rows[i].partition = fl_name_of (condition->partition);
      rows[i].key = condition->key;
      rows[i].version = condition->version;
    }
  message.writes = new_rows (transaction->write_count);
  rows = message.writes.items;
  for (size_t i = 0; i < transaction->write_count; i++)
    {
      const struct fl_store_write *write = &transaction->writes[i];
      rows[i].table = fl_name_of (write->table);
      rows[i].partition = fl_name_of (write->partition);
      rows[i].key = write->key;
      rows[i].removed = write->is_removal;
      if (!write->is_removal)
        rows[i].value = write->value;
    }
  return message;
}

struct fl_relay_message
fl_relay_message_from_reply (const struct fl_store_reply *reply)
{
  struct fl_relay_message message = { .is_reply = true,
                                      .status = (int)reply->status,
                                      .version = reply->version,
                                      .has_more = reply->has_more,
                                      .rows = { reply->count, reply->rows },
                                      .error_text = fl_name_of (reply->error.text) };

  return message;
}

void
fl_relay_message_free_rows (struct fl_relay_message *message)
{
  g_free (message->conditions.items);
  g_free (message->writes.items);
}
