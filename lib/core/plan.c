/* Explains where a job that is not in the core would go now. See docs/design/plan.md. */
#include <string.h>

#include "core/core_internal.h"

/* Steps that are explained, and targets that are named for each. */
#define STEPS_MAX 3
#define TARGETS_MAX 5

static const char *const target_reasons[CORE_TARGET_REASON_COUNT] = {
  [CORE_TARGET_TAKES_TASKS] = "takes tasks",
  [CORE_TARGET_NOT_REGISTERED] = "not registered",
  [CORE_TARGET_ENTRY_UNREADABLE] = "registry entry unreadable",
  [CORE_TARGET_OTHER_SERVICE] = "another service",
  [CORE_TARGET_REGISTRY_OLD] = "registry not confirmed lately",
  [CORE_TARGET_NOT_RECORDED] = "not recorded yet",
  [CORE_TARGET_NOT_REPORTED] = "no report to this owner yet",
  [CORE_TARGET_SILENT] = "silent",
  [CORE_TARGET_NOT_FENCED] = "not fenced yet",
  [CORE_TARGET_OTHER_BOOT] = "registry entry of another boot",
  [CORE_TARGET_DRAINING] = "draining",
  [CORE_TARGET_STALE_RUNS] = "has runs that are to be stopped",
  [CORE_TARGET_QUARANTINED] = "quarantined",
  [CORE_TARGET_EVACUATED] = "domain evacuated",
  [CORE_TARGET_DOMAINS_UNKNOWN] = "evacuated domains unknown",
  [CORE_TARGET_NO_LABEL] = "label missing",
  [CORE_TARGET_WATCHED] = "kept free for a suspected task",
  [CORE_TARGET_NO_CPU] = "too little CPU",
  [CORE_TARGET_NO_MEMORY] = "too little memory",
  [CORE_TARGET_NO_GPU] = "too few GPUs",
  [CORE_TARGET_STEP_LIMIT] = "limit per target",
};

static const char *const order_classes[] = {
  [FL_ORDER_IN_TIME] = "in time",
  [FL_ORDER_LATE] = "late",
  [FL_ORDER_EXPIRED] = "expired",
};

const char *
core_target_reason_name (enum core_target_reason reason)
{
  return target_reasons[reason];
}

/* --- what a plan leaves as it was --- */

/* Estimates that decisions refresh at intervals of their own. */
struct saved_deadline
{
  struct core_step *first;
  struct core_deadline deadline;
};

struct saved_outlook
{
  double slowness;
  double fail_share;
  int64_t outlook_at_ms;
};

struct saved_team
{
  struct core_team *team;
  int64_t last_waiting_ms;
};

struct saved_estimates
{
  GArray *deadlines; /* struct saved_deadline */
  GArray *outlooks;  /* struct saved_outlook, in the order of the target list */
  GArray *teams;     /* struct saved_team */
  guint free_max_count;
};

static void
save_deadlines (const struct core_job *job, GArray *deadlines)
{
  for (guint i = 0; i < job->occurrences->len; i++)
    {
      struct core_occurrence *occurrence = g_ptr_array_index (job->occurrences, i);
      struct saved_deadline saved = { occurrence->steps, occurrence->steps[0].deadline };
      g_array_append_val (deadlines, saved);
    }
}

static struct saved_estimates
save_estimates (struct fl_core *core)
{
  struct saved_estimates saved
      = { .deadlines = g_array_new (FALSE, FALSE, sizeof (struct saved_deadline)),
          .outlooks = g_array_new (FALSE, FALSE, sizeof (struct saved_outlook)),
          .teams = g_array_new (FALSE, FALSE, sizeof (struct saved_team)),
          .free_max_count = core->free_max->len };
  GHashTableIter iter;
  void *value;

  for (const GList *link = core->waiting_jobs.head; link != NULL; link = link->next)
    save_deadlines (link->data, saved.deadlines);
  for (guint i = 0; i < core->target_list->len; i++)
    {
      const struct core_target *target = g_ptr_array_index (core->target_list, i);
      struct saved_outlook outlook
          = { target->slowness, target->fail_share, target->outlook_at_ms };
      g_array_append_val (saved.outlooks, outlook);
    }
  g_hash_table_iter_init (&iter, core->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct saved_team team = { value, ((struct core_team *)value)->last_waiting_ms };
      g_array_append_val (saved.teams, team);
    }
  return saved;
}

