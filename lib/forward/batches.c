/* Starts of many tasks of a job as one message.
 *
 * Load pattern: a step of tens of tasks becomes ready at once, and each start repeats the payload
 * of the job. One message for each start fills the link of a small owner and takes most of its CPU
 * time. The owner therefore sends the payload once, with the starts of all tasks, to one peer, the
 * distributor. It passes each start on to the peer that serves the target, and returns the results
 * in few messages.
 *
 * A distributor has no connections to the targets of other peers: targets accept a few tens of
 * connections only. What it cannot pass on is not sent, and the owner then sends it through the
 * serving peer. */
#include <string.h>

#include "common/clock.h"
#include "common/endpoint.h"
#include "common/timeout.h"
#include "forward/forward_internal.h"

/* Most starts in one message. */
#define BATCH_STARTS_MAX 64
/* Peers that distribute starts. Each of them has connections to all other peers. */
#define DISTRIBUTORS_MAX 16
/* The distributor waits this long for further results before it returns those that it has. */
#define RESULTS_DELAY_MS 10
/* A batch times out later than its starts do on the distributor. */
#define BATCH_SLACK_MS (2 * FORWARD_SLACK_MS)

/* A start that waits for the end of the tick, or is in a batch. */
struct queued_start
{
  struct fl_start_order order; /* with borrowed strings while it waits */
  void (*done) (void *context, const struct fl_order_reply *reply);
  void *context;
};

/* A batch that this host sent to a distributor. */
struct outgoing_batch
{
  struct fl_forwarder *forwarder;
  int64_t number;
  struct fl_name peer_address;
  int64_t sent_ms;
  struct fl_timeout timeout;
  int64_t late_ms; /* how long results still count after the timeout; 0 once that has passed */
  size_t count;
  size_t unfinished;
  char *payload;
  struct queued_start *starts; /* done is NULL for finished ones; strings belong to the batch */
};

/* A batch that this host distributes. */
struct incoming_batch
{
  struct fl_forwarder *forwarder;
  struct fl_route sender;
  int64_t number;
  size_t unfinished;
  GArray *results; /* struct fl_forward_result, not yet returned */
  ev_timer results_timer;
};

/* One start of a batch that this host distributes. */
struct distributed_start
{
  struct incoming_batch *batch;
  int64_t index;
};

struct forward_batches
{
  struct fl_forwarder *forwarder;
  GArray *queued;       /* struct queued_start */
  GHashTable *outgoing; /* number -> struct outgoing_batch */
  GHashTable *incoming; /* set of struct incoming_batch */
  int64_t last_number;
};

/* --- owner --- */

static void
outgoing_batch_free (void *data)
{
  struct outgoing_batch *batch = data;

  fl_timeout_stop (&batch->timeout);
  for (size_t i = 0; i < batch->count; i++)
    {
      g_free ((char *)batch->starts[i].order.checkpoint);
      g_free ((char *)batch->starts[i].order.ticket);
    }
  g_free (batch->starts);
  g_free (batch->payload);
  g_free (batch);
}

static void
finish_start (struct outgoing_batch *batch, size_t index, const struct fl_order_reply *reply)
{
  struct queued_start *start = &batch->starts[index];
  void (*done) (void *context, const struct fl_order_reply *reply) = start->done;

  if (done == NULL)
    return;
  start->done = NULL;
  batch->unfinished--;
  if (reply->result == FL_ORDER_NOT_SENT)
    forward_start (batch->forwarder, &start->order, done, start->context);
  else
    done (start->context, reply);
}

static void
end_batch (struct forward_batches *batches, struct outgoing_batch *batch)
{
  static const struct fl_order_reply no_reply = { .result = FL_ORDER_NO_REPLY };

  g_hash_table_steal (batches->outgoing, &batch->number);
  for (size_t i = 0; i < batch->count; i++)
    finish_start (batch, i, &no_reply);
  outgoing_batch_free (batch);
}

void
forward_batches_time_out (struct forward_batches *batches, const struct fl_name *address)
{
  g_autoptr (GPtrArray) ended = g_ptr_array_new ();
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, batches->outgoing);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (fl_name_eq (&((struct outgoing_batch *)value)->peer_address, address))
      g_ptr_array_add (ended, value);
  for (guint i = 0; i < ended->len; i++)
    end_batch (batches, g_ptr_array_index (ended, i));
}

static void
on_batch_timeout (void *context)
{
  struct outgoing_batch *batch = context;
  struct fl_forwarder *forwarder = batch->forwarder;
  struct fl_name address = batch->peer_address;
  int64_t sent_ms = batch->sent_ms;
  int64_t late_ms = batch->late_ms;

  batch->late_ms = 0;
  if (late_ms > 0)
    fl_timeout_start (&batch->timeout, late_ms);
  else
    end_batch (forwarder->batches, batch);
  /* Ends the batch if the peer has been silent. */
  forward_handle_timeout (forwarder, &address, sent_ms);
}

