#include "poold/ownership.h"

#include <string.h>

#include <glib.h>

#include "common/clock.h"
#include "common/schema.h"
#include "job/job_spec.h"
#include "store/tables.h"

/* Authority that a confirmed renewal gives, counted from its sending. Renewals do not wait for each
 * other, so that three may be lost in a row; a store that is 60 times slower than usual (0.3 s an
 * answer) still answers in time. */
#define LEASE_MS 1200
#define RENEW_MS 250
#define RENEW_TIMEOUT_MS 700
#define RENEW_RETRY_MS 100
/* A standby takes over when the lease row stands still for this long: the lease, lengthened for
 * clocks that differ by 2 %. */
#define TAKE_AFTER_MS 1235
#define STANDBY_POLL_MS 300
/* Hosts that leave the pool to better suited ones look less often. */
#define UNSUITED_POLL_MS 800
#define READ_TIMEOUT_MS 700
#define RELEASE_TIMEOUT_MS 500
/* While the store is away an owner without authority keeps what runs alive for this long: with the
 * leases of pool and tasks it bridges outages of 9 s. A taker waits for it where a target is
 * silent. */
#define HOLD_ON_MS 3000
/* The clock of a target may be 2 % slow. */
#define CLOCK_PERCENT 104

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
  int64_t renewals;
  bool released;
};

static const struct fl_field lease_fields[] = {
  { "renewals", FL_INT, offsetof (struct lease_row, renewals), true, 0, INT64_MAX, 0, NULL, NULL },
  { "released", FL_BOOL, offsetof (struct lease_row, released), false, 0, 0, 0, NULL, NULL },
};
static FL_SCHEMA (lease_schema, lease_row, lease_fields);

enum ownership_state
{
  STANDBY,
  OWNER,
  RELEASED
};

struct fl_ownership
{
  struct fl_ownership_options options;
  struct fl_name incarnation; /* tells boots of this process apart */
  enum ownership_state state;
  int64_t next_ms; /* when the next call is due */
  int64_t sent_ms; /* when the open call of a standby was sent */
  bool open;       /* a call of a standby is not answered */
  int64_t token;
  int64_t pool_version; /* of the pool row while this host owns it */
  int64_t authority_until_ms;
  int64_t renewals;
  /* standby: */
  struct owner_row seen_owner;
  int64_t seen_pool_version;
  int64_t seen_lease_version;
  int64_t still_since_ms; /* first read that showed this lease version; 0 for none */
  bool held_on;           /* the previous owner may be alive */
  void (*released) (void *context);
  void *released_context;
};

/* A renewal until it is answered. */
struct renewal
{
  struct fl_ownership *ownership;
  int64_t token;
  int64_t sent_ms;
};

static void standby_read (struct fl_ownership *ownership);
static void renew (struct fl_ownership *ownership);

static int64_t
now_ms (const struct fl_ownership *ownership)
{
  return fl_clock_now (&ownership->options.clock);
}

static void
schedule (struct fl_ownership *ownership, int64_t delay_ms)
{
  ownership->next_ms = now_ms (ownership) + delay_ms;
}

void
fl_ownership_tick (struct fl_ownership *ownership)
{
  if (now_ms (ownership) < ownership->next_ms)
    return;
  if (ownership->state == STANDBY && !ownership->open)
    standby_read (ownership);
  else if (ownership->state == OWNER)
    renew (ownership);
}

static struct fl_store_write
row_write (const char *key, const struct fl_str *value)
{
  return (struct fl_store_write){ .table = FL_OWNER_TABLE,
                                  .partition = FL_PARTITION_OWNER,
                                  .key = fl_name_of (key),
                                  .value = *value };
}

static struct fl_str
lease_value (const struct fl_ownership *ownership, bool released)
{
  struct lease_row row = { ownership->renewals, released };

  return fl_record_encode (&lease_schema, &row);
}

/* --- owner --- */

static void
become_owner (struct fl_ownership *ownership, int64_t version)
{
  ownership->state = OWNER;
  ownership->pool_version = version;
  ownership->authority_until_ms = ownership->sent_ms + LEASE_MS;
  fl_log (ownership->options.log, FL_LOG_NOTICE, "pool_taken", FL_I ("token", ownership->token),
          FL_I ("version", version));
  schedule (ownership, RENEW_MS);
  ownership->options.on_taken (ownership->options.context, ownership->token, version,
                               ownership->held_on);
}

