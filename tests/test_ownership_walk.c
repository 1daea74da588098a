/* Simulates the leader election of two hosts with every fault and every pair of faults: at each of
 * the first store calls and at every half second. At no time may two hosts have authority, the
 * fencing token must increase with each acquisition, and after the faults one host must own the
 * pool. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "poold/ownership.h"

#define HOST_COUNT 2
#define TICK_INTERVAL_MS 25
#define REPLY_DELAY_MS 10
#define LATE_APPLY_DELAY_MS 3000
#define FAULT_PHASE_MS 6000
#define SIMULATION_MS 14000
/* Faults are injected into this many store calls from the start; later calls are like these. */
#define FAULT_CALL_COUNT 36
#define FAULT_INTERVAL_MS 500
#define FAULT_INTERVAL_COUNT (FAULT_PHASE_MS / FAULT_INTERVAL_MS)

/* The kinds before CALL_FAULT_KINDS concern one store call, the others happen to a host. */
enum fault_kind
{
  CALL_REJECTED,
  CALL_LOST,         /* not executed, no reply */
  CALL_REPLY_LOST,   /* executed, but its reply is lost */
  CALL_APPLIED_LATE, /* no reply; executed seconds later if its conditions still hold */
  CALL_FAULT_KINDS,
  HOST_PAUSED_SHORT = CALL_FAULT_KINDS, /* suspended for 1 s; its clock advances */
  HOST_PAUSED_LONG,                     /* suspended for 4 s */
  HOST_ISOLATED,                        /* cannot reach the store for 3 s */
  HOST_KILLED,                          /* killed and restarted at once */
  HOST_STOPPED,                         /* releases the pool and is restarted */
  FAULT_KINDS
};

struct fault
{
  enum fault_kind kind;
  int position; /* number of the call, or interval * HOST_COUNT + index of the host */
};

struct row
{
  int64_t version;
  struct fl_str value;
};

struct simulation;

struct host
{
  struct simulation *simulation;
  int index;
  struct fl_ownership *ownership;
  int64_t paused_until_ms;
  int64_t isolated_until_ms;
};

/* A store call with its pending execution and its pending reply. */
struct call
{
  struct host *host;
  struct fl_ownership *caller; /* replies to an earlier process are dropped */
  bool is_read;
  struct fl_store_condition conditions[2];
  size_t condition_count;
  struct fl_name keys[2];
  struct fl_str values[2];
  size_t write_count;
  int64_t apply_at_ms; /* -1 if it is done or never happens */
  int64_t reply_at_ms; /* -1 if it is done */
  enum fl_store_status status;
  int64_t version;
  void (*done) (void *context, const struct fl_store_reply *reply);
  void *context;
};

struct simulation
{
  int64_t now_ms;
  struct host hosts[HOST_COUNT];
  struct row pool;
  struct row lease;
  int64_t store_version;
  int64_t last_token; /* fencing token of the last acquisition */
  GPtrArray *calls;
  int call_count;
  const struct fault *faults;
  size_t fault_count;
  char violation[128]; /* the first one, with its time; empty if there is none */
};

static void
record_violation (struct simulation *simulation, const char *description)
{
  if (simulation->violation[0] == '\0')
    snprintf (simulation->violation, sizeof simulation->violation, "%s at %d ms", description,
              (int)simulation->now_ms);
}

/* --- store --- */

static struct row *
find_row (struct simulation *simulation, const struct fl_name *key)
{
  return strcmp (key->data, FL_OWNER_POOL_KEY) == 0 ? &simulation->pool : &simulation->lease;
}

