/* Internals of the relay. */
#pragma once

#include <glib.h>

#include "net/link.h"
#include "relay/message.h"
#include "relay/path.h"
#include "relay/relay.h"

struct peer
{
  struct fl_name address; /* of the peer's link */
  int64_t paused_until_ms;
};

struct fl_relay
{
  struct fl_relay_options options;
  struct fl_store store;
  struct fl_relay_path path;
  struct fl_link *link;
  ev_timer tick;
  GArray *peers;            /* struct peer */
  size_t next_peer;         /* index of the next one in turn */
  GHashTable *peer_calls;   /* calls in flight: number -> struct peer_call */
  GHashTable *direct_calls; /* in flight: done_context -> struct direct_call */
  int64_t last_call_number;
  int64_t next_list_ms;      /* when the list of hosts is read next */
  int64_t largest_cpu_milli; /* of the listed hosts */
  bool is_draining;
  int64_t drain_until_ms;       /* while draining: no call of a peer may last longer */
  int open_relayed_calls;       /* of peers, made by this host */
  int64_t last_relayed_call_ms; /* when the last one arrived; 0 if none has */
  bool is_listing;
  bool has_listed;
  bool is_announced;
  bool is_announcing;
};

/* --- relay.c --- */

/* Sends @message over the link. @return false when the message is certainly not sent. */
bool fl_relay_send_message (struct fl_relay *relay,
                            const struct fl_route *to,
                            const struct fl_relay_message *message);

/* Creates the context of a direct call. Pass it to the store together with
 * fl_relay_on_direct_reply, which calls @done with @done_context and frees it. @is_prompt: the
 * store replies without waiting for changes. */
struct direct_call *fl_relay_direct_call_new (struct fl_relay *relay,
                                              bool is_prompt,
                                              void (*done) (void *context,
                                                            const struct fl_store_reply *reply),
                                              void *done_context);
void fl_relay_on_direct_reply (void *context, const struct fl_store_reply *reply);

/* @return whether the store can be called directly, by the replies of late. */
bool fl_relay_is_path_healthy (struct fl_relay *relay);

/* --- relayed.c --- */

/* Executes the call in @message and replies to @sender. */
void fl_relay_execute_call (struct fl_relay *relay,
                            const struct fl_route *sender,
                            const struct fl_relay_message *message);

/* --- hosts.c --- */

/* Announces this host and reads the list of hosts when due. */
void fl_relay_update_hosts (struct fl_relay *relay, int64_t now_ms);
