#include "core/admission.h"

#include <math.h>

/* Window over which the peak of running requests counts as the concurrency
   that is available. */
#define PEAK_WINDOW_US INT64_C (1000000)

/* Weight of the newest sample in an exponential moving average. */
#define SERVICE_GAIN (1.0 / 16)
#define POP_INTERVAL_GAIN (1.0 / 8)

/* Retry time of a refused caller while no service time is known. */
#define DEFAULT_RETRY_US INT64_C (100000)
#define MIN_RETRY_US INT64_C (1000)

/* Bounds of the cost of one entry: with a larger one a single entry could
   delay the round robin, with a smaller one rounds would take too long. */
#define MIN_COST (1.0 / 16)
#define MAX_COST 16.0
#define MIN_WEIGHT 0.01
#define MAX_WEIGHT 100.0

/* Idle queues kept for their next use, beyond twice the number of queues in
   use. */
#define SPARE_QUEUES 64

/** Priority of a class. */
enum band
{
  BAND_FIRST,  /**< Writes and reads that must see the session's writes. */
  BAND_BROWSE, /**< Other reads. */
  BAND_COUNT
};

struct admission_queue
{
  char *organisation; /**< NULL for the list of expired entries. */
  enum band band;
  double weight;
  double deficit; /**< Cost that may still be served in this round. */
  double backlog; /**< Cost of all entries in the queue. */
  /** Moving average of the time between pops, in microseconds for a cost of 1,
   * since the queue was last empty; 0: unknown.  It includes the service time
   * of entries of other queues that arrived later, which the backlogs do not
   * show. */
  double pop_interval;
  int64_t popped_at; /**< Time of the last pop; 0: none since it was empty. */
  int count;
  struct admission_entry *first, *last;
  /** Neighbours in the ring of the band's queues that have entries. */
  struct admission_queue *next, *previous;
};

/** Deficit round robin over the queues of one band. */
struct band_state
{
  struct admission_queue *current; /**< Queue that is served now. */
  bool quantum_added;              /**< The quantum of its turn was added. */
  int active;                      /**< Number of queues in the ring. */
  double total_weight;             /**< Sum of their weights. */
  double backlog;                  /**< Cost of all entries in the band. */
  double max_cost;     /**< Largest cost queued since the band was empty. */
  double mean_service; /**< Moving average of the service time, in
                          microseconds for a cost of 1; 0: unknown. */
};

