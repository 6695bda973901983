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
#define IDLE_SECONDS 300
#define REQUEST_ID_MAX 64

struct front
{
  struct http_handler handler; /**< First, so that it can be cast back. */
  struct daemon *daemon;
  struct http_server *server;
  struct arrival *waiting; /**< For tokens of a budget. */
  bool draining;
};

/* A request between its arrival and its place in a queue. */
struct arrival
{
  struct arrival *next, **link; /**< In the waiting list. */
  struct tevent_timer *timer;
  struct front *front;
  struct http_request *http;
  char request_id[REQUEST_ID_MAX + 1];
  struct query *query;
  struct group *group;
  struct organisation *organisation;
  char key_id[KEY_ID_LENGTH + 1];
  struct token token;
  int64_t deadline;
  int64_t asked_at; /**< First question to the budget. */
  bool asked;
  char *transaction; /**< Id, for a request inside a transaction. */
  bool begins;       /**< Opens a transaction. */
  char *lookup_key;  /**< For GET /v1/requests/<key>. */
};

static void
refuse (struct arrival *a, unsigned status, const char *code,
        const char *message, int64_t retry_us)
{
  reply_error (a->http, status, a->request_id, OUTCOME_NOT_RUN, code, message,
               retry_us);
  talloc_free (a);
}

static void
choose_request_id (struct arrival *a)
{
  struct bstr given = http_header_value (a->http, "Azurewind-Request-Id");
  if (given.len > 0 && given.len <= REQUEST_ID_MAX)
    {
      bool printable = true;
      for (size_t i = 0; i < given.len; i++)
        printable = printable && given.start[i] > ' ' && given.start[i] < 127;
      if (printable)
        {
          memcpy (a->request_id, given.start, given.len);
          return;
        }
    }
  snprintf (a->request_id, sizeof a->request_id, "%016" PRIx64,
            daemon_random_id ());
}

static struct bstr
bearer (const struct http_request *http)
{
  struct bstr value = http_header_value (http, "Authorization");
  if (!bstr_starts_with (value, "Bearer "))
    return (struct bstr){ NULL, 0 };
  return bstr_skip (value, strlen ("Bearer "));
}

/* Check the caller's key.
   @return the name of its organisation, NULL if the request was refused. */
static const char *
check_key (struct arrival *a, struct bstr key)
{
  struct daemon *d = a->front->daemon;
  const struct key *found = NULL;
  if (key.len == 0)
    {
      refuse (a, 401, "unauthenticated", "no key was given", 0);
      return NULL;
    }
  enum key_verdict verdict
      = d->keys != NULL ? keys_find (d->keys, key, &found) : KEY_UNKNOWN;
  if (verdict != KEY_VALID)
    {
      bool revoked = verdict == KEY_REVOKED;
      refuse (a, 401, revoked ? "key_revoked" : "unauthenticated",
              revoked ? "the key is revoked" : "the key is unknown", 0);
      return NULL;
    }
  memcpy (a->key_id, found->id, sizeof a->key_id);
  return found->organisation;
}

/* Find out for which organisation the request runs.  Without a key that is
   the service's open organisation, for reads only. */
static bool
authenticate (struct arrival *a, bool is_read)
{
  struct bstr key = bearer (a->http);
  const struct group *g = a->group;
  const char *name = NULL;
  if (key.len == 0 && is_read && g != NULL && g->values.open_reads)
    name = g->open_organisation;
  if (name == NULL)
    name = check_key (a, key);
  if (name == NULL)
    return false;
  if (a->group == NULL)
    return true;
  a->organisation = group_organisation (a->group, bstr_from (name));
  if (a->organisation == NULL || !a->organisation->values.enabled)
    {
      refuse (a, 403, "forbidden", "the organisation may not use this service",
              0);
      return false;
    }
  return true;
}

