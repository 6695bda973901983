/** @file
 * Membership of a cell: which processes are its members, whether the lease
 * of this member is valid, and the steps from one version of the member list
 * to the next.  docs/design.md, section 3.5, and docs/budget.md.
 *
 * The daemon performs the actions that cell_next_action returns after each
 * event and at least every 50 ms, in the order in which they are returned.
 */
#ifndef CORE_CELL_H
#define CORE_CELL_H

#include "core/types.h"

/** This process's view of its cell. */
struct cell;

/** A process that is a member of the cell or asks to become one. */
struct cell_member
{
  uint64_t id;      /**< Unique per process start (incarnation). */
  uint64_t join_op; /**< Id of the update that added it; differs if it was
                       removed and added again. */
  char name[64];    /**< VM name from settings. */
  char address[64]; /**< Address at which peers reach it. */
};

/** The cell's object on the platform. */
struct cell_record
{
  uint64_t version;     /**< Version of the object; 0: there is no object. */
  uint64_t op;          /**< Id of the update that wrote this version. */
  uint64_t coordinator; /**< Member that wrote this version. */
  /** The coordinator had applied its allotment of the previous version when
   * it wrote this one, so every lease under a still older member list had
   * ended. */
  bool previous_settled;
  int member_count;
  struct cell_member members[CELL_MAX_MEMBERS];
  int previous_count; /**< Members of the previous version. */
  struct cell_member previous[CELL_MAX_MEMBERS];
};

/** Options of one process's view of the cell. */
struct cell_options
{
  struct cell_member self; /**< join_op is ignored. */
  int64_t heartbeat_us;    /**< Interval between heartbeats. */
  int64_t member_lease_us; /**< Duration of a lease, on the member's clock. */
  int64_t dead_after_us;   /**< Time without a heartbeat after which a member's
                              removal is proposed. */
};

/** The part of a heartbeat that concerns membership. */
struct cell_heartbeat
{
  uint64_t from;    /**< Id of the sending process. */
  uint64_t to;      /**< Id of the process for which it is meant; its
                         successor may get it at the same address. */
  uint64_t version; /**< Version of the member list that the sender uses. */
  uint64_t settled; /**< Newest version whose allotment the sender applied. */
  int64_t sent_at;  /**< Send time, on the sender's clock. */
  /** Send time of the newest heartbeat that the sender received from @c to,
   * on the clock of @c to; this confirms the lease of @c to.  0: none was
   * received, or the sender does not confirm it. */
  int64_t echo;
  bool leaving; /**< The sender is leaving the cell. */
  /** Members from which the sender received no heartbeat for dead_after_us. */
  int silent_count;
  uint64_t silent[CELL_MAX_MEMBERS];
};

/** What the daemon has to do; the fields are those of struct cell_action. */
enum cell_action_kind
{
  /** The member list changed: call budget_freeze with @c record and
   * @c keep before anything else is sent. */
  CELL_ADOPT,
  CELL_SEND_HEARTBEAT, /**< Send @c heartbeat to @c member. */
  CELL_SEND_JOIN,      /**< Ask @c member to add @c self, which knows
                          @c version of the member list. */
  CELL_UPDATE,         /**< Replace @c version of the cell object by @c record,
                          unless the object has another version by now. */
  CELL_READ,           /**< Read the cell object. */
  /** Send @c record to @c member.  The receiver calls cell_on_record, performs
   * its actions, and answers with its holdings if its record then has this
   * version and contains it. */
  CELL_FREEZE,
  /** All holdings are final: send @c member its allotment, or apply it if
   * @c member is this process.  Repeated until the member's heartbeat says
   * that it applied the allotment. */
  CELL_ALLOT
};

/** One action that the daemon has to perform. */
struct cell_action
{
  enum cell_action_kind kind;
  uint64_t member;  /**< Destination of what is sent. */
  uint64_t version; /**< Version of the member list that is meant. */
  bool keep; /**< CELL_ADOPT: the holdings of this process are still valid. */
  struct cell_member self;
  struct cell_heartbeat heartbeat;
  struct cell_record record; /**< For CELL_UPDATE, its version is the one to
                                replace; 0: create the object. */
};

struct cell *cell_create (void *parent, const struct cell_options *options,
                          int64_t now);
/** Handle the cell object @p r: it was read, its watch reported a change, or a
 * peer sent it.  A version of 0 says that the object does not exist. */
void cell_on_record (struct cell *c, const struct cell_record *r, int64_t now);
/** Handle the end of a CELL_UPDATE.
 * @param result as enum update_result: 0 done, 1 conflict, 2 lost.
 * @param version of the object that the update wrote. */
void cell_on_update (struct cell *c, int result, uint64_t version,
                     int64_t now);
/** Handle a heartbeat of another process. */
void cell_on_heartbeat (struct cell *c, const struct cell_heartbeat *h,
                        int64_t now);
/** Handle the request of process @p m, which is not a member, to be added.
 * @param version of the member list that it knows. */
void cell_on_join (struct cell *c, const struct cell_member *m,
                   uint64_t version, int64_t now);
/** Record that all holdings of @p member for @p version arrived (coordinator
 * only).
 * @param nonmember_echo_age_us result of cell_nonmember_echo_age at the member
 * when it sent them. */
void cell_on_holdings (struct cell *c, uint64_t member, uint64_t version,
                       int64_t nonmember_echo_age_us, int64_t now);
/** Record that this member applied its allotment for @p version. */
void cell_on_allot (struct cell *c, uint64_t version, int64_t now);
/** Record that the platform's list does not contain the VM @p name any more,
 * so that its process has ended.  Not to be called for a VM that is only
 * leaving. */
void cell_on_vm_gone (struct cell *c, const char *name, int64_t now);
/** Set whether this process is leaving the cell. */
void cell_set_leaving (struct cell *c, bool leaving);
/** Get the next action to perform.
 * @param op unique id for the update, if the action is CELL_UPDATE.
 * @return false if there is nothing to do now. */
bool cell_next_action (struct cell *c, int64_t now, uint64_t op,
                       struct cell_action *action);

/** @return whether this member may spend its holdings now: a majority of the
 * members, itself included, confirmed a heartbeat that it sent within
 * member_lease_us. */
bool cell_lease_valid (const struct cell *c, int64_t now);
/** @return whether this process is in the member list. */
bool cell_is_member (const struct cell *c);
/** @return the newest version of the cell object that this process knows. */
const struct cell_record *cell_record (const struct cell *c);
/** @return the time since this process received the last heartbeat of a
 * process outside the record whose lease it may have confirmed; sent with
 * holdings. */
int64_t cell_nonmember_echo_age (const struct cell *c, int64_t now);
/** @return the member, the removed member or the process asking to join that
 * has this id; NULL if there is none. */
const struct cell_member *cell_find (const struct cell *c, uint64_t id);
/** Get the ids of the members from which a heartbeat arrived within
 * dead_after_us, and of this process if it is a member.
 * @param ids array of CELL_MAX_MEMBERS.
 * @return the number of ids. */
int cell_live_members (const struct cell *c, uint64_t *ids, int64_t now);

#endif
