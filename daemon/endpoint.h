/** @file
 * One endpoint as this daemon uses it: connections, polls, and the commands
 * of a change of primary.
 */
#ifndef DAEMON_ENDPOINT_H
#define DAEMON_ENDPOINT_H

#include "core/admission.h"
#include "core/failover.h"
#include "daemon/daemon.h"
#include "net/pgsql.h"

/** Connections for polls and for commands of a change of primary. */
#define CONTROL_CONNECTIONS 2

struct endpoint
{
  struct group *group;
  int index;
  char *name, *host;
  int port;
  struct pgsql_pool *pool;
  struct pgsql_pool *control_pool;
  struct pgsql_connection *control; /**< For polls; NULL until open. */
  struct admission_limit *limit;
  struct endpoint_status status;
  int64_t answered_at; /**< When the last status arrived, 0 if never. */
  int64_t poll_sent_at;
  bool polling;
  bool connecting;
};

/** Set up the endpoint at @p index of a new group.
 * @param share connections that this daemon may open for requests. */
void endpoint_create (struct group *g, int index,
                      const struct settings_service *service, int share);
/** Ask for its status, unless a poll is running. */
void endpoint_poll (struct endpoint *e);
/** Run the fence, promote or follow statement @p main_sql if the fence
 * marker allows it for @p term; the result goes to core/failover. */
void endpoint_command (struct endpoint *e, enum failover_action_kind kind,
                       uint64_t term, const char *main_sql);
/** Create the table of idempotency keys at the primary, once. */
void endpoint_ensure_schema (struct endpoint *primary);
/** @return whether it still leads a term that was replaced. */
bool endpoint_is_replaced (const struct endpoint *e);

/** It answered a status query that was sent at @p sent_at. */
void endpoint_on_status (struct endpoint *e,
                         const struct endpoint_status *status,
                         int64_t sent_at);
/** A connection to it broke or could not be opened. */
void endpoint_on_failure (struct endpoint *e);

#endif
