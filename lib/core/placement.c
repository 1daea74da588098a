/* Placement: orders the waiting steps, and chooses a target for each of their tasks. */
#include <math.h>
#include <string.h>

#include "core/core_internal.h"

/* Resolution of the scores of targets. */
#define SCORE_SCALE 1e6
/* Score penalty for a target that is used only if no other fits; exceeds any score. */
#define AVOID_PENALTY INT64_C (1000000000000000)
/* Time in which the urgent peak of a team decays to about a third; covers several bursts. */
#define URGENT_PEAK_DECAY_MS 10000.0
/* Most targets whose recording is requested at once for a step. */
#define TARGETS_REQUESTED_MAX 16
/* Least number of targets that are looked at for a step whose queue requires no advice, and least
 * ratio of their capacity to what the step needs. The best of so many targets are about as good as
 * the best of all. */
#define PLACEMENTS_MIN 240
#define PLACEMENTS_CAPACITY_RATIO 4
/* Wait after which a long-running step is queried before all others. */
#define LONG_RUNNING_WAIT_MS 1000
/* Index of the rack in the labels of a target; index 0 holds the kind of target. */
#define RACK_LABEL_INDEX 1
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

/* Why @target takes no tasks of @service, whatever they need. */
static inline enum core_target_reason
get_service_reason (const struct core_target *target, const struct fl_name *service)
{
  if (!target->registered)
    return CORE_TARGET_NOT_REGISTERED;
  if (!fl_name_eq (&target->entry.service, service))
    return CORE_TARGET_OTHER_SERVICE;
  if (target->entry.draining)
    return CORE_TARGET_DRAINING;
  if (target->is_evacuated)
    return CORE_TARGET_EVACUATED;
  if (!is_registry_current (target->core))
    return CORE_TARGET_REGISTRY_OLD;
  if (!target->recorded)
    return CORE_TARGET_NOT_RECORDED;
  if (!target->reported)
    return CORE_TARGET_NOT_REPORTED;
  if (target->silent)
    return CORE_TARGET_SILENT;
  if (!target->is_fenced || target->shares_token)
    return CORE_TARGET_NOT_FENCED;
  if (!entry_is_of_present_boot (target))
    return CORE_TARGET_OTHER_BOOT;
  if (target->stale_runs > 0)
    return CORE_TARGET_STALE_RUNS;
  if (target->core->now_ms < target->quarantined_until_ms)
    return CORE_TARGET_QUARANTINED;
  return core_domains_are_known (target->core) ? CORE_TARGET_TAKES_TASKS
                                               : CORE_TARGET_DOMAINS_UNKNOWN;
}

static bool
accepts_tasks (const struct core_target *target, const struct fl_name *service)
{
  return get_service_reason (target, service) == CORE_TARGET_TAKES_TASKS;
}

