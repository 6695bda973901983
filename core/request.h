/** @file
 * The states of one request from its arrival to the reply, and the outcome
 * that is reported to its caller.  See docs/design.md, section 3.3.  The
 * states and transitions are in charts/request.chart.
 */
#ifndef CORE_REQUEST_H
#define CORE_REQUEST_H

#include "core/chart.h"
#include "core/types.h"

/** What happened to a request.  A lookup asks the endpoint what became of
 * the idempotency key, and inserts a tombstone under the key if nothing is
 * stored there. */
enum request_event
{
  REQUEST_QUEUED, /**< The request waits in a queue until it can be sent. */
  /** A limit or a queue refused the request before it was sent, or no
   * endpoint can take the lookup. */
  REQUEST_REFUSED,
  /** The deadline of the request passed.  The key of a running request that
   * has one is then looked up; a second expiry ends the lookup. */
  REQUEST_EXPIRED,
  /** The request was sent: its first byte may have reached the endpoint. */
  REQUEST_SENT,
  /** The endpoint refused the request before execution. */
  REQUEST_FENCED,
  /** The server answered that the request was rolled back.  An error that
   * leaves this open, such as a shutdown during COMMIT, is REQUEST_LOST. */
  REQUEST_FAILED,
  /** The whole answer arrived, and the server reported the commit. */
  REQUEST_ANSWERED,
  /** The connection broke before the answer or, before REQUEST_SENT, could
   * not be opened.  The daemon must pause before it sends the request again,
   * as max_sends limits only attempts that reached REQUEST_SENT. */
  REQUEST_LOST,
  REQUEST_CONFIRMED, /**< The authority decided ACK_SEND. */
  REQUEST_DISCARDED, /**< The authority decided ACK_DISCARDED. */
  REQUEST_UNDECIDED, /**< The authority decided ACK_UNKNOWN. */
  /** An answer is stored under the idempotency key: the lookup found it, or
   * the INSERT of the request itself conflicted with it. */
  REQUEST_RESOLVED_RAN,
  /** A tombstone is stored under the idempotency key. */
  REQUEST_RESOLVED_NOT_RUN,
  /** The caller of an earlier request asks what became of its key.  This is
   * the first event of a lookup without a request. */
  REQUEST_ASKED,
  REQUEST_EVENT_COUNT
};

/** What to do next about a request. */
enum request_action
{
  REQUEST_ACTION_NONE,
  /** Send the request again; the first send needs no action. */
  REQUEST_ACTION_SEND,
  /** Call authority_decide for the newest answer, of the request or of the
   * lookup.  For a read at a replica the guard decides instead. */
  REQUEST_ACTION_CONFIRM,
  /** Close the connection of the request if it is open, then look its key up
   * with a tombstone. */
  REQUEST_ACTION_RESOLVE,
  /** Reply to the caller with request_outcome. */
  REQUEST_ACTION_REPLY
};

/** State of one request. */
struct request;

struct request_options
{
  const struct chart *chart;
  bool has_key;   /**< The caller gave an idempotency key. */
  bool read_only; /**< The request is a read: a repeated send is safe. */
  int max_sends;  /**< Largest number of REQUEST_SENT events, at least 1. */
};

/** @return the names that charts/request.chart must use. */
const struct chart_vocabulary *request_vocabulary (void);
struct request *request_create (void *parent,
                                const struct request_options *options);
/** Apply an event.  An event that the current state does not allow, such as
 * a late answer, changes nothing.
 * @return the action to take. */
enum request_action request_handle_event (struct request *r,
                                          enum request_event event);
/** @return the outcome for the caller; valid after REQUEST_ACTION_REPLY. */
enum outcome request_outcome (const struct request *r);
/** @return whether the request reached a final state. */
bool request_is_done (const struct request *r);
/** @return the name of the state, for status pages and transcripts. */
const char *request_state (const struct request *r);

#endif
