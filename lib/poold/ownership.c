#include "poold/ownership.h"

#include <string.h>

#include <glib.h>

#include "common/clock.h"
#include "common/schema.h"
#include "job/job_spec.h"
#include "store/tables.h"
#include "targets/calls.h"

/* Validity of the pool's lease, counted from the time a confirmed renewal was sent. A renewal is
 * sent without waiting for the previous reply, so that the lease survives three lost renewals in a
 * row. A store that is 60 times slower than usual (0.3 s per reply) still replies in time. */
#define LEASE_MS 1200
#define RENEWAL_INTERVAL_MS 250
/* A reply gives authority until the lease expires that it confirms. */
#define RENEWAL_TIMEOUT_MS LEASE_MS
#define RENEWAL_RETRY_MS 100
/* A standby treats the lease as expired when its row has not changed for this long: LEASE_MS plus a
 * margin for clocks whose rates differ by 2 %. */
#define LEASE_EXPIRY_MS 1235
#define STANDBY_POLL_MS 300
/* Poll interval of a host that owned the pool before its restart, which acquires it as soon as it
 * knows that no host is better suited. */
#define RESTARTED_OWNER_POLL_MS 100
/* Poll interval of a host that lets better suited hosts acquire the pool before it does. */
#define LOW_PRIORITY_POLL_MS 800
/* A late read is as good as an early one: the wait for the expiry of a lease ends with the sending
 * of a read. */
#define READ_TIMEOUT_MS 1200
/* After this long without a reply, a read counts as failed where the question is whether the store
 * was unavailable. */
#define READ_OVERDUE_MS 700
/* A standby's call without a reply for this long is followed by a read: one lost reply costs less
 * than the timeout. It is above the 0.3 s of a store that is 60 times slower than usual, and above
 * the 400 ms after which the path to the store counts as failed, so that the read takes another. */
#define HEDGE_DELAY_MS 430
#define STANDBY_CALLS_MAX 3
/* Longest time between two successful reads, with failed ones between them, in which the owner is
 * known to have had the time for a renewal: an outage of the store for all hosts that is not longer
 * ends early enough for a renewal, its interval and the calls, before the lease counts as expired.
 */
#define READ_GAP_MAX_MS (LEASE_EXPIRY_MS - RENEWAL_INTERVAL_MS - 85)
/* Delay before the first failed call of a standby is repeated. */
#define STANDBY_RETRY_MS 100
#define RELEASE_TIMEOUT_MS 500
/* An owner whose lease has expired, since it cannot reach the store, goes on sending heartbeats for
 * this long, so that running tasks survive. Together with the lease of the pool and the longest
 * ones of the targets this bridges store outages of about 8.5 s. A new owner adds this time to its
 * wait for targets that do not report: see fl_ownership_get_earlier_orders_end. */
#define HEARTBEAT_GRACE_MS 1480
/* An owner whose lease expires within this time may be about to lose it: renewals have failed for
 * half of LEASE_MS. With a store that is 60 times slower than usual, more is left. */
#define LEASE_AT_RISK_MS (LEASE_MS / 2)
/* How long another host may measure what the owner's clock measures as 100: the rates of two hosts'
 * clocks differ by up to 2 %. */
#define HOST_CLOCK_PERCENT 102

/* After its acquisition, how long owners before the previous one may send heartbeats: these end
 * LEASE_MS + HEARTBEAT_GRACE_MS, extended by the errors of clocks, after their last renewal, and
 * the acquisition followed LEASE_EXPIRY_MS after that. */
#define EARLIER_HEARTBEATS_MS                                                                      \
  ((LEASE_MS + HEARTBEAT_GRACE_MS) * HOST_CLOCK_PERCENT / 100                                      \
   - LEASE_EXPIRY_MS * 100 / HOST_CLOCK_PERCENT)
/* The lease row tells the age of the owner's term in this unit. In an earlier version it is the
 * number of renewals, sent RENEWAL_RETRY_MS apart or more but for the first ones and a release, so
 * that a reader does not count AGE_UNITS_UNSURE of them. */
#define AGE_UNIT_MS RENEWAL_RETRY_MS
#define AGE_UNITS_UNSURE 3

/* Replies of the store that a host remembers the version and the time of: as a standby reads each
 * STANDBY_POLL_MS, those of its last ten seconds. */
#define OBSERVATIONS_MAX 32

struct owner_row
{
  struct fl_name holder;
  struct fl_name incarnation;
  int64_t token;
};

