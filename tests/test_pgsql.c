#include "common/clock.h"
#include "net/pgsql.h"
#include "tests/loop.h"
#include "tests/process.h"
#include "tests/tests.h"

#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Far below the connect timeout of 2 s. */
#define REFUSED_LIMIT_US (500 * USEC_PER_MSEC)
/* Most connections in the pool. */
#define POOL_LIMIT 3

/* A server and a pool of connections to it. */
struct fixture
{
  struct tevent_context *ev;
  struct process *server;
  struct pgsql_pool *pool;
};

/* Outcome of an acquisition or a call. */
struct call_outcome
{
  struct pgsql_connection *connection;
  enum error_code code;
  int acquired; /* Callbacks of pgsql_acquire. */
  int done;     /* Callbacks of pgsql_run. */
  enum pgsql_end end;
  int count, failed;
  char sqlstate[6];
  char value[64]; /* First value of the last result. */
};

static int availability_reports;

static void
on_available (void *data)
{
  (void)data;
  availability_reports++;
}

static struct pgsql_pool *
make_pool (struct fixture *f, const char *user, int limit)
{
  struct pgsql_pool_options options = { .ev = f->ev,
                                        .host = "127.0.0.1",
                                        .port = process_port (f->server),
                                        .database = "d",
                                        .user = user,
                                        .limit = limit,
                                        .connect_timeout_ms = 2000,
                                        .connection_available = on_available };
  return pgsql_pool_create (f, &options);
}

static struct fixture *
fixture_create (int limit)
{
  static const char *const args[] = { NULL };
  struct fixture *f = talloc_zero (NULL, struct fixture);
  f->ev = tevent_context_init (f);
  f->server = process_start (f, "standin-postgres", args);
  CU_ASSERT_PTR_NOT_NULL_FATAL (f->server);
  f->pool = make_pool (f, "app", limit);
  return f;
}

static void
fixture_free (struct fixture *f)
{
  talloc_free (f->pool);
  talloc_free (f);
}

static void
on_acquired (void *data, struct pgsql_connection *c, const struct error *err)
{
  struct call_outcome *o = data;
  o->acquired++;
  o->connection = c;
  o->code = err != NULL ? err->code : ERROR_NONE;
}

static void
on_done (void *data, const struct pgsql_reply *reply)
{
  struct call_outcome *o = data;
  const PGresult *last
      = reply->count > 0 ? reply->results[reply->count - 1] : NULL;
  o->done++;
  o->end = reply->end;
  o->count = reply->count;
  o->failed = reply->failed;
  memcpy (o->sqlstate, reply->sqlstate, sizeof o->sqlstate);
  snprintf (o->value, sizeof o->value, "%s",
            last != NULL && PQntuples (last) > 0 ? PQgetvalue (last, 0, 0)
                                                 : "");
}

static bool
is_acquired (const void *data)
{
  return ((const struct call_outcome *)data)->acquired > 0;
}

static bool
is_done (const void *data)
{
  return ((const struct call_outcome *)data)->done > 0;
}

static struct pgsql_connection *
acquire (struct fixture *f, struct pgsql_pool *pool)
{
  struct call_outcome o = { 0 };
  pgsql_acquire (pool, on_acquired, &o);
  CU_ASSERT (loop_run (f->ev, LOOP_TIMEOUT_MS, is_acquired, &o));
  CU_ASSERT_PTR_NOT_NULL_FATAL (o.connection);
  return o.connection;
}

/* Run statements, separated by '|', in one pipeline. */
static struct call_outcome
run (struct fixture *f, struct pgsql_connection *c, const char *sql)
{
  struct call_outcome o = { 0 };
  struct pgsql_statement statements[PGSQL_MAX_STATEMENTS] = { 0 };
  int count = 0;
  char *copy = talloc_strdup (f, sql), *rest = copy, *one;
  while ((one = strsep (&rest, "|")) != NULL)
    statements[count++].sql = one;
  pgsql_run (c, statements, count, on_done, &o);
  CU_ASSERT (loop_run (f->ev, LOOP_TIMEOUT_MS, is_done, &o));
  CU_ASSERT_EQUAL (o.done, 1);
  talloc_free (copy);
  return o;
}

