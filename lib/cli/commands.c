#include "cli/commands.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <argtable2.h>
#include <glib.h>

#include "cli/client.h"
#include "cli/explain.h"
#include "cli/table.h"
#include "common/schema.h"

#define TIMEOUT_MS 10000
/* Limit of command words and operands, sufficient for the log files of a large cell. */
#define WORDS_MAX 1000
#define DEFAULT_URL "http://127.0.0.1:8080"

/* The parsed command line. */
struct arguments
{
  const char *url;
  const char *key;
  const char *queue;
  const char *team;
  bool json;
  bool wait;
  int operand_count;
  const char *const *operands; /* words after the command's name */
};

struct command
{
  const char *name; /* "job submit" */
  const char *operands;
  const char *help;
  int operand_count_min;
  bool accepts_more_operands;
  int (*run) (const struct arguments *arguments);
};

/* --- HTTP calls --- */

static int
report_failure (const struct fl_client_reply *reply)
{
  const char *text = json_string_value (json_object_get (reply->body, "error"));

  if (reply->status == 0)
    {
      fprintf (stderr, "flamingoctl: %s: %s\n", reply->error.peer, reply->error.text);
      return FL_CTL_UNREACHABLE;
    }
  fprintf (stderr, "flamingoctl: HTTP status %d%s%s\n", reply->status, text != NULL ? ": " : "",
           text != NULL ? text : "");
  return FL_CTL_REJECTED;
}

/* Calls @path and prints member @member of the response; prints the whole response with --json
 * or without @member. */
static int
call_and_print (const struct arguments *arguments,
                const char *method,
                const char *path,
                const char *body,
                const char *member)
{
  struct fl_client_options options
      = { .url = arguments->url, .key = arguments->key, .timeout_ms = TIMEOUT_MS };
  struct fl_client_reply reply;
  int code = FL_CTL_OK;

  fl_client_call (&options, method, path, body, &reply);
  if (reply.status != 200)
    code = report_failure (&reply);
  else if (arguments->json || member == NULL)
    {
      struct fl_str text = fl_json_encode (reply.body);
      puts (text.data);
      fl_str_clear (&text);
    }
  else
    {
      const json_t *value = json_object_get (reply.body, member);
      if (json_is_string (value))
        puts (json_string_value (value));
      else
        printf ("%" JSON_INTEGER_FORMAT "\n", json_integer_value (value));
    }
  fl_client_reply_clear (&reply);
  return code;
}

static char *
job_path (const struct arguments *arguments, const char *kind)
{
  return g_strdup_printf ("/v1/%s/%s?queue=%s%s", kind, arguments->operands[0],
                          arguments->queue != NULL ? arguments->queue : "",
                          arguments->wait ? "&wait=1" : "");
}

/* --- commands --- */

static int
submit_from_file (const struct arguments *arguments, const char *method, const char *kind)
{
  g_autofree char *path = job_path (arguments, kind);
  g_autofree char *body = NULL;
  g_autoptr (GError) error = NULL;

  if (!g_file_get_contents (arguments->operands[1], &body, NULL, &error))
    {
      fprintf (stderr, "flamingoctl: %s\n", error->message);
      return FL_CTL_USAGE;
    }
  return call_and_print (arguments, method, path, body,
                         strcmp (kind, "requests") == 0 ? "state" : NULL);
}

static int
submit_job (const struct arguments *arguments)
{
  return submit_from_file (arguments, "PUT", "jobs");
}

static int
submit_and_wait (const struct arguments *arguments)
{
  return submit_from_file (arguments, "POST", "requests");
}

static int
show_job (const struct arguments *arguments)
{
  g_autofree char *path = job_path (arguments, "jobs");

  return call_and_print (arguments, "GET", path, NULL, "state");
}

static int
cancel_job (const struct arguments *arguments)
{
  g_autofree char *path = job_path (arguments, "jobs");

  return call_and_print (arguments, "DELETE", path, NULL, NULL);
}

