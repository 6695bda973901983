/** @file
 * Commands of the operators' tool.
 */
#ifndef CLI_CLI_H
#define CLI_CLI_H

#include "cli/client.h"
#include "common/error.h"
#include "core/settings.h"

#include <jansson.h>
#include <stdio.h>

#define CONFIG_OBJECT "azurewind/config"
#define KEYS_OBJECT "azurewind/keys"

/** Exit codes, part of the interface. */
enum cli_exit
{
  CLI_OK = 0,
  CLI_FAILURE = 1,
  CLI_INVALID = 2, /**< Wrong usage or invalid input. */
  CLI_CONFLICT = 3,
  CLI_UNAVAILABLE = 4,
  CLI_UNKNOWN = 5 /**< Whether the change took effect is not known. */
};

/** Options that a command can accept, as bits. */
enum cli_option
{
  CLI_IF_VERSION = 1,
  CLI_VERSION = 2,
  CLI_SERVICE = 4,
  CLI_ORGANISATION = 8,
  CLI_AUTHOR = 16,
  CLI_ONCE = 32,
  CLI_INTERVAL = 64
};

/** One run of the tool. */
struct cli
{
  FILE *out;
  FILE *messages;
  struct client *client;
  const char **words; /**< After the command's name, ends with NULL. */
  int word_count;
  unsigned given; /**< Bits of enum cli_option. */
  bool json;
  char *platform;
  char *service;
  char *organisation;
  char *author;
  long long if_version;
  int interval_ms;
  int timeout_ms;
};

struct cli_command
{
  const char *name; /**< One or two words; NULL ends a table. */
  const char *arguments;
  int min_words, max_words;
  unsigned options; /**< Bits of enum cli_option. */
  bool needs_platform;
  bool (*run) (struct cli *cli, struct error *err);
  const char *help;
};

extern const struct cli_command cli_config_commands[];
extern const struct cli_command cli_key_commands[];
extern const struct cli_command cli_rate_commands[];
extern const struct cli_command cli_daemon_commands[];

/** Run the tool.
 * @param out receives results, @param messages receives errors.
 * @return one of enum cli_exit. */
int cli_run (int argc, const char **argv, FILE *out, FILE *messages);

/** Print @p json to the output and release it. */
void cli_print_json (struct cli *cli, json_t *json);

/** @return the current UTC time, "2026-01-31T12:00:00Z". */
char *cli_timestamp (void *parent);

/** The configuration that is applied. */
struct cli_config
{
  struct client_object object; /**< Version 0: none was applied yet. */
  struct bstr toml;
  char *author;
  char *applied_at;
  struct settings *settings; /**< NULL if none was applied yet. */
};

/** Read and check the applied configuration.
 * @param required if true, it is an error that none was applied yet. */
bool cli_read_config (struct cli *cli, bool required,
                      struct cli_config *config, struct error *err);

/** Write @p toml in place of @p config.
 * @param version set to the new version. */
bool cli_write_config (struct cli *cli, const struct cli_config *config,
                       struct bstr toml, uint64_t *version, struct error *err);

/** Conflicts in a row after which a change that is made again on newer
 * versions gives up; at each conflict another operator succeeded. */
#define CLI_MAX_CONFLICTS 20

/** Wait for a random time, so that racing operators do not stay in step. */
void cli_wait_after_conflict (void);

enum cli_field_type
{
  CLI_TEXT,
  CLI_PLAIN /**< A number or a bool, without quotes in JSON. */
};

struct cli_field
{
  const char *name; /**< NULL ends a list. */
  const char *value;
  enum cli_field_type type;
};

/** Print "name: value" lines, or one JSON object. */
void cli_print_fields (struct cli *cli, const struct cli_field *fields);

#endif
