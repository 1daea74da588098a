/* Room on targets: which ones take tasks of a step and how many, and what is free in the present
 * tick. */
#include <string.h>

#include "core/core_internal.h"

/* No task is started by registry entries that were last known to be current longer ago than this. A
 * feed that works confirms them every 1.2 s, and a change has to be known after 3 s. */
#define REGISTRY_AGE_MAX_MS 2500

/* --- capacity --- */

bool
core_target_has_label (const struct core_target *target, const struct fl_name *label)
{
  for (size_t i = 0; i < target->entry.label_count; i++)
    if (fl_name_eq (&target->entry.labels[i], label))
      return true;
  return false;
}

/* Whether the registry entry of @target is that of the boot that reports: its service, capacity and
 * labels may differ from those of another boot. */
static bool
entry_is_of_present_boot (const struct core_target *target)
{
  return target->entry.booted_at_ms == 0 || target->entry.booted_at_ms == target->booted_at_ms;
}

/* Load pattern: the feed of the registry is cut while the lease of the pool is still renewed.
 * Targets that shrink would be filled by their earlier capacity, and draining ones would get tasks.
 */
static bool
is_registry_current (const struct fl_core *core)
{
  return core->registry_confirmed_ms == 0
         || core->now_ms - core->registry_confirmed_ms <= REGISTRY_AGE_MAX_MS;
}

static bool
tasks_fail_or_lag (const struct core_target *target)
{
  return target->core->now_ms < target->avoided_until_ms;
}

bool
core_target_is_avoided (const struct core_target *target)
{
  return tasks_fail_or_lag (target) || target->watched_run != NULL;
}

/* Why @target takes no tasks of @service, whatever they need. @is_overdue: of steps for which
 * core_step_is_overdue. */
static inline enum core_target_reason
get_service_reason (const struct core_target *target,
                    const struct fl_name *service,
                    bool is_overdue)
{
  if (!target->registered)
    return CORE_TARGET_NOT_REGISTERED;
  if (target->entry_unreadable)
    return CORE_TARGET_ENTRY_UNREADABLE;
  if (!fl_name_eq (&target->entry.service, service))
    return CORE_TARGET_OTHER_SERVICE;
  if (target->entry.draining)
    return CORE_TARGET_DRAINING;
  if (target->is_evacuated)
    return CORE_TARGET_EVACUATED;
  if (!is_registry_current (target->core))
    return CORE_TARGET_REGISTRY_OLD;
  if (!target->recorded || core_target_is_recorded_unheard (target))
    return CORE_TARGET_NOT_RECORDED;
  if (!target->reported)
    return CORE_TARGET_NOT_REPORTED;
  if (target->silent)
    return CORE_TARGET_SILENT;
  if (!target->is_fenced || target->shares_token || target->clock_went_back_at_ms > 0)
    return CORE_TARGET_NOT_FENCED;
  if (!entry_is_of_present_boot (target))
    return CORE_TARGET_OTHER_BOOT;
  if (target->stale_runs > 0)
    return CORE_TARGET_STALE_RUNS;
  if (target->core->now_ms < target->quarantined_until_ms
      || (tasks_fail_or_lag (target) && !is_overdue))
    return CORE_TARGET_QUARANTINED;
  return core_domains_are_known (target->core) ? CORE_TARGET_TAKES_TASKS
                                               : CORE_TARGET_DOMAINS_UNKNOWN;
}

bool
core_target_accepts_service (const struct core_target *target, const struct fl_name *service)
{
  return get_service_reason (target, service, false) == CORE_TARGET_TAKES_TASKS;
}

static inline enum core_target_reason
get_step_reason (const struct core_target *target, const struct core_step *step)
{
  enum core_target_reason reason
      = get_service_reason (target, &step->job->queue.service, core_step_is_overdue (step));

  if (reason == CORE_TARGET_TAKES_TASKS && step->spec->label.len > 0
      && !core_target_has_label (target, &step->spec->label))
    return CORE_TARGET_NO_LABEL;
  return reason;
}

bool
core_target_accepts_step (const struct core_target *target, const struct core_step *step)
{
  return get_step_reason (target, step) == CORE_TARGET_TAKES_TASKS;
}

