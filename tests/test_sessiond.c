/** Tests of session daemons that run as processes with the stand-in of the
 * platform. */
#include "tests/loop.h"
#include "tests/scripted_member.h"
#include "tests/site_fleet.h"
#include "tests/soak/proxy.h"
#include "tests/tests.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

/* Time within which a write must succeed through a daemon. */
#define SERVE_MS 8000

static struct line_caller *
start_session (struct sessiond_site *s, int daemon, const char *database,
               const char *key)
{
  struct line_answer a;
  struct line_caller *c = line_open (s, sessiond_site_port (s, daemon));
  if (c == NULL || !line_start (c, database, key, &a))
    {
      CU_FAIL ("no session");
      talloc_free (c);
      return NULL;
    }
  return c;
}

/* Repeat a statement until it succeeds.
   @return its answer; its id is empty if none succeeded in time. */
static struct line_answer
retry_statement (struct sessiond_site *s, int daemon, const char *text,
                 int timeout_ms)
{
  int64_t end = sessiond_site_now_ms () + timeout_ms;
  struct line_answer a = { .id = "" };
  while (sessiond_site_now_ms () < end)
    {
      struct line_caller *c = line_open (s, sessiond_site_port (s, daemon));
      bool ok = c != NULL && line_start (c, "main1", "key-a1", &a)
                && line_query (c, &a, "%s", text);
      talloc_free (c);
      if (ok)
        return a;
      usleep (20000);
    }
  a.id[0] = '\0';
  return a;
}

static struct line_answer
retry_write (struct sessiond_site *s, int daemon, int timeout_ms)
{
  return retry_statement (s, daemon, "WRITE again x", timeout_ms);
}

static void
assert_no_violation (struct sessiond_site *s)
{
  json_t *observed = sessiond_site_observed (s);
  json_t *violations = json_object_get (observed, "violations");
  if (json_array_size (violations) > 0)
    {
      char *text = json_dumps (violations, 0);
      printf ("violations: %s\n", text);
      free (text);
    }
  CU_ASSERT_EQUAL (json_array_size (violations), 0);
  json_decref (observed);
}

/* Guards against a session that does not read its own writes, in or outside
   of a transaction, as its reads go to a lagging replica, and against a
   statement whose text or id reaches the endpoint changed. */
static void
session_reads_its_writes (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){
                .daemons = 3, .services = 2, .lag_ms = 40 });
  struct line_answer w, r;
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  for (int daemon = 0; daemon < 3; daemon++)
    {
      struct line_caller *c = start_session (s, daemon, "own2", "key-a2");
      for (int i = 0; i < 10; i++)
        {
          CU_ASSERT_TRUE (line_query (c, &w, "WRITE item%d x", i));
          CU_ASSERT_TRUE (sessiond_site_signed (s, &w));
          CU_ASSERT_TRUE (line_query (c, &r, "READ item%d", i));
          CU_ASSERT_STRING_EQUAL (r.row, w.id);
        }
      CU_ASSERT_TRUE (line_query (c, &r, "BEGIN"));
      CU_ASSERT_EQUAL (r.state, 'T');
      CU_ASSERT_TRUE (line_query (c, &w, "WRITE item1 y"));
      CU_ASSERT_TRUE (line_query (c, &r, "COMMIT"));
      CU_ASSERT_EQUAL (r.state, 'I');
      CU_ASSERT_TRUE (line_query (c, &r, "READ item1"));
      CU_ASSERT_STRING_EQUAL (r.row, w.id);
      CU_ASSERT_EQUAL (sessiond_site_committed (s, w.id), 1);
      talloc_free (c);
    }
  assert_no_violation (s);
  talloc_free (s);
}

/* Guards against learned limits that stop statements, leave the range from 1
   to the slots and one more, or are not shown: the stand-in has 3 slots. */
static void
learned_limits_serve (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = 2,
                                             .services = 1,
                                             .settings
                                             = "learned_capacity = true\n" });
  struct line_answer w, r;
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  struct line_caller *c = start_session (s, 0, "own1", "key-a1");
  for (int i = 0; i < 200; i++)
    {
      CU_ASSERT_TRUE (line_query (c, &w, "WRITE item%d x", i % 10));
      CU_ASSERT_TRUE (line_query (c, &r, "READ item%d", i % 10));
      CU_ASSERT_STRING_EQUAL (r.row, w.id);
    }
  int limits = 0;
  for (int i = 0; i < 2; i++)
    for (const char *at = sessiond_site_metrics (s, i);
         (at = strstr (at, "azurewind_endpoint_limit{")) != NULL; at++)
      {
        int limit = atoi (strchr (at, '}') + 1);
        CU_ASSERT_TRUE (limit >= 1 && limit <= 4);
        limits++;
      }
  CU_ASSERT_TRUE (limits >= 3);
  assert_no_violation (s);
  talloc_free (s);
}

/* Guards against session values and prepared statements of one caller that
   another one sees: callers use the same names in turn, on connections that
   they share. */
static void
values_and_names_do_not_mix (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = 2, .services = 1 });
  struct line_caller *c[3];
  struct line_answer a;
  char ids[3][24];
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  for (int i = 0; i < 3; i++)
    {
      c[i] = start_session (s, i % 2, "main1", "key-a1");
      CU_ASSERT_TRUE (line_query (c[i], &a, "SET mode m%d", i));
      if (i == 1)
        CU_ASSERT_TRUE (line_query (c[i], &a, "SET extra e"));
      CU_ASSERT_TRUE (line_query (c[i], &a, "PREPARE s1 %s shape%d",
                                  i == 0 ? "WRITE" : "READ", i));
    }
  for (int round = 0; round < 5; round++)
    {
      for (int i = 0; i < 3; i++)
        {
          CU_ASSERT_TRUE (line_query (c[i], &a, "EXECUTE s1 item%d%s", i,
                                      i == 0 ? " data" : ""));
          snprintf (ids[i], sizeof ids[i], "%s", a.id);
        }
      json_t *observed = sessiond_site_observed (s);
      for (int i = 0; i < 3; i++)
        {
          char mode[8], shape[16];
          const json_t *run = sessiond_site_run (observed, ids[i]);
          const json_t *values = json_object_get (run, "values");
          snprintf (mode, sizeof mode, "m%d", i);
          snprintf (shape, sizeof shape, "shape%d", i);
          CU_ASSERT_PTR_NOT_NULL_FATAL (run);
          CU_ASSERT_STRING_EQUAL (
              json_string_value (json_object_get (values, "mode")), mode);
          CU_ASSERT_EQUAL (json_object_size (values), i == 1 ? 2 : 1);
          CU_ASSERT_STRING_EQUAL (
              json_string_value (json_object_get (run, "what")), shape);
        }
      json_decref (observed);
    }
  CU_ASSERT_FALSE (line_query (c[0], &a, "EXECUTE s2 item"));
  CU_ASSERT_STRING_EQUAL (a.code, "NOSTMT");
  talloc_free (s);
}

/* Guards against writes that remain after their transaction was rolled back
   or has failed, or its caller has disconnected. */
static void
unfinished_transactions_keep_nothing (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = 2, .services = 1 });
  struct line_answer a, first, second;
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  struct line_caller *c = start_session (s, 0, "main1", "key-a1");
  CU_ASSERT_TRUE (line_query (c, &a, "BEGIN"));
  CU_ASSERT_TRUE (line_query (c, &first, "WRITE one x"));
  CU_ASSERT_TRUE (line_query (c, &a, "ROLLBACK"));
  CU_ASSERT_EQUAL (a.state, 'I');
  CU_ASSERT_TRUE (line_query (c, &a, "BEGIN"));
  CU_ASSERT_TRUE (line_query (c, &second, "WRITE two x"));
  talloc_free (c);
  c = start_session (s, 1, "main1", "key-a1");
  CU_ASSERT_TRUE (line_query (c, &a, "BEGIN READ"));
  CU_ASSERT_FALSE (line_query (c, &a, "WRITE three x"));
  CU_ASSERT_STRING_EQUAL (a.code, "READONLY");
  CU_ASSERT_EQUAL (a.state, 'E');
  CU_ASSERT_FALSE (line_query (c, &a, "READ three"));
  CU_ASSERT_STRING_EQUAL (a.code, "MALFORMED");
  CU_ASSERT_TRUE (line_query (c, &a, "ROLLBACK"));
  CU_ASSERT_EQUAL (a.state, 'I');
  CU_ASSERT_TRUE (line_query (c, &a, "WRITE four x"));
  CU_ASSERT_EQUAL (sessiond_site_committed (s, a.id), 1);
  CU_ASSERT_EQUAL (sessiond_site_committed (s, first.id), 0);
  CU_ASSERT_EQUAL (sessiond_site_committed (s, second.id), 0);
  talloc_free (s);
}

/* Guards against a false outcome of a statement that the endpoint runs and
   whose answer is lost. */
static void
lost_answers_are_told_truly (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = 2, .services = 1 });
  struct line_answer a;
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  struct line_caller *c = start_session (s, 1, "main1", "key-a1");
  CU_ASSERT_TRUE (sessiond_site_fault (s, "db-1-a", "lose"));
  CU_ASSERT_FALSE (line_query (c, &a, "WRITE one x"));
  CU_ASSERT_STRING_EQUAL (a.code, "INDOUBT");
  CU_ASSERT_EQUAL (sessiond_site_committed (s, a.id), 1);
  CU_ASSERT_TRUE (sessiond_site_fault (s, "db-1-a", "lose"));
  CU_ASSERT_TRUE (line_query (c, &a, "READ one"));
  CU_ASSERT_TRUE (line_query (c, &a, "BEGIN"));
  CU_ASSERT_TRUE (sessiond_site_fault (s, "db-1-a", "lose"));
  CU_ASSERT_FALSE (line_query (c, &a, "WRITE two x"));
  CU_ASSERT_STRING_EQUAL (a.code, "ABORTED");
  CU_ASSERT_EQUAL (sessiond_site_committed (s, a.id), 0);
  assert_no_violation (s);
  talloc_free (s);
}

/* Guards against a success that no database has signed: a read, a write or a
   commit whose result came without a signature. */
static void
result_without_signature_is_no_success (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = 2, .services = 1 });
  struct line_answer a;
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  struct line_caller *c = start_session (s, 1, "main1", "key-a1");
  CU_ASSERT_TRUE (sessiond_site_fault (s, "db-1-a", "unsigned"));
  CU_ASSERT_FALSE (line_query (c, &a, "READ one"));
  CU_ASSERT_STRING_EQUAL (a.code, "FAILED");
  CU_ASSERT_TRUE (sessiond_site_fault (s, "db-1-a", "unsigned"));
  CU_ASSERT_FALSE (line_query (c, &a, "WRITE one x"));
  CU_ASSERT_STRING_EQUAL (a.code, "INDOUBT");
  CU_ASSERT_EQUAL (a.state, 'I');
  CU_ASSERT_TRUE (line_query (c, &a, "BEGIN"));
  CU_ASSERT_TRUE (line_query (c, &a, "WRITE two x"));
  CU_ASSERT_TRUE (sessiond_site_fault (s, "db-1-a", "unsigned"));
  CU_ASSERT_FALSE (line_query (c, &a, "COMMIT"));
  CU_ASSERT_STRING_EQUAL (a.code, "INDOUBT");
  CU_ASSERT_EQUAL (a.state, 'I');
  CU_ASSERT_TRUE (line_query (c, &a, "BEGIN"));
  CU_ASSERT_TRUE (sessiond_site_fault (s, "db-1-a", "unsigned"));
  CU_ASSERT_FALSE (line_query (c, &a, "WRITE three x"));
  CU_ASSERT_STRING_EQUAL (a.code, "ABORTED");
  CU_ASSERT_EQUAL (a.state, 'E');
  CU_ASSERT_TRUE (line_query (c, &a, "ROLLBACK"));
  CU_ASSERT_EQUAL (sessiond_site_committed (s, a.id), 0);
  CU_ASSERT_TRUE (line_query (c, &a, "READ three"));
  CU_ASSERT_STRING_EQUAL (a.row, "none");
  assert_no_violation (s);
  talloc_free (s);
}

/* Guards against lost writes and stale reads when the primary crashes and
   returns as a replica. */
static void
crashed_primary_is_replaced (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = 3, .services = 1 });
  struct line_answer before, after, a;
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  before = retry_write (s, 0, SERVE_MS);
  usleep (100000);
  CU_ASSERT_TRUE (sessiond_site_fault (s, "db-1-a", "kill"));
  int64_t since = sessiond_site_now_ms ();
  after = retry_write (s, 1, SERVE_MS);
  CU_ASSERT_STRING_NOT_EQUAL (after.id, "");
  printf ("[%d ms] ", (int)(sessiond_site_now_ms () - since));
  CU_ASSERT_TRUE (sessiond_site_fault (s, "db-1-a", "revive"));
  CU_ASSERT_EQUAL (sessiond_site_committed (s, before.id), 1);
  CU_ASSERT_EQUAL (sessiond_site_committed (s, after.id), 1);
  usleep (1500000);
  struct line_caller *c = start_session (s, 2, "browse1", "key-b");
  for (int i = 0; i < 20; i++)
    CU_ASSERT_TRUE (line_query (c, &a, "READ again"));
  assert_no_violation (s);
  talloc_free (s);
}

/* Guards against waiting for a primary that accepts requests and answers
   none. */
static void
silent_primary_is_replaced (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = 3, .services = 1 });
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  CU_ASSERT_TRUE (sessiond_site_fault (s, "db-1-a", "silence"));
  struct line_answer a = retry_write (s, 1, SERVE_MS);
  CU_ASSERT_STRING_NOT_EQUAL (a.id, "");
  CU_ASSERT_EQUAL (sessiond_site_committed (s, a.id), 1);
  assert_no_violation (s);
  talloc_free (s);
}

