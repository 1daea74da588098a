#include "lease/lease.h"

#include <assert.h>
#include <string.h>

#include "common/order.h"

const struct fl_lease_rules fl_lease_rules_default = {
  .lease_ms = 3000,
  .promise_ms = 3000,
  .renew_ms = 1000,
  .poll_ms = 500,
  .delivery_ms = 500,
  .outage_max_ms = 2 * 3600 * 1000,
  .drift_ppm = 1000,
};

const char *const fl_lease_state_names[]
    = { "watching", "taking", "gathering", "holding", "lapsed", "released", NULL };

/* @duration as counted on a clock that may be faster than the other side's. */
static int64_t
with_drift (const struct fl_lease_rules *rules, int64_t duration_ms)
{
  return duration_ms + (duration_ms * rules->drift_ppm + 999999) / 1000000;
}

static int64_t
max64 (int64_t a, int64_t b)
{
  return a > b ? a : b;
}

static int64_t
min64 (int64_t a, int64_t b)
{
  return a < b ? a : b;
}

/* --- voters --- */

void
fl_voter_init (struct fl_voter *voter, int64_t now_ms)
{
  *voter = (struct fl_voter){ .started_ms = now_ms };
}

/* A process that has just started may have promised something before it stopped. */
static bool
is_silent (const struct fl_voter *voter,
           const struct fl_lease_rules *rules,
           int64_t now_ms,
           int64_t *wait_ms)
{
  int64_t end_ms = voter->started_ms + with_drift (rules, rules->promise_ms);

  if (rules->mutate_forget || now_ms >= end_ms)
    return false;
  *wait_ms = end_ms - now_ms;
  return true;
}

bool
fl_voter_promise (struct fl_voter *voter,
                  const struct fl_lease_rules *rules,
                  int64_t epoch,
                  int64_t now_ms,
                  int64_t *wait_ms)
{
  *wait_ms = 0;
  if (is_silent (voter, rules, now_ms, wait_ms) || epoch < voter->floor)
    return false;
  if (voter->promised != epoch && now_ms < voter->until_ms)
    {
      *wait_ms = voter->until_ms - now_ms;
      return false;
    }
  voter->promised = epoch;
  voter->until_ms = now_ms + with_drift (rules, rules->promise_ms);
  voter->floor = epoch;
  return true;
}

bool
fl_voter_support (struct fl_voter *voter,
                  const struct fl_lease_rules *rules,
                  int64_t epoch,
                  int64_t now_ms,
                  int64_t *wait_ms)
{
  *wait_ms = 0;
  if (is_silent (voter, rules, now_ms, wait_ms) || epoch < voter->floor)
    return false;
  voter->floor = epoch;
  if (voter->promised < epoch && now_ms < voter->until_ms)
    {
      *wait_ms = voter->until_ms - now_ms;
      return false;
    }
  return true;
}

/* --- counting votes --- */

static int
find_voter (const struct fl_voters *voters, const struct fl_name *name)
{
  for (int i = 0; i < voters->count; i++)
    if (fl_name_eq (&voters->names[i], name))
      return i;
  return -1;
}

/* The latest time until which a majority of @voters votes for us; 0 without a majority. */
static int64_t
majority_until (const struct fl_lease *lease, const struct fl_voters *voters)
{
  int64_t until[FL_VOTERS_MAX];
  int count = 0;
  int need = voters->count / 2 + 1;

  for (int i = 0; i < lease->vote_count; i++)
    if (find_voter (voters, &lease->votes[i].voter) >= 0)
      until[count++] = lease->votes[i].until_ms;
  if (voters->count == 0)
    return 0;
  return fl_kth_largest (until, (size_t)count, (size_t)need);
}

/* Authority from promises. While a renewal with other voters is unsettled, a taker may count by
 * either list, so both must hold. */
static int64_t
promise_until (const struct fl_lease *lease)
{
  int64_t until = majority_until (lease, &lease->row.voters);

  if (lease->has_pending)
    until = min64 (until, majority_until (lease, &lease->pending));
  return min64 (until, lease->store_ok_ms + lease->rules.outage_max_ms);
}

int64_t
fl_lease_authority_ms (const struct fl_lease *lease)
{
  if (lease->state != FL_LEASE_HOLDING)
    return 0;
  return max64 (lease->store_until_ms, promise_until (lease));
}

