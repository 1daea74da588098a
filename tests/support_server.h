/* A TCP server for tests of the HTTP client: it replies to the first request, then ends the reused
 * connection in the middle of a request, or its first connection if nothing was sent over it
 * before. All later connections are treated alike. It runs in a thread of its own. */
#pragma once

#include <stdbool.h>

/* What happens to the request that the test is about. */
enum support_connection_end
{
  SUPPORT_END_SERVED,  /* it is treated like those on later connections */
  SUPPORT_END_CLOSED,  /* it is read, and the connection is closed without a reply */
  SUPPORT_END_RESET,   /* it is read, and the connection is reset without a reply */
  SUPPORT_END_PARTIAL, /* it is read, and the connection is closed after a part of the reply */
};

struct support_server_options
{
  bool is_reused; /* replies with 200 to one request before */
  enum support_connection_end end;
  /* What happens to requests on later connections: a reply with this status, no reply if it is 0;
   * the connection itself is refused if it is negative. */
  int later_status;
  const char *later_body; /* of the reply; NULL for {} */
};

struct support_server;

/* Listens on 127.0.0.1. @options are copied, the body is borrowed. */
struct support_server *support_server_new (const struct support_server_options *options);

int support_server_port (const struct support_server *server);

/* Ends the thread, waits for it and frees the server.
 * @return the number of requests that were completely received, without the one replied to before.
 */
int support_server_free (struct support_server *server);
