/* The link to the flamingo-poold of other hosts: questions to the advice service and orders to
 * targets go over it, told apart by the first byte. */
#include <string.h>

#include <glib.h>

#include "poold/poold_internal.h"

#define LINK_QUEUE_MAX 2000
#define KIND_ADVICE 'a'
#define KIND_CARRY 'c'

/* Processor that an owner needs for its own connections to one target, in thousandths of a core:
 * 350 targets with 460 starts a second took 0.43 of one. */
#define CPU_PER_TARGET 1.2
/* Above this share of its processor the owner hands orders to peers. */
#define OWN_SHARE 0.4

static bool
send_as (struct fl_poold *poold, char kind, const struct fl_route *to, const char *data, size_t len)
{
  char *message = g_malloc (len + 1);
  bool sent;

  message[0] = kind;
  memcpy (message + 1, data, len);
  sent = fl_link_send (poold->link, to, message, len + 1);
  g_free (message);
  return sent;
}

static bool
send_advice (void *context, const struct fl_route *to, const char *data, size_t len)
{
  return send_as (context, KIND_ADVICE, to, data, len);
}

static bool
send_carry (void *context, const struct fl_route *to, const char *data, size_t len)
{
  return send_as (context, KIND_CARRY, to, data, len);
}

static void
on_message (void *context, const struct fl_route *from, const char *data, size_t len)
{
  struct fl_poold *poold = context;

  if (len > 0 && data[0] == KIND_ADVICE)
    fl_advisors_receive (poold->advisors, from, data + 1, len - 1);
  else if (len > 0 && data[0] == KIND_CARRY)
    fl_carry_receive (poold->carry, from, data + 1, len - 1);
  else
    fl_stats_add (poold->host->stats, "messages_malformed_total", 1);
}

bool
fl_peers_open (struct fl_poold *poold,
               void (*on_advice) (void *context,
                                  const struct fl_name *step,
                                  const struct fl_name *asked,
                                  size_t asked_count,
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
  };
  struct fl_advisors_options advisors = { .host = host,
                                          .calls = fl_platform_targets_advice (poold->targets),
                                          .on_answer = on_advice,
                                          .send = send_advice,
                                          .context = poold };
  struct fl_carry_options carry = {
    .loop = host->loop,
    .log = &host->log,
    .stats = host->stats,
    .send = send_carry,
    .may_send = fl_poold_may_send,
    .context = poold,
    .direct = fl_platform_targets_calls (poold->targets),
    .carried = fl_platform_targets_calls (poold->carried_targets),
  };

  poold->link = fl_link_new (&link, error);
  if (poold->link == NULL)
    return false;
  poold->peer_addresses = g_hash_table_new_full (fl_name_hash, fl_name_equal, g_free, g_free);
  poold->advisors = fl_advisors_new (&advisors);
  poold->carry = fl_carry_new (&carry);
  poold->calls = fl_carry_calls (poold->carry);
  return true;
}

void
fl_peers_close (struct fl_poold *poold)
{
  if (poold->link == NULL)
    return;
  fl_advisors_free (poold->advisors);
  fl_carry_free (poold->carry);
  fl_link_free (poold->link);
  g_hash_table_destroy (poold->peer_addresses);
}

void
fl_peers_set (struct fl_poold *poold, const struct fl_name *name, const struct fl_name *address)
{
  const struct fl_name *before = g_hash_table_lookup (poold->peer_addresses, name);
  struct fl_error error = { 0 };

  if (fl_name_eq (name, &poold->host->settings.name) || address->len == 0
      || (before != NULL && fl_name_eq (before, address)))
    return;
  if (before != NULL)
    fl_link_disconnect (poold->link, before);
  g_hash_table_replace (poold->peer_addresses, g_memdup2 (name, sizeof *name),
                        g_memdup2 (address, sizeof *address));
  if (!fl_link_connect (poold->link, address, &error))
    fl_log_error (&poold->host->log, FL_LOG_WARNING, "peer_unreachable", &error);
  fl_advisors_set_peer (poold->advisors, name, address);
  fl_carry_set_peer (poold->carry, name, address);
}

void
fl_peers_set_load (struct fl_poold *poold, size_t targets)
{
  const struct fl_host_settings *settings = &poold->host->settings;
  double needed = (double)targets * CPU_PER_TARGET;
  double own = (double)fl_host_settings_cpu_milli (settings) * OWN_SHARE;
  bool by_settings
      = settings->forward_min_targets > 0 && (int64_t)targets >= settings->forward_min_targets;

  fl_carry_enable (poold->carry, by_settings || (own > 0 && needed > own));
}
