#include "ticket/ticket.h"

#include <string.h>

#include <sodium.h>

/* Objects of one kind that a single ticket may carry. */
#define OBJECTS_MAX 1000

struct entry
{
  struct fl_name name;
  int64_t number; /* of the ticket that set or removed it */
  bool removed;
  void *object; /* the kind's struct; NULL once removed */
};

struct fl_config
{
  int64_t head;
  GHashTable *entries[FL_OBJECT_KINDS]; /* struct fl_name * -> struct entry * */
};

const char *const fl_object_kind_names[] = { "team", "key", "queue", "service", NULL };

static const struct fl_field removal_fields[] = {
  { "kind", FL_ENUM, offsetof (struct fl_removal, kind), true, 0, 0, 0, NULL,
    fl_object_kind_names },
  { "name", FL_NAME, offsetof (struct fl_removal, name), true, 1, FL_NAME_MAX, 0, NULL, NULL },
};
static FL_SCHEMA (removal_schema, fl_removal, removal_fields);

#define ARRAY_FIELD(member_, schema_)                                                              \
  {                                                                                                \
#member_, FL_ARRAY, offsetof(struct fl_ticket, member_), false, 0, OBJECTS_MAX, 0, schema_,    \
        NULL                                                                                       \
  }

static const struct fl_field ticket_fields[] = {
  { "number", FL_INT, offsetof (struct fl_ticket, number), true, 1, INT64_MAX / 2, 0, NULL, NULL },
  ARRAY_FIELD (teams, &fl_team_schema),
  ARRAY_FIELD (keys, &fl_key_schema),
  ARRAY_FIELD (queues, &fl_queue_schema),
  ARRAY_FIELD (services, &fl_service_schema),
  ARRAY_FIELD (removals, &removal_schema),
};
FL_SCHEMA (fl_ticket_schema, fl_ticket, ticket_fields);

/* Every configured struct starts with its name, which the generic code below relies on. */
G_STATIC_ASSERT (offsetof (struct fl_team, name) == 0);
G_STATIC_ASSERT (offsetof (struct fl_key, name) == 0);
G_STATIC_ASSERT (offsetof (struct fl_queue, name) == 0);
G_STATIC_ASSERT (offsetof (struct fl_service, name) == 0);

static const struct fl_schema *
schema_of (enum fl_object_kind kind)
{
  static const struct fl_schema *const schemas[FL_OBJECT_KINDS]
      = { &fl_team_schema, &fl_key_schema, &fl_queue_schema, &fl_service_schema };

  return schemas[kind];
}

static const struct fl_array *
array_of (const struct fl_ticket *ticket, enum fl_object_kind kind)
{
  const struct fl_array *const arrays[FL_OBJECT_KINDS]
      = { &ticket->teams, &ticket->keys, &ticket->queues, &ticket->services };

  return arrays[kind];
}

static const void *
item_of (const struct fl_array *array, const struct fl_schema *schema, size_t i)
{
  return (const char *)array->items + i * schema->size;
}

/* --- reading --- */

/* Names stand in paths, rows and logs, so they hold only letters, digits, '-', '_' and '.'. */
static bool
name_is_plain (const struct fl_name *name)
{
  for (size_t i = 0; i < name->len; i++)
    if (!g_ascii_isalnum (name->data[i]) && strchr ("-_.", name->data[i]) == NULL)
      return false;
  return true;
}

static void
check_names (const struct fl_ticket *ticket, struct fl_problems *problems)
{
  g_autoptr (GHashTable) seen = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

  for (int kind = 0; kind < FL_OBJECT_KINDS; kind++)
    {
      const struct fl_array *array = array_of (ticket, kind);
      for (size_t i = 0; i < array->count; i++)
        {
          const struct fl_name *name = item_of (array, schema_of (kind), i);
          g_autofree char *path
              = g_strdup_printf ("ticket.%ss[%zu].name", fl_object_kind_names[kind], i);
          if (!name_is_plain (name))
            fl_problems_add (problems, path, "may hold letters, digits, '-', '_' and '.' only");
          if (!g_hash_table_add (seen, g_strdup_printf ("%d/%s", kind, name->data)))
            fl_problems_add (problems, path, "stands twice in this ticket");
        }
    }
}

