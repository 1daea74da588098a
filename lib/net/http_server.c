#include "net/http_server.h"

#include <arpa/inet.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>
#include <jansson.h>
#include <microhttpd.h>

#include "common/clock.h"
#include "common/schema.h"
#include "net/lingering.h"
#include "net/loop_watch.h"
#include "net/socket_state.h"

/* Interval of the check for idle and slow connections. */
#define SWEEP_INTERVAL_MS 1000
/* Unread bytes are counted up to this. */
#define UNREAD_COUNT_MAX 4096
/* This part of connections_max is kept free by closing idle connections. */
#define FREE_CONNECTIONS_SHARE 16
/* Connections are not closed as idle before this: a request follows the handshake, or the response
 * to the one before. */
#define IDLE_MIN_MS 1000
/* A peer that acknowledges nothing is given up after this; much longer than usual partitions. */
#define PEER_TIMEOUT_S 60
#define KEEP_ALIVE_IDLE_S 30
#define KEEP_ALIVE_INTERVAL_S 10
/* For the client to read the last response of a connection, and to close. */
#define LINGER_MS 2000
#define LISTEN_BACKLOG 1024
/* Of the memory of a connection: the status line and headers of a response, and the amount by which
 * libmicrohttpd lets its read buffer grow. */
#define RESPONSE_HEAD_BYTES 2048
#define HEADER_ENTRY_BYTES 64
/* fl_http_server_free goes on while requests arrive and responses are sent: until nothing of them
 * has for FREE_QUIET_MS, and not longer than FREE_MAX_MS. On a small share of a processor, reading
 * what waits takes several times FREE_QUIET_MS. */
#define FREE_QUIET_MS 100
#define FREE_MAX_MS 300
#define FREE_RETRY_AFTER_MS 1000
/* From the last SYN that is accepted until the listening socket is closed, so that the handshakes
 * that have begun are completed: a round trip, and delays of the kernel on a host that is short of
 * CPU. Connections that are attempted meanwhile are refused only when their SYN is sent again. */
#define HANDSHAKE_MS 10

struct fl_http_server
{
  struct fl_http_server_options options;
  struct MHD_Daemon *daemon;
  ev_io epoll_watcher;
  ev_prepare prepare;
  ev_timer wakeup_timer;
  ev_timer sweep_timer;
  int64_t last_sweep_ms;
  int64_t last_turn_ms;           /* when the loop began to wait for the last time */
  struct connection *connections; /* list head */
  int connection_count;
  int shut_down_count;       /* of them, those that were shut down but not closed yet */
  bool was_full;             /* connections_max was reached */
  GHashTable *open_requests; /* set of complete requests without a response */
  struct fl_lingering *lingering;
  int64_t body_bytes;   /* of the bodies of all open requests */
  int unsent_responses; /* complete requests whose response has not been sent completely */
  bool has_stopped_listening;
  MHD_socket listener;  /* from fl_http_server_stop_listening until it is closed */
  ev_timer close_timer; /* closes it */
  bool closing;         /* fl_http_server_free has been called */
  bool resumed;         /* a connection was resumed since libmicrohttpd last ran */
};

/* One TCP connection, from accept to close. */
struct connection
{
  struct fl_http_server *server;
  struct connection *next;
  struct connection *previous;
  int fd;
  int64_t accepted_ms;
  int64_t phase_start_ms; /* connection accepted, last response sent, or the last time that bytes of
                             a request arrived */
  int64_t request_line_ms; /* when the first line of the present request was read; 0 before */
  int64_t request_start_ms;
  bool in_request;
  bool uploading;
  bool is_rejected;         /* the last response was sent before the request was begun */
  bool is_shut_down;        /* by the server; what arrives later is discarded */
  int64_t linger_until_ms;  /* read, but not written any more, until then; 0 if not lingering */
  int64_t overdue_phase_ms; /* phase_start_ms when the last sweep found the connection overdue */
};

/* Why the server closes a connection on which no response is due. */
enum close_reason
{
  CLOSE_IDLE,
  CLOSE_LIMIT, /* too many connections */
  CLOSE_UPLOAD,
};

struct fl_http_request
{
  struct fl_http_server *server;
  struct connection *connection;
  struct MHD_Connection *mhd;
  char *method;
  char *path;
  GString *body;
  struct fl_str body_view;
  bool too_large;
  bool has_no_memory; /* all_bodies_max was reached */
  bool dispatched;
  int64_t arrived_ms;    /* by the boot clock */
  int64_t dispatched_ms; /* by the monotonic clock */
  bool client_has_left;
  bool suspended;
  struct MHD_Response *response; /* set by fl_http_respond */
  int status;
  int64_t response_len;
};

static int64_t
now_ms (void)
{
  return fl_clock_monotonic_us () / 1000;
}

/* --- connections --- */

