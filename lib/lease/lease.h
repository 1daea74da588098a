/* Ownership of one failure domain: the lease, the promises and the rules for taking over.
 *
 * The module is pure: it does no I/O and every call is handed the time of the caller's monotonic
 * clock. docs/DESIGN.md gives the rules and why they hold; in short:
 *
 * - The table holds a row for each domain: owner, epoch, voters, version. An owner renews it by
 *   compare-and-set. A renewal sent at t0 and confirmed gives authority until t0 + lease_ms.
 * - Voters (the scheduler processes named in the row) promise an owner, for promise_ms, to support
 *   no taker. Promises of a majority asked at t0 give authority until t0 + promise_ms, so that an
 *   owner outlives an outage of the table.
 * - Once authority has lapsed, only a confirmed renewal brings it back, never promises alone.
 * - A taker waits until the row's version has stood still for the lease time, raises the epoch by
 *   compare-and-set, and then needs support of a majority of the voters named in the row that it
 *   replaced: each says that it has no live promise to a lower epoch and will give none.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"

/* Most voters that a row names. */
#define FL_VOTERS_MAX 16

struct fl_lease_rules
{
  int64_t lease_ms;
  int64_t promise_ms;
  int64_t renew_ms;      /* between renewals, and between rounds of promises */
  int64_t poll_ms;       /* between reads of a row that another process owns */
  int64_t delivery_ms;   /* a command is delivered within this or not at all */
  int64_t outage_max_ms; /* longest time that promises alone carry an owner */
  int64_t drift_ppm;     /* bound on how much two hosts' clocks differ in rate */
  /* Rules that a mutation test switches off; all false in production. */
  bool mutate_no_wait;    /* the taker does not wait for the lease to lapse */
  bool mutate_no_support; /* the taker asks nobody */
  bool mutate_resume;     /* promises revive lapsed authority */
  bool mutate_forget;     /* a started process votes at once */
};

/* The rules' defaults: another owner within 5 s. */
extern const struct fl_lease_rules fl_lease_rules_default;

/* --- voters --- */

/* What one member has promised for one domain. */
struct fl_voter
{
  int64_t started_ms; /* when this process started */
  int64_t promised;   /* epoch of the last promise, 0 for none */
  int64_t until_ms;   /* the promise lapses then */
  int64_t floor;      /* no promise is given to an epoch below this */
};

void fl_voter_init (struct fl_voter *voter, int64_t now_ms);

/* Asks for a promise to the owner at @epoch. @wait_ms: on refusal, when to ask again. */
bool fl_voter_promise (struct fl_voter *voter,
                       const struct fl_lease_rules *rules,
                       int64_t epoch,
                       int64_t now_ms,
                       int64_t *wait_ms);

/* Asks for support of the taker at @epoch; refused while a promise to a lower epoch lives. */
bool fl_voter_support (struct fl_voter *voter,
                       const struct fl_lease_rules *rules,
                       int64_t epoch,
                       int64_t now_ms,
                       int64_t *wait_ms);

/* --- the owner's and taker's side --- */

struct fl_voters
{
  int count;
  struct fl_name names[FL_VOTERS_MAX]; /* instance ids */
};

/* The row of a domain as the table holds it. */
struct fl_owner_row
{
  bool exists;
  int64_t version;
  int64_t epoch;
  struct fl_name owner; /* instance id; empty when released */
  struct fl_voters voters;
};

enum fl_lease_state
{
  FL_LEASE_WATCHING,  /* another process owns the domain, or nobody does */
  FL_LEASE_TAKING,    /* the compare-and-set that takes the row is on its way */
  FL_LEASE_GATHERING, /* the row is ours; support is still missing */
  FL_LEASE_HOLDING,   /* we may act until fl_lease_authority_ms */
  FL_LEASE_LAPSED,    /* the row may still be ours, but authority has lapsed */
  FL_LEASE_RELEASED,  /* given up on purpose */
  FL_LEASE_STATES
};

extern const char *const fl_lease_state_names[];

/* A vote that counts until `until_ms`. */
struct fl_vote
{
  struct fl_name voter;
  int64_t until_ms;
};