static void
set_fault (struct fixture *f, const char *fault)
{
  struct pgsql_pool *control = make_pool (f, "standin_control", 1);
  char sql[80];
  snprintf (sql, sizeof sql, "/* standin:set %s */ SELECT 1", fault);
  CU_ASSERT_EQUAL (run (f, acquire (f, control), sql).end, PGSQL_DONE);
  talloc_free (control);
}

static bool
pool_is_empty (const void *data)
{
  return pgsql_pool_open_count (data) == 0;
}

/* Run the event loop long enough for the pool's resets to be answered. */
static void
wait_for_resets (struct fixture *f)
{
  loop_run (f->ev, 50, NULL, NULL);
}

/* Guards against more connections than the endpoint allows this daemon, and
   against a closed connection that still counts. */
static void
pool_keeps_to_its_limit (void)
{
  struct fixture *f = fixture_create (POOL_LIMIT);
  struct pgsql_connection *c[POOL_LIMIT];
  struct call_outcome o = { 0 };
  for (int i = 0; i < POOL_LIMIT; i++)
    {
      CU_ASSERT (pgsql_pool_can_acquire (f->pool));
      c[i] = acquire (f, f->pool);
    }
  CU_ASSERT_FALSE (pgsql_pool_can_acquire (f->pool));
  pgsql_acquire (f->pool, on_acquired, &o);
  CU_ASSERT (o.acquired == 1 && o.connection == NULL
             && o.code == ERROR_REFUSED);
  CU_ASSERT_EQUAL (pgsql_pool_open_count (f->pool), POOL_LIMIT);
  for (int i = 0; i < POOL_LIMIT; i++)
    pgsql_release (c[i]);
  wait_for_resets (f);
  CU_ASSERT_EQUAL (pgsql_pool_open_count (f->pool), POOL_LIMIT);
  pgsql_pool_set_limit (f->pool, 1);
  CU_ASSERT_EQUAL (pgsql_pool_open_count (f->pool), 1);
  c[0] = acquire (f, f->pool);
  pgsql_pool_set_limit (f->pool, 0);
  CU_ASSERT_EQUAL (pgsql_pool_open_count (f->pool), 1);
  CU_ASSERT_EQUAL (run (f, c[0], "SELECT 1").end, PGSQL_DONE);
  pgsql_release (c[0]);
  wait_for_resets (f);
  CU_ASSERT_EQUAL (pgsql_pool_open_count (f->pool), 0);
  fixture_free (f);
}

/* Guards against a connection that is handed to its next user before the
   transaction of its previous user has ended. */
static void
connections_are_reused_only_when_reset (void)
{
  struct fixture *f = fixture_create (POOL_LIMIT);
  struct pgsql_connection *c = acquire (f, f->pool);
  run (f, c, "CREATE TABLE t(id TEXT PRIMARY KEY)");
  CU_ASSERT_EQUAL (run (f, c, "BEGIN|INSERT INTO t VALUES('a')").end,
                   PGSQL_DONE);
  pgsql_release (c);
  /* The reset is not answered yet. */
  struct pgsql_connection *other = acquire (f, f->pool);
  CU_ASSERT_PTR_NOT_EQUAL (other, c);
  CU_ASSERT_EQUAL (pgsql_pool_open_count (f->pool), 2);
  CU_ASSERT_STRING_EQUAL (run (f, other, "SELECT count(*) FROM t").value, "0");
  wait_for_resets (f);
  struct pgsql_connection *again = acquire (f, f->pool);
  CU_ASSERT_PTR_EQUAL (again, c);
  /* A COMMIT of the next user does not commit the previous user's INSERT. */
  CU_ASSERT_EQUAL (run (f, again, "COMMIT|SELECT count(*) FROM t").end,
                   PGSQL_DONE);
  CU_ASSERT_STRING_EQUAL (run (f, again, "SELECT count(*) FROM t").value, "0");
  fixture_free (f);
}

