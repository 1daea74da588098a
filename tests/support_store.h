/* An in-memory store for tests that can delay a transaction and apply it later. It implements only
 * transactions, all in one partition and without removals, and replies before the call returns. */
#pragma once

#include <glib.h>

#include "store/store.h"

struct fake_store;

struct fake_store *fake_store_new (void);
void fake_store_free (struct fake_store *store);

/* @return the interface of @store, valid until fake_store_free. */
const struct fl_store *fake_store_get_interface (struct fake_store *store);

/* Sets the status of the next transaction; later ones get FL_STORE_OK again. FL_STORE_OK applies
 * the transaction if its conditions hold, FL_STORE_UNKNOWN keeps it for fake_store_apply_delayed,
 * any other status drops it. */
void fake_store_set_next_status (struct fake_store *store, enum fl_store_status status);

/* Applies the delayed transaction, of which there must be one, if its conditions hold.
 * @return whether they do. */
bool fake_store_apply_delayed (struct fake_store *store);

/* @return the value of a row, valid until the row is written; NULL if the row does not exist. */
const char *
fake_store_get_value (const struct fake_store *store, const char *table, const char *key);
