#include "cli/cli.h"
#include "common/file.h"

#include <inttypes.h>
#include <stdlib.h>

#define MAX_CONFIG_BYTES 1000000

static char *
format_version (void *parent, uint64_t version)
{
  return talloc_asprintf (parent, "%" PRIu64, version);
}

bool
cli_read_config (struct cli *cli, bool required, struct cli_config *config,
                 struct error *err)
{
  *config = (struct cli_config){ .toml = bstr_from ("") };
  if (!client_get (cli->client, CONFIG_OBJECT, &config->object, err))
    return false;
  if (config->object.version == 0)
    return !required
           || error_set (err, ERROR_NOT_FOUND,
                         "no configuration has been applied yet");
  const char *toml = NULL, *author = "", *applied_at = "";
  json_t *json = json_loadb (config->object.value.start,
                             config->object.value.len, 0, NULL);
  if (json_unpack (json, "{s:s, s?s, s?s}", "toml", &toml, "author", &author,
                   "applied_at", &applied_at)
      == 0)
    {
      config->toml = bstr_copy (cli, bstr_from (toml));
      config->author = talloc_strdup (cli, author);
      config->applied_at = talloc_strdup (cli, applied_at);
      config->settings = settings_parse (cli, "config", config->toml, err);
    }
  else
    error_set (err, ERROR_INVALID, "%s holds no \"toml\"", CONFIG_OBJECT);
  json_decref (json);
  if (config->settings == NULL)
    return error_wrap (err, ERROR_INVALID,
                       "the applied configuration, version %" PRIu64
                       ", is not valid",
                       config->object.version);
  config->settings->version = config->object.version;
  return true;
}

/* @return the author from --author, AZUREWIND_AUTHOR or USER, in this
   order. */
static const char *
find_author (const struct cli *cli)
{
  const char *author = cli->author;
  if (author == NULL)
    author = getenv ("AZUREWIND_AUTHOR");
  if (author == NULL)
    author = getenv ("USER");
  return author != NULL ? author : "unknown";
}

/* Set the error of a conflict: who applied the newer version, and when. */
static void
set_conflict_error (const struct client_object *newer, struct error *err)
{
  const char *author = "unknown", *applied_at = "an unknown time";
  json_t *json = json_loadb (newer->value.start, newer->value.len, 0, NULL);
  json_unpack (json, "{s?s, s?s}", "author", &author, "applied_at",
               &applied_at);
  error_set (err, ERROR_CONFLICT,
             "conflict: version %" PRIu64 " was applied by %s at %s; nothing "
             "was changed; compare with \"config diff\" and apply again",
             newer->version, author, applied_at);
  json_decref (json);
}

bool
cli_write_config (struct cli *cli, const struct cli_config *config,
                  struct bstr toml, uint64_t *version, struct error *err)
{
  struct client_object current = { 0 };
  char *now = cli_timestamp (cli);
  json_t *value = json_pack ("{s:s%, s:s, s:s}", "toml", toml.start, toml.len,
                             "author", find_author (cli), "applied_at", now);
  if (value == NULL)
    return error_set (err, ERROR_INVALID,
                      "the configuration or the author is not UTF-8");
  bool ok = client_update (cli->client, CONFIG_OBJECT, &config->object, value,
                           &current, err);
  json_decref (value);
  if (!ok && err->code == ERROR_CONFLICT)
    set_conflict_error (&current, err);
  *version = current.version;
  return ok;
}

/* Read and validate a configuration file. */
static bool
read_settings_file (struct cli *cli, const char *path, struct bstr *text,
                    struct settings **settings, struct error *err)
{
  text->start = file_read (cli, path, MAX_CONFIG_BYTES, &text->len, err);
  if (text->start == NULL)
    return false;
  *settings = settings_parse (cli, path, *text, err);
  return *settings != NULL;
}

