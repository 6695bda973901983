/** @file
 * Applies the evacuations of failure domains to the services of this daemon,
 * and shows how far they are.  The decisions are in core/evacuation.h.
 */
#ifndef SESSION_EVACUATION_H
#define SESSION_EVACUATION_H

#include "core/evacuation.h"

#include <jansson.h>

struct endpoint;
struct evacuations;
struct pending_statement;
struct service;
struct sessiond;
struct transaction;

/** Create the list of evacuated domains, which is not known yet.
 * @return NULL if the setting evacuation_ms is 0: all functions below that
 * take it then act as if nothing were evacuated. */
struct evacuations *evacuations_create (struct sessiond *r);
/** Adopt a list of evacuated domains from the store or from a copy. */
void evacuations_apply (struct evacuations *v, const struct bstr *names,
                        int count, struct evacuation_source source);
/** @return whether a domain is evacuated. */
bool evacuations_have (const struct evacuations *v, const char *domain);
/** @return whether the list is known, or the store has been unreachable for
 * so long that the daemon works without it. */
bool evacuations_are_known (const struct evacuations *v);
/** @return the evacuations for the status page; a new reference. */
json_t *evacuations_describe (const struct evacuations *v);

/** @return what the endpoint may be used for now. */
enum evacuation_use evacuation_use_of (const struct endpoint *e);
/** Abort a transaction that may not continue where it is open, and refuse its
 * next statement.
 * @return whether it did; both are freed then. */
bool evacuation_ends_transaction (struct transaction *t,
                                  struct pending_statement *ps);
/** Refuse a new statement that only endpoints in evacuated domains could run.
 * @return whether it did; the statement is freed then. */
bool evacuation_refuses (struct service *s, struct pending_statement *ps,
                         int64_t now);
/** @return the time after which a statement of a service with evacuated
 * endpoints is to be repeated, milliseconds; 0: it has none. */
int evacuation_retry_ms (const struct service *s, int64_t now);
/** @return whether the primary is to be replaced now because of an
 * evacuation. */
bool evacuation_moves_primary (struct service *s, int64_t now);
/** A planned promotion was abandoned, as no replica was fit. */
void evacuation_move_failed (struct service *s);
/** @return whether a planned promotion that an evacuation has started has no
 * reason any more. */
bool evacuation_has_ended (const struct service *s);
/** Close the connections over which statements may still reach endpoints that
 * get none any more, and refuse queued statements as evacuation_refuses. */
void evacuation_tick (struct service *s, int64_t now);
/** Add what remains of a service's work at the endpoints of a domain. */
void service_count_remains (const struct service *s, const char *domain,
                            struct evacuation_remains *remains);

#endif
