/* Team limits over many owners: each domain holds an allotment of each team's limit.
 *
 * The row "allot/TEAM" holds the amounts of all domains; their sum never exceeds the limit. An
 * owner gives away what it does not use: it lowers its own use first, then moves the amount in one
 * write that is bound to the row's version and to its own epoch. The receiver uses it once it reads
 * it.
 */
#include "sched/sched_internal.h"

#include <string.h>

#define SCAN_INTERVAL_MS 1000
#define GIVE_INTERVAL_MS 500
#define ROWS_MAX 5000
/* Usage that is older than this is no ground for giving. */
#define USAGE_FRESH_MS 5000

void
fl_allot_free (void *data)
{
  struct fl_allot *allot = data;

  json_decref (allot->amounts);
  json_decref (allot->give_amounts);
  g_free (allot);
}

/* --- rows --- */

static void
use (struct fl_owned *owned, struct fl_allot *allot, int64_t amount)
{
  allot->in_use = amount;
  fl_domain_set_allotment (owned->domain, &allot->team, amount, fl_node_now (owned->sched->node));
}

void
fl_owned_take_allotment_row (struct fl_owned *owned, const struct fl_row *row)
{
  struct fl_name team = fl_name_of (row->key.data + strlen ("allot/"));
  struct fl_allot *allot = g_hash_table_lookup (owned->allotments, &team);
  json_t *amounts = json_object_get (row->value, "amounts");

  if (allot == NULL)
    {
      allot = g_new0 (struct fl_allot, 1);
      allot->team = team;
      g_hash_table_insert (owned->allotments, &allot->team, allot);
    }
  /* While a transfer of ours is unsettled the lower amount stays in force. */
  if (row->version <= allot->version || allot->give_open || allot->give_unsettled)
    return;
  allot->version = row->version;
  json_decref (allot->amounts);
  allot->amounts = json_incref (amounts);
  use (owned, allot, json_integer_value (json_object_get (amounts, owned->name.data)));
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
      fl_owned_take_allotment_row (owned, &result->rows[i]);
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

void
fl_sched_take_usage (struct fl_sched *sched,
                     const struct fl_name *address,
                     const struct fl_status *status)
{
  const struct fl_domain_status *domains = status->domains.items;
  const struct fl_usage_item *items = status->usage.items;
  GHashTableIter iter;
  struct fl_owned *owned;

  if (status->usage.count == 0)
    return;
  for (size_t i = 0; i < status->domains.count; i++)
    {
      struct fl_remote_usage *remote = remote_of (sched, &domains[i].domain);
      remote->address = *address;
      remote->heard_ms = fl_node_now (sched->node);
      g_array_set_size (remote->items, 0);
    }
  for (size_t i = 0; i < status->usage.count; i++)
    g_array_append_val (remote_of (sched, &items[i].domain)->items, items[i]);
  g_hash_table_iter_init (&iter, sched->owned);
  while (g_hash_table_iter_next (&iter, NULL, (void **)&owned))
    if (owned->domain != NULL)
      update_costs (owned);
}

/* --- giving --- */

struct give_call
{
  struct fl_sched *sched;
  struct fl_name domain;
  struct fl_name team;
  int64_t epoch;
};

static void
on_given (void *context, const struct fl_table_result *result)
{
  g_autofree struct give_call *call = context;
  struct fl_owned *owned = fl_sched_find (call->sched, &call->domain);

  if (owned == NULL || owned->domain == NULL || fl_domain_epoch (owned->domain) != call->epoch)
    return;
  struct fl_allot *allot = g_hash_table_lookup (owned->allotments, &call->team);
  if (allot == NULL)
    return;
  allot->give_open = false;
  allot->give_unsettled = result->code == FL_TABLE_UNKNOWN
                          || (allot->give_unsettled && result->code == FL_TABLE_REFUSED);
  /* OK and CONFLICT settle it: no write bound to this version can land any more. The next scan
   * brings the row as it is. A refusal at first try leaves the row, which a scan brings as well. */
  if (result->code == FL_TABLE_REFUSED && !allot->give_unsettled)
    use (owned, allot, json_integer_value (json_object_get (allot->amounts, owned->name.data)));
  if (result->code == FL_TABLE_OK)
    fl_stats_add (fl_node_stats (call->sched->node), "allotments_given", 1);
}

static void
send_give (struct fl_owned *owned, struct fl_allot *allot)
{
  struct fl_table *table = fl_node_table (owned->sched->node);
  struct give_call *call = g_new0 (struct give_call, 1);
  g_autofree char *key = g_strdup_printf ("allot/%s", allot->team.data);
  json_t *value = json_pack ("{s:O}", "amounts", allot->give_amounts);
  g_autofree char *fence = g_strdup_printf ("epoch/%s", owned->name.data);
  struct fl_txn_op ops[2] = { { FL_TXN_PUT, { strlen (key), key }, allot->version, value },
                              { FL_TXN_CHECK,
                                { strlen (fence), fence },
                                fl_journal_fence (owned->sched->journal, &owned->name),
                                NULL } };

  call->sched = owned->sched;
  call->domain = owned->name;
  call->team = allot->team;
  call->epoch = fl_domain_epoch (owned->domain);
  allot->give_open = true;
  allot->given_ms = fl_node_now (owned->sched->node);
  table->commit (table->self, ops, 2, on_given, call);
  json_decref (value);
}

/* The domain whose waiting work the team's allotment there cannot start, if any. */
static const struct fl_usage_item *
find_needy (struct fl_owned *owned, const struct fl_allot *allot, int64_t now_ms)
{
  const struct fl_usage_item *best = NULL;
  GHashTableIter iter;
  struct fl_remote_usage *remote;

  g_hash_table_iter_init (&iter, owned->sched->remote);
  while (g_hash_table_iter_next (&iter, NULL, (void **)&remote))
    {
      if (fl_name_eq (&remote->domain, &owned->name) || now_ms - remote->heard_ms > USAGE_FRESH_MS)
        continue;
      for (guint i = 0; i < remote->items->len; i++)
        {
          const struct fl_usage_item *item
              = &g_array_index (remote->items, struct fl_usage_item, i);
          int64_t theirs
              = json_integer_value (json_object_get (allot->amounts, remote->domain.data));
          if (fl_name_eq (&item->team, &allot->team) && item->waiting > 0 && item->running >= theirs
              && (best == NULL || item->waiting > best->waiting))
            best = item;
        }
    }
  return best;
}

struct give_visit
{
  struct fl_owned *owned;
  int64_t now_ms;
};

static void
consider_giving (void *context,
                 const struct fl_name *team,
                 int64_t running,
                 int64_t cost,
                 int64_t waiting,
                 int64_t allotment)
{
  const struct give_visit *visit = context;
  struct fl_owned *owned = visit->owned;
  struct fl_allot *allot = g_hash_table_lookup (owned->allotments, team);
  int64_t spare = allotment - running - waiting;

  (void)cost;
  if (allot == NULL || allot->give_open || allot->give_unsettled || allot->amounts == NULL
      || spare <= 0 || visit->now_ms < allot->given_ms + GIVE_INTERVAL_MS)
    return;
  const struct fl_usage_item *needy = find_needy (owned, allot, visit->now_ms);
  if (needy == NULL)
    return;
  int64_t amount = MAX (MIN (spare / 2, needy->waiting), 1);
  int64_t theirs = json_integer_value (json_object_get (allot->amounts, needy->domain.data));
  json_decref (allot->give_amounts);
  allot->give_amounts = json_deep_copy (allot->amounts);
  json_object_set_new (allot->give_amounts, owned->name.data, json_integer (allotment - amount));
  json_object_set_new (allot->give_amounts, needy->domain.data, json_integer (theirs + amount));
  use (owned, allot, allotment - amount);
  send_give (owned, allot);
}

static void
settle_gives (struct fl_owned *owned, int64_t now_ms)
{
  GHashTableIter iter;
  struct fl_allot *allot;

  g_hash_table_iter_init (&iter, owned->allotments);
  while (g_hash_table_iter_next (&iter, NULL, (void **)&allot))
    if (allot->give_unsettled && !allot->give_open && now_ms >= allot->given_ms + GIVE_INTERVAL_MS)
      send_give (owned, allot);
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
      settle_gives (owned, now_ms);
      fl_domain_each_team (owned->domain, consider_giving, &visit);
    }
}
