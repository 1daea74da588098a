/* Membership: rows in the table, hellos, and what the answers tell. */
#include "node/node_internal.h"

#include <string.h>

#define ROW_INTERVAL_MS 10000
#define ROW_GONE_MS 35000
#define SCAN_INTERVAL_MS 2000
#define ROWS_MAX 500
/* Every so many hellos ask for usage as well. */
#define USAGE_EVERY 2
/* Asked for by processes that need no usage. */
#define NO_USAGE (-1)
/* A member that runs answers a ping within this. */
#define PING_TIMEOUT_MS 400

static struct fl_member *
find (const struct fl_node *node, const struct fl_name *instance)
{
  for (guint i = 0; i < node->members->len; i++)
    {
      struct fl_member *member = node->members->pdata[i];
      if (fl_name_eq (&member->instance, instance))
        return member;
    }
  return NULL;
}

static struct fl_member *
find_or_add (struct fl_node *node, const struct fl_name *instance)
{
  struct fl_member *member = find (node, instance);

  if (member != NULL)
    return member;
  member = g_new0 (struct fl_member, 1);
  member->instance = *instance;
  g_ptr_array_add (node->members, member);
  return member;
}

const struct fl_member *
fl_node_next_member (const struct fl_node *node, size_t *cursor)
{
  return *cursor < node->members->len ? node->members->pdata[(*cursor)++] : NULL;
}

const struct fl_member *
fl_node_member (const struct fl_node *node, const struct fl_name *instance)
{
  return find (node, instance);
}

static void
note_heard (const struct fl_node *node, struct fl_member *member)
{
  member->heard_ms = fl_node_now (node);
  member->ping_ms = 0;
  if (member->first_heard_ms == 0)
    member->first_heard_ms = member->heard_ms;
}

bool
fl_node_is_live (const struct fl_node *node, const struct fl_member *member)
{
  int64_t now_ms = fl_node_now (node);

  return member->heard_ms > 0 && !member->leaving
         && now_ms - member->heard_ms < node->settings.contact_ms
         && (member->ping_ms == 0 || now_ms - member->ping_ms < PING_TIMEOUT_MS);
}

void
fl_node_probe (struct fl_node *node, const struct fl_member *probed)
{
  struct fl_member *member = find (node, &probed->instance);
  struct fl_ping ping = { .instance = node->instance };

  if (member == NULL || member->ping_ms != 0)
    return;
  member->ping_ms = fl_node_now (node);
  fl_node_send_to (node, &member->address, FL_MSG_PING, &ping);
}

void
fl_node_on_pong (struct fl_node *node, const struct fl_ping *pong)
{
  struct fl_member *member = find (node, &pong->instance);

  if (member != NULL)
    note_heard (node, member);
}

/* --- hellos --- */

static void
connect_to (struct fl_node *node, const struct fl_name *address)
{
  struct fl_name own = fl_node_address (node);
  struct fl_error error = { 0 };

  if (address->len == 0 || fl_name_eq (address, &own))
    return;
  if (!fl_link_connect (node->link, address, &error))
    fl_log_error (&node->log, FL_LOG_WARNING, "connect_failed", &error);
}

static struct fl_name
own_http (const struct fl_node *node)
{
  return fl_name_format ("http://%s:%d", node->settings.http_address.data,
                         fl_http_server_port (node->server));
}

/* The newest member at @address, or NULL. */
static const struct fl_member *
find_at (const struct fl_node *node, const struct fl_name *address)
{
  const struct fl_member *newest = NULL;

  for (guint i = 0; i < node->members->len; i++)
    {
      const struct fl_member *member = node->members->pdata[i];
      if (fl_name_eq (&member->address, address)
          && (newest == NULL || member->heard_ms > newest->heard_ms))
        newest = member;
    }
  return newest;
}

static int64_t
usage_wanted (const struct fl_node *node, const struct fl_member *member)
{
  if (node->options.role != FL_PROCESS_SCHED || node->hellos % USAGE_EVERY != 0)
    return NO_USAGE;
  return member != NULL ? member->usage_seen : 0;
}

