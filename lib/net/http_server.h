/* An HTTP server task on a libev loop, over libmicrohttpd. Requests are handed over whole; the
 * answer may come at once or later. Header, body, connection and time limits are enforced here.
 */
#pragma once

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/error.h"
#include "common/str.h"

struct fl_http_server;
struct fl_http_request;

struct fl_http_server_options
{
  struct ev_loop *loop;
  const char *address; /* IPv4 number to listen on */
  int64_t port;        /* 0 picks a free port */
  int64_t body_max;    /* bytes; a longer body gets 413 */
  int64_t header_max;  /* bytes for request line and headers */
  int64_t connections_max;
  int64_t idle_timeout_ms;   /* a connection without a request is closed after this */
  int64_t upload_timeout_ms; /* a request must have arrived whole within this */
  /* Called once for each whole request; must lead to exactly one fl_http_respond. */
  void (*on_request) (void *context, struct fl_http_request *request);
  void *context;
};

struct fl_http_response
{
  int status;
  const char *type; /* NULL means application/json */
  const char *body; /* copied */
  size_t len;
  int64_t retry_after_ms; /* when positive, sent as Retry-After in whole seconds, rounded up */
  bool close_connection;  /* the connection ends with this response */
};

/* @return NULL with @error filled when the address cannot be bound. */
struct fl_http_server *fl_http_server_new (const struct fl_http_server_options *options,
                                           struct fl_error *error);

/* Answers open requests with 503, closes all connections and frees the server. */
void fl_http_server_free (struct fl_http_server *server);

/* The port in use. */
int fl_http_server_port (const struct fl_http_server *server);

/* Requests that have arrived and are not yet answered. */
int fl_http_server_open_requests (const struct fl_http_server *server);

const char *fl_http_method (const struct fl_http_request *request);
const char *fl_http_path (const struct fl_http_request *request);
const struct fl_str *fl_http_body (const struct fl_http_request *request);

/* When the request was whole, by the boot clock. */
int64_t fl_http_arrived_ms (const struct fl_http_request *request);

/* @return the value of a header or query argument, or NULL. */
const char *fl_http_header (const struct fl_http_request *request, const char *name);
const char *fl_http_query (const struct fl_http_request *request, const char *name);

/* Answers @request and forgets it; the pointer is invalid afterwards. */
void fl_http_respond (struct fl_http_request *request, const struct fl_http_response *response);

/* Answers with {"error": {code, step, peer, text}} and the status that fits the code. */
void fl_http_respond_error (struct fl_http_request *request, const struct fl_error *error);
