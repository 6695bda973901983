#include "daemon/call.h"

#include "common/clock.h"
#include "common/log.h"
#include "daemon/reply.h"

#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>

#define PART "call"
/* With one replica, a read is sent up to seven times: at first, after each of
   five waits for the replica, and finally to the primary. */
#define MAX_SENDS 8
/* Retry hint while there is no primary: a change of primary takes one to
   three seconds. */
#define NO_PRIMARY_RETRY_US (1 * USEC_PER_SEC)
/* Delay until a dequeued read that found all its endpoints busy is routed
   again. */
#define BUSY_RETRY_US (1 * USEC_PER_MSEC)

/* Time after its deadline in which a request with an idempotency key may look
   up its outcome, instead of the reply "unknown". */
#define LOOKUP_GRACE_US (2 * USEC_PER_SEC)

/** A connection that is being acquired for a call.  The call may end before
 * the connection is there. */
struct acquisition
{
  struct call *call; /**< NULL: the call has ended. */
  struct endpoint *endpoint;
  bool lookup; /**< It is for a lookup of the idempotency key. */
};

static void perform_action (struct call *c, enum request_action action);
static void start_lookup (struct call *c);
static bool is_own_digest (struct call *c, const char *digest);

/* ---- replies ---- */

/** The HTTP status of an error code. */
struct code_status
{
  const char *code;
  unsigned status;
};

static unsigned
http_status_of (const char *code, enum outcome outcome)
{
  static const struct code_status statuses[] = {
    { "statement_failed", 422 },       { "read_only", 422 },
    { "idempotency_key_reused", 409 }, { "key_barred", 409 },
    { "forbidden_statement", 400 },    { "rate_limited", 429 },
    { "invalid_request", 400 },        { "key_revoked", 401 },
  };
  for (size_t i = 0; i < sizeof statuses / sizeof statuses[0]; i++)
    if (strcmp (statuses[i].code, code) == 0)
      return statuses[i].status;
  return outcome == OUTCOME_UNKNOWN ? 504 : 503;
}

/* Adds the session token to the reply; after a write the token covers the
   write's position. */
static void
add_session_token (struct call *c, json_t *json)
{
  struct token *token = &c->token;
  struct daemon *d = c->group->daemon;
  token->organisation = bstr_from (c->organisation->name);
  if (!c->is_read)
    token_advance (token, bstr_from (c->group->service),
                   (struct position){ c->term, c->position_after });
  if (token->count > 0)
    json_object_set_new (json, "session",
                         json_string (token_encode (c, token, d->token_key)));
}

static void
reply_with_results (struct call *c)
{
  json_t *json = json_object ();
  json_object_set_new (json, "request_id", json_string (c->request_id));
  json_object_set_new (json, "outcome", json_string ("ran"));
  if (c->replayed)
    json_object_set_new (json, "replayed", json_true ());
  else if (c->results != NULL)
    json_object_set (json, "results", c->results);
  json_object_set_new (
      json, "served_by",
      json_string (c->served_by_replica ? "replica" : "primary"));
  add_session_token (c, json);
  reply_json (c->http, 200, json, JSON_COMPACT);
}

static void
remove_from_list (struct call **list, struct call *c)
{
  while (*list != NULL && *list != c)
    list = &(*list)->next;
  if (*list == c)
    *list = c->next;
  c->next = NULL;
}

static struct admission *
queue_of (const struct call *c)
{
  return c->is_read ? c->group->reads : c->group->writes;
}

/* Reports to the queue that the dequeued call has left its endpoint, or does
   not wait for one any more.
   @param service_us time at the endpoint, negative if it was not served. */
static void
end_admission (struct call *c, int64_t service_us)
{
  if (!c->dequeued)
    return;
  c->dequeued = false;
  admission_done (queue_of (c), &c->entry, service_us, clock_now ());
}

/* Ends the call's use of its endpoint and connection.
   @param reusable whether the connection may go back to the pool.
   @param failed whether the connection broke or the endpoint timed out. */
static void
release_connection (struct call *c, bool reusable, bool failed)
{
  if (c->acquisition != NULL)
    {
      c->acquisition->call = NULL;
      c->acquisition = NULL;
    }
  if (c->connection != NULL)
    {
      if (reusable)
        pgsql_release (c->connection);
      else
        pgsql_abort (c->connection);
      c->connection = NULL;
    }
  if (c->endpoint != NULL)
    {
      int64_t now = clock_now ();
      admission_limit_end (c->endpoint->limit, now - c->sent_at, failed, now);
      end_admission (c, failed ? -1 : now - c->sent_at);
      c->endpoint = NULL;
    }
}