/* Guards against lost writes when a draining primary is replaced. */
static void
draining_primary_hands_over (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = 2, .services = 1 });
  struct line_answer a;
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  struct line_answer before = retry_write (s, 0, SERVE_MS);
  CU_ASSERT_TRUE (sessiond_site_fault (s, "db-1-a", "drain"));
  int64_t end = sessiond_site_now_ms () + SERVE_MS;
  bool moved = false;
  while (!moved && sessiond_site_now_ms () < end)
    {
      a = retry_write (s, 1, SERVE_MS);
      json_t *observed = sessiond_site_observed (s);
      const json_t *run = sessiond_site_run (observed, a.id);
      moved = run != NULL
              && strcmp (json_string_value (json_object_get (run, "database")),
                         "db-1-a")
                     != 0;
      json_decref (observed);
    }
  CU_ASSERT_TRUE (moved);
  CU_ASSERT_EQUAL (sessiond_site_committed (s, before.id), 1);
  CU_ASSERT_EQUAL (sessiond_site_committed (s, a.id), 1);
  assert_no_violation (s);
  talloc_free (s);
}

/* Guards against services without an owner when daemons are killed one after
   the other and start again. */
static void
killed_daemons_are_replaced (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = 4, .services = 2 });
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  for (int i = 0; i < 4; i++)
    {
      process_signal (s->daemons[i], SIGKILL);
      int64_t since = sessiond_site_now_ms ();
      for (int service = 1; service <= 2; service++)
        CU_ASSERT_TRUE (
            sessiond_site_wait (s, (i + 1) % 4, service, SERVE_MS));
      printf ("[%d ms] ", (int)(sessiond_site_now_ms () - since));
      CU_ASSERT_TRUE (sessiond_site_start_daemon (s, i));
      CU_ASSERT_TRUE (sessiond_site_wait (s, i, 1, SERVE_MS));
    }
  assert_no_violation (s);
  talloc_free (s);
}

/* Guards against an owner that was paused for longer than its lease and then
   acts as if it still owned the service. */
static void
paused_owner_does_no_harm (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = 3, .services = 1 });
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  for (int i = 0; i < 3; i++)
    {
      process_signal (s->daemons[i], SIGSTOP);
      CU_ASSERT_TRUE (sessiond_site_wait (s, (i + 1) % 3, 1, SERVE_MS));
      process_signal (s->daemons[i], SIGCONT);
      CU_ASSERT_TRUE (sessiond_site_wait (s, i, 1, SERVE_MS));
    }
  assert_no_violation (s);
  talloc_free (s);
}

/* Guards against session values that are lost when callers begin transactions
   and set values while their service has no owner, so that BEGIN is sent
   later. */
static void
values_set_before_begin_is_sent (void)
{
  enum
  {
    SESSIONS = 40,
    VALUES = 12
  };
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = 3, .services = 2 });
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  for (int i = 0; i < 3; i++)
    {
      struct line_caller *c[SESSIONS];
      struct line_answer a;
      int other = (i + 1) % 3;
      process_signal (s->daemons[i], SIGKILL);
      for (int k = 0; k < SESSIONS; k++)
        {
          c[k] = start_session (s, other, k % 2 ? "main1" : "main2", "key-a1");
          CU_ASSERT_TRUE (line_query (c[k], &a, "SET name0 first"));
          CU_ASSERT_TRUE (line_query (c[k], &a, "BEGIN"));
          for (int v = 0; v < VALUES; v++)
            CU_ASSERT_TRUE (line_query (c[k], &a, "SET name%d v%d", v, k));
          usleep (15000);
        }
      for (int k = 0; k < SESSIONS; k++)
        {
          if (line_query (c[k], &a, "READ item"))
            {
              json_t *observed = sessiond_site_observed (s);
              const json_t *run = sessiond_site_run (observed, a.id);
              const json_t *values = json_object_get (run, "values");
              CU_ASSERT_EQUAL (json_object_size (values), VALUES);
              json_decref (observed);
            }
          CU_ASSERT_NOT_EQUAL (a.state, 0);
          talloc_free (c[k]);
        }
      CU_ASSERT_TRUE (sessiond_site_wait (s, other, 1, SERVE_MS));
      CU_ASSERT_TRUE (sessiond_site_start_daemon (s, i));
      CU_ASSERT_TRUE (sessiond_site_wait (s, i, 1, SERVE_MS));
    }
  talloc_free (s);
}

/* Guards against a fleet that does not serve again, or loses a write, after
   all daemons were killed at once. */
static void
fleet_starts_again_after_a_kill_of_all (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = 3, .services = 1 });
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  struct line_answer before = retry_write (s, 0, SERVE_MS);
  for (int i = 0; i < 3; i++)
    process_signal (s->daemons[i], SIGKILL);
  for (int i = 0; i < 3; i++)
    CU_ASSERT_TRUE (sessiond_site_start_daemon (s, i));
  for (int i = 0; i < 3; i++)
    CU_ASSERT_TRUE (sessiond_site_wait (s, i, 1, SERVE_MS));
  CU_ASSERT_EQUAL (sessiond_site_committed (s, before.id), 1);
  talloc_free (s);
}

/* Guards against callers that are refused by a daemon that has just started
   and reads its configuration: their sessions were lost with its previous
   process, so they come at once. */
static void
restarted_daemon_lets_callers_wait (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = 2, .services = 1 });
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  for (int round = 0; round < 5; round++)
    {
      struct line_answer a = { .code = "" };
      process_signal (s->daemons[1], SIGKILL);
      CU_ASSERT_TRUE (sessiond_site_start_daemon (s, 1));
      struct line_caller *c = line_open (s, sessiond_site_port (s, 1));
      CU_ASSERT_PTR_NOT_NULL_FATAL (c);
      CU_ASSERT_TRUE (line_start (c, "main1", "key-a1", &a));
      CU_ASSERT_STRING_EQUAL (a.code, "");
      talloc_free (c);
      CU_ASSERT_TRUE (sessiond_site_wait (s, 1, 1, SERVE_MS));
    }
  talloc_free (s);
}

/* Open connections to a database until it refuses one, as those of a daemon
   that lost power do for some seconds. */
static void
use_up_connections (void *parent, const json_t *entry)
{
  struct line_answer a;
  const char *address = json_string_value (
      json_object_get (json_object_get (entry, "spec"), "address"));
  int port = (int)strtol (strrchr (address, ':') + 1, NULL, 10);
  for (int i = 0; i < 100; i++)
    {
      struct line_caller *c = line_open (parent, port);
      if (c == NULL || !line_start (c, "ledger-1", "alpha", &a))
        return;
    }
  CU_FAIL ("the database takes any number of connections");
}

/* Guards against organisations that are not served while an endpoint has too
   many connections: those that the pool has must go round. */
static void
few_connections_go_round (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = 1, .services = 1 });
  char url[100];
  char *body = NULL;
  struct line_answer a;
  const json_t *entry;
  size_t i;
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  struct line_caller *alpha = start_session (s, 0, "main1", "key-a1");
  struct line_caller *beta = start_session (s, 0, "main1", "key-b");
  CU_ASSERT_TRUE (line_query (alpha, &a, "WRITE one x"));
  snprintf (url, sizeof url, "http://127.0.0.1:%d/v1/objects/servers",
            process_port (s->platform));
  CU_ASSERT_EQUAL (process_http (s, "GET", url, NULL, &body), 200);
  json_t *list = json_loads (body, 0, NULL);
  json_array_foreach (json_object_get (list, "items"), i, entry)
      use_up_connections (s, entry);
  int served = 0;
  for (int round = 0; round < 10; round++)
    {
      served += line_query (beta, &a, "WRITE two y");
      served += line_query (alpha, &a, "WRITE one x");
    }
  CU_ASSERT_EQUAL (served, 20);
  json_decref (list);
  talloc_free (s);
}

/* Guards against a primary that is not replaced, as the replicas have too many
   connections: the pool must give one of its own to the status request. */
static void
full_replica_is_promoted (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = 1, .services = 1 });
  char url[100];
  char *body = NULL;
  struct line_answer a;
  const json_t *entry;
  size_t i;
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  struct line_caller *c[12];
  for (int k = 0; k < 12; k++)
    c[k] = start_session (s, 0, "browse1", k % 2 ? "key-a1" : "key-b");
  for (int k = 0; k < 120; k++)
    CU_ASSERT_TRUE (
        line_send (c[k % 12], "QUERY 0000000100000001 READ one\r\n"));
  for (int k = 0; k < 12; k++)
    CU_ASSERT_EQUAL (line_count_answers (c[k], 10), 10);
  snprintf (url, sizeof url, "http://127.0.0.1:%d/v1/objects/servers",
            process_port (s->platform));
  CU_ASSERT_EQUAL (process_http (s, "GET", url, NULL, &body), 200);
  json_t *list = json_loads (body, 0, NULL);
  json_array_foreach (json_object_get (list, "items"), i, entry)
      use_up_connections (s, entry);
  CU_ASSERT_TRUE (sessiond_site_fault (s, "db-1-a", "kill"));
  a = retry_write (s, 0, SERVE_MS);
  CU_ASSERT_STRING_NOT_EQUAL (a.id, "");
  assert_no_violation (s);
  json_decref (list);
  talloc_free (s);
}

/* Guards against open sessions that keep a revoked key or a removed route. */
static void
configuration_reaches_open_sessions (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = 2, .services = 1 });
  struct line_answer a;
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  struct line_caller *revoked = start_session (s, 0, "main1", "key-a2");
  struct line_caller *kept = start_session (s, 1, "main1", "key-a1");
  struct line_caller *dropped = start_session (s, 1, "browse1", "key-a1");
  CU_ASSERT_TRUE (line_query (revoked, &a, "READ one"));
  json_t *organisation
      = json_array_get (json_object_get (s->config, "tenants"), 0);
  json_array_remove (json_object_get (organisation, "api-keys"), 1);
  json_array_remove (json_object_get (s->config, "routes"), 1);
  CU_ASSERT_TRUE (sessiond_site_configure (s));
  usleep (700000);
  CU_ASSERT_FALSE (line_query (revoked, &a, "READ one"));
  CU_ASSERT_STRING_EQUAL (a.code, "NOAUTH");
  CU_ASSERT_TRUE (line_query (kept, &a, "READ one"));
  CU_ASSERT_FALSE (line_query (dropped, &a, "READ one"));
  CU_ASSERT_STRING_EQUAL (a.code, "NODB");
  struct line_caller *c = line_open (s, sessiond_site_port (s, 0));
  CU_ASSERT_FALSE (line_start (c, "main1", "key-a2", &a));
  CU_ASSERT_STRING_EQUAL (a.code, "NOAUTH");
  talloc_free (s);
}

/* Guards against a fleet that needs the store to serve: it is down for some
   seconds, and a daemon that starts meanwhile gets its copies from peers. */
static void
fleet_serves_without_the_store (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = 4, .services = 1 });
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  CU_ASSERT_TRUE (sessiond_site_control (s, json_pack ("{s:b}", "down", 1)));
  process_signal (s->daemons[3], SIGKILL);
  CU_ASSERT_TRUE (sessiond_site_wait (s, 0, 1, SERVE_MS));
  CU_ASSERT_TRUE (sessiond_site_start_daemon (s, 3));
  CU_ASSERT_TRUE (sessiond_site_wait (s, 3, 1, SERVE_MS));
  CU_ASSERT_TRUE (sessiond_site_control (s, json_pack ("{s:b}", "down", 0)));
  CU_ASSERT_TRUE (sessiond_site_control (s, json_pack ("{s:b}", "forget", 1)));
  json_array_remove (json_object_get (s->config, "routes"), 1);
  CU_ASSERT_TRUE (sessiond_site_configure (s));
  int64_t end = sessiond_site_now_ms () + SERVE_MS;
  for (int i = 0; i < 4; i++)
    {
      bool gone = false;
      while (!gone && sessiond_site_now_ms () < end)
        {
          struct line_answer a;
          struct line_caller *c = line_open (s, sessiond_site_port (s, i));
          gone = c != NULL && !line_start (c, "browse1", "key-a1", &a)
                 && strcmp (a.code, "NODB") == 0;
          talloc_free (c);
        }
      CU_ASSERT_TRUE (gone);
    }
  talloc_free (s);
}

/* Guards against a promotion that does not finish when the store's answers to
   conditional changes are lost. */
static void
promotion_survives_lost_answers_of_the_store (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = 3, .services = 1 });
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  CU_ASSERT_TRUE (sessiond_site_control (s, json_pack ("{s:b}", "lose", 1)));
  CU_ASSERT_TRUE (sessiond_site_fault (s, "db-1-a", "kill"));
  usleep (900000);
  CU_ASSERT_TRUE (sessiond_site_control (s, json_pack ("{s:b}", "lose", 0)));
  struct line_answer a = retry_write (s, 1, SERVE_MS);
  CU_ASSERT_STRING_NOT_EQUAL (a.id, "");
  assert_no_violation (s);
  talloc_free (s);
}

/* Guards against a promotion that does not finish when the store refuses the
   owner and serves the other daemons. */
static void
other_daemon_records_the_promotion (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = 3, .services = 1 });
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  CU_ASSERT_TRUE (
      sessiond_site_control (s, json_pack ("{s:b}", "refuse_first", 1)));
  CU_ASSERT_TRUE (sessiond_site_fault (s, "db-1-a", "kill"));
  struct line_answer a = retry_write (s, 1, SERVE_MS);
  CU_ASSERT_STRING_NOT_EQUAL (a.id, "");
  assert_no_violation (s);
  talloc_free (s);
}

