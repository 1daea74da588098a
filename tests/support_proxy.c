#include "support_proxy.h"

#include <arpa/inet.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#define READ_BYTES 65536

/* One direction of a connection. */
struct direction
{
  struct pair *pair;
  ev_io io;
  int to;
};

/* A connection to the proxy and the one that it is forwarded to. */
struct pair
{
  struct support_proxy *proxy;
  struct direction directions[2];
  bool is_silent;
};

struct support_proxy
{
  struct ev_loop *loop;
  int upstream_port;
  int listener;
  ev_io accept_io;
  GPtrArray *pairs; /* struct pair */
  int accepted;
};

static struct sockaddr_in
make_address (int port)
{
  return (struct sockaddr_in){ .sin_family = AF_INET,
                               .sin_port = htons ((uint16_t)port),
                               .sin_addr = { htonl (INADDR_LOOPBACK) } };
}

static void
pair_free (void *data)
{
  struct pair *pair = data;

  for (int i = 0; i < 2; i++)
    {
      ev_io_stop (pair->proxy->loop, &pair->directions[i].io);
      close (pair->directions[i].io.fd);
    }
  g_free (pair);
}

static void
on_readable (struct ev_loop *loop, ev_io *io, int events)
{
  struct direction *direction = io->data;
  struct pair *pair = direction->pair;
  char buffer[READ_BYTES];
  ssize_t size = recv (io->fd, buffer, sizeof buffer, 0);

  (void)loop;
  (void)events;
  if (pair->is_silent && size > 0)
    return;
  if (pair->is_silent)
    ev_io_stop (loop, io);
  else if (size <= 0 || send (direction->to, buffer, (size_t)size, MSG_NOSIGNAL) < size)
    g_ptr_array_remove_fast (pair->proxy->pairs, pair);
}

static void
on_accept (struct ev_loop *loop, ev_io *io, int events)
{
  struct support_proxy *proxy = io->data;
  struct sockaddr_in address = make_address (proxy->upstream_port);
  int fds[2] = { accept (proxy->listener, NULL, NULL), socket (AF_INET, SOCK_STREAM, 0) };
  struct pair *pair = g_new0 (struct pair, 1);

  (void)events;
  pair->proxy = proxy;
  for (int i = 0; i < 2; i++)
    {
      pair->directions[i] = (struct direction){ .pair = pair, .to = fds[1 - i] };
      ev_io_init (&pair->directions[i].io, on_readable, fds[i], EV_READ);
      pair->directions[i].io.data = &pair->directions[i];
    }
  g_ptr_array_add (proxy->pairs, pair);
  proxy->accepted++;
  if (connect (fds[1], (struct sockaddr *)&address, sizeof address) != 0)
    {
      g_ptr_array_remove_fast (proxy->pairs, pair);
      return;
    }
  for (int i = 0; i < 2; i++)
    ev_io_start (loop, &pair->directions[i].io);
}

struct support_proxy *
support_proxy_new (struct ev_loop *loop, int port)
{
  struct support_proxy *proxy = g_new0 (struct support_proxy, 1);
  struct sockaddr_in address = make_address (0);
  bool is_listening;

  proxy->loop = loop;
  proxy->upstream_port = port;
  proxy->pairs = g_ptr_array_new_with_free_func (pair_free);
  proxy->listener = socket (AF_INET, SOCK_STREAM, 0);
  is_listening = bind (proxy->listener, (struct sockaddr *)&address, sizeof address) == 0
                 && listen (proxy->listener, SOMAXCONN) == 0;
  g_assert (is_listening);
  ev_io_init (&proxy->accept_io, on_accept, proxy->listener, EV_READ);
  proxy->accept_io.data = proxy;
  ev_io_start (loop, &proxy->accept_io);
  return proxy;
}

void
support_proxy_free (struct support_proxy *proxy)
{
  ev_io_stop (proxy->loop, &proxy->accept_io);
  close (proxy->listener);
  g_ptr_array_unref (proxy->pairs);
  g_free (proxy);
}

int
support_proxy_port (const struct support_proxy *proxy)
{
  struct sockaddr_in address = make_address (0);
  socklen_t len = sizeof address;

  getsockname (proxy->listener, (struct sockaddr *)&address, &len);
  return ntohs (address.sin_port);
}

void
support_proxy_silence (struct support_proxy *proxy)
{
  for (guint i = 0; i < proxy->pairs->len; i++)
    ((struct pair *)g_ptr_array_index (proxy->pairs, i))->is_silent = true;
}

void
support_proxy_cut (struct support_proxy *proxy)
{
  struct sock_filter code[] = { BPF_STMT (BPF_RET | BPF_K, 0) };
  const struct sock_fprog drop_all = { G_N_ELEMENTS (code), code };

  for (guint i = 0; i < proxy->pairs->len; i++)
    for (int j = 0; j < 2; j++)
      setsockopt (((struct pair *)g_ptr_array_index (proxy->pairs, i))->directions[j].io.fd,
                  SOL_SOCKET, SO_ATTACH_FILTER, &drop_all, sizeof drop_all);
}

void
support_proxy_hold (struct support_proxy *proxy)
{
  for (guint i = 0; i < proxy->pairs->len; i++)
    for (int j = 0; j < 2; j++)
      ev_io_stop (proxy->loop,
                  &((struct pair *)g_ptr_array_index (proxy->pairs, i))->directions[j].io);
}

void
support_proxy_release (struct support_proxy *proxy)
{
  for (guint i = 0; i < proxy->pairs->len; i++)
    for (int j = 0; j < 2; j++)
      ev_io_start (proxy->loop,
                   &((struct pair *)g_ptr_array_index (proxy->pairs, i))->directions[j].io);
}

int
support_proxy_accepted (const struct support_proxy *proxy)
{
  return proxy->accepted;
}