/* Guards against a failed transaction that is still open for the connection's
   next user: to end it takes a ROLLBACK and a DISCARD ALL, each with its own
   Sync. */
static void
failed_transaction_is_reset_by_two_syncs (void)
{
  struct fixture *f = fixture_create (1);
  struct pgsql_connection *c = acquire (f, f->pool);
  run (f, c, "CREATE TABLE t(id TEXT PRIMARY KEY)");
  for (int i = 0; i < 20; i++)
    {
      struct call_outcome o
          = run (f, c, "BEGIN|INSERT INTO t VALUES('a')|SELECT * FROM none");
      CU_ASSERT (o.end == PGSQL_FAILED && o.failed == 2);
      pgsql_release (c);
      wait_for_resets (f);
      CU_ASSERT_EQUAL (pgsql_pool_open_count (f->pool), 1);
      struct pgsql_connection *next = acquire (f, f->pool);
      CU_ASSERT_PTR_EQUAL (next, c);
      o = run (f, next, "SELECT count(*) FROM t");
      CU_ASSERT_EQUAL (o.end, PGSQL_DONE);
      CU_ASSERT_STRING_EQUAL (o.value, "0");
    }
  fixture_free (f);
}

/* Guards against a connection that stays in the idle list, or still counts,
   after the server has closed it. */
static void
connection_closed_while_idle_is_dropped (void)
{
  struct fixture *f = fixture_create (POOL_LIMIT);
  struct pgsql_connection *idle = acquire (f, f->pool);
  struct pgsql_connection *in_use = acquire (f, f->pool);
  struct call_outcome o;
  pgsql_release (idle);
  wait_for_resets (f);
  process_signal (f->server, SIGTERM);
  CU_ASSERT_EQUAL (process_wait (f->server, LOOP_TIMEOUT_MS), 0);
  wait_for_resets (f);
  CU_ASSERT_EQUAL (pgsql_pool_open_count (f->pool), 1);
  /* The user's next call reports that nothing was sent. */
  o = run (f, in_use, "SELECT 1");
  CU_ASSERT_EQUAL (o.end, PGSQL_NOT_SENT);
  CU_ASSERT (pool_is_empty (f->pool));
  /* A refused connection is reported at once, not after the connect
     timeout. */
  int64_t started = clock_now ();
  memset (&o, 0, sizeof o);
  pgsql_acquire (f->pool, on_acquired, &o);
  CU_ASSERT (loop_run (f->ev, LOOP_TIMEOUT_MS, is_acquired, &o));
  CU_ASSERT (o.connection == NULL && o.code == ERROR_NOT_FOUND);
  CU_ASSERT (clock_now () - started < REFUSED_LIMIT_US);
  CU_ASSERT (pool_is_empty (f->pool));
  fixture_free (f);
}

static bool
has_reported_available (const void *data)
{
  return availability_reports > *(const int *)data;
}

/* Guards against a request that waits for its timeout although a connection is
   available: the pool reports both the end of a reset and a close. */
static void
room_is_reported (void)
{
  struct fixture *f = fixture_create (1);
  struct pgsql_connection *c = acquire (f, f->pool);
  int before = availability_reports;
  CU_ASSERT_FALSE (pgsql_pool_can_acquire (f->pool));
  pgsql_release (c);
  CU_ASSERT_EQUAL (availability_reports, before);
  CU_ASSERT (
      loop_run (f->ev, LOOP_TIMEOUT_MS, has_reported_available, &before));
  CU_ASSERT (pgsql_pool_can_acquire (f->pool));
  c = acquire (f, f->pool);
  before = availability_reports;
  pgsql_abort (c);
  CU_ASSERT_EQUAL (availability_reports, before + 1);
  CU_ASSERT (pgsql_pool_can_acquire (f->pool));
  fixture_free (f);
}

/* Guards against a connection that is unusable after a statement fails, and
   results of an aborted pipeline that are assigned to other statements. */