static inline enum core_target_reason
get_step_reason (const struct core_target *target, const struct core_step *step)
{
  enum core_target_reason reason = get_service_reason (target, &step->job->queue.service);

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
      && !(spec->gang && target->watched_run->task->step == step))
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
get_free_max (struct fl_core *core, const struct fl_name *service)
{
  struct core_free_max max = { .service = *service };

  for (guint i = 0; i < core->free_max->len; i++)
    {
      struct core_free_max *known = &g_array_index (core->free_max, struct core_free_max, i);
      if (fl_name_eq (&known->service, service))
        return known;
    }
  max.open_targets = g_array_new (FALSE, FALSE, sizeof (struct core_open_target));
  max.free_cpu_milli = g_array_sized_new (FALSE, FALSE, sizeof (int64_t), core->target_list->len);
  for (guint i = 0; i < core->target_list->len; i++)
    {
      struct core_target *target = g_ptr_array_index (core->target_list, i);
      int64_t closed = CORE_CLOSED;
      if (!accepts_tasks (target, service))
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

const struct fl_resources *
core_get_capacity (struct fl_core *core, const struct fl_name *service)
{
  return &get_free_max (core, service)->capacity;
}

const GArray *
core_get_open_targets (const struct core_step *step)
{
  return get_free_max (step->job->core, &step->job->queue.service)->open_targets;
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

static struct core_target *
get_advised_target (const struct fl_core *core, struct core_advice *advice)
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
          = advice->eligible ? get_advised_target (core, advice) : NULL;
      if (target != NULL)
        set_position (&step->advised, target->position, true);
    }
  step->advised_at_change = core->target_changes;
}

/* Whether a target that was eligible for @step may have room for one of its tasks.
 *
 * Load pattern: hundreds of steps hold tickets for targets that are full. */
static bool
may_fit_on_advised (struct core_step *step)
{
  struct core_free_max *max = get_free_max (step->job->core, &step->job->queue.service);

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
  const struct core_free_max *max = get_free_max (step->job->core, &step->job->queue.service);
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
  struct core_free_max *max = get_free_max (step->job->core, &step->job->queue.service);

  /* Steps with these restrictions may fit nowhere although others of their size do. */
  if (spec->label.len > 0 || spec->per_target_max > 0 || spec->best_effort)
    return;
  max->has_vain_need[include_tentative] = true;
  max->vain_need[include_tentative]
      = (struct fl_resources){ spec->cpu_milli, spec->memory_mb, spec->gpu };
}

/* --- limits of teams --- */

/* The part of a team's limit that tasks of lower priority leave free for urgent tasks: as much as
 * urgent tasks used recently, or as those that wait need. A team that uses less than half of its
 * limit has room for both.
 *
 * Load pattern: long jobs of lower priority exhaust the limit of a team. Its urgent jobs, which
 * arrive continually and run for a second, would then wait for tasks that run for many seconds. */
static int64_t
urgent_reserve (const struct core_step *step, int64_t urgent, int64_t peak, int64_t waiting)
{
  return step->job->queue.priority == 0 ? 0 : MAX (peak - urgent, waiting);
}

static bool
fits_cap (int64_t used, int64_t need, int64_t reserve, int64_t cap)
{
  return cap <= 0 || used + need + (used < cap / 2 ? 0 : reserve) <= cap;
}

bool
core_team_has_capacity (const struct core_step *step)
{
  const struct core_job *job = step->job;
  const struct core_team *team = job->team;
  const struct fl_team *team_configuration = team->configuration;
  const struct fl_step_spec *spec = step->spec;

  if (team_configuration == NULL)
    return true;
  return fits_cap (team->used.cpu_milli + team->unreconciled.cpu_milli, spec->cpu_milli,
                   urgent_reserve (step, team->urgent_used.cpu_milli, team->urgent_peak.cpu_milli,
                                   team->urgent_waiting.cpu_milli),
                   team_configuration->cap.cpu_milli)
         && fits_cap (team->used.memory_mb + team->unreconciled.memory_mb, spec->memory_mb,
                      urgent_reserve (step, team->urgent_used.memory_mb,
                                      team->urgent_peak.memory_mb, team->urgent_waiting.memory_mb),
                      team_configuration->cap.memory_mb)
         && fits_cap (team->used.gpu + team->unreconciled.gpu, spec->gpu,
                      urgent_reserve (step, team->urgent_used.gpu, team->urgent_peak.gpu,
                                      team->urgent_waiting.gpu),
                      team_configuration->cap.gpu);
}

/* Decays the urgent peaks of all teams, but not below the current use. */
static void
update_urgent_peaks (struct fl_core *core)
{
  double decay = exp (-(double)(core->now_ms - core->peaks_decayed_at_ms) / URGENT_PEAK_DECAY_MS);
  GHashTableIter iter;
  void *value;

  core->peaks_decayed_at_ms = core->now_ms;
  g_hash_table_iter_init (&iter, core->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct core_team *team = value;
      struct fl_resources *peak = &team->urgent_peak;
      peak->cpu_milli
          = MAX (team->urgent_used.cpu_milli, (int64_t)((double)peak->cpu_milli * decay));
      peak->memory_mb
          = MAX (team->urgent_used.memory_mb, (int64_t)((double)peak->memory_mb * decay));
      peak->gpu = MAX (team->urgent_used.gpu, (int64_t)((double)peak->gpu * decay));
    }
}

/* --- choice of targets --- */

static bool
has_serving_run (const struct core_target *target)
{
  for (guint i = 0; i < target->runs->len; i++)
    if (((struct core_run *)g_ptr_array_index (target->runs, i))->task->step->spec->latency_bound_ms
        > 0)
      return true;
  return false;
}

int64_t
core_target_rank_cpu (const struct core_target *target, const struct core_step *step)
{
  return fl_warm_up_rank_cpu (
      &target->warm_up, core_target_available_resources (target, true).cpu_milli,
      target->entry.resources.cpu_milli, step->job->queue.priority == 0, target->core->now_ms);
}

int64_t
core_target_placement_score (struct core_target *target, const struct core_step *step)
{
  const struct fl_step_spec *spec = step->spec;
  int64_t free_cpu_milli = core_target_rank_cpu (target, step);
  double score = core_target_score (target, step, free_cpu_milli);
  int64_t value = (int64_t)(SCORE_SCALE * core_interference_adjust_score (target, step, score));

  if (spec->best_effort && has_serving_run (target))
    value -= AVOID_PENALTY;
  if (spec->rack.len > 0 && !core_target_has_label (target, &spec->rack))
    value -= AVOID_PENALTY;
  return value;
}

/* A target on which a task of a step fits. */
struct placement
{
  struct core_target *target;
  int64_t task_capacity;
  int64_t score;
  bool is_allowed; /* the store has recorded it for the job, or will record it for each run */
  bool is_pending; /* allowed as soon as a requested record is stored */
};

GArray *
core_placements_new (void)
{
  return g_array_new (FALSE, FALSE, sizeof (struct placement));
}

static void
update_placement (struct placement *placement, const struct core_step *step)
{
  placement->task_capacity = core_target_task_capacity (placement->target, step, false);
  placement->score
      = placement->task_capacity > 0 ? core_target_placement_score (placement->target, step) : 0;
}

/* Adds @target to @placements if @step may be started there now. @return whether it fits there. */
static bool
add_placement (struct core_step *step, struct core_target *target, GArray *placements)
{
  struct placement placement = { .target = target };

  update_placement (&placement, step);
  if (placement.task_capacity == 0 || core_advice_ticket (step, target) == NULL
      || core_target_is_worse_than_waiting (target, step))
    return placement.task_capacity > 0;
  placement.is_allowed
      = core_step_records_targets (step) || core_job_may_start_on (step->job, &target->entry.id);
  placement.is_pending
      = !placement.is_allowed && core_job_target_is_pending (step->job, &target->entry.id);
  g_array_append_val (placements, placement);
  return true;
}

static int64_t
last_placement_capacity (const GArray *placements)
{
  return g_array_index (placements, struct placement, placements->len - 1).task_capacity;
}

/* Starts at a position that follows from the job, so that the targets of an earlier tick, of which
 * some have been recorded for the job since, are found again. */
static void
collect_unadvised_placements (struct core_step *step, GArray *placements)
{
  const GArray *targets = core_get_open_targets (step);
  bool must_see_all = step->spec->rack.len > 0 || step->spec->rack_bound;
  int64_t wanted = step->idle_tasks * PLACEMENTS_CAPACITY_RATIO;
  int64_t capacity = 0;
  bool fits = false;
  guint position = fl_name_hash (&step->job->spec.id) % MAX (step->job->core->target_list->len, 1);
  guint first = core_find_open_target (targets, position);

  for (guint i = 0;
       i < targets->len && (must_see_all || placements->len < PLACEMENTS_MIN || capacity < wanted);
       i++)
    {
      const struct core_open_target *open_target
          = &g_array_index (targets, struct core_open_target, (first + i) % targets->len);
      guint before = placements->len;
      if (core_may_fit (open_target, step))
        fits |= add_placement (step, open_target->target, placements);
      if (placements->len > before)
        capacity += last_placement_capacity (placements);
    }
  if (!fits)
    core_record_vain_search (step, false);
}

/* @return rows of struct placement: the targets on which @step fits now. Where its queue requires
 * advice, only those few of hundreds of targets can qualify on which the step has advice. */
static GArray *
collect_placements (struct core_step *step)
{
  GArray *placements = g_array_set_size (g_array_ref (step->job->core->placements), 0);
  GHashTableIter iter;
  void *value;

  if (core_capacity_is_exhausted (step, false))
    return placements;
  if (!step->job->queue.advice.required)
    {
      collect_unadvised_placements (step, placements);
      return placements;
    }
  if (!core_step_has_ticket (step) || !may_fit_on_advised (step))
    return placements;
  g_hash_table_iter_init (&iter, step->advice);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct core_advice *advice = value;
      struct core_target *target = core_advice_has_ticket (step, advice)
                                       ? get_advised_target (step->job->core, advice)
                                       : NULL;
      if (target != NULL)
        add_placement (step, target, placements);
    }
  return placements;
}

