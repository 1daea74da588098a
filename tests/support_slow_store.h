/* A store for tests on an event loop that replies late or not at all. It holds the configuration
 * row of the operator and no other; each write succeeds. */
#pragma once

#include <ev.h>

#include "store/store.h"

struct slow_store_options
{
  struct ev_loop *loop;
  /* Delay of the replies to all calls but those for the configuration. A call whose timeout is
   * shorter gets FL_STORE_UNKNOWN when that has passed. */
  int64_t delay_ms;
  const char *configuration; /* value of the configuration row; NULL: reads of it are rejected */
};

struct slow_store;

struct slow_store *slow_store_new (const struct slow_store_options *options);

/* @return the interface of @store. */
const struct fl_store *slow_store_get_interface (struct slow_store *store);
