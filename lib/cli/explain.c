#include "cli/explain.h"

#include <inttypes.h>
#include <stdbool.h>
#include <string.h>

/* A line that names the job. */
struct line
{
  int64_t time_ms;
  char *text;  /* from the event on */
  char *where; /* instance and program */
};

struct fl_explanation
{
  char *id;
  GArray *lines; /* struct line */
  /* what the lines add up to: */
  GHashTable *waits; /* reason -> milliseconds */
  GHashTable *turned_away;
  int accepted;       /* POST answered 2xx */
  int unanswered;     /* POST answered 5xx */
  int failed;         /* runs that ended as failed */
  int lost;           /* runs given up */
  int refused_starts; /* by targets */
  int unanswered_orders;
  int owners; /* hosts that read the job as owner */
  char *state;
  int64_t age_ms;
};

/* --- reading --- */

/* The value of @key in @line, unquoted; NULL when there is none. */
static char *
value_of (const char *line, const char *key)
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
number_of (const char *line, const char *key)
{
  g_autofree char *text = value_of (line, key);

  return text != NULL ? g_ascii_strtoll (text, NULL, 10) : 0;
}

/* Whether @line names the job, one of its steps or one of its tasks. */
static bool
names_job (const char *line, const char *id)
{
  static const char *const keys[] = { "job", "step", "task", "name" };

  for (size_t i = 0; i < G_N_ELEMENTS (keys); i++)
    {
      g_autofree char *value = value_of (line, keys[i]);
      size_t len = strlen (id);
      if (value != NULL && strncmp (value, id, len) == 0
          && (value[len] == '\0' || value[len] == '.'))
        return true;
    }
  return false;
}

static void
add_to (GHashTable *sums, char *key, int64_t amount)
{
  gpointer sum = g_hash_table_lookup (sums, key);

  g_hash_table_replace (sums, key, GINT_TO_POINTER (GPOINTER_TO_INT (sum) + (int)amount));
}

static void
count_answer (struct fl_explanation *explanation, const char *line)
{
  g_autofree char *method = value_of (line, "method");
  int64_t status = number_of (line, "status");

  if (method == NULL || strcmp (method, "POST") != 0)
    return;
  explanation->accepted += status / 100 == 2 ? 1 : 0;
  explanation->unanswered += status / 100 == 5 ? 1 : 0;
}

static void
count_end (struct fl_explanation *explanation, const char *line)
{
  g_autofree char *cause = value_of (line, "cause");

  explanation->failed += cause != NULL && strcmp (cause, "failed") == 0 ? 1 : 0;
}

static void
count_order (struct fl_explanation *explanation, const char *line)
{
  g_autofree char *result = value_of (line, "result");

  explanation->unanswered_orders += result != NULL && strcmp (result, "unanswered") == 0 ? 1 : 0;
}

static void
count_wait (struct fl_explanation *explanation, const char *line)
{
  char *reason = value_of (line, "for");

  if (reason != NULL)
    add_to (explanation->waits, reason, number_of (line, "ms"));
}

static void
count_turned_away (struct fl_explanation *explanation, const char *line)
{
  char *reason = value_of (line, "reason");

  if (reason != NULL)
    add_to (explanation->turned_away, reason, 1);
}

static void
take_end (struct fl_explanation *explanation, const char *line)
{
  g_free (explanation->state);
  explanation->state = value_of (line, "state");
  explanation->age_ms = number_of (line, "age_ms");
}

static void
add_up (struct fl_explanation *explanation, const char *event, const char *line)
{
  if (strcmp (event, "answered") == 0)
    count_answer (explanation, line);
  else if (strcmp (event, "turned_away") == 0)
    count_turned_away (explanation, line);
  else if (strcmp (event, "step_waited") == 0)
    count_wait (explanation, line);
  else if (strcmp (event, "end") == 0)
    count_end (explanation, line);
  else if (strcmp (event, "order_result") == 0)
    count_order (explanation, line);
  else if (strcmp (event, "run_lost") == 0)
    explanation->lost++;
  else if (strcmp (event, "start_refused") == 0)
    explanation->refused_starts++;
  else if (strcmp (event, "job_known") == 0)
    explanation->owners++;
  else if (strcmp (event, "job_ended") == 0)
    take_end (explanation, line);
}