static void
lose (struct fl_ownership *ownership)
{
  fl_log (ownership->options.log, FL_LOG_NOTICE, "pool_lost", FL_I ("token", ownership->token));
  ownership->state = STANDBY;
  ownership->authority_until_ms = 0;
  ownership->still_since_ms = 0;
  ownership->seen_lease_version = 0;
  schedule (ownership, STANDBY_POLL_MS);
  ownership->options.on_lost (ownership->options.context);
}

static void
on_renewed (void *context, const struct fl_store_reply *reply)
{
  g_autofree struct renewal *renewal = context;
  struct fl_ownership *ownership = renewal->ownership;
  int64_t until_ms = renewal->sent_ms + LEASE_MS;

  if (ownership->state != OWNER || renewal->token != ownership->token)
    return;
  if (reply->status == FL_STORE_CONFLICT)
    lose (ownership);
  else if (reply->status == FL_STORE_OK)
    ownership->authority_until_ms = MAX (ownership->authority_until_ms, until_ms);
  else
    {
      fl_log_error (ownership->options.log, FL_LOG_WARNING, "renewal_failed", &reply->error);
      ownership->next_ms = MIN (ownership->next_ms, now_ms (ownership) + RENEW_RETRY_MS);
    }
}

static void
send_lease (struct fl_ownership *ownership,
            bool released,
            int64_t timeout_ms,
            void (*done) (void *context, const struct fl_store_reply *reply),
            void *context)
{
  struct fl_store_condition condition = fl_ownership_condition (ownership);
  struct fl_str value;

  ownership->renewals++;
  value = lease_value (ownership, released);
  struct fl_store_write write = row_write (FL_OWNER_LEASE_KEY, &value);
  struct fl_store_transaction transaction = { &condition, 1, &write, 1 };
  const struct fl_store *store = ownership->options.store;
  store->transact (store->context, &transaction, timeout_ms, done, context);
  fl_str_clear (&value);
}

static void
renew (struct fl_ownership *ownership)
{
  struct renewal *renewal = g_new0 (struct renewal, 1);

  *renewal = (struct renewal){ ownership, ownership->token, now_ms (ownership) };
  schedule (ownership, RENEW_MS);
  send_lease (ownership, false, RENEW_TIMEOUT_MS, on_renewed, renewal);
}

/* --- standby --- */

static void
on_take_answered (void *context, const struct fl_store_reply *reply)
{
  struct fl_ownership *ownership = context;

  ownership->open = false;
  if (ownership->state != STANDBY)
    return;
  /* An answer that comes after the authority which it gives is of no use: another host may own the
   * pool by now. */
  if (reply->status == FL_STORE_OK && now_ms (ownership) < ownership->sent_ms + LEASE_MS)
    become_owner (ownership, reply->version);
  else
    schedule (ownership, STANDBY_POLL_MS);
}

static void
take (struct fl_ownership *ownership)
{
  struct owner_row row
      = { ownership->options.host, ownership->incarnation, ownership->seen_owner.token + 1 };
  struct fl_str owner = fl_record_encode (&owner_schema, &row);
  struct fl_str lease = lease_value (ownership, false);
  struct fl_store_write writes[]
      = { row_write (FL_OWNER_POOL_KEY, &owner), row_write (FL_OWNER_LEASE_KEY, &lease) };
  struct fl_store_condition conditions[] = {
    { FL_OWNER_TABLE, FL_PARTITION_OWNER, fl_name_of (FL_OWNER_POOL_KEY),
      ownership->seen_pool_version },
    { FL_OWNER_TABLE, FL_PARTITION_OWNER, fl_name_of (FL_OWNER_LEASE_KEY),
      ownership->seen_lease_version },
  };
  struct fl_store_transaction transaction = { conditions, 2, writes, 2 };
  const struct fl_store *store = ownership->options.store;

  ownership->token = row.token;
  ownership->sent_ms = now_ms (ownership);
  ownership->open = true;
  store->transact (store->context, &transaction, RENEW_TIMEOUT_MS, on_take_answered, ownership);
  fl_str_clear (&owner);
  fl_str_clear (&lease);
}

