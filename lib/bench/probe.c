#include "bench/probe.h"

#include <math.h>

#include <glib.h>

#include "common/schema.h"

#define TIMEOUT_MS 3000
#define CONNECT_TIMEOUT_MS 1000

struct fl_probe
{
  struct fl_http_client *client;
  char *usage_url;
  char *hosts_url;
  char *header;
  struct fl_probe_result result;
  double distance_sum;
  double packing_sum;
};

/* A team over all domains. */
struct team
{
  double cost;
  double share;
  int64_t waiting;
};

struct fl_probe *
fl_probe_new (const struct fl_probe_options *options)
{
  struct fl_probe *probe = g_new0 (struct fl_probe, 1);

  probe->client = options->client;
  probe->usage_url = g_strdup_printf ("%s/v1/usage", options->url);
  probe->hosts_url = g_strdup_printf ("%s/v1/hosts", options->url);
  probe->header = g_strdup_printf ("Authorization: Bearer %s", options->key);
  return probe;
}

void
fl_probe_free (struct fl_probe *probe)
{
  if (probe == NULL)
    return;
  g_free (probe->usage_url);
  g_free (probe->hosts_url);
  g_free (probe->header);
  g_free (probe);
}

static GHashTable *
sum_teams (const json_t *usage)
{
  GHashTable *teams = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  size_t i;
  json_t *item;

  json_array_foreach (usage, i, item)
  {
    const char *name = json_string_value (json_object_get (item, "team"));
    struct team *team = name != NULL ? g_hash_table_lookup (teams, name) : NULL;
    if (name == NULL)
      continue;
    if (team == NULL)
      {
        team = g_new0 (struct team, 1);
        g_hash_table_insert (teams, g_strdup (name), team);
      }
    team->cost += (double)json_integer_value (json_object_get (item, "cost"));
    team->share = (double)json_integer_value (json_object_get (item, "share"));
    team->waiting += json_integer_value (json_object_get (item, "waiting"));
  }
  return teams;
}

/* Only teams with work waiting can be short of their share; the others leave theirs to them. */
static void
take_usage (struct fl_probe *probe, const json_t *usage)
{
  g_autoptr (GHashTable) teams = sum_teams (usage);
  GHashTableIter iter;
  struct team *team;
  double cost = 0;
  double share = 0;
  double worst = 0;
  int count = 0;

  g_hash_table_iter_init (&iter, teams);
  while (g_hash_table_iter_next (&iter, NULL, (void **)&team))
    if (team->waiting > 0)
      {
        cost += team->cost;
        share += team->share;
        count++;
      }
  if (count < 2 || cost <= 0)
    return;
  g_hash_table_iter_init (&iter, teams);
  while (g_hash_table_iter_next (&iter, NULL, (void **)&team))
    if (team->waiting > 0)
      worst = MAX (worst, fabs (team->cost / cost - team->share / share));
  probe->result.usage_samples++;
  probe->result.distance_last = worst;
  probe->distance_sum += worst;
}

static double
cpu_of (const json_t *host, const char *member)
{
  return (double)json_integer_value (json_object_get (json_object_get (host, member), "cpu_milli"));
}

static void
take_hosts (struct fl_probe *probe, const json_t *hosts)
{
  size_t i;
  json_t *host;
  double used = 0;
  double capacity = 0;

  json_array_foreach (hosts, i, host)
  {
    const char *state = json_string_value (json_object_get (host, "state"));
    if (g_strcmp0 (state, "ready") != 0)
      continue;
    used += cpu_of (host, "used");
    capacity += cpu_of (host, "capacity");
  }
  if (capacity <= 0)
    return;
  probe->result.host_samples++;
  probe->result.packing_max = MAX (probe->result.packing_max, used / capacity);
  probe->packing_sum += used / capacity;
}

static json_t *
parse (const struct fl_http_result *answer)
{
  return answer->status == 200 ? fl_json_parse (answer->body.data, answer->body.len, NULL) : NULL;
}

static void
on_usage (void *context, const struct fl_http_result *answer)
{
  json_t *json = parse (answer);

  take_usage (context, json);
  json_decref (json);
}

static void
on_hosts (void *context, const struct fl_http_result *answer)
{
  json_t *json = parse (answer);

  take_hosts (context, json);
  json_decref (json);
}

static void
get (struct fl_probe *probe,
     const char *url,
     void (*on_done) (void *context, const struct fl_http_result *answer))
{
  struct fl_http_call call = { .method = "GET",
                               .url = url,
                               .header = probe->header,
                               .timeout_ms = TIMEOUT_MS,
                               .connect_timeout_ms = CONNECT_TIMEOUT_MS,
                               .on_done = on_done,
                               .context = probe };

  fl_http_client_start (probe->client, &call);
}

void
fl_probe_sample (struct fl_probe *probe)
{
  get (probe, probe->usage_url, on_usage);
  get (probe, probe->hosts_url, on_hosts);
}

struct fl_probe_result
fl_probe_result (const struct fl_probe *probe)
{
  struct fl_probe_result result = probe->result;

  result.distance_mean = probe->distance_sum / (double)MAX (probe->result.usage_samples, 1);
  result.packing_mean = probe->packing_sum / (double)MAX (probe->result.host_samples, 1);
  return result;
}