/* Sends the reply for the call's outcome and frees the call. */
static void
finish_call (struct call *c)
{
  struct group *g = c->group;
  enum outcome outcome = request_outcome (c->request);
  int64_t now = clock_now ();
  remove_from_list (&g->unconfirmed_writes, c);
  remove_from_list (&g->awaiting_lookup, c);
  release_connection (c, false, outcome == OUTCOME_UNKNOWN);
  end_admission (c, -1);
  (*c->organisation->outcomes[outcome])++;
  histogram_add (c->organisation->latency[c->entry.class_],
                 (uint64_t)(now - c->started));
  if (outcome == OUTCOME_RAN && c->too_many_rows)
    reply_error (c->http, 422, c->request_id, outcome, "too_many_rows",
                 "the answer has more rows than max_rows allows", 0);
  else if (outcome == OUTCOME_RAN && c->not_utf8)
    reply_error (c->http, 422, c->request_id, outcome, "not_utf8",
                 CALL_NOT_UTF8_TEXT, 0);
  else if (outcome == OUTCOME_RAN)
    reply_with_results (c);
  else
    {
      const char *code = c->code;
      if (outcome == OUTCOME_UNKNOWN)
        code = "outcome_unknown";
      else if (code == NULL)
        code = "not_run";
      reply_error (c->http, http_status_of (code, outcome), c->request_id,
                   outcome, code, c->message, c->retry_us);
    }
  talloc_free (c);
}

static void
set_failure (struct call *c, const char *code, const char *message)
{
  c->code = code;
  snprintf (c->message, sizeof c->message, "%s", message);
}

static void
handle_event (struct call *c, enum request_event event)
{
  perform_action (c, request_handle_event (c->request, event));
}

void
call_refuse (struct call *c, const char *code, const char *message,
             int64_t retry_us)
{
  set_failure (c, code, message);
  c->retry_us = retry_us;
  handle_event (c, REQUEST_REFUSED);
}

/* ---- results ---- */

/** Type OIDs from PostgreSQL's catalogue pg_type. */
enum type_oid
{
  TYPE_BOOL = 16,
  TYPE_INT8 = 20,
  TYPE_INT2 = 21,
  TYPE_INT4 = 23,
  TYPE_FLOAT4 = 700,
  TYPE_FLOAT8 = 701
};

/* @return NULL if the value is a text that is not UTF-8. */
static json_t *
value_json (const PGresult *result, int row, int column)
{
  if (PQgetisnull (result, row, column))
    return json_null ();
  const char *text = PQgetvalue (result, row, column);
  switch ((enum type_oid)PQftype (result, column))
    {
    case TYPE_BOOL:
      return json_boolean (text[0] == 't');
    case TYPE_INT8:
    case TYPE_INT2:
    case TYPE_INT4:
      return json_integer (strtoll (text, NULL, 10));
    case TYPE_FLOAT4:
    case TYPE_FLOAT8:
      {
        json_t *number = json_real (strtod (text, NULL));
        /* JSON has no numbers for NaN and infinity. */
        return number != NULL ? number : json_string (text);
      }
    default:
      return json_stringn (text, (size_t)PQgetlength (result, row, column));
    }
}

json_t *
call_result_json (const PGresult *result)
{
  json_t *json = json_object ();
  json_t *columns = json_array (), *rows = json_array ();
  int width = PQnfields (result);
  bool complete = true;
  for (int i = 0; i < width; i++)
    complete
        = json_array_append_new (columns, json_string (PQfname (result, i)))
              == 0
          && complete;
  for (int r = 0; r < PQntuples (result); r++)
    {
      json_t *row = json_array ();
      for (int i = 0; i < width; i++)
        complete = json_array_append_new (row, value_json (result, r, i)) == 0
                   && complete;
      json_array_append_new (rows, row);
    }
  json_object_set_new (json, "columns", columns);
  json_object_set_new (json, "rows", rows);
  json_object_set_new (
      json, "affected",
      json_integer (
          strtoll (PQcmdTuples ((PGresult *)(uintptr_t)result), NULL, 10)));
  if (!complete)
    {
      json_decref (json);
      json = NULL;
    }
  return json;
}

/* Checks by the command tag whether a caller's statement began or ended a
   transaction: that would break up the transaction in which the daemon runs
   the request. */
static bool
changed_transaction (const PGresult *result)
{
  static const char *const tags[] = { "BEGIN", "COMMIT", "ROLLBACK" };
  const char *tag = PQcmdStatus ((PGresult *)(uintptr_t)result);
  for (size_t i = 0; i < sizeof tags / sizeof tags[0]; i++)
    if (strncmp (tag, tags[i], strlen (tags[i])) == 0)
      return true;
  return false;
}

