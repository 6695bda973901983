/** @file
 * Chooses the endpoint that serves a read.  Freshness is predicted from
 * polled positions; a guard query in the same round trip verifies it.
 * docs/design.md, section 3.4.
 */
#ifndef CORE_ROUTING_H
#define CORE_ROUTING_H

#include "core/types.h"

struct routing;

struct routing_options
{
  int endpoint_count;
  int64_t catch_up_us;   /**< Longest wait for a replica to catch up. */
  int64_t stale_poll_us; /**< Age after which a poll no longer counts. */
  bool primary_only;     /**< Baseline: replicas serve no reads. */
};

struct read_request
{
  enum freshness_class freshness;
  struct position after;    /**< From the session token; lsn 0 if none. */
  int64_t max_staleness_us; /**< For FRESHNESS_BOUNDED. */
  unsigned tried;           /**< Bit per endpoint whose guard failed. */
  int64_t waited_us;        /**< Spent waiting to catch up so far. */
};

enum route_kind
{
  ROUTE_ENDPOINT, /**< Send to endpoint, guarded by min_position. */
  /** Replicas lag: ask again after wait_us, with wait_us added to waited_us
   * and nothing in tried. */
  ROUTE_WAIT,
  ROUTE_BUSY, /**< Ask again when an endpoint has a free slot. */
  ROUTE_NONE  /**< Nothing can serve it now. */
};

struct route
{
  enum route_kind kind;
  int endpoint;
  bool is_replica;
  struct position guard; /**< The endpoint must have replayed this. */
  int64_t wait_us;
};

struct routing *routing_create (void *parent,
                                const struct routing_options *options);
void routing_observe (struct routing *r, int endpoint,
                      const struct endpoint_status *status, int64_t now);
/** The endpoint did not answer or its connections broke. */
void routing_failed (struct routing *r, int endpoint, int64_t now);
void routing_set_primary (struct routing *r, int endpoint, uint64_t term,
                          uint64_t branch_start);
/** Leaving endpoints get no new work. */
void routing_set_leaving (struct routing *r, int endpoint, bool leaving);
/** Requests running at the endpoint, to spread load.  With as many as slots
 * it gets no request. */
void routing_set_load (struct routing *r, int endpoint, int running,
                       int slots);
struct route routing_choose (struct routing *r,
                             const struct read_request *request, int64_t now);
/** @return whether a replica can serve reads at all now. */
bool routing_has_replica (const struct routing *r, int64_t now);
/** Check the guard's answer.
 * @return true if the read that followed it is valid. */
bool routing_guard_holds (const struct routing *r, const struct route *route,
                          const struct endpoint_status *status);

#endif