static bool
find_group (struct arrival *a, struct bstr service)
{
  struct daemon *d = a->front->daemon;
  if (d->settings == NULL)
    {
      refuse (a, 503, "no_configuration",
              "the daemon has no configuration yet", USEC_PER_SEC);
      return false;
    }
  a->group = group_find (d, service);
  const struct settings_service *known
      = settings_find_service (d->settings, service);
  if (a->group == NULL && known != NULL)
    {
      refuse (a, 421, "other_cell",
              "the daemons of another cell serve this service", 0);
      return false;
    }
  if (a->group == NULL || !a->group->values.enabled)
    {
      refuse (a, 404, "unknown_service", "the service does not exist", 0);
      return false;
    }
  group_add_user (a, a->group);
  return true;
}

static bool
read_session (struct arrival *a)
{
  struct error err = { 0 };
  struct bstr text = http_header_value (a->http, "Azurewind-Session");
  if (text.len == 0)
    return true;
  if (token_decode (a, text, bstr_from (a->organisation->name),
                    a->front->daemon->token_key, &a->token, &err))
    return true;
  refuse (a, 400, "invalid_session", err.text, 0);
  return false;
}

static void
start_call (struct arrival *a)
{
  const struct query *q = a->query;
  int64_t now = clock_now ();
  bool lookup = a->lookup_key != NULL;
  struct call_options options = {
    .group = a->group,
    .organisation = a->organisation,
    .http = a->http,
    .request_id = a->request_id,
    .key_id = a->key_id,
    .key = lookup ? bstr_from (a->lookup_key) : q->key,
    .is_read = !lookup && q->is_read,
    .freshness = lookup ? FRESHNESS_READ_YOUR_WRITES : q->freshness,
    .max_staleness_us = lookup ? 0 : q->max_staleness_us,
    .deadline_us = a->deadline > now ? a->deadline - now : 1,
    .token = &a->token,
  };
  struct call *c = call_create (&options);
  talloc_steal (c, a);
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

static void admit (struct arrival *a);

static void
stop_waiting (struct arrival *a)
{
  if (a->link == NULL)
    return;
  *a->link = a->next;
  if (a->next != NULL)
    a->next->link = a->link;
  a->link = NULL;
  TALLOC_FREE (a->timer);
}

static void
on_budget_wait (struct tevent_context *ev, struct tevent_timer *te,
                struct timeval now, void *data)
{
  (void)ev, (void)te, (void)now;
  struct arrival *a = data;
  a->timer = NULL;
  stop_waiting (a);
  admit (a);
}

static void
wait_for_budget (struct arrival *a, int64_t wait_us)
{
  struct front *f = a->front;
  a->next = f->waiting;
  a->link = &f->waiting;
  if (a->next != NULL)
    a->next->link = &a->next;
  f->waiting = a;
  a->timer = daemon_add_timer (f->daemon, a, wait_us, on_budget_wait, a);
}

void
front_on_grant (struct daemon *d)
{
  /* The list is taken out first, because a request that still has to wait
     joins it again. */
  struct arrival *list = NULL;
  while (d->front != NULL && d->front->waiting != NULL)
    {
      struct arrival *a = d->front->waiting;
      stop_waiting (a);
      a->next = list;
      list = a;
    }
  while (list != NULL)
    {
      struct arrival *a = list;
      list = a->next;
      admit (a);
    }
}

/* The transaction may have ended while the request waited for its rate. */
static struct transaction *
find_transaction (struct arrival *a)
{
  struct transaction *t
      = transaction_find (a->front->daemon, bstr_from (a->transaction));
  if (t == NULL || !transaction_belongs (t, a->key_id, a->http->connection))
    {
      refuse (a, 404, "unknown_transaction",
              "no such transaction on this connection", 0);
      return NULL;
    }
  if (transaction_is_busy (t))
    {
      refuse (a, 409, "transaction_busy",
              "the transaction is running another request", 0);
      return NULL;
    }
  return t;
}

static void
run_in_transaction (struct arrival *a)
{
  struct transaction *t = find_transaction (a);
  if (t == NULL)
    return;
  struct query *q = talloc_steal (t, a->query);
  transaction_query (t, a->http, a->request_id, q);
  talloc_free (a);
}

static void
continue_admitted (struct arrival *a)
{
  if (a->transaction != NULL)
    {
      run_in_transaction (a);
      return;
    }
  if (!a->begins)
    {
      start_call (a);
      return;
    }
  struct transaction_begin begin = {
    .group = a->group,
    .organisation = a->organisation,
    .http = a->http,
    .request_id = a->request_id,
    .key_id = a->key_id,
    .deadline = a->deadline,
  };
  transaction_start (&begin);
  talloc_free (a);
}

/* The budget takes 0 for the first question about a request. */
static int64_t
waited (const struct arrival *a, int64_t now)
{
  return now > a->asked_at ? now - a->asked_at : 1;
}

/* Take one token of the organisation's rate, waiting for a peer if need
   be. */
static void
admit (struct arrival *a)
{
  struct daemon *d = a->front->daemon;
  int64_t now = clock_now ();
  bool lease = cell_lease_valid (d->cell, now);
  if (!lease)
    {
      refuse (a, 503, "isolated",
              "this daemon cannot reach a majority of its cell", USEC_PER_SEC);
      return;
    }
  if (a->asked && !keys_is_active (d->keys, a->key_id))
    {
      refuse (a, 401, "key_revoked", "the key is revoked", 0);
      return;
    }
  if (!a->asked)
    a->asked_at = now;
  struct budget_decision decision
      = budget_admit (d->budget, a->organisation->budget_name, lease,
                      a->asked ? waited (a, now) : 0, now);
  a->asked = true;
  switch (decision.verdict)
    {
    case BUDGET_ADMIT:
      continue_admitted (a);
      break;
    case BUDGET_WAIT:
      if (now + decision.wait_us < a->deadline)
        {
          wait_for_budget (a, decision.wait_us);
          break;
        }
      __attribute__ ((fallthrough));
    case BUDGET_REFUSE:
      (*a->organisation->rate_limited)++;
      refuse (a, 429, "rate_limited", "the organisation is over its rate",
              decision.retry_us);
      break;
    }
}

static void
set_deadline (struct arrival *a, int64_t given_ms)
{
  int64_t ms = given_ms > 0 ? given_ms : a->organisation->values.deadline_ms;
  a->deadline = clock_now () + ms * USEC_PER_MSEC;
}

static bool
read_query (struct arrival *a)
{
  struct error err = { 0 };
  a->query = query_parse (a, a->http->body, &err);
  if (a->query != NULL)
    return true;
  refuse (a, 400,
          err.code == ERROR_REFUSED ? "forbidden_statement"
                                    : "invalid_request",
          err.text, 0);
  return false;
}

static void
on_query (struct arrival *a)
{
  if (!read_query (a) || !find_group (a, a->query->service)
      || !authenticate (a, a->query->is_read) || !read_session (a))
    return;
  set_deadline (a, a->query->deadline_ms);
  admit (a);
}

static void
on_lookup (struct arrival *a, struct bstr key)
{
  if (key.len == 0 || key.len > QUERY_MAX_KEY)
    {
      refuse (a, 400, "invalid_request", "the idempotency key is missing", 0);
      return;
    }
  if (!find_group (a, http_query_value (a->http, "service"))
      || !authenticate (a, false) || !read_session (a))
    return;
  a->lookup_key = bstr_to_text (a, key);
  set_deadline (a, 0);
  admit (a);
}

static void
on_begin (struct arrival *a)
{
  struct error err = { 0 };
  json_t *json
      = json_loadb (a->http->body.start != NULL ? a->http->body.start : "",
                    a->http->body.len, 0, NULL);
  const char *service = json_string_value (json_object_get (json, "service"));
  char *name = talloc_strdup (a, service != NULL ? service : "");
  json_decref (json);
  (void)err;
  if (name[0] == '\0')
    {
      refuse (a, 400, "invalid_request", "\"service\" must be a string", 0);
      return;
    }
  if (!find_group (a, bstr_from (name)) || !authenticate (a, false))
    return;
  a->begins = true;
  set_deadline (a, 0);
  admit (a);
}

static void
end_transaction (struct arrival *a, bool commit)
{
  struct transaction *t = find_transaction (a);
  if (t == NULL)
    return;
  a->organisation = transaction_organisation (t);
  if (!commit)
    {
      transaction_rollback (t, a->http, a->request_id);
      talloc_free (a);
    }
  else if (read_session (a))
    transaction_commit (t, a->http, a->request_id, &a->token, a);
}

/* POST /v1/transactions/<id>/<verb>.  Statements count against the rate;
   ending a transaction never does, because it frees a connection. */
static void
on_transaction (struct arrival *a, struct bstr rest)
{
  const char *slash = memchr (rest.start, '/', rest.len);
  size_t len = slash != NULL ? (size_t)(slash - rest.start) : rest.len;
  struct bstr verb = bstr_skip (rest, len + 1);
  a->transaction = bstr_to_text (a, (struct bstr){ rest.start, len });
  if (!authenticate (a, false))
    return;
  if (bstr_equals_text (verb, "commit"))
    end_transaction (a, true);
  else if (bstr_equals_text (verb, "rollback"))
    end_transaction (a, false);
  else if (bstr_equals_text (verb, "query"))
    {
      struct transaction *t = find_transaction (a);
      if (t == NULL || !read_query (a))
        return;
      a->group = transaction_group (t);
      group_add_user (a, a->group);
      a->organisation = transaction_organisation (t);
      set_deadline (a, a->query->deadline_ms);
      admit (a);
    }
  else
    refuse (a, 404, "not_found", "no such route", 0);
}

static void
on_health (struct arrival *a)
{
  struct daemon *d = a->front->daemon;
  bool ready = !d->draining && d->settings != NULL && cell_is_member (d->cell)
               && cell_lease_valid (d->cell, clock_now ());
  const char *text
      = ready ? "{\"status\":\"ready\"}\n" : "{\"status\":\"not_ready\"}\n";
  http_reply (a->http, ready ? 200 : 503, "application/json", bstr_from (text),
              NULL);
  talloc_free (a);
}

static void
on_request (struct http_handler *handler, struct http_request *http)
{
  static const char requests[] = "/v1/requests/";
  static const char transactions[] = "/v1/transactions/";
  struct front *f = (struct front *)handler;
  struct arrival *a = talloc_zero (f, struct arrival);
  bool post = bstr_equals_text (http->method, "POST");
  bool get = bstr_equals_text (http->method, "GET");
  a->front = f;
  a->http = http;
  choose_request_id (a);
  if (http->too_large)
    refuse (a, 413, "too_large", "the body is too large", 0);
  else if (get && bstr_equals_text (http->path, "/v1/health"))
    on_health (a);
  else if (post && bstr_starts_with (http->path, transactions))
    on_transaction (a, bstr_skip (http->path, strlen (transactions)));
  else if (f->draining)
    refuse (a, 503, "draining", "this daemon is stopping", 1);
  else if (post && bstr_equals_text (http->path, "/v1/query"))
    on_query (a);
  else if (post && bstr_equals_text (http->path, "/v1/transactions"))
    on_begin (a);
  else if (get && bstr_starts_with (http->path, requests))
    on_lookup (a, bstr_skip (http->path, strlen (requests)));
  else
    refuse (a, 404, "not_found", "no such route", 0);
}

static void
on_closed (struct http_handler *handler, uint64_t connection)
{
  struct front *f = (struct front *)handler;
  transaction_connection_closed (f->daemon, connection);
}

static const struct http_handler_ops handler_ops
    = { .request = on_request, .closed = on_closed };

struct front *
front_create (struct daemon *d, struct error *err)
{
  struct front *f = talloc_zero (d, struct front);
  const struct daemon_options *o = d->options;
  f->handler.ops = &handler_ops;
  f->daemon = d;
  struct http_server_options options = {
    .ev = d->ev,
    .address = o->listen,
    .handler = &f->handler,
    .max_body = (size_t)o->max_body_bytes,
    .max_connections = (unsigned)o->max_connections,
    .idle_seconds = IDLE_SECONDS,
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
front_busy (const struct front *f)
{
  return (int)http_server_pending (f->server) + transaction_count (f->daemon);
}

void
front_drain (struct front *f)
{
  f->draining = true;
  http_server_quiesce (f->server);
}
