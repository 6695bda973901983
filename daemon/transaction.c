#include "daemon/transaction.h"

#include "common/clock.h"
#include "common/log.h"
#include "daemon/reply.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#define PART "transaction"

/* A transaction that is idle for this long is rolled back, because it holds
   locks and one of the few connections to the primary. */
#define IDLE_TIMEOUT_US (10 * USEC_PER_SEC)
/* Time between two attempts to get a connection for a new transaction. */
#define OPEN_RETRY_US (2 * USEC_PER_MSEC)

/** An interactive transaction. */
struct transaction
{
  struct transaction *next;
  struct group *group;
  struct organisation *organisation;
  struct endpoint *endpoint; /**< Primary with the connection; NULL: none. */
  struct pgsql_connection
      *connection;           /**< Connection to that primary; NULL: none. */
  struct http_request *http; /**< Request that runs; NULL: idle. */
  char *request_id;
  char *id;
  char *key_id;               /**< Id of the API key that opened it. */
  uint64_t client_connection; /**< HTTP connection that opened it. */
  int64_t started;
  int64_t deadline; /**< Time until which to wait for a connection. */
  struct tevent_timer *idle_timer;
  int statement_count;
  bool opening; /**< A connection from the pool is being acquired. */
  /** The HTTP connection was closed or the key is invalid: it is rolled back
   * when the running request ends. */
  bool abandoned;
};

static void try_open (struct transaction *t);

static void
unlink_transaction (struct transaction *t)
{
  struct transaction **link = &t->group->daemon->transactions;
  while (*link != t)
    link = &(*link)->next;
  *link = t->next;
}

/* Frees the transaction and its connection.  A reusable connection goes back
   to the pool, where an open transaction is rolled back. */
static void
end_transaction (struct transaction *t, bool reusable)
{
  int64_t now = clock_now ();
  unlink_transaction (t);
  if (t->connection != NULL)
    {
      if (reusable)
        pgsql_release (t->connection);
      else
        pgsql_abort (t->connection);
    }
  if (t->endpoint != NULL)
    {
      admission_limit_end (t->endpoint->limit, 0, false, now);
    }
  talloc_free (t);
}

/* Returns the running request for its reply; the transaction is then idle. */
static struct http_request *
detach_http_request (struct transaction *t)
{
  struct http_request *http = t->http;
  t->http = NULL;
  return http;
}

static void
reply_success (struct transaction *t, json_t *json)
{
  reply_json (detach_http_request (t), 200, json, JSON_COMPACT);
}

static void
refuse (struct transaction *t, unsigned status, const char *code,
        const char *message)
{
  reply_error (detach_http_request (t), status, t->request_id, OUTCOME_NOT_RUN,
               code, message, 0);
}

/* Returns a reply with the fields that every success reply has. */
static json_t *
create_reply_json (const struct transaction *t)
{
  json_t *json = json_object ();
  json_object_set_new (json, "request_id", json_string (t->request_id));
  json_object_set_new (json, "transaction", json_string (t->id));
  return json;
}

static void
on_idle_timeout (struct tevent_context *ev, struct tevent_timer *te,
                 struct timeval now, void *data)
{
  (void)ev, (void)te, (void)now;
  struct transaction *t = data;
  log_info (PART, "rolled back after idle time service=%s organisation=%s",
            t->group->service, t->organisation->name);
  end_transaction (t, true);
}

static void
start_idle_timer (struct transaction *t)
{
  t->idle_timer = daemon_add_timer (t->group->daemon, t, IDLE_TIMEOUT_US,
                                    on_idle_timeout, t);
}

/* Marks the transaction as busy with a request. */
static void
begin_request (struct transaction *t, struct http_request *http,
               const char *request_id)
{
  TALLOC_FREE (t->idle_timer);
  TALLOC_FREE (t->request_id);
  t->request_id = talloc_strdup (t, request_id);
  t->http = http;
}

/* ---- opening a transaction ---- */

static void
on_begin_done (void *data, const struct pgsql_reply *reply)
{
  struct transaction *t = data;
  if (reply->end != PGSQL_DONE)
    {
      if (reply->end != PGSQL_FAILED)
        t->connection = NULL;
      refuse (t, 503, "endpoint_lost", "the transaction could not be opened");
      end_transaction (t, true);
      return;
    }
  json_t *json = create_reply_json (t);
  json_object_set_new (json, "outcome", json_string ("ran"));
  reply_success (t, json);
  if (t->abandoned)
    end_transaction (t, true);
  else
    start_idle_timer (t);
}

static void
on_connection_acquired (void *data, struct pgsql_connection *c,
                        const struct error *err)
{
  static const struct pgsql_statement begin = { "BEGIN", NULL, 0 };
  struct transaction *t = data;
  t->opening = false;
  t->connection = c;
  if (c == NULL)
    {
      refuse (t, 503, "endpoint_lost", err->text);
      end_transaction (t, false);
      return;
    }
  pgsql_run (c, &begin, 1, on_begin_done, t);
}

static void
on_open_retry (struct tevent_context *ev, struct tevent_timer *te,
               struct timeval now, void *data)
{
  (void)ev, (void)te, (void)now;
  try_open (data);
}

/* Acquires a connection to the primary.  If there is no primary or no free
   connection, it tries again until the deadline. */
static void
try_open (struct transaction *t)
{
  int64_t now = clock_now ();
  struct endpoint *e = group_writable_primary (t->group, now);
  if (now >= t->deadline || t->abandoned)
    {
      refuse (t, 503, "overloaded",
              "no connection to a primary before the deadline");
      end_transaction (t, false);
      return;
    }
  if (e == NULL || !pgsql_pool_can_acquire (e->pool)
      || !admission_limit_start (e->limit))
    {
      daemon_add_timer (t->group->daemon, t, OPEN_RETRY_US, on_open_retry, t);
      return;
    }
  t->endpoint = e;
  t->opening = true;
  pgsql_acquire (e->pool, on_connection_acquired, t);
}

