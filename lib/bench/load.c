#include "bench/load.h"

#include <ev.h>
#include <inttypes.h>
#include <math.h>
#include <string.h>

#include "common/clock.h"
#include "net/http_client.h"

#define CONNECTIONS_MAX 2048
#define CONNECT_TIMEOUT_MS 1000
#define ANSWER_GRACE_MS 2000
#define JOB_TIMEOUT_MS 8000
#define JOB_POLL_S 0.3
#define RECORDS_TIMEOUT_MS 30000

/* A stream while it runs. */
struct stream
{
  struct fl_load *load;
  const struct fl_stream *plan;
  struct fl_stream_result *result;
  ev_timer arrival;
  double next_s; /* when the next arrival is planned, on the loop's clock */
  int64_t last_id;
  GPtrArray *sent; /* struct sent * */
  int64_t csv_sent;
  int64_t csv_done;
};

/* One request or job, kept until the reckoning. */
struct sent
{
  struct stream *stream;
  struct fl_name id;
  struct fl_name team; /* as the answer told, for the records */
  int64_t start_us;
  bool answered;
  enum fl_outcome outcome;
  bool job_done;
  bool job_open; /* a look at the job is on its way */
};

struct fl_load
{
  struct fl_load_options options;
  struct ev_loop *loop;
  struct fl_http_client *client;
  struct fl_probe *probe; /* NULL without an operator's key */
  GRand *random;
  struct stream *streams;
  struct fl_stream_result *results;
  size_t count;
  size_t next_url;
  int64_t start_ms;
  int64_t open;
  ev_timer stop;
  ev_timer second;
  ev_timer job_poll;
  json_t *records;
  int64_t second_number;
};

static const char *
next_url (struct fl_load *load)
{
  const char *url = load->options.urls[load->next_url++];

  if (load->options.urls[load->next_url] == NULL)
    load->next_url = 0;
  return url;
}

static char *
authorization (const struct stream *stream)
{
  return stream->plan->key.len > 0
             ? g_strdup_printf ("Authorization: Bearer %s", stream->plan->key.data)
             : NULL;
}

/* --- answers --- */

static int
outcome_of (const json_t *json)
{
  const char *text = json_string_value (json_object_get (json, "outcome"));

  for (int i = 0; text != NULL && fl_outcome_names[i] != NULL; i++)
    if (strcmp (text, fl_outcome_names[i]) == 0)
      return i;
  return -1;
}

static void
count_reason (struct fl_stream_result *result, const json_t *json)
{
  const char *reason = json_string_value (json_object_get (json, "reason"));

  reason = reason != NULL && *reason != '\0' ? reason : "other";
  json_object_set_new (
      result->reasons, reason,
      json_integer (1 + json_integer_value (json_object_get (result->reasons, reason))));
}

static void
on_answer (void *context, const struct fl_http_result *answer)
{
  struct sent *sent = context;
  struct fl_stream_result *result = sent->stream->result;
  json_t *json = NULL;

  sent->stream->load->open--;
  sent->answered = true;
  sent->outcome = answer->sent ? FL_OUTCOME_UNKNOWN : FL_OUTCOME_NOT_RUN;
  if (answer->status != 0)
    json = fl_json_parse (answer->body.data, answer->body.len, NULL);
  else
    result->unreachable++;
  int outcome = outcome_of (json);
  if (outcome >= 0)
    sent->outcome = outcome;
  else if (answer->status >= 400 && answer->status < 500)
    sent->outcome = FL_OUTCOME_NOT_RUN;
  result->outcomes[sent->outcome]++;
  if (sent->outcome == FL_OUTCOME_DONE || sent->outcome == FL_OUTCOME_ACCEPTED)
    fl_histogram_record (&result->wait_us, fl_clock_monotonic_us () - sent->start_us);
  else
    count_reason (result, json);
  json_decref (json);
}

/* --- sending --- */

static json_t *
work_json (const struct stream *stream, const struct fl_name *id)
{
  const struct fl_stream *plan = stream->plan;
  json_t *json = json_pack ("{s:s,s:s,s:s%}", "id", id->data, "queue", plan->queue.data, "payload",
                            fl_str_text (&plan->payload), plan->payload.len);

  if (plan->kind == FL_WORK_REQUEST)
    {
      json_object_set_new (json, "repeatable", json_boolean (plan->repeatable));
      json_object_set_new (json, "timeout_ms", json_integer (plan->timeout_ms));
      return json;
    }
  json_object_set_new (json, "tasks", json_integer (plan->tasks));
  json_object_set_new (json, "demand", fl_schema_to_json (&fl_resources_schema, &plan->demand));
  json_object_set_new (json, "checkpointable", json_boolean (plan->checkpointable));
  return json;
}

