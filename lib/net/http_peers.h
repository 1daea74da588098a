/* Open connections of an HTTP client by peer, and what was heard on them. */
#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct fl_http_peers;

/* A peer, which exists while it has connections or users. */
struct fl_http_peer
{
  struct fl_http_peers *peers;
  char *address;          /* "ip:port" */
  GPtrArray *connections; /* struct fl_http_connection *, in the order of their opening */
  int user_count;
  int busy_count;  /* users that count towards the limit of their connections */
  GQueue waiting;  /* users that wait until fewer are busy */
  bool is_suspect; /* a call got no reply in time, and nothing has been heard since */
};

struct fl_http_connection
{
  struct fl_http_peer *peer;
  int fd;
  int local_port;   /* 0 before it is known */
  int64_t heard_ms; /* last, by the boot clock; the opening counts */
  /* The member of the user that points to this connection, set to NULL when the connection is
   * closed or taken by another user. NULL while the connection is idle. */
  struct fl_http_connection **user;
  bool is_shut_down;
};

struct fl_http_peers *fl_http_peers_new (void);
void fl_http_peers_free (struct fl_http_peers *peers);

/* @return the peer that @url names, with one more user. */
struct fl_http_peer *fl_http_peers_get (struct fl_http_peers *peers, const char *url);

/* Ends the use of @peer by one user. */
void fl_http_peer_release (struct fl_http_peer *peer);

/* Records that @fd is opened to @peer for @user. */
void fl_http_peer_open (struct fl_http_peer *peer, int fd, struct fl_http_connection **user);

/* Records that @user now uses the connection of @peer with @local_port. */
void
fl_http_peer_take (struct fl_http_peer *peer, int local_port, struct fl_http_connection **user);

/* Records that something arrived on @connection. */
void fl_http_connection_heard (struct fl_http_connection *connection);

/* Records that @connection is not used any more. */
void fl_http_connection_put_back (struct fl_http_connection *connection);

/* Records that @fd is closed. */
void fl_http_peers_close (struct fl_http_peers *peers, int fd);

/* Shuts down the idle connections on which nothing was heard after @since_ms; libcurl closes them
 * when it looks for a connection. @return their number. */
int fl_http_peer_shut_down_unheard (struct fl_http_peer *peer, int64_t since_ms);
