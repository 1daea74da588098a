/* The configuration in force: queues, services and teams of one version.
 *
 * A configuration is built once by the platform's decoder and is read-only afterwards; holders
 * share it by reference count. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "common/str.h"

/* Processors in thousandths of a core, memory and accelerators. */
struct fl_resources
{
  int64_t cpu_milli;
  int64_t memory_mb;
  int64_t gpu;
};

/* How long the advice service takes for a queue, and how long its tickets hold. */
struct fl_advice_policy
{
  bool required;
  double base_latency_ms;
  double per_target_latency_ms;
  int64_t valid_ms;
};

struct fl_queue
{
  struct fl_name name;
  struct fl_name http_host; /* Host header, lower case */
  struct fl_name prefix;    /* path prefix, ends with '/' */
  struct fl_name service;   /* whose targets run the tasks */
  bool is_public;           /* takes calls without a key */
  int64_t priority;         /* 0 comes first */
  int64_t attempts_max;     /* failed runs of a task that fail its job */
  int64_t latency_objective_ms;
  double stretch; /* factor on the longest chain of work in the objective */
  struct fl_advice_policy advice;
};

struct fl_service
{
  struct fl_name name;
  bool rejects_overload; /* its targets refuse what does not fit */
  bool powered_off;      /* its machines are off */
  int64_t connections_max;
};

struct fl_team
{
  struct fl_name name;
  int64_t weight;
  struct fl_resources cap; /* 0 means no limit */
};

struct fl_configuration;

struct fl_configuration *fl_configuration_new (int64_t version);
struct fl_configuration *fl_configuration_ref (struct fl_configuration *configuration);
void fl_configuration_unref (struct fl_configuration *configuration);

int64_t fl_configuration_get_version (const struct fl_configuration *configuration);

/* Builders; a later object of the same name replaces the earlier one. */
void fl_configuration_add_queue (struct fl_configuration *configuration,
                                 const struct fl_queue *queue);
void fl_configuration_add_service (struct fl_configuration *configuration,
                                   const struct fl_service *service);
void fl_configuration_add_team (struct fl_configuration *configuration, const struct fl_team *team);
void fl_configuration_add_key (struct fl_configuration *configuration,
                               const struct fl_name *key,
                               const struct fl_name *team);

/* @return the queue with @host and the longest prefix of @path, or NULL. @host may carry a port. */
const struct fl_queue *fl_configuration_match_queue (const struct fl_configuration *configuration,
                                                     const char *host,
                                                     const char *path);

/* @return the object of that name, or NULL. */
const struct fl_queue *fl_configuration_find_queue (const struct fl_configuration *configuration,
                                                    const struct fl_name *name);
const struct fl_service *
fl_configuration_find_service (const struct fl_configuration *configuration,
                               const struct fl_name *name);
const struct fl_team *fl_configuration_find_team (const struct fl_configuration *configuration,
                                                  const struct fl_name *name);

/* @return the name of the team that holds @key, or NULL for an unknown key. */
const struct fl_name *
fl_configuration_find_team_of_key (const struct fl_configuration *configuration,
                                   const struct fl_name *key);