/* Guards against statements at a draining primary that cannot be replaced,
   after the time of drain_ms. */
static void
left_primary_gets_no_work (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = 2, .services = 1 });
  struct line_answer a;
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  CU_ASSERT_TRUE (
      sessiond_site_control (s, json_pack ("{s:b}", "refuse_all", 1)));
  CU_ASSERT_TRUE (sessiond_site_fault (s, "db-1-a", "drain"));
  usleep (3000000);
  struct line_caller *c = start_session (s, 0, "main1", "key-a1");
  for (int i = 0; i < 10; i++)
    {
      line_query (c, &a, i % 2 ? "READ one" : "WRITE one x");
      json_t *observed = sessiond_site_observed (s);
      const json_t *run = sessiond_site_run (observed, a.id);
      CU_ASSERT_TRUE (
          run == NULL
          || strcmp (json_string_value (json_object_get (run, "database")),
                     "db-1-a")
                 != 0);
      json_decref (observed);
    }
  talloc_free (s);
}

/* Guards against malformed entries of another writer among those of the
   databases. */
static void
foreign_entries_harm_nothing (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = 2, .services = 1 });
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  static const char *const specs[]
      = { "{\"service\":\"ledger-1\"}",
          "{\"service\":7,\"address\":[],\"state\":\"ready\"}", "\"text\"",
          "{\"service\":\"ledger-1\",\"address\":\"127.0.0.1:1\","
          "\"state\":\"sleeping\",\"db-role\":\"primary\",\"slots\":2}",
          "{\"service\":\"ledger-1\",\"address\":\"nowhere\","
          "\"state\":\"ready\",\"db-role\":\"primary\",\"slots\":2}" };
  for (size_t i = 0; i < sizeof specs / sizeof specs[0]; i++)
    {
      char body[400], url[100];
      snprintf (url, sizeof url, "http://127.0.0.1:%d/v1/objects/servers",
                process_port (s->platform));
      snprintf (body, sizeof body,
                "{\"meta\":{\"name\":\"foreign-%zu\"},\"spec\":%s}", i,
                specs[i]);
      CU_ASSERT_EQUAL (process_http (s, "POST", url, body, NULL), 200);
    }
  usleep (300000);
  for (int i = 0; i < 2; i++)
    CU_ASSERT_TRUE (sessiond_site_wait (s, i, 1, SERVE_MS));
  talloc_free (s);
}

/* @return whether a daemon logs @p text in time. */
static bool
wait_for_log (struct sessiond_site *s, const char *text, int timeout_ms)
{
  int64_t end = sessiond_site_now_ms () + timeout_ms;
  while (sessiond_site_now_ms () < end)
    {
      for (int i = 0; i < s->daemon_count; i++)
        {
          char *log = bstr_to_text (s, process_output (s->daemons[i]));
          bool found = strstr (log, text) != NULL;
          talloc_free (log);
          if (found)
            return true;
        }
      usleep (50000);
    }
  printf ("no \"%s\" in the logs ", text);
  return false;
}

/* Guards against an entry whose name adds fields to the log. */
static void
names_of_entries_forge_no_log_field (void)
{
  static const char body[]
      = "{\"meta\":{\"name\":\"x\\\" reason=\\\"y\\n\\t z\"},\"spec\":{}}";
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = 1, .services = 1 });
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  char *url = talloc_asprintf (s, "http://127.0.0.1:%d/v1/objects/servers",
                               process_port (s->platform));
  CU_ASSERT_EQUAL (process_http (s, "POST", url, body, NULL), 200);
  CU_ASSERT_TRUE (wait_for_log (
      s,
      "event=endpoint_ignored name=\"x\\\" reason=\\\"y\\n? z\" reason=\"id",
      SERVE_MS));
  talloc_free (s);
}

/* Write entries with values that cannot be represented.  The last one is
   nested deeper than a parser can follow. */
static void
write_unreadable_entries (struct sessiond_site *s)
{
  const size_t nesting = 100000;
  static const char *const specs[] = {
    "{\"service\":\"ledger-1\",\"address\":\"127.0.0.1:1\","
    "\"state\":\"ready\",\"db-role\":\"primary\","
    "\"slots\":123456789012345678901234567890}",
    "{\"service\":\"ledger-1\",\"slots\":1e999}",
    "{\"service\":\"\\u0000\"}",
    "{\"service\":\"\\ud800\"}",
    "{\"service\":}",
  };
  for (size_t i = 0; i < sizeof specs / sizeof specs[0]; i++)
    {
      char name[20];
      snprintf (name, sizeof name, "odd-%zu", i);
      CU_ASSERT_TRUE (sessiond_site_write_raw (s, "servers", name, specs[i]));
    }
  char *deep = talloc_array (s, char, 2 * nesting + 1);
  memset (deep, '[', nesting);
  memset (deep + nesting, ']', nesting);
  deep[2 * nesting] = '\0';
  CU_ASSERT_TRUE (sessiond_site_write_raw (s, "servers", "odd-deep", deep));
  talloc_free (deep);
}

/* @return whether no daemon has ended or lost the store. */
static bool
all_follow_the_store (struct sessiond_site *s)
{
  for (int i = 0; i < s->daemon_count; i++)
    {
      char *log = bstr_to_text (s, process_output (s->daemons[i]));
      bool ok = strstr (log, "event=store_lost") == NULL
                && process_wait (s->daemons[i], 0) == -1;
      talloc_free (log);
      if (!ok)
        return false;
    }
  return true;
}

/* Guards against daemons that end or no longer follow the list of databases
   because one entry cannot be parsed: the state of a database must still be
   noticed, and a configuration must still take effect. */
static void
unreadable_entry_does_not_stop_the_list (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = 2, .services = 1 });
  struct line_answer a;
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  write_unreadable_entries (s);
  CU_ASSERT_TRUE (sessiond_site_fault (s, "db-1-b", "drain"));
  CU_ASSERT_TRUE (
      wait_for_log (s, "endpoint=db-1-b draining=1", SERVE_MS / 2));
  json_array_remove (json_object_get (s->config, "routes"), 1);
  CU_ASSERT_TRUE (sessiond_site_configure (s));
  usleep (1500000);
  for (int i = 0; i < 2; i++)
    {
      struct line_caller *c = line_open (s, sessiond_site_port (s, i));
      CU_ASSERT_FALSE (line_start (c, "browse1", "key-a1", &a));
      CU_ASSERT_STRING_EQUAL (a.code, "NODB");
      CU_ASSERT_TRUE (sessiond_site_wait (s, i, 1, SERVE_MS));
    }
  CU_ASSERT_TRUE (all_follow_the_store (s));
  talloc_free (s);
}

/* Guards against daemons that do not serve after a start because an entry
   among those of the databases cannot be parsed. */
static void
fleet_starts_beside_unreadable_entries (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = 2, .services = 1 });
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  write_unreadable_entries (s);
  for (int i = 0; i < 2; i++)
    process_signal (s->daemons[i], SIGKILL);
  for (int i = 0; i < 2; i++)
    CU_ASSERT_TRUE (sessiond_site_start_daemon (s, i));
  for (int i = 0; i < 2; i++)
    CU_ASSERT_TRUE (sessiond_site_wait (s, i, 1, SERVE_MS));
  CU_ASSERT_TRUE (all_follow_the_store (s));
  talloc_free (s);
}

/* Guards against a database that stays in use by its older entry when its
   entry can no longer be parsed. */
static void
unreadable_entry_replaces_the_older_one (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = 2, .services = 1 });
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  CU_ASSERT_TRUE (sessiond_site_write_raw (
      s, "servers", "db-1-b", "{\"service\":\"ledger-1\",\"born\":1e999}"));
  CU_ASSERT_TRUE (wait_for_log (
      s, "event=endpoint_missing service=ledger-1 endpoint=db-1-b",
      SERVE_MS / 2));
  CU_ASSERT_TRUE (sessiond_site_fault (s, "db-1-b", "drain"));
  CU_ASSERT_TRUE (
      wait_for_log (s, "endpoint=db-1-b draining=1", SERVE_MS / 2));
  CU_ASSERT_TRUE (all_follow_the_store (s));
  talloc_free (s);
}

/* Guards against a sum of slots that exceeds an int when databases state very
   large numbers (red with UBSan). */
static void
slots_of_any_size_are_added (void)
{
  static const char *const ids[] = { "db-1-a", "db-1-b", "db-1-c" };
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = 2, .services = 1 });
  struct line_answer a;
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  for (size_t i = 0; i < sizeof ids / sizeof ids[0]; i++)
    {
      char url[100], *answer = NULL;
      snprintf (url, sizeof url, "http://127.0.0.1:%d/v1/objects/servers/%s",
                process_port (s->platform), ids[i]);
      CU_ASSERT_EQUAL (process_http (s, "GET", url, NULL, &answer), 200);
      json_t *object = json_loads (answer, 0, NULL);
      json_object_set_new (json_object_get (object, "spec"), "slots",
                           json_integer (1000000000));
      char *body = json_dumps (object, JSON_COMPACT);
      CU_ASSERT_EQUAL (process_http (s, "PUT", url, body, NULL), 200);
      free (body);
      json_decref (object);
    }
  usleep (300000);
  for (int i = 0; i < 2; i++)
    {
      struct line_caller *c = start_session (s, i, "browse1", "key-a1");
      CU_ASSERT_PTR_NOT_NULL_FATAL (c);
      CU_ASSERT_TRUE (line_query (c, &a, "READ one"));
      CU_ASSERT_TRUE (sessiond_site_wait (s, i, 1, SERVE_MS));
    }
  CU_ASSERT_TRUE (all_follow_the_store (s));
  talloc_free (s);
}

/* Write an entry that names no database.
   @param name JSON text of its name. */
static void
write_foreign_entry (struct sessiond_site *s, const char *name)
{
  char url[100], body[300];
  snprintf (url, sizeof url, "http://127.0.0.1:%d/v1/objects/servers",
            process_port (s->platform));
  snprintf (body, sizeof body, "{\"meta\":{\"name\":%s},\"spec\":{}}", name);
  CU_ASSERT_EQUAL (process_http (s, "POST", url, body, NULL), 200);
}

/* Guards against names of entries that add lines to the log. */
static void
log_lines_cannot_be_forged (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = 2, .services = 1 });
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  write_foreign_entry (s, "\"odd\\r\\nforged: event=stopped\\u001b[2J\"");
  CU_ASSERT_TRUE (wait_for_log (s, "name=\"odd", SERVE_MS / 2));
  for (int i = 0; i < 2; i++)
    {
      char *log = bstr_to_text (s, process_output (s->daemons[i]));
      CU_ASSERT_PTR_NULL (strstr (log, "\nforged"));
      CU_ASSERT_PTR_NULL (strpbrk (log, "\r\x1b"));
    }
  talloc_free (s);
}

/* Guards against a log that fills with the same line about an entry at each
   change of another one. */
static void
ignored_entry_is_logged_once (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = 2, .services = 1 });
  char name[] = "\"odd-0\"";
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  for (; name[5] < '9'; name[5]++)
    {
      write_foreign_entry (s, name);
      usleep (20000);
    }
  CU_ASSERT_TRUE (wait_for_log (s, "name=\"odd-8\"", SERVE_MS / 2));
  for (int i = 0; i < 2; i++)
    {
      int count = 0;
      const char *at = bstr_to_text (s, process_output (s->daemons[i]));
      for (; (at = strstr (at, "name=\"odd-0\"")) != NULL; at++)
        count++;
      printf ("[%d lines] ", count);
      CU_ASSERT_TRUE (count <= 1);
    }
  talloc_free (s);
}

/* Guards against a list whose second page is never read, as the name after
   which it begins is no part of a URL. */
static void
pages_begin_after_any_name (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = 2, .services = 1 });
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  for (int i = 0; i < 1005; i++)
    {
      char name[40];
      snprintf (name, sizeof name, "\"a%04d &after=z#%%41+ \\\\\\\"?\"", i);
      write_foreign_entry (s, name);
    }
  for (int i = 0; i < 2; i++)
    process_signal (s->daemons[i], SIGKILL);
  for (int i = 0; i < 2; i++)
    CU_ASSERT_TRUE (sessiond_site_start_daemon (s, i));
  for (int i = 0; i < 2; i++)
    CU_ASSERT_TRUE (sessiond_site_wait (s, i, 1, SERVE_MS));
  CU_ASSERT_TRUE (all_follow_the_store (s));
  talloc_free (s);
}

/* Guards against a list that is taken for complete because the last entry of a
   page has no name that can be read. */
static void
nameless_entry_ends_no_list (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = 2, .services = 1 });
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  for (int i = 0; i < 499; i++)
    {
      char name[20];
      snprintf (name, sizeof name, "\"a%03d\"", i);
      write_foreign_entry (s, name);
    }
  CU_ASSERT_TRUE (sessiond_site_write_raw (s, "servers", "a499", "1,,2"));
  for (int i = 0; i < 2; i++)
    process_signal (s->daemons[i], SIGKILL);
  for (int i = 0; i < 2; i++)
    CU_ASSERT_TRUE (sessiond_site_start_daemon (s, i));
  for (int i = 0; i < 2; i++)
    CU_ASSERT_TRUE (sessiond_site_wait (s, i, 1, SERVE_MS));
  talloc_free (s);
}

/* Guards against a service that cannot read or replace its primary because
   entries of databases that do not exist take the places of its replicas. */
