#include "key/key.h"

#include <string.h>

#include <sodium.h>

#define BEARER "Bearer "

/* Name that the key from the settings has. */
#define BOOTSTRAP_NAME "bootstrap"

struct fl_name
fl_key_digest (const char *key, size_t len)
{
  unsigned char digest[crypto_generichash_BYTES];
  char hex[2 * sizeof digest + 1];

  crypto_generichash (digest, sizeof digest, (const unsigned char *)key, len, NULL, 0);
  sodium_bin2hex (hex, sizeof hex, digest, sizeof digest);
  return fl_name_of (hex);
}

struct fl_name
fl_key_generate (const struct fl_name *name)
{
  unsigned char secret[FL_KEY_SECRET_BYTES];
  char hex[2 * sizeof secret + 1];

  randombytes_buf (secret, sizeof secret);
  sodium_bin2hex (hex, sizeof hex, secret, sizeof secret);
  return fl_name_format ("%s.%s", name->data, hex);
}

static bool
digest_matches (const struct fl_name *kept, const struct fl_name *presented)
{
  return kept->len == presented->len
         && sodium_memcmp (kept->data, presented->data, presented->len) == 0;
}

static void
note_operator (void *context, const void *object)
{
  const struct fl_key *key = object;
  bool *found = context;

  *found = *found || (key->role == FL_ROLE_OPERATOR && !key->withdrawn);
}

static bool
has_operator (const struct fl_config *config)
{
  bool found = false;

  fl_config_each (config, FL_OBJECT_KEY, note_operator, &found);
  return found;
}

bool
fl_key_authenticate (const struct fl_config *config,
                     const struct fl_name *bootstrap,
                     const char *presented,
                     struct fl_key *out,
                     struct fl_error *error)
{
  if (presented == NULL || strncmp (presented, BEARER, strlen (BEARER)) != 0)
    return fl_fail (error, FL_DENIED, "authenticate", NULL,
                    "no key: send the header 'Authorization: Bearer KEY'");

  const char *text = presented + strlen (BEARER);
  size_t len = strlen (text);
  const char *dot = strchr (text, '.');
  size_t name_len = dot != NULL ? (size_t)(dot - text) : len;
  struct fl_name digest = fl_key_digest (text, len);
  struct fl_name name = fl_name_make (text, MIN (name_len, FL_NAME_MAX));
  const struct fl_key *key = fl_config_key (config, &name);

  if (key != NULL && !key->withdrawn && digest_matches (&key->digest, &digest))
    {
      *out = *key;
      return true;
    }
  if (bootstrap->len > 0 && digest_matches (bootstrap, &digest) && !has_operator (config))
    {
      *out = (struct fl_key){ .name = fl_name_of (BOOTSTRAP_NAME), .role = FL_ROLE_OPERATOR };
      return true;
    }
  return fl_fail (error, FL_DENIED, "authenticate", NULL, "the key is unknown or withdrawn");
}
