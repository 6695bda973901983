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

/** A database server of a service. */
struct settings_endpoint
{
  char *name; /**< Unique in the service. */
  char *host; /**< IP address of the server. */
  int port;
  char *place;  /**< Place where the server stands; empty: not given. */
  bool leaving; /**< The endpoint gets no new work. */
};

/** Flag of the options that belong to the service as a whole.  They may be
 * set in [defaults] and [services.NAME], not in an organisation, because the
 * organisations of a service share its endpoints. */
#define SETTINGS_SERVICE_ONLY OPTION_FIRST_USER_FLAG

/** Values that each level may set. */
struct settings_values
{
  double rate;         /**< Allowed requests per second. */
  double burst;        /**< Requests that may be sent at once. */
  double weight;       /**< Weight in the fair queue. */
  int64_t deadline_ms; /**< Time limit of a request that names none. */
  int64_t max_rows;    /**< Largest number of rows in one answer. */
  bool enabled;        /**< If false, all requests are refused. */
  bool open_reads;     /**< Reads without a key are allowed; they run as
                          open_organisation. */
  /** Replicas that must hold a write before it is acknowledged. */
  int64_t confirm_replicas;
  /** Connections to each endpoint, over the whole fleet. */
  int64_t connections;
  /** Time after a poll during which writes may be acknowledged. */
  int64_t lease_ms;
  /** Silence of the primary towards VMs and replicas after which it is
   * replaced. */
  int64_t suspect_ms;
  /** Silence of the primary towards VMs alone after which it is replaced. */
  int64_t unreachable_ms;
  /** Longest wait for a replica before a read goes to the primary. */
  int64_t catch_up_ms;
};

/** An organisation of a service, with the values in force for it. */
struct settings_organisation
{
  char *name;
  struct settings_values values;
};

/** A service, with the values in force where no organisation overrides
 * them. */
struct settings_service
{
  char *name;
  char *database;
  char *user;
  char *cell;              /**< Cell whose daemons serve it. */
  char *open_organisation; /**< Organisation of the reads without a key;
                              NULL: none. */
  struct settings_values values;
  struct settings_endpoint *endpoints; /**< In the order of the text. */
  int endpoint_count;                  /**< 1 to GROUP_MAX_ENDPOINTS. */
  struct settings_organisation *organisations;
  int organisation_count;
};

/** The parsed tree. */
struct settings
{
  uint64_t version; /**< Version of the configuration; settings_parse leaves it
                       0. */
  struct settings_service *services;
  int service_count;
};

/** Parse and check a TOML tree.
 * @return NULL with file, line and, for an unknown name, the nearest known
 * one in @p err. */
struct settings *settings_parse (void *parent, const char *path,
                                 struct bstr text, struct error *err);

/** Return the level that sets the option @p name: "built-in", "defaults",
 * "services.NAME" or "services.NAME.organisations.NAME".
 * @param text TOML text of the tree.
 * @param organisation NULL or empty: the question is about the service.
 * @return text owned by @p parent, NULL with @p err if a name is unknown. */
char *settings_explain (void *parent, struct bstr text, const char *service,
                        const char *organisation, const char *name,
                        struct error *err);

/** Render the value in force of the option @p name.  The parameters and the
 * result are as in settings_explain. */
char *settings_value (void *parent, const struct settings *s,
                      const char *service, const char *organisation,
                      const char *name, struct error *err);

/** The option tables, for checks and for the reference page. */
const struct option_spec *settings_value_options (void);
const struct option_spec *settings_service_options (void);
const struct option_spec *settings_endpoint_options (void);

/** List the differences between two trees in the values in force, one line
 * each.  Either tree may be NULL.
 * @return an empty text if nothing differs. */
char *settings_diff (void *parent, const struct settings *from,
                     const struct settings *to);

/** @return NULL if there is no service of that name. */
const struct settings_service *settings_find_service (const struct settings *s,
                                                      struct bstr name);
/** @return NULL if the service has no organisation of that name. */
const struct settings_organisation *
settings_find_organisation (const struct settings_service *service,
                            struct bstr name);

#endif