/* Stores the results of the caller's statements, as long as they have at most
   max_rows rows.
   @return false if a statement changed the transaction. */
static bool
store_results (struct call *c, const struct pgsql_reply *reply)
{
  int64_t rows = 0;
  json_decref (c->results);
  c->results = json_array ();
  for (int i = 0; i < c->statement_count; i++)
    {
      const PGresult *result = reply->results[c->first_caller_statement + i];
      if (changed_transaction (result))
        return false;
      rows += PQntuples (result);
      c->too_many_rows = rows > c->organisation->values.max_rows;
      if (!c->too_many_rows
          && json_array_append_new (c->results, call_result_json (result))
                 != 0)
        c->not_utf8 = true;
    }
  return true;
}

/* Stores the primary's term and its positions before and after the commit,
   from the status results with the given indexes.
   @return false if the endpoint was not the primary of one term throughout. */
static bool
store_positions (struct call *c, const struct pgsql_reply *reply,
                 int before_index, int after_index)
{
  struct endpoint_status before, after;
  if (!pgsql_parse_status (reply->results[before_index], &before)
      || !pgsql_parse_status (reply->results[after_index], &after))
    return false;
  c->term = after.term;
  c->position_before = before.received;
  c->position_after = after.received;
  endpoint_on_status (c->endpoint, &after, c->sent_at);
  return before.term == after.term && !before.in_recovery
         && !after.in_recovery;
}

/* ---- confirmation ---- */

/* Ends the call's wait for confirmation if core/authority can decide. */
static void
check_confirmation (struct call *c)
{
  switch (authority_decide (c->group->authority, c->term, c->position_before,
                            c->position_after, clock_now ()))
    {
    case ACK_SEND:
      handle_event (c, REQUEST_CONFIRMED);
      break;
    case ACK_DISCARDED:
      set_failure (c, "primary_replaced",
                   "the primary was replaced before the write was safe");
      handle_event (c, REQUEST_DISCARDED);
      break;
    case ACK_UNKNOWN:
      handle_event (c, REQUEST_UNDECIDED);
      break;
    case ACK_WAIT:
      break;
    }
}

void
call_recheck_unconfirmed (struct group *g)
{
  struct call *next;
  for (struct call *c = g->unconfirmed_writes; c != NULL; c = next)
    {
      next = c->next;
      check_confirmation (c);
    }
}

/* Keeps an answered write or lookup until enough replicas have its position,
   and polls them for it. */
static void
await_confirmation (struct call *c)
{
  struct group *g = c->group;
  c->next = g->unconfirmed_writes;
  g->unconfirmed_writes = c;
  group_poll_replicas (g);
  check_confirmation (c);
}

/* ---- sending ---- */

static const struct pgsql_statement begin_write = { "BEGIN", NULL, 0 };
static const struct pgsql_statement begin_read
    = { "BEGIN READ ONLY", NULL, 0 };
static const struct pgsql_statement commit = { "COMMIT", NULL, 0 };

static struct pgsql_statement
status_statement (const char *tag)
{
  return (struct pgsql_statement){ pgsql_status_sql (tag), NULL, 0 };
}

static void
enqueue_call (struct call *c)
{
  int64_t retry_us = 0;
  end_admission (c, -1);
  switch (admission_push (queue_of (c), &c->entry, clock_now (), &retry_us))
    {
    case ADMISSION_QUEUED:
      c->queued = true;
      handle_event (c, REQUEST_QUEUED);
      call_dispatch (c->group);
      break;
    case ADMISSION_FULL:
      call_refuse (c, "overloaded", "the organisation's queue is full",
                   retry_us);
      break;
    case ADMISSION_TOO_LATE:
      call_refuse (c, "deadline", "the queue is too long for the deadline",
                   retry_us);
      break;
    }
}

/* Returns whether a commit may have taken effect despite the error: true for
   the SQLSTATEs 57P0x (the server stops) and 08xxx (connection error). */
static bool
leaves_commit_unknown (const struct pgsql_reply *reply)
{
  return strncmp (reply->sqlstate, "57P0", 4) == 0
         || strncmp (reply->sqlstate, "08", 2) == 0;
}

