#include "poold/target_rows.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "common/endpoint.h"
#include "common/schema.h"
#include "store/tables.h"

/* Names in one row: an id or an address has up to FL_NAME_MAX bytes, and three more in JSON. */
#define ROW_NAMES_MAX 600
/* No lease of an earlier owner is in effect for longer. */
#define LEFT_MAX_MS 3600000

struct fl_name
fl_target_rows_key (size_t index)
{
  return index == 0 ? fl_name_of (FL_SUMMARY_TARGETS)
                    : fl_name_format (FL_SUMMARY_TARGETS "/%zu", index);
}

int
fl_target_rows_index (const struct fl_name *key)
{
  size_t prefix = strlen (FL_SUMMARY_TARGETS);
  char *end;

  if (strncmp (key->data, FL_SUMMARY_TARGETS, prefix) != 0)
    return -1;
  if (key->data[prefix] == '\0')
    return 0;
  if (key->data[prefix] != '/' || !g_ascii_isdigit (key->data[prefix + 1]))
    return -1;
  unsigned long index = strtoul (key->data + prefix + 1, &end, 10);
  return *end == '\0' && index < FL_TARGET_ROWS_MAX ? (int)index : -1;
}

size_t
fl_target_rows_count (size_t name_count)
{
  size_t count = (name_count + ROW_NAMES_MAX - 1) / ROW_NAMES_MAX;

  return CLAMP (count, 1, FL_TARGET_ROWS_MAX);
}

struct fl_str
fl_target_rows_encode (const GArray *names, size_t index)
{
  json_t *json = json_array ();
  size_t first = index * ROW_NAMES_MAX;

  for (size_t i = first; i < MIN (first + ROW_NAMES_MAX, names->len); i++)
    {
      const struct fl_name *name = &g_array_index (names, struct fl_name, i);
      json_array_append_new (json, json_stringn (name->data, name->len));
    }
  struct fl_str row = fl_json_encode (json);
  json_decref (json);
  return row;
}

bool
fl_target_rows_decode (const char *data, size_t len, GArray *names, struct fl_error *error)
{
  json_t *json = fl_json_parse (data, len, error);
  guint before = names->len;

  if (json == NULL)
    return false;
  bool is_valid = json_is_array (json) && json_array_size (json) % 2 == 0;
  for (size_t i = 0; is_valid && i < json_array_size (json); i++)
    {
      const json_t *item = json_array_get (json, i);
      is_valid = json_is_string (item) && json_string_length (item) <= FL_NAME_MAX;
      if (!is_valid)
        break;
      struct fl_name name = fl_name_of (json_string_value (item));
      is_valid = i % 2 == 1 || fl_name_is_header_safe (&name);
      g_array_append_val (names, name);
    }
  json_decref (json);
  if (is_valid)
    return true;
  g_array_set_size (names, before);
  return fl_fail (error, FL_INVALID, "targets_decode", NULL,
                  "must be a list of ids and addresses by turns");
}

struct fl_str
fl_unheard_row_encode (int64_t fencing_token, const GArray *targets)
{
  json_t *json = json_object ();
  json_t *left = json_object ();

  for (guint i = 0; i < targets->len; i++)
    {
      const struct fl_unheard_target *target
          = &g_array_index (targets, struct fl_unheard_target, i);
      json_object_set_new (left, target->id.data, json_integer (target->left_ms));
    }
  json_object_set_new (json, "token", json_integer (fencing_token));
  json_object_set_new (json, "left_ms", left);
  struct fl_str row = fl_json_encode (json);
  json_decref (json);
  return row;
}

static bool
decode_unheard_target (const char *id, const json_t *left, struct fl_unheard_target *target)
{
  if (strlen (id) > FL_NAME_MAX || !json_is_integer (left) || json_integer_value (left) < 0
      || json_integer_value (left) > LEFT_MAX_MS)
    return false;
  *target = (struct fl_unheard_target){ fl_name_of (id), json_integer_value (left) };
  return fl_name_is_header_safe (&target->id);
}

bool
fl_unheard_row_decode (
    const char *data, size_t len, int64_t *fencing_token, GArray *targets, struct fl_error *error)
{
  json_t *json = fl_json_parse (data, len, error);
  const json_t *token = json_object_get (json, "token");
  json_t *left = json_object_get (json, "left_ms");
  guint before = targets->len;
  const char *id;
  json_t *left_ms;

  if (json == NULL)
    return false;
  bool is_valid = json_is_integer (token) && json_integer_value (token) > 0
                  && json_integer_value (token) <= INT32_MAX && json_is_object (left);
  json_object_foreach (left, id, left_ms)
  {
    struct fl_unheard_target target;
    is_valid = is_valid && decode_unheard_target (id, left_ms, &target);
    if (!is_valid)
      break;
    g_array_append_val (targets, target);
  }
  *fencing_token = is_valid ? json_integer_value (token) : 0;
  json_decref (json);
  if (is_valid)
    return true;
  g_array_set_size (targets, before);
  return fl_fail (error, FL_INVALID, "unheard_decode", NULL,
                  "must have a token and the time left by target");
}
