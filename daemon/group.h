/** @file
 * One service's group of endpoints as this daemon runs it: connections,
 * polls, authority, change of primary and queues.
 */
#ifndef DAEMON_GROUP_H
#define DAEMON_GROUP_H

#include "core/admission.h"
#include "core/authority.h"
#include "core/failover.h"
#include "core/routing.h"
#include "daemon/daemon.h"
#include "net/pgsql.h"

struct call;

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

/** Counters of one organisation in this group. */
struct organisation
{
  struct organisation *next;
  char *name;
  char *budget_name; /**< "SERVICE/ORGANISATION". */
  struct settings_values values;
  struct histogram *latency[CLASS_COUNT]; /**< us */
  uint64_t *outcomes[3];                  /**< By enum outcome. */
  uint64_t *rate_limited;
  uint64_t *reads_replica, *reads_primary;
};

struct group
{
  struct group *next;
  struct daemon *daemon;
  char *service;
  char *open_organisation; /**< For reads without a key; NULL if none. */
  struct settings_values values;
  struct endpoint *endpoints;
  int endpoint_count;
  struct organisation *organisations;
  struct authority *authority;
  struct failover *failover;
  struct routing *routing;
  struct admission *writes, *reads;
  struct call *held;      /**< Writes that wait for confirmation. */
  struct call *resolving; /**< Calls that wait for a lookup of their key. */
  bool dispatching;
  int running;       /**< Calls with a connection. */
  bool retired;      /**< Replaced by a newer configuration. */
  bool schema_ready; /**< The idempotency table exists. */
  bool schema_running;
  struct group_record opened; /**< Last stable record that was applied. */
};

/** Bring the groups in line with the newest settings. */
void group_apply_settings (struct daemon *d);
struct group *group_find (struct daemon *d, struct bstr service);
struct organisation *group_organisation (struct group *g, struct bstr name);

/** @return whether it still leads a term that was replaced. */
bool endpoint_is_replaced (const struct endpoint *e);

/** An endpoint answered a status query that was sent at @p sent_at. */
void group_on_status (struct endpoint *e, const struct endpoint_status *status,
                      int64_t sent_at);
/** A connection to the endpoint broke or could not be opened. */
void group_on_failure (struct endpoint *e);

/** The group's object on the platform was read. */
void group_on_object (struct daemon *d, const struct platform_object *object);
void group_on_release (struct daemon *d, const char *service, uint64_t term);
void group_on_released (struct daemon *d, const char *service, uint64_t member,
                        uint64_t term);
void group_on_view (struct daemon *d, const char *service,
                    const struct primary_view *view);
/** The cell's member list changed. */
void group_on_members (struct daemon *d);

/** @return the endpoint that writes may go to now, NULL if there is none. */
struct endpoint *group_writable (struct group *g, int64_t now);

/** Poll replicas again soon, because a write waits for confirmation. */
void group_hurry (struct group *g);

#endif
