/* Interference: how much tasks of one class slow down beside tasks of another on the same target.
 *
 * Load pattern: tasks share more of a target than their declared resources tell, such as caches and
 * memory bandwidth. By free CPU alone, disturbing tasks are placed beside those that suffer most
 * from them, although other targets have room. The amounts change within seconds to minutes.
 *
 * A class is a queue and an image. The change in the slowness of victims when a neighbour comes is
 * compared with that when it does not, at a similar load, on the same target and on targets of the
 * same kind, so that slow or loaded targets are not taken for interference. Only several targets
 * make a pair known. Samples lose their weight within seconds, and a pair of which no samples come
 * any more is forgotten, so that it is tried again.
 *
 * Pure: no I/O, no clock. Memory is bounded. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/str.h"

/* Most classes. Further ones share the last one, since clients choose the names of images. */
#define FL_INTERFERENCE_CLASSES_MAX 32

struct fl_interference;

/* Refers to a class. It expires when the class has been idle and its place is needed for another
 * one. A zero-initialized reference is to no class. */
struct fl_interference_class
{
  uint32_t generation; /* of the place; 0 for no class */
  uint8_t place;       /* below FL_INTERFERENCE_CLASSES_MAX */
};

/* How the slowness of one run has changed while neighbours came, or while none did. */
struct fl_interference_sample
{
  struct fl_interference_class victim;
  uint32_t neighbours; /* set of the classes that came, by fl_interference_class_bit */
  uint32_t target;     /* hash of its id */
  uint32_t kind;       /* equal for targets that may be compared */
  int64_t load_percent;
  double slowness; /* ratio, above 0, of the time that the same work takes, after to before */
};

/* A pair that is known. */
struct fl_interference_pair
{
  struct fl_name victim_queue;
  struct fl_name victim_image;
  struct fl_name neighbour_queue;
  struct fl_name neighbour_image;
  int64_t slowdown_percent;
  int64_t targets; /* that contributed to the last estimate */
  int64_t samples; /* beside the neighbour in the last estimate, by weight */
};

enum fl_interference_change
{
  FL_INTERFERENCE_LEARNT,
  FL_INTERFERENCE_REFUTED, /* samples show no slowdown any more */
  FL_INTERFERENCE_FADED,   /* there are no recent samples to compare */
};

struct fl_interference *fl_interference_new (void);
void fl_interference_free (struct fl_interference *interference);

/* @return the class of @queue and @image, or none if it has no place now. */
struct fl_interference_class fl_interference_find_class (const struct fl_interference *interference,
                                                         const struct fl_name *queue,
                                                         const struct fl_name *image);

/* @return the class of @queue and @image. */
struct fl_interference_class fl_interference_get_class (struct fl_interference *interference,
                                                        const struct fl_name *queue,
                                                        const struct fl_name *image,
                                                        int64_t now_ms);

/* Whether @ref refers to a class and has not expired. */
bool fl_interference_class_is_valid (const struct fl_interference *interference,
                                     struct fl_interference_class ref);

/* @return the bit of a valid class in a set of classes. */
uint32_t fl_interference_class_bit (struct fl_interference_class ref);

/* Notes that the set @classes has been seen on a target, so that they keep their places. */
void
fl_interference_note_seen (struct fl_interference *interference, uint32_t classes, int64_t now_ms);

/* Learns from @sample, whose classes have to be valid. Ignores a slowness that is not positive. */
void fl_interference_add (struct fl_interference *interference,
                          const struct fl_interference_sample *sample,
                          int64_t now_ms);

/* Updates the known pairs, and calls @changed for each that has become known or is forgotten. Each
 * pair is examined once a second if this is called every 50 ms. */
void fl_interference_update (struct fl_interference *interference,
                             int64_t now_ms,
                             void (*changed) (void *context,
                                              const struct fl_interference_pair *pair,
                                              enum fl_interference_change change),
                             void *context);

/* @return the slowdown of @victim beside @neighbour as a share of its run time, 0 if the pair is
 * not known or a class is not valid. */
double fl_interference_slowdown (const struct fl_interference *interference,
                                 struct fl_interference_class victim,
                                 struct fl_interference_class neighbour);

int64_t fl_interference_pair_count (const struct fl_interference *interference);

/* Calls @visit for each known pair. */
void fl_interference_visit_pairs (const struct fl_interference *interference,
                                  void (*visit) (void *context,
                                                 const struct fl_interference_pair *pair),
                                  void *context);
