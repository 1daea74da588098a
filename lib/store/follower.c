#include "store/follower.h"

#include <string.h>

#include <glib.h>

#include "common/clock.h"
#include "common/timeout.h"
#include "store/reply_limit.h"

/* Longest wait of one feed call, and its limit beyond that. Together they bound how long a dead
 * connection hides changes, and stay below the 2,000 ms within which a configuration has to be in
 * force: where the limit is wider, the wait is shorter. */
#define FEED_WAIT_MS 1000
#define FEED_LIMIT_MIN_MS 600
#define FEED_SILENT_LIMIT_MAX_MS 1000
#define FEED_LATE_LIMIT_MAX_MS 1900
/* Wait of a feed call after a failed one, or while an earlier one has no reply. Its reply confirms
 * at once that the rows are current: requests wait for the confirmation. */
#define FEED_COPY_WAIT_MS 1
/* Limits of reads. The smallest is above the 0.3 s that a reply takes from a store that is 60 times
 * slower than usual, and above the 400 ms after which the path to the store counts as failed, so
 * that the copy takes another. */
#define READ_LIMIT_MIN_MS 500
#define READ_SILENT_LIMIT_MAX_MS 1500
/* On a slow link a copy shares the bandwidth with the reply that it is sent for. */
#define SLOW_READ_LIMIT_MIN_MS 4000
#define SLOW_READ_SILENT_LIMIT_MAX_MS 6000
#define READ_LATE_LIMIT_MAX_MS 6000
/* Copies of a call in flight. */
#define COPIES_MAX 4
/* Delays before a call is retried of which all copies failed. */
#define RETRY_MIN_MS 50
#define RETRY_MAX_MS 400

struct fl_follower
{
  struct fl_follower_options options;
  struct fl_timeout call_timer; /* sends the next call after a retry delay or a pause, or a copy */
  int64_t delivered_version;    /* changes up to this version are delivered */
  int64_t retry_delay_ms;       /* before the next retry */
  bool has_failed;              /* the last call has */
  bool is_reading;              /* a read of the table is in progress */
  size_t partition_index;       /* of the partition being read */
  struct fl_name next_key;      /* first key of the next page */
  struct fl_reply_limit read_limit;
  struct fl_reply_limit feed_limit;         /* beyond the wait */
  struct follower_call *copies[COPIES_MAX]; /* of the call, in flight; the first success counts */
  size_t copy_count;
};

/* A copy of a call in flight; outlives a freed follower until the reply arrives. */
struct follower_call
{
  struct fl_follower *follower; /* NULL once the reply does not count any more */
  int64_t sent_ms;
  int64_t wait_ms; /* of a feed call: how long the store waits for changes */
};

static void send_next_call (struct fl_follower *follower);
static void send_copy (struct fl_follower *follower, int64_t feed_wait_ms);

/* The limit of the call in flight. */
static struct fl_reply_limit *
get_limit (struct fl_follower *follower)
{
  return follower->is_reading ? &follower->read_limit : &follower->feed_limit;
}

static void
schedule_call (struct fl_follower *follower, int64_t delay_ms)
{
  fl_timeout_start (&follower->call_timer, delay_ms);
}

static void
schedule_retry (struct fl_follower *follower)
{
  double delay_ms = (double)follower->retry_delay_ms * g_random_double_range (0.5, 1.0);

  follower->has_failed = true;
  follower->retry_delay_ms = MIN (follower->retry_delay_ms * 2, RETRY_MAX_MS);
  schedule_call (follower, (int64_t)delay_ms);
}

/* Whether a reply is on its way: a copy would share the bandwidth with it, so that both may take
 * longer than any limit. */
static bool
is_receiving (const struct fl_follower *follower)
{
  const struct fl_store *store = follower->options.store;
  int64_t since_ms = fl_clock_boot_ms () - follower->read_limit.min_ms;

  if (store->last_progress_ms == NULL)
    return false;
  for (size_t i = 0; i < follower->copy_count; i++)
    if (store->last_progress_ms (store->context, follower->copies[i]) >= since_ms)
      return true;
  return false;
}

