#include "target/pool.h"

#include <string.h>

/* Targets are indexed by free whole cores up to this. */
#define FIT_BUCKETS 256
#define FIT_WORDS (FIT_BUCKETS / 64)
/* Candidates compared by best fit before the best of them is taken. */
#define FIT_PROBES 16
/* Slots beyond this share one bucket. */
#define SLOT_BUCKETS 64

/* Targets without and with accelerators stand apart, so that plain tasks spare the latter. */
enum
{
  PLAIN,
  ACCELERATED,
  FIT_INDEXES
};

struct fit_index
{
  struct fl_target *heads[FIT_BUCKETS];
  uint64_t bitmap[FIT_WORDS];
};

struct fl_slot_group
{
  struct fl_name label;
  struct fl_target *heads[SLOT_BUCKETS];
  struct fl_target *tails[SLOT_BUCKETS];
  uint64_t bitmap;
};

struct fl_pool
{
  GHashTable *by_name; /* struct fl_name * -> struct fl_target * */
  GPtrArray *targets;
  GPtrArray *groups; /* struct fl_slot_group * */
  struct fit_index fit[FIT_INDEXES];
  GHashFunc task_hash;
  uint64_t generation;
  struct fl_resources capacity; /* of the indexed targets */
  struct fl_resources used;
};

const char *const fl_target_state_names[]
    = { "unknown", "ready", "leaving", "silent", "quarantined", NULL };

/* --- index by free cores --- */

static struct fit_index *
fit_index_of (struct fl_pool *pool, const struct fl_target *target)
{
  return &pool->fit[target->capacity.amount[FL_ACCELERATORS] > 0 ? ACCELERATED : PLAIN];
}

static void
fit_insert (struct fl_pool *pool, struct fl_target *target)
{
  struct fit_index *index = fit_index_of (pool, target);
  int64_t cores
      = (target->capacity.amount[FL_CPU_MILLI] - target->used.amount[FL_CPU_MILLI]) / 1000;
  int bucket = (int)CLAMP (cores, 0, FIT_BUCKETS - 1);

  target->fit_bucket = bucket;
  target->fit_prev = NULL;
  target->fit_next = index->heads[bucket];
  if (target->fit_next != NULL)
    target->fit_next->fit_prev = target;
  index->heads[bucket] = target;
  index->bitmap[bucket / 64] |= 1ULL << (bucket % 64);
}

static void
fit_remove (struct fl_pool *pool, struct fl_target *target)
{
  struct fit_index *index = fit_index_of (pool, target);
  int bucket = target->fit_bucket;

  if (target->fit_prev != NULL)
    target->fit_prev->fit_next = target->fit_next;
  else
    index->heads[bucket] = target->fit_next;
  if (target->fit_next != NULL)
    target->fit_next->fit_prev = target->fit_prev;
  if (index->heads[bucket] == NULL)
    index->bitmap[bucket / 64] &= ~(1ULL << (bucket % 64));
}

/* The first bucket at or above @from that holds a target, or -1. */
static int
fit_bucket_from (const struct fit_index *index, int from)
{
  for (int word = from / 64; word < FIT_WORDS; word++)
    {
      uint64_t bits = index->bitmap[word];
      if (word == from / 64)
        bits &= ~0ULL << (from % 64);
      if (bits != 0)
        return word * 64 + __builtin_ctzll (bits);
    }
  return -1;
}

/* --- index by free slots --- */

static struct fl_slot_group *
group_of (struct fl_pool *pool, const struct fl_name *label)
{
  for (guint i = 0; i < pool->groups->len; i++)
    {
      struct fl_slot_group *group = pool->groups->pdata[i];
      if (fl_name_eq (&group->label, label))
        return group;
    }
  struct fl_slot_group *group = g_new0 (struct fl_slot_group, 1);
  group->label = *label;
  g_ptr_array_add (pool->groups, group);
  return group;
}

/* Appends at the tail, so that targets with equal room take turns. */
static void
slot_insert (struct fl_target *target)
{
  struct fl_slot_group *group = target->group;
  int64_t free = target->capacity.amount[FL_SLOTS] - target->used.amount[FL_SLOTS];
  int bucket = (int)CLAMP (free, 0, SLOT_BUCKETS - 1);

  target->slot_bucket = bucket;
  target->slot_next = NULL;
  target->slot_prev = group->tails[bucket];
  if (target->slot_prev != NULL)
    target->slot_prev->slot_next = target;
  else
    group->heads[bucket] = target;
  group->tails[bucket] = target;
  group->bitmap |= 1ULL << bucket;
}

