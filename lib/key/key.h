/* Keys of callers and operators. A key is "NAME.SECRET"; only the digest of the whole is kept. */
#pragma once

#include "ticket/ticket.h"

/* Bytes of randomness in a secret. */
#define FL_KEY_SECRET_BYTES 24

/* The hex BLAKE2b-256 digest of @key. */
struct fl_name fl_key_digest (const char *key, size_t len);

/* Makes a new key for @name. @return its text, which is shown once and never kept. */
struct fl_name fl_key_generate (const struct fl_name *name);

/* Finds the key that @presented (an Authorization header value "Bearer KEY", or NULL) stands for.
 * Digests are compared in constant time. Withdrawn keys are refused like unknown ones.
 * @bootstrap: digest of the operator key from the settings, honoured until a ticket has made an
 * operator key; may be empty.
 * @return true with @out filled, or false with @error of code FL_DENIED. */
bool fl_key_authenticate (const struct fl_config *config,
                          const struct fl_name *bootstrap,
                          const char *presented,
                          struct fl_key *out,
                          struct fl_error *error);