static void
dead_entries_hide_no_database (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = 2, .services = 1 });
  struct line_answer a;
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  for (int i = 0; i < 20; i++)
    {
      char name[20];
      snprintf (name, sizeof name, "dead-%d", i);
      CU_ASSERT_TRUE (sessiond_site_write_raw (
          s, "servers", name,
          "{\"service\":\"ledger-1\",\"address\":\"127.0.0.1:1\","
          "\"zone\":\"zone-a\",\"slots\":2,\"state\":\"ready\","
          "\"db-role\":\"replica\",\"born\":1}"));
    }
  usleep (1000000);
  struct line_caller *c = start_session (s, 0, "browse1", "key-a1");
  CU_ASSERT_PTR_NOT_NULL_FATAL (c);
  CU_ASSERT_TRUE (line_query (c, &a, "READ one"));
  CU_ASSERT_TRUE (sessiond_site_fault (s, "db-1-a", "kill"));
  a = retry_write (s, 0, SERVE_MS);
  CU_ASSERT_STRING_NOT_EQUAL (a.id, "");
  talloc_free (s);
}

/* Guards against an organisation that exceeds its rate by sending through all
   daemons and to all services, and against other organisations that are
   refused because of it. */
static void
rate_holds_over_the_fleet (void)
{
  const double rate = 60;
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){
                .daemons = 3, .services = 3, .rate = rate });
  struct line_caller *c[9];
  struct line_answer a;
  int served = 0, refused = 0;
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  for (int i = 0; i < 9; i++)
    {
      char database[8];
      snprintf (database, sizeof database, "own%d", i % 3 + 1);
      c[i] = start_session (s, i / 3, database, "key-b");
    }
  int64_t begin = sessiond_site_now_ms ();
  while (sessiond_site_now_ms () - begin < 3000)
    for (int i = 0; i < 9; i++)
      {
        bool ok = line_query (c[i], &a, "READ one");
        served += ok;
        if (!ok)
          {
            refused++;
            CU_ASSERT_STRING_EQUAL (a.code, "BUSY");
            CU_ASSERT_PTR_NOT_NULL (strstr (a.text, "retry-after-ms="));
          }
      }
  double seconds = (double)(sessiond_site_now_ms () - begin) / 1000;
  printf ("[%d served, %d refused] ", served, refused);
  CU_ASSERT_TRUE (served <= (rate * seconds + rate) * 1.1 + 20);
  CU_ASSERT_TRUE (served >= rate * seconds * 0.8);
  struct line_caller *other = start_session (s, 0, "own1", "key-a1");
  CU_ASSERT_TRUE (line_query (other, &a, "READ one"));
  talloc_free (s);
}

/* Guards against statements that SIGTERM interrupts: idle sessions are closed
   between statements only. */
static void
planned_stop_cuts_nothing (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){
                .daemons = 3, .services = 1, .grace_ms = 1500 });
  struct line_answer a;
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  struct line_caller *c = start_session (s, 0, "main1", "key-a1");
  CU_ASSERT_TRUE (line_query (c, &a, "BEGIN"));
  CU_ASSERT_TRUE (line_query (c, &a, "WRITE one x"));
  process_signal (s->daemons[0], SIGTERM);
  usleep (200000);
  CU_ASSERT_EQUAL (sessiond_site_ready (s, 0), 503);
  CU_ASSERT_TRUE (line_query (c, &a, "WRITE two x"));
  CU_ASSERT_TRUE (line_query (c, &a, "COMMIT"));
  CU_ASSERT_TRUE (line_query (c, &a, "WRITE three x"));
  CU_ASSERT_TRUE (sessiond_site_wait (s, 1, 1, SERVE_MS));
  CU_ASSERT_EQUAL (process_wait (s->daemons[0], 5000), 0);
  CU_ASSERT_TRUE (line_is_closed (c, 100));
  CU_ASSERT_EQUAL (sessiond_site_committed (s, a.id), 1);
  assert_no_violation (s);
  talloc_free (s);
}

#define STOP_CALLERS 20
#define PIPELINED 10

/* Guards against statements that SIGTERM cuts off under load: each of many
   callers has sent several statements at once, of which some were only read,
   some are queued and some run; a new configuration and SIGHUP come too. */
static void
planned_stop_answers_what_was_sent (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){
                .daemons = 3, .services = 1, .grace_ms = 3000 });
  struct line_caller *c[STOP_CALLERS];
  int answered = 0;
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  for (int i = 0; i < STOP_CALLERS; i++)
    c[i] = start_session (s, 0, "main1", "key-a1");
  for (int i = 0; i < STOP_CALLERS; i++)
    {
      char lines[PIPELINED * 60] = "";
      for (int k = 0; k < PIPELINED; k++)
        snprintf (lines + strlen (lines), sizeof lines - strlen (lines),
                  "QUERY %08x%08x %s item%d%s\r\n", i + 1, k + 1,
                  k % 3 == 0 ? "WRITE" : "READ", i, k % 3 == 0 ? " x" : "");
      CU_ASSERT_TRUE (line_send (c[i], lines));
      if (i == STOP_CALLERS / 2)
        {
          CU_ASSERT_TRUE (sessiond_site_configure (s));
          process_signal (s->daemons[0], SIGHUP);
          process_signal (s->daemons[0], SIGTERM);
        }
    }
  for (int i = 0; i < STOP_CALLERS; i++)
    answered += line_count_answers (c[i], PIPELINED);
  CU_ASSERT_EQUAL (answered, STOP_CALLERS * PIPELINED);
  CU_ASSERT_EQUAL (process_wait (s->daemons[0], 6000), 0);
  assert_no_violation (s);
  talloc_free (s);
}

#define LATE_CALLERS 16
/* The daemon ends 400 ms before its grace time does; a statement that is sent
   100 ms earlier was read by then. */
#define LATE_END_MS 2500

/* Guards against statements that SIGTERM cuts off at the end of the grace
   time: all daemons leave, so the statements wait for an owner until the
   process ends. */
static void
planned_stop_refuses_what_waits (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){
                .daemons = 2, .services = 1, .grace_ms = 3000 });
  struct line_caller *c[LATE_CALLERS];
  int sent = 0, answered = 0;
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  int64_t end = sessiond_site_now_ms () + LATE_END_MS;
  process_signal (s->daemons[0], SIGTERM);
  process_signal (s->daemons[1], SIGTERM);
  usleep ((LATE_END_MS - LATE_CALLERS * 30) * 1000);
  for (; sent < LATE_CALLERS; sent++)
    {
      char lines[100];
      snprintf (lines, sizeof lines,
                "START main1 key-a1\r\nQUERY %016x %s item%s\r\n", sent + 1,
                sent % 2 == 0 ? "READ" : "WRITE", sent % 2 == 0 ? "" : " x");
      c[sent] = line_open (s, sessiond_site_port (s, 0));
      if (c[sent] == NULL || !line_send (c[sent], lines)
          || sessiond_site_now_ms () > end)
        break;
      usleep (25000);
    }
  CU_ASSERT (sent > LATE_CALLERS / 2);
  for (int i = 0; i < sent; i++)
    answered += line_count_answers (c[i], 2);
  CU_ASSERT_EQUAL (answered, sent * 2);
  CU_ASSERT_EQUAL (process_wait (s->daemons[0], 6000), 0);
  assert_no_violation (s);
  talloc_free (s);
}

/* @return whether a session with the key is accepted. */
static bool
accepts_key (struct sessiond_site *s, int daemon, const char *key)
{
  struct line_answer a;
  struct line_caller *c = line_open (s, sessiond_site_port (s, daemon));
  bool accepted = c != NULL && line_start (c, "main1", key, &a)
                  && line_query (c, &a, "READ one");
  talloc_free (c);
  return accepted;
}

/* Guards against a withdrawn key that is in use again after a restart while
   the store is down: one of the daemons that give the restarted one its copy
   was paused when the key was withdrawn, and knows it still. */
static void
restarted_daemon_uses_no_withdrawn_key (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = 4, .services = 1 });
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  CU_ASSERT_TRUE (accepts_key (s, 3, "key-a2"));
  process_signal (s->daemons[2], SIGSTOP);
  json_t *organisation
      = json_array_get (json_object_get (s->config, "tenants"), 0);
  json_array_remove (json_object_get (organisation, "api-keys"), 1);
  CU_ASSERT_TRUE (sessiond_site_configure (s));
  usleep (700000);
  CU_ASSERT_FALSE (accepts_key (s, 3, "key-a2"));
  CU_ASSERT_TRUE (sessiond_site_control (s, json_pack ("{s:b}", "down", 1)));
  process_signal (s->daemons[3], SIGKILL);
  process_signal (s->daemons[2], SIGCONT);
  CU_ASSERT_TRUE (sessiond_site_start_daemon (s, 3));
  int accepted = 0;
  for (int64_t end = sessiond_site_now_ms () + 3000;
       sessiond_site_now_ms () < end; usleep (20000))
    accepted += accepts_key (s, 3, "key-a2");
  CU_ASSERT_EQUAL (accepted, 0);
  CU_ASSERT_TRUE (accepts_key (s, 3, "key-a1"));
  CU_ASSERT_FALSE (accepts_key (s, 2, "key-a2"));
  talloc_free (s);
}

/* Guards against a commit that is acknowledged and lost: the owner is stopped
   while a transaction is open, and the next owner replaces the primary.  A
   commit that finishes through the previous owner is acknowledged only if the
   new primary has it. */
static void
commit_at_previous_owner (int wait_ms, bool replace)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){
                .daemons = 3, .services = 1, .grace_ms = 6000 });
  struct line_answer a, commit;
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  int owner;
  sessiond_site_most_owned (s, &owner);
  CU_ASSERT_FATAL (owner >= 0);
  struct line_caller *c
      = start_session (s, (owner + 1) % 3, "main1", "key-a1");
  CU_ASSERT_TRUE (line_query (c, &a, "BEGIN"));
  CU_ASSERT_TRUE (line_query (c, &a, "WRITE one x"));
  process_signal (s->daemons[owner], SIGTERM);
  CU_ASSERT_TRUE (sessiond_site_wait (s, (owner + 2) % 3, 1, SERVE_MS));
  if (replace)
    CU_ASSERT_TRUE (sessiond_site_fault (s, "db-1-a", "drain"));
  usleep ((useconds_t)wait_ms * 1000);
  bool acknowledged = line_query (c, &commit, "COMMIT");
  printf ("[%d ms: %s] ", wait_ms, acknowledged ? "ok" : commit.code);
  CU_ASSERT_TRUE (replace || acknowledged);
  bool in_doubt = !acknowledged && strcmp (commit.code, "INDOUBT") == 0;
  CU_ASSERT_TRUE (acknowledged || in_doubt
                  || strcmp (commit.code, "READONLY") == 0
                  || strcmp (commit.code, "ABORTED") == 0);
  CU_ASSERT_TRUE (sessiond_site_wait (s, (owner + 2) % 3, 1, SERVE_MS));
  usleep (1200000);
  CU_ASSERT_TRUE (in_doubt
                  || sessiond_site_committed (s, a.id) == acknowledged);
  assert_no_violation (s);
  talloc_free (s);
}

static void
former_owner_acknowledges_no_lost_commit (void)
{
  commit_at_previous_owner (0, false);
  for (int wait_ms = 0; wait_ms <= 1800; wait_ms += 600)
    commit_at_previous_owner (wait_ms, true);
}

/* As retry_write; reads the item that it writes. */
static struct line_answer
retry_read (struct sessiond_site *s, int daemon, int timeout_ms)
{
  return retry_statement (s, daemon, "READ again", timeout_ms);
}

/* Kill the owner of the only service and wait until another daemon owns it.
   @return that daemon. */
static int
replace_owner (struct sessiond_site *s, int owner)
{
  int next = -1;
  process_signal (s->daemons[owner], SIGKILL);
  for (int64_t end = sessiond_site_now_ms () + SERVE_MS;
       sessiond_site_now_ms () < end && (next < 0 || next == owner);
       usleep (5000))
    sessiond_site_most_owned (s, &next);
  CU_ASSERT_FATAL (next >= 0 && next != owner);
  return next;
}

/* Kill all daemons and start them again. */
static void
restart_fleet (struct sessiond_site *s)
{
  for (int i = 0; i < s->daemon_count; i++)
    process_signal (s->daemons[i], SIGKILL);
  for (int i = 0; i < s->daemon_count; i++)
    CU_ASSERT_TRUE (sessiond_site_start_daemon (s, i));
}

/* Have the primary replaced by db-1-b, which alone gets a further write and
   is silent from then on.  The replaced one, db-1-a, answers again and does
   not learn of its successor.
   @return the write; before is set to one that all databases have. */
static struct line_answer
leave_replaced_primary (struct sessiond_site *s, int daemon,
                        struct line_answer *before)
{
  *before = retry_write (s, daemon, SERVE_MS);
  usleep (100000);
  CU_ASSERT_TRUE (sessiond_site_fault (s, "db-1-a", "part"));
  CU_ASSERT_TRUE (sessiond_site_fault (s, "db-1-c", "part"));
  CU_ASSERT_TRUE (sessiond_site_fault (s, "db-1-c", "silence"));
  CU_ASSERT_TRUE (sessiond_site_fault (s, "db-1-a", "silence"));
  struct line_answer after = retry_write (s, daemon, SERVE_MS);
  CU_ASSERT_STRING_NOT_EQUAL (after.id, "");
  CU_ASSERT_EQUAL (sessiond_site_committed (s, after.id), 1);
  CU_ASSERT_TRUE (sessiond_site_fault (s, "db-1-b", "silence"));
  CU_ASSERT_TRUE (sessiond_site_fault (s, "db-1-a", "speak"));
  CU_ASSERT_TRUE (sessiond_site_fault (s, "db-1-c", "speak"));
  return after;
}

