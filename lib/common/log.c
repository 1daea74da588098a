#include "common/log.h"

#include <fcntl.h>
#include <inttypes.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include <glib.h>

#include "common/clock.h"

void
fl_log_set_nonblocking (void)
{
  struct stat status;
  int flags = fcntl (STDOUT_FILENO, F_GETFL);

  if (flags >= 0 && fstat (STDOUT_FILENO, &status) == 0
      && (S_ISFIFO (status.st_mode) || S_ISSOCK (status.st_mode)))
    fcntl (STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

static const char *
level_name (enum fl_log_level level)
{
  static const char *const names[]
      = { "emerg", "alert", "crit", "err", "warning", "notice", "info", "debug" };

  return names[level];
}

static bool
needs_quotes (const char *text)
{
  if (*text == '\0')
    return true;
  for (const unsigned char *c = (const unsigned char *)text; *c != '\0'; c++)
    if (*c <= ' ' || *c == '"' || *c == '=' || *c == '\\' || *c >= 0x7f)
      return true;
  return false;
}

static void
append_value (GString *line, const char *text)
{
  if (text == NULL)
    text = "";
  if (!needs_quotes (text))
    {
      g_string_append (line, text);
      return;
    }
  g_string_append_c (line, '"');
  for (const unsigned char *c = (const unsigned char *)text; *c != '\0'; c++)
    {
      if (*c == '"' || *c == '\\')
        g_string_append_printf (line, "\\%c", *c);
      else if (*c < ' ' || *c == 0x7f)
        g_string_append_printf (line, "\\x%02x", *c);
      else
        g_string_append_c (line, (char)*c);
    }
  g_string_append_c (line, '"');
}

void
fl_log_write (const struct fl_log *log,
              enum fl_log_level level,
              const char *event,
              const struct fl_log_pair *pairs)
{
  if (log == NULL || level > log->level)
    return;

  g_autoptr (GString) line = g_string_sized_new (256);
  g_string_printf (line, "<%d>time=%" PRId64 " level=%s program=%s instance=%s event=%s", level,
                   fl_clock_wall_ms (), level_name (level), log->program, log->instance.data,
                   event);
  if (log->dropped != NULL && *log->dropped > 0)
    g_string_append_printf (line, " lines_dropped=%" PRId64, *log->dropped);
  for (; pairs->kind != FL_LOG_END; pairs++)
    {
      g_string_append_printf (line, " %s=", pairs->key);
      if (pairs->kind == FL_LOG_INT)
        g_string_append_printf (line, "%" PRId64, pairs->number);
      else
        append_value (line, pairs->text);
    }
  g_string_append_c (line, '\n');

  /* One write call keeps lines of several processes on one terminal whole. */
  ssize_t written = write (STDOUT_FILENO, line->str, line->len);
  if (log->dropped != NULL)
    *log->dropped = written < 0 ? *log->dropped + 1 : 0;
}

void
fl_log_error (const struct fl_log *log,
              enum fl_log_level level,
              const char *event,
              const struct fl_error *error)
{
  fl_log (log, level, event, FL_S ("code", fl_code_name (error->code)), FL_S ("step", error->step),
          FL_S ("peer", error->peer), FL_S ("text", error->text));
}
