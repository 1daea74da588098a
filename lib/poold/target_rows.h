/* The list of targets as rows of the store: of ids and addresses, by turns.
 *
 * A row of the store has at most 64 KB, which the list of 1,800 targets exceeds. It is therefore
 * divided among rows with the keys "targets", "targets/1", "targets/2", and so on. Pure: no I/O. */
#pragma once

#include <glib.h>

#include "common/error.h"
#include "common/str.h"
#include "core/core.h"

/* Most rows of a list, as many as a transaction takes beside its conditions: 27,000 targets. */
#define FL_TARGET_ROWS_MAX 90

/* The key of row @index. */
struct fl_name fl_target_rows_key (size_t index);

/* @return the index of the row with @key, or -1 if it is not a row of the list. */
int fl_target_rows_index (const struct fl_name *key);

/* @return how many rows the list of @name_count names takes; at least 1. */
size_t fl_target_rows_count (size_t name_count);

/* Encodes row @index of the list @names (struct fl_name). @return the row, owned by the caller. */
struct fl_str fl_target_rows_encode (const GArray *names, size_t index);

/* Appends the names in a row of @len bytes to @names. Addresses are not checked.
 * @return false with @error filled when it is malformed; @names is then unchanged. */
bool fl_target_rows_decode (const char *data, size_t len, GArray *names, struct fl_error *error);

/* The row of FL_SUMMARY_UNHEARD: {"left_ms": {"ID": ms, ...}, "token": T}, with the fencing token
 * of the owner that stored it. */

/* Encodes @targets (struct fl_unheard_target). @return the row, owned by the caller. */
struct fl_str fl_unheard_row_encode (int64_t fencing_token, const GArray *targets);

/* Appends the targets in a row of @len bytes to @targets, and fills @fencing_token.
 * @return false with @error filled when it is malformed; @targets is then unchanged. */
bool fl_unheard_row_decode (
    const char *data, size_t len, int64_t *fencing_token, GArray *targets, struct fl_error *error);
