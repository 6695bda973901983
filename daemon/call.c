#include "daemon/call.h"

#include "common/clock.h"
#include "common/log.h"
#include "daemon/reply.h"

#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>

#define PART "call"
/* A read is sent once, again after each of five waits for a replica, and
   then to the primary. */
#define MAX_SENDS 8
/* A change of primary takes one to three seconds. */
#define NO_PRIMARY_RETRY_US (1 * USEC_PER_SEC)
/* A read that was popped and found its endpoints busy asks again then. */
#define BUSY_RETRY_US (1 * USEC_PER_MSEC)

/* After its deadline a request with a key gets this long for the lookup
   that turns "unknown" into an outcome. */
#define LOOKUP_GRACE_US (2 * USEC_PER_SEC)

/* Ties a connection that is being opened to its call; the call may end
   first. */
struct acquisition
{
  struct call *call;
  struct endpoint *endpoint;
  bool lookup;
};

static void take_step (struct call *c, enum request_action step);
static void run_lookup (struct call *c);

/* ---- replies ---- */

struct code_status
{
  const char *code;
  unsigned status;
};

static unsigned
status_of (const char *code, enum outcome outcome)
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

static void
add_session (struct call *c, json_t *json)
{
  struct token *token = &c->token;
  struct daemon *d = c->group->daemon;
  token->organisation = bstr_from (c->organisation->name);
  if (!c->is_read)
    token_advance (token, bstr_from (c->group->service),
                   (struct position){ c->term, c->upper });
  if (token->count > 0)
    json_object_set_new (json, "session",
                         json_string (token_encode (c, token, d->token_key)));
}

static void
reply_ran (struct call *c)
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
  add_session (c, json);
  reply_json (c->http, 200, json, JSON_COMPACT);
}

static void
leave_list (struct call **list, struct call *c)
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

/* It has left the endpoint or its wait for one.
   @param service_us time at the endpoint, negative if it was not served. */
static void
end_service (struct call *c, int64_t service_us)
{
  if (!c->popped)
    return;
  c->popped = false;
  admission_done (queue_of (c), &c->entry, service_us, clock_now ());
}

static void
drop_connection (struct call *c, bool reusable, bool failed)
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
      end_service (c, failed ? -1 : now - c->sent_at);
      c->endpoint = NULL;
    }
}

static void
finish (struct call *c)
{
  struct group *g = c->group;
  enum outcome outcome = request_outcome (c->request);
  int64_t now = clock_now ();
  leave_list (&g->held, c);
  leave_list (&g->resolving, c);
  drop_connection (c, false, outcome == OUTCOME_UNKNOWN);
  end_service (c, -1);
  (*c->organisation->outcomes[outcome])++;
  histogram_add (c->organisation->latency[c->entry.class_],
                 (uint64_t)(now - c->started));
  if (outcome == OUTCOME_RAN && c->too_many_rows)
    reply_error (c->http, 422, c->request_id, outcome, "too_many_rows",
                 "the answer has more rows than max_rows allows", 0);
  else if (outcome == OUTCOME_RAN)
    reply_ran (c);
  else
    {
      const char *code = c->code;
      if (outcome == OUTCOME_UNKNOWN)
        code = "outcome_unknown";
      else if (code == NULL)
        code = "not_run";
      reply_error (c->http, status_of (code, outcome), c->request_id, outcome,
                   code, c->message, c->retry_us);
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
handle (struct call *c, enum request_event event)
{
  take_step (c, request_handle_event (c->request, event));
}

void
call_refuse (struct call *c, const char *code, const char *message,
             int64_t retry_us)
{
  set_failure (c, code, message);
  c->retry_us = retry_us;
  handle (c, REQUEST_REFUSED);
}

/* ---- results ---- */

/* Type numbers of PostgreSQL's catalogue pg_type. */
enum type_oid
{
  TYPE_BOOL = 16,
  TYPE_INT8 = 20,
  TYPE_INT2 = 21,
  TYPE_INT4 = 23,
  TYPE_FLOAT4 = 700,
  TYPE_FLOAT8 = 701
};

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
        /* NaN and infinity have no JSON number. */
        return number != NULL ? number : json_string (text);
      }
    default:
      return json_stringn_nocheck (text,
                                   (size_t)PQgetlength (result, row, column));
    }
}

