/** @file
 * A group: the endpoints of one service, with its settings, organisations,
 * queues and core modules in this daemon.
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

/** One organisation that uses a group's service: its settings and metrics. */
struct organisation
{
  struct organisation *next;
  char *name;
  char *budget_name; /**< Name in core/budget: "SERVICE/ORGANISATION". */
  struct settings_values values;
  struct histogram *latency[CLASS_COUNT]; /**< In microseconds, by class. */
  uint64_t *outcomes[3]; /**< Request counts, by enum outcome. */
  uint64_t *rate_limited;
  uint64_t *reads_replica, *reads_primary;
};

/** The endpoints of one service and all that this daemon does with them. */
struct group
{
  struct group *next;
  struct daemon *daemon;
  char *service;
  /** Organisation to which reads without an API key belong; NULL: none. */
  char *open_organisation;
  struct settings_values values;
  struct endpoint *endpoints;
  int endpoint_count;
  struct organisation *organisations;
  struct authority *authority;
  struct failover *failover;
  struct routing *routing;
  struct admission *writes, *reads; /**< Queues of calls. */
  /** Answered writes and lookups that wait for confirmation by replicas. */
  struct call *unconfirmed_writes;
  /** Calls whose idempotency key is to be looked up. */
  struct call *awaiting_lookup;
  bool dispatching; /**< call_dispatch is running. */
  struct tevent_immediate *dispatch_immediate;
  bool dispatch_scheduled; /**< dispatch_immediate is scheduled. */
  /** Number of calls, transactions and platform calls that use the group. */
  int user_count;
  bool retired;      /**< A newer configuration has replaced the group. */
  bool schema_ready; /**< The idempotency table exists. */
  bool schema_creation_running;
  /** Newest stable record that was applied. */
  struct group_record opened_record;
};

/** Create, update and retire groups according to the newest settings. */
void group_apply_settings (struct daemon *d);
/** Prevent the freeing of the group until @p user is freed. */
void group_add_user (void *user, struct group *g);
/** Free the retired groups that nothing uses any more. */
void group_free_retired (struct daemon *d);
/** @return the service's current group, NULL if there is none. */
struct group *group_find (struct daemon *d, struct bstr service);
/** @return the organisation of that name, NULL if there is none. */
struct organisation *group_organisation (struct group *g, struct bstr name);

/** Handle a change of the cell's member list: pass it to core/failover and
 * divide the connections anew. */
void group_on_members (struct daemon *d);

/** @return the primary if this daemon has authority for its term now, so that
 * it may send writes to it; else NULL. */
struct endpoint *group_writable_primary (struct group *g, int64_t now);

/** Schedule call_dispatch for the next iteration of the event loop, because a
 * connection became available. */
void group_schedule_dispatch (struct group *g);

/** Poll the replicas now, because a write waits for their confirmation. */
void group_poll_replicas (struct group *g);

#endif
