#include "cli/client.h"

#include <ev.h>
#include <string.h>

#include <glib.h>

#include "common/schema.h"
#include "net/http_client.h"

#define CONNECT_TIMEOUT_MS 2000

struct pending_call
{
  struct ev_loop *loop;
  struct fl_client_reply *reply;
};

static void
on_done (void *context, const struct fl_http_result *result)
{
  struct pending_call *pending_call = context;

  pending_call->reply->status = result->status;
  pending_call->reply->error = result->error;
  if (result->status != 0)
    {
      pending_call->reply->body = fl_json_parse (result->body.data, result->body.len, NULL);
      pending_call->reply->text = fl_str_dup (&result->body);
    }
  ev_break (pending_call->loop, EVBREAK_ALL);
}

void
fl_client_call (const struct fl_client_options *options,
                const char *method,
                const char *path,
                const char *body,
                struct fl_client_reply *reply)
{
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  struct fl_http_client *client
      = fl_http_client_new (&(struct fl_http_client_options){ .loop = loop, .connections_max = 1 });
  struct pending_call pending_call = { loop, reply };
  g_autofree char *url = g_strdup_printf ("%s%s", options->url, path);
  g_autofree char *authorization
      = options->key != NULL ? g_strdup_printf ("Authorization: Bearer %s", options->key) : NULL;
  struct fl_http_call call = { .method = method,
                               .url = url,
                               .header = authorization,
                               .body = body,
                               .len = body != NULL ? strlen (body) : 0,
                               .timeout_ms = options->timeout_ms,
                               .connect_timeout_ms = CONNECT_TIMEOUT_MS,
                               .on_done = on_done,
                               .context = &pending_call };

  memset (reply, 0, sizeof *reply);
  fl_http_client_start (client, &call);
  ev_run (loop, 0);
  fl_http_client_free (client);
  ev_loop_destroy (loop);
}

void
fl_client_reply_clear (struct fl_client_reply *reply)
{
  json_decref (reply->body);
  fl_str_clear (&reply->text);
  reply->body = NULL;
}
