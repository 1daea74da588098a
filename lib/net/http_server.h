/* Asynchronous HTTP server on a libev loop, built on libmicrohttpd. The handler receives complete
 * requests and may respond at once or later. The server enforces the limits on headers, bodies,
 * connections and time.
 *
 * A request that is on its way when an idle connection is closed is lost. Idle connections are
 * therefore closed as rarely as memory allows: the longest idle ones when there are too many, or
 * when almost all connections are in use, and none on which bytes wait unread. Keep-alive probes
 * find peers that are gone. */
#pragma once

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/error.h"
#include "common/log.h"
#include "common/stats.h"
#include "common/str.h"

struct fl_http_server;
struct fl_http_request;

struct fl_http_server_options
{
  struct ev_loop *loop;
  const char *name;         /* of the listener, in logs; borrowed, as log and stats are */
  const struct fl_log *log; /* connections that the server closes by a timeout; may be NULL */
  struct fl_stats *stats;   /* counts them; may be NULL */
  const char *address;      /* IPv4 address to listen on */
  int64_t port;             /* 0 picks a free port */
  int64_t body_max;         /* bytes; a longer body is rejected with status 413 */
  /* Bytes that the bodies of all open requests may take; 0 for no limit. A request whose body would
   * exceed this is rejected with status 503. */
  int64_t all_bodies_max;
  /* Bytes of memory for the request line and headers; with more than this, less some 2 KB for the
   * response and 64 bytes for each header, a request is rejected with status 431. */
  int64_t header_max;
  int64_t connections_max;
  int64_t idle_connections_max; /* above this, the longest idle are closed; 0: no such limit */
  int64_t idle_timeout_ms;      /* idle connections are closed some 2 s after this */
  /* A request gets status 408 some 2 s after this time in which nothing of it arrived, or when it
   * takes longer to arrive while almost all connections are open. */
  int64_t upload_timeout_ms;
  /* Called once for each complete request; must lead to exactly one fl_http_respond. */
  void (*on_request) (void *context, struct fl_http_request *request);
  void *context;
};

struct fl_http_response
{
  int status;
  const char *type; /* NULL means application/json */
  const char *body; /* copied */
  size_t len;
  int64_t retry_after_ms; /* if positive, sent as Retry-After, rounded up to seconds */
  bool close_connection;  /* close the connection after this response */
};

/* @return a new server, or NULL with @error filled when the address cannot be bound. */
struct fl_http_server *fl_http_server_new (const struct fl_http_server_options *options,
                                           struct fl_error *error);

/* Frees the server and closes all connections. Requests that have arrived but not been passed to
 * the handler are rejected with status 503; requests without a response get status 504, since their
 * outcome is unknown, and must not be responded to any more. Waits a short time until the responses
 * are sent. */
void fl_http_server_free (struct fl_http_server *server);

/* Begins no further connection, and closes the listening socket a moment later. Connections that
 * have begun by then are accepted, and those that are open stay open. NULL is allowed. */
void fl_http_server_stop_listening (struct fl_http_server *server);

/* @return the number of open connections, with or without a request, and of those that the server
 * has closed and whose clients may still be reading the last response. */
int fl_http_server_open_connections (const struct fl_http_server *server);

/* @return the port that the server listens on. */
int fl_http_server_port (const struct fl_http_server *server);

/* @return the number of complete requests without a response. */
int fl_http_server_open_requests (const struct fl_http_server *server);

/* The parts of a request are valid until fl_http_respond. */
const char *fl_http_method (const struct fl_http_request *request);
const char *fl_http_path (const struct fl_http_request *request);
const struct fl_str *fl_http_body (const struct fl_http_request *request);

/* @return when the request had completely arrived (boot clock). If the process did not run, that is
 * before the request was read. */
int64_t fl_http_arrived_ms (const struct fl_http_request *request);

/* @return whether the client had left before the request was read: it had reset the connection, or
 * closed it while the process did not run. Clients that close only their end, and wait for the
 * response, cannot be told from those. */
bool fl_http_client_has_left (const struct fl_http_request *request);

/* @return the value of a header or query argument, or NULL if there is none. */
const char *fl_http_header (const struct fl_http_request *request, const char *name);
const char *fl_http_query (const struct fl_http_request *request, const char *name);

/* Responds to @request. The pointer is invalid afterwards. */
void fl_http_respond (struct fl_http_request *request, const struct fl_http_response *response);

/* Responds with {"error": {code, step, peer, text}} and the status that matches the code. The
 * pointer to the request is invalid afterwards. */
void fl_http_respond_error (struct fl_http_request *request, const struct fl_error *error);
