/* The order of waiting work: replays loads with more work than room, or than hosts for advice
 * queries, and counts the jobs that are in time, beside the order by lateness, use of the team and
 * age that was in use before. */
#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "policy/job_time.h"
#include "policy/order.h"

#define TICK_MS 20
#define TEAMS 4
#define QUEUES 2
#define LOAD_MS 30000

/* A queue: jobs of @steps steps, one after the other, of @tasks tasks on average. */
struct queue
{
  int64_t priority;
  int64_t steps;
  int64_t tasks;
  int64_t cores; /* of a task */
  double run_ms; /* median of a task */
  double jobs_per_s;
  double stretch;
  int64_t latency_objective_ms;
  int64_t advice_ms; /* of a query */
};

static const struct queue queues[QUEUES]
    = { { 0, 2, 10, 8, 600, 40, 1.5, 250, 30 }, { 2, 2, 16, 16, 4000, 2, 2.2, 1200, 600 } };

/* Times the usual number of jobs of queue 0 from 8 to 14 s, of team 0 from 8 to 18 s, and the waves
 * of all; no decision is made while the pool is without an owner. */
struct load
{
  const char *name;
  int64_t cores;
  int64_t hosts; /* that send queries */
  double burst;
  double hot_team;
  double wave;
  int64_t down_ms; /* from 8 s */
  double usual;    /* times the usual number of all jobs */
  bool is_room_scarce;
};

struct job
{
  const struct queue *queue;
  int team;
  int64_t sequence;
  int64_t arrived_ms;
  double scale;     /* of its run times */
  int64_t tasks;    /* of a step */
  int64_t step;     /* the one that runs or waits */
  int64_t idle;     /* tasks of it that wait */
  int64_t running;  /* tasks of it that run */
  int64_t ready_ms; /* when its query is answered; 0 before it is sent */
  double work_ms;   /* that its longest tasks took, with the queries */
  double longest_ms;
  int64_t last_start_ms;
  int64_t ended_ms;
  GRand *random; /* of its run times, the same with either order */
  struct fl_job_scale known_scale;
  struct fl_order_key key;
  struct fl_order_query query;
};

struct run
{
  struct job *job;
  int64_t ends_ms;
};

struct counts
{
  int all;
  int in_time;
  int late;
  int lost;
};

struct replay
{
  const struct load *load;
  bool is_old_order;
  GRand *random;
  GPtrArray *jobs;
  GPtrArray *open_jobs;
  GArray *runs;
  int64_t now_ms;
  int64_t free_cores;
  int64_t team_cores[TEAMS];
  int64_t turn_ms;
};

/* About normal, with mean 0 and variance 1. */
static double
get_normal (GRand *random)
{
  double sum = -6;

  for (int i = 0; i < 12; i++)
    sum += g_rand_double (random);
  return sum;
}

/* --- the two orders --- */

static struct fl_run_time
get_run_time (const struct queue *queue)
{
  return (struct fl_run_time){ queue->run_ms, 0.45, true };
}

static struct fl_order_time
get_time (const struct replay *replay, const struct job *job)
{
  struct fl_step_time step = { .run_time = get_run_time (job->queue),
                               .scale = fl_job_scale_get (&job->known_scale),
                               .tasks = job->tasks,
                               .tasks_at_once_max = replay->load->cores / 4 / job->queue->cores,
                               .idle_tasks = job->tasks,
                               .advice_ms = (double)job->queue->advice_ms };
  double next_left_ms = (double)(job->queue->steps - 1 - job->step) * fl_step_left_ms (&step);
  double work_ms = (double)job->queue->steps * fl_step_work_ms (&step);

  step.idle_tasks = job->idle;
  step.has_advice = job->ready_ms > 0;
  if (job->running > 0)
    step.running_left_ms
        = fl_running_left_ms (step.scale * fl_run_time_longest_ms (&step.run_time, job->tasks),
                              (double)(replay->now_ms - job->last_start_ms), 0, 0);
  return fl_order_get_time (job->queue->stretch, job->queue->latency_objective_ms, work_ms,
                            next_left_ms + fl_step_left_ms (&step),
                            replay->now_ms - job->arrived_ms);
}

