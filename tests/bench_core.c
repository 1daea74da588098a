/* Benchmark of the decisions: CPU time of a tick and of a placement by the number of targets and of
 * waiting steps. Prints one line for each case; `make bench` runs it beside an earlier version. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <glib.h>

#include "core/core.h"

enum
{
  TASKS_PER_STEP = 13,
  TARGET_CORES = 64,
  TASK_CPU_MILLI = 14000,
  TICK_MS = 4,
  TICKS = 100,
  ADVICE_MS = 20,
  MEASURED_PAIRS_MAX = 2000000 /* targets times waiting steps */
};

struct bench
{
  struct fl_core *core;
  struct fl_stats *stats;
  struct fl_log log;
  int64_t now_ms;
  int targets;
  GArray *starts;  /* struct fl_start_order whose replies are due */
  GArray *queries; /* struct query */
  size_t start_count;
  int advisors; /* queries in flight at the same time */
};

struct query
{
  struct fl_name step;
  GArray *targets; /* struct fl_name */
  int64_t due_ms;
};

/* --- orders of the core --- */

static void
on_start (void *context, const struct fl_start_order *order)
{
  struct bench *bench = context;

  bench->start_count++;
  g_array_append_val (bench->starts, *order);
}

static void
on_run_order (void *context, const struct fl_run_order *order)
{
  (void)context;
  (void)order;
}

static bool
on_query (void *context,
          const struct fl_name *step,
          const struct fl_name *targets,
          size_t count,
          const struct fl_advice_demand *demand)
{
  struct bench *bench = context;
  struct query query
      = { *step, g_array_new (FALSE, FALSE, sizeof *targets), bench->now_ms + ADVICE_MS };

  (void)demand;
  if ((int)bench->queries->len >= bench->advisors)
    {
      g_array_unref (query.targets);
      return false;
    }
  g_array_append_vals (query.targets, targets, (guint)count);
  g_array_append_val (bench->queries, query);
  return true;
}

static bool
may_query (void *context, const struct fl_advice_demand *demand)
{
  const struct bench *bench = context;

  (void)demand;
  return (int)bench->queries->len < bench->advisors;
}

/* --- the outside --- */

static void
report (struct bench *bench, int index)
{
  struct fl_name id = fl_name_format ("i-%08x", index * 7919);
  struct fl_target_report text = { .booted_at_ms = 1, .clock_ms = bench->now_ms };
  struct fl_order_reply reply = { .result = FL_ORDER_DONE, .report = &text };

  fl_core_handle_heartbeat_reply (bench->core, &id, &reply, bench->now_ms, bench->now_ms);
}

static void
add_targets (struct bench *bench)
{
  for (int i = 0; i < bench->targets; i++)
    {
      struct fl_target_entry entry
          = { .id = fl_name_format ("i-%08x", i * 7919),
              .service = fl_name_of ("s"),
              .address = fl_name_format ("10.1.%d.%d:80", i / 250, i % 250),
              .resources = { TARGET_CORES * 1000, 256000, 0 },
              .label_count = 2,
              .labels = { fl_name_of ("k"), fl_name_format ("r-%d", i / 12) } };
      fl_core_update_target (bench->core, &entry);
    }
  g_array_unref (fl_core_collect_target_list (bench->core));
  fl_core_finish_target_list (bench->core, true);
  for (int i = 0; i < bench->targets; i++)
    report (bench, i);
}

static void
add_job (struct bench *bench, int number)
{
  struct fl_step_spec step = { .count = TASKS_PER_STEP, .cpu_milli = TASK_CPU_MILLI };
  struct fl_job_spec spec = { .id = fl_name_format ("%016x", number),
                              .queue = fl_name_of ("q"),
                              .team = fl_name_format ("team-%d", number % 60),
                              .accepted_ms = bench->now_ms,
                              .text = fl_str_of ("x"),
                              .steps = { 1, g_memdup2 (&step, sizeof step) } };

  fl_core_add_job (bench->core, &spec, number + 1, NULL);
}

static void
reply_to_queries (struct bench *bench)
{
  for (guint i = bench->queries->len; i > 0; i--)
    {
      struct query query = g_array_index (bench->queries, struct query, i - 1);
      struct fl_advised_target eligible[FL_ADVICE_TARGETS_MAX];
      struct fl_advice_reply reply
          = { .received = true, .targets = eligible, .tickets_valid_ms = 2500 };
      if (query.due_ms > bench->now_ms)
        continue;
      for (guint j = 0; j < query.targets->len; j++)
        if (j % 3 != 0)
          eligible[reply.count++]
              = (struct fl_advised_target){ g_array_index (query.targets, struct fl_name, j),
                                            fl_name_of ("ticket") };
      fl_core_handle_advice_reply (bench->core, &query.step,
                                   (const struct fl_name *)query.targets->data, query.targets->len,
                                   &reply, bench->now_ms);
      g_array_unref (query.targets);
      g_array_remove_index_fast (bench->queries, i - 1);
    }
}

static void
confirm_starts (struct bench *bench)
{
  for (guint i = 0; i < bench->starts->len; i++)
    {
      const struct fl_start_order *order = &g_array_index (bench->starts, struct fl_start_order, i);
      fl_core_handle_start_reply (bench->core, &order->task, order->run, FL_ORDER_DONE,
                                  bench->now_ms);
    }
  g_array_set_size (bench->starts, 0);
}

