/* Exhaustive walk of the ownership rules for a small case: two schedulers that want one domain,
 * three voters (the two and a third process), one table row.
 *
 * Every order of steps, deliveries and losses within the budgets is tried up to a horizon of ticks;
 * states that were seen are not walked again. At each state at most one scheduler may hold
 * authority. Each mutation of the rules must lead to a state where two do.
 */
#include <inttypes.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>
#include <xxhash.h>

#include "lease/lease.h"

enum
{
  TAKERS = 2,
  VOTERS = 3,
  TRACE_MAX = 400
};

/* A call of a scheduler to the table. */
struct store_call
{
  bool open;
  bool applied;
  enum fl_lease_want kind;
  bool insert;
  int64_t version;
  int64_t sent_ms;
  struct fl_owner_row row;   /* to write, or what was read */
  enum fl_cas_result result; /* once applied */
  int64_t new_version;
};

/* A question to a voter, then its answer. */
struct vote_call
{
  bool open;
  bool answered;
  bool granted;
  bool support;
  int64_t epoch;
  int64_t asked_ms;
};

struct budgets
{
  int pauses;   /* a scheduler may stand still once for any time */
  int lost;     /* answers of the table that are lost after the write took effect */
  int orphans;  /* writes that time out at the caller and take effect later */
  int cuts;     /* a scheduler may lose the table for good */
  int restarts; /* the third voter may restart */
  int delays;   /* messages that arrive a tick later than they could, or never */
};

struct world
{
  int64_t now;
  struct fl_owner_row row;
  struct fl_lease leases[TAKERS];
  struct fl_voter voters[VOTERS];
  struct store_call calls[TAKERS];
  struct store_call orphan;
  struct vote_call votes[TAKERS][VOTERS];
  bool paused[TAKERS];
  bool cut[TAKERS];
  struct budgets left;
  int slot; /* of the tick: earlier ones are over */
};

/* Links between schedulers and voters that are down for the whole walk. */
enum partition
{
  PARTITION_NONE,
  PARTITION_PAIR, /* the two schedulers do not hear each other */
  PARTITION_OWNER /* the owner hears no other voter */
};

struct walk
{
  struct fl_lease_rules rules;
  enum partition partition;
  int64_t horizon;
  struct fl_name names[VOTERS];
  struct fl_voters all;
  GHashTable *seen; /* set of 64-bit hashes */
  int64_t states;
  bool violated;
  char trace[TRACE_MAX][48];
  int depth;
};

/* --- a state as bytes --- */

static void
put (GByteArray *out, int64_t value)
{
  int8_t byte = (int8_t)CLAMP (value, -100, 100);

  g_byte_array_append (out, (const guint8 *)&byte, 1);
}

static int
index_of (const struct walk *walk, const struct fl_name *name)
{
  for (int i = 0; i < VOTERS; i++)
    if (fl_name_eq (&walk->names[i], name))
      return i;
  return -1;
}

static void
put_voters (const struct walk *walk, GByteArray *out, const struct fl_voters *voters)
{
  int mask = 0;

  for (int i = 0; i < voters->count; i++)
    mask |= 1 << index_of (walk, &voters->names[i]);
  put (out, mask);
}

static void
put_row (const struct walk *walk, GByteArray *out, const struct fl_owner_row *row)
{
  put (out, row->exists);
  put (out, row->version);
  put (out, row->epoch);
  put (out, index_of (walk, &row->owner));
  put_voters (walk, out, &row->voters);
}