static const struct fl_field owner_fields[] = {
  { "holder", FL_NAME, offsetof (struct owner_row, holder), true, 1, FL_NAME_MAX, 0, NULL, NULL },
  { "incarnation", FL_NAME, offsetof (struct owner_row, incarnation), true, 1, FL_NAME_MAX, 0, NULL,
    NULL },
  { "token", FL_INT, offsetof (struct owner_row, token), true, 1, INT32_MAX, 0, NULL, NULL },
};
static FL_SCHEMA (owner_schema, owner_row, owner_fields);

struct lease_row
{
  int64_t age_units;
  bool released;
};

static const struct fl_field lease_fields[] = {
  { "renewals", FL_INT, offsetof (struct lease_row, age_units), true, 0, INT64_MAX, 0, NULL, NULL },
  { "released", FL_BOOL, offsetof (struct lease_row, released), false, 0, 0, 0, NULL, NULL },
};
static FL_SCHEMA (lease_schema, lease_row, lease_fields);

enum ownership_state
{
  STANDBY,
  CONFIRMING, /* the store shows that this host has acquired the pool; no renewal is confirmed yet
               */
  OWNER,
  RELEASED
};

/* An acquisition that was sent. */
struct attempt
{
  /* 0 if there is none, or if this host has become owner with it. An owner has one while it may
   * have begun a new term without knowing it. */
  int64_t token;
  struct fl_name previous;
  bool previous_owner_may_be_active; /* another host owned the pool and had not released it */
  int64_t earlier_heartbeats_end_ms; /* until then, earlier owners may have sent heartbeats */
};

/* A time at which the store had @version or a later one. */
struct observation
{
  int64_t version;
  int64_t at_ms;
};

struct fl_ownership
{
  struct fl_ownership_options options;
  struct fl_name incarnation; /* unique to this process */
  enum ownership_state state;
  int64_t next_call_ms;        /* when the next call is due */
  int calls_in_flight;         /* calls of a standby that wait for a reply */
  int64_t last_call;           /* number of the last call of a standby */
  int64_t last_read;           /* number of the newest read that succeeded */
  int64_t pending_acquisition; /* number of the newest acquisition without a reply; 0 for none */
  int64_t period; /* number of changes to owner and back; older calls of a standby are void */
  int64_t token;  /* of the last acquisition that was sent */
  struct attempt attempt;
  int64_t pool_version; /* version of the pool row while this host is owner or confirming */
  int64_t authority_until_ms;
  int64_t acquired_ms; /* a time at or after the acquisition; 0 until it is known to be applied */
  /* As last read by a standby: */
  struct owner_row seen_owner;
  int64_t seen_pool_version;
  int64_t seen_lease_version;
  int64_t seen_age_units;           /* see AGE_UNIT_MS */
  int64_t lease_unchanged_since_ms; /* first read of seen_lease_version; 0 for none */
  int64_t last_read_ms;             /* last successful read */
  int failed_reads;                 /* since then */
  int64_t first_read_ms;            /* when the first read since then was sent; 0 for none */
  int64_t lease_seen_renewed_ms;    /* last read that showed a change of the lease; 0 for none */
  struct observation observations[OBSERVATIONS_MAX]; /* as a ring */
  size_t observation_count;                          /* made so far */
  bool new_term_in_flight;       /* a call that begins a new term waits for its reply */
  bool release_follows_new_term; /* the release is sent after that reply */
  bool release_repeated;
  void (*release_done) (void *context);
  void *release_done_context;
};

/* A renewal, or a call that begins a new term, in flight. */
struct renewal
{
  struct fl_ownership *ownership;
  int64_t token; /* of the term in which it was sent */
  int64_t sent_ms;
};

/* A read or an acquisition in flight. */
struct standby_call
{
  struct fl_ownership *ownership;
  int64_t number;
  int64_t period;
  int64_t token; /* of the last acquisition when the call was sent: its own if it is one */
  int64_t sent_ms;
};

static void on_release_reply (void *context, const struct fl_store_reply *reply);
static void read_ownership (struct fl_ownership *ownership);
static void renew_lease (struct fl_ownership *ownership);

static int64_t
now_ms (const struct fl_ownership *ownership)
{
  return fl_clock_now (&ownership->options.clock);
}

static void
schedule_call (struct fl_ownership *ownership, int64_t delay_ms)
{
  ownership->next_call_ms = now_ms (ownership) + delay_ms;
}

