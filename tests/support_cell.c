#include "support_cell.h"
#include "support_target.h"

#include <stdio.h>
#include <string.h>

#include <glib.h>

/* The protocol's bounds. */
#define STOP_MAX_MS 900
#define TICKET_VALID_MS 2500
/* The owner's constants that matter here: lib/poold/ownership.c. */
#define LEASE_MS 1500
#define TAKE_AFTER_MS 1540
#define RENEW_MS 300
#define HOLD_ON_MS 3000
#define TASK_LEASE_MS 4500
#define TICK_MS 25
#define ORDER_TIMEOUT_MS 700
/* After the faults everything accepted has to end within this. */
#define FINISH_MS 60000
#define ATTEMPTS 3

struct cell;

/* --- events --- */

struct event
{
  int64_t at_ms;
  int64_t number;
  void (*run) (struct cell *cell, void *data);
  void *data;
};

/* --- targets --- */

struct fake_target
{
  struct cell *cell;
  int index;
  int boot;
  struct fl_name id;
  struct fl_name address;
  struct fl_room room;
  bool up;
  bool draining;
  int64_t cut_until_ms; /* no owner reaches it */
  struct target_state state;
  GArray *waiting; /* struct hold_call *, holds that wait for an end */
};

/* --- jobs --- */

struct fake_job
{
  struct fl_name id;
  struct fl_str spec; /* encoded */
  int64_t version;
  int steps;
  int tasks;
  int team;
  struct fl_room room;
  bool cancelled;
  struct fl_str progress; /* as stored */
  bool over;              /* it shows a final state */
};

/* What the targets have shown of one task. */
struct fake_task
{
  int step;
  bool done;       /* a run ended done */
  bool done_noted; /* and that end was forgotten on the owner's word */
  int failures;
  int failures_noted;
  bool over_budget; /* started after as many failures as it may have */
};

/* --- owners --- */

struct owner
{
  struct cell *cell;
  struct fl_core *core;
  int64_t token;
  int64_t authority_until_ms;
  int64_t frozen_until_ms;
  int64_t cut_until_ms; /* from the store */
  int64_t renewed_ms;
  int64_t version_seen; /* jobs up to here are known */
  bool dead;
  bool records_open;
  bool targets_open;
  GHashTable *held;
};

struct cell
{
  struct cell_options options;
  GRand *random;
  int64_t now_ms;
  GSequence *events;
  int64_t event_count;
  GPtrArray *targets; /* struct fake_target */
  GPtrArray *jobs;    /* struct fake_job */
  GHashTable *job_by_id;
  GHashTable *tasks; /* name -> struct fake_task */
  GPtrArray *owners; /* struct owner; the last is the newest */
  int64_t version;
  int64_t lease_version_ms; /* when the lease row was written last */
  int64_t owner_token;      /* of the owner row */
  GArray *recorded_targets; /* struct fl_name pairs */
  struct fl_configuration *configuration;
  struct fl_stats *stats;
  struct fl_log log;
  int orders;  /* starts and stops sent so far */
  int commits; /* records that reached the store so far */
  struct cell_result result;
};

static int64_t
pick (struct cell *cell, int64_t from, int64_t to)
{
  return from + (int64_t)(g_rand_double (cell->random) * (double)(to - from + 1));
}

static bool
happens (struct cell *cell, int per_mille)
{
  return pick (cell, 0, 999) < per_mille;
}

static bool
faults_on (const struct cell *cell)
{
  return cell->now_ms < cell->options.length_ms;
}

static void
broken (struct cell *cell, const char *rule, const struct fl_name *what)
{
  if (cell->result.broken[0] == '\0')
    snprintf (cell->result.broken, sizeof cell->result.broken, "%s at %d ms: %s", rule,
              (int)cell->now_ms, what->data);
}

/* Whether a scripted fault of @kind strikes at place @at. */
static bool
strikes (const struct cell *cell, enum cell_strike_kind kind, int at)
{
  for (size_t i = 0; i < cell->options.strike_count; i++)
    if (cell->options.strikes[i].kind == kind && cell->options.strikes[i].at == at)
      return true;
  return false;
}

static void
trace (const struct cell *cell,
       const char *what,
       const struct fl_name *task,
       int64_t run,
       const struct fl_name *where)
{
  if (cell->options.trace != NULL && g_str_has_prefix (task->data, cell->options.trace))
    printf ("%6d %s %s run %d at %s\n", (int)cell->now_ms, what, task->data, (int)run, where->data);
}

static gint
compare_events (gconstpointer a, gconstpointer b, gpointer context)
{
  const struct event *x = a;
  const struct event *y = b;

  (void)context;
  if (x->at_ms != y->at_ms)
    return x->at_ms < y->at_ms ? -1 : 1;
  return x->number < y->number ? -1 : x->number > y->number;
}

static void
after (struct cell *cell, int64_t delay_ms, void (*run) (struct cell *cell, void *data), void *data)
{
  struct event *event = g_new0 (struct event, 1);

  *event = (struct event){ cell->now_ms + delay_ms, cell->event_count++, run, data };
  g_sequence_insert_sorted (cell->events, event, compare_events, NULL);
}

/* --- targets --- */

static struct fl_name
target_id (int index, int boot)
{
  return fl_name_format ("t%d-%d", index, boot);
}

static struct fake_job *
job_of_task (const struct cell *cell, const struct fl_name *task)
{
  struct fl_name id = fl_name_make (task->data, strcspn (task->data, "."));

  return g_hash_table_lookup (cell->job_by_id, &id);
}

