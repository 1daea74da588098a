#include "ticket/objects.h"

#include <stddef.h>

/* Bounds of all configured objects and submissions. */
#define SHARE_MAX 1000000
#define LIMIT_MAX 1000000
#define REPLICAS_MAX 10000
#define TASKS_MAX 10000
#define CPU_MILLI_MAX 1024000
#define MEMORY_MB_MAX (16 * 1024 * 1024)
#define ACCELERATORS_MAX 64
#define SLOTS_MAX 1024
#define ATTEMPTS_MAX 100
#define RUN_MS_MAX (30LL * 24 * 3600 * 1000)
#define REQUEST_TIMEOUT_MS_MAX 60000
#define REQUEST_TIMEOUT_MS_DEFAULT 5000
#define PAYLOAD_MAX (256 * 1024)
#define DIGEST_HEX_LEN 64
/* Identifiers that become part of a task's id must leave room for its other parts. */
#define ID_MAX 36

const char *const fl_priority_names[] = { "urgent", "high", "normal", "low", NULL };
const char *const fl_work_kind_names[] = { "request", "batch", "gang", "service", NULL };
const char *const fl_role_names[] = { "caller", "operator", NULL };

#define NAME_FIELD(type_, member_, min_)                                                           \
  {                                                                                                \
#member_, FL_NAME, offsetof(struct type_, member_), (min_)> 0, min_, ID_MAX, 0, NULL, NULL     \
  }
#define INT_FIELD(type_, member_, required_, min_, max_, fallback_)                                \
  {                                                                                                \
#member_, FL_INT, offsetof(struct type_, member_), required_, min_, max_, fallback_, NULL,     \
        NULL                                                                                       \
  }
#define BOOL_FIELD(type_, member_, fallback_)                                                      \
  {                                                                                                \
#member_, FL_BOOL, offsetof(struct type_, member_), false, 0, 1, fallback_, NULL, NULL         \
  }
#define ENUM_FIELD(type_, member_, names_, fallback_)                                              \
  {                                                                                                \
#member_, FL_ENUM, offsetof(struct type_, member_), false, 0, 0, fallback_, NULL, names_       \
  }
#define PAYLOAD_FIELD(type_)                                                                       \
  {                                                                                                \
    "payload", FL_TEXT, offsetof (struct type_, payload), false, 0, PAYLOAD_MAX, 0, NULL, NULL     \
  }
#define DEMAND_FIELD(type_)                                                                        \
  {                                                                                                \
    "demand", FL_OBJECT, offsetof (struct type_, demand), false, 0, 0, 0, &fl_resources_schema,    \
        NULL                                                                                       \
  }
#define RESOURCE_FIELD(name_, index_, max_)                                                        \
  {                                                                                                \
    name_, FL_INT, offsetof (struct fl_resources, amount[index_]), false, 0, max_, 0, NULL, NULL   \
  }

static const struct fl_field resources_fields[] = {
  RESOURCE_FIELD ("cpu_milli", FL_CPU_MILLI, CPU_MILLI_MAX),
  RESOURCE_FIELD ("memory_mb", FL_MEMORY_MB, MEMORY_MB_MAX),
  RESOURCE_FIELD ("accelerators", FL_ACCELERATORS, ACCELERATORS_MAX),
  RESOURCE_FIELD ("slots", FL_SLOTS, SLOTS_MAX),
};
FL_SCHEMA (fl_resources_schema, fl_resources, resources_fields);

static const struct fl_field team_fields[] = {
  NAME_FIELD (fl_team, name, 1),
  INT_FIELD (fl_team, share, true, 1, SHARE_MAX, 0),
  INT_FIELD (fl_team, limit, true, 0, LIMIT_MAX, 0),
};
FL_SCHEMA (fl_team_schema, fl_team, team_fields);

static const struct fl_field key_fields[] = {
  NAME_FIELD (fl_key, name, 1),
  NAME_FIELD (fl_key, team, 0),
  { "digest", FL_NAME, offsetof (struct fl_key, digest), true, DIGEST_HEX_LEN, DIGEST_HEX_LEN, 0,
    NULL, NULL },
  ENUM_FIELD (fl_key, role, fl_role_names, FL_ROLE_CALLER),
  BOOL_FIELD (fl_key, withdrawn, false),
};
FL_SCHEMA (fl_key_schema, fl_key, key_fields);

static const struct fl_field queue_fields[] = {
  NAME_FIELD (fl_queue, name, 1),
  NAME_FIELD (fl_queue, team, 1),
  ENUM_FIELD (fl_queue, kind, fl_work_kind_names, FL_WORK_REQUEST),
  BOOL_FIELD (fl_queue, open, false),
  ENUM_FIELD (fl_queue, priority, fl_priority_names, FL_NORMAL),
  NAME_FIELD (fl_queue, label, 0),
};
FL_SCHEMA (fl_queue_schema, fl_queue, queue_fields);

static const struct fl_field service_fields[] = {
  NAME_FIELD (fl_service, name, 1),
  NAME_FIELD (fl_service, team, 1),
  INT_FIELD (fl_service, replicas, true, 0, REPLICAS_MAX, 0),
  ENUM_FIELD (fl_service, priority, fl_priority_names, FL_HIGH),
  DEMAND_FIELD (fl_service),
  PAYLOAD_FIELD (fl_service),
};
FL_SCHEMA (fl_service_schema, fl_service, service_fields);

static const struct fl_field job_spec_fields[] = {
  NAME_FIELD (fl_job_spec, id, 1),
  NAME_FIELD (fl_job_spec, queue, 1),
  INT_FIELD (fl_job_spec, tasks, false, 1, TASKS_MAX, 1),
  DEMAND_FIELD (fl_job_spec),
  INT_FIELD (fl_job_spec, run_ms, false, 0, RUN_MS_MAX, 0),
  INT_FIELD (fl_job_spec, attempts, false, 1, ATTEMPTS_MAX, 3),
  BOOL_FIELD (fl_job_spec, checkpointable, false),
  PAYLOAD_FIELD (fl_job_spec),
};
FL_SCHEMA (fl_job_spec_schema, fl_job_spec, job_spec_fields);

static const struct fl_field request_spec_fields[] = {
  NAME_FIELD (fl_request_spec, id, 1),
  NAME_FIELD (fl_request_spec, queue, 1),
  BOOL_FIELD (fl_request_spec, repeatable, true),
  INT_FIELD (
      fl_request_spec, timeout_ms, false, 1, REQUEST_TIMEOUT_MS_MAX, REQUEST_TIMEOUT_MS_DEFAULT),
  PAYLOAD_FIELD (fl_request_spec),
};
FL_SCHEMA (fl_request_spec_schema, fl_request_spec, request_spec_fields);

const struct fl_resources fl_one_slot = { { [FL_SLOTS] = 1 } };

bool
fl_resources_fit (const struct fl_resources *need, const struct fl_resources *free)
{
  for (int i = 0; i < FL_RESOURCE_COUNT; i++)
    if (need->amount[i] > free->amount[i])
      return false;
  return true;
}

void
fl_resources_add (struct fl_resources *sum, const struct fl_resources *amount, int sign)
{
  for (int i = 0; i < FL_RESOURCE_COUNT; i++)
    sum->amount[i] += sign * amount->amount[i];
}
