/* The HTTP interface: who may call what. docs/INTERFACES.md lists every call. */
#include "entry/entry_internal.h"

#include <string.h>

void
fl_entry_respond_json (struct fl_http_request *request,
                       int status,
                       json_t *body,
                       int64_t retry_after_ms)
{
  struct fl_str text = fl_json_text (body);
  struct fl_http_response response
      = { .status = status, .body = text.data, .len = text.len, .retry_after_ms = retry_after_ms };

  fl_http_respond (request, &response);
  fl_str_clear (&text);
  json_decref (body);
}

/* --- who calls --- */

/* Whose work a call makes or sees. */
struct caller
{
  struct fl_name team; /* empty for operators and for callers without a key */
  bool has_key;
  bool operator;
};

/* A key that is sent must be good; whether one is needed is for the call to say. */
static bool
authenticate (struct fl_entry *entry,
              struct fl_http_request *request,
              struct caller *caller,
              struct fl_error *error)
{
  const char *header = fl_http_header (request, "Authorization");
  struct fl_key key;

  memset (caller, 0, sizeof *caller);
  if (header == NULL)
    return true;
  if (!fl_key_authenticate (fl_node_config (entry->node),
                            &fl_node_settings (entry->node)->bootstrap_operator_digest, header,
                            &key, error))
    return false;
  caller->has_key = true;
  caller->operator= key.role == FL_ROLE_OPERATOR;
  caller->team = key.team;
  return true;
}

static bool
require_operator (const struct caller *caller, struct fl_error *error)
{
  return caller->operator|| fl_fail (error, FL_DENIED, "authorize", NULL,
                                     "this call needs an operator's key");
}

static bool
require_key (const struct caller *caller, struct fl_error *error)
{
  return caller->has_key
         || fl_fail (error, FL_DENIED, "authorize", NULL,
                     "this call needs a key: send 'Authorization: Bearer KEY'");
}

/* Work without a key goes only into queues that are open to all. */
static bool
may_submit (struct fl_entry *entry,
            struct fl_http_request *request,
            const struct caller *caller,
            struct fl_error *error)
{
  const struct fl_str *body = fl_http_body (request);

  if (caller->has_key && !caller->operator)
    return true;
  json_t *json = fl_json_parse (body->data, body->len, NULL);
  const char *queue_name = json_string_value (json_object_get (json, "queue"));
  struct fl_name name = fl_name_of (queue_name != NULL ? queue_name : "");
  const struct fl_queue *queue = fl_config_queue (fl_node_config (entry->node), &name);
  json_decref (json);
  if (queue != NULL && queue->open)
    return true;
  return caller->operator? fl_fail (error, FL_DENIED, "authorize", NULL,
                                    "an operator's key belongs to no team; use a team's key")
                         : require_key (caller, error);
}

/* --- lists --- */

static void
respond_gathered (struct fl_entry *entry, struct fl_pending *pending)
{
  (void)entry;
  fl_entry_respond_json (pending->http, 200, json_incref (pending->gathered), 0);
}

static void
respond_job (struct fl_entry *entry, struct fl_pending *pending)
{
  json_t *job = json_array_get (pending->gathered, 0);
  struct fl_error error = { 0 };

  (void)entry;
  if (job != NULL)
    fl_entry_respond_json (pending->http, 200, json_incref (job), 0);
  else
    {
      fl_fail (&error, FL_NOT_FOUND, "job_show", NULL,
               "no owner that answers knows a job of this id");
      fl_http_respond_error (pending->http, &error);
    }
}

