#include "common/stats.h"

#include <inttypes.h>

/* Linear buckets per power of two, and the base-2 logarithm of their
   number. */
#define STEPS_PER_POWER 16
#define STEP_BITS 4

/* One counter or histogram. */
struct stat_entry
{
  struct stat_entry *next;
  char *name;
  char *labels;
  uint64_t counter;
  struct histogram *histogram; /**< NULL: the entry is a counter. */
};

struct stats
{
  struct stat_entry *first;
  struct stat_entry **last; /**< The link after the last entry. */
};

/* @return the index of the bucket that counts @p value. */
static unsigned
bucket_index (uint64_t value)
{
  if (value < STEPS_PER_POWER)
    return (unsigned)value;
  unsigned power = 63u - (unsigned)__builtin_clzll (value);
  unsigned step
      = (unsigned)(value >> (power - STEP_BITS)) & (STEPS_PER_POWER - 1);
  unsigned index = (power - STEP_BITS + 1) * STEPS_PER_POWER + step;
  return index < HISTOGRAM_BUCKETS ? index : HISTOGRAM_BUCKETS - 1;
}

/* @return the largest value that the bucket counts. */
static uint64_t
bucket_bound (unsigned index)
{
  if (index < STEPS_PER_POWER)
    return index;
  unsigned power = index / STEPS_PER_POWER + STEP_BITS - 1;
  uint64_t step = index % STEPS_PER_POWER;
  return ((step + STEPS_PER_POWER + 1) << (power - STEP_BITS)) - 1;
}

void
histogram_add (struct histogram *h, uint64_t value)
{
  h->count++;
  h->sum += value;
  if (value > h->max)
    h->max = value;
  h->bucket[bucket_index (value)]++;
}

uint64_t
histogram_quantile (const struct histogram *h, double quantile)
{
  uint64_t rank = (uint64_t)(quantile * (double)h->count);
  uint64_t seen = 0;
  for (unsigned i = 0; i < HISTOGRAM_BUCKETS; i++)
    {
      seen += h->bucket[i];
      if (seen > rank || (seen == h->count && seen > 0))
        return bucket_bound (i) < h->max ? bucket_bound (i) : h->max;
    }
  return h->max;
}

struct stats *
stats_create (void *parent)
{
  struct stats *stats = talloc_zero (parent, struct stats);
  stats->last = &stats->first;
  return stats;
}

static struct stat_entry *
find_or_add_entry (struct stats *stats, const char *name, const char *labels)
{
  for (struct stat_entry *e = stats->first; e != NULL; e = e->next)
    if (strcmp (e->name, name) == 0 && strcmp (e->labels, labels) == 0)
      return e;
  struct stat_entry *entry = talloc_zero (stats, struct stat_entry);
  entry->name = talloc_strdup (entry, name);
  entry->labels = talloc_strdup (entry, labels);
  *stats->last = entry;
  stats->last = &entry->next;
  return entry;
}

uint64_t *
stats_counter (struct stats *stats, const char *name, const char *labels)
{
  return &find_or_add_entry (stats, name, labels)->counter;
}

struct histogram *
stats_histogram (struct stats *stats, const char *name, const char *labels)
{
  struct stat_entry *entry = find_or_add_entry (stats, name, labels);
  if (entry->histogram == NULL)
    entry->histogram = talloc_zero (entry, struct histogram);
  return entry->histogram;
}

static char *
render_histogram (char *text, const struct stat_entry *e)
{
  static const double quantiles[] = { 0.5, 0.9, 0.99, 0.999 };
  const char *comma = e->labels[0] != '\0' ? "," : "";
  for (unsigned i = 0; i < sizeof quantiles / sizeof quantiles[0]; i++)
    text = talloc_asprintf_append_buffer (
        text, "%s{%s%squantile=\"%g\"} %" PRIu64 "\n", e->name, e->labels,
        comma, quantiles[i], histogram_quantile (e->histogram, quantiles[i]));
  return talloc_asprintf_append_buffer (
      text, "%s_sum{%s} %" PRIu64 "\n%s_count{%s} %" PRIu64 "\n", e->name,
      e->labels, e->histogram->sum, e->name, e->labels, e->histogram->count);
}

struct bstr
stats_render (struct stats *stats, void *parent)
{
  char *text = talloc_strdup (parent, "");
  for (const struct stat_entry *e = stats->first; e != NULL; e = e->next)
    {
      if (e->histogram != NULL)
        text = render_histogram (text, e);
      else if (e->labels[0] != '\0')
        text = talloc_asprintf_append_buffer (text, "%s{%s} %" PRIu64 "\n",
                                              e->name, e->labels, e->counter);
      else
        text = talloc_asprintf_append_buffer (text, "%s %" PRIu64 "\n",
                                              e->name, e->counter);
    }
  return (struct bstr){ text, strlen (text) };
}
