/* Placement: orders the waiting steps, and chooses a target for each of their tasks. */
#include <math.h>
#include <string.h>

#include "core/core_internal.h"

/* Resolution of the scores of targets. */
#define SCORE_SCALE 1e6
/* Advice on tasks that last is queried this long before their wait for silent targets ends: twice
 * the time of a query for many targets, and less than that for which tickets are valid. */
#define ADVICE_AHEAD_MS 1200
/* Score penalty for a target that is used only if no other fits; exceeds any score. */
#define AVOID_PENALTY INT64_C (1000000000000000)
/* Time in which the urgent peak of a team decays to about a third; covers several bursts. */
#define URGENT_PEAK_DECAY_MS 10000.0
/* Most targets whose recording is requested at once for a step, unless a gang needs more. */
#define TARGETS_REQUESTED_MAX 16
/* Least number of targets that are looked at for a step whose queue requires no advice, and least
 * ratio of their capacity to what the step needs. The best of so many targets are about as good as
 * the best of all. */
#define PLACEMENTS_MIN 240
#define PLACEMENTS_CAPACITY_RATIO 4
/* Wait after which a long-running step is queried before all others. */
#define LONG_RUNNING_WAIT_MS 1000
/* How many times the room that an old step needs has to be free where room is scarce, so that a
 * query about it is not in vain. */
#define OLD_ROOM_MIN 2
/* Index of the rack in the labels of a target; index 0 holds the kind of target. */
#define RACK_LABEL_INDEX 1

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
  return step->job->queue.priority == 0 || core_step_is_overdue (step)
             ? 0
             : MAX (peak - urgent, waiting);
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
  if (core_step_is_overdue (step) && core_target_is_avoided (target))
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
  if (!core_step_has_ticket (step) || !core_step_may_fit_on_advised (step))
    return placements;
  g_hash_table_iter_init (&iter, step->advice);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct core_advice *advice = value;
      struct core_target *target = core_advice_has_ticket (step, advice)
                                       ? core_advice_get_target (step->job->core, advice)
                                       : NULL;
      if (target != NULL)
        add_placement (step, target, placements);
    }
  return placements;
}

static bool
is_in_rack (const struct placement *placement, const struct fl_name *rack)
{
  return rack == NULL || core_target_has_label (placement->target, rack);
}

/* Requests that some of @placements are recorded for the job of @step; for a gang, which starts as
 * a whole, so many of those in @rack, unless that is NULL, that all members fit there. For targets
 * that need advice, the handling of the advice reply has already requested it. */
static void
request_targets (struct core_step *step, const GArray *placements, const struct fl_name *rack)
{
  int64_t capacity = 0;
  guint requested = 0;

  for (guint i = 0; i < placements->len; i++)
    {
      const struct placement *placement = &g_array_index (placements, struct placement, i);
      if (requested >= TARGETS_REQUESTED_MAX && !(step->spec->gang && capacity < step->spec->count))
        return;
      if (step->spec->gang && (placement->task_capacity == 0 || !is_in_rack (placement, rack)))
        continue;
      core_job_request_target (step->job, &placement->target->entry.id);
      capacity += placement->task_capacity;
      requested++;
    }
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
          || (task->is_watched && !task->step->spec->gang && placement->target->watched_run != NULL)
          || !is_in_rack (placement, rack))
        continue;
      int64_t score
          = task->is_watched ? core_crash_score_target (placement->target) : placement->score;
      if (task->last_failed_target != 0
          && task->last_failed_target == fl_job_target_hash (&placement->target->entry.id))
        score -= AVOID_PENALTY;
      if (best == NULL || placement->is_allowed > best->is_allowed
          || (placement->is_allowed == best->is_allowed && score > best_score))
        {
          best = placement;
          best_score = score;
        }
    }
  if (best != NULL && !best->is_allowed)
    request_targets (task->step, placements, rack);
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
      placement = waiting == 0 && core_orders_permit_start (step) && core_team_has_capacity (step)
                          && core_urgent_room_permits (step)
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
  if (!core_orders_permit_start (step))
    return step->spec->count;
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

