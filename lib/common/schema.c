#include "common/schema.h"

#include <inttypes.h>
#include <stdarg.h>
#include <string.h>

#include <glib.h>

#include "common/msgpack_check.h"

/* Pointer of type @type to field @f of the struct at @object. */
#define FIELD_PTR(object, f, type) ((type *)((char *)(object) + (f)->offset))
#define CONST_FIELD_PTR(object, f, type) ((const type *)((const char *)(object) + (f)->offset))

/* JSON nested deeper than this is rejected; no document that the product reads needs more. */
#define DEPTH_MAX 16

/* --- problems --- */

void
fl_problems_add (struct fl_problems *problems, const char *path, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  g_autofree char *text = g_strdup_vprintf (format, args);
  va_end (args);
  char *joined = problems->count == 0
                     ? g_strdup_printf ("%s: %s", path, text)
                     : g_strdup_printf ("%s\n%s: %s", fl_str_text (&problems->text), path, text);
  fl_str_clear (&problems->text);
  problems->text = (struct fl_str){ strlen (joined), joined };
  problems->count++;
}

void
fl_problems_clear (struct fl_problems *problems)
{
  fl_str_clear (&problems->text);
  problems->count = 0;
}

/* --- JSON text --- */

static bool
is_too_deep (const json_t *json, int depth)
{
  const char *key;
  json_t *item;
  size_t i;

  if (depth > DEPTH_MAX)
    return true;
  if (json_is_object (json))
    json_object_foreach ((json_t *)json, key, item) if (is_too_deep (item, depth + 1)) return true;
  if (json_is_array (json))
    json_array_foreach (json, i, item) if (is_too_deep (item, depth + 1)) return true;
  return false;
}

static json_t *
parse_json (const char *data, size_t len, size_t flags, struct fl_error *error)
{
  json_error_t parse_error;
  json_t *json = json_loadb (data != NULL ? data : "", len, flags, &parse_error);

  if (json == NULL)
    {
      fl_fail (error, FL_INVALID, "json_parse", NULL, "line %d column %d: %s", parse_error.line,
               parse_error.column, parse_error.text);
      return NULL;
    }
  if (is_too_deep (json, 0))
    {
      json_decref (json);
      fl_fail (error, FL_INVALID, "json_parse", NULL, "nested deeper than %d levels", DEPTH_MAX);
      return NULL;
    }
  return json;
}

json_t *
fl_json_parse (const char *data, size_t len, struct fl_error *error)
{
  return parse_json (data, len, JSON_REJECT_DUPLICATES, error);
}

json_t *
fl_json_parse_with_nul (const char *data, size_t len, struct fl_error *error)
{
  return parse_json (data, len, JSON_REJECT_DUPLICATES | JSON_ALLOW_NUL, error);
}

struct fl_str
fl_json_encode (const json_t *json)
{
  char *text = json_dumps (json, JSON_COMPACT | JSON_SORT_KEYS | JSON_ENCODE_ANY);

  g_assert (text != NULL);
  struct fl_str str = fl_str_of (text);
  free (text);
  return str;
}

/* --- JSON to struct --- */

/* Path of a value in a document, formatted only when the value has a problem. */
struct path
{
  const struct path *parent; /* NULL for the document */
  const char *name;          /* NULL for an item of a list */
  size_t index;
};

static void
append_path (GString *text, const struct path *path)
{
  if (path->parent != NULL)
    append_path (text, path->parent);
  if (path->name == NULL)
    g_string_append_printf (text, "[%zu]", path->index);
  else
    g_string_append_printf (text, "%s%s", path->parent != NULL ? "." : "", path->name);
}

