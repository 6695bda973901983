/** @file
 * Timers of a tevent loop that do not follow the time of day.  tevent counts
 * with the time of day: when that goes back by seconds, its timers are late by
 * as much, and a daemon sends no heartbeats meanwhile.
 */
#ifndef COMMON_TIMER_H
#define COMMON_TIMER_H

#include <stdint.h>
#include <tevent.h>

struct timer;

/** Call @p fire once, @p us microseconds from now by clock_now.  The timer is
 * freed before the call.
 * @param parent owner of the timer; freeing either cancels it. */
struct timer *timer_after (struct tevent_context *ev, void *parent, int64_t us,
                           void (*fire) (void *data), void *data);
/** Take the time of day, in microseconds, from @p now; for tests.  NULL: from
 * the system. */
void timer_use_time_of_day (int64_t (*now) (void));

#endif
