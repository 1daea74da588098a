/* Event loops that did not run for a while: what is told of it, and which of the input and the
 * timeouts that became due meanwhile is handled first. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <unistd.h>

#include <cmocka.h>
#include <glib.h>

#include "common/clock.h"
#include "net/loop_watch.h"
#include "net/timeout.h"
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

/* --- timeouts --- */

#define TIMEOUT_MS 100
#define PIPES 3

/* A timeout, and input that takes an iteration of the loop for each pipe. */
struct fixture
{
  struct ev_loop *loop;
  struct fl_timeout timeout;
  int64_t started_ms;
  int64_t timed_out_ms; /* 0 for never */
  int pipes[PIPES][2];
  ev_io ios[PIPES];
  int pipes_read;
  int pipes_read_before_timeout;
};

static void
on_timeout (void *context)
{
  struct fixture *fixture = context;

  fixture->timed_out_ms = fl_clock_boot_ms ();
  fixture->pipes_read_before_timeout = fixture->pipes_read;
  ev_break (fixture->loop, EVBREAK_ALL);
}

static void
write_byte (struct fixture *fixture, int pipe_index)
{
  assert_int_equal (write (fixture->pipes[pipe_index][1], "x", 1), 1);
}

static void
on_pipe (struct ev_loop *loop, ev_io *io, int events)
{
  struct fixture *fixture = io->data;

  (void)events;
  ev_io_stop (loop, io);
  if (++fixture->pipes_read < PIPES)
    write_byte (fixture, fixture->pipes_read);
}

static void
start_timeout (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct fixture *fixture = timer->data;

  (void)loop;
  (void)events;
  g_usleep (HELD_UP_MS * 1000);
  fixture->started_ms = fl_clock_boot_ms ();
  fl_timeout_start (&fixture->timeout, TIMEOUT_MS);
}

static void
fixture_init (struct fixture *fixture)
{
  *fixture = (struct fixture){ .loop = ev_loop_new (EVFLAG_AUTO) };
  fl_timeout_init (&fixture->timeout, fixture->loop, on_timeout, fixture);
  for (int i = 0; i < PIPES; i++)
    {
      assert_int_equal (pipe (fixture->pipes[i]), 0);
      ev_io_init (&fixture->ios[i], on_pipe, fixture->pipes[i][0], EV_READ);
      fixture->ios[i].data = fixture;
      ev_io_start (fixture->loop, &fixture->ios[i]);
    }
}

static void
fixture_clear (struct fixture *fixture)
{
  for (int i = 0; i < PIPES; i++)
    {
      ev_io_stop (fixture->loop, &fixture->ios[i]);
      close (fixture->pipes[i][0]);
      close (fixture->pipes[i][1]);
    }
  ev_loop_destroy (fixture->loop);
}

/* Input that arrived while the process did not run is read first. */
static void
test_input_before_timeout (void **state)
{
  struct fixture fixture;

  (void)state;
  fixture_init (&fixture);
  fl_timeout_start (&fixture.timeout, TIMEOUT_MS);
  write_byte (&fixture, 0);
  g_usleep (HELD_UP_MS * 1000);
  ev_run (fixture.loop, 0);
  assert_int_equal (fixture.pipes_read_before_timeout, PIPES);
  fixture_clear (&fixture);
}

/* A timeout that was started at the end of a long callback counts from there. */
static void
test_timeout_after_long_callback (void **state)
{
  struct fixture fixture;
  ev_timer timer;

  (void)state;
  fixture_init (&fixture);
  ev_timer_init (&timer, start_timeout, 0.0, 0.0);
  timer.data = &fixture;
  ev_timer_start (fixture.loop, &timer);
  ev_run (fixture.loop, 0);
  assert_true (fixture.timed_out_ms - fixture.started_ms >= TIMEOUT_MS - 1);
  fixture_clear (&fixture);
}

/* Without input, a late timeout is put off once. */
static void
test_timeout_without_input (void **state)
{
  struct fixture fixture;

  (void)state;
  fixture_init (&fixture);
  fl_timeout_start (&fixture.timeout, TIMEOUT_MS);
  g_usleep (HELD_UP_MS * 1000);
  ev_run (fixture.loop, EVRUN_NOWAIT);
  assert_int_equal (fixture.timed_out_ms, 0);
  g_usleep (HELD_UP_MS * 1000);
  ev_run (fixture.loop, EVRUN_NOWAIT);
  assert_true (fixture.timed_out_ms > 0);
  fixture_clear (&fixture);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_time_held_up),
    cmocka_unit_test (test_input_before_timeout),
    cmocka_unit_test (test_timeout_after_long_callback),
    cmocka_unit_test (test_timeout_without_input),
  };

  return cmocka_run_group_tests_name ("held_up_loop", tests, NULL, NULL);
}
