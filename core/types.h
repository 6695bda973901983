/** @file
 * Types shared by the modules that decide for the daemon of a cell.  Times
 * are microseconds of a clock that also runs while the VM is suspended.
 *
 * core/statement.h has others of the same names (struct position, enum
 * outcome) for the session daemon; no file can include both.
 */
#ifndef CORE_TYPES_H
#define CORE_TYPES_H

#include "common/bstr.h"

#include <stdint.h>

/** Largest number of endpoints in one group. */
#define GROUP_MAX_ENDPOINTS 7

/** Largest number of daemons (members) in one cell. */
#define CELL_MAX_MEMBERS 8

/** Index that stands for no endpoint or no member. */
#define INDEX_NONE (-1)

/** Answer of an endpoint to a poll. */
struct endpoint_status
{
  bool in_recovery;  /**< The endpoint is a replica. */
  uint64_t term;     /**< Timeline that it follows, or leads as primary. */
  uint64_t received; /**< Position received, or written as primary. */
  uint64_t replayed; /**< Position visible to reads. */
  uint64_t fence;    /**< Highest term in a fence marker; 0 if none. */
  /** Time since a replica last received data from its primary. */
  int64_t primary_age_us;
};

/** A position in the log of a group. */
struct position
{
  uint64_t term;
  uint64_t lsn;
};

/** Whether a request was run, as its caller receives it. */
enum outcome
{
  OUTCOME_NOT_RUN,
  OUTCOME_RAN,
  OUTCOME_UNKNOWN
};

/** How new the data of a read must be. */
enum freshness_class
{
  FRESHNESS_READ_YOUR_WRITES, /**< It contains the session's writes. */
  FRESHNESS_BOUNDED,          /**< At most as old as the staleness bound. */
  FRESHNESS_ANY
};

#endif
