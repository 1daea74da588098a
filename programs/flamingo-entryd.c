/* flamingo-entryd: the entry daemon. */
#include <stdio.h>

#include "cli/daemon.h"
#include "entry/entry.h"

static void
on_stop (void *context)
{
  fl_entry_shut_down (context);
}

static int
serve (const struct fl_settings *settings)
{
  struct fl_error error = { 0 };
  struct fl_stop_watchers watchers;
  struct fl_entry *entry = fl_entry_new (settings, &error);

  if (entry == NULL)
    {
      fprintf (stderr, "flamingo-entryd: %s (%s): %s\n", error.step, error.peer, error.text);
      return FL_EXIT_FAILED;
    }
  fl_stop_watchers_start (&watchers, fl_entry_loop (entry), on_stop, entry);
  fl_entry_serve (entry);
  fl_entry_free (entry);
  return FL_EXIT_OK;
}

int
main (int argc, char **argv)
{
  static const struct fl_daemon daemon
      = { "flamingo-entryd", "takes requests, jobs and tickets over HTTP", serve };

  return fl_daemon_main (&daemon, argc, argv);
}
