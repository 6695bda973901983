/* Transport for baseline measurements: sends the same statements straight to
   one endpoint, over asynchronous libpq connections in pipeline mode. */
#include "tools/load.h"

#include <libpq-fe.h>
#include <stdio.h>
#include <stdlib.h>

/* Most requests in flight on one connection; further ones wait in the
   transport's queue, so that a write that waits for a lock delays only few
   others. */
#define PIPELINE_DEPTH 8

/** One statement. */
struct direct_call
{
  struct direct_call *next;
  struct load_request *request;
  char sqlstate[6]; /**< Code of its first error; empty: none. */
  json_t *rows;
  int64_t affected;
};

/** One connection to the endpoint. */
struct direct_connection
{
  struct direct_transport *transport;
  PGconn *conn; /**< NULL: the connection was lost. */
  struct tevent_fd *fde;
  /** Calls in flight, oldest first, and the end of their list. */
  struct direct_call *first_call, **last_call;
  int in_flight; /**< Number of calls in flight. */
};

/** Transport over a fixed set of connections. */
struct direct_transport
{
  struct load_transport base;
  struct load *load;
  struct direct_connection *connections;
  int connection_count;
  /** Calls that wait for a connection, oldest first, and the end of their
   * list. */
  struct direct_call *first_call, **last_call;
};

static void
append_call (struct direct_call ***last, struct direct_call *call)
{
  call->next = NULL;
  **last = call;
  *last = &call->next;
}

/* Reports the outcome of a call to its request and frees the call.  A write
   whose connection was lost may have run. */
static void
finish_call (struct direct_call *call, bool connection_lost)
{
  struct load_request *r = call->request;
  struct load_answer answer = { .outcome = OUTCOME_RAN,
                                .rows = call->rows,
                                .affected = call->affected };
  if (connection_lost)
    {
      answer.outcome = r->to_primary ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN;
      answer.code = "connection_lost";
    }
  else if (call->sqlstate[0] != '\0')
    {
      answer.outcome = OUTCOME_NOT_RUN;
      answer.code = call->sqlstate;
    }
  r->done (r, &answer);
  json_decref (call->rows);
  talloc_free (call);
}

/* Sends what the socket takes now, and the rest once it is writable. */
static void
flush_output (struct direct_connection *c)
{
  if (PQflush (c->conn) == 1)
    TEVENT_FD_WRITEABLE (c->fde);
  else
    TEVENT_FD_NOT_WRITEABLE (c->fde);
}

static void
start_call (struct direct_connection *c, struct direct_call *call)
{
  const struct load_request *r = call->request;
  append_call (&c->last_call, call);
  c->in_flight++;
  /* A sync after each statement makes it a transaction of its own. */
  PQsendQueryParams (c->conn, r->sql, r->param_count, NULL, r->params, NULL,
                     NULL, 0);
  PQpipelineSync (c->conn);
  flush_output (c);
}

/* @return NULL if all connections are lost. */
static struct direct_connection *
find_least_busy_connection (struct direct_transport *t)
{
  struct direct_connection *best = NULL;
  for (int i = 0; i < t->connection_count; i++)
    {
      struct direct_connection *c = &t->connections[i];
      if (c->conn != NULL && (best == NULL || c->in_flight < best->in_flight))
        best = c;
    }
  return best;
}

/* Starts waiting calls while a connection has room for them. */
static void
start_waiting_calls (struct direct_transport *t)
{
  struct direct_connection *c;
  while (t->first_call != NULL && (c = find_least_busy_connection (t)) != NULL
         && c->in_flight < PIPELINE_DEPTH)
    {
      struct direct_call *call = t->first_call;
      t->first_call = call->next;
      if (t->first_call == NULL)
        t->last_call = &t->first_call;
      start_call (c, call);
    }
}

static json_t *
rows_to_json (const PGresult *result)
{
  json_t *rows = json_array ();
  for (int i = 0; i < PQntuples (result); i++)
    {
      json_t *row = json_array ();
      for (int j = 0; j < PQnfields (result); j++)
        json_array_append_new (row,
                               PQgetisnull (result, i, j)
                                   ? json_null ()
                                   : json_string (PQgetvalue (result, i, j)));
      json_array_append_new (rows, row);
    }
  return rows;
}