static void
apply_call (struct simulation *simulation, struct call *call)
{
  call->apply_at_ms = -1;
  for (size_t i = 0; i < call->condition_count; i++)
    if (find_row (simulation, &call->conditions[i].key)->version != call->conditions[i].version)
      {
        call->status = FL_STORE_CONFLICT;
        return;
      }
  simulation->store_version++;
  call->version = simulation->store_version;
  for (size_t i = 0; i < call->write_count; i++)
    {
      struct row *row = find_row (simulation, &call->keys[i]);
      fl_str_clear (&row->value);
      row->value = fl_str_dup (&call->values[i]);
      row->version = simulation->store_version;
    }
}

static void
deliver_reply (struct simulation *simulation, struct call *call)
{
  struct fl_store_row rows[2];
  struct fl_store_reply reply = { .status = call->status, .rows = rows, .version = call->version };

  call->reply_at_ms = -1;
  if (call->is_read && call->status == FL_STORE_OK)
    {
      const struct row *stored_rows[] = { &simulation->lease, &simulation->pool };
      const char *keys[] = { FL_OWNER_LEASE_KEY, FL_OWNER_POOL_KEY };
      for (int i = 0; i < 2; i++)
        if (stored_rows[i]->version > 0)
          rows[reply.count++] = (struct fl_store_row){ .key = fl_name_of (keys[i]),
                                                       .version = stored_rows[i]->version,
                                                       .value = stored_rows[i]->value };
    }
  if (call->host->ownership == call->caller)
    call->done (call->context, &reply);
}

/* Counts a store call of @host. @return its fault, or FAULT_KINDS if it has none. */
static enum fault_kind
get_next_call_fault (struct simulation *simulation, const struct host *host)
{
  int call_number = simulation->call_count++;

  if (simulation->now_ms < host->isolated_until_ms)
    return CALL_LOST;
  for (size_t i = 0; i < simulation->fault_count; i++)
    if (simulation->faults[i].kind < CALL_FAULT_KINDS
        && simulation->faults[i].position == call_number)
      return simulation->faults[i].kind;
  return FAULT_KINDS;
}

static struct call *
call_new (struct host *host,
          int64_t timeout_ms,
          void (*done) (void *context, const struct fl_store_reply *reply),
          void *context)
{
  struct simulation *simulation = host->simulation;
  struct call *call = g_new0 (struct call, 1);
  enum fault_kind fault = get_next_call_fault (simulation, host);
  bool gets_reply = fault == FAULT_KINDS || fault == CALL_REJECTED;

  call->host = host;
  call->caller = host->ownership;
  call->done = done;
  call->context = context;
  call->status = gets_reply ? FL_STORE_OK : FL_STORE_UNKNOWN;
  if (fault == CALL_REJECTED)
    call->status = FL_STORE_REJECTED;
  call->apply_at_ms = simulation->now_ms;
  if (fault == CALL_REJECTED || fault == CALL_LOST)
    call->apply_at_ms = -1;
  if (fault == CALL_APPLIED_LATE)
    call->apply_at_ms = simulation->now_ms + LATE_APPLY_DELAY_MS;
  call->reply_at_ms = simulation->now_ms + (gets_reply ? REPLY_DELAY_MS : timeout_ms);
  g_ptr_array_add (simulation->calls, call);
  return call;
}

static void
send_transaction (void *context,
                  const struct fl_store_transaction *transaction,
                  int64_t timeout_ms,
                  void (*done) (void *context, const struct fl_store_reply *reply),
                  void *done_context)
{
  struct call *call = call_new (context, timeout_ms, done, done_context);

  call->condition_count = transaction->condition_count;
  memcpy (call->conditions, transaction->conditions,
          transaction->condition_count * sizeof call->conditions[0]);
  call->write_count = transaction->write_count;
  for (size_t i = 0; i < transaction->write_count; i++)
    {
      call->keys[i] = transaction->writes[i].key;
      call->values[i] = fl_str_dup (&transaction->writes[i].value);
    }
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
  struct call *call = call_new (context, timeout_ms, done, done_context);

  (void)table;
  (void)partition;
  (void)first_key;
  (void)end_key;
  call->is_read = true;
  call->apply_at_ms = -1;
}

