#include "cli/cli.h"

#include "proto/key.h"

#include <popt.h>
#include <sodium.h>
#include <stdlib.h>
#include <time.h>
#include <unistd.h>

#define DEFAULT_TIMEOUT_MS 5000
#define DEFAULT_INTERVAL_MS 1000
#define MAX_WORDS 32
#define MAX_CONFLICT_WAIT_MS 20

static const struct cli_command *const command_tables[]
    = { cli_config_commands, cli_key_commands, cli_rate_commands,
        cli_daemon_commands };

#define COMMAND_TABLE_COUNT (sizeof command_tables / sizeof command_tables[0])

/* Value that popt returns for --help; it differs from each bit of enum
   cli_option. */
enum
{
  OPTION_HELP = 1000
};

void
cli_print_json (struct cli *cli, json_t *json)
{
  char *text = json_dumps (json, JSON_INDENT (2));
  fprintf (cli->out, "%s\n", text);
  free (text);
  json_decref (json);
}

void
cli_print_fields (struct cli *cli, const struct cli_field *fields)
{
  json_t *json = json_object ();
  for (const struct cli_field *f = fields; f->name != NULL; f++)
    if (cli->json)
      json_object_set_new (json, f->name,
                           f->type == CLI_FIELD_LITERAL
                               ? json_loads (f->value, JSON_DECODE_ANY, NULL)
                               : json_string (f->value));
    else
      fprintf (cli->out, "%s: %s\n", f->name, f->value);
  if (cli->json)
    cli_print_json (cli, json);
  else
    json_decref (json);
}

void
cli_wait_after_conflict (void)
{
  usleep (randombytes_uniform (MAX_CONFLICT_WAIT_MS * 1000));
}

char *
cli_timestamp (void *parent)
{
  time_t now = time (NULL);
  struct tm tm;
  char text[32];
  gmtime_r (&now, &tm);
  strftime (text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &tm);
  return talloc_strdup (parent, text);
}

static int
exit_code (enum error_code code)
{
  switch (code)
    {
    case ERROR_NONE:
      return CLI_EXIT_OK;
    case ERROR_INVALID:
    case ERROR_NOT_FOUND:
      return CLI_EXIT_INVALID;
    case ERROR_CONFLICT:
      return CLI_EXIT_CONFLICT;
    case ERROR_UNAVAILABLE:
      return CLI_EXIT_UNAVAILABLE;
    case ERROR_UNKNOWN:
      return CLI_EXIT_UNKNOWN;
    default:
      return CLI_EXIT_FAILURE;
    }
}

static void
print_help (FILE *out)
{
  fprintf (out, "Usage: azurewind COMMAND [OPTION...]\n\nCommands:\n");
  for (size_t g = 0; g < COMMAND_TABLE_COUNT; g++)
    for (const struct cli_command *c = command_tables[g]; c->name != NULL; c++)
      fprintf (out, "  %s%s%s\n      %s\n", c->name,
               c->arguments[0] != '\0' ? " " : "", c->arguments, c->help);
  fprintf (out,
           "\nOptions:\n"
           "  --platform=URL       Object API of the platform (environment "
           "AZUREWIND_PLATFORM)\n"
           "  --timeout-ms=NUMBER  Time limit of one call (1 to 600000 ms, "
           "default %d)\n"
           "  --author=NAME        Who changes the configuration (environment "
           "AZUREWIND_AUTHOR)\n"
           "  --json               Print JSON\n"
           "  --help               Show this help and exit\n"
           "\nExit codes: 0 ok, 1 failure, 2 wrong usage or invalid input, "
           "3 conflict,\n4 unavailable, 5 unknown whether the change took "
           "effect.\n",
           DEFAULT_TIMEOUT_MS);
}

/* Compare the first words of the command line with a command's name.
   @return the number of words in the name, 0 if they do not match. */
static int
match_command (const struct cli_command *c, const char **words, int count)
{
  const char *space = strchr (c->name, ' ');
  if (space == NULL)
    return count >= 1 && strcmp (words[0], c->name) == 0 ? 1 : 0;
  size_t len = (size_t)(space - c->name);
  return count >= 2 && strlen (words[0]) == len
                 && strncmp (words[0], c->name, len) == 0
                 && strcmp (words[1], space + 1) == 0
             ? 2
             : 0;
}

/* Find the command that the command line names, skip its name and check its
   arguments and options. */
static const struct cli_command *
find_command (struct cli *cli, struct error *err)
{
  for (size_t g = 0; g < COMMAND_TABLE_COUNT; g++)
    for (const struct cli_command *c = command_tables[g]; c->name != NULL; c++)
      {
        int matched = match_command (c, cli->words, cli->word_count);
        if (matched == 0)
          continue;
        cli->words += matched;
        cli->word_count -= matched;
        if (cli->word_count < c->min_words || cli->word_count > c->max_words)
          {
            error_set (err, ERROR_INVALID, "usage: azurewind %s %s", c->name,
                       c->arguments);
            return NULL;
          }
        if (cli->given_options & ~c->options)
          {
            error_set (err, ERROR_INVALID,
                       "an option does not belong to this command; usage: "
                       "azurewind %s %s",
                       c->name, c->arguments);
            return NULL;
          }
        return c;
      }
  if (cli->word_count == 0)
    error_set (err, ERROR_INVALID, "no command is given; see --help");
  else
    error_set (err, ERROR_INVALID,
               "the command \"%s%s%s\" is unknown; see "
               "--help",
               cli->words[0], cli->word_count > 1 ? " " : "",
               cli->word_count > 1 ? cli->words[1] : "");
  return NULL;
}

