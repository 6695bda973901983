#include "common/timer.h"

#include "common/clock.h"

#include <stdlib.h>
#include <talloc.h>

/* Smallest change of clock_offset that counts as a step of the time of day.
   It exceeds the time that passes between reading one clock and the other. */
#define MIN_STEP_US (5 * USEC_PER_MSEC)
/* tevent may call a timer earlier by up to this time. */
#define MAX_EARLY_US (1 * USEC_PER_MSEC)

struct timer
{
  struct timer *next;
  struct timer **link; /**< The list's pointer to this timer. */
  struct tevent_context *ev;
  struct tevent_timer *tevent_timer;
  int64_t due; /**< Time to call @c fire, as measured by clock_now. */
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
/* All timers that have not fired. */
static struct timer *timers;
/* Time of day minus clock_now, when last compared. */
static int64_t clock_offset;

static void schedule (struct timer *t);

void
timer_use_time_of_day (int64_t (*now) (void))
{
  time_of_day = now != NULL ? now : system_time_of_day;
}

static void
on_tevent_timer (struct tevent_context *ev, struct tevent_timer *tevent_timer,
                 struct timeval at, void *data)
{
  (void)ev, (void)tevent_timer, (void)at;
  struct timer *t = data;
  void (*fire) (void *) = t->fire;
  void *fire_data = t->data;
  t->tevent_timer = NULL;
  /* The time of day was set forward, so tevent called too early. */
  if (clock_now () < t->due - MAX_EARLY_US)
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
  talloc_free (t->tevent_timer);
  t->tevent_timer = tevent_add_timer (t->ev, t, when, on_tevent_timer, t);
}

/* Reschedules all timers if the time of day was set since the last call. */
static void
follow_time_of_day (void)
{
  int64_t now = time_of_day () - clock_now ();
  int64_t step = now - clock_offset;
  if (llabs (step) < MIN_STEP_US)
    return;
  clock_offset = now;
  for (struct timer *t = timers; t != NULL; t = t->next)
    schedule (t);
}

/* A step of the time of day does not lengthen the wait of the event loop
   itself, as that is relative. */
static void
on_loop_trace (enum tevent_trace_point point, void *data)
{
  (void)data;
  if (point == TEVENT_TRACE_AFTER_WAIT)
    follow_time_of_day ();
}

static int
unlink_timer (struct timer *t)
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
  /* The new timer is scheduled by the present time of day; a later step back
     to the previous one must not go unnoticed. */
  follow_time_of_day ();
  *t = (struct timer){ .next = timers,
                       .link = &timers,
                       .ev = ev,
                       .due = clock_now () + us,
                       .fire = fire,
                       .data = data };
  if (timers != NULL)
    timers->link = &t->next;
  timers = t;
  talloc_set_destructor (t, unlink_timer);
  tevent_set_trace_callback (ev, on_loop_trace, NULL);
  schedule (t);
  return t;
}