/* Check that the present primary serves after leave_replaced_primary, once it
   answers again. */
static void
assert_present_primary_serves (struct sessiond_site *s, int daemon,
                               const struct line_answer *before,
                               const struct line_answer *after)
{
  usleep (400000);
  CU_ASSERT_TRUE (sessiond_site_fault (s, "db-1-b", "speak"));
  struct line_answer read = retry_read (s, daemon, SERVE_MS);
  printf ("[read %s, before %s, after %s] ", read.row, before->id, after->id);
  CU_ASSERT_STRING_EQUAL (read.row, after->id);
  struct line_answer last = retry_write (s, daemon, SERVE_MS);
  CU_ASSERT_EQUAL (sessiond_site_committed (s, before->id), 1);
  CU_ASSERT_EQUAL (sessiond_site_committed (s, after->id), 1);
  CU_ASSERT_EQUAL (sessiond_site_committed (s, last.id), 1);
  assert_no_violation (s);
}

/* Guards against a new owner that takes a replaced primary for the present
   one, as the present one answers it late: reads lack acknowledged commits,
   and writes are acknowledged that the present primary never gets. */
static void
new_owner_ignores_a_replaced_primary (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = 3, .services = 1 });
  struct line_answer before;
  int owner;
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  sessiond_site_most_owned (s, &owner);
  CU_ASSERT_FATAL (owner >= 0);
  struct line_answer after
      = leave_replaced_primary (s, (owner + 1) % 3, &before);
  assert_present_primary_serves (s, replace_owner (s, owner), &before, &after);
  talloc_free (s);
}

/* Guards against the same after all daemons have started again, so that no
   voter knows the term of the present primary. */
static void
restarted_fleet_ignores_a_replaced_primary (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = 3, .services = 1 });
  struct line_answer before;
  int owner = -1;
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  struct line_answer after = leave_replaced_primary (s, 0, &before);
  for (int i = 0; i < 3; i++)
    process_signal (s->daemons[i], SIGKILL);
  for (int i = 0; i < 3; i++)
    CU_ASSERT_TRUE (sessiond_site_start_daemon (s, i));
  for (int64_t end = sessiond_site_now_ms () + SERVE_MS;
       sessiond_site_now_ms () < end && owner < 0; usleep (5000))
    sessiond_site_most_owned (s, &owner);
  CU_ASSERT_FATAL (owner >= 0);
  assert_present_primary_serves (s, owner, &before, &after);
  talloc_free (s);
}

/* Have db-1-a, the primary, acknowledge a write that no other database
   receives, and be silent then: only db-1-b can replace it.  The two do not
   reach each other, so that db-1-a does not learn of its successor.
   @return the write, which the promotion rolls back. */
static struct line_answer
acknowledge_on_fork (struct sessiond_site *s)
{
  retry_write (s, 0, SERVE_MS);
  usleep (100000);
  CU_ASSERT_TRUE (sessiond_site_fault (s, "db-1-a", "part"));
  CU_ASSERT_TRUE (sessiond_site_fault (s, "db-1-b", "deaf"));
  CU_ASSERT_TRUE (sessiond_site_fault (s, "db-1-c", "part"));
  struct line_answer lost = retry_write (s, 0, SERVE_MS);
  CU_ASSERT_STRING_NOT_EQUAL (lost.id, "");
  CU_ASSERT_TRUE (sessiond_site_fault (s, "db-1-c", "silence"));
  CU_ASSERT_TRUE (sessiond_site_fault (s, "db-1-a", "silence"));
  return lost;
}

/* Have the primary replaced by db-1-b after acknowledge_on_fork.  Then only
   the replaced one, db-1-a, answers.
   @param lost set to the write that the promotion rolls back.
   @return the write that only the present primary has. */
static struct line_answer
leave_forked_log (struct sessiond_site *s, struct line_answer *lost)
{
  *lost = acknowledge_on_fork (s);
  struct line_answer kept = retry_write (s, 0, SERVE_MS);
  CU_ASSERT_STRING_NOT_EQUAL (kept.id, "");
  CU_ASSERT_EQUAL (sessiond_site_committed (s, kept.id), 1);
  CU_ASSERT_EQUAL (sessiond_site_committed (s, lost->id), 0);
  CU_ASSERT_TRUE (sessiond_site_fault (s, "db-1-b", "silence"));
  CU_ASSERT_TRUE (sessiond_site_fault (s, "db-1-a", "speak"));
  return kept;
}

/* Check that nothing leads until the present primary answers again, and that
   it serves then, through @p daemon. */
static void
assert_fork_is_not_promoted (struct sessiond_site *s, int daemon,
                             const struct line_answer *lost,
                             const struct line_answer *kept)
{
  struct line_answer early = retry_write (s, daemon, 3000);
  CU_ASSERT_STRING_EQUAL (early.id, "");
  CU_ASSERT_TRUE (sessiond_site_fault (s, "db-1-b", "speak"));
  struct line_answer last = retry_write (s, daemon, SERVE_MS);
  CU_ASSERT_STRING_NOT_EQUAL (last.id, "");
  CU_ASSERT_EQUAL (sessiond_site_committed (s, last.id), 1);
  CU_ASSERT_EQUAL (sessiond_site_committed (s, kept->id), 1);
  CU_ASSERT_EQUAL (sessiond_site_committed (s, lost->id), 0);
  assert_no_violation (s);
}

/* Guards against the promotion of a replaced primary that never learned of its
   successor: acknowledged commits of the present term are lost, and those that
   the first promotion rolled back return, so that reads in between were
   stale. */
static void
replaced_primary_is_not_promoted_again (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = 3, .services = 1 });
  struct line_answer lost;
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  struct line_answer kept = leave_forked_log (s, &lost);
  assert_fork_is_not_promoted (s, 0, &lost, &kept);
  talloc_free (s);
}

/* Guards against the same after all daemons have started again, so that only
   the promotion record tells the present term. */
static void
restarted_fleet_promotes_no_replaced_primary (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = 3, .services = 1 });
  struct line_answer lost;
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  struct line_answer kept = leave_forked_log (s, &lost);
  restart_fleet (s);
  assert_fork_is_not_promoted (s, 0, &lost, &kept);
  talloc_free (s);
}

static bool
remove_entry (struct sessiond_site *s, const char *database)
{
  return sessiond_site_control (s,
                                json_pack ("{s:{s:s, s:s}}", "remove", "kind",
                                           "servers", "name", database));
}

/* Guards against the promotion of a replaced primary because all others have
   been gone for long: commits that were rolled back return, so that reads in
   between were stale. */
static void
forked_log_is_not_promoted_for_want_of_others (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = 1, .services = 1 });
  struct line_answer lost;
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  struct line_answer kept = leave_forked_log (s, &lost);
  CU_ASSERT_TRUE (sessiond_site_fault (s, "db-1-b", "kill"));
  CU_ASSERT_TRUE (remove_entry (s, "db-1-b"));
  CU_ASSERT_TRUE (remove_entry (s, "db-1-c"));
  struct line_answer early = retry_write (s, 0, 26000);
  CU_ASSERT_STRING_EQUAL (early.id, "");
  CU_ASSERT_TRUE (sessiond_site_fault (s, "db-1-b", "revive"));
  assert_fork_is_not_promoted (s, 0, &lost, &kept);
  talloc_free (s);
}

/* Guards against a service that waits for ever although an operator has given
   up the databases with the newest term, and has another one promoted. */
static void
operator_ends_the_wait_for_a_lost_term (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = 1, .services = 1 });
  struct line_answer lost;
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  leave_forked_log (s, &lost);
  CU_ASSERT_TRUE (sessiond_site_fault (s, "db-1-b", "kill"));
  CU_ASSERT_TRUE (remove_entry (s, "db-1-b"));
  CU_ASSERT_TRUE (remove_entry (s, "db-1-c"));
  CU_ASSERT_TRUE (wait_for_log (s, "event=forked", SERVE_MS));
  CU_ASSERT_STRING_EQUAL (retry_write (s, 0, 1000).id, "");
  CU_ASSERT_TRUE (sessiond_site_fault (s, "db-1-a", "lead"));
  CU_ASSERT_STRING_NOT_EQUAL (retry_write (s, 0, SERVE_MS).id, "");
  assert_no_violation (s);
  talloc_free (s);
}

/* Guards against a service that is never served again after it has waited for
   the present primary: its entry expired meanwhile, so that it returns as an
   endpoint that is not known to be the primary, in the term that is known. */
static void
primary_leads_again_after_its_entry_expired (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = 1, .services = 1 });
  struct line_answer lost;
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  struct line_answer kept = leave_forked_log (s, &lost);
  CU_ASSERT_TRUE (sessiond_site_write_raw (
      s, "servers", "db-1-b", "{\"service\":\"ledger-1\",\"born\":1e999}"));
  CU_ASSERT_TRUE (wait_for_log (s, "event=endpoint_missing", SERVE_MS));
  CU_ASSERT_TRUE (wait_for_log (s, "event=endpoint_gone", SERVE_MS));
  CU_ASSERT_TRUE (wait_for_log (s, "event=forked", SERVE_MS));
  CU_ASSERT_TRUE (sessiond_site_fault (s, "db-1-b", "speak"));
  CU_ASSERT_TRUE (sessiond_site_fault (s, "db-1-b", "join"));
  struct line_answer last = retry_write (s, 0, 2 * SERVE_MS);
  CU_ASSERT_STRING_NOT_EQUAL (last.id, "");
  CU_ASSERT_EQUAL (sessiond_site_committed (s, kept.id), 1);
  CU_ASSERT_EQUAL (sessiond_site_committed (s, lost.id), 0);
  assert_no_violation (s);
  talloc_free (s);
}

/* Guards against an order that is repeated for ever, so that the service gets
   no primary: its target left while the platform took no orders. */
static void
order_to_a_target_that_left_is_dropped (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = 1, .services = 1 });
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  CU_ASSERT_TRUE (sessiond_site_fault (s, "db-1-c", "deaf"));
  CU_ASSERT_STRING_NOT_EQUAL (retry_write (s, 0, SERVE_MS).id, "");
  usleep (100000);
  CU_ASSERT_TRUE (
      sessiond_site_control (s, json_pack ("{s:b}", "orders_down", 1)));
  CU_ASSERT_TRUE (sessiond_site_fault (s, "db-1-a", "kill"));
  retry_write (s, 0, 100);
  CU_ASSERT_TRUE (wait_for_log (s, "event=order_failed", SERVE_MS));
  CU_ASSERT_TRUE (sessiond_site_fault (s, "db-1-b", "kill"));
  CU_ASSERT_TRUE (remove_entry (s, "db-1-b"));
  CU_ASSERT_TRUE (wait_for_log (s, "event=endpoint_gone", SERVE_MS));
  CU_ASSERT_TRUE (
      sessiond_site_control (s, json_pack ("{s:b}", "orders_down", 0)));
  CU_ASSERT_STRING_NOT_EQUAL (retry_write (s, 0, SERVE_MS).id, "");
  assert_no_violation (s);
  talloc_free (s);
}

/* Guards against a primary that is served again after the promotion of another
   endpoint was ordered, as the entry of that one has expired: its writes are
   acknowledged and lost. */
static void
ordered_promotion_outlives_its_target (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){
                .daemons = 1, .services = 1, .promote_ms = 900 });
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  acknowledge_on_fork (s);
  struct line_caller *c = start_session (s, 0, "main1", "key-a1");
  CU_ASSERT_TRUE (line_send (c, "QUERY 0000000100000001 WRITE other x\r\n"));
  CU_ASSERT_TRUE (wait_for_log (s, "event=promotion step=await", SERVE_MS));
  CU_ASSERT_TRUE (sessiond_site_fault (s, "db-1-b", "silence"));
  usleep (1000000);
  CU_ASSERT_TRUE (remove_entry (s, "db-1-b"));
  CU_ASSERT_TRUE (sessiond_site_fault (s, "db-1-a", "speak"));
  CU_ASSERT_TRUE (wait_for_log (s, "event=endpoint_gone", SERVE_MS));
  struct line_answer early = retry_write (s, 0, 3000);
  CU_ASSERT_STRING_EQUAL (early.id, "");
  CU_ASSERT_TRUE (sessiond_site_fault (s, "db-1-b", "speak"));
  CU_ASSERT_TRUE (sessiond_site_fault (s, "db-1-b", "join"));
  struct line_answer last = retry_write (s, 0, 2 * SERVE_MS);
  CU_ASSERT_STRING_NOT_EQUAL (last.id, "");
  CU_ASSERT_EQUAL (sessiond_site_committed (s, last.id), 1);
  assert_no_violation (s);
  talloc_free (s);
}

/* Guards against a new owner that does not read the record of the newest
   promotion, as the store answers late, and overwrites it to promote the
   primary that this promotion replaced. */
static void
unread_record_is_not_overwritten (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = 3, .services = 1 });
  struct line_answer lost;
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  struct line_answer kept = leave_forked_log (s, &lost);
  usleep (300000);
  restart_fleet (s);
  usleep (350000);
  CU_ASSERT_TRUE (sessiond_site_control (s, json_pack ("{s:b}", "down", 1)));
  /* An owner that had read the record before goes on without a primary. */
  CU_ASSERT_TRUE (wait_for_log (s, "event=record_awaited", 1500)
                  || wait_for_log (s, "event=no_primary", SERVE_MS));
  CU_ASSERT_TRUE (sessiond_site_control (s, json_pack ("{s:b}", "down", 0)));
  assert_fork_is_not_promoted (s, 0, &lost, &kept);
  talloc_free (s);
}

