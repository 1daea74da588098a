#include "forward/message.h"

#include <string.h>

/* Limits above what occurs: on the platform, the payload of a task has up to 4,000 bytes, and the
 * response of a target, 16 MB at most, has room for fewer runs. Each row takes bytes of the
 * message, which are checked before memory is allocated for it. */
#define TEXT_BYTES_MAX (64 * 1024)
#define ROWS_MAX 1000000

static const char *const kind_names[]
    = { "start", "stop", "pace", "hold", "answer", "ping", "pong", NULL };
static const char *const result_names[]
    = { "done",      "fenced",     "old_run",  "late",       "no_room",     "no_ticket", "invalid",
        "unhealthy", "other_boot", "not_sent", "unanswered", "no_listener", NULL };
static const char *const cause_names[]
    = { "done", "failed", "stopped", "lapsed", "broken", "alone", NULL };

#define NAME(type_, member_)                                                                       \
  {                                                                                                \
#member_, FL_NAME, offsetof(struct type_, member_), false, 0, FL_NAME_MAX, 0, NULL, NULL       \
  }
#define INT_AS(type_, member_, name_)                                                              \
  {                                                                                                \
    name_, FL_INT, offsetof (struct type_, member_), false, INT64_MIN, INT64_MAX, 0, NULL, NULL    \
  }
#define INT(type_, member_) INT_AS (type_, member_, #member_)
#define TEXT_AS(type_, member_, name_)                                                             \
  {                                                                                                \
    name_, FL_TEXT, offsetof (struct type_, member_), false, 0, TEXT_BYTES_MAX, 0, NULL, NULL      \
  }
#define TEXT(type_, member_) TEXT_AS (type_, member_, #member_)
#define ENUM(type_, member_, names_)                                                               \
  {                                                                                                \
#member_, FL_ENUM, offsetof(struct type_, member_), false, 0, 0, 0, NULL, names_               \
  }
#define ROWS(type_, member_, schema_)                                                              \
  {                                                                                                \
#member_, FL_ARRAY, offsetof(struct type_, member_), false, 0, ROWS_MAX, 0, &schema_, NULL     \
  }

static const struct fl_field run_fields[] = {
  NAME (fl_run_row, task),       INT (fl_run_row, run),
  TEXT (fl_run_row, checkpoint), INT_AS (fl_run_row, progress_percent, "percent"),
  INT (fl_run_row, gauge),
};
static FL_SCHEMA (run_schema, fl_run_row, run_fields);

static const struct fl_field end_fields[] = {
  INT (fl_end_row, number),      NAME (fl_end_row, task),
  INT (fl_end_row, run),         ENUM (fl_end_row, cause, cause_names),
  TEXT (fl_end_row, checkpoint),
};
static FL_SCHEMA (end_schema, fl_end_row, end_fields);

static const struct fl_field message_fields[] = {
  ENUM (fl_forward_message, kind, kind_names),
  INT (fl_forward_message, number),
  NAME (fl_forward_message, target),
  NAME (fl_forward_message, address),
  NAME (fl_forward_message, task),
  INT (fl_forward_message, run),
  INT (fl_forward_message, fencing_token),
  INT (fl_forward_message, deadline_ms),
  INT_AS (fl_forward_message, share_percent, "percent"),
  INT_AS (fl_forward_message, last_recorded_end, "last_seen"),
  INT (fl_forward_message, wait_ms),
  TEXT_AS (fl_forward_message, payload, "text"),
  TEXT (fl_forward_message, checkpoint),
  NAME (fl_forward_message, ticket),
  ENUM (fl_forward_message, result, result_names),
  INT (fl_forward_message, clock_ms),
  { "has_lists", FL_BOOL, offsetof (struct fl_forward_message, has_report), false, 0, 0, 0, NULL,
    NULL },
  INT_AS (fl_forward_message, booted_at_ms, "born_ms"),
  ROWS (fl_forward_message, runs, run_schema),
  ROWS (fl_forward_message, ends, end_schema),
  { "is_stopping", FL_BOOL, offsetof (struct fl_forward_message, is_stopping), false, 0, 0, 0, NULL,
    NULL },
};
static FL_SCHEMA_ADDED (message_schema, fl_forward_message, "fl_carry_message", message_fields, 1);

