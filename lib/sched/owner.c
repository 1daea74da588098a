/* Driving the ownership leases: table rows, votes, taking and losing domains. */
#include "sched/sched_internal.h"

#include "lease/owner_row.h"

#include <string.h>

#include <xxhash.h>

#define ROWS_MAX 1000
/* Wait added for each scheduler that is preferred, and for each domain already owned. */
#define TAKE_RANK_MS 150
#define TAKE_OWNED_MS 100
/* Between two looks at whether another scheduler should own some of our domains. */
#define BALANCE_INTERVAL_MS 3000
/* Others get this long to take a domain that was handed over. */
#define HANDOVER_ABSTAIN_MS 3000
/* The table counts as reachable for this long after it answered. */
#define TABLE_FRESH_MS 1500

/* --- rows --- */

struct fl_owned *
fl_sched_find (const struct fl_sched *sched, const struct fl_name *domain)
{
  return g_hash_table_lookup (sched->owned, domain);
}

void
fl_owned_free (void *data)
{
  struct fl_owned *owned = data;

  fl_domain_free (owned->domain);
  g_hash_table_destroy (owned->polls);
  fl_allots_free (owned->allots);
  g_free (owned);
}

static void
add_domain (struct fl_sched *sched, const struct fl_name *name)
{
  struct fl_name self = fl_node_instance (sched->node);
  struct fl_owned *owned;

  if (g_hash_table_contains (sched->owned, name))
    return;
  owned = g_new0 (struct fl_owned, 1);
  owned->sched = sched;
  owned->name = *name;
  owned->polls = g_hash_table_new_full (fl_name_hash, fl_name_equal, g_free, g_free);
  fl_lease_init (&owned->lease, &sched->rules, &self, fl_node_now (sched->node));
  g_hash_table_insert (sched->owned, &owned->name, owned);
}

/* --- authority --- */

bool
fl_owned_may_act (struct fl_owned *owned)
{
  return owned->domain != NULL && owned->loading_epoch == 0
         && owned->lease.row.epoch == fl_domain_epoch (owned->domain)
         && fl_lease_may_act (&owned->lease, fl_node_now (owned->sched->node));
}

void
fl_owned_drop_domain (struct fl_owned *owned, const char *why)
{
  struct fl_domain *domain = owned->domain;

  owned->loading_epoch = 0;
  if (domain == NULL)
    return;
  fl_log (fl_node_log (owned->sched->node), FL_LOG_WARNING, "domain_lost",
          FL_N ("domain", &owned->name), FL_I ("epoch", fl_domain_epoch (domain)),
          FL_S ("reason", why));
  fl_stats_add (fl_node_stats (owned->sched->node), "domains_lost", 1);
  /* The journal settles what is open, which answers the callers that wait for it. */
  fl_journal_close_domain (owned->sched->journal, &owned->name);
  fl_domain_close (domain, fl_node_now (owned->sched->node));
  owned->domain = NULL;
  owned->loaded = false;
  fl_domain_free (domain);
  g_hash_table_remove_all (owned->polls);
  fl_allots_free (owned->allots);
  owned->allots = NULL;
  fl_sched_forget_usage (owned->sched, &owned->name);
}

/* Starts or ends the domain object as the lease tells. */
static void
follow_lease (struct fl_owned *owned)
{
  struct fl_lease *lease = &owned->lease;

  if (owned->domain != NULL
      && (lease->state == FL_LEASE_WATCHING || lease->state == FL_LEASE_TAKING
          || lease->row.epoch != fl_domain_epoch (owned->domain)))
    fl_owned_drop_domain (owned, "another process owns it");
  /* A load for an epoch that has ended is void: its answers find another epoch here. */
  if (lease->state == FL_LEASE_HOLDING && owned->domain == NULL
      && owned->loading_epoch != lease->row.epoch
      && fl_node_now (owned->sched->node) >= owned->load_after_ms)
    {
      owned->held_ms = fl_node_now (owned->sched->node);
      fl_log (fl_node_log (owned->sched->node), FL_LOG_NOTICE, "domain_taken",
              FL_N ("domain", &owned->name), FL_I ("epoch", lease->row.epoch),
              FL_I ("voters", lease->row.voters.count));
      fl_stats_add (fl_node_stats (owned->sched->node), "domains_taken", 1);
      fl_owned_load (owned);
    }
}

/* --- reads --- */

