/** Tests of timers while the time of day is set. */
#include "common/clock.h"
#include "common/timer.h"
#include "tests/tests.h"

#include <inttypes.h>
#include <stdio.h>
#include <talloc.h>

#define DELAY_US (60 * USEC_PER_MSEC)
/* Allowed lateness, for the resolution of the event loop and a busy VM. */
#define MAX_LATE_US (400 * USEC_PER_MSEC)
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
record_time (void *data)
{
  *(int64_t *)data = clock_now ();
}

static void
do_nothing (struct tevent_context *ev, struct tevent_timer *te,
            struct timeval at, void *data)
{
  (void)ev, (void)te, (void)at, (void)data;
}

/* @return whether a timer fired at its time; prints the measured time if
   not. */
static bool
is_on_time (int64_t us, int64_t max_early_us)
{
  bool on_time = us >= DELAY_US - max_early_us && us <= DELAY_US + MAX_LATE_US;
  if (!on_time)
    printf ("[fired after %" PRId64 " us] ", us);
  return on_time;
}

/* Set a timer while the time of day is @p before microseconds ahead of the
   system's, then change that to @p after.
   @return the time until the timer fired, in microseconds. */
static int64_t
measure_delay (int64_t before, int64_t after)
{
  struct tevent_context *ev = tevent_context_init (NULL);
  int64_t fired = 0, begin = clock_now ();
  step = before;
  timer_use_time_of_day (stepped_time_of_day);
  timer_after (ev, ev, DELAY_US, record_time, &fired);
  step = after;
  while (fired == 0 && clock_now () - begin < 2 * STEP_US)
    {
      /* tevent itself uses the system's time of day, which is not stepped. */
      tevent_add_timer (ev, ev, tevent_timeval_current_ofs (0, 10000),
                        do_nothing, NULL);
      tevent_loop_once (ev);
    }
  timer_use_time_of_day (NULL);
  talloc_free (ev);
  return fired - begin;
}

/* Guards against a timer that is late because the time of day was set back by
   seconds. */
static void
clock_that_goes_back_delays_nothing (void)
{
  int64_t us = measure_delay (STEP_US, 0);
  CU_ASSERT_TRUE (is_on_time (us, 0));
}

/* Guards against a timer that is late because the time of day was set forward
   and back while another timer was pending and the event loop did not run in
   between. */
static void
step_between_two_timers_delays_nothing (void)
{
  struct tevent_context *ev = tevent_context_init (NULL);
  int64_t ignored = 0;
  timer_after (ev, ev, 4 * STEP_US, record_time, &ignored);
  int64_t us = measure_delay (STEP_US, 0);
  CU_ASSERT_TRUE (is_on_time (us, 0));
  talloc_free (ev);
}

/* Guards against a timer that fires early because the time of day was set
   forward by seconds. */
static void
clock_that_goes_ahead_hurries_nothing (void)
{
  int64_t us = measure_delay (-STEP_US, 0);
  CU_ASSERT_TRUE (is_on_time (us, 2 * USEC_PER_MSEC));
}

/* Guards against a timer that fires early or late although the time of day was
   not set. */
static void
steady_clock_is_kept (void)
{
  int64_t us = measure_delay (0, 0);
  CU_ASSERT_TRUE (is_on_time (us, 2 * USEC_PER_MSEC));
}

/* Guards against a freed timer that still fires, whether it was freed itself
   or with its parent, and against a corrupted list of timers. */
static void
freed_timer_does_not_fire (void)
{
  struct tevent_context *ev = tevent_context_init (NULL);
  int64_t fired[4] = { 0 };
  int64_t *parent = talloc (ev, int64_t);
  struct timer *first = timer_after (ev, ev, 1000, record_time, &fired[0]);
  timer_after (ev, parent, 1000, record_time, &fired[1]);
  timer_after (ev, ev, 1000, record_time, &fired[2]);
  struct timer *last = timer_after (ev, ev, 1000, record_time, &fired[3]);
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
  { "step_between_two_timers_delays_nothing",
    step_between_two_timers_delays_nothing },
  { "clock_that_goes_ahead_hurries_nothing",
    clock_that_goes_ahead_hurries_nothing },
  { "steady_clock_is_kept", steady_clock_is_kept },
  { "freed_timer_does_not_fire", freed_timer_does_not_fire },
  { NULL, NULL },
};

TEST_SUITE (timer, cases)
