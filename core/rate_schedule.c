#include "core/rate_schedule.h"

#include <math.h>
#include <string.h>
#include <talloc.h>

#define DEFAULT_MAX_WAITING 128
/* With all tokens, an organisation at 1.2 times its rate would have nearly
   every request refused once and served late. */
#define DEFAULT_REPEAT_SHARE 0.1
#define DEFAULT_HOLD_US INT64_C (100000)
/* Largest number of promised places for which tokens are kept.  Further places
   are told too. */
#define MAX_PROMISES 512
/* Places are promised up to this time ahead; deadlines of callers are at most
   8 s. */
#define FAR_US INT64_C (10000000)
/* Places while nothing is known of the tokens to come: the daemon learns its
   share from the next heartbeats, which are sent every 200 ms. */
#define UNKNOWN_PLACE_US INT64_C (200000)
#define UNKNOWN_STEP_US INT64_C (10000)
#define UNKNOWN_STEPS 20
#define NEVER INT64_MAX
#define USEC_PER_S 1e6

/** Requests and promised places of one organisation. */
struct organisation_schedule
{
  uint64_t organisation;
  /** Requests that wait: those with promised places, then the others by their
   * latest start. */
  struct rate_request *waiting;
  int waiting_count;
  /** Promised places, by time. */
  int64_t promises[MAX_PROMISES];
  int promise_count;
  int64_t told_at; /**< Newest promised place; 0: none since tokens became or
                      ceased to be scarce. */
  bool was_scarce; /**< Value of is_scarce at that time. */
  uint64_t far_count; /**< Number of places told that were not promised. */
};

struct rate_schedule
{
  struct rate_schedule_options options;
  struct organisation_schedule **organisations;
  int organisation_count;
  int waiting_count;
};

struct rate_schedule *
rate_schedule_create (void *parent,
                      const struct rate_schedule_options *options)
{
  struct rate_schedule *s = talloc_zero (parent, struct rate_schedule);
  if (options != NULL)
    s->options = *options;
  if (s->options.max_waiting <= 0)
    s->options.max_waiting = DEFAULT_MAX_WAITING;
  if (s->options.repeat_share <= 0)
    s->options.repeat_share = DEFAULT_REPEAT_SHARE;
  if (s->options.hold_us <= 0)
    s->options.hold_us = DEFAULT_HOLD_US;
  return s;
}

static struct organisation_schedule *
find_organisation (const struct rate_schedule *s, uint64_t organisation)
{
  for (int i = 0; i < s->organisation_count; i++)
    if (s->organisations[i]->organisation == organisation)
      return s->organisations[i];
  return NULL;
}

static struct organisation_schedule *
get_organisation (struct rate_schedule *s, uint64_t organisation)
{
  struct organisation_schedule *o = find_organisation (s, organisation);
  if (o != NULL)
    return o;
  s->organisations
      = talloc_realloc (s, s->organisations, struct organisation_schedule *,
                        (size_t)s->organisation_count + 1);
  o = talloc_zero (s, struct organisation_schedule);
  o->organisation = organisation;
  s->organisations[s->organisation_count++] = o;
  return o;
}

/* @return when the supply yields its token number @p n, counted from 1. */
static int64_t
token_time (const struct rate_supply *supply, int n, int64_t now)
{
  int64_t at = now;
  if (n > supply->tokens)
    {
      double us
          = supply->per_s > 0
                ? ceil ((n - supply->tokens) / supply->per_s * USEC_PER_S)
                : INFINITY;
      if (us > (double)(NEVER / 4))
        return NEVER;
      at = now + (int64_t)us;
    }
  return at > supply->ready_at ? at : supply->ready_at;
}

/* Forget promised places whose tokens are no longer kept. */
static void
expire_promises (const struct rate_schedule *s,
                 struct organisation_schedule *o, int64_t now)
{
  int expired = 0;
  while (expired < o->promise_count
         && o->promises[expired] + s->options.hold_us <= now)
    expired++;
  o->promise_count -= expired;
  memmove (o->promises, o->promises + expired,
           (size_t)o->promise_count * sizeof o->promises[0]);
}

/** Position in the schedule while the places of the waiting requests are
 * computed in their order. */
struct walk
{
  const struct organisation_schedule *o;
  const struct rate_supply *supply;
  int64_t now;
  int requests; /**< Requests before this position. */
  int promises; /**< Promised places that are due before it. */
};

