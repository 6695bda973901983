/** @file
 * Concurrency limit of one endpoint, learned from the times of its statements.
 * See docs/design/learned-concurrency.md.
 *
 * Each statement has a level: the number of this daemon's statements at the
 * endpoint when it was sent, itself included.
 */
#ifndef CORE_CONCURRENCY_H
#define CORE_CONCURRENCY_H

#include <stdbool.h>
#include <stdint.h>

/** How the limit is found. */
enum concurrency_mode
{
  CONCURRENCY_LEARNED,
  CONCURRENCY_SLOTS,         /**< Baseline: always the number of slots. */
  CONCURRENCY_SLOTS_PLUS_ONE /**< Baseline: always one more than the slots. */
};

struct concurrency_options
{
  enum concurrency_mode mode;
  int slots; /**< Statements that the endpoint can run at a time; at least
                1. */
  /** Time after which a ratio counts 1/e as much, in microseconds; 0: 5.5 s.
   */
  int64_t decay_us;
};

/** What is known of one endpoint. */
struct concurrency;

struct concurrency *
concurrency_create (void *parent, const struct concurrency_options *options);
/** The endpoint has another number of slots: begin again with it. */
void concurrency_set_slots (struct concurrency *c, int slots);
/** Records that a statement was answered.
 * @param ratio its time divided by the unloaded time of its kind; other than
 * positive: the unloaded time is not known, and nothing is learned.
 * @param running the statement's level.
 * @param now in microseconds. */
void concurrency_record (struct concurrency *c, double ratio, int running,
                         int64_t now);
/** @return how many statements may run now, from 1 to the slots + 1; during a
 * probe it differs from concurrency_settled. */
int concurrency_limit (const struct concurrency *c);
/** @return the limit without the probes. */
int concurrency_settled (const struct concurrency *c);
/** @return the expected ratio of a statement at a level. */
double concurrency_ratio (const struct concurrency *c, int level);
/** @return the expected time of a statement that is sent now, in
 * microseconds; 0 if @p unloaded_us is 0.
 * @param unloaded_us unloaded time of its kind.
 * @param running statements at the endpoint without it. */
int64_t concurrency_expected_us (const struct concurrency *c,
                                 int64_t unloaded_us, int running);

#endif
