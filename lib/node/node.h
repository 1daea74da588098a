/* What every daemon has: its loop, links, table, members and configuration.
 *
 * A node says hello to every scheduler, learns the members from the table and from their answers,
 * follows the configuration by polling its head row and by what peers hand on, and knows whether it
 * is in contact: whether it can be sure to have met every accepted ticket.
 */
#pragma once

#include <ev.h>

#include "common/clock.h"
#include "common/log.h"
#include "common/stats.h"
#include "message/message.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/link.h"
#include "node/settings.h"
#include "platform/table.h"
#include "ticket/ticket.h"

/* Another process, as last heard of. */
struct fl_member
{
  struct fl_name instance;
  struct fl_name address; /* schedulers: of their link */
  struct fl_name http;
  struct fl_name domain;
  struct fl_name region;
  int role;
  bool leaving;
  int64_t config_head;
  int64_t entries_head;
  int64_t first_heard_ms; /* when its first message arrived; 0 for never */
  int64_t heard_ms;       /* when its last message arrived; 0 for never */
  int64_t ping_ms;        /* when a ping was sent that nothing has answered yet; 0 for none */
  int64_t contact_ms;     /* when the hello was sent that it answered with a head not above ours */
  int64_t usage_seen;     /* version of its usage that has arrived */
  int64_t row_version;
  int64_t row_seen_ms;     /* when the row's version last moved */
  struct fl_array domains; /* struct fl_domain_status of its last answer */
};

struct fl_node;

struct fl_node_options
{
  const struct fl_settings *settings;
  enum fl_process_role role;
  const char *program; /* for logs */
  /* A message that the node does not handle itself. */
  void (*on_message) (void *context,
                      enum fl_message_type type,
                      const struct fl_route *from,
                      const union fl_message *message);
  /* Fills in the domains and usage of an answer to a hello. */
  void (*on_status) (void *context, int64_t usage_seen, struct fl_status *status);
  /* A scheduler answered a hello. */
  void (*on_member) (void *context, const struct fl_member *member, const struct fl_status *status);
  /* Tickets have been applied. */
  void (*on_config) (void *context);
  /* An HTTP request that the node does not answer itself (/health, /metrics). */
  void (*on_http) (void *context, struct fl_http_request *request);
  /* Adds counters that are kept elsewhere before /metrics is written. */
  void (*on_metrics) (void *context);
  /* Called about every 20 ms (entries) or 50 ms (schedulers). */
  void (*on_tick) (void *context, int64_t now_ms);
  void *context;
};

/* Starts listening. @return NULL with @error filled when an address cannot be bound. */
struct fl_node *fl_node_new (const struct fl_node_options *options, struct fl_error *error);
void fl_node_free (struct fl_node *node);

/* Runs the loop until fl_node_stop. */
void fl_node_run (struct fl_node *node);
void fl_node_stop (struct fl_node *node);

/* Says that the process is about to stop: /health answers 503, hellos carry the flag. */
void fl_node_set_leaving (struct fl_node *node);
bool fl_node_is_leaving (const struct fl_node *node);

/* --- parts --- */

struct ev_loop *fl_node_loop (const struct fl_node *node);
const struct fl_settings *fl_node_settings (const struct fl_node *node);
const struct fl_log *fl_node_log (const struct fl_node *node);
struct fl_stats *fl_node_stats (const struct fl_node *node);
struct fl_link *fl_node_link (const struct fl_node *node);
struct fl_http_client *fl_node_client (const struct fl_node *node);
struct fl_http_server *fl_node_server (const struct fl_node *node);
struct fl_table *fl_node_table (const struct fl_node *node);
const struct fl_config *fl_node_config (const struct fl_node *node);
struct fl_name fl_node_instance (const struct fl_node *node);
struct fl_name fl_node_address (const struct fl_node *node);
int64_t fl_node_now (const struct fl_node *node);

/* --- messages --- */

/* Sends @object. @return false when it certainly was not delivered. */
bool fl_node_send (struct fl_node *node,
                   const struct fl_route *to,
                   enum fl_message_type type,
                   const void *object);

/* Sends to a scheduler by its address. */
bool fl_node_send_to (struct fl_node *node,
                      const struct fl_name *address,
                      enum fl_message_type type,
                      const void *object);

/* --- members --- */

/* Iterates over the members: start with *@cursor = 0. @return NULL at the end. */
const struct fl_member *fl_node_next_member (const struct fl_node *node, size_t *cursor);
const struct fl_member *fl_node_member (const struct fl_node *node, const struct fl_name *instance);

/* Asks a member that is slow to answer whether it runs. It stops counting as live when nothing
 * comes from it within the ping time, until it is heard again. */
void fl_node_probe (struct fl_node *node, const struct fl_member *member);

/* Whether the member was heard from within the contact period. */
bool fl_node_is_live (const struct fl_node *node, const struct fl_member *member);

/* --- configuration --- */

/* Whether this node may serve: it has met every ticket that can have been accepted. */
bool fl_node_in_contact (const struct fl_node *node);

/* How long ago the table last answered; a large number when it never did. */
int64_t fl_node_table_age_ms (const struct fl_node *node);

/* Applies a ticket that the table has, as JSON text. */
bool fl_node_apply_ticket (struct fl_node *node, const char *text, size_t len);

/* Reads the head row now. */
void fl_node_poll_config (struct fl_node *node);

/* Says hello to every scheduler now, so that a new head is known at once. */
void fl_node_say_hello (struct fl_node *node);

/* How far ticket @number has come: "recorded" or "accepted". @recorded_ms: when the node learned
 * that the table has it. */
bool fl_node_ticket_accepted (const struct fl_node *node, int64_t number, int64_t recorded_ms);

/* The members and the contact as JSON, for dumps. */
json_t *fl_node_dump (const struct fl_node *node);
