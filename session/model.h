/** @file
 * The configuration and the endpoints as the session daemon uses them.
 */
#ifndef SESSION_MODEL_H
#define SESSION_MODEL_H

#include "common/bstr.h"
#include "core/lease.h"
#include "core/statement.h"

#include <stdint.h>

/** Which commits the reads of a route see. */
enum route_kind
{
  ROUTE_PRIMARY, /**< Reads see every acknowledged commit. */
  ROUTE_BOUNDED, /**< Reads may miss the newest stale_ms. */
  /** As ROUTE_BOUNDED, but reads see the session's own writes. */
  ROUTE_READ_YOUR_WRITES
};

/** How the statements for one database name are handled. */
struct route
{
  struct bstr database; /**< Database name that callers connect to. */
  struct bstr service;
  enum route_kind kind;
  int timeout_ms; /**< Time-out of a statement. */
  int target_ms;  /**< Latency objective of a whole operation. */
  int priority;   /**< 0 is the highest. */
  int stale_ms;   /**< Staleness bound. */
  bool is_public; /**< Callers need no key. */
};

/** Configuration of one service. */
struct service_config
{
  struct bstr name;
  uint64_t id;         /**< model_id of the name. */
  int max_connections; /**< Limit for one endpoint, from all callers. */
  /** An endpoint acknowledges a commit once so many replicas have received
   * it. */
  int sync_replicas;
};

/** An organisation, the keys of its callers and its rate limit. */
struct organisation
{
  struct bstr name;
  uint64_t id; /**< model_id of the name. */
  struct bstr *keys;
  int key_count;
  double rate;  /**< Operations per second over all members. */
  double burst; /**< Maximum number of tokens in its token bucket. */
};

/** The whole configuration of the session daemons. */
struct config
{
  uint64_t version;
  struct route *routes; /**< Sorted by database. */
  int route_count;
  struct service_config *services; /**< Sorted by id. */
  int service_count;
  struct organisation *organisations;
  int organisation_count;
  int idle_transaction_ms; /**< An idle transaction ends after this time. */
};

/** What an endpoint last reported about itself to the platform. */
struct endpoint_entry
{
  struct bstr id;
  struct bstr service;
  struct bstr address; /**< IP:PORT. */
  struct bstr failure_domain;
  int64_t born_ms; /**< Start of the process; changes at a restart. */
  int slots;       /**< Maximum number of statements that run at a time. */
  /** Time when it was first seen to drain, own clock; 0: it does not. */
  int64_t draining_since;
  bool is_draining;
  bool is_primary; /**< It regards itself as the primary. */
};

/** What the store says of a promotion that was begun. */
struct promotion_record
{
  struct bstr endpoint; /**< Id of the endpoint to promote; empty: none. */
  uint64_t term;        /**< Newest term before the promotion; 0: not known. */
  /** Position of the endpoint's log at the last survey before the promotion,
   * or once it leads when the promoted term began; term 0: not known. */
  struct position position;
  uint64_t led; /**< Term that the promotion began; 0: not known to be done. */
};

/** A voter in the list of voters. */
struct voter_entry
{
  struct bstr name;
  uint64_t id;
  struct bstr address; /**< Address of its bus, tcp://IP:PORT. */
  struct bstr failure_domain;
  enum lease_voter_change change;
};

/** The list of voters as it is stored. */
struct voter_list
{
  struct voter_entry *entries;
  int count;
  /** Grows with every change, also after the store was restored from a copy
   * that holds an older list; 0: there is no list. */
  uint64_t epoch;
  /** No change of the list is in progress; see struct lease_voters. */
  bool settled;
};

/** @return the 64-bit id of a name, the same in every session daemon. */
uint64_t model_id (struct bstr name);
/** @return the weight by which @p member is ranked for @p service, highest
 * first.  It is the same in every session daemon and as good as random. */
uint64_t model_rank (uint64_t service, uint64_t member);

/** @return the route of the database, NULL if there is none. */
const struct route *config_find_route (const struct config *config,
                                       struct bstr database);
/** @return the service with this name, NULL if there is none. */
const struct service_config *config_find_service (const struct config *config,
                                                  struct bstr name);
/** @return the organisation with the key @p key, NULL if there is none. */
const struct organisation *
config_find_organisation (const struct config *config, struct bstr key);
/** Sort the arrays that are searched; called once by the decoder. */
void config_sort (struct config *config);

#endif
