#include "bench/plan.h"

#include <stddef.h>
#include <string.h>

#include <glib.h>

#define DURATION_MS_MAX (3600LL * 1000)
#define PER_MINUTE_MAX 3000000
#define STREAMS_MAX 200
#define URLS_MAX 64

#define INT(type_, member_, min_, max_, default_)                                                  \
  {                                                                                                \
#member_, FL_INT, offsetof(struct type_, member_), false, min_, max_, default_, NULL, NULL     \
  }

static const struct fl_field stream_fields[] = {
  { "name", FL_NAME, offsetof (struct fl_stream, name), true, 1, 16, 0, NULL, NULL },
  { "queue", FL_NAME, offsetof (struct fl_stream, queue), true, 1, 36, 0, NULL, NULL },
  { "kind", FL_ENUM, offsetof (struct fl_stream, kind), true, 0, 0, 0, NULL, fl_work_kind_names },
  { "key", FL_NAME, offsetof (struct fl_stream, key), false, 0, FL_NAME_MAX, 0, NULL, NULL },
  INT (fl_stream, per_minute, 1, PER_MINUTE_MAX, 60),
  { "repeatable", FL_BOOL, offsetof (struct fl_stream, repeatable), false, 0, 1, 1, NULL, NULL },
  INT (fl_stream, timeout_ms, 1, 60000, 5000),
  INT (fl_stream, tasks, 1, 10000, 1),
  { "demand", FL_OBJECT, offsetof (struct fl_stream, demand), false, 0, 0, 0, &fl_resources_schema,
    NULL },
  { "checkpointable", FL_BOOL, offsetof (struct fl_stream, checkpointable), false, 0, 1, 0, NULL,
    NULL },
  { "payload", FL_TEXT, offsetof (struct fl_stream, payload), false, 0, 65536, 0, NULL, NULL },
};
static FL_SCHEMA (stream_schema, fl_stream, stream_fields);

static const struct fl_field url_fields[]
    = { { "url", FL_TEXT, offsetof (struct fl_plan_url, url), true, 8, 200, 0, NULL, NULL } };
static FL_SCHEMA (url_schema, fl_plan_url, url_fields);

static const struct fl_field plan_fields[] = {
  INT (fl_plan, seed, 0, INT32_MAX, 1),
  INT (fl_plan, duration_ms, 100, DURATION_MS_MAX, 10000),
  INT (fl_plan, settle_ms, 0, DURATION_MS_MAX, 20000),
  { "urls", FL_ARRAY, offsetof (struct fl_plan, urls), false, 0, URLS_MAX, 0, &url_schema, NULL },
  { "streams", FL_ARRAY, offsetof (struct fl_plan, streams), true, 1, STREAMS_MAX, 0,
    &stream_schema, NULL },
};
FL_SCHEMA (fl_plan_schema, fl_plan, plan_fields);

bool
fl_plan_load (const char *path, struct fl_plan *plan, struct fl_problems *problems)
{
  g_autofree char *text = NULL;
  g_autoptr (GError) io = NULL;
  struct fl_error error = { 0 };
  size_t len = 0;

  memset (plan, 0, sizeof *plan);
  if (!g_file_get_contents (path, &text, &len, &io))
    {
      fl_problems_add (problems, "plan", "%s", io->message);
      return false;
    }
  json_t *json = fl_json_parse (text, len, &error);
  if (json == NULL)
    {
      fl_problems_add (problems, "plan", "%s", error.text);
      return false;
    }
  bool ok = fl_schema_from_json (&fl_plan_schema, json, plan, "plan", problems);
  json_decref (json);
  return ok;
}
