/* Which queues accept further jobs: fills what lib/policy needs to know of the accepted ones. */
#include "policy/admission.h"
#include "core/core_internal.h"

/* Targets of a query for advice, as it is counted before it is sent. */
#define QUERIED_TARGETS 12

static struct fl_admission_queue *
get_queue (GArray *queues, const struct core_job *job)
{
  const struct fl_advice_policy *policy = &job->queue.advice;
  struct fl_admission_queue queue
      = { .name = job->spec.queue,
          .query_ms = policy->base_latency_ms + QUERIED_TARGETS * policy->per_target_latency_ms };

  for (guint i = 0; i < queues->len; i++)
    if (fl_name_eq (&g_array_index (queues, struct fl_admission_queue, i).name, &queue.name))
      return &g_array_index (queues, struct fl_admission_queue, i);
  g_array_append_val (queues, queue);
  return &g_array_index (queues, struct fl_admission_queue, queues->len - 1);
}

/* Whether @job waits for what no query can give: room, or the limit of its team. */
static bool
waits_for_room (const struct core_job *job)
{
  for (const struct core_step *step = job->first_step; step != NULL; step = step->next)
    if (step->wait_reason == CORE_WAIT_CAPACITY || step->wait_reason == CORE_WAIT_TEAM_LIMIT)
      return true;
  return false;
}

static void
add_job (GArray *queues, const struct core_job *job)
{
  struct fl_admission_queue *queue = get_queue (queues, job);

  for (const struct core_step *step = job->first_step; step != NULL; step = step->next)
    {
      queue->is_lasting = queue->is_lasting || step->spec->long_running;
      if (step->idle_tasks > 0 && step->due_wall_ms <= job->core->wall_ms
          && !core_step_has_ticket (step))
        queue->needed_ms += queue->query_ms;
    }
}

static void
log_changes (const struct fl_core *core, const GArray *queues, const GArray *were_closed, int hosts)
{
  for (guint i = 0; i < queues->len; i++)
    {
      const struct fl_admission_queue *queue
          = &g_array_index (queues, struct fl_admission_queue, i);
      bool was_closed = false;
      for (guint j = 0; j < were_closed->len; j++)
        was_closed = was_closed
                     || fl_name_eq (&g_array_index (were_closed, struct fl_name, j), &queue->name);
      if (queue->is_closed != was_closed)
        fl_log (core->options.log, FL_LOG_NOTICE,
                queue->is_closed ? "queue_closed" : "queue_opened", FL_N ("queue", &queue->name),
                FL_I ("needed_ms", (int64_t)queue->needed_ms),
                FL_I ("backlog_ms", (int64_t)queue->backlog_ms), FL_I ("hosts", hosts));
    }
}

/* --- memory --- */

static void
log_memory_change (const struct fl_core *core,
                   const struct fl_admission_memory *queue,
                   int64_t left)
{
  fl_log (core->options.log, FL_LOG_NOTICE, queue->is_closed ? "queue_full" : "queue_not_full",
          FL_N ("queue", &queue->name), FL_I ("bytes", queue->bytes), FL_I ("left", left),
          FL_I ("max", core->options.job_bytes_max));
}

/* Adds the queues whose jobs hold too much of the memory to @closed. */
static void
update_memory (struct fl_core *core, GArray *closed)
{
  g_autoptr (GArray) queues = g_array_new (FALSE, FALSE, sizeof (struct fl_admission_memory));
  GHashTableIter iter;
  void *value;
  int64_t bytes = 0;
  int64_t left;

  g_hash_table_iter_init (&iter, core->queue_stats);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct core_queue_stats *stats = value;
      struct fl_admission_memory queue = { stats->name, stats->job_bytes, stats->is_full };
      g_array_append_val (queues, queue);
      bytes += queue.bytes;
    }
  left = fl_admission_update_memory (queues, core->options.job_bytes_max);
  for (guint i = 0; i < queues->len; i++)
    {
      const struct fl_admission_memory *queue
          = &g_array_index (queues, struct fl_admission_memory, i);
      struct core_queue_stats *stats = g_hash_table_lookup (core->queue_stats, &queue->name);
      if (queue->is_closed != stats->is_full)
        log_memory_change (core, queue, left);
      stats->is_full = queue->is_closed;
      if (queue->is_closed)
        g_array_append_val (closed, queue->name);
    }
  fl_stats_set (core->options.stats, "job_bytes", bytes);
}

GArray *
fl_core_update_admission (struct fl_core *core, int hosts)
{
  g_autoptr (GArray) were_closed = g_array_new (FALSE, FALSE, sizeof (struct fl_name));
  GArray *closed = g_array_new (FALSE, FALSE, sizeof (struct fl_name));
  GArray *queues = core->admission_queues;

  for (guint i = 0; i < queues->len; i++)
    {
      struct fl_admission_queue *queue = &g_array_index (queues, struct fl_admission_queue, i);
      queue->needed_ms = 0;
      if (queue->is_closed)
        g_array_append_val (were_closed, queue->name);
    }
  for (const GList *link = core->waiting_jobs.head; link != NULL; link = link->next)
    {
      const struct core_job *job = link->data;
      if (job->queue.advice.required && !waits_for_room (job))
        add_job (queues, job);
    }
  fl_admission_update (queues, hosts, core->now_ms);
  log_changes (core, queues, were_closed, hosts);
  for (guint i = 0; i < queues->len; i++)
    if (g_array_index (queues, struct fl_admission_queue, i).is_closed)
      g_array_append_val (closed, g_array_index (queues, struct fl_admission_queue, i).name);
  update_memory (core, closed);
  fl_stats_set (core->options.stats, "queues_closed", closed->len);
  return closed;
}