static struct fake_task *
task_get (struct cell *cell, const struct fl_name *name)
{
  struct fake_task *task = g_hash_table_lookup (cell->tasks, name);

  if (task == NULL)
    {
      int step = 0;
      int index;
      task = g_new0 (struct fake_task, 1);
      if (sscanf (name->data + strcspn (name->data, "."), ".0.%d.%d", &step, &index) == 2)
        task->step = step;
      g_hash_table_insert (cell->tasks, g_memdup2 (name, sizeof *name), task);
    }
  return task;
}

static void answer_waiting (struct cell *cell, struct fake_target *target);

static void
on_run_ends (void *context, const struct target_end *end)
{
  static const char *const causes[] = { "done", "failed", "stopped", "lapsed" };
  struct fake_target *target = context;
  struct cell *cell = target->cell;

  trace (cell, causes[end->cause], &end->task, end->run, &target->id);
  if (end->cause == FL_END_DONE)
    task_get (cell, &end->task)->done = true;
  if (end->cause == FL_END_FAILED)
    task_get (cell, &end->task)->failures++;
  if (end->cause == FL_END_LAPSED)
    cell->result.lost_runs++;
}

static void
on_end_forgotten (void *context, const struct target_end *end)
{
  struct fake_target *target = context;
  struct fake_task *task = task_get (target->cell, &end->task);

  if (end->cause == FL_END_FAILED)
    task->failures_noted++;
  if (task->failures_noted >= ATTEMPTS && task->over_budget)
    broken (target->cell, "BUDGET (failures noted later)", &end->task);
  if (end->cause != FL_END_DONE || end->stale)
    return;
  if (end->restarted)
    broken (target->cell, "TWICE (started after a noted end)", &end->task);
  task->done_noted = true;
}

static void
target_advance (struct cell *cell, struct fake_target *target)
{
  if (target->up && target_state_advance (&target->state, cell->now_ms))
    answer_waiting (cell, target);
}

static void
target_lose_all (struct cell *cell, struct fake_target *target)
{
  cell->result.lost_runs += target->state.runs->len;
  target_state_restart (&target->state, cell->now_ms);
  target->boot++;
}

static struct fl_name
ticket_of (const struct fl_name *task, const struct fake_target *target)
{
  const char *index = strrchr (task->data, '.');
  struct fl_name step = fl_name_make (task->data, (size_t)(index - task->data));

  return fl_name_format ("%s/%s/%d", step.data, target->id.data, target->boot);
}

/* Six of ten targets are good for a step, and one at least. */
static bool
is_good (const struct cell *cell, const struct fl_name *step, const struct fake_target *target)
{
  guint hash = fl_name_hash (step);

  return (int)(hash % cell->targets->len) == target->index
         || (hash * 31 + fl_name_hash (&target->id)) % 10 < 6;
}

/* --- rules, checked at each start --- */

static int64_t
running_elsewhere (const struct cell *cell,
                   const struct fl_name *task,
                   struct fl_room *team_used,
                   int team)
{
  int64_t count = 0;

  *team_used = (struct fl_room){ 0 };
  for (guint i = 0; i < cell->targets->len; i++)
    {
      const struct fake_target *target = g_ptr_array_index (cell->targets, i);
      for (guint j = 0; target->up && j < target->state.runs->len; j++)
        {
          const struct target_run *run = &g_array_index (target->state.runs, struct target_run, j);
          count += fl_name_eq (&run->task, task) ? 1 : 0;
          const struct fake_job *job = job_of_task (cell, &run->task);
          if (job != NULL && job->team == team)
            team_used->cpu_milli += job->room.cpu_milli;
        }
    }
  return count;
}

static bool
earlier_steps_done (struct cell *cell, const struct fake_job *job, int step)
{
  for (int i = 0; i < job->tasks && step > 0; i++)
    {
      struct fl_name name = fl_name_format ("%s.0.%d.%d", job->id.data, step - 1, i);
      if (!task_get (cell, &name)->done)
        return false;
    }
  return true;
}

/* Marks the ends of @task that no owner has forgotten yet. */
static void
mark_restarted (struct cell *cell, const struct fl_name *task)
{
  for (guint i = 0; i < cell->targets->len; i++)
    {
      struct fake_target *target = g_ptr_array_index (cell->targets, i);
      for (guint j = 0; j < target->state.ends->len; j++)
        {
          struct target_end *end = &g_array_index (target->state.ends, struct target_end, j);
          end->restarted = end->restarted || fl_name_eq (&end->task, task);
        }
    }
}

static void
on_run_starts (void *context, const struct fl_start_order *order)
{
  const struct fake_target *target = context;
  struct cell *cell = target->cell;
  struct fake_job *job = job_of_task (cell, &order->task);
  struct fake_task *task = task_get (cell, &order->task);
  struct fl_room team_used;
  int64_t used = 0;

  if (job == NULL)
    {
      broken (cell, "UNASKED", &order->task);
      return;
    }
  cell->result.starts++;
  for (guint i = 0; i < target->state.runs->len; i++)
    {
      const struct fake_job *other
          = job_of_task (cell, &g_array_index (target->state.runs, struct target_run, i).task);
      used += other != NULL ? other->room.cpu_milli : 0;
    }
  if (used + job->room.cpu_milli > target->room.cpu_milli)
    broken (cell, "LIMIT", &order->task);
  if (running_elsewhere (cell, &order->task, &team_used, job->team) > 0 || task->done_noted)
    broken (cell, "TWICE", &order->task);
  mark_restarted (cell, &order->task);
  if (!earlier_steps_done (cell, job, task->step))
    broken (cell, "ORDER", &order->task);
  task->over_budget = task->over_budget || task->failures >= ATTEMPTS;
  if (task->failures_noted >= ATTEMPTS)
    broken (cell, "BUDGET", &order->task);
  const struct fl_team_terms *terms = fl_configuration_team (
      cell->configuration, &(struct fl_name){ .len = 2, .data = { 'w', (char)('0' + job->team) } });
  /* The rule: not above the cap and the permitted tenth, and one task more. */
  if (terms->cap.cpu_milli > 0 && team_used.cpu_milli > terms->cap.cpu_milli * 11 / 10)
    broken (cell, "QUOTA", &order->task);
}