static void
statement_errors_leave_a_usable_connection (void)
{
  struct fixture *f = fixture_create (1);
  struct pgsql_connection *c = acquire (f, f->pool);
  struct call_outcome o = run (f, c,
                               "SELECT 'one'|SELECT 'two'|SELECT * FROM none"
                               "|SELECT 'four'|SELECT 'five'");
  CU_ASSERT (o.end == PGSQL_FAILED && o.count == 2 && o.failed == 2);
  CU_ASSERT_STRING_EQUAL (o.value, "two");
  CU_ASSERT_STRING_EQUAL (o.sqlstate, "42P01");
  o = run (f, c, "SELECT 'six'|SELECT 'seven'");
  CU_ASSERT (o.end == PGSQL_DONE && o.count == 2 && o.failed == -1);
  CU_ASSERT_STRING_EQUAL (o.value, "seven");
  o = run (f, c, "SELEC");
  CU_ASSERT (o.end == PGSQL_FAILED && o.count == 0 && o.failed == 0);
  CU_ASSERT_STRING_EQUAL (o.sqlstate, "42601");
  CU_ASSERT_STRING_EQUAL (run (f, c, "SELECT 'eight'").value, "eight");
  fixture_free (f);
}

/* Guards against the answer to an aborted call that reaches the next user of
   the pool. */
static void
late_answers_after_abort_are_dropped (void)
{
  static const struct pgsql_statement late = { "SELECT 'late'", NULL, 0 };
  struct fixture *f = fixture_create (1);
  struct call_outcome abandoned = { 0 };
  set_fault (f, "statement_delay_ms=150");
  struct pgsql_connection *c = acquire (f, f->pool);
  pgsql_run (c, &late, 1, on_done, &abandoned);
  loop_run (f->ev, 30, NULL, NULL);
  pgsql_abort (c);
  CU_ASSERT (pool_is_empty (f->pool));
  set_fault (f, "statement_delay_ms=0");
  struct call_outcome o = run (f, acquire (f, f->pool), "SELECT 'next'");
  CU_ASSERT_EQUAL (o.end, PGSQL_DONE);
  CU_ASSERT_STRING_EQUAL (o.value, "next");
  loop_run (f->ev, 250, NULL, NULL);
  CU_ASSERT_EQUAL (abandoned.done, 0);
  fixture_free (f);
}

/* Guards against a lost answer to COMMIT that is reported as if the COMMIT had
   not run. */
static void
lost_answer_to_commit_is_lost (void)
{
  struct fixture *f = fixture_create (2);
  struct pgsql_connection *c = acquire (f, f->pool);
  run (f, c, "CREATE TABLE t(id TEXT PRIMARY KEY)");
  set_fault (f, "drop_commit_answer=1");
  struct call_outcome o = run (f, c, "BEGIN|INSERT INTO t VALUES('a')|COMMIT");
  CU_ASSERT_EQUAL (o.end, PGSQL_LOST);
  CU_ASSERT (pool_is_empty (f->pool));
  set_fault (f, "drop_commit_answer=0");
  CU_ASSERT_STRING_EQUAL (
      run (f, acquire (f, f->pool), "SELECT count(*) FROM t").value, "1");
  fixture_free (f);
}

/* ---- A server that sends what the test says ----------------------- */

#define SSL_REQUEST_BYTES 8

/* A server for one connection.  It keeps what it receives. */
struct raw_server
{
  struct tevent_context *ev;
  struct tevent_fd *listen_fde, *fde;
  int listen_fd, fd, port;
  char in[4096];
  size_t used;
  bool started; /* The startup message has arrived. */
};

static int
raw_server_destructor (struct raw_server *s)
{
  TALLOC_FREE (s->listen_fde);
  TALLOC_FREE (s->fde);
  close (s->listen_fd);
  if (s->fd > 0)
    close (s->fd);
  return 0;
}

static void
raw_send (struct raw_server *s, const void *bytes, size_t len)
{
  CU_ASSERT_EQUAL (send (s->fd, bytes, len, MSG_NOSIGNAL), (ssize_t)len);
}

