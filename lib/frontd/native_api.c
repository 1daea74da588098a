/* The native HTTP API: jobs and synchronous requests in the product's own format, independent of
 * the platform's.
 *
 *   PUT    /v1/jobs/ID?queue=Q       submits a job as JSON (struct fl_job_spec: text, steps, ...)
 *   GET    /v1/jobs/ID?queue=Q       returns the job's state; with wait=1 once the job has ended
 *   DELETE /v1/jobs/ID?queue=Q       cancels the job
 *   POST   /v1/requests/ID?queue=Q   submits a job and returns its state once it has ended
 *   GET    /v1/queues/Q              returns the number of pending jobs */
#include <string.h>

#include <glib.h>

#include "common/schema.h"
#include "frontd/frontd_internal.h"

#define JOBS_PATH "/v1/jobs/"
#define REQUESTS_PATH "/v1/requests/"
#define QUEUES_PATH "/v1/queues/"

static void
submit_job (struct fl_frontd *frontd,
            struct fl_http_request *request,
            const struct fl_name *id,
            const struct fl_queue *queue,
            const struct fl_name *team,
            bool wait_for_end)
{
  struct fl_job_spec spec;
  struct fl_error error = { 0 };

  if (fl_job_spec_decode_request (fl_http_body (request), id, &queue->name, &spec, &error))
    front_submit_job (frontd, request, id, queue, team, &spec, wait_for_end);
  else
    front_respond_error (frontd, request, 400, error.text);
}

static void
handle_job (struct fl_frontd *frontd,
            struct fl_http_request *request,
            const struct fl_name *id,
            const struct fl_queue *queue,
            const struct fl_name *team)
{
  const char *method = fl_http_method (request);

  if (strcmp (method, "PUT") == 0)
    submit_job (frontd, request, id, queue, team, false);
  else if (strcmp (method, "GET") == 0)
    front_show_job (frontd, request, id, queue, fl_http_query (request, "wait") != NULL);
  else if (strcmp (method, "DELETE") == 0)
    front_cancel_job (frontd, request, id, queue);
  else
    front_respond (frontd, request, 405);
}

/* Finds the queue that @request names: in the path below /v1/queues/, otherwise in the query
 * argument "queue". */
static const struct fl_queue *
find_queue (const struct fl_frontd *frontd, const struct fl_http_request *request)
{
  const char *path = fl_http_path (request);
  const char *text = g_str_has_prefix (path, QUEUES_PATH) ? path + strlen (QUEUES_PATH)
                                                          : fl_http_query (request, "queue");
  struct fl_name name = fl_name_of (text != NULL ? text : "");

  return fl_configuration_find_queue (frontd->configuration_watch.configuration, &name);
}

/* @return the job id that follows @prefix in @path; empty if @path does not have this form. */
static struct fl_name
parse_job_id (const char *path, const char *prefix)
{
  const char *rest = g_str_has_prefix (path, prefix) ? path + strlen (prefix) : "";

  return fl_name_of (front_is_job_id (rest) ? rest : "");
}

void
front_on_native_request (void *context, struct fl_http_request *request)
{
  struct fl_frontd *frontd = context;
  const char *path = fl_http_path (request);
  struct fl_name job_id = parse_job_id (path, JOBS_PATH);
  struct fl_name request_id = parse_job_id (path, REQUESTS_PATH);
  const struct fl_queue *queue;
  struct fl_name team;

  if (front_is_rejecting (frontd) || !front_configuration_is_confirmed (frontd))
    {
      front_respond (frontd, request, 503);
      return;
    }
  queue = find_queue (frontd, request);
  if (queue == NULL)
    front_respond_error (frontd, request, 404, "no such queue");
  else if (!front_authorize (frontd, request, queue, &team))
    front_respond (frontd, request, 401);
  else if (g_str_has_prefix (path, QUEUES_PATH))
    front_count_pending (frontd, request, queue);
  else if (job_id.len > 0)
    handle_job (frontd, request, &job_id, queue, &team);
  else if (request_id.len > 0 && strcmp (fl_http_method (request), "POST") == 0)
    submit_job (frontd, request, &request_id, queue, &team, true);
  else
    front_respond_error (frontd, request, 400,
                         "the path must end with a job id of 16 hexadecimal digits");
}
