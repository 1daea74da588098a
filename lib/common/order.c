#include "common/order.h"

int64_t
fl_kth_largest (int64_t *values, size_t count, size_t k)
{
  for (size_t i = 1; i < count; i++)
    for (size_t j = i; j > 0 && values[j] > values[j - 1]; j--)
      {
        int64_t swap = values[j];
        values[j] = values[j - 1];
        values[j - 1] = swap;
      }
  return k >= 1 && k <= count ? values[k - 1] : 0;
}
