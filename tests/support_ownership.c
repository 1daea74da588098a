#include "support_ownership.h"

#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "core/core.h"
#include "poold/ownership.h"
#include "targets/calls.h"

#define TICK_INTERVAL_MS 25
#define LATE_APPLY_DELAY_MS 3000
#define LATE_REPLY_DELAY_MS 1300

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
  struct fl_store store;
  int64_t paused_until_ms;
  int64_t isolated_until_ms;
  bool loses_next_call;
};

/* A store call with its pending execution and its pending reply. */
struct call
{
  struct host *host;
  struct fl_ownership *caller; /* replies to an earlier process are dropped */
  enum election_call type;
  enum fault_kind fault;
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
  const struct election_options *options;
  struct election_result *result;
  int64_t now_ms;
  struct host hosts[ELECTION_HOSTS_MAX];
  struct row pool;
  struct row lease;
  int64_t store_version;
  GPtrArray *calls;
  guint first_open_call; /* all calls before this index are done */
  int call_count;
  int call_faults_left[8]; /* by index of options->call_faults */
  int64_t new_term_sent_ms;
};

static void
record_violation (struct simulation *simulation, const char *description)
{
  if (simulation->result->violation[0] == '\0')
    snprintf (simulation->result->violation, sizeof simulation->result->violation, "%s at %d ms",
              description, (int)simulation->now_ms);
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
        if (call->status == FL_STORE_OK)
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
  /* The copy of a renewal is executed, too, since the row of its condition has not changed. */
  if (call->fault == CALL_APPLIED_CONFLICT && call->type == ELECTION_ACQUISITION)
    call->status = FL_STORE_CONFLICT;
}

static void
deliver_reply (struct simulation *simulation, struct call *call)
{
  struct fl_store_row rows[2];
  struct fl_store_reply reply = { .status = call->status, .rows = rows, .version = call->version };

  call->reply_at_ms = -1;
  if (call->status == FL_STORE_CONFLICT
      || (call->type == ELECTION_READ && call->status == FL_STORE_OK))
    {
      const struct row *stored_rows[] = { &simulation->lease, &simulation->pool };
      const char *keys[] = { FL_OWNER_LEASE_KEY, FL_OWNER_POOL_KEY };
      for (int i = 0; i < 2; i++)
        if (stored_rows[i]->version > 0)
          rows[reply.count++] = (struct fl_store_row){ .table = fl_name_of (FL_OWNER_TABLE),
                                                       .key = fl_name_of (keys[i]),
                                                       .version = stored_rows[i]->version,
                                                       .value = stored_rows[i]->value };
    }
  if (call->host->ownership == call->caller)
    call->done (call->context, &reply);
}

static enum fault_kind
find_call_fault (struct simulation *simulation, const struct host *host, enum election_call type)
{
  const struct election_options *options = simulation->options;

  for (size_t i = 0; i < options->call_fault_count; i++)
    {
      const struct call_fault *fault = &options->call_faults[i];
      if ((fault->host < 0 || fault->host == host->index) && fault->type == type
          && simulation->now_ms >= fault->from_ms && simulation->call_faults_left[i] > 0)
        {
          simulation->call_faults_left[i]--;
          return fault->kind;
        }
    }
  return FAULT_KINDS;
}

/* Counts a store call of @host. @return its fault, or FAULT_KINDS if it has none. */
static enum fault_kind
get_next_call_fault (struct simulation *simulation, struct host *host, enum election_call type)
{
  const struct election_options *options = simulation->options;
  int call_number = simulation->call_count++;

  simulation->result->calls[host->index][type]++;
  if (simulation->now_ms < host->isolated_until_ms
      || (simulation->now_ms >= options->outage.from_ms
          && simulation->now_ms < options->outage.until_ms))
    return CALL_LOST;
  if (host->loses_next_call)
    {
      host->loses_next_call = false;
      return CALL_LOST;
    }
  for (size_t i = 0; i < options->fault_count; i++)
    if (options->faults[i].kind < CALL_FAULT_KINDS && options->faults[i].position == call_number)
      return options->faults[i].kind;
  return find_call_fault (simulation, host, type);
}