/* Handles the answer that a statement failed. */
static void
on_statement_failed (struct call *c, const struct pgsql_reply *reply)
{
  /* 23505 is a unique violation; statement 1 of a write with a key inserts the
     key.  25006 is an attempt to write in a read-only transaction. */
  bool duplicate_key = c->key != NULL && reply->failed == 1
                       && strcmp (reply->sqlstate, "23505") == 0;
  bool read_only = strcmp (reply->sqlstate, "25006") == 0;
  release_connection (c, true, false);
  if (duplicate_key)
    {
      start_lookup (c);
      return;
    }
  if (!c->is_read && read_only)
    {
      /* The endpoint is not the primary any more, so nothing ran. */
      handle_event (c, REQUEST_FENCED);
      return;
    }
  if (leaves_commit_unknown (reply))
    {
      handle_event (c, REQUEST_LOST);
      return;
    }
  set_failure (c, read_only ? "read_only" : "statement_failed",
               reply->message);
  handle_event (c, REQUEST_FAILED);
}

/* Handles the loss of the connection, if that is what the reply reports.
   @return true if so; the callback must then return at once, because the call
   has ended and been freed, looks up its key or is sent again. */
static bool
handle_lost_connection (struct call *c, const struct pgsql_reply *reply)
{
  if (reply->end != PGSQL_LOST && reply->end != PGSQL_NOT_SENT)
    return false;
  struct endpoint *e = c->endpoint;
  c->connection = NULL;
  release_connection (c, false, true);
  endpoint_on_failure (e);
  set_failure (c, "endpoint_lost", "the connection to the endpoint broke");
  handle_event (c, REQUEST_LOST);
  return true;
}

static void
on_write_done (void *data, const struct pgsql_reply *reply)
{
  struct call *c = data;
  int first = c->first_caller_statement;
  if (handle_lost_connection (c, reply))
    return;
  if (reply->end == PGSQL_FAILED)
    {
      on_statement_failed (c, reply);
      return;
    }
  bool in_transaction = store_results (c, reply);
  const char *tag
      = PQcmdStatus (reply->results[first + c->statement_count + 1]);
  bool committed = strcmp (tag, "COMMIT") == 0;
  if (!in_transaction
      || !store_positions (c, reply, first + c->statement_count,
                           first + c->statement_count + 2)
      || !committed)
    {
      release_connection (c, false, false);
      set_failure (c, "forbidden_statement",
                   "a statement changed the transaction");
      /* If no statement changed the transaction, a tag other than COMMIT means
         that it was rolled back.  Otherwise the outcome is unknown. */
      handle_event (c, in_transaction && !committed ? REQUEST_FAILED
                                                    : REQUEST_LOST);
      return;
    }
  release_connection (c, true, false);
  handle_event (c, REQUEST_ANSWERED);
}

/* Sends BEGIN, the row of the idempotency key, the caller's statements and
   COMMIT between two status queries, in one pipeline. */
static void
send_write (struct call *c)
{
  static const char insert[]
      = "INSERT INTO azurewind_requests (organisation, key, digest, state) "
        "VALUES ($1, $2, $3, 'ran')";
  struct pgsql_statement all[CALL_MAX_STATEMENTS + 8];
  const char *params[] = { c->organisation->name, c->key, c->digest };
  int n = 0;
  all[n++] = begin_write;
  if (c->key != NULL)
    all[n++] = (struct pgsql_statement){ insert, params, 3 };
  c->first_caller_statement = n;
  for (int i = 0; i < c->statement_count; i++)
    all[n++] = c->statements[i];
  all[n++] = status_statement ("position");
  all[n++] = commit;
  all[n++] = status_statement ("position");
  c->sent_at = clock_now ();
  handle_event (c, REQUEST_SENT);
  pgsql_run_with_reset (c->connection, all, n, on_write_done, c);
}

static void
on_route_retry (struct tevent_context *ev, struct tevent_timer *te,
                struct timeval now, void *data)
{
  (void)ev, (void)te, (void)now;
  enqueue_call (data);
}

static void
on_read_done (void *data, const struct pgsql_reply *reply)
{
  struct call *c = data;
  struct endpoint *e = c->endpoint;
  struct endpoint_status status;
  if (handle_lost_connection (c, reply))
    return;
  bool guarded
      = reply->count > 0 && pgsql_parse_status (reply->results[0], &status);
  if (guarded)
    endpoint_on_status (e, &status, c->sent_at);
  guarded
      = guarded && routing_guard_holds (c->group->routing, &c->route, &status);
  if (!guarded)
    {
      c->read.tried |= 1u << e->index;
      release_connection (c, true, false);
      handle_event (c, REQUEST_FENCED);
      return;
    }
  if (reply->end == PGSQL_FAILED)
    {
      on_statement_failed (c, reply);
      return;
    }
  if (!store_results (c, reply))
    {
      release_connection (c, false, false);
      set_failure (c, "forbidden_statement",
                   "a statement changed the transaction");
      handle_event (c, REQUEST_FAILED);
      return;
    }
  release_connection (c, true, false);
  c->served_by_replica = c->route.is_replica;
  (*(c->served_by_replica ? c->organisation->reads_replica
                          : c->organisation->reads_primary))++;
  handle_event (c, REQUEST_ANSWERED);
}

