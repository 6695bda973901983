#include "tests/script.h"
#include "tests/tests.h"

#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>

#define KNOWN_RED_FILE "KNOWN-RED.txt"

static struct test_suite *suites;

/* The list is sorted by name. */
void
tests_register (struct test_suite *suite)
{
  struct test_suite **at = &suites;
  while (*at != NULL && strcmp ((*at)->name, suite->name) < 0)
    at = &(*at)->next;
  suite->next = *at;
  *at = suite;
}

static void
print_first_difference (const char *path, const char *expected,
                        const char *actual)
{
  int line = 1;
  while (*expected != '\0' && *actual != '\0')
    {
      size_t a = strcspn (expected, "\n"), b = strcspn (actual, "\n");
      if (a != b || strncmp (expected, actual, a) != 0)
        break;
      expected += a + (expected[a] == '\n');
      actual += b + (actual[b] == '\n');
      line++;
    }
  printf ("%s:%d: expected \"%.*s\", got \"%.*s\"\n", path, line,
          (int)strcspn (expected, "\n"), expected, (int)strcspn (actual, "\n"),
          actual);
}

bool
golden_matches (const char *name, struct bstr actual)
{
  void *scratch = talloc_new (NULL);
  char *path = talloc_asprintf (scratch, "tests/golden/%s", name);
  char *text = bstr_to_text (scratch, actual);
  bool equal = true;
  if (getenv ("AZUREWIND_UPDATE_GOLDEN") != NULL)
    {
      FILE *file = fopen (path, "wb");
      equal = file != NULL
              && fwrite (actual.start, 1, actual.len, file) == actual.len;
      if (file != NULL)
        fclose (file);
    }
  else
    {
      char *expected = script_read_file (scratch, path);
      equal = expected != NULL && strcmp (expected, text) == 0;
      if (!equal)
        print_first_difference (path, expected != NULL ? expected : "", text);
    }
  talloc_free (scratch);
  return equal;
}

/* Whether KNOWN-RED.txt has a line "test: SUITE/CASE" for the test.  Such a
   test fails because of a known fault; its name is printed and it is not
   run. */
static bool
is_known_red (const char *known_red, const char *suite, const char *name)
{
  char line[256];
  snprintf (line, sizeof line, "test: %s/%s\n", suite, name);
  return known_red != NULL && strstr (known_red, line) != NULL;
}

/* Register the cases of a suite; with @p only, those of the suite or case of
   this name. */
static void
add_suite (const struct test_suite *suite, const char *known_red,
           const char *only)
{
  CU_pSuite added = CU_add_suite (suite->name, NULL, NULL);
  for (const struct test_case *c = suite->cases; c->name != NULL; c++)
    {
      if (only != NULL && strcmp (only, suite->name) != 0
          && strcmp (only, c->name) != 0)
        continue;
      if (is_known_red (known_red, suite->name, c->name))
        printf ("known red, not run: %s/%s\n", suite->name, c->name);
      else
        CU_add_test (added, c->name, c->run);
    }
}

/* Print the failures again, as the end of a long output is read first. */
static void
print_failures (void)
{
  for (const CU_FailureRecord *f = CU_get_failure_list (); f != NULL;
       f = f->pNext)
    printf ("failed: %s/%s %s:%u %s\n",
            f->pSuite != NULL ? f->pSuite->pName : "none",
            f->pTest != NULL ? f->pTest->pName : "none", f->strFileName,
            f->uiLineNumber, f->strCondition);
}

int
main (int argc, char **argv)
{
  void *scratch = talloc_new (NULL);
  char *known_red = script_read_file (scratch, KNOWN_RED_FILE);
  if (CU_initialize_registry () != CUE_SUCCESS)
    return EXIT_FAILURE;
  for (const struct test_suite *s = suites; s != NULL; s = s->next)
    add_suite (s, known_red, argc > 1 ? argv[1] : NULL);
  setvbuf (stdout, NULL, _IOLBF, 0);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  unsigned run = CU_get_number_of_tests_run ();
  unsigned failed = CU_get_number_of_tests_failed ();
  print_failures ();
  CU_cleanup_registry ();
  talloc_free (scratch);
  printf ("%u passed, %u failed\n", run - failed, failed);
  return failed == 0 && run > 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
