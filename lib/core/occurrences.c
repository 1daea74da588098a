/* The times that the steps of a job run.
 *
 * Load pattern: jobs that run a thousand times, once a minute from an hour later on. An owner that
 * set up all their tasks at once had no memory left, and neither had its successors. An occurrence
 * is therefore set up when it is due, and freed when it has ended: since they are due in order, one
 * number tells which of those that are not set up have ended.
 *
 * Where more is due than memory holds, occurrences wait until others have ended: they could hardly
 * be started earlier, and an owner without memory starts none. */
#include "core/core_internal.h"

/* What a step takes beside its struct: two hash tables. */
#define STEP_TABLES_BYTES 400
/* What a job takes beside its struct and its steps: a hash table, an array and a key. */
#define JOB_TABLES_BYTES 500
/* The first occurrence of a job that takes no more does not wait for memory: small jobs are not
 * held up by large ones, nor jobs by the schedules of others. */
#define SMALL_BYTES 16384
/* Most ranges of steps that have ended in a record: they take 46 KB, and a row of the store 64 KB
 * with all else. */
#define ENDED_RANGES_MAX 7000

/* --- memory --- */

/* @return about what an occurrence of @job takes. */
static int64_t
count_bytes (const struct core_job *job)
{
  size_t bytes = sizeof (struct core_occurrence);

  for (size_t i = 0; i < job->spec.steps.count; i++)
    bytes += sizeof (struct core_step) + STEP_TABLES_BYTES
             + (size_t)fl_job_spec_get_step (&job->spec, i)->count * sizeof (struct core_task);
  return (int64_t)bytes;
}

int64_t
core_job_count_bytes (const struct core_job *job)
{
  int64_t first = count_bytes (job);
  size_t bytes = sizeof *job + JOB_TABLES_BYTES + job->spec.text.len;

  for (size_t i = 0; i < job->spec.steps.count; i++)
    {
      const struct fl_step_spec *step = fl_job_spec_get_step (&job->spec, i);
      bytes += sizeof *step + step->after.count * sizeof (struct fl_step_dependency);
    }
  return (int64_t)bytes + (first <= SMALL_BYTES ? first : 0);
}

static void
step_init (struct core_step *step, struct core_occurrence *occurrence, int64_t number)
{
  struct core_job *job = occurrence->job;

  step->job = job;
  step->occurrence = occurrence;
  step->spec = fl_job_spec_get_step (&job->spec, (size_t)number);
  step->run_class
      = fl_run_times_get_class (job->core->run_times, &job->spec.queue, &step->spec->image);
  core_interference_classify (step);
  step->number = number;
  if (job->spec.repeat_count > 0)
    step->due_wall_ms = job->spec.start_at_ms + occurrence->number * job->spec.interval_ms;
  step->tasks = g_new0 (struct core_task, (size_t)step->spec->count);
  step->unfinished_tasks = step->spec->count;
  step->advice = g_hash_table_new_full (fl_name_hash, fl_name_equal, NULL, g_free);
  step->unanswered = g_hash_table_new_full (fl_name_hash, fl_name_equal, g_free, NULL);
  for (int64_t i = 0; i < step->spec->count; i++)
    {
      step->tasks[i].step = step;
      step->tasks[i].index = i;
      step->tasks[i].crash_link.data = &step->tasks[i];
      if (job->record_tells_runs)
        step->tasks[i].earlier_run = CORE_EARLIER_RUN_NONE;
    }
}

static void
step_clear (struct core_step *step)
{
  for (int64_t i = 0; i < step->spec->count; i++)
    {
      fl_str_clear (&step->tasks[i].checkpoint);
      if (step->tasks[i].failed_runs != NULL)
        g_array_unref (step->tasks[i].failed_runs);
      core_crash_free_task (&step->tasks[i]);
    }
  g_free (step->tasks);
  g_hash_table_destroy (step->advice);
  g_hash_table_destroy (step->unanswered);
  if (step->queried_targets != NULL)
    g_array_unref (step->queried_targets);
}

struct core_occurrence *
core_occurrence_new (struct core_job *job, int64_t number)
{
  size_t count = job->spec.steps.count;
  struct core_occurrence *occurrence
      = g_malloc0 (sizeof *occurrence + count * sizeof occurrence->steps[0]);

  occurrence->job = job;
  occurrence->number = number;
  occurrence->unfinished_steps = (int64_t)count;
  for (size_t i = 1; i < count; i++)
    occurrence->steps[i - 1].next = &occurrence->steps[i];
  return occurrence;
}

static struct core_occurrence *
occurrence_new (struct core_job *job, int64_t number)
{
  struct core_occurrence *occurrence = core_occurrence_new (job, number);

  for (size_t i = 0; i < job->spec.steps.count; i++)
    step_init (&occurrence->steps[i], occurrence, (int64_t)i);
  job->core->set_up_bytes += count_bytes (job);
  return occurrence;
}

