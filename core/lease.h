/** @file
 * Ownership of services by session daemons, agreed by leases that a majority
 * of the voters grants.  Grants travel in heartbeats and are kept in memory
 * only: a voter that has just started grants nothing for one lease, so that it
 * cannot contradict a grant that it made before its restart, unless heartbeats
 * of the other voters show sooner that no such grant counts.
 *
 * A process that is not in the list of voters is an observer: it grants and
 * owns nothing, and learns the owners from their claims.
 *
 * Times are microseconds of the process's own clock.  A stamp is a time of its
 * sender's clock and is only compared with stamps of the same sender.
 */
#ifndef CORE_LEASE_H
#define CORE_LEASE_H

#include <stdbool.h>
#include <stdint.h>

/** Largest number of voters; further ones in a list are ignored. */
#define LEASE_MAX_VOTERS 128
/** Largest number of services in a fleet, one for each group of endpoints.
 * The planned 2,000 databases need fewer than half as many. */
#define LEASE_MAX_SERVICES 1536

/** Leases as one member knows them. */
struct lease_table;

struct lease_options
{
  uint64_t self;        /**< Id of this member. */
  uint64_t incarnation; /**< Grows with every start of the process. */
  int64_t duration_us;  /**< Duration of a lease. */
  int64_t now;          /**< Time at which the process started. */
};

/** What the change of a list that is in progress does with a voter. */
enum lease_voter_change
{
  LEASE_VOTER_STAYS,
  LEASE_VOTER_JOINS,
  /** It votes until the change is over, and owns nothing any more. */
  LEASE_VOTER_RETIRES,
};

/** A list of voters.  While it changes, it contains the voters before and
 * after the change, and a decision needs a majority of both (joint consensus).
 * The next list may follow only once lease_list_is_established: without the
 * voters that retire, and with any number of new changes.  As the voters after
 * one change are those before the next one, any two majorities of consecutive
 * lists have a voter in common. */
struct lease_voters
{
  const uint64_t *ids;
  const enum lease_voter_change
      *changes; /**< Of each voter; NULL: all stay. */
  int count;
  uint64_t epoch; /**< Grows with every new list. */
  /** No change of the list is in progress.  Only then may voters that have all
   * restarted grant without waiting for leases by an older list.  A list that
   * does not change either way is being put together by members that added
   * themselves, and no voter of it has a casting vote. */
  bool settled;
};

/** What an owner announces about the service's primary.  It orders a change
 * only after a majority has learned of it, so that the next owner knows. */
enum lease_state
{
  LEASE_UNKNOWN,  /**< The owner does not know it yet. */
  LEASE_STABLE,   /**< No change of the primary is in progress. */
  LEASE_CHANGING, /**< A change may have been ordered. */
  LEASE_STATE_COUNT
};

/** A service that the sender of a heartbeat claims. */
struct lease_claim
{
  uint64_t service;
  enum lease_state state;
  bool owned;    /**< A majority has granted it to the sender. */
  uint64_t term; /**< Term of the service's primary; 0: the sender does not
                    know it. */
};

/** A grant by the sender of a heartbeat: @p member may own @p service. */
struct lease_grant
{
  uint64_t service;
  uint64_t member;
  uint64_t incarnation; /**< Incarnation of the member's process. */
  bool changing;        /**< The newest owner that the sender knows announced
                            LEASE_CHANGING. */
  uint64_t term;        /**< Term that an owner announced last; 0: the sender
                           knows none. */
};

/** The newest stamp that one member has received from another one. */
struct lease_echo
{
  /** Incarnation of the process that sent the stamp.  Stamps of two processes
   * of one member cannot be compared: a VM that lost power has started its
   * clock anew. */
  uint64_t incarnation;
  int64_t stamp; /**< 0: none was received. */
};

/** A heartbeat of another member. */
struct lease_heartbeat
{
  uint64_t member;
  uint64_t incarnation;
  int64_t stamp;          /**< Sender's clock when it was sent. */
  struct lease_echo echo; /**< Newest stamp of this member that the sender
                             has. */
  uint64_t epoch;         /**< Epoch of the sender's list of voters. */
  const struct lease_claim
      *claims; /**< Services that the sender owns or wants to own. */
  int claim_count;
  const struct lease_grant *grants;
  int grant_count;
};

struct lease_table *lease_create (void *parent,
                                  const struct lease_options *options);
/** Replaces the list of voters, whose majority decides.  A process that is not
 * in it becomes an observer.  Only grants by voters with the same list count.
 */
void lease_set_voters (struct lease_table *t, const struct lease_voters *list,
                       int64_t now);
/** @return whether a majority of the voters has had this list for so long that
 * no member owns anything by an older one. */
