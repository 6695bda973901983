/** @file
 * The operators' tree of settings: defaults > service > organisation.  Each
 * level inherits from the one above and overrides only what differs.
 */
#ifndef CORE_SETTINGS_H
#define CORE_SETTINGS_H

#include "common/bstr.h"
#include "common/error.h"
#include "common/option.h"
#include "core/types.h"

struct settings_endpoint
{
  char *name; /**< Unique in the service. */
  char *host; /**< IP address. */
  int port;
  char *place;
  bool leaving;
};

/** Options with this flag belong to the service as a whole: they may stand
 * in [defaults] and [services.NAME], not in an organisation, because the
 * organisations of a service share its endpoints. */
#define SETTINGS_SERVICE_ONLY OPTION_FIRST_OWN_FLAG

/** Values that each level may set. */
struct settings_values
{
  double rate;         /**< Requests per second. */
  double burst;        /**< Requests. */
  double weight;       /**< In the fair queue. */
  int64_t deadline_ms; /**< Of a request that names none. */
  int64_t max_rows;    /**< In one answer. */
  bool enabled;
  bool open_reads; /**< Reads without a key run as "open_organisation". */
  int64_t confirm_replicas;
  int64_t connections; /**< Per endpoint, over the whole fleet. */
  int64_t lease_ms;
  int64_t suspect_ms;
  int64_t unreachable_ms;
  int64_t catch_up_ms;
};

struct settings_organisation
{
  char *name;
  struct settings_values values;
};

struct settings_service
{
  char *name;
  char *database;
  char *user;
  char *cell;              /**< Whose daemons serve it. */
  char *open_organisation; /**< NULL if none. */
  struct settings_values values;
  struct settings_endpoint *endpoints; /**< In the order of the text. */
  int endpoint_count;                  /**< 1 to GROUP_MAX_ENDPOINTS. */
  struct settings_organisation *organisations;
  int organisation_count;
};

struct settings
{
  uint64_t version;
  struct settings_service *services;
  int service_count;
};

/** Parse and check a TOML tree.
 * @return NULL with file, line and, for an unknown name, the nearest known
 * one in @p err. */
struct settings *settings_parse (void *parent, const char *path,
                                 struct bstr text, struct error *err);

/** Say which level set a value: "services.NAME", "services.NAME.
 * organisations.NAME", "defaults" or "built-in".
 * @param organisation may be empty.
 * @return text owned by @p parent, NULL with @p err if a name is unknown. */
char *settings_explain (void *parent, struct bstr text, const char *service,
                        const char *organisation, const char *name,
                        struct error *err);

/** Render the value in force of one name, as settings_explain takes it. */
char *settings_value (void *parent, const struct settings *s,
                      const char *service, const char *organisation,
                      const char *name, struct error *err);

/** The option tables, for checks and for the reference page. */
const struct option_spec *settings_value_options (void);
const struct option_spec *settings_service_options (void);
const struct option_spec *settings_endpoint_options (void);

/** List what differs between two trees in the values that are in force,
 * one line each; an empty text if nothing does.  Either may be NULL. */
char *settings_diff (void *parent, const struct settings *from,
                     const struct settings *to);

const struct settings_service *settings_find_service (const struct settings *s,
                                                      struct bstr name);
const struct settings_organisation *
settings_find_organisation (const struct settings_service *service,
                            struct bstr name);

#endif
