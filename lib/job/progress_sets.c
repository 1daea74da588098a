#include "job/progress_sets.h"

#include <string.h>

#include "job/task_set.h"

/* Most rows that the sets of one kind expand to: a task has few failed runs and crashes, and a
 * corrupted record could claim all tasks in each set. */
#define EXPANDED_MAX (4 * (int64_t)FL_JOB_TASKS_MAX)

/* --- numbers of tasks --- */

struct numbering
{
  size_t steps;
  int64_t first[FL_STEPS_MAX + 1]; /* of each step in the first occurrence; the last: all tasks */
  int64_t total;                   /* of all occurrences */
};

static struct numbering
get_numbering (const struct fl_job_spec *spec)
{
  struct numbering numbering = { .steps = MIN (spec->steps.count, FL_STEPS_MAX) };

  for (size_t i = 0; i < numbering.steps; i++)
    numbering.first[i + 1] = numbering.first[i] + fl_job_spec_get_step (spec, i)->count;
  numbering.total = numbering.first[numbering.steps] * fl_job_spec_count_occurrences (spec);
  return numbering;
}

static int64_t
get_number (const struct numbering *numbering, int64_t occurrence, int64_t step, int64_t index)
{
  return occurrence * numbering->first[numbering->steps] + numbering->first[step] + index;
}

/* Sets @occurrence, @step and @index of the task @number. @return the tasks from it to the last of
 * its step. */
static int64_t
find_task (const struct numbering *numbering,
           int64_t number,
           int64_t *occurrence,
           int64_t *step,
           int64_t *index)
{
  int64_t tasks = MAX (numbering->first[numbering->steps], 1);
  int64_t rest = number % tasks;

  *occurrence = number / tasks;
  *step = 0;
  while (numbering->first[*step + 1] <= rest)
    *step += 1;
  *index = rest - numbering->first[*step];
  return numbering->first[*step + 1] - rest;
}

/* --- rows to sets --- */

/* What the tasks of a set have in common; unused values are 0. */
#define KEY_VALUES 5
struct set_key
{
  int64_t values[KEY_VALUES];
};

struct keyed_range
{
  guint key; /* index in keys of the builder */
  struct fl_task_range range;
};

struct builder
{
  GArray *keys;        /* struct set_key */
  GHashTable *indices; /* struct set_key -> its index in keys, from 1 */
  GArray *ranges;      /* struct keyed_range */
};

static guint
hash_key (gconstpointer key)
{
  const struct set_key *set_key = key;
  guint hash = 0;

  for (int i = 0; i < KEY_VALUES; i++)
    hash = hash * 31 + g_int64_hash (&set_key->values[i]);
  return hash;
}

static gboolean
keys_are_equal (gconstpointer a, gconstpointer b)
{
  return memcmp (a, b, sizeof (struct set_key)) == 0;
}

static void
builder_init (struct builder *builder)
{
  builder->keys = g_array_new (FALSE, FALSE, sizeof (struct set_key));
  builder->indices = g_hash_table_new_full (hash_key, keys_are_equal, g_free, NULL);
  builder->ranges = g_array_new (FALSE, FALSE, sizeof (struct keyed_range));
}

static void
builder_clear (struct builder *builder)
{
  g_array_unref (builder->keys);
  g_hash_table_unref (builder->indices);
  g_array_unref (builder->ranges);
}

static void
builder_add (struct builder *builder, const struct set_key *key, int64_t first, int64_t count)
{
  guint index = GPOINTER_TO_UINT (g_hash_table_lookup (builder->indices, key));

  if (index == 0)
    {
      g_array_append_vals (builder->keys, key, 1);
      index = builder->keys->len;
      g_hash_table_insert (builder->indices, g_memdup2 (key, sizeof *key),
                           GUINT_TO_POINTER (index));
    }
  struct keyed_range row = { index - 1, { first, count } };
  g_array_append_val (builder->ranges, row);
}

static gint
compare_ranges (gconstpointer a, gconstpointer b)
{
  const struct keyed_range *x = a;
  const struct keyed_range *y = b;

  if (x->key != y->key)
    return x->key < y->key ? -1 : 1;
  return x->range.first < y->range.first ? -1 : x->range.first > y->range.first;
}

/* Reads the set of the key @index from the sorted ranges, of which *@at is the first of it, and
 * advances @at to that of the next one. */
