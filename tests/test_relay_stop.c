/* Store calls that peers send to a flamingo-frontd that stops: each one is either executed, with
 * its reply returned, or rejected. A caller that gets neither waits for its timeout and does not
 * know whether the call had an effect. */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <sys/wait.h>

#include <cmocka.h>
#include <ev.h>
#include <glib.h>

#include "relay/relay.h"
#include "support_front.h"
#include "support_http.h"
#include "support_loop.h"
#include "support_slow_store.h"

#define CALLS_AT_A_TIME 5
#define CALL_TIMEOUT_MS 600
/* A reply is late if it takes 150 ms more than the slowest store, so that one of the two processes
 * was held up for at least half of that. */
#define HELD_UP_MS 75
/* The peer rejects calls for 800 ms. A caller that sees no rejection was held up for at least half
 * of that, or the peer was. */
#define HELD_UP_UNTOLD_MS 400
/* The pause after a rejection by a stopping peer, 2.5 s, ends during the steps after it only if the
 * process was held up. */
#define HELD_UP_PAUSE_MS 1000
/* Runs of a case that the machine has disturbed, before the case fails. */
#define RUNS_MAX 5
#define STEP_S 0.02
/* Longer than the pause after an ordinary rejection, 500 ms. */
#define AFTER_REJECTION_STEPS 40
/* The owner of the pool renews its lease every 250 ms. */
#define RENEWAL_STEPS 12
/* A caller does not know when its peer ends, and would call again within this time, 500 ms. */
#define AFTER_END_STEPS 25
/* Only a guard against a test that hangs. */
#define GUARD_STEPS 2000

/* A caller whose own path to the store has failed: it can read the list of hosts and nothing else.
 */
struct caller
{
  struct fl_store direct;
  struct ev_loop *loop;
  struct fl_relay *relay;
  struct fl_stats *stats;
  struct loop_watch watch;
  struct fl_str host_row; /* of the only peer */
  int in_flight;
  int served;
  int rejected;
  int unknown;
  int rejected_by_peer; /* of the rejected ones */
};

static void
direct_transact (void *context,
                 const struct fl_store_transaction *transaction,
                 int64_t timeout_ms,
                 void (*done) (void *context, const struct fl_store_reply *reply),
                 void *done_context)
{
  struct fl_store_reply reply = { .status = FL_STORE_REJECTED };

  (void)context;
  (void)transaction;
  (void)timeout_ms;
  done (done_context, &reply);
}

static void
direct_read (void *context,
             const char *table,
             const char *partition,
             const char *first_key,
             const char *end_key,
             int64_t timeout_ms,
             void (*done) (void *context, const struct fl_store_reply *reply),
             void *done_context)
{
  struct caller *caller = context;
  struct fl_store_row row = { .key = fl_name_of ("h2"), .value = caller->host_row };
  struct fl_store_reply reply = { .status = FL_STORE_OK, .rows = &row, .count = 1 };

  (void)table;
  (void)partition;
  (void)first_key;
  (void)end_key;
  (void)timeout_ms;
  done (done_context, &reply);
}

static void
on_reply (void *context, const struct fl_store_reply *reply)
{
  struct caller *caller = context;

  caller->in_flight--;
  caller->served += reply->status == FL_STORE_OK ? 1 : 0;
  caller->rejected += reply->status == FL_STORE_REJECTED ? 1 : 0;
  caller->rejected_by_peer += strstr (reply->error.text, "stopping") != NULL ? 1 : 0;
  caller->unknown += reply->status == FL_STORE_UNKNOWN ? 1 : 0;
}

static void
send_calls (struct caller *caller)
{
  const struct fl_store *store = fl_relay_store (caller->relay);
  struct fl_store_write write = { "jobs", "1", fl_name_of ("a"), { 1, (char *)"x" }, false };
  struct fl_store_transaction transaction = { NULL, 0, &write, 1 };

  for (int i = caller->in_flight; i < CALLS_AT_A_TIME; i++)
    {
      caller->in_flight++;
      store->transact (store->context, &transaction, CALL_TIMEOUT_MS, on_reply, caller);
    }
}

static void
caller_init (struct caller *caller, int relay_port)
{
  static struct fl_log log = { .level = FL_LOG_ERR };
  struct fl_relay_options options = { .log = &log, .host = fl_name_of ("h1") };
  g_autofree char *row
      = g_strdup_printf ("{\"address\":\"tcp://127.0.0.1:%d\",\"cpu_milli\":500}", relay_port);

  *caller = (struct caller){ .loop = ev_loop_new (EVFLAG_AUTO), .host_row = fl_str_of (row) };
  caller->direct
      = (struct fl_store){ .context = caller, .transact = direct_transact, .read = direct_read };
  options.loop = caller->loop;
  options.stats = caller->stats = fl_stats_new ();
  options.direct = &caller->direct;
  caller->relay = fl_relay_new (&options, NULL);
  support_watch_loop (&caller->watch, caller->loop);
}

/* Sends calls until @served of them have been served. */
static void
call_until_served (struct caller *caller, int served)
{
  for (int i = 0; i < GUARD_STEPS && caller->served < served; i++)
    {
      send_calls (caller);
      support_run_loop_for (caller->loop, STEP_S);
    }
  assert_true (caller->served >= served);
}

static bool
has_ended (int pid)
{
  siginfo_t info = { 0 };

  return waitid (P_PID, (id_t)pid, &info, WEXITED | WNOHANG | WNOWAIT) == 0 && info.si_pid == pid;
}