static void
put_lease (const struct walk *walk, GByteArray *out, const struct fl_lease *lease, int64_t now)
{
  /* What lies further back than the longest interval makes no difference. */
  int64_t past = -2 * walk->rules.lease_ms;
  int64_t votes[VOTERS] = { past, past, past };

  put (out, lease->state);
  put_row (walk, out, &lease->row);
  put (out, MAX (lease->row_seen_ms - now, past));
  put (out, lease->row_known);
  put_voters (walk, out, &lease->replaced);
  put (out, lease->needs_support);
  put_voters (walk, out, &lease->pending);
  put (out, lease->has_pending);
  put (out, MAX (lease->store_until_ms - now, past));
  put (out, lease->call_open);
  put (out, lease->reading);
  put (out, lease->renewal_unsettled);
  put (out, MAX (lease->last_call_ms - now, past));
  put (out, MAX (lease->last_ask_ms - now, past));
  for (int i = 0; i < lease->vote_count; i++)
    votes[index_of (walk, &lease->votes[i].voter)] = MAX (lease->votes[i].until_ms - now, past);
  for (int i = 0; i < VOTERS; i++)
    put (out, votes[i]);
}

static void
put_call (const struct walk *walk, GByteArray *out, const struct store_call *call, int64_t now)
{
  put (out, call->open);
  if (!call->open)
    return;
  put (out, call->applied);
  put (out, call->kind);
  put (out, call->insert);
  put (out, call->version);
  put (out, call->sent_ms - now);
  put_row (walk, out, &call->row);
  put (out, call->result);
  put (out, call->new_version);
}

static guint64
hash_world (const struct walk *walk, const struct world *w)
{
  g_autoptr (GByteArray) out = g_byte_array_sized_new (512);

  put (out, w->now);
  put (out, w->slot);
  put_row (walk, out, &w->row);
  put_call (walk, out, &w->orphan, w->now);
  for (int i = 0; i < TAKERS; i++)
    {
      put_lease (walk, out, &w->leases[i], w->now);
      put_call (walk, out, &w->calls[i], w->now);
      put (out, w->paused[i]);
      put (out, w->cut[i]);
      for (int v = 0; v < VOTERS; v++)
        {
          const struct vote_call *vote = &w->votes[i][v];
          put (out, vote->open);
          if (!vote->open)
            continue;
          put (out, vote->answered);
          put (out, vote->granted);
          put (out, vote->support);
          put (out, vote->epoch);
          put (out, vote->asked_ms - w->now);
        }
    }
  for (int v = 0; v < VOTERS; v++)
    {
      put (out, MAX (w->voters[v].started_ms - w->now, -20));
      put (out, w->voters[v].promised);
      put (out, MAX (w->voters[v].until_ms - w->now, -1));
      put (out, w->voters[v].floor);
    }
  put (out, w->left.pauses);
  put (out, w->left.lost);
  put (out, w->left.orphans);
  put (out, w->left.cuts);
  put (out, w->left.restarts);
  put (out, w->left.delays);
  return XXH3_64bits (out->data, out->len);
}

/* --- the table --- */

static void
apply_call (struct world *w, struct store_call *call)
{
  call->applied = true;
  if (call->kind == FL_LEASE_READ)
    {
      call->row = w->row;
      return;
    }
  bool holds = call->insert ? !w->row.exists : w->row.exists && w->row.version == call->version;
  call->result = holds ? FL_CAS_OK : FL_CAS_CONFLICT;
  if (!holds)
    return;
  int64_t version = w->row.version + 1;
  w->row = call->row;
  w->row.exists = true;
  w->row.version = version;
  call->new_version = version;
}

/* --- moves: each returns whether it was possible --- */

static void
step (const struct walk *walk, struct world *w, int p)
{
  struct fl_lease_plan plan;

  fl_lease_plan (&w->leases[p], &walk->all, true, w->now, &plan);
  if (plan.store != FL_LEASE_NOTHING)
    w->calls[p] = (struct store_call){ .open = true,
                                       .kind = plan.store,
                                       .insert = plan.insert,
                                       .version = plan.version,
                                       .sent_ms = w->now,
                                       .row = plan.row };
  for (int i = 0; plan.ask && i < plan.asked.count; i++)
    {
      int v = index_of (walk, &plan.asked.names[i]);
      int64_t wait_ms;
      if (v != p)
        w->votes[p][v] = (struct vote_call){
          .open = true, .support = plan.asks_support, .epoch = plan.epoch, .asked_ms = w->now
        };
      else if (plan.asks_support
                   ? fl_voter_support (&w->voters[v], &walk->rules, plan.epoch, w->now, &wait_ms)
                   : fl_voter_promise (&w->voters[v], &walk->rules, plan.epoch, w->now, &wait_ms))
        fl_lease_on_vote (&w->leases[p], &walk->names[v], plan.asks_support, plan.epoch, w->now,
                          w->now);
    }
}

