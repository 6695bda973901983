#include "common/clock.h"
#include "tests/process.h"
#include "tests/tests.h"

#include <inttypes.h>
#include <libpq-fe.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#define WAIT_TIMEOUT_MS 5000

static struct process *
start_primary (void *parent)
{
  static const char *const args[] = { NULL };
  struct process *p = process_start (parent, "standin-postgres", args);
  CU_ASSERT_PTR_NOT_NULL_FATAL (p);
  return p;
}

static struct process *
start_replica (void *parent, const struct process *primary, const char *option)
{
  char *address
      = talloc_asprintf (parent, "127.0.0.1:%d", process_port (primary));
  const char *args[] = { "--primary", address, option, NULL };
  struct process *p = process_start (parent, "standin-postgres", args);
  CU_ASSERT_PTR_NOT_NULL_FATAL (p);
  return p;
}

static PGconn *
connect_as (const struct process *p, const char *user)
{
  char info[128];
  snprintf (info, sizeof info,
            "host=127.0.0.1 port=%d user=%s dbname=d sslmode=disable "
            "gssencmode=disable connect_timeout=5",
            process_port (p), user);
  PGconn *conn = PQconnectdb (info);
  CU_ASSERT_EQUAL_FATAL (PQstatus (conn), CONNECTION_OK);
  return conn;
}

/* Clear a result.
   @return its first value ("none" without rows), its command tag, its SQLSTATE
   or, without one, "lost", in a buffer that the next call overwrites. */
static const char *
take_result_text (PGresult *result)
{
  static char text[256];
  const char *state = PQresultErrorField (result, PG_DIAG_SQLSTATE);
  if (PQresultStatus (result) == PGRES_TUPLES_OK)
    snprintf (text, sizeof text, "%s",
              PQntuples (result) > 0 ? PQgetvalue (result, 0, 0) : "none");
  else if (PQresultStatus (result) == PGRES_COMMAND_OK)
    snprintf (text, sizeof text, "%s", PQcmdStatus (result));
  else
    snprintf (text, sizeof text, "%s", state != NULL ? state : "lost");
  PQclear (result);
  return text;
}

static const char *
run_query (PGconn *conn, const char *sql)
{
  return take_result_text (PQexec (conn, sql));
}

static const char *
run_with_parameter (PGconn *conn, const char *sql, const char *param)
{
  return take_result_text (
      PQexecParams (conn, sql, 1, NULL, &param, NULL, NULL, 0));
}

#define ASSERT_RESULT(call, expected) CU_ASSERT_STRING_EQUAL (call, expected)

static void
set_faults (const struct process *p, const char *faults)
{
  char sql[128];
  PGconn *conn = connect_as (p, "standin_control");
  snprintf (sql, sizeof sql, "/* standin:set %s */ SELECT 1", faults);
  ASSERT_RESULT (run_query (conn, sql), "SELECT 1");
  PQfinish (conn);
}

/* Answer to the poll statement of azurewind. */
struct status
{
  bool in_recovery;
  int64_t term, fence, age_ms;
  uint64_t received, replayed;
};

static uint64_t
parse_lsn (const char *text)
{
  unsigned high = 0, low = 0;
  CU_ASSERT_EQUAL (sscanf (text, "%X/%X", &high, &low), 2);
  return (uint64_t)high << 32 | low;
}

static struct status
query_status (const struct process *p)
{
  static const char *const names[]
      = { "in_recovery", "term", "received", "replayed", "fence", "age_ms" };
  PGconn *conn = connect_as (p, "standin_control");
  PGresult *r = PQexecParams (conn, "/* azurewind:poll */ SELECT 1", 0, NULL,
                              NULL, NULL, NULL, 0);
  CU_ASSERT_EQUAL_FATAL (PQntuples (r), 1);
  for (int i = 0; i < 6; i++)
    CU_ASSERT_STRING_EQUAL (PQfname (r, i), names[i]);
  struct status status
      = { .in_recovery = strcmp (PQgetvalue (r, 0, 0), "t") == 0,
          .term = atoll (PQgetvalue (r, 0, 1)),
          .received = parse_lsn (PQgetvalue (r, 0, 2)),
          .replayed = parse_lsn (PQgetvalue (r, 0, 3)),
          .fence = atoll (PQgetvalue (r, 0, 4)),
          .age_ms = atoll (PQgetvalue (r, 0, 5)) };
  PQclear (r);
  PQfinish (conn);
  return status;
}

