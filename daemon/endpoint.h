/** @file
 * This daemon's connections to one endpoint: those for requests, the polls of
 * its status, and the commands of a change of primary.
 */
#ifndef DAEMON_ENDPOINT_H
#define DAEMON_ENDPOINT_H

#include "core/admission.h"
#include "core/failover.h"
#include "daemon/daemon.h"
#include "net/pgsql.h"

/** Maximum number of connections to one endpoint for polls and for commands of
 * a change of primary. */
#define ENDPOINT_CONTROL_CONNECTIONS 2

/** One database server of a group. */
struct endpoint
{
  struct group *group;
  int index; /**< Index in the group's endpoints. */
  char *name, *host;
  int port;
  struct pgsql_pool *pool;         /**< Connections for requests. */
  struct pgsql_pool *control_pool; /**< Pool for polls and commands. */
  /** Connection for polls; NULL until it is open. */
  struct pgsql_connection *poll_connection;
  struct admission_limit *limit; /**< Limit of concurrent requests. */
  struct endpoint_status status; /**< Newest status. */
  int64_t status_received_at; /**< When the newest status arrived; 0: never. */
  int64_t poll_sent_at;
  bool poll_running;
  bool connection_pending; /**< The connection for polls is being opened. */
};

/** Set up the endpoint at @p index of a new group.
 * @param share maximum number of this daemon's connections for requests. */
void endpoint_create (struct group *g, int index,
                      const struct settings_service *service, int share);
/** Query the endpoint's status, unless a poll is running. */
void endpoint_poll (struct endpoint *e);
/** Run the fence, promote or follow statement @p main_sql at the endpoint if
 * its fence marker allows that for @p term, and report the result to
 * core/failover. */
void endpoint_run_command (struct endpoint *e, enum failover_action_kind kind,
                           uint64_t term, const char *main_sql);
/** Create the table of idempotency keys at the primary, once. */
void endpoint_ensure_schema (struct endpoint *primary);
/** @return whether the endpoint is a previous primary that still acts as one,
 * although a newer term exists. */
bool endpoint_is_replaced (const struct endpoint *e);

/** Record the endpoint's answer to a status query sent at @p sent_at. */
void endpoint_on_status (struct endpoint *e,
                         const struct endpoint_status *status,
                         int64_t sent_at);
/** Record that a connection to the endpoint broke or could not be opened. */
void endpoint_on_failure (struct endpoint *e);

#endif
