#include "common/clock.h"
#include "standins/postgres_server.h"

#include <ctype.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

/* How the statements that begin with a text are treated; the case of letters
   does not matter. */
struct sql_prefix
{
  const char *text;
  enum sql_kind kind;
};

/* The first match counts. */
static const struct sql_prefix prefixes[] = {
  { "/* azurewind:poll", SQL_STATUS },
  { "/* azurewind:guard", SQL_STATUS },
  { "/* azurewind:position", SQL_STATUS },
  { "/* azurewind:check", SQL_CHECK },
  { "/* azurewind:reload", SQL_NO_EFFECT },
  { "/* azurewind:receiver_stopped", SQL_NO_EFFECT },
  { "/* azurewind:fence", SQL_FENCE },
  { "/* azurewind:promote", SQL_PROMOTE },
  { "/* azurewind:follow", SQL_FOLLOW },
  { "/* standin:", SQL_SET_FAULTS },
  { "BEGIN", SQL_BEGIN },
  { "START TRANSACTION", SQL_BEGIN },
  { "COMMIT", SQL_COMMIT },
  { "END", SQL_COMMIT },
  { "ROLLBACK", SQL_ROLLBACK },
  { "DISCARD ALL", SQL_SET_OR_DISCARD },
  { "SET ", SQL_SET_OR_DISCARD },
};

static bool
starts_with_ignoring_case (struct bstr sql, const char *word)
{
  size_t n = strlen (word);
  return sql.len >= n && strncasecmp (sql.start, word, n) == 0;
}

void
sql_set_statement (struct session *s, const char *text)
{
  sql_release_statement (s);
  while (isspace ((unsigned char)*text))
    text++;
  struct bstr sql = bstr_copy (s, bstr_from (text));
  talloc_free ((void *)s->sql.start);
  s->sql = sql;
  s->kind = SQL_STATEMENT;
  for (size_t i = 0; i < sizeof prefixes / sizeof prefixes[0]; i++)
    if (starts_with_ignoring_case (sql, prefixes[i].text))
      {
        s->kind = prefixes[i].kind;
        return;
      }
}

void
sql_release_statement (struct session *s)
{
  if (s->stmt != NULL)
    connection_release (s->connection, s->stmt);
  s->stmt = NULL;
}

/* Open the sqlite connection of the session; send an error if that fails. */
static bool
open_connection (struct session *s)
{
  struct error err = { 0 };
  if (s->connection == NULL)
    s->connection = store_connect (s->server->store, &err);
  if (s->connection == NULL)
    session_send_error (s, "XX000", err.text);
  return s->connection != NULL;
}

/* Acquire the write lock, or enter its queue.  Sessions get the lock in the
   order of the queue, as a session that others overtake starves under load.
   @return whether the session has the lock. */
static bool
acquire_write_lock (struct session *s)
{
  struct server *server = s->server;
  if (server->write_lock_owner == s)
    return true;
  if (server->write_lock_owner == NULL)
    {
      server->write_lock_owner = s;
      return true;
    }
  struct session **at = &server->first_write_waiter;
  while (*at != NULL && *at != s)
    at = &(*at)->next_write_waiter;
  if (*at == NULL)
    {
      *at = s;
      s->next_write_waiter = NULL;
    }
  s->waiting = true;
  return false;
}

static void
leave_write_lock_queue (struct session *s)
{
  for (struct session **at = &s->server->first_write_waiter; *at != NULL;
       at = &(*at)->next_write_waiter)
    if (*at == s)
      {
        *at = s->next_write_waiter;
        return;
      }
}

void
sql_release_write_lock (struct session *s)
{
  struct server *server = s->server;
  leave_write_lock_queue (s);
  if (server->write_lock_owner != s)
    return;
  server->write_lock_owner = NULL;
  /* Skip sessions that a partition cuts off: such a session would keep the
     lock until the partition ends. */
  struct session **at = &server->first_write_waiter;
  while (*at != NULL && server->partitioned && !(*at)->is_control)
    at = &(*at)->next_write_waiter;
  if (*at == NULL)
    return;
  server->write_lock_owner = *at;
  *at = server->write_lock_owner->next_write_waiter;
  session_schedule_resume (server->write_lock_owner, 0);
}

/* Append the changes of the committed transaction, if any, to the log. */
static void
append_transaction_to_log (struct session *s)
{
  if (s->pending_sql == NULL)
    return;
  store_append_committed (s->server->store, bstr_from (s->pending_sql));
  TALLOC_FREE (s->pending_sql);
  replication_ship_records (s->server);
}