static void
on_raw_data (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags,
             void *data)
{
  (void)ev, (void)flags;
  struct raw_server *s = data;
  ssize_t n = recv (s->fd, s->in + s->used, sizeof s->in - s->used, 0);
  if (n <= 0)
    {
      TEVENT_FD_NOT_READABLE (fde);
      return;
    }
  s->used += (size_t)n;
  if (!s->started && s->used == SSL_REQUEST_BYTES)
    {
      s->used = 0;
      raw_send (s, "N", 1);
    }
  else if (!s->started)
    {
      /* AuthenticationOk and ReadyForQuery. */
      s->started = true;
      raw_send (s, "R\0\0\0\10\0\0\0\0Z\0\0\0\5I", 15);
    }
}

static void
on_raw_connection (struct tevent_context *ev, struct tevent_fd *fde,
                   uint16_t flags, void *data)
{
  (void)flags;
  struct raw_server *s = data;
  s->fd = accept (s->listen_fd, NULL, NULL);
  s->fde = tevent_add_fd (ev, s, s->fd, TEVENT_FD_READ, on_raw_data, s);
  TEVENT_FD_NOT_READABLE (fde);
}

static struct raw_server *
raw_server_create (struct tevent_context *ev)
{
  struct raw_server *s = talloc_zero (ev, struct raw_server);
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t len = sizeof address;
  s->ev = ev;
  s->listen_fd = socket (AF_INET, SOCK_STREAM, 0);
  CU_ASSERT_EQUAL_FATAL (
      bind (s->listen_fd, (struct sockaddr *)&address, sizeof address), 0);
  CU_ASSERT_EQUAL_FATAL (listen (s->listen_fd, 1), 0);
  getsockname (s->listen_fd, (struct sockaddr *)&address, &len);
  s->port = ntohs (address.sin_port);
  s->listen_fde = tevent_add_fd (ev, s, s->listen_fd, TEVENT_FD_READ,
                                 on_raw_connection, s);
  talloc_set_destructor (s, raw_server_destructor);
  return s;
}

static bool
raw_server_received (const struct raw_server *s, const char *bytes, size_t len)
{
  return memmem (s->in, s->used, bytes, len) != NULL;
}

/* Guards against a name of a database or a user that sets other options of the
   connection, and texts that the server sends in the encoding of its database,
   which JSON does not have. */
static void
names_are_sent_whole (void)
{
  static const char database[] = "d port=1 'x\\", user[] = "u' host=h";
  struct tevent_context *ev = tevent_context_init (NULL);
  struct raw_server *s = raw_server_create (ev);
  struct call_outcome o = { 0 };
  struct pgsql_pool_options options = { .ev = ev,
                                        .host = "127.0.0.1",
                                        .port = s->port,
                                        .database = database,
                                        .user = user,
                                        .limit = 1,
                                        .connect_timeout_ms = 2000 };
  struct pgsql_pool *pool = pgsql_pool_create (ev, &options);
  pgsql_acquire (pool, on_acquired, &o);
  CU_ASSERT (loop_run (ev, LOOP_TIMEOUT_MS, is_acquired, &o));
  CU_ASSERT_PTR_NOT_NULL (o.connection);
  CU_ASSERT (raw_server_received (s, database, sizeof database));
  CU_ASSERT (raw_server_received (s, user, sizeof user));
  CU_ASSERT (raw_server_received (s, "client_encoding\0UTF8", 21));
  talloc_free (pool);
  talloc_free (ev);
}

/* Append one message of the server; @p bytes follow its length. */
static char *
add_message (char *text, char type, const char *bytes, size_t len)
{
  size_t used = talloc_get_size (text);
  uint32_t size = htonl ((uint32_t)len + 4);
  text = talloc_realloc (NULL, text, char, (unsigned)(used + 5 + len));
  text[used] = type;
  memcpy (text + used + 1, &size, 4);
  memcpy (text + used + 5, bytes, len);
  return text;
}

