/* Group commit: each transaction stores all records that became ready while the previous one was in
 * flight. */
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "common/clock.h"
#include "common/schema.h"
#include "poold/poold_internal.h"
#include "poold/target_rows.h"

#define STORE_TIMEOUT_MS 1000
/* Delay after a failed transaction. Shorter than the interval between renewals of the pool's lease,
 * to delay records little. */
#define RETRY_DELAY_MS 150
/* Records in one transaction: its entries, less two conditions and the ordered writer's row. */
#define RECORDS_MAX (FL_STORE_ENTRIES_MAX - 3)
/* Minimum time between two transactions of progress records. Calls to the store are expensive, so
 * records are batched. Starts of tasks wait for the records, so the interval is short compared with
 * the hundreds of milliseconds that urgent tasks can spare. */
#define RECORD_INTERVAL_MS 10
/* Share of the host's link, in percent, that the transactions of progress records may take. Records
 * of one job that become ready while the next transaction waits are stored once. */
#define RECORDS_LINK_PERCENT 25
/* Bytes of one record in a transaction besides its value. */
#define RECORD_OVERHEAD_BYTES 80
/* A remaining wait below this requests an early tick, since the next regular tick may be later. */
#define SHORT_WAIT_MS 40
/* The counts of pending jobs may be up to 2 s old when they are read. */
#define PENDING_INTERVAL_MS 500
#define ADMISSION_INTERVAL_MS 100
/* A row that does not change is written again in time before it expires. While the stored row is
 * not known, it is written without closed queues only after this time too: a new owner has not yet
 * seen for long enough that a queue that its predecessor closed has to stay closed. */
#define ADMISSION_RENEWAL_MS 1000

static void
commit_writes (struct fl_term *term,
               struct fl_store_writer *writer,
               const struct fl_store_write *writes,
               size_t count,
               void (*done) (void *context, const struct fl_store_reply *reply))
{
  struct fl_store_condition condition = fl_ownership_get_write_condition (term->poold->ownership);

  term->ref_count++;
  fl_store_writer_write (writer, &condition, writes, count, STORE_TIMEOUT_MS, done, term);
}

static void
handle_failure (struct fl_term *term, const char *what, const struct fl_store_reply *reply)
{
  if (reply->status == FL_STORE_OK)
    return;
  fl_stats_add (term->poold->host->stats, "records_failed_total", 1);
  /* A new connection may serve the next transaction at once. */
  if (reply->status != FL_STORE_CONFLICT && !reply->is_connection_stale)
    term->next_store_ms = fl_clock_boot_ms () + RETRY_DELAY_MS;
  fl_log (&term->poold->host->log, FL_LOG_WARNING, "record_failed", FL_S ("what", what),
          FL_I ("status", reply->status), FL_S ("text", reply->error.text));
}

/* --- progress of jobs --- */

static void
on_records_stored (void *context, const struct fl_store_reply *reply)
{
  struct fl_term *term = context;

  term->poold->tick_requested = true;
  handle_failure (term, "progress", reply);
  if (reply->status == FL_STORE_OK)
    term->next_store_ms = MAX (fl_clock_boot_ms () + RECORD_INTERVAL_MS, term->records_paced_ms);
  if (!term->ended)
    fl_core_finish_records (term->core, reply->status == FL_STORE_OK, fl_clock_boot_ms ());
  fl_term_unref (term);
}

/* When the link has had the time for @bytes of records that are sent now. */
static int64_t
get_paced_ms (const struct fl_term *term, size_t bytes)
{
  int64_t rate = fl_host_settings_link_bytes_per_s (&term->poold->host->settings)
                 * RECORDS_LINK_PERCENT / 100;

  return fl_clock_boot_ms () + (rate > 0 ? (int64_t)bytes * 1000 / rate : 0);
}

static void
store_progress (struct fl_term *term)
{
  struct fl_core_record records[RECORDS_MAX];
  struct fl_store_write writes[RECORDS_MAX];
  size_t count = fl_core_collect_records (term->core, records, RECORDS_MAX);
  size_t bytes = 0;

  if (count == 0)
    return;
  for (size_t i = 0; i < count; i++)
    {
      writes[i] = (struct fl_store_write){ FL_TABLE_PROGRESS, FL_PARTITION_OWNER, records[i].job,
                                           records[i].progress, false };
      bytes += RECORD_OVERHEAD_BYTES + records[i].progress.len * 4 / 3; /* base64 */
    }
  term->records_paced_ms = get_paced_ms (term, bytes);
  fl_stats_add (term->poold->host->stats, "records_total", (int64_t)count);
  commit_writes (term, term->progress_writer, writes, count, on_records_stored);
  for (size_t i = 0; i < count; i++)
    fl_str_clear (&records[i].progress);
}

