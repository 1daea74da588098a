/* Stand-in for many targets in one process; each is served under /t/NAME.
 *
 * Payloads are JSON: {"ms":N,"fail":bool,"cpu_milli":N,"memory_mb":N,"echo":"..."}; anything else
 * runs for 5 ms (requests) or 50 ms (tasks). GET /summary gives the oracle's counts of what really
 * ran. POST /control {"target":"NAME" or "PREFIX*","fault":"none|dead|silent|slow|fail|leaving",
 * "delay_ms":N} brings about faults.
 */
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <argtable2.h>
#include <ev.h>
#include <glib.h>

#include "common/clock.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "ticket/objects.h"

#define REQUEST_MS 5
#define TASK_MS 50
#define TICK_S 0.1
#define EVENTS_PER_POLL 200

enum fault
{
  FAULT_NONE,
  FAULT_DEAD,   /* loses everything and does not answer */
  FAULT_SILENT, /* works on but does not answer */
  FAULT_SLOW,   /* answers late */
  FAULT_FAIL,   /* fails all that it starts */
  FAULT_LEAVING
};

static const char *const fault_names[]
    = { "none", "dead", "silent", "slow", "fail", "leaving", NULL };

struct target
{
  struct cell *cell;
  struct fl_name name;
  struct fl_name instance;
  int restarts;
  struct fl_resources capacity;
  struct fl_resources used;
  enum fault fault;
  int64_t delay_ms;
  int64_t epoch;          /* highest seen */
  GHashTable *runs;       /* struct fl_name * -> struct run * */
  GHashTable *tombstones; /* ids that were stopped before they were started */
  GArray *events;         /* struct event, not acknowledged */
  int64_t last_seq;
  struct fl_http_request *poll; /* held */
  int64_t poll_until_ms;
  int64_t poll_seen;
};

struct event
{
  int64_t seq;
  struct fl_name id;
  bool ok;
  bool checkpointed;
};

/* A task or request that runs. */
struct run
{
  struct target *target;
  struct fl_name id;
  char *logical; /* without the attempt: what must run once at a time */
  bool request;
  bool fail;
  struct fl_resources demand;
  int64_t use_cpu_milli;
  int64_t use_memory_mb;
  int64_t lease_until_ms;
  struct fl_http_request *http; /* requests: the held call */
  char *echo;
  ev_timer timer;
};

struct cell
{
  struct ev_loop *loop;
  struct fl_http_server *server;
  struct fl_http_client *client;
  GHashTable *targets; /* struct fl_name * -> struct target * */
  GHashTable *running; /* logical id -> int count */
  GHashTable *ended;   /* logical id -> int count of successful runs */
  bool guards;         /* refuse commands of an old epoch */
  GPtrArray *hung;     /* requests that are not answered */
  ev_timer tick;
  /* The oracle. */
  int64_t requests_run;
  int64_t tasks_started;
  int64_t tasks_ended;
  int64_t tasks_lapsed;
  int64_t overlaps; /* the same task in two places */
  int64_t request_overlaps;
  int64_t over_capacity; /* starts beyond what the host holds */
  int64_t old_epochs;
  int64_t polls;
};

static int64_t
now_ms (void)
{
  return fl_clock_monotonic_us () / 1000;
}

/* --- answers --- */

static void
respond (struct fl_http_request *request, int status, json_t *body)
{
  struct fl_str text = fl_json_text (body);
  struct fl_http_response response = { .status = status, .body = text.data, .len = text.len };

  fl_http_respond (request, &response);
  fl_str_clear (&text);
  json_decref (body);
}

struct delayed
{
  ev_timer timer;
  struct fl_http_request *request;
  int status;
  json_t *body;
};

static void
on_delay_over (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct delayed *delayed = timer->data;

  (void)loop;
  (void)events;
  respond (delayed->request, delayed->status, delayed->body);
  g_free (delayed);
}