/* An available peer to distribute the starts of the step of @order, or NULL. */
static struct forward_peer *
choose_distributor (struct fl_forwarder *forwarder, const struct fl_start_order *order)
{
  guint count = MIN (forwarder->peers->len, DISTRIBUTORS_MAX);
  guint first = fl_name_hash (&order->task);

  for (guint i = 0; i < count; i++)
    {
      struct forward_peer *peer
          = &g_array_index (forwarder->peers, struct forward_peer, (first + i) % count);
      if (peer->is_available)
        return peer;
    }
  return NULL;
}

static struct fl_forward_start
make_start (struct fl_forwarder *forwarder,
            const struct fl_start_order *order,
            const struct forward_peer *distributor)
{
  const struct forward_peer *peer = forward_find_serving_peer (forwarder, &order->target);

  return (struct fl_forward_start){
    .target = order->target,
    .address = order->address,
    .peer = peer != distributor ? peer->address : fl_name_of (""),
    .task = order->task,
    .run = order->run,
    .deadline_ms = order->deadline_ms,
    .checkpoint = { strlen (order->checkpoint), (char *)order->checkpoint },
    .ticket = fl_name_of (order->ticket),
  };
}

static bool
send_batch_message (struct fl_forwarder *forwarder,
                    const struct fl_route *to,
                    const struct fl_forward_batch *batch)
{
  msgpack_sbuffer buffer;
  bool sent;

  msgpack_sbuffer_init (&buffer);
  fl_forward_batch_encode (batch, &buffer);
  sent = forwarder->options.send_batch (forwarder->options.context, to, buffer.data, buffer.size);
  msgpack_sbuffer_destroy (&buffer);
  return sent;
}

/* Replaces the borrowed strings of the orders by copies. */
static void
copy_strings (struct outgoing_batch *batch)
{
  const struct fl_start_order *first = &batch->starts[0].order;

  batch->payload = g_malloc (first->payload_len + 1);
  memcpy (batch->payload, first->payload, first->payload_len);
  batch->payload[first->payload_len] = '\0';
  for (size_t i = 0; i < batch->count; i++)
    {
      struct fl_start_order *order = &batch->starts[i].order;
      order->payload = batch->payload;
      order->checkpoint = g_strdup (order->checkpoint);
      order->ticket = g_strdup (order->ticket);
    }
}

static int64_t
longest_limit_ms (const struct queued_start *starts, size_t count)
{
  int64_t limit_ms = FL_START_LIMIT_MS;

  for (size_t i = 0; i < count; i++)
    limit_ms = MAX (limit_ms, starts[i].order.reply_limit_ms);
  return limit_ms;
}

/* Sends @count queued starts, which have the same payload and whose targets are served by available
 * peers, through one peer. @return false when they are not sent. */
static bool
send_batch (struct forward_batches *batches, const struct queued_start *starts, size_t count)
{
  struct fl_forwarder *forwarder = batches->forwarder;
  const struct forward_peer *peer = choose_distributor (forwarder, &starts[0].order);
  struct fl_forward_start rows[BATCH_STARTS_MAX];
  int64_t limit_ms = longest_limit_ms (starts, count);
  struct outgoing_batch *batch;

  if (peer == NULL || !forwarder->options.may_send (forwarder->options.context))
    return false;
  for (size_t i = 0; i < count; i++)
    rows[i] = make_start (forwarder, &starts[i].order, peer);
  struct fl_forward_batch message
      = { .number = ++batches->last_number,
          .fencing_token = starts[0].order.fencing_token,
          .payload = { starts[0].order.payload_len, (char *)starts[0].order.payload },
          .starts = { count, rows } };
  struct fl_route to = { .address = peer->address };
  if (!send_batch_message (forwarder, &to, &message))
    return false;
  batch = g_new0 (struct outgoing_batch, 1);
  *batch = (struct outgoing_batch){ .forwarder = forwarder,
                                    .number = message.number,
                                    .peer_address = peer->address,
                                    .sent_ms = fl_clock_boot_ms (),
                                    .late_ms = FORWARD_LATE_MS (limit_ms),
                                    .count = count,
                                    .unfinished = count,
                                    .starts = g_memdup2 (starts, count * sizeof starts[0]) };
  copy_strings (batch);
  fl_timeout_init (&batch->timeout, forwarder->options.loop, on_batch_timeout, batch);
  fl_timeout_start (&batch->timeout, limit_ms + BATCH_SLACK_MS);
  g_hash_table_insert (batches->outgoing, &batch->number, batch);
  fl_stats_add (forwarder->options.stats, "start_batches_total", 1);
  fl_stats_add (forwarder->options.stats, "orders_handed_over_total", (int64_t)count);
  return true;
}