/* Requests that some of @placements are recorded for the job of @step. For targets that need
 * advice, the handling of the advice reply has already requested it. */
static void
request_targets (struct core_step *step, const GArray *placements)
{
  for (guint i = 0; i < MIN (placements->len, TARGETS_REQUESTED_MAX); i++)
    core_job_request_target (step->job,
                             &g_array_index (placements, struct placement, i).target->entry.id);
}

/* Chooses the best of @placements on which tasks of the job may be started. If there is none but
 * other targets fit, requests that these are recorded. @rack limits the choice to one rack unless
 * NULL.
 * @return the chosen one, or NULL if the task cannot be started now. */
static struct placement *
choose_placement (const struct core_task *task, GArray *placements, const struct fl_name *rack)
{
  struct placement *best = NULL;
  int64_t best_score = 0;

  for (guint i = 0; i < placements->len; i++)
    {
      struct placement *placement = &g_array_index (placements, struct placement, i);
      if (placement->task_capacity == 0
          || (rack != NULL && !core_target_has_label (placement->target, rack)))
        continue;
      int64_t score
          = task->is_watched ? core_crash_score_target (placement->target) : placement->score;
      if (fl_name_eq (&task->last_failed_target, &placement->target->entry.id))
        score -= AVOID_PENALTY;
      if (best == NULL || placement->is_allowed > best->is_allowed
          || (placement->is_allowed == best->is_allowed && score > best_score))
        {
          best = placement;
          best_score = score;
        }
    }
  if (best != NULL && !best->is_allowed)
    request_targets (task->step, placements);
  return best != NULL && best->is_allowed ? best : NULL;
}