bool
fl_ticket_read (const char *data,
                size_t len,
                struct fl_ticket *ticket,
                struct fl_problems *problems)
{
  struct fl_error error = { 0 };
  json_t *json = fl_json_parse (data, len, &error);

  memset (ticket, 0, sizeof *ticket);
  if (json == NULL)
    {
      fl_problems_add (problems, "ticket", "%s", error.text);
      return false;
    }
  bool ok = fl_schema_from_json (&fl_ticket_schema, json, ticket, "ticket", problems);
  json_decref (json);
  if (ok)
    check_names (ticket, problems);
  return problems->count == 0;
}

void
fl_ticket_clear (struct fl_ticket *ticket)
{
  fl_schema_clear (&fl_ticket_schema, ticket);
}

struct fl_name
fl_ticket_digest (const struct fl_ticket *ticket)
{
  unsigned char digest[crypto_generichash_BYTES];
  char hex[2 * sizeof digest + 1];
  json_t *json = fl_schema_to_json (&fl_ticket_schema, ticket);
  struct fl_str text = fl_json_text (json);

  crypto_generichash (digest, sizeof digest, (const unsigned char *)text.data, text.len, NULL, 0);
  sodium_bin2hex (hex, sizeof hex, digest, sizeof digest);
  fl_str_clear (&text);
  json_decref (json);
  return fl_name_of (hex);
}

/* --- configuration --- */

static void
entry_drop_object (struct entry *entry, enum fl_object_kind kind)
{
  if (entry->object == NULL)
    return;
  fl_schema_clear (schema_of (kind), entry->object);
  g_free (entry->object);
  entry->object = NULL;
}

struct fl_config *
fl_config_new (void)
{
  struct fl_config *config = g_new0 (struct fl_config, 1);

  for (int kind = 0; kind < FL_OBJECT_KINDS; kind++)
    config->entries[kind] = g_hash_table_new (fl_name_hash, fl_name_equal);
  return config;
}

void
fl_config_free (struct fl_config *config)
{
  GHashTableIter iter;
  struct entry *entry;

  if (config == NULL)
    return;
  for (int kind = 0; kind < FL_OBJECT_KINDS; kind++)
    {
      g_hash_table_iter_init (&iter, config->entries[kind]);
      while (g_hash_table_iter_next (&iter, NULL, (void **)&entry))
        {
          entry_drop_object (entry, kind);
          g_free (entry);
        }
      g_hash_table_destroy (config->entries[kind]);
    }
  g_free (config);
}

int64_t
fl_config_head (const struct fl_config *config)
{
  return config->head;
}

/* @return the entry if @number is newer than what it holds, else NULL. */
static struct entry *
newer_entry (struct fl_config *config,
             enum fl_object_kind kind,
             const struct fl_name *name,
             int64_t number)
{
  struct entry *entry = g_hash_table_lookup (config->entries[kind], name);

  if (entry == NULL)
    {
      entry = g_new0 (struct entry, 1);
      entry->name = *name;
      g_hash_table_insert (config->entries[kind], &entry->name, entry);
    }
  return number > entry->number ? entry : NULL;
}

/* Deep copy by way of the codec. */
static void *
copy_object (const struct fl_schema *schema, const void *object)
{
  void *copy = g_malloc0 (schema->size);
  struct fl_problems problems = { 0 };
  json_t *json = fl_schema_to_json (schema, object);
  bool ok = fl_schema_from_json (schema, json, copy, "copy", &problems);

  g_assert (ok);
  json_decref (json);
  return copy;
}

static bool
apply_object (struct fl_config *config,
              enum fl_object_kind kind,
              const void *object,
              int64_t number)
{
  struct entry *entry = newer_entry (config, kind, object, number);

  if (entry == NULL)
    return false;
  entry_drop_object (entry, kind);
  entry->object = copy_object (schema_of (kind), object);
  entry->number = number;
  entry->removed = false;
  return true;
}