/* Sends the guard query and the caller's statements in a read-only
   transaction, in one pipeline. */
static void
send_read (struct call *c)
{
  struct pgsql_statement all[CALL_MAX_STATEMENTS + 8];
  int n = 0;
  all[n++] = status_statement ("guard");
  all[n++] = begin_read;
  c->first_caller_statement = n;
  for (int i = 0; i < c->statement_count; i++)
    all[n++] = c->statements[i];
  all[n++] = commit;
  c->sent_at = clock_now ();
  handle_event (c, REQUEST_SENT);
  pgsql_run_with_reset (c->connection, all, n, on_read_done, c);
}

/* ---- lookup of an idempotency key ---- */

/* Queues the call for a new attempt of its lookup by call_dispatch, which the
   group's timer calls. */
static void
queue_lookup (struct call *c)
{
  struct group *g = c->group;
  remove_from_list (&g->awaiting_lookup, c);
  c->next = g->awaiting_lookup;
  g->awaiting_lookup = c;
}

static void
on_lookup_done (void *data, const struct pgsql_reply *reply)
{
  struct call *c = data;
  if (handle_lost_connection (c, reply))
    return;
  if (reply->end == PGSQL_FAILED)
    {
      release_connection (c, true, false);
      queue_lookup (c);
      return;
    }
  const char *digest = pgsql_value (reply->results[2], 0, "digest");
  const char *state = pgsql_value (reply->results[2], 0, "state");
  bool ok
      = digest != NULL && state != NULL && store_positions (c, reply, 3, 5);
  bool ran = ok && strcmp (state, "ran") == 0;
  bool reused = ok && ran && !c->only_lookup && !is_own_digest (c, digest);
  release_connection (c, ok, !ok);
  if (!ok)
    {
      queue_lookup (c);
      return;
    }
  /* The reply depends on the row only after the lookup's own commit is
     confirmed.  The row may have been written at any earlier position, so a
     discarded lookup does not prove that the request did not run: 0 keeps
     authority_decide from returning ACK_DISCARDED. */
  c->position_before = 0;
  if (reused)
    {
      set_failure (c, "idempotency_key_reused",
                   "another request has used this idempotency key");
      handle_event (c, REQUEST_RESOLVED_NOT_RUN);
    }
  else if (ran)
    {
      c->replayed = true;
      handle_event (c, REQUEST_RESOLVED_RAN);
    }
  else
    {
      set_failure (c, "key_barred",
                   "the request with this key did not run "
                   "and its key is used up");
      handle_event (c, REQUEST_RESOLVED_NOT_RUN);
    }
}

/* Reads the row of the idempotency key.  If there is none, a tombstone (state
   'barred') is inserted first, so that the earlier request cannot run any
   more. */
static void
send_lookup (struct call *c)
{
  /* The unique index makes the INSERT wait until an open transaction with
     the same key has ended, so the row that the SELECT finds is final. */
  static const char insert[]
      = "INSERT INTO azurewind_requests (organisation, key, digest, state) "
        "VALUES ($1, $2, $3, 'barred') ON CONFLICT DO NOTHING";
  static const char select[]
      = "SELECT digest, state FROM azurewind_requests WHERE organisation = $1 "
        "AND key = $2";
  const char *params[] = { c->organisation->name, c->key, c->digest };
  struct pgsql_statement all[] = {
    begin_write,
    { insert, params, 3 },
    { select, params, 2 },
    status_statement ("position"),
    commit,
    status_statement ("position"),
  };
  c->sent_at = clock_now ();
  pgsql_run_with_reset (c->connection, all, sizeof all / sizeof all[0],
                        on_lookup_done, c);
}

/* ---- connections ---- */

