/* Asynchronous HTTP client on a libev loop, built on libcurl's multi interface.
 *
 * When a reused connection ends before the first byte of the reply, libcurl sends the request again
 * over another connection. Only the outcome of the last copy is then known, and a rejection of this
 * copy doesn't mean that an earlier one had no effect. Each request is therefore sent once unless
 * its call permits resending.
 *
 * Open connections may go silent without a reset. When a call gets no byte of its reply in time,
 * the idle connections to the same peer on which nothing was heard since the reply was due are
 * closed, so that later calls are sent over connections that work.
 *
 * A peer that is lost leaves its connections open at the other end, and a peer may accept a few
 * only. Calls may therefore limit the connections to their peer, and idle connections are closed
 * when they get old. */
#pragma once

#include <ev.h>
#include <stddef.h>
#include <stdint.h>

#include "common/error.h"
#include "common/log.h"
#include "common/stats.h"
#include "common/str.h"

struct fl_http_client;

/* Result of a call, valid only during the callback. */
struct fl_http_result
{
  int status;         /* HTTP status; 0 when there is no complete response */
  struct fl_str body; /* complete when status is not 0 */
  bool maybe_sent;    /* whether any byte of the request may have left this process */
  bool is_refused;    /* the connection was refused, there or on the way: nothing was sent */
  /* The request was sent over a reused connection that ended before the first byte of the reply,
   * and was not resent. This says nothing about new connections to the server. */
  bool is_connection_stale;
  struct fl_error error; /* filled when status is 0 */
};

/* A call to start; fl_http_client_start copies all strings. */
struct fl_http_call
{
  const char *method;
  const char *url;
  const char *header; /* additional header line, "Name: value"; NULL for none */
  const char *body;   /* NULL for none */
  size_t len;         /* of the body */
  int64_t
      timeout_ms; /* of the whole call; with @stall_timeout_ms, until the body begins to arrive */
  /* A call whose body arrives goes on until nothing of it has arrived for this long. 0 limits the
   * whole call to @timeout_ms. */
  int64_t stall_timeout_ms;
  int64_t connect_timeout_ms; /* includes the wait for other calls */
  /* The call waits, for @connect_timeout_ms at most, while this many calls to the same peer are in
   * progress, without those whose reply is late, or busy_max of the client. 0: it never waits. */
  int64_t connections_max;
  int64_t quiet_ms; /* for which the peer may stay silent before it replies, by agreement */
  /* The connections to the peer are suspected when the reply is overdue for this long, so that a
   * repetition is sent over one that works. 0 or more than the usual time: after the latter. */
  int64_t late_ms;
  const struct fl_traffic *traffic; /* counters of calls of this kind; NULL for none */
  /* Permits sending the request again when a reused connection ends before the reply. For calls of
   * which only a successful reply counts, and that may arrive twice or late. */
  bool is_resendable;
  /* Called right before the request is sent, after any wait for a connection; if this returns
   * false, nothing is sent, or not again. NULL always permits sending. */
  bool (*may_send) (void *context);
  void *may_send_context;
  /* Called when a part of the body has arrived. NULL for none. */
  void (*on_progress) (void *context);
  void (*on_done) (void *context, const struct fl_http_result *result);
  void *context;
};

struct fl_http_client_options
{
  struct ev_loop *loop;
  int64_t connections_max; /* limits the connections that are kept open for reuse */
  /* Calls that have a limit of connections to their peer also wait while this many of them are in
   * progress to all peers. 0 for no limit. */
  int64_t busy_max;
  const struct fl_log *log; /* NULL logs nothing */
  struct fl_stats *stats;   /* counts the traffic of the calls; NULL counts nothing */
};

/* Copies @options; what it points to is borrowed. */
struct fl_http_client *fl_http_client_new (const struct fl_http_client_options *options);

/* Frees the client and drops open calls without calling on_done. */
void fl_http_client_free (struct fl_http_client *client);

/* Starts @call. on_done is called exactly once, and not before this function returns. */
void fl_http_client_start (struct fl_http_client *client, const struct fl_http_call *call);
