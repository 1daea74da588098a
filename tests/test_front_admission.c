/* Which submissions flamingo-frontd turns away, and that these never run; each front is a child
 * process, and the store is shared by those of a case. */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <sys/mman.h>
#include <unistd.h>

#include <cmocka.h>
#include <glib.h>

#include "platform/platform.h"
#include "store/tables.h"
#include "support_front.h"
#include "support_http.h"

#define SUBMIT                                                                                     \
  "POST /q/00000000000000aa HTTP/1.1\r\nHost: x.example\r\nContent-Type: application/json\r\n"     \
  "Content-Length: 51\r\n\r\n{\"spec\":\"\",\"steps\":[{\"count\":1,\"cpu\":1,\"memMb\":1}]}"
#define CLOSED "{\"q\":true}"
#define FEED_MS 50
/* Until the feed has delivered a row several times. */
#define KNOWN_US (6 * FEED_MS * 1000)
/* The least time after which a client comes back. */
#define RETRY_AFTER_US (2000 * 1000)

/* What the store holds; shared with the child processes. */
struct rows
{
  int64_t version;
  int64_t job_version; /* of the row at the job's id; 0 for none */
  bool is_job;         /* this row is a job, else a marker */
  char marker[3];
};

struct shared_store
{
  struct ev_loop *loop;
  struct rows *rows;
  const char *left;    /* the closed queues, as a read finds them; NULL for no row */
  const char *renewed; /* as the feed delivers them, each FEED_MS; NULL for no change */
  int64_t apply_ms;    /* delay until a transaction takes effect */
  struct fl_store interface;
};

struct shared_call
{
  const struct shared_store *store;
  ev_timer timer;
  int64_t expected_version;
  bool is_job; /* writes the job, else a marker */
  char marker[3];
  bool is_transaction; /* of the row at the job's id */
  const char *closed;  /* a feed: the row that it delivers; NULL for none */
  void (*done) (void *context, const struct fl_store_reply *reply);
  void *context;
};

static enum fl_store_status
apply (const struct shared_call *call, struct fl_store_row *row)
{
  struct rows *rows = call->store->rows;

  if (rows->job_version == call->expected_version)
    {
      rows->job_version = ++rows->version;
      rows->is_job = call->is_job;
      memcpy (rows->marker, call->marker, sizeof rows->marker);
      return FL_STORE_OK;
    }
  row->key = fl_name_of ("00000000000000aa");
  row->version = rows->job_version;
  row->value
      = rows->is_job ? (struct fl_str){ 3, (char *)"{ }" } : (struct fl_str){ 2, rows->marker };
  return FL_STORE_CONFLICT;
}

static void
on_reply_due (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct shared_call *call = timer->data;
  struct fl_store_row row = { .key = fl_name_of (FL_ADMISSION_CLOSED) };
  struct fl_store_reply reply = { .status = FL_STORE_OK, .rows = &row };

  (void)loop;
  (void)events;
  if (call->is_transaction)
    reply.status = apply (call, &row);
  else if (call->closed != NULL)
    row.value = (struct fl_str){ strlen (call->closed), (char *)call->closed };
  reply.count = row.value.len > 0 ? 1 : 0;
  reply.version = call->store->rows->version;
  call->done (call->context, &reply);
  g_free (call);
}

static struct shared_call *
start_call (const struct shared_store *store,
            int64_t delay_ms,
            void (*done) (void *context, const struct fl_store_reply *reply),
            void *done_context)
{
  struct shared_call *call = g_new0 (struct shared_call, 1);

  *call = (struct shared_call){ .store = store, .done = done, .context = done_context };
  ev_timer_init (&call->timer, on_reply_due, (double)delay_ms / 1000.0, 0.0);
  call->timer.data = call;
  ev_timer_start (store->loop, &call->timer);
  return call;
}

static void
transact (void *context,
          const struct fl_store_transaction *transaction,
          int64_t timeout_ms,
          void (*done) (void *context, const struct fl_store_reply *reply),
          void *done_context)
{
  const struct shared_store *store = context;
  struct shared_call *call = start_call (store, store->apply_ms, done, done_context);

  (void)timeout_ms;
  call->is_transaction = strcmp (transaction->writes[0].table, FL_TABLE_JOBS) == 0;
  call->is_job = transaction->writes[0].value.len > strlen (FL_MARKER_VALUE);
  if (call->is_transaction && !call->is_job)
    memcpy (call->marker, transaction->writes[0].value.data, strlen (FL_MARKER_VALUE));
  call->expected_version
      = transaction->condition_count > 0 ? transaction->conditions[0].version : 0;
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
  const struct shared_store *store = context;
  struct fl_store_row row = { .version = 1 };
  struct fl_store_reply reply
      = { .status = FL_STORE_OK, .rows = &row, .version = store->rows->version };
  const char *value = NULL;

  (void)partition;
  (void)first_key;
  (void)end_key;
  (void)timeout_ms;
  if (strcmp (table, FL_PLATFORM_OPERATOR_TABLE) == 0)
    {
      row.key = fl_name_of (FL_PLATFORM_CONFIGURATION_KEY);
      value = FRONT_CONFIGURATION;
    }
  else if (strcmp (table, FL_TABLE_ADMISSION) == 0)
    {
      row.key = fl_name_of (FL_ADMISSION_CLOSED);
      value = store->left;
    }
  if (value != NULL)
    {
      row.value = (struct fl_str){ strlen (value), (char *)value };
      reply.count = 1;
    }
  done (done_context, &reply);
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
  const struct shared_store *store = context;
  bool has_row = strcmp (table, FL_TABLE_ADMISSION) == 0 && store->renewed != NULL;

  (void)after_version;
  (void)timeout_ms;
  start_call (store, has_row ? FEED_MS : wait_ms, done, done_context)->closed
      = has_row ? store->renewed : NULL;
}

