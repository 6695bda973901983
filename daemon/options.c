#include "daemon/options.h"

#include "common/file.h"
#include "common/toml_reader.h"

#include <errno.h>
#include <popt.h>
#include <stdlib.h>
#include <unistd.h>

#define OPTION_OFFSET(m) offsetof (struct daemon_options, m)

/* Largest settings file; a larger file must be another kind of file. */
#define MAX_SETTINGS_FILE_BYTES 65536

static const struct option_spec option_specs[] = {
  { .name = "name",
    .type = OPTION_NAME,
    .offset = OPTION_OFFSET (name),
    .flags = OPTION_REQUIRED,
    .help = "Name of this VM, as in the platform's list" },
  { .name = "place",
    .type = OPTION_NAME,
    .offset = OPTION_OFFSET (place),
    .text = "",
    .flags = OPTION_MAY_BE_EMPTY,
    .help = "Place where this VM stands" },
  { .name = "failure_domain",
    .type = OPTION_NAME,
    .offset = OPTION_OFFSET (failure_domain),
    .flags = OPTION_REQUIRED,
    .help = "Failure domain of this VM" },
  { .name = "region",
    .type = OPTION_NAME,
    .offset = OPTION_OFFSET (region),
    .text = "",
    .flags = OPTION_MAY_BE_EMPTY,
    .help = "Region of this VM" },
  { .name = "listen",
    .type = OPTION_LISTEN,
    .offset = OPTION_OFFSET (listen),
    .text = "127.0.0.1:7400",
    .help
    = "Address of the callers' HTTP interface; port 0 takes a free one" },
  { .name = "admin_listen",
    .type = OPTION_LISTEN,
    .offset = OPTION_OFFSET (admin_listen),
    .text = "127.0.0.1:7401",
    .help = "Address of the admin interface; port 0 takes a free one" },
  { .name = "peer_listen",
    .type = OPTION_TEXT,
    .offset = OPTION_OFFSET (peer_listen),
    .text = "tcp://127.0.0.1:7402",
    .min = 1,
    .max = 100,
    .pattern = "^tcp://[][0-9a-fA-F.:]+:([0-9]{1,5}|\\*)$",
    .form = "tcp://IP:PORT",
    .help = "ZeroMQ endpoint for the other daemons; port * takes a free one" },
  { .name = "platform",
    .type = OPTION_TEXT,
    .offset = OPTION_OFFSET (platform),
    .flags = OPTION_REQUIRED,
    .min = 1,
    .max = 200,
    .pattern = "^https?://[^ /]+/?$",
    .form = "http://HOST:PORT",
    .help = "URL of the platform's object API" },
  { .name = "cell",
    .type = OPTION_NAME,
    .offset = OPTION_OFFSET (cell),
    .flags = OPTION_REQUIRED,
    .help = "Cell that this daemon joins" },
  { .name = "secret_file",
    .type = OPTION_TEXT,
    .offset = OPTION_OFFSET (secret_file),
    .flags = OPTION_REQUIRED,
    .min = 1,
    .max = 4000,
    .form = "a path",
    .help = "File with the fleet secret" },
  { .name = "charts",
    .type = OPTION_TEXT,
    .offset = OPTION_OFFSET (charts),
    .text = "charts",
    .min = 1,
    .max = 4000,
    .form = "a path",
    .help = "Folder with the state charts" },
  { .name = "log_level",
    .type = OPTION_CHOICE,
    .offset = OPTION_OFFSET (log_level),
    .text = "info",
    .pattern = "error|warn|info|debug",
    .help = "Least important log lines that are written" },
  { .name = "tls_certificate",
    .type = OPTION_TEXT,
    .offset = OPTION_OFFSET (tls_certificate),
    .min = 1,
    .max = 4000,
    .form = "a path",
    .help = "Certificate of the callers' interface, in PEM form" },
  { .name = "tls_key",
    .type = OPTION_TEXT,
    .offset = OPTION_OFFSET (tls_key),
    .min = 1,
    .max = 4000,
    .form = "a path",
    .help = "Private key of the certificate, in PEM form" },
  { .name = "poll_ms",
    .type = OPTION_INT64,
    .offset = OPTION_OFFSET (poll_ms),
    .min = 10,
    .max = 10000,
    .number = 250,
    .unit = "ms",
    .help = "Time between two polls of an endpoint" },
  { .name = "heartbeat_ms",
    .type = OPTION_INT64,
    .offset = OPTION_OFFSET (heartbeat_ms),
    .min = 10,
    .max = 10000,
    .number = 500,
    .unit = "ms",
    .help = "Time between two heartbeats to each other daemon" },
  { .name = "hold_ms",
    .type = OPTION_INT64,
    .offset = OPTION_OFFSET (hold_ms),
    .min = 100,
    .max = 60000,
    .number = 2000,
    .unit = "ms",
    .help = "Time without echoes after which this daemon stops admitting" },
  { .name = "max_body_bytes",
    .type = OPTION_INT64,
    .offset = OPTION_OFFSET (max_body_bytes),
    .min = 1024,
    .max = 67108864,
    .number = 1048576,
    .unit = "bytes",
    .help = "Largest body of a request" },
  /* The default exceeds the 3,660 connections per daemon of section 1.4 of
     the design. */
  { .name = "max_connections",
    .type = OPTION_INT,
    .offset = OPTION_OFFSET (max_connections),
    .min = 1,
    .max = 100000,
    .number = 5000,
    .unit = "connections",
    .help = "Callers' connections that are open at one time" },
  { .name = "memory_mb",
    .type = OPTION_INT,
    .offset = OPTION_OFFSET (memory_mb),
    .min = 0,
    .max = 16777216,
    .number = 0,
    .unit = "MB",
    .help = "Memory of this VM; 0: not bounded by it" },
  { .name = "client_memory_mb",
    .type = OPTION_INT,
    .offset = OPTION_OFFSET (client_memory_mb),
    .min = 0,
    .max = 16777216,
    .number = 0,
    .unit = "MB",
    .help = "Most bytes held for callers; 0: a third of memory_mb, or 1024" },
  { .name = "half_message_ms",
    .type = OPTION_INT,
    .offset = OPTION_OFFSET (half_message_ms),
    .min = 100,
    .max = 3600000,
    .number = 60000,
    .unit = "ms",
    .help = "Time for the rest of a request that has begun" },
  { .name = "baseline_primary_reads",
    .type = OPTION_BOOL,
    .offset = OPTION_OFFSET (baseline_primary_reads),
    .help = "For comparison: send every read to the primary" },
  { .name = "baseline_static_shares",
    .type = OPTION_BOOL,
    .offset = OPTION_OFFSET (baseline_static_shares),
    .help = "For comparison: never move parts of a budget between daemons" },
  { .name = "baseline_fifo",
    .type = OPTION_BOOL,
    .offset = OPTION_OFFSET (baseline_fifo),
    .help = "For comparison: one queue for all organisations and classes" },
  { 0 },
};