static void
on_connection_acquired (void *data, struct pgsql_connection *connection,
                        const struct error *err)
{
  struct acquisition *a = data;
  struct call *c = a->call;
  bool lookup = a->lookup;
  struct endpoint *e = a->endpoint;
  talloc_free (a);
  if (c == NULL)
    {
      if (connection != NULL)
        pgsql_release (connection);
      return;
    }
  c->acquisition = NULL;
  c->connection = connection;
  if (connection == NULL)
    {
      log_debug (PART, "no connection endpoint=%s error=\"%s\"", e->name,
                 LOG_TEXT (bstr_from (err->text)));
      /* ERROR_REFUSED: the pool's limit is reached, so the endpoint did not
         fail. */
      release_connection (c, false, err->code != ERROR_REFUSED);
      if (err->code != ERROR_REFUSED)
        endpoint_on_failure (e);
      if (lookup)
        queue_lookup (c);
      else
        {
          c->read.tried |= 1u << e->index;
          /* The delay keeps the daemon from retrying an endpoint that refuses
             connections in a busy loop. */
          daemon_add_timer (c->group->daemon, c, 5 * USEC_PER_MSEC,
                            on_route_retry, c);
        }
      return;
    }
  if (lookup)
    send_lookup (c);
  else if (c->is_read)
    send_read (c);
  else
    send_write (c);
}

static void
acquire_connection (struct call *c, struct endpoint *e, bool lookup)
{
  struct acquisition *a = talloc_zero (c->group, struct acquisition);
  *a = (struct acquisition){ c, e, lookup };
  c->acquisition = a;
  c->endpoint = e;
  c->sent_at = clock_now ();
  pgsql_acquire (e->pool, on_connection_acquired, a);
}

static bool
endpoint_has_capacity (const struct endpoint *e)
{
  return pgsql_pool_can_acquire (e->pool)
         && admission_limit_running (e->limit)
                < admission_limit_value (e->limit);
}

/* Looks the idempotency key up at the primary, or queues the lookup if there
   is no primary or it has no capacity. */
static void
start_lookup (struct call *c)
{
  struct endpoint *e = group_writable_primary (c->group, clock_now ());
  remove_from_list (&c->group->awaiting_lookup, c);
  if (e == NULL || !endpoint_has_capacity (e)
      || !admission_limit_start (e->limit))
    queue_lookup (c);
  else
    acquire_connection (c, e, true);
}

/* ---- queues ---- */

static void
update_loads (struct group *g)
{
  for (int i = 0; i < g->endpoint_count; i++)
    {
      struct endpoint *e = &g->endpoints[i];
      int slots = admission_limit_value (e->limit);
      int running = endpoint_has_capacity (e)
                        ? admission_limit_running (e->limit)
                        : slots;
      routing_set_load (g->routing, i, running, slots);
    }
}

/* Sends a dequeued read to the endpoint that core/routing chooses, or waits
   and puts it back into its queue. */
static void
route_read (struct call *c)
{
  struct group *g = c->group;
  update_loads (g);
  c->route = routing_choose (g->routing, &c->read, clock_now ());
  switch (c->route.kind)
    {
    case ROUTE_ENDPOINT:
      {
        struct endpoint *e = &g->endpoints[c->route.endpoint];
        admission_limit_start (e->limit);
        acquire_connection (c, e, false);
        break;
      }
    case ROUTE_WAIT:
      c->read.waited_us += c->route.wait_us;
      c->read.tried = 0;
      daemon_add_timer (g->daemon, c, c->route.wait_us, on_route_retry, c);
      break;
    case ROUTE_NONE:
      c->read.tried = 0;
      __attribute__ ((fallthrough));
    case ROUTE_BUSY:
      daemon_add_timer (g->daemon, c, BUSY_RETRY_US, on_route_retry, c);
      break;
    }
}

/* Whether a read that is dequeued now would probably find a slot at an
   endpoint.  Reads go to the primary only if no replica can serve them. */
static bool
has_read_capacity (const struct group *g)
{
  int primary = authority_primary (g->authority);
  bool primary_free = false;
  for (int i = 0; i < g->endpoint_count; i++)
    if (endpoint_has_capacity (&g->endpoints[i]))
      {
        if (i != primary)
          return true;
        primary_free = true;
      }
  return primary_free && !routing_has_replica (g->routing, clock_now ());
}

/* Takes the next call from a queue.  Calls whose API key was revoked while
   they waited are refused. */
static struct call *
dequeue_call (struct admission *queue)
{
  struct admission_entry *entry;
  while ((entry = admission_pop (queue, clock_now ())) != NULL)
    {
      struct call *c = entry->request;
      c->queued = false;
      c->dequeued = true;
      if (keys_is_active (c->group->daemon->keys, c->key_id))
        return c;
      call_refuse (c, "key_revoked", "the key is revoked", 0);
    }
  return NULL;
}

static void
dispatch_writes (struct group *g)
{
  struct call *c;
  struct endpoint *e = group_writable_primary (g, clock_now ());
  if (e == NULL || !g->schema_ready)
    return;
  while (endpoint_has_capacity (e) && (c = dequeue_call (g->writes)) != NULL)
    {
      admission_limit_start (e->limit);
      acquire_connection (c, e, false);
    }
}

