#include "net/http_client.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <unistd.h>

#include <curl/curl.h>
#include <glib.h>

#include "common/clock.h"
#include "common/timeout.h"
#include "net/http_peers.h"

/* A call whose response body is longer fails. */
#define RESPONSE_BODY_MAX (16 * 1024 * 1024)
/* The kernel closes a connection whose sent data stays unacknowledged for this long. */
#define TCP_USER_TIMEOUT_MS 2000
/* The connections of a peer are usually suspected when a reply is overdue for this long. Above the
 * 0.3 s that a reply takes from a store that is 60 times slower than usual, and below the time
 * after which a follower sends a copy of its call, so that the copy is sent over another
 * connection. */
#define REPLY_LATE_MS 450

/* An idle connection that is older is closed when another one is looked for. */
#define IDLE_MAX_S 30L

struct fl_http_client
{
  struct ev_loop *loop;
  const struct fl_log *log;
  struct fl_stats *stats;
  CURLM *multi;
  ev_timer timer;
  struct fl_http_peers *peers;
  GHashTable *calls; /* set of struct call * */
  int64_t busy_max;
  int64_t busy_count; /* calls with a limit of connections that are under way */
  GQueue waiting;     /* calls that wait until fewer are */
  bool is_closing;
  struct curl_slist *headers;
};

struct call
{
  struct fl_http_client *client;
  CURL *easy;
  struct fl_http_peer *peer;
  struct fl_http_connection *connection; /* in use by this call */
  int64_t connections_max;
  GQueue *waiting_in;             /* that of the client or of the peer; NULL if it does not wait */
  bool is_busy;                   /* counts as such at the peer */
  struct fl_timeout late_timeout; /* until the first byte of the reply */
  int64_t quiet_ms;
  int64_t late_ms;
  int64_t sent_ms; /* the last copy, by the boot clock */
  bool is_heard;   /* something of the reply to the last copy has arrived */
  GString *body;
  char *url;
  struct curl_slist *custom_headers; /* NULL unless the call adds a header */
  char error_text[CURL_ERROR_SIZE];
  /* libcurl would end a call whose time is over before it reads the reply from the socket. */
  struct fl_timeout timeout;
  int64_t timeout_ms;
  int64_t connect_by_ms; /* by the boot clock */
  bool has_begun;
  const struct fl_traffic *traffic;
  bool is_resendable;
  int sent_count;        /* how often the request was sent, completely or in part */
  bool prevented_resend; /* libcurl was about to send the request again */
  int64_t stall_timeout_ms;
  int64_t last_progress_ms; /* by the boot clock; 0 before the body begins to arrive */
  bool (*may_send) (void *context);
  void *may_send_context;
  void (*on_progress) (void *context);
  void (*on_done) (void *context, const struct fl_http_result *result);
  void *context;
};

/* Watcher of one libcurl socket. */
struct socket_watcher
{
  struct fl_http_client *client;
  ev_io io;
};

/* --- limit of the connections to a peer --- */

/* @return the queue in which @call has to wait; NULL if it can be sent. */
static GQueue *
find_queue (const struct call *call)
{
  struct fl_http_client *client = call->client;

  if (call->connections_max == 0)
    return NULL;
  if (call->peer->busy_count >= call->connections_max)
    return &call->peer->waiting;
  return client->busy_max > 0 && client->busy_count >= client->busy_max ? &client->waiting : NULL;
}

static void
wait_in (struct call *call, GQueue *queue)
{
  call->waiting_in = queue;
  g_queue_push_tail (queue, call);
}

static void
stop_waiting (struct call *call)
{
  if (call->waiting_in != NULL)
    g_queue_remove (call->waiting_in, call);
  call->waiting_in = NULL;
}

/* Gives @call to libcurl. It has the time to connect that its wait for others has left. */
static void
begin_transfer (struct call *call)
{
  int64_t connect_ms = call->connect_by_ms - fl_clock_boot_ms ();

  curl_easy_setopt (call->easy, CURLOPT_CONNECTTIMEOUT_MS, (long)MAX (connect_ms, 1));
  call->is_busy = true;
  call->peer->busy_count++;
  call->client->busy_count += call->connections_max > 0 ? 1 : 0;
  fl_timeout_start (&call->timeout, call->timeout_ms);
  curl_multi_add_handle (call->client->multi, call->easy);
}

