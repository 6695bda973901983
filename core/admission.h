/** @file
 * Queues per organisation and class, deadlines, early refusal and adaptive
 * concurrency per endpoint.  docs/design.md, section 3.6.
 */
#ifndef CORE_ADMISSION_H
#define CORE_ADMISSION_H

#include "core/types.h"

struct admission;
struct admission_limit;

enum admission_class
{
  CLASS_WRITE,   /**< Writes and transactions. */
  CLASS_SESSION, /**< Read-your-writes reads. */
  CLASS_BROWSE,  /**< Bounded or any. */
  CLASS_COUNT
};

struct admission_options
{
  bool fifo; /**< Baseline: one queue for all, max_queued entries in total. */
  /** Per organisation: so many for browsing, and as many for the other
   * classes. */
  int max_queued;
  double browse_share;   /**< Least part of the service for browsing, 0 to 0.9.
                          */
  bool no_early_refusal; /**< Baseline: queue until the deadline passes. */
};

struct admission_queue;

/** A queued request; the caller owns it and keeps it, zeroed at first, until
 * it was popped, expired or removed. */
struct admission_entry
{
  const char *organisation; /**< Valid while the entry is queued. */
  enum admission_class class_;
  double weight;     /**< Of the organisation; 1 if not positive. */
  double cost;       /**< Relative service time; 1 if not positive. */
  int64_t queued_at; /**< Set by admission_push. */
  int64_t deadline;  /**< Of the answer; 0 for none. */
  void *request;
  /* Private to the queue. */
  struct admission_entry *next, *previous;
  struct admission_queue *queue;
  size_t heap_index;
};

enum admission_verdict
{
  ADMISSION_QUEUED,
  ADMISSION_FULL,    /**< Refuse with not_run. */
  ADMISSION_TOO_LATE /**< The deadline cannot be met: not_run. */
};

struct admission *admission_create (void *parent,
                                    const struct admission_options *options);
/** Queue an entry or refuse it.  A refused entry is not kept.
 * @param retry_us set to the wait that a refused caller is told. */
enum admission_verdict admission_push (struct admission *a,
                                       struct admission_entry *entry,
                                       int64_t now, int64_t *retry_us);
/** Take the next request to run, or NULL.  Entries whose deadline passed, or
 * would pass while they run, are returned by admission_expired instead. */
struct admission_entry *admission_pop (struct admission *a, int64_t now);
struct admission_entry *admission_expired (struct admission *a, int64_t now);
/** Withdraw an entry, for a caller that went away. */
void admission_remove (struct admission *a, struct admission_entry *entry);
/** A popped request ended; feeds the queue time estimate.
 * @param service_us from admission_pop to now, negative if the request was
 * not served and says nothing about the service time. */
void admission_done (struct admission *a, const struct admission_entry *entry,
                     int64_t service_us, int64_t now);
int admission_queued (const struct admission *a);
/** @return the earliest deadline of a queued entry, INT64_MAX if there is
 * none: the next time at which admission_expired has work. */
int64_t admission_next_deadline (const struct admission *a);
/** @return the estimated time until an entry like @p entry would be answered
 * if it were queued now, 0 while nothing was measured. */
int64_t admission_estimate (const struct admission *a,
                            const struct admission_entry *entry);

/** Adaptive limit of requests at one endpoint, from 1 to @p slots. */
struct admission_limit *admission_limit_create (void *parent, int slots);
enum admission_limit_mode
{
  LIMIT_ADAPTIVE,
  LIMIT_FIXED,   /**< Baseline: always the number of slots. */
  LIMIT_NO_PROBE /**< Baseline: the lowest latency is never forgotten. */
};

/** The default is LIMIT_ADAPTIVE. */
void admission_limit_set_mode (struct admission_limit *l,
                               enum admission_limit_mode mode);
void admission_limit_set_slots (struct admission_limit *l, int slots);
/** @return false if the limit is reached; if true, admission_limit_end or
 * admission_limit_cancel must follow. */
bool admission_limit_start (struct admission_limit *l);
/** Give a slot back that no request used. */
void admission_limit_cancel (struct admission_limit *l);
/** @param latency_us from the start to now.
 * @param failed the connection broke or the endpoint did not answer in time;
 * a statement that the endpoint rejected did not fail in this sense. */
void admission_limit_end (struct admission_limit *l, int64_t latency_us,
                          bool failed, int64_t now);
int admission_limit_value (const struct admission_limit *l);
int admission_limit_running (const struct admission_limit *l);

#endif