static void
restore_estimates (struct fl_core *core, struct saved_estimates *saved)
{
  for (guint i = 0; i < saved->deadlines->len; i++)
    {
      const struct saved_deadline *row
          = &g_array_index (saved->deadlines, struct saved_deadline, i);
      row->first->deadline = row->deadline;
    }
  for (guint i = 0; i < saved->outlooks->len; i++)
    {
      const struct saved_outlook *row = &g_array_index (saved->outlooks, struct saved_outlook, i);
      struct core_target *target = g_ptr_array_index (core->target_list, i);
      target->slowness = row->slowness;
      target->fail_share = row->fail_share;
      target->outlook_at_ms = row->outlook_at_ms;
    }
  for (guint i = 0; i < saved->teams->len; i++)
    {
      const struct saved_team *row = &g_array_index (saved->teams, struct saved_team, i);
      row->team->last_waiting_ms = row->last_waiting_ms;
    }
  g_array_set_size (core->free_max, saved->free_max_count);
  g_array_unref (saved->deadlines);
  g_array_unref (saved->outlooks);
  g_array_unref (saved->teams);
}

/* --- the job --- */

/* A job that no table or queue of the core contains, without tasks: estimates and gates read only
 * the numbers of the tasks of a step that has not started. */
struct planned_job
{
  struct core_job job;
  struct core_occurrence *occurrence;
  struct core_team own_team; /* of a team that the core does not know */
  struct core_queue_stats own_stats;
  struct fl_run_times *own_run_times; /* for classes that the core does not know */
  bool has_own_team;
};

static void
init_step (struct planned_job *planned, struct core_step *step, size_t number)
{
  struct core_job *job = &planned->job;
  struct fl_core *core = job->core;

  step->job = job;
  step->occurrence = planned->occurrence;
  step->spec = fl_job_spec_get_step (&job->spec, number);
  step->number = (int64_t)number;
  step->run_class = fl_run_times_find_class (core->run_times, &job->spec.queue, &step->spec->image);
  if (step->run_class == NULL)
    step->run_class
        = fl_run_times_get_class (planned->own_run_times, &job->spec.queue, &step->spec->image);
  if (step->spec->image.len > 0)
    step->interference_class
        = fl_interference_find_class (core->interference, &job->spec.queue, &step->spec->image);
  if (job->spec.repeat_count > 0)
    step->due_wall_ms = job->spec.start_at_ms;
  step->unfinished_tasks = step->spec->count;
  step->idle_tasks = step->spec->count;
  job->idle_tasks += step->spec->count;
  job->unfinished_steps++;
}

/* Borrows the contents of @spec. Of a repeated job, only the first occurrence is planned. */
static void
init_job (struct planned_job *planned,
          struct fl_core *core,
          const struct fl_queue *queue,
          const struct fl_job_spec *spec)
{
  struct core_job *job = &planned->job;

  job->core = core;
  job->spec = *spec;
  job->spec.accepted_ms = core->wall_ms;
  job->queue = *queue;
  job->accepted_version = INT64_MAX;
  planned->own_run_times = fl_run_times_new ();
  planned->own_team.name = spec->team;
  planned->own_team.configuration = fl_configuration_find_team (core->configuration, &spec->team);
  job->team = g_hash_table_lookup (core->teams, &spec->team);
  planned->has_own_team = job->team == NULL;
  if (planned->has_own_team)
    {
      job->team = &planned->own_team;
      g_hash_table_insert (core->teams, &planned->own_team.name, &planned->own_team);
    }
  job->queue_stats = g_hash_table_lookup (core->queue_stats, &spec->queue);
  if (job->queue_stats == NULL)
    job->queue_stats = &planned->own_stats;
  job->occurrences = g_ptr_array_new ();
  planned->occurrence = core_occurrence_new (job, 0);
  g_ptr_array_add (job->occurrences, planned->occurrence);
  job->first_step = planned->occurrence->steps;
  for (size_t i = 0; i < spec->steps.count; i++)
    init_step (planned, &planned->occurrence->steps[i], i);
}

static void
clear_job (struct planned_job *planned)
{
  if (planned->has_own_team)
    g_hash_table_steal (planned->job.core->teams, &planned->own_team.name);
  fl_run_times_free (planned->own_run_times);
  g_free (planned->occurrence);
  g_ptr_array_unref (planned->job.occurrences);
}

/* --- text --- */

static void
write_limit (GString *out, const char *name, int64_t used, int64_t cap)
{
  g_string_append_printf (out, " %s %" G_GINT64_FORMAT, name, used);
  if (cap > 0)
    g_string_append_printf (out, " of %" G_GINT64_FORMAT, cap);
}