struct stop_case
{
  const char *name;
  int64_t store_delay_ms;
  int steps_between_calls;
};

enum stop_result
{
  STOP_HELD,
  STOP_DISTURBED, /* each call got a reply; what was late or missed follows from a loop held up */
  STOP_FAILED
};

/* Stops a peer that a caller goes on calling. */
static enum stop_result
stop_while_calling (const struct stop_case *stop_case)
{
  struct front front = front_start (stop_case->store_delay_ms, FRONT_CONFIGURATION);
  struct caller caller;
  int steps_after_end = 0;
  int left_open;

  caller_init (&caller, front.relay_port);
  call_until_served (&caller, 1);
  kill (front.pid, SIGTERM);
  for (int s = 0; s < GUARD_STEPS && steps_after_end < AFTER_END_STEPS; s++)
    {
      if (s % stop_case->steps_between_calls == 0)
        send_calls (&caller);
      support_run_loop_for (caller.loop, STEP_S);
      steps_after_end += has_ended (front.pid) ? 1 : 0;
    }
  int code = front_await_end (&front, &left_open);
  /* Until the last call has got its reply or timed out. */
  for (int s = 0; s < GUARD_STEPS && caller.in_flight > 0; s++)
    support_run_loop_for (caller.loop, STEP_S);
  /* Replies that have arrived while the last timeouts were handled. */
  support_run_loop_for (caller.loop, STEP_S);
  int late = (int)fl_stats_get (caller.stats, "relay_answers_late_total");
  /* A caller that was not told may call at the very moment at which the process ends. */
  bool was_told = caller.rejected_by_peer > 0;
  bool is_complete = caller.in_flight == 0 && code == 0 && caller.unknown == late;
  if (is_complete && late == 0 && was_told)
    return STOP_HELD;
  int64_t held_up_ms = MAX (caller.watch.held_up_ms, front.held_up_ms);
  bool was_disturbed = held_up_ms >= (was_told ? HELD_UP_MS : HELD_UP_UNTOLD_MS);
  print_error ("%s: served %d, rejected %d (%d by the peer), unknown %d (%d replies late), exit "
               "code %d, held up for %d and %d ms\n",
               stop_case->name, caller.served, caller.rejected, caller.rejected_by_peer,
               caller.unknown, late, code, (int)caller.watch.held_up_ms, (int)front.held_up_ms);
  return is_complete && was_disturbed ? STOP_DISTURBED : STOP_FAILED;
}

/* Each call gets a reply, and the caller is told of the stop. Where a process was held up for too
 * long to show that in time, the case runs again. */
static void
test_calls_of_peers_while_stopping (void **state)
{
  static const struct stop_case cases[]
      = { { "the store replies at once", 0, 1 },
          { "the store replies after 80 ms", 80, 1 },
          { "the store replies after 500 ms", 500, 1 },
          { "the store replies at once, few calls", 0, RENEWAL_STEPS },
          { "the store replies after 80 ms, few calls", 80, RENEWAL_STEPS } };
  int failures = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      enum stop_result result = stop_while_calling (&cases[i]);
      for (int run = 1; run < RUNS_MAX && result == STOP_DISTURBED; run++)
        result = stop_while_calling (&cases[i]);
      failures += result == STOP_HELD ? 0 : 1;
    }
  assert_int_equal (failures, 0);
}

/* Lets a caller call a peer that has rejected it because it stops. */
static enum stop_result
call_stopping_peer (void)
{
  struct fl_log log = { .level = FL_LOG_ERR };
  struct caller caller;
  struct slow_store_options store = { .delay_ms = 0 };
  struct fl_relay_options options
      = { .log = &log, .stats = fl_stats_new (), .host = fl_name_of ("h2") };
  int port = test_free_port ();
  struct fl_relay *peer;
  int rejected_by_peer;

  caller_init (&caller, port);
  store.loop = options.loop = caller.loop;
  options.direct = slow_store_get_interface (slow_store_new (&store));
  options.address = fl_name_format ("tcp://127.0.0.1:%d", port);
  peer = fl_relay_new (&options, NULL);
  call_until_served (&caller, CALLS_AT_A_TIME);
  fl_relay_drain (peer, 0);
  send_calls (&caller);
  support_run_loop_for (caller.loop, STEP_S);
  rejected_by_peer = caller.rejected_by_peer;
  for (int i = 0; i < AFTER_REJECTION_STEPS; i++)
    {
      send_calls (&caller);
      support_run_loop_for (caller.loop, STEP_S);
    }
  if (rejected_by_peer > 0 && caller.rejected_by_peer == rejected_by_peer)
    return STOP_HELD;
  print_error ("rejected %d, then %d, held up for %d ms\n", rejected_by_peer,
               caller.rejected_by_peer - rejected_by_peer, (int)caller.watch.held_up_ms);
  return caller.watch.held_up_ms >= HELD_UP_PAUSE_MS ? STOP_DISTURBED : STOP_FAILED;
}

/* A caller that a stopping peer has rejected sends it no further calls: they might arrive when the
 * process has just ended. */
static void
test_stopping_peer_gets_no_calls (void **state)
{
  enum stop_result result = call_stopping_peer ();

  (void)state;
  for (int run = 1; run < RUNS_MAX && result == STOP_DISTURBED; run++)
    result = call_stopping_peer ();
  assert_int_equal (result, STOP_HELD);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_calls_of_peers_while_stopping),
                                      cmocka_unit_test (test_stopping_peer_gets_no_calls) };

  return cmocka_run_group_tests_name ("relay_stop", tests, NULL, NULL);
}