/* --- hosts --- */

static int64_t
read_clock (void *context)
{
  return ((struct simulation *)context)->now_ms;
}

static void
on_acquired (void *context, int64_t token, int64_t version, bool previous_owner_may_be_active)
{
  struct host *host = context;

  (void)version;
  (void)previous_owner_may_be_active;
  if (token <= host->simulation->last_token)
    record_violation (host->simulation, "the fencing token did not increase");
  host->simulation->last_token = token;
}

static void
ignore_event (void *context)
{
  (void)context;
}

static void
start_host (struct host *host)
{
  static const struct fl_log silent = { 0 };
  struct fl_store *store = g_new0 (struct fl_store, 1);
  struct fl_ownership_options options = {
    .clock = { read_clock, host->simulation },
    .log = &silent,
    .store = store,
    .host = fl_name_format ("host-%d", host->index),
    .on_acquired = on_acquired,
    .on_lost = ignore_event,
    .context = host,
  };

  *store = (struct fl_store){ .context = host, .transact = send_transaction, .read = send_read };
  host->ownership = fl_ownership_new (&options);
}

static void
inject_host_fault (struct simulation *simulation, const struct fault *fault)
{
  struct host *host = &simulation->hosts[fault->position % HOST_COUNT];

  switch (fault->kind)
    {
    case HOST_PAUSED_SHORT:
      host->paused_until_ms = simulation->now_ms + 1000;
      break;
    case HOST_PAUSED_LONG:
      host->paused_until_ms = simulation->now_ms + 4000;
      break;
    case HOST_ISOLATED:
      host->isolated_until_ms = simulation->now_ms + 3000;
      break;
    case HOST_STOPPED:
      fl_ownership_release (host->ownership, ignore_event, NULL);
      start_host (host);
      break;
    default:
      start_host (host);
      break;
    }
}

static void
inject_due_faults (struct simulation *simulation)
{
  for (size_t i = 0; i < simulation->fault_count; i++)
    {
      const struct fault *fault = &simulation->faults[i];
      if (fault->kind >= CALL_FAULT_KINDS
          && (fault->position / HOST_COUNT) * FAULT_INTERVAL_MS == simulation->now_ms)
        inject_host_fault (simulation, fault);
    }
}

static void
process_calls (struct simulation *simulation)
{
  for (guint i = 0; i < simulation->calls->len; i++)
    {
      struct call *call = g_ptr_array_index (simulation->calls, i);
      if (call->apply_at_ms >= 0 && call->apply_at_ms <= simulation->now_ms)
        apply_call (simulation, call);
      if (call->reply_at_ms >= 0 && call->reply_at_ms <= simulation->now_ms
          && call->host->paused_until_ms <= simulation->now_ms)
        deliver_reply (simulation, call);
    }
}

static int
count_hosts_with_authority (const struct simulation *simulation)
{
  int count = 0;

  for (int i = 0; i < HOST_COUNT; i++)
    count += fl_ownership_has_authority (simulation->hosts[i].ownership) ? 1 : 0;
  return count;
}

static void
call_free (void *data)
{
  struct call *call = data;

  for (size_t i = 0; i < call->write_count; i++)
    fl_str_clear (&call->values[i]);
  g_free (call);
}

/* Runs one simulation with @faults and prints a violation with its faults.
 * @return the fencing token of the last acquisition, or 0 if there was a violation. */
