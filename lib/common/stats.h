/* Counters and histograms of our own, written in the usual text format for scrapers.
 *
 * A histogram keeps 16 buckets for each power of two: a quantile is reported as the upper end of
 * its bucket and is at most 1/16 (6.25 %) above the true value; values below 16 are exact.
 */
#pragma once

#include <stdint.h>

#include <glib.h>

#include "common/str.h"

#define FL_HISTOGRAM_BUCKETS 976

struct fl_histogram
{
  int64_t count;
  int64_t sum;
  int64_t max;
  int64_t buckets[FL_HISTOGRAM_BUCKETS];
};

/* Counts one @value; negative values count as 0. */
void fl_histogram_record (struct fl_histogram *histogram, int64_t value);

/* @q in 0..1. @return the value at that quantile, 0 when nothing was recorded. */
int64_t fl_histogram_quantile (const struct fl_histogram *histogram, double q);

/* Named counters and gauges of one process. */
struct fl_stats;

struct fl_stats *fl_stats_new (void);
void fl_stats_free (struct fl_stats *stats);

/* Adds @amount to counter @name, which starts at 0. @name may carry labels: `x{kind="a"}`. */
void fl_stats_add (struct fl_stats *stats, const char *name, int64_t amount);

/* Sets gauge @name. */
void fl_stats_set (struct fl_stats *stats, const char *name, int64_t value);

/* @return the value of @name, 0 when it was never set. */
int64_t fl_stats_get (const struct fl_stats *stats, const char *name);

/* Records @value into histogram @name, made on first use. */
void fl_stats_record (struct fl_stats *stats, const char *name, int64_t value);

/* Appends every counter, sorted by name, as `flamingolane_NAME VALUE` lines. */
void fl_stats_write (const struct fl_stats *stats, GString *out);