static int64_t
next_run_number (const struct core_task *task)
{
  return MAX (task->last_run_number + 1, task->step->job->core->first_run_number);
}

static bool
is_ready_to_start (const struct core_task *task)
{
  return !task->done && task->run == NULL && core_crash_may_start (task)
         && task->backoff_until_ms <= task->step->job->core->now_ms
         && !(core_step_records_targets (task->step) && core_task_is_unreconciled (task));
}

/* Whether is_ready_to_start holds for all idle tasks of @step: none of them backs off, and nothing
 * is known of crashes or of runs of an earlier owner. */
static bool
are_idle_tasks_ready (const struct core_step *step)
{
  return step->backoff_until_ms <= step->job->core->now_ms && step->job->crash_changes == 0
         && !core_step_records_targets (step);
}

/* Starts the tasks of @step that can be started on @placements. @return how many tasks still wait.
 */
static int64_t
place_tasks (struct core_step *step, GArray *placements)
{
  int64_t waiting = 0;
  bool are_others_ready = are_idle_tasks_ready (step);

  if (are_others_ready && placements->len == 0)
    return step->idle_tasks;
  for (int64_t i = 0; i < step->spec->count; i++)
    {
      struct core_task *task = &step->tasks[i];
      struct placement *placement;
      if (!is_ready_to_start (task))
        continue;
      /* Tasks of a step have the same needs: once one cannot start, the others are not tried. */
      placement = waiting == 0 && core_team_has_capacity (step) && core_urgent_room_permits (step)
                      ? choose_placement (task, placements, NULL)
                      : NULL;
      if (placement == NULL && are_others_ready)
        return step->idle_tasks;
      if (placement == NULL)
        {
          waiting++;
          continue;
        }
      core_run_start (core_run_new (task, placement->target, next_run_number (task)),
                      core_advice_ticket (step, placement->target));
      core_urgent_room_charge (step, 1);
      update_placement (placement, step);
    }
  return waiting;
}

/* --- gangs --- */

static void
update_placements (GArray *placements, const struct core_step *step)
{
  for (guint i = 0; i < placements->len; i++)
    update_placement (&g_array_index (placements, struct placement, i), step);
}

/* Creates runs with the same number for all tasks of a gang, on targets of @rack or, if @rack is
 * NULL, on any of @placements.
 * @return false, without any run created, if not all tasks fit. */
static bool
reserve_gang (struct core_step *step, GArray *placements, const struct fl_name *rack)
{
  int64_t number = step->job->core->first_run_number;
  int64_t reserved = 0;

  for (int64_t i = 0; i < step->spec->count; i++)
    number = MAX (number, next_run_number (&step->tasks[i]));
  for (; reserved < step->spec->count; reserved++)
    {
      struct core_task *task = &step->tasks[reserved];
      struct placement *placement = core_team_has_capacity (step) && core_urgent_room_permits (step)
                                        ? choose_placement (task, placements, rack)
                                        : NULL;
      if (placement == NULL)
        break;
      core_run_new (task, placement->target, number);
      core_urgent_room_charge (step, 1);
      update_placement (placement, step);
    }
  if (reserved == step->spec->count)
    return true;
  core_urgent_room_charge (step, -reserved);
  while (reserved > 0)
    core_run_release (step->tasks[--reserved].run);
  update_placements (placements, step);
  return false;
}

static bool
reserve_on_one_rack (struct core_step *step, GArray *placements)
{
  g_autoptr (GHashTable) tried = g_hash_table_new (fl_name_hash, fl_name_equal);

  for (guint i = 0; i < placements->len; i++)
    {
      const struct core_target *target = g_array_index (placements, struct placement, i).target;
      const struct fl_name *rack = &target->entry.labels[RACK_LABEL_INDEX];
      if (target->entry.label_count <= RACK_LABEL_INDEX || !g_hash_table_add (tried, (void *)rack))
        continue;
      if (reserve_gang (step, placements, rack))
        return true;
    }
  return false;
}

