/** @file
 * The life of one request and the outcome that its caller is told.
 * docs/design.md, section 3.3.  The states are in charts/request.chart.
 */
#ifndef CORE_REQUEST_H
#define CORE_REQUEST_H

#include "core/chart.h"
#include "core/types.h"

enum request_event
{
  REQUEST_QUEUED,
  REQUEST_REFUSED, /**< By a limit or a queue, before it was sent; or no
                      endpoint can take the lookup. */
  /** Its deadline passed.  A running request with a key is then looked up;
   * a second expiry ends that. */
  REQUEST_EXPIRED,
  REQUEST_SENT,   /**< The first byte may have reached the endpoint. */
  REQUEST_FENCED, /**< The endpoint refused it before execution. */
  /** The server answered that it was rolled back.  An error that leaves
   * this open, such as a shutdown during COMMIT, is REQUEST_LOST. */
  REQUEST_FAILED,
  REQUEST_ANSWERED, /**< The whole answer with a commit arrived. */
  /** The connection broke before the answer, or, before REQUEST_SENT, could
   * not be opened.  Pause before a repeated send: the core counts only sends
   * that reached REQUEST_SENT. */
  REQUEST_LOST,
  REQUEST_CONFIRMED, /**< ACK_SEND. */
  REQUEST_DISCARDED, /**< ACK_DISCARDED. */
  REQUEST_UNDECIDED, /**< ACK_UNKNOWN. */
  /** Its idempotency key holds a stored answer: found by the lookup or met
   * by its own INSERT. */
  REQUEST_RESOLVED_RAN,
  REQUEST_RESOLVED_NOT_RUN, /**< A tombstone holds its key. */
  /** First event of a lookup alone: a caller asks later about its key. */
  REQUEST_ASKED,
  REQUEST_EVENT_COUNT
};

enum request_step
{
  REQUEST_STEP_NONE,
  REQUEST_STEP_SEND, /**< Send it again; the first send needs no step. */
  /** Ask authority_decide about the newest answer, of the request or of the
   * lookup.  For a read at a replica the guard decides instead. */
  REQUEST_STEP_CONFIRM,
  /** Close its connection if it is open, then look its key up with a
   * tombstone. */
  REQUEST_STEP_RESOLVE,
  REQUEST_STEP_REPLY /**< Tell the caller; see request_outcome. */
};

struct request;

struct request_options
{
  const struct chart *chart;
  bool has_key;   /**< An idempotency key was given. */
  bool read_only; /**< Sending it again is always safe. */
  int max_sends;  /**< At least 1; counts REQUEST_SENT events. */
};

const struct chart_vocabulary *request_vocabulary (void);
struct request *request_create (void *parent,
                                const struct request_options *options);
/** @return the step to take.  An event that is not allowed in the present
 * state, such as a late answer, changes nothing. */
enum request_step request_handle (struct request *r, enum request_event event);
/** Valid after REQUEST_STEP_REPLY. */
enum outcome request_outcome (const struct request *r);
bool request_is_done (const struct request *r);
/** @return the name of the state, for status pages and transcripts. */
const char *request_state (const struct request *r);

#endif
