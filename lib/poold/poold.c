#include "poold/poold.h"

#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "common/clock.h"
#include "poold/poold_internal.h"

/* Longest time between decisions: covers what only time brings about. */
#define TICK_MS 50
/* Shortest time between decisions: an owner of hundreds of targets observes a thousand things a
 * second, and goes over all waiting work at each decision. */
#define TICK_MIN_MS 4
/* The row that announces this host; written again after the pause when the store did not take it.
 */
#define ANNOUNCE_TIMEOUT_MS 1000
#define ANNOUNCE_PAUSE_MS 500

/* A host with less than this share of the largest one's processor leaves the pool to larger ones
 * for two of their looks at it. Deciding for hundreds of targets takes most of a small host. */
#define LARGE_PERCENT 75
#define SMALL_DELAY_MS 600
/* Before the first taking of all, hosts announce themselves and read the list. */
#define FIRST_DELAY_MS 2200

/* --- configuration --- */

static void
on_configuration (void *context)
{
  struct fl_poold *poold = context;

  poold->changed = true;
  if (poold->term != NULL)
    fl_core_configure (poold->term->core, poold->watch.configuration);
}

/* --- ownership --- */

static int64_t
take_delay_ms (void *context, bool never_owned)
{
  const struct fl_poold *poold = context;
  const struct fl_host *host = poold->host;
  int64_t own = fl_host_settings_cpu_milli (&host->settings);
  int64_t largest = host->relay != NULL ? fl_relay_largest_cpu (host->relay) : 0;
  int64_t delay_ms = own * 100 < largest * LARGE_PERCENT ? SMALL_DELAY_MS : 0;

  return never_owned && own > 0 && host->relay != NULL ? FIRST_DELAY_MS + delay_ms : delay_ms;
}

static void
on_taken (void *context, int64_t token, int64_t version, bool held_on)
{
  struct fl_poold *poold = context;

  fl_stats_set (poold->host->stats, "pool_owned", 1);
  fl_configuration_watch_start (&poold->watch, poold->host, on_configuration, poold);
  poold->term = fl_term_new (poold, token, version, held_on);
}

static void
end_term (struct fl_poold *poold)
{
  struct fl_term *term = poold->term;

  poold->term = NULL;
  fl_configuration_watch_pause (&poold->watch);
  fl_stats_set (poold->host->stats, "pool_owned", 0);
  if (term != NULL)
    fl_term_end (term);
}

static void
on_lost (void *context)
{
  end_term (context);
}

bool
fl_poold_may_send (void *context)
{
  const struct fl_poold *poold = context;

  return fl_ownership_has_authority (poold->ownership);
}

/* --- this host --- */

static void
on_announced (void *context, const struct fl_store_reply *reply)
{
  struct fl_poold *poold = context;

  poold->announced = reply->status == FL_STORE_OK;
  poold->announcing = false;
}

/* Tells the owner where this host takes questions and orders. */
static void
announce (struct fl_poold *poold)
{
  const struct fl_store *store = poold->host->store;
  struct fl_name address = fl_link_address (poold->link);
  struct fl_store_write write = {
    FL_TABLE_HOSTS, FL_PART_COMMON, poold->host->settings.name, { address.len, address.data }, false
  };
  struct fl_store_transaction transaction = { NULL, 0, &write, 1 };

  poold->announcing = true;
  poold->announced_at_ms = fl_clock_boot_ms ();
  store->transact (store->context, &transaction, ANNOUNCE_TIMEOUT_MS, on_announced, poold);
}

static void
on_advice (void *context,
           const struct fl_name *step,
           const struct fl_name *asked,
           size_t asked_count,
           const struct fl_advice_reply *reply)
{
  struct fl_poold *poold = context;

  poold->changed = true;
  if (poold->term != NULL)
    fl_core_advice_answered (poold->term->core, step, asked, asked_count, reply,
                             fl_clock_boot_ms ());
}

/* --- loop --- */

static void
tick (struct fl_poold *poold)
{
  poold->changed = false;
  poold->ticked_ms = fl_clock_boot_ms ();
  if (!poold->announced && !poold->announcing
      && fl_clock_boot_ms () - poold->announced_at_ms >= ANNOUNCE_PAUSE_MS)
    announce (poold);
  fl_ownership_tick (poold->ownership);
  if (poold->term != NULL)
    fl_term_tick (poold->term);
}

static void
on_tick (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  tick (timer->data);
}

/* Decides once for all that was observed since the last decision. */
static void
on_prepare (struct ev_loop *loop, ev_prepare *prepare, int events)
{
  struct fl_poold *poold = prepare->data;
  int64_t due_ms = poold->ticked_ms + TICK_MIN_MS;

  (void)events;
  if (!poold->changed || ev_is_active (&poold->soon))
    return;
  if (fl_clock_boot_ms () >= due_ms)
    {
      tick (poold);
      return;
    }
  ev_timer_set (&poold->soon, TICK_MIN_MS / 1000.0, 0.0);
  ev_timer_start (loop, &poold->soon);
}

static void
on_released (void *context)
{
  struct fl_poold *poold = context;

  ev_break (poold->host->loop, EVBREAK_ALL);
}

static void
on_stop (void *context)
{
  struct fl_poold *poold = context;

  if (poold->stopping)
    return;
  poold->stopping = true;
  end_term (poold);
  fl_ownership_release (poold->ownership, on_released, poold);
}

static void
dump (void *context, GString *out)
{
  struct fl_poold *poold = context;

  if (poold->term != NULL)
    fl_core_dump (poold->term->core, out);
}

static void
start_watchers (struct fl_poold *poold)
{
  ev_timer_init (&poold->tick, on_tick, TICK_MS / 1000.0, TICK_MS / 1000.0);
  poold->tick.data = poold;
  ev_timer_start (poold->host->loop, &poold->tick);
  ev_timer_init (&poold->soon, on_tick, 0.0, 0.0);
  poold->soon.data = poold;
  ev_prepare_init (&poold->prepare, on_prepare);
  poold->prepare.data = poold;
  ev_prepare_start (poold->host->loop, &poold->prepare);
  fl_stop_signals_start (&poold->signals, poold->host->loop, on_stop, poold);
}

static bool
open_links (struct fl_poold *poold, struct fl_error *error)
{
  return fl_peers_open (poold, on_advice, error)
         && fl_host_serve_metrics (poold->host, poold->host->settings.pool_metrics_port, dump,
                                   poold, error);
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
    .take_delay_ms = take_delay_ms,
    .on_taken = on_taken,
    .on_lost = on_lost,
    .context = &poold,
  };

  poold.targets = fl_platform_targets_new (host->http_client, host->settings.advice.data,
                                           fl_poold_may_send, &poold);
  poold.carried_targets
      = fl_platform_targets_new (host->http_client, host->settings.advice.data, NULL, NULL);
  if (!open_links (&poold, &error))
    {
      fl_log_error (&host->log, FL_LOG_ERR, "start_failed", &error);
      fl_peers_close (&poold);
      fl_platform_targets_free (poold.carried_targets);
      fl_platform_targets_free (poold.targets);
      return FL_PROGRAM_FAILED;
    }
  start_watchers (&poold);
  poold.ownership = fl_ownership_new (&ownership);
  ev_run (host->loop, 0);
  fl_configuration_watch_stop (&poold.watch);
  fl_peers_close (&poold);
  fl_ownership_free (poold.ownership);
  fl_platform_targets_free (poold.carried_targets);
  fl_platform_targets_free (poold.targets);
  return FL_PROGRAM_OK;
}