/* Reads are applied when they are answered: an older read only makes a taker wait longer. */
static bool
table_applies (struct world *w, int p)
{
  struct store_call *call = &w->calls[p];

  if (!call->open || call->applied || w->cut[p] || call->kind == FL_LEASE_READ)
    return false;
  apply_call (w, call);
  return true;
}

static void
hand_answer (struct world *w, int p, enum fl_cas_result result, bool ok)
{
  struct store_call call = w->calls[p];

  w->calls[p].open = false;
  if (call.kind == FL_LEASE_READ)
    fl_lease_on_row (&w->leases[p], ok, &call.row, w->now);
  else
    fl_lease_on_written (&w->leases[p], result, &call.row, call.new_version, call.sent_ms, w->now);
}

static bool
table_answers (struct world *w, int p)
{
  if (!w->calls[p].open || w->paused[p] || w->cut[p])
    return false;
  if (w->calls[p].kind == FL_LEASE_READ)
    apply_call (w, &w->calls[p]);
  if (!w->calls[p].applied)
    return false;
  hand_answer (w, p, w->calls[p].result, true);
  return true;
}

static bool
answer_is_lost (struct world *w, int p)
{
  if (!w->calls[p].open || !w->calls[p].applied || w->paused[p] || w->left.lost == 0
      || w->calls[p].kind != FL_LEASE_WRITE)
    return false;
  w->left.lost--;
  hand_answer (w, p, FL_CAS_UNKNOWN, false);
  return true;
}

/* The caller gives up on a write that the table has not seen yet but will see. */
static bool
write_is_orphaned (struct world *w, int p)
{
  if (!w->calls[p].open || w->calls[p].applied || w->paused[p] || w->left.orphans == 0
      || w->orphan.open || w->calls[p].kind != FL_LEASE_WRITE)
    return false;
  w->left.orphans--;
  w->orphan = w->calls[p];
  hand_answer (w, p, FL_CAS_UNKNOWN, false);
  return true;
}

static bool
orphan_applies (struct world *w)
{
  if (!w->orphan.open)
    return false;
  apply_call (w, &w->orphan);
  w->orphan = (struct store_call){ 0 };
  return true;
}

static bool
cut_off (struct world *w, int p)
{
  if (w->cut[p] || w->left.cuts == 0)
    return false;
  w->left.cuts--;
  w->cut[p] = true;
  return true;
}

static bool
cut_refuses (struct world *w, int p)
{
  if (!w->cut[p] || !w->calls[p].open || w->paused[p])
    return false;
  hand_answer (w, p, w->calls[p].applied ? FL_CAS_UNKNOWN : FL_CAS_REFUSED, false);
  return true;
}

static bool
link_is_up (const struct walk *walk, int p, int v)
{
  if (walk->partition == PARTITION_OWNER)
    return p != 0;
  return walk->partition == PARTITION_NONE || v >= TAKERS;
}

static bool
voter_answers (struct walk *walk, struct world *w, int p, int v)
{
  struct vote_call *vote = &w->votes[p][v];
  int64_t wait_ms;

  if (!link_is_up (walk, p, v) || !vote->open || vote->answered || (v < TAKERS && w->paused[v]))
    return false;
  vote->answered = true;
  vote->granted
      = vote->support
            ? fl_voter_support (&w->voters[v], &walk->rules, vote->epoch, w->now, &wait_ms)
            : fl_voter_promise (&w->voters[v], &walk->rules, vote->epoch, w->now, &wait_ms);
  return true;
}