static void
set_socket_option (int fd, int level, int option, int value)
{
  setsockopt (fd, level, option, &value, sizeof value);
}

static void
detect_lost_peer (int fd)
{
  set_socket_option (fd, IPPROTO_TCP, TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S);
  set_socket_option (fd, IPPROTO_TCP, TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S);
  set_socket_option (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, PEER_TIMEOUT_S * 1000);
  set_socket_option (fd, SOL_SOCKET, SO_KEEPALIVE, 1);
}

/* Keeps a connection that is about to be closed open for reading if its close could lose a part of
 * the last response: bytes wait unread, or not all that was sent is acknowledged. A process that
 * ends waits only for connections on which bytes wait. */
static void
linger (struct fl_http_server *server, const struct connection *connection)
{
  struct fl_socket_state socket = fl_socket_state_get (connection->fd);
  int count = server->connection_count + fl_lingering_count (server->lingering);

  if (strcmp (socket.peer, "open") == 0
      && (socket.unread_bytes > 0 || (socket.unacked_bytes > 0 && !server->closing))
      && count < server->options.connections_max)
    fl_lingering_add (server->lingering, connection->fd);
}

static void
on_connection (void *context,
               struct MHD_Connection *mhd,
               void **socket_context,
               enum MHD_ConnectionNotificationCode code)
{
  struct fl_http_server *server = context;
  struct connection *connection = *socket_context;

  if (code == MHD_CONNECTION_NOTIFY_STARTED)
    {
      const union MHD_ConnectionInfo *info
          = MHD_get_connection_info (mhd, MHD_CONNECTION_INFO_CONNECTION_FD);
      connection = g_new0 (struct connection, 1);
      connection->server = server;
      connection->fd = info->connect_fd;
      connection->accepted_ms = now_ms ();
      connection->phase_start_ms = connection->accepted_ms;
      connection->next = server->connections;
      if (connection->next != NULL)
        connection->next->previous = connection;
      server->connections = connection;
      server->connection_count++;
      if (server->connection_count >= server->options.connections_max)
        server->was_full = true;
      detect_lost_peer (connection->fd);
      *socket_context = connection;
      return;
    }
  if (connection == NULL)
    return;
  if (connection->next != NULL)
    connection->next->previous = connection->previous;
  if (connection->previous != NULL)
    connection->previous->next = connection->next;
  else
    server->connections = connection->next;
  server->connection_count--;
  if (connection->is_shut_down)
    server->shut_down_count--;
  else
    linger (server, connection);
  g_free (connection);
  *socket_context = NULL;
}

