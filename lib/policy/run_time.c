#include "policy/run_time.h"

#include <math.h>

#include <glib.h>

/* Least weight of one run in the moving averages, so that they follow a change of the work within
 * some tens of runs. */
#define WEIGHT_MIN 0.02
/* Runs after which the averages are relied on. */
#define LEARNT_RUNS 8
/* Most classes; further queues and images share the last one. Clients choose the names of images.
 */
#define CLASSES_MAX 256
/* Most kinds of targets that a class tells apart; further ones count as any. */
#define KINDS_MAX 8
/* Spread that is assumed for a declared estimate before any run has ended: a factor of about two.
 */
#define DECLARED_LOG_DEVIATION 0.7
/* No class is trusted to be more regular than this. */
#define LOG_DEVIATION_MIN 0.05
#define EULER_GAMMA 0.5772
/* Spread of the run times in a step before enough runs have ended. */
#define STEP_LOG_DEVIATION 0.3
/* Runs after which the factor of a kind is relied on, and the least variance within steps: with
 * fewer runs or less, estimates would follow single runs. */
#define KIND_RUNS_MIN 30
#define STEP_VARIANCE_MIN 0.01
/* A run that is longer or shorter than its step by more than a factor of three counts as such. */
#define LOG_RATIO_MAX 1.1

/* Moving mean and variance. */
struct moments
{
  int64_t count;
  double mean;
  double variance;
};

struct kind_stats
{
  struct fl_name kind;
  struct moments log_ms;         /* of the logarithm of the run time */
  struct moments log_ratio;      /* of the logarithm of its ratio to the declared estimate */
  struct moments log_step_ratio; /* of the logarithm of its ratio to the median of its step */
  double kind_factor;            /* exponential of the mean of these; 0 before enough runs */
};

struct fl_run_time_class
{
  struct fl_name queue;
  struct fl_name image;
  struct kind_stats any;
  struct kind_stats kinds[KINDS_MAX];
  int kind_count;
};

struct fl_run_times
{
  GPtrArray *classes; /* struct fl_run_time_class, owned; a deployment has few */
};

struct fl_run_times *
fl_run_times_new (void)
{
  struct fl_run_times *times = g_new0 (struct fl_run_times, 1);

  times->classes = g_ptr_array_new_with_free_func (g_free);
  return times;
}

void
fl_run_times_free (struct fl_run_times *times)
{
  if (times == NULL)
    return;
  g_ptr_array_unref (times->classes);
  g_free (times);
}

struct fl_run_time_class *
fl_run_times_find_class (const struct fl_run_times *times,
                         const struct fl_name *queue,
                         const struct fl_name *image)
{
  for (guint i = 0; i < times->classes->len; i++)
    {
      struct fl_run_time_class *run_class = g_ptr_array_index (times->classes, i);
      if (fl_name_eq (&run_class->queue, queue) && fl_name_eq (&run_class->image, image))
        return run_class;
    }
  return times->classes->len == CLASSES_MAX ? g_ptr_array_index (times->classes, CLASSES_MAX - 1)
                                            : NULL;
}

struct fl_run_time_class *
fl_run_times_get_class (struct fl_run_times *times,
                        const struct fl_name *queue,
                        const struct fl_name *image)
{
  struct fl_run_time_class *run_class = fl_run_times_find_class (times, queue, image);

  if (run_class != NULL)
    return run_class;
  run_class = g_new0 (struct fl_run_time_class, 1);
  run_class->queue = *queue;
  run_class->image = *image;
  g_ptr_array_add (times->classes, run_class);
  return run_class;
}

/* --- learning --- */

static void
add_sample (struct moments *moments, double value)
{
  double difference = value - moments->mean;
  double weight;

  moments->count++;
  weight = MAX (1.0 / (double)moments->count, WEIGHT_MIN);
  moments->mean += weight * difference;
  moments->variance = (1.0 - weight) * (moments->variance + weight * difference * difference);
}

static void
add_run (struct kind_stats *stats, int64_t declared_ms, int64_t ran_ms)
{
  add_sample (&stats->log_ms, log ((double)ran_ms));
  if (declared_ms > 0)
    add_sample (&stats->log_ratio, log ((double)ran_ms / (double)declared_ms));
}

static const struct kind_stats *
find_kind (const struct fl_run_time_class *run_class, const struct fl_name *kind)
{
  for (int i = 0; i < run_class->kind_count; i++)
    if (fl_name_eq (&run_class->kinds[i].kind, kind))
      return &run_class->kinds[i];
  return NULL;
}