/* Stop all daemons and the present primary, db-1-b; the replaced one, db-1-a,
   answers again. */
static void
leave_only_replaced_primary (struct sessiond_site *s)
{
  for (int i = 0; i < s->daemon_count; i++)
    process_signal (s->daemons[i], SIGKILL);
  CU_ASSERT_TRUE (sessiond_site_fault (s, "db-1-b", "silence"));
  CU_ASSERT_TRUE (sessiond_site_fault (s, "db-1-a", "speak"));
}

/* Guards against the promotion of a replaced primary whose successor was
   served although its promotion was never recorded as done, as the store was
   away: commits that were rolled back return, so that reads in between were
   stale, and acknowledged ones are lost. */
static void
unfinished_record_undoes_no_promotion (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){
                .daemons = 3, .services = 1, .promote_ms = 900 });
  char url[120], *entry = NULL;
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  snprintf (url, sizeof url, "http://127.0.0.1:%d/v1/objects/servers/db-1-b",
            process_port (s->platform));
  CU_ASSERT_EQUAL (process_http (s, "GET", url, NULL, &entry), 200);
  struct line_answer lost = acknowledge_on_fork (s);
  struct line_caller *c = start_session (s, 0, "main1", "key-a1");
  CU_ASSERT_TRUE (line_send (c, "QUERY 0000000100000001 WRITE other x\r\n"));
  CU_ASSERT_TRUE (wait_for_log (s, "event=promotion step=await", SERVE_MS));
  CU_ASSERT_TRUE (sessiond_site_control (s, json_pack ("{s:b}", "down", 1)));
  struct line_answer kept = retry_write (s, 0, SERVE_MS);
  CU_ASSERT_STRING_NOT_EQUAL (kept.id, "");
  CU_ASSERT_EQUAL (sessiond_site_committed (s, kept.id), 1);
  leave_only_replaced_primary (s);
  CU_ASSERT_TRUE (sessiond_site_control (s, json_pack ("{s:b}", "down", 0)));
  /* The entry of a database that cannot reach the store is an old one. */
  json_t *object = json_loads (entry, 0, NULL);
  char *spec = json_dumps (json_object_get (object, "spec"), 0);
  CU_ASSERT_TRUE (sessiond_site_write_raw (s, "servers", "db-1-b", spec));
  free (spec);
  json_decref (object);
  restart_fleet (s);
  assert_fork_is_not_promoted (s, 0, &lost, &kept);
  talloc_free (s);
}

/* Guards against a new owner that accepts a replaced primary because a voter
   that missed the promotion knows its term: those that knew better have
   started again, and the store, which has the record, is away. */
static void
late_voter_hides_no_promotion (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = 3, .services = 1 });
  int owner;
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  sessiond_site_most_owned (s, &owner);
  CU_ASSERT_FATAL (owner >= 0);
  int late = (owner + 1) % 3, other = (owner + 2) % 3;
  struct line_answer lost = acknowledge_on_fork (s);
  process_signal (s->daemons[late], SIGSTOP);
  struct line_answer kept = retry_write (s, other, SERVE_MS);
  CU_ASSERT_STRING_NOT_EQUAL (kept.id, "");
  usleep (300000);
  CU_ASSERT_TRUE (sessiond_site_control (s, json_pack ("{s:b}", "down", 1)));
  process_signal (s->daemons[owner], SIGKILL);
  process_signal (s->daemons[other], SIGKILL);
  CU_ASSERT_TRUE (sessiond_site_fault (s, "db-1-b", "silence"));
  CU_ASSERT_TRUE (sessiond_site_fault (s, "db-1-a", "speak"));
  process_signal (s->daemons[late], SIGCONT);
  CU_ASSERT_TRUE (sessiond_site_start_daemon (s, owner));
  CU_ASSERT_TRUE (sessiond_site_start_daemon (s, other));
  struct line_answer early = retry_write (s, late, 3000);
  CU_ASSERT_STRING_EQUAL (early.id, "");
  CU_ASSERT_TRUE (sessiond_site_control (s, json_pack ("{s:b}", "down", 0)));
  assert_fork_is_not_promoted (s, 0, &lost, &kept);
  talloc_free (s);
}

/* Guards against a promotion that is forgotten, and undone, because a restore
   of the store has lost its record and all daemons start again after that. */
static void
restored_store_hides_no_promotion (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = 3, .services = 1 });
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  CU_ASSERT_TRUE (
      sessiond_site_control (s, json_pack ("{s:b}", "snapshot", 1)));
  struct line_answer lost = acknowledge_on_fork (s);
  struct line_answer kept = retry_write (s, 0, SERVE_MS);
  CU_ASSERT_STRING_NOT_EQUAL (kept.id, "");
  usleep (300000);
  CU_ASSERT_TRUE (sessiond_site_control (
      s, json_pack ("{s:b, s:i}", "restore", 1, "rewrite_ms", 0)));
  usleep (2500000);
  leave_only_replaced_primary (s);
  restart_fleet (s);
  assert_fork_is_not_promoted (s, 0, &lost, &kept);
  talloc_free (s);
}

/* Guards against a new owner that takes what a voter said before others owned
   the service for what it knows now, and accepts a replaced primary. */
static void
former_grants_hide_no_promotion (void)
{
  struct proxy *proxy = NULL;
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = 3,
                                             .services = 1,
                                             .prepare
                                             = sessiond_site_add_bus_proxies,
                                             .data = &proxy });
  int owner;
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  sessiond_site_most_owned (s, &owner);
  CU_ASSERT_FATAL (owner >= 0);
  int dark = (owner + 1) % 3, other = (owner + 2) % 3;
  /* Until all voters have told the owner that they know its term. */
  usleep (1500000);
  struct line_answer lost = acknowledge_on_fork (s);
  proxy_set_fault (proxy, owner, PROXY_CUT_FORWARD, 0);
  struct line_answer kept = retry_write (s, other, SERVE_MS);
  CU_ASSERT_STRING_NOT_EQUAL (kept.id, "");
  usleep (300000);
  CU_ASSERT_TRUE (sessiond_site_control (s, json_pack ("{s:b}", "down", 1)));
  process_signal (s->daemons[dark], SIGKILL);
  process_signal (s->daemons[other], SIGKILL);
  CU_ASSERT_TRUE (sessiond_site_fault (s, "db-1-b", "silence"));
  CU_ASSERT_TRUE (sessiond_site_fault (s, "db-1-a", "speak"));
  usleep (300000);
  proxy_set_fault (proxy, owner, PROXY_RESET, 0);
  usleep (100000);
  proxy_set_fault (proxy, owner, PROXY_PASS, 0);
  CU_ASSERT_TRUE (sessiond_site_start_daemon (s, other));
  struct line_answer early = retry_write (s, owner, 5000);
  CU_ASSERT_STRING_EQUAL (early.id, "");
  CU_ASSERT_TRUE (sessiond_site_control (s, json_pack ("{s:b}", "down", 0)));
  assert_fork_is_not_promoted (s, owner, &lost, &kept);
  talloc_free (s);
}

/* Guards against a promotion that is undone because the store was restored
   while no daemon ran: the absence of a record says nothing then. */
static void
restore_between_owners_hides_no_promotion (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = 3, .services = 1 });
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  CU_ASSERT_TRUE (
      sessiond_site_control (s, json_pack ("{s:b}", "snapshot", 1)));
  struct line_answer lost = acknowledge_on_fork (s);
  struct line_answer kept = retry_write (s, 0, SERVE_MS);
  CU_ASSERT_STRING_NOT_EQUAL (kept.id, "");
  usleep (300000);
  leave_only_replaced_primary (s);
  CU_ASSERT_TRUE (sessiond_site_control (
      s, json_pack ("{s:b, s:i}", "restore", 1, "rewrite_ms", 0)));
  restart_fleet (s);
  assert_fork_is_not_promoted (s, 0, &lost, &kept);
  talloc_free (s);
}

/* Guards against a service that waits for the promotion record while the store
   is away, although every database has told that no promotion was missed. */
static void
restarted_majority_serves_without_the_store (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = 3, .services = 1 });
  int owner;
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  sessiond_site_most_owned (s, &owner);
  CU_ASSERT_FATAL (owner >= 0);
  int other = (owner + 1) % 3, left = (owner + 2) % 3;
  struct line_answer before = retry_write (s, left, SERVE_MS);
  CU_ASSERT_TRUE (sessiond_site_control (s, json_pack ("{s:b}", "down", 1)));
  process_signal (s->daemons[owner], SIGKILL);
  process_signal (s->daemons[other], SIGKILL);
  CU_ASSERT_TRUE (sessiond_site_start_daemon (s, owner));
  CU_ASSERT_TRUE (sessiond_site_start_daemon (s, other));
  struct line_answer after = retry_write (s, left, SERVE_MS);
  CU_ASSERT_STRING_NOT_EQUAL (after.id, "");
  CU_ASSERT_EQUAL (sessiond_site_committed (s, before.id), 1);
  CU_ASSERT_EQUAL (sessiond_site_committed (s, after.id), 1);
  assert_no_violation (s);
  talloc_free (s);
}

/* Guards against a new owner that serves the present primary although the
   previous owner has ordered the promotion of another endpoint, as the store
   has lost the record of that: the order takes effect later, and writes that
   were acknowledged before are lost. */
static void
ordered_promotion_outlives_its_record (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){
                .daemons = 3, .services = 1, .promote_ms = 1500 });
  char url[120];
  int owner;
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  snprintf (url, sizeof url,
            "http://127.0.0.1:%d/v1/objects/azurewind-promotions/ledger-1",
            process_port (s->platform));
  sessiond_site_most_owned (s, &owner);
  CU_ASSERT_FATAL (owner >= 0);
  CU_ASSERT_TRUE (sessiond_site_fault (s, "db-1-a", "part"));
  CU_ASSERT_TRUE (sessiond_site_fault (s, "db-1-a", "silence"));
  /* The silence is noticed only if a statement waits for an answer. */
  struct line_caller *c
      = start_session (s, (owner + 1) % 3, "main1", "key-a1");
  CU_ASSERT_TRUE (line_send (c, "QUERY 0000000100000001 WRITE other x\r\n"));
  int64_t end = sessiond_site_now_ms () + SERVE_MS;
  while (process_http (s, "GET", url, NULL, NULL) != 200
         && sessiond_site_now_ms () < end)
    usleep (2000);
  usleep (50000);
  CU_ASSERT_EQUAL (process_http (s, "DELETE", url, NULL, NULL), 200);
  process_signal (s->daemons[owner], SIGKILL);
  CU_ASSERT_TRUE (sessiond_site_fault (s, "db-1-a", "speak"));
  char written[200][24];
  int count = 0, lost = 0;
  end = sessiond_site_now_ms () + 5000;
  while (sessiond_site_now_ms () < end && count < 200)
    {
      struct line_answer a = retry_write (s, (owner + 1) % 3, 1000);
      if (a.id[0] != '\0')
        snprintf (written[count++], sizeof written[0], "%s", a.id);
      usleep (20000);
    }
  CU_ASSERT_TRUE (count > 0);
  for (int i = 0; i < count; i++)
    lost += sessiond_site_committed (s, written[i]) != 1;
  printf ("[%d of %d writes lost] ", lost, count);
  CU_ASSERT_EQUAL (lost, 0);
  assert_no_violation (s);
  talloc_free (s);
}

/* Guards against an owner that serves the primary although a previous owner
   has ordered the promotion of another endpoint, as no voter knew the term
   when that was recorded: writes are acknowledged until the order takes
   effect, and are lost. */
static void
order_of_a_restarted_fleet_is_not_forgotten (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){
                .daemons = 3, .services = 1, .promote_ms = 2300 });
  char url[120], written[200][24];
  int count = 0, lost = 0;
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  snprintf (url, sizeof url,
            "http://127.0.0.1:%d/v1/objects/azurewind-promotions/ledger-1",
            process_port (s->platform));
  CU_ASSERT_TRUE (sessiond_site_fault (s, "db-1-a", "part"));
  CU_ASSERT_TRUE (sessiond_site_fault (s, "db-1-a", "silence"));
  restart_fleet (s);
  int64_t end = sessiond_site_now_ms () + SERVE_MS;
  while (process_http (s, "GET", url, NULL, NULL) != 200
         && sessiond_site_now_ms () < end)
    usleep (2000);
  usleep (200000);
  CU_ASSERT_TRUE (sessiond_site_fault (s, "db-1-a", "speak"));
  restart_fleet (s);
  end = sessiond_site_now_ms () + SERVE_MS;
  while (sessiond_site_now_ms () < end && count < 200)
    {
      struct line_answer a = retry_write (s, 0, 1000);
      if (a.id[0] != '\0')
        snprintf (written[count++], sizeof written[0], "%s", a.id);
      usleep (20000);
    }
  CU_ASSERT_TRUE (count > 0);
  for (int i = 0; i < count; i++)
    lost += sessiond_site_committed (s, written[i]) != 1;
  printf ("[%d of %d writes lost] ", lost, count);
  CU_ASSERT_EQUAL (lost, 0);
  assert_no_violation (s);
  talloc_free (s);
}

/* Replace the promotion record of the service by one of an earlier promotion
   of db-1-b, as a restore of the store does. */
static void
bring_back_record (struct sessiond_site *s)
{
  char url[120];
  snprintf (url, sizeof url,
            "http://127.0.0.1:%d/v1/objects/azurewind-promotions/ledger-1",
            process_port (s->platform));
  process_http (s, "DELETE", url, NULL, NULL);
  *strrchr (url, '/') = '\0';
  CU_ASSERT_EQUAL (process_http (s, "POST", url,
                                 "{\"meta\":{\"name\":\"ledger-1\"},"
                                 "\"spec\":{\"holder\":\"vm-0\","
                                 "\"endpoint\":\"db-1-b\",\"term\":0}}",
                                 NULL),
                   200);
}

