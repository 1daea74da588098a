#include "support_cell_advice.h"

#include <glib.h>

/* Limit of the protocol. */
#define WAITING_CALLS_MAX 32
/* How long a call that hangs holds the turn of its host. */
#define HANG_MIN_MS 3000
#define HANG_MAX_MS 30000
/* A link to a host that has failed is down after this time. */
#define LINK_DOWN_MS 3000
#define BURST_MIN_MS 200
/* Between bursts, longer than the calm time that the checks require. */
#define PAUSE_MIN_MS 8000
#define PAUSE_MAX_MS 15000
#define FREEZE_INTERVAL_MS 100
#define FREEZE_MIN_MS 200
#define FREEZE_MAX_MS 8000

#define JOBS_MS 40000
/* Of the jobs of the cell: 1 or 2 steps, one query for most of them, a second one for some. */
#define QUERIES_PER_JOB 1.8
/* Targets of a query of usual size. */
#define QUERY_TARGETS 8

static const struct fl_advice_policy queue_policies[ADVICE_QUEUES] = {
  [ADVICE_QUEUE_SHORT] = { true, 23, 0.32, 0 },
  [ADVICE_QUEUE_LONG] = { true, 400, 6, 0 },
};

const struct advice_profile advice_profiles[] = {
  { "no faults", 7, 48, 3, 2000, .burst_max_ms = 0 },
  { "room is scarce", 7, 5, 4, 2000, .burst_max_ms = 0 },
  { "few hosts", 3, 24, 3, 2000, .burst_max_ms = 0 },
  { "400 ms longer", 9, 48, 3, 2000, .added_ms = 400 },
  { "550 ms longer", 9, 48, 2.5, 2000, .added_ms = 550 },
  { "700 ms longer", 9, 48, 2.2, 2500, .added_ms = 700 },
  { "1500 ms longer", 9, 48, 1.2, 2500, .added_ms = 1500 },
  { "twice as long", 9, 48, 4, 2000, .factor = 2 },
  { "three times as long", 9, 48, 3, 2500, .factor = 3 },
  { "900 ms longer for some seconds", 9, 48, 2, 2500, .burst_max_ms = 6000, .added_ms = 900 },
  { "calls hang for some seconds", 7, 48, 3, 2000, .burst_max_ms = 3000, .calls_hung = 300 },
  { "connections closed", 7, 48, 3, 2000, .burst_max_ms = 6000, .calls_closed = 100 },
  { "messages lost", 7, 48, 3, 2500, .burst_max_ms = 6000, .messages_lost = 200 },
  { "all messages lost", 7, 48, 3, 2500, .burst_max_ms = 4000, .messages_lost = 1000 },
  { "hosts frozen", 7, 48, 3, 2000, .burst_max_ms = 4000, .host_frozen = 30 },
  { "most hosts fail", 7, 48, 2, 2000, .hosts_lost = 5 },
  { "owner killed, service slow", 9, 48, 2, 2500, .burst_max_ms = 6000, .added_ms = 900,
    .fault_rates = { .owner_killed = 30 } },
  { "owner frozen", 7, 48, 3, 2000, .burst_max_ms = 4000, .fault_rates = { .owner_frozen = 50 } },
  { "owner isolated, store replies lost", 7, 48, 3, 2000, .burst_max_ms = 4000,
    .fault_rates = { .owner_isolated = 30, .store_reply_lost = 200 } },
  { "targets crash, service slow", 9, 48, 2, 2000, .burst_max_ms = 4000, .added_ms = 900,
    .fault_rates = { .target_crash = 300 } },
  { "targets crash and drain, owner killed, calls hang", 9, 48, 2, 2500, .burst_max_ms = 2000,
    .calls_hung = 200,
    .fault_rates
    = { .target_crash = 200, .target_new_id = 500, .target_drain = 100, .owner_killed = 30 } },
  { "mixed", 9, 48, 2, 2500, .burst_max_ms = 4000, .added_ms = 300, .calls_hung = 50,
    .calls_closed = 50, .messages_lost = 50, .host_frozen = 5,
    .fault_rates = { .owner_killed = 10, .owner_frozen = 10, .store_reply_lost = 50 } },
};
const size_t advice_profile_count = G_N_ELEMENTS (advice_profiles);

struct host
{
  int64_t lost_at_ms;
  int64_t frozen_until_ms;
  int64_t hung_until_ms; /* a call that hangs holds the turn until then */
  GArray *calls;         /* int64_t: when the service ends each call, in order of arrival */
};

struct burst
{
  int64_t from_ms;
  int64_t until_ms;
};

struct simulated_advice
{
  struct advice_profile profile;
  GRand *random;
  GArray *bursts; /* struct burst */
  struct host *hosts;
  int64_t end_ms;
  int64_t frozen_ms; /* when hosts were last suspended */
};

/* --- profiles --- */

