/* flamingoctl: the command line of operators and callers. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <argtable2.h>
#include <glib.h>
#include <sodium.h>

#include "cli/client.h"
#include "cli/daemon.h"
#include "cli/table.h"
#include "common/schema.h"
#include "key/key.h"

#define TIMEOUT_MS 40000
#define FOLLOW_INTERVAL_US 200000

/* What every subcommand has. */
struct common
{
  struct arg_lit *help;
  struct arg_str *url;
  struct arg_str *key;
  struct arg_lit *json;
  struct arg_end *end;
};

struct command
{
  const char *name; /* "job submit" */
  const char *summary;
  int (*run) (const struct command *command, int argc, char **argv);
  const char *path;                /* of the list commands */
  const struct fl_column *columns; /* of the list commands */
};

/* --- arguments --- */

static void
make_common (struct common *common)
{
  common->help = arg_lit0 ("h", "help", "print this text and exit");
  common->url = arg_str0 ("u", "url", "URL", "an entry host; default $FLAMINGO_URL");
  common->key = arg_str0 ("k", "key", "KEY", "default $FLAMINGO_KEY");
  common->json = arg_lit0 ("j", "json", "print the answer as JSON");
  common->end = arg_end (5);
}

/* @return -1 to go on, else the exit code to leave with. */
static int
parse (
    const struct command *command, const struct common *common, void **table, int argc, char **argv)
{
  int errors = arg_parse (argc, argv, table);

  if (common->help->count > 0)
    {
      printf ("flamingoctl %s - %s\n\nUsage: flamingoctl %s", command->name, command->summary,
              command->name);
      arg_print_syntax (stdout, table, "\n\nOptions:\n");
      arg_print_glossary (stdout, table, "  %-24s %s\n");
      puts ("\nExit codes: 0 done, 1 refused or failed, 2 bad arguments, 3 unreachable.");
      return FL_EXIT_OK;
    }
  if (errors == 0)
    return -1;
  arg_print_errors (stderr, common->end, "flamingoctl");
  fprintf (stderr, "Try 'flamingoctl %s --help'.\n", command->name);
  return FL_EXIT_USAGE;
}

static const char *
option_or_env (const struct arg_str *option, const char *name)
{
  return option->count > 0 ? option->sval[0] : getenv (name);
}

/* --- calls --- */

static int
call (const struct common *common,
      const char *method,
      const char *path,
      const char *body,
      struct fl_reply *reply)
{
  const char *url = option_or_env (common->url, "FLAMINGO_URL");
  struct fl_client_options options = { .url = url,
                                       .key = option_or_env (common->key, "FLAMINGO_KEY"),
                                       .timeout_ms = TIMEOUT_MS };

  memset (reply, 0, sizeof *reply);
  if (url == NULL)
    {
      fputs ("flamingoctl: name an entry host with --url or FLAMINGO_URL\n", stderr);
      return FL_EXIT_USAGE;
    }
  fl_client_call (&options, method, path, body, reply);
  if (reply->status == 0)
    {
      fprintf (stderr, "flamingoctl: %s: %s\n", reply->error.peer, reply->error.text);
      return FL_EXIT_UNREACHABLE;
    }
  return reply->status < 300 ? FL_EXIT_OK : FL_EXIT_FAILED;
}

static void
print_json (const json_t *json)
{
  char *text = json_dumps (json, JSON_INDENT (2) | JSON_SORT_KEYS | JSON_ENCODE_ANY);

  puts (text != NULL ? text : "null");
  free (text);
}

/* Prints an object as "name: value" lines. */
static void
print_fields (FILE *out, const json_t *json)
{
  const char *name;
  json_t *value;
  size_t i;
  json_t *line;

  json_object_foreach ((json_t *)json, name, value)
  {
    if (json_is_string (value))
      fprintf (out, "%s: %s\n", name, json_string_value (value));
    else if (json_is_array (value))
      json_array_foreach (value, i, line)
      {
        char *text = json_dumps (line, JSON_ENCODE_ANY | JSON_COMPACT);
        fprintf (out, "%s: %s\n", name, text);
        free (text);
      }
    else
      {
        char *text = json_dumps (value, JSON_ENCODE_ANY | JSON_COMPACT);
        fprintf (out, "%s: %s\n", name, text);
        free (text);
      }
  }
}

