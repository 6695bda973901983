#include "core/routing.h"

/* With one poll every 250 ms the samples cover the last 16 s, more than any
   staleness bound for which a replica is worth asking. */
#define PRIMARY_SAMPLES 64

/* Weight of the newest interval in the moving average of the replay rate. */
#define REPLAY_RATE_WEIGHT 0.3

/** One endpoint, as its polls and this daemon's requests describe it. */
struct route_endpoint
{
  struct endpoint_status status;
  int64_t polled_at;    /**< When its newest answer to a poll arrived. */
  double replay_rate;   /**< LSN bytes per microsecond, moving average. */
  int running, slots;   /**< Values of routing_set_load. */
  uint64_t last_choice; /**< Number of the newest choice of it; 0: none. */
  bool known;           /**< A poll has been answered. */
  bool failed;  /**< A request failed since its newest answer to a poll. */
  bool leaving; /**< Leaving the group. */
};

/** Position of the primary's log at one poll. */
struct primary_sample
{
  int64_t at;
  uint64_t lsn;
};

/* The first wait after a failed guard is the longest wait divided by this. */
#define FIRST_WAIT_DIVISOR 10

struct routing
{
  struct routing_options options;
  struct route_endpoint endpoints[GROUP_MAX_ENDPOINTS];
  struct primary_sample
      samples[PRIMARY_SAMPLES]; /**< Samples of the current term. */
  int sample_count, sample_next;
  int primary;   /**< Primary of the newest opened term, or INDEX_NONE. */
  uint64_t term; /**< Newest opened term. */
  uint64_t branch_point; /**< Where that term began. */
  uint64_t choice_count; /**< Requests routed to an endpoint so far. */
};

struct routing *
routing_create (void *parent, const struct routing_options *options)
{
  struct routing *r = talloc_zero (parent, struct routing);
  r->options = *options;
  if (r->options.endpoint_count > GROUP_MAX_ENDPOINTS)
    r->options.endpoint_count = GROUP_MAX_ENDPOINTS;
  r->primary = INDEX_NONE;
  return r;
}

static struct route_endpoint *
find_endpoint (struct routing *r, int endpoint)
{
  if (endpoint < 0 || endpoint >= r->options.endpoint_count)
    return NULL;
  return &r->endpoints[endpoint];
}

static void
add_primary_sample (struct routing *r, uint64_t lsn, int64_t now)
{
  r->samples[r->sample_next] = (struct primary_sample){ now, lsn };
  r->sample_next = (r->sample_next + 1) % PRIMARY_SAMPLES;
  if (r->sample_count < PRIMARY_SAMPLES)
    r->sample_count++;
}

void
routing_record_status (struct routing *r, int endpoint,
                       const struct endpoint_status *status, int64_t now)
{
  struct route_endpoint *e = find_endpoint (r, endpoint);
  if (e == NULL)
    return;
  int64_t elapsed = now - e->polled_at;
  if (!e->known || status->term != e->status.term
      || status->replayed < e->status.replayed)
    e->replay_rate = 0;
  else if (elapsed > 0)
    {
      double rate
          = (double)(status->replayed - e->status.replayed) / (double)elapsed;
      e->replay_rate += REPLAY_RATE_WEIGHT * (rate - e->replay_rate);
    }
  e->status = *status;
  e->polled_at = now;
  e->known = true;
  e->failed = false;
  if (endpoint == r->primary && !status->in_recovery
      && status->term == r->term)
    add_primary_sample (r, status->received, now);
}

void
routing_mark_failed (struct routing *r, int endpoint, int64_t now)
{
  (void)now;
  struct route_endpoint *e = find_endpoint (r, endpoint);
  if (e != NULL)
    e->failed = true;
}

void
routing_set_primary (struct routing *r, int endpoint, uint64_t term,
                     uint64_t branch_point)
{
  if (term <= r->term)
    return;
  r->primary = endpoint;
  r->term = term;
  r->branch_point = branch_point;
  r->sample_count = 0;
  r->sample_next = 0;
}

void
routing_set_leaving (struct routing *r, int endpoint, bool leaving)
{
  struct route_endpoint *e = find_endpoint (r, endpoint);
  if (e != NULL)
    e->leaving = leaving;
}

void
routing_set_load (struct routing *r, int endpoint, int running, int slots)
{
  struct route_endpoint *e = find_endpoint (r, endpoint);
  if (e == NULL)
    return;
  e->running = running;
  e->slots = slots;
}

/* @return whether every write that the endpoint shows is part of the newest
   opened term.  An endpoint of an older term that has replayed past the branch
   point shows writes that were discarded. */
static bool
is_in_history (const struct routing *r, const struct endpoint_status *status)
{
  return status->term >= r->term || status->replayed <= r->branch_point;
}