const struct advice_profile advice_profile_capped
    = { "team with a limit", 7, 48, 3, 2000, .capped_jobs = 100 };

struct fl_advice_policy
advice_queue_policy (const struct advice_profile *profile, enum advice_queue queue)
{
  struct fl_advice_policy policy = queue_policies[queue];

  policy.valid_ms = profile->tickets_valid_ms;
  return policy;
}

static double
get_published_ms (enum advice_queue queue, size_t target_count)
{
  const struct fl_advice_policy *policy = &queue_policies[queue];

  return policy->base_latency_ms + policy->per_target_latency_ms * (double)target_count;
}

static double
get_slow_ms (const struct advice_profile *profile, double published_ms)
{
  return published_ms * MAX (profile->factor, 1) + (double)profile->added_ms;
}

bool
advice_profile_only_slows (const struct advice_profile *profile)
{
  const struct cell_fault_rates *rates = &profile->fault_rates;

  return profile->calls_hung == 0 && profile->calls_closed == 0 && profile->messages_lost == 0
         && profile->host_frozen == 0 && profile->hosts_lost == 0 && rates->owner_killed == 0
         && rates->owner_frozen == 0 && rates->owner_isolated == 0 && rates->store_reply_lost == 0
         && rates->target_crash == 0;
}

int64_t
advice_profile_delay_ms (const struct advice_profile *profile)
{
  double published_ms = get_published_ms (ADVICE_QUEUE_LONG, QUERY_TARGETS);

  return (int64_t)(get_slow_ms (profile, published_ms) - published_ms);
}

double
advice_profile_load (const struct advice_profile *profile)
{
  double mean_ms = 0;

  for (int queue = 0; queue < ADVICE_QUEUES; queue++)
    mean_ms += get_slow_ms (profile, get_published_ms ((enum advice_queue)queue, QUERY_TARGETS))
               / ADVICE_QUEUES;
  return profile->jobs_per_s * QUERIES_PER_JOB * mean_ms / 1000
         / (profile->host_count - profile->hosts_lost);
}

struct cell_options
advice_profile_options (const struct advice_profile *profile, uint64_t seed)
{
  return (struct cell_options){ .seed = seed,
                                .target_count = profile->target_count,
                                .job_count = (int)(profile->jobs_per_s * JOBS_MS / 1000),
                                .fault_phase_ms = JOBS_MS,
                                .advice_required = true,
                                .advice = profile,
                                .fault_rates = profile->fault_rates };
}

/* --- service --- */

int64_t
simulated_advice_draw (struct simulated_advice *service, int64_t from, int64_t to)
{
  return from + (int64_t)(g_rand_double (service->random) * (double)(to - from + 1));
}

static bool
happens (struct simulated_advice *service, int per_mille)
{
  return per_mille > 0 && simulated_advice_draw (service, 0, 999) < per_mille;
}

static void
draw_bursts (struct simulated_advice *service)
{
  const struct advice_profile *profile = &service->profile;
  struct burst burst = { 0, service->end_ms };

  if (profile->burst_max_ms == 0)
    {
      g_array_append_val (service->bursts, burst);
      return;
    }
  for (int64_t at_ms = simulated_advice_draw (service, 0, PAUSE_MAX_MS); at_ms < service->end_ms;)
    {
      burst.from_ms = at_ms;
      burst.until_ms = at_ms + simulated_advice_draw (service, BURST_MIN_MS, profile->burst_max_ms);
      g_array_append_val (service->bursts, burst);
      at_ms = burst.until_ms + simulated_advice_draw (service, PAUSE_MIN_MS, PAUSE_MAX_MS);
    }
}

struct simulated_advice *
simulated_advice_new (const struct advice_profile *profile, uint64_t seed, int64_t end_ms)
{
  struct simulated_advice *service = g_new0 (struct simulated_advice, 1);

  service->profile = *profile;
  service->random = g_rand_new_with_seed ((guint32)seed);
  service->bursts = g_array_new (FALSE, FALSE, sizeof (struct burst));
  service->hosts = g_new0 (struct host, profile->host_count);
  service->end_ms = end_ms;
  draw_bursts (service);
  for (int i = 0; i < profile->host_count; i++)
    {
      service->hosts[i].lost_at_ms = INT64_MAX;
      service->hosts[i].calls = g_array_new (FALSE, FALSE, sizeof (int64_t));
    }
  /* The last hosts fail, so that the first ones can own the pool. */
  for (int i = profile->host_count - profile->hosts_lost; i < profile->host_count; i++)
    service->hosts[i].lost_at_ms = simulated_advice_draw (service, 0, end_ms);
  return service;
}

void
simulated_advice_free (struct simulated_advice *service)
{
  if (service == NULL)
    return;
  for (int i = 0; i < service->profile.host_count; i++)
    g_array_unref (service->hosts[i].calls);
  g_free (service->hosts);
  g_array_unref (service->bursts);
  g_rand_free (service->random);
  g_free (service);
}

