/* Internals of flamingo-frontd. */
#pragma once

#include <glib.h>

#include "common/timeout.h"
#include "frontd/drain.h"
#include "frontd/frontd.h"
#include "host/configuration_watch.h"
#include "store/follower.h"
#include "store/reply_limit.h"
#include "store/tables.h"

/* Retry-After of responses that ask the client to retry: about the time that the platform's load
 * balancer takes to stop using a host that is not ready. */
#define FRONT_RETRY_AFTER_MS 1000

/* The queues that accept no further jobs, as the owner of the pool last told. */
struct front_admission
{
  struct fl_follower *follower;
  GHashTable *closed; /* set of struct fl_name */
  int64_t received_ms;
  bool is_reading; /* the follower reads the table */
};

struct fl_frontd
{
  struct fl_host *host;
  struct fl_http_server *client_server;
  struct fl_http_server *ready_server;
  struct fl_http_server *native_server; /* NULL when the settings define no endpoint */
  struct fl_configuration_watch configuration_watch;
  struct fl_stop_signals stop_signals;
  struct front_drain drain;
  ev_timer drain_timer;
  int64_t last_open_ms;              /* when the process was last in use, while stopping */
  struct fl_reply_limit store_limit; /* of the store calls of requests */
  int64_t cancellation_second;       /* of the boot clock, that cancellation_count covers */
  int cancellation_count;
  struct front_admission admission;
};

struct store_attempt;

/* A client request from its arrival to the response, while it waits for the store. */
struct front_call
{
  struct fl_frontd *frontd;
  struct fl_http_request *request;
  struct fl_name job_id; /* empty when pending jobs are counted */
  struct fl_name queue;
  int64_t configuration_version; /* in force when the request was admitted */
  int64_t arrived_ms;
  int64_t respond_by_ms;    /* time by which the client needs the response */
  struct fl_str job_row;    /* submission: the encoded job */
  int64_t expected_version; /* of the row that a write of this call replaces; 0 for none */
  bool is_turned_away;      /* submission: respond 429 once the id is blocked */
  bool wait_for_end;        /* respond when the job has ended or the time is up */
  int64_t retry_delay_ms;   /* of the last retry; 0 before the first */
  void (*retry) (struct front_call *call);
  ev_timer timer;
  /* Store calls of the current stage that have no reply. A stage ends with a reply that decides;
   * overdue calls may still decide it. */
  GPtrArray *attempts;           /* struct store_attempt */
  struct store_attempt *current; /* the newest one; NULL once it has a reply or is overdue */
  struct fl_timeout limit_timer; /* of @current */
  int64_t store_call_count;      /* store calls that have ended or are overdue */
  int64_t unknown_write_count;   /* of these, writes of unknown outcome */
  enum fl_store_status last_store_status;
  struct fl_error last_store_error;
};

/* --- native_api.c --- */

/* Handles a request of the native API; see docs/INTERFACES.md. */
void front_on_native_request (void *context, struct fl_http_request *request);

/* --- frontd.c --- */

/* Responds with an empty JSON object, and with Retry-After if @status is 503. */
void front_respond (struct fl_frontd *frontd, struct fl_http_request *request, int status);

/* Responds with @status and {"error": @text}. */
void front_respond_error (struct fl_frontd *frontd,
                          struct fl_http_request *request,
                          int status,
                          const char *text);

/* @return whether @text has the form of a job id. */
bool front_is_job_id (const char *text);

/* Sets @team to the team that owns the key of @request, or to the empty name.
 * @return whether the request may use @queue: the queue is public or the key is known. */
bool front_authorize (const struct fl_frontd *frontd,
                      struct fl_http_request *request,
                      const struct fl_queue *queue,
                      struct fl_name *team);

/* @return whether the process stops, so that responses close their connections. */
bool front_is_stopping (const struct fl_frontd *frontd);

/* @return whether new requests are rejected because the process is about to end. */
bool front_is_rejecting (const struct fl_frontd *frontd);

/* @return whether the configuration was confirmed recently enough to handle requests. */
bool front_configuration_is_confirmed (const struct fl_frontd *frontd);

/* --- call.c --- */

/* @deadline is the value of the Deadline-Ms header, or NULL.
 * @return the time in ms, from the request's arrival, within which the response is due. */
int64_t front_response_timeout_ms (const char *deadline);

/* @return the limit of store calls before any reply. */
struct fl_reply_limit front_store_limit_make (void);