static bool
have_same_payload (const struct fl_start_order *a, const struct fl_start_order *b)
{
  return a->payload == b->payload && a->payload_len == b->payload_len
         && a->fencing_token == b->fencing_token;
}

void
forward_batches_add (struct forward_batches *batches,
                     const struct fl_start_order *order,
                     void (*done) (void *context, const struct fl_order_reply *reply),
                     void *done_context)
{
  struct queued_start start = { *order, done, done_context };

  g_array_append_val (batches->queued, start);
}

/* Whether an available peer serves the target of each of @count starts. */
static bool
are_all_served (struct fl_forwarder *forwarder, const struct queued_start *starts, size_t count)
{
  for (size_t i = 0; i < count; i++)
    if (forward_find_serving_peer (forwarder, &starts[i].order.target) == NULL)
      return false;
  return true;
}

/* Moves the starts with the payload and the fencing token of the first of @count starts behind it,
 * in their order. @return the number of them with the first one, at most BATCH_STARTS_MAX. */
static size_t
gather_batch (struct queued_start *starts, size_t count)
{
  size_t gathered = 1;

  for (size_t i = 1; i < count && gathered < BATCH_STARTS_MAX; i++)
    if (have_same_payload (&starts[0].order, &starts[i].order))
      {
        struct queued_start start = starts[i];
        memmove (&starts[gathered + 1], &starts[gathered], (i - gathered) * sizeof starts[0]);
        starts[gathered++] = start;
      }
  return gathered;
}

void
forward_batches_flush (struct forward_batches *batches)
{
  struct fl_forwarder *forwarder = batches->forwarder;
  struct queued_start *starts = (struct queued_start *)batches->queued->data;
  size_t queued = 0;
  size_t count;

  for (guint i = 0; i < batches->queued->len; i++)
    if (are_all_served (forwarder, &starts[i], 1))
      starts[queued++] = starts[i];
    else
      forward_start (forwarder, &starts[i].order, starts[i].done, starts[i].context);
  for (size_t i = 0; i < queued; i += count)
    {
      count = gather_batch (&starts[i], queued - i);
      /* A start that could not be sent above has made its peer unavailable. */
      if (count > 1 && are_all_served (forwarder, &starts[i], count)
          && send_batch (batches, &starts[i], count))
        continue;
      for (size_t j = i; j < i + count; j++)
        forward_start (forwarder, &starts[j].order, starts[j].done, starts[j].context);
    }
  g_array_set_size (batches->queued, 0);
}

static void
apply_results (struct forward_batches *batches, const struct fl_forward_batch *message)
{
  struct outgoing_batch *batch = g_hash_table_lookup (batches->outgoing, &message->number);
  const struct fl_forward_result *results = message->results.items;

  if (batch == NULL)
    return;
  for (size_t i = 0; i < message->results.count; i++)
    {
      struct fl_order_reply reply
          = { .result = (enum fl_order_result)results[i].result, .clock_ms = results[i].clock_ms };
      if (results[i].index < (int64_t)batch->count)
        finish_start (batch, (size_t)results[i].index, &reply);
    }
  if (batch->unfinished == 0)
    end_batch (batches, batch);
}

/* --- distributor --- */

static void
incoming_batch_free (void *data)
{
  struct incoming_batch *batch = data;

  ev_timer_stop (batch->forwarder->options.loop, &batch->results_timer);
  g_array_unref (batch->results);
  g_free (batch);
}

static void
return_results (struct incoming_batch *batch)
{
  struct fl_forwarder *forwarder = batch->forwarder;
  struct fl_forward_batch message = { .is_reply = true,
                                      .number = batch->number,
                                      .results = { batch->results->len, batch->results->data } };

  if (batch->results->len > 0 && !send_batch_message (forwarder, &batch->sender, &message))
    fl_stats_add (forwarder->options.stats, "carried_answers_unsent_total", 1);
  g_array_set_size (batch->results, 0);
  if (batch->unfinished == 0)
    g_hash_table_remove (forwarder->batches->incoming, batch);
}

static void
on_results_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  return_results (timer->data);
}

static void
on_distributed_start_done (void *context, const struct fl_order_reply *reply)
{
  struct distributed_start *start = context;
  struct incoming_batch *batch = start->batch;
  struct fl_forward_result result = { start->index, (int)reply->result, reply->clock_ms };

  g_free (start);
  g_array_append_val (batch->results, result);
  if (--batch->unfinished == 0)
    {
      return_results (batch);
      return;
    }
  if (ev_is_active (&batch->results_timer))
    return;
  ev_timer_set (&batch->results_timer, RESULTS_DELAY_MS / 1000.0, 0.0);
  ev_timer_start (batch->forwarder->options.loop, &batch->results_timer);
}