static struct connection *
get_connection (struct MHD_Connection *mhd)
{
  const union MHD_ConnectionInfo *info
      = MHD_get_connection_info (mhd, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

  return info->socket_context;
}

static const char *
get_phase_name (const struct connection *connection)
{
  if (connection->uploading)
    return "upload";
  return connection->in_request ? "request" : "idle";
}

/* @return how many bytes have arrived that libmicrohttpd has not read, up to UNREAD_COUNT_MAX. */
static int
count_unread_bytes (const struct connection *connection)
{
  char buffer[UNREAD_COUNT_MAX];
  ssize_t count = recv (connection->fd, buffer, sizeof buffer, MSG_PEEK | MSG_DONTWAIT);

  return count > 0 ? (int)count : 0;
}

/* Responds to a request to which libmicrohttpd cannot: one that has not arrived completely, or that
 * leaves no memory for a response. Nothing else may be sent on the connection. */
static void
send_last_response (const struct connection *connection, const char *status)
{
  g_autofree char *response = g_strdup_printf ("HTTP/1.1 %s\r\n"
                                               "Content-Type: application/json\r\n"
                                               "Content-Length: 2\r\n"
                                               "Connection: close\r\n\r\n{}",
                                               status);

  send (connection->fd, response, strlen (response), MSG_DONTWAIT | MSG_NOSIGNAL);
}

/* Shuts the connection down; libmicrohttpd then closes it. A client that is sending a request gets
 * a response first, and the connection is closed when the client has closed it: unread bytes would
 * reset it, and the response be lost. */
static void
close_connection (struct connection *connection, enum close_reason reason, int64_t now)
{
  static const struct
  {
    const char *name;
    const char *counter;
  } reasons[] = {
    [CLOSE_IDLE] = { "idle", "connections_closed_total{why=\"idle\"}" },
    [CLOSE_LIMIT] = { "limit", "connections_closed_total{why=\"limit\"}" },
    [CLOSE_UPLOAD] = { "upload", "connections_closed_total{why=\"upload\"}" },
  };
  const struct fl_http_server_options *options = &connection->server->options;

  fl_log (options->log, FL_LOG_INFO, "connection_closed", FL_S ("listener", options->name),
          FL_S ("why", reasons[reason].name), FL_S ("phase", get_phase_name (connection)),
          FL_I ("age_ms", now - connection->accepted_ms),
          FL_I ("phase_ms", now - connection->phase_start_ms),
          FL_I ("unread", count_unread_bytes (connection)),
          FL_I ("loop_waited_ms", now - connection->server->last_turn_ms),
          FL_I ("connections", connection->server->connection_count));
  fl_stats_add (options->stats, reasons[reason].counter, 1);
  connection->is_shut_down = true;
  connection->server->shut_down_count++;
  if (connection->uploading)
    {
      send_last_response (connection, "408 Request Timeout");
      connection->linger_until_ms = now + LINGER_MS;
    }
  shutdown (connection->fd, connection->uploading ? SHUT_WR : SHUT_RDWR);
}

/* @return whether bytes have arrived since libmicrohttpd last read; the connection then counts as
 * used just now. */
static bool
has_unread_bytes (struct connection *connection, int64_t now)
{
  if (count_unread_bytes (connection) == 0)
    return false;
  connection->phase_start_ms = now;
  fl_stats_add (connection->server->options.stats, "connections_kept_unread_total", 1);
  return true;
}

static int
compare_phase_starts (const void *a, const void *b)
{
  const struct connection *const *first = a;
  const struct connection *const *second = b;

  return ((*first)->phase_start_ms > (*second)->phase_start_ms)
         - ((*first)->phase_start_ms < (*second)->phase_start_ms);
}

/* @return the idle connections, the longest idle first. */
static GPtrArray *
list_idle_connections (const struct fl_http_server *server)
{
  GPtrArray *idle = g_ptr_array_new ();

  for (struct connection *c = server->connections; c != NULL; c = c->next)
    if (!c->in_request && !c->is_shut_down)
      g_ptr_array_add (idle, c);
  g_ptr_array_sort (idle, compare_phase_starts);
  return idle;
}

/* @return by how many connections a limit is exceeded. */
static int64_t
count_excess_connections (const struct fl_http_server *server, int64_t idle_count)
{
  const struct fl_http_server_options *options = &server->options;
  int64_t free_min = MAX (options->connections_max / FREE_CONNECTIONS_SHARE, 1);
  int64_t excess
      = server->connection_count - server->shut_down_count - (options->connections_max - free_min);

  if (options->idle_connections_max > 0)
    excess = MAX (excess, idle_count - options->idle_connections_max);
  return excess;
}

/* Closes connections whose requests have been arriving for longer than the upload timeout. */
static void
close_slow_uploads (struct fl_http_server *server, int64_t excess, int64_t now)
{
  for (struct connection *c = server->connections; c != NULL && excess > 0; c = c->next)
    if (c->uploading && !c->is_shut_down
        && now - c->request_start_ms > server->options.upload_timeout_ms)
      {
        close_connection (c, CLOSE_LIMIT, now);
        excess--;
      }
}

/* Closes idle connections while there are too many, then slow uploads. */
static void
enforce_limits (struct fl_http_server *server, int64_t now)
{
  g_autoptr (GPtrArray) idle = list_idle_connections (server);
  int64_t excess = count_excess_connections (server, idle->len);

  for (guint i = 0; i < idle->len && excess > 0; i++)
    {
      struct connection *connection = g_ptr_array_index (idle, i);
      if (now - connection->phase_start_ms < IDLE_MIN_MS)
        break;
      if (has_unread_bytes (connection, now))
        continue;
      close_connection (connection, CLOSE_LIMIT, now);
      excess--;
    }
  close_slow_uploads (server, excess, now);
}

/* Closes connections that have been idle, or on which no part of a request has arrived, for too
 * long. Only the second sweep in the same phase does so: after a suspension of the host, what was
 * sent meanwhile may arrive later than the first one runs. */
static void
enforce_timeouts (struct fl_http_server *server, int64_t now)
{
  for (struct connection *c = server->connections; c != NULL; c = c->next)
    {
      int64_t limit
          = c->in_request ? server->options.upload_timeout_ms : server->options.idle_timeout_ms;
      if ((c->in_request && !c->uploading) || c->is_shut_down || now - c->phase_start_ms <= limit
          || has_unread_bytes (c, now))
        continue;
      if (c->overdue_phase_ms == c->phase_start_ms)
        close_connection (c, c->in_request ? CLOSE_UPLOAD : CLOSE_IDLE, now);
      c->overdue_phase_ms = c->phase_start_ms;
    }
}

/* Closes connections whose time to linger is over. */
static void
end_lingering (const struct fl_http_server *server, int64_t now)
{
  for (struct connection *c = server->connections; c != NULL; c = c->next)
    if (c->linger_until_ms > 0 && now >= c->linger_until_ms)
      {
        c->linger_until_ms = 0;
        shutdown (c->fd, SHUT_RDWR);
      }
}

static void
on_sweep (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct fl_http_server *server = timer->data;
  int64_t now = now_ms ();
  int64_t late_ms = MAX (now - server->last_sweep_ms - SWEEP_INTERVAL_MS, 0);

  (void)loop;
  (void)events;
  server->last_sweep_ms = now;
  fl_stats_record (server->options.stats, "loop_late_ms", late_ms);
  end_lingering (server, now);
  enforce_timeouts (server, now);
  enforce_limits (server, now);
}

/* --- requests --- */

static void
request_free (struct fl_http_request *request)
{
  if (request->response != NULL)
    MHD_destroy_response (request->response);
  g_free (request->method);
  g_free (request->path);
  request->server->body_bytes -= (int64_t)request->body->len;
  g_string_free (request->body, TRUE);
  g_free (request);
}

static struct fl_http_request *
request_new (struct fl_http_server *server,
             struct MHD_Connection *mhd,
             const char *method,
             const char *path)
{
  struct fl_http_request *request = g_new0 (struct fl_http_request, 1);

  request->server = server;
  request->mhd = mhd;
  request->connection = get_connection (mhd);
  request->method = g_strdup (method);
  request->path = g_strdup (path);
  request->body = g_string_new (NULL);
  if (request->connection != NULL)
    {
      request->connection->in_request = true;
      request->connection->uploading = true;
      request->connection->phase_start_ms = now_ms ();
      request->connection->request_start_ms = request->connection->phase_start_ms;
    }
  return request;
}

static bool
is_memory_left (const struct fl_http_server *server, size_t len)
{
  return server->options.all_bodies_max == 0
         || server->body_bytes + (int64_t)len <= server->options.all_bodies_max;
}

/* Frees what has arrived of a body that is not going to be used. */
static void
drop_body (struct fl_http_request *request)
{
  request->server->body_bytes -= (int64_t)request->body->len;
  g_string_free (request->body, TRUE);
  request->body = g_string_new (NULL);
}

static void
append_to_body (struct fl_http_request *request, const char *data, size_t len)
{
  struct fl_http_server *server = request->server;

  if (request->connection != NULL)
    request->connection->phase_start_ms = now_ms ();
  if ((int64_t)(request->body->len + len) > server->options.body_max)
    request->too_large = true;
  else if (!is_memory_left (server, len))
    request->has_no_memory = true;
  if (request->too_large || request->has_no_memory)
    {
      drop_body (request);
      return;
    }
  g_string_append_len (request->body, data, (gssize)len);
  server->body_bytes += (int64_t)len;
}

/* Responds to a request while the server is being freed. */
static void
respond_closing (struct fl_http_request *request, int status)
{
  struct fl_http_response response
      = { .status = status, .body = "{}", .len = 2, .close_connection = true };

  if (status == 503)
    response.retry_after_ms = FREE_RETRY_AFTER_MS;
  fl_http_respond (request, &response);
}

/* Finds out how long a request that has just been read waited for that. */
static void
examine_arrival (struct fl_http_request *request)
{
  struct fl_socket_state socket;

  if (request->connection == NULL)
    return;
  socket = fl_socket_state_get (request->connection->fd);
  request->arrived_ms -= socket.received_ms_ago;
  request->client_has_left = strcmp (socket.peer, "reset") == 0
                             || (strcmp (socket.peer, "closed") == 0
                                 && socket.received_ms_ago >= FL_LOOP_HELD_UP_MIN_MS);
  fl_stats_record (request->server->options.stats, "request_unread_ms", socket.received_ms_ago);
}

static void
dispatch_request (struct fl_http_request *request)
{
  struct fl_http_server *server = request->server;

  request->dispatched = true;
  request->arrived_ms = fl_clock_boot_ms ();
  request->dispatched_ms = now_ms ();
  examine_arrival (request);
  g_hash_table_add (server->open_requests, request);
  server->unsent_responses++;
  request->body_view = (struct fl_str){ request->body->len, request->body->str };
  if (request->connection != NULL)
    request->connection->uploading = false;
  if (request->too_large)
    {
      struct fl_error error = { 0 };
      fl_fail (&error, FL_LIMIT, "http_body", NULL,
               "the body is longer than %" G_GINT64_FORMAT " bytes", server->options.body_max);
      fl_http_respond_error (request, &error);
    }
  else if (request->has_no_memory)
    {
      struct fl_error error = { 0 };
      fl_stats_add (server->options.stats, "requests_without_memory_total", 1);
      fl_fail (&error, FL_UNAVAILABLE, "http_body", NULL,
               "the bodies of other requests take all memory that is set aside for them");
      fl_http_respond_error (request, &error);
    }
  else if (server->closing || (request->connection != NULL && request->connection->is_shut_down))
    respond_closing (request, 503);
  else
    server->options.on_request (server->options.context, request);
}

/* Called when the first line of a request has arrived. */
static void *
on_request_line (void *context, const char *uri, struct MHD_Connection *mhd)
{
  struct connection *connection = get_connection (mhd);

  (void)context;
  (void)uri;
  if (connection != NULL)
    {
      connection->phase_start_ms = now_ms ();
      connection->request_line_ms = connection->phase_start_ms;
    }
  return NULL;
}

/* @return whether the request line and headers leave too little of the connection's memory for a
 * response. libmicrohttpd also keeps HEADER_ENTRY_BYTES for each header and query argument, and up
 * to half of the memory may hold what has arrived behind the headers. */
static bool
are_headers_too_large (const struct fl_http_server *server, struct MHD_Connection *mhd)
{
  const union MHD_ConnectionInfo *info
      = MHD_get_connection_info (mhd, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);
  int entries
      = MHD_get_connection_values (mhd, MHD_HEADER_KIND | MHD_GET_ARGUMENT_KIND, NULL, NULL);
  int64_t header_max = server->options.header_max;
  int64_t used
      = MAX ((int64_t)info->header_size, header_max / 2) + (int64_t)entries * HEADER_ENTRY_BYTES;

  return used > header_max - RESPONSE_HEAD_BYTES;
}

/* Begins a request whose headers have arrived. */
static enum MHD_Result
begin_request (struct fl_http_server *server,
               struct MHD_Connection *mhd,
               const char *method,
               const char *path,
               void **request_context)
{
  struct connection *connection = get_connection (mhd);

  if (connection != NULL && are_headers_too_large (server, mhd))
    {
      connection->is_rejected = true;
      send_last_response (connection, "431 Request Header Fields Too Large");
      return MHD_NO;
    }
  *request_context = request_new (server, mhd, method, path);
  return MHD_YES;
}

static enum MHD_Result
on_access (void *context,
           struct MHD_Connection *mhd,
           const char *url,
           const char *method,
           const char *version,
           const char *upload,
           size_t *upload_len,
           void **request_context)
{
  struct fl_http_server *server = context;
  struct fl_http_request *request = *request_context;

  (void)version;
  if (request == NULL)
    return begin_request (server, mhd, method, url, request_context);
  if (*upload_len > 0)
    {
      append_to_body (request, upload, *upload_len);
      *upload_len = 0;
      return MHD_YES;
    }
  if (!request->dispatched)
    dispatch_request (request);
  if (request->response != NULL)
    return MHD_queue_response (mhd, (unsigned)request->status, request->response);
  MHD_suspend_connection (mhd);
  request->suspended = true;
  return MHD_YES;
}

static const char *
get_request_phase (const struct fl_http_request *request)
{
  if (request == NULL)
    return "headers";
  if (!request->dispatched)
    return "upload";
  return request->response == NULL ? "waiting" : "response";
}

/* Logs and counts a request, read wholly or in part, whose connection ended before its response was
 * sent. @request is NULL if its headers had not arrived completely. */
static void
record_unanswered (const struct fl_http_server *server,
                   const struct connection *connection,
                   const struct fl_http_request *request,
                   enum MHD_RequestTerminationCode code)
{
  static const struct
  {
    const char *name;
    const char *counter;
  } codes[] = {
    [MHD_REQUEST_TERMINATED_COMPLETED_OK] = { "none", "requests_unanswered_total{why=\"none\"}" },
    [MHD_REQUEST_TERMINATED_WITH_ERROR] = { "error", "requests_unanswered_total{why=\"error\"}" },
    [MHD_REQUEST_TERMINATED_TIMEOUT_REACHED]
    = { "timeout", "requests_unanswered_total{why=\"timeout\"}" },
    [MHD_REQUEST_TERMINATED_DAEMON_SHUTDOWN]
    = { "shutdown", "requests_unanswered_total{why=\"shutdown\"}" },
    [MHD_REQUEST_TERMINATED_READ_ERROR]
    = { "read_error", "requests_unanswered_total{why=\"read_error\"}" },
    [MHD_REQUEST_TERMINATED_CLIENT_ABORT]
    = { "client_abort", "requests_unanswered_total{why=\"client_abort\"}" },
  };
  const struct fl_http_server_options *options = &server->options;
  struct fl_socket_state socket = fl_socket_state_get (connection->fd);
  int64_t now = now_ms ();

  g_assert ((size_t)code < G_N_ELEMENTS (codes));
  fl_log (
      options->log, FL_LOG_NOTICE, "request_unanswered", FL_S ("listener", options->name),
      FL_S ("why", codes[code].name), FL_S ("phase", get_request_phase (request)),
      FL_S ("method", request != NULL ? request->method : ""),
      FL_S ("path", request != NULL ? request->path : ""),
      FL_I ("request_ms", now - connection->request_line_ms),
      FL_I ("read_ms", request != NULL && request->dispatched ? now - request->dispatched_ms : -1),
      FL_I ("status", request != NULL ? request->status : 0),
      FL_I ("response_bytes", request != NULL ? request->response_len : 0),
      FL_I ("unacked", socket.unacked_bytes), FL_I ("unread", socket.unread_bytes),
      FL_S ("peer", socket.peer), FL_I ("by_server", connection->is_shut_down),
      FL_I ("freeing", server->closing), FL_I ("age_ms", now - connection->accepted_ms),
      FL_I ("loop_waited_ms", now - server->last_turn_ms));
  fl_stats_add (options->stats, codes[code].counter, 1);
}

static void
on_completed (void *context,
              struct MHD_Connection *mhd,
              void **request_context,
              enum MHD_RequestTerminationCode code)
{
  struct fl_http_server *server = context;
  struct fl_http_request *request = *request_context;
  struct connection *connection = get_connection (mhd);

  if (connection != NULL)
    {
      if (!connection->is_rejected
          && (code != MHD_REQUEST_TERMINATED_COMPLETED_OK
              || (request != NULL && request->response == NULL)))
        record_unanswered (server, connection, request, code);
      connection->request_line_ms = 0;
    }
  if (request == NULL)
    return;
  if (request->dispatched)
    request->server->unsent_responses--;
  if (request->connection != NULL)
    {
      request->connection->in_request = false;
      request->connection->uploading = false;
      request->connection->phase_start_ms = now_ms ();
    }
  /* A suspended request cannot complete, so the handler no longer holds a pointer to it. */
  request_free (request);
  *request_context = NULL;
}

/* --- event loop --- */

static void
run_daemon (struct fl_http_server *server)
{
  server->resumed = false;
  MHD_run (server->daemon);
  if (!server->was_full)
    return;
  if (server->connection_count < server->options.connections_max)
    {
      /* libmicrohttpd accepts again only when it runs once more, which no event tells. */
      server->was_full = false;
      server->resumed = true;
    }
  else
    enforce_limits (server, now_ms ());
}

static void
on_epoll_ready (struct ev_loop *loop, ev_io *io, int events)
{
  (void)loop;
  (void)events;
  run_daemon (io->data);
}

static void
on_wakeup_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  run_daemon (timer->data);
}

