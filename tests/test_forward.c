/* Orders by way of peers: what is handed over, what comes back, and what a silent peer costs. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <ev.h>
#include <glib.h>

#include "forward/forward.h"
#include "forward/message.h"
#include "support_loop.h"

#define STEP_S 0.02

/* Orders that reached a target by one way, and how they are answered: at once. */
struct way
{
  struct fl_target_calls calls;
  int starts;
  int holds;
  struct fl_start_order last_start; /* texts are not kept */
  struct fl_heartbeat_order last_hold;
};

static void
way_start (void *context,
           const struct fl_start_order *order,
           void (*done) (void *context, const struct fl_order_reply *reply),
           void *done_context)
{
  struct way *way = context;
  struct fl_order_reply reply = { .result = FL_ORDER_NO_CAPACITY, .clock_ms = 5 };

  way->starts++;
  way->last_start = *order;
  assert_string_equal (order->payload, "what to run");
  assert_string_equal (order->checkpoint, "c1");
  done (done_context, &reply);
}

static void
way_hold (void *context,
          const struct fl_heartbeat_order *order,
          void (*done) (void *context, const struct fl_order_reply *reply),
          void *done_context)
{
  struct way *way = context;
  struct fl_run_row run = { fl_name_of ("a.0.0.0"), 3, fl_str_of ("saved"), 40, 77 };
  struct fl_end_row end = { 9, fl_name_of ("a.0.0.1"), 2, FL_END_GANG_BROKEN, { 0, NULL } };
  struct fl_target_report lists = { 123, 456, &run, 1, &end, 1 };
  struct fl_order_reply reply = { .result = FL_ORDER_DONE, .clock_ms = 456, .report = &lists };

  way->holds++;
  way->last_hold = *order;
  done (done_context, &reply);
  fl_str_clear (&run.checkpoint);
}

static void
way_init (struct way *way)
{
  memset (way, 0, sizeof *way);
  way->calls
      = (struct fl_target_calls){ .context = way, .start = way_start, .heartbeat = way_hold };
}

/* One host with its link. */
struct host
{
  struct fl_link *link;
  struct fl_forwarder *carry;
  struct way direct;
  struct way carried;
  bool is_deaf; /* drops what it gets */
};

static bool
host_send (void *context, const struct fl_route *to, const char *data, size_t len)
{
  return fl_link_send (((struct host *)context)->link, to, data, len);
}

static void
on_message (void *context, const struct fl_route *from, const char *data, size_t len)
{
  struct host *host = context;

  if (!host->is_deaf)
    fl_forwarder_receive (host->carry, from, data, len);
}

static bool
may_send (void *context)
{
  (void)context;
  return true;
}

static void
host_init (struct host *host, struct ev_loop *loop, struct fl_stats *stats)
{
  static const struct fl_log log = { .level = FL_LOG_ERR };
  struct fl_link_options link = { loop, "tcp://127.0.0.1:0", 100, on_message, host };
  struct fl_error error = { 0 };

  way_init (&host->direct);
  way_init (&host->carried);
  host->is_deaf = false;
  host->link = fl_link_new (&link, &error);
  assert_non_null (host->link);
  struct fl_forwarder_options carry
      = { loop, &log, stats, host_send, may_send, host, &host->direct.calls, &host->carried.calls };
  host->carry = fl_forwarder_new (&carry);
}

static void
host_clear (struct host *host)
{
  fl_forwarder_free (host->carry);
  fl_link_free (host->link);
}

struct answer
{
  bool came;
  enum fl_order_result result;
  int64_t booted_at_ms;
  int64_t percent;
  enum fl_end_cause cause;
};

static void
on_answer (void *context, const struct fl_order_reply *reply)
{
  struct answer *answer = context;

  *answer = (struct answer){ .came = true, .result = reply->result };
  if (reply->report == NULL)
    return;
  answer->booted_at_ms = reply->report->booted_at_ms;
  answer->percent = reply->report->runs[0].progress_percent;
  answer->cause = reply->report->ends[0].cause;
  assert_string_equal (fl_str_text (&reply->report->runs[0].checkpoint), "saved");
}

