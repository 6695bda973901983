#include "net/pgsql.h"

#include "common/clock.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

/* Reads an endpoint's role, term, positions and fence.  A real server
   evaluates the query; the stand-in recognises the tag in front of it.  The
   timeline of a primary is read from the first part of its WAL file name,
   because pg_control_checkpoint shows the old one until the first checkpoint
   after a promotion. */
#define STATUS_SQL                                                            \
  " SELECT pg_is_in_recovery() AS in_recovery,"                               \
  " CASE WHEN pg_is_in_recovery() THEN coalesce((SELECT received_tli FROM"    \
  " pg_stat_wal_receiver), (SELECT timeline_id FROM"                          \
  " pg_control_checkpoint())) ELSE ('x' || substr(pg_walfile_name("           \
  "pg_current_wal_lsn()), 1, 8))::bit(32)::int END AS term,"                  \
  " CASE WHEN pg_is_in_recovery() THEN pg_last_wal_receive_lsn() ELSE"        \
  " pg_current_wal_lsn() END AS received,"                                    \
  " CASE WHEN pg_is_in_recovery() THEN pg_last_wal_replay_lsn() ELSE"         \
  " pg_current_wal_lsn() END AS replayed,"                                    \
  " coalesce(substring(current_setting('primary_conninfo') from"              \
  " 'azurewind_fence_([0-9]+)')::int, 0) AS fence,"                           \
  " coalesce(extract(epoch FROM now() - (SELECT last_msg_receipt_time FROM"   \
  " pg_stat_wal_receiver)) * 1000, 0)::bigint AS age_ms"

enum connection_state
{
  CONNECTION_OPENING,
  CONNECTION_IDLE,     /* In the pool's idle list. */
  CONNECTION_ACQUIRED, /* In use; no call is running. */
  CONNECTION_RUNNING,  /* In use; a call is running. */
  CONNECTION_RESETTING /* Released; the reset is not answered yet. */
};

struct pgsql_pool
{
  struct tevent_context *ev;
  char *host, *database, *user;
  int port;
  int limit; /**< Most connections open at once. */
  int open;  /**< Connections that are open or being opened. */
  int connect_timeout_ms;
  struct pgsql_connection *idle; /**< Idle connections. */
  void (*connection_available) (void *data);
  void *data;
};

struct pgsql_connection
{
  struct pgsql_connection *next; /**< Next in the pool's idle list. */
  struct pgsql_pool *pool;
  PGconn *pg;
  struct tevent_fd *fde;
  struct tevent_timer *timer; /**< Connect timeout. */
  enum connection_state state;
  pgsql_acquired_fn *acquired;
  pgsql_done_fn *done;
  void *data;               /**< Passed to the callback that is due. */
  struct pgsql_reply reply; /**< Reply of the running call or reset. */
  struct tevent_immediate *read_later;
  int statement_count; /**< Statements of the running call. */
  int syncs_expected;  /**< Syncs not answered yet while resetting. */
  bool reset_sent;     /**< The reset was sent after the statements. */
  bool is_final_reset; /**< The running reset is not repeated if it fails. */
  bool out_of_step;    /**< A message came that answers no statement. */
};

static void close_connection (struct pgsql_connection *c);

static void
report_available (const struct pgsql_pool *pool)
{
  if (pool->connection_available != NULL)
    pool->connection_available (pool->data);
}

const char *
pgsql_status_sql (const char *tag)
{
  if (strcmp (tag, "poll") == 0)
    return "/* azurewind:poll */" STATUS_SQL;
  if (strcmp (tag, "guard") == 0)
    return "/* azurewind:guard */" STATUS_SQL;
  return "/* azurewind:position */" STATUS_SQL;
}

const char *
pgsql_value (const PGresult *result, int row, const char *column)
{
  int index = PQfnumber (result, column);
  if (index < 0 || row >= PQntuples (result)
      || PQgetisnull (result, row, index))
    return NULL;
  return PQgetvalue (result, row, index);
}

static bool
parse_lsn (const char *text, uint64_t *lsn)
{
  uint32_t high, low;
  if (text == NULL || sscanf (text, "%" SCNx32 "/%" SCNx32, &high, &low) != 2)
    return false;
  *lsn = (uint64_t)high << 32 | low;
  return true;
}

