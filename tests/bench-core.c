/* Benchmarks of the decision core, each beside a baseline in the same run.
 *
 *   bench-core decide|requests|packing|fairness|slopes
 *
 * Times are of this machine; slopes prints CSV lines "what,size,value,unit".
 */
#include <inttypes.h>
#include <malloc.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <glib.h>

#include "common/stats.h"
#include "domain/domain.h"
#include "message/message.h"
#include "target/pool.h"

#define ROUNDS 200000

static int64_t
now_ns (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t)now.tv_sec * 1000000000 + now.tv_nsec;
}

static unsigned int
no_tasks (const void *task)
{
  (void)task;
  return 0;
}

/* --- decisions: best fit by index, beside a linear first fit --- */

static struct fl_resources
random_demand (GRand *random)
{
  return (struct fl_resources){ { g_rand_int_range (random, 1, 9) * 500,
                                  g_rand_int_range (random, 1, 17) * 512, 0, 0 } };
}

static struct fl_pool *
make_pool (int count)
{
  struct fl_pool *pool = fl_pool_new (no_tasks);
  struct fl_name label = { 0 };
  struct fl_resources capacity = { { 16000, 32768, 0, 8 } };

  for (int i = 0; i < count; i++)
    {
      struct fl_name name = fl_name_format ("t%d", i);
      fl_pool_set_state (pool, fl_pool_add (pool, &name, &label, &capacity), FL_TARGET_READY);
    }
  return pool;
}

static struct fl_target *
first_fit (struct fl_pool *pool, const struct fl_resources *demand)
{
  struct fl_target *target;
  size_t cursor = 0;

  while ((target = fl_pool_next (pool, &cursor)) != NULL)
    {
      struct fl_resources free = target->capacity;
      fl_resources_add (&free, &target->used, -1);
      if (fl_resources_fit (demand, &free))
        return target;
    }
  return NULL;
}

struct placed
{
  struct fl_target *target;
  struct fl_resources demand;
};

static void
decide (int workers,
        const char *name,
        struct fl_target *(*pick) (struct fl_pool *pool, const struct fl_resources *demand))
{
  struct fl_pool *pool = make_pool (workers);
  GRand *random = g_rand_new_with_seed (1);
  struct fl_histogram *h = g_new0 (struct fl_histogram, 1);
  GArray *all = g_array_new (FALSE, FALSE, sizeof (struct placed));
  int64_t total_ns = 0;
  int rounds = workers > 2000 ? ROUNDS / 4 : ROUNDS;

  for (;;) /* fill until something does not fit, then take a tenth away */
    {
      struct placed one = { NULL, random_demand (random) };
      one.target = pick (pool, &one.demand);
      if (one.target == NULL)
        break;
      fl_pool_reserve (pool, one.target, &one.demand);
      g_array_append_val (all, one);
    }
  for (guint i = all->len / 10; i > 0; i--)
    {
      guint at = (guint)g_rand_int_range (random, 0, (gint32)all->len);
      struct placed *one = &g_array_index (all, struct placed, at);
      fl_pool_release (pool, one->target, &one->demand);
      g_array_remove_index_fast (all, at);
    }
  for (int i = 0; i < rounds; i++)
    {
      guint at = (guint)g_rand_int_range (random, 0, (gint32)all->len);
      struct placed old = g_array_index (all, struct placed, at);
      struct placed one = { NULL, random_demand (random) };
      fl_pool_release (pool, old.target, &old.demand);
      g_array_remove_index_fast (all, at);
      int64_t start = now_ns ();
      one.target = pick (pool, &one.demand);
      if (one.target != NULL)
        fl_pool_reserve (pool, one.target, &one.demand);
      int64_t took = now_ns () - start;
      total_ns += took;
      fl_histogram_record (h, took);
      if (one.target != NULL)
        g_array_append_val (all, one);
    }
  printf ("decide workers=%d policy=%s p50_ns=%" PRId64 " p99_ns=%" PRId64
          " placements_per_s=%.0f\n",
          workers, name, fl_histogram_quantile (h, 0.5), fl_histogram_quantile (h, 0.99),
          (double)rounds * 1e9 / (double)total_ns);
  fl_pool_free (pool);
  g_array_unref (all);
  g_rand_free (random);
  g_free (h);
}

static void
bench_decide (void)
{
  static const int sizes[] = { 48, 480, 1900, 10000 };

  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      decide (sizes[i], "best_fit", fl_pool_pick);
      decide (sizes[i], "first_fit", first_fit);
    }
}

/* --- packing --- */