/* Stops the members of a gang of which another has no run any more, or had none when its earlier
 * owner lost the pool: they would wait for it in vain, and only a whole gang is started.
 * @return whether there are such members. */
static bool
stop_incomplete_gang (struct core_step *step)
{
  for (int64_t i = 0; step->spec->gang && i < step->spec->count; i++)
    if (step->tasks[i].run != NULL)
      {
        core_run_stop (step->tasks[i].run);
        return true;
      }
  return false;
}

/* Starts all tasks of a gang or none. @return how many tasks wait for capacity: 0 also when a
 * member cannot be started yet because it backs off. */
static int64_t
place_gang (struct core_step *step, GArray *placements)
{
  for (int64_t i = 0; i < step->spec->count; i++)
    if (!is_ready_to_start (&step->tasks[i]))
      return 0;
  if (!(step->spec->rack_bound && reserve_on_one_rack (step, placements))
      && !reserve_gang (step, placements, NULL))
    return step->spec->count;
  for (int64_t i = 0; i < step->spec->count; i++)
    core_run_start (step->tasks[i].run, core_advice_ticket (step, step->tasks[i].run->target));
  return 0;
}

/* --- order of waiting steps --- */

struct waiting_step
{
  struct core_step *step;
  struct fl_order_key key;
};

static gint
compare_waiting_steps (const void *a, const void *b)
{
  return fl_order_compare (&((const struct waiting_step *)a)->key,
                           &((const struct waiting_step *)b)->key);
}

static int64_t
get_weight (const struct core_team *team)
{
  return team->configuration != NULL ? MAX (team->configuration->weight, 1) : 1;
}

/* @return the CPU of the room to which a weight of 1 entitles: the teams that use it or wait for it
 * share it. */
static double
get_unit_share (const struct fl_core *core)
{
  GHashTableIter iter;
  void *value;
  int64_t weights = 0;
  int64_t cpu_milli = 0;

  g_hash_table_iter_init (&iter, core->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct core_team *team = value;
      if (team->used.cpu_milli > 0 || team->last_waiting_ms == core->now_ms)
        weights += get_weight (team);
    }
  for (guint i = 0; i < core->target_list->len; i++)
    {
      const struct core_target *target = g_ptr_array_index (core->target_list, i);
      cpu_milli += target->registered ? target->entry.resources.cpu_milli : 0;
    }
  return weights > 0 ? (double)cpu_milli / (double)weights : 0;
}

/* Lets the oldest expired job among @waiting go first once an interval, until it ends. */
static void
give_turn (struct fl_core *core, GArray *waiting)
{
  struct core_job *oldest = NULL;

  if (core->now_ms - core->turn_given_at_ms < FL_ORDER_TURN_INTERVAL_MS)
    return;
  for (guint i = 0; i < waiting->len; i++)
    {
      const struct waiting_step *entry = &g_array_index (waiting, struct waiting_step, i);
      struct core_job *job = entry->step->job;
      if (entry->key.order_class == FL_ORDER_EXPIRED && !job->has_turn
          && (oldest == NULL || job->accepted_version < oldest->accepted_version))
        oldest = job;
    }
  if (oldest == NULL)
    return;
  oldest->has_turn = true;
  core->turn_given_at_ms = core->now_ms;
}

static bool
has_waiting_task (const struct core_step *step)
{
  if (are_idle_tasks_ready (step))
    return step->idle_tasks > 0;
  for (int64_t i = 0; i < step->spec->count; i++)
    if (is_ready_to_start (&step->tasks[i]))
      return true;
  return false;
}

/* How many tasks of a step fit on those of @placements that are not allowed only because the store
 * has not recorded them for the job yet. */
static int64_t
count_awaiting_recording (const GArray *placements)
{
  int64_t count = 0;

  for (guint i = 0; i < placements->len; i++)
    {
      const struct placement *placement = &g_array_index (placements, struct placement, i);
      count += placement->is_pending ? placement->task_capacity : 0;
    }
  return count;
}

/* Sets the wait reason of @step, and which resource is @missing: that of the advice queries is not
 * where there is no room for what they find. */
static void
set_wait (struct core_step *step, enum core_wait_reason wait, enum core_wait_reason missing)
{
  struct fl_core *core = step->job->core;

  core_step_note_wait (step, missing);
  if (step->wait_reason == wait)
    return;
  step->wait_reason = wait;
  step->wait_queries_sent = step->queries_sent - step->query_in_flight;
  step->wait_queries_failed = step->queries_failed;
  step->wait_started_at_ms = core->now_ms;
}

static void
set_wait_reason (struct core_step *step, enum core_wait_reason wait)
{
  set_wait (step, wait, wait);
}

/* --- advice for waiting steps --- */