/* Wait until the server is in @p term and has replayed up to @p lsn.
   @return false after WAIT_TIMEOUT_MS. */
static bool
wait_until_replayed (const struct process *p, uint64_t lsn, int64_t term)
{
  int64_t deadline = clock_now () + WAIT_TIMEOUT_MS * USEC_PER_MSEC;
  while (clock_now () < deadline)
    {
      struct status s = query_status (p);
      if (s.replayed == lsn && s.term == term)
        return true;
      poll (NULL, 0, 5);
    }
  return false;
}

/* @return whether the result of a sent query arrives within @p ms. */
static bool
wait_for_answer (PGconn *conn, int ms)
{
  int64_t deadline = clock_now () + ms * USEC_PER_MSEC;
  while (PQflush (conn) == 0 && PQconsumeInput (conn) && PQisBusy (conn))
    {
      int64_t left = (deadline - clock_now ()) / USEC_PER_MSEC;
      struct pollfd ready = { .fd = PQsocket (conn), .events = POLLIN };
      if (left <= 0 || poll (&ready, 1, (int)left) == 0)
        return false;
    }
  return true;
}

/* Wait for the results of a sent query.
   @return the text of the first one, or "late" after WAIT_TIMEOUT_MS. */
static const char *
await_sent_query (PGconn *conn)
{
  const char *text = wait_for_answer (conn, WAIT_TIMEOUT_MS)
                         ? take_result_text (PQgetResult (conn))
                         : "late";
  PGresult *rest;
  while (strcmp (text, "late") != 0 && (rest = PQgetResult (conn)) != NULL)
    PQclear (rest);
  return text;
}

/* Guards against wrong results, and messages that libpq does not accept. */
static void
queries_and_errors (void)
{
  void *scratch = talloc_new (NULL);
  struct process *p = start_primary (scratch);
  PGconn *c = connect_as (p, "app");
  ASSERT_RESULT (
      run_query (c, "CREATE TABLE t(id TEXT PRIMARY KEY, n INTEGER NOT NULL)"),
      "CREATE TABLE");
  ASSERT_RESULT (run_query (c, "INSERT INTO t VALUES('a', 1)"), "INSERT 0 1");
  ASSERT_RESULT (run_with_parameter (c, "INSERT INTO t VALUES($1, 2)", "it's"),
                 "INSERT 0 1");
  ASSERT_RESULT (run_with_parameter (c, "SELECT n FROM t WHERE id=$1", "it's"),
                 "2");
  ASSERT_RESULT (
      run_with_parameter (c, "INSERT INTO t VALUES($1, 7) RETURNING n", "r"),
      "7");
  ASSERT_RESULT (run_query (c, "INSERT INTO t VALUES('a', 3)"), "23505");
  ASSERT_RESULT (run_with_parameter (c, "INSERT INTO t VALUES($1, 3)", "a"),
                 "23505");
  ASSERT_RESULT (run_query (c, "INSERT INTO t VALUES('b', NULL)"), "23502");
  ASSERT_RESULT (run_query (c, "SELECT * FROM missing"), "42P01");
  ASSERT_RESULT (run_query (c, "SELEC 1"), "42601");
  ASSERT_RESULT (run_query (c, "SELECT 1; SELECT 2"), "42601");
  ASSERT_RESULT (run_query (c, "SELECT n FROM t WHERE id='none'"), "none");
  ASSERT_RESULT (run_query (c, "UPDATE t SET n=9 WHERE id='a'"), "UPDATE 1");
  ASSERT_RESULT (run_query (c, "DELETE FROM t WHERE id='r'"), "DELETE 1");
  ASSERT_RESULT (run_query (c, "DISCARD ALL"), "DISCARD ALL");
  ASSERT_RESULT (run_query (c, "SELECT count(*) FROM t"), "2");
  ASSERT_RESULT (run_query (c, ""), "lost");
  ASSERT_RESULT (take_result_text (PQprepare (
                     c, "s1", "SELECT n FROM t WHERE id=$1", 1, NULL)),
                 "");
  ASSERT_RESULT (take_result_text (PQprepare (
                     c, "s2", "SELECT id FROM t WHERE n=$1", 1, NULL)),
                 "");
  const char *param = "a";
  ASSERT_RESULT (
      take_result_text (PQexecPrepared (c, "s1", 1, &param, NULL, NULL, 0)),
      "9");
  PGresult *described = PQdescribePrepared (c, "s2");
  CU_ASSERT (PQnparams (described) == 1 && PQnfields (described) == 1);
  PQclear (described);
  PQfinish (c);
  talloc_free (scratch);
}

