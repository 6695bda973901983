#include "core/concurrency.h"

#include <math.h>
#include <string.h>
#include <talloc.h>

#define DEFAULT_DECAY_US INT64_C (5500000)
/* A pause in the answers longer than this counts as this. */
#define MAX_DECAY_US INT64_C (50000)
/* Levels that are told apart.  An endpoint with as many slots or more keeps
   its slots + 1 as the limit. */
#define MAX_LEVEL 33

/* Exponents of the slowdown above the knee: a part of the load is another
   daemon's; statements wait for slots; the endpoint does less in total. */
static const double exponents[] = { 0.7, 1, 2 };
#define EXPONENTS 3
/* The limit goes down to a level if the probability that the knee is above it
   is less than this multiplied by the square of the part of the limit that is
   left: a wrong fall from 2 to 1 costs half of the throughput. */
#define FALL_DOUBT 0.1
/* The limit goes up if the knee is above it with this probability. */
#define RISE_PROBABILITY 0.5
/* Probability, before any answers, that the endpoint does not slow down below
   its slots + 1. */
#define PRIOR_FLAT 0.8
/* Variance of the logarithm of the ratio within a level; it contains that
   ratios at the same time depend on each other. */
#define VARIANCE 0.7

/* Statements of a probe. */
#define PROBE_COUNT 8
/* Statements at the limit between two probes: while the best limit is not
   clear, and while it is. */
#define PROBE_PAUSE 40
#define PROBE_LONG_PAUSE 300
/* Less weight of the levels above the limit needs a probe soon. */
#define SCARCE_WEIGHT 4.0
/* Lower probes that follow each other after the endpoint or the limit has
   changed. */
#define UNSURE_PROBES 3
/* A lower level with more weight needs no probe. */
#define PROBE_WEIGHT 16.0
/* A probe without enough answers ends after this time. */
#define PROBE_MAX_US INT64_C (1000000)
/* The best limit is not clear while the probability that it is another one is
   above this. */
#define PROBE_DOUBT 0.5
/* Largest weight of a level other than the limit, so that the newest probes
   decide. */
#define PROBED_WEIGHT 48.0
/* Statements at the limit between two changes of it. */
#define CHANGE_PAUSE 16

/* The cumulative sum that shows a change of the endpoint (ten standard
   deviations of a ratio's logarithm), what is taken off the difference of each
   ratio, and the largest difference that counts. */
#define CHANGE_SUM 8
#define CHANGE_SLACK 0.5
#define MAX_DIFFERENCE 1.5
/* The first ratios are not used: the unloaded time, a low quantile, moves
   while few times are known. */
#define SKIPPED_COUNT 48
/* The weight from which a level's mean is known. */
#define KNOWN_WEIGHT 12.0
/* Part of the weight that older ratios keep after a change. */
#define CHANGE_WEIGHT 0.02
/* The limit goes down only if as many of the newest ratios are from below it;
   they count 1/e after FRESH_COUNT others. */
#define MIN_FRESH 4.0
#define FRESH_COUNT 64.0
/* The limit goes up only if the levels above it have this weight. */
#define MIN_HIGHER 8.0

/** Ratios of one level. */
struct level
{
  double weight; /**< Number of them, decayed. */
  double mean;   /**< Mean of their logarithm. */
};

/** What the limit is for the time of a probe. */
enum probe
{
  PROBE_NONE,
  PROBE_LOWER,
  PROBE_HIGHER
};

/** A slowdown in proportion to max (1, level / knee) to the power of the
 * exponent; a knee at the highest level is none. */
struct model
{
  int knee;
  double exponent;
};