static void
on_rows (void *context, const struct fl_table_result *result)
{
  struct fl_sched *sched = context;
  int64_t now_ms = fl_node_now (sched->node);
  g_autoptr (GHashTable) rows = g_hash_table_new_full (fl_name_hash, fl_name_equal, g_free, NULL);
  GHashTableIter iter;
  struct fl_owned *owned;

  sched->rows_open = false;
  for (size_t i = 0; i < result->row_count; i++)
    {
      struct fl_name name = fl_name_of (result->rows[i].key.data + strlen ("owner/"));
      g_hash_table_insert (rows, g_memdup2 (&name, sizeof name), (void *)&result->rows[i]);
    }
  g_hash_table_iter_init (&iter, sched->owned);
  while (g_hash_table_iter_next (&iter, NULL, (void **)&owned))
    {
      const struct fl_row *row = g_hash_table_lookup (rows, &owned->name);
      struct fl_owner_row owner_row = { 0 };
      if (!owned->lease.call_open || !owned->lease.reading)
        continue;
      if (row != NULL)
        fl_owner_row_from_json (row->value, row->version, &owner_row);
      fl_lease_on_row (&owned->lease, result->code == FL_TABLE_OK, &owner_row, now_ms);
      follow_lease (owned);
    }
}

static void
read_rows (struct fl_sched *sched)
{
  struct fl_table *table = fl_node_table (sched->node);

  if (sched->rows_open)
    return;
  sched->rows_open = true;
  table->scan (table->self, "owner/", "", ROWS_MAX, on_rows, sched);
}

/* --- writes --- */

struct write_call
{
  struct fl_sched *sched;
  struct fl_name domain;
  struct fl_owner_row row;
  int64_t sent_ms;
  bool handover; /* a release after which this process goes on as a candidate */
};

static void
on_written (void *context, const struct fl_table_result *result)
{
  static const enum fl_cas_result results[]
      = { FL_CAS_OK, FL_CAS_CONFLICT, FL_CAS_REFUSED, FL_CAS_UNKNOWN };
  g_autofree struct write_call *call = context;
  struct fl_owned *owned = fl_sched_find (call->sched, &call->domain);

  if (owned == NULL)
    return;
  if (call->handover)
    {
      struct fl_name self = fl_node_instance (call->sched->node);
      fl_lease_init (&owned->lease, &call->sched->rules, &self, fl_node_now (call->sched->node));
      owned->releasing = false;
      owned->abstain_until_ms = fl_node_now (call->sched->node) + HANDOVER_ABSTAIN_MS;
      return;
    }
  fl_lease_on_written (&owned->lease, results[result->code], &call->row,
                       result->code == FL_TABLE_OK ? result->versions[0] : 0, call->sent_ms,
                       fl_node_now (call->sched->node));
  follow_lease (owned);
}

/* Writes the owner row, and the epoch row that fences the domain's other writes when it changes. */
static void
write_row (struct fl_owned *owned, const struct fl_lease_plan *plan, bool handover)
{
  struct fl_table *table = fl_node_table (owned->sched->node);
  struct write_call *call = g_new0 (struct write_call, 1);
  g_autofree char *owner_key = g_strdup_printf ("owner/%s", owned->name.data);
  g_autofree char *epoch_key = g_strdup_printf ("epoch/%s", owned->name.data);
  json_t *owner = fl_owner_row_to_json (&plan->row);
  json_t *epoch = json_pack ("{s:I}", "epoch", (json_int_t)plan->row.epoch);
  struct fl_txn_op ops[2] = {
    { FL_TXN_PUT, { strlen (owner_key), owner_key }, plan->insert ? 0 : plan->version, owner },
    { FL_TXN_PUT, { strlen (epoch_key), epoch_key }, FL_ANY_VERSION, epoch },
  };
  bool raises = plan->insert || plan->row.epoch != owned->lease.row.epoch;

  call->sched = owned->sched;
  call->domain = owned->name;
  call->row = plan->row;
  call->handover = handover;
  call->sent_ms = fl_node_now (owned->sched->node);
  table->commit (table->self, ops, raises ? 2 : 1, on_written, call);
  json_decref (owner);
  json_decref (epoch);
}

/* --- votes --- */

static struct fl_voter *
voter_of (struct fl_sched *sched, const struct fl_name *domain)
{
  struct fl_voter *voter = g_hash_table_lookup (sched->voters, domain);

  if (voter != NULL)
    return voter;
  voter = g_new0 (struct fl_voter, 1);
  fl_voter_init (voter, sched->started_ms);
  g_hash_table_insert (sched->voters, g_memdup2 (domain, sizeof *domain), voter);
  return voter;
}

