/* How long a follower takes to read a table when a call has no reply, as a table of cases. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "common/clock.h"
#include "store/follower.h"
#include "support_loop.h"

#define REPLY_DELAY_MS 10
#define LATE_REPLY_DELAY_MS 900
#define PARTITION_COUNT 8
/* The time of all calls without a fault, on a busy machine. */
#define READ_MS 350

static const char *const partitions[] = { "0", "1", "2", "3", "4", "5", "6", "7", NULL };

enum call_fault
{
  NO_FAULT,
  CALL_REJECTED,
  CALL_LOST,
  CALL_LATE /* the reply takes LATE_REPLY_DELAY_MS */
};

struct fake
{
  struct ev_loop *loop;
  enum call_fault fault;
  int fault_call; /* number of the call that has the fault */
  int reads;
  GString *order; /* the partitions of the rows, as delivered */
  int64_t started_ms;
  int64_t read_end_ms;    /* 0 while the table is being read */
  int64_t outage_from_ms; /* calls of the feed that are sent in an outage have no reply */
  int64_t outage_until_ms;
  int64_t confirmed_ms; /* first confirmation after the outage; 0 until then */
  int feeds_in_outage;
};

/* A call whose reply is due. */
struct call
{
  ev_timer timer;
  char key[2];
  enum fl_store_status status;
  void (*done) (void *context, const struct fl_store_reply *reply);
  void *context;
};

static void
on_reply_due (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct call *call = timer->data;
  struct fl_store_row row = { .key = fl_name_of (call->key), .version = 1 };
  struct fl_store_reply reply = { .status = call->status, .version = 1 };

  (void)loop;
  (void)events;
  if (call->status == FL_STORE_OK)
    {
      reply.rows = &row;
      reply.count = 1;
    }
  call->done (call->context, &reply);
  g_free (call);
}

static void
send_read (void *context,
           const char *table,
           const char *partition,
           const char *first_key,
           const char *end_key,
           int64_t timeout_ms,
           void (*done) (void *context, const struct fl_store_reply *reply),
           void *done_context)
{
  struct fake *fake = context;
  enum call_fault fault = fake->reads++ == fake->fault_call ? fake->fault : NO_FAULT;
  struct call *call = g_new0 (struct call, 1);
  int64_t delay_ms = REPLY_DELAY_MS;

  (void)table;
  (void)first_key;
  (void)end_key;
  if (fault == CALL_LOST)
    delay_ms = timeout_ms;
  if (fault == CALL_LATE)
    delay_ms = LATE_REPLY_DELAY_MS;
  call->status = fault == CALL_LOST       ? FL_STORE_UNKNOWN
                 : fault == CALL_REJECTED ? FL_STORE_REJECTED
                                          : FL_STORE_OK;
  call->key[0] = partition[0];
  call->done = done;
  call->context = done_context;
  ev_timer_init (&call->timer, on_reply_due, (double)delay_ms / 1000.0, 0.0);
  call->timer.data = call;
  ev_timer_start (fake->loop, &call->timer);
}

/* The feed has no changes: its reply never comes within a test. */
static void
send_feed (void *context,
           const char *table,
           int64_t after_version,
           int64_t wait_ms,
           int64_t timeout_ms,
           void (*done) (void *context, const struct fl_store_reply *reply),
           void *done_context)
{
  (void)context;
  (void)table;
  (void)after_version;
  (void)wait_ms;
  (void)timeout_ms;
  (void)done;
  (void)done_context;
}

static void
on_row (void *context, const struct fl_store_row *row)
{
  struct fake *fake = context;

  g_string_append (fake->order, row->key.data);
}

static void
on_read_end (void *context)
{
  struct fake *fake = context;

  fake->read_end_ms = fl_clock_boot_ms ();
}

static void
on_feed_reply_due (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct call *call = timer->data;
  struct fl_store_reply reply = { .status = call->status, .version = 1 };

  (void)loop;
  (void)events;
  call->done (call->context, &reply);
  g_free (call);
}