/* Arms the timer for pending work of libmicrohttpd that no socket event signals. */
static void
on_prepare (struct ev_loop *loop, ev_prepare *prepare, int events)
{
  struct fl_http_server *server = prepare->data;
  MHD_UNSIGNED_LONG_LONG wait_ms = 0;

  (void)events;
  server->last_turn_ms = now_ms ();
  ev_timer_stop (loop, &server->wakeup_timer);
  if (!server->resumed && MHD_get_timeout (server->daemon, &wait_ms) != MHD_YES)
    return;
  ev_timer_set (&server->wakeup_timer, (double)MIN (wait_ms, 1000) / 1000.0, 0.0);
  ev_timer_start (loop, &server->wakeup_timer);
}

static void
start_watchers (struct fl_http_server *server)
{
  struct ev_loop *loop = server->options.loop;
  const union MHD_DaemonInfo *info = MHD_get_daemon_info (server->daemon, MHD_DAEMON_INFO_EPOLL_FD);

  ev_io_init (&server->epoll_watcher, on_epoll_ready, info->epoll_fd, EV_READ);
  server->epoll_watcher.data = server;
  ev_io_start (loop, &server->epoll_watcher);
  ev_prepare_init (&server->prepare, on_prepare);
  server->prepare.data = server;
  ev_prepare_start (loop, &server->prepare);
  ev_timer_init (&server->wakeup_timer, on_wakeup_timer, 0.0, 0.0);
  server->wakeup_timer.data = server;
  ev_timer_init (&server->sweep_timer, on_sweep, SWEEP_INTERVAL_MS / 1000.0,
                 SWEEP_INTERVAL_MS / 1000.0);
  server->sweep_timer.data = server;
  server->last_sweep_ms = now_ms ();
  server->last_turn_ms = server->last_sweep_ms;
  ev_timer_start (loop, &server->sweep_timer);
}

