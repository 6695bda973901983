/** @file
 * The endpoints of one database group: which of them serves a read, which
 * one takes over from a failed primary, and which positions a read needs.
 */
#ifndef CORE_REPLICAS_H
#define CORE_REPLICAS_H

#include "core/statement.h"

/** What is known of one endpoint. */
struct replica
{
  bool usable; /**< Answers, takes new work, belongs to the group. */
  bool is_primary;
  int slots;                /**< Statements that it runs at a time. */
  int running;              /**< Statements sent and not answered. */
  int64_t latency_us;       /**< Smoothed time of a statement. */
  struct position position; /**< Newest known position of its log. */
  int64_t behind_at;        /**< When it last lacked a position; 0: never. */
};

enum replicas_choice
{
  REPLICAS_FOUND,
  REPLICAS_FULL, /**< Endpoints fit, but all of them are busy. */
  REPLICAS_NONE
};

/** Choose the endpoint for a read.
 * @param required position that its log must have.
 * @param prefer_primary the newest data is needed; replicas serve it only
 * while no primary does.
 * @param index set if one was found. */
enum replicas_choice replicas_choose_read (const struct replica *replicas,
                                           int count, struct position required,
                                           bool prefer_primary, int64_t now,
                                           int *index);
/** @return the index of the usable endpoint with the newest log, -1 if there
 * is none.  The primary itself is left out. */
int replicas_choose_successor (const struct replica *replicas, int count);

/** @return how many statements an endpoint may have at a time. */
int replicas_limit (const struct replica *replica);
/** Fold a measured time into the smoothed one. */
void replicas_measure (struct replica *replica, int64_t latency_us);

/** Samples of the newest acknowledged position, for bounded reads. */
#define HISTORY_SAMPLES 128
#define HISTORY_STEP_US INT64_C (50000)

struct history
{
  struct
  {
    int64_t at;
    struct position position;
  } samples[HISTORY_SAMPLES];
  int first, count;
  struct position newest;
};

/** Forget everything; all commits before @p now are at most @p position. */
void history_restart (struct history *h, struct position position,
                      int64_t now);
/** A commit is about to be acknowledged. */
void history_note (struct history *h, struct position position, int64_t now);
/** Take a sample; called at least once a step. */
void history_sample (struct history *h, int64_t now);
/** @return a position that covers all commits acknowledged at @p time or
 * before. */
struct position history_at (const struct history *h, int64_t time);

#endif
