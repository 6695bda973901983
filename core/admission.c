#include "core/admission.h"

#include <math.h>

/* Window over which the peak of running requests stands for the
   concurrency that is available. */
#define PEAK_WINDOW_US INT64_C (1000000)

/* Share of the newest sample in a running mean. */
#define SERVICE_GAIN (1.0 / 16)
#define GAP_GAIN (1.0 / 8)

/* Told to a refused caller while no service time is known. */
#define DEFAULT_RETRY_US INT64_C (100000)
#define MIN_RETRY_US INT64_C (1000)

/* Bounds of the cost of one entry: a larger one would let a single entry
   hold up the round robin, a smaller one would make rounds too long. */
#define MIN_COST (1.0 / 16)
#define MAX_COST 16.0
#define MIN_WEIGHT 0.01
#define MAX_WEIGHT 100.0

/* Idle queues kept for their next use beyond twice those in use. */
#define SPARE_QUEUES 64

enum band
{
  BAND_CLERK, /* Writes and read-your-writes. */
  BAND_BROWSE,
  BAND_COUNT
};

struct admission_queue
{
  char *organisation; /* NULL for the expired list. */
  enum band band;
  double weight;
  double deficit; /* Cost that it may still use in this turn. */
  double backlog; /* Cost queued. */
  /* Mean microseconds between pops per cost while it was never empty, 0 if
     unknown.  It contains what later arrivals of others take, which the
     backlogs do not show. */
  double gap;
  int64_t popped_at;
  int count;
  struct admission_entry *first, *last;
  /* Ring of the band's queues that hold entries. */
  struct admission_queue *next, *previous;
};

struct band_state
{
  struct admission_queue *turn; /* Ring; whose turn it is. */
  bool turn_began;              /* The turn's quantum was added. */
  int active;                   /* Queues in the ring. */
  double weights;               /* Of the queues in the ring. */
  double backlog;
  double max_cost; /* Since the band was empty. */
  double service;  /* Mean microseconds for a cost of 1, 0 if unknown. */
};

struct admission
{
  struct admission_options options;
  struct band_state bands[BAND_COUNT];
  double browse_credit;
  /* Sorted by organisation and band. */
  struct admission_queue **queues;
  size_t queue_count, queue_room;
  size_t active_count;
  struct admission_queue expired;
  /* Heap of the entries with a deadline, the earliest first. */
  struct admission_entry **heap;
  size_t heap_count, heap_room;
  int queued;
  int running;
  int peak, previous_peak;
  int64_t peak_since;
};

static double
clamp (double value, double low, double high)
{
  return value < low ? low : value > high ? high : value;
}

static double
entry_cost (const struct admission_entry *e)
{
  return e->cost > 0 ? clamp (e->cost, MIN_COST, MAX_COST) : 1.0;
}

static double
entry_weight (const struct admission_entry *e)
{
  return e->weight > 0 ? clamp (e->weight, MIN_WEIGHT, MAX_WEIGHT) : 1.0;
}

/* The baseline keeps everything in one queue of one band. */
static enum band
entry_band (const struct admission *a, const struct admission_entry *e)
{
  return e->class_ == CLASS_BROWSE && !a->options.fifo ? BAND_BROWSE
                                                       : BAND_CLERK;
}

static const char *
entry_queue_name (const struct admission *a, const struct admission_entry *e)
{
  return a->options.fifo || e->organisation == NULL ? "" : e->organisation;
}

struct admission *
admission_create (void *parent, const struct admission_options *options)
{
  struct admission *a = talloc_zero (parent, struct admission);
  a->options = *options;
  a->options.browse_share = clamp (options->browse_share, 0, 0.9);
  return a;
}

/* Deadline heap. */

static void
heap_place (struct admission *a, size_t index, struct admission_entry *e)
{
  a->heap[index] = e;
  e->heap_index = index;
}

static void
heap_up (struct admission *a, size_t index, struct admission_entry *e)
{
  while (index > 0 && a->heap[(index - 1) / 2]->deadline > e->deadline)
    {
      heap_place (a, index, a->heap[(index - 1) / 2]);
      index = (index - 1) / 2;
    }
  heap_place (a, index, e);
}

