/** @file
 * State of one caller's session: values, prepared statements, transaction.
 * Decides which statements are answered without an endpoint.
 */
#ifndef CORE_SESSION_H
#define CORE_SESSION_H

#include "core/statement.h"

/** Bounds of one session, against callers that fill memory. */
#define SESSION_MAX_VALUES 64
#define SESSION_MAX_PREPARED 256

struct session_value
{
  struct bstr name;
  struct bstr value;
};

struct session_prepared
{
  struct bstr name; /**< The caller's; names of callers collide. */
  struct bstr shape;
  bool reads_only;
};

struct session
{
  enum session_state state;
  bool has_written;    /**< In the open transaction. */
  struct position own; /**< Newest write of this session. */
  struct session_value *values;
  int value_count;
  bool values_changed; /**< Since the last statement that was sent on. */
  struct session_prepared *prepared;
  int prepared_count;
};

enum session_action
{
  SESSION_ANSWER,  /**< Completed here, without an endpoint. */
  SESSION_REFUSE,  /**< Refused here with session_step.outcome. */
  SESSION_FORWARD, /**< To be sent to the service's owner. */
  SESSION_OPEN     /**< Completed here, and the transaction opened there. */
};

struct session_step
{
  enum session_action action;
  enum outcome outcome;
  bool is_read;
  const struct session_prepared *prepared; /**< EXECUTE only. */
};

struct session *session_create (void *parent);
/** Decide what happens to @p statement and change the state for what is
 * answered here. */
struct session_step session_take (struct session *s,
                                  const struct statement *statement);
/** The owner answered a statement that was sent on. */
void session_result (struct session *s, const struct statement *statement,
                     enum outcome outcome, struct position position);
/** The open transaction is lost. */
void session_fail (struct session *s);

#endif
