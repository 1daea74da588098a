/* Stand-in for the platform: a transactional table, an object store and a lagging list of hosts.
 *
 * One process, in memory. POST /control changes its behaviour:
 *   {"mode":"up"|"down"|"slow"|"lose"|"hang", "delay_ms":N, "writes_per_s":N, "host_lag_ms":N}
 * down refuses with 503, slow answers after delay_ms, lose applies writes and answers 504, hang
 * does not answer until the mode changes. Writes beyond the rate get 429 without effect.
 */
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <argtable2.h>
#include <ev.h>
#include <glib.h>

#include "common/clock.h"
#include "common/schema.h"
#include "net/http_server.h"

#define BODY_MAX (64 * 1024 * 1024)

enum mode
{
  MODE_UP,
  MODE_DOWN,
  MODE_SLOW,
  MODE_LOSE,
  MODE_HANG
};

static const char *const mode_names[] = { "up", "down", "slow", "lose", "hang", NULL };

struct row
{
  int64_t version;
  json_t *value;
};

struct platform
{
  struct ev_loop *loop;
  struct fl_http_server *server;
  GTree *rows;         /* char * -> struct row * */
  GHashTable *objects; /* char * -> json_t * */
  int64_t last_version;
  json_t *hosts;         /* object name -> host, as things are */
  json_t *visible_hosts; /* as the list shows them */
  int64_t hosts_version; /* of the visible list */
  bool hosts_dirty;
  enum mode mode;
  int64_t delay_ms;
  int64_t writes_per_s;
  int64_t host_lag_ms;
  double tokens;
  int64_t tokens_ms;
  GPtrArray *hung; /* struct fl_http_request * */
  int64_t commits;
  int64_t reads;
  int64_t throttled;
};

/* An answer that is held back. */
struct delayed
{
  ev_timer timer;
  struct platform *platform;
  struct fl_http_request *request;
  int status;
  json_t *body;
};

static int64_t
now_ms (void)
{
  return fl_clock_monotonic_us () / 1000;
}

static void
respond_now (struct fl_http_request *request, int status, json_t *body)
{
  struct fl_str text = fl_json_text (body);
  struct fl_http_response response = { .status = status, .body = text.data, .len = text.len };

  fl_http_respond (request, &response);
  fl_str_clear (&text);
  json_decref (body);
}

static void
on_delay_over (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct delayed *delayed = timer->data;

  (void)loop;
  (void)events;
  respond_now (delayed->request, delayed->status, delayed->body);
  g_free (delayed);
}

/* Answers as the mode demands. */
static void
respond (struct platform *p, struct fl_http_request *request, int status, json_t *body)
{
  if (p->mode != MODE_SLOW || p->delay_ms == 0)
    {
      respond_now (request, status, body);
      return;
    }
  struct delayed *delayed = g_new0 (struct delayed, 1);
  delayed->platform = p;
  delayed->request = request;
  delayed->status = status;
  delayed->body = body;
  ev_timer_init (&delayed->timer, on_delay_over, (double)p->delay_ms / 1000.0, 0.0);
  delayed->timer.data = delayed;
  ev_timer_start (p->loop, &delayed->timer);
}

static void
respond_error (struct platform *p, struct fl_http_request *request, int status, const char *text)
{
  respond (p, request, status, json_pack ("{s:s}", "error", text));
}

/* --- table --- */

static void
row_free (void *data)
{
  struct row *row = data;

  json_decref (row->value);
  g_free (row);
}

static json_t *
row_json (const char *key, const struct row *row)
{
  return json_pack ("{s:s,s:I,s:O}", "key", key, "version", (json_int_t)row->version, "value",
                    row->value);
}

static bool
condition_holds (struct platform *p, const json_t *op)
{
  const char *key = json_string_value (json_object_get (op, "key"));
  int64_t wanted = json_integer_value (json_object_get (op, "version"));
  const struct row *row = key != NULL ? g_tree_lookup (p->rows, key) : NULL;

  return wanted < 0 || wanted == (row != NULL ? row->version : 0);
}