/* How many tasks that need @need fit into @available; no limit if @need is 0. */
static int64_t
count_fitting (int64_t available, int64_t need)
{
  if (need <= 0)
    return FL_STEP_TASKS_MAX;
  return available < need ? 0 : available / need;
}

static int64_t
count_step_runs (const struct core_target *target, const struct core_step *step)
{
  int64_t count = 0;

  for (guint i = 0; i < target->runs->len; i++)
    count += ((struct core_run *)g_ptr_array_index (target->runs, i))->task->step == step ? 1 : 0;
  return count;
}

struct fl_resources
core_target_available_resources (const struct core_target *target, bool for_best_effort)
{
  const struct fl_resources *capacity = &target->entry.resources;
  struct fl_resources available = { .cpu_milli = capacity->cpu_milli - target->used.cpu_milli,
                                    .memory_mb = capacity->memory_mb - target->used.memory_mb,
                                    .gpu = capacity->gpu - target->used.gpu };

  if (for_best_effort)
    available.cpu_milli -= target->best_effort_cpu_milli;
  return available;
}

/* Lowers *@fits to @limit. @return @reason, or @limited_by if no task is left by this limit. */
static inline enum core_target_reason
limit_fitting (int64_t *fits,
               enum core_target_reason reason,
               int64_t limit,
               enum core_target_reason limited_by)
{
  *fits = MIN (*fits, limit);
  return reason == CORE_TARGET_TAKES_TASKS && limit <= 0 ? limited_by : reason;
}

/* @return how many tasks of @step fit into @available of @target, and in @reason why none does. */
static inline int64_t
count_tasks (const struct core_target *target,
             const struct core_step *step,
             const struct fl_resources *available,
             enum core_target_reason *reason)
{
  const struct fl_step_spec *spec = step->spec;
  int64_t fits = INT64_MAX;

  *reason = get_step_reason (target, step);
  if (*reason == CORE_TARGET_TAKES_TASKS && target->watched_run != NULL
      && !(spec->gang && target->watched_run->task->step == step)
      && !(core_step_is_overdue (step) && core_crash_watch_is_overdue (target)))
    *reason = CORE_TARGET_WATCHED;
  if (*reason != CORE_TARGET_TAKES_TASKS)
    return 0;
  *reason = limit_fitting (&fits, *reason, count_fitting (available->cpu_milli, spec->cpu_milli),
                           CORE_TARGET_NO_CPU);
  *reason = limit_fitting (&fits, *reason, count_fitting (available->memory_mb, spec->memory_mb),
                           CORE_TARGET_NO_MEMORY);
  *reason = limit_fitting (&fits, *reason, count_fitting (available->gpu, spec->gpu),
                           CORE_TARGET_NO_GPU);
  if (spec->per_target_max > 0)
    *reason = limit_fitting (&fits, *reason, spec->per_target_max - count_step_runs (target, step),
                             CORE_TARGET_STEP_LIMIT);
  return MAX (fits, 0);
}

enum core_target_reason
core_target_get_reason (const struct core_target *target,
                        const struct core_step *step,
                        int64_t *task_capacity)
{
  struct fl_resources available = core_target_available_resources (target, step->spec->best_effort);
  enum core_target_reason reason;

  *task_capacity = count_tasks (target, step, &available, &reason);
  return reason;
}

int64_t
core_target_task_capacity (const struct core_target *target,
                           const struct core_step *step,
                           bool include_tentative)
{
  const struct fl_step_spec *spec = step->spec;
  struct fl_resources available = core_target_available_resources (target, spec->best_effort);
  enum core_target_reason reason;

  if (include_tentative)
    available.cpu_milli -= target->tentative_cpu_milli;
  /* Under load, most targets end here. */
  if (spec->cpu_milli > 0 && available.cpu_milli < spec->cpu_milli)
    return 0;
  return count_tasks (target, step, &available, &reason);
}

/* --- upper bounds of free capacity --- */

/* Load pattern: all targets are full, and hundreds of steps wait. Each of them would search all
 * targets in every tick. One search finds the most that is free on any target; steps that need more
 * are not searched for. */
