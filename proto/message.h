/** @file
 * Messages between daemons: msgpack arrays [version, type, from, ...] in a
 * libsodium secretbox under a key derived from the fleet secret.
 * See docs/design.md, section 4.
 */
#ifndef PROTO_MESSAGE_H
#define PROTO_MESSAGE_H

#include "common/error.h"
#include "core/budget.h"
#include "core/cell.h"
#include "core/failover.h"
#include "proto/token.h"

#define MESSAGE_MAX_BYTES 65536
#define MESSAGE_MAX_VIEWS 64   /**< In one message. */
#define MESSAGE_MAX_REPORTS 64 /**< In one message. */

enum message_type
{
  MESSAGE_HEARTBEAT = 1,
  MESSAGE_VIEW,     /**< The views of a heartbeat, sent at once on a change. */
  MESSAGE_BUDGET,   /**< Moves tokens and fractions between members. */
  MESSAGE_JOIN,     /**< Asks to be added to the cell's members. */
  MESSAGE_FREEZE,   /**< The coordinator's new member list. */
  MESSAGE_HOLDINGS, /**< A member's fractions, the answer to FREEZE. */
  MESSAGE_ALLOT,    /**< The fractions that the coordinator allots. */
  /** Asks a member to release its authority over a group for the terms below
   * that in the message. */
  MESSAGE_RELEASE,
  MESSAGE_RELEASED, /**< The answer to RELEASE. */
  MESSAGE_FETCH,    /**< Asks for an object newer than the sender's. */
  MESSAGE_SNAPSHOT  /**< An object, the answer to FETCH. */
};

/** The sender's view of one group's primary. */
struct message_view
{
  char group[64];
  struct primary_view view;
};

/** The fraction of one organisation's budget that a member holds (HOLDINGS) or
 * is allotted (ALLOT). */
struct message_fraction
{
  char organisation[BUDGET_NAME_SIZE];
  double fraction;
};

/** A message; which fields are used depends on its type. */
struct message
{
  enum message_type type;
  uint64_t from;                         /**< Sender's member id. */
  struct cell_heartbeat heartbeat;       /**< In HEARTBEAT. */
  uint64_t config_version, keys_version; /**< In HEARTBEAT. */
  struct message_view *views;            /**< In HEARTBEAT and VIEW. */
  int view_count;
  struct budget_report *reports; /**< In HEARTBEAT. */
  int report_count;
  struct budget_message budget; /**< In BUDGET. */
  struct cell_member member;    /**< In JOIN. */
  /** In RELEASE and RELEASED: a term of the group; in FETCH and SNAPSHOT: the
   * object's version; in other types: the version of the member list. */
  uint64_t version;
  int64_t age_us; /**< In HOLDINGS: see cell_nonmember_echo_age. */
  struct message_fraction *fractions; /**< In HOLDINGS and ALLOT. */
  int fraction_count;
  char name[64]; /**< Name of a group or an object. */
  /** In FREEZE: the cell object; in SNAPSHOT: the object. */
  struct bstr value;
};

/** @return the encrypted message, owned by @p parent. */
struct bstr message_encode (void *parent, const struct message *m,
                            const unsigned char key[SECRET_BYTES]);

/** Decrypt, check and decode a message; its arrays and strings are owned by
 * @p parent.
 * @return false with ERROR_INVALID for a wrong key, version, type or size. */
bool message_decode (void *parent, struct bstr bytes,
                     const unsigned char key[SECRET_BYTES], struct message *m,
                     struct error *err);

#endif
