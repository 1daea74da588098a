/* Advice on which targets may run a step: selects the targets to query, and keeps the replies.
 *
 * The advice service handles one query at a time per calling host, and its reply time grows with
 * the number of targets in the query. A query therefore contains only the few targets that are most
 * likely to be used. Whether a target is eligible for a step never changes; only tickets expire. */
#include <math.h>
#include <string.h>

#include "core/core_internal.h"

/* A step of which no task has been started for this long may be queried about targets that queries
 * of other steps are charged for. */
#define CONTENDED_WAIT_MS 1000
/* Tasks of such a step for which there has to be room on a target beside what runs there. */
#define CONTENDED_TASKS_MIN 2
/* A ticket is not used if it expires within this time, which an order may take to arrive. */
#define TICKET_MARGIN_MS 150
/* Lower bound of the eligible share of a queue. It limits how many targets are queried per task. */
#define ELIGIBLE_SHARE_MIN 0.1
/* Least weight of one reply in the moving average of the eligible share. The first replies weigh as
 * much as in a mean of all. */
#define ELIGIBLE_SHARE_WEIGHT_MIN 0.1
/* Ratio of queried to needed capacity. The surplus makes up for eligible targets whose capacity is
 * taken before the reply arrives. */
#define QUERY_SURPLUS 1.3
/* By how many standard deviations of the eligible capacity a query exceeds the need. A gang needs
 * all of it: where some is missing, none of its tasks is started. */
#define QUERY_DEVIATIONS 1.0
#define GANG_QUERY_DEVIATIONS 2.0
/* Probability that a query finds no eligible target, and the step waits for another one; a tenth of
 * it after each query in vain. */
#define NONE_ELIGIBLE_MAX 0.02

/* Targets that a query about an overdue step contains at least, if it fits on so many. */
#define OVERDUE_QUERY_TARGETS 30

/* Size of the sample of targets from which those of a query are chosen. */
#define CANDIDATES_MAX 240

/* A target that a query may contain. */
struct candidate
{
  struct core_target *target;
  int64_t task_capacity;
  double eligible_probability;
  bool is_near_data;  /* on the rack of the data, or the step has no preferred rack */
  bool is_unanswered; /* in a query whose reply may still tell whether it is eligible */
  double score;       /* see core_target_score */
};

static struct core_advice *
find_advice (const struct core_step *step, const struct core_target *target)
{
  struct core_advice *advice = g_hash_table_lookup (step->advice, &target->entry.id);

  return advice != NULL && advice->booted_at_ms == target->booted_at_ms ? advice : NULL;
}

bool
core_step_has_ticket (const struct core_step *step)
{
  return step->tickets_until_ms >= step->job->core->now_ms + TICKET_MARGIN_MS;
}

bool
core_advice_has_ticket (const struct core_step *step, const struct core_advice *advice)
{
  return advice->eligible && advice->valid_until_ms >= step->job->core->now_ms + TICKET_MARGIN_MS;
}

const char *
core_advice_ticket (const struct core_step *step, const struct core_target *target)
{
  const struct core_advice *advice;

  if (!step->job->queue.advice.required)
    return "";
  advice = find_advice (step, target);
  if (advice == NULL || !core_advice_has_ticket (step, advice))
    return NULL;
  return advice->ticket.data;
}

void
core_advice_drop_ticket (struct core_step *step, const struct core_target *target)
{
  struct core_advice *advice = find_advice (step, target);

  if (advice != NULL)
    advice->valid_until_ms = 0;
}

static bool
is_queried (const struct core_step *step, const struct fl_name *target)
{
  for (guint i = 0; step->query_in_flight && i < step->queried_targets->len; i++)
    if (fl_name_eq (&g_array_index (step->queried_targets, struct fl_name, i), target))
      return true;
  return false;
}

enum core_advice_state
core_advice_get_state (const struct core_step *step, const struct core_target *target)
{
  const struct core_advice *advice = find_advice (step, target);

  if (advice != NULL && core_advice_has_ticket (step, advice))
    return CORE_ADVICE_VALID;
  if (is_queried (step, &target->entry.id))
    return CORE_ADVICE_QUERIED;
  if (advice != NULL)
    return advice->eligible ? CORE_ADVICE_EXPIRED : CORE_ADVICE_INELIGIBLE;
  return g_hash_table_contains (step->unanswered, &target->entry.id) ? CORE_ADVICE_UNANSWERED
                                                                     : CORE_ADVICE_UNKNOWN;
}