static bool
vote_arrives (struct walk *walk, struct world *w, int p, int v)
{
  struct vote_call vote = w->votes[p][v];

  if (!vote.open || !vote.answered || w->paused[p])
    return false;
  w->votes[p][v] = (struct vote_call){ 0 };
  if (vote.granted)
    fl_lease_on_vote (&w->leases[p], &walk->names[v], vote.support, vote.epoch, vote.asked_ms,
                      w->now);
  return true;
}

static bool
pause_or_resume (const struct walk *walk, struct world *w, int p)
{
  if (!w->paused[p] && w->left.pauses == 0)
    return false;
  if (!w->paused[p])
    w->left.pauses--;
  w->paused[p] = !w->paused[p];
  if (!w->paused[p])
    step (walk, w, p);
  return true;
}

static bool
restart_voter (struct world *w)
{
  if (w->left.restarts == 0)
    return false;
  w->left.restarts--;
  fl_voter_init (&w->voters[VOTERS - 1], w->now);
  return true;
}

/* Time passes, and every scheduler that runs has its turn. */
static bool
tick (const struct walk *walk, struct world *w)
{
  if (w->now >= walk->horizon)
    return false;
  w->now++;
  for (int p = 0; p < TAKERS; p++)
    if (!w->paused[p])
      step (walk, w, p);
  return true;
}

/* --- the walk --- */

static bool
has_authority (const struct world *w, int p)
{
  return !w->paused[p] && fl_lease_authority_ms (&w->leases[p]) > w->now;
}

/* What may happen within a tick, in this order; each may also stay out. Events that touch different
 * parts of the world commute, so one order of them stands for all; where the order matters (two
 * writes to the table, two questions to one voter) both stand here. */
enum move
{
  MOVE_PAUSE,
  MOVE_CUT,
  MOVE_RESTART,
  MOVE_ORPHAN,
  MOVE_APPLY,
  MOVE_REFUSE,
  MOVE_ANSWER,
  MOVE_LOSE,
  MOVE_ABANDON,
  MOVE_VOTER,
  MOVE_VOTE
};

static const struct
{
  enum move move;
  int p;
  int v;
} slots[] = {
  { MOVE_PAUSE, 0, 0 },   { MOVE_PAUSE, 1, 0 },   { MOVE_CUT, 0, 0 },    { MOVE_RESTART, 0, 2 },
  { MOVE_ORPHAN, 0, 0 },  { MOVE_APPLY, 0, 0 },   { MOVE_APPLY, 1, 0 },  { MOVE_APPLY, 0, 0 },
  { MOVE_ORPHAN, 0, 0 },  { MOVE_REFUSE, 0, 0 },  { MOVE_LOSE, 0, 0 },   { MOVE_LOSE, 1, 0 },
  { MOVE_ABANDON, 0, 0 }, { MOVE_ABANDON, 1, 0 }, { MOVE_ANSWER, 0, 0 }, { MOVE_ANSWER, 1, 0 },
  { MOVE_VOTER, 0, 1 },   { MOVE_VOTER, 1, 0 },   { MOVE_VOTER, 0, 2 },  { MOVE_VOTER, 1, 2 },
  { MOVE_VOTER, 0, 2 },   { MOVE_VOTE, 0, 1 },    { MOVE_VOTE, 0, 2 },   { MOVE_VOTE, 1, 0 },
  { MOVE_VOTE, 1, 2 },
};

static const char *const move_names[]
    = { "pause/resume",    "cut off",       "voter restarts", "orphan applies",
        "table applies",   "cut refuses",   "table answers",  "answer lost",
        "write abandoned", "voter answers", "vote arrives" };

