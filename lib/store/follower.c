#include "store/follower.h"

#include <glib.h>

#include "common/clock.h"

/* Longest wait of one feed call. It bounds how long a silent connection hides changes: wait and
 * slack together stay below the 2,000 ms within which a configuration has to be in force. */
#define FEED_WAIT_MS 1000
#define FEED_SLACK_MS 600
#define READ_TIMEOUT_MS 1500
/* Delays before a failed call is sent again; the call itself has used up its time-out before. */
#define RETRY_MIN_MS 50
#define RETRY_MAX_MS 400

struct fl_follower
{
  struct fl_follower_options options;
  ev_timer retry;
  int64_t version;            /* changes up to here are delivered */
  int64_t sent_ms;            /* when the open call was sent */
  int64_t delay_ms;           /* before the next retry */
  bool reading;               /* a whole read is under way */
  size_t part;                /* that is being read */
  struct fl_name from;        /* first key of the next page */
  struct follower_call *call; /* the open call */
};

/* An open call; it outlives a freed follower until its answer comes. */
struct follower_call
{
  struct fl_follower *follower; /* NULL once the follower is gone */
};

static void send_next (struct fl_follower *follower);

static void
call_after (struct fl_follower *follower, double delay_ms)
{
  ev_timer_stop (follower->options.loop, &follower->retry);
  ev_timer_set (&follower->retry, delay_ms / 1000.0, 0.0);
  ev_timer_start (follower->options.loop, &follower->retry);
}

static void
retry_later (struct fl_follower *follower)
{
  double delay_ms = (double)follower->delay_ms * g_random_double_range (0.5, 1.0);

  follower->delay_ms = MIN (follower->delay_ms * 2, RETRY_MAX_MS);
  call_after (follower, delay_ms);
}

static void
on_retry (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  send_next (timer->data);
}

static void
begin_read (struct fl_follower *follower)
{
  follower->reading = true;
  follower->version = 0;
  follower->part = 0;
  follower->from = fl_name_of ("");
  if (follower->options.on_read_begin != NULL)
    follower->options.on_read_begin (follower->options.context);
}

static void
deliver (struct fl_follower *follower, const struct fl_store_reply *reply)
{
  for (size_t i = 0; i < reply->count; i++)
    follower->options.on_row (follower->options.context, &reply->rows[i]);
}

/* The smallest key above @key: one byte longer. */
static struct fl_name
key_after (const struct fl_name *key)
{
  struct fl_name next = *key;

  if (next.len < FL_NAME_MAX)
    next.data[next.len++] = 0x01;
  return next;
}

static void
on_page (struct fl_follower *follower, const struct fl_store_reply *reply)
{
  if (follower->version == 0)
    follower->version = reply->version;
  deliver (follower, reply);
  if (reply->more && reply->count > 0)
    {
      follower->from = key_after (&reply->rows[reply->count - 1].key);
      return;
    }
  if (follower->options.parts[++follower->part] != NULL)
    {
      follower->from = fl_name_of ("");
      return;
    }
  follower->reading = false;
  if (follower->options.on_read_end != NULL)
    follower->options.on_read_end (follower->options.context);
}

static void
on_reply (void *context, const struct fl_store_reply *reply)
{
  struct follower_call *call = context;
  struct fl_follower *follower = call->follower;

  g_free (call);
  if (follower == NULL)
    return;
  follower->call = NULL;
  if (reply->status == FL_STORE_HISTORY_GONE && !follower->reading)
    begin_read (follower);
  else if (reply->status != FL_STORE_OK)
    {
      retry_later (follower);
      return;
    }
  else if (follower->reading)
    on_page (follower, reply);
  else
    {
      deliver (follower, reply);
      follower->version = MAX (follower->version, reply->version);
    }
  follower->delay_ms = RETRY_MIN_MS;
  if (!follower->reading && follower->options.on_confirmed != NULL)
    follower->options.on_confirmed (follower->options.context, follower->sent_ms);
  if (!follower->reading && follower->options.pause_ms > 0)
    call_after (follower, (double)follower->options.pause_ms);
  else
    send_next (follower);
}

static void
send_next (struct fl_follower *follower)
{
  const struct fl_store *store = follower->options.store;

  follower->call = g_new0 (struct follower_call, 1);
  follower->call->follower = follower;
  follower->sent_ms = fl_clock_boot_ms ();
  if (follower->reading)
    store->read (store->context, follower->options.table, follower->options.parts[follower->part],
                 follower->from.data, "", READ_TIMEOUT_MS, on_reply, follower->call);
  else
    store->feed (store->context, follower->options.table, follower->version, FEED_WAIT_MS,
                 FEED_WAIT_MS + FEED_SLACK_MS, on_reply, follower->call);
}

struct fl_follower *
fl_follower_new (const struct fl_follower_options *options)
{
  struct fl_follower *follower = g_new0 (struct fl_follower, 1);

  follower->options = *options;
  follower->delay_ms = RETRY_MIN_MS;
  ev_timer_init (&follower->retry, on_retry, 0.0, 0.0);
  follower->retry.data = follower;
  begin_read (follower);
  send_next (follower);
  return follower;
}

void
fl_follower_free (struct fl_follower *follower)
{
  if (follower == NULL)
    return;
  if (follower->call != NULL)
    follower->call->follower = NULL;
  ev_timer_stop (follower->options.loop, &follower->retry);
  g_free (follower);
}