static int64_t
apply (struct platform *p, const json_t *op)
{
  const char *kind = json_string_value (json_object_get (op, "op"));
  const char *key = json_string_value (json_object_get (op, "key"));

  if (strcmp (kind, "put") == 0)
    {
      struct row *row = g_new0 (struct row, 1);
      row->version = ++p->last_version;
      row->value = json_deep_copy (json_object_get (op, "value"));
      g_tree_replace (p->rows, g_strdup (key), row);
      return row->version;
    }
  if (strcmp (kind, "delete") == 0)
    g_tree_remove (p->rows, key);
  return 0;
}

static bool
well_formed (const json_t *ops)
{
  size_t i;
  json_t *op;

  json_array_foreach (ops, i, op)
  {
    const char *kind = json_string_value (json_object_get (op, "op"));
    if (kind == NULL || !json_is_string (json_object_get (op, "key"))
        || (strcmp (kind, "put") == 0 && json_object_get (op, "value") == NULL))
      return false;
  }
  return json_array_size (ops) > 0;
}

static void
commit (struct platform *p, struct fl_http_request *request, const json_t *body)
{
  const json_t *ops = json_object_get (body, "ops");
  size_t i;
  json_t *op;

  if (!well_formed (ops))
    {
      respond_error (p, request, 400, "malformed ops");
      return;
    }
  json_array_foreach (ops, i, op)
  {
    if (condition_holds (p, op))
      continue;
    const char *key = json_string_value (json_object_get (op, "key"));
    const struct row *row = g_tree_lookup (p->rows, key);
    respond (p, request, 409,
             json_pack ("{s:I,s:o}", "conflict", (json_int_t)i, "current",
                        row != NULL ? row_json (key, row) : json_null ()));
    return;
  }
  json_t *versions = json_array ();
  json_array_foreach (ops, i, op) json_array_append_new (versions, json_integer (apply (p, op)));
  if (p->mode == MODE_LOSE)
    {
      json_decref (versions);
      respond_error (p, request, 504, "the answer is lost");
      return;
    }
  respond (p, request, 200, json_pack ("{s:o}", "versions", versions));
}

static void
get_row (struct platform *p, struct fl_http_request *request)
{
  const char *key = fl_http_query (request, "key");
  const struct row *row = key != NULL ? g_tree_lookup (p->rows, key) : NULL;
  json_t *rows = json_array ();

  if (row != NULL)
    json_array_append_new (rows, row_json (key, row));
  respond (p, request, 200, json_pack ("{s:o}", "rows", rows));
}

static void
scan (struct platform *p, struct fl_http_request *request)
{
  const char *prefix = fl_http_query (request, "prefix");
  const char *after = fl_http_query (request, "after");
  const char *limit_text = fl_http_query (request, "limit");
  size_t limit = limit_text != NULL ? (size_t)atol (limit_text) : 100;
  json_t *rows = json_array ();
  bool more = false;

  prefix = prefix != NULL ? prefix : "";
  const char *from = after != NULL && strcmp (after, prefix) > 0 ? after : prefix;
  for (GTreeNode *node = g_tree_lower_bound (p->rows, from); node != NULL;
       node = g_tree_node_next (node))
    {
      const char *key = g_tree_node_key (node);
      if (strncmp (key, prefix, strlen (prefix)) != 0)
        break;
      if (after != NULL && strcmp (key, after) <= 0)
        continue;
      if (json_array_size (rows) >= limit)
        {
          more = true;
          break;
        }
      json_array_append_new (rows, row_json (key, g_tree_node_value (node)));
    }
  respond (p, request, 200, json_pack ("{s:o,s:b}", "rows", rows, "more", more));
}

/* --- objects --- */

static void
object (struct platform *p, struct fl_http_request *request, const char *key)
{
  const struct fl_str *body = fl_http_body (request);

  if (strcmp (fl_http_method (request), "PUT") == 0)
    {
      g_hash_table_replace (p->objects, g_strdup (key), json_stringn (body->data, body->len));
      respond (p, request, 200, json_object ());
      return;
    }
  json_t *value = g_hash_table_lookup (p->objects, key);
  if (value != NULL)
    respond (p, request, 200, json_pack ("{s:O}", "value", value));
  else
    respond_error (p, request, 404, "no such object");
}

