/* Structured logs: one line of key=value pairs for each event, on standard output, with the syslog
 * levels. The volume is bounded: of one event FL_LOG_LINES_PER_S lines are written a second, and a
 * line "lines_folded" tells how many more there were. A line that the reader does not take at once
 * is dropped and counted: the next line tells how many. Values that hold spaces, quotes or control
 * bytes are quoted and escaped. Keys of callers are never passed to these functions. */
#pragma once

#include <stdint.h>

#include "common/error.h"
#include "common/str.h"

/* The syslog severities that the product uses, most severe first. */
enum fl_log_level
{
  FL_LOG_ERR = 3,
  FL_LOG_WARNING = 4,
  FL_LOG_NOTICE = 5,
  FL_LOG_INFO = 6,
  FL_LOG_DEBUG = 7
};

/* Above the task starts a second of a large cell at its peak; some 100 KB. */
#define FL_LOG_LINES_PER_S 500
/* Events told apart in one second; those beyond are not bounded. */
#define FL_LOG_LIMITED_EVENTS_MAX 48

/* Lines of one event in the present second. */
struct fl_log_event_count
{
  const char *event;
  int64_t lines;
};

/* What a process keeps between lines. */
struct fl_log_state
{
  int64_t dropped_lines;  /* lines since the last that was written */
  int64_t counted_second; /* that the counts are of, by the boot clock */
  struct fl_log_event_count event_counts[FL_LOG_LIMITED_EVENTS_MAX];
  size_t event_count;
};

struct fl_log
{
  enum fl_log_level level; /* lines less severe than this are dropped */
  const char *program;
  struct fl_name instance;
  struct fl_log_state *state; /* NULL: nothing is bounded, and drops are not told */
};

/* Counts a line of @event (a literal). @return whether it is within the bound of its second. */
bool fl_log_state_admit_line (struct fl_log_state *state, const char *event);

/* Makes writes to a pipe or socket on standard output return at once when it is full. */
void fl_log_set_nonblocking (void);

enum fl_log_kind
{
  FL_LOG_END,
  FL_LOG_TEXT,
  FL_LOG_INT
};

/* One key=value pair. Made with FL_S, FL_N and FL_I. */
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

/* Writes one event: fl_log (log, FL_LOG_INFO, "domain_taken", FL_N ("domain", &d), FL_I (...)). */
#define fl_log(log_, level_, event_, ...)                                                          \
  fl_log_write ((log_), (level_), (event_),                                                        \
                (const struct fl_log_pair[]){ __VA_ARGS__, { FL_LOG_END, 0, 0, 0 } })

/* Writes one event with @pairs, ended by a pair of kind FL_LOG_END. */
void fl_log_write (const struct fl_log *log,
                   enum fl_log_level level,
                   const char *event,
                   const struct fl_log_pair *pairs);

/* Writes @event with the code, step, peer and text of @error. */
void fl_log_error (const struct fl_log *log,
                   enum fl_log_level level,
                   const char *event,
                   const struct fl_error *error);
