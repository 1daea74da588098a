/* Walks the rules of ownership for two hosts and a store: every pair of faults, at every call to
 * the store and at every half second, in one run each. At no time may two hosts have authority,
 * tokens rise with each taking, and after the faults one host owns the pool. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "poold/ownership.h"

#define HOSTS 2
#define STEP_MS 25
#define ANSWER_MS 10
#define LATE_MS 3000
#define FAULTS_END_MS 6000
#define RUN_MS 14000
/* Calls at which a fault may strike; later ones are like these. */
#define CALLS 36
#define SLOT_MS 500
#define SLOTS (FAULTS_END_MS / SLOT_MS)

/* What may go wrong: the first kinds at a call to the store, the others at a time. */
enum fault_kind
{
  CALL_REFUSED,
  CALL_LOST,        /* not done, not answered */
  CALL_ANSWER_LOST, /* done, not answered */
  CALL_DONE_LATE,   /* not answered, done seconds later if its conditions still hold */
  CALL_KINDS,
  HOST_PAUSED_SHORT = CALL_KINDS, /* for 1 s; its clock goes on */
  HOST_PAUSED_LONG,               /* for 4 s */
  HOST_CUT,                       /* from the store for 3 s */
  HOST_KILLED,                    /* and started again at once */
  HOST_RELEASES,                  /* a planned stop; started again */
  FAULT_KINDS
};

struct fault
{
  enum fault_kind kind;
  int at; /* number of the call, or of the slot times the hosts plus the host */
};

struct row
{
  int64_t version;
  struct fl_str value;
};

struct world;

struct host
{
  struct world *world;
  int number;
  struct fl_ownership *ownership;
  int64_t paused_until_ms;
  int64_t cut_until_ms;
};

/* A call to the store until it is answered, and a write until it is done. */
struct call
{
  struct host *host;
  struct fl_ownership *caller; /* answers to an earlier process are dropped */
  bool is_read;
  struct fl_store_condition conditions[2];
  size_t condition_count;
  struct fl_name keys[2];
  struct fl_str values[2];
  size_t write_count;
  int64_t apply_ms;  /* -1 for never or done */
  int64_t answer_ms; /* -1 for answered */
  enum fl_store_status status;
  int64_t version;
  void (*done) (void *context, const struct fl_store_reply *reply);
  void *context;
};

struct world
{
  int64_t now_ms;
  struct host hosts[HOSTS];
  struct row pool;
  struct row lease;
  int64_t version;
  int64_t token; /* of the last taking */
  GPtrArray *calls;
  int call_count;
  const struct fault *faults;
  size_t fault_count;
  char broken[128];
};

static void
broken (struct world *world, const char *what)
{
  if (world->broken[0] == '\0')
    snprintf (world->broken, sizeof world->broken, "%s at %d ms", what, (int)world->now_ms);
}

/* --- the store --- */

static struct row *
row_of (struct world *world, const struct fl_name *key)
{
  return strcmp (key->data, FL_OWNER_POOL_KEY) == 0 ? &world->pool : &world->lease;
}

static void
apply (struct world *world, struct call *call)
{
  call->apply_ms = -1;
  for (size_t i = 0; i < call->condition_count; i++)
    if (row_of (world, &call->conditions[i].key)->version != call->conditions[i].version)
      {
        call->status = FL_STORE_CONFLICT;
        return;
      }
  world->version++;
  call->version = world->version;
  for (size_t i = 0; i < call->write_count; i++)
    {
      struct row *row = row_of (world, &call->keys[i]);
      fl_str_clear (&row->value);
      row->value = fl_str_dup (&call->values[i]);
      row->version = world->version;
    }
}

static void
answer (struct world *world, struct call *call)
{
  struct fl_store_row rows[2];
  struct fl_store_reply reply = { .status = call->status, .rows = rows, .version = call->version };

  call->answer_ms = -1;
  if (call->is_read && call->status == FL_STORE_OK)
    {
      const struct row *both[] = { &world->lease, &world->pool };
      const char *keys[] = { FL_OWNER_LEASE_KEY, FL_OWNER_POOL_KEY };
      for (int i = 0; i < 2; i++)
        if (both[i]->version > 0)
          rows[reply.count++] = (struct fl_store_row){ .key = fl_name_of (keys[i]),
                                                       .version = both[i]->version,
                                                       .value = both[i]->value };
    }
  if (call->host->ownership == call->caller)
    call->done (call->context, &reply);
}

