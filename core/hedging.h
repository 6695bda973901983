/** @file
 * Decides when the answer to a read is overdue, so that the read is sent a
 * second time to another endpoint (a hedged read), and when the answer is
 * known to be lost.  A budget limits the second sends to a share of all
 * statements.  All times are in microseconds.
 */
#ifndef CORE_HEDGING_H
#define CORE_HEDGING_H

#include "core/replicas.h"

/** Options; a value of 0 means the default. */
struct hedging_options
{
  double share; /**< Most second sends for each statement; 0.02. */
  double burst; /**< Second sends that may come at once; 8. */
  /** Baseline for comparisons: reads are never sent a second time, and answers
   * are taken for lost by replicas_answer_is_lost. */
  bool disabled;
};

/** What is known of an unanswered read. */
struct hedging_read
{
  const struct replica_view *view; /**< Its endpoint. */
  int64_t sent_at;
  int64_t high_us;          /**< High quantile of its kind at the endpoint. */
  int64_t answered_at;      /**< When the endpoint last answered anything. */
  int64_t answered_sent_at; /**< When the newest of the statements that it has
                               answered was sent. */
};

/** The budget of second sends. */
struct hedging;

/** @param options NULL: all defaults. */
struct hedging *hedging_create (void *parent,
                                const struct hedging_options *options);
/** @return whether reads may be sent a second time at all. */
bool hedging_is_enabled (const struct hedging *h);
/** Counts a statement, whose first send adds to the budget. */
void hedging_count_statement (struct hedging *h);
/** Takes one second send from the budget. */
void hedging_spend (struct hedging *h);

/** @return whether the read is to be sent a second time: its answer is later
 * than nearly all of its kind, although the endpoint answers, and the budget
 * allows it. */
bool hedging_is_due (const struct hedging *h, const struct hedging_read *read,
                     int64_t now);
/** @return whether the answer is to be taken for lost. */
bool hedging_is_lost (const struct hedging *h, const struct hedging_read *read,
                      int64_t now);

#endif