/* @return the number that follows @p name in the statement, or @p
   default_value if @p name does not occur. */
static int64_t
parse_tag_value (struct bstr sql, const char *name, int64_t default_value)
{
  const char *at = memmem (sql.start, sql.len, name, strlen (name));
  return at != NULL ? strtoll (at + strlen (name), NULL, 10) : default_value;
}

static void
format_lsn (char *buffer, size_t size, uint64_t lsn)
{
  snprintf (buffer, size, "%" PRIX32 "/%" PRIX32, (uint32_t)(lsn >> 32),
            (uint32_t)lsn);
}

static void
describe_status (struct session *s)
{
  static const char *const names[]
      = { "in_recovery", "term", "received", "replayed", "fence", "age_ms" };
  static const int oids[]
      = { OID_TEXT, OID_INT8, OID_TEXT, OID_TEXT, OID_INT8, OID_INT8 };
  session_send_row_description (s, names, oids, 6);
}

static void
run_status (struct session *s)
{
  const struct server *server = s->server;
  char term[24], fence[24], age[24], received[24], replayed[24];
  snprintf (term, sizeof term, "%" PRIu64, server->store->term);
  snprintf (fence, sizeof fence, "%" PRIu64, server->fence);
  snprintf (age, sizeof age, "%" PRId64,
            (clock_now () - server->last_received) / USEC_PER_MSEC);
  format_lsn (received, sizeof received, store_received_lsn (server->store));
  format_lsn (replayed, sizeof replayed, store_applied_lsn (server->store));
  const char *values[] = { server->store->in_recovery ? "t" : "f",
                           term,
                           received,
                           replayed,
                           fence,
                           age };
  session_send_data_row (s, values, 6);
  session_send_command_complete (s, "SELECT 1");
}

static void
run_fence (struct session *s)
{
  struct server *server = s->server;
  uint64_t mark = (uint64_t)parse_tag_value (s->sql, "azurewind_fence_", 0);
  if (mark > server->fence)
    server->fence = mark;
  replication_stop_following (server);
  session_send_command_complete (s, "ALTER SYSTEM");
}

/* Check the fence marker against "max=N" or "equal=N", under the advisory lock
   that the statement takes on a PostgreSQL server.  There the statement
   divides by zero if the check fails. */
static enum run_result
run_check (struct session *s)
{
  struct server *server = s->server;
  long max = parse_tag_value (s->sql, "max=", -1);
  long equal = parse_tag_value (s->sql, "equal=", -1);
  if (server->advisory_lock_owner != NULL && server->advisory_lock_owner != s)
    {
      session_schedule_resume (s, 1);
      return RUN_BLOCKED;
    }
  server->advisory_lock_owner = s;
  if (max >= 0 ? server->fence <= (uint64_t)max
               : server->fence == (uint64_t)equal)
    {
      session_send_command_complete (s, "SELECT 1");
      return RUN_DONE;
    }
  session_send_error (s, "22012", "division by zero");
  return RUN_ERROR;
}

static void
describe_promote (struct session *s)
{
  static const char *const names[] = { "pg_promote" };
  static const int oids[] = { OID_TEXT };
  session_send_row_description (s, names, oids, 1);
}

static enum run_result
run_promote (struct session *s)
{
  static const char *const values[] = { "t" };
  uint64_t term = (uint64_t)parse_tag_value (s->sql, "term=", 0);
  if (!s->server->store->in_recovery)
    session_send_error (s, "55000", "recovery is not in progress");
  else if (term <= s->server->store->term)
    session_send_error (s, "55000", "the term is not new");
  else if (!replication_promote (s->server, term))
    session_send_error (s, "XX000", "a record cannot be applied");
  else
    {
      session_send_data_row (s, values, 1);
      session_send_command_complete (s, "SELECT 1");
      return RUN_DONE;
    }
  return RUN_ERROR;
}

static void
run_follow (struct session *s)
{
  const char *at = memmem (s->sql.start, s->sql.len, "primary=", 8);
  struct bstr primary = { NULL, 0 };
  if (at != NULL)
    {
      primary.start = at + strlen ("primary=");
      primary.len = strcspn (primary.start, " ;'");
    }
  uint64_t mark = (uint64_t)parse_tag_value (s->sql, "azurewind_fence_", 0);
  if (mark > s->server->fence)
    s->server->fence = mark;
  session_send_command_complete (s, "ALTER SYSTEM");
  replication_follow (s, primary);
}