static enum fault_kind
fault_of_call (struct world *world, const struct host *host)
{
  int number = world->call_count++;

  if (world->now_ms < host->cut_until_ms)
    return CALL_LOST;
  for (size_t i = 0; i < world->fault_count; i++)
    if (world->faults[i].kind < CALL_KINDS && world->faults[i].at == number)
      return world->faults[i].kind;
  return FAULT_KINDS;
}

static struct call *
call_new (struct host *host,
          int64_t timeout_ms,
          void (*done) (void *context, const struct fl_store_reply *reply),
          void *context)
{
  struct world *world = host->world;
  struct call *call = g_new0 (struct call, 1);
  enum fault_kind fault = fault_of_call (world, host);
  bool answered = fault == FAULT_KINDS || fault == CALL_REFUSED;

  call->host = host;
  call->caller = host->ownership;
  call->done = done;
  call->context = context;
  call->status = answered ? FL_STORE_OK : FL_STORE_UNKNOWN;
  if (fault == CALL_REFUSED)
    call->status = FL_STORE_REJECTED;
  call->apply_ms = world->now_ms;
  if (fault == CALL_REFUSED || fault == CALL_LOST)
    call->apply_ms = -1;
  if (fault == CALL_DONE_LATE)
    call->apply_ms = world->now_ms + LATE_MS;
  call->answer_ms = world->now_ms + (answered ? ANSWER_MS : timeout_ms);
  g_ptr_array_add (world->calls, call);
  return call;
}

