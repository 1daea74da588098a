/* What clients see of flamingo-frontd while replies of the store are late, in a child process. */
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

#define JOB_BODY "{\"spec\":\"\",\"steps\":[{\"count\":1,\"cpu\":1,\"memMb\":1}]}"
G_STATIC_ASSERT (sizeof JOB_BODY == 51 + 1); /* the Content-Length below */
#define HEADERS "Host: x.example\r\nContent-Type: application/json\r\n"
#define SUBMIT_REST " HTTP/1.1\r\n" HEADERS "Content-Length: 51\r\n"
#define SUBMIT "POST /q/00000000000000aa" SUBMIT_REST "\r\n" JOB_BODY
#define SHOW "GET /q/00000000000000aa HTTP/1.1\r\n" HEADERS "\r\n"
#define CANCEL "DELETE /q/00000000000000aa HTTP/1.1\r\n" HEADERS "\r\n"
#define COUNT "GET /q/ HTTP/1.1\r\n" HEADERS "\r\n"

/* --- replies that are late for good --- */

/* Every store call was given up after 600 ms and repeated, so that no request was served in time
 * where each reply took longer. */
static void
test_requests_while_replies_are_late (void **state)
{
  static const struct
  {
    const char *name;
    const char *request;
    int64_t store_delay_ms;
    int status; /* of the response to each of two requests, one after the other */
  } cases[] = {
    { "submission, 500 ms", SUBMIT, 500, 200 },
    { "submission, 650 ms", SUBMIT, 650, 200 },
    { "submission, 1,200 ms", SUBMIT, 1200, 200 },
    { "submission, 2,500 ms", SUBMIT, 2500, 200 },
    { "query, two reads, 650 ms", SHOW, 650, 410 },
    { "query, two reads, 1,200 ms", SHOW, 1200, 410 },
    { "cancellation, 800 ms", CANCEL, 800, 410 },
    { "cancellation, 2,000 ms", CANCEL, 2000, 410 },
    { "count, 800 ms", COUNT, 800, 200 },
    { "count, 2,000 ms", COUNT, 2000, 200 },
    /* Beyond the client's time nothing can be known. */
    { "submission, 3,500 ms", SUBMIT, 3500, 504 },
    { "query, two reads, 2,000 ms", SHOW, 2000, 504 },
  };
  struct front fronts[G_N_ELEMENTS (cases)];
  struct test_client clients[G_N_ELEMENTS (cases)];
  int failures = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fronts[i] = front_start (cases[i].store_delay_ms, FRONT_CONFIGURATION);
      clients[i] = (struct test_client){ .fd = -1 };
      assert_true (test_client_connect (&clients[i], fronts[i].port, false));
    }
  for (int round = 0; round < 2; round++)
    {
      for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
        test_client_request (&clients[i], cases[i].request);
      for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
        {
          int status = test_client_await (&clients[i]);
          if (status == cases[i].status)
            continue;
          print_error ("%s, round %d: status %d instead of %d\n", cases[i].name, round, status,
                       cases[i].status);
          failures++;
        }
    }
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      int left_open;
      test_client_close (&clients[i]);
      kill (fronts[i].pid, SIGTERM);
      assert_int_equal (front_await_end (&fronts[i], &left_open), 0);
    }
  assert_int_equal (failures, 0);
}

/* --- submissions over a store with late and lost replies --- */

#define JOBS 240
#define ROUND_JOBS 40
#define APPLY_DELAY_MAX_MS 1400
#define REPLY_DELAY_MAX_MS 1400
#define REJECTED_PERCENT 15
#define OFTEN_REJECTED_PERCENT 90 /* of the calls of every third job */
#define PROMPT_PERCENT 50         /* of the calls; their delays are at most PROMPT_MAX_MS */
#define PROMPT_MAX_MS 60
#define LOST_PERCENT 20
#define ADMISSION_FEED_MS 50
/* After it no write takes effect any more. */
#define SETTLED_US ((APPLY_DELAY_MAX_MS + 200) * 1000)

enum row_content
{
  NO_ROW,
  MARKER_ROW,
  JOB_ROW
};

struct row
{
  int64_t version;
  enum row_content content;
};

/* The rows of the jobs, by the number in the id; shared with the child process. */
struct rows
{
  int64_t version;
  struct row jobs[JOBS];
  bool is_closed; /* the queue accepts no further jobs */
};

