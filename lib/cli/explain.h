/* Explains from log lines what happened to one job. */
#pragma once

#include <glib.h>

struct fl_explanation;

/* @return an empty explanation of the job @id; free it with fl_explanation_free. */
struct fl_explanation *fl_explanation_new (const char *id);
void fl_explanation_free (struct fl_explanation *explanation);

/* Adds a log line to the explanation. Lines that do not name the job are ignored, and so is any
 * text before the key "time". */
void fl_explanation_add_line (struct fl_explanation *explanation, const char *line);

/* Appends the job's lines in chronological order, each with the milliseconds since the first line,
 * and a summary of how the job was accepted, where it waited and how it ended. */
void fl_explanation_write (struct fl_explanation *explanation, GString *out);
