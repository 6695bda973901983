#include "core/placement.h"

#include <string.h>

/* A service is moved only if the load of its owner is at least this percentage
   of the load that the next owner will have: a move interrupts the service for
   some ten milliseconds, and two daemons may choose the same target. */
#define REBALANCE_PERCENT 150

/* After this time any daemon claims a service that has no owner: the best
   candidate, or the one that assigns services, may not know that. */
#define OTHERS_CLAIM_DELAY_US 400000

/* A lag up to this is usual on a VM that has a small part of a core. */
#define USUAL_LAG_US 15000
/* Upper bound for one measurement, so that a single pause of the whole process
   counts no more than this. */
#define MAX_LAG_US 300000
/* Weight of the newest measurement in the moving average, as a divisor. */
#define LAG_DIVISOR 8

void
placement_update_lag (struct placement_lag *lag, int64_t period_us,
                      int64_t now)
{
  int64_t late = lag->last != 0 ? now - lag->last - period_us : 0;
  late = late < 0 ? 0 : late > MAX_LAG_US ? MAX_LAG_US : late;
  lag->lag_us += (late - lag->lag_us) / LAG_DIVISOR;
  lag->last = now;
}

int
placement_effective_capacity (const struct placement_lag *lag, int capacity)
{
  int64_t left = capacity;
  if (lag->lag_us > USUAL_LAG_US)
    left = left * USUAL_LAG_US / lag->lag_us;
  return left > 0 ? (int)left : 1;
}

/* Compares the loads that two daemons would have with one more service each.
   @return negative, 0 or positive, as for qsort. */
static int
compare_load (const struct placement_daemon *a,
              const struct placement_daemon *b)
{
  int64_t x = (int64_t)(a->owned + 1) * b->capacity;
  int64_t y = (int64_t)(b->owned + 1) * a->capacity;
  return (x > y) - (x < y);
}

static bool
is_in_primary_domain (const struct placement_daemon *d,
                      const struct placement_service *service)
{
  return service->failure_domain != NULL && d->failure_domain != NULL
         && strcmp (d->failure_domain, service->failure_domain) == 0;
}

/* @return whether @p a is to own the service rather than @p b. */
static bool
is_better_owner (const struct placement_daemon *a,
                 const struct placement_daemon *b,
                 const struct placement_service *service)
{
  int order = compare_load (a, b);
  if (order != 0)
    return order < 0;
  if (is_in_primary_domain (a, service) != is_in_primary_domain (b, service))
    return is_in_primary_domain (a, service);
  return service->rank (service->id, a->id)
         > service->rank (service->id, b->id);
}

int
placement_choose_owner (const struct placement_daemon *daemons, int count,
                        const struct placement_service *service)
{
  int best = -1;
  for (int i = 0; i < count; i++)
    if (best < 0 || is_better_owner (&daemons[i], &daemons[best], service))
      best = i;
  return best;
}

enum placement_action
placement_decide (const struct placement_view *view,
                  const struct placement_service *service, int64_t unowned_us,
                  int *chosen)
{
  *chosen = placement_choose_owner (view->daemons, view->count, service);
  if (*chosen < 0)
    return PLACEMENT_WAIT;
  bool is_own = view->daemons[*chosen].id == view->self;
  if (unowned_us > OTHERS_CLAIM_DELAY_US)
    return PLACEMENT_CLAIM;
  if (view->assigner != 0 && view->assigner != view->self)
    return PLACEMENT_WAIT;
  if (is_own)
    return PLACEMENT_CLAIM;
  return view->assigner == view->self ? PLACEMENT_ASSIGN : PLACEMENT_WAIT;
}

int
placement_choose_rebalance_target (const struct placement_daemon *daemons,
                                   int count, int self)
{
  const struct placement_daemon *own = &daemons[self];
  int best = -1;
  if (own->owned < 1)
    return -1;
  for (int i = 0; i < count; i++)
    if (i != self
        && (best < 0 || compare_load (&daemons[i], &daemons[best]) < 0))
      best = i;
  if (best < 0)
    return -1;
  const struct placement_daemon *to = &daemons[best];
  int64_t before = (int64_t)own->owned * to->capacity * 100;
  int64_t after = (int64_t)(to->owned + 1) * own->capacity * REBALANCE_PERCENT;
  return before >= after ? best : -1;
}
