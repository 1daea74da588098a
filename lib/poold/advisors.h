/* Advisors: the hosts through which the owner queries the advice service.
 *
 * The service handles one query at a time for each calling host. To have several queries in flight,
 * the owner also sends queries through its peers, one at a time through each. Every flamingo-poold
 * passes the queries of its peers on to the service and returns the replies. Which host sends a
 * query, and when its reply is overdue, is decided by the advisor pool. */
#pragma once

#include <glib.h>

#include "common/clock.h"
#include "host/host.h"
#include "net/link.h"
#include "targets/calls.h"

struct fl_advisors;

struct fl_advisors_options
{
  struct fl_host *host;
  struct fl_clock clock;
  const struct fl_advice_calls *calls; /* calls of this host to the service */
  /* The reply to a query, or its timeout, which a late reply may follow; the arguments are valid
   * during the callback only. */
  void (*on_reply) (void *context,
                    const struct fl_name *step,
                    const struct fl_name *queried,
                    size_t queried_count,
                    const struct fl_advice_reply *reply);
  /* Sends @data to a peer. Returns false when the message was certainly not sent. */
  bool (*send) (void *context, const struct fl_route *to, const char *data, size_t len);
  /* Checks whether the connection to the link at @address works, unless something has arrived from
   * it since @sent_ms; see fl_forwarder_check_peer. */
  void (*check_peer) (void *context, const struct fl_name *address, int64_t sent_ms);
  void *context;
};

struct fl_advisors *fl_advisors_new (const struct fl_advisors_options *options);
void fl_advisors_free (struct fl_advisors *advisors);

/* Handles a message of a peer: a query or a reply. */
void fl_advisors_receive (struct fl_advisors *advisors,
                          const struct fl_route *from,
                          const char *data,
                          size_t len);

/* Notes that any message of the peer at @peer has arrived; see fl_advisor_pool_note_message. */
void fl_advisors_note_message (struct fl_advisors *advisors, const struct fl_name *peer);

/* Declares that the steps of all queries in flight belong to an earlier term: their replies count
 * as late, since another query about the same step may be in flight. */
void fl_advisors_orphan_queries (struct fl_advisors *advisors);

/* Prepares the end of the process: queries of peers end without a reply of the service, those in
 * flight and further ones. */
void fl_advisors_drain (struct fl_advisors *advisors);

/* Sets the address of the peer @host, and adds the peer if it is new. */
void fl_advisors_set_peer (struct fl_advisors *advisors,
                           const struct fl_name *host,
                           const struct fl_name *address);

/* Notes that the connection to the link at @address, which was silent, was replaced. */
void fl_advisors_note_reconnect (struct fl_advisors *advisors, const struct fl_name *address);

/* Appends one line of JSON for each host to @out, for operators. */
void fl_advisors_dump (const struct fl_advisors *advisors, GString *out);

/* @return how many hosts send queries or are free to. */
int fl_advisors_count_usable (const struct fl_advisors *advisors);

/* Whether a host is free for @demand. */
bool fl_advisors_are_available (struct fl_advisors *advisors,
                                const struct fl_advice_demand *demand);

/* Queries which of the @count targets may run @step, through a free host.
 * @return false when no host is free for @demand. */
bool fl_advisors_send_query (struct fl_advisors *advisors,
                             const struct fl_name *step,
                             const struct fl_name *targets,
                             size_t count,
                             const struct fl_advice_demand *demand);
