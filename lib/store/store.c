#include "store/store.h"

const char *
fl_store_status_name (enum fl_store_status status)
{
  static const char *const names[] = { "ok", "conflict", "rejected", "unknown", "history_gone" };

  return names[status];
}
