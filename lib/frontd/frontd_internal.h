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
  struct fl_http_server *front;
  struct fl_http_server *ready;
  struct fl_http_server *own; /* NULL when the settings name no address */
  struct fl_configuration_watch watch;
  struct fl_stop_signals signals;
  ev_timer stop;
  bool stopping;
};

/* A request of a client while it waits for the store. */
struct front_call
{
  struct fl_frontd *frontd;
  struct fl_http_request *request;
  struct fl_name id; /* of the job */
  struct fl_name queue;
  int64_t configuration; /* version by which it was admitted */
  int64_t started_ms;
  int64_t expires_ms;   /* the client waits no longer */
  struct fl_str record; /* POST: the job's row */
  int64_t expected;     /* POST: version of the row that the record replaces */
  bool waits;           /* the answer comes when the job has ended, or the time is up */
  int64_t pause_ms;     /* before the last retry */
  void (*retry) (struct front_call *call);
  ev_timer timer;
};

/* --- own.c --- */

/* A request of the product's own interface; see docs/INTERFACES.md. */
void front_on_own_request (void *context, struct fl_http_request *request);

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
bool front_check_key (const struct fl_frontd *frontd,
                      struct fl_http_request *request,
                      const struct fl_queue *queue,
                      struct fl_name *team);

/* Whether the configuration is known well enough to take requests. */
bool front_is_current (const struct fl_frontd *frontd);

/* --- call.c --- */

/* The time in ms within which a request is answered whose client names @deadline (text of its
 * header in ms, or NULL): less than the client waits. */
int64_t front_time_for (const char *deadline);

/* When @request has to be answered, by the boot clock. */
int64_t front_expires_ms (const struct fl_http_request *request);

/* --- waiting.c --- */

/* Calls @handle with @request once the configuration is confirmed, or @give_up when the client's
 * time is over before. */
void front_wait_for_configuration (struct fl_frontd *frontd,
                                   struct fl_http_request *request,
                                   void (*handle) (struct fl_frontd *frontd,
                                                   struct fl_http_request *request),
                                   void (*give_up) (struct fl_frontd *frontd,
                                                    struct fl_http_request *request));

struct front_call *front_call_new (struct fl_frontd *frontd,
                                   struct fl_http_request *request,
                                   const struct fl_name *id,
                                   const struct fl_queue *queue);

/* Answers and frees @call. @body may be NULL. */
void front_call_answer (struct front_call *call, int status, const struct fl_str *body);

/* Calls @retry after a pause; answers @late_status when the client's time is up before. */
void front_call_retry (struct front_call *call,
                       void (*retry) (struct front_call *call),
                       int late_status);

/* Whether the client still waits. */
bool front_call_has_time (const struct front_call *call);

/* Time-out of the next call to the store. */
int64_t front_call_timeout (const struct front_call *call);

/* Whether the rows of a reply hold the job of @call; @cancelled tells of a mark to cancel it. */
bool front_reply_has_job (const struct front_call *call,
                          const struct fl_store_reply *reply,
                          bool *cancelled,
                          int64_t *version);

/* --- jobs.c --- */

/* Stores the job and answers. Takes over what @spec owns; its text and steps are filled in. With
 * @waits the answer tells how the job ended. */
void front_submit (struct fl_frontd *frontd,
                   struct fl_http_request *request,
                   const struct fl_name *id,
                   const struct fl_queue *queue,
                   const struct fl_name *team,
                   struct fl_job_spec *spec,
                   bool waits);
void front_show (struct fl_frontd *frontd,
                 struct fl_http_request *request,
                 const struct fl_name *id,
                 const struct fl_queue *queue,
                 bool waits);
void front_cancel (struct fl_frontd *frontd,
                   struct fl_http_request *request,
                   const struct fl_name *id,
                   const struct fl_queue *queue);
void front_count (struct fl_frontd *frontd,
                  struct fl_http_request *request,
                  const struct fl_queue *queue);
