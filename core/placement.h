/** @file
 * Which daemon is to own which service.  Services are spread by the size of
 * the VMs; among equals, daemons in the failure domain of the service's
 * primary come first.
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
  int capacity; /**< Of its VM, thousandths of a core; more than 0. */
  int owned;    /**< Services that it owns. */
};

/** A service that has no owner. */
struct placement_service
{
  uint64_t id;
  const char *failure_domain; /**< Of its primary, NULL if unknown. */
  /** An order of the daemons that is the same everywhere and another one for
   * each service; the highest rank comes first. */
  uint64_t (*rank) (uint64_t service, uint64_t daemon);
};

/** How late the loop of a daemon is, smoothed. */
struct placement_lag
{
  int64_t last;   /**< When it was looked at; 0: never. */
  int64_t lag_us; /**< Smoothed. */
};

/** Fold in that the loop has come to a timer of @p period_us again. */
void placement_lag_note (struct placement_lag *lag, int64_t period_us,
                         int64_t now);
/** @return what is left of @p capacity for others to count with, more than 0:
 * a VM that has turned slow, or has too much to do, answers late. */
int placement_capacity (const struct placement_lag *lag, int capacity);

/** @return the index of the daemon that is to own @p service, -1 if
 * @p count is 0. */
int placement_best (const struct placement_daemon *daemons, int count,
                    const struct placement_service *service);
/** @return the index of a daemon that should take one of the services that
 * the daemon @p self owns, -1 if they are spread well enough. */
int placement_relief (const struct placement_daemon *daemons, int count,
                      int self);

#endif
