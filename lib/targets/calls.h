/* Interface to the targets, their registry and the advice service. The platform adapter and the
 * fakes of tests implement it. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/error.h"
#include "common/str.h"
#include "configuration/configuration.h"

/* How many fencing tokens an owner of the pool may use: its own, and those that follow it. It
 * raises the token of a target with each boot of it, since a boot does not know the tokens that
 * earlier boots have seen. The next owner's tokens are higher. */
#define FL_FENCING_TOKENS_PER_OWNER 100
/* The callers of struct fl_target_calls repeat an order that has no reply when its limit is over. A
 * reply that arrives later still counts, until this long after the order, or after the wait that a
 * heartbeat permits. */
#define FL_REPLY_MAX_MS 2000
/* The usual limit of a start: urgent tasks have to start within a few hundred milliseconds, and a
 * start can be repeated, since it is idempotent. */
#define FL_START_LIMIT_MS 200
/* The same for stops, and for heartbeats after the wait. */
#define FL_STOP_LIMIT_MS 700
#define FL_HEARTBEAT_LIMIT_MS 300
/* Share of its limit, in percent, within which a heartbeat with a deadline has to be connected. */
#define FL_HEARTBEAT_CONNECT_PERCENT 50
/* Most labels of one target. */
#define FL_TARGET_LABELS_MAX 8

/* A target's entry in the registry. */
struct fl_target_entry
{
  struct fl_name id;
  struct fl_name service; /* runs only tasks of queues with this service */
  struct fl_name address; /* "ip:port" */
  struct fl_name domain;
  bool draining;              /* about to leave: takes no new tasks */
  int64_t drain_remaining_ms; /* minimum time until a draining target leaves; 0 when unknown */
  int64_t cold_left_ms;       /* how much longer it is slower than usual; 0 if it is warm */
  int64_t booted_at_ms;       /* Unix time of the start, different for each boot; 0 when unknown */
  struct fl_resources resources; /* capacity */
  size_t label_count;
  struct fl_name labels[FL_TARGET_LABELS_MAX];
};

/* How an order to a target ended. */
enum fl_order_result
{
  FL_ORDER_DONE,
  FL_ORDER_FENCED,          /* the target has already seen a higher fencing token */
  FL_ORDER_STALE_RUN,       /* the target has already ended or stopped this run or a later one */
  FL_ORDER_DEADLINE_PASSED, /* the order arrived after its deadline; nothing was started */
  FL_ORDER_NO_CAPACITY,     /* the task does not fit; nothing was started */
  FL_ORDER_NO_TICKET,       /* the ticket is missing or invalid; nothing was started */
  FL_ORDER_INVALID,         /* the target rejected the order as malformed */
  FL_ORDER_UNHEALTHY,       /* the target accepts no work now; nothing was started */
  FL_ORDER_OTHER_BOOT,      /* another boot now has the address; nothing was started */
  FL_ORDER_NOT_SENT,        /* no connection, or the sender lost its authority before sending */
  FL_ORDER_NO_REPLY,        /* outcome unknown: executed, not executed, or executed later */
  /* The connection was refused, by the host of the target or on the way to it: this order did
   * nothing, and its tasks may run on. */
  FL_ORDER_NO_LISTENER,
  FL_ORDER_RESULT_COUNT
};

/* The name of @result in logs. */
const char *fl_order_result_name (enum fl_order_result result);

struct fl_start_order
{
  struct fl_name target; /* id */
  struct fl_name address;
  struct fl_name task;
  int64_t run;
  int64_t fencing_token;
  int64_t deadline_ms; /* latest start, on the target's clock */
  const char *payload; /* what to run: @payload_len bytes, borrowed */
  size_t payload_len;
  const char *checkpoint; /* "" for none */
  const char *ticket;     /* "" for none */
  bool is_repeated;       /* an earlier order for this run got no reply */
  int64_t reply_limit_ms; /* without a reply after this, the order is repeated; 0 for the usual */
};