#define OPTION_COUNT (sizeof option_specs / sizeof option_specs[0] - 1)

/* Values by which popt reports the options. */
enum
{
  POPT_VALUE_FIRST_OPTION = 1000, /* Plus the index in option_specs. */
  POPT_VALUE_SETTINGS = 1,
  POPT_VALUE_CHECK,
  POPT_VALUE_HELP
};

const struct option_spec *
daemon_options_specs (void)
{
  return option_specs;
}

/* Converts the name of a setting: "poll_ms" in the file is "--poll-ms" on
   the command line. */
static char *
command_line_name (void *parent, const char *name)
{
  char *out = talloc_strdup (parent, name);
  for (char *c = out; *c != '\0'; c++)
    if (*c == '_')
      *c = '-';
  return out;
}

/* Returns the help text of an option with its range, unit and default. */
static char *
describe_option (void *parent, const struct option_spec *o)
{
  void *scratch = talloc_new (NULL);
  const char *fallback = option_default (o, scratch);
  bool required = o->flags & OPTION_REQUIRED;
  char *text = talloc_asprintf (
      parent, "%s (%s%s%s, %s%s)", o->help, option_range (o, scratch),
      o->unit != NULL ? " " : "", o->unit != NULL ? o->unit : "",
      required ? "" : "default ", fallback);
  talloc_free (scratch);
  return text;
}

static struct poptOption *
create_popt_table (void *parent)
{
  struct poptOption *out
      = talloc_zero_array (parent, struct poptOption, OPTION_COUNT + 4);
  size_t n = 0;
  out[n++] = (struct poptOption){ "settings",
                                  's',
                                  POPT_ARG_STRING,
                                  NULL,
                                  POPT_VALUE_SETTINGS,
                                  "Settings file (TOML)",
                                  "FILE" };
  out[n++] = (struct poptOption){
    "check",
    'c',
    POPT_ARG_NONE,
    NULL,
    POPT_VALUE_CHECK,
    "Check the settings and the files they name, then exit",
    NULL
  };
  out[n++] = (struct poptOption){ "help",
                                  '?',
                                  POPT_ARG_NONE,
                                  NULL,
                                  POPT_VALUE_HELP,
                                  "Show this help and exit",
                                  NULL };
  for (size_t i = 0; i < OPTION_COUNT; i++)
    out[n++]
        = (struct poptOption){ command_line_name (out, option_specs[i].name),
                               '\0',
                               POPT_ARG_STRING,
                               NULL,
                               POPT_VALUE_FIRST_OPTION + (int)i,
                               describe_option (out, &option_specs[i]),
                               option_specs[i].unit != NULL ? "NUMBER"
                                                            : "VALUE" };
  return out;
}

void
daemon_options_print_help (FILE *out)
{
  const char *argv[] = { "azurewindd", NULL };
  void *scratch = talloc_new (NULL);
  poptContext context
      = poptGetContext ("azurewindd", 1, argv, create_popt_table (scratch), 0);
  poptPrintHelp (context, out, 0);
  poptFreeContext (context);
  talloc_free (scratch);
}