static void
dispatch_reads (struct group *g)
{
  struct call *c;
  while (has_read_capacity (g) && (c = dequeue_call (g->reads)) != NULL)
    route_read (c);
}

void
call_dispatch (struct group *g)
{
  struct call *next;
  if (g->dispatching)
    return;
  g->dispatching = true;
  dispatch_writes (g);
  dispatch_reads (g);
  for (struct call *c = g->awaiting_lookup; c != NULL; c = next)
    {
      next = c->next;
      start_lookup (c);
    }
  g->dispatching = false;
}

/* Sets the error of a call whose deadline passed; for a write without a
   primary, also a retry hint. */
static void
set_deadline_failure (struct call *c)
{
  if (!c->is_read && group_writable_primary (c->group, clock_now ()) == NULL)
    {
      set_failure (c, "no_primary", "no primary before the deadline");
      c->retry_us = NO_PRIMARY_RETRY_US;
    }
  else
    set_failure (c, "deadline", "the deadline passed");
}

static void
expire_queue (struct admission *queue)
{
  struct admission_entry *entry;
  while ((entry = admission_pop_expired (queue, clock_now ())) != NULL)
    {
      struct call *c = entry->request;
      c->queued = false;
      set_deadline_failure (c);
      handle_event (c, REQUEST_EXPIRED);
    }
}

void
call_expire_queued (struct group *g)
{
  expire_queue (g->writes);
  expire_queue (g->reads);
}

/* The first expiry allows a running request with a key LOOKUP_GRACE_US for
   its lookup; the second ends the call. */
static void
on_deadline (struct tevent_context *ev, struct tevent_timer *te,
             struct timeval now, void *data)
{
  (void)ev, (void)te, (void)now;
  struct call *c = data;
  struct group *g = c->group;
  c->deadline_timer = NULL;
  if (c->queued)
    {
      admission_remove (queue_of (c), &c->entry);
      c->queued = false;
    }
  remove_from_list (&g->unconfirmed_writes, c);
  remove_from_list (&g->awaiting_lookup, c);
  release_connection (c, false, true);
  set_deadline_failure (c);
  c->deadline_timer
      = daemon_add_timer (g->daemon, c, LOOKUP_GRACE_US, on_deadline, c);
  handle_event (c, REQUEST_EXPIRED);
}

static void
perform_action (struct call *c, enum request_action action)
{
  struct group *g = c->group;
  switch (action)
    {
    case REQUEST_ACTION_NONE:
      break;
    case REQUEST_ACTION_SEND:
      enqueue_call (c);
      break;
    case REQUEST_ACTION_CONFIRM:
      if (c->is_read)
        handle_event (c, REQUEST_CONFIRMED);
      else
        await_confirmation (c);
      break;
    case REQUEST_ACTION_RESOLVE:
      remove_from_list (&g->unconfirmed_writes, c);
      release_connection (c, false, true);
      start_lookup (c);
      break;
    case REQUEST_ACTION_REPLY:
      finish_call (c);
      break;
    }
}

/* ---- creation ---- */

static int
call_destructor (struct call *c)
{
  json_decref (c->results);
  return 0;
}

struct call *
call_create (const struct call_options *o)
{
  struct group *g = o->group;
  struct call *c = talloc_zero (g, struct call);
  talloc_set_destructor (c, call_destructor);
  group_add_user (c, g);
  c->group = g;
  c->organisation = o->organisation;
  c->http = o->http;
  c->request_id = talloc_strdup (c, o->request_id);
  c->key_id = talloc_strdup (c, o->key_id);
  c->is_read = o->is_read;
  if (o->key.len > 0)
    c->key = bstr_to_text (c, o->key);
  c->started = clock_now ();
  c->deadline = c->started + o->deadline_us;
  if (o->token != NULL)
    c->token = *o->token;
  c->read.freshness = o->freshness;
  c->read.max_staleness_us = o->max_staleness_us;
  c->read.after = token_position (&c->token, bstr_from (g->service));
  c->entry.organisation = c->organisation->name;
  c->entry.class_ = !o->is_read ? CLASS_WRITE
                    : o->freshness == FRESHNESS_READ_YOUR_WRITES
                        ? CLASS_SESSION
                        : CLASS_BROWSE;
  c->entry.weight = o->organisation->values.weight;
  c->entry.cost = 1;
  c->entry.queued_at = c->started;
  c->entry.deadline = c->deadline;
  c->entry.request = c;
  c->request = request_create (
      c, &(struct request_options){ .chart = g->daemon->request_chart,
                                    .has_key = c->key != NULL,
                                    .read_only = c->is_read,
                                    .max_sends = MAX_SENDS });
  return c;
}

