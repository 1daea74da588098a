/* Error reporting. The caller passes a struct fl_error; on failure the callee fills in the code,
 * the operation that failed, the peer and a message, and returns false. The error pointer may be
 * NULL everywhere. */
#pragma once

#include <stdbool.h>

enum fl_error_code
{
  FL_OK = 0,
  FL_INVALID,     /* the input is malformed or out of bounds */
  FL_NOT_FOUND,   /* no such object */
  FL_CONFLICT,    /* the object is not in the state that the call requires */
  FL_STALE,       /* a newer state has already been applied */
  FL_DENIED,      /* the key does not permit the call */
  FL_UNAVAILABLE, /* a peer rejected the call or is unreachable; the call had no effect */
  FL_UNKNOWN,     /* the call may or may not have taken effect */
  FL_LIMIT,       /* a limit or budget is exhausted */
  FL_INTERNAL,    /* a failure of this program or its host */
  FL_CODE_COUNT
};

struct fl_error
{
  enum fl_error_code code;
  char step[48];  /* the operation that failed, e.g. "store_call" */
  char peer[96];  /* address or name of the peer; empty when there is none */
  char text[256]; /* human-readable message */
};

/* Fills @error unless it is NULL; @peer is NULL for none. Always returns false, so that callers can
 * `return fl_fail (...)`. */
bool fl_fail (struct fl_error *error,
              enum fl_error_code code,
              const char *step,
              const char *peer,
              const char *format,
              ...) __attribute__ ((format (printf, 5, 6)));

/* @return the stable lower-case name of a code, as written to logs and HTTP responses. */
const char *fl_error_code_name (enum fl_error_code code);
