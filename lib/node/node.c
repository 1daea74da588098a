#include "node/node_internal.h"

#include <inttypes.h>
#include <signal.h>
#include <string.h>

#include <curl/curl.h>
#include <sodium.h>

/* Entries watch the deadlines of many requests; schedulers' intervals are longer. */
#define ENTRY_TICK_S 0.02
#define SCHED_TICK_S 0.05
#define CLIENT_CONNECTIONS_MAX 4096
#define LINK_QUEUE_MAX 20000

/* --- messages --- */

bool
fl_node_send (struct fl_node *node,
              const struct fl_route *to,
              enum fl_message_type type,
              const void *object)
{
  msgpack_sbuffer buffer;

  fl_message_pack (type, object, &buffer);
  bool sent = fl_link_send (node->link, to, buffer.data, buffer.size);
  if (sent)
    *(fl_message_is_control (type) ? &node->control_sent : &node->work_sent)
        += (int64_t)buffer.size;
  msgpack_sbuffer_destroy (&buffer);
  return sent;
}

bool
fl_node_send_to (struct fl_node *node,
                 const struct fl_name *address,
                 enum fl_message_type type,
                 const void *object)
{
  struct fl_route to = { .address = *address };

  return fl_node_send (node, &to, type, object);
}

static void
dispatch (struct fl_node *node,
          enum fl_message_type type,
          const struct fl_route *from,
          const union fl_message *message)
{
  switch (type)
    {
    case FL_MSG_HELLO:
      fl_node_on_hello (node, from, &message->hello);
      break;
    case FL_MSG_STATUS:
      fl_node_on_status (node, &message->status);
      break;
    case FL_MSG_PING:
      fl_node_send (node, from, FL_MSG_PONG, &(struct fl_ping){ .instance = node->instance });
      break;
    case FL_MSG_PONG:
      fl_node_on_pong (node, &message->ping);
      break;
    case FL_MSG_TICKETS:
      fl_node_on_tickets (node, &message->tickets);
      break;
    default:
      node->options.on_message (node->options.context, type, from, message);
      break;
    }
}

static void
on_link_message (void *context, const struct fl_route *from, const char *data, size_t len)
{
  struct fl_node *node = context;
  struct fl_error error = { 0 };
  enum fl_message_type type;
  union fl_message message;

  if (!fl_message_unpack (data, len, &type, &message, &error))
    {
      fl_stats_add (node->stats, "messages_malformed", 1);
      fl_log_error (&node->log, FL_LOG_WARNING, "message_malformed", &error);
      return;
    }
  *(fl_message_is_control (type) ? &node->control_received : &node->work_received) += (int64_t)len;
  dispatch (node, type, from, &message);
  fl_message_clear (type, &message);
}

/* --- HTTP --- */

static void
respond_text (struct fl_http_request *request, int status, const char *type, const char *text)
{
  struct fl_http_response response
      = { .status = status, .type = type, .body = text, .len = strlen (text) };

  fl_http_respond (request, &response);
}

static void
respond_metrics (struct fl_node *node, struct fl_http_request *request)
{
  g_autoptr (GString) text = g_string_new (NULL);
  int64_t sent;
  int64_t received;
  int64_t writes;
  int64_t reads;

  fl_http_client_bytes (node->client, &sent, &received);
  fl_table_http_counts (node->table, &writes, &reads);
  fl_stats_set (node->stats, "bytes{kind=\"control\",way=\"sent\"}", node->control_sent);
  fl_stats_set (node->stats, "bytes{kind=\"control\",way=\"received\"}", node->control_received);
  fl_stats_set (node->stats, "bytes{kind=\"work\",way=\"sent\"}", node->work_sent);
  fl_stats_set (node->stats, "bytes{kind=\"work\",way=\"received\"}", node->work_received);
  fl_stats_set (node->stats, "bytes{kind=\"http_client\",way=\"sent\"}", sent);
  fl_stats_set (node->stats, "bytes{kind=\"http_client\",way=\"received\"}", received);
  fl_stats_set (node->stats, "table_calls{kind=\"write\"}", writes);
  fl_stats_set (node->stats, "table_calls{kind=\"read\"}", reads);
  fl_stats_set (node->stats, "config_head", fl_config_head (node->config));
  fl_stats_set (node->stats, "in_contact", fl_node_in_contact (node));
  fl_stats_set (node->stats, "members", node->members->len);
  if (node->options.on_metrics != NULL)
    node->options.on_metrics (node->options.context);
  fl_stats_text (node->stats, text);
  respond_text (request, 200, "text/plain; version=0.0.4", text->str);
}