static void
drop_votes (struct fl_lease *lease)
{
  lease->vote_count = 0;
}

/* Notes that authority has ended, if it has. */
static void
expire (struct fl_lease *lease, int64_t now_ms)
{
  if (lease->state == FL_LEASE_HOLDING && now_ms >= fl_lease_authority_ms (lease)
      && !lease->rules.mutate_resume)
    lease->state = FL_LEASE_LAPSED;
}

bool
fl_lease_may_act (struct fl_lease *lease, int64_t now_ms)
{
  expire (lease, now_ms);
  return lease->state == FL_LEASE_HOLDING
         && now_ms + lease->rules.delivery_ms < fl_lease_authority_ms (lease);
}

static bool
supported (const struct fl_lease *lease, int64_t now_ms)
{
  if (!lease->needs_support || lease->replaced.count == 0 || lease->rules.mutate_no_support)
    return true;
  return majority_until (lease, &lease->replaced) > now_ms;
}

/* A taker with the row and enough support becomes the owner. */
static void
try_hold (struct fl_lease *lease, int64_t now_ms)
{
  if (lease->state != FL_LEASE_GATHERING || now_ms >= lease->store_until_ms
      || !supported (lease, now_ms))
    return;
  lease->state = FL_LEASE_HOLDING;
  lease->needs_support = false;
  drop_votes (lease);
}

/* --- planning --- */

void
fl_lease_init (struct fl_lease *lease,
               const struct fl_lease_rules *rules,
               const struct fl_name *self,
               int64_t now_ms)
{
  memset (lease, 0, sizeof *lease);
  lease->rules = *rules;
  lease->self = *self;
  lease->last_call_ms = now_ms - rules->poll_ms;
  lease->last_ask_ms = now_ms - rules->renew_ms;
}

static bool
is_owner_state (enum fl_lease_state state)
{
  return state == FL_LEASE_GATHERING || state == FL_LEASE_HOLDING || state == FL_LEASE_LAPSED;
}

static bool
may_take_now (const struct fl_lease *lease, int64_t now_ms)
{
  int64_t free_ms = lease->row_seen_ms;

  if (!lease->row_known)
    return false;
  if (lease->row.exists && lease->row.owner.len > 0 && !lease->rules.mutate_no_wait)
    free_ms += with_drift (&lease->rules, lease->rules.lease_ms);
  return now_ms >= max64 (free_ms, lease->eligible_ms) + lease->take_delay_ms;
}

static void
plan_take (struct fl_lease *lease, const struct fl_voters *live, struct fl_lease_plan *plan)
{
  lease->state = FL_LEASE_TAKING;
  lease->replaced = lease->row.voters;
  lease->needs_support = lease->row.exists && lease->row.owner.len > 0;
  drop_votes (lease);
  plan->store = FL_LEASE_WRITE;
  plan->insert = !lease->row.exists;
  plan->version = lease->row.version;
  plan->row = (struct fl_owner_row){
    .exists = true, .epoch = lease->row.epoch + 1, .owner = lease->self, .voters = *live
  };
}

static bool
same_voters (const struct fl_voters *a, const struct fl_voters *b)
{
  if (a->count != b->count)
    return false;
  for (int i = 0; i < a->count; i++)
    if (find_voter (b, &a->names[i]) < 0)
      return false;
  return true;
}

static void
plan_renewal (struct fl_lease *lease, const struct fl_voters *live, struct fl_lease_plan *plan)
{
  plan->store = FL_LEASE_WRITE;
  plan->version = lease->row.version;
  plan->row = lease->row;
  /* Voters change only while nothing else is open, so that at most two lists are in question. */
  if (lease->state == FL_LEASE_HOLDING && !lease->has_pending
      && !same_voters (live, &lease->row.voters))
    {
      plan->row.voters = *live;
      lease->pending = *live;
      lease->has_pending = true;
    }
}

static void
plan_store (struct fl_lease *lease,
            const struct fl_voters *live,
            bool may_take,
            int64_t now_ms,
            struct fl_lease_plan *plan)
{
  const struct fl_lease_rules *rules = &lease->rules;