static json_t *
list_domains (struct fl_entry *entry)
{
  json_t *list = json_array ();
  const struct fl_member *member;
  size_t cursor = 0;

  while ((member = fl_node_next_member (entry->node, &cursor)) != NULL)
    {
      const struct fl_domain_status *domains = member->domains.items;
      for (size_t i = 0; fl_node_is_live (entry->node, member) && i < member->domains.count; i++)
        json_array_append_new (
            list,
            json_pack ("{s:s,s:s,s:I,s:b,s:I,s:I,s:I,s:I}", "domain", domains[i].domain.data,
                       "owner", member->instance.data, "epoch", (json_int_t)domains[i].epoch,
                       "acting", domains[i].acting, "free_slots", (json_int_t)domains[i].free_slots,
                       "free_cpu_milli", (json_int_t)domains[i].free_cpu_milli, "waiting",
                       (json_int_t)domains[i].waiting, "targets_ready",
                       (json_int_t)domains[i].targets_ready));
    }
  return list;
}

static json_t *
status_json (struct fl_entry *entry)
{
  json_t *status = fl_node_dump (entry->node);
  g_autoptr (GArray) names = fl_host_list_domains (fl_host_reader_list (entry->hosts));
  json_t *listed = json_array ();

  for (guint i = 0; i < names->len; i++)
    json_array_append_new (listed, json_string (g_array_index (names, struct fl_name, i).data));
  json_object_set_new (status, "role", json_string ("entry"));
  json_object_set_new (status, "domains", list_domains (entry));
  json_object_set_new (status, "domains_listed", listed);
  json_object_set_new (status, "pending",
                       json_integer ((json_int_t)g_hash_table_size (entry->pending)));
  return status;
}

/* --- routes --- */

/* What a route needs of its caller. */
enum access
{
  ACCESS_SUBMIT,
  ACCESS_KEY,
  ACCESS_OPERATOR
};

struct call
{
  struct fl_entry *entry;
  struct fl_http_request *request;
  struct caller caller;
  const char *rest; /* of the path, after the route's prefix */
};

static void
take_request (const struct call *c)
{
  fl_entry_take_request (c->entry, c->request, &c->caller.team);
}

static void
take_job (const struct call *c)
{
  fl_entry_take_job (c->entry, c->request, &c->caller.team);
}

static void
show_jobs (const struct call *c)
{
  fl_entry_fan_out (c->entry, c->request, &c->caller.team, FL_OP_JOBS, "", respond_gathered);
}

/* Operators name the team of a job in the query; callers have just their own. */
static struct fl_name
team_of (const struct call *c)
{
  const char *team = fl_http_query (c->request, "team");

  return c->caller.operator&& team != NULL ? fl_name_of (team) : c->caller.team;
}

static void
show_job (const struct call *c)
{
  struct fl_name team = team_of (c);

  fl_entry_fan_out (c->entry, c->request, &team, FL_OP_JOB, c->rest, respond_job);
}

static void
cancel_job (const struct call *c)
{
  struct fl_name team = team_of (c);

  fl_entry_cancel_job (c->entry, c->request, &team, c->rest);
}

static void
take_ticket (const struct call *c)
{
  fl_entry_take_ticket (c->entry, c->request);
}

static void
show_ticket (const struct call *c)
{
  fl_entry_show_ticket (c->entry, c->request, c->rest);
}

static void
show_config (const struct call *c, enum fl_object_kind kind)
{
  fl_entry_respond_json (c->request, 200, fl_config_list (fl_node_config (c->entry->node), kind),
                         0);
}

static void
show_keys (const struct call *c)
{
  show_config (c, FL_OBJECT_KEY);
}

static void
show_queues (const struct call *c)
{
  show_config (c, FL_OBJECT_QUEUE);
}

static void
show_services (const struct call *c)
{
  show_config (c, FL_OBJECT_SERVICE);
}

static void
show_teams (const struct call *c)
{
  show_config (c, FL_OBJECT_TEAM);
}

static void
show_usage (const struct call *c)
{
  fl_entry_fan_out (c->entry, c->request, &c->caller.team, FL_OP_TEAMS, "", respond_gathered);
}

static void
show_hosts (const struct call *c)
{
  fl_entry_fan_out (c->entry, c->request, &c->caller.team, FL_OP_HOSTS, "", respond_gathered);
}

static void
show_leases (const struct call *c)
{
  fl_entry_fan_out (c->entry, c->request, &c->caller.team, FL_OP_DOMAINS, "", respond_gathered);
}

