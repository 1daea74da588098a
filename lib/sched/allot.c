/* Reading the allotment rows, hearing what others use, and giving to those in need. */
#include "sched/sched_internal.h"

#include <string.h>

/* A receiver may use what it was given after this at the latest; a ticket is followed by a scan at
 * once. */
#define SCAN_INTERVAL_MS 3000
#define GIVE_INTERVAL_MS 500
#define ROWS_MAX 5000
/* Usage that is older than this is no ground for giving. */
#define USAGE_FRESH_MS 5000

/* --- rows --- */

static void
use (void *context, const struct fl_name *team, int64_t amount)
{
  struct fl_owned *owned = context;

  if (owned->domain != NULL)
    fl_domain_set_allotment (owned->domain, team, amount, fl_node_now (owned->sched->node));
}

void
fl_owned_open_allots (struct fl_owned *owned)
{
  struct fl_allots_options options
      = { .table = fl_node_table (owned->sched->node),
          .domain = owned->name,
          .fence_version = fl_journal_fence (owned->sched->journal, &owned->name),
          .interval_ms = GIVE_INTERVAL_MS,
          .use = use,
          .context = owned };

  fl_allots_free (owned->allots);
  owned->allots = fl_allots_new (&options);
}

static void
on_rows (void *context, const struct fl_table_result *result)
{
  struct fl_sched *sched = context;
  GHashTableIter iter;
  struct fl_owned *owned;

  sched->allot_open = false;
  if (result->code != FL_TABLE_OK)
    return;
  g_hash_table_iter_init (&iter, sched->owned);
  while (g_hash_table_iter_next (&iter, NULL, (void **)&owned))
    for (size_t i = 0; owned->loaded && owned->domain != NULL && i < result->row_count; i++)
      fl_allots_take_row (owned->allots, &result->rows[i]);
}

void
fl_sched_tick_allotments (struct fl_sched *sched, int64_t now_ms)
{
  struct fl_table *table = fl_node_table (sched->node);

  if (sched->allot_open || now_ms < sched->allot_asked_ms + SCAN_INTERVAL_MS)
    return;
  sched->allot_open = true;
  sched->allot_asked_ms = now_ms;
  table->scan (table->self, "allot/", "", ROWS_MAX, on_rows, sched);
}

/* --- what others use --- */

void
fl_remote_usage_free (void *data)
{
  struct fl_remote_usage *remote = data;

  g_array_unref (remote->items);
  g_free (remote);
}

static void
sum_cost (GHashTable *costs, const struct fl_remote_usage *remote)
{
  for (guint i = 0; i < remote->items->len; i++)
    {
      struct fl_usage_item *item = &g_array_index (remote->items, struct fl_usage_item, i);
      int64_t *cost = g_hash_table_lookup (costs, &item->team);
      if (cost == NULL)
        {
          cost = g_new0 (int64_t, 1);
          g_hash_table_insert (costs, &item->team, cost);
        }
      *cost += item->cost;
    }
}

/* Tells one owned domain what each team uses elsewhere. */
static void
update_costs (struct fl_owned *owned)
{
  g_autoptr (GHashTable) costs = g_hash_table_new_full (fl_name_hash, fl_name_equal, NULL, g_free);
  GHashTableIter iter;
  struct fl_remote_usage *remote;
  struct fl_name *team;
  int64_t *cost;

  g_hash_table_iter_init (&iter, owned->sched->remote);
  while (g_hash_table_iter_next (&iter, NULL, (void **)&remote))
    if (!fl_name_eq (&remote->domain, &owned->name))
      sum_cost (costs, remote);
  g_hash_table_iter_init (&iter, costs);
  while (g_hash_table_iter_next (&iter, (void **)&team, (void **)&cost))
    fl_domain_set_remote_cost (owned->domain, team, *cost);
}

static struct fl_remote_usage *
remote_of (struct fl_sched *sched, const struct fl_name *domain)
{
  struct fl_remote_usage *remote = g_hash_table_lookup (sched->remote, domain);

  if (remote != NULL)
    return remote;
  remote = g_new0 (struct fl_remote_usage, 1);
  remote->domain = *domain;
  remote->items = g_array_new (FALSE, FALSE, sizeof (struct fl_usage_item));
  g_hash_table_insert (sched->remote, &remote->domain, remote);
  return remote;
}

