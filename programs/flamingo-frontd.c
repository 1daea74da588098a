/* flamingo-frontd: accepts job submissions, queries and cancellations from clients. */
#include "frontd/frontd.h"

int
main (int argc, char **argv)
{
  static const struct fl_program program
      = { .name = "flamingo-frontd",
          .summary = "accepts jobs from clients and reports their state",
          .relays_store_calls = true,
          .serve = fl_frontd_serve };

  return fl_program_main (&program, argc, argv);
}