static void
update_key (struct replay *replay, struct job *job)
{
  int64_t room = replay->load->cores;
  double waited_ms = (double)(replay->now_ms - job->arrived_ms);
  double unstarted
      = (double)(job->queue->steps - 1 - job->step) + (double)job->idle / (double)job->tasks;
  struct fl_order_time time = get_time (replay, job);

  job->key.priority = job->queue->priority;
  job->key.sequence = job->sequence;
  job->key.is_at_risk = fl_order_is_at_risk (&time);
  job->key.left_ms = fl_order_left_in_class_ms (&time);
  job->key.order_class = fl_order_get_class (&time);
  job->key.unstarted_share = unstarted / (double)job->queue->steps;
  job->key.team_excess
      = fl_order_team_excess ((double)replay->team_cores[job->team], (double)room / TEAMS);
  job->query.response_ratio = waited_ms / (double)job->queue->advice_ms;
  job->query.is_expired = job->key.order_class == FL_ORDER_EXPIRED && !job->key.has_turn;
}

/* Late by the mean run time of the queue, then use of the team, then age. */
static int
compare_old (const struct replay *replay, const struct job *x, const struct job *y)
{
  const struct job *jobs[] = { x, y };
  bool is_late[2];

  for (int i = 0; i < 2; i++)
    {
      const struct queue *queue = jobs[i]->queue;
      double mean_ms = queue->run_ms * 1.1;
      double left_ms = (double)(queue->steps - jobs[i]->step) * mean_ms;
      double objective_ms
          = queue->stretch * (double)queue->steps * mean_ms + (double)queue->latency_objective_ms;
      is_late[i] = (double)(replay->now_ms - jobs[i]->arrived_ms) + left_ms > objective_ms;
    }
  if (x->queue->priority != y->queue->priority)
    return x->queue->priority < y->queue->priority ? -1 : 1;
  if (is_late[0] != is_late[1])
    return is_late[0] ? 1 : -1;
  if (replay->team_cores[x->team] != replay->team_cores[y->team])
    return replay->team_cores[x->team] < replay->team_cores[y->team] ? -1 : 1;
  return x->sequence < y->sequence ? -1 : 1;
}

static gint
compare_jobs (const void *a, const void *b, void *context)
{
  const struct job *x = *(struct job *const *)a;
  const struct job *y = *(struct job *const *)b;
  const struct replay *replay = context;

  return replay->is_old_order ? compare_old (replay, x, y) : fl_order_compare (&x->key, &y->key);
}

static gint
compare_queries (const void *a, const void *b, void *context)
{
  const struct fl_order_query *x = &(*(struct job *const *)a)->query;
  const struct fl_order_query *y = &(*(struct job *const *)b)->query;
  const struct replay *replay = context;

  if (replay->is_old_order)
    return x->response_ratio > y->response_ratio ? -1 : x->response_ratio < y->response_ratio;
  return fl_order_compare_queries (x, y);
}

/* --- the replay --- */

static void
add_jobs (struct replay *replay)
{
  const struct load *load = replay->load;
  double now_s = (double)replay->now_ms / 1000;
  double wave = 1 + load->wave * sin (now_s * 2 * G_PI / 17);

  for (int i = 0; i < QUEUES; i++)
    for (int team = 0; team < TEAMS; team++)
      {
        double rate = load->usual * queues[i].jobs_per_s / TEAMS * wave;
        rate *= i == 0 && now_s >= 8 && now_s < 14 ? load->burst : 1;
        rate *= team == 0 && now_s >= 8 && now_s < 18 ? load->hot_team : 1;
        if (replay->now_ms >= LOAD_MS || g_rand_double (replay->random) > rate * TICK_MS / 1000)
          continue;
        struct job *job = g_new0 (struct job, 1);
        job->queue = &queues[i];
        job->team = team;
        job->sequence = replay->jobs->len;
        job->arrived_ms = replay->now_ms;
        job->scale = exp (0.35 * get_normal (replay->random));
        job->tasks
            = MAX ((int64_t)((double)queues[i].tasks * exp (0.6 * get_normal (replay->random))), 1);
        job->idle = job->tasks;
        job->random = g_rand_new_with_seed (replay->jobs->len);
        g_ptr_array_add (replay->jobs, job);
        g_ptr_array_add (replay->open_jobs, job);
      }
}