/* Reads the two rows. @return whether the pool is free: never owned, or given up. */
static bool
read_rows (struct fl_ownership *ownership,
           const struct fl_store_reply *reply,
           int64_t *lease_version)
{
  struct lease_row lease = { 0 };
  bool owned = false;

  ownership->seen_pool_version = 0;
  ownership->seen_owner.token = 0;
  *lease_version = 0;
  for (size_t i = 0; i < reply->count; i++)
    {
      const struct fl_store_row *row = &reply->rows[i];
      if (strcmp (row->key.data, FL_OWNER_POOL_KEY) == 0
          && fl_record_decode (&owner_schema, row->value.data, row->value.len,
                               &ownership->seen_owner, NULL))
        {
          ownership->seen_pool_version = row->version;
          owned = true;
        }
      else if (strcmp (row->key.data, FL_OWNER_LEASE_KEY) == 0
               && fl_record_decode (&lease_schema, row->value.data, row->value.len, &lease, NULL))
        *lease_version = row->version;
    }
  return !owned || lease.released;
}

/* Whether the owner was an earlier process on this host: it is over, or this one could not run. */
static bool
was_owned_here (const struct fl_ownership *ownership)
{
  return fl_name_eq (&ownership->seen_owner.holder, &ownership->options.host)
         && !fl_name_eq (&ownership->seen_owner.incarnation, &ownership->incarnation);
}

/* How long the lease row has to stand still before this host takes the pool. */
static int64_t
wait_before_taking (const struct fl_ownership *ownership, bool is_free)
{
  const struct fl_ownership_options *options = &ownership->options;
  int64_t delay_ms = 0;

  if (was_owned_here (ownership))
    return 0;
  if (options->take_delay_ms != NULL)
    delay_ms = options->take_delay_ms (options->context, ownership->seen_pool_version == 0);
  return delay_ms + (is_free ? 0 : TAKE_AFTER_MS);
}

static void
on_read (void *context, const struct fl_store_reply *reply)
{
  struct fl_ownership *ownership = context;
  int64_t lease_version;
  int64_t wait_ms;
  bool is_free;

  ownership->open = false;
  if (ownership->state != STANDBY)
    return;
  if (reply->status != FL_STORE_OK)
    {
      /* The owner may have been unable to renew as well: the wait starts anew. */
      ownership->still_since_ms = 0;
      schedule (ownership, STANDBY_POLL_MS);
      return;
    }
  is_free = read_rows (ownership, reply, &lease_version);
  if (lease_version != ownership->seen_lease_version || ownership->still_since_ms == 0)
    {
      ownership->seen_lease_version = lease_version;
      ownership->still_since_ms = now_ms (ownership);
    }
  ownership->held_on = !is_free && !was_owned_here (ownership);
  wait_ms = wait_before_taking (ownership, is_free);
  if (wait_ms == 0 || ownership->sent_ms - ownership->still_since_ms >= wait_ms)
    take (ownership);
  else
    schedule (ownership, wait_ms > TAKE_AFTER_MS ? UNSUITED_POLL_MS : STANDBY_POLL_MS);
}

static void
standby_read (struct fl_ownership *ownership)
{
  const struct fl_store *store = ownership->options.store;

  ownership->sent_ms = now_ms (ownership);
  ownership->open = true;
  store->read (store->context, FL_OWNER_TABLE, FL_PARTITION_OWNER, "", "", READ_TIMEOUT_MS, on_read,
               ownership);
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
fl_ownership_authority_until (const struct fl_ownership *ownership)
{
  return ownership->authority_until_ms;
}

struct fl_store_condition
fl_ownership_condition (const struct fl_ownership *ownership)
{
  return (struct fl_store_condition){ FL_OWNER_TABLE, FL_PARTITION_OWNER,
                                      fl_name_of (FL_OWNER_POOL_KEY), ownership->pool_version };
}

void
fl_ownership_superseded (struct fl_ownership *ownership)
{
  if (ownership->state == OWNER)
    lose (ownership);
}

static void
on_released (void *context, const struct fl_store_reply *reply)
{
  struct fl_ownership *ownership = context;

  (void)reply; /* without an answer the lease runs out instead */
  ownership->released (ownership->released_context);
}

void
fl_ownership_release (struct fl_ownership *ownership, void (*done) (void *context), void *context)
{
  bool owned = ownership->state == OWNER;

  ownership->state = RELEASED;
  ownership->released = done;
  ownership->released_context = context;
  ownership->authority_until_ms = 0;
  if (owned)
    send_lease (ownership, true, RELEASE_TIMEOUT_MS, on_released, ownership);
  else
    done (context);
}

int64_t
fl_ownership_hold_on_ms (void)
{
  return HOLD_ON_MS;
}

int64_t
fl_ownership_settle_ms (int64_t hold_ms, bool held_on)
{
  return (held_on ? HOLD_ON_MS : 0) + hold_ms * CLOCK_PERCENT / 100;
}
