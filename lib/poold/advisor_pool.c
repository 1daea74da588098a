#include "poold/advisor_pool.h"

#include <glib.h>

#include "common/reply_time.h"

/* Queries expected to take longer than this leave some hosts free for shorter ones. */
#define LONG_QUERY_MS 150
/* Enough for the short queries: about 20 a second, which take about 30 ms each. With few hosts, at
 * most half of them are left free. */
#define RESERVED_HOSTS 2
/* How long hosts are left free after the last short query was wanted. A short query that comes
 * after a longer pause waits for a long one at most, which takes about as long. */
#define RESERVE_MS 500
/* A long query of a step that has waited for longer takes any free host: with few hosts, short
 * queries would otherwise keep long ones from being sent for as long as they come. */
#define RESERVED_WAIT_MAX_MS 1000
/* A reply is overdue when it takes this much longer than expected, and longer than the replies
 * through most hosts lately. Its step is then queried through another host, since this one may have
 * failed: the wider the limit, the longer the loss of one query lasts. */
#define REPLY_SLACK_MIN_MS 600
#define REPLY_SLACK_MAX_MS 3000
/* A host counts for the limit while its last reply is not older than this. */
#define DELAY_VALID_MS 30000
/* Weight of one reply in the moving average of the delay: it follows few replies. */
#define DELAY_WEIGHT 0.25
/* A host whose query has no reply yet gets no other for this long, doubled with each further one.
 */
#define OVERDUE_BACKOFF_MS 2000
#define OVERDUE_BACKOFF_MAX_MS 16000
/* The same after the service, or the connection to it, has failed. */
#define FAILURE_BACKOFF_MS 250
#define FAILURE_BACKOFF_MAX_MS 2000
/* Overdue queries of a host whose replies still count. */
#define OVERDUE_MAX 8
/* The same after a query that could not be sent: the link to the host is down, and reconnects
 * within a second once the host is back. */
#define UNSENT_BACKOFF_MS 1000
/* The same when the connection to the host was replaced after its first query without a reply. By
 * then the new one is established, or the next query cannot be sent and is not lost. */
#define RECONNECT_BACKOFF_MS 100

/* A host, this one or a peer, that passes one query at a time to the advice service. */
struct advisor
{
  struct fl_name host;
  struct fl_name address; /* empty for this host */
  int64_t backoff_until_ms;
  int unanswered; /* queries in a row without a reply of the service */
  bool busy;
  bool is_unheard_of; /* one query was lost after others had replies, and no message has come since
                       */
  struct fl_advisor_query query; /* in flight while busy */
  GArray *overdue;               /* struct fl_advisor_query, in the order in which they were sent */
  int64_t replied_number;        /* of the last query with a reply */
  struct fl_reply_time delay;    /* by which replies are later than expected */
  int64_t measured_ms;           /* when the last reply was added to it */
};

struct fl_advisor_pool
{
  GPtrArray *advisors; /* struct advisor */
  int64_t last_query_number;
  int64_t backoffs_until_ms; /* of all hosts */
  int64_t reserved_until_ms; /* hosts are left free for short queries until then */
  int64_t reply_slack_ms;    /* see update_reply_slack */
};

/* --- hosts --- */

static void
advisor_free (void *data)
{
  struct advisor *advisor = data;

  g_array_unref (advisor->overdue);
  g_free (advisor);
}

static struct advisor *
add_host (struct fl_advisor_pool *pool, const struct fl_name *host)
{
  struct advisor *advisor = g_new0 (struct advisor, 1);

  advisor->host = *host;
  advisor->overdue = g_array_new (FALSE, FALSE, sizeof (struct fl_advisor_query));
  g_ptr_array_add (pool->advisors, advisor);
  return advisor;
}

struct fl_advisor_pool *
fl_advisor_pool_new (const struct fl_name *own_host)
{
  struct fl_advisor_pool *pool = g_new0 (struct fl_advisor_pool, 1);

  pool->advisors = g_ptr_array_new_with_free_func (advisor_free);
  pool->reply_slack_ms = REPLY_SLACK_MIN_MS;
  add_host (pool, own_host);
  return pool;
}

void
fl_advisor_pool_free (struct fl_advisor_pool *pool)
{
  if (pool == NULL)
    return;
  g_ptr_array_unref (pool->advisors);
  g_free (pool);
}