static void
end_runs (struct replay *replay)
{
  for (guint i = replay->runs->len; i > 0; i--)
    {
      const struct run run = g_array_index (replay->runs, struct run, i - 1);
      struct job *job = run.job;
      if (run.ends_ms > replay->now_ms)
        continue;
      g_array_remove_index_fast (replay->runs, i - 1);
      replay->free_cores += job->queue->cores;
      replay->team_cores[job->team] -= job->queue->cores;
      if (--job->running > 0 || job->idle > 0)
        continue;
      job->work_ms += job->longest_ms + (double)job->queue->advice_ms;
      job->longest_ms = 0;
      job->ready_ms = 0;
      if (++job->step < job->queue->steps)
        job->idle = job->tasks;
      else
        {
          job->ended_ms = replay->now_ms;
          g_ptr_array_remove (replay->open_jobs, job);
        }
    }
}

static void
start_tasks (struct replay *replay, struct job *job)
{
  while (job->idle > 0 && replay->free_cores >= job->queue->cores)
    {
      double ran_ms = job->queue->run_ms * job->scale * exp (0.3 * get_normal (job->random));
      struct run run = { job, replay->now_ms + (int64_t)ran_ms };
      g_array_append_val (replay->runs, run);
      fl_job_scale_add (&job->known_scale, job->running > 0 ? 0 : job->queue->run_ms, ran_ms);
      job->longest_ms = MAX (job->longest_ms, ran_ms);
      job->last_start_ms = replay->now_ms;
      job->idle--;
      job->running++;
      replay->free_cores -= job->queue->cores;
      replay->team_cores[job->team] += job->queue->cores;
    }
}

/* Sends queries for those of @waiting that can start only with one, as hosts are free. */
static void
send_queries (struct replay *replay, GPtrArray *waiting)
{
  g_autoptr (GPtrArray) unadvised = g_ptr_array_new ();
  int64_t free_hosts = replay->load->hosts;
  int64_t needed = 0;

  for (guint i = 0; i < waiting->len; i++)
    {
      struct job *job = g_ptr_array_index (waiting, i);
      free_hosts -= job->ready_ms > replay->now_ms;
      if (job->ready_ms > 0)
        continue;
      needed += job->idle * job->queue->cores;
      g_ptr_array_add (unadvised, job);
    }
  for (guint i = 0; i < unadvised->len; i++)
    {
      struct job *job = g_ptr_array_index (unadvised, i);
      job->query.is_room_scarce = needed > replay->free_cores;
      job->query.position = i;
    }
  g_ptr_array_sort_with_data (unadvised, compare_queries, replay);
  for (guint i = 0; i < unadvised->len && free_hosts > 0; i++, free_hosts--)
    {
      struct job *job = g_ptr_array_index (unadvised, i);
      job->ready_ms = replay->now_ms + job->queue->advice_ms;
    }
}

static void
give_turn (struct replay *replay, const GPtrArray *waiting)
{
  struct job *oldest = NULL;

  if (replay->now_ms - replay->turn_ms < FL_ORDER_TURN_INTERVAL_MS)
    return;
  for (guint i = 0; i < waiting->len; i++)
    {
      struct job *job = g_ptr_array_index (waiting, i);
      if (job->key.order_class == FL_ORDER_EXPIRED && !job->key.has_turn
          && (oldest == NULL || job->sequence < oldest->sequence))
        oldest = job;
    }
  if (oldest == NULL)
    return;
  oldest->key.has_turn = true;
  replay->turn_ms = replay->now_ms;
}

