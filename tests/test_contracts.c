/* Contract tests of the libraries, as tables of cases. */
#include <inttypes.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>
#include <sodium.h>

#include "common/stats.h"
#include "key/key.h"
#include "message/message.h"
#include "node/settings.h"
#include "target/pool.h"
#include "ticket/ticket.h"

/* --- settings --- */

#define GOOD                                                                                       \
  "\"name\":\"e1\",\"domain\":\"d\",\"region\":\"r\",\"http_address\":\"127.0.0.1\","              \
  "\"platform_url\":\"http://127.0.0.1:1\""

static const struct
{
  const char *json;
  const char *problem; /* part of the list; NULL when the settings are good */
} settings_cases[] = {
  { "{" GOOD "}", NULL },
  { "{" GOOD ",\"renew_ms\":100}", NULL },
  { "", "settings:" },
  { "[]", "must be an object" },
  { "{\"name\":\"e1\"}", "settings.domain: is missing" },
  { "{\"name\":\"e1\"}", "settings.platform_url: is missing" },
  { "{" GOOD ",\"colour\":1}", "settings.colour: is not a known name" },
  { "{" GOOD ",\"http_port\":70000}", "settings.http_port: is 70000; allowed is 0 to 65535" },
  { "{" GOOD ",\"http_port\":\"80\"}", "settings.http_port: must be a whole number" },
  { "{" GOOD ",\"http_port\":1.5}", "settings.http_port: must be a whole number" },
  { "{" GOOD ",\"log_level\":\"loud\"}", "must be one of: err, warning, notice, info, debug" },
  { "{" GOOD ",\"renew_ms\":2000}", "must be below lease_ms" },
  { "{" GOOD ",\"poll_wait_ms\":40000}", "must be below task_lease_ms" },
  { "{" GOOD ",\"seeds\":[{\"adress\":\"x\"}]}", "settings.seeds[0].adress" },
  { "{" GOOD ",\"link\":\"udp://x\"}", "must start with tcp://" },
  { "{" GOOD ",\"name\":\"e1\"}", "duplicate" },
  { "{" GOOD "} x", "settings:" },
};

static void
test_settings (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (settings_cases); i++)
    {
      struct fl_settings settings;
      struct fl_problems problems = { 0 };
      const char *json = settings_cases[i].json;
      bool ok = fl_settings_parse (json, strlen (json), &settings, &problems);
      if (ok != (settings_cases[i].problem == NULL)
          || (!ok && strstr (problems.text.data, settings_cases[i].problem) == NULL))
        fail_msg ("case %zu: %s", i, fl_str_text (&problems.text));
      fl_settings_clear (&settings);
      fl_problems_clear (&problems);
    }
}

/* --- tickets --- */

#define HEX64 "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

static const struct
{
  const char *json;
  const char *problem;
} ticket_cases[] = {
  { "{\"number\":1,\"teams\":[{\"name\":\"a\",\"share\":1,\"limit\":5}]}", NULL },
  { "{\"number\":1,\"queues\":[{\"name\":\"q\",\"team\":\"known\"}]}", NULL },
  { "{\"number\":1,\"keys\":[{\"name\":\"k\",\"team\":\"known\",\"digest\":\"" HEX64 "\"}]}",
    NULL },
  { "{\"number\":1", "ticket:" },
  { "{\"number\":0}", "ticket.number: is 0" },
  { "{\"number\":99999999999999999999}", "ticket:" },
  { "{\"teams\":[]}", "ticket.number: is missing" },
  { "{\"number\":1,\"teams\":[{\"name\":\"a\",\"share\":0,\"limit\":5}]}",
    "ticket.teams[0].share: is 0" },
  { "{\"number\":1,\"teams\":[{\"name\":\"a/b\",\"share\":1,\"limit\":5}]}",
    "ticket.teams[0].name: may hold letters" },
  { "{\"number\":1,\"teams\":[{\"name\":\"a\",\"share\":1,\"limit\":5},"
    "{\"name\":\"a\",\"share\":1,\"limit\":5}]}",
    "ticket.teams[1].name: stands twice" },
  { "{\"number\":1,\"queues\":[{\"name\":\"q\",\"team\":\"nobody\"}]}",
    "ticket.queues[0].team: names no team: \"nobody\"" },
  { "{\"number\":1,\"queues\":[{\"name\":\"q\",\"team\":\"known\",\"kind\":\"service\"}]}",
    "no queue takes services" },
  { "{\"number\":1,\"keys\":[{\"name\":\"k\",\"team\":\"known\",\"digest\":\"xyz\"}]}",
    "ticket.keys[0].digest: has 3 bytes" },
  { "{\"number\":1,\"keys\":[{\"name\":\"k.l\",\"team\":\"known\",\"digest\":\"" HEX64 "\"}]}",
    "holds no dot" },
  { "{\"number\":1,\"teams\":[{\"name\":\"\xff\",\"share\":1,\"limit\":5}]}", "ticket:" },
  { "{\"number\":1,\"removals\":[{\"kind\":\"team\",\"name\":\"known\"}],"
    "\"queues\":[{\"name\":\"q\",\"team\":\"known\"}]}",
    "names no team" },
};