static struct answer
send_start (struct ev_loop *loop, struct host *host)
{
  const struct fl_target_calls *calls = fl_forwarder_calls (host->carry);
  struct fl_start_order order = { .target = fl_name_of ("t1"),
                                  .address = fl_name_of ("1.2.3.4:5"),
                                  .task = fl_name_of ("a.0.0.0"),
                                  .run = 4,
                                  .fencing_token = 7,
                                  .deadline_ms = 99,
                                  .payload = "what to run",
                                  .payload_len = 11,
                                  .checkpoint = "c1",
                                  .ticket = "ticket" };
  struct answer answer = { 0 };

  calls->start (calls->context, &order, on_answer, &answer);
  do
    support_run_loop_for (loop, STEP_S);
  while (!answer.came);
  return answer;
}

static struct answer
send_hold (struct ev_loop *loop, struct host *host)
{
  const struct fl_target_calls *calls = fl_forwarder_calls (host->carry);
  struct fl_heartbeat_order order
      = { fl_name_of ("t1"), fl_name_of ("1.2.3.4:5"), 7, 5000, 8, 300 };
  struct answer answer = { 0 };

  calls->heartbeat (calls->context, &order, on_answer, &answer);
  do
    support_run_loop_for (loop, STEP_S);
  while (!answer.came);
  return answer;
}

/* An owner with one peer: direct while that is off or the peer is not known to carry; by the peer
 * then; direct again after the peer did not answer. */
static void
test_by_peer (void **state)
{
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  struct fl_stats *stats = fl_stats_new ();
  struct fl_error error = { 0 };
  struct fl_name name = fl_name_of ("h2");
  struct host owner;
  struct host peer;

  (void)state;
  host_init (&owner, loop, stats);
  host_init (&peer, loop, stats);
  struct fl_name address = fl_link_address (peer.link);
  assert_true (fl_link_connect (owner.link, &address, &error));
  fl_forwarder_set_peer (owner.carry, &name, &address);
  assert_int_equal (send_start (loop, &owner).result, FL_ORDER_NO_CAPACITY);
  assert_int_equal (owner.direct.starts, 1);
  fl_forwarder_set_enabled (owner.carry, true);
  while (peer.carried.starts == 0)
    assert_int_equal (send_start (loop, &owner).result, FL_ORDER_NO_CAPACITY);
  assert_int_equal (peer.carried.last_start.run, 4);
  assert_int_equal (peer.carried.last_start.fencing_token, 7);
  assert_int_equal (peer.carried.last_start.deadline_ms, 99);
  struct answer held = send_hold (loop, &owner);
  assert_int_equal (held.result, FL_ORDER_DONE);
  assert_int_equal (held.booted_at_ms, 123);
  assert_int_equal (held.percent, 40);
  assert_int_equal (held.cause, FL_END_GANG_BROKEN);
  assert_int_equal (peer.carried.holds, 1);
  assert_int_equal (peer.carried.last_hold.last_recorded_end, 8);
  /* The peer is cut: the order counts as unanswered, the next one goes directly. */
  peer.is_deaf = true;
  int direct = owner.direct.starts;
  assert_int_equal (send_start (loop, &owner).result, FL_ORDER_NO_REPLY);
  assert_int_equal (send_start (loop, &owner).result, FL_ORDER_NO_CAPACITY);
  assert_int_equal (owner.direct.starts, direct + 1);
  /* It answers a ping again and carries again. */
  peer.is_deaf = false;
  int carried = peer.carried.starts;
  while (peer.carried.starts == carried)
    send_start (loop, &owner);
  host_clear (&owner);
  host_clear (&peer);
  fl_stats_free (stats);
  ev_loop_destroy (loop);
}

/* Bytes that are no message are refused at any length. */
static void
test_cut_messages (void **state)
{
  struct fl_forward_message message = { .kind = FL_FORWARD_HEARTBEAT, .target = fl_name_of ("t1") };
  struct fl_forward_message got;
  struct fl_error error = { 0 };
  msgpack_sbuffer buffer;

  (void)state;
  msgpack_sbuffer_init (&buffer);
  fl_forward_message_encode (&message, &buffer);
  for (size_t len = 0; len < buffer.size; len++)
    {
      assert_false (fl_forward_message_decode (buffer.data, len, &got, &error));
      fl_forward_message_clear (&got);
    }
  assert_true (fl_forward_message_decode (buffer.data, buffer.size, &got, &error));
  assert_int_equal (got.kind, FL_FORWARD_HEARTBEAT);
  fl_forward_message_clear (&got);
  msgpack_sbuffer_destroy (&buffer);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_by_peer), cmocka_unit_test (test_cut_messages) };

  return cmocka_run_group_tests_name ("carry", tests, NULL, NULL);
}