json_t *
call_result_json (const PGresult *result)
{
  json_t *json = json_object ();
  json_t *columns = json_array (), *rows = json_array ();
  int width = PQnfields (result);
  for (int i = 0; i < width; i++)
    json_array_append_new (columns, json_string (PQfname (result, i)));
  for (int r = 0; r < PQntuples (result); r++)
    {
      json_t *row = json_array ();
      for (int i = 0; i < width; i++)
        json_array_append_new (row, value_json (result, r, i));
      json_array_append_new (rows, row);
    }
  json_object_set_new (json, "columns", columns);
  json_object_set_new (json, "rows", rows);
  json_object_set_new (
      json, "affected",
      json_integer (
          strtoll (PQcmdTuples ((PGresult *)(uintptr_t)result), NULL, 10)));
  return json;
}

/* A statement that ends the daemon's own transaction would break its
   framing; its command tag shows it. */
static bool
left_transaction (const PGresult *result)
{
  static const char *const tags[] = { "BEGIN", "COMMIT", "ROLLBACK" };
  const char *tag = PQcmdStatus ((PGresult *)(uintptr_t)result);
  for (size_t i = 0; i < sizeof tags / sizeof tags[0]; i++)
    if (strncmp (tag, tags[i], strlen (tags[i])) == 0)
      return true;
  return false;
}

static bool
keep_results (struct call *c, const struct pgsql_reply *reply)
{
  int64_t rows = 0;
  json_decref (c->results);
  c->results = json_array ();
  for (int i = 0; i < c->statement_count; i++)
    {
      const PGresult *result = reply->results[c->first_user_statement + i];
      if (left_transaction (result))
        return false;
      rows += PQntuples (result);
      c->too_many_rows = rows > c->organisation->values.max_rows;
      if (!c->too_many_rows)
        json_array_append_new (c->results, call_result_json (result));
    }
  return true;
}

static bool
take_positions (struct call *c, const struct pgsql_reply *reply, int lower,
                int upper)
{
  struct endpoint_status before, after;
  if (!pgsql_parse_status (reply->results[lower], &before)
      || !pgsql_parse_status (reply->results[upper], &after))
    return false;
  c->term = after.term;
  c->lower = before.received;
  c->upper = after.received;
  endpoint_on_status (c->endpoint, &after, c->sent_at);
  return before.term == after.term && !before.in_recovery
         && !after.in_recovery;
}

/* ---- confirmation ---- */

static void
decide (struct call *c)
{
  switch (authority_decide (c->group->authority, c->term, c->lower, c->upper,
                            clock_now ()))
    {
    case ACK_SEND:
      handle (c, REQUEST_CONFIRMED);
      break;
    case ACK_DISCARDED:
      set_failure (c, "primary_replaced",
                   "the primary was replaced before the write was safe");
      handle (c, REQUEST_DISCARDED);
      break;
    case ACK_UNKNOWN:
      handle (c, REQUEST_UNDECIDED);
      break;
    case ACK_WAIT:
      break;
    }
}

void
call_recheck_held (struct group *g)
{
  struct call *next;
  for (struct call *c = g->held; c != NULL; c = next)
    {
      next = c->next;
      decide (c);
    }
}

