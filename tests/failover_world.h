/** @file
 * Several instances of the decision modules in virtual time, with small
 * fakes of the endpoints, of the group object and of the network.
 */
#ifndef TESTS_FAILOVER_WORLD_H
#define TESTS_FAILOVER_WORLD_H

#include "core/authority.h"
#include "core/failover.h"
#include "core/routing.h"

struct world_options
{
  int endpoints, members, confirm;
  int pace_ms;   /**< Between the writes of a member; 40 if 0. */
  int jitter_us; /**< Random extra delay of each message. */
  uint64_t seed;
  /** Mechanisms that the fakes switch off, so that a check is seen to
   * fail. */
  bool no_marker;       /**< Polls do not show the fence marker. */
  bool no_lease_wait;   /**< Releases are reported that nobody gave. */
  bool no_confirmation; /**< Writes need no replica. */
  bool no_op;           /**< A lost response counts as success. */
};

struct failover_world_result
{
  int violations;
  int acknowledged;
  int discarded;    /**< Writes whose callers were told not_run. */
  int missing;      /**< Acknowledged writes that the newest history lacks. */
  int64_t gap;      /**< Longest time without an acknowledgement, us. */
  uint64_t term;    /**< Newest opened. */
  int primary;      /**< Of that term. */
  char *transcript; /**< Everything but polls, one line per event. */
};

struct world;

struct world *failover_world_create (void *parent,
                                     const struct world_options *options);
/** Run one command of a session, such as "fail e0".
 * @return false if it is not known. */
bool failover_world_command (struct world *w, const char *command);
void world_run (struct world *w, int64_t until_us);
int64_t world_now (const struct world *w);
/** Compare the acknowledged writes with the newest opened history. */
void world_finish (struct world *w);
const struct failover_world_result *
failover_world_result (const struct world *w);

#endif