static bool
make_move (struct walk *walk, struct world *w, enum move move, int p, int v)
{
  switch (move)
    {
    case MOVE_PAUSE:
      return pause_or_resume (walk, w, p);
    case MOVE_CUT:
      return cut_off (w, p);
    case MOVE_RESTART:
      return restart_voter (w);
    case MOVE_ORPHAN:
      return orphan_applies (w);
    case MOVE_APPLY:
      return table_applies (w, p);
    case MOVE_REFUSE:
      return cut_refuses (w, p);
    case MOVE_ANSWER:
      return table_answers (w, p);
    case MOVE_LOSE:
      return answer_is_lost (w, p);
    case MOVE_ABANDON:
      return write_is_orphaned (w, p);
    case MOVE_VOTER:
      return voter_answers (walk, w, p, v);
    case MOVE_VOTE:
      return vote_arrives (walk, w, p, v);
    }
  return false;
}

static void visit (struct walk *walk, struct world *w, const char *move, int a, int b);

/* Messages arrive as soon as they can, unless a delay is spent; all else happens or does not. */
static bool
is_message (enum move move)
{
  return move == MOVE_APPLY || move == MOVE_ANSWER || move == MOVE_VOTER || move == MOVE_VOTE
         || move == MOVE_REFUSE;
}

/* Tries every choice from @w on to the end of the tick, and the next tick. */
static void
expand (struct walk *walk, struct world *w)
{
  for (int slot = w->slot; slot < (int)G_N_ELEMENTS (slots) && !walk->violated; slot++)
    {
      struct world next = *w;
      if (!make_move (walk, &next, slots[slot].move, slots[slot].p, slots[slot].v))
        continue;
      next.slot = slot + 1;
      visit (walk, &next, move_names[slots[slot].move], slots[slot].p, slots[slot].v);
      if (!is_message (slots[slot].move))
        continue;
      if (w->left.delays == 0)
        return;
      w->left.delays--;
    }
  w->slot = 0;
  if (!walk->violated && tick (walk, w))
    visit (walk, w, "tick", 0, 0);
}

static void
visit (struct walk *walk, struct world *w, const char *move, int a, int b)
{
  guint64 hash = hash_world (walk, w);

  if (!g_hash_table_add (walk->seen, g_memdup2 (&hash, sizeof hash)))
    return;
  walk->states++;
  g_assert (walk->depth < TRACE_MAX);
  g_snprintf (walk->trace[walk->depth++], sizeof walk->trace[0], "%" PRId64 " %s %d %d", w->now,
              move, a, b);
  if (has_authority (w, 0) && has_authority (w, 1))
    walk->violated = true;
  else
    expand (walk, w);
  if (!walk->violated)
    walk->depth--;
}

static void
run_walk (struct walk *walk, const struct budgets *budgets)
{
  static struct world start;

  memset (&start, 0, sizeof start);
  walk->seen = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  walk->all.count = VOTERS;
  for (int i = 0; i < VOTERS; i++)
    {
      walk->names[i] = fl_name_format ("m%d", i);
      walk->all.names[i] = walk->names[i];
      fl_voter_init (&start.voters[i], -100);
    }
  start.left = *budgets;
  for (int p = 0; p < TAKERS; p++)
    fl_lease_init (&start.leases[p], &walk->rules, &walk->names[p], 0);
  /* Scheduler 0 has just taken the domain; its votes are still to come. */
  start.row = (struct fl_owner_row){
    .exists = true, .version = 1, .epoch = 1, .owner = walk->names[0], .voters = walk->all
  };
  start.leases[0].state = FL_LEASE_HOLDING;
  start.leases[0].row = start.row;
  start.leases[0].row_known = true;
  start.leases[0].store_until_ms = walk->rules.lease_ms;
  visit (walk, &start, "start", 0, 0);
  g_hash_table_destroy (walk->seen);
}

/* --- cases --- */

struct walk_case
{
  const char *name;
  struct budgets budgets;
  enum partition partition;
  int64_t horizon;
  int64_t lease_ms;
  void (*mutate) (struct fl_lease_rules *rules);
  bool violates;
};