/* --- orders at targets --- */

static struct fake_target *
target_new (struct cell *cell, int index)
{
  struct fake_target *target = g_new0 (struct fake_target, 1);

  target->cell = cell;
  target->index = index;
  target->id = target_id (index, 0);
  target->address = fl_name_format ("10.0.0.%d:1", index);
  target->room = (struct fl_room){ 8000 * pick (cell, 1, 3), 16000, 0 };
  target->up = true;
  target_state_init (&target->state, cell->now_ms - pick (cell, 0, 100000),
                     1.0 - 0.0002 * (double)pick (cell, 0, 100));
  target->state.observer
      = (struct target_observer){ on_run_starts, on_run_ends, on_end_forgotten, target };
  target->waiting = g_array_new (FALSE, FALSE, sizeof (void *));
  return target;
}

static enum fl_order_result
target_start (struct cell *cell, struct fake_target *target, const struct fl_start_order *order)
{
  trace (cell, "start arrives", &order->task, order->run, &target->id);
  if (!fl_name_eq (&target->id, &order->target))
    return FL_ORDER_OTHER_BOOT;
  if (cell->options.advice && strcmp (order->ticket, ticket_of (&order->task, target).data) != 0)
    return FL_ORDER_NO_TICKET;
  return target_state_start (&target->state, cell->now_ms, order, pick (cell, 100, 4000),
                             happens (cell, cell->options.faults.task_failed));
}

static enum fl_order_result
target_stop (struct cell *cell, struct fake_target *target, const struct fl_run_order *order)
{
  trace (cell, "stop arrives", &order->task, order->run, &target->id);
  if (!fl_name_eq (&target->id, &order->target))
    return FL_ORDER_OTHER_BOOT;
  return target_state_stop (&target->state, cell->now_ms, order, pick (cell, 1, STOP_MAX_MS));
}

/* --- calls between an owner and targets --- */

enum call_kind
{
  CALL_START,
  CALL_STOP,
  CALL_HOLD
};

struct call
{
  enum call_kind kind;
  struct owner *owner;
  struct fl_start_order start;
  char *text;
  int number; /* among starts and stops */
  int boot;   /* of the target that took the order to carry it out late */
  struct fl_name ticket;
  struct fl_run_order run;
  struct fl_hold_order hold;
  struct fl_name address;
  int64_t sent_ms;
  bool answered;
  enum fl_order_result result;
  bool has_lists;
  struct fl_target_lists lists;
};

static void
call_free (struct call *call)
{
  g_free (call->text);
  target_state_lists_clear (&call->lists);
  g_free (call);
}

static struct fake_target *
target_at (const struct cell *cell, const struct fl_name *address)
{
  for (guint i = 0; i < cell->targets->len; i++)
    {
      struct fake_target *target = g_ptr_array_index (cell->targets, i);
      if (fl_name_eq (&target->address, address))
        return target;
    }
  return NULL;
}

static void owner_tick (struct owner *owner);

/* The answer, or its absence, reaches the owner. */
static void
on_call_over (struct cell *cell, void *data)
{
  struct call *call = data;
  struct owner *owner = call->owner;

  if (!owner->dead && owner->frozen_until_ms > cell->now_ms)
    {
      after (cell, owner->frozen_until_ms - cell->now_ms, on_call_over, call);
      return;
    }
  if (!owner->dead)
    {
      enum fl_order_result result = call->answered ? call->result : FL_ORDER_UNANSWERED;
      if (call->kind == CALL_START)
        fl_core_handle_start_reply (owner->core, &call->start.task, call->start.run, result,
                                    cell->now_ms);
      else if (call->kind == CALL_STOP)
        fl_core_handle_stop_reply (owner->core, &call->run.task, call->run.run, result,
                                   cell->now_ms);
      else
        {
          struct fl_order_reply reply
              = { .result = result, .lists = call->has_lists ? &call->lists : NULL };
          g_hash_table_remove (owner->held, &call->hold.target);
          fl_core_handle_heartbeat_reply (owner->core, &call->hold.target, &reply, call->sent_ms,
                                          cell->now_ms);
        }
      owner_tick (owner);
    }
  call_free (call);
}

static void
answer_hold (struct cell *cell, struct fake_target *target, struct call *call)
{
  call->answered = true;
  call->result = FL_ORDER_DONE;
  call->has_lists = true;
  target_state_lists (&target->state, cell->now_ms, &call->lists);
  after (cell, pick (cell, 1, 20), on_call_over, call);
}

static void
answer_waiting (struct cell *cell, struct fake_target *target)
{
  for (guint i = 0; i < target->waiting->len; i++)
    answer_hold (cell, target, g_array_index (target->waiting, struct call *, i));
  g_array_set_size (target->waiting, 0);
}

static void
on_wait_over (struct cell *cell, void *data)
{
  struct fake_target *target = data;

  if (target->up && target->cut_until_ms <= cell->now_ms)
    answer_waiting (cell, target);
  for (guint i = 0; i < target->waiting->len; i++)
    after (cell, ORDER_TIMEOUT_MS, on_call_over, g_array_index (target->waiting, struct call *, i));
  g_array_set_size (target->waiting, 0);
}

