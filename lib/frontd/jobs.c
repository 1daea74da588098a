/* Client operations on jobs: submit, show, cancel, count. */
#include <stdio.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "common/clock.h"
#include "common/schema.h"
#include "frontd/frontd_internal.h"

/* Cancellations that may leave a row at an id without a job, in a second; of further ones, those of
 * jobs that are not stored get 503. Rows of jobs are kept, so that unknown ids would fill the
 * store. Above the rate of all jobs of a large cell. */
#define CANCELLATIONS_PER_S 100

/* --- submit --- */

static void store_job (struct front_call *call);
static void resolve_unknown_write (struct front_call *call);
static void read_progress (struct front_call *call);
static void turn_away (struct front_call *call, int64_t version);

static void
respond_accepted (struct front_call *call)
{
  if (call->wait_for_end)
    read_progress (call);
  else
    front_call_respond (call, 200, NULL);
}

/* Replaces the marker of @version by the job if the response is not due yet. Earlier writes of
 * this call can no longer take effect, because they expect another version of the row. */
static void
replace_marker (struct front_call *call, int64_t version)
{
  call->expected_version = version;
  if (call->is_turned_away)
    front_call_respond (call, 429, NULL);
  else if (front_call_has_time_left (call))
    store_job (call);
  else
    /* Another request may store the job over the marker. */
    front_call_respond (call, 504, NULL);
}

/* Whether the row, a marker of version @version, may be newer than the request of @call. */
static bool
may_be_newer (const struct front_call *call, int64_t version)
{
  return version > fl_configuration_watch_get_version_at (&call->frontd->configuration_watch,
                                                          call->arrived_ms);
}

/* Handles a transaction whose condition on the row's version did not hold. */
static void
on_version_conflict (struct front_call *call, const struct fl_store_reply *reply)
{
  struct front_job_rows job = front_find_job_rows (call, reply);

  /* Else the row is a marker: the id is free, and the job may replace this version of the row. A
   * request that is turned away replaces it by a marker, so that writes of earlier requests fail.
   * Where a later request was told that the job never runs, an earlier one must not store it. */
  if (job.is_stored)
    respond_accepted (call);
  else if (job.is_cancelled)
    front_call_respond (call, 503, NULL);
  else if (job.is_rejected && may_be_newer (call, job.version))
    front_call_respond (call, call->is_turned_away ? 429 : 504, NULL);
  else if (call->is_turned_away)
    turn_away (call, job.version);
  else
    replace_marker (call, job.version);
}

static void
on_job_stored (struct front_call *call, const struct fl_store_reply *reply)
{
  if (reply->status == FL_STORE_OK)
    {
      fl_stats_add (call->frontd->host->stats, "jobs_accepted_total", 1);
      respond_accepted (call);
    }
  else if (reply->status == FL_STORE_CONFLICT)
    on_version_conflict (call, reply);
  else if (reply->status == FL_STORE_UNKNOWN)
    resolve_unknown_write (call);
  else
    front_call_schedule_retry (call, store_job, 503);
}

/* Writes @value at the job's id if the row there has the expected version. */
static void
write_job_row (struct front_call *call,
               const struct fl_str *value,
               void (*done) (struct front_call *call, const struct fl_store_reply *reply))
{
  const struct fl_store *store = call->frontd->host->store;
  struct fl_store_condition condition
      = { FL_TABLE_JOBS, fl_job_partition (&call->job_id), call->job_id, call->expected_version };
  struct fl_store_write write
      = { FL_TABLE_JOBS, fl_job_partition (&call->job_id), call->job_id, *value, false };
  struct fl_store_transaction transaction = { &condition, 1, &write, 1 };

  store->transact (store->context, &transaction, front_call_store_timeout_ms (call),
                   front_on_store_reply, front_call_begin_store_call (call, true, done));
}

static void
store_job (struct front_call *call)
{
  write_job_row (call, &call->job_row, on_job_stored);
}

static void
on_marker_written (struct front_call *call, const struct fl_store_reply *reply)
{
  if (reply->status == FL_STORE_OK)
    replace_marker (call, reply->version);
  else if (reply->status == FL_STORE_CONFLICT)
    on_version_conflict (call, reply);
  else
    front_call_schedule_retry (call, resolve_unknown_write, 504);
}

/* Resolves a job write of unknown outcome by writing a marker under the same condition. If this
 * succeeds, the job write can no longer take effect. If the job has been stored, this fails with a
 * conflict. */
static void
resolve_unknown_write (struct front_call *call)
{
  const char *value = call->is_turned_away ? FL_REJECTED_VALUE : FL_MARKER_VALUE;
  struct fl_str marker = { strlen (value), (char *)value };

  write_job_row (call, &marker, on_marker_written);
}

/* Blocks the id in place of @version of its row, and responds 429: a write of an earlier request
 * with the id, which may have no known outcome, does not take effect any more. A job that is stored
 * already remains accepted. */