static void
wait_for_others (struct call *call, GQueue *queue, int64_t timeout_ms)
{
  wait_in (call, queue);
  fl_stats_add (call->client->stats, "http_calls_waited_total", 1);
  fl_timeout_start (&call->timeout, timeout_ms);
}

/* Sends the calls in @queue that need not wait there any more. One that has waited for all calls
 * may have to wait for those to its peer then. */
static void
send_waiting (GQueue *queue)
{
  struct call *next;

  while ((next = g_queue_peek_head (queue)) != NULL)
    {
      GQueue *other = find_queue (next);
      if (other == queue)
        return;
      stop_waiting (next);
      if (other == NULL)
        begin_transfer (next);
      else
        wait_in (next, other);
    }
}

/* From now on @call does not count towards the limit of other calls, and those that waited for it
 * are sent. */
static void
end_busy (struct call *call)
{
  if (!call->is_busy)
    return;
  call->is_busy = false;
  call->peer->busy_count--;
  call->client->busy_count -= call->connections_max > 0 ? 1 : 0;
  if (call->client->is_closing)
    return;
  send_waiting (&call->peer->waiting);
  send_waiting (&call->client->waiting);
}

static void
call_free (void *data)
{
  struct call *call = data;

  fl_timeout_stop (&call->timeout);
  fl_timeout_stop (&call->late_timeout);
  stop_waiting (call);
  curl_multi_remove_handle (call->client->multi, call->easy);
  curl_easy_cleanup (call->easy);
  if (call->connection != NULL)
    fl_http_connection_put_back (call->connection);
  end_busy (call);
  fl_http_peer_release (call->peer);
  g_string_free (call->body, TRUE);
  curl_slist_free_all (call->custom_headers);
  g_free (call->url);
  g_free (call);
}

/* --- silent connections --- */

static void
on_heard (struct call *call)
{
  if (call->connection != NULL)
    fl_http_connection_heard (call->connection);
  call->is_heard = true;
  fl_timeout_stop (&call->late_timeout);
}

/* Nothing of the reply, or of the rest of it, has arrived in time. */
static void
on_reply_late (void *context)
{
  struct call *call = context;
  struct fl_http_client *client = call->client;
  struct fl_http_peer *peer = call->peer;
  int64_t due_ms = MAX (call->sent_ms + call->quiet_ms, call->last_progress_ms);
  int closed = fl_http_peer_shut_down_unheard (peer, due_ms);

  end_busy (call);
  fl_stats_add (client->stats, "http_connections_closed_silent_total", closed);
  if (closed == 0 && peer->is_suspect)
    return;
  peer->is_suspect = true;
  fl_stats_add (client->stats, "http_peers_suspect_total", 1);
  fl_log (client->log, FL_LOG_INFO, "connections_suspect", FL_S ("peer", peer->address),
          FL_I ("unanswered_ms", fl_clock_boot_ms () - due_ms), FL_I ("closed", closed),
          FL_I ("open", peer->connections->len));
}

static size_t
on_header (char *data, size_t size, size_t count, void *context)
{
  (void)data;
  if (!((struct call *)context)->is_heard)
    on_heard (context);
  return size * count;
}

static size_t
on_body (char *data, size_t size, size_t count, void *context)
{
  struct call *call = context;

  if (call->body->len + size * count > RESPONSE_BODY_MAX)
    return 0;
  g_string_append_len (call->body, data, (gssize)(size * count));
  call->last_progress_ms = fl_clock_boot_ms ();
  on_heard (call);
  if (call->on_progress != NULL)
    call->on_progress (call->context);
  return size * count;
}

static int
on_socket_option (void *context, curl_socket_t fd, curlsocktype purpose)
{
  unsigned timeout = TCP_USER_TIMEOUT_MS;

  (void)context;
  (void)purpose;
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof timeout);
  return CURL_SOCKOPT_OK;
}

/* @return whether libcurl is about to send the request of @call again although it must not. */
static bool
prevents_resend (struct call *call)
{
  if (call->sent_count > 0 && !call->is_resendable)
    call->prevented_resend = true;
  return call->prevented_resend;
}

/* The time of a call counts from here: its process may have been busy since the call was started.
 */