bool
pgsql_parse_status (const PGresult *result, struct endpoint_status *status)
{
  const char *recovery = pgsql_value (result, 0, "in_recovery");
  const char *term = pgsql_value (result, 0, "term");
  const char *fence = pgsql_value (result, 0, "fence");
  const char *age = pgsql_value (result, 0, "age_ms");
  if (recovery == NULL || term == NULL
      || !parse_lsn (pgsql_value (result, 0, "received"), &status->received)
      || !parse_lsn (pgsql_value (result, 0, "replayed"), &status->replayed))
    return false;
  status->in_recovery = recovery[0] == 't';
  status->term = strtoull (term, NULL, 10);
  status->fence = fence != NULL ? strtoull (fence, NULL, 10) : 0;
  status->primary_age_us
      = age != NULL ? strtoll (age, NULL, 10) * USEC_PER_MSEC : 0;
  return true;
}

static void
clear_reply (struct pgsql_connection *c)
{
  for (int i = 0; i < c->reply.count; i++)
    PQclear (c->reply.results[i]);
  memset (&c->reply, 0, sizeof c->reply);
  c->reply.failed = -1;
}

/* Store an error text, cut at the end of a UTF-8 character because it becomes
   part of a JSON response. */
static void
set_error_message (struct pgsql_reply *reply, const char *text)
{
  snprintf (reply->message, sizeof reply->message, "%.*s",
            BSTR_ARG (bstr_cut (bstr_from (text), 190)));
}

/* End the running call and report its outcome to the user.  The connection is
   closed first if it broke. */
static void
finish_call (struct pgsql_connection *c, enum pgsql_end end)
{
  pgsql_done_fn *done = c->done;
  struct pgsql_reply reply = c->reply;
  reply.end = end;
  memset (&c->reply, 0, sizeof c->reply);
  c->done = NULL;
  c->state = CONNECTION_ACQUIRED;
  if (end == PGSQL_LOST || end == PGSQL_NOT_SENT)
    {
      void *data = c->data;
      close_connection (c);
      done (data, &reply);
    }
  else
    done (c->data, &reply);
  for (int i = 0; i < reply.count; i++)
    PQclear (reply.results[i]);
}

/* Classify why connecting failed.  libpq reports the system's error only as
   text. */
static enum error_code
connect_error (const PGconn *pg)
{
  return strstr (PQerrorMessage (pg), strerror (ECONNREFUSED)) != NULL
             ? ERROR_NOT_FOUND
             : ERROR_UNAVAILABLE;
}

/* Handle a connection that failed. */
static void
break_connection (struct pgsql_connection *c)
{
  struct error err;
  pgsql_acquired_fn *acquired = c->acquired;
  void *data = c->data;
  switch (c->state)
    {
    case CONNECTION_OPENING:
      error_set (&err, connect_error (c->pg), "%.200s",
                 PQerrorMessage (c->pg));
      close_connection (c);
      acquired (data, NULL, &err);
      break;
    case CONNECTION_RUNNING:
      set_error_message (&c->reply, PQerrorMessage (c->pg));
      finish_call (c, PGSQL_LOST);
      break;
    case CONNECTION_ACQUIRED:
      /* The user's next call reports PGSQL_NOT_SENT. */
      TEVENT_FD_NOT_READABLE (c->fde);
      break;
    default:
      close_connection (c);
    }
}

/* Record which statement failed, and its error. */
static void
record_failure (struct pgsql_connection *c, const PGresult *result)
{
  const char *state = PQresultErrorField (result, PG_DIAG_SQLSTATE);
  const char *text = PQresultErrorField (result, PG_DIAG_MESSAGE_PRIMARY);
  c->reply.failed = c->reply.count;
  snprintf (c->reply.sqlstate, sizeof c->reply.sqlstate, "%s",
            state != NULL ? state : "XX000");
  set_error_message (&c->reply, text != NULL ? text : "unknown error");
}

static void
return_to_pool (struct pgsql_connection *c)
{
  if (c->pool->open > c->pool->limit)
    {
      close_connection (c);
      return;
    }
  c->state = CONNECTION_IDLE;
  c->next = c->pool->idle;
  c->pool->idle = c;
  report_available (c->pool);
}

/* Queue the statements and a Sync after them. */
static bool
send_statements (struct pgsql_connection *c,
                 const struct pgsql_statement *statements, int count)
{
  for (int i = 0; i < count; i++)
    if (!PQsendQueryParams (c->pg, statements[i].sql,
                            statements[i].param_count, NULL,
                            statements[i].params, NULL, NULL, 0))
      return false;
  return PQpipelineSync (c->pg) == 1;
}

static void
set_socket_events (struct pgsql_connection *c, bool want_write)
{
  tevent_fd_set_flags (c->fde,
                       TEVENT_FD_READ | (want_write ? TEVENT_FD_WRITE : 0));
}

