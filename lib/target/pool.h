/* The targets of one failure domain and the index that finds room on them.
 *
 * Every change of a target's use goes through fl_pool_reserve and fl_pool_release, which is why no
 * host is ever given more than it holds. Targets that may take new work stand in two indexes: by
 * free whole cores for tasks (best fit), and by free slots under their label for requests (least
 * loaded first). Both give a candidate without looking at every target.
 */
#pragma once

#include <glib.h>

#include "ticket/objects.h"

/* Why a target takes new work or not. */
enum fl_target_state
{
  FL_TARGET_UNKNOWN,     /* its inventory has not been read since the domain was taken */
  FL_TARGET_READY,       /* takes new work */
  FL_TARGET_LEAVING,     /* keeps what runs, takes nothing new */
  FL_TARGET_SILENT,      /* does not answer; its tasks are counted until their leases lapse */
  FL_TARGET_QUARANTINED, /* fails what it starts; takes one probe at a time */
  FL_TARGET_STATES
};

extern const char *const fl_target_state_names[];

/* An event that was taken in; `kept` once the table has what it led to. */
struct fl_event_mark
{
  int64_t seq;
  bool kept;
};

struct fl_target
{
  struct fl_name name;
  struct fl_name rack;
  struct fl_name label;
  struct fl_str url;
  struct fl_resources capacity;
  struct fl_resources used;
  enum fl_target_state state;
  bool listed_leaving;    /* the platform's list or the target itself says so */
  bool listed;            /* stands in the platform's list */
  int64_t inspected_ms;   /* when it was last asked out of turn */
  int64_t heard_ms;       /* when a call to it was last answered */
  int64_t lease_until_ms; /* by then its tasks have lapsed unless their leases are renewed */
  int64_t quarantined_until_ms;
  int failures;            /* starts that failed since one succeeded */
  struct fl_name instance; /* as its last report gave it */
  int64_t seen;            /* sequence number of the last event taken in */
  int64_t acked;           /* sequence number up to which events may be forgotten */
  GArray *unacked;         /* struct fl_event_mark, in order of their numbers */
  GHashTable *tasks;       /* set of tasks placed on it, kept by the domain */
  void *owner_data;        /* for the process that talks to the target */

  /* Index links, private to pool.c. */
  struct fl_target *fit_next, *fit_prev;
  struct fl_target *slot_next, *slot_prev;
  int fit_bucket, slot_bucket;
  struct fl_slot_group *group;
};

struct fl_pool;

/* @task_hash: hash of what the domain keeps in `tasks`; by content, so that a run repeats exactly.
 */
struct fl_pool *fl_pool_new (GHashFunc task_hash);
void fl_pool_free (struct fl_pool *pool);

/* Adds a target in state UNKNOWN. @return the new target, owned by the pool, or the one that
 * stands under that name already. */
struct fl_target *fl_pool_add (struct fl_pool *pool,
                               const struct fl_name *name,
                               const struct fl_name *label,
                               const struct fl_resources *capacity);

struct fl_target *fl_pool_find (const struct fl_pool *pool, const struct fl_name *name);
size_t fl_pool_size (const struct fl_pool *pool);

/* Iterates over all targets: start with *@cursor = 0. @return NULL at the end. */
struct fl_target *fl_pool_next (const struct fl_pool *pool, size_t *cursor);

/* Sets the state and puts the target into or takes it out of the indexes. */
void fl_pool_set_state (struct fl_pool *pool, struct fl_target *target, enum fl_target_state state);

/* Counts @demand as used. @return false, changing nothing, when it does not fit. */
bool
fl_pool_reserve (struct fl_pool *pool, struct fl_target *target, const struct fl_resources *demand);

/* Counts @demand as used whether or not it fits: for work found running on a target. */
void
fl_pool_adopt (struct fl_pool *pool, struct fl_target *target, const struct fl_resources *demand);

void
fl_pool_release (struct fl_pool *pool, struct fl_target *target, const struct fl_resources *demand);

/* Takes back a reservation on which nothing was started. Unlike a release it does not raise the
 * generation: there is no more room than before it was made. */
void fl_pool_unreserve (struct fl_pool *pool,
                        struct fl_target *target,
                        const struct fl_resources *demand);

/* @return a ready target with room for @demand, by best fit, or NULL when there is none. */
struct fl_target *fl_pool_pick (struct fl_pool *pool, const struct fl_resources *demand);

/* @return the ready target with the most free slots among those with @label (empty: any label),
 * never @avoid, or NULL when no slot is free. */
struct fl_target *fl_pool_pick_slot (struct fl_pool *pool,
                                     const struct fl_name *label,
                                     const struct fl_target *avoid);

/* Grows each time anything is released or a target becomes ready: work that found no room needs
 * no second try while this stands still. */
uint64_t fl_pool_generation (const struct fl_pool *pool);

/* Sums over targets that may take work, for headroom reports. */
void fl_pool_totals (const struct fl_pool *pool,
                     struct fl_resources *capacity,
                     struct fl_resources *used);
