/** @file
 * Detects a failed primary and replaces it: detect, agree, fence, wait,
 * choose, promote, open.  docs/design.md, section 3.2.
 *
 * The host performs each action that failover_next returns and reports the
 * result with the matching event function, exactly once per action; a
 * result that does not come is reported as lost or failed.
 *
 * A control command may reach its endpoint late, after its sender was
 * replaced.  The endpoint therefore checks the marker in the same statement:
 * FENCE is refused if the marker is above the term, PROMOTE unless the
 * marker equals the term, FOLLOW if the marker is above the term; FOLLOW
 * leaves the term as the marker.
 */
#ifndef CORE_FAILOVER_H
#define CORE_FAILOVER_H

#include "core/types.h"

struct failover;

enum failover_phase
{
  FAILOVER_STABLE,
  FAILOVER_AGREEING,
  FAILOVER_FENCING,
  FAILOVER_WAITING,
  FAILOVER_CHOOSING,
  FAILOVER_PROMOTING,
  FAILOVER_OPENING
};

/** The group's object on the platform. */
struct group_record
{
  uint64_t version; /**< Of the object. */
  uint64_t term;
  int primary;   /**< Endpoint that leads @c term when stable. */
  int candidate; /**< Endpoint chosen to lead, INDEX_NONE before. */
  enum failover_phase phase;
  uint64_t driver; /**< Member that drives the change. */
  uint64_t op;     /**< Unique per update; recognises a lost answer. */
  /** Last position that @c term shares with @c base_term; valid when there
   * is a candidate, or when stable. */
  uint64_t branch_start;
  uint64_t base_term;  /**< Newest term that was opened. */
  uint64_t base_start; /**< Branch start of @c base_term. */
};

struct failover_options
{
  int endpoint_count;
  int confirm_replicas;
  uint64_t self; /**< This member's id. */
  int64_t lease_us;
  int64_t suspect_us;
  int64_t unreachable_us;
  /** Silence after which a candidate is given up; a driver is replaced after
   * half of it, because it sends its view every 100 ms. */
  int64_t driver_timeout_us;
  /** Time over which attempts to connect to the primary must be refused until
   * it counts as suspect; 0: refusals are ignored. */
  int64_t refused_us;
};

enum failover_action_kind
{
  FAILOVER_UPDATE, /**< Conditional update of the group object to record. */
  FAILOVER_READ,   /**< Read the group object back. */
  /** Set the fence marker for term on endpoint, and answer when its WAL
   * receiver has stopped. */
  FAILOVER_FENCE,
  FAILOVER_RELEASE, /**< Ask all members to release up to term - 1. */
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
  int endpoint;
  uint64_t term;
  struct group_record record; /**< For UPDATE: version is the one to match. */
};

/** One member's view of the primary, exchanged in heartbeats. */
struct primary_view
{
  uint64_t member;
  uint64_t term;         /**< Term whose primary is meant. */
  int64_t silence_us;    /**< Since the primary last answered a poll. */
  bool reaches_majority; /**< Of the group's endpoints. */
  bool refused;          /**< It refused connections for refused_us. */
  int64_t received_at;   /**< When the view arrived here. */
};

enum update_result
{
  UPDATE_DONE,
  UPDATE_CONFLICT, /**< The current record follows in a record event. */
  UPDATE_LOST      /**< No answer: it may have taken effect. */
};

struct failover *failover_create (void *parent,
                                  const struct failover_options *options,
                                  int64_t now);

/** The group object was read or its watch fired.  Version 0 says that it
 * does not exist. */
void failover_on_record (struct failover *f, const struct group_record *r,
                         int64_t now);
/** @param version of the object if the update was done. */
void failover_on_update (struct failover *f, enum update_result result,
                         uint64_t version, int64_t now);
/** An endpoint answered a poll. */
void failover_on_status (struct failover *f, int endpoint,
                         const struct endpoint_status *status, int64_t now);
/** An attempt to connect to an endpoint was refused at once (ECONNREFUSED):
 * nothing listens on its port.  Not to be called for a timeout, an
 * unreachable host or an error that the server itself sent. */
void failover_on_refused (struct failover *f, int endpoint, int64_t now);
/** @param status measured after the fence, ignored if not @p ok. */
void failover_on_fenced (struct failover *f, int endpoint, bool ok,
                         const struct endpoint_status *status, int64_t now);
void failover_on_promoted (struct failover *f, int endpoint, bool ok,
                           int64_t now);
/** A peer's view arrived. */
void failover_on_view (struct failover *f, const struct primary_view *view,
                       int64_t now);
/** A member gave up authority for all terms below @p term. */
void failover_on_released (struct failover *f, uint64_t member, uint64_t term,
                           int64_t now);
/** The members of the cell that count, in order; set at each change. */
void failover_set_members (struct failover *f, const uint64_t *members,
                           int count, int64_t now);
/** Mark an endpoint as leaving, or withdraw the mark.  A primary that leaves
 * is replaced while it still answers; a leaving endpoint is promoted only if
 * no other one may be. */
void failover_set_leaving (struct failover *f, int endpoint, bool leaving,
                           int64_t now);
/** The members last set are those of a read that was sent at @p sent_at.
 * Without this event the driver always waits for the lease. */
void failover_on_members_read (struct failover *f, int64_t sent_at,
                               int64_t now);

/** Advance time.  Call at least every 50 ms and after each event.
 * @param op a fresh unique number for a new update.
 * @return false when there is no further action now. */
bool failover_next (struct failover *f, int64_t now, uint64_t op,
                    struct failover_action *action);

/** This member's own view, to be sent to peers. */
struct primary_view failover_view (const struct failover *f, int64_t now);
/** @return true once after each change of this member's vote, and every
 * 100 ms while it drives a change: peers are then sent the view at once. */
bool failover_view_due (struct failover *f, int64_t now);
enum failover_phase failover_phase (const struct failover *f);
const struct group_record *failover_record (const struct failover *f);

#endif
