/* Stand-in for the advice service, following its published protocol: it handles one call at a time
 * for each calling host, in turn, and finishes a call even if its caller has given up. Each host
 * calls a port of its own, which tells the hosts apart. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <ev.h>
#include <jansson.h>

#include "common/str.h"
#include "net/http_server.h"

struct advice_service;

/* Published duration of a call, and of the life of its tickets. */
struct advice_times
{
  double base_ms;
  double per_target_ms;
  int64_t valid_ms;
};

/* A fault of the service. Several may be in effect at once; calls are subject to those in effect
 * when their turn comes, and to rejections when they arrive. */
struct advice_fault
{
  int64_t host;        /* position of the host, in the order in which they were added; -1: all */
  int64_t duration_ms; /* 0: until the faults are reset */
  double factor;       /* of the duration of each call; 0 for 1 */
  double added_ms;     /* to each call */
  double hang_share;   /* of the calls that take @hang_ms */
  int64_t hang_ms;
  double close_share;  /* of the calls whose connection is closed without a reply */
  double reject_share; /* of the calls that are rejected with @reject_status */
  int reject_status;
};

struct advice_service *advice_service_new (struct ev_loop *loop);

/* Opens a port of 127.0.0.1 for one more host. @return the port, or 0 on failure. */
int advice_service_add_host (struct advice_service *service);

/* Sets the duration of calls for jobs of @queue. Those of the first queue apply to jobs whose queue
 * has not been set. */
void advice_service_set_times (struct advice_service *service,
                               const char *queue,
                               const struct advice_times *times);
void advice_service_set_queue (struct advice_service *service, const char *job, const char *queue);

void advice_service_add_fault (struct advice_service *service, const struct advice_fault *fault);
/* Ends all faults. Calls that are being handled keep their durations. */
void advice_service_reset_faults (struct advice_service *service);

/* @return counters as a JSON object: calls, handled, rejected, closed, hung. */
json_t *advice_service_get_counters (const struct advice_service *service);

/* Whether @target may run @step: about seven of ten targets may. */
bool advice_is_eligible (const struct fl_name *step, const struct fl_name *target);

/* @return the body of the reply to @query, with tickets that are valid for @valid_ms. */
json_t *advice_make_reply (const json_t *query, int64_t valid_ms);