struct random_store
{
  struct ev_loop *loop;
  struct rows *rows;
  struct fl_store interface;
};

/* A transaction of one row in flight. */
struct random_call
{
  struct random_store *store;
  ev_timer apply_timer;
  ev_timer reply_timer;
  int job;
  int64_t expected_version;
  enum row_content content;
  enum fl_store_status status;
  bool is_applied;
  bool is_answered;
  struct row conflict;
  int64_t version;
  void (*done) (void *context, const struct fl_store_reply *reply);
  void *context;
};

static int
parse_job (const struct fl_name *key)
{
  return (int)g_ascii_strtoll (key->data, NULL, 16);
}

static void
free_ended_call (struct random_call *call)
{
  if (call->is_applied && call->is_answered)
    g_free (call);
}

static void
on_apply_due (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct random_call *call = timer->data;
  struct rows *rows = call->store->rows;
  struct row *row = &rows->jobs[call->job];

  (void)loop;
  (void)events;
  if (row->version == call->expected_version)
    *row = (struct row){ ++rows->version, call->content };
  else if (call->status == FL_STORE_OK)
    call->status = FL_STORE_CONFLICT;
  call->conflict = *row;
  call->version = rows->version;
  call->is_applied = true;
  free_ended_call (call);
}

static void
on_random_reply_due (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct random_call *call = timer->data;
  struct fl_store_row row = { .table = fl_name_of (FL_TABLE_JOBS),
                              .key = fl_name_format ("%016x", (unsigned)call->job),
                              .version = call->conflict.version,
                              .value = { 2, (char *)FL_MARKER_VALUE } };
  struct fl_store_reply reply = { .status = call->status, .version = call->version };

  (void)loop;
  (void)events;
  if (call->conflict.content == JOB_ROW)
    row.value = (struct fl_str){ strlen (JOB_BODY), (char *)JOB_BODY };
  if (call->status == FL_STORE_CONFLICT && call->conflict.version > 0)
    {
      reply.rows = &row;
      reply.count = 1;
    }
  call->is_answered = true;
  call->done (call->context, &reply);
  free_ended_call (call);
}

static void
start_timer (struct ev_loop *loop,
             ev_timer *timer,
             void (*callback) (struct ev_loop *loop, ev_timer *timer, int events),
             int64_t delay_ms,
             void *data)
{
  ev_timer_init (timer, callback, (double)delay_ms / 1000.0, 0.0);
  timer->data = data;
  ev_timer_start (loop, timer);
}

static void
transact_randomly (void *context,
                   const struct fl_store_transaction *transaction,
                   int64_t timeout_ms,
                   void (*done) (void *context, const struct fl_store_reply *reply),
                   void *done_context)
{
  struct random_store *store = context;
  struct random_call *call = g_new0 (struct random_call, 1);
  bool is_prompt = g_random_int_range (0, 100) < PROMPT_PERCENT;
  int64_t apply_ms = g_random_int_range (0, is_prompt ? PROMPT_MAX_MS : APPLY_DELAY_MAX_MS);
  int64_t reply_ms
      = apply_ms + 1 + g_random_int_range (0, is_prompt ? PROMPT_MAX_MS : REPLY_DELAY_MAX_MS);
  bool is_job = strcmp (transaction->writes[0].table, FL_TABLE_JOBS) == 0;
  int job = is_job ? parse_job (&transaction->writes[0].key) : 0;
  int rejected_percent = job % 3 == 2 ? OFTEN_REJECTED_PERCENT : REJECTED_PERCENT;

  *call = (struct random_call){ .store = store, .done = done, .context = done_context };
  if (!is_job || g_random_int_range (0, 100) < rejected_percent)
    {
      call->status = is_job ? FL_STORE_REJECTED : FL_STORE_OK;
      call->is_applied = true;
      start_timer (store->loop, &call->reply_timer, on_random_reply_due, 5, call);
      return;
    }
  call->job = job;
  call->expected_version = transaction->conditions[0].version;
  call->content
      = transaction->writes[0].value.len > strlen (FL_MARKER_VALUE) ? JOB_ROW : MARKER_ROW;
  call->status = FL_STORE_OK;
  if (reply_ms > timeout_ms || g_random_int_range (0, 100) < LOST_PERCENT)
    {
      call->status = FL_STORE_UNKNOWN;
      reply_ms = timeout_ms;
    }
  start_timer (store->loop, &call->apply_timer, on_apply_due, apply_ms, call);
  start_timer (store->loop, &call->reply_timer, on_random_reply_due, reply_ms, call);
}

