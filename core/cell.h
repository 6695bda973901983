/** @file
 * Membership of a cell: who belongs to it, which member's lease is valid,
 * and the steps from one version of the member list to the next.
 * docs/design.md, section 3.5, and docs/budget.md.
 *
 * The host performs the actions of cell_next after each event and at least
 * every 50 ms, in the order in which they are returned.
 */
#ifndef CORE_CELL_H
#define CORE_CELL_H

#include "core/types.h"

struct cell;

struct cell_member
{
  uint64_t id;      /**< Unique per process start (incarnation). */
  uint64_t join_op; /**< Update that added it; differs after a removal. */
  char name[64];    /**< VM name from settings. */
  char address[64]; /**< Where peers reach it. */
};

/** The cell's object on the platform. */
struct cell_record
{
  uint64_t version; /**< Of the object; 0: there is no object. */
  uint64_t op;
  uint64_t coordinator; /**< Member that wrote this version. */
  /** The writer had its allotment of the version before, so every lease
   * under a still older list had ended. */
  bool previous_settled;
  int member_count;
  struct cell_member members[CELL_MAX_MEMBERS];
  int previous_count; /**< Members of the version before this one. */
  struct cell_member previous[CELL_MAX_MEMBERS];
};

struct cell_options
{
  struct cell_member self; /**< join_op is ignored. */
  int64_t heartbeat_us;
  int64_t hold_us;       /**< Lease of a member, on its own clock. */
  int64_t dead_after_us; /**< Silence after which removal is proposed. */
};

/** What a heartbeat says about membership. */
struct cell_heartbeat
{
  uint64_t from;
  uint64_t version; /**< Of the member list that the sender uses. */
  uint64_t settled; /**< Version whose allotment the sender applied. */
  int64_t sent_at;  /**< On the sender's clock. */
  /** Newest heartbeat received from the destination, on the destination's
   * clock; 0 if none or if the sender does not confirm it. */
  int64_t echo;
  bool leaving; /**< The sender drains. */
  /** Members that the sender has not heard for dead_after_us. */
  int silent_count;
  uint64_t silent[CELL_MAX_MEMBERS];
};

enum cell_action_kind
{
  /** The member list changed: call budget_freeze with @c record and
   * @c keep before anything else is sent. */
  CELL_ADOPT,
  CELL_SEND_HEARTBEAT, /**< heartbeat, to member. */
  CELL_SEND_JOIN,      /**< Ask member to add self, which knows version. */
  CELL_UPDATE,         /**< Conditional update of the cell object. */
  CELL_READ,           /**< Read the cell object back. */
  /** Send record to member.  The receiver calls cell_on_record, performs
   * its actions, and answers with its holdings if its record then has this
   * version and contains it. */
  CELL_FREEZE,
  /** All holdings are final: send member its allotment.  Repeated until the
   * member's heartbeat says that it is settled. */
  CELL_ALLOT
};

struct cell_action
{
  enum cell_action_kind kind;
  uint64_t member;
  uint64_t version;
  bool keep; /**< CELL_ADOPT: the holdings are still valid. */
  struct cell_member self;
  struct cell_heartbeat heartbeat;
  struct cell_record record; /**< For CELL_UPDATE, version is the one to
                                replace; 0 creates the object. */
};

struct cell *cell_create (void *parent, const struct cell_options *options,
                          int64_t now);
/** The object was read, its watch fired, or a peer sent it.  A version of 0
 * says that the object does not exist. */
void cell_on_record (struct cell *c, const struct cell_record *r, int64_t now);
/** @param result as enum update_result: 0 done, 1 conflict, 2 lost. */
void cell_on_update (struct cell *c, int result, uint64_t version,
                     int64_t now);
void cell_on_heartbeat (struct cell *c, const struct cell_heartbeat *h,
                        int64_t now);
/** A process that is no member asks to be added.
 * @param version of the member list that it knows. */
void cell_on_join (struct cell *c, const struct cell_member *m,
                   uint64_t version, int64_t now);
/** A member reported its holdings for @p version (coordinator only).
 * @param outsider_age_us cell_outsider_age at the member when it sent them.
 */
void cell_on_holdings (struct cell *c, uint64_t member, uint64_t version,
                       int64_t outsider_age_us, int64_t now);
/** This member applied its allotment for @p version. */
void cell_on_allot (struct cell *c, uint64_t version, int64_t now);
/** The platform's list does not contain this VM any more: its process has
 * ended.  Not to be called for a VM that is only leaving. */
void cell_on_vm_gone (struct cell *c, const char *name, int64_t now);
void cell_set_leaving (struct cell *c, bool leaving);
bool cell_next (struct cell *c, int64_t now, uint64_t op,
                struct cell_action *action);

/** @return whether this member may spend its holdings now. */
bool cell_lease_valid (const struct cell *c, int64_t now);
bool cell_is_member (const struct cell *c);
const struct cell_record *cell_record (const struct cell *c);
/** Time since this process last confirmed a process that is not in the
 * record; sent with holdings. */
int64_t cell_outsider_age (const struct cell *c, int64_t now);
/** @return name and address of a member, a removed member or a process that
 * asked to join; NULL if unknown. */
const struct cell_member *cell_find (const struct cell *c, uint64_t id);
/** Members heard from within dead_after_us, self included.
 * @return their count. */
int cell_live_members (const struct cell *c, uint64_t *ids, int64_t now);

#endif
