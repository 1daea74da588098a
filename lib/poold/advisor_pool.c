#include "poold/advisor_pool.h"

#include <glib.h>

/* Queries expected to take longer than this leave some hosts free for shorter ones. */
#define LONG_QUERY_MS 150
/* Enough for the short queries: about 20 a second, which take about 30 ms each. With few hosts, at
 * most half of them are left free. */
#define RESERVED_HOSTS 2
/* How long hosts are left free after the last short query was wanted. A short query that comes
 * after a longer pause waits for a long one at most, which takes about as long. */
#define RESERVE_MS 500
/* A reply is overdue when it takes this much longer than expected. */
#define REPLY_SLACK_MS 600
/* After a query without a reply its host gets no other query for this long. */
#define TIMEOUT_BACKOFF_MS 2000
/* The same after a query that could not be sent: the link to the host is down, and reconnects
 * within a second once the host is back. */
#define UNSENT_BACKOFF_MS 1000

/* A host, this one or a peer, that passes one query at a time to the advice service. */
struct advisor
{
  struct fl_name host;
  struct fl_name address; /* empty for this host */
  int64_t backoff_until_ms;
  bool busy;
  bool has_replied;              /* to the query before the one in flight */
  bool is_unheard_of;            /* the last query was overdue, and no message has come since */
  struct fl_advisor_query query; /* in flight while busy */
};

struct fl_advisor_pool
{
  GPtrArray *advisors; /* struct advisor */
  int64_t last_query_number;
  int64_t backoffs_until_ms; /* of all hosts */
  int64_t reserved_until_ms; /* hosts are left free for short queries until then */
};

/* --- hosts --- */

static struct advisor *
find_query (const struct fl_advisor_pool *pool, int64_t number)
{
  for (guint i = 0; i < pool->advisors->len; i++)
    {
      struct advisor *advisor = g_ptr_array_index (pool->advisors, i);
      if (advisor->busy && advisor->query.number == number)
        return advisor;
    }
  return NULL;
}

static struct advisor *
add_host (struct fl_advisor_pool *pool, const struct fl_name *host)
{
  struct advisor *advisor = g_new0 (struct advisor, 1);

  advisor->host = *host;
  g_ptr_array_add (pool->advisors, advisor);
  return advisor;
}

struct fl_advisor_pool *
fl_advisor_pool_new (const struct fl_name *own_host)
{
  struct fl_advisor_pool *pool = g_new0 (struct fl_advisor_pool, 1);

  pool->advisors = g_ptr_array_new_with_free_func (g_free);
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

/* @return a free host for a query, or NULL. Peers are preferred, since this host needs its
 * processor for decisions. */
static struct advisor *
choose_advisor (struct fl_advisor_pool *pool, bool is_long, int64_t now_ms)
{
  struct fl_advisor_counts counts = fl_advisor_pool_count (pool, now_ms);
  struct advisor *best = NULL;

  for (guint i = 0; i < pool->advisors->len; i++)
    {
      struct advisor *advisor = g_ptr_array_index (pool->advisors, i);
      if (is_free (advisor, now_ms) && (best == NULL || best->address.len == 0))
        best = advisor;
    }
  if (!is_long)
    pool->reserved_until_ms = now_ms + RESERVE_MS;
  else if (counts.free <= count_reserved (pool, &counts, now_ms))
    return NULL;
  return best;
}

bool
fl_advisor_pool_is_available (struct fl_advisor_pool *pool, int64_t least_ms, int64_t now_ms)
{
  return choose_advisor (pool, least_ms > LONG_QUERY_MS, now_ms) != NULL;
}

/* --- queries --- */

bool
fl_advisor_pool_begin (struct fl_advisor_pool *pool,
                       int64_t expected_ms,
                       int64_t now_ms,
                       struct fl_advisor_query *query)
{
  struct advisor *advisor = choose_advisor (pool, expected_ms > LONG_QUERY_MS, now_ms);

  if (advisor == NULL)
    return false;
  advisor->busy = true;
  advisor->is_unheard_of = false;
  advisor->query = (struct fl_advisor_query){ .number = ++pool->last_query_number,
                                              .host = advisor->host,
                                              .address = advisor->address,
                                              .sent_ms = now_ms,
                                              .overdue_ms = now_ms + expected_ms + REPLY_SLACK_MS };
  *query = advisor->query;
  return true;
}

void
fl_advisor_pool_cancel (struct fl_advisor_pool *pool, int64_t number, int64_t now_ms)
{
  struct advisor *advisor = find_query (pool, number);

  if (advisor == NULL)
    return;
  advisor->busy = false;
  advisor->backoff_until_ms = now_ms + UNSENT_BACKOFF_MS;
}

static void
end_query (struct fl_advisor_pool *pool,
           struct advisor *advisor,
           bool service_replied,
           int64_t now_ms)
{
  advisor->busy = false;
  advisor->has_replied = service_replied;
  if (service_replied)
    return;
  advisor->backoff_until_ms = now_ms + TIMEOUT_BACKOFF_MS;
  pool->backoffs_until_ms = MAX (pool->backoffs_until_ms, advisor->backoff_until_ms);
}

bool
fl_advisor_pool_finish (struct fl_advisor_pool *pool,
                        int64_t number,
                        bool service_replied,
                        int64_t now_ms,
                        struct fl_advisor_query *query)
{
  struct advisor *advisor = find_query (pool, number);

  if (advisor == NULL)
    return false;
  if (query != NULL)
    *query = advisor->query;
  end_query (pool, advisor, service_replied, now_ms);
  return true;
}

bool
fl_advisor_pool_take_overdue (struct fl_advisor_pool *pool,
                              int64_t now_ms,
                              struct fl_advisor_query *query)
{
  for (guint i = 0; i < pool->advisors->len; i++)
    {
      struct advisor *advisor = g_ptr_array_index (pool->advisors, i);
      if (!advisor->busy || now_ms < advisor->query.overdue_ms)
        continue;
      *query = advisor->query;
      advisor->is_unheard_of = advisor->has_replied;
      end_query (pool, advisor, false, now_ms);
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
        next_ms = MIN (next_ms, advisor->query.overdue_ms);
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
