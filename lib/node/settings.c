#include "node/settings.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#define PORT_MAX 65535
#define URL_MAX 200
#define SEEDS_MAX 32
#define HOUR_MS (3600LL * 1000)

static const char *const log_level_names[] = { "err", "warning", "notice", "info", "debug", NULL };

static const struct fl_field seed_fields[] = {
  { "address", FL_NAME, offsetof (struct fl_seed, address), true, 1, FL_NAME_MAX, 0, NULL, NULL },
};
static FL_SCHEMA (seed_schema, fl_seed, seed_fields);

#define NAME(member_, required_, min_, max_)                                                       \
  {                                                                                                \
#member_, FL_NAME, offsetof(struct fl_settings, member_), required_, min_, max_, 0, NULL, NULL \
  }
#define INT(member_, min_, max_, default_)                                                         \
  {                                                                                                \
#member_, FL_INT, offsetof(struct fl_settings, member_), false, min_, max_, default_, NULL,    \
        NULL                                                                                       \
  }

static const struct fl_field fields[] = {
  NAME (name, true, 1, 32),
  NAME (domain, true, 1, 36),
  NAME (region, true, 1, 36),
  NAME (link, false, 0, FL_NAME_MAX),
  NAME (http_address, true, 7, 15),
  INT (http_port, 0, PORT_MAX, 0),
  { "platform_url", FL_TEXT, offsetof (struct fl_settings, platform_url), true, 8, URL_MAX, 0, NULL,
    NULL },
  { "seeds", FL_ARRAY, offsetof (struct fl_settings, seeds), false, 0, SEEDS_MAX, 0, &seed_schema,
    NULL },
  { "log_level", FL_ENUM, offsetof (struct fl_settings, log_level), false, 0, 0, 3, NULL,
    log_level_names },
  NAME (bootstrap_operator_digest, false, 0, 64),
  INT (body_max, 1024, 16 * 1024 * 1024, 1024 * 1024),
  INT (header_max, 1024, 256 * 1024, 16 * 1024),
  INT (connections_max, 8, 65536, 4096),
  INT (idle_ms, 1000, HOUR_MS, 30000),
  INT (upload_ms, 100, 600000, 10000),
  INT (platform_timeout_ms, 50, 60000, 2000),
  INT (hello_ms, 50, 10000, 1000),
  INT (contact_ms, 200, 60000, 3000),
  INT (host_list_ms, 200, 60000, 2000),
  INT (lease_ms, 300, 60000, 3000),
  INT (promise_ms, 300, 60000, 3000),
  INT (renew_ms, 50, 20000, 1000),
  INT (delivery_ms, 50, 20000, 500),
  INT (outage_max_ms, 1000, 24 * HOUR_MS, 2 * HOUR_MS),
  INT (drift_ppm, 0, 100000, 1000),
  INT (task_lease_ms, 1000, 600000, 60000),
  INT (poll_wait_ms, 100, 300000, 28000),
  INT (commit_interval_ms, 0, 1000, 25),
  INT (finished_keep_ms, 1000, 7 * 24 * HOUR_MS, HOUR_MS),
  INT (quarantine_ms, 100, HOUR_MS, 10000),
  INT (drain_ms, 100, 600000, 30000),
};
FL_SCHEMA (fl_settings_schema, fl_settings, fields);

static void
check_order (const char *lower_name,
             int64_t lower,
             const char *upper_name,
             int64_t upper,
             struct fl_problems *problems)
{
  g_autofree char *path = g_strdup_printf ("settings.%s", lower_name);

  if (lower >= upper)
    fl_problems_add (problems, path, "is %" PRId64 "; must be below %s, which is %" PRId64, lower,
                     upper_name, upper);
}

static void
check_together (const struct fl_settings *s, struct fl_problems *problems)
{
  check_order ("renew_ms", 2 * s->renew_ms, "lease_ms (twice the interval)", s->lease_ms, problems);
  check_order ("renew_ms", 2 * s->renew_ms, "promise_ms (twice the interval)", s->promise_ms,
               problems);
  check_order ("delivery_ms", s->delivery_ms, "lease_ms", s->lease_ms, problems);
  check_order ("hello_ms", 2 * s->hello_ms, "contact_ms (twice the interval)", s->contact_ms,
               problems);
  check_order ("poll_wait_ms", 2 * s->poll_wait_ms, "task_lease_ms (twice the wait)",
               s->task_lease_ms, problems);
  if (s->platform_url.len > 0 && strncmp (s->platform_url.data, "http://", 7) != 0)
    fl_problems_add (problems, "settings.platform_url", "must start with http://");
  if (s->link.len > 0 && strncmp (s->link.data, "tcp://", 6) != 0)
    fl_problems_add (problems, "settings.link", "must start with tcp://");
  if (s->bootstrap_operator_digest.len != 0 && s->bootstrap_operator_digest.len != 64)
    fl_problems_add (problems, "settings.bootstrap_operator_digest", "must be 64 hex digits");
}

bool
fl_settings_parse (const char *data,
                   size_t len,
                   struct fl_settings *settings,
                   struct fl_problems *problems)
{
  struct fl_error error = { 0 };
  json_t *json = fl_json_parse (data, len, &error);

  memset (settings, 0, sizeof *settings);
  if (json == NULL)
    {
      fl_problems_add (problems, "settings", "%s", error.text);
      return false;
    }
  if (fl_schema_from_json (&fl_settings_schema, json, settings, "settings", problems))
    check_together (settings, problems);
  json_decref (json);
  return problems->count == 0;
}

bool
fl_settings_load (const char *path, struct fl_settings *settings, struct fl_problems *problems)
{
  g_autofree char *text = NULL;
  g_autoptr (GError) error = NULL;
  size_t len = 0;

  memset (settings, 0, sizeof *settings);
  if (!g_file_get_contents (path, &text, &len, &error))
    {
      fl_problems_add (problems, "settings", "%s", error->message);
      return false;
    }
  return fl_settings_parse (text, len, settings, problems);
}

void
fl_settings_clear (struct fl_settings *settings)
{
  fl_schema_clear (&fl_settings_schema, settings);
}

struct fl_lease_rules
fl_settings_lease_rules (const struct fl_settings *s)
{
  struct fl_lease_rules rules = fl_lease_rules_default;

  rules.lease_ms = s->lease_ms;
  rules.promise_ms = s->promise_ms;
  rules.renew_ms = s->renew_ms;
  rules.poll_ms = s->renew_ms;
  rules.delivery_ms = s->delivery_ms;
  rules.outage_max_ms = s->outage_max_ms;
  rules.drift_ppm = s->drift_ppm;
  return rules;
}

void
fl_settings_describe (void)
{
  static const char *const types[]
      = { "true/false", "number", "text", "text", "word", "object", "list" };

  puts ("Settings (JSON object):");
  for (size_t i = 0; i < fl_settings_schema.count; i++)
    {
      const struct fl_field *f = &fields[i];
      printf ("  %-26s %-7s ", f->name, types[f->type]);
      if (f->type == FL_INT)
        printf ("%" PRId64 " to %" PRId64 ", default %" PRId64 "\n", f->min, f->max, f->fallback);
      else
        puts (f->required ? "required" : "optional");
    }
}
