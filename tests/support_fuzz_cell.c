/* Stateful fuzzing of the decisions against an oracle.
 *
 * Several schedulers (leases, voters, domains, journals), targets, callers and a table run in one
 * process on a virtual clock. Messages are delayed, lost, doubled and reordered; clocks run at
 * unlike rates within the stated bound; schedulers crash and pause, targets die and fall silent,
 * the table goes down and loses answers. The oracle knows what each target really runs and checks
 * the promises after each step; at the end all faults are mended and every accepted job has to
 * finish.
 *
 *   fuzz_cell [SEED [STEPS [MUTATION]]]
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "domain/domain.h"
#include "fuzz_cell.h"
#include "lease/lease.h"
#include "lease/owner_row.h"
#include "platform/journal.h"
#include "team/allot.h"

enum
{
  PROCS = 3,
  DOMAINS = 2,
  TARGETS = 4, /* in each domain */
  TEAMS = 3,
  TICK_MS = 50,
  POLL_MS = 400,
  TASK_LEASE_MS = 5000,
  COMMAND_TIMEOUT_MS = 1500,
  HEAL_MS = 900000, /* longest time in which all that was accepted has to end */
  HEAL_CHECK_MS = 5000,
  TRACE_LINES = 80
};

/* Each team's upper limit; every domain holds half at the start. */
static const int64_t limits[TEAMS] = { 6, 10, 20 };

struct world;

/* --- events --- */

struct event
{
  int64_t at;
  uint64_t order;
  void (*fire) (struct world *w, void *data);
  void *data;
  int proc; /* held back while that scheduler is paused; -1 for none */
};

/* --- the parts --- */

struct table_row
{
  int64_t version;
  json_t *value;
};

struct running
{
  struct target *target;
  struct fl_name id;
  char *logical;
  bool request;
  bool over;
  struct fl_resources demand;
  int64_t lease_until;
  struct run_call *call; /* requests: whom to answer */
};

struct target
{
  struct world *world;
  int domain;
  int index;
  struct fl_name name;
  struct fl_name instance;
  int restarts;
  struct fl_resources capacity;
  struct fl_resources used;
  bool silent;
  bool dead;
  bool failing;
  GHashTable *runs;       /* struct fl_name * -> struct running * */
  GHashTable *tombstones; /* struct fl_name * */
  GArray *events;         /* struct fl_task_event */
  int64_t last_seq;
};

struct poll_state
{
  bool open;
  int64_t next;
  bool full;
};

struct seat
{
  struct proc *proc;
  int domain;
  struct fl_lease lease;
  struct fl_voter voter;
  struct fl_domain *core;
  int64_t loading;
  bool loaded;
  struct poll_state polls[TARGETS];
  struct fl_allots *allots;
  bool allots_open;
  int64_t allots_read;
};

struct proc
{
  struct world *world;
  int index;
  int incarnation;
  struct fl_name instance;
  bool up;
  int64_t paused_until; /* 0: runs */
  int64_t rate_ppm;
  int64_t offset;
  struct seat seats[DOMAINS];
  struct fl_journal *journal;
  struct fl_table table;
};

/* What a caller asked for, and what it was told. */
struct asked
{
  struct fl_name name; /* "team/id" */
  bool repeatable;
  int attempts;
  bool not_run; /* told so, and only one attempt was made */
};

struct wanted_job
{
  struct fl_name key;
  bool accepted;
  bool cancelled;
  bool refused;
  int64_t tasks;
};

struct world
{
  GRand *random;
  int64_t now;
  uint64_t order;
  int64_t steps;
  GSequence *queue;
  GTree *rows;
  int64_t last_version;
  bool table_down;
  bool table_loses;
  bool healing;
  struct proc procs[PROCS];
  struct target targets[DOMAINS][TARGETS];
  struct fl_config *config;
  struct fl_name domain_names[DOMAINS];
  GHashTable *executed; /* logical id -> times it was started */
  GHashTable *done;     /* logical id of tasks that ended well */
  GHashTable *asked;    /* name -> struct asked * */
  GHashTable *jobs;     /* key -> struct wanted_job * */
  GHashTable *deaths;   /* instance -> int64_t virtual time */
  GHashTable *handles;  /* handle -> char * name or job key */
  uint64_t last_handle;
  int64_t last_id;
  int64_t answers[FL_OUTCOMES];
  int64_t gifts; /* allotments sent from one domain to the other */
  char trace[TRACE_LINES][160];
  int64_t trace_count;
  const char *violation;
  enum fuzz_mutation mutation;
};

/* --- small helpers --- */

static int
roll (struct world *w, int low, int high)
{
  return g_rand_int_range (w->random, low, high + 1);
}

static bool
chance (struct world *w, int permille)
{
  return roll (w, 1, 1000) <= permille;
}

static void note (struct world *w, const char *format, ...) G_GNUC_PRINTF (2, 3);

static void
note (struct world *w, const char *format, ...)
{
  char *line = w->trace[w->trace_count++ % TRACE_LINES];
  va_list args;
  int at = g_snprintf (line, sizeof w->trace[0], "%8" PRId64 " ", w->now);

  va_start (args, format);
  g_vsnprintf (line + at, sizeof w->trace[0] - (gulong)at, format, args);
  va_end (args);
}

static void
violate (struct world *w, const char *what)
{
  if (w->violation == NULL)
    note (w, "VIOLATION: %s", what);
  w->violation = w->violation != NULL ? w->violation : what;
}

static int
compare_events (const void *a, const void *b, void *context)
{
  const struct event *x = a;
  const struct event *y = b;

  (void)context;
  if (x->at != y->at)
    return x->at < y->at ? -1 : 1;
  return x->order < y->order ? -1 : x->order > y->order;
}

static void
later (struct world *w, int64_t delay, int proc, void (*fire) (struct world *, void *), void *data)
{
  struct event *event = g_new0 (struct event, 1);

  event->at = w->now + delay;
  event->order = ++w->order;
  event->fire = fire;
  event->data = data;
  event->proc = proc;
  g_sequence_insert_sorted (w->queue, event, compare_events, NULL);
}

static int64_t
local_now (const struct proc *p)
{
  return p->offset + p->world->now + p->world->now * p->rate_ppm / 1000000;
}

static int64_t
local_duration (const struct proc *p, int64_t duration)
{
  return duration + duration * p->rate_ppm / 1000000;
}

static int
network_delay (struct world *w)
{
  return chance (w, 50) ? roll (w, 20, 400) : roll (w, 1, 15);
}

static bool
is_lost (struct world *w)
{
  return !w->healing && chance (w, 15);
}

/* --- the table --- */

struct table_call
{
  struct proc *proc;
  int incarnation;
  int refs;    /* events that point to it */
  GArray *ops; /* struct fl_txn_op, copies; NULL for reads */
  char *prefix;
  bool exact;
  fl_table_done *done;
  void *context;
  enum fl_table_code code;
  GArray *versions;
  size_t conflict;
  GArray *rows; /* struct fl_row, owned copies */
};

static void
table_call_unref (struct table_call *c)
{
  if (--c->refs > 0)
    return;
  for (guint i = 0; c->ops != NULL && i < c->ops->len; i++)
    {
      struct fl_txn_op *op = &g_array_index (c->ops, struct fl_txn_op, i);
      fl_str_clear (&op->key);
      json_decref (op->value);
    }
  for (guint i = 0; i < c->rows->len; i++)
    {
      struct fl_row *row = &g_array_index (c->rows, struct fl_row, i);
      fl_str_clear (&row->key);
      json_decref (row->value);
    }
  if (c->ops != NULL)
    g_array_unref (c->ops);
  g_array_unref (c->rows);
  g_array_unref (c->versions);
  g_free (c->prefix);
  g_free (c);
}

