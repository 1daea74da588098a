#include "common/str.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <xxhash.h>

struct fl_name
fl_name_make (const char *data, size_t len)
{
  struct fl_name name = { 0 };

  if (len > FL_NAME_MAX)
    len = FL_NAME_MAX;
  if (len > 0)
    memcpy (name.data, data, len);
  name.len = (uint8_t)len;
  return name;
}

struct fl_name
fl_name_of (const char *text)
{
  return fl_name_make (text, strlen (text));
}

struct fl_name
fl_name_format (const char *format, ...)
{
  struct fl_name name = { 0 };
  va_list args;

  va_start (args, format);
  int len = vsnprintf (name.data, sizeof name.data, format, args);
  va_end (args);
  g_assert (len >= 0);
  name.len = (uint8_t)MIN (len, FL_NAME_MAX);
  return name;
}

bool
fl_name_eq (const struct fl_name *a, const struct fl_name *b)
{
  return a->len == b->len && memcmp (a->data, b->data, a->len) == 0;
}

unsigned int
fl_name_hash (const void *key)
{
  const struct fl_name *name = key;

  return (unsigned int)XXH3_64bits (name->data, name->len);
}

int
fl_name_equal (const void *a, const void *b)
{
  return fl_name_eq (a, b);
}

struct fl_str
fl_str_make (const char *data, size_t len)
{
  struct fl_str str = { len, g_malloc (len + 1) };

  if (len > 0)
    memcpy (str.data, data, len);
  str.data[len] = '\0';
  return str;
}

struct fl_str
fl_str_of (const char *text)
{
  return fl_str_make (text, strlen (text));
}

struct fl_str
fl_str_dup (const struct fl_str *str)
{
  return fl_str_make (str->data, str->len);
}

void
fl_str_clear (struct fl_str *str)
{
  g_free (str->data);
  str->data = NULL;
  str->len = 0;
}

const char *
fl_str_text (const struct fl_str *str)
{
  return str->data != NULL ? str->data : "";
}
