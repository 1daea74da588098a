/* The link to flamingo-poold on other hosts. It transports advice queries and forwarded orders; the
 * first byte of a message tells which. */
#include <string.h>

#include <glib.h>

#include "poold/poold_internal.h"

#define LINK_QUEUE_MAX 2000 /* messages for and from one peer */
/* First byte of a message. */
#define KIND_ADVICE 'a'
#define KIND_FORWARD 'c'
#define KIND_BATCH 'b'

/* Processor time, in thousandths of a core, that an owner spends on direct connections to one
 * target: 350 targets with 460 starts a second took 0.43 cores. */
#define CPU_MILLI_PER_TARGET 1.2
/* Share of the host's processor that direct connections may take; beyond it the owner forwards
 * orders through peers. */
#define DIRECT_CPU_SHARE 0.4

static const struct fl_traffic advice_traffic = FL_TRAFFIC ("peer_advice");
static const struct fl_traffic forward_traffic = FL_TRAFFIC ("peer_forward");
static const struct fl_traffic batch_traffic = FL_TRAFFIC ("peer_batch");

static const struct fl_traffic *
traffic_of_kind (char kind)
{
  if (kind == KIND_ADVICE)
    return &advice_traffic;
  return kind == KIND_BATCH ? &batch_traffic : &forward_traffic;
}

static bool
send_message (
    struct fl_poold *poold, char kind, const struct fl_route *to, const char *data, size_t len)
{
  char *message = g_malloc (len + 1);
  bool sent;

  message[0] = kind;
  memcpy (message + 1, data, len);
  sent = fl_link_send (poold->link, to, message, len + 1);
  if (sent)
    fl_stats_add_traffic (poold->host->stats, traffic_of_kind (kind), (int64_t)len + 1, 0);
  g_free (message);
  return sent;
}

static bool
send_advice (void *context, const struct fl_route *to, const char *data, size_t len)
{
  return send_message (context, KIND_ADVICE, to, data, len);
}

static bool
send_forward (void *context, const struct fl_route *to, const char *data, size_t len)
{
  return send_message (context, KIND_FORWARD, to, data, len);
}

static bool
send_batch (void *context, const struct fl_route *to, const char *data, size_t len)
{
  return send_message (context, KIND_BATCH, to, data, len);
}

static bool
connect_peer (void *context, const struct fl_name *address)
{
  struct fl_poold *poold = context;

  return fl_link_connect (poold->link, address, NULL);
}

static bool
reconnect_silent (void *context, const struct fl_name *address, int64_t sent_ms)
{
  struct fl_poold *poold = context;

  if (!fl_link_reconnect_silent (poold->link, address, sent_ms))
    return false;
  fl_advisors_note_reconnect (poold->advisors, address);
  return true;
}

static void
check_peer (void *context, const struct fl_name *address, int64_t sent_ms)
{
  struct fl_poold *poold = context;

  fl_forwarder_check_peer (poold->forwarder, address, sent_ms);
}

static void
on_message (void *context, const struct fl_route *from, const char *data, size_t len)
{
  struct fl_poold *poold = context;

  if (len > 0)
    fl_stats_add_traffic (poold->host->stats, traffic_of_kind (data[0]), 0, (int64_t)len);
  if (from->address.len > 0)
    fl_advisors_note_message (poold->advisors, &from->address);
  if (len > 0 && data[0] == KIND_ADVICE)
    fl_advisors_receive (poold->advisors, from, data + 1, len - 1);
  else if (len > 0 && data[0] == KIND_FORWARD)
    fl_forwarder_receive (poold->forwarder, from, data + 1, len - 1);
  else if (len > 0 && data[0] == KIND_BATCH)
    fl_forwarder_receive_batch (poold->forwarder, from, data + 1, len - 1);
  else
    fl_stats_add (poold->host->stats, "messages_malformed_total", 1);
}

bool
fl_peers_open (struct fl_poold *poold,
               void (*on_advice_reply) (void *context,
                                        const struct fl_name *step,
                                        const struct fl_name *queried,
                                        size_t queried_count,
                                        const struct fl_advice_reply *reply),
               struct fl_error *error)
{
  struct fl_host *host = poold->host;
  struct fl_name address = fl_name_format ("tcp://%s:%" G_GINT64_FORMAT,
                                           host->settings.address.data, host->settings.link_port);
  struct fl_link_options link = {
    .loop = host->loop,
    .address = address.data,
    .queue_max = LINK_QUEUE_MAX,
    .on_message = on_message,
    .context = poold,
    .log = &host->log,
    .stats = host->stats,
  };
  struct fl_advisors_options advisors
      = { .host = host,
          .clock = fl_clock_boot (),
          .calls = fl_platform_target_client_get_advice_calls (poold->own_targets),
          .on_reply = on_advice_reply,
          .send = send_advice,
          .check_peer = check_peer,
          .context = poold };
  struct fl_forwarder_options forwarder = {
    .loop = host->loop,
    .log = &host->log,
    .stats = host->stats,
    .send = send_forward,
    .send_batch = send_batch,
    .connect = connect_peer,
    .reconnect_silent = reconnect_silent,
    .may_send = fl_poold_may_send,
    .context = poold,
    .direct = fl_platform_target_client_get_calls (poold->own_targets),
    .forwarded = fl_platform_target_client_get_calls (poold->forwarded_targets),
  };

  poold->link = fl_link_new (&link, error);
  if (poold->link == NULL)
    return false;
  poold->peer_addresses = g_hash_table_new_full (fl_name_hash, fl_name_equal, g_free, g_free);
  poold->advisors = fl_advisors_new (&advisors);
  poold->forwarder = fl_forwarder_new (&forwarder);
  poold->calls = fl_forwarder_calls (poold->forwarder);
  return true;
}

void
fl_peers_close (struct fl_poold *poold)
{
  if (poold->link == NULL)
    return;
  fl_advisors_free (poold->advisors);
  fl_forwarder_free (poold->forwarder);
  fl_link_free (poold->link);
  g_hash_table_destroy (poold->peer_addresses);
}

void
fl_peers_set_address (struct fl_poold *poold,
                      const struct fl_name *name,
                      const struct fl_name *address)
{
  const struct fl_name *old_address = g_hash_table_lookup (poold->peer_addresses, name);
  struct fl_error error = { 0 };

  if (fl_name_eq (name, &poold->host->settings.name) || address->len == 0
      || (old_address != NULL && fl_name_eq (old_address, address)))
    return;
  if (old_address != NULL)
    fl_link_disconnect (poold->link, old_address);
  g_hash_table_replace (poold->peer_addresses, g_memdup2 (name, sizeof *name),
                        g_memdup2 (address, sizeof *address));
  if (!fl_link_connect (poold->link, address, &error))
    fl_log_error (&poold->host->log, FL_LOG_WARNING, "peer_unreachable", &error);
  fl_advisors_set_peer (poold->advisors, name, address);
  fl_forwarder_set_peer (poold->forwarder, name, address);
}

void
fl_peers_update_forwarding (struct fl_poold *poold, size_t targets)
{
  const struct fl_host_settings *settings = &poold->host->settings;
  double needed_cpu_milli = (double)targets * CPU_MILLI_PER_TARGET;
  double direct_cpu_milli = (double)fl_host_settings_cpu_milli (settings) * DIRECT_CPU_SHARE;
  bool forced_by_settings
      = settings->forward_min_targets > 0 && (int64_t)targets >= settings->forward_min_targets;

  fl_forwarder_set_enabled (poold->forwarder,
                            forced_by_settings
                                || (direct_cpu_milli > 0 && needed_cpu_milli > direct_cpu_milli));
}