/* Answers as the target's fault demands. */
static void
reply (struct target *t, struct fl_http_request *request, int status, json_t *body)
{
  if (t->fault == FAULT_DEAD || t->fault == FAULT_SILENT)
    {
      json_decref (body);
      g_ptr_array_add (t->cell->hung, request);
      return;
    }
  if (t->fault != FAULT_SLOW)
    {
      respond (request, status, body);
      return;
    }
  struct delayed *delayed = g_new0 (struct delayed, 1);
  delayed->request = request;
  delayed->status = status;
  delayed->body = body;
  ev_timer_init (&delayed->timer, on_delay_over, (double)t->delay_ms / 1000.0, 0.0);
  delayed->timer.data = delayed;
  ev_timer_start (t->cell->loop, &delayed->timer);
}

static void
refuse (struct target *t, struct fl_http_request *request, const char *why)
{
  reply (t, request, 409, json_pack ("{s:s}", "refused", why));
}

/* --- polls --- */

static json_t *
report (struct target *t, bool full)
{
  json_t *events = json_array ();
  json_t *usage = json_array ();
  GHashTableIter iter;
  struct run *run;
  json_t *body
      = json_pack ("{s:s,s:b}", "instance", t->instance.data, "leaving", t->fault == FAULT_LEAVING);

  for (guint i = 0; i < t->events->len && i < EVENTS_PER_POLL; i++)
    {
      const struct event *e = &g_array_index (t->events, struct event, i);
      if (e->seq > t->poll_seen)
        json_array_append_new (events, json_pack ("{s:I,s:s,s:b,s:b}", "seq", (json_int_t)e->seq,
                                                  "id", e->id.data, "ok", e->ok, "checkpointed",
                                                  e->checkpointed));
    }
  json_object_set_new (body, "events", events);
  json_t *running = json_array ();
  g_hash_table_iter_init (&iter, t->runs);
  while (g_hash_table_iter_next (&iter, NULL, (void **)&run))
    {
      json_array_append_new (running,
                             json_pack ("{s:s,s:b}", "id", run->id.data, "request", run->request));
      if (run->use_cpu_milli > 0 || run->use_memory_mb > 0)
        json_array_append_new (usage, json_pack ("{s:s,s:I,s:I}", "id", run->id.data, "cpu_milli",
                                                 (json_int_t)run->use_cpu_milli, "memory_mb",
                                                 (json_int_t)run->use_memory_mb));
    }
  if (full)
    json_object_set (body, "running", running);
  json_decref (running);
  json_object_set_new (body, "usage", usage);
  return body;
}

static void
answer_poll (struct target *t)
{
  struct fl_http_request *request = t->poll;

  if (request == NULL)
    return;
  t->poll = NULL;
  reply (t, request, 200, report (t, false));
}

static void
add_event (struct target *t, const struct fl_name *id, bool ok, bool checkpointed)
{
  struct event event = { ++t->last_seq, *id, ok, checkpointed };

  g_array_append_val (t->events, event);
  answer_poll (t);
}

static void
forget_events (struct target *t, int64_t acked)
{
  guint done = 0;

  while (done < t->events->len && g_array_index (t->events, struct event, done).seq <= acked)
    done++;
  if (done > 0)
    g_array_remove_range (t->events, 0, done);
}

static int64_t
number (const json_t *body, const char *name, int64_t fallback)
{
  const json_t *value = json_object_get (body, name);

  return json_is_integer (value) ? json_integer_value (value) : fallback;
}

