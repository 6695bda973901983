/** @file
 * Registration of CUnit suites and comparison with golden files.
 */
#ifndef TESTS_TESTS_H
#define TESTS_TESTS_H

#include "common/bstr.h"

#include <CUnit/CUnit.h>

struct test_case
{
  const char *name;
  void (*run) (void);
};

struct test_suite
{
  const char *name;
  const struct test_case *cases; /**< Ends with a NULL name. */
  struct test_suite *next;
};

void tests_register (struct test_suite *suite);

/** Register a NULL-terminated table of cases before main starts. */
#define TEST_SUITE(suite_name, case_table)                                    \
  static struct test_suite suite_##suite_name                                 \
      = { #suite_name, case_table, NULL };                                    \
  __attribute__ ((constructor)) static void register_##suite_name (void)      \
  {                                                                           \
    tests_register (&suite_##suite_name);                                     \
  }

/** Compare @p actual with tests/golden/NAME.  AZUREWIND_UPDATE_GOLDEN=1
 * writes the file instead.  Prints the first line that differs.
 * @return whether they are equal. */
bool golden_matches (const char *name, struct bstr actual);

/** Path of a built program, for tests that start processes. */
const char *tests_build_folder (void);

#endif