/* Items are told only when they change, so each replaces the one before. */
static void
put_item (struct fl_remote_usage *remote, const struct fl_usage_item *item)
{
  for (guint i = 0; i < remote->items->len; i++)
    {
      struct fl_usage_item *known = &g_array_index (remote->items, struct fl_usage_item, i);
      if (fl_name_eq (&known->team, &item->team))
        {
          *known = *item;
          return;
        }
    }
  g_array_append_val (remote->items, *item);
}

/* Notes the usage in @status, from another process or from this one. */
void
fl_sched_take_usage (struct fl_sched *sched, const struct fl_status *status)
{
  const struct fl_domain_status *domains = status->domains.items;
  const struct fl_usage_item *items = status->usage.items;
  GHashTableIter iter;
  struct fl_owned *owned;

  for (size_t i = 0; i < status->domains.count; i++)
    {
      struct fl_remote_usage *remote = remote_of (sched, &domains[i].domain);
      remote->heard_ms = fl_node_now (sched->node);
      if (remote->epoch == domains[i].epoch)
        continue;
      remote->epoch = domains[i].epoch; /* another owner tells all anew */
      g_array_set_size (remote->items, 0);
    }
  for (size_t i = 0; i < status->usage.count; i++)
    put_item (remote_of (sched, &items[i].domain), &items[i]);
  g_hash_table_iter_init (&iter, sched->owned);
  while (g_hash_table_iter_next (&iter, NULL, (void **)&owned))
    if (owned->domain != NULL)
      update_costs (owned);
}

/* --- giving --- */

struct give_visit
{
  struct fl_owned *owned;
  int64_t now_ms;
};

/* Finds the domain in which the team's work waits most. */
static bool
find_needy (const struct give_visit *visit, struct fl_allot_need *need)
{
  GHashTableIter iter;
  struct fl_remote_usage *remote;

  g_hash_table_iter_init (&iter, visit->owned->sched->remote);
  while (g_hash_table_iter_next (&iter, NULL, (void **)&remote))
    {
      if (fl_name_eq (&remote->domain, &visit->owned->name)
          || visit->now_ms - remote->heard_ms > USAGE_FRESH_MS)
        continue;
      for (guint i = 0; i < remote->items->len; i++)
        {
          const struct fl_usage_item *item
              = &g_array_index (remote->items, struct fl_usage_item, i);
          if (!fl_name_eq (&item->team, &need->team) || item->waiting <= need->needy_waiting)
            continue;
          need->needy = remote->domain;
          need->needy_waiting = item->waiting;
          need->needy_running = item->running;
          need->needy_stuck = item->stuck;
        }
    }
  return need->needy_waiting > 0;
}

static void
consider_giving (void *context, const struct fl_team_usage *usage)
{
  const struct give_visit *visit = context;
  struct fl_allot_need need = {
    .team = usage->team, .running = usage->running, .waiting = usage->waiting, .stuck = usage->stuck
  };

  if ((usage->allotment > usage->running + usage->waiting || usage->stuck)
      && find_needy (visit, &need) && fl_allots_give (visit->owned->allots, &need, visit->now_ms))
    fl_stats_add (fl_node_stats (visit->owned->sched->node), "allotments_sent", 1);
}

void
fl_sched_give (struct fl_sched *sched, int64_t now_ms)
{
  GHashTableIter iter;
  struct fl_owned *owned;

  g_hash_table_iter_init (&iter, sched->owned);
  while (g_hash_table_iter_next (&iter, NULL, (void **)&owned))
    {
      struct give_visit visit = { owned, now_ms };
      if (owned->domain == NULL || !owned->loaded || !fl_owned_may_act (owned))
        continue;
      fl_allots_settle (owned->allots, now_ms);
      fl_domain_each_team (owned->domain, consider_giving, &visit);
    }
}