void
fl_node_say_hello (struct fl_node *node)
{
  const struct fl_seed *seeds = node->settings.seeds.items;
  struct fl_hello hello = { .instance = node->instance,
                            .role = node->options.role,
                            .address = fl_node_address (node),
                            .http = own_http (node),
                            .domain = node->settings.domain,
                            .region = node->settings.region,
                            .config_head = fl_config_head (node->config),
                            .stamp_ms = fl_node_now (node),

                            .leaving = node->leaving };
  g_autoptr (GHashTable) said = g_hash_table_new (fl_name_hash, fl_name_equal);

  for (size_t i = 0; i < node->settings.seeds.count; i++)
    {
      connect_to (node, &seeds[i].address);
      g_hash_table_add (said, (void *)&seeds[i].address);
      hello.usage_seen = usage_wanted (node, find_at (node, &seeds[i].address));
      fl_node_send_to (node, &seeds[i].address, FL_MSG_HELLO, &hello);
    }
  for (guint i = 0; i < node->members->len; i++)
    {
      struct fl_member *member = node->members->pdata[i];
      if (member->role == FL_PROCESS_SCHED && member->address.len > 0
          && !fl_name_eq (&member->instance, &node->instance)
          && g_hash_table_add (said, &member->address))
        {
          hello.usage_seen = usage_wanted (node, member);
          fl_node_send_to (node, &member->address, FL_MSG_HELLO, &hello);
        }
    }
  node->hellos++;
}

static int64_t
lowest_entry_head (const struct fl_node *node)
{
  int64_t head = fl_config_head (node->config);

  for (guint i = 0; i < node->members->len; i++)
    {
      const struct fl_member *member = node->members->pdata[i];
      if (member->role == FL_PROCESS_ENTRY && fl_node_is_live (node, member))
        head = MIN (head, member->config_head);
    }
  return head;
}

void
fl_node_on_hello (struct fl_node *node, const struct fl_route *from, const struct fl_hello *hello)
{
  struct fl_member *member = find_or_add (node, &hello->instance);
  struct fl_status status = { .instance = node->instance,
                              .address = fl_node_address (node),
                              .http = own_http (node),
                              .domain = node->settings.domain,
                              .region = node->settings.region,
                              .config_head = fl_config_head (node->config),
                              .stamp_ms = hello->stamp_ms,
                              .leaving = node->leaving };

  member->role = hello->role;
  member->address = hello->address;
  member->http = hello->http;
  member->domain = hello->domain;
  member->region = hello->region;
  member->leaving = hello->leaving;
  member->config_head = hello->config_head;
  note_heard (node, member);
  if (hello->role == FL_PROCESS_SCHED)
    connect_to (node, &hello->address);
  status.entries_head = lowest_entry_head (node);
  if (node->options.on_status != NULL)
    node->options.on_status (node->options.context, hello->usage_seen, &status);
  fl_node_send (node, from, FL_MSG_STATUS, &status);
  g_free (status.domains.items);
  g_free (status.usage.items);
  if (hello->config_head > fl_config_head (node->config))
    fl_node_poll_config (node);
  if (hello->config_head < fl_config_head (node->config))
    fl_node_hand_on (node, from, hello->config_head);
}

void
fl_node_on_status (struct fl_node *node, const struct fl_status *status)
{
  struct fl_member *member = find_or_add (node, &status->instance);
  size_t bytes = status->domains.count * sizeof (struct fl_domain_status);

  member->role = FL_PROCESS_SCHED;
  member->address = status->address;
  member->http = status->http;
  member->domain = status->domain;
  member->region = status->region;
  member->leaving = status->leaving;
  member->config_head = status->config_head;
  member->entries_head = status->entries_head;
  member->usage_seen = MAX (member->usage_seen, status->usage_version);
  note_heard (node, member);
  if (status->config_head <= fl_config_head (node->config))
    member->contact_ms = MAX (member->contact_ms, status->stamp_ms);
  g_free (member->domains.items);
  member->domains.items = g_memdup2 (status->domains.items, bytes);
  member->domains.count = status->domains.count;
  fl_node_update_contact (node);
  if (node->options.on_member != NULL)
    node->options.on_member (node->options.context, member, status);
}

/* --- rows --- */

static char *
row_key (const struct fl_node *node)
{
  return g_strdup_printf ("member/%s", node->instance.data);
}

static void
on_row_written (void *context, const struct fl_table_result *result)
{
  struct fl_node *node = context;

  if (result->code == FL_TABLE_OK)
    node->table_ok_ms = fl_node_now (node);
}

