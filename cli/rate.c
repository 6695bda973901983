#include "cli/cli.h"
#include "cli/toml_edit.h"

#include <inttypes.h>

/* Change of up to two values in one table of the applied configuration. */
struct edit
{
  const char *path[8];        /**< Keys from the root to the table, ends with
                                     NULL. */
  const char *setting_path;   /**< The same path as settings_diff prints
                                   it, joined by dots. */
  const char *not_found_text; /**< Error message if the table does not
                                  exist. */
  struct
  {
    const char *key;
    const char *value;
  } values[2]; /**< An unused entry has a NULL key. */
};

/* Check that a diff lists settings of one table only.  An edit that would
   change another table is not applied. */
static bool
changes_only (const char *diff, const char *setting_path)
{
  size_t len = strlen (setting_path);
  while (*diff != '\0')
    {
      if (strncmp (diff, setting_path, len) != 0 || diff[len] != '.')
        return false;
      diff += strcspn (diff, "\n");
      diff += *diff == '\n';
    }
  return true;
}

/* Make an edit in the text of a configuration and validate the result. */
static bool
edit_config (struct cli *cli, const struct edit *edit,
             const struct cli_config *config, struct bstr *text,
             struct error *err)
{
  *text = config->toml;
  for (int i = 0; i < 2 && edit->values[i].key != NULL; i++)
    {
      *text = toml_edit_set (cli, *text, edit->path, edit->values[i].key,
                             edit->values[i].value, err);
      if (text->start == NULL && err->code == ERROR_NOT_FOUND)
        return error_set (err, ERROR_NOT_FOUND, "%s", edit->not_found_text);
      if (text->start == NULL)
        return false;
    }
  struct settings *edited = settings_parse (cli, "config", *text, err);
  if (edited == NULL)
    return error_wrap (err, ERROR_INVALID,
                       "the change makes the configuration invalid");
  if (!changes_only (settings_diff (cli, config->settings, edited),
                     edit->setting_path))
    return error_set (err, ERROR_INVALID,
                      "the table cannot be edited in place; change the file "
                      "and use \"config apply\"");
  return true;
}

/* Make an edit in the newest configuration and apply the result.  After a
   conflict the edit is repeated on the newer configuration, so that neither
   operator's change is lost. */
static bool
update_config (struct cli *cli, const struct edit *edit, struct error *err)
{
  for (int i = 0; i < CLI_MAX_CONFLICTS; i++)
    {
      struct cli_config config;
      struct bstr text;
      uint64_t version = 0;
      *err = (struct error){ 0 };
      if (!cli_read_config (cli, true, &config, err)
          || !edit_config (cli, edit, &config, &text, err))
        return false;
      bool unchanged = bstr_equals (text, config.toml);
      if (unchanged || cli_write_config (cli, &config, text, &version, err))
        {
          char *version_text = talloc_asprintf (
              cli, "%" PRIu64, unchanged ? config.object.version : version);
          cli_print_fields (cli,
                            (const struct cli_field[]){
                                { "changed", unchanged ? "false" : "true",
                                  CLI_FIELD_LITERAL },
                                { "version", version_text, CLI_FIELD_LITERAL },
                                { 0 } });
          return true;
        }
      if (err->code != ERROR_CONFLICT)
        return false;
      cli_wait_after_conflict ();
    }
  return error_wrap (err, ERROR_CONFLICT, "%d conflicts in a row",
                     CLI_MAX_CONFLICTS);
}

static const struct option_spec *
find_value_option (const char *name)
{
  return option_find (settings_value_options (), bstr_from (name));
}

static bool
run_rate_set (struct cli *cli, struct error *err)
{
  const char *service = cli->words[0], *organisation = cli->words[1];
  struct settings_values values = { 0 };
  const struct option_spec *rate = find_value_option ("rate");
  const struct option_spec *burst = find_value_option ("burst");
  if (!option_set_text (rate, cli, &values, cli->words[2], err)
      || !option_set_text (burst, cli, &values, cli->words[3], err))
    return false;
  const struct edit edit = {
    .path = { "services", service, "organisations", organisation, NULL },
    .setting_path = talloc_asprintf (cli, "services.%s.organisations.%s",
                                     service, organisation),
    .not_found_text = talloc_asprintf (
        cli,
        "the configuration has no service \"%s\" with an organisation "
        "\"%s\"",
        option_printable (cli, bstr_from (service)),
        option_printable (cli, bstr_from (organisation))),
    .values = { { "rate", option_value (rate, cli, &values) },
                { "burst", option_value (burst, cli, &values) } },
  };
  return update_config (cli, &edit, err);
}

static bool
set_endpoint_leaving (struct cli *cli, const char *value, struct error *err)
{
  const char *service = cli->words[0], *endpoint = cli->words[1];
  const struct edit edit = {
    .path = { "services", service, "endpoints", endpoint, NULL },
    .setting_path
    = talloc_asprintf (cli, "services.%s.endpoints.%s", service, endpoint),
    .not_found_text = talloc_asprintf (
        cli, "the configuration has no service \"%s\" with an endpoint \"%s\"",
        option_printable (cli, bstr_from (service)),
        option_printable (cli, bstr_from (endpoint))),
    .values = { { "leaving", value } },
  };
  return update_config (cli, &edit, err);
}

static bool
run_endpoint_drain (struct cli *cli, struct error *err)
{
  return set_endpoint_leaving (cli, "true", err);
}

static bool
run_endpoint_undrain (struct cli *cli, struct error *err)
{
  return set_endpoint_leaving (cli, "false", err);
}

static bool
run_org_list (struct cli *cli, struct error *err)
{
  struct cli_config config;
  if (!cli_read_config (cli, true, &config, err))
    return false;
  json_t *list = json_array ();
  if (!cli->json)
    fprintf (cli->out, "%-20s  %-20s  %10s  %10s  %s\n", "SERVICE",
             "ORGANISATION", "RATE", "BURST", "ENABLED");
  for (int i = 0; i < config.settings->service_count; i++)
    {
      const struct settings_service *s = &config.settings->services[i];
      for (int j = 0; j < s->organisation_count; j++)
        {
          const struct settings_organisation *o = &s->organisations[j];
          if (cli->json)
            json_array_append_new (
                list, json_pack ("{s:s, s:s, s:f, s:f, s:b}", "service",
                                 s->name, "organisation", o->name, "rate",
                                 o->values.rate, "burst", o->values.burst,
                                 "enabled", o->values.enabled));
          else
            fprintf (cli->out, "%-20s  %-20s  %10.15g  %10.15g  %s\n", s->name,
                     o->name, o->values.rate, o->values.burst,
                     o->values.enabled ? "yes" : "no");
        }
    }
  if (cli->json)
    cli_print_json (cli, list);
  else
    json_decref (list);
  return true;
}

const struct cli_command cli_rate_commands[] = {
  { "org list", "", 0, 0, 0, true, run_org_list,
    "List the organisations of each service with rate and burst" },
  { "rate set", "SERVICE ORGANISATION RATE BURST [--author=NAME]", 4, 4,
    CLI_OPTION_AUTHOR, true, run_rate_set,
    "Set requests per second and burst of an organisation" },
  { "endpoint drain", "SERVICE ENDPOINT [--author=NAME]", 2, 2,
    CLI_OPTION_AUTHOR, true, run_endpoint_drain,
    "Give an endpoint no new work" },
  { "endpoint undrain", "SERVICE ENDPOINT [--author=NAME]", 2, 2,
    CLI_OPTION_AUTHOR, true, run_endpoint_undrain,
    "Give an endpoint work again" },
  { 0 },
};