static void
table_answer (struct world *w, void *data)
{
  struct table_call *c = data;
  struct fl_table_result result = { .code = c->code,
                                    .versions = (int64_t *)(void *)c->versions->data,
                                    .rows = (struct fl_row *)(void *)c->rows->data,
                                    .row_count = c->rows->len,
                                    .conflict = c->conflict };

  (void)w;
  if (c->code == FL_TABLE_CONFLICT && c->rows->len > 0)
    result.current = g_array_index (c->rows, struct fl_row, 0);
  if (c->proc->incarnation == c->incarnation)
    c->done (c->context, &result);
  c->incarnation = -1;
  table_call_unref (c);
}

static void
add_row (struct table_call *c, const char *key, const struct table_row *row)
{
  struct fl_row copy = { fl_str_of (key), row->version, json_incref (row->value) };

  g_array_append_val (c->rows, copy);
}

static int
collect_row (void *key, void *value, void *data)
{
  struct table_call *c = data;

  if (c->exact ? strcmp (key, c->prefix) == 0 : g_str_has_prefix (key, c->prefix))
    add_row (c, key, value);
  return FALSE;
}

static void
apply_ops (struct world *w, struct table_call *c)
{
  for (guint i = 0; i < c->ops->len; i++)
    {
      const struct fl_txn_op *op = &g_array_index (c->ops, struct fl_txn_op, i);
      const struct table_row *row = g_tree_lookup (w->rows, op->key.data);
      if (op->version == FL_ANY_VERSION || op->version == (row != NULL ? row->version : 0))
        continue;
      c->code = FL_TABLE_CONFLICT;
      c->conflict = i;
      if (row != NULL)
        add_row (c, op->key.data, row);
      return;
    }
  for (guint i = 0; i < c->ops->len; i++)
    {
      const struct fl_txn_op *op = &g_array_index (c->ops, struct fl_txn_op, i);
      int64_t version = 0;
      if (op->kind == FL_TXN_PUT)
        {
          struct table_row *row = g_new0 (struct table_row, 1);
          row->version = version = ++w->last_version;
          row->value = json_deep_copy (op->value);
          g_tree_replace (w->rows, g_strdup (op->key.data), row);
        }
      else if (op->kind == FL_TXN_DELETE)
        g_tree_remove (w->rows, op->key.data);
      g_array_append_val (c->versions, version);
    }
}

/* The call reaches the table: its effect and the answer's way back. */
static void
table_arrive (struct world *w, void *data)
{
  struct table_call *c = data;
  bool lost = !w->healing && (is_lost (w) || (w->table_loses && chance (w, 500)));

  c->code = FL_TABLE_OK;
  if (w->table_down)
    c->code = FL_TABLE_REFUSED;
  else if (c->ops != NULL)
    apply_ops (w, c);
  else
    g_tree_foreach (w->rows, collect_row, c);
  if (lost && c->code != FL_TABLE_REFUSED)
    c->code = FL_TABLE_UNKNOWN;
  later (w, lost ? COMMAND_TIMEOUT_MS : network_delay (w), c->proc->index, table_answer, c);
}

/* The caller gives up before the call arrives; it arrives all the same. */
static void
table_time_out (struct world *w, void *data)
{
  struct table_call *c = data;
  struct fl_table_result result = { .code = FL_TABLE_UNKNOWN };

  (void)w;
  if (c->proc->incarnation == c->incarnation)
    c->done (c->context, &result);
  c->incarnation = -1;
  table_call_unref (c);
}

static void
send_table_call (struct table_call *c)
{
  struct world *w = c->proc->world;
  int delay = network_delay (w);

  c->incarnation = c->proc->incarnation;
  c->refs = 1;
  c->rows = g_array_new (FALSE, FALSE, sizeof (struct fl_row));
  c->versions = g_array_new (FALSE, FALSE, sizeof (int64_t));
  if (c->ops != NULL && is_lost (w))
    {
      /* Slower than the caller's patience, but not lost. */
      c->refs++;
      later (w, COMMAND_TIMEOUT_MS, c->proc->index, table_time_out, c);
      delay = COMMAND_TIMEOUT_MS + 4000 + roll (w, 0, 3000);
    }
  later (w, delay, -1, table_arrive, c);
}

static void
table_commit (
    void *self, const struct fl_txn_op *ops, size_t count, fl_table_done *done, void *context)
{
  struct table_call *c = g_new0 (struct table_call, 1);

  c->proc = self;
  c->done = done;
  c->context = context;
  c->ops = g_array_new (FALSE, FALSE, sizeof (struct fl_txn_op));
  for (size_t i = 0; i < count; i++)
    {
      struct fl_txn_op op = ops[i];
      op.key = fl_str_dup (&ops[i].key);
      op.value = op.value != NULL ? json_deep_copy (op.value) : NULL;
      g_array_append_val (c->ops, op);
    }
  send_table_call (c);
}

static void
table_get (void *self, const char *key, fl_table_done *done, void *context)
{
  struct table_call *c = g_new0 (struct table_call, 1);

  c->proc = self;
  c->done = done;
  c->context = context;
  c->prefix = g_strdup (key);
  c->exact = true;
  send_table_call (c);
}

static void
table_scan (void *self,
            const char *prefix,
            const char *after,
            int64_t limit,
            fl_table_done *done,
            void *context)
{
  (void)after;
  (void)limit;
  table_get (self, prefix, done, context);
  /* The call that was just queued is a scan. */
  struct proc *p = self;
  struct event *last = NULL;
  for (GSequenceIter *i = g_sequence_get_begin_iter (p->world->queue); !g_sequence_iter_is_end (i);
       i = g_sequence_iter_next (i))
    {
      struct event *event = g_sequence_get (i);
      if (event->order == p->world->order)
        last = event;
    }
  g_assert (last != NULL && last->fire == table_arrive);
  ((struct table_call *)last->data)->exact = false;
}

/* --- the oracle's view of targets --- */

static int
count_of (GHashTable *table, const char *key)
{
  return GPOINTER_TO_INT (g_hash_table_lookup (table, key));
}

static void
add_count (GHashTable *table, const char *key)
{
  g_hash_table_replace (table, g_strdup (key), GINT_TO_POINTER (count_of (table, key) + 1));
}

static char *
logical_of (const struct fl_name *id)
{
  const char *last = strrchr (id->data, '/');

  return g_strndup (id->data, (gsize)(last - id->data));
}

static int
team_of (const char *logical)
{
  return logical[1] - '0'; /* teams are t0, t1, ... */
}

static void
check_team_limits (struct world *w)
{
  int64_t counts[TEAMS] = { 0 };

  for (int d = 0; d < DOMAINS; d++)
    for (int i = 0; i < TARGETS; i++)
      {
        GHashTableIter iter;
        struct running *run;
        g_hash_table_iter_init (&iter, w->targets[d][i].runs);
        while (g_hash_table_iter_next (&iter, NULL, (void **)&run))
          counts[team_of (run->logical)]++;
      }
  for (int t = 0; t < TEAMS; t++)
    if (counts[t] > limits[t])
      violate (w, "a team runs more than its upper limit");
}

static void
check_one_place (struct world *w, const struct running *started)
{
  int places = 0;

  for (int d = 0; d < DOMAINS; d++)
    for (int i = 0; i < TARGETS; i++)
      {
        GHashTableIter iter;
        struct running *run;
        g_hash_table_iter_init (&iter, w->targets[d][i].runs);
        while (g_hash_table_iter_next (&iter, NULL, (void **)&run))
          places += !run->request && strcmp (run->logical, started->logical) == 0;
      }
  if (places > 1)
    violate (w, "a task runs in two places");
}

static void
check_started (struct world *w, struct running *run)
{
  const struct asked *asked;

  if (!fl_resources_fit (&run->target->used, &run->target->capacity))
    violate (w, "a host is given more than it holds");
  check_team_limits (w);
  if (!run->request)
    {
      check_one_place (w, run);
      return;
    }
  asked = g_hash_table_lookup (w->asked, run->logical);
  if (asked != NULL && !asked->repeatable && count_of (w->executed, run->logical) > 1)
    violate (w, "a request that must not be repeated ran twice");
  if (asked != NULL && asked->not_run)
    violate (w, "a request ran after it was answered not_run");
}

