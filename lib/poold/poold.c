#include "poold/poold.h"

#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "common/clock.h"
#include "poold/poold_internal.h"
#include "poold/succession.h"
#include "targets/calls.h"

/* For the row that announces this host; written again until the store confirms it. */
#define ANNOUNCE_TIMEOUT_MS 1000
#define ANNOUNCE_RETRY_MS 500
/* A stopping process goes on rejecting orders for this long: the owner learns from the replies that
 * it stops, and orders that were on their way have arrived. Covers two transfers between hosts. */
#define STOP_NOTICE_MS 100
/* A stopping process waits no longer for the results of orders of peers: the owner counts no reply
 * to an older order. */
#define STOP_MAX_MS FL_REPLY_MAX_MS
/* A longer time between two ticks tells that the process was suspended. */
#define SUSPENSION_MIN_MS (3 * FL_TICK_INTERVAL_MAX_MS / 2)

/* From the beginning of a term until this host may begin another one for its tokens, which costs
 * the time to read the jobs. A target that restarts more than a hundred times meanwhile gets no
 * tasks for the rest of it. */
#define NEW_TERM_INTERVAL_MS 60000
/* After a call that may have failed. */
#define NEW_TERM_RETRY_MS 5000

/* --- configuration --- */

static void
on_configuration (void *context)
{
  struct fl_poold *poold = context;
  int64_t connections_max = fl_configuration_least_connections_max (poold->watch.configuration);

  poold->tick_requested = true;
  fl_platform_target_client_set_connections_max (poold->own_targets, connections_max);
  fl_platform_target_client_set_connections_max (poold->forwarded_targets, connections_max);
  if (poold->term != NULL)
    fl_core_configure (poold->term->core, poold->watch.configuration);
}

static void
on_evacuated (void *context)
{
  struct fl_poold *poold = context;
  const GArray *domains = poold->watch.evacuated;

  poold->tick_requested = true;
  if (poold->term != NULL)
    fl_core_set_evacuated_domains (poold->term->core, (const struct fl_name *)domains->data,
                                   domains->len);
}

/* --- ownership --- */

static int64_t
acquire_delay_ms (void *context, bool never_owned)
{
  const struct fl_poold *poold = context;
  const struct fl_host *host = poold->host;
  struct fl_succession succession = {
    .own_cpu_milli = fl_host_settings_cpu_milli (&host->settings),
    .largest_cpu_milli = host->relay != NULL ? fl_relay_largest_cpu_milli (host->relay) : 0,
    .has_peers = host->relay != NULL,
    .knows_hosts = host->relay != NULL && fl_relay_knows_hosts (host->relay),
    .never_owned = never_owned,
  };

  return fl_succession_get_delay_ms (&succession);
}

static void
on_acquired (void *context, int64_t token, int64_t version, bool previous_owner_may_be_active)
{
  struct fl_poold *poold = context;

  poold->new_term_at_ms = fl_clock_boot_ms () + NEW_TERM_INTERVAL_MS;
  fl_stats_set (poold->host->stats, "pool_owned", 1);
  fl_configuration_watch_start (
      &poold->watch, poold->host,
      &(struct fl_configuration_watch_callbacks){ on_configuration, on_evacuated, poold });
  poold->term = fl_term_new (poold, token, version, previous_owner_may_be_active);
}

static void
end_term (struct fl_poold *poold)
{
  struct fl_term *term = poold->term;

  poold->term = NULL;
  fl_configuration_watch_pause (&poold->watch);
  fl_stats_set (poold->host->stats, "pool_owned", 0);
  fl_advisors_orphan_queries (poold->advisors);
  if (term != NULL)
    fl_term_end (term);
}

static void
on_lost (void *context)
{
  struct fl_poold *poold = context;

  /* Before a new term of this host, starts leave now or never. */
  if (fl_ownership_has_authority (poold->ownership))
    fl_forwarder_flush (poold->forwarder);
  end_term (poold);
}

/* Begins a new term if a target has nearly used up the fencing tokens of this one. */
static void
renew_tokens (struct fl_poold *poold)
{
  int64_t now_ms = fl_clock_boot_ms ();

  if (poold->term == NULL || !poold->term->jobs_read || now_ms < poold->new_term_at_ms
      || !fl_core_is_short_of_tokens (poold->term->core))
    return;
  poold->new_term_at_ms = now_ms + NEW_TERM_RETRY_MS;
  fl_ownership_begin_new_term (poold->ownership);
}

