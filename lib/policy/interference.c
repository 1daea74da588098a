#include "policy/interference.h"

#include <math.h>
#include <string.h>

#include <glib.h>

/* Samples lose half of their weight in this time: amounts change within seconds to minutes. */
#define HALF_LIFE_MS 10000.0
/* Each update examines a share of the victims, so that no single one takes long. */
#define UPDATE_INTERVAL_MS 250
#define UPDATE_SHARES 4
/* A known pair that cannot be examined for this long is forgotten, since its tasks are kept apart:
 * it is tried again. */
#define RETRY_MS 45000
/* A class that has not been seen for this long leaves its place to another one. Longer than
 * RETRY_MS, so that no pair of it is known. */
#define CLASS_IDLE_MS 60000

/* Logarithms of slowdowns. A pair becomes known at the first, and is forgotten below the second: in
 * between lies what targets differ by in their shared hardware. */
#define LEARN_LOG 0.14  /* 15 % */
#define FORGET_LOG 0.05 /* 5 % */
/* Standard errors by which the mean of a pair exceeds FORGET_LOG when it becomes known: up to a
 * thousand pairs are examined every second. */
#define LEARN_ERRORS 3.0
/* Largest logarithm of the slowdown of one sample. */
#define SAMPLE_LOG_MAX 3.0
/* Targets whose differences have to agree: neither one target nor two decide. */
#define TARGETS_MIN 3
/* Weights of a comparison, the harmonic mean of both sides halved: the least to consider one of a
 * target, and of all targets for a pair that is known. */
#define TARGET_WEIGHT_MIN 0.5
#define PAIR_WEIGHT_MIN 3.0
/* Variance of the logarithm of the slowness before samples tell: a factor of about 1.6. */
#define INITIAL_VARIANCE 0.25
#define VARIANCE_WEIGHT 0.02

/* Load is compared by quarters of the capacity. */
#define LOAD_PERCENT_STEP 25
#define LOAD_MAX 3

#define CLASSES_MAX FL_INTERFERENCE_CLASSES_MAX
#define ALL_NEIGHBOURS CLASSES_MAX /* for all samples, whatever neighbours came, or none */

/* Sums, in an open hash table: enough for 350 targets with ten pairs and two loads each. Of sums
 * that compete for a place, the one with the least weight is dropped. */
#define SUMS_MAX 32768
#define SUMS_SHIFT 49 /* 64 less the logarithm of SUMS_MAX */
#define PROBES_MAX 8

/* Sum of the samples of a victim class and a neighbour class that came, at one load, on one target
 * or on all targets of a kind. The value of a sample is the logarithm of its slowness. */
struct sum
{
  uint64_t key; /* 0 for an unused place */
  float weight;
  float value;
  int64_t updated_ms;
};

struct class_entry
{
  struct fl_name queue;
  struct fl_name image;
  uint32_t generation; /* 0 while unused */
  int64_t seen_ms;
  double variance; /* of the logarithm of the slowness about its mean on a target */
};

struct pair_entry
{
  bool is_known;
  double log_slowdown;
  int64_t targets;
  double samples;
  int64_t examined_ms; /* when there were last enough samples to compare */
  int64_t beside_ms;   /* when the last sample beside the neighbour came */
};

struct fl_interference
{
  struct class_entry classes[CLASSES_MAX];
  struct pair_entry pairs[CLASSES_MAX][CLASSES_MAX]; /* by victim and neighbour */
  struct sum *sums;                                  /* SUMS_MAX */
  uint32_t last_generation;
  int64_t known_pairs;
  int64_t updated_ms;
  int share;           /* of the victims, to be examined in the next update */
  GArray *differences; /* struct difference, of the update in progress */
};

/* Difference between the samples with and without a neighbour on one target. */
struct difference
{
  int pair; /* victim * CLASSES_MAX + neighbour */
  uint32_t target;
  double weight;
  double value; /* of the logarithm */
  double samples;
  int64_t beside_ms;
};