static void
carry_out_hold (struct cell *cell, struct fake_target *target, struct call *call)
{
  call->answered = true;
  if (!fl_name_eq (&target->id, &call->hold.target))
    call->result = FL_ORDER_OTHER_BOOT;
  else
    call->result = target_state_hold (&target->state, cell->now_ms, &call->hold);
  if (call->result == FL_ORDER_DONE && call->hold.wait_ms > 0 && target->state.ends->len == 0)
    {
      g_array_append_val (target->waiting, call);
      after (cell, call->hold.wait_ms, on_wait_over, target);
    }
  else if (call->result == FL_ORDER_DONE)
    answer_hold (cell, target, call);
  else
    after (cell, pick (cell, 1, 20), on_call_over, call);
}

static void
on_call_arrives (struct cell *cell, void *data)
{
  struct call *call = data;
  struct fake_target *target = target_at (cell, &call->address);

  if (target == NULL || !target->up || target->cut_until_ms > cell->now_ms)
    {
      after (cell, ORDER_TIMEOUT_MS, on_call_over, call);
      return;
    }
  target_advance (cell, target);
  if (call->kind == CALL_HOLD)
    {
      carry_out_hold (cell, target, call);
      return;
    }
  call->result = call->kind == CALL_START ? target_start (cell, target, &call->start)
                                          : target_stop (cell, target, &call->run);
  call->answered = !(faults_on (cell)
                     && (happens (cell, cell->options.faults.order_lost)
                         || strikes (cell, STRIKE_ORDER_LOST, call->number)));
  after (cell, call->answered ? pick (cell, 1, 20) : ORDER_TIMEOUT_MS, on_call_over, call);
}

/* Carries an order out long after its sender gave it up. */
static void
on_late_arrival (struct cell *cell, void *data)
{
  struct call *call = data;
  struct fake_target *target = target_at (cell, &call->address);

  if (target != NULL && target->up && target->boot == call->boot)
    {
      target_advance (cell, target);
      if (call->kind == CALL_START)
        target_start (cell, target, &call->start);
      else
        target_stop (cell, target, &call->run);
    }
  call_free (call);
}

static void
send_call (struct cell *cell, struct call *call)
{
  call->sent_ms = cell->now_ms;
  call->number = call->kind != CALL_HOLD ? cell->orders++ : -1;
  if (call->kind != CALL_HOLD && faults_on (cell)
      && (happens (cell, cell->options.faults.order_late)
          || strikes (cell, STRIKE_ORDER_LATE, call->number)))
    {
      const struct fake_target *target = target_at (cell, &call->address);
      struct call *late = g_new0 (struct call, 1);
      *late = *call;
      late->boot = target != NULL && target->up ? target->boot : -1;
      late->text = g_strdup (call->text);
      late->start.text = late->text;
      late->start.ticket = late->ticket.data;
      late->start.checkpoint = "";
      after (cell, pick (cell, 2000, 6000), on_late_arrival, late);
      after (cell, ORDER_TIMEOUT_MS, on_call_over, call);
      return;
    }
  after (cell, pick (cell, 1, 20), on_call_arrives, call);
}

static bool
has_authority (const struct owner *owner)
{
  return owner->cell->now_ms < owner->authority_until_ms;
}

static void
action_start (void *context, const struct fl_start_order *order)
{
  struct owner *owner = context;
  struct call *call = g_new0 (struct call, 1);

  call->kind = CALL_START;
  call->owner = owner;
  call->start = *order;
  call->text = g_strdup (order->text);
  call->start.text = call->text;
  call->ticket = fl_name_of (order->ticket);
  call->start.ticket = call->ticket.data;
  call->start.checkpoint = "";
  call->address = order->address;
  trace (owner->cell, "start sent", &order->task, order->run, &order->target);
  if (has_authority (owner))
    send_call (owner->cell, call);
  else
    {
      call->answered = true;
      call->result = FL_ORDER_NOT_SENT;
      after (owner->cell, 0, on_call_over, call);
    }
}

static void
action_stop (void *context, const struct fl_run_order *order)
{
  struct owner *owner = context;
  struct call *call = g_new0 (struct call, 1);

  call->kind = CALL_STOP;
  call->owner = owner;
  call->run = *order;
  call->address = order->address;
  trace (owner->cell, "stop sent", &order->task, order->run, &order->target);
  send_call (owner->cell, call);
}

static void
action_pace (void *context, const struct fl_run_order *order)
{
  (void)context;
  (void)order;
}

struct question
{
  struct owner *owner;
  struct fl_name step;
  struct fl_name targets[FL_ADVICE_TARGETS_MAX];
  size_t count;
};

static void
on_question_over (struct cell *cell, void *data)
{
  struct question *question = data;
  struct fl_advice_row rows[FL_ADVICE_TARGETS_MAX];
  struct fl_advice_reply reply = { true, rows, 0, TICKET_VALID_MS };

  if (!question->owner->dead && question->owner->frozen_until_ms > cell->now_ms)
    {
      after (cell, question->owner->frozen_until_ms - cell->now_ms, on_question_over, question);
      return;
    }

  for (size_t i = 0; i < question->count; i++)
    for (guint j = 0; j < cell->targets->len; j++)
      {
        const struct fake_target *target = g_ptr_array_index (cell->targets, j);
        if (fl_name_eq (&target->id, &question->targets[i])
            && is_good (cell, &question->step, target))
          rows[reply.count++]
              = (struct fl_advice_row){ target->id,
                                        fl_name_format ("%s/%s/%d", question->step.data,
                                                        target->id.data, target->boot) };
      }
  if (!question->owner->dead)
    fl_core_handle_advice_reply (question->owner->core, &question->step, question->targets,
                                 question->count, &reply, cell->now_ms);
  g_free (question);
}