static struct fl_config *
config_with (const char *json)
{
  struct fl_config *config = fl_config_new ();
  struct fl_ticket ticket;
  struct fl_problems problems = { 0 };

  assert_true (fl_ticket_read (json, strlen (json), &ticket, &problems));
  fl_config_apply (config, &ticket);
  fl_ticket_clear (&ticket);
  return config;
}

static void
test_tickets (void **state)
{
  struct fl_config *config
      = config_with ("{\"number\":1,\"teams\":[{\"name\":\"known\",\"share\":1,\"limit\":5}]}");

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (ticket_cases); i++)
    {
      struct fl_ticket ticket;
      struct fl_problems problems = { 0 };
      const char *json = ticket_cases[i].json;
      bool ok = fl_ticket_read (json, strlen (json), &ticket, &problems)
                && fl_config_check (config, &ticket, &problems);
      if (ok != (ticket_cases[i].problem == NULL)
          || (!ok && strstr (problems.text.data, ticket_cases[i].problem) == NULL))
        fail_msg ("case %zu: %s", i, fl_str_text (&problems.text));
      fl_ticket_clear (&ticket);
      fl_problems_clear (&problems);
    }
  fl_config_free (config);
}

/* Each case applies the numbers in order; the share that stands at the end is the highest's. */
static const struct
{
  int64_t numbers[4];
  int64_t stands;
} order_cases[] = {
  { { 1, 2, 3, 4 }, 4 }, { { 4, 3, 2, 1 }, 4 }, { { 2, 4, 1, 3 }, 4 },
  { { 3, 3, 3, 1 }, 3 }, { { 1, 4, 4, 2 }, 4 },
};

static void
apply_share (struct fl_config *config, int64_t number)
{
  g_autofree char *json = g_strdup_printf (
      "{\"number\":%" PRId64 ",\"teams\":[{\"name\":\"a\",\"share\":%" PRId64 ",\"limit\":1}]}",
      number, number);
  struct fl_ticket ticket;
  struct fl_problems problems = { 0 };

  assert_true (fl_ticket_read (json, strlen (json), &ticket, &problems));
  fl_config_apply (config, &ticket);
  fl_ticket_clear (&ticket);
}

static void
test_tickets_never_revert (void **state)
{
  struct fl_name a = fl_name_of ("a");

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (order_cases); i++)
    {
      struct fl_config *config = fl_config_new ();
      for (int j = 0; j < 4; j++)
        apply_share (config, order_cases[i].numbers[j]);
      assert_int_equal (fl_config_team (config, &a)->share, order_cases[i].stands);
      fl_config_free (config);
    }
}

/* What a peer hands on leads an empty configuration to the same objects. */
static void
test_tickets_handed_on (void **state)
{
  struct fl_config *from = fl_config_new ();
  struct fl_config *to = fl_config_new ();
  struct fl_name a = fl_name_of ("a");
  size_t i;
  json_t *one;

  (void)state;
  apply_share (from, 1);
  apply_share (from, 7);
  fl_config_raise_head (from, 7);
  json_t *tickets = fl_config_since (from, 0);
  json_array_foreach (tickets, i, one)
  {
    struct fl_str text = fl_json_text (one);
    struct fl_ticket ticket;
    struct fl_problems problems = { 0 };
    assert_true (fl_ticket_read (text.data, text.len, &ticket, &problems));
    fl_config_apply (to, &ticket);
    fl_ticket_clear (&ticket);
    fl_str_clear (&text);
  }
  assert_int_equal (json_array_size (tickets), 1);
  assert_int_equal (fl_config_team (to, &a)->share, 7);
  assert_int_equal (fl_config_head (to), 0); /* the head moves only by fl_config_raise_head */
  json_decref (tickets);
  fl_config_free (from);
  fl_config_free (to);
}