static void
heap_down (struct admission *a, size_t index, struct admission_entry *e)
{
  for (;;)
    {
      size_t child = 2 * index + 1;
      if (child >= a->heap_count)
        break;
      if (child + 1 < a->heap_count
          && a->heap[child + 1]->deadline < a->heap[child]->deadline)
        child++;
      if (a->heap[child]->deadline >= e->deadline)
        break;
      heap_place (a, index, a->heap[child]);
      index = child;
    }
  heap_place (a, index, e);
}

static void
heap_insert (struct admission *a, struct admission_entry *e)
{
  if (a->heap_count == a->heap_room)
    {
      a->heap_room = a->heap_room != 0 ? 2 * a->heap_room : 64;
      a->heap = talloc_realloc (a, a->heap, struct admission_entry *,
                                a->heap_room);
    }
  heap_up (a, a->heap_count++, e);
}

static void
heap_remove (struct admission *a, struct admission_entry *e)
{
  struct admission_entry *moved = a->heap[--a->heap_count];
  size_t index = e->heap_index;
  if (moved == e)
    return;
  if (index > 0 && a->heap[(index - 1) / 2]->deadline > moved->deadline)
    heap_up (a, index, moved);
  else
    heap_down (a, index, moved);
}

/* Queues by organisation. */

static int
compare_queue (const struct admission_queue *q, const char *organisation,
               enum band band)
{
  int order = strcmp (q->organisation, organisation);
  return order != 0 ? order : (int)q->band - (int)band;
}

