/** @file
 * Messages between session daemons: heartbeats, statements on their way to
 * the owner of a service, results, and copies of the directory.
 */
#ifndef SESSION_PACKET_H
#define SESSION_PACKET_H

#include "core/lease.h"
#include "core/limits.h"
#include "core/session.h"
#include "platform/objects.h"
#include "session/model.h"

/** Maximum length of an encoded message, in bytes: a statement's text or its
 * shape and arguments, with SESSION_MAX_BYTES of values.  The bus closes a
 * connection that brings a longer one. */
#define PACKET_MAX_BYTES ((size_t)8 << 20)
/** Maximum length of the JSON in a copy, in bytes.  Values in the platform's
 * store have at most 1 MiB; the entries of 2,000 endpoints together have about
 * the same size. */
#define PACKET_MAX_COPY_BYTES ((size_t)16 << 20)
/** Maximum number of organisations whose demand one heartbeat reports. */
#define PACKET_MAX_DEMAND 256
/** Maximum number of rows in a result, and of their bytes together, which a
 * caller's connection can buffer. */
#define PACKET_MAX_ROWS 4096
#define PACKET_MAX_ROW_BYTES ((size_t)3 << 20)

/** Kind of a message. */
enum packet_kind
{
  PACKET_HEARTBEAT,
  PACKET_STATEMENT,    /**< From the member with the session to the owner. */
  PACKET_RESULT,       /**< From the owner to the member with the session. */
  PACKET_ABANDON,      /**< The session ended within a transaction. */
  PACKET_FETCH,        /**< Requests a copy of a collection. */
  PACKET_COPY,         /**< Answer to PACKET_FETCH. */
  PACKET_PROBE,        /**< Asks whether the receiver reaches an endpoint. */
  PACKET_PROBE_ANSWER, /**< Answer to PACKET_PROBE. */
  /** Reports a commit by the previous owner to the current owner. */
  PACKET_COMMIT,
  PACKET_COMMIT_ANSWER, /**< Answer to PACKET_COMMIT. */
  PACKET_KIND_COUNT
};

/** Header of every message. */
struct packet_sender
{
  uint64_t member;
  uint64_t incarnation;
  uint64_t receiver_incarnation; /**< 0: any. */
  int64_t stamp; /**< Sender's clock when it was sent, microseconds. */
  /** Serial number of the message among those to this receiver, the same when
   * it is sent again; 0: it is never sent again. */
  uint64_t number;
};

/** Next owner of a service that the sender releases. */
struct packet_successor
{
  uint64_t service;
  uint64_t member; /**< 0: none is named. */
};

/** Newest acknowledged position of a service, as reported by its owner. */
struct packet_progress
{
  uint64_t service;
  struct position position;
};

/** State that a member reports to the others periodically. */
struct packet_heartbeat
{
  /** Name, address and failure domain are empty once the receiver has
   * confirmed that it knows them. */
  struct bstr name;
  struct bstr address;
  struct bstr failure_domain;
  int capacity; /**< See fleet_capacity; thousandths of a core. */
  bool leaving; /**< The sender's process is about to end. */
  bool ready;   /**< The sender has the data that it needs to own a service. */
  /** The sender is an observer that would fill a free place in the list of
   * voters. */
  bool wants_vote;
  bool reaches_store;
  struct lease_echo echo;  /**< Newest stamp of the receiver. */
  uint64_t epoch;          /**< Epoch of the sender's list of voters. */
  uint64_t config_version; /**< 0: the sender has no configuration. */
  /** See directory_revision and directory_digest.  Those of
   * OBJECT_EVACUATIONS are left out if both are 0. */
  uint64_t revision[OBJECT_KIND_COUNT];
  uint64_t digest[OBJECT_KIND_COUNT];
  struct lease_claim *claims; /**< Services that the sender claims or owns. */
  int claim_count;
  struct lease_grant *grants; /**< Grants to the receiver only. */
  int grant_count;
  struct packet_successor *successors; /**< To voters only. */
  int successor_count;
  bool has_demand;     /**< The sender regards the receiver as a voter. */
  bool demand_is_full; /**< See limits_write_report. */
  struct limits_usage *demand; /**< To voters only. */
  int demand_count;
  /** Services that the sender owns and serves; to voters only. */
  struct packet_progress *progress;
  int progress_count;
};

