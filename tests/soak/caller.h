/** @file
 * A caller of the soak: a process that runs random operations through
 * randomly chosen daemons and records each answer in a file.
 */
#ifndef TESTS_SOAK_CALLER_H
#define TESTS_SOAK_CALLER_H

#include <stdint.h>
#include <sys/types.h>

/** Settings of one caller. */
struct caller_options
{
  unsigned seed;
  int number;   /**< Number of the caller; part of the names of its items. */
  int services; /**< Number of services, which are numbered from 1. */
  const int *ports; /**< Ports of the daemons for callers. */
  int port_count;
  int64_t
      end_ms; /**< Value of sessiond_site_now_ms at which the caller ends. */
  const char *path; /**< File that the caller writes its records to. */
  /** File of all statements that it sent, a JSON object a line: id, text (of
   * EXECUTE: the arguments), shape, values, ok, signature, rows. */
  const char *sent_path;
};

/** Outcome of one statement as far as the caller knows it. */
enum caller_outcome
{
  CALLER_OK, /**< The statement succeeded; a write is acknowledged. */
  CALLER_NOT_COMMITTED, /**< The answer excludes a commit, or the caller itself
                           did not commit. */
  CALLER_UNKNOWN        /**< A write may or may not take effect. */
};

/** A line of the caller's file. The lines are in the order of the answers;
 * the writes of a transaction are recorded when it ends, its reads are not. */
struct caller_record
{
  char kind;     /**< 'W': write; 'M': read of the newest data; 'O': read that
                    sees the session's own writes; 'B': read with bounded
                    staleness. */
  int service;   /**< Number of the service, from 1. */
  char id[24];   /**< Id of the statement. */
  char item[24]; /**< Name of the row that is written or read. */
  int session;   /**< Number of the caller's session. */
  enum caller_outcome outcome;
  int64_t begin_ms, end_ms; /**< When it was sent and answered. */
  char row[24];             /**< Id of the write that a read saw; "-": none. */
};

#define CALLER_RECORD_FORMAT "%c %d %s %s %d %d %lld %lld %s\n"

/** Start a caller in a process of its own. @return the id of the process. */
pid_t caller_start (const struct caller_options *options);

#endif
