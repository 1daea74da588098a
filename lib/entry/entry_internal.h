/* Structs shared by the files of lib/entry/. */
#pragma once

#include "domain/domain.h"
#include "entry/entry.h"
#include "key/key.h"
#include "node/node.h"
#include "platform/hosts.h"

/* Domains that one request is offered to at most. */
#define FL_TRIES_MAX 6

/* A caller's request or call on its way through the schedulers. */
struct fl_pending
{
  int64_t id;
  int64_t attempt;
  struct fl_http_request *http;
  struct fl_name team;
  int64_t arrived_ms;
  int64_t deadline_ms;
  /* Requests and calls for one domain. */
  struct fl_name domain;
  struct fl_name address; /* of the owner it was last sent to */
  struct fl_name tried[FL_TRIES_MAX];
  int tries;
  int64_t sent_ms;
  bool counted; /* in the entry's count for `domain` */
  bool sent;    /* the last attempt may have reached an owner */
  bool exposed; /* an earlier attempt may still come to run */
  bool is_call;
  struct fl_request_spec request;
  int op;             /* enum fl_call_op */
  struct fl_str body; /* of a call */
  /* Calls to all schedulers. */
  bool fan_out;
  int expected;
  json_t *gathered;
  void (*on_gathered) (struct fl_entry *entry, struct fl_pending *pending);
};

/* Requests of this entry that a domain has, to correct the figures of its last status. */
struct fl_sent_count
{
  struct fl_name domain;
  int64_t now;
  int64_t at_status;
};

struct fl_entry
{
  struct fl_node *node;
  struct fl_host_reader *hosts;
  GHashTable *pending; /* int64_t id -> struct fl_pending * */
  GHashTable *sent;    /* struct fl_name domain -> struct fl_sent_count * */
  int64_t last_id;
  GHashTable *recorded; /* int64_t ticket number -> int64_t ms when it was known to be recorded */
  GPtrArray *waits;     /* struct ticket_wait *, see tickets.c */
  int64_t drain_until_ms;
};

/* --- http.c --- */

void fl_entry_on_http (void *entry, struct fl_http_request *request);
void fl_entry_respond_json (struct fl_http_request *request,
                            int status,
                            json_t *body,
                            int64_t retry_after_ms);

/* --- work.c --- */

void fl_entry_take_request (struct fl_entry *entry,
                            struct fl_http_request *request,
                            const struct fl_name *team);
void fl_entry_take_job (struct fl_entry *entry,
                        struct fl_http_request *request,
                        const struct fl_name *team);
void fl_entry_cancel_job (struct fl_entry *entry,
                          struct fl_http_request *request,
                          const struct fl_name *team,
                          const char *id);
void fl_entry_on_message (void *entry,
                          enum fl_message_type type,
                          const struct fl_route *from,
                          const union fl_message *message);
void fl_entry_tick_pending (struct fl_entry *entry, int64_t now_ms);
void fl_pending_free (void *pending);

/* Takes note that a fresh status of @member has come. */
void
fl_entry_on_member (void *entry, const struct fl_member *member, const struct fl_status *status);

/* Asks every live scheduler; the answers, JSON arrays, are joined and handed to @on_gathered, which
 * answers the HTTP request. */
void fl_entry_fan_out (struct fl_entry *entry,
                       struct fl_http_request *request,
                       const struct fl_name *team,
                       int op,
                       const char *body,
                       void (*on_gathered) (struct fl_entry *entry, struct fl_pending *pending));

/* --- tickets.c --- */

void fl_entry_take_ticket (struct fl_entry *entry, struct fl_http_request *request);
void
fl_entry_show_ticket (struct fl_entry *entry, struct fl_http_request *request, const char *number);
void fl_entry_tick_tickets (struct fl_entry *entry, int64_t now_ms);