static bool
run_check (struct cli *cli, struct error *err)
{
  struct bstr text;
  struct settings *settings;
  if (!read_settings_file (cli, cli->words[0], &text, &settings, err))
    return false;
  int endpoints = 0, organisations = 0;
  for (int i = 0; i < settings->service_count; i++)
    {
      endpoints += settings->services[i].endpoint_count;
      organisations += settings->services[i].organisation_count;
    }
  if (cli->json)
    cli_print_json (cli,
                    json_pack ("{s:b, s:i, s:i, s:i}", "valid", 1, "services",
                               settings->service_count, "endpoints", endpoints,
                               "organisations", organisations));
  else
    fprintf (cli->out, "valid: %d services, %d endpoints, %d organisations\n",
             settings->service_count, endpoints, organisations);
  return true;
}

/* @return the lines of a text as an array of strings. */
static json_t *
lines_to_json (const char *text)
{
  json_t *list = json_array ();
  while (*text != '\0')
    {
      size_t len = strcspn (text, "\n");
      json_array_append_new (list, json_stringn (text, len));
      text += len + (text[len] == '\n');
    }
  return list;
}

static bool
run_diff (struct cli *cli, struct error *err)
{
  struct bstr text;
  struct settings *settings;
  struct cli_config config;
  if (!read_settings_file (cli, cli->words[0], &text, &settings, err)
      || !cli_read_config (cli, false, &config, err))
    return false;
  char *diff = settings_diff (cli, config.settings, settings);
  if (cli->json)
    cli_print_json (cli, json_pack ("{s:I, s:o}", "version",
                                    (json_int_t)config.object.version,
                                    "changes", lines_to_json (diff)));
  else if (diff[0] == '\0')
    fprintf (cli->out, "no difference from version %" PRIu64 "\n",
             config.object.version);
  else
    fputs (diff, cli->out);
  return true;
}

static bool
run_apply (struct cli *cli, struct error *err)
{
  struct bstr text;
  struct settings *settings;
  struct cli_config config = { 0 };
  uint64_t version = 0;
  if (!read_settings_file (cli, cli->words[0], &text, &settings, err))
    return false;
  /* The applied configuration need not be valid for this version of the
     tool: a newer version may have written it, and applying a file is the way
     to repair an invalid one. */
  if (!client_get (cli->client, CONFIG_OBJECT, &config.object, err))
    return false;
  if ((cli->given_options & CLI_OPTION_IF_VERSION)
      && (uint64_t)cli->if_version != config.object.version)
    {
      if (config.object.version == 0)
        return error_set (err, ERROR_CONFLICT,
                          "conflict: no configuration has been applied yet, "
                          "the current version is 0");
      set_conflict_error (&config.object, err);
      return false;
    }
  if (!cli_write_config (cli, &config, text, &version, err))
    return false;
  if (cli->json)
    cli_print_json (cli, json_pack ("{s:I, s:I}", "version",
                                    (json_int_t)version, "previous_version",
                                    (json_int_t)config.object.version));
  else
    fprintf (cli->out,
             "applied as version %" PRIu64 ", previous version %" PRIu64 "\n",
             version, config.object.version);
  return true;
}

static bool
run_get (struct cli *cli, struct error *err)
{
  struct cli_config config;
  if (!cli_read_config (cli, true, &config, err))
    return false;
  if (cli->json)
    {
      json_t *json = json_pack (
          "{s:I, s:s, s:s}", "version", (json_int_t)config.object.version,
          "author", config.author, "applied_at", config.applied_at);
      if (!(cli->given_options & CLI_OPTION_VERSION))
        json_object_set_new (
            json, "toml", json_stringn (config.toml.start, config.toml.len));
      cli_print_json (cli, json);
    }
  else if (cli->given_options & CLI_OPTION_VERSION)
    cli_print_fields (
        cli, (const struct cli_field[]){
                 { "version", format_version (cli, config.object.version),
                   CLI_FIELD_LITERAL },
                 { "author", config.author, CLI_FIELD_TEXT },
                 { "applied_at", config.applied_at, CLI_FIELD_TEXT },
                 { 0 } });
  else
    fwrite (config.toml.start, 1, config.toml.len, cli->out);
  return true;
}

