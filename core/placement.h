/** @file
 * Chooses the session daemon that is to own a service.  Services are
 * distributed in proportion to the size of the VMs; among equally loaded
 * daemons those in the failure domain of the service's primary come first.
 */
#ifndef CORE_PLACEMENT_H
#define CORE_PLACEMENT_H

#include <stdbool.h>
#include <stdint.h>

/** A daemon that may own services. */
struct placement_daemon
{
  uint64_t id;
  const char *failure_domain;
  int capacity; /**< Capacity of its VM, thousandths of a core; more than 0. */
  int owned;    /**< Services that it owns. */
};

/** A service that has no owner. */
struct placement_service
{
  uint64_t id;
  const char
      *failure_domain; /**< Failure domain of its primary; NULL: unknown. */
  /** Decides between daemons that are otherwise equal: the one with the
   * highest rank is chosen.  Every daemon computes the same ranks; their order
   * differs from service to service. */
  uint64_t (*rank) (uint64_t service, uint64_t daemon);
};

/** What a daemon does for a service that has no owner. */
enum placement_action
{
  PLACEMENT_WAIT,  /**< Another daemon claims or assigns it. */
  PLACEMENT_CLAIM, /**< Claim it. */
  PLACEMENT_ASSIGN /**< Tell the chosen daemon to claim it. */
};

/** What a daemon knows when services have no owner. */
struct placement_view
{
  uint64_t self;
  /** While a fleet starts, one daemon assigns the services: the others have
   * different views of who is ready, and would claim the same ones.  0: each
   * daemon claims those that it ranks first for. */
  uint64_t assigner;
  const struct placement_daemon *daemons;
  int count;
};

/** How late the event loop of a daemon runs its timers. */
struct placement_lag
{
  int64_t last;   /**< Time of the newest timer; 0: none yet. */
  int64_t lag_us; /**< Exponential moving average. */
};

/** Updates the moving average when a timer of @p period_us has run. */
void placement_update_lag (struct placement_lag *lag, int64_t period_us,
                           int64_t now);
/** @return the part of @p capacity that this daemon reports to the others,
 * more than 0.  It is smaller if the event loop lags, as on a VM that has
 * become slow or is overloaded. */
int placement_effective_capacity (const struct placement_lag *lag,
                                  int capacity);

/** @return the index of the daemon that is to own @p service; -1 if @p count
 * is 0. */
int placement_choose_owner (const struct placement_daemon *daemons, int count,
                            const struct placement_service *service);
/** Decides who claims a service that has no owner.
 * @param unowned_us for how long it could have been claimed.
 * @param chosen set to the index of the daemon that is to own it; -1: there is
 * none. */
enum placement_action
placement_decide (const struct placement_view *view,
                  const struct placement_service *service, int64_t unowned_us,
                  int *chosen);
/** @return the index of a daemon to which the daemon at @p self should move
 * one of its services; -1 if the load is balanced well enough. */
int placement_choose_rebalance_target (const struct placement_daemon *daemons,
                                       int count, int self);

#endif