bool lease_list_is_established (const struct lease_table *t, int64_t now);
/** Claims a service, or cancels the claim if @p wanted is false. */
void lease_claim (struct lease_table *t, uint64_t service, bool wanted,
                  int64_t now);
/** @return the time from which this voter may grant services that no other
 * member claims. */
int64_t lease_granting_since (const struct lease_table *t);
/** @return whether the voter @p member claims @p service and sent a heartbeat
 * within the last lease. */
bool lease_is_claimant (const struct lease_table *t, uint64_t member,
                        uint64_t service, int64_t now);
/** Sets the state that this member's heartbeats announce for a service that it
 * claims. */
void lease_set_state (struct lease_table *t, uint64_t service,
                      enum lease_state state);
/** Sets the term of the service's primary that this member's heartbeats
 * announce for a service that it claims.
 * @param term 0 is ignored. */
void lease_set_term (struct lease_table *t, uint64_t service, uint64_t term);
/** @return the highest term that this member, or a voter that grants it the
 * service, knows as the one that an owner announced last; 0: none. */
uint64_t lease_newest_term (const struct lease_table *t, uint64_t service);
/** @return whether voters that know a term, and so have not started again
 * since an owner announced one, make up a majority that grants the service to
 * this member.  One of them has heard of every change that was ordered. */
bool lease_majority_knows_term (const struct lease_table *t, uint64_t service);
/** @return whether a majority has renewed its grants after @p since, and so
 * has received the state that was set before. */
bool lease_is_confirmed_since (const struct lease_table *t, uint64_t service,
                               int64_t since);
/** @return whether a change of the primary may have been ordered, by a
 * previous owner or by this member. */
bool lease_is_changing (const struct lease_table *t, uint64_t service);
/** Records a heartbeat.  Nothing else ends the lease of another member early:
 * a heartbeat of a new process of the member, or one that no longer claims the
 * service.  A refused connection does not show that its process has ended, as
 * a network partition may refuse connections too.
 * @return whether it changed a grant or, on an observer, the known owner of a
 * service. */
bool lease_receive_heartbeat (struct lease_table *t,
                              const struct lease_heartbeat *h, int64_t now);
/** @return whether a message comes from an earlier process of the member: one
 * with a smaller incarnation, or the one before the present process.  It is
 * accepted again once the member was silent for two leases, in case the time
 * of day went back between two starts. */
bool lease_is_stale (const struct lease_table *t, uint64_t member,
                     uint64_t incarnation, int64_t now);
/** Removes what is known of a member that is not a voter. */
void lease_forget_member (struct lease_table *t, uint64_t member);
/** @return the time until which this member owns the service; 0 if it does
 * not. */
int64_t lease_valid_until (const struct lease_table *t, uint64_t service);
/** @return the member that this voter has granted the service to, or, on an
 * observer, the member whose heartbeats say that it owns it; 0 if none. */
uint64_t lease_owner (const struct lease_table *t, uint64_t service,
                      int64_t now);
/** @return the time by which the lease of the newest owner that is known has
 * ended, unless that owner renews it; 0: none is known, or it released the
 * service. */
int64_t lease_expected_end (const struct lease_table *t, uint64_t service);
/** @return whether this process votes. */
bool lease_is_voter (const struct lease_table *t);
/** @return whether this process is a voter that may own services: it does not
 * retire. */
bool lease_may_own (const struct lease_table *t);
/** @return whether heartbeats of a majority of the voters have arrived
 * recently: on a voter within one lease, on an observer within a little more,
 * as voters send to it less often. */
bool lease_has_quorum (const struct lease_table *t, int64_t now);

/** @return the number of known services; lease_write_claims and
 * lease_write_grants write at most as many entries. */
int lease_service_count (const struct lease_table *t);
/** @return the number of services that this member claims. */
int lease_claim_count (const struct lease_table *t);
/** @return a digest (XOR) of the services that this member owns, to detect a
 * change; 0 if it owns none. */
uint64_t lease_owned_digest (const struct lease_table *t, int64_t now);

/* Contents of this member's own heartbeats. */

/** Writes the claims of this member.
 * @return their number. */
int lease_write_claims (const struct lease_table *t,
                        struct lease_claim *claims, int64_t now);
/** Writes the grants of this voter, after granting its own claims.
 * @return their number. */
int lease_write_grants (struct lease_table *t, struct lease_grant *grants,
                        int64_t now);
/** @return the newest stamp received from @p member, for the heartbeat to
 * it. */
struct lease_echo lease_newest_echo (const struct lease_table *t,
                                     uint64_t member);
/** @return the stamp of an echo, 0 if the process with @p incarnation has not
 * sent it. */
int64_t lease_echoed_stamp (struct lease_echo echo, uint64_t incarnation);

#endif
