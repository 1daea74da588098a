/* Follows one table of the store: reads the table, then polls its feed of changes. Reads the table
 * again when the feed no longer holds all changes since the last call. A call without a reply is
 * sent again after a limit that widens each time, and the first reply to any copy counts, however
 * late; failed calls are retried with exponential back-off. */
#pragma once

#include <ev.h>

#include "store/store.h"

struct fl_follower;

/* The follower copies the options; what they point to must outlive it. */
struct fl_follower_options
{
  struct ev_loop *loop;
  const struct fl_store *store;
  const char *table;
  /* Pause between a reply of the feed and the next call; 0 for none. With a pause, one call returns
   * many changes of a busy table instead of only one. */
  int64_t feed_pause_ms;
  /* How long a call of the feed waits for changes; 0 for a second. With a longer wait, rows that
   * rarely change cost fewer calls, but a connection that has gone silent is noticed later. */
  int64_t feed_wait_ms;
  /* Replies may take long to transfer: the limits of reads start wider. */
  bool is_link_slow;
  const char *const *partitions; /* to read, NULL-terminated; the feed covers all partitions */
  /* A row was read or changed; removed rows come from the feed only. */
  void (*on_row) (void *context, const struct fl_store_row *row);
  /* A read of the table begins; known rows that are not delivered again before on_read_end no
   * longer exist. on_read_begin, on_read_end and on_confirmed may be NULL. */
  void (*on_read_begin) (void *context);
  void (*on_read_end) (void *context);
  /* The rows delivered so far were current at some time after @sent_ms (boot time clock). */
  void (*on_confirmed) (void *context, int64_t sent_ms);
  void *context;
};

struct fl_follower *fl_follower_new (const struct fl_follower_options *options);

/* @return the version of the store up to which all changes have been delivered. */
int64_t fl_follower_get_version (const struct fl_follower *follower);

/* Stops following; the reply of a call in flight is dropped. */
void fl_follower_free (struct fl_follower *follower);
