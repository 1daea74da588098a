#include "support_http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cmocka.h>

#define RETRY_MS 10

static struct sockaddr_in
loopback_address (int port)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  return address;
}

int
test_free_port (void)
{
  struct sockaddr_in address = loopback_address (0);
  socklen_t len = sizeof address;
  int reuse = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  assert_true (fd >= 0);
  assert_int_equal (bind (fd, (struct sockaddr *)&address, len), 0);
  assert_int_equal (getsockname (fd, (struct sockaddr *)&address, &len), 0);
  /* Set after the bind, which then gets a port that no other socket has. It lets a listener that
   * sets it, too, bind the port, while the kernel gives it to nobody who asks for any port. The
   * socket stays open until the test program ends, and since it does not listen, connections are
   * refused when the listener is closed. */
  assert_int_equal (setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse), 0);
  return ntohs (address.sin_port);
}

bool
test_client_connect (struct test_client *client, int port, bool retry)
{
  struct sockaddr_in address = loopback_address (port);
  int tries = retry ? SUPPORT_HTTP_GUARD_MS / RETRY_MS : 1;

  if (client->received == NULL)
    client->received = g_string_new (NULL);
  for (int i = 0; i < tries; i++)
    {
      client->fd = socket (AF_INET, SOCK_STREAM, 0);
      if (connect (client->fd, (struct sockaddr *)&address, sizeof address) == 0)
        return true;
      close (client->fd);
      client->fd = -1;
      if (retry)
        usleep (RETRY_MS * 1000);
    }
  return false;
}

bool
test_client_connect_within (struct test_client *client, int port, int timeout_ms)
{
  struct sockaddr_in address = loopback_address (port);
  struct timeval timeout = { timeout_ms / 1000, (suseconds_t)(timeout_ms % 1000) * 1000 };

  if (client->received == NULL)
    client->received = g_string_new (NULL);
  client->fd = socket (AF_INET, SOCK_STREAM, 0);
  setsockopt (client->fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
  if (connect (client->fd, (struct sockaddr *)&address, sizeof address) == 0)
    return true;
  close (client->fd);
  client->fd = -1;
  return false;
}

void
test_client_close (struct test_client *client)
{
  if (client->fd >= 0)
    close (client->fd);
  client->fd = -1;
  client->awaits_response = false;
  if (client->received != NULL)
    g_string_free (client->received, TRUE);
  client->received = NULL;
}

bool
test_client_send (struct test_client *client, const char *text)
{
  size_t len = strlen (text);

  return client->fd >= 0 && send (client->fd, text, len, MSG_NOSIGNAL) == (ssize_t)len;
}

bool
test_client_request (struct test_client *client, const char *text)
{
  client->awaits_response = test_client_send (client, text);
  return client->awaits_response;
}

/* Removes a "100 Continue" at the start of the received bytes. */
static void
skip_continue (struct test_client *client)
{
  const char *text = client->received->str;
  const char *end = strstr (text, "\r\n\r\n");

  if (end != NULL && g_str_has_prefix (text, "HTTP/1.1 100 "))
    g_string_erase (client->received, 0, end + 4 - text);
}

/* @return the status of the response at the start of the received bytes, which is then removed; 0
 * if it is not complete. */
static int
take_response (struct test_client *client, bool *closes)
{
  skip_continue (client);
  const char *text = client->received->str;
  const char *end = strstr (text, "\r\n\r\n");
  const char *length = strcasestr (text, "\r\nContent-Length: ");
  const char *connection = strcasestr (text, "\r\nConnection: close\r\n");
  size_t total;
  int status;

  if (end == NULL)
    return 0;
  assert_non_null (length);
  total = (size_t)(end + 4 - text) + strtoul (length + strlen ("\r\nContent-Length: "), NULL, 10);
  if (client->received->len < total)
    return 0;
  *closes = connection != NULL && connection < end;
  status = (int)strtol (text + strlen ("HTTP/1.1 "), NULL, 10);
  g_string_erase (client->received, 0, (gssize)total);
  return status;
}

int
test_client_poll (struct test_client *client, int wait_ms)
{
  struct pollfd ready = { .fd = client->fd, .events = POLLIN };
  char buffer[65536];
  bool closes = false;
  ssize_t count;
  int status;

  if (client->fd < 0)
    return -1;
  /* The response to a request that was sent together with others may have arrived with the one
   * before. */
  status = take_response (client, &closes);
  if (status == 0)
    {
      if (poll (&ready, 1, wait_ms) <= 0)
        return 0;
      count = recv (client->fd, buffer, sizeof buffer, 0);
      if (count <= 0)
        {
          test_client_close (client);
          return -1;
        }
      g_string_append_len (client->received, buffer, count);
      status = take_response (client, &closes);
    }
  if (status > 0)
    client->awaits_response = false;
  if (closes)
    test_client_close (client);
  return status;
}

int
test_client_await (struct test_client *client)
{
  int64_t guard_us = g_get_monotonic_time () + SUPPORT_HTTP_GUARD_MS * 1000;
  int status = 0;

  while (status == 0)
    {
      status = test_client_poll (client, 100);
      assert_true (g_get_monotonic_time () < guard_us);
    }
  return status;
}

int
test_wait_for_exit (int pid)
{
  int64_t guard_us = g_get_monotonic_time () + SUPPORT_HTTP_GUARD_MS * 1000;
  int status = 0;

  while (waitpid (pid, &status, WNOHANG) == 0)
    {
      assert_true (g_get_monotonic_time () < guard_us);
      usleep (RETRY_MS * 1000);
    }
  return WIFEXITED (status) ? WEXITSTATUS (status) : 128 + WTERMSIG (status);
}