static void
poll (struct target *t, struct fl_http_request *request, const json_t *body)
{
  int64_t lease_ms = number (body, "lease_ms", 0);
  int64_t wait_ms = number (body, "wait_ms", 0);
  int64_t seen = number (body, "seen", 0);
  GHashTableIter iter;
  struct run *run;

  t->cell->polls++;
  forget_events (t, number (body, "ack", 0));
  g_hash_table_iter_init (&iter, t->runs);
  while (lease_ms > 0 && g_hash_table_iter_next (&iter, NULL, (void **)&run))
    run->lease_until_ms = now_ms () + lease_ms;
  if (json_is_true (json_object_get (body, "full")) || wait_ms == 0)
    {
      t->poll_seen = seen;
      reply (t, request, 200, report (t, true));
      return;
    }
  answer_poll (t); /* a new poll replaces the old one */
  t->poll = request;
  t->poll_seen = seen;
  t->poll_until_ms = now_ms () + wait_ms;
  /* Events that were acknowledged are gone, however old what the poller has seen. */
  bool news = t->events->len > 0
              && g_array_index (t->events, struct event, t->events->len - 1).seq > seen;
  if (news || t->fault == FAULT_LEAVING)
    answer_poll (t);
}

/* --- running --- */

static int
count_of (GHashTable *table, const char *key)
{
  return GPOINTER_TO_INT (g_hash_table_lookup (table, key));
}

static void
add_count (GHashTable *table, const char *key, int amount)
{
  g_hash_table_replace (table, g_strdup (key), GINT_TO_POINTER (count_of (table, key) + amount));
}

static void
run_free (struct run *run)
{
  struct target *t = run->target;

  ev_timer_stop (t->cell->loop, &run->timer);
  fl_resources_add (&t->used, &run->demand, -1);
  add_count (t->cell->running, run->logical, -1);
  g_hash_table_remove (t->runs, &run->id);
  g_free (run->logical);
  g_free (run->echo);
  g_free (run);
}

static void
end_request (struct run *run)
{
  struct target *t = run->target;

  t->cell->requests_run++;
  add_count (t->cell->ended, run->logical, 1);
  reply (t, run->http, 200,
         json_pack ("{s:b,s:s}", "ok", !run->fail, "result", run->echo != NULL ? run->echo : ""));
  run_free (run);
}

static void
on_run_over (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct run *run = timer->data;
  struct target *t = run->target;

  (void)loop;
  (void)events;
  if (run->request)
    {
      end_request (run);
      return;
    }
  struct fl_name id = run->id;
  bool ok = !run->fail && t->fault != FAULT_FAIL;
  t->cell->tasks_ended++;
  if (ok)
    add_count (t->cell->ended, run->logical, 1);
  run_free (run);
  add_event (t, &id, ok, false);
}

/* "team/job/index/attempt" or "team/id/attempt" without the attempt. */
static char *
logical_id (const char *id)
{
  const char *last = strrchr (id, '/');

  return last != NULL ? g_strndup (id, (gsize)(last - id)) : g_strdup (id);
}

static struct run *
run_new (struct target *t, const json_t *body, bool request)
{
  struct cell *cell = t->cell;
  const char *id = json_string_value (json_object_get (body, "id"));
  const char *payload = json_string_value (json_object_get (body, "payload"));
  json_t *work = payload != NULL ? fl_json_parse (payload, strlen (payload), NULL) : NULL;
  const char *echo = json_string_value (json_object_get (work, "echo"));
  struct run *run = g_new0 (struct run, 1);
  int64_t ms = number (work, "ms", request ? REQUEST_MS : TASK_MS);

  run->target = t;
  run->id = fl_name_of (id != NULL ? id : "");
  run->logical = logical_id (run->id.data);
  run->request = request;
  run->fail = json_is_true (json_object_get (work, "fail"));
  run->use_cpu_milli = number (work, "cpu_milli", 0);
  run->use_memory_mb = number (work, "memory_mb", 0);
  run->echo = g_strdup (echo);
  if (request)
    run->demand.amount[FL_SLOTS] = 1;
  else
    {
      struct fl_problems problems = { 0 };
      fl_schema_from_json (&fl_resources_schema, json_object_get (body, "demand"), &run->demand,
                           "demand", &problems);
      fl_problems_clear (&problems);
      run->lease_until_ms = now_ms () + number (body, "lease_ms", 1000);
    }
  fl_resources_add (&t->used, &run->demand, 1);
  cell->over_capacity += !fl_resources_fit (&t->used, &t->capacity);
  if (count_of (cell->running, run->logical) > 0)
    {
      *(request ? &cell->request_overlaps : &cell->overlaps) += 1;
      fprintf (stderr, "overlap time=%" PRId64 " target=%s id=%s\n", fl_clock_wall_ms (),
               t->name.data, run->id.data);
    }
  add_count (cell->running, run->logical, 1);
  g_hash_table_insert (t->runs, &run->id, run);
  ev_timer_init (&run->timer, on_run_over, (double)ms / 1000.0, 0.0);
  run->timer.data = run;
  ev_timer_start (cell->loop, &run->timer);
  json_decref (work);
  return run;
}

