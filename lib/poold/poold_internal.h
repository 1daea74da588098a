/* State of flamingo-poold. */
#pragma once

#include "core/core.h"
#include "forward/forward.h"
#include "host/configuration_watch.h"
#include "poold/advisors.h"
#include "poold/ownership.h"
#include "poold/poold.h"
#include "store/follower.h"
#include "store/ordered_writer.h"
#include "store/tables.h"

/* One term of owning the pool. Calls that were sent in it hold a reference, so that an answer that
 * comes after its end finds it. */
struct fl_term
{
  int references;
  bool ended;
  int64_t started_ms;
  struct fl_poold *poold;
  struct fl_core *core;
  struct fl_follower *progress; /* read once, before the jobs */
  struct fl_follower *jobs;
  struct fl_follower *registry;
  struct fl_follower *hosts;
  GHashTable *recorded;     /* job id -> struct fl_job_progress, until the jobs are read */
  GHashTable *held;         /* target id: a hold is open */
  GHashTable *read_targets; /* ids shown by a whole read of the registry */
  bool targets_read;        /* the targets of the previous owner are known */
  bool targets_reading;
  int64_t targets_read_at_ms;
  bool progress_read;
  bool jobs_read;
  struct fl_store_writer *progress_lane;
  struct fl_store_writer *targets_lane;
  struct fl_store_writer *pending_lane;
  int64_t pending_at_ms;
  int64_t store_after_ms; /* nothing is stored before: the store failed */
  struct fl_str pending;  /* as last stored */
};

struct fl_poold
{
  struct fl_host *host;
  struct fl_platform_targets *targets;         /* orders of this host */
  struct fl_platform_targets *carried_targets; /* orders of peers */
  const struct fl_target_calls *calls;         /* directly or by way of peers */
  struct fl_link *link;
  GHashTable *peer_addresses; /* host name -> address of its link */
  struct fl_forwarder *carry;
  struct fl_ownership *ownership;
  struct fl_advisors *advisors;
  struct fl_configuration_watch watch;
  struct fl_term *term; /* NULL while another host owns the pool */
  struct fl_stop_signals signals;
  ev_timer tick;
  ev_timer soon;     /* the next decision, when one was made just before */
  int64_t ticked_ms; /* the last decision */
  ev_prepare prepare;
  bool changed;   /* something was observed since the last tick */
  bool announced; /* this host's row is in the store */
  bool announcing;
  int64_t announced_at_ms; /* when the row was sent last; 0 for never */
  bool stopping;
};

/* --- poold.c --- */

/* Whether orders of the poold @context may leave now. */
bool fl_poold_may_send (void *context);

/* --- peers.c --- */

/* Binds the link and makes what uses it. */
bool fl_peers_open (struct fl_poold *poold,
                    void (*on_advice) (void *context,
                                       const struct fl_name *step,
                                       const struct fl_name *asked,
                                       size_t asked_count,
                                       const struct fl_advice_reply *reply),
                    struct fl_error *error);
void fl_peers_close (struct fl_poold *poold);

/* The host @name has its link at @address. */
void
fl_peers_set (struct fl_poold *poold, const struct fl_name *name, const struct fl_name *address);

/* This host owns @targets targets: above what it can hold itself, peers carry its orders. */
void fl_peers_set_load (struct fl_poold *poold, size_t targets);

/* --- term.c --- */

struct fl_term *fl_term_new (struct fl_poold *poold, int64_t token, int64_t version, bool held_on);
void fl_term_end (struct fl_term *term);
void fl_term_unref (struct fl_term *term);

/* Decides and sends what is due. */
void fl_term_tick (struct fl_term *term);

/* --- orders.c --- */

extern const struct fl_core_actions fl_term_actions;

/* Sends a hold to each target that is due one. */
void fl_term_hold_targets (struct fl_term *term);

/* --- records.c --- */

/* Stores what the core has to record. */
void fl_term_store_records (struct fl_term *term);

/* Stores the counts of waiting jobs. */
void fl_term_store_pending (struct fl_term *term);