static int64_t
simulate (const struct fault *faults, size_t count)
{
  struct simulation simulation = { .faults = faults, .fault_count = count };

  simulation.calls = g_ptr_array_new_with_free_func (call_free);
  for (int i = 0; i < HOST_COUNT; i++)
    {
      simulation.hosts[i].simulation = &simulation;
      simulation.hosts[i].index = i;
      start_host (&simulation.hosts[i]);
    }
  for (; simulation.now_ms < SIMULATION_MS && simulation.violation[0] == '\0';
       simulation.now_ms += TICK_INTERVAL_MS)
    {
      inject_due_faults (&simulation);
      process_calls (&simulation);
      for (int i = 0; i < HOST_COUNT; i++)
        if (simulation.hosts[i].paused_until_ms <= simulation.now_ms)
          fl_ownership_tick (simulation.hosts[i].ownership);
      if (count_hosts_with_authority (&simulation) > 1)
        record_violation (&simulation, "two hosts have authority");
    }
  if (simulation.violation[0] == '\0' && count_hosts_with_authority (&simulation) != 1)
    record_violation (&simulation, "no host owns the pool");
  if (simulation.violation[0] != '\0')
    for (size_t i = 0; i < count; i++)
      printf ("%s: fault kind %d at position %d\n", simulation.violation, (int)faults[i].kind,
              faults[i].position);
  g_ptr_array_unref (simulation.calls);
  fl_str_clear (&simulation.pool.value);
  fl_str_clear (&simulation.lease.value);
  return simulation.violation[0] == '\0' ? simulation.last_token : 0;
}

static GArray *
enumerate_faults (void)
{
  GArray *faults = g_array_new (FALSE, FALSE, sizeof (struct fault));

  for (int kind = 0; kind < FAULT_KINDS; kind++)
    {
      int position_count
          = kind < CALL_FAULT_KINDS ? FAULT_CALL_COUNT : FAULT_INTERVAL_COUNT * HOST_COUNT;
      for (int position = 0; position < position_count; position++)
        {
          struct fault fault = { (enum fault_kind)kind, position };
          g_array_append_val (faults, fault);
        }
    }
  return faults;
}

static void
test_single_faults_and_pairs (void **state)
{
  GArray *faults = enumerate_faults ();
  int failed = 0;
  int runs = 0;

  (void)state;
  assert_int_equal (simulate (NULL, 0), 1);
  for (guint i = 0; i < faults->len; i++)
    for (guint j = i; j < faults->len && failed < 5; j++)
      {
        struct fault pair[]
            = { g_array_index (faults, struct fault, i), g_array_index (faults, struct fault, j) };
        failed += simulate (pair, 2) > 0 ? 0 : 1;
        runs++;
      }
  printf ("  ownership: %d runs of one or two faults\n", runs);
  g_array_unref (faults);
  assert_int_equal (failed, 0);
}

/* Both hosts lose the store for the same period: the owner stays the same. */
static void
test_outage_keeps_owner (void **state)
{
  (void)state;
  for (int interval = 2; interval < FAULT_INTERVAL_COUNT - 1; interval++)
    {
      struct fault pair[] = { { HOST_ISOLATED, interval * HOST_COUNT },
                              { HOST_ISOLATED, interval * HOST_COUNT + 1 } };
      assert_int_equal (simulate (pair, 2), 1);
    }
}

/* Both hosts lose the store at once, one of them for half a second longer. If the standby is back
 * first, the time in which it could not read the lease must not count as time without a renewal. */
static void
test_outage_ends_for_standby_first (void **state)
{
  (void)state;
  for (int interval = 2; interval < FAULT_INTERVAL_COUNT - 2; interval++)
    for (int isolated_longer = 0; isolated_longer < HOST_COUNT; isolated_longer++)
      {
        struct fault faults[] = { { HOST_ISOLATED, interval * HOST_COUNT + isolated_longer },
                                  { HOST_ISOLATED, (interval + 1) * HOST_COUNT + isolated_longer },
                                  { HOST_ISOLATED, interval * HOST_COUNT + 1 - isolated_longer } };
        assert_int_equal (simulate (faults, G_N_ELEMENTS (faults)), 1);
      }
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_single_faults_and_pairs),
                                      cmocka_unit_test (test_outage_keeps_owner),
                                      cmocka_unit_test (test_outage_ends_for_standby_first) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