static void
free_members (struct fl_http_server *server)
{
  fl_lingering_free (server->lingering, FREE_MAX_MS);
  g_hash_table_destroy (server->open_requests);
  g_free (server);
}

/* --- public functions --- */

struct fl_http_server *
fl_http_server_new (const struct fl_http_server_options *options, struct fl_error *error)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  struct fl_http_server *server = g_new0 (struct fl_http_server, 1);

  server->options = *options;
  server->listener = MHD_INVALID_SOCKET;
  server->open_requests = g_hash_table_new (NULL, NULL);
  server->lingering = fl_lingering_new (options->loop, LINGER_MS);
  address.sin_port = htons ((uint16_t)options->port);
  if (inet_pton (AF_INET, options->address, &address.sin_addr) != 1)
    {
      fl_fail (error, FL_INVALID, "http_listen", options->address, "not an IPv4 address");
      free_members (server);
      return NULL;
    }
  server->daemon = MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC, 0, NULL, NULL, on_access, server,
      MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&address, MHD_OPTION_URI_LOG_CALLBACK,
      on_request_line, server, MHD_OPTION_NOTIFY_COMPLETED, on_completed, server,
      MHD_OPTION_NOTIFY_CONNECTION, on_connection, server, MHD_OPTION_CONNECTION_LIMIT,
      (unsigned)options->connections_max, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
      (size_t)options->header_max, MHD_OPTION_LISTEN_BACKLOG_SIZE, (unsigned)LISTEN_BACKLOG,
      MHD_OPTION_END);
  if (server->daemon == NULL)
    {
      fl_fail (error, FL_INTERNAL, "http_listen", options->address, "cannot listen on port %d",
               (int)options->port);
      free_members (server);
      return NULL;
    }
  start_watchers (server);
  return server;
}

