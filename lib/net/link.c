#include "net/link.h"

#include <errno.h>
#include <string.h>

#include <glib.h>
#include <zmq.h>

#include "common/clock.h"

/* Messages read from one socket before the loop handles other events. */
#define READ_BATCH 256
#define RECONNECT_MIN_MS 50
#define RECONNECT_MAX_MS 1000
/* A connection that is not established by then is attempted anew; the kernel alone would repeat its
 * first packet after 1, 3 and 7 s. */
#define CONNECT_TIMEOUT_MS 1500
#define HANDSHAKE_TIMEOUT_MS 2000
/* The kernel closes a connection when what was sent on it is not acknowledged for this long, also
 * at the end that only replies. Above the time for which a full link delays an acknowledgement. */
#define ACKNOWLEDGE_TIMEOUT_MS 3000
/* An idle connection is probed after this, and closed when the probes are not acknowledged. For the
 * end that never sends first: each connection costs a packet in this time. */
#define KEEP_ALIVE_IDLE_S 30
#define KEEP_ALIVE_INTERVAL_S 1
#define KEEP_ALIVE_PROBES 3
/* What arrives on a connection for this long after it was replaced still counts: its peer, not the
 * connection, may have been slow. Replies to orders and relayed calls count no longer. */
#define RETIRED_MS 6000
/* A connection that replaced another one is not replaced sooner: its peer may be slow to answer. */
#define REPLACE_INTERVAL_MS 2000
/* Peers of the largest cell, each with a connection and a replaced one; above what the descriptors
 * of a process allow. */
#define SOCKETS_MAX 4096
/* For replies that are queued when the link is freed, so that their receivers do not wait for a
 * timeout. */
#define FREE_LINGER_MS 50

/* Interval between checks of all sockets. Covers an event that neither a descriptor nor a call on
 * the socket has shown. */
#define SWEEP_INTERVAL_MS 1000
/* A peer that has sent nothing for this long since a message to it is logged, once for each
 * silence. */
#define SILENCE_LOG_MS 2000

/* A ZeroMQ socket. Its descriptor is edge-triggered, and each call on the socket may consume an
 * edge. A socket is therefore due for a check after an event of its descriptor, after a call, and
 * while it has messages. Sockets without either are not looked at: the owner of the pool has one
 * for each of hundreds of peers. */
struct socket
{
  struct fl_link *link;
  struct fl_name address; /* of the peer; empty for the bound socket */
  void *zmq;
  ev_io io;
  bool is_due; /* in link->due */
  int64_t opened_ms;
  bool is_replacement;
  int64_t unanswered_since_ms; /* the first message since the last one of the peer; 0 if none */
  bool is_silence_logged;
  int64_t heard_ms;   /* when the last message arrived; 0 if none has */
  int64_t closing_ms; /* of a replaced one */
};

struct fl_link
{
  struct fl_link_options options;
  void *zmq_context;
  struct socket *router;
  GHashTable *dealers; /* struct fl_name * -> struct socket * */
  GPtrArray *retired;  /* struct socket, replaced */
  struct fl_name address;
  GPtrArray *due; /* struct socket, to be checked for messages */
  GPtrArray *checking;
  ev_prepare prepare; /* starts the idle watcher while sockets are due, so that the loop goes on */
  ev_check check;
  ev_idle idle;
  ev_timer sweep;
};

static bool
is_readable (struct socket *socket)
{
  int events = 0;
  size_t size = sizeof events;

  return zmq_getsockopt (socket->zmq, ZMQ_EVENTS, &events, &size) == 0
         && (events & ZMQ_POLLIN) != 0;
}

/* Reads one message into @body and its sender into @from. @return false when there is none. */
static bool
receive_message (struct socket *socket, struct fl_route *from, zmq_msg_t *body)
{
  zmq_msg_t frame;

  memset (from, 0, sizeof *from);
  from->address = socket->address;
  if (socket->address.len == 0)
    {
      zmq_msg_init (&frame);
      if (zmq_msg_recv (&frame, socket->zmq, ZMQ_DONTWAIT) < 0)
        {
          zmq_msg_close (&frame);
          return false;
        }
      from->routing_id_len = (uint8_t)MIN (zmq_msg_size (&frame), FL_ROUTING_ID_MAX);
      memcpy (from->routing_id, zmq_msg_data (&frame), from->routing_id_len);
      zmq_msg_close (&frame);
    }
  return zmq_msg_recv (body, socket->zmq, ZMQ_DONTWAIT) >= 0;
}

