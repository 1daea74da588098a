/* Answers where a job would go now, without sending it; see docs/design/plan.md. */
#include <string.h>

#include "poold/poold_internal.h"

/* The id of a planned job, which is stored nowhere. */
#define PLANNED_JOB_ID "0000000000000000"

static void
respond_text (struct fl_http_request *request, const GString *text)
{
  fl_http_respond (request,
                   &(struct fl_http_response){
                       .status = 200, .type = "text/plain", .body = text->str, .len = text->len });
}

/* In the form of the native API. */
static void
respond_error (struct fl_http_request *request, int status, const char *text)
{
  json_t *json = json_pack ("{s:s}", "error", text);
  struct fl_str body = fl_json_encode (json);

  fl_http_respond (
      request, &(struct fl_http_response){ .status = status, .body = body.data, .len = body.len });
  fl_str_clear (&body);
  json_decref (json);
}

static struct fl_name
get_name (struct fl_http_request *request, const char *argument)
{
  const char *text = fl_http_query (request, argument);

  return fl_name_of (text != NULL ? text : "");
}

static void
plan_job (struct fl_core *core, struct fl_http_request *request)
{
  struct fl_name id = fl_name_of (PLANNED_JOB_ID);
  struct fl_name queue = get_name (request, "queue");
  struct fl_job_spec spec;
  struct fl_error error = { 0 };

  if (queue.len == 0)
    {
      respond_error (request, 400, "the query argument \"queue\" is missing");
      return;
    }
  if (!fl_job_spec_decode_request (fl_http_body (request), &id, &queue, &spec, &error))
    {
      respond_error (request, 400, error.text);
      return;
    }
  g_autoptr (GString) text = g_string_new (NULL);
  if (fl_http_query (request, "team") != NULL)
    spec.team = get_name (request, "team");
  if (fl_core_plan_job (core, &spec, text, &error))
    respond_text (request, text);
  else
    respond_error (request, error.code == FL_NOT_FOUND ? 404 : 503, error.text);
  fl_schema_clear (&fl_job_spec_schema, &spec);
}

bool
fl_poold_on_request (void *context, struct fl_http_request *request)
{
  struct fl_poold *poold = context;

  if (strcmp (fl_http_path (request), "/plan") != 0)
    return false;
  if (strcmp (fl_http_method (request), "POST") != 0)
    respond_error (request, 405, "a plan is requested by POST");
  else if (poold->term == NULL || !fl_poold_may_send (poold))
    respond_error (request, 409,
                   "this host does not own the pool; pool_owned is 1 on the one that does");
  else
    plan_job (poold->term->core, request);
  return true;
}