/* Acknowledge writes that db-1-b does not receive.
   @return their number. */
static int
write_past_replica (struct sessiond_site *s, char ids[20][24])
{
  int count = 0;
  CU_ASSERT_TRUE (sessiond_site_fault (s, "db-1-b", "deaf"));
  for (int i = 0; i < 20; i++)
    {
      struct line_answer a = retry_write (s, 0, 1000);
      if (a.id[0] != '\0')
        snprintf (ids[count++], sizeof ids[0], "%s", a.id);
    }
  CU_ASSERT_TRUE (count > 0);
  return count;
}

static int
count_lost (struct sessiond_site *s, char ids[20][24], int count)
{
  int lost = 0;
  for (int i = 0; i < count; i++)
    lost += sessiond_site_committed (s, ids[i]) != 1;
  printf ("[%d of %d writes lost] ", lost, count);
  return lost;
}

/* Guards against a restarted fleet that promotes the endpoint of an old
   promotion record without asking the others for their logs. */
static void
old_record_loses_no_write_after_a_restart (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = 3, .services = 1 });
  char ids[20][24];
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  int count = write_past_replica (s, ids);
  bring_back_record (s);
  for (int i = 0; i < 3; i++)
    process_signal (s->daemons[i], SIGKILL);
  for (int i = 0; i < 3; i++)
    CU_ASSERT_TRUE (sessiond_site_start_daemon (s, i));
  CU_ASSERT_TRUE (sessiond_site_wait (s, 0, 1, SERVE_MS));
  usleep (3000000);
  CU_ASSERT_EQUAL (count_lost (s, ids, count), 0);
  talloc_free (s);
}

/* Guards against a next owner that takes an old promotion record for that of
   the promotion that its predecessor had ordered. */
static void
old_record_loses_no_write_during_a_promotion (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){
                .daemons = 3, .services = 1, .promote_ms = 1500 });
  char ids[20][24], url[120];
  int owner;
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  sessiond_site_most_owned (s, &owner);
  int count = write_past_replica (s, ids);
  snprintf (url, sizeof url,
            "http://127.0.0.1:%d/v1/objects/azurewind-promotions/ledger-1",
            process_port (s->platform));
  CU_ASSERT_TRUE (sessiond_site_fault (s, "db-1-a", "kill"));
  int64_t end = sessiond_site_now_ms () + SERVE_MS;
  while (process_http (s, "GET", url, NULL, NULL) != 200
         && sessiond_site_now_ms () < end)
    usleep (2000);
  usleep (300000);
  bring_back_record (s);
  process_signal (s->daemons[owner], SIGKILL);
  CU_ASSERT_TRUE (sessiond_site_wait (s, (owner + 1) % 3, 1, SERVE_MS));
  usleep (3000000);
  CU_ASSERT_EQUAL (count_lost (s, ids, count), 0);
  talloc_free (s);
}

/* Guards against one daemon that owns all services for good after the others
   were killed and started again, and against errors other than BUSY while it
   releases services to them. */
static void
owner_of_all_gives_services_away (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){
                .daemons = 3, .services = 3, .grace_ms = 4000 });
  struct line_answer a;
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  for (int i = 1; i < 3; i++)
    {
      process_signal (s->daemons[i], SIGKILL);
      for (int service = 1; service <= 3; service++)
        CU_ASSERT_TRUE (sessiond_site_wait (s, 0, service, SERVE_MS));
      CU_ASSERT_TRUE (sessiond_site_start_daemon (s, i));
      CU_ASSERT_TRUE (sessiond_site_wait (s, i, 1, SERVE_MS));
    }
  struct line_caller *c[3];
  for (int i = 0; i < 3; i++)
    {
      char database[8];
      snprintf (database, sizeof database, "main%d", i + 1);
      c[i] = start_session (s, i, database, "key-a1");
    }
  int served = 0, refused = 0, owner;
  int64_t begin = sessiond_site_now_ms ();
  while (sessiond_site_now_ms () - begin < 25000
         && sessiond_site_most_owned (s, &owner) > 1)
    for (int i = 0; i < 30; i++)
      {
        bool ok
            = line_query (c[i % 3], &a, i % 2 ? "READ one" : "WRITE one x");
        served += ok;
        refused += !ok;
        CU_ASSERT_TRUE (ok || strcmp (a.code, "BUSY") == 0);
      }
  printf ("[%d ms, %d served, %d refused] ",
          (int)(sessiond_site_now_ms () - begin), served, refused);
  CU_ASSERT_EQUAL (sessiond_site_most_owned (s, &owner), 1);
  assert_no_violation (s);
  talloc_free (s);
}

/* Guards against effort for services that have no endpoints yet: a
   configuration with many of them.  None is owned, and the other services are
   served, also after all daemons have started again. */
static void
services_without_endpoints_have_no_owner (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = 3, .services = 2 });
  struct line_answer a;
  double owned = 0;
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  json_t *services = json_object_get (s->config, "services");
  json_t *routes = json_object_get (s->config, "routes");
  json_t *route = json_copy (json_array_get (routes, 0));
  for (int i = 0; i < 200; i++)
    {
      char name[16];
      snprintf (name, sizeof name, "idle-%d", i);
      json_t *service = json_copy (json_array_get (services, 0));
      json_object_set_new (service, "name", json_string (name));
      json_array_insert_new (services, 0, service);
    }
  json_object_set_new (route, "name", json_string ("idle"));
  json_object_set_new (route, "host", json_string ("idle"));
  json_object_set_new (route, "service", json_string ("idle-7"));
  json_array_append_new (routes, route);
  CU_ASSERT_TRUE (sessiond_site_configure (s));
  usleep (1000000);
  for (int i = 0; i < 3; i++)
    process_signal (s->daemons[i], SIGKILL);
  for (int i = 0; i < 3; i++)
    CU_ASSERT_TRUE (sessiond_site_start_daemon (s, i));
  for (int service = 1; service <= 2; service++)
    for (int i = 0; i < 3; i++)
      CU_ASSERT_TRUE (sessiond_site_wait (s, i, service, SERVE_MS));
  for (int i = 0; i < 3; i++)
    owned += sessiond_site_metric (s, i, "azurewind_owned_services ");
  CU_ASSERT_EQUAL (owned, 2);
  struct line_caller *c = start_session (s, 0, "idle", "key-a1");
  int64_t begin = sessiond_site_now_ms ();
  CU_ASSERT_FALSE (line_query (c, &a, "READ item"));
  CU_ASSERT_STRING_EQUAL (a.code, "BUSY");
  CU_ASSERT_PTR_NOT_NULL (strstr (a.text, "retry-after-ms="));
  CU_ASSERT_TRUE (sessiond_site_now_ms () - begin < 500);
  assert_no_violation (s);
  talloc_free (s);
}

/* Guards against observers, the daemons on small VMs of a fleet with more
   daemons than voters, that stop serving after owners were killed, miss a new
   configuration, or call the store more than a few times. */
static void
observers_serve_callers (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){
                .daemons = 13, .services = 2, .large = 9 });
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  int observers = 0;
  for (int i = 9; i < 13; i++)
    observers += sessiond_site_metric (s, i, "azurewind_voter ") == 0;
  CU_ASSERT_EQUAL (observers, 4);
  double before = sessiond_site_metric (s, 12, "azurewind_store_calls_total ");
  for (int i = 0; i < 5; i++)
    process_signal (s->daemons[i], SIGKILL);
  int64_t begin = sessiond_site_now_ms ();
  for (int i = 0; i < 4; i++)
    CU_ASSERT_TRUE (sessiond_site_start_daemon (s, i));
  CU_ASSERT_TRUE (sessiond_site_wait (s, 12, 1, SERVE_MS));
  CU_ASSERT_TRUE (sessiond_site_wait (s, 12, 2, SERVE_MS));
  printf ("[%d ms] ", (int)(sessiond_site_now_ms () - begin));
  json_t *routes = json_object_get (s->config, "routes");
  json_t *route = json_incref (json_array_get (routes, 1));
  json_array_remove (routes, 1);
  for (int i = 0; i < 700; i++)
    {
      char host[16];
      snprintf (host, sizeof host, "more%d", i);
      json_t *copy = json_copy (route);
      json_object_set_new (copy, "name", json_string (host));
      json_object_set_new (copy, "host", json_string (host));
      json_array_append_new (routes, copy);
    }
  json_decref (route);
  CU_ASSERT_TRUE (sessiond_site_configure (s));
  usleep (2500000);
  struct line_answer a;
  struct line_caller *c = line_open (s, sessiond_site_port (s, 11));
  CU_ASSERT_FALSE (line_start (c, "browse1", "key-a1", &a));
  CU_ASSERT_STRING_EQUAL (a.code, "NODB");
  CU_ASSERT_TRUE (sessiond_site_metric (s, 12, "azurewind_store_calls_total ")
                      - before
                  <= 3);
  assert_no_violation (s);
  talloc_free (s);
}

/* @return the code with which a session for an unknown database is
   refused. */
static const char *
refusal_code (struct sessiond_site *s, int daemon, struct line_answer *a)
{
  struct line_caller *c = line_open (s, sessiond_site_port (s, daemon));
  CU_ASSERT_FALSE (c == NULL || line_start (c, "none", "key-a1", a));
  talloc_free (c);
  return a->code;
}

/* @return whether an unknown database is denied within a second.  An observer
   that has just adopted a longer list of voters does not know for a moment
   whether its configuration is the newest. */
static bool
denies_within_a_second (struct sessiond_site *s, int daemon,
                        struct line_answer *a)
{
  for (int i = 0; i < 20; i++)
    {
      if (strcmp (refusal_code (s, daemon, a), "NODB") == 0)
        return true;
      usleep (50000);
    }
  return false;
}

/* Guards against an observer that reaches the store but no voter and denies a
   database that a newer configuration may contain. */
static void
isolated_observer_denies_nothing (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){
                .daemons = 10, .services = 1, .large = 9 });
  struct line_answer a = { .code = "" };
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  CU_ASSERT_TRUE (denies_within_a_second (s, 9, &a));
  for (int i = 0; i < 9; i++)
    process_signal (s->daemons[i], SIGSTOP);
  usleep (2000000);
  CU_ASSERT_STRING_EQUAL (refusal_code (s, 9, &a), "BUSY");
  for (int i = 0; i < 9; i++)
    process_signal (s->daemons[i], SIGCONT);
  CU_ASSERT_TRUE (sessiond_site_wait (s, 9, 1, SERVE_MS));
  CU_ASSERT_TRUE (denies_within_a_second (s, 9, &a));
  talloc_free (s);
}

/* Guards against missing metrics, and a daemon that serves but is not
   ready. */
static void
metrics_are_served (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = 2, .services = 1 });
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  CU_ASSERT_EQUAL (sessiond_site_ready (s, 0), 200);
  char *text = sessiond_site_metrics (s, 0);
  CU_ASSERT_PTR_NOT_NULL_FATAL (text);
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "azurewind_statements_total"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "azurewind_statement_us"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "azurewind_store_calls_total"));
  talloc_free (s);
}

static bool
has_results (const void *data)
{
  return ((const struct scripted_member *)data)->results >= 20;
}

/* Guards against a crash of the owner when an entry daemon that took it for
   dead sends a statement outside of a transaction for a session whose BEGIN
   still waits at the owner. */
static void
statement_behind_a_forgotten_begin (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = 1, .services = 1 });
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  struct scripted_member d = { 0 };
  CU_ASSERT_TRUE_FATAL (scripted_member_join (s, &d));
  for (uint64_t i = 0; i < 10; i++)
    {
      scripted_member_send (
          &d, &(struct scripted_statement){ .verb = VERB_BEGIN,
                                            .text = "BEGIN",
                                            .sequence = 2 * i + 1 });
      scripted_member_send (
          &d, &(struct scripted_statement){ .verb = VERB_READ,
                                            .text = "READ item",
                                            .sequence = 2 * i + 2 });
    }
  loop_run (d.ev, 600, has_results, &d);
  CU_ASSERT_TRUE (d.results >= 10);
  CU_ASSERT_EQUAL (process_wait (s->daemons[0], 100), -1);
  CU_ASSERT_TRUE (sessiond_site_wait (s, 0, 1, SERVE_MS));
  talloc_free (s);
}

/* Guards against a caller that gets the result of another caller's statement:
   the entry daemon was restarted while the owner ran a statement of the
   previous process, and a session and statement of the new process have the
   same numbers. */
static void
restarted_daemon_gets_no_results_of_the_previous_one (void)
{
  enum
  {
    STATEMENTS = 10
  };
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = 1, .services = 1 });
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  struct scripted_member d = { 0 };
  CU_ASSERT_TRUE_FATAL (scripted_member_join (s, &d));
  for (uint64_t i = 1; i <= STATEMENTS; i++)
    scripted_member_send (
        &d, &(struct scripted_statement){
                .verb = VERB_READ, .text = "READ item", .sequence = i });
  d.incarnation = 2;
  d.first_sequence = STATEMENTS + 1;
  scripted_member_start (&d);
  scripted_member_send (
      &d, &(struct scripted_statement){ .verb = VERB_READ,
                                        .text = "READ item",
                                        .sequence = d.first_sequence });
  loop_run (d.ev, 1500, has_results, &d);
  CU_ASSERT_EQUAL (d.foreign_results, 0);
  CU_ASSERT_TRUE (d.own_results > 0);
  json_t *observed = sessiond_site_observed (s);
  CU_ASSERT_PTR_NOT_NULL (sessiond_site_run (observed, "1a2b"));
  json_decref (observed);
  talloc_free (s);
}

