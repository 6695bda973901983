#include "common/clock.h"
#include "net/pgsql.h"
#include "tests/loop.h"
#include "tests/process.h"
#include "tests/tests.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

/* Far below the connect timer of 2 s. */
#define REFUSED_LIMIT_US (500 * USEC_PER_MSEC)
#define LIMIT 3

/* A server and a pool of connections to it. */
struct fixture
{
  struct tevent_context *ev;
  struct process *server;
  struct pgsql_pool *pool;
};

/* What one call came back with. */
struct ending
{
  struct pgsql_connection *connection;
  enum error_code code;
  int acquired; /* Callbacks. */
  int done;
  enum pgsql_end end;
  int count, failed;
  char sqlstate[6];
  char value[64]; /* First value of the last result. */
};

static int room_reports;

static void
on_room (void *data)
{
  (void)data;
  room_reports++;
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
                                        .room = on_room };
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
  struct ending *o = data;
  o->acquired++;
  o->connection = c;
  o->code = err != NULL ? err->code : ERROR_NONE;
}

static void
on_done (void *data, const struct pgsql_reply *reply)
{
  struct ending *o = data;
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
  return ((const struct ending *)data)->acquired > 0;
}

static bool
is_done (const void *data)
{
  return ((const struct ending *)data)->done > 0;
}

static struct pgsql_connection *
acquire (struct fixture *f, struct pgsql_pool *pool)
{
  struct ending o = { 0 };
  pgsql_acquire (pool, on_acquired, &o);
  CU_ASSERT (loop_run (f->ev, LOOP_MS, is_acquired, &o));
  CU_ASSERT_PTR_NOT_NULL_FATAL (o.connection);
  return o.connection;
}