void
fl_ownership_tick (struct fl_ownership *ownership)
{
  if (now_ms (ownership) < ownership->next_call_ms)
    return;
  if (ownership->state == STANDBY && ownership->calls_in_flight < STANDBY_CALLS_MAX)
    read_ownership (ownership);
  else if (ownership->state == OWNER || ownership->state == CONFIRMING)
    renew_lease (ownership);
}

static struct fl_store_write
make_row_write (const char *key, const struct fl_str *value)
{
  return (struct fl_store_write){ .table = FL_OWNER_TABLE,
                                  .partition = FL_PARTITION_OWNER,
                                  .key = fl_name_of (key),
                                  .value = *value };
}

static struct fl_str
encode_lease (const struct fl_ownership *ownership, bool released)
{
  int64_t age_ms = ownership->acquired_ms > 0 ? now_ms (ownership) - ownership->acquired_ms : 0;
  struct lease_row row = { age_ms / AGE_UNIT_MS, released };

  return fl_record_encode (&lease_schema, &row);
}

static void
observe_version (struct fl_ownership *ownership, int64_t version)
{
  ownership->observations[ownership->observation_count % OBSERVATIONS_MAX]
      = (struct observation){ version, now_ms (ownership) };
  ownership->observation_count++;
}

/* --- owner --- */

/* Becomes owner by a call that was sent at @sent_ms and applied. */
static void
become_owner (struct fl_ownership *ownership, int64_t version, int64_t sent_ms)
{
  struct attempt attempt = ownership->attempt;

  if (ownership->acquired_ms == 0)
    ownership->acquired_ms = now_ms (ownership);
  ownership->state = OWNER;
  ownership->period++;
  ownership->calls_in_flight = 0;
  ownership->attempt.token = 0;
  ownership->pool_version = version;
  observe_version (ownership, version);
  ownership->authority_until_ms = sent_ms + LEASE_MS;
  fl_log (
      ownership->options.log, FL_LOG_NOTICE, "pool_taken", FL_I ("token", ownership->token),
      FL_I ("version", version), FL_N ("previous", &attempt.previous),
      FL_I ("lease_seen_renewed_ms_ago", ownership->lease_seen_renewed_ms > 0
                                             ? now_ms (ownership) - ownership->lease_seen_renewed_ms
                                             : -1));
  schedule_call (ownership, RENEWAL_INTERVAL_MS);
  ownership->options.on_acquired (ownership->options.context, ownership->token, version,
                                  attempt.previous_owner_may_be_active);
}

/* The pool row with @version shows that an acquisition without a confirmed result was applied. No
 * other host has acquired the pool since: that would have changed the row. The lease may have
 * expired, so that this host has authority only after a renewal under the same version. */
static void
begin_confirming (struct fl_ownership *ownership, int64_t version)
{
  fl_log (ownership->options.log, FL_LOG_NOTICE, "acquisition_found",
          FL_I ("token", ownership->token), FL_I ("version", version));
  ownership->state = CONFIRMING;
  ownership->acquired_ms = now_ms (ownership);
  ownership->pool_version = version;
  renew_lease (ownership);
}

/* The present term ends, and that of ownership->attempt, which this host has sent as owner, follows
 * it. Orders of the former may still wait for a connection, and leave in the latter. */
static void
pass_to_attempt (struct fl_ownership *ownership)
{
  struct attempt *attempt = &ownership->attempt;

  attempt->previous = ownership->options.host;
  attempt->previous_owner_may_be_active = false;
  attempt->earlier_heartbeats_end_ms
      = MAX (attempt->earlier_heartbeats_end_ms, now_ms (ownership) + FL_REPLY_MAX_MS);
  ownership->token = attempt->token;
  ownership->acquired_ms = 0;
}

static void
become_standby (struct fl_ownership *ownership)
{
  bool was_owner = ownership->state == OWNER;
  bool may_own = was_owner && ownership->attempt.token > 0;

  fl_log (ownership->options.log, FL_LOG_NOTICE, "pool_lost", FL_I ("token", ownership->token));
  ownership->state = STANDBY;
  ownership->period++;
  if (may_own)
    pass_to_attempt (ownership);
  else
    ownership->attempt.token = 0;
  ownership->authority_until_ms = 0;
  ownership->lease_unchanged_since_ms = 0;
  ownership->seen_lease_version = 0;
  ownership->calls_in_flight = 0;
  ownership->first_read_ms = 0;
  /* The pool may be lost to a new term of this host, which the next read shows. */
  schedule_call (ownership, may_own ? 0 : STANDBY_POLL_MS);
  if (was_owner)
    ownership->options.on_lost (ownership->options.context);
}