/* --- keys --- */

static void
test_keys (void **state)
{
  struct fl_name name = fl_name_of ("k1");
  struct fl_name key = fl_key_generate (&name);
  struct fl_name other = fl_key_generate (&name);
  struct fl_name digest = fl_key_digest (key.data, key.len);
  struct fl_name boot = fl_name_of ("boot.secret");
  struct fl_name boot_digest = fl_key_digest (boot.data, boot.len);
  g_autofree char *json
      = g_strdup_printf ("{\"number\":1,\"teams\":[{\"name\":\"a\",\"share\":1,\"limit\":1}],"
                         "\"keys\":[{\"name\":\"k1\",\"team\":\"a\",\"digest\":\"%s\"},"
                         "{\"name\":\"k2\",\"team\":\"a\",\"digest\":\"%s\",\"withdrawn\":true}]}",
                         digest.data, digest.data);
  struct fl_config *config = config_with (json);
  g_autofree char *good = g_strdup_printf ("Bearer %s", key.data);
  g_autofree char *wrong = g_strdup_printf ("Bearer %s", other.data);
  g_autofree char *withdrawn = g_strdup_printf ("Bearer k2%s", key.data + 2);
  g_autofree char *bootstrap = g_strdup_printf ("Bearer %s", boot.data);
  const struct
  {
    const char *header;
    bool accepted;
  } cases[] = {
    { good, true },       { wrong, false },        { withdrawn, false }, { bootstrap, true },
    { NULL, false },      { "", false },           { "Bearer ", false }, { "Bearer k1", false },
    { "Basic x", false }, { "Bearer k1.", false },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fl_key out;
      struct fl_error error = { 0 };
      bool ok = fl_key_authenticate (config, &boot_digest, cases[i].header, &out, &error);
      if (ok != cases[i].accepted)
        fail_msg ("case %zu", i);
      assert_int_equal (error.code, ok ? FL_OK : FL_DENIED);
    }
  fl_config_free (config);
}

/* --- pool --- */

static unsigned int
no_tasks (const void *task)
{
  (void)task;
  return 0;
}

static struct fl_target *
add_target (struct fl_pool *pool, const char *name, int64_t cores, int64_t slots)
{
  struct fl_name target = fl_name_of (name);
  struct fl_name label = fl_name_of ("l");
  struct fl_resources capacity = { { cores * 1000, cores * 1000, 0, slots } };
  struct fl_target *t = fl_pool_add (pool, &target, &label, &capacity);

  fl_pool_set_state (pool, t, FL_TARGET_READY);
  return t;
}

static void
test_pool_never_overfills (void **state)
{
  struct fl_pool *pool = fl_pool_new (no_tasks);
  struct fl_resources demand = { { 1500, 700, 0, 0 } };
  struct fl_target *target;
  int placed = 0;

  (void)state;
  for (int i = 0; i < 10; i++)
    {
      g_autofree char *name = g_strdup_printf ("t%d", i);
      add_target (pool, name, 4, 2);
    }
  while ((target = fl_pool_pick (pool, &demand)) != NULL)
    {
      assert_true (fl_pool_reserve (pool, target, &demand));
      assert_true (fl_resources_fit (&target->used, &target->capacity));
      placed++;
    }
  assert_int_equal (placed, 20); /* two of 1.5 cores on each of 4 */
  fl_pool_free (pool);
}

static void
test_pool_unreserve_raises_no_generation (void **state)
{
  struct fl_pool *pool = fl_pool_new (no_tasks);
  struct fl_target *target = add_target (pool, "t", 4, 2);
  struct fl_resources demand = { { 1000, 100, 0, 0 } };
  uint64_t before = fl_pool_generation (pool);

  (void)state;
  assert_true (fl_pool_reserve (pool, target, &demand));
  fl_pool_unreserve (pool, target, &demand);
  assert_int_equal (fl_pool_generation (pool), before);
  assert_true (fl_pool_reserve (pool, target, &demand));
  fl_pool_release (pool, target, &demand);
  assert_int_not_equal (fl_pool_generation (pool), before);
  fl_pool_free (pool);
}

static const struct
{
  enum fl_target_state state;
  bool takes;
} state_cases[] = {
  { FL_TARGET_UNKNOWN, false }, { FL_TARGET_READY, true },        { FL_TARGET_LEAVING, false },
  { FL_TARGET_SILENT, false },  { FL_TARGET_QUARANTINED, false },
};

