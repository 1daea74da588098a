/* Replies that take longer than the limit of their call since the link is narrow. The server shares
 * its bandwidth among all replies that it is sending. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <cmocka.h>
#include <ev.h>
#include <glib.h>
#include <sys/socket.h>

#include "net/http_client.h"
#include "platform/platform.h"
#include "store/follower.h"
#include "support_loop.h"

#define CONNECTIONS_MAX 64
#define SEND_INTERVAL_S 0.05
#define SENT_PER_INTERVAL 10000
/* Takes 2.5 s: more than the timeout of a first read, 1.5 s. */
#define ROW_LEN 375000
#define TEST_MAX_S 15.0
/* A loop that was held up for this long may have sent a copy: nothing arrived meanwhile. */
#define HELD_UP_MS 300

struct connection
{
  struct narrow_server *server;
  ev_io io;
  GString *request;
  size_t sent; /* of the reply */
  bool is_replying;
  bool has_stalled; /* sends no more */
};

struct narrow_server
{
  struct ev_loop *loop;
  ev_io listener;
  ev_timer send_timer;
  int port;
  GString *reply;
  struct connection connections[CONNECTIONS_MAX];
  int connection_count;
  int read_count;         /* reads that have arrived */
  size_t first_reply_len; /* the first reply ends after this much of it */
  bool has_read;          /* the follower has delivered the table */
  size_t delivered_len;   /* of the row */
};

static void
on_request_bytes (struct ev_loop *loop, ev_io *io, int events)
{
  struct connection *connection = io->data;
  struct narrow_server *server = connection->server;
  char buffer[4096];
  ssize_t len = read (io->fd, buffer, sizeof buffer);

  (void)events;
  if (len <= 0)
    {
      ev_io_stop (loop, io);
      connection->is_replying = false;
      return;
    }
  g_string_append_len (connection->request, buffer, len);
  if (strstr (connection->request->str, "\r\n\r\n") == NULL)
    return;
  /* Feed calls wait for changes, and there are none. */
  if (g_str_has_prefix (connection->request->str, "GET /rows-get"))
    {
      connection->is_replying = true;
      connection->sent = 0;
      connection->has_stalled = false;
      server->read_count++;
    }
  g_string_truncate (connection->request, 0);
}

static void
on_connection (struct ev_loop *loop, ev_io *io, int events)
{
  struct narrow_server *server = io->data;
  struct connection *connection;
  int fd = accept4 (io->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

  (void)events;
  assert_true (fd >= 0 && server->connection_count < CONNECTIONS_MAX);
  connection = &server->connections[server->connection_count++];
  *connection = (struct connection){ .server = server, .request = g_string_new (NULL) };
  ev_io_init (&connection->io, on_request_bytes, fd, EV_READ);
  connection->io.data = connection;
  ev_io_start (loop, &connection->io);
}

static bool
is_sending (const struct connection *connection)
{
  return connection->is_replying && !connection->has_stalled;
}

static void
on_send_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct narrow_server *server = timer->data;
  size_t sending = 0;

  (void)loop;
  (void)events;
  for (int i = 0; i < server->connection_count; i++)
    sending += is_sending (&server->connections[i]);
  for (int i = 0; i < server->connection_count; i++)
    {
      struct connection *connection = &server->connections[i];
      if (!is_sending (connection))
        continue;
      size_t len = MIN (SENT_PER_INTERVAL / sending, server->reply->len - connection->sent);
      ssize_t sent
          = send (connection->io.fd, server->reply->str + connection->sent, len, MSG_NOSIGNAL);
      connection->sent += sent > 0 ? (size_t)sent : 0;
      connection->has_stalled
          = server->read_count == 1 && connection->sent >= server->first_reply_len;
      connection->is_replying = connection->sent < server->reply->len;
    }
}

static GString *
reply_new (void)
{
  GString *row = g_string_new (NULL);
  GString *reply = g_string_new (NULL);
  g_autofree char *value = NULL;

  for (size_t i = 0; i < ROW_LEN; i++)
    g_string_append_c (row, 'x');
  value = g_base64_encode ((const unsigned char *)row->str, row->len);
  g_string_printf (
      row,
      "{\"rows\":[{\"table\":\"t\",\"part\":\"\",\"key\":\"k\",\"ver\":1,\"value\":\"%s\"}],"
      "\"ver\":1,\"hasMore\":false,\"nowMs\":1}",
      value);
  g_string_printf (reply, "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s", row->len, row->str);
  g_string_free (row, TRUE);
  return reply;
}