/* Send the answer to one statement and its Sync.
   @param value the row, of one character; 0: there is none. */
static void
raw_answer (struct raw_server *s, char value, const char *tag)
{
  char row[] = { 0, 1, 0, 0, 0, 1, value };
  char *text = talloc_array (NULL, char, 0);
  text = add_message (text, '1', "", 0);
  text = add_message (text, '2', "", 0);
  if (value != 0)
    {
      /* One column "n" of the type text. */
      text = add_message (
          text, 'T',
          "\0\1n\0\0\0\0\0\0\0\0\0\0\31\377\377\377\377\377\377\0\0", 22);
      text = add_message (text, 'D', row, sizeof row);
    }
  else
    text = add_message (text, 'n', "", 0);
  text = add_message (text, 'C', tag, strlen (tag) + 1);
  text = add_message (text, 'Z', "I", 1);
  raw_send (s, text, talloc_get_size (text));
  talloc_free (text);
}

static bool
has_received (const void *data)
{
  return ((const struct raw_server *)data)->used > 0;
}

static bool
can_acquire (const void *data)
{
  return pgsql_pool_can_acquire (data);
}

/* Order of the answers to "SELECT 'a'" and DISCARD ALL, of which one comes a
   second time, and the call that may take it for its own. */
enum copy_place
{
  COPY_BEFORE_RESET,  /* a a DISCARD */
  COPY_WHILE_IDLE,    /* a DISCARD, later a */
  RESET_COPY_AT_IDLE, /* a DISCARD, later DISCARD */
  RESET_COPY_AT_RUN,  /* a DISCARD, the next call, DISCARD b DISCARD */
  COPY_WHILE_ACQUIRED /* a, without a reset, later a */
};

/* Guards against an answer that comes twice and is taken for the answer to the
   next statement, of this or another caller. */
static void
repeated_answers_are_nobody_elses (void)
{
  static const struct pgsql_statement a = { "SELECT 'a'", NULL, 0 };
  static const struct pgsql_statement b = { "SELECT 'b'", NULL, 0 };
  for (int place = 0; place <= COPY_WHILE_ACQUIRED; place++)
    {
      struct tevent_context *ev = tevent_context_init (NULL);
      struct raw_server *s = raw_server_create (ev);
      struct call_outcome first = { 0 }, second = { 0 }, next = { 0 };
      struct pgsql_pool_options options = { .ev = ev,
                                            .host = "127.0.0.1",
                                            .port = s->port,
                                            .database = "d",
                                            .user = "u",
                                            .limit = 1,
                                            .connect_timeout_ms = 2000 };
      struct pgsql_pool *pool = pgsql_pool_create (ev, &options);
      pgsql_acquire (pool, on_acquired, &first);
      CU_ASSERT (loop_run (ev, LOOP_TIMEOUT_MS, is_acquired, &first));
      s->used = 0;
      if (place == COPY_WHILE_ACQUIRED)
        pgsql_run (first.connection, &a, 1, on_done, &first);
      else
        pgsql_run_with_reset (first.connection, &a, 1, on_done, &first);
      CU_ASSERT (loop_run (ev, LOOP_TIMEOUT_MS, has_received, s));
      raw_answer (s, 'a', "SELECT 1");
      if (place == COPY_BEFORE_RESET)
        raw_answer (s, 'a', "SELECT 1");
      if (place != COPY_WHILE_ACQUIRED)
        raw_answer (s, 0, "DISCARD ALL");
      CU_ASSERT (loop_run (ev, LOOP_TIMEOUT_MS, is_done, &first));
      CU_ASSERT_STRING_EQUAL (first.value, "a");
      if (place != COPY_WHILE_ACQUIRED)
        {
          pgsql_release (first.connection);
          CU_ASSERT (loop_run (ev, LOOP_TIMEOUT_MS, can_acquire, pool));
        }
      if (place == COPY_WHILE_IDLE || place == COPY_WHILE_ACQUIRED)
        raw_answer (s, 'a', "SELECT 1");
      if (place == RESET_COPY_AT_IDLE)
        raw_answer (s, 0, "DISCARD ALL");
      if (place == COPY_WHILE_ACQUIRED)
        {
          loop_run (ev, 50, NULL, NULL);
          pgsql_run (first.connection, &b, 1, on_done, &second);
          CU_ASSERT (loop_run (ev, 200, is_done, &second));
          CU_ASSERT_EQUAL (second.end, PGSQL_NOT_SENT);
        }
      else if (place == RESET_COPY_AT_RUN)
        {
          pgsql_acquire (pool, on_acquired, &next);
          CU_ASSERT_PTR_NOT_NULL_FATAL (next.connection);
          s->used = 0;
          pgsql_run_with_reset (next.connection, &b, 1, on_done, &second);
          CU_ASSERT (loop_run (ev, LOOP_TIMEOUT_MS, has_received, s));
          raw_answer (s, 0, "DISCARD ALL");
          raw_answer (s, 'b', "SELECT 1");
          raw_answer (s, 0, "DISCARD ALL");
          CU_ASSERT (loop_run (ev, LOOP_TIMEOUT_MS, is_done, &second));
          if (second.end != PGSQL_LOST)
            pgsql_abort (next.connection);
          CU_ASSERT_EQUAL (second.end, PGSQL_LOST);
        }
      CU_ASSERT_STRING_NOT_EQUAL (second.value, "a");
      bool closed = loop_run (ev, 500, pool_is_empty, pool);
      if (!closed)
        printf ("the connection is kept after case %d ", place);
      CU_ASSERT (closed);
      talloc_free (pool);
      talloc_free (ev);
    }
}

