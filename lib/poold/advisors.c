#include "poold/advisors.h"

#include <string.h>

#include <glib.h>

#include "common/clock.h"
#include "common/schema.h"

/* Questions that take longer than this leave hosts free for shorter ones. */
#define LONG_QUESTION_MS 150
/* Hosts that long questions leave free: short ones come some 20 times a second and take about
 * 30 ms each. */
#define RESERVED_HOSTS 2
/* An answer that takes this much longer than expected is given up. */
#define ANSWER_SLACK_MS 600
/* A host that did not answer is left out for this long. */
#define UNANSWERED_PAUSE_MS 2000

/* --- message between hosts --- */

struct message_target
{
  struct fl_name id;
  struct fl_name ticket; /* answers only */
};

struct message
{
  bool is_answer;
  int64_t number; /* of the question, chosen by the asking host */
  struct fl_name step;
  int64_t timeout_ms;
  bool answered; /* answers: whether the service answered */
  int64_t valid_ms;
  struct fl_array targets; /* of struct message_target */
};

static const struct fl_field target_fields[] = {
  { "id", FL_NAME, offsetof (struct message_target, id), true, 1, FL_NAME_MAX, 0, NULL, NULL },
  { "ticket", FL_NAME, offsetof (struct message_target, ticket), false, 0, FL_NAME_MAX, 0, NULL,
    NULL },
};
static FL_SCHEMA (target_schema, message_target, target_fields);

static const struct fl_field message_fields[] = {
  { "is_answer", FL_BOOL, offsetof (struct message, is_answer), false, 0, 0, 0, NULL, NULL },
  { "number", FL_INT, offsetof (struct message, number), true, 0, INT64_MAX, 0, NULL, NULL },
  { "step", FL_NAME, offsetof (struct message, step), false, 0, FL_NAME_MAX, 0, NULL, NULL },
  { "timeout_ms", FL_INT, offsetof (struct message, timeout_ms), false, 0, 60000, 0, NULL, NULL },
  { "answered", FL_BOOL, offsetof (struct message, answered), false, 0, 0, 0, NULL, NULL },
  { "valid_ms", FL_INT, offsetof (struct message, valid_ms), false, 0, 600000, 0, NULL, NULL },
  { "targets", FL_ARRAY, offsetof (struct message, targets), true, 0, FL_ADVICE_TARGETS_MAX, 0,
    &target_schema, NULL },
};
static FL_SCHEMA (message_schema, message, message_fields);

/* --- objects --- */

struct advisor
{
  struct fl_advisors *advisors;
  struct fl_name host;
  struct fl_name address; /* empty for this host */
  bool busy;
  int64_t paused_until_ms;
  int64_t number; /* of the open question */
  struct fl_name step;
  struct fl_name asked[FL_ADVICE_TARGETS_MAX];
  size_t asked_count;
  ev_timer timeout;
};

struct fl_advisors
{
  struct fl_advisors_options options;
  GHashTable *hosts; /* name -> struct advisor */
  int64_t last_number;
};

/* A question that a peer handed to this host. */
struct served_question
{
  struct fl_advisors *advisors;
  struct fl_route from;
  int64_t number;
};

static void
send_message (struct fl_advisors *advisors,
              const struct fl_route *to,
              const struct message *message)
{
  msgpack_sbuffer buffer;

  msgpack_sbuffer_init (&buffer);
  fl_schema_encode (&message_schema, message, &buffer);
  if (!advisors->options.send (advisors->options.context, to, buffer.data, buffer.size))
    fl_stats_add (advisors->options.host->stats, "advice_messages_unsent_total", 1);
  msgpack_sbuffer_destroy (&buffer);
}

/* --- asking --- */

static void
finish_question (struct advisor *advisor, const struct fl_advice_reply *reply)
{
  struct fl_advisors *advisors = advisor->advisors;

  advisor->busy = false;
  ev_timer_stop (advisors->options.host->loop, &advisor->timeout);
  if (!reply->received)
    {
      advisor->paused_until_ms = fl_clock_boot_ms () + UNANSWERED_PAUSE_MS;
      fl_stats_add (advisors->options.host->stats, "advice_unanswered_total", 1);
      fl_log (&advisors->options.host->log, FL_LOG_INFO, "advice_unanswered",
              FL_N ("step", &advisor->step), FL_N ("host", &advisor->host));
    }
  advisors->options.on_answer (advisors->options.context, &advisor->step, advisor->asked,
                               advisor->asked_count, reply);
}

