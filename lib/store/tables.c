#include "store/tables.h"

#include <stddef.h>

const char *const fl_job_partitions[FL_JOB_PARTITIONS + 1]
    = { "0", "1", "2", "3", "4", "5", "6", "7", NULL };
const char *const fl_owner_partitions[] = { FL_PARTITION_OWNER, NULL };
const char *const fl_common_partitions[] = { FL_PARTITION_COMMON, NULL };

const char *
fl_job_partition (const struct fl_name *id)
{
  unsigned digit = id->len > 0 ? (unsigned char)id->data[id->len - 1] : 0;

  /* Let 'a' follow '9', so that the 16 hexadecimal digits spread evenly over the partitions. */
  if (digit >= 'a')
    digit = digit - 'a' + '9' + 1;
  return fl_job_partitions[digit % FL_JOB_PARTITIONS];
}
