/* How long a new owner takes from the acquisition of the pool to its first decisions, when a reply
 * of the store is lost at one stage; a table of cases, with the real pool daemon and a fake store.
 */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cmocka.h>
#include <glib.h>

#include "common/clock.h"
#include "host/host.h"
#include "poold/ownership.h"
#include "poold/poold.h"
#include "store/tables.h"

#define REPLY_DELAY_MS 5
#define SEND_DELAY_US 2500
#define LATE_REPLY_DELAY_MS 1600
#define GIVE_UP_MS 4000
/* The time of all stages without a fault, on a busy machine. */
#define START_MS 500

struct fake
{
  struct ev_loop *loop;
  struct fl_store store;
  const char *lost_table;     /* the first read of it has no reply; NULL for none */
  const char *lost_partition; /* NULL for any */
  const char *late_table;     /* replies to reads of it take LATE_REPLY_DELAY_MS; NULL for none */
  const char *slow_table;     /* sending a read of it takes SEND_DELAY_US; NULL for none */
  bool awaits_admission;      /* run until the row of closed queues is written */
  int64_t version;
  int64_t acquired_ms;
  int64_t ready_ms; /* when the first decisions were made; 0 for not yet */
  ev_timer give_up;
};

struct call
{
  ev_timer timer;
  struct fl_store_reply reply;
  void (*done) (void *context, const struct fl_store_reply *reply);
  void *context;
};

static void
on_reply_due (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct call *call = timer->data;

  (void)loop;
  (void)events;
  call->done (call->context, &call->reply);
  g_free (call);
}

static void
send_reply (struct fake *fake,
            enum fl_store_status status,
            int64_t delay_ms,
            void (*done) (void *context, const struct fl_store_reply *reply),
            void *done_context)
{
  struct call *call = g_new0 (struct call, 1);

  call->reply = (struct fl_store_reply){ .status = status, .version = fake->version };
  call->done = done;
  call->context = done_context;
  ev_timer_init (&call->timer, on_reply_due, (double)delay_ms / 1000.0, 0.0);
  call->timer.data = call;
  ev_timer_start (fake->loop, &call->timer);
}

static void
transact (void *context,
          const struct fl_store_transaction *transaction,
          int64_t timeout_ms,
          void (*done) (void *context, const struct fl_store_reply *reply),
          void *done_context)
{
  struct fake *fake = context;

  (void)timeout_ms;
  fake->version++;
  for (size_t i = 0; i < transaction->write_count; i++)
    if (strcmp (transaction->writes[i].key.data, FL_OWNER_POOL_KEY) == 0
        && strcmp (transaction->writes[i].table, FL_OWNER_TABLE) == 0)
      fake->acquired_ms = fl_clock_boot_ms () + REPLY_DELAY_MS;
    else if (strcmp (transaction->writes[i].key.data,
                     fake->awaits_admission ? FL_ADMISSION_CLOSED : FL_SUMMARY_PENDING)
                 == 0
             && fake->ready_ms == 0)
      {
        fake->ready_ms = fl_clock_boot_ms ();
        raise (SIGTERM);
      }
  send_reply (fake, FL_STORE_OK, REPLY_DELAY_MS, done, done_context);
}

static void
read_range (void *context,
            const char *table,
            const char *partition,
            const char *first_key,
            const char *end_key,
            int64_t timeout_ms,
            void (*done) (void *context, const struct fl_store_reply *reply),
            void *done_context)
{
  struct fake *fake = context;
  bool is_lost = fake->lost_table != NULL && strcmp (table, fake->lost_table) == 0
                 && (fake->lost_partition == NULL || strcmp (partition, fake->lost_partition) == 0);
  int64_t delay_ms = REPLY_DELAY_MS;

  (void)first_key;
  (void)end_key;
  if (is_lost)
    fake->lost_table = NULL;
  if (fake->slow_table != NULL && strcmp (table, fake->slow_table) == 0)
    g_usleep (SEND_DELAY_US);
  if (fake->late_table != NULL && strcmp (table, fake->late_table) == 0)
    delay_ms = LATE_REPLY_DELAY_MS;
  is_lost = is_lost || delay_ms > timeout_ms;
  send_reply (fake, is_lost ? FL_STORE_UNKNOWN : FL_STORE_OK, is_lost ? timeout_ms : delay_ms, done,
              done_context);
}

