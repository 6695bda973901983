#include "daemon/daemon.h"

#include "common/clock.h"
#include "common/log.h"
#include "daemon/front.h"
#include "daemon/peers.h"

#include <sodium.h>

#define PART "daemon"
#define DRAIN_CHECK_INTERVAL_US (50 * USEC_PER_MSEC)
/* Requests are still served for this long after the health check began to
   fail, so that the load balancer removes the VM before the daemon refuses
   requests. */
#define DRAIN_GRACE_US (2 * USEC_PER_SEC)

/** A timer that restarts itself each time it fires. */
struct repeating_timer
{
  struct daemon *daemon;
  int64_t interval_us;
  void (*run) (void *data);
  void *data;
};

static struct timeval
timeval_after (int64_t delay_us)
{
  if (delay_us < 0)
    delay_us = 0;
  return tevent_timeval_current_ofs ((uint32_t)(delay_us / USEC_PER_SEC),
                                     (uint32_t)(delay_us % USEC_PER_SEC));
}

static void
on_repeat (struct tevent_context *ev, struct tevent_timer *te,
           struct timeval now, void *data)
{
  (void)te, (void)now;
  struct repeating_timer *r = data;
  tevent_add_timer (ev, r, timeval_after (r->interval_us), on_repeat, r);
  r->run (r->data);
}

void
daemon_add_repeating_timer (struct daemon *d, void *parent,
                            int64_t interval_us, void (*run) (void *data),
                            void *data)
{
  struct repeating_timer *r = talloc (parent, struct repeating_timer);
  *r = (struct repeating_timer){ d, interval_us, run, data };
  tevent_add_timer (d->ev, r, timeval_after (interval_us), on_repeat, r);
}

struct tevent_timer *
daemon_add_timer (struct daemon *d, void *parent, int64_t delay_us,
                  tevent_timer_handler_t run, void *data)
{
  return tevent_add_timer (d->ev, parent, timeval_after (delay_us), run, data);
}

uint64_t
daemon_random_id (void)
{
  uint64_t value;
  do
    randombytes_buf (&value, sizeof value);
  while (value == 0);
  return value;
}

/** Progress of draining the daemon. */
struct drain
{
  struct daemon *daemon;
  int64_t started;
  bool refusing_requests; /**< New requests are refused. */
};

/* Refuses new requests once DRAIN_GRACE_US has passed, and stops the daemon
   once no request is running after that. */
static void
check_drain (void *data)
{
  struct drain *drain = data;
  struct daemon *d = drain->daemon;
  int64_t elapsed = clock_now () - drain->started;
  if (elapsed < DRAIN_GRACE_US)
    return;
  if (!drain->refusing_requests)
    {
      drain->refusing_requests = true;
      front_drain (d->front);
      cell_set_leaving (d->cell, true);
      budget_set_leaving (d->budget, true);
    }
  if (front_unfinished_count (d->front) > 0)
    return;
  if (!d->stopped)
    log_info (PART, "drained elapsed_ms=%d", (int)(elapsed / USEC_PER_MSEC));
  d->stopped = true;
}

void
daemon_drain (struct daemon *d)
{
  if (d->draining)
    return;
  struct drain *drain = talloc (d, struct drain);
  *drain = (struct drain){ d, clock_now (), false };
  d->draining = true;
  log_info (PART, "draining busy=%d", front_unfinished_count (d->front));
  daemon_add_repeating_timer (d, d, DRAIN_CHECK_INTERVAL_US, check_drain,
                              drain);
}
