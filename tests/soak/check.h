/** @file
 * Compares what callers were told with what the databases hold at the end.
 */
#ifndef TESTS_SOAK_CHECK_H
#define TESTS_SOAK_CHECK_H

#include <jansson.h>

struct check_result
{
  int records;
  int acknowledged; /**< Writes. */
  int refused;
  int unknown;
  int rolled_back; /**< Acknowledged writes that a promotion has lost. */
  int violations;
};

/** @param observed what the stand-in of the platform saw.
 * @param paths files of callers. Prints each violation. */
struct check_result check_records (const json_t *observed,
                                   const char *const *paths, int count);

#endif