static const struct pgsql_statement rollback = { "ROLLBACK", NULL, 0 };
/* DISCARD ALL cannot run inside a transaction, so it has a Sync of its own. */
static const struct pgsql_statement reset = { "DISCARD ALL", NULL, 0 };

/* Send the reset of the session, after a rollback if a transaction is open. */
static void
send_reset (struct pgsql_connection *c)
{
  bool sent = true;
  c->syncs_expected = 1;
  if (PQtransactionStatus (c->pg) != PQTRANS_IDLE)
    {
      sent = send_statements (c, &rollback, 1);
      c->syncs_expected++;
    }
  if (!sent || !send_statements (c, &reset, 1))
    close_connection (c);
  else
    set_socket_events (c, PQflush (c->pg) == 1);
}

/* libpq calls this for notices of the server and, without an SQLSTATE, for a
   message that it did not expect. */
static void
on_notice (void *data, const PGresult *notice)
{
  struct pgsql_connection *c = data;
  if (PQresultErrorField (notice, PG_DIAG_SQLSTATE) == NULL)
    c->out_of_step = true;
}

/* @return whether the reply ends with the answer to DISCARD ALL. */
static bool
is_reset_reply (const struct pgsql_reply *reply)
{
  const PGresult *last
      = reply->count > 0 ? reply->results[reply->count - 1] : NULL;
  return last != NULL
         && strcmp (PQcmdStatus ((PGresult *)(uintptr_t)last), "DISCARD ALL")
                == 0;
}

/* The server answered the Sync that ends a call or a reset. */
static void
on_pipeline_synced (struct pgsql_connection *c)
{
  if (c->state == CONNECTION_RESETTING)
    {
      bool clean
          = c->reply.failed < 0 && PQtransactionStatus (c->pg) == PQTRANS_IDLE;
      bool own = c->reply.failed >= 0 || is_reset_reply (&c->reply);
      clear_reply (c);
      if (!own || c->out_of_step)
        close_connection (c);
      else if (clean)
        return_to_pool (c);
      else if (!c->is_final_reset)
        {
          /* A reset sent with the statements fails if they left a transaction
             open; send_reset rolls it back first. */
          c->is_final_reset = true;
          send_reset (c);
        }
      else
        close_connection (c);
      return;
    }
  /* Users do not run DISCARD ALL. */
  if (c->out_of_step || is_reset_reply (&c->reply)
      || (c->reply.failed < 0 && c->reply.count != c->statement_count))
    {
      set_error_message (&c->reply, "the server sent another answer");
      finish_call (c, PGSQL_LOST);
      return;
    }
  finish_call (c, c->reply.failed < 0 ? PGSQL_DONE : PGSQL_FAILED);
}

/* @return false if the call or the reset has ended; the connection may be
   freed then. */
static bool
handle_result (struct pgsql_connection *c, PGresult *result)
{
  switch (PQresultStatus (result))
    {
    case PGRES_PIPELINE_SYNC:
      PQclear (result);
      if (c->state == CONNECTION_RESETTING && c->syncs_expected > 1
          && c->reply.failed < 0)
        {
          c->syncs_expected--;
          return true;
        }
      on_pipeline_synced (c);
      return false;
    case PGRES_PIPELINE_ABORTED:
      PQclear (result);
      return true;
    case PGRES_FATAL_ERROR:
      if (c->reply.failed < 0)
        record_failure (c, result);
      PQclear (result);
      return true;
    default:
      if (c->reply.count < PGSQL_MAX_STATEMENTS)
        c->reply.results[c->reply.count++] = result;
      else
        PQclear (result);
      return true;
    }
}

/* Read the results that have arrived. */
static void
read_results (struct pgsql_connection *c)
{
  if (!PQconsumeInput (c->pg))
    {
      break_connection (c);
      return;
    }
  /* In pipeline mode, one NULL separates the results of two statements and a
     second NULL in a row means that nothing more has arrived. */
  bool separated = false;
  while (c->state == CONNECTION_RUNNING || c->state == CONNECTION_RESETTING)
    {
      if (PQisBusy (c->pg))
        return;
      PGresult *result = PQgetResult (c->pg);
      if (result == NULL && separated)
        return;
      separated = result == NULL;
      if (result != NULL && PQstatus (c->pg) == CONNECTION_BAD)
        {
          PQclear (result);
          break_connection (c);
          return;
        }
      if (result != NULL && !handle_result (c, result))
        return;
    }
}