static void
decide (struct replay *replay)
{
  g_autoptr (GPtrArray) waiting = g_ptr_array_new ();

  for (guint i = 0; i < replay->open_jobs->len; i++)
    {
      struct job *job = g_ptr_array_index (replay->open_jobs, i);
      if (job->idle == 0)
        continue;
      update_key (replay, job);
      g_ptr_array_add (waiting, job);
    }
  give_turn (replay, waiting);
  g_ptr_array_sort_with_data (waiting, compare_jobs, replay);
  for (guint i = 0; i < waiting->len; i++)
    {
      struct job *job = g_ptr_array_index (waiting, i);
      if (job->ready_ms > 0 && job->ready_ms <= replay->now_ms)
        start_tasks (replay, job);
    }
  send_queries (replay, waiting);
}

static void
job_free (void *data)
{
  g_rand_free (((struct job *)data)->random);
  g_free (data);
}

static void
replay_load (struct replay *replay, const struct load *load, bool is_old_order)
{
  *replay = (struct replay){ .load = load,
                             .is_old_order = is_old_order,
                             .random = g_rand_new_with_seed (1),
                             .jobs = g_ptr_array_new_with_free_func (job_free),
                             .open_jobs = g_ptr_array_new (),
                             .runs = g_array_new (FALSE, FALSE, sizeof (struct run)),
                             .free_cores = load->cores };
  for (; replay->now_ms < LOAD_MS || replay->open_jobs->len > 0; replay->now_ms += TICK_MS)
    {
      add_jobs (replay);
      end_runs (replay);
      if (replay->now_ms < 8000 || replay->now_ms >= 8000 + load->down_ms)
        decide (replay);
    }
}

static void
replay_clear (struct replay *replay)
{
  g_rand_free (replay->random);
  g_ptr_array_unref (replay->jobs);
  g_ptr_array_unref (replay->open_jobs);
  g_array_unref (replay->runs);
}

/* Counts the jobs of @queue and @team with at least @tasks_min tasks; -1 for all. */
static struct counts
count_jobs (const struct replay *replay, int queue, int team, int64_t tasks_min)
{
  struct counts counts = { 0 };

  for (guint i = 0; i < replay->jobs->len; i++)
    {
      const struct job *job = g_ptr_array_index (replay->jobs, i);
      if ((queue >= 0 && job->queue != &queues[queue]) || (team >= 0 && job->team != team)
          || job->tasks < tasks_min)
        continue;
      double objective_ms
          = job->queue->stretch * job->work_ms + (double)job->queue->latency_objective_ms;
      double age_ms = (double)(job->ended_ms - job->arrived_ms);
      counts.all++;
      if (job->ended_ms > 0 && age_ms <= objective_ms)
        counts.in_time++;
      else if (job->ended_ms > 0 && age_ms <= 3 * objective_ms)
        counts.late++;
      else
        counts.lost++;
    }
  return counts;
}

/* --- tests --- */

/* Where room is scarce, more jobs are in time; elsewhere not fewer, within 2 %. No more jobs are
 * lost than are in time instead. The widest jobs are served at least half as often as all of their
 * queue.
 */
static void
check_queue (const struct load *load, const struct replay *old, const struct replay *new, int queue)
{
  struct counts before = count_jobs (old, queue, -1, 0);
  struct counts after = count_jobs (new, queue, -1, 0);
  struct counts wide = count_jobs (new, queue, -1, queues[queue].tasks * 2);
  int least = load->is_room_scarce ? before.in_time + 1 : before.in_time * 98 / 100;

  print_message ("%s, queue %d: in time %d -> %d, late %d -> %d, lost %d -> %d of %d\n", load->name,
                 queue, before.in_time, after.in_time, before.late, after.late, before.lost,
                 after.lost, after.all);
  if (after.in_time < least || after.lost - before.lost > MAX (after.in_time - before.in_time, 0))
    fail_msg ("%s: queue %d is served worse", load->name, queue);
  if (load->is_room_scarce && queues[queue].priority == 0
      && 10 * after.late > after.in_time + after.late)
    fail_msg ("%s: queue %d gets room for results that are late", load->name, queue);
  if (2 * (wide.in_time + wide.late) * after.all < (after.in_time + after.late) * wide.all)
    fail_msg ("%s: the wide jobs of queue %d are starved", load->name, queue);
}