/* --- targets --- */

static void
run_free (struct running *run)
{
  fl_resources_add (&run->target->used, &run->demand, -1);
  g_hash_table_remove (run->target->runs, &run->id);
  g_free (run->logical);
  g_free (run);
}

static struct running *
target_start (struct target *t,
              const struct fl_name *id,
              bool request,
              const struct fl_resources *d)
{
  struct running *run = g_new0 (struct running, 1);

  run->target = t;
  run->id = *id;
  run->logical = logical_of (id);
  run->request = request;
  run->demand = *d;
  run->lease_until = t->world->now + TASK_LEASE_MS;
  fl_resources_add (&t->used, d, 1);
  g_hash_table_insert (t->runs, &run->id, run);
  add_count (t->world->executed, run->logical);
  note (t->world, "%s starts %s", t->name.data, id->data);
  check_started (t->world, run);
  return run;
}

/* A run is found again by target and id when its time is over. */
struct end
{
  struct target *target;
  struct fl_name instance;
  struct fl_name id;
};

static void deliver_run (struct world *w, struct run_call *call, enum fl_call_result result);

static void
on_end (struct world *w, void *data)
{
  struct end *end = data;
  struct target *t = end->target;
  struct running *run = g_hash_table_lookup (t->runs, &end->id);

  if (run != NULL && fl_name_eq (&t->instance, &end->instance))
    {
      struct fl_task_event event = { ++t->last_seq, run->id, !t->failing, false };
      note (w, "%s ends %s", t->name.data, run->id.data);
      if (run->request)
        {
          struct run_call *call = run->call;
          t->last_seq--;
          run_free (run);
          deliver_run (w, call, t->silent ? FL_CALL_UNKNOWN : FL_CALL_DONE);
        }
      else
        {
          if (event.ok)
            add_count (w->done, run->logical);
          g_array_append_val (t->events, event);
          run_free (run);
        }
    }
  g_free (end);
}

static void
end_later (struct target *t, const struct fl_name *id, int64_t ms)
{
  struct end *end = g_new0 (struct end, 1);

  end->target = t;
  end->instance = t->instance;
  end->id = *id;
  later (t->world, ms, -1, on_end, end);
}

static void
lapse_tasks (struct target *t)
{
  g_autoptr (GList) runs = g_hash_table_get_values (t->runs);

  for (GList *l = runs; l != NULL; l = l->next)
    {
      struct running *run = l->data;
      if (!run->request && t->world->now >= run->lease_until)
        {
          note (t->world, "%s lets %s lapse", t->name.data, run->id.data);
          run_free (run);
        }
    }
}

/* --- commands from schedulers to targets --- */

enum command_kind
{
  COMMAND_START,
  COMMAND_STOP,
  COMMAND_POLL
};

struct command
{
  struct seat *seat;
  int incarnation;
  int64_t epoch;
  struct target *target;
  enum command_kind kind;
  struct fl_name id;
  struct fl_resources demand;
  int64_t asked_local;
  int64_t ack;
  int64_t seen;
  bool full;
  bool renews;
  enum fl_call_result result;
  bool doubled;
  /* POLL: the report. */
  struct fl_target_report report;
  GArray *running;
  GArray *events;
};

struct run_call
{
  struct seat *seat;
  int incarnation;
  int64_t epoch;
  struct target *target;
  uint64_t request;
  int64_t attempt;
  struct fl_name id;
  int64_t duration;
  enum fl_call_result result;
};

static bool
still_owner (const struct seat *seat, int incarnation, int64_t epoch)
{
  return seat->proc->incarnation == incarnation && seat->core != NULL && seat->loaded
         && fl_domain_epoch (seat->core) == epoch;
}

static void
command_free (struct command *c)
{
  if (c->running != NULL)
    g_array_unref (c->running);
  if (c->events != NULL)
    g_array_unref (c->events);
  g_free (c);
}

static void
on_poll_answer (struct command *c)
{
  struct seat *seat = c->seat;
  struct target *t = c->target;
  struct fl_target *known = fl_pool_find (fl_domain_pool (seat->core), &t->name);
  struct poll_state *poll = &seat->polls[t->index];
  int64_t now = local_now (seat->proc);

  poll->open = false;
  poll->next = now + POLL_MS;
  if (known == NULL)
    return;
  if (c->result == FL_CALL_DONE)
    {
      fl_domain_on_report (seat->core, known, &c->report, c->asked_local, now);
      poll->full = known->state == FL_TARGET_UNKNOWN;
    }
  else
    {
      poll->full = true;
      fl_domain_on_silent (seat->core, known, c->renews, now);
    }
}

static void
command_answer (struct world *w, void *data)
{
  struct command *c = data;
  struct seat *seat = c->seat;

  (void)w;
  if (still_owner (seat, c->incarnation, c->epoch))
    {
      int64_t now = local_now (seat->proc);
      if (c->kind == COMMAND_POLL)
        on_poll_answer (c);
      else if (c->kind == COMMAND_START)
        fl_domain_on_started (seat->core, &c->id, c->result, now);
      else
        fl_domain_on_stopped (seat->core, &c->id, c->result, now);
      if (c->doubled && c->kind == COMMAND_START)
        fl_domain_on_started (seat->core, &c->id, c->result, now);
    }
  command_free (c);
}

static void
fill_report (struct command *c)
{
  struct target *t = c->target;
  GHashTableIter iter;
  struct running *run;
  guint acked = 0;

  c->running = g_array_new (FALSE, FALSE, sizeof (struct fl_inventory_item));
  c->events = g_array_new (FALSE, FALSE, sizeof (struct fl_task_event));
  while (acked < t->events->len
         && g_array_index (t->events, struct fl_task_event, acked).seq <= c->ack)
    acked++;
  if (acked > 0)
    g_array_remove_range (t->events, 0, acked);
  for (guint i = 0; i < t->events->len; i++)
    if (g_array_index (t->events, struct fl_task_event, i).seq > c->seen)
      g_array_append_val (c->events, g_array_index (t->events, struct fl_task_event, i));
  g_hash_table_iter_init (&iter, t->runs);
  while (g_hash_table_iter_next (&iter, NULL, (void **)&run))
    {
      struct fl_inventory_item item = { run->id, run->request };
      if (c->renews)
        run->lease_until = t->world->now + TASK_LEASE_MS;
      g_array_append_val (c->running, item);
    }
  c->report = (struct fl_target_report){ .instance = t->instance,
                                         .renewed = c->renews,
                                         .full = c->full,
                                         .running = (void *)c->running->data,
                                         .running_count = c->running->len,
                                         .events = (void *)c->events->data,
                                         .event_count = c->events->len };
}

static void
stop_on_target (struct command *c)
{
  struct target *t = c->target;
  struct running *run = g_hash_table_lookup (t->runs, &c->id);

  c->result = FL_CALL_DONE;
  for (guint i = 0; i < t->events->len; i++)
    if (fl_name_eq (&g_array_index (t->events, struct fl_task_event, i).id, &c->id))
      c->result = FL_CALL_FAILED;
  if (run != NULL)
    run_free (run);
  else
    g_hash_table_add (t->tombstones, g_memdup2 (&c->id, sizeof c->id));
  note (t->world, "%s stops %s", t->name.data, c->id.data);
}

static void
start_on_target (struct command *c)
{
  struct target *t = c->target;

  if (g_hash_table_contains (t->tombstones, &c->id))
    c->result = FL_CALL_REFUSED;
  else
    {
      target_start (t, &c->id, false, &c->demand);
      /* Replicas of services run on; tasks end soon. */
      bool service = strstr (c->id.data, "/svc.") != NULL;
      end_later (t, &c->id, service ? 60000 : roll (t->world, 50, 3000));
      c->result = FL_CALL_DONE;
    }
}

