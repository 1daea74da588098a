/* Messages between hosts that carry calls to the store and their answers. */
#pragma once

#include "common/schema.h"
#include "store/store.h"

enum fl_relay_call
{
  FL_RELAY_TRANSACT,
  FL_RELAY_READ,
  FL_RELAY_FEED
};

/* Rows are those of the store: beside the key, a condition has the version, a write the value or
 * that the row is removed. */
struct fl_relay_message
{
  bool is_reply;
  int64_t number; /* of the call, chosen by the asking process */
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
  /* answers: */
  int status;                /* enum fl_store_status */
  int64_t version;           /* of the store */
  bool has_more;             /* the range holds more rows */
  struct fl_array rows;      /* of struct fl_store_row */
  struct fl_name error_text; /* text, empty for none */
};

/* Appends the encoded @message to @buffer. */
void fl_relay_message_encode (const struct fl_relay_message *message, msgpack_sbuffer *buffer);

/* @return false with @error filled for bytes that are no message; @message can be cleared then. */
bool fl_relay_message_decode (const char *data,
                              size_t len,
                              struct fl_relay_message *message,
                              struct fl_error *error);

/* Frees what a decoded message owns. */
void fl_relay_message_clear (struct fl_relay_message *message);

/* The call for @transaction, borrowing from it; free the arrays with fl_relay_message_free_rows. */
struct fl_relay_message
fl_relay_message_from_transaction (const struct fl_store_transaction *transaction);

/* The answer that tells @reply, borrowing all from it. */
struct fl_relay_message fl_relay_message_from_reply (const struct fl_store_reply *reply);

/* Frees the arrays of a call made by fl_relay_message_from_transaction. */
void fl_relay_message_free_rows (struct fl_relay_message *message);
