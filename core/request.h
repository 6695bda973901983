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
  REQUEST_REFUSED,      /**< By a limit or a queue, before it was sent. */
  REQUEST_EXPIRED,      /**< Its deadline passed. */
  REQUEST_SENT,         /**< The first byte may have reached the endpoint. */
  REQUEST_FENCED,       /**< The endpoint refused it before execution. */
  REQUEST_FAILED,       /**< The statement failed; it was rolled back. */
  REQUEST_ANSWERED,     /**< The whole answer with a commit arrived. */
  REQUEST_LOST,         /**< The connection broke before the answer. */
  REQUEST_CONFIRMED,    /**< ACK_SEND. */
  REQUEST_DISCARDED,    /**< ACK_DISCARDED. */
  REQUEST_UNDECIDED,    /**< ACK_UNKNOWN. */
  REQUEST_RESOLVED_RAN, /**< Found by its idempotency key. */
  REQUEST_RESOLVED_NOT_RUN, /**< A tombstone now holds its key. */
  REQUEST_EVENT_COUNT
};

enum request_step
{
  REQUEST_STEP_NONE,
  REQUEST_STEP_SEND,    /**< Send it, or send it again. */
  REQUEST_STEP_CONFIRM, /**< Ask authority_decide. */
  REQUEST_STEP_RESOLVE, /**< Look its key up with a tombstone. */
  REQUEST_STEP_REPLY    /**< Tell the caller; see request_outcome. */
};

struct request;

struct request_options
{
  const struct chart *chart;
  bool has_key;   /**< An idempotency key was given. */
  bool read_only; /**< Sending it again is always safe. */
  int max_sends;
};

const struct chart_vocabulary *request_vocabulary (void);
struct request *request_create (void *parent,
                                const struct request_options *options);
enum request_step request_handle (struct request *r, enum request_event event);
/** Valid after REQUEST_STEP_REPLY. */
enum outcome request_outcome (const struct request *r);
bool request_is_done (const struct request *r);

#endif
