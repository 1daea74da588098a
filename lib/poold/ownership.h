/* Leader election: one host owns the pool at a time, by a lease in the store (docs/DESIGN.md). */
#pragma once

#include "common/clock.h"
#include "common/log.h"
#include "store/store.h"

/* Table that holds the lease, and the keys of its rows. */
#define FL_OWNER_TABLE "owner"
#define FL_OWNER_POOL_KEY "pool"
#define FL_OWNER_LEASE_KEY "lease"

struct fl_ownership;

struct fl_ownership_options
{
  struct fl_clock clock; /* must also advance while the host is suspended */
  const struct fl_log *log;
  const struct fl_store *store;
  struct fl_name host;
  /* Extra time that this host waits before it acquires a free pool, so that better suited hosts
   * acquire it first. @never_owned: no host has owned the pool yet. NULL for no extra time. */
  int64_t (*acquire_delay_ms) (void *context, bool never_owned);
  /* This host has acquired the pool with the fencing token @token, by the transaction that gave the
   * store @version. @previous_owner_may_be_active: the previous owner did not release the pool and
   * may still send heartbeats to its targets. */
  void (*on_acquired) (void *context,
                       int64_t token,
                       int64_t version,
                       bool previous_owner_may_be_active);
  /* Another host owns the pool now, or a new term of this host begins: while this host still has
   * authority, before on_acquired, or it has begun without its knowledge. */
  void (*on_lost) (void *context);
  void *context;
};

struct fl_ownership *fl_ownership_new (const struct fl_ownership_options *options);
void fl_ownership_free (struct fl_ownership *ownership);

/* Sends the next read, acquisition or renewal when it is due. To be called at least every 50 ms. */
void fl_ownership_tick (struct fl_ownership *ownership);

/* Whether this host holds an unexpired lease, so that it may send orders. */
bool fl_ownership_has_authority (const struct fl_ownership *ownership);

/* When the last confirmed lease expires, in milliseconds of the boot clock. */
int64_t fl_ownership_get_authority_until (const struct fl_ownership *ownership);

/* The condition that fences every write of the owner: the pool row is unchanged. */
struct fl_store_condition fl_ownership_get_write_condition (const struct fl_ownership *ownership);

/* Records that a target has seen a higher fencing token: another host has acquired the pool. */
void fl_ownership_mark_superseded (struct fl_ownership *ownership);

/* Acquires the pool anew for this host, which owns it, with the tokens of the next owner. The
 * present term goes on until the store has confirmed that: then on_lost and on_acquired are called.
 * Without effect if this host may be about to lose the pool, or while an earlier call has no reply;
 * a call that fails leaves this host owner. */
void fl_ownership_begin_new_term (struct fl_ownership *ownership);

/* Releases the pool and stops competing for it; if an acquisition is in flight, releases what it
 * acquires. Calls @done when the store has replied or the call has timed out; at once when this
 * host neither owns nor acquires the pool. */
void
fl_ownership_release (struct fl_ownership *ownership, void (*done) (void *context), void *context);

/* Until when, in milliseconds of the boot clock, owners before the last acquisition of this host
 * may send heartbeats; 0 if there was none. */
int64_t fl_ownership_get_earlier_orders_end (const struct fl_ownership *ownership);

/* Until when, in milliseconds of the boot clock, a span of @left_ms has certainly passed that
 * another host counted from before the store had @version: counted from when this host first knew
 * of that version, for the errors of clocks. */
int64_t fl_ownership_count_from_version (const struct fl_ownership *ownership,
                                         int64_t version,
                                         int64_t left_ms);

/* Whether renewals have failed for so long that this host may lose the pool, or its lease has
 * expired: heartbeats then have to bridge the time until the next owner sends some. */
bool fl_ownership_is_at_risk (const struct fl_ownership *ownership);

/* How long, in milliseconds, an owner goes on sending heartbeats after its lease has expired. */
int64_t fl_ownership_get_heartbeat_grace_ms (void);
