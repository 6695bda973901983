/** @file
 * Statements of the session protocol and their outcomes.  They are independent
 * of a wire protocol, whose words an adapter converts to these types.
 *
 * The session daemon uses these types.  core/types.h has others of the same
 * names (struct position, enum outcome) for the daemon of a cell; no file can
 * include both.
 */
#ifndef CORE_STATEMENT_H
#define CORE_STATEMENT_H

#include "common/bstr.h"

#include <stdint.h>

enum statement_verb
{
  VERB_BEGIN,
  VERB_COMMIT,
  VERB_ROLLBACK,
  VERB_READ,
  VERB_WRITE,
  VERB_SET,
  VERB_PREPARE,
  VERB_EXECUTE,
  VERB_DEALLOCATE,
  VERB_COUNT
};

/** A statement as an adapter has parsed it. */
struct statement
{
  enum statement_verb verb;
  bool reads_only;  /**< BEGIN and PREPARE: declared to read only. */
  struct bstr text; /**< The statement as the caller sent it. */
  struct bstr name; /**< Name of a session value or prepared statement. */
  /** Value of SET, shape (statement with placeholders) of PREPARE, arguments
   * of EXECUTE. */
  struct bstr rest;
};

/** Transaction state of a session. */
enum session_state
{
  SESSION_IDLE,
  SESSION_IN_TRANSACTION,
  SESSION_FAILED /**< The transaction failed; only its end is accepted. */
};

/** Outcome of a statement, as its caller receives it. */
enum outcome
{
  OUTCOME_OK,
  /* Refusals, which promise that nothing that the attempt wrote is kept. */
  OUTCOME_BUSY,
  OUTCOME_ABORTED,
  OUTCOME_BEHIND, /**< The endpoint's log lacks the required position. */
  OUTCOME_NOT_PRIMARY,
  OUTCOME_WRONG_ENDPOINT, /**< It serves another database than expected. */
  OUTCOME_NO_CONNECTION,  /**< The endpoint has no connection left. */
  /* These do not promise that. */
  OUTCOME_UNKNOWN,
  OUTCOME_TIMEOUT,
  OUTCOME_FAILED,       /**< The statement ran and failed. */
  OUTCOME_NOT_PREPARED, /**< Not run: no such prepared statement. */
  /* These are errors of the caller. */
  OUTCOME_NO_ROUTE, /**< No database has the requested name. */
  OUTCOME_NO_KEY,   /**< The key belongs to no organisation. */
  OUTCOME_MALFORMED,
  OUTCOME_COUNT
};

/** @return whether @p outcome promises that nothing that the attempt wrote is
 * kept. */
static inline bool
outcome_is_refusal (enum outcome outcome)
{
  return outcome >= OUTCOME_BUSY && outcome <= OUTCOME_NO_CONNECTION;
}

/** A position in the log of a database group. */
struct position
{
  uint64_t term;   /**< 0: no position. */
  uint64_t number; /**< Sequence number in the log. */
};

/** @return -1, 0 or 1, as for qsort; a later term comes after an earlier one.
 */
static inline int
position_compare (struct position a, struct position b)
{
  if (a.term != b.term)
    return a.term < b.term ? -1 : 1;
  return a.number < b.number ? -1 : a.number > b.number;
}

static inline struct position
position_max (struct position a, struct position b)
{
  return position_compare (a, b) < 0 ? b : a;
}

#endif
