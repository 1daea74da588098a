/* Event loops that did not run for a while: what is told of it, and which of the input and the
 * timeouts that became due meanwhile is handled first. */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <sys/mman.h>
#include <unistd.h>

#include <cmocka.h>
#include <glib.h>

#include "common/clock.h"
#include "common/timeout.h"
#include "net/loop_watch.h"
#include "platform/platform.h"
#include "store/follower.h"
#include "store/tables.h"
#include "support_front.h"
#include "support_http.h"
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

/* --- callers of the store --- */

/* Longer than the limit of each call below. */
#define STORE_HELD_UP_MS 3500

/* A store on an event loop. Replies arrive at once, through a pipe. The process does not run for
 * STORE_HELD_UP_MS after one of them has arrived. */
struct pipe_store
{
  struct fl_store interface;
  struct ev_loop *loop;
  int held_up_write; /* number of the transaction after which the process does not run */
  int held_up_feed;  /* number of the call of the feed */
  int *writes;       /* number of transactions with jobs */
  int feeds;
  int64_t feed_wait_ms; /* of the last call of the feed */
};

struct pipe_call
{
  struct pipe_store *store;
  int pipe[2];
  ev_timer arrival;
  ev_io io;
  bool holds_up;
  enum fl_store_status status;
  void (*done) (void *context, const struct fl_store_reply *reply);
  void *context;
};

static void
on_reply (struct ev_loop *loop, ev_io *io, int events)
{
  struct pipe_call *call = io->data;
  struct fl_store_row row = { .key = fl_name_of (FL_PLATFORM_CONFIGURATION_KEY),
                              .value = fl_str_of (FRONT_CONFIGURATION),
                              .version = 1 };
  struct fl_store_reply reply
      = { .status = call->status, .rows = &row, .count = 1, .version = call->store->feeds + 1 };

  (void)events;
  ev_io_stop (loop, io);
  close (call->pipe[0]);
  close (call->pipe[1]);
  call->done (call->context, &reply);
  fl_str_clear (&row.value);
  g_free (call);
}

static void
on_arrival (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct pipe_call *call = timer->data;

  (void)loop;
  (void)events;
  assert_int_equal (write (call->pipe[1], "x", 1), 1);
  if (call->holds_up)
    g_usleep (STORE_HELD_UP_MS * 1000);
}

static void
start_call (struct pipe_store *store,
            bool holds_up,
            enum fl_store_status status,
            void (*done) (void *context, const struct fl_store_reply *reply),
            void *done_context)
{
  struct pipe_call *call = g_new0 (struct pipe_call, 1);

  *call = (struct pipe_call){
    .store = store, .holds_up = holds_up, .status = status, .done = done, .context = done_context
  };
  assert_int_equal (pipe (call->pipe), 0);
  ev_timer_init (&call->arrival, on_arrival, 0.01, 0.0);
  ev_io_init (&call->io, on_reply, call->pipe[0], EV_READ);
  call->arrival.data = call->io.data = call;
  ev_timer_start (store->loop, &call->arrival);
  ev_io_start (store->loop, &call->io);
}

static void
pipe_store_transact (void *context,
                     const struct fl_store_transaction *transaction,
                     int64_t timeout_ms,
                     void (*done) (void *context, const struct fl_store_reply *reply),
                     void *done_context)
{
  struct pipe_store *store = context;
  bool is_job = strcmp (transaction->writes[0].table, FL_TABLE_JOBS) == 0;

  (void)timeout_ms;
  start_call (store, is_job && ++*store->writes == store->held_up_write, FL_STORE_OK, done,
              done_context);
}

static void
pipe_store_read (void *context,
                 const char *table,
                 const char *partition,
                 const char *first_key,
                 const char *end_key,
                 int64_t timeout_ms,
                 void (*done) (void *context, const struct fl_store_reply *reply),
                 void *done_context)
{
  (void)table;
  (void)partition;
  (void)first_key;
  (void)end_key;
  (void)timeout_ms;
  start_call (context, false, FL_STORE_OK, done, done_context);
}