static void
command_arrive (struct world *w, void *data)
{
  struct command *c = data;
  struct target *t = c->target;
  int delay = network_delay (w);

  if (t->dead || t->silent || is_lost (w))
    {
      c->result = FL_CALL_UNKNOWN;
      delay = COMMAND_TIMEOUT_MS;
    }
  else if (c->kind == COMMAND_POLL)
    {
      c->result = FL_CALL_DONE;
      fill_report (c);
    }
  else if (c->kind == COMMAND_STOP)
    stop_on_target (c);
  else
    start_on_target (c);
  if (c->result != FL_CALL_UNKNOWN && is_lost (w))
    {
      c->result = FL_CALL_UNKNOWN;
      delay = COMMAND_TIMEOUT_MS;
    }
  c->doubled = chance (w, 20);
  later (w, delay, c->seat->proc->index, command_answer, c);
}

/* Sending is where authority is checked, as the HTTP client does; a command arrives within the
 * delivery time or not at all. */
static bool
may_send (struct seat *seat)
{
  return seat->core != NULL && fl_lease_may_act (&seat->lease, local_now (seat->proc));
}

static void
send_command (struct seat *seat, struct target *t, struct command *c)
{
  struct world *w = seat->proc->world;

  c->seat = seat;
  c->incarnation = seat->proc->incarnation;
  c->epoch = fl_domain_epoch (seat->core);
  c->target = t;
  c->asked_local = local_now (seat->proc);
  later (w, network_delay (w), -1, command_arrive, c);
}

static struct target *
target_of (struct seat *seat, const struct fl_target *known)
{
  struct world *w = seat->proc->world;

  for (int i = 0; i < TARGETS; i++)
    if (fl_name_eq (&w->targets[seat->domain][i].name, &known->name))
      return &w->targets[seat->domain][i];
  return NULL;
}

static void
op_start (void *context, struct fl_target *target, const struct fl_task *task)
{
  struct command *c = g_new0 (struct command, 1);

  c->kind = COMMAND_START;
  c->id = fl_task_id (task);
  c->demand = *fl_task_demand (task);
  send_command (context, target_of (context, target), c);
}

static void
op_stop (void *context, struct fl_target *target, const struct fl_name *id, enum fl_stop_mode mode)
{
  struct command *c = g_new0 (struct command, 1);

  (void)mode;
  c->kind = COMMAND_STOP;
  c->id = *id;
  send_command (context, target_of (context, target), c);
}

static void
op_inspect (void *context, struct fl_target *target)
{
  struct seat *seat = context;

  seat->polls[target_of (seat, target)->index].full = true;
}

static void
run_answer (struct world *w, void *data)
{
  struct run_call *call = data;
  struct fl_str body = { 2, (char *)"ok" };

  (void)w;
  if (still_owner (call->seat, call->incarnation, call->epoch))
    {
      int64_t now = local_now (call->seat->proc);
      fl_domain_on_run (call->seat->core, call->request, call->attempt, call->result, &body, now);
      if (chance (w, 30))
        fl_domain_on_run (call->seat->core, call->request, call->attempt, FL_CALL_FAILED, &body,
                          now);
    }
  g_free (call);
}

static void
deliver_run (struct world *w, struct run_call *call, enum fl_call_result result)
{
  bool lost = result == FL_CALL_UNKNOWN || is_lost (w);

  call->result = lost ? FL_CALL_UNKNOWN : result;
  later (w, lost ? COMMAND_TIMEOUT_MS : network_delay (w), call->seat->proc->index, run_answer,
         call);
}

static void
run_arrive (struct world *w, void *data)
{
  struct run_call *call = data;
  struct target *t = call->target;

  if (t->dead || t->silent || is_lost (w))
    {
      deliver_run (w, call, FL_CALL_UNKNOWN);
      return;
    }
  if (chance (w, 10))
    {
      deliver_run (w, call, FL_CALL_REFUSED);
      return;
    }
  target_start (t, &call->id, true, &fl_one_slot)->call = call;
  end_later (t, &call->id, call->duration);
}

static void
op_run (void *context, struct fl_target *target, const struct fl_request *request)
{
  struct seat *seat = context;
  struct world *w = seat->proc->world;
  struct run_call *call = g_new0 (struct run_call, 1);

  call->seat = seat;
  call->incarnation = seat->proc->incarnation;
  call->epoch = fl_domain_epoch (seat->core);
  call->target = target_of (seat, target);
  call->request = fl_request_id (request);
  call->attempt = fl_request_attempt (request);
  call->id = fl_request_name (request);
  call->duration = chance (w, 100) ? roll (w, 500, 4000) : roll (w, 5, 100);
  later (w, network_delay (w), -1, run_arrive, call);
}

/* --- what callers are told --- */

static void
op_answer (void *context, uint64_t handle, const struct fl_answer *answer)
{
  struct seat *seat = context;
  struct world *w = seat->proc->world;
  const char *name = g_hash_table_lookup (w->handles, &handle);
  struct asked *asked = name != NULL ? g_hash_table_lookup (w->asked, name) : NULL;
  struct wanted_job *job = name != NULL ? g_hash_table_lookup (w->jobs, name) : NULL;

  w->answers[answer->outcome]++;
  if (name == NULL)
    {
      violate (w, "an answer for nobody, or a second one");
      return;
    }
  note (w, "p%d answers %s: %s %s", seat->proc->index, name, fl_outcome_names[answer->outcome],
        answer->reason);
  if (asked != NULL && answer->outcome == FL_OUTCOME_NOT_RUN && asked->attempts == 1)
    {
      asked->not_run = true;
      if (count_of (w->executed, name) > 0)
        violate (w, "not_run was answered for a request that had run");
    }
  if (asked != NULL && answer->outcome == FL_OUTCOME_DONE && count_of (w->executed, name) == 0)
    violate (w, "done was answered for a request that never ran");
  if (job != NULL && answer->outcome == FL_OUTCOME_ACCEPTED)
    job->accepted = true;
  if (job != NULL && answer->outcome == FL_OUTCOME_CANCELLED)
    job->cancelled = true;
  g_hash_table_remove (w->handles, &handle);
}

static bool
op_may_act (void *context)
{
  return may_send (context);
}

static void
op_commit (void *context, const struct fl_record *record)
{
  struct seat *seat = context;

  fl_journal_add (seat->proc->journal, record);
}

/* --- schedulers: taking and losing domains --- */

static void
drop_core (struct seat *seat)
{
  struct fl_domain *core = seat->core;

  seat->loading = 0;
  if (core == NULL)
    return;
  note (seat->proc->world, "p%d drops d%d epoch %" PRId64, seat->proc->index, seat->domain,
        fl_domain_epoch (core));
  fl_journal_close_domain (seat->proc->journal, fl_domain_name (core));
  fl_domain_close (core, local_now (seat->proc));
  fl_allots_free (seat->allots);
  seat->allots = NULL;
  seat->core = NULL;
  seat->loaded = false;
  seat->loading = 0;
  fl_domain_free (core);
}

struct load
{
  struct seat *seat;
  int64_t epoch;
};

static bool
load_is_current (const struct load *load)
{
  return load->seat->loading == load->epoch && load->seat->lease.row.epoch == load->epoch;
}

static void
load_failed (struct load *load)
{
  if (load_is_current (load))
    {
      load->seat->loading = 0;
      fl_domain_free (load->seat->core);
      load->seat->core = NULL;
      fl_allots_free (load->seat->allots);
      load->seat->allots = NULL;
    }
  g_free (load);
}

static void
finish_load (struct load *load)
{
  struct seat *seat = load->seat;
  struct world *w = seat->proc->world;
  int64_t now = local_now (seat->proc);

  seat->loading = 0;
  seat->loaded = true;
  fl_domain_set_config (seat->core, w->config, DOMAINS, seat->domain, now);
  for (int i = 0; i < TARGETS; i++)
    {
      struct target *t = &w->targets[seat->domain][i];
      struct fl_name label = { 0 };
      struct fl_name rack = fl_name_format ("r%d", i / 2);
      fl_domain_list_target (seat->core, &t->name, &label, &rack, "http://t", &t->capacity, false,
                             now);
      seat->polls[i] = (struct poll_state){ .full = true };
    }
  fl_domain_loaded (seat->core, now);
  note (w, "p%d serves d%d epoch %" PRId64, seat->proc->index, seat->domain, load->epoch);
  g_free (load);
}