/* Guards against changes that other sessions see before the commit, and a
   transaction that continues after an error or outlives its session. */
static void
transactions_are_isolated (void)
{
  void *scratch = talloc_new (NULL);
  struct process *p = start_primary (scratch);
  PGconn *a = connect_as (p, "app"), *b = connect_as (p, "app");
  run_query (a, "CREATE TABLE t(id TEXT PRIMARY KEY)");
  ASSERT_RESULT (run_query (a, "BEGIN"), "BEGIN");
  CU_ASSERT_EQUAL (PQtransactionStatus (a), PQTRANS_INTRANS);
  ASSERT_RESULT (run_query (a, "INSERT INTO t VALUES('x')"), "INSERT 0 1");
  ASSERT_RESULT (run_query (a, "SELECT count(*) FROM t"), "1");
  ASSERT_RESULT (run_query (b, "SELECT count(*) FROM t"), "0");
  ASSERT_RESULT (run_query (a, "INSERT INTO t VALUES('x')"), "23505");
  CU_ASSERT_EQUAL (PQtransactionStatus (a), PQTRANS_INERROR);
  ASSERT_RESULT (run_query (a, "SELECT 1"), "25P02");
  ASSERT_RESULT (run_query (a, "COMMIT"), "ROLLBACK");
  CU_ASSERT_EQUAL (PQtransactionStatus (a), PQTRANS_IDLE);
  ASSERT_RESULT (run_query (b, "SELECT count(*) FROM t"), "0");
  run_query (a, "BEGIN");
  run_query (a, "INSERT INTO t VALUES('y')");
  ASSERT_RESULT (run_query (a, "COMMIT"), "COMMIT");
  ASSERT_RESULT (run_query (b, "SELECT count(*) FROM t"), "1");
  run_query (a, "BEGIN READ ONLY");
  ASSERT_RESULT (run_query (a, "INSERT INTO t VALUES('z')"), "25006");
  ASSERT_RESULT (run_query (a, "ROLLBACK"), "ROLLBACK");
  run_query (a, "BEGIN");
  run_query (a, "INSERT INTO t VALUES('w')");
  PQfinish (a);
  ASSERT_RESULT (run_query (b, "INSERT INTO t VALUES('v')"), "INSERT 0 1");
  ASSERT_RESULT (run_query (b, "SELECT count(*) FROM t"), "2");
  PQfinish (b);
  talloc_free (scratch);
}

/* Guards against a pipeline whose results are out of order, or that runs
   statements between an error and the next Sync. */