struct concurrency
{
  struct concurrency_options options;
  int highest; /**< Highest level: the slots + 1. */
  int limit;
  int target; /**< Lowest limit that the newest estimate allows a fall to. */
  struct level levels[MAX_LEVEL + 1];
  double curve[MAX_LEVEL + 1];     /**< Expected logarithm of the ratio. */
  double logarithm[MAX_LEVEL + 1]; /**< Of the level. */
  double lower_probability;  /**< That the best limit is below the limit. */
  double higher_probability; /**< That it is above. */
  int64_t decayed_at;
  int skipped; /**< Ratios since the beginning, up to SKIPPED_COUNT. */
  /** Cumulative sums of unexpected differences, and the ratios since each
   * began. */
  double rise, fall;
  double rise_sum, fall_sum;
  int since_rise, since_fall;
  double fresh; /**< Newest ratios below the limit, decayed by their number. */
  enum probe probe;
  int probe_level;
  int probe_answers;
  int64_t probe_since;
  /* Statements at the limit since the last probe and the last change. */
  int unsure; /**< Lower probes that are due without a long pause. */
  int since_lower, since_higher, since_change;
};

static int
clamp_level (const struct concurrency *c, int level)
{
  return level < 1 ? 1 : level > c->highest ? c->highest : level;
}

void
concurrency_set_slots (struct concurrency *c, int slots)
{
  if (slots < 1)
    slots = 1;
  c->options.slots = slots;
  c->highest = slots + 1 < MAX_LEVEL ? slots + 1 : MAX_LEVEL;
  c->limit = c->target = clamp_level (c, slots);
  memset (c->levels, 0, sizeof c->levels);
  memset (c->curve, 0, sizeof c->curve);
  c->lower_probability = c->higher_probability = 1;
  c->rise = c->fall = c->rise_sum = c->fall_sum = c->fresh = 0;
  c->since_rise = c->since_fall = c->skipped = 0;
  c->probe = PROBE_NONE;
  /* The first probe comes as soon as the limit is in use. */
  c->since_lower = PROBE_LONG_PAUSE;
  c->unsure = UNSURE_PROBES;
  c->since_higher = c->since_change = 0;
}

struct concurrency *
concurrency_create (void *parent, const struct concurrency_options *options)
{
  struct concurrency *c = talloc_zero (parent, struct concurrency);
  c->options = *options;
  if (c->options.decay_us <= 0)
    c->options.decay_us = DEFAULT_DECAY_US;
  for (int i = 1; i <= MAX_LEVEL; i++)
    c->logarithm[i] = log (i);
  concurrency_set_slots (c, options->slots);
  return c;
}

static double
slowdown (const struct concurrency *c, const struct model *m, int level)
{
  return level <= m->knee
             ? 0
             : m->exponent * (c->logarithm[level] - c->logarithm[m->knee]);
}

/* @return the probability of the model, not normalised, compared with a model
   that explains all ratios.
   @param base set to the logarithm of the ratio without a slowdown. */
static double
model_probability (const struct concurrency *c, const struct model *m,
                   double *base)
{
  double weight = 0, sum = 0, squares = 0;
  for (int i = 1; i <= c->highest; i++)
    {
      double difference = c->levels[i].mean - slowdown (c, m, i);
      weight += c->levels[i].weight;
      sum += c->levels[i].weight * difference;
      squares += c->levels[i].weight * difference * difference;
    }
  *base = weight > 0 ? sum / weight : 0;
  double error = weight > 0 ? squares - sum * *base : 0;
  double prior = m->knee == c->highest
                     ? PRIOR_FLAT
                     : (1 - PRIOR_FLAT) / ((c->highest - 1) * EXPONENTS);
  return prior * exp (-error / (2 * VARIANCE));
}

/* @return the probability from which the limit goes down to the target. */
static double
fall_probability (const struct concurrency *c)
{
  double part = (double)c->target / c->limit;
  return part < 1 ? 1 - FALL_DOUBT * part * part : 1 - FALL_DOUBT;
}