/** One statement of a caller on its way to the owner. */
struct packet_statement
{
  uint64_t session;  /**< Session number, unique at the sender. */
  uint64_t sequence; /**< Number of the statement in the session. */
  /** Number of the session's newest transaction, from 1; 0: there was none.
   * A BEGIN opens this transaction, also when it is sent again, and a
   * statement with in_transaction runs in no other one.  Any other statement
   * shows that the transaction has ended for the caller. */
  uint64_t transaction;
  struct bstr service;
  struct bstr organisation;
  uint64_t organisation_id; /**< 0: the route is public. */
  /* Copied from the route and the configuration. */
  enum route_kind kind;
  int timeout_ms;
  int target_ms;
  int priority;
  int stale_ms;
  int idle_transaction_ms;
  /* The statement itself. */
  enum statement_verb verb;
  bool is_read;
  bool in_transaction;
  /** The receiver may run the read although it does not own the service. */
  bool for_reader;
  bool is_counted; /**< It was counted against the organisation's rate. */
  /** The session was refused before and has not been served since. */
  bool is_repeat;
  struct bstr id;   /**< The caller's id of the statement. */
  struct bstr text; /**< Empty for EXECUTE. */
  /** EXECUTE: the statement with placeholders, which may be empty. */
  struct bstr shape;
  struct bstr arguments; /**< Arguments of EXECUTE. */
  struct position own;   /**< See struct session. */
  /** The session's values are included, as the owner may not have them. */
  bool has_values;
  struct session_value *values;
  int value_count;
};

/** Result of a statement. */
struct packet_result
{
  uint64_t session;
  uint64_t sequence;
  /** The statement has no result: the sender does not own the service, or it
   * cannot run the read as a reader. */
  bool moved;
  bool is_counted; /**< It was counted against the organisation's rate. */
  enum outcome outcome;
  struct bstr text; /**< Error message, if the outcome is not OUTCOME_OK. */
  int retry_ms;     /**< Time to wait before a retry; 0: unknown. */
  struct bstr *rows;
  int row_count;
  /** Signature of the result, which the caller gets after the rows; may be
   * empty. */
  struct bstr signature;
  struct position position;
};

/** Copy of a collection of the directory. */
struct packet_copy
{
  enum object_kind kind;
  uint64_t revision;
  struct bstr items; /**< Compressed JSON. */
  size_t length;     /**< Length of the uncompressed JSON, in bytes. */
};

/** Question whether the receiver reaches an endpoint, and the answer. */
struct packet_probe
{
  struct bstr service;
  struct bstr endpoint;
  struct bstr address;
  struct bstr organisation; /**< Name with which the connection is opened. */
  bool reached;             /**< Set in PACKET_PROBE_ANSWER only. */
};

/** A commit at the primary through the previous owner of the service. */
struct packet_commit
{
  uint64_t service;
  uint64_t number; /**< Number of the query; the answer repeats it. */
  struct position position;
  /** PACKET_COMMIT_ANSWER: the current owner has recorded the commit. */
  bool noted;
};

/** A message between two session daemons. */
struct packet
{
  enum packet_kind kind;
  struct packet_sender sender;
  union
  {
    struct packet_heartbeat heartbeat;
    struct packet_statement statement;
    struct packet_result result;
    uint64_t session;        /**< PACKET_ABANDON. */
    struct packet_copy copy; /**< PACKET_FETCH sets only the kind. */
    struct packet_probe probe;
    struct packet_commit commit;
  };
};

/** @return the encoded message, owned by @p parent. */
struct bstr packet_encode (void *parent, const struct packet *message);
/** Decode a message; its strings and arrays are owned by @p parent.
 * @return false if the bytes are not a valid message of this version. */
bool packet_decode (void *parent, struct bstr bytes, struct packet *message);

#endif