static void
add_problem (struct fl_problems *problems, const struct path *path, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

static void
add_problem (struct fl_problems *problems, const struct path *path, const char *format, ...)
{
  g_autoptr (GString) where = g_string_new (NULL);
  va_list args;

  va_start (args, format);
  g_autofree char *text = g_strdup_vprintf (format, args);
  va_end (args);
  append_path (where, path);
  fl_problems_add (problems, where->str, "%s", text);
}

static bool read_object (const struct fl_schema *schema,
                         const json_t *json,
                         void *object,
                         const struct path *path,
                         struct fl_problems *problems);

static void
set_default (const struct fl_field *f, void *object)
{
  if (f->type == FL_BOOL)
    *FIELD_PTR (object, f, bool) = f->default_value != 0;
  else if (f->type == FL_INT)
    *FIELD_PTR (object, f, int64_t) = f->default_value;
  else if (f->type == FL_ENUM)
    *FIELD_PTR (object, f, int) = (int)f->default_value;
}

static void
read_int (const struct fl_field *f,
          const json_t *json,
          void *object,
          const struct path *path,
          struct fl_problems *problems)
{
  if (!json_is_integer (json))
    {
      add_problem (problems, path, "must be a whole number from %" PRId64 " to %" PRId64, f->min,
                   f->max);
      return;
    }
  int64_t value = json_integer_value (json);
  if (value < f->min || value > f->max)
    add_problem (problems, path, "is %" PRId64 "; allowed is %" PRId64 " to %" PRId64, value,
                 f->min, f->max);
  else
    *FIELD_PTR (object, f, int64_t) = value;
}

static void
read_string (const struct fl_field *f,
             const json_t *json,
             void *object,
             const struct path *path,
             struct fl_problems *problems)
{
  if (!json_is_string (json))
    {
      add_problem (problems, path, "must be a string");
      return;
    }
  size_t len = json_string_length (json);
  if ((int64_t)len < f->min || (int64_t)len > f->max)
    {
      add_problem (problems, path, "has %zu bytes; allowed is %" PRId64 " to %" PRId64 " bytes",
                   len, f->min, f->max);
      return;
    }
  if (f->type == FL_NAME && memchr (json_string_value (json), '\0', len) != NULL)
    add_problem (problems, path, "must not contain a NUL byte");
  else if (f->type == FL_NAME)
    *FIELD_PTR (object, f, struct fl_name) = fl_name_make (json_string_value (json), len);
  else
    *FIELD_PTR (object, f, struct fl_str) = fl_str_make (json_string_value (json), len);
}

static void
read_enum (const struct fl_field *f,
           const json_t *json,
           void *object,
           const struct path *path,
           struct fl_problems *problems)
{
  const char *text = json_string_value (json);

  for (int i = 0; text != NULL && f->enum_names[i] != NULL; i++)
    if (strcmp (text, f->enum_names[i]) == 0)
      {
        *FIELD_PTR (object, f, int) = i;
        return;
      }
  g_autofree char *allowed = g_strjoinv (", ", (char **)f->enum_names);
  add_problem (problems, path, "must be one of: %s", allowed);
}

static void
read_array (const struct fl_field *f,
            const json_t *json,
            void *object,
            const struct path *path,
            struct fl_problems *problems)
{
  struct fl_array *array = FIELD_PTR (object, f, struct fl_array);

  if (!json_is_array (json))
    {
      add_problem (problems, path, "must be an array");
      return;
    }
  size_t count = json_array_size (json);
  if ((int64_t)count < f->min || (int64_t)count > f->max)
    {
      add_problem (problems, path, "has %zu items; allowed is %" PRId64 " to %" PRId64 " items",
                   count, f->min, f->max);
      return;
    }
  array->items = g_malloc0_n (MAX (count, 1), f->nested_schema->size);
  array->count = count;
  for (size_t i = 0; i < count; i++)
    {
      struct path item_path = { path, NULL, i };
      read_object (f->nested_schema, json_array_get (json, i),
                   (char *)array->items + i * f->nested_schema->size, &item_path, problems);
    }
}

static void
read_field (const struct fl_field *f,
            const json_t *json,
            void *object,
            const struct path *path,
            struct fl_problems *problems)
{
  switch (f->type)
    {
    case FL_BOOL:
      if (json_is_boolean (json))
        *FIELD_PTR (object, f, bool) = json_is_true (json);
      else
        add_problem (problems, path, "must be true or false");
      break;
    case FL_INT:
      read_int (f, json, object, path, problems);
      break;
    case FL_NAME:
    case FL_TEXT:
      read_string (f, json, object, path, problems);
      break;
    case FL_ENUM:
      read_enum (f, json, object, path, problems);
      break;
    case FL_OBJECT:
      read_object (f->nested_schema, json, FIELD_PTR (object, f, char), path, problems);
      break;
    case FL_ARRAY:
      read_array (f, json, object, path, problems);
      break;
    }
}

static const struct fl_field *
find_field (const struct fl_schema *schema, const char *name)
{
  for (size_t i = 0; i < schema->count; i++)
    if (strcmp (schema->fields[i].name, name) == 0)
      return &schema->fields[i];
  return NULL;
}

static void
set_defaults (const struct fl_schema *schema, void *object)
{
  for (size_t i = 0; i < schema->count; i++)
    {
      set_default (&schema->fields[i], object);
      if (schema->fields[i].type == FL_OBJECT)
        set_defaults (schema->fields[i].nested_schema,
                      FIELD_PTR (object, &schema->fields[i], char));
    }
}

static bool
read_object (const struct fl_schema *schema,
             const json_t *json,
             void *object,
             const struct path *path,
             struct fl_problems *problems)
{
  size_t before = problems->count;
  const char *name;
  json_t *item;

  set_defaults (schema, object);
  if (!json_is_object (json))
    {
      add_problem (problems, path, "must be an object");
      return false;
    }
  json_object_foreach ((json_t *)json, name, item)
  {
    struct path item_path = { path, name, 0 };
    const struct fl_field *f = find_field (schema, name);
    if (f != NULL)
      read_field (f, item, object, &item_path, problems);
    else
      add_problem (problems, &item_path, "is not a known name");
  }
  for (size_t i = 0; i < schema->count; i++)
    if (schema->fields[i].required && json_object_get (json, schema->fields[i].name) == NULL)
      {
        struct path item_path = { path, schema->fields[i].name, 0 };
        add_problem (problems, &item_path, "is missing");
      }
  return problems->count == before;
}

bool
fl_schema_from_json (const struct fl_schema *schema,
                     const json_t *json,
                     void *object,
                     const char *path,
                     struct fl_problems *problems)
{
  struct path document = { NULL, path, 0 };

  memset (object, 0, schema->size);
  return read_object (schema, json, object, &document, problems);
}

/* --- bounds --- */

static bool
check_bounds (
    const struct fl_field *f, int64_t value, int64_t min, const char *unit, struct fl_error *error)
{
  if (value >= min && value <= f->max)
    return true;
  return fl_fail (error, FL_INVALID, "schema_check", NULL,
                  "%s is %" PRId64 "%s; allowed is %" PRId64 " to %" PRId64, f->name, value, unit,
                  min, f->max);
}

static bool
check_items (const struct fl_field *f, const struct fl_array *array, struct fl_error *error)
{
  const char *items = array->items;

  for (size_t i = 0; i < array->count; i++)
    if (!fl_schema_check (f->nested_schema, items + i * f->nested_schema->size, error))
      return false;
  return check_bounds (f, (int64_t)array->count, 0, " items", error);
}

bool
fl_schema_check (const struct fl_schema *schema, const void *object, struct fl_error *error)
{
  bool is_valid = true;

  for (size_t i = 0; i < schema->count && is_valid; i++)
    {
      const struct fl_field *f = &schema->fields[i];
      if (f->type == FL_INT)
        is_valid = check_bounds (f, *CONST_FIELD_PTR (object, f, int64_t), f->min, "", error);
      else if (f->type == FL_NAME)
        is_valid = check_bounds (f, CONST_FIELD_PTR (object, f, struct fl_name)->len, 0, " bytes",
                                 error);
      else if (f->type == FL_TEXT)
        is_valid = check_bounds (f, (int64_t)CONST_FIELD_PTR (object, f, struct fl_str)->len, 0,
                                 " bytes", error);
      else if (f->type == FL_OBJECT)
        is_valid = fl_schema_check (f->nested_schema, CONST_FIELD_PTR (object, f, char), error);
      else if (f->type == FL_ARRAY)
        is_valid = check_items (f, CONST_FIELD_PTR (object, f, struct fl_array), error);
    }
  return is_valid;
}

/* --- struct to JSON --- */

static json_t *
write_array (const struct fl_field *f, const struct fl_array *array)
{
  json_t *json = json_array ();

  for (size_t i = 0; i < array->count; i++)
    json_array_append_new (json,
                           fl_schema_to_json (f->nested_schema, (const char *)array->items
                                                                    + i * f->nested_schema->size));
  return json;
}

static json_t *
write_field (const struct fl_field *f, const void *object)
{
  const struct fl_name *name;
  const struct fl_str *str;

  switch (f->type)
    {
    case FL_BOOL:
      return json_boolean (*CONST_FIELD_PTR (object, f, bool));
    case FL_INT:
      return json_integer (*CONST_FIELD_PTR (object, f, int64_t));
    case FL_NAME:
      name = CONST_FIELD_PTR (object, f, struct fl_name);
      return json_stringn (name->data, name->len);
    case FL_TEXT:
      str = CONST_FIELD_PTR (object, f, struct fl_str);
      return json_stringn (fl_str_text (str), str->len);
    case FL_ENUM:
      return json_string (f->enum_names[*CONST_FIELD_PTR (object, f, int)]);
    case FL_OBJECT:
      return fl_schema_to_json (f->nested_schema, CONST_FIELD_PTR (object, f, char));
    case FL_ARRAY:
      return write_array (f, CONST_FIELD_PTR (object, f, struct fl_array));
    }
  return NULL;
}

json_t *
fl_schema_to_json (const struct fl_schema *schema, const void *object)
{
  json_t *json = json_object ();

  for (size_t i = 0; i < schema->count; i++)
    json_object_set_new (json, schema->fields[i].name, write_field (&schema->fields[i], object));
  return json;
}

/* --- MessagePack --- */

static void
pack_field (const struct fl_field *f, const void *object, msgpack_packer *packer)
{
  const struct fl_name *name;
  const struct fl_str *str;
  const struct fl_array *array;

  switch (f->type)
    {
    case FL_BOOL:
      if (*CONST_FIELD_PTR (object, f, bool))
        msgpack_pack_true (packer);
      else
        msgpack_pack_false (packer);
      break;
    case FL_INT:
      msgpack_pack_int64 (packer, *CONST_FIELD_PTR (object, f, int64_t));
      break;
    case FL_NAME:
      name = CONST_FIELD_PTR (object, f, struct fl_name);
      msgpack_pack_bin_with_body (packer, name->data, name->len);
      break;
    case FL_TEXT:
      str = CONST_FIELD_PTR (object, f, struct fl_str);
      msgpack_pack_bin_with_body (packer, fl_str_text (str), str->len);
      break;
    case FL_ENUM:
      msgpack_pack_int (packer, *CONST_FIELD_PTR (object, f, int));
      break;
    case FL_OBJECT:
      fl_schema_pack (f->nested_schema, CONST_FIELD_PTR (object, f, char), packer);
      break;
    case FL_ARRAY:
      array = CONST_FIELD_PTR (object, f, struct fl_array);
      msgpack_pack_array (packer, array->count);
      for (size_t i = 0; i < array->count; i++)
        fl_schema_pack (f->nested_schema, (const char *)array->items + i * f->nested_schema->size,
                        packer);
      break;
    }
}

/* @return the number of fields to pack: without the added flags at the end that are not set. */
static size_t
count_packed_fields (const struct fl_schema *schema, const void *object)
{
  size_t count = schema->count;

  while (count > schema->count - schema->added_count)
    {
      const struct fl_field *f = &schema->fields[count - 1];
      g_assert (f->type == FL_BOOL);
      if (*(const bool *)((const char *)object + f->offset))
        break;
      count--;
    }
  return count;
}

void
fl_schema_pack (const struct fl_schema *schema, const void *object, msgpack_packer *packer)
{
  size_t count = count_packed_fields (schema, object);

  msgpack_pack_array (packer, count);
  for (size_t i = 0; i < count; i++)
    pack_field (&schema->fields[i], object, packer);
}

static bool
fail_malformed_field (const struct fl_field *f, struct fl_error *error)
{
  return fl_fail (error, FL_INVALID, "message_unpack", NULL, "field %s is malformed", f->name);
}

static bool
unpack_int (const msgpack_object *packed, int64_t *value)
{
  if (packed->type == MSGPACK_OBJECT_POSITIVE_INTEGER && packed->via.u64 <= INT64_MAX)
    *value = (int64_t)packed->via.u64;
  else if (packed->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
    *value = packed->via.i64;
  else
    return false;
  return true;
}

static bool
unpack_bytes (const struct fl_field *f,
              const msgpack_object *packed,
              void *object,
              struct fl_error *error)
{
  if (packed->type != MSGPACK_OBJECT_BIN || (int64_t)packed->via.bin.size > f->max)
    return fail_malformed_field (f, error);
  if (f->type == FL_NAME)
    {
      if (memchr (packed->via.bin.ptr, '\0', packed->via.bin.size) != NULL)
        return fail_malformed_field (f, error);
      *FIELD_PTR (object, f, struct fl_name)
          = fl_name_make (packed->via.bin.ptr, packed->via.bin.size);
    }
  else
    *FIELD_PTR (object, f, struct fl_str) = fl_str_make (packed->via.bin.ptr, packed->via.bin.size);
  return true;
}

static bool
unpack_array (const struct fl_field *f,
              const msgpack_object *packed,
              void *object,
              struct fl_error *error)
{
  struct fl_array *array = FIELD_PTR (object, f, struct fl_array);

  if (packed->type != MSGPACK_OBJECT_ARRAY || (int64_t)packed->via.array.size > f->max)
    return fail_malformed_field (f, error);
  array->items = g_malloc0_n (MAX (packed->via.array.size, 1), f->nested_schema->size);
  array->count = packed->via.array.size;
  for (size_t i = 0; i < array->count; i++)
    if (!fl_schema_unpack (f->nested_schema, &packed->via.array.ptr[i],
                           (char *)array->items + i * f->nested_schema->size, error))
      return false;
  return true;
}

static bool
unpack_scalar (const struct fl_field *f,
               const msgpack_object *packed,
               void *object,
               struct fl_error *error)
{
  int64_t value = 0;

  if (f->type == FL_BOOL)
    {
      if (packed->type != MSGPACK_OBJECT_BOOLEAN)
        return fail_malformed_field (f, error);
      *FIELD_PTR (object, f, bool) = packed->via.boolean;
      return true;
    }
  if (!unpack_int (packed, &value))
    return fail_malformed_field (f, error);
  if (f->type == FL_INT)
    {
      if (value < f->min || value > f->max)
        return fail_malformed_field (f, error);
      *FIELD_PTR (object, f, int64_t) = value;
      return true;
    }
  int count = 0;
  while (f->enum_names[count] != NULL)
    count++;
  if (value < 0 || value >= count)
    return fail_malformed_field (f, error);
  *FIELD_PTR (object, f, int) = (int)value;
  return true;
}

static bool
unpack_field (const struct fl_field *f,
              const msgpack_object *packed,
              void *object,
              struct fl_error *error)
{
  switch (f->type)
    {
    case FL_BOOL:
    case FL_INT:
    case FL_ENUM:
      return unpack_scalar (f, packed, object, error);
    case FL_NAME:
    case FL_TEXT:
      return unpack_bytes (f, packed, object, error);
    case FL_OBJECT:
      return fl_schema_unpack (f->nested_schema, packed, FIELD_PTR (object, f, char), error);
    case FL_ARRAY:
      return unpack_array (f, packed, object, error);
    }
  return false;
}

bool
fl_schema_unpack (const struct fl_schema *schema,
                  const msgpack_object *packed,
                  void *object,
                  struct fl_error *error)
{
  memset (object, 0, schema->size);
  if (packed->type != MSGPACK_OBJECT_ARRAY || packed->via.array.size > schema->count
      || packed->via.array.size < schema->count - schema->added_count)
    return fl_fail (error, FL_INVALID, "message_unpack", NULL, "%s must have %zu fields",
                    schema->name, schema->count);
  for (size_t i = 0; i < packed->via.array.size; i++)
    if (!unpack_field (&schema->fields[i], &packed->via.array.ptr[i], object, error))
      return false;
  return true;
}

/* --- MessagePack documents and memory --- */

void
fl_schema_encode (const struct fl_schema *schema, const void *object, msgpack_sbuffer *buffer)
{
  msgpack_packer packer;

  msgpack_packer_init (&packer, buffer, msgpack_sbuffer_write);
  fl_schema_pack (schema, object, &packer);
}

bool
fl_schema_decode_first (const struct fl_schema *schema,
                        const char *data,
                        size_t len,
                        size_t *used,
                        void *object,
                        struct fl_error *error)
{
  msgpack_unpacked unpacked;
  bool is_valid = false;
  size_t unpacked_bytes = 0;

  memset (object, 0, schema->size);
  if (!fl_msgpack_check (data, len, used, error))
    return false;
  msgpack_unpacked_init (&unpacked);
  if (msgpack_unpack_next (&unpacked, data, *used, &unpacked_bytes) == MSGPACK_UNPACK_SUCCESS)
    is_valid = fl_schema_unpack (schema, &unpacked.data, object, error);
  else
    fl_fail (error, FL_INVALID, "decode", schema->name, "%zu bytes are not a valid message", len);
  msgpack_unpacked_destroy (&unpacked);
  return is_valid;
}

bool
fl_schema_decode (const struct fl_schema *schema,
                  const char *data,
                  size_t len,
                  void *object,
                  struct fl_error *error)
{
  size_t used;

  return fl_schema_decode_first (schema, data, len, &used, object, error);
}

void
fl_schema_clear (const struct fl_schema *schema, void *object)
{
  for (size_t i = 0; i < schema->count; i++)
    {
      const struct fl_field *f = &schema->fields[i];
      if (f->type == FL_TEXT)
        fl_str_clear (FIELD_PTR (object, f, struct fl_str));
      else if (f->type == FL_OBJECT)
        fl_schema_clear (f->nested_schema, FIELD_PTR (object, f, char));
      else if (f->type == FL_ARRAY)
        {
          struct fl_array *array = FIELD_PTR (object, f, struct fl_array);
          for (size_t j = 0; j < array->count; j++)
            fl_schema_clear (f->nested_schema, (char *)array->items + j * f->nested_schema->size);
          g_free (array->items);
        }
    }
  memset (object, 0, schema->size);
}