static struct call *
call_new (struct host *host,
          enum election_call type,
          int64_t timeout_ms,
          void (*done) (void *context, const struct fl_store_reply *reply),
          void *context)
{
  struct simulation *simulation = host->simulation;
  struct call *call = g_new0 (struct call, 1);
  enum fault_kind fault = get_next_call_fault (simulation, host, type);
  bool gets_reply = fault != CALL_LOST && fault != CALL_REPLY_LOST && fault != CALL_APPLIED_LATE
                    && fault != CALL_REPLY_LOST_TWICE;

  int64_t reply_delay_ms = simulation->options->reply_delay_ms > 0
                               ? simulation->options->reply_delay_ms
                               : ELECTION_REPLY_DELAY_MS;

  host->loses_next_call = host->loses_next_call || fault == CALL_REPLY_LOST_TWICE;
  call->host = host;
  call->caller = host->ownership;
  call->type = type;
  call->fault = fault;
  call->done = done;
  call->context = context;
  call->status = gets_reply ? FL_STORE_OK : FL_STORE_UNKNOWN;
  if (fault == CALL_REJECTED || fault == CALL_APPLIED_REJECTED)
    call->status = FL_STORE_REJECTED;
  call->apply_at_ms = simulation->now_ms;
  if (type == ELECTION_READ || fault == CALL_REJECTED || fault == CALL_LOST)
    call->apply_at_ms = -1;
  if (fault == CALL_APPLIED_LATE && type != ELECTION_READ)
    call->apply_at_ms = simulation->now_ms + LATE_APPLY_DELAY_MS;
  if (reply_delay_ms > timeout_ms)
    {
      gets_reply = false;
      call->status = FL_STORE_UNKNOWN;
    }
  call->reply_at_ms = simulation->now_ms + (gets_reply ? reply_delay_ms : timeout_ms);
  if (fault == CALL_REPLY_LATE)
    call->reply_at_ms = simulation->now_ms + LATE_REPLY_DELAY_MS;
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
  enum election_call type = transaction->write_count > 1 ? ELECTION_ACQUISITION : ELECTION_RENEWAL;
  struct call *call = call_new (context, type, timeout_ms, done, done_context);

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
  (void)table;
  (void)partition;
  (void)first_key;
  (void)end_key;
  call_new (context, ELECTION_READ, timeout_ms, done, done_context);
}

/* --- hosts --- */

static int64_t
get_clock_rate (const struct host *host)
{
  return 1000 + host->simulation->options->clock_errors[host->index];
}

static int64_t
read_clock (void *context)
{
  const struct host *host = context;

  return host->simulation->now_ms * get_clock_rate (host) / 1000;
}

static int64_t
get_acquire_delay (void *context, bool never_owned)
{
  const struct host *host = context;

  (void)never_owned;
  return host->simulation->options->acquire_delays_ms[host->index];
}

static int64_t
get_reconciled_at (const struct host *host)
{
  struct fl_core_options options
      = { .earlier_orders_end_ms = fl_ownership_get_earlier_orders_end (host->ownership),
          .target_lease_ms = ELECTION_TARGET_LEASE_MS,
          .target_lease_max_ms = ELECTION_TARGET_LEASE_MAX_MS };
  struct fl_core *core = fl_core_new (&options);
  int64_t at_ms = fl_core_reconciled_at (core);

  fl_core_free (core);
  return at_ms * 1000 / get_clock_rate (host);
}

static void
on_acquired (void *context, int64_t token, int64_t version, bool previous_owner_may_be_active)
{
  struct host *host = context;
  struct simulation *simulation = host->simulation;
  int64_t number = 1 + (token - 1) / FL_FENCING_TOKENS_PER_OWNER;

  if (number <= simulation->result->last_acquisition
      || token != 1 + (number - 1) * FL_FENCING_TOKENS_PER_OWNER)
    record_violation (simulation, "the fencing token did not increase by those of one owner");
  if (version != simulation->pool.version)
    record_violation (simulation, "the version is not that of the pool row");
  if (simulation->options->new_term_from_ms > 0
      && simulation->now_ms >= simulation->options->new_term_from_ms && number > 1
      && simulation->result->acquisitions[number - 1].host == host->index)
    simulation->result->new_terms++;
  simulation->result->last_acquisition = number;
  if (number < ELECTION_ACQUISITIONS_MAX)
    simulation->result->acquisitions[number]
        = (struct acquisition){ simulation->now_ms, host->index, previous_owner_may_be_active,
                                get_reconciled_at (host) };
}

static void
on_lost (void *context)
{
  const struct host *host = context;

  host->simulation->result->last_loss_ms = host->simulation->now_ms;
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
  struct fl_ownership_options options = {
    .clock = { read_clock, host },
    .log = &silent,
    .store = &host->store,
    .host = fl_name_format ("host-%d", host->index),
    .acquire_delay_ms = get_acquire_delay,
    .on_acquired = on_acquired,
    .on_lost = on_lost,
    .context = host,
  };

  host->store
      = (struct fl_store){ .context = host, .transact = send_transaction, .read = send_read };
  host->ownership = fl_ownership_new (&options);
}

