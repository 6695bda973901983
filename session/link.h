/** @file
 * A link: one connection to an endpoint, for one organisation.  Before a
 * statement runs, the link sets the connection's values and prepared
 * statements to those of the caller's session, in the same round trip.
 */
#ifndef SESSION_LINK_H
#define SESSION_LINK_H

#include "core/answers.h"
#include "core/session.h"
#include "session/sessiond.h"

struct link;

/** What an endpoint is asked to do over a link. */
enum link_task
{
  LINK_START, /**< Open the session. */
  LINK_RESET, /**< Forget session values and prepared statements. */
  LINK_SET,   /**< Set a session value. */
  LINK_PREPARE,
  LINK_STATEMENT, /**< Run a statement of a caller, also BEGIN. */
  LINK_ROLLBACK,  /**< Roll back without a statement of the caller. */
  LINK_STATUS
};

/** A statement to run. */
struct link_request
{
  enum statement_verb verb;
  bool reads_only;
  bool in_transaction; /**< A transaction is open on the connection. */
  struct bstr id;      /**< Id of the statement. */
  struct bstr text;
  struct bstr shape; /**< EXECUTE: shape of the prepared statement. */
  struct bstr arguments;
  struct position after; /**< The endpoint's log must reach this position;
                            term 0: run at any position. */
  const struct session_value *values;
  int value_count;
  /** The endpoint is known to send answers twice: no statement may follow a
   * BEGIN READ whose answer may be a copy. */
  bool is_strict;
};

/** The answer of an endpoint; valid during the callback. */
struct link_answer
{
  enum link_task task;
  enum outcome outcome;
  struct bstr text; /**< Error text; empty on success. */
  struct bstr *rows;
  int row_count;
  struct bstr signature; /**< Text of the COMPLETE line. */
  enum session_state state;
  struct position position; /**< Position of the endpoint's log; term 0: not
                               given. */
  /** The connection is to be closed: another answer may still come on it. */
  bool is_last;
};

/** How a connection ended. */
struct link_loss
{
  enum outcome outcome; /**< Why the endpoint refused START; OUTCOME_OK: it did
                           not. */
  bool was_connected;   /**< Requests that were sent may have arrived. */
  /** The endpoint answered, but it cannot be told what the answer belongs
   * to. */
  bool is_doubtful;
  /** The statement ran, but not in its transaction, and its write may be
   * kept. */
  bool may_be_kept;
  const char *reason;
};

/** Callbacks of a link. */
struct link_ops
{
  /** A task other than LINK_SET, LINK_PREPARE or LINK_RESET has ended.  The
   * link may be freed in the call. */
  void (*answered) (void *data, struct link *link,
                    const struct link_answer *answer);
  /** The endpoint sent an answer a second time; NULL: not wanted. */
  void (*repeated) (void *data);
  /** The connection ended; the link is freed after the call. */
  void (*lost) (void *data, struct link *link, const struct link_loss *loss);
};

/** What a connection is wanted for. */
struct link_use
{
  bool writes;              /**< A write, or a transaction that may write. */
  bool begins;              /**< A transaction whose BEGIN must be certain. */
  struct position position; /**< Newest known position of the endpoint. */
};

/** What a link connects to, and its callbacks. */
struct link_options
{
  struct sessiond *sessiond;
  const char *service;
  struct bstr organisation;
  const char *endpoint; /**< Id that the endpoint must have. */
  const char *address;  /**< Address to connect to. */
  const struct link_ops *ops;
  void *data;
};

/** Open a connection. @return NULL if it cannot be started. */
struct link *link_open (void *parent, const struct link_options *options,
                        struct error *err);
/** Run a statement; one at a time on a link. */
void link_run (struct link *l, const struct link_request *request);
/** Roll back the open transaction without a statement of the caller;
 * @c answered is called when it has ended. */
void link_rollback (struct link *l);
/** Send STATUS to the endpoint. */
void link_request_status (struct link *l);
/** Close the connection; the endpoint rolls back an open transaction.  No
 * callback follows. */
void link_close (struct link *l);

/** @return number of values that must be set before a statement with
 * @p values can run; -1 if the connection must be reset first. */
int link_setup_cost (const struct link *l, const struct session_value *values,
                     int value_count);
/** @return whether the answers to the use can be told from copies of answers
 * that came on the connection before. */
bool link_suits (const struct link *l, const struct link_use *use);
/** @return whether no answer is outstanding. */
bool link_is_idle (const struct link *l);
/** @return whether the endpoint has accepted the session. */
bool link_is_started (const struct link *l);
struct bstr link_organisation (const struct link *l);

#endif
