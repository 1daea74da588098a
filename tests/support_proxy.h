/* A TCP proxy on a libev loop, whose open connections can go silent or be held back. */
#pragma once

#include <ev.h>

struct support_proxy;

/* Listens on a free port of 127.0.0.1 and forwards to @port there. */
struct support_proxy *support_proxy_new (struct ev_loop *loop, int port);

void support_proxy_free (struct support_proxy *proxy);

int support_proxy_port (const struct support_proxy *proxy);

/* Discards from now on what arrives on the connections that are open now. They stay open. */
void support_proxy_silence (struct support_proxy *proxy);

/* The same, and nothing that arrives is acknowledged either, as on a path that drops all packets.
 */
void support_proxy_cut (struct support_proxy *proxy);

/* Forwards nothing on the connections that are open now until support_proxy_release. */
void support_proxy_hold (struct support_proxy *proxy);
void support_proxy_release (struct support_proxy *proxy);

/* @return the number of connections accepted so far. */
int support_proxy_accepted (const struct support_proxy *proxy);
