#include "daemon/endpoint.h"

#include "common/clock.h"
#include "common/log.h"
#include "daemon/call.h"
#include "daemon/primary.h"

#include <inttypes.h>

#define PART "endpoint"

/* A poll that has no answer after this time is repeated on a new
   connection. */
#define POLL_TIMEOUT_US (1000 * USEC_PER_MSEC)
#define CONNECT_TIMEOUT_MS 1000
/* Delay until the next poll after a refused connection. */
#define REFUSED_RETRY_US (100 * USEC_PER_MSEC)
/* Delay after an endpoint's answer until it is polled again while a write
   waits for confirmation; it limits the cost of these polls on a fast
   network. */
#define CONFIRM_POLL_INTERVAL_US (1 * USEC_PER_MSEC)
/* Key of the advisory lock that serialises the commands; any number that
   applications do not use. */
#define COMMAND_LOCK_KEY 1635414647

/* ---- commands to one endpoint ---- */

#define MAX_COMMAND_STATEMENTS 5
/* The retries outlast a slow reset of a connection; a reset takes one round
   trip. */
#define MAX_COMMAND_RETRIES 100
#define COMMAND_RETRY_DELAY_US (2 * USEC_PER_MSEC)

/** A command of a change of primary: statements that run one after the other,
 * each in its own transaction, because ALTER SYSTEM cannot run inside a
 * transaction block.  The first statement checks the fence marker under an
 * advisory lock, which lasts until the connection is released, so that the
 * endpoint refuses a late command of a driver that was replaced.
 *
 * endpoint_ensure_schema also uses this struct, but only its endpoint. */
struct command
{
  struct endpoint *endpoint;
  enum failover_action_kind kind;
  const char *sql[MAX_COMMAND_STATEMENTS];
  int count;   /**< Number of statements in @c sql. */
  int next;    /**< Index of the next statement to run. */
  int retries; /**< Retries because no connection was available. */
  int64_t sent_at;
};

static void run_next_statement (struct command *cmd,
                                struct pgsql_connection *c);
static void on_command_connection (void *data, struct pgsql_connection *c,
                                   const struct error *err);

/* Reports the result of a fence or promote command to core/failover and frees
   the command; core/failover needs no result of a follow command. */
static void
finish_command (struct command *cmd, bool ok,
                const struct endpoint_status *status)
{
  struct endpoint *e = cmd->endpoint;
  struct group *g = e->group;
  int64_t now = clock_now ();
  if (cmd->kind == FAILOVER_FENCE)
    failover_on_fenced (g->failover, e->index, ok, status, now);
  else if (cmd->kind == FAILOVER_PROMOTE)
    failover_on_promoted (g->failover, e->index, ok, now);
  if (status != NULL)
    endpoint_on_status (e, status, cmd->sent_at);
  if (!ok)
    log_warn (PART, "endpoint command failed service=%s endpoint=%s kind=%d",
              g->service, e->name, (int)cmd->kind);
  talloc_free (cmd);
  primary_perform_actions (g);
}

/** The statement of a command that is running. */
struct command_statement
{
  struct command *cmd;
  struct pgsql_connection *connection;
};

static void
on_command_done (void *data, const struct pgsql_reply *reply)
{
  struct command_statement *current = data;
  struct command *cmd = current->cmd;
  struct pgsql_connection *c = current->connection;
  struct endpoint_status status;
  talloc_free (current);
  if (reply->end == PGSQL_LOST || reply->end == PGSQL_NOT_SENT)
    {
      finish_command (cmd, false, NULL);
      return;
    }
  if (reply->end == PGSQL_DONE && cmd->next < cmd->count)
    {
      run_next_statement (cmd, c);
      return;
    }
  bool has_status = reply->end == PGSQL_DONE && reply->count > 0
                    && pgsql_parse_status (reply->results[0], &status);
  pgsql_release (c);
  finish_command (cmd, reply->end == PGSQL_DONE, has_status ? &status : NULL);
}

static void
run_next_statement (struct command *cmd, struct pgsql_connection *c)
{
  struct pgsql_statement statement = { cmd->sql[cmd->next++], NULL, 0 };
  struct command_statement *current = talloc (cmd, struct command_statement);
  *current = (struct command_statement){ cmd, c };
  cmd->sent_at = clock_now ();
  pgsql_run (c, &statement, 1, on_command_done, current);
}

static void
on_command_retry (struct tevent_context *ev, struct tevent_timer *te,
                  struct timeval now, void *data)
{
  (void)ev, (void)te, (void)now;
  struct command *cmd = data;
  pgsql_acquire (cmd->endpoint->control_pool, on_command_connection, cmd);
}