/* --- hosts --- */

static void
on_lag_over (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct delayed *delayed = timer->data;

  (void)loop;
  (void)events;
  json_decref (delayed->platform->visible_hosts);
  delayed->platform->visible_hosts = delayed->body;
  delayed->platform->hosts_version++;
  g_free (delayed);
}

/* What is true now becomes visible when the lag has passed. */
static void
show_hosts_after_lag (struct platform *p)
{
  struct delayed *delayed = g_new0 (struct delayed, 1);

  delayed->platform = p;
  delayed->body = json_deep_copy (p->hosts);
  ev_timer_init (&delayed->timer, on_lag_over, (double)p->host_lag_ms / 1000.0, 0.0);
  delayed->timer.data = delayed;
  ev_timer_start (p->loop, &delayed->timer);
}

/* Merges hosts by name; a host that is null is removed. */
static void
merge_hosts (struct platform *p, struct fl_http_request *request, const json_t *body)
{
  const char *name;
  json_t *host;

  json_object_foreach ((json_t *)body, name, host)
  {
    json_t *known = json_object_get (p->hosts, name);
    if (json_is_null (host))
      json_object_del (p->hosts, name);
    else if (known != NULL)
      json_object_update (known, host);
    else
      json_object_set (p->hosts, name, host);
  }
  show_hosts_after_lag (p);
  respond_now (request, 200, json_object ());
}

static void
list_hosts (struct platform *p, struct fl_http_request *request)
{
  const char *known = fl_http_query (request, "version");
  json_t *hosts = json_array ();
  const char *name;
  json_t *host;

  if (known != NULL && p->hosts_version > 0 && atoll (known) == p->hosts_version)
    {
      json_decref (hosts);
      respond (p, request, 200,
               json_pack ("{s:I,s:b}", "version", (json_int_t)p->hosts_version, "unchanged", true));
      return;
    }
  json_object_foreach (p->visible_hosts, name, host) json_array_append (hosts, host);
  respond (p, request, 200,
           json_pack ("{s:I,s:o}", "version", (json_int_t)p->hosts_version, "hosts", hosts));
}

/* --- control --- */

static void
release_hung (struct platform *p)
{
  for (guint i = 0; i < p->hung->len; i++)
    respond_now (p->hung->pdata[i], 504, json_object ());
  g_ptr_array_set_size (p->hung, 0);
}

static void
control (struct platform *p, struct fl_http_request *request, const json_t *body)
{
  const char *mode = json_string_value (json_object_get (body, "mode"));
  const json_t *delay = json_object_get (body, "delay_ms");
  const json_t *rate = json_object_get (body, "writes_per_s");
  const json_t *lag = json_object_get (body, "host_lag_ms");

  for (int i = 0; mode != NULL && mode_names[i] != NULL; i++)
    if (strcmp (mode, mode_names[i]) == 0)
      p->mode = i;
  if (json_is_integer (delay))
    p->delay_ms = json_integer_value (delay);
  if (json_is_integer (rate))
    p->writes_per_s = json_integer_value (rate);
  if (json_is_integer (lag))
    p->host_lag_ms = json_integer_value (lag);
  if (p->mode != MODE_HANG)
    release_hung (p);
  respond_now (request, 200,
               json_pack ("{s:s,s:I,s:I,s:I,s:i}", "mode", mode_names[p->mode], "commits",
                          (json_int_t)p->commits, "reads", (json_int_t)p->reads, "throttled",
                          (json_int_t)p->throttled, "rows", g_tree_nnodes (p->rows)));
}

static bool
take_token (struct platform *p)
{
  int64_t now = now_ms ();

  if (p->writes_per_s <= 0)
    return true;
  p->tokens += (double)((now - p->tokens_ms) * p->writes_per_s) / 1000.0;
  p->tokens = MIN (p->tokens, (double)p->writes_per_s);
  p->tokens_ms = now;
  if (p->tokens < 1.0)
    return false;
  p->tokens -= 1.0;
  return true;
}

