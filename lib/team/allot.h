/* Team limits over many owners: each domain holds an allotment of each team's limit.
 *
 * The row "allot/TEAM" holds the amounts of all domains; their sum never exceeds the limit. An
 * owner gives away what it does not use: it lowers its own use first, then moves the amount in one
 * write that is bound to the row's version and to its own epoch. The receiver uses it once it reads
 * it. So a crash on either side loses nothing and never adds up to more than the limit.
 *
 * One object serves one domain under one epoch. It does no I/O but through the table.
 */
#pragma once

#include "platform/table.h"

struct fl_allots;

struct fl_allots_options
{
  struct fl_table *table;
  struct fl_name domain;
  int64_t fence_version; /* of the domain's epoch row */
  int64_t interval_ms;   /* least time between two transfers of one team */
  /* The domain may run this much of the team's limit from now on. */
  void (*use) (void *context, const struct fl_name *team, int64_t amount);
  void *context;
};

/* What is known of a team here and of the domain that lacks most for it. */
struct fl_allot_need
{
  struct fl_name team;
  int64_t running;      /* here */
  int64_t waiting;      /* here */
  bool stuck;           /* here: a gang waits that the allotment can never hold */
  struct fl_name needy; /* another domain */
  int64_t needy_running;
  int64_t needy_waiting;
  bool needy_stuck;
};

struct fl_allots *fl_allots_new (const struct fl_allots_options *options);

/* Ends the object; a transfer that is on its way is settled by the row alone. */
void fl_allots_free (struct fl_allots *allots);

/* Takes a row "allot/TEAM" as just read. Older versions than the one in use change nothing. */
void fl_allots_take_row (struct fl_allots *allots, const struct fl_row *row);

/* Gives half of what is spare to the needy domain if its allotment does not hold what waits there.
 * Where gangs are stuck on both sides, all goes to the domain whose name comes first.
 * @return whether a transfer was sent. */
bool fl_allots_give (struct fl_allots *allots, const struct fl_allot_need *need, int64_t now_ms);

/* Sends transfers again whose answers were lost. */
void fl_allots_settle (struct fl_allots *allots, int64_t now_ms);

/* What the domain may run of the team's limit. */
int64_t fl_allots_amount (const struct fl_allots *allots, const struct fl_name *team);

/* How many transfers were confirmed. */
int64_t fl_allots_given (const struct fl_allots *allots);
