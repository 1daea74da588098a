/* Structs shared by the files of lib/node/. */
#pragma once

#include "node/node.h"

struct fl_node
{
  struct fl_node_options options;
  struct fl_settings settings;
  struct ev_loop *loop;
  struct fl_clock clock;
  struct fl_log log;
  struct fl_stats *stats;
  struct fl_link *link;
  struct fl_http_client *client;
  struct fl_http_server *server;
  struct fl_table *table;
  struct fl_config *config;
  struct fl_name instance;
  GPtrArray *members; /* struct fl_member * */
  ev_timer tick;
  ev_timer hello;
  bool leaving;
  int64_t control_sent;
  int64_t control_received;
  int64_t work_sent;
  int64_t work_received;
  int64_t hellos;
  /* Configuration. */
  bool head_open; /* a read of the head row is on its way */
  bool objects_loaded;
  int64_t head_asked_ms;
  int64_t head_wanted;     /* as the head row says */
  int64_t head_contact_ms; /* when that read was sent */
  int64_t contact_ms;      /* the latest time of which it is known that all tickets were met */
  int64_t table_ok_ms;     /* 0: the table never answered */
  /* Member rows. */
  bool members_open;
  int64_t members_asked_ms;
  int64_t row_written_ms;
  int64_t row_beat;
};

/* --- members.c --- */

void fl_node_tick_members (struct fl_node *node, int64_t now_ms);
void
fl_node_on_hello (struct fl_node *node, const struct fl_route *from, const struct fl_hello *hello);
void fl_node_on_status (struct fl_node *node, const struct fl_status *status);
void fl_node_on_pong (struct fl_node *node, const struct fl_ping *pong);
void fl_node_drop_row (struct fl_node *node);

/* --- follow.c --- */

void fl_node_tick_config (struct fl_node *node, int64_t now_ms);
void fl_node_on_tickets (struct fl_node *node, const struct fl_tickets *tickets);
void fl_node_hand_on (struct fl_node *node, const struct fl_route *to, int64_t their_head);
void fl_node_update_contact (struct fl_node *node);