static int
show_pending (const struct arguments *arguments)
{
  g_autofree char *path = g_strdup_printf ("/v1/queues/%s", arguments->operands[0]);

  return call_and_print (arguments, "GET", path, NULL, "pending");
}

/* @return the objects of a state dump that have the member @member. */
static json_t *
select_objects (const json_t *rows, const char *member)
{
  json_t *selected = json_array ();
  const json_t *row;
  size_t i;

  json_array_foreach ((json_t *)rows, i, row)
  {
    if (json_object_get (row, member) != NULL)
      json_array_append (selected, (json_t *)row);
  }
  return selected;
}

static json_t *
read_dump (const struct fl_str *text)
{
  g_auto (GStrv) lines = g_strsplit (fl_str_text (text), "\n", 0);
  json_t *rows = json_array ();

  for (int i = 0; lines[i] != NULL; i++)
    if (lines[i][0] != '\0')
      json_array_append_new (rows, fl_json_parse (lines[i], strlen (lines[i]), NULL));
  return rows;
}

static int
print_dump (const struct arguments *arguments, const char *member, const struct fl_column *columns)
{
  struct fl_client_options options = { .url = arguments->url, .timeout_ms = TIMEOUT_MS };
  struct fl_client_reply reply;

  fl_client_call (&options, "GET", "/dump", NULL, &reply);
  if (reply.status != 200)
    {
      int code = report_failure (&reply);
      fl_client_reply_clear (&reply);
      return code;
    }
  json_t *rows = read_dump (&reply.text);
  json_t *selected = select_objects (rows, member);
  if (arguments->json)
    {
      struct fl_str text = fl_json_encode (selected);
      puts (text.data);
      fl_str_clear (&text);
    }
  else
    fl_table_print (stdout, selected, columns);
  json_decref (selected);
  json_decref (rows);
  fl_client_reply_clear (&reply);
  return FL_CTL_OK;
}

static int
list_targets (const struct arguments *arguments)
{
  static const struct fl_column columns[] = { { "TARGET", "target" },
                                              { "REGISTERED", "registered" },
                                              { "DRAINING", "draining" },
                                              { "SILENT", "silent" },
                                              { "RUNS", "runs" },
                                              { "CPU USED", "cpu_used" },
                                              { "CPU", "cpu" },
                                              { "SPEED %", "speed_percent" },
                                              { "FAIL %", "fail_percent" },
                                              { NULL, NULL } };

  return print_dump (arguments, "target", columns);
}

static int
list_domains (const struct arguments *arguments)
{
  static const struct fl_column columns[]
      = { { "DOMAIN", "domain" }, { "EVACUATED", "evacuated" }, { "FOR MS", "evacuated_ms" },
          { "RUNS", "runs" },     { "TARGETS", "targets" },     { "COLD", "cold" },
          { NULL, NULL } };

  return print_dump (arguments, "domain", columns);
}

static int
list_jobs (const struct arguments *arguments)
{
  static const struct fl_column columns[] = { { "JOB", "job" },     { "QUEUE", "queue" },
                                              { "STATE", "state" }, { "OPEN STEPS", "open_steps" },
                                              { "RUNS", "runs" },   { NULL, NULL } };

  return print_dump (arguments, "job", columns);
}

static int
list_advisors (const struct arguments *arguments)
{
  static const struct fl_column columns[]
      = { { "HOST", "advisor" },          { "STATE", "state" },
          { "BACKOFF MS", "backoff_ms" }, { "UNANSWERED", "unanswered" },
          { "OVERDUE", "overdue" },       { "DELAY MS", "delay_ms" },
          { "SLACK MS", "slack_ms" },     { NULL, NULL } };

  return print_dump (arguments, "advisor", columns);
}

