/* Jobs whose queue the configuration in force does not have, under an owner that has never known
 * it. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "support_core.h"

#define QUEUE "renamed"

static struct fl_queue
make_queue (const char *service, bool advice_required)
{
  struct fl_queue queue = { .name = fl_name_of (QUEUE),
                            .service = fl_name_of (service),
                            .priority = 2,
                            .attempts_max = 3,
                            .latency_objective_ms = 1500,
                            .stretch = 1.375 };

  if (advice_required)
    queue.advice = (struct fl_advice_policy){ true, 20, 0.25, 2500 };
  return queue;
}

/* Passes @spec through the row of its job to @fixture. */
static void
add_job_row (struct fixture *fixture, struct fl_job_spec *spec)
{
  struct fl_str row = fl_record_encode (&fl_job_spec_schema, spec);
  struct fl_job_spec decoded;
  struct fl_error error = { 0 };

  if (!fl_job_spec_decode_row (&spec->id, row.data, row.len, &decoded, &error))
    fail_msg ("%s", error.text);
  fl_core_add_job (fixture->core, &decoded, 1, NULL);
  fl_str_clear (&row);
}

/* Adds a job of QUEUE with one task, which @queue admitted if it is not NULL. */
static void
add_admitted_job (struct fixture *fixture, const struct fl_queue *queue)
{
  struct fl_step_spec step = { .count = 1, .cpu_milli = 1000, .disruptions_max = -1 };
  struct fl_job_spec spec = { .id = fl_name_of ("00000000000000a1"),
                              .queue = fl_name_of (QUEUE),
                              .team = fl_name_of ("w"),
                              .accepted_ms = fixture->now_ms,
                              .steps = { 1, &step } };

  if (queue != NULL)
    fl_job_spec_set_queue (&spec, queue);
  add_job_row (fixture, &spec);
}

static void
configure_queue (struct fixture *fixture, const struct fl_queue *queue)
{
  struct fl_configuration *configuration = fl_configuration_new (2);
  struct fl_service service = { .name = fl_name_of ("s") };
  struct fl_team team = { fl_name_of ("w"), 1, { 0, 0, 0 } };

  fl_configuration_add_service (configuration, &service);
  fl_configuration_add_team (configuration, &team);
  fl_configuration_add_queue (configuration, queue);
  fl_core_configure (fixture->core, configuration);
  fl_configuration_unref (configuration);
}

/* A route is renamed, and the owner of the pool changes: jobs that the old name admitted were never
 * started again. */
static void
test_new_owner_serves_jobs_of_removed_queue (void **state)
{
  static const struct
  {
    const char *name;
    const char
        *service; /* of the queue that admitted the job; NULL in a row of an earlier version */
    bool advice_required;
    guint starts;
    int queries;
  } cases[] = {
    { "served as admitted", "s", false, 1, 0 },
    { "advice as admitted", "s", true, 0, 1 },
    { "service without targets", "other", false, 0, 0 },
    { "row of an earlier version", NULL, false, 0, 0 },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fixture *fixture = fixture_new (0);
      const char *service = cases[i].service != NULL ? cases[i].service : "s";
      struct fl_queue queue = make_queue (service, cases[i].advice_required);
      add_target (fixture, "t1", 4, false);
      add_admitted_job (fixture, cases[i].service != NULL ? &queue : NULL);
      tick_until_recorded (fixture, 100);
      if (fixture->start_orders->len != cases[i].starts || fixture->query_count != cases[i].queries)
        fail_msg ("%s: %u starts, %d queries", cases[i].name, fixture->start_orders->len,
                  fixture->query_count);
      fixture_free (fixture);
    }
}

/* A row of an earlier version does not tell the service: its job waits for a configuration that
 * does. */
static void
test_configuration_in_force_comes_first (void **state)
{
  static const struct
  {
    const char *name;
    const char *admitted; /* service as of the row, or NULL */
    const char *in_force;
    guint starts;
  } cases[] = {
    { "row of an earlier version", NULL, "s", 1 },
    { "another service since", "other", "s", 1 },
    { "another service before", "s", "other", 0 },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fixture *fixture = fixture_new (0);
      struct fl_queue in_force = make_queue (cases[i].in_force, false);
      struct fl_queue admitted
          = make_queue (cases[i].admitted != NULL ? cases[i].admitted : cases[i].in_force, false);
      add_target (fixture, "t1", 4, false);
      add_admitted_job (fixture, cases[i].admitted != NULL ? &admitted : NULL);
      configure_queue (fixture, &in_force);
      tick_until_recorded (fixture, 100);
      if (fixture->start_orders->len != cases[i].starts)
        fail_msg ("%s: %u starts", cases[i].name, fixture->start_orders->len);
      fixture_free (fixture);
    }
}

static void
test_row_tells_queue (void **state)
{
  struct fl_queue queue = make_queue ("s", true);
  struct fl_queue decoded;
  struct fl_job_spec spec = { .id = fl_name_of ("00000000000000a1") };

  (void)state;
  assert_false (fl_job_spec_get_queue (&spec, &decoded));
  fl_job_spec_set_queue (&spec, &queue);
  assert_true (fl_job_spec_get_queue (&spec, &decoded));
  assert_memory_equal (&decoded, &queue, sizeof queue);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_new_owner_serves_jobs_of_removed_queue),
    cmocka_unit_test (test_configuration_in_force_comes_first),
    cmocka_unit_test (test_row_tells_queue),
  };

  return cmocka_run_group_tests_name ("removed_queue", tests, NULL, NULL);
}
