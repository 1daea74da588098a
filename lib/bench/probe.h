/* Looks at the cell while load runs: how near each team is to its share, and how full the hosts
 * are. */
#pragma once

#include <ev.h>
#include <stdint.h>

#include "net/http_client.h"

struct fl_probe;

struct fl_probe_options
{
  struct fl_http_client *client;
  const char *url; /* of an entry host */
  const char *key; /* an operator's */
};

/* What the samples came to. Distances are parts of the whole, 0 to 1. */
struct fl_probe_result
{
  int64_t usage_samples; /* with at least two teams that had work waiting */
  double distance_last;  /* largest distance of such a team from its share, last sample */
  double distance_mean;
  int64_t host_samples;
  double packing_max; /* part of the processors of ready hosts in use, highest sample */
  double packing_mean;
};

struct fl_probe *fl_probe_new (const struct fl_probe_options *options);

/* Takes one sample; the answers are counted when they come. */
void fl_probe_sample (struct fl_probe *probe);

struct fl_probe_result fl_probe_result (const struct fl_probe *probe);

/* Call it after the client is freed, so that no answer is on its way. */
void fl_probe_free (struct fl_probe *probe);