static void
on_timeout (struct ev_loop *loop, ev_timer *timer, int events)
{
  static const struct fl_advice_reply none = { 0 };

  (void)loop;
  (void)events;
  finish_question (timer->data, &none);
}

/* The open question of this host; the number tells whether it is still the one that was asked. */
struct own_question
{
  struct advisor *advisor;
  int64_t number;
};

static void
on_own_answer (void *context, const struct fl_advice_reply *reply)
{
  struct own_question *question = context;

  if (question->advisor->busy && question->advisor->number == question->number)
    finish_question (question->advisor, reply);
  g_free (question);
}

static void
ask_here (struct advisor *advisor, int64_t timeout_ms)
{
  const struct fl_advice_calls *calls = advisor->advisors->options.calls;
  struct own_question *question = g_new0 (struct own_question, 1);

  *question = (struct own_question){ advisor, advisor->number };
  calls->query (calls->context, &advisor->step, advisor->asked, advisor->asked_count, timeout_ms,
                on_own_answer, question);
}

static void
ask_peer (struct advisor *advisor, int64_t timeout_ms)
{
  struct message_target targets[FL_ADVICE_TARGETS_MAX] = { 0 };
  struct message message = { .number = advisor->number,
                             .step = advisor->step,
                             .timeout_ms = timeout_ms,
                             .targets = { advisor->asked_count, targets } };
  struct fl_route to = { .address = advisor->address };

  for (size_t i = 0; i < advisor->asked_count; i++)
    targets[i].id = advisor->asked[i];
  send_message (advisor->advisors, &to, &message);
}

static bool
is_free (const struct advisor *advisor, int64_t now_ms)
{
  return !advisor->busy && now_ms >= advisor->paused_until_ms;
}

/* A free host for the question, or NULL; this host only when no peer is free, since deciding
 * needs its processor. */
static struct advisor *
choose (struct fl_advisors *advisors, bool is_long)
{
  int64_t now_ms = fl_clock_boot_ms ();
  struct advisor *best = NULL;
  int free_count = 0;
  int reserved = g_hash_table_size (advisors->hosts) > RESERVED_HOSTS ? RESERVED_HOSTS : 0;
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, advisors->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct advisor *advisor = value;
      if (!is_free (advisor, now_ms))
        continue;
      free_count++;
      if (best == NULL || best->address.len == 0)
        best = advisor;
    }
  return is_long && free_count <= reserved ? NULL : best;
}

bool
fl_advisors_ask (struct fl_advisors *advisors,
                 const struct fl_name *step,
                 const struct fl_name *targets,
                 size_t count,
                 int64_t expected_ms)
{
  struct advisor *advisor = choose (advisors, expected_ms > LONG_QUESTION_MS);
  int64_t timeout_ms = expected_ms + ANSWER_SLACK_MS;

  if (advisor == NULL || count > FL_ADVICE_TARGETS_MAX)
    return false;
  advisor->busy = true;
  advisor->number = ++advisors->last_number;
  advisor->step = *step;
  memcpy (advisor->asked, targets, count * sizeof targets[0]);
  advisor->asked_count = count;
  ev_timer_set (&advisor->timeout, (double)timeout_ms / 1000.0, 0.0);
  ev_timer_start (advisors->options.host->loop, &advisor->timeout);
  if (advisor->address.len == 0)
    ask_here (advisor, timeout_ms);
  else
    ask_peer (advisor, timeout_ms);
  return true;
}

/* --- messages --- */

