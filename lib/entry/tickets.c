/* Recording tickets: one conditional transaction, settled by reading back. */
#include "entry/entry_internal.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define TRIES_MAX 12
#define RETRY_MS 150
#define ALLOT_ROWS_MAX 5000
/* Longest that a caller may ask to wait for acceptance. */
#define WAIT_MAX_MS 30000

/* One ticket on its way into the table. */
struct recording
{
  struct fl_entry *entry;
  struct fl_http_request *http;
  struct fl_ticket ticket;
  struct fl_name digest;
  int64_t wait_ms;
  int64_t head_version;
  bool head_exists;
  int tries;
  bool unsure; /* a commit's answer was lost */
  ev_timer retry;
};

/* A caller that waits for a recorded ticket to be accepted. */
struct ticket_wait
{
  struct fl_http_request *http;
  int64_t number;
  int64_t until_ms;
  struct fl_name digest;
};

static void read_head (struct recording *r);

/* --- answers --- */

static void
respond_state (struct fl_http_request *http,
               int status,
               int64_t number,
               const char *state,
               const struct fl_name *digest)
{
  fl_entry_respond_json (http, status,
                         json_pack ("{s:I,s:s,s:s}", "number", (json_int_t)number, "state", state,
                                    "digest", digest->data),
                         0);
}

static void
recording_free (struct recording *r)
{
  ev_timer_stop (fl_node_loop (r->entry->node), &r->retry);
  fl_ticket_clear (&r->ticket);
  g_free (r);
}

static void
fail (struct recording *r, int status, const char *code, const char *text, json_t *problems)
{
  json_t *body = json_pack ("{s:I,s:{s:s,s:s}}", "number", (json_int_t)r->ticket.number, "error",
                            "code", code, "text", text);

  if (problems != NULL)
    json_object_set_new (body, "problems", problems);
  json_object_set_new (body, "head",
                       json_integer (fl_config_head (fl_node_config (r->entry->node))));
  fl_log (fl_node_log (r->entry->node), FL_LOG_NOTICE, "ticket_refused",
          FL_I ("number", r->ticket.number), FL_S ("code", code), FL_S ("text", text));
  fl_entry_respond_json (r->http, status, body, status == 503 ? RETRY_MS : 0);
  recording_free (r);
}

static void
note_recorded (struct fl_entry *entry, int64_t number)
{
  if (g_hash_table_contains (entry->recorded, &number))
    return;
  int64_t *now_ms = g_new (int64_t, 1);
  *now_ms = fl_node_now (entry->node);
  g_hash_table_insert (entry->recorded, g_memdup2 (&number, sizeof number), now_ms);
}

static bool
is_accepted (struct fl_entry *entry, int64_t number)
{
  const int64_t *recorded_ms = g_hash_table_lookup (entry->recorded, &number);

  return recorded_ms != NULL && fl_config_head (fl_node_config (entry->node)) >= number
         && fl_node_ticket_accepted (entry->node, number, *recorded_ms);
}

static void
on_recorded (struct recording *r)
{
  struct ticket_wait *wait = g_new0 (struct ticket_wait, 1);

  note_recorded (r->entry, r->ticket.number);
  fl_node_poll_config (r->entry->node);
  wait->http = r->http;
  wait->number = r->ticket.number;
  wait->until_ms = fl_node_now (r->entry->node) + r->wait_ms;
  wait->digest = r->digest;
  g_ptr_array_add (r->entry->waits, wait);
  recording_free (r);
}

void
fl_entry_tick_tickets (struct fl_entry *entry, int64_t now_ms)
{
  for (guint i = entry->waits->len; i-- > 0;)
    {
      struct ticket_wait *wait = entry->waits->pdata[i];
      bool accepted = is_accepted (entry, wait->number);
      if (!accepted && now_ms < wait->until_ms)
        continue;
      respond_state (wait->http, accepted ? 200 : 202, wait->number,
                     accepted ? "accepted" : "recorded", &wait->digest);
      g_ptr_array_remove_index_fast (entry->waits, i);
      g_free (wait);
    }
}