static bool
action_ask (void *context,
            const struct fl_name *step,
            const struct fl_name *targets,
            size_t count,
            int64_t expected_ms)
{
  struct owner *owner = context;
  struct question *question = g_new0 (struct question, 1);

  question->owner = owner;
  question->step = *step;
  question->count = count;
  memcpy (question->targets, targets, count * sizeof targets[0]);
  after (owner->cell, expected_ms + pick (owner->cell, 1, 20), on_question_over, question);
  return true;
}

/* --- the store, as an owner sees it --- */

static bool
reaches_store (const struct owner *owner)
{
  return owner->cut_until_ms <= owner->cell->now_ms;
}

static void
add_job (struct owner *owner, const struct fake_job *job, bool with_progress)
{
  struct fl_job_spec spec;
  struct fl_job_progress progress = { 0 };
  bool known = with_progress && job->progress.len > 0
               && fl_record_decode (&fl_job_progress_schema, job->progress.data, job->progress.len,
                                    &progress, NULL);

  if (fl_record_decode (&fl_job_row_schema, job->spec.data, job->spec.len, &spec, NULL))
    fl_core_add_job (owner->core, &spec, job->version, known ? &progress : NULL);
  fl_schema_clear (&fl_job_progress_schema, &progress);
  owner->version_seen = job->version;
}

static void
read_jobs (struct owner *owner, bool with_progress)
{
  struct cell *cell = owner->cell;

  for (guint i = 0; i < cell->jobs->len; i++)
    {
      const struct fake_job *job = g_ptr_array_index (cell->jobs, i);
      if (job->version > owner->version_seen)
        add_job (owner, job, with_progress);
      if (job->cancelled)
        fl_core_cancel_job (owner->core, &job->id);
    }
}
struct commit
{
  struct owner *owner;
  GArray *records; /* struct fl_core_record */
  GArray *targets; /* struct fl_name, or NULL */
  bool stored;
  bool late; /* done long after its sender gave it up */
};

static bool
progress_is_final (const struct fake_job *job)
{
  struct fl_job_progress progress = { 0 };
  bool over = job->progress.len > 0
              && fl_record_decode (&fl_job_progress_schema, job->progress.data, job->progress.len,
                                   &progress, NULL)
              && fl_job_state_is_final ((enum fl_job_state)progress.state);

  fl_schema_clear (&fl_job_progress_schema, &progress);
  return over;
}

static void
commit_apply (struct cell *cell, struct commit *commit)
{
  if (commit->owner->token != cell->owner_token)
    return;
  commit->stored = true;
  for (guint i = 0; commit->records != NULL && i < commit->records->len; i++)
    {
      const struct fl_core_record *record
          = &g_array_index (commit->records, struct fl_core_record, i);
      struct fake_job *job = g_hash_table_lookup (cell->job_by_id, &record->job);
      fl_str_clear (&job->progress);
      job->progress = fl_str_dup (&record->progress);
      job->over = progress_is_final (job);
    }
  if (commit->targets != NULL)
    {
      g_array_set_size (cell->recorded_targets, 0);
      g_array_append_vals (cell->recorded_targets, commit->targets->data, commit->targets->len);
    }
}

static void
commit_free (struct commit *commit)
{
  for (guint i = 0; commit->records != NULL && i < commit->records->len; i++)
    fl_str_clear (&g_array_index (commit->records, struct fl_core_record, i).progress);
  if (commit->records != NULL)
    g_array_unref (commit->records);
  if (commit->targets != NULL)
    g_array_unref (commit->targets);
  g_free (commit);
}

static void
on_commit_over (struct cell *cell, void *data)
{
  struct commit *commit = data;
  struct owner *owner = commit->owner;

  if (!owner->dead && owner->frozen_until_ms > cell->now_ms)
    {
      after (cell, owner->frozen_until_ms - cell->now_ms, on_commit_over, commit);
      return;
    }
  if (!owner->dead && commit->targets != NULL)
    {
      owner->targets_open = false;
      if (commit->stored)
        fl_core_mark_target_list_recorded (owner->core);
    }
  else if (!owner->dead)
    {
      owner->records_open = false;
      fl_core_finish_records (owner->core, commit->stored, cell->now_ms);
    }
  if (!owner->dead)
    owner_tick (owner);
  commit_free (commit);
}

static void
on_commit_arrives (struct cell *cell, void *data)
{
  struct commit *commit = data;
  bool lost = faults_on (cell)
              && (happens (cell, cell->options.faults.store_lost)
                  || strikes (cell, STRIKE_COMMIT_LOST, cell->commits));

  cell->commits++;
  if (reaches_store (commit->owner))
    commit_apply (cell, commit);
  if (lost)
    commit->stored = false;
  after (cell, commit->stored ? pick (cell, 1, cell->options.faults.store_slow_ms + 10) : 1000,
         on_commit_over, commit);
}

static void
owner_store (struct owner *owner)
{
  struct fl_core_record records[50];
  struct commit *commit;

  if (!owner->records_open)
    {
      size_t count = fl_core_collect_records (owner->core, records, G_N_ELEMENTS (records));
      if (count > 0)
        {
          owner->records_open = true;
          commit = g_new0 (struct commit, 1);
          commit->owner = owner;
          commit->records = g_array_new (FALSE, FALSE, sizeof (struct fl_core_record));
          g_array_append_vals (commit->records, records, (guint)count);
          after (owner->cell, pick (owner->cell, 2, 30), on_commit_arrives, commit);
        }
    }
  if (!owner->targets_open && fl_core_target_list_is_outdated (owner->core))
    {
      owner->targets_open = true;
      commit = g_new0 (struct commit, 1);
      commit->owner = owner;
      commit->targets = fl_core_collect_target_list (owner->core);
      after (owner->cell, pick (owner->cell, 2, 30), on_commit_arrives, commit);
    }
}

/* --- owners --- */

