/** @file
 * Account of the bytes that a process holds for its clients, without network,
 * clock or threads.  One account covers all clients and directions; each
 * client has an account of its own.  The owner of the connections reports
 * sizes and asks whether to read on and whom to close.
 *
 * Recording is an addition; only memory_account_worst looks at all clients,
 * and it is called only while the account is over its limit.
 */
#ifndef CORE_MEMORY_ACCOUNT_H
#define CORE_MEMORY_ACCOUNT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** What bytes are held for. */
enum memory_use
{
  MEMORY_RECEIVED, /**< Received and not handled: a message that has begun. */
  MEMORY_QUEUED,   /**< Messages that wait for the running statement. */
  MEMORY_RUNNING,  /**< Statements and answers in progress. */
  MEMORY_KEPT,     /**< Values and prepared statements of the session. */
  MEMORY_UNSENT,   /**< Answers that the socket has not accepted. */
  MEMORY_USES
};

/** Which limit a client has broken. */
enum memory_verdict
{
  MEMORY_FITS,
  MEMORY_CLIENT_OVER, /**< The client holds more than one may. */
  MEMORY_TOTAL_OVER   /**< All hold more than they may; close the worst. */
};

struct memory_account_options
{
  size_t limit;        /**< Bytes of all clients together. */
  size_t client_limit; /**< Bytes of one client; 0: no limit. */
  /** Bytes that wait or are unsent, from which a client is not read; 0: it is
   * always read. */
  size_t pause_bytes;
  /** A client is closed to make room only if it holds as much. */
  size_t offender_bytes;
};

/** Account of all clients. */
struct memory_account;

/** Account of one client, embedded in the client. */
struct memory_client
{
  struct memory_client *next, **prev_next; /**< NULL: it is in no account. */
  size_t bytes[MEMORY_USES];
  size_t total;
  void *owner; /**< For the module's user; not used by the module. */
};

/** Bytes that belong to no client, such as a statement of another daemon. */
struct memory_charge;

struct memory_account *
memory_account_create (void *parent,
                       const struct memory_account_options *options);
/** @return bytes held at present. */
size_t memory_account_total (const struct memory_account *a);
size_t memory_account_limit (const struct memory_account *a);
/** @return whether there is room for another @p bytes. */
bool memory_account_has_room (const struct memory_account *a, size_t bytes);
/** Hold @p bytes until the result, a child of @p parent, is freed. */
struct memory_charge *memory_account_charge (struct memory_account *a,
                                             void *parent, size_t bytes);
/** @return the client to close so that the others are served: the one that
 * holds most; among equals one whose message is not complete.  NULL: the
 * account is within its limit, or no client holds much.  To keep scans rare,
 * the account counts as over until an eighth of the limit is free. */
struct memory_client *memory_account_worst (struct memory_account *a);
/** Bytes released since the largest total, or since the last call that
 * returned true, are worth returning to the system.
 * @return whether freed memory should be given back now. */
bool memory_account_should_trim (struct memory_account *a);

/** Add a zeroed client to the account. */
void memory_client_add (struct memory_account *a, struct memory_client *c);
/** Take a client and its bytes out of the account. */
void memory_client_remove (struct memory_account *a, struct memory_client *c);
/** Set the bytes held for one use. */
enum memory_verdict memory_client_set (struct memory_account *a,
                                       struct memory_client *c,
                                       enum memory_use use, size_t bytes);
/** @return whether to read from the client: not while its messages wait or
 * its answers are not taken.  Both end without further input, so that a pause
 * always ends. */
bool memory_client_may_read (const struct memory_account *a,
                             const struct memory_client *c);

#endif