/* @return the place of the next request.
   @param has_place it uses a promised place, so that others do not count. */
static int64_t
walk_next (struct walk *w, bool has_place)
{
  int64_t at = token_time (w->supply, ++w->requests + w->promises, w->now);
  while (!has_place && w->promises < w->o->promise_count
         && w->o->promises[w->promises] <= at)
    at = token_time (w->supply, w->requests + ++w->promises, w->now);
  return at;
}

static bool
is_before (const struct rate_request *a, const struct rate_request *b)
{
  if (a->has_place != b->has_place)
    return a->has_place;
  return a->latest_start <= b->latest_start;
}

/* @return whether the request and all that wait behind it get their tokens by
   their latest starts.
   @param without leave out this waiting request; NULL: none.
   @param place set to the place of the request. */
static bool
has_room (const struct organisation_schedule *o,
          const struct rate_request *request,
          const struct rate_request *without, const struct rate_supply *supply,
          int64_t now, int64_t *place)
{
  struct walk walk = { .o = o, .supply = supply, .now = now };
  const struct rate_request *w = o->waiting;
  for (; w != NULL && is_before (w, request); w = w->next)
    if (w != without)
      walk_next (&walk, w->has_place);
  *place = walk_next (&walk, request->has_place);
  if (*place > request->latest_start)
    return false;
  for (; w != NULL; w = w->next)
    if (w != without && walk_next (&walk, w->has_place) > w->latest_start)
      return false;
  return true;
}

static void
insert_waiting (struct rate_schedule *s, struct organisation_schedule *o,
                struct rate_request *request)
{
  struct rate_request **at = &o->waiting;
  while (*at != NULL && is_before (*at, request))
    at = &(*at)->next;
  request->next = *at;
  *at = request;
  o->waiting_count++;
  s->waiting_count++;
}

static void
remove_waiting (struct rate_schedule *s, struct organisation_schedule *o,
                struct rate_request *request)
{
  struct rate_request **at = &o->waiting;
  while (*at != NULL && *at != request)
    at = &(*at)->next;
  if (*at == NULL)
    return;
  *at = request->next;
  o->waiting_count--;
  s->waiting_count--;
}

/* @return the waiting request that gives way to one of a higher priority, NULL
   if there is none. */
static struct rate_request *
find_lowest (const struct organisation_schedule *o, int priority)
{
  struct rate_request *lowest = NULL;
  for (struct rate_request *w = o->waiting; w != NULL; w = w->next)
    if (!w->has_place && w->priority > priority
        && (lowest == NULL || w->priority >= lowest->priority))
      lowest = w;
  return lowest;
}

enum rate_verdict
rate_schedule_add (struct rate_schedule *s, struct rate_request *request,
                   const struct rate_supply *supply, int64_t now,
                   int64_t *place, struct rate_request **displaced)
{
  struct organisation_schedule *o
      = get_organisation (s, request->organisation);
  expire_promises (s, o, now);
  *displaced = NULL;
  request->has_place = request->is_repeat && o->promise_count > 0
                       && o->promises[0] <= request->latest_start;
  if (request->has_place)
    {
      /* It misses its objective anyway, and a second refusal would cost it one
         of few attempts. */
      request->latest_start = request->expires_at;
      o->promise_count--;
      memmove (o->promises, o->promises + 1,
               (size_t)o->promise_count * sizeof o->promises[0]);
    }
  bool is_full = o->waiting_count >= s->options.max_waiting;
  bool fits = has_room (o, request, NULL, supply, now, place);
  if (o->waiting == NULL && *place <= now)
    return RATE_RUN;
  if (s->options.no_wait)
    goto refuse;
  if (!fits || is_full)
    {
      struct rate_request *lowest = find_lowest (o, request->priority);
      if (lowest == NULL || !has_room (o, request, lowest, supply, now, place))
        goto refuse;
      remove_waiting (s, o, lowest);
      *displaced = lowest;
    }
  insert_waiting (s, o, request);
  return RATE_WAIT;
refuse:
  *place = rate_schedule_promise (s, request, supply, now);
  return RATE_REFUSE;
}

static void
insert_promise (struct organisation_schedule *o, int64_t place)
{
  int i = o->promise_count;
  if (i == MAX_PROMISES)
    return;
  for (; i > 0 && o->promises[i - 1] > place; i--)
    o->promises[i] = o->promises[i - 1];
  o->promises[i] = place;
  o->promise_count++;
}

