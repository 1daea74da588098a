/* The entry process: faces callers and operators over HTTP. */
#pragma once

#include <ev.h>

#include "node/settings.h"

struct fl_entry;

/* Starts listening. @return NULL with @error filled when it cannot. */
struct fl_entry *fl_entry_new (const struct fl_settings *settings, struct fl_error *error);

/* The loop, for signal watchers. */
struct ev_loop *fl_entry_loop (const struct fl_entry *entry);

/* Serves until fl_entry_shut_down has run its course. */
void fl_entry_serve (struct fl_entry *entry);

/* Stops gracefully: /health says so, open requests end, then the loop stops. */
void fl_entry_shut_down (struct fl_entry *entry);

void fl_entry_free (struct fl_entry *entry);
