/* What clients see of flamingo-frontd while it stops: every request that was sent completely gets a
 * complete response. Each case runs fl_frontd_serve in a child process and stops it by SIGTERM. */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>
#include <glib.h>

#include "support_front.h"
#include "support_http.h"

/* Much longer than any timeout of a store call. */
#define NEVER_MS 1000000

#define JOB_BODY "{\"spec\":\"\",\"steps\":[{\"count\":1,\"cpu\":1,\"memMb\":1}]}"
G_STATIC_ASSERT (sizeof JOB_BODY == 51 + 1); /* the Content-Length below */
#define HEADERS "Host: x.example\r\nContent-Type: application/json\r\n"
#define SUBMIT_HEAD "POST /q/00000000000000aa HTTP/1.1\r\n" HEADERS "Content-Length: 51\r\n\r\n"
#define SUBMIT SUBMIT_HEAD JOB_BODY
#define SHOW "GET /q/00000000000000aa HTTP/1.1\r\n" HEADERS "\r\n"
#define CANCEL "DELETE /q/00000000000000aa HTTP/1.1\r\n" HEADERS "\r\n"
#define COUNT "GET /q/ HTTP/1.1\r\n" HEADERS "\r\n"
#define NATIVE_WAIT "GET /v1/jobs/00000000000000aa?queue=q&wait=1 HTTP/1.1\r\n" HEADERS "\r\n"

/* --- one request that is open when the stop begins --- */

/* A request, in two parts: one is sent before the stop and the other while stopping. */
static const struct
{
  const char *name;
  int64_t store_delay_ms;
  const char *configuration;
  bool is_native;
  const char *before;
  const char *after;
  int status; /* of the response */
} open_request_cases[] = {
  { "a submission waits for the store", 400, FRONT_CONFIGURATION, false, SUBMIT, "", 200 },
  { "a query waits for the store", 400, FRONT_CONFIGURATION, false, SHOW, "", 410 },
  { "a count waits for the store", 400, FRONT_CONFIGURATION, false, COUNT, "", 200 },
  /* 503 would say that the job was not accepted. */
  { "a submission of unknown outcome", NEVER_MS, FRONT_CONFIGURATION, false, SUBMIT, "", 504 },
  { "a query without a reply of the store", NEVER_MS, FRONT_CONFIGURATION, false, SHOW, "", 504 },
  { "a cancellation without a reply", NEVER_MS, FRONT_CONFIGURATION, false, CANCEL, "", 504 },
  { "a count without a reply", NEVER_MS, FRONT_CONFIGURATION, false, COUNT, "", 504 },
  { "a native request waits for the store", NEVER_MS, FRONT_CONFIGURATION, true, NATIVE_WAIT, "",
    504 },
  { "a submission waits for the configuration", 0, NULL, false, SUBMIT, "", 503 },
  { "the rest of the body arrives while stopping", 0, FRONT_CONFIGURATION, false, SUBMIT_HEAD,
    JOB_BODY, 200 },
  { "a half-sent body waits for the configuration", 0, NULL, false, SUBMIT_HEAD, JOB_BODY, 503 },
};

static void
test_open_request_is_answered (void **state)
{
  struct front fronts[G_N_ELEMENTS (open_request_cases)];
  struct test_client clients[G_N_ELEMENTS (open_request_cases)];
  int failures = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (open_request_cases); i++)
    fronts[i]
        = front_start (open_request_cases[i].store_delay_ms, open_request_cases[i].configuration);
  for (size_t i = 0; i < G_N_ELEMENTS (open_request_cases); i++)
    {
      int port = open_request_cases[i].is_native ? fronts[i].native_port : fronts[i].port;
      clients[i] = (struct test_client){ .fd = -1 };
      assert_true (test_client_connect (&clients[i], port, false));
      test_client_request (&clients[i], open_request_cases[i].before);
    }
  usleep (100 * 1000);
  for (size_t i = 0; i < G_N_ELEMENTS (open_request_cases); i++)
    kill (fronts[i].pid, SIGTERM);
  usleep (100 * 1000);
  for (size_t i = 0; i < G_N_ELEMENTS (open_request_cases); i++)
    test_client_send (&clients[i], open_request_cases[i].after);
  for (size_t i = 0; i < G_N_ELEMENTS (open_request_cases); i++)
    {
      int status = test_client_await (&clients[i]);
      int left_open;
      int code = front_await_end (&fronts[i], &left_open);
      test_client_close (&clients[i]);
      if (status == open_request_cases[i].status && code == 0 && left_open == 0)
        continue;
      print_error ("%s: status %d instead of %d, exit code %d, %d requests left open\n",
                   open_request_cases[i].name, status, open_request_cases[i].status, code,
                   left_open);
      failures++;
    }
  assert_int_equal (failures, 0);
}

/* --- a process that is held up while it stops --- */

/* Past the time at which the process ends, before which all requests get their responses. */
#define HELD_UP_MS ((FRONT_GRACEFUL_STOP_S * 1000) - 200)
#define LOG_MAX 10000