static int
call_and_print (const struct common *common,
                const char *method,
                const char *path,
                const char *body,
                const struct fl_column *columns)
{
  struct fl_reply reply;
  int code = call (common, method, path, body, &reply);

  if (reply.body == NULL)
    return code;
  if (common->json->count > 0)
    print_json (reply.body);
  else if (json_is_array (reply.body) && columns != NULL)
    fl_table_print (stdout, reply.body, columns);
  else if (json_is_array (reply.body))
    print_json (reply.body);
  else
    print_fields (code == FL_EXIT_OK ? stdout : stderr, reply.body);
  fl_reply_clear (&reply);
  return code;
}

/* Reads a file, "-" for standard input. @return NULL after a message. */
static char *
read_file (const char *path)
{
  g_autoptr (GError) error = NULL;
  char *text = NULL;

  if (g_file_get_contents (strcmp (path, "-") == 0 ? "/dev/stdin" : path, &text, NULL, &error))
    return text;
  fprintf (stderr, "flamingoctl: %s\n", error->message);
  return NULL;
}

/* --- lists --- */

static int
run_list (const struct command *command, int argc, char **argv)
{
  struct common c;

  make_common (&c);
  void *table[] = { c.help, c.url, c.key, c.json, c.end };
  int code = parse (command, &c, table, argc, argv);
  if (code < 0)
    code = call_and_print (&c, "GET", command->path, NULL, command->columns);
  arg_freetable (table, G_N_ELEMENTS (table));
  return code;
}

/* --- tickets --- */

static int
run_ticket_submit (const struct command *command, int argc, char **argv)
{
  struct common c;
  struct arg_int *wait = arg_int0 ("w", "wait-ms", "N", "wait for acceptance; default 6000");
  struct arg_file *file = arg_file1 (NULL, NULL, "FILE", "the ticket, '-' for standard input");

  make_common (&c);
  void *table[] = { c.help, c.url, c.key, c.json, wait, file, c.end };
  wait->ival[0] = 6000;
  int code = parse (command, &c, table, argc, argv);
  if (code < 0)
    {
      g_autofree char *body = read_file (file->filename[0]);
      g_autofree char *path = g_strdup_printf ("/v1/tickets?wait_ms=%d", wait->ival[0]);
      code = body == NULL ? FL_EXIT_USAGE : call_and_print (&c, "POST", path, body, NULL);
    }
  arg_freetable (table, G_N_ELEMENTS (table));
  return code;
}

static bool
is_accepted (const json_t *body)
{
  const char *state = json_string_value (json_object_get (body, "state"));

  return state != NULL && strcmp (state, "accepted") == 0;
}

static int
follow (const struct common *common, int number, int timeout_ms)
{
  g_autofree char *path = g_strdup_printf ("/v1/tickets/%d", number);
  int64_t end_us = g_get_monotonic_time () + (int64_t)timeout_ms * 1000;
  int code;

  do
    {
      struct fl_reply reply;
      code = call (common, "GET", path, NULL, &reply);
      bool accepted = is_accepted (reply.body);
      if (reply.body != NULL && (accepted || code != FL_EXIT_OK))
        print_fields (stdout, reply.body);
      fl_reply_clear (&reply);
      if (accepted || code != FL_EXIT_OK)
        return code;
      g_usleep (FOLLOW_INTERVAL_US);
    }
  while (g_get_monotonic_time () < end_us);
  printf ("number: %d\nstate: recorded\n", number);
  return FL_EXIT_FAILED;
}