/* Handles one result of the oldest call; a sync result ends the call. */
static void
process_result (struct direct_connection *c, PGresult *result)
{
  struct direct_call *call = c->first_call;
  switch (PQresultStatus (result))
    {
    case PGRES_TUPLES_OK:
      call->rows = rows_to_json (result);
      break;
    case PGRES_COMMAND_OK:
      if (*PQcmdTuples (result) != '\0')
        call->affected = atoll (PQcmdTuples (result));
      break;
    case PGRES_PIPELINE_SYNC:
      c->first_call = call->next;
      if (c->first_call == NULL)
        c->last_call = &c->first_call;
      c->in_flight--;
      finish_call (call, false);
      break;
    case PGRES_PIPELINE_ABORTED:
      break;
    default:
      if (call->sqlstate[0] == '\0')
        {
          const char *state = PQresultErrorField (result, PG_DIAG_SQLSTATE);
          snprintf (call->sqlstate, sizeof call->sqlstate, "%s",
                    state != NULL ? state : "XXXXX");
        }
    }
}

/* Closes a lost connection and finishes its calls. */
static void
close_connection (struct direct_connection *c)
{
  TALLOC_FREE (c->fde);
  PQfinish (c->conn);
  c->conn = NULL;
  while (c->first_call != NULL)
    {
      struct direct_call *call = c->first_call;
      c->first_call = call->next;
      finish_call (call, true);
    }
  c->last_call = &c->first_call;
  c->in_flight = 0;
}

static void
on_socket (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags,
           void *data)
{
  (void)ev, (void)fde;
  struct direct_connection *c = data;
  struct direct_transport *t = c->transport;
  if (flags & TEVENT_FD_WRITE)
    flush_output (c);
  if (!PQconsumeInput (c->conn))
    {
      close_connection (c);
      return;
    }
  while (c->first_call != NULL && !PQisBusy (c->conn))
    {
      PGresult *result = PQgetResult (c->conn);
      if (result != NULL)
        process_result (c, result);
      PQclear (result);
    }
  start_waiting_calls (t);
}

static void
direct_send (struct load_transport *base, struct load_request *r)
{
  struct direct_transport *t = (struct direct_transport *)base;
  struct direct_call *call = talloc_zero (t, struct direct_call);
  call->request = r;
  if (find_least_busy_connection (t) == NULL)
    {
      finish_call (call, true);
      return;
    }
  append_call (&t->last_call, call);
  start_waiting_calls (t);
}

static int
direct_destroy (struct direct_transport *t)
{
  for (int i = 0; i < t->connection_count; i++)
    {
      TALLOC_FREE (t->connections[i].fde);
      PQfinish (t->connections[i].conn);
    }
  return 0;
}

static bool
open_connection (struct direct_connection *c, const char *info,
                 struct error *err)
{
  struct direct_transport *t = c->transport;
  c->last_call = &c->first_call;
  c->conn = PQconnectdb (info);
  if (PQstatus (c->conn) != CONNECTION_OK)
    return error_set (err, ERROR_UNAVAILABLE, "%s", PQerrorMessage (c->conn));
  PQsetnonblocking (c->conn, 1);
  PQenterPipelineMode (c->conn);
  c->fde = tevent_add_fd (t->load->ev, t, PQsocket (c->conn), TEVENT_FD_READ,
                          on_socket, c);
  return true;
}

struct load_transport *
load_direct_create (struct load *load, const char *address,
                    const char *database, const char *user, int connections,
                    struct error *err)
{
  struct direct_transport *t = talloc_zero (load, struct direct_transport);
  int host_len = (int)strcspn (address, ":");
  const char *port
      = address[host_len] != '\0' ? address + host_len + 1 : "5432";
  char *info = talloc_asprintf (t,
                                "host=%.*s port=%s dbname=%s user=%s "
                                "sslmode=disable gssencmode=disable "
                                "connect_timeout=5",
                                host_len, address, port, database, user);
  t->base.send = direct_send;
  t->load = load;
  t->last_call = &t->first_call;
  t->connection_count = connections;
  t->connections
      = talloc_zero_array (t, struct direct_connection, (unsigned)connections);
  talloc_set_destructor (t, direct_destroy);
  for (int i = 0; i < connections; i++)
    {
      t->connections[i].transport = t;
      if (!open_connection (&t->connections[i], info, err))
        {
          talloc_free (t);
          return NULL;
        }
    }
  return &t->base;
}
