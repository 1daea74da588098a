#include "configuration/configuration.h"

#include <string.h>

struct fl_configuration
{
  int ref_count;
  int64_t version;
  GHashTable *queues;   /* name -> struct fl_queue */
  GHashTable *services; /* name -> struct fl_service */
  GHashTable *teams;    /* name -> struct fl_team */
  GHashTable *keys;     /* key -> struct fl_name, the team */
};

static GHashTable *
new_table (GDestroyNotify free_key)
{
  return g_hash_table_new_full (fl_name_hash, fl_name_equal, free_key, g_free);
}

struct fl_configuration *
fl_configuration_new (int64_t version)
{
  struct fl_configuration *configuration = g_new0 (struct fl_configuration, 1);

  configuration->ref_count = 1;
  configuration->version = version;
  configuration->queues = new_table (NULL);
  configuration->services = new_table (NULL);
  configuration->teams = new_table (NULL);
  configuration->keys = new_table (g_free);
  return configuration;
}

struct fl_configuration *
fl_configuration_ref (struct fl_configuration *configuration)
{
  configuration->ref_count++;
  return configuration;
}

void
fl_configuration_unref (struct fl_configuration *configuration)
{
  if (configuration == NULL || --configuration->ref_count > 0)
    return;
  g_hash_table_destroy (configuration->queues);
  g_hash_table_destroy (configuration->services);
  g_hash_table_destroy (configuration->teams);
  g_hash_table_destroy (configuration->keys);
  g_free (configuration);
}

int64_t
fl_configuration_get_version (const struct fl_configuration *configuration)
{
  return configuration->version;
}

void
fl_configuration_add_queue (struct fl_configuration *configuration, const struct fl_queue *queue)
{
  struct fl_queue *copy = g_memdup2 (queue, sizeof *queue);

  g_hash_table_replace (configuration->queues, &copy->name, copy);
}

void
fl_configuration_add_service (struct fl_configuration *configuration,
                              const struct fl_service *service)
{
  struct fl_service *copy = g_memdup2 (service, sizeof *service);

  g_hash_table_replace (configuration->services, &copy->name, copy);
}

void
fl_configuration_add_team (struct fl_configuration *configuration, const struct fl_team *team)
{
  struct fl_team *copy = g_memdup2 (team, sizeof *team);

  g_hash_table_replace (configuration->teams, &copy->name, copy);
}

void
fl_configuration_add_key (struct fl_configuration *configuration,
                          const struct fl_name *key,
                          const struct fl_name *team)
{
  g_hash_table_replace (configuration->keys, g_memdup2 (key, sizeof *key),
                        g_memdup2 (team, sizeof *team));
}

static bool
host_matches (const struct fl_name *pattern, const char *host)
{
  size_t len = strcspn (host, ":");

  return len == pattern->len && g_ascii_strncasecmp (pattern->data, host, len) == 0;
}

const struct fl_queue *
fl_configuration_match_queue (const struct fl_configuration *configuration,
                              const char *host,
                              const char *path)
{
  const struct fl_queue *best = NULL;
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, configuration->queues);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct fl_queue *queue = value;
      if (strncmp (path, queue->prefix.data, queue->prefix.len) == 0
          && (best == NULL || queue->prefix.len > best->prefix.len)
          && host_matches (&queue->http_host, host))
        best = queue;
    }
  return best;
}

const struct fl_queue *
fl_configuration_find_queue (const struct fl_configuration *configuration,
                             const struct fl_name *name)
{
  return g_hash_table_lookup (configuration->queues, name);
}

const struct fl_service *
fl_configuration_find_service (const struct fl_configuration *configuration,
                               const struct fl_name *name)
{
  return g_hash_table_lookup (configuration->services, name);
}

int64_t
fl_configuration_least_connections_max (const struct fl_configuration *configuration)
{
  int64_t least = 0;
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, configuration->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      int64_t connections_max = ((const struct fl_service *)value)->connections_max;
      if (connections_max > 0 && (least == 0 || connections_max < least))
        least = connections_max;
    }
  return least;
}

const struct fl_team *
fl_configuration_find_team (const struct fl_configuration *configuration,
                            const struct fl_name *name)
{
  return g_hash_table_lookup (configuration->teams, name);
}

const struct fl_name *
fl_configuration_find_team_of_key (const struct fl_configuration *configuration,
                                   const struct fl_name *key)
{
  return g_hash_table_lookup (configuration->keys, key);
}