static void
hold (struct call *c)
{
  struct group *g = c->group;
  c->next = g->held;
  g->held = c;
  group_hurry (g);
  decide (c);
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
enqueue (struct call *c)
{
  int64_t retry_us = 0;
  end_service (c, -1);
  switch (admission_push (queue_of (c), &c->entry, clock_now (), &retry_us))
    {
    case ADMISSION_QUEUED:
      c->queued = true;
      handle (c, REQUEST_QUEUED);
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

/* 57P0x, 08xxx: the server stops, the fate of a commit is open. */
static bool
leaves_commit_open (const struct pgsql_reply *reply)
{
  return strncmp (reply->sqlstate, "57P0", 4) == 0
         || strncmp (reply->sqlstate, "08", 2) == 0;
}

/* The endpoint answered, the statement failed and was rolled back. */
static void
on_statement_failed (struct call *c, const struct pgsql_reply *reply)
{
  bool duplicate_key = c->key != NULL && reply->failed == 1
                       && strcmp (reply->sqlstate, "23505") == 0;
  bool read_only = strcmp (reply->sqlstate, "25006") == 0;
  drop_connection (c, true, false);
  if (duplicate_key)
    {
      run_lookup (c);
      return;
    }
  if (!c->is_read && read_only)
    {
      /* The endpoint is no primary any more: nothing ran. */
      handle (c, REQUEST_FENCED);
      return;
    }
  if (leaves_commit_open (reply))
    {
      handle (c, REQUEST_LOST);
      return;
    }
  set_failure (c, read_only ? "read_only" : "statement_failed",
               reply->message);
  handle (c, REQUEST_FAILED);
}

static bool
on_broken (struct call *c, const struct pgsql_reply *reply)
{
  if (reply->end != PGSQL_LOST && reply->end != PGSQL_NOT_SENT)
    return false;
  struct endpoint *e = c->endpoint;
  c->connection = NULL;
  drop_connection (c, false, true);
  endpoint_on_failure (e);
  set_failure (c, "endpoint_lost", "the connection to the endpoint broke");
  handle (c, REQUEST_LOST);
  return true;
}

static void
on_write_done (void *data, const struct pgsql_reply *reply)
{
  struct call *c = data;
  int user = c->first_user_statement;
  if (on_broken (c, reply))
    return;
  if (reply->end == PGSQL_FAILED)
    {
      on_statement_failed (c, reply);
      return;
    }
  bool framed = keep_results (c, reply);
  const char *tag
      = PQcmdStatus (reply->results[user + c->statement_count + 1]);
  bool committed = strcmp (tag, "COMMIT") == 0;
  if (!framed
      || !take_positions (c, reply, user + c->statement_count,
                          user + c->statement_count + 2)
      || !committed)
    {
      drop_connection (c, false, false);
      set_failure (c, "forbidden_statement",
                   "a statement changed the transaction");
      handle (c, framed && !committed ? REQUEST_FAILED : REQUEST_LOST);
      return;
    }
  drop_connection (c, true, false);
  handle (c, REQUEST_ANSWERED);
}

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
  c->first_user_statement = n;
  for (int i = 0; i < c->statement_count; i++)
    all[n++] = c->statements[i];
  all[n++] = status_statement ("position");
  all[n++] = commit;
  all[n++] = status_statement ("position");
  c->sent_at = clock_now ();
  handle (c, REQUEST_SENT);
  pgsql_run_with_reset (c->connection, all, n, on_write_done, c);
}

static void
route_again (struct tevent_context *ev, struct tevent_timer *te,
             struct timeval now, void *data)
{
  (void)ev, (void)te, (void)now;
  enqueue (data);
}

static void
on_read_done (void *data, const struct pgsql_reply *reply)
{
  struct call *c = data;
  struct endpoint *e = c->endpoint;
  struct endpoint_status status;
  if (on_broken (c, reply))
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
      drop_connection (c, true, false);
      handle (c, REQUEST_FENCED);
      return;
    }
  if (reply->end == PGSQL_FAILED)
    {
      on_statement_failed (c, reply);
      return;
    }
  if (!keep_results (c, reply))
    {
      drop_connection (c, false, false);
      set_failure (c, "forbidden_statement",
                   "a statement changed the transaction");
      handle (c, REQUEST_FAILED);
      return;
    }
  drop_connection (c, true, false);
  c->served_by_replica = c->route.is_replica;
  (*(c->served_by_replica ? c->organisation->reads_replica
                          : c->organisation->reads_primary))++;
  handle (c, REQUEST_ANSWERED);
}

static void
send_read (struct call *c)
{
  struct pgsql_statement all[CALL_MAX_STATEMENTS + 8];
  int n = 0;
  all[n++] = status_statement ("guard");
  all[n++] = begin_read;
  c->first_user_statement = n;
  for (int i = 0; i < c->statement_count; i++)
    all[n++] = c->statements[i];
  all[n++] = commit;
  c->sent_at = clock_now ();
  handle (c, REQUEST_SENT);
  pgsql_run_with_reset (c->connection, all, n, on_read_done, c);
}

/* ---- lookup of an idempotency key ---- */

/* The group's tick tries again. */
static void
wait_for_lookup (struct call *c)
{
  struct group *g = c->group;
  leave_list (&g->resolving, c);
  c->next = g->resolving;
  g->resolving = c;
}

static void
on_lookup_done (void *data, const struct pgsql_reply *reply)
{
  struct call *c = data;
  if (on_broken (c, reply))
    return;
  if (reply->end == PGSQL_FAILED)
    {
      drop_connection (c, true, false);
      wait_for_lookup (c);
      return;
    }
  const char *digest = pgsql_value (reply->results[2], 0, "digest");
  const char *state = pgsql_value (reply->results[2], 0, "state");
  bool ok = digest != NULL && state != NULL && take_positions (c, reply, 3, 5);
  bool ran = ok && strcmp (state, "ran") == 0;
  bool reused
      = ok && ran && !c->only_lookup && strcmp (digest, c->digest) != 0;
  drop_connection (c, ok, !ok);
  if (!ok)
    {
      wait_for_lookup (c);
      return;
    }
  /* Nothing depends on the row before the lookup itself is confirmed. */
  c->lower = 0;
  if (reused)
    {
      set_failure (c, "idempotency_key_reused",
                   "another request has used this idempotency key");
      handle (c, REQUEST_RESOLVED_NOT_RUN);
    }
  else if (ran)
    {
      c->replayed = true;
      handle (c, REQUEST_RESOLVED_RAN);
    }
  else
    {
      set_failure (c, "key_barred",
                   "the request with this key did not run "
                   "and its key is used up");
      handle (c, REQUEST_RESOLVED_NOT_RUN);
    }
}

static void
send_lookup (struct call *c)
{
  /* The unique index makes the INSERT wait for an open transaction with the
     same key, so what the SELECT finds is final. */
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
on_connection (void *data, struct pgsql_connection *connection,
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
                 err->text);
      drop_connection (c, false, err->code != ERROR_REFUSED);
      if (err->code != ERROR_REFUSED)
        endpoint_on_failure (e);
      if (lookup)
        wait_for_lookup (c);
      else
        {
          c->read.tried |= 1u << e->index;
          /* A pause, so that an endpoint that refuses is not asked in a
             busy loop. */
          daemon_after (c->group->daemon, c, 5 * USEC_PER_MSEC, route_again,
                        c);
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
acquire (struct call *c, struct endpoint *e, bool lookup)
{
  struct acquisition *a = talloc_zero (c->group, struct acquisition);
  *a = (struct acquisition){ c, e, lookup };
  c->acquisition = a;
  c->endpoint = e;
  c->sent_at = clock_now ();
  pgsql_acquire (e->pool, on_connection, a);
}

static bool
endpoint_free (const struct endpoint *e)
{
  return pgsql_pool_can_acquire (e->pool)
         && admission_limit_running (e->limit)
                < admission_limit_value (e->limit);
}

static void
run_lookup (struct call *c)
{
  struct endpoint *e = group_writable (c->group, clock_now ());
  leave_list (&c->group->resolving, c);
  if (e == NULL || !endpoint_free (e) || !admission_limit_start (e->limit))
    wait_for_lookup (c);
  else
    acquire (c, e, true);
}

/* ---- queues ---- */

static void
update_loads (struct group *g)
{
  for (int i = 0; i < g->endpoint_count; i++)
    {
      struct endpoint *e = &g->endpoints[i];
      int slots = admission_limit_value (e->limit);
      int running
          = endpoint_free (e) ? admission_limit_running (e->limit) : slots;
      routing_set_load (g->routing, i, running, slots);
    }
}

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
        acquire (c, e, false);
        break;
      }
    case ROUTE_WAIT:
      c->read.waited_us += c->route.wait_us;
      c->read.tried = 0;
      daemon_after (g->daemon, c, c->route.wait_us, route_again, c);
      break;
    case ROUTE_NONE:
      c->read.tried = 0;
      __attribute__ ((fallthrough));
    case ROUTE_BUSY:
      daemon_after (g->daemon, c, BUSY_RETRY_US, route_again, c);
      break;
    }
}