static void
on_renewal_reply (void *context, const struct fl_store_reply *reply)
{
  g_autofree struct renewal *renewal = context;
  struct fl_ownership *ownership = renewal->ownership;
  int64_t until_ms = renewal->sent_ms + LEASE_MS;

  if ((ownership->state != OWNER && ownership->state != CONFIRMING)
      || renewal->token != ownership->token)
    return;
  if (reply->status == FL_STORE_CONFLICT)
    become_standby (ownership);
  else if (reply->status != FL_STORE_OK)
    {
      fl_log_error (ownership->options.log, FL_LOG_WARNING, "renewal_failed", &reply->error);
      ownership->next_call_ms
          = MIN (ownership->next_call_ms, now_ms (ownership) + RENEWAL_RETRY_MS);
    }
  else if (ownership->state == OWNER)
    ownership->authority_until_ms = MAX (ownership->authority_until_ms, until_ms);
  else if (now_ms (ownership) < until_ms)
    become_owner (ownership, ownership->pool_version, renewal->sent_ms);
}

static void
write_lease (struct fl_ownership *ownership,
             bool released,
             int64_t timeout_ms,
             void (*done) (void *context, const struct fl_store_reply *reply),
             void *context)
{
  struct fl_store_condition condition = fl_ownership_get_write_condition (ownership);
  struct fl_str value;

  value = encode_lease (ownership, released);
  struct fl_store_write write = make_row_write (FL_OWNER_LEASE_KEY, &value);
  struct fl_store_transaction transaction = { &condition, 1, &write, 1 };
  const struct fl_store *store = ownership->options.store;
  store->transact (store->context, &transaction, timeout_ms, done, context);
  fl_str_clear (&value);
}

static void
renew_lease (struct fl_ownership *ownership)
{
  struct renewal *renewal = g_new0 (struct renewal, 1);

  *renewal = (struct renewal){ ownership, ownership->token, now_ms (ownership) };
  schedule_call (ownership, RENEWAL_INTERVAL_MS);
  write_lease (ownership, false, RENEWAL_TIMEOUT_MS, on_renewal_reply, renewal);
}

/* --- new terms of the owner --- */

/* The fencing token of the owner that follows the one with @token; 0 for none. */
static int64_t
next_owner_token (int64_t token)
{
  return token > 0 ? token + FL_FENCING_TOKENS_PER_OWNER : 1;
}

/* Ends the present term and begins the next one by a call that was sent at @sent_ms and applied. */
static void
change_term (struct fl_ownership *ownership, int64_t version, int64_t sent_ms)
{
  ownership->options.on_lost (ownership->options.context);
  pass_to_attempt (ownership);
  become_owner (ownership, version, sent_ms);
}

static void
on_new_term_reply (void *context, const struct fl_store_reply *reply)
{
  g_autofree struct renewal *call = context;
  struct fl_ownership *ownership = call->ownership;
  bool is_applied = reply->status == FL_STORE_OK;

  ownership->new_term_in_flight = false;
  if (ownership->release_follows_new_term)
    {
      if (is_applied)
        ownership->pool_version = reply->version;
      write_lease (ownership, true, RELEASE_TIMEOUT_MS, on_release_reply, ownership);
    }
  if (ownership->state != OWNER || call->token != ownership->token)
    return;
  if (is_applied && now_ms (ownership) < call->sent_ms + LEASE_MS)
    change_term (ownership, reply->version, call->sent_ms);
  else if (is_applied || reply->status == FL_STORE_CONFLICT)
    become_standby (ownership);
  else /* If it was applied all the same, or will be, the next renewal fails. */
    fl_log_error (ownership->options.log, FL_LOG_WARNING, "new_term_failed", &reply->error);
}

