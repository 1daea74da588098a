#include "cli/explain.h"

#include <inttypes.h>
#include <stdbool.h>
#include <string.h>

/* A log line that names the job. */
struct log_line
{
  int64_t time_ms;
  char *text;   /* from the event name on */
  char *source; /* instance and program that wrote the line */
};

struct fl_explanation
{
  char *id;
  GArray *lines; /* struct log_line */
  /* summary of the lines: */
  GHashTable *wait_ms_by_reason;    /* char * -> milliseconds */
  GHashTable *rejections_by_reason; /* char * -> count */
  int accepted_submissions;         /* POST requests with status 2xx */
  int failed_submissions;           /* POST requests with status 5xx */
  int failed_runs;                  /* runs that ended with cause "failed" */
  int lost_runs;                    /* runs treated as lost */
  int crashes;                      /* crashes of targets that counted against a task */
  char *crashing_task;              /* the task for which the job was given up; NULL for none */
  int rejected_starts;              /* starts that targets rejected */
  int orders_without_reply;
  int owner_count; /* owners of the pool that read the job */
  char *final_state;
  int64_t age_ms; /* from the job's acceptance to its end */
};

/* --- reading log lines --- */

/* @return the unquoted value of @key in @line, newly allocated; NULL if there is none. */
static char *
get_value (const char *line, const char *key)
{
  g_autofree char *pattern = g_strdup_printf (" %s=", key);
  const char *found = strstr (line, pattern);
  const char *start;
  GString *value;

  if (found == NULL)
    return NULL;
  start = found + strlen (pattern);
  if (*start != '"')
    return g_strndup (start, strcspn (start, " \n"));
  value = g_string_new (NULL);
  for (const char *c = start + 1; *c != '\0' && *c != '"'; c++)
    {
      if (*c == '\\' && c[1] != '\0')
        c++;
      g_string_append_c (value, *c);
    }
  return g_string_free (value, FALSE);
}

static int64_t
get_number (const char *line, const char *key)
{
  g_autofree char *text = get_value (line, key);

  return text != NULL ? g_ascii_strtoll (text, NULL, 10) : 0;
}

/* @return whether @line names the job, one of its steps or one of its tasks. */
static bool
line_names_job (const char *line, const char *id)
{
  static const char *const keys[] = { "job", "step", "task", "name" };

  for (size_t i = 0; i < G_N_ELEMENTS (keys); i++)
    {
      g_autofree char *value = get_value (line, keys[i]);
      size_t len = strlen (id);
      if (value != NULL && strncmp (value, id, len) == 0
          && (value[len] == '\0' || value[len] == '.'))
        return true;
    }
  return false;
}

/* Takes ownership of @key. */
static void
add_to_sum (GHashTable *sums, char *key, int64_t amount)
{
  gpointer sum = g_hash_table_lookup (sums, key);

  g_hash_table_replace (sums, key, GINT_TO_POINTER (GPOINTER_TO_INT (sum) + (int)amount));
}

static void
count_response (struct fl_explanation *explanation, const char *line)
{
  g_autofree char *method = get_value (line, "method");
  int64_t status = get_number (line, "status");

  if (method == NULL || strcmp (method, "POST") != 0)
    return;
  explanation->accepted_submissions += status / 100 == 2 ? 1 : 0;
  explanation->failed_submissions += status / 100 == 5 ? 1 : 0;
}

static void
count_end (struct fl_explanation *explanation, const char *line)
{
  g_autofree char *cause = get_value (line, "cause");

  explanation->failed_runs += cause != NULL && strcmp (cause, "failed") == 0 ? 1 : 0;
}

static void
count_order (struct fl_explanation *explanation, const char *line)
{
  g_autofree char *result = get_value (line, "result");

  explanation->orders_without_reply += result != NULL && strcmp (result, "unanswered") == 0 ? 1 : 0;
}