static void
pipeline_stops_at_an_error (void)
{
  static const char *const sql[]
      = { "BEGIN", "INSERT INTO t VALUES('p')", "INSERT INTO t VALUES('a')",
          "INSERT INTO t VALUES('q')", "COMMIT" };
  static const ExecStatusType expected[]
      = { PGRES_COMMAND_OK, PGRES_COMMAND_OK, PGRES_FATAL_ERROR,
          PGRES_PIPELINE_ABORTED, PGRES_PIPELINE_ABORTED };
  void *scratch = talloc_new (NULL);
  struct process *p = start_primary (scratch);
  PGconn *c = connect_as (p, "app");
  run_query (c, "CREATE TABLE t(id TEXT PRIMARY KEY)");
  run_query (c, "INSERT INTO t VALUES('a')");
  CU_ASSERT (PQenterPipelineMode (c));
  for (int i = 0; i < 5; i++)
    CU_ASSERT (PQsendQueryParams (c, sql[i], 0, NULL, NULL, NULL, NULL, 0));
  CU_ASSERT (PQpipelineSync (c));
  CU_ASSERT (PQsendQueryParams (c, "ROLLBACK", 0, NULL, NULL, NULL, NULL, 0));
  CU_ASSERT (PQpipelineSync (c));
  for (int i = 0; i < 5; i++)
    {
      PGresult *r = PQgetResult (c);
      CU_ASSERT_EQUAL (PQresultStatus (r), expected[i]);
      PQclear (r);
      CU_ASSERT_PTR_NULL (PQgetResult (c));
    }
  ASSERT_RESULT (take_result_text (PQgetResult (c)), "lost"); /* The Sync. */
  ASSERT_RESULT (take_result_text (PQgetResult (c)), "ROLLBACK");
  CU_ASSERT_PTR_NULL (PQgetResult (c));
  ASSERT_RESULT (take_result_text (PQgetResult (c)), "lost"); /* The Sync. */
  CU_ASSERT (PQexitPipelineMode (c));
  ASSERT_RESULT (run_query (c, "SELECT count(*) FROM t"), "1");
  PQfinish (c);
  talloc_free (scratch);
}

/* Guards against a session that waits for the write lock and fails, is
   overtaken by a later one or never gets the lock. */
static void
writers_wait_in_order (void)
{
  void *scratch = talloc_new (NULL);
  struct process *p = start_primary (scratch);
  PGconn *holder = connect_as (p, "app");
  PGconn *waiting[5];
  run_query (holder, "CREATE TABLE t(n INTEGER PRIMARY KEY, id TEXT)");
  for (int round = 0; round < 2; round++)
    {
      run_query (holder, "DELETE FROM t");
      run_query (holder, "BEGIN");
      run_query (holder, "INSERT INTO t(id) VALUES('first')");
      for (int i = 0; i < 5; i++)
        {
          char sql[64];
          snprintf (sql, sizeof sql, "INSERT INTO t(id) VALUES('%d')", i);
          waiting[i] = connect_as (p, "app");
          CU_ASSERT (PQsendQuery (waiting[i], sql));
          CU_ASSERT_FALSE (wait_for_answer (waiting[i], 20));
        }
      ASSERT_RESULT (run_query (holder, round == 0 ? "COMMIT" : "ROLLBACK"),
                     round == 0 ? "COMMIT" : "ROLLBACK");
      for (int i = 0; i < 5; i++)
        {
          ASSERT_RESULT (await_sent_query (waiting[i]), "INSERT 0 1");
          PQfinish (waiting[i]);
        }
      ASSERT_RESULT (run_query (holder, "SELECT group_concat(id) FROM "
                                        "(SELECT id FROM t ORDER BY n)"),
                     round == 0 ? "first,0,1,2,3,4" : "0,1,2,3,4");
    }
  PQfinish (holder);
  talloc_free (scratch);
}

/* Guards against a replica that reports positions beyond the records that it
   has, and reads that see records beyond its replayed position. */