/* --- list of targets that may receive orders --- */

static void
on_targets_stored (void *context, const struct fl_store_reply *reply)
{
  struct fl_term *term = context;

  term->poold->tick_requested = true;
  handle_failure (term, "targets", reply);
  if (!term->ended)
    fl_core_finish_target_list (term->core, reply->status == FL_STORE_OK);
  fl_term_unref (term);
}

static void
store_targets (struct fl_term *term)
{
  GArray *names = fl_core_collect_target_list (term->core);
  size_t count = fl_target_rows_count (names->len);
  size_t write_count = MAX (count, term->target_row_count);
  struct fl_store_write writes[FL_TARGET_ROWS_MAX] = { 0 };

  /* Rows of a longer list that was stored before are removed. */
  for (size_t i = 0; i < write_count; i++)
    writes[i] = (struct fl_store_write){
      .table = FL_TABLE_SUMMARY,
      .partition = FL_PARTITION_OWNER,
      .key = fl_target_rows_key (i),
      .value = i < count ? fl_target_rows_encode (names, i) : (struct fl_str){ 0 },
      .is_removal = i >= count,
    };
  term->target_row_count = write_count;
  commit_writes (term, term->targets_writer, writes, write_count, on_targets_stored);
  for (size_t i = 0; i < count; i++)
    fl_str_clear (&writes[i].value);
  g_array_unref (names);
}

void
fl_term_store_records (struct fl_term *term)
{
  int64_t wait_ms = term->next_store_ms - fl_clock_boot_ms ();

  if (wait_ms > 0 && wait_ms < SHORT_WAIT_MS)
    term->poold->tick_requested = true;
  if (wait_ms > 0)
    return;
  if (!fl_store_writer_is_busy (term->progress_writer))
    store_progress (term);
  if (!fl_store_writer_is_busy (term->targets_writer)
      && fl_core_target_list_is_outdated (term->core))
    store_targets (term);
}

/* --- inherited targets that were not heard --- */

/* A conflict tells the version of the row: an earlier write may have taken effect without a reply.
 */
static void
update_unheard_version (struct fl_term *term, const struct fl_store_reply *reply)
{
  if (reply->status == FL_STORE_OK)
    term->unheard_version = reply->version;
  for (size_t i = 0; reply->status == FL_STORE_CONFLICT && i < reply->count; i++)
    if (strcmp (reply->rows[i].table.data, FL_TABLE_SUMMARY) == 0
        && strcmp (reply->rows[i].key.data, FL_SUMMARY_UNHEARD) == 0)
      term->unheard_version = reply->rows[i].removed ? 0 : reply->rows[i].version;
}

static void
on_unheard_stored (void *context, const struct fl_store_reply *reply)
{
  struct fl_term *term = context;
  int64_t known_version = term->unheard_version;

  term->poold->tick_requested = true;
  term->unheard_in_flight = false;
  update_unheard_version (term, reply);
  if (reply->status != FL_STORE_OK)
    {
      fl_stats_add (term->poold->host->stats, "records_failed_total", 1);
      fl_log (&term->poold->host->log, FL_LOG_WARNING, "record_failed", FL_S ("what", "unheard"),
              FL_I ("status", reply->status), FL_S ("text", reply->error.text));
      if (term->unheard_version == known_version && !reply->is_connection_stale)
        term->next_unheard_ms = fl_clock_boot_ms () + RETRY_DELAY_MS;
    }
  if (!term->ended)
    fl_core_finish_unheard_record (term->core, reply->status == FL_STORE_OK);
  fl_term_unref (term);
}

/* The row expects its own version, so that a write that takes effect late restores nothing, and
 * that of the pool row, so that none does after the next acquisition. */
static void
store_unheard (struct fl_term *term, int64_t now_ms)
{
  const struct fl_store *store = term->poold->host->store;
  g_autoptr (GArray) targets = fl_core_collect_unheard_record (term->core, now_ms);
  struct fl_str value = fl_unheard_row_encode (term->fencing_token, targets);
  struct fl_store_condition conditions[]
      = { fl_ownership_get_write_condition (term->poold->ownership),
          { FL_TABLE_SUMMARY, FL_PARTITION_OWNER, fl_name_of (FL_SUMMARY_UNHEARD),
            term->unheard_version } };
  struct fl_store_write write
      = { FL_TABLE_SUMMARY, FL_PARTITION_OWNER, fl_name_of (FL_SUMMARY_UNHEARD), value, false };
  struct fl_store_transaction transaction = { conditions, 2, &write, 1 };

  fl_log (&term->poold->host->log, FL_LOG_NOTICE, "unheard_recorded",
          FL_I ("targets", targets->len));
  term->unheard_in_flight = true;
  term->ref_count++;
  store->transact (store->context, &transaction, STORE_TIMEOUT_MS, on_unheard_stored, term);
  fl_str_clear (&value);
}