/* Discards the frames after the body; the product's messages have no further frames. */
static void
discard_extra_frames (struct socket *socket, zmq_msg_t *last)
{
  bool more = zmq_msg_more (last);

  while (more)
    {
      zmq_msg_t frame;
      zmq_msg_init (&frame);
      more = zmq_msg_recv (&frame, socket->zmq, ZMQ_DONTWAIT) >= 0 && zmq_msg_more (&frame);
      zmq_msg_close (&frame);
    }
}

static void
mark_due (struct socket *socket)
{
  if (socket->is_due)
    return;
  socket->is_due = true;
  g_ptr_array_add (socket->link->due, socket);
}

/* @return whether the socket has no more messages: its descriptor then shows the next one. */
static bool
receive_batch (struct socket *socket)
{
  struct fl_link *link = socket->link;

  for (int i = 0; i < READ_BATCH; i++)
    {
      struct fl_route from;
      zmq_msg_t body;
      zmq_msg_init (&body);
      if (!receive_message (socket, &from, &body))
        {
          bool is_empty = zmq_errno () == EAGAIN;
          zmq_msg_close (&body);
          return is_empty;
        }
      discard_extra_frames (socket, &body);
      socket->heard_ms = fl_clock_boot_ms ();
      socket->unanswered_since_ms = 0;
      socket->is_silence_logged = false;
      link->options.on_message (link->options.context, &from, zmq_msg_data (&body),
                                zmq_msg_size (&body));
      zmq_msg_close (&body);
    }
  return false;
}

static void
check_socket (struct socket *socket)
{
  if (!receive_batch (socket))
    mark_due (socket);
}

/* A socket that was sent on most often has nothing to read: it is checked here, so that the loop
 * need not go on for it. */
static void
on_prepare (struct ev_loop *loop, ev_prepare *prepare, int events)
{
  struct fl_link *link = prepare->data;

  (void)events;
  for (guint i = link->due->len; i > 0; i--)
    {
      struct socket *socket = g_ptr_array_index (link->due, i - 1);
      if (is_readable (socket))
        continue;
      socket->is_due = false;
      g_ptr_array_remove_index_fast (link->due, i - 1);
    }
  if (link->due->len > 0)
    ev_idle_start (loop, &link->idle);
}

static void
on_check (struct ev_loop *loop, ev_check *check, int events)
{
  struct fl_link *link = check->data;
  GPtrArray *sockets = link->due;

  (void)events;
  ev_idle_stop (loop, &link->idle);
  link->due = link->checking;
  link->checking = sockets;
  for (guint i = 0; i < sockets->len; i++)
    {
      struct socket *socket = g_ptr_array_index (sockets, i);
      if (socket == NULL)
        continue;
      socket->is_due = false;
      check_socket (socket);
    }
  g_ptr_array_set_size (sockets, 0);
}

/* Logs a peer that does not answer, although there is a connection to it.
 * @return for how long it has not. */
static int64_t
note_silence (struct socket *socket, int64_t now_ms)
{
  int64_t silent_ms = socket->unanswered_since_ms > 0 ? now_ms - socket->unanswered_since_ms : 0;

  if (silent_ms < SILENCE_LOG_MS || socket->is_silence_logged)
    return silent_ms;
  socket->is_silence_logged = true;
  fl_log (socket->link->options.log, FL_LOG_INFO, "link_silent", FL_N ("address", &socket->address),
          FL_I ("silent_ms", silent_ms), FL_I ("age_ms", now_ms - socket->opened_ms));
  return silent_ms;
}

static void
on_sweep (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct fl_link *link = timer->data;
  int64_t now_ms = fl_clock_boot_ms ();
  int64_t silent_max_ms = 0;
  GHashTableIter iter;
  void *value;

  (void)loop;
  (void)events;
  if (link->router != NULL)
    mark_due (link->router);
  g_hash_table_iter_init (&iter, link->dealers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      mark_due (value);
      silent_max_ms = MAX (silent_max_ms, note_silence (value, now_ms));
    }
  fl_stats_set (link->options.stats, "link_silent_max_ms", silent_max_ms);
  for (guint i = link->retired->len; i > 0; i--)
    {
      struct socket *socket = g_ptr_array_index (link->retired, i - 1);
      if (now_ms >= socket->closing_ms)
        g_ptr_array_remove_index_fast (link->retired, i - 1);
      else
        mark_due (socket);
    }
}

static void
on_idle (struct ev_loop *loop, ev_idle *idle, int events)
{
  (void)loop;
  (void)idle;
  (void)events;
}

static void
on_io (struct ev_loop *loop, ev_io *io, int events)
{
  (void)loop;
  (void)events;
  check_socket (io->data);
}

static void
set_option (void *zmq, int option, int value)
{
  zmq_setsockopt (zmq, option, &value, sizeof value);
}