/* The feed has no changes, so that its replies come when the wait is over. */
static void
send_feed_with_outage (void *context,
                       const char *table,
                       int64_t after_version,
                       int64_t wait_ms,
                       int64_t timeout_ms,
                       void (*done) (void *context, const struct fl_store_reply *reply),
                       void *done_context)
{
  struct fake *fake = context;
  int64_t now_ms = fl_clock_boot_ms ();
  struct call *call = g_new0 (struct call, 1);
  bool is_lost = now_ms + wait_ms >= fake->outage_from_ms && now_ms < fake->outage_until_ms;

  (void)table;
  (void)after_version;
  fake->feeds_in_outage += is_lost ? 1 : 0;
  call->status = is_lost ? FL_STORE_UNKNOWN : FL_STORE_OK;
  call->done = done;
  call->context = done_context;
  ev_timer_init (&call->timer, on_feed_reply_due,
                 (double)(is_lost ? timeout_ms : wait_ms + REPLY_DELAY_MS) / 1000.0, 0.0);
  call->timer.data = call;
  ev_timer_start (fake->loop, &call->timer);
}

static void
on_confirmed (void *context, int64_t sent_ms)
{
  struct fake *fake = context;

  if (sent_ms >= fake->outage_until_ms && fake->confirmed_ms == 0)
    fake->confirmed_ms = fl_clock_boot_ms ();
}

/* Requests wait for the configuration to be confirmed, for less than 3 s. After an outage that took
 * up to 3 s: the timeout of the call in flight, a pause, and the wait of the next call. */
static void
test_confirmation_after_outage (void **state)
{
  static const struct
  {
    const char *name;
    int64_t outage_ms;
    int64_t most_ms;     /* from the end of the outage until the confirmation */
    int most_lost_calls; /* calls cost, also those that are lost */
  } cases[] = {
    /* The call in flight waits for changes, and has a timeout of 1.6 s. */
    { "a short outage", 300, 1600, 1 },
    /* Timeout of 0.6 s, pause of 0.4 s at most, and the call. */
    { "an outage of 3 s", 3000, 1100, 4 },
    { "an outage of 3.3 s", 3300, 1100, 5 },
    { "an outage of 3.6 s", 3600, 1100, 5 },
  };
  struct fake fakes[G_N_ELEMENTS (cases)] = { 0 };
  struct fl_store stores[G_N_ELEMENTS (cases)];
  struct fl_follower *followers[G_N_ELEMENTS (cases)];
  struct ev_loop *loop = ev_loop_new (0);
  int failures = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fake *fake = &fakes[i];
      fake->loop = loop;
      fake->order = g_string_new ("");
      fake->outage_from_ms = fl_clock_boot_ms () + 500;
      fake->outage_until_ms = fake->outage_from_ms + cases[i].outage_ms;
      stores[i]
          = (struct fl_store){ .context = fake, .read = send_read, .feed = send_feed_with_outage };
      struct fl_follower_options options = { .loop = loop,
                                             .store = &stores[i],
                                             .table = "table",
                                             .partitions = partitions,
                                             .on_row = on_row,
                                             .on_confirmed = on_confirmed,
                                             .context = fake };
      followers[i] = fl_follower_new (&options);
    }
  support_run_loop_for (loop, 7.5);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const struct fake *fake = &fakes[i];
      int64_t taken_ms = fake->confirmed_ms > 0 ? fake->confirmed_ms - fake->outage_until_ms : -1;
      printf ("  %s: %d ms, %d calls lost\n", cases[i].name, (int)taken_ms, fake->feeds_in_outage);
      if (taken_ms < 0 || taken_ms > cases[i].most_ms
          || fake->feeds_in_outage > cases[i].most_lost_calls)
        failures++;
      fl_follower_free (followers[i]);
      g_string_free (fake->order, TRUE);
    }
  assert_int_equal (failures, 0);
}

