/** @file
 * One service's group of endpoints as this daemon runs it: its settings,
 * organisations, queues and decision modules.
 */
#ifndef DAEMON_GROUP_H
#define DAEMON_GROUP_H

#include "core/admission.h"
#include "core/authority.h"
#include "core/failover.h"
#include "core/routing.h"
#include "daemon/daemon.h"
#include "daemon/endpoint.h"

struct call;

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
  struct tevent_immediate *wake;
  bool waking;
  int users;    /**< Calls, transactions and platform calls that use it. */
  bool retired; /**< Replaced by a newer configuration. */
  bool schema_ready; /**< The idempotency table exists. */
  bool schema_running;
  struct group_record opened; /**< Last stable record that was applied. */
};

/** Bring the groups in line with the newest settings. */
void group_apply_settings (struct daemon *d);
/** Keep the group until @p user is freed. */
void group_use (void *user, struct group *g);
/** Free groups that were replaced and are not used any more. */
void group_free_retired (struct daemon *d);
struct group *group_find (struct daemon *d, struct bstr service);
struct organisation *group_organisation (struct group *g, struct bstr name);

/** The cell's member list changed. */
void group_on_members (struct daemon *d);

/** @return the endpoint that writes may go to now, NULL if there is none. */
struct endpoint *group_writable (struct group *g, int64_t now);

/** Run queued requests from the loop, because a slot became free. */
void group_wake (struct group *g);

/** Poll replicas again soon, because a write waits for confirmation. */
void group_hurry (struct group *g);

#endif
