/* Aligned tables for people, from JSON. */
#pragma once

#include <jansson.h>
#include <stdio.h>

/* One column: a heading and the member of each item that fills it ("a.b" looks into objects). */
struct fl_column
{
  const char *heading;
  const char *member;
};

/* Prints the JSON array @items, one row each, under @columns (ended by a NULL heading). */
void fl_table_print (FILE *out, const json_t *items, const struct fl_column *columns);
