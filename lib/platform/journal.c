#include "platform/journal.h"

#include <string.h>

/* Between tries while the table does not answer. */
#define RETRY_MS 250

struct entry
{
  uint64_t id;
  struct fl_name domain;
  struct fl_str key;
  json_t *value;
  int64_t version;
  bool persistent;
  int64_t fence_version; /* of its domain's epoch when it was added */
  bool unsure;           /* a transaction with it was sent and its answer lost */
};

struct fence
{
  struct fl_name domain;
  struct fl_str key;
  int64_t version;
};

struct fl_journal
{
  struct fl_journal_options options;
  GQueue waiting;     /* struct entry * */
  GPtrArray *sent;    /* struct entry *, of the open transaction */
  GPtrArray *fences;  /* struct fence *, of the open domains */
  GPtrArray *checked; /* struct fence *, of the open transaction, borrowed */
  bool open;
  ev_timer timer;
  bool timer_set;
};

static void
entry_free (void *data)
{
  struct entry *entry = data;

  fl_str_clear (&entry->key);
  json_decref (entry->value);
  g_free (entry);
}

static void
fence_free (void *data)
{
  struct fence *fence = data;

  fl_str_clear (&fence->key);
  g_free (fence);
}

static struct fence *
find_fence (const struct fl_journal *journal, const struct fl_name *domain)
{
  for (guint i = 0; i < journal->fences->len; i++)
    {
      struct fence *fence = journal->fences->pdata[i];
      if (fl_name_eq (&fence->domain, domain))
        return fence;
    }
  return NULL;
}

/* Reports the entry as settled and frees it. */
static void
settle (struct fl_journal *journal,
        struct entry *entry,
        enum fl_commit_result result,
        int64_t version,
        const json_t *existing)
{
  journal->options.on_settled (journal->options.context, &entry->domain, entry->id, result, version,
                               existing);
  entry_free (entry);
}

static void
settle_lost (struct fl_journal *journal, struct entry *entry)
{
  settle (journal, entry, entry->unsure ? FL_COMMIT_UNKNOWN : FL_COMMIT_LOST, 0, NULL);
}

/* --- timing --- */

static void
on_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct fl_journal *journal = timer->data;

  (void)loop;
  (void)events;
  journal->timer_set = false;
  fl_journal_flush (journal);
}

static void
arm (struct fl_journal *journal, int64_t delay_ms)
{
  if (journal->options.loop == NULL || journal->timer_set || journal->open
      || journal->waiting.length == 0)
    return;
  ev_timer_set (&journal->timer, (double)delay_ms / 1000.0, 0.0);
  ev_timer_start (journal->options.loop, &journal->timer);
  journal->timer_set = true;
}

/* --- outcomes of a transaction --- */

/* Puts what was sent back at the head of the queue, in order. */
static void
send_again (struct fl_journal *journal)
{
  for (guint i = journal->sent->len; i-- > 0;)
    g_queue_push_head (&journal->waiting, journal->sent->pdata[i]);
  g_ptr_array_set_size (journal->sent, 0);
}

static void
on_ok (struct fl_journal *journal, const struct fl_table_result *result)
{
  g_autoptr (GPtrArray) sent = journal->sent;
  guint fences = journal->checked->len;

  journal->sent = g_ptr_array_new ();
  fl_stats_add (journal->options.stats, "journal_records_written", sent->len);
  for (guint i = 0; i < sent->len; i++)
    settle (journal, sent->pdata[i], FL_COMMIT_OK, result->versions[fences + i], NULL);
}

static bool
already_written (const struct entry *entry, const struct fl_row *current)
{
  if (entry->value == NULL)
    return current->value == NULL;
  return current->value != NULL && json_equal (entry->value, current->value) == 1;
}

static void
on_record_conflict (struct fl_journal *journal, guint i, const struct fl_row *current)
{
  struct entry *entry = journal->sent->pdata[i];
  bool written = already_written (entry, current);

  g_ptr_array_remove_index (journal->sent, i);
  send_again (journal);
  settle (journal, entry, written ? FL_COMMIT_OK : FL_COMMIT_EXISTS, current->version,
          current->value);
}

