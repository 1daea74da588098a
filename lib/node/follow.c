/* Following the configuration, by the head row and by what peers hand on. */
#include "node/node_internal.h"

#include <inttypes.h>
#include <string.h>

#include "common/order.h"

#define HEAD_INTERVAL_MS 1000
#define PAGE 500

static void read_objects (struct fl_node *node, const char *after);
static void read_tickets (struct fl_node *node);

/* --- contact --- */

void
fl_node_update_contact (struct fl_node *node)
{
  g_autoptr (GArray) contacts = g_array_new (FALSE, FALSE, sizeof (int64_t));
  guint schedulers = 0;

  if (fl_config_head (node->config) >= node->head_wanted)
    node->contact_ms = MAX (node->contact_ms, node->head_contact_ms);
  if (node->options.role == FL_PROCESS_SCHED)
    {
      int64_t now_ms = fl_node_now (node);
      g_array_append_val (contacts, now_ms);
      schedulers++;
    }
  for (guint i = 0; i < node->members->len; i++)
    {
      const struct fl_member *member = node->members->pdata[i];
      if (member->role != FL_PROCESS_SCHED || member->leaving)
        continue;
      schedulers++;
      if (member->contact_ms > 0)
        g_array_append_val (contacts, member->contact_ms);
    }
  /* A single process is no majority to learn from: its own word does not count alone. */
  guint need = schedulers / 2 + 1;
  if (schedulers < 2 || contacts->len < need)
    return;
  int64_t contact_ms = fl_kth_largest ((int64_t *)(void *)contacts->data, contacts->len, need);
  node->contact_ms = MAX (node->contact_ms, contact_ms);
}

bool
fl_node_in_contact (const struct fl_node *node)
{
  return node->contact_ms > 0 && fl_node_now (node) - node->contact_ms < node->settings.contact_ms;
}

int64_t
fl_node_table_age_ms (const struct fl_node *node)
{
  return node->table_ok_ms > 0 ? fl_node_now (node) - node->table_ok_ms : INT32_MAX;
}

/* --- applying --- */

bool
fl_node_apply_ticket (struct fl_node *node, const char *text, size_t len)
{
  struct fl_ticket ticket;
  struct fl_problems problems = { 0 };
  bool ok = fl_ticket_read (text, len, &ticket, &problems);

  if (ok)
    {
      size_t changed = fl_config_apply (node->config, &ticket);
      if (changed > 0)
        fl_log (&node->log, FL_LOG_INFO, "ticket_applied", FL_I ("number", ticket.number),
                FL_I ("objects", (int64_t)changed));
    }
  else
    fl_log (&node->log, FL_LOG_ERR, "ticket_unreadable",
            FL_S ("problems", fl_str_text (&problems.text)));
  fl_ticket_clear (&ticket);
  fl_problems_clear (&problems);
  return ok;
}

static void
applied (struct fl_node *node)
{
  fl_node_update_contact (node);
  node->options.on_config (node->options.context);
}

/* --- peers --- */

void
fl_node_hand_on (struct fl_node *node, const struct fl_route *to, int64_t their_head)
{
  json_t *list = fl_config_since (node->config, their_head);
  size_t count = json_array_size (list);
  struct fl_ticket_text *texts = g_new0 (struct fl_ticket_text, MAX (count, 1));
  struct fl_tickets message
      = { .tickets = { count, texts }, .head = fl_config_head (node->config) };

  for (size_t i = 0; i < count; i++)
    texts[i].text = fl_json_text (json_array_get (list, i));
  fl_node_send (node, to, FL_MSG_TICKETS, &message);
  for (size_t i = 0; i < count; i++)
    fl_str_clear (&texts[i].text);
  g_free (texts);
  json_decref (list);
}

void
fl_node_on_tickets (struct fl_node *node, const struct fl_tickets *message)
{
  const struct fl_ticket_text *texts = message->tickets.items;
  bool ok = true;

  if (message->head <= fl_config_head (node->config))
    return;
  for (size_t i = 0; i < message->tickets.count; i++)
    ok = fl_node_apply_ticket (node, texts[i].text.data, texts[i].text.len) && ok;
  if (ok)
    fl_config_raise_head (node->config, message->head);
  applied (node);
}

/* --- the table --- */