/* @return the time (boot clock) by which the client needs the response to @request. */
int64_t front_respond_by_ms (const struct fl_http_request *request);

/* --- admission.c --- */

void front_admission_start (struct fl_frontd *frontd);
void front_admission_stop (struct fl_frontd *frontd);

/* Whether @queue accepts no further jobs now. */
bool front_admission_is_closed (const struct fl_frontd *frontd, const struct fl_name *queue);

/* @return a time, spread over jobs, after which the client of a job that was turned away may ask
 * again. */
int64_t front_admission_retry_after_ms (const struct fl_name *job_id);

/* --- waiting.c --- */

/* Holds @request until the configuration is confirmed and calls @handle, or calls @reject if the
 * response becomes due or new requests are rejected first. */
void front_wait_for_configuration (struct fl_frontd *frontd,
                                   struct fl_http_request *request,
                                   void (*handle) (struct fl_frontd *frontd,
                                                   struct fl_http_request *request),
                                   void (*reject) (struct fl_frontd *frontd,
                                                   struct fl_http_request *request));

/* --- call.c, continued --- */

/* Creates the call that handles @request; front_call_respond frees it. @id is empty when pending
 * jobs are counted. */
struct front_call *front_call_new (struct fl_frontd *frontd,
                                   struct fl_http_request *request,
                                   const struct fl_name *id,
                                   const struct fl_queue *queue);

/* Responds with @status and @body (NULL for an empty JSON object) and frees @call. */
void front_call_respond (struct front_call *call, int status, const struct fl_str *body);

/* Calls @retry after the back-off delay, or responds with @timeout_status if the response will
 * be due by then. */
void front_call_schedule_retry (struct front_call *call,
                                void (*retry) (struct front_call *call),
                                int timeout_status);

/* Begins a store call of @call: the store is to call front_on_store_reply with the returned
 * context, and to time out after front_call_store_timeout_ms. @done gets FL_STORE_UNKNOWN once the
 * call is overdue; it is called again if a success or a conflict arrives later, before another
 * reply of this stage has decided. @is_write: the call is a transaction. */
struct store_attempt *front_call_begin_store_call (
    struct front_call *call,
    bool is_write,
    void (*done) (struct front_call *call, const struct fl_store_reply *reply));
void front_on_store_reply (void *context, const struct fl_store_reply *reply);

/* @return whether the response is not due yet. */
bool front_call_has_time_left (const struct front_call *call);

/* @return the timeout in ms of the next store call: the reply counts until the response is due. */
int64_t front_call_store_timeout_ms (const struct front_call *call);

/* What the store holds of a job. */
struct front_job_rows
{
  bool is_stored;
  bool is_cancelled; /* there is a cancel marker for the job, stored or not */
  bool is_rejected;  /* the row is a marker of a request that was rejected for good */
  int64_t version;   /* of the row at the job's id, which is a job or a marker; 0 for no row */
};

/* @return what the rows of @reply say of the job of @call. */
struct front_job_rows front_find_job_rows (const struct front_call *call,
                                           const struct fl_store_reply *reply);

/* --- jobs.c --- */

/* Stores the job and responds; with status 503 if the client has left, or its time was over, before
 * the request was read. With @wait_for_end, the response is the state of the ended job, or
 * status 504 if the job has not ended in time. Takes ownership of the contents of @spec and fills
 * in its id, queue, team and acceptance time. */
void front_submit_job (struct fl_frontd *frontd,
                       struct fl_http_request *request,
                       const struct fl_name *id,
                       const struct fl_queue *queue,
                       const struct fl_name *team,
                       struct fl_job_spec *spec,
                       bool wait_for_end);

/* Responds with the state of the job. With @wait_for_end, responds once the job has ended, or with
 * status 504 if the job has not ended in time. */
void front_show_job (struct fl_frontd *frontd,
                     struct fl_http_request *request,
                     const struct fl_name *id,
                     const struct fl_queue *queue,
                     bool wait_for_end);

/* Marks the job as cancelled and responds, with status 410 if there is no such job; then a marker
 * keeps it from being stored later. */
void front_cancel_job (struct fl_frontd *frontd,
                       struct fl_http_request *request,
                       const struct fl_name *id,
                       const struct fl_queue *queue);

/* Responds with the number of pending jobs of @queue. */
void front_count_pending (struct fl_frontd *frontd,
                          struct fl_http_request *request,
                          const struct fl_queue *queue);
