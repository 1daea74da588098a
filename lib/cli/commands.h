/* Commands of flamingoctl. */
#pragma once

/* Exit codes of flamingoctl. */
enum fl_ctl_exit
{
  FL_CTL_OK = 0,
  FL_CTL_REJECTED = 1, /* the host rejected the request */
  FL_CTL_USAGE = 2,
  FL_CTL_UNREACHABLE = 3
};

/* Parses the arguments and runs the command. @return an exit code of enum fl_ctl_exit. */
int fl_commands_main (int argc, char **argv);
