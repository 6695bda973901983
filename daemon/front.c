#include "daemon/front.h"

#include "common/clock.h"
#include "common/log.h"
#include "daemon/call.h"
#include "daemon/query.h"
#include "daemon/reply.h"
#include "daemon/transaction.h"

#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>

#define PART "front"
/* An idle HTTP connection is closed after this time. */
#define CONNECTION_IDLE_SECONDS 300
#define MAX_REQUEST_ID_BYTES 64
/* Bytes held for callers, in MB, if the memory of the VM is not known. */
#define DEFAULT_CLIENT_MEMORY_MB 1024
/* A connection is closed to make room only if it holds this many bytes. */
#define OFFENDER_BYTES ((size_t)16 << 10)
/* Large requests are refused from this part below the limit of memory on, so
   that they are told before connections have to be closed. */
#define MEMORY_RESERVE 4

/** State of the callers' HTTP interface. */
struct front
{
  struct http_handler handler; /**< First, as callbacks cast it to front. */
  struct daemon *daemon;
  struct http_server *server;
  struct memory_account *memory;   /**< Bytes held for callers. */
  struct pending_request *waiting; /**< Requests that wait for the budget. */
  bool draining;                   /**< New requests are refused. */
};

/** A request that was received but is neither queued nor answered yet. */
struct pending_request
{
  /** Links of the waiting list; prev_next is NULL outside the list. */
  struct pending_request *next, **prev_next;
  struct tevent_timer *timer;
  struct front *front;
  struct http_request *http;
  char request_id[MAX_REQUEST_ID_BYTES + 1];
  struct query *query;
  struct group *group;
  struct organisation *organisation;
  char key_id[KEY_ID_LENGTH + 1];
  struct token token; /**< Session token; empty if none was sent. */
  int64_t deadline;
  int64_t first_admit_at;  /**< Time of the first call of budget_admit. */
  bool admit_was_tried;    /**< budget_admit was called for the request. */
  struct bstr transaction; /**< Id of its transaction; NULL: none. */
  bool begins_transaction; /**< The request opens a transaction. */
  char *lookup_key; /**< Key of GET /v1/requests/<key>; NULL: other route. */
};

/* Replies with an error before anything was run, and frees the request. */
static void
refuse (struct pending_request *r, unsigned status, const char *code,
        const char *message, int64_t retry_us)
{
  reply_error (r->http, status, r->request_id, OUTCOME_NOT_RUN, code, message,
               retry_us);
  talloc_free (r);
}

/* Takes the request id from the header if it is printable and not too long,
   and creates one otherwise. */
static void
choose_request_id (struct pending_request *r)
{
  struct bstr given = http_header_value (r->http, "Azurewind-Request-Id");
  if (given.len > 0 && given.len <= MAX_REQUEST_ID_BYTES)
    {
      bool printable = true;
      for (size_t i = 0; i < given.len; i++)
        printable = printable && given.start[i] > ' ' && given.start[i] < 127;
      if (printable)
        {
          memcpy (r->request_id, given.start, given.len);
          return;
        }
    }
  snprintf (r->request_id, sizeof r->request_id, "%016" PRIx64,
            daemon_random_id ());
}

/* Returns the API key of the Authorization header; empty: none. */
static struct bstr
bearer_key (const struct http_request *http)
{
  struct bstr value = http_header_value (http, "Authorization");
  if (!bstr_starts_with (value, "Bearer "))
    return (struct bstr){ NULL, 0 };
  return bstr_skip (value, strlen ("Bearer "));
}

/* Checks the caller's API key.
   @return the name of its organisation, NULL if the request was refused. */
static const char *
check_key (struct pending_request *r, struct bstr key)
{
  struct daemon *d = r->front->daemon;
  const struct key *key_entry = NULL;
  if (key.len == 0)
    {
      refuse (r, 401, "unauthenticated", "no key was given", 0);
      return NULL;
    }
  enum key_verdict verdict
      = d->keys != NULL ? keys_find (d->keys, key, &key_entry) : KEY_UNKNOWN;
  if (verdict != KEY_VALID)
    {
      bool revoked = verdict == KEY_REVOKED;
      refuse (r, 401, revoked ? "key_revoked" : "unauthenticated",
              revoked ? "the key is revoked" : "the key is unknown", 0);
      return NULL;
    }
  memcpy (r->key_id, key_entry->id, sizeof r->key_id);
  return key_entry->organisation;
}

