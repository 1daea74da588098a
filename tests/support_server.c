#include "support_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

/* A request that does not arrive completely within this time does not count. */
#define RECEIVE_TIMEOUT_S 5
#define CONNECTIONS_MAX 16

struct support_server
{
  struct support_server_options options;
  int port;
  int listener; /* -1 once it is closed */
  int requests; /* of interest; written by the thread */
  int open[CONNECTIONS_MAX];
  int open_count;
  GThread *thread;
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

static int
accept_connection (struct support_server *server)
{
  struct timeval timeout = { .tv_sec = RECEIVE_TIMEOUT_S };
  int connection = accept (server->listener, NULL, NULL);

  if (connection >= 0)
    setsockopt (connection, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  return connection;
}

static void
stop_listening (struct support_server *server)
{
  close (server->listener);
  server->listener = -1;
}

static void
end_connection (int connection, enum support_connection_end end)
{
  struct linger discard = { .l_onoff = 1, .l_linger = 0 };

  if (end == SUPPORT_END_PARTIAL)
    send_text (connection, "HTTP/1.1 200 Reply\r\nContent-Length: 100\r\n");
  if (end == SUPPORT_END_RESET)
    setsockopt (connection, SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
  close (connection);
}

/* Receives one request and treats it like all on later connections. */
static void
serve_later_request (struct support_server *server, int connection)
{
  if (read_request (connection))
    {
      server->requests++;
      if (server->options.later_status > 0)
        send_reply (connection, server->options.later_status,
                    server->options.later_body != NULL ? server->options.later_body : "{}");
    }
  if (server->open_count < CONNECTIONS_MAX)
    server->open[server->open_count++] = connection;
  else
    close (connection);
}

static void *
serve (void *data)
{
  struct support_server *server = data;
  int connection = accept_connection (server);

  if (connection < 0)
    return NULL;
  if (server->options.is_reused && read_request (connection))
    send_reply (connection, 200, "{}");
  if (server->options.end == SUPPORT_END_SERVED)
    serve_later_request (server, connection);
  else
    {
      if (read_request (connection))
        server->requests++;
      if (server->options.later_status < 0)
        stop_listening (server);
      end_connection (connection, server->options.end);
    }
  while (server->listener >= 0 && (connection = accept_connection (server)) >= 0)
    serve_later_request (server, connection);
  return NULL;
}

struct support_server *
support_server_new (const struct support_server_options *options)
{
  struct support_server *server = g_new0 (struct support_server, 1);
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t size = sizeof address;

  server->options = *options;
  server->listener = socket (AF_INET, SOCK_STREAM, 0);
  g_assert (bind (server->listener, (struct sockaddr *)&address, size) == 0);
  g_assert (listen (server->listener, CONNECTIONS_MAX) == 0);
  g_assert (getsockname (server->listener, (struct sockaddr *)&address, &size) == 0);
  server->port = ntohs (address.sin_port);
  server->thread = g_thread_new ("server", serve, server);
  return server;
}

int
support_server_port (const struct support_server *server)
{
  return server->port;
}

int
support_server_free (struct support_server *server)
{
  int requests;

  if (server->listener >= 0)
    shutdown (server->listener, SHUT_RDWR);
  g_thread_join (server->thread);
  if (server->listener >= 0)
    close (server->listener);
  for (int i = 0; i < server->open_count; i++)
    close (server->open[i]);
  requests = server->requests;
  g_free (server);
  return requests;
}
