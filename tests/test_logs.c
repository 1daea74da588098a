/* The rate limit of log lines, and the explanations that lib/cli/explain derives from them. */
#include <fcntl.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "cli/explain.h"
#include "common/log.h"

#define LOG_LINE(time_, rest_)                                                                     \
  "12.5 h1/pool <6>time=" #time_ " level=info program=p instance=h1 " rest_ "\n"

struct explain_case
{
  const char *name;
  const char *lines[8];
  const char *expected[6]; /* substrings of the explanation, in this order */
};

static const struct explain_case cases[] = {
  { "completed after waits",
    { LOG_LINE (1300, "event=job_ended job=aa state=completed age_ms=290"),
      LOG_LINE (1000, "event=answered method=POST job=aa queue=q status=200 took_ms=9"),
      LOG_LINE (1010, "event=job_known job=aa queue=q team=w version=7 steps=1"),
      LOG_LINE (1100, "event=step_waited step=aa.0.0 for=advice ms=60 then=record"),
      LOG_LINE (1120, "event=step_waited step=aa.0.1 for=advice ms=15 then=none") },
    { "       0 ms  h1 p", "answered method=POST", "     300 ms  h1 p", "Accepted (1 time(s)",
      "Steps of the job waited for: advice 75 ms.",
      "Ended as completed, 290 ms after submission." } },
  { "parts of a wait",
    { LOG_LINE (1, "event=job_known job=ff queue=q"),
      LOG_LINE (9, "event=step_waited step=ff.0.0 for=room ms=9 room_ms=7 advice_ms=2 then=none") },
    { "Steps of the job waited for: advice 2 ms, room 7 ms." } },
  { "rejected submission",
    { LOG_LINE (5,
                "event=turned_away method=POST path=/x/bb job=bb status=401 reason=unknown_key") },
    { "Rejected: unknown_key 1 time(s).", "No front host logged that the job was accepted.",
      "No owner of the pool logged that it read the job.", "No line reports its end." } },
  { "failed and lost runs",
    { LOG_LINE (1, "event=end task=cc.0.0.1 run=1 target=t1 cause=failed"),
      LOG_LINE (
          2, "event=order_result order=start_ms name=cc.0.0.1 run=2 result=unanswered after_ms=9"),
      LOG_LINE (3, "event=run_lost task=cc.0.0.1 run=2 target=t2 reason=lease_lapsed"),
      LOG_LINE (4, "event=job_known job=cc queue=q"),
      LOG_LINE (5, "event=job_known job=cc queue=q") },
    { "The owner of the pool changed: 2 owners", "Orders without a reply: 1.",
      "Runs lost with their target: 1.", "Runs that failed: 1." } },
  { "target crashes",
    { LOG_LINE (1, "event=job_known job=dd queue=q"),
      LOG_LINE (2, "event=crash_counted task=dd.0.0.1 run=1 target=t1 state=suspected"),
      LOG_LINE (3, "event=crash_counted task=dd.0.0.1 run=2 target=t2 state=suspected"),
      LOG_LINE (4, "event=task_crashes_targets task=dd.0.0.1 suspected=2 crashes=2"),
      LOG_LINE (5, "event=job_ended job=dd state=failed age_ms=7") },
    { "Crashes of targets that counted against its tasks: 2.", "Given up: task dd.0.0.1",
      "Ended as failed, 7 ms" } },
  { "no lines of the job",
    { LOG_LINE (1, "event=job_known job=eee queue=q"), "no line at all", "time=5 event", "" },
    { "No line names job ee." } },
};