static void
write_row (struct fl_node *node, int64_t now_ms)
{
  g_autofree char *key = row_key (node);
  struct fl_name http = own_http (node);
  json_t *value = json_pack ("{s:s,s:s,s:s,s:s,s:s,s:I}", "role",
                             node->options.role == FL_PROCESS_SCHED ? "sched" : "entry", "address",
                             fl_node_address (node).data, "http", http.data, "domain",
                             node->settings.domain.data, "region", node->settings.region.data,
                             "beat", (json_int_t)++node->row_beat);
  struct fl_txn_op op = { FL_TXN_PUT, { strlen (key), key }, FL_ANY_VERSION, value };

  node->row_written_ms = now_ms;
  node->table->commit (node->table->self, &op, 1, on_row_written, node);
  json_decref (value);
}

static void
on_row_dropped (void *context, const struct fl_table_result *result)
{
  (void)context;
  (void)result;
}

void
fl_node_drop_row (struct fl_node *node)
{
  g_autofree char *key = row_key (node);
  struct fl_txn_op op = { FL_TXN_DELETE, { strlen (key), key }, FL_ANY_VERSION, NULL };

  node->table->commit (node->table->self, &op, 1, on_row_dropped, node);
}

static const char *
text_of (const json_t *value, const char *name)
{
  const char *text = json_string_value (json_object_get (value, name));

  return text != NULL ? text : "";
}

static void
take_row (struct fl_node *node, const struct fl_row *row, int64_t now_ms)
{
  struct fl_name instance = fl_name_of (row->key.data + strlen ("member/"));

  if (fl_name_eq (&instance, &node->instance))
    return;
  struct fl_member *member = find_or_add (node, &instance);
  if (member->row_version != row->version)
    {
      member->row_version = row->version;
      member->row_seen_ms = now_ms;
    }
  if (member->heard_ms == 0)
    {
      member->role = strcmp (text_of (row->value, "role"), "sched") == 0 ? FL_PROCESS_SCHED
                                                                         : FL_PROCESS_ENTRY;
      member->address = fl_name_of (text_of (row->value, "address"));
      member->http = fl_name_of (text_of (row->value, "http"));
      member->domain = fl_name_of (text_of (row->value, "domain"));
      member->region = fl_name_of (text_of (row->value, "region"));
    }
  if (member->role == FL_PROCESS_SCHED)
    connect_to (node, &member->address);
}

/* Forgets members that have neither spoken nor moved their row, and removes such rows. */
static void
forget_gone (struct fl_node *node, int64_t now_ms)
{
  for (guint i = node->members->len; i-- > 0;)
    {
      struct fl_member *member = node->members->pdata[i];
      if (now_ms - MAX (member->heard_ms, member->row_seen_ms) < ROW_GONE_MS)
        continue;
      fl_log (&node->log, FL_LOG_NOTICE, "member_gone", FL_N ("member", &member->instance));
      if (member->row_version > 0)
        {
          g_autofree char *key = g_strdup_printf ("member/%s", member->instance.data);
          struct fl_txn_op op = { FL_TXN_DELETE, { strlen (key), key }, member->row_version, NULL };
          node->table->commit (node->table->self, &op, 1, on_row_dropped, node);
        }
      g_ptr_array_remove_index_fast (node->members, i);
      g_free (member->domains.items);
      g_free (member);
    }
}

static void
on_rows (void *context, const struct fl_table_result *result)
{
  struct fl_node *node = context;
  int64_t now_ms = fl_node_now (node);

  node->members_open = false;
  if (result->code != FL_TABLE_OK)
    return;
  node->table_ok_ms = now_ms;
  for (size_t i = 0; i < result->row_count; i++)
    take_row (node, &result->rows[i], now_ms);
  forget_gone (node, now_ms);
}

void
fl_node_tick_members (struct fl_node *node, int64_t now_ms)
{
  if (!node->leaving
      && (node->row_written_ms == 0 || now_ms >= node->row_written_ms + ROW_INTERVAL_MS))
    write_row (node, now_ms);
  if (node->members_open
      || (node->members_asked_ms != 0 && now_ms < node->members_asked_ms + SCAN_INTERVAL_MS))
    return;
  node->members_open = true;
  node->members_asked_ms = now_ms;
  node->table->scan (node->table->self, "member/", "", ROWS_MAX, on_rows, node);
}