/* Checks a key that is given, before anything is said about the body.  A
   caller without a key may read from services that allow it.  A daemon without
   a configuration cannot tell, and says so later.
   @return false if the request was refused. */
static bool
admit_caller (struct pending_request *r)
{
  struct bstr key = bearer_key (r->http);
  return key.len == 0 || r->front->daemon->settings == NULL
         || check_key (r, key) != NULL;
}

/* Refuses a request whose body is malformed; a caller without a key learns
   nothing about the body. */
static void
refuse_body (struct pending_request *r, const char *code, const char *text)
{
  if (bearer_key (r->http).len == 0)
    refuse (r, 401, "unauthenticated", "no key was given", 0);
  else
    refuse (r, 400, code, text, 0);
}

/* Determines the organisation of the request from its key, or refuses the
   request.  A read without a key belongs to the service's open organisation,
   if the service allows open reads. */
static bool
authenticate (struct pending_request *r, bool is_read)
{
  struct bstr key = bearer_key (r->http);
  const struct group *g = r->group;
  const char *name = NULL;
  if (key.len == 0 && is_read && g != NULL && g->values.open_reads)
    name = g->open_organisation;
  if (name == NULL)
    name = check_key (r, key);
  if (name == NULL)
    return false;
  if (r->group == NULL)
    return true;
  r->organisation = group_organisation (r->group, bstr_from (name));
  if (r->organisation == NULL || !r->organisation->values.enabled)
    {
      refuse (r, 403, "forbidden", "the organisation may not use this service",
              0);
      return false;
    }
  return true;
}

/* Finds the enabled group of a service, or refuses the request. */
static bool
find_group (struct pending_request *r, struct bstr service)
{
  struct daemon *d = r->front->daemon;
  if (d->settings == NULL)
    {
      refuse (r, 503, "no_configuration",
              "the daemon has no configuration yet", USEC_PER_SEC);
      return false;
    }
  r->group = group_find (d, service);
  const struct settings_service *service_settings
      = settings_find_service (d->settings, service);
  if (r->group == NULL && service_settings != NULL)
    {
      refuse (r, 421, "other_cell",
              "the daemons of another cell serve this service", 0);
      return false;
    }
  if (r->group == NULL || !r->group->values.enabled)
    {
      refuse (r, 404, "unknown_service", "the service does not exist", 0);
      return false;
    }
  group_add_user (r, r->group);
  return true;
}

/* Decodes the Azurewind-Session header if there is one. */
static bool
decode_session_token (struct pending_request *r)
{
  struct error err = { 0 };
  struct bstr text = http_header_value (r->http, "Azurewind-Session");
  if (text.len == 0)
    return true;
  if (token_decode (r, text, bstr_from (r->organisation->name),
                    r->front->daemon->token_key, &r->token, &err))
    return true;
  refuse (r, 400, "invalid_session", err.text, 0);
  return false;
}

/* Turns the request into a call that runs its statements or looks up an
   earlier outcome. */
static void
start_call (struct pending_request *r)
{
  const struct query *q = r->query;
  int64_t now = clock_now ();
  bool lookup = r->lookup_key != NULL;
  struct call_options options = {
    .group = r->group,
    .organisation = r->organisation,
    .http = r->http,
    .request_id = r->request_id,
    .key_id = r->key_id,
    .key = lookup ? bstr_from (r->lookup_key) : q->key,
    .is_read = !lookup && q->is_read,
    .freshness = lookup ? FRESHNESS_READ_YOUR_WRITES : q->freshness,
    .max_staleness_us = lookup ? 0 : q->max_staleness_us,
    .deadline_us = r->deadline > now ? r->deadline - now : 1,
    .token = &r->token,
  };
  struct call *c = call_create (&options);
  talloc_steal (c, r);
  if (lookup)
    {
      call_lookup (c);
      return;
    }
  for (int i = 0; i < q->statement_count; i++)
    call_add_statement (c, q->statements[i].sql, q->statements[i].params,
                        q->statements[i].param_count);
  call_start (c);
}

static void admit_request (struct pending_request *r);

/* Removes the request from the waiting list. */
static void
stop_waiting (struct pending_request *r)
{
  if (r->prev_next == NULL)
    return;
  *r->prev_next = r->next;
  if (r->next != NULL)
    r->next->prev_next = r->prev_next;
  r->prev_next = NULL;
  TALLOC_FREE (r->timer);
}

