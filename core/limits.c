#include "core/limits.h"

#include <math.h>
#include <string.h>
#include <talloc.h>

/* Weight of the newest period in the reported demand. */
#define DEMAND_WEIGHT 0.4
/* Share of the rate that a daemon without demand keeps, so that its first
   requests need not wait for the next exchange. */
#define IDLE_FRACTION 0.02
/* Part of the limit that is shared out; the rest covers the time in which
   two daemons use different reports. */
#define SHARED_FRACTION 0.97
#define USEC_PER_S 1e6
#define MSEC_PER_S 1e3

struct bucket
{
  uint64_t organisation;
  double rate; /**< Of the organisation, requests per second. */
  double burst;
  double share; /**< Of this daemon, 0 to 1. */
  double tokens;
  int64_t filled; /**< When tokens was computed. */
  unsigned asked; /**< Since the last report. */
  double demand;  /**< As reported last. */
  bool configured;
};

struct report
{
  uint64_t daemon;
  int64_t heard;
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
  double most = b->burst * b->share;
  if (now > b->filled)
    b->tokens += (double)(now - b->filled) / USEC_PER_S * b->rate * b->share;
  b->filled = now;
  if (b->tokens > most)
    b->tokens = most;
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
  b->rate = rate * SHARED_FRACTION;
  b->burst = burst * SHARED_FRACTION;
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
  if (b->tokens >= 1)
    {
      b->tokens -= 1;
      return true;
    }
  double rate = b->rate * b->share;
  double wait = rate > 0 ? (1 - b->tokens) / rate : 1;
  *retry_ms = (int)ceil ((wait < 1 ? wait : 1) * MSEC_PER_S);
  return false;
}

int
limits_report (struct limits *l, struct limits_demand *out, int most,
               int64_t now)
{
  double seconds = (double)(now - l->reported) / USEC_PER_S;
  int count = 0;
  if (l->reported == 0 || seconds <= 0)
    seconds = 1;
  l->reported = now;
  for (int i = 0; i < l->bucket_count; i++)
    {
      struct bucket *b = &l->buckets[i];
      b->demand += DEMAND_WEIGHT * (b->asked / seconds - b->demand);
      b->asked = 0;
      if (b->demand < IDLE_FRACTION)
        b->demand = 0;
      if (count < most && b->demand > 0)
        out[count++] = (struct limits_demand){ b->organisation, b->demand };
    }
  return count;
}

void
limits_heard (struct limits *l, uint64_t daemon,
              const struct limits_demand *demand, int count, int64_t now)
{
  int i = 0;
  while (i < l->report_count && l->reports[i].daemon != daemon)
    i++;
  if (i == LIMITS_MAX_OWNERS)
    return;
  struct report *r = &l->reports[i];
  if (i == l->report_count)
    {
      *r = (struct report){ .daemon = daemon };
      l->report_count++;
    }
  r->heard = now;
  r->count = count;
  r->demand
      = talloc_realloc (l, r->demand, struct limits_demand, (size_t)count + 1);
  memcpy (r->demand, demand, sizeof demand[0] * (size_t)count);
}

static double
demand_of (const struct report *r, uint64_t organisation)
{
  for (int i = 0; i < r->count; i++)
    if (r->demand[i].organisation == organisation)
      return r->demand[i].per_s;
  return 0;
}

void
limits_share (struct limits *l, bool owns, int64_t max_age_us, int64_t now)
{
  for (int i = 0; i < l->bucket_count; i++)
    {
      struct bucket *b = &l->buckets[i];
      double least = b->rate * IDLE_FRACTION;
      double own = fmax (b->demand, least);
      double total = own;
      for (int k = 0; k < l->report_count; k++)
        if (now - l->reports[k].heard <= max_age_us)
          total += fmax (demand_of (&l->reports[k], b->organisation), least);
      fill (b, now);
      b->share = owns && total > 0 ? own / total : 0;
      fill (b, now);
    }
}
