/** @file
 * azurewind-sessiond: the command line of the session daemon.
 */
#include "session/options.h"
#include "session/run.h"

#include <popt.h>
#include <stdio.h>
#include <stdlib.h>

/* Exit status for an invalid command line or invalid settings. */
#define STATUS_USAGE 2

static int
check_settings (const char *settings)
{
  struct error err = { 0 };
  struct sessiond_options *options
      = sessiond_options_load (NULL, settings, &err);
  if (options == NULL)
    {
      fprintf (stderr, "azurewind-sessiond: %s\n", err.text);
      return STATUS_USAGE;
    }
  talloc_free (options);
  printf ("settings are valid\n");
  return EXIT_SUCCESS;
}

int
main (int argc, const char **argv)
{
  char *settings = NULL;
  int only_check = 0;
  int status = STATUS_USAGE;
  const struct poptOption table[]
      = { { "settings", '\0', POPT_ARG_STRING, &settings, 0,
            "Settings file (TOML), required", "FILE" },
          { "check", '\0', POPT_ARG_NONE, &only_check, 0,
            "Check the settings and exit", NULL },
          POPT_AUTOHELP POPT_TABLEEND };
  poptContext context
      = poptGetContext ("azurewind-sessiond", argc, argv, table, 0);
  int code = poptGetNextOpt (context);
  const char *rest = poptPeekArg (context);
  if (code < -1)
    fprintf (stderr, "azurewind-sessiond: %s: %s\n",
             poptBadOption (context, POPT_BADOPTION_NOALIAS),
             poptStrerror (code));
  else if (rest != NULL)
    fprintf (stderr, "azurewind-sessiond: unexpected argument \"%s\"\n", rest);
  else if (settings == NULL)
    fprintf (stderr, "azurewind-sessiond: --settings is missing\n");
  else
    status = only_check ? check_settings (settings) : sessiond_run (settings);
  poptFreeContext (context);
  free (settings);
  return status;
}
