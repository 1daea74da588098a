#include "common/endpoint.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#define LINK_SCHEME "tcp://"
#define PORT_DIGITS_MAX 5

static bool
parse_port (const char *digits, size_t len, int64_t *port)
{
  int64_t value = 0;

  if (len < 1 || len > PORT_DIGITS_MAX || digits[0] == '0')
    return false;
  for (size_t i = 0; i < len; i++)
    {
      if (!g_ascii_isdigit (digits[i]))
        return false;
      value = value * 10 + (digits[i] - '0');
    }
  if (value > FL_PORT_MAX)
    return false;
  *port = value;
  return true;
}

bool
fl_endpoint_parse (const struct fl_name *text, struct fl_name *address, int64_t *port)
{
  const char *colon = memchr (text->data, ':', text->len);
  struct in_addr ip;

  if (colon == NULL)
    return false;
  size_t host_len = (size_t)(colon - text->data);
  struct fl_name host = fl_name_make (text->data, host_len);
  if (inet_pton (AF_INET, host.data, &ip) != 1 || strlen (host.data) != host_len
      || !parse_port (colon + 1, text->len - host_len - 1, port))
    return false;
  *address = host;
  return true;
}

bool
fl_endpoint_is_valid (const struct fl_name *text)
{
  struct fl_name address;
  int64_t port;

  return fl_endpoint_parse (text, &address, &port);
}

bool
fl_endpoint_is_link (const struct fl_name *text)
{
  size_t scheme_len = strlen (LINK_SCHEME);

  if (text->len <= scheme_len || strncmp (text->data, LINK_SCHEME, scheme_len) != 0)
    return false;
  struct fl_name endpoint = fl_name_make (text->data + scheme_len, text->len - scheme_len);
  return fl_endpoint_is_valid (&endpoint);
}

bool
fl_name_is_header_safe (const struct fl_name *name)
{
  for (size_t i = 0; i < name->len; i++)
    if (g_ascii_iscntrl (name->data[i]))
      return false;
  return name->len > 0;
}