  if (lease->call_open || lease->state == FL_LEASE_RELEASED)
    return;
  if (is_owner_state (lease->state))
    {
      if (now_ms < lease->last_call_ms + rules->renew_ms
          && !(lease->renewal_unsettled && now_ms >= lease->last_call_ms + rules->poll_ms))
        return;
      if (lease->renewal_unsettled)
        plan->store = FL_LEASE_READ;
      else
        plan_renewal (lease, live, plan);
    }
  else if (may_take && may_take_now (lease, now_ms))
    plan_take (lease, live, plan);
  else if (now_ms >= lease->last_call_ms + rules->poll_ms)
    plan->store = FL_LEASE_READ;
  if (plan->store == FL_LEASE_NOTHING)
    return;
  lease->call_open = true;
  lease->reading = plan->store == FL_LEASE_READ;
  lease->last_call_ms = now_ms;
}

static void
add_voters (struct fl_voters *into, const struct fl_voters *from)
{
  for (int i = 0; i < from->count && into->count < FL_VOTERS_MAX; i++)
    if (find_voter (into, &from->names[i]) < 0)
      into->names[into->count++] = from->names[i];
}

static void
plan_ask (struct fl_lease *lease, int64_t now_ms, struct fl_lease_plan *plan)
{
  bool gathering = lease->state == FL_LEASE_GATHERING;
  int64_t interval_ms = gathering ? lease->rules.poll_ms : lease->rules.renew_ms;

  if ((!gathering && lease->state != FL_LEASE_HOLDING) || now_ms < lease->last_ask_ms + interval_ms)
    return;
  lease->last_ask_ms = now_ms;
  plan->ask = true;
  plan->asks_support = gathering;
  plan->epoch = lease->row.epoch;
  plan->asked = gathering ? lease->replaced : lease->row.voters;
  if (!gathering && lease->has_pending)
    add_voters (&plan->asked, &lease->pending);
}

void
fl_lease_plan (struct fl_lease *lease,
               const struct fl_voters *live,
               bool may_take,
               int64_t now_ms,
               struct fl_lease_plan *plan)
{
  memset (plan, 0, sizeof *plan);
  expire (lease, now_ms);
  try_hold (lease, now_ms);
  if (!may_take)
    lease->eligible_ms = now_ms;
  plan_store (lease, live, may_take, now_ms, plan);
  plan_ask (lease, now_ms, plan);
}

/* --- events --- */

/* Takes note of a row that we do not own. */
static void
watch (struct fl_lease *lease, const struct fl_owner_row *row, int64_t now_ms)
{
  bool moved
      = !lease->row_known || lease->row.exists != row->exists || lease->row.version != row->version;

  lease->state = FL_LEASE_WATCHING;
  lease->has_pending = false;
  lease->renewal_unsettled = false;
  drop_votes (lease);
  if (moved)
    lease->row_seen_ms = now_ms;
  lease->row = *row;
  lease->row_known = true;
}

void
fl_lease_on_row (struct fl_lease *lease, bool ok, const struct fl_owner_row *row, int64_t now_ms)
{
  lease->call_open = false;
  expire (lease, now_ms);
  if (!ok)
    {
      /* An owner cannot renew a row that nobody can read: what stands still during an outage of the
       * table says nothing about its owner, so the wait starts anew. */
      lease->row_seen_ms = now_ms;
      return;
    }
  if (lease->state == FL_LEASE_RELEASED)
    return;
  bool ours = row->exists && fl_name_eq (&row->owner, &lease->self);
  if (!ours)
    {
      watch (lease, row, now_ms);
      return;
    }
  /* A take whose answer was lost did take effect: the row is ours, authority is not yet. */
  if (!is_owner_state (lease->state))
    {
      lease->state = FL_LEASE_GATHERING;
      lease->store_until_ms = 0;
    }
  /* A renewal that the table may still apply is void only once the version has moved. */
  if (row->version != lease->row.version)
    lease->has_pending = false;
  lease->row = *row;
  lease->row_known = true;
  lease->row_seen_ms = now_ms;
  lease->renewal_unsettled = false;
}