/* Whether the command's epoch is too old for a target with guards. */
static bool
is_old (struct target *t, const json_t *body)
{
  int64_t epoch = number (body, "epoch", 0);

  if (epoch < t->epoch)
    {
      t->cell->old_epochs++;
      return t->cell->guards;
    }
  t->epoch = epoch;
  return false;
}

static bool
takes_work (const struct target *t)
{
  return t->fault != FAULT_LEAVING;
}

static void
run_request (struct target *t, struct fl_http_request *request, const json_t *body)
{
  if (is_old (t, body))
    refuse (t, request, "old_epoch");
  else if (!takes_work (t))
    refuse (t, request, "leaving");
  else
    run_new (t, body, true)->http = request;
}

static void
start_task (struct target *t, struct fl_http_request *request, const json_t *body)
{
  const char *id = json_string_value (json_object_get (body, "id"));
  struct fl_name name = fl_name_of (id != NULL ? id : "");

  if (is_old (t, body) || fl_clock_wall_ms () > number (body, "not_after_wall_ms", INT64_MAX))
    refuse (t, request, "too_late");
  else if (!takes_work (t))
    refuse (t, request, "leaving");
  else if (g_hash_table_contains (t->tombstones, &name))
    refuse (t, request, "stopped_before");
  else if (g_hash_table_contains (t->runs, &name))
    reply (t, request, 200, json_pack ("{s:b}", "started", true));
  else
    {
      t->cell->tasks_started++;
      run_new (t, body, false);
      reply (t, request, 200, json_pack ("{s:b}", "started", true));
    }
}

static void
stop_task (struct target *t, struct fl_http_request *request, const json_t *body)
{
  const char *id = json_string_value (json_object_get (body, "id"));
  struct fl_name name = fl_name_of (id != NULL ? id : "");
  struct run *run = g_hash_table_lookup (t->runs, &name);
  const char *state = "stopped";

  for (guint i = 0; i < t->events->len; i++)
    if (fl_name_eq (&g_array_index (t->events, struct event, i).id, &name))
      state = "ended";
  if (run != NULL)
    run_free (run);
  else
    g_hash_table_add (t->tombstones, g_memdup2 (&name, sizeof name));
  reply (t, request, 200, json_pack ("{s:s}", "state", state));
}

/* --- faults --- */

static void
lose_all (struct target *t)
{
  g_autoptr (GList) runs = g_hash_table_get_values (t->runs);

  for (GList *l = runs; l != NULL; l = l->next)
    {
      struct run *run = l->data;
      if (run->request)
        g_ptr_array_add (t->cell->hung, run->http);
      run_free (run);
    }
  g_array_set_size (t->events, 0);
  t->last_seq = 0;
  t->epoch = 0;
  t->instance = fl_name_format ("%s-%d", t->name.data, ++t->restarts);
}

static void
set_fault (struct target *t, enum fault fault, int64_t delay_ms)
{
  if (fault == FAULT_DEAD)
    lose_all (t);
  t->fault = fault;
  t->delay_ms = delay_ms;
  if (t->poll != NULL)
    answer_poll (t);
}

