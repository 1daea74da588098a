#include "message/message.h"

#include <stddef.h>

#define TEXT_MAX (1024 * 1024)
#define ITEMS_MAX 100000
/* Deeper than any message of ours. */
#define DEPTH_MAX 8

static const char *const process_role_names[] = { "sched", "entry", NULL };
static const char *const call_op_names[]
    = { "submit", "cancel", "job", "jobs", "dump", "teams", "hosts", "domains", NULL };

#define N(type_, member_)                                                                          \
  {                                                                                                \
#member_, FL_NAME, offsetof(struct type_, member_), true, 0, FL_NAME_MAX, 0, NULL, NULL        \
  }
#define I(type_, member_)                                                                          \
  {                                                                                                \
#member_, FL_INT, offsetof(struct type_, member_), true, INT64_MIN, INT64_MAX, 0, NULL, NULL   \
  }
#define B(type_, member_)                                                                          \
  {                                                                                                \
#member_, FL_BOOL, offsetof(struct type_, member_), true, 0, 1, 0, NULL, NULL                  \
  }
#define T(type_, member_)                                                                          \
  {                                                                                                \
#member_, FL_TEXT, offsetof(struct type_, member_), true, 0, TEXT_MAX, 0, NULL, NULL           \
  }
#define E(type_, member_, names_)                                                                  \
  {                                                                                                \
#member_, FL_ENUM, offsetof(struct type_, member_), true, 0, 0, 0, NULL, names_                \
  }
#define A(type_, member_, sub_)                                                                    \
  {                                                                                                \
#member_, FL_ARRAY, offsetof(struct type_, member_), true, 0, ITEMS_MAX, 0, sub_, NULL         \
  }
#define O(type_, member_, sub_)                                                                    \
  {                                                                                                \
#member_, FL_OBJECT, offsetof(struct type_, member_), true, 0, 0, 0, sub_, NULL                \
  }

static const struct fl_field hello_fields[] = {
  N (fl_hello, instance),    E (fl_hello, role, process_role_names),
  N (fl_hello, address),     N (fl_hello, http),
  N (fl_hello, domain),      N (fl_hello, region),
  I (fl_hello, config_head), I (fl_hello, stamp_ms),
  I (fl_hello, usage_seen),  B (fl_hello, leaving),
};
static FL_SCHEMA (hello_schema, fl_hello, hello_fields);

static const struct fl_field ping_fields[] = { N (fl_ping, instance) };
static FL_SCHEMA (ping_schema, fl_ping, ping_fields);

static const struct fl_field domain_status_fields[] = {
  N (fl_domain_status, domain),     I (fl_domain_status, epoch),
  I (fl_domain_status, free_slots), I (fl_domain_status, free_cpu_milli),
  I (fl_domain_status, waiting),    I (fl_domain_status, targets_ready),
  B (fl_domain_status, acting),
};
static FL_SCHEMA (domain_status_schema, fl_domain_status, domain_status_fields);

static const struct fl_field usage_item_fields[] = {
  N (fl_usage_item, team),    N (fl_usage_item, domain),  I (fl_usage_item, cost),
  I (fl_usage_item, running), I (fl_usage_item, waiting), B (fl_usage_item, stuck),
};
static FL_SCHEMA (usage_item_schema, fl_usage_item, usage_item_fields);

static const struct fl_field status_fields[] = {
  N (fl_status, instance),      N (fl_status, address),
  N (fl_status, http),          N (fl_status, domain),
  N (fl_status, region),        I (fl_status, config_head),
  I (fl_status, stamp_ms),      I (fl_status, entries_head),
  B (fl_status, leaving),       A (fl_status, domains, &domain_status_schema),
  I (fl_status, usage_version), A (fl_status, usage, &usage_item_schema),
};
static FL_SCHEMA (status_schema, fl_status, status_fields);

static const struct fl_field ticket_text_fields[] = { T (fl_ticket_text, text) };
static FL_SCHEMA (ticket_text_schema, fl_ticket_text, ticket_text_fields);

static const struct fl_field tickets_fields[]
    = { A (fl_tickets, tickets, &ticket_text_schema), I (fl_tickets, head) };
static FL_SCHEMA (tickets_schema, fl_tickets, tickets_fields);

static const struct fl_field vote_item_fields[] = {
  N (fl_vote_item, domain),
  I (fl_vote_item, epoch),
  B (fl_vote_item, support),
  B (fl_vote_item, granted),
};
static FL_SCHEMA (vote_item_schema, fl_vote_item, vote_item_fields);

static const struct fl_field vote_fields[] = {
  N (fl_vote_message, instance),
  I (fl_vote_message, stamp_ms),
  A (fl_vote_message, items, &vote_item_schema),
};
static FL_SCHEMA (vote_schema, fl_vote_message, vote_fields);

static const struct fl_field request_fields[] = {
  N (fl_request_message, entry),   I (fl_request_message, id),
  I (fl_request_message, attempt), N (fl_request_message, team),
  N (fl_request_message, domain),  O (fl_request_message, spec, &fl_request_spec_schema),
};
static FL_SCHEMA (request_schema, fl_request_message, request_fields);

static const struct fl_field answer_fields[] = {
  N (fl_answer_message, entry),          I (fl_answer_message, id),
  I (fl_answer_message, attempt),        I (fl_answer_message, outcome),
  N (fl_answer_message, reason),         N (fl_answer_message, target),
  I (fl_answer_message, retry_after_ms), B (fl_answer_message, elsewhere),
  T (fl_answer_message, result),
};
static FL_SCHEMA (answer_schema, fl_answer_message, answer_fields);