/* --- retries --- */

static void
on_retry (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  read_head (timer->data);
}

static void
again (struct recording *r, const char *why)
{
  if (++r->tries >= TRIES_MAX)
    {
      if (r->unsure)
        fail (r, 504, "unknown", "the table does not answer; ask again with the same ticket", NULL);
      else
        fail (r, 503, "unavailable", why, NULL);
      return;
    }
  ev_timer_set (&r->retry, RETRY_MS / 1000.0, 0.0);
  ev_timer_start (fl_node_loop (r->entry->node), &r->retry);
}

/* --- allotments --- */

/* Sets what is left of @limit evenly on top of @amounts, over the listed domains. */
static void
spread_rest (json_t *amounts, const GArray *domains, int64_t rest)
{
  for (guint left = domains->len; left > 0; left--)
    {
      const struct fl_name *domain = &g_array_index (domains, struct fl_name, domains->len - left);
      int64_t share = (rest + left - 1) / left;
      int64_t before = json_integer_value (json_object_get (amounts, domain->data));
      json_object_set_new (amounts, domain->data, json_integer (before + share));
      rest -= share;
    }
}

/* Splits @limit over the domains: what each has stays, or shrinks in proportion, and what is added
 * goes round. A domain that is not listed any more keeps its part, since work may still run there;
 * its owner gives the part away when others need it. The sum never exceeds @limit. */
static json_t *
split_limit (int64_t limit, const json_t *before, const GArray *domains)
{
  json_t *amounts = json_object ();
  int64_t sum = 0;
  int64_t given = 0;
  const char *name;
  json_t *amount;

  json_object_foreach ((json_t *)before, name, amount) sum += json_integer_value (amount);
  json_object_foreach ((json_t *)before, name, amount)
  {
    int64_t old = json_integer_value (amount);
    int64_t kept = sum > limit && sum > 0 ? old * limit / sum : old;
    json_object_set_new (amounts, name, json_integer (kept));
    given += kept;
  }
  spread_rest (amounts, domains, limit - given);
  return amounts;
}

/* --- the transaction --- */

static void
add_put (GArray *ops, char *key, int64_t version, json_t *value)
{
  struct fl_txn_op op = { FL_TXN_PUT, { strlen (key), key }, version, value };

  g_array_append_val (ops, op);
}

/* Puts one row for each object, holding a ticket of just that object. */
static void
add_objects (GArray *ops, const json_t *ticket, int64_t number)
{
  static const char *const lists[] = { "teams", "keys", "queues", "services" };
  size_t i;
  json_t *item;

  for (int kind = 0; kind < FL_OBJECT_KINDS; kind++)
    json_array_foreach (json_object_get (ticket, lists[kind]), i, item)
    {
      add_put (
          ops,
          g_strdup_printf ("object/%s/%s", fl_object_kind_names[kind],
                           json_string_value (json_object_get (item, "name"))),
          FL_ANY_VERSION,
          json_pack ("{s:{s:I,s:[O]}}", "ticket", "number", (json_int_t)number, lists[kind], item));
    }
  json_array_foreach (json_object_get (ticket, "removals"), i, item)
  {
    add_put (
        ops,
        g_strdup_printf ("object/%s/%s", json_string_value (json_object_get (item, "kind")),
                         json_string_value (json_object_get (item, "name"))),
        FL_ANY_VERSION,
        json_pack ("{s:{s:I,s:[O]}}", "ticket", "number", (json_int_t)number, "removals", item));
  }
}

static const struct fl_row *
find_row (const struct fl_table_result *result, const char *key)
{
  for (size_t i = 0; i < result->row_count; i++)
    if (strcmp (result->rows[i].key.data, key) == 0)
      return &result->rows[i];
  return NULL;
}

