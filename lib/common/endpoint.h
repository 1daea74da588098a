/* Network addresses in text form, and names that are sent in headers. Other writers may have
 * written them: what passes these checks cannot choose the path or add a header of a request. */
#pragma once

#include "common/str.h"

#define FL_PORT_MAX 65535

/* Splits @text, "ip:port", an IPv4 address and a port from 1 to FL_PORT_MAX without leading zeros.
 * @return false, with @address and @port unchanged, if it is anything else. */
bool fl_endpoint_parse (const struct fl_name *text, struct fl_name *address, int64_t *port);

/* Whether fl_endpoint_parse accepts @text. */
bool fl_endpoint_is_valid (const struct fl_name *text);

/* Whether @text is "tcp://" and an endpoint, the address of a link. */
bool fl_endpoint_is_link (const struct fl_name *text);

/* Whether @name is not empty and has no control characters. */
bool fl_name_is_header_safe (const struct fl_name *name);
