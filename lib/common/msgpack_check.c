#include "common/msgpack_check.h"

#include <inttypes.h>
#include <stdint.h>

/* What follows the first byte of an item. */
struct layout
{
  uint8_t length_bytes; /* of the big-endian length or count */
  uint8_t unit_items;   /* items for each unit of the length; 0: the length counts bytes */
  uint8_t fixed_bytes;  /* besides those that the length counts */
};

/* Of the first bytes 0xc0 to 0xdf. */
#define LAYOUT_FIRST 0xc0
#define LAYOUT_NEVER_USED 0xc1
static const struct layout layouts[] = {
  { 0, 0, 0 },  { 0, 0, 0 }, { 0, 0, 0 }, { 0, 0, 0 }, /* nil, never used, false, true */
  { 1, 0, 0 },  { 2, 0, 0 }, { 4, 0, 0 },              /* bin */
  { 1, 0, 1 },  { 2, 0, 1 }, { 4, 0, 1 },              /* ext, with the byte of its type */
  { 0, 0, 4 },  { 0, 0, 8 },                           /* float */
  { 0, 0, 1 },  { 0, 0, 2 }, { 0, 0, 4 }, { 0, 0, 8 }, /* uint */
  { 0, 0, 1 },  { 0, 0, 2 }, { 0, 0, 4 }, { 0, 0, 8 }, /* int */
  { 0, 0, 2 },  { 0, 0, 3 }, { 0, 0, 5 }, { 0, 0, 9 }, /* fixext, with the byte of its type */
  { 0, 0, 17 },                                        /* the largest fixext */
  { 1, 0, 0 },  { 2, 0, 0 }, { 4, 0, 0 },              /* str */
  { 2, 1, 0 },  { 4, 1, 0 }, { 2, 2, 0 }, { 4, 2, 0 }, /* array, map */
};

/* The size of one item without those that it contains. */
struct item
{
  size_t head_bytes; /* the first byte and the length */
  uint64_t bytes;    /* after the head */
  uint64_t items;    /* that the array or map claims */
};

/* Reads the head of the item at @data, of which @len bytes, at least 1, are there. */
static bool
read_item (const unsigned char *data, size_t len, struct item *item, struct fl_error *error)
{
  unsigned char first = data[0];
  uint64_t length = 0;

  *item = (struct item){ .head_bytes = 1 };
  if (first < 0x80 || first >= 0xe0) /* a small integer */
    return true;
  if (first < 0x90) /* a small map */
    item->items = 2 * (first & 0x0fU);
  else if (first < 0xa0) /* a small array */
    item->items = first & 0x0fU;
  else if (first < LAYOUT_FIRST) /* a short str */
    item->bytes = first & 0x1fU;
  if (first < LAYOUT_FIRST)
    return true;
  if (first == LAYOUT_NEVER_USED)
    return fl_fail (error, FL_INVALID, "msgpack_check", NULL, "byte 0x%02x has no type", first);
  const struct layout *layout = &layouts[first - LAYOUT_FIRST];
  item->head_bytes += layout->length_bytes;
  if (item->head_bytes > len)
    return fl_fail (error, FL_INVALID, "msgpack_check", NULL, "ends within a length");
  for (size_t i = 1; i < item->head_bytes; i++)
    length = length << 8 | data[i];
  item->items = length * layout->unit_items;
  item->bytes = layout->fixed_bytes + (layout->unit_items == 0 ? length : 0);
  return true;
}

bool
fl_msgpack_check (const char *data, size_t len, size_t *used, struct fl_error *error)
{
  uint64_t open_items[FL_MSGPACK_DEPTH_MAX]; /* still to be read, of each array or map */
  size_t depth = 0;
  size_t at = 0;

  *used = 0;
  do
    {
      struct item item;
      if (at == len)
        return fl_fail (error, FL_INVALID, "msgpack_check", NULL, "ends after %zu bytes", len);
      if (!read_item ((const unsigned char *)data + at, len - at, &item, error))
        return false;
      at += item.head_bytes;
      /* Each item takes at least one byte. */
      if (item.bytes > len - at || item.items > len - at)
        return fl_fail (error, FL_INVALID, "msgpack_check", NULL,
                        "%" PRIu64 " %s are claimed at byte %zu, of which %zu bytes are there",
                        item.items > 0 ? item.items : item.bytes,
                        item.items > 0 ? "items" : "bytes", at - item.head_bytes, len - at);
      at += (size_t)item.bytes;
      if (item.items > 0)
        {
          if (depth == FL_MSGPACK_DEPTH_MAX)
            return fl_fail (error, FL_INVALID, "msgpack_check", NULL,
                            "nested deeper than %d levels", FL_MSGPACK_DEPTH_MAX);
          open_items[depth++] = item.items;
          continue;
        }
      while (depth > 0 && --open_items[depth - 1] == 0)
        depth--;
    }
  while (depth > 0);
  *used = at;
  return true;
}