static double
pack (int workers,
      uint32_t seed,
      struct fl_target *(*pick) (struct fl_pool *pool, const struct fl_resources *demand))
{
  struct fl_pool *pool = make_pool (workers);
  GRand *random = g_rand_new_with_seed (seed);
  struct fl_resources capacity;
  struct fl_resources used;
  struct fl_target *target;

  for (;;)
    {
      struct fl_resources demand = random_demand (random);
      target = pick (pool, &demand);
      if (target == NULL)
        break;
      fl_pool_reserve (pool, target, &demand);
    }
  fl_pool_totals (pool, &capacity, &used);
  double cpu = (double)used.amount[FL_CPU_MILLI] / (double)capacity.amount[FL_CPU_MILLI];
  double memory = (double)used.amount[FL_MEMORY_MB] / (double)capacity.amount[FL_MEMORY_MB];
  fl_pool_free (pool);
  g_rand_free (random);
  return MAX (cpu, memory);
}

static void
bench_packing (void)
{
  static const int sizes[] = { 48, 480, 1900 };

  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      double best = 0;
      double first = 0;
      for (uint32_t seed = 1; seed <= 10; seed++)
        {
          best += pack (sizes[i], seed, fl_pool_pick) / 10;
          first += pack (sizes[i], seed, first_fit) / 10;
        }
      printf ("packing workers=%d best_fit=%.4f first_fit=%.4f bound=1.0000\n", sizes[i], best,
              first);
    }
}

/* --- the whole core --- */

struct cell
{
  struct fl_domain *domain;
  struct fl_config *config;
  GQueue runs;   /* struct run */
  GQueue starts; /* struct fl_name */
  GQueue records;
  int64_t now;
};

struct run
{
  uint64_t id;
  int64_t attempt;
};

static bool
op_may_act (void *context)
{
  (void)context;
  return true;
}

static void
op_run (void *context, struct fl_target *target, const struct fl_request *request)
{
  struct cell *cell = context;
  struct run *run = g_new (struct run, 1);

  (void)target;
  *run = (struct run){ fl_request_id (request), fl_request_attempt (request) };
  g_queue_push_tail (&cell->runs, run);
}

static void
op_start (void *context, struct fl_target *target, const struct fl_task *task)
{
  struct cell *cell = context;
  struct fl_name id = fl_task_id (task);

  (void)target;
  g_queue_push_tail (&cell->starts, g_memdup2 (&id, sizeof id));
}

static void
op_stop (void *context, struct fl_target *target, const struct fl_name *id, enum fl_stop_mode mode)
{
  (void)context;
  (void)target;
  (void)id;
  (void)mode;
}

static void
op_inspect (void *context, struct fl_target *target)
{
  (void)context;
  (void)target;
}

static void
op_commit (void *context, const struct fl_record *record)
{
  struct cell *cell = context;

  g_queue_push_tail (&cell->records, g_memdup2 (&record->id, sizeof record->id));
}

static void
op_answer (void *context, uint64_t handle, const struct fl_answer *answer)
{
  (void)context;
  (void)handle;
  (void)answer;
}

static void
settle (struct cell *cell)
{
  uint64_t *id;

  while ((id = g_queue_pop_head (&cell->records)) != NULL)
    {
      fl_domain_on_committed (cell->domain, *id, FL_COMMIT_OK, 1, NULL, cell->now);
      g_free (id);
    }
}

static void
configure (struct cell *cell, int teams)
{
  json_t *ticket = json_pack ("{s:i,s:[],s:[]}", "number", 1, "teams", "queues");
  struct fl_ticket parsed;
  struct fl_problems problems = { 0 };

  for (int t = 0; t < teams; t++)
    {
      g_autofree char *team = g_strdup_printf ("team%d", t);
      g_autofree char *queue = g_strdup_printf ("q%d", t);
      g_autofree char *batch = g_strdup_printf ("b%d", t);
      json_array_append_new (
          json_object_get (ticket, "teams"),
          json_pack ("{s:s,s:i,s:i}", "name", team, "share", 1 + t % 8, "limit", 100000));
      json_array_append_new (json_object_get (ticket, "queues"),
                             json_pack ("{s:s,s:s}", "name", queue, "team", team));
      json_array_append_new (
          json_object_get (ticket, "queues"),
          json_pack ("{s:s,s:s,s:s}", "name", batch, "team", team, "kind", "batch"));
    }
  struct fl_str text = fl_json_text (ticket);
  bool ok = fl_ticket_read (text.data, text.len, &parsed, &problems);
  g_assert (ok);
  fl_config_apply (cell->config, &parsed);
  fl_ticket_clear (&parsed);
  fl_str_clear (&text);
  json_decref (ticket);
  fl_domain_set_config (cell->domain, cell->config, 1, 0, 0);
  for (int t = 0; t < teams; t++)
    {
      struct fl_name team = fl_name_format ("team%d", t);
      fl_domain_set_allotment (cell->domain, &team, 100000, 0);
    }
}