static const struct
{
  const char *name;
  const char *configuration;
  bool is_native;
  const char *request;
  int status; /* of the response */
} held_up_cases[] = {
  { "a submission", FRONT_CONFIGURATION, false, SUBMIT, 504 },
  { "a query", FRONT_CONFIGURATION, false, SHOW, 504 },
  { "a cancellation", FRONT_CONFIGURATION, false, CANCEL, 504 },
  { "a count", FRONT_CONFIGURATION, false, COUNT, 504 },
  { "a native request", FRONT_CONFIGURATION, true, NATIVE_WAIT, 504 },
  /* Rejected, since 504 would say that the job may have been accepted. */
  { "a submission that waits for the configuration", NULL, false, SUBMIT, 503 },
};

/* Waits until the log of @front, which shares its file position, has the event "stopping". */
static void
await_stopping (const struct front *front)
{
  int64_t guard_us = g_get_monotonic_time () + SUPPORT_HTTP_GUARD_MS * 1000;
  char text[LOG_MAX + 1] = "";

  while (strstr (text, "event=stopping") == NULL)
    {
      ssize_t len = pread (fileno (front->log), text, LOG_MAX, 0);
      text[MAX (len, 0)] = '\0';
      assert_true (g_get_monotonic_time () < guard_us);
      usleep (1000);
    }
}

/* The process gets no CPU from the beginning of the stop until after the time for responses, and
 * for the end: it responds before it decides to end. */
static void
test_held_up_process_responds_before_it_ends (void **state)
{
  struct front fronts[G_N_ELEMENTS (held_up_cases)];
  struct test_client clients[G_N_ELEMENTS (held_up_cases)];
  int failures = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (held_up_cases); i++)
    fronts[i] = front_start (NEVER_MS, held_up_cases[i].configuration);
  for (size_t i = 0; i < G_N_ELEMENTS (held_up_cases); i++)
    {
      int port = held_up_cases[i].is_native ? fronts[i].native_port : fronts[i].port;
      clients[i] = (struct test_client){ .fd = -1 };
      assert_true (test_client_connect (&clients[i], port, false));
      assert_true (test_client_request (&clients[i], held_up_cases[i].request));
    }
  usleep (100 * 1000);
  for (size_t i = 0; i < G_N_ELEMENTS (held_up_cases); i++)
    {
      kill (fronts[i].pid, SIGTERM);
      await_stopping (&fronts[i]);
      kill (fronts[i].pid, SIGSTOP);
    }
  usleep (HELD_UP_MS * 1000);
  for (size_t i = 0; i < G_N_ELEMENTS (held_up_cases); i++)
    kill (fronts[i].pid, SIGCONT);
  for (size_t i = 0; i < G_N_ELEMENTS (held_up_cases); i++)
    {
      int status = test_client_await (&clients[i]);
      int left_open;
      int code = front_await_end (&fronts[i], &left_open);
      test_client_close (&clients[i]);
      if (status == held_up_cases[i].status && code == 0 && left_open == 0)
        continue;
      print_error ("%s: status %d instead of %d, exit code %d, %d requests left open\n",
                   held_up_cases[i].name, status, held_up_cases[i].status, code, left_open);
      failures++;
    }
  assert_int_equal (failures, 0);
}

/* --- many clients until the process is gone --- */

#define BUSY_CLIENTS 20

static const struct
{
  const char *name;
  int64_t store_delay_ms;
  const char *configuration;
} busy_cases[] = {
  { "the store replies at once", 0, FRONT_CONFIGURATION },
  { "the store replies after 80 ms", 80, FRONT_CONFIGURATION },
  { "the store replies after 500 ms", 500, FRONT_CONFIGURATION },
  { "the store does not reply", NEVER_MS, FRONT_CONFIGURATION },
  { "no configuration", 0, NULL },
};

/* Sends requests on @client until the connection is refused. Counts connections that were closed
 * while a request was open. */
static void
continue_client (struct test_client *client, int port, int *answered, int *unanswered)
{
  bool was_awaiting = client->awaits_response;
  int status = client->fd >= 0 ? test_client_poll (client, 0) : 0;

  if (status > 0)
    ++*answered;
  else if (status < 0 && was_awaiting)
    ++*unanswered;
  if (client->fd < 0)
    test_client_connect (client, port, false);
  if (client->fd >= 0 && !client->awaits_response)
    test_client_request (client, SUBMIT);
}

/* Requests on open and on new connections, from before the stop until the process is gone. */
static void
test_no_request_is_lost_by_a_stop (void **state)
{
  int failures = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (busy_cases); i++)
    {
      struct front front = front_start (busy_cases[i].store_delay_ms, busy_cases[i].configuration);
      struct test_client clients[BUSY_CLIENTS];
      int answered = 0;
      int unanswered = 0;
      int open = BUSY_CLIENTS;
      int left_open;
      int code;

      for (int c = 0; c < BUSY_CLIENTS; c++)
        {
          clients[c] = (struct test_client){ .fd = -1 };
          assert_true (test_client_connect (&clients[c], front.port, false));
        }
      for (int64_t round = 0; open > 0; round++)
        {
          if (round == 100)
            kill (front.pid, SIGTERM);
          open = 0;
          for (int c = 0; c < BUSY_CLIENTS; c++)
            {
              continue_client (&clients[c], front.port, &answered, &unanswered);
              open += clients[c].fd >= 0 ? 1 : 0;
            }
          usleep (2000);
        }
      code = front_await_end (&front, &left_open);
      if (unanswered == 0 && answered > 0 && code == 0 && left_open == 0)
        continue;
      print_error (
          "%s: answered %d, unanswered %d, exit code %d, %d requests left open, loop held up "
          "for %d ms\n",
          busy_cases[i].name, answered, unanswered, code, left_open, (int)front.held_up_ms);
      failures++;
    }
  assert_int_equal (failures, 0);
}