static void
slot_remove (struct fl_target *target)
{
  struct fl_slot_group *group = target->group;
  int bucket = target->slot_bucket;

  if (target->slot_prev != NULL)
    target->slot_prev->slot_next = target->slot_next;
  else
    group->heads[bucket] = target->slot_next;
  if (target->slot_next != NULL)
    target->slot_next->slot_prev = target->slot_prev;
  else
    group->tails[bucket] = target->slot_prev;
  if (group->heads[bucket] == NULL)
    group->bitmap &= ~(1ULL << bucket);
}

static bool
indexed (const struct fl_target *target)
{
  return target->state == FL_TARGET_READY;
}

static void
index_insert (struct fl_pool *pool, struct fl_target *target)
{
  fit_insert (pool, target);
  slot_insert (target);
  fl_resources_add (&pool->capacity, &target->capacity, 1);
  fl_resources_add (&pool->used, &target->used, 1);
}

static void
index_remove (struct fl_pool *pool, struct fl_target *target)
{
  fit_remove (pool, target);
  slot_remove (target);
  fl_resources_add (&pool->capacity, &target->capacity, -1);
  fl_resources_add (&pool->used, &target->used, -1);
}

/* Changes what is used on @target and moves it to the buckets that then fit. */
static void
change_used (struct fl_pool *pool,
             struct fl_target *target,
             const struct fl_resources *demand,
             int sign)
{
  bool tasks = demand->amount[FL_CPU_MILLI] != 0 || demand->amount[FL_MEMORY_MB] != 0
               || demand->amount[FL_ACCELERATORS] != 0;
  bool slots = demand->amount[FL_SLOTS] != 0;

  if (indexed (target) && tasks)
    fit_remove (pool, target);
  if (indexed (target) && slots)
    slot_remove (target);
  fl_resources_add (&target->used, demand, sign);
  if (!indexed (target))
    return;
  fl_resources_add (&pool->used, demand, sign);
  if (tasks)
    fit_insert (pool, target);
  if (slots)
    slot_insert (target);
}

/* --- public functions --- */

struct fl_pool *
fl_pool_new (GHashFunc task_hash)
{
  struct fl_pool *pool = g_new0 (struct fl_pool, 1);

  pool->task_hash = task_hash;
  pool->by_name = g_hash_table_new (fl_name_hash, fl_name_equal);
  pool->targets = g_ptr_array_new ();
  pool->groups = g_ptr_array_new_with_free_func (g_free);
  return pool;
}

static void
target_free (struct fl_target *target)
{
  fl_str_clear (&target->url);
  g_hash_table_destroy (target->tasks);
  g_array_free (target->unacked, TRUE);
  g_free (target);
}

void
fl_pool_free (struct fl_pool *pool)
{
  if (pool == NULL)
    return;
  for (guint i = 0; i < pool->targets->len; i++)
    target_free (pool->targets->pdata[i]);
  g_ptr_array_free (pool->targets, TRUE);
  g_ptr_array_free (pool->groups, TRUE);
  g_hash_table_destroy (pool->by_name);
  g_free (pool);
}

struct fl_target *
fl_pool_add (struct fl_pool *pool,
             const struct fl_name *name,
             const struct fl_name *label,
             const struct fl_resources *capacity)
{
  struct fl_target *target = fl_pool_find (pool, name);

  if (target != NULL)
    return target;
  target = g_new0 (struct fl_target, 1);
  target->name = *name;
  target->label = *label;
  target->capacity = *capacity;
  target->group = group_of (pool, label);
  target->tasks = g_hash_table_new (pool->task_hash, NULL);
  target->unacked = g_array_new (FALSE, FALSE, sizeof (struct fl_event_mark));
  g_hash_table_insert (pool->by_name, &target->name, target);
  g_ptr_array_add (pool->targets, target);
  return target;
}

struct fl_target *
fl_pool_find (const struct fl_pool *pool, const struct fl_name *name)
{
  return g_hash_table_lookup (pool->by_name, name);
}

size_t
fl_pool_size (const struct fl_pool *pool)
{
  return pool->targets->len;
}

struct fl_target *
fl_pool_next (const struct fl_pool *pool, size_t *cursor)
{
  return *cursor < pool->targets->len ? pool->targets->pdata[(*cursor)++] : NULL;
}

void
fl_pool_set_state (struct fl_pool *pool, struct fl_target *target, enum fl_target_state state)
{
  bool before = indexed (target);

  if (target->state == state)
    return;
  if (before)
    index_remove (pool, target);
  target->state = state;
  if (indexed (target))
    {
      index_insert (pool, target);
      pool->generation++;
    }
}