const char *
core_advice_state_name (enum core_advice_state state)
{
  static const char *const names[CORE_ADVICE_STATE_COUNT]
      = { [CORE_ADVICE_VALID] = "eligible",        [CORE_ADVICE_EXPIRED] = "ticket expired",
          [CORE_ADVICE_INELIGIBLE] = "ineligible", [CORE_ADVICE_UNANSWERED] = "unanswered",
          [CORE_ADVICE_QUERIED] = "being queried", [CORE_ADVICE_UNKNOWN] = "not queried" };

  return names[state];
}

/* --- queries --- */

static gint
compare_candidates (const void *a, const void *b)
{
  const struct candidate *x = a;
  const struct candidate *y = b;

  if (x->is_near_data != y->is_near_data)
    return x->is_near_data ? -1 : 1;
  if (x->is_unanswered != y->is_unanswered)
    return x->is_unanswered ? 1 : -1;
  if (x->eligible_probability < y->eligible_probability
      || x->eligible_probability > y->eligible_probability)
    return x->eligible_probability > y->eligible_probability ? -1 : 1;
  return x->score > y->score ? -1 : x->score < y->score;
}

/* Targets on which a step fits, without those that are known not to be eligible. */
struct candidates
{
  GArray *rows;          /* struct candidate: those of which advice may help */
  int64_t task_capacity; /* of these, and of targets with a valid ticket */
  bool fits_anywhere;
  bool is_sample; /* not all targets have been looked at */
};

/* Whether @step waits while queries of other steps, one after the other, are charged for the same
 * free targets. Each of these may find that its step is not eligible there. */
static bool
is_contended (const struct core_step *step)
{
  return step->unplaced_since_ms > 0
         && step->job->core->now_ms - step->unplaced_since_ms >= CONTENDED_WAIT_MS;
}

/* A limit per target does not count: the room may be taken by another step. */
static bool
has_room_beside_queries (const struct core_step *step, const struct core_target *target)
{
  const struct fl_step_spec *spec = step->spec;
  struct fl_resources available = core_target_available_resources (target, spec->best_effort);

  return available.cpu_milli >= CONTENDED_TASKS_MIN * spec->cpu_milli
         && available.memory_mb >= CONTENDED_TASKS_MIN * spec->memory_mb
         && available.gpu >= CONTENDED_TASKS_MIN * spec->gpu;
}

/* @return for how many tasks of @step a query about @target is worth while. */
static int64_t
count_queried_tasks (const struct core_step *step, const struct core_target *target)
{
  int64_t untaken = core_target_task_capacity (target, step, true);

  if (untaken > 0 || !is_contended (step))
    return untaken;
  int64_t fitting = core_target_task_capacity (target, step, false);
  return has_room_beside_queries (step, target) ? fitting : 0;
}

/* Adds @target to @candidates if @step fits there. */
static void
add_candidate (struct core_step *step,
               struct core_target *target,
               double share,
               struct candidates *candidates)
{
  struct candidate candidate = { .target = target };
  const struct core_advice *advice;

  candidate.task_capacity = count_queried_tasks (step, target);
  if (candidate.task_capacity == 0)
    return;
  candidates->fits_anywhere = true;
  if (core_target_is_worse_than_waiting (target, step))
    return;
  advice = find_advice (step, target);
  if (advice != NULL && !advice->eligible)
    return;
  candidates->task_capacity += candidate.task_capacity;
  if (advice != NULL && core_advice_has_ticket (step, advice))
    return;
  candidate.eligible_probability = advice != NULL ? 1.0 : share;
  candidate.is_near_data
      = step->spec->rack.len == 0 || core_target_has_label (target, &step->spec->rack);
  candidate.is_unanswered = g_hash_table_size (step->unanswered) > 0
                            && g_hash_table_contains (step->unanswered, &target->entry.id);
  candidate.score = core_target_score (
      target, step, core_target_rank_cpu (target, step) - target->tentative_cpu_milli);
  g_array_append_val (candidates->rows, candidate);
}

/* Collects targets that a query may contain, best first. A step without a preferred rack looks at a
 * sample only: of hundreds of targets, the best of a sample are about as good as the best of all.
 */