int64_t
rate_schedule_promise (struct rate_schedule *s,
                       const struct rate_request *request,
                       const struct rate_supply *supply, int64_t now)
{
  struct organisation_schedule *o
      = get_organisation (s, request->organisation);
  struct walk walk = { .o = o, .supply = supply, .now = now };
  expire_promises (s, o, now);
  for (const struct rate_request *w = o->waiting; w != NULL; w = w->next)
    walk_next (&walk, w->has_place);
  int64_t place = walk_next (&walk, false);
  if (place == NEVER || supply->per_s <= 0)
    return now + UNKNOWN_PLACE_US
           + (int64_t)(o->far_count++ % UNKNOWN_STEPS) * UNKNOWN_STEP_US;
  if (s->options.common_place)
    return place;
  if (o->was_scarce != supply->is_scarce)
    o->told_at = 0;
  o->was_scarce = supply->is_scarce;
  double share = supply->is_scarce ? s->options.repeat_share : 1;
  double step = ceil (USEC_PER_S / (supply->per_s * share));
  if ((double)o->told_at + step > (double)place)
    place = o->told_at + (int64_t)step;
  int64_t latest
      = request->returns_until > now ? request->returns_until : now + FAR_US;
  if (place > latest)
    /* The caller is not expected back, and no token is kept for it.  Its time
       still differs from those of the others. */
    return latest
           + (int64_t)fmod ((double)o->far_count++ * step, (double)FAR_US);
  o->told_at = place;
  insert_promise (o, place);
  return place;
}

/* @return number of promised places whose tokens are kept now. */
static int
due_promises (const struct organisation_schedule *o, int64_t now)
{
  int due = 0;
  while (due < o->promise_count && o->promises[due] <= now)
    due++;
  return due;
}

struct rate_request *
rate_schedule_pop (struct rate_schedule *s, uint64_t organisation,
                   const struct rate_supply *supply, int64_t now)
{
  struct organisation_schedule *o = find_organisation (s, organisation);
  if (o == NULL || o->waiting == NULL || now < supply->ready_at)
    return NULL;
  expire_promises (s, o, now);
  struct rate_request *first = o->waiting;
  int kept = first->has_place ? 0 : due_promises (o, now);
  if (supply->tokens < 1 + kept)
    return NULL;
  remove_waiting (s, o, first);
  return first;
}

struct rate_request *
rate_schedule_pop_late (struct rate_schedule *s, uint64_t organisation,
                        const struct rate_supply *supply, int64_t now)
{
  struct organisation_schedule *o = find_organisation (s, organisation);
  if (o == NULL)
    return NULL;
  expire_promises (s, o, now);
  struct walk walk = { .o = o, .supply = supply, .now = now };
  for (struct rate_request *w = o->waiting; w != NULL; w = w->next)
    if (walk_next (&walk, w->has_place) > w->expires_at)
      {
        remove_waiting (s, o, w);
        return w;
      }
  return NULL;
}

void
rate_schedule_remove (struct rate_schedule *s, struct rate_request *request)
{
  struct organisation_schedule *o
      = find_organisation (s, request->organisation);
  if (o != NULL)
    remove_waiting (s, o, request);
}

int64_t
rate_schedule_next_at (struct rate_schedule *s, uint64_t organisation,
                       const struct rate_supply *supply, int64_t now)
{
  struct organisation_schedule *o = find_organisation (s, organisation);
  if (o == NULL || o->waiting == NULL)
    return NEVER;
  expire_promises (s, o, now);
  struct walk walk = { .o = o, .supply = supply, .now = now };
  int64_t at = walk_next (&walk, o->waiting->has_place);
  /* The token of a promised place may become free before the next one. */
  if (walk.promises > 0 && o->promises[0] + s->options.hold_us < at)
    at = o->promises[0] + s->options.hold_us;
  return at;
}

bool
rate_schedule_next_organisation (const struct rate_schedule *s, int *index,
                                 uint64_t *organisation)
{
  for (; *index < s->organisation_count; ++*index)
    if (s->organisations[*index]->waiting != NULL)
      {
        *organisation = s->organisations[(*index)++]->organisation;
        return true;
      }
  return false;
}

int
rate_schedule_waiting (const struct rate_schedule *s)
{
  return s->waiting_count;
}
