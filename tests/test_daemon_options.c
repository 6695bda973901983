#include "daemon/options.h"
#include "tests/tests.h"

#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

/* Values of all required options. */
#define REQUIRED                                                              \
  "--name=vm-1", "--failure-domain=fd-1", "--cell=c1",                        \
      "--platform=http://127.0.0.1:1", "--secret-file=s"

static struct daemon_options *
parse_arguments (void *parent, struct error *err, const char *const *args)
{
  const char *argv[32] = { "azurewindd" };
  int argc = 1;
  for (; *args != NULL; args++)
    argv[argc++] = *args;
  return daemon_options_parse (parent, argc, argv, err);
}

/* Creates a settings file with a unique name. @return its path. */
static char *
write_file (void *parent, const char *text)
{
  char *path = talloc_strdup (parent, "/tmp/azw-options-XXXXXX");
  int fd = mkstemp (path);
  if (fd < 0 || write (fd, text, strlen (text)) != (ssize_t)strlen (text))
    CU_FAIL ("cannot write the settings file");
  if (fd >= 0)
    close (fd);
  return path;
}

/* Guards against a command line that does not override the settings file, and
   a settings file that does not override the defaults. */
static void
later_sources_win (void)
{
  void *scratch = talloc_new (NULL);
  struct error err = { 0 };
  char *path = write_file (scratch, "poll_ms = 100\nhold_ms = 3000\n"
                                    "place = \"moshi-shop\"\n");
  char *settings = talloc_asprintf (scratch, "--settings=%s", path);
  const char *const args[]
      = { settings, REQUIRED, "--poll-ms=50", "--listen=[::1]:0", NULL };
  struct daemon_options *o = parse_arguments (scratch, &err, args);
  CU_ASSERT_STRING_EQUAL (err.text, "");
  CU_ASSERT_PTR_NOT_NULL_FATAL (o);
  CU_ASSERT_EQUAL (o->poll_ms, 50);
  CU_ASSERT_EQUAL (o->hold_ms, 3000);
  CU_ASSERT_EQUAL (o->heartbeat_ms, 500);
  CU_ASSERT_EQUAL (o->max_body_bytes, 1048576);
  CU_ASSERT_STRING_EQUAL (o->place, "moshi-shop");
  CU_ASSERT_STRING_EQUAL (o->listen, "[::1]:0");
  CU_ASSERT_FALSE (o->exit_now);
  unlink (path);
  talloc_free (scratch);
}

/* Guards against a daemon that starts with an invalid local setting, and
   against unclear error messages. */
static void
bad_options_have_one_clear_error (void)
{
  static const char *const lines[][8] = {
    { NULL },
    { REQUIRED, "--name=VM" },
    { REQUIRED, "--poll-ms=fast" },
    { REQUIRED, "--poll-ms=1" },
    { REQUIRED, "--poll-ms=10.5" },
    { REQUIRED, "--hold-ms=900" },
    { REQUIRED, "--listen=localhost:80" },
    { REQUIRED, "--listen=127.0.0.1:65536" },
    { REQUIRED, "--peer-listen=ipc://x" },
    { REQUIRED, "--platform=ftp://x" },
    { REQUIRED, "--log-level=verbose" },
    { REQUIRED, "--tls-key=k" },
    { REQUIRED, "--colour=blue" },
    { REQUIRED, "--poll-ms" },
    { REQUIRED, "--check" },
    { REQUIRED, "stray" },
    { REQUIRED, "--settings=/nonexistent/azurewindd.toml" },
  };
  void *scratch = talloc_new (NULL);
  char *list = talloc_strdup (scratch, "");
  for (size_t i = 0; i < sizeof lines / sizeof lines[0]; i++)
    {
      struct error err = { 0 };
      CU_ASSERT_PTR_NULL (parse_arguments (scratch, &err, lines[i]));
      CU_ASSERT_EQUAL (err.code, ERROR_INVALID);
      list = talloc_asprintf_append (list, "%s\n", err.text);
    }
  static const char *const files[]
      = { "pol_ms = 1\n", "\nname = 5\n", "max_connections = 0\n",
          "log_level = \"all\"\n", "name = \"a\n" };
  for (size_t i = 0; i < sizeof files / sizeof files[0]; i++)
    {
      struct error err = { 0 };
      char *path = write_file (scratch, files[i]);
      const char *const args[]
          = { talloc_asprintf (scratch, "--settings=%s", path), NULL };
      CU_ASSERT_PTR_NULL (parse_arguments (scratch, &err, args));
      CU_ASSERT_EQUAL (strncmp (err.text, path, strlen (path)), 0);
      list = talloc_asprintf_append (list, "FILE%s\n",
                                     err.text + strlen (path));
      unlink (path);
    }
  CU_ASSERT (golden_matches ("daemon-options-errors.txt", bstr_from (list)));
  talloc_free (scratch);
}

/* Guards against an option whose help text lacks its range, default or
   unit. */
static void
help_shows_range_default_and_unit (void)
{
  char *text = NULL;
  size_t len = 0;
  FILE *out = open_memstream (&text, &len);
  daemon_options_print_help (out);
  fclose (out);
  CU_ASSERT (
      golden_matches ("daemon-options-help.txt", (struct bstr){ text, len }));
  free (text);
}

static const struct test_case cases[] = {
  { "later_sources_win", later_sources_win },
  { "bad_options_have_one_clear_error", bad_options_have_one_clear_error },
  { "help_shows_range_default_and_unit", help_shows_range_default_and_unit },
  { NULL, NULL },
};
TEST_SUITE (daemon_options, cases)