static void
send_one (struct stream *stream)
{
  struct fl_load *load = stream->load;
  bool request = stream->plan->kind == FL_WORK_REQUEST;
  struct sent *sent = g_new0 (struct sent, 1);

  sent->stream = stream;
  sent->id = fl_name_format ("%s-%s-%" PRId64, load->options.run_id, stream->plan->name.data,
                             ++stream->last_id);
  sent->start_us = fl_clock_monotonic_us ();
  g_ptr_array_add (stream->sent, sent);
  stream->result->sent++;
  load->open++;
  json_t *json = work_json (stream, &sent->id);
  struct fl_str body = fl_json_text (json);
  g_autofree char *url
      = g_strdup_printf ("%s/v1/%s", next_url (load), request ? "requests" : "jobs");
  g_autofree char *header = authorization (stream);
  struct fl_http_call call
      = { .method = "POST",
          .url = url,
          .header = header,
          .body = body.data,
          .len = body.len,
          .timeout_ms = (request ? stream->plan->timeout_ms : JOB_TIMEOUT_MS) + ANSWER_GRACE_MS,
          .connect_timeout_ms = CONNECT_TIMEOUT_MS,
          .on_done = on_answer,
          .context = sent };
  fl_http_client_start (load->client, &call);
  fl_str_clear (&body);
  json_decref (json);
}

/* Exponential gaps between planned times: arrivals wait neither for answers nor for a late loop. */
static void
arm (struct stream *stream)
{
  double mean_s = 60.0 / (double)stream->plan->per_minute;

  stream->next_s += -mean_s * log (1.0 - g_rand_double (stream->load->random));
}

static void
on_arrival (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct stream *stream = timer->data;

  (void)events;
  ev_now_update (loop);
  while (stream->next_s <= ev_now (loop))
    {
      send_one (stream);
      arm (stream);
    }
  ev_timer_set (timer, stream->next_s - ev_now (loop), 0.0);
  ev_timer_start (loop, timer);
}

/* --- jobs --- */

static void
on_job (void *context, const struct fl_http_result *answer)
{
  struct sent *sent = context;
  json_t *json = NULL;

  sent->job_open = false;
  sent->stream->load->open--;
  if (answer->status == 200)
    json = fl_json_parse (answer->body.data, answer->body.len, NULL);
  const char *state = json_string_value (json_object_get (json, "state"));
  const char *team = json_string_value (json_object_get (json, "team"));
  if (team != NULL)
    sent->team = fl_name_of (team);
  if (state != NULL && (strcmp (state, "done") == 0 || strcmp (state, "failed") == 0)
      && !sent->job_done)
    {
      sent->job_done = true;
      sent->stream->result->jobs_done++;
    }
  json_decref (json);
}

static void
look_at_job (struct sent *sent)
{
  struct fl_load *load = sent->stream->load;
  g_autofree char *url = g_strdup_printf ("%s/v1/jobs/%s", next_url (load), sent->id.data);
  g_autofree char *header = authorization (sent->stream);
  struct fl_http_call call = { .method = "GET",
                               .url = url,
                               .header = header,
                               .timeout_ms = JOB_TIMEOUT_MS,
                               .connect_timeout_ms = CONNECT_TIMEOUT_MS,
                               .on_done = on_job,
                               .context = sent };

  sent->job_open = true;
  load->open++;
  fl_http_client_start (load->client, &call);
}

static bool
awaits_job (const struct sent *sent)
{
  return sent->stream->plan->kind != FL_WORK_REQUEST && !sent->job_done
         && (!sent->answered || sent->outcome == FL_OUTCOME_ACCEPTED);
}

