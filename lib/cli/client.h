/* A blocking HTTP call for command-line programs, over the event-driven client. */
#pragma once

#include <jansson.h>

#include "common/error.h"
#include "common/str.h"

struct fl_client_reply
{
  int status;         /* HTTP status, 0 when the host cannot be reached */
  json_t *body;       /* parsed, or NULL when it is not JSON; owned */
  struct fl_str text; /* the body's bytes, owned */
  struct fl_error error;
};

struct fl_client_options
{
  const char *url; /* of an entry host */
  const char *key; /* NULL sends none */
  int64_t timeout_ms;
};

/* Calls @path. @body may be NULL. Clear the reply with fl_client_reply_clear. */
void fl_client_call (const struct fl_client_options *options,
                     const char *method,
                     const char *path,
                     const char *body,
                     struct fl_client_reply *reply);

void fl_client_reply_clear (struct fl_client_reply *reply);