static void
write_queue_and_team (const struct core_job *job, GString *out)
{
  const struct fl_queue *queue = &job->queue;
  const struct core_team *team = job->team;
  const struct fl_team *configured
      = fl_configuration_find_team (job->core->configuration, &team->name);
  struct fl_resources cap = configured != NULL ? configured->cap : (struct fl_resources){ 0 };

  g_string_append_printf (out, "queue %s: service %s, priority %" G_GINT64_FORMAT "\n",
                          queue->name.data, queue->service.data, queue->priority);
  g_string_append_printf (out, "team %s%s: uses", team->name.len > 0 ? team->name.data : "(none)",
                          configured != NULL ? "" : " (not configured, no limit)");
  write_limit (out, "CPU milli", team->used.cpu_milli, cap.cpu_milli);
  write_limit (out, "memory MB", team->used.memory_mb, cap.memory_mb);
  write_limit (out, "GPUs", team->used.gpu, cap.gpu);
  g_string_append_c (out, '\n');
}

static void
write_state (const struct fl_core *core, GString *out)
{
  if (!core->jobs_known)
    g_string_append (out, "note: this owner has not read all jobs yet\n");
  if (core_is_unreconciled (core))
    g_string_append (out, "note: orders of an earlier owner may be in effect on targets that have "
                          "not reported\n");
}

static void
write_class (const struct core_step *step, GString *out)
{
  struct fl_order_key key = { 0 };
  struct fl_run_time run_time = fl_run_time_get (step->run_class, NULL, step->spec->estimate_ms);

  core_step_get_order_key (step, &key);
  const struct fl_order_time *time = &step->occurrence->steps->deadline.time;
  g_string_append_printf (out, "class: %s, ", order_classes[key.order_class]);
  if (time->slack_ms == FL_ORDER_NO_OBJECTIVE)
    g_string_append (out, "no objective or no estimate");
  else
    g_string_append_printf (
        out, "%" G_GINT64_FORMAT " ms left to be in time, %" G_GINT64_FORMAT " ms to be of use%s",
        time->slack_ms, time->use_in_time_ms, key.is_at_risk ? ", at risk" : "");
  g_string_append_printf (out, "; a task of step 0 takes about %.0f ms (%s)\n", run_time.median_ms,
                          run_time.is_learnt ? "learnt" : "by its estimate");
}

/* --- targets of a step --- */

/* A target on which tasks of the step fit. */
struct plan_target
{
  struct core_target *target;
  int64_t task_capacity;
  int64_t score;
};

struct plan_targets
{
  GArray *fitting; /* struct plan_target, best first */
  int64_t task_capacity;
  guint too_slow;
  guint others[CORE_TARGET_REASON_COUNT]; /* by the reason against them */
};

static gint
compare_targets (const void *a, const void *b)
{
  const struct plan_target *x = a;
  const struct plan_target *y = b;

  if (x->score != y->score)
    return x->score > y->score ? -1 : 1;
  return strcmp (x->target->entry.id.data, y->target->entry.id.data);
}

static struct plan_targets
collect_targets (const struct core_step *step)
{
  struct plan_targets targets
      = { .fitting = g_array_new (FALSE, FALSE, sizeof (struct plan_target)) };
  const GPtrArray *list = step->job->core->target_list;

  for (guint i = 0; i < list->len; i++)
    {
      struct plan_target row = { .target = g_ptr_array_index (list, i) };
      enum core_target_reason reason
          = core_target_get_reason (row.target, step, &row.task_capacity);
      if (reason != CORE_TARGET_TAKES_TASKS)
        targets.others[reason]++;
      else if (core_target_is_worse_than_waiting (row.target, step))
        targets.too_slow++;
      else
        {
          row.score = core_target_placement_score (row.target, step);
          targets.task_capacity += row.task_capacity;
          g_array_append_val (targets.fitting, row);
        }
    }
  g_array_sort (targets.fitting, compare_targets);
  return targets;
}

static void
write_target (const struct core_step *step, const struct plan_target *row, GString *out)
{
  struct core_target *target = row->target;
  int64_t free_cpu_milli = core_target_available_resources (target, true).cpu_milli;
  double score = core_target_score (target, step, core_target_rank_cpu (target, step));
  double adjusted = core_interference_adjust_score (target, step, score);
  struct fl_speed speed = fl_speed_at (&target->speed, target->core->now_ms);

  g_string_append_printf (
      out, "  %s: %" G_GINT64_FORMAT " tasks, speed %.0f %%, CPU milli free %" G_GINT64_FORMAT,
      target->entry.id.data, row->task_capacity, 100.0 / fl_speed_slowness (&speed),
      free_cpu_milli);
  if (score < 0)
    g_string_append_printf (out, ", time %.0f %% of that on an average idle target",
                            -100.0 * adjusted);
  if (adjusted < score)
    g_string_append (out, ", disturbed by its neighbours");
  if (fl_warm_up_is_cold (&target->warm_up, target->core->now_ms))
    g_string_append (out, ", cold");
  if (step->spec->rack.len > 0)
    g_string_append (out, core_target_has_label (target, &step->spec->rack)
                              ? ", on the rack of the data"
                              : ", not on the rack of the data");
  g_string_append_c (out, '\n');
}

