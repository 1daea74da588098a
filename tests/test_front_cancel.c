/* Cancellations of jobs that are not stored, or not yet: two processes of flamingo-frontd with the
 * same rows. */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>
#include <glib.h>

#include "platform/platform.h"
#include "store/tables.h"
#include "support_front.h"
#include "support_http.h"

#define JOB_BODY "{\"spec\":\"\",\"steps\":[{\"count\":1,\"cpu\":1,\"memMb\":1}]}"
G_STATIC_ASSERT (sizeof JOB_BODY == 51 + 1); /* the Content-Length below */
#define JOB_ID "00000000000000aa"
#define PATH "/q/" JOB_ID
#define HEADERS "Host: x.example\r\nContent-Type: application/json\r\n"
#define SUBMIT_HEAD "POST " PATH " HTTP/1.1\r\n" HEADERS "Content-Length: 51\r\n"
#define SUBMIT SUBMIT_HEAD "\r\n" JOB_BODY
#define HASTY_SUBMIT SUBMIT_HEAD "Deadline-Ms: 300\r\n\r\n" JOB_BODY
#define SHOW "GET " PATH " HTTP/1.1\r\n" HEADERS "\r\n"
#define CANCEL "DELETE " PATH " HTTP/1.1\r\n" HEADERS "\r\n"
#define ROWS_MAX 16
#define VALUE_MAX 1000
/* Longer than a store call of a front may take before the front goes on without it. */
#define LATE_MS 900
#define SETTLED_US ((LATE_MS + 300) * 1000)
#define IDLE_US (300 * 1000)
#define STEPS_MAX 6

/* --- a store of few rows, shared with the child processes --- */

struct shared_row
{
  struct fl_name key;
  int64_t version;
  size_t len;
  char value[VALUE_MAX];
};

struct rows
{
  int64_t version;
  size_t count;
  struct shared_row rows[ROWS_MAX];
};

struct row_store_options
{
  struct rows *rows;
  int64_t apply_delay_ms; /* of transactions */
};

struct row_store
{
  struct ev_loop *loop;
  struct row_store_options options;
  struct fl_store interface;
};

struct row_call
{
  struct row_store *store;
  ev_timer timer;
  struct fl_store_condition condition;
  bool is_conditional;
  struct shared_row write;
  void (*done) (void *context, const struct fl_store_reply *reply);
  void *context;
};

static struct shared_row *
find_row (struct rows *rows, const struct fl_name *key)
{
  for (size_t i = 0; i < rows->count; i++)
    if (fl_name_eq (&rows->rows[i].key, key))
      return &rows->rows[i];
  return NULL;
}

static struct fl_store_row
view_row (struct shared_row *row)
{
  return (struct fl_store_row){ .table = fl_name_of (FL_TABLE_JOBS),
                                .key = row->key,
                                .version = row->version,
                                .value = { row->len, row->value } };
}

static void
on_apply_due (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct row_call *call = timer->data;
  struct rows *rows = call->store->options.rows;
  struct shared_row *row = find_row (rows, &call->write.key);
  struct fl_store_row conflict;
  struct fl_store_reply reply = { .status = FL_STORE_OK };

  (void)loop;
  (void)events;
  if (call->is_conditional && (row != NULL ? row->version : 0) != call->condition.version)
    {
      reply.status = FL_STORE_CONFLICT;
      if (row != NULL)
        {
          conflict = view_row (row);
          reply.rows = &conflict;
          reply.count = 1;
        }
    }
  else
    {
      if (row == NULL)
        row = &rows->rows[rows->count++];
      *row = call->write;
      row->version = ++rows->version;
    }
  reply.version = rows->version;
  call->done (call->context, &reply);
  g_free (call);
}

