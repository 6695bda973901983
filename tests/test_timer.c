/** Timers while the time of day jumps. */
#include "common/clock.h"
#include "common/timer.h"
#include "tests/tests.h"

#include <stdio.h>
#include <talloc.h>

#define DELAY_US (60 * USEC_PER_MSEC)
/* The loop's resolution and a busy machine. */
#define LATE_US (400 * USEC_PER_MSEC)
#define STEP_US (3 * USEC_PER_SEC)

static int64_t step;

static int64_t
stepped_time_of_day (void)
{
  struct timespec ts;
  clock_gettime (CLOCK_REALTIME, &ts);
  return (int64_t)ts.tv_sec * USEC_PER_SEC + ts.tv_nsec / 1000 + step;
}

static void
note (void *data)
{
  *(int64_t *)data = clock_now ();
}

static void
ignore (struct tevent_context *ev, struct tevent_timer *te, struct timeval at,
        void *data)
{
  (void)ev, (void)te, (void)at, (void)data;
}

/* Set a timer while the time of day is @p before ahead of the system's, then
   let it be @p after ahead.
   @return after which time it fired. */
static int64_t
fired_after (int64_t before, int64_t after)
{
  struct tevent_context *ev = tevent_context_init (NULL);
  int64_t fired = 0, begin = clock_now ();
  step = before;
  timer_use_time_of_day (stepped_time_of_day);
  timer_after (ev, ev, DELAY_US, note, &fired);
  step = after;
  while (fired == 0 && clock_now () - begin < 2 * STEP_US)
    {
      /* tevent itself lives by the system's time. */
      tevent_add_timer (ev, ev, tevent_timeval_current_ofs (0, 10000), ignore,
                        NULL);
      tevent_loop_once (ev);
    }
  timer_use_time_of_day (NULL);
  talloc_free (ev);
  return fired - begin;
}

/* Pattern: the time of day goes back by seconds while a timer is set. */
static void
clock_that_goes_back_delays_nothing (void)
{
  int64_t us = fired_after (STEP_US, 0);
  CU_ASSERT_TRUE (us >= DELAY_US && us <= DELAY_US + LATE_US);
}

/* Pattern: it goes ahead; nothing fires early. */
static void
clock_that_goes_ahead_hurries_nothing (void)
{
  int64_t us = fired_after (-STEP_US, 0);
  CU_ASSERT_TRUE (us >= DELAY_US - 2 * USEC_PER_MSEC
                  && us <= DELAY_US + LATE_US);
}

static void
steady_clock_is_kept (void)
{
  int64_t us = fired_after (0, 0);
  CU_ASSERT_TRUE (us >= DELAY_US - 2 * USEC_PER_MSEC
                  && us <= DELAY_US + LATE_US);
}

/* Guards against a call for a timer that was freed, alone or with its
   parent, and against a broken list of timers. */
static void
freed_timer_does_not_fire (void)
{
  struct tevent_context *ev = tevent_context_init (NULL);
  int64_t fired[4] = { 0 };
  int64_t *parent = talloc (ev, int64_t);
  struct timer *first = timer_after (ev, ev, 1000, note, &fired[0]);
  timer_after (ev, parent, 1000, note, &fired[1]);
  timer_after (ev, ev, 1000, note, &fired[2]);
  struct timer *last = timer_after (ev, ev, 1000, note, &fired[3]);
  talloc_free (parent);
  talloc_free (last);
  talloc_free (first);
  while (fired[2] == 0)
    tevent_loop_once (ev);
  CU_ASSERT_EQUAL (fired[0], 0);
  CU_ASSERT_EQUAL (fired[1], 0);
  CU_ASSERT_EQUAL (fired[3], 0);
  talloc_free (ev);
}

static const struct test_case cases[] = {
  { "clock_that_goes_back_delays_nothing",
    clock_that_goes_back_delays_nothing },
  { "clock_that_goes_ahead_hurries_nothing",
    clock_that_goes_ahead_hurries_nothing },
  { "steady_clock_is_kept", steady_clock_is_kept },
  { "freed_timer_does_not_fire", freed_timer_does_not_fire },
  { NULL, NULL },
};

TEST_SUITE (timer, cases)