/* Makes the kernel drop SYNs to @listener, so that no handshake begins. Those that have begun are
 * completed. Where the kernel allows no filter, connections that are completed after the last
 * accept are reset. */
static void
drop_new_connections (MHD_socket listener)
{
  /* The filter sees packets from the TCP header on; the flags are at offset 13. */
  struct sock_filter code[] = {
    BPF_STMT (BPF_LD | BPF_B | BPF_ABS, 13),
    BPF_STMT (BPF_ALU | BPF_AND | BPF_K, TH_SYN | TH_ACK),
    BPF_JUMP (BPF_JMP | BPF_JEQ | BPF_K, TH_SYN, 0, 1),
    BPF_STMT (BPF_RET | BPF_K, 0),
    BPF_STMT (BPF_RET | BPF_K, UINT32_MAX),
  };
  const struct sock_fprog filter = { G_N_ELEMENTS (code), code };

  setsockopt (listener, SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof filter);
}

static void
close_listener (struct fl_http_server *server)
{
  struct sockaddr_in address;
  socklen_t len = sizeof address;
  int fd;

  if (server->listener == MHD_INVALID_SOCKET)
    return;
  ev_timer_stop (server->options.loop, &server->close_timer);
  while ((fd = accept4 (server->listener, (struct sockaddr *)&address, &len,
                        SOCK_NONBLOCK | SOCK_CLOEXEC))
         >= 0)
    {
      /* Closes the socket if it fails. */
      MHD_add_connection (server->daemon, fd, (struct sockaddr *)&address, len);
      len = sizeof address;
    }
  close (server->listener);
  server->listener = MHD_INVALID_SOCKET;
}