static void
on_http (void *context, struct fl_http_request *request)
{
  struct fl_node *node = context;
  const char *path = fl_http_path (request);

  if (strcmp (path, "/health") == 0)
    respond_text (request, node->leaving ? 503 : 200, "application/json",
                  node->leaving ? "{\"state\":\"leaving\"}" : "{\"state\":\"live\"}");
  else if (strcmp (path, "/metrics") == 0)
    respond_metrics (node, request);
  else
    node->options.on_http (node->options.context, request);
}

/* --- timers --- */

static void
on_tick (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct fl_node *node = timer->data;
  int64_t now_ms = fl_node_now (node);

  (void)loop;
  (void)events;
  fl_node_tick_config (node, now_ms);
  fl_node_tick_members (node, now_ms);
  node->options.on_tick (node->options.context, now_ms);
}

static void
on_hello_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  fl_node_say_hello (timer->data);
}

/* --- construction --- */

static struct fl_name
make_instance (const struct fl_settings *settings, enum fl_process_role role)
{
  unsigned char random[6];
  char hex[2 * sizeof random + 1];

  randombytes_buf (random, sizeof random);
  sodium_bin2hex (hex, sizeof hex, random, sizeof random);
  return fl_name_format ("%s.%s-%s", settings->name.data,
                         role == FL_PROCESS_SCHED ? "sched" : "entry", hex);
}

static bool
open_sockets (struct fl_node *node, struct fl_error *error)
{
  const struct fl_settings *s = &node->settings;
  bool binds = node->options.role == FL_PROCESS_SCHED;
  struct fl_link_options link = { .loop = node->loop,
                                  .address = binds ? s->link.data : NULL,
                                  .queue_max = LINK_QUEUE_MAX,
                                  .on_message = on_link_message,
                                  .context = node };
  struct fl_http_server_options server = { .loop = node->loop,
                                           .address = s->http_address.data,
                                           .port = s->http_port,
                                           .body_max = s->body_max,
                                           .header_max = s->header_max,
                                           .connections_max = s->connections_max,
                                           .idle_ms = s->idle_ms,
                                           .upload_ms = s->upload_ms,
                                           .on_request = on_http,
                                           .context = node };

  if (binds && s->link.len == 0)
    return fl_fail (error, FL_INVALID, "start", NULL, "a scheduler needs the setting 'link'");
  node->link = fl_link_new (&link, error);
  if (node->link == NULL)
    return false;
  node->server = fl_http_server_new (&server, error);
  return node->server != NULL;
}

static void
start_timers (struct fl_node *node)
{
  double hello_s = (double)node->settings.hello_ms / 1000.0;

  double tick_s = node->options.role == FL_PROCESS_ENTRY ? ENTRY_TICK_S : SCHED_TICK_S;

  ev_timer_init (&node->tick, on_tick, tick_s, tick_s);
  node->tick.data = node;
  ev_timer_start (node->loop, &node->tick);
  ev_timer_init (&node->hello, on_hello_timer, hello_s / 10.0, hello_s);
  node->hello.data = node;
  ev_timer_start (node->loop, &node->hello);
}

struct fl_node *
fl_node_new (const struct fl_node_options *options, struct fl_error *error)
{
  struct fl_node *node = g_new0 (struct fl_node, 1);

  signal (SIGPIPE, SIG_IGN);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  if (sodium_init () < 0)
    {
      fl_fail (error, FL_INTERNAL, "start", NULL, "libsodium cannot be initialized");
      g_free (node);
      return NULL;
    }
  node->options = *options;
  node->settings = *options->settings;
  node->loop = ev_loop_new (EVFLAG_AUTO);
  node->clock = fl_clock_monotonic ();
  node->instance = make_instance (options->settings, options->role);
  /* enum values follow log_level_names, which start at FL_LOG_ERR */
  node->log = (struct fl_log){ (enum fl_log_level) (FL_LOG_ERR + options->settings->log_level),
                               options->program, node->instance };
  node->stats = fl_stats_new ();
  node->config = fl_config_new ();
  node->members = g_ptr_array_new ();
  node->client = fl_http_client_new (node->loop, CLIENT_CONNECTIONS_MAX);
  node->table = fl_table_http_new (node->client, fl_str_text (&options->settings->platform_url),
                                   options->settings->platform_timeout_ms);
  if (!open_sockets (node, error))
    {
      fl_node_free (node);
      return NULL;
    }
  start_timers (node);
  fl_log (&node->log, FL_LOG_NOTICE, "started", FL_S ("domain", node->settings.domain.data),
          FL_S ("link", fl_link_address (node->link).data),
          FL_S ("http_address", node->settings.http_address.data),
          FL_I ("http_port", fl_http_server_port (node->server)));
  return node;
}

