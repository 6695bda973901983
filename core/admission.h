/** @file
 * Admission of requests: queues per organisation and class, deadlines, early
 * refusal, and an adaptive concurrency limit per endpoint.  docs/design.md,
 * section 3.6.
 */
#ifndef CORE_ADMISSION_H
#define CORE_ADMISSION_H

#include "core/types.h"

/** The queues in front of a set of endpoints. */
struct admission;

/** The concurrency limit of one endpoint. */
struct admission_limit;

/** Class of a request, by what it does and how fresh its data must be. */
enum admission_class
{
  CLASS_WRITE,   /**< Writes and transactions. */
  CLASS_SESSION, /**< Reads that must see the session's own writes. */
  CLASS_BROWSE,  /**< Reads with a staleness bound or with none. */
  CLASS_COUNT
};

struct admission_options
{
  bool fifo; /**< Baseline for comparisons: one queue for all organisations and
                classes, with at most max_queued entries. */
  /** Most queued entries of one organisation: this many of CLASS_BROWSE, and
   * as many of the other classes together. */
  int max_queued;
  double browse_share;   /**< Smallest part of the served cost that
                            CLASS_BROWSE gets while entries of it wait, 0 to
                            0.9. */
  bool no_early_refusal; /**< Baseline for comparisons: queue requests until
                            the deadline passes. */
};

/** Queue of one organisation, for CLASS_BROWSE or for the other classes. */
struct admission_queue;

/** A queued request.  The user of this module allocates it, zeroed, and keeps
 * it until it was popped, expired or removed. */
struct admission_entry
{
  const char *organisation; /**< Valid while the entry is queued. */
  enum admission_class class_;
  double weight;     /**< Weight of the organisation; 1 if not positive. */
  double cost;       /**< Relative service time; 1 if not positive. */
  int64_t queued_at; /**< Set by admission_push. */
  int64_t deadline;  /**< Time by which the answer is due; 0: none. */
  void *request;     /**< For the module's user; not used by the module. */
  /* Private to the queue. */
  struct admission_entry *next, *previous;
  struct admission_queue *queue;
  size_t heap_index;
};

/** What admission_push decided about a request. */
enum admission_verdict
{
  ADMISSION_QUEUED,
  ADMISSION_FULL,    /**< The queue is full: refuse with not_run. */
  ADMISSION_TOO_LATE /**< The deadline cannot be met: refuse with not_run. */
};

struct admission *admission_create (void *parent,
                                    const struct admission_options *options);
/** Queue an entry or refuse it.  A refused entry is not kept.
 * @param retry_us set to the time after which a refused caller may retry. */
enum admission_verdict admission_push (struct admission *a,
                                       struct admission_entry *entry,
                                       int64_t now, int64_t *retry_us);
/** Remove the next request to run from its queue.  Entries whose deadline
 * passed, or would pass while they run, are returned by admission_pop_expired
 * instead.
 * @return NULL if there is none. */
struct admission_entry *admission_pop (struct admission *a, int64_t now);
/** Remove an entry whose deadline passed or cannot be met any more.
 * @return NULL if there is none. */
struct admission_entry *admission_pop_expired (struct admission *a,
                                               int64_t now);
/** Remove a queued entry whose caller disconnected; does nothing if the entry
 * is not queued. */
void admission_remove (struct admission *a, struct admission_entry *entry);
/** Record that a popped request ended, and update the estimate of the service
 * time with it.
 * @param service_us from admission_pop to now, negative if the request was
 * not served and says nothing about the service time. */
void admission_done (struct admission *a, const struct admission_entry *entry,
                     int64_t service_us, int64_t now);
/** @return the number of queued entries, expired ones included. */
int admission_queued (const struct admission *a);
/** @return the earliest deadline of a queued entry, which is the next time at
 * which admission_pop_expired returns one; INT64_MAX if there is none. */
int64_t admission_next_deadline (const struct admission *a);
/** @return the estimated time until @p entry would be answered if it were
 * queued now; 0 while no service time is known. */
int64_t admission_estimate (const struct admission *a,
                            const struct admission_entry *entry);

/** Create an adaptive limit of the requests that run at one endpoint at the
 * same time, from 1 to @p slots. */
struct admission_limit *admission_limit_create (void *parent, int slots);

/** How the limit follows the latency. */
enum admission_limit_mode
{
  LIMIT_ADAPTIVE,
  LIMIT_FIXED,   /**< Baseline for comparisons: always the number of slots. */
  LIMIT_NO_PROBE /**< Baseline for comparisons: the reference latency is
                    measured only once. */
};

/** Set how the limit follows the latency; LIMIT_ADAPTIVE at first. */
void admission_limit_set_mode (struct admission_limit *l,
                               enum admission_limit_mode mode);
/** Change the largest value of the limit. */
void admission_limit_set_slots (struct admission_limit *l, int slots);
/** Reserve a slot for a request.
 * @return false if the limit is reached; if true, admission_limit_end or
 * admission_limit_cancel must follow. */
bool admission_limit_start (struct admission_limit *l);
/** Release a slot that no request used. */
void admission_limit_cancel (struct admission_limit *l);
/** Release the slot of a request that ended, and adapt the limit.
 * @param latency_us from the start of the request to now.
 * @param failed whether the connection broke or the endpoint did not answer in
 * time; a statement that the endpoint rejected did not fail in this sense. */
void admission_limit_end (struct admission_limit *l, int64_t latency_us,
                          bool failed, int64_t now);
/** @return the limit now. */
int admission_limit_value (const struct admission_limit *l);
/** @return the number of reserved slots. */
int admission_limit_running (const struct admission_limit *l);

#endif