static void
on_close_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  close_listener (timer->data);
}

void
fl_http_server_stop_listening (struct fl_http_server *server)
{
  if (server == NULL || server->has_stopped_listening)
    return;
  /* Returns the same descriptor each time, also once it is closed. */
  server->listener = MHD_quiesce_daemon (server->daemon);
  if (server->listener == MHD_INVALID_SOCKET)
    return;
  server->has_stopped_listening = true;
  drop_new_connections (server->listener);
  ev_timer_init (&server->close_timer, on_close_timer, HANDSHAKE_MS / 1000.0, 0.0);
  server->close_timer.data = server;
  ev_now_update (server->options.loop);
  ev_timer_start (server->options.loop, &server->close_timer);
}

static bool
has_unfinished_requests (const struct fl_http_server *server)
{
  for (const struct connection *c = server->connections; c != NULL; c = c->next)
    if (c->uploading && !c->is_shut_down)
      return true;
  return server->unsent_responses > 0;
}

/* @return whether libmicrohttpd has work, waiting for it for FREE_QUIET_MS. */
static bool
wait_for_work (const struct fl_http_server *server)
{
  const union MHD_DaemonInfo *info = MHD_get_daemon_info (server->daemon, MHD_DAEMON_INFO_EPOLL_FD);
  struct pollfd epoll = { .fd = info->epoll_fd, .events = POLLIN };
  MHD_UNSIGNED_LONG_LONG wait_ms = 0;

  /* A timeout of 0 says that data which has been read waits to be processed. */
  if (MHD_get_timeout (server->daemon, &wait_ms) == MHD_YES && wait_ms == 0)
    return true;
  return poll (&epoll, 1, FREE_QUIET_MS) > 0;
}

/* Lets libmicrohttpd read what has arrived, and send the responses. */
static void
flush_responses (struct fl_http_server *server)
{
  int64_t until_ms = now_ms () + FREE_MAX_MS;

  MHD_run (server->daemon);
  /* Resumed connections are not signalled by the epoll descriptor, so do not wait for it first. */
  MHD_run (server->daemon);
  while (has_unfinished_requests (server) && now_ms () < until_ms && wait_for_work (server))
    MHD_run (server->daemon);
}

