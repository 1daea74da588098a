#include "host/settings.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

#include <glib.h>

#include "common/endpoint.h"

/* Without a configured limit, a process must stay within that of a small host: what the computer
 * has is no limit where several processes share it. */
#define MEMORY_MB_DEFAULT 128
#define MEMORY_MB_MIN 16
#define MEMORY_MB_MAX (1024 * 1024)
#define DESCRIPTORS_MIN 64
#define DESCRIPTORS_MAX 1000000000
/* Of an operating system that sets no limit, or one above any use. */
#define DESCRIPTORS_DEFAULT 1024
#define DESCRIPTORS_UNLIMITED 100000
#define ROW_BYTES_DEFAULT 65536
#define ROW_BYTES_MIN 1024
#define ROW_BYTES_MAX (1024 * 1024 * 1024)

static const char *const log_level_names[] = { "err", "warning", "notice", "info", "debug", NULL };

/* The _AS forms are for members whose C name differs from the name of the setting. */
#define NAME(member_, required_, max_) NAME_AS (member_, #member_, required_, max_)
#define NAME_AS(member_, name_, required_, max_)                                                   \
  {                                                                                                \
    name_, FL_NAME, offsetof (struct fl_host_settings, member_), required_, required_ ? 1 : 0,     \
        max_, 0, NULL, NULL                                                                        \
  }
#define INT(member_, min_, max_, default_) INT_AS (member_, #member_, min_, max_, default_)
#define INT_AS(member_, name_, min_, max_, default_)                                               \
  {                                                                                                \
    name_, FL_INT, offsetof (struct fl_host_settings, member_), false, min_, max_, default_, NULL, \
        NULL                                                                                       \
  }

/* An IPv4 address has at most 15 bytes, with a port 21. */
static const struct fl_field fields[] = {
  NAME (name, true, FL_NAME_MAX),
  NAME (domain, true, FL_NAME_MAX),
  NAME (region, false, FL_NAME_MAX),
  NAME (address, true, 15),
  NAME (front, false, 21),
  NAME (ready, false, 21),
  NAME_AS (native_api, "own", false, 21),
  NAME (store, true, 21),
  NAME (advice, false, 21),
  INT (link_port, 0, FL_PORT_MAX, 0),
  INT (relay_port, 0, FL_PORT_MAX, 0),
  INT (pool_metrics_port, 0, FL_PORT_MAX, 0),
  INT (front_metrics_port, 0, FL_PORT_MAX, 0),
  NAME (cpu_share, false, 10),
  INT (cores, 1, 1024, 1),
  NAME (link_mbps, false, 10),
  INT (memory_mb, MEMORY_MB_MIN, MEMORY_MB_MAX, MEMORY_MB_DEFAULT),
  INT_AS (descriptors_max, "max_fds", 0, DESCRIPTORS_MAX, 0),
  INT_AS (row_bytes_max, "row_bytes", ROW_BYTES_MIN, ROW_BYTES_MAX, ROW_BYTES_DEFAULT),
  INT_AS (forward_min_targets, "carry_from", 0, 1000000, 0),
  INT_AS (lease_max_ms, "hold_max_ms", 1000, 600000, 6000),
  INT_AS (evacuation_ms, "evacuate_ms", 0, 600000, 0),
  INT (graceful_stop_s, 1, 600, 6),
  { "log_level", FL_ENUM, offsetof (struct fl_host_settings, log_level), false, 0, 0, 3, NULL,
    log_level_names },
};
static FL_SCHEMA (settings_schema, fl_host_settings, fields);

int64_t
fl_host_settings_cpu_milli (const struct fl_host_settings *settings)
{
  return (int64_t)(g_ascii_strtod (settings->cpu_share.data, NULL) * 1000.0
                   * (double)settings->cores);
}

int64_t
fl_host_settings_link_bytes_per_s (const struct fl_host_settings *settings)
{
  return (int64_t)(g_ascii_strtod (settings->link_mbps.data, NULL) * 1e6 / 8.0);
}

