/** @file
 * Runs the statements of the services that this daemon owns: limits, queue,
 * choice of the endpoint, transactions, replacement of a failed primary.
 */
#ifndef SESSION_OWNER_H
#define SESSION_OWNER_H

#include "session/evacuation.h"
#include "session/sessiond.h"

struct owner;

struct owner *owner_create (struct sessiond *r);
/** Take over services whose lease was won, and stop those whose lease has
 * ended. */
void owner_check_leases (struct owner *o);
/** Add the services of a new configuration. */
void owner_config_changed (struct owner *o);
/** Adopt the newest entries of the endpoints. */
void owner_endpoints_changed (struct owner *o);
/** Run a statement of a caller; takes over @p m. */
void owner_handle_statement (struct owner *o, struct packet *m);
/** Write the newest acknowledged positions of the services that this daemon
 * owns and serves, for the readers.
 * @param most number of entries for which @p out has room.
 * @return the number of entries written. */
int owner_write_progress (const struct owner *o, struct packet_progress *out,
                          int most);
/** Record the positions that an owner reported for its services.
 * @param after time of this daemon's clock after which they were reported. */
void owner_record_progress (struct owner *o, const struct packet_heartbeat *h,
                            int64_t after);
/** A session with an open transaction ended. */
void owner_handle_session_end (struct owner *o, const struct packet *m);
/** A peer asks whether this daemon reaches an endpoint. */
void owner_handle_probe (struct owner *o, const struct packet *m);
/** A peer reports whether it reaches an endpoint. */
void owner_handle_probe_answer (struct owner *o, const struct packet *m);
/** The previous owner of a service asks whether a commit that finished through
 * it is kept.  Without an answer it asks again. */
void owner_handle_commit_query (struct owner *o, const struct packet *m);
/** Release all services; open transactions continue here. */
void owner_release_all (struct owner *o);
/** Rebalance: release one service to a less loaded member; its open
 * transactions continue here.
 * @param successor member that is to own it. */
void owner_rebalance_one (struct owner *o, uint64_t successor);
/** Add what remains of this daemon's work at the endpoints of an evacuated
 * domain. */
void owner_count_remains (const struct owner *o, const char *domain,
                          struct evacuation_remains *remains);
/** @return number of services that this daemon owns. */
int owner_service_count (const struct owner *o);
/** @return number of statements and transactions that are not finished. */
int owner_pending_count (const struct owner *o);

#endif
