#include "common/timer.h"

#include "common/clock.h"

#include <stdlib.h>
#include <talloc.h>

/* A smaller change between the two clocks is no step; it is more than what
   passes between reading one and the other. */
#define STEP_US (5 * USEC_PER_MSEC)
/* The loop may be called a little early. */
#define EARLY_US (1 * USEC_PER_MSEC)

struct timer
{
  struct timer *next;
  struct timer **link; /**< What points to this one. */
  struct tevent_context *ev;
  struct tevent_timer *pending;
  int64_t due; /**< By clock_now. */
  void (*fire) (void *data);
  void *data;
};

static int64_t
system_time_of_day (void)
{
  struct timespec ts;
  clock_gettime (CLOCK_REALTIME, &ts);
  return (int64_t)ts.tv_sec * USEC_PER_SEC + ts.tv_nsec / 1000;
}

static int64_t (*time_of_day) (void) = system_time_of_day;
static struct timer *timers;
/* Time of day less clock_now, when it was looked at last. */
static int64_t difference;

static void schedule (struct timer *t);

void
timer_use_time_of_day (int64_t (*now) (void))
{
  time_of_day = now != NULL ? now : system_time_of_day;
}

static void
on_pending (struct tevent_context *ev, struct tevent_timer *pending,
            struct timeval at, void *data)
{
  (void)ev, (void)pending, (void)at;
  struct timer *t = data;
  void (*fire) (void *) = t->fire;
  void *fire_data = t->data;
  t->pending = NULL;
  /* The time of day has gone ahead. */
  if (clock_now () < t->due - EARLY_US)
    {
      schedule (t);
      return;
    }
  talloc_free (t);
  fire (fire_data);
}

static void
schedule (struct timer *t)
{
  int64_t left = t->due - clock_now ();
  int64_t at = time_of_day () + (left > 0 ? left : 0);
  struct timeval when = { .tv_sec = at / USEC_PER_SEC,
                          .tv_usec = (suseconds_t)(at % USEC_PER_SEC) };
  talloc_free (t->pending);
  t->pending = tevent_add_timer (t->ev, t, when, on_pending, t);
}

/* After each wait of the loop; a wait ends in time, as it is relative. */
static void
on_trace (enum tevent_trace_point point, void *data)
{
  (void)data;
  if (point != TEVENT_TRACE_AFTER_WAIT)
    return;
  int64_t now = time_of_day () - clock_now ();
  int64_t step = now - difference;
  if (llabs (step) < STEP_US)
    return;
  difference = now;
  for (struct timer *t = timers; t != NULL; t = t->next)
    schedule (t);
}

static int
forget (struct timer *t)
{
  *t->link = t->next;
  if (t->next != NULL)
    t->next->link = t->link;
  return 0;
}

struct timer *
timer_after (struct tevent_context *ev, void *parent, int64_t us,
             void (*fire) (void *data), void *data)
{
  struct timer *t = talloc_zero (parent, struct timer);
  *t = (struct timer){ .next = timers,
                       .link = &timers,
                       .ev = ev,
                       .due = clock_now () + us,
                       .fire = fire,
                       .data = data };
  if (timers == NULL)
    difference = time_of_day () - clock_now ();
  else
    timers->link = &t->next;
  timers = t;
  talloc_set_destructor (t, forget);
  tevent_set_trace_callback (ev, on_trace, NULL);
  schedule (t);
  return t;
}
