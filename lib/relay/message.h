/* Messages between hosts: relayed calls to the store, and the replies. */
#pragma once

#include "common/schema.h"
#include "store/store.h"

enum fl_relay_call
{
  FL_RELAY_TRANSACT,
  FL_RELAY_READ,
  FL_RELAY_FEED
};

/* Conditions and writes are encoded as rows. The row of a condition has the key and the required
 * version; the row of a write has the key and the value, or is marked as removed. */
struct fl_relay_message
{
  bool is_reply;
  int64_t number; /* of the call, chosen by the calling host; repeated in the reply */
  /* calls: */
  int call; /* enum fl_relay_call */
  int64_t timeout_ms;
  struct fl_name table; /* reads and feeds */
  struct fl_name partition;
  struct fl_name first_key;
  struct fl_name end_key;
  int64_t after_version;
  int64_t wait_ms;
  struct fl_array conditions; /* of struct fl_store_row */
  struct fl_array writes;     /* of struct fl_store_row */
  /* replies: */
  int status;                /* enum fl_store_status */
  int64_t version;           /* newest version of the store */
  bool has_more;             /* the range holds more rows */
  struct fl_array rows;      /* of struct fl_store_row */
  struct fl_name error_text; /* empty for none */
  bool is_stopping;          /* rejected because the process of this host is about to end */
};

/* Appends the encoded @message to @buffer. */
void fl_relay_message_encode (const struct fl_relay_message *message, msgpack_sbuffer *buffer);

/* @return false with @error filled when the bytes are no valid message; @message can be cleared
 * either way. */
bool fl_relay_message_decode (const char *data,
                              size_t len,
                              struct fl_relay_message *message,
                              struct fl_error *error);

/* Frees the memory that a decoded message owns. */
void fl_relay_message_clear (struct fl_relay_message *message);

/* The message that calls @transaction; borrows from @transaction. Free its arrays with
 * fl_relay_message_free_rows. */
struct fl_relay_message
fl_relay_message_from_transaction (const struct fl_store_transaction *transaction);

/* The message that returns @reply; borrows everything from @reply. */
struct fl_relay_message fl_relay_message_from_reply (const struct fl_store_reply *reply);

/* Frees the arrays of a message made by fl_relay_message_from_transaction. */
void fl_relay_message_free_rows (struct fl_relay_message *message);