static struct cell *
make_cell (int workers, int teams)
{
  struct cell *cell = g_new0 (struct cell, 1);
  struct fl_domain_options options = { .name = fl_name_of ("d"),
                                       .epoch = 1,
                                       .limits = fl_domain_limits_default,
                                       .ops = { cell, op_may_act, op_run, op_start, op_stop,
                                                op_inspect, op_commit, op_answer } };

  cell->config = fl_config_new ();
  cell->domain = fl_domain_new (&options);
  configure (cell, teams);
  for (int i = 0; i < workers; i++)
    {
      struct fl_name name = fl_name_format ("worker-%d", i);
      struct fl_name rack = fl_name_format ("rack-%d", i / 8);
      struct fl_name label = { 0 };
      struct fl_resources capacity = { { 16000, 32768, 0, 8 } };
      fl_domain_list_target (cell->domain, &name, &label, &rack, "http://127.0.0.1:9999/t/x",
                             &capacity, false, 0);
    }
  fl_domain_loaded (cell->domain, 0);
  struct fl_target *target;
  size_t cursor = 0;
  while ((target = fl_pool_next (fl_domain_pool (cell->domain), &cursor)) != NULL)
    {
      struct fl_target_report report
          = { .instance = fl_name_of ("i"), .renewed = true, .full = true };
      fl_domain_on_report (cell->domain, target, &report, 0, 0);
    }
  return cell;
}

static void
free_cell (struct cell *cell)
{
  fl_domain_free (cell->domain);
  fl_config_free (cell->config);
  g_queue_clear_full (&cell->runs, g_free);
  g_queue_clear_full (&cell->starts, g_free);
  g_queue_clear_full (&cell->records, g_free);
  g_free (cell);
}

static void
send_request (struct cell *cell, int i, int teams)
{
  struct fl_name team = fl_name_format ("team%d", i % teams);
  struct fl_request_spec spec = { .id = fl_name_format ("r%d", i),
                                  .queue = fl_name_format ("q%d", i % teams),
                                  .repeatable = true,
                                  .timeout_ms = 5000 };

  fl_domain_request (cell->domain, (uint64_t)i + 1, &team, &spec, cell->now);
}

static void
requests (int workers, int teams)
{
  struct cell *cell = make_cell (workers, teams);
  struct fl_histogram *h = g_new0 (struct fl_histogram, 1);
  struct fl_str body = { 0 };
  int open = workers * 6; /* three quarters of the slots */
  int64_t begin = now_ns ();

  for (int i = 0; i < ROUNDS; i++)
    {
      int64_t start = now_ns ();
      send_request (cell, i, teams);
      fl_histogram_record (h, now_ns () - start);
      if (i < open)
        continue;
      struct run *run = g_queue_pop_head (&cell->runs);
      fl_domain_on_run (cell->domain, run->id, run->attempt, FL_CALL_DONE, &body, cell->now);
      g_free (run);
    }
  printf ("requests workers=%d teams=%d p50_ns=%" PRId64 " p99_ns=%" PRId64
          " placements_per_s=%.0f\n",
          workers, teams, fl_histogram_quantile (h, 0.5), fl_histogram_quantile (h, 0.99),
          ROUNDS * 1e9 / (double)(now_ns () - begin));
  free_cell (cell);
  g_free (h);
}

static void
bench_requests (void)
{
  static const int sizes[] = { 48, 480, 1900, 10000 };

  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    requests (sizes[i], 76);
}

/* --- fairness: every team has more work than fits; ends come at random --- */

struct fairness_visit
{
  int64_t cost[16];
};

static void
note_cost (void *context, const struct fl_team_usage *usage)
{
  struct fairness_visit *visit = context;

  visit->cost[atoi (usage->team.data + strlen ("team"))] = usage->cost;
}

static double
distance_from_share (const struct cell *cell, int teams)
{
  struct fairness_visit visit = { { 0 } };
  double total = 0;
  double shares = 0;
  double worst = 0;

  fl_domain_each_team (cell->domain, note_cost, &visit);
  for (int t = 0; t < teams; t++)
    {
      total += (double)visit.cost[t];
      shares += 1 + t % 8;
    }
  for (int t = 0; t < teams; t++)
    worst = MAX (worst, fabs ((double)visit.cost[t] / total - (1 + t % 8) / shares));
  return worst;
}

