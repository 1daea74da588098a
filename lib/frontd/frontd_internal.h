/* State of flamingo-frontd. */
#pragma once

#include "frontd/frontd.h"
#include "host/configuration_watch.h"
#include "store/tables.h"

/* A client comes back after this when nothing better is known: about the time that the platform's
 * balancer takes to leave out a host that is not ready. */
#define FRONT_RETRY_AFTER_MS 1000

struct fl_frontd
{
  struct fl_host *host;
  struct fl_http_server *client_server;
  struct fl_http_server *ready_server;
  struct fl_http_server *native_server; /* NULL when the settings name no address */
  struct fl_configuration_watch configuration_watch;
  struct fl_stop_signals stop_signals;
  ev_timer stop_timer;
  bool stopping;
};

/* A request of a client while it waits for the store. */
struct front_call
{
  struct fl_frontd *frontd;
  struct fl_http_request *request;
  struct fl_name job_id; /* of the job */
  struct fl_name queue;
  int64_t configuration_version; /* version by which it was admitted */
  int64_t arrived_ms;
  int64_t respond_by_ms;    /* the client waits no longer */
  struct fl_str job_row;    /* POST: the job's row */
  int64_t expected_version; /* POST: version of the row that the record replaces */
  bool wait_for_end;        /* the answer comes when the job has ended, or the time is up */
  int64_t retry_delay_ms;   /* before the last retry */
  void (*retry) (struct front_call *call);
  ev_timer timer;
};

/* --- native_api.c --- */

/* A request of the product's own interface; see docs/INTERFACES.md. */
void front_on_native_request (void *context, struct fl_http_request *request);

/* --- frontd.c --- */

/* Answers with an empty object, and with the time to come back where the status asks for it. */
void front_respond (struct fl_frontd *frontd, struct fl_http_request *request, int status);

/* Answers with @status and a text for people. */
void front_respond_text (struct fl_frontd *frontd,
                         struct fl_http_request *request,
                         int status,
                         const char *text);

/* Whether @text is the id of a job. */
bool front_is_job_id (const char *text);

/* @return whether the key of @request permits calls of @queue; fills the team it belongs to. */
bool front_authorize (const struct fl_frontd *frontd,
                      struct fl_http_request *request,
                      const struct fl_queue *queue,
                      struct fl_name *team);

/* Whether the configuration is known well enough to take requests. */
bool front_configuration_is_confirmed (const struct fl_frontd *frontd);

/* --- call.c --- */

/* The time in ms within which a request is answered whose client names @deadline (text of its
 * header in ms, or NULL): less than the client waits. */
int64_t front_response_timeout_ms (const char *deadline);

/* When @request has to be answered, by the boot clock. */
int64_t front_respond_by_ms (const struct fl_http_request *request);

/* --- waiting.c --- */

/* Calls @handle with @request once the configuration is confirmed, or @reject when the client's
 * time is over before. */
void front_wait_for_configuration (struct fl_frontd *frontd,
                                   struct fl_http_request *request,
                                   void (*handle) (struct fl_frontd *frontd,
                                                   struct fl_http_request *request),
                                   void (*reject) (struct fl_frontd *frontd,
                                                   struct fl_http_request *request));

struct front_call *front_call_new (struct fl_frontd *frontd,
                                   struct fl_http_request *request,
                                   const struct fl_name *id,
                                   const struct fl_queue *queue);

/* Answers and frees @call. @body may be NULL. */
void front_call_respond (struct front_call *call, int status, const struct fl_str *body);

/* Calls @retry after a pause; answers @timeout_status when the client's time is up before. */
void front_call_schedule_retry (struct front_call *call,
                                void (*retry) (struct front_call *call),
                                int timeout_status);

/* Whether the client still waits. */
bool front_call_has_time_left (const struct front_call *call);

/* Time-out of the next call to the store. */
int64_t front_call_store_timeout_ms (const struct front_call *call);

/* Whether the rows of a reply hold the job of @call; @cancelled tells of a mark to cancel it. */
bool front_find_job_row (const struct front_call *call,
                         const struct fl_store_reply *reply,
                         bool *cancelled,
                         int64_t *version);

/* --- jobs.c --- */

/* Stores the job and answers. Takes over what @spec owns; its text and steps are filled in. With
 * @waits the answer tells how the job ended. */
void front_submit_job (struct fl_frontd *frontd,
                       struct fl_http_request *request,
                       const struct fl_name *id,
                       const struct fl_queue *queue,
                       const struct fl_name *team,
                       struct fl_job_spec *spec,
                       bool wait_for_end);
void front_show_job (struct fl_frontd *frontd,
                     struct fl_http_request *request,
                     const struct fl_name *id,
                     const struct fl_queue *queue,
                     bool wait_for_end);
void front_cancel_job (struct fl_frontd *frontd,
                       struct fl_http_request *request,
                       const struct fl_name *id,
                       const struct fl_queue *queue);
void front_count_pending (struct fl_frontd *frontd,
                          struct fl_http_request *request,
                          const struct fl_queue *queue);
