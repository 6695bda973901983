/** @file
 * Compares the records of the callers with the final logs of the databases.
 */
#ifndef TESTS_SOAK_CHECK_H
#define TESTS_SOAK_CHECK_H

#include <jansson.h>

/** Numbers of records, of writes by outcome, and of violations. */
struct check_result
{
  int records;      /**< Statements of all callers. */
  int acknowledged; /**< Writes with CALLER_OK. */
  int refused;      /**< Writes with CALLER_NOT_COMMITTED. */
  int unknown;      /**< Writes with CALLER_UNKNOWN. */
  int rolled_back;  /**< Acknowledged writes that the final log lacks, which is
                       permitted only after a promotion. */
  int violations;   /**< Broken promises. */
};

/** Check every statement that a database ran against those that callers sent:
 * somebody sent it, its text, shape and session values are the sender's, and a
 * success has the signature and the rows of a run of that statement.
 * @param paths files of the sent statements, see caller_options.
 * @return number of violations. */
int check_statements (const json_t *observed, const char *const *paths,
                      int count);

/** Check all records and print each violation.
 * @param observed state of the databases, from the platform stand-in.
 * @param paths files of the callers.
 * @param count number of these files. */
struct check_result check_records (const json_t *observed,
                                   const char *const *paths, int count);

#endif
