/* libFuzzer target for every decoder: the first byte of the input chooses settings, a ticket, a
 * load plan's neighbours (job, request), or a message. Built by make fuzz-decoders. */
#include <stdint.h>
#include <stdlib.h>

#include "message/message.h"
#include "node/settings.h"
#include "ticket/ticket.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
try_settings (const char *text, size_t len)
{
  struct fl_settings settings;
  struct fl_problems problems = { 0 };

  fl_settings_parse (text, len, &settings, &problems);
  fl_settings_clear (&settings);
  fl_problems_clear (&problems);
}

/* A ticket that is read applies, and reads the same again from what is handed on. */
static void
try_ticket (const char *text, size_t len)
{
  struct fl_ticket ticket;
  struct fl_problems problems = { 0 };
  struct fl_config *config = fl_config_new ();

  if (fl_ticket_read (text, len, &ticket, &problems))
    {
      fl_config_apply (config, &ticket);
      json_decref (fl_config_since (config, 0));
    }
  fl_ticket_clear (&ticket);
  fl_problems_clear (&problems);
  fl_config_free (config);
}

static void
try_schema (const struct fl_schema *schema, const char *text, size_t len)
{
  struct fl_problems problems = { 0 };
  json_t *json = fl_json_parse (text, len, NULL);
  void *object = calloc (1, schema->size);

  if (json != NULL && object != NULL)
    {
      fl_schema_from_json (schema, json, object, "x", &problems);
      fl_schema_clear (schema, object);
    }
  free (object);
  fl_problems_clear (&problems);
  json_decref (json);
}

/* A message that is read packs to one that is read again. */
static void
try_message (const char *data, size_t len)
{
  enum fl_message_type type;
  union fl_message message;
  union fl_message again;
  msgpack_sbuffer buffer;

  if (!fl_message_unpack (data, len, &type, &message, NULL))
    return;
  fl_message_pack (type, &message, &buffer);
  if (!fl_message_unpack (buffer.data, buffer.size, &type, &again, NULL))
    abort ();
  fl_message_clear (type, &again);
  fl_message_clear (type, &message);
  msgpack_sbuffer_destroy (&buffer);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  if (size == 0)
    return 0;
  const char *text = (const char *)data + 1;
  size_t len = size - 1;

  switch (data[0] % 5)
    {
    case 0:
      try_settings (text, len);
      break;
    case 1:
      try_ticket (text, len);
      break;
    case 2:
      try_schema (&fl_job_spec_schema, text, len);
      break;
    case 3:
      try_schema (&fl_request_spec_schema, text, len);
      break;
    default:
      try_message (text, len);
      break;
    }
  return 0;
}
