/* What clients do with jobs: hand in, look at, cancel, count. */
#include <stdio.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "common/clock.h"
#include "common/schema.h"
#include "frontd/frontd_internal.h"

/* --- hand in --- */

static void accept_job (struct front_call *call);
static void settle (struct front_call *call);
static void look_at_progress (struct front_call *call);

static void
answer_accepted (struct front_call *call)
{
  if (call->waits)
    look_at_progress (call);
  else
    front_call_answer (call, 200, NULL);
}

/* Writes the job in place of a mark of @version while the client still waits. All earlier writes
 * for this call are barred, since they expected another version. */
static void
accept_under (struct front_call *call, int64_t version)
{
  call->expected = version;
  if (front_call_has_time (call))
    accept_job (call);
  else
    front_call_answer (call, 503, NULL);
}

/* A transaction found another state of the row than expected. */
static void
on_row_differs (struct front_call *call, const struct fl_store_reply *reply)
{
  bool cancelled;
  int64_t version;

  if (front_reply_has_job (call, reply, &cancelled, &version))
    {
      answer_accepted (call);
      return;
    }
  /* A mark in place of a job: the id is free under the mark's version. */
  accept_under (call, version);
}

static void
on_accepted (void *context, const struct fl_store_reply *reply)
{
  struct front_call *call = context;

  if (reply->status == FL_STORE_OK)
    {
      fl_stats_add (call->frontd->host->stats, "jobs_accepted_total", 1);
      answer_accepted (call);
    }
  else if (reply->status == FL_STORE_CONFLICT)
    on_row_differs (call, reply);
  else if (reply->status == FL_STORE_UNKNOWN)
    settle (call);
  else
    front_call_retry (call, accept_job, 503);
}

static void
write_row (struct front_call *call,
           const struct fl_str *value,
           void (*done) (void *context, const struct fl_store_reply *reply))
{
  const struct fl_store *store = call->frontd->host->store;
  struct fl_store_condition condition
      = { FL_TABLE_JOBS, fl_job_partition (&call->id), call->id, call->expected };
  struct fl_store_write write
      = { FL_TABLE_JOBS, fl_job_partition (&call->id), call->id, *value, false };
  struct fl_store_transaction transaction = { &condition, 1, &write, 1 };

  store->transact (store->context, &transaction, front_call_timeout (call), done, call);
}

static void
accept_job (struct front_call *call)
{
  write_row (call, &call->record, on_accepted);
}

static void
on_settled (void *context, const struct fl_store_reply *reply)
{
  struct front_call *call = context;

  if (reply->status == FL_STORE_OK)
    accept_under (call, reply->version);
  else if (reply->status == FL_STORE_CONFLICT)
    on_row_differs (call, reply);
  else
    front_call_retry (call, settle, 504);
}

/* Puts a mark in place of a job whose write had no answer, so that this write cannot come into
 * effect later; or finds the job there. */
static void
settle (struct front_call *call)
{
  struct fl_str mark = { strlen (FL_MARKER_VALUE), (char *)FL_MARKER_VALUE };

  write_row (call, &mark, on_settled);
}

void
front_submit (struct fl_frontd *frontd,
              struct fl_http_request *request,
              const struct fl_name *id,
              const struct fl_queue *queue,
              const struct fl_name *team,
              struct fl_job_spec *spec,
              bool waits)
{
  struct front_call *call = front_call_new (frontd, request, id, queue);

  spec->id = *id;
  spec->queue = queue->name;
  spec->team = *team;
  spec->accepted_ms = fl_clock_wall_ms ();
  call->waits = waits;
  call->record = fl_record_encode (&fl_job_spec_schema, spec);
  fl_schema_clear (&fl_job_spec_schema, spec);
  accept_job (call);
}

/* --- look --- */

static void look_at_job (struct front_call *call);

/* Reads the rows of @table whose keys begin with the job's id. */
static void
read_rows (struct front_call *call,
           const char *table,
           const char *part,
           void (*done) (void *context, const struct fl_store_reply *reply))
{
  const struct fl_store *store = call->frontd->host->store;
  struct fl_name end = fl_name_format ("%s0", call->id.data); /* '0' follows '/' */

  store->read (store->context, table, part, call->id.data, end.data, front_call_timeout (call),
               done, call);
}

static void
answer_state (struct front_call *call, enum fl_job_state state)
{
  if (call->waits && !fl_job_state_is_final (state))
    {
      front_call_retry (call, look_at_progress, 504);
      return;
    }
  struct fl_str body = fl_platform_encode_job_state (state);

  front_call_answer (call, 200, &body);
  fl_str_clear (&body);
}