static void
on_answer_message (struct fl_advisors *advisors, const struct message *message)
{
  const struct message_target *targets = message->targets.items;
  struct fl_advised_target rows[FL_ADVICE_TARGETS_MAX];
  struct fl_advice_reply reply
      = { message->answered, rows, message->targets.count, message->valid_ms };
  GHashTableIter iter;
  void *value;

  for (size_t i = 0; i < message->targets.count; i++)
    rows[i] = (struct fl_advised_target){ targets[i].id, targets[i].ticket };
  g_hash_table_iter_init (&iter, advisors->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct advisor *advisor = value;
      if (advisor->busy && advisor->number == message->number)
        {
          finish_question (advisor, &reply);
          return;
        }
    }
}

static void
on_served (void *context, const struct fl_advice_reply *reply)
{
  struct served_question *question = context;
  struct message_target targets[FL_ADVICE_TARGETS_MAX] = { 0 };
  size_t count = MIN (reply->count, FL_ADVICE_TARGETS_MAX);
  struct message message = { .is_answer = true,
                             .number = question->number,
                             .answered = reply->received,
                             .valid_ms = reply->tickets_valid_ms,
                             .targets = { count, targets } };

  for (size_t i = 0; i < count; i++)
    targets[i] = (struct message_target){ reply->targets[i].target, reply->targets[i].ticket };
  send_message (question->advisors, &question->from, &message);
  g_free (question);
}

static void
serve_question (struct fl_advisors *advisors,
                const struct fl_route *from,
                const struct message *message)
{
  const struct fl_advice_calls *calls = advisors->options.calls;
  const struct message_target *targets = message->targets.items;
  struct fl_name ids[FL_ADVICE_TARGETS_MAX];
  struct served_question *question = g_new0 (struct served_question, 1);

  *question = (struct served_question){ advisors, *from, message->number };
  for (size_t i = 0; i < message->targets.count; i++)
    ids[i] = targets[i].id;
  calls->query (calls->context, &message->step, ids, message->targets.count, message->timeout_ms,
                on_served, question);
}

void
fl_advisors_receive (struct fl_advisors *advisors,
                     const struct fl_route *from,
                     const char *data,
                     size_t len)
{
  struct message message;
  struct fl_error error = { 0 };

  if (!fl_schema_decode (&message_schema, data, len, &message, &error))
    {
      fl_stats_add (advisors->options.host->stats, "messages_malformed_total", 1);
      fl_log (&advisors->options.host->log, FL_LOG_WARNING, "message_malformed",
              FL_N ("peer", &from->address), FL_S ("text", error.text));
    }
  else if (message.is_answer)
    on_answer_message (advisors, &message);
  else
    serve_question (advisors, from, &message);
  fl_schema_clear (&message_schema, &message);
}

/* --- hosts --- */

static void
advisor_free (void *data)
{
  struct advisor *advisor = data;

  ev_timer_stop (advisor->advisors->options.host->loop, &advisor->timeout);
  g_free (advisor);
}

static struct advisor *
advisor_get (struct fl_advisors *advisors, const struct fl_name *host)
{
  struct advisor *advisor = g_hash_table_lookup (advisors->hosts, host);

  if (advisor == NULL)
    {
      advisor = g_new0 (struct advisor, 1);
      advisor->advisors = advisors;
      advisor->host = *host;
      ev_timer_init (&advisor->timeout, on_timeout, 0.0, 0.0);
      advisor->timeout.data = advisor;
      g_hash_table_insert (advisors->hosts, &advisor->host, advisor);
    }
  return advisor;
}

void
fl_advisors_set_peer (struct fl_advisors *advisors,
                      const struct fl_name *host,
                      const struct fl_name *address)
{
  advisor_get (advisors, host)->address = *address;
}

struct fl_advisors *
fl_advisors_new (const struct fl_advisors_options *options)
{
  struct fl_advisors *advisors = g_new0 (struct fl_advisors, 1);

  advisors->options = *options;
  advisors->hosts = g_hash_table_new_full (fl_name_hash, fl_name_equal, NULL, advisor_free);
  advisor_get (advisors, &options->host->settings.name);
  return advisors;
}

void
fl_advisors_free (struct fl_advisors *advisors)
{
  if (advisors == NULL)
    return;
  g_hash_table_destroy (advisors->hosts);
  g_free (advisors);
}
