#include "job/task_set.h"

#include <string.h>

/* The first byte of a set. */
enum form
{
  FORM_BITMAP, /* a bit for each number, the lowest in the lowest bit of the first byte */
  FORM_RANGES, /* of each range: the numbers left out before it, and its members less 1 */
  FORM_SINGLE, /* of each member: the numbers left out before it */
  FORM_COUNT
};

/* Numbers are written in groups of seven bits, the lowest first; the highest bit of a byte tells
 * that another one follows. */
#define GROUP_BITS 7
#define GROUP_MORE 0x80
#define GROUPS_MAX 5 /* 35 bits */

static size_t
count_groups (int64_t value)
{
  size_t count = 1;

  while ((value >>= GROUP_BITS) > 0)
    count++;
  return count;
}

static void
append_number (GByteArray *bytes, int64_t value)
{
  guint8 byte;

  for (; value >= GROUP_MORE; value >>= GROUP_BITS)
    {
      byte = (guint8)(value | GROUP_MORE);
      g_byte_array_append (bytes, &byte, 1);
    }
  byte = (guint8)value;
  g_byte_array_append (bytes, &byte, 1);
}

static const struct fl_task_range *
get_range (const GArray *ranges, guint index)
{
  return &g_array_index (ranges, struct fl_task_range, index);
}

/* Fills @bytes with the length of @ranges in each form, without the first byte. */
static void
count_bytes (const GArray *ranges, size_t bytes[FORM_COUNT])
{
  int64_t end = 0;

  bytes[FORM_RANGES] = bytes[FORM_SINGLE] = 0;
  for (guint i = 0; i < ranges->len; i++)
    {
      const struct fl_task_range *range = get_range (ranges, i);
      size_t gap = count_groups (range->first - end);
      bytes[FORM_RANGES] += gap + count_groups (range->count - 1);
      bytes[FORM_SINGLE] += gap + (size_t)(range->count - 1);
      end = range->first + range->count;
    }
  bytes[FORM_BITMAP] = (size_t)(end + 7) / 8;
}

static void
append_bitmap (GByteArray *bytes, const GArray *ranges, size_t len)
{
  guint offset = bytes->len;

  g_byte_array_set_size (bytes, offset + (guint)len);
  memset (bytes->data + offset, 0, len);
  for (guint i = 0; i < ranges->len; i++)
    for (int64_t j = 0; j < get_range (ranges, i)->count; j++)
      {
        int64_t number = get_range (ranges, i)->first + j;
        bytes->data[offset + number / 8] |= (guint8)(1 << number % 8);
      }
}

static void
append_ranges (GByteArray *bytes, const GArray *ranges, enum form form)
{
  int64_t end = 0;

  for (guint i = 0; i < ranges->len; i++)
    {
      const struct fl_task_range *range = get_range (ranges, i);
      append_number (bytes, range->first - end);
      if (form == FORM_RANGES)
        append_number (bytes, range->count - 1);
      for (int64_t j = 1; form == FORM_SINGLE && j < range->count; j++)
        append_number (bytes, 0);
      end = range->first + range->count;
    }
}

struct fl_str
fl_task_set_encode (const GArray *ranges)
{
  size_t lengths[FORM_COUNT];
  enum form form = FORM_BITMAP;

  if (ranges->len == 0)
    return (struct fl_str){ 0 };
  count_bytes (ranges, lengths);
  for (int i = 0; i < FORM_COUNT; i++)
    if (lengths[i] < lengths[form])
      form = (enum form)i;
  GByteArray *bytes = g_byte_array_new ();
  guint8 first = (guint8)form;
  g_byte_array_append (bytes, &first, 1);
  if (form == FORM_BITMAP)
    append_bitmap (bytes, ranges, lengths[form]);
  else
    append_ranges (bytes, ranges, form);
  struct fl_str set = fl_str_make ((const char *)bytes->data, bytes->len);
  g_byte_array_unref (bytes);
  return set;
}

/* Appends @count members from @first on to @ranges. */
static void
append_members (GArray *ranges, guint offset, int64_t first, int64_t count)
{
  struct fl_task_range range = { first, count };
  struct fl_task_range *last = ranges->len > offset
                                   ? &g_array_index (ranges, struct fl_task_range, ranges->len - 1)
                                   : NULL;

  if (last != NULL && last->first + last->count == first)
    last->count += count;
  else
    g_array_append_val (ranges, range);
}

/* Reads a number at @at, and advances @at past it. @return -1 if it is malformed. */
static int64_t
read_number (const struct fl_str *set, size_t *at)
{
  int64_t value = 0;

  for (int i = 0; i < GROUPS_MAX && *at < set->len; i++)
    {
      guint8 byte = (guint8)set->data[(*at)++];
      value |= (int64_t)(byte & (GROUP_MORE - 1)) << (GROUP_BITS * i);
      if ((byte & GROUP_MORE) == 0)
        return value;
    }
  return -1;
}

static bool
decode_ranges (const struct fl_str *set, enum form form, int64_t max, GArray *ranges)
{
  guint offset = ranges->len;
  int64_t end = 0;
  size_t at = 1;

  while (at < set->len)
    {
      int64_t gap = read_number (set, &at);
      int64_t more = form == FORM_RANGES ? read_number (set, &at) : 0;
      if (gap < 0 || more < 0 || end + gap + more >= max)
        return false;
      append_members (ranges, offset, end + gap, more + 1);
      end += gap + more + 1;
    }
  return true;
}

static bool
decode_bitmap (const struct fl_str *set, int64_t max, GArray *ranges)
{
  guint offset = ranges->len;

  for (size_t i = 1; i < set->len; i++)
    for (int bit = 0; bit < 8; bit++)
      {
        int64_t number = (int64_t)(i - 1) * 8 + bit;
        if (((guint8)set->data[i] >> bit & 1) == 0)
          continue;
        if (number >= max)
          return false;
        append_members (ranges, offset, number, 1);
      }
  return true;
}

bool
fl_task_set_decode (const struct fl_str *set, int64_t max, GArray *ranges)
{
  if (set->len == 0)
    return true;
  switch (set->data[0])
    {
    case FORM_BITMAP:
      return decode_bitmap (set, max, ranges);
    case FORM_RANGES:
    case FORM_SINGLE:
      return decode_ranges (set, (enum form)set->data[0], max, ranges);
    default:
      return false;
    }
}