static void
test_pool_states (void **state)
{
  static const struct fl_name any = { 0 };
  struct fl_resources demand = { { 1000, 100, 0, 0 } };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (state_cases); i++)
    {
      struct fl_pool *pool = fl_pool_new (no_tasks);
      struct fl_target *target = add_target (pool, "t", 4, 2);
      fl_pool_set_state (pool, target, state_cases[i].state);
      assert_int_equal (fl_pool_pick (pool, &demand) != NULL, state_cases[i].takes);
      assert_int_equal (fl_pool_pick_slot (pool, &any, NULL) != NULL, state_cases[i].takes);
      fl_pool_free (pool);
    }
}

/* --- messages --- */

static void
test_message_round_trip (void **state)
{
  struct fl_usage_item items[2] = { { .team = fl_name_of ("a"), .cost = -1, .running = 3 },
                                    { .team = fl_name_of ("b"), .stuck = true } };
  struct fl_status status = { .instance = fl_name_of ("i"),
                              .config_head = INT64_MAX,
                              .usage_version = 5,
                              .usage = { 2, items } };
  struct fl_error error = { 0 };
  enum fl_message_type type;
  union fl_message out;
  msgpack_sbuffer buffer;

  (void)state;
  fl_message_pack (FL_MSG_STATUS, &status, &buffer);
  assert_true (fl_message_unpack (buffer.data, buffer.size, &type, &out, &error));
  assert_int_equal (type, FL_MSG_STATUS);
  assert_int_equal (out.status.config_head, INT64_MAX);
  assert_int_equal (out.status.usage.count, 2);
  assert_int_equal (((struct fl_usage_item *)out.status.usage.items)[0].cost, -1);
  assert_true (((struct fl_usage_item *)out.status.usage.items)[1].stuck);
  fl_message_clear (type, &out);
  msgpack_sbuffer_destroy (&buffer);
}

/* Every cut and many flips of a good message are refused or read as something whole, never worse.
 */
static void
test_message_damage (void **state)
{
  struct fl_request_message request
      = { .entry = fl_name_of ("e"), .id = 5, .spec = { .payload = { 3, (char *)"abc" } } };
  GRand *random = g_rand_new_with_seed (5);
  msgpack_sbuffer buffer;
  int refused = 0;

  (void)state;
  fl_message_pack (FL_MSG_REQUEST, &request, &buffer);
  for (int i = 0; i < 20000; i++)
    {
      g_autofree char *copy = g_memdup2 (buffer.data, buffer.size);
      size_t len = (size_t)g_rand_int_range (random, 0, (gint32)buffer.size + 1);
      struct fl_error error = { 0 };
      enum fl_message_type type;
      union fl_message out;
      for (int flips = g_rand_int_range (random, 0, 4); flips > 0; flips--)
        copy[g_rand_int_range (random, 0, (gint32)buffer.size)]
            = (char)g_rand_int_range (random, 0, 256);
      if (fl_message_unpack (copy, len, &type, &out, &error))
        fl_message_clear (type, &out);
      else
        {
          refused++;
          assert_int_equal (error.code, FL_INVALID);
        }
    }
  assert_true (refused > 10000);
  msgpack_sbuffer_destroy (&buffer);
  g_rand_free (random);
}

/* --- histograms --- */

static void
test_histogram_error (void **state)
{
  struct fl_histogram *h = g_new0 (struct fl_histogram, 1);

  (void)state;
  for (int64_t value = 1; value < (1LL << 40); value = value * 5 / 4 + 1)
    {
      memset (h, 0, sizeof *h);
      fl_histogram_record (h, value);
      fl_histogram_record (h, INT64_MAX / 4); /* so that the maximum does not cap the answer */
      int64_t told = fl_histogram_quantile (h, 0.0);
      assert_true (told >= value && (double)(told - value) <= (double)value / 16.0);
    }
  g_free (h);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_settings),
    cmocka_unit_test (test_tickets),
    cmocka_unit_test (test_tickets_never_revert),
    cmocka_unit_test (test_tickets_handed_on),
    cmocka_unit_test (test_keys),
    cmocka_unit_test (test_pool_never_overfills),
    cmocka_unit_test (test_pool_unreserve_raises_no_generation),
    cmocka_unit_test (test_pool_states),
    cmocka_unit_test (test_message_round_trip),
    cmocka_unit_test (test_message_damage),
    cmocka_unit_test (test_histogram_error),
  };

  if (sodium_init () < 0)
    return 1;
  return cmocka_run_group_tests_name ("contracts", tests, NULL, NULL);
}