static void
feed (void *context,
      const char *table,
      int64_t after_version,
      int64_t wait_ms,
      int64_t timeout_ms,
      void (*done) (void *context, const struct fl_store_reply *reply),
      void *done_context)
{
  (void)table;
  (void)after_version;
  (void)timeout_ms;
  send_reply (context, FL_STORE_OK, wait_ms, done, done_context);
}

static void
on_give_up (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)timer;
  (void)events;
  _exit (1);
}

/* Runs the pool daemon until its first decisions.
 * @return their time from the acquisition, or -1 if there were none. */
static int64_t
measure_start (struct fake *fake)
{
  struct fl_host host = { .loop = ev_default_loop (0), .store = &fake->store };

  fake->loop = host.loop;
  fake->store = (struct fl_store){ .context = fake, transact, read_range, feed };
  host.settings.name = fl_name_of ("host-0");
  host.settings.address = fl_name_of ("127.0.0.1");
  host.settings.lease_max_ms = 6000;
  host.stats = fl_stats_new ();
  host.http_client = fl_http_client_new (
      &(struct fl_http_client_options){ .loop = host.loop, .stats = host.stats });
  ev_timer_init (&fake->give_up, on_give_up, GIVE_UP_MS / 1000.0, 0.0);
  ev_timer_start (host.loop, &fake->give_up);
  assert_int_equal (fl_poold_serve (&host), FL_PROGRAM_OK);
  ev_timer_stop (host.loop, &fake->give_up);
  return fake->ready_ms > 0 ? fake->ready_ms - fake->acquired_ms : -1;
}

/* As measure_start, in a process of its own, since the daemon takes the process's signals. */
static int64_t
measure_start_in_child (const struct fake *fake)
{
  int64_t taken_ms = -1;
  int fds[2];

  assert_int_equal (pipe (fds), 0);
  fflush (stdout);
  pid_t child = fork ();
  assert_true (child >= 0);
  if (child == 0)
    {
      struct fake own = *fake;
      taken_ms = measure_start (&own);
      _exit (write (fds[1], &taken_ms, sizeof taken_ms) == sizeof taken_ms ? 0 : 1);
    }
  close (fds[1]);
  if (read (fds[0], &taken_ms, sizeof taken_ms) != sizeof taken_ms)
    taken_ms = -1;
  close (fds[0]);
  assert_int_equal (waitpid (child, NULL, 0), child);
  return taken_ms;
}

static void
test_lost_reply_at_each_stage (void **state)
{
  static const struct
  {
    const char *name;
    struct fake fake;
    int64_t most_ms;
  } cases[] = {
    { "no fault", { 0 }, START_MS },
    { "progress", { .lost_table = FL_TABLE_PROGRESS }, START_MS + 550 },
    { "first jobs", { .lost_table = FL_TABLE_JOBS }, START_MS + 550 },
    { "last jobs", { .lost_table = FL_TABLE_JOBS, .lost_partition = "7" }, START_MS + 550 },
    { "targets of earlier owners", { .lost_table = FL_TABLE_SUMMARY }, START_MS + 550 },
    { "configuration", { .lost_table = FL_PLATFORM_OPERATOR_TABLE }, START_MS + 550 },
    /* Reads were given up after a fixed time and sent again, so that they never ended. */
    { "progress late", { .late_table = FL_TABLE_PROGRESS }, START_MS + 2100 },
    { "targets of earlier owners late", { .late_table = FL_TABLE_SUMMARY }, START_MS + 2100 },
    /* The configuration counted as outdated when it was requested in the millisecond before the
     * start of the term, and was confirmed by the end of the next feed call. */
    { "no fault, slow sending", { .slow_table = FL_PLATFORM_OPERATOR_TABLE }, START_MS },
  };
  int failed = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      int64_t taken_ms = measure_start_in_child (&cases[i].fake);
      printf ("  %s: %d ms\n", cases[i].name, (int)taken_ms);
      failed += taken_ms < 0 || taken_ms > cases[i].most_ms ? 1 : 0;
    }
  assert_int_equal (failed, 0);
}

/* An owner that ended while a queue was closed left the row, and no later one replaced it, since it
 * had closed no queue itself. */
static void
test_new_owner_replaces_closed_queues (void **state)
{
  struct fake fake = { .awaits_admission = true };

  (void)state;
  assert_true (measure_start_in_child (&fake) >= 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_lost_reply_at_each_stage),
                                      cmocka_unit_test (test_new_owner_replaces_closed_queues) };

  return cmocka_run_group_tests_name ("term", tests, NULL, NULL);
}