static bool
is_usable (const struct routing *r, int index, int64_t now)
{
  const struct route_endpoint *e = &r->endpoints[index];
  if (!e->known || e->failed || e->leaving
      || now - e->polled_at > r->options.stale_poll_us)
    return false;
  if (index == r->primary)
    return !e->status.in_recovery && e->status.term == r->term;
  /* A replaced primary that answers again gets no requests. */
  return e->status.in_recovery && is_in_history (r, &e->status);
}

static uint64_t
predict_replayed (const struct route_endpoint *e, int64_t now)
{
  return e->status.replayed
         + (uint64_t)(e->replay_rate * (double)(now - e->polled_at));
}

/* @return whether the replica had replayed all that it received.  It is then
   expected to replay a new record on arrival, even if its average rate is
   low. */
static bool
keeps_up (const struct route_endpoint *e)
{
  return e->status.replayed >= e->status.received;
}

static bool
is_less_loaded (const struct route_endpoint *a, const struct route_endpoint *b)
{
  int64_t slots_a = a->slots > 0 ? a->slots : 1;
  int64_t slots_b = b->slots > 0 ? b->slots : 1;
  int64_t load_a = (int64_t)a->running * slots_b;
  int64_t load_b = (int64_t)b->running * slots_a;
  return load_a != load_b ? load_a < load_b : a->last_choice < b->last_choice;
}

/** Condition that pick_replica sets for a replica. */
enum replica_filter
{
  REPLICA_PREDICTED, /**< Predicted to have replayed the position. */
  REPLICA_KEEPS_UP,  /**< Expected to replay the position on arrival, and not
                        fenced for a newer term. */
  REPLICA_ANY_TERM   /**< Follows a term that can contain the position. */
};

static bool
passes_filter (const struct route_endpoint *e, const struct position *after,
               enum replica_filter filter, int64_t now)
{
  /* A replica of an older term never reaches a position of a newer one. */
  if (e->status.term < after->term)
    return false;
  switch (filter)
    {
    case REPLICA_PREDICTED:
      return predict_replayed (e, now) >= after->lsn;
    case REPLICA_KEEPS_UP:
      return keeps_up (e) && e->status.fence <= e->status.term;
    default:
      return true;
    }
}

/* @return the least loaded usable replica that passes the filter and is not
   excluded; INDEX_NONE if there is none. */
static int
pick_replica (const struct routing *r, const struct position *after,
              unsigned excluded, enum replica_filter filter, int64_t now)
{
  int best = INDEX_NONE;
  for (int i = 0; i < r->options.endpoint_count; i++)
    {
      if (i == r->primary || (excluded & (1U << i)) != 0
          || !is_usable (r, i, now)
          || !passes_filter (&r->endpoints[i], after, filter, now))
        continue;
      if (best == INDEX_NONE
          || is_less_loaded (&r->endpoints[i], &r->endpoints[best]))
        best = i;
    }
  return best;
}

static struct route
route_to (struct routing *r, int endpoint, struct position guard)
{
  r->endpoints[endpoint].last_choice = ++r->choice_count;
  return (struct route){ .kind = ROUTE_ENDPOINT,
                         .endpoint = endpoint,
                         .is_replica = endpoint != r->primary,
                         .guard = guard };
}

static struct route
route_wait (int64_t wait_us)
{
  return (struct route){ .kind = ROUTE_WAIT,
                         .endpoint = INDEX_NONE,
                         .wait_us = wait_us };
}

static struct route
route_busy (void)
{
  return (struct route){ .kind = ROUTE_BUSY, .endpoint = INDEX_NONE };
}

/* @return the time until the first replica is predicted to reach the position;
   -1 if none will within the longest wait. */
static int64_t
time_to_catch_up (const struct routing *r, const struct position *after,
                  unsigned tried, int64_t now)
{
  int64_t least = -1;
  for (int i = 0; i < r->options.endpoint_count; i++)
    {
      const struct route_endpoint *e = &r->endpoints[i];
      if (i == r->primary || (tried & (1U << i)) != 0 || !is_usable (r, i, now)
          || e->status.term < after->term || e->replay_rate <= 0)
        continue;
      uint64_t predicted = predict_replayed (e, now);
      double missing
          = predicted < after->lsn ? (double)(after->lsn - predicted) : 0;
      double us = missing / e->replay_rate;
      if (us < (double)r->options.catch_up_us
          && (least < 0 || us < (double)least))
        least = (int64_t)us;
    }
  return least;
}

/* @return one bit per endpoint without a free slot. */
static unsigned
busy_endpoints (const struct routing *r)
{
  unsigned busy = 0;
  for (int i = 0; i < r->options.endpoint_count; i++)
    if (r->endpoints[i].slots > 0
        && r->endpoints[i].running >= r->endpoints[i].slots)
      busy |= 1U << i;
  return busy;
}

