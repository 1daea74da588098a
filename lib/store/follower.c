#include "store/follower.h"

#include <string.h>

#include <glib.h>

#include "common/clock.h"

/* Longest wait of one feed call. It bounds how long a dead connection hides changes: wait and slack
 * together stay below the 2,000 ms within which a configuration has to be in force. */
#define FEED_WAIT_MS 1000
#define FEED_SLACK_MS 600
/* Wait of a feed call after a failed one. Its reply confirms at once that the rows are current, and
 * without a reply the next call follows soon: requests wait for the confirmation. */
#define FEED_RETRY_WAIT_MS 1
#define READ_TIMEOUT_MS 1500
/* A read without a reply for this long is sent once more, and the first reply counts. Above the 0.3
 * s that a reply takes from a store that is 60 times slower than usual, and above the 400 ms after
 * which the path to the store counts as failed, so that the second read takes another. */
#define HEDGE_DELAY_MS 500
/* Delays before a failed call is retried; a call without a reply has already waited for its
 * timeout. */
#define RETRY_MIN_MS 50
#define RETRY_MAX_MS 400

struct fl_follower
{
  struct fl_follower_options options;
  ev_timer call_timer;        /* sends the next call after a retry delay or a pause, or the hedge */
  int64_t delivered_version;  /* changes up to this version are delivered */
  int64_t sent_ms;            /* when the call in flight was sent */
  int64_t retry_delay_ms;     /* before the next retry */
  bool has_failed;            /* the last call has */
  bool is_reading;            /* a read of the table is in progress */
  size_t partition_index;     /* of the partition being read */
  struct fl_name next_key;    /* first key of the next page */
  struct follower_call *call; /* the call in flight */
  struct follower_call *hedge; /* the same read, sent again while @call has no reply */
};

/* A call in flight; outlives a freed follower until the reply arrives. */
struct follower_call
{
  struct fl_follower *follower; /* NULL once the follower is freed */
};

static void send_next_call (struct fl_follower *follower);
static void send_hedge (struct fl_follower *follower);

static void
schedule_call (struct fl_follower *follower, double delay_ms)
{
  ev_timer_stop (follower->options.loop, &follower->call_timer);
  ev_timer_set (&follower->call_timer, delay_ms / 1000.0, 0.0);
  ev_timer_start (follower->options.loop, &follower->call_timer);
}

static void
schedule_retry (struct fl_follower *follower)
{
  double delay_ms = (double)follower->retry_delay_ms * g_random_double_range (0.5, 1.0);

  follower->has_failed = true;
  follower->retry_delay_ms = MIN (follower->retry_delay_ms * 2, RETRY_MAX_MS);
  schedule_call (follower, delay_ms);
}

static void
on_call_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct fl_follower *follower = timer->data;

  (void)loop;
  (void)events;
  if (follower->call != NULL)
    send_hedge (follower);
  else
    send_next_call (follower);
}

static void
start_read (struct fl_follower *follower)
{
  follower->is_reading = true;
  follower->delivered_version = 0;
  follower->partition_index = 0;
  follower->next_key = fl_name_of ("");
  if (follower->options.on_read_begin != NULL)
    follower->options.on_read_begin (follower->options.context);
}

static void
deliver (struct fl_follower *follower, const struct fl_store_reply *reply)
{
  for (size_t i = 0; i < reply->count; i++)
    follower->options.on_row (follower->options.context, &reply->rows[i]);
}

/* @return the character after @character that UTF-8 can encode. */
static gunichar
character_after (gunichar character)
{
  return character + 1 == 0xd800 ? 0xe000 : character + 1;
}

/* @return the smallest key above @key that a name can hold, for a key of FL_NAME_MAX bytes: its
 * last character is replaced by the next one, or removed if that does not fit and the character
 * before it replaced. There always is one to replace, since 95 bytes do not all belong to
 * characters of four bytes. */
static struct fl_name
key_after_full (const struct fl_name *key)
{
  size_t len = key->len;

  while (len > 0)
    {
      const char *last = g_utf8_find_prev_char (key->data, key->data + len);
      if (last == NULL) /* not UTF-8 */
        break;
      gunichar next = character_after (g_utf8_get_char (last));
      char bytes[6];
      size_t start = (size_t)(last - key->data);
      size_t next_len
          = next <= 0x10ffff ? (size_t)g_unichar_to_utf8 (next, bytes) : FL_NAME_MAX + 1;
      if (start + next_len <= FL_NAME_MAX)
        {
          struct fl_name result = fl_name_make (key->data, start);
          memcpy (result.data + start, bytes, next_len);
          result.len = (uint8_t)(start + next_len);
          return result;
        }
      len = start;
    }
  return *key;
}

