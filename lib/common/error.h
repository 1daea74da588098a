/* Errors are a struct that the caller passes down. The callee fills in what went wrong, at which
 * step and at which peer, and returns false. A NULL error pointer is allowed everywhere. */
#pragma once

#include <stdbool.h>

enum fl_error_code
{
  FL_OK = 0,
  FL_INVALID,     /* the input breaks its contract */
  FL_NOT_FOUND,   /* no such object */
  FL_CONFLICT,    /* the object stands in another state than the call presumes */
  FL_STALE,       /* a newer state is already in force */
  FL_DENIED,      /* the key does not permit the call */
  FL_UNAVAILABLE, /* a peer refused or cannot be reached; the call had no effect */
  FL_UNKNOWN,     /* the call may or may not have had its effect */
  FL_LIMIT,       /* a limit or budget is used up */
  FL_INTERNAL,    /* a fault of this program or its machine */
  FL_CODE_COUNT
};

struct fl_error
{
  enum fl_error_code code;
  char step[48];  /* the operation that failed, e.g. "table_commit" */
  char peer[96];  /* the address or name of the other side; empty when there is none */
  char text[256]; /* one sentence for people */
};

/* Fills @error unless it is NULL. Always returns false so that callers can `return fl_fail (...)`.
 */
bool fl_fail (struct fl_error *error,
              enum fl_error_code code,
              const char *step,
              const char *peer,
              const char *format,
              ...) __attribute__ ((format (printf, 5, 6)));

/* The stable lower-case name of a code, as used in logs and answers. */
const char *fl_error_code_name (enum fl_error_code code);
