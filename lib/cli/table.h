/* Prints JSON objects as aligned tables. */
#pragma once

#include <jansson.h>
#include <stdio.h>

/* A column: its heading and the member of each item to show; "a.b" is member b of object a. */
struct fl_column
{
  const char *heading;
  const char *member;
};

/* Prints a header row and one row per item of the JSON array @items. @columns, fewer than 16, ends
 * with a NULL heading. */
void fl_table_print (FILE *out, const json_t *items, const struct fl_column *columns);