struct fl_lease
{
  struct fl_lease_rules rules;
  struct fl_name self;
  enum fl_lease_state state;
  struct fl_owner_row row; /* as last known */
  int64_t row_seen_ms;     /* when this version was first seen */
  bool row_known;
  struct fl_voters replaced; /* voters of the row that we took over */
  bool needs_support;        /* whether that row had an owner who could still act */
  struct fl_voters pending;  /* voters of a renewal whose outcome is not known yet */
  bool has_pending;
  int64_t store_until_ms; /* authority from the table */
  int64_t store_ok_ms;    /* when the table last confirmed it */
  struct fl_vote votes[FL_VOTERS_MAX * 2];
  int vote_count;
  bool call_open;         /* a read or compare-and-set is on its way */
  bool reading;           /* it is a read */
  bool renewal_unsettled; /* the last one's answer was lost: read before the next */
  int64_t last_call_ms;
  int64_t last_ask_ms;
  int64_t eligible_ms;   /* since when this process wants the domain */
  int64_t take_delay_ms; /* extra wait before taking, so that the preferred host is first */
};

enum fl_lease_want
{
  FL_LEASE_NOTHING,
  FL_LEASE_READ,  /* read the row */
  FL_LEASE_WRITE, /* compare-and-set the row to `row` on `version` */
};

/* What the caller is to do now. */
struct fl_lease_plan
{
  enum fl_lease_want store;
  struct fl_owner_row row; /* WRITE: the new row; row.exists false means insert when absent */
  bool insert;             /* WRITE: the row must not exist yet */
  int64_t version;         /* WRITE: the version that it must have */
  bool ask;                /* ask the voters in `asked` */
  bool asks_support;       /* for support instead of a promise */
  int64_t epoch;
  struct fl_voters asked;
};

enum fl_cas_result
{
  FL_CAS_OK,
  FL_CAS_CONFLICT,
  FL_CAS_REFUSED, /* certainly without effect */
  FL_CAS_UNKNOWN  /* the answer was lost */
};

void fl_lease_init (struct fl_lease *lease,
                    const struct fl_lease_rules *rules,
                    const struct fl_name *self,
                    int64_t now_ms);

/* Works out what is due at @now_ms and notes that the caller does it. @live: the members that a
 * renewal should name as voters. @may_take: whether this process wants the domain. */
void fl_lease_plan (struct fl_lease *lease,
                    const struct fl_voters *live,
                    bool may_take,
                    int64_t now_ms,
                    struct fl_lease_plan *plan);

/* The answer to a READ. @ok false: the table did not answer. */
void
fl_lease_on_row (struct fl_lease *lease, bool ok, const struct fl_owner_row *row, int64_t now_ms);

/* The answer to a WRITE of @written that was sent at @sent_ms; @version is the new version. */
void fl_lease_on_written (struct fl_lease *lease,
                          enum fl_cas_result result,
                          const struct fl_owner_row *written,
                          int64_t version,
                          int64_t sent_ms,
                          int64_t now_ms);

/* A vote for @epoch asked at @asked_ms. */
void fl_lease_on_vote (struct fl_lease *lease,
                       const struct fl_name *voter,
                       bool support,
                       int64_t epoch,
                       int64_t asked_ms,
                       int64_t now_ms);

/* @voter is certainly gone since @known_ms: its promises lapse a promise time later, and from then
 * on it counts as a supporter. */
void fl_lease_on_voter_gone (struct fl_lease *lease,
                             const struct fl_name *voter,
                             int64_t known_ms,
                             int64_t now_ms);

/* Until when this process may act for the domain, on its own clock; 0 when it may not. */
int64_t fl_lease_authority_ms (const struct fl_lease *lease);

/* Whether a command may be sent at @now_ms: it is then delivered before authority ends. Moves the
 * state to LAPSED when authority has ended. */
bool fl_lease_may_act (struct fl_lease *lease, int64_t now_ms);

/* Gives the domain up: no authority from now on. @plan then says what to write, if anything. */
void fl_lease_release (struct fl_lease *lease, struct fl_lease_plan *plan);
