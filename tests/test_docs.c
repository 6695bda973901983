#include "cli/cli.h"
#include "daemon/options.h"
#include "session/options.h"
#include "tests/script.h"
#include "tests/tests.h"

#include <ctype.h>
#include <glob.h>
#include <stdio.h>
#include <stdlib.h>

/* Guards against a reference of settings in the operators' guide that differs
   from the tables of options in the source. */
static void
guide_has_the_current_reference (void)
{
  static const char *argv[] = { "azurewind", "config", "reference", NULL };
  void *scratch = talloc_new (NULL);
  char *text = NULL;
  size_t len;
  FILE *out = open_memstream (&text, &len);
  CU_ASSERT_EQUAL (cli_run (3, argv, out, stderr), CLI_EXIT_OK);
  fclose (out);
  const char *guide = script_read_file (scratch, "docs/operators.md");
  CU_ASSERT_PTR_NOT_NULL_FATAL (guide);
  CU_ASSERT_PTR_NOT_NULL (strstr (guide, text));
  free (text);
  talloc_free (scratch);
}

/* Check that the manual and the shell completion name each command. */
static void
check_commands (void *scratch, const struct cli_command *commands,
                const char *manual, const char *completion)
{
  for (const struct cli_command *c = commands; c->name != NULL; c++)
    {
      char *heading = talloc_asprintf (scratch, ".It Cm %s", c->name);
      char *words = talloc_strdup (scratch, c->name), *word;
      CU_ASSERT_PTR_NOT_NULL (strstr (manual, heading));
      while ((word = strsep (&words, " ")) != NULL)
        CU_ASSERT_PTR_NOT_NULL (strstr (completion, word));
    }
}

/* Guards against a setting of the session daemon that its manual lacks. */
static void
session_manual_names_every_setting (void)
{
  void *scratch = talloc_new (NULL);
  const char *manual
      = script_read_file (scratch, "docs/man/azurewind-sessiond.8");
  CU_ASSERT_PTR_NOT_NULL_FATAL (manual);
  for (const struct option_spec *o = sessiond_options_table ();
       o->name != NULL; o++)
    {
      char *heading = talloc_asprintf (scratch, ".It Cm %s\n", o->name);
      CU_ASSERT_PTR_NOT_NULL (strstr (manual, heading));
    }
  talloc_free (scratch);
}

/* Guards against a command that the manual or the shell completion lacks, and
   against an option of the daemon that its manual lacks or explains
   differently. */
static void
manuals_name_everything (void)
{
  void *scratch = talloc_new (NULL);
  const char *manual = script_read_file (scratch, "docs/man/azurewind.1");
  const char *daemon = script_read_file (scratch, "docs/man/azurewindd.8");
  const char *completion = script_read_file (scratch, "cli/azurewind.bash");
  CU_ASSERT_FATAL (manual != NULL && daemon != NULL && completion != NULL);
  check_commands (scratch, cli_config_commands, manual, completion);
  check_commands (scratch, cli_key_commands, manual, completion);
  check_commands (scratch, cli_rate_commands, manual, completion);
  check_commands (scratch, cli_daemon_commands, manual, completion);
  for (const struct option_spec *o = daemon_options_specs (); o->name != NULL;
       o++)
    {
      char *option = talloc_asprintf (scratch, ".It Fl -%s ", o->name);
      char *value = option_default (o, scratch);
      for (char *c = option; *c != '\0'; c++)
        if (*c == '_')
          *c = '-';
      const char *entry = strstr (daemon, option);
      CU_ASSERT_PTR_NOT_NULL_FATAL (entry);
      CU_ASSERT_PTR_NOT_NULL (strstr (entry, o->help));
      CU_ASSERT_PTR_NOT_NULL (strstr (entry, value));
    }
  talloc_free (scratch);
}

/* @param count set to the number of files that match @p pattern.
   @return the text of these files, one after the other. */
static char *
read_files (void *scratch, const char *pattern, size_t *count)
{
  glob_t paths;
  char *all = talloc_strdup (scratch, "");
  CU_ASSERT_EQUAL_FATAL (glob (pattern, 0, NULL, &paths), 0);
  *count = paths.gl_pathc;
  for (size_t i = 0; i < paths.gl_pathc; i++)
    {
      const char *text = script_read_file (scratch, paths.gl_pathv[i]);
      CU_ASSERT_PTR_NOT_NULL_FATAL (text);
      all = talloc_strdup_append_buffer (all, text);
    }
  globfree (&paths);
  return all;
}

static bool
is_name_character (char c)
{
  return islower ((unsigned char)c) || c == '_';
}

/* Check that the page has a table row for each string literal in the
   statement at @p text that has the form of an error code, such as
   "key_revoked".
   @return the number of these literals. */