static void
begin_call (struct call *call)
{
  if (call->has_begun)
    return;
  call->has_begun = true;
  fl_timeout_start (&call->timeout, call->timeout_ms);
}

/* Opens no connection for a request that would not be sent over it. */
static curl_socket_t
on_open_socket (void *context, curlsocktype purpose, struct curl_sockaddr *address)
{
  struct call *call = context;

  (void)purpose;
  begin_call (call);
  if (prevents_resend (call))
    return CURL_SOCKET_BAD;
  int fd = socket (address->family, address->socktype, address->protocol);
  if (fd < 0)
    return CURL_SOCKET_BAD;
  fl_http_peer_open (call->peer, fd, &call->connection);
  return fd;
}

static int
on_close_socket (void *context, curl_socket_t fd)
{
  const struct fl_http_client *client = context;

  fl_http_peers_close (client->peers, fd);
  return close (fd);
}

static int
on_before_request (
    void *context, char *remote_address, char *local_address, int remote_port, int local_port)
{
  struct call *call = context;

  (void)remote_address;
  (void)local_address;
  (void)remote_port;
  begin_call (call);
  fl_http_peer_take (call->peer, local_port, &call->connection);
  if (prevents_resend (call) || fl_clock_boot_ms () >= call->timeout.due_ms)
    return CURL_PREREQFUNC_ABORT;
  if (call->may_send != NULL && !call->may_send (call->may_send_context))
    return CURL_PREREQFUNC_ABORT;
  if (++call->sent_count == 2)
    fl_stats_add (call->client->stats, "http_calls_resent_total", 1);
  call->sent_ms = fl_clock_boot_ms ();
  call->is_heard = false;
  fl_timeout_start (&call->late_timeout, call->quiet_ms + call->late_ms);
  return CURL_PREREQFUNC_OK;
}

/* --- completed calls --- */

static bool
was_refused (const struct call *call, CURLcode code)
{
  long system_error = 0;

  curl_easy_getinfo (call->easy, CURLINFO_OS_ERRNO, &system_error);
  return call->sent_count == 0 && code == CURLE_COULDNT_CONNECT && system_error == ECONNREFUSED;
}

static const char *
describe_failure (const struct call *call, CURLcode code)
{
  if (call->prevented_resend)
    return "a reused connection ended before the reply";
  return call->error_text[0] != '\0' ? call->error_text : curl_easy_strerror (code);
}

static void
count_traffic (const struct call *call)
{
  curl_off_t sent_body = 0;
  curl_off_t received_body = 0;
  long sent_header = 0;
  long received_header = 0;

  curl_easy_getinfo (call->easy, CURLINFO_REQUEST_SIZE, &sent_header);
  curl_easy_getinfo (call->easy, CURLINFO_SIZE_UPLOAD_T, &sent_body);
  curl_easy_getinfo (call->easy, CURLINFO_HEADER_SIZE, &received_header);
  curl_easy_getinfo (call->easy, CURLINFO_SIZE_DOWNLOAD_T, &received_body);
  fl_stats_add_traffic (call->client->stats, call->traffic, sent_header + sent_body,
                        received_header + received_body);
}

static void
finish_call (struct fl_http_client *client, struct call *call, CURLcode code)
{
  struct fl_http_result result = { .maybe_sent = true };
  long status = 0;

  if (code == CURLE_OK)
    {
      curl_easy_getinfo (call->easy, CURLINFO_RESPONSE_CODE, &status);
      result.status = (int)status;
    }
  else
    {
      /* The error concerns the last copy; earlier ones may have arrived. */
      result.maybe_sent = call->sent_count > 0;
      result.is_refused = was_refused (call, code);
      result.is_connection_stale = call->prevented_resend;
      fl_stats_add (client->stats, "http_calls_cut_total", call->prevented_resend ? 1 : 0);
      fl_fail (&result.error, result.maybe_sent ? FL_UNKNOWN : FL_UNAVAILABLE, "http_call",
               call->url, "%s", describe_failure (call, code));
    }
  result.body = (struct fl_str){ call->body->len, call->body->str };
  count_traffic (call);
  g_hash_table_steal (client->calls, call);
  end_busy (call);
  call->on_done (call->context, &result);
  call_free (call);
}

