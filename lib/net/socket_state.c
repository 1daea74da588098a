#include "net/socket_state.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

static const char *
get_peer_state (const struct tcp_info *info)
{
  switch (info->tcpi_state)
    {
    case TCP_ESTABLISHED:
    case TCP_FIN_WAIT1:
    case TCP_FIN_WAIT2:
      return "open";
    case TCP_CLOSE:
      return "reset";
    default:
      return "closed";
    }
}

static int64_t
get_queue_bytes (int fd, unsigned long queue)
{
  int bytes = 0;

  return ioctl (fd, queue, &bytes) == 0 ? bytes : 0;
}

struct fl_socket_state
fl_socket_state_get (int fd)
{
  struct fl_socket_state state = { .peer = "unknown",
                                   .unread_bytes = get_queue_bytes (fd, SIOCINQ),
                                   .unacked_bytes = get_queue_bytes (fd, SIOCOUTQ) };
  struct tcp_info info = { 0 };
  socklen_t len = sizeof info;

  if (getsockopt (fd, IPPROTO_TCP, TCP_INFO, &info, &len) == 0)
    {
      state.peer = get_peer_state (&info);
      state.received_ms_ago = info.tcpi_last_data_recv;
    }
  return state;
}