/* tevent reports a socket error, such as a refused connection, only to
   handlers that wait for input. */
#define CONNECT_FLAGS (TEVENT_FD_READ | TEVENT_FD_WRITE)

static void
continue_connecting (struct pgsql_connection *c)
{
  switch (PQconnectPoll (c->pg))
    {
    case PGRES_POLLING_READING:
      tevent_fd_set_flags (c->fde, TEVENT_FD_READ);
      break;
    case PGRES_POLLING_WRITING:
      tevent_fd_set_flags (c->fde, CONNECT_FLAGS);
      break;
    case PGRES_POLLING_OK:
      PQsetnonblocking (c->pg, 1);
      if (!PQenterPipelineMode (c->pg))
        {
          break_connection (c);
          break;
        }
      TALLOC_FREE (c->timer);
      c->state = CONNECTION_ACQUIRED;
      set_socket_events (c, false);
      c->acquired (c->data, c, NULL);
      break;
    default:
      break_connection (c);
    }
}

static void
on_socket (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags,
           void *data)
{
  (void)ev, (void)fde;
  struct pgsql_connection *c = data;
  if (c->state == CONNECTION_OPENING)
    {
      continue_connecting (c);
      return;
    }
  if (flags & TEVENT_FD_WRITE)
    set_socket_events (c, PQflush (c->pg) == 1);
  if (!(flags & TEVENT_FD_READ))
    return;
  if (c->state == CONNECTION_IDLE || c->state == CONNECTION_ACQUIRED)
    {
      /* No result is due: the server closed the connection or sent a notice.
         Any other message, if it were left unread, would be taken for the
         answer to the next statement; PQnotifies makes libpq read it. */
      bool open = PQconsumeInput (c->pg) != 0;
      if (open)
        PQfreemem (PQnotifies (c->pg));
      if (!open || c->out_of_step)
        break_connection (c);
      return;
    }
  read_results (c);
}

static void
on_connect_timeout (struct tevent_context *ev, struct tevent_timer *te,
                    struct timeval now, void *data)
{
  (void)ev, (void)te, (void)now;
  struct pgsql_connection *c = data;
  c->timer = NULL;
  break_connection (c);
}

static int
connection_destructor (struct pgsql_connection *c)
{
  clear_reply (c);
  TALLOC_FREE (c->fde);
  if (c->pg != NULL)
    PQfinish (c->pg);
  return 0;
}

static void
close_connection (struct pgsql_connection *c)
{
  struct pgsql_pool *pool = c->pool;
  for (struct pgsql_connection **at = &pool->idle; *at != NULL;
       at = &(*at)->next)
    if (*at == c)
      {
        *at = c->next;
        break;
      }
  pool->open--;
  talloc_free (c);
  report_available (pool);
}

struct pgsql_pool *
pgsql_pool_create (void *parent, const struct pgsql_pool_options *options)
{
  struct pgsql_pool *pool = talloc_zero (parent, struct pgsql_pool);
  pool->ev = options->ev;
  pool->limit = options->limit;
  pool->connect_timeout_ms = options->connect_timeout_ms;
  pool->connection_available = options->connection_available;
  pool->data = options->data;
  pool->host = talloc_strdup (pool, options->host);
  pool->port = options->port;
  pool->database = talloc_strdup (pool, options->database);
  pool->user = talloc_strdup (pool, options->user);
  return pool;
}

void
pgsql_pool_set_limit (struct pgsql_pool *pool, int limit)
{
  pool->limit = limit;
  while (pool->open > limit && pool->idle != NULL)
    close_connection (pool->idle);
}

int
pgsql_pool_open_count (const struct pgsql_pool *pool)
{
  return pool->open;
}

bool
pgsql_pool_can_acquire (const struct pgsql_pool *pool)
{
  return pool->idle != NULL || pool->open < pool->limit;
}

/* Start to connect.  Each value is an argument of its own, so that a name
   cannot set other options. */
static PGconn *
start_connecting (const struct pgsql_pool *pool)
{
  char port[12];
  const char *const options[][2] = {
    { "hostaddr", pool->host },
    { "port", port },
    { "dbname", pool->database },
    { "user", pool->user },
    { "application_name", "azurewind" },
    { "client_encoding", "UTF8" },
    { "sslmode", "prefer" },
    { "gssencmode", "disable" },
    { NULL, NULL },
  };
  const char *names[sizeof options / sizeof options[0]];
  const char *values[sizeof options / sizeof options[0]];
  snprintf (port, sizeof port, "%d", pool->port);
  for (size_t i = 0; i < sizeof options / sizeof options[0]; i++)
    {
      names[i] = options[i][0];
      values[i] = options[i][1];
    }
  return PQconnectStartParams (names, values, 0);
}

