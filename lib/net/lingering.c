#include "net/lingering.h"

#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdbool.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "common/clock.h"

#define READ_BYTES ((size_t)16 * 1024)
/* Reads of one connection in a turn of the loop, so that a fast peer does not hold up others. */
#define READS_MAX 16

struct fl_lingering
{
  struct ev_loop *loop;
  int64_t max_ms;
  GPtrArray *connections; /* struct lingering_connection */
};

struct lingering_connection
{
  struct fl_lingering *owner;
  ev_io io;
  ev_timer timer;
};

static void
connection_free (void *data)
{
  struct lingering_connection *connection = data;

  ev_io_stop (connection->owner->loop, &connection->io);
  ev_timer_stop (connection->owner->loop, &connection->timer);
  close (connection->io.fd);
  g_free (connection);
}

/* Discards what has arrived. @return whether the peer has closed or reset the connection. */
static bool
discard_input (int fd)
{
  char buffer[READ_BYTES];

  for (int i = 0; i < READS_MAX; i++)
    {
      ssize_t count = recv (fd, buffer, sizeof buffer, MSG_DONTWAIT);
      if (count < 0)
        return errno != EAGAIN && errno != EINTR;
      if (count == 0)
        return true;
    }
  return false;
}

static void
on_readable (struct ev_loop *loop, ev_io *io, int events)
{
  struct lingering_connection *connection = io->data;

  (void)loop;
  (void)events;
  if (discard_input (io->fd))
    g_ptr_array_remove_fast (connection->owner->connections, connection);
}

static void
on_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct lingering_connection *connection = timer->data;

  (void)loop;
  (void)events;
  g_ptr_array_remove_fast (connection->owner->connections, connection);
}

struct fl_lingering *
fl_lingering_new (struct ev_loop *loop, int64_t max_ms)
{
  struct fl_lingering *lingering = g_new0 (struct fl_lingering, 1);

  lingering->loop = loop;
  lingering->max_ms = max_ms;
  lingering->connections = g_ptr_array_new_with_free_func (connection_free);
  return lingering;
}

void
fl_lingering_add (struct fl_lingering *lingering, int fd)
{
  int own_fd = fcntl (fd, F_DUPFD_CLOEXEC, 0);
  struct lingering_connection *connection;

  if (own_fd < 0)
    return;
  connection = g_new0 (struct lingering_connection, 1);
  connection->owner = lingering;
  ev_io_init (&connection->io, on_readable, own_fd, EV_READ);
  connection->io.data = connection;
  ev_io_start (lingering->loop, &connection->io);
  ev_timer_init (&connection->timer, on_timer, (double)lingering->max_ms / 1000.0, 0.0);
  connection->timer.data = connection;
  ev_timer_start (lingering->loop, &connection->timer);
  g_ptr_array_add (lingering->connections, connection);
}

int
fl_lingering_count (const struct fl_lingering *lingering)
{
  return (int)lingering->connections->len;
}

void
fl_lingering_free (struct fl_lingering *lingering, int64_t wait_ms)
{
  int64_t until_ms = fl_clock_monotonic_us () / 1000 + wait_ms;
  GPtrArray *connections = lingering->connections;

  while (connections->len > 0 && fl_clock_monotonic_us () / 1000 < until_ms)
    {
      struct lingering_connection *connection = g_ptr_array_index (connections, 0);
      struct pollfd ready = { .fd = connection->io.fd, .events = POLLIN };
      int64_t left_ms = until_ms - fl_clock_monotonic_us () / 1000;

      if (poll (&ready, 1, (int)MAX (left_ms, 0)) > 0 && discard_input (connection->io.fd))
        g_ptr_array_remove_index_fast (connections, 0);
    }
  g_ptr_array_unref (connections);
  g_free (lingering);
}