void
fl_explanation_read (struct fl_explanation *explanation, const char *text)
{
  const char *start = strstr (text, "time=");
  g_autofree char *line = start != NULL ? g_strchomp (g_strconcat (" ", start, NULL)) : NULL;
  g_autofree char *event = line != NULL ? value_of (line, "event") : NULL;
  g_autofree char *instance = NULL;
  g_autofree char *program = NULL;

  if (event == NULL || !names_job (line, explanation->id))
    return;
  instance = value_of (line, "instance");
  program = value_of (line, "program");
  struct line entry = {
    .time_ms = number_of (line, "time"),
    .text = g_strdup (strstr (line, " event=") + strlen (" event=")),
    .where
    = g_strdup_printf ("%s %s", instance != NULL ? instance : "-", program != NULL ? program : "-"),
  };
  g_array_append_val (explanation->lines, entry);
  add_up (explanation, event, line);
}

/* --- writing --- */

static gint
compare_lines (const void *a, const void *b)
{
  const struct line *x = a;
  const struct line *y = b;

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
write_way_in (const struct fl_explanation *explanation, GString *out)
{
  if (g_hash_table_size (explanation->turned_away) > 0)
    {
      g_string_append (out, "Turned away:");
      write_sums (explanation->turned_away, " time(s)", out);
      g_string_append (out, ".\n");
    }
  if (explanation->accepted > 0)
    g_string_append_printf (out, "Accepted (%d time(s) answered so).\n", explanation->accepted);
  else
    g_string_append (out, "No front host logged that it was accepted.\n");
  if (explanation->unanswered > 0)
    g_string_append_printf (out, "Not settled with the store in the client's time: %d time(s).\n",
                            explanation->unanswered);
}

static void
write_way_through (const struct fl_explanation *explanation, GString *out)
{
  if (explanation->owners == 0)
    g_string_append (out, "No owner of the pool logged that it knew the job.\n");
  if (explanation->owners > 1)
    g_string_append_printf (out, "The pool changed hands: %d owners read it.\n",
                            explanation->owners);
  if (g_hash_table_size (explanation->waits) > 0)
    {
      g_string_append (out, "Its steps waited for:");
      write_sums (explanation->waits, " ms", out);
      g_string_append (out, ".\n");
    }
  if (explanation->unanswered_orders > 0)
    g_string_append_printf (out, "Orders without an answer: %d.\n", explanation->unanswered_orders);
  if (explanation->refused_starts > 0)
    g_string_append_printf (out, "Starts that targets refused: %d.\n", explanation->refused_starts);
  if (explanation->lost > 0)
    g_string_append_printf (out, "Runs given up since their target was lost: %d.\n",
                            explanation->lost);
  if (explanation->failed > 0)
    g_string_append_printf (out, "Runs that failed: %d.\n", explanation->failed);
}

void
fl_explanation_write (struct fl_explanation *explanation, GString *out)
{
  g_array_sort (explanation->lines, compare_lines);
  for (guint i = 0; i < explanation->lines->len; i++)
    {
      const struct line *line = &g_array_index (explanation->lines, struct line, i);
      int64_t first_ms = g_array_index (explanation->lines, struct line, 0).time_ms;
      g_string_append_printf (out, "%8" PRId64 " ms  %-32s %s\n", line->time_ms - first_ms,
                              line->where, line->text);
    }
  if (explanation->lines->len == 0)
    {
      g_string_append_printf (out, "No line names job %s.\n", explanation->id);
      return;
    }
  g_string_append_c (out, '\n');
  write_way_in (explanation, out);
  write_way_through (explanation, out);
  if (explanation->state != NULL)
    g_string_append_printf (out, "Ended as %s, %" PRId64 " ms after it was handed in.\n",
                            explanation->state, explanation->age_ms);
  else
    g_string_append (out, "No line tells of its end.\n");
}

/* --- creation --- */

static void
line_clear (void *data)
{
  struct line *line = data;

  g_free (line->text);
  g_free (line->where);
}

struct fl_explanation *
fl_explanation_new (const char *id)
{
  struct fl_explanation *explanation = g_new0 (struct fl_explanation, 1);

  explanation->id = g_strdup (id);
  explanation->lines = g_array_new (FALSE, TRUE, sizeof (struct line));
  g_array_set_clear_func (explanation->lines, line_clear);
  explanation->waits = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  explanation->turned_away = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return explanation;
}

void
fl_explanation_free (struct fl_explanation *explanation)
{
  g_free (explanation->id);
  g_free (explanation->state);
  g_array_unref (explanation->lines);
  g_hash_table_unref (explanation->waits);
  g_hash_table_unref (explanation->turned_away);
  g_free (explanation);
}