static void
mutate_no_wait (struct fl_lease_rules *rules)
{
  rules->mutate_no_wait = true;
}

static void
mutate_no_support (struct fl_lease_rules *rules)
{
  rules->mutate_no_support = true;
}

static void
mutate_resume (struct fl_lease_rules *rules)
{
  rules->mutate_resume = true;
}

static void
mutate_forget (struct fl_lease_rules *rules)
{
  rules->mutate_forget = true;
}

static const struct walk_case cases[] = {
  { "a pause and a lost answer", { .pauses = 1, .lost = 1, .delays = 2 }, 0, 9, 2, NULL, false },
  { "cut off from the table", { .cuts = 1, .delays = 3 }, 0, 9, 2, NULL, false },
  { "cut off, and a pause", { .cuts = 1, .pauses = 1, .delays = 2 }, 0, 9, 2, NULL, false },
  { "cut off, a voter restarts", { .cuts = 1, .restarts = 1, .delays = 2 }, 0, 11, 2, NULL, false },
  { "a write that lands late", { .orphans = 1, .pauses = 1, .delays = 2 }, 0, 8, 2, NULL, false },
  { "schedulers apart",
    { .cuts = 1, .restarts = 1, .delays = 2 },
    PARTITION_PAIR,
    11,
    2,
    NULL,
    false },
  { "schedulers apart, a pause",
    { .cuts = 1, .pauses = 1, .delays = 2 },
    PARTITION_PAIR,
    10,
    2,
    NULL,
    false },
  { "owner without votes",
    { .pauses = 1, .lost = 1, .delays = 2 },
    PARTITION_OWNER,
    9,
    2,
    NULL,
    false },
  { "owner without votes, longer lease",
    { .lost = 1, .delays = 2 },
    PARTITION_OWNER,
    9,
    3,
    NULL,
    false },
  { "mutation: no wait", { .delays = 2 }, PARTITION_OWNER, 5, 3, mutate_no_wait, true },
  { "mutation: no support", { .cuts = 1, .delays = 2 }, 0, 9, 2, mutate_no_support, true },
  { "mutation: promises revive",
    { .cuts = 1, .restarts = 1, .delays = 2 },
    PARTITION_PAIR,
    12,
    2,
    mutate_resume,
    true },
  { "mutation: votes after start",
    { .cuts = 1, .restarts = 1, .delays = 2 },
    PARTITION_PAIR,
    9,
    2,
    mutate_forget,
    true },
};

static void
print_trace (const struct walk *walk)
{
  for (int i = 0; i < walk->depth; i++)
    print_message ("    %s\n", walk->trace[i]);
}

static void
test_walk (void **state)
{
  const struct walk_case *c = *state;
  struct walk *walk = g_new0 (struct walk, 1);

  walk->rules = (struct fl_lease_rules){ .lease_ms = c->lease_ms,
                                         .promise_ms = 2,
                                         .renew_ms = 1,
                                         .poll_ms = 1,
                                         .delivery_ms = 0,
                                         .outage_max_ms = 1000,
                                         .drift_ppm = 0 };
  walk->horizon = c->horizon;
  walk->partition = c->partition;
  if (c->mutate != NULL)
    c->mutate (&walk->rules);
  run_walk (walk, &c->budgets);
  print_message ("  %s: %" PRId64 " states, %s\n", c->name, walk->states,
                 walk->violated ? "two owners" : "never two owners");
  if (walk->violated != c->violates)
    print_trace (walk);
  bool violated = walk->violated;
  g_free (walk);
  assert_int_equal (violated, c->violates);
}

int
main (void)
{
  struct CMUnitTest tests[G_N_ELEMENTS (cases)];

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    tests[i] = (struct CMUnitTest){ cases[i].name, test_walk, NULL, NULL, (void *)&cases[i] };
  return cmocka_run_group_tests_name ("lease_walk", tests, NULL, NULL);
}
