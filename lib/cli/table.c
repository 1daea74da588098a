#include "cli/table.h"

#include <inttypes.h>
#include <string.h>

#include <glib.h>

#define COLUMNS_MAX 16

static const json_t *
get_member (const json_t *item, const char *path)
{
  g_auto (GStrv) parts = g_strsplit (path, ".", -1);

  for (int i = 0; parts[i] != NULL; i++)
    item = json_object_get (item, parts[i]);
  return item;
}

static char *
format_cell (const json_t *item, const char *path)
{
  const json_t *value = get_member (item, path);

  if (json_is_string (value))
    return g_strdup (json_string_value (value));
  if (json_is_real (value))
    return g_strdup_printf ("%.1f", json_real_value (value));
  if (json_is_integer (value))
    return g_strdup_printf ("%" PRId64, (int64_t)json_integer_value (value));
  if (json_is_boolean (value))
    return g_strdup (json_is_true (value) ? "yes" : "no");
  if (value == NULL || json_is_null (value))
    return g_strdup ("-");
  char *dumped = json_dumps (value, JSON_COMPACT);
  char *copy = g_strdup (dumped);
  free (dumped);
  return copy;
}

void
fl_table_print (FILE *out, const json_t *items, const struct fl_column *columns)
{
  int widths[COLUMNS_MAX] = { 0 };
  size_t i;
  json_t *item;

  for (int c = 0; c < COLUMNS_MAX && columns[c].heading != NULL; c++)
    {
      widths[c] = (int)strlen (columns[c].heading);
      json_array_foreach (items, i, item)
      {
        g_autofree char *text = format_cell (item, columns[c].member);
        widths[c] = MAX (widths[c], (int)strlen (text));
      }
      fprintf (out, "%-*s%s", widths[c], columns[c].heading,
               columns[c + 1].heading != NULL ? "  " : "\n");
    }
  json_array_foreach (items, i, item)
  {
    for (int c = 0; c < COLUMNS_MAX && columns[c].heading != NULL; c++)
      {
        g_autofree char *text = format_cell (item, columns[c].member);
        fprintf (out, "%-*s%s", widths[c], text, columns[c + 1].heading != NULL ? "  " : "\n");
      }
  }
}