static int
check_codes (const char *text, const char *page)
{
  int count = 0;
  size_t end = strcspn (text, ";");
  for (const char *at = text; (at = strchr (at, '"')) != NULL;)
    {
      const char *close = strchr (at + 1, '"');
      size_t len = 0;
      if (at >= text + end || close == NULL)
        break;
      while (is_name_character (at[1 + len]))
        len++;
      if (len > 0 && at + 1 + len == close)
        {
          char row[80];
          snprintf (row, sizeof row, "\n| `%.*s` | ", (int)len, at + 1);
          count++;
          if (strstr (page, row) == NULL)
            printf ("no row for code %.*s ", (int)len, at + 1);
          CU_ASSERT_PTR_NOT_NULL (strstr (page, row));
        }
      at = close + 1;
    }
  return count;
}

/* Guards against an error code that callers receive and that the reference of
   the interface does not explain. */
static void
interface_names_every_error_code (void)
{
  /* Calls and assignments in the source that set an error code. */
  static const char *const places[]
      = { "refuse (", "set_failure (", "reply_error (", "code = " };
  void *scratch = talloc_new (NULL);
  size_t files;
  int codes = 0;
  const char *page = script_read_file (scratch, "docs/interface.md");
  const char *source = read_files (scratch, "daemon/*.c", &files);
  CU_ASSERT_PTR_NOT_NULL_FATAL (page);
  for (size_t i = 0; i < sizeof places / sizeof places[0]; i++)
    for (const char *at = source; (at = strstr (at, places[i])) != NULL; at++)
      codes += check_codes (at, page);
  /* Fewer codes would mean that the calls above were renamed in the source. */
  CU_ASSERT (codes >= 30);
  talloc_free (scratch);
}

/* Guards against a page that names a metric, table or marker of which the
   source has none. */
static void
pages_name_only_existing_metrics (void)
{
  static const char prefix[] = "azurewind_";
  void *scratch = talloc_new (NULL);
  size_t files, words = 0;
  const char *source = talloc_asprintf (
      scratch, "%s%s", read_files (scratch, "daemon/*.c", &files),
      read_files (scratch, "session/*.c", &files));
  const char *pages = read_files (scratch, "docs/*.md", &files);
  CU_ASSERT (files >= 5);
  for (const char *at = pages; (at = strstr (at, prefix)) != NULL;)
    {
      size_t len = 0;
      while (is_name_character (at[len]))
        len++;
      const char *word = talloc_strndup (scratch, at, len);
      const char *found = strstr (source, word);
      while (found != NULL && is_name_character (found[len]))
        found = strstr (found + 1, word);
      if (found == NULL)
        printf ("%s is not in daemon/ or session/ ", word);
      CU_ASSERT_PTR_NOT_NULL (found);
      words++;
      at += len;
    }
  CU_ASSERT (words > 0);
  talloc_free (scratch);
}

/* Guards against a guarantee for which the page names a test that does not
   exist. */
static void
named_tests_exist (void)
{
  void *scratch = talloc_new (NULL);
  size_t files;
  int names = 0;
  const char *page = script_read_file (scratch, "docs/guarantees.md");
  const char *source = read_files (scratch, "tests/test_*.c", &files);
  CU_ASSERT_PTR_NOT_NULL_FATAL (page);
  for (const char *at = page; (at = strchr (at, '`')) != NULL; at++)
    {
      size_t suite = 0, name = 0;
      while (is_name_character (at[1 + suite]))
        suite++;
      const char *rest = at + 1 + suite + 1;
      if (suite == 0 || rest[-1] != '/')
        continue;
      while (is_name_character (rest[name]))
        name++;
      if (rest[name] != '`')
        continue;
      char *suite_line = talloc_asprintf (scratch, "TEST_SUITE (%.*s, cases)",
                                          (int)suite, at + 1);
      char *case_line
          = talloc_asprintf (scratch, "  { \"%.*s\",", (int)name, rest);
      if (strstr (source, suite_line) == NULL
          || strstr (source, case_line) == NULL)
        printf ("no test %.*s ", (int)(suite + 1 + name), at + 1);
      CU_ASSERT_PTR_NOT_NULL (strstr (source, suite_line));
      CU_ASSERT_PTR_NOT_NULL (strstr (source, case_line));
      names++;
    }
  CU_ASSERT (names >= 11);
  talloc_free (scratch);
}

static const struct test_case cases[] = {
  { "guide_has_the_current_reference", guide_has_the_current_reference },
  { "manuals_name_everything", manuals_name_everything },
  { "session_manual_names_every_setting", session_manual_names_every_setting },
  { "interface_names_every_error_code", interface_names_every_error_code },
  { "pages_name_only_existing_metrics", pages_name_only_existing_metrics },
  { "named_tests_exist", named_tests_exist },
  { NULL, NULL },
};
TEST_SUITE (docs, cases)
