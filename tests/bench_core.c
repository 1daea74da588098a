/* Benchmark of the decisions: CPU time of a tick and of a placement by the number of targets and of
 * waiting steps, and that of all that an owner does in a burst but for its sockets. Prints one line
 * for each case; `make bench` runs it beside an earlier version. */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <fcntl.h>
#include <glib.h>
#include <unistd.h>

#include "core/core.h"
#include "forward/message.h"

enum
{
  TASKS_PER_STEP = 13,
  TARGET_CORES = 64,
  TASK_CPU_MILLI = 14000,
  TICK_MS = 4,
  TICKS = 100,
  ADVICE_MS = 20,
  MEASURED_PAIRS_MAX = 2000000, /* targets times waiting steps */
  BURST_TARGETS = 350,
  BURST_WAITING_STEPS = 1000,
  BURST_TASK_CPU_MILLI = 2500,
  BURST_RUN_MS = 2700, /* of 8,750 tasks, some 3,000 then end in a second */
  BURST_HEARTBEAT_MS = 300,
  BURST_WARM_UP_TICKS = 1500,
  BURST_TICKS = 1350,
  BURST_LOG_LINES = 100000,
  SCHEDULED_JOBS = 60,
  SCHEDULED_STEPS = 3,
  SCHEDULED_TASKS = 4,
  SCHEDULED_TIMES = 1000
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
  int64_t task_cpu_milli;
  struct burst *burst; /* NULL for the other cases */
};

struct query
{
  struct fl_name step;
  GArray *targets; /* struct fl_name */
  int64_t due_ms;
};

/* A run on a target of the burst. */
struct running
{
  struct fl_name task;
  int64_t run;
  int64_t ends_at_ms;
};

struct burst_target
{
  GArray *running;
  int64_t next_report_ms;
  int64_t ends;
};

/* Numbers of events in the measured time, and the CPU time that each kind took, in us. */
struct burst
{
  struct burst_target targets[BURST_TARGETS];
  int64_t heartbeats;
  int64_t ends;
  int64_t queries;
  double tick_us;
  double heartbeat_us;
  double order_us;
  double query_us;
};

/* --- orders of the core --- */

static int
target_index (const struct fl_name *id)
{
  return (int)(strtoul (id->data + 2, NULL, 16) / 7919);
}

static void
add_running (struct bench *bench, const struct fl_start_order *order)
{
  struct burst_target *target = &bench->burst->targets[target_index (&order->target)];
  struct running running = { order->task, order->run, bench->now_ms + BURST_RUN_MS };

  g_array_append_val (target->running, running);
}

static void
on_start (void *context, const struct fl_start_order *order)
{
  struct bench *bench = context;

  bench->start_count++;
  g_array_append_val (bench->starts, *order);
  if (bench->burst != NULL)
    add_running (bench, order);
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
  struct fl_step_spec step = { .count = TASKS_PER_STEP, .cpu_milli = bench->task_cpu_milli };
  struct fl_job_spec spec = { .id = fl_name_format ("%016x", number),
                              .queue = fl_name_of ("q"),
                              .team = fl_name_format ("team-%d", number % 60),
                              .accepted_ms = bench->now_ms,
                              .text = fl_str_of ("x"),
                              .steps = { 1, g_memdup2 (&step, sizeof step) } };

  fl_core_add_job (bench->core, &spec, number + 1, NULL);
}

