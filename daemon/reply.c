#include "daemon/reply.h"

#include "common/clock.h"
#include "common/json_text.h"

void
reply_json (struct http_request *http, unsigned status, json_t *json,
            size_t flags)
{
  struct bstr text = json_text_take (NULL, json, flags);
  http_reply (http, status, "application/json", text, NULL);
  talloc_free ((void *)(uintptr_t)text.start);
}

const char *
reply_outcome_name (enum outcome outcome)
{
  static const char *const names[] = { "not_run", "ran", "unknown" };
  return names[outcome];
}

void
reply_error (struct http_request *http, unsigned status,
             const char *request_id, enum outcome outcome, const char *code,
             const char *message, int64_t retry_us)
{
  json_t *json = json_object ();
  json_object_set_new (json, "request_id", json_string (request_id));
  json_object_set_new (json, "outcome",
                       json_string (reply_outcome_name (outcome)));
  json_object_set_new (json, "code", json_string (code));
  json_object_set_new (json, "message",
                       json_text_readable (bstr_from (message)));
  if (retry_us > 0)
    json_object_set_new (json, "retry_after_ms",
                         json_integer ((retry_us + 999) / USEC_PER_MSEC));
  reply_json (http, status, json, JSON_COMPACT);
}