struct fl_interference *
fl_interference_new (void)
{
  struct fl_interference *interference = g_new0 (struct fl_interference, 1);

  interference->differences = g_array_new (FALSE, FALSE, sizeof (struct difference));
  return interference;
}

void
fl_interference_free (struct fl_interference *interference)
{
  if (interference == NULL)
    return;
  g_array_unref (interference->differences);
  g_free (interference->sums);
  g_free (interference);
}

/* --- sums --- */

static uint64_t
make_key (int victim, int neighbour, int64_t load, uint32_t kind, uint32_t target)
{
  uint64_t kind_bits = (kind ^ kind >> 16) & 0xffff;

  return UINT64_C (1) << 63 | (uint64_t)victim << 56 | (uint64_t)neighbour << 50
         | (uint64_t)load << 48 | kind_bits << 32 | target;
}

static int
victim_of_key (uint64_t key)
{
  return key >> 56 & 0x1f;
}

static int
neighbour_of_key (uint64_t key)
{
  return key >> 50 & 0x3f;
}

static uint32_t
target_of_key (uint64_t key)
{
  return (uint32_t)key;
}

/* The key of the same sum with the neighbour @neighbour, on all targets of the kind if
 * @is_of_kind. */
static uint64_t
related_key (uint64_t key, int neighbour, bool is_of_kind)
{
  key = (key & ~(UINT64_C (0x3f) << 50)) | (uint64_t)neighbour << 50;
  return is_of_kind ? key & ~UINT64_C (0xffffffff) : key;
}

static float
decayed_weight (const struct sum *sum, int64_t now_ms)
{
  return sum->weight * (float)exp2 (-(double)(now_ms - sum->updated_ms) / HALF_LIFE_MS);
}

static size_t
first_probe (uint64_t key)
{
  return key * UINT64_C (0x9e3779b97f4a7c15) >> SUMS_SHIFT;
}

/* @return the decayed sum of @key; a zero one if there is none. */
static struct sum
read_sum (const struct fl_interference *interference, uint64_t key, int64_t now_ms)
{
  size_t first = first_probe (key);

  for (size_t i = 0; i < PROBES_MAX; i++)
    {
      struct sum sum = interference->sums[(first + i) % SUMS_MAX];
      if (sum.key != key)
        continue;
      float weight = decayed_weight (&sum, now_ms);
      sum.value *= sum.weight > 0 ? weight / sum.weight : 0;
      sum.weight = weight;
      return sum;
    }
  return (struct sum){ 0 };
}

static void
add_to_sum (struct fl_interference *interference, uint64_t key, double value, int64_t now_ms)
{
  size_t first = first_probe (key);
  struct sum *place = NULL;
  float place_weight = 0;

  for (size_t i = 0; i < PROBES_MAX; i++)
    {
      struct sum *sum = &interference->sums[(first + i) % SUMS_MAX];
      float sum_weight = sum->key == 0 ? 0 : decayed_weight (sum, now_ms);
      if (place == NULL || sum->key == key || sum_weight < place_weight)
        {
          place = sum;
          place_weight = sum_weight;
        }
      if (sum->key == key)
        break;
    }
  if (place->key != key)
    *place = (struct sum){ .key = key };
  else if (place->weight > 0)
    {
      place->value *= place_weight / place->weight;
      place->weight = place_weight;
    }
  place->weight += 1;
  place->value += (float)value;
  place->updated_ms = now_ms;
}

/* Drops the sums of @victim beside @neighbour; a negative class stands for any. */
static void
drop_sums (struct fl_interference *interference, int victim, int neighbour)
{
  for (size_t i = 0; interference->sums != NULL && i < SUMS_MAX; i++)
    {
      struct sum *sum = &interference->sums[i];
      if (sum->key != 0 && (victim < 0 || victim_of_key (sum->key) == victim)
          && (neighbour < 0 || neighbour_of_key (sum->key) == neighbour))
        *sum = (struct sum){ 0 };
    }
}

/* --- classes --- */