static void
on_load_allots (void *context, const struct fl_table_result *result)
{
  struct load *load = context;

  if (result->code != FL_TABLE_OK || !load_is_current (load))
    {
      load_failed (load);
      return;
    }
  for (size_t i = 0; i < result->row_count; i++)
    fl_allots_take_row (load->seat->allots, &result->rows[i]);
  finish_load (load);
}

static void
on_load_jobs (void *context, const struct fl_table_result *result)
{
  struct load *load = context;
  struct seat *seat = load->seat;

  if (result->code != FL_TABLE_OK || !load_is_current (load))
    {
      load_failed (load);
      return;
    }
  for (size_t i = 0; i < result->row_count; i++)
    {
      const char *domain = json_string_value (json_object_get (result->rows[i].value, "domain"));
      if (strcmp (domain, fl_domain_name (seat->core)->data) == 0
          && !fl_domain_load_job (seat->core, result->rows[i].value, result->rows[i].version,
                                  local_now (seat->proc)))
        violate (seat->proc->world, "a job row cannot be read");
    }
  seat->proc->table.scan (seat->proc, "allot/", "", 100, on_load_allots, load);
}

/* --- schedulers: allotments --- */

static void
use_allotment (void *context, const struct fl_name *team, int64_t amount)
{
  struct seat *seat = context;

  if (seat->core != NULL)
    fl_domain_set_allotment (seat->core, team, amount, local_now (seat->proc));
}

static void
on_allot_rows (void *context, const struct fl_table_result *result)
{
  struct seat *seat = context;

  seat->allots_open = false;
  for (size_t i = 0; result->code == FL_TABLE_OK && seat->loaded && i < result->row_count; i++)
    fl_allots_take_row (seat->allots, &result->rows[i]);
}

static void
note_usage (void *context, const struct fl_team_usage *usage)
{
  struct fl_team_usage *usages = context;

  usages[usage->team.data[1] - '0'] = *usage;
}

static struct seat *find_owner (struct world *w, int domain);

static void
drive_allots (struct seat *seat)
{
  struct world *w = seat->proc->world;
  int64_t now = local_now (seat->proc);
  struct seat *other = find_owner (w, 1 - seat->domain);
  struct fl_team_usage here[TEAMS] = { 0 };
  struct fl_team_usage there[TEAMS] = { 0 };

  if (!seat->allots_open && now >= seat->allots_read + 1000)
    {
      seat->allots_open = true;
      seat->allots_read = now;
      seat->proc->table.scan (seat->proc, "allot/", "", 100, on_allot_rows, seat);
    }
  if (!may_send (seat))
    return;
  fl_allots_settle (seat->allots, now);
  if (other == NULL)
    return;
  fl_domain_each_team (seat->core, note_usage, here);
  fl_domain_each_team (other->core, note_usage, there);
  for (int t = 0; t < TEAMS; t++)
    {
      struct fl_allot_need need = { .team = fl_name_format ("t%d", t),
                                    .running = here[t].running,
                                    .waiting = here[t].waiting,
                                    .stuck = here[t].stuck,
                                    .needy = w->domain_names[other->domain],
                                    .needy_running = there[t].running,
                                    .needy_waiting = there[t].waiting,
                                    .needy_stuck = there[t].stuck };
      if (fl_allots_give (seat->allots, &need, now))
        w->gifts++;
    }
}

static void
on_load_epoch (void *context, const struct fl_table_result *result)
{
  struct load *load = context;
  struct seat *seat = load->seat;
  struct proc *p = seat->proc;
  const json_t *epoch
      = result->row_count > 0 ? json_object_get (result->rows[0].value, "epoch") : NULL;

  if (result->code != FL_TABLE_OK || !load_is_current (load)
      || json_integer_value (epoch) != load->epoch)
    {
      load_failed (load);
      return;
    }
  struct fl_domain_options options = { .name = p->world->domain_names[seat->domain],
                                       .epoch = load->epoch,
                                       .now_ms = local_now (p),
                                       .limits = fl_domain_limits_default,
                                       .ops = { seat, op_may_act, op_run, op_start, op_stop,
                                                op_inspect, op_commit, op_answer } };
  options.limits.task_lease_ms
      = p->world->mutation == FUZZ_SHORT_LEASE ? TASK_LEASE_MS / 10 : TASK_LEASE_MS;
  options.limits.quarantine_ms = 2000;
  options.limits.gang_patience_ms = 1000;
  options.limits.finished_keep_ms = 20000;
  fl_journal_open_domain (p->journal, &options.name, result->rows[0].version);
  seat->core = fl_domain_new (&options);
  struct fl_allots_options allots = { .table = &p->table,
                                      .domain = options.name,
                                      .fence_version = result->rows[0].version,
                                      .interval_ms = 300,
                                      .use = use_allotment,
                                      .context = seat };
  seat->allots = fl_allots_new (&allots);
  seat->allots_open = false;
  p->table.scan (p, "job/", "", 1000, on_load_jobs, load);
}

static void
follow_lease (struct seat *seat)
{
  struct fl_lease *lease = &seat->lease;

  if (seat->core != NULL
      && (lease->state == FL_LEASE_WATCHING || lease->state == FL_LEASE_TAKING
          || lease->row.epoch != fl_domain_epoch (seat->core)))
    drop_core (seat);
  if (lease->state != FL_LEASE_HOLDING || seat->core != NULL || seat->loading == lease->row.epoch)
    return;
  struct load *load = g_new0 (struct load, 1);
  g_autofree char *key
      = g_strdup_printf ("epoch/%s", seat->proc->world->domain_names[seat->domain].data);
  load->seat = seat;
  load->epoch = seat->loading = lease->row.epoch;
  seat->proc->table.get (seat->proc, key, on_load_epoch, load);
}

static void
on_settled (void *context,
            const struct fl_name *domain,
            uint64_t id,
            enum fl_commit_result result,
            int64_t version,
            const json_t *existing)
{
  struct proc *p = context;

  for (int d = 0; d < DOMAINS; d++)
    if (p->seats[d].core != NULL && fl_name_eq (domain, &p->world->domain_names[d]))
      fl_domain_on_committed (p->seats[d].core, id, result, version, existing, local_now (p));
}

static void
on_fenced (void *context, const struct fl_name *domain)
{
  struct proc *p = context;

  for (int d = 0; d < DOMAINS; d++)
    if (fl_name_eq (domain, &p->world->domain_names[d]))
      {
        drop_core (&p->seats[d]);
        fl_journal_close_domain (p->journal, domain);
      }
}

/* --- schedulers: lease rows and votes --- */

static void
on_owner_row (void *context, const struct fl_table_result *result)
{
  struct seat *seat = context;
  struct fl_owner_row row;

  memset (&row, 0, sizeof row);
  if (result->row_count > 0)
    fl_owner_row_from_json (result->rows[0].value, result->rows[0].version, &row);
  fl_lease_on_row (&seat->lease, result->code == FL_TABLE_OK, &row, local_now (seat->proc));
  follow_lease (seat);
}

struct owner_write
{
  struct seat *seat;
  struct fl_owner_row row;
  int64_t sent;
};

static void
on_owner_written (void *context, const struct fl_table_result *result)
{
  static const enum fl_cas_result results[]
      = { FL_CAS_OK, FL_CAS_CONFLICT, FL_CAS_REFUSED, FL_CAS_UNKNOWN };
  g_autofree struct owner_write *write = context;

  fl_lease_on_written (&write->seat->lease, results[result->code], &write->row,
                       result->code == FL_TABLE_OK ? result->versions[0] : 0, write->sent,
                       local_now (write->seat->proc));
  follow_lease (write->seat);
}