static int
list_interference (const struct arguments *arguments)
{
  static const struct fl_column columns[]
      = { { "QUEUE", "interference_queue" },  { "IMAGE", "image" },
          { "BESIDE QUEUE", "beside_queue" }, { "BESIDE IMAGE", "beside_image" },
          { "SLOWER %", "slowdown_percent" }, { "TARGETS", "targets" },
          { "SAMPLES", "samples" },           { NULL, NULL } };

  return print_dump (arguments, "interference_queue", columns);
}

static int
plan_job (const struct arguments *arguments)
{
  struct fl_client_options options = { .url = arguments->url, .timeout_ms = TIMEOUT_MS };
  struct fl_client_reply reply;
  g_autofree char *body = NULL;
  g_autoptr (GError) error = NULL;
  int code = FL_CTL_OK;

  if (!g_file_get_contents (arguments->operands[0], &body, NULL, &error))
    {
      fprintf (stderr, "flamingoctl: %s\n", error->message);
      return FL_CTL_USAGE;
    }
  g_autofree char *path = g_strdup_printf (
      "/plan?queue=%s%s%s", arguments->queue != NULL ? arguments->queue : "",
      arguments->team != NULL ? "&team=" : "", arguments->team != NULL ? arguments->team : "");
  fl_client_call (&options, "POST", path, body, &reply);
  if (reply.status != 200)
    code = report_failure (&reply);
  else
    fputs (fl_str_text (&reply.text), stdout);
  fl_client_reply_clear (&reply);
  return code;
}

static bool
read_log (struct fl_explanation *explanation, const char *path)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (GIOChannel) file = g_io_channel_new_file (path, "r", &error);
  char *line = NULL;

  if (file == NULL)
    {
      fprintf (stderr, "flamingoctl: %s: %s\n", path, error->message);
      return false;
    }
  /* Logs may contain bytes that are not valid UTF-8. */
  g_io_channel_set_encoding (file, NULL, NULL);
  while (g_io_channel_read_line (file, &line, NULL, NULL, NULL) == G_IO_STATUS_NORMAL)
    {
      fl_explanation_add_line (explanation, line);
      g_free (line);
    }
  return true;
}

static int
explain_job (const struct arguments *arguments)
{
  struct fl_explanation *explanation = fl_explanation_new (arguments->operands[0]);
  GString *text = g_string_new (NULL);
  bool ok = true;

  for (int i = 1; ok && i < arguments->operand_count; i++)
    ok = read_log (explanation, arguments->operands[i]);
  if (ok)
    {
      fl_explanation_write (explanation, text);
      fputs (text->str, stdout);
    }
  g_string_free (text, TRUE);
  fl_explanation_free (explanation);
  return ok ? FL_CTL_OK : FL_CTL_USAGE;
}

static const struct command commands[] = {
  { "job submit", "ID FILE", "submit a job; FILE contains its JSON", 2, false, submit_job },
  { "job show", "ID", "print its state; with --wait, once it has ended", 1, false, show_job },
  { "job cancel", "ID", "cancel it", 1, false, cancel_job },
  { "request", "ID FILE", "submit a job and wait until it ends", 2, false, submit_and_wait },
  { "queue pending", "QUEUE", "print the number of pending jobs", 1, false, show_pending },
  { "targets", "", "list targets as seen by the pool's owner (--url: its metrics address)", 0,
    false, list_targets },
  { "domains", "",
    "list failure domains, and those evacuated, as seen by the pool's owner (--url: its metrics "
    "address)",
    0, false, list_domains },
  { "jobs", "", "list open jobs as seen by the pool's owner (--url: its metrics address)", 0, false,
    list_jobs },
  { "advisors", "",
    "list the hosts that send advice queries, as seen by the pool's owner (--url: its metrics "
    "address)",
    0, false, list_advisors },
  { "interference", "",
    "list the tasks that slow each other down, as seen by the pool's owner (--url: its metrics "
    "address)",
    0, false, list_interference },
  { "plan", "FILE",
    "explain where the job in FILE would go now, without sending it (--url: the metrics address of "
    "the pool's owner; --queue, --team: of the job)",
    1, false, plan_job },
  { "explain", "ID LOG..", "explain what happened to a job, from the log files of all hosts", 2,
    true, explain_job },
};