static void
replicas_lag_behind (void)
{
  void *scratch = talloc_new (NULL);
  struct process *p = start_primary (scratch);
  struct process *r = start_replica (scratch, p, NULL);
  PGconn *c = connect_as (p, "app"), *reader = connect_as (r, "app");
  run_query (c, "CREATE TABLE t(id TEXT PRIMARY KEY)");
  struct status primary = query_status (p);
  CU_ASSERT (!primary.in_recovery && primary.term == 1);
  CU_ASSERT_EQUAL (primary.received, primary.replayed);
  CU_ASSERT (wait_until_replayed (r, primary.received, 1));
  CU_ASSERT (query_status (r).in_recovery);
  CU_ASSERT (query_status (r).age_ms < 1000);
  ASSERT_RESULT (run_query (reader, "INSERT INTO t VALUES('x')"), "25006");
  set_faults (r, "apply_lag_ms=300");
  run_with_parameter (c, "INSERT INTO t VALUES($1)", "it's");
  poll (NULL, 0, 100);
  struct status replica = query_status (r);
  CU_ASSERT_EQUAL (replica.received, query_status (p).received);
  CU_ASSERT_EQUAL (replica.replayed, primary.received);
  ASSERT_RESULT (run_query (reader, "SELECT count(*) FROM t"), "0");
  CU_ASSERT (wait_until_replayed (r, replica.received, 1));
  ASSERT_RESULT (run_query (reader, "SELECT id FROM t"), "it's");
  set_faults (r, "apply_lag_ms=0");
  set_faults (p, "ship_delay_ms=300");
  for (int i = 0; i < 5; i++)
    {
      /* A later commit must not cause an earlier one to be sent too soon. */
      char id[16];
      snprintf (id, sizeof id, "%d", i);
      run_with_parameter (c, "INSERT INTO t VALUES($1)", id);
      poll (NULL, 0, 20);
    }
  CU_ASSERT_EQUAL (query_status (r).received, replica.received);
  CU_ASSERT (wait_until_replayed (r, query_status (p).received, 1));
  ASSERT_RESULT (run_query (reader, "SELECT count(*) FROM t"), "6");
  PQfinish (c);
  PQfinish (reader);
  talloc_free (scratch);
}

/* Guards against random values that differ at a replica because it runs the
   primary's statements again. */
static void
replicas_hold_the_same_random_values (void)
{
  static const char sum[] = "SELECT group_concat(id) FROM "
                            "(SELECT id FROM t ORDER BY id)";
  void *scratch = talloc_new (NULL);
  char expected[256];
  struct process *p = start_primary (scratch);
  struct process *r = start_replica (scratch, p, NULL);
  PGconn *c = connect_as (p, "app"), *reader = connect_as (r, "app");
  run_query (c, "CREATE TABLE t(id TEXT PRIMARY KEY)");
  run_query (c, "BEGIN");
  run_query (c, "INSERT INTO t VALUES(hex(randomblob(8))), (random())");
  run_query (c, "INSERT INTO t VALUES(hex(RANDOMBLOB(8)))");
  run_query (c, "COMMIT");
  ASSERT_RESULT (run_query (c, "SELECT count(*) FROM t"), "3");
  snprintf (expected, sizeof expected, "%s", run_query (c, sum));
  CU_ASSERT (wait_until_replayed (r, query_status (p).received, 1));
  ASSERT_RESULT (run_query (reader, sum), expected);
  PQfinish (c);
  PQfinish (reader);
  talloc_free (scratch);
}

static const char *
run_in_new_connection (const struct process *p, const char *format, int value)
{
  char sql[160];
  PGconn *conn = connect_as (p, "app");
  snprintf (sql, sizeof sql, format, value);
  const char *text = run_query (conn, sql);
  PQfinish (conn);
  return text;
}

#define FENCE_SQL                                                             \
  "/* azurewind:fence */ ALTER SYSTEM SET primary_conninfo = "                \
  "'application_name=azurewind_fence_%d'"
#define PROMOTE_SQL "/* azurewind:promote term=%d */ SELECT pg_promote()"
#define FOLLOW_SQL                                                            \
  "/* azurewind:follow */ ALTER SYSTEM SET primary_conninfo = "               \
  "'primary=127.0.0.1:%d'"

/* Guards against a fenced replica that still receives records, a promotion
   that loses received records, and a replaced primary that keeps records which
   the group never confirmed. */
