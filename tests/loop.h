/** @file
 * Runs a tevent loop inside a test.
 */
#ifndef TESTS_LOOP_H
#define TESTS_LOOP_H

#include "common/clock.h"

#include <stdbool.h>
#include <tevent.h>

#define LOOP_TIMEOUT_MS 5000

static inline void
loop_on_timer (struct tevent_context *ev, struct tevent_timer *te,
               struct timeval now, void *data)
{
  (void)ev, (void)te, (void)now;
  *(bool *)data = true;
}

/** Run @p ev for @p ms, or until @p done returns true.
 * @param done may be NULL.
 * @return the last result of @p done, false if it is NULL. */
static inline bool
loop_run (struct tevent_context *ev, int ms, bool (*done) (const void *data),
          const void *data)
{
  bool expired = false;
  struct tevent_timer *timer
      = tevent_add_timer (ev, ev,
                          tevent_timeval_current_ofs (
                              (uint32_t)ms / 1000, (uint32_t)ms % 1000 * 1000),
                          loop_on_timer, &expired);
  bool reached = done != NULL && done (data);
  while (!reached && !expired && tevent_loop_once (ev) == 0)
    reached = done != NULL && done (data);
  if (!expired)
    talloc_free (timer);
  return reached;
}

#endif
