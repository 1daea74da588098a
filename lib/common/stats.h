/* Counters, gauges and histograms, written in the Prometheus text format.
 *
 * A histogram has 16 buckets for each power of two. A quantile is reported as the upper bound of
 * its bucket and exceeds the true value by at most 1/16 (6.25 %); values below 16 are exact.
 */
#pragma once

#include <stdint.h>

#include <glib.h>

#include "common/str.h"

/* Enough for every int64_t: the largest value is in bucket 959. */
#define FL_HISTOGRAM_BUCKETS 976

struct fl_histogram
{
  int64_t count;
  int64_t sum;
  int64_t max;
  int64_t buckets[FL_HISTOGRAM_BUCKETS];
};

/* Records @value; a negative value counts as 0. */
void fl_histogram_record (struct fl_histogram *histogram, int64_t value);

/* @return the value at quantile @q (0 to 1), or 0 when nothing was recorded. */
int64_t fl_histogram_quantile (const struct fl_histogram *histogram, double q);

/* Names of the counters of one kind of traffic: messages or calls, and bytes by direction. */
struct fl_traffic
{
  const char *messages;
  const char *sent_bytes;
  const char *received_bytes;
};

/* The counters of the traffic kind @kind_, a string literal. */
#define FL_TRAFFIC(kind_)                                                                          \
  {                                                                                                \
    "messages_total{kind=\"" kind_ "\"}", "sent_bytes_total{kind=\"" kind_ "\"}",                  \
        "received_bytes_total{kind=\"" kind_ "\"}"                                                 \
  }

/* Named counters, gauges and histograms of one process. fl_stats_add, fl_stats_set and
 * fl_stats_record do nothing if the stats are NULL. */
struct fl_stats;

struct fl_stats *fl_stats_new (void);
void fl_stats_free (struct fl_stats *stats);

/* Adds @amount to counter @name, which starts at 0. @name may include labels: `x{kind="a"}`. */
void fl_stats_add (struct fl_stats *stats, const char *name, int64_t amount);

/* Counts one message or call of the kind @traffic, which may be NULL. */
void fl_stats_add_traffic (struct fl_stats *stats,
                           const struct fl_traffic *traffic,
                           int64_t sent_bytes,
                           int64_t received_bytes);

/* Sets gauge @name. */
void fl_stats_set (struct fl_stats *stats, const char *name, int64_t value);

/* @return the value of counter or gauge @name, or 0 when it was never set. */
int64_t fl_stats_get (const struct fl_stats *stats, const char *name);

/* Records @value in histogram @name, which is created on first use. */
void fl_stats_record (struct fl_stats *stats, const char *name, int64_t value);

/* Appends all counters and gauges as `flamingolane_NAME VALUE` lines, followed by the
 * quantiles, sums and counts of all histograms. Both groups are sorted by name. */
void fl_stats_write (const struct fl_stats *stats, GString *out);