static int
run_ticket_show (const struct command *command, int argc, char **argv)
{
  struct common c;
  struct arg_int *number = arg_int1 (NULL, NULL, "NUMBER", "of the ticket");
  struct arg_int *wait = arg_int0 ("w", "wait-ms", "N", "follow it until it is accepted");

  make_common (&c);
  void *table[] = { c.help, c.url, c.key, c.json, wait, number, c.end };
  int code = parse (command, &c, table, argc, argv);
  if (code < 0 && wait->count > 0)
    code = follow (&c, number->ival[0], wait->ival[0]);
  else if (code < 0)
    {
      g_autofree char *path = g_strdup_printf ("/v1/tickets/%d", number->ival[0]);
      code = call_and_print (&c, "GET", path, NULL, NULL);
    }
  arg_freetable (table, G_N_ELEMENTS (table));
  return code;
}

/* --- keys --- */

static int
next_number (const struct common *common, int64_t *number)
{
  struct fl_reply reply;
  int code = call (common, "GET", "/v1/status", NULL, &reply);

  *number = json_integer_value (json_object_get (reply.body, "config_head")) + 1;
  if (code == FL_EXIT_FAILED)
    print_fields (stderr, reply.body);
  fl_reply_clear (&reply);
  return code;
}

static int
submit_key (const struct common *common, const struct fl_key *key)
{
  int64_t number;
  int code = next_number (common, &number);

  if (code != FL_EXIT_OK)
    return code;
  json_t *ticket = json_pack ("{s:I,s:[o]}", "number", (json_int_t)number, "keys",
                              fl_schema_to_json (&fl_key_schema, key));
  struct fl_str body = fl_json_text (ticket);
  code = call_and_print (common, "POST", "/v1/tickets?wait_ms=6000", body.data, NULL);
  fl_str_clear (&body);
  json_decref (ticket);
  return code;
}

static int
run_key (const struct command *command, int argc, char **argv)
{
  struct common c;
  struct arg_str *team = arg_str0 ("t", "team", "TEAM", "whose key it is");
  struct arg_lit *operator= arg_lit0 (NULL, "operator", "an operator's key");
  struct arg_str *name = arg_str1 (NULL, NULL, "NAME", "of the key");
  bool withdraw = strcmp (command->name, "key withdraw") == 0;

  make_common (&c);
  void *table[] = { c.help, c.url, c.key, c.json, team, operator, name, c.end };
  int code = parse (command, &c, table, argc, argv);
  if (code < 0 && (team->count > 0) == (operator->count> 0))
    {
      fputs ("flamingoctl: give either --team or --operator\n", stderr);
      code = FL_EXIT_USAGE;
    }
  if (code < 0)
    {
      struct fl_key key = { .name = fl_name_of (name->sval[0]), .withdrawn = withdraw };
      struct fl_name text = fl_key_generate (&key.name);
      key.digest = fl_key_digest (text.data, text.len);
      key.role = operator->count> 0 ? FL_ROLE_OPERATOR : FL_ROLE_CALLER;
      if (team->count > 0)
        key.team = fl_name_of (team->sval[0]);
      code = submit_key (&c, &key);
      if (code == FL_EXIT_OK && !withdraw)
        printf ("key: %s\n", text.data);
    }
  arg_freetable (table, G_N_ELEMENTS (table));
  return code;
}

static int
run_key_digest (const struct command *command, int argc, char **argv)
{
  struct common c;
  struct arg_str *key = arg_str0 (NULL, NULL, "KEY", "to digest; without it a new key is made");

  make_common (&c);
  void *table[] = { c.help, c.url, c.key, c.json, key, c.end };
  int code = parse (command, &c, table, argc, argv);
  if (code < 0)
    {
      struct fl_name name = fl_name_of ("operator");
      struct fl_name text = key->count > 0 ? fl_name_of (key->sval[0]) : fl_key_generate (&name);
      printf ("key: %s\ndigest: %s\n", text.data, fl_key_digest (text.data, text.len).data);
      code = FL_EXIT_OK;
    }
  arg_freetable (table, G_N_ELEMENTS (table));
  return code;
}

/* --- work --- */

