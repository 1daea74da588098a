/* HTTP clients of tests: one request at a time on a connection that stays open. */
#pragma once

#include <stdbool.h>

#include <glib.h>

/* Longest wait for a peer; only a guard against a test that hangs. */
#define SUPPORT_HTTP_GUARD_MS 20000

struct test_client
{
  int fd; /* -1 when not connected */
  GString *received;
  bool awaits_response;
};

/* @return a port of 127.0.0.1 that is reserved for this test program until it ends: a listener
 * there has to set SO_REUSEADDR. */
int test_free_port (void);

/* Connects to @port of 127.0.0.1, retrying until somebody listens there if @retry.
 * @return false when the connection was refused. */
bool test_client_connect (struct test_client *client, int port, bool retry);

/* Connects to @port of 127.0.0.1. @return false when the connection was refused, or was not
 * complete after @timeout_ms. */
bool test_client_connect_within (struct test_client *client, int port, int timeout_ms);

void test_client_close (struct test_client *client);

/* Sends @text. @return false when the connection has been closed. */
bool test_client_send (struct test_client *client, const char *text);

/* Sends a request that is complete with @text. As test_client_send. */
bool test_client_request (struct test_client *client, const char *text);

/* Reads what has arrived, waiting up to @wait_ms for the first byte.
 * @return the status of a complete response; 0 if there is none yet; -1 if the connection was
 * closed before the response was complete, also when no request was sent. Closes the connection
 * in this case, and after a response with "Connection: close". */
int test_client_poll (struct test_client *client, int wait_ms);

/* Waits for the response. @return its status, or -1 as test_client_poll. */
int test_client_await (struct test_client *client);

/* Waits until the child process @pid has ended.
 * @return its exit code, or 128 plus the signal that ended it. */
int test_wait_for_exit (int pid);
