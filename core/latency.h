/** @file
 * Latency estimates of the statements at one endpoint, by kind of work.  All
 * times are in microseconds.
 *
 * Distributions are kept in buckets whose bounds grow by a constant factor (an
 * error of at most 10%) and whose counts decay exponentially.  A kind that has
 * no new times keeps its estimates.
 */
#ifndef CORE_LATENCY_H
#define CORE_LATENCY_H

#include "core/statement.h"

/** Options; a value of 0 means the default. */
struct latency_options
{
  int max_kinds;            /**< Kinds that are kept; 64. */
  double high_quantile;     /**< Between 0 and 1; 0.99. */
  double unloaded_quantile; /**< Between 0 and 1; 0.1. */
  /** Time after which a time counts 1/e as much, for the mean and the high
   * quantile; 10 s. */
  int64_t decay_us;
  /** The same for the unloaded time, which must outlast a period of load;
   * 60 s. */
  int64_t unloaded_decay_us;
  /** Lowest high quantile of a kind that is new; 400 ms. */
  int64_t new_high_us;
  /** Baseline for comparisons: one estimate for all kinds. */
  bool ignore_kinds;
};

/** The estimates for one endpoint. */
struct latency;

/** @return the id of a kind of work.
 * @param route number of the kind of route.
 * @param shape of a prepared statement, without the values of an item; empty
 * for other statements. */
uint64_t latency_kind (int route, enum statement_verb verb, struct bstr shape);

/** @param options NULL: all defaults. */
struct latency *latency_create (void *parent,
                                const struct latency_options *options);
/** Records the time that a statement took.  If there are too many kinds, the
 * least used one is forgotten. */
void latency_record (struct latency *l, uint64_t kind, int64_t us,
                     int64_t now);
/** @return the mean time of the kind, 0 if none is known. */
int64_t latency_mean (const struct latency *l, uint64_t kind);
/** @return the time of the kind at an endpoint without other load, a low
 * quantile; 0 while too few times are known. */
int64_t latency_unloaded (const struct latency *l, uint64_t kind);
/** @return the time that nearly all statements of the kind stay under, a high
 * quantile.  While the kind is new, it is the largest one of the endpoint or
 * new_high_us, whichever is longer; while it has too few times for the
 * quantile, it is at least a multiple of the mean. */
int64_t latency_high (const struct latency *l, uint64_t kind);

#endif
