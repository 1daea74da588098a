/* Orders and advice queries that the owner of the pool sends through a flamingo-poold that stops:
 * each one gets its result from that process or takes another way. An order without a reply waits
 * for its timeout, and its outcome is unknown. The stopping process is a child of the test. */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cmocka.h>
#include <ev.h>
#include <glib.h>

#include "common/clock.h"
#include "forward/forward.h"
#include "poold/advisors.h"
#include "poold/poold.h"
#include "support_http.h"
#include "support_loop.h"
#include "support_slow_store.h"

#define STEP_S 0.02
#define STEPS_BEFORE_STOP 20
/* Only a guard against a test that hangs. */
#define GUARD_STEPS 1000
/* Much longer than any timeout. */
#define NEVER_MS 1000000
/* A heartbeat with this wait times out on the owner after 2.4 s. */
#define HEARTBEAT_WAIT_MS 2000
#define TARGET_DELAY_S 0.16
/* Longer than a stopping process waits for orders that are on their way, and shorter than the
 * timeouts of orders. */
#define SUSPENSION_S 0.12
/* Through three connections, the target has replied to so many after 1.1 s: later than any order is
 * repeated, and sooner than a reply is too late. */
#define ORDERS_AT_ONCE 20
/* A start that its target has not replied to for 200 ms has no reply, with or without a stop. */
#define TARGET_REPLY_MAX_MS 190
/* An advice query with this expected duration times out later than the test ends. */
#define ADVICE_EXPECTED_MS 30000
#define CLIENT_CONNECTIONS_MAX 100

/* --- the process that stops: a standby, since it reaches no store --- */

static int
serve_pool (int link_port, const struct fl_name *advice)
{
  struct fl_host host = { .log = { .level = FL_LOG_ERR, .program = "test_pool_stop" } };
  struct slow_store_options options = { .delay_ms = NEVER_MS };

  host.loop = ev_default_loop (EVFLAG_AUTO);
  host.stats = fl_stats_new ();
  host.http_client = fl_http_client_new (&(struct fl_http_client_options){
      .loop = host.loop, .connections_max = CLIENT_CONNECTIONS_MAX, .stats = host.stats });
  host.settings.name = fl_name_of ("h2");
  host.settings.address = fl_name_of ("127.0.0.1");
  host.settings.link_port = link_port;
  host.settings.advice = *advice;
  options.loop = host.loop;
  host.store = slow_store_get_interface (slow_store_new (&options));
  int code = fl_poold_serve (&host);
  return support_loop_is_left (host.loop) ? code : SUPPORT_LEFT_HANDLERS;
}

/* --- a target that replies to starts and stops late, and never to heartbeats; it also stands for
 * the advice service, which does not reply --- */

struct target
{
  int late_replies; /* sent after the timeout of a start, since the machine is busy */
  struct ev_loop *loop;
  struct fl_http_server *server;
  struct fl_name address;
};

struct late_reply
{
  struct target *target;
  ev_timer timer;
  struct fl_http_request *request;
};

static void
on_reply_due (struct ev_loop *loop, ev_timer *timer, int events)
{
  static const char body[] = "{\"clockMs\":1}";
  struct late_reply *late = timer->data;
  struct fl_http_response response = { .status = 200, .body = body, .len = sizeof body - 1 };

  (void)loop;
  (void)events;
  if (fl_clock_boot_ms () - fl_http_arrived_ms (late->request) > TARGET_REPLY_MAX_MS)
    late->target->late_replies++;
  fl_http_respond (late->request, &response);
  g_free (late);
}

static void
on_target_request (void *context, struct fl_http_request *request)
{
  struct target *target = context;
  struct late_reply *late;

  if (strcmp (fl_http_path (request), "/hold") == 0
      || strcmp (fl_http_path (request), "/advise") == 0)
    return;
  late = g_new0 (struct late_reply, 1);
  late->target = target;
  late->request = request;
  ev_timer_init (&late->timer, on_reply_due, TARGET_DELAY_S, 0.0);
  late->timer.data = late;
  ev_timer_start (target->loop, &late->timer);
}