/* Whether a read popped now would probably find a slot: reads go to the
   primary only if no replica can serve them. */
static bool
read_slot_free (const struct group *g)
{
  int primary = authority_primary (g->authority);
  bool primary_free = false;
  for (int i = 0; i < g->endpoint_count; i++)
    if (endpoint_free (&g->endpoints[i]))
      {
        if (i != primary)
          return true;
        primary_free = true;
      }
  return primary_free && !routing_has_replica (g->routing, clock_now ());
}

/* Take the next request from a queue.  The key may have been revoked while
   the request waited. */
static struct call *
pop (struct admission *queue)
{
  struct admission_entry *entry;
  while ((entry = admission_pop (queue, clock_now ())) != NULL)
    {
      struct call *c = entry->request;
      c->queued = false;
      c->popped = true;
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
  struct endpoint *e = group_writable (g, clock_now ());
  if (e == NULL || !g->schema_ready)
    return;
  while (endpoint_free (e) && (c = pop (g->writes)) != NULL)
    {
      admission_limit_start (e->limit);
      acquire (c, e, false);
    }
}

static void
dispatch_reads (struct group *g)
{
  struct call *c;
  while (read_slot_free (g) && (c = pop (g->reads)) != NULL)
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
  for (struct call *c = g->resolving; c != NULL; c = next)
    {
      next = c->next;
      run_lookup (c);
    }
  g->dispatching = false;
}

/* Without a primary the caller learns when one is likely. */
static void
set_deadline_failure (struct call *c)
{
  if (!c->is_read && group_writable (c->group, clock_now ()) == NULL)
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
      handle (c, REQUEST_EXPIRED);
    }
}