bool
fl_poold_may_send (void *context)
{
  const struct fl_poold *poold = context;

  return fl_ownership_has_authority (poold->ownership);
}

bool
fl_poold_may_renew (void *context)
{
  const struct fl_poold *poold = context;

  return fl_clock_boot_ms () < fl_ownership_get_authority_until (poold->ownership)
                                   + fl_ownership_get_heartbeat_grace_ms ();
}

/* --- this host --- */

static void
on_announce_reply (void *context, const struct fl_store_reply *reply)
{
  struct fl_poold *poold = context;

  poold->announced = reply->status == FL_STORE_OK;
  poold->announce_in_flight = false;
}

/* Publishes the address at which this host accepts advice queries and forwarded orders. */
static void
announce_host (struct fl_poold *poold)
{
  const struct fl_store *store = poold->host->store;
  struct fl_name address = fl_link_address (poold->link);
  struct fl_store_write write = { FL_TABLE_HOSTS,
                                  FL_PARTITION_COMMON,
                                  poold->host->settings.name,
                                  { address.len, address.data },
                                  false };
  struct fl_store_transaction transaction = { NULL, 0, &write, 1 };

  poold->announce_in_flight = true;
  poold->announce_sent_ms = fl_clock_boot_ms ();
  store->transact (store->context, &transaction, ANNOUNCE_TIMEOUT_MS, on_announce_reply, poold);
}

static void
on_advice_reply (void *context,
                 const struct fl_name *step,
                 const struct fl_name *queried,
                 size_t queried_count,
                 const struct fl_advice_reply *reply)
{
  struct fl_poold *poold = context;

  poold->tick_requested = true;
  if (poold->term != NULL)
    fl_core_handle_advice_reply (poold->term->core, step, queried, queried_count, reply,
                                 fl_clock_boot_ms ());
}

/* --- loop --- */

static void
tick (struct fl_poold *poold)
{
  int64_t started_us = fl_clock_monotonic_us ();

  poold->tick_requested = false;
  poold->last_tick_ms = fl_clock_boot_ms ();
  if (!poold->announced && !poold->announce_in_flight
      && fl_clock_boot_ms () - poold->announce_sent_ms >= ANNOUNCE_RETRY_MS)
    announce_host (poold);
  fl_ownership_tick (poold->ownership);
  if (poold->term != NULL)
    fl_term_tick (poold->term);
  renew_tokens (poold);
  fl_tick_pace_add (&poold->tick_pace, fl_clock_monotonic_us () - started_us);
}

static void end_if_drained (struct fl_poold *poold);

/* The time until the next tick may begin; negative if it may already have. */
static int64_t
get_tick_wait_ms (const struct fl_poold *poold)
{
  return poold->last_tick_ms + fl_tick_pace_interval_ms (&poold->tick_pace) - fl_clock_boot_ms ();
}

static void
on_tick (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  tick (timer->data);
  end_if_drained (timer->data);
}

static void
on_regular_tick (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct fl_poold *poold = timer->data;

  if (get_tick_wait_ms (poold) <= 0)
    {
      on_tick (loop, timer, events);
      return;
    }
  poold->tick_requested = true;
  end_if_drained (poold);
}

/* Runs before the loop blocks: one tick handles all events since the last tick. */
static void
on_prepare (struct ev_loop *loop, ev_prepare *prepare, int events)
{
  struct fl_poold *poold = prepare->data;

  (void)events;
  if (!poold->tick_requested || ev_is_active (&poold->early_tick_timer))
    return;
  int64_t wait_ms = get_tick_wait_ms (poold);
  if (wait_ms <= 0)
    {
      tick (poold);
      return;
    }
  ev_timer_set (&poold->early_tick_timer, (double)MAX (wait_ms, FL_TICK_INTERVAL_MIN_MS) / 1000.0,
                0.0);
  ev_timer_start (loop, &poold->early_tick_timer);
}

/* Ends the process once the pool is released and orders of peers have their results. Called at each
 * tick; after a suspension, what has arrived meanwhile is read first. */