static void
test_loads (void **state)
{
  static const struct load loads[] = {
    { "burst beside a hot team", 8000, 60, 2.5, 6.4, 0, 0, 1, true },
    { "demand that waves by half", 6500, 60, 1, 1, 0.55, 0, 1, true },
    { "queries scarcer than room", 30000, 5, 2, 1, 0, 0, 1, false },
    { "room scarcer than queries", 5000, 200, 1.5, 1, 0, 0, 1, true },
    { "backlog of 4 s without an owner", 8000, 60, 1, 1, 0, 4000, 1, false },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (loads); i++)
    {
      struct replay old;
      struct replay new;
      int usual_teams_gain = 0;
      replay_load (&old, &loads[i], true);
      replay_load (&new, &loads[i], false);
      for (int queue = 0; queue < QUEUES; queue++)
        check_queue (&loads[i], &old, &new, queue);
      for (int team = 1; team < TEAMS; team++)
        usual_teams_gain
            += count_jobs (&new, -1, team, 0).in_time - count_jobs (&old, -1, team, 0).in_time;
      if (loads[i].hot_team > 1 && usual_teams_gain < 0)
        fail_msg ("%s: the usual teams pay for the hot one", loads[i].name);
      replay_clear (&old);
      replay_clear (&new);
    }
}

/* Under overload that lasts, one expired job a second is started before all others. */
static void
test_expired_jobs_end (void **state)
{
  static const struct load load = { "lasting overload", 3000, 200, 1, 1, 0, 0, 3, true };
  struct replay replay;
  int ended = 0;

  (void)state;
  replay_load (&replay, &load, false);
  for (guint i = 0; i < replay.jobs->len; i++)
    {
      const struct job *job = g_ptr_array_index (replay.jobs, i);
      ended += job->key.has_turn && job->ended_ms < LOAD_MS;
    }
  assert_in_range (ended, LOAD_MS / FL_ORDER_TURN_INTERVAL_MS / 2, INT32_MAX);
  replay_clear (&replay);
}

/* Of many jobs that wait for a turn, the last has it after a minute; work without an objective,
 * which never expires, is due one by its wait. */
static void
test_turns (void **state)
{
  static const struct
  {
    int64_t count;
    int64_t interval_ms;
  } cases[] = { { 1, 1000 }, { 60, 1000 }, { 120, 500 }, { 6000, 10 } };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    assert_int_equal (fl_order_turn_interval_ms (cases[i].count), cases[i].interval_ms);
  assert_true (fl_order_is_due_a_turn (FL_ORDER_EXPIRED, 0));
  assert_false (fl_order_is_due_a_turn (FL_ORDER_IN_TIME, FL_ORDER_TURN_WAIT_MS - 1));
  assert_true (fl_order_is_due_a_turn (FL_ORDER_IN_TIME, FL_ORDER_TURN_WAIT_MS));
}

