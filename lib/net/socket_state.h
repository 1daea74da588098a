/* What the kernel tells of a TCP connection, for logs. */
#pragma once

#include <stdint.h>

struct fl_socket_state
{
  const char *peer;      /* "open", "closed" (its end was received), "reset", "unknown" */
  int64_t unread_bytes;  /* that have arrived */
  int64_t unacked_bytes; /* that were sent, and that the peer's kernel has not acknowledged */
  /* Time since bytes last arrived; does not count while the host is suspended, and is 0 where the
   * kernel does not tell. */
  int64_t received_ms_ago;
};

/* Reads nothing and clears no pending error. A connection that both ends have closed counts as
 * reset.
 * @return the state of the connection with descriptor @fd. */
struct fl_socket_state fl_socket_state_get (int fd);
