/** @file
 * The other daemons: heartbeats, leases on services, and messages.
 *
 * A few daemons are voters: they grant leases on services and own them.  The
 * others are observers; they exchange heartbeats with the voters only, so
 * that the work of an observer does not grow with the fleet.
 */
#ifndef SESSION_FLEET_H
#define SESSION_FLEET_H

#include "session/relay.h"

struct fleet;

struct fleet *fleet_create (struct relay *r, struct error *err);
/** Fill in the sender and send.  To this daemon itself it is delivered from
 * the loop.
 * @return false if it was dropped. */
bool fleet_send (struct fleet *f, uint64_t member, struct packet *message);
void fleet_voters_changed (struct fleet *f);
/** The configuration or the endpoints have changed. */
void fleet_services_changed (struct fleet *f);

/** Send heartbeats to the voters at the next turn of the loop. */
void fleet_tell_soon (struct fleet *f);

/** @return the daemon that owns @p service as far as known, 0 if none. */
uint64_t fleet_owner (const struct fleet *f, uint64_t service);
/** @return the incarnation of a daemon that was heard lately, 0 if it is
 * silent. */
uint64_t fleet_alive (const struct fleet *f, uint64_t member);
/** @return until when this daemon owns @p service, 0: it does not. */
int64_t fleet_owns_until (const struct fleet *f, uint64_t service);
/** Tell the others whether a change of the primary is under way. */
void fleet_set_state (struct fleet *f, uint64_t service,
                      enum lease_state state);
/** @return whether a majority has confirmed the ownership after @p since. */
bool fleet_confirmed_since (const struct fleet *f, uint64_t service,
                            int64_t since);
/** @return whether an earlier owner may have ordered a change. */
bool fleet_is_changing (const struct fleet *f, uint64_t service);
/** @return whether this daemon is a voter. */
bool fleet_is_voter (const struct fleet *f);
/** @return the voter that an observer takes copies of the directory from, 0
 * if none is known. */
uint64_t fleet_copy_source (const struct fleet *f);
/** @return whether this daemon hears a majority of the voters. */
bool fleet_in_quorum (const struct fleet *f);
/** Give a service up. @param successor 0: whoever ranks first. */
void fleet_release (struct fleet *f, uint64_t service, uint64_t successor);
/** @return whether another daemon may own services. */
bool fleet_has_successor (const struct fleet *f);
/** Send to all voters that are heard, this one excluded. */
void fleet_broadcast (struct fleet *f, struct packet *message);
/** @return how many voters that reach the store come before this one. */
int fleet_store_rank (const struct fleet *f);
/** @return a daemon that reaches the store and may own a service, 0 if none
 * is known. */
uint64_t fleet_store_peer (const struct fleet *f);
/** @return how late the loop is, smoothed. */
uint64_t fleet_lag_us (const struct fleet *f);
/** @return messages and bytes so far. */
uint64_t fleet_messages (const struct fleet *f);
uint64_t fleet_bytes (const struct fleet *f);

#endif
