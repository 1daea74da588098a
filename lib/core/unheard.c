/* Inherited targets that this owner has not heard: a record of them tells its successor that it has
 * given no lease there, so that the successor waits for those of earlier owners only.
 *
 * A target is in the record from the moment it is collected until a record without it is stored; a
 * write without a confirmation may take effect later, so that the target stays in it. Meanwhile it
 * gets neither a deadline nor a start: in a boot that has started since its last report, either may
 * give the longest lease from its arrival, whatever this owner then counts. A target is never added
 * later, since one that was heard once may have got such an order. */
#include "core/core_internal.h"

/* The first heartbeats are answered within this time unless their targets are silent. */
#define FIRST_REPLIES_MS FL_HEARTBEAT_LIMIT_MS
/* Each id takes up to FL_NAME_MAX bytes and a number of a row of 64 KB. */
#define UNHEARD_MAX 500

/* Values of core->unheard. */
enum unheard_state
{
  IN_RECORD, /* in the last record that was collected */
  LEFT_OUT   /* no longer, but that is not stored yet */
};

int64_t
core_target_inherited_until_ms (const struct core_target *target)
{
  int64_t until_ms = target->core->inherited_until_ms;

  return target->is_bounded ? MIN (until_ms, target->bounded_until_ms) : until_ms;
}

void
fl_core_bound_inherited_target (struct fl_core *core, const struct fl_name *id, int64_t until_ms)
{
  struct core_target *target = core_find_target (core, id);

  if (target == NULL || !target->inherited)
    return;
  target->is_bounded = true;
  target->bounded_until_ms = until_ms;
  core->settles_from_ms = MIN (core->settles_from_ms, until_ms);
}

bool
core_target_is_recorded_unheard (const struct core_target *target)
{
  GHashTable *unheard = target->core->unheard;

  return g_hash_table_size (unheard) > 0 && g_hash_table_contains (unheard, &target->entry.id);
}

void
fl_core_set_inherited_known (struct fl_core *core, int64_t now_ms)
{
  core->inherited_at_ms = now_ms;
}

/* Whether this owner has sent @target nothing that may have given a lease. A target that has left
 * and is back under its id has another token if the owner had heard it. */
static bool
has_given_no_lease (const struct core_target *target)
{
  return target->inherited && target->clock_at_ms == 0
         && target->fencing_token == target->core->options.fencing_token;
}

static void
choose_unheard (struct fl_core *core)
{
  core->unheard_chosen = true;
  for (guint i = 0; i < core->target_list->len; i++)
    {
      const struct core_target *target = g_ptr_array_index (core->target_list, i);
      if (has_given_no_lease (target) && g_hash_table_size (core->unheard) < UNHEARD_MAX)
        g_hash_table_insert (core->unheard, g_memdup2 (&target->entry.id, sizeof target->entry.id),
                             GINT_TO_POINTER (IN_RECORD));
    }
  core->unheard_outdated = g_hash_table_size (core->unheard) > 0;
}

/* A target that is not known any more has left. */
static bool
belongs_in_record (const struct fl_core *core, const struct fl_name *id)
{
  const struct core_target *target = core_find_target (core, id);

  return target != NULL && has_given_no_lease (target);
}

bool
fl_core_unheard_record_is_outdated (struct fl_core *core, int64_t now_ms)
{
  GHashTableIter iter;
  void *id;
  void *state;

  if (!core->unheard_chosen && core->inherited_at_ms > 0
      && now_ms - core->inherited_at_ms >= FIRST_REPLIES_MS)
    choose_unheard (core);
  g_hash_table_iter_init (&iter, core->unheard);
  while (!core->unheard_outdated && g_hash_table_iter_next (&iter, &id, &state))
    {
      const struct core_target *target = core_find_target (core, id);
      core->unheard_outdated = target != NULL && target->clock_at_ms > 0;
    }
  return core->unheard_outdated;
}

GArray *
fl_core_collect_unheard_record (struct fl_core *core, int64_t now_ms)
{
  GArray *rows = g_array_new (FALSE, TRUE, sizeof (struct fl_unheard_target));
  GHashTableIter iter;
  void *id;
  void *state;

  core->unheard_outdated = false;
  g_hash_table_iter_init (&iter, core->unheard);
  while (g_hash_table_iter_next (&iter, &id, &state))
    {
      bool belongs = GPOINTER_TO_INT (state) == IN_RECORD && belongs_in_record (core, id);
      g_hash_table_iter_replace (&iter, GINT_TO_POINTER (belongs ? IN_RECORD : LEFT_OUT));
      if (!belongs)
        continue;
      const struct core_target *target = core_find_target (core, id);
      struct fl_unheard_target row
          = { target->entry.id, MAX (core_target_inherited_until_ms (target) - now_ms, 0) };
      g_array_append_val (rows, row);
    }
  return rows;
}

static gboolean
is_left_out (void *id, void *state, void *context)
{
  (void)id;
  (void)context;
  return GPOINTER_TO_INT (state) == LEFT_OUT;
}

void
fl_core_finish_unheard_record (struct fl_core *core, bool stored)
{
  if (stored)
    g_hash_table_foreach_remove (core->unheard, is_left_out, NULL);
  else
    core->unheard_outdated = true;
}
