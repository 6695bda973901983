/** @file
 * JSON answers to callers and operators.
 */
#ifndef DAEMON_REPLY_H
#define DAEMON_REPLY_H

#include "core/types.h"
#include "net/http.h"

#include <jansson.h>

/** Answer with @p json and drop the reference to it.
 * @param flags of json_dumps. */
void reply_json (struct http_request *http, unsigned status, json_t *json,
                 size_t flags);

/** @return the name of an outcome as callers see it. */
const char *reply_outcome_name (enum outcome outcome);

/** Answer with an error.
 * @param retry_us when a new try may succeed, 0 if that is not known. */
void reply_error (struct http_request *http, unsigned status,
                  const char *request_id, enum outcome outcome,
                  const char *code, const char *message, int64_t retry_us);

#endif