static void
inject_host_fault (struct simulation *simulation, const struct fault *fault)
{
  struct host *host = &simulation->hosts[fault->position % simulation->options->host_count];

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
    case HOST_CUT_OFF:
      host->isolated_until_ms = INT64_MAX;
      break;
    case HOST_DEAD:
      host->ownership = NULL;
      break;
    default:
      start_host (host);
      break;
    }
}

static void
inject_due_faults (struct simulation *simulation)
{
  const struct election_options *options = simulation->options;

  for (size_t i = 0; i < options->fault_count; i++)
    {
      const struct fault *fault = &options->faults[i];
      if (fault->kind >= CALL_FAULT_KINDS
          && (fault->position / options->host_count) * ELECTION_FAULT_INTERVAL_MS
                 == simulation->now_ms)
        inject_host_fault (simulation, fault);
    }
}

static void
process_calls (struct simulation *simulation)
{
  bool all_done = true;

  for (guint i = simulation->first_open_call; i < simulation->calls->len; i++)
    {
      struct call *call = g_ptr_array_index (simulation->calls, i);
      if (call->apply_at_ms >= 0 && call->apply_at_ms <= simulation->now_ms)
        apply_call (simulation, call);
      if (call->reply_at_ms >= 0 && call->reply_at_ms <= simulation->now_ms
          && call->host->paused_until_ms <= simulation->now_ms)
        deliver_reply (simulation, call);
      all_done = all_done && call->apply_at_ms < 0 && call->reply_at_ms < 0;
      if (all_done)
        simulation->first_open_call = i + 1;
    }
}

static int
count_hosts_with_authority (const struct simulation *simulation)
{
  int count = 0;

  for (int i = 0; i < simulation->options->host_count; i++)
    if (simulation->hosts[i].ownership != NULL)
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

/* Lets host 0 begin a new term, again after a call that failed, until one has begun. */
static void
begin_new_term (struct simulation *simulation)
{
  struct host *host = &simulation->hosts[0];
  int64_t from_ms = simulation->options->new_term_from_ms;

  if (from_ms == 0 || simulation->now_ms < from_ms || host->ownership == NULL
      || host->paused_until_ms > simulation->now_ms
      || simulation->now_ms < simulation->new_term_sent_ms + ELECTION_NEW_TERM_RETRY_MS
      || simulation->result->new_terms > 0 || !fl_ownership_has_authority (host->ownership))
    return;
  simulation->new_term_sent_ms = simulation->now_ms;
  fl_ownership_begin_new_term (host->ownership);
}

/* An owner sends heartbeats while it has authority and for some time after that. */
static void
record_heartbeats (struct simulation *simulation)
{
  for (int i = 0; i < simulation->options->host_count; i++)
    {
      struct host *host = &simulation->hosts[i];
      if (host->ownership != NULL && host->paused_until_ms <= simulation->now_ms
          && read_clock (host) < fl_ownership_get_authority_until (host->ownership)
                                     + fl_ownership_get_heartbeat_grace_ms ())
        simulation->result->last_heartbeat_ms[i] = simulation->now_ms;
    }
}

static void
run_tick (struct simulation *simulation)
{
  inject_due_faults (simulation);
  process_calls (simulation);
  for (int i = 0; i < simulation->options->host_count; i++)
    if (simulation->hosts[i].ownership != NULL
        && simulation->hosts[i].paused_until_ms <= simulation->now_ms)
      fl_ownership_tick (simulation->hosts[i].ownership);
  begin_new_term (simulation);
  record_heartbeats (simulation);
  if (count_hosts_with_authority (simulation) > 0)
    simulation->result->authority_ms += TICK_INTERVAL_MS;
  if (count_hosts_with_authority (simulation) > 1)
    record_violation (simulation, "two hosts have authority");
}

void
election_simulate (const struct election_options *options, struct election_result *result)
{
  struct simulation simulation = { .options = options, .result = result };

  memset (result, 0, sizeof *result);
  simulation.calls = g_ptr_array_new_with_free_func (call_free);
  for (size_t i = 0; i < options->call_fault_count; i++)
    simulation.call_faults_left[i] = options->call_faults[i].count;
  for (int i = 0; i < options->host_count; i++)
    {
      simulation.hosts[i].simulation = &simulation;
      simulation.hosts[i].index = i;
      start_host (&simulation.hosts[i]);
    }
  for (; simulation.now_ms < options->duration_ms && result->violation[0] == '\0';
       simulation.now_ms += TICK_INTERVAL_MS)
    run_tick (&simulation);
  result->with_authority = count_hosts_with_authority (&simulation);
  g_ptr_array_unref (simulation.calls);
  fl_str_clear (&simulation.pool.value);
  fl_str_clear (&simulation.lease.value);
}
