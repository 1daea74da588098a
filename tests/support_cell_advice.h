/* A simulated advice service and the hosts that call it, on a virtual clock.
 *
 * The service handles one call at a time for each calling host, in the order of arrival, and
 * rejects a call when too many wait. A call whose caller has given up is still handled, and the
 * calls that follow wait for it. All of this belongs to the hosts: it outlives the owner of the
 * pool. The model draws its random numbers from a generator of its own. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "configuration/configuration.h"
#include "support_cell.h"

/* Most of the time of the hosts that queries may take, so that no job has to wait for a host: some
 * is left for queries that are repeated, and for hosts that are left free for short ones. */
#define ADVICE_LOAD_MAX 0.5

/* Queues by the time that the service publishes for them. */
enum advice_queue
{
  ADVICE_QUEUE_SHORT,
  ADVICE_QUEUE_LONG,
  ADVICE_QUEUES
};

/* What is simulated. Rates are per mille. The faults are in effect always, or in random bursts of
 * up to burst_max_ms. */
struct advice_profile
{
  const char *name;
  int host_count;
  int target_count;
  double jobs_per_s;
  int64_t tickets_valid_ms;
  int capped_jobs;      /* rate, of the jobs: of the team with a limit */
  int64_t burst_max_ms; /* 0: the faults are always in effect */

  int64_t added_ms;  /* each call takes this much longer than published */
  int factor;        /* each call takes this many times as long; 0 and 1 for no change */
  int calls_hung;    /* of the calls: no reply, and the turn of the host is held for long */
  int calls_closed;  /* of the calls: the connection ends without a reply */
  int messages_lost; /* of the messages between the owner and a peer */
  int host_frozen;   /* of the hosts, for each 100 ms: suspended for 0.2 to 8 s */
  int hosts_lost;    /* no rate: hosts that fail for good during the run */

  struct cell_fault_rates fault_rates; /* of the cell, in the bursts */
};

extern const struct advice_profile advice_profiles[];
extern const size_t advice_profile_count;

/* A team with a limit submits urgent and other jobs. */
extern const struct advice_profile advice_profile_capped;

/* Whether the only fault of @profile is that the service takes longer than published. */
bool advice_profile_only_slows (const struct advice_profile *profile);

/* @return how much longer than published the service takes for a query of usual size. */
int64_t advice_profile_delay_ms (const struct advice_profile *profile);

/* @return the share of the time of the remaining hosts that the queries of all jobs take, which is
 * the rate of the jobs, times the queries of a job, times the mean time of a query, by the number
 * of hosts. */
double advice_profile_load (const struct advice_profile *profile);

/* Options to simulate @profile with @seed. */
struct cell_options advice_profile_options (const struct advice_profile *profile, uint64_t seed);

struct fl_advice_policy advice_queue_policy (const struct advice_profile *profile,
                                             enum advice_queue queue);

struct simulated_advice;

/* Faults occur until @end_ms. */
struct simulated_advice *
simulated_advice_new (const struct advice_profile *profile, uint64_t seed, int64_t end_ms);
void simulated_advice_free (struct simulated_advice *service);

int64_t simulated_advice_draw (struct simulated_advice *service, int64_t from, int64_t to);

/* Begins and ends faults; call it each 20 ms. */
void simulated_advice_advance (struct simulated_advice *service, int64_t now_ms);

/* Whether the faults with rates occur. */
bool simulated_advice_is_in_burst (const struct simulated_advice *service, int64_t now_ms);

/* Whether a fault is in effect. Calls that hang are one as long as the other hosts cannot carry the
 * load. */
bool simulated_advice_has_fault (const struct simulated_advice *service, int64_t now_ms);

/* What the service does with a call. */
struct advice_outcome
{
  int64_t at_ms; /* when the call ends at the caller; INT64_MAX for never */
  bool replied;  /* with advice */
};

/* Handles a call of @host for @target_count targets of @queue that arrives at @now_ms. */
struct advice_outcome simulated_advice_call (struct simulated_advice *service,
                                             int host,
                                             enum advice_queue queue,
                                             size_t target_count,
                                             int64_t now_ms);

/* Whether a message between two hosts is lost, of which @host is the peer. */
bool simulated_advice_loses_message (struct simulated_advice *service, int host, int64_t now_ms);

/* @return until when the processes of @host are suspended. */
int64_t simulated_advice_frozen_until_ms (const struct simulated_advice *service, int host);

/* Whether @host has failed for good. */
bool simulated_advice_is_lost (const struct simulated_advice *service, int host, int64_t now_ms);

/* Whether the other hosts have noticed that @host has failed, so that nothing is sent to it. */
bool
simulated_advice_is_known_lost (const struct simulated_advice *service, int host, int64_t now_ms);