static void
add_allotments (GArray *ops,
                const struct recording *r,
                const struct fl_table_result *rows,
                const GArray *domains)
{
  const struct fl_team *teams = r->ticket.teams.items;

  for (size_t i = 0; i < r->ticket.teams.count; i++)
    {
      char *key = g_strdup_printf ("allot/%s", teams[i].name.data);
      const struct fl_row *row = find_row (rows, key);
      json_t *before = row != NULL ? json_object_get (row->value, "amounts") : NULL;
      add_put (ops, key, row != NULL ? row->version : 0,
               json_pack ("{s:o}", "amounts", split_limit (teams[i].limit, before, domains)));
    }
}

static void
on_committed (void *context, const struct fl_table_result *result)
{
  struct recording *r = context;

  switch (result->code)
    {
    case FL_TABLE_OK:
      on_recorded (r);
      break;
    case FL_TABLE_CONFLICT:
      again (r, "other tickets and transfers keep getting in between");
      break;
    case FL_TABLE_REFUSED:
      again (r, "the table refuses");
      break;
    case FL_TABLE_UNKNOWN:
      r->unsure = true;
      again (r, "the table does not answer");
      break;
    }
}

static void
commit (struct recording *r, const struct fl_table_result *allotments)
{
  struct fl_table *table = fl_node_table (r->entry->node);
  g_autoptr (GArray) ops = g_array_new (FALSE, FALSE, sizeof (struct fl_txn_op));
  g_autoptr (GArray) domains = fl_host_list_domains (fl_host_reader_list (r->entry->hosts));
  json_t *ticket = fl_schema_to_json (&fl_ticket_schema, &r->ticket);

  add_put (ops, g_strdup ("config/head"), r->head_exists ? r->head_version : 0,
           json_pack ("{s:I}", "number", (json_int_t)r->ticket.number));
  add_put (ops, g_strdup_printf ("ticket/%020" PRId64, r->ticket.number), 0,
           json_pack ("{s:s,s:O}", "digest", r->digest.data, "ticket", ticket));
  add_objects (ops, ticket, r->ticket.number);
  add_allotments (ops, r, allotments, domains);
  table->commit (table->self, (struct fl_txn_op *)(void *)ops->data, ops->len, on_committed, r);
  for (guint i = 0; i < ops->len; i++)
    {
      struct fl_txn_op *op = &g_array_index (ops, struct fl_txn_op, i);
      g_free (op->key.data);
      json_decref (op->value);
    }
  json_decref (ticket);
}

/* --- steps before it --- */

static json_t *
problem_list (const struct fl_problems *problems)
{
  json_t *list = json_array ();
  g_auto (GStrv) lines = g_strsplit (fl_str_text (&problems->text), "\n", -1);

  for (int i = 0; lines[i] != NULL; i++)
    json_array_append_new (list, json_string (lines[i]));
  return list;
}

static void
on_allotments (void *context, const struct fl_table_result *result)
{
  struct recording *r = context;

  if (result->code != FL_TABLE_OK)
    again (r, "the table does not answer");
  else
    commit (r, result);
}

static void
check_and_commit (struct recording *r)
{
  struct fl_table *table = fl_node_table (r->entry->node);
  struct fl_problems problems = { 0 };

  if (!fl_config_check (fl_node_config (r->entry->node), &r->ticket, &problems))
    fail (r, 400, "invalid", "the ticket does not fit what is in force", problem_list (&problems));
  else if (fl_host_reader_list (r->entry->hosts)->hosts.count == 0)
    again (r, "the list of hosts is not known yet");
  else
    table->scan (table->self, "allot/", "", ALLOT_ROWS_MAX, on_allotments, r);
  fl_problems_clear (&problems);
}

