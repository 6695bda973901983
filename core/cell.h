/** @file
 * Membership of a cell: who belongs to it, which member's lease is valid,
 * and the steps from one version of the member list to the next.
 * docs/design.md, section 3.5.
 */
#ifndef CORE_CELL_H
#define CORE_CELL_H

#include "core/types.h"

struct cell;

struct cell_member
{
  uint64_t id;      /**< Unique per process start (incarnation). */
  char name[64];    /**< VM name from settings. */
  char address[64]; /**< Where peers reach it. */
};

/** The cell's object on the platform. */
struct cell_record
{
  uint64_t version; /**< Of the object. */
  uint64_t op;
  uint64_t coordinator; /**< Member that wrote this version. */
  int member_count;
  struct cell_member members[CELL_MAX_MEMBERS];
};

struct cell_options
{
  struct cell_member self;
  int64_t heartbeat_us;
  int64_t hold_us;       /**< Lease of a member, on its own clock. */
  int64_t dead_after_us; /**< Silence after which removal is proposed. */
};

/** What a heartbeat says about membership. */
struct cell_heartbeat
{
  uint64_t from;
  uint64_t version; /**< Of the member list that the sender uses. */
  int64_t sent_at;  /**< On the sender's clock. */
  /** Newest heartbeat received from the destination, on the destination's
   * clock; 0 if none or if the sender does not confirm it. */
  int64_t echo;
  bool leaving; /**< The sender drains. */
};

enum cell_action_kind
{
  CELL_SEND_HEARTBEAT, /**< heartbeat, to member. */
  CELL_UPDATE,         /**< Conditional update of the cell object. */
  CELL_READ,           /**< Read the cell object back. */
  CELL_FREEZE,         /**< Ask member for its holdings under version. */
  CELL_ALLOT           /**< All holdings are final: compute the allotment. */
};

struct cell_action
{
  enum cell_action_kind kind;
  uint64_t member;
  uint64_t version;
  struct cell_heartbeat heartbeat;
  struct cell_record record;
};

struct cell *cell_create (void *parent, const struct cell_options *options,
                          int64_t now);
void cell_on_record (struct cell *c, const struct cell_record *r, int64_t now);
/** @param result as enum update_result: 0 done, 1 conflict, 2 lost. */
void cell_on_update (struct cell *c, int result, uint64_t version,
                     int64_t now);
void cell_on_heartbeat (struct cell *c, const struct cell_heartbeat *h,
                        int64_t now);
/** A member reported its holdings for @p version (coordinator only). */
void cell_on_holdings (struct cell *c, uint64_t member, uint64_t version,
                       int64_t now);
/** The platform's list says that this VM is gone or leaving. */
void cell_on_vm_gone (struct cell *c, const char *name, int64_t now);
void cell_set_leaving (struct cell *c, bool leaving);
bool cell_next (struct cell *c, int64_t now, uint64_t op,
                struct cell_action *action);

/** @return whether this member may spend its holdings now. */
bool cell_lease_valid (const struct cell *c, int64_t now);
bool cell_is_member (const struct cell *c);
const struct cell_record *cell_record (const struct cell *c);
/** Members heard from within the hold time, self included.
 * @return their count. */
int cell_live_members (const struct cell *c, uint64_t *ids, int64_t now);

#endif