static void
write_targets (const struct core_step *step, const struct plan_targets *targets, GString *out)
{
  g_string_append_printf (out, "  fits: %" G_GINT64_FORMAT " tasks on %u targets\n",
                          targets->task_capacity, targets->fitting->len);
  for (guint i = 0; i < MIN (targets->fitting->len, TARGETS_MAX); i++)
    write_target (step, &g_array_index (targets->fitting, struct plan_target, i), out);
  for (int i = CORE_TARGET_TAKES_TASKS + 1; i < CORE_TARGET_REASON_COUNT; i++)
    if (targets->others[i] > 0)
      g_string_append_printf (out, "  not: %u %s\n", targets->others[i], target_reasons[i]);
  if (targets->too_slow > 0)
    g_string_append_printf (out, "  not: %u so slow that a wait is shorter\n", targets->too_slow);
}

static void
write_advice (const struct core_job *job, GString *out)
{
  g_string_append (out, "  advice: only the advice service knows which of these are eligible; ");
  if (job->queue_stats->advice_replies > 0)
    g_string_append_printf (out, "learnt share %.0f %%\n",
                            100.0 * job->queue_stats->eligible_share);
  else
    g_string_append (out, "no share learnt yet\n");
}

/* The first of the gates of placement that @step does not pass, in the order in which wait reasons
 * are set. */
static const char *
get_outcome (const struct core_step *step, const struct plan_targets *targets)
{
  int64_t needed = step->spec->gang ? step->spec->count : 1;

  if (!core_step_is_due (step))
    return "waits for its start time";
  if (!core_team_has_capacity (step))
    return "waits for the limit of its team";
  if (!core_urgent_room_is_left (step))
    return "waits: urgent tasks that wait hold the room";
  if (targets->task_capacity < needed)
    return "waits for room";
  return step->job->queue.advice.required ? "queries advice, then starts on eligible targets"
                                          : "starts in its turn";
}

static void
write_step (const struct core_step *step, GString *out)
{
  const struct fl_step_spec *spec = step->spec;
  struct plan_targets targets = collect_targets (step);
  int64_t waiting;
  int64_t before = core_step_count_before (step, &waiting);

  g_string_append_printf (out,
                          "step %" G_GINT64_FORMAT ": %" G_GINT64_FORMAT
                          " tasks of CPU milli %" G_GINT64_FORMAT ", memory MB %" G_GINT64_FORMAT
                          ", GPUs %" G_GINT64_FORMAT "%s\n",
                          step->number, spec->count, spec->cpu_milli, spec->memory_mb, spec->gpu,
                          spec->gang ? ", as a gang" : "");
  g_string_append_printf (out, "  now: %s\n", get_outcome (step, &targets));
  g_string_append_printf (
      out, "  order: %" G_GINT64_FORMAT " of %" G_GINT64_FORMAT " waiting steps come first\n",
      before, waiting);
  write_targets (step, &targets, out);
  if (step->job->queue.advice.required)
    write_advice (step->job, out);
  g_array_unref (targets.fitting);
}

static void
write_steps (const struct planned_job *planned, GString *out)
{
  int written = 0;
  int first_steps = 0;

  for (size_t i = 0; i < planned->job.spec.steps.count; i++)
    {
      const struct core_step *step = &planned->occurrence->steps[i];
      if (step->spec->after.count > 0)
        continue;
      first_steps++;
      if (written == STEPS_MAX)
        continue;
      written++;
      write_step (step, out);
    }
  if (first_steps > written)
    g_string_append_printf (out, "and %d more first steps\n", first_steps - written);
}

bool
fl_core_plan_job (struct fl_core *core,
                  const struct fl_job_spec *spec,
                  GString *out,
                  struct fl_error *error)
{
  const struct fl_queue *queue;
  struct planned_job planned = { .has_own_team = false };

  if (core->configuration == NULL)
    return fl_fail (error, FL_UNAVAILABLE, "plan", NULL, "no configuration has been read yet");
  queue = fl_configuration_find_queue (core->configuration, &spec->queue);
  if (queue == NULL)
    return fl_fail (error, FL_NOT_FOUND, "plan", NULL, "no such queue: %s", spec->queue.data);
  struct saved_estimates saved = save_estimates (core);
  init_job (&planned, core, queue, spec);
  write_state (core, out);
  write_queue_and_team (&planned.job, out);
  write_class (planned.occurrence->steps, out);
  write_steps (&planned, out);
  clear_job (&planned);
  restore_estimates (core, &saved);
  return true;
}
