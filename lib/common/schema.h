/* Schemas: field tables that describe C structs.
 *
 * Settings, tickets, jobs, table rows and messages between processes are plain structs. Each has a
 * table of its fields and their bounds. The functions below use this table to read JSON (reporting
 * every problem with its path and allowed range), to write JSON, to pack and unpack the MessagePack
 * used between processes, and to free the struct.
 */
#pragma once

#include <jansson.h>
#include <msgpack.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/error.h"
#include "common/str.h"

enum fl_type
{
  FL_BOOL,   /* bool */
  FL_INT,    /* int64_t; min..max limit the value */
  FL_NAME,   /* struct fl_name; min..max limit the length in bytes */
  FL_TEXT,   /* struct fl_str; min..max limit the length in bytes */
  FL_ENUM,   /* int; index into `enum_names` */
  FL_OBJECT, /* a nested struct described by `nested_schema` */
  FL_ARRAY   /* struct fl_array of structs described by `nested_schema`; min..max limit the count */
};

/* Heap-allocated items of equal size, owned by the struct that contains the array. */
struct fl_array
{
  size_t count;
  void *items;
};

struct fl_schema;

struct fl_field
{
  const char *name;
  enum fl_type type;
  size_t offset;
  bool required;
  int64_t min;
  int64_t max;
  int64_t default_value; /* of an optional INT, BOOL or ENUM field that is absent */
  const struct fl_schema *nested_schema;
  const char *const *enum_names; /* ENUM: NULL-terminated */
};

struct fl_schema
{
  const char *name;
  size_t size; /* of the struct, in bytes */
  const struct fl_field *fields;
  size_t count;
  /* Flags at the end that earlier versions do not know. A MessagePack array ends before those that
   * are not set, so that it then has the fields that earlier versions expect. */
  size_t added_count;
};

/* Defines the schema @identifier of struct @type_ with the array @fields_. Error messages call the
 * struct by its C name. */
#define FL_SCHEMA(identifier, type_, fields_) FL_SCHEMA_AS (identifier, type_, #type_, fields_)
/* The same, but error messages call the struct @name_. */
#define FL_SCHEMA_AS(identifier, type_, name_, fields_)                                            \
  const struct fl_schema identifier                                                                \
      = { name_, sizeof (struct type_), (fields_), sizeof (fields_) / sizeof ((fields_)[0]), 0 }
/* The same with @added_ flags at the end that earlier versions do not know. */
#define FL_SCHEMA_ADDED(identifier, type_, name_, fields_, added_)                                 \
  const struct fl_schema identifier = { name_, sizeof (struct type_), (fields_),                   \
                                        sizeof (fields_) / sizeof ((fields_)[0]), (added_) }

/* The problems of a document, one line each: "path: text". */
struct fl_problems
{
  size_t count;
  struct fl_str text; /* lines separated by '\n' */
};

void fl_problems_add (struct fl_problems *problems, const char *path, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));
void fl_problems_clear (struct fl_problems *problems);

/* Parses @len bytes of JSON. Duplicate names, invalid UTF-8, trailing bytes and too deep nesting
 * are errors. @return a new reference, or NULL with @error filled. */
json_t *fl_json_parse (const char *data, size_t len, struct fl_error *error);

/* The same, but strings may contain NUL, which callers check. */
json_t *fl_json_parse_with_nul (const char *data, size_t len, struct fl_error *error);

/* Encodes @json compactly with sorted names, so that equal documents yield equal bytes. */
struct fl_str fl_json_encode (const json_t *json);

/* Fills @object, of schema->size bytes, from @json. Adds all problems to @problems, not only the
 * first; an unknown name is a problem. @path is the name of the document in @problems.
 * @return whether there were no problems; @object can be passed to fl_schema_clear either way. */
bool fl_schema_from_json (const struct fl_schema *schema,
                          const json_t *json,
                          void *object,
                          const char *path,
                          struct fl_problems *problems);

/* Checks the values of @object against the bounds of its fields, except for the lower bounds of
 * lengths and counts. What passes can be read back from JSON or MessagePack.
 * @return false with @error filled for the first value out of bounds. */
bool fl_schema_check (const struct fl_schema *schema, const void *object, struct fl_error *error);

/* @return a new JSON object with all fields of @object. */
json_t *fl_schema_to_json (const struct fl_schema *schema, const void *object);

/* Appends @object as a MessagePack array, one item for each field in table order. */
void fl_schema_pack (const struct fl_schema *schema, const void *object, msgpack_packer *packer);

/* Fills @object from an array that fl_schema_pack wrote. Checks types and bounds, except for
 * the lower bounds of lengths and counts.
 * @return false with @error filled if the array is malformed; @object can be cleared either way. */
bool fl_schema_unpack (const struct fl_schema *schema,
                       const msgpack_object *packed,
                       void *object,
                       struct fl_error *error);

/* Appends @object to @buffer as the MessagePack document that fl_schema_decode reads. */
void fl_schema_encode (const struct fl_schema *schema, const void *object, msgpack_sbuffer *buffer);

/* Fills @object, which need not be initialized, from @len bytes that fl_schema_encode wrote.
 * @return false with @error filled if they are malformed; @object can be cleared either way. */
bool fl_schema_decode (const struct fl_schema *schema,
                       const char *data,
                       size_t len,
                       void *object,
                       struct fl_error *error);

/* The same for the first of several documents. Sets @used to the number of its bytes. */
bool fl_schema_decode_first (const struct fl_schema *schema,
                             const char *data,
                             size_t len,
                             size_t *used,
                             void *object,
                             struct fl_error *error);

/* Frees the strings and arrays that @object owns and zeroes @object. */
void fl_schema_clear (const struct fl_schema *schema, void *object);
