/* Follows one table of the store: reads it whole, then takes its feed of changes; reads it anew
 * when the history that it needs is gone. Every wait has a time-out and every retry a growing
 * delay. */
#pragma once

#include <ev.h>

#include "store/store.h"

struct fl_follower;

struct fl_follower_options
{
  struct ev_loop *loop;
  const struct fl_store *store;
  const char *table;
  /* Time between an answer of the feed and the next call: of a table that changes all the time, the
   * changes are then taken together. 0 for none. */
  int64_t feed_pause_ms;
  const char *const *partitions; /* partitions to read, ended by NULL; the feed brings all */
  /* A row as read or changed; removed rows come from the feed only. */
  void (*on_row) (void *context, const struct fl_store_row *row);
  /* A whole read begins; rows known before that do not come again until on_read_end are gone. These
   * and on_confirmed may be NULL. */
  void (*on_read_begin) (void *context);
  void (*on_read_end) (void *context);
  /* The rows delivered are those of the store at some time after @sent_ms (boot time clock). */
  void (*on_confirmed) (void *context, int64_t sent_ms);
  void *context;
};

struct fl_follower *fl_follower_new (const struct fl_follower_options *options);

/* Stops following; an answer still on its way is dropped. */
void fl_follower_free (struct fl_follower *follower);