static void
read_configuration (void *context,
                    const char *table,
                    const char *partition,
                    const char *first_key,
                    const char *end_key,
                    int64_t timeout_ms,
                    void (*done) (void *context, const struct fl_store_reply *reply),
                    void *done_context)
{
  struct fl_store_row row
      = { .key = fl_name_of (FL_PLATFORM_CONFIGURATION_KEY),
          .version = 1,
          .value = { strlen (FRONT_CONFIGURATION), (char *)FRONT_CONFIGURATION } };
  struct fl_store_reply reply = { .status = FL_STORE_OK, .rows = &row, .version = 1 };

  (void)context;
  (void)partition;
  (void)first_key;
  (void)end_key;
  (void)timeout_ms;
  reply.count = strcmp (table, FL_PLATFORM_OPERATOR_TABLE) == 0 ? 1 : 0;
  done (done_context, &reply);
}

static void
on_admission_due (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct random_call *call = timer->data;
  const char *value = call->store->rows->is_closed ? "{\"q\":true}" : "{}";
  struct fl_store_row row
      = { .key = fl_name_of (FL_ADMISSION_CLOSED), .value = { strlen (value), (char *)value } };
  struct fl_store_reply reply = { .status = FL_STORE_OK, .rows = &row, .count = 1 };

  (void)loop;
  (void)events;
  call->done (call->context, &reply);
  g_free (call);
}

/* The queues that are closed change; nothing else does. */
static void
feed_admission (void *context,
                const char *table,
                int64_t after_version,
                int64_t wait_ms,
                int64_t timeout_ms,
                void (*done) (void *context, const struct fl_store_reply *reply),
                void *done_context)
{
  struct random_store *store = context;
  struct random_call *call = g_new0 (struct random_call, 1);

  (void)after_version;
  (void)timeout_ms;
  *call = (struct random_call){
    .store = store, .status = FL_STORE_OK, .is_applied = true, .done = done, .context = done_context
  };
  if (strcmp (table, FL_TABLE_ADMISSION) == 0)
    start_timer (store->loop, &call->reply_timer, on_admission_due, ADMISSION_FEED_MS, call);
  else
    start_timer (store->loop, &call->reply_timer, on_random_reply_due, wait_ms, call);
}

static const struct fl_store *
create_random_store (struct ev_loop *loop, const void *context)
{
  struct random_store *store = g_new0 (struct random_store, 1);

  store->loop = loop;
  store->rows = *(struct rows *const *)context;
  store->interface = (struct fl_store){ .context = store,
                                        .transact = transact_randomly,
                                        .read = read_configuration,
                                        .feed = feed_admission };
  return &store->interface;
}

/* Submits the jobs from @first on that got no decision, ROUND_JOBS at a time; @deadline_ms is the
 * time of the client. Updates @statuses. */
static void
submit_again (const struct front *front, int first, int deadline_ms, int *statuses)
{
  struct test_client clients[ROUND_JOBS];

  for (int i = 0; i < ROUND_JOBS; i++)
    {
      g_autofree char *request
          = g_strdup_printf ("POST /q/%016x" SUBMIT_REST "Deadline-Ms: %d\r\n\r\n" JOB_BODY,
                             (unsigned)(first + i), deadline_ms);
      clients[i] = (struct test_client){ .fd = -1 };
      if (statuses[first + i] != 0 && statuses[first + i] != 504)
        continue;
      assert_true (test_client_connect (&clients[i], front->port, false));
      assert_true (test_client_request (&clients[i], request));
    }
  for (int i = 0; i < ROUND_JOBS; i++)
    if (clients[i].fd >= 0)
      {
        statuses[first + i] = test_client_await (&clients[i]);
        test_client_close (&clients[i]);
      }
}

/* A queue is closed between two requests of the same job, of which the first got no decision, since
 * its write may take effect later. A job that gets 429 then is never stored, and one that was
 * stored remains accepted. */
