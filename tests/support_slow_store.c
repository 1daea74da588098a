#include "support_slow_store.h"

#include <string.h>

#include <glib.h>

#include "platform/platform.h"

struct slow_store
{
  struct slow_store_options options;
  struct fl_store interface;
  int64_t version;
};

struct slow_call
{
  struct slow_store *store;
  ev_timer timer;
  enum fl_store_status status;
  bool returns_configuration;
  void (*done) (void *context, const struct fl_store_reply *reply);
  void *context;
};

static void
on_reply_due (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct slow_call *call = timer->data;
  const char *text = call->store->options.configuration;
  struct fl_store_reply reply = { .status = call->status, .version = ++call->store->version };
  struct fl_store_row row = { .key = fl_name_of (FL_PLATFORM_CONFIGURATION_KEY), .version = 1 };

  (void)loop;
  (void)events;
  if (call->returns_configuration)
    {
      row.value = (struct fl_str){ strlen (text), (char *)text };
      reply.rows = &row;
      reply.count = 1;
    }
  call->done (call->context, &reply);
  g_free (call);
}

static struct slow_call *
start_call (struct slow_store *store,
            int64_t delay_ms,
            int64_t timeout_ms,
            void (*done) (void *context, const struct fl_store_reply *reply),
            void *done_context)
{
  struct slow_call *call = g_new0 (struct slow_call, 1);

  call->store = store;
  call->status = delay_ms > timeout_ms ? FL_STORE_UNKNOWN : FL_STORE_OK;
  call->done = done;
  call->context = done_context;
  ev_timer_init (&call->timer, on_reply_due, (double)MIN (delay_ms, timeout_ms) / 1000.0, 0.0);
  call->timer.data = call;
  ev_timer_start (store->options.loop, &call->timer);
  return call;
}

static void
transact (void *context,
          const struct fl_store_transaction *transaction,
          int64_t timeout_ms,
          void (*done) (void *context, const struct fl_store_reply *reply),
          void *done_context)
{
  struct slow_store *store = context;

  (void)transaction;
  start_call (store, store->options.delay_ms, timeout_ms, done, done_context);
}

static void
read_range (void *context,
            const char *table,
            const char *partition,
            const char *first_key,
            const char *end_key,
            int64_t timeout_ms,
            void (*done) (void *context, const struct fl_store_reply *reply),
            void *done_context)
{
  struct slow_store *store = context;
  struct slow_call *call;

  (void)partition;
  (void)first_key;
  (void)end_key;
  if (strcmp (table, FL_PLATFORM_OPERATOR_TABLE) != 0)
    {
      start_call (store, store->options.delay_ms, timeout_ms, done, done_context);
      return;
    }
  call = start_call (store, 0, timeout_ms, done, done_context);
  call->returns_configuration = store->options.configuration != NULL;
  if (!call->returns_configuration)
    call->status = FL_STORE_REJECTED;
}

static void
feed (void *context,
      const char *table,
      int64_t after_version,
      int64_t wait_ms,
      int64_t timeout_ms,
      void (*done) (void *context, const struct fl_store_reply *reply),
      void *done_context)
{
  (void)table;
  (void)after_version;
  start_call (context, wait_ms, timeout_ms, done, done_context);
}

struct slow_store *
slow_store_new (const struct slow_store_options *options)
{
  struct slow_store *store = g_new0 (struct slow_store, 1);

  store->options = *options;
  store->interface = (struct fl_store){
    .context = store, .transact = transact, .read = read_range, .feed = feed
  };
  return store;
}

const struct fl_store *
slow_store_get_interface (struct slow_store *store)
{
  return &store->interface;
}