static void
target_init (struct target *target, struct ev_loop *loop)
{
  struct fl_http_server_options options = { .loop = loop,
                                            .address = "127.0.0.1",
                                            .body_max = 10000,
                                            .header_max = 10000,
                                            .connections_max = 500,
                                            .idle_timeout_ms = 60000,
                                            .upload_timeout_ms = 60000,
                                            .on_request = on_target_request,
                                            .context = target };

  target->loop = loop;
  target->server = fl_http_server_new (&options, NULL);
  target->address = fl_name_format ("127.0.0.1:%d", fl_http_server_port (target->server));
}

/* --- the owner --- */

struct owner
{
  struct ev_loop *loop;
  struct fl_link *link;
  struct fl_forwarder *forwarder;
  struct fl_advisors *advisors;
  struct fl_host host; /* for the advisors */
  struct fl_target_calls direct;
  struct target target;
  int64_t last_run;
  int direct_count;
  int in_flight;
  int done;
  int not_sent;
  int no_reply;
};

static void
reply_done (struct owner *owner,
            void (*done) (void *context, const struct fl_order_reply *reply),
            void *done_context)
{
  struct fl_order_reply reply = { .result = FL_ORDER_DONE };

  owner->direct_count++;
  done (done_context, &reply);
}

static void
start_directly (void *context,
                const struct fl_start_order *order,
                void (*done) (void *context, const struct fl_order_reply *reply),
                void *done_context)
{
  (void)order;
  reply_done (context, done, done_context);
}

static void
stop_directly (void *context,
               const struct fl_run_order *order,
               void (*done) (void *context, const struct fl_order_reply *reply),
               void *done_context)
{
  (void)order;
  reply_done (context, done, done_context);
}

static void
heartbeat_directly (void *context,
                    const struct fl_heartbeat_order *order,
                    void (*done) (void *context, const struct fl_order_reply *reply),
                    void *done_context)
{
  (void)order;
  reply_done (context, done, done_context);
}

static bool
send_kind (struct owner *owner, char kind, const struct fl_route *to, const char *data, size_t len)
{
  char *message = g_malloc (len + 1);
  bool sent;

  message[0] = kind;
  memcpy (message + 1, data, len);
  sent = fl_link_send (owner->link, to, message, len + 1);
  g_free (message);
  return sent;
}

static bool
send_order (void *context, const struct fl_route *to, const char *data, size_t len)
{
  return send_kind (context, 'c', to, data, len);
}

static bool
send_batch (void *context, const struct fl_route *to, const char *data, size_t len)
{
  return send_kind (context, 'b', to, data, len);
}

static bool
send_advice (void *context, const struct fl_route *to, const char *data, size_t len)
{
  return send_kind (context, 'a', to, data, len);
}

static void
on_advice_reply (void *context,
                 const struct fl_name *step,
                 const struct fl_name *queried,
                 size_t queried_count,
                 const struct fl_advice_reply *reply)
{
  struct owner *owner = context;

  (void)step;
  (void)queried;
  (void)queried_count;
  owner->in_flight--;
  owner->no_reply += reply->received ? 0 : 1;
}

static bool
connect_peer (void *context, const struct fl_name *address)
{
  return fl_link_connect (((struct owner *)context)->link, address, NULL);
}

static bool
reconnect_silent (void *context, const struct fl_name *address, int64_t sent_ms)
{
  return fl_link_reconnect_silent (((struct owner *)context)->link, address, sent_ms);
}

static void
check_peer (void *context, const struct fl_name *address, int64_t sent_ms)
{
  fl_forwarder_check_peer (((struct owner *)context)->forwarder, address, sent_ms);
}

static bool
may_send (void *context)
{
  (void)context;
  return true;
}

