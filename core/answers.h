/** @file
 * Decides which request an answer on a connection belongs to.  An endpoint
 * answers requests in their order, but may send an answer a second time, whole
 * and at any later moment, so that the oldest outstanding request need not be
 * the one that is answered.
 *
 * Each run of a statement has a signature of its own: an answer whose
 * signature came before is a copy.  Other answers are compared by their
 * content, with the position of the log: one that came before, at the newest
 * position that the connection has seen, cannot be told from its copy.
 */
#ifndef CORE_ANSWERS_H
#define CORE_ANSWERS_H

#include "core/statement.h"

/** What an answer to a request looks like. */
struct answer_form
{
  bool is_start; /**< Only READY, or an error. */
  bool is_signed;
  bool has_row; /**< It is not signed and has a row. */
  /** Whether another unsigned answer may take its place: a later signed answer
   * shows that the request was done, or nothing depends on the answer. */
  bool is_replaceable;
  enum session_state success_state;
  /** The request begins or ends a transaction: any state may follow an error.
   * Otherwise an error leaves an idle session idle, and no other one. */
  bool changes_state;
  /** A success is not before this position, unless it has none. */
  struct position after;
};

/** How an answer ends before READY. */
enum answer_end
{
  ANSWER_BARE, /**< With READY only. */
  ANSWER_COMPLETE,
  ANSWER_ERROR
};

/** An answer as it was received. */
struct answer_received
{
  enum answer_end end;
  struct bstr signature; /**< ANSWER_COMPLETE; empty: not signed. */
  enum outcome outcome;  /**< ANSWER_ERROR. */
  struct bstr text;      /**< ANSWER_ERROR. */
  const struct bstr *rows;
  int row_count;
  enum session_state state;
  struct position position;
};

enum answer_verdict
{
  ANSWER_OWN,      /**< It belongs to the oldest outstanding request. */
  ANSWER_COPY,     /**< It repeats an earlier one; to be ignored. */
  ANSWER_DOUBTFUL, /**< It may be either. */
  ANSWER_WRONG     /**< It belongs to no request and repeats none. */
};

/** The answers that came on one connection. */
struct answers;

struct answers *answers_create (void *parent);

/** Judge an answer, and remember it.
 * @param form of the oldest outstanding request; NULL: none is outstanding. */
enum answer_verdict answers_judge (struct answers *answers,
                                   const struct answer_form *form,
                                   const struct answer_received *received);

/** @return whether an answer was accepted that may have been a copy, and no
 * signed one came since.  After an error the connection must not be used then:
 * another answer may still come. */
bool answers_are_unsure (const struct answers *answers);

/** @return whether an error has come on the connection.  The same error could
 * then be taken for a copy. */
bool answers_have_error (const struct answers *answers);

/** @return whether BEGIN was answered on the connection at the newest position
 * that it has seen, unless the endpoint is known to be at a later one; also
 * if it was answered without a position. */
bool answers_repeat_begin (const struct answers *answers,
                           struct position endpoint);

#endif