struct fl_run_order
{
  struct fl_name target;
  struct fl_name address;
  struct fl_name task;
  int64_t run;
  int64_t fencing_token;
  int64_t share_percent;  /* throttle only: share that the task may use; 100 for no limit */
  int64_t reply_limit_ms; /* stop only: without a reply after this, the order is repeated */
};

struct fl_heartbeat_order
{
  struct fl_name target;
  struct fl_name address;
  int64_t fencing_token;
  int64_t deadline_ms;       /* new expiry of the lease on the target's clock; 0 for no change */
  int64_t last_recorded_end; /* the target may forget ends up to this number: they are recorded */
  int64_t wait_ms;           /* how long the target may wait for an end before it replies */
  int64_t reply_limit_ms;    /* the heartbeat counts as lost this long after the wait */
};

/* One run on a target. */
struct fl_run_row
{
  struct fl_name task;
  int64_t run;
  struct fl_str checkpoint;
  int64_t progress_percent; /* of the work done; 100 for a serving task that is running */
  /* Tail latency in ms of a serving task; CPU in use in thousandths of a core of other tasks. */
  int64_t gauge;
};

enum fl_end_cause
{
  FL_END_DONE,
  FL_END_FAILED,
  FL_END_STOPPED,
  FL_END_LEASE_EXPIRED,   /* the target's lease expired */
  FL_END_GANG_BROKEN,     /* another member of its gang ended */
  FL_END_GANG_INCOMPLETE, /* the other members of its gang did not start */
};

/* One end of a run. The target reports it until a heartbeat says that it is recorded. */
struct fl_end_row
{
  int64_t number; /* increasing within one boot */
  struct fl_name task;
  int64_t run;
  enum fl_end_cause cause;
  struct fl_str checkpoint;
};

/* Ends that a report has room for; the others follow once these are acknowledged. */
#define FL_REPORT_ENDS_MAX 500

/* Valid during the callback only. */
struct fl_target_report
{
  int64_t booted_at_ms;
  int64_t clock_ms; /* the target's clock at the time of the reply */
  struct fl_run_row *runs;
  size_t run_count;
  struct fl_end_row *ends;
  size_t end_count;
};

struct fl_order_reply
{
  enum fl_order_result result;
  int64_t clock_ms;                      /* the target's clock; 0 when unknown */
  const struct fl_target_report *report; /* of a successful heartbeat, else NULL */
};

struct fl_target_calls
{
  void *context;
  /* Each function calls @done once, later. Where a call needs the authority of the pool's owner,
   * the implementation checks it right before sending. */
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

/* A target that is eligible for a step, with the ticket that permits a start there. */
struct fl_advised_target
{
  struct fl_name target;
  struct fl_name ticket;
};

/* Valid during the callback only. */
struct fl_advice_reply
{
  bool received; /* false without a usable reply in time */
  bool is_late;  /* the same query has ended without a reply before */
  struct fl_advised_target *targets;
  size_t count;
  int64_t tickets_valid_ms; /* how long the tickets are valid */
  struct fl_name host; /* that queried the service; empty if the implementation does not tell */
  int64_t took_ms;     /* from the query to the reply or the timeout */
};

/* A query that a step needs. */
struct fl_advice_demand
{
  int64_t expected_ms; /* the published time of the query, or the least */
  int64_t waited_ms;   /* how long the step has waited for advice */
};

/* Most targets in one query. */
#define FL_ADVICE_TARGETS_MAX 100

struct fl_advice_calls
{
  void *context;
  /* Queries which of @targets (ids, at most FL_ADVICE_TARGETS_MAX) are eligible for @step. Calls
   * @done once, later. @expected_ms: the time that the service is expected to take; 0 when unknown.
   * A connection on which nothing arrives for much longer may have gone silent, and is not waited
   * for until @timeout_ms. */
  void (*query) (void *context,
                 const struct fl_name *step,
                 const struct fl_name *targets,
                 size_t count,
                 int64_t expected_ms,
                 int64_t timeout_ms,
                 void (*done) (void *context, const struct fl_advice_reply *reply),
                 void *done_context);
};