static const struct fl_field call_fields[] = {
  N (fl_call_message, entry),   I (fl_call_message, id),
  I (fl_call_message, attempt), E (fl_call_message, op, call_op_names),
  N (fl_call_message, team),    N (fl_call_message, domain),
  T (fl_call_message, body),
};
static FL_SCHEMA (call_schema, fl_call_message, call_fields);

static const struct fl_field result_fields[] = {
  N (fl_result_message, entry),     I (fl_result_message, id),
  I (fl_result_message, attempt),   I (fl_result_message, outcome),
  N (fl_result_message, reason),    I (fl_result_message, retry_after_ms),
  B (fl_result_message, elsewhere), T (fl_result_message, body),
};
static FL_SCHEMA (result_schema, fl_result_message, result_fields);

static const struct
{
  const struct fl_schema *schema;
  bool control;
} types[FL_MSG_TYPES] = {
  [FL_MSG_HELLO] = { &hello_schema, true },     [FL_MSG_STATUS] = { &status_schema, true },
  [FL_MSG_TICKETS] = { &tickets_schema, true }, [FL_MSG_VOTE_ASK] = { &vote_schema, true },
  [FL_MSG_VOTE] = { &vote_schema, true },       [FL_MSG_REQUEST] = { &request_schema, false },
  [FL_MSG_ANSWER] = { &answer_schema, false },  [FL_MSG_CALL] = { &call_schema, false },
  [FL_MSG_RESULT] = { &result_schema, false },  [FL_MSG_PING] = { &ping_schema, true },
  [FL_MSG_PONG] = { &ping_schema, true },
};

bool
fl_message_is_control (enum fl_message_type type)
{
  return types[type].control;
}

void
fl_message_pack (enum fl_message_type type, const void *object, msgpack_sbuffer *buffer)
{
  msgpack_packer packer;

  msgpack_sbuffer_init (buffer);
  msgpack_packer_init (&packer, buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, 2);
  msgpack_pack_int (&packer, (int)type);
  fl_schema_pack (types[type].schema, object, &packer);
}

/* --- counts --- */

/* Bytes that are left of a message. */
struct rest
{
  const unsigned char *at;
  size_t len;
};

static bool
skip (struct rest *rest, uint64_t bytes)
{
  if (bytes > rest->len)
    return false;
  rest->at += bytes;
  rest->len -= bytes;
  return true;
}

/* Reads a big-endian number of @bytes bytes. */
static bool
read_count (struct rest *rest, int bytes, uint64_t *count)
{
  *count = 0;
  for (int i = 0; i < bytes; i++)
    {
      if (rest->len == 0)
        return false;
      *count = *count << 8 | *rest->at;
      skip (rest, 1);
    }
  return true;
}

/* Whether one value of the types that fl_schema_pack writes stands at @rest, with no count beyond
 * the bytes that are left. The library allocates for a count before it looks at the items, so a
 * damaged count would cost any amount of memory. */
static bool
counts_are_true (struct rest *rest, int depth)
{
  uint64_t count = 0;

  if (rest->len == 0 || depth > DEPTH_MAX)
    return false;
  unsigned char type = *rest->at;
  skip (rest, 1);
  if (type <= 0x7f || type >= 0xe0 || type == 0xc2 || type == 0xc3)
    return true; /* small integers, false, true */
  if (type >= 0xc4 && type <= 0xc6)
    return read_count (rest, 1 << (type - 0xc4), &count) && skip (rest, count); /* bytes */
  if (type >= 0xcc && type <= 0xd3)
    return skip (rest, 1ULL << ((type - 0xcc) % 4)); /* integers of 1 to 8 bytes */
  if (type >= 0x90 && type <= 0x9f)
    count = type & 0x0f;
  else if ((type != 0xdc && type != 0xdd) || !read_count (rest, type == 0xdc ? 2 : 4, &count))
    return false;
  for (uint64_t i = 0; i < count; i++)
    if (!counts_are_true (rest, depth + 1))
      return false;
  return true;
}

static bool
read_packed (const msgpack_object *root,
             enum fl_message_type *type,
             union fl_message *message,
             struct fl_error *error)
{
  if (root->type != MSGPACK_OBJECT_ARRAY || root->via.array.size != 2
      || root->via.array.ptr[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER
      || root->via.array.ptr[0].via.u64 >= FL_MSG_TYPES)
    return fl_fail (error, FL_INVALID, "message_unpack", NULL, "not a message of a known type");
  *type = (enum fl_message_type)root->via.array.ptr[0].via.u64;
  if (fl_schema_unpack (types[*type].schema, &root->via.array.ptr[1], message, error))
    return true;
  fl_message_clear (*type, message);
  return false;
}

bool
fl_message_unpack (const char *data,
                   size_t len,
                   enum fl_message_type *type,
                   union fl_message *message,
                   struct fl_error *error)
{
  msgpack_unpacked unpacked;
  size_t offset = 0;
  bool ok;

  struct rest rest = { (const unsigned char *)data, len };

  if (!counts_are_true (&rest, 0) || rest.len > 0)
    return fl_fail (error, FL_INVALID, "message_unpack", NULL, "not one whole message");
  msgpack_unpacked_init (&unpacked);
  if (msgpack_unpack_next (&unpacked, data, len, &offset) != MSGPACK_UNPACK_SUCCESS
      || offset != len)
    ok = fl_fail (error, FL_INVALID, "message_unpack", NULL, "not one whole MessagePack value");
  else
    ok = read_packed (&unpacked.data, type, message, error);
  msgpack_unpacked_destroy (&unpacked);
  return ok;
}

void
fl_message_clear (enum fl_message_type type, union fl_message *message)
{
  fl_schema_clear (types[type].schema, message);
}
