#include "core/latency.h"

#include <math.h>
#include <sodium.h>

#define DEFAULT_MAX_KINDS 64
#define DEFAULT_HIGH_QUANTILE 0.99
#define DEFAULT_UNLOADED_QUANTILE 0.1
#define DEFAULT_DECAY_US INT64_C (10000000)
#define DEFAULT_UNLOADED_DECAY_US INT64_C (60000000)
#define DEFAULT_NEW_HIGH_US INT64_C (400000)
/* Buckets per factor of two, and the exponents of the lowest and the highest
   bound: 128 us to 67 s. */
#define STEPS_PER_POWER 8
#define LOWEST_POWER 7
#define POWERS 19
#define BUCKETS (STEPS_PER_POWER * POWERS)
/* A kind with fewer times than this is new. */
#define NEW_COUNT 16
/* The unloaded time is known from this many times on. */
#define UNLOADED_COUNT 8
/* While a kind has fewer times than the high quantile needs, its high quantile
   is at least this multiple of the mean: the largest of a few times says
   little about the next one. */
#define FEW_TIMES_FACTOR 4

/** A distribution of times with exponential decay. */
struct sketch
{
  float bucket[BUCKETS];
  double weight; /**< Sum of the buckets. */
  double sum;    /**< Sum of the times, decayed. */
  int64_t decayed_at;
};

/** Estimates of one kind. */
struct kind
{
  uint64_t id;
  uint64_t count;   /**< Times that were ever recorded. */
  int64_t high;     /**< Current high quantile. */
  int64_t unloaded; /**< Current unloaded time; 0: not known. */
  struct sketch recent;
  struct sketch history; /**< For the unloaded time. */
};

struct latency
{
  struct latency_options options;
  struct kind **kinds;
  int count;
  struct kind *newest; /**< Kind that was recorded last, NULL: none. */
};

uint64_t
latency_kind (int route, enum statement_verb verb, struct bstr shape)
{
  /* The digest only has to be the same within one process. */
  static const unsigned char key[crypto_shorthash_KEYBYTES] = { 0 };
  uint64_t parts[3] = { (uint64_t)route, (uint64_t)verb, 0 };
  uint64_t kind = 0;
  _Static_assert(sizeof kind == crypto_shorthash_BYTES, "digest of 64 bits");
  if (shape.len > 0)
    crypto_shorthash ((unsigned char *)&parts[2],
                      (const unsigned char *)shape.start, shape.len, key);
  crypto_shorthash ((unsigned char *)&kind, (const unsigned char *)parts,
                    sizeof parts, key);
  return kind;
}

struct latency *
latency_create (void *parent, const struct latency_options *options)
{
  struct latency *l = talloc_zero (parent, struct latency);
  struct latency_options *o = &l->options;
  if (options != NULL)
    *o = *options;
  if (o->max_kinds <= 0)
    o->max_kinds = DEFAULT_MAX_KINDS;
  if (o->high_quantile <= 0)
    o->high_quantile = DEFAULT_HIGH_QUANTILE;
  if (o->unloaded_quantile <= 0)
    o->unloaded_quantile = DEFAULT_UNLOADED_QUANTILE;
  if (o->decay_us <= 0)
    o->decay_us = DEFAULT_DECAY_US;
  if (o->unloaded_decay_us <= 0)
    o->unloaded_decay_us = DEFAULT_UNLOADED_DECAY_US;
  if (o->new_high_us <= 0)
    o->new_high_us = DEFAULT_NEW_HIGH_US;
  return l;
}

static struct kind *
find_kind (const struct latency *l, uint64_t id)
{
  if (l->options.ignore_kinds)
    return l->count > 0 ? l->kinds[0] : NULL;
  if (l->newest != NULL && l->newest->id == id)
    return l->newest;
  for (int i = 0; i < l->count; i++)
    if (l->kinds[i]->id == id)
      return l->kinds[i];
  return NULL;
}

/* @return the weight that the kind's times have by now. */
static double
weight_now (const struct latency *l, const struct kind *k, int64_t now)
{
  return k->recent.weight
         * exp (-(double)(now - k->recent.decayed_at)
                / (double)l->options.decay_us);
}

