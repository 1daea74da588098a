#include "platform/hosts.h"

#include <stddef.h>

#define HOSTS_MAX 100000
#define CONNECTIONS_MAX 100000
#define CONNECT_TIMEOUT_MS 500

static const char *const host_state_names[] = { "live", "leaving", NULL };

#define NAME(member_, required_)                                                                   \
  {                                                                                                \
#member_, FL_NAME, offsetof(struct fl_host, member_), required_, 0, FL_NAME_MAX, 0, NULL, NULL \
  }

static const struct fl_field host_fields[] = {
  NAME (name, true),
  NAME (domain, true),
  NAME (region, false),
  NAME (rack, false),
  NAME (label, false),
  { "url", FL_TEXT, offsetof (struct fl_host, url), true, 8, 400, 0, NULL, NULL },
  { "state", FL_ENUM, offsetof (struct fl_host, state), false, 0, 0, 0, NULL, host_state_names },
  { "connections", FL_INT, offsetof (struct fl_host, connections), false, 1, CONNECTIONS_MAX, 64,
    NULL, NULL },
  { "capacity", FL_OBJECT, offsetof (struct fl_host, capacity), true, 0, 0, 0, &fl_resources_schema,
    NULL },
};
static FL_SCHEMA (host_schema, fl_host, host_fields);

static const struct fl_field list_fields[] = {
  { "version", FL_INT, offsetof (struct fl_host_list, version), false, 0, INT64_MAX, 0, NULL,
    NULL },
  { "unchanged", FL_BOOL, offsetof (struct fl_host_list, unchanged), false, 0, 1, 0, NULL, NULL },
  { "hosts", FL_ARRAY, offsetof (struct fl_host_list, hosts), false, 0, HOSTS_MAX, 0, &host_schema,
    NULL },
};
FL_SCHEMA (fl_host_list_schema, fl_host_list, list_fields);

struct fl_host_reader
{
  struct fl_http_client *client;
  char *url;
  int64_t interval_ms;
  int64_t timeout_ms;
  int64_t asked_ms;
  bool open;
  struct fl_host_list list;
  void (*on_list) (void *context, const struct fl_host_list *list);
  void *context;
};

struct fl_host_reader *
fl_host_reader_new (struct fl_http_client *client,
                    const char *platform_url,
                    int64_t interval_ms,
                    int64_t timeout_ms,
                    void (*on_list) (void *context, const struct fl_host_list *list),
                    void *context)
{
  struct fl_host_reader *reader = g_new0 (struct fl_host_reader, 1);

  reader->client = client;
  reader->url = g_strdup_printf ("%s/v1/hosts", platform_url);
  reader->interval_ms = interval_ms;
  reader->timeout_ms = timeout_ms;
  reader->on_list = on_list;
  reader->context = context;
  return reader;
}

void
fl_host_reader_free (struct fl_host_reader *reader)
{
  if (reader == NULL)
    return;
  fl_schema_clear (&fl_host_list_schema, &reader->list);
  g_free (reader->url);
  g_free (reader);
}

static void
on_answer (void *context, const struct fl_http_result *answer)
{
  struct fl_host_reader *reader = context;
  struct fl_problems problems = { 0 };
  struct fl_host_list list;
  json_t *json = NULL;

  reader->open = false;
  if (answer->status == 200)
    json = fl_json_parse (answer->body.data, answer->body.len, NULL);
  if (json == NULL)
    return;
  if (fl_schema_from_json (&fl_host_list_schema, json, &list, "hosts", &problems)
      && !list.unchanged)
    {
      /* The old list is freed after the receiver has let go of it. */
      struct fl_host_list old = reader->list;
      reader->list = list;
      reader->on_list (reader->context, &reader->list);
      fl_schema_clear (&fl_host_list_schema, &old);
    }
  else
    fl_schema_clear (&fl_host_list_schema, &list);
  fl_problems_clear (&problems);
  json_decref (json);
}

void
fl_host_reader_tick (struct fl_host_reader *reader, int64_t now_ms)
{
  g_autofree char *url
      = g_strdup_printf ("%s?version=%" G_GINT64_FORMAT, reader->url, reader->list.version);
  struct fl_http_call call = { .method = "GET",
                               .url = url,
                               .timeout_ms = reader->timeout_ms,
                               .connect_timeout_ms = CONNECT_TIMEOUT_MS,
                               .on_done = on_answer,
                               .context = reader };

  if (reader->open || (reader->asked_ms != 0 && now_ms < reader->asked_ms + reader->interval_ms))
    return;
  reader->open = true;
  reader->asked_ms = now_ms;
  fl_http_client_start (reader->client, &call);
}

const struct fl_host_list *
fl_host_reader_list (const struct fl_host_reader *reader)
{
  return &reader->list;
}

static int
compare_names (const void *a, const void *b)
{
  return fl_name_compare (a, b);
}

GArray *
fl_host_list_domains (const struct fl_host_list *list)
{
  const struct fl_host *hosts = list->hosts.items;
  GArray *domains = g_array_new (FALSE, FALSE, sizeof (struct fl_name));
  g_autoptr (GHashTable) seen = g_hash_table_new (fl_name_hash, fl_name_equal);

  for (size_t i = 0; i < list->hosts.count; i++)
    if (hosts[i].state == FL_HOST_LIVE && g_hash_table_add (seen, (void *)&hosts[i].domain))
      g_array_append_val (domains, hosts[i].domain);
  g_array_sort (domains, compare_names);
  return domains;
}