/* Guards against messages that end a daemon: packets of all kinds that are
   truncated, changed in one byte, repeated or of another version, and lines
   that no caller should send. */
static void
malformed_messages_end_no_daemon (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = 2, .services = 1 });
  unsigned seed = 11;
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  struct scripted_member d = { 0 };
  CU_ASSERT_TRUE_FATAL (scripted_member_listen (s, &d, 4000));
  for (int kind = 0; kind < PACKET_KIND_COUNT; kind++)
    {
      struct packet *m = talloc_zero (s, struct packet);
      m->kind = (enum packet_kind)kind;
      if (m->kind == PACKET_HEARTBEAT)
        m->heartbeat.capacity = 1000;
      m->sender = (struct packet_sender){ 78, 1, 0, clock_now (), 0 };
      struct bstr bytes = packet_encode (m, m);
      for (int i = 0; i < 100; i++)
        {
          char *changed = bstr_to_text (m, bytes);
          changed[(size_t)rand_r (&seed) % bytes.len] ^= (char)rand_r (&seed);
          bus_send (d.bus, d.address,
                    (struct bstr){ changed,
                                   i % 2 == 0 ? bytes.len
                                              : bytes.len * (size_t)i / 100 });
        }
      bus_send (d.bus, d.address, bytes);
      bus_send (d.bus, d.address, bytes);
      loop_run (d.ev, 50, has_results, &d);
      talloc_free (m);
    }
  static const char *const lines[]
      = { "\r\n",
          "START\r\n",
          "QUERY x\r\n",
          "RELEASE now\r\n",
          "START a b c d e f\r\nQUERY 1 BEGIN\r\n",
          "\xff\xfe\r\n" };
  for (size_t i = 0; i < sizeof lines / sizeof lines[0]; i++)
    {
      struct line_caller *c = line_open (s, sessiond_site_port (s, 0));
      CU_ASSERT_PTR_NOT_NULL_FATAL (c);
      CU_ASSERT_TRUE (line_send (c, lines[i]));
      line_is_closed (c, 100);
      talloc_free (c);
    }
  CU_ASSERT_EQUAL (process_wait (s->daemons[0], 100), -1);
  CU_ASSERT_TRUE (sessiond_site_wait (s, 0, 1, SERVE_MS));
  CU_ASSERT_TRUE (sessiond_site_wait (s, 1, 1, SERVE_MS));
  talloc_free (s);
}

/* Guards against two test runs that choose the same ports before their daemons
   listen there, so that a daemon cannot start. */
static void
test_runs_share_no_port (void)
{
  void *first = talloc_new (NULL), *second = talloc_new (NULL);
  int a = sessiond_site_reserve_ports (first, SITE_PORTS);
  int b = sessiond_site_reserve_ports (second, SITE_PORTS);
  CU_ASSERT_TRUE (a != 0 && b != 0);
  CU_ASSERT_TRUE (abs (a - b) >= SITE_PORTS);
  talloc_free (first);
  int c = sessiond_site_reserve_ports (second, SITE_PORTS);
  CU_ASSERT_EQUAL (c, a);
  talloc_free (second);
}

/* Run a shell that notes the signals it gets, stop it as process_start
   documents, and assert what it noted.
   @param paused whether it gets SIGSTOP before.  */
static void
assert_signals_of_the_end (bool paused, const char *expected)
{
  static const char *const script
      = "trap 'end=1; echo TERM >> \"$1\"' TERM;"
        "trap 'echo CONT >> \"$1\"' CONT;"
        "echo ready port=1;"
        "while test -z \"$end\"; do sleep 0.02; done;"
        "sleep 0.2; exit 0";
  char path[] = "/tmp/azurewind-signals-XXXXXX", noted[64] = "";
  int fd = mkstemp (path);
  CU_ASSERT_TRUE_FATAL (fd >= 0);
  struct process *p = process_start (
      NULL, "/bin/sh", (const char *[]){ "-c", script, "sh", path, NULL });
  CU_ASSERT_PTR_NOT_NULL (p);
  if (p != NULL && paused)
    process_signal (p, SIGSTOP);
  talloc_free (p);
  CU_ASSERT_TRUE (read (fd, noted, sizeof noted - 1) >= 0);
  CU_ASSERT_STRING_EQUAL (noted, expected);
  close (fd);
  unlink (path);
}

/* Guards against SIGCONT to a process that is about to end: it discards the
   SIGSTOP of LeakSanitizer, which then waits for ever.  */
static void
only_paused_processes_are_continued (void)
{
  assert_signals_of_the_end (false, "TERM\n");
  assert_signals_of_the_end (true, "TERM\nCONT\n");
}

/* Guards against requests that are refused although a token is due within
   their objective, against more requests than the rate allows, and against
   waiting requests that outlive their session or a planned stop of the owner.
 */
static void
requests_wait_for_their_tokens (void)
{
  const double rate = 20;
  struct sessiond_site *s = sessiond_site_start (
      NULL,
      &(struct sessiond_site_options){ .daemons = 3,
                                       .services = 1,
                                       .rate = rate,
                                       .settings = "rate_schedule = true\n" });
  struct line_caller *open[8];
  struct line_answer a;
  int served = 0, waits = 0, owner;
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  struct line_caller *c = start_session (s, 0, "main1", "key-b");
  CU_ASSERT_PTR_NOT_NULL_FATAL (c);
  int64_t begin = sessiond_site_now_ms ();
  while (sessiond_site_now_ms () - begin < 3000)
    {
      bool ok = line_query (c, &a, "READ one");
      served += ok;
      if (!ok)
        CU_ASSERT_PTR_NOT_NULL (strstr (a.text, "retry-after-ms="));
    }
  double seconds = (double)(sessiond_site_now_ms () - begin) / 1000;
  CU_ASSERT_TRUE (served <= (rate * seconds + rate) * 1.1 + 20);
  CU_ASSERT_TRUE (served >= rate * seconds * 0.8);
  for (int i = 0; i < 20; i++)
    {
      struct line_caller *gone = start_session (s, i % 3, "main1", "key-b");
      CU_ASSERT_PTR_NOT_NULL_FATAL (gone);
      line_send (gone, i % 2 == 0 ? "QUERY 0000000100000001 READ one\r\n"
                                  : "QUERY 0000000100000001 BEGIN\r\n");
      talloc_free (gone);
    }
  for (int i = 0; i < 3; i++)
    {
      double count
          = sessiond_site_metric (s, i, "azurewind_rate_waits_total ");
      waits += count > 0 ? (int)count : 0;
    }
  printf ("[%d served in %.1f s, %d waits] ", served, seconds, waits);
  CU_ASSERT_TRUE (waits > 0);
  sessiond_site_most_owned (s, &owner);
  CU_ASSERT_FATAL (owner >= 0);
  for (int i = 0; i < 8; i++)
    {
      open[i] = start_session (s, (owner + 1 + i % 2) % 3, "main1", "key-b");
      CU_ASSERT_PTR_NOT_NULL_FATAL (open[i]);
    }
  for (int i = 0; i < 8; i++)
    line_send (open[i], "QUERY 0000000100000001 READ one\r\n");
  usleep (10000);
  process_signal (s->daemons[owner], SIGTERM);
  for (int i = 0; i < 8; i++)
    CU_ASSERT_EQUAL (line_count_answers (open[i], 1), 1);
  CU_ASSERT_TRUE (sessiond_site_wait (s, (owner + 1) % 3, 1, SERVE_MS));
  talloc_free (s);
}

static const struct test_case cases[] = {
  { "test_runs_share_no_port", test_runs_share_no_port },
  { "only_paused_processes_are_continued",
    only_paused_processes_are_continued },
  { "statement_behind_a_forgotten_begin", statement_behind_a_forgotten_begin },
  { "restarted_daemon_gets_no_results_of_the_previous_one",
    restarted_daemon_gets_no_results_of_the_previous_one },
  { "session_reads_its_writes", session_reads_its_writes },
  { "learned_limits_serve", learned_limits_serve },
  { "values_and_names_do_not_mix", values_and_names_do_not_mix },
  { "unfinished_transactions_keep_nothing",
    unfinished_transactions_keep_nothing },
  { "lost_answers_are_told_truly", lost_answers_are_told_truly },
  { "result_without_signature_is_no_success",
    result_without_signature_is_no_success },
  { "crashed_primary_is_replaced", crashed_primary_is_replaced },
  { "silent_primary_is_replaced", silent_primary_is_replaced },
  { "draining_primary_hands_over", draining_primary_hands_over },
  { "killed_daemons_are_replaced", killed_daemons_are_replaced },
  { "paused_owner_does_no_harm", paused_owner_does_no_harm },
  { "values_set_before_begin_is_sent", values_set_before_begin_is_sent },
  { "fleet_starts_again_after_a_kill_of_all",
    fleet_starts_again_after_a_kill_of_all },
  { "restarted_daemon_lets_callers_wait", restarted_daemon_lets_callers_wait },
  { "few_connections_go_round", few_connections_go_round },
  { "full_replica_is_promoted", full_replica_is_promoted },
  { "configuration_reaches_open_sessions",
    configuration_reaches_open_sessions },
  { "fleet_serves_without_the_store", fleet_serves_without_the_store },
  { "promotion_survives_lost_answers_of_the_store",
    promotion_survives_lost_answers_of_the_store },
  { "other_daemon_records_the_promotion", other_daemon_records_the_promotion },
  { "left_primary_gets_no_work", left_primary_gets_no_work },
  { "foreign_entries_harm_nothing", foreign_entries_harm_nothing },
  { "names_of_entries_forge_no_log_field",
    names_of_entries_forge_no_log_field },
  { "unreadable_entry_does_not_stop_the_list",
    unreadable_entry_does_not_stop_the_list },
  { "fleet_starts_beside_unreadable_entries",
    fleet_starts_beside_unreadable_entries },
  { "unreadable_entry_replaces_the_older_one",
    unreadable_entry_replaces_the_older_one },
  { "slots_of_any_size_are_added", slots_of_any_size_are_added },
  { "log_lines_cannot_be_forged", log_lines_cannot_be_forged },
  { "ignored_entry_is_logged_once", ignored_entry_is_logged_once },
  { "pages_begin_after_any_name", pages_begin_after_any_name },
  { "nameless_entry_ends_no_list", nameless_entry_ends_no_list },
  { "dead_entries_hide_no_database", dead_entries_hide_no_database },
  { "rate_holds_over_the_fleet", rate_holds_over_the_fleet },
  { "requests_wait_for_their_tokens", requests_wait_for_their_tokens },
  { "planned_stop_cuts_nothing", planned_stop_cuts_nothing },
  { "planned_stop_answers_what_was_sent", planned_stop_answers_what_was_sent },
  { "planned_stop_refuses_what_waits", planned_stop_refuses_what_waits },
  { "restarted_daemon_uses_no_withdrawn_key",
    restarted_daemon_uses_no_withdrawn_key },
  { "malformed_messages_end_no_daemon", malformed_messages_end_no_daemon },
  { "former_owner_acknowledges_no_lost_commit",
    former_owner_acknowledges_no_lost_commit },
  { "new_owner_ignores_a_replaced_primary",
    new_owner_ignores_a_replaced_primary },
  { "restarted_fleet_ignores_a_replaced_primary",
    restarted_fleet_ignores_a_replaced_primary },
  { "order_of_a_restarted_fleet_is_not_forgotten",
    order_of_a_restarted_fleet_is_not_forgotten },
  { "replaced_primary_is_not_promoted_again",
    replaced_primary_is_not_promoted_again },
  { "restarted_fleet_promotes_no_replaced_primary",
    restarted_fleet_promotes_no_replaced_primary },
  { "forked_log_is_not_promoted_for_want_of_others",
    forked_log_is_not_promoted_for_want_of_others },
  { "operator_ends_the_wait_for_a_lost_term",
    operator_ends_the_wait_for_a_lost_term },
  { "primary_leads_again_after_its_entry_expired",
    primary_leads_again_after_its_entry_expired },
  { "ordered_promotion_outlives_its_target",
    ordered_promotion_outlives_its_target },
  { "order_to_a_target_that_left_is_dropped",
    order_to_a_target_that_left_is_dropped },
  { "unread_record_is_not_overwritten", unread_record_is_not_overwritten },
  { "unfinished_record_undoes_no_promotion",
    unfinished_record_undoes_no_promotion },
  { "late_voter_hides_no_promotion", late_voter_hides_no_promotion },
  { "restored_store_hides_no_promotion", restored_store_hides_no_promotion },
  { "former_grants_hide_no_promotion", former_grants_hide_no_promotion },
  { "restore_between_owners_hides_no_promotion",
    restore_between_owners_hides_no_promotion },
  { "restarted_majority_serves_without_the_store",
    restarted_majority_serves_without_the_store },
  { "ordered_promotion_outlives_its_record",
    ordered_promotion_outlives_its_record },
  { "old_record_loses_no_write_after_a_restart",
    old_record_loses_no_write_after_a_restart },
  { "old_record_loses_no_write_during_a_promotion",
    old_record_loses_no_write_during_a_promotion },
  { "owner_of_all_gives_services_away", owner_of_all_gives_services_away },
  { "services_without_endpoints_have_no_owner",
    services_without_endpoints_have_no_owner },
  { "observers_serve_callers", observers_serve_callers },
  { "isolated_observer_denies_nothing", isolated_observer_denies_nothing },
  { "metrics_are_served", metrics_are_served },
  { NULL, NULL },
};

TEST_SUITE (sessiond, cases)