static struct candidates
collect_candidates (struct core_step *step, double share)
{
  struct candidates candidates = { .rows = g_array_new (FALSE, FALSE, sizeof (struct candidate)) };
  struct fl_core *core = step->job->core;
  const GArray *targets = core_get_open_targets (step);
  guint target_count = MAX (core->target_list->len, 1);
  guint start = core->scan_start % target_count;
  guint first = core_find_open_target (targets, start);
  guint seen = target_count; /* positions, from start on */

  for (guint i = 0; i < targets->len && seen == target_count; i++)
    {
      const struct core_open_target *open_target
          = &g_array_index (targets, struct core_open_target, (first + i) % targets->len);
      if (core_may_fit (open_target, step))
        add_candidate (step, open_target->target, share, &candidates);
      if (step->spec->rack.len == 0 && candidates.rows->len == CANDIDATES_MAX)
        seen = (open_target->position + target_count - start) % target_count + 1;
    }
  core->scan_start = (start + seen) % target_count;
  candidates.is_sample = seen < target_count;
  if (!candidates.fits_anywhere && !is_contended (step))
    core_record_vain_search (step, true);
  g_array_sort (candidates.rows, compare_candidates);
  return candidates;
}

/* Whether no reply can let a task of @step start: a gang starts as a whole, and needs more than is
 * free. */
static bool
is_in_vain (const struct core_step *step, const struct candidates *candidates)
{
  return step->spec->gang && !candidates->is_sample
         && candidates->task_capacity < step->spec->count;
}

static void
add_tentative_cpu (struct core_step *step, const GArray *queried, int64_t cpu_milli)
{
  for (guint i = 0; i < queried->len; i++)
    {
      struct core_target *target
          = core_find_target (step->job->core, &g_array_index (queried, struct fl_name, i));
      if (target != NULL)
        target->tentative_cpu_milli += cpu_milli;
    }
}

/* What a query finds, as far as it can be told before. */
struct query_forecast
{
  double expected_tasks; /* that fit on the eligible ones of its targets */
  double variance;       /* of expected_tasks */
  double none_eligible;  /* probability that none of its targets is */
};

/* Whether a query about @waiting tasks of @step is likely to suffice. After queries in vain, the
 * probability that another one is in vain has to be lower. */
static bool
is_likely_to_suffice (const struct query_forecast *forecast,
                      const struct core_step *step,
                      int64_t waiting)
{
  double deviations = step->spec->gang ? GANG_QUERY_DEVIATIONS : QUERY_DEVIATIONS;
  int64_t earlier_queries = step->queries_sent - step->wait_queries_sent
                            - (step->queries_failed - step->wait_queries_failed);

  return forecast->expected_tasks >= (double)waiting * QUERY_SURPLUS
         && forecast->expected_tasks - deviations * sqrt (forecast->variance) >= (double)waiting
         && forecast->none_eligible <= NONE_ELIGIBLE_MAX * pow (0.1, (double)earlier_queries);
}

/* Chooses as many of @candidates, best first, as are likely to suffice for @waiting tasks of @step.
 * @return their ids. */
static GArray *
choose_queried (const struct core_step *step, const GArray *candidates, int64_t waiting)
{
  GArray *queried = g_array_new (FALSE, FALSE, sizeof (struct fl_name));
  struct query_forecast forecast = { .none_eligible = 1.0 };
  guint least = core_step_is_overdue (step) ? OVERDUE_QUERY_TARGETS : 0;

  for (guint i = 0; i < candidates->len && queried->len < FL_ADVICE_TARGETS_MAX; i++)
    {
      const struct candidate *candidate = &g_array_index (candidates, struct candidate, i);
      double probability = candidate->eligible_probability;
      double tasks = (double)MIN (candidate->task_capacity, waiting);
      if (i >= least && is_likely_to_suffice (&forecast, step, waiting))
        break;
      forecast.expected_tasks += probability * tasks;
      forecast.variance += probability * (1.0 - probability) * tasks * tasks;
      forecast.none_eligible *= 1.0 - probability;
      g_array_append_val (queried, candidate->target->entry.id);
    }
  return queried;
}