struct admission
{
  struct admission_options options;
  struct band_state bands[BAND_COUNT];
  /** Grows with the cost that is served from BAND_FIRST while entries of both
   * bands wait; BAND_BROWSE is served once it covers its next entry. */
  double browse_credit;
  /** All queues, sorted by organisation and band. */
  struct admission_queue **queues;
  size_t queue_count, queue_capacity;
  size_t active_count; /**< Queues that have entries. */
  /** Entries that wait for admission_pop_expired. */
  struct admission_queue expired;
  /** Heap of the entries with a deadline, the earliest first. */
  struct admission_entry **heap;
  size_t heap_count, heap_capacity;
  int queued;  /**< Entries in the queues, expired ones not included. */
  int running; /**< Popped requests that have not ended. */
  /** Largest values of running in this window and the one before. */
  int peak, previous_peak;
  int64_t peak_since; /**< When this window began. */
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

/* Band of an entry; with the option fifo all entries are in one queue of one
   band. */
static enum band
entry_band (const struct admission *a, const struct admission_entry *e)
{
  return e->class_ == CLASS_BROWSE && !a->options.fifo ? BAND_BROWSE
                                                       : BAND_FIRST;
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

/* Heap of the deadlines. */

static void
heap_place (struct admission *a, size_t index, struct admission_entry *e)
{
  a->heap[index] = e;
  e->heap_index = index;
}

static void
heap_sift_up (struct admission *a, size_t index, struct admission_entry *e)
{
  while (index > 0 && a->heap[(index - 1) / 2]->deadline > e->deadline)
    {
      heap_place (a, index, a->heap[(index - 1) / 2]);
      index = (index - 1) / 2;
    }
  heap_place (a, index, e);
}

static void
heap_sift_down (struct admission *a, size_t index, struct admission_entry *e)
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
  if (a->heap_count == a->heap_capacity)
    {
      a->heap_capacity = a->heap_capacity != 0 ? 2 * a->heap_capacity : 64;
      a->heap = talloc_realloc (a, a->heap, struct admission_entry *,
                                a->heap_capacity);
    }
  heap_sift_up (a, a->heap_count++, e);
}

static void
heap_remove (struct admission *a, struct admission_entry *e)
{
  struct admission_entry *moved = a->heap[--a->heap_count];
  size_t index = e->heap_index;
  if (moved == e)
    return;
  if (index > 0 && a->heap[(index - 1) / 2]->deadline > moved->deadline)
    heap_sift_up (a, index, moved);
  else
    heap_sift_down (a, index, moved);
}

/* Queues by organisation. */

static int
compare_queue (const struct admission_queue *q, const char *organisation,
               enum band band)
{
  int order = strcmp (q->organisation, organisation);
  return order != 0 ? order : (int)q->band - (int)band;
}

/* Index of the first queue that does not sort before the organisation and
   band. */
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

/* Free the empty queues, so that memory stays proportional to the number of
   organisations in use.  The cost is constant per created queue on average,
   because many queues are created between two calls. */
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

/* Find the queue of an organisation and band, or create it. */
static struct admission_queue *
get_queue (struct admission *a, const char *organisation, enum band band)
{
  struct admission_queue *q = find_queue (a, organisation, band);
  if (q != NULL)
    return q;
  if (a->queue_count >= 2 * a->active_count + SPARE_QUEUES)
    drop_idle_queues (a);
  if (a->queue_count == a->queue_capacity)
    {
      a->queue_capacity = a->queue_capacity != 0 ? 2 * a->queue_capacity : 16;
      a->queues = talloc_realloc (a, a->queues, struct admission_queue *,
                                  a->queue_capacity);
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

/* Add a queue that was empty to the ring of its band. */
static void
ring_insert (struct admission *a, struct admission_queue *q)
{
  struct band_state *b = &a->bands[q->band];
  q->deficit = q->pop_interval = 0;
  q->popped_at = 0;
  if (b->current == NULL)
    {
      q->next = q->previous = q;
      b->current = q;
      b->quantum_added = false;
    }
  else
    {
      /* The place before the current queue is served after all others. */
      q->next = b->current;
      q->previous = b->current->previous;
      q->previous->next = q;
      b->current->previous = q;
    }
  b->active++;
  b->total_weight += q->weight;
  a->active_count++;
}

static void
ring_remove (struct admission *a, struct admission_queue *q)
{
  struct band_state *b = &a->bands[q->band];
  b->active--;
  b->total_weight -= q->weight;
  a->active_count--;
  if (b->active == 0)
    {
      /* Reset the sums to zero, so that rounding errors do not add up. */
      b->current = NULL;
      b->total_weight = b->backlog = b->max_cost = 0;
      return;
    }
  if (b->current == q)
    {
      b->current = q->next;
      b->quantum_added = false;
    }
  q->previous->next = q->next;
  q->next->previous = q->previous;
}

/* Change the weight of a queue, since operators do so while requests wait. */
static void
set_weight (struct admission *a, struct admission_queue *q, double weight)
{
  if (q->count > 0)
    a->bands[q->band].total_weight += weight - q->weight;
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

/* Remove an entry from its queue and from the heap, and a queue that becomes
   empty from the ring. */
static void
dequeue (struct admission *a, struct admission_entry *e)
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

/* Concurrency and estimate of the time in the queue. */

static void
update_average (double *mean, double sample, double gain)
{
  *mean = *mean <= 0 ? sample : *mean + (sample - *mean) * gain;
}

/* Number of requests that the endpoints are able to run at the same time, as
   far as the recent peak shows. */
static int
concurrency (const struct admission *a)
{
  int peak = a->peak > a->previous_peak ? a->peak : a->previous_peak;
  return peak > 1 ? peak : 1;
}

/* Update the peak of running requests. */
static void
update_peak (struct admission *a, int64_t now)
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

/* Cost in the band that is served before a new entry of the queue @p q: the
   cost in this queue, and that of the other queues.  While this queue is
   served, the others are served at most in proportion to their weights, and no
   more than they have queued. */
static double
cost_ahead (const struct band_state *b, const struct admission_queue *q,
            double weight, double cost)
{
  double own = q != NULL ? q->backlog : 0;
  double total_weight = b->total_weight + (own > 0 ? 0 : weight);
  double ahead = own + (own + cost) * (total_weight - weight) / weight;
  return ahead < b->backlog ? ahead : b->backlog;
}

/* Service time in microseconds of the entries that are served before the entry
   @p e, if they ran one at a time. */
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
  /* Cost of the other band that is served meanwhile: the smallest share of
     BAND_BROWSE if the entry is in BAND_FIRST, else all that is queued in
     BAND_FIRST, as far as the share of BAND_BROWSE allows it. */
  double other_ahead = band == BAND_FIRST
                           ? (ahead + cost) * share / (1 - share)
                       : share > 0 ? (ahead + cost) * (1 - share) / share
                                   : other->backlog;
  if (other_ahead > other->backlog)
    other_ahead = other->backlog;
  return ahead * own->mean_service + other_ahead * other->mean_service;
}

int64_t
admission_estimate (const struct admission *a,
                    const struct admission_entry *entry)
{
  enum band band = entry_band (a, entry);
  const struct band_state *b = &a->bands[band];
  const struct admission_queue *q
      = find_queue (a, entry_queue_name (a, entry), band);
  if (b->mean_service <= 0)
    return 0;
  double wait = service_ahead (a, q, entry);
  /* If the concurrency is used up, a running request ends after half a service
     time on average, divided by the concurrency. */
  if (a->running >= concurrency (a))
    wait += b->mean_service / 2;
  wait /= concurrency (a);
  if (q != NULL && q->count > 0 && wait < q->pop_interval * q->backlog)
    wait = q->pop_interval * q->backlog;
  return (int64_t)(wait + b->mean_service * entry_cost (entry));
}

/* Whether the entry's deadline passed or is not met by the estimate.
   @param retry_us set in the second case. */
static bool
is_too_late (const struct admission *a, const struct admission_entry *e,
             int64_t now, int64_t *retry_us)
{
  if (e->deadline <= 0)
    return false;
  if (e->deadline <= now)
    return true;
  /* If no other request is queued or running, the request is queued in spite
     of the estimate: its service time corrects an estimate from a time when
     the endpoint was slow. */
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
  update_peak (a, now);
  if (is_too_late (a, entry, now, retry_us))
    return ADMISSION_TOO_LATE;
  struct admission_queue *q = get_queue (a, name, band);
  if (q->count >= a->options.max_queued)
    {
      /* The time in which half of the queue is served. */
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

/* Move an entry to the list of expired entries. */
static void
move_to_expired (struct admission *a, struct admission_entry *e)
{
  dequeue (a, e);
  link_last (&a->expired, e);
}

/* Whether the entry's deadline passed or would pass while it runs.  Such an
   entry is not started, since its caller would get the outcome unknown instead
   of not_run.  If no request is running, only a passed deadline counts, so
   that the service time is measured again. */
static bool
cannot_finish (const struct admission *a, const struct admission_entry *e,
               int64_t now)
{
  const struct band_state *b = &a->bands[e->queue->band];
  if (e->deadline <= 0)
    return false;
  if (a->options.no_early_refusal || a->running == 0)
    return e->deadline <= now;
  return e->deadline <= now + (int64_t)(b->mean_service * entry_cost (e));
}

/* The entry that deficit round robin serves next, or NULL.  The quantum of a
   queue with the mean weight is the largest cost, so that a round serves at
   least one entry per queue on average and a call takes constant time on
   average. */
static struct admission_entry *
next_in_band (struct admission *a, enum band band, int64_t now)
{
  struct band_state *b = &a->bands[band];
  while (b->current != NULL)
    {
      struct admission_queue *q = b->current;
      struct admission_entry *e = q->first;
      if (cannot_finish (a, e, now))
        {
          move_to_expired (a, e);
          continue;
        }
      if (!b->quantum_added)
        {
          q->deficit += b->max_cost * q->weight * b->active / b->total_weight;
          b->quantum_added = true;
        }
      if (q->deficit >= entry_cost (e))
        return e;
      b->current = q->next;
      b->quantum_added = false;
    }
  return NULL;
}

/* Choose the next entry: from BAND_FIRST, but BAND_BROWSE gets browse_share of
   the cost served while entries of both wait. */
static struct admission_entry *
choose_entry (struct admission *a, int64_t now)
{
  struct admission_entry *first = next_in_band (a, BAND_FIRST, now);
  struct admission_entry *browse = next_in_band (a, BAND_BROWSE, now);
  double share = a->options.browse_share;
  if (first == NULL || browse == NULL)
    {
      a->browse_credit = 0;
      return first != NULL ? first : browse;
    }
  if (a->browse_credit >= (1 - share) * entry_cost (browse))
    {
      a->browse_credit -= (1 - share) * entry_cost (browse);
      return browse;
    }
  a->browse_credit += share * entry_cost (first);
  return first;
}

struct admission_entry *
admission_pop (struct admission *a, int64_t now)
{
  struct admission_entry *e = choose_entry (a, now);
  if (e == NULL)
    return NULL;
  struct admission_queue *q = e->queue;
  double cost = entry_cost (e);
  q->deficit -= cost;
  if (q->popped_at > 0)
    update_average (&q->pop_interval, (double)(now - q->popped_at) / cost,
                    POP_INTERVAL_GAIN);
  q->popped_at = now;
  dequeue (a, e);
  a->running++;
  update_peak (a, now);
  return e;
}

struct admission_entry *
admission_pop_expired (struct admission *a, int64_t now)
{
  struct admission_entry *e = a->expired.first;
  if (e == NULL && a->heap_count > 0 && a->heap[0]->deadline <= now)
    {
      e = a->heap[0];
      move_to_expired (a, e);
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
    dequeue (a, entry);
}

void
admission_done (struct admission *a, const struct admission_entry *entry,
                int64_t service_us, int64_t now)
{
  struct band_state *b = &a->bands[entry_band (a, entry)];
  update_peak (a, now);
  a->running--;
  if (service_us < 0)
    return;
  update_average (&b->mean_service, (double)service_us / entry_cost (entry),
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

/* Number of requests whose mean latency is compared with the reference.
   Single latencies are not compared: with exponential service times the lowest
   one is so small that almost every request exceeds twice of it. */
#define BATCH_SIZE 32

/* The reference latency is measured by a probe at this interval, with a
   quarter of the limit.  Without the lower limit, an overload that lasts would
   become the new reference and the limit would grow step by step.  The
   reference is the mean of one longer batch, because the lowest mean of many
   batches of 16 was half of the overall mean and held the limit at 1. */
#define PROBE_INTERVAL_US INT64_C (5000000)
#define PROBE_LIMIT_DIVISOR 4
#define PROBE_BATCH_SIZE 64
#define PROBE_MIN_BATCH 16
/* A probe of a slow endpoint ends after this time with PROBE_MIN_BATCH
   samples. */
#define PROBE_MAX_US INT64_C (500000)
/* Smallest ratio of the interval between probes to the duration of a probe,
   while the limit is at least three quarters of the slots: with 2 to 8 slots a
   probe every 5 s cost 6 to 8% of the answers. */
#define PROBE_MIN_INTERVAL_RATIO 50

/* The limit is decreased if a batch's mean latency exceeds the reference by
   this factor. */
#define SLOW_RATIO 2.0
#define DECREASE_FACTOR 0.7
/* Largest increase of the limit after one batch. */
#define MAX_INCREASE 2.0

struct admission_limit
{
  enum admission_limit_mode mode;
  int slots;           /**< Largest value of the limit. */
  double limit;        /**< Current limit; its whole part is in force. */
  int running;         /**< Reserved slots. */
  int batch_count;     /**< Requests in the current batch. */
  int batch_peak;      /**< Largest value of running during the batch. */
  double batch_sum;    /**< Sum of the batch's latencies in microseconds. */
  double reference_us; /**< Mean latency of the newest probe; 0: unknown. */
  bool probing;
  int64_t probe_started_at;      /**< When the newest probe started. */
  int64_t probe_duration_us;     /**< Time that the last ended probe took. */
  double limit_after_probe;      /**< Limit after the probe. */
  int64_t ignore_started_before; /**< Requests that started earlier do not
                                    count. */
};

struct admission_limit *
admission_limit_create (void *parent, int slots)
{
  struct admission_limit *l = talloc_zero (parent, struct admission_limit);
  l->slots = slots > 1 ? slots : 1;
  l->limit = l->slots;
  l->ignore_started_before = INT64_MIN;
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
  if (l->limit_after_probe > l->slots)
    l->limit_after_probe = l->slots;
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

/* Lower the limit and ignore the requests that started before. */
static void
start_probe (struct admission_limit *l, int64_t now)
{
  l->probing = true;
  l->limit_after_probe = l->limit;
  l->limit = clamp (l->limit / PROBE_LIMIT_DIVISOR, 1, l->slots);
  l->probe_started_at = l->ignore_started_before = now;
}

static void
end_probe (struct admission_limit *l, double mean, int64_t now)
{
  l->probing = false;
  l->probe_duration_us = now - l->probe_started_at;
  l->limit = l->limit_after_probe;
  l->reference_us = mean;
}

static void
decrease_limit (struct admission_limit *l, int64_t now)
{
  if (l->probing)
    l->limit_after_probe
        = clamp (l->limit_after_probe * DECREASE_FACTOR, 1, l->slots);
  else
    l->limit = clamp (l->limit * DECREASE_FACTOR, 1, l->slots);
  l->ignore_started_before = now;
}

/* Decrease the limit if the batch was slow, increase it if it was used. */
static void
adjust_limit (struct admission_limit *l, double mean, int64_t now)
{
  double step = l->batch_count / l->limit;
  /* While the limit is not used, the latency does not show whether a higher
     limit would be too high. */
  bool used = 2 * l->batch_peak >= admission_limit_value (l);
  if (mean > SLOW_RATIO * l->reference_us)
    decrease_limit (l, now);
  else if (used)
    l->limit = clamp (l->limit + (step < MAX_INCREASE ? step : MAX_INCREASE),
                      1, l->slots);
}

static bool
batch_is_complete (const struct admission_limit *l, int64_t now)
{
  if (!l->probing)
    return l->batch_count >= BATCH_SIZE;
  return l->batch_count >= PROBE_BATCH_SIZE
         || (l->batch_count >= PROBE_MIN_BATCH
             && now - l->probe_started_at >= PROBE_MAX_US);
}

static bool
probe_is_due (const struct admission_limit *l, int64_t now)
{
  int64_t interval = PROBE_INTERVAL_US;
  if (l->mode != LIMIT_ADAPTIVE || l->probing)
    return false;
  if (4 * l->limit >= 3 * l->slots
      && l->probe_duration_us * PROBE_MIN_INTERVAL_RATIO > interval)
    interval = l->probe_duration_us * PROBE_MIN_INTERVAL_RATIO;
  return now - l->probe_started_at >= interval;
}

static void
end_batch (struct admission_limit *l, int64_t now)
{
  double mean = l->batch_sum / l->batch_count;
  if (l->probing)
    end_probe (l, mean, now);
  else if (l->reference_us > 0)
    adjust_limit (l, mean, now);
  if (l->reference_us <= 0 || probe_is_due (l, now))
    start_probe (l, now);
  reset_batch (l);
}

void
admission_limit_end (struct admission_limit *l, int64_t latency_us,
                     bool failed, int64_t now)
{
  /* The peak is updated here and not when a slot is reserved, so that
     cancelled slots do not count. */
  if (l->running > l->batch_peak)
    l->batch_peak = l->running;
  l->running--;
  /* A decrease already took into account the requests that started before it,
     and a probe does not measure them. */
  if (now - latency_us < l->ignore_started_before)
    return;
  if (failed)
    {
      decrease_limit (l, now);
      reset_batch (l);
      return;
    }
  l->batch_sum += (double)latency_us;
  l->batch_count++;
  if (batch_is_complete (l, now))
    end_batch (l, now);
}
