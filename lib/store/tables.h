/* Tables, partitions and keys in the store; docs/DESIGN.md describes the rows. */
#pragma once

#include "common/str.h"

#define FL_TABLE_JOBS "jobs"
#define FL_TABLE_PROGRESS "progress"
#define FL_TABLE_SUMMARY "summary"
#define FL_TABLE_ADMISSION "admission" /* the queues that accept no further jobs now */
#define FL_TABLE_HOSTS "hosts"         /* link addresses of the pool daemons */
#define FL_TABLE_RELAYS "relays" /* link addresses and CPU of the hosts that relay store calls */

/* Partition of the rows that the owner of the pool writes, and of the row that fences them. */
#define FL_PARTITION_OWNER "owner"
/* Partition of rows that others write rarely. */
#define FL_PARTITION_COMMON ""
/* Partitions of jobs, chosen by id. Hosts write jobs as fast as they arrive. In the owner's
 * partition, these writes would delay the owner's lease renewals when the store is slow. */
#define FL_JOB_PARTITIONS 8

/* Keys of rows in FL_TABLE_SUMMARY. */
#define FL_SUMMARY_PENDING "pending"
#define FL_SUMMARY_TARGETS "targets"
#define FL_SUMMARY_UNHEARD "unheard" /* inherited targets that the owner has not heard */

/* Key of the only row in FL_TABLE_ADMISSION: {"QUEUE": true, ...}. The owner writes it when it
 * changes, again each second while a queue is closed, and once in each term. It holds for
 * FL_ADMISSION_VALID_MS after the feed has delivered it, so that no owner that is lost keeps a
 * queue closed. */
#define FL_ADMISSION_CLOSED "closed"
#define FL_ADMISSION_VALID_MS 3000

/* Suffix of the key of the row that cancels a job; the job's own row sorts right before it. */
#define FL_CANCEL_SUFFIX "/cancel"

/* Value of a marker, a row that has no content: at the id of a job whose submission failed, at the
 * cancel key of a job, or an ordered writer's own row. */
#define FL_MARKER_VALUE "{}"
/* Value of the marker at the id of a job that was cancelled before it was stored; no job may
 * replace it. As long as FL_MARKER_VALUE: rows of this length have no content. */
#define FL_CANCELLED_VALUE "[]"

/* Value of the marker at the id of a job whose submission was rejected for good: requests that had
 * arrived before do not replace it, later ones may. */
#define FL_REJECTED_VALUE "()"

/* The partitions of FL_TABLE_JOBS, NULL-terminated. */
extern const char *const fl_job_partitions[FL_JOB_PARTITIONS + 1];

/* The partition of the job @id. */
const char *fl_job_partition (const struct fl_name *id);

/* For followers of tables with one partition; NULL-terminated. */
extern const char *const fl_owner_partitions[];
extern const char *const fl_common_partitions[];