/* --- arguments --- */

static const struct command *
find_command (const char *const *words, int count, int *name_word_count)
{
  for (size_t i = 0; i < G_N_ELEMENTS (commands); i++)
    {
      g_auto (GStrv) name_words = g_strsplit (commands[i].name, " ", 0);
      int word_count = (int)g_strv_length (name_words);
      bool matches = count >= word_count;
      for (int j = 0; matches && j < word_count; j++)
        matches = strcmp (name_words[j], words[j]) == 0;
      *name_word_count = word_count;
      if (matches)
        return &commands[i];
    }
  return NULL;
}

static void
print_help (void **table)
{
  fputs ("flamingoctl - submits jobs and shows their state\n\nUsage: flamingoctl", stdout);
  arg_print_syntax (stdout, table, "\n\nCommands:\n");
  for (size_t i = 0; i < G_N_ELEMENTS (commands); i++)
    printf ("  %-14s %-8s  %s\n", commands[i].name, commands[i].operands, commands[i].help);
  puts ("\nOptions:");
  arg_print_glossary (stdout, table, "  %-22s %s\n");
  puts ("\nExit codes: 0 success, 1 request rejected, 2 invalid arguments, 3 host unreachable.");
}

static int
run_command (const struct arguments *base, const char *const *words, int count)
{
  struct arguments arguments = *base;
  int name_word_count;
  const struct command *command = find_command (words, count, &name_word_count);

  if (command == NULL || count - name_word_count < command->operand_count_min
      || (count - name_word_count > command->operand_count_min && !command->accepts_more_operands))
    {
      if (command == NULL)
        fputs ("flamingoctl: unknown command; try --help\n", stderr);
      else
        fprintf (stderr, "flamingoctl: usage: flamingoctl %s %s\n", command->name,
                 command->operands);
      return FL_CTL_USAGE;
    }
  arguments.operands = words + name_word_count;
  arguments.operand_count = count - name_word_count;
  return command->run (&arguments);
}

int
fl_commands_main (int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 ("h", "help", "print this help and exit");
  struct arg_str *url = arg_str0 (NULL, "url", "URL", "URL of a host; default: FLAMINGO_URL");
  struct arg_str *key = arg_str0 (NULL, "key", "KEY", "API key of a team; default: FLAMINGO_KEY");
  struct arg_str *queue = arg_str0 (NULL, "queue", "NAME", "queue of the job");
  struct arg_str *team = arg_str0 (NULL, "team", "NAME", "team of the job, for plan");
  struct arg_lit *json = arg_lit0 (NULL, "json", "print JSON");
  struct arg_lit *wait = arg_lit0 (NULL, "wait", "wait until the job has ended");
  struct arg_str *words = arg_strn (NULL, NULL, "COMMAND", 0, WORDS_MAX, NULL);
  struct arg_end *end = arg_end (5);
  void *table[] = { help, url, key, queue, team, json, wait, words, end };
  int errors = arg_parse (argc, argv, table);
  const char *env_url = g_getenv ("FLAMINGO_URL");
  int code;

  struct arguments arguments = {
    .url = url->count > 0 ? url->sval[0] : (env_url != NULL ? env_url : DEFAULT_URL),
    .key = key->count > 0 ? key->sval[0] : g_getenv ("FLAMINGO_KEY"),
    .queue = queue->count > 0 ? queue->sval[0] : NULL,
    .team = team->count > 0 ? team->sval[0] : NULL,
    .json = json->count > 0,
    .wait = wait->count > 0,
  };
  if (help->count > 0)
    {
      print_help (table);
      code = FL_CTL_OK;
    }
  else if (errors > 0)
    {
      arg_print_errors (stderr, end, "flamingoctl");
      code = FL_CTL_USAGE;
    }
  else
    code = run_command (&arguments, (const char *const *)words->sval, words->count);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return code;
}