/* Lines of earlier versions tell one reason and no parts. */
static void
count_wait (struct fl_explanation *explanation, const char *line)
{
  static const char *const reasons[]
      = { "team_limit", "room", "advice", "record", "link", "settling", "orders" };
  char *longest = get_value (line, "for");
  int64_t parts_ms = 0;

  for (size_t i = 0; i < G_N_ELEMENTS (reasons); i++)
    {
      g_autofree char *key = g_strconcat (reasons[i], "_ms", NULL);
      int64_t part_ms = get_number (line, key);
      if (part_ms > 0)
        add_to_sum (explanation->wait_ms_by_reason, g_strdup (reasons[i]), part_ms);
      parts_ms += part_ms;
    }
  if (longest != NULL && parts_ms == 0)
    add_to_sum (explanation->wait_ms_by_reason, g_steal_pointer (&longest),
                get_number (line, "ms"));
  g_free (longest);
}

static void
count_rejection (struct fl_explanation *explanation, const char *line)
{
  char *reason = get_value (line, "reason");

  if (reason != NULL)
    add_to_sum (explanation->rejections_by_reason, reason, 1);
}

static void
record_job_end (struct fl_explanation *explanation, const char *line)
{
  g_free (explanation->final_state);
  explanation->final_state = get_value (line, "state");
  explanation->age_ms = get_number (line, "age_ms");
}

static void
record_crashing_task (struct fl_explanation *explanation, const char *line)
{
  g_free (explanation->crashing_task);
  explanation->crashing_task = get_value (line, "task");
}

static void
update_summary (struct fl_explanation *explanation, const char *event, const char *line)
{
  if (strcmp (event, "answered") == 0)
    count_response (explanation, line);
  else if (strcmp (event, "turned_away") == 0)
    count_rejection (explanation, line);
  else if (strcmp (event, "step_waited") == 0)
    count_wait (explanation, line);
  else if (strcmp (event, "end") == 0)
    count_end (explanation, line);
  else if (strcmp (event, "order_result") == 0)
    count_order (explanation, line);
  else if (strcmp (event, "run_lost") == 0)
    explanation->lost_runs++;
  else if (strcmp (event, "crash_counted") == 0)
    explanation->crashes++;
  else if (strcmp (event, "task_crashes_targets") == 0)
    record_crashing_task (explanation, line);
  else if (strcmp (event, "start_refused") == 0)
    explanation->rejected_starts++;
  else if (strcmp (event, "job_known") == 0)
    explanation->owner_count++;
  else if (strcmp (event, "job_ended") == 0)
    record_job_end (explanation, line);
}

void
fl_explanation_add_line (struct fl_explanation *explanation, const char *text)
{
  const char *start = strstr (text, "time=");
  g_autofree char *line = start != NULL ? g_strchomp (g_strconcat (" ", start, NULL)) : NULL;
  g_autofree char *event = line != NULL ? get_value (line, "event") : NULL;
  g_autofree char *instance = NULL;
  g_autofree char *program = NULL;

  if (event == NULL || !line_names_job (line, explanation->id))
    return;
  instance = get_value (line, "instance");
  program = get_value (line, "program");
  struct log_line entry = {
    .time_ms = get_number (line, "time"),
    .text = g_strdup (strstr (line, " event=") + strlen (" event=")),
    .source
    = g_strdup_printf ("%s %s", instance != NULL ? instance : "-", program != NULL ? program : "-"),
  };
  g_array_append_val (explanation->lines, entry);
  update_summary (explanation, event, line);
}

/* --- writing the explanation --- */

static gint
compare_lines (const void *a, const void *b)
{
  const struct log_line *x = a;
  const struct log_line *y = b;

  return x->time_ms < y->time_ms ? -1 : x->time_ms > y->time_ms;
}

static gint
compare_names (const void *a, const void *b)
{
  return strcmp (a, b);
}

static void
write_sums (GHashTable *sums, const char *unit, GString *out)
{
  GList *keys = g_list_sort (g_hash_table_get_keys (sums), compare_names);
  const char *separator = " ";

  for (GList *key = keys; key != NULL; key = key->next)
    {
      int sum = GPOINTER_TO_INT (g_hash_table_lookup (sums, key->data));
      g_string_append_printf (out, "%s%s %d%s", separator, (const char *)key->data, sum, unit);
      separator = ", ";
    }
  g_list_free (keys);
}