static void
on_budget_timer (struct tevent_context *ev, struct tevent_timer *te,
                 struct timeval now, void *data)
{
  (void)ev, (void)te, (void)now;
  struct pending_request *r = data;
  r->timer = NULL;
  stop_waiting (r);
  admit_request (r);
}

/* Adds the request to the waiting list for at most wait_us. */
static void
wait_for_budget (struct pending_request *r, int64_t wait_us)
{
  struct front *f = r->front;
  r->next = f->waiting;
  r->prev_next = &f->waiting;
  if (r->next != NULL)
    r->next->prev_next = &r->next;
  f->waiting = r;
  r->timer = daemon_add_timer (f->daemon, r, wait_us, on_budget_timer, r);
}

void
front_retry_waiting (struct daemon *d)
{
  /* The list is emptied first, because admit_request adds a request that
     still has to wait to it again. */
  struct pending_request *list = NULL;
  while (d->front != NULL && d->front->waiting != NULL)
    {
      struct pending_request *r = d->front->waiting;
      stop_waiting (r);
      r->next = list;
      list = r;
    }
  while (list != NULL)
    {
      struct pending_request *r = list;
      list = r->next;
      admit_request (r);
    }
}

/* Finds the transaction of the request, or refuses the request.  Called
   again after a wait for the budget, as the transaction may have ended
   meanwhile. */
static struct transaction *
find_transaction (struct pending_request *r)
{
  struct transaction *t = transaction_find (r->front->daemon, r->transaction);
  if (t == NULL || !transaction_belongs_to (t, r->key_id, r->http->connection))
    {
      refuse (r, 404, "unknown_transaction",
              "no such transaction on this connection", 0);
      return NULL;
    }
  if (transaction_is_busy (t))
    {
      refuse (r, 409, "transaction_busy",
              "the transaction is running another request", 0);
      return NULL;
    }
  return t;
}

static void
run_in_transaction (struct pending_request *r)
{
  struct transaction *t = find_transaction (r);
  if (t == NULL)
    return;
  struct query *q = talloc_steal (t, r->query);
  transaction_query (t, r->http, r->request_id, q);
  talloc_free (r);
}

/* Runs a request that the rate limit let through. */
static void
run_admitted (struct pending_request *r)
{
  if (r->transaction.start != NULL)
    {
      run_in_transaction (r);
      return;
    }
  if (!r->begins_transaction)
    {
      start_call (r);
      return;
    }
  struct transaction_options options = {
    .group = r->group,
    .organisation = r->organisation,
    .http = r->http,
    .request_id = r->request_id,
    .key_id = r->key_id,
    .deadline = r->deadline,
  };
  transaction_start (&options);
  talloc_free (r);
}

/* Returns the time since the first call of budget_admit for the request, at
   least 1, as 0 stands for that first call. */
static int64_t
waited_us (const struct pending_request *r, int64_t now)
{
  return now > r->first_admit_at ? now - r->first_admit_at : 1;
}

/* Takes one token of the organisation's rate limit and runs the request.  If
   this member has no token left, the request waits for tokens of a peer or is
   refused. */
static void
admit_request (struct pending_request *r)
{
  struct daemon *d = r->front->daemon;
  int64_t now = clock_now ();
  bool lease = cell_lease_valid (d->cell, now);
  if (!lease)
    {
      refuse (r, 503, "isolated",
              "this daemon cannot reach a majority of its cell", USEC_PER_SEC);
      return;
    }
  if (r->admit_was_tried && !keys_is_active (d->keys, r->key_id))
    {
      refuse (r, 401, "key_revoked", "the key is revoked", 0);
      return;
    }
  if (!r->admit_was_tried)
    r->first_admit_at = now;
  struct budget_decision decision
      = budget_admit (d->budget, r->organisation->budget_name, lease,
                      r->admit_was_tried ? waited_us (r, now) : 0, now);
  r->admit_was_tried = true;
  switch (decision.verdict)
    {
    case BUDGET_ADMIT:
      run_admitted (r);
      break;
    case BUDGET_WAIT:
      if (now + decision.wait_us < r->deadline)
        {
          wait_for_budget (r, decision.wait_us);
          break;
        }
      __attribute__ ((fallthrough));
    case BUDGET_REFUSE:
      (*r->organisation->rate_limited)++;
      refuse (r, 429, "rate_limited", "the organisation is over its rate",
              decision.retry_us);
      break;
    }
}