static bool
apply_removal (struct fl_config *config, const struct fl_removal *removal, int64_t number)
{
  struct entry *entry = newer_entry (config, removal->kind, &removal->name, number);

  if (entry == NULL)
    return false;
  entry_drop_object (entry, removal->kind);
  entry->number = number;
  entry->removed = true;
  return true;
}

size_t
fl_config_apply (struct fl_config *config, const struct fl_ticket *ticket)
{
  const struct fl_removal *removals = ticket->removals.items;
  size_t changed = 0;

  for (int kind = 0; kind < FL_OBJECT_KINDS; kind++)
    {
      const struct fl_array *array = array_of (ticket, kind);
      for (size_t i = 0; i < array->count; i++)
        changed
            += apply_object (config, kind, item_of (array, schema_of (kind), i), ticket->number);
    }
  for (size_t i = 0; i < ticket->removals.count; i++)
    changed += apply_removal (config, &removals[i], ticket->number);
  return changed;
}

static const void *
lookup (const struct fl_config *config, enum fl_object_kind kind, const struct fl_name *name)
{
  const struct entry *entry = g_hash_table_lookup (config->entries[kind], name);

  return entry != NULL ? entry->object : NULL;
}

const struct fl_team *
fl_config_team (const struct fl_config *config, const struct fl_name *name)
{
  return lookup (config, FL_OBJECT_TEAM, name);
}

const struct fl_key *
fl_config_key (const struct fl_config *config, const struct fl_name *name)
{
  return lookup (config, FL_OBJECT_KEY, name);
}

const struct fl_queue *
fl_config_queue (const struct fl_config *config, const struct fl_name *name)
{
  return lookup (config, FL_OBJECT_QUEUE, name);
}

const struct fl_service *
fl_config_service (const struct fl_config *config, const struct fl_name *name)
{
  return lookup (config, FL_OBJECT_SERVICE, name);
}

void
fl_config_each (const struct fl_config *config,
                enum fl_object_kind kind,
                void (*visit) (void *context, const void *object),
                void *context)
{
  GHashTableIter iter;
  struct entry *entry;

  g_hash_table_iter_init (&iter, config->entries[kind]);
  while (g_hash_table_iter_next (&iter, NULL, (void **)&entry))
    if (entry->object != NULL)
      visit (context, entry->object);
}

static int
compare_entries (const void *a, const void *b)
{
  const struct entry *left = a;
  const struct entry *right = b;

  return fl_name_compare (&left->name, &right->name);
}

json_t *
fl_config_list (const struct fl_config *config, enum fl_object_kind kind)
{
  json_t *list = json_array ();
  g_autoptr (GList) entries
      = g_list_sort (g_hash_table_get_values (config->entries[kind]), compare_entries);

  for (GList *l = entries; l != NULL; l = l->next)
    {
      const struct entry *entry = l->data;
      if (entry->object == NULL)
        continue;
      json_t *json = fl_schema_to_json (schema_of (kind), entry->object);
      json_object_del (json, "digest");
      json_object_set_new (json, "ticket", json_integer (entry->number));
      json_array_append_new (list, json);
    }
  return list;
}

/* The ticket of @number in @tickets (number -> JSON), made on first use. */
static json_t *
ticket_of (GTree *tickets, int64_t number)
{
  json_t *json = g_tree_lookup (tickets, &number);

  if (json != NULL)
    return json;
  json = json_pack ("{s:I}", "number", (json_int_t)number);
  g_tree_insert (tickets, g_memdup2 (&number, sizeof number), json);
  return json;
}

static void
append_item (json_t *ticket, const char *list_name, json_t *item)
{
  json_t *list = json_object_get (ticket, list_name);

  if (list == NULL)
    {
      list = json_array ();
      json_object_set_new (ticket, list_name, list);
    }
  json_array_append_new (list, item);
}

static int
compare_numbers (const void *a, const void *b, void *context)
{
  int64_t left = *(const int64_t *)a;
  int64_t right = *(const int64_t *)b;

  (void)context;
  return (left > right) - (left < right);
}

