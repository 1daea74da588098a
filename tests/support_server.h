/* A TCP server for tests of the HTTP client. It replies with 200 to one request on each of some
 * connections, which then are idle; ends the connection of the next request; and treats all later
 * requests alike. It runs in a thread of its own. */
#pragma once

#include <stdbool.h>

/* See SUPPORT_END_DELAYED. */
#define SUPPORT_REPLY_DELAY_MS 50

enum support_connection_end
{
  SUPPORT_END_SERVED,  /* none: the request is treated like later ones */
  SUPPORT_END_DELAYED, /* none: all later requests are treated alike after a delay */
  SUPPORT_END_IDLE,    /* none; the idle connections are closed after their request */
  SUPPORT_END_CLOSED,  /* closed after the request has been read */
  SUPPORT_END_RESET,   /* reset after the request has been read */
  SUPPORT_END_PARTIAL, /* closed after a part of the reply */
};

struct support_server_options
{
  int idle_connections;
  enum support_connection_end end; /* of the connection of the request that the test is about */
  /* What happens to later requests: a reply with this status, or no reply if it is 0. If it is
   * negative, new connections are refused. */
  int later_status;
  const char *later_body; /* of the reply; NULL for {} */
};

struct support_server;

/* Listens on 127.0.0.1 and copies @options; the body is borrowed. */
struct support_server *support_server_new (const struct support_server_options *options);

int support_server_port (const struct support_server *server);

/* What has arrived. */
struct support_server_counts
{
  int requests;    /* received completely, without those before the one that the test is about */
  int connections; /* accepted */
};

/* Ends the thread, waits for it and frees the server. */
struct support_server_counts support_server_free (struct support_server *server);