/* Applies the value of a ticket row or of an object row, which holds a ticket of one object. */
static bool
apply_value (struct fl_node *node, const json_t *value)
{
  struct fl_str text = fl_json_text (json_object_get (value, "ticket"));
  bool ok = fl_node_apply_ticket (node, text.data, text.len);

  fl_str_clear (&text);
  return ok;
}

static void
finish_reading (struct fl_node *node, bool ok)
{
  node->head_open = false;
  if (ok)
    fl_config_raise_head (node->config, node->head_wanted);
  applied (node);
}

/* The number in the key "ticket/00000000000000000012". */
static int64_t
ticket_number (const struct fl_row *row)
{
  return g_ascii_strtoll (row->key.data + strlen ("ticket/"), NULL, 10);
}

static void
on_tickets_read (void *context, const struct fl_table_result *result)
{
  struct fl_node *node = context;
  bool ok = result->code == FL_TABLE_OK;

  for (size_t i = 0; ok && i < result->row_count; i++)
    {
      ok = apply_value (node, result->rows[i].value);
      if (ok)
        fl_config_raise_head (node->config, ticket_number (&result->rows[i]));
    }
  if (ok && result->more)
    read_tickets (node);
  else
    finish_reading (node, ok);
}

static void
read_tickets (struct fl_node *node)
{
  g_autofree char *after = g_strdup_printf ("ticket/%020" PRId64, fl_config_head (node->config));

  node->table->scan (node->table->self, "ticket/", after, PAGE, on_tickets_read, node);
}

static void
on_objects_read (void *context, const struct fl_table_result *result)
{
  struct fl_node *node = context;
  bool ok = result->code == FL_TABLE_OK;

  for (size_t i = 0; ok && i < result->row_count; i++)
    ok = apply_value (node, result->rows[i].value);
  if (ok && result->more)
    {
      read_objects (node, result->rows[result->row_count - 1].key.data);
      return;
    }
  node->objects_loaded = node->objects_loaded || ok;
  finish_reading (node, ok);
}

static void
read_objects (struct fl_node *node, const char *after)
{
  node->table->scan (node->table->self, "object/", after, PAGE, on_objects_read, node);
}

static void
on_head (void *context, const struct fl_table_result *result)
{
  struct fl_node *node = context;

  if (result->code != FL_TABLE_OK)
    {
      node->head_open = false;
      return;
    }
  node->table_ok_ms = fl_node_now (node);
  node->head_contact_ms = node->head_asked_ms;
  node->head_wanted = result->row_count > 0
                          ? json_integer_value (json_object_get (result->rows[0].value, "number"))
                          : 0;
  if (fl_config_head (node->config) >= node->head_wanted)
    {
      node->objects_loaded = true;
      node->head_open = false;
      fl_node_update_contact (node);
    }
  else if (node->objects_loaded || fl_config_head (node->config) > 0)
    read_tickets (node);
  else
    read_objects (node, "");
}

void
fl_node_poll_config (struct fl_node *node)
{
  if (node->head_open)
    return;
  node->head_open = true;
  node->head_asked_ms = fl_node_now (node);
  node->table->get (node->table->self, "config/head", on_head, node);
}

void
fl_node_tick_config (struct fl_node *node, int64_t now_ms)
{
  if (node->head_asked_ms == 0 || now_ms >= node->head_asked_ms + HEAD_INTERVAL_MS)
    fl_node_poll_config (node);
}

/* --- acceptance --- */

bool
fl_node_ticket_accepted (const struct fl_node *node, int64_t number, int64_t recorded_ms)
{
  guint schedulers = 0;
  guint reached = 0;
  bool all = fl_config_head (node->config) >= number;

  for (guint i = 0; i < node->members->len; i++)
    {
      const struct fl_member *member = node->members->pdata[i];
      if (member->role != FL_PROCESS_SCHED || member->leaving)
        continue;
      schedulers++;
      bool has = member->config_head >= number;
      reached += has;
      all = all && has && fl_node_is_live (node, member) && member->entries_head >= number;
    }
  if (schedulers == 0)
    return false;
  if (all)
    return true;
  return reached >= schedulers / 2 + 1
         && fl_node_now (node) - recorded_ms > node->settings.contact_ms;
}
