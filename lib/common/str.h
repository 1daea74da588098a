/* Length-counted strings.
 *
 * `struct fl_name` stores a short identifier inline and is copied by value; `struct fl_str` stores
 * any number of bytes on the heap. Both keep a NUL after the last byte for C library calls, but
 * only the length determines where they end.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Longest identifier in bytes. */
#define FL_NAME_MAX 95

/* A short identifier. A zero-initialized fl_name is empty. */
struct fl_name
{
  uint8_t len;
  char data[FL_NAME_MAX + 1];
};

/* Bytes on the heap, owned by the struct. A zero-initialized fl_str is empty. */
struct fl_str
{
  size_t len;
  char *data;
};

/* Makes a name of @len bytes at @data. Input longer than FL_NAME_MAX is truncated; callers check
 * the length of untrusted input first. */
struct fl_name fl_name_make (const char *data, size_t len);

/* Makes a name from a NUL-terminated string. Truncates like fl_name_make. */
struct fl_name fl_name_of (const char *text);

/* Makes a name from a printf format. Truncates like fl_name_make. */
struct fl_name fl_name_format (const char *format, ...) __attribute__ ((format (printf, 1, 2)));

bool fl_name_eq (const struct fl_name *a, const struct fl_name *b);

/* Hash and equality functions for a GHashTable whose keys are `struct fl_name *`. */
unsigned int fl_name_hash (const void *key);
int fl_name_equal (const void *a, const void *b);

/* Copies @len bytes to the heap. @data may be NULL when @len is 0. */
struct fl_str fl_str_make (const char *data, size_t len);

/* Copies a NUL-terminated string to the heap. */
struct fl_str fl_str_of (const char *text);

struct fl_str fl_str_dup (const struct fl_str *str);

/* Frees the bytes and leaves @str empty. */
void fl_str_clear (struct fl_str *str);

/* @return the bytes followed by a NUL, or "" for an empty string; never NULL. */
const char *fl_str_text (const struct fl_str *str);
