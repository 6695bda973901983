#include "core/limits.h"

#include <math.h>
#include <string.h>
#include <talloc.h>

/* Time constant of the reported demand: two heartbeats of 200 ms. */
#define DEMAND_TIME_S 0.4
/* Share of the rate that a daemon without demand keeps, so that its first
   requests need not wait for the next exchange. */
#define IDLE_FRACTION 0.02
/* What a daemon may spend beyond its share in one period: this many tokens, or
   this part of the bucket.  Eight owners together stay within the 20 requests
   and the tenth that the limit tolerates. */
#define EXTRA_TOKENS 2
#define EXTRA_FRACTION 0.05
/* A daemon that has spent this many tokens of one organisation, and this part
   of its bucket, since its last report tells it at once: at the begin of a
   burst the owners would spend the same tokens until their next reports. */
#define EARLY_TOKENS 4
#define EARLY_FRACTION 0.1
/* What was spent too much is missing for this time at most; it is the window
   in which the limit is judged. */
#define MAX_DEBT_S 5
/* Silence after which a daemon's bucket is taken over instead of what it
   spent: a lease, in which at most the burst is refilled. */
#define SILENCE_US INT64_C (1000000)
/* Shortest period; heartbeats may be sent more often. */
#define PERIOD_US INT64_C (150000)
#define USEC_PER_S 1e6
#define MSEC_PER_S 1e3

struct bucket
{
  uint64_t organisation;
  double rate; /**< Of the organisation, requests per second. */
  double burst;
  double share;     /**< Of this daemon, 0 to 1; 0 if it owns nothing. */
  double tokens;    /**< Of the whole fleet, as known here. */
  double allowance; /**< What this daemon may spend of them now. */
  int64_t filled;   /**< When tokens was computed. */
  uint64_t spent;   /**< Here, since the reports mention the organisation. */
  uint64_t told;    /**< Of that, what the last report said. */
  unsigned asked;   /**< Since the last report. */
  double demand;    /**< As reported last. */
  bool configured;
};

struct report
{
  uint64_t daemon;
  uint64_t incarnation;
  int64_t heard;
  bool owns; /**< It owned services then. */
  struct limits_demand *demand;
  int count;
};

struct limits
{
  struct bucket *buckets;
  int bucket_count;
  struct report reports[LIMITS_MAX_OWNERS];
  int report_count;
  int64_t reported;
  int64_t shared; /**< Begin of the period. */
  bool wants_report;
  bool owns;
};

struct limits *
limits_create (void *parent)
{
  return talloc_zero (parent, struct limits);
}

static struct bucket *
find_bucket (const struct limits *l, uint64_t organisation)
{
  for (int i = 0; i < l->bucket_count; i++)
    if (l->buckets[i].organisation == organisation)
      return &l->buckets[i];
  return NULL;
}

static void
fill (struct bucket *b, int64_t now)
{
  if (now > b->filled)
    {
      double fresh = (double)(now - b->filled) / USEC_PER_S * b->rate;
      b->tokens += fresh;
      b->allowance += fresh * b->share;
    }
  b->filled = now;
  if (b->tokens > b->burst)
    b->tokens = b->burst;
}

void
limits_configure (struct limits *l, uint64_t organisation, double rate,
                  double burst, int64_t now)
{
  struct bucket *b = find_bucket (l, organisation);
  if (b == NULL)
    {
      l->buckets = talloc_realloc (l, l->buckets, struct bucket,
                                   (size_t)l->bucket_count + 1);
      b = &l->buckets[l->bucket_count++];
      *b = (struct bucket){ .organisation = organisation, .filled = now };
    }
  else
    fill (b, now);
  b->rate = rate;
  b->burst = burst;
  b->configured = true;
  fill (b, now);
}

void
limits_forget_others (struct limits *l)
{
  int kept = 0;
  for (int i = 0; i < l->bucket_count; i++)
    {
      if (!l->buckets[i].configured)
        continue;
      l->buckets[kept] = l->buckets[i];
      l->buckets[kept++].configured = false;
    }
  l->bucket_count = kept;
}

bool
limits_take (struct limits *l, uint64_t organisation, int64_t now,
             int *retry_ms)
{
  struct bucket *b = find_bucket (l, organisation);
  if (b == NULL)
    {
      *retry_ms = (int)MSEC_PER_S;
      return false;
    }
  b->asked++;
  fill (b, now);
  if (b->tokens >= 1 && b->allowance >= 1)
    {
      b->tokens -= 1;
      b->allowance -= 1;
      b->spent++;
      if ((double)(b->spent - b->told)
          >= fmax (EARLY_TOKENS, b->burst * EARLY_FRACTION))
        l->wants_report = true;
      return true;
    }
  double wait = b->rate > 0 ? (1 - b->tokens) / b->rate : 1;
  wait = fmin (fmax (wait, PERIOD_US / USEC_PER_S), 1);
  *retry_ms = (int)ceil (wait * MSEC_PER_S);
  return false;
}