static bool
vote (struct fl_sched *sched, const struct fl_vote_item *item)
{
  struct fl_voter *voter = voter_of (sched, &item->domain);
  int64_t now_ms = fl_node_now (sched->node);
  int64_t wait_ms;

  return item->support ? fl_voter_support (voter, &sched->rules, item->epoch, now_ms, &wait_ms)
                       : fl_voter_promise (voter, &sched->rules, item->epoch, now_ms, &wait_ms);
}

void
fl_sched_on_vote_ask (struct fl_sched *sched,
                      const struct fl_route *from,
                      const struct fl_vote_message *ask)
{
  const struct fl_vote_item *items = ask->items.items;
  g_autofree struct fl_vote_item *votes = g_new0 (struct fl_vote_item, MAX (ask->items.count, 1));
  struct fl_vote_message answer = { .instance = fl_node_instance (sched->node),
                                    .stamp_ms = ask->stamp_ms,
                                    .items = { ask->items.count, votes } };

  for (size_t i = 0; i < ask->items.count; i++)
    {
      votes[i] = items[i];
      votes[i].granted = vote (sched, &items[i]);
    }
  fl_node_send (sched->node, from, FL_MSG_VOTE, &answer);
}

void
fl_sched_on_vote (struct fl_sched *sched, const struct fl_vote_message *message)
{
  const struct fl_vote_item *items = message->items.items;
  int64_t now_ms = fl_node_now (sched->node);

  for (size_t i = 0; i < message->items.count; i++)
    {
      struct fl_owned *owned = fl_sched_find (sched, &items[i].domain);
      if (owned == NULL || !items[i].granted)
        continue;
      fl_lease_on_vote (&owned->lease, &message->instance, items[i].support, items[i].epoch,
                        message->stamp_ms, now_ms);
      follow_lease (owned);
    }
}

/* Asks of one round, by the member that is asked. */
static void
add_ask (GHashTable *asks,
         const struct fl_name *voter,
         const struct fl_owned *owned,
         const struct fl_lease_plan *plan)
{
  GArray *items = g_hash_table_lookup (asks, voter);
  struct fl_vote_item item
      = { .domain = owned->name, .epoch = plan->epoch, .support = plan->asks_support };

  if (items == NULL)
    {
      items = g_array_new (FALSE, FALSE, sizeof (struct fl_vote_item));
      g_hash_table_insert (asks, g_memdup2 (voter, sizeof *voter), items);
    }
  g_array_append_val (items, item);
}

/* A voter whose instance is known to be replaced at its address cannot answer any more. It may have
 * promised something up to the moment at which its successor was first heard, @known_ms. */
static bool
is_replaced (const struct fl_sched *sched, const struct fl_name *voter, int64_t *known_ms)
{
  const struct fl_member *old = fl_node_member (sched->node, voter);
  const struct fl_member *other;
  size_t cursor = 0;

  while (old != NULL && (other = fl_node_next_member (sched->node, &cursor)) != NULL)
    if (other != old && other->role == FL_PROCESS_SCHED && other->heard_ms > old->heard_ms
        && fl_name_eq (&other->address, &old->address) && fl_node_is_live (sched->node, other))
      {
        *known_ms = other->first_heard_ms;
        return true;
      }
  return false;
}

static void
ask_voters (struct fl_owned *owned, const struct fl_lease_plan *plan, GHashTable *asks)
{
  struct fl_sched *sched = owned->sched;
  struct fl_name self = fl_node_instance (sched->node);
  int64_t now_ms = fl_node_now (sched->node);

  for (int i = 0; i < plan->asked.count; i++)
    {
      const struct fl_name *voter = &plan->asked.names[i];
      int64_t known_ms;
      if (fl_name_eq (voter, &self))
        {
          struct fl_vote_item item
              = { .domain = owned->name, .epoch = plan->epoch, .support = plan->asks_support };
          if (vote (sched, &item))
            fl_lease_on_vote (&owned->lease, &self, item.support, item.epoch, now_ms, now_ms);
        }
      else if (plan->asks_support && is_replaced (sched, voter, &known_ms))
        fl_lease_on_voter_gone (&owned->lease, voter, known_ms, now_ms);
      else
        add_ask (asks, voter, owned, plan);
    }
}

