/* An HTTP client task on a libev loop, over libcurl's multi interface. */
#pragma once

#include <ev.h>
#include <stddef.h>
#include <stdint.h>

#include "common/error.h"
#include "common/str.h"

struct fl_http_client;

/* What came of a call. Valid during the callback only. */
struct fl_http_result
{
  int status;            /* HTTP status, 0 when no answer arrived */
  struct fl_str body;    /* the whole body */
  bool maybe_sent;       /* whether any byte of the request may have left this process */
  struct fl_error error; /* filled when status is 0 */
};

struct fl_http_call
{
  const char *method;
  const char *url;
  const char *header; /* one more header line, "Name: value"; NULL for none */
  const char *body;   /* copied; NULL for none */
  size_t len;
  int64_t timeout_ms;
  int64_t connect_timeout_ms;
  /* Opens a connection of its own. libcurl sends a request again by itself when a kept connection
   * turns out to be closed; calls that must not arrive twice set this. */
  bool fresh_connection;
  /* Asked right before the request is sent, after any wait for a connection; false sends nothing.
   * NULL permits always. */
  bool (*may_send) (void *context);
  void *may_send_context;
  void (*on_done) (void *context, const struct fl_http_result *result);
  void *context;
};

struct fl_http_client *fl_http_client_new (struct ev_loop *loop, int64_t connections_max);

/* Drops open calls without calling back, and frees the client. */
void fl_http_client_free (struct fl_http_client *client);

/* Starts @call. on_done is called exactly once, never before this returns. */
void fl_http_client_start (struct fl_http_client *client, const struct fl_http_call *call);
