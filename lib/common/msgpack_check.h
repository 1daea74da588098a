/* Check of MessagePack bytes before they are unpacked.
 *
 * msgpack allocates memory for all items that an array or map claims before it reads the first one,
 * so that five corrupted bytes can claim 64 GB. */
#pragma once

#include <stdbool.h>
#include <stddef.h>

#include "common/error.h"

/* Arrays and maps nested deeper than this are rejected; no message or record needs more. */
#define FL_MSGPACK_DEPTH_MAX 16

/* Reads the first document in @len bytes of @data, without memory of its own, and sets @used to the
 * number of its bytes.
 * @return false with @error filled if it is not complete, has a byte of no type, or is nested too
 * deep. */
bool fl_msgpack_check (const char *data, size_t len, size_t *used, struct fl_error *error);