static void
on_message (void *context, const struct fl_route *from, const char *data, size_t len)
{
  struct owner *owner = context;

  if (data[0] == 'a')
    fl_advisors_receive (owner->advisors, from, data + 1, len - 1);
  else if (data[0] == 'b')
    fl_forwarder_receive_batch (owner->forwarder, from, data + 1, len - 1);
  else
    fl_forwarder_receive (owner->forwarder, from, data + 1, len - 1);
}

/* The owner itself cannot reach the service. */
static void
query_fails (void *context,
             const struct fl_name *step,
             const struct fl_name *targets,
             size_t count,
             int64_t expected_ms,
             int64_t timeout_ms,
             void (*done) (void *context, const struct fl_advice_reply *reply),
             void *done_context)
{
  (void)context;
  (void)step;
  (void)targets;
  (void)count;
  (void)expected_ms;
  (void)timeout_ms;
  (void)done;
  (void)done_context;
}

static void
owner_init (struct owner *owner, int peer_port)
{
  static const struct fl_advice_calls no_service = { .query = query_fails };
  static const struct fl_log log = { .level = FL_LOG_ERR };
  struct fl_name peer_name = fl_name_of ("h2");
  struct fl_name peer_address = fl_name_format ("tcp://127.0.0.1:%d", peer_port);
  struct fl_link_options link = { .queue_max = 1000, .on_message = on_message, .context = owner };
  struct fl_forwarder_options options = { .log = &log,
                                          .stats = fl_stats_new (),
                                          .send = send_order,
                                          .send_batch = send_batch,
                                          .connect = connect_peer,
                                          .reconnect_silent = reconnect_silent,
                                          .may_send = may_send,
                                          .context = owner,
                                          .direct = &owner->direct,
                                          .forwarded = &owner->direct };
  struct fl_advisors_options advisors = { .clock = fl_clock_boot (),
                                          .calls = &no_service,
                                          .on_reply = on_advice_reply,
                                          .send = send_advice,
                                          .check_peer = check_peer,
                                          .context = owner };

  *owner = (struct owner){ .loop = ev_loop_new (EVFLAG_AUTO) };
  owner->direct = (struct fl_target_calls){ .context = owner,
                                            .start = start_directly,
                                            .stop = stop_directly,
                                            .heartbeat = heartbeat_directly };
  target_init (&owner->target, owner->loop);
  link.loop = options.loop = owner->loop;
  owner->link = fl_link_new (&link, NULL);
  assert_true (fl_link_connect (owner->link, &peer_address, NULL));
  owner->forwarder = fl_forwarder_new (&options);
  fl_forwarder_set_peer (owner->forwarder, &peer_name, &peer_address);
  fl_forwarder_set_enabled (owner->forwarder, true);
  owner->host.loop = owner->loop;
  owner->host.stats = options.stats;
  owner->host.log.level = FL_LOG_ERR;
  owner->host.settings.name = fl_name_of ("h1");
  advisors.host = &owner->host;
  owner->advisors = fl_advisors_new (&advisors);
  fl_advisors_set_peer (owner->advisors, &peer_name, &peer_address);
}

static void
on_result (void *context, const struct fl_order_reply *reply)
{
  struct owner *owner = context;

  owner->in_flight--;
  owner->done += reply->result == FL_ORDER_DONE ? 1 : 0;
  owner->not_sent += reply->result == FL_ORDER_NOT_SENT ? 1 : 0;
  owner->no_reply += reply->result == FL_ORDER_NO_REPLY ? 1 : 0;
}

static void
order_starts (struct owner *owner, int count)
{
  static const char payload[] = "payload";
  const struct fl_target_calls *calls = fl_forwarder_calls (owner->forwarder);

  for (int i = 0; i < count; i++)
    {
      struct fl_start_order order = { .target = fl_name_format ("t%d", i),
                                      .address = owner->target.address,
                                      .task = fl_name_format ("a.0.0.%d", i),
                                      .run = ++owner->last_run,
                                      .fencing_token = 1,
                                      .deadline_ms = 99,
                                      .payload = payload,
                                      .payload_len = strlen (payload),
                                      .checkpoint = "",
                                      .ticket = "" };
      owner->in_flight++;
      calls->start (calls->context, &order, on_result, owner);
    }
  fl_forwarder_flush (owner->forwarder);
}

