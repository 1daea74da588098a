/* Messages between the system's processes: typed structs, packed with MessagePack.
 *
 * MessagePack was chosen over CBOR because its C library has both a streaming packer and a zone
 * allocator that reads a whole message with one allocation; either would do.
 */
#pragma once

#include "common/schema.h"
#include "ticket/objects.h"

enum fl_message_type
{
  FL_MSG_HELLO,    /* any process to a scheduler: heartbeat */
  FL_MSG_STATUS,   /* the scheduler's answer */
  FL_MSG_TICKETS,  /* tickets that the receiver lacks */
  FL_MSG_VOTE_ASK, /* an owner or taker to a voter */
  FL_MSG_VOTE,     /* the voter's answer */
  FL_MSG_REQUEST,  /* an entry to the owner of a domain */
  FL_MSG_ANSWER,   /* the owner's answer */
  FL_MSG_CALL,     /* an entry to a scheduler: jobs and looking in */
  FL_MSG_RESULT,   /* the scheduler's answer */
  FL_MSG_PING,     /* an entry to an owner that is slow to answer */
  FL_MSG_PONG,     /* the owner's answer: it runs */
  FL_MSG_TYPES
};

enum fl_process_role
{
  FL_PROCESS_SCHED,
  FL_PROCESS_ENTRY
};

struct fl_hello
{
  struct fl_name instance;
  int role;               /* enum fl_process_role */
  struct fl_name address; /* of the sender's link, empty for entries */
  struct fl_name http;
  struct fl_name domain;
  struct fl_name region;
  int64_t config_head;
  int64_t stamp_ms;   /* the sender's clock; comes back in the answer */
  int64_t usage_seen; /* version of the receiver's usage that the sender has; -1 wants none */
  bool leaving;
};

struct fl_ping
{
  struct fl_name instance; /* of the sender */
};

/* What one owned domain has to offer. */
struct fl_domain_status
{
  struct fl_name domain;
  int64_t epoch;
  int64_t free_slots;
  int64_t free_cpu_milli;
  int64_t waiting;
  int64_t targets_ready;
  bool acting; /* authority is held and the jobs are loaded */
};

struct fl_usage_item
{
  struct fl_name team;
  struct fl_name domain;
  int64_t cost;
  int64_t running;
  int64_t waiting;
  bool stuck; /* a gang waits that the domain's allotment can never hold */
};

struct fl_status
{
  struct fl_name instance;
  struct fl_name address;
  struct fl_name http;
  struct fl_name domain;
  struct fl_name region;
  int64_t config_head;
  int64_t stamp_ms;
  int64_t entries_head; /* lowest head among the entries that the sender hears */
  bool leaving;
  struct fl_array domains; /* struct fl_domain_status */
  int64_t usage_version;
  struct fl_array usage; /* struct fl_usage_item: what has changed since `usage_seen` */
};

struct fl_ticket_text
{
  struct fl_str text; /* the recorded ticket as JSON */
};

struct fl_tickets
{
  struct fl_array tickets; /* struct fl_ticket_text, ascending numbers */
  int64_t head;
};

struct fl_vote_item
{
  struct fl_name domain;
  int64_t epoch;
  bool support; /* asked for support rather than a promise */
  bool granted; /* in the answer */
};

struct fl_vote_message
{
  struct fl_name instance; /* of the sender */
  int64_t stamp_ms;        /* of the asker's clock */
  struct fl_array items;   /* struct fl_vote_item */
};

struct fl_request_message
{
  struct fl_name entry; /* instance */
  int64_t id;
  int64_t attempt;
  struct fl_name team;
  struct fl_name domain;
  struct fl_request_spec spec;
};

struct fl_answer_message
{
  struct fl_name entry;
  int64_t id;
  int64_t attempt;
  int64_t outcome; /* enum fl_outcome */
  struct fl_name reason;
  struct fl_name target;
  int64_t retry_after_ms;
  bool elsewhere;
  struct fl_str result;
};

enum fl_call_op
{
  FL_OP_SUBMIT,
  FL_OP_CANCEL,
  FL_OP_JOB,
  FL_OP_JOBS,
  FL_OP_DUMP,
  FL_OP_TEAMS,
  FL_OP_HOSTS,
  FL_OP_DOMAINS,
  FL_OPS
};

struct fl_call_message
{
  struct fl_name entry;
  int64_t id;
  int64_t attempt;
  int op;
  struct fl_name team; /* empty: all teams */
  struct fl_name domain;
  struct fl_str body; /* JSON, or the job's id */
};

struct fl_result_message
{
  struct fl_name entry;
  int64_t id;
  int64_t attempt;
  int64_t outcome;
  struct fl_name reason;
  int64_t retry_after_ms;
  bool elsewhere;
  struct fl_str body; /* JSON */
};

/* Whether a message counts as control rather than carried work. */
bool fl_message_is_control (enum fl_message_type type);

/* Packs @object, a struct of the type's schema. Clear the buffer with msgpack_sbuffer_destroy. */
void fl_message_pack (enum fl_message_type type, const void *object, msgpack_sbuffer *buffer);

/* Room for any message struct. */
union fl_message
{
  struct fl_hello hello;
  struct fl_status status;
  struct fl_ping ping;
  struct fl_tickets tickets;
  struct fl_vote_message vote;
  struct fl_request_message request;
  struct fl_answer_message answer;
  struct fl_call_message call;
  struct fl_result_message result;
};

/* Reads a message of @len bytes. @return false with @error for anything malformed; nothing is
 * then left to clear. Clear the struct with fl_message_clear otherwise. */
bool fl_message_unpack (const char *data,
                        size_t len,
                        enum fl_message_type *type,
                        union fl_message *message,
                        struct fl_error *error);

void fl_message_clear (enum fl_message_type type, union fl_message *message);