static void
server_start (struct narrow_server *server, struct ev_loop *loop, size_t first_reply_len)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t len = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  *server = (struct narrow_server){ .loop = loop,
                                    .reply = reply_new (),
                                    .first_reply_len = first_reply_len };
  assert_int_equal (bind (fd, (struct sockaddr *)&address, len), 0);
  assert_int_equal (listen (fd, CONNECTIONS_MAX), 0);
  assert_int_equal (getsockname (fd, (struct sockaddr *)&address, &len), 0);
  server->port = ntohs (address.sin_port);
  ev_io_init (&server->listener, on_connection, fd, EV_READ);
  server->listener.data = server;
  ev_io_start (loop, &server->listener);
  ev_timer_init (&server->send_timer, on_send_timer, SEND_INTERVAL_S, SEND_INTERVAL_S);
  server->send_timer.data = server;
  ev_timer_start (loop, &server->send_timer);
}

static void
server_stop (struct narrow_server *server)
{
  ev_io_stop (server->loop, &server->listener);
  ev_timer_stop (server->loop, &server->send_timer);
  close (server->listener.fd);
  for (int i = 0; i < server->connection_count; i++)
    {
      ev_io_stop (server->loop, &server->connections[i].io);
      close (server->connections[i].io.fd);
      g_string_free (server->connections[i].request, TRUE);
    }
  g_string_free (server->reply, TRUE);
}

static void
on_row (void *context, const struct fl_store_row *row)
{
  ((struct narrow_server *)context)->delivered_len = row->value.len;
}

static void
on_read_end (void *context)
{
  struct narrow_server *server = context;

  server->has_read = true;
  ev_break (server->loop, EVBREAK_ALL);
}

static void
on_end_of_test (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)timer;
  (void)events;
  ev_break (loop, EVBREAK_ALL);
}

/* A large configuration was never read over a narrow link: each call was ended, and copies of it
 * sent, while its reply was arriving, and the copies shared the bandwidth. */
static void
test_arriving_reply_is_not_requested_again (void **state)
{
  static const struct
  {
    const char *name;
    size_t first_reply_len;
    int reads;
  } cases[] = {
    { "the reply arrives slowly", SIZE_MAX, 1 },
    { "the first reply stops midway", 100000, 2 },
  };
  static const char *const partitions[] = { "", NULL };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct ev_loop *loop = ev_loop_new (0);
      struct narrow_server server;
      struct fl_stats *stats = fl_stats_new ();
      struct fl_http_client *client = fl_http_client_new (
          &(struct fl_http_client_options){ .loop = loop, .connections_max = 8, .stats = stats });
      struct fl_name address;
      struct fl_platform_store *store;
      struct fl_follower *follower;
      struct loop_watch watch;
      ev_timer end;

      server_start (&server, loop, cases[i].first_reply_len);
      address = fl_name_format ("127.0.0.1:%d", server.port);
      store = fl_platform_store_new (client, address.data);
      follower = fl_follower_new (
          &(struct fl_follower_options){ .loop = loop,
                                         .store = fl_platform_store_get_interface (store),
                                         .table = "t",
                                         .partitions = partitions,
                                         .on_row = on_row,
                                         .on_read_end = on_read_end,
                                         .context = &server });
      ev_timer_init (&end, on_end_of_test, TEST_MAX_S, 0.0);
      ev_timer_start (loop, &end);
      support_watch_loop (&watch, loop);
      ev_run (loop, 0);
      printf ("  %s: %d reads\n", cases[i].name, server.read_count);
      assert_true (server.has_read);
      assert_int_equal (server.delivered_len, ROW_LEN);
      if (watch.held_up_ms < HELD_UP_MS)
        assert_int_equal (server.read_count, cases[i].reads);
      ev_timer_stop (loop, &end);
      fl_follower_free (follower);
      fl_http_client_free (client);
      fl_platform_store_free (store);
      server_stop (&server);
      fl_stats_free (stats);
      ev_loop_destroy (loop);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_arriving_reply_is_not_requested_again) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