static struct fl_str
builder_encode (const struct builder *builder, guint index, guint *at)
{
  g_autoptr (GArray) ranges = g_array_new (FALSE, FALSE, sizeof (struct fl_task_range));

  for (; *at < builder->ranges->len; *at += 1)
    {
      const struct keyed_range *row = &g_array_index (builder->ranges, struct keyed_range, *at);
      struct fl_task_range *last
          = ranges->len > 0 ? &g_array_index (ranges, struct fl_task_range, ranges->len - 1) : NULL;
      if (row->key != index)
        break;
      if (last != NULL && row->range.first <= last->first + last->count)
        last->count = MAX (last->count, row->range.first + row->range.count - last->first);
      else
        g_array_append_val (ranges, row->range);
    }
  return fl_task_set_encode (ranges);
}

static void
sort_ranges (struct builder *builder)
{
  g_array_sort (builder->ranges, compare_ranges);
}

static struct fl_str
make_done (const struct fl_job_progress *progress, const struct numbering *numbering)
{
  const struct fl_done_range *rows = progress->done.items;
  const struct set_key key = { { 0 } };
  struct builder builder;
  guint at = 0;

  builder_init (&builder);
  for (size_t i = 0; i < progress->done.count; i++)
    builder_add (&builder, &key,
                 get_number (numbering, rows[i].occurrence, rows[i].step, rows[i].first),
                 rows[i].count);
  sort_ranges (&builder);
  struct fl_str set = builder_encode (&builder, 0, &at);
  builder_clear (&builder);
  return set;
}

static struct fl_array
make_failed (const struct fl_job_progress *progress, const struct numbering *numbering)
{
  const struct fl_task_progress *rows = progress->tasks.items;
  struct builder builder;
  guint at = 0;

  builder_init (&builder);
  for (size_t i = 0; i < progress->tasks.count; i++)
    for (size_t j = 0; j < rows[i].failed_runs.count; j++)
      {
        const struct fl_failed_run *run = (const struct fl_failed_run *)rows[i].failed_runs.items;
        struct set_key key = { { run[j].run } };
        builder_add (&builder, &key,
                     get_number (numbering, rows[i].occurrence, rows[i].step, rows[i].index), 1);
      }
  sort_ranges (&builder);
  struct fl_run_set *sets = g_new0 (struct fl_run_set, MAX (builder.keys->len, 1));
  struct fl_array array = { builder.keys->len, sets };
  for (guint i = 0; i < builder.keys->len; i++)
    sets[i] = (struct fl_run_set){ g_array_index (builder.keys, struct set_key, i).values[0],
                                   builder_encode (&builder, i, &at) };
  builder_clear (&builder);
  return array;
}

static struct fl_array
make_crashes (const struct fl_job_progress *progress, const struct numbering *numbering)
{
  const struct fl_task_crashes *rows = progress->crashes.tasks.items;
  struct builder builder;
  guint at = 0;

  builder_init (&builder);
  for (size_t i = 0; i < progress->crashes.tasks.count; i++)
    for (size_t j = 0; j < rows[i].runs.count; j++)
      {
        const struct fl_crashed_run *run = (const struct fl_crashed_run *)rows[i].runs.items + j;
        struct set_key key
            = { { run->run, run->state, run->target, run->address, run->booted_at_ms } };
        builder_add (&builder, &key,
                     get_number (numbering, rows[i].occurrence, rows[i].step, rows[i].index), 1);
      }
  sort_ranges (&builder);
  struct fl_crash_set *sets = g_new0 (struct fl_crash_set, MAX (builder.keys->len, 1));
  struct fl_array array = { builder.keys->len, sets };
  for (guint i = 0; i < builder.keys->len; i++)
    {
      const int64_t *values = g_array_index (builder.keys, struct set_key, i).values;
      sets[i]
          = (struct fl_crash_set){ values[0], (int)values[1], values[2],
                                   values[3], values[4],      builder_encode (&builder, i, &at) };
    }
  builder_clear (&builder);
  return array;
}

