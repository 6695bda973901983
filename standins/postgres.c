/** @file
 * Stand-in for one PostgreSQL server of a group: the wire protocol at the
 * server's side, SQL by sqlite, replication by shipping committed
 * statements with a settable lag.  Faults are injected with statements
 * that start with "standin:" in a comment.
 */
#include "common/clock.h"
#include "standins/postgres_store.h"
#include "standins/postgres_wire.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <popt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <tevent.h>
#include <unistd.h>

#define MAX_PARAMETERS 64
#define MAX_MESSAGE_BYTES (16 * 1024 * 1024)
#define KEEPALIVE_MS 100
#define APPLY_USEC 1000
#define OID_INT8 20
#define OID_TEXT 25
#define PROTOCOL_3 196608
#define SSL_REQUEST 80877103
#define GSS_REQUEST 80877104
#define CANCEL_REQUEST 80877102

struct server
{
  struct tevent_context *ev;
  struct store *store;
  struct session *sessions;
  struct session *upstream; /**< Stream from the primary, on a replica. */
  char *primary;            /**< HOST:PORT that this replica follows. */
  uint64_t fence;           /**< Highest fence mark received. */
  int64_t last_received;    /**< When the primary was last heard, us. */
  int apply_lag_ms;
  int ship_delay_ms;
  int statement_delay_ms;
  int connect_delay_ms;
  struct session *lock_owner; /**< Of the advisory lock for commands. */
  bool cut; /**< Partitioned: only control sessions are served. */
  bool auto_rebuild;
  bool drop_commit_answer; /**< Commit, then close without an answer. */
  int64_t statements;
  int listener;
};

struct session
{
  struct session *prev, *next;
  struct server *server;
  int fd;
  struct tevent_fd *fde;
  struct wire_buffer in, out;
  bool started;
  bool control;
  bool is_upstream;   /**< This end receives replication. */
  bool is_follower;   /**< The other end receives replication. */
  size_t next_record; /**< First record not yet sent to a follower. */
  bool skip_to_sync;
  bool waiting; /**< A statement waits for the writer or a delay. */
  struct tevent_timer *resume;
  bool delayed; /**< The injected delay of this statement was served. */
  char state;   /**< 'I', 'T' or 'E', as ReadyForQuery reports it. */
  bool read_only;
  sqlite3 *db;
  struct bstr sql; /**< Parsed statement, owned by the session. */
  char *params[MAX_PARAMETERS];
  int param_count;
  sqlite3_stmt *stmt;
  int step;      /**< Result of the first sqlite3_step of a bound portal. */
  char *pending; /**< SQL of the open transaction, for the log. */
};

enum run_result
{
  RUN_DONE,
  RUN_BLOCKED, /**< Retry the same message later. */
  RUN_ERROR
};

static void process_input (struct session *s);
static void session_close (struct session *s);
static void connect_upstream (struct server *server);

static void
flush_output (struct session *s)
{
  while (s->out.used > 0)
    {
      ssize_t n = send (s->fd, s->out.bytes, s->out.used, MSG_NOSIGNAL);
      if (n <= 0)
        break;
      wire_consume (&s->out, (size_t)n);
    }
  if (s->out.used > 0)
    TEVENT_FD_WRITEABLE (s->fde);
  else
    TEVENT_FD_NOT_WRITEABLE (s->fde);
}

static void
send_empty (struct session *s, char type)
{
  wire_end (&s->out, wire_begin (s, &s->out, type));
}

static void
send_ready (struct session *s)
{
  size_t at = wire_begin (s, &s->out, 'Z');
  wire_append (s, &s->out, &s->state, 1);
  wire_end (&s->out, at);
}

static void
send_error (struct session *s, const char *sqlstate, const char *text)
{
  size_t at = wire_begin (s, &s->out, 'E');
  wire_append (s, &s->out, "SERROR", 7);
  wire_append (s, &s->out, "VERROR", 7);
  wire_append (s, &s->out, "C", 1);
  wire_text (s, &s->out, sqlstate);
  wire_append (s, &s->out, "M", 1);
  wire_text (s, &s->out, text);
  wire_append (s, &s->out, "", 1);
  wire_end (&s->out, at);
  if (s->state == 'T')
    s->state = 'E';
}

static void
send_complete (struct session *s, const char *tag)
{
  size_t at = wire_begin (s, &s->out, 'C');
  wire_text (s, &s->out, tag);
  wire_end (&s->out, at);
}

static void
send_row_description (struct session *s, const char *const *names,
                      const int *oids, int count)
{
  size_t at = wire_begin (s, &s->out, 'T');
  wire_int16 (s, &s->out, count);
  for (int i = 0; i < count; i++)
    {
      wire_text (s, &s->out, names[i]);
      wire_int32 (s, &s->out, 0);
      wire_int16 (s, &s->out, 0);
      wire_int32 (s, &s->out, oids[i]);
      wire_int16 (s, &s->out, oids[i] == OID_INT8 ? 8 : -1);
      wire_int32 (s, &s->out, -1);
      wire_int16 (s, &s->out, 0);
    }
  wire_end (&s->out, at);
}