static void
on_same_number (void *context, const struct fl_table_result *result)
{
  struct recording *r = context;

  if (result->code != FL_TABLE_OK)
    {
      again (r, "the table does not answer");
      return;
    }
  if (result->row_count == 0)
    {
      fail (r, 409, "stale", "a ticket with a higher number is recorded already", NULL);
      return;
    }
  const char *digest = json_string_value (json_object_get (result->rows[0].value, "digest"));
  if (digest != NULL && strcmp (digest, r->digest.data) == 0)
    on_recorded (r);
  else
    fail (r, 409, "conflict", "another ticket is recorded under this number", NULL);
}

static void
on_head (void *context, const struct fl_table_result *result)
{
  struct recording *r = context;
  struct fl_table *table = fl_node_table (r->entry->node);
  int64_t number = 0;

  if (result->code != FL_TABLE_OK)
    {
      again (r, "the table does not answer");
      return;
    }
  r->head_exists = result->row_count > 0;
  if (r->head_exists)
    {
      r->head_version = result->rows[0].version;
      number = json_integer_value (json_object_get (result->rows[0].value, "number"));
    }
  if (number >= r->ticket.number)
    {
      g_autofree char *key = g_strdup_printf ("ticket/%020" PRId64, r->ticket.number);
      table->get (table->self, key, on_same_number, r);
    }
  else if (fl_config_head (fl_node_config (r->entry->node)) < number)
    {
      /* The checks need what is in force; it is being read. */
      fl_node_poll_config (r->entry->node);
      again (r, "this host is still reading the configuration");
    }
  else
    check_and_commit (r);
}

static void
read_head (struct recording *r)
{
  struct fl_table *table = fl_node_table (r->entry->node);

  table->get (table->self, "config/head", on_head, r);
}

/* --- public functions --- */

void
fl_entry_take_ticket (struct fl_entry *entry, struct fl_http_request *request)
{
  const struct fl_str *body = fl_http_body (request);
  const char *wait = fl_http_query (request, "wait_ms");
  struct fl_problems problems = { 0 };
  struct recording *r = g_new0 (struct recording, 1);

  r->entry = entry;
  r->http = request;
  r->wait_ms = wait != NULL ? CLAMP (atoll (wait), 0, WAIT_MAX_MS) : 0;
  ev_timer_init (&r->retry, on_retry, 0.0, 0.0);
  r->retry.data = r;
  if (!fl_ticket_read (body->data, body->len, &r->ticket, &problems))
    fail (r, 400, "invalid", "the ticket is malformed", problem_list (&problems));
  else
    {
      r->digest = fl_ticket_digest (&r->ticket);
      read_head (r);
    }
  fl_problems_clear (&problems);
}

struct show
{
  struct fl_entry *entry;
  struct fl_http_request *http;
  int64_t number;
};

static void
on_show (void *context, const struct fl_table_result *result)
{
  g_autofree struct show *show = context;
  struct fl_error error = { 0 };

  if (result->code != FL_TABLE_OK || result->row_count == 0)
    {
      if (result->code != FL_TABLE_OK)
        fl_fail (&error, FL_UNAVAILABLE, "ticket_show", NULL, "the table does not answer");
      else
        fl_fail (&error, FL_NOT_FOUND, "ticket_show", NULL, "no ticket has this number");
      fl_http_respond_error (show->http, &error);
      return;
    }
  const char *digest = json_string_value (json_object_get (result->rows[0].value, "digest"));
  struct fl_name name = fl_name_of (digest != NULL ? digest : "");
  note_recorded (show->entry, show->number);
  respond_state (show->http, 200, show->number,
                 is_accepted (show->entry, show->number) ? "accepted" : "recorded", &name);
}

void
fl_entry_show_ticket (struct fl_entry *entry, struct fl_http_request *request, const char *number)
{
  struct fl_table *table = fl_node_table (entry->node);
  struct show *show = g_new0 (struct show, 1);

  show->entry = entry;
  show->http = request;
  show->number = g_ascii_strtoll (number, NULL, 10);
  g_autofree char *key = g_strdup_printf ("ticket/%020" PRId64, show->number);
  table->get (table->self, key, on_show, show);
}
