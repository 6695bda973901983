/** @file
 * Detects that the primary of a group has failed and replaces it: detect,
 * agree, fence, wait, choose, promote, open.  docs/design.md, section 3.2.
 *
 * The daemon performs each action that failover_next returns and reports the
 * result with the matching event function, exactly once per action.  It
 * reports a result that does not arrive as lost or failed.
 *
 * A control command may reach its endpoint late, after the member that sent
 * it was replaced as the driver.  The endpoint therefore checks its fence
 * marker in the same statement: it refuses FENCE if the marker is above the
 * term, PROMOTE unless the marker equals the term, and FOLLOW if the marker
 * is above the term.  FOLLOW sets the marker to the term.
 */
#ifndef CORE_FAILOVER_H
#define CORE_FAILOVER_H

#include "core/types.h"

/** One member's state of the failover of one group. */
struct failover;

/** Phase of a change of primary. */
enum failover_phase
{
  FAILOVER_STABLE, /**< No change is in progress. */
  /** The update that starts a change, or takes it over, is under way. */
  FAILOVER_AGREEING,
  FAILOVER_FENCING,   /**< Endpoints get the fence marker of the new term. */
  FAILOVER_WAITING,   /**< The authority for older terms has to end. */
  FAILOVER_CHOOSING,  /**< The update that names the candidate is under way. */
  FAILOVER_PROMOTING, /**< The candidate is promoted. */
  FAILOVER_OPENING    /**< The update that opens the term is under way. */
};

/** The group's object on the platform. */
struct group_record
{
  uint64_t version; /**< Version of the object; 0: it does not exist. */
  uint64_t term;
  /** Endpoint that leads @c term when the group is stable; during a change,
   * the old primary, which is being replaced. */
  int primary;
  int candidate; /**< Endpoint chosen to lead, INDEX_NONE before. */
  enum failover_phase phase;
  uint64_t driver; /**< Member that drives the change. */
  uint64_t op;     /**< Unique per update; identifies it if its answer is
                      lost. */
  /** Branch point of @c term: the last position that it shares with
   * @c base_term; valid when there is a candidate or the group is stable. */
  uint64_t branch_start;
  uint64_t base_term;  /**< Newest term that was opened. */
  uint64_t base_start; /**< Branch point of @c base_term. */
};

struct failover_options
{
  int endpoint_count;
  /** Replicas that must hold a write before it is acknowledged. */
  int confirm_replicas;
  uint64_t self;    /**< This member's id. */
  int64_t lease_us; /**< Time after a poll during which it gives authority. */
  /** Silence of the primary towards members and replicas after which it is
   * replaced. */
  int64_t suspect_us;
  /** Silence of the primary towards members alone after which it is
   * replaced. */
  int64_t unreachable_us;
  /** Silence of a candidate after which the driver starts another term.  A
   * driver is replaced after half of it, because it sends its view every
   * 100 ms. */
  int64_t driver_timeout_us;
  /** Time over which attempts to connect to the primary must be refused until
   * it counts as suspect; 0: refusals are ignored. */
  int64_t refused_us;
};

enum failover_action_kind
{
  FAILOVER_UPDATE, /**< Update the group object to record, conditionally. */
  FAILOVER_READ,   /**< Read the group object back. */
  /** Set the fence marker for term on endpoint, and report the result when
   * its WAL receiver has stopped. */
  FAILOVER_FENCE,
  /** Ask all members to release their authority for terms up to term - 1. */
  FAILOVER_RELEASE,
  FAILOVER_PROMOTE, /**< Promote endpoint to term. */
  FAILOVER_FOLLOW,  /**< Let endpoint follow record.primary. */
  FAILOVER_POLL,    /**< Poll endpoint now. */
  /** Read the cell object, then report it with failover_set_members and
   * failover_on_members_read. */
  FAILOVER_READ_MEMBERS
};

