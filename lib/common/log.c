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

/* --- lines and rate limit --- */

static void
begin_line (GString *line, const struct fl_log *log, enum fl_log_level level, const char *event)
{
  g_string_printf (line, "<%d>time=%" PRId64 " level=%s program=%s instance=%s event=%s", level,
                   fl_clock_wall_ms (), level_name (level), log->program, log->instance.data,
                   event);
}

/* Writes @line in one call, so that lines of several processes on one terminal do not mix. */
static void
write_line (const struct fl_log *log, const GString *line)
{
  ssize_t written = write (STDOUT_FILENO, line->str, line->len);

  if (log->state != NULL)
    log->state->dropped_lines = written < 0 ? log->state->dropped_lines + 1 : 0;
}

/* Logs how many lines of each event the last second suppressed and resets the counts for
 * @second. */
static void
start_second (const struct fl_log *log, int64_t second)
{
  struct fl_log_state *state = log->state;

  for (size_t i = 0; i < state->event_count; i++)
    {
      const struct fl_log_event_count *counted = &state->event_counts[i];
      if (counted->lines <= FL_LOG_LINES_PER_S)
        continue;
      g_autoptr (GString) line = g_string_sized_new (128);
      begin_line (line, log, FL_LOG_NOTICE, "lines_folded");
      g_string_append_printf (line, " of=%s lines=%" PRId64 "\n", counted->event,
                              counted->lines - FL_LOG_LINES_PER_S);
      write_line (log, line);
    }
  state->counted_second = second;
  state->event_count = 0;
}

static bool
admit_line (const struct fl_log *log, const char *event)
{
  int64_t second = fl_clock_boot_ms () / 1000;

  if (log->state == NULL)
    return true;
  if (second != log->state->counted_second)
    start_second (log, second);
  return fl_log_state_admit_line (log->state, event);
}

/* --- public functions --- */

bool
fl_log_state_admit_line (struct fl_log_state *state, const char *event)
{
  for (size_t i = 0; i < state->event_count; i++)
    if (strcmp (state->event_counts[i].event, event) == 0)
      return ++state->event_counts[i].lines <= FL_LOG_LINES_PER_S;
  if (state->event_count < FL_LOG_LIMITED_EVENTS_MAX)
    state->event_counts[state->event_count++] = (struct fl_log_event_count){ event, 1 };
  return true;
}

void
fl_log_write (const struct fl_log *log,
              enum fl_log_level level,
              const char *event,
              const struct fl_log_pair *pairs)
{
  if (log == NULL || level > log->level || !admit_line (log, event))
    return;

  g_autoptr (GString) line = g_string_sized_new (256);
  begin_line (line, log, level, event);
  if (log->state != NULL && log->state->dropped_lines > 0)
    g_string_append_printf (line, " lines_dropped=%" PRId64, log->state->dropped_lines);
  for (; pairs->kind != FL_LOG_END; pairs++)
    {
      g_string_append_printf (line, " %s=", pairs->key);
      if (pairs->kind == FL_LOG_INT)
        g_string_append_printf (line, "%" PRId64, pairs->number);
      else
        append_value (line, pairs->text);
    }
  g_string_append_c (line, '\n');
  write_line (log, line);
}

void
fl_log_error (const struct fl_log *log,
              enum fl_log_level level,
              const char *event,
              const struct fl_error *error)
{
  fl_log (log, level, event, FL_S ("code", fl_error_code_name (error->code)),
          FL_S ("step", error->step), FL_S ("peer", error->peer), FL_S ("text", error->text));
}