static void
end_one (struct cell *cell, GRand *random)
{
  guint at = (guint)g_rand_int_range (random, 0, (gint32)cell->starts.length);
  struct fl_name *id = g_queue_pop_nth (&cell->starts, at);
  struct fl_task_event event = { .seq = 0, .id = *id, .ok = true };
  struct fl_target *target;
  size_t cursor = 0;

  fl_domain_on_started (cell->domain, id, FL_CALL_DONE, cell->now);
  while ((target = fl_pool_next (fl_domain_pool (cell->domain), &cursor)) != NULL)
    {
      struct fl_target_report report
          = { .instance = fl_name_of ("i"), .renewed = true, .events = &event, .event_count = 1 };
      event.seq = target->seen + 1;
      fl_domain_on_report (cell->domain, target, &report, cell->now, cell->now);
      if (fl_pool_find (fl_domain_pool (cell->domain), &target->name) == NULL)
        break;
    }
  g_free (id);
  settle (cell);
}

static void
bench_fairness (void)
{
  int teams = 8;
  struct cell *cell = make_cell (48, teams);
  GRand *random = g_rand_new_with_seed (3);

  for (int j = 0; j < 40; j++)
    for (int t = 0; t < teams; t++)
      {
        struct fl_name team = fl_name_format ("team%d", t);
        struct fl_job_spec spec = { .id = fl_name_format ("j%d", j),
                                    .queue = fl_name_format ("b%d", t),
                                    .tasks = 200,
                                    .attempts = 3,
                                    .demand = { { 1000, 2048, 0, 0 } } };
        fl_domain_submit (cell->domain, 0, &team, &spec, 0);
        settle (cell);
      }
  printf ("fairness teams=%d after=filling largest_distance=%.4f\n", teams,
          distance_from_share (cell, teams));
  for (int ends = 500; ends <= 2000; ends += 500)
    {
      for (int i = 0; i < 500; i++)
        end_one (cell, random);
      printf ("fairness teams=%d after_ends=%d largest_distance=%.4f fifo_baseline=%.4f\n", teams,
              ends, distance_from_share (cell, teams), 8.0 / 36.0 - 1.0 / 8.0);
    }
  g_rand_free (random);
  free_cell (cell);
}

/* --- slopes --- */

static int64_t
heap_bytes (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return (int64_t)info.uordblks + (int64_t)info.hblkhd;
}

static void
slope_targets (void)
{
  static const int sizes[] = { 100, 200, 400, 800, 1900 };

  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      int64_t before = heap_bytes ();
      struct cell *cell = make_cell (sizes[i], 76);
      printf ("memory_targets,%d,%" PRId64 ",bytes\n", sizes[i], heap_bytes () - before);
      int64_t start = now_ns ();
      for (int k = 0; k < 200; k++)
        fl_domain_tick (cell->domain, ++cell->now);
      printf ("tick_targets,%d,%" PRId64 ",ns\n", sizes[i], (now_ns () - start) / 200);
      free_cell (cell);
    }
}

static void
slope_tasks (void)
{
  static const int sizes[] = { 500, 1000, 2000, 4000, 7600 };

  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      struct cell *cell = make_cell (1900, 76);
      int64_t before = heap_bytes ();
      for (int j = 0; j < sizes[i]; j += 20)
        {
          struct fl_name team = fl_name_format ("team%d", j / 20 % 76);
          struct fl_job_spec spec = { .id = fl_name_format ("j%d", j),
                                      .queue = fl_name_format ("b%d", j / 20 % 76),
                                      .tasks = 20,
                                      .attempts = 3,
                                      .demand = { { 1000, 1024, 0, 0 } } };
          fl_domain_submit (cell->domain, 0, &team, &spec, 0);
          settle (cell);
        }
      g_queue_clear_full (&cell->starts, g_free);
      printf ("memory_tasks,%d,%" PRId64 ",bytes\n", sizes[i], heap_bytes () - before);
      int64_t start = now_ns ();
      for (int k = 0; k < 200; k++)
        fl_domain_tick (cell->domain, ++cell->now);
      printf ("tick_tasks,%d,%" PRId64 ",ns\n", sizes[i], (now_ns () - start) / 200);
      free_cell (cell);
    }
}