void
fl_term_store_unheard (struct fl_term *term)
{
  int64_t now_ms = fl_clock_boot_ms ();

  if (term->unheard_in_flight || now_ms < term->next_unheard_ms
      || !fl_core_unheard_record_is_outdated (term->core, now_ms))
    return;
  store_unheard (term, now_ms);
}

/* --- counts of pending jobs --- */

static void
on_pending_stored (void *context, const struct fl_store_reply *reply)
{
  struct fl_term *term = context;

  handle_failure (term, "pending", reply);
  if (reply->status != FL_STORE_OK)
    fl_str_clear (&term->stored_pending);
  fl_term_unref (term);
}

static struct fl_str
encode_pending (const struct fl_core *core)
{
  GHashTable *counts = fl_core_count_pending_jobs (core);
  json_t *json = json_object ();
  GHashTableIter iter;
  void *key;
  void *value;

  g_hash_table_iter_init (&iter, counts);
  while (g_hash_table_iter_next (&iter, &key, &value))
    json_object_set_new (json, ((struct fl_name *)key)->data, json_integer ((intptr_t)value));
  struct fl_str text = fl_json_encode (json);
  json_decref (json);
  g_hash_table_destroy (counts);
  return text;
}

void
fl_term_store_pending_counts (struct fl_term *term)
{
  int64_t now_ms = fl_clock_boot_ms ();

  if (fl_store_writer_is_busy (term->pending_writer)
      || now_ms - term->pending_sent_ms < PENDING_INTERVAL_MS)
    return;
  term->pending_sent_ms = now_ms;
  struct fl_str value = encode_pending (term->core);
  if (value.len == term->stored_pending.len
      && memcmp (value.data, fl_str_text (&term->stored_pending), value.len) == 0)
    {
      fl_str_clear (&value);
      return;
    }
  fl_str_clear (&term->stored_pending);
  term->stored_pending = value;
  struct fl_store_write write
      = { FL_TABLE_SUMMARY, FL_PARTITION_OWNER, fl_name_of (FL_SUMMARY_PENDING), value, false };
  commit_writes (term, term->pending_writer, &write, 1, on_pending_stored);
}

/* --- queues that accept no further jobs --- */

static void
on_admission_stored (void *context, const struct fl_store_reply *reply)
{
  struct fl_term *term = context;

  handle_failure (term, "admission", reply);
  if (reply->status != FL_STORE_OK)
    fl_str_clear (&term->stored_admission);
  fl_term_unref (term);
}

static struct fl_str
encode_closed (const GArray *closed)
{
  json_t *json = json_object ();

  for (guint i = 0; i < closed->len; i++)
    json_object_set_new (json, g_array_index (closed, struct fl_name, i).data, json_true ());
  struct fl_str text = fl_json_encode (json);
  json_decref (json);
  return text;
}

void
fl_term_store_admission (struct fl_term *term)
{
  int64_t now_ms = fl_clock_boot_ms ();

  if (fl_store_writer_is_busy (term->admission_writer)
      || now_ms - term->admission_checked_ms < ADMISSION_INTERVAL_MS)
    return;
  if (term->admission_checked_ms == 0)
    term->admission_sent_ms = now_ms;
  term->admission_checked_ms = now_ms;
  g_autoptr (GArray) closed
      = fl_core_update_admission (term->core, fl_advisors_count_usable (term->poold->advisors));
  struct fl_str value = encode_closed (closed);
  bool is_known = term->stored_admission.len > 0;
  bool is_same = value.len == term->stored_admission.len
                 && memcmp (value.data, fl_str_text (&term->stored_admission), value.len) == 0;
  bool is_changed = !is_same && (is_known || closed->len > 0);
  bool is_renewed = !is_known || closed->len > 0;
  if (!is_changed && (!is_renewed || now_ms - term->admission_sent_ms < ADMISSION_RENEWAL_MS))
    {
      fl_str_clear (&value);
      return;
    }
  fl_str_clear (&term->stored_admission);
  term->stored_admission = value;
  term->admission_sent_ms = now_ms;
  struct fl_store_write write
      = { FL_TABLE_ADMISSION, FL_PARTITION_OWNER, fl_name_of (FL_ADMISSION_CLOSED), value, false };
  commit_writes (term, term->admission_writer, &write, 1, on_admission_stored);
}