static void
write_owner (struct seat *seat, const struct fl_lease_plan *plan)
{
  struct proc *p = seat->proc;
  const char *domain = p->world->domain_names[seat->domain].data;
  struct owner_write *write = g_new0 (struct owner_write, 1);
  g_autofree char *owner_key = g_strdup_printf ("owner/%s", domain);
  g_autofree char *epoch_key = g_strdup_printf ("epoch/%s", domain);
  json_t *owner = fl_owner_row_to_json (&plan->row);
  json_t *epoch = json_pack ("{s:I}", "epoch", (json_int_t)plan->row.epoch);
  struct fl_txn_op ops[2] = {
    { FL_TXN_PUT, { strlen (owner_key), owner_key }, plan->insert ? 0 : plan->version, owner },
    { FL_TXN_PUT, { strlen (epoch_key), epoch_key }, FL_ANY_VERSION, epoch }
  };
  bool raises = plan->insert || plan->row.epoch != seat->lease.row.epoch;

  write->seat = seat;
  write->row = plan->row;
  write->sent = local_now (p);
  p->table.commit (p, ops, raises ? 2 : 1, on_owner_written, write);
  json_decref (owner);
  json_decref (epoch);
}

struct vote
{
  struct seat *asker;
  int incarnation;
  struct proc *voter;
  int voter_incarnation;
  struct fl_name voter_name;
  bool support;
  int64_t epoch;
  int64_t asked;
  bool granted;
};

static void
vote_answer (struct world *w, void *data)
{
  g_autofree struct vote *vote = data;

  (void)w;
  if (vote->asker->proc->incarnation != vote->incarnation || !vote->granted)
    return;
  fl_lease_on_vote (&vote->asker->lease, &vote->voter_name, vote->support, vote->epoch, vote->asked,
                    local_now (vote->asker->proc));
  follow_lease (vote->asker);
}

static bool
cast (struct seat *seat, bool support, int64_t epoch)
{
  const struct fl_lease_rules *rules = &seat->lease.rules;
  int64_t now = local_now (seat->proc);
  int64_t wait;

  return support ? fl_voter_support (&seat->voter, rules, epoch, now, &wait)
                 : fl_voter_promise (&seat->voter, rules, epoch, now, &wait);
}

static void
vote_arrive (struct world *w, void *data)
{
  struct vote *vote = data;

  if (vote->voter->incarnation != vote->voter_incarnation || is_lost (w))
    {
      g_free (vote);
      return;
    }
  vote->granted = cast (&vote->voter->seats[vote->asker->domain], vote->support, vote->epoch);
  later (w, network_delay (w), vote->asker->proc->index, vote_answer, vote);
}

static void
ask (struct seat *seat, const struct fl_lease_plan *plan, const struct fl_name *voter)
{
  struct world *w = seat->proc->world;

  for (int i = 0; i < PROCS; i++)
    {
      struct proc *p = &w->procs[i];
      if (!p->up || !fl_name_eq (&p->instance, voter))
        continue;
      if (p == seat->proc)
        {
          if (cast (seat, plan->asks_support, plan->epoch))
            fl_lease_on_vote (&seat->lease, voter, plan->asks_support, plan->epoch, local_now (p),
                              local_now (p));
          return;
        }
      struct vote *vote = g_new0 (struct vote, 1);
      *vote = (struct vote){ .asker = seat,
                             .incarnation = seat->proc->incarnation,
                             .voter = p,
                             .voter_incarnation = p->incarnation,
                             .voter_name = *voter,
                             .support = plan->asks_support,
                             .epoch = plan->epoch,
                             .asked = local_now (seat->proc) };
      later (w, network_delay (w), i, vote_arrive, vote);
      return;
    }
  /* The instance is gone and another answers at its address. */
  const int64_t *died = g_hash_table_lookup (w->deaths, voter->data);
  if (plan->asks_support && died != NULL)
    fl_lease_on_voter_gone (&seat->lease, voter,
                            local_now (seat->proc) - local_duration (seat->proc, w->now - *died),
                            local_now (seat->proc));
}

static void
drive_lease (struct seat *seat)
{
  struct world *w = seat->proc->world;
  struct fl_voters live = { 0 };
  struct fl_lease_plan plan;

  for (int i = 0; i < PROCS; i++)
    if (w->procs[i].up)
      live.names[live.count++] = w->procs[i].instance;
  seat->lease.take_delay_ms = ((seat->proc->index + seat->domain) % PROCS) * 200;
  fl_lease_plan (&seat->lease, &live, true, local_now (seat->proc), &plan);
  if (plan.store == FL_LEASE_READ)
    {
      g_autofree char *key = g_strdup_printf ("owner/%s", w->domain_names[seat->domain].data);
      seat->proc->table.get (seat->proc, key, on_owner_row, seat);
    }
  else if (plan.store == FL_LEASE_WRITE)
    write_owner (seat, &plan);
  for (int i = 0; plan.ask && i < plan.asked.count; i++)
    ask (seat, &plan, &plan.asked.names[i]);
  follow_lease (seat);
}

static void
poll_targets (struct seat *seat)
{
  int64_t now = local_now (seat->proc);

  for (int i = 0; i < TARGETS; i++)
    {
      struct poll_state *poll = &seat->polls[i];
      struct target *t = &seat->proc->world->targets[seat->domain][i];
      const struct fl_target *known = fl_pool_find (fl_domain_pool (seat->core), &t->name);
      if (poll->open || now < poll->next || known == NULL || !may_send (seat))
        continue;
      struct command *c = g_new0 (struct command, 1);
      c->kind = COMMAND_POLL;
      c->full = poll->full || chance (seat->proc->world, 300);
      c->renews = fl_domain_renews (known);
      c->ack = known->acked;
      c->seen = known->seen;
      poll->open = true;
      send_command (seat, t, c);
    }
}

static void
tick (struct world *w, void *data)
{
  struct proc *p = data;

  if (p->up)
    {
      for (int d = 0; d < DOMAINS; d++)
        {
          struct seat *seat = &p->seats[d];
          drive_lease (seat);
          if (seat->core == NULL || !seat->loaded)
            continue;
          fl_domain_tick (seat->core, local_now (p));
          poll_targets (seat);
          drive_allots (seat);
        }
      fl_journal_flush (p->journal);
    }
  later (w, TICK_MS, p->index, tick, p);
}

/* --- faults --- */

static void
start_proc (struct proc *p)
{
  struct world *w = p->world;
  struct fl_lease_rules rules = fl_lease_rules_default;
  struct fl_journal_options options = { .table = &p->table,
                                        .batch_max = 50,
                                        .on_settled = on_settled,
                                        .on_fenced = on_fenced,
                                        .context = p };

  rules.mutate_no_wait = w->mutation == FUZZ_NO_WAIT;
  rules.mutate_no_support = w->mutation == FUZZ_NO_WAIT;
  p->incarnation++;
  p->up = true;
  p->instance = fl_name_format ("p%d-%d", p->index, p->incarnation);
  p->offset = roll (w, 0, 1000000);
  p->rate_ppm = roll (w, 0, 900) - 450;
  p->journal = fl_journal_new (&options);
  for (int d = 0; d < DOMAINS; d++)
    {
      struct seat *seat = &p->seats[d];
      memset (seat, 0, sizeof *seat);
      seat->proc = p;
      seat->domain = d;
      fl_lease_init (&seat->lease, &rules, &p->instance, local_now (p));
      fl_voter_init (&seat->voter, local_now (p));
    }
}

static void
crash_proc (struct proc *p)
{
  note (p->world, "p%d crashes", p->index);
  g_hash_table_replace (p->world->deaths, g_strdup (p->instance.data),
                        g_memdup2 (&p->world->now, sizeof p->world->now));
  p->incarnation++;
  p->up = false;
  p->paused_until = 0;
  for (int d = 0; d < DOMAINS; d++)
    {
      fl_domain_free (p->seats[d].core);
      p->seats[d].core = NULL;
      fl_allots_free (p->seats[d].allots);
      p->seats[d].allots = NULL;
    }
  fl_journal_free (p->journal);
  p->journal = NULL;
}