static void
serve_platform (struct platform *p,
                struct fl_http_request *request,
                const char *path,
                const json_t *body)
{
  if (strcmp (path, "/v1/commit") == 0)
    {
      p->commits++;
      if (take_token (p))
        commit (p, request, body);
      else
        {
          p->throttled++;
          respond_error (p, request, 429, "too many writes");
        }
      return;
    }
  p->reads++;
  if (strcmp (path, "/v1/row") == 0)
    get_row (p, request);
  else if (strcmp (path, "/v1/rows") == 0)
    scan (p, request);
  else if (strcmp (path, "/v1/hosts") == 0)
    list_hosts (p, request);
  else if (g_str_has_prefix (path, "/v1/objects/"))
    object (p, request, path + strlen ("/v1/objects/"));
  else
    respond_error (p, request, 404, "no such path");
}

static void
on_request (void *context, struct fl_http_request *request)
{
  struct platform *p = context;
  const char *path = fl_http_path (request);
  const struct fl_str *text = fl_http_body (request);
  json_t *body = text->len > 0 ? fl_json_parse (text->data, text->len, NULL) : json_object ();

  if (strcmp (path, "/control") == 0)
    control (p, request, body);
  else if (strcmp (path, "/admin/hosts") == 0)
    merge_hosts (p, request, body);
  else if (p->mode == MODE_DOWN)
    respond_now (request, 503, json_pack ("{s:s}", "error", "down"));
  else if (p->mode == MODE_HANG)
    g_ptr_array_add (p->hung, request);
  else
    serve_platform (p, request, path, body);
  json_decref (body);
}

static void
on_signal (struct ev_loop *loop, ev_signal *watcher, int events)
{
  (void)watcher;
  (void)events;
  ev_break (loop, EVBREAK_ALL);
}

static int
compare_keys (const void *a, const void *b, void *context)
{
  (void)context;
  return strcmp (a, b);
}

int
main (int argc, char **argv)
{
  struct arg_int *port = arg_int0 ("p", "port", "N", "port on 127.0.0.1; 0 picks one");
  struct arg_int *rate = arg_int0 (NULL, "writes-per-s", "N", "write limit; 0 for none");
  struct arg_int *lag = arg_int0 (NULL, "host-lag-ms", "N", "lag of the list of hosts");
  struct arg_end *end = arg_end (5);
  void *table[] = { port, rate, lag, end };
  struct platform p = { .loop = ev_default_loop (0) };
  struct fl_error error = { 0 };
  ev_signal term;

  port->ival[0] = 0;
  rate->ival[0] = 0;
  lag->ival[0] = 0;
  if (arg_parse (argc, argv, table) > 0)
    {
      arg_print_errors (stderr, end, argv[0]);
      return 2;
    }
  signal (SIGPIPE, SIG_IGN);
  p.rows = g_tree_new_full (compare_keys, NULL, g_free, row_free);
  p.objects = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify)json_decref);
  p.hosts = json_object ();
  p.visible_hosts = json_object ();
  p.hung = g_ptr_array_new ();
  p.writes_per_s = rate->ival[0];
  p.host_lag_ms = lag->ival[0];
  struct fl_http_server_options options = { .loop = p.loop,
                                            .address = "127.0.0.1",
                                            .port = port->ival[0],
                                            .body_max = BODY_MAX,
                                            .header_max = 32 * 1024,
                                            .connections_max = 8192,
                                            .idle_ms = 300000,
                                            .upload_ms = 60000,
                                            .on_request = on_request,
                                            .context = &p };
  p.server = fl_http_server_new (&options, &error);
  if (p.server == NULL)
    {
      fprintf (stderr, "standin-platform: %s\n", error.text);
      return 1;
    }
  printf ("port=%d\n", fl_http_server_port (p.server));
  fflush (stdout);
  ev_signal_init (&term, on_signal, SIGTERM);
  ev_signal_start (p.loop, &term);
  ev_run (p.loop, 0);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return 0;
}
