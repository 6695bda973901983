/** @file
 * The fleet of session daemons: heartbeats, leases on services and messages
 * between its members.
 *
 * A few members are voters: they grant leases on services and own services.
 * The others are observers; they exchange heartbeats with the voters only, so
 * that the load of an observer does not grow with the fleet.
 */
#ifndef SESSION_FLEET_H
#define SESSION_FLEET_H

#include "session/sessiond.h"

struct fleet;

/** Listen for the other members.
 * @return NULL if the address of the bus cannot be used. */
struct fleet *fleet_create (struct sessiond *r, struct error *err);
/** Fill in the sender and send the message.  A message to this member itself
 * is delivered from the event loop.
 * @return false if the member or its address is not known. */
bool fleet_send (struct fleet *f, uint64_t member, struct packet *message);
/** As fleet_send, to the process that sent @p question: a process that the
 * member has started since does not get the answer, as it gives the same
 * numbers to its own sessions and statements.
 * @return also false if that process has ended. */
bool fleet_answer (struct fleet *f, const struct packet *question,
                   struct packet *message);
/** Apply the newest list of voters. */
void fleet_voters_changed (struct fleet *f);
/** Must be called when the configuration or the endpoints have changed. */
void fleet_services_changed (struct fleet *f);

/** Send heartbeats to the voters in the next iteration of the event loop. */
void fleet_schedule_heartbeats (struct fleet *f);

/** @return the member that owns @p service as far as known, 0 if none. */
uint64_t fleet_owner (const struct fleet *f, uint64_t service);
/** @return the time, own clock, by which the lease of the last known owner of
 * @p service has ended; 0: none is known, or it released the service. */
int64_t fleet_lease_end (const struct fleet *f, uint64_t service);
/** @return the voter in the failure domain of this member that runs bounded
 * reads of @p service at near replicas, if there are any; 0: there is none. */
uint64_t fleet_reader (const struct fleet *f, uint64_t service);
/** @return the incarnation of a member that is alive, 0 if it is silent or has
 * ended. */
uint64_t fleet_live_incarnation (const struct fleet *f, uint64_t member);
/** @return the time, own clock, until which this member owns @p service; 0: it
 * does not own it. */
int64_t fleet_owns_until (const struct fleet *f, uint64_t service);
/** Set the state and the term of the service's primary that the heartbeats
 * report to the other members.
 * @param term 0: not known; the newest known one stays. */
void fleet_set_primary_state (struct fleet *f, uint64_t service,
                              enum lease_state state, uint64_t term);
/** @return the term of the service's primary that an owner announced last, as
 * far as a majority knows; 0: none. */
uint64_t fleet_newest_term (const struct fleet *f, uint64_t service);
/** @return whether fleet_newest_term is the newest term of the service that an
 * owner announced: voters that have not started again since make up a
 * majority.
 */
bool fleet_majority_knows_term (const struct fleet *f, uint64_t service);
/** @return whether a majority has confirmed the ownership together with the
 * state that was set before @p since. */
bool fleet_confirmed_since (const struct fleet *f, uint64_t service,
                            int64_t since);
/** @return whether a previous owner may have ordered a change of the
 * primary. */
bool fleet_is_changing (const struct fleet *f, uint64_t service);
/** @return whether this member is a voter. */
bool fleet_is_voter (const struct fleet *f);
/** @return the voter from which an observer fetches copies of the directory,
 * 0 if none is known. */
uint64_t fleet_copy_source (const struct fleet *f);
/** @return whether this member receives heartbeats from a majority of the
 * voters. */
bool fleet_in_quorum (const struct fleet *f);
/** @return whether this member, which leaves, still votes in a list that the
 * others change, so that its end could cost them the majority. */
bool fleet_needs_own_vote (const struct fleet *f);
/** Release a service.
 * @param successor next owner; 0: none is named, and the member claims it that
 * the placement chooses. */
void fleet_release (struct fleet *f, uint64_t service, uint64_t successor);
/** @return whether another member is able to own services. */
bool fleet_has_successor (const struct fleet *f);
/** Send a message to all other voters that are alive. */
void fleet_broadcast (struct fleet *f, struct packet *message);
/** @return the number of live voters that reach the store, are not leaving and
 * have a smaller id than this member. */
int fleet_store_rank (const struct fleet *f);
/** @return the peer with the fewest claims among those that reach the store
 * and are able to own services, 0 if none is known. */
uint64_t fleet_store_peer (const struct fleet *f);
/** @return the exponential moving average of the event loop's lag. */
uint64_t fleet_loop_lag_us (const struct fleet *f);
/** @return the number of messages and of bytes sent and received so far. */
uint64_t fleet_messages (const struct fleet *f);
uint64_t fleet_bytes (const struct fleet *f);

#endif