/* --- connections that were idle when the stop began --- */

#define IDLE_CLIENTS 60
/* A response to a request without a Deadline-Ms header is due after 2,850 ms, and is 504 if the
 * next store call would begin less than 100 ms before; the rest is for the accuracy of the arrival.
 */
#define DUE_MIN_MS 2700
#define QUERIES_MAX 5
/* The process ends 1,600 ms after the signal, and all clients are used 800 ms later. Only a process
 * that is held up so long, less the accuracy of the measurement, may still run then. */
#define END_DELAY_MIN_MS 700

/* Queries a job that does not exist. A query that lasts until its response is due, since the
 * process was held up, gets 504 and is repeated on the same connection. */
static void
query_missing_job (struct test_client *client)
{
  int status = 504;

  for (int i = 0; i < QUERIES_MAX && status == 504; i++)
    {
      int64_t sent_us = g_get_monotonic_time ();
      assert_true (test_client_request (client, SHOW));
      status = test_client_await (client);
      assert_true (status != 504 || g_get_monotonic_time () - sent_us >= DUE_MIN_MS * 1000);
    }
  assert_int_equal (status, 410);
}

/* Every 40 ms, a connection that has been idle sends a request. Only the last one may find that the
 * process ends at that moment. */
static void
test_idle_connections_are_served_to_the_end (void **state)
{
  struct front front = front_start (80, FRONT_CONFIGURATION);
  struct test_client clients[IDLE_CLIENTS];
  int answered = 0;
  int used = 0;
  int left_open;

  (void)state;
  for (int c = 0; c < IDLE_CLIENTS; c++)
    {
      clients[c] = (struct test_client){ .fd = -1 };
      assert_true (test_client_connect (&clients[c], front.port, false));
      query_missing_job (&clients[c]);
    }
  kill (front.pid, SIGTERM);
  while (used < IDLE_CLIENTS && test_client_poll (&clients[used], 0) == 0
         && test_client_request (&clients[used], SUBMIT))
    {
      used++;
      usleep (40 * 1000);
    }
  for (int c = 0; c < used; c++)
    answered += test_client_await (&clients[c]) > 0 ? 1 : 0;
  for (int c = 0; c < IDLE_CLIENTS; c++)
    test_client_close (&clients[c]);
  assert_int_equal (front_await_end (&front, &left_open), 0);
  assert_true (used > 1);
  assert_true (used < IDLE_CLIENTS || front.held_up_ms >= END_DELAY_MIN_MS);
  assert_in_range (answered, used - 1, used);
}

/* --- the end of the process --- */

enum leftover
{
  NOTHING,
  IDLE_CONNECTION,
  HALF_SENT_REQUEST,
};

/* Connections without a complete request do not keep the process from ending, nor do further
 * signals. */
static void
test_process_ends (void **state)
{
  static const struct
  {
    const char *name;
    enum leftover leftover;
    int signals;
  } cases[] = {
    { "nothing is open", NOTHING, 1 },
    { "SIGTERM twice", NOTHING, 2 },
    { "an idle connection", IDLE_CONNECTION, 1 },
    { "a half-sent request", HALF_SENT_REQUEST, 2 },
  };

  struct front fronts[G_N_ELEMENTS (cases)];
  struct test_client clients[G_N_ELEMENTS (cases)];

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fronts[i] = front_start (0, FRONT_CONFIGURATION);
      clients[i] = (struct test_client){ .fd = -1 };
      if (cases[i].leftover != NOTHING)
        assert_true (test_client_connect (&clients[i], fronts[i].port, false));
      if (cases[i].leftover == HALF_SENT_REQUEST)
        assert_true (test_client_send (&clients[i], SUBMIT_HEAD));
      for (int s = 0; s < cases[i].signals; s++)
        {
          usleep (50 * 1000);
          kill (fronts[i].pid, SIGTERM);
        }
    }
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      int left_open;
      int code = front_await_end (&fronts[i], &left_open);
      test_client_close (&clients[i]);
      if (code != 0)
        fail_msg ("%s: exit code %d", cases[i].name, code);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_open_request_is_answered),
          cmocka_unit_test (test_held_up_process_responds_before_it_ends),
          cmocka_unit_test (test_no_request_is_lost_by_a_stop),
          cmocka_unit_test (test_idle_connections_are_served_to_the_end),
          cmocka_unit_test (test_process_ends) };

  return cmocka_run_group_tests_name ("front_stop", tests, NULL, NULL);
}
