#include "common/error.h"

#include <stdarg.h>
#include <stdio.h>

#include <glib.h>

/* Makes @text UTF-8, since clients get it as JSON: removes a character that was cut at the end, and
 * replaces bytes that are no character. */
static void
make_utf8 (char *text, bool was_cut)
{
  const char *end;

  while (!g_utf8_validate (text, -1, &end))
    {
      char *invalid = text + (end - text);
      bool is_cut_character = was_cut && g_utf8_get_char_validated (invalid, -1) == (gunichar)-2;
      *invalid = is_cut_character ? '\0' : '?';
    }
}

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
  int len = vsnprintf (error->text, sizeof error->text, format, args);
  va_end (args);
  make_utf8 (error->text, len >= (int)sizeof error->text);
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
