#include "lease/owner_row.h"

#include <string.h>

json_t *
fl_owner_row_to_json (const struct fl_owner_row *row)
{
  json_t *voters = json_array ();

  for (int i = 0; i < row->voters.count; i++)
    json_array_append_new (voters, json_string (row->voters.names[i].data));
  return json_pack ("{s:s,s:I,s:o}", "owner", row->owner.data, "epoch", (json_int_t)row->epoch,
                    "voters", voters);
}

void
fl_owner_row_from_json (const json_t *value, int64_t version, struct fl_owner_row *row)
{
  const char *owner = json_string_value (json_object_get (value, "owner"));
  size_t i;
  json_t *voter;

  memset (row, 0, sizeof *row);
  row->exists = true;
  row->version = version;
  row->epoch = json_integer_value (json_object_get (value, "epoch"));
  row->owner = fl_name_of (owner != NULL ? owner : "");
  json_array_foreach (json_object_get (value, "voters"), i, voter)
  {
    if (json_is_string (voter) && row->voters.count < FL_VOTERS_MAX)
      row->voters.names[row->voters.count++] = fl_name_of (json_string_value (voter));
  }
}
