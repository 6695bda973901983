/** @file
 * Messages between daemons: msgpack arrays [version, type, from, ...] in a
 * libsodium secretbox under a key derived from the fleet secret.
 * docs/design.md, section 4.
 */
#ifndef PROTO_MESSAGE_H
#define PROTO_MESSAGE_H

#include "common/error.h"
#include "core/budget.h"
#include "core/cell.h"
#include "core/failover.h"
#include "proto/token.h"

#define MESSAGE_MAX_BYTES 65536
#define MESSAGE_MAX_VIEWS 64
#define MESSAGE_MAX_REPORTS 64

enum message_type
{
  MESSAGE_HEARTBEAT = 1,
  MESSAGE_VIEW, /**< The views of a heartbeat, sent at once on a change. */
  MESSAGE_BUDGET,
  MESSAGE_JOIN,
  MESSAGE_FREEZE,
  MESSAGE_HOLDINGS,
  MESSAGE_ALLOT,
  MESSAGE_RELEASE,
  MESSAGE_RELEASED,
  MESSAGE_FETCH,
  MESSAGE_SNAPSHOT
};

/** A view of one group's primary. */
struct message_view
{
  char group[64];
  struct primary_view view;
};

/** One organisation's fraction in HOLDINGS and ALLOT. */
struct message_share
{
  char organisation[BUDGET_NAME_SIZE];
  double fraction;
};

/** Which fields count depends on the type. */
struct message
{
  enum message_type type;
  uint64_t from; /**< Sender's member id. */
  struct cell_heartbeat heartbeat;
  uint64_t config_version, keys_version;
  struct message_view *views;
  int view_count;
  struct budget_report *reports;
  int report_count;
  struct budget_message budget;
  struct cell_member member; /**< In JOIN. */
  uint64_t version;          /**< Cell version, term or object version. */
  int64_t age_us;            /**< In HOLDINGS. */
  struct message_share *shares;
  int share_count;
  char name[64]; /**< Group or object. */
  struct bstr value;
};

/** @return sealed bytes owned by @p parent. */
struct bstr message_encode (void *parent, const struct message *m,
                            const unsigned char key[SECRET_BYTES]);

/** Open, check and read a message; arrays and strings are owned by
 * @p parent.
 * @return false with ERROR_INVALID for a wrong key, version, type or size. */
bool message_decode (void *parent, struct bstr bytes,
                     const unsigned char key[SECRET_BYTES], struct message *m,
                     struct error *err);

#endif