static void
end_if_drained (struct fl_poold *poold)
{
  int64_t now_ms = fl_clock_boot_ms ();
  int64_t stopping_ms = now_ms - poold->stop_started_ms;

  if (now_ms - poold->last_drain_check_ms > SUSPENSION_MIN_MS)
    poold->resumed_ms = now_ms;
  poold->last_drain_check_ms = now_ms;
  if (!poold->stopping || !poold->released || stopping_ms < STOP_NOTICE_MS)
    return;
  if (stopping_ms >= STOP_MAX_MS
      || (now_ms - poold->resumed_ms >= FL_TICK_INTERVAL_MAX_MS
          && fl_forwarder_open_peer_orders (poold->forwarder) == 0))
    ev_break (poold->host->loop, EVBREAK_ALL);
}

static void
on_released (void *context)
{
  struct fl_poold *poold = context;

  poold->released = true;
}

static void
on_stop (void *context)
{
  struct fl_poold *poold = context;

  if (poold->stopping)
    return;
  poold->stopping = true;
  poold->stop_started_ms = fl_clock_boot_ms ();
  fl_forwarder_drain (poold->forwarder);
  fl_advisors_drain (poold->advisors);
  end_term (poold);
  fl_ownership_release (poold->ownership, on_released, poold);
}

static void
write_dump (void *context, GString *out)
{
  struct fl_poold *poold = context;

  if (poold->term == NULL)
    return;
  fl_core_dump (poold->term->core, out);
  fl_advisors_dump (poold->advisors, out);
}

static void
start_watchers (struct fl_poold *poold)
{
  ev_timer_init (&poold->tick_timer, on_regular_tick, FL_TICK_INTERVAL_MAX_MS / 1000.0,
                 FL_TICK_INTERVAL_MAX_MS / 1000.0);
  poold->tick_timer.data = poold;
  ev_timer_start (poold->host->loop, &poold->tick_timer);
  ev_timer_init (&poold->early_tick_timer, on_tick, 0.0, 0.0);
  poold->early_tick_timer.data = poold;
  ev_prepare_init (&poold->prepare_watcher, on_prepare);
  poold->prepare_watcher.data = poold;
  ev_prepare_start (poold->host->loop, &poold->prepare_watcher);
  fl_stop_signals_start (&poold->signals, poold->host->loop, on_stop, poold);
}

/* The loop keeps the addresses of active watchers. */
static void
stop_watchers (struct fl_poold *poold)
{
  ev_timer_stop (poold->host->loop, &poold->tick_timer);
  ev_timer_stop (poold->host->loop, &poold->early_tick_timer);
  ev_prepare_stop (poold->host->loop, &poold->prepare_watcher);
  fl_stop_signals_stop (&poold->signals, poold->host->loop);
}

static bool
open_links (struct fl_poold *poold, struct fl_error *error)
{
  struct fl_host_metrics_options metrics = { .port = poold->host->settings.pool_metrics_port,
                                             .dump = write_dump,
                                             .on_request = fl_poold_on_request,
                                             .body_max = FL_PLAN_BODY_MAX,
                                             .context = poold };

  return fl_peers_open (poold, on_advice_reply, error)
         && fl_host_serve_metrics (poold->host, &metrics, error);
}

int
fl_poold_serve (struct fl_host *host)
{
  struct fl_poold poold = { .host = host };
  struct fl_error error = { 0 };
  struct fl_ownership_options ownership = {
    .clock = fl_clock_boot (),
    .log = &host->log,
    .store = host->store,
    .host = host->settings.name,
    .acquire_delay_ms = acquire_delay_ms,
    .on_acquired = on_acquired,
    .on_lost = on_lost,
    .context = &poold,
  };

  poold.own_targets = fl_platform_target_client_new (
      host->http_client, host->settings.advice.data,
      &(struct fl_platform_permits){ fl_poold_may_send, fl_poold_may_renew, &poold });
  poold.forwarded_targets
      = fl_platform_target_client_new (host->http_client, host->settings.advice.data, NULL);
  if (!open_links (&poold, &error))
    {
      fl_log_error (&host->log, FL_LOG_ERR, "start_failed", &error);
      fl_peers_close (&poold);
      fl_platform_target_client_free (poold.forwarded_targets);
      fl_platform_target_client_free (poold.own_targets);
      return FL_PROGRAM_FAILED;
    }
  start_watchers (&poold);
  poold.ownership = fl_ownership_new (&ownership);
  ev_run (host->loop, 0);
  stop_watchers (&poold);
  fl_configuration_watch_stop (&poold.watch);
  fl_peers_close (&poold);
  fl_ownership_free (poold.ownership);
  fl_platform_target_client_free (poold.forwarded_targets);
  fl_platform_target_client_free (poold.own_targets);
  return FL_PROGRAM_OK;
}
