/** @file
 * Types that the decision modules share.  Times are microseconds of a
 * clock that counts suspended time.
 */
#ifndef CORE_TYPES_H
#define CORE_TYPES_H

#include "common/bstr.h"

#include <stdint.h>

/** Largest number of endpoints in one group. */
#define GROUP_MAX_ENDPOINTS 7

/** Largest number of daemons in one cell. */
#define CELL_MAX_MEMBERS 8

/** No endpoint, no member. */
#define INDEX_NONE (-1)

/** What one endpoint answered to a poll. */
struct endpoint_status
{
  bool in_recovery;
  uint64_t term;          /**< Timeline that it follows or leads. */
  uint64_t received;      /**< Position received; written, on a primary. */
  uint64_t replayed;      /**< Position visible to reads. */
  uint64_t fence;         /**< Highest term in a fence marker, 0 if none. */
  int64_t primary_age_us; /**< Since it last heard from its primary. */
};

/** A point in a group's history. */
struct position
{
  uint64_t term;
  uint64_t lsn;
};

/** What a caller is told about the execution of a request. */
enum outcome
{
  OUTCOME_NOT_RUN,
  OUTCOME_RAN,
  OUTCOME_UNKNOWN
};

enum freshness_class
{
  FRESHNESS_READ_YOUR_WRITES,
  FRESHNESS_BOUNDED,
  FRESHNESS_ANY
};

#endif