static void
occurrence_free (void *data)
{
  struct core_occurrence *occurrence = data;

  for (size_t i = 0; i < occurrence->job->spec.steps.count; i++)
    step_clear (&occurrence->steps[i]);
  occurrence->job->core->set_up_bytes -= count_bytes (occurrence->job);
  g_free (occurrence);
}

GPtrArray *
core_occurrences_new (void)
{
  return g_ptr_array_new_with_free_func (occurrence_free);
}

/* Whether there is memory for the next occurrence of @job. One that takes most of it need not wait
 * until all is free. */
static bool
has_memory (const struct core_job *job)
{
  const struct fl_core *core = job->core;
  int64_t max = core->options.set_up_bytes_max;
  int64_t bytes = count_bytes (job);

  return max == 0 || core->set_up_bytes + MIN (bytes, max / 2) <= max
         || (job->occurrences->len == 0 && bytes <= SMALL_BYTES);
}

/* --- search --- */

static struct core_occurrence *
get_occurrence (const struct core_job *job, guint position)
{
  return g_ptr_array_index (job->occurrences, position);
}

/* @return the position of the first occurrence that is set up, from @number on. */
static guint
find_position (const struct core_job *job, int64_t number)
{
  guint first = 0;
  guint end = job->occurrences->len;

  while (first < end)
    {
      guint middle = first + (end - first) / 2;
      if (get_occurrence (job, middle)->number < number)
        first = middle + 1;
      else
        end = middle;
    }
  return first;
}

static struct core_occurrence *
find_occurrence (const struct core_job *job, int64_t number)
{
  guint position = find_position (job, number);

  if (position == job->occurrences->len || get_occurrence (job, position)->number != number)
    return NULL;
  return get_occurrence (job, position);
}

/* Links the steps on both sides of @position. */
static void
link_steps (struct core_job *job, guint position)
{
  struct core_step *first
      = position < job->occurrences->len ? get_occurrence (job, position)->steps : NULL;

  if (position == 0)
    job->first_step = first;
  else
    get_occurrence (job, position - 1)->steps[job->spec.steps.count - 1].next = first;
}

static void
insert_occurrence (struct core_job *job, struct core_occurrence *occurrence)
{
  guint position = find_position (job, occurrence->number);

  g_ptr_array_insert (job->occurrences, (gint)position, occurrence);
  link_steps (job, position);
  link_steps (job, position + 1);
}

static void
remove_occurrence (struct core_job *job, guint position)
{
  g_ptr_array_remove_index (job->occurrences, position);
  link_steps (job, position);
}

static bool
has_step (const struct core_job *job, int64_t occurrence, int64_t number)
{
  return occurrence >= 0 && occurrence < fl_job_spec_count_occurrences (&job->spec) && number >= 0
         && number < (int64_t)job->spec.steps.count;
}

struct core_step *
core_job_find_step (const struct core_job *job, int64_t occurrence, int64_t number)
{
  struct core_occurrence *found
      = has_step (job, occurrence, number) ? find_occurrence (job, occurrence) : NULL;

  return found != NULL ? &found->steps[number] : NULL;
}

/* --- set-up --- */

static void
set_up_next (struct core_job *job)
{
  struct core_occurrence *occurrence = occurrence_new (job, job->next_occurrence++);

  insert_occurrence (job, occurrence);
  for (size_t i = 0; i < job->spec.steps.count; i++)
    core_step_add_idle_tasks (&occurrence->steps[i], occurrence->steps[i].unfinished_tasks);
}

static struct core_occurrence *
set_up_ended (struct core_job *job, int64_t number)
{
  struct core_occurrence *occurrence = occurrence_new (job, number);

  occurrence->unfinished_steps = 0;
  for (size_t i = 0; i < job->spec.steps.count; i++)
    {
      struct core_step *step = &occurrence->steps[i];
      step->unfinished_tasks = 0;
      for (int64_t j = 0; j < step->spec->count; j++)
        step->tasks[j].done = true;
    }
  insert_occurrence (job, occurrence);
  core_occurrence_note_end (occurrence);
  return occurrence;
}

struct core_step *
core_job_require_step (struct core_job *job, int64_t occurrence, int64_t number)
{
  struct core_occurrence *found;

  if (!has_step (job, occurrence, number))
    return NULL;
  while (job->next_occurrence <= occurrence)
    set_up_next (job);
  found = find_occurrence (job, occurrence);
  if (found == NULL)
    found = set_up_ended (job, occurrence);
  return &found->steps[number];
}

static int64_t
next_due_wall_ms (const struct core_job *job)
{
  return job->spec.repeat_count > 0
             ? job->spec.start_at_ms + job->next_occurrence * job->spec.interval_ms
             : 0;
}