struct failover_action
{
  enum failover_action_kind kind;
  int endpoint;  /**< INDEX_NONE if the action concerns no single endpoint. */
  uint64_t term; /**< Term of @c record. */
  /** FAILOVER_UPDATE: the new content, whose version is the one to match; else
   * the current record. */
  struct group_record record;
};

/** One member's view of the primary, exchanged in heartbeats. */
struct primary_view
{
  uint64_t member;       /**< Member whose view it is. */
  uint64_t term;         /**< Term whose primary is meant. */
  int64_t silence_us;    /**< Time since the primary last answered a poll. */
  bool reaches_majority; /**< Most endpoints of the group answer it. */
  bool refused;        /**< The primary refused connections for refused_us. */
  int64_t received_at; /**< When the view arrived at this member. */
};

enum update_result
{
  UPDATE_DONE,
  UPDATE_CONFLICT, /**< The current record follows in a record event. */
  UPDATE_LOST      /**< No answer arrived: it may have taken effect. */
};

struct failover *failover_create (void *parent,
                                  const struct failover_options *options,
                                  int64_t now);

/** Report that the group object was read or that its watch fired.  Version 0
 * means that it does not exist. */
void failover_on_record (struct failover *f, const struct group_record *r,
                         int64_t now);
/** Report the result of FAILOVER_UPDATE.
 * @param version new version of the object if the update was done. */
void failover_on_update (struct failover *f, enum update_result result,
                         uint64_t version, int64_t now);
/** Report that an endpoint answered a poll. */
void failover_on_status (struct failover *f, int endpoint,
                         const struct endpoint_status *status, int64_t now);
/** Report that an attempt to connect to an endpoint was refused at once
 * (ECONNREFUSED): nothing listens on its port.  Not to be called for a
 * timeout, an unreachable server or an error that the server itself sent. */
void failover_on_refused (struct failover *f, int endpoint, int64_t now);
/** Report the result of FAILOVER_FENCE.
 * @param status measured after the fence, ignored if not @p ok. */
void failover_on_fenced (struct failover *f, int endpoint, bool ok,
                         const struct endpoint_status *status, int64_t now);
/** Report the result of FAILOVER_PROMOTE. */
void failover_on_promoted (struct failover *f, int endpoint, bool ok,
                           int64_t now);
/** Report that a peer's view arrived; its received_at is set here. */
void failover_on_view (struct failover *f, const struct primary_view *view,
                       int64_t now);
/** Report that a member released its authority for all terms below
 * @p term. */
void failover_on_released (struct failover *f, uint64_t member, uint64_t term,
                           int64_t now);
/** Set the members of the cell that count, in order; call it at each
 * change. */
void failover_set_members (struct failover *f, const uint64_t *members,
                           int count, int64_t now);
/** Mark an endpoint as leaving, or remove the mark.  A primary that leaves
 * is replaced while it still answers; a leaving endpoint is promoted only if
 * no other one may be. */
void failover_set_leaving (struct failover *f, int endpoint, bool leaving,
                           int64_t now);
/** Report that the members last set are those of a read that was sent at
 * @p sent_at.  Without this event the driver always waits for the lease. */
void failover_on_members_read (struct failover *f, int64_t sent_at,
                               int64_t now);

/** Advance time.  Call at least every 50 ms and after each event.
 * @param op a fresh unique number for a new update.
 * @return false when there is no further action now. */
bool failover_next (struct failover *f, int64_t now, uint64_t op,
                    struct failover_action *action);

/** @return this member's own view, to be sent to peers. */
struct primary_view failover_view (const struct failover *f, int64_t now);
/** @return whether the view must be sent to peers at once: true once after
 * each change of this member's vote, and every 100 ms while it drives a
 * change. */
bool failover_view_due (struct failover *f, int64_t now);
/** @return the phase as this member sees it, which may be ahead of the
 * record. */
enum failover_phase failover_phase (const struct failover *f);
/** @return the newest record that is known. */
const struct group_record *failover_record (const struct failover *f);

#endif
