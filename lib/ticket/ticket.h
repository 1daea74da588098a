/* Tickets and the configuration that they add up to.
 *
 * A ticket carries a number and the whole new state of each object it touches. The configuration
 * keeps, for each object, the number of the ticket that set it, and takes only higher numbers; so
 * tickets may be applied in any order, more than once, and never revert.
 */
#pragma once

#include <glib.h>

#include "ticket/objects.h"

enum fl_object_kind
{
  FL_OBJECT_TEAM,
  FL_OBJECT_KEY,
  FL_OBJECT_QUEUE,
  FL_OBJECT_SERVICE,
  FL_OBJECT_KINDS
};

/* Names an object that a ticket removes. */
struct fl_removal
{
  int kind; /* enum fl_object_kind */
  struct fl_name name;
};

struct fl_ticket
{
  int64_t number;
  struct fl_array teams;    /* struct fl_team */
  struct fl_array keys;     /* struct fl_key */
  struct fl_array queues;   /* struct fl_queue */
  struct fl_array services; /* struct fl_service */
  struct fl_array removals; /* struct fl_removal */
};

extern const struct fl_schema fl_ticket_schema;
extern const char *const fl_object_kind_names[];

/* Reads a ticket from JSON text.
 * @return whether it is well-formed; @problems lists what is not. Clear @ticket either way. */
bool fl_ticket_read (const char *data,
                     size_t len,
                     struct fl_ticket *ticket,
                     struct fl_problems *problems);

void fl_ticket_clear (struct fl_ticket *ticket);

/* The digest by which two tickets with one number are told apart: hex BLAKE2b-256. */
struct fl_name fl_ticket_digest (const struct fl_ticket *ticket);

struct fl_config;

struct fl_config *fl_config_new (void);
void fl_config_free (struct fl_config *config);

/* The number up to which every ticket is known to be applied, 0 at the start. */
int64_t fl_config_head (const struct fl_config *config);

/* Lists what in @ticket cannot stand beside the objects in force: an unknown team, say. */
bool fl_config_check (const struct fl_config *config,
                      const struct fl_ticket *ticket,
                      struct fl_problems *problems);

/* Applies @ticket object by object. The head does not move: a ticket may come out of order, or be
 * one part of a larger one. @return how many objects changed. */
size_t fl_config_apply (struct fl_config *config, const struct fl_ticket *ticket);

/* @return the object in force, or NULL. Valid until the next apply. */
const struct fl_team *fl_config_team (const struct fl_config *config, const struct fl_name *name);
const struct fl_key *fl_config_key (const struct fl_config *config, const struct fl_name *name);
const struct fl_queue *fl_config_queue (const struct fl_config *config, const struct fl_name *name);
const struct fl_service *fl_config_service (const struct fl_config *config,
                                            const struct fl_name *name);

/* Calls @visit for each object of @kind in force, in no order. @object has the kind's struct. */
void fl_config_each (const struct fl_config *config,
                     enum fl_object_kind kind,
                     void (*visit) (void *context, const void *object),
                     void *context);

/* What tickets above @number have set and removed, as a JSON array of tickets with ascending
 * numbers that lead any configuration at @number to this one. Digests of keys are included. */
json_t *fl_config_since (const struct fl_config *config, int64_t number);

/* Raises the head to @number: every ticket up to it is known to be applied. */
void fl_config_raise_head (struct fl_config *config, int64_t number);

/* All objects of @kind as a JSON array, sorted by name; key digests are left out. */
json_t *fl_config_list (const struct fl_config *config, enum fl_object_kind kind);
