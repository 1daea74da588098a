#include "common/stats.h"

#include <inttypes.h>
#include <string.h>

/* Buckets for each power of two, and the base-2 logarithm of this number. */
#define SUB_BUCKETS 16
#define SUB_BITS 4

struct fl_stats
{
  GHashTable *counters;   /* char * -> int64_t * */
  GHashTable *histograms; /* char * -> struct fl_histogram * */
};

/* --- histograms --- */

static int
bucket_index (int64_t value)
{
  if (value < SUB_BUCKETS)
    return (int)value;
  int power = 63 - __builtin_clzll ((unsigned long long)value);
  int sub = (int)((value >> (power - SUB_BITS)) & (SUB_BUCKETS - 1));
  return (power - SUB_BITS + 1) * SUB_BUCKETS + sub;
}

static int64_t
bucket_upper_bound (int bucket)
{
  if (bucket < SUB_BUCKETS)
    return bucket;
  int power = bucket / SUB_BUCKETS + SUB_BITS - 1;
  int64_t width = (int64_t)1 << (power - SUB_BITS);
  return ((int64_t)1 << power) + (bucket % SUB_BUCKETS + 1) * width - 1;
}

void
fl_histogram_record (struct fl_histogram *histogram, int64_t value)
{
  if (value < 0)
    value = 0;
  histogram->count++;
  histogram->sum += value;
  histogram->max = MAX (histogram->max, value);
  histogram->buckets[MIN (bucket_index (value), FL_HISTOGRAM_BUCKETS - 1)]++;
}

int64_t
fl_histogram_quantile (const struct fl_histogram *histogram, double q)
{
  int64_t rank = (int64_t)(q * (double)histogram->count);
  int64_t seen = 0;

  if (histogram->count == 0)
    return 0;
  rank = CLAMP (rank, 0, histogram->count - 1);
  for (int i = 0; i < FL_HISTOGRAM_BUCKETS; i++)
    {
      seen += histogram->buckets[i];
      if (seen > rank)
        return MIN (bucket_upper_bound (i), histogram->max);
    }
  return histogram->max;
}

/* --- counters --- */

struct fl_stats *
fl_stats_new (void)
{
  struct fl_stats *stats = g_new0 (struct fl_stats, 1);

  stats->counters = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  stats->histograms = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return stats;
}

void
fl_stats_free (struct fl_stats *stats)
{
  if (stats == NULL)
    return;
  g_hash_table_destroy (stats->counters);
  g_hash_table_destroy (stats->histograms);
  g_free (stats);
}

static int64_t *
find_or_add_counter (struct fl_stats *stats, const char *name)
{
  int64_t *value = g_hash_table_lookup (stats->counters, name);

  if (value == NULL)
    {
      value = g_new0 (int64_t, 1);
      g_hash_table_insert (stats->counters, g_strdup (name), value);
    }
  return value;
}

void
fl_stats_add (struct fl_stats *stats, const char *name, int64_t amount)
{
  if (stats != NULL)
    *find_or_add_counter (stats, name) += amount;
}

void
fl_stats_add_traffic (struct fl_stats *stats,
                      const struct fl_traffic *traffic,
                      int64_t sent_bytes,
                      int64_t received_bytes)
{
  if (traffic == NULL)
    return;
  fl_stats_add (stats, traffic->messages, 1);
  if (sent_bytes > 0)
    fl_stats_add (stats, traffic->sent_bytes, sent_bytes);
  if (received_bytes > 0)
    fl_stats_add (stats, traffic->received_bytes, received_bytes);
}

void
fl_stats_set (struct fl_stats *stats, const char *name, int64_t value)
{
  if (stats != NULL)
    *find_or_add_counter (stats, name) = value;
}

int64_t
fl_stats_get (const struct fl_stats *stats, const char *name)
{
  const int64_t *value = g_hash_table_lookup (stats->counters, name);

  return value != NULL ? *value : 0;
}

void
fl_stats_record (struct fl_stats *stats, const char *name, int64_t value)
{
  if (stats == NULL)
    return;
  struct fl_histogram *histogram = g_hash_table_lookup (stats->histograms, name);
  if (histogram == NULL)
    {
      histogram = g_new0 (struct fl_histogram, 1);
      g_hash_table_insert (stats->histograms, g_strdup (name), histogram);
    }
  fl_histogram_record (histogram, value);
}

static GList *
sorted_keys (GHashTable *table)
{
  return g_list_sort (g_hash_table_get_keys (table), (GCompareFunc)strcmp);
}

static void
append_histogram (GString *out, const char *name, const struct fl_histogram *histogram)
{
  static const double quantiles[] = { 0.5, 0.99, 0.999 };

  for (size_t i = 0; i < G_N_ELEMENTS (quantiles); i++)
    g_string_append_printf (out, "flamingolane_%s{quantile=\"%g\"} %" PRId64 "\n", name,
                            quantiles[i], fl_histogram_quantile (histogram, quantiles[i]));
  g_string_append_printf (out, "flamingolane_%s_sum %" PRId64 "\n", name, histogram->sum);
  g_string_append_printf (out, "flamingolane_%s_count %" PRId64 "\n", name, histogram->count);
}

void
fl_stats_write (const struct fl_stats *stats, GString *out)
{
  GList *names = sorted_keys (stats->counters);

  for (GList *l = names; l != NULL; l = l->next)
    g_string_append_printf (out, "flamingolane_%s %" PRId64 "\n", (char *)l->data,
                            fl_stats_get (stats, l->data));
  g_list_free (names);

  names = sorted_keys (stats->histograms);
  for (GList *l = names; l != NULL; l = l->next)
    append_histogram (out, l->data, g_hash_table_lookup (stats->histograms, l->data));
  g_list_free (names);
}
