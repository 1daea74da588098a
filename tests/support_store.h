/* A store in memory for tests: transactions can be held back and applied later. */
#pragma once

#include <glib.h>

#include "store/store.h"

struct fake_store;

struct fake_store *fake_store_new (void);
void fake_store_free (struct fake_store *store);
const struct fl_store *fake_store_interface (struct fake_store *store);

/* What happens to the next transaction: FL_STORE_OK applies and answers; FL_STORE_UNKNOWN keeps it
 * for fake_store_apply_held and answers nothing was heard; FL_STORE_REJECTED refuses it. */
void fake_store_next (struct fake_store *store, enum fl_store_status outcome);

/* Applies the transaction that was held back, if its conditions hold. @return whether they did. */
bool fake_store_apply_held (struct fake_store *store);

/* The value of a row, NULL when there is none. */
const char *fake_store_value (const struct fake_store *store, const char *table, const char *key);