/* @return for how long @step has waited without a start of any of its tasks. */
static int64_t
get_unplaced_ms (const struct core_step *step)
{
  return step->unplaced_since_ms > 0 ? step->job->core->now_ms - step->unplaced_since_ms : 0;
}

/* @return the part of this wait that a turn can end: it takes no room from other jobs of a team at
 * its limit. */
static int64_t
get_endable_wait_ms (const struct core_step *step)
{
  return step->wait.missing != CORE_WAIT_TEAM_LIMIT ? get_unplaced_ms (step) : 0;
}

/* Lets the oldest job among those of @waiting that are due a turn go first once an interval, until
 * it ends. */
static void
give_turn (struct fl_core *core, GArray *waiting)
{
  struct core_job *oldest = NULL;
  int64_t count = 0;

  for (guint i = 0; i < waiting->len; i++)
    {
      const struct waiting_step *entry = &g_array_index (waiting, struct waiting_step, i);
      struct core_job *job = entry->step->job;
      if (job->has_turn
          || !fl_order_is_due_a_turn (entry->key.order_class, get_endable_wait_ms (entry->step)))
        continue;
      count++;
      if (oldest == NULL || job->accepted_version < oldest->accepted_version)
        oldest = job;
    }
  if (oldest == NULL || core->now_ms - core->turn_given_at_ms < fl_order_turn_interval_ms (count))
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
  bool is_old;           /* see FL_ORDER_OLD_WAIT_MS; there is room for it */
  bool is_handled;       /* it has been queried about, or a host was missing */
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
  int64_t unplaced_ms = get_unplaced_ms (step);

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
  if (placements->len > 0 && !core_orders_permit_start (step))
    {
      set_wait_reason (step, CORE_WAIT_ORDERS);
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
      if (cpu_milli > 0 && core_target_accepts_service (target, service))
        room.free_cpu_milli += cpu_milli;
    }
  g_array_append_val (rooms, room);
  return &g_array_index (rooms, struct service_room, rooms->len - 1);
}

/* Whether @entry is old, and can start with advice. What the steps before it need is no reason
 * against this: where queries are scarce, most of them get none. */