static void
turn_away (struct front_call *call, int64_t version)
{
  call->expected_version = version;
  resolve_unknown_write (call);
}

void
front_submit_job (struct fl_frontd *frontd,
                  struct fl_http_request *request,
                  const struct fl_name *id,
                  const struct fl_queue *queue,
                  const struct fl_name *team,
                  struct fl_job_spec *spec,
                  bool wait_for_end)
{
  struct front_call *call = front_call_new (frontd, request, id, queue);

  spec->id = *id;
  fl_job_spec_set_queue (spec, queue);
  spec->team = *team;
  spec->accepted_ms = fl_clock_wall_ms ();
  call->wait_for_end = wait_for_end;
  call->job_row = fl_record_encode (&fl_job_spec_schema, spec);
  fl_schema_clear (&fl_job_spec_schema, spec);
  call->is_turned_away = front_admission_is_closed (frontd, &queue->name);
  if (fl_http_client_has_left (request) || !front_call_has_time_left (call))
    {
      /* Nobody waits for the response, and the client may have cancelled the job. An earlier
       * request may have stored it, so that this is no rejection. */
      fl_stats_add (frontd->host->stats, "jobs_abandoned_total", 1);
      front_call_respond (call, 504, NULL);
    }
  else if (call->is_turned_away)
    {
      fl_stats_add (frontd->host->stats, "jobs_turned_away_total", 1);
      turn_away (call, 0);
    }
  else
    store_job (call);
}

/* --- show --- */

static void read_job (struct front_call *call);

/* Reads the rows of @table whose keys start with the job's id. */
static void
read_rows (struct front_call *call,
           const char *table,
           const char *partition,
           void (*done) (struct front_call *call, const struct fl_store_reply *reply))
{
  const struct fl_store *store = call->frontd->host->store;
  struct fl_name end = fl_name_format ("%s0", call->job_id.data); /* '0' is the byte after '/' */

  store->read (store->context, table, partition, call->job_id.data, end.data,
               front_call_store_timeout_ms (call), front_on_store_reply,
               front_call_begin_store_call (call, false, done));
}

static void
respond_state (struct front_call *call, enum fl_job_state state)
{
  if (call->wait_for_end && !fl_job_state_is_final (state))
    {
      front_call_schedule_retry (call, read_progress, 504);
      return;
    }
  struct fl_str body = fl_platform_encode_job_state (state);

  front_call_respond (call, 200, &body);
  fl_str_clear (&body);
}

static void
on_job_row (struct front_call *call, const struct fl_store_reply *reply)
{
  struct front_job_rows job = front_find_job_rows (call, reply);

  if (reply->status != FL_STORE_OK)
    front_call_schedule_retry (call, read_job, 504);
  else if (!job.is_stored)
    front_call_respond (call, 410, NULL);
  else
    respond_state (call, job.is_cancelled ? FL_JOB_CANCELLED : FL_JOB_QUEUED);
}

static void
read_job (struct front_call *call)
{
  read_rows (call, FL_TABLE_JOBS, fl_job_partition (&call->job_id), on_job_row);
}

static void
on_progress_row (struct front_call *call, const struct fl_store_reply *reply)
{
  struct fl_job_progress progress;
  struct fl_error error = { 0 };

  if (reply->status != FL_STORE_OK)
    front_call_schedule_retry (call, read_progress, 504);
  else if (reply->count == 0)
    read_job (call);
  else if (fl_job_progress_decode (reply->rows[0].value.data, reply->rows[0].value.len, &progress,
                                   &error))
    {
      respond_state (call, (enum fl_job_state)progress.state);
      fl_job_progress_clear (&progress);
    }
  else
    {
      fl_log_error (&call->frontd->host->log, FL_LOG_ERR, "progress_unreadable", &error);
      front_call_respond (call, 500, NULL);
    }
}

static void
read_progress (struct front_call *call)
{
  read_rows (call, FL_TABLE_PROGRESS, FL_PARTITION_OWNER, on_progress_row);
}

void
front_show_job (struct fl_frontd *frontd,
                struct fl_http_request *request,
                const struct fl_name *id,
                const struct fl_queue *queue,
                bool wait_for_end)
{
  struct front_call *call = front_call_new (frontd, request, id, queue);

  call->wait_for_end = wait_for_end;
  read_progress (call);
}

/* --- cancel --- */

static void read_job_to_cancel (struct front_call *call);
static void cancel_id (struct front_call *call);
static void write_cancel_marker (struct front_call *call);

static void
on_cancel_marker_written (struct front_call *call, const struct fl_store_reply *reply)
{
  if (reply->status == FL_STORE_OK)
    front_call_respond (call, 200, NULL);
  else
    front_call_schedule_retry (call, write_cancel_marker, 504);
}

