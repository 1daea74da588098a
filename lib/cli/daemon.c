#include "cli/daemon.h"

#include <signal.h>
#include <stdio.h>

#include <argtable2.h>

static void
print_help (const struct fl_daemon *daemon, void **table)
{
  printf ("%s - %s\n\nUsage: %s", daemon->program, daemon->summary, daemon->program);
  arg_print_syntax (stdout, table, "\n\nOptions:\n");
  arg_print_glossary (stdout, table, "  %-28s %s\n");
  puts ("");
  fl_settings_describe ();
  puts ("\nSignals: SIGTERM and SIGINT stop gracefully.\n"
        "Exit codes: 0 stopped as asked, 1 failed, 2 bad arguments or settings.");
}

static int
run (const struct fl_daemon *daemon, const char *path, bool check_only)
{
  struct fl_settings settings;
  struct fl_problems problems = { 0 };
  int code = FL_EXIT_OK;

  if (!fl_settings_load (path, &settings, &problems))
    {
      fprintf (stderr, "%s: %zu problem(s) in %s:\n%s\n", daemon->program, problems.count, path,
               fl_str_text (&problems.text));
      code = FL_EXIT_USAGE;
    }
  else if (check_only)
    printf ("%s: settings are good\n", path);
  else
    code = daemon->serve (&settings);
  fl_settings_clear (&settings);
  fl_problems_clear (&problems);
  return code;
}

int
fl_daemon_main (const struct fl_daemon *daemon, int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 ("h", "help", "print this text and exit");
  struct arg_lit *check = arg_lit0 (NULL, "check", "check the settings and exit");
  struct arg_file *settings = arg_file1 ("s", "settings", "FILE", "JSON settings");
  struct arg_end *end = arg_end (5);
  void *table[] = { help, check, settings, end };
  int errors = arg_parse (argc, argv, table);
  int code;

  if (help->count > 0)
    {
      print_help (daemon, table);
      code = FL_EXIT_OK;
    }
  else if (errors > 0)
    {
      arg_print_errors (stderr, end, daemon->program);
      fprintf (stderr, "Try '%s --help'.\n", daemon->program);
      code = FL_EXIT_USAGE;
    }
  else
    code = run (daemon, settings->filename[0], check->count > 0);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return code;
}

static void
on_signal (struct ev_loop *loop, ev_signal *signal_, int events)
{
  struct fl_stop_watchers *watchers = signal_->data;

  (void)loop;
  (void)events;
  watchers->on_stop (watchers->context);
}

void
fl_stop_watchers_start (struct fl_stop_watchers *watchers,
                        struct ev_loop *loop,
                        void (*on_stop) (void *context),
                        void *context)
{
  watchers->on_stop = on_stop;
  watchers->context = context;
  ev_signal_init (&watchers->term, on_signal, SIGTERM);
  ev_signal_init (&watchers->interrupt, on_signal, SIGINT);
  watchers->term.data = watchers;
  watchers->interrupt.data = watchers;
  ev_signal_start (loop, &watchers->term);
  ev_signal_start (loop, &watchers->interrupt);
}
