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

#define PACKET_MAX_BYTES ((size_t)4 << 20)
/** Length of a copy's JSON, in bytes.  Values of the platform's store have at
 * most 1 MiB; the entries of 2,000 endpoints together have about as much. */
#define PACKET_MAX_COPY ((size_t)16 << 20)
#define PACKET_MAX_DEMAND 256
#define PACKET_MAX_ROWS 4096

enum packet_kind
{
  PACKET_HEARTBEAT,
  PACKET_STATEMENT, /**< Entry daemon to owner. */
  PACKET_RESULT,    /**< Owner to entry daemon. */
  PACKET_ABANDON,   /**< The session of a transaction ended. */
  PACKET_FETCH,     /**< Ask for a copy of a collection. */
  PACKET_COPY,
  PACKET_PROBE, /**< Ask whether the receiver reaches an endpoint. */
  PACKET_PROBED,
  PACKET_COMMIT, /**< Former owner to present owner. */
  PACKET_COMMIT_ANSWER,
  PACKET_KIND_COUNT
};

/** Sender of every message. */
struct packet_sender
{
  uint64_t member;
  uint64_t incarnation;
  uint64_t receiver_incarnation; /**< 0: any. */
  int64_t stamp;                 /**< Sender's clock, microseconds. */
  /** Of the messages to this receiver; a repeated one has the same.  0: not
   * repeated. */
  uint64_t number;
};

/** Who is to own a service that the sender gives up. */
struct packet_successor
{
  uint64_t service;
  uint64_t member; /**< 0: whoever ranks first. */
};

struct packet_heartbeat
{
  /** Name, address and failure domain are empty once the receiver has
   * confirmed that it knows them. */
  struct bstr name;
  struct bstr address;
  struct bstr failure_domain;
  int capacity; /**< Of the VM, thousandths of a core. */
  bool leaving;
  bool ready;      /**< Has what it needs to own a service. */
  bool wants_vote; /**< An observer that a place is free for. */
  bool reaches_store;
  int64_t echo;
  uint64_t epoch; /**< Of the list of voters. */
  uint64_t config_version;
  uint64_t revision[OBJECT_KIND_COUNT];
  uint64_t digest[OBJECT_KIND_COUNT];
  struct lease_claim *claims;
  int claim_count;
  struct lease_grant *grants; /**< To the receiver. */
  int grant_count;
  struct packet_successor *successors;
  int successor_count;
  struct limits_usage *demand;
  int demand_count;
};

/** One statement of a caller on its way to the owner. */
struct packet_statement
{
  uint64_t session;  /**< Unique at the entry daemon. */
  uint64_t sequence; /**< Of the statement in the session. */
  struct bstr service;
  struct bstr organisation;
  uint64_t organisation_id; /**< 0: the route is public. */
  enum route_kind kind;
  int timeout_ms;
  int target_ms;
  int priority;
  int stale_ms;
  int idle_transaction_ms;
  enum statement_verb verb;
  bool is_read;
  bool in_transaction;
  struct bstr id;
  struct bstr text;
  struct bstr shape; /**< Of the prepared statement that EXECUTE names. */
  struct bstr arguments;
  struct position own;
  bool has_values; /**< The values have changed since the last one. */
  struct session_value *values;
  int value_count;
};

struct packet_result
{
  uint64_t session;
  uint64_t sequence;
  bool moved; /**< Not run: the sender does not own the service. */
  enum outcome outcome;
  struct bstr text;
  int retry_ms; /**< When to come back after a refusal; 0: unknown. */
  struct bstr *rows;
  int row_count;
  struct bstr signature;
  struct position position;
  bool transaction_lost;
};

struct packet_copy
{
  enum object_kind kind;
  uint64_t revision;
  struct bstr items; /**< Compressed JSON. */
  size_t length;     /**< Of the JSON, in bytes. */
};

struct packet_probe
{
  struct bstr service;
  struct bstr endpoint;
  struct bstr address;
  struct bstr organisation;
  bool reached; /**< PACKET_PROBED only. */
};

/** A commit at the primary by a daemon that no longer owns the service. */
struct packet_commit
{
  uint64_t service;
  uint64_t number; /**< Of the question. */
  struct position position;
  bool noted; /**< PACKET_COMMIT_ANSWER: the present owner counts it. */
};

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
    struct packet_copy copy; /**< PACKET_FETCH: kind only. */
    struct packet_probe probe;
    struct packet_commit commit;
  };
};

/** @return bytes owned by @p parent. */
struct bstr packet_encode (void *parent, const struct packet *message);
/** Strings and arrays are owned by @p parent.
 * @return false if the bytes are no message of this version. */
bool packet_decode (void *parent, struct bstr bytes, struct packet *message);

#endif