/* Forget the least used kind. */
static void
evict_kind (struct latency *l, int64_t now)
{
  int least = 0;
  for (int i = 1; i < l->count; i++)
    if (weight_now (l, l->kinds[i], now)
        < weight_now (l, l->kinds[least], now))
      least = i;
  if (l->newest == l->kinds[least])
    l->newest = NULL;
  talloc_free (l->kinds[least]);
  l->kinds[least] = l->kinds[--l->count];
}

static struct kind *
add_kind (struct latency *l, uint64_t id, int64_t now)
{
  if (l->count >= l->options.max_kinds)
    evict_kind (l, now);
  l->kinds = talloc_realloc (l, l->kinds, struct kind *, l->count + 1);
  struct kind *k = talloc_zero (l, struct kind);
  k->id = id;
  k->recent.decayed_at = k->history.decayed_at = now;
  l->kinds[l->count++] = k;
  return k;
}

static int
bucket_index (int64_t us)
{
  double steps
      = (log2 ((double)(us > 1 ? us : 1)) - LOWEST_POWER) * STEPS_PER_POWER;
  if (steps < 0)
    return 0;
  return steps < BUCKETS - 1 ? (int)steps : BUCKETS - 1;
}

/* @return the upper bound of a bucket. */
static int64_t
bucket_bound (int index)
{
  return (int64_t)exp2 (LOWEST_POWER + (index + 1.0) / STEPS_PER_POWER);
}

static void
add_time (struct sketch *s, int64_t us, int64_t now, int64_t decay_us)
{
  if (now > s->decayed_at)
    {
      float factor
          = (float)exp (-(double)(now - s->decayed_at) / (double)decay_us);
      s->weight = 0;
      for (int i = 0; i < BUCKETS; i++)
        {
          s->bucket[i] *= factor;
          s->weight += s->bucket[i];
        }
      s->sum *= factor;
      s->decayed_at = now;
    }
  s->bucket[bucket_index (us)]++;
  s->weight++;
  s->sum += (double)us;
}

/* @return the upper bound of the bucket that contains the quantile. */
static int64_t
quantile (const struct sketch *s, double q)
{
  double rank = q * s->weight, seen = 0;
  int last = 0;
  for (int i = 0; i < BUCKETS; i++)
    {
      if (s->bucket[i] <= 0)
        continue;
      last = i;
      seen += s->bucket[i];
      if (seen >= rank)
        break;
    }
  return bucket_bound (last);
}

static int64_t
mean (const struct sketch *s)
{
  return s->weight > 0 ? (int64_t)(s->sum / s->weight) : 0;
}

/* @return the high quantile of a kind that is not new. */
static int64_t
high_of (const struct latency *l, const struct kind *k)
{
  int64_t high = quantile (&k->recent, l->options.high_quantile);
  if (k->recent.weight * (1 - l->options.high_quantile) < 1)
    {
      int64_t least = FEW_TIMES_FACTOR * mean (&k->recent);
      high = high > least ? high : least;
    }
  return high;
}

void
latency_record (struct latency *l, uint64_t kind, int64_t us, int64_t now)
{
  struct kind *k = find_kind (l, kind);
  if (k == NULL)
    k = add_kind (l, kind, now);
  l->newest = k;
  k->count++;
  add_time (&k->recent, us, now, l->options.decay_us);
  add_time (&k->history, us, now, l->options.unloaded_decay_us);
  k->high = high_of (l, k);
  if (k->count >= UNLOADED_COUNT)
    k->unloaded = quantile (&k->history, l->options.unloaded_quantile);
}

int64_t
latency_mean (const struct latency *l, uint64_t kind)
{
  const struct kind *k = find_kind (l, kind);
  return k != NULL ? mean (&k->recent) : 0;
}

int64_t
latency_unloaded (const struct latency *l, uint64_t kind)
{
  const struct kind *k = find_kind (l, kind);
  return k != NULL ? k->unloaded : 0;
}

int64_t
latency_high (const struct latency *l, uint64_t kind)
{
  const struct kind *k = find_kind (l, kind);
  if (k != NULL && k->count >= NEW_COUNT)
    return k->high;
  int64_t widest = l->options.new_high_us;
  for (int i = 0; i < l->count; i++)
    if (l->kinds[i]->high > widest)
      widest = l->kinds[i]->high;
  return widest;
}
