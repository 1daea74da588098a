#include "support_advice.h"

#include <string.h>

#include <glib.h>

#include "common/clock.h"
#include "common/schema.h"

/* A host that has this many calls waiting gets 429 for further ones. */
#define WAITING_MAX 32
#define TOO_MANY_STATUS 429
/* libmicrohttpd closes the connection when a response has a status that HTTP does not permit. */
#define STATUS_CLOSES 0

struct advice_call
{
  struct fl_http_request *request;
  json_t *query;
  bool closes; /* instead of a reply */
};

/* The service as one host reaches it. */
struct advice_host
{
  struct advice_service *service;
  int64_t position;
  struct fl_http_server *server;
  GQueue waiting; /* struct advice_call, in the order of their arrival */
  struct advice_call *current;
  ev_timer timer; /* ends the current call */
};

struct advice_queue
{
  char *name;
  struct advice_times times;
};

struct active_fault
{
  struct advice_fault fault;
  int64_t ends_ms;
};

struct advice_service
{
  struct ev_loop *loop;
  GPtrArray *hosts;       /* struct advice_host */
  GPtrArray *queues;      /* struct advice_queue */
  GHashTable *job_queues; /* job id -> struct advice_queue */
  GArray *faults;         /* struct active_fault */
  GRand *random;
  int64_t call_count;
  int64_t handled_count;
  int64_t rejected_count;
  int64_t closed_count;
  int64_t hung_count;
};

static int64_t
now_ms (void)
{
  return fl_clock_monotonic_us () / 1000;
}

/* --- replies --- */

bool
advice_is_eligible (const struct fl_name *step, const struct fl_name *target)
{
  return (fl_name_hash (step) * 31 + fl_name_hash (target)) % 10 < 7;
}

static struct fl_name
get_step (const json_t *query)
{
  const char *text = json_string_value (json_object_get (query, "step"));

  return fl_name_of (text != NULL ? text : "");
}

json_t *
advice_make_reply (const json_t *query, int64_t valid_ms)
{
  struct fl_name step = get_step (query);
  json_t *eligible = json_array ();
  const json_t *item;
  size_t i;

  json_array_foreach (json_object_get (query, "workers"), i, item)
  {
    struct fl_name id = fl_name_of (json_string_value (item));
    g_autofree char *ticket = g_strdup_printf ("%s|%s", step.data, id.data);
    if (advice_is_eligible (&step, &id))
      json_array_append_new (eligible, json_pack ("[s,s]", id.data, ticket));
  }
  return json_pack ("{s:o,s:I}", "good", eligible, "validMs", (json_int_t)valid_ms);
}

static void
send_reply (struct fl_http_request *request, int status, json_t *body)
{
  struct fl_str text = fl_json_encode (body);
  struct fl_http_response response = { .status = status, .body = text.data, .len = text.len };

  fl_http_respond (request, &response);
  fl_str_clear (&text);
  json_decref (body);
}

/* --- faults --- */

static bool
draw (struct advice_service *service, double share)
{
  return share > 0.0 && g_rand_double (service->random) < share;
}

static void
remove_ended_faults (struct advice_service *service)
{
  for (guint i = service->faults->len; i > 0; i--)
    if (now_ms () >= g_array_index (service->faults, struct active_fault, i - 1).ends_ms)
      g_array_remove_index (service->faults, i - 1);
}

/* @return the next fault of @host from position @*i on, or NULL. */
static const struct advice_fault *
next_fault (const struct advice_host *host, guint *i)
{
  const GArray *faults = host->service->faults;

  while (*i < faults->len)
    {
      const struct advice_fault *fault = &g_array_index (faults, struct active_fault, *i).fault;
      (*i)++;
      if (fault->host < 0 || fault->host == host->position)
        return fault;
    }
  return NULL;
}

/* @return the status that rejects a call on its arrival, or 0 if it is accepted. */
static int
get_rejection (struct advice_host *host)
{
  const struct advice_fault *fault;

  if (g_queue_get_length (&host->waiting) >= WAITING_MAX)
    return TOO_MANY_STATUS;
  remove_ended_faults (host->service);
  for (guint i = 0; (fault = next_fault (host, &i)) != NULL;)
    if (draw (host->service, fault->reject_share))
      return fault->reject_status;
  return 0;
}

/* Applies the faults to a call that takes @duration_ms. @return how long it takes with them. */
static double
apply_faults (struct advice_host *host, struct advice_call *call, double duration_ms)
{
  const struct advice_fault *fault;

  remove_ended_faults (host->service);
  for (guint i = 0; (fault = next_fault (host, &i)) != NULL;)
    {
      duration_ms = duration_ms * (fault->factor > 0.0 ? fault->factor : 1.0) + fault->added_ms;
      if (draw (host->service, fault->hang_share))
        {
          host->service->hung_count++;
          duration_ms = MAX (duration_ms, (double)fault->hang_ms);
        }
      call->closes |= draw (host->service, fault->close_share);
    }
  return duration_ms;
}

/* --- calls --- */

