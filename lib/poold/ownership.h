/* Ownership of the pool by a lease in the store: see docs/DESIGN.md. */
#pragma once

#include "common/clock.h"
#include "common/log.h"
#include "store/store.h"

/* Table and rows of ownership. */
#define FL_OWNER_TABLE "owner"
#define FL_OWNER_POOL_KEY "pool"
#define FL_OWNER_LEASE_KEY "lease"

struct fl_ownership;

struct fl_ownership_options
{
  struct fl_clock clock; /* goes on while the host is suspended */
  const struct fl_log *log;
  const struct fl_store *store;
  struct fl_name host;
  /* How much longer this host waits before it takes a pool that is free, for hosts that are better
   * suited; @never_owned: it is the first taking of all. NULL for not at all. */
  int64_t (*acquire_delay_ms) (void *context, bool never_owned);
  /* The pool was taken with @token by the transaction of @version. @previous_owner_may_be_active
   * tells that the previous owner may be alive and hold on to what it started. */
  void (*on_acquired) (void *context,
                       int64_t token,
                       int64_t version,
                       bool previous_owner_may_be_active);
  /* Another host has the pool now. */
  void (*on_lost) (void *context);
  void *context;
};

struct fl_ownership *fl_ownership_new (const struct fl_ownership_options *options);
void fl_ownership_free (struct fl_ownership *ownership);

/* Does what is due. Called at least every 50 ms. */
void fl_ownership_tick (struct fl_ownership *ownership);

/* Whether orders may leave now. */
bool fl_ownership_has_authority (const struct fl_ownership *ownership);

/* When the last confirmed authority ends, by the boot clock. */
int64_t fl_ownership_get_authority_until (const struct fl_ownership *ownership);

/* The condition that every write of the owner carries. */
struct fl_store_condition fl_ownership_get_write_condition (const struct fl_ownership *ownership);

/* A target has seen a higher fencing token: another host has taken the pool. */
void fl_ownership_mark_superseded (struct fl_ownership *ownership);

/* Gives the pool up and stops competing; calls @done when the store has it or did not answer. */
void
fl_ownership_release (struct fl_ownership *ownership, void (*done) (void *context), void *context);

/* How long after the taking, in milliseconds, orders of the previous owner to targets that do not
 * report may be in effect, given the lease @lease_ms of its holds. */
int64_t fl_ownership_get_reconcile_ms (int64_t lease_ms, bool previous_owner_may_be_active);

/* How long an owner without authority goes on holding what runs. */
int64_t fl_ownership_get_heartbeat_grace_ms (void);