int
limits_report (struct limits *l, struct limits_demand *out, int most,
               int64_t now)
{
  double seconds = (double)(now - l->reported) / USEC_PER_S;
  int count = 0;
  if (l->reported == 0)
    seconds = 1;
  /* Reports may follow each other closely. */
  double weight = 1 - exp (-seconds / DEMAND_TIME_S);
  l->reported = now;
  l->wants_report = false;
  for (int i = 0; i < l->bucket_count && count < most; i++)
    {
      struct bucket *b = &l->buckets[i];
      if (seconds > 0)
        {
          b->demand += weight * (b->asked / seconds - b->demand);
          b->asked = 0;
        }
      if (b->demand < IDLE_FRACTION)
        b->demand = 0;
      if (b->demand <= 0 && b->spent == b->told)
        {
          /* Not mentioned: the others count from zero the next time. */
          b->spent = b->told = 0;
          continue;
        }
      b->told = b->spent;
      fill (b, now);
      out[count++] = (struct limits_demand){ b->organisation, b->spent,
                                             b->demand, b->tokens };
    }
  return count;
}

static struct limits_demand *
find_entry (const struct report *r, uint64_t organisation)
{
  for (int i = 0; i < r->count; i++)
    if (r->demand[i].organisation == organisation)
      return &r->demand[i];
  return NULL;
}

static struct report *
find_report (struct limits *l, uint64_t daemon)
{
  for (int i = 0; i < l->report_count; i++)
    if (l->reports[i].daemon == daemon)
      return &l->reports[i];
  return NULL;
}

bool
limits_wants_report (const struct limits *l)
{
  return l->wants_report;
}

/* Take what another daemon has spent since its last report from the bucket. */
static void
subtract_spent (struct limits *l, const struct limits_demand *last,
                const struct limits_demand *entry, int64_t now)
{
  struct bucket *b = find_bucket (l, entry->organisation);
  uint64_t before = last != NULL ? last->spent : 0;
  /* A count that is smaller than before began at zero again. */
  uint64_t spent
      = entry->spent >= before ? entry->spent - before : entry->spent;
  if (b == NULL)
    return;
  fill (b, now);
  double debt = b->burst + b->rate * MAX_DEBT_S;
  b->tokens = fmax (b->tokens - (double)spent, -debt);
}

/* The sender followed the bucket in a silence; this daemon did not. */
static void
take_over (struct limits *l, const struct limits_demand *entry, int64_t now)
{
  struct bucket *b = find_bucket (l, entry->organisation);
  if (b == NULL)
    return;
  fill (b, now);
  b->tokens = fmin (b->tokens, entry->tokens);
}

void
limits_heard (struct limits *l, const struct limits_sender *sender,
              const struct limits_demand *demand, int count, int64_t now)
{
  struct report *r = find_report (l, sender->daemon);
  bool is_first = r == NULL;
  if (is_first)
    {
      if (l->report_count == LIMITS_MAX_OWNERS)
        return;
      r = &l->reports[l->report_count++];
      *r = (struct report){ .daemon = sender->daemon };
    }
  bool is_restarted = r->incarnation != sender->incarnation;
  bool was_silent = !is_first && !is_restarted && now - r->heard > SILENCE_US;
  if (is_restarted)
    r->count = 0;
  r->incarnation = sender->incarnation;
  r->heard = now;
  r->owns = sender->owns;
  /* What was spent before the sender was first heard of is not known. */
  for (int k = 0; !is_first && k < count; k++)
    if (was_silent)
      take_over (l, &demand[k], now);
    else
      subtract_spent (l, find_entry (r, demand[k].organisation), &demand[k],
                      now);
  r->demand
      = talloc_realloc (l, r->demand, struct limits_demand, (size_t)count + 1);
  if (count > 0)
    memcpy (r->demand, demand, (size_t)count * sizeof *demand);
  r->count = count;
}

static double
demand_of (const struct report *r, uint64_t organisation)
{
  const struct limits_demand *entry = find_entry (r, organisation);
  return entry != NULL ? entry->per_s : 0;
}

static void
begin_period (struct bucket *b)
{
  double extra = fmax (EXTRA_TOKENS, b->tokens * EXTRA_FRACTION);
  b->allowance
      = b->tokens < 1 || b->share <= 0 ? 0 : b->tokens * b->share + extra;
}

void
limits_share (struct limits *l, bool owns, int64_t max_age_us, int64_t now)
{
  if (owns == l->owns && l->shared != 0 && now - l->shared < PERIOD_US)
    return;
  l->owns = owns;
  l->shared = now;
  for (int i = 0; i < l->bucket_count; i++)
    {
      struct bucket *b = &l->buckets[i];
      double least = b->rate * IDLE_FRACTION;
      double own = fmax (b->demand, least);
      double total = own;
      for (int k = 0; k < l->report_count; k++)
        if (l->reports[k].owns && now - l->reports[k].heard <= max_age_us)
          total += fmax (demand_of (&l->reports[k], b->organisation), least);
      fill (b, now);
      b->share = owns && total > 0 ? own / total : 0;
      if (!owns)
        b->demand = 0;
      begin_period (b);
    }
}
