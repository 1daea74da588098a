/* The commands of flamingoctl. */
#pragma once

/* Exit codes of flamingoctl. */
enum fl_ctl_exit
{
  FL_CTL_OK = 0,
  FL_CTL_REJECTED = 1, /* the host refused the call */
  FL_CTL_USAGE = 2,
  FL_CTL_UNREACHABLE = 3
};

/* Runs the command that the arguments name. @return an exit code. */
int fl_commands_main (int argc, char **argv);