static struct core_free_max *
get_free_max (struct fl_core *core, const struct fl_name *service, bool is_for_overdue)
{
  struct core_free_max max = { .service = *service, .is_for_overdue = is_for_overdue };

  for (guint i = 0; i < core->free_max->len; i++)
    {
      struct core_free_max *known = &g_array_index (core->free_max, struct core_free_max, i);
      if (fl_name_eq (&known->service, service) && known->is_for_overdue == is_for_overdue)
        return known;
    }
  max.open_targets = g_array_new (FALSE, FALSE, sizeof (struct core_open_target));
  max.free_cpu_milli = g_array_sized_new (FALSE, FALSE, sizeof (int64_t), core->target_list->len);
  for (guint i = 0; i < core->target_list->len; i++)
    {
      struct core_target *target = g_ptr_array_index (core->target_list, i);
      int64_t closed = CORE_CLOSED;
      if (get_service_reason (target, service, is_for_overdue) != CORE_TARGET_TAKES_TASKS)
        {
          g_array_append_val (max.free_cpu_milli, closed);
          continue;
        }
      struct fl_resources available = core_target_available_resources (target, false);
      max.capacity.cpu_milli += target->entry.resources.cpu_milli;
      max.capacity.memory_mb += target->entry.resources.memory_mb;
      max.capacity.gpu += target->entry.resources.gpu;
      g_array_append_val (max.free_cpu_milli, available.cpu_milli);
      max.free.cpu_milli = MAX (max.free.cpu_milli, available.cpu_milli);
      max.free.memory_mb = MAX (max.free.memory_mb, available.memory_mb);
      max.free.gpu = MAX (max.free.gpu, available.gpu);
      max.untaken_cpu_milli
          = MAX (max.untaken_cpu_milli, available.cpu_milli - target->tentative_cpu_milli);
      struct core_open_target open_target = { target, i, available };
      g_array_append_val (max.open_targets, open_target);
    }
  g_array_append_val (core->free_max, max);
  return &g_array_index (core->free_max, struct core_free_max, core->free_max->len - 1);
}

static struct core_free_max *
get_step_free_max (const struct core_step *step)
{
  return get_free_max (step->job->core, &step->job->queue.service, core_step_is_overdue (step));
}

const struct fl_resources *
core_get_capacity (struct fl_core *core, const struct fl_name *service)
{
  return &get_free_max (core, service, false)->capacity;
}

const GArray *
core_get_open_targets (const struct core_step *step)
{
  return get_step_free_max (step)->open_targets;
}

guint
core_find_open_target (const GArray *open_targets, guint position)
{
  guint first = 0;
  guint end = open_targets->len;

  while (first < end)
    {
      guint middle = (first + end) / 2;
      if (g_array_index (open_targets, struct core_open_target, middle).position < position)
        first = middle + 1;
      else
        end = middle;
    }
  return first < open_targets->len ? first : 0;
}

static bool
may_fit_resource (int64_t free, int64_t need)
{
  return need <= 0 || free >= need;
}

bool
core_may_fit (const struct core_open_target *open_target, const struct core_step *step)
{
  const struct fl_step_spec *spec = step->spec;

  return may_fit_resource (open_target->free.cpu_milli, spec->cpu_milli)
         && may_fit_resource (open_target->free.memory_mb, spec->memory_mb)
         && may_fit_resource (open_target->free.gpu, spec->gpu);
}

struct core_target *
core_advice_get_target (const struct fl_core *core, struct core_advice *advice)
{
  if (advice->known_at_change != core->target_changes)
    {
      advice->known_target = core_find_target (core, &advice->target);
      advice->known_at_change = core->target_changes;
    }
  return advice->known_target;
}

static void
set_position (struct core_positions *positions, guint position, bool is_member)
{
  uint64_t *word = &positions->words[position % CORE_POSITIONS / 64];
  uint64_t bit = UINT64_C (1) << (position % 64);

  *word = is_member ? *word | bit : *word & ~bit;
}

static bool
have_common_position (const struct core_positions *a, const struct core_positions *b)
{
  uint64_t common = 0;

  for (size_t i = 0; i < G_N_ELEMENTS (a->words); i++)
    common |= a->words[i] & b->words[i];
  return common != 0;
}

static bool
is_in_group (int64_t free_cpu_milli, int group)
{
  return free_cpu_milli != CORE_CLOSED
         && (group == 0 || free_cpu_milli >= (int64_t)group * CORE_ROOM_STEP_MILLI);
}