static void
primary_is_replaced (void)
{
  void *scratch = talloc_new (NULL);
  static const char *const args[] = { "--auto-rebuild", NULL };
  struct process *old = process_start (scratch, "standin-postgres", args);
  CU_ASSERT_PTR_NOT_NULL_FATAL (old);
  struct process *a = start_replica (scratch, old, NULL);
  struct process *b = start_replica (scratch, old, NULL);
  PGconn *c = connect_as (old, "standin_control");
  run_query (c, "CREATE TABLE t(id TEXT PRIMARY KEY)");
  run_query (c, "INSERT INTO t VALUES('before')");
  uint64_t branch = query_status (old).received;
  CU_ASSERT (wait_until_replayed (a, branch, 1)
             && wait_until_replayed (b, branch, 1));
  set_faults (a, "apply_lag_ms=60000");
  run_query (c, "INSERT INTO t VALUES('not replayed')");
  poll (NULL, 0, 100);
  ASSERT_RESULT (run_in_new_connection (a, FENCE_SQL, 7), "ALTER SYSTEM");
  ASSERT_RESULT (run_in_new_connection (b, FENCE_SQL, 7), "ALTER SYSTEM");
  run_query (c, "INSERT INTO t VALUES('lost')");
  poll (NULL, 0, 150);
  struct status fenced = query_status (a);
  CU_ASSERT (fenced.fence == 7 && fenced.term == 1 && fenced.in_recovery);
  CU_ASSERT (fenced.received < query_status (old).received);
  CU_ASSERT (fenced.received > branch && fenced.replayed == branch);
  ASSERT_RESULT (run_in_new_connection (a, PROMOTE_SQL, 7), "t");
  ASSERT_RESULT (run_in_new_connection (a, PROMOTE_SQL, 8), "55000");
  struct status promoted = query_status (a);
  CU_ASSERT (!promoted.in_recovery && promoted.term == 7);
  CU_ASSERT_EQUAL (promoted.replayed, fenced.received);
  PGconn *n = connect_as (a, "app");
  ASSERT_RESULT (run_query (n, "SELECT group_concat(id) FROM t"),
                 "before,not replayed");
  ASSERT_RESULT (run_query (n, "INSERT INTO t VALUES('after')"), "INSERT 0 1");
  ASSERT_RESULT (run_in_new_connection (b, FOLLOW_SQL, process_port (a)),
                 "ALTER SYSTEM");
  ASSERT_RESULT (run_in_new_connection (old, FOLLOW_SQL, process_port (a)),
                 "ALTER SYSTEM");
  uint64_t end = query_status (a).received;
  CU_ASSERT (wait_until_replayed (b, end, 7)
             && wait_until_replayed (old, end, 7));
  ASSERT_RESULT (run_in_new_connection (
                     old, "SELECT group_concat(id) FROM t LIMIT %d", 1),
                 "before,not replayed,after");
  /* The replaced primary must not send records to a replica that was already
     in the new term. */
  ASSERT_RESULT (run_in_new_connection (b, FOLLOW_SQL, process_port (old)),
                 "ALTER SYSTEM");
  poll (NULL, 0, 250);
  CU_ASSERT_EQUAL (query_status (b).received, end);
  ASSERT_RESULT (run_query (n, "INSERT INTO t VALUES('last')"), "INSERT 0 1");
  PQfinish (n);
  PQfinish (c);
  talloc_free (scratch);
}

/* Guards against a replaced primary whose diverged log is taken for the new
   primary's, because both logs end at the same position. */
static void
diverged_replica_is_not_fed (void)
{
  void *scratch = talloc_new (NULL);
  struct process *old = start_primary (scratch);
  struct process *a = start_replica (scratch, old, NULL);
  PGconn *c = connect_as (old, "standin_control");
  run_query (c, "CREATE TABLE t(id TEXT PRIMARY KEY)");
  uint64_t branch = query_status (old).received;
  CU_ASSERT (wait_until_replayed (a, branch, 1));
  set_faults (old, "cut=1");
  run_query (c, "INSERT INTO t VALUES('old')");
  ASSERT_RESULT (run_in_new_connection (a, FENCE_SQL, 2), "ALTER SYSTEM");
  ASSERT_RESULT (run_in_new_connection (a, PROMOTE_SQL, 2), "t");
  ASSERT_RESULT (run_in_new_connection (a, "INSERT INTO t VALUES('ne%d')", 1),
                 "INSERT 0 1");
  CU_ASSERT_EQUAL (query_status (a).received, query_status (old).received);
  set_faults (old, "cut=0");
  ASSERT_RESULT (run_in_new_connection (old, FOLLOW_SQL, process_port (a)),
                 "ALTER SYSTEM");
  poll (NULL, 0, 250);
  CU_ASSERT_EQUAL (query_status (old).term, 1);
  ASSERT_RESULT (run_query (c, "SELECT id FROM t"), "old");
  PQfinish (c);
  talloc_free (scratch);
}