static void
show_dumps (const struct call *c)
{
  fl_entry_fan_out (c->entry, c->request, &c->caller.team, FL_OP_DUMP, "", respond_gathered);
}

static void
show_domains (const struct call *c)
{
  fl_entry_respond_json (c->request, 200, list_domains (c->entry), 0);
}

static void
show_status (const struct call *c)
{
  fl_entry_respond_json (c->request, 200, status_json (c->entry), 0);
}

/* Paths that end in '/' take the rest of the path as an id. */
static const struct
{
  const char *method;
  const char *path;
  enum access access;
  void (*handle) (const struct call *call);
} routes[] = {
  { "POST", "/v1/requests", ACCESS_SUBMIT, take_request },
  { "POST", "/v1/jobs", ACCESS_SUBMIT, take_job },
  { "GET", "/v1/jobs", ACCESS_KEY, show_jobs },
  { "GET", "/v1/jobs/", ACCESS_KEY, show_job },
  { "DELETE", "/v1/jobs/", ACCESS_KEY, cancel_job },
  { "POST", "/v1/tickets", ACCESS_OPERATOR, take_ticket },
  { "GET", "/v1/tickets/", ACCESS_OPERATOR, show_ticket },
  { "GET", "/v1/teams", ACCESS_OPERATOR, show_teams },
  { "GET", "/v1/keys", ACCESS_OPERATOR, show_keys },
  { "GET", "/v1/queues", ACCESS_OPERATOR, show_queues },
  { "GET", "/v1/services", ACCESS_OPERATOR, show_services },
  { "GET", "/v1/usage", ACCESS_OPERATOR, show_usage },
  { "GET", "/v1/hosts", ACCESS_OPERATOR, show_hosts },
  { "GET", "/v1/domains", ACCESS_OPERATOR, show_domains },
  { "GET", "/v1/leases", ACCESS_OPERATOR, show_leases },
  { "GET", "/v1/dumps", ACCESS_OPERATOR, show_dumps },
  { "GET", "/v1/status", ACCESS_OPERATOR, show_status },
  { "GET", "/dump", ACCESS_OPERATOR, show_status },
};

static bool
matches (const char *route, const char *path, const char **rest)
{
  size_t len = strlen (route);

  if (route[len - 1] != '/')
    {
      *rest = "";
      return strcmp (route, path) == 0;
    }
  *rest = path + MIN (len, strlen (path));
  return strncmp (route, path, len) == 0 && **rest != '\0' && strlen (*rest) <= FL_NAME_MAX;
}

static bool
permitted (const struct call *call, enum access access, struct fl_error *error)
{
  switch (access)
    {
    case ACCESS_SUBMIT:
      return may_submit (call->entry, call->request, &call->caller, error);
    case ACCESS_KEY:
      return require_key (&call->caller, error);
    case ACCESS_OPERATOR:
      return require_operator (&call->caller, error);
    }
  return false;
}

void
fl_entry_on_http (void *context, struct fl_http_request *request)
{
  struct call call = { .entry = context, .request = request };
  struct fl_error error = { 0 };
  bool known_path = false;

  if (!authenticate (call.entry, request, &call.caller, &error))
    {
      fl_stats_add (fl_node_stats (call.entry->node), "keys_refused", 1);
      fl_http_respond_error (request, &error);
      return;
    }
  for (size_t i = 0; i < G_N_ELEMENTS (routes); i++)
    {
      if (!matches (routes[i].path, fl_http_path (request), &call.rest))
        continue;
      known_path = true;
      if (strcmp (routes[i].method, fl_http_method (request)) != 0)
        continue;
      if (permitted (&call, routes[i].access, &error))
        routes[i].handle (&call);
      else
        fl_http_respond_error (request, &error);
      return;
    }
  fl_fail (&error, FL_NOT_FOUND, "http", NULL,
           known_path ? "the method does not fit this path" : "no such path");
  fl_http_respond_error (request, &error);
}