static struct fl_array
make_targets (const struct fl_job_progress *progress, const struct numbering *numbering)
{
  const struct fl_step_targets *rows = progress->task_targets.steps.items;
  struct builder builder;
  guint at = 0;

  builder_init (&builder);
  for (size_t i = 0; i < progress->task_targets.steps.count; i++)
    for (size_t j = 0; j < rows[i].tasks.count; j++)
      {
        const struct fl_task_target *task = (const struct fl_task_target *)rows[i].tasks.items + j;
        struct set_key key = { { task->target } };
        if (task->target != FL_TASK_TARGET_NONE)
          builder_add (&builder, &key,
                       get_number (numbering, rows[i].occurrence, rows[i].step, (int64_t)j), 1);
      }
  sort_ranges (&builder);
  struct fl_target_set *sets = g_new0 (struct fl_target_set, MAX (builder.keys->len, 1));
  struct fl_array array = { builder.keys->len, sets };
  for (guint i = 0; i < builder.keys->len; i++)
    sets[i] = (struct fl_target_set){ g_array_index (builder.keys, struct set_key, i).values[0],
                                      builder_encode (&builder, i, &at) };
  builder_clear (&builder);
  return array;
}

struct fl_progress_sets
fl_progress_sets_make (const struct fl_job_progress *progress, const struct fl_job_spec *spec)
{
  struct numbering numbering = get_numbering (spec);

  return (struct fl_progress_sets){
    .done = make_done (progress, &numbering),
    .failed = make_failed (progress, &numbering),
    .crashes = make_crashes (progress, &numbering),
    .fencing_token = progress->task_targets.fencing_token,
    .targets = make_targets (progress, &numbering),
    .is_present = true,
  };
}

/* --- sets to rows --- */

/* Calls @add for the tasks of @set, in parts that are of one step each. @return false, possibly
 * after some, if @set is malformed, or *@budget of tasks is used up. */
static bool
expand (const struct fl_str *set,
        const struct numbering *numbering,
        int64_t *budget,
        void (*add) (void *context, int64_t occurrence, int64_t step, int64_t first, int64_t count),
        void *context)
{
  g_autoptr (GArray) ranges = g_array_new (FALSE, FALSE, sizeof (struct fl_task_range));

  if (!fl_task_set_decode (set, numbering->total, ranges))
    return false;
  for (guint i = 0; i < ranges->len; i++)
    {
      struct fl_task_range range = g_array_index (ranges, struct fl_task_range, i);
      *budget -= range.count;
      if (*budget < 0)
        return false;
      while (range.count > 0)
        {
          int64_t occurrence;
          int64_t step;
          int64_t index;
          int64_t left = find_task (numbering, range.first, &occurrence, &step, &index);
          int64_t count = MIN (left, range.count);
          add (context, occurrence, step, index, count);
          range.first += count;
          range.count -= count;
        }
    }
  return true;
}

/* Takes the rows of @array as items of a progress. */
static struct fl_array
take_rows (GArray *array)
{
  guint count = array->len;

  return (struct fl_array){ count, g_array_free (array, FALSE) };
}

static void
add_done (void *context, int64_t occurrence, int64_t step, int64_t first, int64_t count)
{
  struct fl_done_range row = { occurrence, step, first, count };

  g_array_append_val ((GArray *)context, row);
}

struct failed_rows
{
  GArray *rows; /* struct fl_task_progress */
  int64_t run;
};

static void
add_failed (void *context, int64_t occurrence, int64_t step, int64_t first, int64_t count)
{
  struct failed_rows *failed = context;

  for (int64_t i = 0; i < count; i++)
    {
      struct fl_failed_run *run = g_new (struct fl_failed_run, 1);
      *run = (struct fl_failed_run){ failed->run };
      struct fl_task_progress row = {
        .occurrence = occurrence, .step = step, .index = first + i, .failed_runs = { 1, run }
      };
      g_array_append_val (failed->rows, row);
    }
}

struct crash_rows
{
  GArray *rows; /* struct fl_task_crashes, one for each run */
  struct fl_crashed_run run;
};

static void
add_crashes (void *context, int64_t occurrence, int64_t step, int64_t first, int64_t count)
{
  struct crash_rows *crashes = context;

  for (int64_t i = 0; i < count; i++)
    {
      struct fl_task_crashes row
          = { occurrence, step, first + i, { 1, g_memdup2 (&crashes->run, sizeof crashes->run) } };
      g_array_append_val (crashes->rows, row);
    }
}

struct target_rows
{
  const struct fl_job_spec *spec;
  GHashTable *indices; /* number of the first task of a step -> index of its row, from 1 */
  const struct numbering *numbering;
  GArray *rows; /* struct fl_step_targets */
  int64_t target;
};