/* A step of which some tasks could be started with advice. */
struct unadvised_step
{
  struct core_step *step;
  int64_t unplaced;      /* tasks for which advice is needed */
  bool awaits_recording; /* other tasks start once a record is stored */
  bool is_without_room;  /* the steps before it need all that is free */
  struct fl_order_query order;
};

int64_t
core_step_wait_for_advice_ms (const struct core_step *step)
{
  return step->wait_reason == CORE_WAIT_ADVICE ? step->job->core->now_ms - step->wait_started_at_ms
                                               : 0;
}

/* The ratio of wait and service time to service time. */
static double
get_response_ratio (const struct core_step *step)
{
  double waited_ms = (double)core_step_wait_for_advice_ms (step);
  double service_ms = MAX (step->job->queue.advice.base_latency_ms, 1.0);

  return (waited_ms + service_ms) / service_ms;
}

/* @return for how long no task of @step has been started, if it is a long-running one and this is
 * no less than LONG_RUNNING_WAIT_MS; else 0. */
static int64_t
get_unserved_ms (const struct core_step *step)
{
  int64_t unplaced_ms = step->job->core->now_ms - step->unplaced_since_ms;

  return step->spec->long_running && unplaced_ms >= LONG_RUNNING_WAIT_MS ? unplaced_ms : 0;
}

/* Handles the @unplaced tasks of @step that could not be started: appends it to @unadvised if
 * advice can help, else sets what it waits for. */
static void
handle_unplaced_tasks (const struct waiting_step *entry,
                       const GArray *placements,
                       int64_t unplaced,
                       GArray *unadvised)
{
  struct core_step *step = entry->step;

  if (unplaced == 0)
    {
      step->unplaced_since_ms = 0;
      set_wait_reason (step, CORE_WAIT_NONE);
      return;
    }
  if (step->unplaced_since_ms == 0)
    step->unplaced_since_ms = step->job->core->now_ms;
  if (!core_team_has_capacity (step))
    {
      set_wait_reason (step, CORE_WAIT_TEAM_LIMIT);
      return;
    }
  if (!core_urgent_room_permits (step))
    {
      set_wait_reason (step, CORE_WAIT_CAPACITY);
      return;
    }
  int64_t awaiting = count_awaiting_recording (placements);
  /* Targets that become usable within milliseconds, once they are recorded, are not queried again,
   * and no others are queried in their place: advice causes most of the wait of long jobs. */
  if (awaiting >= unplaced || !step->job->queue.advice.required)
    {
      set_wait_reason (step, awaiting > 0 ? CORE_WAIT_RECORD : CORE_WAIT_CAPACITY);
      return;
    }
  struct unadvised_step unadvised_step
      = { .step = step,
          .unplaced = unplaced - awaiting,
          .awaits_recording = awaiting > 0,
          .order
          = { .unserved_ms = get_unserved_ms (step),
              .is_expired = entry->key.order_class == FL_ORDER_EXPIRED && !entry->key.has_turn,
              .response_ratio = get_response_ratio (step),
              .position = unadvised->len } };
  core_urgent_room_charge (step, 1);
  g_array_append_val (unadvised, unadvised_step);
}

/* Of a service, what is free and neither taken nor charged for queries in flight, and what the
 * steps that need advice still need of it. */
struct service_room
{
  const struct fl_name *service;
  int64_t free_cpu_milli;
  int64_t needed_cpu_milli;
};

static struct service_room *
get_service_room (GArray *rooms, struct fl_core *core, const struct fl_name *service)
{
  struct service_room room = { .service = service };

  for (guint i = 0; i < rooms->len; i++)
    if (fl_name_eq (g_array_index (rooms, struct service_room, i).service, service))
      return &g_array_index (rooms, struct service_room, i);
  for (guint i = 0; i < core->target_list->len; i++)
    {
      const struct core_target *target = g_ptr_array_index (core->target_list, i);
      int64_t cpu_milli
          = core_target_available_resources (target, false).cpu_milli - target->tentative_cpu_milli;
      if (cpu_milli > 0 && accepts_tasks (target, service))
        room.free_cpu_milli += cpu_milli;
    }
  g_array_append_val (rooms, room);
  return &g_array_index (rooms, struct service_room, rooms->len - 1);
}

/* Tells for each of @unadvised, in the order of waiting steps, whether the service has less room
 * than all of them need, and whether those before it leave none. */