static void
send_asks (struct fl_sched *sched, GHashTable *asks)
{
  GHashTableIter iter;
  struct fl_name *voter;
  GArray *items;

  g_hash_table_iter_init (&iter, asks);
  while (g_hash_table_iter_next (&iter, (void **)&voter, (void **)&items))
    {
      const struct fl_member *member = fl_node_member (sched->node, voter);
      struct fl_vote_message ask = { .instance = fl_node_instance (sched->node),
                                     .stamp_ms = fl_node_now (sched->node),
                                     .items = { items->len, items->data } };
      if (member != NULL)
        fl_node_send_to (sched->node, &member->address, FL_MSG_VOTE_ASK, &ask);
    }
}

/* --- preference --- */

static void
live_schedulers (const struct fl_sched *sched, struct fl_voters *live)
{
  const struct fl_member *member;
  size_t cursor = 0;

  live->count = 0;
  if (!fl_node_is_leaving (sched->node))
    live->names[live->count++] = fl_node_instance (sched->node);
  while ((member = fl_node_next_member (sched->node, &cursor)) != NULL)
    if (member->role == FL_PROCESS_SCHED && fl_node_is_live (sched->node, member)
        && live->count < FL_VOTERS_MAX)
      live->names[live->count++] = member->instance;
}

static uint64_t
preference (const struct fl_name *domain,
            const struct fl_name *instance,
            const struct fl_name *host_domain)
{
  uint64_t hash = XXH3_64bits_withSeed (instance->data, instance->len,
                                        XXH3_64bits (domain->data, domain->len));

  /* A scheduler within the domain goes first; the rest are spread by rendezvous hashing. */
  return fl_name_eq (domain, host_domain) ? hash | (1ULL << 63) : hash >> 1;
}

/* How many live schedulers are preferred over this one for the domain. */
static int64_t
rank (const struct fl_sched *sched, const struct fl_name *domain)
{
  struct fl_name self = fl_node_instance (sched->node);
  uint64_t own = preference (domain, &self, &fl_node_settings (sched->node)->domain);
  const struct fl_member *member;
  size_t cursor = 0;
  int64_t better = 0;

  while ((member = fl_node_next_member (sched->node, &cursor)) != NULL)
    if (member->role == FL_PROCESS_SCHED && fl_node_is_live (sched->node, member)
        && preference (domain, &member->instance, &member->domain) > own)
      better++;
  return better;
}

static int64_t
count_owned (const struct fl_sched *sched)
{
  GHashTableIter iter;
  struct fl_owned *owned;
  int64_t count = 0;

  g_hash_table_iter_init (&iter, sched->owned);
  while (g_hash_table_iter_next (&iter, NULL, (void **)&owned))
    count += owned->domain != NULL;
  return count;
}

static bool
may_take (const struct fl_sched *sched, int64_t now_ms)
{
  /* Hears the others first, so that the first owners are spread over all hosts. */
  return !fl_node_is_leaving (sched->node) && fl_node_in_contact (sched->node)
         && now_ms >= sched->started_ms + fl_node_settings (sched->node)->hello_ms * 3 / 2;
}

/* --- ticks --- */

void
fl_sched_add_listed_domains (struct fl_sched *sched)
{
  g_autoptr (GArray) domains = fl_host_list_domains (fl_host_reader_list (sched->hosts));

  for (guint i = 0; i < domains->len; i++)
    add_domain (sched, &g_array_index (domains, struct fl_name, i));
}

static void
drive (struct fl_owned *owned,
       const struct fl_voters *live,
       bool take,
       GHashTable *asks,
       bool *want_rows)
{
  struct fl_lease_plan plan;

  if (owned->releasing)
    return;
  fl_lease_plan (&owned->lease, live, take, fl_node_now (owned->sched->node), &plan);
  if (plan.store == FL_LEASE_READ)
    *want_rows = true;
  else if (plan.store == FL_LEASE_WRITE)
    write_row (owned, &plan, false);
  if (plan.ask)
    ask_voters (owned, &plan, asks);
  follow_lease (owned);
}

void
fl_sched_tick_owners (struct fl_sched *sched, int64_t now_ms)
{
  g_autoptr (GHashTable) asks
      = g_hash_table_new_full (fl_name_hash, fl_name_equal, g_free, (GDestroyNotify)g_array_unref);
  struct fl_voters live;
  GHashTableIter iter;
  struct fl_owned *owned;
  bool want_rows = false;
  bool take = may_take (sched, now_ms);
  int64_t owned_delay_ms = count_owned (sched) * TAKE_OWNED_MS;

  live_schedulers (sched, &live);
  g_hash_table_iter_init (&iter, sched->owned);
  while (g_hash_table_iter_next (&iter, NULL, (void **)&owned))
    {
      if (owned->lease.state == FL_LEASE_WATCHING)
        owned->lease.take_delay_ms = rank (sched, &owned->name) * TAKE_RANK_MS + owned_delay_ms;
      drive (owned, &live, take && now_ms >= owned->abstain_until_ms, asks, &want_rows);
    }
  if (want_rows)
    read_rows (sched);
  send_asks (sched, asks);
}