void
fl_advisor_pool_set_peer (struct fl_advisor_pool *pool,
                          const struct fl_name *host,
                          const struct fl_name *address)
{
  for (guint i = 0; i < pool->advisors->len; i++)
    {
      struct advisor *advisor = g_ptr_array_index (pool->advisors, i);
      if (fl_name_eq (&advisor->host, host))
        {
          advisor->address = *address;
          return;
        }
    }
  add_host (pool, host)->address = *address;
}

/* --- choice of a host --- */

static bool
is_free (const struct advisor *advisor, int64_t now_ms)
{
  return !advisor->busy && now_ms >= advisor->backoff_until_ms;
}

struct fl_advisor_counts
fl_advisor_pool_count (const struct fl_advisor_pool *pool, int64_t now_ms)
{
  struct fl_advisor_counts counts = { 0 };

  for (guint i = 0; i < pool->advisors->len; i++)
    {
      const struct advisor *advisor = g_ptr_array_index (pool->advisors, i);
      counts.free += is_free (advisor, now_ms);
      counts.in_use += advisor->busy;
      counts.backing_off += !advisor->busy && now_ms < advisor->backoff_until_ms;
    }
  return counts;
}

/* @return how many of the hosts that do not back off stay free when a long query is sent. */
static int
count_reserved (const struct fl_advisor_pool *pool,
                const struct fl_advisor_counts *counts,
                int64_t now_ms)
{
  return now_ms < pool->reserved_until_ms
             ? MIN (RESERVED_HOSTS, (counts->free + counts->in_use - 1) / 2)
             : 0;
}

/* Whether @a is to be preferred to @b: hosts whose queries have replies first, then peers, since
 * this host needs its processor for decisions, then the one that was used less recently. */
static bool
is_better (const struct advisor *a, const struct advisor *b)
{
  if ((a->unanswered == 0) != (b->unanswered == 0))
    return a->unanswered == 0;
  if ((a->address.len == 0) != (b->address.len == 0))
    return b->address.len == 0;
  return a->query.sent_ms < b->query.sent_ms;
}

/* @return a free host for a query, or NULL. */
static struct advisor *
choose_advisor (struct fl_advisor_pool *pool, const struct fl_advice_demand *demand, int64_t now_ms)
{
  struct fl_advisor_counts counts = fl_advisor_pool_count (pool, now_ms);
  struct advisor *best = NULL;

  for (guint i = 0; i < pool->advisors->len; i++)
    {
      struct advisor *advisor = g_ptr_array_index (pool->advisors, i);
      if (is_free (advisor, now_ms) && (best == NULL || is_better (advisor, best)))
        best = advisor;
    }
  if (demand->expected_ms <= LONG_QUERY_MS)
    pool->reserved_until_ms = now_ms + RESERVE_MS;
  else if (demand->waited_ms < RESERVED_WAIT_MAX_MS
           && counts.free <= count_reserved (pool, &counts, now_ms))
    return NULL;
  return best;
}

bool
fl_advisor_pool_is_available (struct fl_advisor_pool *pool,
                              const struct fl_advice_demand *demand,
                              int64_t now_ms)
{
  return choose_advisor (pool, demand, now_ms) != NULL;
}

/* --- limits --- */

/* @return @base_ms, doubled @times, but at most @max_ms. */
static int64_t
back_off (int64_t base_ms, int times, int64_t max_ms)
{
  while (times-- > 0 && base_ms < max_ms)
    base_ms *= 2;
  return MIN (base_ms, max_ms);
}

static gint
compare_slacks (const void *a, const void *b)
{
  int64_t x = *(const int64_t *)a;
  int64_t y = *(const int64_t *)b;

  return x < y ? -1 : x > y;
}

/* Sets the slack from the median of the hosts: a few slow hosts do not delay the repetition of
 * queries through others, and a slow service is not asked everything twice. */