static void
owner_hold (struct owner *owner)
{
  g_autoptr (GPtrArray) ids = fl_core_target_ids (owner->core);
  struct fl_hold_order order;

  if (owner->cell->now_ms >= owner->authority_until_ms + HOLD_ON_MS)
    return;
  for (guint i = 0; i < ids->len; i++)
    {
      const struct fl_name *id = g_ptr_array_index (ids, i);
      if (g_hash_table_contains (owner->held, id)
          || !fl_core_prepare_heartbeat (owner->core, id, owner->cell->now_ms, &order))
        continue;
      g_hash_table_add (owner->held, g_memdup2 (id, sizeof *id));
      struct call *call = g_new0 (struct call, 1);
      call->kind = CALL_HOLD;
      call->owner = owner;
      call->hold = order;
      call->address = order.address;
      send_call (owner->cell, call);
    }
}

static void
owner_tick (struct owner *owner)
{
  if (owner->dead || owner->frozen_until_ms > owner->cell->now_ms)
    return;
  if (has_authority (owner))
    {
      fl_core_tick (owner->core, owner->cell->now_ms, owner->cell->now_ms);
      owner_store (owner);
    }
  owner_hold (owner);
}

static void
owner_see_registry (struct owner *owner)
{
  struct cell *cell = owner->cell;
  g_autoptr (GPtrArray) ids = fl_core_target_ids (owner->core);
  g_autoptr (GHashTable) shown = g_hash_table_new (fl_name_hash, fl_name_equal);

  for (guint i = 0; i < cell->targets->len; i++)
    {
      struct fake_target *target = g_ptr_array_index (cell->targets, i);
      struct fl_target_entry entry = { .id = target->id,
                                       .service = fl_name_of ("service"),
                                       .address = target->address,
                                       .draining = target->draining,
                                       .room = target->room };
      /* A target that is cut off long enough leaves the registry, though it runs on. */
      if (!target->up || target->cut_until_ms > cell->now_ms + 1000)
        continue;
      g_hash_table_add (shown, &target->id);
      fl_core_update_target (owner->core, &entry);
    }
  for (guint i = 0; i < ids->len; i++)
    if (!g_hash_table_contains (shown, g_ptr_array_index (ids, i)))
      fl_core_remove_target (owner->core, g_ptr_array_index (ids, i));
}

static void
owner_renew (struct owner *owner)
{
  struct cell *cell = owner->cell;

  if (cell->now_ms - owner->renewed_ms < RENEW_MS || !reaches_store (owner))
    return;
  if (cell->owner_token != owner->token)
    {
      owner->dead = true;
      return;
    }
  owner->renewed_ms = cell->now_ms;
  owner->authority_until_ms = cell->now_ms + LEASE_MS;
  cell->lease_version_ms = cell->now_ms;
}

static void
on_owner_turn (struct cell *cell, void *data)
{
  struct owner *owner = data;

  if (owner->dead)
    return;
  if (owner->frozen_until_ms <= cell->now_ms)
    {
      if (reaches_store (owner) && cell->owner_token == owner->token)
        {
          owner_see_registry (owner);
          read_jobs (owner, false);
        }
      owner_renew (owner);
      owner_tick (owner);
    }
  after (cell, TICK_MS, on_owner_turn, owner);
}

static void
owner_take (struct cell *cell)
{
  struct owner *owner = g_new0 (struct owner, 1);
  struct fl_core_options options = {
    .log = &cell->log,
    .stats = cell->stats,
    .actions = { action_start, action_stop, action_pace, action_ask },
    .context = owner,
    .fencing_token = ++cell->owner_token,
    .acquired_version = ++cell->version,
    .reconciled_at_ms = cell->now_ms + HOLD_ON_MS + TASK_LEASE_MS * 104 / 100,
    .target_lease_ms = TASK_LEASE_MS,
    .target_lease_max_ms = TARGET_HOLD_MAX_MS,
  };

  owner->cell = cell;
  owner->token = cell->owner_token;
  owner->held = g_hash_table_new_full (fl_name_hash, fl_name_equal, g_free, NULL);
  owner->core = fl_core_new (&options);
  owner->authority_until_ms = cell->now_ms + LEASE_MS;
  cell->lease_version_ms = cell->now_ms;
  fl_core_configure (owner->core, cell->configuration);
  for (guint i = 0; i + 1 < cell->recorded_targets->len; i += 2)
    fl_core_inherit_target (owner->core, &g_array_index (cell->recorded_targets, struct fl_name, i),
                            &g_array_index (cell->recorded_targets, struct fl_name, i + 1));
  owner_see_registry (owner);
  read_jobs (owner, true);
  g_ptr_array_add (cell->owners, owner);
  cell->result.owners++;
  on_owner_turn (cell, owner);
}

/* --- faults --- */

static void
on_target_back (struct cell *cell, void *data)
{
  struct fake_target *target = data;

  if (target->up)
    return;
  target->up = true;
  target->draining = false;
  target->state.born_ms = cell->now_ms;
  if (happens (cell, cell->options.faults.target_new_id))
    target->id = target_id (target->index, target->boot);
}

static void
target_goes_down (struct cell *cell, struct fake_target *target)
{
  for (guint i = 0; i < target->waiting->len; i++)
    after (cell, ORDER_TIMEOUT_MS, on_call_over, g_array_index (target->waiting, struct call *, i));
  g_array_set_size (target->waiting, 0);
  target_lose_all (cell, target);
  target->up = false;
  after (cell, pick (cell, 500, 6000), on_target_back, target);
}

static void
on_target_leaves (struct cell *cell, void *data)
{
  struct fake_target *target = data;

  if (target->up && target->draining)
    target_goes_down (cell, target);
}