static void
on_job_row (void *context, const struct fl_store_reply *reply)
{
  struct front_call *call = context;
  bool cancelled;
  int64_t version;

  if (reply->status != FL_STORE_OK)
    front_call_retry (call, look_at_job, 504);
  else if (!front_reply_has_job (call, reply, &cancelled, &version))
    front_call_answer (call, 410, NULL);
  else
    answer_state (call, cancelled ? FL_JOB_CANCELLED : FL_JOB_QUEUED);
}

static void
look_at_job (struct front_call *call)
{
  read_rows (call, FL_TABLE_JOBS, fl_job_partition (&call->id), on_job_row);
}

static void
on_progress_row (void *context, const struct fl_store_reply *reply)
{
  struct front_call *call = context;
  struct fl_job_progress progress;
  struct fl_error error = { 0 };

  if (reply->status != FL_STORE_OK)
    front_call_retry (call, look_at_progress, 504);
  else if (reply->count == 0)
    look_at_job (call);
  else if (fl_record_decode (&fl_job_progress_schema, reply->rows[0].value.data,
                             reply->rows[0].value.len, &progress, &error))
    {
      answer_state (call, (enum fl_job_state)progress.state);
      fl_schema_clear (&fl_job_progress_schema, &progress);
    }
  else
    {
      fl_log_error (&call->frontd->host->log, FL_LOG_ERR, "progress_unreadable", &error);
      front_call_answer (call, 500, NULL);
    }
}

static void
look_at_progress (struct front_call *call)
{
  read_rows (call, FL_TABLE_PROGRESS, FL_PARTITION_OWNER, on_progress_row);
}

void
front_show (struct fl_frontd *frontd,
            struct fl_http_request *request,
            const struct fl_name *id,
            const struct fl_queue *queue,
            bool waits)
{
  struct front_call *call = front_call_new (frontd, request, id, queue);

  call->waits = waits;
  look_at_progress (call);
}

/* --- cancel --- */

static void find_job (struct front_call *call);
static void mark_cancelled (struct front_call *call);

static void
on_cancelled (void *context, const struct fl_store_reply *reply)
{
  struct front_call *call = context;

  if (reply->status == FL_STORE_OK)
    front_call_answer (call, 200, NULL);
  else
    front_call_retry (call, mark_cancelled, 504);
}

static void
mark_cancelled (struct front_call *call)
{
  const struct fl_store *store = call->frontd->host->store;
  struct fl_store_write write = { FL_TABLE_JOBS,
                                  fl_job_partition (&call->id),
                                  fl_name_format ("%s%s", call->id.data, FL_CANCEL_SUFFIX),
                                  { strlen (FL_MARKER_VALUE), (char *)FL_MARKER_VALUE },
                                  false };
  struct fl_store_transaction transaction = { NULL, 0, &write, 1 };

  store->transact (store->context, &transaction, front_call_timeout (call), on_cancelled, call);
}

static void
on_found (void *context, const struct fl_store_reply *reply)
{
  struct front_call *call = context;
  bool cancelled;
  int64_t version;

  if (reply->status != FL_STORE_OK)
    front_call_retry (call, find_job, 504);
  else if (!front_reply_has_job (call, reply, &cancelled, &version))
    front_call_answer (call, 410, NULL);
  else if (cancelled)
    front_call_answer (call, 200, NULL);
  else
    mark_cancelled (call);
}

static void
find_job (struct front_call *call)
{
  read_rows (call, FL_TABLE_JOBS, fl_job_partition (&call->id), on_found);
}

void
front_cancel (struct fl_frontd *frontd,
              struct fl_http_request *request,
              const struct fl_name *id,
              const struct fl_queue *queue)
{
  find_job (front_call_new (frontd, request, id, queue));
}

/* --- count --- */

static void read_counts (struct front_call *call);

static int64_t
count_in (const struct fl_store_reply *reply, const struct fl_name *queue)
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
on_counts (void *context, const struct fl_store_reply *reply)
{
  struct front_call *call = context;

  if (reply->status != FL_STORE_OK)
    {
      front_call_retry (call, read_counts, 504);
      return;
    }
  struct fl_str body = fl_platform_encode_pending_count (count_in (reply, &call->queue));
  front_call_answer (call, 200, &body);
  fl_str_clear (&body);
}

static void
read_counts (struct front_call *call)
{
  const struct fl_store *store = call->frontd->host->store;

  store->read (store->context, FL_TABLE_SUMMARY, FL_PARTITION_OWNER, FL_SUMMARY_PENDING,
               FL_SUMMARY_PENDING "0", front_call_timeout (call), on_counts, call);
}

void
front_count (struct fl_frontd *frontd,
             struct fl_http_request *request,
             const struct fl_queue *queue)
{
  struct fl_name none = fl_name_of ("");

  read_counts (front_call_new (frontd, request, &none, queue));
}