static void
clear_class (struct fl_interference *interference, int place)
{
  if (interference->classes[place].generation == 0)
    return;
  drop_sums (interference, place, -1);
  drop_sums (interference, -1, place);
  for (int i = 0; i < CLASSES_MAX; i++)
    {
      struct pair_entry *entries[]
          = { &interference->pairs[place][i], &interference->pairs[i][place] };
      for (size_t j = 0; j < G_N_ELEMENTS (entries); j++)
        {
          interference->known_pairs -= entries[j]->is_known ? 1 : 0;
          *entries[j] = (struct pair_entry){ 0 };
        }
    }
}

static struct fl_interference_class
take_place (struct fl_interference *interference,
            int place,
            const struct fl_name *queue,
            const struct fl_name *image,
            int64_t now_ms)
{
  struct class_entry *entry = &interference->classes[place];

  clear_class (interference, place);
  *entry = (struct class_entry){ .queue = *queue,
                                 .image = *image,
                                 .generation = ++interference->last_generation,
                                 .seen_ms = now_ms,
                                 .variance = INITIAL_VARIANCE };
  return (struct fl_interference_class){ entry->generation, (uint8_t)place };
}

struct fl_interference_class
fl_interference_find_class (const struct fl_interference *interference,
                            const struct fl_name *queue,
                            const struct fl_name *image)
{
  for (int i = 0; i < CLASSES_MAX - 1; i++)
    {
      const struct class_entry *entry = &interference->classes[i];
      if (entry->generation != 0 && fl_name_eq (&entry->image, image)
          && fl_name_eq (&entry->queue, queue))
        return (struct fl_interference_class){ entry->generation, (uint8_t)i };
    }
  return (struct fl_interference_class){ 0 };
}

struct fl_interference_class
fl_interference_get_class (struct fl_interference *interference,
                           const struct fl_name *queue,
                           const struct fl_name *image,
                           int64_t now_ms)
{
  const int shared = CLASSES_MAX - 1;
  int free_place = -1;

  for (int i = 0; i < shared; i++)
    {
      struct class_entry *entry = &interference->classes[i];
      if (entry->generation != 0 && fl_name_eq (&entry->image, image)
          && fl_name_eq (&entry->queue, queue))
        {
          entry->seen_ms = now_ms;
          return (struct fl_interference_class){ entry->generation, (uint8_t)i };
        }
      if (free_place < 0 && (entry->generation == 0 || now_ms - entry->seen_ms > CLASS_IDLE_MS))
        free_place = i;
    }
  if (free_place >= 0)
    return take_place (interference, free_place, queue, image, now_ms);
  if (interference->classes[shared].generation == 0)
    {
      struct fl_name other = fl_name_of ("(other)");
      return take_place (interference, shared, &other, &other, now_ms);
    }
  return (struct fl_interference_class){ interference->classes[shared].generation,
                                         (uint8_t)shared };
}

bool
fl_interference_class_is_valid (const struct fl_interference *interference,
                                struct fl_interference_class ref)
{
  return ref.generation != 0 && interference->classes[ref.place].generation == ref.generation;
}

uint32_t
fl_interference_class_bit (struct fl_interference_class ref)
{
  return UINT32_C (1) << ref.place;
}

void
fl_interference_note_seen (struct fl_interference *interference, uint32_t classes, int64_t now_ms)
{
  for (int i = 0; i < CLASSES_MAX; i++)
    if (classes >> i & 1)
      interference->classes[i].seen_ms = now_ms;
}

/* --- learning --- */

static void
update_variance (struct class_entry *victim, const struct sum *before, double value)
{
  if (before->weight < 2)
    return;
  double difference = value - (double)(before->value / before->weight);
  victim->variance += VARIANCE_WEIGHT * (difference * difference - victim->variance);
}