void
fl_ownership_begin_new_term (struct fl_ownership *ownership)
{
  struct owner_row row = { ownership->options.host, ownership->incarnation, 0 };
  const struct fl_store *store = ownership->options.store;

  if (!fl_ownership_has_authority (ownership) || fl_ownership_is_at_risk (ownership)
      || ownership->new_term_in_flight)
    return;
  row.token = next_owner_token (ownership->token);
  /* No other host has acquired the pool while its row is unchanged, whatever the lease row says. */
  struct fl_store_condition condition = fl_ownership_get_write_condition (ownership);
  struct fl_str owner = fl_record_encode (&owner_schema, &row);
  struct lease_row young = { 0, false };
  struct fl_str lease = fl_record_encode (&lease_schema, &young);
  struct fl_store_write writes[]
      = { make_row_write (FL_OWNER_POOL_KEY, &owner), make_row_write (FL_OWNER_LEASE_KEY, &lease) };
  struct fl_store_transaction transaction = { &condition, 1, writes, 2 };
  struct renewal *call = g_new0 (struct renewal, 1);

  *call = (struct renewal){ ownership, ownership->token, now_ms (ownership) };
  fl_log (ownership->options.log, FL_LOG_NOTICE, "new_term_requested", FL_I ("token", row.token));
  ownership->attempt.token = row.token;
  ownership->new_term_in_flight = true;
  store->transact (store->context, &transaction, RENEWAL_TIMEOUT_MS, on_new_term_reply, call);
  fl_str_clear (&owner);
  fl_str_clear (&lease);
}

/* --- standby --- */

/* Decodes the pool row and the lease row.
 * @return whether the pool is free: it was never owned, or its owner released it. */
static bool
decode_rows (struct fl_ownership *ownership,
             const struct fl_store_reply *reply,
             int64_t *lease_version)
{
  struct lease_row lease = { 0 };
  struct fl_error error = { 0 };
  bool owned = false;

  ownership->seen_pool_version = 0;
  ownership->seen_owner.token = 0;
  ownership->seen_age_units = 0;
  *lease_version = 0;
  for (size_t i = 0; i < reply->count; i++)
    {
      const struct fl_store_row *row = &reply->rows[i];
      if (strcmp (row->key.data, FL_OWNER_POOL_KEY) == 0)
        {
          /* Without the last token, no host can acquire the pool. */
          owned = fl_record_decode (&owner_schema, row->value.data, row->value.len,
                                    &ownership->seen_owner, &error);
          if (owned)
            ownership->seen_pool_version = row->version;
          else if (row->version > 0)
            fl_log_error (ownership->options.log, FL_LOG_ERR, "owner_unreadable", &error);
        }
      else if (strcmp (row->key.data, FL_OWNER_LEASE_KEY) == 0
               && fl_record_decode (&lease_schema, row->value.data, row->value.len, &lease, NULL))
        {
          *lease_version = row->version;
          ownership->seen_age_units = lease.age_units;
        }
    }
  return !owned || lease.released;
}

/* Whether the rows that were read last show that this process has acquired the pool without knowing
 * it. */
static bool
has_acquired_unknowingly (const struct fl_ownership *ownership)
{
  return ownership->attempt.token > 0 && ownership->seen_pool_version > 0
         && ownership->seen_owner.token == ownership->attempt.token
         && fl_name_eq (&ownership->seen_owner.incarnation, &ownership->incarnation);
}

/* Whether the owner was an earlier process on this host. That process has ended, since two of them
 * cannot run on one host. */
static bool
was_owned_by_this_host (const struct fl_ownership *ownership)
{
  return fl_name_eq (&ownership->seen_owner.holder, &ownership->options.host)
         && !fl_name_eq (&ownership->seen_owner.incarnation, &ownership->incarnation);
}

static struct standby_call *
standby_call_new (struct fl_ownership *ownership)
{
  struct standby_call *call = g_new0 (struct standby_call, 1);

  *call = (struct standby_call){ ownership, ++ownership->last_call, ownership->period,
                                 ownership->token, now_ms (ownership) };
  ownership->calls_in_flight++;
  schedule_call (ownership, HEDGE_DELAY_MS);
  return call;
}

/* Handles a reply that does not confirm an acquisition, which may have been applied all the same:
 * a reply was lost, or it is that of a copy of the call. */
static void
handle_unconfirmed_acquisition (struct fl_ownership *ownership,
                                const struct standby_call *call,
                                const struct fl_store_reply *reply)
{
  int64_t lease_version;

  fl_log (ownership->options.log, FL_LOG_NOTICE, "acquire_failed", FL_I ("token", ownership->token),
          FL_S ("result", fl_store_status_name (reply->status)),
          FL_I ("after_ms", now_ms (ownership) - call->sent_ms), FL_S ("peer", reply->error.peer),
          FL_S ("text", reply->error.text));
  if (reply->status == FL_STORE_CONFLICT)
    decode_rows (ownership, reply, &lease_version);
  if (reply->status == FL_STORE_OK)
    begin_confirming (ownership, reply->version);
  else if (reply->status == FL_STORE_CONFLICT && has_acquired_unknowingly (ownership))
    begin_confirming (ownership, ownership->seen_pool_version);
  else if (ownership->calls_in_flight > 0)
    return;
  else if (reply->status == FL_STORE_CONFLICT)
    schedule_call (ownership, STANDBY_POLL_MS);
  else
    schedule_call (ownership, reply->status == FL_STORE_UNKNOWN ? 0 : STANDBY_RETRY_MS);
}

