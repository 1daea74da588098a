#include "policy/admission.h"

static gint
compare_queues (const void *a, const void *b)
{
  const struct fl_admission_queue *x = a;
  const struct fl_admission_queue *y = b;

  if (x->is_lasting != y->is_lasting)
    return x->is_lasting ? -1 : 1;
  return x->query_ms < y->query_ms ? -1 : x->query_ms > y->query_ms;
}

static void
update_queue (struct fl_admission_queue *queue, int64_t now_ms)
{
  if (queue->backlog_ms < FL_ADMISSION_CLOSE_MS || queue->needed_ms <= 0)
    queue->over_since_ms = 0;
  else if (queue->over_since_ms == 0)
    queue->over_since_ms = now_ms;
  if (queue->over_since_ms > 0 && now_ms - queue->over_since_ms >= FL_ADMISSION_CLOSE_AFTER_MS)
    queue->is_closed = true;
  else if (queue->backlog_ms < FL_ADMISSION_OPEN_MS)
    queue->is_closed = false;
}

void
fl_admission_update (GArray *queues, int hosts, int64_t now_ms)
{
  double needed_ms = 0;

  g_array_sort (queues, compare_queues);
  for (guint i = 0; i < queues->len; i++)
    {
      struct fl_admission_queue *queue = &g_array_index (queues, struct fl_admission_queue, i);
      needed_ms += queue->needed_ms;
      queue->backlog_ms = needed_ms / MAX (hosts, 1);
      update_queue (queue, now_ms);
    }
}

int64_t
fl_admission_update_memory (GArray *queues, int64_t bytes_max)
{
  int64_t left = bytes_max;

  for (guint i = 0; i < queues->len; i++)
    left -= g_array_index (queues, struct fl_admission_memory, i).bytes;
  left = MAX (left, 0);
  for (guint i = 0; i < queues->len; i++)
    {
      struct fl_admission_memory *queue = &g_array_index (queues, struct fl_admission_memory, i);
      int64_t percent = queue->is_closed ? FL_ADMISSION_OPEN_PERCENT : 100;
      queue->is_closed = bytes_max > 0 && queue->bytes > left * percent / 100;
    }
  return left;
}