void
fl_interference_add (struct fl_interference *interference,
                     const struct fl_interference_sample *sample,
                     int64_t now_ms)
{
  int victim = sample->victim.place;
  uint32_t target = MAX (sample->target, 1);
  int64_t load = CLAMP (sample->load_percent / LOAD_PERCENT_STEP, 0, LOAD_MAX);

  if (!(sample->slowness > 0) || !isfinite (sample->slowness))
    return;
  double value = CLAMP (log (sample->slowness), -SAMPLE_LOG_MAX, SAMPLE_LOG_MAX);
  if (interference->sums == NULL)
    interference->sums = g_new0 (struct sum, SUMS_MAX);
  uint64_t all_key = make_key (victim, ALL_NEIGHBOURS, load, sample->kind, target);
  struct sum before = read_sum (interference, all_key, now_ms);
  update_variance (&interference->classes[victim], &before, value);
  for (int i = 0; i <= ALL_NEIGHBOURS; i++)
    {
      if (i < CLASSES_MAX && (sample->neighbours >> i & 1) == 0)
        continue;
      add_to_sum (interference, related_key (all_key, i, false), value, now_ms);
      add_to_sum (interference, related_key (all_key, i, true), value, now_ms);
    }
}

/* --- comparison --- */

/* Compares the samples of @beside with the others among those of @all.
 * @return false if there are too few. */
static bool
compare_sums (const struct sum *beside, const struct sum *all, double *weight, double *value)
{
  double other_weight = (double)all->weight - (double)beside->weight;

  if (beside->weight <= 0 || other_weight < TARGET_WEIGHT_MIN)
    return false;
  *weight = (double)beside->weight * other_weight / (double)all->weight;
  *value = (double)(beside->value / beside->weight)
           - ((double)all->value - (double)beside->value) / other_weight;
  return true;
}

/* Compares the samples of @beside, of one target, with those without the neighbour on the same
 * target and on targets of its kind. Where both can be compared, the smaller difference counts: a
 * target on which tasks become slower anyway fails the first, and what slows all targets at once
 * the second. */
static bool
compare_on_target (const struct fl_interference *interference,
                   const struct sum *beside,
                   int64_t now_ms,
                   struct difference *difference)
{
  int neighbour = neighbour_of_key (beside->key);
  struct sum all
      = read_sum (interference, related_key (beside->key, ALL_NEIGHBOURS, false), now_ms);
  struct sum kind_all
      = read_sum (interference, related_key (beside->key, ALL_NEIGHBOURS, true), now_ms);
  struct sum kind_beside
      = read_sum (interference, related_key (beside->key, neighbour, true), now_ms);
  /* The samples of this target beside those of its kind without the neighbour. */
  struct sum kind = { .weight = kind_all.weight - kind_beside.weight + beside->weight,
                      .value = kind_all.value - kind_beside.value + beside->value };
  double target_weight = 0;
  double target_value = 0;
  double kind_weight = 0;
  double kind_value = 0;
  bool by_target = compare_sums (beside, &all, &target_weight, &target_value);
  bool by_kind = compare_sums (beside, &kind, &kind_weight, &kind_value);

  if (!by_target && !by_kind)
    return false;
  difference->weight = by_target && by_kind ? MIN (target_weight, kind_weight)
                                            : (by_target ? target_weight : kind_weight);
  difference->value = by_target && by_kind ? MIN (target_value, kind_value)
                                           : (by_target ? target_value : kind_value);
  return true;
}

static void
collect_differences (struct fl_interference *interference, int64_t now_ms)
{
  g_array_set_size (interference->differences, 0);
  for (size_t i = 0; i < SUMS_MAX; i++)
    {
      const struct sum *sum = &interference->sums[i];
      if (sum->key == 0 || target_of_key (sum->key) == 0
          || neighbour_of_key (sum->key) == ALL_NEIGHBOURS
          || victim_of_key (sum->key) % UPDATE_SHARES != interference->share)
        continue;
      struct sum beside = read_sum (interference, sum->key, now_ms);
      struct difference difference
          = { .pair = victim_of_key (sum->key) * CLASSES_MAX + neighbour_of_key (sum->key),
              .target = target_of_key (sum->key),
              .samples = (double)beside.weight,
              .beside_ms = sum->updated_ms };
      if ((double)beside.weight >= TARGET_WEIGHT_MIN
          && compare_on_target (interference, &beside, now_ms, &difference))
        g_array_append_val (interference->differences, difference);
    }
}

