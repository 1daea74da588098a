/* One version of the operator's configuration: queues, services, teams and their API keys.
 *
 * A configuration is built once by the platform's decoder and is read-only afterwards. It is shared
 * by reference counting. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "common/str.h"

struct fl_resources
{
  int64_t cpu_milli; /* thousandths of a core */
  int64_t memory_mb;
  int64_t gpu;
};

/* How the tasks of a queue use the advice service. */
struct fl_advice_policy
{
  bool required;                /* tasks start only with a ticket of the service */
  double base_latency_ms;       /* expected duration of a query for no target */
  double per_target_latency_ms; /* additional duration for each target of a query */
  int64_t valid_ms;             /* how long a ticket is valid */
};

struct fl_queue
{
  struct fl_name name;
  struct fl_name http_host; /* of the Host header, lower case */
  struct fl_name prefix;    /* of the URL path, ends with '/' */
  struct fl_name service;   /* service whose targets run the tasks */
  bool is_public;           /* accepts requests without an API key */
  int64_t priority;         /* 0 is the highest */
  int64_t attempts_max;     /* failed runs of a task at which its job fails; above 0 */
  int64_t latency_objective_ms;
  double stretch; /* a job is late after stretch * critical path + objective */
  struct fl_advice_policy advice;
};

struct fl_service
{
  struct fl_name name;
  bool rejects_overload; /* its targets reject tasks that exceed their capacity */
  bool powered_off;
  int64_t connections_max; /* that a target accepts; 0 if it is unknown */
};

struct fl_team
{
  struct fl_name name;
  int64_t weight;
  struct fl_resources cap; /* 0 means no limit */
};

struct fl_configuration;

/* @return an empty configuration with one reference, which the caller owns. */
struct fl_configuration *fl_configuration_new (int64_t version);
struct fl_configuration *fl_configuration_ref (struct fl_configuration *configuration);
void fl_configuration_unref (struct fl_configuration *configuration);

int64_t fl_configuration_get_version (const struct fl_configuration *configuration);

/* Add a copy of an object while the configuration is built. An object replaces an earlier one of
 * the same name or key. */
void fl_configuration_add_queue (struct fl_configuration *configuration,
                                 const struct fl_queue *queue);
void fl_configuration_add_service (struct fl_configuration *configuration,
                                   const struct fl_service *service);
void fl_configuration_add_team (struct fl_configuration *configuration, const struct fl_team *team);
void fl_configuration_add_key (struct fl_configuration *configuration,
                               const struct fl_name *key,
                               const struct fl_name *team);

/* The objects and names that the following functions return are valid as long as @configuration. */

/* @return the queue of @host with the longest prefix of @path, or NULL. @host may have a port. */
const struct fl_queue *fl_configuration_match_queue (const struct fl_configuration *configuration,
                                                     const char *host,
                                                     const char *path);

/* @return the object with @name, or NULL. */
const struct fl_queue *fl_configuration_find_queue (const struct fl_configuration *configuration,
                                                    const struct fl_name *name);
const struct fl_service *
fl_configuration_find_service (const struct fl_configuration *configuration,
                               const struct fl_name *name);

/* @return the smallest known number of connections that targets of any service accept; 0 if none is
 * known. */
int64_t fl_configuration_least_connections_max (const struct fl_configuration *configuration);
const struct fl_team *fl_configuration_find_team (const struct fl_configuration *configuration,
                                                  const struct fl_name *name);

/* @return the name of the team that owns @key, or NULL when the key is unknown. */
const struct fl_name *
fl_configuration_find_team_of_key (const struct fl_configuration *configuration,
                                   const struct fl_name *key);
