#include "support_front.h"

#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "frontd/frontd.h"
#include "support_http.h"
#include "support_loop.h"
#include "support_slow_store.h"

static struct fl_name
loopback_endpoint (int port)
{
  return fl_name_format ("127.0.0.1:%d", port);
}

static int
serve (const struct front *front,
       const struct fl_store *(*create_store) (struct ev_loop *loop, const void *context),
       const void *context)
{
  struct fl_host host = { .log = { .level = FL_LOG_NOTICE, .program = "test" } };
  int code;
  struct fl_relay_options relay = { .host = fl_name_of ("h2"), .cpu_milli = 500 };
  struct loop_watch watch;

  host.loop = ev_default_loop (EVFLAG_AUTO);
  host.stats = fl_stats_new ();
  host.settings.front = loopback_endpoint (front->port);
  host.settings.ready = loopback_endpoint (front->ready_port);
  host.settings.native_api = loopback_endpoint (front->native_port);
  host.settings.graceful_stop_s = FRONT_GRACEFUL_STOP_S;
  host.settings.memory_mb = FRONT_MEMORY_MB;
  host.store = create_store (host.loop, context);
  relay.loop = host.loop;
  relay.log = &host.log;
  relay.stats = host.stats;
  relay.direct = host.store;
  relay.address = fl_name_format ("tcp://127.0.0.1:%d", front->relay_port);
  host.relay = fl_relay_new (&relay, NULL);
  host.store = fl_relay_store (host.relay);
  support_watch_loop (&watch, host.loop);
  code = fl_frontd_serve (&host);
  fl_log (&host.log, FL_LOG_NOTICE, "loop_watched", FL_I ("held_up_ms", watch.held_up_ms));
  if (!support_loop_is_left (host.loop))
    code = SUPPORT_LEFT_HANDLERS;
  fl_relay_free (host.relay);
  return code;
}

/* Starts the process, and waits until it listens, and until it is ready if @becomes_ready. */
static struct front
start (const struct fl_store *(*create_store) (struct ev_loop *loop, const void *context),
       const void *context,
       bool becomes_ready)
{
  struct front front
      = { 0, test_free_port (), test_free_port (), test_free_port (), test_free_port (), tmpfile (),
          0 };
  struct test_client client = { .fd = -1 };
  int status = 0;

  front.pid = fork ();
  assert_true (front.pid >= 0);
  if (front.pid == 0)
    {
      signal (SIGPIPE, SIG_IGN);
      dup2 (fileno (front.log), STDOUT_FILENO);
      _exit (serve (&front, create_store, context));
    }
  while (status != 200 && (status == 0 || becomes_ready))
    {
      assert_true (client.fd >= 0 || test_client_connect (&client, front.ready_port, true));
      test_client_request (&client, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
      status = test_client_await (&client);
    }
  test_client_close (&client);
  return front;
}

static const struct fl_store *
create_slow_store (struct ev_loop *loop, const void *context)
{
  struct slow_store_options options = *(const struct slow_store_options *)context;

  options.loop = loop;
  return slow_store_get_interface (slow_store_new (&options));
}

struct front
front_start (int64_t store_delay_ms, const char *configuration)
{
  const struct slow_store_options options = { NULL, store_delay_ms, configuration };

  return start (create_slow_store, &options, configuration != NULL);
}

struct front
front_start_with_store (const struct fl_store *(*create) (struct ev_loop *loop,
                                                          const void *context),
                        const void *context)
{
  return start (create, context, true);
}

int
front_await_end (struct front *front, int *open_requests)
{
  int code = test_wait_for_exit (front->pid);
  char line[1000];

  *open_requests = -1;
  front->held_up_ms = 0;
  rewind (front->log);
  while (fgets (line, sizeof line, front->log) != NULL)
    {
      const char *field = strstr (line, "open_requests=");
      if (strstr (line, "serving_ended") != NULL && field != NULL)
        *open_requests = (int)strtol (field + strlen ("open_requests="), NULL, 10);
      field = strstr (line, "held_up_ms=");
      if (strstr (line, "loop_watched") != NULL && field != NULL)
        front->held_up_ms = strtol (field + strlen ("held_up_ms="), NULL, 10);
    }
  fclose (front->log);
  return code;
}

int
front_call (const struct front *front, const char *request)
{
  struct test_client client = { .fd = -1 };
  int status;

  assert_true (test_client_connect (&client, front->port, false));
  assert_true (test_client_request (&client, request));
  status = test_client_await (&client);
  test_client_close (&client);
  return status;
}

void
front_stop (struct front *front)
{
  int left_open;

  kill (front->pid, SIGTERM);
  assert_int_equal (front_await_end (front, &left_open), 0);
}
