/** @file
 * Counters and latency histograms, and their rendering as Prometheus text.
 */
#ifndef COMMON_STATS_H
#define COMMON_STATS_H

#include "common/bstr.h"

#include <stdint.h>

/** 16 linear buckets per power of two, for values below 2^40: a relative error
 * of 6%.  The last bucket also counts all larger values. */
#define HISTOGRAM_BUCKETS 592

/** Distribution of values, such as latencies in microseconds. */
struct histogram
{
  uint64_t count;
  uint64_t sum;
  uint64_t max;
  uint32_t bucket[HISTOGRAM_BUCKETS]; /**< Number of values in each bucket. */
};

void histogram_add (struct histogram *h, uint64_t value);

/** @param quantile between 0 and 1.
 * @return the upper bound of the bucket that contains the quantile, or the
 * largest value if that is smaller; 0 if the histogram is empty. */
uint64_t histogram_quantile (const struct histogram *h, double quantile);

/** A set of counters and histograms, each identified by a name and labels. */
struct stats;

struct stats *stats_create (void *parent);

/** @param labels Prometheus labels without braces, for example
 * `organisation="a",class="write"`; "" for none.
 * @return a counter that lives as long as @p stats. */
uint64_t *stats_counter (struct stats *stats, const char *name,
                         const char *labels);
/** @return a histogram that lives as long as @p stats. */
struct histogram *stats_histogram (struct stats *stats, const char *name,
                                   const char *labels);

/** Render all values as Prometheus text, owned by @p parent. */
struct bstr stats_render (struct stats *stats, void *parent);

#endif
