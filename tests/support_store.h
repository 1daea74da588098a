/* A store in memory for tests: transactions can be held back and applied later. */
#pragma once

#include <glib.h>

#include "store/store.h"

struct fake_store;

struct fake_store *fake_store_new (void);
void fake_store_free (struct fake_store *store);
const struct fl_store *fake_store_get_interface (struct fake_store *store);

/* What happens to the next transaction: FL_STORE_OK applies and answers; FL_STORE_UNKNOWN keeps it
 * for fake_store_apply_delayed and answers nothing was heard; FL_STORE_REFUSED refuses it. */
void fake_store_set_next_status (struct fake_store *store, enum fl_store_status status);

/* Applies the transaction that was held back, if its conditions hold. @return whether they did. */
bool fake_store_apply_delayed (struct fake_store *store);

/* The value of a row, NULL when there is none. */
const char *
fake_store_get_value (const struct fake_store *store, const char *table, const char *key);