static void
detect_silence (void *zmq)
{
  set_option (zmq, ZMQ_CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS);
  set_option (zmq, ZMQ_HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS);
  set_option (zmq, ZMQ_TCP_MAXRT, ACKNOWLEDGE_TIMEOUT_MS);
  set_option (zmq, ZMQ_TCP_KEEPALIVE, 1);
  set_option (zmq, ZMQ_TCP_KEEPALIVE_IDLE, KEEP_ALIVE_IDLE_S);
  set_option (zmq, ZMQ_TCP_KEEPALIVE_INTVL, KEEP_ALIVE_INTERVAL_S);
  set_option (zmq, ZMQ_TCP_KEEPALIVE_CNT, KEEP_ALIVE_PROBES);
}

/* @return NULL when the process has no descriptor left. */
static struct socket *
socket_new (struct fl_link *link, int type, const struct fl_name *address)
{
  void *zmq = zmq_socket (link->zmq_context, type);
  struct ev_loop *loop = link->options.loop;
  int queue = (int)link->options.queue_max;
  int fd = -1;
  size_t size = sizeof fd;

  if (zmq == NULL)
    return NULL;
  struct socket *socket = g_new0 (struct socket, 1);
  socket->link = link;
  socket->address = *address;
  socket->opened_ms = fl_clock_boot_ms ();
  socket->zmq = zmq;
  set_option (socket->zmq, ZMQ_LINGER, 0);
  set_option (socket->zmq, ZMQ_SNDHWM, queue);
  set_option (socket->zmq, ZMQ_RCVHWM, queue);
  set_option (socket->zmq, ZMQ_RECONNECT_IVL, RECONNECT_MIN_MS);
  set_option (socket->zmq, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
  set_option (socket->zmq, type == ZMQ_ROUTER ? ZMQ_ROUTER_MANDATORY : ZMQ_IMMEDIATE, 1);
  detect_silence (socket->zmq);
  zmq_getsockopt (socket->zmq, ZMQ_FD, &fd, &size);
  ev_io_init (&socket->io, on_io, fd, EV_READ);
  socket->io.data = socket;
  ev_io_start (loop, &socket->io);
  mark_due (socket);
  return socket;
}

static void
socket_free (void *data)
{
  struct socket *socket = data;
  struct ev_loop *loop = socket->link->options.loop;

  guint position;

  ev_io_stop (loop, &socket->io);
  if (socket->is_due)
    g_ptr_array_remove_fast (socket->link->due, socket);
  if (g_ptr_array_find (socket->link->checking, socket, &position))
    socket->link->checking->pdata[position] = NULL;
  zmq_close (socket->zmq);
  g_free (socket);
}

static bool
bind_address (struct fl_link *link, struct fl_error *error)
{
  static const struct fl_name none = { 0 };
  char endpoint[FL_NAME_MAX + 1];
  size_t size = sizeof endpoint;

  link->router = socket_new (link, ZMQ_ROUTER, &none);
  if (link->router == NULL || zmq_bind (link->router->zmq, link->options.address) != 0)
    return fl_fail (error, FL_INTERNAL, "link_bind", link->options.address, "%s",
                    zmq_strerror (errno));
  if (zmq_getsockopt (link->router->zmq, ZMQ_LAST_ENDPOINT, endpoint, &size) == 0)
    link->address = fl_name_of (endpoint);
  return true;
}

static void
start_watchers (struct fl_link *link)
{
  struct ev_loop *loop = link->options.loop;

  ev_prepare_init (&link->prepare, on_prepare);
  ev_check_init (&link->check, on_check);
  ev_idle_init (&link->idle, on_idle);
  ev_timer_init (&link->sweep, on_sweep, SWEEP_INTERVAL_MS / 1000.0, SWEEP_INTERVAL_MS / 1000.0);
  link->prepare.data = link->check.data = link->sweep.data = link;
  ev_prepare_start (loop, &link->prepare);
  ev_check_start (loop, &link->check);
  ev_timer_start (loop, &link->sweep);
}

static void
stop_watchers (struct fl_link *link)
{
  struct ev_loop *loop = link->options.loop;

  ev_prepare_stop (loop, &link->prepare);
  ev_check_stop (loop, &link->check);
  ev_idle_stop (loop, &link->idle);
  ev_timer_stop (loop, &link->sweep);
}

struct fl_link *
fl_link_new (const struct fl_link_options *options, struct fl_error *error)
{
  struct fl_link *link = g_new0 (struct fl_link, 1);

  link->options = *options;
  link->zmq_context = zmq_ctx_new ();
  zmq_ctx_set (link->zmq_context, ZMQ_MAX_SOCKETS, SOCKETS_MAX);
  link->dealers = g_hash_table_new_full (fl_name_hash, fl_name_equal, g_free, socket_free);
  link->retired = g_ptr_array_new_with_free_func (socket_free);
  link->due = g_ptr_array_new ();
  link->checking = g_ptr_array_new ();
  start_watchers (link);
  if (options->address != NULL && !bind_address (link, error))
    {
      fl_link_free (link);
      return NULL;
    }
  return link;
}

void
fl_link_free (struct fl_link *link)
{
  if (link == NULL)
    return;
  g_hash_table_destroy (link->dealers);
  g_ptr_array_unref (link->retired);
  if (link->router != NULL)
    {
      set_option (link->router->zmq, ZMQ_LINGER, FREE_LINGER_MS);
      socket_free (link->router);
    }
  stop_watchers (link);
  g_ptr_array_unref (link->due);
  g_ptr_array_unref (link->checking);
  zmq_ctx_term (link->zmq_context);
  g_free (link);
}

void
fl_link_receive (struct fl_link *link)
{
  if (link->router != NULL)
    check_socket (link->router);
}

struct fl_name
fl_link_address (const struct fl_link *link)
{
  return link->address;
}

/* @return a socket that connects to @address, or NULL with @error filled. */
static struct socket *
connect_socket (struct fl_link *link, const struct fl_name *address, struct fl_error *error)
{
  struct socket *socket = socket_new (link, ZMQ_DEALER, address);

  if (socket != NULL && zmq_connect (socket->zmq, address->data) == 0)
    return socket;
  fl_fail (error, FL_INVALID, "link_connect", address->data, "%s", zmq_strerror (errno));
  if (socket != NULL)
    socket_free (socket);
  return NULL;
}

bool
fl_link_connect (struct fl_link *link, const struct fl_name *address, struct fl_error *error)
{
  if (g_hash_table_contains (link->dealers, address))
    return true;
  struct socket *socket = connect_socket (link, address, error);
  if (socket == NULL)
    return false;
  g_hash_table_insert (link->dealers, g_memdup2 (address, sizeof *address), socket);
  return true;
}

static void
close_retired (struct fl_link *link, const struct fl_name *address)
{
  for (guint i = link->retired->len; i > 0; i--)
    if (fl_name_eq (&((struct socket *)g_ptr_array_index (link->retired, i - 1))->address, address))
      g_ptr_array_remove_index_fast (link->retired, i - 1);
}

bool
fl_link_reconnect_silent (struct fl_link *link, const struct fl_name *address, int64_t sent_ms)
{
  struct socket *old = g_hash_table_lookup (link->dealers, address);
  int64_t now_ms = fl_clock_boot_ms ();
  void *key = NULL;

  if (old == NULL || old->opened_ms >= sent_ms || old->heard_ms >= sent_ms
      || (old->is_replacement && now_ms - old->opened_ms < REPLACE_INTERVAL_MS))
    return false;
  struct socket *socket = connect_socket (link, address, NULL);
  if (socket == NULL)
    return false;
  fl_log (link->options.log, FL_LOG_INFO, "link_replaced", FL_N ("address", address),
          FL_I ("unanswered_ms", now_ms - sent_ms), FL_I ("age_ms", now_ms - old->opened_ms),
          FL_I ("heard_ms_ago", old->heard_ms > 0 ? now_ms - old->heard_ms : -1));
  fl_stats_add (link->options.stats, "links_replaced_total", 1);
  socket->is_replacement = true;
  old->closing_ms = now_ms + RETIRED_MS;
  g_ptr_array_add (link->retired, old);
  g_hash_table_steal_extended (link->dealers, address, &key, NULL);
  g_hash_table_insert (link->dealers, key, socket);
  return true;
}

void
fl_link_disconnect (struct fl_link *link, const struct fl_name *address)
{
  g_hash_table_remove (link->dealers, address);
  close_retired (link, address);
}

bool
fl_link_send (struct fl_link *link, const struct fl_route *to, const char *data, size_t len)
{
  struct socket *socket = link->router;

  if (to->address.len > 0)
    socket = g_hash_table_lookup (link->dealers, &to->address);
  if (socket == NULL)
    return false;
  mark_due (socket);
  if (to->address.len == 0
      && zmq_send (socket->zmq, to->routing_id, to->routing_id_len, ZMQ_DONTWAIT | ZMQ_SNDMORE) < 0)
    return false;
  if (zmq_send (socket->zmq, data, len, ZMQ_DONTWAIT) < 0)
    return false;
  if (socket->unanswered_since_ms == 0)
    socket->unanswered_since_ms = fl_clock_boot_ms ();
  return true;
}