/* Guards against a new replica that lacks the records which the primary no
   longer keeps. */
static void
late_replica_gets_a_copy (void)
{
  static const char *const args[] = { "--keep-records", "10", NULL };
  void *scratch = talloc_new (NULL);
  struct process *p = process_start (scratch, "standin-postgres", args);
  CU_ASSERT_PTR_NOT_NULL_FATAL (p);
  PGconn *c = connect_as (p, "app");
  run_query (c, "CREATE TABLE t(id INTEGER PRIMARY KEY)");
  for (int i = 0; i < 100; i++)
    run_query (c, "INSERT INTO t DEFAULT VALUES");
  struct process *r = start_replica (scratch, p, NULL);
  CU_ASSERT (wait_until_replayed (r, query_status (p).received, 1));
  run_query (c, "INSERT INTO t DEFAULT VALUES");
  CU_ASSERT (wait_until_replayed (r, query_status (p).received, 1));
  ASSERT_RESULT (
      run_in_new_connection (r, "SELECT count(*) FROM t LIMIT %d", 1), "101");
  PQfinish (c);
  talloc_free (scratch);
}

/* Connect to the server without sending anything. */
static int
connect_silently (const struct process *p)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET,
          .sin_port = htons ((uint16_t)process_port (p)),
          .sin_addr = { htonl (INADDR_LOOPBACK) } };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  CU_ASSERT_FATAL (fd >= 0);
  CU_ASSERT_EQUAL_FATAL (
      connect (fd, (struct sockaddr *)&address, sizeof address), 0);
  return fd;
}

/* Guards against a new replica that closes a connection whose startup message
   it has not read when the copy of the database arrives. */
static void
copy_spares_a_connection_that_has_not_begun (void)
{
  static const char *const args[] = { "--keep-records", "10", NULL };
  void *scratch = talloc_new (NULL);
  struct process *p = process_start (scratch, "standin-postgres", args);
  CU_ASSERT_PTR_NOT_NULL_FATAL (p);
  PGconn *c = connect_as (p, "app");
  run_query (c, "CREATE TABLE t(id INTEGER PRIMARY KEY)");
  for (int i = 0; i < 100; i++)
    run_query (c, "INSERT INTO t DEFAULT VALUES");
  /* The primary sends the copy only when its partition ends. */
  set_faults (p, "cut=1");
  struct process *r = start_replica (scratch, p, NULL);
  int fd = connect_silently (r);
  PQfinish (connect_as (r, "standin_control"));
  set_faults (p, "cut=0");
  CU_ASSERT (wait_until_replayed (r, query_status (p).received, 1));
  struct pollfd closed = { .fd = fd, .events = POLLIN };
  CU_ASSERT_EQUAL (poll (&closed, 1, 0), 0);
  close (fd);
  PQfinish (c);
  talloc_free (scratch);
}

/* Guards against a server that answers during a partition, loses the queries
   sent meanwhile, or does not resume replication after it. */
static void
partition_holds_answers_back (void)
{
  void *scratch = talloc_new (NULL);
  struct process *p = start_primary (scratch);
  struct process *r = start_replica (scratch, p, NULL);
  PGconn *c = connect_as (p, "app"), *other = connect_as (p, "app");
  run_query (c, "CREATE TABLE t(id TEXT PRIMARY KEY)");
  uint64_t before = query_status (p).received;
  CU_ASSERT (wait_until_replayed (r, before, 1));
  set_faults (p, "cut=1");
  CU_ASSERT (PQsendQuery (c, "INSERT INTO t VALUES('x')"));
  CU_ASSERT (PQsendQuery (other, "/* azurewind:poll */ SELECT 1"));
  CU_ASSERT_FALSE (wait_for_answer (c, 250));
  CU_ASSERT_FALSE (wait_for_answer (other, 10));
  PGconn *inside = connect_as (p, "standin_control");
  ASSERT_RESULT (run_query (inside, "INSERT INTO t VALUES('inside')"),
                 "INSERT 0 1");
  CU_ASSERT (query_status (r).age_ms >= 200);
  CU_ASSERT_EQUAL (query_status (r).received, before);
  set_faults (p, "cut=0");
  ASSERT_RESULT (await_sent_query (c), "INSERT 0 1");
  ASSERT_RESULT (await_sent_query (other), "f");
  CU_ASSERT (wait_until_replayed (r, query_status (p).received, 1));
  PQfinish (inside);
  PQfinish (c);
  PQfinish (other);
  talloc_free (scratch);
}

