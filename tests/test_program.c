/* Signals to the daemons at any time of their lives. The settings are read from a named pipe, so
 * that the test decides when a process has loaded them. */
#include <fcntl.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cmocka.h>
#include <glib.h>
#include <glib/gstdio.h>

#include "frontd/frontd.h"
#include "poold/poold.h"
#include "support_http.h"

/* Time for a signal to be handled before the next one. */
#define SIGNAL_GAP_US (60 * 1000)

/* Until a process runs its event loop, and the suspension of one that does. */
#define STARTED_US (300 * 1000)
#define SUSPENDED_US (600 * 1000)

struct program_case
{
  const char *name;
  int (*serve) (struct fl_host *host);
  int signals_while_loading[3];
  int signals_while_running[3]; /* the last one stops the process */
};

static const struct program_case cases[] = {
  { "frontd, SIGHUP while loading", fl_frontd_serve, { SIGHUP }, { SIGTERM } },
  { "poold, SIGHUP while loading", fl_poold_serve, { SIGHUP }, { SIGTERM } },
  { "frontd, SIGTERM while loading", fl_frontd_serve, { SIGTERM }, { 0 } },
  { "poold, SIGTERM while loading", fl_poold_serve, { SIGTERM }, { 0 } },
  { "frontd, SIGHUP and SIGTERM while loading", fl_frontd_serve, { SIGHUP, SIGTERM }, { 0 } },
  { "frontd, SIGTERM twice", fl_frontd_serve, { 0 }, { SIGTERM, SIGTERM } },
  { "poold, SIGTERM twice", fl_poold_serve, { 0 }, { SIGTERM, SIGTERM } },
  { "frontd, SIGHUP while stopping", fl_frontd_serve, { 0 }, { SIGTERM, SIGHUP } },
  { "poold, SIGHUP while stopping", fl_poold_serve, { 0 }, { SIGTERM, SIGHUP } },
  { "frontd, SIGHUP before SIGTERM", fl_frontd_serve, { 0 }, { SIGHUP, SIGTERM, SIGHUP } },
};

/* Settings whose store does not exist. */
static char *
make_settings (const char *log_level)
{
  return g_strdup_printf (
      "{\"name\":\"h\",\"domain\":\"d\",\"address\":\"127.0.0.1\",\"front\":\"127.0.0.1:%d\","
      "\"ready\":\"127.0.0.1:%d\",\"store\":\"127.0.0.1:%d\",\"link_port\":%d,\"relay_port\":%d,"
      "\"pool_metrics_port\":%d,\"front_metrics_port\":%d,\"graceful_stop_s\":2,"
      "\"log_level\":\"%s\"}",
      test_free_port (), test_free_port (), test_free_port (), test_free_port (), test_free_port (),
      test_free_port (), test_free_port (), log_level);
}

/* Its standard output goes to @log unless that is NULL. */
static int
start_program (int (*serve) (struct fl_host *host), const char *settings_path, FILE *log)
{
  struct fl_program program = { .name = "test", .serve = serve, .relays_store_calls = true };
  char *arguments[] = { (char *)"test", (char *)"--settings", (char *)settings_path, NULL };
  int pid = fork ();

  if (pid == 0 && log != NULL)
    dup2 (fileno (log), STDOUT_FILENO);
  if (pid == 0)
    _exit (fl_program_main (&program, 3, arguments));
  return pid;
}

static void
send_signals (int pid, const int *signals, size_t count)
{
  for (size_t i = 0; i < count && signals[i] != 0; i++)
    {
      usleep (SIGNAL_GAP_US);
      kill (pid, signals[i]);
    }
}

/* Writes the settings to the named pipe at @path, from which a process reads, and replaces the pipe
 * by a file for later reads.
 * @return false when the process has ended before it read them. */
static bool
write_settings (const char *path, const char *settings)
{
  int fd = open (path, O_WRONLY | O_NONBLOCK);

  if (fd < 0)
    return false;
  g_unlink (path);
  assert_true (g_file_set_contents (path, settings, -1, NULL));
  assert_int_equal (write (fd, settings, strlen (settings)), strlen (settings));
  close (fd);
  return true;
}

/* @return the exit code of the process. */
static int
run_case (const struct program_case *test, const char *path)
{
  g_autofree char *settings = make_settings ("err");
  int pid = start_program (test->serve, path, NULL);

  usleep (SIGNAL_GAP_US); /* until it reads the settings */
  send_signals (pid, test->signals_while_loading, G_N_ELEMENTS (test->signals_while_loading));
  usleep (SIGNAL_GAP_US);
  if (write_settings (path, settings))
    {
      usleep (SIGNAL_GAP_US);
      send_signals (pid, test->signals_while_running, G_N_ELEMENTS (test->signals_while_running));
    }
  return test_wait_for_exit (pid);
}

/* The process ends with code 0 after SIGTERM, and never by any other signal. */
static void
test_signals (void **state)
{
  g_autofree char *directory = g_dir_make_tmp ("flamingolane-XXXXXX", NULL);
  g_autofree char *path = g_build_filename (directory, "settings", NULL);
  int failures = 0;

  (void)state;
  signal (SIGPIPE, SIG_IGN);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      int code;

      assert_int_equal (mkfifo (path, 0600), 0);
      code = run_case (&cases[i], path);
      g_unlink (path);
      if (code == 0)
        continue;
      print_error ("%s: exit code %d\n", cases[i].name, code);
      failures++;
    }
  g_rmdir (directory);
  assert_int_equal (failures, 0);
}

/* @return whether the log of a daemon tells that it was suspended. */
static bool
logs_suspension (int (*serve) (struct fl_host *host), const char *settings_path)
{
  FILE *log = tmpfile ();
  char line[1000];
  bool is_logged = false;
  int pid = start_program (serve, settings_path, log);

  usleep (STARTED_US);
  kill (pid, SIGSTOP);
  usleep (SUSPENDED_US);
  kill (pid, SIGCONT);
  usleep (STARTED_US);
  kill (pid, SIGTERM);
  assert_int_equal (test_wait_for_exit (pid), 0);
  rewind (log);
  while (fgets (line, sizeof line, log) != NULL)
    is_logged = is_logged || strstr (line, "loop_held_up ms=") != NULL;
  fclose (log);
  return is_logged;
}

static void
test_suspension_is_logged (void **state)
{
  g_autofree char *directory = g_dir_make_tmp ("flamingolane-XXXXXX", NULL);
  g_autofree char *path = g_build_filename (directory, "settings", NULL);
  g_autofree char *settings = make_settings ("notice");

  (void)state;
  assert_true (g_file_set_contents (path, settings, -1, NULL));
  bool front_logs = logs_suspension (fl_frontd_serve, path);
  bool pool_logs = logs_suspension (fl_poold_serve, path);
  g_unlink (path);
  g_rmdir (directory);
  assert_true (front_logs);
  assert_true (pool_logs);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_signals), cmocka_unit_test (test_suspension_is_logged) };

  return cmocka_run_group_tests_name ("program", tests, NULL, NULL);
}
