/** @file
 * A small fleet of real processes for failure tests: the platform stand-in,
 * one group of three endpoints and some daemons, with blocking calls.
 * Waits are for events, not for fixed times.
 */
#ifndef TESTS_FLEET_H
#define TESTS_FLEET_H

#include "tests/process.h"

#include <curl/curl.h>
#include <jansson.h>

#define FLEET_ENDPOINTS 3
#define FLEET_MAX_DAEMONS 8

struct fleet
{
  char *folder; /**< Scratch files; removed with the fleet. */
  struct process *platform;
  struct process *endpoints[FLEET_ENDPOINTS]; /**< "a", "b", "c". */
  struct process *daemons[FLEET_MAX_DAEMONS];
  char *daemon_urls[FLEET_MAX_DAEMONS];
  char *admin_urls[FLEET_MAX_DAEMONS];
  int daemon_count;
  char *platform_url;
  char *key;          /**< Of organisation "moshi". */
  char *other_key;    /**< Of organisation "arusha". */
  char *stranger_key; /**< Of an organisation without a service. */
};

struct fleet_options
{
  int daemons;
  const char *defaults; /**< Extra lines of [defaults], may be NULL. */
};

/** Start everything and wait until every daemon can serve writes.
 * @return NULL, with the reason on stdout, if it does not come up. */
struct fleet *fleet_start (void *parent, const struct fleet_options *options);

/** Start one more daemon, or the replacement of one. */
bool fleet_start_daemon (struct fleet *f, int index);

/** One answer; free with json_decref on json. */
struct fleet_answer
{
  long status;
  json_t *json; /**< NULL if there was no answer. */
};

/** POST @p body to a path of a daemon. @param curl NULL for a connection of
 * its own. @param session may be NULL. */
struct fleet_answer fleet_post (struct fleet *f, int daemon, CURL *curl,
                                const char *path, const char *key,
                                const char *session, const char *body);
struct fleet_answer fleet_get (struct fleet *f, int daemon, const char *path,
                               const char *key);

/** Run one statement. @param mode "read" or "write", @param extra more JSON
 * members with a leading comma, or "". */
struct fleet_answer fleet_sql (struct fleet *f, int daemon, const char *mode,
                               const char *session, const char *extra,
                               const char *sql);

/** @return a member of the answer as text, "" if absent. */
const char *fleet_text (const struct fleet_answer *a, const char *name);
/** @return the value in row 0, column 0 of the first result, -1 if none. */
long fleet_number (const struct fleet_answer *a);
bool fleet_has_rows (const struct fleet_answer *a);

/** Inject a fault into an endpoint, for example "cut=1". */
bool fleet_fault (struct fleet *f, int endpoint, const char *fault);

/** Read /status of a daemon. @return a new reference or NULL. */
json_t *fleet_status (struct fleet *f, int daemon);

/** Wait until a daemon's group has a primary of at least @p term.
 * @return its name's index, -1 after @p timeout_ms. */
int fleet_wait_primary (struct fleet *f, int daemon, long term,
                        int timeout_ms);

/** Replace the configuration or the key list as an operator would. */
bool fleet_put_config (struct fleet *f, const char *defaults,
                       const char *endpoint_extra);
bool fleet_put_keys (struct fleet *f, bool revoke_first);

int64_t fleet_now_ms (void);
void fleet_pause (int ms);

#endif