static void
test_explanations (void **state)
{
  static const char *const job_ids[] = { "aa", "ff", "bb", "cc", "dd", "ee" };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fl_explanation *explanation = fl_explanation_new (job_ids[i]);
      g_autoptr (GString) text = g_string_new (NULL);
      for (size_t j = 0; j < G_N_ELEMENTS (cases[i].lines) && cases[i].lines[j] != NULL; j++)
        fl_explanation_add_line (explanation, cases[i].lines[j]);
      fl_explanation_write (explanation, text);
      const char *rest = text->str;
      for (size_t j = 0; j < G_N_ELEMENTS (cases[i].expected) && cases[i].expected[j] != NULL; j++)
        {
          const char *found = strstr (rest, cases[i].expected[j]);
          if (found == NULL)
            print_error ("%s: \"%s\" not found in\n%s", cases[i].name, cases[i].expected[j],
                         text->str);
          assert_non_null (found);
          rest = found != NULL ? found : rest;
        }
      fl_explanation_free (explanation);
    }
}

/* The lines of one event are limited, and other events are logged all the same. */
static void
test_log_rate_limit (void **state)
{
  struct fl_log_state log_state = { 0 };
  int admitted = 0;

  (void)state;
  for (int i = 0; i < 10 * FL_LOG_LINES_PER_S; i++)
    admitted += fl_log_state_admit_line (&log_state, "start") ? 1 : 0;
  assert_int_equal (admitted, FL_LOG_LINES_PER_S);
  assert_true (fl_log_state_admit_line (&log_state, "pool_lost"));
}

/* Replaces standard output by a pipe of one page that never blocks. @return its reading end. */
static int
redirect_output (int *saved)
{
  int ends[2];

  assert_int_equal (pipe2 (ends, O_NONBLOCK), 0);
  fcntl (ends[1], F_SETPIPE_SZ, 4096);
  *saved = dup (STDOUT_FILENO);
  assert_true (dup2 (ends[1], STDOUT_FILENO) >= 0);
  close (ends[1]);
  return ends[0];
}

static void
restore_output (int reader, int saved)
{
  dup2 (saved, STDOUT_FILENO);
  close (saved);
  close (reader);
}

static void
read_output (int reader, GString *text)
{
  char data[4096];
  ssize_t len;

  while ((len = read (reader, data, sizeof data)) > 0)
    g_string_append_len (text, data, len);
}

/* @return the number after @key in @line, or 0. */
static int64_t
find_number (const char *line, const char *key)
{
  const char *found = strstr (line, key);

  return found != NULL ? strtoll (found + strlen (key), NULL, 10) : 0;
}

/* Load pattern: a turn of the loop logs more than the reader of the pipe and the buffer take. */
static void
test_buffered_lines_are_whole_and_in_order (void **state)
{
  enum
  {
    LINES = 450
  };
  static struct fl_log_state log_state;
  struct fl_log log = { FL_LOG_INFO, "p", fl_name_of ("h1"), &log_state };
  g_autoptr (GString) text = g_string_new (NULL);
  int64_t next = 0;
  int saved;
  int reader = redirect_output (&saved);

  (void)state;
  log_state.is_buffered = true;
  for (int i = 0; i < LINES; i++)
    fl_log (&log, FL_LOG_INFO, "start", FL_I ("line", i), FL_S ("text", "some more text"));
  for (int i = 0; i < LINES; i++)
    {
      read_output (reader, text);
      fl_log_flush (&log);
    }
  fl_log (&log, FL_LOG_INFO, "start", FL_I ("line", LINES));
  fl_log (&log, FL_LOG_ERR, "failed", FL_I ("line", LINES + 1));
  read_output (reader, text);
  restore_output (reader, saved);
  g_auto (GStrv) lines = g_strsplit (text->str, "\n", -1);
  guint count = g_strv_length (lines);
  assert_string_equal (lines[count - 1], "");
  for (guint i = 0; i + 1 < count; i++)
    {
      int64_t dropped = find_number (lines[i], "lines_dropped=");
      assert_true (g_str_has_prefix (lines[i], "<"));
      assert_int_equal (find_number (lines[i], " line="), next + dropped);
      next += dropped + 1;
    }
  assert_int_equal (next, LINES + 2); /* the error was written at once */
  assert_true (count < LINES);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_explanations), cmocka_unit_test (test_log_rate_limit),
          cmocka_unit_test (test_buffered_lines_are_whole_and_in_order) };

  return cmocka_run_group_tests_name ("logs", tests, NULL, NULL);
}