/* Sets the deadline; requested_ms 0: the organisation's default. */
static void
set_deadline (struct pending_request *r, int64_t requested_ms)
{
  int64_t ms
      = requested_ms > 0 ? requested_ms : r->organisation->values.deadline_ms;
  r->deadline = clock_now () + ms * USEC_PER_MSEC;
}

static bool
parse_query_body (struct pending_request *r)
{
  struct error err = { 0 };
  r->query = query_parse (r, r->http->body, &err);
  if (r->query != NULL)
    return true;
  refuse_body (
      r, err.code == ERROR_REFUSED ? "forbidden_statement" : "invalid_request",
      err.text);
  return false;
}

/* Handles POST /v1/query. */
static void
on_query (struct pending_request *r)
{
  if (!admit_caller (r) || !parse_query_body (r)
      || !find_group (r, r->query->service)
      || !authenticate (r, r->query->is_read) || !decode_session_token (r))
    return;
  set_deadline (r, r->query->deadline_ms);
  admit_request (r);
}

/* Handles GET /v1/requests/<key>. */
static void
on_lookup (struct pending_request *r, struct bstr key)
{
  if (key.len == 0 || key.len > QUERY_MAX_KEY_BYTES)
    {
      refuse (r, 400, "invalid_request", "the idempotency key is missing", 0);
      return;
    }
  if (!query_is_text (key))
    {
      refuse (r, 400, "invalid_request",
              "the idempotency key has a NUL or is not UTF-8", 0);
      return;
    }
  if (!find_group (r, http_query_value (r->http, "service"))
      || !authenticate (r, false) || !decode_session_token (r))
    return;
  r->lookup_key = bstr_to_text (r, key);
  set_deadline (r, 0);
  admit_request (r);
}

/* Handles POST /v1/transactions. */
static void
on_begin (struct pending_request *r)
{
  if (!admit_caller (r))
    return;
  json_t *json
      = json_loadb (r->http->body.start != NULL ? r->http->body.start : "",
                    r->http->body.len, 0, NULL);
  const char *service = json_string_value (json_object_get (json, "service"));
  char *name = talloc_strdup (r, service != NULL ? service : "");
  json_decref (json);
  if (name[0] == '\0')
    {
      refuse_body (r, "invalid_request", "\"service\" must be a string");
      return;
    }
  if (!find_group (r, bstr_from (name)) || !authenticate (r, false))
    return;
  r->begins_transaction = true;
  set_deadline (r, 0);
  admit_request (r);
}

/* Commits or rolls back the transaction of the request. */
static void
end_transaction (struct pending_request *r, bool commit)
{
  struct transaction *t = find_transaction (r);
  if (t == NULL)
    return;
  r->organisation = transaction_organisation (t);
  if (!commit)
    {
      transaction_rollback (t, r->http, r->request_id);
      talloc_free (r);
    }
  else if (decode_session_token (r))
    transaction_commit (t, r->http, r->request_id, &r->token, r);
}

/* Handles POST /v1/transactions/<id>/<verb>.  The rate limit applies to a
   query but not to commit and rollback, because they free a connection. */
static void
on_transaction (struct pending_request *r, struct bstr rest)
{
  const char *slash = memchr (rest.start, '/', rest.len);
  size_t len = slash != NULL ? (size_t)(slash - rest.start) : rest.len;
  struct bstr verb = bstr_skip (rest, len + 1);
  r->transaction = bstr_copy (r, (struct bstr){ rest.start, len });
  if (!authenticate (r, false))
    return;
  if (bstr_equals_text (verb, "commit"))
    end_transaction (r, true);
  else if (bstr_equals_text (verb, "rollback"))
    end_transaction (r, false);
  else if (bstr_equals_text (verb, "query"))
    {
      struct transaction *t = find_transaction (r);
      if (t == NULL || !parse_query_body (r))
        return;
      r->group = transaction_group (t);
      group_add_user (r, r->group);
      r->organisation = transaction_organisation (t);
      set_deadline (r, r->query->deadline_ms);
      admit_request (r);
    }
  else
    refuse (r, 404, "not_found", "no such route", 0);
}