bool
simulated_advice_is_in_burst (const struct simulated_advice *service, int64_t now_ms)
{
  for (guint i = 0; i < service->bursts->len; i++)
    {
      const struct burst *burst = &g_array_index (service->bursts, struct burst, i);
      if (now_ms >= burst->from_ms && now_ms < burst->until_ms)
        return true;
    }
  return false;
}

void
simulated_advice_advance (struct simulated_advice *service, int64_t now_ms)
{
  if (now_ms - service->frozen_ms < FREEZE_INTERVAL_MS
      || !simulated_advice_is_in_burst (service, now_ms))
    return;
  service->frozen_ms = now_ms;
  for (int i = 0; i < service->profile.host_count; i++)
    if (happens (service, service->profile.host_frozen))
      service->hosts[i].frozen_until_ms
          = now_ms + simulated_advice_draw (service, FREEZE_MIN_MS, FREEZE_MAX_MS);
}

static bool
has_rates (const struct advice_profile *profile)
{
  return profile->added_ms > 0 || profile->factor > 1 || !advice_profile_only_slows (profile);
}

/* Whether @host_count hosts have time for the queries of all jobs. */
static bool
can_carry_load (const struct advice_profile *profile, int host_count)
{
  int remaining = profile->host_count - profile->hosts_lost;

  return advice_profile_load (profile) * remaining <= ADVICE_LOAD_MAX * host_count;
}

bool
simulated_advice_has_fault (const struct simulated_advice *service, int64_t now_ms)
{
  const struct advice_profile *profile = &service->profile;
  int hung = 0;

  for (int i = 0; i < profile->host_count; i++)
    {
      const struct host *host = &service->hosts[i];
      hung += now_ms < host->hung_until_ms;
      if (now_ms < host->frozen_until_ms
          || (now_ms >= host->lost_at_ms && now_ms < host->lost_at_ms + LINK_DOWN_MS))
        return true;
    }
  /* Hosts that fail for good do so one at a time, outside of bursts. */
  return !can_carry_load (profile, profile->host_count - hung)
         || (profile->hosts_lost == 0 && has_rates (profile)
             && simulated_advice_is_in_burst (service, now_ms));
}

static void
forget_ended_calls (struct host *host, int64_t now_ms)
{
  guint ended = 0;

  while (ended < host->calls->len && g_array_index (host->calls, int64_t, ended) <= now_ms)
    ended++;
  g_array_remove_range (host->calls, 0, ended);
}

struct advice_outcome
simulated_advice_call (struct simulated_advice *service,
                       int host_index,
                       enum advice_queue queue,
                       size_t target_count,
                       int64_t now_ms)
{
  const struct advice_profile *profile = &service->profile;
  struct host *host = &service->hosts[host_index];
  double duration_ms = get_published_ms (queue, target_count);
  struct advice_outcome outcome = { .replied = true };

  forget_ended_calls (host, now_ms);
  if (host->calls->len > WAITING_CALLS_MAX)
    return (struct advice_outcome){ now_ms + 1, false };
  int64_t start_ms
      = host->calls->len > 0 ? g_array_index (host->calls, int64_t, host->calls->len - 1) : now_ms;
  bool is_hung = false;
  if (simulated_advice_is_in_burst (service, start_ms))
    {
      duration_ms = get_slow_ms (profile, duration_ms);
      is_hung = happens (service, profile->calls_hung);
      outcome.replied = !is_hung && !happens (service, profile->calls_closed);
    }
  if (is_hung)
    duration_ms = (double)simulated_advice_draw (service, HANG_MIN_MS, HANG_MAX_MS);
  outcome.at_ms = start_ms + (int64_t)duration_ms + 1;
  if (is_hung)
    host->hung_until_ms = outcome.at_ms;
  g_array_append_val (host->calls, outcome.at_ms);
  return outcome;
}

/* --- hosts --- */

bool
simulated_advice_loses_message (struct simulated_advice *service, int host, int64_t now_ms)
{
  return simulated_advice_is_lost (service, host, now_ms)
         || (simulated_advice_is_in_burst (service, now_ms)
             && happens (service, service->profile.messages_lost));
}

int64_t
simulated_advice_frozen_until_ms (const struct simulated_advice *service, int host)
{
  return service->hosts[host].frozen_until_ms;
}

bool
simulated_advice_is_lost (const struct simulated_advice *service, int host, int64_t now_ms)
{
  return now_ms >= service->hosts[host].lost_at_ms;
}

bool
simulated_advice_is_known_lost (const struct simulated_advice *service, int host, int64_t now_ms)
{
  return simulated_advice_is_lost (service, host, now_ms)
         && now_ms >= service->hosts[host].lost_at_ms + LINK_DOWN_MS;
}