void
transaction_start (const struct transaction_options *o)
{
  struct daemon *d = o->group->daemon;
  struct transaction *t = talloc_zero (o->group, struct transaction);
  group_add_user (t, o->group);
  t->group = o->group;
  t->organisation = o->organisation;
  t->http = o->http;
  t->client_connection = o->http->connection;
  t->request_id = talloc_strdup (t, o->request_id);
  t->key_id = talloc_strdup (t, o->key_id);
  t->id = talloc_asprintf (t, "%016" PRIx64 "%016" PRIx64, daemon_random_id (),
                           daemon_random_id ());
  t->started = clock_now ();
  t->deadline = o->deadline;
  t->next = d->transactions;
  d->transactions = t;
  try_open (t);
}

/* ---- running statements and ending ---- */

static void
on_query_done (void *data, const struct pgsql_reply *reply)
{
  struct transaction *t = data;
  if (reply->end == PGSQL_LOST || reply->end == PGSQL_NOT_SENT)
    {
      t->connection = NULL;
      refuse (t, 503, "endpoint_lost",
              "the connection broke; the transaction was rolled back");
      end_transaction (t, false);
      return;
    }
  if (t->abandoned)
    {
      refuse (t, 503, "closed", "the client went away");
      end_transaction (t, true);
      return;
    }
  if (reply->end == PGSQL_FAILED)
    refuse (t, 422, "statement_failed", reply->message);
  else
    {
      json_t *json = create_reply_json (t), *results = json_array ();
      bool complete = true;
      for (int i = 0; i < reply->count; i++)
        complete = json_array_append_new (results,
                                          call_result_json (reply->results[i]))
                       == 0
                   && complete;
      json_object_set_new (json, "outcome", json_string ("ran"));
      json_object_set_new (json, "results", results);
      if (complete)
        reply_success (t, json);
      else
        {
          json_decref (json);
          reply_error (detach_http_request (t), 422, t->request_id,
                       OUTCOME_RAN, "not_utf8", CALL_NOT_UTF8_TEXT, 0);
        }
    }
  start_idle_timer (t);
}

void
transaction_query (struct transaction *t, struct http_request *http,
                   const char *request_id, struct query *q)
{
  struct pgsql_statement statements[CALL_MAX_STATEMENTS];
  begin_request (t, http, request_id);
  for (int i = 0; i < q->statement_count; i++)
    statements[i] = (struct pgsql_statement){ q->statements[i].sql,
                                              q->statements[i].params,
                                              q->statements[i].param_count };
  pgsql_run (t->connection, statements, q->statement_count, on_query_done, t);
  talloc_free (q);
}

void
transaction_commit (struct transaction *t, struct http_request *http,
                    const char *request_id, const struct token *token,
                    void *token_parent)
{
  struct call_options options = {
    .group = t->group,
    .organisation = t->organisation,
    .http = http,
    .request_id = request_id,
    .key_id = t->key_id,
    .token = token,
    .deadline_us = t->organisation->values.deadline_ms * USEC_PER_MSEC,
  };
  struct call *c = call_create (&options);
  talloc_steal (c, token_parent);
  struct endpoint *e = t->endpoint;
  struct pgsql_connection *connection = t->connection;
  t->endpoint = NULL;
  t->connection = NULL;
  end_transaction (t, false);
  call_commit (c, e, connection);
}

void
transaction_rollback (struct transaction *t, struct http_request *http,
                      const char *request_id)
{
  begin_request (t, http, request_id);
  json_t *json = create_reply_json (t);
  json_object_set_new (json, "outcome", json_string ("not_run"));
  reply_success (t, json);
  end_transaction (t, true);
}

/* ---- binding to a key and an HTTP connection ---- */

struct transaction *
transaction_find (struct daemon *d, struct bstr id)
{
  for (struct transaction *t = d->transactions; t != NULL; t = t->next)
    if (bstr_equals_text (id, t->id))
      return t;
  return NULL;
}

bool
transaction_belongs_to (const struct transaction *t, const char *key_id,
                        uint64_t connection)
{
  return t->client_connection == connection && strcmp (t->key_id, key_id) == 0;
}

struct group *
transaction_group (const struct transaction *t)
{
  return t->group;
}

struct organisation *
transaction_organisation (const struct transaction *t)
{
  return t->organisation;
}

bool
transaction_is_busy (const struct transaction *t)
{
  return t->http != NULL;
}

/* Rolls the transaction back now, or after its running request. */
static void
abandon_transaction (struct transaction *t)
{
  if (t->http != NULL)
    t->abandoned = true;
  else
    end_transaction (t, true);
}

void
transaction_on_connection_closed (struct daemon *d, uint64_t connection)
{
  struct transaction *next;
  for (struct transaction *t = d->transactions; t != NULL; t = next)
    {
      next = t->next;
      if (t->client_connection == connection)
        abandon_transaction (t);
    }
}

void
transaction_recheck_keys (struct daemon *d)
{
  struct transaction *next;
  for (struct transaction *t = d->transactions; t != NULL; t = next)
    {
      next = t->next;
      if (!keys_is_active (d->keys, t->key_id))
        abandon_transaction (t);
    }
}

int
transaction_count (const struct daemon *d)
{
  int count = 0;
  for (const struct transaction *t = d->transactions; t != NULL; t = t->next)
    count++;
  return count;
}
