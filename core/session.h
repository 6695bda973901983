/** @file
 * State of one caller's session: session values, prepared statements and the
 * open transaction.  Decides which statements are answered without an
 * endpoint.
 */
#ifndef CORE_SESSION_H
#define CORE_SESSION_H

#include "core/statement.h"

/* Limits of one session, so that no caller can exhaust the memory. */
#define SESSION_MAX_VALUES 64
#define SESSION_MAX_PREPARED 256
/** Bytes of all values and prepared statements together.  With the values, a
 * statement must fit into a message between daemons. */
#define SESSION_MAX_BYTES ((size_t)4 << 20)

/** A value that the caller has set with SET. */
struct session_value
{
  struct bstr name;
  struct bstr value;
};

/** A prepared statement. */
struct session_prepared
{
  /** Name that the caller chose; several callers may choose the same one. */
  struct bstr name;
  struct bstr shape; /**< Statement with placeholders, as given in PREPARE. */
  bool reads_only;
};

/** State of a session. */
struct session
{
  enum session_state state;
  bool has_written; /**< The open transaction contains a write. */
  /** Newest position returned for a statement outside a transaction, reads
   * included, or for the COMMIT of a transaction with a write.  Later reads
   * need a log that has reached it. */
  struct position own;
  struct session_value *values;
  int value_count;
  bool values_changed; /**< Values were set since the last statement that was
                          sent to the owner. */
  struct session_prepared *prepared;
  int prepared_count;
  size_t bytes; /**< Of the names and texts of values and prepared
                   statements. */
};

/** What to do with a statement. */
enum session_action
{
  SESSION_ANSWER,  /**< Report success; the session has completed it. */
  SESSION_REFUSE,  /**< Refuse it with session_step.outcome. */
  SESSION_FORWARD, /**< Send it to the service's owner. */
  SESSION_OPEN     /**< Report success at once, and open the transaction at
                      the owner. */
};

/** Decision about one statement. */
struct session_step
{
  enum session_action action;
  enum outcome outcome; /**< For SESSION_REFUSE. */
  bool is_read;         /**< For BEGIN: the transaction only reads. */
  const struct session_prepared *prepared; /**< For EXECUTE, else NULL. */
};

struct session *session_create (void *parent);
/** Decides what to do with @p statement, and updates the state for a statement
 * that is answered here. */
struct session_step session_decide (struct session *s,
                                    const struct statement *statement);
/** Records the owner's answer to a statement that was sent to it. */
void session_record_result (struct session *s,
                            const struct statement *statement,
                            enum outcome outcome, struct position position);
/** Records that the open transaction is lost. */
void session_fail_transaction (struct session *s);

#endif
