#include "common/log.h"

#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <limits.h>
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

static void
append_int (GString *line, int64_t number)
{
  char digits[24];
  char *first = digits + sizeof digits;
  uint64_t rest = number < 0 ? -(uint64_t)number : (uint64_t)number;

  do
    *--first = (char)('0' + rest % 10);
  while ((rest /= 10) > 0);
  if (number < 0)
    *--first = '-';
  g_string_append_len (line, first, digits + sizeof digits - first);
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
  g_string_append_c (line, '<');
  append_int (line, level);
  g_string_append (line, ">time=");
  append_int (line, fl_clock_wall_ms ());
  g_string_append (line, " level=");
  g_string_append (line, level_name (level));
  g_string_append (line, " program=");
  g_string_append (line, log->program);
  g_string_append (line, " instance=");
  g_string_append (line, log->instance.data);
  g_string_append (line, " event=");
  g_string_append (line, event);
}

/* @return the length of the lines at the start of @text that one call may write: a pipe takes so
 * many bytes as a whole or not at all, so that lines of several processes do not mix. */
static size_t
writable_length (const char *text, size_t len)
{
  const char *end = len > PIPE_BUF ? memrchr (text, '\n', PIPE_BUF) : text + len - 1;

  if (end == NULL)
    end = memchr (text, '\n', len);
  return (size_t)(end - text) + 1;
}

/* Writes lines until one would block. @return the length of those that are done with: written, or
 * lost to an error. */
static size_t
write_lines (const char *text, size_t len)
{
  size_t done = 0;

  while (done < len)
    {
      size_t part = writable_length (text + done, len - done);
      ssize_t written = write (STDOUT_FILENO, text + done, part);
      if (written < 0 && (errno == EAGAIN || errno == EINTR))
        return done;
      done += written < 0 ? part : (size_t)written;
    }
  return done;
}

static void
flush_buffer (struct fl_log_state *state)
{
  size_t done = write_lines (state->buffer, state->buffered_bytes);

  state->buffered_bytes -= done;
  memmove (state->buffer, state->buffer + done, state->buffered_bytes);
}

/* @return false when there is no room for @line. */
static bool
buffer_line (struct fl_log_state *state, const GString *line)
{
  if (line->len > FL_LOG_BUFFER_BYTES - state->buffered_bytes)
    flush_buffer (state);
  if (line->len > FL_LOG_BUFFER_BYTES - state->buffered_bytes)
    return false;
  memcpy (state->buffer + state->buffered_bytes, line->str, line->len);
  state->buffered_bytes += line->len;
  return true;
}

static void
write_line (const struct fl_log *log, enum fl_log_level level, const GString *line)
{
  struct fl_log_state *state = log->state;
  bool is_kept;

  if (state == NULL || !state->is_buffered)
    is_kept = write (STDOUT_FILENO, line->str, line->len) >= 0;
  else
    is_kept = buffer_line (state, line);
  if (state == NULL)
    return;
  state->dropped_lines = is_kept ? 0 : state->dropped_lines + 1;
  if (level <= FL_LOG_WARNING)
    flush_buffer (state);
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
      write_line (log, FL_LOG_NOTICE, line);
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
      g_string_append_c (line, ' ');
      g_string_append (line, pairs->key);
      g_string_append_c (line, '=');
      if (pairs->kind == FL_LOG_INT)
        append_int (line, pairs->number);
      else
        append_value (line, pairs->text);
    }
  g_string_append_c (line, '\n');
  write_line (log, level, line);
}

void
fl_log_flush (const struct fl_log *log)
{
  if (log->state != NULL && log->state->buffered_bytes > 0)
    flush_buffer (log->state);
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
