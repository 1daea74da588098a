/* Event loops that did not run for a while: what is told of it, and which of the input and the
 * timeouts that became due meanwhile is handled first. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "net/loop_watch.h"
#include "support_loop.h"

#define RUN_S 0.05
#define HELD_UP_MS 400

static void
test_time_held_up (void **state)
{
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  struct fl_stats *stats = fl_stats_new ();
  struct fl_loop_watch watch;

  (void)state;
  fl_loop_watch_start (&watch, loop, NULL, stats);
  support_run_loop_for (loop, RUN_S);
  g_usleep (HELD_UP_MS * 1000);
  support_run_loop_for (loop, RUN_S);
  assert_true (watch.resumed_ms > 0);
  assert_true (fl_stats_get (stats, "loop_held_up_total") >= 1);
  assert_true (fl_stats_get (stats, "loop_held_up_max_ms") >= FL_LOOP_HELD_UP_MIN_MS);
  fl_loop_watch_stop (&watch);
  fl_stats_free (stats);
  ev_loop_destroy (loop);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_time_held_up),
  };

  return cmocka_run_group_tests_name ("held_up_loop", tests, NULL, NULL);
}