/* @return the smallest key above @key that a name can hold. */
static struct fl_name
key_after (const struct fl_name *key)
{
  struct fl_name next = *key;

  if (next.len == FL_NAME_MAX)
    return key_after_full (key);
  next.data[next.len++] = 0x01;
  return next;
}

static void
on_page (struct fl_follower *follower, const struct fl_store_reply *reply)
{
  /* The feed starts at the version of the first page, because later changes to rows of this page
   * are not in any other page. */
  if (follower->delivered_version == 0)
    follower->delivered_version = reply->version;
  deliver (follower, reply);
  if (reply->has_more && reply->count > 0)
    {
      follower->next_key = key_after (&reply->rows[reply->count - 1].key);
      return;
    }
  if (follower->options.partitions[++follower->partition_index] != NULL)
    {
      follower->next_key = fl_name_of ("");
      return;
    }
  follower->is_reading = false;
  if (follower->options.on_read_end != NULL)
    follower->options.on_read_end (follower->options.context);
}

/* Removes @call from the calls in flight. @return whether its reply decides: it is the first
 * success, or no other call is in flight. */
static bool
finish_call (struct fl_follower *follower,
             const struct follower_call *call,
             enum fl_store_status status)
{
  if (call == follower->call)
    follower->call = follower->hedge;
  follower->hedge = NULL;
  if (follower->call != NULL && status != FL_STORE_OK)
    return false;
  if (follower->call != NULL)
    follower->call->follower = NULL;
  follower->call = NULL;
  ev_timer_stop (follower->options.loop, &follower->call_timer);
  return true;
}

static void
on_reply (void *context, const struct fl_store_reply *reply)
{
  g_autofree struct follower_call *call = context;
  struct fl_follower *follower = call->follower;

  if (follower == NULL || !finish_call (follower, call, reply->status))
    return;
  if (reply->status == FL_STORE_HISTORY_GONE && !follower->is_reading)
    start_read (follower);
  else if (reply->status != FL_STORE_OK)
    {
      schedule_retry (follower);
      return;
    }
  else if (follower->is_reading)
    on_page (follower, reply);
  else
    {
      deliver (follower, reply);
      follower->delivered_version = MAX (follower->delivered_version, reply->version);
    }
  follower->has_failed = false;
  follower->retry_delay_ms = RETRY_MIN_MS;
  if (!follower->is_reading && follower->options.on_confirmed != NULL)
    follower->options.on_confirmed (follower->options.context, follower->sent_ms);
  if (!follower->is_reading && follower->options.feed_pause_ms > 0)
    schedule_call (follower, (double)follower->options.feed_pause_ms);
  else
    send_next_call (follower);
}

static struct follower_call *
follower_call_new (struct fl_follower *follower)
{
  struct follower_call *call = g_new0 (struct follower_call, 1);

  call->follower = follower;
  return call;
}

static void
send_read (struct fl_follower *follower, struct follower_call *call)
{
  const struct fl_store *store = follower->options.store;

  store->read (store->context, follower->options.table,
               follower->options.partitions[follower->partition_index], follower->next_key.data, "",
               READ_TIMEOUT_MS, on_reply, call);
}

static void
send_hedge (struct fl_follower *follower)
{
  follower->hedge = follower_call_new (follower);
  send_read (follower, follower->hedge);
}

static void
send_next_call (struct fl_follower *follower)
{
  const struct fl_store *store = follower->options.store;
  int64_t feed_wait_ms = follower->has_failed ? FEED_RETRY_WAIT_MS : FEED_WAIT_MS;

  follower->call = follower_call_new (follower);
  follower->sent_ms = fl_clock_boot_ms ();
  if (follower->is_reading)
    {
      if (!follower->options.is_link_slow)
        schedule_call (follower, HEDGE_DELAY_MS);
      send_read (follower, follower->call);
    }
  else
    store->feed (store->context, follower->options.table, follower->delivered_version, feed_wait_ms,
                 feed_wait_ms + FEED_SLACK_MS, on_reply, follower->call);
}

struct fl_follower *
fl_follower_new (const struct fl_follower_options *options)
{
  struct fl_follower *follower = g_new0 (struct fl_follower, 1);

  follower->options = *options;
  follower->retry_delay_ms = RETRY_MIN_MS;
  ev_timer_init (&follower->call_timer, on_call_timer, 0.0, 0.0);
  follower->call_timer.data = follower;
  start_read (follower);
  send_next_call (follower);
  return follower;
}

void
fl_follower_free (struct fl_follower *follower)
{
  if (follower == NULL)
    return;
  if (follower->call != NULL)
    follower->call->follower = NULL;
  if (follower->hedge != NULL)
    follower->hedge->follower = NULL;
  ev_timer_stop (follower->options.loop, &follower->call_timer);
  g_free (follower);
}
