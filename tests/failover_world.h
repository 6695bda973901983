/** @file
 * Simulator of one replication group in virtual time: several daemons with the
 * modules authority, failover and routing, and fakes of the endpoints, of the
 * group object on the platform and of the network.
 */
#ifndef TESTS_FAILOVER_WORLD_H
#define TESTS_FAILOVER_WORLD_H

#include "core/authority.h"
#include "core/failover.h"
#include "core/routing.h"

struct failover_world_options
{
  int endpoints, members; /**< Numbers of endpoints and of daemons. */
  int confirm;            /**< Replicas that must confirm a write. */
  int write_interval_ms;  /**< Time between the writes of a member; 0: 40. */
  int jitter_us;          /**< Random extra delay of each message. */
  uint64_t seed;
  /** Protections that the simulator switches off, so that a test can show
   * that the checks detect their absence. */
  bool no_fence_marker; /**< The authority module gets polled states without
                           their fence marker. */
  bool no_lease_wait;   /**< The driver takes a term as released by all members
                           as soon as it asks for the release. */
  bool no_confirmation; /**< Writes need no confirmation by a replica. */
  bool lost_update_succeeds; /**< The sender of an update without an answer
                                takes it as done. */
};

struct failover_world_result
{
  int violations;   /**< Broken invariants; the transcript has them. */
  int acknowledged; /**< Writes reported as committed. */
  int discarded;    /**< Writes reported to their callers as not_run. */
  int missing;      /**< Acknowledged writes that the newest primary lacks. */
  int64_t longest_ack_gap_us; /**< Longest time without an acknowledgement. */
  uint64_t term;              /**< The newest opened term. */
  int primary;      /**< Endpoint that is the primary of that term. */
  char *transcript; /**< One line per event, without polls. */
};

struct failover_world;

struct failover_world *
failover_world_create (void *parent,
                       const struct failover_world_options *options);
/** Run one command of a session, such as "fail e0"; eN is an endpoint, dN a
 * daemon and p the platform.
 * @return false if the command is unknown. */
bool failover_world_command (struct failover_world *w, const char *command);
void failover_world_run_until (struct failover_world *w, int64_t until_us);
int64_t failover_world_now (const struct failover_world *w);
/** At the end of a run, check the acknowledged and the discarded writes
 * against the log of the newest primary. */
void failover_world_check_writes (struct failover_world *w);
const struct failover_world_result *
failover_world_result (const struct failover_world *w);

#endif
