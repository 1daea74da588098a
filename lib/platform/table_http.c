#include "platform/table.h"

#include <curl/curl.h>
#include <inttypes.h>
#include <string.h>

#include "common/schema.h"

#define CONNECT_TIMEOUT_MS 500

struct http_table
{
  struct fl_table table; /* first */
  struct fl_http_client *client;
  char *url;
  int64_t timeout_ms;
  int64_t writes;
  int64_t reads;
};

struct table_call
{
  fl_table_done *done;
  void *context;
  bool commit;
  size_t op_count;
};

/* --- answers --- */

static bool
read_row (const json_t *json, struct fl_row *row)
{
  json_t *key = json_object_get (json, "key");
  json_t *version = json_object_get (json, "version");

  if (!json_is_string (key) || !json_is_integer (version))
    return false;
  row->key = (struct fl_str){ json_string_length (key), (char *)json_string_value (key) };
  row->version = json_integer_value (version);
  row->value = json_object_get (json, "value");
  return true;
}

static void
deliver_versions (const struct table_call *call, const json_t *json, struct fl_table_result *result)
{
  const json_t *list = json_object_get (json, "versions");
  g_autofree int64_t *versions = g_new0 (int64_t, call->op_count + 1);

  result->code = json_array_size (list) == call->op_count ? FL_TABLE_OK : FL_TABLE_UNKNOWN;
  for (size_t i = 0; i < call->op_count; i++)
    versions[i] = json_integer_value (json_array_get (list, i));
  result->versions = versions;
  call->done (call->context, result);
}

static void
deliver_conflict (const struct table_call *call, const json_t *json, struct fl_table_result *result)
{
  const json_t *index = json_object_get (json, "conflict");
  const json_t *current = json_object_get (json, "current");

  result->code = FL_TABLE_CONFLICT;
  result->conflict = (size_t)json_integer_value (index);
  if (!json_is_integer (index) || result->conflict >= call->op_count
      || (json_is_object (current) && !read_row (current, &result->current)))
    result->code = FL_TABLE_UNKNOWN;
  call->done (call->context, result);
}

static void
deliver_rows (const struct table_call *call, const json_t *json, struct fl_table_result *result)
{
  const json_t *list = json_object_get (json, "rows");
  size_t count = json_array_size (list);
  g_autofree struct fl_row *rows = g_new0 (struct fl_row, count + 1);

  result->code = json_is_array (list) ? FL_TABLE_OK : FL_TABLE_UNKNOWN;
  for (size_t i = 0; i < count; i++)
    if (!read_row (json_array_get (list, i), &rows[i]))
      result->code = FL_TABLE_UNKNOWN;
  result->rows = rows;
  result->row_count = count;
  result->more = json_is_true (json_object_get (json, "more"));
  call->done (call->context, result);
}

static void
on_done (void *context, const struct fl_http_result *answer)
{
  g_autofree struct table_call *call = context;
  struct fl_table_result result = { .code = FL_TABLE_REFUSED, .error = answer->error };
  json_t *json = NULL;

  if (answer->status == 200 || answer->status == 409)
    json = fl_json_parse (answer->body.data, answer->body.len, &result.error);
  if (json != NULL && answer->status == 409)
    deliver_conflict (call, json, &result);
  else if (json != NULL && call->commit)
    deliver_versions (call, json, &result);
  else if (json != NULL)
    deliver_rows (call, json, &result);
  else
    {
      /* An answered error status says that nothing was written; a lost answer does not. */
      if ((answer->status == 0 && answer->sent) || answer->status == 200 || answer->status == 504)
        result.code = FL_TABLE_UNKNOWN;
      if (answer->status != 0 && result.error.code == FL_OK)
        fl_fail (&result.error, FL_UNAVAILABLE, "table_call", NULL, "status %d", answer->status);
      call->done (call->context, &result);
    }
  json_decref (json);
}

/* --- calls --- */

static void
send_call (struct http_table *self,
           const char *method,
           const char *url,
           const struct fl_str *body,
           struct table_call *call)
{
  struct fl_http_call options = { .method = method,
                                  .url = url,
                                  .timeout_ms = self->timeout_ms,
                                  .connect_timeout_ms = CONNECT_TIMEOUT_MS,
                                  .on_done = on_done,
                                  .context = call };

  if (body != NULL)
    {
      options.body = body->data;
      options.len = body->len;
    }
  fl_http_client_start (self->client, &options);
}

static struct table_call *
call_new (fl_table_done *done, void *context, bool commit, size_t op_count)
{
  struct table_call *call = g_new0 (struct table_call, 1);

  call->done = done;
  call->context = context;
  call->commit = commit;
  call->op_count = op_count;
  return call;
}

static json_t *
op_json (const struct fl_txn_op *op)
{
  static const char *const kinds[] = { "check", "put", "delete" };
  json_t *json = json_pack ("{s:s,s:s%,s:I}", "op", kinds[op->kind], "key", op->key.data,
                            op->key.len, "version", (json_int_t)op->version);

  if (op->kind == FL_TXN_PUT)
    json_object_set (json, "value", op->value);
  return json;
}

static void
http_commit (
    void *self_, const struct fl_txn_op *ops, size_t count, fl_table_done *done, void *context)
{
  struct http_table *self = self_;
  json_t *list = json_array ();
  g_autofree char *url = g_strdup_printf ("%s/v1/commit", self->url);

  for (size_t i = 0; i < count; i++)
    json_array_append_new (list, op_json (&ops[i]));
  json_t *json = json_pack ("{s:o}", "ops", list);
  struct fl_str body = fl_json_text (json);
  self->writes++;
  send_call (self, "POST", url, &body, call_new (done, context, true, count));
  fl_str_clear (&body);
  json_decref (json);
}

static char *
escape (const char *text)
{
  char *escaped = curl_easy_escape (NULL, text, 0);
  char *copy = g_strdup (escaped);

  curl_free (escaped);
  return copy;
}

static void
http_get (void *self_, const char *key, fl_table_done *done, void *context)
{
  struct http_table *self = self_;
  g_autofree char *escaped = escape (key);
  g_autofree char *url = g_strdup_printf ("%s/v1/row?key=%s", self->url, escaped);

  self->reads++;
  send_call (self, "GET", url, NULL, call_new (done, context, false, 0));
}

static void
http_scan (void *self_,
           const char *prefix,
           const char *after,
           int64_t limit,
           fl_table_done *done,
           void *context)
{
  struct http_table *self = self_;
  g_autofree char *escaped_prefix = escape (prefix);
  g_autofree char *escaped_after = escape (after);
  g_autofree char *url = g_strdup_printf ("%s/v1/rows?prefix=%s&after=%s&limit=%" PRId64, self->url,
                                          escaped_prefix, escaped_after, limit);

  self->reads++;
  send_call (self, "GET", url, NULL, call_new (done, context, false, 0));
}

struct fl_table *
fl_table_http_new (struct fl_http_client *client, const char *url, int64_t timeout_ms)
{
  struct http_table *self = g_new0 (struct http_table, 1);

  self->table = (struct fl_table){ self, http_commit, http_get, http_scan };
  self->client = client;
  self->url = g_strdup (url);
  self->timeout_ms = timeout_ms;
  return &self->table;
}

void
fl_table_http_free (struct fl_table *table)
{
  if (table == NULL)
    return;
  struct http_table *self = table->self;
  g_free (self->url);
  g_free (self);
}

void
fl_table_http_counts (const struct fl_table *table, int64_t *writes, int64_t *reads)
{
  const struct http_table *self = table->self;

  *writes = self->writes;
  *reads = self->reads;
}