static int
run_request (const struct command *command, int argc, char **argv)
{
  struct common c;
  struct arg_lit *once = arg_lit0 (NULL, "once", "must not be repeated: runs at most once");
  struct arg_int *timeout = arg_int0 (NULL, "timeout-ms", "N", "deadline; default 5000");
  struct arg_str *payload = arg_str0 ("p", "payload", "TEXT", "handed to the target");
  struct arg_str *queue = arg_str1 (NULL, NULL, "QUEUE", "to send it through");
  struct arg_str *id = arg_str1 (NULL, NULL, "ID", "of the request");

  make_common (&c);
  void *table[] = { c.help, c.url, c.key, c.json, once, timeout, payload, queue, id, c.end };
  timeout->ival[0] = 5000;
  payload->sval[0] = "";
  int code = parse (command, &c, table, argc, argv);
  if (code < 0)
    {
      json_t *json = json_pack ("{s:s,s:s,s:b,s:i,s:s}", "id", id->sval[0], "queue", queue->sval[0],
                                "repeatable", once->count == 0, "timeout_ms", timeout->ival[0],
                                "payload", payload->sval[0]);
      struct fl_str body = fl_json_text (json);
      code = call_and_print (&c, "POST", "/v1/requests", body.data, NULL);
      fl_str_clear (&body);
      json_decref (json);
    }
  arg_freetable (table, G_N_ELEMENTS (table));
  return code;
}

static int
run_job_submit (const struct command *command, int argc, char **argv)
{
  struct common c;
  struct arg_file *file = arg_file1 (NULL, NULL, "FILE", "the job, '-' for standard input");

  make_common (&c);
  void *table[] = { c.help, c.url, c.key, c.json, file, c.end };
  int code = parse (command, &c, table, argc, argv);
  if (code < 0)
    {
      g_autofree char *body = read_file (file->filename[0]);
      code = body == NULL ? FL_EXIT_USAGE : call_and_print (&c, "POST", "/v1/jobs", body, NULL);
    }
  arg_freetable (table, G_N_ELEMENTS (table));
  return code;
}

static int
run_job (const struct command *command, int argc, char **argv)
{
  struct common c;
  struct arg_str *team = arg_str0 ("t", "team", "TEAM", "for operators: whose job it is");
  struct arg_str *id = arg_str1 (NULL, NULL, "ID", "of the job");
  const char *method = strcmp (command->name, "job cancel") == 0 ? "DELETE" : "GET";

  make_common (&c);
  void *table[] = { c.help, c.url, c.key, c.json, team, id, c.end };
  int code = parse (command, &c, table, argc, argv);
  if (code < 0)
    {
      g_autofree char *path
          = team->count > 0 ? g_strdup_printf ("/v1/jobs/%s?team=%s", id->sval[0], team->sval[0])
                            : g_strdup_printf ("/v1/jobs/%s", id->sval[0]);
      code = call_and_print (&c, method, path, NULL, NULL);
    }
  arg_freetable (table, G_N_ELEMENTS (table));
  return code;
}

/* --- status --- */

static const struct fl_column member_columns[] = { { "INSTANCE", "instance" },
                                                   { "ROLE", "role" },
                                                   { "DOMAIN", "domain" },
                                                   { "LIVE", "live" },
                                                   { "LEAVING", "leaving" },
                                                   { "CONFIG", "config_head" },
                                                   { "HEARD MS AGO", "heard_ms_ago" },
                                                   { NULL, NULL } };
static const struct fl_column domain_columns[]
    = { { "DOMAIN", "domain" },   { "OWNER", "owner" },           { "EPOCH", "epoch" },
        { "ACTING", "acting" },   { "FREE SLOTS", "free_slots" }, { "FREE CPU", "free_cpu_milli" },
        { "WAITING", "waiting" }, { "TARGETS", "targets_ready" }, { NULL, NULL } };