static void
send_text_row (struct session *s, const char *const *values, int count)
{
  size_t at = wire_begin (s, &s->out, 'D');
  wire_int16 (s, &s->out, count);
  for (int i = 0; i < count; i++)
    {
      int32_t len = values[i] != NULL ? (int32_t)strlen (values[i]) : -1;
      wire_int32 (s, &s->out, len);
      if (len > 0)
        wire_append (s, &s->out, values[i], (size_t)len);
    }
  wire_end (&s->out, at);
}

static void
resume_waiting (struct server *server)
{
  struct session *next;
  for (struct session *s = server->sessions; s != NULL; s = next)
    {
      next = s->next;
      if (s->waiting && s->resume == NULL)
        {
          s->waiting = false;
          process_input (s);
          /* The list may have changed; the rest is resumed by timers. */
          return;
        }
    }
}

static void
resume_after_delay (struct tevent_context *ev, struct tevent_timer *te,
                    struct timeval now, void *data)
{
  (void)ev, (void)te, (void)now;
  struct session *s = data;
  s->resume = NULL;
  s->waiting = false;
  process_input (s);
}

static void
wait_ms (struct session *s, int ms)
{
  s->waiting = true;
  s->resume
      = tevent_add_timer (s->server->ev, s,
                          tevent_timeval_current_ofs (
                              (uint32_t)ms / 1000, (uint32_t)ms % 1000 * 1000),
                          resume_after_delay, s);
}

static void
send_record (struct session *follower, const struct wal_record *record)
{
  size_t at = wire_begin (follower, &follower->out, 'd');
  wire_int64 (follower, &follower->out, record->lsn);
  wire_int64 (follower, &follower->out, record->term);
  wire_append (follower, &follower->out, record->sql.start, record->sql.len);
  wire_end (&follower->out, at);
}

static void
send_keepalive (struct session *follower)
{
  size_t at = wire_begin (follower, &follower->out, 'k');
  wire_int64 (follower, &follower->out, follower->server->store->term);
  wire_end (&follower->out, at);
}

static void
ship_records (struct server *server)
{
  struct session *next;
  for (struct session *s = server->sessions; s != NULL; s = next)
    {
      next = s->next;
      if (!s->is_follower || server->cut)
        continue;
      while (s->next_record < server->store->record_count)
        send_record (s, &server->store->records[s->next_record++]);
      flush_output (s);
    }
}

static void
ship_after_delay (struct tevent_context *ev, struct tevent_timer *te,
                  struct timeval now, void *data)
{
  (void)ev, (void)te, (void)now;
  ship_records (data);
}

static void
commit_to_log (struct session *s)
{
  struct server *server = s->server;
  if (s->pending != NULL)
    {
      store_append_committed (server->store, bstr_from (s->pending));
      TALLOC_FREE (s->pending);
      if (server->ship_delay_ms > 0)
        tevent_add_timer (server->ev, server,
                          tevent_timeval_current_ofs (
                              0, (uint32_t)server->ship_delay_ms * 1000),
                          ship_after_delay, server);
      else
        ship_records (server);
    }
}

/* Split off the value that follows NAME= in a tag comment. */
static long
tag_value (struct bstr sql, const char *name, long otherwise)
{
  const char *at = memmem (sql.start, sql.len, name, strlen (name));
  if (at == NULL)
    return otherwise;
  return strtol (at + strlen (name), NULL, 10);
}

static void
format_lsn (char *buffer, size_t size, uint64_t lsn)
{
  snprintf (buffer, size, "%" PRIX32 "/%" PRIX32, (uint32_t)(lsn >> 32),
            (uint32_t)lsn);
}

/* Answer a poll, guard or position query with one row. */
static void
send_status (struct session *s, bool describe)
{
  static const char *const names[]
      = { "in_recovery", "term", "received", "replayed", "fence", "age_ms" };
  static const int oids[]
      = { OID_TEXT, OID_INT8, OID_TEXT, OID_TEXT, OID_INT8, OID_INT8 };
  const struct server *server = s->server;
  char term[24], fence[24], age[24], received[24], replayed[24];
  snprintf (term, sizeof term, "%" PRIu64, server->store->term);
  snprintf (fence, sizeof fence, "%" PRIu64, server->fence);
  snprintf (age, sizeof age, "%" PRId64,
            (clock_now () - server->last_received) / USEC_PER_MSEC);
  format_lsn (received, sizeof received, store_received_lsn (server->store));
  format_lsn (replayed, sizeof replayed, store_applied_lsn (server->store));
  if (describe)
    send_row_description (s, names, oids, 6);
  else
    {
      const char *values[] = { server->store->in_recovery ? "t" : "f",
                               term,
                               received,
                               replayed,
                               fence,
                               age };
      send_text_row (s, values, 6);
      send_complete (s, "SELECT 1");
    }
}