/* Whether @job has occurrences that are not set up and have not ended. */
static bool
has_later_occurrences (const struct core_job *job)
{
  return !fl_job_state_is_final (job->state)
         && job->next_occurrence < fl_job_spec_count_occurrences (&job->spec);
}

/* Sets up one occurrence of each job that has one due and memory for it.
 * @return whether there may be more. */
static bool
set_up_one_of_each (struct fl_core *core)
{
  GList *link = core->scheduled_jobs.head;
  int64_t waiting = 0;
  bool is_any = false;

  core->next_due_wall_ms = INT64_MAX;
  while (link != NULL)
    {
      struct core_job *job = link->data;
      bool is_due = has_later_occurrences (job) && next_due_wall_ms (job) <= core->wall_ms;
      link = link->next;
      if (is_due && has_memory (job))
        {
          set_up_next (job);
          is_any = true;
        }
      else if (is_due)
        waiting++;
      core_queue_set_member (&core->scheduled_jobs, &job->scheduled_link, &job->in_scheduled,
                             has_later_occurrences (job));
      if (job->in_scheduled)
        core->next_due_wall_ms = MIN (core->next_due_wall_ms, next_due_wall_ms (job));
    }
  fl_stats_set (core->options.stats, "jobs_waiting_for_memory", waiting);
  return is_any && core->next_due_wall_ms <= core->wall_ms;
}

static void
set_up_due (struct fl_core *core)
{
  bool is_due = core->wall_ms >= core->next_due_wall_ms;

  while (is_due)
    is_due = set_up_one_of_each (core);
}

static int64_t
count_due (const struct core_job *job)
{
  int64_t left = fl_job_spec_count_occurrences (&job->spec) - job->next_occurrence;
  int64_t late_ms = job->core->wall_ms - next_due_wall_ms (job);

  if (late_ms < 0)
    return 0;
  return job->spec.interval_ms > 0 ? MIN (left, late_ms / job->spec.interval_ms + 1) : left;
}

void
core_job_charge_due (const struct core_job *job)
{
  struct fl_resources *resources = &job->team->unreconciled;
  int64_t due = count_due (job);

  for (size_t i = 0; i < job->spec.steps.count && due > 0; i++)
    {
      const struct fl_step_spec *step = fl_job_spec_get_step (&job->spec, i);
      resources->cpu_milli += due * step->count * step->cpu_milli;
      resources->memory_mb += due * step->count * step->memory_mb;
      resources->gpu += due * step->count * step->gpu;
    }
}

void
core_occurrences_charge_unreconciled (struct fl_core *core)
{
  for (const GList *link = core->scheduled_jobs.head; link != NULL; link = link->next)
    {
      struct core_job *job = link->data;
      if (has_later_occurrences (job) && core_job_is_unreconciled (job))
        core_job_charge_due (job);
    }
}

/* --- ends --- */

void
core_occurrence_note_end (struct core_occurrence *occurrence)
{
  struct core_job *job = occurrence->job;

  core_queue_set_member (&job->core->ended_jobs, &job->ended_link, &job->in_ended,
                         job->spec.repeat_count > 0);
}

void
core_step_count_done (struct core_step *step)
{
  if (--step->unfinished_tasks > 0)
    return;
  step->job->unfinished_steps--;
  if (--step->occurrence->unfinished_steps == 0)
    core_occurrence_note_end (step->occurrence);
}

/* Tasks that are done may have runs that are being stopped. */
static bool
has_runs (const struct core_occurrence *occurrence)
{
  for (size_t i = 0; i < occurrence->job->spec.steps.count; i++)
    for (int64_t j = 0; j < occurrence->steps[i].spec->count; j++)
      if (occurrence->steps[i].tasks[j].run != NULL)
        return true;
  return false;
}

/* @return whether no occurrence that has ended is left. */
static bool
free_ended_of_job (struct core_job *job)
{
  bool is_empty = true;

  for (guint i = job->occurrences->len; i > 0; i--)
    {
      struct core_occurrence *occurrence = get_occurrence (job, i - 1);
      if (occurrence->unfinished_steps > 0)
        continue;
      if (has_runs (occurrence))
        {
          is_empty = false;
          continue;
        }
      for (size_t j = 0; j < job->spec.steps.count; j++)
        core_advice_abandon_query (&occurrence->steps[j]);
      remove_occurrence (job, i - 1);
    }
  return is_empty;
}

static void
free_ended (struct fl_core *core)
{
  GList *link = core->ended_jobs.head;

  while (link != NULL)
    {
      struct core_job *job = link->data;
      link = link->next;
      /* A job in its final state is freed as a whole. */
      if (fl_job_state_is_final (job->state) || free_ended_of_job (job))
        core_queue_set_member (&core->ended_jobs, &job->ended_link, &job->in_ended, false);
    }
}