static void
control (struct cell *cell, struct fl_http_request *request, const json_t *body)
{
  const char *name = json_string_value (json_object_get (body, "target"));
  const char *fault = json_string_value (json_object_get (body, "fault"));
  size_t len = name != NULL ? strlen (name) : 0;
  GHashTableIter iter;
  struct target *t;
  int matched = 0;
  int value = 0;

  while (fault != NULL && fault_names[value] != NULL && strcmp (fault_names[value], fault) != 0)
    value++;
  g_hash_table_iter_init (&iter, cell->targets);
  while (fault != NULL && len > 0 && g_hash_table_iter_next (&iter, NULL, (void **)&t))
    if (name[len - 1] == '*' ? strncmp (t->name.data, name, len - 1) == 0
                             : strcmp (t->name.data, name) == 0)
      {
        set_fault (t, value, number (body, "delay_ms", 0));
        matched++;
      }
  respond (request, 200, json_pack ("{s:i}", "matched", matched));
}

static void
on_tick (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct cell *cell = timer->data;
  GHashTableIter iter;
  struct target *t;

  (void)loop;
  (void)events;
  g_hash_table_iter_init (&iter, cell->targets);
  while (g_hash_table_iter_next (&iter, NULL, (void **)&t))
    {
      g_autoptr (GList) runs = g_hash_table_get_values (t->runs);
      for (GList *l = runs; l != NULL; l = l->next)
        {
          struct run *run = l->data;
          if (run->request || now_ms () < run->lease_until_ms)
            continue;
          cell->tasks_lapsed++;
          run_free (run);
        }
      if (t->poll != NULL && now_ms () >= t->poll_until_ms)
        answer_poll (t);
    }
}

/* --- the oracle --- */

static void
summary (struct cell *cell, struct fl_http_request *request)
{
  GHashTableIter iter;
  char *logical;
  void *count;
  int64_t unique = 0;
  int64_t again = 0;
  json_t *doubled = json_array ();

  g_hash_table_iter_init (&iter, cell->ended);
  while (g_hash_table_iter_next (&iter, (void **)&logical, &count))
    {
      unique++;
      if (GPOINTER_TO_INT (count) < 2)
        continue;
      again++;
      if (json_array_size (doubled) < 1000)
        json_array_append_new (doubled, json_string (logical));
    }
  respond (request, 200,
           json_pack ("{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:o}", "requests_run",
                      (json_int_t)cell->requests_run, "tasks_started",
                      (json_int_t)cell->tasks_started, "tasks_ended", (json_int_t)cell->tasks_ended,
                      "tasks_lapsed", (json_int_t)cell->tasks_lapsed, "unique", (json_int_t)unique,
                      "ended_twice", (json_int_t)again, "overlaps", (json_int_t)cell->overlaps,
                      "request_overlaps", (json_int_t)cell->request_overlaps, "over_capacity",
                      (json_int_t)cell->over_capacity, "old_epochs", (json_int_t)cell->old_epochs,
                      "polls", (json_int_t)cell->polls, "twice", doubled));
}

/* Every logical id that ended, with how often. */
static void
records (struct cell *cell, struct fl_http_request *request)
{
  json_t *all = json_object ();
  GHashTableIter iter;
  char *logical;
  void *count;

  g_hash_table_iter_init (&iter, cell->ended);
  while (g_hash_table_iter_next (&iter, (void **)&logical, &count))
    json_object_set_new (all, logical, json_integer (GPOINTER_TO_INT (count)));
  respond (request, 200, all);
}

/* --- serving --- */

static void
serve_target (struct cell *cell,
              struct fl_http_request *request,
              const char *path,
              const json_t *body)
{
  const char *slash = strchr (path, '/');
  struct fl_name name = fl_name_make (path, slash != NULL ? (size_t)(slash - path) : 0);
  struct target *t = g_hash_table_lookup (cell->targets, &name);

  if (t == NULL || slash == NULL)
    respond (request, 404, json_pack ("{s:s}", "refused", "no such target"));
  else if (t->fault == FAULT_DEAD)
    g_ptr_array_add (cell->hung, request);
  else if (strcmp (slash, "/v1/run") == 0)
    run_request (t, request, body);
  else if (strcmp (slash, "/v1/start") == 0)
    start_task (t, request, body);
  else if (strcmp (slash, "/v1/stop") == 0)
    stop_task (t, request, body);
  else if (strcmp (slash, "/v1/poll") == 0)
    poll (t, request, body);
  else
    respond (request, 404, json_pack ("{s:s}", "refused", "no such call"));
}

