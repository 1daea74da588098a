/* Structured logs: one line of key=value pairs per event on standard output, with syslog levels.
 *
 * The volume is limited to FL_LOG_LINES_PER_S lines per event and second; a line "lines_folded"
 * reports how many lines were suppressed. A line that cannot be written without blocking is
 * dropped, and the next line reports the number of dropped lines. Values that contain spaces,
 * quotes or control bytes are quoted and escaped. API keys of clients must not be logged.
 *
 * A process with an event loop may buffer lines until the loop is about to wait: hundreds of lines
 * in one turn of the loop then take a few system calls. Warnings and errors are written at once,
 * after the lines before them. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/error.h"
#include "common/str.h"

/* The syslog severities in use, most severe first. */
enum fl_log_level
{
  FL_LOG_ERR = 3,
  FL_LOG_WARNING = 4,
  FL_LOG_NOTICE = 5,
  FL_LOG_INFO = 6,
  FL_LOG_DEBUG = 7
};

/* Above the peak rate of task starts in a large cell; some 100 KB/s for one event. */
#define FL_LOG_LINES_PER_S 500
/* Distinct events that are rate-limited in one second; any further events are not limited. */
#define FL_LOG_LIMITED_EVENTS_MAX 48

/* Lines logged for one event in the current second. */
struct fl_log_event_count
{
  const char *event;
  int64_t lines;
};

/* Lines that are buffered at most: those of a turn of the loop, in a burst. With more, the buffer
 * is written before the loop waits. */
#define FL_LOG_BUFFER_BYTES ((size_t)32 * 1024)

/* Rate limit, drop counter and buffer of a process. */
struct fl_log_state
{
  bool is_buffered;       /* the process calls fl_log_flush */
  int64_t dropped_lines;  /* since the last line that was written */
  int64_t counted_second; /* second of the boot clock that event_counts covers */
  struct fl_log_event_count event_counts[FL_LOG_LIMITED_EVENTS_MAX];
  size_t event_count;
  size_t buffered_bytes;
  char buffer[FL_LOG_BUFFER_BYTES]; /* whole lines */
};

struct fl_log
{
  enum fl_log_level level; /* less severe lines are not logged */
  const char *program;     /* borrowed */
  struct fl_name instance;
  struct fl_log_state *state; /* NULL: no rate limit, no buffer, and drops are not reported */
};

/* Counts a line of @event, a string literal whose pointer is kept.
 * @return whether the line is within the rate limit of the current second. */
bool fl_log_state_admit_line (struct fl_log_state *state, const char *event);

/* Makes standard output non-blocking if it is a pipe or a socket. */
void fl_log_set_nonblocking (void);

enum fl_log_kind
{
  FL_LOG_END,
  FL_LOG_TEXT,
  FL_LOG_INT
};

/* One key=value pair: FL_S makes one from a string, FL_N from a struct fl_name and FL_I from an
 * integer. */
struct fl_log_pair
{
  enum fl_log_kind kind;
  const char *key;
  const char *text;
  int64_t number;
};

#define FL_S(key_, text_) ((struct fl_log_pair){ FL_LOG_TEXT, (key_), (text_), 0 })
#define FL_N(key_, name_) ((struct fl_log_pair){ FL_LOG_TEXT, (key_), (name_)->data, 0 })
#define FL_I(key_, number_) ((struct fl_log_pair){ FL_LOG_INT, (key_), 0, (number_) })

/* Logs one event, for example
 * fl_log (log, FL_LOG_INFO, "stopped", FL_I ("code", code)). */
#define fl_log(log_, level_, event_, ...)                                                          \
  fl_log_write ((log_), (level_), (event_),                                                        \
                (const struct fl_log_pair[]){ __VA_ARGS__, { FL_LOG_END, 0, 0, 0 } })

/* Logs one event with @pairs, terminated by a pair of kind FL_LOG_END. A NULL @log discards it. */
void fl_log_write (const struct fl_log *log,
                   enum fl_log_level level,
                   const char *event,
                   const struct fl_log_pair *pairs);

/* Writes the buffered lines of @log, as far as that is possible without blocking; the rest remains
 * buffered. */
void fl_log_flush (const struct fl_log *log);

/* Logs @event with the code, step, peer and text of @error. */
void fl_log_error (const struct fl_log *log,
                   enum fl_log_level level,
                   const char *event,
                   const struct fl_error *error);