/* @return a replica that is predicted to have replayed the position, else one
   that keeps up, else INDEX_NONE. */
static int
pick_caught_up (const struct routing *r, const struct position *after,
                unsigned excluded, int64_t now)
{
  int replica = pick_replica (r, after, excluded, REPLICA_PREDICTED, now);
  return replica != INDEX_NONE
             ? replica
             : pick_replica (r, after, excluded, REPLICA_KEEPS_UP, now);
}

/* @return how long to wait for a replica before the next try; 0 if the primary
   is the better choice.  After failed guards the waits double, so that a
   replica that is a few milliseconds behind is used and one that stays behind
   costs few round trips. */
static int64_t
catch_up_wait (const struct routing *r, const struct read_request *request,
               const struct position *after, int64_t now)
{
  int64_t left = r->options.catch_up_us - request->waited_us;
  int64_t wait = time_to_catch_up (r, after, 0, now);
  if (request->tried != 0)
    {
      int64_t step = r->options.catch_up_us / FIRST_WAIT_DIVISOR;
      if (step < request->waited_us)
        step = request->waited_us;
      if (wait < step)
        wait = step;
    }
  else if (request->waited_us > 0)
    return 0;
  return wait < left ? wait : left;
}

/* Sets the position that a replica must have replayed so that it shows
   everything that the primary had written max_staleness ago.
   @return whether the primary was polled within that time. */
static bool
bounded_position (const struct routing *r, int64_t max_staleness,
                  struct position *position, int64_t now)
{
  bool found = false;
  int64_t oldest = 0;
  for (int i = 0; i < r->sample_count; i++)
    {
      const struct primary_sample *s = &r->samples[i];
      if (now - s->at <= max_staleness && (!found || s->at < oldest))
        {
          found = true;
          oldest = s->at;
          *position = (struct position){ r->term, s->lsn };
        }
    }
  return found;
}

struct route
routing_choose (struct routing *r, const struct read_request *request,
                int64_t now)
{
  struct position after = { 0, 0 };
  unsigned busy = busy_endpoints (r);
  bool has_primary = r->primary != INDEX_NONE && is_usable (r, r->primary, now)
                     && (request->tried & (1U << r->primary)) == 0;
  bool replicas_allowed = !r->options.primary_only;
  if (request->freshness == FRESHNESS_READ_YOUR_WRITES)
    after = request->after;
  else if (request->freshness == FRESHNESS_BOUNDED)
    replicas_allowed
        = bounded_position (r, request->max_staleness_us, &after, now)
          && replicas_allowed;

  /* On the primary the guard only verifies the term that the caller has seen:
     the primary's position is never before the caller's. */
  int replica = INDEX_NONE;
  if (replicas_allowed)
    {
      replica = pick_caught_up (r, &after, request->tried | busy, now);
      /* Reads wait for a slot of a replica, as the primary's slots are for
         writes. */
      if (replica == INDEX_NONE && busy != 0
          && pick_caught_up (r, &after, request->tried, now) != INDEX_NONE)
        return route_busy ();
      int64_t wait = replica == INDEX_NONE
                         ? catch_up_wait (r, request, &after, now)
                         : 0;
      if (wait > 0)
        return route_wait (wait);
    }
  if (replica != INDEX_NONE)
    return route_to (r, replica, after);
  if (has_primary)
    return (busy & (1U << r->primary)) != 0 ? route_busy ()
                                            : route_to (r, r->primary, after);
  /* Without a primary a replica that may lag is better than none, as the guard
     still verifies its position. */
  if (replicas_allowed)
    {
      replica = pick_replica (r, &after, request->tried | busy,
                              REPLICA_PREDICTED, now);
      if (replica == INDEX_NONE)
        replica = pick_replica (r, &after, request->tried | busy,
                                REPLICA_ANY_TERM, now);
      if (replica != INDEX_NONE)
        return route_to (r, replica, after);
    }
  return (struct route){ .kind = ROUTE_NONE, .endpoint = INDEX_NONE };
}

bool
routing_has_replica (const struct routing *r, int64_t now)
{
  for (int i = 0; i < r->options.endpoint_count; i++)
    if (i != r->primary && is_usable (r, i, now))
      return true;
  return false;
}

bool
routing_guard_holds (const struct routing *r, const struct route *route,
                     const struct endpoint_status *status)
{
  if (status->term < route->guard.term || status->replayed < route->guard.lsn)
    return false;
  /* Since the replica was chosen, a newer term may have begun that it does not
     follow. */
  return is_in_history (r, status);
}