/* Find the expected curve and the best limit. */
static void
update_estimate (struct concurrency *c)
{
  double slow[MAX_LEVEL + 1] = { 0 }, knees[MAX_LEVEL + 1] = { 0 };
  double total = 0, lower = 0, higher = 0;
  double base_sum = 0;
  for (int knee = 1; knee <= c->highest; knee++)
    for (int i = 0; i < (knee < c->highest ? EXPONENTS : 1); i++)
      {
        struct model m = { knee, exponents[i] };
        double base, p = model_probability (c, &m, &base);
        total += p;
        knees[knee] += p;
        base_sum += p * base;
        lower += knee < c->limit ? p : 0;
        higher += knee > c->limit ? p : 0;
        for (int k = knee + 1; k <= c->highest; k++)
          slow[k] += p * slowdown (c, &m, k);
      }
  if (total <= 0)
    return;
  c->lower_probability = lower / total;
  c->higher_probability = higher / total;
  double below = knees[1];
  c->target = 1;
  while (c->target < c->highest && below < fall_probability (c) * total)
    below += knees[++c->target];
  for (int i = 1; i <= c->highest; i++)
    c->curve[i] = (base_sum + slow[i]) / total;
}

/* Ratios count less with time, but not while there are no answers. */
static void
decay (struct concurrency *c, int64_t now)
{
  int64_t passed = now - c->decayed_at;
  c->decayed_at = now;
  if (passed <= 0)
    return;
  if (passed > MAX_DECAY_US)
    passed = MAX_DECAY_US;
  double factor = exp (-(double)passed / (double)c->options.decay_us);
  for (int i = 1; i <= c->highest; i++)
    c->levels[i].weight *= factor;
}

static void
add_ratio (struct concurrency *c, int level, double logarithm)
{
  struct level *l = &c->levels[level];
  if (level != c->limit && l->weight > PROBED_WEIGHT - 1)
    l->weight = PROBED_WEIGHT - 1;
  l->weight++;
  l->mean += (logarithm - l->mean) / l->weight;
}

/* Forget all ratios but a few of the newest ones, after the endpoint has
   changed. */
static void
forget (struct concurrency *c, int level, double mean, double weight)
{
  for (int i = 1; i <= c->highest; i++)
    c->levels[i].weight *= CHANGE_WEIGHT;
  c->levels[level] = (struct level){ weight, mean };
  c->rise = c->fall = c->since_rise = c->since_fall = 0;
  c->rise_sum = c->fall_sum = 0;
  c->since_lower = c->since_higher = PROBE_LONG_PAUSE;
  c->unsure = UNSURE_PROBES;
}

/* Notice a change of the endpoint: a cumulative sum of the differences from
   what was expected. */
static void
notice_change (struct concurrency *c, int level, double logarithm)
{
  const struct level *l = &c->levels[level];
  double expected = l->weight >= KNOWN_WEIGHT ? l->mean : c->curve[level];
  double difference = logarithm - expected;
  if (difference > MAX_DIFFERENCE)
    difference = MAX_DIFFERENCE;
  if (difference < -MAX_DIFFERENCE)
    difference = -MAX_DIFFERENCE;
  c->rise += difference - CHANGE_SLACK;
  c->fall -= difference + CHANGE_SLACK;
  c->rise_sum += logarithm;
  c->fall_sum += logarithm;
  c->since_rise++;
  c->since_fall++;
  if (c->rise <= 0)
    c->rise = c->rise_sum = c->since_rise = 0;
  if (c->fall <= 0)
    c->fall = c->fall_sum = c->since_fall = 0;
  if (c->rise > CHANGE_SUM)
    forget (c, level, c->rise_sum / c->since_rise, c->since_rise);
  else if (c->fall > CHANGE_SUM)
    forget (c, level, c->fall_sum / c->since_fall, c->since_fall);
}

static void
set_limit (struct concurrency *c, int limit)
{
  if (limit < c->limit)
    c->unsure = UNSURE_PROBES;
  c->limit = limit;
  c->since_change = 0;
}

static void
start_probe (struct concurrency *c, enum probe probe, int level, int64_t now)
{
  c->probe = probe;
  c->probe_level = level;
  c->probe_answers = 0;
  c->probe_since = now;
}

/* @return the weight of what is known of the levels that a lower probe is
   for.  Load that varies makes the probe unnecessary. */
static double
lower_weight (const struct concurrency *c)
{
  double weight = 0;
  for (int i = 1; i <= (c->limit + 1) / 2; i++)
    weight += c->levels[i].weight;
  return weight;
}