static bool
is_old (const struct unadvised_step *entry, const struct service_room *room)
{
  const struct core_step *step = entry->step;
  int64_t needed_cpu_milli = entry->unplaced * step->spec->cpu_milli;

  return get_unplaced_ms (step) >= FL_ORDER_OLD_WAIT_MS
         && (!entry->order.is_room_scarce || step->job->has_turn
             || room->free_cpu_milli >= OLD_ROOM_MIN * needed_cpu_milli);
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
      entry->is_old = is_old (entry, room);
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

/* Queries advice for the step of @entry. */
static void
query_advice_for (struct unadvised_step *entry)
{
  enum core_wait_reason wait = core_advice_send_query (entry->step, entry->unplaced);

  if (wait == CORE_WAIT_CAPACITY && entry->awaits_recording)
    wait = CORE_WAIT_RECORD;
  bool for_room = wait == CORE_WAIT_ADVICE && is_room_missing (entry);
  set_wait (entry->step, wait, for_room ? CORE_WAIT_CAPACITY : wait);
  entry->is_handled = true;
}

/* A wait does not begin anew when some of the tasks have started. */
static gint
compare_old_steps (const void *a, const void *b)
{
  const struct core_step *x = (*(struct unadvised_step *const *)a)->step;
  const struct core_step *y = (*(struct unadvised_step *const *)b)->step;

  if (x->waiting_since_ms != y->waiting_since_ms)
    return x->waiting_since_ms < y->waiting_since_ms ? -1 : 1;
  return x->job->accepted_version < y->job->accepted_version ? -1 : 1;
}

/* @return the old ones of @unadvised without a query in flight, the oldest first. */
static GPtrArray *
collect_old_steps (const GArray *unadvised)
{
  GPtrArray *old = g_ptr_array_new ();

  for (guint i = 0; i < unadvised->len; i++)
    {
      struct unadvised_step *entry = &g_array_index (unadvised, struct unadvised_step, i);
      if (entry->is_old && !entry->step->query_in_flight)
        g_ptr_array_add (old, entry);
    }
  g_ptr_array_sort (old, compare_old_steps);
  return old;
}

/* @return the next of @old from @position on that is not handled, or NULL. Advances @position
 * to it. */
static struct unadvised_step *
get_next_old_step (const GPtrArray *old, guint *position)
{
  while (*position < old->len
         && ((struct unadvised_step *)g_ptr_array_index (old, *position))->is_handled)
    *position += 1;
  return *position < old->len ? g_ptr_array_index (old, *position) : NULL;
}

/* Queries advice for the oldest of @old while this is due. @position: of the first of them that may
 * not be handled yet. */
static void
query_advice_for_old_steps (struct fl_core *core, const GPtrArray *old, guint *position)
{
  struct unadvised_step *entry = get_next_old_step (old, position);

  while (entry != NULL && fl_order_share_is_due (&core->query_share))
    {
      int64_t before_ms = core->query_time_ms;
      query_advice_for (entry);
      fl_order_share_note_query (&core->query_share, true, core->query_time_ms - before_ms);
      entry = get_next_old_step (old, position);
    }
}

/* Queries advice for the steps of @unadvised. */
static void
query_advice (struct fl_core *core, GArray *unadvised)
{
  g_autoptr (GArray) rooms = g_array_new (FALSE, FALSE, sizeof (struct service_room));
  guint position = 0;

  find_scarce_rooms (unadvised, rooms);
  g_array_sort (unadvised, compare_unadvised_steps);
  g_autoptr (GPtrArray) old = collect_old_steps (unadvised);
  if (old->len == 0)
    core->query_share = (struct fl_order_share){ 0 };
  for (guint i = 0; i < unadvised->len; i++)
    {
      struct unadvised_step *entry = &g_array_index (unadvised, struct unadvised_step, i);
      query_advice_for_old_steps (core, old, &position);
      int64_t before_ms = core->query_time_ms;
      if (!entry->is_handled)
        query_advice_for (entry);
      if (old->len > 0)
        fl_order_share_note_query (&core->query_share, false, core->query_time_ms - before_ms);
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

/* Whether an earlier owner may have left a run of @task, which is without a run, on a target that
 * has not reported. */
static bool
may_run_unknown (const struct core_task *task, bool by_task, bool job_is_unreconciled)
{
  if (!by_task || task->earlier_run == CORE_EARLIER_RUN_UNKNOWN)
    return job_is_unreconciled;
  return core_task_is_unreconciled (task);
}

/* Charges the tasks of @step that may run on targets that have not reported to its team.
 * @job_is_unreconciled says whether this holds for all tasks of the job of which it is not recorded
 * where they may be. @return the number of charged tasks. */
static int64_t
charge_unreconciled (const struct core_step *step, bool job_is_unreconciled)
{
  struct fl_resources *resources = &step->job->team->unreconciled;
  bool by_task = core_step_records_targets (step) || fl_job_state_is_final (step->job->state);
  int64_t charged = 0;

  if (!by_task && !job_is_unreconciled)
    return 0;
  for (int64_t i = 0; i < step->spec->count; i++)
    {
      const struct core_task *task = &step->tasks[i];
      if (task->done || task->run != NULL || !may_run_unknown (task, by_task, job_is_unreconciled))
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

/* Whether a wait for targets that have not reported is about to end. */
static bool
settles_soon (const struct fl_core *core)
{
  int64_t end_ms
      = core->now_ms < core->settles_from_ms ? core->settles_from_ms : core->inherited_until_ms;

  return core->now_ms >= end_ms - ADVICE_AHEAD_MS;
}

/* Queries advice on @step, which waits for targets that have not reported, shortly before it may be
 * started.
 *
 * Load pattern: targets with tasks that last leave, and two owners are lost after them. The tasks
 * have then been down for long, and each query takes half a second more, in which other work takes
 * the room. */
static void
query_ahead (struct core_step *step)
{
  if (step->spec->long_running && step->job->queue.advice.required && !core_step_has_ticket (step)
      && core_team_has_capacity (step) && settles_soon (step->job->core))
    core_advice_send_query (step, step->idle_tasks);
}

static void
collect_waiting_of_job (struct core_job *job,
                        bool unreconciled,
                        double unit_share,
                        GArray *waiting,
                        GPtrArray *settling)
{
  bool blocked = unreconciled && core_job_is_unreconciled (job);
  double share = unit_share * (double)get_weight (job->team);
  int excess = fl_order_team_excess ((double)job->team->used.cpu_milli, share);

  for (struct core_step *step = job->first_step; step != NULL; step = step->next)
    {
      struct waiting_step entry = { .step = step };
      if (entry.step->idle_tasks == 0)
        {
          set_wait_reason (entry.step, CORE_WAIT_NONE);
          continue;
        }
      if (!core_step_is_due (entry.step))
        continue;
      if (unreconciled && is_blocked_by_reconciliation (entry.step, blocked))
        {
          set_wait_reason (entry.step, CORE_WAIT_RECONCILING);
          g_ptr_array_add (settling, entry.step);
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

/* Load pattern: targets are cut off and run on, jobs on them are cancelled, and the owner of the
 * pool is lost. Other jobs of the team would be started beside what still runs there.
 *
 * Charges the tasks of jobs in their final state that may run on targets that have not reported. */
static void
charge_final_jobs (struct fl_core *core)
{
  GList *link = core->unreconciled_jobs.head;

  while (link != NULL)
    {
      struct core_job *job = link->data;
      link = link->next;
      if (!core_job_is_unreconciled (job))
        {
          core_queue_set_member (&core->unreconciled_jobs, &job->unreconciled_link,
                                 &job->in_unreconciled, false);
          continue;
        }
      if (!job->record_tells_end)
        core_job_charge_due (job);
      for (const struct core_step *step = job->first_step; step != NULL; step = step->next)
        charge_unreconciled (step, true);
    }
}

/* @return the steps that wait, as rows of struct waiting_step in the order in which they are
 * placed; in @settling (struct core_step) those that wait for targets that have not reported. */
static GArray *
collect_waiting (struct fl_core *core, GPtrArray *settling)
{
  GArray *waiting = g_array_new (FALSE, FALSE, sizeof (struct waiting_step));
  bool unreconciled = core_is_unreconciled (core);

  clear_unreconciled (core);
  if (unreconciled)
    {
      core_occurrences_charge_unreconciled (core);
      charge_final_jobs (core);
    }
  for (const GList *link = core->waiting_jobs.head; link != NULL; link = link->next)
    ((struct core_job *)link->data)->team->last_waiting_ms = core->now_ms;
  double unit_share = get_unit_share (core);
  for (const GList *link = core->waiting_jobs.head; link != NULL; link = link->next)
    collect_waiting_of_job (link->data, unreconciled, unit_share, waiting, settling);
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

  for (const struct core_step *step = job->first_step; step != NULL; step = step->next)
    {
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
  g_autoptr (GPtrArray) settling = g_ptr_array_new ();

  g_array_set_size (core->free_max, 0);
  update_urgent_peaks (core);
  waiting = collect_waiting (core, settling);
  core_urgent_room_begin (core);
  for (guint i = 0; i < waiting->len; i++)
    core_urgent_room_add (g_array_index (waiting, struct waiting_step, i).step);
  for (guint i = 0; i < waiting->len; i++)
    place_step (&g_array_index (waiting, struct waiting_step, i), unadvised);
  for (guint i = 0; i < settling->len; i++)
    query_ahead (g_ptr_array_index (settling, i));
  query_advice (core, unadvised);
  core_urgent_room_preempt (core);
  update_ages (core);
  core_note_longest_waits (core);
  fl_stats_set (core->options.stats, "steps_waiting", waiting->len);
  g_array_unref (waiting);
}