static void
stop_following (struct server *server)
{
  if (server->upstream != NULL)
    session_close (server->upstream);
  TALLOC_FREE (server->primary);
}

static void
run_fence (struct session *s)
{
  struct server *server = s->server;
  uint64_t mark = (uint64_t)tag_value (s->sql, "azurewind_fence_", 0);
  if (mark > server->fence)
    server->fence = mark;
  stop_following (server);
  send_complete (s, "ALTER SYSTEM");
}

static void
run_promote (struct session *s)
{
  struct server *server = s->server;
  uint64_t term = (uint64_t)tag_value (s->sql, "term=", 0);
  if (server->store->in_recovery && term > server->store->term)
    {
      while (store_apply_next (server->store))
        ;
      server->store->term = term;
      server->store->in_recovery = false;
    }
  stop_following (server);
  send_complete (s, "SELECT 1");
}

static void
run_follow (struct session *s)
{
  struct server *server = s->server;
  const char *at = memmem (s->sql.start, s->sql.len, "primary=", 8);
  stop_following (server);
  if (at != NULL)
    {
      at += strlen ("primary=");
      server->primary = talloc_strndup (server, at, strcspn (at, " ;'"));
      uint64_t mark = (uint64_t)tag_value (s->sql, "azurewind_fence_", 0);
      if (mark > server->fence)
        server->fence = mark;
      server->store->in_recovery = true;
      connect_upstream (server);
    }
  send_complete (s, "ALTER SYSTEM");
}

/* Fault injection. */
static void
run_standin (struct session *s)
{
  struct server *server = s->server;
  server->apply_lag_ms
      = (int)tag_value (s->sql, "apply_lag_ms=", server->apply_lag_ms);
  server->ship_delay_ms
      = (int)tag_value (s->sql, "ship_delay_ms=", server->ship_delay_ms);
  server->statement_delay_ms = (int)tag_value (
      s->sql, "statement_delay_ms=", server->statement_delay_ms);
  server->cut = tag_value (s->sql, "cut=", server->cut) != 0;
  server->drop_commit_answer
      = tag_value (s->sql, "drop_commit_answer=", server->drop_commit_answer)
        != 0;
  if (server->cut && server->upstream != NULL)
    session_close (server->upstream);
  else if (!server->cut && server->primary != NULL)
    connect_upstream (server);
  send_complete (s, "SELECT 1");
}

/* Evaluate "check max=N" or "check equal=N" on the fence marker, under the
   advisory lock that the real statement takes. */
static void
run_check (struct session *s)
{
  struct server *server = s->server;
  long max = tag_value (s->sql, "max=", -1);
  long equal = tag_value (s->sql, "equal=", -1);
  bool holds = max >= 0 ? server->fence <= (uint64_t)max
                        : server->fence == (uint64_t)equal;
  server->lock_owner = s;
  if (holds)
    send_complete (s, "SELECT 1");
  else
    send_error (s, "22012", "division by zero");
}

static void
run_nothing (struct session *s)
{
  send_complete (s, "SELECT 1");
}

struct special
{
  const char *tag;
  void (*run) (struct session *s);
};

static const struct special specials[] = {
  { "/* azurewind:check", run_check },
  { "/* azurewind:reload", run_nothing },
  { "/* azurewind:receiver_stopped", run_nothing },
  { "/* azurewind:fence", run_fence },
  { "/* azurewind:promote", run_promote },
  { "/* azurewind:follow", run_follow },
  { "/* standin:", run_standin },
};

static bool
is_status_query (struct bstr sql)
{
  return bstr_starts_with (sql, "/* azurewind:poll")
         || bstr_starts_with (sql, "/* azurewind:guard")
         || bstr_starts_with (sql, "/* azurewind:position");
}

static const struct special *
find_special (struct bstr sql)
{
  for (size_t i = 0; i < sizeof specials / sizeof specials[0]; i++)
    if (bstr_starts_with (sql, specials[i].tag))
      return &specials[i];
  return NULL;
}

static bool
word_is (struct bstr sql, const char *word)
{
  size_t n = strlen (word);
  return sql.len >= n && strncasecmp (sql.start, word, n) == 0;
}

static enum run_result
run_plain (struct session *s, const char *sql)
{
  int rc = sqlite3_exec (s->db, sql, NULL, NULL, NULL);
  if (rc == SQLITE_BUSY || rc == SQLITE_LOCKED)
    return RUN_BLOCKED;
  if (rc != SQLITE_OK)
    {
      send_error (s, "XX000", sqlite3_errmsg (s->db));
      return RUN_ERROR;
    }
  return RUN_DONE;
}