static size_t
packed_size (enum fl_message_type type, const void *object)
{
  msgpack_sbuffer buffer;

  fl_message_pack (type, object, &buffer);
  size_t size = buffer.size;
  msgpack_sbuffer_destroy (&buffer);
  return size;
}

static void
slope_messages (void)
{
  static const int teams[] = { 10, 20, 40, 76 };
  static const int domains[] = { 1, 2, 4, 11 };
  struct fl_status status = { .instance = fl_name_of ("entry-1.sched-0123456789ab"),
                              .address = fl_name_of ("tcp://10.10.10.10:7100"),
                              .http = fl_name_of ("http://10.10.10.10:7101"),
                              .domain = fl_name_of ("mu-curepipe"),
                              .region = fl_name_of ("mu-island"),
                              .config_head = 100000,
                              .stamp_ms = 1000000000 };
  struct fl_hello hello = { .instance = status.instance,
                            .address = status.address,
                            .http = status.http,
                            .domain = status.domain,
                            .region = status.region,
                            .config_head = 100000,
                            .stamp_ms = 1000000000 };

  printf ("message_hello,1,%zu,bytes\n", packed_size (FL_MSG_HELLO, &hello));
  for (size_t i = 0; i < G_N_ELEMENTS (domains); i++)
    {
      struct fl_domain_status *d = g_new0 (struct fl_domain_status, domains[i]);
      struct fl_vote_item *v = g_new0 (struct fl_vote_item, domains[i]);
      struct fl_vote_message vote
          = { .instance = status.instance, .stamp_ms = 1000000000, .items = { domains[i], v } };
      for (int k = 0; k < domains[i]; k++)
        {
          d[k] = (struct fl_domain_status){ status.domain, 100, 1384, 2768000, 50, 173, true };
          v[k] = (struct fl_vote_item){ status.domain, 100, false, true };
        }
      status.domains = (struct fl_array){ domains[i], d };
      printf ("message_status_domains,%d,%zu,bytes\n", domains[i],
              packed_size (FL_MSG_STATUS, &status));
      printf ("message_vote_domains,%d,%zu,bytes\n", domains[i], packed_size (FL_MSG_VOTE, &vote));
      status.domains = (struct fl_array){ 0 };
      g_free (d);
      g_free (v);
    }
  for (size_t i = 0; i < G_N_ELEMENTS (teams); i++)
    {
      struct fl_usage_item *u = g_new0 (struct fl_usage_item, teams[i]);
      for (int k = 0; k < teams[i]; k++)
        u[k] = (struct fl_usage_item){
          fl_name_of ("certificates"), status.domain, 10000, 9, 3, false
        };
      status.usage = (struct fl_array){ teams[i], u };
      status.usage_version = 100000;
      printf ("message_status_teams,%d,%zu,bytes\n", teams[i],
              packed_size (FL_MSG_STATUS, &status));
      status.usage = (struct fl_array){ 0 };
      g_free (u);
    }
}

static void
slope_tickets (void)
{
  static const int sizes[] = { 100, 300, 600, 1100 };

  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      int64_t before = heap_bytes ();
      struct fl_config *config = fl_config_new ();
      int64_t start = now_ns ();
      for (int n = 1; n <= sizes[i]; n++)
        {
          g_autofree char *json
              = g_strdup_printf ("{\"number\":%d,\"teams\":[{\"name\":\"t%d\",\"share\":1,"
                                 "\"limit\":10}]}",
                                 n, n);
          struct fl_ticket ticket;
          struct fl_problems problems = { 0 };
          fl_ticket_read (json, strlen (json), &ticket, &problems);
          fl_config_apply (config, &ticket);
          fl_ticket_clear (&ticket);
        }
      printf ("apply_tickets,%d,%" PRId64 ",ns\n", sizes[i], now_ns () - start);
      printf ("memory_tickets,%d,%" PRId64 ",bytes\n", sizes[i], heap_bytes () - before);
      fl_config_free (config);
    }
}

static void
bench_slopes (void)
{
  slope_targets ();
  slope_tasks ();
  slope_messages ();
  slope_tickets ();
}

int
main (int argc, char **argv)
{
  static const struct
  {
    const char *name;
    void (*run) (void);
  } benches[] = { { "decide", bench_decide },
                  { "requests", bench_requests },
                  { "packing", bench_packing },
                  { "fairness", bench_fairness },
                  { "slopes", bench_slopes } };

  for (size_t i = 0; i < G_N_ELEMENTS (benches); i++)
    if (argc < 2 || strcmp (argv[1], benches[i].name) == 0)
      benches[i].run ();
  return 0;
}