static void
on_request (void *context, struct fl_http_request *request)
{
  struct cell *cell = context;
  const char *path = fl_http_path (request);
  const struct fl_str *text = fl_http_body (request);
  json_t *body = text->len > 0 ? fl_json_parse (text->data, text->len, NULL) : json_object ();

  if (strcmp (path, "/summary") == 0)
    summary (cell, request);
  else if (strcmp (path, "/records") == 0)
    records (cell, request);
  else if (strcmp (path, "/control") == 0)
    control (cell, request, body);
  else if (g_str_has_prefix (path, "/t/"))
    serve_target (cell, request, path + 3, body);
  else
    respond (request, 404, json_object ());
  json_decref (body);
}

/* --- start --- */

struct shape
{
  int per_domain;
  int per_rack;
  const char *prefix;
  const char *label;
  const char *region;
  struct fl_resources capacity;
};

static void
add_target (
    struct cell *cell, const struct shape *shape, const char *domain, int index, json_t *hosts)
{
  struct target *t = g_new0 (struct target, 1);

  t->cell = cell;
  t->name = fl_name_format ("%s%s-%d", shape->prefix, domain, index);
  t->instance = fl_name_format ("%s-0", t->name.data);
  t->capacity = shape->capacity;
  t->runs = g_hash_table_new (fl_name_hash, fl_name_equal);
  t->tombstones = g_hash_table_new_full (fl_name_hash, fl_name_equal, g_free, NULL);
  t->events = g_array_new (FALSE, FALSE, sizeof (struct event));
  g_hash_table_insert (cell->targets, &t->name, t);
  g_autofree char *rack = g_strdup_printf ("%s-r%d", domain, index / shape->per_rack);
  g_autofree char *url = g_strdup_printf ("http://127.0.0.1:%d/t/%s",
                                          fl_http_server_port (cell->server), t->name.data);
  json_object_set_new (hosts, t->name.data,
                       json_pack ("{s:s,s:s,s:s,s:s,s:s,s:s,s:o}", "name", t->name.data, "domain",
                                  domain, "region", shape->region, "rack", rack, "label",
                                  shape->label, "url", url, "capacity",
                                  fl_schema_to_json (&fl_resources_schema, &t->capacity)));
}

static void
on_registered (void *context, const struct fl_http_result *result)
{
  struct cell *cell = context;

  if (result->status != 200)
    {
      fprintf (stderr, "standin-targets: cannot register: %s\n", result->error.text);
      ev_break (cell->loop, EVBREAK_ALL);
      return;
    }
  printf ("port=%d\n", fl_http_server_port (cell->server));
  fflush (stdout);
}

static void
register_hosts (struct cell *cell, const char *platform, const json_t *hosts)
{
  g_autofree char *url = g_strdup_printf ("%s/admin/hosts", platform);
  struct fl_str body = fl_json_text (hosts);
  struct fl_http_call call = { .method = "POST",
                               .url = url,
                               .body = body.data,
                               .len = body.len,
                               .timeout_ms = 10000,
                               .connect_timeout_ms = 5000,
                               .on_done = on_registered,
                               .context = cell };

  fl_http_client_start (cell->client, &call);
  fl_str_clear (&body);
}

static void
on_signal (struct ev_loop *loop, ev_signal *watcher, int events)
{
  (void)watcher;
  (void)events;
  ev_break (loop, EVBREAK_ALL);
}