/* --- giving up --- */

/* Drains the domain and writes that it is free.
 * @return whether that is done; until then call it again. */
static bool
release (struct fl_owned *owned, int64_t until_ms, bool handover, int64_t now_ms)
{
  struct fl_lease_plan plan;

  if (owned->releasing)
    return true;
  if (owned->domain != NULL)
    fl_domain_drain (owned->domain, now_ms);
  if (owned->domain != NULL && !fl_domain_is_idle (owned->domain) && now_ms < until_ms)
    return false;
  if (owned->lease.call_open)
    return false; /* a renewal on its way would make the release fail */
  owned->releasing = true;
  fl_lease_release (&owned->lease, &plan);
  fl_owned_drop_domain (owned, handover ? "handed over" : "released");
  if (plan.store == FL_LEASE_WRITE)
    write_row (owned, &plan, handover);
  return true;
}

/* How many domains the live scheduler with the fewest owns. */
static int64_t
fewest_owned (const struct fl_sched *sched)
{
  const struct fl_member *member;
  size_t cursor = 0;
  int64_t fewest = INT64_MAX;

  while ((member = fl_node_next_member (sched->node, &cursor)) != NULL)
    if (member->role == FL_PROCESS_SCHED && fl_node_is_live (sched->node, member)
        && member->first_heard_ms + BALANCE_INTERVAL_MS < fl_node_now (sched->node))
      fewest = MIN (fewest, (int64_t)member->domains.count);
  return fewest;
}

/* The owned domain that prefers this scheduler least, unless one is on its way already. */
static struct fl_owned *
least_preferred (struct fl_sched *sched)
{
  GHashTableIter iter;
  struct fl_owned *owned;
  struct fl_owned *worst = NULL;

  g_hash_table_iter_init (&iter, sched->owned);
  while (g_hash_table_iter_next (&iter, NULL, (void **)&owned))
    {
      if (owned->handover_until_ms != 0)
        return NULL;
      if (owned->domain != NULL && owned->loaded
          && (worst == NULL || rank (sched, &owned->name) > rank (sched, &worst->name)))
        worst = owned;
    }
  return worst;
}

static void
continue_handovers (struct fl_sched *sched, int64_t now_ms)
{
  GHashTableIter iter;
  struct fl_owned *owned;

  g_hash_table_iter_init (&iter, sched->owned);
  while (g_hash_table_iter_next (&iter, NULL, (void **)&owned))
    if (owned->handover_until_ms != 0 && release (owned, owned->handover_until_ms, true, now_ms))
      owned->handover_until_ms = 0;
}

void
fl_sched_balance (struct fl_sched *sched, int64_t now_ms)
{
  continue_handovers (sched, now_ms);
  /* Without the table nobody could take what is handed over. */
  if (now_ms < sched->balance_ms + BALANCE_INTERVAL_MS || fl_node_is_leaving (sched->node)
      || fl_node_table_age_ms (sched->node) > TABLE_FRESH_MS)
    return;
  sched->balance_ms = now_ms;
  int64_t fewest = fewest_owned (sched);
  if (fewest == INT64_MAX || count_owned (sched) < fewest + 2)
    return;
  struct fl_owned *owned = least_preferred (sched);
  if (owned == NULL)
    return;
  fl_log (fl_node_log (sched->node), FL_LOG_NOTICE, "handing_over", FL_N ("domain", &owned->name),
          FL_I ("owned", count_owned (sched)), FL_I ("fewest", fewest));
  owned->handover_until_ms = now_ms + fl_node_settings (sched->node)->drain_ms;
}

bool
fl_sched_release_all (struct fl_sched *sched, int64_t now_ms)
{
  GHashTableIter iter;
  struct fl_owned *owned;
  bool done = true;

  g_hash_table_iter_init (&iter, sched->owned);
  while (g_hash_table_iter_next (&iter, NULL, (void **)&owned))
    done = release (owned, sched->drain_until_ms, false, now_ms) && done;
  return done;
}