static void
update_reply_slack (struct fl_advisor_pool *pool, int64_t now_ms)
{
  g_autoptr (GArray) slacks = g_array_new (FALSE, FALSE, sizeof (int64_t));

  for (guint i = 0; i < pool->advisors->len; i++)
    {
      const struct advisor *advisor = g_ptr_array_index (pool->advisors, i);
      int64_t slack_ms = fl_reply_time_limit_ms (&advisor->delay);
      if (advisor->delay.is_known && now_ms - advisor->measured_ms < DELAY_VALID_MS)
        g_array_append_val (slacks, slack_ms);
    }
  if (slacks->len == 0)
    return;
  g_array_sort (slacks, compare_slacks);
  pool->reply_slack_ms = CLAMP (g_array_index (slacks, int64_t, (slacks->len - 1) / 2),
                                REPLY_SLACK_MIN_MS, REPLY_SLACK_MAX_MS);
}

static void
measure_delay (struct fl_advisor_pool *pool,
               struct advisor *advisor,
               const struct fl_advisor_query *query,
               int64_t now_ms)
{
  fl_reply_time_add (&advisor->delay, now_ms - query->sent_ms - query->expected_ms, DELAY_WEIGHT);
  advisor->measured_ms = now_ms;
  update_reply_slack (pool, now_ms);
}

/* @return when the reply to the query in flight of @advisor is overdue. */
static int64_t
get_overdue_ms (const struct fl_advisor_pool *pool, const struct advisor *advisor)
{
  return advisor->query.sent_ms + advisor->query.expected_ms + pool->reply_slack_ms;
}

/* --- queries --- */

/* Whether an overdue query of @advisor may still hold its turn at the service, which handles calls
 * in the order in which they were sent. */
static bool
has_call_in_progress (const struct advisor *advisor)
{
  guint count = advisor->overdue->len;

  return count > 0
         && g_array_index (advisor->overdue, struct fl_advisor_query, count - 1).number
                > advisor->replied_number;
}

bool
fl_advisor_pool_begin (struct fl_advisor_pool *pool,
                       const struct fl_advice_demand *demand,
                       int64_t now_ms,
                       struct fl_advisor_query *query)
{
  struct advisor *advisor = choose_advisor (pool, demand, now_ms);

  if (advisor == NULL)
    return false;
  advisor->busy = true;
  advisor->is_unheard_of = false;
  advisor->query = (struct fl_advisor_query){ .number = ++pool->last_query_number,
                                              .host = advisor->host,
                                              .address = advisor->address,
                                              .expected_ms = demand->expected_ms,
                                              .sent_ms = now_ms,
                                              .follows_overdue = has_call_in_progress (advisor) };
  *query = advisor->query;
  return true;
}

void
fl_advisor_pool_cancel (struct fl_advisor_pool *pool, int64_t number, int64_t now_ms)
{
  for (guint i = 0; i < pool->advisors->len; i++)
    {
      struct advisor *advisor = g_ptr_array_index (pool->advisors, i);
      if (!advisor->busy || advisor->query.number != number)
        continue;
      advisor->busy = false;
      advisor->backoff_until_ms = now_ms + UNSENT_BACKOFF_MS;
    }
}

/* Removes the query @number from those of @advisor, and fills @query. */
static enum fl_advisor_match
take_query (struct advisor *advisor, int64_t number, struct fl_advisor_query *query)
{
  if (advisor->busy && advisor->query.number == number)
    {
      advisor->busy = false;
      *query = advisor->query;
      return FL_ADVISOR_IN_TIME;
    }
  for (guint i = 0; i < advisor->overdue->len; i++)
    {
      *query = g_array_index (advisor->overdue, struct fl_advisor_query, i);
      if (query->number != number)
        continue;
      g_array_remove_index (advisor->overdue, i);
      return FL_ADVISOR_OVERDUE;
    }
  return FL_ADVISOR_UNKNOWN;
}

enum fl_advisor_match
fl_advisor_pool_finish (struct fl_advisor_pool *pool,
                        int64_t number,
                        bool service_replied,
                        int64_t now_ms,
                        struct fl_advisor_query *query)
{
  for (guint i = 0; i < pool->advisors->len; i++)
    {
      struct advisor *advisor = g_ptr_array_index (pool->advisors, i);
      enum fl_advisor_match match = take_query (advisor, number, query);
      if (match == FL_ADVISOR_UNKNOWN)
        continue;
      if (service_replied)
        {
          /* A query that waited for an earlier one's turn says nothing about the service. */
          if (!query->follows_overdue)
            measure_delay (pool, advisor, query, now_ms);
          advisor->replied_number = MAX (advisor->replied_number, number);
          advisor->unanswered = 0;
          advisor->is_unheard_of = false;
          advisor->backoff_until_ms = now_ms;
        }
      else if (match == FL_ADVISOR_OVERDUE) /* its call no longer holds the turn of the host */
        advisor->backoff_until_ms
            = MIN (advisor->backoff_until_ms, now_ms + FAILURE_BACKOFF_MAX_MS);
      else
        advisor->backoff_until_ms
            = now_ms + back_off (FAILURE_BACKOFF_MS, advisor->unanswered++, FAILURE_BACKOFF_MAX_MS);
      return match;
    }
  return FL_ADVISOR_UNKNOWN;
}

