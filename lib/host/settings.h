/* Settings of a host's daemons, read from a JSON object and checked completely at start. */
#pragma once

#include "common/log.h"
#include "common/schema.h"

struct fl_host_settings
{
  struct fl_name name;   /* of the host */
  struct fl_name domain; /* failure domain of the host */
  struct fl_name region;
  struct fl_name address;    /* IPv4 address for links and metrics */
  struct fl_name front;      /* "ip:port" that clients connect to */
  struct fl_name ready;      /* "ip:port" of the readiness checks of the load balancer */
  struct fl_name native_api; /* "ip:port" of the native HTTP API; empty for none */
  struct fl_name store;      /* "ip:port" of the platform's store */
  struct fl_name advice;     /* "ip:port" of the advice service; empty for none */
  int64_t link_port;         /* of flamingo-poold, for its peers */
  int64_t relay_port;        /* of flamingo-frontd, relays store calls of other hosts; 0 for none */
  int64_t pool_metrics_port; /* of flamingo-poold; 0 for none */
  int64_t front_metrics_port; /* of flamingo-frontd; 0 for none */
  struct fl_name cpu_share;   /* decimal fraction of each core that the host may use, or empty */
  int64_t cores;              /* number of cores that cpu_share applies to */
  struct fl_name link_mbps;   /* rate of the host's network link in Mbit/s, decimal; or empty */
  int64_t memory_mb;          /* limit of the memory of each process */
  int64_t descriptors_max; /* limit of the file descriptors of each process; 0 for that of the OS */
  int64_t row_bytes_max;   /* longest value that the store accepts in a row */
  /* Peers forward orders if there are at least this many targets, or if the targets need more CPU
   * than the host has. 0: only in the latter case. */
  int64_t forward_min_targets;
  int64_t lease_max_ms;    /* longest lease that a target grants */
  int64_t evacuation_ms;   /* after which an evacuation of a failure domain holds; 0 for none */
  int64_t graceful_stop_s; /* from SIGTERM until the process is killed */
  int log_level;           /* index of the name; see fl_host_settings_log_level */
};

/* Reads and checks the settings file at @path.
 * @return false with every problem listed; @settings can be cleared either way. */
bool fl_host_settings_load (const char *path,
                            struct fl_host_settings *settings,
                            struct fl_problems *problems);

void fl_host_settings_clear (struct fl_host_settings *settings);

/* Prints the name, type and range of every setting. */
void fl_host_settings_describe (void);

/* @return the configured log level. */
enum fl_log_level fl_host_settings_log_level (const struct fl_host_settings *settings);

/* @return the CPU capacity of the host in thousandths of a core; 0 if it is not configured. */
int64_t fl_host_settings_cpu_milli (const struct fl_host_settings *settings);

/* @return the bytes of memory that this process may use: the configured limit, or what the machine
 * has if that is less. */
int64_t fl_host_settings_memory_bytes (const struct fl_host_settings *settings);

/* @return how many file descriptors this process may have open. */
int64_t fl_host_settings_descriptors (const struct fl_host_settings *settings);

/* @return the rate of the host's network link in bytes a second; 0 if it is not configured. */
int64_t fl_host_settings_link_bytes_per_s (const struct fl_host_settings *settings);