static enum run_result
run_begin (struct session *s)
{
  s->read_only = memmem (s->sql.start, s->sql.len, "READ ONLY", 9) != NULL
                 || s->server->store->in_recovery;
  enum run_result result
      = run_plain (s, s->read_only ? "BEGIN" : "BEGIN IMMEDIATE");
  if (result == RUN_DONE)
    {
      s->state = 'T';
      send_complete (s, "BEGIN");
    }
  return result;
}

static enum run_result
run_end (struct session *s, bool commit)
{
  if (s->state == 'E')
    commit = false;
  if (s->state != 'I')
    {
      enum run_result result = run_plain (s, commit ? "COMMIT" : "ROLLBACK");
      if (result == RUN_BLOCKED)
        return result;
      if (commit && result == RUN_DONE)
        commit_to_log (s);
      TALLOC_FREE (s->pending);
    }
  s->state = 'I';
  s->read_only = false;
  if (commit && s->server->drop_commit_answer && !s->control)
    {
      session_close (s);
      return RUN_BLOCKED;
    }
  send_complete (s, commit ? "COMMIT" : "ROLLBACK");
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
  int count = s->stmt != NULL ? sqlite3_column_count (s->stmt) : 0;
  if (count == 0)
    {
      send_empty (s, 'n');
      return;
    }
  const char *names[count];
  int oids[count];
  for (int i = 0; i < count; i++)
    {
      names[i] = sqlite3_column_name (s->stmt, i);
      oids[i] = column_oid (s->stmt, i);
    }
  send_row_description (s, names, oids, count);
}

static void
finish_statement (struct session *s)
{
  sqlite3_finalize (s->stmt);
  s->stmt = NULL;
}

static enum run_result
prepare_statement (struct session *s)
{
  finish_statement (s);
  if (sqlite3_prepare_v2 (s->db, s->sql.start, (int)s->sql.len, &s->stmt, NULL)
      != SQLITE_OK)
    {
      send_error (s, "42601", sqlite3_errmsg (s->db));
      return RUN_ERROR;
    }
  for (int i = 0; s->stmt != NULL && i < s->param_count; i++)
    {
      char name[16];
      snprintf (name, sizeof name, "$%d", i + 1);
      int index = sqlite3_bind_parameter_index (s->stmt, name);
      if (index > 0 && s->params[i] != NULL)
        sqlite3_bind_text (s->stmt, index, s->params[i], -1, SQLITE_TRANSIENT);
    }
  return RUN_DONE;
}

static void
send_rows (struct session *s)
{
  int columns = sqlite3_column_count (s->stmt);
  long rows = 0;
  char tag[48];
  while (s->step == SQLITE_ROW)
    {
      const char *values[columns > 0 ? columns : 1];
      for (int i = 0; i < columns; i++)
        values[i] = (const char *)sqlite3_column_text (s->stmt, i);
      send_text_row (s, values, columns);
      rows++;
      s->step = sqlite3_step (s->stmt);
    }
  if (columns > 0)
    snprintf (tag, sizeof tag, "SELECT %ld", rows);
  else if (word_is (s->sql, "INSERT"))
    snprintf (tag, sizeof tag, "INSERT 0 %d", sqlite3_changes (s->db));
  else if (word_is (s->sql, "DELETE"))
    snprintf (tag, sizeof tag, "DELETE %d", sqlite3_changes (s->db));
  else
    snprintf (tag, sizeof tag, "UPDATE %d", sqlite3_changes (s->db));
  send_complete (s, tag);
}

static enum run_result
step_failed (struct session *s)
{
  int code = sqlite3_extended_errcode (s->db);
  bool unique = code == SQLITE_CONSTRAINT_UNIQUE
                || code == SQLITE_CONSTRAINT_PRIMARYKEY;
  send_error (s, unique ? "23505" : "XX000", sqlite3_errmsg (s->db));
  return RUN_ERROR;
}

/* Execute a statement that reads or changes tables. */
static enum run_result
run_statement (struct session *s)
{
  struct server *server = s->server;
  enum run_result result = RUN_DONE;
  if (s->stmt == NULL)
    {
      send_empty (s, 'I');
      return RUN_DONE;
    }
  bool changes = !sqlite3_stmt_readonly (s->stmt);
  if (changes && (s->read_only || server->store->in_recovery))
    {
      send_error (s, "25006",
                  "cannot execute a write in a read-only transaction");
      return RUN_ERROR;
    }
  s->step = sqlite3_step (s->stmt);
  if (s->step == SQLITE_BUSY || s->step == SQLITE_LOCKED)
    {
      sqlite3_reset (s->stmt);
      return RUN_BLOCKED;
    }
  if (s->step != SQLITE_ROW && s->step != SQLITE_DONE)
    return step_failed (s);
  char *expanded = changes ? sqlite3_expanded_sql (s->stmt) : NULL;
  send_rows (s);
  finish_statement (s);
  if (expanded != NULL)
    {
      s->pending = s->pending == NULL
                       ? talloc_strdup (s, expanded)
                       : talloc_asprintf_append (s->pending, ";%s", expanded);
      sqlite3_free (expanded);
      if (s->state == 'I')
        commit_to_log (s);
    }
  server->statements++;
  return result;
}

