#include "policy/order.h"

#include <math.h>

#include <glib.h>

/* A result is of use up to this multiple of the objective. */
#define USEFUL_OBJECTIVES 3.0
/* Jobs that differ by less than such a part of their work are at the same stage. */
#define STAGES 4.0

struct fl_order_time
fl_order_get_time (
    double stretch, int64_t latency_objective_ms, double work_ms, double left_ms, int64_t age_ms)
{
  double objective_ms = stretch * work_ms + (double)latency_objective_ms;
  double end_ms = (double)age_ms + left_ms;

  if (work_ms <= 0 || objective_ms <= 0)
    return (struct fl_order_time){ FL_ORDER_NO_OBJECTIVE, FL_ORDER_NO_OBJECTIVE };
  return (struct fl_order_time){ (int64_t)(objective_ms - end_ms),
                                 (int64_t)(USEFUL_OBJECTIVES * objective_ms - end_ms) };
}

enum fl_order_class
fl_order_get_class (const struct fl_order_time *time)
{
  if (time->slack_ms >= 0)
    return FL_ORDER_IN_TIME;
  return time->use_in_time_ms >= 0 ? FL_ORDER_LATE : FL_ORDER_EXPIRED;
}

int
fl_order_team_excess (double use, double share)
{
  return use <= share || share <= 0 ? 0 : 1 + (int)log2 (use / share);
}

static int
compare_numbers (int64_t a, int64_t b)
{
  return a < b ? -1 : a > b;
}

/* Of expired jobs, only those that have a turn are placed with the others. */
static int
get_group (const struct fl_order_key *key)
{
  return key->order_class != FL_ORDER_EXPIRED ? 1 : key->has_turn ? 0 : 2;
}

static int64_t
get_stage (const struct fl_order_key *key)
{
  return (int64_t)ceil (key->unstarted_share * STAGES);
}

int
fl_order_compare (const struct fl_order_key *a, const struct fl_order_key *b)
{
  bool has_expired = a->order_class == FL_ORDER_EXPIRED;
  int result = compare_numbers (get_group (a), get_group (b));

  if (result == 0)
    result = compare_numbers (a->priority, b->priority);
  if (result == 0)
    result = compare_numbers (a->order_class, b->order_class);
  if (result == 0)
    result = compare_numbers (a->team_excess, b->team_excess);
  if (result == 0 && !has_expired)
    result = compare_numbers (get_stage (a), get_stage (b));
  if (result == 0 && !has_expired)
    result = compare_numbers (a->slack_ms, b->slack_ms);
  return result != 0 ? result : compare_numbers (a->sequence, b->sequence);
}
