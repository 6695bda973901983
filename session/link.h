/** @file
 * One connection to an endpoint, for one organisation.  Before a statement
 * runs, the link brings the connection's values and prepared statements in
 * line with those of the caller's session, in the same round trip.
 */
#ifndef SESSION_LINK_H
#define SESSION_LINK_H

#include "core/session.h"
#include "session/sessiond.h"

struct link;

enum link_task
{
  LINK_START, /**< The connection is open. */
  LINK_RESET,
  LINK_SET,
  LINK_PREPARE,
  LINK_STATEMENT, /**< Of a caller, and BEGIN on its behalf. */
  LINK_ROLLBACK,
  LINK_STATUS
};

/** A statement to run. */
struct link_request
{
  enum statement_verb verb;
  bool reads_only;
  bool in_transaction; /**< A transaction is open on the link. */
  struct bstr id;
  struct bstr text;
  struct bstr shape; /**< EXECUTE: of the prepared statement. */
  struct bstr arguments;
  struct position after; /**< Term 0: run on any log. */
  const struct session_value *values;
  int value_count;
};

/** What an endpoint answered; valid during the call. */
struct link_answer
{
  enum link_task task;
  enum outcome outcome;
  struct bstr text;
  struct bstr *rows;
  int row_count;
  struct bstr signature;
  enum session_state state;
  struct position position;
};

struct link_loss
{
  enum outcome outcome; /**< Why START was refused, OUTCOME_OK otherwise. */
  bool was_connected;   /**< What was sent may have arrived. */
  const char *reason;
};

struct link_ops
{
  /** A task other than LINK_SET, LINK_PREPARE or LINK_RESET has ended.  The
   * link may be freed in the call. */
  void (*answered) (void *data, struct link *link,
                    const struct link_answer *answer);
  /** The connection ended; the link is freed after the call. */
  void (*lost) (void *data, struct link *link, const struct link_loss *loss);
};

struct link_options
{
  struct relay *relay;
  const char *service;
  struct bstr organisation;
  const char *endpoint; /**< Expected id. */
  const char *address;
  const struct link_ops *ops;
  void *data;
};

/** @return NULL if no connection can be tried. */
struct link *link_open (void *parent, const struct link_options *options,
                        struct error *err);
/** Run a statement; one at a time. */
void link_run (struct link *l, const struct link_request *request);
/** Roll back what is open, without waiting for a statement. */
void link_rollback (struct link *l);
void link_status (struct link *l);
/** Close; the endpoint rolls back what is open.  No callback follows. */
void link_close (struct link *l);

/** @return statements needed before one with these values and shape can
 * run; -1 if the link must be reset first. */
int link_distance (const struct link *l, const struct session_value *values,
                   int value_count);
bool link_is_idle (const struct link *l);
bool link_is_started (const struct link *l);
struct bstr link_organisation (const struct link *l);

#endif