static void
write_admission (const struct fl_explanation *explanation, GString *out)
{
  if (g_hash_table_size (explanation->rejections_by_reason) > 0)
    {
      g_string_append (out, "Rejected:");
      write_sums (explanation->rejections_by_reason, " time(s)", out);
      g_string_append (out, ".\n");
    }
  if (explanation->accepted_submissions > 0)
    g_string_append_printf (out, "Accepted (%d time(s)).\n", explanation->accepted_submissions);
  else
    g_string_append (out, "No front host logged that the job was accepted.\n");
  if (explanation->failed_submissions > 0)
    g_string_append_printf (
        out, "Not confirmed by the store before the client's deadline: %d time(s).\n",
        explanation->failed_submissions);
}

static void
write_execution (const struct fl_explanation *explanation, GString *out)
{
  if (explanation->owner_count == 0)
    g_string_append (out, "No owner of the pool logged that it read the job.\n");
  if (explanation->owner_count > 1)
    g_string_append_printf (out, "The owner of the pool changed: %d owners read the job.\n",
                            explanation->owner_count);
  if (g_hash_table_size (explanation->wait_ms_by_reason) > 0)
    {
      g_string_append (out, "Steps of the job waited for:");
      write_sums (explanation->wait_ms_by_reason, " ms", out);
      g_string_append (out, ".\n");
    }
  if (explanation->orders_without_reply > 0)
    g_string_append_printf (out, "Orders without a reply: %d.\n",
                            explanation->orders_without_reply);
  if (explanation->rejected_starts > 0)
    g_string_append_printf (out, "Starts rejected by targets: %d.\n", explanation->rejected_starts);
  if (explanation->lost_runs > 0)
    g_string_append_printf (out, "Runs lost with their target: %d.\n", explanation->lost_runs);
  if (explanation->crashes > 0)
    g_string_append_printf (out, "Crashes of targets that counted against its tasks: %d.\n",
                            explanation->crashes);
  if (explanation->crashing_task != NULL)
    g_string_append_printf (out, "Given up: task %s crashes the targets that start it.\n",
                            explanation->crashing_task);
  if (explanation->failed_runs > 0)
    g_string_append_printf (out, "Runs that failed: %d.\n", explanation->failed_runs);
}

void
fl_explanation_write (struct fl_explanation *explanation, GString *out)
{
  g_array_sort (explanation->lines, compare_lines);
  for (guint i = 0; i < explanation->lines->len; i++)
    {
      const struct log_line *line = &g_array_index (explanation->lines, struct log_line, i);
      int64_t first_ms = g_array_index (explanation->lines, struct log_line, 0).time_ms;
      g_string_append_printf (out, "%8" PRId64 " ms  %-32s %s\n", line->time_ms - first_ms,
                              line->source, line->text);
    }
  if (explanation->lines->len == 0)
    {
      g_string_append_printf (out, "No line names job %s.\n", explanation->id);
      return;
    }
  g_string_append_c (out, '\n');
  write_admission (explanation, out);
  write_execution (explanation, out);
  if (explanation->final_state != NULL)
    g_string_append_printf (out, "Ended as %s, %" PRId64 " ms after submission.\n",
                            explanation->final_state, explanation->age_ms);
  else
    g_string_append (out, "No line reports its end.\n");
}

/* --- creation --- */

static void
line_clear (void *data)
{
  struct log_line *line = data;

  g_free (line->text);
  g_free (line->source);
}

struct fl_explanation *
fl_explanation_new (const char *id)
{
  struct fl_explanation *explanation = g_new0 (struct fl_explanation, 1);

  explanation->id = g_strdup (id);
  explanation->lines = g_array_new (FALSE, TRUE, sizeof (struct log_line));
  g_array_set_clear_func (explanation->lines, line_clear);
  explanation->wait_ms_by_reason = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  explanation->rejections_by_reason = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return explanation;
}

void
fl_explanation_free (struct fl_explanation *explanation)
{
  g_free (explanation->id);
  g_free (explanation->final_state);
  g_free (explanation->crashing_task);
  g_array_unref (explanation->lines);
  g_hash_table_unref (explanation->wait_ms_by_reason);
  g_hash_table_unref (explanation->rejections_by_reason);
  g_free (explanation);
}