static void
disturb_targets (struct cell *cell)
{
  const struct cell_faults *faults = &cell->options.faults;
  struct fake_target *target
      = g_ptr_array_index (cell->targets, pick (cell, 0, cell->targets->len - 1));

  if (target->up && happens (cell, faults->target_crash))
    target_goes_down (cell, target);
  if (target->up && happens (cell, faults->target_cut))
    target->cut_until_ms = cell->now_ms + pick (cell, 300, 9000);
  if (target->up && !target->draining && happens (cell, faults->target_drain))
    {
      target->draining = true;
      after (cell, pick (cell, 2000, 5000), on_target_leaves, target);
    }
}

static struct owner *
newest_owner (const struct cell *cell)
{
  return g_ptr_array_index (cell->owners, cell->owners->len - 1);
}

static void
disturb_owner (struct cell *cell)
{
  const struct cell_faults *faults = &cell->options.faults;
  struct owner *owner = newest_owner (cell);

  if (happens (cell, faults->owner_killed))
    owner->dead = true;
  if (happens (cell, faults->owner_frozen))
    owner->frozen_until_ms = cell->now_ms + pick (cell, 200, 8000);
  if (happens (cell, faults->owner_cut))
    owner->cut_until_ms = cell->now_ms + pick (cell, 200, 12000);
}

static void
strike_target (struct cell *cell, const struct cell_strike *strike)
{
  struct fake_target *target;

  if (strike->index >= (int)cell->targets->len)
    return;
  target = g_ptr_array_index (cell->targets, strike->index);
  if (!target->up)
    return;
  if (strike->kind == STRIKE_CUT)
    target->cut_until_ms = cell->now_ms + 6000;
  else if (strike->kind == STRIKE_DRAIN && !target->draining)
    {
      target->draining = true;
      after (cell, 2500, on_target_leaves, target);
    }
  else if (strike->kind == STRIKE_CRASH || strike->kind == STRIKE_REPLACED)
    {
      target_goes_down (cell, target);
      if (strike->kind == STRIKE_REPLACED)
        target->id = target_id (target->index, target->boot);
    }
}

static void
strike (struct cell *cell, const struct cell_strike *strike)
{
  struct owner *owner = newest_owner (cell);

  if (strike->kind == STRIKE_OWNER_KILLED)
    owner->dead = true;
  else if (strike->kind == STRIKE_OWNER_FROZEN)
    owner->frozen_until_ms = cell->now_ms + 5000;
  else if (strike->kind == STRIKE_OWNER_CUT)
    owner->cut_until_ms = cell->now_ms + 5000;
  else if (strike->kind == STRIKE_JOB_CANCELLED && strike->index < (int)cell->jobs->len)
    ((struct fake_job *)g_ptr_array_index (cell->jobs, strike->index))->cancelled = true;
  else
    strike_target (cell, strike);
}

static void
strike_due (struct cell *cell)
{
  for (size_t i = 0; i < cell->options.strike_count; i++)
    if (cell->options.strikes[i].kind >= STRIKE_CRASH
        && cell->options.strikes[i].at * CELL_SLOT_MS == cell->now_ms)
      strike (cell, &cell->options.strikes[i]);
}

static void
cancel_some_job (struct cell *cell)
{
  struct fake_job *job;

  if (cell->jobs->len == 0 || !happens (cell, cell->options.faults.job_cancelled))
    return;
  job = g_ptr_array_index (cell->jobs, pick (cell, 0, cell->jobs->len - 1));
  job->cancelled = true;
}

static void
hand_in_job (struct cell *cell)
{
  struct fake_job *job = g_new0 (struct fake_job, 1);
  struct fl_step_spec steps[3] = { 0 };
  struct fl_step_link links[3] = { { 0 }, { 0 }, { 1 } };
  struct fl_job_spec spec = { 0 };

  job->id = fl_name_format ("%016x", cell->jobs->len + 1);
  job->steps = (int)pick (cell, 1, 3);
  job->tasks = (int)pick (cell, 1, 4);
  job->team = (int)pick (cell, 0, 1);
  job->room = (struct fl_room){ pick (cell, 500, 4000), pick (cell, 100, 3000), 0 };
  job->version = ++cell->version;
  spec.id = job->id;
  spec.queue = fl_name_of ("queue");
  spec.team = fl_name_format ("w%d", job->team);
  spec.steps = (struct fl_array){ (size_t)job->steps, steps };
  for (int i = 0; i < job->steps; i++)
    {
      steps[i] = (struct fl_step_spec){ .count = job->tasks,
                                        .cpu_milli = job->room.cpu_milli,
                                        .memory_mb = job->room.memory_mb,
                                        .disruptions_max = -1 };
      if (i > 0)
        steps[i].after = (struct fl_array){ 1, &links[i] };
    }
  job->spec = fl_record_encode (&fl_job_row_schema, &spec);
  g_ptr_array_add (cell->jobs, job);
  g_hash_table_insert (cell->job_by_id, &job->id, job);
}

static void
on_world_turn (struct cell *cell, void *data)
{
  (void)data;
  for (guint i = 0; i < cell->targets->len; i++)
    target_advance (cell, g_ptr_array_index (cell->targets, i));
  if (cell->now_ms % 100 == 0 && faults_on (cell))
    {
      strike_due (cell);
      disturb_targets (cell);
      disturb_owner (cell);
      cancel_some_job (cell);
      while ((int)cell->jobs->len < cell->options.jobs
             && cell->jobs->len * cell->options.length_ms <= cell->now_ms * cell->options.jobs)
        hand_in_job (cell);
    }
  if (cell->now_ms - cell->lease_version_ms > TAKE_AFTER_MS + 200)
    owner_take (cell);
  after (cell, 20, on_world_turn, NULL);
}

/* --- result --- */