/* Looks at every job that has not ended. @return how many there are. */
static size_t
look_at_jobs (struct fl_load *load)
{
  size_t waiting = 0;

  for (size_t i = 0; i < load->count; i++)
    for (guint j = 0; j < load->streams[i].sent->len; j++)
      {
        struct sent *sent = load->streams[i].sent->pdata[j];
        if (!awaits_job (sent))
          continue;
        waiting++;
        if (sent->answered && !sent->job_open)
          look_at_job (sent);
      }
  return waiting;
}

static void
on_job_poll (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct fl_load *load = timer->data;
  int64_t now_ms = fl_clock_monotonic_us () / 1000;
  int64_t end_ms = load->start_ms + load->options.plan->duration_ms;

  (void)events;
  if (now_ms < end_ms)
    return;
  bool waiting = look_at_jobs (load) > 0 || load->open > 0;
  if (!waiting || now_ms > end_ms + load->options.plan->settle_ms)
    ev_break (loop, EVBREAK_ALL);
}

/* --- time --- */

static void
on_stop (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct fl_load *load = timer->data;

  (void)events;
  for (size_t i = 0; i < load->count; i++)
    ev_timer_stop (loop, &load->streams[i].arrival);
}

static void
on_second (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct fl_load *load = timer->data;

  (void)loop;
  (void)events;
  load->second_number++;
  if (load->probe != NULL && load->second_number * 1000 <= load->options.plan->duration_ms)
    fl_probe_sample (load->probe);
  if (load->options.csv == NULL)
    return;
  for (size_t i = 0; i < load->count; i++)
    {
      struct stream *s = &load->streams[i];
      const struct fl_stream_result *r = s->result;
      int64_t done = r->outcomes[FL_OUTCOME_DONE] + r->outcomes[FL_OUTCOME_ACCEPTED];
      fprintf (load->options.csv,
               "%" PRId64 ",%s,%" PRId64 ",%" PRId64 ",%" PRId64 ",%" PRId64 ",%" PRId64 "\n",
               load->second_number, s->plan->name.data, r->sent - s->csv_sent, done - s->csv_done,
               fl_histogram_quantile (&r->wait_us, 0.5), fl_histogram_quantile (&r->wait_us, 0.99),
               fl_histogram_quantile (&r->wait_us, 0.999));
      s->csv_sent = r->sent;
      s->csv_done = done;
    }
}

/* --- reckoning --- */

static void
on_records (void *context, const struct fl_http_result *answer)
{
  struct fl_load *load = context;

  if (answer->status == 200)
    load->records = fl_json_parse (answer->body.data, answer->body.len, NULL);
  ev_break (load->loop, EVBREAK_ALL);
}

static void
fetch_records (struct fl_load *load)
{
  g_autofree char *url = g_strdup_printf ("%s/records", load->options.records);
  struct fl_http_call call = { .method = "GET",
                               .url = url,
                               .timeout_ms = RECORDS_TIMEOUT_MS,
                               .connect_timeout_ms = CONNECT_TIMEOUT_MS,
                               .on_done = on_records,
                               .context = load };

  fl_http_client_start (load->client, &call);
  ev_run (load->loop, 0);
}

/* How often each id of ours ran, without the team that the records put before it. */
static GHashTable *
index_records (const json_t *records)
{
  GHashTable *counts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  const char *logical;
  json_t *count;

  json_object_foreach ((json_t *)records, logical, count)
  {
    const char *slash = strchr (logical, '/');
    if (slash != NULL)
      g_hash_table_insert (counts, g_strdup (slash + 1),
                           GINT_TO_POINTER ((int)json_integer_value (count)));
  }
  return counts;
}

static void
reckon_request (const struct sent *sent, GHashTable *counts)
{
  struct fl_stream_result *result = sent->stream->result;
  int ran = GPOINTER_TO_INT (g_hash_table_lookup (counts, sent->id.data));

  result->lost += sent->outcome == FL_OUTCOME_DONE && ran == 0;
  result->doubled += ran > 1 && !sent->stream->plan->repeatable;
  result->false_not_run += sent->answered && sent->outcome == FL_OUTCOME_NOT_RUN && ran > 0;
}

static void
reckon_job (const struct sent *sent, GHashTable *counts)
{
  struct fl_stream_result *result = sent->stream->result;

  for (int64_t i = 0; i < sent->stream->plan->tasks; i++)
    {
      g_autofree char *key = g_strdup_printf ("%s/%" PRIx64, sent->id.data, i);
      int ran = GPOINTER_TO_INT (g_hash_table_lookup (counts, key));
      result->lost += sent->outcome == FL_OUTCOME_ACCEPTED && ran == 0;
      result->doubled += ran > 1;
      result->false_not_run += sent->answered && sent->outcome == FL_OUTCOME_NOT_RUN && ran > 0;
    }
}