static void
find_scarce_rooms (GArray *unadvised, GArray *rooms)
{
  for (guint i = 0; i < unadvised->len; i++)
    {
      struct unadvised_step *entry = &g_array_index (unadvised, struct unadvised_step, i);
      const struct core_job *job = entry->step->job;
      struct service_room *room = get_service_room (rooms, job->core, &job->queue.service);
      entry->is_without_room = room->needed_cpu_milli >= room->free_cpu_milli;
      if (!entry->step->query_in_flight && !entry->step->spec->best_effort)
        room->needed_cpu_milli += entry->unplaced * entry->step->spec->cpu_milli;
    }
  for (guint i = 0; i < unadvised->len; i++)
    {
      struct unadvised_step *entry = &g_array_index (unadvised, struct unadvised_step, i);
      const struct core_job *job = entry->step->job;
      const struct service_room *room = get_service_room (rooms, job->core, &job->queue.service);
      entry->order.is_room_scarce = room->needed_cpu_milli > room->free_cpu_milli;
    }
}

static gint
compare_unadvised_steps (const void *a, const void *b)
{
  return fl_order_compare_queries (&((const struct unadvised_step *)a)->order,
                                   &((const struct unadvised_step *)b)->order);
}

/* Whether the step of @entry waits for room though a query about it is in flight or no host is free
 * for one: targets that it has tickets for are full, or the steps before it take all that is free.
 */
static bool
is_room_missing (const struct unadvised_step *entry)
{
  const struct core_step *step = entry->step;

  if (!entry->order.is_room_scarce)
    return false;
  return step->eligible_until_ms > step->job->core->now_ms
         || (entry->is_without_room && !step->query_in_flight);
}

/* Queries advice for the steps of @unadvised. */
static void
query_advice (GArray *unadvised)
{
  g_autoptr (GArray) rooms = g_array_new (FALSE, FALSE, sizeof (struct service_room));

  find_scarce_rooms (unadvised, rooms);
  g_array_sort (unadvised, compare_unadvised_steps);
  for (guint i = 0; i < unadvised->len; i++)
    {
      const struct unadvised_step *entry = &g_array_index (unadvised, struct unadvised_step, i);
      enum core_wait_reason wait = core_advice_send_query (entry->step, entry->unplaced);
      if (wait == CORE_WAIT_CAPACITY && entry->awaits_recording)
        wait = CORE_WAIT_RECORD;
      bool for_room = wait == CORE_WAIT_ADVICE && is_room_missing (entry);
      set_wait (entry->step, wait, for_room ? CORE_WAIT_CAPACITY : wait);
    }
}

static void
clear_unreconciled (struct fl_core *core)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, core->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct core_team *)value)->unreconciled = (struct fl_resources){ 0 };
}

/* Charges the tasks of @step that may run on targets that have not reported to its team.
 * @job_is_unreconciled says whether this holds for all tasks of the job of which it is not recorded
 * where they may be. @return the number of charged tasks. */
static int64_t
charge_unreconciled (const struct core_step *step, bool job_is_unreconciled)
{
  struct fl_resources *resources = &step->job->team->unreconciled;
  bool by_task = core_step_records_targets (step);
  int64_t charged = 0;

  if (!by_task && !job_is_unreconciled)
    return 0;
  for (int64_t i = 0; i < step->spec->count; i++)
    {
      const struct core_task *task = &step->tasks[i];
      if (task->done || task->run != NULL || (by_task && !core_task_is_unreconciled (task)))
        continue;
      charged++;
      resources->cpu_milli += step->spec->cpu_milli;
      resources->memory_mb += step->spec->memory_mb;
      resources->gpu += step->spec->gpu;
    }
  return charged;
}

/* Whether no task of @step may be started because some may run on targets that have not reported.
 * Charges these to the team. */
static bool
is_blocked_by_reconciliation (const struct core_step *step, bool job_is_unreconciled)
{
  int64_t charged = charge_unreconciled (step, job_is_unreconciled);

  return charged > 0 && (step->spec->gang || charged == step->idle_tasks);
}

static void
collect_waiting_of_job (struct core_job *job, bool unreconciled, double unit_share, GArray *waiting)
{
  bool blocked = unreconciled && core_job_is_unreconciled (job);
  double share = unit_share * (double)get_weight (job->team);
  int excess = fl_order_team_excess ((double)job->team->used.cpu_milli, share);

  for (size_t i = 0; i < job->step_count; i++)
    {
      struct waiting_step entry = { .step = &job->steps[i] };
      if (entry.step->idle_tasks == 0 || !core_step_is_due (entry.step))
        continue;
      if (unreconciled && is_blocked_by_reconciliation (entry.step, blocked))
        {
          set_wait_reason (entry.step, CORE_WAIT_RECONCILING);
          continue;
        }
      if (!has_waiting_task (entry.step))
        {
          set_wait_reason (entry.step, CORE_WAIT_NONE);
          continue;
        }
      core_step_get_order_key (entry.step, &entry.key);
      entry.key.team_excess = excess;
      g_array_append_val (waiting, entry);
    }
}