static struct advice_times
find_times (const struct advice_service *service, const json_t *query)
{
  struct fl_name step = get_step (query);
  g_autofree char *job = g_strndup (step.data, strcspn (step.data, "."));
  const struct advice_queue *queue = g_hash_table_lookup (service->job_queues, job);

  if (queue == NULL && service->queues->len > 0)
    queue = g_ptr_array_index (service->queues, 0);
  return queue != NULL ? queue->times : (struct advice_times){ 0 };
}

static void
begin_next_call (struct advice_host *host)
{
  struct advice_call *call = g_queue_pop_head (&host->waiting);
  struct advice_times times;
  double duration_ms;

  host->current = call;
  if (call == NULL)
    return;
  times = find_times (host->service, call->query);
  duration_ms
      = times.base_ms
        + times.per_target_ms * (double)json_array_size (json_object_get (call->query, "workers"));
  duration_ms = apply_faults (host, call, duration_ms);
  ev_timer_set (&host->timer, duration_ms / 1000.0, 0.0);
  ev_timer_start (host->service->loop, &host->timer);
}

static void
on_call_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct advice_host *host = timer->data;
  struct advice_call *call = host->current;
  struct advice_times times = find_times (host->service, call->query);

  (void)loop;
  (void)events;
  host->service->handled_count++;
  host->service->closed_count += call->closes;
  if (call->closes)
    send_reply (call->request, STATUS_CLOSES, json_object ());
  else
    send_reply (call->request, 200, advice_make_reply (call->query, times.valid_ms));
  json_decref (call->query);
  g_free (call);
  begin_next_call (host);
}

static void
on_request (void *context, struct fl_http_request *request)
{
  struct advice_host *host = context;
  const struct fl_str *body = fl_http_body (request);
  int rejection = get_rejection (host);
  struct advice_call *call;

  host->service->call_count++;
  if (rejection != 0)
    {
      host->service->rejected_count++;
      send_reply (request, rejection, json_object ());
      return;
    }
  call = g_new0 (struct advice_call, 1);
  call->request = request;
  call->query = fl_json_parse (body->data, body->len, NULL);
  g_queue_push_tail (&host->waiting, call);
  if (host->current == NULL)
    begin_next_call (host);
}

/* --- public functions --- */

struct advice_service *
advice_service_new (struct ev_loop *loop)
{
  struct advice_service *service = g_new0 (struct advice_service, 1);

  service->loop = loop;
  service->hosts = g_ptr_array_new ();
  service->queues = g_ptr_array_new ();
  service->job_queues = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  service->faults = g_array_new (FALSE, FALSE, sizeof (struct active_fault));
  service->random = g_rand_new_with_seed (1);
  return service;
}

int
advice_service_add_host (struct advice_service *service)
{
  struct advice_host *host = g_new0 (struct advice_host, 1);
  struct fl_http_server_options options = {
    .loop = service->loop,
    .address = "127.0.0.1",
    .body_max = 1024 * 1024,
    .header_max = 16384,
    .connections_max = 1000,
    .idle_timeout_ms = 60000,
    .upload_timeout_ms = 10000,
    .on_request = on_request,
    .context = host,
  };

  host->service = service;
  host->position = service->hosts->len;
  g_queue_init (&host->waiting);
  ev_timer_init (&host->timer, on_call_timer, 0.0, 0.0);
  host->timer.data = host;
  host->server = fl_http_server_new (&options, NULL);
  if (host->server == NULL)
    {
      g_free (host);
      return 0;
    }
  g_ptr_array_add (service->hosts, host);
  return fl_http_server_port (host->server);
}

static struct advice_queue *
find_queue (const struct advice_service *service, const char *name)
{
  for (guint i = 0; i < service->queues->len; i++)
    {
      struct advice_queue *queue = g_ptr_array_index (service->queues, i);
      if (strcmp (queue->name, name) == 0)
        return queue;
    }
  return NULL;
}

void
advice_service_set_times (struct advice_service *service,
                          const char *queue,
                          const struct advice_times *times)
{
  struct advice_queue *known = find_queue (service, queue);

  if (known == NULL)
    {
      known = g_new0 (struct advice_queue, 1);
      known->name = g_strdup (queue);
      g_ptr_array_add (service->queues, known);
    }
  known->times = *times;
}

void
advice_service_set_queue (struct advice_service *service, const char *job, const char *queue)
{
  struct advice_queue *known = find_queue (service, queue);

  if (known != NULL)
    g_hash_table_insert (service->job_queues, g_strdup (job), known);
}

void
advice_service_add_fault (struct advice_service *service, const struct advice_fault *fault)
{
  struct active_fault active
      = { *fault, fault->duration_ms > 0 ? now_ms () + fault->duration_ms : INT64_MAX };

  g_array_append_val (service->faults, active);
}

void
advice_service_reset_faults (struct advice_service *service)
{
  g_array_set_size (service->faults, 0);
}

json_t *
advice_service_get_counters (const struct advice_service *service)
{
  return json_pack ("{s:I,s:I,s:I,s:I,s:I}", "calls", (json_int_t)service->call_count, "handled",
                    (json_int_t)service->handled_count, "rejected",
                    (json_int_t)service->rejected_count, "closed",
                    (json_int_t)service->closed_count, "hung", (json_int_t)service->hung_count);
}