static void
on_call_timer (void *context)
{
  struct fl_follower *follower = context;

  if (follower->copy_count == 0)
    send_next_call (follower);
  else if (follower->copy_count < COPIES_MAX && !is_receiving (follower))
    {
      fl_reply_limit_widen (get_limit (follower));
      send_copy (follower, FEED_COPY_WAIT_MS);
    }
  else
    schedule_call (follower, get_limit (follower)->limit_ms);
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

/* Ends the call in flight: replies to copies that are still in flight do not count. */
static void
drop_copies (struct fl_follower *follower)
{
  for (size_t i = 0; i < follower->copy_count; i++)
    follower->copies[i]->follower = NULL;
  follower->copy_count = 0;
  fl_timeout_stop (&follower->call_timer);
}

/* Removes @copy, which has got a reply. @return whether the reply decides: it is the first success,
 * or no other copy is in flight. */
static bool
finish_copy (struct fl_follower *follower,
             const struct follower_call *copy,
             enum fl_store_status status)
{
  size_t i = 0;

  while (follower->copies[i] != copy)
    i++;
  follower->copies[i] = follower->copies[--follower->copy_count];
  if (follower->copy_count > 0 && status != FL_STORE_OK && status != FL_STORE_HISTORY_GONE)
    return false;
  drop_copies (follower);
  return true;
}

static void
record_reply_time (struct fl_follower *follower, int64_t took_ms)
{
  if (follower->is_reading)
    fl_reply_limit_record_reply (&follower->read_limit, took_ms);
  fl_reply_limit_record_reply (&follower->feed_limit, took_ms);
}

static void
on_reply (void *context, const struct fl_store_reply *reply)
{
  g_autofree struct follower_call *copy = context;
  struct fl_follower *follower = copy->follower;

  if (follower == NULL || !finish_copy (follower, copy, reply->status))
    return;
  if (reply->status == FL_STORE_OK)
    record_reply_time (follower, fl_clock_boot_ms () - copy->sent_ms - copy->wait_ms);
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
    follower->options.on_confirmed (follower->options.context, copy->sent_ms);
  if (!follower->is_reading && follower->options.feed_pause_ms > 0)
    schedule_call (follower, follower->options.feed_pause_ms);
  else
    send_next_call (follower);
}

/* Sends the call, or once more while earlier copies have no reply. */
static void
send_copy (struct fl_follower *follower, int64_t feed_wait_ms)
{
  const struct fl_store *store = follower->options.store;
  const struct fl_reply_limit *limit = get_limit (follower);
  struct follower_call *copy = g_new0 (struct follower_call, 1);
  int64_t timeout_ms = fl_reply_limit_timeout_ms (limit);

  *copy = (struct follower_call){ .follower = follower,
                                  .sent_ms = fl_clock_boot_ms (),
                                  .wait_ms = follower->is_reading ? 0 : feed_wait_ms };
  follower->copies[follower->copy_count++] = copy;
  schedule_call (follower, copy->wait_ms + limit->limit_ms);
  if (follower->is_reading)
    store->read (store->context, follower->options.table,
                 follower->options.partitions[follower->partition_index], follower->next_key.data,
                 "", timeout_ms, on_reply, copy);
  else
    store->feed (store->context, follower->options.table, follower->delivered_version,
                 copy->wait_ms, copy->wait_ms + timeout_ms, on_reply, copy);
}

static void
send_next_call (struct fl_follower *follower)
{
  int64_t feed_wait_ms
      = (follower->options.feed_wait_ms > 0 ? follower->options.feed_wait_ms : FEED_WAIT_MS)
        + FEED_LIMIT_MIN_MS - follower->feed_limit.limit_ms;

  if (follower->has_failed)
    feed_wait_ms = FEED_COPY_WAIT_MS;
  send_copy (follower, MAX (feed_wait_ms, FEED_COPY_WAIT_MS));
}

struct fl_follower *
fl_follower_new (const struct fl_follower_options *options)
{
  struct fl_follower *follower = g_new0 (struct fl_follower, 1);

  follower->options = *options;
  follower->retry_delay_ms = RETRY_MIN_MS;
  follower->read_limit
      = options->is_link_slow ? fl_reply_limit_make (
            SLOW_READ_LIMIT_MIN_MS, SLOW_READ_SILENT_LIMIT_MAX_MS, READ_LATE_LIMIT_MAX_MS)
                              : fl_reply_limit_make (READ_LIMIT_MIN_MS, READ_SILENT_LIMIT_MAX_MS,
                                                     READ_LATE_LIMIT_MAX_MS);
  follower->feed_limit
      = fl_reply_limit_make (FEED_LIMIT_MIN_MS, FEED_SILENT_LIMIT_MAX_MS, FEED_LATE_LIMIT_MAX_MS);
  fl_timeout_init (&follower->call_timer, options->loop, on_call_timer, follower);
  start_read (follower);
  send_next_call (follower);
  return follower;
}

int64_t
fl_follower_get_version (const struct fl_follower *follower)
{
  return follower->delivered_version;
}

void
fl_follower_free (struct fl_follower *follower)
{
  if (follower == NULL)
    return;
  drop_copies (follower);
  g_free (follower);
}
