/* The configured objects: teams, keys, queues and services, and the resources that work asks for.
 * Each is a plain struct with a field table; bounds stand in objects.c and nowhere else. */
#pragma once

#include "common/schema.h"
#include "common/str.h"

enum fl_resource
{
  FL_CPU_MILLI,    /* thousandths of a core */
  FL_MEMORY_MB,    /* MiB */
  FL_ACCELERATORS, /* whole devices */
  FL_SLOTS,        /* requests that a target serves at a time */
  FL_RESOURCE_COUNT
};

struct fl_resources
{
  int64_t amount[FL_RESOURCE_COUNT];
};

/* Decides the order between unlike work; a lower value goes first. */
enum fl_priority
{
  FL_URGENT,
  FL_HIGH,
  FL_NORMAL,
  FL_LOW,
  FL_PRIORITIES
};

/* What a queue takes. */
enum fl_work_kind
{
  FL_WORK_REQUEST, /* answered synchronously from one slot */
  FL_WORK_BATCH,   /* many tasks, each started when there is room */
  FL_WORK_GANG,    /* many tasks, all started together or none */
  FL_WORK_SERVICE, /* long-running replicas */
  FL_WORK_KINDS
};

enum fl_role
{
  FL_ROLE_CALLER,
  FL_ROLE_OPERATOR
};

struct fl_team
{
  struct fl_name name;
  int64_t share; /* weight when all is full */
  int64_t limit; /* most tasks and requests running at once over the fleet */
};

/* A key as it is kept: never the key itself. */
struct fl_key
{
  struct fl_name name;   /* the part of the key before the dot */
  struct fl_name team;   /* empty for operators */
  struct fl_name digest; /* hex of the BLAKE2b-256 digest of the whole key */
  int role;              /* enum fl_role */
  bool withdrawn;
};

struct fl_queue
{
  struct fl_name name;
  struct fl_name team;  /* whose share and limit the work counts against */
  int kind;             /* enum fl_work_kind, not FL_WORK_SERVICE */
  bool open;            /* takes work without a key */
  int priority;         /* enum fl_priority */
  struct fl_name label; /* requests go only to targets with this label; empty means any */
};

struct fl_service
{
  struct fl_name name;
  struct fl_name team;
  int64_t replicas;
  int priority; /* enum fl_priority */
  struct fl_resources demand;
  struct fl_str payload; /* handed to each replica */
};

/* What a caller submits: one job of one or many tasks. */
struct fl_job_spec
{
  struct fl_name id; /* chosen by the caller; makes a submission idempotent */
  struct fl_name queue;
  int64_t tasks;
  struct fl_resources demand; /* for each task; slots must be 0 */
  int64_t run_ms;             /* the caller's estimate, for backfill; 0 when unknown */
  int64_t attempts;           /* starts allowed for each task */
  bool checkpointable;        /* may be stopped and continued */
  struct fl_str payload;
};

/* A synchronous request as the caller sends it. */
struct fl_request_spec
{
  struct fl_name id;
  struct fl_name queue;
  bool repeatable;    /* false: runs at most once */
  int64_t timeout_ms; /* the caller's deadline, from arrival */
  struct fl_str payload;
};

extern const struct fl_schema fl_resources_schema;
extern const struct fl_schema fl_team_schema;
extern const struct fl_schema fl_key_schema;
extern const struct fl_schema fl_queue_schema;
extern const struct fl_schema fl_service_schema;
extern const struct fl_schema fl_job_spec_schema;
extern const struct fl_schema fl_request_spec_schema;

/* NULL-terminated names of the enums above, in value order. */
extern const char *const fl_priority_names[];
extern const char *const fl_work_kind_names[];
extern const char *const fl_role_names[];

/* What a request takes of its target. */
extern const struct fl_resources fl_one_slot;

/* Whether @need fits into @free in every resource. */
bool fl_resources_fit (const struct fl_resources *need, const struct fl_resources *free);

/* Adds @sign times @amount to @sum. */
void fl_resources_add (struct fl_resources *sum, const struct fl_resources *amount, int sign);
