#include "policy/order.h"

#include <math.h>

#include <glib.h>

/* A result is of use up to this multiple of the objective. */
#define USEFUL_OBJECTIVES 3.0
/* The time that a job needs is known to about this share: it follows from the longest of some
 * tasks, whose run times are spread by a factor, and from waits on the way. */
#define MARGIN_SHARE 0.3
/* Jobs that differ by less than such a part of their work are at the same stage. */
#define STAGES 4.0
/* Neither part of the hosts' time is made up for beyond this. */
#define SHARE_BALANCE_MAX_MS 2000

struct fl_order_time
fl_order_get_time (
    double stretch, int64_t latency_objective_ms, double work_ms, double left_ms, int64_t age_ms)
{
  double objective_ms = stretch * work_ms + (double)latency_objective_ms;
  double end_ms = (double)age_ms + left_ms;

  if (work_ms <= 0 || objective_ms <= 0)
    return (struct fl_order_time){ FL_ORDER_NO_OBJECTIVE, FL_ORDER_NO_OBJECTIVE, 0 };
  return (struct fl_order_time){ (int64_t)(objective_ms - end_ms),
                                 (int64_t)(USEFUL_OBJECTIVES * objective_ms - end_ms),
                                 (int64_t)(MARGIN_SHARE * left_ms) };
}

int64_t
fl_order_left_in_class_ms (const struct fl_order_time *time)
{
  return time->slack_ms >= 0 ? time->slack_ms : time->use_in_time_ms;
}

bool
fl_order_is_at_risk (const struct fl_order_time *time)
{
  int64_t left_ms = fl_order_left_in_class_ms (time);

  return left_ms >= 0 && left_ms < time->margin_ms;
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

/* Of expired jobs, only those that have a turn are placed before others. */
static int
get_group (const struct fl_order_key *key)
{
  return key->has_turn ? 0 : key->order_class != FL_ORDER_EXPIRED ? 1 : 2;
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
  if (result == 0)
    result = compare_numbers (a->is_at_risk, b->is_at_risk);
  if (result == 0 && !has_expired)
    result = compare_numbers (a->left_ms, b->left_ms);
  return result != 0 ? result : compare_numbers (a->sequence, b->sequence);
}

int
fl_order_compare_queries (const struct fl_order_query *a, const struct fl_order_query *b)
{
  int result = compare_numbers (b->unserved_ms, a->unserved_ms);

  if (result == 0)
    result = compare_numbers (a->is_room_scarce, b->is_room_scarce);
  if (result == 0 && !a->is_room_scarce)
    result = compare_numbers (a->is_expired, b->is_expired);
  if (result == 0 && !a->is_room_scarce
      && (a->response_ratio < b->response_ratio || a->response_ratio > b->response_ratio))
    result = a->response_ratio > b->response_ratio ? -1 : 1;
  return result != 0 ? result : compare_numbers (a->position, b->position);
}

bool
fl_order_is_due_a_turn (enum fl_order_class order_class, int64_t waited_ms)
{
  return order_class == FL_ORDER_EXPIRED || waited_ms >= FL_ORDER_TURN_WAIT_MS;
}

int64_t
fl_order_turn_interval_ms (int64_t count)
{
  return MIN (FL_ORDER_TURN_INTERVAL_MS, FL_ORDER_TURNS_MAX_MS / MAX (count, 1));
}

bool
fl_order_share_is_due (const struct fl_order_share *share)
{
  return share->balance_ms >= 0;
}

void
fl_order_share_note_query (struct fl_order_share *share, bool is_for_oldest, int64_t query_ms)
{
  share->balance_ms = CLAMP (share->balance_ms + (is_for_oldest ? -query_ms : query_ms),
                             -SHARE_BALANCE_MAX_MS, SHARE_BALANCE_MAX_MS);
}