static void
restart (struct world *w, void *data)
{
  (void)w;
  start_proc (data);
}

static void
kill_target (struct target *t)
{
  g_autoptr (GList) runs = g_hash_table_get_values (t->runs);

  note (t->world, "%s dies", t->name.data);
  for (GList *l = runs; l != NULL; l = l->next)
    {
      struct running *run = l->data;
      struct run_call *call = run->call;
      run_free (run);
      if (call != NULL)
        deliver_run (t->world, call, FL_CALL_UNKNOWN);
    }
  g_array_set_size (t->events, 0);
  g_hash_table_remove_all (t->tombstones);
  t->last_seq = 0;
  t->instance = fl_name_format ("%s.%d", t->name.data, ++t->restarts);
}

static void
mend_target (struct world *w, void *data)
{
  struct target *t = data;

  (void)w;
  t->dead = t->silent = t->failing = false;
}

static void
mend_table (struct world *w, void *data)
{
  (void)data;
  w->table_down = w->table_loses = false;
}

static void
make_fault (struct world *w)
{
  struct proc *p = &w->procs[roll (w, 0, PROCS - 1)];
  struct target *t = &w->targets[roll (w, 0, DOMAINS - 1)][roll (w, 0, TARGETS - 1)];

  switch (roll (w, 0, 6))
    {
    case 0:
      if (p->up)
        {
          crash_proc (p);
          later (w, roll (w, 100, 6000), -1, restart, p);
        }
      break;
    case 1:
      if (p->up && p->paused_until == 0)
        {
          p->paused_until = w->now + roll (w, 200, 15000);
          note (w, "p%d pauses until %" PRId64, p->index, p->paused_until);
        }
      break;
    case 2:
      t->dead = true;
      kill_target (t);
      later (w, roll (w, 500, 15000), -1, mend_target, t);
      break;
    case 3:
      note (w, "%s falls silent", t->name.data);
      t->silent = true;
      later (w, roll (w, 500, 15000), -1, mend_target, t);
      break;
    case 4:
      t->failing = true;
      later (w, roll (w, 500, 5000), -1, mend_target, t);
      break;
    case 5:
      note (w, "table down");
      w->table_down = true;
      later (w, roll (w, 500, 20000), -1, mend_table, NULL);
      break;
    case 6:
      note (w, "table loses answers");
      w->table_loses = true;
      later (w, roll (w, 500, 8000), -1, mend_table, NULL);
      break;
    }
}

/* --- callers --- */

static struct seat *
find_owner (struct world *w, int domain)
{
  for (int i = 0; i < PROCS; i++)
    if (w->procs[i].up && w->procs[i].paused_until == 0 && w->procs[i].seats[domain].loaded
        && w->procs[i].seats[domain].core != NULL)
      return &w->procs[i].seats[domain];
  return NULL;
}

static uint64_t
new_handle (struct world *w, const char *name)
{
  uint64_t handle = ++w->last_handle;

  g_hash_table_insert (w->handles, g_memdup2 (&handle, sizeof handle), g_strdup (name));
  return handle;
}

static void
send_request (struct world *w)
{
  struct seat *seat = find_owner (w, roll (w, 0, DOMAINS - 1));
  int team = roll (w, 0, TEAMS - 1);
  bool again = w->last_id > 0 && chance (w, 150);
  int64_t id = again ? w->last_id : ++w->last_id;
  bool repeatable = id % 2 == 0;
  struct fl_name team_name = fl_name_format ("t%d", (int)(id % TEAMS));
  struct fl_request_spec spec = { .id = fl_name_format ("r%" PRId64, id),
                                  .queue = fl_name_format ("q%d", (int)(id % TEAMS)),
                                  .repeatable = repeatable,
                                  .timeout_ms = roll (w, 50, 3000) };
  g_autofree char *name = g_strdup_printf ("%s/%s", team_name.data, spec.id.data);
  struct asked *asked = g_hash_table_lookup (w->asked, name);

  (void)team;
  if (seat == NULL)
    return;
  if (asked == NULL)
    {
      asked = g_new0 (struct asked, 1);
      asked->repeatable = repeatable;
      g_hash_table_insert (w->asked, g_strdup (name), asked);
    }
  /* A second try under the same id may run even though the first was told "not_run". */
  asked->attempts++;
  asked->not_run = false;
  fl_domain_request (seat->core, new_handle (w, name), &team_name, &spec, local_now (seat->proc));
}

static void
send_job (struct world *w)
{
  struct seat *seat = find_owner (w, roll (w, 0, DOMAINS - 1));
  int team = roll (w, 0, TEAMS - 1);
  char kind = "gbbu"[roll (w, 0, 3)];
  bool gang = kind == 'g';
  struct fl_name team_name = fl_name_format ("t%d", team);
  struct fl_job_spec spec = { .id = fl_name_format ("j%" PRId64, ++w->last_id),
                              .queue = fl_name_format ("%c%d", kind, team),
                              .tasks = gang ? roll (w, 2, 3) : roll (w, 1, 6),
                              .demand = { { roll (w, 1, 4) * 500, roll (w, 1, 8) * 100, 0, 0 } },
                              .attempts = 100,
                              .checkpointable = chance (w, 500) };
  g_autofree char *key = g_strdup_printf ("%s/%s", team_name.data, spec.id.data);
  struct wanted_job *job = g_new0 (struct wanted_job, 1);

  if (seat == NULL)
    {
      g_free (job);
      return;
    }
  job->key = fl_name_of (key);
  job->tasks = spec.tasks;
  g_hash_table_insert (w->jobs, g_strdup (key), job);
  fl_domain_submit (seat->core, new_handle (w, key), &team_name, &spec, local_now (seat->proc));
}

static void
cancel_some_job (struct world *w)
{
  GHashTableIter iter;
  struct wanted_job *job;
  char *key;
  struct seat *seat = find_owner (w, roll (w, 0, DOMAINS - 1));

  if (seat == NULL)
    return;
  g_hash_table_iter_init (&iter, w->jobs);
  while (g_hash_table_iter_next (&iter, (void **)&key, (void **)&job))
    if (job->accepted && !job->cancelled && chance (w, 100))
      {
        g_auto (GStrv) parts = g_strsplit (key, "/", 2);
        struct fl_name team = fl_name_of (parts[0]);
        struct fl_name id = fl_name_of (parts[1]);
        job->refused = true; /* from here on it may end either way */
        fl_domain_cancel (seat->core, new_handle (w, key), &team, &id, local_now (seat->proc));
        return;
      }
}

static void
act (struct world *w, void *data)
{
  (void)data;
  if (!w->healing)
    {
      int what = roll (w, 0, 99);
      if (what < 70)
        send_request (w);
      else if (what < 90)
        send_job (w);
      else if (what < 93)
        cancel_some_job (w);
      else if (what < 96)
        make_fault (w);
    }
  later (w, roll (w, 5, 80), -1, act, NULL);
}

static void
let_leases_lapse (struct world *w, void *data)
{
  (void)data;
  for (int d = 0; d < DOMAINS; d++)
    for (int i = 0; i < TARGETS; i++)
      lapse_tasks (&w->targets[d][i]);
  later (w, 10, -1, let_leases_lapse, NULL);
}

/* --- checks after each step --- */

static void
check_owners (struct world *w)
{
  for (int d = 0; d < DOMAINS; d++)
    {
      int acting = 0;
      for (int i = 0; i < PROCS; i++)
        {
          struct proc *p = &w->procs[i];
          acting += p->up && p->paused_until == 0
                    && fl_lease_authority_ms (&p->seats[d].lease) > local_now (p);
        }
      if (acting > 1)
        violate (w, "two schedulers hold authority over one domain");
    }
}

/* --- the run --- */

static int
compare_keys (const void *a, const void *b, void *context)
{
  (void)context;
  return strcmp (a, b);
}

static void
row_free (void *data)
{
  struct table_row *row = data;

  json_decref (row->value);
  g_free (row);
}