static void
process_completed_calls (struct fl_http_client *client)
{
  CURLMsg *message;
  int remaining;

  while ((message = curl_multi_info_read (client->multi, &remaining)) != NULL)
    {
      struct call *call = NULL;
      if (message->msg != CURLMSG_DONE)
        continue;
      CURLcode code = message->data.result;
      curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE, (char **)&call);
      finish_call (client, call, code);
    }
}

static void
on_call_timeout (void *context)
{
  struct call *call = context;
  int64_t left_ms = call->last_progress_ms + call->stall_timeout_ms - fl_clock_boot_ms ();

  if (call->waiting_in != NULL)
    {
      fl_stats_add (call->client->stats, "http_calls_waited_too_long_total", 1);
      g_strlcpy (call->error_text, "other calls are in progress", sizeof call->error_text);
      finish_call (call->client, call, CURLE_OPERATION_TIMEDOUT);
      return;
    }
  if (call->last_progress_ms > 0 && left_ms > 0)
    {
      fl_timeout_start (&call->timeout, left_ms);
      return;
    }
  fl_stats_add (call->client->stats, "http_calls_timed_out_total", 1);
  if (call->timeout.is_put_off)
    fl_stats_add (call->client->stats, "http_calls_timed_out_held_up_total", 1);
  /* Without a byte, it is known already from those that are not busy. */
  if (call->sent_count > 0 && (call->is_heard || call->is_busy))
    on_reply_late (call);
  g_strlcpy (call->error_text, "no reply in time", sizeof call->error_text);
  finish_call (call->client, call, CURLE_OPERATION_TIMEDOUT);
}

/* --- event loop --- */

static void
on_io (struct ev_loop *loop, ev_io *io, int events)
{
  struct socket_watcher *socket = io->data;
  struct fl_http_client *client = socket->client;
  int running;
  int action
      = (events & EV_READ ? CURL_CSELECT_IN : 0) | (events & EV_WRITE ? CURL_CSELECT_OUT : 0);

  (void)loop;
  curl_multi_socket_action (client->multi, io->fd, action, &running);
  process_completed_calls (client);
}

static void
on_timeout (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct fl_http_client *client = timer->data;
  int running;

  (void)loop;
  (void)events;
  curl_multi_socket_action (client->multi, CURL_SOCKET_TIMEOUT, 0, &running);
  process_completed_calls (client);
}

static int
on_timer_change (CURLM *multi, long timeout_ms, void *context)
{
  struct fl_http_client *client = context;

  (void)multi;
  ev_timer_stop (client->loop, &client->timer);
  if (timeout_ms >= 0)
    {
      ev_timer_set (&client->timer, (double)timeout_ms / 1000.0, 0.0);
      ev_timer_start (client->loop, &client->timer);
    }
  return 0;
}

static int
on_socket_change (CURL *easy, curl_socket_t fd, int what, void *context, void *socket_context)
{
  struct fl_http_client *client = context;
  struct socket_watcher *socket = socket_context;
  int events = (what & CURL_POLL_IN ? EV_READ : 0) | (what & CURL_POLL_OUT ? EV_WRITE : 0);

  (void)easy;
  if (socket != NULL)
    ev_io_stop (client->loop, &socket->io);
  if (what == CURL_POLL_REMOVE)
    {
      g_free (socket);
      curl_multi_assign (client->multi, fd, NULL);
      return 0;
    }
  if (socket == NULL)
    {
      socket = g_new0 (struct socket_watcher, 1);
      socket->client = client;
      curl_multi_assign (client->multi, fd, socket);
    }
  ev_io_init (&socket->io, on_io, fd, events);
  socket->io.data = socket;
  ev_io_start (client->loop, &socket->io);
  return 0;
}

/* --- public functions --- */

static struct curl_slist *
common_headers (void)
{
  struct curl_slist *headers = curl_slist_append (NULL, "Content-Type: application/json");

  /* An empty value keeps libcurl from waiting for a "100 Continue" before it sends a body. */
  return curl_slist_append (headers, "Expect:");
}