static void
write_cancel_marker (struct front_call *call)
{
  const struct fl_store *store = call->frontd->host->store;
  struct fl_store_write write = { FL_TABLE_JOBS,
                                  fl_job_partition (&call->job_id),
                                  fl_name_format ("%s%s", call->job_id.data, FL_CANCEL_SUFFIX),
                                  { strlen (FL_MARKER_VALUE), (char *)FL_MARKER_VALUE },
                                  false };
  struct fl_store_transaction transaction = { NULL, 0, &write, 1 };

  store->transact (store->context, &transaction, front_call_store_timeout_ms (call),
                   front_on_store_reply,
                   front_call_begin_store_call (call, true, on_cancel_marker_written));
}

static void
on_job_to_cancel (struct front_call *call, const struct fl_store_reply *reply)
{
  struct front_job_rows job = front_find_job_rows (call, reply);

  if (reply->status != FL_STORE_OK)
    front_call_schedule_retry (call, read_job_to_cancel, 504);
  else if (!job.is_stored)
    front_call_respond (call, job.is_cancelled ? 410 : 503, NULL);
  else if (job.is_cancelled)
    front_call_respond (call, 200, NULL);
  else
    write_cancel_marker (call);
}

static void
read_job_to_cancel (struct front_call *call)
{
  read_rows (call, FL_TABLE_JOBS, fl_job_partition (&call->job_id), on_job_to_cancel);
}

static void
on_id_cancelled (struct front_call *call, const struct fl_store_reply *reply)
{
  struct front_job_rows job = front_find_job_rows (call, reply);

  if (reply->status == FL_STORE_OK)
    front_call_respond (call, 410, NULL);
  else if (reply->status != FL_STORE_CONFLICT)
    front_call_schedule_retry (call, cancel_id, 504);
  else if (job.is_stored)
    write_cancel_marker (call);
  else if (job.is_cancelled)
    front_call_respond (call, 410, NULL);
  else
    {
      call->expected_version = job.version;
      front_call_schedule_retry (call, cancel_id, 504);
    }
}

/* Marks the id as cancelled if no job is stored there. A request to store it that is still on its
 * way, at this or another host, then fails. */
static void
cancel_id (struct front_call *call)
{
  struct fl_str marker = { strlen (FL_CANCELLED_VALUE), (char *)FL_CANCELLED_VALUE };

  write_job_row (call, &marker, on_id_cancelled);
}

/* @return whether a cancellation may write a row although no job may be stored. */
static bool
admit_cancellation (struct fl_frontd *frontd)
{
  int64_t second = fl_clock_boot_ms () / 1000;

  if (second != frontd->cancellation_second)
    frontd->cancellation_count = 0;
  frontd->cancellation_second = second;
  return ++frontd->cancellation_count <= CANCELLATIONS_PER_S;
}

void
front_cancel_job (struct fl_frontd *frontd,
                  struct fl_http_request *request,
                  const struct fl_name *id,
                  const struct fl_queue *queue)
{
  struct front_call *call = front_call_new (frontd, request, id, queue);

  if (admit_cancellation (frontd))
    cancel_id (call);
  else
    read_job_to_cancel (call);
}

/* --- count --- */

static void read_pending_counts (struct front_call *call);

static int64_t
get_pending_count (const struct fl_store_reply *reply, const struct fl_name *queue)
{
  int64_t count = 0;

  for (size_t i = 0; i < reply->count; i++)
    if (strcmp (reply->rows[i].key.data, FL_SUMMARY_PENDING) == 0)
      {
        json_t *json = fl_json_parse (reply->rows[i].value.data, reply->rows[i].value.len, NULL);
        count = json_integer_value (json_object_get (json, queue->data));
        json_decref (json);
      }
  return count;
}

static void
on_pending_counts (struct front_call *call, const struct fl_store_reply *reply)
{
  if (reply->status != FL_STORE_OK)
    {
      front_call_schedule_retry (call, read_pending_counts, 504);
      return;
    }
  struct fl_str body = fl_platform_encode_pending_count (get_pending_count (reply, &call->queue));
  front_call_respond (call, 200, &body);
  fl_str_clear (&body);
}

static void
read_pending_counts (struct front_call *call)
{
  const struct fl_store *store = call->frontd->host->store;

  /* The end key only has to follow FL_SUMMARY_PENDING, which is the one row of interest. */
  store->read (store->context, FL_TABLE_SUMMARY, FL_PARTITION_OWNER, FL_SUMMARY_PENDING,
               FL_SUMMARY_PENDING "0", front_call_store_timeout_ms (call), front_on_store_reply,
               front_call_begin_store_call (call, false, on_pending_counts));
}

void
front_count_pending (struct fl_frontd *frontd,
                     struct fl_http_request *request,
                     const struct fl_queue *queue)
{
  struct fl_name none = fl_name_of ("");

  read_pending_counts (front_call_new (frontd, request, &none, queue));
}