int64_t
fl_host_settings_memory_bytes (const struct fl_host_settings *settings)
{
  int64_t machine = (int64_t)sysconf (_SC_PHYS_PAGES) * (int64_t)sysconf (_SC_PAGESIZE);
  int64_t configured = settings->memory_mb * 1024 * 1024;

  return machine > 0 ? MIN (configured, machine) : configured;
}

int64_t
fl_host_settings_descriptors (const struct fl_host_settings *settings)
{
  struct rlimit limit;

  if (settings->descriptors_max > 0)
    return MAX (settings->descriptors_max, DESCRIPTORS_MIN);
  if (getrlimit (RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur > DESCRIPTORS_UNLIMITED)
    return DESCRIPTORS_DEFAULT;
  return MAX ((int64_t)limit.rlim_cur, DESCRIPTORS_MIN);
}

static void
check_decimal (const struct fl_name *value, const char *path, struct fl_problems *problems)
{
  char *end;

  if (value->len == 0)
    return;
  if (g_ascii_strtod (value->data, &end) <= 0 || *end != '\0')
    fl_problems_add (problems, path, "is \"%s\"; must be a number above 0", value->data);
}

static void
check_address (const char *path, const struct fl_name *address, struct fl_problems *problems)
{
  struct fl_name endpoint = fl_name_format ("%s:1", address->data);

  if (address->len > 0 && !fl_endpoint_is_valid (&endpoint))
    fl_problems_add (problems, path, "is \"%s\"; must be an IPv4 address", address->data);
}

static void
check_endpoint (const char *path, const struct fl_name *endpoint, struct fl_problems *problems)
{
  if (endpoint->len > 0 && !fl_endpoint_is_valid (endpoint))
    fl_problems_add (problems, path, "is \"%s\"; must be an IPv4 address and a port",
                     endpoint->data);
}

bool
fl_host_settings_load (const char *path,
                       struct fl_host_settings *settings,
                       struct fl_problems *problems)
{
  g_autofree char *text = NULL;
  g_autoptr (GError) file_error = NULL;
  struct fl_error error = { 0 };
  size_t len = 0;
  json_t *json;

  memset (settings, 0, sizeof *settings);
  if (!g_file_get_contents (path, &text, &len, &file_error))
    {
      fl_problems_add (problems, "settings", "%s", file_error->message);
      return false;
    }
  json = fl_json_parse (text, len, &error);
  if (json == NULL)
    {
      fl_problems_add (problems, "settings", "%s", error.text);
      return false;
    }
  fl_schema_from_json (&settings_schema, json, settings, "settings", problems);
  check_address ("settings.address", &settings->address, problems);
  check_endpoint ("settings.front", &settings->front, problems);
  check_endpoint ("settings.ready", &settings->ready, problems);
  check_endpoint ("settings.own", &settings->native_api, problems);
  check_endpoint ("settings.store", &settings->store, problems);
  check_endpoint ("settings.advice", &settings->advice, problems);
  check_decimal (&settings->cpu_share, "settings.cpu_share", problems);
  check_decimal (&settings->link_mbps, "settings.link_mbps", problems);
  json_decref (json);
  return problems->count == 0;
}

void
fl_host_settings_clear (struct fl_host_settings *settings)
{
  fl_schema_clear (&settings_schema, settings);
}

void
fl_host_settings_describe (void)
{
  puts ("Settings (JSON object):");
  for (size_t i = 0; i < settings_schema.count; i++)
    {
      const struct fl_field *f = &fields[i];
      printf ("  %-24s ", f->name);
      if (f->type == FL_INT)
        printf ("number, %" PRId64 " to %" PRId64 ", default %" PRId64 "\n", f->min, f->max,
                f->default_value);
      else
        puts (f->required ? "text, required" : "text");
    }
}

enum fl_log_level
fl_host_settings_log_level (const struct fl_host_settings *settings)
{
  return (enum fl_log_level) (FL_LOG_ERR + settings->log_level);
}
