#include "targets/calls.h"

const char *
fl_order_result_name (enum fl_order_result result)
{
  static const char *const names[FL_ORDER_RESULT_COUNT]
      = { "done",    "fenced",    "old_run",    "late",     "no_room",    "no_ticket",
          "invalid", "unhealthy", "other_boot", "not_sent", "unanswered", "no_listener" };

  return names[result];
}