/* Responds to the requests that the handler has not responded to. */
static void
respond_to_open_requests (struct fl_http_server *server)
{
  GHashTableIter iter;
  void *request;

  g_hash_table_iter_init (&iter, server->open_requests);
  while (g_hash_table_iter_next (&iter, &request, NULL))
    {
      g_hash_table_iter_remove (&iter);
      respond_closing (request, 504);
    }
}

void
fl_http_server_free (struct fl_http_server *server)
{
  if (server == NULL)
    return;
  server->closing = true;
  fl_http_server_stop_listening (server);
  if (server->listener != MHD_INVALID_SOCKET)
    poll (NULL, 0, HANDSHAKE_MS);
  close_listener (server);
  respond_to_open_requests (server);
  flush_responses (server);
  ev_io_stop (server->options.loop, &server->epoll_watcher);
  ev_prepare_stop (server->options.loop, &server->prepare);
  ev_timer_stop (server->options.loop, &server->wakeup_timer);
  ev_timer_stop (server->options.loop, &server->sweep_timer);
  MHD_stop_daemon (server->daemon);
  free_members (server);
}

int
fl_http_server_port (const struct fl_http_server *server)
{
  const union MHD_DaemonInfo *info
      = MHD_get_daemon_info (server->daemon, MHD_DAEMON_INFO_BIND_PORT);

  return info->port;
}

int
fl_http_server_open_requests (const struct fl_http_server *server)
{
  return (int)g_hash_table_size (server->open_requests);
}

int
fl_http_server_open_connections (const struct fl_http_server *server)
{
  return server->connection_count + fl_lingering_count (server->lingering);
}

const char *
fl_http_method (const struct fl_http_request *request)
{
  return request->method;
}

const char *
fl_http_path (const struct fl_http_request *request)
{
  return request->path;
}

const struct fl_str *
fl_http_body (const struct fl_http_request *request)
{
  return &request->body_view;
}

int64_t
fl_http_arrived_ms (const struct fl_http_request *request)
{
  return request->arrived_ms;
}

bool
fl_http_client_has_left (const struct fl_http_request *request)
{
  return request->client_has_left;
}

const char *
fl_http_header (const struct fl_http_request *request, const char *name)
{
  return MHD_lookup_connection_value (request->mhd, MHD_HEADER_KIND, name);
}

const char *
fl_http_query (const struct fl_http_request *request, const char *name)
{
  return MHD_lookup_connection_value (request->mhd, MHD_GET_ARGUMENT_KIND, name);
}

void
fl_http_respond (struct fl_http_request *request, const struct fl_http_response *response)
{
  g_assert (request->response == NULL);
  g_hash_table_remove (request->server->open_requests, request);
  request->status = response->status;
  request->response_len = (int64_t)response->len;
  request->response = MHD_create_response_from_buffer (response->len, (void *)response->body,
                                                       MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header (request->response, "Content-Type",
                           response->type != NULL ? response->type : "application/json");
  if (response->retry_after_ms > 0)
    {
      g_autofree char *seconds
          = g_strdup_printf ("%" G_GINT64_FORMAT, (response->retry_after_ms + 999) / 1000);
      MHD_add_response_header (request->response, "Retry-After", seconds);
    }
  if (response->close_connection)
    MHD_add_response_header (request->response, "Connection", "close");
  if (request->suspended)
    {
      request->suspended = false;
      request->server->resumed = true; /* the epoll descriptor does not signal this */
      MHD_resume_connection (request->mhd);
    }
}

static int
status_from_error (const struct fl_error *error)
{
  switch (error->code)
    {
    case FL_INVALID:
      return 400;
    case FL_NOT_FOUND:
      return 404;
    case FL_CONFLICT:
    case FL_STALE:
      return 409;
    case FL_DENIED:
      return 403;
    case FL_LIMIT:
      return strcmp (error->step, "http_body") == 0 ? 413 : 429;
    case FL_UNAVAILABLE:
      return 503;
    case FL_UNKNOWN:
      return 504;
    default:
      return 500;
    }
}

void
fl_http_respond_error (struct fl_http_request *request, const struct fl_error *error)
{
  json_t *json
      = json_pack ("{s:{s:s,s:s,s:s,s:s}}", "error", "code", fl_error_code_name (error->code),
                   "step", error->step, "peer", error->peer, "text", error->text);
  struct fl_str text = fl_json_encode (json);
  struct fl_http_response response
      = { .status = status_from_error (error), .body = text.data, .len = text.len };

  if (response.status == 503 || response.status == 429)
    response.retry_after_ms = 1000;
  fl_http_respond (request, &response);
  fl_str_clear (&text);
  json_decref (json);
}