/* --- replies that are late for good --- */

struct late_store
{
  struct ev_loop *loop;
  int64_t delay_ms; /* of each reply, beyond the wait of a feed call */
  int64_t started_ms;
  int64_t read_end_ms;  /* 0 while the table is being read */
  int64_t confirmed_ms; /* 0 until the first confirmation */
  int64_t oldest_ms;    /* greatest age of a confirmation when the next one came */
  int calls;
};

static void
send_late_call (struct late_store *late,
                int64_t wait_ms,
                int64_t timeout_ms,
                void (*done) (void *context, const struct fl_store_reply *reply),
                void *done_context)
{
  struct call *call = g_new0 (struct call, 1);
  int64_t reply_ms = wait_ms + late->delay_ms;

  late->calls++;
  call->status = reply_ms > timeout_ms ? FL_STORE_UNKNOWN : FL_STORE_OK;
  call->done = done;
  call->context = done_context;
  ev_timer_init (&call->timer, on_feed_reply_due, (double)MIN (reply_ms, timeout_ms) / 1000.0, 0.0);
  call->timer.data = call;
  ev_timer_start (late->loop, &call->timer);
}

static void
send_late_read (void *context,
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
  send_late_call (context, 0, timeout_ms, done, done_context);
}

static void
send_late_feed (void *context,
                const char *table,
                int64_t after_version,
                int64_t wait_ms,
                int64_t timeout_ms,
                void (*done) (void *context, const struct fl_store_reply *reply),
                void *done_context)
{
  (void)table;
  (void)after_version;
  send_late_call (context, wait_ms, timeout_ms, done, done_context);
}

static void
ignore_row (void *context, const struct fl_store_row *row)
{
  (void)context;
  (void)row;
}

static void
on_late_read_end (void *context)
{
  ((struct late_store *)context)->read_end_ms = fl_clock_boot_ms ();
}

static void
on_late_confirmed (void *context, int64_t sent_ms)
{
  struct late_store *late = context;

  if (late->confirmed_ms > 0)
    late->oldest_ms = MAX (late->oldest_ms, fl_clock_boot_ms () - late->confirmed_ms);
  late->confirmed_ms = sent_ms;
}

/* Replies later than a fixed limit were thrown away and the call was repeated with the same limit:
 * tables were never read, and the configuration was never confirmed, however long it took. */
static void
test_replies_late_for_good (void **state)
{
  static const char *const two_partitions[] = { "0", "1", NULL };
  static const struct
  {
    int64_t delay_ms;
    bool is_link_slow;
    int64_t most_read_ms;   /* for two partitions */
    int64_t most_oldest_ms; /* a host rejects requests above 4,000 */
    int most_calls;         /* in 12 s; calls are priced */
  } cases[] = {
    { 300, false, 700, 2700, 13 },   { 650, false, 1500, 3000, 14 },
    { 800, false, 1800, 3300, 16 },  { 1200, false, 2700, 3500, 20 },
    { 2000, false, 5000, 4100, 20 }, { 2500, true, 6000, 0, 25 },
    { 4000, true, 10000, 0, 25 },
  };
  struct late_store stores[G_N_ELEMENTS (cases)] = { 0 };
  struct fl_store interfaces[G_N_ELEMENTS (cases)];
  struct fl_follower *followers[G_N_ELEMENTS (cases)];
  struct ev_loop *loop = ev_loop_new (0);
  int failures = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct late_store *late = &stores[i];
      *late = (struct late_store){ .loop = loop,
                                   .delay_ms = cases[i].delay_ms,
                                   .started_ms = fl_clock_boot_ms () };
      interfaces[i]
          = (struct fl_store){ .context = late, .read = send_late_read, .feed = send_late_feed };
      struct fl_follower_options options = { .loop = loop,
                                             .store = &interfaces[i],
                                             .table = "table",
                                             .partitions = two_partitions,
                                             .is_link_slow = cases[i].is_link_slow,
                                             .on_row = ignore_row,
                                             .on_read_end = on_late_read_end,
                                             .on_confirmed = on_late_confirmed,
                                             .context = late };
      followers[i] = fl_follower_new (&options);
    }
  support_run_loop_for (loop, 12);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct late_store *late = &stores[i];
      int64_t read_ms = late->read_end_ms > 0 ? late->read_end_ms - late->started_ms : -1;
      late->oldest_ms = MAX (late->oldest_ms, fl_clock_boot_ms () - late->confirmed_ms);
      printf ("  late by %d ms%s: read in %d ms, confirmed at most %d ms ago, %d calls\n",
              (int)late->delay_ms, cases[i].is_link_slow ? ", slow link" : "", (int)read_ms,
              late->confirmed_ms > 0 ? (int)late->oldest_ms : -1, late->calls);
      if (read_ms < 0 || read_ms > cases[i].most_read_ms
          || (!cases[i].is_link_slow && late->oldest_ms > cases[i].most_oldest_ms)
          || late->calls > cases[i].most_calls)
        failures++;
      fl_follower_free (followers[i]);
    }
  assert_int_equal (failures, 0);
}

