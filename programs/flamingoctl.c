/* flamingoctl: command-line client for jobs and hosts. */
#include "cli/commands.h"

int
main (int argc, char **argv)
{
  return fl_commands_main (argc, argv);
}