bool
fl_pool_reserve (struct fl_pool *pool, struct fl_target *target, const struct fl_resources *demand)
{
  struct fl_resources free = target->capacity;

  fl_resources_add (&free, &target->used, -1);
  if (!fl_resources_fit (demand, &free))
    return false;
  change_used (pool, target, demand, 1);
  return true;
}

void
fl_pool_adopt (struct fl_pool *pool, struct fl_target *target, const struct fl_resources *demand)
{
  change_used (pool, target, demand, 1);
}

void
fl_pool_unreserve (struct fl_pool *pool,
                   struct fl_target *target,
                   const struct fl_resources *demand)
{
  change_used (pool, target, demand, -1);
  for (int i = 0; i < FL_RESOURCE_COUNT; i++)
    g_assert (target->used.amount[i] >= 0);
}

void
fl_pool_release (struct fl_pool *pool, struct fl_target *target, const struct fl_resources *demand)
{
  fl_pool_unreserve (pool, target, demand);
  pool->generation++;
}

/* How much room would stay unused beside @demand, lower is the better fit: the sum over cores and
 * memory of what is left as thousandths of the capacity, so that neither strands the other. */
static int64_t
leftover (const struct fl_target *target, const struct fl_resources *demand)
{
  int64_t score = 0;

  for (int i = FL_CPU_MILLI; i <= FL_MEMORY_MB; i++)
    {
      int64_t capacity = MAX (target->capacity.amount[i], 1);
      int64_t left = target->capacity.amount[i] - target->used.amount[i] - demand->amount[i];
      score += left * 1000 / capacity;
    }
  return score;
}

static bool
fits (const struct fl_target *target, const struct fl_resources *demand)
{
  struct fl_resources free = target->capacity;

  fl_resources_add (&free, &target->used, -1);
  return fl_resources_fit (demand, &free);
}

/* Walks the buckets upwards; stops after FIT_PROBES targets that fit. */
static struct fl_target *
fit_pick (const struct fit_index *index, const struct fl_resources *demand)
{
  struct fl_target *best = NULL;
  int64_t best_score = INT64_MAX;
  int probes = 0;
  int bucket = (int)CLAMP (demand->amount[FL_CPU_MILLI] / 1000, 0, FIT_BUCKETS - 1);

  while ((bucket = fit_bucket_from (index, bucket)) >= 0)
    {
      for (struct fl_target *t = index->heads[bucket]; t != NULL; t = t->fit_next)
        {
          if (!fits (t, demand))
            continue;
          int64_t score = leftover (t, demand);
          if (score < best_score)
            {
              best = t;
              best_score = score;
            }
          if (++probes >= FIT_PROBES)
            return best;
        }
      if (best != NULL || ++bucket >= FIT_BUCKETS)
        return best;
    }
  return best;
}

struct fl_target *
fl_pool_pick (struct fl_pool *pool, const struct fl_resources *demand)
{
  struct fl_target *target = NULL;

  if (demand->amount[FL_ACCELERATORS] == 0)
    target = fit_pick (&pool->fit[PLAIN], demand);
  return target != NULL ? target : fit_pick (&pool->fit[ACCELERATED], demand);
}

static struct fl_target *
group_pick (const struct fl_slot_group *group, const struct fl_target *avoid)
{
  uint64_t bits = group->bitmap & ~1ULL;

  while (bits != 0)
    {
      int bucket = 63 - __builtin_clzll (bits);
      for (struct fl_target *t = group->heads[bucket]; t != NULL; t = t->slot_next)
        if (t != avoid)
          return t;
      bits &= ~(1ULL << bucket);
    }
  return NULL;
}

struct fl_target *
fl_pool_pick_slot (struct fl_pool *pool, const struct fl_name *label, const struct fl_target *avoid)
{
  struct fl_target *best = NULL;

  for (guint i = 0; i < pool->groups->len; i++)
    {
      struct fl_slot_group *group = pool->groups->pdata[i];
      if (label->len > 0 && !fl_name_eq (&group->label, label))
        continue;
      struct fl_target *target = group_pick (group, avoid);
      if (target != NULL && (best == NULL || target->slot_bucket > best->slot_bucket))
        best = target;
    }
  return best;
}

uint64_t
fl_pool_generation (const struct fl_pool *pool)
{
  return pool->generation;
}

void
fl_pool_totals (const struct fl_pool *pool,
                struct fl_resources *capacity,
                struct fl_resources *used)
{
  *capacity = pool->capacity;
  *used = pool->used;
}