static bool
is_transaction_end (struct bstr sql)
{
  return word_is (sql, "COMMIT") || word_is (sql, "ROLLBACK");
}

static enum run_result
run_sql (struct session *s)
{
  const struct special *special = find_special (s->sql);
  if (is_status_query (s->sql))
    {
      send_status (s, false);
      return RUN_DONE;
    }
  if (special != NULL)
    {
      if (special->run == run_check && s->server->lock_owner != NULL
          && s->server->lock_owner != s)
        return RUN_BLOCKED;
      size_t before = s->out.used;
      special->run (s);
      return s->out.used > before && s->out.bytes[before] == 'E' ? RUN_ERROR
                                                                 : RUN_DONE;
    }
  if (s->state == 'E' && !is_transaction_end (s->sql))
    {
      send_error (s, "25P02", "current transaction is aborted");
      return RUN_ERROR;
    }
  if (word_is (s->sql, "BEGIN"))
    return run_begin (s);
  if (is_transaction_end (s->sql))
    return run_end (s, word_is (s->sql, "COMMIT"));
  if (word_is (s->sql, "DISCARD ALL") || word_is (s->sql, "SET "))
    {
      if (s->server->lock_owner == s)
        s->server->lock_owner = NULL;
      send_complete (s, "SET");
      return RUN_DONE;
    }
  return run_statement (s);
}

static bool
needs_statement (struct bstr sql)
{
  return !is_status_query (sql) && find_special (sql) == NULL
         && !word_is (sql, "BEGIN") && !is_transaction_end (sql)
         && !word_is (sql, "DISCARD ALL") && !word_is (sql, "SET ");
}

static void
set_sql (struct session *s, const char *text)
{
  talloc_free ((void *)s->sql.start);
  while (isspace ((unsigned char)*text))
    text++;
  s->sql = bstr_copy (s, bstr_from (text));
}

static void
clear_params (struct session *s)
{
  for (int i = 0; i < s->param_count; i++)
    TALLOC_FREE (s->params[i]);
  s->param_count = 0;
}

static enum run_result
on_simple_query (struct session *s, struct wire_reader *r)
{
  set_sql (s, wire_get_text (r));
  clear_params (s);
  enum run_result result = RUN_DONE;
  if (needs_statement (s->sql))
    result = prepare_statement (s);
  if (result == RUN_DONE && is_status_query (s->sql))
    send_status (s, true);
  else if (result == RUN_DONE && s->stmt != NULL
           && sqlite3_column_count (s->stmt) > 0)
    describe_statement (s);
  size_t before = s->out.used;
  if (result == RUN_DONE)
    result = run_sql (s);
  if (result == RUN_BLOCKED)
    {
      s->out.used = before;
      return result;
    }
  send_ready (s);
  return RUN_DONE;
}

static enum run_result
on_parse (struct session *s, struct wire_reader *r)
{
  wire_get_text (r);
  set_sql (s, wire_get_text (r));
  finish_statement (s);
  send_empty (s, '1');
  return RUN_DONE;
}

static enum run_result
on_bind (struct session *s, struct wire_reader *r)
{
  wire_get_text (r);
  wire_get_text (r);
  int formats = wire_get16 (r);
  for (int i = 0; i < formats; i++)
    wire_get16 (r);
  int count = wire_get16 (r);
  clear_params (s);
  if (count > MAX_PARAMETERS)
    {
      send_error (s, "54023", "too many parameters");
      return RUN_ERROR;
    }
  for (int i = 0; i < count; i++)
    {
      int32_t len = wire_get32 (r);
      if (len >= 0)
        s->params[i] = bstr_to_text (s, wire_get_bytes (r, (size_t)len));
      s->param_count = i + 1;
    }
  if (needs_statement (s->sql) && prepare_statement (s) != RUN_DONE)
    return RUN_ERROR;
  send_empty (s, '2');
  return RUN_DONE;
}

static enum run_result
on_describe (struct session *s)
{
  if (is_status_query (s->sql))
    send_status (s, true);
  else
    describe_statement (s);
  return RUN_DONE;
}

static enum run_result
on_execute (struct session *s)
{
  int delay = s->server->statement_delay_ms;
  if (delay > 0 && !s->control && !s->delayed)
    {
      s->delayed = true;
      wait_ms (s, delay);
      return RUN_BLOCKED;
    }
  enum run_result result = run_sql (s);
  if (result != RUN_BLOCKED)
    s->delayed = false;
  return result;
}

