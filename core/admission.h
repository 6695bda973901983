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
  bool fifo;           /**< Baseline: one queue for all. */
  int max_queued;      /**< Per organisation. */
  double browse_share; /**< Least part of the service for browsing. */
};

/** A queued request; the caller owns it and embeds or keeps it. */
struct admission_entry
{
  struct admission_entry *next;
  const char *organisation;
  enum admission_class class_;
  double weight;
  double cost;
  int64_t queued_at;
  int64_t deadline;
  void *request;
};

enum admission_verdict
{
  ADMISSION_QUEUED,
  ADMISSION_FULL,    /**< Refuse with not_run. */
  ADMISSION_TOO_LATE /**< The deadline cannot be met: not_run. */
};

struct admission *admission_create (void *parent,
                                    const struct admission_options *options);
/** @param retry_us set to the wait that a refused caller is told. */
enum admission_verdict admission_push (struct admission *a,
                                       struct admission_entry *entry,
                                       int64_t now, int64_t *retry_us);
/** Take the next request to run, or NULL. Entries whose deadline passed are
 * returned by admission_expired instead. */
struct admission_entry *admission_pop (struct admission *a, int64_t now);
struct admission_entry *admission_expired (struct admission *a, int64_t now);
/** Withdraw an entry, for a caller that went away. */
void admission_remove (struct admission *a, struct admission_entry *entry);
/** A popped request ended; feeds the queue time estimate. */
void admission_done (struct admission *a, const struct admission_entry *entry,
                     int64_t service_us, int64_t now);
int admission_queued (const struct admission *a);

/** Adaptive limit of requests at one endpoint. */
struct admission_limit *admission_limit_create (void *parent, int slots);
void admission_limit_set_slots (struct admission_limit *l, int slots);
bool admission_limit_start (struct admission_limit *l);
void admission_limit_end (struct admission_limit *l, int64_t latency_us,
                          bool failed, int64_t now);
int admission_limit_value (const struct admission_limit *l);
int admission_limit_running (const struct admission_limit *l);

#endif