static void
on_command_connection (void *data, struct pgsql_connection *c,
                       const struct error *err)
{
  struct command *cmd = data;
  if (c == NULL && err->code == ERROR_REFUSED
      && cmd->retries++ < MAX_COMMAND_RETRIES)
    {
      /* The connection of the previous command is still being reset. */
      daemon_add_timer (cmd->endpoint->group->daemon, cmd,
                        COMMAND_RETRY_DELAY_US, on_command_retry, cmd);
      return;
    }
  if (c == NULL)
    {
      log_debug (PART, "no connection for a command endpoint=%s error=\"%s\"",
                 cmd->endpoint->name, LOG_TEXT (bstr_from (err->text)));
      finish_command (cmd, false, NULL);
      return;
    }
  run_next_statement (cmd, c);
}

/* Returns the statement that takes the advisory lock and checks the fence
   marker: it fails with a division by zero unless the marker equals the term
   (if @p equal) or is at most the term (otherwise). */
static char *
fence_check_statement (void *parent, bool equal, uint64_t term)
{
  return talloc_asprintf (
      parent,
      "/* azurewind:check %s=%" PRIu64 " */ SELECT pg_advisory_lock(%d), "
      "1 / (CASE WHEN coalesce(substring(current_setting('primary_conninfo')"
      " from 'azurewind_fence_([0-9]+)')::int, 0) %s %" PRIu64
      " THEN 1 ELSE 0 END)",
      equal ? "equal" : "max", term, COMMAND_LOCK_KEY,
      equal ? "=" : "<=", term);
}

void
endpoint_run_command (struct endpoint *e, enum failover_action_kind kind,
                      uint64_t term, const char *main_sql)
{
  static const char reload[]
      = "/* azurewind:reload */ SELECT pg_reload_conf()";
  /* Fails with a division by zero if the WAL receiver runs. */
  static const char receiver_stopped[]
      = "/* azurewind:receiver_stopped */ SELECT 1 / (CASE WHEN count(*) = 0 "
        "THEN 1 ELSE 0 END) FROM pg_stat_wal_receiver";
  struct command *cmd = talloc_zero (e->group, struct command);
  cmd->endpoint = e;
  cmd->kind = kind;
  cmd->sql[cmd->count++]
      = fence_check_statement (cmd, kind == FAILOVER_PROMOTE, term);
  cmd->sql[cmd->count++] = talloc_strdup (cmd, main_sql);
  if (kind != FAILOVER_PROMOTE)
    cmd->sql[cmd->count++] = reload;
  if (kind == FAILOVER_FENCE)
    cmd->sql[cmd->count++] = receiver_stopped;
  cmd->sql[cmd->count++] = pgsql_status_sql ("poll");
  pgsql_acquire (e->control_pool, on_command_connection, cmd);
}

/* ---- polls ---- */

void
endpoint_on_failure (struct endpoint *e)
{
  routing_mark_failed (e->group->routing, e->index, clock_now ());
}

static void
on_poll_done (void *data, const struct pgsql_reply *reply)
{
  struct endpoint *e = data;
  struct endpoint_status status;
  e->poll_running = false;
  if (reply->end == PGSQL_LOST || reply->end == PGSQL_NOT_SENT)
    {
      e->poll_connection = NULL;
      endpoint_on_failure (e);
      return;
    }
  if (reply->end == PGSQL_DONE && reply->count > 0
      && pgsql_parse_status (reply->results[0], &status))
    endpoint_on_status (e, &status, e->poll_sent_at);
  else
    log_warn (PART, "poll failed service=%s endpoint=%s error=\"%s\"",
              e->group->service, e->name,
              LOG_TEXT (bstr_from (reply->message)));
}

static void
on_refused_retry (struct tevent_context *ev, struct tevent_timer *te,
                  struct timeval now, void *data)
{
  (void)ev, (void)te, (void)now;
  endpoint_poll (data);
}

static void
on_poll_connection (void *data, struct pgsql_connection *c,
                    const struct error *err)
{
  struct endpoint *e = data;
  e->connection_pending = false;
  e->poll_connection = c;
  if (c == NULL)
    {
      log_debug (PART, "cannot connect service=%s endpoint=%s error=\"%s\"",
                 e->group->service, e->name, LOG_TEXT (bstr_from (err->text)));
      endpoint_on_failure (e);
      /* ERROR_NOT_FOUND: the connection was refused (ECONNREFUSED). */
      if (err->code == ERROR_NOT_FOUND)
        {
          failover_on_refused (e->group->failover, e->index, clock_now ());
          daemon_add_timer (e->group->daemon, e->group, REFUSED_RETRY_US,
                            on_refused_retry, e);
        }
      return;
    }
  endpoint_poll (e);
}

void
endpoint_poll (struct endpoint *e)
{
  int64_t now = clock_now ();
  struct pgsql_statement statement = { pgsql_status_sql ("poll"), NULL, 0 };
  if (e->poll_running)
    {
      if (now - e->poll_sent_at < POLL_TIMEOUT_US)
        return;
      pgsql_abort (e->poll_connection);
      e->poll_connection = NULL;
      e->poll_running = false;
      endpoint_on_failure (e);
    }
  if (e->poll_connection == NULL)
    {
      if (!e->connection_pending)
        {
          e->connection_pending = true;
          pgsql_acquire (e->control_pool, on_poll_connection, e);
        }
      return;
    }
  e->poll_running = true;
  e->poll_sent_at = now;
  pgsql_run (e->poll_connection, &statement, 1, on_poll_done, e);
}