/* @return for how many of @queried an earlier ticket has expired. */
static int64_t
count_expired (const struct core_step *step, const GArray *queried)
{
  int64_t count = 0;

  for (guint i = 0; i < queried->len; i++)
    {
      const struct core_advice *advice
          = g_hash_table_lookup (step->advice, &g_array_index (queried, struct fl_name, i));
      count += advice != NULL && advice->eligible;
    }
  return count;
}

/* @return the ids of the targets that a query about @waiting tasks of @step contains; none where
 * advice cannot help. */
static GArray *
select_queried (struct core_step *step, int64_t waiting)
{
  struct candidates candidates = collect_candidates (step, step->job->queue_stats->eligible_share);
  GArray *queried;

  if (is_in_vain (step, &candidates))
    g_array_set_size (candidates.rows, 0);
  queried = choose_queried (step, candidates.rows, waiting);
  g_array_unref (candidates.rows);
  return queried;
}

/* Notes that a query of @step has been sent. Takes ownership of @queried. */
static void
note_query (struct core_step *step,
            GArray *queried,
            int64_t waiting,
            const struct fl_advice_demand *demand)
{
  struct fl_core *core = step->job->core;
  struct fl_name name = core_step_name (step);

  fl_log (core->options.log, FL_LOG_INFO, "advice_asked", FL_N ("step", &name),
          FL_I ("targets", queried->len), FL_I ("waiting", waiting),
          FL_I ("expected_ms", demand->expected_ms),
          FL_I ("expired", count_expired (step, queried)), FL_I ("queries", step->queries_sent));
  step->queried_at_ms = core->now_ms;
  step->queries_sent++;
  core->queries_sent++;
  core->query_time_ms += demand->expected_ms;
  step->query_in_flight = true;
  step->queried_targets = queried;
  step->queried_cpu_milli
      = step->spec->best_effort ? 0 : step->spec->cpu_milli * waiting / (int64_t)queried->len;
  add_tentative_cpu (step, queried, step->queried_cpu_milli);
  fl_stats_add (core->options.stats, "advice_asked_total", 1);
  fl_stats_add (core->options.stats, "advice_targets_total", queried->len);
}

/* Whether no host was free in this tick for a query of the queue of @step that had waited as long.
 *
 * Load pattern: hundreds of steps wait while all hosts have queries in flight. */
static bool
is_without_host (const struct core_step *step, const struct fl_advice_demand *demand)
{
  const struct core_queue_stats *stats = step->job->queue_stats;

  return stats->no_host_tick == step->job->core->tick_number
         && stats->no_host_demand.expected_ms == demand->expected_ms
         && stats->no_host_demand.waited_ms >= demand->waited_ms;
}

static bool
may_query (const struct core_step *step, const struct fl_advice_demand *demand)
{
  const struct fl_core *core = step->job->core;
  struct core_queue_stats *stats = step->job->queue_stats;

  if (is_without_host (step, demand))
    return false;
  if (core->options.actions.may_query_advice (core->options.context, demand))
    return true;
  stats->no_host_tick = core->tick_number;
  stats->no_host_demand = *demand;
  return false;
}

enum core_wait_reason
core_advice_send_query (struct core_step *step, int64_t waiting)
{
  struct fl_core *core = step->job->core;
  const struct fl_advice_policy *policy = &step->job->queue.advice;
  struct fl_advice_demand demand;

  if (step->query_in_flight)
    return CORE_WAIT_ADVICE;
  if (core_capacity_is_exhausted (step, !is_contended (step)))
    return CORE_WAIT_CAPACITY;
  demand = (struct fl_advice_demand){ .expected_ms = (int64_t)policy->base_latency_ms,
                                      .waited_ms = core_step_wait_for_advice_ms (step) };
  if (!may_query (step, &demand))
    return CORE_WAIT_ADVICE;
  GArray *queried = select_queried (step, waiting);
  demand.expected_ms
      = (int64_t)ceil (policy->base_latency_ms + policy->per_target_latency_ms * queried->len);
  bool can_help = queried->len > 0;
  struct fl_name name = can_help ? core_step_name (step) : fl_name_of ("");
  if (can_help
      && core->options.actions.query_advice (
          core->options.context, &name, (struct fl_name *)queried->data, queried->len, &demand))
    note_query (step, queried, waiting, &demand);
  else
    g_array_unref (queried);
  return can_help ? CORE_WAIT_ADVICE : CORE_WAIT_CAPACITY;
}