static void
store_records (struct bench *bench)
{
  struct fl_core_record records[97];
  size_t count = fl_core_collect_records (bench->core, records, G_N_ELEMENTS (records));

  for (size_t i = 0; i < count; i++)
    fl_str_clear (&records[i].progress);
  if (count > 0)
    fl_core_finish_records (bench->core, true, bench->now_ms);
}

/* --- measurement --- */

static double
cpu_us (void)
{
  struct timespec time;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &time);
  return (double)time.tv_sec * 1e6 + (double)time.tv_nsec / 1e3;
}

static struct bench *
bench_new (int targets, bool needs_advice)
{
  struct bench *bench = g_new0 (struct bench, 1);
  struct fl_core_options options = {
    .log = &bench->log,
    .actions = { on_start, on_run_order, on_run_order, on_query, may_query },
    .context = bench,
    .fencing_token = 1,
    .target_lease_ms = 4500,
    .target_lease_max_ms = 6000,
  };
  struct fl_configuration *configuration = fl_configuration_new (1);
  struct fl_service service = { .name = fl_name_of ("s") };
  struct fl_queue queue = { .name = fl_name_of ("q"),
                            .service = fl_name_of ("s"),
                            .attempts_max = 4,
                            .stretch = 1.5,
                            .advice = { needs_advice, 5, 0.5, 2500 } };

  bench->stats = fl_stats_new ();
  options.stats = bench->stats;
  bench->targets = targets;
  bench->now_ms = 100000;
  bench->advisors = 30;
  bench->starts = g_array_new (FALSE, FALSE, sizeof (struct fl_start_order));
  bench->queries = g_array_new (FALSE, FALSE, sizeof (struct query));
  bench->core = fl_core_new (&options);
  fl_configuration_add_service (configuration, &service);
  fl_configuration_add_queue (configuration, &queue);
  for (int i = 0; i < 60; i++)
    {
      struct fl_team team = { fl_name_format ("team-%d", i), 1, { 0, 0, 0 } };
      fl_configuration_add_team (configuration, &team);
    }
  fl_core_configure (bench->core, configuration);
  fl_configuration_unref (configuration);
  fl_core_set_jobs_known (bench->core);
  add_targets (bench);
  return bench;
}

static void
bench_free (struct bench *bench)
{
  for (guint i = 0; i < bench->queries->len; i++)
    g_array_unref (g_array_index (bench->queries, struct query, i).targets);
  fl_core_free (bench->core);
  fl_stats_free (bench->stats);
  g_array_unref (bench->starts);
  g_array_unref (bench->queries);
  g_free (bench);
}

/* @return the CPU time of @ticks ticks with their records, in us. */
static double
run_ticks (struct bench *bench, int ticks)
{
  double spent = 0;

  for (int i = 0; i < ticks; i++)
    {
      bench->now_ms += TICK_MS;
      reply_to_queries (bench);
      double before = cpu_us ();
      fl_core_tick (bench->core, bench->now_ms, bench->now_ms);
      store_records (bench);
      spent += cpu_us () - before;
      confirm_starts (bench);
    }
  return spent;
}

/* Fills the targets with running tasks, then measures ticks while @waiting steps find no capacity.
 */
static void
measure (int targets, int waiting, bool needs_advice)
{
  struct bench *bench = bench_new (targets, needs_advice);
  int filling = targets * (TARGET_CORES * 1000 / TASK_CPU_MILLI) / TASKS_PER_STEP;
  int number = 0;
  double placing = 0;

  for (int i = 0; i < filling; i += 20)
    {
      for (int j = 0; j < 20; j++)
        add_job (bench, number++);
      placing += run_ticks (bench, 5);
    }
  placing += run_ticks (bench, 50);
  size_t placed = bench->start_count;
  for (int i = 0; i < waiting; i++)
    add_job (bench, number++);
  run_ticks (bench, 5);
  double full = run_ticks (bench, TICKS);
  printf (
      "advice=%d targets=%d waiting_steps=%d placed=%zu us_per_placement=%.1f us_per_tick=%.1f\n",
      needs_advice, targets, waiting, placed, placing / (double)MAX (placed, 1), full / TICKS);
  fflush (stdout);
  bench_free (bench);
}

/* Without arguments runs all cases; with the arguments ADVICE TARGETS WAITING_STEPS one of them. */
int
main (int argc, char **argv)
{
  static const int target_counts[] = { 48, 350, 1100, 1900, 10000 };
  static const int waiting_counts[] = { 10, 100, 1000 };

  if (argc == 4)
    {
      measure (atoi (argv[2]), atoi (argv[3]), atoi (argv[1]) != 0);
      return 0;
    }
  for (int advice = 0; advice < 2; advice++)
    for (size_t i = 0; i < G_N_ELEMENTS (target_counts); i++)
      for (size_t j = 0; j < G_N_ELEMENTS (waiting_counts); j++)
        if (target_counts[i] * waiting_counts[j] <= MEASURED_PAIRS_MAX)
          measure (target_counts[i], waiting_counts[j], advice != 0);
  return 0;
}