static void
on_confirm_poll_due (struct tevent_context *ev, struct tevent_timer *te,
                     struct timeval now, void *data)
{
  (void)ev, (void)te, (void)now;
  struct endpoint *e = data;
  if (e->group->unconfirmed_writes != NULL && !e->poll_running)
    endpoint_poll (e);
}

bool
endpoint_is_replaced (const struct endpoint *e)
{
  const struct endpoint_status *s = &e->status;
  return s->term > 0 && !s->in_recovery
         && s->term < authority_term (e->group->authority);
}

/* Logs the return of a replaced primary.  It has a timeline branch of its own,
   so an operator must rebuild it. */
static void
warn_if_replaced (const struct endpoint *e,
                  const struct endpoint_status *status)
{
  const struct group *g = e->group;
  bool was_replaced = endpoint_is_replaced (e);
  struct endpoint seen = *e;
  seen.status = *status;
  if (!was_replaced && endpoint_is_replaced (&seen))
    log_warn (PART,
              "replaced primary is back and must be rebuilt service=%s "
              "endpoint=%s term=%" PRIu64,
              g->service, e->name, status->term);
}

void
endpoint_on_status (struct endpoint *e, const struct endpoint_status *status,
                    int64_t sent_at)
{
  struct group *g = e->group;
  int64_t now = clock_now ();
  warn_if_replaced (e, status);
  e->status = *status;
  e->status_received_at = now;
  authority_record_status (g->authority, e->index, status, sent_at);
  routing_record_status (g->routing, e->index, status, now);
  failover_on_status (g->failover, e->index, status, now);
  call_recheck_unconfirmed (g);
  if (g->unconfirmed_writes != NULL
      && e->index != authority_primary (g->authority))
    daemon_add_timer (g->daemon, g, CONFIRM_POLL_INTERVAL_US,
                      on_confirm_poll_due, e);
}

/* ---- the idempotency table ---- */

/* Releases the connection if it is still usable; on failure the group's timer
   tries again. */
static void
on_schema_done (void *data, const struct pgsql_reply *reply)
{
  struct command_statement *current = data;
  struct command *cmd = current->cmd;
  struct group *g = cmd->endpoint->group;
  g->schema_creation_running = false;
  if (reply->end == PGSQL_DONE)
    {
      g->schema_ready = true;
      log_info (PART, "idempotency table ready service=%s", g->service);
    }
  if (reply->end == PGSQL_DONE || reply->end == PGSQL_FAILED)
    pgsql_release (current->connection);
  talloc_free (cmd);
}

static void
on_schema_connection (void *data, struct pgsql_connection *c,
                      const struct error *err)
{
  (void)err;
  struct command *cmd = data;
  if (c == NULL)
    {
      cmd->endpoint->group->schema_creation_running = false;
      talloc_free (cmd);
      return;
    }
  static const struct pgsql_statement create
      = { "CREATE TABLE IF NOT EXISTS azurewind_requests ("
          "organisation TEXT NOT NULL, key TEXT NOT NULL, digest TEXT NOT "
          "NULL, state TEXT NOT NULL, created TIMESTAMP NOT NULL DEFAULT "
          "CURRENT_TIMESTAMP, PRIMARY KEY (organisation, key))",
          NULL, 0 };
  struct command_statement *current = talloc (cmd, struct command_statement);
  *current = (struct command_statement){ cmd, c };
  pgsql_run (c, &create, 1, on_schema_done, current);
}

void
endpoint_ensure_schema (struct endpoint *primary)
{
  struct group *g = primary->group;
  if (g->schema_ready || g->schema_creation_running)
    return;
  struct command *cmd = talloc_zero (g, struct command);
  cmd->endpoint = primary;
  g->schema_creation_running = true;
  pgsql_acquire (primary->control_pool, on_schema_connection, cmd);
}

static void
on_connection_available (void *data)
{
  group_schedule_dispatch (data);
}

void
endpoint_create (struct group *g, int index,
                 const struct settings_service *service, int share)
{
  const struct settings_endpoint *s = &service->endpoints[index];
  struct endpoint *e = &g->endpoints[index];
  e->group = g;
  e->index = index;
  e->name = talloc_strdup (g, s->name);
  e->host = talloc_strdup (g, s->host);
  e->port = s->port;
  struct pgsql_pool_options options = {
    .ev = g->daemon->ev,
    .host = e->host,
    .port = e->port,
    .database = service->database,
    .user = service->user,
    .limit = share,
    .connect_timeout_ms = CONNECT_TIMEOUT_MS,
    .connection_available = on_connection_available,
    .data = g,
  };
  e->pool = pgsql_pool_create (g, &options);
  options.limit = ENDPOINT_CONTROL_CONNECTIONS;
  options.connection_available = NULL;
  e->control_pool = pgsql_pool_create (g, &options);
  e->limit = admission_limit_create (g, share);
}