static void
pipe_store_feed (void *context,
                 const char *table,
                 int64_t after_version,
                 int64_t wait_ms,
                 int64_t timeout_ms,
                 void (*done) (void *context, const struct fl_store_reply *reply),
                 void *done_context)
{
  struct pipe_store *store = context;

  (void)table;
  (void)after_version;
  (void)timeout_ms;
  store->feed_wait_ms = wait_ms;
  start_call (store, ++store->feeds == store->held_up_feed, FL_STORE_OK, done, done_context);
}

static struct pipe_store
pipe_store_make (struct ev_loop *loop)
{
  return (struct pipe_store){
    .interface = { .transact = pipe_store_transact,
                   .read = pipe_store_read,
                   .feed = pipe_store_feed },
    .loop = loop,
  };
}

static void
ignore_row (void *context, const struct fl_store_row *row)
{
  (void)context;
  (void)row;
}

static void
count_confirmation (void *context, int64_t sent_ms)
{
  (void)sent_ms;
  ++*(int *)context;
}

/* The copies of a call whose reply is there only add to the load of a host that is short of
 * processor. The reply confirms what was current before the pause: requests wait for the next one.
 */
static void
test_follower_of_held_up_loop (void **state)
{
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  struct pipe_store store = pipe_store_make (loop);
  int confirmations = 0;
  struct fl_follower_options options = { .loop = loop,
                                         .store = &store.interface,
                                         .table = "t",
                                         .partitions = fl_common_partitions,
                                         .on_row = ignore_row,
                                         .on_confirmed = count_confirmation,
                                         .context = &confirmations };

  (void)state;
  store.interface.context = &store;
  store.held_up_feed = 2;
  struct fl_follower *follower = fl_follower_new (&options);
  /* The end of the read of the table confirms it, too. */
  while (confirmations < store.held_up_feed + 1)
    ev_run (loop, EVRUN_ONCE);
  /* The next call has been sent. */
  assert_int_equal (store.feeds, store.held_up_feed + 1);
  assert_int_equal (store.feed_wait_ms, 1);
  fl_follower_free (follower);
  ev_loop_destroy (loop);
}

static const struct fl_store *
create_store (struct ev_loop *loop, const void *context)
{
  struct pipe_store *store = g_new0 (struct pipe_store, 1);

  *store = pipe_store_make (loop);
  store->interface.context = store;
  store->held_up_write = 1;
  store->writes = *(int *const *)context;
  return &store->interface;
}

/* The reply to the write of a job was there when the limit of the call had passed: another write
 * was sent to find out what had become of it. */
static void
test_job_is_written_once (void **state)
{
  int *writes
      = mmap (NULL, sizeof *writes, PROT_READ | PROT_WRITE, MAP_SHARED | MAP_ANONYMOUS, -1, 0);
  struct front front = front_start_with_store (create_store, &writes);
  struct test_client client = { .fd = -1 };
  int open_requests;

  (void)state;
  assert_true (test_client_connect (&client, front.port, false));
  test_client_request (&client, "POST /q/00000000000000aa HTTP/1.1\r\nHost: x.example\r\n"
                                "Content-Type: application/json\r\nContent-Length: 51\r\n\r\n"
                                "{\"spec\":\"\",\"steps\":[{\"count\":1,\"cpu\":1,\"memMb\":1}]}");
  int status = test_client_await (&client);
  test_client_close (&client);
  kill (front.pid, SIGTERM);
  assert_int_equal (front_await_end (&front, &open_requests), 0);
  assert_int_equal (status, 200);
  assert_int_equal (*writes, 1);
  munmap (writes, sizeof *writes);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_time_held_up),
    cmocka_unit_test (test_input_before_timeout),
    cmocka_unit_test (test_timeout_after_long_callback),
    cmocka_unit_test (test_timeout_without_input),
    cmocka_unit_test (test_follower_of_held_up_loop),
    cmocka_unit_test (test_job_is_written_once),
  };

  return cmocka_run_group_tests_name ("held_up_loop", tests, NULL, NULL);
}
