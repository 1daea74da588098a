/* Group commit of the records that the domains of one process produce.
 *
 * Records are gathered for a short time and written in one transaction, fenced by the epoch row of
 * each domain that they belong to. A record whose own condition fails is settled alone and the rest
 * is sent again. A lost answer is settled by sending again: a row that holds just what was to be
 * written counts as written.
 */
#pragma once

#include <ev.h>

#include "common/clock.h"
#include "common/stats.h"
#include "domain/domain.h"
#include "platform/table.h"

struct fl_journal;

struct fl_journal_options
{
  struct ev_loop *loop; /* NULL: the caller drives it by fl_journal_flush */
  struct fl_table *table;
  struct fl_stats *stats;
  int64_t interval_ms; /* least time between two transactions */
  int64_t batch_max;   /* records in one transaction */
  /* The record @id of @domain is settled. */
  void (*on_settled) (void *context,
                      const struct fl_name *domain,
                      uint64_t id,
                      enum fl_commit_result result,
                      int64_t version,
                      const json_t *existing);
  /* Another process has raised the domain's epoch. */
  void (*on_fenced) (void *context, const struct fl_name *domain);
  void *context;
};

struct fl_journal *fl_journal_new (const struct fl_journal_options *options);

/* Drops what is open; nothing is called back. */
void fl_journal_free (struct fl_journal *journal);

/* Sets the version of the domain's epoch row that writes are fenced by. */
void fl_journal_open_domain (struct fl_journal *journal,
                             const struct fl_name *domain,
                             int64_t fence_version);

/* @return the version set by fl_journal_open_domain, FL_ANY_VERSION while the domain is closed. */
int64_t fl_journal_fence (const struct fl_journal *journal, const struct fl_name *domain);

/* Settles all open records of the domain as LOST or UNKNOWN. */
void fl_journal_close_domain (struct fl_journal *journal, const struct fl_name *domain);

/* Takes a record; copies what it needs. */
void fl_journal_add (struct fl_journal *journal, const struct fl_record *record);

/* Sends what is due unless a transaction is on its way. */
void fl_journal_flush (struct fl_journal *journal);

/* Records that are not settled yet. */
size_t fl_journal_open_records (const struct fl_journal *journal);