static void
on_replication_data (struct session *s, char type, struct wire_reader *r)
{
  struct server *server = s->server;
  server->last_received = clock_now ();
  if (type == 'd' && r->rest.len >= 16)
    {
      uint64_t lsn = wire_read64 (r->rest.start);
      uint64_t term = wire_read64 (r->rest.start + 8);
      store_append_received (server->store, lsn, term,
                             bstr_skip (r->rest, 16));
    }
  else if (type == 'k' && r->rest.len >= 8)
    {
      uint64_t term = wire_read64 (r->rest.start);
      if (term > server->store->term)
        server->store->term = term;
    }
  else if (type == 'x' && server->auto_rebuild)
    {
      struct error err;
      fprintf (stderr, "standin-postgres: rebuild after divergence\n");
      store_reset (server->store, &err);
      server->store->in_recovery = true;
      session_close (s);
      connect_upstream (server);
    }
}

static void
on_follow_request (struct session *s, struct wire_reader *r)
{
  struct server *server = s->server;
  struct bstr raw = wire_get_bytes (r, 16);
  if (r->failed)
    return;
  ssize_t start = store_match (server->store, wire_read64 (raw.start),
                               wire_read64 (raw.start + 8));
  if (start < 0 || server->store->in_recovery)
    {
      send_empty (s, start < 0 ? 'x' : 'n');
      return;
    }
  s->is_follower = true;
  s->next_record = (size_t)start;
  send_keepalive (s);
  ship_records (server);
}

static enum run_result
dispatch (struct session *s, char type, struct bstr payload)
{
  struct wire_reader r = { payload, false };
  if (s->is_upstream)
    {
      on_replication_data (s, type, &r);
      return RUN_DONE;
    }
  if (s->skip_to_sync && type != 'S')
    return RUN_DONE;
  switch (type)
    {
    case 'Q':
      return on_simple_query (s, &r);
    case 'P':
      return on_parse (s, &r);
    case 'B':
      return on_bind (s, &r);
    case 'D':
      return on_describe (s);
    case 'E':
      return on_execute (s);
    case 'C':
      send_empty (s, '3');
      return RUN_DONE;
    case 'S':
      s->skip_to_sync = false;
      send_ready (s);
      return RUN_DONE;
    case 'F':
      on_follow_request (s, &r);
      return RUN_DONE;
    case 'H':
      return RUN_DONE;
    case 'X':
      session_close (s);
      return RUN_BLOCKED;
    default:
      send_error (s, "08P01", "unknown message");
      return RUN_ERROR;
    }
}

static void
send_greeting (struct session *s)
{
  static const char *const parameters[][2] = {
    { "server_version", "15.0 (azurewind stand-in)" },
    { "server_encoding", "UTF8" },
    { "client_encoding", "UTF8" },
    { "standard_conforming_strings", "on" },
    { "integer_datetimes", "on" },
  };
  size_t at = wire_begin (s, &s->out, 'R');
  wire_int32 (s, &s->out, 0);
  wire_end (&s->out, at);
  for (size_t i = 0; i < sizeof parameters / sizeof parameters[0]; i++)
    {
      at = wire_begin (s, &s->out, 'S');
      wire_text (s, &s->out, parameters[i][0]);
      wire_text (s, &s->out, parameters[i][1]);
      wire_end (&s->out, at);
    }
  at = wire_begin (s, &s->out, 'K');
  wire_int32 (s, &s->out, s->fd);
  wire_int32 (s, &s->out, 0);
  wire_end (&s->out, at);
  send_ready (s);
}

/* @return bytes used, 0 if more input is needed or the session closed. */
static size_t
process_startup (struct session *s)
{
  if (s->in.used < 8)
    return 0;
  uint32_t len = wire_read32 (s->in.bytes);
  uint32_t code = wire_read32 (s->in.bytes + 4);
  if (len < 8 || len > 10000 || code == CANCEL_REQUEST)
    {
      session_close (s);
      return 0;
    }
  if (s->in.used < len)
    return 0;
  if (code == SSL_REQUEST || code == GSS_REQUEST)
    {
      wire_append (s, &s->out, "N", 1);
      return len;
    }
  s->control = memmem (s->in.bytes, len, "standin_control", 15) != NULL;
  int delay = s->server->connect_delay_ms;
  if (delay > 0 && !s->control && !s->delayed)
    {
      s->delayed = true;
      wait_ms (s, delay);
      return 0;
    }
  s->delayed = false;
  struct error err;
  s->db = store_connect (s->server->store, &err);
  if (s->db == NULL)
    {
      session_close (s);
      return 0;
    }
  sqlite3_busy_timeout (s->db, 0);
  s->started = true;
  send_greeting (s);
  return len;
}