/* Ends a release that waited for @reply to an acquisition. */
static void
release_acquired (struct fl_ownership *ownership, const struct fl_store_reply *reply)
{
  if (reply->status != FL_STORE_OK)
    {
      ownership->release_done (ownership->release_done_context);
      return;
    }
  ownership->pool_version = reply->version;
  write_lease (ownership, true, RELEASE_TIMEOUT_MS, on_release_reply, ownership);
}

static void
on_acquire_reply (void *context, const struct fl_store_reply *reply)
{
  g_autofree struct standby_call *call = context;
  struct fl_ownership *ownership = call->ownership;
  bool is_pending = call->number == ownership->pending_acquisition;

  if (is_pending)
    ownership->pending_acquisition = 0;
  if (ownership->state == RELEASED && is_pending)
    release_acquired (ownership, reply);
  if (ownership->state == RELEASED || call->period != ownership->period)
    return;
  ownership->calls_in_flight--;
  if (call->token != ownership->token)
    return;
  /* A reply that arrives after the acquired lease has expired gives no authority: another host may
   * own the pool by now. */
  if (reply->status == FL_STORE_OK && now_ms (ownership) < call->sent_ms + LEASE_MS)
    become_owner (ownership, reply->version, call->sent_ms);
  else if (ownership->state == STANDBY)
    handle_unconfirmed_acquisition (ownership, call, reply);
}

/* The least age of the owner's term when its last renewal was seen, by the clock of this host; up
 * to EARLIER_HEARTBEATS_MS. */
static int64_t
get_seen_age_ms (const struct fl_ownership *ownership)
{
  int64_t units = CLAMP (ownership->seen_age_units - AGE_UNITS_UNSURE, 0, EARLIER_HEARTBEATS_MS);

  return MIN (units * AGE_UNIT_MS * 100 / HOST_CLOCK_PERCENT, EARLIER_HEARTBEATS_MS);
}

/* Until when earlier owners may send heartbeats. The owner that was seen last sent the renewal that
 * this host has seen last before this host saw it, and the acquisition fails if it has renewed its
 * lease since. Owners before it may be active while its term is young. */
static int64_t
get_heartbeats_end_ms (const struct fl_ownership *ownership, bool owner_may_be_active)
{
  int64_t seen_ms = ownership->lease_seen_renewed_ms;

  if (owner_may_be_active)
    return seen_ms + (LEASE_MS + HEARTBEAT_GRACE_MS) * HOST_CLOCK_PERCENT / 100;
  if (ownership->seen_owner.token > 1)
    return seen_ms + EARLIER_HEARTBEATS_MS - get_seen_age_ms (ownership);
  return seen_ms;
}

static void
acquire_pool (struct fl_ownership *ownership, bool previous_owner_may_be_active)
{
  struct owner_row row = { ownership->options.host, ownership->incarnation,
                           next_owner_token (ownership->seen_owner.token) };
  struct fl_str owner = fl_record_encode (&owner_schema, &row);
  struct fl_str lease;

  ownership->acquired_ms = 0;
  lease = encode_lease (ownership, false);
  struct fl_store_write writes[]
      = { make_row_write (FL_OWNER_POOL_KEY, &owner), make_row_write (FL_OWNER_LEASE_KEY, &lease) };
  struct fl_store_condition conditions[] = {
    { FL_OWNER_TABLE, FL_PARTITION_OWNER, fl_name_of (FL_OWNER_POOL_KEY),
      ownership->seen_pool_version },
    { FL_OWNER_TABLE, FL_PARTITION_OWNER, fl_name_of (FL_OWNER_LEASE_KEY),
      ownership->seen_lease_version },
  };
  struct fl_store_transaction transaction = { conditions, 2, writes, 2 };
  const struct fl_store *store = ownership->options.store;

  ownership->token = row.token;
  ownership->attempt
      = (struct attempt){ row.token, ownership->seen_owner.holder, previous_owner_may_be_active,
                          get_heartbeats_end_ms (ownership, previous_owner_may_be_active) };
  struct standby_call *call = standby_call_new (ownership);
  ownership->pending_acquisition = call->number;
  store->transact (store->context, &transaction, RENEWAL_TIMEOUT_MS, on_acquire_reply, call);
  fl_str_clear (&owner);
  fl_str_clear (&lease);
}