/* A lost reply cost the timeout of its call, 1.5 s, at each stage of the start of a term. */
static void
test_calls_without_reply (void **state)
{
  static const struct
  {
    const char *name;
    enum call_fault fault;
    int fault_call;
    int64_t most_ms; /* longest time for the whole table */
    int most_reads;
  } cases[] = {
    { "no fault", NO_FAULT, 0, READ_MS, PARTITION_COUNT },
    { "first call rejected", CALL_REJECTED, 0, READ_MS + 50, PARTITION_COUNT + 1 },
    { "first call lost", CALL_LOST, 0, READ_MS + 500, PARTITION_COUNT + 1 },
    { "call in the middle lost", CALL_LOST, 3, READ_MS + 500, PARTITION_COUNT + 1 },
    { "last call lost", CALL_LOST, 7, READ_MS + 500, PARTITION_COUNT + 1 },
    { "reply late", CALL_LATE, 3, READ_MS + 500, PARTITION_COUNT + 1 },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fake fake = { .loop = ev_loop_new (0),
                           .fault = cases[i].fault,
                           .fault_call = cases[i].fault_call,
                           .order = g_string_new ("") };
      struct fl_store store = { .context = &fake, .read = send_read, .feed = send_feed };
      struct fl_follower_options options = { .loop = fake.loop,
                                             .store = &store,
                                             .table = "table",
                                             .partitions = partitions,
                                             .on_row = on_row,
                                             .on_read_end = on_read_end,
                                             .context = &fake };
      fake.started_ms = fl_clock_boot_ms ();
      struct fl_follower *follower = fl_follower_new (&options);
      support_run_loop_for (fake.loop, 2.2);
      int64_t taken_ms = fake.read_end_ms > 0 ? fake.read_end_ms - fake.started_ms : -1;
      printf ("  %s: %d ms, %d reads\n", cases[i].name, (int)taken_ms, fake.reads);
      assert_string_equal (fake.order->str, "01234567");
      if (taken_ms < 0 || taken_ms > cases[i].most_ms || fake.reads > cases[i].most_reads)
        fail_msg ("%s: %d ms, %d reads", cases[i].name, (int)taken_ms, fake.reads);
      fl_follower_free (follower);
      g_string_free (fake.order, TRUE);
      ev_loop_destroy (fake.loop);
    }
}

/* --- keys of full length --- */

#define KEYS_MAX 4
#define KEY_READS_MAX 20

/* A store that returns one row of one partition at a time. */
struct paged_store
{
  struct ev_loop *loop;
  const char *const *keys; /* in ascending order, NULL-terminated */
  int reads;
  bool is_read;
  GString *order; /* the last bytes of the keys, as delivered */
};

