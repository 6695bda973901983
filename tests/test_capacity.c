#include "tests/process.h"
#include "tests/script.h"
#include "tests/tests.h"

#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

/* Runs a shell command in the working directory, which is the root of the
   sources. @return its output. */
static char *
run_shell (void *parent, const char *command)
{
  char text[16384];
  FILE *pipe = popen (command, "r");
  CU_ASSERT_PTR_NOT_NULL_FATAL (pipe);
  size_t len = fread (text, 1, sizeof text - 1, pipe);
  CU_ASSERT_EQUAL (pclose (pipe), 0);
  return talloc_strndup (parent, text, len);
}

/* Guards against a fit that does not yield the least-squares line.  The output
   of fit is slope, intercept and root mean square of the residuals. */
static void
fit_finds_a_line (void)
{
  void *scratch = talloc_new (NULL);
  char *text = run_shell (
      scratch, "bash -c '. tools/scale_project.sh; "
               "fit <(printf \"1\\t5\\n2\\t8\\n4\\t14\\n8\\t26\\n\") 1 2'");
  CU_ASSERT_STRING_EQUAL (text, "3\t2\t0\n");
  /* The middle point is 3 above the line through the other two; the
     least-squares line lies 1 above theirs and leaves residuals of -1, 2 and
     -1. */
  text
      = run_shell (scratch, "bash -c '. tools/scale_project.sh; "
                            "fit <(printf \"1\\t1\\n2\\t5\\n3\\t3\\n\") 1 2'");
  CU_ASSERT_STRING_EQUAL (text, "1\t1\t1.414\n");
  talloc_free (scratch);
}

/* Guards against a table that replaces more of a page than the text between
   its marks, and against one whose marks are missing from the page, which must
   fail. */
static void
tables_replace_only_what_is_marked (void)
{
  static const char command[]
      = "bash -c 'set -e; . tools/scale_project.sh; d=$(mktemp -d); "
        "printf \"a\\n<!-- begin x -->\\nold\\n<!-- end x -->\\nb\\n\" >$d/p; "
        "echo new >$d/x.md; scale_write $d $d/p; cat $d/p; "
        "echo other >$d/y.md; ! scale_write $d $d/p 2>/dev/null; rm -r $d'";
  void *scratch = talloc_new (NULL);
  char *text = run_shell (scratch, command);
  CU_ASSERT_STRING_EQUAL (text,
                          "a\n<!-- begin x -->\nnew\n<!-- end x -->\nb\n");
  talloc_free (scratch);
}

/* Guards against measurements of a cell that is not idle: the tool reports any
   action in a quiet cell on standard error. */
static void
core_slopes_measure_a_quiet_cell (void)
{
  void *scratch = talloc_new (NULL);
  char *command = talloc_asprintf (
      scratch, "%s/azurewind-core-slopes -t 3 2>&1", tests_build_folder ());
  char *text = run_shell (scratch, command);
  CU_ASSERT_PTR_NULL (strstr (text, "azurewind-core-slopes:"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "group\t64\t"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "organisation\t64\t"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "settings\t667\t"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "size\tcell object"));
  talloc_free (scratch);
}

/* Guards against azurewind-idle reporting connections that it could not
   open. */
static void
idle_fails_without_a_daemon (void)
{
  static const char *const args[] = { "--port", "1", "-c", "1", NULL };
  void *scratch = talloc_new (NULL);
  struct process *p = process_run (scratch, "azurewind-idle", args);
  CU_ASSERT_PTR_NOT_NULL_FATAL (p);
  CU_ASSERT_EQUAL (process_wait (p, 5000), EXIT_FAILURE);
  CU_ASSERT_EQUAL (process_output (p).len, 0);
  talloc_free (scratch);
}

static const struct test_case cases[] = {
  { "fit_finds_a_line", fit_finds_a_line },
  { "tables_replace_only_what_is_marked", tables_replace_only_what_is_marked },
  { "core_slopes_measure_a_quiet_cell", core_slopes_measure_a_quiet_cell },
  { "idle_fails_without_a_daemon", idle_fails_without_a_daemon },
  { NULL, NULL },
};
TEST_SUITE (capacity, cases)
