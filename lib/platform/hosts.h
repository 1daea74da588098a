/* The platform's lagging list of hosts, read over HTTP. */
#pragma once

#include <glib.h>

#include "net/http_client.h"
#include "ticket/objects.h"

struct fl_host
{
  struct fl_name name;
  struct fl_name domain;
  struct fl_name region;
  struct fl_name rack;
  struct fl_name label;
  struct fl_str url;
  int state; /* enum fl_host_state */
  int64_t connections;
  struct fl_resources capacity;
};

enum fl_host_state
{
  FL_HOST_LIVE,
  FL_HOST_LEAVING
};

/* Hosts in the order of the platform. */
struct fl_host_list
{
  int64_t version;       /* grows with each change; 0 when the platform gives none */
  bool unchanged;        /* the answer to a version that is still the newest; `hosts` is empty */
  struct fl_array hosts; /* struct fl_host */
};

extern const struct fl_schema fl_host_list_schema;

struct fl_host_reader;

/* Reads the list from @platform_url each @interval_ms and hands every new one to @on_list, which
 * may keep what it points to until the next call. */
struct fl_host_reader *fl_host_reader_new (struct fl_http_client *client,
                                           const char *platform_url,
                                           int64_t interval_ms,
                                           int64_t timeout_ms,
                                           void (*on_list) (void *context,
                                                            const struct fl_host_list *list),
                                           void *context);
void fl_host_reader_free (struct fl_host_reader *reader);

/* Asks for the list when it is time. */
void fl_host_reader_tick (struct fl_host_reader *reader, int64_t now_ms);

/* The last list, empty before the first. */
const struct fl_host_list *fl_host_reader_list (const struct fl_host_reader *reader);

/* The names of the domains in the list with at least one live host, sorted; free with
 * g_array_unref. Items are struct fl_name. */
GArray *fl_host_list_domains (const struct fl_host_list *list);
