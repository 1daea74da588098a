/* How long to wait for a reply before the call is sent again. The limit follows the replies: a call
 * without a reply widens it, a reply sets it by the time that it took. Silence may also be an
 * outage, after which the next call is to follow soon, so that it widens the limit less far than
 * late replies do. Replies to earlier copies of a call count as long as fl_reply_limit_timeout_ms
 * has not passed. Does no I/O. */
#pragma once

#include <stdint.h>

struct fl_reply_limit
{
  int64_t min_ms;
  int64_t silent_max_ms; /* without a reply */
  int64_t late_max_ms;   /* after late replies */
  int64_t limit_ms;      /* the current limit; starts at min_ms */
};

struct fl_reply_limit
fl_reply_limit_make (int64_t min_ms, int64_t silent_max_ms, int64_t late_max_ms);

/* Records that a call had no reply within the limit. */
void fl_reply_limit_widen (struct fl_reply_limit *limit);

/* Records a reply that took @took_ms. */
void fl_reply_limit_record_reply (struct fl_reply_limit *limit, int64_t took_ms);

/* The timeout of a call that is sent now: how late its reply may be and still count. */
int64_t fl_reply_limit_timeout_ms (const struct fl_reply_limit *limit);