static gint
compare_differences (const void *a, const void *b)
{
  const struct difference *x = a;
  const struct difference *y = b;

  if (x->pair != y->pair)
    return x->pair < y->pair ? -1 : 1;
  return x->target < y->target ? -1 : x->target > y->target;
}

/* Merges the differences of each target at several loads, and drops those of little weight. */
static void
merge_by_target (GArray *differences)
{
  guint merged = 0;

  g_array_sort (differences, compare_differences);
  for (guint i = 0; i < differences->len; i++)
    {
      struct difference *next = &g_array_index (differences, struct difference, i);
      struct difference *last
          = merged > 0 ? &g_array_index (differences, struct difference, merged - 1) : NULL;
      if (last == NULL || compare_differences (last, next) != 0)
        {
          if (last != NULL && last->weight < TARGET_WEIGHT_MIN)
            merged--;
          g_array_index (differences, struct difference, merged++) = *next;
          continue;
        }
      double weight = last->weight + next->weight;
      last->value = (last->value * last->weight + next->value * next->weight) / weight;
      last->weight = weight;
      last->samples += next->samples;
      last->beside_ms = MAX (last->beside_ms, next->beside_ms);
    }
  if (merged > 0
      && g_array_index (differences, struct difference, merged - 1).weight < TARGET_WEIGHT_MIN)
    merged--;
  g_array_set_size (differences, merged);
}

static gint
compare_values (const void *a, const void *b)
{
  double x = ((const struct difference *)a)->value;
  double y = ((const struct difference *)b)->value;

  return x < y ? -1 : x > y;
}

/* The differences of one pair, taken together. */
struct estimate
{
  int64_t targets;
  double weight;
  double mean;
  double error; /* standard error of the mean */
  double median;
  double samples;
  int64_t beside_ms;
};

/* @rows: at least one; they are reordered. @variance: of single samples. */
static struct estimate
make_estimate (struct difference *rows, guint count, double variance)
{
  struct estimate estimate = { .targets = count };
  double spread = 0;

  for (guint i = 0; i < count; i++)
    {
      estimate.weight += rows[i].weight;
      estimate.mean += rows[i].weight * rows[i].value;
      estimate.samples += rows[i].samples;
      estimate.beside_ms = MAX (estimate.beside_ms, rows[i].beside_ms);
    }
  estimate.mean /= estimate.weight;
  for (guint i = 0; i < count; i++)
    spread += rows[i].weight * (rows[i].value - estimate.mean) * (rows[i].value - estimate.mean);
  spread = count > 1 ? spread / estimate.weight / (count - 1) : 0;
  estimate.error = sqrt (MAX (spread, variance / estimate.weight));
  qsort (rows, count, sizeof rows[0], compare_values);
  estimate.median = rows[(count - 1) / 2].value;
  return estimate;
}

/* --- known pairs --- */

static struct fl_interference_pair
describe_pair (const struct fl_interference *interference, int victim, int neighbour)
{
  const struct pair_entry *entry = &interference->pairs[victim][neighbour];

  return (struct fl_interference_pair){
    .victim_queue = interference->classes[victim].queue,
    .victim_image = interference->classes[victim].image,
    .neighbour_queue = interference->classes[neighbour].queue,
    .neighbour_image = interference->classes[neighbour].image,
    .slowdown_percent = (int64_t)lround (expm1 (entry->log_slowdown) * 100),
    .targets = entry->targets,
    .samples = (int64_t)lround (entry->samples),
  };
}

static void
apply_estimate (struct pair_entry *entry, const struct estimate *estimate, int64_t now_ms)
{
  bool is_convincing = estimate->targets >= TARGETS_MIN && estimate->median >= LEARN_LOG
                       && estimate->mean >= LEARN_LOG
                       && estimate->mean - LEARN_ERRORS * estimate->error > FORGET_LOG;

  entry->beside_ms = MAX (entry->beside_ms, estimate->beside_ms);
  if (estimate->weight < PAIR_WEIGHT_MIN || (!entry->is_known && !is_convincing))
    return;
  entry->is_known = estimate->mean >= FORGET_LOG;
  entry->log_slowdown = estimate->mean;
  entry->targets = estimate->targets;
  entry->samples = estimate->samples;
  entry->examined_ms = now_ms;
}