/* Index of the first queue that is not before the name. */
static size_t
lower_bound (const struct admission *a, const char *organisation,
             enum band band)
{
  size_t low = 0, high = a->queue_count;
  while (low < high)
    {
      size_t middle = (low + high) / 2;
      if (compare_queue (a->queues[middle], organisation, band) < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

static struct admission_queue *
find_queue (const struct admission *a, const char *organisation,
            enum band band)
{
  size_t at = lower_bound (a, organisation, band);
  if (at < a->queue_count
      && compare_queue (a->queues[at], organisation, band) == 0)
    return a->queues[at];
  return NULL;
}

/* Keeps memory proportional to the organisations in use; each drop pays for
   the pushes that created the queues. */
static void
drop_idle_queues (struct admission *a)
{
  size_t kept = 0;
  for (size_t i = 0; i < a->queue_count; i++)
    if (a->queues[i]->count > 0)
      a->queues[kept++] = a->queues[i];
    else
      talloc_free (a->queues[i]);
  a->queue_count = kept;
}

static struct admission_queue *
get_queue (struct admission *a, const char *organisation, enum band band)
{
  struct admission_queue *q = find_queue (a, organisation, band);
  if (q != NULL)
    return q;
  if (a->queue_count >= 2 * a->active_count + SPARE_QUEUES)
    drop_idle_queues (a);
  if (a->queue_count == a->queue_room)
    {
      a->queue_room = a->queue_room != 0 ? 2 * a->queue_room : 16;
      a->queues = talloc_realloc (a, a->queues, struct admission_queue *,
                                  a->queue_room);
    }
  size_t at = lower_bound (a, organisation, band);
  memmove (a->queues + at + 1, a->queues + at,
           (a->queue_count - at) * sizeof (struct admission_queue *));
  q = talloc_zero (a, struct admission_queue);
  q->organisation = talloc_strdup (q, organisation);
  q->band = band;
  a->queues[at] = q;
  a->queue_count++;
  return q;
}

static void
ring_insert (struct admission *a, struct admission_queue *q)
{
  struct band_state *b = &a->bands[q->band];
  q->deficit = q->gap = 0;
  q->popped_at = 0;
  if (b->turn == NULL)
    {
      q->next = q->previous = q;
      b->turn = q;
      b->turn_began = false;
    }
  else
    {
      /* Before the turn: it is served after all others. */
      q->next = b->turn;
      q->previous = b->turn->previous;
      q->previous->next = q;
      b->turn->previous = q;
    }
  b->active++;
  b->weights += q->weight;
  a->active_count++;
}

static void
ring_remove (struct admission *a, struct admission_queue *q)
{
  struct band_state *b = &a->bands[q->band];
  b->active--;
  b->weights -= q->weight;
  a->active_count--;
  if (b->active == 0)
    {
      /* Zero again, so that rounding errors do not add up. */
      b->turn = NULL;
      b->weights = b->backlog = b->max_cost = 0;
      return;
    }
  if (b->turn == q)
    {
      b->turn = q->next;
      b->turn_began = false;
    }
  q->previous->next = q->next;
  q->next->previous = q->previous;
}

/* Operators change weights while requests wait. */
static void
set_weight (struct admission *a, struct admission_queue *q, double weight)
{
  if (q->count > 0)
    a->bands[q->band].weights += weight - q->weight;
  q->weight = weight;
}

static void
link_last (struct admission_queue *q, struct admission_entry *e)
{
  e->queue = q;
  e->next = NULL;
  e->previous = q->last;
  if (q->last != NULL)
    q->last->next = e;
  else
    q->first = e;
  q->last = e;
  q->count++;
}

static void
unlink_entry (struct admission_entry *e)
{
  struct admission_queue *q = e->queue;
  if (e->previous != NULL)
    e->previous->next = e->next;
  else
    q->first = e->next;
  if (e->next != NULL)
    e->next->previous = e->previous;
  else
    q->last = e->previous;
  q->count--;
  e->queue = NULL;
  e->next = e->previous = NULL;
}

/* Takes a waiting entry out of its queue, the ring and the heap. */
static void
withdraw (struct admission *a, struct admission_entry *e)
{
  struct admission_queue *q = e->queue;
  struct band_state *b = &a->bands[q->band];
  double cost = entry_cost (e);
  q->backlog -= cost;
  b->backlog -= cost;
  a->queued--;
  unlink_entry (e);
  if (e->deadline > 0)
    heap_remove (a, e);
  if (q->count == 0)
    {
      q->backlog = 0;
      ring_remove (a, q);
    }
}

/* Concurrency and estimate. */

static void
update_mean (double *mean, double sample, double gain)
{
  *mean = *mean <= 0 ? sample : *mean + (sample - *mean) * gain;
}

static int
concurrency (const struct admission *a)
{
  int peak = a->peak > a->previous_peak ? a->peak : a->previous_peak;
  return peak > 1 ? peak : 1;
}

static void
note_running (struct admission *a, int64_t now)
{
  if (now - a->peak_since >= PEAK_WINDOW_US)
    {
      bool recent = now - a->peak_since < 2 * PEAK_WINDOW_US;
      a->previous_peak = recent ? a->peak : 0;
      a->peak = 0;
      a->peak_since = now;
    }
  if (a->running > a->peak)
    a->peak = a->running;
}

/* Cost of the band that is served before a new entry of an organisation:
   others get at most their weight's share meanwhile, and no more than they
   have queued. */
static double
cost_ahead (const struct band_state *b, const struct admission_queue *q,
            double weight, double cost)
{
  double own = q != NULL ? q->backlog : 0;
  double weights = b->weights + (own > 0 ? 0 : weight);
  double share = own + (own + cost) * (weights - weight) / weight;
  return share < b->backlog ? share : b->backlog;
}

/* Microseconds of service before the entry, on one server. */
static double
service_ahead (const struct admission *a, const struct admission_queue *q,
               const struct admission_entry *e)
{
  enum band band = entry_band (a, e);
  const struct band_state *own = &a->bands[band];
  const struct band_state *other = &a->bands[1 - band];
  double cost = entry_cost (e), share = a->options.browse_share;
  double ahead = a->options.fifo ? own->backlog
                                 : cost_ahead (own, q, entry_weight (e), cost);
  /* Of the other band: its minimum if it is browsing, all that is queued
     but for the browsing minimum if it is not. */
  double part = band == BAND_CLERK ? (ahead + cost) * share / (1 - share)
                : share > 0        ? (ahead + cost) * (1 - share) / share
                                   : other->backlog;
  if (part > other->backlog)
    part = other->backlog;
  return ahead * own->service + part * other->service;
}

int64_t
admission_estimate (const struct admission *a,
                    const struct admission_entry *entry)
{
  enum band band = entry_band (a, entry);
  const struct band_state *b = &a->bands[band];
  const struct admission_queue *q
      = find_queue (a, entry_queue_name (a, entry), band);
  if (b->service <= 0)
    return 0;
  double wait = service_ahead (a, q, entry);
  /* All servers are busy: the next one is free after half a service time on
     average, divided among them. */
  if (a->running >= concurrency (a))
    wait += b->service / 2;
  wait /= concurrency (a);
  if (q != NULL && q->count > 0 && wait < q->gap * q->backlog)
    wait = q->gap * q->backlog;
  return (int64_t)(wait + b->service * entry_cost (entry));
}

static bool
too_late (const struct admission *a, const struct admission_entry *e,
          int64_t now, int64_t *retry_us)
{
  if (e->deadline <= 0)
    return false;
  if (e->deadline <= now)
    return true;
  /* With nothing before it, the request is the measurement that corrects an
     estimate from a slow time. */
  if (a->options.no_early_refusal || (a->queued == 0 && a->running == 0))
    return false;
  int64_t excess = now + admission_estimate (a, e) - e->deadline;
  if (excess <= 0)
    return false;
  *retry_us = excess > MIN_RETRY_US ? excess : MIN_RETRY_US;
  return true;
}

enum admission_verdict
admission_push (struct admission *a, struct admission_entry *entry,
                int64_t now, int64_t *retry_us)
{
  const char *name = entry_queue_name (a, entry);
  enum band band = entry_band (a, entry);
  struct band_state *b = &a->bands[band];
  double cost = entry_cost (entry);
  *retry_us = DEFAULT_RETRY_US;
  note_running (a, now);
  if (too_late (a, entry, now, retry_us))
    return ADMISSION_TOO_LATE;
  struct admission_queue *q = get_queue (a, name, band);
  if (q->count >= a->options.max_queued)
    {
      /* Half of the queue is served by then. */
      int64_t half = admission_estimate (a, entry) / 2;
      if (half > MIN_RETRY_US)
        *retry_us = half;
      return ADMISSION_FULL;
    }
  *retry_us = 0;
  set_weight (a, q, entry_weight (entry));
  if (q->count == 0)
    ring_insert (a, q);
  entry->queued_at = now;
  link_last (q, entry);
  q->backlog += cost;
  b->backlog += cost;
  if (cost > b->max_cost)
    b->max_cost = cost;
  a->queued++;
  if (entry->deadline > 0)
    heap_insert (a, entry);
  return ADMISSION_QUEUED;
}

static void
set_expired (struct admission *a, struct admission_entry *e)
{
  withdraw (a, e);
  link_last (&a->expired, e);
}

/* An entry that would pass its deadline while it runs is not started: its
   caller would be told unknown instead of not_run.  With nothing running it
   is started, so that the service time is measured again. */
static bool
cannot_finish (const struct admission *a, const struct admission_entry *e,
               int64_t now)
{
  const struct band_state *b = &a->bands[e->queue->band];
  if (e->deadline <= 0)
    return false;
  if (a->options.no_early_refusal || a->running == 0)
    return e->deadline <= now;
  return e->deadline <= now + (int64_t)(b->service * entry_cost (e));
}

/* The entry that deficit round robin serves next, or NULL.  The quantum of
   the mean weight is the largest cost, so that a round serves at least one
   entry per queue on average and a call is constant time on average. */
static struct admission_entry *
band_head (struct admission *a, enum band band, int64_t now)
{
  struct band_state *b = &a->bands[band];
  while (b->turn != NULL)
    {
      struct admission_queue *q = b->turn;
      struct admission_entry *e = q->first;
      if (cannot_finish (a, e, now))
        {
          set_expired (a, e);
          continue;
        }
      if (!b->turn_began)
        {
          q->deficit += b->max_cost * q->weight * b->active / b->weights;
          b->turn_began = true;
        }
      if (q->deficit >= entry_cost (e))
        return e;
      b->turn = q->next;
      b->turn_began = false;
    }
  return NULL;
}

/* Clerks first, but browsing gets its share of the cost served while both
   wait. */
static struct admission_entry *
choose (struct admission *a, int64_t now)
{
  struct admission_entry *clerk = band_head (a, BAND_CLERK, now);
  struct admission_entry *browse = band_head (a, BAND_BROWSE, now);
  double share = a->options.browse_share;
  if (clerk == NULL || browse == NULL)
    {
      a->browse_credit = 0;
      return clerk != NULL ? clerk : browse;
    }
  if (a->browse_credit >= (1 - share) * entry_cost (browse))
    {
      a->browse_credit -= (1 - share) * entry_cost (browse);
      return browse;
    }
  a->browse_credit += share * entry_cost (clerk);
  return clerk;
}

struct admission_entry *
admission_pop (struct admission *a, int64_t now)
{
  struct admission_entry *e = choose (a, now);
  if (e == NULL)
    return NULL;
  struct admission_queue *q = e->queue;
  double cost = entry_cost (e);
  q->deficit -= cost;
  if (q->popped_at > 0)
    update_mean (&q->gap, (double)(now - q->popped_at) / cost, GAP_GAIN);
  q->popped_at = now;
  withdraw (a, e);
  a->running++;
  note_running (a, now);
  return e;
}

struct admission_entry *
admission_expired (struct admission *a, int64_t now)
{
  struct admission_entry *e = a->expired.first;
  if (e == NULL && a->heap_count > 0 && a->heap[0]->deadline <= now)
    {
      e = a->heap[0];
      set_expired (a, e);
    }
  if (e != NULL)
    unlink_entry (e);
  return e;
}

void
admission_remove (struct admission *a, struct admission_entry *entry)
{
  if (entry->queue == &a->expired)
    unlink_entry (entry);
  else if (entry->queue != NULL)
    withdraw (a, entry);
}

void
admission_done (struct admission *a, const struct admission_entry *entry,
                int64_t service_us, int64_t now)
{
  struct band_state *b = &a->bands[entry_band (a, entry)];
  note_running (a, now);
  a->running--;
  if (service_us < 0)
    return;
  update_mean (&b->service, (double)service_us / entry_cost (entry),
               SERVICE_GAIN);
}

int
admission_queued (const struct admission *a)
{
  return a->queued + a->expired.count;
}

int64_t
admission_next_deadline (const struct admission *a)
{
  if (a->expired.first != NULL)
    return a->expired.first->deadline;
  return a->heap_count > 0 ? a->heap[0]->deadline : INT64_MAX;
}

/* Adaptive concurrency limit. */

/* Mean latencies of batches are compared, not single ones: with exponential
   service times the lowest single latency is so small that almost every
   request exceeds twice of it. */
#define BATCH 32

/* The lowest latency is measured this often, with a quarter of the limit.
   Without the lower limit, an overload that lasts would become the new lowest
   and the limit would grow step by step.  The lowest of many batches of 16
   was half of the mean in a trial and held the limit at 1, so it is the mean
   of one longer batch instead. */
#define PROBE_INTERVAL_US INT64_C (5000000)
#define PROBE_PART 4
#define PROBE_BATCH 64
#define PROBE_LEAST 16
/* A slow endpoint ends a probe with fewer samples after this time. */
#define PROBE_LONGEST_US INT64_C (500000)
/* While the limit is near the slots, probes take at most one part in so many
   of the time: with 2 to 8 slots a probe every 5 s cost 6 to 8% of the
   answers. */
#define PROBE_TIME_PART 50

#define SLOW_RATIO 2.0
#define DECREASE 0.7
#define MAX_INCREASE 2.0

struct admission_limit
{
  enum admission_limit_mode mode;
  int slots;
  double limit;
  int running;
  int batch_count, batch_peak;
  double batch_sum;
  double lowest; /* Mean microseconds of the newest probe, 0 if unknown. */
  bool probing;
  int64_t probed_at, probe_took;
  double resume;         /* Limit after the probe. */
  int64_t ignore_before; /* Requests that started earlier do not count. */
};

struct admission_limit *
admission_limit_create (void *parent, int slots)
{
  struct admission_limit *l = talloc_zero (parent, struct admission_limit);
  l->slots = slots > 1 ? slots : 1;
  l->limit = l->slots;
  l->ignore_before = INT64_MIN;
  return l;
}

void
admission_limit_set_mode (struct admission_limit *l,
                          enum admission_limit_mode mode)
{
  l->mode = mode;
}

void
admission_limit_set_slots (struct admission_limit *l, int slots)
{
  bool full = !l->probing && l->limit >= l->slots;
  l->slots = slots > 1 ? slots : 1;
  if (full || l->limit > l->slots)
    l->limit = l->slots;
  if (l->resume > l->slots)
    l->resume = l->slots;
}

int
admission_limit_value (const struct admission_limit *l)
{
  return l->mode == LIMIT_FIXED ? l->slots : (int)floor (l->limit);
}

int
admission_limit_running (const struct admission_limit *l)
{
  return l->running;
}

bool
admission_limit_start (struct admission_limit *l)
{
  if (l->running >= admission_limit_value (l))
    return false;
  l->running++;
  return true;
}

void
admission_limit_cancel (struct admission_limit *l)
{
  l->running--;
}

static void
reset_batch (struct admission_limit *l)
{
  l->batch_count = 0;
  l->batch_sum = 0;
  l->batch_peak = l->running;
}

static void
start_probe (struct admission_limit *l, int64_t now)
{
  l->probing = true;
  l->resume = l->limit;
  l->limit = clamp (l->limit / PROBE_PART, 1, l->slots);
  l->probed_at = l->ignore_before = now;
}

static void
end_probe (struct admission_limit *l, double mean, int64_t now)
{
  l->probing = false;
  l->probe_took = now - l->probed_at;
  l->limit = l->resume;
  l->lowest = mean;
}

static void
decrease (struct admission_limit *l, int64_t now)
{
  if (l->probing)
    l->resume = clamp (l->resume * DECREASE, 1, l->slots);
  else
    l->limit = clamp (l->limit * DECREASE, 1, l->slots);
  l->ignore_before = now;
}

static void
judge_batch (struct admission_limit *l, double mean, int64_t now)
{
  double step = l->batch_count / l->limit;
  /* A limit that is not used says nothing about a higher one. */
  bool used = 2 * l->batch_peak >= admission_limit_value (l);
  if (mean > SLOW_RATIO * l->lowest)
    decrease (l, now);
  else if (used)
    l->limit = clamp (l->limit + (step < MAX_INCREASE ? step : MAX_INCREASE),
                      1, l->slots);
}

static bool
batch_is_complete (const struct admission_limit *l, int64_t now)
{
  if (!l->probing)
    return l->batch_count >= BATCH;
  return l->batch_count >= PROBE_BATCH
         || (l->batch_count >= PROBE_LEAST
             && now - l->probed_at >= PROBE_LONGEST_US);
}

static bool
probe_is_due (const struct admission_limit *l, int64_t now)
{
  int64_t interval = PROBE_INTERVAL_US;
  if (l->mode != LIMIT_ADAPTIVE || l->probing)
    return false;
  if (4 * l->limit >= 3 * l->slots
      && l->probe_took * PROBE_TIME_PART > interval)
    interval = l->probe_took * PROBE_TIME_PART;
  return now - l->probed_at >= interval;
}

static void
end_batch (struct admission_limit *l, int64_t now)
{
  double mean = l->batch_sum / l->batch_count;
  if (l->probing)
    end_probe (l, mean, now);
  else if (l->lowest > 0)
    judge_batch (l, mean, now);
  if (l->lowest <= 0 || probe_is_due (l, now))
    start_probe (l, now);
  reset_batch (l);
}

void
admission_limit_end (struct admission_limit *l, int64_t latency_us,
                     bool failed, int64_t now)
{
  /* Counted here, where cancelled slots no longer show. */
  if (l->running > l->batch_peak)
    l->batch_peak = l->running;
  l->running--;
  /* A decrease already answered what started before it. */
  if (now - latency_us < l->ignore_before)
    return;
  if (failed)
    {
      decrease (l, now);
      reset_batch (l);
      return;
    }
  l->batch_sum += (double)latency_us;
  l->batch_count++;
  if (batch_is_complete (l, now))
    end_batch (l, now);
}
