/* Questions to the advice service, spread over the hosts.
 *
 * The service answers one question at a time for each calling host. The owner therefore hands
 * questions to its peers, one at a time each; every flamingo-poold answers such requests. */
#pragma once

#include "host/host.h"
#include "net/link.h"
#include "targets/calls.h"

struct fl_advisors;

struct fl_advisors_options
{
  struct fl_host *host;
  const struct fl_advice_calls *calls; /* from this host */
  /* An answer to a question asked by fl_advisors_send_query; valid during the callback only. */
  void (*on_reply) (void *context,
                    const struct fl_name *step,
                    const struct fl_name *queried,
                    size_t queried_count,
                    const struct fl_advice_reply *reply);
  /* Sends @data to a peer; false when it certainly does not leave. */
  bool (*send) (void *context, const struct fl_route *to, const char *data, size_t len);
  void *context;
};

struct fl_advisors *fl_advisors_new (const struct fl_advisors_options *options);
void fl_advisors_free (struct fl_advisors *advisors);

/* A message of a peer. */
void fl_advisors_receive (struct fl_advisors *advisors,
                          const struct fl_route *from,
                          const char *data,
                          size_t len);

/* A peer is reached at @address. */
void fl_advisors_set_peer (struct fl_advisors *advisors,
                           const struct fl_name *host,
                           const struct fl_name *address);

/* Hands the question to a free host. @return false when none is free for a question that takes
 * @expected_ms. */
bool fl_advisors_send_query (struct fl_advisors *advisors,
                             const struct fl_name *step,
                             const struct fl_name *targets,
                             size_t count,
                             int64_t expected_ms);
