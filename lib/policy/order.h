/* The order in which waiting steps are placed and queried about.
 *
 * Load pattern: for some seconds, several times more work of a queue or a team arrives than there
 * is room for. By age, each job starts when it is already hopeless: half of the starts go to jobs
 * whose callers have given up on them, and the others become hopeless meanwhile.
 *
 * Pure: no I/O, no clock. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/* What a job can still reach. */
enum fl_order_class
{
  FL_ORDER_IN_TIME, /* it can meet its objective, or has none */
  FL_ORDER_LATE,    /* its result will be late, but of use */
  FL_ORDER_EXPIRED  /* its result is of no use in time; it still has to end */
};

/* The time left until a job without an objective, or without an estimate, is late. */
#define FL_ORDER_NO_OBJECTIVE INT64_MAX

struct fl_order_time
{
  int64_t slack_ms;       /* until it can no longer be in time; negative after that */
  int64_t use_in_time_ms; /* the same until its result is of no use */
  int64_t margin_ms;      /* less time than this is likely to be used up */
};

/* @return what is left at an age of @age_ms to a job that needs @left_ms more. @work_ms: the time
 * that all its work takes; 0 if it is unknown. */
struct fl_order_time fl_order_get_time (
    double stretch, int64_t latency_objective_ms, double work_ms, double left_ms, int64_t age_ms);

/* @return the time left until a job falls into the next class. */
int64_t fl_order_left_in_class_ms (const struct fl_order_time *time);

/* Whether a job is likely to fall into the next class, even if it starts now. */
bool fl_order_is_at_risk (const struct fl_order_time *time);

enum fl_order_class fl_order_get_class (const struct fl_order_time *time);

/* @return 0 for a team whose use of the room is within its share, else by which power of two it is
 * over. */
int fl_order_team_excess (double use, double share);

/* What decides when a step is placed. */
struct fl_order_key
{
  int64_t priority; /* of its queue; 0 comes first */
  enum fl_order_class order_class;
  bool is_at_risk;        /* see fl_order_is_at_risk */
  bool has_turn;          /* its job has expired, and is the one to be ended now */
  int team_excess;        /* see fl_order_team_excess */
  double unstarted_share; /* of the work of its job, from 0 to 1 */
  int64_t left_ms;        /* see fl_order_left_in_class_ms */
  int64_t sequence;       /* in which its job was accepted */
};

/* @return below 0 if @a is placed before @b. */
int fl_order_compare (const struct fl_order_key *a, const struct fl_order_key *b);

/* What decides when advice is queried about a step. */
struct fl_order_query
{
  /* For how long the users of a long-running step have not been served; 0 for others, and while
   * this is short. */
  int64_t unserved_ms;
  bool is_room_scarce;   /* its service has less room than the steps that wait for advice need */
  bool is_expired;       /* its job is, and has no turn */
  double response_ratio; /* of wait and service time to service time */
  unsigned position;     /* in the order by fl_order_compare */
};

/* @return below 0 if the step of @a is queried before that of @b.
 *
 * Load pattern: hosts are few, or the service is slow, so that not all steps can be queried. In the
 * order of placing, those of low priority would get no query for as long as others come, although
 * there is room: the response ratio decides, except that steps of expired jobs come last. Where
 * room is scarce, too, queries about steps that get none would be in vain, and the order of placing
 * decides; they come after those of services that have room. */
int fl_order_compare_queries (const struct fl_order_query *a, const struct fl_order_query *b);

/* Expired jobs that wait have a turn one after the other, the oldest first, at this interval.
 *
 * Load pattern: overload that lasts. Jobs that expired come after all others, but each of N of them
 * has had its turn after N intervals. */
#define FL_ORDER_TURN_INTERVAL_MS 1000