int
main (int argc, char **argv)
{
  struct arg_int *port = arg_int0 ("p", "port", "N", "port on 127.0.0.1; 0 picks one");
  struct arg_str *platform = arg_str1 (NULL, "platform", "URL", "where to register");
  struct arg_str *domains = arg_str1 (NULL, "domains", "A,B", "failure domains");
  struct arg_str *region = arg_str0 (NULL, "region", "NAME", "of all these targets");
  struct arg_int *count = arg_int0 (NULL, "per-domain", "N", "targets in each domain");
  struct arg_int *per_rack = arg_int0 (NULL, "per-rack", "N", "targets in each rack");
  struct arg_int *cores = arg_int0 (NULL, "cores", "N", "of each target");
  struct arg_int *memory = arg_int0 (NULL, "memory-mb", "N", "of each target");
  struct arg_int *accelerators = arg_int0 (NULL, "accelerators", "N", "of each target");
  struct arg_int *slots = arg_int0 (NULL, "slots", "N", "of each target");
  struct arg_str *label = arg_str0 (NULL, "label", "NAME", "of each target");
  struct arg_str *prefix = arg_str0 (NULL, "prefix", "TEXT", "of each target's name");
  struct arg_lit *guards = arg_lit0 (NULL, "guards", "refuse commands of an old epoch");
  struct arg_end *end = arg_end (5);
  void *table[] = { port,   platform,     domains, region, count,  per_rack, cores,
                    memory, accelerators, slots,   label,  prefix, guards,   end };
  struct cell cell = { .loop = ev_default_loop (0) };
  struct fl_error error = { 0 };
  ev_signal term;

  if (arg_parse (argc, argv, table) > 0)
    {
      arg_print_errors (stderr, end, argv[0]);
      return 2;
    }
  signal (SIGPIPE, SIG_IGN);
  struct shape shape = { .per_domain = count->count > 0 ? count->ival[0] : 16,
                         .per_rack = per_rack->count > 0 ? per_rack->ival[0] : 8,
                         .prefix = prefix->count > 0 ? prefix->sval[0] : "",
                         .label = label->count > 0 ? label->sval[0] : "",
                         .region = region->count > 0 ? region->sval[0] : "region" };
  shape.capacity.amount[FL_CPU_MILLI] = 1000LL * (cores->count > 0 ? cores->ival[0] : 16);
  shape.capacity.amount[FL_MEMORY_MB] = memory->count > 0 ? memory->ival[0] : 32768;
  shape.capacity.amount[FL_ACCELERATORS] = accelerators->count > 0 ? accelerators->ival[0] : 0;
  shape.capacity.amount[FL_SLOTS] = slots->count > 0 ? slots->ival[0] : 8;
  cell.targets = g_hash_table_new (fl_name_hash, fl_name_equal);
  cell.running = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  cell.ended = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  cell.hung = g_ptr_array_new ();
  cell.guards = guards->count > 0;
  cell.client = fl_http_client_new (cell.loop, 16);
  struct fl_http_server_options options = { .loop = cell.loop,
                                            .address = "127.0.0.1",
                                            .port = port->count > 0 ? port->ival[0] : 0,
                                            .body_max = 4 * 1024 * 1024,
                                            .header_max = 32 * 1024,
                                            .connections_max = 16384,
                                            .idle_ms = 600000,
                                            .upload_ms = 60000,
                                            .on_request = on_request,
                                            .context = &cell };
  cell.server = fl_http_server_new (&options, &error);
  if (cell.server == NULL)
    {
      fprintf (stderr, "standin-targets: %s\n", error.text);
      return 1;
    }
  json_t *hosts = json_object ();
  g_auto (GStrv) names = g_strsplit (domains->sval[0], ",", -1);
  for (int d = 0; names[d] != NULL; d++)
    for (int i = 0; i < shape.per_domain; i++)
      add_target (&cell, &shape, names[d], i, hosts);
  register_hosts (&cell, platform->sval[0], hosts);
  json_decref (hosts);
  ev_timer_init (&cell.tick, on_tick, TICK_S, TICK_S);
  cell.tick.data = &cell;
  ev_timer_start (cell.loop, &cell.tick);
  ev_signal_init (&term, on_signal, SIGTERM);
  ev_signal_start (cell.loop, &term);
  ev_run (cell.loop, 0);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return 0;
}