/* Resume the sessions and the replication that the partition stopped. */
static void
end_partition (struct server *server)
{
  for (struct session *s = server->sessions; s != NULL; s = s->next)
    if (!s->waiting && !s->is_control)
      session_schedule_resume (s, 0);
  if (server->write_lock_owner == NULL && server->first_write_waiter != NULL)
    {
      server->write_lock_owner = server->first_write_waiter;
      server->first_write_waiter = server->write_lock_owner->next_write_waiter;
      session_schedule_resume (server->write_lock_owner, 0);
    }
  if (server->primary != NULL)
    replication_connect (server);
  replication_ship_records (server);
}

static void
run_set_faults (struct session *s)
{
  struct server *server = s->server;
  bool was_cut = server->partitioned;
  server->apply_lag_ms
      = parse_tag_value (s->sql, "apply_lag_ms=", server->apply_lag_ms);
  server->ship_delay_ms
      = parse_tag_value (s->sql, "ship_delay_ms=", server->ship_delay_ms);
  server->statement_delay_ms = parse_tag_value (
      s->sql, "statement_delay_ms=", server->statement_delay_ms);
  server->partitioned
      = parse_tag_value (s->sql, "cut=", server->partitioned) != 0;
  server->drop_commit_answer
      = parse_tag_value (s->sql,
                         "drop_commit_answer=", server->drop_commit_answer)
        != 0;
  if (server->partitioned && server->upstream != NULL)
    session_close (server->upstream);
  if (was_cut && !server->partitioned)
    end_partition (server);
  replication_ship_records (server);
  replication_schedule_apply (server);
  session_send_command_complete (s, "SELECT 1");
}

/* Execute a statement that returns no rows; send an error if it fails. */
static enum run_result
execute_without_rows (struct session *s, const char *sql)
{
  sqlite3 *db = connection_db (s->connection);
  int rc = sqlite3_exec (db, sql, NULL, NULL, NULL);
  if (rc == SQLITE_BUSY || rc == SQLITE_LOCKED)
    return RUN_BLOCKED;
  if (rc != SQLITE_OK)
    {
      session_send_error (s, "XX000", sqlite3_errmsg (db));
      return RUN_ERROR;
    }
  return RUN_DONE;
}

static enum run_result
run_begin (struct session *s)
{
  if (s->state != 'I')
    {
      /* PostgreSQL only warns about BEGIN in a transaction. */
      session_send_command_complete (s, "BEGIN");
      return RUN_DONE;
    }
  bool read_only = strcasestr (s->sql.start, "READ ONLY") != NULL
                   || s->server->store->in_recovery;
  if (!open_connection (s))
    return RUN_ERROR;
  if (!read_only && !acquire_write_lock (s))
    return RUN_BLOCKED;
  enum run_result result
      = execute_without_rows (s, read_only ? "BEGIN" : "BEGIN IMMEDIATE");
  if (result == RUN_DONE)
    {
      s->read_only = read_only;
      s->state = 'T';
      session_send_command_complete (s, "BEGIN");
    }
  else
    sql_release_write_lock (s);
  return result;
}

/* Close the session instead of answering a commit, if that fault is set.
   @return whether the session was closed. */
static bool
close_instead_of_answering (struct session *s)
{
  if (!s->server->drop_commit_answer || s->is_control)
    return false;
  session_close (s);
  return true;
}

/* Run COMMIT or ROLLBACK; the COMMIT of a failed transaction rolls back. */
static enum run_result
run_commit_or_rollback (struct session *s)
{
  bool commit = s->kind == SQL_COMMIT && s->state != 'E';
  if (strcasestr (s->sql.start, "ROLLBACK TO") == s->sql.start)
    {
      session_send_error (s, "0A000", "savepoints are not supported");
      return RUN_ERROR;
    }
  if (s->state != 'I')
    {
      enum run_result result
          = execute_without_rows (s, commit ? "COMMIT" : "ROLLBACK");
      if (result != RUN_DONE)
        return result;
      if (commit)
        append_transaction_to_log (s);
      TALLOC_FREE (s->pending_sql);
    }
  s->state = 'I';
  s->read_only = false;
  sql_release_write_lock (s);
  if (commit && close_instead_of_answering (s))
    return RUN_BLOCKED;
  session_send_command_complete (s, commit ? "COMMIT" : "ROLLBACK");
  return RUN_DONE;
}

static int
column_oid (sqlite3_stmt *stmt, int column)
{
  const char *type = sqlite3_column_decltype (stmt, column);
  return type != NULL && strcasestr (type, "INT") != NULL ? OID_INT8
                                                          : OID_TEXT;
}