/* ---- Random jobs ---------------------------------------------------- */

#define JOBS 2000
#define CONNECTIONS 4
#define MAX_JOB_STATEMENTS 6

struct job_set;

/* One user of the pool: runs one or two pipelines, in which every value must
   be its own marker, then releases the connection; or aborts it while the
   first pipeline runs. */
struct job
{
  struct job_set *job_set;
  struct pgsql_connection *connection;
  char marker[32];
  const char *param;
  int statements;
  int failing_index;      /* Index of a statement that fails, or -1. */
  int rounds;             /* Pipelines left to run. */
  bool opens_transaction; /* The first pipeline leaves a transaction open. */
  bool aborts;
  bool ended;
};

struct job_set
{
  struct fixture *f;
  struct job *jobs;
  unsigned seed;
  int started, ended, aborted;
  int most_open;     /* Most connections open at once. */
  int failed_checks; /* Checks that failed. */
};

/* @return a random number from 0 to @p below - 1. */
static int
pick (struct job_set *job_set, int below)
{
  return (rand_r (&job_set->seed) >> 4) % below;
}

static void start_job (struct job_set *job_set);

static void
end_job (struct job *job)
{
  job->job_set->failed_checks += job->ended;
  job->ended = true;
  job->job_set->ended++;
}

static void job_done (void *data, const struct pgsql_reply *reply);

static void
run_job (struct job *job)
{
  struct pgsql_statement statements[MAX_JOB_STATEMENTS + 1];
  int count = 0;
  if (job->opens_transaction)
    statements[count++] = (struct pgsql_statement){ "BEGIN", NULL, 0 };
  for (int i = 0; i < job->statements; i++)
    statements[count++] = (struct pgsql_statement){
      i == job->failing_index ? "SELECT * FROM missing"
                              : "SELECT $1 AS marker",
      &job->param, i == job->failing_index ? 0 : 1
    };
  pgsql_run (job->connection, statements, count, job_done, job);
}

static void
check_reply (struct job *job, const struct pgsql_reply *reply)
{
  struct job_set *job_set = job->job_set;
  int first = job->opens_transaction ? 1 : 0;
  int good = job->failing_index >= 0 ? job->failing_index : job->statements;
  job_set->failed_checks += job->ended;
  job_set->failed_checks
      += reply->end != (job->failing_index >= 0 ? PGSQL_FAILED : PGSQL_DONE);
  job_set->failed_checks += reply->count != first + good;
  for (int i = first; i < reply->count; i++)
    {
      const char *value = pgsql_value (reply->results[i], 0, "marker");
      job_set->failed_checks
          += value == NULL || strcmp (value, job->marker) != 0;
    }
}