static int
run_status (const struct command *command, int argc, char **argv)
{
  struct common c;
  struct fl_reply reply;

  make_common (&c);
  void *table[] = { c.help, c.url, c.key, c.json, c.end };
  int code = parse (command, &c, table, argc, argv);
  if (code < 0)
    {
      code = call (&c, "GET", "/v1/status", NULL, &reply);
      if (reply.body != NULL && c.json->count > 0)
        print_json (reply.body);
      else if (code == FL_EXIT_OK)
        {
          printf (
              "host %s: configuration %" PRId64 ", in contact: %s, table answered %" PRId64
              " ms ago\n\n",
              json_string_value (json_object_get (reply.body, "instance")),
              (int64_t)json_integer_value (json_object_get (reply.body, "config_head")),
              json_is_true (json_object_get (reply.body, "in_contact")) ? "yes" : "NO",
              (int64_t)json_integer_value (json_object_get (reply.body, "table_answered_ms_ago")));
          fl_table_print (stdout, json_object_get (reply.body, "members"), member_columns);
          puts ("");
          fl_table_print (stdout, json_object_get (reply.body, "domains"), domain_columns);
        }
      else if (reply.body != NULL)
        print_fields (stderr, reply.body);
      fl_reply_clear (&reply);
    }
  arg_freetable (table, G_N_ELEMENTS (table));
  return code;
}

static int
run_dump (const struct command *command, int argc, char **argv)
{
  struct common c;
  struct arg_str *of
      = arg_str0 (NULL, "process", "URL", "a scheduler's HTTP address; default: all");

  make_common (&c);
  void *table[] = { c.help, c.url, c.key, c.json, of, c.end };
  int code = parse (command, &c, table, argc, argv);
  if (code < 0)
    {
      struct fl_reply reply;
      if (of->count > 0)
        {
          c.url->count = 1;
          c.url->sval[0] = of->sval[0];
        }
      code = call (&c, "GET", of->count > 0 ? "/dump" : "/v1/dumps", NULL, &reply);
      if (reply.body != NULL)
        print_json (reply.body);
      fl_reply_clear (&reply);
    }
  arg_freetable (table, G_N_ELEMENTS (table));
  return code;
}

/* --- commands --- */

static const struct fl_column team_columns[] = { { "TEAM", "name" },
                                                 { "SHARE", "share" },
                                                 { "LIMIT", "limit" },
                                                 { "TICKET", "ticket" },
                                                 { NULL, NULL } };
static const struct fl_column key_columns[]
    = { { "KEY", "name" },      { "TEAM", "team" },
        { "ROLE", "role" },     { "WITHDRAWN", "withdrawn" },
        { "TICKET", "ticket" }, { NULL, NULL } };
static const struct fl_column queue_columns[] = { { "QUEUE", "name" },        { "TEAM", "team" },
                                                  { "KIND", "kind" },         { "OPEN", "open" },
                                                  { "PRIORITY", "priority" }, { "LABEL", "label" },
                                                  { "TICKET", "ticket" },     { NULL, NULL } };
static const struct fl_column service_columns[]
    = { { "SERVICE", "name" },      { "TEAM", "team" },     { "REPLICAS", "replicas" },
        { "PRIORITY", "priority" }, { "TICKET", "ticket" }, { NULL, NULL } };
static const struct fl_column usage_columns[] = { { "DOMAIN", "domain" },
                                                  { "TEAM", "team" },
                                                  { "SHARE", "share" },
                                                  { "LIMIT", "limit" },
                                                  { "ALLOTMENT", "allotment" },
                                                  { "RUNNING", "running" },
                                                  { "UNCONFIRMED", "unconfirmed" },
                                                  { "WAITING", "waiting" },
                                                  { NULL, NULL } };
static const struct fl_column host_columns[]
    = { { "HOST", "name" },           { "DOMAIN", "domain" },
        { "RACK", "rack" },           { "STATE", "state" },
        { "LABEL", "label" },         { "SLOTS", "capacity.slots" },
        { "USED", "used.slots" },     { "CPU", "capacity.cpu_milli" },
        { "USED", "used.cpu_milli" }, { NULL, NULL } };
