/* Settings of the daemons: one JSON document, checked whole at start. */
#pragma once

#include "common/schema.h"
#include "lease/lease.h"

struct fl_seed
{
  struct fl_name address; /* "tcp://IP:PORT" of a scheduler */
};

struct fl_settings
{
  struct fl_name name;   /* of the host */
  struct fl_name domain; /* failure domain that the host stands in */
  struct fl_name region;
  struct fl_name link; /* "tcp://IP:PORT" that a scheduler binds */
  struct fl_name http_address;
  int64_t http_port;
  struct fl_str platform_url;
  struct fl_array seeds; /* struct fl_seed: schedulers to ask while the table is down */
  int log_level;
  struct fl_name bootstrap_operator_digest;
  int64_t body_max;
  int64_t header_max;
  int64_t connections_max;
  int64_t idle_ms;
  int64_t upload_ms;
  int64_t platform_timeout_ms;
  int64_t hello_ms;
  int64_t contact_ms;
  int64_t host_list_ms;
  int64_t lease_ms;
  int64_t promise_ms;
  int64_t renew_ms;
  int64_t delivery_ms;
  int64_t outage_max_ms;
  int64_t drift_ppm;
  int64_t task_lease_ms;
  int64_t poll_wait_ms;
  int64_t commit_interval_ms;
  int64_t finished_keep_ms;
  int64_t quarantine_ms;
  int64_t drain_ms;
};

extern const struct fl_schema fl_settings_schema;

/* Reads and checks the settings at @path. @return false with every problem listed in @problems.
 * Clear @settings with fl_settings_clear either way. */
bool
fl_settings_load (const char *path, struct fl_settings *settings, struct fl_problems *problems);

/* The same for JSON text. */
bool fl_settings_parse (const char *data,
                        size_t len,
                        struct fl_settings *settings,
                        struct fl_problems *problems);

void fl_settings_clear (struct fl_settings *settings);

/* The ownership rules that the settings ask for. */
struct fl_lease_rules fl_settings_lease_rules (const struct fl_settings *settings);

/* Prints every setting with its bounds and default, for --help. */
void fl_settings_describe (void);
