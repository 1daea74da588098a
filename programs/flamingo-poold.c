/* flamingo-poold: schedules tasks on targets while its host owns the pool. */
#include "poold/poold.h"

int
main (int argc, char **argv)
{
  static const struct fl_program program
      = { .name = "flamingo-poold",
          .summary = "owns the pool of targets and schedules tasks, or is a standby",
          .serve = fl_poold_serve };

  return fl_program_main (&program, argc, argv);
}
