#include "team/allot.h"

#include <string.h>

/* One team's row as this domain uses it. */
struct allot
{
  struct fl_name team;
  int64_t version;
  json_t *amounts;     /* domain -> amount, as of that version */
  int64_t in_use;      /* what the domain was told */
  int64_t before_give; /* what it was told before the transfer that is on its way */
  bool give_open;      /* a transfer is on its way */
  bool give_unsettled; /* its answer was lost: the same write is tried until it is settled */
  json_t *give_amounts;
  int64_t given_ms;
};

struct fl_allots
{
  struct fl_allots_options options;
  int refs; /* the owner, and each transfer on its way */
  bool closed;
  GHashTable *teams; /* struct fl_name * -> struct allot * */
  int64_t given;
};

static void
allot_free (void *data)
{
  struct allot *allot = data;

  json_decref (allot->amounts);
  json_decref (allot->give_amounts);
  g_free (allot);
}

struct fl_allots *
fl_allots_new (const struct fl_allots_options *options)
{
  struct fl_allots *allots = g_new0 (struct fl_allots, 1);

  allots->options = *options;
  allots->refs = 1;
  allots->teams = g_hash_table_new_full (fl_name_hash, fl_name_equal, NULL, allot_free);
  return allots;
}

static void
unref (struct fl_allots *allots)
{
  if (--allots->refs > 0)
    return;
  g_hash_table_destroy (allots->teams);
  g_free (allots);
}

void
fl_allots_free (struct fl_allots *allots)
{
  if (allots == NULL)
    return;
  allots->closed = true;
  unref (allots);
}

static int64_t
amount_of (const json_t *amounts, const struct fl_name *domain)
{
  return json_integer_value (json_object_get (amounts, domain->data));
}

static void
use (struct fl_allots *allots, struct allot *allot, int64_t amount)
{
  allot->in_use = amount;
  allots->options.use (allots->options.context, &allot->team, amount);
}

/* --- rows --- */

void
fl_allots_take_row (struct fl_allots *allots, const struct fl_row *row)
{
  struct fl_name team = fl_name_of (row->key.data + strlen ("allot/"));
  struct allot *allot = g_hash_table_lookup (allots->teams, &team);

  if (allot == NULL)
    {
      allot = g_new0 (struct allot, 1);
      allot->team = team;
      g_hash_table_insert (allots->teams, &allot->team, allot);
    }
  /* While a transfer of ours is unsettled the lower amount stays in force. */
  if (row->version <= allot->version || allot->give_open || allot->give_unsettled)
    return;
  allot->version = row->version;
  json_decref (allot->amounts);
  allot->amounts = json_incref (json_object_get (row->value, "amounts"));
  use (allots, allot, amount_of (allot->amounts, &allots->options.domain));
}

int64_t
fl_allots_amount (const struct fl_allots *allots, const struct fl_name *team)
{
  const struct allot *allot = g_hash_table_lookup (allots->teams, team);

  return allot != NULL ? allot->in_use : 0;
}

int64_t
fl_allots_given (const struct fl_allots *allots)
{
  return allots->given;
}

/* --- transfers --- */

struct give_call
{
  struct fl_allots *allots;
  struct fl_name team;
};

static void
on_given (void *context, const struct fl_table_result *result)
{
  g_autofree struct give_call *call = context;
  struct fl_allots *allots = call->allots;
  struct allot *allot = g_hash_table_lookup (allots->teams, &call->team);

  allot->give_open = false;
  allot->give_unsettled = result->code == FL_TABLE_UNKNOWN
                          || (allot->give_unsettled && result->code == FL_TABLE_REFUSED);
  /* OK and CONFLICT settle it: no write bound to this version can land any more, and the next read
   * brings the row as it is. A refusal at first try changed nothing. The amounts that were read may
   * be older than the last transfer, so they are no measure of what may be used again. */
  allots->given += result->code == FL_TABLE_OK;
  if (result->code == FL_TABLE_REFUSED && !allot->give_unsettled && !allots->closed)
    use (allots, allot, allot->before_give);
  unref (allots);
}

static void
send (struct fl_allots *allots, struct allot *allot, int64_t now_ms)
{
  struct fl_table *table = allots->options.table;
  struct give_call *call = g_new0 (struct give_call, 1);
  g_autofree char *key = g_strdup_printf ("allot/%s", allot->team.data);
  g_autofree char *fence = g_strdup_printf ("epoch/%s", allots->options.domain.data);
  json_t *value = json_pack ("{s:O}", "amounts", allot->give_amounts);
  struct fl_txn_op ops[2]
      = { { FL_TXN_PUT, { strlen (key), key }, allot->version, value },
          { FL_TXN_CHECK, { strlen (fence), fence }, allots->options.fence_version, NULL } };

  call->allots = allots;
  call->team = allot->team;
  allots->refs++;
  allot->give_open = true;
  allot->given_ms = now_ms;
  table->commit (table->self, ops, 2, on_given, call);
  json_decref (value);
}

static int64_t
amount_to_give (const struct fl_allots *allots,
                const struct allot *allot,
                const struct fl_allot_need *need,
                int64_t theirs)
{
  int64_t spare = allot->in_use - need->running - need->waiting;
  int64_t shortage = need->needy_running + need->needy_waiting - theirs;

  if (need->stuck && need->needy_stuck
      && fl_name_compare (&need->needy, &allots->options.domain) < 0)
    return MIN (allot->in_use, shortage);
  if (spare <= 0 || shortage <= 0)
    return 0;
  return CLAMP (spare / 2, 1, shortage);
}

bool
fl_allots_give (struct fl_allots *allots, const struct fl_allot_need *need, int64_t now_ms)
{
  struct allot *allot = g_hash_table_lookup (allots->teams, &need->team);

  if (allot == NULL || allot->amounts == NULL || allot->give_open || allot->give_unsettled
      || now_ms < allot->given_ms + allots->options.interval_ms)
    return false;
  int64_t theirs = amount_of (allot->amounts, &need->needy);
  int64_t amount = amount_to_give (allots, allot, need, theirs);
  if (amount <= 0)
    return false;
  json_decref (allot->give_amounts);
  allot->give_amounts = json_deep_copy (allot->amounts);
  json_object_set_new (allot->give_amounts, allots->options.domain.data,
                       json_integer (allot->in_use - amount));
  json_object_set_new (allot->give_amounts, need->needy.data, json_integer (theirs + amount));
  allot->before_give = allot->in_use;
  use (allots, allot, allot->in_use - amount);
  send (allots, allot, now_ms);
  return true;
}

void
fl_allots_settle (struct fl_allots *allots, int64_t now_ms)
{
  GHashTableIter iter;
  struct allot *allot;

  g_hash_table_iter_init (&iter, allots->teams);
  while (g_hash_table_iter_next (&iter, NULL, (void **)&allot))
    if (allot->give_unsettled && !allot->give_open
        && now_ms >= allot->given_ms + allots->options.interval_ms)
      send (allots, allot, now_ms);
}