static void
transact (void *context,
          const struct fl_store_transaction *transaction,
          int64_t timeout_ms,
          void (*done) (void *context, const struct fl_store_reply *reply),
          void *done_context)
{
  struct row_store *store = context;
  struct row_call *call = g_new0 (struct row_call, 1);
  const struct fl_store_write *write = &transaction->writes[0];

  (void)timeout_ms;
  g_assert (write->value.len <= VALUE_MAX);
  *call = (struct row_call){ .store = store, .done = done, .context = done_context };
  call->is_conditional = transaction->condition_count > 0;
  if (call->is_conditional)
    call->condition = transaction->conditions[0];
  call->write.key = write->key;
  call->write.len = write->value.len;
  memcpy (call->write.value, write->value.data, write->value.len);
  ev_timer_init (&call->timer, on_apply_due, (double)store->options.apply_delay_ms / 1000.0, 0.0);
  call->timer.data = call;
  ev_timer_start (store->loop, &call->timer);
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
  struct row_store *store = context;
  struct rows *rows = store->options.rows;
  struct fl_store_row found[ROWS_MAX];
  struct fl_store_reply reply = { .status = FL_STORE_OK, .rows = found, .version = 1 };

  (void)partition;
  (void)timeout_ms;
  if (strcmp (table, FL_PLATFORM_OPERATOR_TABLE) == 0)
    found[reply.count++] = (struct fl_store_row){ .key = fl_name_of (FL_PLATFORM_CONFIGURATION_KEY),
                                                  .version = 1,
                                                  .value = { strlen (FRONT_CONFIGURATION),
                                                             (char *)FRONT_CONFIGURATION } };
  for (size_t i = 0; i < rows->count && strcmp (table, FL_TABLE_JOBS) == 0; i++)
    if (strcmp (rows->rows[i].key.data, first_key) >= 0
        && strcmp (rows->rows[i].key.data, end_key) < 0)
      found[reply.count++] = view_row (&rows->rows[i]);
  done (done_context, &reply);
}

struct feed_call
{
  ev_timer timer;
  void (*done) (void *context, const struct fl_store_reply *reply);
  void *context;
};

static void
on_feed_due (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct feed_call *call = timer->data;
  struct fl_store_reply reply = { .status = FL_STORE_OK, .version = 1 };

  (void)loop;
  (void)events;
  call->done (call->context, &reply);
  g_free (call);
}

static void
feed_nothing (void *context,
              const char *table,
              int64_t after_version,
              int64_t wait_ms,
              int64_t timeout_ms,
              void (*done) (void *context, const struct fl_store_reply *reply),
              void *done_context)
{
  struct row_store *store = context;
  struct feed_call *call = g_new0 (struct feed_call, 1);

  (void)table;
  (void)after_version;
  (void)timeout_ms;
  call->done = done;
  call->context = done_context;
  ev_timer_init (&call->timer, on_feed_due, (double)wait_ms / 1000.0, 0.0);
  call->timer.data = call;
  ev_timer_start (store->loop, &call->timer);
}

static const struct fl_store *
create_row_store (struct ev_loop *loop, const void *context)
{
  struct row_store *store = g_new0 (struct row_store, 1);

  store->loop = loop;
  store->options = *(const struct row_store_options *)context;
  store->interface = (struct fl_store){
    .context = store, .transact = transact, .read = read_range, .feed = feed_nothing
  };
  return &store->interface;
}

/* @return the number of rows of the job. The processes write other rows, too. */
static size_t
count_job_rows (const struct rows *rows)
{
  size_t count = 0;

  for (size_t i = 0; i < rows->count; i++)
    count += g_str_has_prefix (rows->rows[i].key.data, JOB_ID);
  return count;
}

static struct rows *
rows_new (void)
{
  struct rows *rows
      = mmap (NULL, sizeof *rows, PROT_READ | PROT_WRITE, MAP_SHARED | MAP_ANONYMOUS, -1, 0);

  assert_true (rows != MAP_FAILED);
  return rows;
}

/* --- clients --- */

/* A job that was cancelled before it was submitted was stored later. */
static void
test_cancelled_id_stays_cancelled (void **state)
{
  static const struct
  {
    const char *name;
    struct
    {
      const char *request;
      int status;
    } steps[STEPS_MAX];
    size_t rows; /* that are left */
  } cases[] = {
    { "not stored", { { CANCEL, 410 }, { SUBMIT, 503 }, { SHOW, 410 }, { CANCEL, 410 } }, 1 },
    { "stored", { { SUBMIT, 200 }, { CANCEL, 200 }, { SUBMIT, 200 }, { CANCEL, 200 } }, 2 },
    { "not cancelled", { { SHOW, 410 }, { SUBMIT, 200 }, { SUBMIT, 200 }, { SHOW, 200 } }, 1 },
  };
  int failures = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct row_store_options options = { .rows = rows_new () };
      struct front front = front_start_with_store (create_row_store, &options);

      for (int step = 0; step < STEPS_MAX && cases[i].steps[step].request != NULL; step++)
        {
          int status = front_call (&front, cases[i].steps[step].request);
          if (status == cases[i].steps[step].status)
            continue;
          print_error ("%s, step %d: status %d\n", cases[i].name, step, status);
          failures++;
        }
      if (count_job_rows (options.rows) != cases[i].rows)
        {
          print_error ("%s: %d rows\n", cases[i].name, (int)count_job_rows (options.rows));
          failures++;
        }
      front_stop (&front);
      munmap (options.rows, sizeof *options.rows);
    }
  assert_int_equal (failures, 0);
}