static void
test_order_of_keys (void **state)
{
  static const struct
  {
    const char *name;
    struct fl_order_key first;
    struct fl_order_key second;
  } cases[] = {
    { "priority", { .order_class = FL_ORDER_LATE }, { .priority = 1 } },
    { "class", { .team_excess = 3 }, { .order_class = FL_ORDER_LATE } },
    { "expired jobs go after those of lower priority",
      { .priority = 2, .order_class = FL_ORDER_LATE },
      { .order_class = FL_ORDER_EXPIRED } },
    { "but not the one that has a turn",
      { .priority = 2, .order_class = FL_ORDER_EXPIRED, .has_turn = true },
      { .priority = 0 } },
    { "work of any class may have a turn",
      { .priority = 2, .order_class = FL_ORDER_LATE, .has_turn = true },
      { .priority = 0 } },
    { "team", { .unstarted_share = 1 }, { .team_excess = 1 } },
    { "jobs of which most has been started",
      { .unstarted_share = 0.2, .left_ms = 900, .is_at_risk = true },
      { .unstarted_share = 0.6 } },
    { "margin", { .left_ms = 900 }, { .is_at_risk = true } },
    { "least slack", { .left_ms = 1, .sequence = 2 }, { .left_ms = 2, .sequence = 1 } },
    { "age of expired jobs",
      { .order_class = FL_ORDER_EXPIRED, .left_ms = -1, .sequence = 1 },
      { .order_class = FL_ORDER_EXPIRED, .left_ms = -2, .sequence = 2 } },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    if (fl_order_compare (&cases[i].first, &cases[i].second) >= 0
        || fl_order_compare (&cases[i].second, &cases[i].first) <= 0)
      fail_msg ("%s", cases[i].name);
}

static void
test_order_of_queries (void **state)
{
  static const struct
  {
    const char *name;
    struct fl_order_query first;
    struct fl_order_query second;
  } cases[] = {
    { "users of long-running steps", { .unserved_ms = 1500 }, { .response_ratio = 9 } },
    { "longest unserved first", { .unserved_ms = 1500, .position = 1 }, { .unserved_ms = 1400 } },
    { "response ratio", { .response_ratio = 2, .position = 1 }, { .response_ratio = 1 } },
    { "expired jobs last", { .response_ratio = 1 }, { .is_expired = true, .response_ratio = 2 } },
    { "order of placing where room is scarce",
      { .is_room_scarce = true, .response_ratio = 1 },
      { .is_room_scarce = true, .response_ratio = 2, .position = 1 } },
    { "services with room", { .position = 1 }, { .is_room_scarce = true } },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    if (fl_order_compare_queries (&cases[i].first, &cases[i].second) >= 0
        || fl_order_compare_queries (&cases[i].second, &cases[i].first) <= 0)
      fail_msg ("%s", cases[i].name);
}

/* The time that a step still needs, of tasks that take 1 s. */
static void
test_step_time (void **state)
{
  static const struct
  {
    const char *name;
    struct fl_step_time step;
    double least_ms;
    double most_ms;
  } cases[] = {
    { "one task", { .tasks = 1, .idle_tasks = 1 }, 1000, 1100 },
    { "longest of many", { .tasks = 16, .idle_tasks = 16 }, 1800, 2600 },
    { "query", { .tasks = 1, .idle_tasks = 1, .advice_ms = 700 }, 1700, 1800 },
    { "has tickets",
      { .tasks = 1, .idle_tasks = 1, .advice_ms = 700, .has_advice = true },
      1000,
      1100 },
    { "waves", { .tasks = 16, .idle_tasks = 16, .tasks_at_once_max = 4 }, 4000, 5500 },
    { "likely failure", { .tasks = 16, .idle_tasks = 16, .failure_share = 0.5 }, 2700, 3700 },
    { "last one runs", { .tasks = 16, .running_left_ms = 300 }, 300, 300 },
    { "larger job", { .tasks = 1, .idle_tasks = 1, .scale = 7 }, 7000, 7100 },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fl_step_time step = cases[i].step;
      step.run_time = (struct fl_run_time){ 1000, 0.4, true };
      step.scale = step.scale > 0 ? step.scale : 1;
      step.tasks_at_once_max = step.tasks_at_once_max > 0 ? step.tasks_at_once_max : step.tasks;
      double left_ms = fl_step_left_ms (&step);
      if (left_ms < cases[i].least_ms || left_ms > cases[i].most_ms)
        fail_msg ("%s: %.0f ms", cases[i].name, left_ms);
    }
  assert_int_equal ((int)fl_running_left_ms (1000, 2500, 2000, 40), 2500);
  assert_int_equal ((int)fl_running_left_ms (1000, 400, 0, 0), 600);
  assert_true (fl_running_left_ms (1000, 4000, 0, 0) >= 1000);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_loads),
                                      cmocka_unit_test (test_expired_jobs_end),
                                      cmocka_unit_test (test_turns),
                                      cmocka_unit_test (test_order_of_keys),
                                      cmocka_unit_test (test_order_of_queries),
                                      cmocka_unit_test (test_step_time) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