static void
job_done (void *data, const struct pgsql_reply *reply)
{
  struct job *job = data;
  check_reply (job, reply);
  if (job->failing_index < 0 && --job->rounds > 0)
    {
      job->opens_transaction = false;
      run_job (job);
      return;
    }
  pgsql_release (job->connection);
  end_job (job);
}

static void
job_acquired (void *data, struct pgsql_connection *c, const struct error *err)
{
  struct job *job = data;
  (void)err;
  if (c == NULL)
    {
      job->job_set->failed_checks++;
      end_job (job);
      return;
    }
  job->connection = c;
  run_job (job);
  if (job->aborts)
    {
      pgsql_abort (c);
      job->job_set->aborted++;
      end_job (job);
    }
}

static void
start_job (struct job_set *job_set)
{
  struct job *job = &job_set->jobs[job_set->started];
  job->job_set = job_set;
  snprintf (job->marker, sizeof job->marker, "job-%d", job_set->started++);
  job->param = job->marker;
  job->statements = 1 + pick (job_set, MAX_JOB_STATEMENTS);
  job->failing_index
      = pick (job_set, 4) == 0 ? pick (job_set, job->statements) : -1;
  job->rounds = 1 + pick (job_set, 2);
  job->opens_transaction = pick (job_set, 3) == 0;
  job->aborts = pick (job_set, 20) == 0;
  pgsql_acquire (job_set->f->pool, job_acquired, job);
}

/* Start jobs as long as the pool has connections for them.
   @return whether all jobs have ended. */
static bool
advance_jobs (const void *data)
{
  struct job_set *job_set = (struct job_set *)(uintptr_t)data;
  int open = pgsql_pool_open_count (job_set->f->pool);
  job_set->most_open = open > job_set->most_open ? open : job_set->most_open;
  while (job_set->started < JOBS && pgsql_pool_can_acquire (job_set->f->pool))
    start_job (job_set);
  return job_set->ended == JOBS;
}

/* Guards against results that reach another user of the same connection: 2,000
   jobs with errors, open transactions and aborts share 4 connections, and each
   job must see nothing but its own marker. */
static void
results_of_two_users_never_mix (void)
{
  struct fixture *f = fixture_create (CONNECTIONS);
  struct job_set job_set = { .f = f, .seed = 7 };
  job_set.jobs = talloc_zero_array (f, struct job, JOBS);
  CU_ASSERT (loop_run (f->ev, 60000, advance_jobs, &job_set));
  CU_ASSERT_EQUAL (job_set.failed_checks, 0);
  CU_ASSERT (job_set.aborted > JOBS / 40);
  CU_ASSERT_EQUAL (job_set.most_open, CONNECTIONS);
  fixture_free (f);
}

static const struct test_case cases[] = {
  { "pool_keeps_to_its_limit", pool_keeps_to_its_limit },
  { "connections_are_reused_only_when_reset",
    connections_are_reused_only_when_reset },
  { "failed_transaction_is_reset_by_two_syncs",
    failed_transaction_is_reset_by_two_syncs },
  { "room_is_reported", room_is_reported },
  { "connection_closed_while_idle_is_dropped",
    connection_closed_while_idle_is_dropped },
  { "statement_errors_leave_a_usable_connection",
    statement_errors_leave_a_usable_connection },
  { "late_answers_after_abort_are_dropped",
    late_answers_after_abort_are_dropped },
  { "lost_answer_to_commit_is_lost", lost_answer_to_commit_is_lost },
  { "names_are_sent_whole", names_are_sent_whole },
  { "repeated_answers_are_nobody_elses", repeated_answers_are_nobody_elses },
  { "results_of_two_users_never_mix", results_of_two_users_never_mix },
  { NULL, NULL },
};
TEST_SUITE (pgsql, cases)