static void
member_free (void *data)
{
  struct fl_member *member = data;

  g_free (member->domains.items);
  g_free (member);
}

void
fl_node_free (struct fl_node *node)
{
  if (node == NULL)
    return;
  ev_timer_stop (node->loop, &node->tick);
  ev_timer_stop (node->loop, &node->hello);
  fl_http_server_free (node->server);
  fl_http_client_free (node->client);
  fl_table_http_free (node->table);
  fl_link_free (node->link);
  fl_config_free (node->config);
  fl_stats_free (node->stats);
  g_ptr_array_set_free_func (node->members, member_free);
  g_ptr_array_free (node->members, TRUE);
  ev_loop_destroy (node->loop);
  g_free (node);
}

void
fl_node_run (struct fl_node *node)
{
  ev_run (node->loop, 0);
}

void
fl_node_stop (struct fl_node *node)
{
  ev_break (node->loop, EVBREAK_ALL);
}

void
fl_node_set_leaving (struct fl_node *node)
{
  node->leaving = true;
  fl_node_drop_row (node);
  fl_node_say_hello (node);
}

bool
fl_node_is_leaving (const struct fl_node *node)
{
  return node->leaving;
}

/* --- parts --- */

struct ev_loop *
fl_node_loop (const struct fl_node *node)
{
  return node->loop;
}

const struct fl_settings *
fl_node_settings (const struct fl_node *node)
{
  return &node->settings;
}

const struct fl_log *
fl_node_log (const struct fl_node *node)
{
  return &node->log;
}

struct fl_stats *
fl_node_stats (const struct fl_node *node)
{
  return node->stats;
}

struct fl_link *
fl_node_link (const struct fl_node *node)
{
  return node->link;
}

struct fl_http_client *
fl_node_client (const struct fl_node *node)
{
  return node->client;
}

struct fl_http_server *
fl_node_server (const struct fl_node *node)
{
  return node->server;
}

struct fl_table *
fl_node_table (const struct fl_node *node)
{
  return node->table;
}

const struct fl_config *
fl_node_config (const struct fl_node *node)
{
  return node->config;
}

struct fl_name
fl_node_instance (const struct fl_node *node)
{
  return node->instance;
}

struct fl_name
fl_node_address (const struct fl_node *node)
{
  return fl_link_address (node->link);
}

int64_t
fl_node_now (const struct fl_node *node)
{
  return fl_clock_now (&node->clock);
}

/* --- dump --- */

json_t *
fl_node_dump (const struct fl_node *node)
{
  json_t *members = json_array ();
  int64_t now_ms = fl_node_now (node);

  for (guint i = 0; i < node->members->len; i++)
    {
      const struct fl_member *m = node->members->pdata[i];
      json_array_append_new (
          members,
          json_pack ("{s:s,s:s,s:s,s:s,s:s,s:s,s:b,s:b,s:I,s:I,s:I}", "instance", m->instance.data,
                     "role", m->role == FL_PROCESS_SCHED ? "sched" : "entry", "address",
                     m->address.data, "http", m->http.data, "domain", m->domain.data, "region",
                     m->region.data, "live", fl_node_is_live (node, m), "leaving", m->leaving,
                     "config_head", m->config_head, "heard_ms_ago",
                     m->heard_ms > 0 ? now_ms - m->heard_ms : -1, "contact_ms_ago",
                     m->contact_ms > 0 ? now_ms - m->contact_ms : -1));
    }
  return json_pack ("{s:s,s:s,s:s,s:s,s:b,s:b,s:I,s:I,s:o}", "instance", node->instance.data,
                    "name", node->settings.name.data, "domain", node->settings.domain.data,
                    "region", node->settings.region.data, "leaving", node->leaving, "in_contact",
                    fl_node_in_contact (node), "config_head", fl_config_head (node->config),
                    "table_answered_ms_ago", fl_node_table_age_ms (node), "members", members);
}
