/** @file
 * Which member owns which service, agreed by leases that a majority of the
 * voters grants.  The grants travel in heartbeats and live in memory only:
 * a voter that has just started grants nothing for one lease, so that it
 * cannot contradict what it granted before its restart.
 *
 * A process that is no voter is an observer: it grants and owns nothing and
 * learns the owners from their claims.
 *
 * Times are microseconds of the process's own clock; stamps of another
 * member are only compared with stamps of that member.
 */
#ifndef CORE_LEASE_H
#define CORE_LEASE_H

#include <stdbool.h>
#include <stdint.h>

/** Voters that are considered. */
#define LEASE_MAX_MEMBERS 128
/** Services of a fleet; more than twice as many groups of endpoints as are
 * planned, of 2,000 databases. */
#define LEASE_MAX_SERVICES 1536

struct lease_table;

struct lease_options
{
  uint64_t self;        /**< Id of this member. */
  uint64_t incarnation; /**< Grows with every start of the process. */
  int64_t term_us;      /**< Length of a lease. */
  int64_t now;
};

/** A list of voters.  A list follows another one once lease_list_is_known.
 * It differs in one voter, and neither is settled; or just in being settled:
 * then two majorities of lists that follow each other have a voter in
 * common. */
struct lease_voters
{
  const uint64_t *ids;
  int count;
  uint64_t epoch; /**< Changes with the list. */
  /** One voter of an even number has a casting vote, and a fleet that has
   * started again need not wait for leases by an older list. */
  bool settled;
};

/** What an owner says of the service's primary.  A change is made known to a
 * majority before it is ordered, so that the next owner hears of it. */
enum lease_state
{
  LEASE_UNKNOWN,  /**< The owner does not know it yet. */
  LEASE_SETTLED,  /**< No change of the primary is under way. */
  LEASE_CHANGING, /**< A change may have been ordered. */
  LEASE_STATE_COUNT
};

struct lease_claim
{
  uint64_t service;
  enum lease_state state;
  bool held; /**< The sender owns it: a majority has granted it. */
};

/** A grant: @p member may own @p service. */
struct lease_grant
{
  uint64_t service;
  uint64_t member;
  uint64_t incarnation;
  bool changing; /**< The last owner said LEASE_CHANGING. */
};

/** What a heartbeat of another member says. */
struct lease_heartbeat
{
  uint64_t member;
  uint64_t incarnation;
  int64_t stamp;  /**< Sender's clock when it was sent. */
  int64_t echo;   /**< Newest stamp of ours that the sender has. */
  uint64_t epoch; /**< Of the list of voters that the sender has. */
  const struct lease_claim
      *claims; /**< Services that the sender owns or wants. */
  int claim_count;
  const struct lease_grant *grants;
  int grant_count;
};

struct lease_table *lease_create (void *parent,
                                  const struct lease_options *options);
/** The voters, whose majority decides.  A process that is not among them
 * becomes an observer.  Only grants by voters with the same list count. */
void lease_set_voters (struct lease_table *t, const struct lease_voters *list,
                       int64_t now);
/** @return whether a majority of the voters has had this list for so long that
 * nobody owns anything by an older one. */
bool lease_list_is_known (const struct lease_table *t, int64_t now);
/** Ask for a service, or give it up. */
void lease_claim (struct lease_table *t, uint64_t service, bool wanted,
                  int64_t now);
/** @return since when this voter may grant what nobody claims. */
int64_t lease_grants_since (const struct lease_table *t);
/** @return whether the voter @p member claims @p service and was heard within
 * a lease. */
bool lease_is_claimant (const struct lease_table *t, uint64_t member,
                        uint64_t service, int64_t now);
/** What the own heartbeats say of a service that is claimed. */
void lease_set_state (struct lease_table *t, uint64_t service,
                      enum lease_state state);
/** @return whether a majority has granted the service anew since it had the
 * state that was set before @p since. */
bool lease_confirmed_since (const struct lease_table *t, uint64_t service,
                            int64_t since);
/** @return whether an earlier owner may have ordered a change. */
bool lease_is_changing (const struct lease_table *t, uint64_t service);
/** @return whether the heartbeat changed a grant. */
bool lease_heard (struct lease_table *t, const struct lease_heartbeat *h,
                  int64_t now);
/** @return whether a message comes from an earlier process of the member.  A
 * smaller incarnation counts again once the member was silent for two leases,
 * in case the time of day went back between two starts. */
bool lease_is_stale (const struct lease_table *t, uint64_t member,
                     uint64_t incarnation, int64_t now);
/** Forget a member that is no voter. */
void lease_forget (struct lease_table *t, uint64_t member);
/** The process with this incarnation has surely ended: what it was granted
 * is free at once.
 * @return whether a grant was withdrawn. */
bool lease_ended (struct lease_table *t, uint64_t member,
                  uint64_t incarnation);
/** @return until when this member owns the service; 0: it does not. */
int64_t lease_valid_until (const struct lease_table *t, uint64_t service);
/** @return the member that this voter has granted the service to, or that an
 * observer has heard to own it; 0 if none. */
uint64_t lease_owner (const struct lease_table *t, uint64_t service,
                      int64_t now);
/** @return whether this process votes. */
bool lease_is_voter (const struct lease_table *t);
/** @return whether a majority of the voters was heard: by a voter within one
 * lease, by an observer within a little more, as it hears them less often. */
bool lease_in_quorum (const struct lease_table *t, int64_t now);

/** @return the services known; what lease_claims and lease_grants need room
 * for. */
int lease_service_count (const struct lease_table *t);
/** @return the services that this member claims. */
int lease_claim_count (const struct lease_table *t);
/** @return a digest of the services that this member owns. */
uint64_t lease_held_digest (const struct lease_table *t, int64_t now);

/* What this member's own heartbeat has to say. */
int lease_claims (const struct lease_table *t, struct lease_claim *claims,
                  int64_t now);
int lease_grants (struct lease_table *t, struct lease_grant *grants,
                  int64_t now);
int64_t lease_echo (const struct lease_table *t, uint64_t member);

#endif
