/** @file
 * Which member owns which service, agreed by leases that a majority of the
 * members grants.  The grants travel in heartbeats and live in memory only:
 * a member that has just started grants nothing for one lease, so that it
 * cannot contradict what it granted before its restart.
 *
 * Times are microseconds of the process's own clock; stamps of another
 * member are only compared with stamps of that member.
 */
#ifndef CORE_LEASE_H
#define CORE_LEASE_H

#include <stdbool.h>
#include <stdint.h>

#define LEASE_MAX_MEMBERS 128
#define LEASE_MAX_SERVICES 64

struct lease_table;

struct lease_options
{
  uint64_t self;        /**< Id of this member. */
  uint64_t incarnation; /**< Differs at every start of the process. */
  int64_t term_us;      /**< Length of a lease. */
  int64_t now;
};

/** A grant: @p member may own @p service. */
struct lease_grant
{
  uint64_t service;
  uint64_t member;
  uint64_t incarnation;
};

/** What a heartbeat of another member says. */
struct lease_heartbeat
{
  uint64_t member;
  uint64_t incarnation;
  int64_t stamp;          /**< Sender's clock when it was sent. */
  int64_t echo;           /**< Newest stamp of ours that the sender has. */
  const uint64_t *claims; /**< Services that the sender owns or wants. */
  int claim_count;
  const struct lease_grant *grants;
  int grant_count;
};

struct lease_table *lease_create (void *parent,
                                  const struct lease_options *options);
/** The members whose majority decides; this member is added if missing. */
void lease_set_members (struct lease_table *t, const uint64_t *members,
                        int count);
/** Ask for a service, or give it up. */
void lease_claim (struct lease_table *t, uint64_t service, bool wanted,
                  int64_t now);
/** @return whether the heartbeat changed a grant. */
bool lease_heard (struct lease_table *t, const struct lease_heartbeat *h,
                  int64_t now);
/** The process with this incarnation has surely ended: what it was granted
 * is free at once.
 * @return whether a grant was withdrawn. */
bool lease_ended (struct lease_table *t, uint64_t member,
                  uint64_t incarnation);
/** @return until when this member owns the service; 0: it does not. */
int64_t lease_valid_until (const struct lease_table *t, uint64_t service);
/** @return the member that this member has granted the service to, 0 if
 * none. */
uint64_t lease_owner (const struct lease_table *t, uint64_t service,
                      int64_t now);
/** @return whether this member heard a majority within one lease. */
bool lease_in_quorum (const struct lease_table *t, int64_t now);
/** @return when the member was heard last, 0 if never. */
int64_t lease_last_heard (const struct lease_table *t, uint64_t member);

/* What this member's own heartbeat has to say. */
int lease_claims (const struct lease_table *t, uint64_t *services);
int lease_grants (struct lease_table *t, struct lease_grant *grants,
                  int64_t now);
int64_t lease_echo (const struct lease_table *t, uint64_t member);

#endif
