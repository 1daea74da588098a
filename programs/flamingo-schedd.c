/* flamingo-schedd: the scheduler daemon. */
#include <stdio.h>

#include "cli/daemon.h"
#include "sched/sched.h"

static void
on_stop (void *context)
{
  fl_sched_shut_down (context);
}

static int
serve (const struct fl_settings *settings)
{
  struct fl_error error = { 0 };
  struct fl_stop_watchers watchers;
  struct fl_sched *sched = fl_sched_new (settings, &error);

  if (sched == NULL)
    {
      fprintf (stderr, "flamingo-schedd: %s (%s): %s\n", error.step, error.peer, error.text);
      return FL_EXIT_FAILED;
    }
  fl_stop_watchers_start (&watchers, fl_sched_loop (sched), on_stop, sched);
  fl_sched_serve (sched);
  fl_sched_free (sched);
  return FL_EXIT_OK;
}

int
main (int argc, char **argv)
{
  static const struct fl_daemon daemon
      = { "flamingo-schedd", "owns failure domains and starts work on their targets", serve };

  return fl_daemon_main (&daemon, argc, argv);
}