void
fl_forward_message_encode (const struct fl_forward_message *message, msgpack_sbuffer *buffer)
{
  fl_schema_encode (&message_schema, message, buffer);
}

bool
fl_forward_message_decode (const char *data,
                           size_t len,
                           struct fl_forward_message *message,
                           struct fl_error *error)
{
  return fl_schema_decode (&message_schema, data, len, message, error);
}

void
fl_forward_message_clear (struct fl_forward_message *message)
{
  fl_schema_clear (&message_schema, message);
}

/* --- batches --- */

static const struct fl_field start_fields[] = {
  NAME (fl_forward_start, target),     NAME (fl_forward_start, address),
  NAME (fl_forward_start, peer),       NAME (fl_forward_start, task),
  INT (fl_forward_start, run),         INT (fl_forward_start, deadline_ms),
  TEXT (fl_forward_start, checkpoint), NAME (fl_forward_start, ticket),
};
static FL_SCHEMA (start_schema, fl_forward_start, start_fields);

static const struct fl_field result_fields[] = {
  { "index", FL_INT, offsetof (struct fl_forward_result, index), false, 0, ROWS_MAX, 0, NULL,
    NULL },
  ENUM (fl_forward_result, result, result_names),
};
static FL_SCHEMA (result_schema, fl_forward_result, result_fields);

static const struct fl_field batch_fields[] = {
  { "is_reply", FL_BOOL, offsetof (struct fl_forward_batch, is_reply), false, 0, 0, 0, NULL, NULL },
  INT (fl_forward_batch, number),
  INT (fl_forward_batch, fencing_token),
  TEXT (fl_forward_batch, payload),
  ROWS (fl_forward_batch, starts, start_schema),
  ROWS (fl_forward_batch, results, result_schema),
};
static FL_SCHEMA (batch_schema, fl_forward_batch, batch_fields);

/* The clocks of the results are a second document. Earlier versions read the first one only, and
 * reject results with more fields than they know. */
static const struct fl_field clock_fields[] = { INT (fl_forward_result, clock_ms) };
static FL_SCHEMA (clock_schema, fl_forward_result, clock_fields);

static const struct fl_field clocks_fields[] = { ROWS (fl_forward_batch, results, clock_schema) };
static FL_SCHEMA (clocks_schema, fl_forward_batch, clocks_fields);

static bool
has_clocks (const struct fl_forward_batch *batch)
{
  const struct fl_forward_result *results = batch->results.items;

  for (size_t i = 0; i < batch->results.count; i++)
    if (results[i].clock_ms != 0)
      return true;
  return false;
}

void
fl_forward_batch_encode (const struct fl_forward_batch *batch, msgpack_sbuffer *buffer)
{
  fl_schema_encode (&batch_schema, batch, buffer);
  if (has_clocks (batch))
    fl_schema_encode (&clocks_schema, batch, buffer);
}

/* Sets the clocks of the results of @batch. They stay unknown if the document is malformed, or is
 * one of a later version. */
static void
decode_clocks (const char *data, size_t len, struct fl_forward_batch *batch)
{
  struct fl_forward_result *results = batch->results.items;
  struct fl_forward_batch clocks;

  if (fl_schema_decode (&clocks_schema, data, len, &clocks, NULL)
      && clocks.results.count == batch->results.count)
    for (size_t i = 0; i < batch->results.count; i++)
      results[i].clock_ms = ((struct fl_forward_result *)clocks.results.items)[i].clock_ms;
  fl_schema_clear (&clocks_schema, &clocks);
}

bool
fl_forward_batch_decode (const char *data,
                         size_t len,
                         struct fl_forward_batch *batch,
                         struct fl_error *error)
{
  size_t used = 0;

  if (!fl_schema_decode_first (&batch_schema, data, len, &used, batch, error))
    return false;
  if (used < len)
    decode_clocks (data + used, len - used, batch);
  return true;
}

void
fl_forward_batch_clear (struct fl_forward_batch *batch)
{
  fl_schema_clear (&batch_schema, batch);
}