void
call_expire (struct group *g)
{
  expire_queue (g->writes);
  expire_queue (g->reads);
}

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
  leave_list (&g->held, c);
  leave_list (&g->resolving, c);
  drop_connection (c, false, true);
  set_deadline_failure (c);
  c->deadline_timer
      = daemon_after (g->daemon, c, LOOKUP_GRACE_US, on_deadline, c);
  handle (c, REQUEST_EXPIRED);
}

static void
take_step (struct call *c, enum request_action step)
{
  struct group *g = c->group;
  switch (step)
    {
    case REQUEST_ACTION_NONE:
      break;
    case REQUEST_ACTION_SEND:
      enqueue (c);
      break;
    case REQUEST_ACTION_CONFIRM:
      if (c->is_read)
        handle (c, REQUEST_CONFIRMED);
      else
        hold (c);
      break;
    case REQUEST_ACTION_RESOLVE:
      leave_list (&g->held, c);
      drop_connection (c, false, true);
      run_lookup (c);
      break;
    case REQUEST_ACTION_REPLY:
      finish (c);
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
  group_use (c, g);
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

static void
set_digest (struct call *c)
{
  crypto_generichash_state state;
  unsigned char hash[crypto_generichash_BYTES];
  crypto_generichash_init (&state, NULL, 0, sizeof hash);
  for (int i = 0; i < c->statement_count; i++)
    {
      const struct pgsql_statement *s = &c->statements[i];
      crypto_generichash_update (&state, (const unsigned char *)s->sql,
                                 strlen (s->sql) + 1);
      for (int k = 0; k < s->param_count; k++)
        {
          const char *text = s->params[k] != NULL ? s->params[k] : "\1";
          crypto_generichash_update (&state, (const unsigned char *)text,
                                     strlen (text) + 1);
        }
    }
  crypto_generichash_final (&state, hash, sizeof hash);
  c->digest = talloc_array (c, char, 2 * sizeof hash + 1);
  sodium_bin2hex (c->digest, 2 * sizeof hash + 1, hash, sizeof hash);
}

static void
start_deadline (struct call *c)
{
  c->deadline_timer = daemon_after (
      c->group->daemon, c, c->deadline - clock_now (), on_deadline, c);
}

void
call_start (struct call *c)
{
  start_deadline (c);
  if (c->key != NULL)
    set_digest (c);
  enqueue (c);
}

void
call_lookup (struct call *c)
{
  start_deadline (c);
  set_digest (c);
  c->only_lookup = true;
  handle (c, REQUEST_ASKED);
}

static void
on_commit_done (void *data, const struct pgsql_reply *reply)
{
  struct call *c = data;
  if (on_broken (c, reply))
    return;
  if (reply->end == PGSQL_FAILED && leaves_commit_open (reply))
    {
      drop_connection (c, false, true);
      handle (c, REQUEST_LOST);
      return;
    }
  if (reply->end == PGSQL_FAILED
      || strcmp (PQcmdStatus (reply->results[1]), "COMMIT") != 0)
    {
      drop_connection (c, true, false);
      set_failure (c, "statement_failed",
                   reply->end == PGSQL_FAILED
                       ? reply->message
                       : "the transaction had failed and was rolled back");
      handle (c, REQUEST_FAILED);
      return;
    }
  if (!take_positions (c, reply, 0, 2))
    {
      drop_connection (c, false, false);
      handle (c, REQUEST_LOST);
      return;
    }
  drop_connection (c, true, false);
  handle (c, REQUEST_ANSWERED);
}

void
call_commit (struct call *c, struct endpoint *e,
             struct pgsql_connection *connection)
{
  struct pgsql_statement all[] = { status_statement ("position"), commit,
                                   status_statement ("position") };
  start_deadline (c);
  c->endpoint = e;
  c->connection = connection;
  c->sent_at = clock_now ();
  handle (c, REQUEST_SENT);
  pgsql_run_with_reset (connection, all, 3, on_commit_done, c);
}