static void
order_one_start (struct owner *owner)
{
  order_starts (owner, 1);
}

static void
order_batch (struct owner *owner)
{
  order_starts (owner, 5);
}

static void
order_stop (struct owner *owner)
{
  const struct fl_target_calls *calls = fl_forwarder_calls (owner->forwarder);
  struct fl_run_order order = { .target = fl_name_of ("t1"),
                                .address = owner->target.address,
                                .task = fl_name_of ("a.0.0.0"),
                                .run = ++owner->last_run,
                                .fencing_token = 1 };

  owner->in_flight++;
  calls->stop (calls->context, &order, on_result, owner);
}

static void
order_heartbeat (struct owner *owner)
{
  const struct fl_target_calls *calls = fl_forwarder_calls (owner->forwarder);
  struct fl_heartbeat_order order = { .target = fl_name_of ("t1"),
                                      .address = owner->target.address,
                                      .fencing_token = 1,
                                      .wait_ms = HEARTBEAT_WAIT_MS };

  owner->in_flight++;
  calls->heartbeat (calls->context, &order, on_result, owner);
}

static bool
has_ended (int pid)
{
  siginfo_t info = { 0 };

  return waitid (P_PID, (id_t)pid, &info, WEXITED | WNOHANG | WNOWAIT) == 0 && info.si_pid == pid;
}

/* Orders go directly to the target, which replies at once, until the peer has replied to a ping. */
static void
order_until_forwarded (struct owner *owner, void (*order) (struct owner *owner))
{
  for (int s = 0; s < GUARD_STEPS && owner->in_flight == 0; s++)
    {
      order (owner);
      support_run_loop_for (owner->loop, STEP_S);
    }
  assert_true (owner->in_flight > 0);
}

static const struct
{
  const char *name;
  void (*order) (struct owner *owner);
  bool may_be_cut; /* the end of the process may leave its outcome unknown, at once */
} cases[] = {
  { "starts", order_one_start, false },
  { "batches of starts", order_batch, false },
  { "stops", order_stop, false },
  { "heartbeats that wait", order_heartbeat, true },
};

/* Sends orders until the process at @pid has ended, with SIGTERM after some of them. */
static void
order_until_stopped (struct owner *owner, int pid, void (*order) (struct owner *owner))
{
  for (int s = 0; s < GUARD_STEPS && !has_ended (pid); s++)
    {
      if (s == STEPS_BEFORE_STOP)
        kill (pid, SIGTERM);
      order (owner);
      support_run_loop_for (owner->loop, STEP_S);
    }
}

/* Sends one order while the process at @pid is suspended, after SIGTERM. */
static void
order_during_suspension (struct owner *owner, int pid, void (*order) (struct owner *owner))
{
  for (int s = 0; s < GUARD_STEPS && owner->in_flight > 0 && order != order_heartbeat; s++)
    support_run_loop_for (owner->loop, STEP_S);
  kill (pid, SIGTERM);
  support_run_loop_for (owner->loop, STEP_S);
  kill (pid, SIGSTOP);
  order (owner);
  support_run_loop_for (owner->loop, SUSPENSION_S);
  kill (pid, SIGCONT);
  for (int s = 0; s < GUARD_STEPS && !has_ended (pid); s++)
    support_run_loop_for (owner->loop, STEP_S);
}

/* Stops the process at @pid while it has more orders than the connections that it uses to the
 * target. */
static void
order_many_and_stop (struct owner *owner, int pid, void (*order) (struct owner *owner))
{
  for (int i = 0; i < ORDERS_AT_ONCE; i++)
    order (owner);
  support_run_loop_for (owner->loop, STEP_S);
  kill (pid, SIGTERM);
  for (int s = 0; s < GUARD_STEPS && !has_ended (pid); s++)
    support_run_loop_for (owner->loop, STEP_S);
}

