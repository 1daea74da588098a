/* State of flamingo-poold. */
#pragma once

#include "carry/carry.h"
#include "core/core.h"
#include "host/configuration_watch.h"
#include "poold/advisors.h"
#include "poold/ownership.h"
#include "poold/poold.h"
#include "store/follower.h"
#include "store/lane.h"
#include "store/tables.h"

/* One term of owning the pool. Calls that were sent in it hold a reference, so that an answer that
 * comes after its end finds it. */
struct fl_term
{
  int ref_count;
  bool ended;
  int64_t started_ms;
  struct fl_poold *poold;
  struct fl_core *core;
  struct fl_follower *progress_follower; /* read once, before the jobs */
  struct fl_follower *jobs_follower;
  struct fl_follower *registry_follower;
  struct fl_follower *hosts_follower;
  GHashTable *recorded_progress;    /* job id -> struct fl_job_progress, until the jobs are read */
  GHashTable *heartbeats_in_flight; /* target id: a hold is open */
  GHashTable *listed_targets;       /* ids shown by a whole read of the registry */
  bool inherited_read;              /* the targets of the previous owner are known */
  bool inherited_read_in_flight;
  int64_t inherited_read_at_ms;
  bool progress_read;
  bool jobs_read;
  struct fl_store_lane *progress_writer;
  struct fl_store_lane *targets_writer;
  struct fl_store_lane *pending_writer;
  int64_t pending_sent_ms;
  int64_t next_store_ms;        /* nothing is stored before: the store failed */
  struct fl_str stored_pending; /* as last stored */
};

struct fl_poold
{
  struct fl_host *host;
  struct fl_platform_targets *own_targets;       /* orders of this host */
  struct fl_platform_targets *forwarded_targets; /* orders of peers */
  const struct fl_target_calls *calls;           /* directly or by way of peers */
  struct fl_link *link;
  GHashTable *peer_addresses; /* host name -> address of its link */
  struct fl_carry *forwarder;
  struct fl_ownership *ownership;
  struct fl_advisors *advisors;
  struct fl_configuration_watch watch;
  struct fl_term *term; /* NULL while another host owns the pool */
  struct fl_stop_signals signals;
  ev_timer tick_timer;
  ev_timer early_tick_timer; /* the next decision, when one was made just before */
  int64_t last_tick_ms;      /* the last decision */
  ev_prepare prepare_watcher;
  bool tick_requested; /* something was observed since the last tick */
  bool announced;      /* this host's row is in the store */
  bool announce_in_flight;
  int64_t announce_sent_ms; /* when the row was sent last; 0 for never */
  bool stopping;
};

/* --- poold.c --- */

/* Whether orders of the poold @context may leave now. */
bool fl_poold_may_send (void *context);

/* --- peers.c --- */

/* Binds the link and makes what uses it. */
bool fl_peers_open (struct fl_poold *poold,
                    void (*on_advice_reply) (void *context,
                                             const struct fl_name *step,
                                             const struct fl_name *queried,
                                             size_t queried_count,
                                             const struct fl_advice_reply *reply),
                    struct fl_error *error);
void fl_peers_close (struct fl_poold *poold);

/* The host @name has its link at @address. */
void fl_peers_set_address (struct fl_poold *poold,
                           const struct fl_name *name,
                           const struct fl_name *address);

/* This host owns @targets targets: above what it can hold itself, peers carry its orders. */
void fl_peers_update_forwarding (struct fl_poold *poold, size_t targets);

/* --- term.c --- */

struct fl_term *fl_term_new (struct fl_poold *poold,
                             int64_t token,
                             int64_t version,
                             bool previous_owner_may_be_active);
void fl_term_end (struct fl_term *term);
void fl_term_unref (struct fl_term *term);

/* Decides and sends what is due. */
void fl_term_tick (struct fl_term *term);

/* --- orders.c --- */

extern const struct fl_core_actions fl_term_actions;

/* Sends a hold to each target that is due one. */
void fl_term_send_heartbeats (struct fl_term *term);

/* --- records.c --- */

/* Stores what the core has to record. */
void fl_term_store_records (struct fl_term *term);

/* Stores the counts of waiting jobs. */
void fl_term_store_pending_counts (struct fl_term *term);
