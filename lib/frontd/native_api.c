/* The product's own interface: jobs and synchronous requests, in the product's own names.
 *
 *   PUT    /v1/jobs/ID?queue=Q       a job as JSON (struct fl_job_spec: text, steps, ...)
 *   GET    /v1/jobs/ID?queue=Q       its state; with wait=1 the answer comes when it has ended
 *   DELETE /v1/jobs/ID?queue=Q       cancels it
 *   POST   /v1/requests/ID?queue=Q   a job whose answer tells how it ended
 *   GET    /v1/queues/Q              how many of its jobs wait */
#include <string.h>

#include <glib.h>

#include "common/schema.h"
#include "frontd/frontd_internal.h"

#define JOBS_PATH "/v1/jobs/"
#define REQUESTS_PATH "/v1/requests/"
#define QUEUES_PATH "/v1/queues/"

/* Fields that the interface fills in itself; a body may leave them out. */
static bool
decode_job (const struct fl_str *body,
            const struct fl_name *id,
            const struct fl_queue *queue,
            struct fl_job_spec *spec,
            struct fl_error *error)
{
  struct fl_problems problems = { 0 };
  json_t *json = fl_json_parse (body->data, body->len, error);
  bool good;

  if (json == NULL)
    return false;
  if (json_is_object (json))
    {
      json_object_set_new (json, "id", json_string (id->data));
      json_object_set_new (json, "queue", json_string (queue->name.data));
    }
  good = fl_schema_from_json (&fl_job_spec_schema, json, spec, "job", &problems);
  if (!good)
    fl_fail (error, FL_INVALID, "job_decode", NULL, "%s", fl_str_text (&problems.text));
  good = good && fl_job_spec_validate (spec, error);
  if (!good)
    fl_schema_clear (&fl_job_spec_schema, spec);
  fl_problems_clear (&problems);
  json_decref (json);
  return good;
}

static void
hand_in (struct fl_frontd *frontd,
         struct fl_http_request *request,
         const struct fl_name *id,
         const struct fl_queue *queue,
         const struct fl_name *team,
         bool waits)
{
  struct fl_job_spec spec;
  struct fl_error error = { 0 };

  if (decode_job (fl_http_body (request), id, queue, &spec, &error))
    front_submit (frontd, request, id, queue, team, &spec, waits);
  else
    front_respond_text (frontd, request, 400, error.text);
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
    hand_in (frontd, request, id, queue, team, false);
  else if (strcmp (method, "GET") == 0)
    front_show (frontd, request, id, queue, fl_http_query (request, "wait") != NULL);
  else if (strcmp (method, "DELETE") == 0)
    front_cancel (frontd, request, id, queue);
  else
    front_respond (frontd, request, 405);
}

/* The queue that a request names: in its path for counts, else as an argument. */
static const struct fl_queue *
queue_of (const struct fl_frontd *frontd, const struct fl_http_request *request)
{
  const char *path = fl_http_path (request);
  const char *text = g_str_has_prefix (path, QUEUES_PATH) ? path + strlen (QUEUES_PATH)
                                                          : fl_http_query (request, "queue");
  struct fl_name name = fl_name_of (text != NULL ? text : "");

  return fl_configuration_find_queue (frontd->watch.configuration, &name);
}

/* The id of a job behind @prefix; empty when the path is another. */
static struct fl_name
id_behind (const char *path, const char *prefix)
{
  const char *rest = g_str_has_prefix (path, prefix) ? path + strlen (prefix) : "";

  return fl_name_of (front_is_job_id (rest) ? rest : "");
}

void
front_on_own_request (void *context, struct fl_http_request *request)
{
  struct fl_frontd *frontd = context;
  const char *path = fl_http_path (request);
  struct fl_name job = id_behind (path, JOBS_PATH);
  struct fl_name waiting = id_behind (path, REQUESTS_PATH);
  const struct fl_queue *queue;
  struct fl_name team;

  if (!front_is_current (frontd))
    {
      front_respond (frontd, request, 503);
      return;
    }
  queue = queue_of (frontd, request);
  if (queue == NULL)
    front_respond_text (frontd, request, 404, "no such queue");
  else if (!front_check_key (frontd, request, queue, &team))
    front_respond (frontd, request, 401);
  else if (g_str_has_prefix (path, QUEUES_PATH))
    front_count (frontd, request, queue);
  else if (job.len > 0)
    handle_job (frontd, request, &job, queue, &team);
  else if (waiting.len > 0 && strcmp (fl_http_method (request), "POST") == 0)
    hand_in (frontd, request, &waiting, queue, &team, true);
  else
    front_respond_text (frontd, request, 400, "the path names no job: 16 hexadecimal digits");
}