static void
read_one_row (void *context,
              const char *table,
              const char *partition,
              const char *first_key,
              const char *end_key,
              int64_t timeout_ms,
              void (*done) (void *context, const struct fl_store_reply *reply),
              void *done_context)
{
  struct paged_store *store = context;
  struct fl_store_row row = { .version = 1 };
  struct fl_store_reply reply = { .status = FL_STORE_OK, .rows = &row, .version = 1 };
  size_t i = 0;

  (void)table;
  (void)partition;
  (void)end_key;
  (void)timeout_ms;
  while (store->keys[i] != NULL && strcmp (store->keys[i], first_key) < 0)
    i++;
  if (store->keys[i] != NULL)
    {
      row.key = fl_name_of (store->keys[i]);
      reply.count = 1;
      reply.has_more = store->keys[i + 1] != NULL;
    }
  if (++store->reads <= KEY_READS_MAX)
    done (done_context, &reply);
}

static void
on_paged_row (void *context, const struct fl_store_row *row)
{
  struct paged_store *store = context;

  g_string_append_printf (store->order, "%s ", row->key.data + FL_NAME_MAX - 5);
}

static void
on_paged_read_end (void *context)
{
  ((struct paged_store *)context)->is_read = true;
}

/* The page after a key of full length was that of the key itself, without end. */
static void
test_keys_of_full_length (void **state)
{
  /* The last five bytes of keys of FL_NAME_MAX bytes. */
  static const struct
  {
    const char *ends[KEYS_MAX + 1];
  } cases[] = {
    { { "aaaaa", "aaaab", "aaaac" } },
    { { "aaaa~", "aaaa\x7f", "aaab!" } },
    { { "aaaa\x7f", "aaab\x01" } },
    { { "aaaa\x7f", "aaa\xc2\x80", "aaa\xc2\x81" } },
    { { "aaa\xdf\xbf", "aa\xe0\xa0\x80" } },
    { { "aa\xed\x9f\xbf", "aa\xee\x80\x80", "aa\xef\xbf\xbf", "a\xf0\x90\x80\x80" } },
    { { "a\xf4\x8f\xbf\xbf", "baaaa" } },
  };
  static const char *const one_partition[] = { "0", NULL };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const char *keys[KEYS_MAX + 1] = { NULL };
      struct paged_store paged
          = { .loop = ev_loop_new (0), .keys = keys, .order = g_string_new ("") };
      struct fl_store store = { .context = &paged, .read = read_one_row, .feed = send_feed };
      struct fl_follower_options options = { .loop = paged.loop,
                                             .store = &store,
                                             .table = "table",
                                             .partitions = one_partition,
                                             .on_row = on_paged_row,
                                             .on_read_end = on_paged_read_end,
                                             .context = &paged };
      g_autoptr (GString) expected = g_string_new ("");
      for (size_t k = 0; k < KEYS_MAX && cases[i].ends[k] != NULL; k++)
        {
          g_autofree char *start = g_strnfill (FL_NAME_MAX - 5, 'k');
          keys[k] = g_strconcat (start, cases[i].ends[k], NULL);
          assert_int_equal (strlen (keys[k]), FL_NAME_MAX);
          g_string_append_printf (expected, "%s ", cases[i].ends[k]);
        }
      struct fl_follower *follower = fl_follower_new (&options);
      if (!paged.is_read || strcmp (paged.order->str, expected->str) != 0)
        fail_msg ("case %zu: %d reads delivered %s", i, paged.reads, paged.order->str);
      fl_follower_free (follower);
      for (size_t k = 0; k < KEYS_MAX; k++)
        g_free ((char *)keys[k]);
      g_string_free (paged.order, TRUE);
      ev_loop_destroy (paged.loop);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_calls_without_reply),
                                      cmocka_unit_test (test_confirmation_after_outage),
                                      cmocka_unit_test (test_replies_late_for_good),
                                      cmocka_unit_test (test_keys_of_full_length) };

  return cmocka_run_group_tests_name ("follower", tests, NULL, NULL);
}
