/** @file
 * Timers of a tevent loop that do not depend on the time of day.  The timers
 * of tevent do: when the time of day is set back by seconds, they are late by
 * as much, and a daemon sends no heartbeats meanwhile.
 */
#ifndef COMMON_TIMER_H
#define COMMON_TIMER_H

#include <stdint.h>
#include <tevent.h>

struct timer;

/** Call @p fire once, @p us microseconds from now as measured by clock_now.
 * The timer is freed before the call.
 * @param parent owner of the timer.  Freeing the timer or its owner cancels
 * the timer. */
struct timer *timer_after (struct tevent_context *ev, void *parent, int64_t us,
                           void (*fire) (void *data), void *data);
/** Replace the source of the time of day, in microseconds, for tests.
 * @param now NULL: the system's clock. */
void timer_use_time_of_day (int64_t (*now) (void));

#endif
