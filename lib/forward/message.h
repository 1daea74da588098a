/* Messages between the owner of the pool and the hosts that forward its orders to targets. */
#pragma once

#include "common/schema.h"
#include "targets/calls.h"

enum fl_forward_kind
{
  FL_FORWARD_START,
  FL_FORWARD_STOP,
  FL_FORWARD_THROTTLE,
  FL_FORWARD_HEARTBEAT,
  FL_FORWARD_REPLY,
  FL_FORWARD_PING, /* checks whether a host forwards orders; the reply is FL_FORWARD_PONG */
  FL_FORWARD_PONG
};

/* One order or reply; members that its kind does not use are empty. */
struct fl_forward_message
{
  int kind;       /* enum fl_forward_kind */
  int64_t number; /* of the order, chosen by the owner; repeated in the reply */
  /* orders, as in targets/calls.h: */
  struct fl_name target;
  struct fl_name address;
  struct fl_name task;
  int64_t run;
  int64_t fencing_token;
  int64_t deadline_ms;
  int64_t share_percent;
  int64_t last_recorded_end;
  int64_t wait_ms; /* heartbeat: its wait; start: its reply_limit_ms */
  struct fl_str payload;
  struct fl_str checkpoint;
  struct fl_name ticket;
  /* replies: */
  int result; /* enum fl_order_result */
  int64_t clock_ms;
  bool is_stopping; /* the host rejects further orders, since its process is about to end */
  bool has_report;
  int64_t booted_at_ms;
  struct fl_array runs; /* of struct fl_run_row */
  struct fl_array ends; /* of struct fl_end_row */
};

/* One start of a batch. */
struct fl_forward_start
{
  struct fl_name target;
  struct fl_name address;
  struct fl_name peer; /* link address of the host that serves the target; empty for none */
  struct fl_name task;
  int64_t run;
  int64_t deadline_ms;
  struct fl_str checkpoint;
  struct fl_name ticket;
};

/* The result of one start of a batch. */
struct fl_forward_result
{
  int64_t index;    /* of the start */
  int result;       /* enum fl_order_result */
  int64_t clock_ms; /* as in struct fl_order_reply */
};

/* Starts that share a payload, or results of them. */
struct fl_forward_batch
{
  bool is_reply;
  int64_t number; /* of the batch, chosen by the owner; repeated in the replies */
  int64_t fencing_token;
  struct fl_str payload;
  struct fl_array starts;  /* of struct fl_forward_start */
  struct fl_array results; /* of struct fl_forward_result */
};

/* The same as the functions for messages below. */
void fl_forward_batch_encode (const struct fl_forward_batch *batch, msgpack_sbuffer *buffer);
bool fl_forward_batch_decode (const char *data,
                              size_t len,
                              struct fl_forward_batch *batch,
                              struct fl_error *error);
void fl_forward_batch_clear (struct fl_forward_batch *batch);

/* Appends the encoded @message to @buffer. */
void fl_forward_message_encode (const struct fl_forward_message *message, msgpack_sbuffer *buffer);

/* @return false with @error filled when the bytes are no valid message; @message can be cleared
 * either way. */
bool fl_forward_message_decode (const char *data,
                                size_t len,
                                struct fl_forward_message *message,
                                struct fl_error *error);

/* Frees the memory that a decoded message owns. */
void fl_forward_message_clear (struct fl_forward_message *message);