static void
describe_statement (struct session *s)
{
  int count = sqlite3_column_count (s->stmt);
  const char *names[count];
  int oids[count];
  for (int i = 0; i < count; i++)
    {
      names[i] = sqlite3_column_name (s->stmt, i);
      oids[i] = column_oid (s->stmt, i);
    }
  session_send_row_description (s, names, oids, count);
}

void
sql_describe (struct session *s)
{
  if (s->kind == SQL_STATUS)
    describe_status (s);
  else if (s->kind == SQL_PROMOTE)
    describe_promote (s);
  else if (s->stmt != NULL && sqlite3_column_count (s->stmt) > 0)
    describe_statement (s);
  else
    session_send_empty_message (s, 'n');
}

/* Whether the text is only white space and semicolons. */
static bool
has_no_statement (struct bstr text)
{
  for (size_t i = 0; i < text.len; i++)
    if (!isspace ((unsigned char)text.start[i]) && text.start[i] != ';')
      return false;
  return true;
}

static enum run_result
send_prepare_error (struct session *s)
{
  const char *text = sqlite3_errmsg (connection_db (s->connection));
  bool no_table = strstr (text, "no such table") != NULL;
  session_send_error (s, no_table ? "42P01" : "42601", text);
  return RUN_ERROR;
}

enum run_result
sql_prepare (struct session *s)
{
  struct bstr tail;
  if (s->kind != SQL_STATEMENT || has_no_statement (s->sql))
    return RUN_DONE;
  if (!open_connection (s))
    return RUN_ERROR;
  sql_release_statement (s);
  s->stmt = connection_prepare (s->connection, s->sql, &tail);
  if (s->stmt == NULL)
    return send_prepare_error (s);
  if (!has_no_statement (tail))
    {
      session_send_error (s, "42601",
                          "cannot run several statements in one query");
      return RUN_ERROR;
    }
  for (int i = 0; i < s->param_count; i++)
    {
      char name[16];
      snprintf (name, sizeof name, "$%d", i + 1);
      int index = sqlite3_bind_parameter_index (s->stmt, name);
      if (index > 0 && s->params[i] != NULL)
        sqlite3_bind_text (s->stmt, index, s->params[i], -1, SQLITE_STATIC);
    }
  return RUN_DONE;
}

static enum run_result
send_step_error (struct session *s)
{
  static const struct
  {
    int code;
    const char *sqlstate;
  } states[] = {
    { SQLITE_CONSTRAINT_UNIQUE, "23505" },
    { SQLITE_CONSTRAINT_PRIMARYKEY, "23505" },
    { SQLITE_CONSTRAINT_NOTNULL, "23502" },
    { SQLITE_CONSTRAINT_FOREIGNKEY, "23503" },
    { SQLITE_CONSTRAINT_CHECK, "23514" },
  };
  sqlite3 *db = connection_db (s->connection);
  int code = sqlite3_extended_errcode (db);
  const char *sqlstate = "XX000";
  for (size_t i = 0; i < sizeof states / sizeof states[0]; i++)
    if (states[i].code == code)
      sqlstate = states[i].sqlstate;
  session_send_error (s, sqlstate, sqlite3_errmsg (db));
  return RUN_ERROR;
}

/* Send the remaining rows.
   @param step result of the first sqlite3_step
   @param rows incremented for each row
   @return the result of the last sqlite3_step. */
static int
send_rows (struct session *s, int step, long *rows)
{
  int columns = sqlite3_column_count (s->stmt);
  while (step == SQLITE_ROW)
    {
      const char *values[columns > 0 ? columns : 1];
      for (int i = 0; i < columns; i++)
        values[i] = (const char *)sqlite3_column_text (s->stmt, i);
      session_send_data_row (s, values, columns);
      (*rows)++;
      step = sqlite3_step (s->stmt);
    }
  return step;
}

/* Send CommandComplete with the tag of the current statement. */
static void
send_command_tag (struct session *s, bool changes, long rows)
{
  int changed = sqlite3_changes (connection_db (s->connection));
  char tag[48];
  if (!changes)
    snprintf (tag, sizeof tag, "SELECT %ld", rows);
  else if (starts_with_ignoring_case (s->sql, "INSERT"))
    snprintf (tag, sizeof tag, "INSERT 0 %d", changed);
  else if (starts_with_ignoring_case (s->sql, "DELETE"))
    snprintf (tag, sizeof tag, "DELETE %d", changed);
  else if (starts_with_ignoring_case (s->sql, "UPDATE"))
    snprintf (tag, sizeof tag, "UPDATE %d", changed);
  else
    snprintf (tag, sizeof tag, "%s",
              starts_with_ignoring_case (s->sql, "CREATE TABLE")
                  ? "CREATE TABLE"
                  : "DDL");
  session_send_command_complete (s, tag);
}

