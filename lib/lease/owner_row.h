/* The row "owner/DOMAIN" as JSON in the table: {"owner", "epoch", "voters"}. */
#pragma once

#include <jansson.h>

#include "lease/lease.h"

/* @return a new JSON object; the version is the table's and not part of it. */
json_t *fl_owner_row_to_json (const struct fl_owner_row *row);

/* Fills @row from a row's @value and @version. Missing members read as empty; voters beyond
 * FL_VOTERS_MAX are left out. */
void fl_owner_row_from_json (const json_t *value, int64_t version, struct fl_owner_row *row);