/* @return the weight of what is known of the levels above the limit. */
static double
higher_weight (const struct concurrency *c)
{
  double weight = 0;
  for (int i = c->limit + 1; i <= c->highest; i++)
    weight += c->levels[i].weight;
  return weight;
}

/* @return whether it is not clear that the limit is low enough. */
static bool
is_unsure (const struct concurrency *c)
{
  return c->unsure > 0 || c->lower_probability > PROBE_DOUBT;
}

/* @return how many statements at the limit come before the next higher probe,
   which costs less than a lower one. */
static int
higher_pause (const struct concurrency *c)
{
  return c->higher_probability > PROBE_DOUBT
                 || higher_weight (c) < SCARCE_WEIGHT
             ? PROBE_PAUSE
             : PROBE_LONG_PAUSE;
}

/* Change the limit or begin a probe, if there is reason to. */
static void
adjust (struct concurrency *c, int64_t now)
{
  int lower = (c->limit + 1) / 2;
  bool falls = c->target < c->limit;
  c->since_lower++;
  c->since_higher++;
  c->since_change++;
  if (c->since_change >= CHANGE_PAUSE
      && c->higher_probability > RISE_PROBABILITY
      && higher_weight (c) >= MIN_HIGHER)
    set_limit (c, c->limit + 1);
  else if (c->since_change >= CHANGE_PAUSE / 2 && falls
           && c->fresh >= MIN_FRESH)
    set_limit (c, c->target > lower ? c->target : lower);
  else if (falls && c->fresh < MIN_FRESH)
    start_probe (c, PROBE_LOWER, lower, now);
  else if (c->limit > 1
           && lower_weight (c) < (is_unsure (c) ? PROBED_WEIGHT : PROBE_WEIGHT)
           && c->since_lower
                  >= (is_unsure (c) ? PROBE_PAUSE : PROBE_LONG_PAUSE))
    {
      c->since_lower = 0;
      c->unsure -= c->unsure > 0;
      start_probe (c, PROBE_LOWER, lower, now);
    }
  else if (c->limit < c->highest && c->since_higher >= higher_pause (c))
    {
      c->since_higher = 0;
      start_probe (c, PROBE_HIGHER, c->limit + 1, now);
    }
}

void
concurrency_record (struct concurrency *c, double ratio, int running,
                    int64_t now)
{
  if (!(ratio > 0) || !isfinite (ratio) || c->options.slots >= MAX_LEVEL)
    return;
  if (c->skipped < SKIPPED_COUNT)
    {
      c->skipped++;
      return;
    }
  int level = clamp_level (c, running);
  decay (c, now);
  c->fresh += (level < c->limit) - c->fresh / FRESH_COUNT;
  notice_change (c, level, log (ratio));
  add_ratio (c, level, log (ratio));
  update_estimate (c);
  if (c->probe != PROBE_NONE)
    {
      c->probe_answers += level == c->probe_level;
      if (c->probe_answers >= PROBE_COUNT
          || now - c->probe_since > PROBE_MAX_US)
        c->probe = PROBE_NONE;
      return;
    }
  /* The time at less than the limit does not show whether the limit suits. */
  if (level < c->limit)
    return;
  adjust (c, now);
}

int
concurrency_settled (const struct concurrency *c)
{
  switch (c->options.mode)
    {
    case CONCURRENCY_SLOTS:
      return c->options.slots;
    case CONCURRENCY_SLOTS_PLUS_ONE:
      return c->options.slots + 1;
    default:
      return c->options.slots < MAX_LEVEL ? c->limit : c->options.slots + 1;
    }
}

int
concurrency_limit (const struct concurrency *c)
{
  return c->options.mode == CONCURRENCY_LEARNED && c->probe != PROBE_NONE
             ? c->probe_level
             : concurrency_settled (c);
}

double
concurrency_ratio (const struct concurrency *c, int level)
{
  return exp (c->curve[clamp_level (c, level)]);
}

int64_t
concurrency_expected_us (const struct concurrency *c, int64_t unloaded_us,
                         int running)
{
  return (int64_t)((double)unloaded_us * concurrency_ratio (c, running + 1));
}