/* A host stored a job that another host had cancelled meanwhile. */
static void
test_late_submission_of_a_cancelled_job (void **state)
{
  static const struct
  {
    const char *name;
    bool is_suspended;      /* the process, while the client waits */
    int64_t apply_delay_ms; /* of the writes of the late host */
    const char *submission;
  } cases[] = {
    { "suspended process", true, 0, SUBMIT },
    { "suspended process, time over", true, 0, HASTY_SUBMIT },
    { "late write", false, LATE_MS, HASTY_SUBMIT },
  };
  int failures = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct row_store_options options = { rows_new (), cases[i].apply_delay_ms };
      struct front late = front_start_with_store (create_row_store, &options);
      struct test_client client = { .fd = -1 };
      struct fl_name id = fl_name_of (JOB_ID);

      options.apply_delay_ms = 0;
      struct front prompt = front_start_with_store (create_row_store, &options);
      if (cases[i].is_suspended)
        kill (late.pid, SIGSTOP);
      assert_true (test_client_connect (&client, late.port, false));
      assert_true (test_client_request (&client, cases[i].submission));
      if (!cases[i].is_suspended)
        assert_int_equal (test_client_await (&client), 504);
      else
        usleep (LATE_MS * 1000);
      int status = front_call (&prompt, CANCEL);
      kill (late.pid, SIGCONT);
      usleep (SETTLED_US);
      const struct shared_row *row = find_row (options.rows, &id);
      if (status != 410 || row == NULL || row->len > strlen (FL_MARKER_VALUE))
        {
          print_error ("%s: status %d, the job is %s\n", cases[i].name, status,
                       row == NULL ? "absent" : "stored");
          failures++;
        }
      test_client_close (&client);
      front_stop (&late);
      front_stop (&prompt);
      munmap (options.rows, sizeof *options.rows);
    }
  assert_int_equal (failures, 0);
}

/* A process that had been suspended stored jobs whose clients had left. */
static void
test_submission_that_waited_unread (void **state)
{
  static const struct
  {
    const char *name;
    bool is_suspended;
    const char *submission;
    enum
    {
      STAYS,
      SHUTS_DOWN, /* sends its end, and waits */
      CLOSES,
      RESETS,
    } client;
    int status; /* 0: the client is gone */
  } cases[] = {
    { "waiting client", true, SUBMIT, STAYS, 200 },
    { "time over", true, HASTY_SUBMIT, STAYS, 504 },
    { "closed", true, SUBMIT, CLOSES, 0 },
    { "reset", true, SUBMIT, RESETS, 0 },
    { "closed for sending, running process", false, SUBMIT, SHUTS_DOWN, 200 },
  };
  int failures = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct row_store_options options = { .rows = rows_new () };
      struct front front = front_start_with_store (create_row_store, &options);
      struct test_client client = { .fd = -1 };
      struct linger linger = { 1, 0 };
      int status = 0;

      usleep (IDLE_US);
      if (cases[i].is_suspended)
        kill (front.pid, SIGSTOP);
      assert_true (test_client_connect (&client, front.port, false));
      assert_true (test_client_request (&client, cases[i].submission));
      if (cases[i].client == SHUTS_DOWN)
        shutdown (client.fd, SHUT_WR);
      if (cases[i].client == RESETS)
        setsockopt (client.fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
      if (cases[i].client == CLOSES || cases[i].client == RESETS)
        test_client_close (&client);
      if (cases[i].is_suspended)
        usleep (LATE_MS * 1000);
      kill (front.pid, SIGCONT);
      if (cases[i].status > 0)
        status = test_client_await (&client);
      else
        usleep (IDLE_US);
      size_t rows = cases[i].status == 200 ? 1 : 0;
      if (status != cases[i].status || count_job_rows (options.rows) != rows)
        {
          print_error ("%s: status %d, %d rows\n", cases[i].name, status,
                       (int)count_job_rows (options.rows));
          failures++;
        }
      test_client_close (&client);
      front_stop (&front);
      munmap (options.rows, sizeof *options.rows);
    }
  assert_int_equal (failures, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_cancelled_id_stays_cancelled),
                                      cmocka_unit_test (test_late_submission_of_a_cancelled_job),
                                      cmocka_unit_test (test_submission_that_waited_unread) };

  return cmocka_run_group_tests_name ("front_cancel", tests, NULL, NULL);
}
