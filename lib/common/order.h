/* Order statistics of short lists. */
#pragma once

#include <stddef.h>
#include <stdint.h>

/* @return the @k-th largest of @values, counted from 1; 0 when there are fewer. Sorts @values in
 * place, largest first, by insertion: meant for lists of a few dozen. */
int64_t fl_kth_largest (int64_t *values, size_t count, size_t k);