static void
append_pending_sql (struct session *s, const char *sql)
{
  if (s->pending_sql == NULL)
    s->pending_sql = talloc_strdup (s, sql);
  else
    s->pending_sql
        = talloc_asprintf_append_buffer (s->pending_sql, ";%s", sql);
}

/* Set the random seed if the current statement uses random values.
   @return the statement that sets the seed, for the log; NULL if the current
   statement uses no random values. */
static char *
set_random_seed (struct session *s)
{
  if (strcasestr (s->sql.start, "random") == NULL)
    return NULL;
  char *sql
      = talloc_asprintf (s, "SELECT standin_seed(%" PRId64 ")", clock_now ());
  sqlite3_exec (connection_db (s->connection), sql, NULL, NULL, NULL);
  return sql;
}

/* Add the current statement, with its parameters, to the pending changes for
   the log.  Functions of the time of day are not replaced, so their values
   differ at replicas. */
static void
record_pending_change (struct session *s, const char *seed)
{
  char *expanded = sqlite3_expanded_sql (s->stmt);
  if (seed != NULL)
    append_pending_sql (s, seed);
  append_pending_sql (s, expanded);
  sqlite3_free (expanded);
}

static enum run_result
run_statement (struct session *s, bool describe)
{
  long rows = 0;
  if (s->stmt == NULL)
    {
      session_send_empty_message (s, 'I');
      return RUN_DONE;
    }
  bool changes = !sqlite3_stmt_readonly (s->stmt);
  if (changes && (s->read_only || s->server->store->in_recovery))
    {
      session_send_error (s, "25006",
                          "cannot execute a write in a read-only transaction");
      return RUN_ERROR;
    }
  if (changes && !acquire_write_lock (s))
    return RUN_BLOCKED;
  enum run_result result = RUN_DONE;
  char *seed = changes ? set_random_seed (s) : NULL;
  int step = sqlite3_step (s->stmt);
  if (step == SQLITE_BUSY || step == SQLITE_LOCKED)
    result = RUN_BLOCKED;
  else
    {
      if (describe && (step == SQLITE_ROW || step == SQLITE_DONE)
          && sqlite3_column_count (s->stmt) > 0)
        describe_statement (s);
      if (send_rows (s, step, &rows) != SQLITE_DONE)
        result = send_step_error (s);
    }
  if (result == RUN_DONE && changes)
    record_pending_change (s, seed);
  talloc_free (seed);
  if (result == RUN_DONE)
    send_command_tag (s, changes, rows);
  if (result == RUN_BLOCKED)
    sqlite3_reset (s->stmt);
  else
    sql_release_statement (s);
  if (s->state != 'I' || !changes)
    return result;
  if (result == RUN_DONE)
    append_transaction_to_log (s);
  sql_release_write_lock (s);
  return result == RUN_DONE && close_instead_of_answering (s) ? RUN_BLOCKED
                                                              : result;
}

enum run_result
sql_run (struct session *s, bool describe)
{
  if (s->state == 'E' && s->kind != SQL_COMMIT && s->kind != SQL_ROLLBACK)
    {
      session_send_error (s, "25P02", "current transaction is aborted");
      return RUN_ERROR;
    }
  switch (s->kind)
    {
    case SQL_STATUS:
      if (describe)
        describe_status (s);
      run_status (s);
      return RUN_DONE;
    case SQL_CHECK:
      return run_check (s);
    case SQL_NO_EFFECT:
      session_send_command_complete (s, "SELECT 1");
      return RUN_DONE;
    case SQL_FENCE:
      run_fence (s);
      return RUN_DONE;
    case SQL_PROMOTE:
      if (describe)
        describe_promote (s);
      return run_promote (s);
    case SQL_FOLLOW:
      run_follow (s);
      return RUN_DONE;
    case SQL_SET_FAULTS:
      run_set_faults (s);
      return RUN_DONE;
    case SQL_BEGIN:
      return run_begin (s);
    case SQL_COMMIT:
    case SQL_ROLLBACK:
      return run_commit_or_rollback (s);
    case SQL_SET_OR_DISCARD:
      if (s->server->advisory_lock_owner == s)
        s->server->advisory_lock_owner = NULL;
      session_send_command_complete (
          s,
          starts_with_ignoring_case (s->sql, "SET") ? "SET" : "DISCARD ALL");
      return RUN_DONE;
    default:
      return run_statement (s, describe);
    }
}