static struct fl_step_targets *
require_step_row (struct target_rows *targets, int64_t occurrence, int64_t step)
{
  gpointer key = GSIZE_TO_POINTER (get_number (targets->numbering, occurrence, step, 0));
  guint index = GPOINTER_TO_UINT (g_hash_table_lookup (targets->indices, key));

  if (index == 0)
    {
      size_t count = (size_t)fl_job_spec_get_step (targets->spec, (size_t)step)->count;
      struct fl_step_targets row
          = { occurrence, step, { count, g_new0 (struct fl_task_target, count) } };
      g_array_append_val (targets->rows, row);
      index = targets->rows->len;
      g_hash_table_insert (targets->indices, key, GUINT_TO_POINTER (index));
    }
  return &g_array_index (targets->rows, struct fl_step_targets, index - 1);
}

static void
add_targets (void *context, int64_t occurrence, int64_t step, int64_t first, int64_t count)
{
  struct target_rows *targets = context;
  struct fl_task_target *tasks = require_step_row (targets, occurrence, step)->tasks.items;

  for (int64_t i = first; i < first + count; i++)
    tasks[i].target = targets->target;
}

static void
expand_done (const struct fl_progress_sets *sets,
             const struct numbering *numbering,
             struct fl_job_progress *rows)
{
  GArray *done = g_array_new (FALSE, FALSE, sizeof (struct fl_done_range));
  int64_t budget = EXPANDED_MAX;

  expand (&sets->done, numbering, &budget, add_done, done);
  rows->done = take_rows (done);
}

static void
expand_failed (const struct fl_progress_sets *sets,
               const struct numbering *numbering,
               struct fl_job_progress *rows)
{
  const struct fl_run_set *items = sets->failed.items;
  struct failed_rows failed = { g_array_new (FALSE, FALSE, sizeof (struct fl_task_progress)), 0 };
  int64_t budget = EXPANDED_MAX;

  for (size_t i = 0; i < sets->failed.count; i++)
    {
      failed.run = items[i].run;
      if (!expand (&items[i].tasks, numbering, &budget, add_failed, &failed))
        break;
    }
  rows->tasks = take_rows (failed.rows);
}

static void
expand_crashes (const struct fl_progress_sets *sets,
                const struct numbering *numbering,
                struct fl_job_progress *rows)
{
  const struct fl_crash_set *items = sets->crashes.items;
  struct crash_rows crashes
      = { .rows = g_array_new (FALSE, FALSE, sizeof (struct fl_task_crashes)) };
  int64_t budget = EXPANDED_MAX;

  for (size_t i = 0; i < sets->crashes.count; i++)
    {
      crashes.run = (struct fl_crashed_run){ items[i].run, items[i].state, items[i].target,
                                             items[i].address, items[i].booted_at_ms };
      if (!expand (&items[i].tasks, numbering, &budget, add_crashes, &crashes))
        break;
    }
  rows->crashes.tasks = take_rows (crashes.rows);
}

static void
expand_targets (const struct fl_progress_sets *sets,
                const struct fl_job_spec *spec,
                const struct numbering *numbering,
                struct fl_job_progress *rows)
{
  const struct fl_target_set *items = sets->targets.items;
  g_autoptr (GHashTable) indices = g_hash_table_new (NULL, NULL);
  struct target_rows targets = { .spec = spec, .indices = indices, .numbering = numbering };
  int64_t budget = EXPANDED_MAX;

  targets.rows = g_array_new (FALSE, FALSE, sizeof (struct fl_step_targets));
  for (size_t i = 0; i < sets->targets.count; i++)
    {
      targets.target = items[i].target;
      if (!expand (&items[i].tasks, numbering, &budget, add_targets, &targets))
        break;
    }
  rows->task_targets.fencing_token = sets->fencing_token;
  rows->task_targets.steps = take_rows (targets.rows);
}

void
fl_job_progress_expand_sets (const struct fl_job_progress *progress,
                             const struct fl_job_spec *spec,
                             struct fl_job_progress *rows)
{
  struct numbering numbering = get_numbering (spec);

  memset (rows, 0, sizeof *rows);
  expand_done (&progress->sets, &numbering, rows);
  expand_failed (&progress->sets, &numbering, rows);
  expand_crashes (&progress->sets, &numbering, rows);
  expand_targets (&progress->sets, spec, &numbering, rows);
}