static struct kind_stats *
get_or_add_kind (struct fl_run_time_class *run_class, const struct fl_name *kind)
{
  struct kind_stats *stats = (struct kind_stats *)find_kind (run_class, kind);

  if (stats == NULL && run_class->kind_count < KINDS_MAX)
    {
      stats = &run_class->kinds[run_class->kind_count++];
      stats->kind = *kind;
    }
  return stats;
}

void
fl_run_time_add (struct fl_run_time_class *run_class,
                 const struct fl_name *kind,
                 int64_t declared_ms,
                 int64_t ran_ms)
{
  struct kind_stats *stats = get_or_add_kind (run_class, kind);

  ran_ms = MAX (ran_ms, 1);
  add_run (&run_class->any, declared_ms, ran_ms);
  if (stats != NULL)
    add_run (stats, declared_ms, ran_ms);
}

/* --- estimates --- */

struct fl_run_time
fl_run_time_get (const struct fl_run_time_class *run_class,
                 const struct fl_name *kind,
                 int64_t declared_ms)
{
  const struct kind_stats *stats = kind != NULL ? find_kind (run_class, kind) : NULL;

  if (stats == NULL || stats->log_ms.count < LEARNT_RUNS)
    stats = &run_class->any;
  if (stats->log_ms.count == 0)
    return (struct fl_run_time){ (double)declared_ms, DECLARED_LOG_DEVIATION, false };
  /* The declared estimate is used where run times keep to it better than to their own median. */
  bool use_ratio = declared_ms > 0 && stats->log_ratio.count > 0
                   && stats->log_ratio.variance <= stats->log_ms.variance;
  const struct moments *moments = use_ratio ? &stats->log_ratio : &stats->log_ms;
  double median_ms = exp (moments->mean) * (use_ratio ? (double)declared_ms : 1.0);
  bool is_learnt = moments->count >= LEARNT_RUNS;
  double deviation = is_learnt ? sqrt (moments->variance) : DECLARED_LOG_DEVIATION;
  return (struct fl_run_time){ median_ms, MAX (deviation, LOG_DEVIATION_MIN), is_learnt };
}

/* Expected maximum of @count standard normal variables, by the limit distribution of extremes. */
static double
expected_normal_maximum (int64_t count)
{
  if (count <= 1)
    return 0.0;
  double log_count = log ((double)count);
  double scale = sqrt (2.0 * log_count);
  return scale + (EULER_GAMMA - 0.5 * (log (log_count) + log (4.0 * G_PI))) / scale;
}

double
fl_run_time_longest_ms (const struct fl_run_time *run_time, int64_t count)
{
  return run_time->median_ms * exp (run_time->log_deviation * expected_normal_maximum (count));
}

double
fl_run_time_percentile_ms (const struct fl_run_time *run_time, int percent)
{
  double deviations = percent >= 97 ? 1.881 : percent >= 90 ? 1.282 : percent >= 75 ? 0.674 : 0.0;

  return run_time->median_ms * exp (run_time->log_deviation * deviations);
}

/* --- run times within a step --- */

void
fl_run_time_add_ratio (struct fl_run_time_class *run_class,
                       const struct fl_name *kind,
                       double log_ratio)
{
  struct kind_stats *stats = get_or_add_kind (run_class, kind);
  double value = CLAMP (log_ratio, -LOG_RATIO_MAX, LOG_RATIO_MAX);

  add_sample (&run_class->any.log_step_ratio, value);
  if (stats == NULL)
    return;
  add_sample (&stats->log_step_ratio, value);
  if (stats->log_step_ratio.count >= KIND_RUNS_MIN)
    stats->kind_factor = exp (stats->log_step_ratio.mean);
}

double
fl_run_time_kind_factor (const struct fl_run_time_class *run_class, const struct fl_name *kind)
{
  const struct kind_stats *stats = find_kind (run_class, kind);

  return stats != NULL && stats->kind_factor > 0.0 ? stats->kind_factor : 1.0;
}

double
fl_run_time_step_variance (const struct fl_run_time_class *run_class)
{
  const struct moments *ratios = &run_class->any.log_step_ratio;

  return ratios->count >= KIND_RUNS_MIN ? MAX (ratios->variance, STEP_VARIANCE_MIN)
                                        : STEP_LOG_DEVIATION * STEP_LOG_DEVIATION;
}
