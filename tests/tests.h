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

/** A suite; main runs all suites in the order of their names. */
struct test_suite
{
  const char *name;
  const struct test_case *cases; /**< Ends with a NULL name. */
  struct test_suite *next;
};

/** Add a suite to those that main runs. */
void tests_register (struct test_suite *suite);

/** Register a NULL-terminated table of cases before main starts. */
#define TEST_SUITE(suite_name, case_table)                                    \
  static struct test_suite suite_##suite_name                                 \
      = { #suite_name, case_table, NULL };                                    \
  __attribute__ ((constructor)) static void register_##suite_name (void)      \
  {                                                                           \
    tests_register (&suite_##suite_name);                                     \
  }

/** Compare @p actual with tests/golden/NAME and print the first line that
 * differs.  If AZUREWIND_UPDATE_GOLDEN is set, write the file instead.
 * @return whether they are equal, or whether the file was written. */
bool golden_matches (const char *name, struct bstr actual);

/** @return the folder of the built programs, which AZUREWIND_BUILD names. */
const char *tests_build_folder (void);

#endif
