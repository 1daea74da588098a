/* flamingo-frontd in a child process of a test, with a slow store (support_slow_store.h). */
#pragma once

#include <ev.h>
#include <stdint.h>
#include <stdio.h>

#include "store/store.h"

/* A configuration with the public queue "q", at /q/ of the host x.example. */
#define FRONT_CONFIGURATION                                                                        \
  "{\"version\":1,\"routes\":[{\"name\":\"q\",\"host\":\"x.example\",\"pathPrefix\":\"/q/\","      \
  "\"service\":\"s\",\"public\":true}],\"services\":[{\"name\":\"s\"}],\"tenants\":[]}"
#define FRONT_MEMORY_MB 128
/* The time from SIGTERM until the platform would kill the process. */
#define FRONT_GRACEFUL_STOP_S 2

struct front
{
  int pid;
  int port;
  int ready_port;
  int native_port;
  int relay_port;
  FILE *log;
  int64_t held_up_ms; /* the longest time for which its loop was held up; set when it has ended */
};

/* Starts flamingo-frontd and waits until it listens, and until it is ready if it has a
 * configuration. @store_delay_ms and @configuration are those of struct slow_store_options. */
struct front front_start (int64_t store_delay_ms, const char *configuration);

/* As front_start, with the store that @create returns in the child process. */
struct front front_start_with_store (const struct fl_store *(*create) (struct ev_loop *loop,
                                                                       const void *context),
                                     const void *context);

/* Waits until the process has ended.
 * @return its exit code, or 128 plus the signal that ended it. @open_requests is set to the number
 * of requests that had no response when the process decided to end; -1 if it did not say so. */
int front_await_end (struct front *front, int *open_requests);

/* Sends @request over a new connection to @front. @return the status of the response. */
int front_call (const struct front *front, const char *request);

/* Stops @front by SIGTERM; fails the test if it does not end with 0. */
void front_stop (struct front *front);