/* How long the lease row must stay unchanged before this host acquires the pool. */
static int64_t
get_acquire_wait_ms (const struct fl_ownership *ownership, bool is_free)
{
  const struct fl_ownership_options *options = &ownership->options;
  int64_t delay_ms = 0;

  if (options->acquire_delay_ms != NULL)
    delay_ms = options->acquire_delay_ms (options->context, ownership->seen_pool_version == 0);
  /* A host that may be small lets larger ones acquire the pool even after it owned it. */
  if (was_owned_by_this_host (ownership) && delay_ms == 0)
    return 0;
  return delay_ms + (is_free ? 0 : LEASE_EXPIRY_MS);
}

static int64_t
get_poll_ms (const struct fl_ownership *ownership, int64_t wait_ms)
{
  if (was_owned_by_this_host (ownership))
    return RESTARTED_OWNER_POLL_MS;
  return wait_ms > LEASE_EXPIRY_MS ? LOW_PRIORITY_POLL_MS : STANDBY_POLL_MS;
}

/* The time until a read may find that the lease row has not changed for @wait_ms. */
static int64_t
get_wait_left_ms (const struct fl_ownership *ownership, int64_t wait_ms)
{
  return MAX (ownership->lease_unchanged_since_ms + wait_ms - now_ms (ownership), 0);
}

static void
handle_failed_read (struct fl_ownership *ownership, const struct fl_store_reply *reply)
{
  ownership->failed_reads++;
  fl_log (ownership->options.log, FL_LOG_INFO, "standby_read_failed",
          FL_I ("in_a_row", ownership->failed_reads),
          FL_S ("result", fl_store_status_name (reply->status)), FL_S ("peer", reply->error.peer),
          FL_S ("text", reply->error.text));
  if (ownership->calls_in_flight == 0 || reply->status == FL_STORE_REJECTED)
    schedule_call (ownership, ownership->failed_reads == 1 ? STANDBY_RETRY_MS : STANDBY_POLL_MS);
}

/* A read has succeeded. If others failed for long before, the owner may have been unable to reach
 * the store, too, so restart the wait: the owner is to renew its lease first. */
static void
end_read_gap (struct fl_ownership *ownership)
{
  int64_t gap_ms = now_ms (ownership) - ownership->last_read_ms;
  bool has_failed = ownership->failed_reads > 0
                    || now_ms (ownership) - ownership->first_read_ms >= READ_OVERDUE_MS;

  if (has_failed && gap_ms > READ_GAP_MAX_MS)
    {
      fl_log (ownership->options.log, FL_LOG_INFO, "standby_wait_restarted",
              FL_I ("waited_ms", ownership->lease_unchanged_since_ms > 0
                                     ? now_ms (ownership) - ownership->lease_unchanged_since_ms
                                     : 0),
              FL_I ("gap_ms", gap_ms));
      ownership->lease_unchanged_since_ms = 0;
    }
  ownership->failed_reads = 0;
  ownership->first_read_ms = 0;
  ownership->last_read_ms = now_ms (ownership);
}

static void
on_read_reply (void *context, const struct fl_store_reply *reply)
{
  g_autofree struct standby_call *call = context;
  struct fl_ownership *ownership = call->ownership;
  int64_t lease_version;
  int64_t wait_ms;
  bool is_free;

  if (call->period != ownership->period || ownership->state != STANDBY)
    return;
  ownership->calls_in_flight--;
  if (call->number < ownership->last_read)
    return;
  if (reply->status != FL_STORE_OK)
    {
      handle_failed_read (ownership, reply);
      return;
    }
  ownership->last_read = call->number;
  observe_version (ownership, reply->version);
  end_read_gap (ownership);
  is_free = decode_rows (ownership, reply, &lease_version);
  if (has_acquired_unknowingly (ownership))
    {
      begin_confirming (ownership, ownership->seen_pool_version);
      return;
    }
  if (lease_version != ownership->seen_lease_version || ownership->lease_unchanged_since_ms == 0)
    {
      if (lease_version != ownership->seen_lease_version)
        ownership->lease_seen_renewed_ms = now_ms (ownership);
      ownership->seen_lease_version = lease_version;
      ownership->lease_unchanged_since_ms = now_ms (ownership);
    }
  wait_ms = get_acquire_wait_ms (ownership, is_free);
  if (wait_ms == 0 || call->sent_ms - ownership->lease_unchanged_since_ms >= wait_ms)
    acquire_pool (ownership, !is_free && !was_owned_by_this_host (ownership));
  else
    schedule_call (ownership,
                   MIN (get_poll_ms (ownership, wait_ms), get_wait_left_ms (ownership, wait_ms)));
}

