/* Settings of a host's daemons: a JSON object, checked whole at start. */
#pragma once

#include "common/log.h"
#include "common/schema.h"

struct fl_host_settings
{
  struct fl_name name;   /* of this host */
  struct fl_name domain; /* its failure domain */
  struct fl_name region;
  struct fl_name address;      /* IPv4 number for links and metrics */
  struct fl_name front;        /* "ip:port" that clients connect to */
  struct fl_name ready;        /* "ip:port" that the balancer asks */
  struct fl_name native_api;   /* "ip:port" of the product's own interface; empty for none */
  struct fl_name store;        /* "ip:port" of the platform's store */
  struct fl_name advice;       /* "ip:port" of the advice service; empty for none */
  int64_t link_port;           /* of flamingo-poold, for its peers */
  int64_t relay_port;          /* of flamingo-frontd, carries calls to the store; 0 for none */
  int64_t pool_metrics_port;   /* of flamingo-poold */
  int64_t front_metrics_port;  /* of flamingo-frontd */
  struct fl_name cpu_share;    /* of a core, as a fraction, that the host has; empty for unknown */
  int64_t cores;               /* times the speed of one */
  int64_t forward_min_targets; /* targets from which on peers carry orders; 0: by the processor */
  int64_t lease_max_ms;        /* longest lease that targets grant */
  int64_t graceful_stop_s;     /* from SIGTERM to the end */
  int log_level;
};

/* Reads and checks the settings file at @path.
 * @return false with every problem listed; @settings can be cleared either way. */
bool fl_host_settings_load (const char *path,
                            struct fl_host_settings *settings,
                            struct fl_problems *problems);

void fl_host_settings_clear (struct fl_host_settings *settings);

/* Prints name, type and range of every setting. */
void fl_host_settings_describe (void);

/* The log level that the settings ask for. */
enum fl_log_level fl_host_settings_log_level (const struct fl_host_settings *settings);

/* The processor that the host has, in thousandths of a core; 0 when the settings do not tell. */
int64_t fl_host_settings_cpu_milli (const struct fl_host_settings *settings);

/* Splits "ip:port". @return false when it is no IPv4 number and port. */
bool fl_host_parse_endpoint (const struct fl_name *text, struct fl_name *address, int64_t *port);