bool
call_add_statement (struct call *c, const char *sql, const char *const *params,
                    int param_count)
{
  if (c->statement_count >= CALL_MAX_STATEMENTS)
    return false;
  c->statements[c->statement_count++]
      = (struct pgsql_statement){ sql, params, param_count };
  return true;
}

/* Begins a digest of the present form; those of earlier versions of the daemon
   have only the hash. */
#define DIGEST_PREFIX "2:"

static void
hash_text (crypto_generichash_state *state, const char *text)
{
  crypto_generichash_update (state, (const unsigned char *)text,
                             strlen (text) + 1);
}

/* Hashes the statements and parameters.  In the present form, the number of
   parameters and whether one is NULL tell requests apart whose texts follow
   one another in the same order.
   @param prefix that of the form.
   @return the digest, owned by the call. */
static char *
compute_digest (struct call *c, const char *prefix)
{
  crypto_generichash_state state;
  unsigned char hash[crypto_generichash_BYTES];
  char hex[2 * sizeof hash + 1], number[16];
  bool has_structure = prefix[0] != '\0';
  crypto_generichash_init (&state, NULL, 0, sizeof hash);
  for (int i = 0; i < c->statement_count; i++)
    {
      const struct pgsql_statement *s = &c->statements[i];
      hash_text (&state, s->sql);
      snprintf (number, sizeof number, "%d", s->param_count);
      if (has_structure)
        hash_text (&state, number);
      for (int k = 0; k < s->param_count; k++)
        {
          if (has_structure)
            hash_text (&state, s->params[k] != NULL ? "value" : "null");
          hash_text (&state, s->params[k] != NULL ? s->params[k] : "\1");
        }
    }
  crypto_generichash_final (&state, hash, sizeof hash);
  sodium_bin2hex (hex, sizeof hex, hash, sizeof hash);
  return talloc_asprintf (c, "%s%s", prefix, hex);
}

/* Computes the digest, which reveals the reuse of an idempotency key for
   another request. */
static void
set_digest (struct call *c)
{
  c->digest = compute_digest (c, DIGEST_PREFIX);
}

/* @return whether the digest, which may be of an earlier form, is that of the
   call. */
static bool
is_own_digest (struct call *c, const char *digest)
{
  bool present = bstr_starts_with (bstr_from (digest), DIGEST_PREFIX);
  return strcmp (digest, compute_digest (c, present ? DIGEST_PREFIX : ""))
         == 0;
}

static void
start_deadline_timer (struct call *c)
{
  c->deadline_timer = daemon_add_timer (
      c->group->daemon, c, c->deadline - clock_now (), on_deadline, c);
}

void
call_start (struct call *c)
{
  start_deadline_timer (c);
  if (c->key != NULL)
    set_digest (c);
  enqueue_call (c);
}

void
call_lookup (struct call *c)
{
  start_deadline_timer (c);
  set_digest (c);
  c->only_lookup = true;
  handle_event (c, REQUEST_ASKED);
}

static void
on_commit_done (void *data, const struct pgsql_reply *reply)
{
  struct call *c = data;
  if (handle_lost_connection (c, reply))
    return;
  if (reply->end == PGSQL_FAILED && leaves_commit_unknown (reply))
    {
      release_connection (c, false, true);
      handle_event (c, REQUEST_LOST);
      return;
    }
  if (reply->end == PGSQL_FAILED
      || strcmp (PQcmdStatus (reply->results[1]), "COMMIT") != 0)
    {
      release_connection (c, true, false);
      set_failure (c, "statement_failed",
                   reply->end == PGSQL_FAILED
                       ? reply->message
                       : "the transaction had failed and was rolled back");
      handle_event (c, REQUEST_FAILED);
      return;
    }
  if (!store_positions (c, reply, 0, 2))
    {
      release_connection (c, false, false);
      handle_event (c, REQUEST_LOST);
      return;
    }
  release_connection (c, true, false);
  handle_event (c, REQUEST_ANSWERED);
}

void
call_commit (struct call *c, struct endpoint *e,
             struct pgsql_connection *connection)
{
  struct pgsql_statement all[] = { status_statement ("position"), commit,
                                   status_statement ("position") };
  start_deadline_timer (c);
  c->endpoint = e;
  c->connection = connection;
  c->sent_at = clock_now ();
  handle_event (c, REQUEST_SENT);
  pgsql_run_with_reset (connection, all, 3, on_commit_done, c);
}