/* Stops a process while it forwards each kind of order. */
static void
check_stop (void (*order_and_stop) (struct owner *owner,
                                    int pid,
                                    void (*order) (struct owner *owner)))
{
  int failures = 0;

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      int port = test_free_port ();
      int pid = fork ();
      struct owner owner;
      int code;

      if (pid == 0)
        {
          struct fl_name no_advice = fl_name_of ("");
          _exit (serve_pool (port, &no_advice));
        }
      owner_init (&owner, port);
      order_until_forwarded (&owner, cases[i].order);
      order_and_stop (&owner, pid, cases[i].order);
      code = test_wait_for_exit (pid);
      for (int s = 0; s < STEPS_BEFORE_STOP; s++)
        support_run_loop_for (owner.loop, STEP_S);
      if ((owner.no_reply <= owner.target.late_replies || cases[i].may_be_cut)
          && owner.in_flight == 0 && code == 0)
        continue;
      print_error ("%s: done %d, not sent %d, no reply %d (late at the target: %d), in flight %d, "
                   "exit code %d\n",
                   cases[i].name, owner.done, owner.not_sent, owner.no_reply,
                   owner.target.late_replies, owner.in_flight, code);
      failures++;
    }
  assert_int_equal (failures, 0);
}

static void
test_forwarded_orders_while_stopping (void **state)
{
  (void)state;
  check_stop (order_until_stopped);
}

/* The time that orders on their way were given had passed when the process continued, and it ended
 * without reading the order that had arrived meanwhile. */
static void
test_order_during_a_suspension_while_stopping (void **state)
{
  (void)state;
  check_stop (order_during_suspension);
}

/* Orders that waited for a connection to their target got no reply: the process ended 800 ms after
 * SIGTERM, although their replies were not late yet. */
static void
test_orders_behind_others_while_stopping (void **state)
{
  (void)state;
  check_stop (order_many_and_stop);
}

/* A query that the service has not replied to when the process stops ends at once, although its
 * timeout is far away, so that the owner asks through another host. */
static void
test_advice_query_while_stopping (void **state)
{
  struct fl_name step = fl_name_of ("a.0.0");
  struct fl_name targets[] = { fl_name_of ("t1"), fl_name_of ("t2") };
  int port = test_free_port ();
  struct owner owner;
  int pid;

  (void)state;
  owner_init (&owner, port);
  pid = fork ();
  if (pid == 0)
    _exit (serve_pool (port, &owner.target.address));
  order_until_forwarded (&owner, order_stop);
  while (owner.in_flight > 0)
    support_run_loop_for (owner.loop, STEP_S);
  assert_true (
      fl_advisors_send_query (owner.advisors, &step, targets, 2,
                              &(struct fl_advice_demand){ .expected_ms = ADVICE_EXPECTED_MS }));
  owner.in_flight++;
  for (int s = 0; s < STEPS_BEFORE_STOP; s++)
    support_run_loop_for (owner.loop, STEP_S);
  assert_int_equal (owner.no_reply, 0);
  kill (pid, SIGTERM);
  for (int s = 0; s < GUARD_STEPS && !has_ended (pid); s++)
    support_run_loop_for (owner.loop, STEP_S);
  assert_int_equal (test_wait_for_exit (pid), 0);
  for (int s = 0; s < STEPS_BEFORE_STOP; s++)
    support_run_loop_for (owner.loop, STEP_S);
  assert_int_equal (owner.in_flight, 0);
  assert_int_equal (owner.no_reply, 1);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_order_during_a_suspension_while_stopping),
          cmocka_unit_test (test_forwarded_orders_while_stopping),
          cmocka_unit_test (test_orders_behind_others_while_stopping),
          cmocka_unit_test (test_advice_query_while_stopping) };

  return cmocka_run_group_tests_name ("pool_stop", tests, NULL, NULL);
}