static void
on_health (struct pending_request *r)
{
  struct daemon *d = r->front->daemon;
  bool ready = !d->draining && d->settings != NULL && cell_is_member (d->cell)
               && cell_lease_valid (d->cell, clock_now ());
  const char *text
      = ready ? "{\"status\":\"ready\"}\n" : "{\"status\":\"not_ready\"}\n";
  http_reply (r->http, ready ? 200 : 503, "application/json", bstr_from (text),
              NULL);
  talloc_free (r);
}

/* @return whether a request with a large body comes while little memory is
   left for callers. */
static bool
lacks_memory (const struct front *f, const struct http_request *http)
{
  size_t reserve = memory_account_limit (f->memory) / MEMORY_RESERVE;
  return http->body.len >= OFFENDER_BYTES
         && !memory_account_has_room (f->memory, reserve);
}

/* Calls the handler of the request's route.  While the daemon drains, only the
   health check and the open transactions are served. */
static void
on_request (struct http_handler *handler, struct http_request *http)
{
  static const char requests[] = "/v1/requests/";
  static const char transactions[] = "/v1/transactions/";
  struct front *f = (struct front *)handler;
  struct pending_request *r = talloc_zero (f, struct pending_request);
  bool post = bstr_equals_text (http->method, "POST");
  bool get = bstr_equals_text (http->method, "GET");
  r->front = f;
  r->http = http;
  choose_request_id (r);
  if (http->too_large)
    refuse (r, 413, "too_large", "the body is too large", 0);
  else if (lacks_memory (f, http))
    refuse (r, 503, "overloaded", "no memory for large requests",
            USEC_PER_SEC);
  else if (get && bstr_equals_text (http->path, "/v1/health"))
    on_health (r);
  else if (post && bstr_starts_with (http->path, transactions))
    on_transaction (r, bstr_skip (http->path, strlen (transactions)));
  else if (f->draining)
    refuse (r, 503, "draining", "this daemon is stopping", 1);
  else if (post && bstr_equals_text (http->path, "/v1/query"))
    on_query (r);
  else if (post && bstr_equals_text (http->path, "/v1/transactions"))
    on_begin (r);
  else if (get && bstr_starts_with (http->path, requests))
    on_lookup (r, bstr_skip (http->path, strlen (requests)));
  else
    refuse (r, 404, "not_found", "no such route", 0);
}

static void
on_connection_closed (struct http_handler *handler, uint64_t connection)
{
  struct front *f = (struct front *)handler;
  transaction_on_connection_closed (f->daemon, connection);
}

static const struct http_handler_ops handler_ops
    = { .request = on_request, .closed = on_connection_closed };

/* @return the most bytes held for callers. */
static size_t
client_bytes (const struct daemon_options *o)
{
  int mb = o->client_memory_mb > 0 ? o->client_memory_mb
           : o->memory_mb > 0      ? o->memory_mb / 3
                                   : DEFAULT_CLIENT_MEMORY_MB;
  return (size_t)(mb > 0 ? mb : 1) << 20;
}

struct front *
front_create (struct daemon *d, struct error *err)
{
  struct front *f = talloc_zero (d, struct front);
  const struct daemon_options *o = d->options;
  f->handler.ops = &handler_ops;
  f->daemon = d;
  f->memory = memory_account_create (
      f, &(struct memory_account_options){ .limit = client_bytes (o),
                                           .offender_bytes = OFFENDER_BYTES });
  struct http_server_options options = {
    .ev = d->ev,
    .address = o->listen,
    .handler = &f->handler,
    .max_body = (size_t)o->max_body_bytes,
    .max_connections = (unsigned)o->max_connections,
    .idle_seconds = CONNECTION_IDLE_SECONDS,
    .half_request_ms = o->half_message_ms,
    .memory = f->memory,
    .certificate = d->tls_certificate_text,
    .private_key = d->tls_key_text,
  };
  f->server = http_server_create (f, &options, err);
  if (f->server == NULL)
    {
      talloc_free (f);
      return NULL;
    }
  log_info (PART, "listening port=%d tls=%s", http_server_port (f->server),
            d->tls_certificate_text != NULL ? "on" : "off");
  return f;
}

int
front_port (const struct front *f)
{
  return http_server_port (f->server);
}

int
front_unfinished_count (const struct front *f)
{
  return (int)http_server_pending (f->server) + transaction_count (f->daemon);
}

uint64_t
front_closed_count (const struct front *f)
{
  return http_server_closed (f->server);
}

void
front_drain (struct front *f)
{
  f->draining = true;
  http_server_quiesce (f->server);
}