static void
test_closed_queue_while_writes_are_late (void **state)
{
  struct rows *rows
      = mmap (NULL, sizeof *rows, PROT_READ | PROT_WRITE, MAP_SHARED | MAP_ANONYMOUS, -1, 0);
  struct front front;
  int statuses[JOBS] = { 0 };
  int turned_away = 0;
  int accepted = 0;
  int left_open;

  (void)state;
  assert_true (rows != MAP_FAILED);
  front = front_start_with_store (create_random_store, &rows);
  for (int first = 0; first < JOBS; first += ROUND_JOBS)
    {
      rows->is_closed = false;
      usleep (4 * ADMISSION_FEED_MS * 1000);
      submit_again (&front, first, 400, statuses);
      rows->is_closed = true;
      usleep (4 * ADMISSION_FEED_MS * 1000);
      for (int i = first; i < first + ROUND_JOBS; i++)
        accepted += statuses[i] == 504 ? 0 : 1;
      submit_again (&front, first, 3000, statuses);
    }
  usleep (SETTLED_US);
  kill (front.pid, SIGTERM);
  assert_int_equal (front_await_end (&front, &left_open), 0);
  for (int i = 0; i < JOBS; i++)
    {
      bool is_stored = rows->jobs[i].content == JOB_ROW;
      turned_away += statuses[i] == 429;
      if ((statuses[i] == 200 && !is_stored)
          || (statuses[i] != 504 && statuses[i] != 200 && is_stored))
        fail_msg ("job %d: status %d, but it is %s", i, statuses[i],
                  is_stored ? "stored" : "not stored");
    }
  printf ("  %d decided before the queue was closed, %d turned away\n", accepted, turned_away);
  assert_true (turned_away > 0 && accepted > 0);
  munmap (rows, sizeof *rows);
}

/* A job whose submission got 200 is stored, and one whose submission got 503 never is, whichever
 * replies were late or lost. */
static void
test_submissions_with_late_and_lost_replies (void **state)
{
  static const int deadlines_ms[] = { 400, 900, 1500, 3000 };
  struct rows *rows
      = mmap (NULL, sizeof *rows, PROT_READ | PROT_WRITE, MAP_SHARED | MAP_ANONYMOUS, -1, 0);
  struct front front;
  int statuses[JOBS];
  int counts[4] = { 0 }; /* of 200, 503, 504, others */
  int left_open;

  (void)state;
  assert_true (rows != MAP_FAILED);
  front = front_start_with_store (create_random_store, &rows);
  for (int first = 0; first < JOBS; first += ROUND_JOBS)
    {
      struct test_client clients[ROUND_JOBS];
      for (int i = 0; i < ROUND_JOBS; i++)
        {
          g_autofree char *request = g_strdup_printf (
              "POST /q/%016x" SUBMIT_REST "Deadline-Ms: %d\r\n\r\n" JOB_BODY, (unsigned)(first + i),
              deadlines_ms[i % (int)G_N_ELEMENTS (deadlines_ms)]);
          clients[i] = (struct test_client){ .fd = -1 };
          assert_true (test_client_connect (&clients[i], front.port, false));
          assert_true (test_client_request (&clients[i], request));
        }
      for (int i = 0; i < ROUND_JOBS; i++)
        {
          statuses[first + i] = test_client_await (&clients[i]);
          test_client_close (&clients[i]);
        }
    }
  usleep (SETTLED_US);
  kill (front.pid, SIGTERM);
  assert_int_equal (front_await_end (&front, &left_open), 0);
  for (int i = 0; i < JOBS; i++)
    {
      bool is_stored = rows->jobs[i].content == JOB_ROW;
      int status = statuses[i];
      counts[status == 200 ? 0 : status == 503 ? 1 : status == 504 ? 2 : 3]++;
      if ((status == 200 && !is_stored) || (status == 503 && is_stored))
        fail_msg ("job %d: status %d, but it is %s", i, status,
                  is_stored ? "stored" : "not stored");
    }
  printf ("  %d accepted, %d rejected, %d unknown\n", counts[0], counts[1], counts[2]);
  assert_true (counts[0] > 0 && counts[1] > 0 && counts[2] > 0);
  assert_int_equal (counts[3], 0);
  munmap (rows, sizeof *rows);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_requests_while_replies_are_late),
          cmocka_unit_test (test_submissions_with_late_and_lost_replies),
          cmocka_unit_test (test_closed_queue_while_writes_are_late) };

  return cmocka_run_group_tests_name ("front_late", tests, NULL, NULL);
}