static void
on_conflict (struct fl_journal *journal, const struct fl_table_result *result)
{
  guint fences = journal->checked->len;

  if (result->conflict >= fences)
    {
      on_record_conflict (journal, (guint)result->conflict - fences, &result->current);
      return;
    }
  struct fl_name domain = ((struct fence *)journal->checked->pdata[result->conflict])->domain;
  send_again (journal);
  journal->options.on_fenced (journal->options.context, &domain);
}

/* The table is down: records that callers wait for are given up when nothing of them was written.
 */
static void
on_refused (struct fl_journal *journal)
{
  send_again (journal);
  g_autoptr (GPtrArray) given_up = g_ptr_array_new ();
  for (GList *l = journal->waiting.head; l != NULL;)
    {
      GList *next = l->next;
      struct entry *entry = l->data;
      if (!entry->persistent && !entry->unsure)
        {
          g_queue_delete_link (&journal->waiting, l);
          g_ptr_array_add (given_up, entry);
        }
      l = next;
    }
  for (guint i = 0; i < given_up->len; i++)
    settle (journal, given_up->pdata[i], FL_COMMIT_REFUSED, 0, NULL);
}

static void
on_unknown (struct fl_journal *journal)
{
  for (guint i = 0; i < journal->sent->len; i++)
    ((struct entry *)journal->sent->pdata[i])->unsure = true;
  send_again (journal);
}

static void
on_committed (void *context, const struct fl_table_result *result)
{
  struct fl_journal *journal = context;
  int64_t delay_ms = journal->options.interval_ms;

  journal->open = false;
  switch (result->code)
    {
    case FL_TABLE_OK:
      on_ok (journal, result);
      break;
    case FL_TABLE_CONFLICT:
      on_conflict (journal, result);
      delay_ms = 0;
      break;
    case FL_TABLE_REFUSED:
      fl_stats_add (journal->options.stats, "journal_refused", 1);
      on_refused (journal);
      delay_ms = RETRY_MS;
      break;
    case FL_TABLE_UNKNOWN:
      fl_stats_add (journal->options.stats, "journal_answers_lost", 1);
      on_unknown (journal);
      delay_ms = RETRY_MS;
      break;
    }
  arm (journal, delay_ms);
}

/* --- sending --- */

static void
check_fence (struct fl_journal *journal, struct fence *fence)
{
  if (!g_ptr_array_find (journal->checked, fence, NULL))
    g_ptr_array_add (journal->checked, fence);
}

/* Moves what fits into one transaction from the queue to `sent`. A key is written at most once in a
 * transaction; a second record for it waits for the next. */
static void
gather (struct fl_journal *journal)
{
  g_autoptr (GHashTable) keys = g_hash_table_new (g_str_hash, g_str_equal);
  g_autoptr (GPtrArray) lost = g_ptr_array_new ();

  g_ptr_array_set_size (journal->checked, 0);
  for (GList *l = journal->waiting.head;
       l != NULL && (int64_t)journal->sent->len < journal->options.batch_max;)
    {
      GList *next = l->next;
      struct entry *entry = l->data;
      struct fence *fence = find_fence (journal, &entry->domain);
      if (fence == NULL || fence->version == FL_ANY_VERSION
          || fence->version != entry->fence_version)
        {
          /* Of an epoch that has ended: it must not ride on the fence of a later one. */
          g_queue_delete_link (&journal->waiting, l);
          g_ptr_array_add (lost, entry);
        }
      else if (g_hash_table_add (keys, entry->key.data))
        {
          g_queue_delete_link (&journal->waiting, l);
          check_fence (journal, fence);
          g_ptr_array_add (journal->sent, entry);
        }
      l = next;
    }
  for (guint i = 0; i < lost->len; i++)
    settle_lost (journal, lost->pdata[i]);
}

