/** @file
 * Evacuation of failure domains: which endpoints may be used, when a primary
 * must move, which requests are refused at once, and whether an evacuation is
 * complete.  Without network, clock or threads.  docs/design/evacuation.md.
 */
#ifndef CORE_EVACUATION_H
#define CORE_EVACUATION_H

#include "common/bstr.h"

#include <stdint.h>

/** The evacuated failure domains that a daemon knows. */
struct evacuation;

/** Times in microseconds. */
struct evacuation_options
{
  /** Time after the store's acknowledgement from which no statement may reach
   * an evacuated domain. */
  int64_t bound_us;
  /** Time after a daemon has learned of an evacuation for which transactions
   * that are open in the domain may continue. */
  int64_t transaction_us;
  /** Time for which an evacuation stays in force that a restore of the store
   * has lost. */
  int64_t restore_us;
};

/** What an endpoint may be used for. */
enum evacuation_use
{
  EVACUATION_ALL,         /**< It is not evacuated. */
  EVACUATION_TRANSACTION, /**< Statements of transactions that are open. */
  EVACUATION_NONE         /**< No statement of a caller. */
};

/** How far an evacuation is. */
enum evacuation_state
{
  EVACUATION_MOVING,
  EVACUATION_COMPLETE, /**< Nothing remains in the domain. */
  EVACUATION_LATE,     /**< Something remains after the bound. */
  EVACUATION_STATE_COUNT
};

/** What remains in an evacuated domain. */
struct evacuation_remains
{
  int transactions; /**< Open transactions of this daemon. */
  int statements;   /**< Running statements of this daemon. */
  /** Primaries of services that have a database in another domain, which is
   * not evacuated. */
  int primaries;
};

/** One evacuated domain. */
struct evacuation_domain
{
  char *name;
  int64_t since; /**< When this daemon learned of it. */
  /** When no transaction may continue any more. */
  int64_t closed_at;
  /** End of an evacuation that a restore of the store has lost; 0: the store
   * has it. */
  int64_t kept_until;
  enum evacuation_state state; /**< From evacuation_judge. */
  struct evacuation_remains remains;
};

/** How a list of domains became known. */
struct evacuation_source
{
  /** An evacuation that is new in it may be older than the bound. */
  bool may_be_old;
  /** It is the first one of a store that was restored from a copy. */
  bool is_restored;
};

/** What is to be done about a primary. */
enum evacuation_move
{
  EVACUATION_STAY,   /**< Its domain is not evacuated. */
  EVACUATION_GO,     /**< It is to be replaced as planned. */
  EVACUATION_BLOCKED /**< It is to be replaced, and nothing can replace it. */
};

/** What an owner knows of an endpoint. */
struct evacuation_endpoint
{
  const char *domain;
  bool is_primary;
  bool answers;  /**< It is listed, and answers as far as known. */
  bool may_lead; /**< It may be promoted, apart from evacuations. */
};

/** The move of a service's primary, as its owner sees it. */
struct evacuation_service
{
  const struct evacuation_endpoint *endpoints;
  int count;
  /** The last promotion was abandoned, as no replica was fit. */
  bool has_failed;
  int64_t next_check_at; /**< When the primary is checked next. */
};

struct evacuation *evacuation_create (void *parent,
                                      const struct evacuation_options *o);
/** Set whether the list of evacuated domains is known, or no longer waited
 * for; no endpoint may be used before.  False at first. */
void evacuation_set_known (struct evacuation *v, bool is_known);
bool evacuation_is_known (const struct evacuation *v);
/** Adopt a list of evacuated domains; empty names are left out.
 * @return whether a domain was added or removed. */
bool evacuation_set_domains (struct evacuation *v, const struct bstr *names,
                             int count, struct evacuation_source source,
                             int64_t now);
/** Remove evacuations that were kept after a restore and were not written
 * again in time. @return whether there was one. */
bool evacuation_expire (struct evacuation *v, int64_t now);
/** @return the evacuated domains, valid until the next change. */
const struct evacuation_domain *evacuation_domains (const struct evacuation *v,
                                                    int *count);
/** @return the evacuation of a domain, NULL if there is none. */
const struct evacuation_domain *evacuation_find (const struct evacuation *v,
                                                 struct bstr name);

/** @return what an endpoint in a domain may be used for. */
enum evacuation_use evacuation_use (const struct evacuation *v,
                                    const char *domain, int64_t now);
/** @return what is to be done about the primary of a service. */
enum evacuation_move
evacuation_decide_move (const struct evacuation *v,
                        const struct evacuation_service *s, int64_t now);
/** @return the time in milliseconds after which a request is to be repeated
 * that is refused at once, as only databases in evacuated domains could run
 * it; 0: it may wait.
 * @param needs_primary only a primary can run it. */
int evacuation_refusal_ms (const struct evacuation *v,
                           const struct evacuation_service *s,
                           bool needs_primary, int64_t now);
/** Judge how far an evacuation is.
 * @return whether its state has changed. */
bool evacuation_judge (struct evacuation *v, const char *domain,
                       const struct evacuation_remains *remains, int64_t now);
/** @return the name of a state. */
const char *evacuation_state_name (enum evacuation_state state);

#endif
