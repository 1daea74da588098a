/* Calls to the store that this host makes for its peers. */
#include "common/clock.h"
#include "relay/relay_internal.h"

/* A call of a peer that this host makes. */
struct relayed_call
{
  struct fl_relay *relay;
  struct fl_route sender;
  int64_t number;
  bool rejected_to_stop;
};

static void
reply_to_peer (void *context, const struct fl_store_reply *reply)
{
  struct relayed_call *call = context;
  struct fl_relay_message message = fl_relay_message_from_reply (reply);

  message.is_stopping = call->rejected_to_stop;
  call->relay->open_relayed_calls--;
  message.number = call->number;
  if (!fl_relay_send_message (call->relay, &call->sender, &message))
    fl_stats_add (call->relay->options.stats, "relay_answers_unsent_total", 1);
  g_free (call);
}

static void
execute_transaction (struct fl_relay *relay,
                     const struct fl_relay_message *message,
                     struct direct_call *direct_call)
{
  const struct fl_store *direct = relay->options.direct;
  const struct fl_store_row *rows = message->conditions.items;
  struct fl_store_condition conditions[FL_STORE_ENTRIES_MAX];
  struct fl_store_write writes[FL_STORE_ENTRIES_MAX];
  struct fl_store_transaction transaction
      = { conditions, message->conditions.count, writes, message->writes.count };

  for (size_t i = 0; i < message->conditions.count; i++)
    conditions[i] = (struct fl_store_condition){ rows[i].table.data, rows[i].partition.data,
                                                 rows[i].key, rows[i].version };
  rows = message->writes.items;
  for (size_t i = 0; i < message->writes.count; i++)
    writes[i] = (struct fl_store_write){ rows[i].table.data, rows[i].partition.data, rows[i].key,
                                         rows[i].value, rows[i].removed };
  direct->transact (direct->context, &transaction, message->timeout_ms, fl_relay_on_direct_reply,
                    direct_call);
}

static void
reject_call (struct relayed_call *call, const char *reason)
{
  struct fl_relay *relay = call->relay;
  struct fl_store_reply rejection = { .status = FL_STORE_REJECTED };

  fl_fail (&rejection.error, FL_UNAVAILABLE, "relay_call", relay->options.host.data, "%s", reason);
  reply_to_peer (call, &rejection);
}

void
fl_relay_execute_call (struct fl_relay *relay,
                       const struct fl_route *sender,
                       const struct fl_relay_message *message)
{
  const struct fl_store *direct = relay->options.direct;
  struct relayed_call *call = g_new0 (struct relayed_call, 1);
  struct direct_call *direct_call;

  *call = (struct relayed_call){ relay, *sender, message->number, false };
  relay->open_relayed_calls++;
  relay->last_relayed_call_ms = fl_clock_boot_ms ();
  if (relay->is_draining && fl_clock_boot_ms () + message->timeout_ms > relay->drain_until_ms)
    {
      call->rejected_to_stop = true;
      reject_call (call, "this host is stopping");
      return;
    }
  if (!fl_relay_is_path_healthy (relay))
    {
      reject_call (call, "this host cannot reach the store either");
      return;
    }
  fl_stats_add (relay->options.stats, "store_calls_carried_total", 1);
  direct_call
      = fl_relay_direct_call_new (relay, message->call != FL_RELAY_FEED, reply_to_peer, call);
  if (message->call == FL_RELAY_TRANSACT)
    execute_transaction (relay, message, direct_call);
  else if (message->call == FL_RELAY_READ)
    direct->read (direct->context, message->table.data, message->partition.data,
                  message->first_key.data, message->end_key.data, message->timeout_ms,
                  fl_relay_on_direct_reply, direct_call);
  else
    direct->feed (direct->context, message->table.data, message->after_version, message->wait_ms,
                  message->timeout_ms, fl_relay_on_direct_reply, direct_call);
}

void
fl_relay_drain (struct fl_relay *relay, int64_t until_ms)
{
  relay->is_draining = true;
  relay->drain_until_ms = until_ms;
}

int
fl_relay_open_peer_calls (const struct fl_relay *relay)
{
  return relay->open_relayed_calls;
}

int64_t
fl_relay_last_peer_call_ms (const struct fl_relay *relay)
{
  return relay->last_relayed_call_ms;
}
