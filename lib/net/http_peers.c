#include "net/http_peers.h"

#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>

#include "common/clock.h"

struct fl_http_peers
{
  GHashTable *by_address;  /* address -> struct fl_http_peer * */
  GHashTable *connections; /* fd -> struct fl_http_connection * */
};

static void
peer_free (void *data)
{
  struct fl_http_peer *peer = data;

  g_ptr_array_unref (peer->connections);
  g_queue_clear (&peer->waiting);
  g_free (peer->address);
  g_free (peer);
}

static void
remove_unused (struct fl_http_peer *peer)
{
  if (peer->user_count == 0 && peer->connections->len == 0)
    g_hash_table_remove (peer->peers->by_address, peer->address);
}

static void
set_user (struct fl_http_connection *connection, struct fl_http_connection **user)
{
  if (connection->user != NULL)
    *connection->user = NULL;
  if (user != NULL && *user != NULL)
    (*user)->user = NULL;
  connection->user = user;
  if (user != NULL)
    *user = connection;
}

struct fl_http_peers *
fl_http_peers_new (void)
{
  struct fl_http_peers *peers = g_new0 (struct fl_http_peers, 1);

  peers->by_address = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, peer_free);
  peers->connections = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  return peers;
}

void
fl_http_peers_free (struct fl_http_peers *peers)
{
  g_hash_table_destroy (peers->by_address);
  g_hash_table_destroy (peers->connections);
  g_free (peers);
}

struct fl_http_peer *
fl_http_peers_get (struct fl_http_peers *peers, const char *url)
{
  const char *scheme_end = strstr (url, "://");
  const char *start = scheme_end != NULL ? scheme_end + strlen ("://") : url;
  g_autofree char *address = g_strndup (start, strcspn (start, "/?#"));
  struct fl_http_peer *peer = g_hash_table_lookup (peers->by_address, address);

  if (peer == NULL)
    {
      peer = g_new0 (struct fl_http_peer, 1);
      peer->peers = peers;
      peer->address = g_steal_pointer (&address);
      peer->connections = g_ptr_array_new ();
      g_queue_init (&peer->waiting);
      g_hash_table_insert (peers->by_address, peer->address, peer);
    }
  peer->user_count++;
  return peer;
}

void
fl_http_peer_release (struct fl_http_peer *peer)
{
  peer->user_count--;
  remove_unused (peer);
}

void
fl_http_peer_open (struct fl_http_peer *peer, int fd, struct fl_http_connection **user)
{
  struct fl_http_connection *connection = g_new0 (struct fl_http_connection, 1);

  fl_http_peers_close (peer->peers, fd);
  connection->peer = peer;
  connection->fd = fd;
  connection->heard_ms = fl_clock_boot_ms ();
  set_user (connection, user);
  g_ptr_array_add (peer->connections, connection);
  g_hash_table_insert (peer->peers->connections, GINT_TO_POINTER (fd), connection);
}

static int
get_local_port (struct fl_http_connection *connection)
{
  struct sockaddr_in address = { 0 };
  socklen_t len = sizeof address;

  if (connection->local_port == 0
      && getsockname (connection->fd, (struct sockaddr *)&address, &len) == 0)
    connection->local_port = ntohs (address.sin_port);
  return connection->local_port;
}

void
fl_http_peer_take (struct fl_http_peer *peer, int local_port, struct fl_http_connection **user)
{
  for (guint i = 0; i < peer->connections->len; i++)
    {
      struct fl_http_connection *connection = g_ptr_array_index (peer->connections, i);
      if (get_local_port (connection) == local_port && connection->user != user)
        set_user (connection, user);
    }
}

void
fl_http_connection_heard (struct fl_http_connection *connection)
{
  connection->heard_ms = fl_clock_boot_ms ();
  connection->peer->is_suspect = false;
}

void
fl_http_connection_put_back (struct fl_http_connection *connection)
{
  set_user (connection, NULL);
}

void
fl_http_peers_close (struct fl_http_peers *peers, int fd)
{
  struct fl_http_connection *connection
      = g_hash_table_lookup (peers->connections, GINT_TO_POINTER (fd));

  if (connection == NULL)
    return;
  struct fl_http_peer *peer = connection->peer;
  set_user (connection, NULL);
  g_ptr_array_remove (peer->connections, connection);
  g_hash_table_remove (peers->connections, GINT_TO_POINTER (fd));
  remove_unused (peer);
}

int
fl_http_peer_shut_down_unheard (struct fl_http_peer *peer, int64_t since_ms)
{
  int count = 0;

  for (guint i = 0; i < peer->connections->len; i++)
    {
      struct fl_http_connection *connection = g_ptr_array_index (peer->connections, i);
      if (connection->user != NULL || connection->is_shut_down || connection->heard_ms > since_ms)
        continue;
      connection->is_shut_down = true;
      shutdown (connection->fd, SHUT_RDWR);
      count++;
    }
  return count;
}