/* @return the steps that wait, as rows of struct waiting_step in the order in which they are
 * placed. */
static GArray *
collect_waiting (struct fl_core *core)
{
  GArray *waiting = g_array_new (FALSE, FALSE, sizeof (struct waiting_step));
  bool unreconciled = core_is_unreconciled (core);

  clear_unreconciled (core);
  for (const GList *link = core->waiting_jobs.head; link != NULL; link = link->next)
    ((struct core_job *)link->data)->team->last_waiting_ms = core->now_ms;
  double unit_share = get_unit_share (core);
  for (const GList *link = core->waiting_jobs.head; link != NULL; link = link->next)
    collect_waiting_of_job (link->data, unreconciled, unit_share, waiting);
  give_turn (core, waiting);
  g_array_sort (waiting, compare_waiting_steps);
  return waiting;
}

/* Adds the waiting steps of @job to @count. @return how many of these are placed before @key. */
static int64_t
count_steps_before (const struct core_job *job,
                    double unit_share,
                    const struct fl_order_key *key,
                    int64_t *count)
{
  double share = unit_share * (double)get_weight (job->team);
  int excess = fl_order_team_excess ((double)job->team->used.cpu_milli, share);
  int64_t before = 0;

  for (size_t i = 0; i < job->step_count; i++)
    {
      const struct core_step *step = &job->steps[i];
      struct fl_order_key other;
      if (step->idle_tasks == 0 || !core_step_is_due (step) || !has_waiting_task (step))
        continue;
      core_step_get_order_key (step, &other);
      other.team_excess = excess;
      *count += 1;
      before += fl_order_compare (&other, key) < 0 ? 1 : 0;
    }
  return before;
}

int64_t
core_step_count_before (const struct core_step *step, int64_t *count)
{
  const struct core_job *job = step->job;
  struct fl_core *core = job->core;
  struct fl_order_key key;
  int64_t before = 0;

  for (const GList *link = core->waiting_jobs.head; link != NULL; link = link->next)
    ((struct core_job *)link->data)->team->last_waiting_ms = core->now_ms;
  double unit_share = get_unit_share (core);
  core_step_get_order_key (step, &key);
  key.team_excess = fl_order_team_excess ((double)job->team->used.cpu_milli,
                                          unit_share * (double)get_weight (job->team));
  *count = 0;
  for (const GList *link = core->waiting_jobs.head; link != NULL; link = link->next)
    before += count_steps_before (link->data, unit_share, &key, count);
  return before;
}

/* Starts the tasks of @entry that can be started. Appends it to @unadvised if others need advice.
 */
static void
place_step (const struct waiting_step *entry, GArray *unadvised)
{
  struct core_step *step = entry->step;
  struct fl_core *core = step->job->core;

  if (stop_incomplete_gang (step))
    {
      set_wait_reason (step, CORE_WAIT_NONE);
      return;
    }
  if (core_order_budget_is_exhausted (&core->order_budget))
    {
      set_wait_reason (step, CORE_WAIT_LINK);
      return;
    }
  g_autoptr (GArray) placements = collect_placements (step);
  int64_t idle = step->idle_tasks;
  int64_t unplaced
      = step->spec->gang ? place_gang (step, placements) : place_tasks (step, placements);
  if (step->idle_tasks < idle)
    {
      step->unplaced_since_ms = 0;
      core_order_budget_charge (&core->order_budget, idle - step->idle_tasks,
                                step->job->spec.text.len);
    }
  handle_unplaced_tasks (entry, placements, unplaced, unadvised);
}

/* Counts the time of the jobs that wait to what they wait for now. */
static void
update_ages (struct fl_core *core)
{
  for (const GList *link = core->waiting_jobs.head; link != NULL; link = link->next)
    core_job_update_age (link->data);
}

void
core_place_tasks (struct fl_core *core)
{
  GArray *waiting;
  g_autoptr (GArray) unadvised = g_array_new (FALSE, FALSE, sizeof (struct unadvised_step));

  g_array_set_size (core->free_max, 0);
  update_urgent_peaks (core);
  waiting = collect_waiting (core);
  core_urgent_room_begin (core);
  for (guint i = 0; i < waiting->len; i++)
    core_urgent_room_add (g_array_index (waiting, struct waiting_step, i).step);
  for (guint i = 0; i < waiting->len; i++)
    place_step (&g_array_index (waiting, struct waiting_step, i), unadvised);
  query_advice (unadvised);
  core_urgent_room_preempt (core);
  update_ages (core);
  fl_stats_set (core->options.stats, "steps_waiting", waiting->len);
  g_array_unref (waiting);
}