static void
transact (void *context,
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
read_rows (void *context,
           const char *table,
           const char *part,
           const char *from,
           const char *to,
           int64_t timeout_ms,
           void (*done) (void *context, const struct fl_store_reply *reply),
           void *done_context)
{
  struct call *call = call_new (context, timeout_ms, done, done_context);

  (void)table;
  (void)part;
  (void)from;
  (void)to;
  call->is_read = true;
  call->apply_ms = -1;
}

/* --- hosts --- */

static int64_t
read_clock (void *context)
{
  return ((struct world *)context)->now_ms;
}

static void
on_acquired (void *context, int64_t token, int64_t version, bool previous_owner_may_be_active)
{
  struct host *host = context;

  (void)version;
  (void)previous_owner_may_be_active;
  if (token <= host->world->token)
    broken (host->world, "a token did not rise");
  host->world->token = token;
}

static void
ignore (void *context)
{
  (void)context;
}

static void
start_host (struct host *host)
{
  static const struct fl_log silent = { 0 };
  struct fl_store *store = g_new0 (struct fl_store, 1);
  struct fl_ownership_options options = {
    .clock = { read_clock, host->world },
    .log = &silent,
    .store = store,
    .host = fl_name_format ("host-%d", host->number),
    .on_acquired = on_acquired,
    .on_lost = ignore,
    .context = host,
  };

  *store = (struct fl_store){ .context = host, .transact = transact, .read = read_rows };
  host->ownership = fl_ownership_new (&options);
}

static void
strike (struct world *world, const struct fault *fault)
{
  struct host *host = &world->hosts[fault->at % HOSTS];

  switch (fault->kind)
    {
    case HOST_PAUSED_SHORT:
      host->paused_until_ms = world->now_ms + 1000;
      break;
    case HOST_PAUSED_LONG:
      host->paused_until_ms = world->now_ms + 4000;
      break;
    case HOST_CUT:
      host->cut_until_ms = world->now_ms + 3000;
      break;
    case HOST_RELEASES:
      fl_ownership_release (host->ownership, ignore, NULL);
      start_host (host);
      break;
    default:
      start_host (host);
      break;
    }
}

static void
strike_due (struct world *world)
{
  for (size_t i = 0; i < world->fault_count; i++)
    {
      const struct fault *fault = &world->faults[i];
      if (fault->kind >= CALL_KINDS && (fault->at / HOSTS) * SLOT_MS == world->now_ms)
        strike (world, fault);
    }
}

static void
run_calls (struct world *world)
{
  for (guint i = 0; i < world->calls->len; i++)
    {
      struct call *call = g_ptr_array_index (world->calls, i);
      if (call->apply_ms >= 0 && call->apply_ms <= world->now_ms)
        apply (world, call);
      if (call->answer_ms >= 0 && call->answer_ms <= world->now_ms
          && call->host->paused_until_ms <= world->now_ms)
        answer (world, call);
    }
}

static int
hosts_with_authority (const struct world *world)
{
  int count = 0;

  for (int i = 0; i < HOSTS; i++)
    count += fl_ownership_has_authority (world->hosts[i].ownership) ? 1 : 0;
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

/* Plays one run with @faults; prints what broke. @return the last token, or 0 when a rule broke. */
static int64_t
play (const struct fault *faults, size_t count)
{
  struct world world = { .faults = faults, .fault_count = count };

  world.calls = g_ptr_array_new_with_free_func (call_free);
  for (int i = 0; i < HOSTS; i++)
    {
      world.hosts[i].world = &world;
      world.hosts[i].number = i;
      start_host (&world.hosts[i]);
    }
  for (; world.now_ms < RUN_MS && world.broken[0] == '\0'; world.now_ms += STEP_MS)
    {
      strike_due (&world);
      run_calls (&world);
      for (int i = 0; i < HOSTS; i++)
        if (world.hosts[i].paused_until_ms <= world.now_ms)
          fl_ownership_tick (world.hosts[i].ownership);
      if (hosts_with_authority (&world) > 1)
        broken (&world, "two hosts have authority");
    }
  if (world.broken[0] == '\0' && hosts_with_authority (&world) != 1)
    broken (&world, "no host owns the pool");
  if (world.broken[0] != '\0')
    for (size_t i = 0; i < count; i++)
      printf ("%s: fault %d at %d\n", world.broken, (int)faults[i].kind, faults[i].at);
  g_ptr_array_unref (world.calls);
  fl_str_clear (&world.pool.value);
  fl_str_clear (&world.lease.value);
  return world.broken[0] == '\0' ? world.token : 0;
}

static GArray *
all_faults (void)
{
  GArray *faults = g_array_new (FALSE, FALSE, sizeof (struct fault));

  for (int kind = 0; kind < FAULT_KINDS; kind++)
    {
      int places = kind < CALL_KINDS ? CALLS : SLOTS * HOSTS;
      for (int at = 0; at < places; at++)
        {
          struct fault fault = { (enum fault_kind)kind, at };
          g_array_append_val (faults, fault);
        }
    }
  return faults;
}

static void
test_pairs (void **state)
{
  GArray *faults = all_faults ();
  int failed = 0;
  int runs = 0;

  (void)state;
  assert_int_equal (play (NULL, 0), 1);
  for (guint i = 0; i < faults->len; i++)
    for (guint j = i; j < faults->len && failed < 5; j++)
      {
        struct fault pair[]
            = { g_array_index (faults, struct fault, i), g_array_index (faults, struct fault, j) };
        failed += play (pair, 2) > 0 ? 0 : 1;
        runs++;
      }
  printf ("  ownership: %d runs of one or two faults\n", runs);
  g_array_unref (faults);
  assert_int_equal (failed, 0);
}

/* The store is away for both hosts: whoever owned the pool before owns it afterwards. */
static void
test_outage_changes_nothing (void **state)
{
  (void)state;
  for (int slot = 2; slot < SLOTS - 1; slot++)
    {
      struct fault pair[] = { { HOST_CUT, slot * HOSTS }, { HOST_CUT, slot * HOSTS + 1 } };
      assert_int_equal (play (pair, 2), 1);
    }
}

/* Both are cut at once, the owner half a second longer: the time in which the standby saw nothing
 * does not count as standing still. */
static void
test_outage_ends_for_standby_first (void **state)
{
  (void)state;
  for (int slot = 2; slot < SLOTS - 2; slot++)
    for (int owner = 0; owner < HOSTS; owner++)
      {
        struct fault faults[] = { { HOST_CUT, slot * HOSTS + owner },
                                  { HOST_CUT, (slot + 1) * HOSTS + owner },
                                  { HOST_CUT, slot * HOSTS + 1 - owner } };
        assert_int_equal (play (faults, G_N_ELEMENTS (faults)), 1);
      }
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_pairs), cmocka_unit_test (test_outage_changes_nothing),
          cmocka_unit_test (test_outage_ends_for_standby_first) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