static void
make_config (struct world *w)
{
  json_t *ticket = json_pack ("{s:i,s:[],s:[],s:[{s:s,s:s,s:i,s:{s:i,s:i}}]}", "number", 1, "teams",
                              "queues", "services", "name", "svc", "team", "t2", "replicas", 3,
                              "demand", "cpu_milli", 500, "memory_mb", 100);
  struct fl_ticket parsed;
  struct fl_problems problems = { 0 };

  for (int t = 0; t < TEAMS; t++)
    {
      g_autofree char *team = g_strdup_printf ("t%d", t);
      json_array_append_new (json_object_get (ticket, "teams"),
                             json_pack ("{s:s,s:i,s:I}", "name", team, "share", t + 1, "limit",
                                        (json_int_t)limits[t]));
      for (const char *kind = "qbgu"; *kind != '\0'; kind++)
        {
          g_autofree char *name = g_strdup_printf ("%c%d", *kind, t);
          json_array_append_new (
              json_object_get (ticket, "queues"),
              json_pack ("{s:s,s:s,s:s,s:s}", "name", name, "team", team, "kind",
                         *kind == 'q' ? "request" : (*kind == 'g' ? "gang" : "batch"), "priority",
                         *kind == 'u' ? "urgent" : "normal"));
        }
    }
  struct fl_str text = fl_json_text (ticket);
  bool ok = fl_ticket_read (text.data, text.len, &parsed, &problems);
  g_assert (ok);
  w->config = fl_config_new ();
  fl_config_apply (w->config, &parsed);
  fl_ticket_clear (&parsed);
  fl_str_clear (&text);
  json_decref (ticket);
}

static void
make_targets (struct world *w)
{
  for (int d = 0; d < DOMAINS; d++)
    for (int i = 0; i < TARGETS; i++)
      {
        struct target *t = &w->targets[d][i];
        t->world = w;
        t->domain = d;
        t->index = i;
        t->name = fl_name_format ("d%d-w%d", d, i);
        t->instance = fl_name_format ("%s.0", t->name.data);
        t->capacity = (struct fl_resources){ { 4000, 2000, 0, 3 } };
        t->runs = g_hash_table_new (fl_name_hash, fl_name_equal);
        t->tombstones = g_hash_table_new_full (fl_name_hash, fl_name_equal, g_free, NULL);
        t->events = g_array_new (FALSE, FALSE, sizeof (struct fl_task_event));
      }
}

static void
make_world (struct world *w, uint32_t seed)
{
  w->random = g_rand_new_with_seed (seed);
  w->queue = g_sequence_new (NULL);
  w->rows = g_tree_new_full (compare_keys, NULL, g_free, row_free);
  w->executed = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  w->done = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  w->asked = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  w->jobs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  w->deaths = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  w->handles = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  for (int d = 0; d < DOMAINS; d++)
    w->domain_names[d] = fl_name_format ("d%d", d);
  make_config (w);
  make_targets (w);
  for (int t = 0; t < TEAMS; t++)
    {
      struct table_row *row = g_new0 (struct table_row, 1);
      row->version = ++w->last_version;
      row->value = json_pack ("{s:{s:I,s:I}}", "amounts", "d0", (json_int_t)(limits[t] / 2), "d1",
                              (json_int_t)(limits[t] - limits[t] / 2));
      g_tree_replace (w->rows, g_strdup_printf ("allot/t%d", t), row);
    }
  for (int i = 0; i < PROCS; i++)
    {
      struct proc *p = &w->procs[i];
      p->world = w;
      p->index = i;
      p->table = (struct fl_table){ p, table_commit, table_get, table_scan };
      start_proc (p);
      later (w, roll (w, 1, TICK_MS), i, tick, p);
    }
  later (w, 6000, -1, act, NULL);
  later (w, 10, -1, let_leases_lapse, NULL);
}

static void
step (struct world *w)
{
  GSequenceIter *first = g_sequence_get_begin_iter (w->queue);
  struct event *event = g_sequence_get (first);
  struct proc *p = event->proc >= 0 ? &w->procs[event->proc] : NULL;

  g_sequence_remove (first);
  w->now = MAX (w->now, event->at);
  w->steps++;
  for (int i = 0; i < PROCS; i++)
    if (w->procs[i].paused_until != 0 && w->now >= w->procs[i].paused_until)
      w->procs[i].paused_until = 0;
  if (p != NULL && p->paused_until != 0)
    {
      event->at = p->paused_until;
      g_sequence_insert_sorted (w->queue, event, compare_events, NULL);
      return;
    }
  event->fire (w, event->data);
  g_free (event);
  check_owners (w);
}

static void
heal (struct world *w)
{
  w->healing = true;
  mend_table (w, NULL);
  for (int d = 0; d < DOMAINS; d++)
    for (int i = 0; i < TARGETS; i++)
      mend_target (w, &w->targets[d][i]);
  for (int i = 0; i < PROCS; i++)
    w->procs[i].paused_until = 0;
}

/* Once all is mended, every job that was accepted and not cancelled has run each of its tasks.
 * @return how many tasks have not. */
static int
count_undone (struct world *w, bool tell)
{
  GHashTableIter iter;
  struct wanted_job *job;
  int undone = 0;

  g_hash_table_iter_init (&iter, w->jobs);
  while (g_hash_table_iter_next (&iter, NULL, (void **)&job))
    for (int64_t i = 0; job->accepted && !job->refused && i < job->tasks; i++)
      {
        g_autofree char *logical = g_strdup_printf ("%s/%" PRIx64, job->key.data, i);
        if (count_of (w->done, logical) > 0)
          continue;
        undone++;
        if (tell)
          note (w, "never done: %s", logical);
      }
  return undone;
}

/* What still waits, for the trace of a job that was lost. */
static void
note_state (struct world *w)
{
  for (int i = 0; i < PROCS; i++)
    for (int d = 0; d < DOMAINS; d++)
      {
        const struct seat *seat = &w->procs[i].seats[d];
        struct fl_team_usage usage[TEAMS] = { 0 };
        note (w, "p%d d%d: %s, %s", i, d, fl_lease_state_names[seat->lease.state],
              seat->loaded ? "serves" : "idle");
        if (seat->core == NULL)
          continue;
        fl_domain_each_team (seat->core, note_usage, usage);
        for (int t = 0; t < TEAMS; t++)
          note (w, "  t%d allotment %" PRId64 " running %" PRId64 " waiting %" PRId64 "%s", t,
                usage[t].allotment, usage[t].running, usage[t].waiting,
                usage[t].stuck ? " stuck" : "");
      }
}

bool
fuzz_cell_run (uint32_t seed,
               int64_t steps,
               enum fuzz_mutation mutation,
               struct fuzz_report *report)
{
  struct world *w = g_new0 (struct world, 1);

  w->mutation = mutation;
  make_world (w, seed);
  while (w->steps < steps && w->violation == NULL)
    step (w);
  heal (w);
  int64_t end = w->now + HEAL_MS;
  int64_t check = w->now + HEAL_CHECK_MS;
  while (w->now < end && w->violation == NULL)
    {
      step (w);
      if (w->now < check)
        continue;
      check = w->now + HEAL_CHECK_MS;
      if (count_undone (w, false) == 0)
        break;
    }
  if (w->violation != NULL)
    note_state (w);
  else if (count_undone (w, true) > 0)
    {
      note_state (w);
      violate (w, "an accepted job was lost");
    }
  report->steps = w->steps;
  report->virtual_ms = w->now;
  report->requests = (int64_t)g_hash_table_size (w->asked);
  report->gifts = w->gifts;
  report->jobs = (int64_t)g_hash_table_size (w->jobs);
  memcpy (report->answers, w->answers, sizeof report->answers);
  report->violation = w->violation;
  if (w->violation != NULL && mutation == FUZZ_NONE)
    for (int64_t i = MAX (w->trace_count - TRACE_LINES, 0); i < w->trace_count; i++)
      printf ("  %s\n", w->trace[i % TRACE_LINES]);
  /* The world is left to the end of the process: what is open refers to it. */
  return w->violation == NULL;
}