/* Guards against an injected loss of the answer that also loses the commit,
   and a statement delay that applies twice or not at all. */
static void
answers_are_lost_or_late (void)
{
  void *scratch = talloc_new (NULL);
  struct process *p = start_primary (scratch);
  PGconn *c = connect_as (p, "app"), *d = connect_as (p, "app");
  run_query (c, "CREATE TABLE t(id TEXT PRIMARY KEY)");
  set_faults (p, "drop_commit_answer=1");
  run_query (c, "BEGIN");
  run_query (c, "INSERT INTO t VALUES('x')");
  ASSERT_RESULT (run_query (c, "COMMIT"), "lost");
  ASSERT_RESULT (run_query (d, "INSERT INTO t VALUES('y')"), "lost");
  set_faults (p, "drop_commit_answer=0 statement_delay_ms=100");
  PQreset (d);
  int64_t start = clock_now ();
  ASSERT_RESULT (run_query (d, "SELECT count(*) FROM t"), "2");
  ASSERT_RESULT (run_with_parameter (d, "SELECT id FROM t WHERE id=$1", "x"),
                 "x");
  int64_t took = (clock_now () - start) / USEC_PER_MSEC;
  CU_ASSERT (took >= 198 && took < 1000);
  PQfinish (c);
  PQfinish (d);
  talloc_free (scratch);
}

/* Guards against use of a session's memory after its client has disconnected
   in the middle of a pipeline. */
static void
clients_leave_at_any_time (void)
{
  void *scratch = talloc_new (NULL);
  struct process *p = start_primary (scratch);
  PGconn *holder = connect_as (p, "app");
  run_query (holder, "CREATE TABLE t(n INTEGER PRIMARY KEY, id TEXT)");
  for (int round = 0; round < 50; round++)
    {
      PGconn *c = connect_as (p, "app");
      if (round % 2 == 0)
        run_query (holder, "BEGIN");
      PQsetnonblocking (c, 1);
      PQenterPipelineMode (c);
      for (int i = 0; i < 200; i++)
        PQsendQueryParams (c,
                           i % 3 == 0 ? "INSERT INTO t(id) VALUES('x')"
                                      : "SELECT count(*) FROM t",
                           0, NULL, NULL, NULL, NULL, 0);
      PQpipelineSync (c);
      PQflush (c);
      PQfinish (c);
      if (round % 2 == 0)
        ASSERT_RESULT (run_query (holder, "COMMIT"), "COMMIT");
    }
  ASSERT_RESULT (run_query (holder, "INSERT INTO t(id) VALUES('end')"),
                 "INSERT 0 1");
  PQfinish (holder);
  CU_ASSERT_EQUAL (process_wait (p, 0), -1);
  talloc_free (scratch);
}

static const struct test_case cases[] = {
  { "queries_and_errors", queries_and_errors },
  { "transactions_are_isolated", transactions_are_isolated },
  { "pipeline_stops_at_an_error", pipeline_stops_at_an_error },
  { "writers_wait_in_order", writers_wait_in_order },
  { "replicas_lag_behind", replicas_lag_behind },
  { "replicas_hold_the_same_random_values",
    replicas_hold_the_same_random_values },
  { "primary_is_replaced", primary_is_replaced },
  { "diverged_replica_is_not_fed", diverged_replica_is_not_fed },
  { "late_replica_gets_a_copy", late_replica_gets_a_copy },
  { "copy_spares_a_connection_that_has_not_begun",
    copy_spares_a_connection_that_has_not_begun },
  { "partition_holds_answers_back", partition_holds_answers_back },
  { "answers_are_lost_or_late", answers_are_lost_or_late },
  { "clients_leave_at_any_time", clients_leave_at_any_time },
  { NULL, NULL },
};
TEST_SUITE (postgres, cases)
