/* Conversion between rows for single tasks and sets of tasks in the progress of a job. */
#pragma once

#include "job/job_spec.h"

/* @return what @progress, of the job @spec, says of single tasks in rows. The caller frees the
 * strings and arrays. */
struct fl_progress_sets fl_progress_sets_make (const struct fl_job_progress *progress,
                                               const struct fl_job_spec *spec);
