/* Explains from log lines what became of one job. */
#pragma once

#include <glib.h>

struct fl_explanation;

/* An explanation of the job @id; free with fl_explanation_free. */
struct fl_explanation *fl_explanation_new (const char *id);
void fl_explanation_free (struct fl_explanation *explanation);

/* Takes over what @line tells of the job; other lines, and text before the first key, are
 * ignored. */
void fl_explanation_add_line (struct fl_explanation *explanation, const char *line);

/* Appends the job's lines in order of time, each with the milliseconds since the first, and
 * sentences that tell where it waited and how it ended. */
void fl_explanation_write (struct fl_explanation *explanation, GString *out);