static void
read_ownership (struct fl_ownership *ownership)
{
  const struct fl_store *store = ownership->options.store;

  if (ownership->first_read_ms == 0)
    ownership->first_read_ms = now_ms (ownership);
  store->read (store->context, FL_OWNER_TABLE, FL_PARTITION_OWNER, "", "", READ_TIMEOUT_MS,
               on_read_reply, standby_call_new (ownership));
}

/* --- public functions --- */

struct fl_ownership *
fl_ownership_new (const struct fl_ownership_options *options)
{
  struct fl_ownership *ownership = g_new0 (struct fl_ownership, 1);

  ownership->options = *options;
  ownership->incarnation = fl_name_format ("%s-%" G_GINT64_FORMAT "-%08x", options->host.data,
                                           fl_clock_wall_ms (), g_random_int ());
  return ownership;
}

void
fl_ownership_free (struct fl_ownership *ownership)
{
  g_free (ownership);
}

bool
fl_ownership_has_authority (const struct fl_ownership *ownership)
{
  return ownership->state == OWNER && now_ms (ownership) < ownership->authority_until_ms;
}

int64_t
fl_ownership_get_authority_until (const struct fl_ownership *ownership)
{
  return ownership->authority_until_ms;
}

struct fl_store_condition
fl_ownership_get_write_condition (const struct fl_ownership *ownership)
{
  return (struct fl_store_condition){ FL_OWNER_TABLE, FL_PARTITION_OWNER,
                                      fl_name_of (FL_OWNER_POOL_KEY), ownership->pool_version };
}

void
fl_ownership_mark_superseded (struct fl_ownership *ownership)
{
  if (ownership->state == OWNER)
    become_standby (ownership);
}

static void
on_release_reply (void *context, const struct fl_store_reply *reply)
{
  struct fl_ownership *ownership = context;

  /* Without a reply the lease expires instead, but a new connection may serve the call at once. */
  if (reply->is_connection_stale && !ownership->release_repeated)
    {
      ownership->release_repeated = true;
      write_lease (ownership, true, RELEASE_TIMEOUT_MS, on_release_reply, ownership);
    }
  else
    ownership->release_done (ownership->release_done_context);
}

void
fl_ownership_release (struct fl_ownership *ownership, void (*done) (void *context), void *context)
{
  bool owned = ownership->state == OWNER || ownership->state == CONFIRMING;

  ownership->state = RELEASED;
  ownership->release_done = done;
  ownership->release_done_context = context;
  ownership->authority_until_ms = 0;
  /* What a pending acquisition changed is released with the pool, whatever its reply says. */
  if (owned)
    ownership->pending_acquisition = 0;
  if (owned && ownership->new_term_in_flight)
    ownership->release_follows_new_term = true;
  else if (owned)
    write_lease (ownership, true, RELEASE_TIMEOUT_MS, on_release_reply, ownership);
  else if (ownership->pending_acquisition == 0)
    done (context);
}

int64_t
fl_ownership_get_heartbeat_grace_ms (void)
{
  return HEARTBEAT_GRACE_MS;
}

bool
fl_ownership_is_at_risk (const struct fl_ownership *ownership)
{
  return now_ms (ownership) > ownership->authority_until_ms - LEASE_AT_RISK_MS;
}

int64_t
fl_ownership_get_earlier_orders_end (const struct fl_ownership *ownership)
{
  return ownership->attempt.earlier_heartbeats_end_ms;
}

int64_t
fl_ownership_count_from_version (const struct fl_ownership *ownership,
                                 int64_t version,
                                 int64_t left_ms)
{
  int64_t from_ms = now_ms (ownership);

  for (size_t i = 0; i < MIN (ownership->observation_count, OBSERVATIONS_MAX); i++)
    if (ownership->observations[i].version >= version)
      from_ms = MIN (from_ms, ownership->observations[i].at_ms);
  return from_ms + left_ms * HOST_CLOCK_PERCENT / 100 + 1;
}
