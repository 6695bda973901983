#include "cli/cli.h"
#include "daemon/options.h"
#include "tests/script.h"
#include "tests/tests.h"

#include <stdio.h>
#include <stdlib.h>

/* Guards against a settings table in the guide that differs from the option
   tables. */
static void
guide_has_the_current_reference (void)
{
  static const char *argv[] = { "azurewind", "config", "reference", NULL };
  void *scratch = talloc_new (NULL);
  char *text = NULL;
  size_t len;
  FILE *out = open_memstream (&text, &len);
  CU_ASSERT_EQUAL (cli_run (3, argv, out, stderr), CLI_OK);
  fclose (out);
  const char *guide = script_read_file (scratch, "docs/operators.md");
  CU_ASSERT_PTR_NOT_NULL_FATAL (guide);
  CU_ASSERT_PTR_NOT_NULL (strstr (guide, text));
  free (text);
  talloc_free (scratch);
}

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

/* Guards against a command or an option without manual or completion. */
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
  for (const struct option_spec *o = daemon_options_table (); o->name != NULL;
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

static const struct test_case cases[] = {
  { "guide_has_the_current_reference", guide_has_the_current_reference },
  { "manuals_name_everything", manuals_name_everything },
  { NULL, NULL },
};
TEST_SUITE (docs, cases)