static void
process_input (struct session *s)
{
  struct server *server = s->server;
  int64_t committed = (int64_t)server->store->record_count;
  if (server->cut && !s->control && s->started)
    return;
  while (!s->waiting)
    {
      if (!s->started)
        {
          size_t used = process_startup (s);
          if (used == 0)
            return;
          wire_consume (&s->in, used);
          flush_output (s);
          continue;
        }
      if (s->in.used < 5)
        break;
      uint32_t len = wire_read32 (s->in.bytes + 1);
      if (len < 4 || len > MAX_MESSAGE_BYTES)
        {
          session_close (s);
          return;
        }
      if (s->in.used < len + 1)
        break;
      char type = s->in.bytes[0];
      int fd = s->fd;
      enum run_result result
          = dispatch (s, type, (struct bstr){ s->in.bytes + 5, len - 4 });
      if (result == RUN_BLOCKED)
        {
          /* fd is cleared by session_close before the memory goes. */
          bool closed = true;
          for (struct session *t = server->sessions; t != NULL; t = t->next)
            if (t == s && t->fd == fd)
              closed = false;
          if (closed)
            return;
          if (s->resume == NULL)
            wait_ms (s, 1);
          break;
        }
      if (result == RUN_ERROR)
        s->skip_to_sync = true;
      wire_consume (&s->in, len + 1);
    }
  flush_output (s);
  if ((int64_t)server->store->record_count != committed)
    resume_waiting (server);
}

static void
session_close (struct session *s)
{
  struct server *server = s->server;
  if (s->prev != NULL)
    s->prev->next = s->next;
  else
    server->sessions = s->next;
  if (s->next != NULL)
    s->next->prev = s->prev;
  if (server->upstream == s)
    server->upstream = NULL;
  if (server->lock_owner == s)
    server->lock_owner = NULL;
  finish_statement (s);
  if (s->db != NULL)
    sqlite3_close (s->db);
  TALLOC_FREE (s->fde);
  if (s->out.used > 0)
    (void)!send (s->fd, s->out.bytes, s->out.used, MSG_NOSIGNAL);
  close (s->fd);
  s->fd = -1;
  talloc_free (s);
}

static void
on_socket (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags,
           void *data)
{
  (void)ev, (void)fde;
  struct session *s = data;
  if (flags & TEVENT_FD_WRITE)
    flush_output (s);
  if (!(flags & TEVENT_FD_READ))
    return;
  char buffer[65536];
  ssize_t n = recv (s->fd, buffer, sizeof buffer, 0);
  if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR))
    {
      session_close (s);
      return;
    }
  if (n > 0)
    {
      wire_append (s, &s->in, buffer, (size_t)n);
      process_input (s);
    }
}

static struct session *
session_create (struct server *server, int fd)
{
  struct session *s = talloc_zero (server, struct session);
  int one = 1;
  s->server = server;
  s->fd = fd;
  s->state = 'I';
  s->next = server->sessions;
  if (s->next != NULL)
    s->next->prev = s;
  server->sessions = s;
  fcntl (fd, F_SETFL, fcntl (fd, F_GETFL) | O_NONBLOCK);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  s->fde = tevent_add_fd (server->ev, s, fd, TEVENT_FD_READ, on_socket, s);
  return s;
}

static bool
parse_address (const char *text, struct sockaddr_in *address)
{
  char host[64];
  int port;
  if (sscanf (text, "%63[^:]:%d", host, &port) != 2)
    return false;
  memset (address, 0, sizeof *address);
  address->sin_family = AF_INET;
  address->sin_port = htons ((uint16_t)port);
  return inet_pton (AF_INET, host, &address->sin_addr) == 1;
}

static void
connect_upstream (struct server *server)
{
  struct sockaddr_in address;
  if (server->upstream != NULL || server->cut
      || !parse_address (server->primary, &address))
    return;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) != 0)
    {
      close (fd);
      return;
    }
  struct session *s = session_create (server, fd);
  s->is_upstream = true;
  s->started = true;
  s->control = true;
  server->upstream = s;
  static const char startup[] = "user\0replication\0";
  wire_int32 (s, &s->out, (int32_t)(8 + sizeof startup));
  wire_int32 (s, &s->out, PROTOCOL_3);
  wire_append (s, &s->out, startup, sizeof startup);
  size_t n = server->store->record_count;
  size_t at = wire_begin (s, &s->out, 'F');
  wire_int64 (s, &s->out, store_received_lsn (server->store));
  wire_int64 (s, &s->out, n > 0 ? server->store->records[n - 1].term : 0);
  wire_end (&s->out, at);
  flush_output (s);
}

static void
on_keepalive (struct tevent_context *ev, struct tevent_timer *te,
              struct timeval now, void *data)
{
  (void)te, (void)now;
  struct server *server = data;
  for (struct session *s = server->sessions; s != NULL; s = s->next)
    if (s->is_follower && !server->cut)
      {
        send_keepalive (s);
        flush_output (s);
      }
  if (server->primary != NULL && server->upstream == NULL)
    connect_upstream (server);
  tevent_add_timer (ev, server,
                    tevent_timeval_current_ofs (0, KEEPALIVE_MS * 1000),
                    on_keepalive, server);
}

/* Apply received records once they are apply_lag_ms old.  The lag is kept by
   applying in batches: all records received before the previous run. */
