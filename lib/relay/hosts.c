/* The list of hosts: the peers that can relay calls, and the CPU of the largest host. */
#include <string.h>

#include "common/clock.h"
#include "common/endpoint.h"
#include "job/job_spec.h"
#include "relay/relay_internal.h"
#include "store/tables.h"

/* Peers that this host keeps connections to. When a third of all hosts cannot reach the store, at
 * least one of four peers can in 99 of 100 cases. */
#define PEERS_MAX 4
/* Interval between reads of the list of hosts. The second read follows sooner, when all hosts have
 * had time to announce themselves; failed reads are retried after the same delay. */
#define LIST_INTERVAL_MS 15000
#define LIST_RETRY_MS 1000
#define LIST_TIMEOUT_MS 1000

/* A host's row in FL_TABLE_RELAYS. */
struct host_row
{
  struct fl_name address; /* of the host's link */
  int64_t cpu_milli;
};

static const struct fl_field host_fields[] = {
  { "address", FL_NAME, offsetof (struct host_row, address), true, 1, FL_NAME_MAX, 0, NULL, NULL },
  { "cpu_milli", FL_INT, offsetof (struct host_row, cpu_milli), false, 0, INT32_MAX, 0, NULL,
    NULL },
};
static FL_SCHEMA (host_schema, host_row, host_fields);

/* @return the peer at @address, or NULL. */
static const struct peer *
find_peer (const GArray *peers, const struct fl_name *address)
{
  for (guint i = 0; i < peers->len; i++)
    {
      const struct peer *peer = &g_array_index (peers, struct peer, i);
      if (fl_name_eq (&peer->address, address))
        return peer;
    }
  return NULL;
}

static bool
decode_host (const struct fl_store_row *row, struct host_row *entry)
{
  return fl_record_decode (&host_schema, row->value.data, row->value.len, entry, NULL)
         && fl_endpoint_is_link (&entry->address);
}

static int64_t
find_largest_cpu (const struct fl_store_reply *reply)
{
  int64_t largest = 0;

  for (size_t i = 0; i < reply->count; i++)
    {
      struct host_row entry = { 0 };
      if (decode_host (&reply->rows[i], &entry))
        largest = MAX (largest, entry.cpu_milli);
    }
  return largest;
}

/* Chooses the hosts whose names follow the name of this host, in a circle, so that all hosts relay
 * for equally many others. The rows of @reply are sorted by key. */
static GArray *
choose_peers (const struct fl_relay *relay, const struct fl_store_reply *reply)
{
  GArray *peers = g_array_new (FALSE, FALSE, sizeof (struct peer));
  const struct fl_name *host = &relay->options.host;
  size_t first = 0;

  while (first < reply->count && strcmp (reply->rows[first].key.data, host->data) <= 0)
    first++;
  for (size_t i = 0; i < reply->count && peers->len < PEERS_MAX; i++)
    {
      const struct fl_store_row *row = &reply->rows[(first + i) % reply->count];
      struct host_row entry = { 0 };
      if (fl_name_eq (&row->key, host) || !decode_host (row, &entry))
        continue;
      const struct peer *known = find_peer (relay->peers, &entry.address);
      struct peer peer = { .address = entry.address,
                           .paused_until_ms = known != NULL ? known->paused_until_ms : 0 };
      g_array_append_val (peers, peer);
    }
  return peers;
}

static void
replace_peers (struct fl_relay *relay, GArray *peers)
{
  struct fl_error error = { 0 };

  for (guint i = 0; i < relay->peers->len; i++)
    {
      const struct fl_name *address = &g_array_index (relay->peers, struct peer, i).address;
      if (find_peer (peers, address) == NULL)
        fl_link_disconnect (relay->link, address);
    }
  for (guint i = 0; i < peers->len; i++)
    if (!fl_link_connect (relay->link, &g_array_index (peers, struct peer, i).address, &error))
      fl_log_error (relay->options.log, FL_LOG_WARNING, "peer_unreachable", &error);
  g_array_unref (relay->peers);
  relay->peers = peers;
}

static void
on_hosts_listed (void *context, const struct fl_store_reply *reply)
{
  struct fl_relay *relay = context;

  relay->is_listing = false;
  if (reply->status != FL_STORE_OK || !relay->has_listed)
    relay->next_list_ms
        = fl_clock_boot_ms () + LIST_RETRY_MS + g_random_int_range (0, LIST_RETRY_MS / 2);
  if (reply->status != FL_STORE_OK)
    return;
  relay->has_listed = true;
  relay->largest_cpu_milli = find_largest_cpu (reply);
  replace_peers (relay, choose_peers (relay, reply));
}

/* Reads the list of hosts. This plain read with a short reply also probes the direct path. */
static void
list_hosts (struct fl_relay *relay, int64_t now_ms)
{
  const struct fl_store *direct = relay->options.direct;

  relay->is_listing = true;
  relay->next_list_ms = now_ms + LIST_INTERVAL_MS;
  direct->read (direct->context, FL_TABLE_RELAYS, FL_PARTITION_COMMON, "", "", LIST_TIMEOUT_MS,
                fl_relay_on_direct_reply,
                fl_relay_direct_call_new (relay, true, on_hosts_listed, relay));
}

static void
on_announced (void *context, const struct fl_store_reply *reply)
{
  struct fl_relay *relay = context;

  relay->is_announcing = false;
  relay->is_announced = reply->status == FL_STORE_OK;
}

static void
announce_host (struct fl_relay *relay)
{
  const struct fl_store *direct = relay->options.direct;
  struct host_row row = { fl_link_address (relay->link), relay->options.cpu_milli };
  struct fl_str value = fl_record_encode (&host_schema, &row);
  struct fl_store_write write
      = { FL_TABLE_RELAYS, FL_PARTITION_COMMON, relay->options.host, value, false };
  struct fl_store_transaction transaction = { NULL, 0, &write, 1 };

  relay->is_announcing = true;
  direct->transact (direct->context, &transaction, LIST_TIMEOUT_MS, fl_relay_on_direct_reply,
                    fl_relay_direct_call_new (relay, true, on_announced, relay));
  fl_str_clear (&value);
}

void
fl_relay_update_hosts (struct fl_relay *relay, int64_t now_ms)
{
  if (!relay->is_announced && !relay->is_announcing && relay->options.address.len > 0)
    announce_host (relay);
  if (!relay->is_listing
      && (now_ms >= relay->next_list_ms || fl_relay_path_claim_probe (&relay->path, now_ms)))
    list_hosts (relay, now_ms);
}
