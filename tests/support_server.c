#include "support_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

/* A request that does not arrive completely within this time does not count. */
#define RECEIVE_TIMEOUT_S 5
#define CONNECTIONS_MAX 16
#define STOP_CHECK_INTERVAL_MS 10

struct support_server
{
  struct support_server_options options;
  int port;
  GThread *thread;
  gint is_stopped; /* atomic; the thread uses the members below */
  struct support_server_counts counts;
  int requests_served;                        /* all */
  struct pollfd sockets[CONNECTIONS_MAX + 1]; /* the listener (-1 once closed), connections */
  nfds_t socket_count;
};

static bool
is_complete (const GString *request)
{
  const char *body = strstr (request->str, "\r\n\r\n");
  const char *length = strcasestr (request->str, "\r\nContent-Length:");
  gint64 expected;

  if (body == NULL)
    return false;
  expected
      = length != NULL ? g_ascii_strtoll (length + strlen ("\r\nContent-Length:"), NULL, 10) : 0;
  return (gint64)strlen (body + 4) >= expected;
}

/* @return whether a whole request has arrived on @connection. */
static bool
read_request (int connection)
{
  g_autoptr (GString) request = g_string_new (NULL);
  char buffer[4096];

  while (!is_complete (request))
    {
      ssize_t size = recv (connection, buffer, sizeof buffer, 0);
      if (size <= 0)
        return false;
      g_string_append_len (request, buffer, size);
    }
  return true;
}

static void
send_text (int connection, const char *text)
{
  ssize_t size = send (connection, text, strlen (text), MSG_NOSIGNAL);

  (void)size;
}

static void
send_reply (int connection, int status, const char *body)
{
  g_autofree char *text = g_strdup_printf ("HTTP/1.1 %d Reply\r\nContent-Length: %zu\r\n\r\n%s",
                                           status, strlen (body), body);

  send_text (connection, text);
}

static void
accept_connection (struct support_server *server)
{
  struct timeval timeout = { .tv_sec = RECEIVE_TIMEOUT_S };
  int connection = accept (server->sockets[0].fd, NULL, NULL);

  g_assert (connection >= 0 && server->socket_count <= CONNECTIONS_MAX);
  setsockopt (connection, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  server->sockets[server->socket_count++] = (struct pollfd){ .fd = connection, .events = POLLIN };
  server->counts.connections++;
}

/* poll skips negative descriptors. */
static void
close_socket (struct pollfd *socket)
{
  if (socket->fd >= 0)
    close (socket->fd);
  socket->fd = -1;
}

static void
end_connection (struct support_server *server, struct pollfd *connection)
{
  struct linger discard = { .l_onoff = 1, .l_linger = 0 };

  if (server->options.later_status < 0)
    close_socket (&server->sockets[0]);
  if (server->options.end == SUPPORT_END_PARTIAL)
    send_text (connection->fd, "HTTP/1.1 200 Reply\r\nContent-Length: 100\r\n");
  if (server->options.end == SUPPORT_END_RESET)
    setsockopt (connection->fd, SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
  close_socket (connection);
}

static void
serve_request (struct support_server *server, struct pollfd *connection)
{
  const struct support_server_options *options = &server->options;

  if (!read_request (connection->fd))
    {
      close_socket (connection);
      return;
    }
  if (server->requests_served++ < options->idle_connections)
    {
      send_reply (connection->fd, 200, "{}");
      if (options->end == SUPPORT_END_IDLE)
        close_socket (connection);
      return;
    }
  if (options->end == SUPPORT_END_DELAYED)
    g_usleep (SUPPORT_REPLY_DELAY_MS * 1000);
  if (server->counts.requests++ == 0 && options->end >= SUPPORT_END_CLOSED)
    end_connection (server, connection);
  else if (options->later_status > 0)
    send_reply (connection->fd, options->later_status,
                options->later_body != NULL ? options->later_body : "{}");
}

static void *
serve (void *data)
{
  struct support_server *server = data;

  bool is_last;

  do
    {
      /* What arrived before the stop is still counted. */
      is_last = g_atomic_int_get (&server->is_stopped) != 0;
      poll (server->sockets, server->socket_count, is_last ? 0 : STOP_CHECK_INTERVAL_MS);
      if (server->sockets[0].revents != 0)
        accept_connection (server);
      for (nfds_t i = 1; i < server->socket_count; i++)
        if (server->sockets[i].fd >= 0 && server->sockets[i].revents != 0)
          serve_request (server, &server->sockets[i]);
    }
  while (!is_last);
  return NULL;
}

struct support_server *
support_server_new (const struct support_server_options *options)
{
  struct support_server *server = g_new0 (struct support_server, 1);
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t size = sizeof address;
  int listener;

  server->options = *options;
  listener = socket (AF_INET, SOCK_STREAM, 0);
  g_assert (bind (listener, (struct sockaddr *)&address, size) == 0);
  g_assert (listen (listener, CONNECTIONS_MAX) == 0);
  g_assert (getsockname (listener, (struct sockaddr *)&address, &size) == 0);
  server->port = ntohs (address.sin_port);
  server->sockets[0] = (struct pollfd){ .fd = listener, .events = POLLIN };
  server->socket_count = 1;
  server->thread = g_thread_new ("server", serve, server);
  return server;
}

int
support_server_port (const struct support_server *server)
{
  return server->port;
}

struct support_server_counts
support_server_free (struct support_server *server)
{
  struct support_server_counts counts;

  g_atomic_int_set (&server->is_stopped, 1);
  g_thread_join (server->thread);
  for (nfds_t i = 0; i < server->socket_count; i++)
    close_socket (&server->sockets[i]);
  counts = server->counts;
  g_free (server);
  return counts;
}