static bool
all_over (const struct cell *cell)
{
  for (guint i = 0; i < cell->jobs->len; i++)
    if (!((struct fake_job *)g_ptr_array_index (cell->jobs, i))->over)
      return false;
  return true;
}

/* A job shown as completed has every task done; one shown as failed has a task that used up its
 * attempts. */
static void
check_states (struct cell *cell)
{
  for (guint i = 0; i < cell->jobs->len; i++)
    {
      struct fake_job *job = g_ptr_array_index (cell->jobs, i);
      struct fl_job_progress progress = { 0 };
      bool exhausted = false;
      bool complete = true;
      if (job->progress.len == 0
          || !fl_record_decode (&fl_job_progress_schema, job->progress.data, job->progress.len,
                                &progress, NULL))
        continue;
      for (int step = 0; step < job->steps; step++)
        for (int index = 0; index < job->tasks; index++)
          {
            struct fl_name name = fl_name_format ("%s.0.%d.%d", job->id.data, step, index);
            const struct fake_task *task = task_get (cell, &name);
            complete = complete && task->done;
            exhausted = exhausted || task->failures >= ATTEMPTS;
          }
      if (progress.state == FL_JOB_COMPLETED && !complete)
        broken (cell, "MIXED", &job->id);
      if (progress.state == FL_JOB_FAILED && !exhausted)
        broken (cell, "LOST (failed without cause)", &job->id);
      if (progress.state == FL_JOB_CANCELLED && !job->cancelled)
        broken (cell, "LOST (cancelled without cause)", &job->id);
      fl_schema_clear (&fl_job_progress_schema, &progress);
    }
}

static void
configure (struct cell *cell)
{
  struct fl_queue queue = { .name = fl_name_of ("queue"),
                            .service = fl_name_of ("service"),
                            .attempts = ATTEMPTS,
                            .advice = { cell->options.advice, 20, 1, TICKET_VALID_MS } };
  struct fl_service_terms service = { .name = fl_name_of ("service") };
  struct fl_team_terms teams[]
      = { { fl_name_of ("w0"), 1, { 20000, 0, 0 } }, { fl_name_of ("w1"), 3, { 0, 0, 0 } } };

  cell->configuration = fl_configuration_new (1);
  fl_configuration_add_queue (cell->configuration, &queue);
  fl_configuration_add_service (cell->configuration, &service);
  fl_configuration_add_team (cell->configuration, &teams[0]);
  fl_configuration_add_team (cell->configuration, &teams[1]);
}

static void
cell_free (struct cell *cell)
{
  /* Calls that are open hold owners and targets: all go at once, with the queue. */
  for (guint i = 0; i < cell->owners->len; i++)
    {
      struct owner *owner = g_ptr_array_index (cell->owners, i);
      fl_core_free (owner->core);
      g_hash_table_destroy (owner->held);
      g_free (owner);
    }
  for (guint i = 0; i < cell->targets->len; i++)
    {
      struct fake_target *target = g_ptr_array_index (cell->targets, i);
      target_state_clear (&target->state);
      g_array_unref (target->waiting);
      g_free (target);
    }
  for (guint i = 0; i < cell->jobs->len; i++)
    {
      struct fake_job *job = g_ptr_array_index (cell->jobs, i);
      fl_str_clear (&job->spec);
      fl_str_clear (&job->progress);
      g_free (job);
    }
  g_ptr_array_unref (cell->owners);
  g_ptr_array_unref (cell->targets);
  g_ptr_array_unref (cell->jobs);
  g_hash_table_destroy (cell->job_by_id);
  g_hash_table_destroy (cell->tasks);
  g_array_unref (cell->recorded_targets);
  fl_configuration_unref (cell->configuration);
  fl_stats_free (cell->stats);
  g_sequence_free (cell->events);
  g_rand_free (cell->random);
}

struct cell_result
cell_play (const struct cell_options *options)
{
  struct cell cell = { .options = *options };
  struct fl_name none = fl_name_of ("not all jobs ended");

  cell.random = g_rand_new_with_seed ((guint32)options->seed);
  cell.events = g_sequence_new (g_free);
  cell.targets = g_ptr_array_new ();
  cell.jobs = g_ptr_array_new ();
  cell.owners = g_ptr_array_new ();
  cell.job_by_id = g_hash_table_new (fl_name_hash, fl_name_equal);
  cell.tasks = g_hash_table_new_full (fl_name_hash, fl_name_equal, g_free, g_free);
  cell.recorded_targets = g_array_new (FALSE, FALSE, sizeof (struct fl_name));
  cell.stats = fl_stats_new ();
  cell.log
      = (struct fl_log){ .level = options->trace != NULL ? FL_LOG_INFO : 0, .program = "cell" };
  configure (&cell);
  for (int i = 0; i < options->targets; i++)
    g_ptr_array_add (cell.targets, target_new (&cell, i));
  owner_take (&cell);
  on_world_turn (&cell, NULL);
  while (cell.result.broken[0] == '\0' && cell.now_ms < options->length_ms + FINISH_MS
         && !(cell.now_ms > options->length_ms && all_over (&cell)))
    {
      GSequenceIter *first = g_sequence_get_begin_iter (cell.events);
      struct event event = *(struct event *)g_sequence_get (first);
      g_sequence_remove (first);
      cell.now_ms = event.at_ms;
      event.run (&cell, event.data);
    }
  check_states (&cell);
  if (!all_over (&cell))
    broken (&cell, "LOST", &none);
  cell.result.accepted = (int)cell.jobs->len;
  for (guint i = 0; i < cell.jobs->len; i++)
    cell.result.ended += ((struct fake_job *)g_ptr_array_index (cell.jobs, i))->over ? 1 : 0;
  struct cell_result result = cell.result;
  cell_free (&cell);
  return result;
}
