/* State of flamingo-poold and the functions shared by its source files. */
#pragma once

#include "core/core.h"
#include "forward/forward.h"
#include "host/configuration_watch.h"
#include "policy/tick_pace.h"
#include "poold/advisors.h"
#include "poold/ownership.h"
#include "poold/poold.h"
#include "store/follower.h"
#include "store/ordered_writer.h"
#include "store/reply_limit.h"
#include "store/tables.h"

/* One term: the time from an acquisition of the pool by this host until its loss or release. Each
 * call in flight holds a reference, so that the term outlives its end until the last reply. */
struct fl_term
{
  int ref_count;
  bool ended;
  int64_t fencing_token;
  int64_t started_ms;
  int64_t earlier_confirmed_ms; /* when the operator's rows were confirmed before this term */
  struct fl_poold *poold;
  struct fl_core *core;
  struct fl_follower *progress_follower; /* read once, before the jobs */
  struct fl_follower *jobs_follower;
  struct fl_follower *registry_follower;
  struct fl_follower *hosts_follower;
  GHashTable *recorded_progress;    /* job id -> progress, until jobs are read */
  GHashTable *heartbeats_in_flight; /* set of target ids; without those later than their limit */
  int64_t order_bytes;              /* about what the orders whose calls have not ended take */
  int64_t order_bytes_max;
  GHashTable *listed_targets; /* ids returned so far by a full read of the registry, or NULL */
  bool inherited_read;        /* the previous owner's targets have been read */
  int inherited_reads_in_flight;
  struct fl_reply_limit inherited_limit; /* of reads of the list of targets */
  size_t target_row_count;               /* rows of the list of targets that the store may have */
  int64_t inherited_read_at_ms;
  int64_t unheard_version; /* of the row of unheard targets, as last known; 0 for none */
  bool unheard_in_flight;
  int64_t next_unheard_ms; /* that row is not sent before: back-off */
  bool progress_read;
  bool jobs_read;
  struct fl_store_writer *progress_writer;
  struct fl_store_writer *targets_writer;
  struct fl_store_writer *pending_writer;
  struct fl_store_writer *admission_writer;
  int64_t admission_checked_ms;
  int64_t admission_sent_ms;
  struct fl_str
      stored_admission; /* row of closed queues, as last sent; empty while it is not known */
  int64_t pending_sent_ms;
  int64_t records_paced_ms;     /* see get_paced_ms in records.c */
  int64_t next_store_ms;        /* no record is sent before: interval or back-off */
  struct fl_str stored_pending; /* pending jobs by queue, as last sent; empty after a failure */
};

struct fl_poold
{
  struct fl_host *host;
  struct fl_platform_target_client *own_targets;       /* for orders of this host */
  struct fl_platform_target_client *forwarded_targets; /* for orders forwarded by peers */
  const struct fl_target_calls *calls; /* orders sent directly or forwarded by peers */
  struct fl_link *link;
  GHashTable *peer_addresses; /* host name -> address of its link */
  struct fl_forwarder *forwarder;
  struct fl_ownership *ownership;
  struct fl_advisors *advisors;
  struct fl_configuration_watch watch;
  struct fl_term *term;   /* NULL while another host owns the pool */
  int64_t new_term_at_ms; /* before, this host begins no new term for its tokens */
  struct fl_stop_signals signals;
  ev_timer tick_timer;
  ev_timer early_tick_timer; /* the next tick, when the last one was too recent */
  int64_t last_tick_ms;
  struct fl_tick_pace tick_pace;
  ev_prepare prepare_watcher;
  int64_t last_drain_check_ms; /* last tick by a timer */
  int64_t resumed_ms;          /* last tick before which the process was suspended */
  bool tick_requested;         /* tick as soon as TICK_INTERVAL_MIN_MS allows */
  bool announced;              /* the store has this host's row */
  bool announce_in_flight;
  int64_t announce_sent_ms; /* when the row was last sent; 0 for never */
  bool stopping;
  bool released;           /* while stopping: the pool is released, or was not owned */
  int64_t stop_started_ms; /* while stopping */
};

/* --- poold.c --- */

/* Whether @context, a struct fl_poold, may send orders now: whether it holds the pool's lease. */
bool fl_poold_may_send (void *context);
/* Whether this host may renew leases on targets. */
bool fl_poold_may_renew (void *context);

/* --- plan.c --- */

/* Bytes of a job to be explained: above that of each job that fl_job_spec_validate accepts. */
#define FL_PLAN_BODY_MAX (256 * 1024)

/* Responds to POST /plan?queue=Q&team=T, whose body is a job, with where the job would go now.
 * @return false, without a response, for another path. */
bool fl_poold_on_request (void *context, struct fl_http_request *request);

/* --- peers.c --- */

/* Binds the link to the peers and creates the advisors and the forwarder that use it.
 * @return false with @error filled when the address cannot be bound. */
bool fl_peers_open (struct fl_poold *poold,
                    void (*on_advice_reply) (void *context,
                                             const struct fl_name *step,
                                             const struct fl_name *queried,
                                             size_t queried_count,
                                             const struct fl_advice_reply *reply),
                    struct fl_error *error);
void fl_peers_close (struct fl_poold *poold);

/* Records that the link of host @name is at @address, and connects to it. */
void fl_peers_set_address (struct fl_poold *poold,
                           const struct fl_name *name,
                           const struct fl_name *address);

/* Enables forwarding through peers if this host cannot serve @targets targets itself or its
 * settings demand forwarding for so many; disables it otherwise. */
void fl_peers_update_forwarding (struct fl_poold *poold, size_t targets);

/* --- term.c --- */

/* Starts a term with the fencing token @token. The other arguments are those of on_acquired in
 * struct fl_ownership_options. */
struct fl_term *fl_term_new (struct fl_poold *poold,
                             int64_t token,
                             int64_t version,
                             bool previous_owner_may_be_active);

/* Ends the term and drops the reference of the caller. Calls in flight keep theirs. */
void fl_term_end (struct fl_term *term);
void fl_term_unref (struct fl_term *term);

/* Makes the decisions that are due; sends orders and heartbeats, and stores records. */
void fl_term_tick (struct fl_term *term);

/* --- orders.c --- */

extern const struct fl_core_actions fl_term_actions;

/* Sends a heartbeat to each target that is due for one. */
void fl_term_send_heartbeats (struct fl_term *term);

/* --- records.c --- */

/* Stores the progress records that the core has ready, and the list of targets if the stored one is
 * outdated. */
void fl_term_store_records (struct fl_term *term);

/* Stores which inherited targets this owner has not heard, if the stored row is outdated. */
void fl_term_store_unheard (struct fl_term *term);

/* Stores which queues accept no further jobs, if this has changed or is about to expire. */
void fl_term_store_admission (struct fl_term *term);

/* Stores the number of pending jobs of each queue if it has changed. */
void fl_term_store_pending_counts (struct fl_term *term);
