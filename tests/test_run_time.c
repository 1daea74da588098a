/* Run times learnt from the runs that ended: what decisions assume before and after. */
#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "policy/run_time.h"

static const struct fl_name no_image = { 0 };

static struct fl_run_time_class *
get_class (struct fl_run_times *times, const char *queue)
{
  struct fl_name name = fl_name_of (queue);

  return fl_run_times_get_class (times, &name, &no_image);
}

/* Adds @count runs about @median_ms, every other one longer or shorter by @factor. */
static void
add_runs (struct fl_run_time_class *run_class,
          const char *kind,
          int count,
          int64_t declared_ms,
          double median_ms,
          double factor)
{
  struct fl_name name = fl_name_of (kind);

  for (int i = 0; i < count; i++)
    fl_run_time_add (run_class, &name, declared_ms,
                     (int64_t)(i % 2 == 0 ? median_ms * factor : median_ms / factor));
}

static void
test_declared_estimate_is_the_prior (void **state)
{
  static const struct
  {
    const char *name;
    int64_t declared_ms;
    int runs;
    double median_ms;
    bool is_learnt;
  } cases[] = {
    { "nothing known", 0, 0, 0, false },
    { "declared only", 700, 0, 700, false },
    { "a first run", 0, 1, 500, false },
    { "learnt", 0, 40, 500, true },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fl_run_times *times = fl_run_times_new ();
      struct fl_run_time_class *run_class = get_class (times, "q");
      add_runs (run_class, "a", cases[i].runs, 0, 500, 1.0);
      struct fl_run_time estimate = fl_run_time_get (run_class, NULL, cases[i].declared_ms);
      if (fabs (estimate.median_ms - cases[i].median_ms) > 1.0
          || estimate.is_learnt != cases[i].is_learnt)
        fail_msg ("%s: %.0f ms, learnt %d", cases[i].name, estimate.median_ms, estimate.is_learnt);
      fl_run_times_free (times);
    }
}

/* Declared estimates are scaled where run times keep to them, and ignored where they do not. */
static void
test_declared_estimate_is_used_if_it_tells_more (void **state)
{
  static const struct
  {
    const char *name;
    bool is_informative;
    double median_ms; /* for a task with a declared 2,000 ms */
  } cases[] = { { "informative", true, 3000 }, { "arbitrary", false, 600 } };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fl_run_times *times = fl_run_times_new ();
      struct fl_run_time_class *run_class = get_class (times, "q");
      struct fl_name kind = fl_name_of ("a");
      for (int j = 0; j < 200; j++)
        {
          int64_t declared_ms = 100 << (j % 5);
          fl_run_time_add (run_class, &kind, declared_ms,
                           cases[i].is_informative ? declared_ms * 3 / 2 : 590 + j % 3 * 10);
        }
      double median_ms = fl_run_time_get (run_class, NULL, 2000).median_ms;
      if (fabs (median_ms - cases[i].median_ms) > cases[i].median_ms * 0.05)
        fail_msg ("%s: %.0f ms", cases[i].name, median_ms);
      fl_run_times_free (times);
    }
}

static void
test_kinds_of_targets_are_told_apart (void **state)
{
  struct fl_run_times *times = fl_run_times_new ();
  struct fl_run_time_class *run_class = get_class (times, "q");
  struct fl_name fast = fl_name_of ("fast");
  struct fl_name slow = fl_name_of ("slow");
  struct fl_name other = fl_name_of ("other");

  (void)state;
  for (int i = 0; i < 50; i++)
    {
      add_runs (run_class, "fast", 1, 0, 400, 1.0);
      add_runs (run_class, "slow", 1, 0, 900, 1.0);
    }
  assert_true (fabs (fl_run_time_get (run_class, &fast, 0).median_ms - 400) < 1);
  assert_true (fabs (fl_run_time_get (run_class, &slow, 0).median_ms - 900) < 1);
  assert_true (fabs (fl_run_time_get (run_class, &other, 0).median_ms - 600) < 30);
  assert_ptr_equal (run_class, get_class (times, "q"));
  assert_ptr_not_equal (run_class, get_class (times, "p"));
  fl_run_times_free (times);
}

/* The expected maximum of normal variables, from tables, within a tenth of a deviation; the
 * approximation is looser for two. */
static void
test_longest_of_many (void **state)
{
  static const struct
  {
    int64_t count;
    double maximum;
    double tolerance;
  } cases[] = { { 1, 0.0, 0.001 },
                { 2, 0.564, 0.2 },
                { 10, 1.539, 0.1 },
                { 20, 1.867, 0.1 },
                { 100, 2.508, 0.1 } };
  struct fl_run_time run_time = { 1000, 1.0, true };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      double maximum = log (fl_run_time_longest_ms (&run_time, cases[i].count) / 1000);
      if (fabs (maximum - cases[i].maximum) > cases[i].tolerance)
        fail_msg ("%d: %.3f", (int)cases[i].count, maximum);
    }
}

/* Clients choose the names of images, so that their number is bounded. */
static void
test_number_of_classes_is_bounded (void **state)
{
  struct fl_run_times *times = fl_run_times_new ();
  struct fl_name queue = fl_name_of ("q");
  g_autoptr (GHashTable) classes = g_hash_table_new (NULL, NULL);

  (void)state;
  for (int i = 0; i < 2000; i++)
    {
      struct fl_name image = fl_name_format ("image-%d", i);
      g_hash_table_add (classes, fl_run_times_get_class (times, &queue, &image));
    }
  assert_in_range (g_hash_table_size (classes), 1, 256);
  fl_run_times_free (times);
}

static void
test_follows_a_change (void **state)
{
  struct fl_run_times *times = fl_run_times_new ();
  struct fl_run_time_class *run_class = get_class (times, "q");

  (void)state;
  add_runs (run_class, "a", 500, 0, 500, 1.2);
  add_runs (run_class, "a", 150, 0, 2000, 1.2);
  assert_true (fl_run_time_get (run_class, NULL, 0).median_ms > 1700);
  fl_run_times_free (times);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_declared_estimate_is_the_prior),
    cmocka_unit_test (test_declared_estimate_is_used_if_it_tells_more),
    cmocka_unit_test (test_kinds_of_targets_are_told_apart),
    cmocka_unit_test (test_longest_of_many),
    cmocka_unit_test (test_number_of_classes_is_bounded),
    cmocka_unit_test (test_follows_a_change),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
