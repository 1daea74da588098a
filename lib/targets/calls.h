/* What the product tells and asks targets, their registry and the advice service. An adapter or a
 * fake implements it. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/error.h"
#include "common/str.h"
#include "configuration/configuration.h"

/* Labels that a target may carry. */
#define FL_TARGET_LABELS_MAX 8

/* A target as it registers itself. */
struct fl_target_entry
{
  struct fl_name id;
  struct fl_name service;
  struct fl_name address; /* "ip:port" */
  struct fl_name domain;
  bool draining;              /* it will leave: no new tasks */
  int64_t drain_remaining_ms; /* least time left while draining; 0 when not told */
  int64_t booted_at_ms;       /* Unix time of its start: tells its boots apart; 0 when not told */
  struct fl_room resources;
  size_t label_count;
  struct fl_name labels[FL_TARGET_LABELS_MAX];
};

/* How a target answered an order. */
enum fl_order_result
{
  FL_ORDER_DONE,
  FL_ORDER_FENCED,          /* the target has seen a higher fencing token */
  FL_ORDER_STALE_RUN,       /* this run or a higher one has ended or was stopped there */
  FL_ORDER_DEADLINE_PASSED, /* its deadline had passed: nothing was started */
  FL_ORDER_NO_CAPACITY,     /* nothing was started */
  FL_ORDER_NO_TICKET,       /* nothing was started */
  FL_ORDER_INVALID,         /* the target refuses the order as malformed */
  FL_ORDER_UNHEALTHY,       /* the target declines work: nothing was started */
  FL_ORDER_OTHER_BOOT,      /* the address belongs to another boot: nothing was started */
  FL_ORDER_NOT_SENT,        /* no connection, or the authority ended before it left */
  FL_ORDER_NO_REPLY,        /* carried out, not carried out, or carried out later */
  FL_ORDER_RESULT_COUNT
};

/* The name of a result, as used in logs. */
const char *fl_order_result_name (enum fl_order_result result);

struct fl_start_order
{
  struct fl_name target; /* id */
  struct fl_name address;
  struct fl_name task;
  int64_t run;
  int64_t fencing_token;
  int64_t deadline_ms; /* on the target's clock */
  const char *payload; /* what to run; borrowed, of @payload_len bytes */
  size_t payload_len;
  const char *checkpoint; /* "" for none */
  const char *ticket;     /* "" for none */
};

struct fl_run_order
{
  struct fl_name target;
  struct fl_name address;
  struct fl_name task;
  int64_t run;
  int64_t fencing_token;
  int64_t share_percent; /* pace only */
};

struct fl_heartbeat_order
{
  struct fl_name target;
  struct fl_name address;
  int64_t fencing_token;
  int64_t deadline_ms;       /* on the target's clock; 0 to leave the lease as it is */
  int64_t last_recorded_end; /* ends up to here are recorded and may be forgotten */
  int64_t wait_ms;           /* how long the target may wait for an end */
};

/* One task that a target runs. */
struct fl_run_row
{
  struct fl_name task;
  int64_t run;
  struct fl_str checkpoint;
  int64_t progress_percent; /* of its work, or 100 for a serving task that is at work */
  int64_t gauge; /* tail latency in ms of a serving task, else thousandths of a core in use */
};

enum fl_end_cause
{
  FL_END_DONE,
  FL_END_FAILED,
  FL_END_STOPPED,
  FL_END_LEASE_EXPIRED,   /* its lease ran out */
  FL_END_GANG_BROKEN,     /* another member of its gang ended */
  FL_END_GANG_INCOMPLETE, /* the other members of its gang did not come */
};

/* One end that a target lists until it is told that it is recorded. */
struct fl_end_row
{
  int64_t number; /* rises within one boot */
  struct fl_name task;
  int64_t run;
  enum fl_end_cause cause;
  struct fl_str checkpoint;
};

/* Valid during the callback only. */
struct fl_target_report
{
  int64_t booted_at_ms;
  int64_t clock_ms; /* the target's clock when it answered */
  struct fl_run_row *runs;
  size_t run_count;
  struct fl_end_row *ends;
  size_t end_count;
};

struct fl_order_reply
{
  enum fl_order_result result;
  int64_t clock_ms;                      /* the target's clock; 0 when not told */
  const struct fl_target_report *report; /* hold only, when done */
};

struct fl_target_calls
{
  void *context;
  /* Each calls @done once, later. @may_send is asked right before the bytes leave. */
  void (*start) (void *context,
                 const struct fl_start_order *order,
                 void (*done) (void *context, const struct fl_order_reply *reply),
                 void *done_context);
  void (*stop) (void *context,
                const struct fl_run_order *order,
                void (*done) (void *context, const struct fl_order_reply *reply),
                void *done_context);
  void (*throttle) (void *context,
                    const struct fl_run_order *order,
                    void (*done) (void *context, const struct fl_order_reply *reply),
                    void *done_context);
  void (*heartbeat) (void *context,
                     const struct fl_heartbeat_order *order,
                     void (*done) (void *context, const struct fl_order_reply *reply),
                     void *done_context);
};

/* A target that may run a step, with the permit to start it there. */
struct fl_advised_target
{
  struct fl_name target;
  struct fl_name ticket;
};

/* Valid during the callback only. */
struct fl_advice_reply
{
  bool received;
  struct fl_advised_target *targets;
  size_t count;
  int64_t tickets_valid_ms; /* how long the tickets hold */
};

/* Most targets that one question may name. */
#define FL_ADVICE_TARGETS_MAX 100

struct fl_advice_calls
{
  void *context;
  void (*query) (void *context,
                 const struct fl_name *step,
                 const struct fl_name *targets,
                 size_t count,
                 int64_t timeout_ms,
                 void (*done) (void *context, const struct fl_advice_reply *reply),
                 void *done_context);
};