static void
reckon (struct fl_load *load)
{
  fetch_records (load);
  if (load->records == NULL)
    return;
  g_autoptr (GHashTable) counts = index_records (load->records);
  for (size_t i = 0; i < load->count; i++)
    for (guint j = 0; j < load->streams[i].sent->len; j++)
      {
        const struct sent *sent = load->streams[i].sent->pdata[j];
        if (sent->stream->plan->kind == FL_WORK_REQUEST)
          reckon_request (sent, counts);
        else
          reckon_job (sent, counts);
      }
}

/* --- public functions --- */

struct fl_load *
fl_load_new (const struct fl_load_options *options)
{
  const struct fl_stream *plans = options->plan->streams.items;
  struct fl_load *load = g_new0 (struct fl_load, 1);

  load->options = *options;
  load->loop = ev_loop_new (EVFLAG_AUTO);
  load->client = fl_http_client_new (load->loop, CONNECTIONS_MAX);
  if (options->operator_key != NULL)
    {
      struct fl_probe_options probe = { load->client, options->urls[0], options->operator_key };
      load->probe = fl_probe_new (&probe);
    }
  load->random = g_rand_new_with_seed ((guint32)options->plan->seed);
  load->count = options->plan->streams.count;
  load->streams = g_new0 (struct stream, load->count);
  load->results = g_new0 (struct fl_stream_result, load->count);
  for (size_t i = 0; i < load->count; i++)
    {
      struct stream *stream = &load->streams[i];
      stream->load = load;
      stream->plan = &plans[i];
      stream->result = &load->results[i];
      stream->result->name = plans[i].name;
      stream->result->kind = plans[i].kind;
      stream->result->reasons = json_object ();
      stream->sent = g_ptr_array_new_with_free_func (g_free);
      ev_timer_init (&stream->arrival, on_arrival, 0.0, 0.0);
      stream->arrival.data = stream;
    }
  return load;
}

void
fl_load_run (struct fl_load *load)
{
  double duration_s = (double)load->options.plan->duration_ms / 1000.0;

  load->start_ms = fl_clock_monotonic_us () / 1000;
  ev_now_update (load->loop);
  for (size_t i = 0; i < load->count; i++)
    {
      struct stream *stream = &load->streams[i];
      stream->next_s = ev_now (load->loop);
      arm (stream);
      ev_timer_set (&stream->arrival, stream->next_s - ev_now (load->loop), 0.0);
      ev_timer_start (load->loop, &stream->arrival);
    }
  ev_timer_init (&load->stop, on_stop, duration_s, 0.0);
  load->stop.data = load;
  ev_timer_start (load->loop, &load->stop);
  ev_timer_init (&load->second, on_second, 1.0, 1.0);
  load->second.data = load;
  ev_timer_start (load->loop, &load->second);
  ev_timer_init (&load->job_poll, on_job_poll, JOB_POLL_S, JOB_POLL_S);
  load->job_poll.data = load;
  ev_timer_start (load->loop, &load->job_poll);
  ev_run (load->loop, 0);
  ev_timer_stop (load->loop, &load->second);
  ev_timer_stop (load->loop, &load->job_poll);
  if (load->options.records != NULL)
    reckon (load);
}

const struct fl_stream_result *
fl_load_results (const struct fl_load *load)
{
  return load->results;
}

struct fl_probe_result
fl_load_probe (const struct fl_load *load)
{
  return load->probe != NULL ? fl_probe_result (load->probe) : (struct fl_probe_result){ 0 };
}

void
fl_load_free (struct fl_load *load)
{
  if (load == NULL)
    return;
  fl_http_client_free (load->client);
  fl_probe_free (load->probe);
  for (size_t i = 0; i < load->count; i++)
    {
      g_ptr_array_free (load->streams[i].sent, TRUE);
      json_decref (load->results[i].reasons);
    }
  g_free (load->streams);
  g_free (load->results);
  g_rand_free (load->random);
  json_decref (load->records);
  ev_loop_destroy (load->loop);
  g_free (load);
}
