/* Follows the operator's configuration and the failure domains that the operator evacuates. Never
 * applies a version of the configuration older than the current one. */
#pragma once

#include "host/host.h"
#include "store/follower.h"

/* What follows from changes; the functions may be NULL. */
struct fl_configuration_watch_callbacks
{
  void (*on_configuration) (void *context); /* a configuration has been applied */
  void (*on_evacuated) (void *context);     /* the evacuated domains may have changed */
  void *context;
};

/* Versions of the store that are kept with the time since when they were known: one is confirmed
 * about once a second. */
#define FL_KNOWN_VERSIONS 8

struct fl_known_version
{
  int64_t since_ms; /* boot clock */
  int64_t version;
};

struct fl_configuration_watch
{
  struct fl_host *host;
  struct fl_configuration *configuration; /* NULL until the first one is read */
  GArray *evacuated;                      /* struct fl_name: domains; NULL until the first start */
  GArray *listed;       /* those that the read in progress has returned so far, or NULL */
  int64_t confirmed_ms; /* when these were last known to be the newest (boot clock) */
  struct fl_known_version known_versions[FL_KNOWN_VERSIONS]; /* a ring; the newest at last_known */
  size_t last_known;
  struct fl_follower *follower;
  struct fl_configuration_watch_callbacks callbacks;
};

/* Starts following. @watch must be zeroed before the first start. */
void fl_configuration_watch_start (struct fl_configuration_watch *watch,
                                   struct fl_host *host,
                                   const struct fl_configuration_watch_callbacks *callbacks);

/* Stops following until the next start; keeps what is known. */
void fl_configuration_watch_pause (struct fl_configuration_watch *watch);

/* Stops following and releases what is known. */
void fl_configuration_watch_stop (struct fl_configuration_watch *watch);

/* @return a version of the store that was known at @boot_ms, at most a few seconds ago; 0 if none
 * is known to have been. Rows with a higher version may have been written later. */
int64_t fl_configuration_watch_get_version_at (const struct fl_configuration_watch *watch,
                                               int64_t boot_ms);