struct fl_http_client *
fl_http_client_new (const struct fl_http_client_options *options)
{
  struct fl_http_client *client = g_new0 (struct fl_http_client, 1);

  client->loop = options->loop;
  client->busy_max = options->busy_max;
  client->log = options->log;
  client->stats = options->stats;
  client->peers = fl_http_peers_new ();
  client->calls = g_hash_table_new_full (NULL, NULL, call_free, NULL);
  client->headers = common_headers ();
  client->multi = curl_multi_init ();
  curl_multi_setopt (client->multi, CURLMOPT_SOCKETFUNCTION, on_socket_change);
  curl_multi_setopt (client->multi, CURLMOPT_SOCKETDATA, client);
  curl_multi_setopt (client->multi, CURLMOPT_TIMERFUNCTION, on_timer_change);
  curl_multi_setopt (client->multi, CURLMOPT_TIMERDATA, client);
  curl_multi_setopt (client->multi, CURLMOPT_MAXCONNECTS, (long)options->connections_max);
  ev_timer_init (&client->timer, on_timeout, 0.0, 0.0);
  client->timer.data = client;
  return client;
}

void
fl_http_client_free (struct fl_http_client *client)
{
  if (client == NULL)
    return;
  client->is_closing = true;
  g_hash_table_destroy (client->calls);
  curl_multi_cleanup (client->multi);
  fl_http_peers_free (client->peers);
  ev_timer_stop (client->loop, &client->timer);
  curl_slist_free_all (client->headers);
  g_free (client);
}

void
fl_http_client_start (struct fl_http_client *client, const struct fl_http_call *options)
{
  struct call *call = g_new0 (struct call, 1);
  CURL *easy = curl_easy_init ();
  GQueue *queue;

  g_assert (easy != NULL && options->on_done != NULL);
  call->client = client;
  call->easy = easy;
  call->peer = fl_http_peers_get (client->peers, options->url);
  call->quiet_ms = options->quiet_ms;
  call->late_ms = options->late_ms > 0 ? MIN (options->late_ms, REPLY_LATE_MS) : REPLY_LATE_MS;
  call->connections_max = options->connections_max;
  call->body = g_string_new (NULL);
  call->url = g_strdup (options->url);
  call->on_done = options->on_done;
  call->context = options->context;
  call->traffic = options->traffic;
  call->is_resendable = options->is_resendable;
  call->may_send = options->may_send;
  call->may_send_context = options->may_send_context;
  call->on_progress = options->on_progress;
  call->stall_timeout_ms = options->stall_timeout_ms;
  curl_easy_setopt (easy, CURLOPT_PRIVATE, call);
  curl_easy_setopt (easy, CURLOPT_URL, options->url);
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, options->method);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, client->headers);
  curl_easy_setopt (easy, CURLOPT_ERRORBUFFER, call->error_text);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, call);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, call);
  curl_easy_setopt (easy, CURLOPT_SOCKOPTFUNCTION, on_socket_option);
  curl_easy_setopt (easy, CURLOPT_MAXAGE_CONN, IDLE_MAX_S);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (easy, CURLOPT_TCP_NODELAY, 1L);
  if (options->header != NULL)
    {
      call->custom_headers = curl_slist_append (common_headers (), options->header);
      curl_easy_setopt (easy, CURLOPT_HTTPHEADER, call->custom_headers);
    }
  curl_easy_setopt (easy, CURLOPT_OPENSOCKETFUNCTION, on_open_socket);
  curl_easy_setopt (easy, CURLOPT_OPENSOCKETDATA, call);
  curl_easy_setopt (easy, CURLOPT_CLOSESOCKETFUNCTION, on_close_socket);
  curl_easy_setopt (easy, CURLOPT_CLOSESOCKETDATA, client);
  curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, on_before_request);
  curl_easy_setopt (easy, CURLOPT_PREREQDATA, call);
  if (options->body != NULL)
    {
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE, (long)options->len);
      curl_easy_setopt (easy, CURLOPT_COPYPOSTFIELDS, options->body);
    }
  g_hash_table_add (client->calls, call);
  fl_timeout_init (&call->late_timeout, client->loop, on_reply_late, call);
  fl_timeout_init (&call->timeout, client->loop, on_call_timeout, call);
  call->timeout_ms = MAX (options->timeout_ms, 1);
  call->connect_by_ms = fl_clock_boot_ms () + options->connect_timeout_ms;
  queue = find_queue (call);
  if (queue != NULL)
    wait_for_others (call, queue, MAX (options->connect_timeout_ms, 1));
  else
    begin_transfer (call);
}