/* Run statements, separated by '|', in one pipeline. */
static struct ending
run (struct fixture *f, struct pgsql_connection *c, const char *sql)
{
  struct ending o = { 0 };
  struct pgsql_statement statements[PGSQL_MAX_STATEMENTS] = { 0 };
  int count = 0;
  char *copy = talloc_strdup (f, sql), *rest = copy, *one;
  while ((one = strsep (&rest, "|")) != NULL)
    statements[count++].sql = one;
  pgsql_run (c, statements, count, on_done, &o);
  CU_ASSERT (loop_run (f->ev, LOOP_MS, is_done, &o));
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
is_empty (const void *data)
{
  return pgsql_pool_open (data) == 0;
}

/* Run the loop until the pool's resets are answered. */
static void
settle (struct fixture *f)
{
  loop_run (f->ev, 50, NULL, NULL);
}

/* Guards against more connections than the endpoint gives to this daemon,
   and against a slot that is lost. */
static void
pool_keeps_to_its_limit (void)
{
  struct fixture *f = fixture_create (LIMIT);
  struct pgsql_connection *c[LIMIT];
  struct ending o = { 0 };
  for (int i = 0; i < LIMIT; i++)
    {
      CU_ASSERT (pgsql_pool_has_room (f->pool));
      c[i] = acquire (f, f->pool);
    }
  CU_ASSERT_FALSE (pgsql_pool_has_room (f->pool));
  pgsql_acquire (f->pool, on_acquired, &o);
  CU_ASSERT (o.acquired == 1 && o.connection == NULL
             && o.code == ERROR_REFUSED);
  CU_ASSERT_EQUAL (pgsql_pool_open (f->pool), LIMIT);
  for (int i = 0; i < LIMIT; i++)
    pgsql_release (c[i]);
  settle (f);
  CU_ASSERT_EQUAL (pgsql_pool_open (f->pool), LIMIT);
  pgsql_pool_set_limit (f->pool, 1);
  CU_ASSERT_EQUAL (pgsql_pool_open (f->pool), 1);
  c[0] = acquire (f, f->pool);
  pgsql_pool_set_limit (f->pool, 0);
  CU_ASSERT_EQUAL (pgsql_pool_open (f->pool), 1);
  CU_ASSERT_EQUAL (run (f, c[0], "SELECT 1").end, PGSQL_DONE);
  pgsql_release (c[0]);
  settle (f);
  CU_ASSERT_EQUAL (pgsql_pool_open (f->pool), 0);
  fixture_free (f);
}

/* Guards against an owner that gets the connection of another one before its
   transaction has ended. */
static void
connections_are_reused_only_when_reset (void)
{
  struct fixture *f = fixture_create (LIMIT);
  struct pgsql_connection *c = acquire (f, f->pool);
  run (f, c, "CREATE TABLE t(id TEXT PRIMARY KEY)");
  CU_ASSERT_EQUAL (run (f, c, "BEGIN|INSERT INTO t VALUES('a')").end,
                   PGSQL_DONE);
  pgsql_release (c);
  /* The reset is not answered yet. */
  struct pgsql_connection *other = acquire (f, f->pool);
  CU_ASSERT_PTR_NOT_EQUAL (other, c);
  CU_ASSERT_EQUAL (pgsql_pool_open (f->pool), 2);
  CU_ASSERT_STRING_EQUAL (run (f, other, "SELECT count(*) FROM t").value, "0");
  settle (f);
  struct pgsql_connection *again = acquire (f, f->pool);
  CU_ASSERT_PTR_EQUAL (again, c);
  /* A COMMIT of the next owner does not commit the INSERT of the last. */
  CU_ASSERT_EQUAL (run (f, again, "COMMIT|SELECT count(*) FROM t").end,
                   PGSQL_DONE);
  CU_ASSERT_STRING_EQUAL (run (f, again, "SELECT count(*) FROM t").value, "0");
  fixture_free (f);
}

/* Guards against a failed transaction that the next owner inherits: its end
   needs a ROLLBACK and a DISCARD ALL with a Sync each. */
static void
failed_transaction_is_reset_by_two_syncs (void)
{
  struct fixture *f = fixture_create (1);
  struct pgsql_connection *c = acquire (f, f->pool);
  run (f, c, "CREATE TABLE t(id TEXT PRIMARY KEY)");
  for (int i = 0; i < 20; i++)
    {
      struct ending o
          = run (f, c, "BEGIN|INSERT INTO t VALUES('a')|SELECT * FROM none");
      CU_ASSERT (o.end == PGSQL_FAILED && o.failed == 2);
      pgsql_release (c);
      settle (f);
      CU_ASSERT_EQUAL (pgsql_pool_open (f->pool), 1);
      struct pgsql_connection *next = acquire (f, f->pool);
      CU_ASSERT_PTR_EQUAL (next, c);
      o = run (f, next, "SELECT count(*) FROM t");
      CU_ASSERT_EQUAL (o.end, PGSQL_DONE);
      CU_ASSERT_STRING_EQUAL (o.value, "0");
    }
  fixture_free (f);
}

/* Guards against a connection that is kept as idle although the server has
   closed it, and a slot that stays taken. */
static void
connection_closed_while_idle_is_dropped (void)
{
  struct fixture *f = fixture_create (LIMIT);
  struct pgsql_connection *idle = acquire (f, f->pool);
  struct pgsql_connection *owned = acquire (f, f->pool);
  struct ending o;
  pgsql_release (idle);
  settle (f);
  process_signal (f->server, SIGTERM);
  CU_ASSERT_EQUAL (process_wait (f->server, LOOP_MS), 0);
  settle (f);
  CU_ASSERT_EQUAL (pgsql_pool_open (f->pool), 1);
  /* The owner learns from its next call that nothing was sent. */
  o = run (f, owned, "SELECT 1");
  CU_ASSERT_EQUAL (o.end, PGSQL_NOT_SENT);
  CU_ASSERT (is_empty (f->pool));
  /* A refused connection is known at once, not when the connect timer
     ends. */
  int64_t started = clock_now ();
  memset (&o, 0, sizeof o);
  pgsql_acquire (f->pool, on_acquired, &o);
  CU_ASSERT (loop_run (f->ev, LOOP_MS, is_acquired, &o));
  CU_ASSERT (o.connection == NULL && o.code == ERROR_NOT_FOUND);
  CU_ASSERT (clock_now () - started < REFUSED_LIMIT_US);
  CU_ASSERT (is_empty (f->pool));
  fixture_free (f);
}

static bool
has_reported (const void *data)
{
  return room_reports > *(const int *)data;
}

/* Guards against a request that waits for a timer although the connection
   it needs is free: the end of the reset and a close are both reported. */
static void
room_is_reported (void)
{
  struct fixture *f = fixture_create (1);
  struct pgsql_connection *c = acquire (f, f->pool);
  int before = room_reports;
  CU_ASSERT_FALSE (pgsql_pool_has_room (f->pool));
  pgsql_release (c);
  CU_ASSERT_EQUAL (room_reports, before);
  CU_ASSERT (loop_run (f->ev, LOOP_MS, has_reported, &before));
  CU_ASSERT (pgsql_pool_has_room (f->pool));
  c = acquire (f, f->pool);
  before = room_reports;
  pgsql_abort (c);
  CU_ASSERT_EQUAL (room_reports, before + 1);
  CU_ASSERT (pgsql_pool_has_room (f->pool));
  fixture_free (f);
}

/* Guards against a connection that is unusable after a caller's mistake, and
   results of an aborted pipeline that are taken for others. */
static void
statement_errors_leave_a_usable_connection (void)
{
  struct fixture *f = fixture_create (1);
  struct pgsql_connection *c = acquire (f, f->pool);
  struct ending o = run (f, c,
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

/* Guards against the answer to an abandoned call that reaches the next owner
   of the slot. */
static void
late_answers_after_abort_are_dropped (void)
{
  static const struct pgsql_statement late = { "SELECT 'late'", NULL, 0 };
  struct fixture *f = fixture_create (1);
  struct ending abandoned = { 0 };
  set_fault (f, "statement_delay_ms=150");
  struct pgsql_connection *c = acquire (f, f->pool);
  pgsql_run (c, &late, 1, on_done, &abandoned);
  loop_run (f->ev, 30, NULL, NULL);
  pgsql_abort (c);
  CU_ASSERT (is_empty (f->pool));
  set_fault (f, "statement_delay_ms=0");
  struct ending o = run (f, acquire (f, f->pool), "SELECT 'next'");
  CU_ASSERT_EQUAL (o.end, PGSQL_DONE);
  CU_ASSERT_STRING_EQUAL (o.value, "next");
  loop_run (f->ev, 250, NULL, NULL);
  CU_ASSERT_EQUAL (abandoned.done, 0);
  fixture_free (f);
}

/* Guards against a lost answer to COMMIT that is reported as a failure which
   did not run. */
static void
lost_answer_to_commit_is_lost (void)
{
  struct fixture *f = fixture_create (2);
  struct pgsql_connection *c = acquire (f, f->pool);
  run (f, c, "CREATE TABLE t(id TEXT PRIMARY KEY)");
  set_fault (f, "drop_commit_answer=1");
  struct ending o = run (f, c, "BEGIN|INSERT INTO t VALUES('a')|COMMIT");
  CU_ASSERT_EQUAL (o.end, PGSQL_LOST);
  CU_ASSERT (is_empty (f->pool));
  set_fault (f, "drop_commit_answer=0");
  CU_ASSERT_STRING_EQUAL (
      run (f, acquire (f, f->pool), "SELECT count(*) FROM t").value, "1");
  fixture_free (f);
}

/* ---- random jobs ----------------------------------------------------------
 */

#define JOBS 2000
#define CONNECTIONS 4
#define MOST_STATEMENTS 6

struct crowd;

/* One user of the pool: it runs one or two pipelines, whose every value must
   hold its own marker, and releases or aborts the connection. */
struct job
{
  struct crowd *crowd;
  struct pgsql_connection *connection;
  char marker[32];
  const char *param;
  int statements;
  int bad; /* Index of a statement that fails, or -1. */
  int rounds;
  bool opens; /* Leaves a transaction open. */
  bool aborts;
  bool ended;
};

struct crowd
{
  struct fixture *f;
  struct job *jobs;
  unsigned seed;
  int started, ended, aborted;
  int most_open;
  int wrong;
};

static int
pick (struct crowd *crowd, int below)
{
  return (rand_r (&crowd->seed) >> 4) % below;
}

static void start_job (struct crowd *crowd);

static void
end_job (struct job *job)
{
  job->crowd->wrong += job->ended;
  job->ended = true;
  job->crowd->ended++;
}

static void job_done (void *data, const struct pgsql_reply *reply);

static void
run_job (struct job *job)
{
  struct pgsql_statement statements[MOST_STATEMENTS + 1];
  int count = 0;
  if (job->opens)
    statements[count++] = (struct pgsql_statement){ "BEGIN", NULL, 0 };
  for (int i = 0; i < job->statements; i++)
    statements[count++]
        = (struct pgsql_statement){ i == job->bad ? "SELECT * FROM missing"
                                                  : "SELECT $1 AS marker",
                                    &job->param, i == job->bad ? 0 : 1 };
  pgsql_run (job->connection, statements, count, job_done, job);
}

static void
check_reply (struct job *job, const struct pgsql_reply *reply)
{
  struct crowd *crowd = job->crowd;
  int first = job->opens ? 1 : 0;
  int good = job->bad >= 0 ? job->bad : job->statements;
  crowd->wrong += job->ended;
  crowd->wrong += reply->end != (job->bad >= 0 ? PGSQL_FAILED : PGSQL_DONE);
  crowd->wrong += reply->count != first + good;
  for (int i = first; i < reply->count; i++)
    {
      const char *value = pgsql_value (reply->results[i], 0, "marker");
      crowd->wrong += value == NULL || strcmp (value, job->marker) != 0;
    }
}

static void
job_done (void *data, const struct pgsql_reply *reply)
{
  struct job *job = data;
  check_reply (job, reply);
  if (job->bad < 0 && --job->rounds > 0)
    {
      job->opens = false;
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
      job->crowd->wrong++;
      end_job (job);
      return;
    }
  job->connection = c;
  run_job (job);
  if (job->aborts)
    {
      pgsql_abort (c);
      job->crowd->aborted++;
      end_job (job);
    }
}

static void
start_job (struct crowd *crowd)
{
  struct job *job = &crowd->jobs[crowd->started];
  job->crowd = crowd;
  snprintf (job->marker, sizeof job->marker, "job-%d", crowd->started++);
  job->param = job->marker;
  job->statements = 1 + pick (crowd, MOST_STATEMENTS);
  job->bad = pick (crowd, 4) == 0 ? pick (crowd, job->statements) : -1;
  job->rounds = 1 + pick (crowd, 2);
  job->opens = pick (crowd, 3) == 0;
  job->aborts = pick (crowd, 20) == 0;
  pgsql_acquire (crowd->f->pool, job_acquired, job);
}

static bool
crowd_is_done (const void *data)
{
  struct crowd *crowd = (struct crowd *)(uintptr_t)data;
  int open = pgsql_pool_open (crowd->f->pool);
  crowd->most_open = open > crowd->most_open ? open : crowd->most_open;
  while (crowd->started < JOBS && pgsql_pool_has_room (crowd->f->pool))
    start_job (crowd);
  return crowd->ended == JOBS;
}

/* Guards against results of two users of one connection that mix: 2,000 jobs
   with errors, open transactions and aborts over 4 connections, each of which
   must see nothing but its own marker. */
static void
results_of_two_users_never_mix (void)
{
  struct fixture *f = fixture_create (CONNECTIONS);
  struct crowd crowd = { .f = f, .seed = 7 };
  crowd.jobs = talloc_zero_array (f, struct job, JOBS);
  CU_ASSERT (loop_run (f->ev, 60000, crowd_is_done, &crowd));
  CU_ASSERT_EQUAL (crowd.wrong, 0);
  CU_ASSERT (crowd.aborted > JOBS / 40);
  CU_ASSERT_EQUAL (crowd.most_open, CONNECTIONS);
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
  { "results_of_two_users_never_mix", results_of_two_users_never_mix },
  { NULL, NULL },
};
TEST_SUITE (pgsql, cases)
