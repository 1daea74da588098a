/* Tables and keys of the product in the store; docs/DESIGN.md tells what each row holds. */
#pragma once

#define FL_TABLE_JOBS "jobs"
#define FL_TABLE_PROGRESS "progress"
#define FL_TABLE_SUMMARY "summary"
#define FL_TABLE_HOSTS "hosts"

#define FL_SUMMARY_PENDING "pending"
#define FL_SUMMARY_TARGETS "targets"

/* Ending of the key of a cancelled job's row; the row of the job sorts right before it. */
#define FL_CANCEL_SUFFIX "/cancel"

/* Value that marks an id in place of a job: the job was refused, or it is to be cancelled. */
#define FL_MARK_VALUE "{}"