static int
append_ticket (void *number, void *ticket, void *list)
{
  (void)number;
  json_array_append_new (list, ticket);
  return FALSE;
}

json_t *
fl_config_since (const struct fl_config *config, int64_t number)
{
  static const char *const lists[FL_OBJECT_KINDS] = { "teams", "keys", "queues", "services" };
  GTree *tickets = g_tree_new_full (compare_numbers, NULL, g_free, NULL);
  json_t *list = json_array ();
  GHashTableIter iter;
  const struct entry *entry;

  for (int kind = 0; kind < FL_OBJECT_KINDS; kind++)
    {
      g_hash_table_iter_init (&iter, config->entries[kind]);
      while (g_hash_table_iter_next (&iter, NULL, (void **)&entry))
        if (entry->number > number && entry->removed)
          append_item (ticket_of (tickets, entry->number), "removals",
                       json_pack ("{s:s,s:s}", "kind", fl_object_kind_names[kind], "name",
                                  entry->name.data));
        else if (entry->number > number)
          append_item (ticket_of (tickets, entry->number), lists[kind],
                       fl_schema_to_json (schema_of (kind), entry->object));
    }
  g_tree_foreach (tickets, append_ticket, list);
  g_tree_destroy (tickets);
  return list;
}

void
fl_config_raise_head (struct fl_config *config, int64_t number)
{
  config->head = MAX (config->head, number);
}

/* --- checks against what is in force --- */

static bool
team_exists (const struct fl_config *config,
             const struct fl_ticket *ticket,
             const struct fl_name *name)
{
  const struct fl_team *teams = ticket->teams.items;
  const struct fl_removal *removals = ticket->removals.items;

  for (size_t i = 0; i < ticket->removals.count; i++)
    if (removals[i].kind == FL_OBJECT_TEAM && fl_name_eq (&removals[i].name, name))
      return false;
  for (size_t i = 0; i < ticket->teams.count; i++)
    if (fl_name_eq (&teams[i].name, name))
      return true;
  return fl_config_team (config, name) != NULL;
}

static void
check_team (const struct fl_config *config,
            const struct fl_ticket *ticket,
            const struct fl_name *team,
            const char *list,
            size_t i,
            struct fl_problems *problems)
{
  if (team_exists (config, ticket, team))
    return;
  g_autofree char *path = g_strdup_printf ("ticket.%s[%zu].team", list, i);
  fl_problems_add (problems, path, "names no team: \"%s\"", team->data);
}

static void
check_key (const struct fl_key *key, size_t i, struct fl_problems *problems)
{
  g_autofree char *path = g_strdup_printf ("ticket.keys[%zu]", i);

  if (key->role == FL_ROLE_OPERATOR && key->team.len > 0)
    fl_problems_add (problems, path, "an operator's key belongs to no team");
  if (strchr (key->name.data, '.') != NULL)
    fl_problems_add (problems, path, "the name of a key holds no dot");
  if (strspn (key->digest.data, "0123456789abcdef") != key->digest.len)
    fl_problems_add (problems, path, "the digest must be lower-case hex");
}

bool
fl_config_check (const struct fl_config *config,
                 const struct fl_ticket *ticket,
                 struct fl_problems *problems)
{
  const struct fl_key *keys = ticket->keys.items;
  const struct fl_queue *queues = ticket->queues.items;
  const struct fl_service *services = ticket->services.items;

  for (size_t i = 0; i < ticket->keys.count; i++)
    {
      check_key (&keys[i], i, problems);
      if (keys[i].role == FL_ROLE_CALLER)
        check_team (config, ticket, &keys[i].team, "keys", i, problems);
    }
  for (size_t i = 0; i < ticket->queues.count; i++)
    {
      check_team (config, ticket, &queues[i].team, "queues", i, problems);
      if (queues[i].kind == FL_WORK_SERVICE)
        fl_problems_add (problems, "ticket.queues",
                         "no queue takes services; list them as services");
    }
  for (size_t i = 0; i < ticket->services.count; i++)
    check_team (config, ticket, &services[i].team, "services", i, problems);
  return problems->count == 0;
}
