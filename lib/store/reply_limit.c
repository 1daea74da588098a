#include "store/reply_limit.h"

#include <glib.h>

/* The limit in percent of the time of the last reply. */
#define REPLY_PERCENT 150
/* The timeout of a call, in limits. A copy that is sent meanwhile has a wider limit. */
#define TIMEOUT_LIMITS 3

struct fl_reply_limit
fl_reply_limit_make (int64_t min_ms, int64_t silent_max_ms, int64_t late_max_ms)
{
  return (struct fl_reply_limit){ min_ms, silent_max_ms, late_max_ms, min_ms };
}

void
fl_reply_limit_widen (struct fl_reply_limit *limit)
{
  limit->limit_ms = MAX (limit->limit_ms, MIN (limit->limit_ms * 2, limit->silent_max_ms));
}

void
fl_reply_limit_record_reply (struct fl_reply_limit *limit, int64_t took_ms)
{
  limit->limit_ms = CLAMP (took_ms * REPLY_PERCENT / 100, limit->min_ms, limit->late_max_ms);
}

int64_t
fl_reply_limit_timeout_ms (const struct fl_reply_limit *limit)
{
  return limit->limit_ms * TIMEOUT_LIMITS;
}
