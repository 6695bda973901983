/** @file
 * A caller of the soak: a process that runs random operations against any of
 * the daemons and writes down what it was told.
 */
#ifndef TESTS_SOAK_CALLER_H
#define TESTS_SOAK_CALLER_H

#include <stdint.h>
#include <sys/types.h>

struct caller_options
{
  unsigned seed;
  int number; /**< Of the caller; its items carry it. */
  int services;
  const int *ports; /**< Where daemons are reached. */
  int port_count;
  int64_t end_ms;   /**< sessiond_site_now_ms at which it ends. */
  const char *path; /**< File of records. */
};

/** What a caller was told of one statement. */
enum caller_outcome
{
  CALLER_OK,
  CALLER_NOT_KEPT, /**< Promised, or rolled back by the caller itself. */
  CALLER_UNKNOWN
};

/** A line of the file, written in the order in which answers came. */
struct caller_record
{
  char kind;   /**< 'W' write, 'M' read of the newest data, 'O' read of the
                  session's writes, 'B' bounded read. */
  int service; /**< From 1. */
  char id[24]; /**< Of the statement. */
  char item[24];
  int session;
  enum caller_outcome outcome;
  int64_t begin_ms, end_ms;
  char row[24]; /**< Of a read: id of the write that it saw, "-": none. */
};

#define CALLER_RECORD_FORMAT "%c %d %s %s %d %d %lld %lld %s\n"

/** @return the id of the process. */
pid_t caller_start (const struct caller_options *options);

#endif