static void
open_connection (struct pgsql_pool *pool, pgsql_acquired_fn *done, void *data)
{
  struct error err;
  struct pgsql_connection *c = talloc_zero (pool, struct pgsql_connection);
  c->pool = pool;
  c->reply.failed = -1;
  c->acquired = done;
  c->data = data;
  c->state = CONNECTION_OPENING;
  c->read_later = tevent_create_immediate (c);
  c->pg = start_connecting (pool);
  pool->open++;
  talloc_set_destructor (c, connection_destructor);
  if (c->pg == NULL || PQstatus (c->pg) == CONNECTION_BAD)
    {
      error_set (&err, ERROR_UNAVAILABLE, "%.200s",
                 c->pg != NULL ? PQerrorMessage (c->pg) : "out of memory");
      close_connection (c);
      done (data, NULL, &err);
      return;
    }
  PQsetNoticeReceiver (c->pg, on_notice, c);
  c->fde = tevent_add_fd (pool->ev, c, PQsocket (c->pg), CONNECT_FLAGS,
                          on_socket, c);
  c->timer = tevent_add_timer (
      pool->ev, c,
      tevent_timeval_current_ofs ((uint32_t)pool->connect_timeout_ms / 1000,
                                  (uint32_t)pool->connect_timeout_ms % 1000
                                      * 1000),
      on_connect_timeout, c);
}

void
pgsql_acquire (struct pgsql_pool *pool, pgsql_acquired_fn *done, void *data)
{
  struct pgsql_connection *c = pool->idle;
  if (c != NULL)
    {
      pool->idle = c->next;
      c->next = NULL;
      c->state = CONNECTION_ACQUIRED;
      done (data, c, NULL);
    }
  else if (pool->open < pool->limit)
    open_connection (pool, done, data);
  else
    {
      struct error err;
      error_set (&err, ERROR_REFUSED, "all %d connections are in use",
                 pool->limit);
      done (data, NULL, &err);
    }
}

static void
run_statements (struct pgsql_connection *c,
                const struct pgsql_statement *statements, int count,
                bool with_reset, pgsql_done_fn *done, void *data)
{
  clear_reply (c);
  c->done = done;
  c->data = data;
  c->state = CONNECTION_RUNNING;
  c->reset_sent = with_reset;
  c->statement_count = count;
  if (count > PGSQL_MAX_STATEMENTS || PQstatus (c->pg) == CONNECTION_BAD
      || c->out_of_step)
    {
      finish_call (c, PGSQL_NOT_SENT);
      return;
    }
  /* PQpipelineSync flushes, so bytes may have reached the server even if
     sending fails here: the outcome is unknown. */
  if (!send_statements (c, statements, count)
      || (with_reset && !send_statements (c, &reset, 1)))
    {
      finish_call (c, PGSQL_LOST);
      return;
    }
  set_socket_events (c, PQflush (c->pg) == 1);
}

void
pgsql_run (struct pgsql_connection *c,
           const struct pgsql_statement *statements, int count,
           pgsql_done_fn *done, void *data)
{
  run_statements (c, statements, count, false, done, data);
}

void
pgsql_run_with_reset (struct pgsql_connection *c,
                      const struct pgsql_statement *statements, int count,
                      pgsql_done_fn *done, void *data)
{
  run_statements (c, statements, count, true, done, data);
}

static void
on_read_later (struct tevent_context *ev, struct tevent_immediate *im,
               void *data)
{
  (void)ev, (void)im;
  struct pgsql_connection *c = data;
  if (c->state == CONNECTION_RESETTING)
    read_results (c);
}

void
pgsql_release (struct pgsql_connection *c)
{
  if (PQstatus (c->pg) == CONNECTION_BAD || c->out_of_step
      || c->pool->open > c->pool->limit)
    {
      close_connection (c);
      return;
    }
  clear_reply (c);
  c->state = CONNECTION_RESETTING;
  c->is_final_reset = !c->reset_sent;
  if (c->reset_sent)
    {
      /* The reset's answer may be in libpq's buffer already, and then the
         socket does not become readable. */
      c->reset_sent = false;
      c->syncs_expected = 1;
      tevent_schedule_immediate (c->read_later, c->pool->ev, on_read_later, c);
    }
  else
    send_reset (c);
}

void
pgsql_abort (struct pgsql_connection *c)
{
  close_connection (c);
}
