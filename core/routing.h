/** @file
 * Chooses the endpoint that serves a read, for the daemon of a cell (the
 * session daemon uses core/replicas.h).  Whether a replica is fresh enough is
 * predicted from the positions that polls returned; a guard query in the same
 * round trip as the read verifies it.  See docs/design.md, section 3.4.
 */
#ifndef CORE_ROUTING_H
#define CORE_ROUTING_H

#include "core/types.h"

/** What is known of the endpoints of one group. */
struct routing;

struct routing_options
{
  int endpoint_count;
  int64_t catch_up_us;   /**< Longest wait for a replica to catch up. */
  int64_t stale_poll_us; /**< Age after which a poll no longer counts. */
  bool primary_only;     /**< Replicas serve no reads, for comparison. */
};

/** A read that needs an endpoint. */
struct read_request
{
  enum freshness_class freshness;
  struct position after;    /**< Required position, from the session token; lsn
                               0 if none.  For FRESHNESS_READ_YOUR_WRITES. */
  int64_t max_staleness_us; /**< For FRESHNESS_BOUNDED. */
  unsigned tried;           /**< One bit per endpoint whose guard failed. */
  int64_t waited_us;        /**< Time waited so far for a replica. */
};

enum route_kind
{
  ROUTE_ENDPOINT, /**< Send the read to endpoint, with guard. */
  /** Replicas lag: choose again after wait_us, with wait_us added to waited_us
   * and no bit set in tried. */
  ROUTE_WAIT,
  ROUTE_BUSY, /**< Choose again when an endpoint has a free slot. */
  ROUTE_NONE  /**< No endpoint can serve the read now. */
};

/** The endpoint chosen for a read. */
struct route
{
  enum route_kind kind;
  int endpoint;
  bool is_replica;
  struct position guard; /**< Position that the endpoint must have replayed. */
  int64_t wait_us;
};

struct routing *routing_create (void *parent,
                                const struct routing_options *options);
/** Records the answer of an endpoint to a poll. */
void routing_record_status (struct routing *r, int endpoint,
                            const struct endpoint_status *status, int64_t now);
/** Records that the endpoint did not answer or that its connections broke. */
void routing_mark_failed (struct routing *r, int endpoint, int64_t now);
/** Records the newest term, its primary and its branch point. */
void routing_set_primary (struct routing *r, int endpoint, uint64_t term,
                          uint64_t branch_point);
/** Sets whether the endpoint is leaving the group; if so, it gets no new
 * requests. */
void routing_set_leaving (struct routing *r, int endpoint, bool leaving);
/** Sets the number of requests that run at the endpoint, to balance load.  An
 * endpoint that runs as many as it has slots gets no request.
 * @param slots 0: no limit. */
void routing_set_load (struct routing *r, int endpoint, int running,
                       int slots);
/** Chooses the endpoint for a read. */
struct route routing_choose (struct routing *r,
                             const struct read_request *request, int64_t now);
/** @return whether any replica can serve reads now. */
bool routing_has_replica (const struct routing *r, int64_t now);
/** Checks the status that the guard query returned.
 * @return whether the read that followed it is valid. */
bool routing_guard_holds (const struct routing *r, const struct route *route,
                          const struct endpoint_status *status);

#endif