static const struct fl_column job_columns[]
    = { { "TEAM", "team" },   { "JOB", "job" },     { "DOMAIN", "domain" }, { "KIND", "kind" },
        { "STATE", "state" }, { "TASKS", "tasks" }, { "COUNTS", "counts" }, { NULL, NULL } };
static const struct fl_column lease_columns[] = { { "DOMAIN", "domain" },
                                                  { "STATE", "state" },
                                                  { "OWNER", "owner" },
                                                  { "EPOCH", "epoch" },
                                                  { "VOTERS", "voters" },
                                                  { "ACTING", "acting" },
                                                  { "LEFT MS", "authority_left_ms" },
                                                  { NULL, NULL } };

static const struct command commands[] = {
  { "status", "members, owners and configuration at a glance", run_status, NULL, NULL },
  { "ticket submit", "submit a ticket from a JSON file", run_ticket_submit, NULL, NULL },
  { "ticket show", "tell how far a ticket has come", run_ticket_show, NULL, NULL },
  { "key give", "make a key and record it by a ticket", run_key, NULL, NULL },
  { "key withdraw", "withdraw a key by a ticket", run_key, NULL, NULL },
  { "key digest", "print a key's digest, for the settings", run_key_digest, NULL, NULL },
  { "teams", "list teams", run_list, "/v1/teams", team_columns },
  { "keys", "list keys", run_list, "/v1/keys", key_columns },
  { "queues", "list queues", run_list, "/v1/queues", queue_columns },
  { "services", "list services", run_list, "/v1/services", service_columns },
  { "usage", "list what each team runs in each domain", run_list, "/v1/usage", usage_columns },
  { "hosts", "list targets as their owners see them", run_list, "/v1/hosts", host_columns },
  { "domains", "list failure domains and their owners", run_list, "/v1/domains", domain_columns },
  { "leases", "list every scheduler's view of every lease", run_list, "/v1/leases", lease_columns },
  { "jobs", "list jobs", run_list, "/v1/jobs", job_columns },
  { "job submit", "submit a job from a JSON file", run_job_submit, NULL, NULL },
  { "job show", "show a job", run_job, NULL, NULL },
  { "job cancel", "cancel a job", run_job, NULL, NULL },
  { "request", "send a request and print its answer", run_request, NULL, NULL },
  { "dump", "print the whole state of the schedulers", run_dump, NULL, NULL },
};

static void
print_help (FILE *out)
{
  fputs ("flamingoctl - drives flamingolane\n\nUsage: flamingoctl COMMAND [OPTIONS]\n\n"
         "Commands:\n",
         out);
  for (size_t i = 0; i < G_N_ELEMENTS (commands); i++)
    fprintf (out, "  %-16s %s\n", commands[i].name, commands[i].summary);
  fputs ("\nEvery command takes --help, --url, --key and --json.\n"
         "Environment: FLAMINGO_URL, FLAMINGO_KEY.\n"
         "Exit codes: 0 done, 1 refused or failed, 2 bad arguments, 3 unreachable.\n",
         out);
}

int
main (int argc, char **argv)
{
  if (sodium_init () < 0)
    return FL_EXIT_FAILED;
  if (argc < 2 || strcmp (argv[1], "--help") == 0 || strcmp (argv[1], "-h") == 0)
    {
      print_help (argc < 2 ? stderr : stdout);
      return argc < 2 ? FL_EXIT_USAGE : FL_EXIT_OK;
    }
  g_autofree char *two_words
      = argc > 2 ? g_strdup_printf ("%s %s", argv[1], argv[2]) : g_strdup ("");
  for (size_t i = 0; i < G_N_ELEMENTS (commands); i++)
    {
      if (strcmp (commands[i].name, two_words) == 0)
        return commands[i].run (&commands[i], argc - 2, argv + 2);
      if (strcmp (commands[i].name, argv[1]) == 0)
        return commands[i].run (&commands[i], argc - 1, argv + 1);
    }
  fprintf (stderr, "flamingoctl: no command '%s'; try 'flamingoctl --help'\n", argv[1]);
  return FL_EXIT_USAGE;
}
