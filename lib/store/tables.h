/* Tables and keys of the product in the store; docs/DESIGN.md tells what each row holds. */
#pragma once

#include "common/str.h"

#define FL_TABLE_JOBS "jobs"
#define FL_TABLE_PROGRESS "progress"
#define FL_TABLE_SUMMARY "summary"
#define FL_TABLE_HOSTS "hosts"
#define FL_TABLE_RELAYS "relays"

/* Partition of what the owner of the pool writes, and of the row that fences its writes. */
#define FL_PARTITION_OWNER "owner"
/* Partition of what others write rarely. */
#define FL_PARTITION_COMMON ""
/* Partitions of jobs, chosen by id. Hosts write jobs at the rate at which they arrive, and must not
 * hold up the renewals of the owner when the store is slow. */
#define FL_JOB_PARTITIONS 8

#define FL_SUMMARY_PENDING "pending"
#define FL_SUMMARY_TARGETS "targets"

/* Ending of the key of a cancelled job's row; the row of the job sorts right before it. */
#define FL_CANCEL_SUFFIX "/cancel"

/* Value that marks an id in place of a job: the job was refused, or it is to be cancelled. */
#define FL_MARKER_VALUE "{}"

/* The partitions of FL_TABLE_JOBS, ended by NULL. */
extern const char *const fl_job_partitions[FL_JOB_PARTITIONS + 1];

/* The partition of the job @id. */
const char *fl_job_partition (const struct fl_name *id);

/* For followers of tables that lie in one partition. */
extern const char *const fl_owner_partitions[];
extern const char *const fl_common_partitions[];
