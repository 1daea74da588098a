/* Advisor pool: which host sends an advice query, and when its reply is overdue.
 *
 * The advice service handles one call at a time for each calling host, so that each host has one
 * query in flight. A query whose reply is overdue may be repeated through another host, but its
 * call goes on: its reply still counts, and until then the call may keep later ones of its host
 * waiting. The pool does no I/O and reads no clock; times are milliseconds of one steady clock. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "common/str.h"
#include "targets/calls.h"

struct fl_advisor_pool;

/* A query that is to be sent, or that was sent, through a host. */
struct fl_advisor_query
{
  int64_t number; /* chosen by the pool, above 0 */
  struct fl_name host;
  struct fl_name address; /* of flamingo-poold on the host; empty for this host */
  int64_t expected_ms;
  int64_t sent_ms;
  bool follows_overdue; /* an earlier query of the host had no reply when it was sent */
};

/* Which query a reply belongs to. */
enum fl_advisor_match
{
  FL_ADVISOR_IN_TIME,
  FL_ADVISOR_OVERDUE, /* fl_advisor_pool_take_overdue has returned the query before */
  FL_ADVISOR_UNKNOWN
};

/* How many hosts are in which state. */
struct fl_advisor_counts
{
  int free;
  int in_use;      /* a query is in flight */
  int backing_off; /* get no query for some time after a failure */
};

struct fl_advisor_pool *fl_advisor_pool_new (const struct fl_name *own_host);
void fl_advisor_pool_free (struct fl_advisor_pool *pool);

/* Sets the address of the peer @host, and adds the peer if it is new. */
void fl_advisor_pool_set_peer (struct fl_advisor_pool *pool,
                               const struct fl_name *host,
                               const struct fl_name *address);

/* Whether a host is free for @demand. */
bool fl_advisor_pool_is_available (struct fl_advisor_pool *pool,
                                   const struct fl_advice_demand *demand,
                                   int64_t now_ms);

/* Chooses a free host for @demand, and fills @query.
 * @return false if no host is free for it. */
bool fl_advisor_pool_begin (struct fl_advisor_pool *pool,
                            const struct fl_advice_demand *demand,
                            int64_t now_ms,
                            struct fl_advisor_query *query);

/* Notes that the query @number was certainly not sent. */
void fl_advisor_pool_cancel (struct fl_advisor_pool *pool, int64_t number, int64_t now_ms);

/* Ends the query @number, whose host has replied; @service_replied tells whether the service has.
 * Fills @query unless it is unknown. */
enum fl_advisor_match fl_advisor_pool_finish (struct fl_advisor_pool *pool,
                                              int64_t number,
                                              bool service_replied,
                                              int64_t now_ms,
                                              struct fl_advisor_query *query);

/* Fills @query with one whose reply has become overdue. Each query is returned once; its host backs
 * off, longer each time, until a reply arrives.
 * @return false if there is none. */
bool fl_advisor_pool_take_overdue (struct fl_advisor_pool *pool,
                                   int64_t now_ms,
                                   struct fl_advisor_query *query);

/* @return when the next reply becomes overdue; INT64_MAX if no query is in flight. */
int64_t fl_advisor_pool_next_overdue_ms (const struct fl_advisor_pool *pool);

/* Notes that the connection to the peer at @address, which had sent nothing since an overdue query,
 * was replaced. A peer that had no reply for the first time is used again soon. */
void fl_advisor_pool_note_reconnect (struct fl_advisor_pool *pool,
                                     const struct fl_name *address,
                                     int64_t now_ms);

/* Notes that any message of the peer at @address has arrived. A peer whose link lost one query is
 * used again at once; one that loses two in a row, or that had no reply of the service, is not. */
void fl_advisor_pool_note_message (struct fl_advisor_pool *pool,
                                   const struct fl_name *address,
                                   int64_t now_ms);

struct fl_advisor_counts fl_advisor_pool_count (const struct fl_advisor_pool *pool, int64_t now_ms);

/* Appends one line of JSON for each host to @out, for operators. */
void fl_advisor_pool_dump (const struct fl_advisor_pool *pool, int64_t now_ms, GString *out);