/* @return the targets that have room for a task of @step, by their CPU, and possibly others. */
static const struct core_positions *
get_targets_with_room (struct core_free_max *max, const struct core_step *step)
{
  int group = (int)CLAMP (step->spec->cpu_milli / CORE_ROOM_STEP_MILLI, 0, CORE_ROOM_GROUPS - 1);
  struct core_room_group *room = &max->groups[group];

  for (guint i = 0; i < max->free_cpu_milli->len && !room->is_known; i++)
    if (is_in_group (g_array_index (max->free_cpu_milli, int64_t, i), group))
      set_position (&room->positions, i, true);
  room->is_known = true;
  return &room->positions;
}

static void
update_open_target (struct core_free_max *max,
                    const struct core_target *target,
                    const struct fl_resources *available)
{
  guint i = core_find_open_target (max->open_targets, target->position);

  if (i < max->open_targets->len
      && g_array_index (max->open_targets, struct core_open_target, i).target == target)
    g_array_index (max->open_targets, struct core_open_target, i).free = *available;
}

void
core_update_room (const struct core_target *target)
{
  const struct fl_core *core = target->core;
  struct fl_resources available = core_target_available_resources (target, false);
  bool is_alone = core->target_list->len <= CORE_POSITIONS;

  for (guint i = 0; i < core->free_max->len; i++)
    {
      struct core_free_max *max = &g_array_index (core->free_max, struct core_free_max, i);
      if (target->position >= max->free_cpu_milli->len)
        continue;
      int64_t *free = &g_array_index (max->free_cpu_milli, int64_t, target->position);
      if (*free == CORE_CLOSED)
        continue;
      *free = available.cpu_milli;
      update_open_target (max, target, &available);
      for (int group = 1; group < CORE_ROOM_GROUPS; group++)
        if (max->groups[group].is_known && (is_alone || is_in_group (*free, group)))
          set_position (&max->groups[group].positions, target->position,
                        is_in_group (*free, group));
    }
}

void
core_step_add_advised (struct core_step *step, const struct core_target *target)
{
  set_position (&step->advised, target->position, true);
}

/* The positions of targets change when one is removed. */
static void
update_advised (struct core_step *step)
{
  const struct fl_core *core = step->job->core;
  GHashTableIter iter;
  void *value;

  if (step->advised_at_change == core->target_changes)
    return;
  memset (&step->advised, 0, sizeof step->advised);
  g_hash_table_iter_init (&iter, step->advice);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct core_advice *advice = value;
      const struct core_target *target
          = advice->eligible ? core_advice_get_target (core, advice) : NULL;
      if (target != NULL)
        set_position (&step->advised, target->position, true);
    }
  step->advised_at_change = core->target_changes;
}

/* Load pattern: hundreds of steps hold tickets for targets that are full. */
bool
core_step_may_fit_on_advised (struct core_step *step)
{
  struct core_free_max *max = get_step_free_max (step);

  update_advised (step);
  return have_common_position (&step->advised, get_targets_with_room (max, step));
}

static bool
needs_no_less (const struct fl_step_spec *spec, const struct fl_resources *need)
{
  return spec->cpu_milli >= need->cpu_milli && spec->memory_mb >= need->memory_mb
         && spec->gpu >= need->gpu;
}

bool
core_capacity_is_exhausted (const struct core_step *step, bool include_tentative)
{
  const struct core_free_max *max = get_step_free_max (step);
  const struct fl_step_spec *spec = step->spec;

  return spec->cpu_milli > (include_tentative ? max->untaken_cpu_milli : max->free.cpu_milli)
         || spec->memory_mb > max->free.memory_mb || spec->gpu > max->free.gpu
         || (max->has_vain_need[include_tentative]
             && needs_no_less (spec, &max->vain_need[include_tentative]));
}

void
core_record_vain_search (const struct core_step *step, bool include_tentative)
{
  const struct fl_step_spec *spec = step->spec;
  struct core_free_max *max = get_step_free_max (step);

  /* Steps with these restrictions may fit nowhere although others of their size do. */
  if (spec->label.len > 0 || spec->per_target_max > 0 || spec->best_effort)
    return;
  max->has_vain_need[include_tentative] = true;
  max->vain_need[include_tentative]
      = (struct fl_resources){ spec->cpu_milli, spec->memory_mb, spec->gpu };
}