/* Read options and words from the command line and check their ranges. */
static bool
parse_arguments (struct cli *cli, poptContext context, bool *help,
                 struct error *err)
{
  int code;
  const char *word;
  while ((code = poptGetNextOpt (context)) >= 0)
    if (code == OPTION_HELP)
      *help = true;
    else
      cli->given_options |= (unsigned)code;
  if (code < -1)
    return error_set (err, ERROR_INVALID, "%s: %s",
                      poptBadOption (context, POPT_BADOPTION_NOALIAS),
                      poptStrerror (code));
  while ((word = poptGetArg (context)) != NULL)
    {
      if (cli->word_count == MAX_WORDS)
        return error_set (err, ERROR_INVALID, "more than %d arguments",
                          MAX_WORDS);
      cli->words[cli->word_count++] = word;
    }
  if (cli->timeout_ms < 1 || cli->timeout_ms > 600000)
    return error_set (err, ERROR_INVALID,
                      "--timeout-ms is %d, it must be 1 to 600000 ms",
                      cli->timeout_ms);
  if (cli->interval_ms < 100 || cli->interval_ms > 600000)
    return error_set (err, ERROR_INVALID,
                      "--interval-ms is %d, it must be 100 to 600000 ms",
                      cli->interval_ms);
  if (cli->if_version < 0)
    return error_set (err, ERROR_INVALID, "--if-version must not be negative");
  return true;
}

static bool
run_command (struct cli *cli, struct error *err)
{
  const struct cli_command *command = find_command (cli, err);
  const char *url
      = cli->platform != NULL ? cli->platform : getenv ("AZUREWIND_PLATFORM");
  if (command == NULL)
    return false;
  if (command->needs_platform && url == NULL)
    return error_set (err, ERROR_INVALID,
                      "the platform is not given; use --platform or the "
                      "environment variable AZUREWIND_PLATFORM");
  /* A command without the platform only calls admin ports by their own URLs,
     so the client never uses the URL of 127.0.0.1. */
  cli->client = client_create (
      cli, url != NULL && command->needs_platform ? url : "http://127.0.0.1",
      cli->timeout_ms, err);
  return cli->client != NULL && command->run (cli, err);
}

/* Mask the characters of keys in an error message: a key that was typed in
   place of another argument must not get into a terminal's log. */
static void
hide_keys (char *text)
{
  static const char safe[] = "abcdefghijklmnopqrstuvwxyz"
                             "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_";
  while ((text = strstr (text, KEY_PREFIX)) != NULL)
    {
      text += strlen (KEY_PREFIX);
      size_t len = strspn (text, safe);
      memset (text, '*', len);
    }
}

static void
print_error (struct cli *cli, struct error *err)
{
  hide_keys (err->text);
  if (cli->json)
    cli_print_json (cli,
                    json_pack ("{s:{s:s, s:s}}", "error", "code",
                               error_name (err->code), "text", err->text));
  fprintf (cli->messages, "azurewind: %s\n", err->text);
}

int
cli_run (int argc, const char **argv, FILE *out, FILE *messages)
{
  struct error err = { 0 };
  bool help = false;
  struct cli *cli = talloc_zero (NULL, struct cli);
  const char **words = talloc_zero_array (cli, const char *, MAX_WORDS + 1);
  cli->out = out;
  cli->messages = messages;
  cli->words = words;
  cli->timeout_ms = DEFAULT_TIMEOUT_MS;
  cli->interval_ms = DEFAULT_INTERVAL_MS;
  const struct poptOption options[] = {
    { "platform", 'p', POPT_ARG_STRING, &cli->platform, 0, NULL, NULL },
    { "timeout-ms", '\0', POPT_ARG_INT, &cli->timeout_ms, 0, NULL, NULL },
    { "json", 'j', POPT_ARG_NONE, NULL, 0, NULL, NULL },
    { "help", '?', POPT_ARG_NONE, NULL, OPTION_HELP, NULL, NULL },
    { "if-version", '\0', POPT_ARG_LONGLONG, &cli->if_version,
      CLI_OPTION_IF_VERSION, NULL, NULL },
    { "version", '\0', POPT_ARG_NONE, NULL, CLI_OPTION_VERSION, NULL, NULL },
    { "service", 's', POPT_ARG_STRING, &cli->service, CLI_OPTION_SERVICE, NULL,
      NULL },
    { "organisation", 'o', POPT_ARG_STRING, &cli->organisation,
      CLI_OPTION_ORGANISATION, NULL, NULL },
    { "author", 'a', POPT_ARG_STRING, &cli->author, CLI_OPTION_AUTHOR, NULL,
      NULL },
    { "once", '\0', POPT_ARG_NONE, NULL, CLI_OPTION_ONCE, NULL, NULL },
    { "interval-ms", 'i', POPT_ARG_INT, &cli->interval_ms, CLI_OPTION_INTERVAL,
      NULL, NULL },
    POPT_TABLEEND,
  };
  int json = 0;
  struct poptOption table[sizeof options / sizeof options[0]];
  memcpy (table, options, sizeof options);
  /* Entry 2 is --json: popt stores an int, but cli->json is a bool. */
  table[2].arg = &json;
  poptContext context = poptGetContext ("azurewind", argc, argv, table, 0);
  bool ok = parse_arguments (cli, context, &help, &err);
  cli->json = json != 0;
  if (ok && help)
    print_help (out);
  else if (ok)
    ok = run_command (cli, &err);
  if (!ok)
    print_error (cli, &err);
  fflush (out);
  free (cli->platform);
  free (cli->service);
  free (cli->organisation);
  free (cli->author);
  poptFreeContext (context);
  talloc_free (cli);
  return ok ? CLI_EXIT_OK : exit_code (err.code);
}