void
fl_journal_flush (struct fl_journal *journal)
{
  if (journal->open || journal->waiting.length == 0)
    return;
  gather (journal);
  if (journal->sent->len == 0)
    return;
  guint fences = journal->checked->len;
  guint count = fences + journal->sent->len;
  g_autofree struct fl_txn_op *ops = g_new0 (struct fl_txn_op, count);
  for (guint i = 0; i < fences; i++)
    {
      const struct fence *fence = journal->checked->pdata[i];
      ops[i] = (struct fl_txn_op){ FL_TXN_CHECK, fence->key, fence->version, NULL };
    }
  for (guint i = 0; i < journal->sent->len; i++)
    {
      const struct entry *entry = journal->sent->pdata[i];
      ops[fences + i] = (struct fl_txn_op){ entry->value != NULL ? FL_TXN_PUT : FL_TXN_DELETE,
                                            entry->key, entry->version, entry->value };
    }
  journal->open = true;
  fl_stats_add (journal->options.stats, "journal_transactions", 1);
  journal->options.table->commit (journal->options.table->self, ops, count, on_committed, journal);
}

/* --- public functions --- */

struct fl_journal *
fl_journal_new (const struct fl_journal_options *options)
{
  struct fl_journal *journal = g_new0 (struct fl_journal, 1);

  journal->options = *options;
  g_queue_init (&journal->waiting);
  journal->sent = g_ptr_array_new ();
  journal->checked = g_ptr_array_new ();
  journal->fences = g_ptr_array_new_with_free_func (fence_free);
  ev_timer_init (&journal->timer, on_timer, 0.0, 0.0);
  journal->timer.data = journal;
  return journal;
}

void
fl_journal_free (struct fl_journal *journal)
{
  if (journal == NULL)
    return;
  if (journal->options.loop != NULL)
    ev_timer_stop (journal->options.loop, &journal->timer);
  g_queue_clear_full (&journal->waiting, entry_free);
  g_ptr_array_set_free_func (journal->sent, entry_free);
  g_ptr_array_free (journal->sent, TRUE);
  g_ptr_array_free (journal->checked, TRUE);
  g_ptr_array_free (journal->fences, TRUE);
  g_free (journal);
}

void
fl_journal_open_domain (struct fl_journal *journal,
                        const struct fl_name *domain,
                        int64_t fence_version)
{
  struct fence *fence = find_fence (journal, domain);

  if (fence == NULL)
    {
      g_autofree char *key = g_strdup_printf ("epoch/%s", domain->data);
      fence = g_new0 (struct fence, 1);
      fence->domain = *domain;
      fence->key = fl_str_of (key);
      g_ptr_array_add (journal->fences, fence);
    }
  fence->version = fence_version;
}

int64_t
fl_journal_fence (const struct fl_journal *journal, const struct fl_name *domain)
{
  const struct fence *fence = find_fence (journal, domain);

  return fence != NULL ? fence->version : FL_ANY_VERSION;
}

/* Takes the entries of @domain out of @list into @out. */
static void
take_domain (GQueue *list, const struct fl_name *domain, GPtrArray *out)
{
  for (GList *l = list->head; l != NULL;)
    {
      GList *next = l->next;
      struct entry *entry = l->data;
      if (fl_name_eq (&entry->domain, domain))
        {
          g_queue_delete_link (list, l);
          g_ptr_array_add (out, entry);
        }
      l = next;
    }
}

void
fl_journal_close_domain (struct fl_journal *journal, const struct fl_name *domain)
{
  g_autoptr (GPtrArray) lost = g_ptr_array_new ();
  struct fence *fence = find_fence (journal, domain);

  take_domain (&journal->waiting, domain, lost);
  for (guint i = 0; i < lost->len; i++)
    settle_lost (journal, lost->pdata[i]);
  /* The fence stays, as an open transaction may refer to it; no entry has this version. */
  if (fence != NULL)
    fence->version = FL_ANY_VERSION;
}

void
fl_journal_add (struct fl_journal *journal, const struct fl_record *record)
{
  struct entry *entry = g_new0 (struct entry, 1);

  entry->id = record->id;
  entry->domain = record->domain;
  entry->key = fl_str_dup (&record->key);
  entry->value = json_incref (record->value);
  entry->version = record->version;
  entry->persistent = record->persistent;
  const struct fence *fence = find_fence (journal, &record->domain);
  entry->fence_version = fence != NULL ? fence->version : FL_ANY_VERSION;
  g_queue_push_tail (&journal->waiting, entry);
  arm (journal, journal->options.interval_ms);
}

size_t
fl_journal_open_records (const struct fl_journal *journal)
{
  return journal->waiting.length + journal->sent->len;
}