/* Adds a job that runs many times, once a minute from an hour later on. */
static void
add_scheduled_job (struct bench *bench, int number)
{
  struct fl_step_spec steps[SCHEDULED_STEPS] = { { 0 } };
  struct fl_job_spec spec = { .id = fl_name_format ("%016x", number),
                              .queue = fl_name_of ("q"),
                              .team = fl_name_format ("team-%d", number % 60),
                              .accepted_ms = bench->now_ms,
                              .text = fl_str_of ("x"),
                              .repeat_count = SCHEDULED_TIMES,
                              .start_at_ms = bench->now_ms + 3600 * 1000,
                              .interval_ms = 60000 };

  for (int i = 0; i < SCHEDULED_STEPS; i++)
    steps[i] = (struct fl_step_spec){ .count = SCHEDULED_TASKS, .cpu_milli = 500 };
  spec.steps = (struct fl_array){ SCHEDULED_STEPS, g_memdup2 (steps, sizeof steps) };
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
bench_new (int targets, int64_t task_cpu_milli, bool needs_advice)
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
  bench->task_cpu_milli = task_cpu_milli;
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
  struct bench *bench = bench_new (targets, TASK_CPU_MILLI, needs_advice);
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

/* Measures jobs of which no occurrence is due: their memory, and ticks beside them. */
static void
measure_scheduled (void)
{
  struct bench *bench = bench_new (48, TASK_CPU_MILLI, false);
  size_t before = mallinfo2 ().uordblks;

  for (int i = 0; i < SCHEDULED_JOBS; i++)
    add_scheduled_job (bench, i);
  size_t bytes = mallinfo2 ().uordblks - before;
  run_ticks (bench, 5);
  double ticks_us = run_ticks (bench, TICKS);
  printf ("scheduled_jobs=%d times=%d bytes_per_job=%zu us_per_tick=%.1f\n", SCHEDULED_JOBS,
          SCHEDULED_TIMES, bytes / SCHEDULED_JOBS, ticks_us / TICKS);
  fflush (stdout);
  bench_free (bench);
}

/* --- burst --- */

/* The message in which a peer passes on a report of the target @index: its runs, and those of them
 * that have ended. */
static msgpack_sbuffer
encode_report (struct bench *bench, int index)
{
  struct burst_target *target = &bench->burst->targets[index];
  g_autoptr (GArray) runs = g_array_new (FALSE, TRUE, sizeof (struct fl_run_row));
  g_autoptr (GArray) ends = g_array_new (FALSE, TRUE, sizeof (struct fl_end_row));
  msgpack_sbuffer buffer;

  for (guint i = target->running->len; i > 0; i--)
    {
      const struct running *running = &g_array_index (target->running, struct running, i - 1);
      struct fl_run_row run = { .task = running->task, .run = running->run };
      struct fl_end_row end = { .task = running->task, .run = running->run, .cause = FL_END_DONE };
      if (running->ends_at_ms > bench->now_ms)
        {
          g_array_append_val (runs, run);
          continue;
        }
      end.number = ++target->ends;
      g_array_append_val (ends, end);
      g_array_remove_index_fast (target->running, i - 1);
    }
  struct fl_forward_message message = { .kind = FL_FORWARD_REPLY,
                                        .result = FL_ORDER_DONE,
                                        .clock_ms = bench->now_ms,
                                        .has_report = true,
                                        .booted_at_ms = 1,
                                        .runs = { runs->len, runs->data },
                                        .ends = { ends->len, ends->data } };
  msgpack_sbuffer_init (&buffer);
  fl_forward_message_encode (&message, &buffer);
  bench->burst->heartbeats++;
  bench->burst->ends += ends->len;
  return buffer;
}

static void
receive_report (struct bench *bench, int index)
{
  struct fl_name id = fl_name_format ("i-%08x", index * 7919);
  msgpack_sbuffer buffer = encode_report (bench, index);
  struct fl_forward_message message;
  struct fl_error error = { 0 };
  double before = cpu_us ();

  if (!fl_forward_message_decode (buffer.data, buffer.size, &message, &error))
    abort ();
  struct fl_target_report text = { .booted_at_ms = message.booted_at_ms,
                                   .clock_ms = message.clock_ms,
                                   .runs = message.runs.items,
                                   .run_count = message.runs.count,
                                   .ends = message.ends.items,
                                   .end_count = message.ends.count };
  struct fl_order_reply reply = { .result = FL_ORDER_DONE, .report = &text };
  fl_core_handle_heartbeat_reply (bench->core, &id, &reply, bench->now_ms, bench->now_ms);
  fl_forward_message_clear (&message);
  bench->burst->heartbeat_us += cpu_us () - before;
  msgpack_sbuffer_destroy (&buffer);
}

static bool
is_report_due (struct bench *bench, struct burst_target *target)
{
  bool due = bench->now_ms >= target->next_report_ms;

  for (guint i = 0; i < target->running->len && !due; i++)
    due = g_array_index (target->running, struct running, i).ends_at_ms <= bench->now_ms;
  if (due)
    target->next_report_ms = bench->now_ms + BURST_HEARTBEAT_MS;
  return due;
}

/* Encodes the start orders of this tick, and handles the replies to them. */
static void
exchange_orders (struct bench *bench)
{
  double before = cpu_us ();

  for (guint i = 0; i < bench->starts->len; i++)
    {
      const struct fl_start_order *order = &g_array_index (bench->starts, struct fl_start_order, i);
      struct fl_forward_message message
          = { .kind = FL_FORWARD_START,
              .target = order->target,
              .address = order->address,
              .task = order->task,
              .run = order->run,
              .deadline_ms = order->deadline_ms,
              .payload = { order->payload_len, (char *)order->payload } };
      msgpack_sbuffer buffer;
      msgpack_sbuffer_init (&buffer);
      fl_forward_message_encode (&message, &buffer);
      msgpack_sbuffer_destroy (&buffer);
    }
  confirm_starts (bench);
  bench->burst->order_us += cpu_us () - before;
}

static void
run_burst_tick (struct bench *bench, int *job_number)
{
  struct burst *burst = bench->burst;
  double before = cpu_us ();

  bench->now_ms += TICK_MS;
  burst->queries += bench->queries->len;
  reply_to_queries (bench);
  burst->queries -= bench->queries->len;
  burst->query_us += cpu_us () - before;
  for (int i = 0; i < bench->targets; i++)
    if (is_report_due (bench, &burst->targets[i]))
      receive_report (bench, i);
  before = cpu_us ();
  fl_core_tick (bench->core, bench->now_ms, bench->now_ms);
  store_records (bench);
  burst->tick_us += cpu_us () - before;
  exchange_orders (bench);
  for (int64_t waiting = fl_stats_get (bench->stats, "steps_waiting");
       waiting < BURST_WAITING_STEPS; waiting++)
    add_job (bench, (*job_number)++);
}

static void
reset_counts (struct bench *bench)
{
  struct burst *burst = bench->burst;

  burst->heartbeats = burst->ends = burst->queries = 0;
  burst->tick_us = burst->heartbeat_us = burst->order_us = burst->query_us = 0;
  bench->start_count = 0;
}

/* Load pattern: more jobs arrive than there is room for, while thousands of tasks start and end in
 * each second and the log is full. */
static void
measure_burst (void)
{
  struct bench *bench = bench_new (BURST_TARGETS, BURST_TASK_CPU_MILLI, true);
  struct burst burst = { 0 };
  struct fl_log_state log_state = { 0 };
  int number = 0;

  bench->burst = &burst;
  bench->log = (struct fl_log){ FL_LOG_INFO, "bench", fl_name_of ("host"), &log_state };
  for (int i = 0; i < BURST_TARGETS; i++)
    burst.targets[i].running = g_array_new (FALSE, FALSE, sizeof (struct running));
  for (int i = 0; i < BURST_WARM_UP_TICKS; i++)
    run_burst_tick (bench, &number);
  reset_counts (bench);
  for (int i = 0; i < BURST_TICKS; i++)
    run_burst_tick (bench, &number);
  double seconds = BURST_TICKS * TICK_MS / 1000.0;
  double total_us = burst.tick_us + burst.heartbeat_us + burst.order_us + burst.query_us;
  fprintf (stderr,
           "burst targets=%d waiting_steps=%d starts_per_s=%.0f ends_per_s=%.0f "
           "heartbeats_per_s=%.0f queries_per_s=%.0f us_per_tick=%.1f us_per_heartbeat=%.1f "
           "us_per_order=%.1f us_per_query_reply=%.1f us_per_start=%.1f core_share=%.3f\n",
           BURST_TARGETS, BURST_WAITING_STEPS, (double)bench->start_count / seconds,
           (double)burst.ends / seconds, (double)burst.heartbeats / seconds,
           (double)burst.queries / seconds, burst.tick_us / BURST_TICKS,
           burst.heartbeat_us / (double)burst.heartbeats,
           burst.order_us / (double)bench->start_count,
           burst.query_us / (double)MAX (burst.queries, 1), total_us / (double)bench->start_count,
           total_us / seconds / 1e6);
  for (int i = 0; i < BURST_TARGETS; i++)
    g_array_unref (burst.targets[i].running);
  bench_free (bench);
}

static void
measure_log_lines (void)
{
  struct fl_log log = { FL_LOG_INFO, "bench", fl_name_of ("host"), NULL };
  struct fl_name task = fl_name_of ("0123456789abcdef.0.0.12");
  struct fl_name target = fl_name_of ("i-0123abcd");
  double before = cpu_us ();

  for (int i = 0; i < BURST_LOG_LINES; i++)
    fl_log (&log, FL_LOG_INFO, "start", FL_N ("task", &task), FL_I ("run", 1),
            FL_N ("target", &target), FL_I ("attempt", 1), FL_I ("lists_age_ms", i),
            FL_I ("boot", INT64_C (1774897183098)), FL_I ("listed_boot", 0));
  fprintf (stderr, "log us_per_line=%.2f\n", (cpu_us () - before) / BURST_LOG_LINES);
}

/* Log lines go to standard output, which is a file here: results are printed to standard error. */
static int
measure_owner (void)
{
  int file = open ("/dev/null", O_WRONLY);

  if (file < 0 || dup2 (file, STDOUT_FILENO) < 0)
    return 1;
  close (file);
  measure_burst ();
  measure_log_lines ();
  return 0;
}

/* Without arguments runs all cases; with the arguments ADVICE TARGETS WAITING_STEPS one of the
 * first kind, with the argument `scheduled` that of jobs with occurrences, and with `burst` those
 * of an owner in a burst. */
int
main (int argc, char **argv)
{
  static const int target_counts[] = { 48, 350, 1100, 1900, 10000 };
  static const int waiting_counts[] = { 10, 100, 1000 };

  if (argc == 2 && strcmp (argv[1], "burst") == 0)
    return measure_owner ();
  if (argc == 2 && strcmp (argv[1], "scheduled") == 0)
    {
      measure_scheduled ();
      return 0;
    }
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
  measure_scheduled ();
  return measure_owner ();
}