/* Sends one start of a batch to the peer that serves its target, or to the target if this host is
 * that peer. */
static void
distribute_start (struct incoming_batch *batch,
                  const struct fl_forward_batch *message,
                  const struct fl_forward_start *row,
                  int64_t index)
{
  struct fl_forwarder *forwarder = batch->forwarder;
  const struct fl_target_calls *calls = forwarder->options.forwarded;
  struct fl_start_order order = {
    .target = row->target,
    .address = row->address,
    .task = row->task,
    .run = row->run,
    .fencing_token = message->fencing_token,
    .deadline_ms = row->deadline_ms,
    .payload = fl_str_text (&message->payload),
    .payload_len = message->payload.len,
    .checkpoint = fl_str_text (&row->checkpoint),
    .ticket = row->ticket.data,
  };
  struct fl_forward_message forwarded = forward_start_message (&order);
  static const struct fl_order_reply not_sent = { .result = FL_ORDER_NOT_SENT };
  struct distributed_start *start = g_new0 (struct distributed_start, 1);

  *start = (struct distributed_start){ batch, index };
  if (forwarder->is_draining || !forward_is_addressable (&row->target, &row->address)
      || (row->peer.len > 0 && !fl_endpoint_is_link (&row->peer)))
    on_distributed_start_done (start, &not_sent);
  else if (row->peer.len == 0)
    calls->start (calls->context, &order, on_distributed_start_done, start);
  else if (!forwarder->options.connect (forwarder->options.context, &row->peer)
           || !forward_send (forwarder, &row->peer, &forwarded, FORWARD_START_TIMEOUT_MS,
                             FORWARD_LATE_MS (FL_START_LIMIT_MS), on_distributed_start_done, start))
    on_distributed_start_done (start, &not_sent);
}

static void
distribute_batch (struct forward_batches *batches,
                  const struct fl_route *sender,
                  const struct fl_forward_batch *message)
{
  const struct fl_forward_start *rows = message->starts.items;
  struct incoming_batch *batch = g_new0 (struct incoming_batch, 1);

  *batch = (struct incoming_batch){ .forwarder = batches->forwarder,
                                    .sender = *sender,
                                    .number = message->number,
                                    .unfinished = message->starts.count,
                                    .results = g_array_new (FALSE, TRUE,
                                                            sizeof (struct fl_forward_result)) };
  ev_timer_init (&batch->results_timer, on_results_timer, 0.0, 0.0);
  batch->results_timer.data = batch;
  g_hash_table_add (batches->incoming, batch);
  fl_stats_add (batches->forwarder->options.stats, "orders_carried_total",
                (int64_t)message->starts.count);
  if (message->starts.count == 0)
    return_results (batch);
  for (size_t i = 0; i < message->starts.count; i++)
    distribute_start (batch, message, &rows[i], (int64_t)i);
}

/* --- messages and creation --- */

int
forward_batches_open (const struct forward_batches *batches)
{
  return (int)g_hash_table_size (batches->incoming);
}

void
forward_batches_receive (struct forward_batches *batches,
                         const struct fl_route *sender,
                         const char *data,
                         size_t len)
{
  struct fl_forwarder *forwarder = batches->forwarder;
  struct fl_forward_batch message;
  struct fl_error error = { 0 };

  if (!fl_forward_batch_decode (data, len, &message, &error))
    {
      fl_stats_add (forwarder->options.stats, "messages_malformed_total", 1);
      fl_log_error (forwarder->options.log, FL_LOG_WARNING, "message_malformed", &error);
    }
  else if (message.is_reply)
    apply_results (batches, &message);
  else
    distribute_batch (batches, sender, &message);
  fl_forward_batch_clear (&message);
}

struct forward_batches *
forward_batches_new (struct fl_forwarder *forwarder)
{
  struct forward_batches *batches = g_new0 (struct forward_batches, 1);

  batches->forwarder = forwarder;
  batches->queued = g_array_new (FALSE, FALSE, sizeof (struct queued_start));
  batches->outgoing
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, outgoing_batch_free);
  batches->incoming = g_hash_table_new_full (NULL, NULL, incoming_batch_free, NULL);
  return batches;
}

void
forward_batches_free (struct forward_batches *batches)
{
  g_hash_table_destroy (batches->outgoing);
  g_hash_table_destroy (batches->incoming);
  g_array_unref (batches->queued);
  g_free (batches);
}
