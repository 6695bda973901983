#include "core/placement.h"

#include <string.h>

/* A service is moved only if its owner has this much more load than the new
   one will have, in percent: a move costs some ten milliseconds of the
   service's time, and two daemons may choose the same target. */
#define RELIEF_PERCENT 150

/* Lateness up to this is usual on a VM with a small share of a core. */
#define USUAL_LAG_US 15000
/* One pause of the whole process counts no more than this. */
#define MOST_LAG_US 300000
/* Weight of the newest lateness, as a divisor. */
#define LAG_DIVISOR 8

void
placement_lag_note (struct placement_lag *lag, int64_t period_us, int64_t now)
{
  int64_t late = lag->last != 0 ? now - lag->last - period_us : 0;
  late = late < 0 ? 0 : late > MOST_LAG_US ? MOST_LAG_US : late;
  lag->lag_us += (late - lag->lag_us) / LAG_DIVISOR;
  lag->last = now;
}

int
placement_capacity (const struct placement_lag *lag, int capacity)
{
  int64_t left = capacity;
  if (lag->lag_us > USUAL_LAG_US)
    left = left * USUAL_LAG_US / lag->lag_us;
  return left > 0 ? (int)left : 1;
}

/* Compare the load of two daemons if each had one more service.
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
is_near (const struct placement_daemon *d,
         const struct placement_service *service)
{
  return service->failure_domain != NULL && d->failure_domain != NULL
         && strcmp (d->failure_domain, service->failure_domain) == 0;
}

static bool
is_better (const struct placement_daemon *a, const struct placement_daemon *b,
           const struct placement_service *service)
{
  int order = compare_load (a, b);
  if (order != 0)
    return order < 0;
  if (is_near (a, service) != is_near (b, service))
    return is_near (a, service);
  return service->rank (service->id, a->id)
         > service->rank (service->id, b->id);
}

int
placement_best (const struct placement_daemon *daemons, int count,
                const struct placement_service *service)
{
  int best = -1;
  for (int i = 0; i < count; i++)
    if (best < 0 || is_better (&daemons[i], &daemons[best], service))
      best = i;
  return best;
}

int
placement_relief (const struct placement_daemon *daemons, int count, int self)
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
  int64_t after = (int64_t)(to->owned + 1) * own->capacity * RELIEF_PERCENT;
  return before >= after ? best : -1;
}
