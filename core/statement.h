/** @file
 * Statements of the session protocol and the outcomes that callers are told.
 * No words of a wire protocol: an adapter turns them into these.
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

struct statement
{
  enum statement_verb verb;
  bool reads_only;  /**< BEGIN and PREPARE: declared as reading. */
  struct bstr text; /**< As the caller sent it. */
  struct bstr name; /**< Value or prepared statement. */
  /** Value of SET, shape of PREPARE, arguments of EXECUTE. */
  struct bstr rest;
};

enum session_state
{
  SESSION_IDLE,
  SESSION_IN_TRANSACTION,
  SESSION_FAILED /**< The transaction failed; only its end is accepted. */
};

/** What a caller is told when a statement has no result. */
enum outcome
{
  OUTCOME_OK,
  /* Promises that nothing of the attempt is kept. */
  OUTCOME_BUSY,
  OUTCOME_ABORTED,
  OUTCOME_BEHIND, /**< The endpoint's log lacks the position. */
  OUTCOME_NOT_PRIMARY,
  OUTCOME_WRONG_ENDPOINT, /**< Another database than the expected one. */
  OUTCOME_NO_CONNECTION,  /**< The endpoint has no connection left. */
  /* No promise. */
  OUTCOME_UNKNOWN,
  OUTCOME_TIMEOUT,
  OUTCOME_FAILED,       /**< The statement ran and failed. */
  OUTCOME_NOT_PREPARED, /**< Not run: no such prepared statement. */
  /* The caller's own mistake. */
  OUTCOME_NO_ROUTE,
  OUTCOME_NO_KEY,
  OUTCOME_MALFORMED,
  OUTCOME_COUNT
};

/** @return whether @p outcome promises that nothing is kept. */
static inline bool
outcome_is_refusal (enum outcome outcome)
{
  return outcome >= OUTCOME_BUSY && outcome <= OUTCOME_NO_CONNECTION;
}

/** A place in the log of a database group. */
struct position
{
  uint64_t term; /**< 0: none. */
  uint64_t number;
};

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