void
core_occurrences_tick (struct fl_core *core)
{
  free_ended (core);
  set_up_due (core);
}

/* --- jobs --- */

void
core_occurrences_init_job (struct core_job *job)
{
  struct fl_core *core = job->core;

  if (job->spec.repeat_count == 0 && has_later_occurrences (job) && has_memory (job))
    set_up_next (job);
  core_queue_set_member (&core->scheduled_jobs, &job->scheduled_link, &job->in_scheduled,
                         has_later_occurrences (job));
  if (job->in_scheduled)
    core->next_due_wall_ms = 0;
}

void
core_occurrences_clear_job (struct core_job *job)
{
  struct fl_core *core = job->core;

  core_queue_set_member (&core->scheduled_jobs, &job->scheduled_link, &job->in_scheduled, false);
  core_queue_set_member (&core->ended_jobs, &job->ended_link, &job->in_ended, false);
  g_ptr_array_unref (job->occurrences);
}

/* --- records --- */

void
core_task_apply_done (struct core_task *task)
{
  if (task->done)
    return;
  task->done = true;
  core_step_add_idle_tasks (task->step, -1);
  core_step_count_done (task->step);
}

static void
apply_ended (struct core_job *job, int64_t number)
{
  while (job->next_occurrence < number)
    set_up_next (job);
  if (job->next_occurrence > number)
    return;
  job->next_occurrence++;
  job->unfinished_steps -= (int64_t)job->spec.steps.count;
}

void
core_job_apply_ended (struct core_job *job, const struct fl_job_progress *progress)
{
  const struct fl_ended_range *ranges = progress->ended.ranges.items;
  int64_t count = fl_job_spec_count_occurrences (&job->spec);

  for (size_t i = 0; i < progress->ended.ranges.count; i++)
    for (int64_t j = 0; j < ranges[i].count && ranges[i].first + j < count; j++)
      apply_ended (job, ranges[i].first + j);
}

static void
apply_range (struct core_job *job, const struct fl_done_range *range)
{
  struct core_step *step = core_job_require_step (job, range->occurrence, range->step);

  for (int64_t i = range->first;
       step != NULL && i < MIN (range->first + range->count, step->spec->count); i++)
    core_task_apply_done (&step->tasks[i]);
}

void
core_job_apply_done (struct core_job *job, const struct fl_job_progress *progress)
{
  const struct fl_done_range *ranges = progress->done.items;

  for (size_t i = 0; i < progress->done.count; i++)
    {
      /* Most occurrences of a long schedule have ended: they are not kept for the next tick. */
      if (i > 0 && ranges[i].occurrence != ranges[i - 1].occurrence)
        free_ended_of_job (job);
      apply_range (job, &ranges[i]);
    }
}

static void
append_step_ranges (const struct core_step *step, GArray *ranges)
{
  struct fl_done_range range = { .occurrence = step->occurrence->number, .step = step->number };

  for (int64_t i = 0; i <= step->spec->count; i++)
    {
      bool is_done = i < step->spec->count && step->tasks[i].done;
      if (is_done && range.count == 0)
        range.first = i;
      if (is_done)
        range.count++;
      else if (range.count > 0)
        {
          g_array_append_val (ranges, range);
          range.count = 0;
        }
    }
}

static void
append_ended (GArray *ended, int64_t number)
{
  struct fl_ended_range range = { number, 1 };
  struct fl_ended_range *last
      = ended->len > 0 ? &g_array_index (ended, struct fl_ended_range, ended->len - 1) : NULL;

  if (last != NULL && last->first + last->count == number)
    last->count++;
  else
    g_array_append_val (ended, range);
}

static void
append_all_ranges (const struct core_job *job, int64_t number, GArray *ranges)
{
  for (size_t i = 0; i < job->spec.steps.count; i++)
    {
      struct fl_done_range all
          = { number, (int64_t)i, 0, fl_job_spec_get_step (&job->spec, i)->count };
      g_array_append_val (ranges, all);
    }
}

void
core_job_collect_done (const struct core_job *job, bool prefers_ended, GArray *done, GArray *ended)
{
  size_t steps = job->spec.steps.count;
  int64_t ended_count = job->next_occurrence - job->occurrences->len;
  bool is_long = prefers_ended || ended_count * (int64_t)steps > ENDED_RANGES_MAX;
  guint position = 0;

  for (int64_t number = 0; number < job->next_occurrence; number++)
    {
      const struct core_occurrence *occurrence
          = position < job->occurrences->len ? get_occurrence (job, position) : NULL;
      if (occurrence != NULL && occurrence->number == number)
        {
          position++;
          for (size_t i = 0; i < steps; i++)
            append_step_ranges (&occurrence->steps[i], done);
        }
      else if (is_long)
        append_ended (ended, number);
      else
        append_all_ranges (job, number, done);
    }
}
