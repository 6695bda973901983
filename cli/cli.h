/** @file
 * Commands of the operators' tool `azurewind`.
 */
#ifndef CLI_CLI_H
#define CLI_CLI_H

#include "cli/client.h"
#include "common/error.h"
#include "core/settings.h"

#include <jansson.h>
#include <stdio.h>

/** Names of the platform objects that the tool reads and writes. */
#define CONFIG_OBJECT "azurewind/config"
#define KEYS_OBJECT "azurewind/keys"

/** Exit codes of the tool; scripts rely on the numbers. */
enum cli_exit
{
  CLI_EXIT_OK = 0,
  CLI_EXIT_FAILURE = 1,     /**< Any error without a code of its own. */
  CLI_EXIT_INVALID = 2,     /**< Wrong usage, invalid input or not found. */
  CLI_EXIT_CONFLICT = 3,    /**< Another operator changed the object first. */
  CLI_EXIT_UNAVAILABLE = 4, /**< The platform or a daemon is unavailable. */
  CLI_EXIT_UNKNOWN = 5 /**< The change may or may not have taken effect. */
};

/** Options that only some commands accept, as bits. */
enum cli_option
{
  CLI_OPTION_IF_VERSION = 1,
  CLI_OPTION_VERSION = 2,
  CLI_OPTION_SERVICE = 4,
  CLI_OPTION_ORGANISATION = 8,
  CLI_OPTION_AUTHOR = 16,
  CLI_OPTION_ONCE = 32,
  CLI_OPTION_INTERVAL = 64
};

/** State of one run of the tool: its arguments, output and connection. */
struct cli
{
  FILE *out;      /**< Receives the results. */
  FILE *messages; /**< Receives the error messages. */
  struct client *client;
  const char **words; /**< Arguments after the command's name, ends with
                           NULL. */
  int word_count;
  unsigned given_options; /**< Options on the command line, bits of enum
                               cli_option. */
  bool json;              /**< Print results as JSON. */
  char *platform; /**< URL of the platform's object API; NULL: not given. */
  char *service;  /**< NULL: not given. */
  char *organisation;   /**< NULL: not given. */
  char *author;         /**< NULL: not given. */
  long long if_version; /**< Version that "config apply" may replace; valid
                             with CLI_OPTION_IF_VERSION. */
  int interval_ms;      /**< Time between two refreshes of "top". */
  int timeout_ms;       /**< Time limit of one call. */
};

/** Description of a command in a table of commands. */
struct cli_command
{
  const char *name;         /**< One or two words; NULL ends a table. */
  const char *arguments;    /**< Arguments as the help shows them. */
  int min_words, max_words; /**< Number of arguments after the name. */
  unsigned options;         /**< Accepted options, bits of enum cli_option. */
  bool needs_platform;      /**< The URL of the platform must be given. */
  bool (*run) (struct cli *cli, struct error *err);
  const char *help;
};

extern const struct cli_command cli_config_commands[];
extern const struct cli_command cli_key_commands[];
extern const struct cli_command cli_rate_commands[];
extern const struct cli_command cli_daemon_commands[];

/** Run the tool.
 * @param out receives the results.
 * @param messages receives the error messages.
 * @return one of enum cli_exit. */
int cli_run (int argc, const char **argv, FILE *out, FILE *messages);

/** Print @p json to the output and drop the caller's reference to it. */
void cli_print_json (struct cli *cli, json_t *json);

/** @return the current UTC time in the form "2026-01-31T12:00:00Z", owned by
 * @p parent. */
char *cli_timestamp (void *parent);

/** The applied configuration, as stored on the platform. */
struct cli_config
{
  struct client_object object; /**< Version 0: no configuration was applied
                                    yet. */
  struct bstr toml;
  char *author;              /**< Operator who applied it. */
  char *applied_at;          /**< UTC time in the form of cli_timestamp. */
  struct settings *settings; /**< NULL: no configuration was applied yet. */
};

/** Read and validate the applied configuration.
 * @param required if true, the call fails if no configuration was applied
 * yet. */
bool cli_read_config (struct cli *cli, bool required,
                      struct cli_config *config, struct error *err);

/** Replace the applied configuration @p config by @p toml.
 * @param version set to the new version.
 * @return false with ERROR_CONFLICT in @p err if a newer configuration than
 * @p config is applied. */
bool cli_write_config (struct cli *cli, const struct cli_config *config,
                       struct bstr toml, uint64_t *version, struct error *err);

/** Number of consecutive conflicts after which the tool stops repeating
 * a change on the newer version.  At each conflict another operator's change
 * succeeded. */
#define CLI_MAX_CONFLICTS 20

/** Wait for a random time before a change is repeated, so that concurrent
 * operators do not conflict again at the same moment. */
void cli_wait_after_conflict (void);

/** How a field is written in JSON. */
enum cli_field_type
{
  CLI_FIELD_TEXT,   /**< A string. */
  CLI_FIELD_LITERAL /**< A number or a bool, without quotes in JSON. */
};

/** Field of a command's result. */
struct cli_field
{
  const char *name; /**< NULL ends a list. */
  const char *value;
  enum cli_field_type type;
};

/** Print @p fields as "name: value" lines, or as one JSON object. */
void cli_print_fields (struct cli *cli, const struct cli_field *fields);

#endif