static void
apply_estimates (struct fl_interference *interference, int64_t now_ms)
{
  GArray *differences = interference->differences;
  guint end;

  for (guint first = 0; first < differences->len; first = end)
    {
      struct difference *rows = &g_array_index (differences, struct difference, first);
      int victim = rows[0].pair / CLASSES_MAX;
      for (end = first; end < differences->len && rows[end - first].pair == rows[0].pair; end++)
        ;
      struct pair_entry *entry = &interference->pairs[victim][rows[0].pair % CLASSES_MAX];
      struct estimate estimate
          = make_estimate (rows, end - first, interference->classes[victim].variance);
      apply_estimate (entry, &estimate, now_ms);
    }
}

static bool
is_faded (const struct pair_entry *entry, int64_t now_ms)
{
  return entry->is_known
         && (now_ms - entry->examined_ms > RETRY_MS || now_ms - entry->beside_ms > RETRY_MS);
}

void
fl_interference_update (struct fl_interference *interference,
                        int64_t now_ms,
                        void (*changed) (void *context,
                                         const struct fl_interference_pair *pair,
                                         enum fl_interference_change change),
                        void *context)
{
  uint32_t known_before[CLASSES_MAX] = { 0 };

  if (interference->sums == NULL || now_ms - interference->updated_ms < UPDATE_INTERVAL_MS)
    return;
  interference->updated_ms = now_ms;
  for (int i = 0; i < CLASSES_MAX * CLASSES_MAX; i++)
    known_before[i / CLASSES_MAX]
        |= (uint32_t)interference->pairs[i / CLASSES_MAX][i % CLASSES_MAX].is_known
           << i % CLASSES_MAX;
  collect_differences (interference, now_ms);
  interference->share = (interference->share + 1) % UPDATE_SHARES;
  merge_by_target (interference->differences);
  apply_estimates (interference, now_ms);
  for (int i = 0; i < CLASSES_MAX * CLASSES_MAX; i++)
    {
      int victim = i / CLASSES_MAX;
      int neighbour = i % CLASSES_MAX;
      struct pair_entry *entry = &interference->pairs[victim][neighbour];
      bool was_known = known_before[victim] >> neighbour & 1;
      bool has_faded = is_faded (entry, now_ms);
      if (has_faded)
        {
          entry->is_known = false;
          drop_sums (interference, victim, neighbour);
        }
      if (entry->is_known == was_known)
        continue;
      struct fl_interference_pair pair = describe_pair (interference, victim, neighbour);
      interference->known_pairs += entry->is_known ? 1 : -1;
      changed (context, &pair,
               entry->is_known ? FL_INTERFERENCE_LEARNT
                               : (has_faded ? FL_INTERFERENCE_FADED : FL_INTERFERENCE_REFUTED));
    }
}

/* --- queries --- */

double
fl_interference_slowdown (const struct fl_interference *interference,
                          struct fl_interference_class victim,
                          struct fl_interference_class neighbour)
{
  if (interference->known_pairs == 0 || !fl_interference_class_is_valid (interference, victim)
      || !fl_interference_class_is_valid (interference, neighbour))
    return 0;
  const struct pair_entry *entry = &interference->pairs[victim.place][neighbour.place];
  return entry->is_known ? expm1 (entry->log_slowdown) : 0;
}

int64_t
fl_interference_pair_count (const struct fl_interference *interference)
{
  return interference->known_pairs;
}

void
fl_interference_visit_pairs (const struct fl_interference *interference,
                             void (*visit) (void *context, const struct fl_interference_pair *pair),
                             void *context)
{
  for (int i = 0; i < CLASSES_MAX * CLASSES_MAX; i++)
    if (interference->pairs[i / CLASSES_MAX][i % CLASSES_MAX].is_known)
      {
        struct fl_interference_pair pair
            = describe_pair (interference, i / CLASSES_MAX, i % CLASSES_MAX);
        visit (context, &pair);
      }
}