static bool
run_explain (struct cli *cli, struct error *err)
{
  struct cli_config config;
  const char *name = cli->words[0];
  if (cli->service == NULL)
    return error_set (err, ERROR_INVALID, "--service is not given");
  if (!cli_read_config (cli, true, &config, err))
    return false;
  const char *level = settings_explain (cli, config.toml, cli->service,
                                        cli->organisation, name, err);
  if (level == NULL)
    return false;
  const char *value = settings_value (cli, config.settings, cli->service,
                                      cli->organisation, name, err);
  cli_print_fields (
      cli, (const struct cli_field[]){
               { "name", name, CLI_FIELD_TEXT },
               { "value", value, CLI_FIELD_TEXT },
               { "set_by", level, CLI_FIELD_TEXT },
               { "version", format_version (cli, config.object.version),
                 CLI_FIELD_LITERAL },
               { 0 } });
  return true;
}

static void
print_reference (struct cli *cli, const char *title,
                 const struct option_spec *table)
{
  fprintf (cli->out,
           "### %s\n\n| name | range | unit | default | meaning |\n"
           "|---|---|---|---|---|\n",
           title);
  for (const struct option_spec *o = table; o->name != NULL; o++)
    fprintf (cli->out, "| `%s`%s | %s | %s | %s | %s |\n", o->name,
             o->flags & SETTINGS_SERVICE_ONLY ? " *" : "",
             option_range (o, cli), o->unit != NULL ? o->unit : "",
             option_default (o, cli), o->help);
}

static void
append_reference (json_t *list, struct cli *cli, const char *level,
                  const struct option_spec *table)
{
  for (const struct option_spec *o = table; o->name != NULL; o++)
    json_array_append_new (
        list, json_pack ("{s:s, s:s, s:s, s:s, s:s, s:s}", "level", level,
                         "name", o->name, "range", option_range (o, cli),
                         "unit", o->unit != NULL ? o->unit : "", "default",
                         option_default (o, cli), "help", o->help));
}

static bool
run_reference (struct cli *cli, struct error *err)
{
  (void)err;
  if (cli->json)
    {
      json_t *list = json_array ();
      append_reference (list, cli, "values", settings_value_options ());
      append_reference (list, cli, "service", settings_service_options ());
      append_reference (list, cli, "endpoint", settings_endpoint_options ());
      cli_print_json (cli, list);
      return true;
    }
  print_reference (cli, "Values of [defaults], services and organisations",
                   settings_value_options ());
  fprintf (cli->out, "\nA value with * belongs to the service; an "
                     "organisation cannot set it.\n\n");
  print_reference (cli, "Other settings of [services.NAME]",
                   settings_service_options ());
  fprintf (cli->out, "\n");
  print_reference (cli, "Settings of [services.NAME.endpoints.NAME]",
                   settings_endpoint_options ());
  return true;
}

const struct cli_command cli_config_commands[] = {
  { "config check", "FILE", 1, 1, 0, false, run_check,
    "Check a file without applying it" },
  { "config diff", "FILE", 1, 1, 0, true, run_diff,
    "List what would change if the file were applied" },
  { "config apply", "FILE [--if-version=NUMBER] [--author=NAME]", 1, 1,
    CLI_OPTION_IF_VERSION | CLI_OPTION_AUTHOR, true, run_apply,
    "Apply a file; a conflict changes nothing" },
  { "config get", "[--version]", 0, 0, CLI_OPTION_VERSION, true, run_get,
    "Print the applied configuration, or its version and author" },
  { "config explain", "--service=NAME [--organisation=NAME] SETTING", 1, 1,
    CLI_OPTION_SERVICE | CLI_OPTION_ORGANISATION, true, run_explain,
    "Print a value in force and the level that set it" },
  { "config reference", "", 0, 0, 0, false, run_reference,
    "Print the table of all settings" },
  { 0 },
};