bool
fl_advisor_pool_take_overdue (struct fl_advisor_pool *pool,
                              int64_t now_ms,
                              struct fl_advisor_query *query)
{
  for (guint i = 0; i < pool->advisors->len; i++)
    {
      struct advisor *advisor = g_ptr_array_index (pool->advisors, i);
      if (!advisor->busy || now_ms < get_overdue_ms (pool, advisor))
        continue;
      *query = advisor->query;
      advisor->busy = false;
      advisor->is_unheard_of = advisor->unanswered == 0 && advisor->delay.is_known;
      advisor->backoff_until_ms
          = now_ms + back_off (OVERDUE_BACKOFF_MS, advisor->unanswered++, OVERDUE_BACKOFF_MAX_MS);
      pool->backoffs_until_ms = MAX (pool->backoffs_until_ms, advisor->backoff_until_ms);
      if (advisor->overdue->len == OVERDUE_MAX)
        g_array_remove_index (advisor->overdue, 0);
      g_array_append_val (advisor->overdue, *query);
      return true;
    }
  return false;
}

int64_t
fl_advisor_pool_next_overdue_ms (const struct fl_advisor_pool *pool)
{
  int64_t next_ms = INT64_MAX;

  for (guint i = 0; i < pool->advisors->len; i++)
    {
      const struct advisor *advisor = g_ptr_array_index (pool->advisors, i);
      if (advisor->busy)
        next_ms = MIN (next_ms, get_overdue_ms (pool, advisor));
    }
  return next_ms;
}

void
fl_advisor_pool_note_message (struct fl_advisor_pool *pool,
                              const struct fl_name *address,
                              int64_t now_ms)
{
  if (now_ms >= pool->backoffs_until_ms)
    return;
  for (guint i = 0; i < pool->advisors->len; i++)
    {
      struct advisor *advisor = g_ptr_array_index (pool->advisors, i);
      if (!advisor->is_unheard_of || !fl_name_eq (&advisor->address, address))
        continue;
      advisor->is_unheard_of = false;
      advisor->backoff_until_ms = now_ms;
    }
}

void
fl_advisor_pool_note_reconnect (struct fl_advisor_pool *pool,
                                const struct fl_name *address,
                                int64_t now_ms)
{
  for (guint i = 0; i < pool->advisors->len; i++)
    {
      struct advisor *advisor = g_ptr_array_index (pool->advisors, i);
      if (advisor->unanswered == 1 && fl_name_eq (&advisor->address, address))
        advisor->backoff_until_ms = MIN (advisor->backoff_until_ms, now_ms + RECONNECT_BACKOFF_MS);
    }
}

/* --- state dump --- */

void
fl_advisor_pool_dump (const struct fl_advisor_pool *pool, int64_t now_ms, GString *out)
{
  for (guint i = 0; i < pool->advisors->len; i++)
    {
      const struct advisor *advisor = g_ptr_array_index (pool->advisors, i);
      const char *state = advisor->busy               ? "in_use"
                          : is_free (advisor, now_ms) ? "free"
                                                      : "backing_off";
      g_string_append_printf (
          out,
          "{\"advisor\":\"%s\",\"state\":\"%s\",\"backoff_ms\":%" G_GINT64_FORMAT
          ",\"unanswered\":%d,\"overdue\":%u,\"delay_ms\":%.0f,\"slack_ms\":%" G_GINT64_FORMAT
          "}\n",
          advisor->host.data, state, MAX (advisor->backoff_until_ms - now_ms, 0),
          advisor->unanswered, advisor->overdue->len, advisor->delay.smoothed_ms,
          pool->reply_slack_ms);
    }
}
