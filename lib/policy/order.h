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
  bool has_turn;          /* its job is one of those to be ended now; see fl_order_is_due_a_turn */
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

/* Jobs that expired, or that wait for FL_ORDER_TURN_WAIT_MS, have a turn one after the other, the
 * oldest first, at this interval, or a shorter one where many wait for it.
 *
 * Load pattern: overload that lasts. Such jobs come after others for as long as these come, but
 * each of N of them has had its turn after N intervals, and after FL_ORDER_TURNS_MAX_MS at most. */
#define FL_ORDER_TURN_INTERVAL_MS 1000
#define FL_ORDER_TURN_WAIT_MS 15000
#define FL_ORDER_TURNS_MAX_MS 60000

/* Whether a job is to have a turn of which a step has waited for @waited_ms. */
bool fl_order_is_due_a_turn (enum fl_order_class order_class, int64_t waited_ms);

/* @return the time between two turns while @count jobs wait for one. */
int64_t fl_order_turn_interval_ms (int64_t count);

/* A step that has waited for this long without a start is old: half of the time of the hosts is for
 * queries about old steps, the oldest first, as long as there are any.
 *
 * Load pattern: hosts are few, and more queries are needed than they can send. By any order that
 * prefers some steps to others, some wait for as long as others come. A step waits for this time,
 * and then at most twice as long as the queries take that the steps before it need. */
#define FL_ORDER_OLD_WAIT_MS 2000

/* How the time of the hosts is shared between old steps and the order of queries. */
struct fl_order_share
{
  int64_t balance_ms; /* of the queries by the order of queries, less those for old steps */
};

/* Whether the next query is for the oldest step. */
bool fl_order_share_is_due (const struct fl_order_share *share);

/* Notes a query that takes @query_ms, sent while there are old steps. */
void fl_order_share_note_query (struct fl_order_share *share, bool is_for_oldest, int64_t query_ms);