static void
on_apply (struct tevent_context *ev, struct tevent_timer *te,
          struct timeval now, void *data)
{
  (void)te, (void)now;
  struct server *server = data;
  struct store *store = server->store;
  int64_t deadline = clock_now () - server->apply_lag_ms * USEC_PER_MSEC;
  while (store->in_recovery && store->applied_count < store->record_count
         && store->records[store->applied_count].received <= deadline)
    if (!store_apply_next (store))
      break;
  tevent_add_timer (ev, server, tevent_timeval_current_ofs (0, APPLY_USEC),
                    on_apply, server);
}

static void
on_accept (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags,
           void *data)
{
  (void)ev, (void)fde, (void)flags;
  struct server *server = data;
  int fd = accept4 (server->listener, NULL, NULL, SOCK_CLOEXEC);
  if (fd >= 0)
    session_create (server, fd);
}

static bool
open_listener (struct server *server, const char *listen_address)
{
  struct sockaddr_in address;
  socklen_t len = sizeof address;
  int one = 1;
  if (!parse_address (listen_address, &address))
    return false;
  server->listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (server->listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (server->listener, (struct sockaddr *)&address, sizeof address) != 0
      || listen (server->listener, SOMAXCONN) != 0)
    return false;
  getsockname (server->listener, (struct sockaddr *)&address, &len);
  tevent_add_fd (server->ev, server, server->listener, TEVENT_FD_READ,
                 on_accept, server);
  printf ("ready port=%d\n", ntohs (address.sin_port));
  fflush (stdout);
  return true;
}

static void
on_terminate (struct tevent_context *ev, struct tevent_signal *se, int signum,
              int count, void *siginfo, void *data)
{
  (void)ev, (void)se, (void)signum, (void)count, (void)siginfo;
  bool *stop = data;
  *stop = true;
}

int
main (int argc, const char **argv)
{
  const char *listen_address = "127.0.0.1:0";
  const char *primary = NULL;
  int apply_lag_ms = 0, ship_delay_ms = 0, connect_delay_ms = 0;
  int auto_rebuild = 0;
  struct poptOption options[]
      = { { "listen", 'l', POPT_ARG_STRING, &listen_address, 0,
            "address to listen on; port 0 takes a free one", "HOST:PORT" },
          { "primary", 'p', POPT_ARG_STRING, &primary, 0,
            "start as a replica of this server", "HOST:PORT" },
          { "apply-lag", 0, POPT_ARG_INT, &apply_lag_ms, 0,
            "delay before a received record is replayed", "MS" },
          { "ship-delay", 0, POPT_ARG_INT, &ship_delay_ms, 0,
            "delay before a committed record is sent to replicas", "MS" },
          { "connect-delay", 0, POPT_ARG_INT, &connect_delay_ms, 0,
            "time that opening a connection takes", "MS" },
          { "auto-rebuild", 0, POPT_ARG_NONE, &auto_rebuild, 0,
            "rebuild from the new primary after divergence", NULL },
          POPT_AUTOHELP POPT_TABLEEND };
  poptContext context
      = poptGetContext ("standin-postgres", argc, argv, options, 0);
  int rc = poptGetNextOpt (context);
  int status = EXIT_FAILURE;
  bool stop = false;
  struct error err = { 0 };
  struct server *server = NULL;
  if (rc != -1)
    {
      fprintf (stderr, "standin-postgres: %s: %s\n",
               poptBadOption (context, 0), poptStrerror (rc));
      goto done;
    }
  server = talloc_zero (NULL, struct server);
  server->ev = tevent_context_init (server);
  server->apply_lag_ms = apply_lag_ms;
  server->ship_delay_ms = ship_delay_ms;
  server->connect_delay_ms = connect_delay_ms;
  server->auto_rebuild = auto_rebuild != 0;
  server->store = store_open (server, &err);
  if (server->store == NULL)
    {
      fprintf (stderr, "standin-postgres: %s\n", err.text);
      goto done;
    }
  if (!open_listener (server, listen_address))
    {
      fprintf (stderr, "standin-postgres: cannot listen on %s\n",
               listen_address);
      goto done;
    }
  if (primary != NULL)
    {
      server->primary = talloc_strdup (server, primary);
      server->store->in_recovery = true;
    }
  server->last_received = clock_now ();
  on_keepalive (server->ev, NULL, (struct timeval){ 0, 0 }, server);
  on_apply (server->ev, NULL, (struct timeval){ 0, 0 }, server);
  tevent_add_signal (server->ev, server, SIGTERM, 0, on_terminate, &stop);
  tevent_add_signal (server->ev, server, SIGINT, 0, on_terminate, &stop);
  while (!stop && tevent_loop_once (server->ev) == 0)
    ;
  status = EXIT_SUCCESS;
done:
  if (server != NULL && server->store != NULL)
    {
      while (server->sessions != NULL)
        session_close (server->sessions);
      store_close (server->store);
    }
  talloc_free (server);
  poptFreeContext (context);
  return status;
}
