/* A load plan: what flamingo-bench sends. Read from JSON; bounds stand in plan.c. */
#pragma once

#include "ticket/objects.h"

/* One kind of work that arrives at random at a steady mean rate, whatever the answers (open loop).
 */
struct fl_stream
{
  struct fl_name name;
  struct fl_name queue;
  int kind;           /* enum fl_work_kind, not service */
  struct fl_name key; /* empty: none is sent */
  int64_t per_minute; /* mean arrivals */
  bool repeatable;    /* requests */
  int64_t timeout_ms; /* requests */
  int64_t tasks;      /* jobs */
  struct fl_resources demand;
  bool checkpointable;
  struct fl_str payload;
};

struct fl_plan_url
{
  struct fl_str url; /* of an entry host */
};

struct fl_plan
{
  int64_t seed;
  int64_t duration_ms;
  int64_t settle_ms;    /* how long to wait for jobs after the last arrival */
  struct fl_array urls; /* struct fl_plan_url; overridden by --url */
  struct fl_array streams;
};

extern const struct fl_schema fl_plan_schema;

/* Reads the plan at @path, listing every problem. Clear with fl_schema_clear either way. */
bool fl_plan_load (const char *path, struct fl_plan *plan, struct fl_problems *problems);