static bool
read_settings_file (struct daemon_options *o, struct error *err)
{
  size_t len;
  void *scratch = talloc_new (NULL);
  struct toml_node *root = NULL;
  const char *text = file_read (scratch, o->settings_file,
                                MAX_SETTINGS_FILE_BYTES, &len, err);
  if (text != NULL)
    root = toml_reader_parse (scratch, o->settings_file,
                              (struct bstr){ text, len }, err);
  bool ok
      = root != NULL
        && option_read (option_specs, NULL, o, o, o->settings_file, root, err);
  talloc_free (scratch);
  return ok;
}

/* Checks the required settings and those that depend on each other. */
static bool
check_combinations (const struct daemon_options *o, struct error *err)
{
  const struct option_spec *missing = option_missing (option_specs, o);
  if (missing != NULL)
    return error_set (err, ERROR_INVALID,
                      "%s is not set; it is required, in the settings file "
                      "or on the command line",
                      missing->name);
  if ((o->tls_certificate == NULL) != (o->tls_key == NULL))
    return error_set (err, ERROR_INVALID,
                      "tls_certificate and tls_key must be set together");
  /* With a shorter hold_ms, one lost heartbeat would end the lease. */
  if (o->hold_ms < 2 * o->heartbeat_ms)
    return error_set (err, ERROR_INVALID,
                      "hold_ms is %d, it must be at least twice "
                      "heartbeat_ms, which is %d",
                      (int)o->hold_ms, (int)o->heartbeat_ms);
  return true;
}

/* Checks that the files that the settings name can be read. */
static bool
check_files (const struct daemon_options *o, struct error *err)
{
  const struct
  {
    const char *name, *path;
  } files[] = {
    { "secret_file", o->secret_file },
    { "charts", o->charts },
    { "tls_certificate", o->tls_certificate },
    { "tls_key", o->tls_key },
  };
  for (size_t i = 0; i < sizeof files / sizeof files[0]; i++)
    if (files[i].path != NULL && access (files[i].path, R_OK) != 0)
      return error_set (err, ERROR_INVALID, "%s: %s: %s", files[i].name,
                        files[i].path, strerror (errno));
  return true;
}

/** The command line.  It is read before the settings file but applied after
 * it. */
struct command_line
{
  const char *values[OPTION_COUNT]; /**< Values by index in option_specs. */
  bool check, help;
};

static bool
read_command_line (struct daemon_options *o, poptContext context,
                   struct command_line *line, struct error *err)
{
  int code;
  while ((code = poptGetNextOpt (context)) >= 0)
    {
      char *value = poptGetOptArg (context);
      if (code == POPT_VALUE_CHECK)
        line->check = true;
      else if (code == POPT_VALUE_HELP)
        line->help = true;
      else if (code == POPT_VALUE_SETTINGS)
        o->settings_file = talloc_strdup (o, value);
      else if (code >= POPT_VALUE_FIRST_OPTION)
        line->values[code - POPT_VALUE_FIRST_OPTION]
            = talloc_strdup (o, value);
      free (value);
    }
  if (code < -1)
    return error_set (err, ERROR_INVALID, "%s: %s",
                      poptBadOption (context, POPT_BADOPTION_NOALIAS),
                      poptStrerror (code));
  const char *rest = poptPeekArg (context);
  if (rest != NULL)
    return error_set (err, ERROR_INVALID, "unexpected argument \"%s\"", rest);
  return true;
}

static bool
apply_command_line (struct daemon_options *o, const struct command_line *line,
                    struct error *err)
{
  for (size_t i = 0; i < OPTION_COUNT; i++)
    if (line->values[i] != NULL
        && !option_set_text (&option_specs[i], o, o, line->values[i], err))
      return error_wrap (err, ERROR_INVALID, "command line");
  return true;
}

struct daemon_options *
daemon_options_parse (void *parent, int argc, const char **argv,
                      struct error *err)
{
  bool ok = false;
  struct command_line line = { 0 };
  struct daemon_options *o = talloc_zero (parent, struct daemon_options);
  void *scratch = talloc_new (NULL);
  poptContext context = poptGetContext ("azurewindd", argc, argv,
                                        create_popt_table (scratch), 0);
  option_set_defaults (option_specs, o, o);
  if (!read_command_line (o, context, &line, err))
    goto done;
  if (line.help)
    {
      daemon_options_print_help (stdout);
      o->exit_now = true;
      ok = true;
      goto done;
    }
  if (o->settings_file != NULL && !read_settings_file (o, err))
    goto done;
  if (!apply_command_line (o, &line, err) || !check_combinations (o, err))
    goto done;
  if (line.check)
    {
      if (!check_files (o, err))
        goto done;
      printf ("settings are valid\n");
      o->exit_now = true;
    }
  ok = true;
done:
  poptFreeContext (context);
  talloc_free (scratch);
  if (!ok)
    {
      talloc_free (o);
      o = NULL;
    }
  return o;
}