static void
on_confirmed (struct fl_lease *lease,
              const struct fl_owner_row *written,
              int64_t version,
              int64_t sent_ms,
              int64_t now_ms)
{
  lease->row = *written;
  lease->row.version = version;
  lease->row_seen_ms = now_ms;
  lease->has_pending = false;
  lease->renewal_unsettled = false;
  lease->store_until_ms = max64 (lease->store_until_ms, sent_ms + lease->rules.lease_ms);
  lease->store_ok_ms = sent_ms;
  if (lease->state == FL_LEASE_TAKING)
    {
      lease->state = FL_LEASE_GATHERING;
      lease->store_until_ms = sent_ms + lease->rules.lease_ms;
      lease->last_ask_ms = now_ms - lease->rules.poll_ms;
    }
  /* The row stood unchanged at our version, so nobody took the domain in between. */
  if (lease->state == FL_LEASE_LAPSED && now_ms < lease->store_until_ms)
    lease->state = FL_LEASE_HOLDING;
  try_hold (lease, now_ms);
}

void
fl_lease_on_written (struct fl_lease *lease,
                     enum fl_cas_result result,
                     const struct fl_owner_row *written,
                     int64_t version,
                     int64_t sent_ms,
                     int64_t now_ms)
{
  lease->call_open = false;
  expire (lease, now_ms);
  if (lease->state == FL_LEASE_RELEASED)
    return;
  switch (result)
    {
    case FL_CAS_OK:
      on_confirmed (lease, written, version, sent_ms, now_ms);
      break;
    case FL_CAS_REFUSED:
      /* An earlier renewal may still be unsettled, so its voters stay pending. */
      if (lease->state == FL_LEASE_TAKING)
        lease->state = FL_LEASE_WATCHING;
      break;
    case FL_CAS_CONFLICT:
    case FL_CAS_UNKNOWN:
      /* Only a read tells whose the row is now. */
      lease->renewal_unsettled = true;
      lease->last_call_ms = now_ms - lease->rules.poll_ms;
      if (lease->state == FL_LEASE_TAKING)
        {
          lease->state = FL_LEASE_WATCHING;
          lease->row_known = false;
        }
      break;
    }
}

static void
count_vote (struct fl_lease *lease, const struct fl_name *voter, int64_t until_ms)
{
  for (int i = 0; i < lease->vote_count; i++)
    if (fl_name_eq (&lease->votes[i].voter, voter))
      {
        lease->votes[i].until_ms = max64 (lease->votes[i].until_ms, until_ms);
        return;
      }
  if (lease->vote_count < (int)(sizeof lease->votes / sizeof lease->votes[0]))
    lease->votes[lease->vote_count++] = (struct fl_vote){ *voter, until_ms };
}

/* Forgets votes that count no more, so that voters that came and went do not fill the table. */
static void
prune_votes (struct fl_lease *lease, int64_t now_ms)
{
  int kept = 0;

  for (int i = 0; i < lease->vote_count; i++)
    if (lease->votes[i].until_ms > now_ms)
      lease->votes[kept++] = lease->votes[i];
  lease->vote_count = kept;
}

void
fl_lease_on_vote (struct fl_lease *lease,
                  const struct fl_name *voter,
                  bool support,
                  int64_t epoch,
                  int64_t asked_ms,
                  int64_t now_ms)
{
  expire (lease, now_ms);
  if (epoch != lease->row.epoch || support != (lease->state == FL_LEASE_GATHERING)
      || (!support && lease->state != FL_LEASE_HOLDING))
    return;
  prune_votes (lease, now_ms);
  count_vote (lease, voter, asked_ms + lease->rules.promise_ms);
  try_hold (lease, now_ms);
}

void
fl_lease_on_voter_gone (struct fl_lease *lease,
                        const struct fl_name *voter,
                        int64_t known_ms,
                        int64_t now_ms)
{
  expire (lease, now_ms);
  if (lease->state != FL_LEASE_GATHERING || find_voter (&lease->replaced, voter) < 0
      || now_ms < known_ms + with_drift (&lease->rules, lease->rules.promise_ms))
    return;
  /* It never votes again, so its support does not lapse; a round of asking renews it. */
  count_vote (lease, voter, now_ms + lease->rules.promise_ms);
  try_hold (lease, now_ms);
}

void
fl_lease_release (struct fl_lease *lease, struct fl_lease_plan *plan)
{
  bool was_owner = is_owner_state (lease->state);

  memset (plan, 0, sizeof *plan);
  lease->state = FL_LEASE_RELEASED;
  if (!was_owner)
    return;
  plan->store = FL_LEASE_WRITE;
  plan->version = lease->row.version;
  plan->row = (struct fl_owner_row){ .exists = true, .epoch = lease->row.epoch + 1 };
}
