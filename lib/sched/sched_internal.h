/* Structs shared by the files of lib/sched/. */
#pragma once

#include "domain/domain.h"
#include "lease/lease.h"
#include "node/node.h"
#include "platform/hosts.h"
#include "platform/journal.h"
#include "sched/sched.h"
#include "team/allot.h"

/* A failure domain as this process sees it, owned or not. */
struct fl_owned
{
  struct fl_sched *sched;
  struct fl_name name;
  struct fl_lease lease;
  struct fl_domain *domain; /* NULL unless owned and being loaded or acting */
  int64_t loading_epoch;    /* epoch whose rows are being read, 0 for none */
  int64_t load_after_ms;    /* not loaded again before this */
  bool loaded;
  bool releasing;
  int64_t abstain_until_ms;  /* not taken back before this after a hand-over */
  int64_t handover_until_ms; /* being drained to go to another scheduler; 0 when not */
  int64_t held_ms;           /* when authority was last gained */
  GHashTable *polls;         /* struct fl_name target -> struct fl_poll * */
  struct fl_allots *allots;  /* NULL while no domain is being loaded or acting */
};

/* The polling of one target. */
struct fl_poll
{
  bool open;
  bool inspect_open;
  bool want_full;
  int64_t next_ms;
};

/* A caller that waits for an answer of a domain. */
struct fl_waiter
{
  struct fl_route route;
  struct fl_name entry;
  int64_t id;
  int64_t attempt;
  bool call; /* answered by RESULT instead of ANSWER */
};

/* What another owner reported. */
struct fl_remote_usage
{
  struct fl_name domain;
  int64_t epoch;
  GArray *items; /* struct fl_usage_item */
  int64_t heard_ms;
};

struct fl_sched
{
  struct fl_node *node;
  struct fl_lease_rules rules;
  struct fl_journal *journal;
  struct fl_host_reader *hosts;
  int64_t started_ms;
  GHashTable *owned;   /* struct fl_name -> struct fl_owned * */
  GHashTable *voters;  /* struct fl_name domain -> struct fl_voter * */
  GHashTable *waiters; /* uint64_t handle -> struct fl_waiter * */
  GHashTable *remote;  /* struct fl_name domain -> struct fl_remote_usage * */
  GHashTable *told;    /* struct fl_name "domain/team" -> struct told *, see serve.c */
  int64_t usage_version;
  uint64_t last_handle;
  bool rows_open; /* a scan of the owner rows is on its way */
  int64_t rows_asked_ms;
  int64_t allot_asked_ms;
  bool allot_open;
  int64_t drain_until_ms; /* 0 while not stopping */
  int64_t tick_ms;
  int64_t usage_ms;
  int64_t balance_ms;
};

/* --- owner.c --- */

/* Competes from now on for every domain in the platform's list. */
void fl_sched_add_listed_domains (struct fl_sched *sched);
void fl_sched_tick_owners (struct fl_sched *sched, int64_t now_ms);
void fl_sched_on_vote_ask (struct fl_sched *sched,
                           const struct fl_route *from,
                           const struct fl_vote_message *ask);
void fl_sched_on_vote (struct fl_sched *sched, const struct fl_vote_message *vote);
struct fl_owned *fl_sched_find (const struct fl_sched *sched, const struct fl_name *domain);
void fl_owned_free (void *owned);

/* Ends the domain object: authority is gone for good or was given up. */
void fl_owned_drop_domain (struct fl_owned *owned, const char *why);
bool fl_owned_may_act (struct fl_owned *owned);

/* @return whether every domain has been given up. */
bool fl_sched_release_all (struct fl_sched *sched, int64_t now_ms);

/* Hands a domain to a scheduler that owns fewer, when this one owns more than its part. */
void fl_sched_balance (struct fl_sched *sched, int64_t now_ms);

/* --- load.c --- */

/* Reads the fence, the jobs and the allotments of a domain that was just taken, then starts it. */
void fl_owned_load (struct fl_owned *owned);

void fl_owned_apply_config (struct fl_owned *owned);

/* --- targets.c --- */

/* Tells the domain which targets the platform lists. */
void fl_owned_sync_targets (struct fl_owned *owned);
void fl_owned_tick_polls (struct fl_owned *owned, int64_t now_ms);
void fl_sched_run (void *owned, struct fl_target *target, const struct fl_request *request);
void fl_sched_start (void *owned, struct fl_target *target, const struct fl_task *task);
void fl_sched_stop (void *owned,
                    struct fl_target *target,
                    const struct fl_name *task_id,
                    enum fl_stop_mode mode);
void fl_sched_inspect (void *owned, struct fl_target *target);

/* --- allot.c --- */

void fl_sched_tick_allotments (struct fl_sched *sched, int64_t now_ms);

/* Starts reading and giving for a domain whose fence has just been opened. */
void fl_owned_open_allots (struct fl_owned *owned);
void fl_sched_take_usage (struct fl_sched *sched, const struct fl_status *status);
void fl_sched_give (struct fl_sched *sched, int64_t now_ms);
void fl_remote_usage_free (void *remote);

/* --- serve.c --- */

void fl_sched_on_message (void *sched,
                          enum fl_message_type type,
                          const struct fl_route *from,
                          const union fl_message *message);
void fl_sched_on_http (void *sched, struct fl_http_request *request);
void fl_sched_on_status (void *sched, int64_t usage_seen, struct fl_status *status);
void fl_sched_count_usage (struct fl_sched *sched);

/* Forgets what was told of a domain that is given up. */
void fl_sched_forget_usage (struct fl_sched *sched, const struct fl_name *domain);
void fl_sched_answer (void *owned, uint64_t handle, const struct fl_answer *answer);
json_t *fl_sched_dump (struct fl_sched *sched);
