/** @file
 * JSON replies to callers and operators.
 */
#ifndef DAEMON_REPLY_H
#define DAEMON_REPLY_H

#include "core/types.h"
#include "net/http.h"

#include <jansson.h>

/** Reply with @p json and release the reference to it.
 * @param flags as for json_dumps. */
void reply_json (struct http_request *http, unsigned status, json_t *json,
                 size_t flags);

/** @return the name of @p outcome in replies to callers. */
const char *reply_outcome_name (enum outcome outcome);

/** Reply with an error.
 * @param retry_us time after which a retry may succeed; 0: unknown, the
 * reply names none. */
void reply_error (struct http_request *http, unsigned status,
                  const char *request_id, enum outcome outcome,
                  const char *code, const char *message, int64_t retry_us);

#endif
