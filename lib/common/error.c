#include "common/error.h"

#include <stdarg.h>
#include <stdio.h>

#include <glib.h>

bool
fl_fail (struct fl_error *error,
         enum fl_error_code code,
         const char *step,
         const char *peer,
         const char *format,
         ...)
{
  va_list args;

  if (error == NULL)
    return false;
  error->code = code;
  g_strlcpy (error->step, step, sizeof error->step);
  g_strlcpy (error->peer, peer != NULL ? peer : "", sizeof error->peer);
  va_start (args, format);
  vsnprintf (error->text, sizeof error->text, format, args);
  va_end (args);
  return false;
}

const char *
fl_error_code_name (enum fl_error_code code)
{
  static const char *const names[FL_CODE_COUNT]
      = { "ok",     "invalid",     "not_found", "conflict", "stale",
          "denied", "unavailable", "unknown",   "limit",    "internal" };

  return (unsigned)code < FL_CODE_COUNT ? names[code] : "invalid_code";
}
