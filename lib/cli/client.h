/* Blocking HTTP calls for command-line programs, built on the asynchronous client. */
#pragma once

#include <jansson.h>

#include "common/error.h"
#include "common/str.h"

struct fl_client_reply
{
  int status;            /* HTTP status; 0 when there is no complete response */
  json_t *body;          /* parsed; NULL if it is not JSON; owned */
  struct fl_str text;    /* the body as received; owned */
  struct fl_error error; /* filled when status is 0 */
};

struct fl_client_options
{
  const char *url; /* of a host, without the path */
  const char *key; /* API key; NULL sends none */
  int64_t timeout_ms;
};

/* Calls @path and waits for the response or the timeout. @body may be NULL. Free the contents of
 * @reply with fl_client_reply_clear. */
void fl_client_call (const struct fl_client_options *options,
                     const char *method,
                     const char *path,
                     const char *body,
                     struct fl_client_reply *reply);

void fl_client_reply_clear (struct fl_client_reply *reply);