void
core_advice_abandon_query (struct core_step *step)
{
  if (!step->query_in_flight)
    return;
  add_tentative_cpu (step, step->queried_targets, -step->queried_cpu_milli);
  g_array_unref (step->queried_targets);
  step->queried_targets = NULL;
  step->query_in_flight = false;
}

/* --- replies --- */

static void
mark_ineligible (struct core_step *step, const struct core_target *target, int64_t now_ms)
{
  struct core_advice *advice = g_hash_table_lookup (step->advice, &target->entry.id);

  if (advice == NULL)
    {
      advice = g_new0 (struct core_advice, 1);
      advice->target = target->entry.id;
      g_hash_table_insert (step->advice, &advice->target, advice);
    }
  advice->eligible = false;
  advice->booted_at_ms = target->booted_at_ms;
  advice->valid_until_ms = now_ms;
}

static void
mark_eligible (struct core_step *step,
               const struct core_target *target,
               const struct fl_advised_target *row,
               int64_t valid_until_ms)
{
  struct core_advice *advice = g_hash_table_lookup (step->advice, &row->target);

  if (advice == NULL)
    return;
  advice->eligible = true;
  advice->ticket = row->ticket;
  advice->valid_until_ms = valid_until_ms;
  step->tickets_until_ms = MAX (step->tickets_until_ms, valid_until_ms);
  core_step_add_advised (step, target);
  core_job_request_target (step->job, &row->target);
}

/* Whether @target has not restarted since a query that was sent at @sent_ms: tickets are valid for
 * one boot. */
static bool
is_of_boot_queried (const struct core_target *target, int64_t sent_ms)
{
  return target->token_raised_at_ms <= sent_ms;
}

static void
update_eligible_share (struct core_queue_stats *stats, double replied_share)
{
  double weight;

  stats->advice_replies++;
  weight = MAX (1.0 / (double)(stats->advice_replies + 1), ELIGIBLE_SHARE_WEIGHT_MIN);
  stats->eligible_share += weight * (replied_share - stats->eligible_share);
  stats->eligible_share = MAX (stats->eligible_share, ELIGIBLE_SHARE_MIN);
}

void
fl_core_handle_advice_reply (struct fl_core *core,
                             const struct fl_name *step_name,
                             const struct fl_name *queried,
                             size_t queried_count,
                             const struct fl_advice_reply *reply,
                             int64_t now_ms)
{
  struct core_step *step = core_find_step (core, step_name);

  core->now_ms = now_ms;
  if (step == NULL || (!reply->is_late && !step->query_in_flight))
    return;
  /* After a late reply, a later query about the step may still be in flight. */
  if (!reply->is_late)
    core_advice_abandon_query (step);
  fl_log (core->options.log, FL_LOG_INFO, "advice_answered", FL_N ("step", step_name),
          FL_I ("asked", (int64_t)queried_count), FL_I ("good", (int64_t)reply->count),
          FL_I ("received", reply->received), FL_N ("host", &reply->host),
          FL_I ("took_ms", reply->took_ms));
  if (!reply->received)
    {
      step->queries_failed += reply->is_late ? 0 : 1;
      for (size_t i = 0; i < queried_count; i++)
        g_hash_table_add (step->unanswered, g_memdup2 (&queried[i], sizeof queried[i]));
      return;
    }
  g_hash_table_remove_all (step->unanswered);
  /* The reply lists only the eligible ones of the queried targets. */
  for (size_t i = 0; i < queried_count; i++)
    {
      const struct core_target *target = core_find_target (core, &queried[i]);
      if (target != NULL && is_of_boot_queried (target, now_ms - reply->took_ms))
        mark_ineligible (step, target, now_ms);
    }
  for (size_t i = 0; i < reply->count; i++)
    {
      const struct core_target *target = core_find_target (core, &reply->targets[i].target);
      if (target != NULL && is_of_boot_queried (target, now_ms - reply->took_ms))
        mark_eligible (step, target, &reply->targets[i], now_ms + reply->tickets_valid_ms);
    }
  if (reply->count > 0)
    step->eligible_until_ms = now_ms + reply->tickets_valid_ms;
  update_eligible_share (step->job->queue_stats, (double)reply->count / (double)queried_count);
}