static const struct fl_store *
create_store (struct ev_loop *loop, const void *context)
{
  struct shared_store *store = g_memdup2 (context, sizeof *store);

  store->loop = loop;
  store->interface = (struct fl_store){
    .context = store, .transact = transact, .read = read_range, .feed = feed
  };
  return &store->interface;
}

static struct rows *
create_rows (void)
{
  struct rows *rows
      = mmap (NULL, sizeof *rows, PROT_READ | PROT_WRITE, MAP_SHARED | MAP_ANONYMOUS, -1, 0);

  assert_true (rows != MAP_FAILED);
  rows->version = 1;
  return rows;
}

/* An owner that ended while a queue was closed left the row: each front that started answered 429
 * for three seconds. */
static void
test_closed_queues_of_an_owner_that_ended (void **state)
{
  static const struct
  {
    const char *name;
    const char *left;
    const char *renewed;
    int status;
  } cases[] = { { "no row", NULL, NULL, 200 },
                { "left long ago", CLOSED, NULL, 200 },
                { "renewed", CLOSED, CLOSED, 429 },
                { "closed later", NULL, CLOSED, 429 },
                { "opened later", CLOSED, "{}", 200 } };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct rows *rows = create_rows ();
      const struct shared_store store
          = { .rows = rows, .left = cases[i].left, .renewed = cases[i].renewed, .apply_ms = 5 };
      struct front front = front_start_with_store (create_store, &store);
      usleep (KNOWN_US);
      int status = front_call (&front, SUBMIT);
      front_stop (&front);
      munmap (rows, sizeof *rows);
      if (status != cases[i].status)
        fail_msg ("%s: status %d instead of %d", cases[i].name, status, cases[i].status);
    }
}

/* A host that rejects all submissions, beside another one whose writes take so long that it
 * resolves them with markers. */
struct hosts
{
  struct rows *rows;
  struct front slow;
  struct front rejecting;
};

static struct hosts
start_hosts (int64_t apply_ms)
{
  struct hosts hosts = { .rows = create_rows () };
  const struct shared_store slow = { .rows = hosts.rows, .apply_ms = apply_ms };
  const struct shared_store rejecting = { .rows = hosts.rows, .renewed = CLOSED, .apply_ms = 5 };

  hosts.slow = front_start_with_store (create_store, &slow);
  hosts.rejecting = front_start_with_store (create_store, &rejecting);
  usleep (KNOWN_US);
  return hosts;
}

static void
stop_hosts (struct hosts *hosts)
{
  front_stop (&hosts->slow);
  front_stop (&hosts->rejecting);
  munmap (hosts->rows, sizeof *hosts->rows);
}

/* A submission was rejected with 429, and an earlier one with the same id, which had no response
 * yet, stored the job at another host. */
static void
test_rejected_id_is_not_stored_by_an_earlier_request (void **state)
{
  static const struct
  {
    const char *name;
    int64_t apply_ms;
    int64_t rejected_after_ms; /* the first request */
    int64_t first_status;
    int64_t second_status;
    bool is_stored;
  } cases[] = {
    { "its write is late", 900, 300, 504, 429, false },
    { "its write is later than its marker", 1900, 900, 504, 429, false },
    { "it was stored before", 5, 300, 200, 200, true },
  };
  int failures = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct hosts hosts = start_hosts (cases[i].apply_ms);
      struct test_client clients[2] = { { .fd = -1 }, { .fd = -1 } };
      assert_true (test_client_connect (&clients[0], hosts.slow.port, false));
      assert_true (test_client_connect (&clients[1], hosts.rejecting.port, false));
      assert_true (test_client_request (&clients[0], SUBMIT));
      usleep ((unsigned)cases[i].rejected_after_ms * 1000);
      assert_true (test_client_request (&clients[1], SUBMIT));
      int second = test_client_await (&clients[1]);
      int first = test_client_await (&clients[0]);
      usleep ((unsigned)cases[i].apply_ms * 1000);
      if (first != cases[i].first_status || second != cases[i].second_status
          || hosts.rows->is_job != cases[i].is_stored)
        {
          print_error ("%s: status %d and %d, stored %d\n", cases[i].name, first, second,
                       hosts.rows->is_job);
          failures++;
        }
      test_client_close (&clients[0]);
      test_client_close (&clients[1]);
      stop_hosts (&hosts);
    }
  assert_int_equal (failures, 0);
}

/* A client that was told to come back later does so, at another host. */
static void
test_rejected_id_is_stored_by_a_later_request (void **state)
{
  struct hosts hosts = start_hosts (5);

  (void)state;
  assert_int_equal (front_call (&hosts.rejecting, SUBMIT), 429);
  usleep (RETRY_AFTER_US);
  assert_int_equal (front_call (&hosts.slow, SUBMIT), 200);
  assert_true (hosts.rows->is_job);
  stop_hosts (&hosts);
}

int
main (void)
{
  static const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_closed_queues_of_an_owner_that_ended),
    cmocka_unit_test (test_rejected_id_is_not_stored_by_an_earlier_request),
    cmocka_unit_test (test_rejected_id_is_stored_by_a_later_request),
  };

  return cmocka_run_group_tests_name ("front_admission", tests, NULL, NULL);
}
